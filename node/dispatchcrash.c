/* dispatchcrash.c -- crashes of targets: events, and evidence in the log */
#include "base/event.h"
#include "base/log.h"
#include "node/dispatchpriv.h"

/* Evidence that is proposed. */
struct evidence_commit {
    struct pending_request *pending;
    struct fleet_crashes crashes;
};

static void
free_commit(struct evidence_commit *commit)
{
    g_free(commit->crashes.items.items);
    g_free(commit);
}

static void
on_evidence_stored(void *ctx, enum fp_err err,
                   const struct change_answer *answer)
{
    struct evidence_commit *commit = ctx;
    struct dispatch *dispatch = commit->pending->dispatch;

    (void)answer;
    dispatch_drop_pending(commit->pending);
    if (err == FP_OK || dispatch == NULL) {
        free_commit(commit);
        return;
    }
    log_warn(LOG_SCHED, "could not store the evidence of a crash: %s",
             fp_err_row(err)->name);
    g_ptr_array_add(dispatch->unstored_evidence, commit);
}

static void
propose_evidence(struct dispatch *dispatch, struct evidence_commit *commit)
{
    commit->pending = dispatch_add_pending(dispatch, NULL);
    replica_propose(dispatch->deps.replica, &FLEET_CRASHES_SCHEMA,
                    &commit->crashes, on_evidence_stored, commit);
}

void
dispatch_retry_evidence(struct dispatch *dispatch)
{
    GPtrArray *again = dispatch->unstored_evidence;

    if (again->len == 0) {
        return;
    }
    /* A proposal may fail at once, and be added to the new list. */
    dispatch->unstored_evidence = g_ptr_array_new();
    for (guint i = 0; i < again->len; i++) {
        propose_evidence(dispatch, again->pdata[i]);
    }
    g_ptr_array_free(again, TRUE);
}

void
dispatch_free_evidence(struct dispatch *dispatch)
{
    for (guint i = 0; i < dispatch->unstored_evidence->len; i++) {
        free_commit(dispatch->unstored_evidence->pdata[i]);
    }
    g_ptr_array_free(dispatch->unstored_evidence, TRUE);
}

static const char *
verdict_name(const struct dispatch *dispatch, const struct fleet_task_id *id)
{
    static const char *const names[] = {"none", "suspected", "proven"};
    const struct fleet_job *job =
        fleet_find_job(dispatch->deps.fleet, id->job_id);

    return names[job != NULL ? plan_crash_verdict(job, id)
                             : CRASH_NOT_SUSPECTED];
}

void
dispatch_store_evidence(void *ctx, const struct fp_list *items)
{
    struct dispatch *dispatch = ctx;
    const struct fleet_task_crash *item = items->items;
    struct evidence_commit *commit = g_new0(struct evidence_commit, 1);
    char id[FLEET_TASK_ID_TEXT_BYTES];

    for (uint32_t i = 0; i < items->count; i++) {
        fleet_task_id_text(&item[i].task, id, sizeof(id));
        EVENT(EVENT_TASK_SUSPECTED, EVENT_STR("id", id),
              EVENT_INT("run", item[i].run),
              EVENT_STR("evidence", CRASH_EVIDENCE_NAMES[item[i].evidence]),
              EVENT_STR("verdict", verdict_name(dispatch, &item[i].task)),
              EVENT_INT("ran_ms", item[i].ran_ms));
        *(struct fleet_task_crash *)fp_list_add(
            &commit->crashes.items, sizeof(struct fleet_task_crash)) = item[i];
    }
    propose_evidence(dispatch, commit);
}

void
dispatch_log_run_lost(void *ctx, const struct plan_lost_run *lost)
{
    char id[FLEET_TASK_ID_TEXT_BYTES];

    (void)ctx;
    fleet_task_id_text(&lost->task, id, sizeof(id));
    EVENT(EVENT_RUN_LOST, EVENT_STR("id", id),
          EVENT_INT("run", lost->run_number),
          EVENT_STR("target", lost->target->rec.id),
          EVENT_INT("ran_ms", lost->ran_ms),
          EVENT_INT("suspect", lost->is_suspect));
}

void
dispatch_log_target_crashed(void *ctx, const struct plan_crash *crash)
{
    (void)ctx;
    EVENT(EVENT_TARGET_CRASHED, EVENT_STR("id", crash->target->rec.id),
          EVENT_STR("how",
                    crash->loss == LOSS_CRASHED ? "crashed" : "lease over"),
          EVENT_INT("runs", crash->runs),
          EVENT_INT("suspects", crash->suspects),
          EVENT_INT("common", crash->is_common),
          EVENT_INT("silent_ms", crash->silent_ms));
}
