/* route.h -- slots of service instances, team units and waiting requests
 *
 * A pure module at the host that owns instances. Each instance has its slots
 * counted in this one place, so they are never exceeded whatever the number
 * of hosts. A request is sent, waits in a bounded line, or is refused at once
 * with the time at which to come back; nothing is held back that cannot be
 * served before its deadline.
 */
#ifndef FP_ROUTE_H
#define FP_ROUTE_H

#include "core/cell.h"

/* How an instance is chosen among those with a free slot. */
enum route_choice {
    ROUTE_ROUND_ROBIN,
    ROUTE_LEAST_LOADED,
    ROUTE_EXPECTED /* load times smoothed latency, recent failures avoided */
};

/* One request; its owner keeps it until sent, refused or withdrawn. */
struct route_call {
    char service[NAME_BYTES];
    char team[NAME_BYTES];
    uint32_t max_waiting; /* of its queue; 0: the default */
    uint64_t deadline_ms;
    /* The module's own. */
    struct route_instance *instance; /* while it holds a slot */
    struct route_line *line;         /* while it waits */
    GList *link;
    uint64_t sent_ms;
};

struct route_ops {
    /* Sends the call to the target. False: it may not leave now (the host's
     * configuration is out of date); the call is then refused. */
    bool (*send)(void *ctx, struct route_call *call, const char *target,
                 const char *address);
    /* Final answer: not run. */
    void (*refuse)(void *ctx, struct route_call *call, enum fp_err err,
                   uint32_t retry_after_ms);
    void *ctx;
};

/* How a sent call ended. */
enum route_end {
    ROUTE_ANSWERED,      /* a whole answer, whatever its status */
    ROUTE_NOT_CONNECTED, /* the target took no connection */
    ROUTE_BROKEN         /* sent, and no whole answer */
};

struct route;

struct route *route_new(enum route_choice choice, const struct route_ops *ops);
void route_free(struct route *route);

/* Adds an instance or brings it up to date. Slots may be used from
 * usable_at_ms on: until then those of an owner that was lost may be busy.
 */
void route_set_instance(struct route *route, const char *target,
                        const char *service, const char *address,
                        uint32_t slots, uint64_t usable_at_ms);

/* The instance is leaving, lost or owned elsewhere: no new work for it. Calls
 * in flight go on; the instance is forgotten after the last.
 */
void route_drop_instance(struct route *route, const char *target);

/* Drops all instances that were not set since the last call. */
void route_mark_all(struct route *route);
void route_drop_marked(struct route *route);

/* Units of a team's limit that this host holds; limited false: no limit. */
void route_set_team(struct route *route, const char *team, uint32_t weight,
                    bool limited, uint32_t units);

/* Sends the call, puts it in line, or refuses it (also from here). */
void route_offer(struct route *route, struct route_call *call,
                 uint64_t now_ms);

/* A sent call has ended; its slot and unit are free. */
void route_done(struct route *route, struct route_call *call,
                enum route_end end, uint64_t now_ms);

/* Takes a call out of its line without an answer. */
void route_withdraw(struct route *route, struct route_call *call);

/* Refuses what passed its deadline; sends what can go. Every 10 ms or so. */
void route_tick(struct route *route, uint64_t now_ms);

/* Refuses all that waits, for shutdown. */
void route_refuse_all(struct route *route, enum fp_err err);

/* Queries. */
uint32_t route_in_flight(const struct route *route);
uint32_t route_waiting(const struct route *route);

struct route_hint {
    uint32_t free_slots;
    uint32_t waiting;
    uint32_t instances;
    uint32_t service_ms;
};

/* Capacity of a service here; all zero when there is none. */
void route_hint(const struct route *route, const char *service,
                uint64_t now_ms, struct route_hint *hint);

/* Calls each for every service with instances here. */
void route_each_service(const struct route *route,
                        void (*each)(void *ctx, const char *service),
                        void *ctx);

/* Units of the team in use, and those that would be used without a limit. */
void route_team_demand(const struct route *route, const char *team,
                       uint32_t *used, uint32_t *wanted);

/* Calls in flight on a target; 0 when it is not known. */
uint32_t route_target_in_flight(const struct route *route, const char *target);

#endif /* FP_ROUTE_H */
