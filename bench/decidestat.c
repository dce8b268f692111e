/* decidestat.c -- samples and report of "bench decide" */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "bench/decide.h"

void
decide_add_value(struct series *series, double value)
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
quantile(struct series *series, double part)
{
    if (series->values == NULL || series->values->len == 0) {
        return 0;
    }
    g_array_sort(series->values, compare_doubles);
    return g_array_index(series->values, double,
                         (guint)((series->values->len - 1) * part));
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
    double size[3] = {0, 0, 0};
    double fit = 0;

    g_hash_table_iter_init(&iter, driver->cell->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        const struct change_target *rec = &target->rec;

        used[0] += (double)target->used.cpu_milli;
        used[1] += (double)target->used.memory_mb;
        used[2] += (double)target->used.accel;
        size[0] += rec->cpu_milli;
        size[1] += rec->memory_mb;
        size[2] += rec->accel;
        fit += (double)MIN((rec->cpu_milli - target->used.cpu_milli) / 4000,
                           rec->accel - target->used.accel);
        if (target->used.cpu_milli > rec->cpu_milli ||
            target->used.memory_mb > rec->memory_mb ||
            target->used.accel > rec->accel) {
            driver->overcommits++;
        }
    }
    for (int i = 0; i < 3; i++) {
        decide_add_value(&driver->used[i], used[i] / size[i]);
    }
    decide_add_value(&driver->gang_fit, fit);
}

/* A team's dominant share of the whole, now and with all that waits. */
struct demand {
    double has;
    double wants;
    double weight;
    double fair;
};

static void
add_waiting(const struct driver *driver, struct demand *demands,
            const struct resources *total)
{
    GHashTableIter iter;
    struct job *job;

    g_hash_table_iter_init(&iter, driver->cell->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        struct demand *demand;
        double each;

        /* A team at its upper limit can use no more. */
        if (job->unfinished_tasks == 0 ||
            !cell_within_limits(job->team, &job->rec, 1)) {
            continue;
        }
        each = MAX((double)job->rec.cpu_milli / (double)total->cpu_milli,
                   MAX((double)job->rec.memory_mb / (double)total->memory_mb,
                       (double)job->rec.accel / (double)total->accel));
        demand = &demands[atoi(job->rec.team + 4)];
        for (uint32_t i = 0; i < job->rec.count; i++) {
            if (job->tasks[i].state == TASK_WAITING) {
                demand->wants += each;
            }
        }
    }
}

/* Fills each team up to its demand, in step with its weight, until what is
 * given out now is given out.
 */
static void
fill_fair(struct demand *demands, uint32_t count)
{
    double sum = 0;
    double low = 0;
    double high = 100;

    for (uint32_t i = 0; i < count; i++) {
        sum += demands[i].has;
    }
    for (int step = 0; step < 60; step++) {
        double level = (low + high) / 2;
        double given = 0;

        for (uint32_t i = 0; i < count; i++) {
            demands[i].fair = MIN(demands[i].wants, level * demands[i].weight);
            given += demands[i].fair;
        }
        if (given < sum) {
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

        demand->has =
            MAX((double)team->used.cpu_milli / (double)total.cpu_milli,
                MAX((double)team->used.memory_mb / (double)total.memory_mb,
                    (double)team->used.accel / (double)total.accel));
        demand->wants = demand->has;
        demand->weight = team->conf.weight;
        if (team->conf.limit_running != 0 &&
            team->used.running > team->conf.limit_running) {
            driver->breaches++;
        }
    }
    add_waiting(driver, demands, &total);
    fill_fair(demands, count);
    for (uint32_t i = 0; i < count; i++) {
        g_array_index(driver->share_error, double, i) +=
            fabs(demands[i].has - demands[i].fair);
    }
    driver->share_samples++;
    g_free(demands);
}

void
decide_count_open(struct driver *driver)
{
    GHashTableIter iter;
    struct job *job;

    g_hash_table_iter_init(&iter, driver->cell->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        for (uint32_t i = 0; i < job->rec.count; i++) {
            const struct task *task = &job->tasks[i];

            /* A task that failed was not served either. */
            if (task->state == TASK_WAITING || task->state == TASK_FAILED) {
                decide_add_value(
                    &driver->wait[job->rec.kind],
                    (double)(decide_wall_ms(driver) - job->rec.submitted_ms));
            }
            else if (task->state == TASK_RUNNING) {
                decide_add_value(
                    &driver->wait[job->rec.kind],
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
    for (int kind = 0; kind < KINDS; kind++) {
        json_object_set_new(waits, WORK_KIND_NAMES[kind],
                            json_pack("{s:f,s:f}", "p50_ms",
                                      quantile(&driver->wait[kind], 0.5),
                                      "p99_ms",
                                      quantile(&driver->wait[kind], 0.99)));
    }
    return json_pack(
        "{s:s,s:s,s:I,s:I,s:o,s:{s:f,s:f,s:f,s:f},s:{s:f,s:f},s:I,s:I,"
        "s:{s:I,s:f,s:f,s:f,s:f,s:f},s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}",
        "site", driver->site->name, "policy", driver->policy->name, "seed",
        (json_int_t)seed, "virtual_s", (json_int_t)(driver->now_ms / 1000),
        "wait", waits, "packing", "cpu", mean(&driver->used[0]), "memory",
        mean(&driver->used[1]), "accel", mean(&driver->used[2]), "gang_fit",
        mean(&driver->gang_fit), "share_error", "mean", share_mean, "worst",
        share_worst, "limit_breaches", (json_int_t)driver->breaches,
        "overcommits", (json_int_t)driver->overcommits, "decision", "count",
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
number(const json_t *object, const char *group, const char *name)
{
    return json_number_value(
        json_object_get(json_object_get(object, group), name));
}

static double
wait_of(const json_t *result, const char *kind, const char *name)
{
    return number(json_object_get(result, "wait"), kind, name);
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
               wait_of(result, "batch", "p50_ms"),
               wait_of(result, "batch", "p99_ms"),
               wait_of(result, "gang", "p50_ms"),
               wait_of(result, "gang", "p99_ms"),
               wait_of(result, "urgent", "p99_ms"),
               wait_of(result, "service", "p99_ms"),
               number(result, "packing", "cpu"),
               number(result, "packing", "memory"),
               number(result, "packing", "accel"),
               number(result, "packing", "gang_fit"),
               number(result, "share_error", "mean"),
               number(result, "share_error", "worst"),
               json_integer_value(json_object_get(result, "ended")),
               json_integer_value(json_object_get(result, "failed")),
               json_integer_value(json_object_get(result, "overcommits")),
               json_integer_value(json_object_get(result, "limit_breaches")),
               number(result, "decision", "p99_us"),
               number(result, "decision", "max_us"),
               number(result, "decision", "per_second"));
    }
}
