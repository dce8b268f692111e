/* log.h -- log lines with a fixed prefix for each part
 *
 * A thin front to GLib's structured logging. A line is one short sentence.
 */
#ifndef FP_LOG_H
#define FP_LOG_H

#include <glib.h>
#include <stdbool.h>

enum log_part {
    LOG_NODE,    /* start, shutdown, wiring */
    LOG_RAFT,    /* elections and replication */
    LOG_CELL,    /* replicated state */
    LOG_SCHED,   /* placement */
    LOG_ROUTE,   /* request routing */
    LOG_HTTP,    /* HTTP server and client */
    LOG_BUS,     /* ZeroMQ between hosts */
    LOG_DISK,    /* log and snapshot files */
    LOG_STANDIN, /* the stand-in target */
    LOG_PART_COUNT
};

/* Sends lines to stderr, as text or as one JSON object a line. */
void log_open(bool as_json, GLogLevelFlags lowest);

/* Sends lines to the log of events (base/event.h) instead. */
void log_open_events(GLogLevelFlags lowest);

/* Writes one line; level is G_LOG_LEVEL_WARNING, _MESSAGE, _INFO, _DEBUG. */
void log_line(enum log_part part, GLogLevelFlags level, const char *format,
              ...) G_GNUC_PRINTF(3, 4);

#define log_warn(part, ...) log_line(part, G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define log_note(part, ...) log_line(part, G_LOG_LEVEL_MESSAGE, __VA_ARGS__)
#define log_info(part, ...) log_line(part, G_LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(part, ...) log_line(part, G_LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif /* FP_LOG_H */
