/* crashes.h -- the crashes of targets that a task may have caused
 *
 * A task may crash every target that starts it. A target that has crashed
 * lists no end of a run, so the leader infers from the runs that were on it
 * which of them may be the cause, and stores that as evidence with the tasks.
 * The verdict on a task follows from its evidence alone, so that it is the
 * same on each replica, after a takeover and after a restart.
 */
#ifndef FP_CRASHES_H
#define FP_CRASHES_H

#include <stdbool.h>
#include <stdint.h>

/* What the crash of a target tells about a run that was on it; stored. */
enum crash_evidence {
    CRASH_PRESENT, /* it had run for some seconds at most, and no start
                    * explains the crash */
    CRASH_OPEN,    /* its start may have broken the connections of the target,
                    * of which it is not known whether it has crashed */
    CRASH_UNSURE,  /* the target has crashed, but it is not known whether it
                    * had started the run */
    CRASH_SHARED,  /* its start may have crashed the target, as may that of a
                    * run of another job */
    CRASH_ALONE, /* its start, or that of another run of its job, and no other
                  * may have crashed the target */
    CRASH_WITHDRAWN, /* the target of an open entry has not crashed, or for
                      * another cause */
    CRASH_CLEARED,   /* it went on for so long, or ended, that the task is not
                      * the cause of the earlier crashes */
    CRASH_EVIDENCE_COUNT
};

enum crash_verdict {
    CRASH_NOT_SUSPECTED,
    CRASH_SUSPECTED, /* it starts only where no other work was just started */
    CRASH_PROVEN     /* it is given up */
};

#define CRASHES_MAX 8u
/* So many crashes without another explanation make a task suspected. */
#define CRASHES_PRESENT_MAX 3u
/* A task may be given up once so many targets have crashed at its start. */
#define CRASHES_PROVEN_MIN 2u
/* The same, where a change of the leader has left some of them open. */
#define CRASHES_OPEN_MAX 3u
/* A task with so many crashes is given up even if other work was always
 * started beside it. */
#define CRASHES_SHARED_MAX 5u

struct crash_entry {
    uint32_t run; /* number of the run that was lost */
    uint32_t evidence;
};

/* The evidence on a task. All zero at first. */
struct crashes {
    struct crash_entry entries[CRASHES_MAX];
    uint32_t count;
    uint32_t cleared_run; /* runs up to this number do not count; 0: none */
    uint32_t ran_ms;      /* longest time for which a run of the entries ran */
};

/* Adds evidence of a run that ran for ran_ms, once for each run; that of an
 * open entry is replaced. Returns false if it changes nothing. */
bool crashes_add(struct crashes *crashes, uint32_t run,
                 enum crash_evidence evidence, uint32_t ran_ms);

/* Number of entries by which a start of the task may have crashed a target. */
uint32_t crashes_at_start(const struct crashes *crashes);

/* Number of entries with this evidence. */
uint32_t crashes_count(const struct crashes *crashes,
                       enum crash_evidence evidence);

/* The verdict on a task; crashes may be NULL: no evidence. */
enum crash_verdict crashes_verdict(const struct crashes *crashes);

extern const char *const CRASH_EVIDENCE_NAMES[CRASH_EVIDENCE_COUNT];

#endif /* FP_CRASHES_H */
