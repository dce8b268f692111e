/* planadmit.c -- admission of jobs
 *
 * Workload: callers that submit without end. Below the bound every job is
 * admitted: late work still serves its caller, and a caller whose job is
 * refused submits it again into the same burst.
 */
#include "core/planpriv.h"

#define WAITING_TASKS_MAX 20000u /* bounds memory and the time of a pass */
/* A rejected client faces a backlog of some tens of seconds of work. */
#define BACKLOG_RETRY_MS 15000u

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

struct plan_admission
plan_admit(struct plan *plan)
{
    struct plan_admission admission = {.err = FP_OK, .reason = ""};

    if (is_too_much(plan)) {
        admission.err = FP_ERR_BUSY;
        admission.retry_after_ms = BACKLOG_RETRY_MS;
        admission.reason = "too many tasks wait";
        plan->counters.jobs_rejected++;
    }
    return admission;
}
