/* replay.h -- internal interface of "bench replay": a load, and a simulation
 * that replays it through the scheduler of core/plan.c in virtual time
 *
 *   replay.c      the command and its report
 *   replayload.c  the load file
 *   replayjobs.c  generated jobs, and the credit that they earn
 *   replayrecover.c  recovery after a burst
 *   replayhigh.c  the highest load that a policy can hold
 *   sim*.c        the simulation: targets, placement policy, lost orders,
 *                 leader changes
 */
#ifndef FP_REPLAY_H
#define FP_REPLAY_H

#include <glib.h>
#include <jansson.h>

#include "core/plan.h"

/* ---- the load file ------------------------------------------------------ */

/* The names of the fields are the keys of the load file. Some fields are means
 * or ranges from which the values of each job or target are drawn. */

struct replay_team {
    char *name;
    uint32_t weight;
    uint32_t share;           /* of the jobs, relative to the other teams */
    uint32_t limit_cpu_milli; /* in use at once; 0: no limit */
    uint32_t limit_accel;     /* in use at once; 0: no limit */
};

struct replay_service {
    char *name;
    uint32_t targets;
    uint32_t cpu_milli; /* of a target of size 100 %, as is memory_mb */
    uint32_t memory_mb;
    uint32_t accel;          /* the same for every size */
    uint32_t rack;           /* targets per rack */
    uint32_t *sizes_percent; /* one is drawn for each target */
    uint32_t sizes_percent_count;
    uint32_t *speeds_percent; /* one is drawn for each target; 200: run times
                               * are half as long */
    uint32_t speeds_percent_count;
};

struct replay_queue {
    char *name;
    char *service;
    uint32_t priority;
    uint32_t objective_ms; /* the time objective of a job is this, and
                            * stretch_permille of its shortest duration */
    uint32_t stretch_permille;
    uint32_t max_attempts;
    uint32_t worth_milli;    /* credit for one job in time, in thousandths */
    uint32_t jobs_in_1000_s; /* mean arrival rate */
    uint32_t steps;          /* maximum per job; they run in sequence */
    uint32_t tasks;          /* mean number in a step */
    uint32_t cpu_milli;      /* mean per task */
    uint32_t memory_mb;      /* mean per task */
    uint32_t *accel;         /* one is drawn for each job; empty: none */
    uint32_t accel_count;
    uint32_t work_ms;              /* mean run time of a task */
    uint32_t spread_percent;       /* sigma of the lognormal draws of tasks and
                                    * work_ms; half of it for cpu and memory */
    uint32_t estimate_off_percent; /* largest error of run time estimates, as
                                    * the logarithm of the ratio */
    uint32_t failures_permille; /* part of the runs that fail by themselves */
    uint32_t crashing_permille; /* part of the jobs with a task that crashes
                                 * every target that starts it */
    uint32_t crash_after_ms;    /* from its start to the crash; 0: 10 ms */
    uint32_t tail_permille; /* part of the runs that take tail_factor_percent
                             * of their usual time */
    uint32_t tail_factor_percent;
    bool tail_of_task;        /* every run of such a task does; else one run */
    uint32_t copies_permille; /* part of the steps that allow duplicates */
    uint32_t apart_permille;  /* part of the steps that limit their tasks on
                               * one target */
    bool gang;
    bool lasting;
    bool checkpoints;
    uint32_t advice_us;      /* time of a policy query; 0: needs no tickets */
    uint32_t advice_each_us; /* on top, for each target of the query */
    uint32_t ticket_ms;
    uint32_t granted_permille; /* part of the targets that the policy allows */
};

enum replay_event_kind {
    REPLAY_BURST,      /* a queue's arrival rate is multiplied by the factor */
    REPLAY_TEAM_BURST, /* the same of one team, on all queues */
    REPLAY_CRASH,      /* targets crash and restart after for_ms */
    REPLAY_REMOVED,    /* targets crash and do not restart */
    REPLAY_LEAVING,    /* targets announce that they are leaving, and crash
                        * after for_ms */
    REPLAY_SLOW,       /* runs started on targets take factor times as long */
    REPLAY_FAILING,    /* runs started on targets fail */
    REPLAY_LOSSY,      /* orders are not answered, and carried out late; policy
                        * queries fail */
    REPLAY_CUT,        /* targets are disconnected but go on running; factor
                        * 100 or more: only their answers are lost */
    REPLAY_NO_LEADER,  /* the leader fails; a new one follows after for_ms */
    REPLAY_SLOW_LEADER, /* the leader handles each answer late, by
                         * factor_percent of 1 ms, and passes are rare */
    REPLAY_CAPACITY,    /* the capacity of targets is multiplied by the factor,
                         * below what runs there as well */
    REPLAY_EVACUATED,   /* a data centre, dc-0, dc-1 or dc-2, is evacuated */
    REPLAY_EVENT_KIND_COUNT
};

/* A fault or a burst, from at_ms for for_ms. */
struct replay_event {
    enum replay_event_kind kind;
    uint32_t at_ms;
    uint32_t for_ms;
    char *on; /* queue or team of a burst, data centre that is evacuated, or
               * service of the targets; NULL: all */
    uint32_t share_permille; /* affected part of the targets, or of the
                              * orders and policy queries */
    uint32_t factor_percent; /* see enum replay_event_kind */
};

struct replay_load {
    char *name;
    uint32_t seconds;       /* jobs arrive for this long */
    uint32_t drain_seconds; /* at most, for the remaining jobs to end */
    uint32_t askers;        /* policy clients: hosts that can query the
                             * placement policy, one query each at a time */
    uint32_t lease_ms;
    uint32_t stop_ms;         /* time that a target takes to stop a run */
    uint32_t share_window_ms; /* over which a team's weight, in jobs a second,
                               * is averaged; 0: no shares */
    struct replay_team *teams;
    uint32_t teams_count;
    struct replay_service *services;
    uint32_t services_count;
    struct replay_queue *queues;
    uint32_t queues_count;
    struct replay_event *events;
    uint32_t events_count;
};

/* Reads a load file. Sets *out to a load that the caller frees with
 * replay_load_free(), or returns FP_ERR_BAD_REQUEST, with the reason in why
 * and *out set to NULL. */
enum fp_err replay_read_load(const char *path, struct replay_load **out,
                             char *why, size_t why_bytes);
/* load may be NULL. */
void replay_load_free(struct replay_load *load);

/* ---- the simulation ----------------------------------------------------- */

struct sim;

/* A generated job, and what became of it. Times are virtual, since the start
 * of the simulation. */
struct sim_job {
    const struct replay_queue *queue;
    uint32_t team; /* index in the load's teams */
    uint64_t id;
    uint64_t arrived_ms;
    uint64_t objective_ms;  /* after arrival, computed from true run times */
    uint64_t cancel_ms;     /* when the client cancels it; 0: never */
    uint32_t mean_run_ms;   /* true mean run time of its tasks */
    bool beyond_share;      /* its team had sent more than its rate */
    bool crashes;           /* one of its tasks crashes its targets */
    uint32_t crashing_step; /* the task: its step and index */
    uint32_t crashing_index;
    GArray *crash_times;     /* uint64_t: when its task crashed a target */
    uint32_t late_starts;    /* of its task after three crashes */
    uint64_t first_start_ms; /* of its first run; 0: none yet */
    uint64_t ended_ms;       /* 0: not yet */
    enum fleet_job_state state;
    uint64_t task_samples;    /* of a lasting job: one for each task at
                               * each sampling */
    uint64_t running_samples; /* of them, with the task running */
    struct fleet_submit submit;
};

/* Violations of the scheduler's invariants: how often each occurred. */
struct sim_breaches {
    uint32_t over_size; /* runs on a target exceed its capacity */
    uint32_t doubled;   /* a task runs twice at once, or after it was done,
                         * though its step allows no duplicates */
    uint32_t over_cap;  /* a team exceeds its processor limit by over 10 %
                         * and one task */
    uint32_t stuck;     /* jobs that did not end although capacity sufficed */
    uint32_t over_crashes;     /* tasks started three times more after three
                                * targets had crashed under them */
    uint32_t wrongly_given_up; /* jobs without a task that crashes its targets,
                                * failed for one */
    uint32_t evacuated;        /* starts ordered in an evacuated data centre */
    char first[160];           /* description of the first breach; "": none */
};

struct sim_result {
    GPtrArray *jobs; /* struct sim_job */
    struct sim_breaches breaches;
    struct plan_counters counters; /* only starts, stops, policy_queries and
                                    * runs_lost are set */
    /* Processor time of runs that did not end as done; stops with a checkpoint
     * and lasting jobs do not count. */
    uint64_t wasted_cpu_milli_s;
    uint32_t crashed_targets;  /* by tasks */
    uint32_t crash_neighbours; /* runs lost with them, of other jobs */
    GArray *decision_us;       /* double, wall clock time of each scheduling
                                * pass that was not skipped */
};

/* Simulates a load under one policy. The same seed generates the same jobs for
 * every policy. The caller frees the result; its jobs point into the load. */
struct sim_result *sim_replay(const struct replay_load *load,
                              const struct plan_policy *policy, uint32_t seed);
void sim_result_free(struct sim_result *result);

/* The highest arrival rate, in percent of the load's, at which the jobs of a
 * service alone earn this much of their credit under a policy, over the seeds
 * from 1 on; found by bisection (replayhigh.c). The load is unchanged after
 * the call. */
uint32_t replay_highest_percent(struct replay_load *load,
                                const struct replay_service *service,
                                const struct plan_policy *policy,
                                uint32_t seeds, uint32_t permille);

/* ---- jobs and their credit (replayjobs.c) ------------------------------- */

/* Hash of its arguments, uniform below 2^32: a random number that does not
 * depend on the order of the draws. */
uint32_t replay_hash(uint32_t seed, uint64_t a, uint64_t b);

/* Generates all jobs of a load, in order of arrival. The array owns them; the
 * caller frees it. */
GPtrArray *replay_generate_jobs(const struct replay_load *load, uint32_t seed);

/* True run time of a task on a target of speed 100 %; UINT32_MAX: runs until
 * cancelled. */
uint32_t replay_run_ms(const struct sim_job *job,
                       const struct fleet_task_id *task, uint32_t seed);

/* Credit is the score by which policies are compared. Returns the part that a
 * job earned, in thousandths of its queue's worth: all of it if
 * completed within its objective, a fifth within three times that, else none.
 * A lasting job earns the part of its samples with a running task. */
uint32_t replay_earned_permille(const struct sim_job *job);

/* job: struct sim_job. */
void replay_job_free(void *job);

/* Jain's index over the parts of their owed credit that the teams earned with
 * the jobs within their shares: 1 if all are equal, 1 / teams if one has all.
 */
double replay_fairness(const struct replay_load *load,
                       const struct sim_result *result);

/* How long after the last burst, or the last loss of the leader, a queue's
 * jobs still missed their objectives: until the end of the last second in
 * which less than 9 in 10 of the jobs that arrived were in time. A queue that
 * has not recovered when the load ends is in a metastable state. */
uint32_t replay_recovery_ms(const struct replay_load *load,
                            const struct replay_queue *queue,
                            const struct sim_result *result);

/* Report of one simulation: credit by queue and team, waits, wasted processor
 * time, scheduling passes, breaches. The caller owns the reference. */
json_t *replay_report(const struct replay_load *load,
                      const struct plan_policy *policy,
                      const struct sim_result *result);

#endif /* FP_REPLAY_H */
