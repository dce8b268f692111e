/* cell.h -- the replicated state of one cell
 *
 * A pure, deterministic state machine: the same changes in the same order
 * give the same state on every host. Every change is checked again when it is
 * applied, whoever proposed it, so that a scheduler that worked from an old
 * view cannot overcommit a target, exceed a limit or start a task twice.
 */
#ifndef FP_CELL_H
#define FP_CELL_H

#include <glib.h>

#include "core/change.h"
#include "core/selector.h"

#define CELL_SEEN_MAX 8192u /* change IDs remembered, newest */
#define CELL_IDEMPOTENCY_KEEP_MS (24u * 3600 * 1000)
#define CELL_IDEMPOTENCY_MAX 200000u /* keys; more are refused */
#define CELL_IDEMPOTENCY_BODY_MAX_BYTES (8u * 1024 * 1024) /* all bodies */
#define CELL_ENDED_KEEP_MS (3600u * 1000) /* ended jobs stay readable */
#define CELL_ENDED_MAX 10000u             /* ended jobs kept at most */
#define CELL_OPEN_TEAM "open" /* pays for work of open queues without team */
#define TASK_ID_PER_JOB 4096u /* task ID = job ID * this + index */
#define DEFAULT_SLOTS 8u
#define DEFAULT_TEAM_WAITING 10000u
#define DEFAULT_MAX_ATTEMPTS 3u
#define DEFAULT_REQUEST_MAX_MS 10000u
#define DEFAULT_QUEUE_WAITING 256u

/* What running work takes of a target or a team. */
struct use {
    uint32_t running;
    uint64_t cpu_milli;
    uint64_t memory_mb;
    uint64_t accel;
};

/* Units of a team's limit that one process holds for requests. */
struct grant {
    uint64_t run_id;
    char host[32];
    uint32_t units;
};

struct team {
    struct change_team conf;
    struct use use;   /* of its running tasks */
    uint32_t granted; /* sum over grants */
    GArray *grants;   /* struct grant */
    uint32_t waiting; /* its waiting tasks */
    void *sched;      /* the scheduler's own record */
};

struct queue {
    struct change_queue conf;
    struct selector *selector;
};

struct hours {
    struct change_hours conf;
    struct selector *work;
    struct selector *hosts;
};

struct task;

struct target {
    struct change_target rec;
    char *labels;       /* all of them, built-in ones too */
    struct use use;     /* of the tasks that run here */
    struct task *first; /* tasks that run here */
    void *sched;        /* the scheduler's own record */
};

struct job {
    struct change_submit rec;
    struct team *team;
    struct selector *selector; /* the job's own */
    struct queue *queue;       /* NULL once removed; open jobs keep theirs */
    struct task *tasks;        /* rec.count of them */
    uint32_t open;             /* tasks that have not ended */
    uint64_t ended_ms;
    void *sched;
};

struct task {
    struct job *job;
    uint64_t id;
    enum task_state state;
    uint32_t attempt;  /* number of the newest attempt; 0: none yet */
    uint32_t failures; /* attempts that ran and failed */
    uint32_t exit_code;
    enum end_outcome last_outcome;
    bool cancelling;        /* to be stopped, then cancelled */
    struct target *target;  /* while running */
    struct task *prev_here; /* in target->first */
    struct task *next_here;
    uint64_t started_ms;
    uint64_t ended_ms;
    uint64_t retry_at_ms; /* not before this */
    void *sched;
};

/* Told of changes after they are in the state. Any may be NULL. */
struct cell_ops {
    void (*task_changed)(void *ctx, struct task *task, enum task_state was);
    /* An attempt is off its target; task_changed follows. */
    void (*attempt_ended)(void *ctx, struct task *task, struct target *target);
    void (*target_changed)(void *ctx, struct target *target);
    void (*config_changed)(void *ctx);
    void (*job_removed)(void *ctx, struct job *job);
    void *ctx;
};

struct cell {
    struct cell_ops ops;
    GHashTable *teams;     /* name to struct team */
    GHashTable *keys;      /* hash to struct change_key */
    GHashTable *key_names; /* name to the same struct change_key */
    GHashTable *queues;    /* name to struct queue */
    GHashTable *hours;     /* name to struct hours */
    GHashTable *targets;   /* name to struct target */
    GHashTable *jobs;      /* ID to struct job */
    GQueue ended;          /* ended jobs, oldest first */
    GHashTable *seen;      /* change ID to struct seen */
    GQueue seen_order;
    GHashTable *idempotency; /* "team\nkey" to struct idempotency */
    GQueue idempotency_order;
    uint64_t idempotency_bytes; /* sum of kept bodies */
    uint64_t now_ms;            /* newest wall clock of any change */
    uint64_t config_version;    /* log index of the newest configuration */
    uint32_t state_counts[TASK_STATE_COUNT];
    uint64_t refused[FP_ERR_COUNT]; /* changes refused at apply, by kind */
};

struct cell *cell_new(const struct cell_ops *ops);
void cell_free(struct cell *cell);

/* Applies one encoded change at a log index. answer is filled in; the caller
 * frees it with fp_record_free(&CHANGE_ANSWER_SCHEMA, ...). A change that is
 * refused leaves the state as it was, but for the memory of its change ID.
 */
void cell_apply(struct cell *cell, uint64_t index, const uint8_t *data,
                size_t size_bytes, struct change_answer *answer);

/* Writes the whole state; out is freed by the caller. */
void cell_save(const struct cell *cell, struct fp_blob *out);

/* Replaces the state. On FP_ERR_CORRUPT the state is empty. */
enum fp_err cell_load(struct cell *cell, const struct fp_blob *blob);

/* Lookups; NULL when absent. */
struct team *cell_team(const struct cell *cell, const char *name);
struct queue *cell_queue(const struct cell *cell, const char *name);
struct target *cell_target(const struct cell *cell, const char *name);
struct job *cell_job(const struct cell *cell, uint64_t id);
struct task *cell_task(const struct cell *cell, uint64_t id);

/* Finds the team of a key by the hash of its secret.
 * Returns FP_ERR_NO_KEY when it is unknown or withdrawn.
 */
enum fp_err cell_key_team(const struct cell *cell, const char *hash,
                          const char **team);

/* Reports whether a team may use a queue. team may be NULL: no key came. */
enum fp_err cell_may_use(const struct queue *queue, const char *team);

/* Says why a job of this size can never run, or returns FP_OK. */
enum fp_err cell_can_ever_run(const struct cell *cell, const struct job *job,
                              char *why, size_t why_bytes);

/* Reports whether one more task of the job fits on the target now. */
bool cell_fits(const struct target *target, const struct change_submit *size);

/* Reports whether the team's limits admit count more tasks of this size. */
bool cell_within_limit(const struct team *team,
                       const struct change_submit *size, uint32_t count);

/* Reports whether the job's selectors admit the target. */
bool cell_selects(const struct job *job, const struct target *target);

/* The units that a process holds of a team's limit. */
uint32_t cell_granted(const struct team *team, uint64_t run_id);

/* Finds what the request under an idempotency key came to, as the answer to a
 * second intent would tell it. Returns false when there is no such key.
 */
bool cell_outcome(const struct cell *cell, const char *team, const char *key,
                  struct change_answer *answer);

/* Checks the invariants (sums equal their parts, nothing over its size).
 * Returns false and fills why at the first that does not hold.
 */
bool cell_check(const struct cell *cell, char *why, size_t why_bytes);

#endif /* FP_CELL_H */
