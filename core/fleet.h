/* fleet.h -- the replicated state of a fleet: configuration, targets, jobs
 *
 * A pure state machine: the same changes in the same order give the same
 * state on every replica. Which run is where is not part of it: a new leader
 * reads that from the targets. What must outlive any process is: accepted
 * jobs, cancels, the ends of runs, the targets known, the configuration.
 */
#ifndef FP_FLEET_H
#define FP_FLEET_H

#include <glib.h>

#include "core/fleetrec.h"

/* A queue; it outlives its place in the configuration, for its jobs. */
struct fleet_queue {
    struct fleet_queue_conf conf;
    bool present;     /* it is in the configuration in force */
    uint32_t waiting; /* jobs without a run so far; kept by the planner */
};

/* A team; kept as queues are. */
struct fleet_team {
    char name[FLEET_NAME_BYTES];
    uint32_t weight;
    struct fleet_size limit; /* 0 in a field: no limit */
    bool present;
    struct fleet_size used;    /* by runs, starting and stopping ones included;
                                * kept by the planner */
    struct fleet_size unfound; /* by inherited tasks that may run where nobody
                                * has told yet; kept by the planner */
};

struct fleet_task {
    bool done;
    uint8_t failures;
    uint32_t failed_run; /* newest run that was counted as a failure */
    char *checkpoint;    /* newest known; NULL: none */
};

struct fleet_job {
    struct fleet_submit submit;
    struct fleet_queue *queue;
    struct fleet_team *team;    /* NULL: sent without a key */
    enum fleet_job_state state; /* JOB_QUEUED stands for any live job */
    uint64_t ended_ms;          /* since 1970; 0: live */
    uint32_t step_count;
    const struct fleet_step *steps;
    uint32_t *first_task; /* of each step, within an occurrence */
    uint32_t occurrence_tasks;
    uint32_t task_count; /* over all occurrences */
    uint32_t left;       /* tasks that are not done */
    struct fleet_task *tasks;
    void *plan; /* the planner's side of this job */
};

struct fleet_target {
    struct fleet_target_rec rec;
    void *plan; /* the planner's side of this target */
};

/* Told of changes; all may be NULL. */
struct fleet_ops {
    void (*config_changed)(void *ctx);
    void (*target_changed)(void *ctx, struct fleet_target *target,
                           bool reborn);
    void (*target_removed)(void *ctx, struct fleet_target *target);
    void (*job_added)(void *ctx, struct fleet_job *job);
    void (*job_ended)(void *ctx, struct fleet_job *job);
    void (*job_removed)(void *ctx, struct fleet_job *job);
    void *ctx;
};

struct fleet {
    struct fleet_ops ops;
    uint64_t keep_ms; /* an ended job is kept this long */
    uint64_t now_ms;  /* newest time in a change */
    struct fleet_config config;
    GPtrArray *queues;    /* struct fleet_queue, never removed */
    GHashTable *by_host;  /* host to GPtrArray of present queues, longest
                           * prefix first */
    GHashTable *services; /* name to struct fleet_service_conf, borrowed */
    GHashTable *teams;    /* name to struct fleet_team */
    GHashTable *keys;     /* key to struct fleet_team, borrowed */
    GHashTable *targets;  /* ID to struct fleet_target */
    GHashTable *jobs;     /* ID to struct fleet_job */
    GQueue ended;         /* struct fleet_job, oldest first */
};

struct fleet *fleet_new(uint64_t keep_ms);
void fleet_free(struct fleet *fleet);

/* Applies a committed change; answer->err tells what came of it. */
void fleet_apply(struct fleet *fleet, const uint8_t *data, uint32_t size_bytes,
                 struct change_answer *answer);

/* Writes the whole state as one blob, and reads it back.
 * FP_ERR_CORRUPT leaves the state as it was.
 */
void fleet_save(const struct fleet *fleet, struct fp_blob *out);
enum fp_err fleet_load(struct fleet *fleet, const struct fp_blob *state);

/* Checks a configuration as a whole: names, places, keys.
 * Returns FP_ERR_BAD_REQUEST with why.
 */
enum fp_err fleet_check_config(const struct fleet_config *config, char *why,
                               size_t why_bytes);

/* Checks the shape of a job: steps, their order, their sizes. */
enum fp_err fleet_check_submit(const struct fleet_submit *submit, char *why,
                               size_t why_bytes);

/* Finds the present queue with the longest prefix of path; NULL: none. */
struct fleet_queue *fleet_find_queue(const struct fleet *fleet,
                                     const char *host, const char *path);
struct fleet_job *fleet_find_job(const struct fleet *fleet, uint64_t id);
struct fleet_target *fleet_find_target(const struct fleet *fleet,
                                       const char *id);
const struct fleet_service_conf *fleet_find_service(const struct fleet *fleet,
                                                    const char *name);

/* Whether the state holds what a target says of itself. */
bool fleet_knows_target(const struct fleet *fleet,
                        const struct fleet_target_rec *rec);

/* Number of a task within its job; UINT32_MAX when the name is out of range.
 */
uint32_t fleet_task_number(const struct fleet_job *job,
                           const struct fleet_task_name *name);

/* "ID.occurrence.step.index" of a task, without the index of a step. */
#define FLEET_TASK_TEXT_BYTES 64u
void fleet_task_text(const struct fleet_task_name *name, char *out,
                     size_t out_bytes);
void fleet_step_text(const struct fleet_task_name *name, char *out,
                     size_t out_bytes);

/* What a failed run counts towards: the whole step for a gang. */
bool fleet_is_live(const struct fleet_job *job);

#endif /* FP_FLEET_H */
