/* replica.h -- this host's replica of the replicated state
 *
 * Owns the raft module, the replicated state, the disk thread and the bus.
 * Other modules read the state and change it only by replica_propose(), which
 * forwards changes to the leader. All functions must be called on the loop.
 */
#ifndef FP_REPLICA_H
#define FP_REPLICA_H

#include <jansson.h>

#include "core/cell.h"
#include "core/raft.h"
#include "node/bus.h"
#include "node/clock.h"
#include "node/settings.h"

#define PROPOSE_TIMEOUT_MS 6000u
#define QUERY_TIMEOUT_MS 5000u

struct replica;

/* A replicated state other than struct cell. */
struct replica_state_machine {
    /* Applies a committed change; called in log order. answer is filled in
     * for the proposer; the caller frees it. */
    void (*apply)(void *ctx, uint64_t index, const uint8_t *data,
                  uint32_t size_bytes, struct change_answer *answer);
    /* Encodes the state; the caller frees out. */
    void (*save)(void *ctx, struct fp_blob *out);
    /* Replaces the state; FP_ERR_CORRUPT leaves it unchanged. */
    enum fp_err (*load)(void *ctx, const struct fp_blob *state);
    void *ctx;
};

/* The disk since the start of the process. */
struct replica_disk_status {
    uint64_t failures;          /* writes that failed, retries included */
    uint64_t recoveries;        /* ends of failures */
    uint64_t failed_since_ms;   /* 0: the disk takes writes */
    uint64_t snapshot_failures; /* snapshots that could not be written */
    uint64_t log_bytes;
    uint64_t write_ms; /* how long the last durable write took */
};

/* Callbacks, set by the creator of the replica. All run on the loop. */
struct replica_ops {
    /* NULL: the replica creates a struct cell. Copied by replica_new(). */
    const struct replica_state_machine *state_machine;
    /* This replica began or ceased to act as the leader. */
    void (*on_leadership_changed)(void *ctx, bool leading);
    /* The state was replaced by a snapshot: pointers into it are invalid. */
    void (*on_state_replaced)(void *ctx);
    /* Callbacks of the cell; unused with a state_machine. */
    struct cell_ops cell;
    /* Messages that the replica doesn't handle itself: MSG_CALL,
     * MSG_CALL_REPLY, MSG_HINT, MSG_FORWARD, MSG_FORWARD_REPLY. msg is valid
     * during the call only. */
    void (*on_message)(void *ctx, const char *from, uint32_t type,
                       const void *msg);
    /* A host has announced its replica. May be NULL. */
    void (*on_hello)(void *ctx, const struct msg_hello *msg);
    /* A query, on the leader only; to be answered by replica_reply(), during
     * the call or later. body is NULL if it isn't valid JSON. */
    void (*on_query)(void *ctx, uint64_t query_id, const char *route,
                     const json_t *body);
    void *ctx;
};

/* The result of a proposal; answer is valid during the call only.
 * FP_ERR_NO_LEADER: no leader took the change. FP_ERR_UNKNOWN_OUTCOME: the
 * change may have been applied, or may still be. Other errors are those of
 * raft_propose().
 */
typedef void (*propose_done)(void *ctx, enum fp_err err,
                             const struct change_answer *answer);

/* The result of a query; body is valid during the call only and may be NULL.
 * FP_ERR_NO_LEADER: no answer within QUERY_TIMEOUT_MS, or no leader.
 */
typedef void (*query_done)(void *ctx, enum fp_err err, const json_t *body);

/* Opens the data folder, if the settings name one, binds the bus and starts to
 * replicate. settings must outlive the replica. *out is set on errors too, and
 * must be released by replica_free().
 * Returns FP_OK, the errors of store_open() and bus_new(), or FP_ERR_CORRUPT
 * when the snapshot's state is malformed.
 */
enum fp_err replica_new(uv_loop_t *loop, struct timers *timers,
                        const struct settings *settings,
                        const struct replica_ops *ops, struct replica **out,
                        char *why, unsigned why_bytes);

/* Releases the replica without reporting the results of pending proposals and
 * queries. The loop must run once more. Does nothing for NULL.
 */
void replica_free(struct replica *replica);

/* Proposes a change, which begins with a struct change_head whose at_ms is set
 * here; change is encoded before the call returns. Appends it to the log if
 * this host leads, otherwise sends it to the leader. Until PROPOSE_TIMEOUT_MS
 * an attempt that reached no leader is repeated; one without a result is
 * repeated only if the change has an ID, by which duplicates are recognized.
 * done is called once, possibly before this function returns: with FP_OK when
 * the change has been applied on this host too, so that the proposer reads its
 * own write, or at the timeout if only the leader has applied it.
 */
void replica_propose(struct replica *replica, const struct fp_schema *schema,
                     void *change, propose_done done, void *ctx);

/* Sends a query to the leader, which may be this host. body is not NULL and is
 * needed during the call only. done is called once, possibly before this
 * function returns.
 */
void replica_query(struct replica *replica, const char *route,
                   const json_t *body, query_done done, void *ctx);

/* Answers a query. Takes over the reference to body, which may be NULL.
 * Without effect for a query that is answered already, or that came before
 * this host lost the leadership.
 */
void replica_reply(struct replica *replica, uint64_t query_id, enum fp_err err,
                   json_t *body);

/* Send a message to one host, or to all others; see bus_send() and
 * bus_broadcast().
 */
enum fp_err replica_send(struct replica *replica, const char *host,
                         const struct fp_schema *schema, const void *msg);
void replica_broadcast(struct replica *replica, const struct fp_schema *schema,
                       const void *msg);

/* Membership commands of operators, with the errors of raft_bootstrap(),
 * raft_member_add() and raft_member_remove(). Except for replica_bootstrap(),
 * only the leader accepts them. replica_member_add() sets why for
 * FP_ERR_NOT_FOUND and FP_ERR_BUSY.
 */
enum fp_err replica_bootstrap(struct replica *replica);
enum fp_err replica_member_add(struct replica *replica, const char *host,
                               char *why, unsigned why_bytes);
enum fp_err replica_member_remove(struct replica *replica, const char *host);
/* Whether the host is a member that votes. */
bool replica_member_votes(const struct replica *replica, const char *host);

/* Hands leadership to another replica, for a shutdown. Does nothing unless
 * leading.
 */
void replica_step_down(struct replica *replica);

/* Hands leadership to another replica, and tells all others from now on that
 * this host is being stopped, so that the leader may remove it.
 */
void replica_leave(struct replica *replica);

/* Accessors. replica_cell() is NULL with a state_machine. replica_run_id() is
 * a random number, never 0, drawn at each start. replica_is_leader() is true
 * while this replica may act as the leader, replica_is_fresh() while its state
 * is recent; see raft_leader_ready() and raft_is_fresh(). replica_dump()
 * returns a new reference to a JSON object for diagnostics.
 */
struct cell *replica_cell(const struct replica *replica);
const struct raft *replica_raft(const struct replica *replica);
struct bus *replica_bus(const struct replica *replica);
uint64_t replica_run_id(const struct replica *replica);
struct replica_disk_status replica_disk_status(const struct replica *replica);
bool replica_is_fresh(const struct replica *replica);
bool replica_is_leader(const struct replica *replica);
json_t *replica_dump(const struct replica *replica);

#endif /* FP_REPLICA_H */
