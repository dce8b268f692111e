/* dispatch.h -- the leader's work: calls, orders to targets, ends, questions
 *
 * Exists only while this host leads. It joins the replicated state (fleet),
 * the decisions (plan) and the order channel: it holds every target's lease,
 * commits the ends that targets list before it acknowledges them, and spreads
 * questions to the placement policy over the hosts that offered to ask.
 */
#ifndef FP_DISPATCH_H
#define FP_DISPATCH_H

#include "base/histogram.h"
#include "core/plan.h"
#include "node/orders.h"
#include "node/relay.h"
#include "node/replica.h"

struct dispatch;

/* Times of the leader's work, in ms, since its term began. */
struct dispatch_times {
    struct histogram commit; /* of a change, from proposal to answer */
    struct histogram
        first_start;             /* from a job's acceptance to its first run */
    struct histogram order;      /* from a start order to its answer */
    struct histogram advice;     /* of a question to the placement policy */
    struct histogram completion; /* of jobs, in thousandths of the objective */
};

/* What a dispatch works with; all outlive it. */
struct dispatch_parts {
    struct replica *replica;
    struct fleet *fleet;
    struct relay *relay;
    const struct settings *settings;
    const struct order_channel *orders;
    const struct policy_client *policy;
};

struct dispatch *dispatch_new(const struct dispatch_parts *parts);

/* Answers of orders that are still out are dropped. */
void dispatch_free(struct dispatch *dispatch);

/* A call that this host has to answer as the leader. */
void dispatch_called(struct dispatch *dispatch,
                     const struct relay_caller *caller, uint32_t kind,
                     const struct fp_blob *body);

void dispatch_tick(struct dispatch *dispatch, uint64_t now_ms);

/* Decides on what has come in; call once a turn of the loop. */
void dispatch_flush(struct dispatch *dispatch, uint64_t now_ms);

/* Events of the fleet's state. */
void dispatch_config_changed(struct dispatch *dispatch);
void dispatch_target_changed(struct dispatch *dispatch,
                             struct fleet_target *target, bool reborn);
void dispatch_target_removed(struct dispatch *dispatch,
                             struct fleet_target *target);
void dispatch_job_added(struct dispatch *dispatch, struct fleet_job *job);
void dispatch_job_ended(struct dispatch *dispatch, struct fleet_job *job);
void dispatch_job_removed(struct dispatch *dispatch, struct fleet_job *job);

const struct dispatch_times *dispatch_times(const struct dispatch *dispatch);
json_t *dispatch_dump(const struct dispatch *dispatch);
const struct plan_counters *dispatch_counters(const struct dispatch *dispatch);

#endif /* FP_DISPATCH_H */
