/* log.c -- log lines with a fixed prefix for each part */
#include "base/log.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"

static const char *const PREFIXES[LOG_PART_COUNT] = {
    "node", "raft", "cell", "sched",  "route",
    "http", "bus",  "disk", "standin"};

/* GLib keeps one writer for the process; this is what it was given. */
struct writer {
    bool as_json;
    GLogLevelFlags lowest;
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

static const char *
find_value(const GLogField *fields, gsize count, const char *key)
{
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0) {
            return fields[i].value;
        }
    }
    return "";
}

static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer data)
{
    const struct writer *writer = data;
    const char *part = find_value(fields, count, "FP_PART");
    const char *text = find_value(fields, count, "MESSAGE");
    GDateTime *now;
    char *stamp;

    if ((level & G_LOG_LEVEL_MASK) > writer->lowest) {
        return G_LOG_WRITER_HANDLED;
    }
    now = g_date_time_new_now_utc();
    stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%f");
    if (writer->as_json) {
        json_t *line =
            json_pack("{s:s,s:s,s:s,s:s}", "at", stamp, "level",
                      level_name(level), "part", part, "text", text);

        json_dumpf(line, stderr, JSON_COMPACT);
        fputc('\n', stderr);
        json_decref(line);
    }
    else {
        fprintf(stderr, "%.23sZ %-7s %s: %s\n", stamp, level_name(level), part,
                text);
    }
    g_free(stamp);
    g_date_time_unref(now);
    return G_LOG_WRITER_HANDLED;
}

static GLogWriterOutput
write_event(GLogLevelFlags level, const GLogField *fields, gsize count,
            gpointer data)
{
    const struct writer *writer = data;

    if ((level & G_LOG_LEVEL_MASK) <= writer->lowest) {
        EVENT(EVENT_TEXT,
              EVENT_S("part", find_value(fields, count, "FP_PART")),
              EVENT_S("level", level_name(level)),
              EVENT_S("text", find_value(fields, count, "MESSAGE")));
    }
    return G_LOG_WRITER_HANDLED;
}

void
log_open_events(GLogLevelFlags lowest)
{
    struct writer *writer = g_new0(struct writer, 1);

    writer->lowest = lowest;
    g_log_set_writer_func(write_event, writer, g_free);
}

void
log_open(bool as_json, GLogLevelFlags lowest)
{
    struct writer *writer = g_new0(struct writer, 1);

    writer->as_json = as_json;
    writer->lowest = lowest;
    g_log_set_writer_func(write_line, writer, g_free);
}

void
log_line(enum log_part part, GLogLevelFlags level, const char *format, ...)
{
    va_list args;
    char *text;

    va_start(args, format);
    text = g_strdup_vprintf(format, args);
    va_end(args);
    g_log_structured("filbertpath", level, "FP_PART", PREFIXES[part],
                     "MESSAGE", "%s", text);
    g_free(text);
}
