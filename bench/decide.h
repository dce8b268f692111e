/* decide.h -- what the files of "bench decide" share: the driver and its
 * samples
 */
#ifndef FP_DECIDE_H
#define FP_DECIDE_H

#include <glib.h>
#include <jansson.h>

#include "core/sched.h"

#define COMMIT_MS 3u    /* from a proposal to its application */
#define TICK_MS 10u     /* decisions are looked for this often */
#define STOP_MS 400u    /* a target's time for a checkpoint */
#define SAMPLE_MS 1000u /* how often packing and shares are sampled */
#define WALL_START 1800000000000ull
#define KINDS 4

enum event_type { EVENT_ARRIVAL, EVENT_PLACED, EVENT_END, EVENT_WAVE };

struct event {
    uint64_t at_ms;
    uint64_t number; /* ties go in order of making */
    enum event_type type;
    uint64_t task_id;
    uint32_t attempt;
    enum end_outcome outcome;
    struct change_place *placed;
    uint32_t team;
};

/* One kind of host of a site. */
struct host_kind {
    uint32_t count;
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accel;
    uint32_t rack; /* hosts a rack */
};

struct site {
    const char *name;
    struct host_kind hosts[2];
    uint32_t teams;
    uint32_t large_teams;   /* they make most of the work */
    double starts_a_second; /* of tasks, on average */
    double batch_ms;        /* mean run time of a batch task */
    uint32_t scale;         /* factor on the sizes of tasks */
    uint32_t services;      /* long-lived tasks at the start */
    uint32_t accel_part;    /* one task in this many needs an accelerator */
    uint32_t gang_most;     /* largest gang */
    uint32_t wave;          /* tasks that are cancelled at once */
};

/* Samples of one figure. */
struct series {
    GArray *values; /* double */
};

struct driver {
    const struct site *site;
    const struct sched_policy *policy;
    struct cell *cell;
    struct sched *sched;
    GRand *arrivals; /* what comes, alike for every policy */
    GSequence *events;
    GHashTable *left_ms; /* task ID to run time left, after checkpoints */
    GHashTable *need_ms; /* task ID to its whole run time */
    uint64_t next_event;
    uint64_t now_ms;
    uint64_t end_ms;
    uint64_t index;
    struct series wait[KINDS];
    struct series decision_us;
    struct series used[3];  /* cpu, memory, accel: part of all */
    struct series gang_fit; /* largest gang of 4 cpu and 1 accel tasks */
    GArray *share_error;    /* double, sum for each team */
    uint32_t share_samples;
    double worst_share;
    uint64_t breaches;
    uint64_t overcommits;
    uint64_t started;
    uint64_t ended;
    uint64_t cancelled;
    uint64_t sched_us;
    bool failing_host; /* one host fails all it starts */
};

/* Wall clock of the virtual time. */
uint64_t decide_wall_ms(const struct driver *driver);

/* decidestat.c */
void decide_add_value(struct series *series, double value);
void decide_sample_packing(struct driver *driver);
void decide_sample_shares(struct driver *driver);
void decide_count_open(struct driver *driver);
json_t *decide_report(struct driver *driver, uint32_t seed);
void decide_print_table(const json_t *results);

#endif /* FP_DECIDE_H */
