/* simpriv.h -- what the files of the replay's world share
 *
 *   sim.c        the world: its events, its troubles, a whole play
 *   simtarget.c  targets: what runs on them, orders, ends
 *   simlead.c    a leader: its term, holds, the policy, what is committed
 */
#ifndef FP_SIMPRIV_H
#define FP_SIMPRIV_H

#include "bench/replay.h"

#define SIM_WAY_MS 1u          /* from the leader to a target, and back */
#define SIM_UNANSWERED_MS 900u /* an order without an answer is given up */
#define SIM_SILENT_MS 300u     /* until a target that is gone is noticed */
#define SIM_WALL_START_MS 1800000000000u
#define SIM_HOST "replay" /* of every queue */

enum sim_event_kind {
    SIM_ARRIVES,   /* a job */
    SIM_CANCELS,   /* its caller ends it */
    SIM_STARTS,    /* an order reaches its target */
    SIM_STOPS,     /* the same */
    SIM_STOPPED,   /* a stop has taken its time */
    SIM_ENDS,      /* a run is over by itself */
    SIM_STARTED,   /* the answer to a start */
    SIM_STOP_TOLD, /* the answer to a stop */
    SIM_LISTS,     /* a hold is answered */
    SIM_COMMITS,   /* ends that were listed are in the log */
    SIM_ADVISED,   /* the policy answers */
    SIM_SILENT,    /* a target is noticed to be gone */
    SIM_LOST,      /* its lease is over */
    SIM_ASKS,      /* a hold is sent after one that failed */
    SIM_LAPSES,    /* a target looks whether its lease is over */
    SIM_REMOVES,   /* a lost target is forgotten */
    SIM_ANNOUNCES, /* it tells of itself again */
    SIM_GONE,      /* a target is gone that had said it leaves */
    SIM_REVIVES,
    SIM_TROUBLE, /* a trouble of the load begins */
    SIM_LEADS,   /* a new leader begins its term */
    SIM_SAMPLES
};

struct sim_event {
    uint64_t at_ms;
    uint64_t number; /* ties go in order of making */
    enum sim_event_kind kind;
    uint32_t term; /* of the leader that it concerns; 0: of none */
    struct sim_job *job;
    struct sim_target *target;
    uint64_t born; /* incarnation that it concerns; 0: any */
    struct fleet_task_id task;
    uint32_t run;
    char checkpoint[FLEET_CHECKPOINT_BYTES];
    enum order_answer answer;
    bool silent;   /* an order or a question that is not answered */
    uint64_t upto; /* ends that are stored */
    const struct replay_event *trouble;
    GArray *tickets;     /* struct call_ticket, owned */
    struct fp_list ends; /* struct fleet_run_end, owned: a commit */
};

/* A run on a target. */
struct sim_run {
    struct fleet_task_id task;
    uint32_t run;
    uint64_t began_ms;
    uint64_t whole_ms; /* run time without a checkpoint, on this target */
    uint64_t saved_ms; /* of it, done before */
    uint64_t ends_ms;
    bool fails;
    bool stopping;
    const struct sim_job *job;
};

struct sim_ended {
    uint64_t number;
    struct fleet_run_end end;
};

struct sim_target {
    char id[FLEET_NAME_BYTES];
    struct fleet_target_rec rec;
    uint32_t speed_percent;
    bool up;
    uint32_t fence;
    GPtrArray *runs;     /* struct sim_run, owned */
    GHashTable *highest; /* task text to the highest run that is over */
    GArray *ended;       /* struct sim_ended, not acknowledged */
    uint64_t next_number;
    uint64_t slow_until_ms, fails_until_ms;
    uint32_t slow_percent;
    uint64_t cut_until_ms;
    bool cut_answers_only; /* orders still arrive */
    uint64_t lease_until_ms;
    bool removed; /* the fleet has forgotten it */
    /* The leader's side: */
    bool silent;               /* its last hold was not answered */
    uint64_t granted_until_ms; /* every lease is over by then */
    uint64_t stored;           /* ends up to this are in the log */
    bool listed;
    bool lost;
    bool committing;
    bool asked; /* a hold is out */
    uint64_t asked_ms;
};

struct sim {
    const struct replay_load *load;
    const struct plan_policy *policy;
    uint32_t seed;
    GRand *rand;
    GSequence *events;
    uint64_t next_event;
    uint64_t now_ms;
    struct fleet *fleet;
    struct plan *plan; /* NULL: nobody leads */
    uint32_t term;
    bool settled;
    GPtrArray *targets; /* struct sim_target */
    GHashTable *jobs;   /* &ID to struct sim_job */
    GHashTable *over;   /* text of tasks whose end as done was listed */
    uint32_t busy;      /* askers */
    uint64_t lossy_until_ms;
    uint32_t lossy_permille;
    uint32_t open; /* jobs that are not over */
    struct sim_result *result;
};

/* sim.c */
struct sim_event *sim_add_event(struct sim *sim, enum sim_event_kind kind,
                                uint64_t at_ms);
/* One that concerns this incarnation of a target and this term. */
struct sim_event *sim_add_target_event(struct sim *sim,
                                       enum sim_event_kind kind,
                                       uint64_t at_ms,
                                       struct sim_target *target);
/* Applies a change as if it were committed now. */
void sim_apply(struct sim *sim, const struct fp_schema *schema, void *record);
/* Counts something that must never happen. */
void sim_breach(struct sim *sim, uint32_t *count, const char *what,
                const char *task, const char *where);

/* simtarget.c */
struct sim_target *sim_find_target(struct sim *sim, const char *id);
const struct fleet_step *sim_step_of(const struct sim_job *job,
                                     const struct fleet_task_id *task);
/* A hold that is out is answered when there is an end to list. */
void sim_answer_hold(struct sim *sim, struct sim_target *target);
/* An order arrives: SIM_STARTS or SIM_STOPS. */
void sim_on_order(struct sim *sim, struct sim_event *order);
/* A run is over: SIM_ENDS or SIM_STOPPED. */
void sim_on_over(struct sim *sim, struct sim_event *event);
/* Its link is cut until its cut_until_ms. */
void sim_cut(struct sim *sim, struct sim_target *target);
/* Ends what runs when the lease is over: SIM_LAPSES. */
void sim_on_lapse(struct sim *sim, struct sim_target *target);
void sim_crash(struct sim *sim, struct sim_target *target);
void sim_revive(struct sim *sim, struct sim_target *target);
void sim_free_target(void *target);

/* simlead.c */
void sim_begin_term(struct sim *sim);
void sim_end_term(struct sim *sim);
/* Tells the plan of the state's changes. */
struct fleet_ops sim_fleet_ops(struct sim *sim);
/* An event that only the leader of its term acts on. */
void sim_act_as_leader(struct sim *sim, struct sim_event *event);
/* Whether the policy lets a step run on a target. */
bool sim_is_granted(const struct sim *sim, const struct sim_job *job,
                    uint32_t step, const char *target);

#endif /* FP_SIMPRIV_H */
