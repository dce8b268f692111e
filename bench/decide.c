/* decide.c -- "bench decide": simulates the scheduler in virtual time
 *
 * A driver generates arrivals, ends, failures and cancellations from a seed
 * and applies them to the cell and the scheduler; nothing else is simulated.
 * Placements are applied COMMIT_DELAY_MS after they were proposed, as if they
 * went through the replicated log. The same seed gives every policy the same
 * workload.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "bench/bench.h"
#include "bench/decide.h"
#include "node/clock.h"

/* The two current sites, and the fleet projected for two years ahead. */
static const struct site SITES[] = {
    {.name = "kapnos",
     .hosts = {{35, 32000, 64000, 0, 5}, {13, 128000, 512000, 8, 3}},
     .teams = 6,
     .large_teams = 2,
     .starts_per_second = 45,
     .batch_mean_ms = 40000,
     .size_factor = 1,
     .service_tasks = 120,
     .accel_one_in = 20,
     .gang_size_limit = 24,
     .mass_cancel_tasks = 500},
    {.name = "vigilancia",
     .hosts = {{35, 32000, 128000, 0, 5}, {13, 64000, 128000, 8, 3}},
     .teams = 6,
     .large_teams = 2,
     .starts_per_second = 32,
     .batch_mean_ms = 40000,
     .size_factor = 1,
     .service_tasks = 120,
     .accel_one_in = 14,
     .gang_size_limit = 16,
     .mass_cancel_tasks = 500},
    {.name = "fleet",
     .hosts = {{1600, 32000, 64000, 0, 20}, {400, 128000, 512000, 8, 8}},
     .teams = 60,
     .large_teams = 8,
     .starts_per_second = 294, /* 470 at the peak */
     .batch_mean_ms = 22000,
     .size_factor = 6,
     .service_tasks = 2600,
     .accel_one_in = 4,
     .gang_size_limit = 64,
     .mass_cancel_tasks = 5000},
};

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer ctx)
{
    const struct event *x = a;
    const struct event *y = b;

    (void)ctx;
    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static struct event *
add_event(struct driver *driver, enum event_type type, uint64_t at_ms)
{
    struct event *event = g_new0(struct event, 1);

    event->type = type;
    event->at_ms = at_ms;
    event->sequence = driver->next_sequence++;
    g_sequence_insert_sorted(driver->events, event, compare_events, NULL);
    return event;
}

uint64_t
decide_wall_ms(const struct driver *driver)
{
    return WALL_START_MS + driver->now_ms;
}

/* Applies a change at the current time. id, unless NULL, is set to the ID or
 * count in the answer.
 */
static enum fp_err
apply_change(struct driver *driver, const struct fp_schema *schema,
             void *change, uint64_t *id)
{
    struct change_head *head = change;
    struct change_answer answer;
    struct fp_blob blob;
    enum fp_err err;

    head->at_ms = decide_wall_ms(driver);
    fp_encode(schema, change, &blob);
    cell_apply(driver->cell, ++driver->log_index, blob.data, blob.size_bytes,
               &answer);
    err = answer.err;
    if (id != NULL) {
        *id = answer.id;
    }
    fp_record_free(&CHANGE_ANSWER_SCHEMA, &answer);
    fp_blob_free(&blob);
    return err;
}

/* Callbacks of the scheduler and the cell. */

static void
on_propose(void *ctx, const struct place_item *items, uint32_t count)
{
    struct driver *driver = ctx;
    struct event *event = add_event(driver, EVENT_PLACEMENT_COMMITTED,
                                    driver->now_ms + COMMIT_DELAY_MS);

    event->placement = g_new0(struct change_place, 1);
    event->placement->items.items = g_memdup2(items, count * sizeof(items[0]));
    event->placement->items.count = count;
}

static void
schedule_end(struct driver *driver, const struct task *task, uint64_t delay_ms,
             enum end_outcome outcome)
{
    struct event *event =
        add_event(driver, EVENT_ATTEMPT_END, driver->now_ms + delay_ms);

    event->task_id = task->id;
    event->attempt = task->attempt;
    event->outcome = outcome;
}

/* The target receives its orders without delay and stops a task CHECKPOINT_MS
 * later. An attempt may get several end events: end_attempt() ignores all
 * but the first.
 */
static void
on_orders_changed(void *ctx, struct target *target)
{
    struct driver *driver = ctx;

    if (driver->sched == NULL) {
        return;
    }
    for (struct task *task = target->first_task; task != NULL;
         task = task->next_on_target) {
        enum sched_order order = sched_task_order(driver->sched, task);

        if (order == SCHED_ORDER_CHECKPOINT || order == SCHED_ORDER_STOP) {
            schedule_end(driver, task, CHECKPOINT_MS, END_STOPPED);
        }
    }
}

static void
on_task_changed(void *ctx, struct task *task, enum task_state old_state)
{
    struct driver *driver = ctx;

    if (driver->sched != NULL) {
        sched_task_changed(driver->sched, task, old_state);
    }
}

static void
on_attempt_ended(void *ctx, struct task *task, struct target *target)
{
    struct driver *driver = ctx;

    sched_attempt_ended(driver->sched, task, target);
}

static void
on_target_changed(void *ctx, struct target *target)
{
    struct driver *driver = ctx;

    if (driver->sched != NULL) {
        sched_target_changed(driver->sched, target);
    }
}

static void
on_config_changed(void *ctx)
{
    struct driver *driver = ctx;

    if (driver->sched != NULL) {
        sched_config_changed(driver->sched);
    }
}

static void
on_job_removed(void *ctx, struct job *job)
{
    struct driver *driver = ctx;

    sched_job_removed(driver->sched, job);
}

/* Workload. */

static double
draw_exponential(GRand *rand, double mean)
{
    return -mean * log(1.0 - g_rand_double(rand));
}

static uint32_t
draw_team(struct driver *driver)
{
    const struct site *site = driver->site;

    /* The large teams submit two thirds of the jobs. */
    if (g_rand_double(driver->workload_rand) < 0.67) {
        return (uint32_t)g_rand_int_range(driver->workload_rand, 0,
                                          (gint32)site->large_teams);
    }
    return (uint32_t)g_rand_int_range(
        driver->workload_rand, (gint32)site->large_teams, (gint32)site->teams);
}

static void
draw_size(struct driver *driver, struct change_submit *job)
{
    static const uint32_t cpus[] = {500, 1000, 1000, 2000, 4000};

    job->cpu_milli = cpus[g_rand_int_range(driver->workload_rand, 0, 5)] *
                     driver->site->size_factor;
    job->memory_mb = job->cpu_milli *
                     (uint32_t)g_rand_int_range(driver->workload_rand, 1, 4);
    if (g_rand_int_range(driver->workload_rand, 0,
                         (gint32)driver->site->accel_one_in) == 0) {
        job->accel = 1;
        job->cpu_milli = 4000;
        job->memory_mb = 16000;
    }
}

/* Returns the true run time. Declares one that is wrong by a factor of up to 5
 * either way.
 */
static uint64_t
draw_run_ms(struct driver *driver, struct change_submit *job, double mean_ms)
{
    double run_ms = draw_exponential(driver->workload_rand, mean_ms) + 200;
    double error_factor =
        exp(g_rand_double_range(driver->workload_rand, -1.6, 1.6));

    job->run_ms = (uint32_t)(run_ms * error_factor);
    return (uint64_t)run_ms;
}

static const char *const QUEUE_NAMES[WORK_KIND_COUNT] = {"service", "batch",
                                                         "gang", "urgent"};

static void
submit_job(struct driver *driver, enum work_kind kind, uint32_t team,
           uint32_t count, double mean_ms)
{
    struct change_submit job = {.count = count};
    uint64_t run_ms;
    uint64_t id = 0;

    g_strlcpy(job.queue, QUEUE_NAMES[kind], sizeof(job.queue));
    snprintf(job.team, sizeof(job.team), "team%02u", team);
    draw_size(driver, &job);
    run_ms = draw_run_ms(driver, &job, mean_ms);
    if (apply_change(driver, &CHANGE_SUBMIT_SCHEMA, &job, &id) != FP_OK) {
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        uint64_t task_id = id * TASK_IDS_PER_JOB + i;
        uint64_t task_run_ms =
            kind == WORK_GANG
                ? run_ms
                : (uint64_t)(run_ms * g_rand_double_range(
                                          driver->workload_rand, 0.5, 1.5));

        g_hash_table_insert(driver->remaining_ms,
                            g_memdup2(&task_id, sizeof(task_id)),
                            g_memdup2(&task_run_ms, sizeof(task_run_ms)));
        g_hash_table_insert(driver->total_run_ms,
                            g_memdup2(&task_id, sizeof(task_id)),
                            g_memdup2(&task_run_ms, sizeof(task_run_ms)));
    }
}

/* Returns the factor on the arrival rate. The load is above capacity in the
 * second third of the run, since shares matter only when the cell is full.
 */
static double
load_factor(const struct driver *driver)
{
    double progress = (double)driver->now_ms / (double)driver->end_ms;

    if (progress < 0.33) {
        return 0.7;
    }
    return progress < 0.66 ? 1.6 : 0.5;
}

static void
on_arrival(struct driver *driver)
{
    const struct site *site = driver->site;
    double starts_per_ms =
        site->starts_per_second * load_factor(driver) / 1000.0;
    uint32_t team = draw_team(driver);
    double draw = g_rand_double(driver->workload_rand);
    uint32_t count = 1;
    enum work_kind kind = WORK_BATCH;
    double mean_ms = site->batch_mean_ms;

    if (draw < 0.02) {
        kind = WORK_GANG;
        count = (uint32_t)g_rand_int_range(driver->workload_rand, 2,
                                           (gint32)site->gang_size_limit);
    }
    else if (draw < 0.08) {
        kind = WORK_URGENT;
        mean_ms = site->batch_mean_ms / 4;
    }
    else {
        count = (uint32_t)g_rand_int_range(driver->workload_rand, 1, 8);
    }
    submit_job(driver, kind, team, count, mean_ms);
    if (driver->now_ms < driver->end_ms) {
        add_event(driver, EVENT_ARRIVAL,
                  driver->now_ms +
                      (uint64_t)draw_exponential(driver->workload_rand,
                                                 count / starts_per_ms));
    }
}

/* Adds the time from submission to end less the task's run time: the time that
 * it was queued or stopped, or spent in attempts that failed.
 */
static void
add_wait_sample(struct driver *driver, const struct task *task)
{
    const struct change_submit *rec = &task->job->rec;
    const uint64_t *run_ms =
        g_hash_table_lookup(driver->total_run_ms, &task->id);
    uint64_t elapsed_ms = decide_wall_ms(driver) - rec->submitted_ms;

    decide_add_sample(&driver->wait_ms[rec->kind],
                      elapsed_ms > *run_ms ? (double)(elapsed_ms - *run_ms)
                                           : 0.0);
}

/* With failing_host set, host00001 fails every task except services. */
static bool
must_fail(const struct driver *driver, const struct task *task)
{
    return driver->failing_host &&
           strcmp(task->target->rec.name, "host00001") == 0 &&
           task->job->rec.kind != WORK_SERVICE;
}

static void
on_placement_committed(struct driver *driver, struct event *event)
{
    struct change_place *place = event->placement;
    const struct place_item *items = place->items.items;

    if (apply_change(driver, &CHANGE_PLACE_SCHEMA, place, NULL) != FP_OK) {
        sched_placement_failed(driver->sched, items, place->items.count);
    }
    else {
        for (uint32_t i = 0; i < place->items.count; i++) {
            struct task *task = cell_task(driver->cell, items[i].task_id);
            const uint64_t *remaining_ms =
                g_hash_table_lookup(driver->remaining_ms, &items[i].task_id);

            driver->started++;
            if (must_fail(driver, task)) {
                schedule_end(driver, task, 50, END_FAILED);
            }
            else if (task->job->rec.kind != WORK_SERVICE) {
                schedule_end(driver, task, *remaining_ms, END_DONE);
            }
        }
    }
    fp_record_free(&CHANGE_PLACE_SCHEMA, place);
    g_free(place);
}

static void
end_attempt(struct driver *driver, const struct event *event)
{
    struct change_end end = {{{0}, 0}, {NULL, 0}};
    struct end_item *item;
    const struct task *task = cell_task(driver->cell, event->task_id);
    uint64_t *remaining_ms =
        g_hash_table_lookup(driver->remaining_ms, &event->task_id);

    if (task == NULL || task->state != TASK_RUNNING ||
        task->attempt != event->attempt) {
        return;
    }
    if (event->outcome == END_STOPPED) {
        uint64_t ran_ms = decide_wall_ms(driver) - task->started_ms;

        /* The next attempt resumes from the checkpoint. */
        *remaining_ms = *remaining_ms > ran_ms ? *remaining_ms - ran_ms : 1;
    }
    item = fp_list_add(&end.items, sizeof(*item));
    item->task_id = event->task_id;
    item->attempt = event->attempt;
    item->outcome = event->outcome;
    if (event->outcome == END_FAILED) {
        item->retry_at_ms =
            sched_retry_at(driver->sched, task, decide_wall_ms(driver));
    }
    if (event->outcome == END_DONE) {
        driver->ended++;
        add_wait_sample(driver, task);
    }
    apply_change(driver, &CHANGE_END_SCHEMA, &end, NULL);
    fp_record_free(&CHANGE_END_SCHEMA, &end);
}

/* Cancels jobs of one team until mass_cancel_tasks tasks are cancelled. */
static void
on_mass_cancel(struct driver *driver, uint32_t team)
{
    GList *jobs = g_hash_table_get_values(driver->cell->jobs);
    char name[NAME_BYTES];
    uint64_t cancelled;

    snprintf(name, sizeof(name), "team%02u", team);
    for (GList *link = jobs;
         link != NULL && driver->cancelled < driver->site->mass_cancel_tasks;
         link = link->next) {
        const struct job *job = link->data;
        struct change_cancel cancel = {.id = job->rec.id};

        if (strcmp(job->rec.team, name) == 0 &&
            job->rec.kind != WORK_SERVICE && job->unfinished_tasks > 0 &&
            apply_change(driver, &CHANGE_CANCEL_SCHEMA, &cancel, &cancelled) ==
                FP_OK) {
            driver->cancelled += cancelled;
        }
    }
    g_list_free(jobs);
}

/* Set-up and event loop. */

static void
add_hosts(struct driver *driver)
{
    uint32_t number = 0;

    for (int group = 0; group < 2; group++) {
        const struct host_group *hosts = &driver->site->hosts[group];

        for (uint32_t i = 0; i < hosts->count; i++) {
            struct change_target target = {.run_id = 1,
                                           .cpu_milli = hosts->cpu_milli,
                                           .memory_mb = hosts->memory_mb,
                                           .accel = hosts->accel};

            snprintf(target.name, sizeof(target.name), "host%05u", number);
            snprintf(target.data_centre, sizeof(target.data_centre), "dc%u",
                     number % 3);
            snprintf(target.rack, sizeof(target.rack), "r%d-%u", group,
                     i / hosts->hosts_per_rack);
            apply_change(driver, &CHANGE_TARGET_SCHEMA, &target, NULL);
            number++;
        }
    }
}

static void
add_config(struct driver *driver)
{
    for (uint32_t i = 0; i < driver->site->teams; i++) {
        struct change_team team = {.weight = i % 3 + 1,
                                   .max_waiting = 1000000};

        snprintf(team.name, sizeof(team.name), "team%02u", i);
        /* One team in five has an upper limit. */
        team.limit_running =
            i % 5 == 4 ? driver->site->service_tasks / 4 + 60 : 0;
        apply_change(driver, &CHANGE_TEAM_SCHEMA, &team, NULL);
    }
    for (uint32_t kind = 0; kind < WORK_KIND_COUNT; kind++) {
        struct change_queue queue = {.kind = kind};

        g_strlcpy(queue.name, QUEUE_NAMES[kind], sizeof(queue.name));
        apply_change(driver, &CHANGE_QUEUE_SCHEMA, &queue, NULL);
    }
}

static void
add_services(struct driver *driver)
{
    for (uint32_t i = 0; i < driver->site->service_tasks; i += 4) {
        submit_job(driver, WORK_SERVICE, i / 4 % driver->site->teams, 4, 1e12);
    }
}

static void
run_scheduler(struct driver *driver)
{
    uint32_t proposed = 1;

    while (proposed > 0) {
        uint64_t start_us = clock_mono_us();
        uint64_t duration_us;

        proposed = sched_run(driver->sched, driver->now_ms,
                             decide_wall_ms(driver), 1);
        duration_us = clock_mono_us() - start_us;
        driver->sched_us += duration_us;
        if (proposed > 0) {
            decide_add_sample(&driver->decision_us, (double)duration_us);
        }
    }
}

static void
handle_event(struct driver *driver, struct event *event)
{
    switch (event->type) {
    case EVENT_ARRIVAL:
        on_arrival(driver);
        break;
    case EVENT_PLACEMENT_COMMITTED:
        on_placement_committed(driver, event);
        break;
    case EVENT_ATTEMPT_END:
        end_attempt(driver, event);
        break;
    case EVENT_MASS_CANCEL:
        on_mass_cancel(driver, event->team);
        break;
    }
}

static void
run_until(struct driver *driver, uint64_t end_ms)
{
    uint64_t next_sample_ms = driver->now_ms + SAMPLE_INTERVAL_MS;

    while (driver->now_ms < end_ms) {
        GSequenceIter *iter = g_sequence_get_begin_iter(driver->events);

        driver->now_ms += TICK_MS;
        while (!g_sequence_iter_is_end(iter)) {
            struct event *event = g_sequence_get(iter);

            if (event->at_ms > driver->now_ms) {
                break;
            }
            g_sequence_remove(iter);
            handle_event(driver, event);
            g_free(event);
            iter = g_sequence_get_begin_iter(driver->events);
        }
        run_scheduler(driver);
        if (driver->now_ms >= next_sample_ms) {
            next_sample_ms += SAMPLE_INTERVAL_MS;
            decide_sample_packing(driver);
            decide_sample_shares(driver);
        }
    }
}

static void
free_event(gpointer item, gpointer ctx)
{
    struct event *event = item;

    (void)ctx;
    if (event->placement != NULL) {
        fp_record_free(&CHANGE_PLACE_SCHEMA, event->placement);
        g_free(event->placement);
    }
    g_free(event);
}

static void
free_samples(struct driver *driver)
{
    struct series *const series[] = {
        &driver->wait_ms[0],     &driver->wait_ms[1],
        &driver->wait_ms[2],     &driver->wait_ms[3],
        &driver->utilization[0], &driver->utilization[1],
        &driver->utilization[2], &driver->gang_fit,
        &driver->decision_us};

    for (size_t i = 0; i < sizeof(series) / sizeof(series[0]); i++) {
        if (series[i]->values != NULL) {
            g_array_free(series[i]->values, TRUE);
        }
    }
    g_array_free(driver->share_error, TRUE);
}

static json_t *
run_simulation(const struct site *site, const struct sched_policy *policy,
               uint32_t seed, uint32_t seconds, bool failing_host)
{
    struct driver *driver = g_new0(struct driver, 1);
    const struct cell_ops cell_ops = {on_task_changed,   on_attempt_ended,
                                      on_target_changed, on_config_changed,
                                      on_job_removed,    driver};
    const struct sched_ops ops = {on_propose, on_orders_changed, driver};
    json_t *result;
    double zero = 0;

    driver->site = site;
    driver->policy = policy;
    driver->failing_host = failing_host;
    driver->end_ms = (uint64_t)seconds * 1000;
    driver->workload_rand = g_rand_new_with_seed(seed);
    driver->events = g_sequence_new(NULL);
    driver->remaining_ms =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    driver->total_run_ms =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    driver->share_error = g_array_new(FALSE, TRUE, sizeof(double));
    for (uint32_t i = 0; i < site->teams; i++) {
        g_array_append_val(driver->share_error, zero);
    }
    driver->cell = cell_new(&cell_ops);
    add_hosts(driver);
    add_config(driver);
    driver->sched = sched_new(driver->cell, policy, &ops, 0, WALL_START_MS);
    add_services(driver);
    add_event(driver, EVENT_ARRIVAL, 1);
    add_event(driver, EVENT_MASS_CANCEL, driver->end_ms / 2)->team = 0;
    run_until(driver, driver->end_ms);
    decide_add_unfinished_waits(driver);
    result = decide_report(driver, seed);
    sched_free(driver->sched);
    cell_free(driver->cell);
    g_rand_free(driver->workload_rand);
    g_sequence_foreach(driver->events, free_event, NULL);
    g_sequence_free(driver->events);
    g_hash_table_destroy(driver->remaining_ms);
    g_hash_table_destroy(driver->total_run_ms);
    free_samples(driver);
    g_free(driver);
    return result;
}

struct decide_options {
    uint32_t seed;
    uint32_t seconds;
    char site[32];
    char policy[32];
    bool no_faults;
};

enum { KEY_SEED = 1024, KEY_SECONDS, KEY_SITE, KEY_POLICY, KEY_NO_FAULTS };

static const struct argp_option OPTIONS[] = {
    {"seed", KEY_SEED, "N", 0, "seed of the workload (default: 1)", 2},
    {"seconds", KEY_SECONDS, "N", 0,
     "virtual seconds to simulate (default: 300)", 2},
    {"site", KEY_SITE, "NAME", 0, "kapnos, vigilancia or fleet (default: all)",
     2},
    {"policy", KEY_POLICY, "NAME", 0,
     "filbertpath, fifo-first-fit or fifo-best-fit (default: all)", 2},
    {"no-faults", KEY_NO_FAULTS, NULL, 0,
     "run without the host that fails all its tasks", 2},
    {NULL, 0, NULL, 0, NULL, 0}};

static bool
parse_option(void *ctx, int key, const char *arg)
{
    struct decide_options *options = ctx;
    uint64_t value;

    if (key == KEY_SITE) {
        g_strlcpy(options->site, arg, sizeof(options->site));
        return true;
    }
    if (key == KEY_NO_FAULTS) {
        options->no_faults = true;
        return true;
    }
    if (key == KEY_POLICY) {
        g_strlcpy(options->policy, arg, sizeof(options->policy));
        return true;
    }
    if (!g_ascii_string_to_unsigned(arg, 10, 1, 1000000, &value, NULL)) {
        return false;
    }
    if (key == KEY_SEED) {
        options->seed = (uint32_t)value;
    }
    else {
        options->seconds = (uint32_t)value;
    }
    return true;
}

static bool
is_selected(const char *selected, const char *name)
{
    return selected[0] == '\0' || strcmp(selected, name) == 0;
}

int
bench_decide(struct cli *cli, int argc, char **argv)
{
    static const struct sched_policy *const policies[] = {
        &SCHED_POLICY, &SCHED_FIFO_FIRST_FIT, &SCHED_FIFO_BEST_FIT};
    struct decide_options options = {.seed = 1, .seconds = 300};
    struct cli_parser parser = {
        .cli = cli,
        .usage = "",
        .doc = "Simulates the scheduler in virtual time and measures waiting "
               "times, packing, fair shares, limits and CPU time, for the "
               "current policy and the baselines on the same workload.",
        .extra_options = OPTIONS,
        .on_extra_option = parse_option,
        .ctx = &options};
    json_t *results = json_array();

    cli_parse(&parser, argc, argv);
    for (size_t i = 0; i < sizeof(SITES) / sizeof(SITES[0]); i++) {
        for (size_t j = 0; j < sizeof(policies) / sizeof(policies[0]); j++) {
            if (is_selected(options.site, SITES[i].name) &&
                is_selected(options.policy, policies[j]->name)) {
                json_array_append_new(
                    results,
                    run_simulation(&SITES[i], policies[j], options.seed,
                                   options.seconds, !options.no_faults));
            }
        }
    }
    if (cli->json) {
        cli_print(cli, results);
    }
    else {
        decide_print_table(results);
    }
    json_decref(results);
    return 0;
}
