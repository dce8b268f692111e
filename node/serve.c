/* serve.c -- one host's process, from its settings to its exit
 *
 * Everything but the disk task runs on one loop. Each part owns its sockets
 * and its state; this file hands events from one to the other.
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

#define TICK_MS 10u
#define HINT_EVERY_MS 150u
#define ASSIGN_EVERY_MS 100u
#define HAND_ON_MAX_MS 3000u /* for a successor to be found */
#define IDLE_END_MS 300u     /* no request for this long ends the drain */

enum stage {
    STAGE_SERVING,
    STAGE_UNREADY, /* the balancer is told to stay away; all is served */
    STAGE_CLOSED,  /* no new connections; what came in is ended */
    STAGE_RETURNED /* slots and units are back; leadership is handed on */
};

struct server {
    const struct settings *settings;
    uv_loop_t loop;
    uv_prepare_t flush;
    uv_signal_t signals[2];
    struct timers *timers;
    struct replica *replica;
    struct leader *leader; /* NULL while another host leads */
    struct assign *assign; /* the same */
    struct fetcher *fetcher;
    struct owner *owner;
    struct gateway *gateway;
    struct api *api;
    struct httpd *httpd;
    enum stage stage;
    uint64_t stage_ms;
    uint64_t drain_ms; /* when the drain began */
    uint64_t busy_ms;  /* when something was last in flight */
};

static void
on_leading(void *ctx, bool leading)
{
    struct server *server = ctx;

    if (leading && server->leader == NULL) {
        log_notice(
            LOG_RAFT, "This host leads, term %llu.",
            (unsigned long long)raft_term(replica_raft(server->replica)));
        server->leader = leader_new(server->replica, server->settings);
        server->assign = assign_new(server->replica, server->settings);
    }
    else if (!leading && server->leader != NULL) {
        log_notice(LOG_RAFT, "This host no longer leads.");
        leader_free(server->leader);
        assign_free(server->assign);
        server->leader = NULL;
        server->assign = NULL;
    }
}

static void
on_replaced(void *ctx)
{
    struct server *server = ctx;

    owner_changed(server->owner);
}

static void
on_task_changed(void *ctx, struct task *task, enum task_state was)
{
    struct server *server = ctx;

    if (server->leader != NULL) {
        leader_task_changed(server->leader, task, was);
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
        owner_changed(server->owner);
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
        owner_changed(server->owner);
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
take_hint(struct server *server, const struct msg_hint *hint)
{
    gateway_hint(server->gateway, hint);
    if (server->assign != NULL) {
        assign_hint(server->assign, hint, clock_mono_ms());
    }
}

static void
on_message(void *ctx, const char *from, uint32_t type, const void *msg)
{
    struct server *server = ctx;

    if (type != MSG_HINT) {
        gateway_message(server->gateway, from, type, msg);
        return;
    }
    take_hint(server, msg);
    if (strcmp(from, raft_leader_host(replica_raft(server->replica))) == 0) {
        owner_caps(server->owner, msg);
    }
}

static void
on_asked(void *ctx, uint64_t ask, const char *route, const json_t *body)
{
    struct server *server = ctx;

    if (server->leader == NULL) {
        replica_answer(server->replica, ask, FP_ERR_NO_LEADER, NULL);
        return;
    }
    leader_asked(server->leader, ask, route, body);
}

static void
on_http(void *ctx, struct http_request *request)
{
    struct server *server = ctx;

    if (strncmp(http_path(request), "/call/", 6) == 0) {
        gateway_call(server->gateway, request);
    }
    else {
        api_handle(server->api, request);
    }
}

static bool
on_ready(void *ctx)
{
    const struct server *server = ctx;

    return server->stage == STAGE_SERVING && replica_fresh(server->replica);
}

static void
on_dump_leader(void *ctx, json_t *dump)
{
    const struct server *server = ctx;

    json_object_set_new(dump, "http_in_flight",
                        json_integer(httpd_in_flight(server->httpd)));
    if (server->leader != NULL) {
        json_object_set_new(dump, "scheduler", leader_dump(server->leader));
        json_object_set_new(dump, "assignments", assign_dump(server->assign));
    }
}

static void
on_hint_time(void *ctx, uint64_t now_ms)
{
    struct server *server = ctx;
    struct msg_hint hint = {.run_id = 0};

    owner_hint(server->owner, &hint, now_ms);
    if (server->assign != NULL) {
        assign_caps(server->assign, &hint.caps);
        owner_caps(server->owner, &hint);
    }
    take_hint(server, &hint);
    replica_broadcast(server->replica, &MSG_HINT_SCHEMA, &hint);
    fp_record_free(&MSG_HINT_SCHEMA, &hint);
}

static void
on_assign_time(void *ctx, uint64_t now_ms)
{
    struct server *server = ctx;

    if (server->assign != NULL) {
        assign_tick(server->assign, now_ms);
    }
}

static void
enter_stage(struct server *server, enum stage stage, uint64_t now_ms)
{
    server->stage = stage;
    server->stage_ms = now_ms;
    server->busy_ms = now_ms;
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

/* Readiness goes first, so that the balancer sends nobody here any more;
 * requests that still come are served, and connections are closed after their
 * answers. Only then the listener closes, slots and units go back, and
 * leadership is handed on.
 */
static void
advance_drain(struct server *server, uint64_t now_ms)
{
    if (!is_idle(server)) {
        server->busy_ms = now_ms;
    }
    switch (server->stage) {
    case STAGE_SERVING:
        return;
    case STAGE_UNREADY:
        if (now_ms >= server->stage_ms + server->settings->times.drain_ms) {
            owner_drain(server->owner);
            httpd_stop_listening(server->httpd);
            enter_stage(server, STAGE_CLOSED, now_ms);
        }
        break;
    case STAGE_CLOSED:
        if (now_ms >= server->busy_ms + IDLE_END_MS &&
            owner_returned_all(server->owner)) {
            replica_step_down(server->replica);
            enter_stage(server, STAGE_RETURNED, now_ms);
        }
        break;
    case STAGE_RETURNED:
        if (now_ms >= server->stage_ms + HAND_ON_MAX_MS ||
            (now_ms >= server->busy_ms + IDLE_END_MS &&
             raft_state(replica_raft(server->replica)) != RAFT_LEADER)) {
            stop_loop(server);
        }
        break;
    }
    if (now_ms >= server->drain_ms + server->settings->times.drain_max_ms) {
        log_warn(LOG_NODE, "The drain took too long; %u requests are left.",
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
    log_notice(LOG_NODE, "Signal %d: draining.", number);
    server->drain_ms = now_ms;
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
start_parts(struct server *server, char *why, unsigned why_bytes)
{
    const struct replica_ops ops = {
        .leading = on_leading,
        .replaced = on_replaced,
        .cell = {on_task_changed, on_attempt_ended, on_target_changed,
                 on_config_changed, on_job_removed, server},
        .message = on_message,
        .asked = on_asked,
        .ctx = server,
    };
    struct api_parts parts = {.settings = server->settings,
                              .ready = on_ready,
                              .dump_leader = on_dump_leader,
                              .ctx = server};
    const struct settings_host *own =
        settings_find(server->settings, server->settings->host);
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
    parts.replica = server->replica;
    parts.gateway = server->gateway;
    parts.owner = server->owner;
    server->api = api_new(&parts);
    return httpd_new(&server->loop, own->http, server->settings->tls, on_http,
                     server, &server->httpd, why, why_bytes);
}

static void
start_clockwork(struct server *server)
{
    timers_subscribe(server->timers, TICK_MS, on_tick, server);
    timers_subscribe(server->timers, HINT_EVERY_MS, on_hint_time, server);
    timers_subscribe(server->timers, ASSIGN_EVERY_MS, on_assign_time, server);
    uv_prepare_init(&server->loop, &server->flush);
    server->flush.data = server;
    uv_prepare_start(&server->flush, on_flush);
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

/* Parts close their own handles; what is left belongs to connections. */
static void
stop_parts(struct server *server)
{
    httpd_close(server->httpd); /* turns the loop: all parts still stand */
    leader_free(server->leader);
    assign_free(server->assign);
    server->leader = NULL;
    server->assign = NULL;
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
    server->settings = settings;
    uv_loop_init(&server->loop);
    server->timers = timers_new(&server->loop);
    err = start_parts(server, why, why_bytes);
    if (err == FP_OK) {
        start_clockwork(server);
        log_notice(LOG_NODE, "Host %s serves.", settings->host);
        uv_run(&server->loop, UV_RUN_DEFAULT);
        log_notice(LOG_NODE, "Host %s ends.", settings->host);
    }
    stop_parts(server);
    g_free(server);
    return err;
}
