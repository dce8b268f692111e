/* fence.c -- fencing tokens of orders to targets */
#include "core/fence.h"

uint64_t
fence_token(uint64_t term, uint64_t session)
{
    if (session > FENCE_SESSION_MAX) {
        session = FENCE_SESSION_MAX;
    }
    return term << FENCE_SESSION_BITS | session;
}
