/* fleetnode.c -- the process of one host of a fleet */
#include "node/fleetnode.h"

#include <arpa/inet.h>

#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <string.h>

#include "base/event.h"
#include "base/log.h"
#include "core/members.h"
#include "node/dispatch.h"
#include "node/fleetmetrics.h"
#include "node/memberwatch.h"

#define TICK_INTERVAL_MS 10u
/* Pings to the leader show that it can be reached, and offer to query the
 * placement policy for it. */
#define PING_INTERVAL_MS 500u
#define PING_TIMEOUT_MS 900u
/* A host that has had no answer from a leader for longer is not ready. */
#define LEADER_SILENCE_MAX_MS 2000u
#define MEMBERSHIP_INTERVAL_MS 100u
#define ENTRY_INTERVAL_MS 200u   /* checks what incomplete requests hold */
#define RELOAD_INTERVAL_MS 1000u /* checks the settings file for changes */
/* End of STAGE_UNREADY and latest exit, in eighths of the grace time since the
 * signal. The rest is a reserve. */
#define STOP_LISTENING_EIGHTHS 3u
#define EXIT_EIGHTHS 6u
/* Time without requests in flight that ends STAGE_LISTENER_CLOSED. */
#define DRAIN_IDLE_MS 200u
/* How long a seed counts as empty after it has said so. */
#define EMPTY_SEED_HEARD_MS 1500u

/* Blocks of this size go back to the kernel once they are freed. glibc would
 * raise the bound with the first of them, and keep later ones. */
#define MAPPED_BYTES_MIN (128 * 1024)
/* Smaller ones go back at most this often, once a listener has held a quarter
 * of the input that it may and holds hardly any. */
#define TRIM_INTERVAL_MS 2000u
#define TRIM_HELD_DIVISOR 4u
#define TRIM_LEFT_DIVISOR 64u

enum drain_stage {
    STAGE_SERVING,
    STAGE_UNREADY,        /* readiness checks fail; requests are served */
    STAGE_LISTENER_CLOSED /* requests in flight are completed */
};

struct fleetnode {
    const struct settings *settings;
    const char *path;
    char *settings_text; /* content of the file when last read */
    const struct edge_ops *edge_ops;
    void *edge;
    uv_loop_t loop;
    uv_prepare_t flush_prepare;
    uv_signal_t signals[3];
    struct timers *timers;
    struct bus *bus;              /* front host only; a replica has its own */
    struct replica *replica;      /* NULL on a front host */
    struct member_watch *members; /* the same */
    struct fleet *fleet;          /* NULL on a front host */
    struct dispatch *dispatch;    /* NULL unless this host leads */
    GHashTable *empty_seeds;      /* host to when it last said that it holds
                                   * nothing; NULL unless this host may found a
                                   * cell */
    bool data_seen;               /* some host holds data */
    struct relay *relay;
    /* A server is NULL when the settings have no address for it. */
    struct httpd *client_httpd;
    struct httpd *control_httpd;
    struct httpd *readiness_httpd;
    struct httpd *metrics_httpd;
    enum drain_stage stage;
    uint64_t drain_start_ms;
    uint64_t last_busy_ms; /* last time with requests in flight, in a drain */
    uint64_t reloads;
    bool trim_due;
    uint64_t trimmed_ms;
    uint64_t bus_closed; /* connections, when last logged */
    uint64_t bus_pauses; /* of reading, when last logged */
};

/* ---- leadership and replicated state ------------------------------------ */

static void
on_leadership_changed(void *ctx, bool leading)
{
    struct fleetnode *node = ctx;

    if (leading && node->dispatch == NULL) {
        struct dispatch_deps deps = {
            .replica = node->replica,
            .fleet = node->fleet,
            .relay = node->relay,
            .settings = node->settings,
            .orders = node->edge_ops->get_order_channel(node->edge),
            .policy = node->edge_ops->get_policy_client(node->edge)};

        EVENT(EVENT_LEADERSHIP_STARTED,
              EVENT_STR("host", node->settings->host),
              EVENT_INT("term", raft_term(replica_raft(node->replica))),
              EVENT_INT("config", node->fleet->config.version));
        node->dispatch = dispatch_new(&deps);
        relay_announce_leadership(node->relay);
    }
    else if (!leading && node->dispatch != NULL) {
        EVENT(EVENT_LEADERSHIP_ENDED, EVENT_STR("host", node->settings->host),
              EVENT_INT("term", raft_term(replica_raft(node->replica))));
        dispatch_free(node->dispatch);
        node->dispatch = NULL;
    }
}

static void
on_state_replaced(void *ctx)
{
    (void)ctx; /* only followers load snapshots, and only the leader's dispatch
                * keeps pointers into the state */
}

static void
on_config_changed(void *ctx)
{
    struct fleetnode *node = ctx;

    EVENT(EVENT_CONFIG_IN_FORCE,
          EVENT_INT("version", node->fleet->config.version),
          EVENT_INT("queues", node->fleet->config.queues.count),
          EVENT_INT("teams", node->fleet->config.teams.count));
    if (node->dispatch != NULL) {
        dispatch_config_changed(node->dispatch);
    }
}

static void
on_target_changed(void *ctx, struct fleet_target *target, bool restarted)
{
    struct fleetnode *node = ctx;

    if (node->dispatch == NULL) {
        return;
    }
    if (!target->rec.departed) {
        EVENT(EVENT_TARGET_ANNOUNCED, EVENT_STR("id", target->rec.id),
              EVENT_STR("service", target->rec.service),
              EVENT_STR("address", target->rec.address),
              EVENT_INT("leaving", target->rec.leaving),
              EVENT_INT("born", target->rec.born_ms));
    }
    dispatch_target_changed(node->dispatch, target, restarted);
}

static void
on_target_removed(void *ctx, struct fleet_target *target)
{
    struct fleetnode *node = ctx;

    if (node->dispatch != NULL) {
        EVENT(EVENT_TARGET_REMOVED, EVENT_STR("id", target->rec.id));
        dispatch_target_removed(node->dispatch, target);
    }
}

static void
on_job_added(void *ctx, struct fleet_job *job)
{
    struct fleetnode *node = ctx;

    if (node->dispatch != NULL) {
        dispatch_job_added(node->dispatch, job);
    }
}

static void
on_job_ended(void *ctx, struct fleet_job *job)
{
    struct fleetnode *node = ctx;

    if (node->dispatch != NULL) {
        dispatch_job_ended(node->dispatch, job);
    }
}

static void
on_job_removed(void *ctx, struct fleet_job *job)
{
    struct fleetnode *node = ctx;

    if (node->dispatch != NULL) {
        dispatch_job_removed(node->dispatch, job);
    }
}

static void
on_queue_removed(void *ctx, struct fleet_queue *queue)
{
    struct fleetnode *node = ctx;

    if (node->dispatch != NULL) {
        dispatch_queue_removed(node->dispatch, queue);
    }
}

static void
on_evacuation_changed(void *ctx, const struct fleet_data_centre *data_centre)
{
    struct fleetnode *node = ctx;

    EVENT(data_centre->evacuated ? EVENT_EVACUATION_ORDERED
                                 : EVENT_EVACUATION_WITHDRAWN,
          EVENT_STR("id", data_centre->name));
    if (node->dispatch != NULL) {
        dispatch_evacuation_changed(node->dispatch);
    }
}

static void
apply_change(void *ctx, uint64_t index, const uint8_t *data,
             uint32_t size_bytes, struct change_answer *answer)
{
    struct fleetnode *node = ctx;

    (void)index;
    fleet_apply(node->fleet, data, size_bytes, answer);
}

static void
save_state(void *ctx, struct fp_blob *out)
{
    struct fleetnode *node = ctx;

    fleet_save(node->fleet, out);
}

static enum fp_err
load_state(void *ctx, const struct fp_blob *state)
{
    struct fleetnode *node = ctx;

    return fleet_load(node->fleet, state);
}

/* ---- membership --------------------------------------------------------- */

static void
on_membership_timer(void *ctx, uint64_t now_ms)
{
    struct fleetnode *node = ctx;

    member_watch_tick(node->members, now_ms);
}

/* Reports whether this host may found the cell. Hosts that start with the same
 * seeds agree: it is the one with the lowest address among them. */
static bool
is_founder(const struct settings *settings)
{
    const struct settings_fleet *fleet = settings->fleet;
    uint32_t lowest = UINT32_MAX;
    uint32_t own = 0;

    for (unsigned i = 0; i < fleet->seeds_count; i++) {
        char ip[64];
        uint16_t port;
        struct in_addr addr;

        if (!settings_parse_address(fleet->seeds[i], ip, sizeof(ip), &port) ||
            inet_pton(AF_INET, ip, &addr) != 1) {
            continue;
        }
        lowest = MIN(lowest, ntohl(addr.s_addr));
        if (strcmp(ip, settings->host) == 0) {
            own = ntohl(addr.s_addr);
        }
    }
    return fleet->may_bootstrap && own != 0 && own == lowest;
}

static void
found_if_due(struct fleetnode *node, uint64_t now_ms)
{
    struct founding_view view = {.seeds = node->settings->fleet->seeds_count,
                                 .empty_seeds = 1,
                                 .data_seen = node->data_seen};
    GHashTableIter iter;
    const uint64_t *heard_ms;

    if (node->empty_seeds == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, node->empty_seeds);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&heard_ms)) {
        view.empty_seeds += now_ms <= *heard_ms + EMPTY_SEED_HEARD_MS;
    }
    if (membership_may_found(&view) &&
        replica_bootstrap(node->replica) == FP_OK) {
        log_notice(LOG_RAFT, "bootstrapped a new cell");
    }
}

static bool
is_seed(const struct settings_fleet *fleet, const char *host)
{
    for (unsigned i = 0; i < fleet->seeds_count; i++) {
        char ip[64];
        uint16_t port;

        if (settings_parse_address(fleet->seeds[i], ip, sizeof(ip), &port) &&
            strcmp(ip, host) == 0) {
            return true;
        }
    }
    return false;
}

static void
on_hello(void *ctx, const struct msg_hello *msg)
{
    struct fleetnode *node = ctx;
    uint64_t now_ms = clock_mono_ms();

    member_watch_on_hello(node->members, msg, now_ms);
    if (node->empty_seeds == NULL ||
        strcmp(msg->host, node->settings->host) == 0) {
        return;
    }
    if (msg->holds == HELLO_HOLDS_NOTHING &&
        is_seed(node->settings->fleet, msg->host)) {
        g_hash_table_replace(node->empty_seeds, g_strdup(msg->host),
                             g_memdup2(&now_ms, sizeof(now_ms)));
        found_if_due(node, now_ms);
    }
    else if (msg->holds == HELLO_HOLDS_DATA && !node->data_seen &&
             raft_is_empty(replica_raft(node->replica))) {
        node->data_seen = true;
        log_notice(LOG_RAFT, "host %s holds data: no new cell is founded",
                   msg->host);
    }
}

/* ---- calls -------------------------------------------------------------- */

/* A query to the placement policy that another host waits for. */
struct pending_policy_query {
    struct relay *relay;
    struct relay_caller caller;
};

static void
on_policy_answered(void *ctx, const struct policy_reply *reply)
{
    struct pending_policy_query *pending = ctx;
    struct call_answer answer = {
        .err = reply->err,
        .tickets = {(void *)reply->tickets,
                    reply->err == FP_OK ? reply->count : 0},
        .policy_status = reply->status,
        .policy_bytes = reply->bytes,
        .policy_unread = reply->unread,
        .policy_took_ms = reply->took_ms};

    relay_answer(pending->relay, &pending->caller, FP_OK, &answer);
    g_free(pending);
}

static void
query_policy(struct fleetnode *node, const struct relay_caller *caller,
             const struct fp_blob *body)
{
    const struct policy_client *policy =
        node->edge_ops->get_policy_client(node->edge);
    struct call_advise query;
    struct pending_policy_query *pending;

    if (fp_decode(&CALL_ADVISE_SCHEMA, body->data, body->size_bytes, &query) !=
        FP_OK) {
        log_warn(LOG_BUS, "malformed policy query from host %s", caller->host);
        return;
    }
    pending = g_new0(struct pending_policy_query, 1);
    pending->relay = node->relay;
    pending->caller = *caller;
    policy->query(policy->client, &query, on_policy_answered, pending);
    fp_record_free(&CALL_ADVISE_SCHEMA, &query);
}

static void
on_call(void *ctx, const struct relay_caller *caller, uint32_t kind,
        const struct fp_blob *body)
{
    struct fleetnode *node = ctx;

    if (kind == CALL_ADVISE) {
        query_policy(node, caller, body);
    }
    else if (node->dispatch != NULL) {
        dispatch_handle_call(node->dispatch, caller, kind, body);
    }
    else {
        relay_answer(node->relay, caller, FP_ERR_NO_LEADER, NULL);
    }
}

static const char *
leader_host(void *ctx)
{
    const struct fleetnode *node = ctx;

    return raft_leader_host(replica_raft(node->replica));
}

static void
on_bus_message(void *ctx, const char *from, uint32_t type, const void *msg)
{
    struct fleetnode *node = ctx;

    if (type == MSG_FORWARD || type == MSG_FORWARD_REPLY) {
        relay_handle_message(node->relay, from, type, msg);
    }
}

static void
on_host_connected(void *ctx, const char *host)
{
    struct fleetnode *node = ctx;

    relay_introduce(node->relay, host);
}

static void
on_ping_answered(void *ctx, enum fp_err err, const struct call_answer *answer)
{
    struct fleetnode *node = ctx;
    const struct call_host *host = answer->hosts.items;

    for (uint32_t i = 0; err == FP_OK && i < answer->hosts.count; i++) {
        relay_add_host(node->relay, host[i].host);
    }
}

static void
on_ping_timer(void *ctx, uint64_t now_ms)
{
    struct fleetnode *node = ctx;
    struct call_ping ping = {.helper = 1,
                             .memory_mb = node->settings->limits.memory_mb};

    g_strlcpy(ping.data_centre, node->settings->fleet->data_centre,
              sizeof(ping.data_centre));

    (void)now_ms;
    if (node->stage != STAGE_SERVING) {
        ping.helper = 0;
    }
    relay_call(node->relay, CALL_PING, &CALL_PING_SCHEMA, &ping,
               PING_TIMEOUT_MS, on_ping_answered, node);
}

/* ---- HTTP requests ------------------------------------------------------ */

static void
on_client_request(void *ctx, struct http_request *request)
{
    struct fleetnode *node = ctx;

    node->edge_ops->handle_client_request(node->edge, request);
}

static void
on_control_request(void *ctx, struct http_request *request)
{
    struct fleetnode *node = ctx;

    node->edge_ops->handle_control_request(node->edge, request);
}

static bool
is_ready(const struct fleetnode *node)
{
    return node->stage == STAGE_SERVING &&
           relay_leader_heard_ms(node->relay) != 0 &&
           clock_mono_ms() <=
               relay_leader_heard_ms(node->relay) + LEADER_SILENCE_MAX_MS;
}

static void
on_readiness_request(void *ctx, struct http_request *request)
{
    struct fleetnode *node = ctx;

    if (strcmp(http_path(request), node->edge_ops->readiness_path) != 0) {
        http_reply_error(request, FP_ERR_NOT_FOUND, "");
    }
    else if (is_ready(node)) {
        http_reply(request, 200, "text/plain", "ready\n", 6, 0);
    }
    else {
        http_reply_error(request,
                         node->stage == STAGE_SERVING ? FP_ERR_NO_LEADER
                                                      : FP_ERR_SHUTTING_DOWN,
                         "");
    }
}

/* The servers of this host, NULL where there is none. */
static struct httpd *
httpd_of(const struct fleetnode *node, enum entry_listener listener)
{
    struct httpd *const servers[ENTRY_LISTENER_COUNT] = {
        [ENTRY_CLIENTS] = node->client_httpd,
        [ENTRY_CONTROL] = node->control_httpd,
        [ENTRY_CHECKS] = node->readiness_httpd,
        [ENTRY_METRICS] = node->metrics_httpd};

    return servers[listener];
}

static const struct bus *
bus_of(const struct fleetnode *node)
{
    return node->replica != NULL ? replica_bus(node->replica) : node->bus;
}

static void
on_metrics_request(void *ctx, struct http_request *request)
{
    struct fleetnode *node = ctx;
    struct fleetmetrics_sources sources = {
        .relay = node->relay,
        .bus = bus_of(node),
        .replica = node->replica,
        .dispatch = node->dispatch,
        .fleet = node->fleet,
        .connections_refused = node->edge_ops->count_refused(node->edge),
        .answers_dropped = node->edge_ops->count_dropped(node->edge),
        .ready = is_ready(node),
        .reloads = node->reloads};

    for (int i = 0; i < ENTRY_LISTENER_COUNT; i++) {
        sources.listeners[i] = httpd_of(node, i);
    }
    fleetmetrics_handle_request(&sources, request);
}

/* ---- settings reload ---------------------------------------------------- */

static void
add_seed_hosts(struct fleetnode *node, const struct settings_fleet *fleet)
{
    for (unsigned i = 0; i < fleet->seeds_count; i++) {
        char ip[MSG_HOST_BYTES];
        uint16_t port;

        if (settings_parse_address(fleet->seeds[i], ip, sizeof(ip), &port) &&
            strcmp(ip, node->settings->host) != 0) {
            relay_add_host(node->relay, ip);
        }
    }
}

/* Adds new seeds at once. Other changes take effect at the next start. */
static void
reload_settings(struct fleetnode *node)
{
    struct settings *reloaded = NULL;
    char why[400];

    if (settings_load(node->path, &reloaded, why, sizeof(why)) != FP_OK ||
        reloaded->fleet == NULL) {
        EVENT(
            EVENT_SETTINGS_RELOAD_FAILED, EVENT_STR("path", node->path),
            EVENT_STR("why", reloaded != NULL ? "no fleet in the file" : why));
    }
    else {
        add_seed_hosts(node, reloaded->fleet);
        node->reloads++;
        EVENT(EVENT_SETTINGS_RELOADED, EVENT_STR("path", node->path),
              EVENT_INT("seeds", reloaded->fleet->seeds_count));
    }
    settings_free(reloaded);
}

static void
on_reload_timer(void *ctx, uint64_t now_ms)
{
    struct fleetnode *node = ctx;
    char *text = NULL;

    (void)now_ms;
    if (!g_file_get_contents(node->path, &text, NULL, NULL)) {
        return; /* perhaps being replaced; tried again at the next check */
    }
    if (g_strcmp0(text, node->settings_text) != 0) {
        g_free(node->settings_text);
        node->settings_text = g_strdup(text);
        reload_settings(node);
    }
    g_free(text);
}

/* ---- shutdown ----------------------------------------------------------- */

/* The server that stops listening during a drain; may be NULL. */
static struct httpd *
request_httpd(const struct fleetnode *node)
{
    return node->client_httpd != NULL ? node->client_httpd
                                      : node->control_httpd;
}

static uint32_t
requests_in_flight(const struct fleetnode *node)
{
    return (node->client_httpd != NULL ? httpd_in_flight(node->client_httpd)
                                       : 0) +
           (node->control_httpd != NULL ? httpd_in_flight(node->control_httpd)
                                        : 0);
}

/* Drains in stages after a signal. At first only the readiness check fails,
 * until the load balancer has noticed and sends no more requests; responses
 * already close their connections. Then the listener closes, and the loop
 * stops once no requests have been in flight for DRAIN_IDLE_MS, or at the
 * latest exit time. */
static void
advance_drain(struct fleetnode *node, uint64_t now_ms)
{
    uint64_t grace_ms = node->settings->fleet->grace_ms;

    if (node->stage == STAGE_SERVING) {
        return;
    }
    if (requests_in_flight(node) > 0) {
        node->last_busy_ms = now_ms;
    }
    if (node->stage == STAGE_UNREADY &&
        now_ms >=
            node->drain_start_ms + grace_ms * STOP_LISTENING_EIGHTHS / 8) {
        if (request_httpd(node) != NULL) {
            httpd_stop_listening(request_httpd(node));
        }
        node->stage = STAGE_LISTENER_CLOSED;
        node->last_busy_ms = now_ms;
    }
    if ((node->stage == STAGE_LISTENER_CLOSED &&
         now_ms >= node->last_busy_ms + DRAIN_IDLE_MS) ||
        now_ms >= node->drain_start_ms + grace_ms * EXIT_EIGHTHS / 8) {
        uv_stop(&node->loop);
    }
}

static void
on_signal(uv_signal_t *signal, int number)
{
    struct fleetnode *node = signal->data;

    if (number == SIGHUP) {
        reload_settings(node);
        return;
    }
    if (node->stage != STAGE_SERVING) {
        return;
    }
    EVENT(EVENT_NODE_DRAINING, EVENT_STR("host", node->settings->host),
          EVENT_INT("signal", number),
          EVENT_INT("in_flight", requests_in_flight(node)));
    node->stage = STAGE_UNREADY;
    node->drain_start_ms = clock_mono_ms();
    node->last_busy_ms = node->drain_start_ms;
    if (node->client_httpd != NULL) {
        httpd_drain(node->client_httpd);
    }
    if (node->control_httpd != NULL) {
        httpd_drain(node->control_httpd);
    }
    if (node->replica != NULL) {
        replica_leave(node->replica);
    }
}

static void
watch_signals(struct fleetnode *node)
{
    static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};

    for (int i = 0; i < 3; i++) {
        uv_signal_init(&node->loop, &node->signals[i]);
        node->signals[i].data = node;
        uv_signal_start(&node->signals[i], on_signal, numbers[i]);
    }
}

/* ---- startup and main loop ---------------------------------------------- */

static void
on_tick(void *ctx, uint64_t now_ms)
{
    struct fleetnode *node = ctx;

    if (node->dispatch != NULL) {
        dispatch_tick(node->dispatch, now_ms);
    }
    if (node->dispatch != NULL && dispatch_needs_new_term(node->dispatch)) {
        replica_step_down(node->replica);
    }
    advance_drain(node, now_ms);
}

static void
set_entry_bounds(struct fleetnode *node)
{
    const struct entry_limits limits = settings_entry_limits(node->settings);

    for (int i = 0; i < ENTRY_LISTENER_COUNT; i++) {
        struct httpd *httpd = httpd_of(node, i);
        struct entry_bounds bounds;

        if (httpd != NULL) {
            entry_set_bounds(&limits, i, &bounds);
            httpd_set_bounds(httpd, &bounds);
        }
    }
}

/* Load pattern: a crowd leaves its memory to the allocator, and work of
 * another kind comes on top of it. */
static void
trim_if_due(struct fleetnode *node, uint64_t now_ms)
{
    bool is_calm = true;

    for (int i = 0; i < ENTRY_LISTENER_COUNT; i++) {
        const struct httpd *httpd = httpd_of(node, i);
        struct entry_load load;
        uint64_t bound;

        bound = httpd != NULL ? httpd_bounds(httpd)->partial_bytes : 0;
        if (bound == 0) {
            continue;
        }
        httpd_load(httpd, &load);
        node->trim_due |= load.input_bytes > bound / TRIM_HELD_DIVISOR;
        is_calm &= load.input_bytes <= bound / TRIM_LEFT_DIVISOR;
    }
    if (node->trim_due && is_calm &&
        now_ms >= node->trimmed_ms + TRIM_INTERVAL_MS) {
        node->trim_due = false;
        node->trimmed_ms = now_ms;
        malloc_trim(0);
    }
}

static void
log_closed_on_bus(struct fleetnode *node)
{
    const struct bus_guard_counters counters =
        bus_connection_counters(bus_of(node));
    const struct bus_inlet_counters held = bus_held_counters(bus_of(node));
    const uint64_t closed = counters.closed + held.closed;

    if (closed > node->bus_closed || held.pauses > node->bus_pauses) {
        EVENT(
            EVENT_HOST_FULL, EVENT_STR("host", node->settings->host),
            EVENT_STR("listener", "bus"),
            EVENT_INT("refused", closed - node->bus_closed),
            EVENT_INT("connections", counters.connections),
            EVENT_INT("input_bytes", held.partial_bytes + held.waiting_bytes));
        node->bus_closed = closed;
        node->bus_pauses = held.pauses;
    }
}

static void
on_entry_timer(void *ctx, uint64_t now_ms)
{
    struct fleetnode *node = ctx;

    trim_if_due(node, now_ms);
    log_closed_on_bus(node);
    for (int i = 0; i < ENTRY_LISTENER_COUNT; i++) {
        struct httpd *httpd = httpd_of(node, i);
        struct entry_load load;
        uint64_t refused;

        if (httpd == NULL) {
            continue;
        }
        httpd_check_partial(httpd);
        refused = httpd_take_refused(httpd);
        if (refused > 0) {
            httpd_load(httpd, &load);
            EVENT(EVENT_HOST_FULL, EVENT_STR("host", node->settings->host),
                  EVENT_STR("listener", ENTRY_LISTENER_NAMES[i]),
                  EVENT_INT("refused", refused),
                  EVENT_INT("requests", load.requests),
                  EVENT_INT("connections", load.connections),
                  EVENT_INT("input_bytes", load.input_bytes),
                  EVENT_INT("answer_bytes", load.answer_bytes));
        }
    }
}

static void
on_flush(uv_prepare_t *prepare)
{
    struct fleetnode *node = prepare->data;

    if (node->dispatch != NULL) {
        dispatch_flush(node->dispatch, clock_mono_ms());
    }
    event_flush();
}

static enum fp_err
open_replica(struct fleetnode *node, char *why, unsigned why_bytes)
{
    const struct replica_state_machine machine = {apply_change, save_state,
                                                  load_state, node};
    const struct replica_ops ops = {.state_machine = &machine,
                                    .on_leadership_changed =
                                        on_leadership_changed,
                                    .on_state_replaced = on_state_replaced,
                                    .on_message = on_bus_message,
                                    .on_hello = on_hello,
                                    .ctx = node};
    const struct fleet_ops fleet_ops = {
        on_config_changed,     on_target_changed, on_target_removed,
        on_job_added,          on_job_ended,      on_job_removed,
        on_evacuation_changed, on_queue_removed,  node};
    enum fp_err err;

    node->fleet = fleet_new(node->settings->fleet->job_retention_ms);
    node->fleet->ops = fleet_ops;
    if (node->settings->fleet->is_contended) {
        node->fleet->share_window_ms = node->settings->fleet->share_window_ms;
    }
    err = replica_new(&node->loop, node->timers, node->settings, &ops,
                      &node->replica, why, why_bytes);
    if (err != FP_OK) {
        return err;
    }
    node->members = member_watch_new(node->replica, node->settings->host);
    if (is_founder(node->settings) &&
        raft_is_empty(replica_raft(node->replica))) {
        node->empty_seeds =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        found_if_due(node, clock_mono_ms());
    }
    return FP_OK;
}

static enum fp_err
open_bus(struct fleetnode *node, char *why, unsigned why_bytes)
{
    const struct bus_ops ops = {on_bus_message, on_host_connected, node};

    return bus_new(&node->loop, node->settings, &ops, &node->bus, why,
                   why_bytes);
}

static enum fp_err
open_httpd(struct fleetnode *node, const char *address, http_handler handler,
           struct httpd **out, char *why, unsigned why_bytes)
{
    if (address == NULL) {
        return FP_OK;
    }
    return httpd_new(&node->loop, address, node->settings->tls, handler, node,
                     out, why, why_bytes);
}

/* Callback of struct edge_context: whether the announcement can be
 * acknowledged without the leader. */
static bool
is_recorded(void *ctx, const struct call_announce *announce)
{
    const struct fleetnode *node = ctx;

    return node->fleet != NULL && replica_is_fresh(node->replica) &&
           !announce->target.leaving &&
           fleet_target_is_recorded(node->fleet, &announce->target);
}

static uint32_t
opened_max(const struct settings *settings)
{
    const struct settings_fleet *fleet = settings->fleet;
    const struct entry_limits limits = settings_entry_limits(settings);

    return entry_opened_max(&limits,
                            (fleet->clients != NULL) << ENTRY_CLIENTS |
                                (fleet->control != NULL) << ENTRY_CONTROL |
                                (fleet->readiness != NULL) << ENTRY_CHECKS |
                                (fleet->metrics != NULL) << ENTRY_METRICS);
}

static uint64_t
answers_max_bytes(const struct settings *settings)
{
    const struct entry_limits limits = settings_entry_limits(settings);

    return entry_answers_max_bytes(&limits);
}

static enum fp_err
open_components(struct fleetnode *node, char *why, unsigned why_bytes)
{
    const struct settings_fleet *fleet = node->settings->fleet;
    struct relay_ops relay_ops = {NULL, on_call, node};
    struct edge_context edge_context = {
        .loop = &node->loop,
        .settings = node->settings,
        .connections_max = opened_max(node->settings),
        .answers_max_bytes = answers_max_bytes(node->settings),
        .is_recorded = is_recorded,
        .is_recorded_ctx = node};
    char metrics_why[200];
    enum fp_err err = node->settings->data_folder != NULL
                          ? open_replica(node, why, why_bytes)
                          : open_bus(node, why, why_bytes);

    if (err != FP_OK) {
        return err;
    }
    if (node->replica != NULL) {
        relay_ops.leader_host = leader_host;
    }
    node->relay = relay_new(node->timers,
                            node->replica != NULL ? replica_bus(node->replica)
                                                  : node->bus,
                            node->settings->host, &relay_ops);
    edge_context.relay = node->relay;
    node->edge = node->edge_ops->open(&edge_context);
    add_seed_hosts(node, fleet);
    err = open_httpd(node, fleet->clients, on_client_request,
                     &node->client_httpd, why, why_bytes);
    if (err == FP_OK) {
        err = open_httpd(node, fleet->control, on_control_request,
                         &node->control_httpd, why, why_bytes);
    }
    if (err == FP_OK) {
        err = open_httpd(node, fleet->readiness, on_readiness_request,
                         &node->readiness_httpd, why, why_bytes);
    }
    if (err == FP_OK && open_httpd(node, fleet->metrics, on_metrics_request,
                                   &node->metrics_httpd, metrics_why,
                                   sizeof(metrics_why)) != FP_OK) {
        log_warn(LOG_NODE, "running without the metrics endpoint: %s",
                 metrics_why);
    }
    set_entry_bounds(node);
    return err;
}

static void
start_handles(struct fleetnode *node)
{
    timers_subscribe(node->timers, TICK_INTERVAL_MS, on_tick, node);
    timers_subscribe(node->timers, PING_INTERVAL_MS, on_ping_timer, node);
    timers_subscribe(node->timers, ENTRY_INTERVAL_MS, on_entry_timer, node);
    timers_subscribe(node->timers, RELOAD_INTERVAL_MS, on_reload_timer, node);
    if (node->replica != NULL) {
        timers_subscribe(node->timers, MEMBERSHIP_INTERVAL_MS,
                         on_membership_timer, node);
    }
    uv_prepare_init(&node->loop, &node->flush_prepare);
    node->flush_prepare.data = node;
    uv_prepare_start(&node->flush_prepare, on_flush);
    on_ping_timer(node, clock_mono_ms());
    watch_signals(node);
}

static void
close_handle(uv_handle_t *handle, void *ctx)
{
    (void)ctx;
    if (!uv_is_closing(handle)) {
        uv_close(handle, NULL);
    }
}

static void
close_components(struct fleetnode *node)
{
    httpd_close(node->client_httpd);
    httpd_close(node->control_httpd);
    httpd_close(node->readiness_httpd);
    httpd_close(node->metrics_httpd);
    dispatch_free(node->dispatch);
    node->dispatch = NULL;
    relay_free(node->relay);
    if (node->edge != NULL) {
        node->edge_ops->close(node->edge);
    }
    member_watch_free(node->members);
    replica_free(node->replica);
    bus_free(node->bus);
    timers_free(node->timers);
    uv_walk(&node->loop, close_handle, NULL);
    for (int i = 0; i < 10; i++) { /* runs the close callbacks */
        uv_run(&node->loop, UV_RUN_NOWAIT);
    }
    uv_loop_close(&node->loop);
    fleet_free(node->fleet);
    if (node->empty_seeds != NULL) {
        g_hash_table_destroy(node->empty_seeds);
    }
    httpd_free(node->client_httpd);
    httpd_free(node->control_httpd);
    httpd_free(node->readiness_httpd);
    httpd_free(node->metrics_httpd);
}

enum fp_err
fleetnode_run(const struct settings *settings, const char *path,
              const struct edge_ops *edge, char *why, unsigned why_bytes)
{
    struct fleetnode *node = g_new0(struct fleetnode, 1);
    enum fp_err err;

    mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES_MIN);
    signal(SIGPIPE, SIG_IGN);
    signal(SIGXFSZ, SIG_IGN); /* a file too large is a failed write */
    node->settings = settings;
    node->path = path;
    node->edge_ops = edge;
    g_file_get_contents(path, &node->settings_text, NULL, NULL);
    uv_loop_init(&node->loop);
    node->timers = timers_new(&node->loop);
    err = open_components(node, why, why_bytes);
    if (err == FP_OK) {
        start_handles(node);
        EVENT(EVENT_NODE_STARTED, EVENT_STR("host", settings->host),
              EVENT_STR("data_folder", settings->data_folder != NULL
                                           ? settings->data_folder
                                           : ""));
        uv_run(&node->loop, UV_RUN_DEFAULT);
        EVENT(EVENT_NODE_ENDED, EVENT_STR("host", settings->host),
              EVENT_INT("in_flight", requests_in_flight(node)));
    }
    close_components(node);
    g_free(node->settings_text);
    g_free(node);
    return err;
}
