/* fleetrec.h -- the records of a fleet: configurations, targets, jobs, calls
 *
 * A fleet runs jobs of several steps on targets that the leader calls. The
 * same records go through the log, into snapshots and between hosts. Each is
 * a plain struct with a table (base/schema.h).
 */
#ifndef FP_FLEETREC_H
#define FP_FLEETREC_H

#include "core/change.h"

#define FLEET_NAME_BYTES 64u
#define FLEET_PATH_BYTES 256u
#define FLEET_KEY_BYTES 128u
#define FLEET_LABELS_BYTES 256u
#define FLEET_CHECKPOINT_BYTES 64u
#define FLEET_TICKET_BYTES 96u
#define FLEET_SPEC_MAX_BYTES 4096u
#define FLEET_STEPS_MAX 64u
#define FLEET_STEP_TASKS_MAX 4096u
#define FLEET_JOB_TASKS_MAX 32768u /* over all steps and occurrences */
#define FLEET_ADVICE_MAX 100u      /* targets named in one question */
#define FLEET_CONFIG_MAX_BYTES (1024u * 1024)

enum fleet_change_type {
    FLEET_CONFIG = 100,
    FLEET_TARGET,
    FLEET_TARGET_GONE,
    FLEET_SUBMIT,
    FLEET_CANCEL,
    FLEET_ENDS,
    FLEET_JOB_SAVED, /* only in snapshots */
    FLEET_SNAPSHOT
};

/* What a run came to. */
enum run_outcome {
    RUN_DONE,
    RUN_FAILED,     /* by its own fault or the target's */
    RUN_STOPPED,    /* on order */
    RUN_LAPSED,     /* its lease ran out */
    RUN_BROKEN,     /* another member of its gang ended */
    RUN_INCOMPLETE, /* the rest of its gang did not come in time */
    RUN_OUTCOME_COUNT
};

enum fleet_job_state {
    JOB_QUEUED,
    JOB_RUNNING,
    JOB_COMPLETED,
    JOB_FAILED,
    JOB_CANCELLED,
    JOB_STATE_COUNT
};

/* The three resources that a target has and a task needs. */
struct fleet_size {
    uint64_t cpu_milli; /* thousandths of a processor */
    uint64_t memory_mb;
    uint64_t accel;
};

/* An earlier step that must be done first. */
struct fleet_after {
    uint32_t step;
};

/* A step: tasks of one shape. */
struct fleet_step {
    uint32_t count;
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accel;
    uint32_t estimate_ms; /* rough run time of a task */
    struct fp_list after; /* struct fleet_after */
    bool checkpoints;     /* saves its progress */
    bool gang;            /* all tasks at once, or none */
    bool same_rack;       /* slower when it spans racks */
    bool duplicates;      /* copies may run side by side */
    bool lasting;         /* runs until cancelled */
    bool fills;           /* its processors are left-over ones, not counted */
    uint32_t spread;      /* most tasks of it on one target; 0: any number */
    uint32_t tail_ms;     /* bound on the tail of its own answers; 0: none */
    uint32_t may_miss;    /* tasks that orders may have away at once */
    bool keeps_floor;     /* may_miss was given */
    char label[FLEET_NAME_BYTES]; /* that its target must have */
    char rack[FLEET_NAME_BYTES];  /* where its data is */
    char image[FLEET_NAME_BYTES]; /* what it runs */
};

/* A job, as its caller sent it. */
struct fleet_submit {
    struct change_head head;
    uint64_t id;
    char host[FLEET_NAME_BYTES];   /* of the queue */
    char prefix[FLEET_PATH_BYTES]; /* of the queue */
    char team[FLEET_NAME_BYTES];   /* "" on an open queue */
    struct fp_blob spec;
    struct fp_list steps;  /* struct fleet_step */
    uint64_t first_due_ms; /* of occurrence 0, since 1970 */
    uint32_t interval_ms;  /* between occurrences */
    uint32_t occurrences;  /* 0: the steps run once, at once */
};

struct fleet_cancel {
    struct change_head head;
    uint64_t id;
};

/* One task of one job. */
struct fleet_task_name {
    uint64_t job_id;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
};

struct fleet_end {
    struct fleet_task_name task;
    uint32_t run;
    uint32_t outcome; /* enum run_outcome */
    char checkpoint[FLEET_CHECKPOINT_BYTES];
};

/* Ends that a target reported, before they are acknowledged to it. */
struct fleet_ends {
    struct change_head head;
    struct fp_list items; /* struct fleet_end */
};

/* A queue: where jobs come in, and the policy that they run under. */
struct fleet_queue_conf {
    char name[FLEET_NAME_BYTES];
    char host[FLEET_NAME_BYTES];
    char prefix[FLEET_PATH_BYTES];
    char service[FLEET_NAME_BYTES]; /* whose targets run its tasks */
    uint32_t priority;              /* 0 first */
    uint32_t objective_ms;          /* on top of the stretched run time */
    uint32_t stretch_permille;      /* of the longest chain of run times */
    uint32_t max_attempts;          /* failed runs of a task; 0: no bound */
    bool open;                      /* needs no key */
    bool advised;                   /* starts need a ticket of the policy */
    uint32_t advice_us;             /* time of one question */
    uint32_t advice_each_us;        /* and for each target named */
    uint32_t ticket_ms;             /* a ticket is good this long */
};

struct fleet_service_conf {
    char name[FLEET_NAME_BYTES];
    bool guards_size; /* its targets refuse what does not fit */
    bool standby;     /* its machines are off */
};

struct fleet_key_conf {
    char key[FLEET_KEY_BYTES];
};

struct fleet_team_conf {
    char name[FLEET_NAME_BYTES];
    uint32_t weight;
    uint64_t limit_cpu_milli; /* 0: no limit; the same below */
    uint64_t limit_memory_mb;
    uint64_t limit_accel;
    struct fp_list keys; /* struct fleet_key_conf */
};

/* A whole configuration; the highest version is in force. */
struct fleet_config {
    struct change_head head;
    uint64_t version;
    struct fp_list queues;   /* struct fleet_queue_conf */
    struct fp_list services; /* struct fleet_service_conf */
    struct fp_list teams;    /* struct fleet_team_conf */
    struct fp_blob text;     /* as the operator sent it */
};

/* A target, as it announced itself. */
struct fleet_target_rec {
    struct change_head head;
    char id[FLEET_NAME_BYTES];
    uint64_t born_ms;               /* start of this incarnation, since 1970 */
    char address[FLEET_NAME_BYTES]; /* IP:port */
    char service[FLEET_NAME_BYTES];
    char data_centre[FLEET_NAME_BYTES];
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accel;
    char rack[FLEET_NAME_BYTES];     /* where it stands */
    char labels[FLEET_LABELS_BYTES]; /* joined by commas */
    bool leaving;
    uint32_t stays_ms; /* at least, from its first word that it leaves */
};

struct fleet_target_gone {
    struct change_head head;
    char id[FLEET_NAME_BYTES];
    uint64_t born_ms; /* 0: whatever the incarnation */
};

/* What a job has come to, in snapshots. Tasks without news are left out. */
struct fleet_task_saved {
    uint32_t number; /* over steps and occurrences */
    bool done;
    uint32_t failures;
    uint32_t failed_run;
    char checkpoint[FLEET_CHECKPOINT_BYTES];
};

struct fleet_job_saved {
    struct fleet_submit submit;
    uint32_t state;
    uint64_t ended_ms;
    struct fp_list tasks; /* struct fleet_task_saved */
};

struct fleet_snapshot_item {
    struct fp_blob record;
};

struct fleet_snapshot {
    uint64_t now_ms;
    struct fp_list items; /* struct fleet_snapshot_item */
};

/* Calls from a host to the leader, and from the leader to a helper. */
enum call_kind {
    CALL_SUBMIT = 1,  /* struct call_submit */
    CALL_STATE,       /* struct call_job */
    CALL_CANCEL,      /* struct call_job */
    CALL_WAITING,     /* struct call_job, without an ID */
    CALL_CONFIGURE,   /* struct fleet_config */
    CALL_READ_CONFIG, /* struct call_ping */
    CALL_ANNOUNCE,    /* struct call_announce */
    CALL_LEAVE,       /* struct fleet_target_gone */
    CALL_PING,        /* struct call_ping */
    CALL_ADVISE       /* struct call_advise, to a helper */
};

/* Names a queue by host and path, and its caller by a key. */
struct call_job {
    char host[FLEET_NAME_BYTES];
    char path[FLEET_PATH_BYTES]; /* prefix and, but for CALL_WAITING, ID */
    char key[FLEET_KEY_BYTES];
    bool has_key;
};

struct call_submit {
    struct call_job to;
    struct fleet_submit job; /* without host, prefix, team, id */
};

struct call_ping {
    uint32_t helper; /* 1: the sender can ask for advice */
};

/* A target's word on itself. */
struct call_announce {
    struct fleet_target_rec target;
    uint64_t sequence; /* rises with each announcement */
};

struct call_target_id {
    char id[FLEET_NAME_BYTES];
};

/* Which of these targets may run a step? */
struct call_advise {
    uint64_t job_id;
    uint32_t occurrence;
    uint32_t step;
    uint32_t timeout_ms;
    struct fp_list targets; /* struct call_target_id */
};

struct call_ticket {
    char id[FLEET_NAME_BYTES];
    char ticket[FLEET_TICKET_BYTES];
};

/* The answer to any call; a kind uses what it needs. */
struct call_answer {
    uint32_t err;
    uint32_t state;          /* enum fleet_job_state */
    uint64_t count;          /* waiting jobs */
    uint32_t retry_after_ms; /* 0: the error kind's own */
    struct fp_blob text;     /* a configuration */
    struct fp_list hosts;    /* struct call_host: members, on a ping */
    struct fp_list tickets;  /* struct call_ticket */
};

struct call_host {
    char host[FLEET_NAME_BYTES];
};

extern const struct fp_schema FLEET_STEP_SCHEMA;
extern const struct fp_schema FLEET_SUBMIT_SCHEMA;
extern const struct fp_schema FLEET_CANCEL_SCHEMA;
extern const struct fp_schema FLEET_ENDS_SCHEMA;
extern const struct fp_schema FLEET_CONFIG_SCHEMA;
extern const struct fp_schema FLEET_TARGET_SCHEMA;
extern const struct fp_schema FLEET_TARGET_GONE_SCHEMA;
extern const struct fp_schema FLEET_JOB_SAVED_SCHEMA;
extern const struct fp_schema FLEET_SNAPSHOT_SCHEMA;
extern const struct fp_schema CALL_JOB_SCHEMA;
extern const struct fp_schema CALL_SUBMIT_SCHEMA;
extern const struct fp_schema CALL_PING_SCHEMA;
extern const struct fp_schema CALL_ANNOUNCE_SCHEMA;
extern const struct fp_schema CALL_ADVISE_SCHEMA;
extern const struct fp_schema CALL_FLEET_ANSWER_SCHEMA;

extern const char *const JOB_STATE_NAMES[JOB_STATE_COUNT];
extern const char *const RUN_OUTCOME_NAMES[RUN_OUTCOME_COUNT];

#endif /* FP_FLEETREC_H */
