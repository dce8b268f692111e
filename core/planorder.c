/* planorder.c -- scheduling order of open steps, and headroom for low-slack
 * work
 */
#include <stdlib.h>
#include <string.h>

#include "core/planpriv.h"

/* Targets per policy query that a job's objective allows time for. */
#define OBJECTIVE_QUERY_TARGETS 30u
/* Of a service's targets, so many, and one at least, may get no starts because
 * of failures. */
#define FAILING_MAX_PERCENT 50u

/* Time of the longest chain of dependent steps, in ms, with one policy query
 * for each step when the queue uses the policy. */
uint32_t
plan_critical_path_ms(const struct fleet_submit *submit,
                      const struct fleet_queue_conf *queue)
{
    const struct fleet_step *step = submit->steps.items;
    uint64_t *chain_end_ms = g_new0(uint64_t, submit->steps.count);
    uint64_t query_ms = 0;
    uint64_t longest_ms = 0;

    if (queue->advised) {
        query_ms = (queue->advice_us + (uint64_t)queue->advice_each_us *
                                           OBJECTIVE_QUERY_TARGETS) /
                   1000;
    }
    for (uint32_t i = 0; i < submit->steps.count; i++) {
        const struct fleet_dependency *after = step[i].after.items;

        for (uint32_t k = 0; k < step[i].after.count; k++) {
            if (after[k].step < i) {
                chain_end_ms[i] =
                    MAX(chain_end_ms[i], chain_end_ms[after[k].step]);
            }
        }
        chain_end_ms[i] += step[i].estimate_ms + query_ms;
        longest_ms = MAX(longest_ms, chain_end_ms[i]);
    }
    g_free(chain_end_ms);
    return (uint32_t)MIN(longest_ms, UINT32_MAX / 8);
}

uint32_t
plan_objective_ms(uint32_t critical_path_ms,
                  const struct fleet_queue_conf *queue)
{
    uint64_t objective_ms =
        (uint64_t)critical_path_ms * queue->stretch_permille / 1000 +
        queue->objective_ms;

    return (uint32_t)MIN(objective_ms, UINT32_MAX / PLAN_EXPIRY_FACTOR);
}

/* Estimated time, in ms, of this step and all later ones of the job when none
 * of them has to wait. */
static uint64_t
remaining_run_ms(struct plan_step *step)
{
    const struct plan_job *job = step->job;
    uint64_t remaining_ms = step->def->estimate_ms;

    if (step->remaining_ms != 0) {
        return step->remaining_ms;
    }

    for (uint32_t i = step->index + 1; i < job->job->step_count; i++) {
        remaining_ms += job->job->steps[i].estimate_ms;
    }
    step->remaining_ms = remaining_ms;
    return remaining_ms;
}

/* What the place of a step in the order depends on. */
struct order_input {
    bool lasting;
    bool beyond_share;
    uint32_t priority;     /* of the queue; 0 is the highest */
    uint64_t remaining_ms; /* see remaining_run_ms() */
    uint64_t start_ms;     /* when the time allowed by the objective begins */
    uint64_t objective_ms;
};

static uint64_t
latest_start_ms(const struct order_input *in)
{
    uint64_t due_ms = in->start_ms + in->objective_ms;

    return due_ms > in->remaining_ms ? due_ms - in->remaining_ms : 0;
}

/* Workload: bursts that exceed the capacity. key[0] is one of CLASS_* in
 * planpriv.h, plus CLASS_BEYOND_SHARE for work beyond its team's rate, which
 * takes what the other work leaves (core/shares.h). Late work still runs to
 * its end. Within a class steps are sorted by the queue's priority, then by
 * their latest start time.
 */
static void
set_order_key(const struct plan_policy *policy, const struct order_input *in,
              uint64_t now_ms, uint64_t key[3])
{
    uint64_t end_ms = now_ms + in->remaining_ms;

    if (!policy->by_slack) {
        /* Order of arrival, for PLAN_POLICY_FIFO. */
        key[0] = 0;
        key[1] = 0;
        key[2] = in->start_ms;
        return;
    }
    if (in->lasting) {
        key[0] = CLASS_LASTING;
    }
    else if (end_ms <= in->start_ms + in->objective_ms) {
        key[0] = CLASS_IN_TIME;
    }
    else {
        key[0] = end_ms <= in->start_ms + PLAN_EXPIRY_FACTOR * in->objective_ms
                     ? CLASS_LATE
                     : CLASS_EXPIRED;
    }
    key[1] = in->priority;
    if (policy->by_share && in->beyond_share && !in->lasting) {
        key[0] += CLASS_BEYOND_SHARE;
    }
    key[2] = latest_start_ms(in);
}

static void
set_sort_key(const struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    const struct plan_job *job = step->job;
    const struct order_input in = {
        .lasting = step->def->lasting,
        .beyond_share = job->job->beyond_share,
        .priority = job->job->queue->conf.priority,
        .remaining_ms = remaining_run_ms(step),
        .start_ms =
            plan->params.policy->by_slack
                ? plan_objective_start_ms(plan, step->due_ms, job->accepted_ms)
                : job->accepted_ms,
        .objective_ms = job->objective_ms,
    };

    set_order_key(plan->params.policy, &in, now_ms, step->sort_key);
    step->latest_start_ms = latest_start_ms(&in);
}

int
plan_compare_keys(const uint64_t a[3], const uint64_t b[3])
{
    for (int i = 0; i < 3; i++) {
        if (a[i] != b[i]) {
            return a[i] < b[i] ? -1 : 1;
        }
    }
    return 0;
}

enum plan_class
plan_class_of(const uint64_t key[3])
{
    return (enum plan_class)(key[0] % CLASS_BEYOND_SHARE);
}

static gint
compare_sort_keys(gconstpointer a, gconstpointer b)
{
    const struct plan_step *x = *(struct plan_step *const *)a;
    const struct plan_step *y = *(struct plan_step *const *)b;

    return plan_compare_keys(x->sort_key, y->sort_key);
}

/* Updates the sort key of a step. Returns whether the step keeps its place
 * among those that keep theirs. */
static bool
update_sort_key(const struct plan *plan, struct plan_step *step,
                uint64_t now_ms)
{
    const uint64_t old_class = step->sort_key[0];
    const uint64_t old_priority = step->sort_key[1];
    const uint64_t old_latest_ms = step->sort_key[2];
    bool keeps_place;

    set_sort_key(plan, step, now_ms);
    if (step->job->pool->overdue_job == step->job && !step->def->lasting) {
        step->sort_key[0] = CLASS_IN_TIME;
        step->sort_key[1] = 0;
        step->sort_key[2] = 0;
    }
    keeps_place = step->is_sorted && step->sort_key[0] == old_class &&
                  step->sort_key[1] == old_priority &&
                  step->sort_key[2] == old_latest_ms;
    step->is_sorted = true;
    return keeps_place;
}

/* Merges two sorted lists; equal keys: of the first list first. */
static void
merge_steps(GPtrArray *out, const GPtrArray *first, const GPtrArray *second)
{
    guint i = 0;
    guint k = 0;

    g_ptr_array_set_size(out, 0);
    while (i < first->len || k < second->len) {
        if (k == second->len ||
            (i < first->len &&
             compare_sort_keys(&first->pdata[i], &second->pdata[k]) <= 0)) {
            g_ptr_array_add(out, first->pdata[i++]);
        }
        else {
            g_ptr_array_add(out, second->pdata[k++]);
        }
    }
}

/* Workload: a backlog of thousands of steps, of which few change their place
 * between two passes. Only those are sorted, and merged with the others. */
void
plan_sort_open_steps(struct plan *plan, uint64_t now_ms)
{
    GPtrArray *kept;
    GPtrArray *moved = g_ptr_array_new();
    GPtrArray *open = plan->open_steps;

    plan_survey_open_steps(plan, now_ms);
    kept = g_ptr_array_sized_new(open->len);
    for (guint i = 0; i < open->len; i++) {
        g_ptr_array_add(update_sort_key(plan, open->pdata[i], now_ms) ? kept
                                                                      : moved,
                        open->pdata[i]);
    }
    if (moved->len > 0) {
        g_ptr_array_sort(moved, compare_sort_keys);
        merge_steps(open, kept, moved);
    }
    g_ptr_array_free(kept, TRUE);
    g_ptr_array_free(moved, TRUE);
}

/* ---- headroom ----------------------------------------------------------- */

/* Part of the peak that is left after each PEAK_DECAY_INTERVAL_MS. */
#define PEAK_RETAINED_PERMILLE 980u
#define PEAK_DECAY_INTERVAL_MS 100u

static uint64_t
decayed_peak(uint64_t peak, uint64_t current)
{
    return MAX(current, peak * PEAK_RETAINED_PERMILLE / 1000);
}

static void
decay_peak(struct plan_pool *pool, uint64_t now_ms)
{
    while (pool->peak_decayed_ms + PEAK_DECAY_INTERVAL_MS <= now_ms) {
        pool->tight_peak.cpu_milli = decayed_peak(pool->tight_peak.cpu_milli,
                                                  pool->tight_used.cpu_milli);
        pool->tight_peak.accel =
            decayed_peak(pool->tight_peak.accel, pool->tight_used.accel);
        pool->peak_decayed_ms += PEAK_DECAY_INTERVAL_MS;
        if (pool->peak_decayed_ms + 100u * PEAK_DECAY_INTERVAL_MS < now_ms) {
            pool->peak_decayed_ms =
                now_ms; /* after a long pause once is enough */
        }
    }
}

/* Workload: jobs whose tasks fail wherever they start, beside a few targets on
 * which all work fails. Targets that get no starts because of failures must
 * not be so many that other work finds no room. */
static void
survey_failing_targets(struct plan_pool *pool, uint64_t now_ms)
{
    uint32_t usable = 0;
    uint32_t failing = 0;

    for (guint i = 0; i < pool->targets->len; i++) {
        const struct plan_target *target = pool->targets->pdata[i];

        if (plan_takes_starts(target)) {
            usable++;
            failing += now_ms < target->failing_until_ms;
        }
    }
    pool->most_are_failing =
        failing > 1 && failing * 100 > usable * FAILING_MAX_PERCENT;
}

/* Sums up each service's capacity and usage over its usable targets. */
void
plan_update_pools(struct plan *plan, uint64_t now_ms)
{
    GHashTableIter iter;
    struct plan_pool *pool;

    g_hash_table_iter_init(&iter, plan->pools);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
        memset(&pool->capacity, 0, sizeof(pool->capacity));
        memset(&pool->used, 0, sizeof(pool->used));
        decay_peak(pool, now_ms);
        survey_failing_targets(pool, now_ms);
    }
    for (guint i = 0; i < plan->targets->len; i++) {
        const struct plan_target *target = plan->targets->pdata[i];

        if (plan_takes_starts(target)) {
            target->pool->capacity.cpu_milli += target->capacity.cpu_milli;
            target->pool->capacity.memory_mb += target->capacity.memory_mb;
            target->pool->capacity.accel += target->capacity.accel;
            target->pool->used.cpu_milli += target->used.cpu_milli;
            target->pool->used.memory_mb += target->used.memory_mb;
            target->pool->used.accel += target->used.accel;
        }
    }
}

/* Workload: a burst of work with a fraction of a second of slack, on a service
 * that batch work would fill. Returns whether a task of this size, if it can
 * wait, leaves PLAN_HEADROOM_PERCENT of the recent peak usage of low-slack
 * work free. Always true for work with little slack, long-running services and
 * filler work. */
bool
plan_leaves_headroom(const struct plan *plan, const struct plan_step *step,
                     const struct fleet_resources *size)
{
    const struct plan_pool *pool = step->job->pool;
    uint64_t headroom_cpu =
        pool->tight_peak.cpu_milli * PLAN_HEADROOM_PERCENT / 100;
    uint64_t headroom_accel =
        pool->tight_peak.accel * PLAN_HEADROOM_PERCENT / 100;

    if (!plan->params.policy->keeps_headroom || step->job->tight ||
        step->def->lasting || step->def->fills) {
        return true;
    }
    return pool->used.cpu_milli + size->cpu_milli + headroom_cpu <=
               pool->capacity.cpu_milli &&
           pool->used.accel + size->accel + headroom_accel <=
               pool->capacity.accel;
}
