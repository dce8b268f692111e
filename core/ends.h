/* ends.h -- acknowledgement of the ends of runs to a target
 *
 * A target numbers the ends of its runs from 1 and discards those whose number
 * is acknowledged as stored. The acknowledgement is sent in a hold call, by
 * which the leader renews the target's lease and gets its lists of runs and
 * ends. A target that is restarted under the same ID numbers from 1 again, so
 * that an old number would make it discard ends that were never read. Hence a
 * number is sent only until one call with it was answered, and only over a
 * connection opened before the last answered call: such a connection leads to
 * the same incarnation or fails. Two consecutive calls must have been answered
 * before, since the first of them may have opened the connection.
 */
#ifndef FP_ENDS_H
#define FP_ENDS_H

#include <stdint.h>

/* All zero for a new incarnation. */
struct ends_ack {
    uint64_t stored_number;    /* ends up to this number are stored */
    uint64_t acked_number;     /* the target answered a call with this */
    uint64_t last_call_ms;     /* start of the last call, if this incarnation
                                * answered it; else 0 */
    uint64_t previous_call_ms; /* start of the call before the last one, if
                                * this incarnation answered both; else 0 */
};

/* Returns the number to send with the next hold call; 0: none. */
uint64_t ends_number_to_ack(const struct ends_ack *ack);

/* Records that the ends up to a number are stored. */
void ends_mark_stored(struct ends_ack *ack, uint64_t number);

/* Records that this incarnation answered a hold call made at call_ms with a
 * number; 0: without one.
 */
void ends_call_answered(struct ends_ack *ack, uint64_t number,
                        uint64_t call_ms);

/* Records that a hold call failed, or that another incarnation answered it. */
void ends_call_unanswered(struct ends_ack *ack);

#endif /* FP_ENDS_H */
