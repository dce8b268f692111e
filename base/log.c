/* log.c -- log lines, each with the name of a component */
#include "base/log.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"

static const char *const PART_NAMES[LOG_PART_COUNT] = {
    "node", "raft", "cell", "sched",  "route",
    "http", "bus",  "disk", "standin"};

/* Context of the writer function, of which GLib has one per process. */
struct log_writer {
    bool as_json;
    GLogLevelFlags min_level;
};

static const char *
level_name(GLogLevelFlags level)
{
    if (level & G_LOG_LEVEL_ERROR || level & G_LOG_LEVEL_CRITICAL) {
        return "error";
    }
    if (level & G_LOG_LEVEL_WARNING) {
        return "warning";
    }
    if (level & G_LOG_LEVEL_MESSAGE) {
        return "notice";
    }
    return level & G_LOG_LEVEL_INFO ? "info" : "debug";
}

/* Returns the value of a field, or "" if it is absent. */
static const char *
field_value(const GLogField *fields, gsize count, const char *key)
{
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0) {
            return fields[i].value;
        }
    }
    return "";
}

static GLogWriterOutput
write_to_stderr(GLogLevelFlags level, const GLogField *fields, gsize count,
                gpointer data)
{
    const struct log_writer *writer = data;
    const char *part = field_value(fields, count, "FP_PART");
    const char *text = field_value(fields, count, "MESSAGE");
    GDateTime *now;
    char *timestamp;

    if ((level & G_LOG_LEVEL_MASK) > writer->min_level) {
        return G_LOG_WRITER_HANDLED;
    }
    now = g_date_time_new_now_utc();
    timestamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%f");
    if (writer->as_json) {
        json_t *line =
            json_pack("{s:s,s:s,s:s,s:s}", "at", timestamp, "level",
                      level_name(level), "part", part, "text", text);

        json_dumpf(line, stderr, JSON_COMPACT);
        fputc('\n', stderr);
        json_decref(line);
    }
    else {
        fprintf(stderr, "%.23sZ %-7s %s: %s\n", timestamp, level_name(level),
                part, text);
    }
    g_free(timestamp);
    g_date_time_unref(now);
    return G_LOG_WRITER_HANDLED;
}

static GLogWriterOutput
write_to_event_log(GLogLevelFlags level, const GLogField *fields, gsize count,
                   gpointer data)
{
    const struct log_writer *writer = data;

    if ((level & G_LOG_LEVEL_MASK) <= writer->min_level) {
        EVENT(EVENT_TEXT,
              EVENT_STR("part", field_value(fields, count, "FP_PART")),
              EVENT_STR("level", level_name(level)),
              EVENT_STR("text", field_value(fields, count, "MESSAGE")));
    }
    return G_LOG_WRITER_HANDLED;
}

void
log_open_events(GLogLevelFlags min_level)
{
    struct log_writer *writer = g_new0(struct log_writer, 1);

    writer->min_level = min_level;
    g_log_set_writer_func(write_to_event_log, writer, g_free);
}

void
log_open(bool as_json, GLogLevelFlags min_level)
{
    struct log_writer *writer = g_new0(struct log_writer, 1);

    writer->as_json = as_json;
    writer->min_level = min_level;
    g_log_set_writer_func(write_to_stderr, writer, g_free);
}

void
log_line(enum log_part part, GLogLevelFlags level, const char *format, ...)
{
    va_list args;
    char *text;

    va_start(args, format);
    text = g_strdup_vprintf(format, args);
    va_end(args);
    g_log_structured("filbertpath", level, "FP_PART", PART_NAMES[part],
                     "MESSAGE", "%s", text);
    g_free(text);
}
