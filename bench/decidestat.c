/* decidestat.c -- samples and report of "bench decide" */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "bench/decide.h"

void
decide_add_sample(struct series *series, double value)
{
    if (series->values == NULL) {
        series->values = g_array_new(FALSE, FALSE, sizeof(double));
    }
    g_array_append_val(series->values, value);
}

static int
compare_doubles(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

static double
quantile(struct series *series, double fraction)
{
    if (series->values == NULL || series->values->len == 0) {
        return 0;
    }
    g_array_sort(series->values, compare_doubles);
    return g_array_index(series->values, double,
                         (guint)((series->values->len - 1) * fraction));
}

static double
mean(const struct series *series)
{
    double sum = 0;

    if (series->values == NULL || series->values->len == 0) {
        return 0;
    }
    for (guint i = 0; i < series->values->len; i++) {
        sum += g_array_index(series->values, double, i);
    }
    return sum / series->values->len;
}

/* Samples. */

void
decide_sample_packing(struct driver *driver)
{
    GHashTableIter iter;
    struct target *target;
    double used[3] = {0, 0, 0};
    double capacity[3] = {0, 0, 0};
    double fitting_tasks = 0;

    g_hash_table_iter_init(&iter, driver->cell->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        const struct change_target *rec = &target->rec;

        used[0] += (double)target->used.cpu_milli;
        used[1] += (double)target->used.memory_mb;
        used[2] += (double)target->used.accel;
        capacity[0] += rec->cpu_milli;
        capacity[1] += rec->memory_mb;
        capacity[2] += rec->accel;
        fitting_tasks +=
            (double)MIN((rec->cpu_milli - target->used.cpu_milli) / 4000,
                        rec->accel - target->used.accel);
        if (target->used.cpu_milli > rec->cpu_milli ||
            target->used.memory_mb > rec->memory_mb ||
            target->used.accel > rec->accel) {
            driver->overcommits++;
        }
    }
    for (int i = 0; i < 3; i++) {
        decide_add_sample(&driver->utilization[i], used[i] / capacity[i]);
    }
    decide_add_sample(&driver->gang_fit, fitting_tasks);
}

/* Dominant shares of a team, as fractions of all resources. */
struct demand {
    double used;
    double wanted; /* used, and what its waiting tasks need */
    double weight;
    double fair;
};

static void
add_waiting_demand(const struct driver *driver, struct demand *demands,
                   const struct resources *total)
{
    GHashTableIter iter;
    struct job *job;

    g_hash_table_iter_init(&iter, driver->cell->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        struct demand *demand;
        double task_share;

        /* A team at its limit cannot use more. */
        if (job->unfinished_tasks == 0 ||
            !cell_within_limits(job->team, &job->rec, 1)) {
            continue;
        }
        task_share =
            MAX((double)job->rec.cpu_milli / (double)total->cpu_milli,
                MAX((double)job->rec.memory_mb / (double)total->memory_mb,
                    (double)job->rec.accel / (double)total->accel));
        demand = &demands[atoi(job->rec.team + 4)];
        for (uint32_t i = 0; i < job->rec.count; i++) {
            if (job->tasks[i].state == TASK_WAITING) {
                demand->wanted += task_share;
            }
        }
    }
}

/* Distributes the sum of the used shares by weighted max-min fairness: each
 * team gets level * weight, at most its demand. The level is found by
 * bisection.
 */
static void
compute_fair_shares(struct demand *demands, uint32_t count)
{
    double total_used = 0;
    double low = 0;
    double high = 100;

    for (uint32_t i = 0; i < count; i++) {
        total_used += demands[i].used;
    }
    for (int step = 0; step < 60; step++) {
        double level = (low + high) / 2;
        double distributed = 0;

        for (uint32_t i = 0; i < count; i++) {
            demands[i].fair =
                MIN(demands[i].wanted, level * demands[i].weight);
            distributed += demands[i].fair;
        }
        if (distributed < total_used) {
            low = level;
        }
        else {
            high = level;
        }
    }
}

void
decide_sample_shares(struct driver *driver)
{
    uint32_t count = driver->site->teams;
    struct demand *demands = g_new0(struct demand, count);
    struct resources total = {0, 0, 0, 0};
    GHashTableIter iter;
    struct target *target;
    struct team *team;

    g_hash_table_iter_init(&iter, driver->cell->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        total.cpu_milli += target->rec.cpu_milli;
        total.memory_mb += target->rec.memory_mb;
        total.accel += target->rec.accel;
    }
    g_hash_table_iter_init(&iter, driver->cell->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        struct demand *demand = &demands[atoi(team->conf.name + 4)];

        demand->used =
            MAX((double)team->used.cpu_milli / (double)total.cpu_milli,
                MAX((double)team->used.memory_mb / (double)total.memory_mb,
                    (double)team->used.accel / (double)total.accel));
        demand->wanted = demand->used;
        demand->weight = team->conf.weight;
        if (team->conf.limit_running != 0 &&
            team->used.running > team->conf.limit_running) {
            driver->limit_breaches++;
        }
    }
    add_waiting_demand(driver, demands, &total);
    compute_fair_shares(demands, count);
    for (uint32_t i = 0; i < count; i++) {
        g_array_index(driver->share_error, double, i) +=
            fabs(demands[i].used - demands[i].fair);
    }
    driver->share_samples++;
    g_free(demands);
}

void
decide_add_unfinished_waits(struct driver *driver)
{
    GHashTableIter iter;
    struct job *job;

    g_hash_table_iter_init(&iter, driver->cell->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        for (uint32_t i = 0; i < job->rec.count; i++) {
            const struct task *task = &job->tasks[i];

            /* A failed task has done no useful work: all its time counts. */
            if (task->state == TASK_WAITING || task->state == TASK_FAILED) {
                decide_add_sample(
                    &driver->wait_ms[job->rec.kind],
                    (double)(decide_wall_ms(driver) - job->rec.submitted_ms));
            }
            else if (task->state == TASK_RUNNING) {
                decide_add_sample(
                    &driver->wait_ms[job->rec.kind],
                    (double)(task->started_ms - job->rec.submitted_ms));
            }
        }
    }
}

json_t *
decide_report(struct driver *driver, uint32_t seed)
{
    const struct sched_counters *counters = sched_counters(driver->sched);
    uint64_t decisions = counters->decisions;
    double share_mean = 0;
    double share_worst = 0;
    json_t *waits = json_object();
    struct rusage usage;

    getrusage(RUSAGE_SELF, &usage);
    for (uint32_t i = 0; i < driver->site->teams; i++) {
        double error = g_array_index(driver->share_error, double, i) /
                       MAX(driver->share_samples, 1);

        share_mean += error / driver->site->teams;
        share_worst = MAX(share_worst, error);
    }
    for (int kind = 0; kind < WORK_KIND_COUNT; kind++) {
        json_object_set_new(waits, WORK_KIND_NAMES[kind],
                            json_pack("{s:f,s:f}", "p50_ms",
                                      quantile(&driver->wait_ms[kind], 0.5),
                                      "p99_ms",
                                      quantile(&driver->wait_ms[kind], 0.99)));
    }
    return json_pack(
        "{s:s,s:s,s:I,s:I,s:o,s:{s:f,s:f,s:f,s:f},s:{s:f,s:f},s:I,s:I,"
        "s:{s:I,s:f,s:f,s:f,s:f,s:f},s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}",
        "site", driver->site->name, "policy", driver->policy->name, "seed",
        (json_int_t)seed, "virtual_s", (json_int_t)(driver->now_ms / 1000),
        "wait", waits, "packing", "cpu", mean(&driver->utilization[0]),
        "memory", mean(&driver->utilization[1]), "accel",
        mean(&driver->utilization[2]), "gang_fit", mean(&driver->gang_fit),
        "share_error", "mean", share_mean, "worst", share_worst,
        "limit_breaches", (json_int_t)driver->limit_breaches, "overcommits",
        (json_int_t)driver->overcommits, "decision", "count",
        (json_int_t)decisions, "p50_us", quantile(&driver->decision_us, 0.5),
        "p99_us", quantile(&driver->decision_us, 0.99), "max_us",
        quantile(&driver->decision_us, 1.0), "mean_us",
        (double)driver->sched_us / (double)MAX(decisions, 1), "per_second",
        (double)decisions * 1e6 / (double)MAX(driver->sched_us, 1), "failed",
        (json_int_t)driver->cell->state_counts[TASK_FAILED], "started",
        (json_int_t)driver->started, "ended", (json_int_t)driver->ended,
        "cancelled", (json_int_t)driver->cancelled, "preempted",
        (json_int_t)counters->preempted, "reclaimed",
        (json_int_t)counters->reclaimed, "reservations",
        (json_int_t)counters->reservations, "probations",
        (json_int_t)counters->probations, "refused",
        (json_int_t)counters->refused, "peak_memory_kb",
        (json_int_t)usage.ru_maxrss);
}

static double
nested_number(const json_t *object, const char *group, const char *name)
{
    return json_number_value(
        json_object_get(json_object_get(object, group), name));
}

static double
wait_number(const json_t *result, const char *kind, const char *name)
{
    return nested_number(json_object_get(result, "wait"), kind, name);
}

void
decide_print_table(const json_t *results)
{
    size_t index;
    json_t *result;

    printf("%-10s %-15s %9s %9s %9s %9s %9s %9s %6s %6s %6s %7s %8s %8s %7s "
           "%6s %4s "
           "%4s %8s %8s %9s\n",
           "site", "policy", "batch50", "batch99", "gang50", "gang99",
           "urgent99", "service99", "cpu", "memory", "accel", "gangfit",
           "sharemean", "worst", "ended", "failed", "over", "brch",
           "dec_p99us", "dec_maxus", "dec/s");
    json_array_foreach(results, index, result)
    {
        printf("%-10s %-15s %9.0f %9.0f %9.0f %9.0f %9.0f %9.0f %6.3f %6.3f "
               "%6.3f %7.1f %8.4f %8.4f %7lld %6lld %4lld %4lld %8.0f %8.0f "
               "%9.0f\n",
               json_string_value(json_object_get(result, "site")),
               json_string_value(json_object_get(result, "policy")),
               wait_number(result, "batch", "p50_ms"),
               wait_number(result, "batch", "p99_ms"),
               wait_number(result, "gang", "p50_ms"),
               wait_number(result, "gang", "p99_ms"),
               wait_number(result, "urgent", "p99_ms"),
               wait_number(result, "service", "p99_ms"),
               nested_number(result, "packing", "cpu"),
               nested_number(result, "packing", "memory"),
               nested_number(result, "packing", "accel"),
               nested_number(result, "packing", "gang_fit"),
               nested_number(result, "share_error", "mean"),
               nested_number(result, "share_error", "worst"),
               json_integer_value(json_object_get(result, "ended")),
               json_integer_value(json_object_get(result, "failed")),
               json_integer_value(json_object_get(result, "overcommits")),
               json_integer_value(json_object_get(result, "limit_breaches")),
               nested_number(result, "decision", "p99_us"),
               nested_number(result, "decision", "max_us"),
               nested_number(result, "decision", "per_second"));
    }
}
