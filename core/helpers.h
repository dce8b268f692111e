/* helpers.h -- which host queries the placement policy on the leader's behalf
 *
 * Pure decisions. The policy answers one query of each host at a time, so the
 * leader spreads queries over hosts that have offered to pass them on.
 *
 * Load pattern: some helpers cannot reach the policy, or a query that was
 * given up still occupies a helper's turn there. A query through such a helper
 * fails at once or waits in vain; as the helper is idle again soonest, it
 * would be chosen for the next query too.
 */
#ifndef FP_HELPERS_H
#define FP_HELPERS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/msg.h"
#include "core/querypace.h"

struct policy_helper {
    char host[MSG_HOST_BYTES];
    uint64_t last_ping_ms; /* 0: not to be used before its next ping */
    uint64_t resume_ms;    /* not to be used before; 0: at once */
    uint32_t failures;     /* queries in a row */
    uint32_t delay_ms;     /* smoothed time of answers beyond the stated one */
    bool busy;
    bool is_long; /* its last query, which may still take a turn, was long */
};

/* How a query through a helper ended. */
enum helper_result {
    HELPER_ANSWERED,
    HELPER_FAILED,  /* the policy refused, or its answer cannot be used */
    HELPER_TIMEOUT, /* no answer: the query may still be in its turn there */
};

/* Records the end of a query that was expected to take expected_ms. */
void helper_finish(struct policy_helper *helper, enum helper_result result,
                   uint32_t expected_ms, uint64_t now_ms);

/* A query through the helper was answered so much later than stated. */
void helper_measure(struct policy_helper *helper, uint32_t delay_ms);

/* Whether the helper has not pinged for so long that it is not used. */
bool helper_is_silent(const struct policy_helper *helper, uint64_t now_ms);

/* How many helpers can be used, or are in use. */
uint32_t helper_count_usable(struct policy_helper *const *helpers,
                             uint32_t count, uint64_t now_ms);

/* Returns the helper for a query: of those that are idle and not pausing after
 * a failure, one with the fewest failures, and among these one that answers
 * soon. NULL: there is none, or the idle ones are kept for short queries, or
 * as many that are not short are under way as the pace allows.
 */
struct policy_helper *helper_choose(struct policy_helper *const *helpers,
                                    uint32_t count,
                                    const struct query_pace *pace,
                                    bool short_query, uint64_t now_ms);

#endif /* FP_HELPERS_H */
