/* plan.c -- targets, jobs and passes of a plan */
#include "core/plan.h"

#include <string.h>

#include "core/planpriv.h"

#define MIXED_GANG_MAX_MS 2000u /* a gang that lost members is stopped */
#define PASS_LEAST_MS 2u        /* between two passes, to bound their cost */
#define PASS_IDLE_MS 100u       /* passes without news, for timed matters */
#define TELL_WAIT_MS 1000u      /* between lines on one step that waits */
#define TIGHT_SLACK_MS 1500u    /* work with less slack must start at once */

const struct plan_policy PLAN_POLICY = {"filbertpath", true, HOLD_LATE, true,
                                        true};
const struct plan_policy PLAN_HOLDS_AT_ONCE = {"holds-at-once", true,
                                               HOLD_AT_ONCE, false, true};
const struct plan_policy PLAN_FIFO = {"fifo", false, HOLD_NEVER, false, false};

/* ---- targets ------------------------------------------------------------ */

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

static void
detach_copies(struct plan *plan, struct plan_target *target)
{
    for (guint i = 0; i < target->runs->len; i++) {
        plan_detach_copy(plan, target->runs->pdata[i]);
    }
}

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
    on->size = (struct fleet_resources){
        target->rec.cpu_milli, target->rec.memory_mb, target->rec.accel};
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
    plan_drop_run(plan, run);
    if (step != NULL && step->def->gang) {
        plan_stop_gang(plan, step, number, now_ms);
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
    on->told = true;
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
    on->leaves_ms = 0;
    on->evacuated = false;
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
        from->queue->waiting_jobs++;
    }
    for (uint32_t i = 0; i < job->step_count; i++) {
        plan_list_step(plan, &job->steps[i]);
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
    plan_note_started(pjob);
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
    plan_note_started(pjob);
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
                    plan_take_size(&target->pool->tight, &run->size);
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
            plan_stop_task(plan, step, step->first + i, now_ms);
        }
    }
}

static void
drop_closed_steps(struct plan *plan)
{
    for (guint i = plan->open->len; i > 0; i--) {
        struct plan_step *step = plan->open->pdata[i - 1];

        if (step->job->ended || step->idle == 0 || plan_is_blocked(step)) {
            step->listed = false;
            g_ptr_array_remove_index_fast(plan->open, i - 1);
        }
    }
    for (guint i = plan->coming->len; i > 0; i--) {
        struct plan_step *step = plan->coming->pdata[i - 1];

        if (step->job->ended || step->listed || !plan_is_blocked(step)) {
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

/* Load pattern: a leader is lost while some targets are cut off. Inherited
 * work may still run on a target of its service that has not told; the other
 * services need not wait for that. */
static bool
is_settled(const struct plan *plan, const struct plan_job *job)
{
    return plan->settled || !job->inherited || job->pool->untold == 0;
}

static bool
may_start(const struct plan *plan, const struct plan_step *step,
          uint64_t now_ms)
{
    return is_settled(plan, step->job) && is_due(plan, step, now_ms);
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

static void
evacuate(struct plan *plan, uint64_t now_ms)
{
    for (guint i = 0; i < plan->targets->len; i++) {
        struct plan_target *target = plan->targets->pdata[i];

        if (target->target->rec.leaving) {
            plan_evacuate(plan, target, now_ms);
        }
    }
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
    evacuate(plan, now_ms);
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
    plan->now_ms = now_ms;
    if (plan->params.policy == NULL) {
        plan->params.policy = &PLAN_POLICY;
    }
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
        ((struct fleet_queue *)fleet->queues->pdata[i])->waiting_jobs = 0;
    }
    g_hash_table_iter_init(&iter, fleet->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        target->plan = NULL;
        plan_target_changed(plan, target);
    }
    g_hash_table_iter_init(&iter, fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        job->plan = NULL;
        if (fleet_job_is_live(job)) {
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
              void (*fn)(void *ctx, const struct fleet_task_id *task,
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
                  const struct fleet_task_id *task, uint32_t run)
{
    const struct plan_run *found = plan_find_run(target->plan, task, run);

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
