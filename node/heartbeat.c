/* heartbeat.c -- the schema of a target's heartbeat */
#include "node/heartbeat.h"

#define REPORTS_MAX 4096u

static const char *const REPORT_NAMES[] = {"running", "done", "failed",
                                           "stopped", "not-run"};

static const struct fp_field REPORT_FIELDS[] = {
    {"id", FP_U64, offsetof(struct attempt_report, id), 0, NULL, NULL,
     "task ID"},
    {"attempt", FP_U32, offsetof(struct attempt_report, attempt), 0, NULL,
     NULL, "number of the attempt"},
    {"state", FP_ENUM, offsetof(struct attempt_report, state), 5, NULL,
     REPORT_NAMES, "state of the attempt"},
    {"exit_code", FP_U32, offsetof(struct attempt_report, exit_code), 0, NULL,
     NULL, "exit code of an ended attempt"},
};
static const struct fp_schema REPORT_SCHEMA = {
    "report", 80, sizeof(struct attempt_report), REPORT_FIELDS,
    FP_FIELD_COUNT(REPORT_FIELDS)};

static const struct fp_field HEARTBEAT_FIELDS[] = {
    {"name", FP_STR, offsetof(struct heartbeat, name), NAME_BYTES, NULL, NULL,
     "name of the target"},
    {"run_id", FP_U64, offsetof(struct heartbeat, run_id), 0, NULL, NULL,
     "run ID in the target's announcement"},
    {"number", FP_U64, offsetof(struct heartbeat, number), 0, NULL, NULL,
     "number of this heartbeat"},
    {"leaving", FP_BOOL, offsetof(struct heartbeat, leaving), 0, NULL, NULL,
     "accepts no new work"},
    {"cpu_used_milli", FP_U32, offsetof(struct heartbeat, cpu_used_milli), 0,
     NULL, NULL, "measured use, thousandths of a processor"},
    {"memory_used_mb", FP_U32, offsetof(struct heartbeat, memory_used_mb), 0,
     NULL, NULL, "measured use, MB"},
    {"tasks", FP_LIST, offsetof(struct heartbeat, tasks), REPORTS_MAX,
     &REPORT_SCHEMA, NULL, "every attempt on the target"},
};
const struct fp_schema HEARTBEAT_SCHEMA = {
    "heartbeat", 81, sizeof(struct heartbeat), HEARTBEAT_FIELDS,
    FP_FIELD_COUNT(HEARTBEAT_FIELDS)};
