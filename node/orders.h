/* orders.h -- interfaces to targets and to the placement policy
 *
 * The leader sends its orders to targets through an order channel. Each order
 * carries the leader's fencing token and the target's lease, as a deadline on
 * the target's own clock. platform/orders.c implements both interfaces over
 * HTTP.
 */
#ifndef FP_ORDERS_H
#define FP_ORDERS_H

#include "core/plan.h"

/* The part that all orders have in common. */
struct order_head {
    const struct fleet_target *target;
    uint64_t fence;       /* see core/fence.h */
    uint64_t deadline_ms; /* end of the lease, on the target's clock; 0: the
                           * lease is left as it is */
    uint32_t timeout_ms;  /* longest wait for the answer */
    /* If not 0: the order may be sent only over a connection opened before
     * this time on the monotonic clock; without one the answer is
     * ORDER_NOT_SENT. */
    uint64_t opened_before_ms;
};

/* The end of a run, as its target lists it. Each incarnation of a target
 * numbers its ends from 1. */
struct order_end {
    uint64_t number;
    struct fleet_run_end end;
    bool checkpoint_too_long; /* as of struct plan_listed_run */
};

/* The answer to an order. */
struct order_reply {
    enum order_answer answer;
    bool closed; /* with ORDER_UNKNOWN: the target ended the connection */
    bool has_clock;
    uint64_t clock_ms; /* of the target */
    /* Only for a hold call with ORDER_DONE: */
    uint64_t born_ms; /* start time of the incarnation; 0: not sent */
    const struct plan_listed_run *runs;
    uint32_t run_count;
    const struct order_end *ends;
    uint32_t end_count;
    bool ends_cut; /* the target may have further ends that it will list once
                    * these are acknowledged */
};

/* Called once for each order. reply and its lists are valid during the call.
 */
typedef void (*order_done)(void *ctx, const struct order_reply *reply);

/* The arguments of an order are valid during the call only. */
struct order_channel {
    void (*start)(void *channel, const struct order_head *head,
                  const struct plan_start *start, order_done done, void *ctx);
    void (*stop)(void *channel, const struct order_head *head,
                 const struct fleet_task_id *task, uint32_t run_number,
                 order_done done, void *ctx);
    /* Throttles a run to a percentage of its full speed. */
    void (*pace)(void *channel, const struct order_head *head,
                 const struct fleet_task_id *task, uint32_t run_number,
                 uint32_t percent, order_done done, void *ctx);
    /* A long poll: renews the lease, acknowledges the ends up to ack_number
     * (0: none), and lists the target's runs and ends once there is a new end,
     * after wait_ms at the latest. */
    void (*hold)(void *channel, const struct order_head *head,
                 uint64_t ack_number, uint32_t wait_ms, order_done done,
                 void *ctx);
    void *channel;
};

/* The placement policy's answer to a query, as the client received it. */
struct policy_reply {
    enum fp_err err;
    const struct call_ticket *tickets;
    uint32_t count;
    uint32_t status;  /* of HTTP; 0: no answer */
    uint32_t bytes;   /* of the answer's body */
    uint32_t unread;  /* entries of the answer that could not be read */
    uint32_t took_ms; /* from the query to the answer, at the client */
};

/* Called once for each query. reply is valid during the call. */
typedef void (*policy_done)(void *ctx, const struct policy_reply *reply);

/* A client of the placement policy, for one query at a time. */
struct policy_client {
    void (*query)(void *client, const struct call_advise *query,
                  policy_done done, void *ctx);
    void *client;
};

#endif /* FP_ORDERS_H */
