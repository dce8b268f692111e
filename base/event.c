/* event.c -- structured log lines: one JSON object for each decision */
#include "base/event.h"

#include <glib.h>
#include <jansson.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define BUFFER_MAX_BYTES (256u * 1024) /* of lines that wait for a reader */
/* A pipe that polls as writable takes this much without blocking (PIPE_BUF).
 */
#define WRITE_MAX_BYTES 4096u

static const struct event_row ROWS[EVENT_COUNT] = {
    [EVENT_NODE_STARTED] = {"node.started", 5, "host data_folder",
                            "the process serves"},
    [EVENT_NODE_DRAINING] = {"node.draining", 5, "host signal in_flight",
                             "a signal asked it to end"},
    [EVENT_NODE_ENDED] = {"node.ended", 5, "host in_flight",
                          "the process is about to exit"},
    [EVENT_SETTINGS_READ] = {"settings.read", 5, "path seeds",
                             "the settings file was read again"},
    [EVENT_SETTINGS_KEPT] = {"settings.kept", 5, "path why",
                             "the settings file could not be used"},
    [EVENT_LEADER_LOST] = {"leader.lost", 5, "leader silent_ms",
                           "no leader answers; calls are refused at once"},
    [EVENT_LEADER_HEARD] = {"leader.heard", 5, "leader silent_ms",
                            "a leader answers again"},
    [EVENT_LINES_LEFT_OUT] = {"lines.left_out", 50, "of count",
                              "lines of one event were over its budget, or no "
                              "reader took them"},
    [EVENT_TEXT] = {"text", 50, "part level text",
                    "a plain line of one part of the program"},
    [EVENT_LEADS] = {"cell.leads", 10, "host term config",
                     "this host leads the cell"},
    [EVENT_LEADS_NO_MORE] = {"cell.leads_no_more", 10, "host term",
                             "this host no longer leads"},
    [EVENT_TOOK_OVER] = {"cell.took_over", 10, "targets after_ms",
                         "every target has told what runs there, or can run "
                         "nothing of old: inherited work starts"},
    [EVENT_MEMBER_ADDED] = {"member.added", 10, "host replica",
                            "a replica joins"},
    [EVENT_MEMBER_REMOVED] = {"member.removed", 10, "host replica",
                              "a replica leaves"},
    [EVENT_CONFIG_REFUSED] = {"config.refused", 20, "version why",
                              "an invalid configuration was refused"},
    [EVENT_CONFIG_IN_FORCE] = {"config.in_force", 50, "version queues teams",
                               "a configuration is in force on this host"},
    [EVENT_TARGET_KNOWN] = {"target.known", 200,
                            "id service address leaving born",
                            "a target announced itself, or something new"},
    [EVENT_TARGET_SILENT] = {"target.silent", 100, "id answer",
                             "a hold went without an answer: no starts"},
    [EVENT_TARGET_BACK] = {"target.back", 100, "id runs",
                           "a silent target answers again"},
    [EVENT_TARGET_LOST] = {"target.lost", 100, "id why",
                           "nothing that was ordered runs there any more"},
    [EVENT_TARGET_REMOVED] = {"target.removed", 100, "id",
                              "a target is forgotten"},
    [EVENT_TARGET_SHUNNED] = {"target.shunned", 100, "id for_ms failures",
                              "a target gets no starts for a while"},
    [EVENT_CALL_ENDED] = {"call.ended", 100, "id call took_ms",
                          "a caller's submission or cancel was answered"},
    [EVENT_CALL_FAILED] = {"call.failed", 200, "id call path error took_ms",
                           "a caller's call was refused or has no answer"},
    [EVENT_JOB_ACCEPTED] = {"job.accepted", 300,
                            "id queue team tasks chain_ms objective_ms config",
                            "a job is stored on a majority"},
    [EVENT_JOB_REJECTED] = {"job.rejected", 200,
                            "id queue error wait_ms retry_after_ms config",
                            "a job was turned away; it never runs"},
    [EVENT_JOB_ENDED] = {"job.ended", 300, "id state took_ms objective_ms",
                         "a job was completed, failed or cancelled"},
    [EVENT_STEP_WAITS] = {"step.waits", 100,
                          "id idle why waited_ms granted free_cpu free_accel",
                          "a step has waited for over a second"},
    [EVENT_POLICY_ASKED] = {"policy.asked", 200, "id asker named expected_ms",
                            "the placement policy is asked about a step"},
    [EVENT_POLICY_ANSWERED] = {"policy.answered", 200,
                               "id granted error took_ms",
                               "the policy's answer came, or did not"},
    [EVENT_RUN_ORDERED] = {"run.ordered", 500,
                           "id run target waited_ms estimate_ms resumes",
                           "a task was placed and its start ordered"},
    [EVENT_RUN_REFUSED] = {"run.refused", 200, "id run target answer",
                           "a target refused a start"},
    [EVENT_RUN_UNANSWERED] = {"run.unanswered", 200, "id run target answer",
                              "a start has no answer; its stop is ordered"},
    [EVENT_RUN_STOPPED] = {"run.stopped", 200, "id run target why",
                           "a run's stop was ordered"},
    [EVENT_RUN_PACED] = {"run.paced", 100, "id run target percent",
                         "a run that fills in was slowed or let back"},
    [EVENT_RUN_ENDED] = {"run.ended", 500, "id run target how ran_ms",
                         "a target listed the end of a run"},
    [EVENT_RUN_LOST] = {"run.lost", 200, "id run target why",
                        "a run was given up with its target"},
    [EVENT_RUN_FOUND] = {"run.found", 300, "id run target wanted",
                         "a target lists a run that this leader did not "
                         "order: taken over, or stopped"},
};

/* One log for a process. */
struct event_log {
    int fd; /* -1: closed */
    GString *lines;
    time_t second;
    uint32_t written[EVENT_COUNT]; /* in this second */
    uint64_t left_out[EVENT_COUNT];
    uint64_t dropped;
};

static struct event_log the_log = {.fd = -1};

const struct event_row *
event_row(enum event_kind kind)
{
    return &ROWS[kind];
}

/* Text as JSON: most is plain and copied, the rest goes through jansson. */
static void
append_text(GString *out, const char *text)
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
    GString *out = the_log.lines;

    g_string_append_printf(out, "{\"at\":%lld.%03ld,\"event\":\"%s\"",
                           (long long)now->tv_sec, now->tv_nsec / 1000000,
                           ROWS[kind].name);
    for (; fields->name != NULL; fields++) {
        g_string_append_printf(out, ",\"%s\":", fields->name);
        if (fields->text != NULL) {
            append_text(out, fields->text);
        }
        else {
            g_string_append_printf(out, "%lld", (long long)fields->number);
        }
    }
    g_string_append(out, "}\n");
}

static void
tell_left_out(const struct timespec *now)
{
    for (int kind = 0; kind < EVENT_COUNT; kind++) {
        if (the_log.left_out[kind] > 0) {
            const struct event_field fields[] = {
                EVENT_S("of", ROWS[kind].name),
                EVENT_N("count", the_log.left_out[kind]),
                {NULL, NULL, 0}};

            append_line(EVENT_LINES_LEFT_OUT, fields, now);
            the_log.left_out[kind] = 0;
        }
        the_log.written[kind] = 0;
    }
}

void
event_log(enum event_kind kind, const struct event_field *fields)
{
    struct timespec now;

    if (the_log.fd < 0) {
        return;
    }
    clock_gettime(CLOCK_REALTIME, &now);
    if (now.tv_sec != the_log.second) {
        the_log.second = now.tv_sec;
        tell_left_out(&now);
    }
    if (the_log.written[kind] >= ROWS[kind].budget ||
        the_log.lines->len > BUFFER_MAX_BYTES) {
        the_log.left_out[kind]++;
        the_log.dropped++;
        return;
    }
    the_log.written[kind]++;
    append_line(kind, fields, &now);
}

void
event_open(int fd)
{
    event_close();
    the_log.fd = fd;
    the_log.lines = g_string_new(NULL);
}

void
event_flush(void)
{
    struct pollfd poller = {.fd = the_log.fd, .events = POLLOUT};
    ssize_t bytes = 1;

    while (the_log.fd >= 0 && the_log.lines->len > 0 && bytes > 0 &&
           poll(&poller, 1, 0) == 1 && (poller.revents & POLLOUT) != 0) {
        bytes = write(the_log.fd, the_log.lines->str,
                      MIN(the_log.lines->len, WRITE_MAX_BYTES));
        if (bytes > 0) {
            g_string_erase(the_log.lines, 0, bytes);
        }
    }
}

void
event_close(void)
{
    if (the_log.fd >= 0) {
        event_flush();
        g_string_free(the_log.lines, TRUE);
        the_log.fd = -1;
    }
}

uint64_t
event_dropped(void)
{
    return the_log.dropped;
}

void
event_print_table(FILE *out)
{
    fputs("| Event | Fields | It tells that | Lines a second |\n"
          "| --- | --- | --- | --- |\n",
          out);
    for (int kind = 0; kind < EVENT_COUNT; kind++) {
        fprintf(out, "| `%s` | %s | %s | %u |\n", ROWS[kind].name,
                ROWS[kind].fields, ROWS[kind].text, ROWS[kind].budget);
    }
}
