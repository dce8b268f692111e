/* dispatchattempts.c -- tasks that have used up their attempts */
#include "base/event.h"
#include "base/log.h"
#include "node/dispatchpriv.h"

/* The plan reports the tasks again if they were not stored. */
static void
on_ends_repeated(void *ctx, enum fp_err err,
                 const struct change_answer *answer)
{
    if (err == FP_OK) {
        err = answer->err;
    }
    if (err != FP_OK) {
        log_warn(LOG_SCHED,
                 "could not store that tasks have used up their attempts: %s",
                 fp_err_row(err)->name);
    }
    dispatch_drop_pending(ctx);
}

static void
log_used_up(const struct fleet *fleet, const struct fleet_run_end *end)
{
    const struct fleet_job *job = fleet_find_job(fleet, end->task.job_id);
    char id[FLEET_TASK_ID_TEXT_BYTES];

    fleet_task_id_text(&end->task, id, sizeof(id));
    EVENT(EVENT_TASK_USED_UP, EVENT_STR("id", id), EVENT_INT("run", end->run),
          EVENT_INT("max_attempts",
                    job != NULL ? job->queue->conf.max_attempts : 0));
}

void
dispatch_repeat_ends(void *ctx, const struct fp_list *items)
{
    struct dispatch *dispatch = ctx;
    const struct fleet_run_end *end = items->items;
    struct fleet_run_ends ends = {.items = *items};

    for (uint32_t i = 0; i < items->count; i++) {
        log_used_up(dispatch->deps.fleet, &end[i]);
    }
    replica_propose(dispatch->deps.replica, &FLEET_RUN_ENDS_SCHEMA, &ends,
                    on_ends_repeated, dispatch_add_pending(dispatch, NULL));
}
