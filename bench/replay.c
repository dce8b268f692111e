/* replay.c -- "bench replay": a load under several scheduling policies, in
 * virtual time
 *
 * A seed determines the jobs, run times, failures of runs and policy grants,
 * which are the same under every scheduling policy. Which targets and orders
 * a fault of the load affects is drawn during the simulation and may differ.
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
percentile(GArray *values, uint32_t percent)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_doubles);
    return g_array_index(values, double,
                         (values->len - 1) * (guint64)percent / 100);
}

/* Selects the jobs of one queue, of one team, or all. */
struct job_filter {
    const struct replay_queue *queue; /* NULL: any */
    uint32_t team;                    /* UINT32_MAX: any */
    bool within_share;                /* only those */
};

static json_t *
summarize_jobs(const char *name, const struct job_filter *filter,
               const struct sim_result *result)
{
    GArray *waits = g_array_new(FALSE, FALSE, sizeof(double));
    double earned = 0;
    double owed = 0;
    uint32_t count = 0;
    uint32_t late = 0;
    uint32_t in_time = 0;
    json_t *row;

    for (guint i = 0; i < result->jobs->len; i++) {
        const struct sim_job *job = result->jobs->pdata[i];
        uint32_t permille = replay_earned_permille(job);
        double wait_ms = (double)job->first_start_ms - (double)job->arrived_ms;

        if ((filter->queue != NULL && job->queue != filter->queue) ||
            (filter->team != UINT32_MAX && job->team != filter->team) ||
            (filter->within_share && job->beyond_share)) {
            continue;
        }
        count++;
        late += permille < 1000;
        in_time += permille == 1000;
        owed += job->queue->worth_milli / MILLI;
        earned += job->queue->worth_milli / MILLI * permille / MILLI;
        if (job->first_start_ms != 0) {
            g_array_append_val(waits, wait_ms);
        }
    }
    row =
        json_pack("{s:s,s:i,s:i,s:i,s:f,s:f,s:f,s:f}", "name", name, "jobs",
                  (int)count, "late", (int)late, "in_time", (int)in_time,
                  "earned", earned, "owed", owed, "wait_p50_ms",
                  percentile(waits, 50), "wait_p95_ms", percentile(waits, 95));
    g_array_free(waits, TRUE);
    return row;
}

/* What the search for tasks that crash their targets costs. */
static json_t *
report_crashes(const struct sim_result *result)
{
    GArray *until_given_up = g_array_new(FALSE, FALSE, sizeof(double));
    uint32_t jobs = 0;
    json_t *report;

    for (guint i = 0; i < result->jobs->len; i++) {
        const struct sim_job *job = result->jobs->pdata[i];
        double ms;

        if (job->crash_times->len == 0) {
            continue;
        }
        jobs++;
        if (job->state == JOB_FAILED) {
            ms = (double)(job->ended_ms -
                          g_array_index(job->crash_times, uint64_t, 0));
            g_array_append_val(until_given_up, ms);
        }
    }
    report = json_pack("{s:i,s:i,s:f,s:f,s:i,s:i}", "jobs", (int)jobs,
                       "given_up", (int)until_given_up->len,
                       "until_given_up_p50_ms", percentile(until_given_up, 50),
                       "until_given_up_p95_ms", percentile(until_given_up, 95),
                       "targets_lost", (int)result->crashed_targets,
                       "neighbours_lost", (int)result->crash_neighbours);
    g_array_free(until_given_up, TRUE);
    return report;
}

json_t *
replay_report(const struct replay_load *load, const struct plan_policy *policy,
              const struct sim_result *result)
{
    const struct sim_breaches *breaches = &result->breaches;
    struct job_filter filter = {NULL, UINT32_MAX, false};
    json_t *queues = json_array();
    json_t *teams = json_array();
    json_t *all = summarize_jobs("all", &filter, result);
    GArray *us = result->decision_us;
    json_t *within;
    json_t *row;

    for (uint32_t i = 0; i < load->queues_count; i++) {
        filter.queue = &load->queues[i];
        row = summarize_jobs(load->queues[i].name, &filter, result);
        json_object_set_new(
            row, "recovery_ms",
            json_integer(replay_recovery_ms(load, filter.queue, result)));
        json_array_append_new(queues, row);
    }
    filter.queue = NULL;
    for (uint32_t i = 0; i < load->teams_count; i++) {
        filter.team = i;
        json_array_append_new(
            teams, summarize_jobs(load->teams[i].name, &filter, result));
    }
    filter = (struct job_filter){NULL, UINT32_MAX, true};
    within = summarize_jobs("within shares", &filter, result);
    return json_pack(
        "{s:o,s:f,s:s,s:s,s:o,s:o,s:o,s:f,s:f,s:f,s:I,s:I,s:I,s:i,s:i,s:i,s:i,"
        "s:i,s:i,"
        "s:o,s:i,s:s}",
        "within", within, "fairness", replay_fairness(load, result), "load",
        load->name, "policy", policy->name, "all", all, "queues", queues,
        "teams", teams, "wasted_core_s",
        (double)result->wasted_cpu_milli_s / MILLI, "decision_p50_us",
        percentile(us, 50), "decision_p99_us", percentile(us, 99), "starts",
        (json_int_t)result->counters.starts, "stops",
        (json_int_t)result->counters.stops, "questions",
        (json_int_t)result->counters.policy_queries, "over_size",
        (int)breaches->over_size, "doubled", (int)breaches->doubled,
        "over_cap", (int)breaches->over_cap, "stuck", (int)breaches->stuck,
        "over_crashes", (int)breaches->over_crashes, "wrongly_given_up",
        (int)breaches->wrongly_given_up, "crashes", report_crashes(result),
        "evacuated", (int)breaches->evacuated, "first_breach",
        breaches->first);
}

static double
get_number(const json_t *row, const char *name)
{
    return json_number_value(json_object_get(row, name));
}

static void
print_row(const char *policy, const json_t *row)
{
    double owed = get_number(row, "owed");

    printf("%-14s %-18s %6d %6d %9.1f %9.1f %6.3f %9.0f %9.0f\n", policy,
           json_string_value(json_object_get(row, "name")),
           (int)get_number(row, "jobs"), (int)get_number(row, "late"),
           get_number(row, "earned"), owed,
           owed > 0 ? get_number(row, "earned") / owed : 1.0,
           get_number(row, "wait_p50_ms"), get_number(row, "wait_p95_ms"));
}

static void
print_rows(const json_t *report, const char *section)
{
    const json_t *row;
    size_t i;

    json_array_foreach(json_object_get(report, section), i, row)
    {
        print_row(json_string_value(json_object_get(report, "policy")), row);
    }
}

/* Nothing for queues that were always in time. */
static void
print_recovery(const json_t *report)
{
    const json_t *row;
    size_t i;

    json_array_foreach(json_object_get(report, "queues"), i, row)
    {
        if (get_number(row, "recovery_ms") == 0) {
            continue;
        }
        printf("%-14s %s: %d in time, %d late or never; within "
               "its objective again %.0f ms after the last disturbance\n",
               json_string_value(json_object_get(report, "policy")),
               json_string_value(json_object_get(row, "name")),
               (int)get_number(row, "in_time"), (int)get_number(row, "late"),
               get_number(row, "recovery_ms"));
    }
}

/* Nothing if no task crashed a target. */
static void
print_crashes(const char *policy, const json_t *crashes)
{
    if (get_number(crashes, "jobs") == 0) {
        return;
    }
    printf("%-14s %d of %d jobs whose tasks crash targets given up, after "
           "%.0f ms at p50, %.0f at p95; %d targets lost by them, with %d "
           "runs of other jobs\n",
           policy, (int)get_number(crashes, "given_up"),
           (int)get_number(crashes, "jobs"),
           get_number(crashes, "until_given_up_p50_ms"),
           get_number(crashes, "until_given_up_p95_ms"),
           (int)get_number(crashes, "targets_lost"),
           (int)get_number(crashes, "neighbours_lost"));
}

static void
print_reports(const json_t *reports)
{
    const json_t *report;
    size_t i;

    printf("%-14s %-18s %6s %6s %9s %9s %6s %9s %9s\n", "policy", "work",
           "jobs", "late", "earned", "owed", "part", "wait p50", "p95 ms");
    json_array_foreach(reports, i, report)
    {
        const char *policy =
            json_string_value(json_object_get(report, "policy"));

        print_rows(report, "queues");
        print_rows(report, "teams");
        print_row(policy, json_object_get(report, "within"));
        print_row(policy, json_object_get(report, "all"));
        print_recovery(report);
        printf("%-14s fairness of teams within their shares %.3f\n", policy,
               get_number(report, "fairness"));
        printf(
            "%-14s wasted %.0f core-s, %d starts, %d questions; decision "
            "p50 %.0f us, p99 %.0f us; breaches: %d over size, %d doubled, "
            "%d over cap, %d stuck, %d over crashes, %d wrongly given up, %d "
            "evacuated\n",
            policy, get_number(report, "wasted_core_s"),
            (int)get_number(report, "starts"),
            (int)get_number(report, "questions"),
            get_number(report, "decision_p50_us"),
            get_number(report, "decision_p99_us"),
            (int)get_number(report, "over_size"),
            (int)get_number(report, "doubled"),
            (int)get_number(report, "over_cap"),
            (int)get_number(report, "stuck"),
            (int)get_number(report, "over_crashes"),
            (int)get_number(report, "wrongly_given_up"),
            (int)get_number(report, "evacuated"));
        print_crashes(policy, json_object_get(report, "crashes"));
    }
}

/* ---- the plot ----------------------------------------------------------- */

#define PLOT_WIDTH 760
#define BAR_HEIGHT 14
#define BAR_LEFT 250
#define BAR_WIDTH 440

static void
plot_bar(FILE *file, int *y, const char *label, double fraction)
{
    fprintf(file,
            "<text x=\"4\" y=\"%d\">%s</text>"
            "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" "
            "fill=\"#e8e8e8\"/>"
            "<rect x=\"%d\" y=\"%d\" width=\"%.0f\" height=\"%d\" "
            "fill=\"#3b6ea5\"/>"
            "<text x=\"%d\" y=\"%d\">%.3f</text>\n",
            *y + 11, label, BAR_LEFT, *y, BAR_WIDTH, BAR_HEIGHT - 2, BAR_LEFT,
            *y, fraction * BAR_WIDTH, BAR_HEIGHT - 2, BAR_LEFT + BAR_WIDTH + 6,
            *y + 11, fraction);
    *y += BAR_HEIGHT;
}

/* Writes an SVG file with a bar of earned / owed credit for each queue and
 * policy. */
static bool
write_plot(const char *path, const json_t *reports)
{
    FILE *file = fopen(path, "w");
    const json_t *first = json_array_get(reports, 0);
    size_t queue_count = json_array_size(json_object_get(first, "queues"));
    size_t bars = (queue_count + 1) * json_array_size(reports);
    const json_t *report;
    size_t i;
    int y = 26;

    if (file == NULL) {
        return false;
    }
    fprintf(file,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
            "height=\"%zu\" font-family=\"sans-serif\" font-size=\"11\">"
            "<text x=\"4\" y=\"14\">%s: credit earned / owed</text>\n",
            PLOT_WIDTH, 30 + bars * BAR_HEIGHT + (queue_count + 1) * 6,
            json_string_value(json_object_get(first, "load")));
    for (size_t row_index = 0; row_index <= queue_count; row_index++) {
        json_array_foreach(reports, i, report)
        {
            const json_t *row =
                row_index < queue_count
                    ? json_array_get(json_object_get(report, "queues"),
                                     row_index)
                    : json_object_get(report, "all");
            char label[160];

            snprintf(label, sizeof(label), "%s, %s",
                     json_string_value(json_object_get(row, "name")),
                     json_string_value(json_object_get(report, "policy")));
            plot_bar(file, &y, label,
                     get_number(row, "owed") > 0
                         ? get_number(row, "earned") / get_number(row, "owed")
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
    uint32_t highest_permille; /* 0: not asked for */
};

enum { KEY_SEED = 1024, KEY_POLICY, KEY_PLOT, KEY_HIGHEST };

static const struct argp_option OPTIONS[] = {
    {"seed", KEY_SEED, "N", 0, "seed of the generated jobs and faults (1)", 2},
    {"policy", KEY_POLICY, "NAME", 0,
     "filbertpath, contended, holds-at-once or fifo (all)", 2},
    {"highest", KEY_HIGHEST, "PERMILLE", 0,
     "print only the highest arrival rate, in percent of the load's, at which "
     "each service alone earns this much of its credit, over seeds 1 to N",
     2},
    {"plot", KEY_PLOT, "FILE", 0,
     "write a bar chart of earned / owed credit, as SVG", 2},
    {NULL, 0, NULL, 0, NULL, 0}};

static bool
parse_option(void *ctx, int key, const char *arg)
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
    if (key == KEY_HIGHEST) {
        options->highest_permille = (uint32_t)value;
        return value <= 1000;
    }
    options->seed = (uint32_t)value;
    return true;
}

/* The highest load that each service holds under a policy. The caller owns the
 * reference. */
static json_t *
report_highest(struct replay_load *load, const struct plan_policy *policy,
               const struct replay_options *options)
{
    json_t *services = json_object();

    for (uint32_t i = 0; i < load->services_count; i++) {
        uint32_t percent =
            replay_highest_percent(load, &load->services[i], policy,
                                   options->seed, options->highest_permille);

        json_object_set_new(services, load->services[i].name,
                            json_integer(percent));
    }
    return json_pack("{s:s,s:o}", "policy", policy->name, "percent", services);
}

static void
print_highest(const json_t *reports)
{
    const json_t *report;
    size_t i;

    json_array_foreach(reports, i, report)
    {
        json_t *percent = json_object_get(report, "percent");
        const char *service;
        const json_t *value;

        json_object_foreach(percent, service, value)
        {
            printf("%-14s %-18s %3d %% of the load\n",
                   json_string_value(json_object_get(report, "policy")),
                   service, (int)json_integer_value(value));
        }
    }
}

int
bench_replay(struct cli *cli, int argc, char **argv)
{
    static const struct plan_policy *const policies[] = {
        &PLAN_POLICY_DEFAULT, &PLAN_POLICY_CONTENDED,
        &PLAN_POLICY_RESERVE_AT_ONCE, &PLAN_POLICY_FIFO};
    struct replay_options options = {.seed = 1};
    const char *args[1] = {NULL};
    struct cli_parser parser = {
        .cli = cli,
        .usage = "FILE",
        .doc =
            "Replays a load through the scheduler in virtual time, with the "
            "current policy and with earlier ones. Reports the credit "
            "earned and owed, waits, wasted processor time and the "
            "duration of scheduling passes.",
        .args = args,
        .max_args = 1,
        .extra_options = OPTIONS,
        .on_extra_option = parse_option,
        .ctx = &options};
    struct replay_load *load = NULL;
    json_t *reports;
    char why[256];
    int rc = 0;

    cli_parse(&parser, argc, argv);
    if (parser.arg_count != 1) {
        return cli_error(FP_ERR_BAD_REQUEST, "expected arguments: FILE");
    }
    if (replay_read_load(args[0], &load, why, sizeof(why)) != FP_OK) {
        return cli_error(FP_ERR_BAD_REQUEST, why);
    }
    reports = json_array();
    for (size_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++) {
        struct sim_result *result;

        if (options.policy != NULL &&
            strcmp(options.policy, policies[i]->name) != 0) {
            continue;
        }
        if (options.highest_permille > 0) {
            json_array_append_new(reports,
                                  report_highest(load, policies[i], &options));
            continue;
        }
        result = sim_replay(load, policies[i], options.seed);
        json_array_append_new(reports,
                              replay_report(load, policies[i], result));
        sim_result_free(result);
    }
    if (json_array_size(reports) == 0) {
        rc = cli_error(FP_ERR_BAD_REQUEST, "unknown policy");
    }
    else if (cli->json) {
        cli_print(cli, reports);
    }
    else if (options.highest_permille > 0) {
        print_highest(reports);
    }
    else {
        print_reports(reports);
    }
    if (rc == 0 && options.plot != NULL &&
        !write_plot(options.plot, reports)) {
        rc = cli_error(FP_ERR_DISK, "cannot write the plot");
    }
    json_decref(reports);
    replay_load_free(load);
    return rc;
}
