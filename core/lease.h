/* lease.h -- how long leases of targets may last, over leaders and settings,
 * in a fleet and in a cell
 *
 * The length of leases is a setting, which may differ from host to host while
 * they are restarted with a new one. A leader that takes over must wait for
 * the leases that earlier leaders granted, whatever its own settings say. So
 * the longest lease that may be in force is part of the replicated state: it
 * is raised before a longer one is granted, and lowered once no longer one can
 * be left. A pure module; 0 stands for a length that is not stored yet.
 */
#ifndef FP_LEASE_H
#define FP_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/* The lease that a leader may grant now; 0: none before one is stored. */
uint32_t lease_to_grant_ms(uint32_t configured_ms, uint32_t stored_ms);

/* How long a leader that has just taken over waits for a target that does not
 * answer, on the target's clock. */
uint32_t lease_to_await_ms(uint32_t configured_ms, uint32_t stored_ms);

/* The length that the leader has to store now; 0: none. are_earlier_over: all
 * leases that were granted before its term are over. */
uint32_t lease_to_store_ms(uint32_t configured_ms, uint32_t stored_ms,
                           bool are_earlier_over);

#endif /* FP_LEASE_H */
