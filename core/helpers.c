/* helpers.c -- which host queries the placement policy on the leader's behalf
 */
#include "core/helpers.h"

#include <glib.h>

#include "core/plan.h"

/* A helper whose last ping is older is not used. */
#define PING_TIMEOUT_MS 1500u
/* The pause after a failure; it doubles with each failure in a row, up to
 * PAUSE_DOUBLINGS_MAX times. */
#define PAUSE_MS 50u
#define PAUSE_DOUBLINGS_MAX 4u
/* Smoothing of the delay, and differences that do not count. */
#define DELAY_WEIGHT 8u
#define DELAY_STEP_MS 100u
/* Longest pause for a query that may still occupy the helper's turn. */
#define TURN_MAX_MS 1000u

void
helper_finish(struct policy_helper *helper, enum helper_result result,
              uint32_t expected_ms, uint64_t now_ms)
{
    uint64_t pause_ms;

    helper->busy = false;
    /* One without an answer may be in its turn as long as the helper pauses.
     */
    helper->is_long = helper->is_long && result == HELPER_TIMEOUT;
    if (result == HELPER_ANSWERED) {
        helper->failures = 0;
        helper->resume_ms = 0;
        return;
    }
    pause_ms = (uint64_t)PAUSE_MS
               << MIN(helper->failures, PAUSE_DOUBLINGS_MAX);
    if (result == HELPER_TIMEOUT) {
        pause_ms = MAX(pause_ms, MIN(expected_ms, TURN_MAX_MS));
    }
    helper->failures++;
    helper->resume_ms = now_ms + pause_ms;
}

void
helper_measure(struct policy_helper *helper, uint32_t delay_ms)
{
    helper->delay_ms =
        (helper->delay_ms * (DELAY_WEIGHT - 1) + delay_ms) / DELAY_WEIGHT;
}

bool
helper_is_silent(const struct policy_helper *helper, uint64_t now_ms)
{
    return now_ms > helper->last_ping_ms + PING_TIMEOUT_MS;
}

static bool
is_usable(const struct policy_helper *helper, uint64_t now_ms)
{
    return !helper_is_silent(helper, now_ms) && now_ms >= helper->resume_ms;
}

/* Those that pause count: they will ask again at once when the pause ends. */
uint32_t
helper_count_usable(struct policy_helper *const *helpers, uint32_t count,
                    uint64_t now_ms)
{
    uint32_t usable = 0;

    for (uint32_t i = 0; i < count; i++) {
        usable += !helper_is_silent(helpers[i], now_ms);
    }
    return usable;
}

static bool
is_better(const struct policy_helper *helper,
          const struct policy_helper *found)
{
    if (helper->failures == found->failures) {
        return helper->delay_ms / DELAY_STEP_MS <=
               found->delay_ms / DELAY_STEP_MS;
    }
    return helper->failures < found->failures;
}

struct policy_helper *
helper_choose(struct policy_helper *const *helpers, uint32_t count,
              const struct query_pace *pace, bool short_query, uint64_t now_ms)
{
    const uint32_t limit =
        query_pace_limit(pace, helper_count_usable(helpers, count, now_ms));
    struct policy_helper *found = NULL;
    uint32_t busy_long = 0;
    uint32_t usable = 0;
    uint32_t idle = 0;

    for (uint32_t i = 0; i < count; i++) {
        struct policy_helper *helper = helpers[i];

        if (helper_is_silent(helper, now_ms)) {
            continue;
        }
        busy_long +=
            helper->is_long && (helper->busy || now_ms < helper->resume_ms);
        if (!is_usable(helper, now_ms)) {
            continue;
        }
        usable++;
        if (helper->busy) {
            continue;
        }
        idle++;
        if (found == NULL || is_better(helper, found)) {
            found = helper;
        }
    }
    if (!short_query &&
        (idle <= plan_reserved_policy_clients(usable) || busy_long >= limit)) {
        return NULL;
    }
    return found;
}
