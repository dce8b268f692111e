/* replay.h -- what the files of "bench replay" share: a load, and a world that
 * plays it against the decisions of core/plan.c in virtual time
 *
 *   replay.c      the command and its report
 *   replayload.c  the load file
 *   replayjobs.c  the work that comes in, and what it earns
 *   sim*.c        the world: targets, the policy, lost orders, lost leaders
 */
#ifndef FP_REPLAY_H
#define FP_REPLAY_H

#include <glib.h>
#include <jansson.h>

#include "core/plan.h"

/* ---- the load file ------------------------------------------------------ */

struct replay_team {
    char *name;
    uint32_t weight;
    uint32_t share; /* of the jobs, relative to the other teams */
    uint32_t limit_cpu_milli;
    uint32_t limit_accel;
};

struct replay_service {
    char *name;
    uint32_t targets;
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accel;
    uint32_t rack;           /* targets a rack */
    uint32_t *sizes_percent; /* of these figures, drawn for each target */
    uint32_t sizes_percent_count;
    uint32_t *speeds_percent; /* run times, drawn for each target */
    uint32_t speeds_percent_count;
};

struct replay_queue {
    char *name;
    char *service;
    uint32_t priority;
    uint32_t objective_ms;
    uint32_t stretch_permille;
    uint32_t max_attempts;
    uint32_t worth_milli;    /* of one job */
    uint32_t jobs_in_1000_s; /* on average */
    uint32_t steps;          /* most steps of a job; they run in a row */
    uint32_t tasks;          /* mean of a step */
    uint32_t cpu_milli;      /* mean */
    uint32_t memory_mb;      /* mean */
    uint32_t *accel;         /* drawn for each job; empty: none */
    uint32_t accel_count;
    uint32_t work_ms;        /* mean run time of a task */
    uint32_t spread_percent; /* of tasks, cpu, memory and work around it */
    uint32_t estimate_off_percent;
    uint32_t failures_permille; /* runs that fail by their own fault */
    uint32_t copies_permille;   /* steps whose tasks may have copies */
    uint32_t apart_permille;    /* steps with few tasks a target */
    bool gang;
    bool lasting;
    bool checkpoints;
    uint32_t advice_us; /* 0: needs no tickets */
    uint32_t advice_each_us;
    uint32_t ticket_ms;
    uint32_t granted_permille;
};

enum replay_trouble {
    REPLAY_BURST,   /* more jobs of a queue, by factor */
    REPLAY_CRASH,   /* targets are gone for a while */
    REPLAY_REMOVED, /* targets are gone for good */
    REPLAY_LEAVING, /* targets say that they leave, and are gone for_ms later
                     */
    REPLAY_SLOW,    /* work on targets takes factor times as long */
    REPLAY_FAILING, /* targets fail what they run */
    REPLAY_LOSSY,   /* orders are not answered and carried out late */
    REPLAY_CUT,     /* targets run on without a link; factor 100: only their
                     * answers are lost */
    REPLAY_NO_LEADER,
    REPLAY_TROUBLES
};

struct replay_event {
    enum replay_trouble kind;
    uint32_t at_ms;
    uint32_t for_ms;
    char *on;                /* a queue or a service */
    uint32_t share_permille; /* of the targets or orders */
    uint32_t factor_percent;
};

struct replay_load {
    char *name;
    uint32_t seconds; /* of arrivals; the world then runs until all is done */
    uint32_t drain_seconds; /* at most this long */
    uint32_t askers;        /* hosts that can ask the placement policy */
    uint32_t lease_ms;
    uint32_t stop_ms;
    struct replay_team *teams;
    uint32_t teams_count;
    struct replay_service *services;
    uint32_t services_count;
    struct replay_queue *queues;
    uint32_t queues_count;
    struct replay_event *events;
    uint32_t events_count;
};

/* Reads a load. Returns FP_ERR_BAD_REQUEST with why. */
enum fp_err replay_read_load(const char *path, struct replay_load **out,
                             char *why, size_t why_bytes);
void replay_load_free(struct replay_load *load);

/* ---- the world ---------------------------------------------------------- */

struct sim;

/* A job as it was sent. */
struct sim_job {
    const struct replay_queue *queue;
    uint32_t team;
    uint64_t id;
    uint64_t arrived_ms;
    uint64_t objective_ms; /* by its true run times */
    uint64_t cancel_ms;    /* when its caller cancels it; 0: never */
    uint32_t work_ms;      /* true mean run time of its tasks */
    uint64_t began_ms;     /* its first run; 0: none yet */
    uint64_t ended_ms;     /* 0: not yet */
    enum fleet_job_state state;
    uint64_t samples; /* of a lasting job, each of one task */
    uint64_t working; /* of them, tasks at work */
    struct fleet_submit submit;
};

/* What must never happen, and how often it did. */
struct sim_breaches {
    uint32_t over_size;
    uint32_t doubled;  /* a task in two places, or after its end */
    uint32_t over_cap; /* of a team, by more than a tenth */
    uint32_t stuck;    /* jobs that did not end although there was room */
    char first[160];   /* what the first one was */
};

struct sim_result {
    GPtrArray *jobs; /* struct sim_job */
    struct sim_breaches breaches;
    struct plan_counters counters;
    uint64_t wasted_milli_s; /* cpu of runs that were lost or stopped */
    GArray *decision_us;     /* double, of each pass that looked at work */
};

/* Plays a load with one policy; the same seed brings the same work. */
struct sim_result *sim_play(const struct replay_load *load,
                            const struct plan_policy *policy, uint32_t seed);
void sim_result_free(struct sim_result *result);

/* ---- work, and what it earns (replayjobs.c) ----------------------------- */

/* A number below 2^32 that depends only on its arguments. */
uint32_t replay_draw(uint32_t seed, uint64_t a, uint64_t b);

/* All jobs of a load in the order in which they arrive. */
GPtrArray *replay_make_jobs(const struct replay_load *load, uint32_t seed);

/* True run time of a task on a target of normal speed; UINT32_MAX: it lasts.
 */
uint32_t replay_work_ms(const struct sim_job *job,
                        const struct fleet_task_id *task, uint32_t seed);

/* What a job has earned of its queue's worth, 0 to 1000: all within its
 * objective, a fifth within three times that. */
uint32_t replay_earned_permille(const struct sim_job *job);

void replay_job_free(void *job);

/* Report of one play: credit by queue and team, waits, waste, decisions. */
json_t *replay_report(const struct replay_load *load,
                      const struct plan_policy *policy,
                      const struct sim_result *result);

#endif /* FP_REPLAY_H */
