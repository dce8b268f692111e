/* planorder.c -- who comes first when there is not room for all, and what is
 * turned away at the door
 */
#include <stdlib.h>
#include <string.h>

#include "core/planpriv.h"

/* Targets named in one question, as the objective counts them. */
#define OBJECTIVE_ADVICE_TARGETS 30u
/* Work later than this many objectives is worth nothing to its caller. */
#define LATE_FACTOR 3u
#define TASKS_WAITING_MAX 20000u /* bound on memory and on a pass */
#define RETRY_MS 15000u          /* some tens of seconds of work are ahead */

/* Longest chain of steps, with one question to the policy for each. */
uint32_t
plan_critical_path_ms(const struct fleet_submit *submit,
                      const struct fleet_queue_conf *queue)
{
    const struct fleet_step *step = submit->steps.items;
    uint64_t *ends = g_new0(uint64_t, submit->steps.count);
    uint64_t ask_ms = 0;
    uint64_t most = 0;

    if (queue->advised) {
        ask_ms = (queue->advice_us +
                  queue->advice_each_us * OBJECTIVE_ADVICE_TARGETS) /
                 1000;
    }
    for (uint32_t i = 0; i < submit->steps.count; i++) {
        const struct fleet_after *after = step[i].after.items;

        for (uint32_t k = 0; k < step[i].after.count; k++) {
            if (after[k].step < i) {
                ends[i] = MAX(ends[i], ends[after[k].step]);
            }
        }
        ends[i] += step[i].estimate_ms + ask_ms;
        most = MAX(most, ends[i]);
    }
    g_free(ends);
    return (uint32_t)MIN(most, UINT32_MAX / 8);
}

uint32_t
plan_objective_ms(uint32_t critical_path_ms,
                  const struct fleet_queue_conf *queue)
{
    return (uint32_t)((uint64_t)critical_path_ms * queue->stretch_permille /
                      1000) +
           queue->objective_ms;
}

/* Time that the rest of the job still takes when nothing waits. */
static uint64_t
rest_ms(const struct plan_step *step)
{
    const struct plan_job *job = step->job;
    uint64_t rest = step->def->estimate_ms;

    for (uint32_t i = step->index + 1; i < job->job->step_count; i++) {
        rest += job->job->steps[i].estimate_ms;
    }
    return rest;
}

/* When the time of a step's objective began: an occurrence is not late because
 * its job came long ago. */
static uint64_t
counts_from_ms(const struct plan *plan, const struct plan_step *step)
{
    int64_t due_ms = (int64_t)step->due_ms - plan->wall_offset_ms;

    return step->due_ms == 0 || due_ms < 0 ? step->job->accepted_ms
                                           : (uint64_t)due_ms;
}

/* Load pattern: bursts, when more is wanted than there is room for. What lasts
 * comes first, for its users are waiting; then what can still be on time, by
 * the queue's priority and then by when it must start; then what is late; last
 * what is too late to be worth anything, which still ends. */
static void
set_key(const struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    const struct plan_job *job = step->job;
    uint64_t rest = rest_ms(step);
    uint64_t from_ms = counts_from_ms(plan, step);
    uint64_t due_ms = from_ms + job->objective_ms;
    uint64_t worthless_ms =
        from_ms + (uint64_t)LATE_FACTOR * job->objective_ms;

    if (step->def->lasting) {
        step->sort_key[0] = 0;
    }
    else if (now_ms + rest <= due_ms) {
        step->sort_key[0] = 1;
    }
    else {
        step->sort_key[0] = now_ms + rest <= worthless_ms ? 2 : 3;
    }
    step->sort_key[1] = job->job->queue->conf.priority;
    step->latest_start_ms = due_ms > rest ? due_ms - rest : 0;
    step->sort_key[2] = step->latest_start_ms;
}

/* For comparison: as it came. */
static void
set_fifo_key(struct plan_step *step)
{
    step->sort_key[0] = 0;
    step->sort_key[1] = 0;
    step->sort_key[2] = step->job->accepted_ms;
}

static gint
by_key(gconstpointer a, gconstpointer b)
{
    const struct plan_step *x = *(struct plan_step *const *)a;
    const struct plan_step *y = *(struct plan_step *const *)b;

    for (int i = 0; i < 3; i++) {
        if (x->sort_key[i] != y->sort_key[i]) {
            return x->sort_key[i] < y->sort_key[i] ? -1 : 1;
        }
    }
    return 0;
}

void
plan_sort_open_steps(struct plan *plan, uint64_t now_ms)
{
    for (guint i = 0; i < plan->open_steps->len; i++) {
        set_key(plan, plan->open_steps->pdata[i], now_ms);
        if (!plan->params.policy->by_slack) {
            set_fifo_key(plan->open_steps->pdata[i]);
        }
    }
    g_ptr_array_sort(plan->open_steps, by_key);
}

/* ---- reserve ------------------------------------------------------------ */

#define PEAK_KEEP_PERMILLE 980u /* of the peak after each PEAK_STEP_MS */
#define PEAK_STEP_MS 100u
#define RESERVE_PERCENT 70u /* of the peak, kept free on top of what runs */

static uint64_t
decay(uint64_t peak, uint64_t now)
{
    return MAX(now, peak * PEAK_KEEP_PERMILLE / 1000);
}

static void
decay_peak(struct plan_pool *pool, uint64_t now_ms)
{
    while (pool->peak_decayed_ms + PEAK_STEP_MS <= now_ms) {
        pool->tight_peak.cpu_milli =
            decay(pool->tight_peak.cpu_milli, pool->tight_used.cpu_milli);
        pool->tight_peak.accel =
            decay(pool->tight_peak.accel, pool->tight_used.accel);
        pool->peak_decayed_ms += PEAK_STEP_MS;
        if (pool->peak_decayed_ms + 100u * PEAK_STEP_MS < now_ms) {
            pool->peak_decayed_ms =
                now_ms; /* after a long pause once is enough */
        }
    }
}

/* What each team's inherited work may still have running unseen. */
static void
count_unfound(struct plan *plan)
{
    GHashTableIter iter;
    struct fleet_team *team;
    const struct fleet_job *job;

    g_hash_table_iter_init(&iter, plan->fleet->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        memset(&team->unfound, 0, sizeof(team->unfound));
    }
    g_hash_table_iter_init(&iter, plan->fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        const struct plan_job *pjob = job->plan;

        for (uint32_t i = 0; pjob != NULL && pjob->inherited &&
                             job->team != NULL && i < pjob->step_count;
             i++) {
            const struct fleet_size size = plan_task_size(pjob->steps[i].def);

            for (uint32_t k = 0; k < pjob->steps[i].pending; k++) {
                plan_add_size(&job->team->unfound, &size);
            }
        }
    }
}

/* Sums up each service's room over its usable targets. */
void
plan_update_pools(struct plan *plan, uint64_t now_ms)
{
    GHashTableIter iter;
    struct plan_pool *pool;

    g_hash_table_iter_init(&iter, plan->pools);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
        memset(&pool->capacity, 0, sizeof(pool->capacity));
        memset(&pool->used, 0, sizeof(pool->used));
        pool->unlisted_targets = 0;
        decay_peak(pool, now_ms);
    }
    memset(&plan->unlisted_capacity, 0, sizeof(plan->unlisted_capacity));
    for (guint i = 0; i < plan->targets->len; i++) {
        const struct plan_target *target = plan->targets->pdata[i];

        if (!target->runs_known) {
            plan_add_size(&plan->unlisted_capacity, &target->capacity);
            target->pool->unlisted_targets++;
        }
        if (target->usable && !target->target->rec.leaving) {
            target->pool->capacity.cpu_milli += target->capacity.cpu_milli;
            target->pool->capacity.accel += target->capacity.accel;
            target->pool->used.cpu_milli += target->used.cpu_milli;
            target->pool->used.accel += target->used.accel;
        }
    }
    if (plan->unlisted_capacity.cpu_milli > 0) {
        count_unfound(plan);
    }
}

/* Load pattern: a burst of work with a fraction of a second of slack, on a
 * service that batch work would fill. Work that can wait leaves as much room
 * free as the tight work has lately used at its peak, or a part of it. */
bool
plan_leaves_headroom(const struct plan *plan, const struct plan_step *step,
                     const struct fleet_size *size)
{
    const struct plan_pool *pool = step->job->pool;
    uint64_t keep_cpu = pool->tight_peak.cpu_milli * RESERVE_PERCENT / 100;
    uint64_t keep_accel = pool->tight_peak.accel * RESERVE_PERCENT / 100;

    if (!plan->params.policy->keeps_headroom || step->job->tight ||
        step->def->lasting || step->def->fills) {
        return true;
    }
    return pool->used.cpu_milli + size->cpu_milli + keep_cpu <=
               pool->capacity.cpu_milli &&
           pool->used.accel + size->accel + keep_accel <= pool->capacity.accel;
}

/* Load pattern: more comes in than any number of passes could look at. Short
 * of that every job is taken: work that waits is worth something late, and a
 * caller that is turned away comes back into the same burst. */
struct plan_admission
plan_admit(struct plan *plan)
{
    struct plan_admission verdict = {FP_OK, 0, 0};
    uint64_t tasks = 0;

    for (guint i = 0; i < plan->open_steps->len; i++) {
        const struct plan_step *step = plan->open_steps->pdata[i];

        tasks += step->pending;
    }
    if (tasks > TASKS_WAITING_MAX) {
        verdict.err = FP_ERR_BUSY;
        verdict.retry_after_ms = RETRY_MS;
        plan->counters.jobs_rejected++;
    }
    return verdict;
}
