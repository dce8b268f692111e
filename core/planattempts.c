/* planattempts.c -- tasks that have used up their attempts
 *
 * Workload: operators lower the number of attempts of a queue while its tasks
 * wait, or run for the last time. The state compares the failures of a task
 * with the limit when a failed run is applied, and a start is withheld by the
 * limit in force. A task that comes to its limit in another way, as the limit
 * falls or its last permitted run is lost, refused or stopped, is in neither:
 * it would wait for good. A run at work may still be done, so such a task is
 * given up only once it has no run; and not at once, as an operator may
 * correct a configuration.
 *
 * Changes of the limit and removals of runs mark the tasks to be looked at;
 * passes look at these only.
 */
#include "core/planpriv.h"

/* A task is given up after so long without attempts and without a run. */
#define REVIEW_MS 500u
/* A task whose end was not stored is reported again after this. */
#define REPORT_INTERVAL_MS 1000u
/* Tasks reported at once, which bounds the size of a change. */
#define REPORTS_MAX 500u

/* A task that may have used up its attempts. */
struct review {
    struct fleet_task_id task;
    uint64_t since_ms;
};

GArray *
plan_reviews_new(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct review));
}

bool
plan_has_attempts(const struct plan_step *step, uint32_t task_number,
                  uint32_t runs)
{
    const struct plan_task *task = &step->job->tasks[task_number];
    uint32_t max_attempts = step->job->job->queue->conf.max_attempts;

    return step->def->lasting || max_attempts == 0 ||
           task->failures.count + runs <= max_attempts;
}

void
plan_review_attempts(struct plan *plan, struct plan_step *step,
                     uint32_t task_number)
{
    /* The members of a gang fail together: the first one stands for all. */
    uint32_t number = step->def->gang ? step->first_task : task_number;
    struct plan_task *task = &step->job->tasks[number];
    const struct review review = {{step->job->job->submit.id, step->occurrence,
                                   step->index, number - step->first_task},
                                  plan->now_ms};

    if (task->in_review || task->done || plan_has_attempts(step, number, 1)) {
        return;
    }
    task->in_review = true;
    g_array_append_val(plan->reviews, review);
    plan->dirty = true;
}

void
plan_review_job_attempts(struct plan *plan, struct plan_job *job)
{
    for (uint32_t i = 0; job->has_failures && i < job->step_count; i++) {
        struct plan_step *step = &job->steps[i];

        for (uint32_t k = 0; k < step->def->count; k++) {
            plan_review_attempts(plan, step, step->first_task + k);
        }
    }
}

static bool
has_run(const struct plan_step *step, uint32_t task_number)
{
    const struct plan_task *tasks = &step->job->tasks[task_number];
    uint32_t count = step->def->gang ? step->def->count : 1;

    for (uint32_t i = 0; i < count; i++) {
        if (tasks[i].copies > 0) {
            return true;
        }
    }
    return false;
}

/* Returns the step of a task in review if it still has to be given up, else
 * NULL; the task is not in review any more then, if it exists. */
static struct plan_step *
find_used_up(const struct plan *plan, const struct fleet_task_id *id)
{
    const struct fleet_job *job = fleet_find_job(plan->fleet, id->job_id);
    struct plan_job *pjob = job != NULL ? job->plan : NULL;
    struct plan_step *step = pjob != NULL ? plan_find_step(pjob, id) : NULL;
    struct plan_task *task;

    if (step == NULL) {
        return NULL;
    }
    task = &pjob->tasks[step->first_task + id->index];
    task->in_review =
        !pjob->ended && !task->done &&
        !has_run(step, step->first_task + id->index) &&
        !plan_has_attempts(step, step->first_task + id->index, 1);
    return task->in_review ? step : NULL;
}

void
plan_give_up_tasks(struct plan *plan, uint64_t now_ms)
{
    GArray *reviews = plan->reviews;
    struct fp_list ends = {NULL, 0};
    guint kept = 0;

    for (guint i = 0; i < reviews->len; i++) {
        const struct review review = g_array_index(reviews, struct review, i);
        struct plan_step *step = find_used_up(plan, &review.task);
        const struct plan_task *task;
        struct fleet_run_end *end;

        if (step == NULL) {
            continue;
        }
        g_array_index(reviews, struct review, kept++) = review;
        if (now_ms < review.since_ms + REVIEW_MS ||
            now_ms < step->job->next_report_ms || ends.count >= REPORTS_MAX ||
            plan_is_held(plan, step->job)) {
            continue;
        }
        if (step->job->next_report_ms == 0) {
            plan->counters.jobs_over_limit++;
        }
        step->job->next_report_ms = now_ms + REPORT_INTERVAL_MS;
        task = &step->job->tasks[step->first_task + review.task.index];
        end = fp_list_add(&ends, sizeof(*end));
        *end = (struct fleet_run_end){
            .task = review.task,
            .run = failures_highest_run(&task->failures),
            .outcome = RUN_FAILED};
    }
    g_array_set_size(reviews, kept);
    if (ends.count > 0 && plan->ops.repeat_ends != NULL) {
        plan->ops.repeat_ends(plan->ops.ctx, &ends);
    }
    g_free(ends.items);
}
