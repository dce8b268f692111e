/* leader.h -- what only the leader does: leases of targets and placement
 *
 * Exists while this host leads. Targets call in with heartbeats; an answer is
 * held back for a second or more until there is something to tell, so that an
 * order reaches its target at once without a connection towards it.
 *
 * A target's lease runs from the moment at which it sent the heartbeat that
 * an answer names, by its own clock, and an answer leaves only while the
 * leader lease holds. The leader counts from when that heartbeat came in,
 * which is later, and adds the drift bound; so an attempt is called lost only
 * after its target has stopped it.
 */
#ifndef FP_LEADER_H
#define FP_LEADER_H

#include "core/sched.h"
#include "node/replica.h"

/* An answer is held this long at least; longer, up to a quarter of the lease,
 * the more targets there are, so that heartbeats come at LEADER_HEARTBEATS a
 * second at most as long as the lease allows it. Orders go out at once anyhow.
 */
#define LEADER_HOLD_MS 1000u
#define LEADER_HEARTBEATS 400u
#define LEADER_HOLD_PART 4u
#define LEADER_DRIFT_PERMILLE 10u
#define LEADER_MARGIN_MS 200u

struct leader;

struct leader *leader_new(struct replica *replica,
                          const struct settings *settings);
void leader_free(struct leader *leader);

/* Events of the cell; ctx is a struct leader. */
void leader_task_changed(struct leader *leader, struct task *task,
                         enum task_state was);
void leader_attempt_ended(struct leader *leader, struct task *task,
                          struct target *target);
void leader_target_changed(struct leader *leader, struct target *target);
void leader_config_changed(struct leader *leader);
void leader_job_removed(struct leader *leader, struct job *job);

/* Answers a question of a target or a query, by its route. */
void leader_asked(struct leader *leader, uint64_t ask, const char *route,
                  const json_t *body);

/* Runs decisions and answers that are due; after each round of events. */
void leader_flush(struct leader *leader, uint64_t now_ms);

/* Every 10 ms or so: leases, decisions that wait for time. */
void leader_tick(struct leader *leader, uint64_t now_ms);

json_t *leader_dump(const struct leader *leader);

#endif /* FP_LEADER_H */
