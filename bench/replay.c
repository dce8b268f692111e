/* replay.c -- "bench replay": a load against the decisions, in virtual time
 *
 * The same seed brings the same jobs, run times, failures, grants and troubles
 * to every policy; only the decisions differ.
 */
#include "bench/replay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"

#define MILLI 1000.0

/* ---- the report --------------------------------------------------------- */

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

static double
quantile(GArray *values, uint32_t percent)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_doubles);
    return g_array_index(values, double,
                         (values->len - 1) * (guint64)percent / 100);
}

/* Credit of the jobs that are chosen: of one queue, of one team, or all. */
struct chosen {
    const struct replay_queue *queue; /* NULL: any */
    uint32_t team;                    /* UINT32_MAX: any */
};

static json_t *
sum_up(const char *name, const struct chosen *chosen,
       const struct sim_result *result)
{
    GArray *waits = g_array_new(FALSE, FALSE, sizeof(double));
    double earned = 0;
    double owed = 0;
    uint32_t count = 0;
    uint32_t late = 0;
    json_t *row;

    for (guint i = 0; i < result->jobs->len; i++) {
        const struct sim_job *job = result->jobs->pdata[i];
        uint32_t permille = replay_earned_permille(job);
        double wait_ms = (double)job->began_ms - (double)job->arrived_ms;

        if ((chosen->queue != NULL && job->queue != chosen->queue) ||
            (chosen->team != UINT32_MAX && job->team != chosen->team)) {
            continue;
        }
        count++;
        late += permille < 1000;
        owed += job->queue->worth_milli / MILLI;
        earned += job->queue->worth_milli / MILLI * permille / MILLI;
        if (job->began_ms != 0) {
            g_array_append_val(waits, wait_ms);
        }
    }
    row = json_pack("{s:s,s:i,s:i,s:f,s:f,s:f,s:f}", "name", name, "jobs",
                    (int)count, "late", (int)late, "earned", earned, "owed",
                    owed, "wait_p50_ms", quantile(waits, 50), "wait_p95_ms",
                    quantile(waits, 95));
    g_array_free(waits, TRUE);
    return row;
}

json_t *
replay_report(const struct replay_load *load, const struct plan_policy *policy,
              const struct sim_result *result)
{
    const struct sim_breaches *breaches = &result->breaches;
    struct chosen chosen = {NULL, UINT32_MAX};
    json_t *queues = json_array();
    json_t *teams = json_array();
    json_t *all = sum_up("all", &chosen, result);
    GArray *us = result->decision_us;

    for (uint32_t i = 0; i < load->queues_count; i++) {
        chosen.queue = &load->queues[i];
        json_array_append_new(queues,
                              sum_up(load->queues[i].name, &chosen, result));
    }
    chosen.queue = NULL;
    for (uint32_t i = 0; i < load->teams_count; i++) {
        chosen.team = i;
        json_array_append_new(teams,
                              sum_up(load->teams[i].name, &chosen, result));
    }
    return json_pack(
        "{s:s,s:s,s:o,s:o,s:o,s:f,s:f,s:f,s:I,s:I,s:I,s:i,s:i,s:i,s:i,s:s}",
        "load", load->name, "policy", policy->name, "all", all, "queues",
        queues, "teams", teams, "wasted_core_s",
        (double)result->wasted_milli_s / MILLI, "decision_p50_us",
        quantile(us, 50), "decision_p99_us", quantile(us, 99), "starts",
        (json_int_t)result->counters.starts, "stops",
        (json_int_t)result->counters.stops, "questions",
        (json_int_t)result->counters.policy_queries, "over_size",
        (int)breaches->over_size, "doubled", (int)breaches->doubled,
        "over_cap", (int)breaches->over_cap, "stuck", (int)breaches->stuck,
        "first_breach", breaches->first);
}

static double
number(const json_t *row, const char *name)
{
    return json_number_value(json_object_get(row, name));
}

static void
print_row(const char *policy, const json_t *row)
{
    double owed = number(row, "owed");

    printf("%-14s %-18s %6d %6d %9.1f %9.1f %6.3f %9.0f %9.0f\n", policy,
           json_string_value(json_object_get(row, "name")),
           (int)number(row, "jobs"), (int)number(row, "late"),
           number(row, "earned"), owed,
           owed > 0 ? number(row, "earned") / owed : 1.0,
           number(row, "wait_p50_ms"), number(row, "wait_p95_ms"));
}

static void
print_rows(const json_t *report, const char *part)
{
    const json_t *row;
    size_t at;

    json_array_foreach(json_object_get(report, part), at, row)
    {
        print_row(json_string_value(json_object_get(report, "policy")), row);
    }
}

static void
print_reports(const json_t *reports)
{
    const json_t *report;
    size_t at;

    printf("%-14s %-18s %6s %6s %9s %9s %6s %9s %9s\n", "policy", "work",
           "jobs", "late", "earned", "owed", "part", "wait p50", "p95 ms");
    json_array_foreach(reports, at, report)
    {
        const char *policy =
            json_string_value(json_object_get(report, "policy"));

        print_rows(report, "queues");
        print_rows(report, "teams");
        print_row(policy, json_object_get(report, "all"));
        printf("%-14s wasted %.0f core-s, %d starts, %d questions; decision "
               "p50 %.0f us, p99 %.0f us; breaches: %d over size, %d doubled, "
               "%d over cap, %d stuck\n",
               policy, number(report, "wasted_core_s"),
               (int)number(report, "starts"), (int)number(report, "questions"),
               number(report, "decision_p50_us"),
               number(report, "decision_p99_us"),
               (int)number(report, "over_size"),
               (int)number(report, "doubled"), (int)number(report, "over_cap"),
               (int)number(report, "stuck"));
    }
}

/* ---- the plot ----------------------------------------------------------- */

#define PLOT_WIDTH 760
#define BAR_HEIGHT 14
#define BAR_LEFT 250
#define BAR_WIDTH 440

static void
plot_bar(FILE *file, int *y, const char *label, double part)
{
    fprintf(file,
            "<text x=\"4\" y=\"%d\">%s</text>"
            "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" "
            "fill=\"#e8e8e8\"/>"
            "<rect x=\"%d\" y=\"%d\" width=\"%.0f\" height=\"%d\" "
            "fill=\"#3b6ea5\"/>"
            "<text x=\"%d\" y=\"%d\">%.3f</text>\n",
            *y + 11, label, BAR_LEFT, *y, BAR_WIDTH, BAR_HEIGHT - 2, BAR_LEFT,
            *y, part * BAR_WIDTH, BAR_HEIGHT - 2, BAR_LEFT + BAR_WIDTH + 6,
            *y + 11, part);
    *y += BAR_HEIGHT;
}

/* Bars of earned against owed, for each kind of work and policy, as SVG. */
static bool
write_plot(const char *path, const json_t *reports)
{
    FILE *file = fopen(path, "w");
    const json_t *first = json_array_get(reports, 0);
    size_t kinds = json_array_size(json_object_get(first, "queues"));
    size_t bars = (kinds + 1) * json_array_size(reports);
    const json_t *report;
    size_t at;
    int y = 26;

    if (file == NULL) {
        return false;
    }
    fprintf(file,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
            "height=\"%zu\" font-family=\"sans-serif\" font-size=\"11\">"
            "<text x=\"4\" y=\"14\">%s: credit earned / owed</text>\n",
            PLOT_WIDTH, 30 + bars * BAR_HEIGHT + (kinds + 1) * 6,
            json_string_value(json_object_get(first, "load")));
    for (size_t k = 0; k <= kinds; k++) {
        json_array_foreach(reports, at, report)
        {
            const json_t *row =
                k < kinds
                    ? json_array_get(json_object_get(report, "queues"), k)
                    : json_object_get(report, "all");
            char label[160];

            snprintf(label, sizeof(label), "%s, %s",
                     json_string_value(json_object_get(row, "name")),
                     json_string_value(json_object_get(report, "policy")));
            plot_bar(file, &y, label,
                     number(row, "owed") > 0
                         ? number(row, "earned") / number(row, "owed")
                         : 1.0);
        }
        y += 6;
    }
    fprintf(file, "</svg>\n");
    return fclose(file) == 0;
}

/* ---- the command -------------------------------------------------------- */

struct replay_options {
    uint32_t seed;
    const char *policy;
    const char *plot;
};

enum { KEY_SEED = 1024, KEY_POLICY, KEY_PLOT };

static const struct argp_option MORE[] = {
    {"seed", KEY_SEED, "N", 0, "seed of the work (1)", 2},
    {"policy", KEY_POLICY, "NAME", 0,
     "filbertpath, holds-at-once or fifo (all)", 2},
    {"plot", KEY_PLOT, "FILE", 0, "write bars of earned against owed, as SVG",
     2},
    {NULL, 0, NULL, 0, NULL, 0}};

static bool
take_more(void *ctx, int key, const char *arg)
{
    struct replay_options *options = ctx;
    uint64_t value;

    if (key == KEY_POLICY) {
        options->policy = arg;
        return true;
    }
    if (key == KEY_PLOT) {
        options->plot = arg;
        return true;
    }
    if (!g_ascii_string_to_unsigned(arg, 10, 1, 1000000, &value, NULL)) {
        return false;
    }
    options->seed = (uint32_t)value;
    return true;
}

int
bench_replay(struct cli *cli, int argc, char **argv)
{
    static const struct plan_policy *const policies[] = {
        &PLAN_POLICY_DEFAULT, &PLAN_POLICY_RESERVE_AT_ONCE, &PLAN_POLICY_FIFO};
    struct replay_options options = {.seed = 1};
    const char *words[1] = {NULL};
    struct cli_parser parse = {
        .cli = cli,
        .usage = "FILE",
        .doc = "Plays a load against the decisions in virtual time, for this "
               "policy and for earlier ones: credit earned against owed, "
               "waits, wasted work and decision time.",
        .args = words,
        .max_args = 1,
        .extra_options = MORE,
        .on_extra_option = take_more,
        .ctx = &options};
    struct replay_load *load = NULL;
    json_t *reports;
    char why[256];
    int rc = 0;

    cli_parse(&parse, argc, argv);
    if (parse.arg_count != 1) {
        return cli_error(FP_ERR_BAD_REQUEST, "needs a load file");
    }
    if (replay_read_load(words[0], &load, why, sizeof(why)) != FP_OK) {
        return cli_error(FP_ERR_BAD_REQUEST, why);
    }
    reports = json_array();
    for (size_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++) {
        struct sim_result *result;

        if (options.policy != NULL &&
            strcmp(options.policy, policies[i]->name) != 0) {
            continue;
        }
        result = sim_play(load, policies[i], options.seed);
        json_array_append_new(reports,
                              replay_report(load, policies[i], result));
        sim_result_free(result);
    }
    if (json_array_size(reports) == 0) {
        rc = cli_error(FP_ERR_BAD_REQUEST, "no such policy");
    }
    else if (cli->json) {
        cli_print(cli, reports);
    }
    else {
        print_reports(reports);
    }
    if (rc == 0 && options.plot != NULL &&
        !write_plot(options.plot, reports)) {
        rc = cli_error(FP_ERR_DISK, "the plot cannot be written");
    }
    json_decref(reports);
    replay_load_free(load);
    return rc;
}
