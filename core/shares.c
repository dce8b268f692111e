/* shares.c -- token buckets of the teams */
#include "core/shares.h"

#include <glib.h>

#define JOB_MICRO UINT64_C(1000000)

/* Tokens that a bucket holds at most, at least those for one job. */
static uint64_t
capacity_micro(uint32_t weight, uint32_t window_ms)
{
    return MAX((uint64_t)weight * window_ms, 1000u) <= UINT64_MAX / 1000
               ? MAX((uint64_t)weight * window_ms, 1000u) * 1000
               : UINT64_MAX;
}

/* A clock that went back adds nothing, and one that jumped ahead fills the
 * bucket at most. */
uint64_t
share_tokens_micro(const struct share *share, uint32_t weight,
                   uint32_t window_ms, uint64_t now_ms)
{
    const uint64_t capacity = capacity_micro(weight, window_ms);
    uint64_t elapsed_ms;
    uint64_t tokens;

    if (share->updated_ms == 0) {
        return capacity;
    }
    tokens = MIN(share->tokens_micro, capacity);
    elapsed_ms = now_ms > share->updated_ms ? now_ms - share->updated_ms : 0;
    /* weight jobs a second are weight * 1000 tokens a millisecond */
    if (elapsed_ms > (capacity - tokens) / ((uint64_t)weight * 1000)) {
        return capacity;
    }
    return tokens + elapsed_ms * weight * 1000;
}

bool
share_has_room(const struct share *share, uint32_t weight, uint32_t window_ms,
               uint64_t now_ms)
{
    return weight == 0 ||
           share_tokens_micro(share, weight, window_ms, now_ms) >= JOB_MICRO;
}

bool
share_take(struct share *share, uint32_t weight, uint32_t window_ms,
           uint64_t now_ms)
{
    bool has_room = share_has_room(share, weight, window_ms, now_ms);

    if (weight == 0) {
        return true;
    }
    share->tokens_micro =
        share_tokens_micro(share, weight, window_ms, now_ms) -
        (has_room ? JOB_MICRO : 0);
    share->updated_ms = MAX(now_ms, 1);
    return has_room;
}
