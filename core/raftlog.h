/* raftlog.h -- the part of the log after the snapshot, in memory
 *
 * Private to the raft module. Also keeps the history of members, so that
 * removing a tail of the log brings back the members before it.
 */
#ifndef FP_RAFTLOG_H
#define FP_RAFTLOG_H

#include <glib.h>

#include "core/msg.h"

struct raftlog {
    uint64_t base_index; /* last index that the snapshot covers */
    uint64_t base_term;  /* its term */
    GArray *entries;     /* struct raft_entry, from base_index + 1 */
    GArray *members;     /* struct members_at, oldest first, never empty */
};

/* The members from the entry at index on. */
struct members_at {
    uint64_t index;
    struct raft_members members;
};

void raftlog_init(struct raftlog *log, uint64_t base_index, uint64_t base_term,
                  const struct raft_members *members);
void raftlog_clear(struct raftlog *log);

/* Adds an entry at the end; takes over its data. */
void raftlog_append(struct raftlog *log, const struct raft_entry *entry);

/* Removes the entries from index on. */
void raftlog_truncate(struct raftlog *log, uint64_t index);

/* Forgets the entries up to index, which must be in the log. */
void raftlog_compact(struct raftlog *log, uint64_t index);

uint64_t raftlog_last_index(const struct raftlog *log);
uint64_t raftlog_last_term(const struct raftlog *log);

/* Returns the entry, or NULL when it is before the base or after the end. */
const struct raft_entry *raftlog_at(const struct raftlog *log, uint64_t index);

/* Returns the term at index; 0 when it is not known. */
uint64_t raftlog_term(const struct raftlog *log, uint64_t index);

/* The newest members, committed or not, and the index that set them. */
const struct members_at *raftlog_members(const struct raftlog *log);

/* The members in force at index. */
const struct members_at *raftlog_members_at(const struct raftlog *log,
                                            uint64_t index);

#endif /* FP_RAFTLOG_H */
