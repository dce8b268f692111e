/* fleetmetrics.c -- metrics and state dump of one host, over HTTP */
#include "node/fleetmetrics.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "node/clock.h"

static void
add_value(GString *out, const char *name, uint64_t value)
{
    g_string_append_printf(out, "filbertpath_%s %llu\n", name,
                           (unsigned long long)value);
}

static void
add_relay_counters(GString *out, const struct relay *relay)
{
    const struct relay_counters *counters = relay_counters(relay);

    add_value(out, "calls_total", counters->calls);
    add_value(out, "call_copies_total", counters->sent);
    add_value(out, "call_retries_total", counters->retried);
    add_value(out, "call_timeouts_total", counters->timed_out);
    add_value(out, "calls_answered_total", counters->answered);
    add_value(out, "calls_repeated_total", counters->repeated);
    add_value(out, "calls_in_flight", relay_in_flight(relay));
}

static void
add_bus_counters(GString *out, const struct bus *bus)
{
    const struct bus_counters *counters = bus_counters(bus);
    const struct bus_guard_counters connections = bus_connection_counters(bus);
    const struct bus_inlet_counters held = bus_held_counters(bus);

    add_value(out, "bus_sent_total", counters->sent);
    add_value(out, "bus_sent_bytes_total", counters->sent_bytes);
    add_value(out, "bus_received_total", counters->received);
    add_value(out, "bus_received_bytes_total", counters->received_bytes);
    add_value(out, "bus_refused_total", counters->refused);
    add_value(out, "bus_malformed_total",
              counters->malformed + held.malformed);
    add_value(out, "bus_connections", connections.connections);
    add_value(out, "bus_connections_max", connections.connections_max);
    add_value(out, "bus_closed_total", connections.closed + held.closed);
    add_value(out, "bus_partial_bytes", held.partial_bytes);
    add_value(out, "bus_partial_bytes_max", held.partial_max_bytes);
    add_value(out, "bus_pauses_total", held.pauses);
    add_value(out, "bus_waiting_bytes", held.waiting_bytes);
    add_value(out, "bus_waiting_bytes_max", held.waiting_max_bytes);
}

/* What the clients' listener holds, its bounds and how often they were met. */
static void
add_entry(GString *out, const struct httpd *clients)
{
    const struct httpd_counters *counters = httpd_counters(clients);
    const struct entry_bounds *bounds = httpd_bounds(clients);
    struct entry_load load;

    httpd_load(clients, &load);
    add_value(out, "entry_connections", load.connections);
    add_value(out, "entry_connections_max", bounds->connections);
    add_value(out, "entry_requests", load.requests);
    add_value(out, "entry_requests_max", bounds->requests);
    add_value(out, "entry_request_bytes", load.request_bytes);
    add_value(out, "entry_request_bytes_max", bounds->request_bytes);
    add_value(out, "entry_refused_total", counters->refused_requests);
    add_value(out, "entry_closed_idle_total", counters->closed_idle);
    add_value(out, "entry_closed_new_total", counters->closed_new);
    add_value(out, "entry_closed_partial_total", counters->closed_partial);
}

static void
add_listener_value(GString *out, const char *name, const char *listener,
                   uint64_t value)
{
    g_string_append_printf(out,
                           "filbertpath_listener_%s{listener=\"%s\"} %llu\n",
                           name, listener, (unsigned long long)value);
}

/* The same of each listener, with what holds bytes of its callers. */
static void
add_listener(GString *out, const struct httpd *httpd, const char *name)
{
    const struct httpd_counters *counters = httpd_counters(httpd);
    const struct entry_bounds *bounds = httpd_bounds(httpd);
    struct entry_load load;

    httpd_load(httpd, &load);
    add_listener_value(out, "connections", name, load.connections);
    add_listener_value(out, "connections_max", name, bounds->connections);
    add_listener_value(out, "input_bytes", name, load.input_bytes);
    add_listener_value(out, "input_bytes_max", name, bounds->partial_bytes);
    add_listener_value(out, "answer_bytes", name, load.answer_bytes);
    add_listener_value(out, "answer_bytes_max", name, bounds->answer_bytes);
    add_listener_value(out, "refused_requests_total", name,
                       counters->refused_requests);
    add_listener_value(out, "refused_answers_total", name,
                       counters->refused_answers);
    add_listener_value(out, "closed_idle_total", name, counters->closed_idle);
    add_listener_value(out, "closed_new_total", name, counters->closed_new);
    add_listener_value(out, "closed_partial_total", name,
                       counters->closed_partial);
    add_listener_value(out, "closed_unread_total", name,
                       counters->closed_unread);
}

static void
add_plan_gauges(GString *out, const struct plan_gauges *gauges)
{
    add_value(out, "unfit_cpu_milli", gauges->unfit.cpu_milli);
    add_value(out, "unfit_memory_mb", gauges->unfit.memory_mb);
    add_value(out, "unfit_accel", gauges->unfit.accel);
    add_value(out, "targets_unlisted", gauges->targets_unlisted);
    add_value(out, "jobs_held", gauges->jobs_held);
    add_value(out, "targets_slow", gauges->targets_slow);
    add_value(out, "targets_turned_slow", gauges->targets_turned_slow);
}

static void
add_plan_counters(GString *out, const struct plan_counters *counters)
{
    add_value(out, "starts_total", counters->starts);
    add_value(out, "starts_refused_total", counters->starts_refused);
    add_value(out, "starts_unknown_total", counters->starts_unknown);
    add_value(out, "stops_total", counters->stops);
    add_value(out, "preempted_total", counters->preempted);
    add_value(out, "runs_lost_total", counters->runs_lost);
    add_value(out, "targets_lost_total", counters->targets_lost);
    add_value(out, "targets_lost_common_total", counters->common_losses);
    add_value(out, "crash_trials_total", counters->trials);
    add_value(out, "tasks_given_up_total", counters->tasks_given_up);
    add_value(out, "jobs_over_limit_total", counters->jobs_over_limit);
    add_value(out, "evacuated_runs_total", counters->evacuated_runs);
    add_value(out, "copies_total", counters->copies);
    add_value(out, "copies_won_total", counters->copies_won);
    add_value(out, "copies_lost_total", counters->copies_lost);
    add_value(out, "copies_wasted_core_ms_total",
              counters->copy_waste_milli_s);
    add_value(out, "policy_questions_total", counters->policy_queries);
    for (int i = 0; i < QUERY_PURPOSE_COUNT; i++) {
        g_string_append_printf(
            out, "filbertpath_policy_queries_total{purpose=\"%s\"} %llu\n",
            QUERY_PURPOSE_NAMES[i],
            (unsigned long long)counters->policy_queries_for[i]);
    }
    add_value(out, "policy_tickets_unused_total", counters->tickets_unused);
    add_value(out, "jobs_rejected_total", counters->jobs_rejected);
    add_value(out, "plan_passes_total", counters->passes);
    for (int i = 0; i < RUN_OUTCOME_COUNT; i++) {
        g_string_append_printf(out,
                               "filbertpath_runs_ended_total{outcome=\"%s\"} "
                               "%llu\n",
                               RUN_OUTCOME_NAMES[i],
                               (unsigned long long)counters->ends[i]);
    }
}

/* Runs lost with their targets. suspect: the start of the run may have crashed
 * the target; neighbour: it was beside such a run, or the target was lost for
 * another cause. */
static void
add_lost_runs(GString *out, const struct fleet *fleet)
{
    for (guint i = 0; i < fleet->queues->len; i++) {
        const struct fleet_queue *queue = fleet->queues->pdata[i];
        const struct {
            const char *label;
            uint64_t runs;
        } counts[] = {{"suspect", queue->lost_suspects},
                      {"neighbour", queue->lost_neighbours}};

        for (size_t k = 0; k < sizeof(counts) / sizeof(counts[0]); k++) {
            g_string_append_printf(
                out,
                "filbertpath_queue_runs_lost_total{queue=\"%s\",as=\"%s\"} "
                "%llu\n",
                queue->conf.name, counts[k].label,
                (unsigned long long)counts[k].runs);
        }
    }
}

/* Jobs beyond their teams' shares, and what the teams have left. */
static void
add_shares(GString *out, const struct fleet *fleet)
{
    GHashTableIter iter;
    const struct fleet_team *team;

    for (guint i = 0; fleet->share_window_ms > 0 && i < fleet->queues->len;
         i++) {
        const struct fleet_queue *queue = fleet->queues->pdata[i];

        g_string_append_printf(
            out,
            "filbertpath_queue_jobs_beyond_share_total{queue=\"%s\"} %llu\n",
            queue->conf.name, (unsigned long long)queue->jobs_beyond_share);
    }
    g_hash_table_iter_init(&iter, fleet->teams);
    while (fleet->share_window_ms > 0 &&
           g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        if (!team->configured || team->weight == 0) {
            continue;
        }
        g_string_append_printf(
            out,
            "filbertpath_team_jobs_beyond_share_total{team=\"%s\"} %llu\n"
            "filbertpath_team_share_jobs{team=\"%s\"} %llu\n",
            team->name, (unsigned long long)team->jobs_beyond_share,
            team->name,
            (unsigned long long)share_tokens_micro(&team->share, team->weight,
                                                   fleet->share_window_ms,
                                                   clock_wall_ms()) /
                1000000);
    }
}

static void
add_call_latencies(GString *out, const struct relay_counters *counters)
{
    static const struct {
        enum call_kind kind;
        const char *label;
    } kinds[] = {{CALL_SUBMIT, "kind=\"submit\""},
                 {CALL_STATE, "kind=\"state\""},
                 {CALL_CANCEL, "kind=\"cancel\""},
                 {CALL_WAITING, "kind=\"waiting\""},
                 {CALL_CONFIGURE, "kind=\"configure\""},
                 {CALL_READ_CONFIG, "kind=\"read_config\""},
                 {CALL_ANNOUNCE, "kind=\"announce\""},
                 {CALL_EVACUATE, "kind=\"evacuate\""}};

    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        histogram_append_text(&counters->latency_ms[kinds[i].kind], "call_ms",
                              kinds[i].label, out);
    }
}

static void
add_dispatch_histograms(GString *out, const struct dispatch_times *times)
{
    histogram_append_text(&times->commit_ms, "commit_ms", "", out);
    histogram_append_text(&times->first_start_ms, "first_start_ms", "", out);
    histogram_append_text(&times->start_order_ms, "start_order_ms", "", out);
    histogram_append_text(&times->policy_query_ms, "policy_ms", "", out);
    histogram_append_text(&times->completion_permille,
                          "completion_permille_of_objective", "", out);
}

static void
add_policy_counters(GString *out,
                    const struct dispatch_policy_counters *counters)
{
    add_value(out, "policy_failures_total", counters->failures);
    add_value(out, "policy_given_up_total", counters->given_up);
    add_value(out, "policy_unread_entries_total", counters->unread);
    add_value(out, "policy_stated_ms_total", counters->stated_ms);
    add_value(out, "policy_measured_ms_total", counters->measured_ms);
    add_value(out, "policy_answers_late_total", counters->late);
    add_value(out, "policy_queries_repeated_total", counters->repeated);
    add_value(out, "policy_answers_late_used_total", counters->late_used);
    add_value(out, "policy_queries_under_way", counters->under_way);
    add_value(out, "policy_queries_limit", counters->limit);
    add_value(out, "policy_hosts", counters->hosts);
}

static void
add_room(GString *out, const struct dispatch *dispatch)
{
    const struct dispatch_room room = dispatch_room(dispatch);

    add_value(out, "job_bytes", room.job_bytes);
    add_value(out, "job_bytes_max", room.limits.job_bytes);
    add_value(out, "jobs_without_room_total", room.jobs_without_room);
    add_value(out, "targets", room.targets);
    add_value(out, "targets_max", room.limits.targets);
    add_value(out, "targets_refused_total", room.targets_refused);
}

static void
add_evacuations(GString *out, const struct fleet *fleet)
{
    GHashTableIter iter;
    const struct fleet_data_centre *data_centre;

    g_hash_table_iter_init(&iter, fleet->data_centres);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&data_centre)) {
        g_string_append_printf(
            out, "filbertpath_evacuated{data_centre=\"%s\"} %d\n",
            data_centre->name, data_centre->evacuated);
    }
}

static void
add_disk(GString *out, const struct replica_disk_status *disk)
{
    add_value(out, "disk_failures_total", disk->failures);
    add_value(out, "disk_recoveries_total", disk->recoveries);
    add_value(out, "disk_failed_ms",
              disk->failed_since_ms == 0
                  ? 0
                  : clock_mono_ms() - disk->failed_since_ms);
    add_value(out, "disk_write_ms", disk->write_ms);
    add_value(out, "snapshot_failures_total", disk->snapshot_failures);
    add_value(out, "log_bytes", disk->log_bytes);
}

static void
reply_metrics(const struct fleetmetrics_sources *sources,
              struct http_request *request)
{
    GString *out = g_string_new(NULL);

    add_value(out, "ready", sources->ready);
    add_value(out, "reloads_total", sources->reloads);
    add_value(out, "connections_refused_total", sources->connections_refused);
    add_value(out, "answers_dropped_total", sources->answers_dropped);
    add_value(out, "log_lines_dropped_total", event_dropped_lines());
    add_relay_counters(out, sources->relay);
    add_call_latencies(out, relay_counters(sources->relay));
    add_bus_counters(out, sources->bus);
    if (sources->listeners[ENTRY_CLIENTS] != NULL) {
        add_entry(out, sources->listeners[ENTRY_CLIENTS]);
    }
    for (int i = 0; i < ENTRY_LISTENER_COUNT; i++) {
        if (sources->listeners[i] != NULL) {
            add_listener(out, sources->listeners[i], ENTRY_LISTENER_NAMES[i]);
        }
    }
    if (sources->replica != NULL) {
        const struct raft *raft = replica_raft(sources->replica);
        const struct replica_disk_status disk =
            replica_disk_status(sources->replica);

        add_value(out, "leads", replica_is_leader(sources->replica));
        add_value(out, "term", raft_term(raft));
        add_value(out, "commit_index", raft_commit_index(raft));
        add_disk(out, &disk);
        add_evacuations(out, sources->fleet);
    }
    if (sources->dispatch != NULL) {
        const struct plan_gauges gauges = dispatch_gauges(sources->dispatch);

        add_plan_gauges(out, &gauges);
        add_plan_counters(out, dispatch_counters(sources->dispatch));
        add_room(out, sources->dispatch);
        add_policy_counters(out, dispatch_policy_counters(sources->dispatch));
        add_value(out, "checkpoints_refused_total",
                  dispatch_checkpoints_refused(sources->dispatch));
        add_lost_runs(out, sources->fleet);
        add_shares(out, sources->fleet);
        add_dispatch_histograms(out, dispatch_times(sources->dispatch));
    }
    http_reply(request, 200, "text/plain", out->str, out->len, 0);
    g_string_free(out, TRUE);
}

static void
reply_dump(const struct fleetmetrics_sources *sources,
           struct http_request *request)
{
    json_t *dump = json_pack("{s:b,s:s}", "ready", sources->ready, "leader",
                             relay_leader(sources->relay));
    char *text;

    if (sources->replica != NULL) {
        json_object_set_new(dump, "replica", replica_dump(sources->replica));
    }
    if (sources->dispatch != NULL) {
        json_object_set_new(dump, "dispatch",
                            dispatch_dump(sources->dispatch));
    }
    text = json_dumps(dump, JSON_INDENT(1));
    http_reply(request, 200, "application/json", text, strlen(text), 0);
    free(text);
    json_decref(dump);
}

void
fleetmetrics_handle_request(const struct fleetmetrics_sources *sources,
                            struct http_request *request)
{
    if (strcmp(http_path(request), "/metrics") == 0) {
        reply_metrics(sources, request);
    }
    else if (strcmp(http_path(request), "/dump") == 0) {
        reply_dump(sources, request);
    }
    else {
        http_reply_error(request, FP_ERR_NOT_FOUND, "");
    }
}
