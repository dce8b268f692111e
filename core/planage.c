/* planage.c -- how long jobs have waited, over terms, and turns of those that
 * have waited too long
 */
#include "core/planpriv.h"

/* Most that inherited work ages between two terms: a term follows within
 * seconds, and a wall clock may have jumped. */
#define TERM_GAP_MAX_MS 10000u

uint64_t
plan_objective_start_ms(const struct plan *plan, uint64_t due_ms,
                        uint64_t accepted_ms)
{
    int64_t due_mono_ms = (int64_t)due_ms - plan->wall_offset_ms;

    return due_ms == 0 || due_mono_ms < 0 ? accepted_ms
                                          : (uint64_t)due_mono_ms;
}

uint64_t
plan_inherited_since_ms(const struct plan *plan, const struct fleet_job *job,
                        uint64_t now_ms)
{
    uint64_t wall_ms =
        MIN(plan->params.wall_ms, plan->fleet->now_ms + TERM_GAP_MAX_MS);
    uint64_t age_ms =
        wall_ms > job->accepted_ms ? wall_ms - job->accepted_ms : 0;

    if (!plan->params.policy->keeps_accepted) {
        return now_ms;
    }
    return now_ms - MIN(age_ms, now_ms);
}

/* A job that is overdue by this much beyond its expiry takes turns at the head
 * of its service. */
#define OVERDUE_MS 30000u
#define TURN_MS 3000u /* length of a turn: a gang needs time to get room */

static bool
is_overdue(const struct plan *plan, const struct plan_step *step,
           uint64_t now_ms)
{
    const struct plan_job *job = step->job;
    uint64_t start_ms =
        plan_objective_start_ms(plan, step->due_ms, job->accepted_ms);

    return plan->params.policy->by_share &&
           now_ms > start_ms +
                        PLAN_EXPIRY_FACTOR * (uint64_t)job->objective_ms +
                        OVERDUE_MS;
}

/* Whether a goes before b: a turn that has begun is ended, then those with
 * fewer turns, then by acceptance. */
static bool
has_earlier_turn(const struct plan_job *a, const struct plan_job *b,
                 uint64_t now_ms)
{
    bool a_has_turn = a->turn_until_ms > now_ms;
    bool b_has_turn = b->turn_until_ms > now_ms;

    if (a_has_turn != b_has_turn) {
        return a_has_turn;
    }
    return a->turns == b->turns ? a->accepted_ms < b->accepted_ms
                                : a->turns < b->turns;
}

/* Workload: a service that is full for so long that work beyond a share, or
 * late work of a low priority, would never be reached. One overdue job of each
 * service at a time goes before all others but long-running services; one that
 * cannot be placed gives the next one its turn. */
void
plan_survey_open_steps(struct plan *plan, uint64_t now_ms)
{
    GHashTableIter iter;
    struct plan_pool *pool;

    g_hash_table_iter_init(&iter, plan->pools);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
        pool->overdue_job = NULL;
    }
    for (guint i = 0; i < plan->open_steps->len; i++) {
        const struct plan_step *step = plan->open_steps->pdata[i];

        pool = step->job->pool;
        if (is_overdue(plan, step, now_ms) &&
            (pool->overdue_job == NULL ||
             has_earlier_turn(step->job, pool->overdue_job, now_ms))) {
            pool->overdue_job = step->job;
        }
    }
    g_hash_table_iter_init(&iter, plan->pools);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
        if (pool->overdue_job != NULL &&
            pool->overdue_job->turn_until_ms <= now_ms) {
            pool->overdue_job->turns++;
            pool->overdue_job->turn_until_ms = now_ms + TURN_MS;
        }
    }
}
