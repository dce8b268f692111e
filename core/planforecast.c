/* planforecast.c -- when a job that is offered would end
 *
 * Workload: a service whose targets are all in use. Once in a while each
 * service's work is counted into a backlog (core/backlog.h), in one pass over
 * runs and waiting steps; a job that is offered costs one look at the targets
 * of its service, for the capacity that is free in pieces of its size.
 */
#include "core/planforecast.h"

#include <string.h>

#include "core/planpriv.h"

#define BACKLOG_AGE_MS 20u /* a backlog is not made again before that */
/* What is left of a run that is over its estimate, of the time that it has
 * taken, and at least. */
#define OVERDUE_DIVISOR 4u
#define OVERDUE_MIN_MS 50u
#define STOP_MS 400u /* until a run that was told to stop is gone */
/* A job that needs more than this part of its service at once is wide: it runs
 * in waves. */
#define WIDE_DIVISOR 4u
/* Steps that wait and hold policy clients may hold 1 in so many of them. */
#define HOLDERS_DIVISOR 4u
/* Targets per policy query, as a job's objective accounts for it. */
#define QUERY_TARGETS 30u

/* ---- sizes -------------------------------------------------------------- */

/* Mean capacity of the targets of a service that count. */
struct typical {
    uint64_t targets;
    struct fleet_resources capacity; /* mean */
};

/* Before a target has listed its runs in this term, inherited work is counted
 * as waiting, so its capacity counts as free. */
static bool
counts(const struct plan_target *target)
{
    return (target->usable || !target->runs_known) &&
           !target->target->rec.leaving && !target->in_evacuation;
}

static struct typical
typical_target(const struct plan_pool *pool)
{
    struct typical typical = {0, {0, 0, 0}};

    for (guint i = 0; i < pool->targets->len; i++) {
        const struct plan_target *target = pool->targets->pdata[i];

        if (counts(target)) {
            typical.targets++;
            plan_add_size(&typical.capacity, &target->capacity);
        }
    }
    if (typical.targets > 0) {
        typical.capacity.cpu_milli /= typical.targets;
        typical.capacity.memory_mb /= typical.targets;
        typical.capacity.accel /= typical.targets;
    }
    return typical;
}

/* Whether two tasks of this size do not fit on one typical target. */
static bool
needs_whole_target(const struct typical *typical,
                   const struct fleet_resources *size)
{
    return size->cpu_milli * 2 > typical->capacity.cpu_milli ||
           size->memory_mb * 2 > typical->capacity.memory_mb ||
           (size->accel > 0 && size->accel * 2 > typical->capacity.accel);
}

static void
set_amount(uint64_t amount[BACKLOG_RESOURCE_COUNT],
           const struct typical *typical, const struct fleet_resources *size,
           uint64_t count)
{
    amount[BACKLOG_CPU] = size->cpu_milli * count;
    amount[BACKLOG_MEMORY] = size->memory_mb * count;
    amount[BACKLOG_ACCEL] = size->accel * count;
    amount[BACKLOG_WHOLE] = needs_whole_target(typical, size) ? count : 0;
}

static struct backlog_work
work_of(const struct typical *typical, const struct fleet_step *def,
        uint64_t count)
{
    const struct fleet_resources size = plan_task_size(def);
    struct backlog_work work;

    set_amount(work.amount, typical, &size, count);
    for (int r = 0; r < BACKLOG_RESOURCE_COUNT; r++) {
        work.work[r] = work.amount[r] * def->estimate_ms;
        work.whole[r] = work.amount[BACKLOG_WHOLE] > 0 ? work.amount[r] : 0;
    }
    return work;
}

/* ---- taking stock ------------------------------------------------------- */

static uint64_t
until_end_ms(const struct plan_run *run, uint64_t now_ms)
{
    if (run->stop_ordered_ms != 0) {
        return STOP_MS;
    }
    if (run->expected_end_ms > now_ms) {
        return run->expected_end_ms - now_ms;
    }
    return MAX((now_ms - MIN(run->ordered_ms, now_ms)) / OVERDUE_DIVISOR,
               OVERDUE_MIN_MS);
}

static bool
is_lasting(const struct plan_run *run)
{
    return run->step != NULL && run->step->def->lasting &&
           run->stop_ordered_ms == 0;
}

/* The steps of a job in progress that wait for the end of a running step. */
static void
count_followers(struct plan *plan, struct backlog *backlog,
                const struct typical *typical, struct plan_step *step,
                uint64_t after_ms)
{
    struct plan_step *base = step - step->index;

    if (step->pending > 0) {
        return; /* counted with what is pending */
    }
    for (uint32_t i = step->index + 1; i < step->job->job->step_count; i++) {
        struct plan_step *next = &base[i];
        struct backlog_work work;

        if (next->backlog_mark == plan->backlog_mark || next->pending == 0 ||
            next->def->lasting || !plan_is_blocked(next)) {
            continue;
        }
        next->backlog_mark = plan->backlog_mark;
        work = work_of(typical, next->def, next->pending);
        backlog_add_follower(backlog, work.amount, after_ms);
    }
}

static bool
has_half_free(const struct plan_target *target)
{
    return target->used.cpu_milli * 2 <= target->capacity.cpu_milli &&
           target->used.memory_mb * 2 <= target->capacity.memory_mb &&
           target->used.accel * 2 <= target->capacity.accel;
}

static void
count_runs(struct plan *plan, const struct plan_target *target,
           const struct typical *typical, struct backlog *backlog,
           uint64_t now_ms)
{
    uint64_t ends_ms = 0;
    uint64_t ends = 0;
    bool has_whole = false;

    for (guint i = 0; i < target->runs->len; i++) {
        const struct plan_run *run = target->runs->pdata[i];
        uint64_t amount[BACKLOG_RESOURCE_COUNT];
        uint64_t after_ms = until_end_ms(run, now_ms);

        if (is_lasting(run)) {
            continue;
        }
        set_amount(amount, typical, &run->size, 1);
        has_whole = has_whole || amount[BACKLOG_WHOLE] > 0;
        backlog_add_release(backlog, amount, after_ms);
        ends_ms += after_ms;
        ends++;
        if (run->step != NULL && !run->step->job->ended) {
            count_followers(plan, backlog, typical, run->step, after_ms);
        }
    }
    if (!has_whole && has_half_free(target)) {
        backlog->free_whole++;
    }
    else if (!has_whole && ends > 0) {
        /* Small tasks keep a large one out until about half of them end. */
        uint64_t amount[BACKLOG_RESOURCE_COUNT] = {[BACKLOG_WHOLE] = 1};

        backlog_add_release(backlog, amount, ends_ms / ends);
    }
}

/* A waiting step, with those that follow it. */
static struct backlog_work
step_work(struct plan *plan, const struct typical *typical,
          struct plan_step *step)
{
    struct plan_step *base = step - step->index;
    struct backlog_work work = work_of(typical, step->def, step->pending);

    for (uint32_t i = step->index + 1; i < step->job->job->step_count; i++) {
        struct plan_step *next = &base[i];
        struct backlog_work later;

        if (next->backlog_mark == plan->backlog_mark || next->pending == 0 ||
            !plan_is_blocked(next)) {
            continue;
        }
        next->backlog_mark = plan->backlog_mark;
        later = work_of(typical, next->def, next->pending);
        for (int r = 0; r < BACKLOG_RESOURCE_COUNT; r++) {
            work.amount[r] = MAX(work.amount[r], later.amount[r]);
            work.whole[r] = MAX(work.whole[r], later.whole[r]);
            work.work[r] += later.work[r];
        }
    }
    return work;
}

static bool
has_grant(struct plan *plan, const struct plan_step *step)
{
    uint32_t granted = 0;
    uint32_t answered = 0;

    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const enum plan_ticket_state state =
            g_array_index(step->tickets, struct plan_ticket, i).state;

        granted += state == TICKET_GRANTED;
        answered += state != TICKET_PENDING;
    }
    plan_admissions_learn_grants(plan, step->job->job->queue, granted,
                                 answered);
    return granted > 0;
}

static uint64_t
query_ms(const struct fleet_queue_conf *queue)
{
    return queue->advised
               ? (queue->advice_us + queue->advice_each_us * QUERY_TARGETS) /
                     1000
               : 0;
}

/* Workload: gangs that wait for whole targets, each of which queries the
 * policy again whenever its tickets expire, until no client is left for work
 * that could start. Returns how much of a client, in thousandths, a step of
 * this kind takes while it waits for capacity; 0: less than half. */
static uint64_t
held_client_milli(const struct plan *plan, const struct fleet_step *def,
                  const struct fleet_queue_conf *queue)
{
    const uint64_t one_query_ms =
        (queue->advice_us +
         (uint64_t)queue->advice_each_us * plan_query_targets(plan, def)) /
        1000;

    return queue->advised && one_query_ms * 2 > queue->ticket_ms
               ? one_query_ms * 1000 / (one_query_ms + queue->ticket_ms)
               : 0;
}

static bool
has_unlisted_target(const struct plan_pool *pool)
{
    for (guint i = 0; i < pool->targets->len; i++) {
        if (!((const struct plan_target *)pool->targets->pdata[i])
                 ->runs_known) {
            return true;
        }
    }
    return false;
}

static void
count_waiting(struct plan *plan, const struct plan_pool *pool,
              const struct typical *typical, uint64_t now_ms)
{
    struct backlog *backlog = pool->backlog;
    const bool is_unlisted = !plan->reconciled && has_unlisted_target(pool);

    for (guint i = 0; i < plan->open_steps->len; i++) {
        struct plan_step *step = plan->open_steps->pdata[i];
        const int64_t due_in_ms =
            (int64_t)step->due_ms - plan->wall_offset_ms - (int64_t)now_ms;
        struct backlog_work work;

        if (step->job->pool != pool || step->job->ended) {
            continue;
        }
        plan_admissions_check_overdue(plan, step->job, now_ms);
        backlog->query_clients += step->query_in_flight;
        work = step_work(plan, typical, step);
        if (step->def->lasting) {
            for (int r = 0; r < BACKLOG_RESOURCE_COUNT; r++) {
                backlog->lasting[r] += work.amount[r];
            }
        }
        else if (step->due_ms != 0 && due_in_ms > 0) {
            backlog_add_follower(backlog, work.amount, (uint64_t)due_in_ms);
        }
        else {
            const bool needs_query =
                plan_needs_ticket(step) && !has_grant(plan, step);
            /* Inherited work waits until its targets have listed its runs. */
            const bool is_fresh =
                needs_query || (is_unlisted && step->job->inherited);

            backlog_add_entry(backlog, step->sort_key, &work,
                              needs_query && !step->query_in_flight
                                  ? query_ms(&step->job->job->queue->conf)
                                  : 0,
                              is_fresh,
                              plan->params.policy->keeps_headroom &&
                                  step->job->tight);
            if (plan_needs_ticket(step)) {
                backlog->held_clients_milli += held_client_milli(
                    plan, step->def, &step->job->job->queue->conf);
            }
        }
    }
}

static uint64_t
typical_run_ms(const struct plan_pool *pool)
{
    uint64_t sum_ms = 0;
    uint64_t runs = 0;

    for (guint i = 0; i < pool->targets->len; i++) {
        const struct plan_target *target = pool->targets->pdata[i];

        for (guint k = 0; k < target->runs->len; k++) {
            const struct plan_run *run = target->runs->pdata[k];

            if (!is_lasting(run) && run->expected_end_ms > run->ordered_ms) {
                sum_ms += run->expected_end_ms - run->ordered_ms;
                runs++;
            }
        }
    }
    return sum_ms / MAX(runs, 1);
}

static void
make_backlog(struct plan *plan, struct plan_pool *pool, uint64_t now_ms)
{
    const struct typical typical = typical_target(pool);
    struct fleet_resources capacity = {0, 0, 0};
    struct backlog *backlog = pool->backlog;

    backlog_reset(backlog, now_ms, typical_run_ms(pool));
    for (guint i = 0; i < pool->targets->len; i++) {
        const struct plan_target *target = pool->targets->pdata[i];

        if (counts(target)) {
            plan_add_size(&capacity, &target->capacity);
            count_runs(plan, target, &typical, backlog, now_ms);
        }
    }
    set_amount(backlog->capacity, &typical, &capacity, 1);
    backlog->capacity[BACKLOG_WHOLE] = typical.targets;
    backlog->queries_blocked =
        plan->queries_blocked || plan->long_queries_blocked;
    count_waiting(plan, pool, &typical, now_ms);
}

void
plan_update_backlogs(struct plan *plan, uint64_t now_ms)
{
    GHashTableIter iter;
    struct plan_pool *pool;
    bool is_new = false;

    g_hash_table_iter_init(&iter, plan->pools);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
        if (pool->backlog == NULL) {
            pool->backlog = g_new(struct backlog, 1);
            backlog_init(pool->backlog);
            is_new = true;
        }
        is_new = is_new || now_ms >= pool->backlog->made_ms + BACKLOG_AGE_MS;
    }
    if (!is_new) {
        return;
    }
    plan->backlog_mark++;
    g_hash_table_iter_init(&iter, plan->pools);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
        make_backlog(plan, pool, now_ms);
    }
    plan_admissions_tick(plan, now_ms);
}

/* ---- one job ------------------------------------------------------------ */

/* Capacity that is free now for tasks of this kind. */
static void
count_free(const struct plan_pool *pool, const struct typical *typical,
           const struct fleet_step *def, uint64_t now_ms,
           uint64_t out[BACKLOG_RESOURCE_COUNT])
{
    const struct fleet_resources size = plan_task_size(def);
    uint64_t slots = 0;

    for (guint i = 0; i < pool->targets->len; i++) {
        const struct plan_target *target = pool->targets->pdata[i];
        struct fleet_resources used = target->used;
        uint64_t fitting;

        if (!counts(target) || now_ms < target->backoff_until_ms ||
            !plan_could_hold(target, def)) {
            continue;
        }
        if (target->reserved_for != NULL &&
            now_ms < target->reserved_until_ms) {
            plan_add_size(&used, &target->reserved);
        }
        fitting = plan_count_fitting(target, &used, &size);
        slots += def->spread > 0 ? MIN(fitting, def->spread) : fitting;
    }
    set_amount(out, typical, &size, MIN(slots, UINT32_MAX));
}

struct run_end {
    uint64_t after_ms;
    const struct plan_run *run;
};

static gint
compare_run_ends(gconstpointer a, gconstpointer b)
{
    const struct run_end *x = a;
    const struct run_end *y = b;

    return x->after_ms < y->after_ms ? -1 : x->after_ms > y->after_ms;
}

/* When a target has room for a task of this size, by the expected ends of its
 * runs; UINT64_MAX: not known. */
static uint64_t
room_after_ms(const struct plan_target *target,
              const struct fleet_resources *size, uint64_t now_ms,
              GArray *ends)
{
    struct fleet_resources used = target->used;
    uint64_t after_ms = 0;

    g_array_set_size(ends, 0);
    for (guint i = 0; i < target->runs->len; i++) {
        const struct run_end end = {
            until_end_ms(target->runs->pdata[i], now_ms),
            target->runs->pdata[i]};

        if (!is_lasting(end.run)) {
            g_array_append_val(ends, end);
        }
    }
    g_array_sort(ends, compare_run_ends);
    for (guint i = 0; plan_count_fitting(target, &used, size) == 0; i++) {
        if (i == ends->len) {
            return UINT64_MAX;
        }
        after_ms = g_array_index(ends, struct run_end, i).after_ms;
        plan_subtract_size(&used,
                           &g_array_index(ends, struct run_end, i).run->size);
    }
    return after_ms;
}

/* When targets have room for a task that needs a whole one. */
static void
set_room(const struct plan_pool *pool, const struct fleet_step *def,
         uint64_t now_ms, uint64_t room[BACKLOG_SLOTS])
{
    const struct fleet_resources size = plan_task_size(def);
    GArray *ends = g_array_new(FALSE, FALSE, sizeof(struct run_end));

    for (guint i = 0; i < pool->targets->len; i++) {
        const struct plan_target *target = pool->targets->pdata[i];
        uint64_t slot;

        if (!counts(target) || !plan_could_hold(target, def)) {
            continue;
        }
        slot = room_after_ms(target, &size, now_ms, ends) /
               pool->backlog->slot_ms;
        if (slot < BACKLOG_SLOTS) {
            room[slot]++;
        }
    }
    g_array_free(ends, TRUE);
}

/* What is kept for work with little slack (plan_leaves_headroom()). */
static void
set_kept_free(const struct plan *plan, struct plan_forecast_input *input,
              uint32_t objective_ms)
{
    const struct plan_pool *pool = input->pool;

    input->demand.is_tight = plan->params.policy->keeps_headroom &&
                             plan_is_tight(objective_ms, input->chain_ms);
    if (plan->params.policy->keeps_headroom && !input->demand.is_tight) {
        input->demand.kept_free[BACKLOG_CPU] =
            pool->tight_peak.cpu_milli * PLAN_HEADROOM_PERCENT / 100;
        input->demand.kept_free[BACKLOG_ACCEL] =
            pool->tight_peak.accel * PLAN_HEADROOM_PERCENT / 100;
    }
}

/* A gang starts once as many of the targets that the policy grants it are free
 * at the same time; that many of all targets are then. */
static void
ask_for_granted(const struct plan *plan, struct plan_forecast_input *input,
                const struct fleet_step *def, uint64_t targets)
{
    const struct fleet_queue *queue = input->offer->queue;
    uint64_t *whole = &input->demand.own.amount[BACKLOG_WHOLE];
    uint64_t granted;

    if (!queue->conf.advised || !def->gang || *whole == 0) {
        return;
    }
    granted = MIN(plan_query_targets(plan, def), targets) *
              plan_admissions_grants_permille(plan, queue) / 1000;
    if (granted < targets) {
        *whole = MIN(*whole * targets / MAX(granted, 1), targets);
    }
}

void
plan_forecast_prepare(const struct plan *plan, const struct plan_offer *offer,
                      uint64_t now_ms, struct plan_forecast_input *input)
{
    const struct fleet_submit *submit = offer->submit;
    const struct fleet_step *steps = submit->steps.items;
    struct typical typical;

    memset(input, 0, sizeof(*input));
    input->offer = offer;
    input->pool = g_hash_table_lookup(plan->pools, offer->queue->conf.service);
    input->chain_ms = plan_critical_path_ms(submit, &offer->queue->conf);
    if (submit->occurrences > 0 &&
        (int64_t)submit->first_due_ms > plan->wall_offset_ms) {
        input->due_ms = submit->first_due_ms - (uint64_t)plan->wall_offset_ms;
    }
    plan_offer_sort_key(plan, submit, offer->queue, offer->beyond_share,
                        now_ms, input->demand.key);
    if (input->pool == NULL || submit->steps.count == 0) {
        return;
    }
    typical = typical_target(input->pool);
    for (uint32_t i = 0; i < submit->steps.count; i++) {
        const struct backlog_work work =
            work_of(&typical, &steps[i], steps[i].count);

        if (steps[i].after.count == 0) {
            backlog_add_work(&input->demand.own, &work);
        }
    }
    ask_for_granted(plan, input, &steps[0], typical.targets);
    count_free(input->pool, &typical, &steps[0], now_ms, input->demand.free);
    if (input->demand.own.amount[BACKLOG_WHOLE] > 0 &&
        input->pool->backlog != NULL) {
        set_room(input->pool, &steps[0], now_ms, input->demand.room);
    }
    set_kept_free(plan, input,
                  plan_objective_ms(input->chain_ms, &offer->queue->conf));
}

/* How long later steps of the job wait on a service that is full, and the
 * waves of steps wider than 1 in WIDE_DIVISOR of it. */
static uint64_t
later_waits_ms(const struct plan_forecast_input *input, bool is_full,
               uint64_t *waves_ms)
{
    const struct fleet_submit *submit = input->offer->submit;
    const struct fleet_step *steps = submit->steps.items;
    const uint64_t *capacity = input->pool->backlog->capacity;
    const struct typical typical = typical_target(input->pool);
    uint64_t later_ms = 0;

    *waves_ms = 0;
    for (uint32_t i = 0; i < submit->steps.count; i++) {
        const struct backlog_work work =
            work_of(&typical, &steps[i], steps[i].count);
        uint64_t longest_ms = 0;

        for (int r = 0; r < BACKLOG_RESOURCE_COUNT; r++) {
            longest_ms = MAX(longest_ms, work.work[r] / MAX(capacity[r], 1));
        }
        if (is_full && steps[i].after.count > 0) {
            later_ms += longest_ms;
        }
        if (longest_ms * WIDE_DIVISOR > steps[i].estimate_ms) {
            *waves_ms += longest_ms * WIDE_DIVISOR - steps[i].estimate_ms;
        }
    }
    return later_ms;
}

/* A team at its limit starts work as its own ends. */
static uint64_t
team_wait_ms(const struct plan_forecast_input *input)
{
    const struct fleet_team *team = input->offer->team;
    const uint64_t *own = input->demand.own.amount;
    const uint64_t limits[] = {team != NULL ? team->limit.cpu_milli : 0,
                               team != NULL ? team->limit.memory_mb : 0,
                               team != NULL ? team->limit.accel : 0};
    uint64_t wait_ms = 0;

    for (size_t r = 0; r < G_N_ELEMENTS(limits); r++) {
        const uint64_t used[] = {team != NULL ? team->used.cpu_milli : 0,
                                 team != NULL ? team->used.memory_mb : 0,
                                 team != NULL ? team->used.accel : 0};

        if (limits[r] > 0 && used[r] + own[r] > limits[r]) {
            wait_ms = MAX(wait_ms, (used[r] + own[r] - limits[r]) *
                                       (uint64_t)input->chain_ms / limits[r]);
        }
    }
    return wait_ms;
}

/* Whether work that waits and holds policy clients has its part of them. */
static bool
holds_policy(const struct plan *plan, const struct plan_forecast_input *input)
{
    const struct backlog *backlog = input->pool->backlog;
    const struct fleet_step *steps = input->offer->submit->steps.items;

    return backlog->queries_blocked &&
           backlog->held_clients_milli * HOLDERS_DIVISOR >
               (uint64_t)backlog->query_clients * 1000 &&
           held_client_milli(plan, &steps[0], &input->offer->queue->conf) > 0;
}

static const char *const RESOURCE_NAMES[BACKLOG_RESOURCE_COUNT] = {
    "cpu", "memory", "accel", "whole targets"};

struct plan_forecast
plan_forecast(const struct plan *plan, const struct plan_offer *offer,
              uint64_t now_ms)
{
    struct plan_forecast_input input;
    struct plan_forecast forecast;
    struct backlog_answer answer = {.first_ms = 0};
    uint64_t later_ms = 0;
    uint64_t waves_ms = 0;
    uint64_t wait_ms;
    uint64_t delay_ms;

    plan_forecast_prepare(plan, offer, now_ms, &input);
    if (input.pool != NULL && input.pool->backlog != NULL) {
        plan_admissions_count(plan, &input);
        answer = backlog_wait(input.pool->backlog, &input.demand);
        later_ms = later_waits_ms(&input, answer.first_ms > 0, &waves_ms);
    }
    wait_ms = MAX(MAX(answer.first_ms, answer.query_ms), team_wait_ms(&input));
    forecast.wait_ms = (uint32_t)MIN(wait_ms, UINT32_MAX / 8);
    delay_ms = (MAX(wait_ms, answer.last_ms) + later_ms) *
               plan_admissions_scale_permille(plan, offer->queue) / 1000;
    forecast.end_ms = (uint32_t)MIN(delay_ms + input.chain_ms, UINT32_MAX / 2);
    forecast.objective_ms =
        plan_objective_ms(input.chain_ms, &offer->queue->conf) +
        (uint32_t)MIN(waves_ms, UINT32_MAX / 8);
    if (input.due_ms > now_ms) {
        forecast.objective_ms +=
            (uint32_t)MIN(input.due_ms - now_ms, UINT32_MAX / 8);
    }
    forecast.scale_permille =
        plan_admissions_scale_permille(plan, offer->queue);
    forecast.scarce = RESOURCE_NAMES[answer.scarce];
    forecast.own = answer.own;
    forecast.ahead = answer.ahead;
    forecast.margin_ms = plan_admissions_margin_ms(
        plan, offer->queue,
        forecast.objective_ms - MIN(input.chain_ms, forecast.objective_ms));
    forecast.holds_policy = answer.last_ms > 0 && holds_policy(plan, &input);
    return forecast;
}
