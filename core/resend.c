/* resend.c -- when a call that is not answered is sent again */
#include "core/resend.h"

/* Bounds of the pause. A lost answer costs at least the first one. */
#define PAUSE_MIN_MS 450u
#define PAUSE_MAX_MS 3600u
/* Bounds of the pause after a refusal, and refusals before it grows. */
#define REFUSED_MIN_MS 40u
#define REFUSED_MAX_MS 320u
#define REFUSALS_QUICK 3u
/* Longer times count as this one. */
#define ANSWER_MAX_MS 10000u
/* Weights of the old averages; a new value counts 1. The deviation follows
 * faster, so that a rise of the times takes effect with the first answers. */
#define MEAN_WEIGHT 7u
#define DEVIATION_WEIGHT 3u
#define DEVIATIONS_PER_PAUSE 4u

void
resend_note_answer(struct resend_times *times, uint64_t took_ms)
{
    const uint32_t took_us =
        (uint32_t)(took_ms < ANSWER_MAX_MS ? took_ms : ANSWER_MAX_MS) * 1000;
    const uint32_t difference_us = took_us > times->mean_us
                                       ? took_us - times->mean_us
                                       : times->mean_us - took_us;

    times->deviation_us =
        (times->deviation_us * DEVIATION_WEIGHT + difference_us) /
        (DEVIATION_WEIGHT + 1);
    times->mean_us =
        (times->mean_us * MEAN_WEIGHT + took_us) / (MEAN_WEIGHT + 1);
}

uint32_t
resend_pause_ms(const struct resend_times *times, uint32_t open_copies)
{
    const uint64_t spread_us =
        (uint64_t)times->deviation_us * DEVIATIONS_PER_PAUSE;
    uint64_t pause_ms = (times->mean_us + spread_us) / 1000;

    if (pause_ms < PAUSE_MIN_MS) {
        pause_ms = PAUSE_MIN_MS;
    }
    while (open_copies > 1 && pause_ms < PAUSE_MAX_MS) {
        pause_ms *= 2;
        open_copies--;
    }
    return (uint32_t)(pause_ms < PAUSE_MAX_MS ? pause_ms : PAUSE_MAX_MS);
}

uint32_t
resend_refused_pause_ms(uint32_t refusals)
{
    uint32_t pause_ms = REFUSED_MIN_MS;

    while (refusals > REFUSALS_QUICK && pause_ms < REFUSED_MAX_MS) {
        pause_ms *= 2;
        refusals--;
    }
    return pause_ms;
}
