/* simpriv.h -- shared by the files of the simulation
 *
 *   sim.c        event queue, faults of the load, main loop
 *   simtarget.c  targets: runs, orders, leases, crashes
 *   simlead.c    the leader: terms, hold calls, policy queries, commits
 *
 * Times are virtual, in ms since the start of the simulation, unless said
 * otherwise.
 */
#ifndef FP_SIMPRIV_H
#define FP_SIMPRIV_H

#include "bench/replay.h"

#define SIM_NETWORK_DELAY_MS 1u   /* one way, leader to target or back */
#define SIM_ORDER_TIMEOUT_MS 900u /* for the answer to an order */
/* Time until a crashed target is noticed, and until a client that found no
 * leader tries again. */
#define SIM_DETECTION_MS 300u
/* Until the leader notices that a process that crashed has ended its
 * connections. */
#define SIM_CLOSE_DETECTION_MS 11u
#define SIM_WALL_START_MS 1800000000000u /* wall clock at virtual time 0 */
#define SIM_DATA_CENTRES 3u              /* targets are in them by turns */
#define SIM_HOST "replay"                /* host of every queue */

/* A hold call is a long poll by which the leader renews the lease of a target:
 * the target answers once a run has ended, or when the wait is over, and lists
 * its unacknowledged ends and its runs. */
enum sim_event_kind {
    SIM_JOB_ARRIVAL,         /* a client submits a job */
    SIM_JOB_CANCEL,          /* a client cancels a job */
    SIM_START_ARRIVAL,       /* a start order reaches its target */
    SIM_STOP_ARRIVAL,        /* a stop order reaches its target */
    SIM_STOP_END,            /* a run has stopped as ordered */
    SIM_RUN_END,             /* a run is done or has failed */
    SIM_START_ANSWER,        /* a start order is answered or times out */
    SIM_STOP_ANSWER,         /* a stop order is answered or times out */
    SIM_HOLD_ANSWER,         /* a hold call is answered or times out */
    SIM_ENDS_COMMIT,         /* listed ends are committed */
    SIM_POLICY_ANSWER,       /* a policy query is answered or fails */
    SIM_CRASH_DETECTION,     /* the leader notices a crashed target */
    SIM_TARGET_LOSS,         /* leases of an unreachable target expired */
    SIM_HOLD_RETRY,          /* the leader repeats a failed hold call */
    SIM_LEASE_CHECK,         /* a target checks whether its lease expired */
    SIM_TARGET_REMOVAL,      /* a lost target is removed from the fleet */
    SIM_TARGET_ANNOUNCEMENT, /* a removed target announces itself again */
    SIM_TARGET_DEPARTURE,    /* a leaving target goes down */
    SIM_TARGET_RESTART,      /* a crashed target restarts */
    SIM_TASK_CRASH,          /* a task crashes its target */
    SIM_CAPACITY_CHANGE,     /* a target announces another capacity */
    SIM_LATE_ANNOUNCEMENT,   /* an older announcement arrives late */
    SIM_LOAD_EVENT,          /* an event of the load begins */
    SIM_EVACUATION,          /* an evacuation is ordered or withdrawn */
    SIM_TERM_START,          /* a new leader starts its term */
    SIM_SAMPLE               /* running tasks of lasting jobs are counted */
};

struct sim_event {
    uint64_t at_ms;
    uint64_t sequence; /* orders events of the same time */
    enum sim_event_kind kind;
    uint32_t term; /* of the leader that it concerns; 0: none */
    struct sim_job *job;
    struct sim_target *target;
    uint64_t born_ms; /* incarnation of the target that it concerns */
    struct fleet_task_id task;
    uint32_t run_number;
    char checkpoint[FLEET_CHECKPOINT_BYTES];
    enum order_answer answer;
    bool unanswered; /* the answer to the order or policy query is lost */
    union {
        uint64_t last_end_number; /* SIM_ENDS_COMMIT */
        uint64_t hold_sent_ms; /* SIM_HOLD_ANSWER that ends the wait of a call:
                                * when it was sent; else 0 */
    };
    const struct replay_event *load_event; /* SIM_LOAD_EVENT, SIM_EVACUATION */
    bool withdrawn;                        /* SIM_EVACUATION */
    struct fleet_target_rec *late_rec;     /* SIM_LATE_ANNOUNCEMENT, owned */
    GArray *tickets;     /* SIM_POLICY_ANSWER: struct call_ticket, owned */
    struct fp_list ends; /* SIM_ENDS_COMMIT: struct fleet_run_end, owned */
    /* Of an answer that the leader handles late: */
    bool is_late;
    GArray *listed_runs; /* SIM_HOLD_ANSWER: struct plan_listed_run, owned */
    GArray *listed_ends; /* SIM_HOLD_ANSWER: struct sim_unacked_end, owned */
};

/* A run on a target. */
struct sim_run {
    struct fleet_task_id task;
    uint32_t run_number;
    uint64_t started_ms;
    uint64_t total_ms;   /* run time of the task on this target from scratch */
    uint64_t resumed_ms; /* of it, done before the checkpoint that the run
                          * resumed from */
    uint64_t end_ms;
    bool fails;
    bool stopping;
    const struct sim_job *job;
};

/* An end of a run that the leader has not acknowledged. */
struct sim_unacked_end {
    uint64_t number; /* counts the ends of an incarnation, from 1 */
    struct fleet_run_end end;
};

struct sim_target {
    char id[FLEET_NAME_BYTES];
    uint32_t data_centre;
    struct fleet_target_rec rec;
    uint32_t speed_percent;
    bool up;
    uint32_t fence; /* highest leader term that sent an order or a hold call */
    GPtrArray *runs;               /* struct sim_run, owned */
    GHashTable *highest_stale_run; /* task text to its highest run number that
                                    * has ended or was stopped */
    GArray *unacked_ends;          /* struct sim_unacked_end */
    uint64_t last_end_number;      /* of this incarnation; 0: no end yet */
    uint64_t slow_until_ms, failing_until_ms;
    uint32_t slow_percent;
    /* Until checked_until_ms starts are checked against the larger of the old
     * and the new capacity, after that against the new one. */
    struct fleet_resources checked_capacity;
    uint64_t checked_until_ms;
    struct fleet_resources nominal;
    uint64_t cut_until_ms;
    bool cut_answers_only;   /* orders still arrive */
    uint64_t lease_until_ms; /* as the target knows it */
    bool removed;            /* from the fleet */
    /* State of the leader: */
    bool silent;                /* the last hold call failed */
    uint64_t leases_over_ms;    /* all granted leases have expired by then */
    uint64_t stored_end_number; /* ends up to this are committed */
    bool runs_listed;           /* in this term */
    bool lost;             /* no run that was ordered can still be running */
    bool ends_in_flight;   /* a proposal of ends is not committed yet */
    bool hold_in_flight;   /* a hold call is not answered yet */
    bool answer_unread;    /* the leader has not handled the answer to the
                            * last hold call yet */
    uint64_t hold_sent_ms; /* of the last hold call */
};

struct sim {
    const struct replay_load *load;
    const struct plan_policy *policy;
    uint32_t seed;
    GRand *rand;
    GSequence *events;
    uint64_t next_sequence;
    uint64_t now_ms;
    struct fleet *fleet;
    struct plan *plan; /* NULL: there is no leader */
    uint32_t term;
    bool reconciled;        /* plan_reconciled() was called in this term */
    GPtrArray *targets;     /* struct sim_target */
    GHashTable *jobs;       /* &sim_job.id to struct sim_job */
    GHashTable *done_tasks; /* texts of tasks whose RUN_DONE is committed */
    uint32_t busy_clients;  /* policy clients with a query in flight */
    uint64_t lossy_until_ms;
    uint32_t lossy_permille; /* probability that an answer is lost */
    uint64_t slow_leader_until_ms;
    uint32_t leader_delay_ms; /* until a slow leader handles an answer */
    bool evacuated[SIM_DATA_CENTRES]; /* as acknowledged to the operator */
    uint32_t unfinished_jobs;
    struct sim_result *result;
};

/* sim.c */

/* Adds an event to the queue, which owns it. All members but its kind, time
 * and sequence are zero. */
struct sim_event *sim_add_event(struct sim *sim, enum sim_event_kind kind,
                                uint64_t at_ms);
/* Adds an event of a target, for the current term and the target's current
 * incarnation. */
struct sim_event *sim_add_target_event(struct sim *sim,
                                       enum sim_event_kind kind,
                                       uint64_t at_ms,
                                       struct sim_target *target);
/* Applies a change to the fleet as if it were committed now. */
void sim_apply(struct sim *sim, const struct fp_schema *schema, void *record);
/* Increments a counter of struct sim_breaches; the first breach is described
 * as "TASK DESCRIPTION on PLACE". */
void sim_count_breach(struct sim *sim, uint32_t *count,
                      const char *description, const char *task,
                      const char *place);

/* simtarget.c */

/* Returns NULL if there is none. */
struct sim_target *sim_find_target(struct sim *sim, const char *id);
const struct fleet_step *sim_step_of(const struct sim_job *job,
                                     const struct fleet_task_id *task);
/* Answers a hold call in flight if there is an end to list. */
void sim_answer_hold(struct sim *sim, struct sim_target *target);
/* Handles SIM_START_ARRIVAL and SIM_STOP_ARRIVAL. */
void sim_on_order(struct sim *sim, struct sim_event *order);
/* Handles SIM_RUN_END and SIM_STOP_END. */
void sim_on_run_end(struct sim *sim, struct sim_event *event);
/* Checks the lease of a target from its end on. */
void sim_watch_lease(struct sim *sim, struct sim_target *target);
/* Disconnects a target from the leader until its cut_until_ms. */
void sim_cut_link(struct sim *sim, struct sim_target *target);
/* Handles SIM_LEASE_CHECK: ends all runs if the lease has expired. */
void sim_on_lease_check(struct sim *sim, struct sim_target *target);
/* All runs are lost. No effect if the target is down. */
void sim_crash_target(struct sim *sim, struct sim_target *target);
/* Changes the capacity of a target, in percent of its nominal one. */
void sim_set_capacity(struct sim *sim, struct sim_target *target,
                      uint32_t percent);
/* Handles SIM_TASK_CRASH. */
void sim_on_task_crash(struct sim *sim, struct sim_event *event);
/* Handles SIM_CAPACITY_CHANGE and SIM_LATE_ANNOUNCEMENT. */
void sim_announce_capacity(struct sim *sim, struct sim_event *event);
/* Starts a new incarnation of a target. */
void sim_boot_target(struct sim *sim, struct sim_target *target);
/* target: struct sim_target. */
void sim_free_target(void *target);

/* simlead.c */

/* A new leader takes over, with a new scheduler. */
void sim_begin_term(struct sim *sim);
/* The leader fails. No effect if there is none. */
void sim_end_term(struct sim *sim);
/* Callbacks that pass changes of the fleet's state to the scheduler. */
struct fleet_ops sim_fleet_ops(struct sim *sim);
/* Handles an event for the leader; ignored unless its term is the current one.
 */
void sim_on_leader_event(struct sim *sim, struct sim_event *event);
/* Whether the placement policy allows a step on a target. */
bool sim_is_granted(const struct sim *sim, const struct sim_job *job,
                    uint32_t step, const char *target);

#endif /* FP_SIMPRIV_H */
