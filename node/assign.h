/* assign.h -- on the leader: which process holds which slots and team units
 *
 * Slots of an instance belong to one process at a time, by a change in the
 * log. Units of a team's limit are parts granted to processes, moved with
 * demand: only the leader raises a part, only its holder lowers it, and the
 * part of a dead process is free again after its freshness lease and the
 * longest request have passed. So the sum never exceeds the limit.
 */
#ifndef FP_ASSIGN_H
#define FP_ASSIGN_H

#include "node/replica.h"

#define ASSIGN_MARGIN_MS 300u

struct assign;

struct assign *assign_new(struct replica *replica,
                          const struct settings *settings);
void assign_free(struct assign *assign);

/* Takes a host's hint, this host's own included. */
void assign_hint(struct assign *assign, const struct msg_hint *hint,
                 uint64_t now_ms);

/* Every 100 ms or so. */
void assign_tick(struct assign *assign, uint64_t now_ms);

/* The most units of each limited team that a host should hold, for the
 * leader's own hint: adds struct msg_demand to caps.
 */
void assign_caps(const struct assign *assign, struct fp_list *caps);

/* The longest request of any queue, ms. */
uint64_t assign_request_max_ms(const struct cell *cell);

json_t *assign_dump(const struct assign *assign);

#endif /* FP_ASSIGN_H */
