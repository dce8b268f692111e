/* planspeed.h -- how fast targets run work, learned from the ends of runs
 *
 * Workload: targets of unlike speed, and run times with a long tail. The speed
 * of a target is told from the tail of the work and from wrong estimates.
 */
#ifndef FP_PLANSPEED_H
#define FP_PLANSPEED_H

#include "core/planpriv.h"

/* Expected run time of a task of the step on a target, ms; target NULL: on a
 * typical target of its service. */
uint64_t plan_run_time_ms(const struct plan *plan,
                          const struct plan_step *step,
                          const struct plan_target *target);

/* Learns from a run that has ended as done, after run_ms of work. */
void plan_learn_speed(struct plan *plan, const struct plan_run *run,
                      uint64_t run_ms);

#endif /* FP_PLANSPEED_H */
