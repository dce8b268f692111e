/* plancrash.c -- crashes of targets, and the runs that may have caused them
 *
 * Workload: tasks that crash every target that starts them, on targets shared
 * with other work. A target that crashes lists no ends, so what crashed it is
 * inferred from when its runs were started and when it last answered.
 */
#include "core/planpriv.h"

/* A start crashes its target within this time of being ordered. Includes the
 * order's way to the target. */
#define START_CRASH_MS 300u

void
plan_target_answers(struct plan_target *target, uint64_t now_ms)
{
    target->alive_ms = MAX(target->alive_ms, now_ms);
}

/* The last time at which a silent target is known to have been alive. A
 * process that is cut off or stopped does not end its connections. */
static uint64_t
last_alive_ms(const struct plan_target *target)
{
    return target->closed ? target->silent_ms : target->alive_ms;
}

bool
plan_is_suspect(const struct plan_run *run)
{
    return run->active_since_ms == 0 ||
           last_alive_ms(run->target) < run->ordered_ms + START_CRASH_MS;
}

void
plan_target_silent(struct plan *plan, struct fleet_target *target, bool closed,
                   uint64_t now_ms)
{
    struct plan_target *ptarget = target->plan;

    if (ptarget->silent_ms == 0) {
        ptarget->silent_ms = now_ms;
        ptarget->closed = closed;
    }
    plan_set_target_usable(plan, target, false);
}

static void
report_lost_run(struct plan *plan, const struct plan_run *run, bool is_suspect)
{
    const uint64_t alive_ms = last_alive_ms(run->target);
    const struct plan_lost_run lost = {
        .target = run->target->target,
        .task = run->task,
        .run_number = run->run_number,
        .ran_ms = alive_ms - MIN(alive_ms, run->ordered_ms),
        .is_suspect = is_suspect};

    if (run->step != NULL) {
        struct fleet_queue *queue = run->step->job->job->queue;

        queue->lost_suspects += is_suspect;
        queue->lost_neighbours += !is_suspect;
    }
    if (plan->ops.on_run_lost != NULL) {
        plan->ops.on_run_lost(plan->ops.ctx, &lost);
    }
}

void
plan_report_crash(struct plan *plan, struct plan_target *target,
                  enum plan_loss loss, uint64_t now_ms)
{
    struct plan_crash crash = {
        .target = target->target, .loss = loss, .runs = target->runs->len};

    if (target->silent_ms != 0) {
        crash.silent_ms = now_ms - MIN(now_ms, target->silent_ms);
    }
    for (guint i = 0; i < target->runs->len; i++) {
        const struct plan_run *run = target->runs->pdata[i];
        const bool is_suspect = loss != LOSS_LEFT && plan_is_suspect(run);

        crash.suspects += is_suspect;
        report_lost_run(plan, run, is_suspect);
    }
    if (loss != LOSS_LEFT && plan->ops.on_target_crashed != NULL) {
        plan->ops.on_target_crashed(plan->ops.ctx, &crash);
    }
}
