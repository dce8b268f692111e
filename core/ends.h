/* ends.h -- up to which end a target may be told that its ends are stored
 *
 * A target numbers the ends of its runs from 1 and forgets those that it is
 * told are stored. One that was started again under its ID numbers anew, so
 * that an old number would make it forget ends that nobody has seen. Hence a
 * number is sent only until it was answered once, and only over a connection
 * that is older than the last call that was answered: it leads to the same
 * incarnation or nowhere. Two calls in a row must have been answered, so that
 * there is such a connection: the first one may have opened it.
 */
#ifndef FP_ENDS_H
#define FP_ENDS_H

#include <stdint.h>

/* All zero for a new incarnation. */
struct end_marks {
    uint64_t stored;    /* ends up to this number are stored */
    uint64_t told;      /* and the target has answered that it knows */
    uint64_t asked_ms;  /* when the last call was made, if it was answered by
                         * this incarnation; else 0 */
    uint64_t before_ms; /* the same of the call before it */
};

/* The number to send with the next hold; 0: none. */
uint64_t ends_to_tell(const struct end_marks *marks);

/* Ends up to a number are stored. */
void ends_stored(struct end_marks *marks, uint64_t number);

/* A hold that carried a number was answered by this incarnation. */
void ends_answered(struct end_marks *marks, uint64_t number,
                   uint64_t asked_ms);

/* A hold was not answered, or by another incarnation. */
void ends_unanswered(struct end_marks *marks);

#endif /* FP_ENDS_H */
