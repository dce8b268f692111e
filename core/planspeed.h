/* planspeed.h -- how fast targets run work, learned from the ends of runs
 *
 * Workload: targets of unlike speed, and run times with a long tail. The speed
 * of a target is told from the tail of the work and from wrong estimates:
 *
 *   - The tasks of a step share one estimate, right or wrong. Once most of
 * them have ended, their median run time is what the others are compared with,
 *     so the error of the estimate drops out.
 *   - Of a target the last few comparisons are kept, and their median counts,
 *     which one run of the tail among them does not move.
 *   - Until a target has enough of its own, those of its kind stand in: of
 *     targets with the same labels, but for the rack, and the same capacity.
 *   - The ratio of run times to estimates is learned for each queue.
 *
 * All of it is known to the leader only and is learned again after a takeover:
 * a target is known after PLAN_SPEED_ENDS_MIN ends on it, a kind after as many
 * on any of its targets. Nothing is learned from runs that were adopted or
 * resumed, since their whole run time is not known; nor from runs that ended
 * too early to have done the work.
 */
#ifndef FP_PLANSPEED_H
#define FP_PLANSPEED_H

#include "core/plan.h"

struct plan_pool;
struct plan_run;
struct plan_step;

#define PLAN_SPEED_ENDS_MIN 3u
#define PLAN_SPEED_ENDS_MAX 7u

/* The run times of a target, or of a kind of them, in thousandths of those of
 * a typical target of the service. */
struct plan_speed {
    uint16_t last_permille[PLAN_SPEED_ENDS_MAX]; /* a ring */
    uint32_t ends;         /* runs learned from; of them the last are kept */
    uint32_t permille;     /* their median */
    uint32_t own_permille; /* its slow average: what the target is by nature */
    uint64_t learned_ms;   /* when it was learned last */
};

/* What a speed says about its target; see plan_speed_verdict(). */
enum plan_speed_verdict {
    SPEED_UNKNOWN, /* too few ends, or too old */
    SPEED_USUAL,
    SPEED_SLOW,       /* it, or its kind, always was */
    SPEED_TURNED_SLOW /* it was faster before */
};

/* Expected run time of a task of the step on a target, ms; target NULL: on a
 * typical target of its service. */
uint64_t plan_run_time_ms(const struct plan *plan,
                          const struct plan_step *step,
                          const struct plan_target *target);

/* Learns from a run that has ended as done, after run_ms of work; 0: not
 * known. */
void plan_learn_speed(struct plan *plan, const struct plan_run *run,
                      uint64_t run_ms);

/* Run times of the target in thousandths of a typical one's; 1000 if nothing
 * is known. */
uint32_t plan_slowness_permille(const struct plan *plan,
                                const struct plan_target *target);
enum plan_speed_verdict plan_speed_verdict(const struct plan *plan,
                                           const struct plan_target *target);
/* In the terms of docs/OPERATIONS.md. */
const char *plan_speed_verdict_text(enum plan_speed_verdict verdict);

/* Forgets what was learned of a target: another incarnation has its ID, or it
 * is of another kind now. */
void plan_forget_speed(struct plan_target *target);
/* Finds the kind of a target, whose record has changed. */
void plan_set_kind(struct plan_target *target);
/* Frees what a step has gathered. */
void plan_free_step_ends(struct plan_step *step);

#endif /* FP_PLANSPEED_H */
