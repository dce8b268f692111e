/* cell.h -- the replicated state of one cell
 *
 * A deterministic state machine without I/O: the same changes in the same
 * order give the same state on every host. Every change is validated again
 * when it is applied, whoever proposed it, so that a scheduler working from
 * stale state cannot overcommit a target, exceed a limit or start a task
 * twice.
 *
 * Times are wall-clock times in ms since 1970, taken from the changes.
 */
#ifndef FP_CELL_H
#define FP_CELL_H

#include <glib.h>

#include "core/change.h"
#include "core/selector.h"

/* Change IDs remembered to answer changes that are sent again. */
#define CELL_RECENT_CHANGES_MAX 8192u
#define CELL_IDEMPOTENCY_RETENTION_MS (24u * 3600 * 1000)
#define CELL_IDEMPOTENCY_KEYS_MAX 200000u /* further keys are refused */
/* Limit on the sum of all stored response bodies; beyond it the oldest are
 * dropped. */
#define CELL_IDEMPOTENCY_BODIES_MAX_BYTES (8u * 1024 * 1024)
/* Ended jobs stay readable for this long, up to this many. */
#define CELL_ENDED_JOB_RETENTION_MS (3600u * 1000)
#define CELL_ENDED_JOBS_MAX 10000u
/* Charged for work in open queues that belongs to no other team. */
#define CELL_OPEN_TEAM "open"
#define TASK_IDS_PER_JOB 4096u /* task ID = job ID * this + task index */

/* Used where a record leaves the field at 0. */
#define DEFAULT_SLOTS 8u                /* of a target: concurrent requests */
#define DEFAULT_TEAM_MAX_WAITING 10000u /* tasks, and requests on one host */
#define DEFAULT_MAX_ATTEMPTS 3u         /* of a task; services: no maximum */
#define DEFAULT_REQUEST_MAX_MS 10000u
#define DEFAULT_QUEUE_MAX_WAITING 256u /* requests on one host */

/* Number of tasks and sum of their resources. */
struct resources {
    uint32_t running;   /* number of tasks */
    uint64_t cpu_milli; /* thousandths of a processor */
    uint64_t memory_mb;
    uint64_t accel; /* accelerators */
};

/* Units of a team's limit_running that one process holds, one for each request
 * that it may have in flight. */
struct grant {
    uint64_t run_id; /* the process */
    char host[32];
    uint32_t units;
};

struct team {
    struct change_team conf;
    struct resources used;  /* by the team's running tasks */
    uint32_t granted_units; /* sum over grants */
    GArray *grants;         /* struct grant */
    uint32_t waiting;       /* number of waiting tasks */
    void *sched;            /* struct sched_team, owned by the scheduler */
};

struct queue {
    struct change_queue conf;
    struct selector *selector; /* parsed conf.selector */
};

/* A quiet-hours rule. */
struct quiet_hours {
    struct change_quiet_hours conf;
    struct selector *work_selector;   /* parsed conf.selector */
    struct selector *target_selector; /* parsed conf.hosts */
};

struct task;

struct target {
    struct change_target rec;
    char *labels;            /* built-in, given and announced labels */
    struct resources used;   /* by the tasks that run here */
    struct task *first_task; /* list of the tasks that run here */
    void *sched;             /* struct sched_host, owned by the scheduler */
};

struct job {
    struct change_submit rec;
    struct team *team;
    struct selector *selector; /* parsed rec.selector */
    struct queue *queue;       /* NULL once the queue has been removed, which
                                * is refused while the job has unfinished
                                * tasks */
    struct task *tasks;        /* array of rec.count */
    uint32_t unfinished_tasks; /* waiting or running */
    uint64_t ended_ms;         /* end of the latest task to end; 0: none */
    void *sched; /* struct gang or NULL, owned by the scheduler */
};

struct task {
    struct job *job;
    uint64_t id;
    enum task_state state;
    uint32_t attempt;  /* number of the latest attempt; 0: none yet */
    uint32_t failures; /* attempts that ended with END_FAILED */
    uint32_t restarts; /* latest attempts in a row that were lost shortly after
                        * their start, by a restart of the target */
    uint32_t exit_code;
    enum end_outcome last_outcome;
    bool cancelling;             /* running; to be stopped and cancelled */
    struct target *target;       /* NULL unless running */
    struct task *prev_on_target; /* list that begins at target->first_task */
    struct task *next_on_target;
    uint64_t started_ms;  /* start of the latest attempt */
    uint64_t ended_ms;    /* 0: waiting or running */
    uint64_t retry_at_ms; /* earliest start of the next attempt */
    void *sched;          /* struct wait_entry, owned by the scheduler */
};

/* Callbacks, called after the state has changed. Each may be NULL. */
struct cell_ops {
    void (*task_changed)(void *ctx, struct task *task,
                         enum task_state old_state);
    /* The attempt that ran on target has ended; task->target is NULL by now.
     * task_changed follows. */
    void (*attempt_ended)(void *ctx, struct task *task, struct target *target);
    void (*target_changed)(void *ctx, struct target *target);
    void (*config_changed)(void *ctx);
    /* The job is freed after the call. */
    void (*job_removed)(void *ctx, struct job *job);
    void *ctx;
};

struct cell {
    struct cell_ops ops;
    GHashTable *teams;               /* name to struct team */
    GHashTable *keys_by_hash;        /* hash to struct change_key, borrowed */
    GHashTable *keys_by_name;        /* name to struct change_key */
    GHashTable *queues;              /* name to struct queue */
    GHashTable *quiet_hours;         /* name to struct quiet_hours */
    GHashTable *targets;             /* name to struct target */
    GHashTable *jobs;                /* ID to struct job */
    GQueue ended_jobs;               /* struct job, oldest end first */
    GHashTable *recent_changes;      /* change ID to struct recent_change */
    GQueue recent_changes_order;     /* struct recent_change, oldest first */
    GHashTable *idempotency_entries; /* "team\nkey" to struct
                                      * idempotency_entry */
    GQueue idempotency_order; /* struct idempotency_entry, oldest first */
    uint64_t idempotency_body_bytes; /* sum of the stored bodies */
    uint64_t now_ms;                 /* latest time of any change */
    uint64_t config_version;         /* log index of the latest change to the
                                      * configuration */
    /* Requests that were accepted before the limit of a queue was lowered may
     * last this long, until the given wall-clock time; see
     * cell_longest_request_ms(). */
    uint64_t former_request_ms;
    uint64_t former_until_ms;
    uint32_t task_lease_ms; /* longest lease of a target's tasks that may be in
                             * force; 0: not stored; see core/lease.h */
    uint32_t state_counts[TASK_STATE_COUNT]; /* number of tasks by state */
    uint64_t refused_changes[FP_ERR_COUNT];  /* at apply, by error */
};

/* Creates an empty cell. ops is copied and may be NULL. Freed with
 * cell_free().
 */
struct cell *cell_new(const struct cell_ops *ops);

/* cell may be NULL. */
void cell_free(struct cell *cell);

/* Applies the encoded change at a log index. Fills in answer, whose content
 * the caller frees with fp_record_free(&CHANGE_ANSWER_SCHEMA, answer). A
 * change ID that was applied before is not applied again and gets the same
 * answer. A refused change alters only the remembered change IDs and the
 * counts of refusals; a refused CHANGE_END still ends those attempts that are
 * not stale.
 */
void cell_apply(struct cell *cell, uint64_t index, const uint8_t *data,
                size_t size_bytes, struct change_answer *answer);

/* Writes a snapshot of the whole state; the caller frees out with
 * fp_blob_free(). Equal states give equal bytes.
 */
void cell_save(const struct cell *cell, struct fp_blob *out);

/* Replaces the state by that of a snapshot, without calling any callback.
 * Returns FP_ERR_CORRUPT when the snapshot is malformed; the contents of the
 * state are then unspecified.
 */
enum fp_err cell_load(struct cell *cell, const struct fp_blob *blob);

/* Lookups; NULL when there is none. */
struct team *cell_team(const struct cell *cell, const char *name);
struct queue *cell_queue(const struct cell *cell, const char *name);
struct target *cell_target(const struct cell *cell, const char *name);
struct job *cell_job(const struct cell *cell, uint64_t id);
struct task *cell_task(const struct cell *cell, uint64_t id);

/* Finds the team of an API key by the hash of its secret. Returns
 * FP_ERR_NO_KEY when the key is unknown or withdrawn.
 */
enum fp_err cell_key_team(const struct cell *cell, const char *hash,
                          const char **team);

/* Checks whether a team may use a queue; team is NULL for a request without a
 * key. Returns FP_ERR_NO_KEY when a key is missing, FP_ERR_NOT_ALLOWED when
 * the queue belongs to another team.
 */
enum fp_err cell_check_queue_access(const struct queue *queue,
                                    const char *team);

/* Checks whether the job could run if all known targets were empty. Returns
 * FP_ERR_CANNOT_RUN with the reason in why if not.
 */
enum fp_err cell_check_feasible(const struct cell *cell, const struct job *job,
                                char *why, size_t why_bytes);

/* Reports whether the target has room for one more task of this size now.
 * Only the resources in size are used.
 */
bool cell_fits(const struct target *target, const struct change_submit *size);

/* Returns the longest time that a request in flight may take, in ms: by the
 * limits of the queues, and by those that they had when it was accepted. An
 * owner whose predecessor has gone waits for it before it uses the slots.
 */
uint64_t cell_longest_request_ms(const struct cell *cell);

/* Reports whether the team's limits allow count more tasks of this size. Only
 * the resources in size are used.
 */
bool cell_within_limits(const struct team *team,
                        const struct change_submit *size, uint32_t count);

/* Reports whether the selectors of the job and of its queue match the
 * target's labels.
 */
bool cell_selectors_match(const struct job *job, const struct target *target);

/* Returns how many units of the team's limit_running a process holds. */
uint32_t cell_granted_units(const struct team *team, uint64_t run_id);

/* Looks up the request stored under an idempotency key. Fills answer as for a
 * second intent with the same key; the caller frees its content as after
 * cell_apply(). Returns false when the key is unknown.
 */
bool cell_find_outcome(const struct cell *cell, const char *team,
                       const char *key, struct change_answer *answer);

/* Checks invariants: the resources used on each target and the units granted
 * of each team's limit equal the sums over their parts, and no target is
 * overcommitted. Returns false with the first violation in why.
 */
bool cell_check_invariants(const struct cell *cell, char *why,
                           size_t why_bytes);

#endif /* FP_CELL_H */
