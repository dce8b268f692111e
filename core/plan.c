/* plan.c -- events of the plan: jobs, targets, runs */
#include "core/plan.h"

#include <string.h>

#include "core/planpriv.h"

#define RETRY_AFTER_FAILURE_MS 50u /* for each failure after the first */
/* Before a refused start is tried again. */
#define RETRY_AFTER_REFUSAL_MS 40u
#define SHUN_UNHEALTHY_MS 600u  /* a target that refused for its health */
#define SHUN_NO_ROOM_MS 150u    /* a target that had no room after all */
#define SHUN_FAILING_MS 1500u   /* for each failure in a row past these: */
#define FAILED_ROW_MAX 1u       /* failures in a row that are borne */
#define SHUN_MAX_MS 8000u       /* longest time without a trial */
#define STOP_AGAIN_MS 700u      /* an unanswered stop is ordered again */
#define MIXED_GANG_MAX_MS 2000u /* a gang that lost members is stopped */
#define PASS_LEAST_MS 2u        /* between two passes, to bound their cost */
#define PASS_IDLE_MS 100u       /* passes without news, for timed matters */
#define SLOW_KEEP 7u            /* of 8 parts of the smoothed run time */
#define TELL_WAIT_MS 1000u      /* between lines on one step that waits */
#define TIGHT_SLACK_MS 1500u    /* work with less slack must start at once */
#define PACE_STEPS 2u           /* a pace is cut by this factor */
#define PACE_LEAST 10u          /* percent; below it: 0 */

struct fleet_size
plan_task_size(const struct fleet_step *def)
{
    struct fleet_size size = {def->fills ? 0 : def->cpu_milli, def->memory_mb,
                              def->accel};

    return size;
}

static void
add_size(struct fleet_size *to, const struct fleet_size *size)
{
    to->cpu_milli += size->cpu_milli;
    to->memory_mb += size->memory_mb;
    to->accel += size->accel;
}

static void
take_size(struct fleet_size *from, const struct fleet_size *size)
{
    from->cpu_milli -= MIN(size->cpu_milli, from->cpu_milli);
    from->memory_mb -= MIN(size->memory_mb, from->memory_mb);
    from->accel -= MIN(size->accel, from->accel);
}

static struct plan_pool *
need_pool(struct plan *plan, const char *service)
{
    struct plan_pool *pool = g_hash_table_lookup(plan->pools, service);

    if (pool == NULL) {
        pool = g_new0(struct plan_pool, 1);
        g_strlcpy(pool->service, service, sizeof(pool->service));
        g_hash_table_insert(plan->pools, pool->service, pool);
    }
    return pool;
}

/* ---- steps -------------------------------------------------------------- */

static struct plan_step *
step_of(const struct plan_job *job, const struct fleet_task_name *name)
{
    uint32_t at = name->occurrence * job->job->step_count + name->step;

    if (name->step >= job->job->step_count || at >= job->step_count) {
        return NULL;
    }
    return &job->steps[at];
}

static bool
is_blocked(const struct plan_step *step)
{
    const struct fleet_after *after = step->def->after.items;
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
    const struct fleet_after *after = step->def->after.items;
    const struct plan_step *base = step - step->index;

    for (uint32_t i = 0; i < step->def->after.count; i++) {
        if (base[after[i].step].idle > 0) {
            return false;
        }
    }
    return true;
}

static void
list_step(struct plan *plan, struct plan_step *step)
{
    if (!step->listed && step->idle > 0 && !step->job->ended &&
        !is_blocked(step)) {
        step->listed = true;
        step->open_ms = plan->now_ms;
        step->ask_after_ms = 0; /* it may open before its estimate */
        g_ptr_array_add(plan->open, step);
    }
    plan->dirty = true;
}

static void
list_followers(struct plan *plan, struct plan_step *step)
{
    struct plan_step *base = step - step->index;

    for (uint32_t i = step->index + 1; i < step->job->job->step_count; i++) {
        struct plan_step *next = &base[i];

        if (next->left == 0 || step->job->ended) {
            continue;
        }
        if (!is_blocked(next)) {
            list_step(plan, next);
        }
        else if (!next->coming && comes_soon(next) &&
                 plan_needs_ticket(next)) {
            next->coming = true;
            g_ptr_array_add(plan->coming, next);
        }
    }
}

/* ---- runs --------------------------------------------------------------- */

static struct plan_run *
find_run(const struct plan_target *target, const struct fleet_task_name *task,
         uint32_t run)
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

static struct plan_run *
add_run(struct plan *plan, struct plan_target *target, struct plan_step *step,
        const struct fleet_task_name *task, uint32_t number)
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
    add_size(&target->used, &run->size);
    add_size(&target->pool->used, &run->size);
    if (step != NULL && step->job->tight) {
        add_size(&target->pool->tight, &run->size);
    }
    if (run->team != NULL) {
        add_size(&run->team->used, &run->size);
    }
    g_ptr_array_add(target->runs, run);
    plan->dirty = true;
    return run;
}

static void
note_started(struct plan_job *job)
{
    if (!job->started) {
        job->started = true;
        job->job->queue->waiting -= MIN(job->job->queue->waiting, 1);
    }
}

/* A task has one run less, and starts again when that was the last. */
static void
free_task(struct plan *plan, struct plan_step *step, struct plan_task *task)
{
    task->runs--;
    if (task->runs == 0 && !task->done) {
        step->idle++;
        list_step(plan, step);
    }
}

/* The run is no more, however it ended. */
static void
drop_run(struct plan *plan, struct plan_run *run)
{
    struct plan_step *step = run->step;

    take_size(&run->target->used, &run->size);
    take_size(&run->target->pool->used, &run->size);
    if (step != NULL && step->job->tight) {
        take_size(&run->target->pool->tight, &run->size);
    }
    if (run->team != NULL) {
        take_size(&run->team->used, &run->size);
    }
    if (step != NULL) {
        struct plan_task *task = &step->job->tasks[run->number];

        if (step->def->tail_ms > 0) {
            run->target->serving -= MIN(run->target->serving, 1);
        }
        task->copies--;
        if (!run->detached) {
            free_task(plan, step, task);
        }
    }
    g_ptr_array_remove_fast(run->target->runs, run);
    plan->dirty = true;
}

/* Load pattern: work with a tight objective on a target that has fallen
 * silent. Where copies are allowed the task starts elsewhere at once; the
 * first one to end counts. */
static void
detach_copies(struct plan *plan, struct plan_target *target)
{
    for (guint i = 0; i < target->runs->len; i++) {
        struct plan_run *run = target->runs->pdata[i];

        if (run->step != NULL && run->step->def->duplicates &&
            !run->step->def->gang && !run->detached &&
            !run->step->job->ended) {
            run->detached = true;
            free_task(plan, run->step, &run->step->job->tasks[run->number]);
        }
    }
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
    struct fleet_task_name name = {job->job->submit.id, step->occurrence,
                                   step->index, index};
    struct plan_run *run = add_run(plan, target, step, &name, number);
    struct plan_start start = {
        .target = target->target,
        .task = name,
        .run = run_number,
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
    note_started(job);
    if (step->idle == 0) {
        list_followers(plan, step);
    }
    plan->counters.starts++;
    plan->ops.start(plan->ops.ctx, &start);
    return true;
}

static void
set_checkpoint(struct plan_step *step, uint32_t number, const char *checkpoint)
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

static void
stop_other_runs(struct plan *plan, const struct plan_step *step,
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
            stop_other_runs(plan, step, i, now_ms);
        }
    }
    if (step->left == 0) {
        list_followers(plan, step);
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
static void
stop_gang(struct plan *plan, const struct plan_step *step, uint32_t number,
          uint64_t now_ms)
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
               const struct fleet_end *end, uint64_t now_ms)
{
    struct plan_target *on = target->plan;
    struct fleet_job *job = fleet_find_job(plan->fleet, end->task.job_id);
    struct plan_job *pjob = job != NULL ? job->plan : NULL;
    struct plan_step *step = pjob != NULL ? step_of(pjob, &end->task) : NULL;
    struct plan_run *run = find_run(on, &end->task, end->run);
    uint32_t number =
        job != NULL ? fleet_task_number(job, &end->task) : UINT32_MAX;

    plan->dirty = true;
    if (end->outcome < RUN_OUTCOME_COUNT) {
        plan->counters.ends[end->outcome]++;
    }
    if (run != NULL) {
        learn_health(plan, on, run, end->outcome, now_ms);
        drop_run(plan, run);
    }
    if (step != NULL && number != UINT32_MAX) {
        struct plan_task *task = &pjob->tasks[number];

        note_started(pjob);
        task->next_run = MAX(task->next_run, end->run + 1);
        if (end->checkpoint[0] != '\0') {
            set_checkpoint(step, number, end->checkpoint);
        }
        if (end->outcome == RUN_DONE && !step->def->lasting) {
            mark_done(plan, step, number, now_ms);
        }
        else if (end->outcome == RUN_FAILED && !step->def->lasting) {
            count_failure(step, number, end->run, now_ms);
            task->failed_on = on;
        }
        if (step->def->gang && end->outcome != RUN_DONE) {
            stop_gang(plan, step, end->run, now_ms);
        }
    }
}

void
plan_start_answered(struct plan *plan, struct fleet_target *target,
                    const struct fleet_task_name *task, uint32_t number,
                    enum order_answer answer, uint64_t now_ms)
{
    struct plan_target *on = target->plan;
    struct plan_run *run = find_run(on, task, number);
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
        drop_run(plan, run);
    }
    if (step != NULL && step->def->gang) {
        stop_gang(plan, step, number, now_ms);
    }
}

void
plan_stop_answered(struct plan *plan, struct fleet_target *target,
                   const struct fleet_task_name *task, uint32_t number,
                   enum order_answer answer, uint64_t now_ms)
{
    struct plan_run *run = find_run(target->plan, task, number);

    (void)plan;
    if (run != NULL && answer == ORDER_DONE && run->stopped_ms == 0) {
        run->stopped_ms = now_ms;
    }
}

/* ---- a target's list ---------------------------------------------------- */

/* A run that this plan has not ordered: taken over from an earlier leader, or
 * one that should not be. */
static void
take_row(struct plan *plan, struct plan_target *on, const struct plan_row *row,
         bool first, uint64_t now_ms)
{
    struct fleet_job *job = fleet_find_job(plan->fleet, row->task.job_id);
    struct plan_job *pjob = job != NULL ? job->plan : NULL;
    struct plan_step *step = pjob != NULL ? step_of(pjob, &row->task) : NULL;
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
    run = add_run(plan, on, step, &row->task, number);
    run->run = row->run;
    run->ordered_ms = now_ms;
    run->expected_ms = now_ms;
    run->seen_ms = now_ms;
    run->state = RUN_ACTIVE;
    run->active_ms = now_ms;
    if (step != NULL) {
        task = &pjob->tasks[number];
        task->next_run = MAX(task->next_run, row->run + 1);
        note_started(pjob);
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
            set_checkpoint(step, number, row->checkpoint);
        }
        if (step->idle == 0) {
            list_followers(plan, step);
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
        set_checkpoint(run->step, run->number, row->checkpoint);
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
            drop_run(plan, run); /* the last one took its place */
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

    for (uint32_t i = 0; i < count; i++) {
        struct plan_run *run = find_run(on, &rows[i].task, rows[i].run);

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

/* ---- targets ------------------------------------------------------------ */

static void
free_plan_target(void *item)
{
    struct plan_target *target = item;

    g_ptr_array_free(target->runs, TRUE);
    g_free(target);
}

void
plan_target_changed(struct plan *plan, struct fleet_target *target)
{
    struct plan_target *on = target->plan;

    if (on == NULL) {
        on = g_new0(struct plan_target, 1);
        on->target = target;
        on->slow_permille = 1000;
        on->runs = g_ptr_array_new_with_free_func(g_free);
        target->plan = on;
        g_ptr_array_add(plan->targets, on);
    }
    on->pool = need_pool(plan, target->rec.service);
    on->size = (struct fleet_size){target->rec.cpu_milli,
                                   target->rec.memory_mb, target->rec.accel};
    plan->dirty = true;
}

void
plan_target_usable(struct plan *plan, struct fleet_target *target, bool usable)
{
    struct plan_target *on = target->plan;

    if (on->usable != usable) {
        on->usable = usable;
        plan->dirty = true;
        if (!usable) {
            detach_copies(plan, on);
        }
    }
}

static void
lose_run(struct plan *plan, struct plan_run *run, uint64_t now_ms)
{
    struct plan_step *step = run->step;
    uint32_t number = run->run;

    plan->counters.lost++;
    drop_run(plan, run);
    if (step != NULL && step->def->gang) {
        stop_gang(plan, step, number, now_ms);
    }
}

static void
reset_health(struct plan_target *on)
{
    on->usable = false;
    on->failed_row = 0;
    on->shunned_ms = 0;
    on->slow_permille = 1000;
}

void
plan_target_lost(struct plan *plan, struct fleet_target *target,
                 uint64_t now_ms)
{
    struct plan_target *on = target->plan;

    reset_health(on);
    while (on->runs->len > 0) {
        lose_run(plan, on->runs->pdata[on->runs->len - 1], now_ms);
    }
}

void
plan_target_reborn(struct plan *plan, struct fleet_target *target,
                   uint64_t now_ms)
{
    struct plan_target *on = target->plan;

    reset_health(on);
    for (guint i = on->runs->len; i > 0; i--) {
        struct plan_run *run = on->runs->pdata[i - 1];

        /* A run that no list has named may be the new incarnation's. */
        if (!run->unanswered && run->seen_ms != 0) {
            lose_run(plan, run, now_ms);
            continue;
        }
        run->state = RUN_UNSURE;
        run->active_ms = 0;
        run->stopped_ms = 0;
        plan_order_stop(plan, run, "its target was started again", now_ms);
    }
}

static void
forget_tickets(struct plan *plan, const struct plan_target *target)
{
    GHashTableIter iter;
    struct fleet_job *job;

    g_hash_table_iter_init(&iter, plan->fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        struct plan_job *pjob = job->plan;

        for (uint32_t i = 0; pjob != NULL && i < pjob->step_count; i++) {
            GArray *tickets = pjob->steps[i].tickets;

            for (guint t = 0; tickets != NULL && t < tickets->len; t++) {
                struct plan_ticket *ticket =
                    &g_array_index(tickets, struct plan_ticket, t);

                if (ticket->target == target) {
                    ticket->target = NULL;
                }
            }
        }
    }
}

void
plan_target_removed(struct plan *plan, struct fleet_target *target)
{
    struct plan_target *on = target->plan;

    if (on == NULL) {
        return;
    }
    plan_target_lost(plan, target, 0);
    forget_tickets(plan, on);
    g_ptr_array_remove(plan->targets, on);
    target->plan = NULL;
    free_plan_target(on);
}

/* ---- jobs --------------------------------------------------------------- */

static void
fill_step(struct plan_job *job, struct plan_step *step, uint32_t occurrence,
          uint32_t index)
{
    const struct fleet_submit *submit = &job->job->submit;

    step->job = job;
    step->def = &job->job->steps[index];
    step->occurrence = occurrence;
    step->index = index;
    step->first =
        occurrence * job->job->occurrence_tasks + job->job->first_task[index];
    if (submit->occurrences > 0) {
        step->due_ms =
            submit->first_due_ms + (uint64_t)occurrence * submit->interval_ms;
    }
    for (uint32_t i = 0; i < step->def->count; i++) {
        if (!job->tasks[step->first + i].done) {
            step->left++;
            step->idle++;
        }
    }
}

static void
fill_tasks(struct plan *plan, struct plan_job *job)
{
    const struct fleet_job *from = job->job;

    job->tasks = g_new0(struct plan_task, from->task_count);
    for (uint32_t i = 0; i < from->task_count; i++) {
        struct plan_task *task = &job->tasks[i];

        task->done = from->tasks[i].done;
        task->failures = from->tasks[i].failures;
        task->failed_run = from->tasks[i].failed_run;
        task->checkpoint = g_strdup(from->tasks[i].checkpoint);
        task->next_run = job->inherited ? plan->params.run_base + 1 : 1;
        if (task->done || task->failures > 0 || task->checkpoint != NULL) {
            job->started = true;
        }
    }
}

static void
add_job(struct plan *plan, struct fleet_job *from, bool inherited,
        uint64_t now_ms)
{
    struct plan_job *job = g_new0(struct plan_job, 1);
    uint32_t occurrences = MAX(from->submit.occurrences, 1);

    job->job = from;
    job->inherited = inherited;
    job->taken_ms = now_ms;
    fill_tasks(plan, job);
    job->step_count = occurrences * from->step_count;
    job->steps = g_new0(struct plan_step, job->step_count);
    for (uint32_t i = 0; i < job->step_count; i++) {
        fill_step(job, &job->steps[i], i / from->step_count,
                  i % from->step_count);
    }
    job->chain_ms = plan_chain_ms(&from->submit, &from->queue->conf);
    job->objective_ms = plan_objective_ms(job->chain_ms, &from->queue->conf);
    job->tight = job->objective_ms < job->chain_ms + TIGHT_SLACK_MS;
    job->pool = need_pool(plan, from->queue->conf.service);
    from->plan = job;
    if (!job->started) {
        from->queue->waiting++;
    }
    for (uint32_t i = 0; i < job->step_count; i++) {
        list_step(plan, &job->steps[i]);
    }
}

void
plan_job_added(struct plan *plan, struct fleet_job *job, uint64_t now_ms)
{
    add_job(plan, job, false, now_ms);
}

void
plan_job_ended(struct plan *plan, struct fleet_job *job, uint64_t now_ms)
{
    struct plan_job *pjob = job->plan;
    uint32_t runs = 0;

    if (pjob == NULL) {
        return;
    }
    pjob->ended = true;
    note_started(pjob);
    for (uint32_t i = 0; i < job->task_count; i++) {
        runs += pjob->tasks[i].next_run;
    }
    for (guint t = 0; runs > job->task_count && t < plan->targets->len; t++) {
        struct plan_target *target = plan->targets->pdata[t];

        for (guint i = 0; i < target->runs->len; i++) {
            struct plan_run *run = target->runs->pdata[i];

            if (run->step != NULL && run->step->job == pjob &&
                run->stop_ms == 0) {
                plan_order_stop(plan, run, "its job has ended", now_ms);
            }
        }
    }
    plan->dirty = true;
}

static void
free_plan_job(struct plan_job *job)
{
    for (uint32_t i = 0; i < job->job->task_count; i++) {
        g_free(job->tasks[i].checkpoint);
    }
    for (uint32_t i = 0; i < job->step_count; i++) {
        if (job->steps[i].tickets != NULL) {
            g_array_free(job->steps[i].tickets, TRUE);
        }
    }
    g_free(job->tasks);
    g_free(job->steps);
    g_free(job);
}

static void
unlist_job(GPtrArray *list, const struct plan_job *job)
{
    for (guint i = list->len; i > 0; i--) {
        const struct plan_step *step = list->pdata[i - 1];

        if (step->job == job) {
            g_ptr_array_remove_index_fast(list, i - 1);
        }
    }
}

void
plan_job_removed(struct plan *plan, struct fleet_job *job)
{
    struct plan_job *pjob = job->plan;

    if (pjob == NULL) {
        return;
    }
    note_started(pjob);
    unlist_job(plan->open, pjob);
    unlist_job(plan->coming, pjob);
    for (guint t = 0; t < plan->targets->len; t++) {
        struct plan_target *target = plan->targets->pdata[t];

        if (target->held_for != NULL && target->held_for->job == pjob) {
            target->held_for = NULL;
        }
        for (guint i = 0; i < target->runs->len; i++) {
            struct plan_run *run = target->runs->pdata[i];

            if (run->step != NULL && run->step->job == pjob) {
                if (pjob->tight) {
                    take_size(&target->pool->tight, &run->size);
                }
                run->step = NULL;
            }
        }
    }
    job->plan = NULL;
    free_plan_job(pjob);
}

/* A queue may have moved to another service. */
void
plan_config_changed(struct plan *plan)
{
    GHashTableIter iter;
    struct fleet_job *job;

    g_hash_table_iter_init(&iter, plan->fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        struct plan_job *pjob = job->plan;

        if (pjob != NULL) {
            pjob->pool = need_pool(plan, job->queue->conf.service);
        }
    }
    plan->dirty = true;
}

void
plan_settled(struct plan *plan)
{
    plan->settled = true;
    plan->dirty = true;
}

/* ---- passes ------------------------------------------------------------- */

/* A gang of which some members run and others do not, and no end is listed
 * that would explain it: its runs are stopped, then it starts anew. */
static void
mend_gang(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    if (step->idle == 0 || step->idle == step->left) {
        step->mixed_ms = 0;
        return;
    }
    if (step->mixed_ms == 0) {
        step->mixed_ms = now_ms;
    }
    else if (now_ms >= step->mixed_ms + MIXED_GANG_MAX_MS) {
        for (uint32_t i = 0; i < step->def->count; i++) {
            stop_other_runs(plan, step, step->first + i, now_ms);
        }
    }
}

static void
drop_closed_steps(struct plan *plan)
{
    for (guint i = plan->open->len; i > 0; i--) {
        struct plan_step *step = plan->open->pdata[i - 1];

        if (step->job->ended || step->idle == 0 || is_blocked(step)) {
            step->listed = false;
            g_ptr_array_remove_index_fast(plan->open, i - 1);
        }
    }
    for (guint i = plan->coming->len; i > 0; i--) {
        struct plan_step *step = plan->coming->pdata[i - 1];

        if (step->job->ended || step->listed || !is_blocked(step)) {
            step->coming = false;
            g_ptr_array_remove_index_fast(plan->coming, i - 1);
        }
    }
}

static bool
is_due(const struct plan *plan, const struct plan_step *step, uint64_t now_ms)
{
    return step->due_ms == 0 ||
           (int64_t)now_ms + plan->wall_offset_ms >= (int64_t)step->due_ms;
}

static bool
may_start(const struct plan *plan, const struct plan_step *step,
          uint64_t now_ms)
{
    return (plan->settled || !step->job->inherited) &&
           is_due(plan, step, now_ms);
}

static void
tell_wait(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    struct plan_wait wait = {
        .step = {step->job->job->submit.id, step->occurrence, step->index, 0},
        .why = step->why,
        .idle = step->idle,
        .waited_ms = now_ms - step->open_ms};
    const struct plan_pool *pool =
        g_hash_table_lookup(plan->pools, step->job->job->queue->conf.service);

    if (step->idle == 0 || plan->ops.waits == NULL || step->why == NULL ||
        now_ms < MAX(step->open_ms, step->told_ms) + TELL_WAIT_MS) {
        return;
    }
    step->told_ms = now_ms;
    if (pool != NULL) {
        wait.free_cpu_milli = pool->size.cpu_milli -
                              MIN(pool->used.cpu_milli, pool->size.cpu_milli);
        wait.free_accel =
            pool->size.accel - MIN(pool->used.accel, pool->size.accel);
    }
    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        wait.granted +=
            g_array_index(step->tickets, struct plan_ticket, i).word ==
            POLICY_GRANTED;
    }
    plan->ops.waits(plan->ops.ctx, &wait);
}

void
plan_pass(struct plan *plan, uint64_t now_ms, uint64_t wall_ms)
{
    plan->wall_offset_ms = (int64_t)wall_ms - (int64_t)now_ms;
    plan->now_ms = now_ms;
    if (now_ms <
        (plan->dirty ? plan->passed_ms + PASS_LEAST_MS : plan->next_ms)) {
        return;
    }
    plan->dirty = false;
    plan->passed_ms = now_ms;
    plan->no_asker = false;
    plan->no_long_asker = false;
    plan->next_ms = now_ms + PASS_IDLE_MS;
    plan->counters.passes++;
    drop_closed_steps(plan);
    plan_sort_open(plan, now_ms);
    plan_count_pools(plan, now_ms);
    for (guint i = 0; i < plan->open->len; i++) {
        struct plan_step *step = plan->open->pdata[i];

        if (!may_start(plan, step, now_ms)) {
            continue;
        }
        if (plan_needs_ticket(step)) {
            plan_ask(plan, step, now_ms);
        }
        if (step->def->gang) {
            mend_gang(plan, step, now_ms);
        }
        plan_place_step(plan, step, now_ms);
        tell_wait(plan, step, now_ms);
    }
    for (guint i = 0; i < plan->coming->len; i++) {
        plan_ask(plan, plan->coming->pdata[i], now_ms);
    }
}

/* ---- life --------------------------------------------------------------- */

struct plan *
plan_new(struct fleet *fleet, const struct plan_params *params,
         const struct plan_ops *ops, uint64_t now_ms)
{
    struct plan *plan = g_new0(struct plan, 1);
    GHashTableIter iter;
    struct fleet_team *team;
    struct fleet_target *target;
    struct fleet_job *job;

    plan->fleet = fleet;
    plan->params = *params;
    plan->ops = *ops;
    plan->open = g_ptr_array_new();
    plan->coming = g_ptr_array_new();
    plan->targets = g_ptr_array_new();
    plan->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    g_hash_table_iter_init(&iter, fleet->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        memset(&team->used, 0, sizeof(team->used));
    }
    for (guint i = 0; i < fleet->queues->len; i++) {
        ((struct fleet_queue *)fleet->queues->pdata[i])->waiting = 0;
    }
    g_hash_table_iter_init(&iter, fleet->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        target->plan = NULL;
        plan_target_changed(plan, target);
    }
    g_hash_table_iter_init(&iter, fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        job->plan = NULL;
        if (fleet_is_live(job)) {
            add_job(plan, job, true, now_ms);
        }
    }
    return plan;
}

void
plan_free(struct plan *plan)
{
    GHashTableIter iter;
    struct fleet_job *job;

    if (plan == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, plan->fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        if (job->plan != NULL) {
            free_plan_job(job->plan);
            job->plan = NULL;
        }
    }
    for (guint i = 0; i < plan->targets->len; i++) {
        struct plan_target *target = plan->targets->pdata[i];

        target->target->plan = NULL;
        free_plan_target(target);
    }
    g_ptr_array_free(plan->open, TRUE);
    g_ptr_array_free(plan->coming, TRUE);
    g_ptr_array_free(plan->targets, TRUE);
    g_hash_table_destroy(plan->pools);
    g_free(plan);
}

void
plan_each_run(const struct fleet_target *target,
              void (*fn)(void *ctx, const struct fleet_task_name *task,
                         uint32_t run),
              void *ctx)
{
    const struct plan_target *on = target->plan;

    for (guint i = 0; on != NULL && i < on->runs->len; i++) {
        const struct plan_run *run = on->runs->pdata[i];

        fn(ctx, &run->task, run->run);
    }
}

bool
plan_awaits_start(const struct fleet_target *target,
                  const struct fleet_task_name *task, uint32_t run)
{
    const struct plan_run *found = find_run(target->plan, task, run);

    return found != NULL && found->state == RUN_STARTING;
}

uint64_t
plan_next_end_ms(const struct fleet_target *target)
{
    const struct plan_target *on = target->plan;
    uint64_t at_ms = UINT64_MAX;

    for (guint i = 0; i < on->runs->len; i++) {
        const struct plan_run *run = on->runs->pdata[i];

        if (run->step != NULL && !run->step->def->lasting) {
            at_ms = MIN(at_ms, run->expected_ms);
        }
    }
    return at_ms;
}

void
plan_job_times(const struct fleet_job *job, uint32_t *chain_ms,
               uint32_t *objective_ms)
{
    const struct plan_job *pjob = job->plan;

    *chain_ms = pjob != NULL ? pjob->chain_ms : 0;
    *objective_ms = pjob != NULL ? pjob->objective_ms : 0;
}

enum fleet_job_state
plan_job_state(const struct fleet_job *job)
{
    const struct plan_job *pjob = job->plan;

    if (job->state != JOB_QUEUED || pjob == NULL) {
        return job->state;
    }
    return pjob->started ? JOB_RUNNING : JOB_QUEUED;
}

const struct plan_counters *
plan_counters(const struct plan *plan)
{
    return &plan->counters;
}

static json_t *
dump_target(const struct plan_target *target)
{
    return json_pack(
        "{s:s,s:b,s:i,s:I,s:I,s:I,s:I,s:i,s:i}", "id", target->target->rec.id,
        "usable", target->usable, "runs", (int)target->runs->len, "cpu_milli",
        (json_int_t)target->size.cpu_milli, "used_cpu_milli",
        (json_int_t)target->used.cpu_milli, "accel",
        (json_int_t)target->size.accel, "used_accel",
        (json_int_t)target->used.accel, "failed_row", (int)target->failed_row,
        "slow_permille", (int)target->slow_permille);
}

json_t *
plan_dump(const struct plan *plan)
{
    json_t *targets = json_array();

    for (guint i = 0; i < plan->targets->len; i++) {
        json_array_append_new(targets, dump_target(plan->targets->pdata[i]));
    }
    return json_pack("{s:b,s:i,s:i,s:I,s:I,s:o}", "settled", plan->settled,
                     "open_steps", (int)plan->open->len, "coming_steps",
                     (int)plan->coming->len, "starts",
                     (json_int_t)plan->counters.starts, "stops",
                     (json_int_t)plan->counters.stops, "targets", targets);
}
