/* raftpriv.h -- types and functions shared by raft.c (roles, elections,
 * followers), raftlead.c (the leader) and raftquorum.c (who decides)
 */
#ifndef FP_RAFTPRIV_H
#define FP_RAFTPRIV_H

#include "core/raft.h"
#include "core/raftlog.h"

/* An append takes no further entry once its entries reach this size. */
#define RAFT_APPEND_MAX_BYTES (1024u * 1024)

/* Entries kept in memory that the snapshot covers, so that a follower that
 * lags a little is sent entries rather than the whole state.
 */
#define RAFT_TRAILING_ENTRIES 512u

/* The leader's record of one follower. Times are on the leader's clock unless
 * a comment says otherwise.
 */
struct follower {
    uint64_t id;
    char host[MSG_HOST_BYTES];
    bool observer;              /* not in the member list */
    uint64_t next_index;        /* next entry to send */
    uint64_t match_index;       /* synced on the follower up to here */
    uint64_t applied_index;     /* last reported by the follower */
    uint64_t acked_ms;          /* newest sent_ms that it has echoed */
    uint64_t asked_ms;          /* follower's clock at its newest request for a
                                 * freshness lease */
    uint64_t heard_ms;          /* last message from it */
    uint64_t sent_ms;           /* last message to it */
    uint64_t progress_ms;       /* match_index last rose, or the unanswered
                                 * entries were last resent */
    bool sending_snapshot;      /* no appends until it has the snapshot */
    uint64_t snap_offset_bytes; /* bytes of the snapshot it has received */
    uint64_t snap_sent_ms;      /* last chunk sent */
    uint64_t snap_pause_ms;     /* until the chunk is sent again */
};

/* A durable write that is not synced yet. */
struct pending_write {
    uint64_t number;
    uint64_t last_index; /* last entry that it makes durable; 0: none */
    uint64_t queued_ms;
};

/* A replica that is no member, on the host of a voter: that lost its disk.
 * Where a list has an even number of voters, any two majorities share two of
 * them, so that one of these may be replaced by a replica that remembers
 * nothing. It votes and acknowledges in the voter's place until that is
 * removed.
 */
struct substitute {
    uint64_t id; /* 0: none is known */
    char host[MSG_HOST_BYTES];
};

/* A pre-vote: whom it was given to, with the end of that one's log, and until
 * when others get none. */
struct pre_vote {
    uint64_t id;
    uint64_t last_term;
    uint64_t last_index;
    uint64_t until_ms;
};

/* A snapshot that is being received in chunks. */
struct incoming_snapshot {
    uint64_t last_index;
    uint64_t last_term;
    GByteArray *data; /* NULL: none */
};

struct raft {
    uint64_t id;
    char host[MSG_HOST_BYTES];
    bool has_disk;
    bool disk_failed;        /* the state may not be on disk */
    uint64_t recovery_write; /* the write that ends disk_failed; 0: none yet */
    struct raft_timing timing;
    struct raft_ops ops;

    enum raft_state state;
    uint64_t term;
    uint64_t voted_for; /* 0: no vote in this term */
    uint64_t leased_to; /* see struct raft_vote */
    struct raftlog log;
    struct raft_snapshot snapshot; /* newest; has data only with a disk */
    uint64_t commit_index;
    uint64_t applied_index;

    uint64_t now_ms;          /* of the last call that stated the time */
    uint64_t last_write;      /* number of the newest write */
    uint64_t last_vote_write; /* the newest one with a struct raft_vote */
    uint64_t synced_write;    /* the newest one that is on disk */
    uint64_t
        write_ms; /* how long the last one took, from when it was queued */
    uint64_t synced_index;  /* last entry known to be on disk */
    GArray *pending_writes; /* struct pending_write, oldest first */

    uint64_t leader_id; /* 0: not known */
    char leader_host[MSG_HOST_BYTES];
    uint64_t leader_heard_ms;     /* last message from a leader, whose lease
                                   * it extended by election_min_ms; at first
                                   * the start; 0: no lease is in force */
    uint64_t election_at_ms;      /* when the election timer expires */
    struct pre_vote pre_vote;     /* the last one that it gave */
    uint64_t asked_votes_ms;      /* when its own last election began */
    uint64_t late_vote_ms;        /* how long a vote took that came too late
                                   * for one, since a leader was last known */
    uint32_t lost_elections;      /* of its own, since then */
    uint64_t fresh_until_ms;      /* end of the freshness lease */
    uint64_t next_fresh_index;    /* to be applied before the next lease */
    uint64_t next_fresh_until_ms; /* end of the next freshness lease */
    GHashTable *votes_granted;    /* IDs of replicas, while a candidate */
    struct substitute substitute; /* the last one that announced itself */
    struct incoming_snapshot incoming_snapshot;

    /* Leader only. */
    GHashTable *followers;     /* ID to struct follower */
    uint64_t leading_since_ms; /* when it became leader */
    uint64_t noop_index;       /* its first entry of this term */
    uint64_t lease_until_ms;   /* end of the leader lease; 0: none */
    bool commit_unsent;        /* commit_index rose since the last flush */
    uint64_t unflushed_index;  /* first entry not written yet; 0: none */
    uint64_t transfer_to_id;   /* 0: no leadership transfer in progress */
    uint64_t transfer_deadline_ms;
    uint64_t pending_learner_id; /* learner to add once the change in progress
                                  * is committed; 0: none */
    char pending_learner_host[MSG_HOST_BYTES];
};

/* raft.c */
/* Changes the state to RAFT_FOLLOWER and restarts the election timer. A higher
 * term is adopted and written to disk.
 */
void raft_become_follower(struct raft *raft, uint64_t term, uint64_t now_ms);
/* Forgets the elections without a result. */
void raft_leader_is_known(struct raft *raft);
/* Commits up to index, at most the end of the log, and applies it. */
void raft_advance_commit(struct raft *raft, uint64_t index);
/* Records a queued write that makes the log durable up to last_index (0: no
 * entries). Returns its number; 0 without a disk, where it counts as synced.
 */
uint64_t raft_track_write(struct raft *raft, uint64_t write,
                          uint64_t last_index);
bool raft_is_voter(const struct raft *raft, uint64_t id);

/* raftquorum.c */
/* Returns what a replica has reached, such as an index that is on its disk. */
typedef uint64_t (*raft_value_of)(const struct raft *raft, uint64_t id);
/* Returns the highest value that a quorum has reached: a majority of the
 * newest list, and of the one before it where substitutes may have counted in
 * that and the newest is not known to be committed. In a list that is, of an
 * even number of voters, one may be represented by its substitute. */
uint64_t raft_quorum_value(const struct raft *raft, raft_value_of value_of);
/* Records the sender of a greeting if it is on the host of a voter and no
 * member. */
void raft_note_substitute(struct raft *raft, const struct msg_hello *msg);
/* Calls visit for each other replica that may count in a quorum. */
typedef void (*raft_visit_elector)(void *ctx, uint64_t id, const char *host);
void raft_for_each_elector(const struct raft *raft, raft_visit_elector visit,
                           void *ctx);
/* Whether the log shows, also after a restart, that the newest voters were
 * committed, or that does not matter for them. */
bool raft_voters_recorded(const struct raft *raft);
const struct raft_member *raft_find_member(const struct raft_members *members,
                                           uint64_t id);
uint32_t raft_count_voters(const struct raft_members *members);
bool raft_same_voters(const struct raft_members *a,
                      const struct raft_members *b);

/* raftlead.c */
void raft_become_leader(struct raft *raft, uint64_t now_ms);
/* Clears the leader state and discards entries that were not written yet.
 * Called by raft_become_follower().
 */
void raft_stop_leading(struct raft *raft, uint64_t now_ms);
void raft_leader_tick(struct raft *raft, uint64_t now_ms);
void raft_leader_on_hello(struct raft *raft, const struct msg_hello *msg,
                          uint64_t now_ms);
void raft_leader_on_append_reply(struct raft *raft,
                                 const struct msg_append_reply *msg,
                                 uint64_t now_ms);
void raft_leader_on_snapshot_reply(struct raft *raft,
                                   const struct msg_snapshot_reply *msg,
                                   uint64_t now_ms);
void raft_leader_on_synced(struct raft *raft, uint64_t now_ms);

#endif /* FP_RAFTPRIV_H */
