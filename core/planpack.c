/* planpack.c -- how well a task fits a target, by all resources */
#include "core/planpack.h"

#include <glib.h>

#define SHARE_ONE 1000u /* a whole capacity, in the unit of shares */

/* What is left free of a resource beside the task, as a share of the capacity.
 * A target has no rest of a resource that it lacks. */
static uint64_t
share_left(uint64_t capacity, uint64_t used, uint64_t size)
{
    if (capacity == 0 || used + size >= capacity) {
        return 0;
    }
    return (capacity - used - size) * SHARE_ONE / capacity;
}

/* Best fit by the sum of the shares that stay free: a task goes where others
 * use what it leaves, and targets that are empty stay so for tasks that need
 * most of one. */
uint64_t
plan_packing_cost(const struct fleet_resources *capacity,
                  const struct fleet_resources *used,
                  const struct fleet_resources *size)
{
    return share_left(capacity->cpu_milli, used->cpu_milli, size->cpu_milli) +
           share_left(capacity->memory_mb, used->memory_mb, size->memory_mb) +
           share_left(capacity->accel, used->accel, size->accel);
}
