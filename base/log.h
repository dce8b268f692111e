/* log.h -- log lines, each with the name of a component
 *
 * A thin wrapper of GLib's structured logging.
 */
#ifndef FP_LOG_H
#define FP_LOG_H

#include <glib.h>
#include <stdbool.h>

enum log_part {
    LOG_NODE,    /* startup, shutdown, setup */
    LOG_RAFT,    /* elections and replication */
    LOG_CELL,    /* replicated state */
    LOG_SCHED,   /* placement */
    LOG_ROUTE,   /* request routing */
    LOG_HTTP,    /* HTTP server and client */
    LOG_BUS,     /* ZeroMQ messages between hosts */
    LOG_DISK,    /* log and snapshot files */
    LOG_STANDIN, /* simulated target for tests and benchmarks */
    LOG_PART_COUNT
};

/* Sends lines to stderr, as text or as one JSON object per line. Lines less
 * severe than min_level are discarded. */
void log_open(bool as_json, GLogLevelFlags min_level);

/* Sends lines to the event log (base/event.h) instead, as EVENT_TEXT. */
void log_open_events(GLogLevelFlags min_level);

/* Writes a line; level is G_LOG_LEVEL_WARNING, _MESSAGE, _INFO or _DEBUG. */
void log_line(enum log_part part, GLogLevelFlags level, const char *format,
              ...) G_GNUC_PRINTF(3, 4);

#define log_warn(part, ...) log_line(part, G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define log_notice(part, ...) log_line(part, G_LOG_LEVEL_MESSAGE, __VA_ARGS__)
#define log_info(part, ...) log_line(part, G_LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(part, ...) log_line(part, G_LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif /* FP_LOG_H */
