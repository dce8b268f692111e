/* querypace.c -- how many queries to the placement policy are under way, and
 * how long one is waited for
 */
#include "core/querypace.h"

#include <glib.h>

/* Time on the way, beside the policy's own. */
#define ROUND_TRIP_MS 60u
/* An answer is in time within this many times the base, and late after the
 * other. */
#define IN_TIME_FACTOR 2u
#define LATE_FACTOR 3u
/* The limit after late answers, and after refusals, per mille of what it was.
 * Late answers to long queries leave one for the policy to work on, and one
 * that waits. */
#define LATE_PERMILLE 750u
#define REFUSED_PERMILLE 500u
#define LATE_LIMIT_MIN_MILLI 2000u
#define LIMIT_MIN_MILLI 1000u
/* The base is measured anew when answers usually take more than this part of
 * it, at most so often, by the least time of so many queries that are alone.
 */
#define QUEUE_PERMILLE 1500u
#define BASE_INTERVAL_MS 10000u
#define BASE_QUERIES 2u
/* Smoothing of the measured times in parts of the stated ones. */
#define RATIO_WEIGHT 8u
#define STATED_PERMILLE 1000u
#define RATIO_MAX_PERMILLE 100000u
/* As of TCP's retransmission timer. */
#define DELAY_DIVISOR 8u
#define DEVIATION_DIVISOR 4u
#define DEVIATIONS 4u
#define TIMEOUT_MARGIN_MS 200u
#define TIMEOUT_MAX_MS 6000u
/* An answer is waited for this many timeouts, within bounds. */
#define WAIT_TIMEOUTS 3u
#define WAIT_MIN_MS 3000u
#define WAIT_MAX_MS 10000u

uint32_t
query_pace_limit(const struct query_pace *pace, uint32_t hosts)
{
    if (pace->is_probing) {
        return MIN(hosts, 1);
    }
    if (pace->limit_milli == 0) {
        return hosts;
    }
    return MIN(hosts, MAX(pace->limit_milli / 1000, 1));
}

uint32_t
query_pace_timeout_ms(const struct query_pace *pace, uint32_t stated_ms)
{
    const uint32_t least_ms = 2 * stated_ms + TIMEOUT_MARGIN_MS;
    const uint32_t measured_ms =
        stated_ms + pace->delay_ms + DEVIATIONS * pace->deviation_ms;

    return MIN(MAX(least_ms, measured_ms), MAX(least_ms, TIMEOUT_MAX_MS));
}

uint32_t
query_pace_wait_ms(const struct query_pace *pace, uint32_t stated_ms)
{
    const uint32_t timeout_ms = query_pace_timeout_ms(pace, stated_ms);

    return MAX(timeout_ms,
               CLAMP(WAIT_TIMEOUTS * timeout_ms, WAIT_MIN_MS, WAIT_MAX_MS));
}

static void
decrease(struct query_pace *pace, uint64_t sent_ms, uint32_t permille,
         uint32_t min_milli, uint32_t hosts, uint64_t now_ms)
{
    uint32_t limit_milli = hosts * 1000;

    if (sent_ms < pace->decreased_ms) {
        return;
    }
    if (pace->limit_milli != 0) {
        limit_milli = MIN(limit_milli, pace->limit_milli);
    }
    pace->limit_milli =
        MIN(limit_milli, MAX(limit_milli * permille / 1000, min_milli));
    pace->limit_milli = MAX(pace->limit_milli, LIMIT_MIN_MILLI);
    pace->decreased_ms = now_ms;
}

static void
measure(struct query_pace *pace, uint32_t delay_ms)
{
    const int64_t error_ms = (int64_t)delay_ms - pace->delay_ms;

    if (!pace->is_measured) {
        pace->is_measured = true;
        pace->delay_ms = delay_ms;
        pace->deviation_ms = delay_ms / 2;
        return;
    }
    pace->delay_ms =
        (uint32_t)((int64_t)pace->delay_ms + error_ms / DELAY_DIVISOR);
    pace->deviation_ms =
        (uint32_t)((int64_t)pace->deviation_ms +
                   (ABS(error_ms) - (int64_t)pace->deviation_ms) /
                       (int64_t)DEVIATION_DIVISOR);
}

static uint32_t
base_permille(const struct query_pace *pace)
{
    return MAX(pace->base_permille, STATED_PERMILLE);
}

/* An answer to a query that no other long one was beside. */
static void
probe_base(struct query_pace *pace, uint32_t ratio_permille, uint64_t now_ms)
{
    pace->probe_permille = pace->probes == 0
                               ? ratio_permille
                               : MIN(pace->probe_permille, ratio_permille);
    pace->probes++;
    if (pace->probes == BASE_QUERIES) {
        pace->is_probing = false;
        pace->base_permille = pace->probe_permille;
        pace->base_ms = now_ms;
    }
}

/* Follows what a long query takes, in parts of what it should. */
static void
measure_base(struct query_pace *pace, uint64_t sent_ms,
             uint32_t ratio_permille, uint64_t now_ms)
{
    const uint32_t base = base_permille(pace);

    pace->ratio_permille =
        pace->ratio_permille == 0
            ? ratio_permille
            : (pace->ratio_permille * (RATIO_WEIGHT - 1) + ratio_permille) /
                  RATIO_WEIGHT;
    if (pace->is_probing) {
        if (sent_ms > pace->probe_ms) {
            probe_base(pace, ratio_permille, now_ms);
        }
        return;
    }
    if (ratio_permille < base) {
        pace->base_permille = base - (base - ratio_permille) / RATIO_WEIGHT;
    }
    if (pace->ratio_permille > (uint64_t)base * QUEUE_PERMILLE / 1000 &&
        now_ms >= pace->base_ms + BASE_INTERVAL_MS) {
        pace->is_probing = true;
        pace->probe_ms = now_ms;
        pace->probes = 0;
    }
}

static void
judge_long(struct query_pace *pace, uint64_t sent_ms, uint64_t usual_ms,
           uint32_t took_ms, uint32_t hosts, uint64_t now_ms)
{
    measure_base(
        pace, sent_ms,
        (uint32_t)MIN(took_ms * UINT64_C(1000) / usual_ms, RATIO_MAX_PERMILLE),
        now_ms);
    if (pace->is_probing) {
        return;
    }
    usual_ms = usual_ms * base_permille(pace) / 1000;
    if (took_ms > LATE_FACTOR * usual_ms) {
        decrease(pace, sent_ms, LATE_PERMILLE, LATE_LIMIT_MIN_MILLI, hosts,
                 now_ms);
    }
    else if (took_ms <= IN_TIME_FACTOR * usual_ms && pace->limit_milli != 0) {
        pace->limit_milli += 1000000 / pace->limit_milli;
        if (pace->limit_milli >= hosts * 1000) {
            pace->limit_milli = 0;
        }
    }
}

void
query_pace_answered(struct query_pace *pace, uint64_t sent_ms,
                    bool short_query, uint32_t stated_ms, uint32_t took_ms,
                    uint32_t hosts, uint64_t now_ms)
{
    const uint64_t usual_ms = (uint64_t)stated_ms + ROUND_TRIP_MS;

    measure(pace, took_ms - MIN(took_ms, stated_ms));
    pace->answered_ms = MAX(pace->answered_ms, sent_ms);
    if (!short_query) {
        pace->answered_long_ms = MAX(pace->answered_long_ms, sent_ms);
        judge_long(pace, sent_ms, usual_ms, took_ms, hosts, now_ms);
    }
    else if (took_ms > LATE_FACTOR * usual_ms) {
        decrease(pace, sent_ms, LATE_PERMILLE, LIMIT_MIN_MILLI, hosts, now_ms);
    }
}

bool
query_pace_is_overtaken(const struct query_pace *pace, uint64_t sent_ms,
                        bool short_query)
{
    return sent_ms <
           (short_query ? pace->answered_ms : pace->answered_long_ms);
}

void
query_pace_refused(struct query_pace *pace, uint64_t sent_ms, uint32_t hosts,
                   uint64_t now_ms)
{
    if (pace->is_probing && sent_ms > pace->probe_ms) {
        pace->is_probing = false;
        pace->base_ms = now_ms;
    }
    decrease(pace, sent_ms, REFUSED_PERMILLE, LIMIT_MIN_MILLI, hosts, now_ms);
}
