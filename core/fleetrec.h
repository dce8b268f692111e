/* fleetrec.h -- the records of a fleet: configurations, targets, jobs, calls
 *
 * A fleet runs jobs of several steps on targets that the leader calls. The
 * same records are used in the log, in snapshots and between hosts. Each is a
 * plain struct with a schema (base/schema.h) that writes its fields under
 * their own names.
 */
#ifndef FP_FLEETREC_H
#define FP_FLEETREC_H

#include "core/change.h"
#include "core/crashes.h"

/* Sizes of texts include the terminating NUL. */
#define FLEET_NAME_BYTES 64u
#define FLEET_PATH_BYTES 256u
#define FLEET_KEY_BYTES 128u
#define FLEET_LABELS_BYTES 256u
#define FLEET_CHECKPOINT_BYTES 1024u
#define FLEET_TICKET_BYTES 1024u
#define FLEET_SPEC_MAX_BYTES 4096u
#define FLEET_STEPS_MAX 64u
#define FLEET_STEP_TASKS_MAX 4096u
#define FLEET_JOB_TASKS_MAX 32768u /* over all steps and occurrences */
/* Latest due time of a job, since 1970: the end of the year 9999. */
#define FLEET_DUE_MAX_MS UINT64_C(253402300799999)
#define FLEET_QUERY_TARGETS_MAX 100u /* targets in one policy query */
#define FLEET_CONFIG_MAX_BYTES (1024u * 1024)
/* A job of FLEET_JOB_TASKS_MAX tasks with the longest checkpoints fits. */
#define FLEET_SNAPSHOT_ITEM_MAX_BYTES (64u * 1024 * 1024)
#define FLEET_DATA_CENTRES_MAX 1024u
#define FLEET_JOB_SERVICES_MAX 64u /* that a job's queue has had */
/* Orders on a data centre whose copies are recognised. */
#define FLEET_EVACUATION_ORDERS_MAX 16u

/* Types of changes and of records in snapshots; stored in both. */
enum fleet_change_type {
    FLEET_CONFIG = 100,
    FLEET_TARGET,
    FLEET_TARGET_REMOVAL,
    FLEET_SUBMIT,
    FLEET_CANCEL,
    FLEET_RUN_ENDS,
    FLEET_JOB_SAVED, /* only in snapshots */
    FLEET_SNAPSHOT,
    FLEET_CRASHES,
    FLEET_EVACUATION,
    FLEET_OUTAGE,
    FLEET_LEASE
};

/* How a run ended. */
enum run_outcome {
    RUN_DONE,
    RUN_FAILED,     /* an error of the task or of the target */
    RUN_STOPPED,    /* by an order of the leader */
    RUN_LAPSED,     /* its lease expired */
    RUN_BROKEN,     /* another member of its gang ended */
    RUN_INCOMPLETE, /* the rest of its gang did not start in time */
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

/* Amounts of the resources that a target has and a task needs. */
struct fleet_resources {
    uint64_t cpu_milli; /* thousandths of a processor */
    uint64_t memory_mb;
    uint64_t accel; /* accelerators */
};

/* An earlier step of the same job that must be done first. */
struct fleet_dependency {
    uint32_t step; /* index in the job */
};

/* A step: tasks with the same requirements. */
struct fleet_step {
    uint32_t count;     /* tasks */
    uint32_t cpu_milli; /* per task, as are memory_mb and accel */
    uint32_t memory_mb;
    uint32_t accel;
    uint32_t estimate_ms; /* estimated run time of a task */
    struct fp_list after; /* struct fleet_dependency */
    bool checkpoints;     /* its tasks save checkpoints */
    bool gang;            /* all tasks run together or none does */
    bool same_rack;       /* tightly coupled: slower across racks */
    bool duplicates;      /* a task may run more than once in parallel */
    bool lasting;         /* runs until cancelled */
    bool fills;           /* uses spare processors, which are not counted */
    uint32_t spread;      /* limit on its tasks on one target; 0: none */
    uint32_t tail_ms; /* bound on the tail latency of its responses; 0: none */
    uint32_t may_miss; /* limit on tasks stopped by orders at once */
    bool keeps_floor;  /* may_miss is set, possibly to 0 */
    char label[FLEET_NAME_BYTES]; /* label required of targets; "": none */
    char rack[FLEET_NAME_BYTES];  /* rack of its data; "": none */
    char image[FLEET_NAME_BYTES]; /* image that it runs */
};

/* A job as submitted. */
struct fleet_submit {
    struct change_head head;
    uint64_t id;
    char host[FLEET_NAME_BYTES];   /* host of the queue */
    char prefix[FLEET_PATH_BYTES]; /* path prefix of the queue */
    char team[FLEET_NAME_BYTES];   /* "": submitted without a key */
    struct fp_blob spec;           /* passed to the targets unchanged */
    struct fp_list steps;          /* struct fleet_step */
    uint64_t first_due_ms;         /* due time of occurrence 0, since 1970 */
    uint32_t interval_ms;          /* between occurrences */
    uint32_t occurrences; /* 0: the steps run once, without a due time */
    /* Set by the leader that proposes the job: */
    bool beyond_share;        /* its team is beyond its rate */
    uint32_t share_window_ms; /* see core/shares.h; 0: the job does not count
                               * for its team's rate */
};

struct fleet_cancel {
    struct change_head head;
    uint64_t id;
};

/* Identifies a task; where a step is meant, index is not used. */
struct fleet_task_id {
    uint64_t job_id;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index; /* within the step */
};

/* The end of a run of a task. */
struct fleet_run_end {
    struct fleet_task_id task;
    uint32_t run;     /* number of the run; rises with each run of the task */
    uint32_t outcome; /* enum run_outcome */
    char checkpoint[FLEET_CHECKPOINT_BYTES]; /* "": none */
};

/* Ends of runs that a target reported. They are acknowledged to the target
 * once this change is committed. */
struct fleet_run_ends {
    struct change_head head;
    struct fp_list items; /* struct fleet_run_end */
};

/* Evidence of a crash of a target on one of the tasks that ran there. */
struct fleet_task_crash {
    struct fleet_task_id task;
    uint32_t run;
    uint32_t evidence; /* enum crash_evidence */
    uint32_t ran_ms;
};

/* Evidence that the leader has gathered; see core/crashes.h. */
struct fleet_crashes {
    struct change_head head;
    struct fp_list items; /* struct fleet_task_crash */
};

/* A queue: the host and path prefix that jobs are submitted to, and the rules
 * for scheduling them. */
struct fleet_queue_conf {
    char name[FLEET_NAME_BYTES];
    char host[FLEET_NAME_BYTES];
    char prefix[FLEET_PATH_BYTES];
    char service[FLEET_NAME_BYTES]; /* service whose targets run its tasks */
    uint32_t priority;              /* 0 is the highest */
    uint32_t objective_ms;          /* fixed part of a job's time objective */
    uint32_t stretch_permille;      /* added to objective_ms, per mille of the
                                     * job's critical path */
    uint32_t max_attempts;          /* failed runs of a task; 0: no limit */
    bool open;                      /* accepts jobs without a key */
    bool advised;                   /* starts need a ticket of the placement
                                     * policy */
    uint32_t advice_us;             /* expected duration of a policy query */
    uint32_t advice_each_us;        /* added to advice_us for each target in
                                     * the query */
    uint32_t ticket_ms;             /* how long a ticket is valid */
};

struct fleet_service_conf {
    char name[FLEET_NAME_BYTES];
    bool guards_size; /* its targets refuse starts that exceed capacity */
    bool standby;     /* its machines are powered off */
};

struct fleet_key_conf {
    char key[FLEET_KEY_BYTES];
};

struct fleet_team_conf {
    char name[FLEET_NAME_BYTES];
    uint32_t weight; /* relative to other teams; set by the operator */
    /* Limits on what its runs use together; 0: no limit. */
    uint64_t limit_cpu_milli;
    uint64_t limit_memory_mb;
    uint64_t limit_accel;
    struct fp_list keys; /* struct fleet_key_conf */
};

/* A whole configuration; the one with the highest version is current. */
struct fleet_config {
    struct change_head head;
    uint64_t version;
    struct fp_list queues;   /* struct fleet_queue_conf */
    struct fp_list services; /* struct fleet_service_conf */
    struct fp_list teams;    /* struct fleet_team_conf */
    struct fp_blob text;     /* as the operator submitted it */
};

/* A target as announced by itself. An incarnation is one run of its process.
 */
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
    char rack[FLEET_NAME_BYTES];     /* rack that it is in */
    char labels[FLEET_LABELS_BYTES]; /* separated by commas */
    bool leaving;                    /* draining: takes no new tasks */
    uint32_t stays_ms; /* it stays at least this long after it first
                        * announced that it is leaving */
    uint64_t sequence; /* of the announcement, within its incarnation; 0:
                        * not known */
    uint32_t cold_ms;  /* how much longer it is slow after its start */
    /* Set by the replicas: another service was announced under its ID. A start
     * that was sent to it before, or to its last incarnation, may go on. */
    bool changed_service;
    /* Set by the replicas: it has said that it ends, or another target has
     * announced its address. Neither proves that its runs have ended: it is
     * kept, without starts, until none of them can go on. */
    bool departed;
};

/* Evacuates a data centre: no run starts there any more. Or withdraws that
 * order. head.change_id identifies the order: copies of it change nothing. */
struct fleet_evacuation {
    struct change_head head;
    char data_centre[FLEET_NAME_BYTES];
    bool withdrawn;
};

/* Removes a target, or marks it as departed. */
struct fleet_target_removal {
    struct change_head head;
    char id[FLEET_NAME_BYTES];
    uint64_t born_ms; /* incarnation; 0: any */
    /* The target says that it ends: its runs may go on. Else none can. Hosts
     * of older versions ignore this. */
    bool is_notice;
};

/* A target does not answer or is leaving, and gets no starts before the record
 * says that this is over. Hosts of older versions ignore it. */
struct fleet_outage {
    struct change_head head;
    char id[FLEET_NAME_BYTES];
    uint64_t born_ms; /* incarnation */
    bool is_over;
    struct fp_list tasks; /* struct fleet_task_id: all that may run there */
};

/* The longest lease of a target that may be in force; see core/lease.h. Hosts
 * of older versions ignore it. */
struct fleet_lease {
    struct change_head head;
    uint32_t lease_ms;
};

/* A run that was counted as a failure. */
struct fleet_failed_run {
    uint32_t run;
};

/* An entry of struct crashes. */
struct fleet_crash_saved {
    uint32_t run;
    uint32_t evidence;
};

/* Progress of a task, in snapshots; see struct fleet_task. */
struct fleet_task_saved {
    uint32_t number; /* see fleet_task_number() */
    bool done;
    uint32_t failures;
    uint32_t failed_run; /* highest run number counted as a failure */
    char checkpoint[FLEET_CHECKPOINT_BYTES];
    struct fp_list failed_runs; /* struct fleet_failed_run; empty in a snapshot
                                 * by a version without it */
    struct fp_list crashes;     /* struct fleet_crash_saved */
    uint32_t crash_cleared_run;
    uint32_t crash_ran_ms;
};

/* A service whose targets may run a job, in snapshots. */
struct fleet_service_saved {
    char name[FLEET_NAME_BYTES];
};

/* A job with its progress, in snapshots. Only tasks that are done or have a
 * failure or a checkpoint are listed. */
struct fleet_job_saved {
    struct fleet_submit submit;
    uint32_t state; /* enum fleet_job_state */
    uint64_t ended_ms;
    struct fp_list tasks;    /* struct fleet_task_saved */
    struct fp_list services; /* struct fleet_service_saved: the queue's and its
                              * former ones; empty: all */
};

/* The share of a team, in snapshots. */
struct fleet_share_saved {
    char team[FLEET_NAME_BYTES];
    uint64_t tokens_micro;
    uint64_t updated_ms;
};

/* An order on a data centre that was applied. */
struct fleet_evacuation_order {
    char change_id[NAME_BYTES];
};

/* A data centre, in snapshots; see struct fleet_data_centre. */
struct fleet_data_centre_saved {
    char name[FLEET_NAME_BYTES];
    bool evacuated;
    uint64_t ordered_ms;
    struct fp_list orders; /* struct fleet_evacuation_order, oldest first */
};

/* The record of a configuration, a target, a data centre or a job, in
 * snapshots. */
struct fleet_snapshot_item {
    struct fp_blob record; /* encoded */
};

struct fleet_snapshot {
    uint64_t now_ms;
    struct fp_list items; /* struct fleet_snapshot_item */
    /* Not among the items, since earlier versions refuse a snapshot with an
     * item of an unknown type: */
    struct fp_list shares;       /* struct fleet_share_saved */
    struct fp_list data_centres; /* struct fleet_data_centre_saved */
    struct fp_list outages;      /* struct fleet_snapshot_item: fleet_outage */
    uint32_t lease_ms;           /* see struct fleet_lease; 0: not stored */
    /* Queues with live jobs that the configuration has dropped. */
    struct fp_list removed_queues; /* struct fleet_queue_conf */
};

/* Calls from a host to the leader, and from the leader to hosts that query the
 * placement policy for it (helpers). */
enum call_kind {
    CALL_SUBMIT = 1,       /* struct call_submit */
    CALL_STATE,            /* struct call_job */
    CALL_CANCEL,           /* struct call_job */
    CALL_WAITING,          /* struct call_job; path has no ID */
    CALL_CONFIGURE,        /* struct fleet_config */
    CALL_READ_CONFIG,      /* struct call_ping */
    CALL_ANNOUNCE,         /* struct call_announce */
    CALL_LEAVE,            /* struct fleet_target_removal */
    CALL_PING,             /* struct call_ping */
    CALL_ADVISE,           /* struct call_advise, to a helper */
    CALL_EVACUATE,         /* struct fleet_evacuation */
    CALL_READ_EVACUATIONS, /* struct call_ping */
    CALL_KIND_COUNT
};

/* The queue or job that a call is about, and the caller's key. */
struct call_job {
    char host[FLEET_NAME_BYTES];
    char path[FLEET_PATH_BYTES]; /* queue's prefix and, except for
                                  * CALL_WAITING, job ID */
    char key[FLEET_KEY_BYTES];
    bool has_key;
};

struct call_submit {
    struct call_job to;      /* the queue and the new job's ID */
    struct fleet_submit job; /* the leader sets host, prefix, team and id */
};

struct call_ping {
    uint32_t helper; /* 1: the sender can query the placement policy */
    char data_centre[FLEET_NAME_BYTES]; /* of the sender */
    uint32_t memory_mb; /* limit of the sender; 0: none, or an older version */
};

/* A target's announcement of itself. */
struct call_announce {
    struct fleet_target_rec target;
    uint64_t sequence; /* increases with each announcement */
};

struct call_target_id {
    char id[FLEET_NAME_BYTES];
};

/* Queries the placement policy: which of these targets may run a step. */
struct call_advise {
    uint64_t job_id;
    uint32_t occurrence;
    uint32_t step;
    uint32_t timeout_ms;    /* timeout of the query */
    struct fp_list targets; /* struct call_target_id */
};

/* Permits a target to run the step that was queried. */
struct call_ticket {
    char id[FLEET_NAME_BYTES]; /* ID of the target */
    char ticket[FLEET_TICKET_BYTES];
};

/* The answer to a call of any kind; each kind sets the fields it needs. */
struct call_answer {
    uint32_t err;               /* enum fp_err */
    uint32_t state;             /* enum fleet_job_state */
    uint64_t count;             /* waiting jobs */
    uint32_t retry_after_ms;    /* 0: the default of the error */
    struct fp_blob text;        /* CALL_READ_CONFIG: the configuration */
    struct fp_list hosts;       /* struct call_host; CALL_PING: cell members */
    struct fp_list tickets;     /* struct call_ticket; CALL_ADVISE */
    struct fp_list evacuations; /* struct call_evacuation;
                                 * CALL_READ_EVACUATIONS */
    /* CALL_ADVISE: the fields of struct policy_reply; all 0 from hosts of
     * older versions. */
    uint32_t policy_status;
    uint32_t policy_bytes;
    uint32_t policy_unread;
    uint32_t policy_took_ms;
};

/* An evacuation in force. */
struct call_evacuation {
    char data_centre[FLEET_NAME_BYTES];
    uint64_t ordered_ms; /* since 1970 */
    uint32_t targets;    /* in that data centre */
    uint32_t runs;       /* that have not ended there */
    uint32_t lasting;    /* of them, runs that do not end by themselves */
};

struct call_host {
    char host[FLEET_NAME_BYTES];
};

extern const struct fp_schema FLEET_STEP_SCHEMA;
extern const struct fp_schema FLEET_SUBMIT_SCHEMA;
extern const struct fp_schema FLEET_CANCEL_SCHEMA;
extern const struct fp_schema FLEET_RUN_ENDS_SCHEMA;
extern const struct fp_schema FLEET_CRASHES_SCHEMA;
extern const struct fp_schema FLEET_CONFIG_SCHEMA;
extern const struct fp_schema FLEET_TARGET_SCHEMA;
extern const struct fp_schema FLEET_TARGET_REMOVAL_SCHEMA;
extern const struct fp_schema FLEET_OUTAGE_SCHEMA;
extern const struct fp_schema FLEET_LEASE_SCHEMA;
extern const struct fp_schema FLEET_EVACUATION_SCHEMA;
extern const struct fp_schema FLEET_DATA_CENTRE_SAVED_SCHEMA;
extern const struct fp_schema FLEET_JOB_SAVED_SCHEMA;
extern const struct fp_schema FLEET_SNAPSHOT_SCHEMA;
extern const struct fp_schema CALL_JOB_SCHEMA;
extern const struct fp_schema CALL_SUBMIT_SCHEMA;
extern const struct fp_schema CALL_PING_SCHEMA;
extern const struct fp_schema CALL_ANNOUNCE_SCHEMA;
extern const struct fp_schema CALL_ADVISE_SCHEMA;
extern const struct fp_schema CALL_ANSWER_SCHEMA;

/* Indexed by enum fleet_job_state and enum run_outcome. */
extern const char *const JOB_STATE_NAMES[JOB_STATE_COUNT];
extern const char *const RUN_OUTCOME_NAMES[RUN_OUTCOME_COUNT];

#endif /* FP_FLEETREC_H */
