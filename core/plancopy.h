/* plancopy.h -- second runs of tasks that take much longer than expected
 *
 * Workload: a few of a hundred runs take several times as long, and a job ends
 * with its last task. Only for steps that allow duplicates, under a policy
 * with copies; see docs/design/copies.md.
 */
#ifndef FP_PLANCOPY_H
#define FP_PLANCOPY_H

#include "core/planpriv.h"

/* What a leader has learned about run times and copies; plan_new() and
 * plan_free() call these. */
struct plan_copies *plan_copies_new(void);
void plan_copies_free(struct plan_copies *copies);

/* Whether copies of the step's tasks may run at all. */
bool plan_allows_copies(const struct plan *plan, const struct plan_step *step);

/* Starts copies of stragglers where they are likely to end first and no other
 * work needs the capacity; call at the end of a scheduling pass. */
void plan_start_copies(struct plan *plan, uint64_t now_ms);

/* Learns from the end of a run, and counts a copy as won or lost; call before
 * the run is removed and its task is marked as done. */
void plan_learn_copies(struct plan *plan, const struct plan_run *run,
                       uint32_t outcome, uint64_t now_ms);

#endif /* FP_PLANCOPY_H */
