/* replayrecover.c -- recovery of a queue after a burst
 *
 * A backlog that outlives the burst that made it is a metastable state: the
 * load is back to normal, and no job is in time.
 */
#include "bench/replay.h"

#define WINDOW_MS 1000u
#define IN_TIME_PERCENT 90u
#define JOBS_MIN 3u /* in a window that is judged */

static uint64_t
end_of_disturbances_ms(const struct replay_load *load)
{
    uint64_t end_ms = 0;

    for (uint32_t i = 0; i < load->events_count; i++) {
        const struct replay_event *event = &load->events[i];

        end_ms = MAX(end_ms, (uint64_t)event->at_ms + event->for_ms);
    }
    return end_ms;
}

uint32_t
replay_recovery_ms(const struct replay_load *load,
                   const struct replay_queue *queue,
                   const struct sim_result *result)
{
    const uint64_t start_ms = end_of_disturbances_ms(load);
    const uint32_t windows = load->seconds * 1000 / WINDOW_MS + 1;
    uint32_t *jobs = g_new0(uint32_t, windows);
    uint32_t *in_time = g_new0(uint32_t, windows);
    uint32_t recovery_ms = 0;

    for (guint i = 0; i < result->jobs->len; i++) {
        const struct sim_job *job = result->jobs->pdata[i];
        uint64_t window;

        if (job->queue != queue || job->arrived_ms < start_ms) {
            continue;
        }
        window = MIN((job->arrived_ms - start_ms) / WINDOW_MS, windows - 1);
        jobs[window]++;
        in_time[window] += replay_earned_permille(job) == 1000;
    }
    for (uint32_t w = 0; w < windows; w++) {
        if (jobs[w] >= JOBS_MIN &&
            in_time[w] * 100 < jobs[w] * IN_TIME_PERCENT) {
            recovery_ms = (w + 1) * WINDOW_MS;
        }
    }
    g_free(jobs);
    g_free(in_time);
    return recovery_ms;
}
