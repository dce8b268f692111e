/* lease.c -- how long leases of targets may last, over leaders and settings
 *
 * Workload: hosts are restarted one after the other with a shorter lease,
 * while some targets cannot be reached and run on under a longer one.
 */
#include "core/lease.h"

#include <glib.h>

uint32_t
lease_to_grant_ms(uint32_t configured_ms, uint32_t stored_ms)
{
    return MIN(configured_ms, stored_ms);
}

uint32_t
lease_to_await_ms(uint32_t configured_ms, uint32_t stored_ms)
{
    return MAX(configured_ms, stored_ms);
}

uint32_t
lease_to_store_ms(uint32_t configured_ms, uint32_t stored_ms,
                  bool are_earlier_over)
{
    if (configured_ms > stored_ms ||
        (configured_ms < stored_ms && are_earlier_over)) {
        return configured_ms;
    }
    return 0;
}
