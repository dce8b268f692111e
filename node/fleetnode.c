/* fleetnode.c -- one host of a fleet, from its settings to its exit */
#include "node/fleetnode.h"

#include <arpa/inet.h>

#include <glib.h>
#include <signal.h>
#include <string.h>

#include "base/event.h"
#include "base/log.h"
#include "core/members.h"
#include "node/dispatch.h"
#include "node/fleetmetrics.h"

#define TICK_MS 10u
#define PING_EVERY_MS 500u /* to the leader: readiness, offer to help */
#define PING_TIMEOUT_MS 900u
#define READY_HEARD_MS 2000u /* ready while the leader answered within it */
#define MEMBERS_EVERY_MS 200u
#define RELOAD_EVERY_MS 1000u /* the settings file is compared */
#define UNREADY_PARTS 3u      /* of the grace time, in eighths: not ready, */
#define CLOSED_PARTS 6u       /* then closed; the rest is a reserve */
#define IDLE_END_MS 200u      /* no request for this long ends the drain */
#define MEMBERS_MAX 64u

enum stage {
    STAGE_SERVING,
    STAGE_UNREADY, /* the balancer is told to stay away; all is served */
    STAGE_CLOSED   /* no new connections; what came in is ended */
};

struct fleetnode {
    const struct settings *settings;
    const char *path;
    char *settings_text; /* of the file, as last read */
    const struct edge_ops *edge_ops;
    void *edge;
    uv_loop_t loop;
    uv_prepare_t flush;
    uv_signal_t signals[3];
    struct timers *timers;
    struct bus *bus;           /* of a front; a core host's is the replica's */
    struct replica *replica;   /* of a core host */
    struct fleet *fleet;       /* of a core host */
    struct dispatch *dispatch; /* while this host leads */
    struct relay *relay;
    struct httpd *clients;
    struct httpd *control;
    struct httpd *readiness;
    struct httpd *metrics;
    enum stage stage;
    uint64_t term_ms;
    uint64_t busy_ms;
    uint64_t reloads;
};

/* ---- the leader's side -------------------------------------------------- */

static void
on_leading(void *ctx, bool leading)
{
    struct fleetnode *node = ctx;

    if (leading && node->dispatch == NULL) {
        struct dispatch_parts parts = {
            .replica = node->replica,
            .fleet = node->fleet,
            .relay = node->relay,
            .settings = node->settings,
            .orders = node->edge_ops->orders(node->edge),
            .policy = node->edge_ops->policy(node->edge)};

        EVENT(EVENT_LEADERSHIP_STARTED,
              EVENT_STR("host", node->settings->host),
              EVENT_INT("term", raft_term(replica_raft(node->replica))),
              EVENT_INT("config", node->fleet->config.version));
        node->dispatch = dispatch_new(&parts);
    }
    else if (!leading && node->dispatch != NULL) {
        EVENT(EVENT_LEADERSHIP_ENDED, EVENT_STR("host", node->settings->host),
              EVENT_INT("term", raft_term(replica_raft(node->replica))));
        dispatch_free(node->dispatch);
        node->dispatch = NULL;
    }
}

static void
on_replaced(void *ctx)
{
    (void)ctx; /* only followers take snapshots, and they keep no pointers */
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
on_target_changed(void *ctx, struct fleet_target *target, bool reborn)
{
    struct fleetnode *node = ctx;

    if (node->dispatch != NULL) {
        EVENT(EVENT_TARGET_ANNOUNCED, EVENT_STR("id", target->rec.id),
              EVENT_STR("service", target->rec.service),
              EVENT_STR("address", target->rec.address),
              EVENT_INT("leaving", target->rec.leaving),
              EVENT_INT("born", target->rec.born_ms));
        dispatch_target_changed(node->dispatch, target, reborn);
    }
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

/* ---- members ------------------------------------------------------------ */

struct view_list {
    struct replica_status views[MEMBERS_MAX];
    uint32_t count;
    const struct raft *raft;
};

static void
add_follower_view(void *ctx, uint64_t id, const char *host, uint64_t match,
                  uint64_t applied, uint64_t heard_ms)
{
    struct view_list *list = ctx;
    const struct fp_list *members = &raft_members(list->raft)->list;
    const struct raft_member *member = members->items;
    struct replica_status *view;

    (void)match;
    (void)applied;
    if (list->count == MEMBERS_MAX) {
        return;
    }
    view = &list->views[list->count++];
    view->id = id;
    view->host = host;
    view->heard_ms = heard_ms;
    for (uint32_t i = 0; i < members->count; i++) {
        if (member[i].id == id) {
            view->member = true;
            view->voter = member[i].role == RAFT_VOTER;
        }
    }
}

static void
on_members_time(void *ctx, uint64_t now_ms)
{
    struct fleetnode *node = ctx;
    struct view_list list = {.count = 0};
    struct membership_change step;
    char why[200] = "";
    enum fp_err err = FP_OK;

    if (node->replica == NULL || !replica_leads(node->replica)) {
        return;
    }
    list.raft = replica_raft(node->replica);
    list.views[list.count++] = (struct replica_status){
        raft_id(list.raft), node->settings->host, true, true, now_ms};
    raft_for_each_follower(list.raft, add_follower_view, &list);
    step = membership_next_change(list.views, list.count, now_ms);
    if (step.action == MEMBER_ADD) {
        err = replica_member_add(node->replica, step.host, why, sizeof(why));
    }
    else if (step.action == MEMBER_REMOVE) {
        err = replica_member_remove(node->replica, step.host);
    }
    if (step.action != MEMBER_NONE && err == FP_OK) {
        EVENT(step.action == MEMBER_ADD ? EVENT_MEMBER_ADDED
                                        : EVENT_MEMBER_REMOVED,
              EVENT_STR("host", step.host), EVENT_INT("replica", step.id));
    }
}

/* Of equal seeds the one with the lowest address founds the cell. */
static bool
founds(const struct settings *settings)
{
    const struct settings_fleet *fleet = settings->fleet;
    uint32_t lowest = UINT32_MAX;
    uint32_t own = 0;

    for (unsigned i = 0; i < fleet->seeds_count; i++) {
        char ip[64];
        uint16_t port;
        struct in_addr addr;

        if (!settings_address(fleet->seeds[i], ip, sizeof(ip), &port) ||
            inet_pton(AF_INET, ip, &addr) != 1) {
            continue;
        }
        lowest = MIN(lowest, ntohl(addr.s_addr));
        if (strcmp(ip, settings->host) == 0) {
            own = ntohl(addr.s_addr);
        }
    }
    return fleet->first_start && own != 0 && own == lowest;
}

/* ---- calls -------------------------------------------------------------- */

struct helped {
    struct relay *relay;
    struct relay_caller caller;
};

static void
on_advice(void *ctx, enum fp_err err, const struct call_ticket *tickets,
          uint32_t count)
{
    struct helped *helped = ctx;
    struct call_answer answer = {
        .err = err, .tickets = {(void *)tickets, err == FP_OK ? count : 0}};

    relay_answer(helped->relay, &helped->caller, FP_OK, &answer);
    g_free(helped);
}

static void
help(struct fleetnode *node, const struct relay_caller *caller,
     const struct fp_blob *body)
{
    const struct policy_client *policy = node->edge_ops->policy(node->edge);
    struct call_advise question;
    struct helped *helped;

    if (fp_decode(&CALL_ADVISE_SCHEMA, body->data, body->size_bytes,
                  &question) != FP_OK) {
        log_warn(LOG_BUS, "a question of host %s is malformed", caller->host);
        return;
    }
    helped = g_new0(struct helped, 1);
    helped->relay = node->relay;
    helped->caller = *caller;
    policy->ask(policy->client, &question, on_advice, helped);
    fp_record_free(&CALL_ADVISE_SCHEMA, &question);
}

static void
on_called(void *ctx, const struct relay_caller *caller, uint32_t kind,
          const struct fp_blob *body)
{
    struct fleetnode *node = ctx;

    if (kind == CALL_ADVISE) {
        help(node, caller, body);
    }
    else if (node->dispatch != NULL) {
        dispatch_called(node->dispatch, caller, kind, body);
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
on_message(void *ctx, const char *from, uint32_t type, const void *msg)
{
    struct fleetnode *node = ctx;

    if (type == MSG_FORWARD || type == MSG_FORWARD_REPLY) {
        relay_message(node->relay, from, type, msg);
    }
}

static void
on_ping(void *ctx, enum fp_err err, const struct call_answer *answer)
{
    struct fleetnode *node = ctx;
    const struct call_host *host = answer->hosts.items;

    for (uint32_t i = 0; err == FP_OK && i < answer->hosts.count; i++) {
        relay_learn(node->relay, host[i].host);
    }
}

static void
on_ping_time(void *ctx, uint64_t now_ms)
{
    struct fleetnode *node = ctx;
    struct call_ping ping = {.helper = 1};

    (void)now_ms;
    if (node->stage != STAGE_SERVING) {
        ping.helper = 0;
    }
    relay_call(node->relay, CALL_PING, &CALL_PING_SCHEMA, &ping,
               PING_TIMEOUT_MS, on_ping, node);
}

/* ---- requests ----------------------------------------------------------- */

static void
on_client_request(void *ctx, struct http_request *request)
{
    struct fleetnode *node = ctx;

    node->edge_ops->client_request(node->edge, request);
}

static void
on_control_request(void *ctx, struct http_request *request)
{
    struct fleetnode *node = ctx;

    node->edge_ops->control_request(node->edge, request);
}

static bool
is_ready(const struct fleetnode *node)
{
    return node->stage == STAGE_SERVING && relay_heard_ms(node->relay) != 0 &&
           clock_mono_ms() <= relay_heard_ms(node->relay) + READY_HEARD_MS;
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

static void
on_metrics_request(void *ctx, struct http_request *request)
{
    struct fleetnode *node = ctx;
    struct fleetmetrics_parts parts = {
        .relay = node->relay,
        .bus = node->replica != NULL ? replica_bus(node->replica) : node->bus,
        .replica = node->replica,
        .dispatch = node->dispatch,
        .ready = is_ready(node),
        .reloads = node->reloads};

    fleetmetrics_request(&parts, request);
}

/* ---- settings ----------------------------------------------------------- */

static void
learn_seeds(struct fleetnode *node, const struct settings_fleet *fleet)
{
    for (unsigned i = 0; i < fleet->seeds_count; i++) {
        char ip[MSG_HOST_BYTES];
        uint16_t port;

        if (settings_address(fleet->seeds[i], ip, sizeof(ip), &port) &&
            strcmp(ip, node->settings->host) != 0) {
            relay_learn(node->relay, ip);
        }
    }
}

/* New seeds count at once; what else has changed takes a start. */
static void
reload(struct fleetnode *node)
{
    struct settings *fresh = NULL;
    char why[400];

    if (settings_load(node->path, &fresh, why, sizeof(why)) != FP_OK ||
        fresh->fleet == NULL) {
        EVENT(EVENT_SETTINGS_RELOAD_FAILED, EVENT_STR("path", node->path),
              EVENT_STR("why", fresh != NULL ? "no fleet in the file" : why));
    }
    else {
        learn_seeds(node, fresh->fleet);
        node->reloads++;
        EVENT(EVENT_SETTINGS_RELOADED, EVENT_STR("path", node->path),
              EVENT_INT("seeds", fresh->fleet->seeds_count));
    }
    settings_free(fresh);
}

static void
on_reload_time(void *ctx, uint64_t now_ms)
{
    struct fleetnode *node = ctx;
    char *text = NULL;

    (void)now_ms;
    if (!g_file_get_contents(node->path, &text, NULL, NULL)) {
        return; /* it is being replaced; the next look finds it */
    }
    if (g_strcmp0(text, node->settings_text) != 0) {
        g_free(node->settings_text);
        node->settings_text = g_strdup(text);
        reload(node);
    }
    g_free(text);
}

/* ---- shutdown ----------------------------------------------------------- */

static struct httpd *
traffic(const struct fleetnode *node)
{
    return node->clients != NULL ? node->clients : node->control;
}

static uint32_t
in_flight(const struct fleetnode *node)
{
    return (node->clients != NULL ? httpd_in_flight(node->clients) : 0) +
           (node->control != NULL ? httpd_in_flight(node->control) : 0);
}

/* Readiness goes first, so that the balancer sends nobody here any more;
 * answers then close their connections. Only later the listener closes. */
static void
advance_drain(struct fleetnode *node, uint64_t now_ms)
{
    uint64_t grace_ms = node->settings->fleet->grace_ms;

    if (node->stage == STAGE_SERVING) {
        return;
    }
    if (in_flight(node) > 0) {
        node->busy_ms = now_ms;
    }
    if (node->stage == STAGE_UNREADY &&
        now_ms >= node->term_ms + grace_ms * UNREADY_PARTS / 8) {
        if (traffic(node) != NULL) {
            httpd_stop_listening(traffic(node));
        }
        node->stage = STAGE_CLOSED;
        node->busy_ms = now_ms;
    }
    if ((node->stage == STAGE_CLOSED &&
         now_ms >= node->busy_ms + IDLE_END_MS) ||
        now_ms >= node->term_ms + grace_ms * CLOSED_PARTS / 8) {
        uv_stop(&node->loop);
    }
}

static void
on_signal(uv_signal_t *signal, int number)
{
    struct fleetnode *node = signal->data;

    if (number == SIGHUP) {
        reload(node);
        return;
    }
    if (node->stage != STAGE_SERVING) {
        return;
    }
    EVENT(EVENT_NODE_DRAINING, EVENT_STR("host", node->settings->host),
          EVENT_INT("signal", number),
          EVENT_INT("in_flight", in_flight(node)));
    node->stage = STAGE_UNREADY;
    node->term_ms = clock_mono_ms();
    node->busy_ms = node->term_ms;
    if (node->clients != NULL) {
        httpd_drain(node->clients);
    }
    if (node->control != NULL) {
        httpd_drain(node->control);
    }
    if (node->replica != NULL) {
        replica_step_down(node->replica);
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

/* ---- life --------------------------------------------------------------- */

static void
on_tick(void *ctx, uint64_t now_ms)
{
    struct fleetnode *node = ctx;

    if (node->dispatch != NULL) {
        dispatch_tick(node->dispatch, now_ms);
    }
    advance_drain(node, now_ms);
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
    const struct replica_machine machine = {apply_change, save_state,
                                            load_state, node};
    const struct replica_ops ops = {.machine = &machine,
                                    .leading = on_leading,
                                    .replaced = on_replaced,
                                    .message = on_message,
                                    .ctx = node};
    const struct fleet_ops fleet_ops = {on_config_changed,
                                        on_target_changed,
                                        on_target_removed,
                                        on_job_added,
                                        on_job_ended,
                                        on_job_removed,
                                        node};
    enum fp_err err;

    node->fleet = fleet_new(node->settings->fleet->keep_ms);
    node->fleet->ops = fleet_ops;
    err = replica_new(&node->loop, node->timers, node->settings, &ops,
                      &node->replica, why, why_bytes);
    if (err != FP_OK) {
        return err;
    }
    if (founds(node->settings) && replica_bootstrap(node->replica) == FP_OK) {
        log_notice(LOG_RAFT, "founded the cell");
    }
    return FP_OK;
}

static enum fp_err
open_bus(struct fleetnode *node, char *why, unsigned why_bytes)
{
    const struct bus_ops ops = {on_message, node};

    return bus_new(&node->loop, node->settings, &ops, &node->bus, why,
                   why_bytes);
}

static enum fp_err
listen_on(struct fleetnode *node, const char *address, http_handler handler,
          struct httpd **out, char *why, unsigned why_bytes)
{
    if (address == NULL) {
        return FP_OK;
    }
    return httpd_new(&node->loop, address, node->settings->tls, handler, node,
                     out, why, why_bytes);
}

static bool
knows(void *ctx, const struct call_announce *announce)
{
    const struct fleetnode *node = ctx;

    return node->fleet != NULL && replica_fresh(node->replica) &&
           !announce->target.leaving &&
           fleet_target_is_recorded(node->fleet, &announce->target);
}

static enum fp_err
open_parts(struct fleetnode *node, char *why, unsigned why_bytes)
{
    const struct settings_fleet *fleet = node->settings->fleet;
    struct relay_ops relay_ops = {NULL, on_called, node};
    struct edge_parts edge_parts = {&node->loop, NULL, node->settings, knows,
                                    node};
    char metrics_why[200];
    enum fp_err err = node->settings->data_folder != NULL
                          ? open_replica(node, why, why_bytes)
                          : open_bus(node, why, why_bytes);

    if (err != FP_OK) {
        return err;
    }
    if (node->replica != NULL) {
        relay_ops.leader = leader_host;
    }
    node->relay = relay_new(node->timers,
                            node->replica != NULL ? replica_bus(node->replica)
                                                  : node->bus,
                            node->settings->host, &relay_ops);
    edge_parts.relay = node->relay;
    node->edge = node->edge_ops->open(&edge_parts);
    learn_seeds(node, fleet);
    err = listen_on(node, fleet->clients, on_client_request, &node->clients,
                    why, why_bytes);
    if (err == FP_OK) {
        err = listen_on(node, fleet->control, on_control_request,
                        &node->control, why, why_bytes);
    }
    if (err == FP_OK) {
        err = listen_on(node, fleet->readiness, on_readiness_request,
                        &node->readiness, why, why_bytes);
    }
    if (err == FP_OK &&
        listen_on(node, fleet->metrics, on_metrics_request, &node->metrics,
                  metrics_why, sizeof(metrics_why)) != FP_OK) {
        log_warn(LOG_NODE, "serves without metrics: %s", metrics_why);
    }
    return err;
}

static void
start_clockwork(struct fleetnode *node)
{
    timers_subscribe(node->timers, TICK_MS, on_tick, node);
    timers_subscribe(node->timers, PING_EVERY_MS, on_ping_time, node);
    timers_subscribe(node->timers, RELOAD_EVERY_MS, on_reload_time, node);
    if (node->replica != NULL) {
        timers_subscribe(node->timers, MEMBERS_EVERY_MS, on_members_time,
                         node);
    }
    uv_prepare_init(&node->loop, &node->flush);
    node->flush.data = node;
    uv_prepare_start(&node->flush, on_flush);
    on_ping_time(node, clock_mono_ms());
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
close_parts(struct fleetnode *node)
{
    httpd_close(node->clients);
    httpd_close(node->control);
    httpd_close(node->readiness);
    httpd_close(node->metrics);
    dispatch_free(node->dispatch);
    node->dispatch = NULL;
    relay_free(node->relay);
    if (node->edge != NULL) {
        node->edge_ops->close(node->edge);
    }
    replica_free(node->replica);
    bus_free(node->bus);
    timers_free(node->timers);
    uv_walk(&node->loop, close_handle, NULL);
    for (int i = 0; i < 10; i++) {
        uv_run(&node->loop, UV_RUN_NOWAIT);
    }
    uv_loop_close(&node->loop);
    fleet_free(node->fleet);
    httpd_free(node->clients);
    httpd_free(node->control);
    httpd_free(node->readiness);
    httpd_free(node->metrics);
}

enum fp_err
fleetnode_run(const struct settings *settings, const char *path,
              const struct edge_ops *edge, char *why, unsigned why_bytes)
{
    struct fleetnode *node = g_new0(struct fleetnode, 1);
    enum fp_err err;

    signal(SIGPIPE, SIG_IGN);
    node->settings = settings;
    node->path = path;
    node->edge_ops = edge;
    g_file_get_contents(path, &node->settings_text, NULL, NULL);
    uv_loop_init(&node->loop);
    node->timers = timers_new(&node->loop);
    err = open_parts(node, why, why_bytes);
    if (err == FP_OK) {
        start_clockwork(node);
        EVENT(EVENT_NODE_STARTED, EVENT_STR("host", settings->host),
              EVENT_STR("data_folder", settings->data_folder != NULL
                                           ? settings->data_folder
                                           : ""));
        uv_run(&node->loop, UV_RUN_DEFAULT);
        EVENT(EVENT_NODE_ENDED, EVENT_STR("host", settings->host),
              EVENT_INT("in_flight", in_flight(node)));
    }
    close_parts(node);
    g_free(node->settings_text);
    g_free(node);
    return err;
}
