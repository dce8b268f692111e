/* planforecast.h -- when a job that is offered now would end
 *
 * Workload: more work than the targets of a service can do in time. A job that
 * cannot end in time by the forecast is refused at once, with the time after
 * which one would; what is accepted is kept to.
 */
#ifndef FP_PLANFORECAST_H
#define FP_PLANFORECAST_H

#include "base/histogram.h"
#include "core/plan.h"

/* A job that a caller offers. */
struct plan_offer {
    const struct fleet_submit *submit;
    const struct fleet_queue *queue;
    const struct fleet_team *team; /* NULL: offered without a key */
    bool beyond_share; /* its team is beyond its rate, see core/shares.h */
};

struct plan_forecast {
    uint32_t wait_ms;      /* until its first task starts */
    uint32_t end_ms;       /* until its last task ends */
    uint32_t objective_ms; /* its time objective */
    uint32_t margin_ms;    /* by which forecasts of its queue were too early */
    uint32_t scale_permille; /* how long jobs of its queue waited, of what was
                              * forecast; part of end_ms */
    /* No policy client is free, and while it waits for capacity its queries
     * would take one for most of the time. */
    bool holds_policy;
    const char *scarce; /* what it waits for the longest */
    uint64_t own;       /* how much of that it needs */
    uint64_t ahead;     /* and how much the work that goes before it */
};

/* Forecasts a job by the expected ends of runs and the work that waits and
 * goes before it. */
struct plan_forecast plan_forecast(const struct plan *plan,
                                   const struct plan_offer *offer,
                                   uint64_t now_ms);

/* Forecasts of a queue's jobs against what came of them, in this term. */
struct plan_queue_forecasts {
    uint32_t margin_permille;        /* of the slack of a job */
    uint32_t scale_permille;         /* of the wait, of what was forecast */
    uint64_t refused;                /* by forecast */
    struct histogram too_early_ms;   /* ends after the forecast */
    struct histogram too_late_ms;    /* ends before it */
    struct histogram retry_after_ms; /* told to refused callers */
};

/* Returns NULL when nothing is known of the queue. */
const struct plan_queue_forecasts *
plan_queue_forecasts(const struct plan *plan, const struct fleet_queue *queue);

/* Decides on a job, and counts a refusal: FP_ERR_BUSY with the time after
 * which a job like it should be accepted, spread over callers. */
struct plan_admission
plan_admit(struct plan *plan, const struct plan_offer *offer, uint64_t now_ms);

#endif /* FP_PLANFORECAST_H */
