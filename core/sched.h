/* sched.h -- which waiting task starts where, and which running task yields
 *
 * A pure module on the leader. It reads the cell's state, is told of every
 * change to it, and answers through callbacks; time comes in as arguments.
 * Its own state is soft: a new leader builds it anew from the cell.
 *
 * Decisions run ahead of the log: what was proposed counts as taken until the
 * cell says otherwise.
 */
#ifndef FP_SCHED_H
#define FP_SCHED_H

#include "core/cell.h"

struct sched;

struct sched_ops {
    /* Proposes to start these attempts, all or none of them. The answer comes
     * as task changes, or through sched_place_failed(). */
    void (*place)(void *ctx, const struct place_item *items, uint32_t count);
    /* There are new orders for this target. */
    void (*wake)(void *ctx, struct target *target);
    void *ctx;
};

/* How hosts are chosen. */
enum sched_choice { SCHED_FIRST_FIT, SCHED_BEST_FIT, SCHED_BY_KIND };

/* A policy is a set of switches; the bench compares them. */
struct sched_policy {
    const char *name;
    bool fair;      /* by dominant share; else by time of submission */
    bool reserve;   /* holds hosts for gangs and fills in behind them */
    bool preempt;   /* urgent work and shares may take from others */
    bool probation; /* keeps work off targets that fail everything */
    enum sched_choice choice;
};

extern const struct sched_policy SCHED_POLICY;         /* the product's */
extern const struct sched_policy SCHED_FIFO_FIRST_FIT; /* baselines */
extern const struct sched_policy SCHED_FIFO_BEST_FIT;

/* What a target is to do with a running task. */
enum sched_order {
    SCHED_RUN,
    SCHED_THROTTLE,
    SCHED_CHECKPOINT, /* save, stop, report "stopped" */
    SCHED_STOP
};

enum sched_block {
    SCHED_BLOCK_NONE,     /* next in line */
    SCHED_BLOCK_STARTING, /* proposed, not yet committed */
    SCHED_BLOCK_RETRY,    /* waits out a backoff after a failure */
    SCHED_BLOCK_LIMIT,    /* the team is at its upper limit */
    SCHED_BLOCK_HOURS,    /* quiet hours */
    SCHED_BLOCK_NO_HOST,  /* no live target matches the selectors */
    SCHED_BLOCK_ROOM,     /* nothing has enough room now */
    SCHED_BLOCK_GANG,     /* other tasks of the gang are still running */
    SCHED_BLOCK_SHARE,    /* behind teams with a smaller share */
    SCHED_BLOCK_COUNT
};

/* Why a task waits. */
struct sched_reason {
    enum sched_block block;
    uint32_t place;       /* position among like work of its team, from 1 */
    uint64_t estimate_ms; /* expected wait; 0: no estimate */
    char text[200];
};

struct sched_counters {
    uint64_t decisions;
    uint64_t refused;      /* placements that the cell refused */
    uint64_t preempted;    /* tasks told to yield to urgent work */
    uint64_t reclaimed;    /* tasks told to yield to another team's share */
    uint64_t moved;        /* tasks told to yield to labels, hours, limits */
    uint64_t reservations; /* gangs that got one */
    uint64_t probations;   /* targets put on probation */
};

/* Builds the scheduler from the cell's state. */
struct sched *sched_new(struct cell *cell, const struct sched_policy *policy,
                        const struct sched_ops *ops, uint64_t now_ms,
                        uint64_t wall_ms);

/* Frees it and clears the sched members of the cell's objects. */
void sched_free(struct sched *sched);

/* Events; wire them to struct cell_ops. */
void sched_task_changed(struct sched *sched, struct task *task,
                        enum task_state was);
void sched_attempt_ended(struct sched *sched, struct task *task,
                         struct target *target);
void sched_target_changed(struct sched *sched, struct target *target);
void sched_config_changed(struct sched *sched);
void sched_job_removed(struct sched *sched, struct job *job);

/* A proposed placement was refused or its fate is not known: what still waits
 * in the cell goes back in line.
 */
void sched_place_failed(struct sched *sched, const struct place_item *items,
                        uint32_t count);

/* Takes at most max_decisions decisions and returns how many it took. */
uint32_t sched_run(struct sched *sched, uint64_t now_ms, uint64_t wall_ms,
                   uint32_t max_decisions);

/* What the target is to do with a task that runs on it. */
enum sched_order sched_order(const struct sched *sched,
                             const struct task *task);

/* Why the task waits; fills reason for any state. */
void sched_why(struct sched *sched, const struct task *task,
               struct sched_reason *reason);

/* When a failed attempt may be tried again (wall clock, ms). */
uint64_t sched_retry_at(const struct sched *sched, const struct task *task,
                        uint64_t wall_ms);

/* A team's dominant share over its weight, in thousandths. */
uint32_t sched_share_permille(const struct sched *sched,
                              const struct team *team);

const struct sched_counters *sched_counters(const struct sched *sched);

const char *sched_block_name(enum sched_block block);

/* Reports whether the target is on probation. */
bool sched_on_probation(const struct sched *sched,
                        const struct target *target);

/* Reports whether a rule of quiet hours holds at a wall-clock time. */
bool sched_hours_active(const struct change_hours *rule, uint64_t wall_ms);

#endif /* FP_SCHED_H */
