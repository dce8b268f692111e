/* event.h -- structured event log: one JSON object per line
 *
 * The events are a closed table. A line has the time, the name of the event,
 * the ID of the object concerned, if any, and the inputs of the decision.
 * Lines are buffered and written by event_flush(), once per iteration of the
 * event loop. Writing never blocks: when the reader is too slow, lines are
 * dropped. Each kind of event has a rate limit, above which its lines are
 * dropped as well. The number of dropped lines of each kind is logged at the
 * first event of a later second.
 *
 * docs/LOGS.md is generated from the table by "filbertpath events". The log is
 * not thread-safe.
 */
#ifndef FP_EVENT_H
#define FP_EVENT_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

enum event_kind {
    /* process, settings and connection to the leader */
    EVENT_NODE_STARTED,
    EVENT_NODE_DRAINING,
    EVENT_NODE_ENDED,
    EVENT_HOST_FULL,
    EVENT_SETTINGS_RELOADED,
    EVENT_SETTINGS_RELOAD_FAILED,
    EVENT_DISK_FAILED,
    EVENT_DISK_RECOVERED,
    EVENT_DISK_SLOW,
    EVENT_LEADER_LOST,
    EVENT_LEADER_FOUND,
    EVENT_LEADER_MISSING,
    EVENT_LINES_DROPPED,
    EVENT_TEXT,
    /* leadership, membership, configuration and targets */
    EVENT_LEADERSHIP_STARTED,
    EVENT_LEADERSHIP_ENDED,
    EVENT_TAKEOVER_COMPLETED,
    EVENT_MEMBER_ADDED,
    EVENT_MEMBER_REMOVED,
    EVENT_MEMBER_LEAVING,
    EVENT_CONFIG_REFUSED,
    EVENT_CONFIG_IN_FORCE,
    EVENT_TARGET_ANNOUNCED,
    EVENT_TARGET_SESSION,
    EVENT_TARGET_UNRESPONSIVE,
    EVENT_TARGET_RECOVERED,
    EVENT_TARGET_OUTAGE,
    EVENT_TARGET_DEPARTED,
    EVENT_TARGET_ENDS_CUT,
    EVENT_TARGET_LOST,
    EVENT_TARGET_CRASHED,
    EVENT_TASK_SUSPECTED,
    EVENT_TASK_USED_UP,
    EVENT_TARGET_REMOVED,
    EVENT_TARGET_REFUSED,
    EVENT_TARGET_BACKOFF,
    EVENT_EVACUATION_ORDERED,
    EVENT_EVACUATION_WITHDRAWN,
    /* calls, jobs and runs */
    EVENT_CALL_ENDED,
    EVENT_CALL_FAILED,
    EVENT_JOB_ACCEPTED,
    EVENT_JOB_REJECTED,
    EVENT_JOB_ENDED,
    EVENT_JOB_RELEASED,
    EVENT_STEP_WAITING,
    EVENT_POLICY_ASKED,
    EVENT_POLICY_ANSWERED,
    EVENT_RUN_START_ORDERED,
    EVENT_RUN_COPIED,
    EVENT_RUN_START_REFUSED,
    EVENT_RUN_START_UNANSWERED,
    EVENT_RUN_STOP_ORDERED,
    EVENT_RUN_PACE_CHANGED,
    EVENT_RUN_ENDED,
    EVENT_RUN_LOST,
    EVENT_CHECKPOINT_REFUSED,
    EVENT_RUN_FOUND,
    EVENT_COUNT
};

/* A row of the table of events. */
struct event_row {
    const char *name;
    uint32_t rate_limit; /* lines per second */
    const char *fields;  /* names, separated by spaces; "id" first, if any */
    const char *text;    /* description, for docs/LOGS.md */
};

/* A field of a line; its value is text, or number if text is NULL. */
struct event_field {
    const char *name; /* NULL: end of the list */
    const char *text;
    int64_t number;
};

#define EVENT_STR(name, value)                                                \
    (struct event_field)                                                      \
    {                                                                         \
        (name), (value), 0                                                    \
    }
#define EVENT_INT(name, value)                                                \
    (struct event_field)                                                      \
    {                                                                         \
        (name), NULL, (int64_t)(value)                                        \
    }

/* Appends a line to the buffer or drops it; fields end with a NULL name. Does
 * nothing unless the log is open. */
void event_log(enum event_kind kind, const struct event_field *fields);

/* Logs an event; the arguments after kind are EVENT_STR() and EVENT_INT(). */
#define EVENT(kind, ...)                                                      \
    event_log((kind),                                                         \
              (const struct event_field[]){__VA_ARGS__, {NULL, NULL, 0}})

/* Opens the log on fd, after closing it if it was open. The caller keeps
 * ownership of fd. */
void event_open(int fd);

/* Writes as much of the buffer as the descriptor takes without blocking. */
void event_flush(void);

/* Flushes once more, without blocking, and closes the log; lines that the
 * descriptor does not take are lost. The descriptor stays open. */
void event_close(void);

/* Returns the number of lines dropped since the process started, because of
 * the rate limit or a full buffer. */
uint64_t event_dropped_lines(void);

const struct event_row *event_row(enum event_kind kind);

/* Prints the table of events as Markdown. */
void event_print_table(FILE *out);

#endif /* FP_EVENT_H */
