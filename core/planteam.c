/* planteam.c -- limits on what the runs of a team use together
 *
 * Workload: tasks that are larger than what is left of their team's limit, or
 * than the whole of it, as operators lower limits while work waits. A team
 * that uses under half of its limit may start one task that goes beyond it, so
 * that such work runs, and the limit is never exceeded by more than one task.
 * As the small work of the team could keep it above half of its limit for
 * good, that is held back for a while, again and again, until the large task
 * has started.
 */
#include "core/planpriv.h"

/* How long a task above its team's limit waits before other work of the team
 * is held back for it, and for how long at a time. */
#define KEEP_AFTER_MS 2000u
#define KEEP_MS 5000u

struct team_use {
    uint64_t limit; /* 0: none */
    uint64_t used;
    uint64_t size; /* of one task */
};

static bool
is_within_limit(const struct team_use *use, uint32_t count)
{
    uint64_t total = use->used + use->size * count;

    return use->limit == 0 || total <= use->limit ||
           (use->used * 2 < use->limit && total - use->size <= use->limit);
}

/* Whether the team's usage, as far as it is known, stays within its limit with
 * so many tasks added. At the start of a leader's term, targets that have not
 * listed their runs yet may be full of the team's inherited work: their
 * capacity counts as used, up to the size of that work. */
bool
plan_team_allows(const struct plan *plan, const struct plan_step *step,
                 uint32_t count)
{
    const struct fleet_team *team = step->job->job->team;
    const struct fleet_resources *unlisted = &plan->unlisted_capacity;
    const struct fleet_resources size = plan_task_size(step->def);

    if (team == NULL) {
        return true;
    }
    if (team->kept_for != NULL && team->kept_for != step &&
        !step->def->lasting) {
        return false;
    }
    return is_within_limit(
               &(struct team_use){
                   team->limit.cpu_milli,
                   team->used.cpu_milli +
                       MIN(unlisted->cpu_milli, team->unlocated.cpu_milli),
                   size.cpu_milli},
               count) &&
           is_within_limit(
               &(struct team_use){
                   team->limit.memory_mb,
                   team->used.memory_mb +
                       MIN(unlisted->memory_mb, team->unlocated.memory_mb),
                   size.memory_mb},
               count) &&
           is_within_limit(&(struct team_use){team->limit.accel,
                                              team->used.accel +
                                                  MIN(unlisted->accel,
                                                      team->unlocated.accel),
                                              size.accel},
                           count);
}

static bool
is_above(const struct fleet_resources *limit,
         const struct fleet_resources *size, uint32_t count)
{
    return (limit->cpu_milli != 0 &&
            size->cpu_milli * count > limit->cpu_milli) ||
           (limit->memory_mb != 0 &&
            size->memory_mb * count > limit->memory_mb) ||
           (limit->accel != 0 && size->accel * count > limit->accel);
}

bool
plan_fits_team(const struct fleet_team *team, const struct fleet_step *def)
{
    const struct fleet_resources size = plan_task_size(def);

    return team == NULL || !def->gang ||
           !is_above(&team->limit, &size, def->count - 1);
}

const char *
plan_team_reason(const struct plan_step *step)
{
    const struct fleet_team *team = step->job->job->team;

    if (!plan_fits_team(team, step->def)) {
        return "its gang is larger than its team's limit";
    }
    return team != NULL && team->kept_for != NULL && team->kept_for != step
               ? "its team waits for a task above its limit"
               : "its team is at its limit";
}

/* Whether other work of the team is to be held back for the step now. */
static bool
is_kept_for(const struct plan_step *step, uint64_t now_ms)
{
    const struct fleet_team *team = step->job->job->team;
    const struct fleet_resources size = plan_task_size(step->def);
    uint64_t waited_ms = now_ms - MIN(step->opened_ms, now_ms);

    return waited_ms >= KEEP_AFTER_MS &&
           (waited_ms - KEEP_AFTER_MS) / KEEP_MS % 2 == 0 &&
           is_above(&team->limit, &size,
                    step->def->gang ? step->def->count : 1) &&
           plan_fits_team(team, step->def);
}

void
plan_survey_teams(struct plan *plan, uint64_t now_ms)
{
    GHashTableIter iter;
    struct fleet_team *team;

    g_hash_table_iter_init(&iter, plan->fleet->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        team->kept_for = NULL;
    }
    for (guint i = 0; i < plan->open_steps->len; i++) {
        const struct plan_step *step = plan->open_steps->pdata[i];

        team = step->job->job->team;
        if (team != NULL && team->kept_for == NULL &&
            plan_is_due(plan, step, now_ms) &&
            !plan_is_held(plan, step->job) && is_kept_for(step, now_ms)) {
            team->kept_for = step;
        }
    }
}
