/* plan.c -- targets, jobs and scheduling passes */
#include "core/plan.h"

#include <string.h>

#include "core/plancopy.h"
#include "core/planpriv.h"

/* A gang of which only some members have a run is stopped after this. */
#define PARTIAL_GANG_MAX_MS 2000u
#define MIN_PASS_INTERVAL_MS 2u    /* bounds the cost of passes */
#define IDLE_PASS_INTERVAL_MS 100u /* without changes, for timed events */
#define WAIT_LOG_INTERVAL_MS 1000u /* for each waiting step */
#define TIGHT_SLACK_MS 1500u       /* jobs with less slack are tight */

const struct plan_policy PLAN_POLICY_DEFAULT = {.name = "filbertpath",
                                                .by_slack = true,
                                                .reserve_mode =
                                                    RESERVE_WHEN_URGENT,
                                                .wide_gang_queries = true,
                                                .keeps_headroom = true,
                                                .reserves_for_gangs = true};
/* The decisions of PLAN_POLICY_CONTENDED. */
#define CONTENDED_DECISIONS                                                   \
    .by_slack = true, .reserve_mode = RESERVE_WHEN_URGENT,                    \
    .wide_gang_queries = true, .keeps_headroom = true,                        \
    .reserves_for_gangs = true, .by_share = true, .keeps_accepted = true,     \
    .packs_all = true, .learns_speeds = true, .copies = true
const struct plan_policy PLAN_POLICY_CONTENDED = {.name = "contended",
                                                  CONTENDED_DECISIONS};
const struct plan_policy PLAN_POLICY_RESERVE_AT_ONCE = {
    .name = "holds-at-once",
    .by_slack = true,
    .reserve_mode = RESERVE_AT_ONCE,
    .keeps_headroom = true};
const struct plan_policy PLAN_POLICY_RESERVE_ACCEL = {
    .name = "holds-accel",
    .by_slack = true,
    .reserve_mode = RESERVE_WHEN_URGENT,
    .wide_gang_queries = true,
    .keeps_headroom = true};
const struct plan_policy PLAN_POLICY_FIFO = {.name = "fifo",
                                             .reserve_mode = RESERVE_NEVER};

/* ---- targets ------------------------------------------------------------ */

static struct plan_pool *
get_or_add_pool(struct plan *plan, const char *service)
{
    struct plan_pool *pool = g_hash_table_lookup(plan->pools, service);

    if (pool == NULL) {
        pool = g_new0(struct plan_pool, 1);
        g_strlcpy(pool->service, service, sizeof(pool->service));
        pool->plan = plan;
        pool->targets = g_ptr_array_new();
        pool->kinds = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(plan->pools, pool->service, pool);
    }
    return pool;
}

static void
detach_runs(struct plan *plan, struct plan_target *target)
{
    for (guint i = 0; i < target->runs->len; i++) {
        plan_detach_run(plan, target->runs->pdata[i]);
    }
}

static void
free_pool(void *item)
{
    struct plan_pool *pool = item;

    g_ptr_array_free(pool->targets, TRUE);
    g_ptr_array_free(pool->kinds, TRUE);
    g_free(pool);
}

void
plan_unref_target(struct plan_target *target)
{
    if (--target->references == 0) {
        g_ptr_array_free(target->runs, TRUE);
        g_free(target);
    }
}

/* What runs of tight jobs use counts in the target's new pool. */
static void
move_tight_used(const struct plan_target *target, struct plan_pool *to)
{
    for (guint i = 0; i < target->runs->len; i++) {
        const struct plan_run *run = target->runs->pdata[i];

        if (run->step != NULL && run->step->job->tight) {
            plan_subtract_size(&target->pool->tight_used, &run->size);
            plan_add_size(&to->tight_used, &run->size);
        }
    }
}

static void
set_pool(struct plan_target *target, struct plan_pool *pool)
{
    if (target->pool == pool) {
        return;
    }
    if (target->pool != NULL) {
        move_tight_used(target, pool);
        g_ptr_array_remove_fast(target->pool->targets, target);
    }
    target->pool = pool;
    g_ptr_array_add(pool->targets, target);
}

void
plan_target_changed(struct plan *plan, struct fleet_target *target)
{
    struct plan_target *ptarget = target->plan;

    if (ptarget == NULL) {
        ptarget = g_new0(struct plan_target, 1);
        ptarget->target = target;
        ptarget->references = 1;
        ptarget->slowdown_permille = 1000;
        ptarget->runs = g_ptr_array_new_with_free_func(g_free);
        target->plan = ptarget;
        g_ptr_array_add(plan->targets, ptarget);
    }
    set_pool(ptarget, get_or_add_pool(plan, target->rec.service));
    ptarget->capacity = (struct fleet_resources){
        target->rec.cpu_milli, target->rec.memory_mb, target->rec.accel};
    plan_set_kind(ptarget);
    plan_update_place(plan, ptarget);
    plan_check_reservation(plan, ptarget);
    if (target->rec.departed && !ptarget->departed) {
        ptarget->evacuated = false; /* what is left is to be stopped too */
    }
    ptarget->departed = target->rec.departed;
    plan->dirty = true;
}

void
plan_set_target_usable(struct plan *plan, struct fleet_target *target,
                       bool usable)
{
    struct plan_target *ptarget = target->plan;

    if (usable) {
        plan_end_silence(plan, ptarget);
    }
    if (ptarget->usable != usable) {
        ptarget->usable = usable;
        plan->dirty = true;
        if (!usable) {
            detach_runs(plan, ptarget);
        }
    }
}

void
plan_drop_lost_run(struct plan *plan, struct plan_run *run, uint64_t now_ms)
{
    struct plan_step *step = run->step;
    uint32_t run_number = run->run_number;

    plan->counters.runs_lost++;
    plan_remove_run(plan, run);
    if (step != NULL && step->def->gang) {
        plan_stop_gang(plan, step, run_number, PLAN_PARTIAL_GANG_REASON,
                       now_ms);
    }
}

static void
reset_health(struct plan_target *target)
{
    target->usable = false;
    target->failures_in_row = 0;
    target->backoff_until_ms = 0;
    target->failing_until_ms = 0;
    target->slowdown_permille = 1000;
    plan_forget_speed(target);
    target->silent_ms = 0;
    target->closed = false;
}

void
plan_target_lost(struct plan *plan, struct fleet_target *target,
                 enum plan_loss loss, uint64_t now_ms)
{
    struct plan_target *ptarget = target->plan;

    plan_judge_crash(plan, ptarget, loss, now_ms);
    reset_health(ptarget);
    ptarget->runs_known = true;
    while (ptarget->runs->len > 0) {
        plan_drop_lost_run(plan, ptarget->runs->pdata[ptarget->runs->len - 1],
                           now_ms);
    }
}

void
plan_target_restarted(struct plan *plan, struct fleet_target *target,
                      uint64_t now_ms)
{
    struct plan_target *ptarget = target->plan;

    plan_judge_crash(plan, ptarget, LOSS_CRASHED, now_ms);
    reset_health(ptarget);
    ptarget->leaves_ms = 0;
    ptarget->evacuated = false;
    for (guint i = ptarget->runs->len; i > 0; i--) {
        struct plan_run *run = ptarget->runs->pdata[i - 1];

        run->state = RUN_UNKNOWN;
        run->active_since_ms = 0;
        run->stop_confirmed_ms = 0;
        /* A copy of its start may reach the new incarnation, which accepts
         * none once the run was stopped there. */
        if (run->start_in_flight || run->last_listed_ms == 0 ||
            run->start_resent) {
            plan_order_stop(plan, run, PLAN_RESTARTED_REASON, now_ms);
        }
        else {
            run->awaits_list_ms = now_ms;
        }
    }
}

uint32_t
plan_count_runs(const struct fleet_target *target)
{
    const struct plan_target *ptarget = target->plan;

    return ptarget->runs->len;
}

bool
plan_target_is_idle(const struct fleet_target *target)
{
    const struct plan_target *ptarget = target->plan;

    return ptarget->runs_known && ptarget->runs->len == 0;
}

void
plan_target_removed(struct plan *plan, struct fleet_target *target)
{
    struct plan_target *ptarget = target->plan;

    if (ptarget == NULL) {
        return;
    }
    if (ptarget->runs->len > 0) {
        plan_target_lost(plan, target,
                         target->rec.leaving ? LOSS_LEFT : LOSS_CRASHED,
                         plan->now_ms);
    }
    plan_clear_reservation(ptarget);
    g_ptr_array_remove_fast(ptarget->pool->targets, ptarget);
    g_ptr_array_remove(plan->targets, ptarget);
    target->plan = NULL;
    ptarget->removed = true;
    plan_unref_target(ptarget);
}

/* ---- jobs --------------------------------------------------------------- */

static void
init_step(struct plan_job *job, struct plan_step *step, uint32_t occurrence,
          uint32_t index)
{
    const struct fleet_submit *submit = &job->job->submit;

    step->job = job;
    step->def = &job->job->steps[index];
    step->occurrence = occurrence;
    step->index = index;
    step->first_task =
        occurrence * job->job->occurrence_tasks + job->job->first_task[index];
    if (submit->occurrences > 0) {
        step->due_ms =
            submit->first_due_ms + (uint64_t)occurrence * submit->interval_ms;
    }
    for (uint32_t i = 0; i < step->def->count; i++) {
        if (!job->tasks[step->first_task + i].done) {
            step->unfinished++;
            step->pending++;
        }
    }
}

static void
init_tasks(struct plan *plan, struct plan_job *pjob)
{
    const struct fleet_job *job = pjob->job;

    pjob->tasks = g_new0(struct plan_task, job->task_count);
    for (uint32_t i = 0; i < job->task_count; i++) {
        struct plan_task *task = &pjob->tasks[i];

        task->done = job->tasks[i].done;
        failures_copy(&task->failures, &job->tasks[i].failures);
        task->crashes =
            g_memdup2(job->tasks[i].crashes, sizeof(*task->crashes));
        pjob->has_crashes = pjob->has_crashes || task->crashes != NULL;
        task->checkpoint = g_strdup(job->tasks[i].checkpoint);
        task->next_run_number =
            pjob->inherited ? plan->params.run_base + 1 : 1;
        if (task->done || task->failures.count > 0 ||
            task->checkpoint != NULL) {
            pjob->started = true;
        }
        pjob->has_failures = pjob->has_failures || task->failures.count > 0;
    }
}

bool
plan_is_tight(uint32_t objective_ms, uint32_t critical_path_ms)
{
    return objective_ms < critical_path_ms + TIGHT_SLACK_MS;
}

static void
add_job(struct plan *plan, struct fleet_job *job, bool inherited,
        uint64_t now_ms)
{
    struct plan_job *pjob = g_new0(struct plan_job, 1);
    uint32_t occurrences = MAX(job->submit.occurrences, 1);

    pjob->job = job;
    pjob->inherited = inherited;
    pjob->accepted_ms =
        inherited ? plan_inherited_since_ms(plan, job, now_ms) : now_ms;
    init_tasks(plan, pjob);
    pjob->step_count = occurrences * job->step_count;
    pjob->steps = g_new0(struct plan_step, pjob->step_count);
    for (uint32_t i = 0; i < pjob->step_count; i++) {
        init_step(pjob, &pjob->steps[i], i / job->step_count,
                  i % job->step_count);
    }
    pjob->critical_path_ms =
        plan_critical_path_ms(&job->submit, &job->queue->conf);
    pjob->objective_ms =
        plan_objective_ms(pjob->critical_path_ms, &job->queue->conf);
    pjob->tight = plan_is_tight(pjob->objective_ms, pjob->critical_path_ms);
    pjob->pool = get_or_add_pool(plan, job->queue->conf.service);
    job->plan = pjob;
    if (!pjob->started) {
        job->queue->waiting_jobs++;
    }
    for (uint32_t i = 0; i < pjob->step_count; i++) {
        plan_open_step(plan, &pjob->steps[i]);
    }
    plan_review_job_attempts(plan, pjob);
}

void
plan_job_added(struct plan *plan, struct fleet_job *job, uint64_t now_ms)
{
    if (job->beyond_share && job->team != NULL) {
        job->queue->jobs_beyond_share++;
        job->team->jobs_beyond_share++;
    }
    add_job(plan, job, false, now_ms);
}

void
plan_job_ended(struct plan *plan, struct fleet_job *job, uint64_t now_ms)
{
    struct plan_job *pjob = job->plan;
    if (pjob == NULL) {
        return;
    }
    pjob->ended = true;
    g_ptr_array_add(plan->ended_jobs, pjob);
    plan_mark_started(pjob);
    for (GList *link = pjob->runs.head; link != NULL; link = link->next) {
        struct plan_run *run = link->data;

        if (run->stop_ordered_ms == 0) {
            plan_order_stop(plan, run, "its job has ended", now_ms);
        }
    }
    plan->dirty = true;
}

static void
free_plan_job(struct plan_job *job)
{
    for (uint32_t i = 0; i < job->job->task_count; i++) {
        g_free(job->tasks[i].checkpoint);
        failures_clear(&job->tasks[i].failures);
        g_free(job->tasks[i].crashes);
    }
    for (uint32_t i = 0; i < job->step_count; i++) {
        plan_free_tickets(&job->steps[i]);
        plan_free_step_ends(&job->steps[i]);
    }
    g_free(job->tasks);
    g_free(job->steps);
    g_free(job);
}

static void
remove_steps_of_job(GPtrArray *list, const struct plan_job *job)
{
    guint kept = 0;

    for (guint i = 0; i < list->len; i++) {
        const struct plan_step *step = list->pdata[i];

        if (step->job != job) {
            list->pdata[kept++] = list->pdata[i];
        }
    }
    g_ptr_array_set_size(list, (gint)kept);
}

void
plan_job_removed(struct plan *plan, struct fleet_job *job)
{
    struct plan_job *pjob = job->plan;

    if (pjob == NULL) {
        return;
    }
    plan_mark_started(pjob);
    g_ptr_array_remove_fast(plan->ended_jobs, pjob);
    remove_steps_of_job(plan->open_steps, pjob);
    remove_steps_of_job(plan->upcoming_steps, pjob);
    for (uint32_t i = 0; i < pjob->step_count; i++) {
        plan_release_reservation(plan, &pjob->steps[i]);
    }
    plan_end_trials(plan, pjob);
    while (pjob->runs.head != NULL) {
        struct plan_run *run = pjob->runs.head->data;

        if (pjob->tight) {
            plan_subtract_size(&run->target->pool->tight_used, &run->size);
        }
        plan_unlink_run(run);
        run->step = NULL;
    }
    job->plan = NULL;
    free_plan_job(pjob);
}

/* Workload: thousands of ended jobs whose states can still be queried. A job
 * is planned no more once its last run is gone. */
static void
remove_ended_jobs(struct plan *plan)
{
    for (guint i = plan->ended_jobs->len; i > 0; i--) {
        const struct plan_job *pjob = plan->ended_jobs->pdata[i - 1];

        if (pjob->runs.head == NULL) {
            plan_job_removed(plan, pjob->job);
        }
    }
}

/* A queue may have moved to another service, or allow fewer attempts. */
void
plan_config_changed(struct plan *plan)
{
    GHashTableIter iter;
    struct fleet_job *job;

    g_hash_table_iter_init(&iter, plan->fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        struct plan_job *pjob = job->plan;

        if (pjob != NULL) {
            pjob->pool = get_or_add_pool(plan, job->queue->conf.service);
            plan_review_job_attempts(plan, pjob);
        }
    }
    plan->dirty = true;
}

void
plan_queue_removed(struct plan *plan, const struct fleet_queue *queue)
{
    g_hash_table_remove(plan->queue_ratios, queue);
}

void
plan_reconciled(struct plan *plan)
{
    plan->reconciled = true;
    plan->dirty = true;
}

/* ---- passes ------------------------------------------------------------- */

/* Stops a gang of which only some members have had a run for some time,
 * although no end was listed that would have stopped the others; then it
 * starts again as a whole. */
static void
stop_partial_gang(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    if (step->pending == 0 || step->pending == step->unfinished) {
        step->partial_since_ms = 0;
        return;
    }
    if (step->partial_since_ms == 0) {
        step->partial_since_ms = now_ms;
    }
    else if (now_ms >= step->partial_since_ms + PARTIAL_GANG_MAX_MS) {
        for (uint32_t i = 0; i < step->def->count; i++) {
            plan_stop_task(plan, step, step->first_task + i, now_ms);
        }
    }
}

static void
remove_closed_steps(struct plan *plan)
{
    guint kept = 0;

    for (guint i = 0; i < plan->open_steps->len; i++) {
        struct plan_step *step = plan->open_steps->pdata[i];

        if (step->job->ended || step->pending == 0 || plan_is_blocked(step)) {
            step->is_open = false;
            step->is_sorted = false;
        }
        else {
            plan->open_steps->pdata[kept++] = step;
        }
    }
    g_ptr_array_set_size(plan->open_steps, (gint)kept);
    for (guint i = plan->upcoming_steps->len; i > 0; i--) {
        struct plan_step *step = plan->upcoming_steps->pdata[i - 1];

        if (step->job->ended || step->is_open || !plan_is_blocked(step)) {
            step->is_upcoming = false;
            g_ptr_array_remove_index_fast(plan->upcoming_steps, i - 1);
        }
    }
}

bool
plan_is_due(const struct plan *plan, const struct plan_step *step,
            uint64_t now_ms)
{
    return step->due_ms == 0 ||
           (int64_t)now_ms + plan->wall_offset_ms >= (int64_t)step->due_ms;
}

static void
report_wait(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    struct plan_wait wait = {
        .step = {step->job->job->submit.id, step->occurrence, step->index, 0},
        .reason = step->wait_reason,
        .pending = step->pending,
        .waited_ms = now_ms - step->opened_ms,
        .beyond_share = step->sort_key[0] >= CLASS_BEYOND_SHARE};
    const struct plan_pool *pool =
        g_hash_table_lookup(plan->pools, step->job->job->queue->conf.service);

    if (step->pending == 0 || plan->ops.on_step_waiting == NULL ||
        step->wait_reason == NULL ||
        now_ms < MAX(step->opened_ms, step->wait_logged_ms) +
                     WAIT_LOG_INTERVAL_MS) {
        return;
    }
    step->wait_logged_ms = now_ms;
    if (pool != NULL) {
        wait.free_cpu_milli =
            pool->capacity.cpu_milli -
            MIN(pool->used.cpu_milli, pool->capacity.cpu_milli);
        wait.free_accel =
            pool->capacity.accel - MIN(pool->used.accel, pool->capacity.accel);
    }
    plan_count_tickets(step, &wait, now_ms);
    plan->ops.on_step_waiting(plan->ops.ctx, &wait);
}

static void
evacuate_leaving_targets(struct plan *plan, uint64_t now_ms)
{
    for (guint i = 0; i < plan->targets->len; i++) {
        struct plan_target *target = plan->targets->pdata[i];

        if (target->target->rec.leaving) {
            plan_evacuate_target(plan, target, now_ms);
        }
    }
}

void
plan_pass(struct plan *plan, uint64_t now_ms, uint64_t wall_ms)
{
    plan->wall_offset_ms = (int64_t)wall_ms - (int64_t)now_ms;
    plan->now_ms = now_ms;
    plan_store_evidence(plan);
    if (now_ms < (plan->dirty ? plan->last_pass_ms + MIN_PASS_INTERVAL_MS
                              : plan->next_pass_ms)) {
        return;
    }
    plan->dirty = false;
    plan->last_pass_ms = now_ms;
    plan->queries_blocked = false;
    plan->long_queries_blocked = false;
    plan->next_pass_ms = now_ms + IDLE_PASS_INTERVAL_MS;
    plan->counters.passes++;
    plan_survey_unlisted(plan);
    plan_give_up_tasks(plan, now_ms);
    remove_closed_steps(plan);
    remove_ended_jobs(plan);
    plan_sort_open_steps(plan, now_ms);
    plan_update_cold(plan, now_ms);
    plan_update_pools(plan, now_ms);
    plan_survey_teams(plan, now_ms);
    evacuate_leaving_targets(plan, now_ms);
    plan_move_evacuated_runs(plan, now_ms);
    for (guint i = 0; i < plan->open_steps->len; i++) {
        struct plan_step *step = plan->open_steps->pdata[i];

        if (!plan_is_due(plan, step, now_ms)) {
            continue;
        }
        if (plan_hold_step(plan, step)) {
            continue;
        }
        if (plan_needs_ticket(step)) {
            plan_want_query(plan, step);
        }
        if (step->def->gang) {
            stop_partial_gang(plan, step, now_ms);
        }
        plan_place_step(plan, step, now_ms);
    }
    plan_send_queries(plan, now_ms);
    for (guint i = 0; i < plan->open_steps->len; i++) {
        report_wait(plan, plan->open_steps->pdata[i], now_ms);
    }
    plan_start_copies(plan, now_ms);
}

/* ---- creation and queries ----------------------------------------------- */

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
        plan->params.policy = &PLAN_POLICY_DEFAULT;
    }
    plan->ops = *ops;
    plan->copies = plan_copies_new();
    plan->ended_jobs = g_ptr_array_new();
    plan->reviews = plan_reviews_new();
    plan->open_steps = g_ptr_array_new();
    plan->upcoming_steps = g_ptr_array_new();
    plan->querying_steps = g_ptr_array_new();
    plan->targets = g_ptr_array_new();
    plan->silences = g_array_new(FALSE, FALSE, sizeof(struct plan_silence));
    plan->pools =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
    plan->queue_ratios =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    g_hash_table_iter_init(&iter, fleet->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        memset(&team->used, 0, sizeof(team->used));
        team->offered_jobs = 0;
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
        plan_unref_target(target);
    }
    g_ptr_array_free(plan->open_steps, TRUE);
    g_ptr_array_free(plan->upcoming_steps, TRUE);
    g_ptr_array_free(plan->querying_steps, TRUE);
    g_ptr_array_free(plan->targets, TRUE);
    g_array_free(plan->silences, TRUE);
    g_free(plan->evidence.items);
    plan_copies_free(plan->copies);
    g_ptr_array_free(plan->ended_jobs, TRUE);
    g_array_free(plan->reviews, TRUE);
    g_hash_table_destroy(plan->pools);
    g_hash_table_destroy(plan->queue_ratios);
    g_free(plan);
}

bool
plan_awaits_start(const struct fleet_target *target,
                  const struct fleet_task_id *task, uint32_t run_number)
{
    const struct plan_run *found =
        plan_find_run(target->plan, task, run_number);

    return found != NULL && found->state == RUN_STARTING;
}

uint64_t
plan_next_end_ms(const struct fleet_target *target)
{
    const struct plan_target *ptarget = target->plan;
    uint64_t end_ms = UINT64_MAX;

    for (guint i = 0; i < ptarget->runs->len; i++) {
        const struct plan_run *run = ptarget->runs->pdata[i];

        if (run->step != NULL && !run->step->def->lasting) {
            end_ms = MIN(end_ms, run->expected_end_ms);
        }
    }
    return end_ms;
}

void
plan_job_times(const struct fleet_job *job, uint32_t *critical_path_ms,
               uint32_t *objective_ms)
{
    const struct plan_job *pjob = job->plan;

    *critical_path_ms = pjob != NULL ? pjob->critical_path_ms : 0;
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
