/* dispatchask.c -- queries to the placement policy, spread over hosts
 *
 * The policy answers one query of each host at a time. Long queries leave some
 * hosts idle, so that a short query need not wait.
 *
 * A query that is given up occupies its turn all the same. So each is waited
 * for as long as an answer may come, and its host gets no other one. Its step
 * is queried about again only if that host is silent, or queries that were
 * sent later through other hosts have been answered: long ones, if it is one.
 */
#include <string.h>

#include "base/event.h"
#include "node/dispatchpriv.h"

#define POLICY_BUSY_STATUS 503u /* of HTTP, beside 429 */

/* A query that has not been answered. */
struct policy_query {
    struct pending_request *pending;
    char host[MSG_HOST_BYTES]; /* host of the helper; "": this host */
    uint32_t expected_ms;
    bool is_short;
    uint64_t late_ms; /* when it will be late */
    bool is_given_up; /* its step may be queried about again */
};

void
dispatch_on_helper_ping(struct dispatch *dispatch, const char *host,
                        uint64_t now_ms)
{
    struct policy_helper *helper =
        g_hash_table_lookup(dispatch->helpers, host);

    if (helper == NULL) {
        helper = g_new0(struct policy_helper, 1);
        g_strlcpy(helper->host, host, sizeof(helper->host));
        g_hash_table_insert(dispatch->helpers, helper->host, helper);
    }
    helper->last_ping_ms = now_ms;
}

static struct policy_helper *
helper_of(const struct dispatch *dispatch, const struct policy_query *query)
{
    return g_hash_table_lookup(dispatch->helpers, query->host);
}

static void
log_policy_reply(const struct policy_query *query,
                 const struct policy_reply *reply, uint64_t took_ms)
{
    char id[FLEET_TASK_ID_TEXT_BYTES];

    fleet_step_id_text(&query->pending->task, id, sizeof(id));
    EVENT(EVENT_POLICY_ANSWERED, EVENT_STR("id", id),
          EVENT_STR("asker", query->host[0] != '\0' ? query->host : "here"),
          EVENT_INT("granted", reply->count),
          EVENT_STR("error", fp_err_row(reply->err)->name),
          EVENT_INT("status", reply->status), EVENT_INT("bytes", reply->bytes),
          EVENT_INT("unread", reply->unread), EVENT_INT("took_ms", took_ms),
          EVENT_INT("policy_ms", reply->took_ms),
          EVENT_INT("late", query->is_given_up));
}

/* How old an answer is at most: what the query took here beyond what the
 * helper waited for the policy was spent on the way there and back, or in a
 * busy helper. Helpers of older versions do not tell.
 */
static uint32_t
answer_age_ms(const struct policy_reply *reply, uint64_t took_ms)
{
    return reply->took_ms == 0
               ? 0
               : (uint32_t)(took_ms - MIN(took_ms, reply->took_ms));
}

static enum helper_result
helper_result(enum fp_err err)
{
    switch (err) {
    case FP_OK:
        return HELPER_ANSWERED;
    case FP_ERR_UNKNOWN_OUTCOME: /* of the helper */
    case FP_ERR_MAY_HAVE_RUN:    /* of the policy */
    case FP_ERR_TRUNCATED:
        return HELPER_TIMEOUT;
    default:
        return HELPER_FAILED;
    }
}

static void
count_policy_reply(struct dispatch_policy_counters *counters,
                   const struct policy_query *query,
                   const struct policy_reply *reply, uint32_t policy_ms)
{
    counters->under_way--;
    counters->failures += reply->err != FP_OK;
    counters->given_up += helper_result(reply->err) == HELPER_TIMEOUT;
    counters->unread += reply->unread;
    if (reply->err == FP_OK) {
        counters->late += clock_mono_ms() >= query->late_ms;
        counters->late_used += query->is_given_up;
        counters->stated_ms += query->expected_ms;
        counters->measured_ms += policy_ms;
    }
}

/* Lets the pace and the choice of hosts learn from the end of a query. */
static void
learn_from_reply(struct dispatch *dispatch, const struct policy_query *query,
                 const struct policy_reply *reply, uint32_t policy_ms,
                 uint64_t now_ms)
{
    const uint64_t sent_ms = query->pending->sent_ms;
    const enum helper_result result = helper_result(reply->err);
    struct policy_helper *helper = helper_of(dispatch, query);

    if (reply->err == FP_OK) {
        query_pace_answered(&dispatch->pace, sent_ms, query->is_short,
                            query->expected_ms, policy_ms,
                            dispatch->policy.hosts, now_ms);
    }
    else if (reply->status == POLICY_BUSY_STATUS ||
             reply->err == FP_ERR_BUSY || result == HELPER_TIMEOUT) {
        query_pace_refused(&dispatch->pace, sent_ms, dispatch->policy.hosts,
                           now_ms);
    }
    if (helper == NULL) {
        return;
    }
    helper_finish(helper, result, query->expected_ms, now_ms);
    if (reply->err == FP_OK) {
        helper_measure(helper, policy_ms - MIN(policy_ms, query->expected_ms));
    }
    if (reply->err == FP_ERR_NO_LEADER ||
        reply->err == FP_ERR_UNKNOWN_OUTCOME) {
        helper->last_ping_ms = 0; /* not used before its next ping */
    }
}

static void
finish_policy_query(struct policy_query *query,
                    const struct policy_reply *reply)
{
    struct pending_request *pending = query->pending;
    struct dispatch *dispatch = pending->dispatch;
    uint64_t now_ms = clock_mono_ms();
    uint64_t took_ms = now_ms - pending->sent_ms;
    uint32_t policy_ms =
        reply->took_ms != 0 ? reply->took_ms : (uint32_t)took_ms;
    const struct plan_policy_answer answer = {reply->err,
                                              reply->tickets,
                                              reply->count,
                                              reply->unread,
                                              answer_age_ms(reply, took_ms),
                                              query->is_given_up};

    if (dispatch != NULL) {
        g_ptr_array_remove_fast(dispatch->policy_queries, query);
        histogram_add(&dispatch->times.policy_query_ms, took_ms);
        count_policy_reply(&dispatch->policy, query, reply, policy_ms);
        log_policy_reply(query, reply, took_ms);
        learn_from_reply(dispatch, query, reply, policy_ms, now_ms);
        if (query->host[0] == '\0') {
            dispatch->local_query_pending = false;
        }
        plan_policy_answered(dispatch->plan, &pending->task, &answer, now_ms);
    }
    dispatch_drop_pending(pending);
    g_free(query);
}

/* Whether a late query is given up: another host may be asked about its step.
 */
static bool
should_give_up(const struct dispatch *dispatch,
               const struct policy_query *query, uint64_t now_ms)
{
    const struct policy_helper *helper = helper_of(dispatch, query);

    return !query->is_given_up && now_ms >= query->late_ms &&
           (query_pace_is_overtaken(&dispatch->pace, query->pending->sent_ms,
                                    query->is_short) ||
            (helper != NULL && helper_is_silent(helper, now_ms)));
}

void
dispatch_tick_queries(struct dispatch *dispatch, uint64_t now_ms)
{
    for (guint i = 0; i < dispatch->policy_queries->len; i++) {
        struct policy_query *query = dispatch->policy_queries->pdata[i];

        if (should_give_up(dispatch, query, now_ms)) {
            query->is_given_up = true;
            dispatch->policy.repeated++;
            plan_give_up_query(dispatch->plan, &query->pending->task);
        }
    }
}

static void
on_helper_answered(void *ctx, enum fp_err err,
                   const struct call_answer *answer)
{
    struct policy_reply reply = {.err = err,
                                 .tickets = answer->tickets.items,
                                 .count = answer->tickets.count,
                                 .status = answer->policy_status,
                                 .bytes = answer->policy_bytes,
                                 .unread = answer->policy_unread,
                                 .took_ms = answer->policy_took_ms};

    if (err == FP_OK) {
        reply.err = answer->err;
    }
    if (reply.err != FP_OK) {
        reply.count = 0;
    }
    finish_policy_query(ctx, &reply);
}

static void
on_policy_answered(void *ctx, const struct policy_reply *reply)
{
    finish_policy_query(ctx, reply);
}

static struct policy_helper *
find_helper(struct dispatch *dispatch, bool short_query, uint64_t now_ms)
{
    guint count;
    gpointer *hosts =
        g_hash_table_get_keys_as_array(dispatch->helpers, &count);
    struct policy_helper *found;

    for (guint i = 0; i < count; i++) {
        hosts[i] = g_hash_table_lookup(dispatch->helpers, hosts[i]);
    }
    dispatch->policy.hosts = helper_count_usable(
        (struct policy_helper *const *)hosts, count, now_ms);
    dispatch->policy.limit =
        query_pace_limit(&dispatch->pace, dispatch->policy.hosts);
    found = helper_choose((struct policy_helper *const *)hosts, count,
                          &dispatch->pace, short_query, now_ms);
    g_free(hosts);
    return found;
}

bool
dispatch_query_policy(void *ctx, const struct fleet_task_id *step,
                      struct fleet_target *const *targets, uint32_t count,
                      uint32_t expected_ms, bool short_query)
{
    struct dispatch *dispatch = ctx;
    struct policy_helper *helper =
        find_helper(dispatch, short_query, clock_mono_ms());
    struct call_advise call = {
        .job_id = step->job_id,
        .occurrence = step->occurrence,
        .step = step->step,
        .timeout_ms = query_pace_wait_ms(&dispatch->pace, expected_ms)};
    struct policy_query *query;
    char id[FLEET_TASK_ID_TEXT_BYTES];

    if (helper == NULL && (dispatch->local_query_pending ||
                           g_hash_table_size(dispatch->helpers) > 0)) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        struct call_target_id *id = fp_list_add(&call.targets, sizeof(*id));

        g_strlcpy(id->id, targets[i]->rec.id, sizeof(id->id));
    }
    query = g_new0(struct policy_query, 1);
    query->pending = dispatch_add_pending(dispatch, NULL);
    query->pending->task = *step;
    query->pending->sent_ms = clock_mono_ms();
    query->expected_ms = expected_ms;
    query->is_short = short_query;
    query->late_ms = query->pending->sent_ms +
                     query_pace_timeout_ms(&dispatch->pace, expected_ms);
    g_ptr_array_add(dispatch->policy_queries, query);
    dispatch->policy.under_way++;
    fleet_step_id_text(step, id, sizeof(id));
    EVENT(EVENT_POLICY_ASKED, EVENT_STR("id", id),
          EVENT_STR("asker", helper != NULL ? helper->host : "here"),
          EVENT_INT("named", count), EVENT_INT("expected_ms", expected_ms));
    if (helper != NULL) {
        helper->busy = true;
        helper->is_long = !short_query;
        g_strlcpy(query->host, helper->host, sizeof(query->host));
        relay_call_host(dispatch->deps.relay, helper->host, CALL_ADVISE,
                        &CALL_ADVISE_SCHEMA, &call, call.timeout_ms,
                        on_helper_answered, query);
    }
    else {
        dispatch->local_query_pending = true;
        dispatch->deps.policy->query(dispatch->deps.policy->client, &call,
                                     on_policy_answered, query);
    }
    g_free(call.targets.items);
    return true;
}
