/* planrun.c -- runs: starts, stops, ends, and evacuation of targets */
#include <string.h>

#include "core/plancopy.h"
#include "core/planpriv.h"

/* Delays before a task is started again. */
#define RETRY_AFTER_FAILURE_MS 50u /* for each failure after the first */
#define RETRY_AFTER_REFUSAL_MS 40u /* its start was refused */
/* How long a target gets no starts. */
#define BACKOFF_UNHEALTHY_MS 600u    /* it refused a start as unhealthy */
#define BACKOFF_NO_CAPACITY_MS 150u  /* it was full or could not be reached */
#define BACKOFF_PER_FAILURE_MS 1500u /* times the failures not tolerated */
#define BACKOFF_MAX_MS 8000u         /* longest backoff after failures */
#define FAILURES_TOLERATED 1u        /* failures in a row without a backoff */
/* Added to the time of a stop: for its order to arrive, and for the end to be
 * listed. */
#define EVACUATE_MARGIN_MS 300u
#define LEAVES_REASON "its target leaves"

struct fleet_resources
plan_task_size(const struct fleet_step *def)
{
    struct fleet_resources size = {def->fills ? 0 : def->cpu_milli,
                                   def->memory_mb, def->accel};

    return size;
}

void
plan_add_size(struct fleet_resources *to, const struct fleet_resources *size)
{
    to->cpu_milli += size->cpu_milli;
    to->memory_mb += size->memory_mb;
    to->accel += size->accel;
}

void
plan_subtract_size(struct fleet_resources *from,
                   const struct fleet_resources *size)
{
    from->cpu_milli -= MIN(size->cpu_milli, from->cpu_milli);
    from->memory_mb -= MIN(size->memory_mb, from->memory_mb);
    from->accel -= MIN(size->accel, from->accel);
}

/* ---- steps -------------------------------------------------------------- */

struct plan_step *
plan_find_step(const struct plan_job *job, const struct fleet_task_id *id)
{
    uint32_t index = id->occurrence * job->job->step_count + id->step;

    if (id->step >= job->job->step_count || index >= job->step_count) {
        return NULL;
    }
    return &job->steps[index];
}

bool
plan_is_blocked(const struct plan_step *step)
{
    const struct fleet_dependency *after = step->def->after.items;
    const struct plan_step *base = step - step->index;

    for (uint32_t i = 0; i < step->def->after.count; i++) {
        if (base[after[i].step].unfinished > 0) {
            return true;
        }
    }
    return false;
}

/* Whether all predecessors of the step are done or running. */
static bool
predecessors_run(const struct plan_step *step)
{
    const struct fleet_dependency *after = step->def->after.items;
    const struct plan_step *base = step - step->index;

    for (uint32_t i = 0; i < step->def->after.count; i++) {
        if (base[after[i].step].pending > 0) {
            return false;
        }
    }
    return true;
}

void
plan_open_step(struct plan *plan, struct plan_step *step)
{
    if (!step->is_open && step->pending > 0 && !step->job->ended &&
        !plan_is_blocked(step)) {
        step->is_open = true;
        step->opened_ms = plan->now_ms;
        step->next_query_ms = 0; /* its opening was only estimated */
        g_ptr_array_add(plan->open_steps, step);
    }
    plan->dirty = true;
}

void
plan_open_successors(struct plan *plan, struct plan_step *step)
{
    struct plan_step *base = step - step->index;

    for (uint32_t i = step->index + 1; i < step->job->job->step_count; i++) {
        struct plan_step *next = &base[i];

        if (next->unfinished == 0 || step->job->ended) {
            continue;
        }
        if (!plan_is_blocked(next)) {
            plan_open_step(plan, next);
        }
        else if (!next->is_upcoming && predecessors_run(next) &&
                 plan_needs_ticket(next)) {
            next->is_upcoming = true;
            g_ptr_array_add(plan->upcoming_steps, next);
        }
    }
}

/* ---- runs --------------------------------------------------------------- */

struct plan_run *
plan_find_run(const struct plan_target *target,
              const struct fleet_task_id *task, uint32_t run_number)
{
    for (guint i = 0; i < target->runs->len; i++) {
        struct plan_run *run = target->runs->pdata[i];

        if (run->run_number == run_number &&
            run->task.job_id == task->job_id &&
            run->task.occurrence == task->occurrence &&
            run->task.step == task->step && run->task.index == task->index) {
            return run;
        }
    }
    return NULL;
}

/* Sets the size of a run that belongs to no planned step: its job ended before
 * this term, or is unknown. A run of an unknown job may fill its whole target.
 */
static void
set_unplanned_size(const struct plan *plan, struct plan_run *run)
{
    const struct fleet_job *job =
        fleet_find_job(plan->fleet, run->task.job_id);

    if (job == NULL || fleet_task_number(job, &run->task) == UINT32_MAX) {
        run->size = run->target->capacity;
        return;
    }
    run->team = job->team;
    run->size = plan_task_size(&job->steps[run->task.step]);
}

void
plan_unlink_run(struct plan_run *run)
{
    if (run->step != NULL && run->job_link.data != NULL) {
        g_queue_unlink(&run->step->job->runs, &run->job_link);
        run->job_link.data = NULL;
    }
}

struct plan_run *
plan_add_run(struct plan *plan, struct plan_target *target,
             struct plan_step *step, const struct fleet_task_id *task,
             uint32_t task_number)
{
    struct plan_run *run = g_new0(struct plan_run, 1);

    run->target = target;
    run->step = step;
    run->task = *task;
    run->task_number = task_number;
    run->pace = 100;
    if (step != NULL) {
        run->job_link.data = run;
        g_queue_push_tail_link(&step->job->runs, &run->job_link);
        run->team = step->job->job->team;
        run->size = plan_task_size(step->def);
        step->job->tasks[task_number].runs++;
        step->job->tasks[task_number].copies++;
        if (step->def->tail_ms > 0) {
            target->serving_runs++;
        }
    }
    else {
        set_unplanned_size(plan, run);
    }
    plan_add_size(&target->used, &run->size);
    plan_add_size(&target->pool->used, &run->size);
    if (step != NULL && step->job->tight) {
        plan_add_size(&target->pool->tight_used, &run->size);
    }
    if (run->team != NULL) {
        plan_add_size(&run->team->used, &run->size);
    }
    g_ptr_array_add(target->runs, run);
    plan->dirty = true;
    return run;
}

void
plan_mark_started(struct plan_job *job)
{
    if (!job->started) {
        job->started = true;
        job->job->queue->waiting_jobs -= MIN(job->job->queue->waiting_jobs, 1);
    }
}

/* Decrements the number of the task's runs. A task without runs that is not
 * done becomes pending again. */
void
plan_release_task(struct plan *plan, struct plan_step *step,
                  struct plan_task *task)
{
    task->runs--;
    if (task->runs == 0 && !task->done) {
        step->pending++;
        plan_open_step(plan, step);
    }
}

/* Lets a task start elsewhere at once, if copies are allowed, when its target
 * stops answering or did not answer its start: a tight objective leaves no
 * time to wait until the first run's state is known. The first copy that ends
 * counts. */
void
plan_detach_run(struct plan *plan, struct plan_run *run)
{
    struct plan_step *step = run->step;

    if (step != NULL && step->def->duplicates && !step->def->gang &&
        !run->detached && !step->job->ended) {
        run->detached = true;
        plan_release_task(plan, step, &step->job->tasks[run->task_number]);
    }
}

/* Removes a run that no longer exists, however it ended, and frees it. */
void
plan_remove_run(struct plan *plan, struct plan_run *run)
{
    struct plan_step *step = run->step;

    plan_subtract_size(&run->target->used, &run->size);
    plan_subtract_size(&run->target->pool->used, &run->size);
    if (step != NULL && step->job->tight) {
        plan_subtract_size(&run->target->pool->tight_used, &run->size);
    }
    if (run->team != NULL) {
        plan_subtract_size(&run->team->used, &run->size);
    }
    if (step != NULL) {
        struct plan_task *task = &step->job->tasks[run->task_number];

        if (step->def->tail_ms > 0) {
            run->target->serving_runs -= MIN(run->target->serving_runs, 1);
        }
        task->copies--;
        if (!run->detached) {
            plan_release_task(plan, step, task);
        }
        plan_review_attempts(plan, step, run->task_number);
    }
    plan_unsuspect_run(plan, run);
    plan_unlink_run(run);
    g_ptr_array_remove_fast(run->target->runs, run);
    plan->dirty = true;
}

void
plan_order_stop(struct plan *plan, struct plan_run *run, const char *reason,
                uint64_t now_ms)
{
    if (run->state == RUN_ACTIVE) {
        run->state = RUN_STOPPING;
    }
    else if (run->state == RUN_STARTING) {
        run->state = RUN_UNKNOWN;
    }
    run->stop_ordered_ms = now_ms;
    plan->counters.stops++;
    plan->ops.stop_run(plan->ops.ctx, run->target->target, &run->task,
                       run->run_number, reason);
}

bool
plan_start_run(struct plan *plan, struct plan_step *step, uint32_t index,
               uint32_t run_number, struct plan_target *target,
               const char *ticket, uint64_t now_ms)
{
    struct plan_job *job = step->job;
    uint32_t task_number = step->first_task + index;
    struct plan_task *task = &job->tasks[task_number];
    struct fleet_task_id id = {job->job->submit.id, step->occurrence,
                               step->index, index};
    struct plan_run *run = plan_add_run(plan, target, step, &id, task_number);
    struct plan_start start = {
        .target = target->target,
        .task = id,
        .run_number = run_number,
        .first_of_job = !job->started,
        .waited_ms = now_ms - job->accepted_ms,
        .estimate_ms = step->def->estimate_ms,
        .spec = &job->job->submit.spec,
        .checkpoint = task->checkpoint != NULL ? task->checkpoint : "",
        .ticket = ticket};

    if (step->is_trial) {
        plan_begin_trial(target, step, now_ms);
        run->is_trial = true;
        plan->counters.trials++;
    }
    if (task->runs == 1) {
        step->pending--;
    }
    else {
        run->is_copy = true;
    }
    task->next_run_number = run_number + 1;
    run->run_number = run_number;
    run->state = RUN_STARTING;
    run->start_in_flight = true;
    run->ordered_ms = now_ms;
    target->last_start_ms = now_ms;
    run->is_whole = task->checkpoint == NULL;
    run->expected_end_ms = now_ms + plan_run_time_ms(plan, step, target);
    step->expected_end_ms = MAX(step->expected_end_ms, run->expected_end_ms);
    plan_mark_started(job);
    if (step->pending == 0) {
        plan_open_successors(plan, step);
    }
    plan->counters.starts++;
    plan->ops.start_run(plan->ops.ctx, &start);
    return true;
}

void
plan_set_checkpoint(struct plan_step *step, uint32_t task_number,
                    const char *checkpoint)
{
    uint32_t first = step->def->gang ? step->first_task : task_number;
    uint32_t count = step->def->gang ? step->def->count : 1;

    for (uint32_t i = first; i < first + count; i++) {
        struct plan_task *task = &step->job->tasks[i];

        if (g_strcmp0(task->checkpoint, checkpoint) != 0) {
            g_free(task->checkpoint);
            task->checkpoint = g_strdup(checkpoint);
        }
    }
}

void
plan_stop_task(struct plan *plan, const struct plan_step *step,
               uint32_t task_number, uint64_t now_ms)
{
    for (GList *link = step->job->runs.head; link != NULL; link = link->next) {
        struct plan_run *run = link->data;

        if (run->step == step && run->task_number == task_number &&
            run->stop_ordered_ms == 0) {
            plan_order_stop(plan, run,
                            "another run of its task has ended, or its "
                            "gang is not whole",
                            now_ms);
        }
    }
}

static void
mark_done(struct plan *plan, struct plan_step *step, uint32_t task_number,
          uint64_t now_ms)
{
    uint32_t first = step->def->gang ? step->first_task : task_number;
    uint32_t count = step->def->gang ? step->def->count : 1;

    for (uint32_t i = first; i < first + count; i++) {
        struct plan_task *task = &step->job->tasks[i];

        if (task->done) {
            continue;
        }
        task->done = true;
        step->unfinished--;
        if (task->runs == 0) {
            step->pending--;
        }
        if (!step->def->gang && task->copies > 0) {
            plan_stop_task(plan, step, i, now_ms);
        }
    }
    if (step->unfinished == 0) {
        plan_free_tickets(step);
        plan_open_successors(plan, step);
    }
}

/* Counts a failure of a task, or of each member of its gang, once for each run
 * number. */
static void
count_failure(struct plan_step *step, uint32_t task_number,
              uint32_t run_number, uint64_t now_ms)
{
    uint32_t first = step->def->gang ? step->first_task : task_number;
    uint32_t count = step->def->gang ? step->def->count : 1;

    for (uint32_t i = first; i < first + count; i++) {
        struct plan_task *task = &step->job->tasks[i];

        failures_add(&task->failures, run_number);
        step->job->has_failures = true;
        task->not_before_ms =
            now_ms + (task->failures.count - 1) * RETRY_AFTER_FAILURE_MS;
    }
}

void
plan_stop_gang(struct plan *plan, const struct plan_step *step,
               uint32_t run_number, const char *reason, uint64_t now_ms)
{
    for (GList *link = step->job->runs.head; link != NULL; link = link->next) {
        struct plan_run *run = link->data;

        if (run->step == step && run->run_number == run_number &&
            run->stop_ordered_ms == 0) {
            plan_order_stop(plan, run, reason, now_ms);
        }
    }
}

static void
update_health(struct plan *plan, struct plan_target *target,
              const struct plan_run *run, uint32_t outcome, uint64_t now_ms)
{
    if (outcome == RUN_FAILED) {
        target->failures_in_row++;
        if (target->failures_in_row > FAILURES_TOLERATED) {
            uint64_t backoff_ms =
                (uint64_t)BACKOFF_PER_FAILURE_MS *
                (target->failures_in_row - FAILURES_TOLERATED);

            backoff_ms = MIN(backoff_ms, BACKOFF_MAX_MS);
            target->failing_until_ms = now_ms + backoff_ms;
            if (plan->ops.on_target_backoff != NULL) {
                plan->ops.on_target_backoff(plan->ops.ctx, target->target,
                                            backoff_ms,
                                            target->failures_in_row);
            }
        }
    }
    else if (outcome == RUN_DONE) {
        target->failures_in_row = 0;
        plan_learn_speed(
            plan, run,
            run->active_since_ms > 0 ? now_ms - run->active_since_ms : 0);
    }
}

void
plan_run_ended(struct plan *plan, struct fleet_target *target,
               const struct fleet_run_end *end, uint64_t now_ms)
{
    struct plan_target *ptarget = target->plan;
    struct fleet_job *job = fleet_find_job(plan->fleet, end->task.job_id);
    struct plan_job *pjob = job != NULL ? job->plan : NULL;
    struct plan_step *step =
        pjob != NULL ? plan_find_step(pjob, &end->task) : NULL;
    struct plan_run *run = plan_find_run(ptarget, &end->task, end->run);
    uint32_t task_number =
        job != NULL ? fleet_task_number(job, &end->task) : UINT32_MAX;

    plan->dirty = true;
    if (end->outcome < RUN_OUTCOME_COUNT) {
        plan->counters.ends[end->outcome]++;
    }
    if (run != NULL) {
        update_health(plan, ptarget, run, end->outcome, now_ms);
        plan_learn_copies(plan, run, end->outcome, now_ms);
        plan_remove_run(plan, run);
    }
    if (step != NULL && task_number != UINT32_MAX) {
        struct plan_task *task = &pjob->tasks[task_number];

        plan_mark_started(pjob);
        task->next_run_number = MAX(task->next_run_number, end->run + 1);
        if (end->outcome == RUN_DONE || end->outcome == RUN_FAILED) {
            plan_clear_task(plan, step, &end->task, end->run);
        }
        if (end->checkpoint[0] != '\0') {
            plan_set_checkpoint(step, task_number, end->checkpoint);
        }
        if (end->outcome == RUN_DONE && !step->def->lasting) {
            mark_done(plan, step, task_number, now_ms);
        }
        else if (end->outcome == RUN_FAILED && !step->def->lasting) {
            count_failure(step, task_number, end->run, now_ms);
            task->failed_on = ptarget;
        }
        if (step->def->gang && end->outcome != RUN_DONE) {
            plan_stop_gang(plan, step, end->run, PLAN_PARTIAL_GANG_REASON,
                           now_ms);
        }
    }
}

void
plan_start_answered(struct plan *plan, struct fleet_target *target,
                    const struct fleet_task_id *task, uint32_t run_number,
                    enum order_answer answer, uint64_t now_ms)
{
    struct plan_target *ptarget = target->plan;
    struct plan_run *run = plan_find_run(ptarget, task, run_number);
    struct plan_step *step;

    if (run == NULL) {
        return;
    }
    plan->dirty = true;
    run->start_in_flight = false;
    step = run->step;
    if (answer != ORDER_UNKNOWN && answer != ORDER_CLOSED &&
        answer != ORDER_NOT_SENT) {
        plan_target_answers(ptarget, now_ms);
    }
    if (answer == ORDER_DONE) {
        if (run->active_since_ms == 0) {
            run->active_since_ms = now_ms;
        }
        if (run->state == RUN_STARTING) {
            run->state = RUN_ACTIVE;
        }
        return;
    }
    if (answer == ORDER_UNKNOWN || answer == ORDER_CLOSED) {
        plan->counters.starts_unknown++;
        if (run->state == RUN_STARTING) {
            if (answer == ORDER_CLOSED) {
                plan_suspect_run(plan, run, now_ms);
            }
            plan_order_stop(plan, run, "its start has no answer", now_ms);
            plan_detach_run(plan, run);
        }
    }
    else {
        plan->counters.starts_refused++;
        if (step != NULL) {
            step->job->tasks[run->task_number].not_before_ms =
                now_ms + RETRY_AFTER_REFUSAL_MS;
            if (answer == ORDER_BAD_TICKET) {
                plan_expire_ticket(step, ptarget);
            }
        }
        if (answer == ORDER_UNHEALTHY) {
            ptarget->backoff_until_ms =
                MAX(ptarget->backoff_until_ms, now_ms + BACKOFF_UNHEALTHY_MS);
        }
        else if (answer == ORDER_NO_CAPACITY || answer == ORDER_NOT_SENT) {
            ptarget->backoff_until_ms = MAX(ptarget->backoff_until_ms,
                                            now_ms + BACKOFF_NO_CAPACITY_MS);
        }
        plan_remove_run(plan, run);
    }
    if (step != NULL && step->def->gang) {
        plan_stop_gang(plan, step, run_number, PLAN_PARTIAL_GANG_REASON,
                       now_ms);
    }
}

void
plan_start_resent(struct fleet_target *target,
                  const struct fleet_task_id *task, uint32_t run_number)
{
    struct plan_run *run = plan_find_run(target->plan, task, run_number);

    if (run != NULL) {
        run->start_resent = true;
    }
}

bool
plan_start_is_on_its_way(const struct fleet_target *target, uint64_t now_ms)
{
    const struct plan_target *ptarget = target->plan;

    for (guint i = 0; i < ptarget->runs->len; i++) {
        const struct plan_run *run = ptarget->runs->pdata[i];

        if ((run->start_in_flight || run->start_resent ||
             run->active_since_ms == 0) &&
            now_ms < run->ordered_ms + PLAN_LATE_ORDER_MS) {
            return true;
        }
    }
    return false;
}

void
plan_stop_answered(struct plan *plan, struct fleet_target *target,
                   const struct fleet_task_id *task, uint32_t run_number,
                   enum order_answer answer, uint64_t now_ms)
{
    struct plan_run *run = plan_find_run(target->plan, task, run_number);

    (void)plan;
    if (run != NULL && answer == ORDER_DONE && run->stop_confirmed_ms == 0) {
        run->stop_confirmed_ms = now_ms;
    }
}

/* ---- evacuation --------------------------------------------------------- */

/* Workload: targets are taken away at short notice, among them targets that
 * run members of large gangs. What runs there is lost with its target, and if
 * that does not say that it ends, it counts as running until the lease is
 * over. So a run that cannot end before is stopped and starts elsewhere: at
 * once if it has no checkpoints, as all that it does until then is lost; just
 * in time if it resumes from its last checkpoint, or if it serves. An
 * inherited run, whose start is not known, gets the time that there is, and
 * one that takes longer than expected too. A target that has said that it ends
 * may go on for some seconds: what it still runs is stopped, as an end that it
 * lists is known sooner than the end of its lease. */
static bool
must_leave(const struct plan_target *target, const struct plan_run *run,
           bool is_last_moment, uint64_t now_ms)
{
    const struct fleet_step *def = run->step != NULL ? run->step->def : NULL;

    if (def == NULL || run->state != RUN_ACTIVE) {
        return false;
    }
    if (def->lasting || target->departed) {
        return is_last_moment;
    }
    if (run->expected_end_ms > target->leaves_ms) {
        return is_last_moment || (!def->checkpoints && !run->is_inherited);
    }
    return is_last_moment && !def->checkpoints &&
           run->expected_end_ms < now_ms;
}

void
plan_evacuate_target(struct plan *plan, struct plan_target *target,
                     uint64_t now_ms)
{
    bool is_last_moment;

    if (target->leaves_ms == 0) {
        target->leaves_ms = now_ms + MAX(target->target->rec.stays_ms, 1);
    }
    if (target->evacuated || !target->runs_known) {
        return;
    }
    is_last_moment = target->departed ||
                     now_ms + plan->params.stop_ms + EVACUATE_MARGIN_MS >=
                         target->leaves_ms;
    target->evacuated = is_last_moment;
    for (guint i = 0; i < target->runs->len; i++) {
        struct plan_run *run = target->runs->pdata[i];

        if (!must_leave(target, run, is_last_moment, now_ms)) {
            continue;
        }
        if (run->step->def->gang) {
            plan_stop_gang(plan, run->step, run->run_number, LEAVES_REASON,
                           now_ms);
        }
        else {
            plan_order_stop(plan, run, LEAVES_REASON, now_ms);
        }
    }
}
