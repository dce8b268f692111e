/* dispatchoutage.c -- records of targets that get no starts
 *
 * See struct fleet_outage. The record is proposed while the target gets no
 * starts, since it does not answer or is leaving, and it gets none again
 * before the end of the outage is stored. That of a leaving target has no end.
 */
#include "base/event.h"
#include "base/log.h"
#include "node/dispatchpriv.h"

/* Shorter silences, of one lost order, are not recorded. */
#define OUTAGE_MIN_MS 300u

/* A proposed record. */
struct outage_commit {
    struct pending_request *pending;
    struct fleet_outage outage;
};

static void
on_outage_stored(void *ctx, enum fp_err err,
                 const struct change_answer *answer)
{
    struct outage_commit *commit = ctx;
    struct dispatch *dispatch = commit->pending->dispatch;
    struct fleet_target *target =
        dispatch != NULL ? dispatch_target_of(commit->pending) : NULL;
    struct target_session *session =
        target != NULL
            ? g_hash_table_lookup(dispatch->sessions, target->rec.id)
            : NULL;

    if (err == FP_OK) {
        err = answer->err;
    }
    if (session != NULL) {
        session->outage_in_flight = false;
        if (err != FP_OK) {
            /* dispatch_tick_outage() proposes it again, or its end. */
            log_info(LOG_SCHED, "could not store the outage of target %s: %s",
                     session->id, fp_err_row(err)->name);
        }
        else if (commit->outage.is_over) {
            session->outage_known = false;
            if (!session->silent) {
                plan_set_target_usable(dispatch->plan, target,
                                       session->has_clock);
            }
        }
    }
    dispatch_drop_pending(commit->pending);
    g_free(commit->outage.tasks.items);
    g_free(commit);
}

static void
propose_outage(struct target_session *session, bool is_over)
{
    struct dispatch *dispatch = session->dispatch;
    const struct fleet_target *target =
        fleet_find_target(dispatch->deps.fleet, session->id);
    struct outage_commit *commit = g_new0(struct outage_commit, 1);

    g_strlcpy(commit->outage.id, session->id, sizeof(commit->outage.id));
    commit->outage.born_ms = session->born_ms;
    commit->outage.is_over = is_over;
    if (!is_over && !plan_list_tasks(target, &commit->outage.tasks)) {
        g_free(commit);
        return;
    }
    EVENT(EVENT_TARGET_OUTAGE, EVENT_STR("id", session->id),
          EVENT_INT("over", is_over),
          EVENT_INT("tasks", commit->outage.tasks.count));
    /* From now on the record may be part of the state, whatever becomes of
     * the proposal. */
    session->outage_known = true;
    session->outage_in_flight = true;
    commit->pending = dispatch_add_pending(dispatch, session);
    replica_propose(dispatch->deps.replica, &FLEET_OUTAGE_SCHEMA,
                    &commit->outage, on_outage_stored, commit);
}

void
dispatch_set_leaving(struct dispatch *dispatch,
                     const struct fleet_target *target)
{
    struct target_session *session =
        g_hash_table_lookup(dispatch->sessions, target->rec.id);

    session->leaving = target->rec.leaving;
    if (target->rec.departed && !session->departed) {
        EVENT(EVENT_TARGET_DEPARTED, EVENT_STR("id", session->id),
              EVENT_INT("leaving", session->leaving),
              EVENT_INT("listed", session->runs_listed),
              EVENT_INT("runs", plan_count_runs(target)));
    }
    session->departed = target->rec.departed;
}

/* One proposal at a time, so that the end is never stored before its outage.
 */
void
dispatch_tick_outage(struct target_session *session, uint64_t now_ms)
{
    if (session->outage_in_flight || !session->runs_listed || session->lost) {
        return;
    }
    if (session->leaving || session->departed ||
        (session->silent &&
         now_ms >= session->silent_since_ms + OUTAGE_MIN_MS)) {
        if (!session->outage_known) {
            propose_outage(session, false);
        }
    }
    else if (!session->silent && session->outage_known) {
        propose_outage(session, true);
    }
}
