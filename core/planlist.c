/* planlist.c -- run lists of targets: adopts, updates and paces runs, and
 * finds missing ones
 */
#include <string.h>

#include "core/plancopy.h"
#include "core/planpriv.h"

#define STOP_RETRY_MS 700u   /* before an unanswered stop is repeated */
#define PACE_FACTOR 2u       /* between two paces */
#define MIN_PACE_PERCENT 10u /* a lower pace is rounded to 0 */

/* Whether a task goes on with one more run that an earlier leader started: it
 * has none, or one beside which the earlier leader had started a copy. */
static bool
needs_listed_run(const struct plan *plan, const struct plan_step *step,
                 const struct plan_task *task)
{
    return !step->job->ended && !task->done &&
           (task->runs == 0 ||
            (task->copies == 1 && plan_allows_copies(plan, step)));
}

/* Adds a listed run that was not ordered in this term. It is adopted if it is
 * in the target's first list and its task needs it; otherwise stopped. */
static void
add_listed_run(struct plan *plan, struct plan_target *target,
               const struct plan_listed_run *listed, bool first,
               uint64_t now_ms)
{
    struct fleet_job *job = fleet_find_job(plan->fleet, listed->task.job_id);
    struct plan_job *pjob = job != NULL ? job->plan : NULL;
    struct plan_step *step =
        pjob != NULL ? plan_find_step(pjob, &listed->task) : NULL;
    uint32_t task_number =
        step != NULL ? fleet_task_number(job, &listed->task) : UINT32_MAX;
    struct plan_task *task;
    struct plan_run *run;
    bool adopted;

    if (task_number == UINT32_MAX) {
        step = NULL;
    }
    adopted = step != NULL && first &&
              needs_listed_run(plan, step, &pjob->tasks[task_number]);
    run = plan_add_run(plan, target, step, &listed->task, task_number);
    run->run_number = listed->run_number;
    run->ordered_ms = now_ms;
    run->expected_end_ms = now_ms;
    run->last_listed_ms = now_ms;
    run->state = RUN_ACTIVE;
    run->active_since_ms = now_ms;
    run->is_inherited = true;
    if (step != NULL) {
        task = &pjob->tasks[task_number];
        task->next_run_number =
            MAX(task->next_run_number, listed->run_number + 1);
        plan_mark_started(pjob);
        run->expected_end_ms += step->def->estimate_ms / 2;
        step->expected_end_ms =
            MAX(step->expected_end_ms, run->expected_end_ms);
        if (task->runs == 1 && !task->done) {
            step->pending--;
        }
    }
    if (plan->ops.on_run_found != NULL) {
        plan->ops.on_run_found(plan->ops.ctx, target->target, &listed->task,
                               listed->run_number, adopted);
    }
    if (adopted) {
        if (listed->checkpoint[0] != '\0') {
            plan_set_checkpoint(step, task_number, listed->checkpoint);
        }
        if (step->pending == 0) {
            plan_open_successors(plan, step);
        }
        return;
    }
    plan_order_stop(plan, run, "it was not ordered in this term", now_ms);
}

static void
update_run(struct plan *plan, struct plan_run *run,
           const struct plan_listed_run *listed, uint64_t requested_ms,
           uint64_t now_ms)
{
    if (run->active_since_ms == 0) {
        run->active_since_ms = now_ms;
    }
    if (run->state == RUN_STARTING) {
        run->state = RUN_ACTIVE;
    }
    run->last_listed_ms = now_ms;
    if (run->awaits_list_ms != 0) { /* a late copy of its start */
        run->awaits_list_ms = 0;
        plan_order_stop(plan, run, PLAN_RESTARTED_REASON, now_ms);
    }
    plan_clear_survivor(plan, run, requested_ms);
    run->percent = listed->percent;
    run->load = listed->load;
    if (run->step != NULL && listed->checkpoint[0] != '\0') {
        plan_set_checkpoint(run->step, run->task_number, listed->checkpoint);
    }
}

/* Deals with runs that the target should list but does not. */
static void
remove_missing_runs(struct plan *plan, struct plan_target *target,
                    uint64_t requested_ms, uint64_t now_ms)
{
    for (guint i = 0; i < target->runs->len; i++) {
        struct plan_run *run = target->runs->pdata[i];

        if (run->last_listed_ms == now_ms) {
            continue;
        }
        if (run->awaits_list_ms != 0 && run->awaits_list_ms <= requested_ms) {
            plan_drop_lost_run(plan, run, now_ms);
            i--; /* the last run was moved here */
        }
        else if (run->stop_confirmed_ms != 0 &&
                 run->stop_confirmed_ms < requested_ms) {
            plan_remove_run(plan, run);
            i--;
        }
        else if (run->state == RUN_ACTIVE &&
                 run->active_since_ms < requested_ms) {
            run->state = RUN_UNKNOWN;
            plan_order_stop(plan, run, "the target does not list it", now_ms);
        }
    }
}

static void
repeat_stops(struct plan *plan, struct plan_target *target, uint64_t now_ms)
{
    for (guint i = 0; i < target->runs->len; i++) {
        struct plan_run *run = target->runs->pdata[i];

        if (run->stop_ordered_ms != 0 && run->stop_confirmed_ms == 0 &&
            run->stop_ordered_ms + STOP_RETRY_MS < now_ms) {
            plan_order_stop(plan, run, "its stop has no answer", now_ms);
        }
    }
}

/* Slows down filler runs, which use left-over CPU beside a serving task,
 * before the tail latency of that task exceeds its bound for long, and speeds
 * them up again once it is well below. */
static void
pace_filler_runs(struct plan *plan, struct plan_target *target)
{
    uint32_t max_load_permille = 0; /* of the bound on the tail latency */

    for (guint i = 0; i < target->runs->len; i++) {
        const struct plan_run *run = target->runs->pdata[i];

        if (run->step != NULL && run->step->def->tail_ms > 0 &&
            run->state == RUN_ACTIVE) {
            max_load_permille =
                MAX(max_load_permille,
                    run->load * 1000u / run->step->def->tail_ms);
        }
    }
    for (guint i = 0; i < target->runs->len; i++) {
        struct plan_run *run = target->runs->pdata[i];
        uint32_t pace = run->pace;

        if (run->step == NULL || !run->step->def->fills ||
            run->state != RUN_ACTIVE) {
            continue;
        }
        if (max_load_permille > 800) {
            pace =
                pace / PACE_FACTOR < MIN_PACE_PERCENT ? 0 : pace / PACE_FACTOR;
        }
        else if (max_load_permille < 500 && pace < 100) {
            pace = MIN(MAX(pace, MIN_PACE_PERCENT) * PACE_FACTOR, 100);
        }
        if (pace != run->pace) {
            run->pace = pace;
            plan->ops.set_pace(plan->ops.ctx, target->target, &run->task,
                               run->run_number, pace);
        }
    }
}

bool
plan_list_tasks(const struct fleet_target *target, struct fp_list *tasks)
{
    const struct plan_target *ptarget = target->plan;

    if (!ptarget->runs_known) {
        return false;
    }
    for (guint i = 0; i < ptarget->runs->len; i++) {
        const struct plan_run *run = ptarget->runs->pdata[i];
        struct fleet_task_id *task = fp_list_add(tasks, sizeof(*task));

        *task = run->task;
    }
    return true;
}

/* Workload: hundreds of small tasks end within a second on one target, which
 * lists so many ends at a time only. A run that is in neither list may be one
 * whose end is still to come. */
void
plan_runs_listed(struct plan *plan, struct fleet_target *target,
                 const struct plan_run_list *list, uint64_t now_ms)
{
    struct plan_target *ptarget = target->plan;

    ptarget->runs_known = ptarget->runs_known || !list->is_cut;
    plan_target_answers(ptarget, now_ms);
    for (uint32_t i = 0; i < list->count; i++) {
        const struct plan_listed_run *listed = &list->runs[i];
        struct plan_run *run =
            plan_find_run(ptarget, &listed->task, listed->run_number);

        if (run != NULL) {
            update_run(plan, run, listed, list->requested_ms, now_ms);
        }
        else {
            add_listed_run(plan, ptarget, listed, list->is_first, now_ms);
        }
    }
    if (!list->is_cut) {
        remove_missing_runs(plan, ptarget, list->requested_ms, now_ms);
    }
    repeat_stops(plan, ptarget, now_ms);
    if (ptarget->serving_runs > 0) {
        pace_filler_runs(plan, ptarget);
    }
}
