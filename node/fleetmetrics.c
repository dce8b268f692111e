/* fleetmetrics.c -- counters of a fleet's host, as text and as a dump */
#include "node/fleetmetrics.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"

static void
add(GString *out, const char *name, uint64_t value)
{
    g_string_append_printf(out, "filbertpath_%s %llu\n", name,
                           (unsigned long long)value);
}

static void
add_relay(GString *out, const struct relay *relay)
{
    const struct relay_counters *relay_counts = relay_counters(relay);

    add(out, "calls_total", relay_counts->calls);
    add(out, "call_copies_total", relay_counts->sent);
    add(out, "call_retries_total", relay_counts->retried);
    add(out, "call_timeouts_total", relay_counts->timed_out);
    add(out, "calls_answered_total", relay_counts->answered);
    add(out, "calls_in_flight", relay_in_flight(relay));
}

static void
add_bus(GString *out, const struct bus *bus)
{
    const struct bus_counters *counts = bus_counters(bus);

    add(out, "bus_sent_total", counts->sent);
    add(out, "bus_sent_bytes_total", counts->sent_bytes);
    add(out, "bus_received_total", counts->received);
    add(out, "bus_received_bytes_total", counts->received_bytes);
    add(out, "bus_refused_total", counts->refused);
    add(out, "bus_malformed_total", counts->malformed);
}

static void
add_plan(GString *out, const struct plan_counters *counts)
{
    add(out, "starts_total", counts->starts);
    add(out, "starts_refused_total", counts->starts_refused);
    add(out, "starts_unknown_total", counts->starts_unknown);
    add(out, "stops_total", counts->stops);
    add(out, "preempted_total", counts->preempted);
    add(out, "runs_lost_total", counts->runs_lost);
    add(out, "policy_questions_total", counts->policy_queries);
    add(out, "jobs_rejected_total", counts->jobs_rejected);
    add(out, "plan_passes_total", counts->passes);
    for (int i = 0; i < RUN_OUTCOME_COUNT; i++) {
        g_string_append_printf(out,
                               "filbertpath_runs_ended_total{outcome=\"%s\"} "
                               "%llu\n",
                               RUN_OUTCOME_NAMES[i],
                               (unsigned long long)counts->ends[i]);
    }
}

static void
add_call_times(GString *out, const struct relay_counters *counts)
{
    static const struct {
        enum call_kind kind;
        const char *label;
    } rows[] = {{CALL_SUBMIT, "kind=\"submit\""},
                {CALL_STATE, "kind=\"state\""},
                {CALL_CANCEL, "kind=\"cancel\""},
                {CALL_WAITING, "kind=\"waiting\""},
                {CALL_CONFIGURE, "kind=\"configure\""},
                {CALL_READ_CONFIG, "kind=\"read_config\""},
                {CALL_ANNOUNCE, "kind=\"announce\""}};

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        histogram_append_text(&counts->took_ms[rows[i].kind], "call_ms",
                              rows[i].label, out);
    }
}

static void
add_leader_times(GString *out, const struct dispatch_times *times)
{
    histogram_append_text(&times->commit, "commit_ms", "", out);
    histogram_append_text(&times->first_start, "first_start_ms", "", out);
    histogram_append_text(&times->order, "start_order_ms", "", out);
    histogram_append_text(&times->advice, "policy_ms", "", out);
    histogram_append_text(&times->completion,
                          "completion_permille_of_objective", "", out);
}

static void
reply_metrics(const struct fleetmetrics_parts *parts,
              struct http_request *request)
{
    GString *out = g_string_new(NULL);

    add(out, "ready", parts->ready);
    add(out, "reloads_total", parts->reloads);
    add(out, "log_lines_dropped_total", event_dropped_lines());
    add_relay(out, parts->relay);
    add_call_times(out, relay_counters(parts->relay));
    add_bus(out, parts->bus);
    if (parts->replica != NULL) {
        const struct raft *raft = replica_raft(parts->replica);

        add(out, "leads", replica_leads(parts->replica));
        add(out, "term", raft_term(raft));
        add(out, "commit_index", raft_commit_index(raft));
    }
    if (parts->dispatch != NULL) {
        add_plan(out, dispatch_counters(parts->dispatch));
        add_leader_times(out, dispatch_times(parts->dispatch));
    }
    http_reply(request, 200, "text/plain", out->str, out->len, 0);
    g_string_free(out, TRUE);
}

static void
reply_dump(const struct fleetmetrics_parts *parts,
           struct http_request *request)
{
    json_t *dump = json_pack("{s:b,s:s}", "ready", parts->ready, "leader",
                             relay_leader(parts->relay));
    char *text;

    if (parts->replica != NULL) {
        json_object_set_new(dump, "replica", replica_dump(parts->replica));
    }
    if (parts->dispatch != NULL) {
        json_object_set_new(dump, "dispatch", dispatch_dump(parts->dispatch));
    }
    text = json_dumps(dump, JSON_INDENT(1));
    http_reply(request, 200, "application/json", text, strlen(text), 0);
    free(text);
    json_decref(dump);
}

void
fleetmetrics_request(const struct fleetmetrics_parts *parts,
                     struct http_request *request)
{
    if (strcmp(http_path(request), "/metrics") == 0) {
        reply_metrics(parts, request);
    }
    else if (strcmp(http_path(request), "/dump") == 0) {
        reply_dump(parts, request);
    }
    else {
        http_reply_error(request, FP_ERR_NOT_FOUND, "");
    }
}
