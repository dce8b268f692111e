/* relay.c -- calls to the leader of a fleet, from any of its hosts */
#include "node/relay.h"

#include <glib.h>
#include <string.h>

#include "base/event.h"

#define TICK_MS 10u
#define ATTEMPT_MS 450u      /* an unanswered copy is followed by another */
#define NOT_LED_PAUSE_MS 40u /* before the next host is asked */
#define HOSTS_MAX 64u
/* Without any answer of a leader for this long, calls are refused at once: an
 * election takes less, and callers do better at another host. */
#define SILENT_MS 1300u

/* One call of this host on its way. */
struct outgoing {
    uint64_t request_id;
    uint32_t kind;
    struct fp_blob body;
    bool fixed;                /* to one host, once */
    char host[MSG_HOST_BYTES]; /* where the last copy went */
    uint32_t open;             /* copies that may still be looked at */
    uint32_t copies;
    uint64_t began_ms;
    uint64_t next_ms; /* the next copy */
    uint64_t end_ms;
    relay_done done;
    void *ctx;
};

struct relay {
    struct bus *bus;
    struct relay_ops ops;
    struct relay_counters counters;
    char own[MSG_HOST_BYTES];
    char leader[MSG_HOST_BYTES]; /* as the last answer told */
    GPtrArray *hosts;            /* names, that may lead */
    guint next_host;
    GHashTable *calls; /* request ID to struct outgoing */
    uint64_t next_request;
    uint64_t heard_ms;
    bool silent; /* no leader answers */
};

static void
free_call(void *item)
{
    struct outgoing *call = item;

    fp_blob_free(&call->body);
    g_free(call);
}

static void
finish(struct relay *relay, struct outgoing *call, enum fp_err err,
       const struct call_answer *answer)
{
    static const struct call_answer none;

    if (err == FP_OK && call->kind <= CALL_ADVISE) {
        histogram_add(&relay->counters.took_ms[call->kind],
                      clock_mono_ms() - call->began_ms);
    }
    g_hash_table_steal(relay->calls, &call->request_id);
    call->done(call->ctx, err, answer != NULL ? answer : &none);
    free_call(call);
}

const char *
relay_leader(const struct relay *relay)
{
    if (relay->ops.leader != NULL) {
        const char *leader = relay->ops.leader(relay->ops.ctx);

        if (leader[0] != '\0') {
            return leader;
        }
    }
    return relay->leader;
}

/* The believed leader first; after that the others in turn. */
static const char *
choose(struct relay *relay, const struct outgoing *call)
{
    const char *leader = relay_leader(relay);

    if (call->fixed) {
        return call->host;
    }
    if (leader[0] != '\0' && strcmp(leader, call->host) != 0) {
        return leader;
    }
    if (relay->hosts->len == 0) {
        return leader;
    }
    return relay->hosts->pdata[relay->next_host++ % relay->hosts->len];
}

static void
take_locally(struct relay *relay, const struct outgoing *call)
{
    struct relay_caller caller = {.request_id = call->request_id};
    struct fp_blob body = call->body;

    g_strlcpy(caller.host, relay->own, sizeof(caller.host));
    relay->ops.called(relay->ops.ctx, &caller, call->kind, &body);
}

/* Sends one copy. A local one may end the call at once: the call must not be
 * used after this. */
static void
send_copy(struct relay *relay, struct outgoing *call, uint64_t now_ms)
{
    const char *host = choose(relay, call);
    struct msg_forward msg = {.request_id = call->request_id,
                              .kind = call->kind,
                              .body = call->body};

    if (host[0] == '\0') {
        call->next_ms = now_ms + NOT_LED_PAUSE_MS;
        return;
    }
    if (host != call->host) {
        g_strlcpy(call->host, host, sizeof(call->host));
    }
    relay->counters.sent++;
    relay->counters.retried += call->copies > 0;
    call->copies++;
    call->next_ms = now_ms + ATTEMPT_MS;
    if (strcmp(call->host, relay->own) == 0) {
        call->open++;
        take_locally(relay, call);
    }
    else if (bus_send(relay->bus, call->host, &MSG_FORWARD_SCHEMA, &msg) ==
             FP_OK) {
        call->open++;
    }
    else if (call->fixed) {
        call->began_ms = clock_mono_ms();
        call->end_ms = now_ms; /* ends with the next tick, not in here */
    }
    else {
        call->next_ms = now_ms + NOT_LED_PAUSE_MS;
    }
}

/* No leader has answered for long: held calls and new ones are ended. Pings
 * go on, and find the leader again. */
static bool
is_hopeless(const struct relay *relay, const struct outgoing *call,
            uint64_t now_ms)
{
    return !call->fixed && call->kind != CALL_PING &&
           now_ms > relay->heard_ms + SILENT_MS;
}

static void
advance(struct relay *relay, struct outgoing *call, uint64_t now_ms)
{
    if (now_ms >= call->end_ms || is_hopeless(relay, call, now_ms)) {
        relay->counters.timed_out++;
        finish(relay, call,
               call->open > 0 ? FP_ERR_UNKNOWN_OUTCOME : FP_ERR_NO_LEADER,
               NULL);
    }
    else if (now_ms >= call->next_ms && !call->fixed) {
        send_copy(relay, call, now_ms);
    }
}

static void
on_tick(void *ctx, uint64_t now_ms)
{
    struct relay *relay = ctx;
    GList *all = g_hash_table_get_values(relay->calls);

    if (!relay->silent && now_ms > relay->heard_ms + SILENT_MS) {
        relay->silent = true;
        EVENT(EVENT_LEADER_LOST, EVENT_STR("leader", relay_leader(relay)),
              EVENT_INT("silent_ms", SILENT_MS));
    }
    for (GList *at = all; at != NULL; at = at->next) {
        advance(relay, at->data, now_ms);
    }
    g_list_free(all);
}

struct relay *
relay_new(struct timers *timers, struct bus *bus, const char *own_host,
          const struct relay_ops *ops)
{
    struct relay *relay = g_new0(struct relay, 1);

    relay->bus = bus;
    relay->ops = *ops;
    g_strlcpy(relay->own, own_host, sizeof(relay->own));
    relay->hosts = g_ptr_array_new_with_free_func(g_free);
    relay->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
    /* Answers to an earlier process of this host must not fit. */
    relay->next_request = clock_wall_ms() << 16;
    relay->silent = true; /* until the first answer */
    timers_subscribe(timers, TICK_MS, on_tick, relay);
    return relay;
}

void
relay_free(struct relay *relay)
{
    GList *all;

    if (relay == NULL) {
        return;
    }
    all = g_hash_table_get_values(relay->calls);
    for (GList *at = all; at != NULL; at = at->next) {
        struct outgoing *call = at->data;

        finish(relay, call,
               call->open > 0 ? FP_ERR_UNKNOWN_OUTCOME : FP_ERR_NO_LEADER,
               NULL);
    }
    g_list_free(all);
    g_hash_table_destroy(relay->calls);
    g_ptr_array_free(relay->hosts, TRUE);
    g_free(relay);
}

void
relay_learn(struct relay *relay, const char *host)
{
    for (guint i = 0; i < relay->hosts->len; i++) {
        if (strcmp(relay->hosts->pdata[i], host) == 0) {
            return;
        }
    }
    if (relay->hosts->len >= HOSTS_MAX) {
        g_ptr_array_remove_index(relay->hosts, 0);
    }
    g_ptr_array_add(relay->hosts, g_strdup(host));
    bus_connect(relay->bus, host);
}

static struct outgoing *
add_call(struct relay *relay, uint32_t kind, const struct fp_schema *schema,
         const void *record, uint32_t timeout_ms, relay_done done, void *ctx)
{
    struct outgoing *call = g_new0(struct outgoing, 1);

    call->request_id = ++relay->next_request;
    call->kind = kind;
    fp_encode(schema, record, &call->body);
    call->end_ms = clock_mono_ms() + timeout_ms;
    call->done = done;
    call->ctx = ctx;
    relay->counters.calls++;
    g_hash_table_insert(relay->calls, &call->request_id, call);
    return call;
}

void
relay_call(struct relay *relay, uint32_t kind, const struct fp_schema *schema,
           const void *record, uint32_t timeout_ms, relay_done done, void *ctx)
{
    uint64_t now_ms = clock_mono_ms();
    struct outgoing *call =
        add_call(relay, kind, schema, record, timeout_ms, done, ctx);

    if (is_hopeless(relay, call, now_ms)) {
        finish(relay, call, FP_ERR_NO_LEADER, NULL);
    }
    else {
        send_copy(relay, call, now_ms);
    }
}

void
relay_call_host(struct relay *relay, const char *host, uint32_t kind,
                const struct fp_schema *schema, const void *record,
                uint32_t timeout_ms, relay_done done, void *ctx)
{
    struct outgoing *call =
        add_call(relay, kind, schema, record, timeout_ms, done, ctx);

    call->fixed = true;
    g_strlcpy(call->host, host, sizeof(call->host));
    send_copy(relay, call, clock_mono_ms());
}

/* A host answered that it does not lead: this copy is accounted for. */
static void
not_led(struct relay *relay, struct outgoing *call, const char *from,
        const char *leader)
{
    call->open -= MIN(call->open, 1);
    if (call->fixed) {
        finish(relay, call, FP_ERR_NO_LEADER, NULL);
        return;
    }
    if (strcmp(relay->leader, from) == 0) {
        relay->leader[0] = '\0';
    }
    if (leader[0] != '\0' && strcmp(leader, from) != 0) {
        relay_learn(relay, leader);
        g_strlcpy(relay->leader, leader, sizeof(relay->leader));
    }
    call->next_ms = MIN(call->next_ms, clock_mono_ms() + NOT_LED_PAUSE_MS);
    /* The same host may be asked again, once it has learned more. */
    call->host[0] = '\0';
}

static void
take_answer(struct relay *relay, const char *from,
            const struct msg_forward_reply *msg)
{
    struct outgoing *call =
        g_hash_table_lookup(relay->calls, &msg->request_id);
    struct call_answer answer;

    if (call == NULL) {
        return;
    }
    if (msg->err == FP_ERR_NO_LEADER) {
        not_led(relay, call, from, msg->leader_host);
        return;
    }
    if (fp_decode(&CALL_ANSWER_SCHEMA, msg->body.data, msg->body.size_bytes,
                  &answer) != FP_OK) {
        return; /* as good as lost */
    }
    if (!call->fixed) {
        if (relay->silent) {
            EVENT(EVENT_LEADER_FOUND, EVENT_STR("leader", from),
                  EVENT_INT("silent_ms",
                            relay->heard_ms == 0
                                ? 0
                                : clock_mono_ms() - relay->heard_ms));
        }
        relay->silent = false;
        relay->heard_ms = clock_mono_ms();
        if (strcmp(relay->leader, from) != 0) {
            g_strlcpy(relay->leader, from, sizeof(relay->leader));
        }
    }
    call->open -= MIN(call->open, 1);
    /* A refusal is final only when no other copy is out. */
    if (call->kind == CALL_SUBMIT && answer.err != FP_OK && call->open > 0) {
        finish(relay, call, FP_ERR_UNKNOWN_OUTCOME, NULL);
    }
    else {
        finish(relay, call, FP_OK, &answer);
    }
    fp_record_free(&CALL_ANSWER_SCHEMA, &answer);
}

void
relay_answer(struct relay *relay, const struct relay_caller *caller,
             enum fp_err err, const struct call_answer *answer)
{
    struct msg_forward_reply reply = {.request_id = caller->request_id,
                                      .err = err};

    if (err == FP_ERR_NO_LEADER) {
        g_strlcpy(reply.leader_host, relay_leader(relay),
                  sizeof(reply.leader_host));
    }
    else {
        fp_encode(&CALL_ANSWER_SCHEMA, answer, &reply.body);
    }
    if (strcmp(caller->host, relay->own) == 0) {
        take_answer(relay, relay->own, &reply);
    }
    else {
        relay->counters.answered++;
        /* When this fails the caller asks again. */
        bus_send(relay->bus, caller->host, &MSG_FORWARD_REPLY_SCHEMA, &reply);
    }
    fp_blob_free(&reply.body);
}

void
relay_message(struct relay *relay, const char *from, uint32_t type,
              const void *msg)
{
    const struct msg_forward *forward = msg;
    struct relay_caller caller;

    if (type == MSG_FORWARD_REPLY) {
        take_answer(relay, from, msg);
        return;
    }
    g_strlcpy(caller.host, from, sizeof(caller.host));
    caller.request_id = forward->request_id;
    relay->ops.called(relay->ops.ctx, &caller, forward->kind, &forward->body);
}

uint64_t
relay_heard_ms(const struct relay *relay)
{
    return relay->heard_ms;
}

const struct relay_counters *
relay_counters(const struct relay *relay)
{
    return &relay->counters;
}

uint32_t
relay_in_flight(const struct relay *relay)
{
    return g_hash_table_size(relay->calls);
}
