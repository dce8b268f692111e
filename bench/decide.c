/* decide.c -- "bench decide": the decision module in virtual time
 *
 * One driver feeds seeded arrivals, ends, failures and cancellations to the
 * cell and the scheduler; nothing else is imitated. Placements are applied a
 * commit time after they were proposed, as behind a log. The same seed gives
 * every policy the same work.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "bench/bench.h"
#include "core/sched.h"
#include "node/clock.h"

#define COMMIT_MS 3u    /* from a proposal to its application */
#define TICK_MS 10u     /* decisions are looked for this often */
#define STOP_MS 400u    /* a target's time for a checkpoint */
#define SAMPLE_MS 1000u /* how often packing and shares are sampled */
#define WALL_START 1800000000000ull
#define KINDS 4

enum event_type { EVENT_ARRIVAL, EVENT_PLACED, EVENT_END, EVENT_WAVE };

struct event {
    uint64_t at_ms;
    uint64_t number; /* ties go in order of making */
    enum event_type type;
    uint64_t task_id;
    uint32_t attempt;
    enum end_outcome outcome;
    struct change_place *placed;
    uint32_t team;
};

/* One kind of host of a site. */
struct host_kind {
    uint32_t count;
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accel;
    uint32_t rack; /* hosts a rack */
};

struct site {
    const char *name;
    struct host_kind hosts[2];
    uint32_t teams;
    uint32_t large_teams;   /* they make most of the work */
    double starts_a_second; /* of tasks, on average */
    double batch_ms;        /* mean run time of a batch task */
    uint32_t scale;         /* factor on the sizes of tasks */
    uint32_t services;      /* long-lived tasks at the start */
    uint32_t accel_part;    /* one task in this many needs an accelerator */
    uint32_t gang_most;     /* largest gang */
    uint32_t wave;          /* tasks that are cancelled at once */
};

/* The two sites of today, and the fleet of two years on. */
static const struct site SITES[] = {
    {.name = "kapnos",
     .hosts = {{35, 32000, 64000, 0, 5}, {13, 128000, 512000, 8, 3}},
     .teams = 6,
     .large_teams = 2,
     .starts_a_second = 45,
     .batch_ms = 40000,
     .scale = 1,
     .services = 120,
     .accel_part = 20,
     .gang_most = 24,
     .wave = 500},
    {.name = "vigilancia",
     .hosts = {{35, 32000, 128000, 0, 5}, {13, 64000, 128000, 8, 3}},
     .teams = 6,
     .large_teams = 2,
     .starts_a_second = 32,
     .batch_ms = 40000,
     .scale = 1,
     .services = 120,
     .accel_part = 14,
     .gang_most = 16,
     .wave = 500},
    {.name = "fleet",
     .hosts = {{1600, 32000, 64000, 0, 20}, {400, 128000, 512000, 8, 8}},
     .teams = 60,
     .large_teams = 8,
     .starts_a_second = 294, /* 470 at the peak */
     .batch_ms = 22000,
     .scale = 6,
     .services = 2600,
     .accel_part = 4,
     .gang_most = 64,
     .wave = 5000},
};

/* Samples of one figure. */
struct series {
    GArray *values; /* double */
};

struct driver {
    const struct site *site;
    const struct sched_policy *policy;
    struct cell *cell;
    struct sched *sched;
    GRand *arrivals; /* what comes, alike for every policy */
    GSequence *events;
    GHashTable *left_ms; /* task ID to run time left, after checkpoints */
    GHashTable *need_ms; /* task ID to its whole run time */
    uint64_t next_event;
    uint64_t now_ms;
    uint64_t end_ms;
    uint64_t index;
    struct series wait[KINDS];
    struct series decision_us;
    struct series used[3];  /* cpu, memory, accel: part of all */
    struct series gang_fit; /* largest gang of 4 cpu and 1 accel tasks */
    GArray *share_error;    /* double, sum for each team */
    uint32_t share_samples;
    double worst_share;
    uint64_t breaches;
    uint64_t overcommits;
    uint64_t started;
    uint64_t ended;
    uint64_t cancelled;
    uint64_t sched_us;
    bool failing_host; /* one host fails all it starts */
};

static void
add_value(struct series *series, double value)
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

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer ctx)
{
    const struct event *x = a;
    const struct event *y = b;

    (void)ctx;
    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return x->number < y->number ? -1 : x->number > y->number;
}

static struct event *
add_event(struct driver *driver, enum event_type type, uint64_t at_ms)
{
    struct event *event = g_new0(struct event, 1);

    event->type = type;
    event->at_ms = at_ms;
    event->number = driver->next_event++;
    g_sequence_insert_sorted(driver->events, event, compare_events, NULL);
    return event;
}

static uint64_t
wall_ms(const struct driver *driver)
{
    return WALL_START + driver->now_ms;
}

static enum fp_err
apply(struct driver *driver, const struct fp_schema *schema, void *change,
      uint64_t *id)
{
    struct change_head *head = change;
    struct change_answer answer;
    struct fp_blob blob;
    enum fp_err err;

    head->at_ms = wall_ms(driver);
    fp_encode(schema, change, &blob);
    cell_apply(driver->cell, ++driver->index, blob.data, blob.size_bytes,
               &answer);
    err = answer.err;
    if (id != NULL) {
        *id = answer.id;
    }
    fp_record_free(&CHANGE_ANSWER_SCHEMA, &answer);
    fp_blob_free(&blob);
    return err;
}

/* Effects of the scheduler. */

static void
on_place(void *ctx, const struct place_item *items, uint32_t count)
{
    struct driver *driver = ctx;
    struct event *event =
        add_event(driver, EVENT_PLACED, driver->now_ms + COMMIT_MS);

    event->placed = g_new0(struct change_place, 1);
    event->placed->items.items = g_memdup2(items, count * sizeof(items[0]));
    event->placed->items.count = count;
}

static void
end_later(struct driver *driver, const struct task *task, uint64_t in_ms,
          enum end_outcome outcome)
{
    struct event *event = add_event(driver, EVENT_END, driver->now_ms + in_ms);

    event->task_id = task->id;
    event->attempt = task->attempt;
    event->outcome = outcome;
}

/* Orders reach the target at once; what yields ends a checkpoint later. A
 * doubled end is stale and does nothing.
 */
static void
on_wake(void *ctx, struct target *target)
{
    struct driver *driver = ctx;

    if (driver->sched == NULL) {
        return;
    }
    for (struct task *task = target->first; task != NULL;
         task = task->next_here) {
        enum sched_order order = sched_order(driver->sched, task);

        if (order == SCHED_CHECKPOINT || order == SCHED_STOP) {
            end_later(driver, task, STOP_MS, END_STOPPED);
        }
    }
}

static void
on_task_changed(void *ctx, struct task *task, enum task_state was)
{
    struct driver *driver = ctx;

    if (driver->sched != NULL) {
        sched_task_changed(driver->sched, task, was);
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

/* The work. */

static double
exponential(GRand *rand, double mean_value)
{
    return -mean_value * log(1.0 - g_rand_double(rand));
}

static uint32_t
draw_team(struct driver *driver)
{
    const struct site *site = driver->site;

    /* Large teams make two thirds of the work. */
    if (g_rand_double(driver->arrivals) < 0.67) {
        return (uint32_t)g_rand_int_range(driver->arrivals, 0,
                                          (gint32)site->large_teams);
    }
    return (uint32_t)g_rand_int_range(
        driver->arrivals, (gint32)site->large_teams, (gint32)site->teams);
}

static void
fill_size(struct driver *driver, struct change_submit *job)
{
    static const uint32_t cpus[] = {500, 1000, 1000, 2000, 4000};

    job->cpu_milli =
        cpus[g_rand_int_range(driver->arrivals, 0, 5)] * driver->site->scale;
    job->memory_mb =
        job->cpu_milli * (uint32_t)g_rand_int_range(driver->arrivals, 1, 4);
    if (g_rand_int_range(driver->arrivals, 0,
                         (gint32)driver->site->accel_part) == 0) {
        job->accel = 1;
        job->cpu_milli = 4000;
        job->memory_mb = 16000;
    }
}

/* The true run time, and a declared one that is far off. */
static uint64_t
draw_run_ms(struct driver *driver, struct change_submit *job, double mean_ms)
{
    double run_ms = exponential(driver->arrivals, mean_ms) + 200;
    double off = exp(g_rand_double_range(driver->arrivals, -1.6, 1.6));

    job->run_ms = (uint32_t)(run_ms * off);
    return (uint64_t)run_ms;
}

static const char *const QUEUES[KINDS] = {"service", "batch", "gang",
                                          "urgent"};

static void
submit(struct driver *driver, enum work_kind kind, uint32_t team,
       uint32_t count, double mean_ms)
{
    struct change_submit job = {.count = count};
    uint64_t run_ms;
    uint64_t id = 0;

    g_strlcpy(job.queue, QUEUES[kind], sizeof(job.queue));
    snprintf(job.team, sizeof(job.team), "team%02u", team);
    fill_size(driver, &job);
    run_ms = draw_run_ms(driver, &job, mean_ms);
    if (apply(driver, &CHANGE_SUBMIT_SCHEMA, &job, &id) != FP_OK) {
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        uint64_t task_id = id * TASK_ID_PER_JOB + i;
        uint64_t left =
            kind == WORK_GANG
                ? run_ms
                : (uint64_t)(run_ms *
                             g_rand_double_range(driver->arrivals, 0.5, 1.5));

        g_hash_table_insert(driver->left_ms,
                            g_memdup2(&task_id, sizeof(task_id)),
                            g_memdup2(&left, sizeof(left)));
        g_hash_table_insert(driver->need_ms,
                            g_memdup2(&task_id, sizeof(task_id)),
                            g_memdup2(&left, sizeof(left)));
    }
}

/* Load rises over the first third, is above capacity in the second, and falls
 * in the last: shares matter when the cell is full.
 */
static double
load_now(const struct driver *driver)
{
    double part = (double)driver->now_ms / (double)driver->end_ms;

    if (part < 0.33) {
        return 0.7;
    }
    return part < 0.66 ? 1.6 : 0.5;
}

static void
on_arrival(struct driver *driver)
{
    const struct site *site = driver->site;
    double rate = site->starts_a_second * load_now(driver) / 1000.0;
    uint32_t team = draw_team(driver);
    double draw = g_rand_double(driver->arrivals);
    uint32_t count = 1;
    enum work_kind kind = WORK_BATCH;
    double mean_ms = site->batch_ms;

    if (draw < 0.02) {
        kind = WORK_GANG;
        count = (uint32_t)g_rand_int_range(driver->arrivals, 2,
                                           (gint32)site->gang_most);
    }
    else if (draw < 0.08) {
        kind = WORK_URGENT;
        mean_ms = site->batch_ms / 4;
    }
    else {
        count = (uint32_t)g_rand_int_range(driver->arrivals, 1, 8);
    }
    submit(driver, kind, team, count, mean_ms);
    if (driver->now_ms < driver->end_ms) {
        add_event(driver, EVENT_ARRIVAL,
                  driver->now_ms +
                      (uint64_t)exponential(driver->arrivals, count / rate));
    }
}

/* All the time between submission and end in which it did not do work that
 * counted: in line, stopped, or in an attempt that failed.
 */
static void
count_end(struct driver *driver, const struct task *task)
{
    const struct change_submit *rec = &task->job->rec;
    const uint64_t *need = g_hash_table_lookup(driver->need_ms, &task->id);
    uint64_t spent = wall_ms(driver) - rec->submitted_ms;

    add_value(&driver->wait[rec->kind],
              spent > *need ? (double)(spent - *need) : 0.0);
}

/* The first host of the second kind fails whatever it starts. */
static bool
fails_here(const struct driver *driver, const struct task *task)
{
    return driver->failing_host &&
           strcmp(task->target->rec.name, "host00001") == 0 &&
           task->job->rec.kind != WORK_SERVICE;
}

static void
on_placed(struct driver *driver, struct event *event)
{
    struct change_place *place = event->placed;
    const struct place_item *items = place->items.items;

    if (apply(driver, &CHANGE_PLACE_SCHEMA, place, NULL) != FP_OK) {
        sched_place_failed(driver->sched, items, place->items.count);
    }
    else {
        for (uint32_t i = 0; i < place->items.count; i++) {
            struct task *task = cell_task(driver->cell, items[i].task_id);
            const uint64_t *left =
                g_hash_table_lookup(driver->left_ms, &items[i].task_id);

            driver->started++;
            if (fails_here(driver, task)) {
                end_later(driver, task, 50, END_FAILED);
            }
            else if (task->job->rec.kind != WORK_SERVICE) {
                end_later(driver, task, *left, END_DONE);
            }
        }
    }
    fp_record_free(&CHANGE_PLACE_SCHEMA, place);
    g_free(place);
}

static void
on_end(struct driver *driver, const struct event *event)
{
    struct change_end end = {{{0}, 0}, {NULL, 0}};
    struct end_item *item;
    const struct task *task = cell_task(driver->cell, event->task_id);
    uint64_t *left = g_hash_table_lookup(driver->left_ms, &event->task_id);

    if (task == NULL || task->state != TASK_RUNNING ||
        task->attempt != event->attempt) {
        return;
    }
    if (event->outcome == END_STOPPED) {
        uint64_t ran = wall_ms(driver) - task->started_ms;

        *left = *left > ran ? *left - ran : 1; /* it was checkpointed */
    }
    item = fp_list_add(&end.items, sizeof(*item));
    item->task_id = event->task_id;
    item->attempt = event->attempt;
    item->outcome = event->outcome;
    if (event->outcome == END_FAILED) {
        item->retry_at_ms =
            sched_retry_at(driver->sched, task, wall_ms(driver));
    }
    if (event->outcome == END_DONE) {
        driver->ended++;
        count_end(driver, task);
    }
    apply(driver, &CHANGE_END_SCHEMA, &end, NULL);
    fp_record_free(&CHANGE_END_SCHEMA, &end);
}

/* Many waiting and running tasks of one team are cancelled at once. */
static void
on_wave(struct driver *driver, uint32_t team)
{
    GList *jobs = g_hash_table_get_values(driver->cell->jobs);
    char name[NAME_BYTES];
    uint64_t id;

    snprintf(name, sizeof(name), "team%02u", team);
    for (GList *at = jobs;
         at != NULL && driver->cancelled < driver->site->wave; at = at->next) {
        const struct job *job = at->data;
        struct change_cancel cancel = {.id = job->rec.id};

        if (strcmp(job->rec.team, name) == 0 &&
            job->rec.kind != WORK_SERVICE && job->open > 0 &&
            apply(driver, &CHANGE_CANCEL_SCHEMA, &cancel, &id) == FP_OK) {
            driver->cancelled += id;
        }
    }
    g_list_free(jobs);
}

/* Samples. */

static void
sample_packing(struct driver *driver)
{
    GHashTableIter iter;
    struct target *target;
    double used[3] = {0, 0, 0};
    double size[3] = {0, 0, 0};
    double fit = 0;

    g_hash_table_iter_init(&iter, driver->cell->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        const struct change_target *rec = &target->rec;

        used[0] += (double)target->use.cpu_milli;
        used[1] += (double)target->use.memory_mb;
        used[2] += (double)target->use.accel;
        size[0] += rec->cpu_milli;
        size[1] += rec->memory_mb;
        size[2] += rec->accel;
        fit += (double)MIN((rec->cpu_milli - target->use.cpu_milli) / 4000,
                           rec->accel - target->use.accel);
        if (target->use.cpu_milli > rec->cpu_milli ||
            target->use.memory_mb > rec->memory_mb ||
            target->use.accel > rec->accel) {
            driver->overcommits++;
        }
    }
    for (int i = 0; i < 3; i++) {
        add_value(&driver->used[i], used[i] / size[i]);
    }
    add_value(&driver->gang_fit, fit);
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
            const struct use *total)
{
    GHashTableIter iter;
    struct job *job;

    g_hash_table_iter_init(&iter, driver->cell->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        struct demand *demand;
        double each;

        /* A team at its upper limit can use no more. */
        if (job->open == 0 || !cell_within_limit(job->team, &job->rec, 1)) {
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

static void
sample_shares(struct driver *driver)
{
    uint32_t count = driver->site->teams;
    struct demand *demands = g_new0(struct demand, count);
    struct use total = {0, 0, 0, 0};
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
            MAX((double)team->use.cpu_milli / (double)total.cpu_milli,
                MAX((double)team->use.memory_mb / (double)total.memory_mb,
                    (double)team->use.accel / (double)total.accel));
        demand->wants = demand->has;
        demand->weight = team->conf.weight;
        if (team->conf.limit_running != 0 &&
            team->use.running > team->conf.limit_running) {
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

/* Set-up and the loop. */

static void
add_hosts(struct driver *driver)
{
    uint32_t number = 0;

    for (int kind = 0; kind < 2; kind++) {
        const struct host_kind *hosts = &driver->site->hosts[kind];

        for (uint32_t i = 0; i < hosts->count; i++) {
            struct change_target target = {.run_id = 1,
                                           .cpu_milli = hosts->cpu_milli,
                                           .memory_mb = hosts->memory_mb,
                                           .accel = hosts->accel};

            snprintf(target.name, sizeof(target.name), "host%05u", number);
            snprintf(target.data_centre, sizeof(target.data_centre), "dc%u",
                     number % 3);
            snprintf(target.rack, sizeof(target.rack), "r%d-%u", kind,
                     i / hosts->rack);
            apply(driver, &CHANGE_TARGET_SCHEMA, &target, NULL);
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
        team.limit_running = i % 5 == 4 ? driver->site->services / 4 + 60 : 0;
        apply(driver, &CHANGE_TEAM_SCHEMA, &team, NULL);
    }
    for (uint32_t kind = 0; kind < KINDS; kind++) {
        struct change_queue queue = {.kind = kind};

        g_strlcpy(queue.name, QUEUES[kind], sizeof(queue.name));
        apply(driver, &CHANGE_QUEUE_SCHEMA, &queue, NULL);
    }
}

static void
add_services(struct driver *driver)
{
    for (uint32_t i = 0; i < driver->site->services; i += 4) {
        submit(driver, WORK_SERVICE, i / 4 % driver->site->teams, 4, 1e12);
    }
}

static void
decide(struct driver *driver)
{
    uint32_t taken = 1;

    while (taken > 0) {
        uint64_t began_us = clock_mono_us();
        uint64_t took_us;

        taken = sched_run(driver->sched, driver->now_ms, wall_ms(driver), 1);
        took_us = clock_mono_us() - began_us;
        driver->sched_us += took_us;
        if (taken > 0) {
            add_value(&driver->decision_us, (double)took_us);
        }
    }
}

static void
handle(struct driver *driver, struct event *event)
{
    switch (event->type) {
    case EVENT_ARRIVAL:
        on_arrival(driver);
        break;
    case EVENT_PLACED:
        on_placed(driver, event);
        break;
    case EVENT_END:
        on_end(driver, event);
        break;
    case EVENT_WAVE:
        on_wave(driver, event->team);
        break;
    }
}

static void
run_until(struct driver *driver, uint64_t end_ms)
{
    uint64_t sample_ms = driver->now_ms + SAMPLE_MS;

    while (driver->now_ms < end_ms) {
        GSequenceIter *iter = g_sequence_get_begin_iter(driver->events);

        driver->now_ms += TICK_MS;
        while (!g_sequence_iter_is_end(iter)) {
            struct event *event = g_sequence_get(iter);

            if (event->at_ms > driver->now_ms) {
                break;
            }
            g_sequence_remove(iter);
            handle(driver, event);
            g_free(event);
            iter = g_sequence_get_begin_iter(driver->events);
        }
        decide(driver);
        if (driver->now_ms >= sample_ms) {
            sample_ms += SAMPLE_MS;
            sample_packing(driver);
            sample_shares(driver);
        }
    }
}

static void
count_open(struct driver *driver)
{
    GHashTableIter iter;
    struct job *job;

    g_hash_table_iter_init(&iter, driver->cell->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        for (uint32_t i = 0; i < job->rec.count; i++) {
            const struct task *task = &job->tasks[i];

            /* A task that failed was not served either. */
            if (task->state == TASK_WAITING || task->state == TASK_FAILED) {
                add_value(&driver->wait[job->rec.kind],
                          (double)(wall_ms(driver) - job->rec.submitted_ms));
            }
            else if (task->state == TASK_RUNNING) {
                add_value(&driver->wait[job->rec.kind],
                          (double)(task->started_ms - job->rec.submitted_ms));
            }
        }
    }
}

static json_t *
report(struct driver *driver, uint32_t seed)
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

static void
free_event(gpointer item, gpointer ctx)
{
    struct event *event = item;

    (void)ctx;
    if (event->placed != NULL) {
        fp_record_free(&CHANGE_PLACE_SCHEMA, event->placed);
        g_free(event->placed);
    }
    g_free(event);
}

static void
free_series(struct driver *driver)
{
    struct series *const all[] = {
        &driver->wait[0], &driver->wait[1],  &driver->wait[2],
        &driver->wait[3], &driver->used[0],  &driver->used[1],
        &driver->used[2], &driver->gang_fit, &driver->decision_us};

    for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
        if (all[i]->values != NULL) {
            g_array_free(all[i]->values, TRUE);
        }
    }
    g_array_free(driver->share_error, TRUE);
}

static json_t *
run_one(const struct site *site, const struct sched_policy *policy,
        uint32_t seed, uint32_t seconds, bool failing_host)
{
    struct driver *driver = g_new0(struct driver, 1);
    const struct cell_ops cell_ops = {on_task_changed,   on_attempt_ended,
                                      on_target_changed, on_config_changed,
                                      on_job_removed,    driver};
    const struct sched_ops ops = {on_place, on_wake, driver};
    json_t *result;
    double zero = 0;

    driver->site = site;
    driver->policy = policy;
    driver->failing_host = failing_host;
    driver->end_ms = (uint64_t)seconds * 1000;
    driver->arrivals = g_rand_new_with_seed(seed);
    driver->events = g_sequence_new(NULL);
    driver->left_ms =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    driver->need_ms =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    driver->share_error = g_array_new(FALSE, TRUE, sizeof(double));
    for (uint32_t i = 0; i < site->teams; i++) {
        g_array_append_val(driver->share_error, zero);
    }
    driver->cell = cell_new(&cell_ops);
    add_hosts(driver);
    add_config(driver);
    driver->sched = sched_new(driver->cell, policy, &ops, 0, WALL_START);
    add_services(driver);
    add_event(driver, EVENT_ARRIVAL, 1);
    add_event(driver, EVENT_WAVE, driver->end_ms / 2)->team = 0;
    run_until(driver, driver->end_ms);
    count_open(driver);
    result = report(driver, seed);
    sched_free(driver->sched);
    cell_free(driver->cell);
    g_rand_free(driver->arrivals);
    g_sequence_foreach(driver->events, free_event, NULL);
    g_sequence_free(driver->events);
    g_hash_table_destroy(driver->left_ms);
    g_hash_table_destroy(driver->need_ms);
    free_series(driver);
    g_free(driver);
    return result;
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

static void
print_table(const json_t *results)
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

struct decide_options {
    uint32_t seed;
    uint32_t seconds;
    char site[32];
    char policy[32];
    bool no_faults;
};

enum { KEY_SEED = 1024, KEY_SECONDS, KEY_SITE, KEY_POLICY, KEY_NO_FAULTS };

static const struct argp_option MORE[] = {
    {"seed", KEY_SEED, "N", 0, "seed of the work (1)", 2},
    {"seconds", KEY_SECONDS, "N", 0, "virtual seconds (300)", 2},
    {"site", KEY_SITE, "NAME", 0, "kapnos, vigilancia or fleet (all)", 2},
    {"policy", KEY_POLICY, "NAME", 0,
     "filbertpath, fifo-first-fit or fifo-best-fit (all)", 2},
    {"no-faults", KEY_NO_FAULTS, NULL, 0,
     "leave out the host that fails all it starts", 2},
    {NULL, 0, NULL, 0, NULL, 0}};

static bool
take_more(void *ctx, int key, const char *arg)
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
is_chosen(const char *chosen, const char *name)
{
    return chosen[0] == '\0' || strcmp(chosen, name) == 0;
}

int
bench_decide(struct cli *cli, int argc, char **argv)
{
    static const struct sched_policy *const policies[] = {
        &SCHED_POLICY, &SCHED_FIFO_FIRST_FIT, &SCHED_FIFO_BEST_FIT};
    struct decide_options options = {.seed = 1, .seconds = 300};
    struct cli_parse parse = {
        .cli = cli,
        .usage = "",
        .doc = "Measures the decisions in virtual time: waiting, packing, "
               "shares, limits and processor time, for this policy and for "
               "the baselines, on the same seeded work.",
        .more = MORE,
        .take_more = take_more,
        .ctx = &options};
    json_t *results = json_array();

    cli_parse(&parse, argc, argv);
    for (size_t i = 0; i < sizeof(SITES) / sizeof(SITES[0]); i++) {
        for (size_t j = 0; j < sizeof(policies) / sizeof(policies[0]); j++) {
            if (is_chosen(options.site, SITES[i].name) &&
                is_chosen(options.policy, policies[j]->name)) {
                json_array_append_new(
                    results, run_one(&SITES[i], policies[j], options.seed,
                                     options.seconds, !options.no_faults));
            }
        }
    }
    if (cli->json) {
        cli_print(cli, results);
    }
    else {
        print_table(results);
    }
    json_decref(results);
    return 0;
}
