/* raft.h -- leader election and log replication
 *
 * The module does no I/O and reads no clock: the caller passes in messages and
 * the time, and the module calls struct raft_ops to send and to write. Times
 * are milliseconds of a monotonic clock that counts suspension.
 *
 * Extensions to basic Raft:
 *   - pre-vote;
 *   - a leader lease, within which the leader knows without a round trip that
 *     there is no other leader;
 *   - a freshness lease for each follower, so that a host that is cut off
 *     knows that its copy of the state may be stale;
 *   - disks that are slower than elections and leases: a leader is answered
 *     before entries are on disk, and elections wait for votes as long as
 *     they take to store; see docs/design/takeover.md;
 *   - observers, which follow the log without a vote or a disk;
 *   - membership changes, one at a time; in a list of an even number of voters
 *     a quorum may have one replica with an empty disk in the place of a voter
 *     on its host: see docs/design/takeover.md;
 *   - replica identities that belong to a data folder: a replica that lost its
 *     disk gets a new one.
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

/* Timeouts, leases and intervals. raft_new() takes them as they are: start
 * from raft_default_timing().
 */
struct raft_timing {
    uint64_t heartbeat_ms;    /* longest interval between appends */
    uint64_t election_min_ms; /* shortest election timeout; a replica that
                               * has extended a leader's lease votes for no
                               * other within this time */
    uint64_t election_max_ms; /* longest election timeout */
    uint64_t fresh_ms;        /* length of a freshness lease */
    uint64_t drift_permille;  /* bound on the difference of clock rates */
    uint64_t resend_ms;       /* resend entries after this without progress */
    uint64_t observer_ms;     /* forget an observer silent for this long */
};

struct raft_snapshot {
    uint64_t last_index; /* last entry that it covers */
    uint64_t last_term;  /* term of that entry */
    struct raft_members members;
    struct fp_blob data;
};

/* What a replica must remember of elections over a restart. */
struct raft_vote {
    uint64_t term;
    uint64_t voted_for; /* in this term; 0: none */
    /* The only replica whose leader lease this one may have extended, if one
     * can still be in force: its own identity for none, 0 where it is not
     * known (records of older versions). See docs/design/takeover.md. */
    uint64_t leased_to;
};

/* The durable state that a replica starts from. For an empty data folder all
 * but id, host and has_disk is zero.
 */
struct raft_init {
    uint64_t id;      /* identity; never 0 */
    const char *host; /* name of this host */
    bool has_disk;    /* false: always an observer */
    struct raft_vote vote;
    struct raft_snapshot snapshot; /* taken over by raft_new() */
    struct fp_list entries;        /* struct raft_entry; taken over */
    /* Number of the write that makes this state durable; 0: it is. Until that
     * write is synced the replica acts as after raft_disk_failed(). */
    uint64_t pending_write;
};

struct raft_ops {
    /* Sends msg, which is valid only during the call, once the write numbered
     * after_write is synced; 0: at once. */
    void (*send)(void *ctx, uint64_t to_id, const struct fp_schema *schema,
                 const void *msg, uint64_t after_write);
    /* Each write_* queues one durable write and returns its number, which is
     * greater than that of the write before it; the caller reports completed
     * writes by raft_synced(). write_entries replaces all entries from the
     * first index written on; write_snapshot and rewrite replace the whole log
     * by the snapshot and the entries after it. All that write_snapshot writes
     * is in earlier writes too, so that it may be left out; rewrite also
     * writes what isn't, such as the contents of writes that failed. */
    uint64_t (*write_vote)(void *ctx, const struct raft_vote *vote);
    uint64_t (*write_entries)(void *ctx, const struct raft_entry *entries,
                              uint32_t count);
    uint64_t (*write_snapshot)(void *ctx, const struct raft_snapshot *snap,
                               const struct raft_vote *vote,
                               const struct raft_entry *entries,
                               uint32_t count);
    uint64_t (*rewrite)(void *ctx, const struct raft_snapshot *snap,
                        const struct raft_vote *vote,
                        const struct raft_entry *entries, uint32_t count);
    /* Applies a committed change; called in log order, once for each index.
     * Entries of other kinds aren't passed on. */
    void (*apply)(void *ctx, const struct raft_entry *entry);
    /* Replaces the state by a snapshot; returns false if it is malformed. */
    bool (*restore)(void *ctx, const struct raft_snapshot *snap);
    /* Called after a change of the role, the term or the leader. */
    void (*state_changed)(void *ctx);
    /* Returns a random number in [0, bound). */
    uint32_t (*random)(void *ctx, uint32_t bound);
    void *ctx;
};

struct raft;

void raft_default_timing(struct raft_timing *timing);

/* Creates a replica at now_ms and clears *init, whose snapshot and entries it
 * takes over. Where init->vote says that it may have extended a leader's lease
 * just before the restart, it votes for no other replica for election_min_ms.
 * Release it by raft_free().
 */
struct raft *raft_new(struct raft_init *init, const struct raft_timing *timing,
                      const struct raft_ops *ops, uint64_t now_ms);

void raft_free(struct raft *raft);

/* Makes this replica the only voter of a new cell.
 * Returns FP_ERR_STALE when it already belongs to a cell, FP_ERR_DISK when it
 * has no disk.
 */
enum fp_err raft_bootstrap(struct raft *raft, uint64_t now_ms);

/* Runs the timers; call about every 10 ms. */
void raft_tick(struct raft *raft, uint64_t now_ms);

/* Reports that messages reach a host again, or for the first time: it is asked
 * for its vote at once where this replica looks for votes. */
void raft_host_connected(struct raft *raft, const char *host);

/* Handles a decoded message of type enum msg_type; others are ignored. */
void raft_receive(struct raft *raft, uint32_t type, const void *msg,
                  uint64_t now_ms);

/* Reports that the writes up to the given number are on disk. */
void raft_synced(struct raft *raft, uint64_t write, uint64_t now_ms);

/* Reports that a write failed: it is unknown what the disk holds of it and of
 * the writes after it, whose messages must not be sent. The replica doesn't
 * lead, vote or acknowledge anything until a later raft_rewrite() is synced.
 */
void raft_disk_failed(struct raft *raft, uint64_t now_ms);

/* Writes all that this replica must remember. Call it after
 * raft_disk_failed(), again after each one that failed too.
 */
void raft_rewrite(struct raft *raft);

/* Returns whether the replica waits for its state to be on disk. */
bool raft_awaits_disk(const struct raft *raft);

/* Appends a copy of a change; raft_flush() writes and sends it.
 * Returns FP_OK and the log index, FP_ERR_NO_LEADER when this replica doesn't
 * lead or is handing leadership over, or FP_ERR_TOO_LARGE above
 * MSG_ENTRY_MAX_BYTES.
 */
enum fp_err raft_propose(struct raft *raft, const void *data,
                         uint32_t size_bytes, uint64_t *index);

/* Writes and sends the entries appended since the last call as one batch, and
 * sends a new commit index. Does nothing unless leading.
 */
void raft_flush(struct raft *raft, uint64_t now_ms);

/* Change one member; on the leader only, one change at a time. They return
 * FP_OK once the change is started, FP_ERR_NO_LEADER when not leading,
 * FP_ERR_BUSY while another change isn't committed, and FP_ERR_NOT_FOUND for
 * an id that is no follower (to add) or no member (to remove), or that is a
 * member already but silent (to add): its host may have lost its disk.
 * raft_member_add() adds a learner, which becomes a voter once it has caught
 * up; another member on the same host is removed first.
 * raft_member_remove() returns FP_ERR_NOT_ALLOWED for the only voter.
 */
enum fp_err raft_member_add(struct raft *raft, uint64_t id, const char *host,
                            uint64_t now_ms);
enum fp_err raft_member_remove(struct raft *raft, uint64_t id);

/* Hands leadership to the voter whose log is longest; used at shutdown. Gives
 * up the leader lease at once. Does nothing unless leading, or without another
 * voter.
 */
void raft_transfer_leadership(struct raft *raft, uint64_t now_ms);

/* Takes a snapshot: state is the encoded state at the applied index, and is
 * copied. Discards the entries that the snapshot covers, except the newest
 * ones, which are kept for followers that lag a little.
 */
void raft_compact(struct raft *raft, const struct fp_blob *state);

/* Queries; results are valid until the next call that changes the replica.
 * raft_leader_host() returns "" when no leader is known; raft_entry_at()
 * returns NULL for an entry that is not in memory; raft_is_empty(): it has
 * neither entries, nor a term, nor a leader; raft_log_length() counts
 * the entries in memory; raft_votes() is the number of replicas that have
 * granted their vote or pre-vote in the newest election of this one.
 */
enum raft_state raft_state(const struct raft *raft);
uint64_t raft_term(const struct raft *raft);
uint64_t raft_id(const struct raft *raft);
bool raft_is_empty(const struct raft *raft);
uint64_t raft_commit_index(const struct raft *raft);
uint64_t raft_applied_index(const struct raft *raft);
uint64_t raft_last_index(const struct raft *raft);
uint64_t raft_last_term(const struct raft *raft);
uint32_t raft_votes(const struct raft *raft);
/* How long the last durable write took, from when it was queued. */
uint64_t raft_write_ms(const struct raft *raft);
/* Number of the newest write that stored a term or a vote. */
uint64_t raft_vote_write(const struct raft *raft);
uint32_t raft_log_length(const struct raft *raft);
const char *raft_leader_host(const struct raft *raft);
const struct raft_members *raft_members(const struct raft *raft);
const struct raft_entry *raft_entry_at(const struct raft *raft,
                                       uint64_t index);

/* Returns the end of the leader lease: no other replica can become leader
 * before. 0 when not leading.
 */
uint64_t raft_lease_until_ms(const struct raft *raft);

/* Returns whether this replica may act as the leader at now_ms: it is in state
 * RAFT_LEADER, holds the leader lease, and has applied all entries that were
 * committed before its term.
 */
bool raft_leader_ready(const struct raft *raft, uint64_t now_ms);

/* Returns whether this replica's state is at most fresh_ms old at now_ms. */
bool raft_is_fresh(const struct raft *raft, uint64_t now_ms);

/* Returns when this replica last became leader. */
uint64_t raft_leading_since_ms(const struct raft *raft);

/* Calls visit for each follower, observers included; none unless leading.
 * heard_ms is when its last message came.
 */
void raft_for_each_follower(const struct raft *raft,
                            void (*visit)(void *ctx, uint64_t id,
                                          const char *host,
                                          uint64_t match_index,
                                          uint64_t applied_index,
                                          uint64_t heard_ms),
                            void *ctx);

#endif /* FP_RAFT_H */
