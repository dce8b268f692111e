/* replica.h -- the cell task: replication, the cell's state, messages
 *
 * Owns the raft module, the cell, the disk task and the bus. Other parts read
 * the cell through replica_cell() and change it only through proposals, which
 * find their way to the leader.
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
#define ASK_TIMEOUT_MS 5000u

struct replica;

/* The replicated state, where it is not the cell. Committed changes come in
 * log order; the answer is for the proposer. */
struct replica_machine {
    void (*apply)(void *ctx, uint64_t index, const uint8_t *data,
                  uint32_t size_bytes, struct change_answer *answer);
    void (*save)(void *ctx, struct fp_blob *out);
    /* Replaces the state; FP_ERR_CORRUPT leaves it unchanged. */
    enum fp_err (*load)(void *ctx, const struct fp_blob *state);
    void *ctx;
};

/* Told of what concerns other parts. All run on the loop. */
struct replica_ops {
    const struct replica_machine *machine; /* NULL: a cell of its own */
    /* Began or ceased to lead. */
    void (*leading)(void *ctx, bool leading);
    /* The state was replaced by a snapshot: every pointer into it is stale. */
    void (*replaced)(void *ctx);
    /* Changes of the state, as in struct cell_ops. */
    struct cell_ops cell;
    /* Messages of requests: MSG_CALL, MSG_CALL_REPLY, MSG_HINT, MSG_FORWARD,
     * MSG_FORWARD_REPLY. */
    void (*message)(void *ctx, const char *from, uint32_t type,
                    const void *msg);
    /* Leader only: answers a question through replica_answer(). */
    void (*asked)(void *ctx, uint64_t ask, const char *route,
                  const json_t *body);
    void *ctx;
};

/* The end of a proposal. FP_ERR_UNKNOWN_OUTCOME: it may yet be applied.
 * answer is valid during the call.
 */
typedef void (*propose_done)(void *ctx, enum fp_err err,
                             const struct change_answer *answer);

/* The end of a question. body may be NULL. */
typedef void (*ask_done)(void *ctx, enum fp_err err, const json_t *body);

/* Opens the data folder, binds the bus and starts. */
enum fp_err replica_new(uv_loop_t *loop, struct timers *timers,
                        const struct settings *settings,
                        const struct replica_ops *ops, struct replica **out,
                        char *why, unsigned why_bytes);

void replica_free(struct replica *replica);

/* Proposes a change, here or through the leader. While nothing was sent, or
 * the change has an ID that makes a second sending harmless, it is tried
 * again until PROPOSE_TIMEOUT_MS. done is called once the change is applied
 * here too.
 */
void replica_propose(struct replica *replica, const struct fp_schema *schema,
                     void *change, propose_done done, void *ctx);

/* Asks the leader; body is borrowed. */
void replica_ask(struct replica *replica, const char *route,
                 const json_t *body, ask_done done, void *ctx);

/* Answers a question; body is taken over and may be NULL. */
void replica_answer(struct replica *replica, uint64_t ask, enum fp_err err,
                    json_t *body);

/* Sends to one host, or to all others. */
enum fp_err replica_send(struct replica *replica, const char *host,
                         const struct fp_schema *schema, const void *msg);
void replica_broadcast(struct replica *replica, const struct fp_schema *schema,
                       const void *msg);

/* Operators' commands; only where this host leads, but for bootstrap. */
enum fp_err replica_bootstrap(struct replica *replica);
enum fp_err replica_member_add(struct replica *replica, const char *host,
                               char *why, unsigned why_bytes);
enum fp_err replica_member_remove(struct replica *replica, const char *host);

/* Shutdown: hands leadership on. */
void replica_step_down(struct replica *replica);

/* Queries. */
struct cell *replica_cell(const struct replica *replica);
const struct raft *replica_raft(const struct replica *replica);
struct bus *replica_bus(const struct replica *replica);
uint64_t replica_run_id(const struct replica *replica);
bool replica_fresh(const struct replica *replica);
bool replica_leads(const struct replica *replica);
json_t *replica_dump(const struct replica *replica);

#endif /* FP_REPLICA_H */
