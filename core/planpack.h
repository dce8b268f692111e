/* planpack.h -- how well a task fits a target, by all resources
 *
 * Workload: tasks that need most of a target's memory beside tasks that need
 * its accelerators, on a service that is full if it is packed well.
 */
#ifndef FP_PLANPACK_H
#define FP_PLANPACK_H

#include <stdint.h>

#include "core/fleetrec.h"

/* Cost of a task of this size on a target with this capacity, of which used is
 * in use; the lowest is best. Below 1 << 32. */
uint64_t plan_packing_cost(const struct fleet_resources *capacity,
                           const struct fleet_resources *used,
                           const struct fleet_resources *size);

#endif /* FP_PLANPACK_H */
