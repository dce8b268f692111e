/* backlog.h -- when the targets of a service will have room for more work
 *
 * A pure model of one service at one moment: what is free, what its runs will
 * release, and the work that waits, in scheduling order. Work is treated as a
 * flow, apart from that of tasks so large that two of them do not fit on one
 * target: whole targets are a resource of their own.
 *
 * Usage: backlog_reset(), then fill in capacity, released and lasting, and add
 * the waiting work in scheduling order; then any number of backlog_wait().
 */
#ifndef FP_BACKLOG_H
#define FP_BACKLOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum backlog_resource {
    BACKLOG_CPU,    /* thousandths of a processor */
    BACKLOG_MEMORY, /* MB */
    BACKLOG_ACCEL,
    BACKLOG_WHOLE, /* targets, for tasks that need over half of one */
    BACKLOG_RESOURCE_COUNT
};

#define BACKLOG_SLOTS                                                         \
    192u /* of slot_ms each; later times are extrapolated                     \
          */
#define BACKLOG_RUN_SLOTS 12u /* that a typical run takes */

#define BACKLOG_INFLOW_MS 10000u

/* Work of one or more steps. */
struct backlog_work {
    uint64_t amount[BACKLOG_RESOURCE_COUNT]; /* in use while it runs */
    uint64_t work[BACKLOG_RESOURCE_COUNT];   /* amount times run time in ms */
    /* Part of amount that is of tasks which need whole targets. */
    uint64_t whole[BACKLOG_RESOURCE_COUNT];
};

/* A waiting step. */
struct backlog_entry {
    uint64_t key[3];           /* see plan_compare_keys() */
    struct backlog_work total; /* of this entry and all before it */
    struct backlog_work tight; /* likewise: of entries with little slack */
    uint64_t query_ms;         /* likewise: of policy queries not sent */
    uint64_t fresh[BACKLOG_RESOURCE_COUNT]; /* likewise: amount of steps that
                                             * have had no chance to start */
};

struct backlog {
    uint64_t made_ms;
    uint32_t slot_ms;
    uint64_t capacity[BACKLOG_RESOURCE_COUNT];
    uint64_t lasting[BACKLOG_RESOURCE_COUNT]; /* of work that waits and will
                                               * not end */
    /* By the slot in which it happens: */
    uint64_t released[BACKLOG_RESOURCE_COUNT][BACKLOG_SLOTS];
    /* Amount of steps of jobs in progress that will start then. */
    uint64_t follows[BACKLOG_RESOURCE_COUNT][BACKLOG_SLOTS];
    uint64_t free_whole; /* targets with room for a task that needs one */
    GArray *entries;     /* struct backlog_entry, in scheduling order */
    /* Policy clients that are kept busy, in thousandths, by steps that wait
     * and would take one for most of the time. */
    uint64_t held_clients_milli;
    bool queries_blocked;   /* no policy client is free */
    uint32_t query_clients; /* with a query in flight */
};

/* What is asked about. */
struct backlog_demand {
    uint64_t key[3];
    bool is_tight; /* see backlog_add_entry() */
    struct backlog_work own;
    struct backlog_work ahead; /* besides that of the entries before key */
    uint64_t free[BACKLOG_RESOURCE_COUNT]; /* now, in pieces that its tasks
                                            * can use */
    /* Of a demand that needs whole targets: when there is room, by slot. */
    uint64_t room[BACKLOG_SLOTS];
    uint64_t kept_free[BACKLOG_RESOURCE_COUNT]; /* for other work, of free or
                                                 * of what is released */
    struct backlog_work inflow;                 /* arrives in BACKLOG_INFLOW_MS
                                                 * and goes before it */
};

struct backlog_answer {
    uint64_t first_ms;            /* until its first task starts */
    uint64_t last_ms;             /* until its last task starts */
    uint64_t query_ms;            /* until a policy client is free for it */
    enum backlog_resource scarce; /* what it waits for the longest */
    uint64_t own;                 /* amount of that which it needs */
    uint64_t ahead;               /* of what waits and goes before it */
};

void backlog_init(struct backlog *backlog);
void backlog_clear(struct backlog *backlog);
/* Empties it. run_ms: of a typical run; it sets slot_ms. */
void backlog_reset(struct backlog *backlog, uint64_t now_ms, uint64_t run_ms);

/* Counts capacity that is released after_ms from now. */
void backlog_add_release(struct backlog *backlog,
                         const uint64_t amount[BACKLOG_RESOURCE_COUNT],
                         uint64_t after_ms);
/* Counts work that starts after_ms from now if there is room. */
void backlog_add_follower(struct backlog *backlog,
                          const uint64_t amount[BACKLOG_RESOURCE_COUNT],
                          uint64_t after_ms);
/* Adds a waiting step, in scheduling order. query_ms: of a policy query that
 * it still needs. is_fresh: it has had no chance to start yet. is_tight: it
 * has little slack, and may use capacity that is kept free for such work. */
void backlog_add_entry(struct backlog *backlog, const uint64_t key[3],
                       const struct backlog_work *work, uint64_t query_ms,
                       bool is_fresh, bool is_tight);

void backlog_add_work(struct backlog_work *to,
                      const struct backlog_work *work);

/* How long the demand would wait. */
struct backlog_answer backlog_wait(const struct backlog *backlog,
                                   const struct backlog_demand *demand);

#endif /* FP_BACKLOG_H */
