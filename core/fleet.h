/* fleet.h -- the replicated state of a fleet: configuration, targets, jobs
 *
 * A deterministic state machine: the same changes in the same order give the
 * same state on every replica. It holds what must survive the loss of any
 * process: accepted jobs, cancellations, the ends of runs, known targets and
 * the configuration. Which run is on which target is not part of it: a new
 * leader asks the targets.
 */
#ifndef FP_FLEET_H
#define FP_FLEET_H

#include <glib.h>

#include "core/failures.h"
#include "core/fleetrec.h"
#include "core/shares.h"

/* A queue. It is kept after a configuration drops it for as long as jobs refer
 * to it. */
struct fleet_queue {
    struct fleet_queue_conf conf;
    bool configured; /* part of the current configuration */
    uint32_t jobs;   /* that refer to it, those that have ended as well */
    uint32_t waiting_jobs; /* jobs that have had no run yet; maintained by
                            * the scheduler */
    /* Runs lost with a target, counted by this host while it led; maintained
     * by the scheduler. */
    uint64_t lost_suspects;   /* their start may have crashed the target */
    uint64_t lost_neighbours; /* the others */
    /* Accepted while this host led; maintained by the scheduler. */
    uint64_t jobs_beyond_share;
};

/* A team. It is kept after a configuration drops it, since its jobs refer to
 * it. */
struct fleet_team {
    char name[FLEET_NAME_BYTES];
    uint32_t weight;
    struct fleet_resources limit; /* 0 in a field: no limit */
    bool configured;
    struct share share;    /* of its rate; see core/shares.h */
    uint32_t offered_jobs; /* proposed by this host as the leader, within the
                            * rate and not applied yet */
    uint64_t jobs_beyond_share;  /* as of struct fleet_queue */
    uint64_t job_bytes;          /* estimated, of its jobs */
    struct fleet_resources used; /* by runs, including those that are starting
                                  * or stopping; maintained by the scheduler */
    /* Needed by inherited tasks that may be running on targets that have not
     * listed their runs yet; maintained by the scheduler. */
    struct fleet_resources unlocated;
    /* The scheduler's step for which other work of the team is held back;
     * maintained by the scheduler; NULL: none. */
    const void *kept_for;
};

struct fleet_task {
    bool done;
    struct failures failures; /* failed runs */
    struct crashes *crashes;  /* of targets that ran it; NULL: none */
    char *checkpoint;         /* latest reported; NULL: none */
};

struct fleet_job {
    struct fleet_submit submit;
    struct fleet_queue *queue;
    struct fleet_team *team;    /* NULL: submitted without a key */
    uint64_t accepted_ms;       /* wall clock, since 1970 */
    bool beyond_share;          /* its team was beyond its rate */
    enum fleet_job_state state; /* JOB_QUEUED for every live job */
    uint64_t ended_ms;          /* wall clock, since 1970; 0: live */
    uint32_t step_count;
    const struct fleet_step *steps; /* owned by submit */
    uint32_t *first_task;      /* per step, its first task's number within an
                                * occurrence */
    uint32_t occurrence_tasks; /* tasks of one occurrence */
    uint32_t task_count;       /* over all occurrences */
    uint32_t tasks_left; /* tasks that are not done, over all occurrences */
    struct fleet_task *tasks; /* NULL once it has ended, as is submit.spec */
    /* Services that the queue had before while the job was live, char *: runs
     * may go on there. NULL: none. See core/fleetservices.c. */
    GPtrArray *former_services;
    uint64_t bytes;   /* estimated (core/room.h), counted in job_bytes */
    bool any_service; /* not known: a target of any service may run it */
    void *plan;       /* the scheduler's struct plan_job; NULL: not planned */
};

struct fleet_target {
    struct fleet_target_rec rec;
    void *plan;          /* the scheduler's struct plan_target; NULL: none */
    bool is_out;         /* see struct fleet_outage */
    struct fp_list held; /* struct fleet_task_id; while it is out */
};

/* A data centre that has or had targets, or that an order named. Entries are
 * never removed. */
struct fleet_data_centre {
    char name[FLEET_NAME_BYTES];
    bool evacuated;      /* no run starts there */
    uint64_t ordered_ms; /* wall clock, of the last order or withdrawal that
                          * changed evacuated; 0: never */
    GQueue orders; /* change IDs of the last orders on it, oldest first */
};

/* Callbacks on changes of the state; each may be NULL. target_removed,
 * job_removed and queue_removed are called before the object is freed.
 * restarted: a known target has a new incarnation. */
struct fleet_ops {
    void (*config_changed)(void *ctx);
    void (*target_changed)(void *ctx, struct fleet_target *target,
                           bool restarted);
    void (*target_removed)(void *ctx, struct fleet_target *target);
    void (*job_added)(void *ctx, struct fleet_job *job);
    void (*job_ended)(void *ctx, struct fleet_job *job);
    void (*job_removed)(void *ctx, struct fleet_job *job);
    void (*evacuation_changed)(void *ctx,
                               const struct fleet_data_centre *data_centre);
    void (*queue_removed)(void *ctx, struct fleet_queue *queue);
    void *ctx;
};

struct fleet {
    struct fleet_ops ops;
    uint64_t retention_ms;    /* how long ended jobs are kept */
    uint64_t now_ms;          /* latest timestamp of a change, since 1970 */
    uint32_t share_window_ms; /* see core/shares.h, for the jobs that this host
                               * proposes; 0: no job is beyond its share */
    uint32_t lease_ms; /* longest lease of a target that may be in force; 0:
                        * not stored; see core/lease.h */
    struct fleet_config config;
    GPtrArray *queues;          /* struct fleet_queue */
    GHashTable *queues_by_host; /* host to GPtrArray of configured queues,
                                 * longest prefix first */
    GHashTable *services;     /* name to struct fleet_service_conf, borrowed */
    GHashTable *teams;        /* name to struct fleet_team */
    GHashTable *teams_by_key; /* key to struct fleet_team, borrowed */
    GHashTable *targets;      /* ID to struct fleet_target */
    GHashTable *data_centres; /* name to struct fleet_data_centre */
    GHashTable *jobs;         /* ID to struct fleet_job */
    GQueue ended_jobs;  /* struct fleet_job, in the order of their ends */
    uint64_t job_bytes; /* estimated, of all jobs */
};

/* Creates an empty state. Ended jobs are kept for retention_ms. */
struct fleet *fleet_new(uint64_t retention_ms);
void fleet_free(struct fleet *fleet);

/* Applies a committed, encoded change and fills in answer. answer->err is
 * FP_OK or:
 *   FP_ERR_CORRUPT      the change cannot be decoded
 *   FP_ERR_STALE        a newer incarnation or announcement of the target, or
 *                       a newer target at its address, is known
 *   FP_ERR_BAD_REQUEST  invalid job; answer->detail says why
 *   FP_ERR_GONE         the job to cancel is unknown
 * A job that is submitted again and a configuration whose version is not
 * higher than the current one change nothing and give FP_OK. answer->first is
 * set for a new job, answer->version to the current configuration's version.
 */
void fleet_apply(struct fleet *fleet, const uint8_t *data, uint32_t size_bytes,
                 struct change_answer *answer);

/* Encodes the whole state as a snapshot; the caller frees out. */
void fleet_save(const struct fleet *fleet, struct fp_blob *out);

/* Replaces the state by a snapshot; fleet->ops, the retention time and
 * share_window_ms stay.
 * No callback is called. Returns FP_ERR_CORRUPT, with the state unchanged,
 * when the snapshot cannot be decoded.
 */
enum fp_err fleet_load(struct fleet *fleet, const struct fp_blob *state);

/* Checks a configuration as a whole: each queue's service exists, no two
 * queues have the same host and prefix, no two teams share a key. Returns
 * FP_OK, or FP_ERR_BAD_REQUEST with the reason as text.
 */
enum fp_err fleet_check_config(const struct fleet_config *config, char *reason,
                               size_t reason_bytes);

/* Checks a job's steps: their number, dependencies and numbers of tasks.
 * Returns FP_OK, or FP_ERR_BAD_REQUEST with the reason as text.
 */
enum fp_err fleet_check_submit(const struct fleet_submit *submit, char *reason,
                               size_t reason_bytes);

/* Checks what a target announces at wall_ms: neither the start of its
 * incarnation nor the number of the announcement is beyond what it can have
 * reached. Otherwise one announcement would shut out all others under its ID
 * and its address. Returns FP_OK, or FP_ERR_BAD_REQUEST with the reason as
 * text.
 */
enum fp_err fleet_check_target(const struct fleet_target_rec *rec,
                               uint64_t wall_ms, char *reason,
                               size_t reason_bytes);

/* Finds the configured queue of the host whose prefix is the longest one that
 * path starts with; NULL: none. The other lookups return NULL likewise.
 */
struct fleet_queue *fleet_find_queue(const struct fleet *fleet,
                                     const char *host, const char *path);
struct fleet_job *fleet_find_job(const struct fleet *fleet, uint64_t id);
struct fleet_target *fleet_find_target(const struct fleet *fleet,
                                       const char *id);
const struct fleet_service_conf *fleet_find_service(const struct fleet *fleet,
                                                    const char *name);

/* Whether a job that is proposed at at_ms, on the wall clock, would be beyond
 * its team's rate. team NULL: it has none. */
bool fleet_is_beyond_share(const struct fleet *fleet,
                           const struct fleet_team *team, uint64_t at_ms);

/* Sets the fields of a job that the leader is to propose at at_ms, on the wall
 * clock. */
void fleet_decide_share(const struct fleet *fleet, struct fleet_submit *job,
                        const struct fleet_team *team, uint64_t at_ms);

/* Whether the state already holds what a target announces, so that no change
 * is needed. stays_ms is not compared, and a leaving target that announces
 * itself as not leaving is no difference. How long it is still cold is one
 * only if that has grown. */
bool fleet_target_is_recorded(const struct fleet *fleet,
                              const struct fleet_target_rec *rec);

/* Whether an evacuation of the data centre is in force. */
bool fleet_is_evacuated(const struct fleet *fleet, const char *data_centre);

/* Whether a target ever announced this data centre, or an order on it was
 * accepted. */
bool fleet_knows_data_centre(const struct fleet *fleet,
                             const char *data_centre);

/* When a target stops being slow after its start, by its announcement, on the
 * wall clock; 0: it is not. */
uint64_t fleet_target_cold_until_ms(const struct fleet_target_rec *rec);

/* Number of a task within its job, counted over all steps and occurrences;
 * UINT32_MAX when the ID is out of range.
 */
uint32_t fleet_task_number(const struct fleet_job *job,
                           const struct fleet_task_id *task);

/* Writes "JOB.occurrence.step.index" for a task, "JOB.occurrence.step" for a
 * step; JOB is the job ID as 16 hexadecimal digits.
 */
#define FLEET_TASK_ID_TEXT_BYTES 64u
void fleet_task_id_text(const struct fleet_task_id *task, char *out,
                        size_t out_bytes);
void fleet_step_id_text(const struct fleet_task_id *task, char *out,
                        size_t out_bytes);

/* Whether the job has not ended. */
bool fleet_job_is_live(const struct fleet_job *job);

#endif /* FP_FLEET_H */
