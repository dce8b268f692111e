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
/* Longest pause for a query that may still occupy the helper's turn. */
#define TURN_MAX_MS 1000u

void
helper_finish(struct policy_helper *helper, enum helper_result result,
              uint32_t expected_ms, uint64_t now_ms)
{
    uint64_t pause_ms;

    helper->busy = false;
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

struct policy_helper *
helper_choose(struct policy_helper *const *helpers, uint32_t count,
              bool short_query, uint64_t now_ms)
{
    struct policy_helper *found = NULL;
    uint32_t idle = 0;
    uint32_t live = 0;

    for (uint32_t i = 0; i < count; i++) {
        struct policy_helper *helper = helpers[i];

        if (now_ms > helper->last_ping_ms + PING_TIMEOUT_MS ||
            now_ms < helper->resume_ms) {
            continue;
        }
        live++;
        if (helper->busy) {
            continue;
        }
        idle++;
        if (found == NULL || helper->failures <= found->failures) {
            found = helper;
        }
    }
    if (!short_query && idle <= plan_reserved_policy_clients(live)) {
        return NULL;
    }
    return found;
}
