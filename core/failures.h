/* failures.h -- the failed runs of a task, each counted once
 *
 * The end of a run may be reported several times: a target lists it until it
 * is acknowledged, and each new leader reads the lists again, in any order.
 * So the numbers of the counted runs are kept.
 */
#ifndef FP_FAILURES_H
#define FP_FAILURES_H

#include <stdbool.h>
#include <stdint.h>

/* Further failures are not counted: a queue that allows more attempts never
 * gives up a task. */
#define FAILURES_MAX 255u

/* All zero at first. */
struct failures {
    uint32_t count;
    /* Runs up to this number are taken as counted; 0: none. Set only for a
     * state that was stored without the numbers of the runs. */
    uint32_t counted_up_to;
    uint32_t *runs; /* numbers of the counted runs, in the order in which they
                     * were counted; run_count of them */
    uint32_t run_count;
};

/* Counts a failed run. Returns false if it was counted before. */
bool failures_add(struct failures *failures, uint32_t run_number);

/* Returns the highest number of a counted run; 0: none. */
uint32_t failures_highest_run(const struct failures *failures);

/* Copies to an empty counter; the caller clears it. */
void failures_copy(struct failures *to, const struct failures *from);

/* Frees the run numbers and sets all to zero. */
void failures_clear(struct failures *failures);

#endif /* FP_FAILURES_H */
