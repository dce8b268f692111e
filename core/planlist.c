/* planlist.c -- what targets list as running: taken over, kept up, missing,
 * paced
 */
#include <string.h>

#include "core/planpriv.h"

#define STOP_AGAIN_MS 700u /* an unanswered stop is ordered again */
#define PACE_STEPS 2u      /* a pace is cut by this factor */
#define PACE_LEAST 10u     /* percent; below it: 0 */

/* A run that this plan has not ordered: taken over from an earlier leader, or
 * one that should not be. */
static void
take_row(struct plan *plan, struct plan_target *on, const struct plan_row *row,
         bool first, uint64_t now_ms)
{
    struct fleet_job *job = fleet_find_job(plan->fleet, row->task.job_id);
    struct plan_job *pjob = job != NULL ? job->plan : NULL;
    struct plan_step *step =
        pjob != NULL ? plan_step_of(pjob, &row->task) : NULL;
    uint32_t number =
        step != NULL ? fleet_task_number(job, &row->task) : UINT32_MAX;
    struct plan_task *task;
    struct plan_run *run;
    bool wanted;

    if (number == UINT32_MAX) {
        step = NULL;
    }
    wanted = step != NULL && first && !pjob->ended &&
             !pjob->tasks[number].done && pjob->tasks[number].runs == 0;
    run = plan_add_run(plan, on, step, &row->task, number);
    run->run = row->run;
    run->ordered_ms = now_ms;
    run->expected_ms = now_ms;
    run->seen_ms = now_ms;
    run->state = RUN_ACTIVE;
    run->active_ms = now_ms;
    if (step != NULL) {
        task = &pjob->tasks[number];
        task->next_run = MAX(task->next_run, row->run + 1);
        plan_note_started(pjob);
        run->expected_ms += step->def->estimate_ms / 2;
        step->ends_ms = MAX(step->ends_ms, run->expected_ms);
        if (task->runs == 1 && !task->done) {
            step->idle--;
        }
    }
    if (plan->ops.found != NULL) {
        plan->ops.found(plan->ops.ctx, on->target, &row->task, row->run,
                        wanted);
    }
    if (wanted) {
        if (row->checkpoint[0] != '\0') {
            plan_set_checkpoint(step, number, row->checkpoint);
        }
        if (step->idle == 0) {
            plan_list_followers(plan, step);
        }
        return;
    }
    plan_order_stop(plan, run, "it was not ordered in this term", now_ms);
}

static void
update_run(struct plan_run *run, const struct plan_row *row, uint64_t now_ms)
{
    if (run->active_ms == 0) {
        run->active_ms = now_ms;
    }
    if (run->state == RUN_STARTING) {
        run->state = RUN_ACTIVE;
    }
    run->seen_ms = now_ms;
    run->percent = row->percent;
    run->load = row->load;
    if (run->step != NULL && row->checkpoint[0] != '\0') {
        plan_set_checkpoint(run->step, run->number, row->checkpoint);
    }
}

/* Runs that the target does not list although it should. */
static void
check_missing(struct plan *plan, struct plan_target *on, uint64_t asked_ms,
              uint64_t now_ms)
{
    for (guint i = 0; i < on->runs->len; i++) {
        struct plan_run *run = on->runs->pdata[i];

        if (run->seen_ms == now_ms) {
            if (run->stop_ms != 0 && run->stopped_ms == 0 &&
                run->stop_ms + STOP_AGAIN_MS < now_ms) {
                plan_order_stop(plan, run, "its stop has no answer", now_ms);
            }
        }
        else if (run->stopped_ms != 0 && run->stopped_ms < asked_ms) {
            plan_drop_run(plan, run); /* the last one took its place */
            i--;
        }
        else if (run->state == RUN_ACTIVE && run->active_ms < asked_ms) {
            run->state = RUN_UNSURE;
            plan_order_stop(plan, run, "the target does not list it", now_ms);
        }
        else if (run->stop_ms != 0 && run->stopped_ms == 0 &&
                 run->stop_ms + STOP_AGAIN_MS < now_ms) {
            plan_order_stop(plan, run, "its stop has no answer", now_ms);
        }
    }
}

/* Work that fills in beside a serving task is slowed before that task passes
 * its bound for long, and let back once there is room again. */
static void
pace_fillers(struct plan *plan, struct plan_target *on)
{
    uint32_t worst = 0; /* per mille of the bound */

    for (guint i = 0; i < on->runs->len; i++) {
        const struct plan_run *run = on->runs->pdata[i];

        if (run->step != NULL && run->step->def->tail_ms > 0 &&
            run->state == RUN_ACTIVE) {
            worst = MAX(worst, run->load * 1000u / run->step->def->tail_ms);
        }
    }
    for (guint i = 0; i < on->runs->len; i++) {
        struct plan_run *run = on->runs->pdata[i];
        uint32_t pace = run->pace;

        if (run->step == NULL || !run->step->def->fills ||
            run->state != RUN_ACTIVE) {
            continue;
        }
        if (worst > 800) {
            pace = pace / PACE_STEPS < PACE_LEAST ? 0 : pace / PACE_STEPS;
        }
        else if (worst < 500 && pace < 100) {
            pace = MIN(MAX(pace, PACE_LEAST) * PACE_STEPS, 100);
        }
        if (pace != run->pace) {
            run->pace = pace;
            plan->ops.pace(plan->ops.ctx, on->target, &run->task, run->run,
                           pace);
        }
    }
}

void
plan_rows(struct plan *plan, struct fleet_target *target,
          const struct plan_row *rows, uint32_t count, bool first,
          uint64_t asked_ms, uint64_t now_ms)
{
    struct plan_target *on = target->plan;

    on->told = true;
    for (uint32_t i = 0; i < count; i++) {
        struct plan_run *run = plan_find_run(on, &rows[i].task, rows[i].run);

        if (run != NULL) {
            update_run(run, &rows[i], now_ms);
        }
        else {
            take_row(plan, on, &rows[i], first, now_ms);
        }
    }
    check_missing(plan, on, asked_ms, now_ms);
    if (on->serving > 0) {
        pace_fillers(plan, on);
    }
}
