/* sched.h -- decides where waiting tasks start and which running tasks stop
 *
 * Runs on the leader and does no I/O: it reads the cell's state, is notified
 * of every change to it and returns its decisions through callbacks; the
 * caller passes in the time. It stores nothing: a new leader rebuilds the
 * scheduler's state from the cell.
 *
 * Decisions run ahead of the replicated log: the resources of a proposed
 * placement count as used until the cell commits or refuses it.
 */
#ifndef FP_SCHED_H
#define FP_SCHED_H

#include "core/cell.h"

struct sched;

struct sched_ops {
    /* Proposes to start these attempts, all or none of them. items is valid
     * only during the call. The outcome is reported through
     * sched_task_changed() or sched_placement_failed(). */
    void (*propose)(void *ctx, const struct place_item *items, uint32_t count);
    /* sched_task_order() may have changed for tasks on this target, or a
     * task was placed on it. */
    void (*orders_changed)(void *ctx, struct target *target);
    void *ctx;
};

/* How a target is chosen for a task. */
enum sched_strategy {
    SCHED_FIRST_FIT,
    SCHED_BEST_FIT,
    SCHED_BY_KIND /* spreads services, packs all other work */
};

/* Features of a scheduling policy; the benchmark compares policies. */
struct sched_policy {
    const char *name;
    bool fair_share;        /* by dominant share; else by submission order */
    bool gang_reservations; /* with backfill behind them */
    bool preemption;        /* for urgent work, fair shares and gangs */
    bool probation;         /* for targets on which every task fails */
    enum sched_strategy strategy;
};

extern const struct sched_policy SCHED_POLICY;         /* used by the leader */
extern const struct sched_policy SCHED_FIFO_FIRST_FIT; /* baselines */
extern const struct sched_policy SCHED_FIFO_BEST_FIT;

/* What a target must do with a running task. */
enum sched_order {
    SCHED_ORDER_RUN,
    SCHED_ORDER_THROTTLE,
    SCHED_ORDER_CHECKPOINT, /* checkpoint, stop, report "stopped" */
    SCHED_ORDER_STOP
};

/* What a waiting task waits for. */
enum sched_block {
    SCHED_BLOCK_NONE,          /* next in its queue */
    SCHED_BLOCK_STARTING,      /* proposed, not yet committed */
    SCHED_BLOCK_BACKOFF,       /* retry delay after a failed attempt */
    SCHED_BLOCK_TEAM_LIMIT,    /* the team is at its upper limit */
    SCHED_BLOCK_QUIET_HOURS,   /* quiet hours exclude matching targets */
    SCHED_BLOCK_NO_TARGET,     /* no target that is up matches the selectors */
    SCHED_BLOCK_NO_CAPACITY,   /* no matching target has the capacity */
    SCHED_BLOCK_GANG_STOPPING, /* other tasks of the gang still run */
    SCHED_BLOCK_SHARE,         /* teams with a smaller share come first */
    SCHED_BLOCK_COUNT
};

/* Why a task waits. */
struct sched_explanation {
    enum sched_block block;
    uint32_t position;    /* in the queue of its work class, from 1 */
    uint64_t estimate_ms; /* expected wait; 0: no estimate */
    char text[200];
};

struct sched_counters {
    uint64_t decisions;    /* task starts proposed */
    uint64_t refused;      /* proposals that failed */
    uint64_t preempted;    /* tasks evicted for urgent work and gangs */
    uint64_t reclaimed;    /* tasks evicted for another team's fair share */
    uint64_t moved;        /* tasks evicted by labels, hours or limits */
    uint64_t reservations; /* gangs that got a reservation */
    uint64_t probations;   /* targets put on probation */
};

/* Creates a scheduler from the cell's state. policy and ops are copied; cell
 * must outlive the scheduler. now_ms is a monotonic time, wall_ms the wall
 * clock. Released with sched_free().
 */
struct sched *sched_new(struct cell *cell, const struct sched_policy *policy,
                        const struct sched_ops *ops, uint64_t now_ms,
                        uint64_t wall_ms);

/* Frees the scheduler and clears the sched members of the cell's objects.
 * sched may be NULL.
 */
void sched_free(struct sched *sched);

/* Handlers for the callbacks of the same name in struct cell_ops. */
void sched_task_changed(struct sched *sched, struct task *task,
                        enum task_state old_state);
void sched_attempt_ended(struct sched *sched, struct task *task,
                         struct target *target);
void sched_target_changed(struct sched *sched, struct target *target);
void sched_config_changed(struct sched *sched);
void sched_job_removed(struct sched *sched, struct job *job);

/* Reports that a proposed placement was refused or that its outcome is
 * unknown. Tasks that still wait in the cell go back to their queues.
 */
void sched_placement_failed(struct sched *sched,
                            const struct place_item *items, uint32_t count);

/* Runs one scheduling pass. Proposes the starts of up to max_decisions single
 * tasks and gangs, a gang counting as one, and returns how many it proposed.
 */
uint32_t sched_run(struct sched *sched, uint64_t now_ms, uint64_t wall_ms,
                   uint32_t max_decisions);

/* Returns what the target must do with a task that runs on it. */
enum sched_order sched_task_order(const struct sched *sched,
                                  const struct task *task);

/* Explains why the task waits. In any other state, the text names the state
 * and the other members are 0.
 */
void sched_explain(struct sched *sched, const struct task *task,
                   struct sched_explanation *explanation);

/* Returns the wall-clock time in ms from which a failed task may be retried.
 */
uint64_t sched_retry_at(const struct sched *sched, const struct task *task,
                        uint64_t wall_ms);

/* Returns a team's dominant share divided by its weight, in thousandths. */
uint32_t sched_share_permille(const struct sched *sched,
                              const struct team *team);

const struct sched_counters *sched_counters(const struct sched *sched);

/* Returns the text for a block in answers to clients. */
const char *sched_block_name(enum sched_block block);

/* Reports whether the target is on probation. */
bool sched_on_probation(const struct sched *sched,
                        const struct target *target);

/* Reports whether a quiet-hours rule is in force at a wall-clock time. An
 * unknown time zone counts as UTC.
 */
bool sched_hours_active(const struct change_quiet_hours *rule,
                        uint64_t wall_ms);

#endif /* FP_SCHED_H */
