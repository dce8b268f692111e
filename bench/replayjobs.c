/* replayjobs.c -- the work of a load, and what it earns */
#include <math.h>
#include <string.h>

#include "bench/replay.h"

#define LATE_FACTOR 3u               /* past so many objectives: nothing */
#define LATE_PERMILLE 200u           /* earned when late */
#define OBJECTIVE_ADVICE_TARGETS 30u /* named in the question that counts */
#define WIDEST 5.0         /* a draw is at most this times its mean */
#define UNEVEN_PERCENT 30u /* run times of tasks around their job's */
#define APART_TARGETS 8u   /* that tasks kept apart are at least spread over */
#define LASTING_STAY_MS 45000u /* mean time until a caller cancels */

uint32_t
replay_draw(uint32_t seed, uint64_t a, uint64_t b)
{
    /* splitmix64 */
    uint64_t x = seed * 0x9e3779b97f4a7c15u + a * 0xbf58476d1ce4e5b9u +
                 b * 0x94d049bb133111ebu;

    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return (uint32_t)((x ^ (x >> 31)) >> 32);
}

/* A lognormal draw with this mean. */
static uint32_t
spread_out(GRand *rand, uint32_t mean, uint32_t spread_percent)
{
    double sigma = spread_percent / 100.0;
    double sum = 0;
    double factor;

    for (int i = 0; i < 12; i++) {
        sum += g_rand_double(rand);
    }
    factor = exp((sum - 6) * sigma - sigma * sigma / 2);
    return (uint32_t)MAX(mean * MIN(factor, WIDEST) + 0.5, 1);
}

static uint32_t
draw_team(const struct replay_load *load, GRand *rand)
{
    uint32_t all = 0;
    uint32_t at;

    for (uint32_t i = 0; i < load->teams_count; i++) {
        all += load->teams[i].share;
    }
    at = (uint32_t)g_rand_int_range(rand, 0, (gint32)MAX(all, 1));
    for (uint32_t i = 0; i < load->teams_count; i++) {
        if (at < load->teams[i].share) {
            return i;
        }
        at -= load->teams[i].share;
    }
    return 0;
}

static void
add_step(struct sim_job *job, GRand *rand, uint32_t work_ms, uint32_t accel)
{
    const struct replay_queue *queue = job->queue;
    struct fleet_step *step =
        fp_list_add(&job->submit.steps, sizeof(struct fleet_step));
    uint32_t at = job->submit.steps.count - 1;
    uint32_t off = queue->estimate_off_percent;

    step->count = spread_out(rand, queue->tasks, queue->spread_percent);
    step->cpu_milli =
        spread_out(rand, queue->cpu_milli, queue->spread_percent / 2);
    step->memory_mb =
        spread_out(rand, queue->memory_mb, queue->spread_percent / 2);
    if (queue->accel_count > 0) { /* such work has one shape */
        step->cpu_milli = queue->cpu_milli;
        step->memory_mb = queue->memory_mb;
    }
    step->accel = accel;
    step->estimate_ms =
        (uint32_t)(work_ms * exp((g_rand_double(rand) * 2 - 1) * off / 100.0));
    step->gang = queue->gang;
    step->duplicates =
        (uint32_t)g_rand_int_range(rand, 0, 1000) < queue->copies_permille;
    if ((uint32_t)g_rand_int_range(rand, 0, 1000) < queue->apart_permille) {
        step->spread = 1 + step->count / APART_TARGETS;
    }
    step->lasting = queue->lasting;
    step->checkpoints = queue->checkpoints;
    if (at > 0) {
        ((struct fleet_dependency *)fp_list_add(
             &step->after, sizeof(struct fleet_dependency)))
            ->step = at - 1;
    }
}

static uint64_t
longest_ms(const struct sim_job *job, uint32_t seed)
{
    const struct fleet_step *steps = job->submit.steps.items;
    uint64_t sum_ms = 0;

    for (uint32_t s = 0; s < job->submit.steps.count; s++) {
        uint32_t most_ms = 0;

        for (uint32_t i = 0; i < steps[s].count; i++) {
            struct fleet_task_id name = {job->id, 0, s, i};

            most_ms = MAX(most_ms, replay_work_ms(job, &name, seed));
        }
        sum_ms +=
            most_ms + (job->queue->advice_us +
                       job->queue->advice_each_us * OBJECTIVE_ADVICE_TARGETS) /
                          1000;
    }
    return sum_ms;
}

static struct sim_job *
make_job(const struct replay_load *load, uint32_t queue, uint64_t at_ms,
         GRand *rand, uint32_t seed)
{
    struct sim_job *job = g_new0(struct sim_job, 1);
    const struct replay_queue *from = &load->queues[queue];
    uint32_t steps =
        (uint32_t)g_rand_int_range(rand, 1, (gint32)from->steps + 1);
    uint32_t work_ms = spread_out(rand, from->work_ms, from->spread_percent);
    uint32_t accel = from->accel_count == 0
                         ? 0
                         : from->accel[g_rand_int_range(
                               rand, 0, (gint32)from->accel_count)];

    job->queue = from;
    job->team = draw_team(load, rand);
    job->id = ((uint64_t)g_rand_int(rand) << 32) | g_rand_int(rand);
    job->arrived_ms = at_ms;
    job->work_ms = work_ms;
    if (from->lasting) {
        job->cancel_ms =
            at_ms + spread_out(rand, LASTING_STAY_MS, from->spread_percent);
    }
    job->submit.id = job->id;
    g_strlcpy(job->submit.host, "replay", FLEET_NAME_BYTES);
    g_snprintf(job->submit.prefix, FLEET_PATH_BYTES, "/%s/", from->name);
    g_strlcpy(job->submit.team, load->teams[job->team].name, FLEET_NAME_BYTES);
    job->submit.spec = fp_blob_copy("spec", 4);
    for (uint32_t i = 0; i < steps; i++) {
        add_step(job, rand, work_ms, accel);
    }
    job->objective_ms = longest_ms(job, seed) * from->stretch_permille / 1000 +
                        from->objective_ms;
    return job;
}

static uint32_t
factor_percent(const struct replay_load *load,
               const struct replay_queue *queue, uint64_t at_ms)
{
    uint32_t percent = 100;

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
by_arrival(gconstpointer a, gconstpointer b)
{
    const struct sim_job *x = *(struct sim_job *const *)a;
    const struct sim_job *y = *(struct sim_job *const *)b;

    if (x->arrived_ms != y->arrived_ms) {
        return x->arrived_ms < y->arrived_ms ? -1 : 1;
    }
    return x->id < y->id ? -1 : x->id > y->id;
}

GPtrArray *
replay_make_jobs(const struct replay_load *load, uint32_t seed)
{
    GPtrArray *jobs = g_ptr_array_new_with_free_func(replay_job_free);

    for (uint32_t q = 0; q < load->queues_count; q++) {
        const struct replay_queue *queue = &load->queues[q];
        GRand *rand = g_rand_new_with_seed(seed * 1000 + q);

        for (uint64_t ms = 1; ms <= (uint64_t)load->seconds * 1000; ms++) {
            double chance = queue->jobs_in_1000_s / 1e6 *
                            factor_percent(load, queue, ms) / 100.0;

            if (g_rand_double(rand) < chance) {
                g_ptr_array_add(jobs, make_job(load, q, ms, rand, seed));
            }
        }
        g_rand_free(rand);
    }
    g_ptr_array_sort(jobs, by_arrival);
    return jobs;
}

uint32_t
replay_work_ms(const struct sim_job *job, const struct fleet_task_id *task,
               uint32_t seed)
{
    const struct fleet_step *step =
        (const struct fleet_step *)job->submit.steps.items + task->step;
    uint32_t index = step->gang ? 0 : task->index;
    uint32_t draw = replay_draw(seed, job->id, task->step * 65536u + index);
    uint32_t percent = 100 - UNEVEN_PERCENT + draw % (2 * UNEVEN_PERCENT + 1);

    if (step->lasting) {
        return UINT32_MAX;
    }
    return MAX(job->work_ms * percent / 100, 1);
}

uint32_t
replay_earned_permille(const struct sim_job *job)
{
    if (job->queue->lasting) {
        return job->samples == 0
                   ? 1000
                   : (uint32_t)(job->working * 1000 / job->samples);
    }
    if (job->ended_ms == 0 || job->state != JOB_COMPLETED) {
        return 0;
    }
    if (job->ended_ms <= job->arrived_ms + job->objective_ms) {
        return 1000;
    }
    return job->ended_ms <= job->arrived_ms + LATE_FACTOR * job->objective_ms
               ? LATE_PERMILLE
               : 0;
}

void
replay_job_free(void *item)
{
    struct sim_job *job = item;

    fp_record_free(&FLEET_SUBMIT_SCHEMA, &job->submit);
    g_free(job);
}
