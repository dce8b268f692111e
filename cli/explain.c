/* explain.c -- history and outcome of a job, from event logs */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "cli/cli.h"
#include "core/plan.h"

#define ARGS_MAX 256        /* an ID and the names of log files */
#define LINE_MAX_BYTES 8192 /* longer lines are ignored */
#define SLOW_ANSWER_MS 150  /* a faster policy answer is never the cause */

/* A parsed line of a log. */
struct log_line {
    double at_s;           /* seconds since 1970 */
    json_t *object;        /* reference owned by the line */
    const char *event;     /* in object */
    const char *file_name; /* not owned */
};

/* The log lines that may explain the outcome of a job; NULL: none. Of
 * repeated lines, the last is kept, unless the name says otherwise.
 */
struct job_history {
    const struct log_line *accepted;
    const struct log_line *rejected;
    const struct log_line *ended;
    const struct log_line *new_leader; /* while the job was live */
    const struct log_line *failed_call;
    const struct log_line *run_lost;
    const struct log_line *run_unanswered;
    const struct log_line *moved;   /* a run left an evacuated data centre */
    const struct log_line *proven;  /* a task crashes its targets */
    const struct log_line *used_up; /* a task has come to a lower limit */
    const struct log_line *run_failed;
    const struct log_line *longest_wait;
    const struct log_line *slowest_answer; /* of the placement policy */
    const struct log_line *failed_answer;  /* of the same */
    uint32_t failed_answer_count;
    uint32_t failed_run_count;
    uint32_t moved_count;
    uint32_t lost_suspect_count; /* lost runs that may have crashed a target */
    uint32_t lost_neighbour_count; /* other lost runs */
    uint32_t lines_left_out;       /* while the job was live */
};

static const char *
string_field(const struct log_line *line, const char *name)
{
    const char *text = json_string_value(json_object_get(line->object, name));

    return text != NULL ? text : "?";
}

static long long
integer_field(const struct log_line *line, const char *name)
{
    return (long long)json_integer_value(json_object_get(line->object, name));
}

static bool
is_about_job(const json_t *object, const char *id)
{
    const char *text = json_string_value(json_object_get(object, "id"));
    size_t bytes = strlen(id);

    return text != NULL && strncmp(text, id, bytes) == 0 &&
           (text[bytes] == '\0' || text[bytes] == '.');
}

/* Whether lines of this event are needed though they name no job: a change of
 * the leader may have delayed the job, and lines.left_out means that lines of
 * the job may be missing. */
static bool
is_context(const char *event)
{
    return strcmp(event, "cell.leads") == 0 ||
           strcmp(event, "lines.left_out") == 0;
}

static void
free_line(void *item)
{
    struct log_line *line = item;

    json_decref(line->object);
    g_free(line);
}

static void
read_lines(FILE *file, const char *file_name, const char *id, GPtrArray *lines)
{
    char text[LINE_MAX_BYTES];

    while (fgets(text, sizeof(text), file) != NULL) {
        json_t *object = json_loads(text, 0, NULL);
        const char *event =
            json_string_value(json_object_get(object, "event"));

        if (event != NULL && (is_about_job(object, id) || is_context(event))) {
            struct log_line *line = g_new0(struct log_line, 1);

            line->at_s = json_number_value(json_object_get(object, "at"));
            line->object = json_incref(object);
            line->event = event;
            line->file_name = file_name;
            g_ptr_array_add(lines, line);
        }
        json_decref(object);
    }
}

static gint
compare_time(gconstpointer a, gconstpointer b)
{
    const struct log_line *x = *(struct log_line *const *)a;
    const struct log_line *y = *(struct log_line *const *)b;

    return x->at_s < y->at_s ? -1 : x->at_s > y->at_s;
}

static bool
is_live(const struct job_history *history)
{
    return history->accepted != NULL && history->ended == NULL;
}

/* Whether a line is an answer of the placement policy that could not be used.
 */
static bool
is_failed_answer(const struct log_line *line)
{
    return strcmp(line->event, "policy.answered") == 0 &&
           strcmp(string_field(line, "error"), "ok") != 0;
}

static void
add_line(struct job_history *history, const struct log_line *line)
{
    const char *event = line->event;

    if (is_failed_answer(line)) {
        history->failed_answer = line;
        history->failed_answer_count++;
    }
    if (strcmp(event, "job.accepted") == 0) {
        history->accepted = line;
    }
    else if (strcmp(event, "job.rejected") == 0) {
        history->rejected = line;
    }
    else if (strcmp(event, "job.ended") == 0) {
        history->ended = line;
    }
    else if (strcmp(event, "call.failed") == 0) {
        history->failed_call = line;
    }
    else if (strcmp(event, "run.lost") == 0) {
        history->run_lost = line;
        if (integer_field(line, "suspect") != 0) {
            history->lost_suspect_count++;
        }
        else {
            history->lost_neighbour_count++;
        }
    }
    else if (strcmp(event, "task.suspected") == 0) {
        if (strcmp(string_field(line, "verdict"), "proven") == 0) {
            history->proven = line;
        }
    }
    else if (strcmp(event, "task.used_up") == 0) {
        history->used_up = line;
    }
    else if (strcmp(event, "run.stopped") == 0 &&
             strcmp(string_field(line, "why"), PLAN_EVACUATED_REASON) == 0) {
        history->moved = line;
        history->moved_count++;
    }
    else if (strcmp(event, "run.unanswered") == 0) {
        history->run_unanswered = line;
    }
    else if (strcmp(event, "run.ended") == 0 &&
             strcmp(string_field(line, "how"), "failed") == 0) {
        history->run_failed = line;
        history->failed_run_count++;
    }
    else if (strcmp(event, "step.waits") == 0 &&
             (history->longest_wait == NULL ||
              integer_field(line, "waited_ms") >
                  integer_field(history->longest_wait, "waited_ms"))) {
        history->longest_wait = line;
    }
    else if (strcmp(event, "policy.answered") == 0 &&
             (history->slowest_answer == NULL ||
              integer_field(line, "took_ms") >
                  integer_field(history->slowest_answer, "took_ms"))) {
        history->slowest_answer = line;
    }
    else if (!is_live(history)) {
        return; /* the events below count only while the job is live */
    }
    else if (strcmp(event, "cell.leads") == 0) {
        history->new_leader = line;
    }
    else if (strcmp(event, "lines.left_out") == 0) {
        history->lines_left_out += (uint32_t)integer_field(line, "count");
    }
}

static void
print_line(const struct log_line *line, double start_s)
{
    const char *name;
    json_t *value;

    printf("%+9.3f s  %-16s", line->at_s - start_s, line->event);
    json_object_foreach(line->object, name, value)
    {
        if (strcmp(name, "at") == 0 || strcmp(name, "event") == 0) {
            continue;
        }
        if (json_is_string(value)) {
            printf(" %s=%s", name, json_string_value(value));
        }
        else {
            printf(" %s=%lld", name, (long long)json_integer_value(value));
        }
    }
    printf("  [%s]\n", line->file_name);
}

/* What the placement policy had answered when a step waited longest. */
static void
print_policy_answers(const struct job_history *history)
{
    const struct log_line *wait = history->longest_wait;
    const struct log_line *failed = history->failed_answer;

    if (wait != NULL && integer_field(wait, "named") > 0) {
        printf("The placement policy was asked about %lld targets: %lld "
               "granted, %lld of them with a ticket that had expired, %lld "
               "refused, %lld without an answer; the granted ones had room "
               "for %lld tasks.\n",
               integer_field(wait, "named"), integer_field(wait, "granted"),
               integer_field(wait, "expired"), integer_field(wait, "refused"),
               integer_field(wait, "asking"), integer_field(wait, "fitting"));
    }
    if (failed != NULL) {
        printf("%u of its answers could not be used, the last one from %s: "
               "%s, status %lld, %lld bytes.\n",
               history->failed_answer_count, string_field(failed, "asker"),
               string_field(failed, "error"), integer_field(failed, "status"),
               integer_field(failed, "bytes"));
    }
}

/* Prints why a completed job exceeded its objective: the first that applies of
 * the causes below, in order of precedence.
 */
static void
print_late_cause(const struct job_history *history)
{
    long long took_ms = integer_field(history->ended, "took_ms");
    long long objective_ms = integer_field(history->ended, "objective_ms");

    printf("Cause: the job took %lld ms with an objective of %lld ms, ",
           took_ms, objective_ms);
    if (history->run_lost != NULL) {
        printf("because target %s was lost while the job ran there.\n",
               string_field(history->run_lost, "target"));
    }
    else if (history->new_leader != NULL) {
        printf(
            "because the leader was lost; %s became the leader %.0f ms after "
            "the job was accepted.\n",
            string_field(history->new_leader, "host"),
            (history->new_leader->at_s - history->accepted->at_s) * 1000);
    }
    else if (history->moved != NULL) {
        printf("because task %s was moved from target %s, whose data centre "
               "is evacuated.\n",
               string_field(history->moved, "id"),
               string_field(history->moved, "target"));
    }
    else if (history->longest_wait != NULL) {
        printf("because step %s waited at least %lld ms: %s.\n",
               string_field(history->longest_wait, "id"),
               integer_field(history->longest_wait, "waited_ms"),
               string_field(history->longest_wait, "why"));
    }
    else if (history->run_failed != NULL) {
        printf("because %u of its runs failed and were retried; the last one "
               "failed on target %s.\n",
               history->failed_run_count,
               string_field(history->run_failed, "target"));
    }
    else if (history->run_unanswered != NULL) {
        printf("because target %s did not answer a start order.\n",
               string_field(history->run_unanswered, "target"));
    }
    else if (history->slowest_answer != NULL &&
             integer_field(history->slowest_answer, "took_ms") >=
                 SLOW_ANSWER_MS &&
             integer_field(history->slowest_answer, "took_ms") * 2 >
                 took_ms - objective_ms) {
        printf("because the placement policy took %lld ms to answer.\n",
               integer_field(history->slowest_answer, "took_ms"));
    }
    else {
        printf("because its tasks ran longer than estimated.\n");
    }
}

static void
print_ended_cause(const struct job_history *history)
{
    const char *state = string_field(history->ended, "state");

    if (strcmp(state, "cancelled") == 0) {
        printf("Cause: the job was cancelled by its caller.\n");
    }
    else if (strcmp(state, "failed") == 0 && history->proven != NULL) {
        printf("Cause: task %s was given up, since targets crash when they "
               "start it; the last time as run %lld.\n",
               string_field(history->proven, "id"),
               integer_field(history->proven, "run"));
    }
    else if (strcmp(state, "failed") == 0 && history->used_up != NULL) {
        printf("Cause: task %s had failed as often as its queue allows since "
               "a change of the configuration, %lld times, and had no run "
               "left.\n",
               string_field(history->used_up, "id"),
               integer_field(history->used_up, "max_attempts"));
    }
    else if (strcmp(state, "failed") == 0) {
        printf("Cause: a task reached its queue's limit of attempts; %u runs "
               "failed, the last one on target %s.\n",
               history->failed_run_count,
               history->run_failed != NULL
                   ? string_field(history->run_failed, "target")
                   : "?");
    }
    else if (integer_field(history->ended, "objective_ms") == 0 ||
             integer_field(history->ended, "took_ms") <=
                 integer_field(history->ended, "objective_ms")) {
        printf("Cause: none, the job was completed on time.\n");
    }
    else {
        print_late_cause(history);
    }
}

static void
print_cause(const struct job_history *history)
{
    if (history->lines_left_out > 0) {
        printf("%u lines were dropped from these logs.\n",
               history->lines_left_out);
    }
    if (history->run_lost != NULL) {
        printf("Runs lost with their targets: %u whose start may have crashed "
               "the target, %u others.\n",
               history->lost_suspect_count, history->lost_neighbour_count);
    }
    if (history->moved != NULL) {
        printf("Runs moved since their data centre is evacuated: %u, the last "
               "one task %s from target %s.\n",
               history->moved_count, string_field(history->moved, "id"),
               string_field(history->moved, "target"));
    }
    if (history->accepted != NULL &&
        integer_field(history->accepted, "beyond_share") != 0) {
        printf("The job was beyond its team's share: work within shares went "
               "before it.\n");
    }
    print_policy_answers(history);
    if (history->ended != NULL) {
        print_ended_cause(history);
    }
    else if (history->accepted != NULL && history->longest_wait != NULL) {
        printf(
            "Cause: the job has not ended; step %s has waited %lld ms: %s.\n",
            string_field(history->longest_wait, "id"),
            integer_field(history->longest_wait, "waited_ms"),
            string_field(history->longest_wait, "why"));
    }
    else if (history->accepted != NULL) {
        printf("Cause: the job has not ended in these logs.\n");
    }
    else if (history->rejected != NULL) {
        printf("Cause: the job was rejected (%s): %s.\n",
               string_field(history->rejected, "error"),
               string_field(history->rejected, "why"));
    }
    else if (history->failed_call != NULL) {
        printf("Cause: the job was not accepted; the last call failed with %s "
               "after %lld ms.\n",
               string_field(history->failed_call, "error"),
               integer_field(history->failed_call, "took_ms"));
    }
    else {
        printf("Cause: unknown, these logs do not name the job; lines are "
               "missing or the ID is wrong.\n");
    }
}

static bool
read_files(const char *const *args, int count, GPtrArray *lines)
{
    if (count == 1) {
        read_lines(stdin, "stdin", args[0], lines);
    }
    for (int i = 1; i < count; i++) {
        FILE *file = fopen(args[i], "r");

        if (file == NULL) {
            cli_error(FP_ERR_NOT_FOUND, "cannot read %s", args[i]);
            return false;
        }
        read_lines(file, args[i], args[0], lines);
        fclose(file);
    }
    return true;
}

int
explain_main(struct cli *cli, int argc, char **argv)
{
    const char *args[ARGS_MAX] = {NULL};
    GPtrArray *lines = g_ptr_array_new_with_free_func(free_line);
    struct job_history history = {.lines_left_out = 0};
    double start_s = NAN;
    int exit_code = 0;
    int count = cli_parse_args(
        cli, "ID [FILE...]",
        "Prints the log lines of a job, from the logs of any number of hosts, "
        "in order of time, and the cause of its outcome. Without FILE, reads "
        "standard input.",
        args, ARGS_MAX, argc, argv);

    if (count == 0) {
        exit_code = cli_error(FP_ERR_BAD_REQUEST, "expected arguments: ID");
    }
    else if (!read_files(args, count, lines)) {
        exit_code = fp_err_row(FP_ERR_NOT_FOUND)->exit_code;
    }
    else {
        g_ptr_array_sort(lines, compare_time);
        for (guint i = 0; i < lines->len; i++) {
            const struct log_line *line = lines->pdata[i];

            add_line(&history, line);
            if (!is_about_job(line->object, args[0])) {
                continue;
            }
            if (isnan(start_s)) {
                start_s = line->at_s;
            }
            print_line(line, start_s);
        }
        print_cause(&history);
    }
    g_ptr_array_free(lines, TRUE);
    return exit_code;
}

int
events_main(struct cli *cli, int argc, char **argv)
{
    cli_parse_args(cli, "", "Prints the table of log events, as Markdown.",
                   NULL, 0, argc, argv);
    event_print_table(stdout);
    return 0;
}
