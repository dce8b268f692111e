/* raftpriv.h -- what raft.c (roles, votes, following) and raftlead.c (leading)
 * share
 */
#ifndef FP_RAFTPRIV_H
#define FP_RAFTPRIV_H

#include "core/raft.h"
#include "core/raftlog.h"

#define RAFT_APPEND_MAX_BYTES (1024u * 1024)

/* Entries kept behind the snapshot, so that a follower that lags a little is
 * sent entries and not the whole state.
 */
#define RAFT_KEEP_ENTRIES 512u

/* What a leader knows of one follower. */
struct follower {
    uint64_t id;
    char host[MSG_HOST_BYTES];
    bool observer;         /* not in the list of members */
    uint64_t next;         /* next index to send */
    uint64_t match;        /* synced up to here */
    uint64_t applied;      /* applied up to here, by its own word */
    uint64_t acked_ms;     /* newest of our sent_ms that it echoed */
    uint64_t asked_ms;     /* its clock when it last asked for freshness */
    uint64_t heard_ms;     /* our clock when it last answered */
    uint64_t sent_ms;      /* our clock when we last sent */
    uint64_t progress_ms;  /* our clock when match last rose */
    bool snapshotting;     /* chunks are on their way */
    uint64_t snap_offset;  /* bytes of the snapshot it has */
    uint64_t snap_sent_ms; /* our clock when the last chunk left */
};

/* A write that is on its way to disk, and the last index it holds. */
struct pending_write {
    uint64_t write;
    uint64_t last_index;
};

/* A snapshot that arrives in chunks. */
struct incoming {
    uint64_t last_index;
    uint64_t last_term;
    GByteArray *data; /* NULL when none */
};

struct raft {
    uint64_t id;
    char host[MSG_HOST_BYTES];
    bool has_disk;
    bool failed; /* the disk failed */
    struct raft_times times;
    struct raft_ops ops;

    enum raft_state state;
    uint64_t term;
    uint64_t voted_for;
    struct raftlog log;
    struct raft_snapshot snapshot; /* newest; data only with a disk */
    uint64_t commit;
    uint64_t applied;

    uint64_t last_write; /* number of the newest write */
    uint64_t synced;     /* last index known to be on disk */
    GArray *pending;     /* struct pending_write, oldest first */

    uint64_t leader_id; /* 0: not known */
    char leader_host[MSG_HOST_BYTES];
    uint64_t contact_ms;     /* when the leader was last heard */
    uint64_t election_at_ms; /* when to stand for election */
    uint64_t fresh_until_ms; /* follower's freshness lease */
    uint64_t fresh_commit;   /* index to apply before the lease counts */
    uint64_t fresh_next_ms;  /* lease end once fresh_commit is applied */
    GHashTable *votes;       /* ids that granted, as candidate */
    struct incoming incoming;

    /* Leader only. */
    GHashTable *followers; /* id to struct follower */
    uint64_t since_ms;     /* when it began to lead */
    uint64_t noop_index;   /* its first entry */
    uint64_t lease_until_ms;
    bool commit_news;     /* commit rose since followers were last told */
    uint64_t unflushed;   /* first index not yet written; 0: none */
    uint64_t transfer_to; /* 0: no transfer on its way */
    uint64_t transfer_end_ms;
    uint64_t adding_id; /* learner to add after a removal; 0: none */
    char adding_host[MSG_HOST_BYTES];
};

/* raft.c */
void raft_become_follower(struct raft *raft, uint64_t term, uint64_t now_ms);
void raft_advance_commit(struct raft *raft, uint64_t index);
uint64_t raft_note_write(struct raft *raft, uint64_t write,
                         uint64_t last_index);
bool raft_is_voter(const struct raft *raft, uint64_t id);
uint32_t raft_voter_count(const struct raft *raft);

/* raftlead.c */
void raft_become_leader(struct raft *raft, uint64_t now_ms);
void raft_stop_leading(struct raft *raft, uint64_t now_ms);
void raft_lead_tick(struct raft *raft, uint64_t now_ms);
void raft_lead_hello(struct raft *raft, const struct msg_hello *msg,
                     uint64_t now_ms);
void raft_lead_reply(struct raft *raft, const struct msg_append_reply *msg,
                     uint64_t now_ms);
void raft_lead_snapshot_reply(struct raft *raft,
                              const struct msg_snapshot_reply *msg,
                              uint64_t now_ms);
void raft_lead_synced(struct raft *raft, uint64_t now_ms);

#endif /* FP_RAFTPRIV_H */
