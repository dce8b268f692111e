/* plan.h -- which task of a fleet runs on which target: the leader's scheduler
 *
 * A pure module: it is told events and the time, and issues orders through
 * struct plan_ops. It keeps track of what runs where. That is not in the
 * replicated log: a new leader rebuilds it from the run lists of the targets
 * (plan_runs_listed()).
 *
 * A run occupies capacity from its start order until its target lists its end,
 * so a run that may still be working never shares its capacity. A run whose
 * order has no clear answer is in an unknown state: it is ordered to stop
 * until the target confirms that it does not and will not run, or the target's
 * lease expires.
 *
 *   plan.c       jobs, targets, scheduling passes
 *   planrun.c    runs: starts, stops, ends
 *   planlist.c   run lists of targets
 *   planorder.c  order of the waiting steps
 *   planage.c    ages of jobs over terms, and turns of overdue ones
 *   planadmit.c  admission of jobs
 *   planfit.c    placement of a step's tasks
 *   plancopy.c   second runs of stragglers
 *   planteam.c   limits of teams
 *   planhold.c   capacity reserved for large tasks
 *   planinherit.c inherited work that unreachable targets may run
 *   planevac.c   evacuated data centres, and cold targets
 *   plancrash.c  crashes of targets, and the runs that may have caused them
 *   planattempts.c tasks that have used up their attempts
 *   planticket.c queries to the placement policy
 *   planpack.c   how well a task fits a target
 *   planspeed.c  how fast targets run work
 *   plandump.c   the state for diagnosis
 */
#ifndef FP_PLAN_H
#define FP_PLAN_H

#include "core/fleet.h"

struct plan;
struct plan_target;

/* Result of an order, as the target answered it. */
enum order_answer {
    ORDER_DONE,
    ORDER_FENCED,            /* the target has seen a newer leader */
    ORDER_STALE_RUN,         /* a run with this number or a higher one has
                              * ended or was stopped */
    ORDER_EXPIRED,           /* its deadline had passed */
    ORDER_NO_CAPACITY,       /* the target checks that itself, and is full */
    ORDER_BAD_TICKET,        /* the policy's ticket is missing or expired */
    ORDER_UNHEALTHY,         /* refused by an unhealthy or overloaded target;
                              * nothing was done */
    ORDER_INVALID,           /* not understood; nothing was done */
    ORDER_NOT_SENT,          /* no byte was sent */
    ORDER_WRONG_INCARNATION, /* another incarnation has this address */
    ORDER_UNKNOWN, /* no clear answer: it may be carried out now or later */
    ORDER_CLOSED   /* the same, because the target ended the connection: it
                    * may have crashed */
};

/* How a target was lost. */
enum plan_loss {
    LOSS_CRASHED, /* its process has ended: another incarnation is known */
    LOSS_LEASE,   /* it does not answer, and its lease is over */
    LOSS_LEFT     /* it left as announced */
};

/* A run that was lost with its target. */
struct plan_lost_run {
    const struct fleet_target *target;
    struct fleet_task_id task;
    uint32_t run_number;
    uint64_t ran_ms; /* from the order to start it to the last sign of life of
                      * the target */
    bool is_suspect; /* its start may have crashed the target */
};

/* A target was lost; the counts are of its runs. */
struct plan_crash {
    const struct fleet_target *target;
    enum plan_loss loss;
    uint32_t runs;
    uint32_t suspects;  /* runs whose start may have crashed it */
    uint64_t silent_ms; /* how long it had not answered; 0: it did */
    bool is_common;     /* other targets were lost with it, whose starts do not
                         * explain it: no task is suspected */
};

/* An order to start a run. What it points to is valid during the call only. */
struct plan_start {
    const struct fleet_target *target;
    struct fleet_task_id task;
    uint32_t run_number;
    bool first_of_job;  /* no run of the job has started before */
    uint64_t waited_ms; /* since the job was accepted */
    uint32_t estimate_ms;
    const struct fp_blob *spec;
    const char *checkpoint; /* "" for none */
    const char *ticket;     /* "" for none */
};

/* One entry of a target's run list. */
struct plan_listed_run {
    struct fleet_task_id task;
    uint32_t run_number;
    /* As the target reports it, either how much of the work is done or the
     * speed to which the run is throttled (see set_pace in struct plan_ops),
     * in percent of the full speed. The scheduler does not use it. */
    uint32_t percent;
    uint32_t load; /* tail latency of a serving task, ms; else
                    * thousandths of a processor */
    char checkpoint[FLEET_CHECKPOINT_BYTES]; /* "" for none */
    bool checkpoint_too_long; /* it has one that the record cannot hold: the
                               * last one that fitted stays */
};

/* A target's list of its runs, from one answer. */
struct plan_run_list {
    const struct plan_listed_run *runs;
    uint32_t count;
    bool is_first; /* no whole one came before it in this term: runs are
                    * adopted if their tasks need one */
    bool is_cut;   /* the answer may have left out ends: a run that is not
                    * listed may have ended */
    uint64_t requested_ms;
};

/* Why a step waits. */
struct plan_wait {
    struct fleet_task_id step;
    const char *reason; /* free text, for the log */
    uint32_t pending;   /* tasks that wait */
    /* Targets that were named to the policy, by its answer; 0 without one. */
    uint32_t named;
    uint32_t granted;
    uint32_t refused;
    uint32_t asking;   /* without an answer yet */
    uint32_t expired;  /* granted, but the ticket has expired */
    uint32_t fitting;  /* tasks that granted targets have room for */
    uint32_t kept;     /* tasks that would fit there besides, but for what is
                        * reserved for others or takes no starts now */
    uint32_t holding;  /* tasks that granted targets could hold if empty */
    uint32_t running;  /* tasks that still have a run */
    const char *query; /* state of its queries, for the log */
    uint64_t query_ms; /* since its last query was sent; 0: none was */
    uint64_t next_query_ms; /* until its next query is due; 0: it is */
    uint64_t waited_ms;
    uint64_t free_cpu_milli; /* on all usable targets of the service */
    uint64_t free_accel;     /* accelerators free on those targets */
    bool beyond_share;       /* work within shares goes before it */
};

/* A second run of a task is about to be ordered. */
struct plan_copy {
    struct fleet_task_id task;
    uint32_t run_number; /* of the first run */
    uint32_t copy_number;
    const struct fleet_target *from; /* of the first run */
    const struct fleet_target *to;
    uint64_t ran_ms;        /* how long the first run has lasted */
    uint32_t late_permille; /* probability that it ends too late */
};

/* Orders and reports of the scheduler; on_* may be NULL. */
struct plan_ops {
    void (*start_run)(void *ctx, const struct plan_start *start);
    /* reason: free text, for the log. */
    void (*stop_run)(void *ctx, const struct fleet_target *target,
                     const struct fleet_task_id *task, uint32_t run_number,
                     const char *reason);
    /* Throttles a run to a percentage of its full speed. */
    void (*set_pace)(void *ctx, const struct fleet_target *target,
                     const struct fleet_task_id *task, uint32_t run_number,
                     uint32_t percent);
    /* Asks the placement policy which of count targets may run a step; the
     * answer comes through plan_policy_answered(). short_query: the answer is
     * expected within PLAN_SHORT_QUERY_MS. Returns false when no policy client
     * is free. */
    bool (*query_policy)(void *ctx, const struct fleet_task_id *step,
                         struct fleet_target *const *targets, uint32_t count,
                         uint32_t expected_ms, bool short_query);
    /* A target listed a run that was not ordered in this term. adopted: it
     * goes on; otherwise it is stopped. */
    void (*on_run_found)(void *ctx, const struct fleet_target *target,
                         const struct fleet_task_id *task, uint32_t run_number,
                         bool adopted);
    /* Inherited work of a job goes on although targets, so many, have not
     * listed their runs: by what is known, none of them can run it. */
    void (*on_job_released)(void *ctx, const struct fleet_job *job,
                            uint32_t unlisted);
    /* See core/plancopy.h. */
    void (*on_run_copied)(void *ctx, const struct plan_copy *copy);
    /* A step has waited for over a second; repeated once a second. */
    void (*on_step_waiting)(void *ctx, const struct plan_wait *wait);
    void (*on_run_lost)(void *ctx, const struct plan_lost_run *lost);
    /* Stores evidence in the fleet's state: proposes items, a list of struct
     * fleet_task_crash that is valid during the call, as FLEET_CRASHES. */
    void (*store_evidence)(void *ctx, const struct fp_list *items);
    /* Proposes items, a list of struct fleet_run_end that is valid during the
     * call, as FLEET_RUN_ENDS: failures that were counted before. Each is of a
     * task that has no run and no attempts left by the limit that is in force
     * now. The state compares it with its limit again when it applies them. */
    void (*repeat_ends)(void *ctx, const struct fp_list *items);
    void (*on_target_crashed)(void *ctx, const struct plan_crash *crash);
    /* A target gets no starts for for_ms, after so many failures in a row. */
    void (*on_target_backoff)(void *ctx, const struct fleet_target *target,
                              uint64_t for_ms, uint32_t failures);
    void *ctx;
};

/* A policy query that takes less than this is short. Some policy clients are
 * kept for short queries, so that these never queue behind long ones. */
#define PLAN_SHORT_QUERY_MS 100u

/* Reason of the stop of a run that is moved out of an evacuated data centre.
 */
#define PLAN_EVACUATED_REASON "its data centre is evacuated"

/* When capacity is reserved for a large task that does not fit. */
enum plan_reserve_mode {
    RESERVE_NEVER,
    RESERVE_AT_ONCE,
    RESERVE_WHEN_URGENT /* once its latest start is one run time away */
};

/* A scheduling policy. PLAN_POLICY_DEFAULT is in service, or
 * PLAN_POLICY_CONTENDED where the settings ask for it; the others are
 * baselines for the replay bench. */
struct plan_policy {
    const char *name;
    bool by_slack; /* order by slack and priority; else by acceptance */
    enum plan_reserve_mode reserve_mode;
    bool wide_gang_queries; /* policy queries for gangs name many targets */
    bool keeps_headroom; /* capacity is kept free for work with little slack */
    bool reserves_for_gangs; /* of any tasks; else only for tasks with several
                              * accelerators */
    bool by_share;       /* work within a team's rate first (core/shares.h) */
    bool keeps_accepted; /* inherited jobs count from when they were accepted;
                          * else from the start of the term */
    bool packs_all;      /* placement by all resources (core/planpack.h) */
    bool learns_speeds;  /* expected run times by target
                          * (core/planspeed.h) */
    bool copies;         /* second runs of stragglers (core/plancopy.h) */
};

extern const struct plan_policy PLAN_POLICY_DEFAULT;
/* Decisions for services that are full at times; by settings. */
extern const struct plan_policy PLAN_POLICY_CONTENDED;
/* Reserves at once, and queries for gangs name few targets. */
extern const struct plan_policy PLAN_POLICY_RESERVE_AT_ONCE;
/* Reserves only for tasks with several accelerators. */
extern const struct plan_policy PLAN_POLICY_RESERVE_ACCEL;
extern const struct plan_policy PLAN_POLICY_FIFO;

struct plan_params {
    const struct plan_policy *policy; /* NULL: PLAN_POLICY_DEFAULT */
    uint32_t stop_ms;             /* a target takes at most this for a stop */
    uint32_t remote_run_permille; /* run time away from the data's rack, of
                                   * the estimate */
    uint32_t run_base; /* runs of inherited tasks are numbered from this + 1,
                        * above those of earlier terms */
    uint64_t wall_ms;  /* wall clock, at the now_ms of plan_new() */
};

/* What a query to the placement policy is for. */
enum query_purpose {
    QUERY_RENEWAL, /* valid tickets for targets that have room for the step */
    QUERY_FIRST,   /* targets for a step that has named none */
    QUERY_MORE,    /* further targets */
    QUERY_AHEAD,   /* tickets for a step that cannot be placed now */
    QUERY_PURPOSE_COUNT
};

extern const char *const QUERY_PURPOSE_NAMES[QUERY_PURPOSE_COUNT];

struct plan_counters {
    uint64_t starts;
    uint64_t starts_refused; /* starts that targets refused */
    uint64_t starts_unknown; /* starts without a clear answer */
    uint64_t stops;
    uint64_t preempted; /* always 0 */
    uint64_t ends[RUN_OUTCOME_COUNT];
    uint64_t runs_lost; /* on targets that were lost or restarted */
    uint64_t targets_lost;
    uint64_t common_losses; /* of them, with a common cause */
    uint64_t trials; /* starts of suspected tasks, apart from other starts */
    uint64_t tasks_given_up;     /* since they crash their targets */
    uint64_t jobs_over_limit;    /* reported to fail: a task came to its limit
                                  * on failures other than by a failure */
    uint64_t evacuated_runs;     /* stopped to go on in another data centre */
    uint64_t copies;             /* second runs of tasks; in starts as well */
    uint64_t copies_won;         /* ended first */
    uint64_t copies_lost;        /* stopped since the first run was done */
    uint64_t copy_waste_milli_s; /* processor time of runs that a copy or the
                                  * first run overtook, thousandths of a core
                                  * times s */
    uint64_t policy_queries;
    uint64_t policy_queries_for[QUERY_PURPOSE_COUNT]; /* the same by purpose */
    uint64_t tickets_unused; /* replaced by a new one without a start */
    uint64_t jobs_rejected;
    uint64_t passes;
};

/* Whether a job is admitted. */
struct plan_admission {
    enum fp_err err;         /* FP_OK: admitted; FP_ERR_BUSY; FP_ERR_LIMIT: a
                              * gang can never run */
    uint32_t retry_after_ms; /* when to submit it again */
    const char *reason;      /* of a refusal; free text, for the log */
};

/* Creates a scheduler over a fleet, which must outlive it. Live jobs of the
 * fleet are inherited: their tasks start only after plan_reconciled(), or once
 * every target of their service has listed its runs. now_ms, here and below,
 * is on the monotonic clock.
 */
struct plan *plan_new(struct fleet *fleet, const struct plan_params *params,
                      const struct plan_ops *ops, uint64_t now_ms);
void plan_free(struct plan *plan);

/* Decides on a job that is offered, and counts a refusal. team NULL: it has
 * none. */
struct plan_admission plan_admit(struct plan *plan,
                                 const struct fleet_submit *job,
                                 const struct fleet_team *team);

/* Changes of the fleet's state; see struct fleet_ops. */
void plan_job_added(struct plan *plan, struct fleet_job *job, uint64_t now_ms);
void plan_job_ended(struct plan *plan, struct fleet_job *job, uint64_t now_ms);
void plan_job_removed(struct plan *plan, struct fleet_job *job);
void plan_target_changed(struct plan *plan, struct fleet_target *target);
void plan_target_removed(struct plan *plan, struct fleet_target *target);
void plan_config_changed(struct plan *plan);
void plan_queue_removed(struct plan *plan, const struct fleet_queue *queue);
/* An evacuation was ordered or withdrawn. */
void plan_evacuation_changed(struct plan *plan);

/* Every target has listed its runs, or can no longer run any of an earlier
 * term. */
void plan_reconciled(struct plan *plan);

/* Sets whether a target gets starts. When it becomes unusable, its tasks that
 * allow copies start elsewhere as well. */
void plan_set_target_usable(struct plan *plan, struct fleet_target *target,
                            bool usable);

/* The target did not answer a hold call, and gets no starts until it is usable
 * again. closed: it ended the connection instead of answering. */
void plan_target_silent(struct plan *plan, struct fleet_target *target,
                        bool closed, uint64_t now_ms);

/* None of the runs ordered on the target runs any more, nor ever will. */
void plan_target_lost(struct plan *plan, struct fleet_target *target,
                      enum plan_loss loss, uint64_t now_ms);

/* The target restarted under its ID. That is proven by a list of the new
 * incarnation, and so are the ends of its runs. One of which a copy of the
 * start may still arrive is stopped there first. */
void plan_target_restarted(struct plan *plan, struct fleet_target *target,
                           uint64_t now_ms);

/* The first copy of a start order had no answer, and a second one is sent. */
void plan_start_resent(struct fleet_target *target,
                       const struct fleet_task_id *task, uint32_t run_number);

/* Whether a copy of a start order for a run that has not ended may still reach
 * the target, or a later incarnation: it has no answer, and was sent less than
 * PLAN_LATE_ORDER_MS ago. */
#define PLAN_LATE_ORDER_MS 15000u
bool plan_start_is_on_its_way(const struct fleet_target *target,
                              uint64_t now_ms);

/* Takes a target's list of its runs. Call plan_run_ended() first for the ends
 * in the same answer. */
void plan_runs_listed(struct plan *plan, struct fleet_target *target,
                      const struct plan_run_list *list, uint64_t now_ms);

/* A target listed the end of a run. */
void plan_run_ended(struct plan *plan, struct fleet_target *target,
                    const struct fleet_run_end *end, uint64_t now_ms);

/* A target answered a start or a stop, or no answer came. */
void plan_start_answered(struct plan *plan, struct fleet_target *target,
                         const struct fleet_task_id *task, uint32_t run_number,
                         enum order_answer answer, uint64_t now_ms);
void plan_stop_answered(struct plan *plan, struct fleet_target *target,
                        const struct fleet_task_id *task, uint32_t run_number,
                        enum order_answer answer, uint64_t now_ms);

/* The placement policy's answer to a query. */
struct plan_policy_answer {
    enum fp_err err; /* other than FP_OK: the query is repeated */
    const struct call_ticket *tickets;
    uint32_t count;
    uint32_t unread; /* entries that could not be read: the targets without a
                      * ticket may have been granted, and are named again */
    uint32_t age_ms; /* since the policy answered, at most; without the network
                      * between the policy and the host that asked it */
    bool is_late;    /* plan_give_up_query() was called before */
};

/* The placement policy answered the query for a step, or no answer came.
 * answer is needed during the call only. */
void plan_policy_answered(struct plan *plan, const struct fleet_task_id *step,
                          const struct plan_policy_answer *answer,
                          uint64_t now_ms);

/* The query for a step has no answer yet, and the step may be queried about
 * again. The answer is of use when it comes. */
void plan_give_up_query(struct plan *plan, const struct fleet_task_id *step);

/* Runs a scheduling pass: issues all orders that are possible now. Returns at
 * once when nothing changed and nothing is due. wall_ms: wall clock, since
 * 1970, for the due times of occurrences. */
void plan_pass(struct plan *plan, uint64_t now_ms, uint64_t wall_ms);

/* How many of the given policy clients are kept for short queries; 0 of 1. */
uint32_t plan_reserved_policy_clients(uint32_t clients);

/* Queries. */

/* The verdict on a task by the evidence of crashes, stored or not. */
enum crash_verdict plan_crash_verdict(const struct fleet_job *job,
                                      const struct fleet_task_id *task);

/* Whether the start of a run is unanswered, and the run was neither listed nor
 * stopped, and has not ended. */
bool plan_awaits_start(const struct fleet_target *target,
                       const struct fleet_task_id *task, uint32_t run_number);

/* Whether the target gets starts at all: it is usable, not leaving, and its
 * data centre is not evacuated. Also asked before an order is sent again. */
bool plan_target_takes_starts(const struct fleet_target *target);

/* What runs in a data centre; sets targets, runs and lasting. */
void plan_count_in_data_centre(const struct plan *plan,
                               struct call_evacuation *out);

/* Adds the tasks of all runs that may be on a target, struct fleet_task_id, to
 * a list whose items the caller frees. Returns false if they are not known,
 * since the target has not listed its runs in this term. */
bool plan_list_tasks(const struct fleet_target *target, struct fp_list *tasks);

/* Whether the target has listed its runs in this term, and none can be there.
 */
bool plan_target_is_idle(const struct fleet_target *target);

/* Runs that may be on a target, as far as they are known. */
uint32_t plan_count_runs(const struct fleet_target *target);

/* When the next run on a target should end, by estimate; UINT64_MAX: none
 * will. */
uint64_t plan_next_end_ms(const struct fleet_target *target);

/* The critical path of a job and its time objective; both 0 for a job that is
 * not scheduled: it had ended before this term. */
void plan_job_times(const struct fleet_job *job, uint32_t *critical_path_ms,
                    uint32_t *objective_ms);
/* The state of a job; a live one is JOB_RUNNING once a run was started. */
enum fleet_job_state plan_job_state(const struct fleet_job *job);
const struct plan_counters *plan_counters(const struct plan *plan);

/* Figures for the metrics. */
struct plan_gauges {
    /* What usable targets have free of a service for which tasks wait, though
     * none of those first in order would fit there: fragmentation. */
    struct fleet_resources unfit;
    uint32_t targets_unlisted; /* have not listed their runs in this term */
    uint32_t jobs_held;        /* inherited; such a target may run them */
    uint32_t targets_slow;     /* see enum plan_speed_verdict in planspeed.h */
    uint32_t targets_turned_slow;
};

struct plan_gauges plan_gauges(const struct plan *plan);

/* The state for diagnosis; the caller owns the reference. */
json_t *plan_dump(const struct plan *plan);

#endif /* FP_PLAN_H */
