/* change.c -- schemas of the replicated changes and state records */
#include "core/change.h"

const char *const WORK_KIND_NAMES[] = {"service", "batch", "gang", "urgent"};
const char *const TASK_STATE_NAMES[] = {"waiting", "running", "done", "failed",
                                        "cancelled"};
const char *const TARGET_STATE_NAMES[] = {"up", "leaving", "down"};
const char *const END_OUTCOME_NAMES[] = {"done", "failed", "lost", "stopped",
                                         "not-run"};
static const char *const QUIET_HOURS_ACTION_NAMES[] = {"wait", "throttle",
                                                       "move"};
static const char *const IDEMPOTENCY_STATE_NAMES[] = {"running", "ended"};

static const struct fp_field CHANGE_TEAM_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_team, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_team, head.at_ms), 0, NULL, NULL,
     "wall clock, ms since 1970"},
    {"name", FP_STR, offsetof(struct change_team, name), NAME_BYTES, NULL,
     NULL, "name of the team"},
    {"weight", FP_U32, offsetof(struct change_team, weight), 1000, NULL, NULL,
     "relative share when the cell is full, 1 to 1000"},
    {"limit_running", FP_U32, offsetof(struct change_team, limit_running), 0,
     NULL, NULL, "concurrent tasks and requests; 0: no limit"},
    {"limit_cpu_milli", FP_U64, offsetof(struct change_team, limit_cpu_milli),
     0, NULL, NULL, "thousandths of a processor; 0: no limit"},
    {"limit_memory_mb", FP_U64, offsetof(struct change_team, limit_memory_mb),
     0, NULL, NULL, "memory of running tasks, MB; 0: no limit"},
    {"limit_accel", FP_U32, offsetof(struct change_team, limit_accel), 0, NULL,
     NULL, "accelerators; 0: no limit"},
    {"max_waiting", FP_U32, offsetof(struct change_team, max_waiting), 1000000,
     NULL, NULL, "waiting tasks, and requests per host; 0: 10000"},
    {"remove", FP_BOOL, offsetof(struct change_team, remove), 0, NULL, NULL,
     "removes the team"},
    {"check_version", FP_BOOL, offsetof(struct change_team, check_version), 0,
     NULL, NULL, "refuse unless version is the current one"},
    {"version", FP_U64, offsetof(struct change_team, version), 0, NULL, NULL,
     "log index of its last change; 0: new"},
};
const struct fp_schema CHANGE_TEAM_SCHEMA = {
    "team", CHANGE_TEAM, sizeof(struct change_team), CHANGE_TEAM_FIELDS,
    FP_FIELD_COUNT(CHANGE_TEAM_FIELDS)};

static const struct fp_field CHANGE_KEY_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_key, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_key, head.at_ms), 0, NULL, NULL,
     "wall clock, ms since 1970"},
    {"name", FP_STR, offsetof(struct change_key, name), NAME_BYTES, NULL, NULL,
     "name of the key, not the secret"},
    {"team", FP_STR, offsetof(struct change_key, team), NAME_BYTES, NULL, NULL,
     "team that the key belongs to"},
    {"hash", FP_STR, offsetof(struct change_key, hash), 72, NULL, NULL,
     "BLAKE2b-256 of the secret, hexadecimal"},
    {"withdrawn", FP_BOOL, offsetof(struct change_key, withdrawn), 0, NULL,
     NULL, "revokes the key"},
    {"check_version", FP_BOOL, offsetof(struct change_key, check_version), 0,
     NULL, NULL, "refuse unless version is the current one"},
    {"version", FP_U64, offsetof(struct change_key, version), 0, NULL, NULL,
     "log index of its last change; 0: new"},
};
const struct fp_schema CHANGE_KEY_SCHEMA = {
    "key", CHANGE_KEY, sizeof(struct change_key), CHANGE_KEY_FIELDS,
    FP_FIELD_COUNT(CHANGE_KEY_FIELDS)};

static const struct fp_field CHANGE_QUEUE_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_queue, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_queue, head.at_ms), 0, NULL, NULL,
     "wall clock, ms since 1970"},
    {"name", FP_STR, offsetof(struct change_queue, name), NAME_BYTES, NULL,
     NULL, "name of the queue"},
    {"kind", FP_ENUM, offsetof(struct change_queue, kind), 4, NULL,
     WORK_KIND_NAMES, "policy: service, batch, gang, urgent"},
    {"open", FP_BOOL, offsetof(struct change_queue, open), 0, NULL, NULL,
     "accepts calls without a key"},
    {"team", FP_STR, offsetof(struct change_queue, team), NAME_BYTES, NULL,
     NULL, "only this team may use it; empty: all"},
    {"service", FP_STR, offsetof(struct change_queue, service), NAME_BYTES,
     NULL, NULL, "requests go to targets of this service"},
    {"selector", FP_STR, offsetof(struct change_queue, selector),
     SELECTOR_BYTES, NULL, NULL, "targets that may run its work"},
    {"labels", FP_STR, offsetof(struct change_queue, labels), LABELS_BYTES,
     NULL, NULL, "labels of its work, for quiet hours"},
    {"request_max_ms", FP_U32, offsetof(struct change_queue, request_max_ms),
     600000, NULL, NULL, "longest duration of a request, ms; 0: 10000"},
    {"max_waiting", FP_U32, offsetof(struct change_queue, max_waiting), 100000,
     NULL, NULL, "waiting requests per host; 0: 256"},
    {"remove", FP_BOOL, offsetof(struct change_queue, remove), 0, NULL, NULL,
     "removes the queue"},
    {"check_version", FP_BOOL, offsetof(struct change_queue, check_version), 0,
     NULL, NULL, "refuse unless version is the current one"},
    {"version", FP_U64, offsetof(struct change_queue, version), 0, NULL, NULL,
     "log index of its last change; 0: new"},
};
const struct fp_schema CHANGE_QUEUE_SCHEMA = {
    "queue", CHANGE_QUEUE, sizeof(struct change_queue), CHANGE_QUEUE_FIELDS,
    FP_FIELD_COUNT(CHANGE_QUEUE_FIELDS)};

static const struct fp_field CHANGE_QUIET_HOURS_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_quiet_hours, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_quiet_hours, head.at_ms), 0, NULL,
     NULL, "wall clock, ms since 1970"},
    {"name", FP_STR, offsetof(struct change_quiet_hours, name), NAME_BYTES,
     NULL, NULL, "name of the rule"},
    {"selector", FP_STR, offsetof(struct change_quiet_hours, selector),
     SELECTOR_BYTES, NULL, NULL, "work that the rule applies to"},
    {"hosts", FP_STR, offsetof(struct change_quiet_hours, hosts),
     SELECTOR_BYTES, NULL, NULL, "targets that the rule applies to"},
    {"time_zone", FP_STR, offsetof(struct change_quiet_hours, time_zone),
     NAME_BYTES, NULL, NULL, "such as Europe/Athens"},
    {"days", FP_STR, offsetof(struct change_quiet_hours, days), 32, NULL, NULL,
     "days on which it begins: mon,tue,...; empty: all"},
    {"from_minute", FP_U32, offsetof(struct change_quiet_hours, from_minute),
     1439, NULL, NULL, "start, minutes after midnight, 0 to 1439"},
    {"to_minute", FP_U32, offsetof(struct change_quiet_hours, to_minute), 1439,
     NULL, NULL, "end, minutes; before the start: next day"},
    {"action", FP_ENUM, offsetof(struct change_quiet_hours, action), 3, NULL,
     QUIET_HOURS_ACTION_NAMES, "wait, throttle or move"},
    {"remove", FP_BOOL, offsetof(struct change_quiet_hours, remove), 0, NULL,
     NULL, "removes the rule"},
    {"check_version", FP_BOOL,
     offsetof(struct change_quiet_hours, check_version), 0, NULL, NULL,
     "refuse unless version is the current one"},
    {"version", FP_U64, offsetof(struct change_quiet_hours, version), 0, NULL,
     NULL, "log index of its last change; 0: new"},
};
const struct fp_schema CHANGE_QUIET_HOURS_SCHEMA = {
    "hours", CHANGE_QUIET_HOURS, sizeof(struct change_quiet_hours),
    CHANGE_QUIET_HOURS_FIELDS, FP_FIELD_COUNT(CHANGE_QUIET_HOURS_FIELDS)};

static const struct fp_field CHANGE_LABELS_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_labels, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_labels, head.at_ms), 0, NULL,
     NULL, "wall clock, ms since 1970"},
    {"target", FP_STR, offsetof(struct change_labels, target), NAME_BYTES,
     NULL, NULL, "name of the target"},
    {"labels", FP_STR, offsetof(struct change_labels, labels), LABELS_BYTES,
     NULL, NULL, "key=value,key=value"},
    {"check_version", FP_BOOL, offsetof(struct change_labels, check_version),
     0, NULL, NULL, "refuse unless version is the current one"},
    {"version", FP_U64, offsetof(struct change_labels, version), 0, NULL, NULL,
     "log index of its last change; 0: new"},
};
const struct fp_schema CHANGE_LABELS_SCHEMA = {
    "labels", CHANGE_LABELS, sizeof(struct change_labels),
    CHANGE_LABELS_FIELDS, FP_FIELD_COUNT(CHANGE_LABELS_FIELDS)};

static const struct fp_field CHANGE_TARGET_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_target, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_target, head.at_ms), 0, NULL,
     NULL, "wall clock, ms since 1970"},
    {"name", FP_STR, offsetof(struct change_target, name), NAME_BYTES, NULL,
     NULL, "name of the target"},
    {"run_id", FP_U64, offsetof(struct change_target, run_id), 0, NULL, NULL,
     "ID of the target's run, new at each start"},
    {"data_centre", FP_STR, offsetof(struct change_target, data_centre),
     NAME_BYTES, NULL, NULL, "data centre of the target"},
    {"rack", FP_STR, offsetof(struct change_target, rack), NAME_BYTES, NULL,
     NULL, "rack of the target"},
    {"address", FP_STR, offsetof(struct change_target, address), NAME_BYTES,
     NULL, NULL, "IP address and port for requests"},
    {"service", FP_STR, offsetof(struct change_target, service), NAME_BYTES,
     NULL, NULL, "service of the target; empty: none"},
    {"slots", FP_U32, offsetof(struct change_target, slots), 1024, NULL, NULL,
     "concurrent requests; 0: 8"},
    {"cpu_milli", FP_U32, offsetof(struct change_target, cpu_milli), 0, NULL,
     NULL, "thousandths of a processor"},
    {"memory_mb", FP_U32, offsetof(struct change_target, memory_mb), 0, NULL,
     NULL, "memory, MB"},
    {"accel", FP_U32, offsetof(struct change_target, accel), 1024, NULL, NULL,
     "accelerators"},
    {"labels", FP_STR, offsetof(struct change_target, labels), LABELS_BYTES,
     NULL, NULL, "labels from the announcement"},
    {"state", FP_ENUM, offsetof(struct change_target, state), 3, NULL,
     TARGET_STATE_NAMES, "up, leaving or down"},
    {"owner_run", FP_U64, offsetof(struct change_target, owner_run), 0, NULL,
     NULL, "process that owns its slots; 0: none"},
    {"owner_host", FP_STR, offsetof(struct change_target, owner_host), 32,
     NULL, NULL, "host of that process"},
    {"owner_epoch", FP_U64, offsetof(struct change_target, owner_epoch), 0,
     NULL, NULL, "incremented at each change of owner"},
    {"owner_clean", FP_BOOL, offsetof(struct change_target, owner_clean), 0,
     NULL, NULL, "no earlier owner can still use a slot"},
    {"was_owned", FP_BOOL, offsetof(struct change_target, was_owned), 0, NULL,
     NULL, "a process has owned its slots"},
    {"given_labels", FP_STR, offsetof(struct change_target, given_labels),
     LABELS_BYTES, NULL, NULL, "labels set by operators"},
    {"labels_version", FP_U64, offsetof(struct change_target, labels_version),
     0, NULL, NULL, "version of given_labels"},
    {"version", FP_U64, offsetof(struct change_target, version), 0, NULL, NULL,
     "log index of its last change"},
};
const struct fp_schema CHANGE_TARGET_SCHEMA = {
    "target", CHANGE_TARGET, sizeof(struct change_target),
    CHANGE_TARGET_FIELDS, FP_FIELD_COUNT(CHANGE_TARGET_FIELDS)};

static const struct fp_field CHANGE_TARGET_STATE_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_target_state, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_target_state, head.at_ms), 0,
     NULL, NULL, "wall clock, ms since 1970"},
    {"name", FP_STR, offsetof(struct change_target_state, name), NAME_BYTES,
     NULL, NULL, NULL},
    {"run_id", FP_U64, offsetof(struct change_target_state, run_id), 0, NULL,
     NULL, "0: any"},
    {"state", FP_ENUM, offsetof(struct change_target_state, state), 3, NULL,
     TARGET_STATE_NAMES, NULL},
};
const struct fp_schema CHANGE_TARGET_STATE_SCHEMA = {
    "target-state", CHANGE_TARGET_STATE, sizeof(struct change_target_state),
    CHANGE_TARGET_STATE_FIELDS, FP_FIELD_COUNT(CHANGE_TARGET_STATE_FIELDS)};

static const struct fp_field CHANGE_SUBMIT_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_submit, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_submit, head.at_ms), 0, NULL,
     NULL, "wall clock, ms since 1970"},
    {"queue", FP_STR, offsetof(struct change_submit, queue), NAME_BYTES, NULL,
     NULL, "queue of the job"},
    {"team", FP_STR, offsetof(struct change_submit, team), NAME_BYTES, NULL,
     NULL, "team that is charged; set from the key"},
    {"kind", FP_ENUM, offsetof(struct change_submit, kind), 4, NULL,
     WORK_KIND_NAMES, "set from the queue"},
    {"count", FP_U32, offsetof(struct change_submit, count), JOB_MAX_TASKS,
     NULL, NULL, "tasks; 0: 1"},
    {"cpu_milli", FP_U32, offsetof(struct change_submit, cpu_milli), 0, NULL,
     NULL, "thousandths of a processor, each task"},
    {"memory_mb", FP_U32, offsetof(struct change_submit, memory_mb), 0, NULL,
     NULL, "memory of each task, MB"},
    {"accel", FP_U32, offsetof(struct change_submit, accel), 1024, NULL, NULL,
     "accelerators of each task"},
    {"run_ms", FP_U32, offsetof(struct change_submit, run_ms), 0, NULL, NULL,
     "declared run time, ms; 0: not known"},
    {"labels", FP_STR, offsetof(struct change_submit, labels), LABELS_BYTES,
     NULL, NULL, "labels of the work"},
    {"selector", FP_STR, offsetof(struct change_submit, selector),
     SELECTOR_BYTES, NULL, NULL, "targets that may run it"},
    {"max_attempts", FP_U32, offsetof(struct change_submit, max_attempts), 100,
     NULL, NULL, "failed attempts of a task until it fails; 0: 3"},
    {"payload", FP_BLOB, offsetof(struct change_submit, payload),
     PAYLOAD_MAX_BYTES, NULL, NULL, "data passed to the target"},
    {"id", FP_U64, offsetof(struct change_submit, id), 0, NULL, NULL,
     "job ID; set by the system"},
    {"submitted_ms", FP_U64, offsetof(struct change_submit, submitted_ms), 0,
     NULL, NULL, "wall clock, ms since 1970; set by the system"},
};
const struct fp_schema CHANGE_SUBMIT_SCHEMA = {
    "submit", CHANGE_SUBMIT, sizeof(struct change_submit),
    CHANGE_SUBMIT_FIELDS, FP_FIELD_COUNT(CHANGE_SUBMIT_FIELDS)};

static const struct fp_field PLACE_ITEM_FIELDS[] = {
    {"task_id", FP_U64, offsetof(struct place_item, task_id), 0, NULL, NULL,
     NULL},
    {"attempt", FP_U32, offsetof(struct place_item, attempt), 0, NULL, NULL,
     NULL},
    {"target", FP_STR, offsetof(struct place_item, target), NAME_BYTES, NULL,
     NULL, NULL},
};
static const struct fp_schema PLACE_ITEM_SCHEMA = {
    "item", 70, sizeof(struct place_item), PLACE_ITEM_FIELDS,
    FP_FIELD_COUNT(PLACE_ITEM_FIELDS)};

static const struct fp_field CHANGE_PLACE_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_place, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_place, head.at_ms), 0, NULL, NULL,
     "wall clock, ms since 1970"},
    {"items", FP_LIST, offsetof(struct change_place, items), CHANGE_MAX_ITEMS,
     &PLACE_ITEM_SCHEMA, NULL, NULL},
};
const struct fp_schema CHANGE_PLACE_SCHEMA = {
    "place", CHANGE_PLACE, sizeof(struct change_place), CHANGE_PLACE_FIELDS,
    FP_FIELD_COUNT(CHANGE_PLACE_FIELDS)};

static const struct fp_field END_ITEM_FIELDS[] = {
    {"task_id", FP_U64, offsetof(struct end_item, task_id), 0, NULL, NULL,
     NULL},
    {"attempt", FP_U32, offsetof(struct end_item, attempt), 0, NULL, NULL,
     NULL},
    {"outcome", FP_ENUM, offsetof(struct end_item, outcome), END_OUTCOME_COUNT,
     NULL, END_OUTCOME_NAMES, NULL},
    {"exit_code", FP_U32, offsetof(struct end_item, exit_code), 0, NULL, NULL,
     NULL},
    {"retry_at_ms", FP_U64, offsetof(struct end_item, retry_at_ms), 0, NULL,
     NULL, NULL},
};
static const struct fp_schema END_ITEM_SCHEMA = {
    "item", 71, sizeof(struct end_item), END_ITEM_FIELDS,
    FP_FIELD_COUNT(END_ITEM_FIELDS)};

static const struct fp_field CHANGE_END_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_end, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_end, head.at_ms), 0, NULL, NULL,
     "wall clock, ms since 1970"},
    {"items", FP_LIST, offsetof(struct change_end, items), CHANGE_MAX_ITEMS,
     &END_ITEM_SCHEMA, NULL, NULL},
};
const struct fp_schema CHANGE_END_SCHEMA = {
    "end", CHANGE_END, sizeof(struct change_end), CHANGE_END_FIELDS,
    FP_FIELD_COUNT(CHANGE_END_FIELDS)};

static const struct fp_field CHANGE_CANCEL_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_cancel, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_cancel, head.at_ms), 0, NULL,
     NULL, "wall clock, ms since 1970"},
    {"id", FP_U64, offsetof(struct change_cancel, id), 0, NULL, NULL,
     "ID of a job or task; 0: whole queue"},
    {"queue", FP_STR, offsetof(struct change_cancel, queue), NAME_BYTES, NULL,
     NULL, "with ID 0: all waiting work of this queue"},
    {"team", FP_STR, offsetof(struct change_cancel, team), NAME_BYTES, NULL,
     NULL, "only work of this team; empty: any"},
};
const struct fp_schema CHANGE_CANCEL_SCHEMA = {
    "cancel", CHANGE_CANCEL, sizeof(struct change_cancel),
    CHANGE_CANCEL_FIELDS, FP_FIELD_COUNT(CHANGE_CANCEL_FIELDS)};

static const struct fp_field CHANGE_OWNER_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_owner, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_owner, head.at_ms), 0, NULL, NULL,
     "wall clock, ms since 1970"},
    {"target", FP_STR, offsetof(struct change_owner, target), NAME_BYTES, NULL,
     NULL, NULL},
    {"run_id", FP_U64, offsetof(struct change_owner, run_id), 0, NULL, NULL,
     "new owner; 0: none"},
    {"host", FP_STR, offsetof(struct change_owner, host), 32, NULL, NULL,
     NULL},
    {"epoch", FP_U64, offsetof(struct change_owner, epoch), 0, NULL, NULL,
     "current epoch, which the change replaces"},
    {"clean", FP_BOOL, offsetof(struct change_owner, clean), 0, NULL, NULL,
     "the old owner returned all slots idle"},
};
const struct fp_schema CHANGE_OWNER_SCHEMA = {
    "own", CHANGE_OWNER, sizeof(struct change_owner), CHANGE_OWNER_FIELDS,
    FP_FIELD_COUNT(CHANGE_OWNER_FIELDS)};

static const struct fp_field CHANGE_GRANT_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_grant, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_grant, head.at_ms), 0, NULL, NULL,
     "wall clock, ms since 1970"},
    {"team", FP_STR, offsetof(struct change_grant, team), NAME_BYTES, NULL,
     NULL, NULL},
    {"run_id", FP_U64, offsetof(struct change_grant, run_id), 0, NULL, NULL,
     NULL},
    {"host", FP_STR, offsetof(struct change_grant, host), 32, NULL, NULL,
     NULL},
    {"units", FP_U32, offsetof(struct change_grant, units), 0, NULL, NULL,
     NULL},
    {"was", FP_U32, offsetof(struct change_grant, was), 0, NULL, NULL,
     "units held now; refused if they differ"},
};
const struct fp_schema CHANGE_GRANT_SCHEMA = {
    "grant", CHANGE_GRANT, sizeof(struct change_grant), CHANGE_GRANT_FIELDS,
    FP_FIELD_COUNT(CHANGE_GRANT_FIELDS)};

static const struct fp_field CHANGE_PROCESS_ENDED_FIELDS[] = {
    {"change_id", FP_STR,
     offsetof(struct change_process_ended, head.change_id), NAME_BYTES, NULL,
     NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_process_ended, head.at_ms), 0,
     NULL, NULL, "wall clock, ms since 1970"},
    {"run_id", FP_U64, offsetof(struct change_process_ended, run_id), 0, NULL,
     NULL, NULL},
};
const struct fp_schema CHANGE_PROCESS_ENDED_SCHEMA = {
    "run-gone", CHANGE_PROCESS_ENDED, sizeof(struct change_process_ended),
    CHANGE_PROCESS_ENDED_FIELDS, FP_FIELD_COUNT(CHANGE_PROCESS_ENDED_FIELDS)};

static const struct fp_field CHANGE_INTENT_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_intent, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_intent, head.at_ms), 0, NULL,
     NULL, "wall clock, ms since 1970"},
    {"team", FP_STR, offsetof(struct change_intent, team), NAME_BYTES, NULL,
     NULL, NULL},
    {"key", FP_STR, offsetof(struct change_intent, key), 128, NULL, NULL,
     NULL},
    {"digest", FP_STR, offsetof(struct change_intent, digest), 72, NULL, NULL,
     NULL},
    {"run_id", FP_U64, offsetof(struct change_intent, run_id), 0, NULL, NULL,
     NULL},
    {"deadline_ms", FP_U64, offsetof(struct change_intent, deadline_ms), 0,
     NULL, NULL, "wall clock, ms since 1970"},
};
const struct fp_schema CHANGE_INTENT_SCHEMA = {
    "intent", CHANGE_INTENT, sizeof(struct change_intent),
    CHANGE_INTENT_FIELDS, FP_FIELD_COUNT(CHANGE_INTENT_FIELDS)};

static const struct fp_field CHANGE_OUTCOME_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_outcome, head.change_id),
     NAME_BYTES, NULL, NULL, "ID of the change, kept in resends"},
    {"at_ms", FP_U64, offsetof(struct change_outcome, head.at_ms), 0, NULL,
     NULL, "wall clock, ms since 1970"},
    {"team", FP_STR, offsetof(struct change_outcome, team), NAME_BYTES, NULL,
     NULL, NULL},
    {"key", FP_STR, offsetof(struct change_outcome, key), 128, NULL, NULL,
     NULL},
    {"run_id", FP_U64, offsetof(struct change_outcome, run_id), 0, NULL, NULL,
     NULL},
    {"not_run", FP_BOOL, offsetof(struct change_outcome, not_run), 0, NULL,
     NULL, "nothing was sent; the intent is withdrawn"},
    {"err", FP_U32, offsetof(struct change_outcome, err), FP_ERR_COUNT, NULL,
     NULL, NULL},
    {"status", FP_U32, offsetof(struct change_outcome, status), 0, NULL, NULL,
     NULL},
    {"content_type", FP_STR, offsetof(struct change_outcome, content_type),
     128, NULL, NULL, NULL},
    {"body", FP_BLOB, offsetof(struct change_outcome, body),
     OUTCOME_BODY_MAX_BYTES, NULL, NULL, NULL},
};
const struct fp_schema CHANGE_OUTCOME_SCHEMA = {
    "outcome", CHANGE_OUTCOME, sizeof(struct change_outcome),
    CHANGE_OUTCOME_FIELDS, FP_FIELD_COUNT(CHANGE_OUTCOME_FIELDS)};

static const struct fp_field RECORD_TASK_FIELDS[] = {
    {"id", FP_U64, offsetof(struct record_task, id), 0, NULL, NULL, NULL},
    {"state", FP_ENUM, offsetof(struct record_task, state), TASK_STATE_COUNT,
     NULL, TASK_STATE_NAMES, NULL},
    {"attempt", FP_U32, offsetof(struct record_task, attempt), 0, NULL, NULL,
     NULL},
    {"failures", FP_U32, offsetof(struct record_task, failures), 0, NULL, NULL,
     NULL},
    {"exit_code", FP_U32, offsetof(struct record_task, exit_code), 0, NULL,
     NULL, NULL},
    {"last_outcome", FP_ENUM, offsetof(struct record_task, last_outcome),
     END_OUTCOME_COUNT, NULL, END_OUTCOME_NAMES, NULL},
    {"target", FP_STR, offsetof(struct record_task, target), NAME_BYTES, NULL,
     NULL, NULL},
    {"started_ms", FP_U64, offsetof(struct record_task, started_ms), 0, NULL,
     NULL, NULL},
    {"ended_ms", FP_U64, offsetof(struct record_task, ended_ms), 0, NULL, NULL,
     NULL},
    {"retry_at_ms", FP_U64, offsetof(struct record_task, retry_at_ms), 0, NULL,
     NULL, NULL},
    {"cancelling", FP_BOOL, offsetof(struct record_task, cancelling), 0, NULL,
     NULL, NULL},
    {"restarts", FP_U32, offsetof(struct record_task, restarts), 0, NULL, NULL,
     NULL},
};
const struct fp_schema RECORD_TASK_SCHEMA = {
    "task", RECORD_TASK, sizeof(struct record_task), RECORD_TASK_FIELDS,
    FP_FIELD_COUNT(RECORD_TASK_FIELDS)};

static const struct fp_field RECORD_IDEMPOTENCY_FIELDS[] = {
    {"team", FP_STR, offsetof(struct record_idempotency, team), NAME_BYTES,
     NULL, NULL, NULL},
    {"key", FP_STR, offsetof(struct record_idempotency, key), 128, NULL, NULL,
     NULL},
    {"digest", FP_STR, offsetof(struct record_idempotency, digest), 72, NULL,
     NULL, NULL},
    {"run_id", FP_U64, offsetof(struct record_idempotency, run_id), 0, NULL,
     NULL, NULL},
    {"state", FP_ENUM, offsetof(struct record_idempotency, state), 2, NULL,
     IDEMPOTENCY_STATE_NAMES, NULL},
    {"deadline_ms", FP_U64, offsetof(struct record_idempotency, deadline_ms),
     0, NULL, NULL, NULL},
    {"ended_ms", FP_U64, offsetof(struct record_idempotency, ended_ms), 0,
     NULL, NULL, NULL},
    {"err", FP_U32, offsetof(struct record_idempotency, err), FP_ERR_COUNT,
     NULL, NULL, NULL},
    {"status", FP_U32, offsetof(struct record_idempotency, status), 0, NULL,
     NULL, NULL},
    {"content_type", FP_STR, offsetof(struct record_idempotency, content_type),
     128, NULL, NULL, NULL},
    {"body", FP_BLOB, offsetof(struct record_idempotency, body),
     OUTCOME_BODY_MAX_BYTES, NULL, NULL, NULL},
};
const struct fp_schema RECORD_IDEMPOTENCY_SCHEMA = {
    "idempotency", RECORD_IDEMPOTENCY, sizeof(struct record_idempotency),
    RECORD_IDEMPOTENCY_FIELDS, FP_FIELD_COUNT(RECORD_IDEMPOTENCY_FIELDS)};

static const struct fp_field RECORD_RECENT_CHANGE_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct record_recent_change, change_id),
     NAME_BYTES, NULL, NULL, NULL},
    {"answer", FP_BLOB, offsetof(struct record_recent_change, answer),
     OUTCOME_BODY_MAX_BYTES * 2, NULL, NULL, NULL},
};
const struct fp_schema RECORD_RECENT_CHANGE_SCHEMA = {
    "seen", RECORD_RECENT_CHANGE, sizeof(struct record_recent_change),
    RECORD_RECENT_CHANGE_FIELDS, FP_FIELD_COUNT(RECORD_RECENT_CHANGE_FIELDS)};

static const struct fp_field CHANGE_TASK_LEASE_FIELDS[] = {
    {"change_id", FP_STR, offsetof(struct change_task_lease, head.change_id),
     NAME_BYTES, NULL, NULL, NULL},
    {"at_ms", FP_U64, offsetof(struct change_task_lease, head.at_ms), 0, NULL,
     NULL, NULL},
    {"lease_ms", FP_U32, offsetof(struct change_task_lease, lease_ms), 0, NULL,
     NULL, NULL},
};
const struct fp_schema CHANGE_TASK_LEASE_SCHEMA = {
    "task-lease", CHANGE_TASK_LEASE, sizeof(struct change_task_lease),
    CHANGE_TASK_LEASE_FIELDS, FP_FIELD_COUNT(CHANGE_TASK_LEASE_FIELDS)};

static const struct fp_field RECORD_CELL_FIELDS[] = {
    {"now_ms", FP_U64, offsetof(struct record_cell, now_ms), 0, NULL, NULL,
     NULL},
    {"config_version", FP_U64, offsetof(struct record_cell, config_version), 0,
     NULL, NULL, NULL},
    {"former_request_ms", FP_U64,
     offsetof(struct record_cell, former_request_ms), 0, NULL, NULL, NULL},
    {"former_until_ms", FP_U64, offsetof(struct record_cell, former_until_ms),
     0, NULL, NULL, NULL},
    {"task_lease_ms", FP_U32, offsetof(struct record_cell, task_lease_ms), 0,
     NULL, NULL, NULL},
};
const struct fp_schema RECORD_CELL_SCHEMA = {
    "cell", RECORD_CELL, sizeof(struct record_cell), RECORD_CELL_FIELDS,
    FP_FIELD_COUNT(RECORD_CELL_FIELDS)};

static const struct fp_field CHANGE_ANSWER_FIELDS[] = {
    {"err", FP_U32, offsetof(struct change_answer, err), FP_ERR_COUNT, NULL,
     NULL, NULL},
    {"version", FP_U64, offsetof(struct change_answer, version), 0, NULL, NULL,
     "new version, or the current one on a conflict"},
    {"id", FP_U64, offsetof(struct change_answer, id), 0, NULL, NULL,
     "job ID, or number of cancelled tasks"},
    {"detail", FP_STR, offsetof(struct change_answer, detail), 200, NULL, NULL,
     NULL},
    {"first", FP_BOOL, offsetof(struct change_answer, first), 0, NULL, NULL,
     "intent: no earlier request under this key"},
    {"ended", FP_BOOL, offsetof(struct change_answer, ended), 0, NULL, NULL,
     "intent: the earlier request has ended"},
    {"status", FP_U32, offsetof(struct change_answer, status), 0, NULL, NULL,
     NULL},
    {"deadline_ms", FP_U64, offsetof(struct change_answer, deadline_ms), 0,
     NULL, NULL, NULL},
    {"content_type", FP_STR, offsetof(struct change_answer, content_type), 128,
     NULL, NULL, NULL},
    {"body", FP_BLOB, offsetof(struct change_answer, body),
     OUTCOME_BODY_MAX_BYTES, NULL, NULL, NULL},
};
const struct fp_schema CHANGE_ANSWER_SCHEMA = {
    "answer", RECORD_ANSWER, sizeof(struct change_answer),
    CHANGE_ANSWER_FIELDS, FP_FIELD_COUNT(CHANGE_ANSWER_FIELDS)};

const struct fp_schema *
change_schema(uint32_t type)
{
    static const struct fp_schema *const table[] = {
        [CHANGE_TEAM] = &CHANGE_TEAM_SCHEMA,
        [CHANGE_KEY] = &CHANGE_KEY_SCHEMA,
        [CHANGE_QUEUE] = &CHANGE_QUEUE_SCHEMA,
        [CHANGE_QUIET_HOURS] = &CHANGE_QUIET_HOURS_SCHEMA,
        [CHANGE_LABELS] = &CHANGE_LABELS_SCHEMA,
        [CHANGE_TARGET] = &CHANGE_TARGET_SCHEMA,
        [CHANGE_TARGET_STATE] = &CHANGE_TARGET_STATE_SCHEMA,
        [CHANGE_SUBMIT] = &CHANGE_SUBMIT_SCHEMA,
        [CHANGE_PLACE] = &CHANGE_PLACE_SCHEMA,
        [CHANGE_END] = &CHANGE_END_SCHEMA,
        [CHANGE_CANCEL] = &CHANGE_CANCEL_SCHEMA,
        [CHANGE_OWNER] = &CHANGE_OWNER_SCHEMA,
        [CHANGE_GRANT] = &CHANGE_GRANT_SCHEMA,
        [CHANGE_PROCESS_ENDED] = &CHANGE_PROCESS_ENDED_SCHEMA,
        [CHANGE_INTENT] = &CHANGE_INTENT_SCHEMA,
        [CHANGE_OUTCOME] = &CHANGE_OUTCOME_SCHEMA,
        [CHANGE_TASK_LEASE] = &CHANGE_TASK_LEASE_SCHEMA,
    };

    if (type >= sizeof(table) / sizeof(table[0])) {
        return NULL;
    }
    return table[type];
}
