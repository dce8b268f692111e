/* decide.h -- shared by the files of "bench decide": the state of a simulated
 * run and its samples
 */
#ifndef FP_DECIDE_H
#define FP_DECIDE_H

#include <glib.h>
#include <jansson.h>

#include "core/sched.h"

#define COMMIT_DELAY_MS 3u /* from proposing a placement to applying it */
#define TICK_MS 10u        /* interval between runs of the scheduler */
#define CHECKPOINT_MS 400u /* time to checkpoint and stop a task */
#define SAMPLE_INTERVAL_MS 1000u /* between samples of packing and shares */
#define WALL_START_MS 1800000000000ull /* wall clock at virtual time 0 */
#define WORK_KIND_COUNT 4

enum event_type {
    EVENT_ARRIVAL,
    EVENT_PLACEMENT_COMMITTED,
    EVENT_ATTEMPT_END,
    EVENT_MASS_CANCEL
};

struct event {
    uint64_t at_ms;    /* virtual time */
    uint64_t sequence; /* orders events of the same time by creation */
    enum event_type type;
    uint64_t task_id;
    uint32_t attempt;
    enum end_outcome outcome;
    struct change_place *placement; /* owned; NULL in other events */
    uint32_t team;
};

/* A group of identical hosts of a site. */
struct host_group {
    uint32_t count;
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accel;
    uint32_t hosts_per_rack;
};

/* Hosts and workload of a simulated site. */
struct site {
    const char *name;
    struct host_group hosts[2];
    uint32_t teams;
    uint32_t large_teams;       /* the first teams, which submit most work */
    double starts_per_second;   /* mean rate of task starts */
    double batch_mean_ms;       /* mean run time of a batch task */
    uint32_t size_factor;       /* multiplies the size of tasks */
    uint32_t service_tasks;     /* submitted at the start, never end */
    uint32_t accel_one_in;      /* one job in this many needs accelerators */
    uint32_t gang_size_limit;   /* exclusive */
    uint32_t mass_cancel_tasks; /* tasks of one team cancelled at once */
};

/* Samples of one metric. */
struct series {
    GArray *values; /* double; NULL: no samples yet */
};

/* State of one simulated run. */
struct driver {
    const struct site *site;
    const struct sched_policy *policy;
    struct cell *cell;
    struct sched *sched;
    GRand *workload_rand;     /* same seed for every policy */
    GSequence *events;        /* struct event, by time */
    GHashTable *remaining_ms; /* task ID to run time left */
    GHashTable *total_run_ms; /* task ID to run time without interruptions */
    uint64_t next_sequence;
    uint64_t now_ms;
    uint64_t end_ms;
    uint64_t log_index; /* of the latest applied change */
    struct series wait_ms[WORK_KIND_COUNT];
    struct series decision_us;
    struct series utilization[3]; /* cpu, memory, accel; 0 to 1 */
    struct series gang_fit; /* tasks of 4 CPUs and 1 accel that still fit */
    GArray *share_error;    /* double, by team: sum of |used - fair share| */
    uint32_t share_samples;
    double worst_share;
    uint64_t limit_breaches; /* samples of a team above its limit */
    uint64_t overcommits;    /* samples of a target above its capacity */
    uint64_t started;        /* attempts */
    uint64_t ended;          /* tasks that ended successfully */
    uint64_t cancelled;      /* tasks */
    uint64_t sched_us;       /* real time spent in sched_run() */
    bool failing_host;       /* one host fails all its tasks except services */
};

/* Returns the wall-clock time, ms since 1970, of the current virtual time. */
uint64_t decide_wall_ms(const struct driver *driver);

/* decidestat.c */

void decide_add_sample(struct series *series, double value);

/* Samples the utilization of the targets and counts overcommitted ones. */
void decide_sample_packing(struct driver *driver);

/* Samples how far each team is from its fair share, and counts teams above
 * their limit.
 */
void decide_sample_shares(struct driver *driver);

/* Adds the waiting times of tasks that did not end within the run. */
void decide_add_unfinished_waits(struct driver *driver);

/* Returns the result of a run; the caller releases it with json_decref(). */
json_t *decide_report(struct driver *driver, uint32_t seed);

/* Prints an array of results, one row each. */
void decide_print_table(const json_t *results);

#endif /* FP_DECIDE_H */
