/* planpriv.h -- internals shared by the plan*.c files */
#ifndef FP_PLANPRIV_H
#define FP_PLANPRIV_H

#include "core/plan.h"
#include "core/planspeed.h"

enum run_state {
    RUN_STARTING, /* ordered, not answered */
    RUN_ACTIVE,   /* confirmed by the target */
    RUN_STOPPING, /* was active; its stop was ordered */
    RUN_UNKNOWN   /* may run or not; its stop is ordered until that is known */
};

/* One run of one task on one target. */
struct plan_run {
    struct plan_step *step;  /* NULL: its job is unknown or not planned */
    struct fleet_team *team; /* whose limit it counts against; NULL: none */
    struct fleet_task_id task;
    uint32_t task_number; /* of the task in its job */
    uint32_t run_number;
    struct plan_target *target;
    GList job_link; /* in the job's list of runs; data NULL: in none */
    enum run_state state;
    struct fleet_resources size;
    uint64_t ordered_ms;
    uint64_t active_since_ms;   /* when the target confirmed it; 0: not yet */
    uint64_t expected_end_ms;   /* by estimate */
    uint64_t stop_ordered_ms;   /* when its stop was last ordered; 0: never */
    uint64_t stop_confirmed_ms; /* when the target confirmed its stop; 0: not
                                 * yet */
    uint32_t percent;           /* see struct plan_listed_run */
    uint32_t load;              /* see struct plan_listed_run */
    uint32_t pace; /* ordered speed, percent of the full speed; 100: full */
    uint64_t last_listed_ms; /* when its target last listed it; 0: never */
    bool start_in_flight;    /* a copy of its start order may still arrive */
    bool detached;      /* its task may have another run (def->duplicates) */
    bool is_copy;       /* started while its task had another run */
    bool is_inherited;  /* started before this term, at an unknown time */
    bool is_trial;      /* nothing else had just started on its target */
    bool is_open_crash; /* counted in its task's open_crashes */
    bool is_judged;     /* the crash of its target was counted */
    bool is_whole;      /* ordered in this term, not from a checkpoint */
    bool start_resent;  /* the first copy of its start order may still be
                         * carried out, by a later incarnation as well */
    uint64_t awaits_list_ms; /* when its target was started again: the list
                              * of that incarnation shows whether the run has
                              * ended; 0: it was not */
};

/* Targets of one service with the same labels, but for the rack, and the same
 * capacity. */
struct plan_kind {
    char labels[FLEET_LABELS_BYTES];
    struct fleet_resources capacity;
    struct plan_speed speed;
};

/* All targets of one service. */
struct plan_pool {
    char service[FLEET_NAME_BYTES];
    GPtrArray *targets;              /* struct plan_target */
    GPtrArray *kinds;                /* struct plan_kind, owned */
    const struct plan *plan;         /* that it belongs to */
    struct fleet_resources capacity; /* of usable targets; set by each pass */
    struct fleet_resources used;     /* on usable targets; each pass recounts
                                      * it */
    uint32_t unlisted_targets;       /* targets on which any work that was
                                      * sent to the service may run */
    struct plan_job *overdue_job; /* whose turn it is, see planorder.c; set by
                                   * each pass; NULL: none */
    bool most_are_failing; /* set by each pass: runs failed on most of the
                            * targets, which is due to the work */
    struct fleet_resources tight_used; /* by runs of tight jobs */
    struct fleet_resources tight_peak; /* decaying peak of tight_used */
    uint64_t peak_decayed_ms;          /* when tight_peak last decayed */
};

struct plan_target {
    struct fleet_target *target; /* not valid once it is removed */
    uint32_t references;         /* of the plan and of tickets */
    bool removed;                /* kept only for the tickets that name it */
    uint64_t mark;               /* see plan->mark */
    struct plan_pool *pool;
    struct fleet_resources capacity;
    struct fleet_resources used;
    struct fleet_resources reserved; /* kept free for reserved_for */
    struct plan_step *reserved_for;
    uint64_t reserved_from_ms;  /* when the step should start */
    uint64_t reserved_until_ms; /* when the reservation expires */
    bool usable;                /* see plan_set_target_usable() */
    uint64_t alive_ms;  /* when it last answered an order; 0: not yet */
    uint64_t silent_ms; /* when it first did not answer; 0: it answers */
    bool closed;        /* it then ended the connection */
    uint64_t silence;   /* number of its entry in plan->silences */
    struct plan_job *trial_job; /* its suspected tasks start here, apart from
                                 * other starts; NULL: none */
    uint64_t trial_until_ms;
    bool runs_known;    /* has listed its runs, or certainly has none */
    uint64_t leaves_ms; /* may be gone from then on; 0: it is not leaving */
    bool evacuated;     /* the runs that would be lost there were stopped */
    bool departed;      /* as of its record, when that last changed */
    bool in_evacuation; /* its data centre is evacuated */
    uint64_t cold_until_ms;    /* slow after its start; 0: it is not */
    uint64_t last_start_ms;    /* when a start was last ordered; 0: never */
    uint64_t backoff_until_ms; /* no starts before this */
    uint64_t failing_until_ms; /* the same, as its runs failed; unless those of
                                * most targets do */
    uint32_t failures_in_row;  /* failed runs since the last success */
    uint32_t slowdown_permille; /* smoothed run time, of the estimate; without
                                 * learns_speeds of the policy */
    struct plan_speed speed;    /* with it */
    struct plan_kind *kind;     /* NULL: none of its own */
    uint32_t serving_runs;      /* runs with a bound on their tail latency */
    uint32_t members;           /* of the gang that is being placed */
    GPtrArray *runs;            /* struct plan_run, owned */
};

/* The placement policy's answer on one target for one step. */
enum plan_ticket_state {
    TICKET_PENDING, /* no answer yet */
    TICKET_REFUSED, /* the target may not run the step */
    TICKET_GRANTED  /* it may, with a ticket that is valid for a while */
};

struct plan_ticket {
    struct plan_target *target; /* a reference; it may be removed */
    enum plan_ticket_state state;
    bool doubtful; /* refused by an answer that was not all read */
    bool used;     /* a start was ordered with the ticket */
    char *ticket;  /* NULL until one is granted */
    union {
        uint64_t valid_until_ms;   /* granted; 0: no valid ticket */
        uint64_t refused_until_ms; /* refused; then it may be named again */
    };
};

/* Classes of steps in scheduling order; by PLAN_POLICY_FIFO all steps are in
 * the first one. */
enum plan_class {
    CLASS_LASTING, /* long-running services, whose users are waiting */
    CLASS_IN_TIME, /* can still meet its objective */
    CLASS_LATE,
    CLASS_EXPIRED,     /* too late to have any value */
    CLASS_BEYOND_SHARE /* added to the class of work beyond its team's rate */
};

/* A step of one occurrence of a job. */
struct plan_step {
    struct plan_job *job;
    const struct fleet_step *def;
    uint32_t occurrence;
    uint32_t index;
    uint32_t first_task;       /* number of its first task in the job */
    uint32_t unfinished;       /* tasks not done */
    uint32_t pending;          /* tasks neither done nor in a run */
    uint64_t due_ms;           /* not before (wall clock); 0: at once */
    bool is_open;              /* in plan->open_steps */
    bool is_upcoming;          /* in plan->upcoming_steps */
    const char *wait_reason;   /* for the log; set by the last pass */
    uint64_t opened_ms;        /* when it was put into plan->open_steps */
    uint64_t wait_logged_ms;   /* when its wait was last logged */
    uint64_t partial_since_ms; /* of a gang: only some members have a run;
                                * 0: all or none have */
    bool query_in_flight;
    bool query_blocked;       /* no policy client was free in the last pass */
    uint64_t query_sent_ms;   /* when its last query was sent; 0: none was */
    uint64_t expected_end_ms; /* when its last run should end */
    uint32_t ended_runs;      /* learned by plancopy.c */
    uint32_t ended_permille;  /* sum of their run times, of the estimate */
    bool is_trial;            /* its starts are trials; set before placement */
    uint64_t next_query_ms;   /* no policy query before this */
    uint64_t all_named_until_ms; /* no further target to name before this */
    uint64_t ahead_ms;           /* no renewal ahead of need before this */
    uint32_t ahead_queries;      /* in a row */
    uint32_t renewals;           /* in a row, none of which led to a start */
    uint64_t unserved_since_ms;  /* when it first got no turn at the policy
                                  * since its last query; 0: it has not */
    uint32_t unread_answers;  /* in a row, with entries that were unreadable */
    GArray *tickets;          /* struct plan_ticket; NULL: none */
    GHashTable *ticket_index; /* struct plan_target to its index in tickets,
                               * plus 1 */
    uint32_t reserved_targets; /* targets with capacity reserved for it */
    uint64_t typical_run_ms;   /* median of its tasks; 0: not known yet */
    GArray *ends;              /* struct step_end of planspeed.c; NULL: none */
    uint64_t remaining_ms;     /* see remaining_run_ms() in planorder.c */
    uint64_t sort_key[3];      /* set by planorder.c, smallest first; [0] is
                                * an enum plan_class */
    bool is_sorted;            /* in its place in plan->open_steps */
    uint64_t latest_start_ms;  /* to meet the objective; set with sort_key */
};

struct plan_task {
    bool done;
    struct failures failures; /* failed runs, committed to the log or not */
    const struct plan_target *failed_on; /* for comparison only */
    uint32_t runs;   /* runs not ended, without detached ones */
    uint32_t copies; /* runs not ended, detached ones included */
    uint32_t next_run_number;
    struct crashes *crashes; /* committed to the log or not; NULL: none */
    uint32_t open_crashes;   /* runs that may have crashed targets that do not
                              * answer now */
    uint64_t not_before_ms;  /* no start before this */
    bool in_review;          /* in plan->reviews */
    char *checkpoint;        /* latest known; NULL: none */
};

struct plan_job {
    struct fleet_job *job;
    struct plan_pool *pool;    /* of the service that runs it */
    bool inherited;            /* accepted before this term */
    bool started;              /* no longer counted in queue->waiting */
    bool ended;                /* in the fleet's state: its runs are stopped */
    uint64_t accepted_ms;      /* if inherited: by the wall clock, or when the
                                * term began; see keeps_accepted */
    uint32_t critical_path_ms; /* run times plus policy queries */
    uint32_t objective_ms;     /* time objective, counted from accepted_ms
                                * or, if set, from the due_ms of a step */
    bool tight;                /* little slack: it must start at once */
    uint32_t turns;            /* at the head of its service, being overdue */
    uint64_t turn_until_ms;    /* end of the last one */
    struct plan_step *steps;   /* by occurrence, then step */
    bool has_crashes;          /* a task has or had crashes or open_crashes */
    bool has_failures;         /* a task has failures */
    uint64_t next_report_ms;   /* no report of a task that has used up its
                                * attempts before this; 0: there was none */
    uint32_t step_count;
    struct plan_task *tasks;
    GQueue runs;        /* struct plan_run of its steps, by their job_link */
    uint64_t held_mark; /* see plan->held_mark */
    bool released;      /* reported to on_job_released */
};

/* A target that stopped answering. */
struct plan_silence {
    uint64_t number;
    uint64_t at_ms;
    const struct plan_pool *pool;
    char rack[FLEET_NAME_BYTES];
    bool closed;            /* it ended its connections */
    uint32_t common_weight; /* see common_weight() in plancrash.c */
    bool answered;          /* the same incarnation answered again */
};

struct plan {
    struct fleet *fleet;
    struct plan_params params;
    struct plan_ops ops;
    struct plan_counters counters;
    GPtrArray *open_steps;     /* struct plan_step with pending tasks, whose
                                * predecessors are done */
    GPtrArray *upcoming_steps; /* struct plan_step whose predecessors all run
                                * or are done; their tickets are requested
                                * ahead */
    GPtrArray *querying_steps; /* struct plan_step; see plan_want_query() */
    GPtrArray *targets;        /* struct plan_target */
    GHashTable *pools;         /* service to struct plan_pool */
    GHashTable *queue_ratios;  /* struct fleet_queue to struct plan_speed: run
                                * times, of the estimates */
    GArray *silences; /* struct plan_silence of the last seconds, by time */
    uint64_t last_silence;      /* number of the last one */
    struct plan_copies *copies; /* see plancopy.c */
    GPtrArray *ended_jobs;      /* struct plan_job that may have runs left */
    struct fp_list evidence;    /* struct fleet_task_crash to be stored */
    GArray *reviews;            /* see planattempts.c: tasks that may have used
                                 * up their attempts */
    struct fleet_resources unlisted_capacity; /* of targets whose runs are not
                                               * known yet; set by each pass */
    uint32_t unlisted_targets;                /* their number */
    uint32_t unlocated_targets; /* of them, on which any work may run */
    uint32_t unlocated_of_any;  /* of these, that may run work of any service
                                 */
    int64_t wall_offset_ms;     /* wall clock less monotonic clock */
    uint64_t now_ms;            /* of the last call of plan_pass() */
    bool long_queries_blocked;  /* in this pass: no policy client is free for
                                 * long queries */
    bool queries_blocked;       /* in this pass: no policy client is free
                                 * at all */
    uint64_t starved_turn_ms;   /* no turn out of order before this */
    uint64_t turn_refused_ms;   /* when there was last none for a query that
                                 * was of use at once */
    bool has_cold;              /* a target may be cold */
    uint64_t next_move_ms;      /* see planevac.c */
    bool reconciled;
    uint64_t held_mark; /* of the jobs that have held tasks now */
    uint64_t mark;      /* of the last set of marked targets; see
                         * mark_named_targets() in planticket.c */
    bool dirty;         /* something changed since the last pass */
    uint64_t last_pass_ms;
    uint64_t next_pass_ms; /* when to run a pass even if nothing changed */
};

/* planrun.c */

/* Returns NULL when the job has no such step. */
struct plan_step *plan_find_step(const struct plan_job *job,
                                 const struct fleet_task_id *id);
/* Opens the later steps of the occurrence that are no longer blocked, and
 * marks those whose predecessors all run as upcoming. */
void plan_open_successors(struct plan *plan, struct plan_step *step);
/* Takes a run off its job's list; the run belongs to no step from then on. */
void plan_unlink_run(struct plan_run *run);
/* Adds a run and counts it on its target, its team and its task. step NULL:
 * no step of a planned job. */
struct plan_run *plan_add_run(struct plan *plan, struct plan_target *target,
                              struct plan_step *step,
                              const struct fleet_task_id *task,
                              uint32_t task_number);
/* Stores a checkpoint of a task, for all members if it is of a gang. */
void plan_set_checkpoint(struct plan_step *step, uint32_t task_number,
                         const char *checkpoint);
/* Whether a predecessor of the step is not done. */
bool plan_is_blocked(const struct plan_step *step);
/* Puts a step into plan->open_steps if it can start tasks. */
void plan_open_step(struct plan *plan, struct plan_step *step);
/* Returns NULL when the target has no such run. */
struct plan_run *plan_find_run(const struct plan_target *target,
                               const struct fleet_task_id *task,
                               uint32_t run_number);
void plan_mark_started(struct plan_job *job);
void plan_release_task(struct plan *plan, struct plan_step *step,
                       struct plan_task *task);
void plan_detach_run(struct plan *plan, struct plan_run *run);
void plan_remove_run(struct plan *plan, struct plan_run *run);
/* Stops all runs of a task. */
void plan_stop_task(struct plan *plan, const struct plan_step *step,
                    uint32_t task_number, uint64_t now_ms);
/* Stops all runs of a gang. */
void plan_stop_gang(struct plan *plan, const struct plan_step *step,
                    uint32_t run_number, const char *reason, uint64_t now_ms);
/* One of its members has ended or cannot start. */
#define PLAN_PARTIAL_GANG_REASON "its gang is not whole"
void plan_add_size(struct fleet_resources *to,
                   const struct fleet_resources *size);
/* Subtracts; no field falls below 0. */
void plan_subtract_size(struct fleet_resources *from,
                        const struct fleet_resources *size);
/* Orders the start of a run of the step's task with this index. */
bool plan_start_run(struct plan *plan, struct plan_step *step, uint32_t index,
                    uint32_t run_number, struct plan_target *target,
                    const char *ticket, uint64_t now_ms);
void plan_evacuate_target(struct plan *plan, struct plan_target *ptarget,
                          uint64_t now_ms);
void plan_order_stop(struct plan *plan, struct plan_run *run,
                     const char *reason, uint64_t now_ms);
/* Capacity that a run of a task occupies. */
struct fleet_resources plan_task_size(const struct fleet_step *def);

/* plan.c */

/* Whether the occurrence is due. */
bool plan_is_due(const struct plan *plan, const struct plan_step *step,
                 uint64_t now_ms);
/* Removes a run that cannot go on, as its target was lost or started again. */
void plan_drop_lost_run(struct plan *plan, struct plan_run *run,
                        uint64_t now_ms);
#define PLAN_RESTARTED_REASON "its target was started again"
/* Whether a job with these times has little slack. */
bool plan_is_tight(uint32_t objective_ms, uint32_t critical_path_ms);

/* planorder.c */

/* Of the recent peak of tight work, kept free beside what is used. */
#define PLAN_HEADROOM_PERCENT 70u
uint32_t plan_critical_path_ms(const struct fleet_submit *submit,
                               const struct fleet_queue_conf *queue);
uint32_t plan_objective_ms(uint32_t critical_path_ms,
                           const struct fleet_queue_conf *queue);
void plan_sort_open_steps(struct plan *plan, uint64_t now_ms);
/* Returns less than 0 if a goes before b, 0 if they are equal. */
int plan_compare_keys(const uint64_t a[3], const uint64_t b[3]);
/* The class of a sort key, without CLASS_BEYOND_SHARE. */
enum plan_class plan_class_of(const uint64_t key[3]);
/* Sums up the capacity of each pool, and decays its peak of tight work. */
void plan_update_pools(struct plan *plan, uint64_t now_ms);
/* Whether the pool keeps its headroom for tight work if size is used. */
bool plan_leaves_headroom(const struct plan *plan,
                          const struct plan_step *step,
                          const struct fleet_resources *size);

/* planage.c */

/* A result later than this many objectives has no value to the client. */
#define PLAN_EXPIRY_FACTOR 3u

/* When the time allowed by the objective begins: at the due time of an
 * occurrence, so that it is not late because its job was submitted long ago;
 * for other jobs when the job was accepted. due_ms: wall clock. */
uint64_t plan_objective_start_ms(const struct plan *plan, uint64_t due_ms,
                                 uint64_t accepted_ms);
/* When an inherited job was accepted, on this host's monotonic clock. Wall
 * clocks of hosts differ a little: none is in the future. One that is far
 * ahead of the last change is not believed. */
uint64_t plan_inherited_since_ms(const struct plan *plan,
                                 const struct fleet_job *job, uint64_t now_ms);
/* Sets overdue_job of each pool. */
void plan_survey_open_steps(struct plan *plan, uint64_t now_ms);

/* planinherit.c */

/* Counts the targets that have not listed their runs, and what may run there.
 */
void plan_survey_unlisted(struct plan *plan);
/* Whether a task of the job may run on a target that has not listed its runs:
 * none of its tasks starts. */
bool plan_is_held(const struct plan *plan, const struct plan_job *job);
/* The same for a step that is about to start tasks, with its report: sets
 * wait_reason, or reports once that its job is released. */
bool plan_hold_step(const struct plan *plan, struct plan_step *step);
uint32_t plan_count_held_jobs(const struct plan *plan);

/* planhold.c */

/* Whether capacity of the target is reserved for another step, and this one
 * would not be done before that starts. */
bool plan_is_reserved_for_other(const struct plan_target *target,
                                const struct plan_step *step, uint64_t now_ms);
/* Whether less than half of a service is in use: nothing should wait for long
 * there. */
bool plan_is_little_used(const struct plan_pool *pool);
void plan_reserve_capacity(struct plan *plan, struct plan_step *step,
                           const struct fleet_resources *size,
                           uint64_t now_ms);
/* Ends the reservation of one target, if there is one. */
void plan_clear_reservation(struct plan_target *target);
/* The capacity or the labels of a target have changed: ends a reservation that
 * is not kept by it, on all of its targets, so that the step may reserve
 * elsewhere. */
void plan_check_reservation(struct plan *plan, struct plan_target *target);
/* Ends all reservations of a step. */
void plan_release_reservation(struct plan *plan, const struct plan_step *step);

/* plancrash.c */

/* Records that the target answered an order. */
void plan_target_answers(struct plan_target *target, uint64_t now_ms);
/* The silent target answers again, as the same incarnation. */
void plan_end_silence(struct plan *plan, struct plan_target *target);
/* A start of the run broke the connection. */
void plan_suspect_run(struct plan *plan, struct plan_run *run,
                      uint64_t now_ms);
/* The run is removed or its target answers again. */
void plan_unsuspect_run(struct plan *plan, struct plan_run *run);
/* Judges the runs of a lost target and reports them, before they are removed.
 */
void plan_judge_crash(struct plan *plan, struct plan_target *target,
                      enum plan_loss loss, uint64_t now_ms);
/* The run was listed in an answer to a request of requested_ms, or has ended:
 * clears its task if that shows that it did not crash its target. */
void plan_clear_survivor(struct plan *plan, const struct plan_run *run,
                         uint64_t requested_ms);
void plan_clear_task(struct plan *plan, struct plan_step *step,
                     const struct fleet_task_id *id, uint32_t run_number);
/* Whether a start of the task would not be one too many. */
bool plan_may_crash_again(const struct plan_task *task);
/* Whether a task of the step that is not done is suspected. */
bool plan_is_step_suspected(const struct plan_step *step);
/* Whether the target takes starts of the step as far as trials go: others keep
 * away from a trial, and a trial from runs that were just started. */
bool plan_is_apart(const struct plan_target *target,
                   const struct plan_step *step, uint64_t now_ms);
/* A suspected task of the step starts, or will start, on the target. */
void plan_begin_trial(struct plan_target *target, struct plan_step *step,
                      uint64_t now_ms);
/* Ends the trials of a job that is removed. */
void plan_end_trials(struct plan *plan, const struct plan_job *job);
/* Passes new evidence on to be stored. */
void plan_store_evidence(struct plan *plan);

/* planteam.c */

/* Whether so many tasks of the step may start, as far as its team's limits go.
 */
bool plan_team_allows(const struct plan *plan, const struct plan_step *step,
                      uint32_t count);
/* Whether all of the step may ever run at once, if it is a gang. team may be
 * NULL. */
bool plan_fits_team(const struct fleet_team *team,
                    const struct fleet_step *def);
/* Why plan_team_allows() is false. */
const char *plan_team_reason(const struct plan_step *step);
/* Decides for which step other work of each team is held back. */
void plan_survey_teams(struct plan *plan, uint64_t now_ms);

/* planattempts.c */

GArray *plan_reviews_new(void);
/* Whether so many more runs of a task may fail within its queue's limit. */
bool plan_has_attempts(const struct plan_step *step, uint32_t task_number,
                       uint32_t runs);
/* Looks at a task in the next pass if its attempts are used up. Call when it
 * has lost a run. */
void plan_review_attempts(struct plan *plan, struct plan_step *step,
                          uint32_t task_number);
/* The same for all tasks of a job. Call when its limit may have changed. */
void plan_review_job_attempts(struct plan *plan, struct plan_job *job);
/* Reports tasks that have used up their attempts and have no run, so that
 * their jobs fail. */
void plan_give_up_tasks(struct plan *plan, uint64_t now_ms);

/* planevac.c */

/* Whether the target may get starts, queries and reservations. */
static inline bool
plan_takes_starts(const struct plan_target *target)
{
    return target->usable && !target->target->rec.leaving &&
           !target->target->rec.departed && !target->in_evacuation;
}

/* Takes over what a target's announcement says of its data centre, and whether
 * it is cold. */
void plan_update_place(struct plan *plan, struct plan_target *target);
/* Updates until when targets are cold. */
void plan_update_cold(struct plan *plan, uint64_t now_ms);
/* Moves runs that would go on for long out of evacuated data centres. */
void plan_move_evacuated_runs(struct plan *plan, uint64_t now_ms);
/* Whether the step's service has targets, and all of them are in evacuated
 * data centres. */
bool plan_is_all_evacuated(const struct plan_step *step);
/* Whether a target that is still cold has had its share of starts, as far as
 * the step goes. */
bool plan_is_too_cold(const struct plan_target *target,
                      const struct plan_step *step, uint64_t now_ms);
/* Added to the cost of a placement. */
uint64_t plan_cold_cost(const struct plan_target *target, uint64_t now_ms);

/* planfit.c */

/* How many tasks of one size a target has capacity for beside what is used. */
uint64_t plan_count_fitting(const struct plan_target *target,
                            const struct fleet_resources *used,
                            const struct fleet_resources *each);
/* Whether a task of the step can start on the target now. */
bool plan_fits(const struct plan_target *target,
               const struct fleet_resources *size,
               const struct plan_step *step, uint64_t now_ms);
/* Whether a task of this kind could start on the target if that were empty and
 * in the right service. */
bool plan_could_hold(const struct plan_target *target,
                     const struct fleet_step *def);
/* Whether a task of the step could start on the target if that were empty. */
bool plan_could_fit(const struct plan_target *target,
                    const struct plan_step *step);
/* Starts as many tasks of the step as possible. */
void plan_place_step(struct plan *plan, struct plan_step *step,
                     uint64_t now_ms);

/* Drops a reference; the last one frees the target. */
void plan_unref_target(struct plan_target *target);

/* planticket.c */
void plan_free_tickets(struct plan_step *step);
bool plan_needs_ticket(const struct plan_step *step);
/* Returns NULL when there is no valid ticket. */
const char *plan_valid_ticket(const struct plan_step *step,
                              const struct plan_target *target,
                              uint64_t now_ms);
/* Reason of the wait of a step for which no granted target was found; its
 * report says more. */
#define PLAN_NO_TICKET_REASON "no room on a target with a good ticket"
/* Fills in what the policy has answered on the targets named so far, and the
 * state of the step's queries; a reason that is PLAN_NO_TICKET_REASON becomes
 * a more precise one. */
void plan_count_tickets(const struct plan_step *step, struct plan_wait *wait,
                        uint64_t now_ms);
/* A start was ordered with the ticket for the target. */
void plan_use_ticket(struct plan_step *step, const struct plan_target *target);
/* Marks a ticket as invalid; the grant remains. */
void plan_expire_ticket(struct plan_step *step,
                        const struct plan_target *target);
/* How many targets the first query for a step of this kind names. */
uint32_t plan_query_targets(const struct plan *plan,
                            const struct fleet_step *def);
/* Queries the placement policy for a step whose runs are to be moved or
 * copied, if that is useful now. */
void plan_query_policy(struct plan *plan, struct plan_step *step,
                       uint64_t now_ms);
/* The step may use a query to the placement policy in this pass. Call in
 * scheduling order. */
void plan_want_query(struct plan *plan, struct plan_step *step);
/* Queries the placement policy for these steps and for upcoming ones, the most
 * useful queries first. Call after the steps were placed. */
void plan_send_queries(struct plan *plan, uint64_t now_ms);

#endif /* FP_PLANPRIV_H */
