/* change.h -- replicated changes and the records of the state
 *
 * The record of an object of the cell is also the change that sets it: an
 * operator's request, a log entry and a snapshot hold the same struct with the
 * same schema. The comments on the fields of such a struct match the help
 * texts in change.c. Fields named run_id hold the ID of one run of a process
 * or target, from its start to its exit.
 */
#ifndef FP_CHANGE_H
#define FP_CHANGE_H

#include "base/schema.h"

/* Sizes of text fields, with the NUL. */
#define NAME_BYTES 64u
#define LABELS_BYTES 256u
#define SELECTOR_BYTES 256u

#define PAYLOAD_MAX_BYTES (16u * 1024)
#define JOB_MAX_TASKS 4096u
#define CHANGE_MAX_ITEMS 4096u
#define OUTCOME_BODY_MAX_BYTES (64u * 1024)

enum change_type {
    CHANGE_TEAM = 1,
    CHANGE_KEY,
    CHANGE_QUEUE,
    CHANGE_QUIET_HOURS,
    CHANGE_LABELS,
    CHANGE_TARGET,
    CHANGE_TARGET_STATE,
    CHANGE_SUBMIT,
    CHANGE_PLACE,
    CHANGE_END,
    CHANGE_CANCEL,
    CHANGE_OWNER,
    CHANGE_GRANT,
    CHANGE_PROCESS_ENDED,
    CHANGE_INTENT,
    CHANGE_OUTCOME,
    CHANGE_TASK_LEASE,
    CHANGE_TYPE_COUNT,
    /* Records of snapshots; RECORD_ANSWER is also sent as a reply. */
    RECORD_TASK = 60,
    RECORD_IDEMPOTENCY,
    RECORD_RECENT_CHANGE,
    RECORD_CELL,
    RECORD_ANSWER
};

/* The header that every change starts with. */
struct change_head {
    char change_id[NAME_BYTES]; /* ID of the change, kept in resends */
    uint64_t at_ms;             /* proposer's wall clock, ms since 1970 */
};

enum work_kind { WORK_SERVICE, WORK_BATCH, WORK_GANG, WORK_URGENT };

enum quiet_hours_action {
    QUIET_HOURS_WAIT,
    QUIET_HOURS_THROTTLE,
    QUIET_HOURS_MOVE
};

enum target_state { TARGET_UP, TARGET_LEAVING, TARGET_DOWN };

enum task_state {
    TASK_WAITING,
    TASK_RUNNING,
    TASK_DONE,
    TASK_FAILED,
    TASK_CANCELLED,
    TASK_STATE_COUNT
};

enum end_outcome {
    END_DONE,    /* exited with code 0 */
    END_FAILED,  /* exited with another code or failed otherwise */
    END_LOST,    /* the lease expired or the target restarted */
    END_STOPPED, /* stopped by order; the task runs again later */
    END_NOT_RUN, /* never started, as the target reports */
    END_OUTCOME_COUNT
};

enum idempotency_state { IDEMPOTENCY_RUNNING, IDEMPOTENCY_ENDED };

/* A team, with its share of a full cell and its limits. */
struct change_team {
    struct change_head head;
    char name[NAME_BYTES]; /* name of the team */
    uint32_t weight; /* relative share when the cell is full, 1 to 1000 */
    uint32_t limit_running;   /* concurrent tasks and requests; 0: no limit */
    uint64_t limit_cpu_milli; /* thousandths of a processor; 0: no limit */
    uint64_t limit_memory_mb; /* memory of running tasks, MB; 0: no limit */
    uint32_t limit_accel;     /* accelerators; 0: no limit */
    uint32_t max_waiting; /* waiting tasks, and requests per host; 0: 10000 */
    bool remove;          /* removes the team */
    bool check_version;   /* refuse unless version is the current one */
    uint64_t version;     /* log index of its last change; 0: new */
};

/* An API key; only the hash of its secret is stored. */
struct change_key {
    struct change_head head;
    char name[NAME_BYTES]; /* name of the key, not the secret */
    char team[NAME_BYTES]; /* team that the key belongs to */
    char hash[72];         /* BLAKE2b-256 of the secret, hexadecimal */
    bool withdrawn;        /* revokes the key */
    bool check_version;    /* refuse unless version is the current one */
    uint64_t version;      /* log index of its last change; 0: new */
};

/* A queue, to which work is submitted, and its scheduling policy. */
struct change_queue {
    struct change_head head;
    char name[NAME_BYTES];         /* name of the queue */
    uint32_t kind;                 /* policy: service, batch, gang, urgent */
    bool open;                     /* accepts calls without a key */
    char team[NAME_BYTES];         /* only this team may use it; empty: all */
    char service[NAME_BYTES];      /* requests go to targets of this service */
    char selector[SELECTOR_BYTES]; /* targets that may run its work */
    char labels[LABELS_BYTES];     /* labels of its work, for quiet hours */
    uint32_t request_max_ms; /* longest duration of a request, ms; 0: 10000 */
    uint32_t max_waiting;    /* waiting requests per host; 0: 256 */
    bool remove;             /* removes the queue */
    bool check_version;      /* refuse unless version is the current one */
    uint64_t version;        /* log index of its last change; 0: new */
};

/* A rule on quiet hours, in which selected work waits, is throttled or moves.
 */
struct change_quiet_hours {
    struct change_head head;
    char name[NAME_BYTES];         /* name of the rule */
    char selector[SELECTOR_BYTES]; /* work that the rule applies to */
    char hosts[SELECTOR_BYTES];    /* targets that the rule applies to */
    char time_zone[NAME_BYTES];    /* such as Europe/Athens */
    char days[32]; /* days on which it begins: mon,tue,...; empty: all */
    uint32_t from_minute; /* start, minutes after midnight, 0 to 1439 */
    uint32_t to_minute;   /* end, minutes; before the start: next day */
    uint32_t action;      /* wait, throttle or move */
    bool remove;          /* removes the rule */
    bool check_version;   /* refuse unless version is the current one */
    uint64_t version;     /* log index of its last change; 0: new */
};

/* Labels that an operator sets on a target, besides those it announces. */
struct change_labels {
    struct change_head head;
    char target[NAME_BYTES];   /* name of the target */
    char labels[LABELS_BYTES]; /* key=value,key=value */
    bool check_version;        /* refuse unless version is the current one */
    uint64_t version;          /* log index of its last change; 0: new */
};

/* A target: its announcement, and the state that the cell keeps of it. */
struct change_target {
    struct change_head head;
    char name[NAME_BYTES]; /* name of the target */
    uint64_t run_id;       /* ID of the target's run, new at each start */
    char data_centre[NAME_BYTES]; /* data centre of the target */
    char rack[NAME_BYTES];        /* rack of the target */
    char address[NAME_BYTES];     /* IP address and port for requests */
    char service[NAME_BYTES];     /* service of the target; empty: none */
    uint32_t slots;               /* concurrent requests; 0: 8 */
    uint32_t cpu_milli;           /* thousandths of a processor */
    uint32_t memory_mb;           /* memory, MB */
    uint32_t accel;               /* accelerators */
    char labels[LABELS_BYTES];    /* labels from the announcement */
    uint32_t state;               /* up, leaving or down */
    uint64_t owner_run;           /* process that owns its slots; 0: none */
    char owner_host[32];          /* host of that process */
    uint64_t owner_epoch;         /* incremented at each change of owner */
    bool owner_clean;             /* no earlier owner can still use a slot */
    bool was_owned;               /* a process has owned its slots */
    char given_labels[LABELS_BYTES]; /* labels set by operators */
    uint64_t labels_version;         /* version of given_labels */
    uint64_t version;                /* log index of its last change */
};

/* Sets the state of a target. */
struct change_target_state {
    struct change_head head;
    char name[NAME_BYTES];
    uint64_t run_id; /* refused if the target has another; 0: any */
    uint32_t state;
};

/* A job of one or more identical tasks. */
struct change_submit {
    struct change_head head;
    char queue[NAME_BYTES];        /* queue of the job */
    char team[NAME_BYTES];         /* team that is charged; set from the key */
    uint32_t kind;                 /* set from the queue */
    uint32_t count;                /* tasks; 0: 1 */
    uint32_t cpu_milli;            /* thousandths of a processor, each task */
    uint32_t memory_mb;            /* memory of each task, MB */
    uint32_t accel;                /* accelerators of each task */
    uint32_t run_ms;               /* declared run time, ms; 0: not known */
    char labels[LABELS_BYTES];     /* labels of the work */
    char selector[SELECTOR_BYTES]; /* targets that may run it */
    uint32_t max_attempts; /* failed attempts of a task until it fails; 0: 3 */
    struct fp_blob payload; /* data passed to the target */
    uint64_t id;            /* job ID; set by the system */
    uint64_t submitted_ms;  /* wall clock, ms since 1970; set by the system */
};

/* The start of an attempt of a task on a target. */
struct place_item {
    uint64_t task_id;
    uint32_t attempt;
    char target[NAME_BYTES];
};

/* Starts attempts; applies all items or none. */
struct change_place {
    struct change_head head;
    struct fp_list items; /* struct place_item */
};

/* The end of an attempt of a task. */
struct end_item {
    uint64_t task_id;
    uint32_t attempt;
    uint32_t outcome; /* enum end_outcome */
    uint32_t exit_code;
    uint64_t retry_at_ms; /* earliest next attempt, ms since 1970 */
};

/* Ends attempts; each item is applied on its own. */
struct change_end {
    struct change_head head;
    struct fp_list items; /* struct end_item */
};

/* Cancels a job, a task or the waiting work of a queue. */
struct change_cancel {
    struct change_head head;
    uint64_t id;            /* ID of a job or task; 0: whole queue */
    char queue[NAME_BYTES]; /* with ID 0: all waiting work of this queue */
    char team[NAME_BYTES];  /* only work of this team; empty: any */
};

/* Assigns the slots of a target to a process, or withdraws them. */
struct change_owner {
    struct change_head head;
    char target[NAME_BYTES];
    uint64_t run_id; /* new owner; 0: none */
    char host[32];   /* host of the new owner */
    uint64_t epoch;  /* current epoch, which the change replaces */
    bool clean;      /* the old owner returned all slots idle */
};

/* Sets how many units of a team's limit_running a process is granted. It may
 * have one request in flight for each unit. */
struct change_grant {
    struct change_head head;
    char team[NAME_BYTES];
    uint64_t run_id;
    char host[32];
    uint32_t units;
    uint32_t was; /* units held now; refused if they differ */
};

/* Removes the grants of a process that has ended. */
struct change_process_ended {
    struct change_head head;
    uint64_t run_id;
};

/* Records that a non-repeatable request is about to be sent. */
struct change_intent {
    struct change_head head;
    char team[NAME_BYTES];
    char key[128];        /* idempotency key */
    char digest[72];      /* hash of the request; a resend has the same */
    uint64_t run_id;      /* process that sends the request */
    uint64_t deadline_ms; /* wall clock, ms since 1970 */
};

/* Records the outcome of a non-repeatable request. */
struct change_outcome {
    struct change_head head;
    char team[NAME_BYTES];
    char key[128];
    uint64_t run_id;
    bool not_run; /* nothing was sent; the intent is withdrawn */
    uint32_t err;
    uint32_t status;
    char content_type[128];
    struct fp_blob body;
};

/* A task, in snapshots. */
struct record_task {
    uint64_t id;
    uint32_t state;
    uint32_t attempt;
    uint32_t failures;
    uint32_t restarts;
    uint32_t exit_code;
    uint32_t last_outcome;
    char target[NAME_BYTES];
    uint64_t started_ms;
    uint64_t ended_ms;
    uint64_t retry_at_ms;
    bool cancelling;
};

/* An idempotency key and the outcome of its request, in snapshots. */
struct record_idempotency {
    char team[NAME_BYTES];
    char key[128];
    char digest[72];
    uint64_t run_id;
    uint32_t state;
    uint64_t deadline_ms;
    uint64_t ended_ms;
    uint32_t err;
    uint32_t status;
    char content_type[128];
    struct fp_blob body;
};

/* The longest lease of a target's tasks that may be in force; see
 * core/lease.h. Hosts of older versions ignore it. */
struct change_task_lease {
    struct change_head head;
    uint32_t lease_ms;
};

/* The ID of a recent change and the answer to it, in snapshots. */
struct record_recent_change {
    char change_id[NAME_BYTES];
    struct fp_blob answer;
};

/* State of the cell as a whole, in snapshots. */
struct record_cell {
    uint64_t now_ms;
    uint64_t config_version;
    uint64_t former_request_ms;
    uint64_t former_until_ms;
    uint32_t task_lease_ms;
};

/* The answer to a change. */
struct change_answer {
    uint32_t err;     /* enum fp_err */
    uint64_t version; /* new version, or the current one on a conflict */
    uint64_t id;      /* job ID, or number of cancelled tasks */
    char detail[200]; /* reason of an error; empty: text of err */
    bool first;       /* intent: no earlier request under this key */
    bool ended;       /* intent: the earlier request has ended */
    /* Of the earlier request: HTTP status, wall-clock deadline, response. */
    uint32_t status;
    uint64_t deadline_ms;
    char content_type[128];
    struct fp_blob body;
};

extern const struct fp_schema CHANGE_TEAM_SCHEMA;
extern const struct fp_schema CHANGE_KEY_SCHEMA;
extern const struct fp_schema CHANGE_QUEUE_SCHEMA;
extern const struct fp_schema CHANGE_QUIET_HOURS_SCHEMA;
extern const struct fp_schema CHANGE_LABELS_SCHEMA;
extern const struct fp_schema CHANGE_TARGET_SCHEMA;
extern const struct fp_schema CHANGE_TARGET_STATE_SCHEMA;
extern const struct fp_schema CHANGE_SUBMIT_SCHEMA;
extern const struct fp_schema CHANGE_PLACE_SCHEMA;
extern const struct fp_schema CHANGE_END_SCHEMA;
extern const struct fp_schema CHANGE_CANCEL_SCHEMA;
extern const struct fp_schema CHANGE_OWNER_SCHEMA;
extern const struct fp_schema CHANGE_GRANT_SCHEMA;
extern const struct fp_schema CHANGE_PROCESS_ENDED_SCHEMA;
extern const struct fp_schema CHANGE_INTENT_SCHEMA;
extern const struct fp_schema CHANGE_OUTCOME_SCHEMA;
extern const struct fp_schema CHANGE_TASK_LEASE_SCHEMA;
extern const struct fp_schema RECORD_TASK_SCHEMA;
extern const struct fp_schema RECORD_IDEMPOTENCY_SCHEMA;
extern const struct fp_schema RECORD_RECENT_CHANGE_SCHEMA;
extern const struct fp_schema RECORD_CELL_SCHEMA;
extern const struct fp_schema CHANGE_ANSWER_SCHEMA;

extern const char *const WORK_KIND_NAMES[];
extern const char *const TASK_STATE_NAMES[];
extern const char *const TARGET_STATE_NAMES[];
extern const char *const END_OUTCOME_NAMES[];

/* Returns the schema of a change type, or NULL for other types. */
const struct fp_schema *change_schema(uint32_t type);

#endif /* FP_CHANGE_H */
