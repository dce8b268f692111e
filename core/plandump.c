/* plandump.c -- the scheduler's state for diagnosis */
#include "core/planpriv.h"

/* Waiting steps of a service that are tried on what a target has free. */
#define REST_STEPS_MAX 16u

/* Whether a task of one of the first waiting steps of the target's service has
 * room on it. */
static bool
fits_waiting_task(const struct plan *plan, const struct plan_target *target,
                  uint32_t *waiting)
{
    *waiting = 0;
    for (guint i = 0; i < plan->open_steps->len && *waiting < REST_STEPS_MAX;
         i++) {
        const struct plan_step *step = plan->open_steps->pdata[i];
        const struct fleet_resources size = plan_task_size(step->def);

        if (step->pending == 0 || step->job->pool != target->pool) {
            continue;
        }
        (*waiting)++;
        if (plan_could_fit(target, step) &&
            plan_count_fitting(target, &target->used, &size) > 0) {
            return true;
        }
    }
    return false;
}

struct plan_gauges
plan_gauges(const struct plan *plan)
{
    struct plan_gauges gauges = {{0, 0, 0}, 0, 0, 0, 0};

    for (guint i = 0; i < plan->targets->len; i++) {
        const struct plan_target *target = plan->targets->pdata[i];
        const enum plan_speed_verdict verdict =
            plan_speed_verdict(plan, target);
        struct fleet_resources left = target->capacity;
        uint32_t waiting;

        gauges.targets_slow += verdict == SPEED_SLOW;
        gauges.targets_turned_slow += verdict == SPEED_TURNED_SLOW;
        if (!target->usable || target->target->rec.leaving ||
            fits_waiting_task(plan, target, &waiting) || waiting == 0) {
            continue;
        }
        plan_subtract_size(&left, &target->used);
        plan_add_size(&gauges.unfit, &left);
    }
    gauges.targets_unlisted = plan->unlisted_targets;
    gauges.jobs_held = plan_count_held_jobs(plan);
    return gauges;
}

static json_t *
dump_target(const struct plan *plan, const struct plan_target *target)
{
    uint32_t slow_permille = plan->params.policy->learns_speeds
                                 ? plan_slowness_permille(plan, target)
                                 : target->slowdown_permille;

    return json_pack("{s:s,s:b,s:i,s:I,s:I,s:I,s:I,s:i,s:i,s:s,s:i}", "id",
                     target->target->rec.id, "usable", target->usable, "runs",
                     (int)target->runs->len, "cpu_milli",
                     (json_int_t)target->capacity.cpu_milli, "used_cpu_milli",
                     (json_int_t)target->used.cpu_milli, "accel",
                     (json_int_t)target->capacity.accel, "used_accel",
                     (json_int_t)target->used.accel, "failed_row",
                     (int)target->failures_in_row, "slow_permille",
                     (int)slow_permille, "speed",
                     plan_speed_verdict_text(plan_speed_verdict(plan, target)),
                     "speed_ends", (int)target->speed.ends);
}

json_t *
plan_dump(const struct plan *plan)
{
    const struct fleet_resources rest = plan_gauges(plan).unfit;
    json_t *targets = json_array();

    for (guint i = 0; i < plan->targets->len; i++) {
        json_array_append_new(targets,
                              dump_target(plan, plan->targets->pdata[i]));
    }
    return json_pack("{s:b,s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:o}", "settled",
                     plan->reconciled, "open_steps",
                     (int)plan->open_steps->len, "coming_steps",
                     (int)plan->upcoming_steps->len, "starts",
                     (json_int_t)plan->counters.starts, "stops",
                     (json_int_t)plan->counters.stops, "unfit_cpu_milli",
                     (json_int_t)rest.cpu_milli, "unfit_memory_mb",
                     (json_int_t)rest.memory_mb, "unfit_accel",
                     (json_int_t)rest.accel, "targets", targets);
}
