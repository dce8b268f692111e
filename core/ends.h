/* ends.h -- acknowledgement of the ends of runs to a target
 *
 * A target numbers the ends of its runs from 1 and discards those whose number
 * is acknowledged as stored. The acknowledgement is sent in a hold call, by
 * which the leader renews the target's lease and gets its lists of runs and
 * ends. A target that is restarted under the same ID numbers from 1 again, so
 * that an old number would make it discard ends that were never read. The
 * fence (core/fence.h) keeps an old number from an incarnation that has been
 * called; what is left is one that nobody has called yet. Hence a number is
 * sent only until one call with it was answered, and in one of two ways:
 *
 *   - Over a connection opened before the last answered call: it leads to the
 *     same incarnation or fails. Two consecutive calls must have been answered
 *     before, since the first of them may have opened the connection.
 *   - Where there is no such connection, as the target or something on the way
 *     closes them, over any connection: but only if the next incarnation can
 *     have no ends. It has none unless a start has reached it, so that no
 * start order may have been sent since the last answered call, and none sent
 *     before may still be on its way.
 */
#ifndef FP_ENDS_H
#define FP_ENDS_H

#include <stdbool.h>
#include <stdint.h>

/* All zero for a new incarnation. */
struct ends_ack {
    uint64_t stored_number;    /* ends up to this number are stored */
    uint64_t acked_number;     /* the target answered a call with this */
    uint64_t last_call_ms;     /* start of the last call, if this incarnation
                                * answered it; else 0 */
    uint64_t previous_call_ms; /* start of the call before the last one, if
                                * this incarnation answered both; else 0 */
    uint64_t last_start_ms;    /* a start order was last sent; 0: never */
    bool lacks_old_connection; /* for an acknowledgement that is due */
};

/* Returns the number to send with the next hold call, if there is a connection
 * opened before last_call_ms; 0: none. */
uint64_t ends_number_to_ack(const struct ends_ack *ack);

/* Records that there was none. */
void ends_lack_old_connection(struct ends_ack *ack);

/* The same over any connection. start_on_its_way: a start order that was sent
 * may still reach the target, or a later incarnation. While this is 0 and
 * ends_await_call(), the target is to be called without delay. */
uint64_t ends_number_for_any_connection(const struct ends_ack *ack,
                                        bool start_on_its_way);
bool ends_await_call(const struct ends_ack *ack);

/* Records that a start order is sent to the target. */
void ends_start_sent(struct ends_ack *ack, uint64_t now_ms);

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
