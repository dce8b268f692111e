/* assign.h -- the leader's assignment of slots and team units to processes
 *
 * All slots of an instance belong to one process at a time, the owner, which
 * a change in the log sets. A team's limit is divided into units, which are
 * granted to processes by demand. Only the leader raises a grant, and only
 * its holder lowers it. The grant of a dead process is reclaimed once its
 * freshness lease and the longest request have passed, so the sum of all
 * grants never exceeds the limit.
 */
#ifndef FP_ASSIGN_H
#define FP_ASSIGN_H

#include "node/replica.h"

/* Added to each wait until another process's lease or requests have ended. */
#define ASSIGNER_SAFETY_MARGIN_MS 300u

/* Exists only while this host leads. */
struct assigner;

struct assigner *assigner_new(struct replica *replica,
                              const struct settings *settings);
void assigner_free(struct assigner *assigner);

/* Handles a hint of any host, this one included; the hint is copied. */
void assigner_on_hint(struct assigner *assigner, const struct msg_hint *hint,
                      uint64_t now_ms);

/* Proposes the assignments and grants that are due. To be called about every
 * 100 ms.
 */
void assigner_tick(struct assigner *assigner, uint64_t now_ms);

/* Adds a struct msg_demand to caps for each limited team: the most units that
 * a host should hold. The leader sends them in its own hint.
 */
void assigner_fill_caps(const struct assigner *assigner, struct fp_list *caps);

/* Returns the state for /v1/dump; the caller releases it. */
json_t *assigner_dump(const struct assigner *assigner);

#endif /* FP_ASSIGN_H */
