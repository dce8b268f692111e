/* event.h -- structured log lines: one JSON object for each decision
 *
 * A closed table of events. A line tells the time, the event, the request's
 * ID where one is concerned, and the inputs that decided. Lines are collected
 * and written by event_flush(), once a turn of the loop; a reader that does
 * not keep up loses lines, which are counted, and never holds the process up.
 * Each kind has a budget a second; what is left out is counted in one line.
 *
 * docs/LOGS.md is made from the table by "filbertpath events".
 */
#ifndef FP_EVENT_H
#define FP_EVENT_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

enum event_kind {
    /* the process and what it depends on */
    EVENT_NODE_STARTED,
    EVENT_NODE_DRAINING,
    EVENT_NODE_ENDED,
    EVENT_SETTINGS_READ,
    EVENT_SETTINGS_KEPT,
    EVENT_LEADER_LOST,
    EVENT_LEADER_HEARD,
    EVENT_LINES_LEFT_OUT,
    EVENT_TEXT,
    /* what the cell believes */
    EVENT_LEADS,
    EVENT_LEADS_NO_MORE,
    EVENT_TOOK_OVER,
    EVENT_MEMBER_ADDED,
    EVENT_MEMBER_REMOVED,
    EVENT_CONFIG_REFUSED,
    EVENT_CONFIG_IN_FORCE,
    EVENT_TARGET_KNOWN,
    EVENT_TARGET_SILENT,
    EVENT_TARGET_BACK,
    EVENT_TARGET_LOST,
    EVENT_TARGET_REMOVED,
    EVENT_TARGET_SHUNNED,
    /* requests */
    EVENT_CALL_ENDED,
    EVENT_CALL_FAILED,
    EVENT_JOB_ACCEPTED,
    EVENT_JOB_REJECTED,
    EVENT_JOB_ENDED,
    EVENT_STEP_WAITS,
    EVENT_POLICY_ASKED,
    EVENT_POLICY_ANSWERED,
    EVENT_RUN_ORDERED,
    EVENT_RUN_REFUSED,
    EVENT_RUN_UNANSWERED,
    EVENT_RUN_STOPPED,
    EVENT_RUN_PACED,
    EVENT_RUN_ENDED,
    EVENT_RUN_LOST,
    EVENT_RUN_FOUND,
    EVENT_COUNT
};

/* One row of the table. */
struct event_row {
    const char *name;
    uint32_t budget;    /* lines a second */
    const char *fields; /* names, separated by spaces, "id" first if any */
    const char *text;   /* what it tells, for docs/LOGS.md */
};

/* A field of a line. */
struct event_field {
    const char *name; /* NULL: the end of the list */
    const char *text; /* NULL: number is the value */
    int64_t number;
};

#define EVENT_S(name, value)                                                  \
    (struct event_field)                                                      \
    {                                                                         \
        (name), (value), 0                                                    \
    }
#define EVENT_N(name, value)                                                  \
    (struct event_field)                                                      \
    {                                                                         \
        (name), NULL, (int64_t)(value)                                        \
    }

/* Collects one line; fields end with a NULL name. Does nothing before
 * event_open(). */
void event_log(enum event_kind kind, const struct event_field *fields);

/* Logs an event with the given fields. */
#define EVENT(kind, ...)                                                      \
    event_log((kind),                                                         \
              (const struct event_field[]){__VA_ARGS__, {NULL, NULL, 0}})

/* Lines go to this descriptor from now on. */
void event_open(int fd);

/* Writes what was collected, as far as the descriptor takes it now. */
void event_flush(void);

/* Writes the rest and closes the log; the descriptor stays open. */
void event_close(void);

/* Lines that were dropped for want of budget or of a reader. */
uint64_t event_dropped(void);

const struct event_row *event_row(enum event_kind kind);

/* Prints the table as Markdown. */
void event_print_table(FILE *out);

#endif /* FP_EVENT_H */
