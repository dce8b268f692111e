/* shares.h -- a team's entitlement to have its jobs served first
 *
 * Workload: a team sends several times its usual rate to a service that is
 * nearly full. Jobs within a team's rate are served before jobs beyond it; the
 * latter run whenever there is room. A team's weight is its rate in jobs per
 * second, averaged over a window. Whether a job is within the rate is decided
 * when the change that adds it is applied, so that it is the same on every
 * replica, after a takeover and in a restored snapshot.
 */
#ifndef FP_SHARES_H
#define FP_SHARES_H

#include <stdbool.h>
#include <stdint.h>

/* The unused part of a team's rate, as a token bucket. */
struct share {
    uint64_t tokens_micro; /* millionths of a job */
    uint64_t updated_ms;   /* wall clock, since 1970; 0: never used */
};

/* Accounts for one more job at now_ms. weight: jobs per second; 0: the team
 * has no rate, and all of its jobs are within it. window_ms: how long an idle
 * team saves up. Returns whether the job is within the rate; one that is not
 * uses up nothing. */
bool share_take(struct share *share, uint32_t weight, uint32_t window_ms,
                uint64_t now_ms);

/* The tokens at now_ms, in millionths of a job; weight must not be 0. */
uint64_t share_tokens_micro(const struct share *share, uint32_t weight,
                            uint32_t window_ms, uint64_t now_ms);

/* What share_take() would return, without accounting for a job. */
bool share_has_room(const struct share *share, uint32_t weight,
                    uint32_t window_ms, uint64_t now_ms);

#endif /* FP_SHARES_H */
