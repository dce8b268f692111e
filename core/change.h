/* change.h -- the changes that go through the log, and the records of state
 *
 * A record that describes an object of the cell is also the change that sets
 * it: what an operator sends, what the log holds and what a snapshot holds is
 * one struct with one table. The comment after a field is its help text.
 */
#ifndef FP_CHANGE_H
#define FP_CHANGE_H

#include "base/schema.h"

#define NAME_BYTES 64u
#define LABELS_BYTES 256u
#define SELECTOR_BYTES 256u
#define PAYLOAD_MAX_BYTES (16u * 1024)
#define JOB_MAX_TASKS 4096u
#define PLACE_MAX_ITEMS 4096u
#define OUTCOME_BODY_MAX_BYTES (64u * 1024)

enum change_type {
    CHANGE_TEAM = 1,
    CHANGE_KEY,
    CHANGE_QUEUE,
    CHANGE_HOURS,
    CHANGE_LABELS,
    CHANGE_TARGET,
    CHANGE_TARGET_STATE,
    CHANGE_SUBMIT,
    CHANGE_PLACE,
    CHANGE_END,
    CHANGE_CANCEL,
    CHANGE_OWN,
    CHANGE_GRANT,
    CHANGE_RUN_GONE,
    CHANGE_INTENT,
    CHANGE_OUTCOME,
    CHANGE_TYPE_COUNT,
    /* Only in snapshots. */
    RECORD_TASK = 60,
    RECORD_IDEMPOTENCY,
    RECORD_SEEN,
    RECORD_CELL,
    RECORD_ANSWER
};

/* The first fields of every change. */
struct change_head {
    char change_id[NAME_BYTES]; /* resent changes carry the same ID */
    uint64_t at_ms;             /* proposer's wall clock, ms since 1970 */
};

enum work_kind { WORK_SERVICE, WORK_BATCH, WORK_GANG, WORK_URGENT };

enum hours_action { HOURS_WAIT, HOURS_THROTTLE, HOURS_MOVE };

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
    END_DONE,    /* ran to its end, exit code 0 */
    END_FAILED,  /* ran and failed */
    END_LOST,    /* the lease ran out or the target restarted */
    END_STOPPED, /* stopped on order; runs again later */
    END_NOT_RUN, /* the target says that it never started */
    END_OUTCOME_COUNT
};

enum idempotency_state { IDEMPOTENCY_RUNNING, IDEMPOTENCY_ENDED };

/* A team: its share when the cell is full, its upper limits (0: none). */
struct change_team {
    struct change_head head;
    char name[NAME_BYTES];    /* name of the team */
    uint32_t weight;          /* share when the cell is full, 1 to 1000 */
    uint32_t limit_running;   /* tasks and requests at once; 0: no limit */
    uint64_t limit_cpu_milli; /* thousandths of a processor; 0: no limit */
    uint64_t limit_memory_mb; /* memory of running tasks, MB; 0: no limit */
    uint32_t limit_accel;     /* accelerators; 0: no limit */
    uint32_t max_waiting; /* waiting tasks, and requests a host; 0: 10000 */
    bool remove;          /* removes the team */
    bool check_version;   /* refuse unless version is the current one */
    uint64_t version;     /* log index of its last change; 0: new */
};

/* A key; only its hash is stored. */
struct change_key {
    struct change_head head;
    char name[NAME_BYTES]; /* name of the key, not the secret */
    char team[NAME_BYTES]; /* team that it speaks for */
    char hash[72];         /* BLAKE2b-256 of the secret, hexadecimal */
    bool withdrawn;        /* stops the key from working */
    bool check_version;    /* refuse unless version is the current one */
    uint64_t version;      /* log index of its last change; 0: new */
};

/* A queue: where work comes in, and the policy it runs under. */
struct change_queue {
    struct change_head head;
    char name[NAME_BYTES];         /* name of the queue */
    uint32_t kind;                 /* policy: service, batch, gang, urgent */
    bool open;                     /* needs no key */
    char team[NAME_BYTES];         /* only this team may use it; empty: all */
    char service[NAME_BYTES];      /* requests go to targets of this service */
    char selector[SELECTOR_BYTES]; /* targets that may run its work */
    char labels[LABELS_BYTES];     /* labels of its work, for quiet hours */
    uint32_t request_max_ms;       /* longest request, ms; 0: 10000 */
    uint32_t max_waiting;          /* requests waiting on a host; 0: 256 */
    bool remove;                   /* removes the queue */
    bool check_version; /* refuse unless version is the current one */
    uint64_t version;   /* log index of its last change; 0: new */
};

/* Quiet hours: when matched work waits, is throttled or moves. */
struct change_hours {
    struct change_head head;
    char name[NAME_BYTES];         /* name of the rule */
    char selector[SELECTOR_BYTES]; /* labels of the work that it is for */
    char hosts[SELECTOR_BYTES];    /* labels of the targets that it is for */
    char time_zone[NAME_BYTES];    /* such as Europe/Athens */
    char days[32];        /* nights that begin on: mon,tue,...; empty: all */
    uint32_t from_minute; /* begin, minutes after midnight, 0 to 1439 */
    uint32_t to_minute;   /* end, minutes; before begin: next day */
    uint32_t action;      /* wait, throttle or move */
    bool remove;          /* removes the rule */
    bool check_version;   /* refuse unless version is the current one */
    uint64_t version;     /* log index of its last change; 0: new */
};

/* Labels that an operator gives a target, besides those it announces. */
struct change_labels {
    struct change_head head;
    char target[NAME_BYTES];   /* name of the target */
    char labels[LABELS_BYTES]; /* key=value,key=value */
    bool check_version;        /* refuse unless version is the current one */
    uint64_t version;          /* log index of its last change; 0: new */
};

/* A target, as it announced itself, and what the system decided for it. */
struct change_target {
    struct change_head head;
    char name[NAME_BYTES];        /* name of the target */
    uint64_t run_id;              /* drawn anew at each start of the target */
    char data_centre[NAME_BYTES]; /* data centre that it is in */
    char rack[NAME_BYTES];        /* rack that it is in */
    char address[NAME_BYTES];     /* IP number and port, for requests */
    char service[NAME_BYTES];     /* service that it serves; empty: none */
    uint32_t slots;               /* requests at once; 0: 8 */
    uint32_t cpu_milli;           /* thousandths of a processor */
    uint32_t memory_mb;           /* memory, MB */
    uint32_t accel;               /* accelerators */
    char labels[LABELS_BYTES];    /* labels that it announced */
    uint32_t state;               /* up, leaving or down */
    uint64_t owner_run;           /* process that holds its slots; 0: none */
    char owner_host[32];          /* host of that process */
    uint64_t owner_epoch;         /* rises with each new owner */
    bool owner_clean;             /* the owner before it had returned all */
    bool was_owned;               /* some process has held its slots */
    char given_labels[LABELS_BYTES]; /* labels that operators gave */
    uint64_t labels_version;         /* version of given_labels */
    uint64_t version;                /* log index of its last change */
};

struct change_target_state {
    struct change_head head;
    char name[NAME_BYTES];
    uint64_t run_id; /* 0: whatever the run */
    uint32_t state;
};

/* A job of one or more like tasks. */
struct change_submit {
    struct change_head head;
    char queue[NAME_BYTES];        /* queue that it goes to */
    char team[NAME_BYTES];         /* team that pays; set from the key */
    uint32_t kind;                 /* set from the queue */
    uint32_t count;                /* tasks; 0: 1 */
    uint32_t cpu_milli;            /* thousandths of a processor, each task */
    uint32_t memory_mb;            /* memory of each task, MB */
    uint32_t accel;                /* accelerators of each task */
    uint32_t run_ms;               /* declared run time, ms; 0: not known */
    char labels[LABELS_BYTES];     /* labels of the work */
    char selector[SELECTOR_BYTES]; /* targets that may run it */
    uint32_t max_attempts;         /* failed attempts before it ends; 0: 3 */
    struct fp_blob payload;        /* what the target is given */
    uint64_t id;                   /* job ID; set by the system */
    uint64_t submitted_ms;         /* wall clock, ms; set by the system */
};

struct place_item {
    uint64_t task_id;
    uint32_t attempt;
    char target[NAME_BYTES];
};

/* Starts attempts: all of the items, or none of them. */
struct change_place {
    struct change_head head;
    struct fp_list items; /* struct place_item */
};

struct end_item {
    uint64_t task_id;
    uint32_t attempt;
    uint32_t outcome;
    uint32_t exit_code;
    uint64_t retry_at_ms;
};

/* Ends attempts; each item stands for itself. */
struct change_end {
    struct change_head head;
    struct fp_list items; /* struct end_item */
};

struct change_cancel {
    struct change_head head;
    uint64_t id;            /* a job's or a task's ID; 0: all of the queue */
    char queue[NAME_BYTES]; /* with ID 0: all waiting work of this queue */
    char team[NAME_BYTES];  /* only work of this team; empty: any */
};

/* Gives the slots of targets to a process, or takes them back. */
struct change_own {
    struct change_head head;
    char target[NAME_BYTES];
    uint64_t run_id; /* the new owner; 0: none */
    char host[32];
    uint64_t epoch; /* the epoch that is replaced */
    bool clean;     /* the old owner returned the slots, all idle */
};

/* Sets how many units of a team's limit a process holds. */
struct change_grant {
    struct change_head head;
    char team[NAME_BYTES];
    uint64_t run_id;
    char host[32];
    uint32_t units;
    uint32_t was; /* refused unless this is what it holds now */
};

/* A process is gone for good: its grants are free again. */
struct change_run_gone {
    struct change_head head;
    uint64_t run_id;
};

/* An unrepeatable request is about to be sent. */
struct change_intent {
    struct change_head head;
    char team[NAME_BYTES];
    char key[128];
    char digest[72];
    uint64_t run_id;
    uint64_t deadline_ms; /* wall clock */
};

/* What an unrepeatable request came to. */
struct change_outcome {
    struct change_head head;
    char team[NAME_BYTES];
    char key[128];
    uint64_t run_id;
    bool not_run; /* no byte left: the intent is withdrawn */
    uint32_t err;
    uint32_t status;
    char content_type[128];
    struct fp_blob body;
};

/* One task, in snapshots. */
struct record_task {
    uint64_t id;
    uint32_t state;
    uint32_t attempt;
    uint32_t failures;
    uint32_t exit_code;
    uint32_t last_outcome;
    char target[NAME_BYTES];
    uint64_t started_ms;
    uint64_t ended_ms;
    uint64_t retry_at_ms;
    bool cancelling;
};

/* One idempotency key and what it came to. */
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

/* One change ID that was seen, and its answer. */
struct record_seen {
    char change_id[NAME_BYTES];
    struct fp_blob answer;
};

/* Counters of the whole cell. */
struct record_cell {
    uint64_t now_ms;
    uint64_t config_version;
};

/* The answer to a change. */
struct change_answer {
    uint32_t err;
    uint64_t version; /* new version, or the current one on a conflict */
    uint64_t id;      /* job ID, or number of tasks cancelled */
    char detail[200];
    bool first; /* intent: no earlier request under this key */
    bool ended; /* intent: the earlier request has ended */
    uint32_t status;
    uint64_t deadline_ms;
    char content_type[128];
    struct fp_blob body;
};

extern const struct fp_schema CHANGE_TEAM_SCHEMA;
extern const struct fp_schema CHANGE_KEY_SCHEMA;
extern const struct fp_schema CHANGE_QUEUE_SCHEMA;
extern const struct fp_schema CHANGE_HOURS_SCHEMA;
extern const struct fp_schema CHANGE_LABELS_SCHEMA;
extern const struct fp_schema CHANGE_TARGET_SCHEMA;
extern const struct fp_schema CHANGE_TARGET_STATE_SCHEMA;
extern const struct fp_schema CHANGE_SUBMIT_SCHEMA;
extern const struct fp_schema CHANGE_PLACE_SCHEMA;
extern const struct fp_schema CHANGE_END_SCHEMA;
extern const struct fp_schema CHANGE_CANCEL_SCHEMA;
extern const struct fp_schema CHANGE_OWN_SCHEMA;
extern const struct fp_schema CHANGE_GRANT_SCHEMA;
extern const struct fp_schema CHANGE_RUN_GONE_SCHEMA;
extern const struct fp_schema CHANGE_INTENT_SCHEMA;
extern const struct fp_schema CHANGE_OUTCOME_SCHEMA;
extern const struct fp_schema RECORD_TASK_SCHEMA;
extern const struct fp_schema RECORD_IDEMPOTENCY_SCHEMA;
extern const struct fp_schema RECORD_SEEN_SCHEMA;
extern const struct fp_schema RECORD_CELL_SCHEMA;
extern const struct fp_schema CHANGE_ANSWER_SCHEMA;

extern const char *const WORK_KIND_NAMES[];
extern const char *const TASK_STATE_NAMES[];
extern const char *const TARGET_STATE_NAMES[];
extern const char *const END_OUTCOME_NAMES[];

/* Returns the table of a change type, or NULL. */
const struct fp_schema *change_schema(uint32_t type);

#endif /* FP_CHANGE_H */
