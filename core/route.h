/* route.h -- queues calls and sends them to service instances
 *
 * Runs at the host that owns the instances. It does no I/O and reads no clock:
 * the caller passes the time, in ms of the monotonic clock, and sends calls in
 * a callback. All slots of an instance are counted here, so their number is
 * never exceeded however many hosts accept requests. A call is sent, queued,
 * or refused at once with the time to wait before a retry. Queues are bounded,
 * and a call that is not expected to be sent before its deadline is not
 * queued.
 */
#ifndef FP_ROUTE_H
#define FP_ROUTE_H

#include "core/cell.h"

/* How an instance is chosen among those with a free slot. */
enum router_policy {
    ROUTER_ROUND_ROBIN,
    ROUTER_LEAST_LOADED,
    ROUTER_EXPECTED_LATENCY /* load * smoothed latency * failure penalty */
};

/* One client request. The caller allocates it, sets the first four fields and
 * zeroes the others. It must stay valid until it is completed, refused or
 * cancelled.
 */
struct router_call {
    char service[NAME_BYTES];
    char team[NAME_BYTES];
    uint32_t max_waiting; /* limit on a service's waiting calls; 0: default */
    uint64_t deadline_ms;
    /* Private to the router. */
    struct router_instance *instance; /* set while the call holds a slot */
    struct router_queue *queue;       /* set while the call waits */
    GList *queue_link;                /* element of the call in its queue */
    uint64_t sent_ms;
};

struct router_ops {
    /* Sends the call; target and address are valid until it returns. False:
     * the call may not be sent, for example because the configuration of this
     * host may be out of date; it is then refused with FP_ERR_CONFIG_STALE. */
    bool (*send)(void *ctx, struct router_call *call, const char *target,
                 const char *address);
    /* Ends a call that was not sent. retry_after_ms 0 stands for the
     * default of the error kind. */
    void (*refuse)(void *ctx, struct router_call *call, enum fp_err err,
                   uint32_t retry_after_ms);
    void *ctx;
};

/* How a sent call ended. */
enum router_outcome {
    ROUTER_ANSWERED,      /* a complete answer, whatever its status */
    ROUTER_NOT_CONNECTED, /* the target did not accept the connection */
    ROUTER_INCOMPLETE     /* sent, but no complete answer was received */
};

struct router;

/* Copies ops. */
struct router *router_new(enum router_policy policy,
                          const struct router_ops *ops);

/* Forgets waiting calls without a callback; see router_refuse_all(). */
void router_free(struct router *router);

/* Adds an instance or updates it. Its slots are used from usable_at_ms on;
 * until then calls of a previous owner that was lost may occupy them. A new
 * address clears the record of failures.
 */
void router_set_instance(struct router *router, const char *target,
                         const char *service, const char *address,
                         uint32_t slots, uint64_t usable_at_ms);

/* Sends no more calls to the instance. Calls in flight continue; the instance
 * is deleted after the last one.
 */
void router_remove_instance(struct router *router, const char *target);

/* Replaces the set of instances: mark all, set the current ones, then remove
 * those that are still marked. */
void router_mark_instances(struct router *router);
void router_remove_marked(struct router *router);

/* Sets a team's weight for sharing slots, and its limit: at most units calls
 * in flight at this host. With limited false units is ignored. A team that
 * was never set has weight 1 and no limit.
 */
void router_set_team(struct router *router, const char *team, uint32_t weight,
                     bool limited, uint32_t units);

/* Sends, queues or refuses the call; callbacks may run before the return.
 * Refuses with FP_ERR_NO_TARGET when the service has no instance here,
 * FP_ERR_DEADLINE_EXCEEDED when the deadline has passed, and FP_ERR_BUSY
 * (FP_ERR_LIMIT if the team has no free unit) when the queue is full or the
 * expected wait reaches the deadline.
 */
void router_submit(struct router *router, struct router_call *call,
                   uint64_t now_ms);

/* Ends a sent call: frees its slot and unit, and sends waiting calls of the
 * service.
 */
void router_complete(struct router *router, struct router_call *call,
                     enum router_outcome outcome, uint64_t now_ms);

/* Takes a waiting call out of its queue without a callback. */
void router_cancel(struct router *router, struct router_call *call);

/* Refuses waiting calls whose deadline has passed and sends those for which
 * there is capacity. To be called about every 10 ms.
 */
void router_tick(struct router *router, uint64_t now_ms);

/* Refuses all waiting calls, for shutdown. */
void router_refuse_all(struct router *router, enum fp_err err);

uint32_t router_in_flight(const struct router *router);
uint32_t router_waiting(const struct router *router);

struct service_load {
    uint32_t free_slots;
    uint32_t waiting;         /* calls */
    uint32_t instances;       /* usable ones */
    uint32_t service_time_ms; /* smoothed time that a call holds a slot */
};

/* Fills load with the capacity of a service at this host; all zero when the
 * service is unknown.
 */
void router_service_load(const struct router *router, const char *service,
                         uint64_t now_ms, struct service_load *load);

/* Calls the callback for every service that has instances at this host. */
void router_foreach_service(const struct router *router,
                            void (*callback)(void *ctx, const char *service),
                            void *ctx);

/* Sets used to the team's calls in flight, and wanted to those plus its
 * waiting calls; both 0 when the team is unknown.
 */
void router_team_demand(const struct router *router, const char *team,
                        uint32_t *used, uint32_t *wanted);

/* Calls in flight to a target; 0 when the target is unknown. */
uint32_t router_target_in_flight(const struct router *router,
                                 const char *target);

#endif /* FP_ROUTE_H */
