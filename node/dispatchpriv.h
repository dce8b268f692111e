/* dispatchpriv.h -- what dispatch.c (calls), dispatchlane.c (orders, leases,
 * ends) and dispatchask.c (questions) share
 */
#ifndef FP_DISPATCHPRIV_H
#define FP_DISPATCHPRIV_H

#include <glib.h>

#include "core/ends.h"
#include "node/dispatch.h"

/* One target, as the leader talks to it. */
struct lane {
    struct dispatch *dispatch;
    char id[FLEET_NAME_BYTES];
    uint64_t born_ms;
    bool holding;    /* a hold is out */
    bool committing; /* ends are on their way to the log */
    bool listed;     /* it has told what runs there, in this term */
    bool lost;       /* nothing of ours can run there */
    bool removing;   /* its removal was proposed */
    bool has_clock;
    uint64_t clock_ms; /* of the target, at least this at clock_at_ms */
    uint64_t clock_at_ms;
    uint64_t gone_by_ms; /* every lease that was granted is over by then */
    struct ends_ack ends;
    uint64_t next_hold_ms;
    uint64_t deadline_ms; /* newest that was granted, on its clock */
    bool silent;          /* its last hold went without an answer */
    uint64_t lost_ms;
};

/* An order or a question without an answer. */
struct pending {
    struct dispatch *dispatch; /* NULL: the leader's work has ended */
    char id[FLEET_NAME_BYTES];
    uint64_t born_ms;
    struct fleet_task_id task;
    uint32_t run;
    uint64_t asked_ms;       /* when it was sent */
    uint64_t told;           /* up to this end, by a hold */
    uint64_t sent_us;        /* the newest copy of a start */
    bool again;              /* a second copy: the first may have worked */
    struct plan_start start; /* of a start; owns what it points to: */
    char *checkpoint;
    char *ticket;
    struct fp_blob spec;
};

/* A host that asks the placement policy on the leader's behalf. */
struct helper {
    char host[MSG_HOST_BYTES];
    uint64_t heard_ms;
    bool busy;
};

struct dispatch {
    struct dispatch_parts parts;
    struct plan *plan;
    uint64_t since_ms;
    bool settled;
    GHashTable *lanes;      /* ID to struct lane */
    GHashTable *helpers;    /* host to struct helper */
    GHashTable *pending;    /* the set of struct pending */
    GPtrArray *unsent;      /* struct pending: starts to be taken back */
    GHashTable *taking;     /* job IDs whose submission is on its way */
    bool local_busy;        /* this host asks the policy itself */
    uint32_t answer_us;     /* smoothed time of an answer to a start */
    uint64_t unanswered_ms; /* when an order last went without an answer */
    uint64_t orders_sent;
    uint64_t orders_failed;
    uint64_t holds;
    uint64_t ends_committed;
    struct dispatch_times times;
};

/* dispatch.c */
struct pending *dispatch_add_pending(struct dispatch *dispatch,
                                     const struct lane *lane);
void dispatch_drop_pending(struct pending *pending);

/* dispatchlane.c */
void dispatch_add_lane(struct dispatch *dispatch, struct fleet_target *target);
void dispatch_tick_lanes(struct dispatch *dispatch, uint64_t now_ms);
void dispatch_reset_lane(struct dispatch *dispatch,
                         struct fleet_target *target, uint64_t now_ms);
void dispatch_start(void *ctx, const struct plan_start *start);
void dispatch_stop(void *ctx, const struct fleet_target *target,
                   const struct fleet_task_id *task, uint32_t run,
                   const char *why);
void dispatch_pace(void *ctx, const struct fleet_target *target,
                   const struct fleet_task_id *task, uint32_t run,
                   uint32_t percent);

/* dispatchask.c */
void dispatch_helper_heard(struct dispatch *dispatch, const char *host,
                           uint64_t now_ms);
bool dispatch_advise(void *ctx, const struct fleet_task_id *step,
                     struct fleet_target *const *targets, uint32_t count,
                     uint32_t expected_ms, bool short_call);

#endif /* FP_DISPATCHPRIV_H */
