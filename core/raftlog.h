/* raftlog.h -- in-memory log of a replica
 *
 * Private to the raft module. Holds the entries after a base index, which the
 * snapshot covers, and the history of member lists, so that truncating the log
 * restores the members that were in effect before.
 */
#ifndef FP_RAFTLOG_H
#define FP_RAFTLOG_H

#include <glib.h>

#include "core/msg.h"

struct raftlog {
    uint64_t base_index; /* last entry before those in memory */
    uint64_t base_term;  /* term of that entry */
    GArray *entries;     /* struct raft_entry, from base_index + 1 */
    GArray *memberships; /* struct membership, oldest first, never empty */
};

/* The members in effect from the entry at index on. */
struct membership {
    uint64_t index;
    struct raft_members members;
};

/* Starts an empty log after base_index; copies members. */
void raftlog_init(struct raftlog *log, uint64_t base_index, uint64_t base_term,
                  const struct raft_members *members);
/* Frees what the log holds; raftlog_init() makes it usable again. */
void raftlog_clear(struct raftlog *log);

/* Adds an entry at the end; takes ownership of its data. */
void raftlog_append(struct raftlog *log, const struct raft_entry *entry);

/* Removes the entries from index on, with their member lists. */
void raftlog_truncate(struct raftlog *log, uint64_t index);

/* Discards the entries up to index, which must be in the log. */
void raftlog_compact(struct raftlog *log, uint64_t index);

uint64_t raftlog_last_index(const struct raftlog *log);
uint64_t raftlog_last_term(const struct raftlog *log);

/* Returns the entry, or NULL when it isn't in memory. */
const struct raft_entry *raftlog_entry_at(const struct raftlog *log,
                                          uint64_t index);

/* Returns the term of the entry at index; 0 when it isn't known. */
uint64_t raftlog_term(const struct raftlog *log, uint64_t index);

/* Returns the newest member list, committed or not. */
const struct membership *raftlog_membership(const struct raftlog *log);

/* Returns the member list in effect at index. */
const struct membership *raftlog_membership_at(const struct raftlog *log,
                                               uint64_t index);

#endif /* FP_RAFTLOG_H */
