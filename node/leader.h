/* leader.h -- the leader of a cell: target leases, orders and placement
 *
 * Exists only while this host leads. Targets send heartbeats. The leader holds
 * back the answer to each until it has an order for the target, or until the
 * hold time of a second or more is over. So an order reaches its target at
 * once, and the leader needs no connection to the target.
 *
 * A target's lease starts, by the target's clock, when it sends a heartbeat
 * that is answered. An answer is sent only while the leader lease holds. The
 * leader counts the lease from when the heartbeat arrived, which is later, and
 * adds LEADER_DRIFT_PERMILLE for clock drift and LEADER_LEASE_MARGIN_MS. So an
 * attempt is declared lost only after its target has stopped it.
 */
#ifndef FP_LEADER_H
#define FP_LEADER_H

#include "core/sched.h"
#include "node/replica.h"

/* The answer to a heartbeat is held for LEADER_HOLD_MIN_MS; longer, the more
 * targets there are, so that at most LEADER_HEARTBEATS_PER_S arrive while the
 * lease allows it. An order ends the hold at once.
 */
#define LEADER_HOLD_MIN_MS 1000u
#define LEADER_HEARTBEATS_PER_S 400u
#define LEADER_HOLD_LEASE_DIVISOR 4u /* hold for 1/4 of the lease at most */
#define LEADER_DRIFT_PERMILLE 10u
#define LEADER_LEASE_MARGIN_MS 200u

struct leader;

/* Call when this host becomes leader. Both arguments must outlive the leader.
 */
struct leader *leader_new(struct replica *replica,
                          const struct settings *settings);

/* leader may be NULL. */
void leader_free(struct leader *leader);

/* Changes of the cell's state; see struct cell_ops. */
void leader_task_changed(struct leader *leader, struct task *task,
                         enum task_state old_state);
void leader_attempt_ended(struct leader *leader, struct task *task,
                          struct target *target);
void leader_target_changed(struct leader *leader, struct target *target);
void leader_config_changed(struct leader *leader);
void leader_job_removed(struct leader *leader, struct job *job);

/* Handles a query by its route: "heartbeat" of a target, or "why" a task
 * waits. It is answered through replica_reply(), a heartbeat up to the hold
 * time later. body is borrowed. */
void leader_handle_query(struct leader *leader, uint64_t query_id,
                         const char *route, const json_t *body);

/* Runs a scheduling pass if one is due, and answers the heartbeats of targets
 * that have orders; call once per iteration of the event loop. now_ms, here
 * and below, is on the monotonic clock. */
void leader_flush(struct leader *leader, uint64_t now_ms);

/* Checks leases and hold times; call every 10 ms or so. */
void leader_tick(struct leader *leader, uint64_t now_ms);

/* The state for diagnosis; the caller owns the reference. */
json_t *leader_dump(const struct leader *leader);

#endif /* FP_LEADER_H */
