/* schedpriv.h -- what the files of the scheduler share */
#ifndef FP_SCHEDPRIV_H
#define FP_SCHEDPRIV_H

#include "core/sched.h"

#define SCHED_BATCH_ITEMS 64u        /* single placements in one proposal */
#define SCHED_FREED_RING 1024u       /* freed hosts that are remembered */
#define SCHED_LEARN_RUNS 32u         /* run times kept for each kind of work */
#define SCHED_RESERVE_AFTER_MS 2000u /* a blocked gang reserves after this */
#define SCHED_RESERVE_MAX_MS 60000u  /* and holds hosts this long at most */
#define SCHED_GANG_PATIENCE_MS                                                \
    10000u /* a reservation waits, then takes room */
#define SCHED_RECLAIM_AFTER_MS 30000u /* lent share comes back after this */
#define SCHED_RECLAIM_EVERY_MS 1000u
#define SCHED_RECLAIM_TASKS 16u   /* room is made for so many at a time */
#define SCHED_RETRY_SCAN_MS 1000u /* blocked work looks at all hosts anew */
#define SCHED_FREED_SCAN_MAX 128u /* more freed hosts than this: all anew */
/* Urgent tasks in line that room is made for at a time. */
#define SCHED_PREEMPT_AHEAD 32u
#define SCHED_PRUNE_EVERY_MS 60000u
#define SCHED_EARMARK_MS 10000u     /* room made for a task is kept for it */
#define SCHED_PROBATION_FAILURES 3u /* in a row, from 2 jobs or more */
#define SCHED_PROBATION_MS 30000u   /* doubles up to the maximum */
#define SCHED_PROBATION_MAX_MS 600000u
#define SCHED_RETRY_MS 1000u /* doubles with each failure */
#define SCHED_RETRY_MAX_MS 300000u
/* How often free accelerators are counted; one in so many is kept for work
 * that may come. */
#define SCHED_ACCEL_LOOK_MS 100u
#define SCHED_ACCEL_SPARE 20u
#define SCHED_DEFAULT_RUN_MS 600000u /* of work that nothing is known of */

/* A target as the scheduler sees it. */
struct sched_host {
    struct target *target;
    uint32_t index;     /* in sched->hosts */
    struct use pending; /* proposed, not yet in the cell */
    /* Reservation for a gang: other work must end before start_ms. */
    bool reserved;
    uint64_t start_ms;
    struct use reserved_size; /* of one task of the gang */
    uint32_t reserved_tasks;  /* that are to start here */
    /* Room made by preemption, for the next tasks of one class. */
    struct work_class *earmark; /* NULL: none */
    uint32_t earmark_count;     /* tasks of that class */
    uint64_t earmark_until_ms;
    /* Failures. */
    uint32_t failures_in_row;
    uint64_t failed_job;         /* job of the first failure in the row */
    bool failed_two;             /* failures in the row come from 2 jobs */
    uint64_t probation_ms;       /* 0: not on probation */
    uint64_t probation_until_ms; /* then one probe task at a time */
    uint64_t probe_task;         /* 0: none */
};

/* Work that may run on the same hosts: one queue, selector and labels. */
struct domain {
    char *key;
    GPtrArray *hosts;   /* struct sched_host that match and are up */
    GByteArray *member; /* by host index: 1 when in hosts */
    bool stale;         /* hosts must be collected anew */
    bool quiet;         /* quiet hours took hosts away */
    uint32_t users;     /* classes in it */
};

/* A waiting task, or a whole waiting gang. */
struct wait {
    struct task *task; /* of a gang: its first */
    struct work_class *cls;
    struct wait *prev;
    struct wait *next;
    GSequenceIter *delayed; /* while it waits out a backoff */
    bool proposed;
};

/* Waiting work of one team, one shape and one domain, in order. */
struct work_class {
    char *key;
    struct team *team;
    struct domain *domain;
    struct change_submit size; /* sizes and kind only */
    struct wait *first;
    struct wait *last;
    uint32_t count;            /* in line */
    uint32_t users;            /* waits that point here, in line or not */
    enum sched_block block;    /* why its head did not start last time */
    uint64_t seen_freed;       /* freed hosts seen when it was blocked */
    uint64_t tried_ms;         /* when its head was last tried */
    uint64_t tried_run;        /* sched->runs at that time */
    uint64_t full_scan_ms;     /* when all its hosts were last looked at */
    uint64_t blocked_since_ms; /* 0: not blocked for want of room */
};

/* A team as the scheduler sees it. */
struct sched_team {
    struct team *team;
    struct use pending;
    GPtrArray *classes; /* struct work_class with waiting work */
    uint32_t share;     /* dominant share over weight, in millionths */
};

/* A gang that is open. */
struct gang {
    uint32_t waiting; /* of its tasks */
    uint32_t running; /* running or proposed */
    struct wait *wait;
};

/* Run times of one team's work in one queue. */
struct learned {
    char *key;
    uint32_t run_ms[SCHED_LEARN_RUNS];
    uint32_t count;
};

/* A running task that was told to yield. */
struct yielding {
    uint64_t task_id;
    uint32_t attempt;
    enum sched_order order;
};

struct sched {
    struct cell *cell;
    struct sched_policy policy;
    struct sched_ops ops;
    struct sched_counters counters;
    uint64_t now_ms;
    uint64_t wall_ms;
    GPtrArray *hosts;     /* struct sched_host */
    GHashTable *domains;  /* key to struct domain */
    GHashTable *classes;  /* key to struct work_class */
    GHashTable *teams;    /* struct team to struct sched_team */
    GPtrArray *team_list; /* the same struct sched_team, in order made */
    GHashTable *learned;  /* key to struct learned */
    GHashTable *yielding; /* task ID to struct yielding */
    GHashTable *avoid;    /* task ID to the struct sched_host it failed on */
    GSequence *delayed;   /* struct wait by retry_at_ms */
    struct use total;     /* sizes of all hosts that are up */
    struct sched_host *freed[SCHED_FREED_RING];
    uint64_t freed_count; /* hosts freed so far; ring position modulo size */
    struct place_item batch[SCHED_BATCH_ITEMS];
    uint32_t batch_count;
    struct job *reserved_for; /* the gang that holds a reservation */
    uint64_t reserved_at_ms;
    uint64_t reserve_check_ms;
    uint64_t reserve_rest_ms; /* no gang reserves before this */
    uint64_t reclaim_at_ms;
    uint64_t hours_minute; /* wall minute of the last look at the hours */
    uint64_t hours_state;  /* which rules held then, as a hash */
    uint64_t runs;         /* calls of sched_run() */
    uint64_t prune_at_ms;
    bool check_running; /* labels, selectors or limits changed */
    /* What work with accelerators takes along with each of them, smoothed. */
    double accel_cpu_milli;
    double accel_memory_mb;
    bool accel_seen;        /* such work has come */
    bool accel_scarce;      /* free ones are no more than are due */
    uint64_t accel_look_ms; /* when that was last counted */
    double failure_rate;    /* of the whole fleet, smoothed */
};

/* sched.c */
struct sched_team *sched_team_of(struct sched *sched, struct team *team);
void sched_yield_task(struct sched *sched, struct task *task,
                      enum sched_order order);
uint64_t sched_expected_run_ms(const struct sched *sched,
                               const struct job *job);

/* schedline.c */
void sched_link_wait(struct sched *sched, struct wait *wait, bool front);
void sched_unlink_wait(struct sched *sched, struct wait *wait);
void sched_leave_wait(struct sched *sched, struct wait *wait);
void sched_release_delayed(struct sched *sched);
struct gang *sched_gang_of(struct job *job);
void sched_update_gang_line(struct sched *sched, struct job *job);
void sched_gang_changed(struct sched *sched, struct task *task,
                        enum task_state was, bool entered);
void sched_single_changed(struct sched *sched, struct task *task);

/* schedlearn.c */
void sched_learn(struct sched *sched, const struct task *task);
bool sched_has_learned(const struct sched *sched, const struct job *job);

/* schedhost.c */
struct sched_host *sched_add_host(struct sched *sched, struct target *target);
void sched_count_total(struct sched *sched);
void sched_note_freed(struct sched *sched, struct sched_host *host);
struct domain *sched_domain(struct sched *sched, const struct job *job);
void sched_stale_domains(struct sched *sched);
void sched_collect(struct sched *sched, struct domain *domain,
                   const struct job *job);
struct sched_host *sched_choose(struct sched *sched, struct work_class *cls,
                                const struct task *task);
bool sched_choose_gang(struct sched *sched, struct work_class *cls,
                       const struct job *job, GPtrArray *out);
bool sched_host_open(const struct sched *sched, const struct sched_host *host,
                     const struct work_class *cls, const struct job *job);
void sched_count_accel(struct sched *sched);
void sched_note_accel_work(struct sched *sched,
                           const struct change_submit *size);
bool sched_room(const struct sched_host *host,
                const struct change_submit *size);
void sched_take(struct use *use, const struct change_submit *size);
void sched_return(struct use *use, const struct change_submit *size);
void sched_note_result(struct sched *sched, struct sched_host *host,
                       const struct task *task);

/* schedyield.c */
void sched_preempt_for(struct sched *sched, struct work_class *cls);
void sched_reclaim(struct sched *sched);
void sched_reserve(struct sched *sched, struct work_class *cls);
void sched_release_reservation(struct sched *sched);
void sched_check_hours(struct sched *sched);
void sched_check_running(struct sched *sched);

#endif /* FP_SCHEDPRIV_H */
