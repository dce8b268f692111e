/* planadmit.c -- admission of jobs
 *
 * Workload: callers that submit without end. Below the bound every job that
 * can run is admitted: late work still serves its caller, and a caller whose
 * job is refused submits it again into the same burst.
 */
#include "core/planpriv.h"

#define WAITING_TASKS_MAX 20000u /* bounds memory and the time of a pass */
/* A rejected client faces a backlog of some tens of seconds of work. */
#define BACKLOG_RETRY_MS 15000u
/* Only a new configuration lets such a job in. */
#define LIMIT_RETRY_MS 60000u

static bool
is_too_much(const struct plan *plan)
{
    uint64_t tasks = 0;

    for (guint i = 0; i < plan->open_steps->len; i++) {
        const struct plan_step *step = plan->open_steps->pdata[i];

        tasks += step->pending;
    }
    return tasks > WAITING_TASKS_MAX;
}

/* Workload: gangs that can never run, as their members would use more together
 * than the limit of their team allows. */
static bool
has_gang_above_limit(const struct fleet_submit *job,
                     const struct fleet_team *team)
{
    const struct fleet_step *step = job->steps.items;

    for (uint32_t i = 0; i < job->steps.count; i++) {
        if (!plan_fits_team(team, &step[i])) {
            return true;
        }
    }
    return false;
}

struct plan_admission
plan_admit(struct plan *plan, const struct fleet_submit *job,
           const struct fleet_team *team)
{
    struct plan_admission admission = {.err = FP_OK, .reason = ""};

    if (has_gang_above_limit(job, team)) {
        admission.err = FP_ERR_LIMIT;
        admission.retry_after_ms = LIMIT_RETRY_MS;
        admission.reason = "a gang is larger than its team's limit";
        plan->counters.jobs_rejected++;
    }
    else if (is_too_much(plan)) {
        admission.err = FP_ERR_BUSY;
        admission.retry_after_ms = BACKLOG_RETRY_MS;
        admission.reason = "too many tasks wait";
        plan->counters.jobs_rejected++;
    }
    return admission;
}
