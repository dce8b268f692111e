/* relay.c -- calls to the leader of a fleet, from any of its hosts */
#include "node/relay.h"

#include <glib.h>
#include <string.h>

#include "base/event.h"
#include "core/resend.h"

#define TICK_INTERVAL_MS 10u
#define NOT_SENT_DELAY_MS 40u /* before another host is called */
#define KNOWN_HOSTS_MAX 64u
#define CALLERS_MAX 4096u
#define INTRODUCTION_TIMEOUT_MS 1000u
/* Request ID of a reply that answers no call: its sender begins to lead. */
#define ANNOUNCEMENT_ID 0u
/* Once no leader has answered for this long, calls fail at once: an election
 * takes less time, so this host is probably cut off, and its clients should
 * retry at another host. A host that starts waits as long for its first
 * answer: when all hosts restart, it may be up before those that elect the
 * leader. */
#define LEADER_TIMEOUT_MS 1300u

/* A call of this host that has not ended. */
struct outgoing_call {
    uint64_t request_id;
    uint32_t kind;
    struct fp_blob body;
    bool single_host;          /* sent to one given host, without retries */
    char host[MSG_HOST_BYTES]; /* last host that a copy was sent to */
    char first_host[MSG_HOST_BYTES]; /* to which the first copy was sent */
    uint32_t open_copies;            /* copies that may still be processed */
    uint32_t sent_copies;
    uint32_t refusals; /* by hosts that do not lead, since the last leader */
    uint64_t start_ms;
    uint64_t resend_ms; /* when to send the next copy */
    uint64_t deadline_ms;
    relay_done done;
    void *ctx;
};

struct relay {
    struct bus *bus;
    struct relay_ops ops;
    struct relay_counters counters;
    char own_host[MSG_HOST_BYTES];
    char leader[MSG_HOST_BYTES]; /* as of the last answer; "": not known */
    GPtrArray *hosts;            /* names of hosts that may lead */
    guint next_host;
    GHashTable *calls;   /* request ID to struct outgoing_call */
    GHashTable *callers; /* set of the hosts that have called this one */
    GHashTable *handled; /* set of struct relay_caller: calls on this host that
                          * are not answered yet */
    struct resend_times answer_times[CALL_KIND_COUNT]; /* of the leader */
    uint64_t last_request_id;
    uint64_t started_ms;
    uint64_t leader_heard_ms; /* 0: never */
    bool leader_silent;       /* no answer within LEADER_TIMEOUT_MS */
};

static void
free_call(void *item)
{
    struct outgoing_call *call = item;

    fp_blob_free(&call->body);
    g_free(call);
}

static void
finish_call(struct relay *relay, struct outgoing_call *call, enum fp_err err,
            const struct call_answer *answer)
{
    static const struct call_answer none;

    if (err == FP_OK && call->kind < CALL_KIND_COUNT) {
        histogram_add(&relay->counters.latency_ms[call->kind],
                      clock_mono_ms() - call->start_ms);
    }
    g_hash_table_steal(relay->calls, &call->request_id);
    call->done(call->ctx, err, answer != NULL ? answer : &none);
    free_call(call);
}

const char *
relay_leader(const struct relay *relay)
{
    if (relay->ops.leader_host != NULL) {
        const char *leader = relay->ops.leader_host(relay->ops.ctx);

        if (leader[0] != '\0') {
            return leader;
        }
    }
    return relay->leader;
}

/* Chooses the believed leader or, if the last copy was sent there, the next
 * known host in turn. Returns "" when no host is known. */
static const char *
choose_host(struct relay *relay, const struct outgoing_call *call)
{
    const char *leader = relay_leader(relay);

    if (call->single_host) {
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

static guint
hash_caller(gconstpointer item)
{
    const struct relay_caller *caller = item;

    return g_str_hash(caller->host) ^ g_int64_hash(&caller->request_id);
}

static gboolean
equal_callers(gconstpointer a, gconstpointer b)
{
    const struct relay_caller *caller = a;
    const struct relay_caller *other = b;

    return caller->request_id == other->request_id &&
           strcmp(caller->host, other->host) == 0;
}

/* Workload: changes take long to be stored, and each is sent again meanwhile.
 * A copy of a call that is being handled would be one more change to store;
 * the answer to the first copy answers it too. A host that no longer leads
 * refuses the copy. */
static void
handle_call(struct relay *relay, const struct relay_caller *caller,
            uint32_t kind, const struct fp_blob *body)
{
    if (g_hash_table_contains(relay->handled, caller) &&
        strcmp(relay_leader(relay), relay->own_host) == 0) {
        relay->counters.repeated++;
        return;
    }
    g_hash_table_add(relay->handled, g_memdup2(caller, sizeof(*caller)));
    relay->ops.on_call(relay->ops.ctx, caller, kind, body);
}

static void
handle_locally(struct relay *relay, const struct outgoing_call *call)
{
    struct relay_caller caller = {.request_id = call->request_id};
    struct fp_blob body = call->body;

    g_strlcpy(caller.host, relay->own_host, sizeof(caller.host));
    handle_call(relay, &caller, call->kind, &body);
}

static uint32_t
pause_ms(const struct relay *relay, const struct outgoing_call *call)
{
    static const struct resend_times unmeasured;
    const struct resend_times *times = call->kind < CALL_KIND_COUNT
                                           ? &relay->answer_times[call->kind]
                                           : &unmeasured;

    return resend_pause_ms(times, call->open_copies);
}

/* Records how long a host has taken for a call, or has had it so far. A call
 * that went to another host first says little about this one. */
static void
note_answer_time(struct relay *relay, const struct outgoing_call *call,
                 const char *host, uint64_t now_ms)
{
    if (call->kind < CALL_KIND_COUNT && !call->single_host &&
        strcmp(call->first_host, host) == 0) {
        resend_note_answer(&relay->answer_times[call->kind],
                           now_ms - call->start_ms);
    }
}

/* Sends one copy of a call. A copy to this host itself may be answered, and
 * the call freed, before this returns: the caller must not use it afterwards.
 */
static void
send_copy(struct relay *relay, struct outgoing_call *call, uint64_t now_ms)
{
    const char *host = choose_host(relay, call);
    struct msg_forward msg = {.request_id = call->request_id,
                              .kind = call->kind,
                              .body = call->body};

    if (host[0] == '\0') {
        call->resend_ms = now_ms + NOT_SENT_DELAY_MS;
        return;
    }
    if (host != call->host) {
        g_strlcpy(call->host, host, sizeof(call->host));
    }
    relay->counters.sent++;
    relay->counters.retried += call->sent_copies > 0;
    if (call->sent_copies == 0) {
        g_strlcpy(call->first_host, call->host, sizeof(call->first_host));
    }
    call->sent_copies++;
    if (strcmp(call->host, relay->own_host) == 0) {
        call->open_copies++;
        call->resend_ms = now_ms + pause_ms(relay, call);
        handle_locally(relay, call);
    }
    else if (bus_send(relay->bus, call->host, &MSG_FORWARD_SCHEMA, &msg) ==
             FP_OK) {
        call->open_copies++;
        call->resend_ms = now_ms + pause_ms(relay, call);
    }
    else if (call->single_host) {
        call->deadline_ms = now_ms; /* the next tick ends the call */
    }
    else {
        call->resend_ms = now_ms + NOT_SENT_DELAY_MS;
    }
}

/* Whether a call ends with an error because no leader has answered for
 * LEADER_TIMEOUT_MS. Pings are still sent: they find the next leader. */
static bool
should_fail_fast(const struct relay *relay, const struct outgoing_call *call,
                 uint64_t now_ms)
{
    return !call->single_host && call->kind != CALL_PING &&
           now_ms > MAX(relay->leader_heard_ms, relay->started_ms) +
                        LEADER_TIMEOUT_MS;
}

static void
advance_call(struct relay *relay, struct outgoing_call *call, uint64_t now_ms)
{
    if (now_ms >= call->deadline_ms || should_fail_fast(relay, call, now_ms)) {
        relay->counters.timed_out++;
        if (now_ms >= call->deadline_ms && call->open_copies > 0) {
            note_answer_time(relay, call, call->host, now_ms);
        }
        finish_call(relay, call,
                    call->open_copies > 0 ? FP_ERR_UNKNOWN_OUTCOME
                                          : FP_ERR_NO_LEADER,
                    NULL);
    }
    else if (now_ms >= call->resend_ms && !call->single_host) {
        send_copy(relay, call, now_ms);
    }
}

static void
on_tick(void *ctx, uint64_t now_ms)
{
    struct relay *relay = ctx;
    GList *all = g_hash_table_get_values(relay->calls);

    if (!relay->leader_silent &&
        now_ms > relay->leader_heard_ms + LEADER_TIMEOUT_MS) {
        relay->leader_silent = true;
        EVENT(EVENT_LEADER_LOST, EVENT_STR("leader", relay_leader(relay)),
              EVENT_INT("silent_ms", LEADER_TIMEOUT_MS));
    }
    for (GList *at = all; at != NULL; at = at->next) {
        advance_call(relay, at->data, now_ms);
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
    g_strlcpy(relay->own_host, own_host, sizeof(relay->own_host));
    relay->hosts = g_ptr_array_new_with_free_func(g_free);
    relay->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
    relay->callers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    relay->handled =
        g_hash_table_new_full(hash_caller, equal_callers, g_free, NULL);
    /* Request IDs must not repeat those of an earlier process on this host,
     * whose answers may still arrive. */
    relay->last_request_id = clock_wall_ms() << 16;
    relay->started_ms = clock_mono_ms();
    relay->leader_silent = true; /* until the first answer */
    timers_subscribe(timers, TICK_INTERVAL_MS, on_tick, relay);
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
        struct outgoing_call *call = at->data;

        finish_call(relay, call,
                    call->open_copies > 0 ? FP_ERR_UNKNOWN_OUTCOME
                                          : FP_ERR_NO_LEADER,
                    NULL);
    }
    g_list_free(all);
    g_hash_table_destroy(relay->calls);
    g_hash_table_destroy(relay->callers);
    g_hash_table_destroy(relay->handled);
    g_ptr_array_free(relay->hosts, TRUE);
    g_free(relay);
}

void
relay_add_host(struct relay *relay, const char *host)
{
    for (guint i = 0; i < relay->hosts->len; i++) {
        if (strcmp(relay->hosts->pdata[i], host) == 0) {
            return;
        }
    }
    if (relay->hosts->len >= KNOWN_HOSTS_MAX) {
        g_ptr_array_remove_index(relay->hosts, 0);
    }
    g_ptr_array_add(relay->hosts, g_strdup(host));
    bus_connect(relay->bus, host);
}

static struct outgoing_call *
add_call(struct relay *relay, uint32_t kind, const struct fp_schema *schema,
         const void *record, uint32_t timeout_ms, relay_done done, void *ctx)
{
    struct outgoing_call *call = g_new0(struct outgoing_call, 1);

    call->request_id = ++relay->last_request_id;
    call->kind = kind;
    fp_encode(schema, record, &call->body);
    call->start_ms = clock_mono_ms();
    call->deadline_ms = call->start_ms + timeout_ms;
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
    struct outgoing_call *call =
        add_call(relay, kind, schema, record, timeout_ms, done, ctx);

    if (should_fail_fast(relay, call, now_ms)) {
        finish_call(relay, call, FP_ERR_NO_LEADER, NULL);
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
    struct outgoing_call *call =
        add_call(relay, kind, schema, record, timeout_ms, done, ctx);

    call->single_host = true;
    g_strlcpy(call->host, host, sizeof(call->host));
    send_copy(relay, call, clock_mono_ms());
}

static void
on_introduced(void *ctx, enum fp_err err, const struct call_answer *answer)
{
    (void)ctx;
    (void)err; /* the host has called nobody, or answers later pings */
    (void)answer;
}

void
relay_introduce(struct relay *relay, const char *host)
{
    const struct call_ping ping = {.helper = 0};

    relay_call_host(relay, host, CALL_PING, &CALL_PING_SCHEMA, &ping,
                    INTRODUCTION_TIMEOUT_MS, on_introduced, NULL);
}

void
relay_announce_leadership(struct relay *relay)
{
    struct msg_forward_reply announcement = {.request_id = ANNOUNCEMENT_ID,
                                             .err = FP_ERR_NO_LEADER};
    GHashTableIter iter;
    const char *host;

    g_strlcpy(announcement.leader_host, relay->own_host,
              sizeof(announcement.leader_host));
    g_hash_table_iter_init(&iter, relay->callers);
    while (g_hash_table_iter_next(&iter, (gpointer *)&host, NULL)) {
        /* Who is not told finds the leader by its next call. */
        bus_send(relay->bus, host, &MSG_FORWARD_REPLY_SCHEMA, &announcement);
    }
}

/* A host answered that it does not lead, so it did not process its copy. */
static void
on_not_leader(struct relay *relay, struct outgoing_call *call,
              const char *from, const char *leader)
{
    call->open_copies -= MIN(call->open_copies, 1);
    if (strcmp(relay->leader, from) == 0) {
        relay->leader[0] = '\0';
    }
    /* Another host's introduction may name an earlier leader. */
    if (leader[0] != '\0' && strcmp(leader, from) != 0 &&
        (!call->single_host || relay->leader[0] == '\0')) {
        relay_add_host(relay, leader);
        g_strlcpy(relay->leader, leader, sizeof(relay->leader));
    }
    if (call->single_host) {
        finish_call(relay, call, FP_ERR_NO_LEADER, NULL);
        return;
    }
    call->refusals++;
    call->resend_ms =
        MIN(call->resend_ms,
            clock_mono_ms() + resend_refused_pause_ms(call->refusals));
    /* The same host may be called again: it may lead by then. */
    call->host[0] = '\0';
}

/* Returns whether the host was not known to lead. */
static bool
note_leader(struct relay *relay, const char *host)
{
    uint64_t now_ms = clock_mono_ms();
    const bool is_new =
        relay->leader_silent || strcmp(relay->leader, host) != 0;

    if (relay->leader_silent) {
        EVENT(EVENT_LEADER_FOUND, EVENT_STR("leader", host),
              EVENT_INT("silent_ms", relay->leader_heard_ms == 0
                                         ? 0
                                         : now_ms - relay->leader_heard_ms));
    }
    relay->leader_silent = false;
    relay->leader_heard_ms = now_ms;
    if (strcmp(relay->leader, host) != 0) {
        g_strlcpy(relay->leader, host, sizeof(relay->leader));
        memset(relay->answer_times, 0, sizeof(relay->answer_times));
    }
    return is_new;
}

/* Workload: the leader or all hosts are lost with calls under way, each of
 * which would be sent again only after its pause. The next
 * tick sends them: a call that is handled on this host ends within
 * advance_call(), and its answer may come from there. */
static void
hasten_waiting_calls(struct relay *relay, const char *host)
{
    uint64_t now_ms = clock_mono_ms();
    GHashTableIter iter;
    struct outgoing_call *call;

    g_hash_table_iter_init(&iter, relay->calls);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&call)) {
        if (!call->single_host && strcmp(call->host, host) != 0) {
            call->resend_ms = now_ms;
            call->refusals = 0;
        }
    }
}

static void
handle_answer(struct relay *relay, const char *from,
              const struct msg_forward_reply *msg)
{
    struct outgoing_call *call =
        g_hash_table_lookup(relay->calls, &msg->request_id);
    struct call_answer answer;

    if (msg->request_id == ANNOUNCEMENT_ID &&
        strcmp(msg->leader_host, from) == 0) {
        note_leader(relay, from);
        hasten_waiting_calls(relay, from);
    }
    if (call == NULL) {
        return;
    }
    if (msg->err == FP_ERR_NO_LEADER) {
        on_not_leader(relay, call, from, msg->leader_host);
        return;
    }
    if (fp_decode(&CALL_ANSWER_SCHEMA, msg->body.data, msg->body.size_bytes,
                  &answer) != FP_OK) {
        return; /* as if the answer had been lost */
    }
    /* Only a leader answers pings, introductions included. */
    if ((!call->single_host || call->kind == CALL_PING) &&
        note_leader(relay, from)) {
        hasten_waiting_calls(relay, from);
    }
    note_answer_time(relay, call, from, clock_mono_ms());
    call->open_copies -= MIN(call->open_copies, 1);
    /* A refused submission may still be accepted through another copy. */
    if (call->kind == CALL_SUBMIT && answer.err != FP_OK &&
        call->open_copies > 0) {
        finish_call(relay, call, FP_ERR_UNKNOWN_OUTCOME, NULL);
    }
    else {
        finish_call(relay, call, FP_OK, &answer);
    }
    fp_record_free(&CALL_ANSWER_SCHEMA, &answer);
}

void
relay_answer(struct relay *relay, const struct relay_caller *caller,
             enum fp_err err, const struct call_answer *answer)
{
    struct msg_forward_reply reply = {.request_id = caller->request_id,
                                      .err = err};

    g_hash_table_remove(relay->handled, caller);
    if (err == FP_ERR_NO_LEADER) {
        g_strlcpy(reply.leader_host, relay_leader(relay),
                  sizeof(reply.leader_host));
    }
    else {
        fp_encode(&CALL_ANSWER_SCHEMA, answer, &reply.body);
    }
    if (strcmp(caller->host, relay->own_host) == 0) {
        handle_answer(relay, relay->own_host, &reply);
    }
    else {
        relay->counters.answered++;
        /* If this fails, the caller sends its call again. */
        bus_send(relay->bus, caller->host, &MSG_FORWARD_REPLY_SCHEMA, &reply);
    }
    fp_blob_free(&reply.body);
}

void
relay_handle_message(struct relay *relay, const char *from, uint32_t type,
                     const void *msg)
{
    const struct msg_forward *forward = msg;
    struct relay_caller caller;

    if (type == MSG_FORWARD_REPLY) {
        handle_answer(relay, from, msg);
        return;
    }
    g_strlcpy(caller.host, from, sizeof(caller.host));
    caller.request_id = forward->request_id;
    if (g_hash_table_size(relay->callers) < CALLERS_MAX &&
        !g_hash_table_contains(relay->callers, from)) {
        g_hash_table_add(relay->callers, g_strdup(from));
    }
    handle_call(relay, &caller, forward->kind, &forward->body);
}

uint64_t
relay_leader_heard_ms(const struct relay *relay)
{
    return relay->leader_heard_ms;
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
