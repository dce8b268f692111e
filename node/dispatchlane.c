/* dispatchlane.c -- orders to targets, their leases, and the ends they list */
#include <string.h>

#include "base/event.h"
#include "base/log.h"
#include "node/dispatchpriv.h"

#define HOLD_WAIT_MS 1800u /* a hold waits this long for an end */
/* While orders go unanswered a hold waits until just past the next end that is
 * expected, within these bounds: a lost one then hides that end no longer. */
#define HOLD_LOSSY_LEAST_MS 120u
#define HOLD_LOSSY_MOST_MS 700u
#define HOLD_PAST_END_MS 60u
#define ORDER_TIMEOUT_MS 900u /* for an answer, beyond any wait */
/* For the first copy of a start: a multiple of the usual time of an answer,
 * within bounds. A second copy does no harm, but costs as much as the first.
 */
#define START_TIMEOUT_LEAST_MS 90u
#define START_TIMEOUT_FACTOR 12u
#define ANSWER_KEEP 15u            /* of 16 parts of the smoothed time */
#define HOLD_TIMEOUT_MS 200u       /* beyond the wait */
#define UNANSWERED_SPAN_MS 4000u   /* one loss makes others likely this long */
#define HOLD_AGAIN_MS 80u          /* after a hold that failed */
#define CLOCK_DRIFT_PERCENT 2u     /* a target's clock may be this slow */
#define LEASE_SLACK_MS 100u        /* on top of a computed end of a lease */
#define REMOVE_LOST_AFTER_MS 1500u /* a lost target is then forgotten */

static struct lane *
lane_of(const struct dispatch *dispatch, const struct fleet_target *target)
{
    return g_hash_table_lookup(dispatch->lanes, target->rec.id);
}

/* The target that an answer is from, unless it was replaced since. */
static struct fleet_target *
target_of(const struct pending *pending)
{
    struct fleet_target *target =
        fleet_find_target(pending->dispatch->parts.fleet, pending->id);

    return target != NULL && target->rec.born_ms == pending->born_ms &&
                   target->plan != NULL
               ? target
               : NULL;
}

static bool
leads(const struct dispatch *dispatch)
{
    return replica_leads(dispatch->parts.replica);
}

static void
take_clock(struct lane *lane, const struct order_reply *reply, uint64_t now_ms)
{
    if (reply->has_clock) {
        lane->has_clock = true;
        lane->clock_ms = reply->clock_ms;
        lane->clock_at_ms = now_ms;
    }
}

/* Grants a whole lease from now on, and notes when it will surely be over.
 * While the target does not answer nothing more is granted: an order that is
 * never answered may have been carried out. */
static uint64_t
grant(struct lane *lane, uint64_t now_ms)
{
    uint64_t lease_ms = lane->dispatch->parts.settings->fleet->lease_ms;
    uint64_t deadline_ms;
    uint64_t span_ms;

    if (!lane->has_clock) {
        return 0;
    }
    if (lane->silent) {
        return lane->deadline_ms;
    }
    deadline_ms = lane->clock_ms + (now_ms - lane->clock_at_ms) + lease_ms;
    span_ms =
        (deadline_ms - lane->clock_ms) * 100 / (100 - CLOCK_DRIFT_PERCENT) +
        LEASE_SLACK_MS;
    lane->gone_by_ms = MAX(lane->gone_by_ms, lane->clock_at_ms + span_ms);
    lane->deadline_ms = MAX(lane->deadline_ms, deadline_ms);
    return lane->deadline_ms;
}

static struct order_head
head_for(struct lane *lane, const struct fleet_target *target,
         uint32_t timeout_ms, uint64_t now_ms)
{
    struct order_head head = {
        .target = target,
        .fence = raft_term(replica_raft(lane->dispatch->parts.replica)),
        .deadline_ms = grant(lane, now_ms),
        .timeout_ms = timeout_ms};

    lane->dispatch->orders_sent++;
    return head;
}

/* Logs something that concerns one run. */
static void
tell_run(enum event_kind kind, const struct fleet_task_id *task, uint32_t run,
         const char *target, const char *name, const char *text)
{
    char id[FLEET_TASK_ID_TEXT_BYTES];

    fleet_task_id_text(task, id, sizeof(id));
    EVENT(kind, EVENT_STR("id", id), EVENT_INT("run", run),
          EVENT_STR("target", target), EVENT_STR(name, text));
}

static const char *
answer_name(enum order_answer answer)
{
    static const char *const names[] = {
        "done",      "fenced",  "old",      "late",  "no room", "bad ticket",
        "unhealthy", "invalid", "not sent", "other", "unknown"};

    return names[answer];
}

/* ---- starts and stops --------------------------------------------------- */

static uint32_t
start_timeout_ms(const struct dispatch *dispatch)
{
    uint32_t usual_ms = dispatch->answer_us * START_TIMEOUT_FACTOR / 1000;

    return MIN(MAX(usual_ms, START_TIMEOUT_LEAST_MS), ORDER_TIMEOUT_MS);
}

static void
learn_answer_time(struct dispatch *dispatch, const struct pending *pending)
{
    uint64_t took_us = clock_mono_us() - pending->sent_us;

    dispatch->answer_us = (uint32_t)((dispatch->answer_us * ANSWER_KEEP +
                                      MIN(took_us, ORDER_TIMEOUT_MS * 1000)) /
                                     (ANSWER_KEEP + 1));
    histogram_add(&dispatch->times.order, took_us / 1000);
}

static void send_start(struct lane *lane, const struct fleet_target *target,
                       struct pending *pending);

/* A start without an answer is sent once more, unless its run was listed or
 * has ended meanwhile: if it is there, that is said.
 * Any other answer to the second copy leaves open what the first one did. */
static void
on_started(void *ctx, const struct order_reply *reply)
{
    struct pending *pending = ctx;
    struct dispatch *dispatch = pending->dispatch;
    struct fleet_target *target;
    struct lane *lane;
    enum order_answer answer = reply->answer;
    uint64_t now_ms = clock_mono_ms();

    if (dispatch == NULL) {
        dispatch_drop_pending(pending);
        return;
    }
    target = target_of(pending);
    if (target == NULL) {
        dispatch_drop_pending(pending);
        return;
    }
    lane = lane_of(dispatch, target);
    take_clock(lane, reply, now_ms);
    learn_answer_time(dispatch, pending);
    if (answer != ORDER_DONE) {
        dispatch->orders_failed++;
    }
    if (answer == ORDER_UNKNOWN) {
        dispatch->unanswered_ms = now_ms;
    }
    if (answer == ORDER_UNKNOWN && !pending->again && leads(dispatch) &&
        plan_awaits_start(target, &pending->task, pending->run)) {
        pending->again = true;
        send_start(lane, target, pending);
        return;
    }
    if (pending->again && answer != ORDER_DONE) {
        answer = ORDER_UNKNOWN;
    }
    if (answer != ORDER_DONE) {
        tell_run(answer == ORDER_UNKNOWN ? EVENT_RUN_START_UNANSWERED
                                         : EVENT_RUN_START_REFUSED,
                 &pending->task, pending->run, pending->id, "answer",
                 answer_name(answer));
    }
    plan_start_answered(dispatch->plan, target, &pending->task, pending->run,
                        answer, now_ms);
    dispatch_drop_pending(pending);
}

static void
send_start(struct lane *lane, const struct fleet_target *target,
           struct pending *pending)
{
    const struct order_channel *orders = lane->dispatch->parts.orders;
    struct order_head head = head_for(
        lane, target,
        pending->again ? ORDER_TIMEOUT_MS : start_timeout_ms(lane->dispatch),
        clock_mono_ms());

    pending->start.target = target;
    pending->sent_us = clock_mono_us();
    orders->start(orders->channel, &head, &pending->start, on_started,
                  pending);
}

static void
tell_start(const struct plan_start *start)
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
dispatch_start(void *ctx, const struct plan_start *start)
{
    struct dispatch *dispatch = ctx;
    struct lane *lane = lane_of(dispatch, start->target);
    struct pending *pending;

    pending = dispatch_add_pending(dispatch, lane);
    pending->task = start->task;
    pending->run = start->run_number;
    if (!leads(dispatch)) { /* the lease ended within this pass */
        g_ptr_array_add(dispatch->unsent, pending);
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
        histogram_add(&dispatch->times.first_start, start->waited_ms);
    }
    tell_start(start);
    send_start(lane, start->target, pending);
}

static void
on_stopped(void *ctx, const struct order_reply *reply)
{
    struct pending *pending = ctx;
    struct fleet_target *target;
    uint64_t now_ms = clock_mono_ms();

    if (pending->dispatch != NULL && (target = target_of(pending)) != NULL) {
        take_clock(lane_of(pending->dispatch, target), reply, now_ms);
        plan_stop_answered(pending->dispatch->plan, target, &pending->task,
                           pending->run, reply->answer, now_ms);
    }
    dispatch_drop_pending(pending);
}

void
dispatch_stop(void *ctx, const struct fleet_target *target,
              const struct fleet_task_id *task, uint32_t run, const char *why)
{
    struct dispatch *dispatch = ctx;
    const struct order_channel *orders = dispatch->parts.orders;
    struct lane *lane = lane_of(dispatch, target);
    struct pending *pending;
    struct order_head head;

    if (lane == NULL || !leads(dispatch)) {
        return;
    }
    tell_run(EVENT_RUN_STOP_ORDERED, task, run, target->rec.id, "why", why);
    head = head_for(lane, target, ORDER_TIMEOUT_MS, clock_mono_ms());
    pending = dispatch_add_pending(dispatch, lane);
    pending->task = *task;
    pending->run = run;
    orders->stop(orders->channel, &head, task, run, on_stopped, pending);
}

static void
on_paced(void *ctx, const struct order_reply *reply)
{
    struct pending *pending = ctx;

    if (pending->dispatch != NULL && reply->answer != ORDER_DONE) {
        log_info(LOG_SCHED, "target %s did not take a pace: answer %d",
                 pending->id, (int)reply->answer);
    }
    dispatch_drop_pending(pending);
}

void
dispatch_pace(void *ctx, const struct fleet_target *target,
              const struct fleet_task_id *task, uint32_t run, uint32_t percent)
{
    struct dispatch *dispatch = ctx;
    const struct order_channel *orders = dispatch->parts.orders;
    struct lane *lane = lane_of(dispatch, target);
    struct order_head head;
    char id[FLEET_TASK_ID_TEXT_BYTES];

    if (lane == NULL || !leads(dispatch)) {
        return;
    }
    fleet_task_id_text(task, id, sizeof(id));
    EVENT(EVENT_RUN_PACE_CHANGED, EVENT_STR("id", id), EVENT_INT("run", run),
          EVENT_STR("target", target->rec.id), EVENT_INT("percent", percent));
    head = head_for(lane, target, ORDER_TIMEOUT_MS, clock_mono_ms());
    orders->pace(orders->channel, &head, task, run, percent, on_paced,
                 dispatch_add_pending(dispatch, lane));
}

/* ---- holds -------------------------------------------------------------- */

/* Which lane a commit of ends was for. */
struct commit {
    struct pending *pending;
    uint64_t number;
};

static void
on_ends_committed(void *ctx, enum fp_err err,
                  const struct change_answer *answer)
{
    struct commit *commit = ctx;
    struct pending *pending = commit->pending;
    struct fleet_target *target;
    struct lane *lane;

    (void)answer;
    if (pending->dispatch != NULL && (target = target_of(pending)) != NULL) {
        lane = lane_of(pending->dispatch, target);
        lane->committing = false;
        lane->next_hold_ms = 0;
        if (err == FP_OK) {
            ends_mark_stored(&lane->ends, commit->number);
        }
        else {
            log_warn(LOG_SCHED, "ends of target %s were not stored: %s",
                     pending->id, fp_err_row(err)->name);
        }
    }
    dispatch_drop_pending(pending);
    g_free(commit);
}

static void
commit_ends(struct lane *lane, const struct order_reply *reply)
{
    struct dispatch *dispatch = lane->dispatch;
    struct commit *commit = g_new0(struct commit, 1);
    struct fleet_run_ends ends = {.items = {NULL, 0}};

    commit->pending = dispatch_add_pending(dispatch, lane);
    for (uint32_t i = 0; i < reply->end_count; i++) {
        struct fleet_run_end *end;

        if (reply->ends[i].number <= lane->ends.stored_number) {
            continue; /* the target was not told of it yet */
        }
        end = fp_list_add(&ends.items, sizeof(*end));
        *end = reply->ends[i].end;
        commit->number = MAX(commit->number, reply->ends[i].number);
    }
    dispatch->ends_committed += ends.items.count;
    lane->committing = true;
    replica_propose(dispatch->parts.replica, &FLEET_RUN_ENDS_SCHEMA, &ends,
                    on_ends_committed, commit);
    g_free(ends.items.items);
}

static void
tell_end(const struct lane *lane, const struct fleet_run_end *end)
{
    tell_run(EVENT_RUN_ENDED, &end->task, end->run, lane->id, "how",
             end->outcome < RUN_OUTCOME_COUNT ? RUN_OUTCOME_NAMES[end->outcome]
                                              : "?");
}

/* The target lives: its ends first, then its runs, then the next hold. */
static void
take_lists(struct lane *lane, struct fleet_target *target,
           const struct order_reply *reply, uint64_t asked_ms, uint64_t now_ms)
{
    struct dispatch *dispatch = lane->dispatch;
    bool fresh = false;

    if (lane->silent || lane->lost) {
        EVENT(EVENT_TARGET_RECOVERED, EVENT_STR("id", lane->id),
              EVENT_INT("runs", reply->row_count));
    }
    if (lane->lost) {
        /* Nothing runs under a lease; the next hold grants one. */
        lane->gone_by_ms = now_ms + dispatch->parts.settings->fleet->lease_ms;
    }
    lane->silent = false;
    lane->lost = false;
    for (uint32_t i = 0; i < reply->end_count; i++) {
        if (reply->ends[i].number > lane->ends.stored_number) {
            fresh = true;
            tell_end(lane, &reply->ends[i].end);
            plan_run_ended(dispatch->plan, target, &reply->ends[i].end,
                           now_ms);
        }
    }
    plan_runs_listed(dispatch->plan, target, reply->rows, reply->row_count,
                     !lane->listed, asked_ms, now_ms);
    lane->listed = true;
    plan_set_target_usable(dispatch->plan, target, lane->has_clock);
    lane->next_hold_ms = now_ms;
    if (fresh) {
        commit_ends(lane, reply);
    }
}

static void
tell_lost(void *ctx, const struct fleet_task_id *task, uint32_t run)
{
    const struct lane *lane = ctx;

    tell_run(EVENT_RUN_LOST, task, run, lane->id, "why", "its target is lost");
}

static void
give_up(struct lane *lane, struct fleet_target *target, const char *why,
        uint64_t now_ms)
{
    if (!lane->lost) {
        EVENT(EVENT_TARGET_LOST, EVENT_STR("id", lane->id),
              EVENT_STR("why", why));
        plan_for_each_run(target, tell_lost, lane);
        lane->lost = true;
        lane->lost_ms = now_ms;
        plan_target_lost(lane->dispatch->plan, target, now_ms);
    }
}

static void
hold_failed(struct lane *lane, struct fleet_target *target,
            const struct order_reply *reply, uint64_t now_ms)
{
    lane->dispatch->orders_failed++;
    if (reply->answer == ORDER_UNKNOWN) {
        lane->dispatch->unanswered_ms = now_ms;
    }
    if (!lane->silent && !lane->lost) {
        EVENT(EVENT_TARGET_UNRESPONSIVE, EVENT_STR("id", lane->id),
              EVENT_STR("answer", answer_name(reply->answer)));
    }
    lane->silent = true;
    ends_call_unanswered(&lane->ends);
    lane->next_hold_ms = now_ms + HOLD_AGAIN_MS;
    plan_set_target_usable(lane->dispatch->plan, target, false);
    if (reply->answer == ORDER_WRONG_INCARNATION) {
        give_up(lane, target, "another incarnation has its address", now_ms);
        return;
    }
    /* A refused connection proves nothing: a link that is cut may refuse. */
}

static void
on_held(void *ctx, const struct order_reply *reply)
{
    struct pending *pending = ctx;
    struct fleet_target *target;
    struct lane *lane;
    uint64_t now_ms = clock_mono_ms();

    if (pending->dispatch == NULL || (target = target_of(pending)) == NULL) {
        dispatch_drop_pending(pending);
        return;
    }
    lane = lane_of(pending->dispatch, target);
    lane->holding = false;
    take_clock(lane, reply, now_ms);
    if (reply->answer == ORDER_NOT_SENT && pending->told != 0) {
        ends_call_unanswered(&lane->ends); /* the connection is gone */
        lane->next_hold_ms = now_ms;
    }
    else if (reply->answer != ORDER_DONE) {
        hold_failed(lane, target, reply, now_ms);
    }
    else if (reply->born_ms != 0 && reply->born_ms != lane->born_ms) {
        /* It restarted; its own announcement brings what it is now. */
        lane->has_clock = false;
        ends_call_unanswered(&lane->ends);
        lane->next_hold_ms = now_ms + HOLD_AGAIN_MS;
        plan_set_target_usable(lane->dispatch->plan, target, false);
    }
    else {
        ends_call_answered(&lane->ends, pending->told, pending->asked_ms);
        take_lists(lane, target, reply, pending->asked_ms, now_ms);
    }
    dispatch_drop_pending(pending);
}

static uint32_t
hold_wait_ms(const struct lane *lane, const struct fleet_target *target,
             uint64_t now_ms)
{
    uint64_t end_ms;

    if (!lane->listed || !lane->has_clock) {
        return 0;
    }
    if (now_ms >= lane->dispatch->unanswered_ms + UNANSWERED_SPAN_MS) {
        return HOLD_WAIT_MS;
    }
    end_ms = plan_next_end_ms(target);
    if (end_ms == UINT64_MAX || end_ms > now_ms + HOLD_LOSSY_MOST_MS) {
        return HOLD_LOSSY_MOST_MS;
    }
    end_ms += HOLD_PAST_END_MS;
    return (uint32_t)MAX(end_ms > now_ms ? end_ms - now_ms : 0,
                         HOLD_LOSSY_LEAST_MS);
}

static void
send_hold(struct lane *lane, const struct fleet_target *target,
          uint64_t now_ms)
{
    const struct order_channel *orders = lane->dispatch->parts.orders;
    uint32_t wait_ms = hold_wait_ms(lane, target, now_ms);
    struct order_head head =
        head_for(lane, target, wait_ms + HOLD_TIMEOUT_MS, now_ms);
    struct pending *pending = dispatch_add_pending(lane->dispatch, lane);

    pending->asked_ms = now_ms;
    pending->told = ends_number_to_ack(&lane->ends);
    if (pending->told != 0) {
        head.opened_before_ms = lane->ends.last_call_ms;
    }
    lane->holding = true;
    lane->dispatch->holds++;
    orders->hold(orders->channel, &head, pending->told, wait_ms, on_held,
                 pending);
}

/* ---- lanes -------------------------------------------------------------- */

void
dispatch_add_lane(struct dispatch *dispatch, struct fleet_target *target)
{
    struct lane *lane = g_new0(struct lane, 1);
    uint64_t lease_ms = dispatch->parts.settings->fleet->lease_ms;

    lane->dispatch = dispatch;
    g_strlcpy(lane->id, target->rec.id, sizeof(lane->id));
    lane->born_ms = target->rec.born_ms;
    /* An earlier leader may have granted a whole lease until just now. */
    lane->gone_by_ms = clock_mono_ms() +
                       lease_ms * 100 / (100 - CLOCK_DRIFT_PERCENT) +
                       LEASE_SLACK_MS;
    g_hash_table_insert(dispatch->lanes, lane->id, lane);
}

void
dispatch_reset_lane(struct dispatch *dispatch, struct fleet_target *target,
                    uint64_t now_ms)
{
    struct lane *lane = lane_of(dispatch, target);

    lane->born_ms = target->rec.born_ms; /* of the stops that follow, too */
    plan_target_restarted(dispatch->plan, target, now_ms);
    lane->holding = false;
    lane->committing = false;
    lane->has_clock = false;
    lane->lost = false;
    lane->removing = false;
    memset(&lane->ends, 0, sizeof(lane->ends));
    lane->next_hold_ms = 0;
    lane->silent = false;
    lane->deadline_ms = 0;
}

static void
on_removed(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    (void)ctx;
    (void)answer;
    if (err != FP_OK) {
        log_info(LOG_SCHED, "a target's removal was not stored: %s",
                 fp_err_row(err)->name);
    }
}

/* A target that is gone for good would make each new leader wait for its
 * lease. If it lives after all, it announces itself again. */
static void
propose_removal(struct lane *lane)
{
    struct fleet_target_removal gone = {.born_ms = lane->born_ms};

    lane->removing = true;
    g_strlcpy(gone.id, lane->id, sizeof(gone.id));
    replica_propose(lane->dispatch->parts.replica,
                    &FLEET_TARGET_REMOVAL_SCHEMA, &gone, on_removed, NULL);
}

static void
tick_lane(struct lane *lane, uint64_t now_ms)
{
    struct fleet_target *target =
        fleet_find_target(lane->dispatch->parts.fleet, lane->id);

    if (!lane->lost && now_ms >= lane->gone_by_ms) {
        plan_set_target_usable(lane->dispatch->plan, target, false);
        give_up(lane, target, "its lease is over", now_ms);
    }
    if (lane->lost && !lane->removing &&
        now_ms >= lane->lost_ms + REMOVE_LOST_AFTER_MS) {
        propose_removal(lane);
    }
    if (!lane->holding && !lane->committing && now_ms >= lane->next_hold_ms) {
        send_hold(lane, target, now_ms);
    }
}

/* Inherited work starts once no target can run anything unknown. */
static void
check_settled(struct dispatch *dispatch, uint64_t now_ms)
{
    GHashTableIter iter;
    struct lane *lane;

    g_hash_table_iter_init(&iter, dispatch->lanes);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&lane)) {
        if (!lane->listed && !lane->lost) {
            return;
        }
    }
    dispatch->settled = true;
    EVENT(EVENT_TAKEOVER_COMPLETED,
          EVENT_INT("targets", g_hash_table_size(dispatch->lanes)),
          EVENT_INT("after_ms", now_ms - dispatch->since_ms));
    plan_reconciled(dispatch->plan);
}

/* Starts that were ordered while this host did not lead for a moment: they
 * were not sent. The plan cannot be told within its own pass. */
static void
settle_unsent(struct dispatch *dispatch, uint64_t now_ms)
{
    while (dispatch->unsent->len > 0) {
        struct pending *pending = g_ptr_array_steal_index(
            dispatch->unsent, dispatch->unsent->len - 1);
        struct fleet_target *target = target_of(pending);

        if (target != NULL) {
            tell_run(EVENT_RUN_START_REFUSED, &pending->task, pending->run,
                     pending->id, "answer", answer_name(ORDER_NOT_SENT));
            plan_start_answered(dispatch->plan, target, &pending->task,
                                pending->run, ORDER_NOT_SENT, now_ms);
        }
        dispatch_drop_pending(pending);
    }
}

void
dispatch_tick_lanes(struct dispatch *dispatch, uint64_t now_ms)
{
    GHashTableIter iter;
    struct lane *lane;

    settle_unsent(dispatch, now_ms);
    if (!leads(dispatch)) {
        return;
    }
    g_hash_table_iter_init(&iter, dispatch->lanes);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&lane)) {
        tick_lane(lane, now_ms);
    }
    if (!dispatch->settled) {
        check_settled(dispatch, now_ms);
    }
}
