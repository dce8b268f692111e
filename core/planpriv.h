/* planpriv.h -- what the files of the plan share */
#ifndef FP_PLANPRIV_H
#define FP_PLANPRIV_H

#include "core/plan.h"

enum run_state {
    RUN_STARTING, /* ordered, not answered */
    RUN_ACTIVE,   /* the target has it */
    RUN_STOPPING, /* its stop was ordered */
    RUN_UNSURE    /* may run or not; its stop is ordered until that is clear */
};

/* One run of one task on one target. */
struct plan_run {
    struct plan_step *step;  /* NULL: of a job that is not known */
    struct fleet_team *team; /* NULL: none pays */
    struct fleet_task_id task;
    uint32_t number; /* of the task in its job */
    uint32_t run;
    struct plan_target *target;
    enum run_state state;
    struct fleet_resources size;
    uint64_t ordered_ms;
    uint64_t active_ms;   /* when the target confirmed it; 0: not yet */
    uint64_t expected_ms; /* when it should end */
    uint64_t stop_ms;     /* when its stop was last ordered */
    uint64_t stopped_ms;  /* when its stop was confirmed; 0: not yet */
    uint32_t percent;
    uint32_t load;
    uint32_t pace;    /* percent that was last ordered */
    uint64_t seen_ms; /* last listed by its target */
    bool unanswered;  /* a copy of its start order may still be on its way */
    bool detached;    /* its task may have another run: copies are allowed */
};

/* The targets of one service taken together. */
struct plan_pool {
    char service[FLEET_NAME_BYTES];
    struct fleet_resources size; /* of usable targets; set by each pass */
    struct fleet_resources used; /* the same */
    uint32_t untold; /* targets that have not told what runs there */
    struct fleet_resources tight; /* by runs of work with little slack */
    struct fleet_resources peak;  /* of tight, decaying */
    uint64_t decayed_ms;          /* when peak last decayed */
};

struct plan_target {
    struct fleet_target *target;
    struct plan_pool *pool;
    struct fleet_resources size;
    struct fleet_resources used;
    struct fleet_resources held; /* kept free for step held_for */
    struct plan_step *held_for;
    uint64_t held_from_ms;  /* when its tasks should start */
    uint64_t held_until_ms; /* when the hold is given up */
    bool usable;
    bool told;           /* has listed its runs, or surely has none */
    uint64_t leaves_ms;  /* may be gone from then on; 0: it is not leaving */
    bool evacuated;      /* what would be lost there was stopped */
    uint64_t shunned_ms; /* no starts before this */
    uint32_t failed_row; /* failures in a row */
    uint32_t slow_permille; /* smoothed run time against the estimate */
    uint32_t serving;       /* runs that bound their tail */
    GPtrArray *runs;        /* struct plan_run, owned */
};

/* What the policy said of one target for one step. */
enum policy_word {
    POLICY_ASKED,   /* no answer yet */
    POLICY_REFUSED, /* it may not run the step, ever */
    POLICY_GRANTED  /* it may, with a ticket that is good for a while */
};

struct plan_ticket {
    struct plan_target *target; /* NULL: gone */
    enum policy_word word;
    char ticket[FLEET_TICKET_BYTES];
    uint64_t until_ms; /* 0: no good ticket */
};

/* A step of one occurrence of a job. */
struct plan_step {
    struct plan_job *job;
    const struct fleet_step *def;
    uint32_t occurrence;
    uint32_t index;
    uint32_t first;    /* number of its first task */
    uint32_t left;     /* tasks not done */
    uint32_t idle;     /* tasks neither done nor in a run */
    uint64_t due_ms;   /* not before (wall clock); 0: at once */
    bool listed;       /* in plan->open */
    bool coming;       /* in plan->coming */
    const char *why;   /* why it waits, as of the last pass */
    uint64_t open_ms;  /* when it was listed */
    uint64_t told_ms;  /* when its wait was last logged */
    uint64_t mixed_ms; /* a gang that is neither whole nor idle, since */
    bool asking;
    uint64_t ends_ms; /* when the last of its runs should end */
    bool advised;     /* tickets holds the policy's choice */
    uint64_t ask_after_ms;
    uint32_t ask_failures; /* in a row; each doubles the patience */
    GArray *tickets;       /* struct plan_ticket */
    uint64_t order_key[3]; /* set by planorder.c, smallest first */
    uint64_t start_by_ms;  /* to be on time; set with order_key */
};

struct plan_task {
    bool done;
    uint32_t failures; /* that are known here, committed or not */
    uint32_t failed_run;
    const struct plan_target *failed_on; /* for comparison only */
    uint32_t runs;                       /* not ended */
    uint32_t copies;                     /* runs, those of copies included */
    uint32_t next_run;                   /* number of the next start */
    uint64_t after_ms;                   /* no start before */
    char *checkpoint;                    /* newest seen */
};

struct plan_job {
    struct fleet_job *job;
    struct plan_pool *pool; /* of the service that runs it */
    bool inherited;
    bool started;
    bool ended; /* in the fleet's state: its runs are stopped */
    uint64_t taken_ms;
    uint32_t chain_ms;       /* longest chain of run times and questions */
    uint32_t objective_ms;   /* on time until taken_ms plus this */
    bool tight;              /* little slack: it must start at once */
    struct plan_step *steps; /* by occurrence, then step */
    uint32_t step_count;
    struct plan_task *tasks;
};

struct plan {
    struct fleet *fleet;
    struct plan_params params;
    struct plan_ops ops;
    struct plan_counters counters;
    GPtrArray *open;    /* struct plan_step with idle tasks and no blockers */
    GPtrArray *coming;  /* struct plan_step that the steps before it, all
                         * running, will open */
    GPtrArray *targets; /* struct plan_target */
    GHashTable *pools;  /* service to struct plan_pool */
    struct fleet_resources untold; /* room of targets that have not told what
                                    * runs there; set by each pass */
    int64_t wall_offset_ms;        /* wall clock less monotonic clock */
    uint64_t now_ms;               /* of the last pass */
    bool no_long_asker; /* in this pass: nobody is free for long questions */
    bool no_asker;      /* and nobody at all */
    bool settled;
    bool dirty;
    uint64_t passed_ms; /* when the last pass was */
    uint64_t next_ms;   /* a pass is needed then, be it that nothing changed */
};

/* planrun.c */
struct plan_step *plan_step_of(const struct plan_job *job,
                               const struct fleet_task_id *name);
/* Lists the steps that may open after this one. */
void plan_list_followers(struct plan *plan, struct plan_step *step);
/* Counts a run on its target, its team and its task; step NULL: no step of a
 * job that is planned. */
struct plan_run *plan_add_run(struct plan *plan, struct plan_target *target,
                              struct plan_step *step,
                              const struct fleet_task_id *task,
                              uint32_t number);
/* Keeps a checkpoint of a task, or for its whole gang. */
void plan_set_checkpoint(struct plan_step *step, uint32_t number,
                         const char *checkpoint);
bool plan_is_blocked(const struct plan_step *step);
void plan_list_step(struct plan *plan, struct plan_step *step);
struct plan_run *plan_find_run(const struct plan_target *target,
                               const struct fleet_task_id *task, uint32_t run);
void plan_note_started(struct plan_job *job);
void plan_free_task(struct plan *plan, struct plan_step *step,
                    struct plan_task *task);
void plan_detach_copy(struct plan *plan, struct plan_run *run);
void plan_drop_run(struct plan *plan, struct plan_run *run);
void plan_stop_task(struct plan *plan, const struct plan_step *step,
                    uint32_t number, uint64_t now_ms);
void plan_stop_gang(struct plan *plan, const struct plan_step *step,
                    uint32_t number, uint64_t now_ms);
void plan_add_size(struct fleet_resources *to,
                   const struct fleet_resources *size);
void plan_take_size(struct fleet_resources *from,
                    const struct fleet_resources *size);
bool plan_start_run(struct plan *plan, struct plan_step *step, uint32_t index,
                    uint32_t run, struct plan_target *target,
                    const char *ticket, uint64_t now_ms);
void plan_evacuate(struct plan *plan, struct plan_target *on, uint64_t now_ms);
void plan_order_stop(struct plan *plan, struct plan_run *run, const char *why,
                     uint64_t now_ms);
struct fleet_resources plan_task_size(const struct fleet_step *def);

/* planorder.c */
uint32_t plan_chain_ms(const struct fleet_submit *submit,
                       const struct fleet_queue_conf *queue);
uint32_t plan_objective_ms(uint32_t chain_ms,
                           const struct fleet_queue_conf *queue);
void plan_sort_open(struct plan *plan, uint64_t now_ms);
void plan_count_pools(struct plan *plan, uint64_t now_ms);
bool plan_leaves_reserve(const struct plan *plan, const struct plan_step *step,
                         const struct fleet_resources *size);

/* planhold.c */
bool plan_is_held_from(const struct plan_target *target,
                       const struct plan_step *step, uint64_t now_ms);
void plan_hold_room(struct plan *plan, struct plan_step *step,
                    const struct fleet_resources *size, uint64_t now_ms);
void plan_release_held(struct plan *plan, const struct plan_step *step);

/* planfit.c */
/* How many tasks of one size a target has room for beside what is used. */
uint64_t plan_times_in(const struct plan_target *target,
                       const struct fleet_resources *used,
                       const struct fleet_resources *each);
bool plan_fits(const struct plan_target *target,
               const struct fleet_resources *size,
               const struct plan_step *step, uint64_t now_ms);
bool plan_may_ever_fit(const struct plan_target *target,
                       const struct plan_step *step);
void plan_place_step(struct plan *plan, struct plan_step *step,
                     uint64_t now_ms);

/* planticket.c */
bool plan_needs_ticket(const struct plan_step *step);
const char *plan_ticket_for(const struct plan_step *step,
                            const struct plan_target *target, uint64_t now_ms);
bool plan_was_granted(const struct plan_step *step,
                      const struct plan_target *target);
void plan_drop_ticket(struct plan_step *step,
                      const struct plan_target *target);
void plan_ask(struct plan *plan, struct plan_step *step, uint64_t now_ms);

#endif /* FP_PLANPRIV_H */
