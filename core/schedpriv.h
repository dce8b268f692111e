/* schedpriv.h -- declarations shared by the scheduler's source files */
#ifndef FP_SCHEDPRIV_H
#define FP_SCHEDPRIV_H

#include "core/sched.h"

#define SCHED_PROPOSAL_ITEMS 64u    /* single placements in one proposal */
#define SCHED_FREED_RING_SIZE 1024u /* recently freed hosts remembered */
#define SCHED_HISTORY_RUNS 32u      /* run times kept in each run history */

/* Reservations for gangs: made when a gang has been blocked for
 * SCHED_RESERVE_AFTER_MS, backed by preemption once they are
 * SCHED_RESERVE_PREEMPT_AFTER_MS old, dropped after SCHED_RESERVE_MAX_MS.
 */
#define SCHED_RESERVE_AFTER_MS 2000u
#define SCHED_RESERVE_MAX_MS 60000u
#define SCHED_RESERVE_PREEMPT_AFTER_MS 10000u

/* Reclaiming of a fair share: starts when a work class has been blocked for
 * SCHED_RECLAIM_AFTER_MS.
 */
#define SCHED_RECLAIM_AFTER_MS 30000u
#define SCHED_RECLAIM_EVERY_MS 1000u
/* Tasks for which reclaimed capacity is held at a time. */
#define SCHED_RECLAIM_MAX_TASKS 16u

#define SCHED_FULL_SCAN_EVERY_MS 1000u /* blocked work rescans all hosts */
#define SCHED_FREED_SCAN_MAX 128u      /* more freed hosts: rescan all */
/* Queued urgent tasks for which capacity is preempted at a time. */
#define SCHED_PREEMPT_MAX_TASKS 32u
#define SCHED_PRUNE_EVERY_MS 60000u
#define SCHED_HOLD_MS 10000u /* how long freed capacity is held */
/* Failures in a row, of 2 jobs or more, that put a host on probation. */
#define SCHED_PROBATION_FAILURES 3u
/* First length of a probation; each failed probe doubles it. */
#define SCHED_PROBATION_MS 30000u
#define SCHED_PROBATION_MAX_MS 600000u
/* Delay before a failed task is retried; each failure of the task doubles it.
 */
#define SCHED_RETRY_MIN_MS 1000u
#define SCHED_RETRY_MAX_MS 300000u
/* How often free accelerators are counted; 1 / SCHED_ACCEL_SPARE_DIVISOR of
 * all accelerators is kept usable for work that has not been submitted yet.
 */
#define SCHED_ACCEL_COUNT_EVERY_MS 100u
#define SCHED_ACCEL_SPARE_DIVISOR 20u
#define SCHED_DEFAULT_RUN_MS 600000u /* if neither learned nor declared */

/* The scheduler's record of one target. The scheduler's files call it a host:
 * the machine on which the tasks of the target run.
 */
struct sched_host {
    struct target *target;
    uint32_t index;           /* in sched->hosts */
    struct resources pending; /* proposed, not yet in the cell */
    /* Reservation for a gang: other work must end before reserved_start_ms. */
    bool reserved;
    uint64_t reserved_start_ms;     /* expected start of the gang */
    struct resources reserved_size; /* of one task of the gang */
    uint32_t reserved_tasks;        /* tasks of the gang that start here */
    /* Capacity freed by evictions, held for the next tasks of one class. */
    struct work_class *held_for; /* NULL: none */
    uint32_t held_count;         /* tasks of that class */
    uint64_t held_until_ms;
    /* Failures and probation. */
    uint32_t consecutive_failures;
    uint64_t first_failed_job_id; /* job of the first failure in a row */
    bool several_jobs_failed;     /* consecutive failures are of 2+ jobs */
    uint64_t probation_ms;        /* probation length; 0: none */
    uint64_t probation_until_ms;  /* from then on, single probe tasks */
    uint64_t probe_task_id;       /* 0: none */
};

/* The hosts that jobs of one queue, selector and labels may use. */
struct candidate_set {
    char *key;
    GPtrArray *hosts;       /* struct sched_host that match and are up */
    GByteArray *is_member;  /* by host index: 1 when in hosts */
    bool stale;             /* hosts must be collected again */
    bool excluded_by_hours; /* quiet hours excluded a matching host */
    uint32_t refs;          /* work classes that use the set */
};

/* A waiting task, or a whole waiting gang. It is either in the queue of its
 * class, in the backoff queue, or proposed.
 */
struct wait_entry {
    struct task *task; /* of a gang: its first waiting task */
    struct work_class *cls;
    struct wait_entry *prev;
    struct wait_entry *next;
    GSequenceIter *backoff_iter; /* in sched->backoff_queue, or NULL */
    bool proposed;
};

/* The queue of waiting work of one team, kind, task size and candidate set.
 * Only its head is tried.
 */
struct work_class {
    char *key;
    struct team *team;
    struct candidate_set *candidates;
    struct change_submit size; /* only resources and kind are used */
    struct wait_entry *head;
    struct wait_entry *tail;
    uint32_t queue_length;
    uint32_t refs;                 /* wait entries, queued or not */
    enum sched_block block;        /* why the head did not start last time */
    uint64_t freed_count_at_block; /* sched->freed_count when it was blocked */
    uint64_t last_tried_ms;        /* when the head was last tried */
    uint64_t last_tried_pass;      /* sched->passes at last_tried_ms */
    uint64_t last_full_scan_ms;    /* when all hosts were last scanned */
    uint64_t blocked_since_ms;     /* 0: not blocked by lack of capacity */
};

/* The scheduler's record of one team. */
struct sched_team {
    struct team *team;
    struct resources pending;
    GPtrArray *classes; /* struct work_class with queued work */
    uint32_t share;     /* dominant share over weight, in millionths */
};

/* The scheduler's record of a gang that has not ended. */
struct gang {
    uint32_t waiting;        /* number of waiting tasks */
    uint32_t running;        /* number of running tasks */
    struct wait_entry *wait; /* NULL: neither queued nor proposed */
};

/* The latest run times of one team's tasks with one queue and labels. */
struct run_history {
    char *key;
    uint32_t run_ms[SCHED_HISTORY_RUNS]; /* ring buffer */
    uint32_t count;                      /* runs recorded so far */
};

/* A running task that was ordered to stop. */
struct eviction {
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
    GPtrArray *hosts;           /* struct sched_host */
    GHashTable *candidate_sets; /* key to struct candidate_set */
    GHashTable *classes;        /* key to struct work_class */
    GHashTable *teams;          /* struct team to struct sched_team */
    GPtrArray *team_list;       /* struct sched_team, in creation order */
    GHashTable *run_history;    /* key to struct run_history */
    GHashTable *evictions;      /* task ID to struct eviction */
    GHashTable *avoided_hosts;  /* task ID to the sched_host it failed on */
    GSequence *backoff_queue;   /* struct wait_entry by retry_at_ms */
    struct resources capacity;  /* sum over all hosts that are up */
    struct sched_host *freed[SCHED_FREED_RING_SIZE];
    uint64_t freed_count; /* hosts freed so far; modulo size: ring index */
    /* Placements of single tasks that go into the next proposal. */
    struct place_item proposal_items[SCHED_PROPOSAL_ITEMS];
    uint32_t proposal_item_count;
    struct job *reserved_for; /* the gang that holds a reservation */
    uint64_t reserved_at_ms;
    uint64_t next_reserve_check_ms;
    uint64_t no_reserve_before_ms; /* pause after an expired reservation */
    uint64_t next_reclaim_ms;
    uint64_t hours_checked_minute; /* wall-clock minute of the last check */
    uint64_t active_hours_hash;    /* hash of the rules then in force */
    uint64_t passes;               /* calls of sched_run() */
    uint64_t next_prune_ms;
    bool recheck_running; /* labels, selectors, limits or hours changed */
    /* CPU and memory that accelerator work requests for each accelerator,
     * moving averages. */
    double cpu_milli_per_accel;
    double memory_mb_per_accel;
    bool accel_work_seen;         /* the averages are valid */
    bool accel_scarce;            /* no spare usable accelerators are left */
    uint64_t next_accel_count_ms; /* when accel_scarce is next updated */
    double failure_rate;          /* of the whole fleet, moving average */
};

/* sched.c */

/* Returns the record of a team; creates it if there is none. */
struct sched_team *sched_get_team(struct sched *sched, struct team *team);

/* Orders the target to stop the task; order is SCHED_ORDER_CHECKPOINT or
 * SCHED_ORDER_STOP.
 */
void sched_evict_task(struct sched *sched, struct task *task,
                      enum sched_order order);

/* Returns the expected run time of a task: learned, declared or the default.
 */
uint64_t sched_expected_run_ms(const struct sched *sched,
                               const struct job *job);

/* schedline.c */

/* Adds the entry at the end or at the front of its queue. Entries that have
 * been queued before belong at the front.
 */
void sched_enqueue(struct sched *sched, struct wait_entry *wait, bool front);
void sched_dequeue(struct sched *sched, struct wait_entry *wait);

/* Takes the entry out of whichever queue it is in and frees it. */
void sched_remove_wait(struct sched *sched, struct wait_entry *wait);

/* Moves entries whose backoff is over to the front of their queues. */
void sched_requeue_after_backoff(struct sched *sched);

/* Returns the record of a gang; creates it if there is none. */
struct gang *sched_get_gang(struct job *job);

/* Queues the gang once none of its tasks runs, and removes it from the queue
 * otherwise, unless it has been proposed.
 */
void sched_update_gang_queue(struct sched *sched, struct job *job);

/* Updates the gang after one of its tasks changed. added: the task is new to
 * the scheduler and old_state is not counted yet.
 */
void sched_gang_task_changed(struct sched *sched, struct task *task,
                             enum task_state old_state, bool added);
void sched_single_task_changed(struct sched *sched, struct task *task);

/* schedlearn.c */

/* Adds the run time of a task that has ended to its run history. */
void sched_record_run_time(struct sched *sched, const struct task *task);
bool sched_has_run_history(const struct sched *sched, const struct job *job);

/* schedhost.c */
struct sched_host *sched_add_host(struct sched *sched, struct target *target);

/* Sums up the capacity of all hosts that are up. */
void sched_update_capacity(struct sched *sched);

/* Records that capacity on the host was freed, so that blocked classes try it
 * again.
 */
void sched_record_freed(struct sched *sched, struct sched_host *host);

/* Returns the candidate set for a job; creates an empty, stale one if there is
 * none.
 */
struct candidate_set *sched_get_candidates(struct sched *sched,
                                           const struct job *job);
void sched_invalidate_candidates(struct sched *sched);

/* Fills the set with the hosts that the job may use now. */
void sched_collect_candidates(struct sched *sched,
                              struct candidate_set *candidates,
                              const struct job *job);

/* Returns the best host that the task fits on now, or NULL. */
struct sched_host *sched_choose_host(struct sched *sched,
                                     struct work_class *cls,
                                     const struct task *task);

/* Appends to out one host for each waiting task of the gang. Returns false if
 * there is not enough capacity for all of them.
 */
bool sched_choose_gang_hosts(struct sched *sched, struct work_class *cls,
                             const struct job *job, GPtrArray *out);

/* Reports whether probation, held capacity and reservations admit a task of
 * the class on the host.
 */
bool sched_host_admits(const struct sched *sched,
                       const struct sched_host *host,
                       const struct work_class *cls, const struct job *job);

/* Recounts usable accelerators, at most once per SCHED_ACCEL_COUNT_EVERY_MS.
 */
void sched_update_accel_scarcity(struct sched *sched);

/* Updates the averages of what accelerator work requests. */
void sched_record_accel_work(struct sched *sched,
                             const struct change_submit *size);

/* Reports whether one more task fits beside committed and proposed ones. */
bool sched_fits(const struct sched_host *host,
                const struct change_submit *size);
/* Counts a task of this size in a sum of resources, or takes it out. */
void sched_add_size(struct resources *to, const struct change_submit *size);
void sched_subtract_size(struct resources *from,
                         const struct change_submit *size);

/* Updates the failure record and the probation of the host on which an
 * attempt ended.
 */
void sched_record_result(struct sched *sched, struct sched_host *host,
                         const struct task *task);

/* schedyield.c */

/* Evicts batch work and gangs to make room for queued urgent tasks. */
void sched_preempt_for_urgent(struct sched *sched, struct work_class *cls);

/* Evicts work of teams over their fair share for a team under its share. */
void sched_reclaim(struct sched *sched);

/* Reserves hosts for the gang at the head of the class. */
void sched_reserve(struct sched *sched, struct work_class *cls);
void sched_release_reservation(struct sched *sched);

/* Checks once per wall-clock minute which quiet-hours rules are in force. When
 * that has changed, candidate sets and running tasks are checked again.
 */
void sched_check_hours(struct sched *sched);

/* Evicts running tasks that selectors, quiet hours or team limits no longer
 * admit.
 */
void sched_check_running(struct sched *sched);

#endif /* FP_SCHEDPRIV_H */
