/* resend.h -- when a call that is not answered is sent again
 *
 * Pure decisions.
 *
 * Load pattern: a host that answers late, since its disk or its processor is
 * busy, gets each call again while it works on the first copy. The copies are
 * more work, later answers cause more copies, and the host does not recover
 * once the cause is gone.
 */
#ifndef FP_RESEND_H
#define FP_RESEND_H

#include <stdint.h>

/* How long answers take. All zero: none was measured. */
struct resend_times {
    uint32_t mean_us;
    uint32_t deviation_us; /* mean difference from the mean */
};

/* Records the time from a call's first copy to its answer. */
void resend_note_answer(struct resend_times *times, uint64_t took_ms);

/* The pause until the next copy of a call, open_copies of which have been
 * sent and were not refused: longer than answers usually take, and doubled
 * for each copy after the first. */
uint32_t resend_pause_ms(const struct resend_times *times,
                         uint32_t open_copies);

/* The pause after a call was refused by a host that does not lead, refusals
 * times so far. The first refusals lead to a leader that has moved. While
 * there is none all calls are refused, and the first that is answered tells
 * the others: they need not all try often. */
uint32_t resend_refused_pause_ms(uint32_t refusals);

#endif /* FP_RESEND_H */
