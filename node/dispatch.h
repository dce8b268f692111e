/* dispatch.h -- the leader of a fleet: client calls, orders, leases, ends
 *
 * Exists only while this host leads. It connects the replicated state (fleet),
 * the scheduler (plan) and the order channel. It renews each target's lease,
 * stores the ends that targets list before it acknowledges them, and spreads
 * the queries to the placement policy over the hosts that offered to send
 * them.
 */
#ifndef FP_DISPATCH_H
#define FP_DISPATCH_H

#include "base/histogram.h"
#include "core/room.h"
#include "node/orders.h"
#include "node/relay.h"
#include "node/replica.h"

struct dispatch;

/* Durations measured since this host became leader. */
struct dispatch_times {
    /* From the proposal of a change to its answer. */
    struct histogram commit_ms;
    /* From the acceptance of a job to the order to start its first run. */
    struct histogram first_start_ms;
    /* From a start order, or its second copy, to the answer. */
    struct histogram start_order_ms;
    /* Of queries to the placement policy. */
    struct histogram policy_query_ms;
    /* Of completed jobs, in thousandths of their time objective. */
    struct histogram completion_permille;
};

/* Queries to the placement policy since this host became leader. */
struct dispatch_policy_counters {
    uint64_t failures;    /* without a usable answer */
    uint64_t given_up;    /* of them, without an answer for as long as it is
                           * waited for: their turns at the policy are wasted */
    uint64_t late;        /* answers that took longer than measured so far */
    uint64_t repeated;    /* late ones; their steps were queried about again */
    uint64_t late_used;   /* answers to these */
    uint64_t unread;      /* entries of answers that could not be read */
    uint64_t stated_ms;   /* what the answered ones should have taken, as
                           * the configuration states it */
    uint64_t measured_ms; /* what they took, at the host that asked */
    uint32_t under_way;
    uint32_t limit; /* of those, by what the policy bears */
    uint32_t hosts; /* that could ask */
};

/* What dispatch_new() needs; all of it must outlive the dispatch. */
struct dispatch_deps {
    struct replica *replica;
    struct fleet *fleet;
    struct relay *relay;
    const struct settings *settings;
    const struct order_channel *orders;
    const struct policy_client *policy;
};

/* Call when this host becomes leader. */
struct dispatch *dispatch_new(const struct dispatch_deps *deps);

/* What the state holds of what it has room for; core/room.h. */
struct dispatch_room {
    struct room_limits limits;
    uint64_t job_bytes;         /* with the jobs that are being stored */
    uint64_t jobs_without_room; /* refused, as are the targets below */
    uint32_t targets;
    uint64_t targets_refused;
};
struct dispatch_room dispatch_room(const struct dispatch *dispatch);

/* Frees the dispatch; later answers to its orders and queries are ignored.
 * dispatch may be NULL. */
void dispatch_free(struct dispatch *dispatch);

/* Handles a call to the leader; kind is a CALL_ value and body the encoded
 * record. It is answered through relay_answer(). */
void dispatch_handle_call(struct dispatch *dispatch,
                          const struct relay_caller *caller, uint32_t kind,
                          const struct fp_blob *body);

/* Checks leases and sends hold calls; call every 10 ms. now_ms, here and
 * below, is on the monotonic clock. */
void dispatch_tick(struct dispatch *dispatch, uint64_t now_ms);

/* Whether the numbers of sessions with targets are used up in this term: only
 * in a new one can late orders of earlier sessions be told apart again. */
bool dispatch_needs_new_term(const struct dispatch *dispatch);

/* Runs a scheduling pass; call once per iteration of the event loop. */
void dispatch_flush(struct dispatch *dispatch, uint64_t now_ms);

/* Changes of the fleet's state; see struct fleet_ops. */
void dispatch_config_changed(struct dispatch *dispatch);
void dispatch_evacuation_changed(struct dispatch *dispatch);
void dispatch_target_changed(struct dispatch *dispatch,
                             struct fleet_target *target, bool restarted);
void dispatch_target_removed(struct dispatch *dispatch,
                             struct fleet_target *target);
void dispatch_job_added(struct dispatch *dispatch, struct fleet_job *job);
void dispatch_job_ended(struct dispatch *dispatch, struct fleet_job *job);
void dispatch_job_removed(struct dispatch *dispatch, struct fleet_job *job);
void dispatch_queue_removed(struct dispatch *dispatch,
                            const struct fleet_queue *queue);

const struct dispatch_times *dispatch_times(const struct dispatch *dispatch);
const struct plan_counters *dispatch_counters(const struct dispatch *dispatch);
struct plan_gauges dispatch_gauges(const struct dispatch *dispatch);
const struct dispatch_policy_counters *
dispatch_policy_counters(const struct dispatch *dispatch);
/* Listed checkpoints that were too long to be stored. */
uint64_t dispatch_checkpoints_refused(const struct dispatch *dispatch);

/* The state for diagnosis; the caller owns the reference. */
json_t *dispatch_dump(const struct dispatch *dispatch);

#endif /* FP_DISPATCH_H */
