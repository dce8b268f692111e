/* explain.c -- from a request's ID to its cause, out of the hosts' logs */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "cli/cli.h"

#define FILES_MAX 256
#define LINE_MAX_BYTES 8192
#define SLOW_ANSWER_MS 150 /* faster ones are not named as a cause */

/* One line of a log. */
struct line {
    double at_s;
    json_t *object;
    const char *event;
    const char *file;
};

/* What the lines on one job come to. */
struct story {
    const struct line *accepted;
    const struct line *rejected;
    const struct line *ended;
    const struct line *new_leader;  /* while the job was under way, the last */
    const struct line *failed_call; /* the last one */
    const struct line *run_lost;
    const struct line *unanswered;
    const struct line *run_failed;
    const struct line *waits;     /* the longest wait */
    const struct line *slow_word; /* the slowest answer of the policy */
    uint32_t runs_failed;
    uint32_t lines_left_out;
};

static const char *
text_of(const struct line *line, const char *name)
{
    const char *text = json_string_value(json_object_get(line->object, name));

    return text != NULL ? text : "?";
}

static long long
number_of(const struct line *line, const char *name)
{
    return (long long)json_integer_value(json_object_get(line->object, name));
}

static bool
is_about(const json_t *object, const char *id)
{
    const char *text = json_string_value(json_object_get(object, "id"));
    size_t bytes = strlen(id);

    return text != NULL && strncmp(text, id, bytes) == 0 &&
           (text[bytes] == '\0' || text[bytes] == '.');
}

/* Lines on other matters that explain gaps: changes of the leader, and lines
 * that were left out. */
static bool
is_context(const char *event)
{
    return strcmp(event, "cell.leads") == 0 ||
           strcmp(event, "lines.left_out") == 0;
}

static void
free_line(void *item)
{
    struct line *line = item;

    json_decref(line->object);
    g_free(line);
}

static void
read_lines(FILE *in, const char *file, const char *id, GPtrArray *lines)
{
    char text[LINE_MAX_BYTES];

    while (fgets(text, sizeof(text), in) != NULL) {
        json_t *object = json_loads(text, 0, NULL);
        const char *event =
            json_string_value(json_object_get(object, "event"));

        if (event != NULL && (is_about(object, id) || is_context(event))) {
            struct line *line = g_new0(struct line, 1);

            line->at_s = json_number_value(json_object_get(object, "at"));
            line->object = json_incref(object);
            line->event = event;
            line->file = file;
            g_ptr_array_add(lines, line);
        }
        json_decref(object);
    }
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
    const struct line *x = *(struct line *const *)a;
    const struct line *y = *(struct line *const *)b;

    return x->at_s < y->at_s ? -1 : x->at_s > y->at_s;
}

static bool
is_under_way(const struct story *story)
{
    return story->accepted != NULL && story->ended == NULL;
}

static void
note(struct story *story, const struct line *line)
{
    const char *event = line->event;

    if (strcmp(event, "job.accepted") == 0) {
        story->accepted = line;
    }
    else if (strcmp(event, "job.rejected") == 0) {
        story->rejected = line;
    }
    else if (strcmp(event, "job.ended") == 0) {
        story->ended = line;
    }
    else if (strcmp(event, "call.failed") == 0) {
        story->failed_call = line;
    }
    else if (strcmp(event, "run.lost") == 0) {
        story->run_lost = line;
    }
    else if (strcmp(event, "run.unanswered") == 0) {
        story->unanswered = line;
    }
    else if (strcmp(event, "run.ended") == 0 &&
             strcmp(text_of(line, "how"), "failed") == 0) {
        story->run_failed = line;
        story->runs_failed++;
    }
    else if (strcmp(event, "step.waits") == 0 &&
             (story->waits == NULL ||
              number_of(line, "waited_ms") >
                  number_of(story->waits, "waited_ms"))) {
        story->waits = line;
    }
    else if (strcmp(event, "policy.answered") == 0 &&
             (story->slow_word == NULL ||
              number_of(line, "took_ms") >
                  number_of(story->slow_word, "took_ms"))) {
        story->slow_word = line;
    }
    else if (!is_under_way(story)) {
        return; /* what is not about the job matters only meanwhile */
    }
    else if (strcmp(event, "cell.leads") == 0) {
        story->new_leader = line;
    }
    else if (strcmp(event, "lines.left_out") == 0) {
        story->lines_left_out += (uint32_t)number_of(line, "count");
    }
}

static void
print_line(const struct line *line, double begin_s)
{
    const char *name;
    json_t *value;

    printf("%+9.3f s  %-16s", line->at_s - begin_s, line->event);
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
    printf("  [%s]\n", line->file);
}

/* Why a job that was completed took longer than its objective. */
static void
print_late(const struct story *story)
{
    long long took_ms = number_of(story->ended, "took_ms");
    long long objective_ms = number_of(story->ended, "objective_ms");

    printf("Cause: it was late, %lld ms against %lld ms, ", took_ms,
           objective_ms);
    if (story->run_lost != NULL) {
        printf("because target %s was lost while it ran there.\n",
               text_of(story->run_lost, "target"));
    }
    else if (story->new_leader != NULL) {
        printf("because the leader was lost; %s led %.0f ms after it came.\n",
               text_of(story->new_leader, "host"),
               (story->new_leader->at_s - story->accepted->at_s) * 1000);
    }
    else if (story->waits != NULL) {
        printf("because step %s waited %lld ms or more: %s.\n",
               text_of(story->waits, "id"),
               number_of(story->waits, "waited_ms"),
               text_of(story->waits, "why"));
    }
    else if (story->run_failed != NULL) {
        printf("because %u of its runs failed and ran again, the last on "
               "target %s.\n",
               story->runs_failed, text_of(story->run_failed, "target"));
    }
    else if (story->unanswered != NULL) {
        printf("because target %s did not answer a start.\n",
               text_of(story->unanswered, "target"));
    }
    else if (story->slow_word != NULL &&
             number_of(story->slow_word, "took_ms") >= SLOW_ANSWER_MS &&
             number_of(story->slow_word, "took_ms") * 2 >
                 took_ms - objective_ms) {
        printf("because the placement policy took %lld ms to answer.\n",
               number_of(story->slow_word, "took_ms"));
    }
    else {
        printf("because its tasks ran longer than estimated.\n");
    }
}

static void
print_ended(const struct story *story)
{
    const char *state = text_of(story->ended, "state");

    if (strcmp(state, "cancelled") == 0) {
        printf("Cause: its caller cancelled it.\n");
    }
    else if (strcmp(state, "failed") == 0) {
        printf("Cause: a task failed as often as its queue allows, %u runs "
               "in all, the last on target %s.\n",
               story->runs_failed,
               story->run_failed != NULL ? text_of(story->run_failed, "target")
                                         : "?");
    }
    else if (number_of(story->ended, "objective_ms") == 0 ||
             number_of(story->ended, "took_ms") <=
                 number_of(story->ended, "objective_ms")) {
        printf("Cause: none, it was completed on time.\n");
    }
    else {
        print_late(story);
    }
}

static void
print_cause(const struct story *story)
{
    if (story->lines_left_out > 0) {
        printf("%u lines were left out of these logs.\n",
               story->lines_left_out);
    }
    if (story->ended != NULL) {
        print_ended(story);
    }
    else if (story->accepted != NULL && story->waits != NULL) {
        printf("Cause: it is not done; step %s has waited %lld ms: %s.\n",
               text_of(story->waits, "id"),
               number_of(story->waits, "waited_ms"),
               text_of(story->waits, "why"));
    }
    else if (story->accepted != NULL) {
        printf("Cause: it is not done in these logs.\n");
    }
    else if (story->rejected != NULL) {
        printf("Cause: it was turned away (%s): the expected wait was %lld "
               "ms.\n",
               text_of(story->rejected, "error"),
               number_of(story->rejected, "wait_ms"));
    }
    else if (story->failed_call != NULL) {
        printf("Cause: it was never accepted; the last call ended with %s "
               "after %lld ms.\n",
               text_of(story->failed_call, "error"),
               number_of(story->failed_call, "took_ms"));
    }
    else {
        printf("Cause: these logs do not name it; lines are missing or the "
               "ID is wrong.\n");
    }
}

static bool
read_all(const char *const *words, int count, GPtrArray *lines)
{
    if (count == 1) {
        read_lines(stdin, "stdin", words[0], lines);
    }
    for (int i = 1; i < count; i++) {
        FILE *in = fopen(words[i], "r");

        if (in == NULL) {
            cli_error(FP_ERR_NOT_FOUND, "%s cannot be read", words[i]);
            return false;
        }
        read_lines(in, words[i], words[0], lines);
        fclose(in);
    }
    return true;
}

int
explain_main(struct cli *cli, int argc, char **argv)
{
    const char *words[FILES_MAX] = {NULL};
    GPtrArray *lines = g_ptr_array_new_with_free_func(free_line);
    struct story story = {.lines_left_out = 0};
    double begin_s = NAN;
    int code = 0;
    int count = cli_parse_words(
        cli, "ID [FILE...]",
        "Prints what the logs of any number of hosts tell of one job, in "
        "order, and the cause of how it ended. Without FILE: standard input.",
        words, FILES_MAX, argc, argv);

    if (count == 0) {
        code = cli_error(FP_ERR_BAD_REQUEST, "needs: ID");
    }
    else if (!read_all(words, count, lines)) {
        code = fp_err_row(FP_ERR_NOT_FOUND)->exit_code;
    }
    else {
        g_ptr_array_sort(lines, by_time);
        for (guint i = 0; i < lines->len; i++) {
            const struct line *line = lines->pdata[i];

            note(&story, line);
            if (!is_about(line->object, words[0])) {
                continue;
            }
            if (isnan(begin_s)) {
                begin_s = line->at_s;
            }
            print_line(line, begin_s);
        }
        print_cause(&story);
    }
    g_ptr_array_free(lines, TRUE);
    return code;
}

int
events_main(struct cli *cli, int argc, char **argv)
{
    cli_parse_words(cli, "", "Prints the table of log events, as Markdown.",
                    NULL, 0, argc, argv);
    event_print_table(stdout);
    return 0;
}
