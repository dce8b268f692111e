/* gateway.c -- callers' requests: admission, choice of owner, retries,
 * at-most-once
 */
#include "node/gateway.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "node/gatewaypriv.h"
#include "node/keys.h"

#define BACKOFF_MS 5u      /* doubles with each try, jittered */
#define OWNER_WAIT_MS 600u /* for a hint while slots change hands */
#define OWNER_LOOK_MS 20u
#define GRACE_MS 150u           /* for an owner's answer at the deadline */
#define BUDGET_PART 0.1         /* retries a request pays into the budget */
#define BUDGET_MAX 50.0         /* saved up at most */
#define IN_PROGRESS_LOOK_MS 25u /* a resend looks for the first outcome */
#define AGE_WINDOW_MS 600000u   /* clocks of two hosts drift little in it */

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

/* Gives the caller its final answer, once. */
static void
answer_caller(struct exchange *exchange, const char *detail)
{
    if (exchange->request == NULL) {
        return;
    }
    exchange->gateway->answers[exchange->err]++;
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
finish(struct exchange *exchange, const char *detail)
{
    answer_caller(exchange, detail);
    free_exchange(exchange);
}

static void
fail(struct exchange *exchange, enum fp_err err, const char *detail)
{
    exchange->err = err;
    finish(exchange, detail);
}

static void
on_outcome(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    struct exchange *exchange = ctx;

    (void)answer;
    if (err != FP_OK) {
        /* The work ran or not as it did; only the record is in doubt, and a
         * resend will learn "may have run" from the intent. */
        log_info(LOG_ROUTE, "An outcome was not recorded: %s.",
                 fp_err_row(err)->name);
    }
    finish(exchange, "");
}

/* Commits what an unrepeatable request came to, then answers. When it
 * certainly did not run its intent is withdrawn, so that the caller may send
 * it again under the same key.
 */
static void
record_outcome(struct exchange *exchange)
{
    struct gateway *gateway = exchange->gateway;
    struct change_outcome change = {
        .run_id = replica_run_id(gateway->replica),
        .not_run = exchange->err != FP_OK &&
                   fp_err_row(exchange->err)->work_status == FP_NOT_RUN,
        .err = exchange->err,
        .status = exchange->status,
    };

    exchange->step = STEP_OUTCOME;
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
                    on_outcome, exchange);
}

static void
conclude(struct exchange *exchange)
{
    if (exchange->recorded) {
        record_outcome(exchange);
    }
    else {
        finish(exchange, "");
    }
}

static bool
may_retry(const struct exchange *exchange)
{
    const struct fp_err_row *row = fp_err_row(exchange->err);

    if (exchange->tries >= TRIES_MAX || exchange->gateway->budget < 1.0 ||
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

/* A refusal for want of room is final once every owner has refused. */
static bool
has_untried_owner(struct exchange *exchange, uint64_t now_ms)
{
    const char *tried[TRIES_MAX];

    for (uint32_t i = 0; i < exchange->tries; i++) {
        tried[i] = exchange->tried[i];
    }
    return picker_choose(exchange->gateway->pick, exchange->service, tried,
                         exchange->tries, 0, now_ms) != NULL;
}

static void
retry_or_conclude(struct exchange *exchange)
{
    uint64_t now_ms = clock_mono_ms();
    uint32_t backoff_ms = BACKOFF_MS << MIN(exchange->tries, 8);
    uint32_t wait_ms =
        backoff_ms / 2 + randombytes_uniform(backoff_ms / 2 + 1);

    if (exchange->err == FP_ERR_NOT_CONNECTED) {
        /* One of the owner's instances took no connection; the owner avoids
         * it now and may well have another. */
        exchange->tried[exchange->tries - 1][0] = '\0';
    }
    if (!may_retry(exchange) || now_ms + wait_ms >= exchange->deadline_ms ||
        !has_untried_owner(exchange, now_ms)) {
        conclude(exchange);
        return;
    }
    exchange->gateway->budget -= 1.0;
    exchange->gateway->retries++;
    exchange->step = STEP_BACKOFF;
    exchange->next_ms = now_ms + wait_ms;
}

static void
take_result(struct exchange *exchange, enum fp_err err, uint32_t status,
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
        conclude(exchange);
        return;
    }
    retry_or_conclude(exchange);
}

static void
on_own_result(void *ctx, const struct owner_result *result)
{
    struct exchange *exchange = ctx;

    picker_request_ended(exchange->gateway->pick,
                         exchange->gateway->settings->host, exchange->service);
    take_result(exchange, result->err, result->status, result->content_type,
                result->body, (uint32_t)result->body_bytes,
                result->retry_after_ms);
}

static void
hand_over(struct exchange *exchange, const char *host, uint64_t now_ms)
{
    struct gateway *gateway = exchange->gateway;
    struct msg_call *msg = &exchange->msg;

    g_strlcpy(exchange->tried[exchange->tries], host, MSG_HOST_BYTES);
    exchange->tries++;
    exchange->step = STEP_OWNER;
    msg->request_id = ++gateway->next_id;
    msg->sent_ms = now_ms;
    msg->budget_ms = (uint32_t)(exchange->deadline_ms - now_ms);
    picker_request_sent(gateway->pick, host, exchange->service);
    if (strcmp(host, gateway->settings->host) == 0) {
        owner_run(gateway->owner, msg, on_own_result, exchange);
        return;
    }
    if (replica_send(gateway->replica, host, &MSG_CALL_SCHEMA, msg) != FP_OK) {
        picker_remove(gateway->pick, host);
        take_result(exchange, FP_ERR_NOT_CONNECTED, 0, "", NULL, 0, 0);
        return;
    }
    g_hash_table_insert(gateway->waiting, &msg->request_id, exchange);
}

/* A host that has just started, or whose owners are just changing, has no hint
 * yet although targets are up: worth a short wait.
 */
static bool
owner_may_come(const struct exchange *exchange, uint64_t now_ms)
{
    GHashTableIter iter;
    struct target *target;

    if (exchange->tries > 0 || now_ms >= exchange->came_ms + OWNER_WAIT_MS) {
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
    const char *tried[TRIES_MAX];
    const char *host;

    if (now_ms >= exchange->deadline_ms) {
        exchange->err = FP_ERR_DEADLINE_EXCEEDED;
        conclude(exchange);
        return;
    }
    if (!replica_fresh(gateway->replica)) {
        exchange->err = FP_ERR_CONFIG_STALE;
        conclude(exchange);
        return;
    }
    for (uint32_t i = 0; i < exchange->tries; i++) {
        tried[i] = exchange->tried[i];
    }
    randombytes_buf(&random, sizeof(random));
    host = picker_choose(gateway->pick, exchange->service, tried,
                         exchange->tries, random, now_ms);
    if (host == NULL && owner_may_come(exchange, now_ms)) {
        exchange->step = STEP_BACKOFF;
        exchange->next_ms = now_ms + OWNER_LOOK_MS;
        return;
    }
    if (host == NULL) {
        exchange->err = FP_ERR_NO_TARGET;
        conclude(exchange);
        return;
    }
    hand_over(exchange, host, now_ms);
}

/* The first request under this key has ended or is past its deadline: this
 * one gets the first one's outcome.
 */
static void
answer_resend(struct exchange *exchange, const struct change_answer *answer)
{
    if (!answer->ended) {
        fail(exchange, FP_ERR_MAY_HAVE_RUN,
             "The first request under this key has no known outcome.");
        return;
    }
    exchange->err = answer->err;
    exchange->status = answer->status;
    g_strlcpy(exchange->content_type, answer->content_type,
              sizeof(exchange->content_type));
    exchange->body = fp_blob_copy(answer->body.data, answer->body.size_bytes);
    finish(exchange, "The outcome of the first request under this key.");
}

/* Another request came first under this key. */
static void
take_earlier(struct exchange *exchange, const struct change_answer *answer)
{
    bool over = clock_wall_ms() > answer->deadline_ms + GRACE_MS * 2;

    if (!answer->ended && answer->err != FP_OK) {
        fail(exchange, answer->err, answer->detail);
    }
    else if (answer->ended || over) {
        answer_resend(exchange, answer);
    }
    else if (clock_mono_ms() + IN_PROGRESS_LOOK_MS >= exchange->deadline_ms) {
        fail(exchange, FP_ERR_IN_PROGRESS, "");
    }
    else {
        exchange->step = STEP_WAIT;
        exchange->next_ms = clock_mono_ms() + IN_PROGRESS_LOOK_MS;
    }
}

static void propose_intent(struct exchange *exchange);

/* Looks at this host's copy of the record; once the intent was withdrawn this
 * request takes its place.
 */
static void
look_again(struct exchange *exchange)
{
    struct change_answer answer = {.err = FP_OK};

    if (cell_find_outcome(replica_cell(exchange->gateway->replica),
                          exchange->msg.team, exchange->msg.idempotency_key,
                          &answer)) {
        take_earlier(exchange, &answer);
    }
    else {
        propose_intent(exchange);
    }
    fp_record_free(&CHANGE_ANSWER_SCHEMA, &answer);
}

static void
on_intent(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    struct exchange *exchange = ctx;

    if (err == FP_ERR_UNKNOWN_OUTCOME) {
        /* The intent may be in the log, but nothing was sent for it: it is
         * this process's own, so it can be withdrawn as not run. */
        exchange->recorded = true;
        exchange->err = FP_ERR_NO_LEADER;
        record_outcome(exchange);
        return;
    }
    if (err != FP_OK) {
        fail(exchange, err, "");
        return;
    }
    if (answer->first) {
        exchange->recorded = true;
        try_owner(exchange); /* past the deadline it only withdraws */
        return;
    }
    take_earlier(exchange, answer);
}

static void
propose_intent(struct exchange *exchange)
{
    struct gateway *gateway = exchange->gateway;
    struct change_intent change = {.run_id = replica_run_id(gateway->replica),
                                   .deadline_ms = clock_wall_ms() +
                                                  exchange->deadline_ms -
                                                  clock_mono_ms()};
    const char *texts[] = {method_of(exchange), exchange->msg.path,
                           exchange->msg.queue, exchange->msg.content_type};

    exchange->step = STEP_INTENT;
    g_strlcpy(change.team, exchange->msg.team, sizeof(change.team));
    g_strlcpy(change.key, exchange->msg.idempotency_key, sizeof(change.key));
    key_digest(texts, 4, exchange->msg.body.data,
               exchange->msg.body.size_bytes, change.digest);
    replica_propose(gateway->replica, &CHANGE_INTENT_SCHEMA, &change,
                    on_intent, exchange);
}

void
gateway_call(struct gateway *gateway, struct http_request *request)
{
    struct exchange *exchange = g_new0(struct exchange, 1);
    char detail[160] = "";
    enum fp_err err;

    gateway->requests++;
    gateway->budget = MIN(gateway->budget + BUDGET_PART, BUDGET_MAX);
    exchange->gateway = gateway;
    exchange->request = request;
    exchange->came_ms = clock_mono_ms();
    g_hash_table_add(gateway->exchanges, exchange);
    err = gateway_admit(exchange, detail, sizeof(detail));
    if (err != FP_OK) {
        fail(exchange, err, detail);
        return;
    }
    if (exchange->msg.idempotency_key[0] != '\0') {
        propose_intent(exchange);
    }
    else {
        try_owner(exchange);
    }
}

/* How long a message was on its way, beyond the fastest seen from its host.
 */
static uint64_t
message_age_ms(struct gateway *gateway, const char *host, uint64_t sent_ms,
               uint64_t now_ms)
{
    struct offset *offset = g_hash_table_lookup(gateway->offsets, host);
    int64_t difference = (int64_t)now_ms - (int64_t)sent_ms;

    if (offset == NULL || now_ms > offset->since_ms + AGE_WINDOW_MS) {
        offset = g_new0(struct offset, 1);
        offset->least_ms = difference;
        offset->since_ms = now_ms;
        g_hash_table_replace(gateway->offsets, g_strdup(host), offset);
    }
    offset->least_ms = MIN(offset->least_ms, difference);
    return (uint64_t)(difference - offset->least_ms);
}

static void
send_reply(struct gateway *gateway, const struct foreign *foreign,
           const struct owner_result *result)
{
    struct msg_call_reply reply = {
        .request_id = foreign->request_id,
        .err = result->err,
        .status = result->status,
        .retry_after_ms = result->retry_after_ms,
    };

    g_strlcpy(reply.content_type, result->content_type,
              sizeof(reply.content_type));
    g_strlcpy(reply.target, result->target, sizeof(reply.target));
    reply.body.data = (uint8_t *)result->body;
    reply.body.size_bytes = (uint32_t)result->body_bytes;
    replica_send(gateway->replica, foreign->host, &MSG_CALL_REPLY_SCHEMA,
                 &reply);
}

static void
on_foreign_result(void *ctx, const struct owner_result *result)
{
    struct foreign *foreign = ctx;

    foreign->gateway->foreign_in_flight--;
    send_reply(foreign->gateway, foreign, result);
    g_free(foreign);
}

/* A request that lay in some queue past its deadline is not begun. */
static void
on_foreign_call(struct gateway *gateway, const char *from,
                const struct msg_call *msg)
{
    struct foreign *foreign = g_new0(struct foreign, 1);
    struct msg_call copy = *msg;
    uint64_t age_ms =
        message_age_ms(gateway, from, msg->sent_ms, clock_mono_ms());

    gateway->foreign++;
    gateway->foreign_in_flight++;
    foreign->gateway = gateway;
    foreign->request_id = msg->request_id;
    g_strlcpy(foreign->host, from, sizeof(foreign->host));
    if (age_ms >= msg->budget_ms) {
        struct owner_result late = {
            .err = FP_ERR_DEADLINE_EXCEEDED, .content_type = "", .target = ""};

        gateway->expired++;
        on_foreign_result(foreign, &late);
        return;
    }
    copy.budget_ms -= (uint32_t)age_ms;
    owner_run(gateway->owner, &copy, on_foreign_result, foreign);
}

static void
on_call_reply(struct gateway *gateway, const char *from,
              const struct msg_call_reply *msg)
{
    struct exchange *exchange =
        g_hash_table_lookup(gateway->waiting, &msg->request_id);

    /* An answer that comes late, or from another than was asked last. */
    if (exchange == NULL ||
        strcmp(exchange->tried[exchange->tries - 1], from) != 0) {
        return;
    }
    g_hash_table_remove(gateway->waiting, &msg->request_id);
    picker_request_ended(gateway->pick, from, exchange->service);
    take_result(exchange, msg->err, msg->status, msg->content_type,
                msg->body.data, msg->body.size_bytes, msg->retry_after_ms);
}

void
gateway_message(struct gateway *gateway, const char *from, uint32_t type,
                const void *msg)
{
    if (type == MSG_CALL) {
        on_foreign_call(gateway, from, msg);
    }
    else if (type == MSG_CALL_REPLY) {
        on_call_reply(gateway, from, msg);
    }
}

void
gateway_hint(struct gateway *gateway, const struct msg_hint *hint)
{
    const struct settings_host *host =
        settings_find(gateway->settings, hint->host);
    uint64_t now_ms = clock_mono_ms();

    if (host == NULL) {
        return;
    }
    if (strcmp(hint->host, gateway->settings->host) != 0) {
        message_age_ms(gateway, hint->host, hint->sent_ms, now_ms);
    }
    if (hint->leaving) {
        picker_remove(gateway->pick, hint->host);
        return;
    }
    picker_update(gateway->pick, hint, host->data_centre, now_ms);
}

static void
advance(struct exchange *exchange, uint64_t now_ms)
{
    switch (exchange->step) {
    case STEP_OWNER:
        if (now_ms >= exchange->deadline_ms + GRACE_MS &&
            g_hash_table_remove(exchange->gateway->waiting,
                                &exchange->msg.request_id)) {
            picker_request_ended(exchange->gateway->pick,
                                 exchange->tried[exchange->tries - 1],
                                 exchange->service);
            exchange->err = FP_ERR_MAY_HAVE_RUN;
            conclude(exchange);
        }
        break;
    case STEP_BACKOFF:
        if (now_ms >= exchange->next_ms) {
            try_owner(exchange);
        }
        break;
    case STEP_WAIT:
        if (now_ms >= exchange->next_ms) {
            look_again(exchange);
        }
        break;
    case STEP_INTENT:
        if (now_ms >= exchange->deadline_ms) {
            exchange->err = FP_ERR_DEADLINE_EXCEEDED;
            answer_caller(exchange, "");
        }
        break;
    case STEP_OUTCOME:
        if (now_ms >= exchange->deadline_ms + GRACE_MS) {
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
            advance(at->data, now_ms);
        }
    }
    g_list_free(all);
}

struct gateway *
gateway_new(struct replica *replica, const struct settings *settings,
            struct owner *owner)
{
    struct gateway *gateway = g_new0(struct gateway, 1);
    const struct settings_host *own = settings_find(settings, settings->host);

    gateway->replica = replica;
    gateway->settings = settings;
    gateway->owner = owner;
    gateway->pick = picker_new(settings->host, own->data_centre);
    gateway->exchanges = g_hash_table_new(g_direct_hash, g_direct_equal);
    gateway->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
    gateway->offsets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gateway->next_id = replica_run_id(replica) & 0xffffffffffff;
    gateway->budget = BUDGET_MAX / 2;
    return gateway;
}

void
gateway_free(struct gateway *gateway)
{
    if (gateway == NULL) {
        return;
    }
    picker_free(gateway->pick);
    g_hash_table_destroy(gateway->exchanges);
    g_hash_table_destroy(gateway->waiting);
    g_hash_table_destroy(gateway->offsets);
    g_free(gateway);
}

uint32_t
gateway_in_flight(const struct gateway *gateway)
{
    return g_hash_table_size(gateway->exchanges) +
           (uint32_t)gateway->foreign_in_flight;
}

json_t *
gateway_dump(const struct gateway *gateway)
{
    json_t *answers = json_object();

    for (int i = 0; i < FP_ERR_COUNT; i++) {
        if (gateway->answers[i] > 0) {
            json_object_set_new(answers, fp_err_row((enum fp_err)i)->name,
                                json_integer((json_int_t)gateway->answers[i]));
        }
    }
    return json_pack("{s:I,s:I,s:I,s:I,s:I,s:f,s:o}", "requests",
                     (json_int_t)gateway->requests, "retries",
                     (json_int_t)gateway->retries, "from_other_hosts",
                     (json_int_t)gateway->foreign, "came_too_late",
                     (json_int_t)gateway->expired, "in_flight",
                     (json_int_t)gateway_in_flight(gateway), "retry_budget",
                     gateway->budget, "answers", answers);
}
