/* dispatchlane.c -- sessions with targets: orders, leases, ends of runs */
#include <string.h>

#include "base/event.h"
#include "base/log.h"
#include "core/fence.h"
#include "node/dispatchpriv.h"

#define HOLD_WAIT_MS 1800u /* a hold call waits this long for a new end */
/* In the LOSSY_PERIOD_MS after an unanswered order, a hold call waits only
 * until HOLD_END_MARGIN_MS after the next expected end, within these bounds:
 * if its answer is lost too, the end is known little later. */
#define HOLD_LOSSY_WAIT_MIN_MS 120u
#define HOLD_LOSSY_WAIT_MAX_MS 700u
#define HOLD_END_MARGIN_MS 60u
#define ORDER_TIMEOUT_MS 900u /* longest wait for an order's answer */
/* The first copy of a start order times out after a multiple of the usual
 * answer time, this at least and ORDER_TIMEOUT_MS at most. A second copy does
 * no harm, but costs as much as the first. */
#define START_TIMEOUT_MIN_MS 90u
#define START_TIMEOUT_FACTOR 12u
#define ANSWER_TIME_WEIGHT 15u /* of the old average; a new value counts 1 */
#define HOLD_TIMEOUT_MARGIN_MS 200u /* added to the wait of a hold call */
#define LOSSY_PERIOD_MS 4000u       /* in which further losses are likely */
#define HOLD_RETRY_MS 80u           /* delay after a failed hold call */
#define REMOVAL_DELAY_MS 1500u      /* until a lost target is removed */
#define FIRST_ANSWER_MS 1000u       /* that a new target has to answer in */
#define DEPARTED_RETRY_MS 500u      /* HOLD_RETRY_MS of a departed target */

static struct target_session *
session_of(const struct dispatch *dispatch, const struct fleet_target *target)
{
    return g_hash_table_lookup(dispatch->sessions, target->rec.id);
}

struct fleet_target *
dispatch_target_of(const struct pending_request *pending)
{
    struct fleet_target *target =
        fleet_find_target(pending->dispatch->deps.fleet, pending->target_id);

    return target != NULL && target->rec.born_ms == pending->born_ms &&
                   target->plan != NULL
               ? target
               : NULL;
}

static bool
is_leader(const struct dispatch *dispatch)
{
    return replica_is_leader(dispatch->deps.replica);
}

static void
update_clock(struct target_session *session, const struct order_reply *reply,
             uint64_t now_ms)
{
    if (reply->has_clock) {
        session->has_clock = true;
        session->clock_ms = reply->clock_ms;
        session->clock_read_ms = now_ms;
    }
}

/* Grants a full lease from now on and updates leases_over_ms. Returns its end
 * on the target's clock; 0: not known. A silent target gets the last deadline
 * again: an unanswered order may still reach the target and extend its lease
 * to the deadline in the order. With a new deadline in each order,
 * leases_over_ms would move on with every retry. */
static uint64_t
grant_lease(struct target_session *session, uint64_t now_ms)
{
    uint64_t lease_ms = dispatch_granted_lease_ms(session->dispatch);
    uint64_t deadline_ms;

    if (!session->has_clock) {
        return 0;
    }
    if (session->silent) {
        return session->granted_deadline_ms;
    }
    deadline_ms =
        session->clock_ms + (now_ms - session->clock_read_ms) + lease_ms;
    session->leases_over_ms =
        MAX(session->leases_over_ms,
            session->clock_read_ms +
                dispatch_lease_span_ms(deadline_ms - session->clock_ms));
    session->granted_deadline_ms =
        MAX(session->granted_deadline_ms, deadline_ms);
    return session->granted_deadline_ms;
}

static uint64_t
session_fence(const struct target_session *session)
{
    return fence_token(
        raft_term(replica_raft(session->dispatch->deps.replica)),
        session->number);
}

/* Numbers a session that is opened, or opened anew, within the term. */
static void
number_session(struct target_session *session)
{
    session->number = ++session->dispatch->last_session;
    EVENT(EVENT_TARGET_SESSION, EVENT_STR("id", session->id),
          EVENT_INT("born", session->born_ms),
          EVENT_INT("fence", session_fence(session)));
}

static struct order_head
make_order_head(struct target_session *session,
                const struct fleet_target *target, uint32_t timeout_ms,
                uint64_t now_ms)
{
    struct order_head head = {.target = target,
                              .fence = session_fence(session),
                              .deadline_ms = grant_lease(session, now_ms),
                              .timeout_ms = timeout_ms};

    session->dispatch->orders_sent++;
    return head;
}

/* Logs an event of a run, with one more field. */
static void
log_run_event(enum event_kind kind, const struct fleet_task_id *task,
              uint32_t run_number, const char *target, const char *name,
              const char *text)
{
    char id[FLEET_TASK_ID_TEXT_BYTES];

    fleet_task_id_text(task, id, sizeof(id));
    EVENT(kind, EVENT_STR("id", id), EVENT_INT("run", run_number),
          EVENT_STR("target", target), EVENT_STR(name, text));
}

static const char *
answer_name(enum order_answer answer)
{
    static const char *const names[] = {
        "done",      "fenced",  "old",      "late",  "no room", "bad ticket",
        "unhealthy", "invalid", "not sent", "other", "unknown", "closed"};

    return names[answer];
}

/* ---- starting and stopping runs ----------------------------------------- */

static uint32_t
start_timeout_ms(const struct dispatch *dispatch)
{
    uint32_t usual_ms =
        dispatch->start_answer_us * START_TIMEOUT_FACTOR / 1000;

    return MIN(MAX(usual_ms, START_TIMEOUT_MIN_MS), ORDER_TIMEOUT_MS);
}

static void
record_answer_time(struct dispatch *dispatch,
                   const struct pending_request *pending)
{
    uint64_t took_us = clock_mono_us() - pending->start_sent_us;

    dispatch->start_answer_us =
        (uint32_t)((dispatch->start_answer_us * ANSWER_TIME_WEIGHT +
                    MIN(took_us, ORDER_TIMEOUT_MS * 1000)) /
                   (ANSWER_TIME_WEIGHT + 1));
    histogram_add(&dispatch->times.start_order_ms, took_us / 1000);
}

static void send_start(struct target_session *session,
                       const struct fleet_target *target,
                       struct pending_request *pending);

/* A start order without an answer is sent once more, unless its run was listed
 * or has ended meanwhile. If the first copy was carried out, the target
 * answers the second with ORDER_DONE. Any other answer to the second copy
 * leaves the outcome of the first unknown. */
static void
on_start_answered(void *ctx, const struct order_reply *reply)
{
    struct pending_request *pending = ctx;
    struct dispatch *dispatch = pending->dispatch;
    struct fleet_target *target;
    struct target_session *session;
    enum order_answer answer = reply->answer;
    uint64_t now_ms = clock_mono_ms();

    if (dispatch == NULL) {
        dispatch_drop_pending(pending);
        return;
    }
    target = dispatch_target_of(pending);
    if (target == NULL) {
        dispatch_drop_pending(pending);
        return;
    }
    session = session_of(dispatch, target);
    update_clock(session, reply, now_ms);
    record_answer_time(dispatch, pending);
    if (answer != ORDER_DONE) {
        dispatch->orders_failed++;
    }
    if (answer == ORDER_UNKNOWN) {
        dispatch->last_unanswered_ms = now_ms;
    }
    if (answer == ORDER_UNKNOWN && !pending->resent && is_leader(dispatch) &&
        plan_target_takes_starts(target) &&
        plan_awaits_start(target, &pending->task, pending->run_number)) {
        pending->resent = true;
        plan_start_resent(target, &pending->task, pending->run_number);
        send_start(session, target, pending);
        return;
    }
    if (pending->resent && answer != ORDER_DONE) {
        answer = ORDER_UNKNOWN;
    }
    if (answer == ORDER_UNKNOWN && reply->closed) {
        answer = ORDER_CLOSED;
    }
    if (answer != ORDER_DONE) {
        log_run_event(answer == ORDER_UNKNOWN || answer == ORDER_CLOSED
                          ? EVENT_RUN_START_UNANSWERED
                          : EVENT_RUN_START_REFUSED,
                      &pending->task, pending->run_number, pending->target_id,
                      "answer", answer_name(answer));
    }
    plan_start_answered(dispatch->plan, target, &pending->task,
                        pending->run_number, answer, now_ms);
    dispatch_drop_pending(pending);
}

static void
send_start(struct target_session *session, const struct fleet_target *target,
           struct pending_request *pending)
{
    const struct order_channel *orders = session->dispatch->deps.orders;
    struct order_head head =
        make_order_head(session, target,
                        pending->resent ? ORDER_TIMEOUT_MS
                                        : start_timeout_ms(session->dispatch),
                        clock_mono_ms());

    pending->start.target = target;
    pending->start_sent_us = clock_mono_us();
    ends_start_sent(&session->ends_ack, clock_mono_ms());
    orders->start(orders->channel, &head, &pending->start, on_start_answered,
                  pending);
}

static void
log_run_ordered(const struct plan_start *start)
{
    char id[FLEET_TASK_ID_TEXT_BYTES];

    fleet_task_id_text(&start->task, id, sizeof(id));
    EVENT(EVENT_RUN_START_ORDERED, EVENT_STR("id", id),
          EVENT_INT("run", start->run_number),
          EVENT_STR("target", start->target->rec.id),
          EVENT_INT("waited_ms", start->waited_ms),
          EVENT_INT("estimate_ms", start->estimate_ms),
          EVENT_INT("resumes", start->checkpoint[0] != '\0'));
}

void
dispatch_start_run(void *ctx, const struct plan_start *start)
{
    struct dispatch *dispatch = ctx;
    struct target_session *session = session_of(dispatch, start->target);
    struct pending_request *pending;

    pending = dispatch_add_pending(dispatch, session);
    pending->task = start->task;
    pending->run_number = start->run_number;
    if (!is_leader(dispatch)) { /* the leader lease expired within this pass */
        g_ptr_array_add(dispatch->unsent_starts, pending);
        return;
    }
    pending->start = *start;
    pending->checkpoint = g_strdup(start->checkpoint);
    pending->ticket = g_strdup(start->ticket);
    pending->spec = fp_blob_copy(start->spec->data, start->spec->size_bytes);
    pending->start.checkpoint = pending->checkpoint;
    pending->start.ticket = pending->ticket;
    pending->start.spec = &pending->spec;
    if (start->first_of_job) {
        histogram_add(&dispatch->times.first_start_ms, start->waited_ms);
    }
    log_run_ordered(start);
    send_start(session, start->target, pending);
}

static void
on_stop_answered(void *ctx, const struct order_reply *reply)
{
    struct pending_request *pending = ctx;
    struct fleet_target *target;
    uint64_t now_ms = clock_mono_ms();

    if (pending->dispatch != NULL &&
        (target = dispatch_target_of(pending)) != NULL) {
        update_clock(session_of(pending->dispatch, target), reply, now_ms);
        plan_stop_answered(pending->dispatch->plan, target, &pending->task,
                           pending->run_number, reply->answer, now_ms);
    }
    dispatch_drop_pending(pending);
}

void
dispatch_stop_run(void *ctx, const struct fleet_target *target,
                  const struct fleet_task_id *task, uint32_t run_number,
                  const char *reason)
{
    struct dispatch *dispatch = ctx;
    const struct order_channel *orders = dispatch->deps.orders;
    struct target_session *session = session_of(dispatch, target);
    struct pending_request *pending;
    struct order_head head;

    if (session == NULL || !is_leader(dispatch)) {
        return;
    }
    log_run_event(EVENT_RUN_STOP_ORDERED, task, run_number, target->rec.id,
                  "why", reason);
    head = make_order_head(session, target, ORDER_TIMEOUT_MS, clock_mono_ms());
    pending = dispatch_add_pending(dispatch, session);
    pending->task = *task;
    pending->run_number = run_number;
    orders->stop(orders->channel, &head, task, run_number, on_stop_answered,
                 pending);
}

static void
on_pace_answered(void *ctx, const struct order_reply *reply)
{
    struct pending_request *pending = ctx;

    if (pending->dispatch != NULL && reply->answer != ORDER_DONE) {
        log_info(LOG_SCHED, "pace order to target %s failed: answer %d",
                 pending->target_id, (int)reply->answer);
    }
    dispatch_drop_pending(pending);
}

void
dispatch_set_pace(void *ctx, const struct fleet_target *target,
                  const struct fleet_task_id *task, uint32_t run_number,
                  uint32_t percent)
{
    struct dispatch *dispatch = ctx;
    const struct order_channel *orders = dispatch->deps.orders;
    struct target_session *session = session_of(dispatch, target);
    struct order_head head;
    char id[FLEET_TASK_ID_TEXT_BYTES];

    if (session == NULL || !is_leader(dispatch)) {
        return;
    }
    fleet_task_id_text(task, id, sizeof(id));
    EVENT(EVENT_RUN_PACE_CHANGED, EVENT_STR("id", id),
          EVENT_INT("run", run_number), EVENT_STR("target", target->rec.id),
          EVENT_INT("percent", percent));
    head = make_order_head(session, target, ORDER_TIMEOUT_MS, clock_mono_ms());
    orders->pace(orders->channel, &head, task, run_number, percent,
                 on_pace_answered, dispatch_add_pending(dispatch, session));
}

/* ---- hold calls --------------------------------------------------------- */

/* A proposal of ends that a target has listed. */
struct ends_commit {
    struct pending_request *pending;
    uint64_t number; /* highest of the proposed ends */
};

static void
on_ends_committed(void *ctx, enum fp_err err,
                  const struct change_answer *answer)
{
    struct ends_commit *commit = ctx;
    struct pending_request *pending = commit->pending;
    struct fleet_target *target;
    struct target_session *session;

    if (err == FP_OK) {
        err = answer->err;
    }
    if (pending->dispatch != NULL &&
        (target = dispatch_target_of(pending)) != NULL) {
        session = session_of(pending->dispatch, target);
        session->ends_in_flight = false;
        session->next_hold_ms = 0;
        if (err == FP_OK) {
            ends_mark_stored(&session->ends_ack, commit->number);
        }
        else {
            log_warn(LOG_SCHED,
                     "could not store the ends listed by target %s: %s",
                     pending->target_id, fp_err_row(err)->name);
        }
    }
    dispatch_drop_pending(pending);
    g_free(commit);
}

static void
commit_ends(struct target_session *session, const struct order_reply *reply)
{
    struct dispatch *dispatch = session->dispatch;
    struct ends_commit *commit = g_new0(struct ends_commit, 1);
    struct fleet_run_ends ends = {.items = {NULL, 0}};

    commit->pending = dispatch_add_pending(dispatch, session);
    for (uint32_t i = 0; i < reply->end_count; i++) {
        struct fleet_run_end *end;

        if (reply->ends[i].number <= session->ends_ack.stored_number) {
            continue; /* stored before, but not acknowledged yet */
        }
        end = fp_list_add(&ends.items, sizeof(*end));
        *end = reply->ends[i].end;
        commit->number = MAX(commit->number, reply->ends[i].number);
    }
    dispatch->ends_committed += ends.items.count;
    session->ends_in_flight = true;
    replica_propose(dispatch->deps.replica, &FLEET_RUN_ENDS_SCHEMA, &ends,
                    on_ends_committed, commit);
    g_free(ends.items.items);
}

static void
log_run_ended(const struct target_session *session,
              const struct fleet_run_end *end)
{
    log_run_event(EVENT_RUN_ENDED, &end->task, end->run, session->id, "how",
                  end->outcome < RUN_OUTCOME_COUNT
                      ? RUN_OUTCOME_NAMES[end->outcome]
                      : "?");
}

static void
refuse_checkpoint(const struct target_session *session,
                  const struct fleet_task_id *task, uint32_t run_number)
{
    char id[FLEET_TASK_ID_TEXT_BYTES];

    session->dispatch->checkpoints_refused++;
    fleet_task_id_text(task, id, sizeof(id));
    EVENT(EVENT_CHECKPOINT_REFUSED, EVENT_STR("id", id),
          EVENT_INT("run", run_number), EVENT_STR("target", session->id),
          EVENT_INT("max_bytes", FLEET_CHECKPOINT_BYTES - 1));
}

static void
refuse_long_checkpoints(const struct target_session *session,
                        const struct order_reply *reply)
{
    for (uint32_t i = 0; i < reply->run_count; i++) {
        const struct plan_listed_run *run = &reply->runs[i];

        if (run->checkpoint_too_long) {
            refuse_checkpoint(session, &run->task, run->run_number);
        }
    }
    for (uint32_t i = 0; i < reply->end_count; i++) {
        const struct order_end *end = &reply->ends[i];

        if (end->checkpoint_too_long &&
            end->number > session->ends_ack.stored_number) {
            refuse_checkpoint(session, &end->end.task, end->end.run);
        }
    }
}

/* Handles the lists in the answer to a hold call: first the ends, then the
 * runs, since a run that has ended is no longer listed. */
static void
handle_lists(struct target_session *session, struct fleet_target *target,
             const struct order_reply *reply, uint64_t sent_ms,
             uint64_t now_ms)
{
    struct dispatch *dispatch = session->dispatch;
    const struct plan_run_list list = {.runs = reply->runs,
                                       .count = reply->run_count,
                                       .is_first = !session->runs_listed,
                                       .is_cut = reply->ends_cut,
                                       .requested_ms = sent_ms};
    bool has_new_ends = false;

    if (session->silent || session->lost) {
        EVENT(EVENT_TARGET_RECOVERED, EVENT_STR("id", session->id),
              EVENT_INT("runs", reply->run_count));
    }
    if (session->lost) {
        /* No lease is in force; the next hold call grants one. */
        session->leases_over_ms =
            now_ms + dispatch->deps.settings->fleet->lease_ms;
    }
    session->silent = false;
    session->lost = false;
    refuse_long_checkpoints(session, reply);
    if (reply->ends_cut && !session->ends_cut) {
        EVENT(EVENT_TARGET_ENDS_CUT, EVENT_STR("id", session->id),
              EVENT_INT("ends", reply->end_count),
              EVENT_INT("runs", reply->run_count),
              EVENT_INT("known", plan_count_runs(target)));
    }
    for (uint32_t i = 0; i < reply->end_count; i++) {
        if (reply->ends[i].number > session->ends_ack.stored_number) {
            has_new_ends = true;
            log_run_ended(session, &reply->ends[i].end);
            plan_run_ended(dispatch->plan, target, &reply->ends[i].end,
                           now_ms);
        }
    }
    plan_runs_listed(dispatch->plan, target, &list, now_ms);
    session->ends_cut = reply->ends_cut;
    session->runs_listed = session->runs_listed || !reply->ends_cut;
    /* While its removal may be stored it must not get starts. */
    if ((!session->outage_known || session->leaving) &&
        !session->removal_in_flight && session->runs_listed) {
        plan_set_target_usable(dispatch->plan, target, session->has_clock);
    }
    session->next_hold_ms = now_ms;
    if (has_new_ends) {
        commit_ends(session, reply);
    }
}

static void
declare_lost(struct target_session *session, struct fleet_target *target,
             enum plan_loss loss, const char *reason, uint64_t now_ms)
{
    if (!session->lost) {
        EVENT(EVENT_TARGET_LOST, EVENT_STR("id", session->id),
              EVENT_STR("why", reason));
        session->lost = true;
        session->lost_ms = now_ms;
        plan_target_lost(
            session->dispatch->plan, target,
            session->departed && session->leaving ? LOSS_LEFT : loss, now_ms);
    }
}

static void
on_hold_failed(struct target_session *session, struct fleet_target *target,
               const struct order_reply *reply, uint64_t now_ms)
{
    session->dispatch->orders_failed++;
    if (reply->answer == ORDER_UNKNOWN) {
        session->dispatch->last_unanswered_ms = now_ms;
    }
    if (!session->silent && !session->lost) {
        EVENT(EVENT_TARGET_UNRESPONSIVE, EVENT_STR("id", session->id),
              EVENT_STR("answer", answer_name(reply->closed ? ORDER_CLOSED
                                                            : reply->answer)));
    }
    if (!session->silent) {
        session->silent_since_ms = now_ms;
    }
    session->silent = true;
    ends_call_unanswered(&session->ends_ack);
    session->next_hold_ms =
        now_ms + (session->departed ? DEPARTED_RETRY_MS : HOLD_RETRY_MS);
    plan_target_silent(session->dispatch->plan, target, reply->closed, now_ms);
    if (reply->answer == ORDER_WRONG_INCARNATION) {
        declare_lost(session, target, LOSS_CRASHED,
                     "another incarnation has its address", now_ms);
        return;
    }
    /* A refused connection does not prove that the target is gone: a network
     * that is cut may refuse connections too. */
}

static void
on_hold_answered(void *ctx, const struct order_reply *reply)
{
    struct pending_request *pending = ctx;
    struct fleet_target *target;
    struct target_session *session;
    uint64_t now_ms = clock_mono_ms();

    if (pending->dispatch == NULL ||
        (target = dispatch_target_of(pending)) == NULL) {
        dispatch_drop_pending(pending);
        return;
    }
    session = session_of(pending->dispatch, target);
    session->hold_in_flight = false;
    update_clock(session, reply, now_ms);
    if (reply->answer == ORDER_NOT_SENT && pending->needs_old_connection) {
        ends_lack_old_connection(&session->ends_ack);
        session->next_hold_ms = now_ms;
    }
    else if (reply->answer != ORDER_DONE) {
        on_hold_failed(session, target, reply, now_ms);
    }
    else if (reply->born_ms != 0 && reply->born_ms != session->born_ms) {
        /* The target restarted, and is used again once its announcement is
         * stored. */
        session->has_clock = false;
        ends_call_unanswered(&session->ends_ack);
        session->next_hold_ms = now_ms + HOLD_RETRY_MS;
        plan_target_silent(session->dispatch->plan, target, false, now_ms);
    }
    else if (pending->only_renews) {
        ends_call_answered(&session->ends_ack, pending->ack_number,
                           pending->sent_ms);
        session->next_hold_ms = now_ms;
    }
    else {
        ends_call_answered(&session->ends_ack, pending->ack_number,
                           pending->sent_ms);
        handle_lists(session, target, reply, pending->sent_ms, now_ms);
    }
    dispatch_drop_pending(pending);
}

static uint32_t
hold_wait_ms(const struct target_session *session,
             const struct fleet_target *target, uint64_t now_ms)
{
    uint64_t end_ms;

    if (!session->runs_listed || !session->has_clock || session->ends_cut ||
        ends_await_call(&session->ends_ack)) {
        return 0;
    }
    if (now_ms >= session->dispatch->last_unanswered_ms + LOSSY_PERIOD_MS) {
        return HOLD_WAIT_MS;
    }
    end_ms = plan_next_end_ms(target);
    if (end_ms == UINT64_MAX || end_ms > now_ms + HOLD_LOSSY_WAIT_MAX_MS) {
        return HOLD_LOSSY_WAIT_MAX_MS;
    }
    end_ms += HOLD_END_MARGIN_MS;
    return (uint32_t)MAX(end_ms > now_ms ? end_ms - now_ms : 0,
                         HOLD_LOSSY_WAIT_MIN_MS);
}

static void
send_hold(struct target_session *session, const struct fleet_target *target,
          uint64_t now_ms)
{
    const struct order_channel *orders = session->dispatch->deps.orders;
    uint32_t wait_ms = hold_wait_ms(session, target, now_ms);
    struct order_head head = make_order_head(
        session, target, wait_ms + HOLD_TIMEOUT_MARGIN_MS, now_ms);
    struct pending_request *pending =
        dispatch_add_pending(session->dispatch, session);

    pending->sent_ms = now_ms;
    pending->only_renews = session->ends_in_flight;
    if (ends_await_call(&session->ends_ack)) {
        pending->ack_number = ends_number_for_any_connection(
            &session->ends_ack, plan_start_is_on_its_way(target, now_ms));
    }
    else {
        pending->ack_number = ends_number_to_ack(&session->ends_ack);
        pending->needs_old_connection = pending->ack_number != 0;
    }
    if (pending->needs_old_connection) {
        head.opened_before_ms = session->ends_ack.last_call_ms;
    }
    session->hold_in_flight = true;
    session->dispatch->holds_sent++;
    orders->hold(orders->channel, &head, pending->ack_number, wait_ms,
                 on_hold_answered, pending);
}

/* ---- sessions ----------------------------------------------------------- */

void
dispatch_add_session(struct dispatch *dispatch, struct fleet_target *target,
                     uint64_t added_ms)
{
    struct target_session *session = g_new0(struct target_session, 1);

    session->dispatch = dispatch;
    g_strlcpy(session->id, target->rec.id, sizeof(session->id));
    session->born_ms = target->rec.born_ms;
    /* An earlier leader may have granted a full lease just now. */
    session->leases_over_ms =
        clock_mono_ms() + dispatch_earlier_leases_ms(dispatch);
    session->leaving = target->rec.leaving;
    session->departed = target->rec.departed;
    session->added_ms = added_ms;
    session->outage_known = target->is_out;
    g_hash_table_insert(dispatch->sessions, session->id, session);
    if (added_ms != 0) {
        number_session(session);
    }
}

bool
dispatch_is_old_announcement(struct dispatch *dispatch,
                             const struct fleet_target *known,
                             const struct fleet_target_rec *rec)
{
    struct target_session *session = session_of(dispatch, known);

    if (known->rec.born_ms != rec->born_ms) {
        return false;
    }
    if (rec->sequence < MAX(session->announced, known->rec.sequence)) {
        return true;
    }
    session->announced = rec->sequence;
    return false;
}

void
dispatch_reset_session(struct dispatch *dispatch, struct fleet_target *target,
                       uint64_t now_ms)
{
    struct target_session *session = session_of(dispatch, target);

    /* Set first: the plan may order stops, whose answers then come from the
     * new incarnation. */
    session->born_ms = target->rec.born_ms;
    number_session(session);
    plan_target_restarted(dispatch->plan, target, now_ms);
    session->announced = 0;
    session->hold_in_flight = false;
    session->ends_in_flight = false;
    session->has_clock = false;
    session->lost = false;
    session->added_ms = 0; /* runs of the last incarnation may be there */
    session->removal_in_flight = false; /* it was of the last incarnation */
    memset(&session->ends_ack, 0, sizeof(session->ends_ack));
    session->next_hold_ms = 0;
    session->silent = false;
    session->ends_cut = false;
    session->outage_known = false;
    session->outage_in_flight = false;
    session->granted_deadline_ms = 0;
}

static void
on_removal_done(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    struct pending_request *pending = ctx;
    struct fleet_target *target =
        pending->dispatch != NULL ? dispatch_target_of(pending) : NULL;

    (void)answer;
    if (err != FP_OK) {
        log_info(LOG_SCHED, "could not store the removal of target %s: %s",
                 pending->target_id, fp_err_row(err)->name);
    }
    if (target != NULL) {
        session_of(pending->dispatch, target)->removal_in_flight = false;
    }
    dispatch_drop_pending(pending);
}

/* Proposes to remove a target on which no run can go on. Otherwise each new
 * leader would have to wait for its lease to expire. If the target still runs,
 * it announces itself again. */
static void
propose_removal(struct target_session *session, struct fleet_target *target)
{
    struct dispatch *dispatch = session->dispatch;
    struct fleet_target_removal removal = {.born_ms = session->born_ms};

    session->removal_in_flight = true;
    plan_set_target_usable(dispatch->plan, target, false);
    g_strlcpy(removal.id, session->id, sizeof(removal.id));
    replica_propose(dispatch->deps.replica, &FLEET_TARGET_REMOVAL_SCHEMA,
                    &removal, on_removal_done,
                    dispatch_add_pending(dispatch, session));
}

void
dispatch_remove_unanswered(struct dispatch *dispatch, uint64_t now_ms)
{
    struct target_session *found = NULL;
    GHashTableIter iter;
    struct target_session *session;
    struct fleet_target *target;

    g_hash_table_iter_init(&iter, dispatch->sessions);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&session)) {
        /* Without its clock no run was ordered there. */
        if (session->added_ms != 0 && !session->has_clock &&
            !session->removal_in_flight &&
            now_ms >= session->added_ms + FIRST_ANSWER_MS &&
            (found == NULL || session->added_ms < found->added_ms)) {
            found = session;
        }
    }
    target = found != NULL ? fleet_find_target(dispatch->deps.fleet, found->id)
                           : NULL;
    if (target != NULL) {
        propose_removal(found, target);
    }
}

/* Whether a target is to be removed: it is lost, or it has departed and none
 * of its runs can go on. */
static bool
is_removal_due(const struct target_session *session,
               const struct fleet_target *target, uint64_t now_ms)
{
    if (session->removal_in_flight) {
        return false;
    }
    if (session->departed) {
        return session->lost || plan_target_is_idle(target);
    }
    return session->lost && now_ms >= session->lost_ms + REMOVAL_DELAY_MS;
}

/* Workload: the disks of the replicas take longer to store ends than a lease
 * lasts. A target lists the ends at once as long as they are not acknowledged,
 * so it is not called for its lists before they are stored; but it is for its
 * lease, in good time. */
static bool
needs_renewal(const struct target_session *session, uint64_t now_ms)
{
    return session->ends_in_flight && !session->lost &&
           now_ms + session->dispatch->deps.settings->fleet->lease_ms / 2 >=
               session->leases_over_ms;
}

static void
tick_session(struct target_session *session, uint64_t now_ms)
{
    const bool lapses = !session->lost && now_ms >= session->leases_over_ms;
    const bool calls =
        !session->hold_in_flight && now_ms >= session->next_hold_ms &&
        (!session->ends_in_flight || needs_renewal(session, now_ms));
    struct fleet_target *target;

    dispatch_tick_outage(session, now_ms);
    if (!lapses && !calls && !session->lost && !session->departed) {
        return;
    }
    target = fleet_find_target(session->dispatch->deps.fleet, session->id);
    if (lapses) {
        plan_target_silent(session->dispatch->plan, target, false, now_ms);
        declare_lost(session, target, LOSS_LEASE, "its lease is over", now_ms);
    }
    if (is_removal_due(session, target, now_ms)) {
        propose_removal(session, target);
    }
    else if (calls) {
        send_hold(session, target, now_ms);
    }
}

/* Lets the plan start inherited tasks once each target has listed its runs or
 * is lost, so that no unknown run is left. */
static void
check_reconciled(struct dispatch *dispatch, uint64_t now_ms)
{
    GHashTableIter iter;
    struct target_session *session;

    g_hash_table_iter_init(&iter, dispatch->sessions);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&session)) {
        if (!session->runs_listed && !session->lost) {
            return;
        }
    }
    dispatch->reconciled = true;
    EVENT(EVENT_TAKEOVER_COMPLETED,
          EVENT_INT("targets", g_hash_table_size(dispatch->sessions)),
          EVENT_INT("after_ms", now_ms - dispatch->term_start_ms));
    plan_reconciled(dispatch->plan);
}

/* Reports the start orders that were not sent because this host did not lead
 * for a moment. They were kept because the plan must not be called within its
 * own pass. */
static void
refuse_unsent_starts(struct dispatch *dispatch, uint64_t now_ms)
{
    while (dispatch->unsent_starts->len > 0) {
        struct pending_request *pending = g_ptr_array_steal_index(
            dispatch->unsent_starts, dispatch->unsent_starts->len - 1);
        struct fleet_target *target = dispatch_target_of(pending);

        if (target != NULL) {
            log_run_event(EVENT_RUN_START_REFUSED, &pending->task,
                          pending->run_number, pending->target_id, "answer",
                          answer_name(ORDER_NOT_SENT));
            plan_start_answered(dispatch->plan, target, &pending->task,
                                pending->run_number, ORDER_NOT_SENT, now_ms);
        }
        dispatch_drop_pending(pending);
    }
}

void
dispatch_tick_sessions(struct dispatch *dispatch, uint64_t now_ms)
{
    GHashTableIter iter;
    struct target_session *session;

    refuse_unsent_starts(dispatch, now_ms);
    if (!is_leader(dispatch) || !dispatch_tick_lease(dispatch, now_ms)) {
        return;
    }
    dispatch_retry_evidence(dispatch);
    g_hash_table_iter_init(&iter, dispatch->sessions);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&session)) {
        tick_session(session, now_ms);
    }
    if (!dispatch->reconciled) {
        check_reconciled(dispatch, now_ms);
    }
}
