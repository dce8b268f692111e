/* event.c -- structured event log: one JSON object per line */
#include "base/event.h"

#include <glib.h>
#include <jansson.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define BUFFER_MAX_BYTES (256u * 1024) /* lines that are not written yet */
/* A pipe that polls as writable takes this much without blocking (PIPE_BUF).
 */
#define WRITE_MAX_BYTES 4096u

static const struct event_row ROWS[EVENT_COUNT] = {
    [EVENT_NODE_STARTED] = {"node.started", 5, "host data_folder",
                            "the process started and serves requests"},
    [EVENT_NODE_DRAINING] = {"node.draining", 5, "host signal in_flight",
                             "a signal started the shutdown"},
    [EVENT_HOST_FULL] =
        {"host.full", 5,
         "host listener refused requests connections input_bytes "
         "answer_bytes connecting server",
         "a listener of the host refused requests, answers or "
         "connections, beyond its bounds"},
    [EVENT_NODE_ENDED] = {"node.ended", 5, "host in_flight",
                          "the process is about to exit"},
    [EVENT_SETTINGS_RELOADED] = {"settings.read", 5, "path seeds",
                                 "the settings file was reloaded"},
    [EVENT_SETTINGS_RELOAD_FAILED] =
        {"settings.kept", 5, "path why",
         "reloading the settings file failed; the old settings stay in "
         "force"},
    [EVENT_DISK_FAILED] =
        {"disk.failed", 5,
         "operation file error offset size folder_bytes failures retry_ms",
         "a system call on the data folder failed; the replica does not lead, "
         "vote or acknowledge until a write succeeds"},
    [EVENT_DISK_RECOVERED] =
        {"disk.recovered", 5, "failed_ms failures",
         "the disk takes writes again; the replica is a full voter"},
    [EVENT_DISK_SLOW] =
        {"disk.slow", 1, "took_ms write vote last",
         "a write took as long as an election timeout; write: its number, "
         "vote: 1 if it stored a term or a vote, last: the last index in the "
         "log; elections wait for votes twice as long"},
    [EVENT_LEADER_LOST] = {"leader.lost", 5, "leader silent_ms",
                           "no leader answers; calls are refused immediately"},
    [EVENT_LEADER_FOUND] = {"leader.heard", 5, "leader silent_ms",
                            "a leader answers again"},
    [EVENT_LEADER_MISSING] =
        {"leader.missing", 10,
         "for_ms term last last_term commit voters votes",
         "this replica knows no leader; last: index of its newest entry; "
         "voters: hosts of its newest list; votes: those that it was granted "
         "last"},
    [EVENT_LINES_DROPPED] =
        {"lines.left_out", 50, "of count",
         "lines of an event were dropped: rate limit exceeded "
         "or buffer full"},
    [EVENT_TEXT] = {"text", 50, "part level text",
                    "a free-text log line of a component"},
    [EVENT_LEADERSHIP_STARTED] = {"cell.leads", 10, "host term config",
                                  "this host became the leader"},
    [EVENT_LEADERSHIP_ENDED] = {"cell.leads_no_more", 10, "host term",
                                "this host is no longer the leader"},
    [EVENT_TAKEOVER_COMPLETED] =
        {"cell.took_over", 10, "targets after_ms",
         "every target has listed its runs or is lost: the new "
         "leader starts the work that it took over"},
    [EVENT_MEMBER_ADDED] = {"member.added", 10, "host replica",
                            "a replica is added to the cell"},
    [EVENT_MEMBER_REMOVED] = {"member.removed", 10, "host replica",
                              "a replica is removed from the cell"},
    [EVENT_MEMBER_LEAVING] =
        {"member.leaving", 10, "host replica",
         "a replica says that its host is being stopped; it is removed where "
         "the others then tolerate more losses"},
    [EVENT_CONFIG_REFUSED] = {"config.refused", 20, "version why",
                              "an invalid configuration was rejected"},
    [EVENT_CONFIG_IN_FORCE] = {"config.in_force", 50, "version queues teams",
                               "a configuration took effect on this host"},
    [EVENT_TARGET_ANNOUNCED] =
        {"target.known", 200, "id service address leaving born",
         "a target announced itself or changed its announcement"},
    [EVENT_TARGET_SESSION] =
        {"target.session", 200, "id born fence",
         "the leader opened a session with a target, or with its next "
         "incarnation; once that has obeyed an order with this fence, it "
         "refuses those of earlier sessions"},
    [EVENT_TARGET_UNRESPONSIVE] =
        {"target.silent", 100, "id answer",
         "a lease renewal failed; the target gets no starts"},
    [EVENT_TARGET_RECOVERED] =
        {"target.back", 100, "id runs",
         "an unresponsive or lost target answers again"},
    [EVENT_TARGET_OUTAGE] =
        {"target.outage", 100, "id over tasks",
         "what may run on an unresponsive target is recorded"},
    [EVENT_TARGET_DEPARTED] = {"target.departed", 100,
                               "id leaving listed runs",
                               "a target said that it ends, or another one "
                               "announced its address; it "
                               "is removed once none of its runs can go on"},
    [EVENT_TARGET_ENDS_CUT] =
        {"target.ends_cut", 100, "id ends runs known",
         "a target has more ends than it lists at once; known: runs that are "
         "still without an end"},
    [EVENT_TARGET_LOST] =
        {"target.lost", 100, "id why",
         "a target is lost; no run is active there any more"},
    [EVENT_TARGET_CRASHED] =
        {"target.crashed", 200, "id how runs suspects common silent_ms",
         "a target was lost with its runs; common: for a cause that it shares "
         "with other targets"},
    [EVENT_TASK_SUSPECTED] =
        {"task.suspected", 200, "id run evidence verdict ran_ms",
         "evidence on a task whose target crashed, or that cleared it; with "
         "the verdict proven its job fails"},
    [EVENT_TASK_USED_UP] =
        {"task.used_up", 200, "id run max_attempts",
         "a task without a run has failed as often as its queue allows now, "
         "which it had not when it failed last, by run; its job fails"},
    [EVENT_TARGET_REMOVED] = {"target.removed", 100, "id",
                              "a target was removed from the state"},
    [EVENT_TARGET_REFUSED] = {"target.refused", 10,
                              "id service targets targets_max",
                              "a target that is not known was refused: the "
                              "state has no room for more"},
    [EVENT_TARGET_BACKOFF] =
        {"target.shunned", 100, "id for_ms failures",
         "a target gets no starts for a while after failures"},
    [EVENT_EVACUATION_ORDERED] = {"evacuation.ordered", 20, "id",
                                  "no run starts in this data centre any "
                                  "more"},
    [EVENT_EVACUATION_WITHDRAWN] = {"evacuation.withdrawn", 20, "id",
                                    "runs start in this data centre again"},
    [EVENT_CALL_ENDED] = {"call.ended", 100, "id call took_ms",
                          "a submission or cancellation succeeded"},
    [EVENT_CALL_FAILED] = {"call.failed", 200, "id call path error took_ms",
                           "a client's call was refused or got no answer"},
    [EVENT_JOB_ACCEPTED] = {"job.accepted", 300,
                            "id queue team tasks chain_ms objective_ms "
                            "config beyond_share",
                            "a job is committed on a majority of replicas"},
    [EVENT_JOB_REJECTED] = {"job.rejected", 200,
                            "id queue error why retry_after_ms config",
                            "a job was rejected; it never runs"},
    [EVENT_JOB_ENDED] = {"job.ended", 300, "id state took_ms objective_ms",
                         "a job completed, failed or was cancelled"},
    [EVENT_JOB_RELEASED] =
        {"job.released", 100, "id queue service unlisted",
         "work taken over goes on although some targets have not listed their "
         "runs: none of them can run it"},
    [EVENT_STEP_WAITING] =
        {"step.waits", 100,
         "id idle why waited_ms named granted refused asking expired fitting "
         "kept holding running query query_ms next_query_ms free_cpu "
         "free_accel beyond_share",
         "a step has waited for more than a second; of the targets named to "
         "the "
         "placement policy: granted, refused, without an answer yet, granted "
         "with "
         "a ticket that has expired; fitting: tasks that the granted ones "
         "have "
         "room for; kept: more that would fit but for reservations and "
         "pauses; holding: that they could hold if empty; running: tasks that "
         "still have a run; query: the state of its queries, time since the "
         "last and until the next"},
    [EVENT_POLICY_ASKED] = {"policy.asked", 200, "id asker named expected_ms",
                            "the placement policy is asked about a step"},
    [EVENT_POLICY_ANSWERED] =
        {"policy.answered", 200,
         "id asker granted error status bytes unread took_ms policy_ms "
         "late",
         "the policy's answer arrived or the request failed; policy_ms is "
         "what "
         "the asking host waited for it; late: its step was queried about "
         "again before"},
    [EVENT_RUN_START_ORDERED] =
        {"run.ordered", 500, "id run target waited_ms estimate_ms resumes",
         "a task was placed and its start was ordered"},
    [EVENT_RUN_COPIED] =
        {"run.copied", 200, "id run copy from to ran_ms late_permille",
         "a second run of a task was started, since the first one takes much "
         "longer than usual"},
    [EVENT_RUN_START_REFUSED] = {"run.refused", 200, "id run target answer",
                                 "a target refused a start"},
    [EVENT_RUN_START_UNANSWERED] =
        {"run.unanswered", 200, "id run target answer",
         "a start got no answer; a stop is ordered"},
    [EVENT_RUN_STOP_ORDERED] = {"run.stopped", 200, "id run target why",
                                "the stop of a run was ordered"},
    [EVENT_RUN_PACE_CHANGED] =
        {"run.paced", 100, "id run target percent",
         "the pace of a run on spare processors was changed"},
    [EVENT_RUN_ENDED] = {"run.ended", 500, "id run target how ran_ms",
                         "a target reported the end of a run"},
    [EVENT_RUN_LOST] =
        {"run.lost", 500, "id run target ran_ms suspect",
         "a run was lost with its target; suspect: its start may have crashed "
         "the target"},
    [EVENT_CHECKPOINT_REFUSED] = {"checkpoint.refused", 50,
                                  "id run target max_bytes",
                                  "a target listed a checkpoint that is too "
                                  "long to be stored; the task "
                                  "resumes from the last one that was not"},
    [EVENT_RUN_FOUND] = {"run.found", 300, "id run target wanted",
                         "a target listed a run that this leader did not "
                         "order; it is adopted or stopped"},
};

/* The log of the process. */
struct event_sink {
    int fd;          /* -1: closed */
    GString *buffer; /* lines that are not written yet */
    time_t second;   /* wall-clock second that line_counts are for */
    uint32_t line_counts[EVENT_COUNT];
    uint64_t unreported_drops[EVENT_COUNT]; /* not logged yet */
    uint64_t dropped_lines;
};

static struct event_sink sink = {.fd = -1};

const struct event_row *
event_row(enum event_kind kind)
{
    return &ROWS[kind];
}

/* Appends text as a JSON string. Text that needs no escapes is copied; the
 * rest is encoded by jansson. */
static void
append_string(GString *out, const char *text)
{
    json_t *value;
    char *dumped;

    if (strcspn(text, "\"\\") == strlen(text) && g_str_is_ascii(text) &&
        strpbrk(text, "\n\r\t") == NULL) {
        g_string_append_c(out, '"');
        g_string_append(out, text);
        g_string_append_c(out, '"');
        return;
    }
    value = json_string(text);
    dumped = value != NULL ? json_dumps(value, JSON_ENCODE_ANY) : NULL;
    g_string_append(out, dumped != NULL ? dumped : "\"(not UTF-8)\"");
    free(dumped);
    json_decref(value);
}

static void
append_line(enum event_kind kind, const struct event_field *fields,
            const struct timespec *now)
{
    GString *out = sink.buffer;

    g_string_append_printf(out, "{\"at\":%lld.%03ld,\"event\":\"%s\"",
                           (long long)now->tv_sec, now->tv_nsec / 1000000,
                           ROWS[kind].name);
    for (; fields->name != NULL; fields++) {
        g_string_append_printf(out, ",\"%s\":", fields->name);
        if (fields->text != NULL) {
            append_string(out, fields->text);
        }
        else {
            g_string_append_printf(out, "%lld", (long long)fields->number);
        }
    }
    g_string_append(out, "}\n");
}

/* Logs the lines dropped since the last report and starts a new second. */
static void
report_drops(const struct timespec *now)
{
    for (int kind = 0; kind < EVENT_COUNT; kind++) {
        if (sink.unreported_drops[kind] > 0) {
            const struct event_field fields[] = {
                EVENT_STR("of", ROWS[kind].name),
                EVENT_INT("count", sink.unreported_drops[kind]),
                {NULL, NULL, 0}};

            append_line(EVENT_LINES_DROPPED, fields, now);
            sink.unreported_drops[kind] = 0;
        }
        sink.line_counts[kind] = 0;
    }
}

void
event_log(enum event_kind kind, const struct event_field *fields)
{
    struct timespec now;

    if (sink.fd < 0) {
        return;
    }
    clock_gettime(CLOCK_REALTIME, &now);
    if (now.tv_sec != sink.second) {
        sink.second = now.tv_sec;
        report_drops(&now);
    }
    if (sink.line_counts[kind] >= ROWS[kind].rate_limit ||
        sink.buffer->len > BUFFER_MAX_BYTES) {
        sink.unreported_drops[kind]++;
        sink.dropped_lines++;
        return;
    }
    sink.line_counts[kind]++;
    append_line(kind, fields, &now);
}

void
event_open(int fd)
{
    event_close();
    sink.fd = fd;
    sink.buffer = g_string_new(NULL);
}

void
event_flush(void)
{
    struct pollfd poller = {.fd = sink.fd, .events = POLLOUT};
    ssize_t bytes = 1;

    while (sink.fd >= 0 && sink.buffer->len > 0 && bytes > 0 &&
           poll(&poller, 1, 0) == 1 && (poller.revents & POLLOUT) != 0) {
        bytes = write(sink.fd, sink.buffer->str,
                      MIN(sink.buffer->len, WRITE_MAX_BYTES));
        if (bytes > 0) {
            g_string_erase(sink.buffer, 0, bytes);
        }
    }
}

void
event_close(void)
{
    if (sink.fd >= 0) {
        event_flush();
        g_string_free(sink.buffer, TRUE);
        sink.fd = -1;
    }
}

uint64_t
event_dropped_lines(void)
{
    return sink.dropped_lines;
}

void
event_print_table(FILE *out)
{
    fputs("| Event | Fields | It tells that | Lines a second |\n"
          "| --- | --- | --- | --- |\n",
          out);
    for (int kind = 0; kind < EVENT_COUNT; kind++) {
        fprintf(out, "| `%s` | %s | %s | %u |\n", ROWS[kind].name,
                ROWS[kind].fields, ROWS[kind].text, ROWS[kind].rate_limit);
    }
}
