/* replayhigh.c -- the highest load that a policy can hold */
#include <string.h>

#include "bench/replay.h"

#define LOWEST_PERCENT 60u
#define HIGHEST_PERCENT 180u
#define STEP_PERCENT 4u /* how far the bisection goes */

/* The part of the credit that the jobs of a service earn, in thousandths, with
 * this percentage of their arrival rate and no jobs of other services. */
static uint32_t
earned_at(struct replay_load *load, const uint32_t *rates,
          const struct replay_service *service, uint32_t percent,
          const struct plan_policy *policy, uint32_t seeds)
{
    double earned = 0;
    double owed = 0;

    for (uint32_t i = 0; i < load->queues_count; i++) {
        struct replay_queue *queue = &load->queues[i];

        queue->jobs_in_1000_s = strcmp(queue->service, service->name) == 0
                                    ? rates[i] * percent / 100
                                    : 0;
    }
    for (uint32_t seed = 1; seed <= seeds; seed++) {
        struct sim_result *result = sim_replay(load, policy, seed);

        for (guint i = 0; i < result->jobs->len; i++) {
            const struct sim_job *job = result->jobs->pdata[i];

            owed += 1000.0 * job->queue->worth_milli;
            earned +=
                (double)replay_earned_permille(job) * job->queue->worth_milli;
        }
        sim_result_free(result);
    }
    return owed > 0 ? (uint32_t)(earned * 1000 / owed) : 1000;
}

uint32_t
replay_highest_percent(struct replay_load *load,
                       const struct replay_service *service,
                       const struct plan_policy *policy, uint32_t seeds,
                       uint32_t permille)
{
    uint32_t *rates = g_new(uint32_t, load->queues_count);
    uint32_t low = LOWEST_PERCENT;
    uint32_t high = HIGHEST_PERCENT;

    for (uint32_t i = 0; i < load->queues_count; i++) {
        rates[i] = load->queues[i].jobs_in_1000_s;
    }
    while (high - low > STEP_PERCENT) {
        uint32_t middle = (low + high) / 2;

        if (earned_at(load, rates, service, middle, policy, seeds) >=
            permille) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    for (uint32_t i = 0; i < load->queues_count; i++) {
        load->queues[i].jobs_in_1000_s = rates[i];
    }
    g_free(rates);
    return low;
}
