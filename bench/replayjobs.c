/* replayjobs.c -- generated jobs of a load, and the credit that they earn */
#include <math.h>
#include <string.h>

#include "bench/replay.h"

/* A job that ends after its objective, but within LATE_FACTOR times the
 * objective, earns LATE_CREDIT_PERMILLE of its queue's worth; later, nothing.
 */
#define LATE_FACTOR 3u
#define LATE_CREDIT_PERMILLE 200u
/* Targets in a policy query, as the time objective accounts for it. */
#define OBJECTIVE_QUERY_TARGETS 30u
#define MAX_DRAW_FACTOR 5.0 /* a draw is at most this times the mean */
/* Largest deviation of a run time from the mean of its job. */
#define RUN_DEVIATION_PERCENT 30u
/* A step that limits its tasks on one target allows
 * 1 + tasks / SPREAD_TARGETS of them, so one with many tasks needs about
 * SPREAD_TARGETS targets. */
#define SPREAD_TARGETS 8u
#define LASTING_MEAN_MS 45000u /* mean time until a client cancels */

uint32_t
replay_hash(uint32_t seed, uint64_t a, uint64_t b)
{
    /* splitmix64 */
    uint64_t x = seed * 0x9e3779b97f4a7c15u + a * 0xbf58476d1ce4e5b9u +
                 b * 0x94d049bb133111ebu;

    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return (uint32_t)((x ^ (x >> 31)) >> 32);
}

/* Draws from a lognormal distribution with this mean, but for the cut at
 * MAX_DRAW_FACTOR. A sum of 12 uniform draws approximates the normal one. */
static uint32_t
draw_lognormal(GRand *rand, uint32_t mean, uint32_t spread_percent)
{
    double sigma = spread_percent / 100.0;
    double sum = 0;
    double factor;

    for (int i = 0; i < 12; i++) {
        sum += g_rand_double(rand);
    }
    factor = exp((sum - 6) * sigma - sigma * sigma / 2);
    return (uint32_t)MAX(mean * MIN(factor, MAX_DRAW_FACTOR) + 0.5, 1);
}

/* Share of a team in the arrivals at this time. */
static uint32_t
team_share(const struct replay_load *load, const struct replay_team *team,
           uint64_t at_ms)
{
    uint32_t share = team->share;

    for (uint32_t i = 0; i < load->events_count; i++) {
        const struct replay_event *event = &load->events[i];

        if (event->kind == REPLAY_TEAM_BURST && at_ms >= event->at_ms &&
            at_ms < event->at_ms + event->for_ms &&
            (event->on == NULL || strcmp(event->on, team->name) == 0)) {
            share = share * event->factor_percent / 100;
        }
    }
    return share;
}

static uint32_t
sum_team_shares(const struct replay_load *load, uint64_t at_ms)
{
    uint32_t sum = 0;

    for (uint32_t i = 0; i < load->teams_count; i++) {
        sum += team_share(load, &load->teams[i], at_ms);
    }
    return sum;
}

static uint32_t
draw_team(const struct replay_load *load, GRand *rand, uint64_t at_ms)
{
    uint32_t total_share = sum_team_shares(load, at_ms);
    uint32_t position =
        (uint32_t)g_rand_int_range(rand, 0, (gint32)MAX(total_share, 1));

    for (uint32_t i = 0; i < load->teams_count; i++) {
        uint32_t share = team_share(load, &load->teams[i], at_ms);

        if (position < share) {
            return i;
        }
        position -= share;
    }
    return 0;
}

static void
add_step(struct sim_job *job, GRand *rand, uint32_t mean_run_ms,
         uint32_t accel)
{
    const struct replay_queue *queue = job->queue;
    struct fleet_step *step =
        fp_list_add(&job->submit.steps, sizeof(struct fleet_step));
    uint32_t step_index = job->submit.steps.count - 1;
    uint32_t error_percent = queue->estimate_off_percent;

    step->count = draw_lognormal(rand, queue->tasks, queue->spread_percent);
    step->cpu_milli =
        draw_lognormal(rand, queue->cpu_milli, queue->spread_percent / 2);
    step->memory_mb =
        draw_lognormal(rand, queue->memory_mb, queue->spread_percent / 2);
    if (queue->accel_count > 0) { /* accelerator tasks do not vary in size */
        step->cpu_milli = queue->cpu_milli;
        step->memory_mb = queue->memory_mb;
    }
    step->accel = accel;
    step->estimate_ms =
        (uint32_t)(mean_run_ms *
                   exp((g_rand_double(rand) * 2 - 1) * error_percent / 100.0));
    step->gang = queue->gang;
    step->duplicates =
        (uint32_t)g_rand_int_range(rand, 0, 1000) < queue->copies_permille;
    if ((uint32_t)g_rand_int_range(rand, 0, 1000) < queue->apart_permille) {
        step->spread = 1 + step->count / SPREAD_TARGETS;
    }
    step->lasting = queue->lasting;
    step->checkpoints = queue->checkpoints;
    if (step_index > 0) {
        ((struct fleet_dependency *)fp_list_add(
             &step->after, sizeof(struct fleet_dependency)))
            ->step = step_index - 1;
    }
}

/* Duration of a job on targets of speed 100 % without waiting for capacity.
 */
static uint64_t
ideal_duration_ms(const struct sim_job *job, uint32_t seed)
{
    const struct fleet_step *steps = job->submit.steps.items;
    uint64_t sum_ms = 0;

    for (uint32_t s = 0; s < job->submit.steps.count; s++) {
        uint32_t longest_ms = 0;

        for (uint32_t i = 0; i < steps[s].count; i++) {
            struct fleet_task_id task = {job->id, 0, s, i};

            longest_ms = MAX(longest_ms, replay_run_ms(job, &task, seed));
        }
        sum_ms += longest_ms +
                  (job->queue->advice_us +
                   job->queue->advice_each_us * OBJECTIVE_QUERY_TARGETS) /
                      1000;
    }
    return sum_ms;
}

/* Drawn by hash, so that the other draws do not depend on it. */
static void
choose_crashing_task(struct sim_job *job, uint32_t seed)
{
    const struct fleet_step *steps = job->submit.steps.items;

    job->crash_times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    job->crashes = replay_hash(seed + 2, job->id, 0) % 1000 <
                   job->queue->crashing_permille;
    job->crashing_step =
        replay_hash(seed + 2, job->id, 1) % job->submit.steps.count;
    job->crashing_index =
        replay_hash(seed + 2, job->id, 2) % steps[job->crashing_step].count;
}

static struct sim_job *
make_job(const struct replay_load *load, uint32_t queue_index, uint64_t at_ms,
         GRand *rand, uint32_t seed)
{
    struct sim_job *job = g_new0(struct sim_job, 1);
    const struct replay_queue *queue = &load->queues[queue_index];
    uint32_t steps =
        (uint32_t)g_rand_int_range(rand, 1, (gint32)queue->steps + 1);
    uint32_t mean_run_ms =
        draw_lognormal(rand, queue->work_ms, queue->spread_percent);
    uint32_t accel = queue->accel_count == 0
                         ? 0
                         : queue->accel[g_rand_int_range(
                               rand, 0, (gint32)queue->accel_count)];

    job->queue = queue;
    job->team = draw_team(load, rand, at_ms);
    job->id = ((uint64_t)g_rand_int(rand) << 32) | g_rand_int(rand);
    job->arrived_ms = at_ms;
    job->mean_run_ms = mean_run_ms;
    if (queue->lasting) {
        job->cancel_ms = at_ms + draw_lognormal(rand, LASTING_MEAN_MS,
                                                queue->spread_percent);
    }
    job->submit.id = job->id;
    g_strlcpy(job->submit.host, "replay", FLEET_NAME_BYTES);
    g_snprintf(job->submit.prefix, FLEET_PATH_BYTES, "/%s/", queue->name);
    g_strlcpy(job->submit.team, load->teams[job->team].name, FLEET_NAME_BYTES);
    job->submit.spec = fp_blob_copy("spec", 4);
    for (uint32_t i = 0; i < steps; i++) {
        add_step(job, rand, mean_run_ms, accel);
    }
    choose_crashing_task(job, seed);
    job->objective_ms =
        ideal_duration_ms(job, seed) * queue->stretch_permille / 1000 +
        queue->objective_ms;
    return job;
}

/* Arrival rate of a queue at this time, in percent of its normal rate. */
static uint32_t
arrival_percent(const struct replay_load *load,
                const struct replay_queue *queue, uint64_t at_ms)
{
    /* A team that sends more adds to what the others send. */
    uint32_t percent = sum_team_shares(load, at_ms) * 100 /
                       MAX(sum_team_shares(load, UINT64_MAX), 1);

    for (uint32_t i = 0; i < load->events_count; i++) {
        const struct replay_event *event = &load->events[i];

        if (event->kind == REPLAY_BURST && at_ms >= event->at_ms &&
            at_ms < event->at_ms + event->for_ms &&
            (event->on == NULL || strcmp(event->on, queue->name) == 0)) {
            percent = percent * event->factor_percent / 100;
        }
    }
    return percent;
}

static gint
compare_arrivals(gconstpointer a, gconstpointer b)
{
    const struct sim_job *x = *(struct sim_job *const *)a;
    const struct sim_job *y = *(struct sim_job *const *)b;

    if (x->arrived_ms != y->arrived_ms) {
        return x->arrived_ms < y->arrived_ms ? -1 : 1;
    }
    return x->id < y->id ? -1 : x->id > y->id;
}

/* Marks the jobs beyond their teams' shares, by their arrivals, for the report
 * under every policy. */
static void
mark_beyond_share(const struct replay_load *load, GPtrArray *jobs)
{
    struct share *shares = g_new0(struct share, load->teams_count);

    for (guint i = 0; load->share_window_ms > 0 && i < jobs->len; i++) {
        struct sim_job *job = jobs->pdata[i];

        job->beyond_share =
            !share_take(&shares[job->team], load->teams[job->team].weight,
                        load->share_window_ms, job->arrived_ms);
    }
    g_free(shares);
}

GPtrArray *
replay_generate_jobs(const struct replay_load *load, uint32_t seed)
{
    GPtrArray *jobs = g_ptr_array_new_with_free_func(replay_job_free);

    for (uint32_t q = 0; q < load->queues_count; q++) {
        const struct replay_queue *queue = &load->queues[q];
        GRand *rand = g_rand_new_with_seed(seed * 1000 + q);

        for (uint64_t ms = 1; ms <= (uint64_t)load->seconds * 1000; ms++) {
            double chance = queue->jobs_in_1000_s / 1e6 *
                            arrival_percent(load, queue, ms) / 100.0;

            if (g_rand_double(rand) < chance) {
                g_ptr_array_add(jobs, make_job(load, q, ms, rand, seed));
            }
        }
        g_rand_free(rand);
    }
    g_ptr_array_sort(jobs, compare_arrivals);
    mark_beyond_share(load, jobs);
    return jobs;
}

uint32_t
replay_run_ms(const struct sim_job *job, const struct fleet_task_id *task,
              uint32_t seed)
{
    const struct fleet_step *step =
        (const struct fleet_step *)job->submit.steps.items + task->step;
    uint32_t index = step->gang ? 0 : task->index;
    uint32_t draw = replay_hash(seed, job->id, task->step * 65536u + index);
    uint32_t percent =
        100 - RUN_DEVIATION_PERCENT + draw % (2 * RUN_DEVIATION_PERCENT + 1);

    if (step->lasting) {
        return UINT32_MAX;
    }
    return MAX(job->mean_run_ms * percent / 100, 1);
}

uint32_t
replay_earned_permille(const struct sim_job *job)
{
    if (job->queue->lasting) {
        return job->task_samples == 0 ? 1000
                                      : (uint32_t)(job->running_samples *
                                                   1000 / job->task_samples);
    }
    if (job->ended_ms == 0 || job->state != JOB_COMPLETED) {
        return 0;
    }
    if (job->ended_ms <= job->arrived_ms + job->objective_ms) {
        return 1000;
    }
    return job->ended_ms <= job->arrived_ms + LATE_FACTOR * job->objective_ms
               ? LATE_CREDIT_PERMILLE
               : 0;
}

double
replay_fairness(const struct replay_load *load,
                const struct sim_result *result)
{
    double sum = 0;
    double sum_squares = 0;
    uint32_t teams = 0;

    for (uint32_t t = 0; t < load->teams_count; t++) {
        double earned = 0;
        double owed = 0;

        for (guint i = 0; i < result->jobs->len; i++) {
            const struct sim_job *job = result->jobs->pdata[i];

            if (job->team == t && !job->beyond_share) {
                owed += job->queue->worth_milli;
                earned += job->queue->worth_milli / 1000.0 *
                          replay_earned_permille(job);
            }
        }
        if (owed > 0) {
            teams++;
            sum += earned / owed;
            sum_squares += earned / owed * (earned / owed);
        }
    }
    return sum_squares > 0 ? sum * sum / (teams * sum_squares) : 1;
}

void
replay_job_free(void *item)
{
    struct sim_job *job = item;

    fp_record_free(&FLEET_SUBMIT_SCHEMA, &job->submit);
    g_array_free(job->crash_times, TRUE);
    g_free(job);
}
