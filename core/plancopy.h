/* plancopy.h -- second runs of tasks that take much longer than expected
 *
 * Workload: a few of a hundred runs take several times as long, and a job ends
 * with its last task. Only for steps that allow duplicates.
 */
#ifndef FP_PLANCOPY_H
#define FP_PLANCOPY_H

#include "core/planpriv.h"

/* Starts copies of stragglers where they are likely to end first and no other
 * work needs the capacity; call at the end of a scheduling pass. */
void plan_start_copies(struct plan *plan, uint64_t now_ms);

#endif /* FP_PLANCOPY_H */
