/* planrun.c -- runs of a plan: their starts, their ends, what targets list */
#include <string.h>

#include "core/planpriv.h"

#define RETRY_AFTER_FAILURE_MS 50u /* for each failure after the first */
/* Before a refused start is tried again. */
#define RETRY_AFTER_REFUSAL_MS 40u
#define SHUN_UNHEALTHY_MS 600u /* a target that refused for its health */
#define SHUN_NO_ROOM_MS 150u   /* a target that had no room after all */
#define SHUN_FAILING_MS 1500u  /* for each failure in a row past these: */
#define FAILED_ROW_MAX 1u      /* failures in a row that are borne */
#define SHUN_MAX_MS 8000u      /* longest time without a trial */
/* Beyond the time of a stop: for the order, and the end that is listed. */
#define EVACUATE_SLACK_MS 300u
#define SLOW_KEEP 7u /* of 8 parts of the smoothed run time */

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
plan_take_size(struct fleet_resources *from,
               const struct fleet_resources *size)
{
    from->cpu_milli -= MIN(size->cpu_milli, from->cpu_milli);
    from->memory_mb -= MIN(size->memory_mb, from->memory_mb);
    from->accel -= MIN(size->accel, from->accel);
}

/* ---- steps -------------------------------------------------------------- */

struct plan_step *
plan_step_of(const struct plan_job *job, const struct fleet_task_id *name)
{
    uint32_t at = name->occurrence * job->job->step_count + name->step;

    if (name->step >= job->job->step_count || at >= job->step_count) {
        return NULL;
    }
    return &job->steps[at];
}

bool
plan_is_blocked(const struct plan_step *step)
{
    const struct fleet_dependency *after = step->def->after.items;
    const struct plan_step *base = step - step->index;

    for (uint32_t i = 0; i < step->def->after.count; i++) {
        if (base[after[i].step].left > 0) {
            return true;
        }
    }
    return false;
}

/* All steps before it run, so that its turn is near. */
static bool
comes_soon(const struct plan_step *step)
{
    const struct fleet_dependency *after = step->def->after.items;
    const struct plan_step *base = step - step->index;

    for (uint32_t i = 0; i < step->def->after.count; i++) {
        if (base[after[i].step].idle > 0) {
            return false;
        }
    }
    return true;
}

void
plan_list_step(struct plan *plan, struct plan_step *step)
{
    if (!step->listed && step->idle > 0 && !step->job->ended &&
        !plan_is_blocked(step)) {
        step->listed = true;
        step->open_ms = plan->now_ms;
        step->ask_after_ms = 0; /* it may open before its estimate */
        g_ptr_array_add(plan->open, step);
    }
    plan->dirty = true;
}

void
plan_list_followers(struct plan *plan, struct plan_step *step)
{
    struct plan_step *base = step - step->index;

    for (uint32_t i = step->index + 1; i < step->job->job->step_count; i++) {
        struct plan_step *next = &base[i];

        if (next->left == 0 || step->job->ended) {
            continue;
        }
        if (!plan_is_blocked(next)) {
            plan_list_step(plan, next);
        }
        else if (!next->coming && comes_soon(next) &&
                 plan_needs_ticket(next)) {
            next->coming = true;
            g_ptr_array_add(plan->coming, next);
        }
    }
}

/* ---- runs --------------------------------------------------------------- */

struct plan_run *
plan_find_run(const struct plan_target *target,
              const struct fleet_task_id *task, uint32_t run)
{
    for (guint i = 0; i < target->runs->len; i++) {
        struct plan_run *at = target->runs->pdata[i];

        if (at->run == run && at->task.job_id == task->job_id &&
            at->task.occurrence == task->occurrence &&
            at->task.step == task->step && at->task.index == task->index) {
            return at;
        }
    }
    return NULL;
}

/* What a run takes that belongs to no step of this plan: one of a job that had
 * ended before this term, or of no job that is known. The latter may be as
 * large as its target. */
static void
size_unplanned(const struct plan *plan, struct plan_run *run)
{
    const struct fleet_job *job =
        fleet_find_job(plan->fleet, run->task.job_id);

    if (job == NULL || fleet_task_number(job, &run->task) == UINT32_MAX) {
        run->size = run->target->size;
        return;
    }
    run->team = job->team;
    run->size = plan_task_size(&job->steps[run->task.step]);
}

struct plan_run *
plan_add_run(struct plan *plan, struct plan_target *target,
             struct plan_step *step, const struct fleet_task_id *task,
             uint32_t number)
{
    struct plan_run *run = g_new0(struct plan_run, 1);

    run->target = target;
    run->step = step;
    run->task = *task;
    run->number = number;
    run->pace = 100;
    if (step != NULL) {
        run->team = step->job->job->team;
        run->size = plan_task_size(step->def);
        step->job->tasks[number].runs++;
        step->job->tasks[number].copies++;
        if (step->def->tail_ms > 0) {
            target->serving++;
        }
    }
    else {
        size_unplanned(plan, run);
    }
    plan_add_size(&target->used, &run->size);
    plan_add_size(&target->pool->used, &run->size);
    if (step != NULL && step->job->tight) {
        plan_add_size(&target->pool->tight, &run->size);
    }
    if (run->team != NULL) {
        plan_add_size(&run->team->used, &run->size);
    }
    g_ptr_array_add(target->runs, run);
    plan->dirty = true;
    return run;
}

void
plan_note_started(struct plan_job *job)
{
    if (!job->started) {
        job->started = true;
        job->job->queue->waiting_jobs -= MIN(job->job->queue->waiting_jobs, 1);
    }
}

/* A task has one run less, and starts again when that was the last. */
void
plan_free_task(struct plan *plan, struct plan_step *step,
               struct plan_task *task)
{
    task->runs--;
    if (task->runs == 0 && !task->done) {
        step->idle++;
        plan_list_step(plan, step);
    }
}

/* Load pattern: work with a tight objective on a target that has fallen silent
 * or has not answered its start. Where copies are allowed the task starts
 * elsewhere at once; the first one to end counts. */
void
plan_detach_copy(struct plan *plan, struct plan_run *run)
{
    struct plan_step *step = run->step;

    if (step != NULL && step->def->duplicates && !step->def->gang &&
        !run->detached && !step->job->ended) {
        run->detached = true;
        plan_free_task(plan, step, &step->job->tasks[run->number]);
    }
}

/* The run is no more, however it ended. */
void
plan_drop_run(struct plan *plan, struct plan_run *run)
{
    struct plan_step *step = run->step;

    plan_take_size(&run->target->used, &run->size);
    plan_take_size(&run->target->pool->used, &run->size);
    if (step != NULL && step->job->tight) {
        plan_take_size(&run->target->pool->tight, &run->size);
    }
    if (run->team != NULL) {
        plan_take_size(&run->team->used, &run->size);
    }
    if (step != NULL) {
        struct plan_task *task = &step->job->tasks[run->number];

        if (step->def->tail_ms > 0) {
            run->target->serving -= MIN(run->target->serving, 1);
        }
        task->copies--;
        if (!run->detached) {
            plan_free_task(plan, step, task);
        }
    }
    g_ptr_array_remove_fast(run->target->runs, run);
    plan->dirty = true;
}

void
plan_order_stop(struct plan *plan, struct plan_run *run, const char *why,
                uint64_t now_ms)
{
    if (run->state == RUN_ACTIVE) {
        run->state = RUN_STOPPING;
    }
    else if (run->state == RUN_STARTING) {
        run->state = RUN_UNSURE;
    }
    run->stop_ms = now_ms;
    plan->counters.stops++;
    plan->ops.stop(plan->ops.ctx, run->target->target, &run->task, run->run,
                   why);
}

bool
plan_start_run(struct plan *plan, struct plan_step *step, uint32_t index,
               uint32_t run_number, struct plan_target *target,
               const char *ticket, uint64_t now_ms)
{
    struct plan_job *job = step->job;
    uint32_t number = step->first + index;
    struct plan_task *task = &job->tasks[number];
    struct fleet_task_id name = {job->job->submit.id, step->occurrence,
                                 step->index, index};
    struct plan_run *run = plan_add_run(plan, target, step, &name, number);
    struct plan_start start = {
        .target = target->target,
        .task = name,
        .run = run_number,
        .first = !job->started,
        .waited_ms = now_ms - job->taken_ms,
        .estimate_ms = step->def->estimate_ms,
        .spec = &job->job->submit.spec,
        .checkpoint = task->checkpoint != NULL ? task->checkpoint : "",
        .ticket = ticket};
    uint64_t took_ms = step->def->estimate_ms;

    step->idle--;
    task->next_run = run_number + 1;
    run->run = run_number;
    run->state = RUN_STARTING;
    run->unanswered = true;
    run->ordered_ms = now_ms;
    if (step->def->rack[0] != '\0' &&
        strcmp(step->def->rack, target->target->rec.rack) != 0) {
        took_ms = took_ms * plan->params.far_permille / 1000;
    }
    run->expected_ms = now_ms + took_ms;
    step->ends_ms = MAX(step->ends_ms, run->expected_ms);
    plan_note_started(job);
    if (step->idle == 0) {
        plan_list_followers(plan, step);
    }
    plan->counters.starts++;
    plan->ops.start(plan->ops.ctx, &start);
    return true;
}

void
plan_set_checkpoint(struct plan_step *step, uint32_t number,
                    const char *checkpoint)
{
    uint32_t first = step->def->gang ? step->first : number;
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
               uint32_t number, uint64_t now_ms)
{
    for (guint t = 0; t < plan->targets->len; t++) {
        struct plan_target *target = plan->targets->pdata[t];

        for (guint i = 0; i < target->runs->len; i++) {
            struct plan_run *run = target->runs->pdata[i];

            if (run->step == step && run->number == number &&
                run->stop_ms == 0) {
                plan_order_stop(plan, run,
                                "another run of its task has ended, or its "
                                "gang is not whole",
                                now_ms);
            }
        }
    }
}

static void
mark_done(struct plan *plan, struct plan_step *step, uint32_t number,
          uint64_t now_ms)
{
    uint32_t first = step->def->gang ? step->first : number;
    uint32_t count = step->def->gang ? step->def->count : 1;

    for (uint32_t i = first; i < first + count; i++) {
        struct plan_task *task = &step->job->tasks[i];

        if (task->done) {
            continue;
        }
        task->done = true;
        step->left--;
        if (task->runs == 0) {
            step->idle--;
        }
        if (!step->def->gang && task->copies > 0) {
            plan_stop_task(plan, step, i, now_ms);
        }
    }
    if (step->left == 0) {
        plan_list_followers(plan, step);
    }
}

/* Counts a failure of the task, or of each task of its gang, once a run. */
static void
count_failure(struct plan_step *step, uint32_t number, uint32_t run,
              uint64_t now_ms)
{
    uint32_t first = step->def->gang ? step->first : number;
    uint32_t count = step->def->gang ? step->def->count : 1;

    for (uint32_t i = first; i < first + count; i++) {
        struct plan_task *task = &step->job->tasks[i];

        if (run > task->failed_run) {
            task->failed_run = run;
            task->failures++;
        }
        task->after_ms =
            now_ms + (task->failures - 1) * RETRY_AFTER_FAILURE_MS;
    }
}

/* All runs of a gang end when one of them cannot be had. */
void
plan_stop_gang(struct plan *plan, const struct plan_step *step,
               uint32_t number, uint64_t now_ms)
{
    for (guint t = 0; t < plan->targets->len; t++) {
        struct plan_target *target = plan->targets->pdata[t];

        for (guint i = 0; i < target->runs->len; i++) {
            struct plan_run *run = target->runs->pdata[i];

            if (run->step == step && run->run == number && run->stop_ms == 0) {
                plan_order_stop(plan, run, "its gang is not whole", now_ms);
            }
        }
    }
}

static void
learn_health(struct plan *plan, struct plan_target *target,
             const struct plan_run *run, uint32_t outcome, uint64_t now_ms)
{
    uint64_t estimate_ms = run->expected_ms - run->ordered_ms;

    if (outcome == RUN_FAILED) {
        target->failed_row++;
        if (target->failed_row > FAILED_ROW_MAX) {
            uint64_t span_ms = (uint64_t)SHUN_FAILING_MS *
                               (target->failed_row - FAILED_ROW_MAX);

            span_ms = MIN(span_ms, SHUN_MAX_MS);
            target->shunned_ms = now_ms + span_ms;
            if (plan->ops.shunned != NULL) {
                plan->ops.shunned(plan->ops.ctx, target->target, span_ms,
                                  target->failed_row);
            }
        }
    }
    else if (outcome == RUN_DONE) {
        target->failed_row = 0;
        if (estimate_ms > 0 && run->active_ms > 0) {
            uint64_t ratio = (now_ms - run->active_ms) * 1000 / estimate_ms;

            target->slow_permille =
                (uint32_t)((target->slow_permille * SLOW_KEEP +
                            MIN(ratio, 20000)) /
                           (SLOW_KEEP + 1));
        }
    }
}

void
plan_run_ended(struct plan *plan, struct fleet_target *target,
               const struct fleet_run_end *end, uint64_t now_ms)
{
    struct plan_target *on = target->plan;
    struct fleet_job *job = fleet_find_job(plan->fleet, end->task.job_id);
    struct plan_job *pjob = job != NULL ? job->plan : NULL;
    struct plan_step *step =
        pjob != NULL ? plan_step_of(pjob, &end->task) : NULL;
    struct plan_run *run = plan_find_run(on, &end->task, end->run);
    uint32_t number =
        job != NULL ? fleet_task_number(job, &end->task) : UINT32_MAX;

    plan->dirty = true;
    if (end->outcome < RUN_OUTCOME_COUNT) {
        plan->counters.ends[end->outcome]++;
    }
    if (run != NULL) {
        learn_health(plan, on, run, end->outcome, now_ms);
        plan_drop_run(plan, run);
    }
    if (step != NULL && number != UINT32_MAX) {
        struct plan_task *task = &pjob->tasks[number];

        plan_note_started(pjob);
        task->next_run = MAX(task->next_run, end->run + 1);
        if (end->checkpoint[0] != '\0') {
            plan_set_checkpoint(step, number, end->checkpoint);
        }
        if (end->outcome == RUN_DONE && !step->def->lasting) {
            mark_done(plan, step, number, now_ms);
        }
        else if (end->outcome == RUN_FAILED && !step->def->lasting) {
            count_failure(step, number, end->run, now_ms);
            task->failed_on = on;
        }
        if (step->def->gang && end->outcome != RUN_DONE) {
            plan_stop_gang(plan, step, end->run, now_ms);
        }
    }
}

void
plan_start_answered(struct plan *plan, struct fleet_target *target,
                    const struct fleet_task_id *task, uint32_t number,
                    enum order_answer answer, uint64_t now_ms)
{
    struct plan_target *on = target->plan;
    struct plan_run *run = plan_find_run(on, task, number);
    struct plan_step *step;

    if (run == NULL) {
        return;
    }
    plan->dirty = true;
    run->unanswered = false;
    step = run->step;
    if (answer == ORDER_DONE) {
        if (run->active_ms == 0) {
            run->active_ms = now_ms;
        }
        if (run->state == RUN_STARTING) {
            run->state = RUN_ACTIVE;
        }
        return;
    }
    if (answer == ORDER_UNKNOWN) {
        plan->counters.start_unknown++;
        if (run->state == RUN_STARTING) {
            plan_order_stop(plan, run, "its start has no answer", now_ms);
            plan_detach_copy(plan, run);
        }
    }
    else {
        plan->counters.start_refused++;
        if (step != NULL) {
            step->job->tasks[run->number].after_ms =
                now_ms + RETRY_AFTER_REFUSAL_MS;
            if (answer == ORDER_BAD_TICKET) {
                plan_drop_ticket(step, on);
            }
        }
        if (answer == ORDER_UNHEALTHY) {
            on->shunned_ms = MAX(on->shunned_ms, now_ms + SHUN_UNHEALTHY_MS);
        }
        else if (answer == ORDER_NO_ROOM || answer == ORDER_NOT_SENT) {
            on->shunned_ms = MAX(on->shunned_ms, now_ms + SHUN_NO_ROOM_MS);
        }
        plan_drop_run(plan, run);
    }
    if (step != NULL && step->def->gang) {
        plan_stop_gang(plan, step, number, now_ms);
    }
}

void
plan_stop_answered(struct plan *plan, struct fleet_target *target,
                   const struct fleet_task_id *task, uint32_t number,
                   enum order_answer answer, uint64_t now_ms)
{
    struct plan_run *run = plan_find_run(target->plan, task, number);

    (void)plan;
    if (run != NULL && answer == ORDER_DONE && run->stopped_ms == 0) {
        run->stopped_ms = now_ms;
    }
}

/* ---- targets that leave ------------------------------------------------- */

/* Load pattern: targets that are taken away at short notice. What has a
 * checkpoint and would be lost there is stopped just in time, so that it goes
 * on elsewhere from where it was; so is what lasts. Work that can be over by
 * then, or would lose all by a stop, stays. */
void
plan_evacuate(struct plan *plan, struct plan_target *on, uint64_t now_ms)
{
    if (on->leaves_ms == 0) {
        on->leaves_ms = now_ms + MAX(on->target->rec.stays_ms, 1);
    }
    if (on->evacuated || !on->told ||
        now_ms + plan->params.stop_ms + EVACUATE_SLACK_MS < on->leaves_ms) {
        return;
    }
    on->evacuated = true;
    for (guint i = 0; i < on->runs->len; i++) {
        struct plan_run *run = on->runs->pdata[i];
        const struct fleet_step *def =
            run->step != NULL ? run->step->def : NULL;

        if (def == NULL || run->state != RUN_ACTIVE ||
            (!def->lasting &&
             (!def->checkpoints || run->expected_ms <= on->leaves_ms))) {
            continue;
        }
        if (def->gang) {
            plan_stop_gang(plan, run->step, run->run, now_ms);
        }
        else {
            plan_order_stop(plan, run, "its target leaves", now_ms);
        }
    }
}
