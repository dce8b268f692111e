/* serve.c -- the process of one host of a cell, from start to exit
 *
 * Everything but the disk task runs on one event loop. Each component owns its
 * sockets and its state; this file passes events between components.
 */
#include "node/serve.h"

#include <glib.h>
#include <signal.h>
#include <string.h>
#include <uv.h>

#include "base/log.h"
#include "node/api.h"
#include "node/assign.h"
#include "node/leader.h"

#define ENTRY_INTERVAL_MS 1000u /* checks and logs what is refused */
#define TICK_INTERVAL_MS 10u
#define HINT_INTERVAL_MS 150u
#define ASSIGN_INTERVAL_MS 100u
/* The drain does not wait longer than this for a new leader. */
#define LEADER_TRANSFER_TIMEOUT_MS 3000u
/* Time without requests in flight after which STAGE_LISTENER_CLOSED and
 * STAGE_STEPPING_DOWN may end. */
#define DRAIN_IDLE_MS 300u

/* Stages of the shutdown, in order; see advance_drain(). */
enum drain_stage {
    STAGE_SERVING,
    STAGE_UNREADY,         /* readiness checks fail; requests are served */
    STAGE_LISTENER_CLOSED, /* requests in flight are completed */
    STAGE_STEPPING_DOWN    /* leadership is handed over */
};

struct server {
    const struct settings *settings;
    uv_loop_t loop;
    uv_prepare_t
        flush_prepare; /* calls leader_flush() after each round of events */
    uv_signal_t signals[2];
    struct timers *timers;
    struct replica *replica;
    struct leader *leader;     /* NULL unless this host leads */
    struct assigner *assigner; /* NULL unless this host leads */
    struct fetcher *fetcher;
    struct owner *owner;
    struct gateway *gateway;
    struct api *api;
    struct httpd *httpd;
    enum drain_stage stage;
    uint64_t stage_start_ms;
    uint64_t drain_start_ms;
    uint64_t last_busy_ms; /* last time with requests in flight; at least
                            * stage_start_ms */
};

static void
on_leadership_changed(void *ctx, bool leading)
{
    struct server *server = ctx;

    if (leading && server->leader == NULL) {
        log_notice(
            LOG_RAFT, "became the leader in term %llu",
            (unsigned long long)raft_term(replica_raft(server->replica)));
        server->leader = leader_new(server->replica, server->settings);
        server->assigner = assigner_new(server->replica, server->settings);
    }
    else if (!leading && server->leader != NULL) {
        log_notice(LOG_RAFT, "no longer the leader");
        leader_free(server->leader);
        assigner_free(server->assigner);
        server->leader = NULL;
        server->assigner = NULL;
    }
}

static void
on_state_replaced(void *ctx)
{
    struct server *server = ctx;

    owner_cell_changed(server->owner);
}

static void
on_task_changed(void *ctx, struct task *task, enum task_state old_state)
{
    struct server *server = ctx;

    if (server->leader != NULL) {
        leader_task_changed(server->leader, task, old_state);
    }
}

static void
on_attempt_ended(void *ctx, struct task *task, struct target *target)
{
    struct server *server = ctx;

    if (server->leader != NULL) {
        leader_attempt_ended(server->leader, task, target);
    }
}

static void
on_target_changed(void *ctx, struct target *target)
{
    struct server *server = ctx;

    if (server->owner != NULL) {
        owner_cell_changed(server->owner);
    }
    if (server->leader != NULL) {
        leader_target_changed(server->leader, target);
    }
}

static void
on_config_changed(void *ctx)
{
    struct server *server = ctx;

    if (server->owner != NULL) {
        owner_cell_changed(server->owner);
    }
    if (server->leader != NULL) {
        leader_config_changed(server->leader);
    }
}

static void
on_job_removed(void *ctx, struct job *job)
{
    struct server *server = ctx;

    if (server->leader != NULL) {
        leader_job_removed(server->leader, job);
    }
}

static void
handle_hint(struct server *server, const struct msg_hint *hint)
{
    gateway_on_hint(server->gateway, hint);
    if (server->assigner != NULL) {
        assigner_on_hint(server->assigner, hint, clock_mono_ms());
    }
}

static void
on_message(void *ctx, const char *from, uint32_t type, const void *msg)
{
    struct server *server = ctx;

    if (type != MSG_HINT) {
        gateway_on_message(server->gateway, from, type, msg);
        return;
    }
    handle_hint(server, msg);
    if (strcmp(from, raft_leader_host(replica_raft(server->replica))) == 0) {
        owner_set_caps(server->owner, msg);
    }
}

static void
on_query(void *ctx, uint64_t query_id, const char *route, const json_t *body)
{
    struct server *server = ctx;

    if (server->leader == NULL) {
        replica_reply(server->replica, query_id, FP_ERR_NO_LEADER, NULL);
        return;
    }
    leader_handle_query(server->leader, query_id, route, body);
}

static void
on_http_request(void *ctx, struct http_request *request)
{
    struct server *server = ctx;

    if (strncmp(http_path(request), "/call/", 6) == 0) {
        gateway_handle_request(server->gateway, request);
    }
    else {
        api_handle(server->api, request);
    }
}

static bool
is_ready(void *ctx)
{
    const struct server *server = ctx;

    return server->stage == STAGE_SERVING && replica_is_fresh(server->replica);
}

static void
extend_dump(void *ctx, json_t *dump)
{
    const struct server *server = ctx;

    json_object_set_new(dump, "http_in_flight",
                        json_integer(httpd_in_flight(server->httpd)));
    if (server->leader != NULL) {
        json_object_set_new(dump, "scheduler", leader_dump(server->leader));
        json_object_set_new(dump, "assignments",
                            assigner_dump(server->assigner));
    }
}

static void
on_hint_timer(void *ctx, uint64_t now_ms)
{
    struct server *server = ctx;
    struct msg_hint hint = {.run_id = 0};

    owner_fill_hint(server->owner, &hint, now_ms);
    if (server->assigner != NULL) {
        assigner_fill_caps(server->assigner, &hint.caps);
        owner_set_caps(server->owner, &hint);
    }
    handle_hint(server, &hint);
    replica_broadcast(server->replica, &MSG_HINT_SCHEMA, &hint);
    fp_record_free(&MSG_HINT_SCHEMA, &hint);
}

static void
on_assign_timer(void *ctx, uint64_t now_ms)
{
    struct server *server = ctx;

    if (server->assigner != NULL) {
        assigner_tick(server->assigner, now_ms);
    }
}

static void
enter_stage(struct server *server, enum drain_stage stage, uint64_t now_ms)
{
    server->stage = stage;
    server->stage_start_ms = now_ms;
    server->last_busy_ms = now_ms;
}

static bool
is_idle(const struct server *server)
{
    return httpd_in_flight(server->httpd) == 0 &&
           gateway_in_flight(server->gateway) == 0 &&
           owner_in_flight(server->owner) == 0;
}

static void
stop_loop(struct server *server)
{
    uv_stop(&server->loop);
}

/* Readiness is withdrawn first, so that the load balancer stops sending
 * requests; those that still arrive are served, and connections are closed
 * after their responses. After times.drain_ms the listener is closed and slots
 * and units are returned; once that is done, leadership is handed over.
 */
static void
advance_drain(struct server *server, uint64_t now_ms)
{
    if (!is_idle(server)) {
        server->last_busy_ms = now_ms;
    }
    switch (server->stage) {
    case STAGE_SERVING:
        return;
    case STAGE_UNREADY:
        if (now_ms >=
            server->stage_start_ms + server->settings->times.drain_ms) {
            owner_drain(server->owner);
            httpd_stop_listening(server->httpd);
            enter_stage(server, STAGE_LISTENER_CLOSED, now_ms);
        }
        break;
    case STAGE_LISTENER_CLOSED:
        if (now_ms >= server->last_busy_ms + DRAIN_IDLE_MS &&
            owner_returned_all(server->owner)) {
            replica_step_down(server->replica);
            enter_stage(server, STAGE_STEPPING_DOWN, now_ms);
        }
        break;
    case STAGE_STEPPING_DOWN:
        if (now_ms >= server->stage_start_ms + LEADER_TRANSFER_TIMEOUT_MS ||
            (now_ms >= server->last_busy_ms + DRAIN_IDLE_MS &&
             raft_state(replica_raft(server->replica)) != RAFT_LEADER)) {
            stop_loop(server);
        }
        break;
    }
    if (now_ms >=
        server->drain_start_ms + server->settings->times.drain_max_ms) {
        log_warn(LOG_NODE,
                 "the drain took too long; %u HTTP requests are unanswered",
                 httpd_in_flight(server->httpd));
        stop_loop(server);
    }
}

static void
on_tick(void *ctx, uint64_t now_ms)
{
    struct server *server = ctx;

    if (server->leader != NULL) {
        leader_tick(server->leader, now_ms);
    }
    owner_tick(server->owner, now_ms);
    gateway_tick(server->gateway, now_ms);
    advance_drain(server, now_ms);
}

static void
set_entry_bounds(struct server *server)
{
    const struct entry_limits limits = settings_entry_limits(server->settings);
    struct entry_bounds bounds;

    entry_set_bounds(&limits, ENTRY_CLIENTS, &bounds);
    httpd_set_bounds(server->httpd, &bounds);
}

static void
on_entry_timer(void *ctx, uint64_t now_ms)
{
    struct server *server = ctx;
    struct entry_load load;
    uint64_t refused;

    (void)now_ms;
    httpd_check_partial(server->httpd);
    refused = httpd_take_refused(server->httpd);
    if (refused > 0) {
        httpd_load(server->httpd, &load);
        log_warn(LOG_HTTP,
                 "%llu requests, answers or connections refused: %u requests, "
                 "%u connections, %llu bytes of input",
                 (unsigned long long)refused, load.requests, load.connections,
                 (unsigned long long)load.input_bytes);
    }
}

static void
on_flush(uv_prepare_t *prepare)
{
    struct server *server = prepare->data;

    if (server->leader != NULL) {
        leader_flush(server->leader, clock_mono_ms());
    }
}

static void
on_signal(uv_signal_t *signal, int number)
{
    struct server *server = signal->data;
    uint64_t now_ms = clock_mono_ms();

    if (server->stage != STAGE_SERVING) {
        return;
    }
    log_notice(LOG_NODE, "received signal %d; draining", number);
    server->drain_start_ms = now_ms;
    httpd_drain(server->httpd);
    enter_stage(server, STAGE_UNREADY, now_ms);
}

static void
watch_signals(struct server *server)
{
    static const int numbers[] = {SIGTERM, SIGINT};

    for (int i = 0; i < 2; i++) {
        uv_signal_init(&server->loop, &server->signals[i]);
        server->signals[i].data = server;
        uv_signal_start(&server->signals[i], on_signal, numbers[i]);
    }
}

static enum fp_err
open_components(struct server *server, char *why, unsigned why_bytes)
{
    const struct replica_ops ops = {
        .on_leadership_changed = on_leadership_changed,
        .on_state_replaced = on_state_replaced,
        .cell = {on_task_changed, on_attempt_ended, on_target_changed,
                 on_config_changed, on_job_removed, server},
        .on_message = on_message,
        .on_query = on_query,
        .ctx = server,
    };
    struct api_deps deps = {.settings = server->settings,
                            .is_ready = is_ready,
                            .extend_dump = extend_dump,
                            .ctx = server};
    const struct settings_host *own_host =
        settings_find_host(server->settings, server->settings->host);
    enum fp_err err =
        replica_new(&server->loop, server->timers, server->settings, &ops,
                    &server->replica, why, why_bytes);

    if (err != FP_OK) {
        return err;
    }
    server->fetcher = fetcher_new(&server->loop);
    server->owner =
        owner_new(server->replica, server->settings, server->fetcher);
    server->gateway =
        gateway_new(server->replica, server->settings, server->owner);
    deps.replica = server->replica;
    deps.gateway = server->gateway;
    deps.owner = server->owner;
    server->api = api_new(&deps);
    err = httpd_new(&server->loop, own_host->http, server->settings->tls,
                    on_http_request, server, &server->httpd, why, why_bytes);
    set_entry_bounds(server);
    return err;
}

static void
start_handles(struct server *server)
{
    timers_subscribe(server->timers, TICK_INTERVAL_MS, on_tick, server);
    timers_subscribe(server->timers, HINT_INTERVAL_MS, on_hint_timer, server);
    timers_subscribe(server->timers, ENTRY_INTERVAL_MS, on_entry_timer,
                     server);
    timers_subscribe(server->timers, ASSIGN_INTERVAL_MS, on_assign_timer,
                     server);
    uv_prepare_init(&server->loop, &server->flush_prepare);
    server->flush_prepare.data = server;
    uv_prepare_start(&server->flush_prepare, on_flush);
    watch_signals(server);
}

static void
close_handle(uv_handle_t *handle, void *ctx)
{
    (void)ctx;
    if (!uv_is_closing(handle)) {
        uv_close(handle, NULL);
    }
}

/* Each component closes its handles; uv_walk() closes those of connections. */
static void
close_components(struct server *server)
{
    /* First, since it may run the loop, whose callbacks use all components. */
    httpd_close(server->httpd);
    leader_free(server->leader);
    assigner_free(server->assigner);
    server->leader = NULL;
    server->assigner = NULL;
    api_free(server->api);
    gateway_free(server->gateway);
    fetcher_free(server->fetcher);
    owner_free(server->owner);
    replica_free(server->replica);
    timers_free(server->timers);
    uv_walk(&server->loop, close_handle, NULL);
    for (int i = 0; i < 10; i++) {
        uv_run(&server->loop, UV_RUN_NOWAIT);
    }
    uv_loop_close(&server->loop);
    httpd_free(server->httpd);
}

enum fp_err
serve_run(const struct settings *settings, char *why, unsigned why_bytes)
{
    struct server *server = g_new0(struct server, 1);
    enum fp_err err;

    signal(SIGPIPE, SIG_IGN);
    signal(SIGXFSZ, SIG_IGN); /* a file too large is a failed write */
    server->settings = settings;
    uv_loop_init(&server->loop);
    server->timers = timers_new(&server->loop);
    err = open_components(server, why, why_bytes);
    if (err == FP_OK) {
        start_handles(server);
        log_notice(LOG_NODE, "host %s is serving", settings->host);
        uv_run(&server->loop, UV_RUN_DEFAULT);
        log_notice(LOG_NODE, "host %s is stopping", settings->host);
    }
    close_components(server);
    g_free(server);
    return err;
}
