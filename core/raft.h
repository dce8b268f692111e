/* raft.h -- leader election and log replication
 *
 * A pure module: messages and time come in, effects go out through struct
 * raft_ops. No sockets, no clock, no disk. Times are milliseconds of a
 * monotonic clock that counts suspension.
 *
 * What it adds to plain Raft: pre-vote; a leader lease, so that a leader knows
 * without a round trip that no other can exist; a freshness lease for every
 * follower, so that a host that is cut off knows that its copy may be old;
 * observers, which follow the log without a vote or a disk; one change of
 * members at a time; identities that belong to a data folder.
 */
#ifndef FP_RAFT_H
#define FP_RAFT_H

#include "core/msg.h"

enum raft_state {
    RAFT_FOLLOWER,
    RAFT_PRE_CANDIDATE,
    RAFT_CANDIDATE,
    RAFT_LEADER
};

/* Times and bounds. Zero fields take the defaults of raft_default_times(). */
struct raft_times {
    uint64_t heartbeat_ms;    /* leader to follower, at least this often */
    uint64_t election_min_ms; /* no vote within this of the leader's word */
    uint64_t election_max_ms; /* candidates start at a random time up to it */
    uint64_t fresh_ms;        /* a follower's copy is in force this long */
    uint64_t drift_permille;  /* bound on the difference of clock rates */
    uint64_t resend_ms;       /* entries unanswered this long are resent */
    uint64_t observer_ms;     /* an observer silent this long is dropped */
};

struct raft_snapshot {
    uint64_t last_index;
    uint64_t last_term;
    struct raft_members members;
    struct fp_blob data;
};

/* What a replica knows at start; all zero for an empty folder. */
struct raft_init {
    uint64_t id;      /* identity; never 0 */
    const char *host; /* name of this host */
    bool has_disk;    /* false: observer for good */
    uint64_t term;
    uint64_t voted_for;
    struct raft_snapshot snapshot; /* taken over by raft_new() */
    struct fp_list entries;        /* struct raft_entry; taken over */
};

struct raft_ops {
    /* Sends msg once the write numbered after_write is synced; 0: at once. */
    void (*send)(void *ctx, uint64_t to_id, const struct fp_schema *schema,
                 const void *msg, uint64_t after_write);
    /* Each write_* queues one durable write and returns its number, rising
     * by at least 1; raft_synced() reports them. Entries with indexes at or
     * above the first one written are replaced. */
    uint64_t (*write_vote)(void *ctx, uint64_t term, uint64_t voted_for);
    uint64_t (*write_entries)(void *ctx, const struct raft_entry *entries,
                              uint32_t count);
    uint64_t (*write_snapshot)(void *ctx, const struct raft_snapshot *snap,
                               const struct raft_entry *entries,
                               uint32_t count);
    /* Applies a committed change, in log order, once for each index. */
    void (*apply)(void *ctx, const struct raft_entry *entry);
    /* Replaces the state by a snapshot; false refuses a malformed one. */
    bool (*restore)(void *ctx, const struct raft_snapshot *snap);
    /* Tells of a new state, term or leader. */
    void (*changed)(void *ctx);
    /* A random number below bound. */
    uint32_t (*random)(void *ctx, uint32_t bound);
    void *ctx;
};

struct raft;

void raft_default_times(struct raft_times *times);

/* Creates a replica at now_ms. It holds back its votes for election_min_ms,
 * since it may have promised a leader lease before it was restarted.
 */
struct raft *raft_new(struct raft_init *init, const struct raft_times *times,
                      const struct raft_ops *ops, uint64_t now_ms);

void raft_free(struct raft *raft);

/* Makes this replica the only voter of a new cell.
 * Returns FP_ERR_STALE when it already belongs to one.
 */
enum fp_err raft_bootstrap(struct raft *raft, uint64_t now_ms);

/* Advances time; call about every 10 ms. */
void raft_tick(struct raft *raft, uint64_t now_ms);

/* Takes a decoded message of the given type. */
void raft_receive(struct raft *raft, uint32_t type, const void *msg,
                  uint64_t now_ms);

/* The writes up to the given number are on disk. */
void raft_synced(struct raft *raft, uint64_t write, uint64_t now_ms);

/* The disk failed: the replica gives up leading, voting and acknowledging. */
void raft_disk_failed(struct raft *raft, uint64_t now_ms);

/* Appends a change; it goes out with the next raft_flush().
 * Returns FP_OK and its index, or FP_ERR_NO_LEADER when not leading.
 */
enum fp_err raft_propose(struct raft *raft, const void *data,
                         uint32_t size_bytes, uint64_t *index);

/* Writes and sends everything proposed since the last call as one batch. */
void raft_flush(struct raft *raft, uint64_t now_ms);

/* Changes one member; only on the leader, one change at a time.
 * raft_member_add() adds a learner, which is promoted once it has caught up;
 * an older identity on the same host is removed first.
 * Returns FP_ERR_BUSY while another change is not committed.
 */
enum fp_err raft_member_add(struct raft *raft, uint64_t id, const char *host);
enum fp_err raft_member_remove(struct raft *raft, uint64_t id);

/* Hands leadership to the most caught-up voter, for shutdown. */
void raft_transfer(struct raft *raft, uint64_t now_ms);

/* Replaces the log up to the applied index by a snapshot of the state. */
void raft_compact(struct raft *raft, const struct fp_blob *state);

/* Queries. */
enum raft_state raft_state(const struct raft *raft);
uint64_t raft_term(const struct raft *raft);
uint64_t raft_id(const struct raft *raft);
uint64_t raft_commit_index(const struct raft *raft);
uint64_t raft_applied_index(const struct raft *raft);
uint64_t raft_last_index(const struct raft *raft);
uint32_t raft_log_length(const struct raft *raft);
const char *raft_leader_host(const struct raft *raft);
const struct raft_members *raft_members(const struct raft *raft);
const struct raft_entry *raft_entry_at(const struct raft *raft,
                                       uint64_t index);

/* Leader only: no other leader can exist before this time. */
uint64_t raft_lease_until_ms(const struct raft *raft);

/* Leader: it leads, its lease holds, and its state has all that was committed
 * before its term. */
bool raft_leads(const struct raft *raft, uint64_t now_ms);

/* This host's state is no older than fresh_ms at now_ms. */
bool raft_fresh(const struct raft *raft, uint64_t now_ms);

/* Leader: when it began to lead. */
uint64_t raft_leading_since_ms(const struct raft *raft);

/* Calls each for every follower that the leader knows. */
void raft_each_follower(const struct raft *raft,
                        void (*each)(void *ctx, uint64_t id, const char *host,
                                     uint64_t match_index,
                                     uint64_t applied_index,
                                     uint64_t heard_ms),
                        void *ctx);

#endif /* FP_RAFT_H */
