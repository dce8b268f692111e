/* gateway.c -- callers' requests: choice of owner, retries, idempotency keys
 */
#include "node/gateway.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "node/gatewaypriv.h"
#include "node/keys.h"

#define BACKOFF_MS 5u          /* doubles with each try, with jitter */
#define OWNER_WAIT_MAX_MS 600u /* wait for a hint while owners change */
#define OWNER_POLL_MS 20u
/* Time after the deadline for an owner's answer or a commit to arrive. */
#define OWNER_ANSWER_GRACE_MS 150u
#define RETRY_BUDGET_PER_REQUEST 0.1 /* retries that each request earns */
#define RETRY_BUDGET_MAX 50.0
#define FIRST_OUTCOME_POLL_MS 25u /* in STEP_AWAIT_FIRST */
/* Clock offsets are measured anew after this time, in which the clocks of two
 * hosts drift little. */
#define CLOCK_OFFSET_WINDOW_MS 600000u

static const char *
method_of(const struct exchange *exchange)
{
    return exchange->msg.method;
}

static void
free_exchange(struct exchange *exchange)
{
    g_hash_table_remove(exchange->gateway->exchanges, exchange);
    fp_record_free(&MSG_CALL_SCHEMA, &exchange->msg);
    fp_blob_free(&exchange->body);
    g_free(exchange);
}

static void
reply_error(struct exchange *exchange, const char *detail)
{
    const struct fp_err_row *row = fp_err_row(exchange->err);
    uint32_t retry_after_ms = exchange->retry_after_ms
                                  ? exchange->retry_after_ms
                                  : row->retry_after_ms;
    json_t *object =
        json_pack("{s:s,s:s,s:s,s:b,s:i}", "error", row->name, "work",
                  fp_work_status_name(row->work_status), "detail",
                  detail[0] ? detail : row->text, "retry", row->retryable,
                  "tries", exchange->tries);
    char *text;

    if (row->retryable) {
        json_object_set_new(object, "retry_after_ms",
                            json_integer(retry_after_ms));
    }
    text = json_dumps(object, JSON_COMPACT);
    http_reply(exchange->request, row->http_status, "application/json", text,
               strlen(text), row->retryable ? retry_after_ms : 0);
    free(text);
    json_decref(object);
}

/* Sends the final answer, unless the caller was answered already. */
static void
answer_caller(struct exchange *exchange, const char *detail)
{
    if (exchange->request == NULL) {
        return;
    }
    exchange->gateway->answer_counts[exchange->err]++;
    if (exchange->err == FP_OK) {
        http_reply(exchange->request, (int)exchange->status,
                   exchange->content_type, exchange->body.data,
                   exchange->body.size_bytes, 0);
    }
    else {
        reply_error(exchange, detail);
    }
    exchange->request = NULL;
}

static void
finish_exchange(struct exchange *exchange, const char *detail)
{
    answer_caller(exchange, detail);
    free_exchange(exchange);
}

static void
fail_exchange(struct exchange *exchange, enum fp_err err, const char *detail)
{
    exchange->err = err;
    finish_exchange(exchange, detail);
}

static void
on_outcome_done(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    struct exchange *exchange = ctx;

    (void)answer;
    if (err != FP_OK) {
        /* The result stays valid, but is perhaps not recorded. A resend then
         * finds only the intent, and is answered with "may-have-run". */
        log_info(LOG_ROUTE, "the outcome of a request was not recorded: %s",
                 fp_err_row(err)->name);
    }
    finish_exchange(exchange, "");
}

/* Commits the outcome of a request with an idempotency key, then answers the
 * caller. If the request certainly did not run, the change withdraws the
 * intent, so that the caller may send it again with the same key.
 */
static void
commit_outcome(struct exchange *exchange)
{
    struct gateway *gateway = exchange->gateway;
    struct change_outcome change = {
        .run_id = replica_run_id(gateway->replica),
        .not_run = exchange->err != FP_OK &&
                   fp_err_row(exchange->err)->work_status == FP_NOT_RUN,
        .err = exchange->err,
        .status = exchange->status,
    };

    exchange->step = STEP_COMMIT_OUTCOME;
    g_strlcpy(change.team, exchange->msg.team, sizeof(change.team));
    g_strlcpy(change.key, exchange->msg.idempotency_key, sizeof(change.key));
    g_strlcpy(change.content_type, exchange->content_type,
              sizeof(change.content_type));
    if (exchange->body.size_bytes <= OUTCOME_BODY_MAX_BYTES) {
        change.body = exchange->body;
    }
    else {
        change.err = FP_ERR_ANSWER_TOO_LARGE;
    }
    replica_propose(gateway->replica, &CHANGE_OUTCOME_SCHEMA, &change,
                    on_outcome_done, exchange);
}

/* Answers the caller with the last result. If an intent was recorded, the
 * outcome is committed first.
 */
static void
complete_exchange(struct exchange *exchange)
{
    if (exchange->intent_recorded) {
        commit_outcome(exchange);
    }
    else {
        finish_exchange(exchange, "");
    }
}

static bool
may_retry(const struct exchange *exchange)
{
    const struct fp_err_row *row = fp_err_row(exchange->err);

    if (exchange->tries >= TRIES_MAX ||
        exchange->gateway->retry_budget < 1.0 ||
        exchange->err == FP_ERR_DEADLINE_EXCEEDED ||
        exchange->err == FP_ERR_LIMIT || exchange->err == FP_ERR_NOT_FOUND) {
        return false;
    }
    if (row->work_status == FP_NOT_RUN) {
        return row->retryable;
    }
    return exchange->msg.repeatable &&
           (exchange->err == FP_ERR_MAY_HAVE_RUN ||
            exchange->err == FP_ERR_TRUNCATED ||
            exchange->err == FP_ERR_ANSWER_MISMATCH);
}

/* Chooses the owner for the next try; NULL: none is left. Owners that are
 * known to have an instance that accepts no connections come last: until they
 * avoid it, a retry there may meet the same instance. */
static const char *
choose_owner(struct exchange *exchange, uint64_t random, uint64_t now_ms)
{
    const char *tried[TRIES_MAX];
    uint32_t count = 0;
    uint32_t refused_count = 0;

    for (uint32_t i = 0; i < exchange->tries; i++) {
        if (!exchange->refused[i]) {
            tried[count++] = exchange->tried[i];
        }
    }
    for (uint32_t i = 0; i < exchange->tries; i++) {
        if (exchange->refused[i]) {
            tried[count++] = exchange->tried[i];
            refused_count++;
        }
    }
    return picker_choose_again(exchange->gateway->picker, exchange->service,
                               tried, count, refused_count, random, now_ms);
}

/* Returns whether an owner is left to try. A refusal for lack of capacity is
 * final once every owner has refused.
 */
static bool
has_untried_owner(struct exchange *exchange, uint64_t now_ms)
{
    return choose_owner(exchange, 0, now_ms) != NULL;
}

static void
retry_or_complete(struct exchange *exchange)
{
    uint64_t now_ms = clock_mono_ms();
    uint32_t backoff_ms = BACKOFF_MS << MIN(exchange->tries, 8);
    uint32_t wait_ms =
        backoff_ms / 2 + randombytes_uniform(backoff_ms / 2 + 1);

    if (exchange->err == FP_ERR_NOT_CONNECTED) {
        exchange->refused[exchange->tries - 1] = true;
    }
    if (!may_retry(exchange) || now_ms + wait_ms >= exchange->deadline_ms ||
        !has_untried_owner(exchange, now_ms)) {
        complete_exchange(exchange);
        return;
    }
    exchange->gateway->retry_budget -= 1.0;
    exchange->gateway->retries++;
    exchange->step = STEP_BACKOFF;
    exchange->resume_ms = now_ms + wait_ms;
}

static void
handle_result(struct exchange *exchange, enum fp_err err, uint32_t status,
              const char *content_type, const void *body, uint32_t body_bytes,
              uint32_t retry_after_ms)
{
    fp_blob_free(&exchange->body);
    exchange->err = err;
    exchange->status = status;
    exchange->retry_after_ms = retry_after_ms;
    g_strlcpy(exchange->content_type, content_type,
              sizeof(exchange->content_type));
    if (err == FP_OK) {
        exchange->body = fp_blob_copy(body, body_bytes);
        complete_exchange(exchange);
        return;
    }
    retry_or_complete(exchange);
}

static void
on_local_result(void *ctx, const struct owner_result *result)
{
    struct exchange *exchange = ctx;

    picker_request_ended(exchange->gateway->picker,
                         exchange->gateway->settings->host, exchange->service);
    handle_result(exchange, result->err, result->status, result->content_type,
                  result->body, (uint32_t)result->body_bytes,
                  result->retry_after_ms);
}

static void
send_to_owner(struct exchange *exchange, const char *host, uint64_t now_ms)
{
    struct gateway *gateway = exchange->gateway;
    struct msg_call *msg = &exchange->msg;

    g_strlcpy(exchange->tried[exchange->tries], host, MSG_HOST_BYTES);
    exchange->tries++;
    exchange->step = STEP_AT_OWNER;
    msg->request_id = ++gateway->last_request_id;
    msg->sent_ms = now_ms;
    msg->budget_ms = (uint32_t)(exchange->deadline_ms - now_ms);
    picker_request_sent(gateway->picker, host, exchange->service);
    if (strcmp(host, gateway->settings->host) == 0) {
        owner_submit(gateway->owner, msg, on_local_result, exchange);
        return;
    }
    if (replica_send(gateway->replica, host, &MSG_CALL_SCHEMA, msg) != FP_OK) {
        picker_remove(gateway->picker, host);
        handle_result(exchange, FP_ERR_NOT_CONNECTED, 0, "", NULL, 0, 0);
        return;
    }
    g_hash_table_insert(gateway->awaiting_owner, &msg->request_id, exchange);
}

/* Returns whether a short wait for a hint is worthwhile: after a start or
 * while owners change, this host has no hint yet although targets are up.
 */
static bool
owner_is_expected(const struct exchange *exchange, uint64_t now_ms)
{
    GHashTableIter iter;
    struct target *target;

    if (exchange->tries > 0 ||
        now_ms >= exchange->received_ms + OWNER_WAIT_MAX_MS) {
        return false;
    }
    g_hash_table_iter_init(&iter,
                           replica_cell(exchange->gateway->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        if (target->rec.state == TARGET_UP &&
            strcmp(target->rec.service, exchange->service) == 0) {
            return true;
        }
    }
    return false;
}

static void
try_owner(struct exchange *exchange)
{
    struct gateway *gateway = exchange->gateway;
    uint64_t now_ms = clock_mono_ms();
    uint64_t random;
    const char *host;

    if (now_ms >= exchange->deadline_ms) {
        exchange->err = FP_ERR_DEADLINE_EXCEEDED;
        complete_exchange(exchange);
        return;
    }
    if (!replica_is_fresh(gateway->replica)) {
        exchange->err = FP_ERR_CONFIG_STALE;
        complete_exchange(exchange);
        return;
    }
    randombytes_buf(&random, sizeof(random));
    host = choose_owner(exchange, random, now_ms);
    if (host == NULL && owner_is_expected(exchange, now_ms)) {
        exchange->step = STEP_BACKOFF;
        exchange->resume_ms = now_ms + OWNER_POLL_MS;
        return;
    }
    if (host == NULL) {
        exchange->err = FP_ERR_NO_TARGET;
        complete_exchange(exchange);
        return;
    }
    send_to_owner(exchange, host, now_ms);
}

/* Answers a duplicate with the outcome of the first request with its key,
 * which has ended or is past its deadline.
 */
static void
answer_duplicate(struct exchange *exchange, const struct change_answer *answer)
{
    if (!answer->ended) {
        fail_exchange(
            exchange, FP_ERR_MAY_HAVE_RUN,
            "The first request under this key has no known outcome.");
        return;
    }
    exchange->err = answer->err;
    exchange->status = answer->status;
    g_strlcpy(exchange->content_type, answer->content_type,
              sizeof(exchange->content_type));
    exchange->body = fp_blob_copy(answer->body.data, answer->body.size_bytes);
    finish_exchange(exchange,
                    "The outcome of the first request under this key.");
}

/* Handles a request whose key another request has used first: answers it, or
 * waits for the outcome of the first one.
 */
static void
handle_duplicate(struct exchange *exchange, const struct change_answer *answer)
{
    bool expired =
        clock_wall_ms() > answer->deadline_ms + OWNER_ANSWER_GRACE_MS * 2;

    if (!answer->ended && answer->err != FP_OK) {
        fail_exchange(exchange, answer->err, answer->detail);
    }
    else if (answer->ended || expired) {
        answer_duplicate(exchange, answer);
    }
    else if (clock_mono_ms() + FIRST_OUTCOME_POLL_MS >=
             exchange->deadline_ms) {
        fail_exchange(exchange, FP_ERR_IN_PROGRESS, "");
    }
    else {
        exchange->step = STEP_AWAIT_FIRST;
        exchange->resume_ms = clock_mono_ms() + FIRST_OUTCOME_POLL_MS;
    }
}

static void propose_intent(struct exchange *exchange);

/* Checks this host's copy of the cell for the outcome of the first request.
 * If its intent was withdrawn, proposes that of this request.
 */
static void
poll_first_outcome(struct exchange *exchange)
{
    struct change_answer answer = {.err = FP_OK};

    if (cell_find_outcome(replica_cell(exchange->gateway->replica),
                          exchange->msg.team, exchange->msg.idempotency_key,
                          &answer)) {
        handle_duplicate(exchange, &answer);
    }
    else {
        propose_intent(exchange);
    }
    fp_record_free(&CHANGE_ANSWER_SCHEMA, &answer);
}

static void
on_intent_done(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    struct exchange *exchange = ctx;

    if (err == FP_ERR_UNKNOWN_OUTCOME) {
        /* The intent may be in the log, but the request was not sent. It
         * belongs to this process, which may thus withdraw it as not run. */
        exchange->intent_recorded = true;
        exchange->err = FP_ERR_NO_LEADER;
        commit_outcome(exchange);
        return;
    }
    if (err != FP_OK) {
        fail_exchange(exchange, err, "");
        return;
    }
    if (answer->first) {
        exchange->intent_recorded = true;
        try_owner(exchange); /* past the deadline: withdraws the intent */
        return;
    }
    handle_duplicate(exchange, answer);
}

static void
propose_intent(struct exchange *exchange)
{
    struct gateway *gateway = exchange->gateway;
    struct change_intent change = {.run_id = replica_run_id(gateway->replica),
                                   .deadline_ms = clock_wall_ms() +
                                                  exchange->deadline_ms -
                                                  clock_mono_ms()};
    const char *fields[] = {method_of(exchange), exchange->msg.path,
                            exchange->msg.queue, exchange->msg.content_type};

    exchange->step = STEP_COMMIT_INTENT;
    g_strlcpy(change.team, exchange->msg.team, sizeof(change.team));
    g_strlcpy(change.key, exchange->msg.idempotency_key, sizeof(change.key));
    digest_request(fields, 4, exchange->msg.body.data,
                   exchange->msg.body.size_bytes, change.digest);
    replica_propose(gateway->replica, &CHANGE_INTENT_SCHEMA, &change,
                    on_intent_done, exchange);
}

void
gateway_handle_request(struct gateway *gateway, struct http_request *request)
{
    struct exchange *exchange = g_new0(struct exchange, 1);
    char detail[160] = "";
    enum fp_err err;

    gateway->requests++;
    gateway->retry_budget = MIN(
        gateway->retry_budget + RETRY_BUDGET_PER_REQUEST, RETRY_BUDGET_MAX);
    exchange->gateway = gateway;
    exchange->request = request;
    exchange->received_ms = clock_mono_ms();
    g_hash_table_add(gateway->exchanges, exchange);
    err = gateway_admit(exchange, detail, sizeof(detail));
    if (err != FP_OK) {
        fail_exchange(exchange, err, detail);
        return;
    }
    if (exchange->msg.idempotency_key[0] != '\0') {
        propose_intent(exchange);
    }
    else {
        try_owner(exchange);
    }
}

/* Returns how much longer a message took than the fastest one from its host.
 */
static uint64_t
message_delay_ms(struct gateway *gateway, const char *host, uint64_t sent_ms,
                 uint64_t now_ms)
{
    struct clock_offset *offset =
        g_hash_table_lookup(gateway->clock_offsets, host);
    int64_t difference = (int64_t)now_ms - (int64_t)sent_ms;

    if (offset == NULL || now_ms > offset->since_ms + CLOCK_OFFSET_WINDOW_MS) {
        offset = g_new0(struct clock_offset, 1);
        offset->min_ms = difference;
        offset->since_ms = now_ms;
        g_hash_table_replace(gateway->clock_offsets, g_strdup(host), offset);
    }
    offset->min_ms = MIN(offset->min_ms, difference);
    return (uint64_t)(difference - offset->min_ms);
}

static void
send_reply(struct gateway *gateway, const struct peer_request *peer,
           const struct owner_result *result)
{
    struct msg_call_reply reply = {
        .request_id = peer->request_id,
        .err = result->err,
        .status = result->status,
        .retry_after_ms = result->retry_after_ms,
    };

    g_strlcpy(reply.content_type, result->content_type,
              sizeof(reply.content_type));
    g_strlcpy(reply.target, result->target, sizeof(reply.target));
    reply.body.data = (uint8_t *)result->body;
    reply.body.size_bytes = (uint32_t)result->body_bytes;
    replica_send(gateway->replica, peer->host, &MSG_CALL_REPLY_SCHEMA, &reply);
}

static void
on_peer_result(void *ctx, const struct owner_result *result)
{
    struct peer_request *peer = ctx;

    peer->gateway->peer_requests_in_flight--;
    send_reply(peer->gateway, peer, result);
    g_free(peer);
}

/* Submits a request of another gateway, unless its deadline has passed while
 * the message was in some queue.
 */
static void
on_peer_request(struct gateway *gateway, const char *from,
                const struct msg_call *msg)
{
    struct peer_request *peer = g_new0(struct peer_request, 1);
    struct msg_call copy = *msg;
    uint64_t delay_ms =
        message_delay_ms(gateway, from, msg->sent_ms, clock_mono_ms());

    gateway->peer_requests++;
    gateway->peer_requests_in_flight++;
    peer->gateway = gateway;
    peer->request_id = msg->request_id;
    g_strlcpy(peer->host, from, sizeof(peer->host));
    if (delay_ms >= msg->budget_ms) {
        struct owner_result late = {
            .err = FP_ERR_DEADLINE_EXCEEDED, .content_type = "", .target = ""};

        gateway->peer_requests_expired++;
        on_peer_result(peer, &late);
        return;
    }
    copy.budget_ms -= (uint32_t)delay_ms;
    owner_submit(gateway->owner, &copy, on_peer_result, peer);
}

static void
on_call_reply(struct gateway *gateway, const char *from,
              const struct msg_call_reply *msg)
{
    struct exchange *exchange =
        g_hash_table_lookup(gateway->awaiting_owner, &msg->request_id);

    /* Ignores a late reply and one of a host other than the last one tried. */
    if (exchange == NULL ||
        strcmp(exchange->tried[exchange->tries - 1], from) != 0) {
        return;
    }
    g_hash_table_remove(gateway->awaiting_owner, &msg->request_id);
    picker_request_ended(gateway->picker, from, exchange->service);
    handle_result(exchange, msg->err, msg->status, msg->content_type,
                  msg->body.data, msg->body.size_bytes, msg->retry_after_ms);
}

void
gateway_on_message(struct gateway *gateway, const char *from, uint32_t type,
                   const void *msg)
{
    if (type == MSG_CALL) {
        on_peer_request(gateway, from, msg);
    }
    else if (type == MSG_CALL_REPLY) {
        on_call_reply(gateway, from, msg);
    }
}

void
gateway_on_hint(struct gateway *gateway, const struct msg_hint *hint)
{
    const struct settings_host *host =
        settings_find_host(gateway->settings, hint->host);
    uint64_t now_ms = clock_mono_ms();

    if (host == NULL) {
        return;
    }
    if (strcmp(hint->host, gateway->settings->host) != 0) {
        message_delay_ms(gateway, hint->host, hint->sent_ms, now_ms);
    }
    if (hint->leaving) {
        picker_remove(gateway->picker, hint->host);
        return;
    }
    picker_update(gateway->picker, hint, host->data_centre, now_ms);
}

/* Continues an exchange whose wait is over, or whose deadline has passed. */
static void
advance_exchange(struct exchange *exchange, uint64_t now_ms)
{
    switch (exchange->step) {
    case STEP_AT_OWNER:
        if (now_ms >= exchange->deadline_ms + OWNER_ANSWER_GRACE_MS &&
            g_hash_table_remove(exchange->gateway->awaiting_owner,
                                &exchange->msg.request_id)) {
            picker_request_ended(exchange->gateway->picker,
                                 exchange->tried[exchange->tries - 1],
                                 exchange->service);
            exchange->err = FP_ERR_MAY_HAVE_RUN;
            complete_exchange(exchange);
        }
        break;
    case STEP_BACKOFF:
        if (now_ms >= exchange->resume_ms) {
            try_owner(exchange);
        }
        break;
    case STEP_AWAIT_FIRST:
        if (now_ms >= exchange->resume_ms) {
            poll_first_outcome(exchange);
        }
        break;
    case STEP_COMMIT_INTENT:
        if (now_ms >= exchange->deadline_ms) {
            exchange->err = FP_ERR_DEADLINE_EXCEEDED;
            answer_caller(exchange, "");
        }
        break;
    case STEP_COMMIT_OUTCOME:
        if (now_ms >= exchange->deadline_ms + OWNER_ANSWER_GRACE_MS) {
            answer_caller(exchange, "");
        }
        break;
    }
}

void
gateway_tick(struct gateway *gateway, uint64_t now_ms)
{
    GList *all = g_hash_table_get_keys(gateway->exchanges);

    for (GList *at = all; at != NULL; at = at->next) {
        if (g_hash_table_contains(gateway->exchanges, at->data)) {
            advance_exchange(at->data, now_ms);
        }
    }
    g_list_free(all);
}

struct gateway *
gateway_new(struct replica *replica, const struct settings *settings,
            struct owner *owner)
{
    struct gateway *gateway = g_new0(struct gateway, 1);
    const struct settings_host *own_host =
        settings_find_host(settings, settings->host);

    gateway->replica = replica;
    gateway->settings = settings;
    gateway->owner = owner;
    gateway->picker = picker_new(settings->host, own_host->data_centre);
    gateway->exchanges = g_hash_table_new(g_direct_hash, g_direct_equal);
    gateway->awaiting_owner = g_hash_table_new(g_int64_hash, g_int64_equal);
    gateway->clock_offsets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gateway->last_request_id = replica_run_id(replica) & 0xffffffffffff;
    gateway->retry_budget = RETRY_BUDGET_MAX / 2;
    return gateway;
}

void
gateway_free(struct gateway *gateway)
{
    if (gateway == NULL) {
        return;
    }
    picker_free(gateway->picker);
    g_hash_table_destroy(gateway->exchanges);
    g_hash_table_destroy(gateway->awaiting_owner);
    g_hash_table_destroy(gateway->clock_offsets);
    g_free(gateway);
}

uint32_t
gateway_in_flight(const struct gateway *gateway)
{
    return g_hash_table_size(gateway->exchanges) +
           (uint32_t)gateway->peer_requests_in_flight;
}

json_t *
gateway_dump(const struct gateway *gateway)
{
    json_t *answers = json_object();

    for (int i = 0; i < FP_ERR_COUNT; i++) {
        if (gateway->answer_counts[i] > 0) {
            json_object_set_new(
                answers, fp_err_row((enum fp_err)i)->name,
                json_integer((json_int_t)gateway->answer_counts[i]));
        }
    }
    return json_pack("{s:I,s:I,s:I,s:I,s:I,s:f,s:o}", "requests",
                     (json_int_t)gateway->requests, "retries",
                     (json_int_t)gateway->retries, "from_other_hosts",
                     (json_int_t)gateway->peer_requests, "came_too_late",
                     (json_int_t)gateway->peer_requests_expired, "in_flight",
                     (json_int_t)gateway_in_flight(gateway), "retry_budget",
                     gateway->retry_budget, "answers", answers);
}
