/* planinherit.c -- inherited work, and the targets that may still run it
 *
 * Workload: a leader is lost while some targets cannot be reached. Placements
 * are not stored, so that a new leader learns from the targets what runs. A
 * task that may run on a target which has not listed its runs does not start
 * elsewhere before that target lists them or its lease is over. All other work
 * goes on at once. See docs/design/takeover.md.
 */
#include <string.h>

#include "core/planpriv.h"

#define HELD_REASON "a target that may run it has not listed its runs"

/* Sums up, for each team, the sizes of inherited tasks without a known run:
 * they may run on targets that have not listed their runs yet. */
static void
sum_unlocated_work(struct plan *plan)
{
    GHashTableIter iter;
    struct fleet_team *team;
    const struct fleet_job *job;

    g_hash_table_iter_init(&iter, plan->fleet->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        memset(&team->unlocated, 0, sizeof(team->unlocated));
    }
    g_hash_table_iter_init(&iter, plan->fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        const struct plan_job *pjob = job->plan;

        for (uint32_t i = 0; pjob != NULL && pjob->inherited &&
                             job->team != NULL && i < pjob->step_count;
             i++) {
            const struct fleet_resources size =
                plan_task_size(pjob->steps[i].def);

            for (uint32_t k = 0; k < pjob->steps[i].pending; k++) {
                plan_add_size(&job->team->unlocated, &size);
            }
        }
    }
}

/* Marks the jobs that may have a run on a target that is out. */
static void
mark_held_jobs(struct plan *plan, const struct fleet_target *target)
{
    const struct fleet_task_id *task = target->held.items;

    for (uint32_t i = 0; i < target->held.count; i++) {
        const struct fleet_job *job =
            fleet_find_job(plan->fleet, task[i].job_id);
        struct plan_job *pjob = job != NULL ? job->plan : NULL;

        if (pjob != NULL) {
            pjob->held_mark = plan->held_mark;
        }
    }
}

/* A target has not listed its runs. Of one that is out, the tasks that it may
 * run are known. */
static void
add_unlisted_target(struct plan *plan, const struct plan_target *target)
{
    const bool is_out = target->target->is_out;

    plan->unlisted_targets++;
    if (!is_out) {
        plan->unlocated_targets++;
        plan->unlocated_of_any += target->target->rec.changed_service;
        target->pool->unlisted_targets++;
    }
    if (!is_out || target->target->held.count > 0) {
        plan_add_size(&plan->unlisted_capacity, &target->capacity);
    }
    mark_held_jobs(plan, target->target);
}

void
plan_survey_unlisted(struct plan *plan)
{
    GHashTableIter iter;
    struct plan_pool *pool;

    g_hash_table_iter_init(&iter, plan->pools);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
        pool->unlisted_targets = 0;
    }
    memset(&plan->unlisted_capacity, 0, sizeof(plan->unlisted_capacity));
    plan->unlisted_targets = 0;
    plan->unlocated_targets = 0;
    plan->unlocated_of_any = 0;
    plan->held_mark++;
    for (guint i = 0; i < plan->targets->len; i++) {
        const struct plan_target *target = plan->targets->pdata[i];

        if (!target->runs_known) {
            add_unlisted_target(plan, target);
        }
    }
    if (plan->unlisted_capacity.cpu_milli > 0) {
        sum_unlocated_work(plan);
    }
}

static bool
has_unlisted_target(const struct plan *plan, const char *service)
{
    const struct plan_pool *pool = g_hash_table_lookup(plan->pools, service);

    return pool != NULL && pool->unlisted_targets > 0;
}

/* Whether a target that has not listed its runs is of a service to which tasks
 * of the job may have been sent. What the queue's service is now does not tell
 * where they were started. */
static bool
is_service_unlisted(const struct plan *plan, const struct plan_job *job)
{
    const GPtrArray *former = job->job->former_services;

    if (plan->unlocated_of_any > 0 || job->pool->unlisted_targets > 0) {
        return true;
    }
    if (job->job->any_service) {
        return plan->unlocated_targets > 0;
    }
    for (guint i = 0; former != NULL && i < former->len; i++) {
        if (has_unlisted_target(plan, former->pdata[i])) {
            return true;
        }
    }
    return false;
}

/* If a target that has not listed its runs was out before, only the jobs that
 * it may run wait for it; otherwise all that may have been sent to its
 * service. */
bool
plan_is_held(const struct plan *plan, const struct plan_job *job)
{
    return !plan->reconciled && job->inherited &&
           (job->held_mark == plan->held_mark ||
            is_service_unlisted(plan, job));
}

bool
plan_hold_step(const struct plan *plan, struct plan_step *step)
{
    struct plan_job *job = step->job;

    if (plan_is_held(plan, job)) {
        step->wait_reason = HELD_REASON;
        return true;
    }
    if (job->inherited && !job->released && plan->unlisted_targets > 0 &&
        !plan->reconciled) {
        job->released = true;
        if (plan->ops.on_job_released != NULL) {
            plan->ops.on_job_released(plan->ops.ctx, job->job,
                                      plan->unlisted_targets);
        }
    }
    return false;
}

uint32_t
plan_count_held_jobs(const struct plan *plan)
{
    GHashTableIter iter;
    const struct fleet_job *job;
    uint32_t count = 0;

    if (plan->reconciled) {
        return 0;
    }
    g_hash_table_iter_init(&iter, plan->fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        count += job->plan != NULL && plan_is_held(plan, job->plan);
    }
    return count;
}
