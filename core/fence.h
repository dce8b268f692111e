/* fence.h -- fencing tokens of orders to targets
 *
 * A target keeps the highest token that it has seen and refuses orders with a
 * lower one. An incarnation has seen none at first, and may be reached by late
 * orders to the one before. So the token doesn't only rise with the leader: it
 * also rises with each session that a leader opens with a target, or opens
 * anew with its next incarnation. Once a target has carried out an order of
 * one session, it refuses whatever was sent in an earlier one.
 */
#ifndef FP_FENCE_H
#define FP_FENCE_H

#include <stdint.h>

/* Bits of a token below the term. Terms up to 2^27 leave the token below 2^53,
 * which is exact in every JSON decoder. */
#define FENCE_SESSION_BITS 26u
#define FENCE_SESSION_MAX ((1u << FENCE_SESSION_BITS) - 1)

/* Returns the token of a leader's orders to one target. session numbers the
 * leader's sessions in its term: 0 for those that it began with. Above
 * FENCE_SESSION_MAX it counts as that, so that no token reaches the next term.
 */
uint64_t fence_token(uint64_t term, uint64_t session);

#endif /* FP_FENCE_H */
