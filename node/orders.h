/* orders.h -- how the leader's orders reach a target
 *
 * An order channel carries the orders of the plan to targets, each with the
 * leader's fence and a deadline on the target's own clock. One implementation
 * calls targets over HTTP (platform/orders.c); tests have their own.
 */
#ifndef FP_ORDERS_H
#define FP_ORDERS_H

#include "core/plan.h"

/* What every order to a target says. */
struct order_head {
    const struct fleet_target *target;
    uint64_t fence;       /* rises with each leader */
    uint64_t deadline_ms; /* end of the lease, target's clock; 0: unchanged */
    uint32_t timeout_ms;
    /* Only over a connection opened before this, else ORDER_NOT_SENT; 0: over
     * any. */
    uint64_t opened_before_ms;
};

/* One end in a target's list; numbers rise within an incarnation. */
struct order_end {
    uint64_t number;
    struct fleet_run_end end;
};

/* The answer to an order. */
struct order_reply {
    enum order_answer answer;
    bool has_clock;
    uint64_t clock_ms; /* of the target */
    /* Of a hold that was ORDER_DONE: */
    uint64_t born_ms;
    const struct plan_listed_run *rows;
    uint32_t row_count;
    const struct order_end *ends;
    uint32_t end_count;
};

typedef void (*order_done)(void *ctx, const struct order_reply *reply);

struct order_channel {
    void (*start)(void *channel, const struct order_head *head,
                  const struct plan_start *start, order_done done, void *ctx);
    void (*stop)(void *channel, const struct order_head *head,
                 const struct fleet_task_id *task, uint32_t run,
                 order_done done, void *ctx);
    void (*pace)(void *channel, const struct order_head *head,
                 const struct fleet_task_id *task, uint32_t run,
                 uint32_t percent, order_done done, void *ctx);
    /* Renews the lease, acknowledges ends up to noted, and waits up to
     * wait_ms for a new end. */
    void (*hold)(void *channel, const struct order_head *head, uint64_t noted,
                 uint32_t wait_ms, order_done done, void *ctx);
    void *channel;
};

/* The end of a question to the placement policy. */
typedef void (*policy_done)(void *ctx, enum fp_err err,
                            const struct call_ticket *tickets, uint32_t count);

/* Asks the placement policy; one question at a time. */
struct policy_client {
    void (*ask)(void *client, const struct call_advise *question,
                policy_done done, void *ctx);
    void *client;
};

#endif /* FP_ORDERS_H */
