/* fleetrec.c -- the schemas of a fleet's records */
#include "core/failures.h"
#include "core/fleetrec.h"

const char *const JOB_STATE_NAMES[JOB_STATE_COUNT] = {
    "queued", "running", "completed", "failed", "cancelled"};
const char *const RUN_OUTCOME_NAMES[RUN_OUTCOME_COUNT] = {
    "done", "failed", "stopped", "lapsed", "broken", "incomplete"};

/* A field, written out under its own name; field may be a nested member such
 * as head.at_ms. */
#define U32(record, field)                                                    \
    {                                                                         \
#field, FP_U32, offsetof(struct record, field), 0, NULL, NULL, NULL   \
    }
#define U64(record, field)                                                    \
    {                                                                         \
#field, FP_U64, offsetof(struct record, field), 0, NULL, NULL, NULL   \
    }
#define BOOL(record, field)                                                   \
    {                                                                         \
#field, FP_BOOL, offsetof(struct record, field), 0, NULL, NULL, NULL  \
    }
#define STR(record, field, max_bytes)                                         \
    {                                                                         \
#field, FP_STR, offsetof(struct record, field), max_bytes, NULL,      \
            NULL, NULL                                                        \
    }
#define BLOB(record, field, max_bytes)                                        \
    {                                                                         \
#field, FP_BLOB, offsetof(struct record, field), max_bytes, NULL,     \
            NULL, NULL                                                        \
    }
#define LIST(record, field, max_items, item_schema)                           \
    {                                                                         \
#field, FP_LIST, offsetof(struct record, field), max_items,           \
            &(item_schema), NULL, NULL                                        \
    }
#define SCHEMA(name, type, record, fields)                                    \
    {                                                                         \
        name, type, sizeof(struct record), fields, FP_FIELD_COUNT(fields)     \
    }

static const struct fp_field FLEET_DEPENDENCY_FIELDS[] = {
    U32(fleet_dependency, step),
};
static const struct fp_schema FLEET_DEPENDENCY_SCHEMA =
    SCHEMA("fleet-after", 120, fleet_dependency, FLEET_DEPENDENCY_FIELDS);

static const struct fp_field FLEET_STEP_FIELDS[] = {
    U32(fleet_step, count),
    U32(fleet_step, cpu_milli),
    U32(fleet_step, memory_mb),
    U32(fleet_step, accel),
    U32(fleet_step, estimate_ms),
    LIST(fleet_step, after, FLEET_STEPS_MAX, FLEET_DEPENDENCY_SCHEMA),
    BOOL(fleet_step, checkpoints),
    BOOL(fleet_step, gang),
    BOOL(fleet_step, same_rack),
    BOOL(fleet_step, duplicates),
    BOOL(fleet_step, lasting),
    BOOL(fleet_step, fills),
    U32(fleet_step, spread),
    U32(fleet_step, tail_ms),
    U32(fleet_step, may_miss),
    BOOL(fleet_step, keeps_floor),
    STR(fleet_step, label, FLEET_NAME_BYTES),
    STR(fleet_step, rack, FLEET_NAME_BYTES),
    STR(fleet_step, image, FLEET_NAME_BYTES),
};
const struct fp_schema FLEET_STEP_SCHEMA =
    SCHEMA("fleet-step", 121, fleet_step, FLEET_STEP_FIELDS);

static const struct fp_field FLEET_SUBMIT_FIELDS[] = {
    STR(fleet_submit, head.change_id, NAME_BYTES),
    U64(fleet_submit, head.at_ms),
    U64(fleet_submit, id),
    STR(fleet_submit, host, FLEET_NAME_BYTES),
    STR(fleet_submit, prefix, FLEET_PATH_BYTES),
    STR(fleet_submit, team, FLEET_NAME_BYTES),
    BLOB(fleet_submit, spec, FLEET_SPEC_MAX_BYTES),
    LIST(fleet_submit, steps, FLEET_STEPS_MAX, FLEET_STEP_SCHEMA),
    U64(fleet_submit, first_due_ms),
    U32(fleet_submit, interval_ms),
    U32(fleet_submit, occurrences),
    BOOL(fleet_submit, beyond_share),
    U32(fleet_submit, share_window_ms),
};
const struct fp_schema FLEET_SUBMIT_SCHEMA =
    SCHEMA("fleet-submit", FLEET_SUBMIT, fleet_submit, FLEET_SUBMIT_FIELDS);

static const struct fp_field FLEET_CANCEL_FIELDS[] = {
    STR(fleet_cancel, head.change_id, NAME_BYTES),
    U64(fleet_cancel, head.at_ms),
    U64(fleet_cancel, id),
};
const struct fp_schema FLEET_CANCEL_SCHEMA =
    SCHEMA("fleet-cancel", FLEET_CANCEL, fleet_cancel, FLEET_CANCEL_FIELDS);

static const struct fp_field FLEET_RUN_END_FIELDS[] = {
    U64(fleet_run_end, task.job_id),
    U32(fleet_run_end, task.occurrence),
    U32(fleet_run_end, task.step),
    U32(fleet_run_end, task.index),
    U32(fleet_run_end, run),
    U32(fleet_run_end, outcome),
    STR(fleet_run_end, checkpoint, FLEET_CHECKPOINT_BYTES),
};
static const struct fp_schema FLEET_RUN_END_SCHEMA =
    SCHEMA("fleet-end", 122, fleet_run_end, FLEET_RUN_END_FIELDS);

static const struct fp_field FLEET_RUN_ENDS_FIELDS[] = {
    STR(fleet_run_ends, head.change_id, NAME_BYTES),
    U64(fleet_run_ends, head.at_ms),
    LIST(fleet_run_ends, items, 8192, FLEET_RUN_END_SCHEMA),
};
const struct fp_schema FLEET_RUN_ENDS_SCHEMA = SCHEMA(
    "fleet-ends", FLEET_RUN_ENDS, fleet_run_ends, FLEET_RUN_ENDS_FIELDS);

static const struct fp_field FLEET_TASK_CRASH_FIELDS[] = {
    U64(fleet_task_crash, task.job_id), U32(fleet_task_crash, task.occurrence),
    U32(fleet_task_crash, task.step),   U32(fleet_task_crash, task.index),
    U32(fleet_task_crash, run),         U32(fleet_task_crash, evidence),
    U32(fleet_task_crash, ran_ms),
};
static const struct fp_schema FLEET_TASK_CRASH_SCHEMA =
    SCHEMA("fleet-task-crash", 139, fleet_task_crash, FLEET_TASK_CRASH_FIELDS);

static const struct fp_field FLEET_CRASHES_FIELDS[] = {
    STR(fleet_crashes, head.change_id, NAME_BYTES),
    U64(fleet_crashes, head.at_ms),
    LIST(fleet_crashes, items, 8192, FLEET_TASK_CRASH_SCHEMA),
};
const struct fp_schema FLEET_CRASHES_SCHEMA = SCHEMA(
    "fleet-crashes", FLEET_CRASHES, fleet_crashes, FLEET_CRASHES_FIELDS);

static const struct fp_field FLEET_QUEUE_CONF_FIELDS[] = {
    STR(fleet_queue_conf, name, FLEET_NAME_BYTES),
    STR(fleet_queue_conf, host, FLEET_NAME_BYTES),
    STR(fleet_queue_conf, prefix, FLEET_PATH_BYTES),
    STR(fleet_queue_conf, service, FLEET_NAME_BYTES),
    U32(fleet_queue_conf, priority),
    U32(fleet_queue_conf, objective_ms),
    U32(fleet_queue_conf, stretch_permille),
    U32(fleet_queue_conf, max_attempts),
    BOOL(fleet_queue_conf, open),
    BOOL(fleet_queue_conf, advised),
    U32(fleet_queue_conf, advice_us),
    U32(fleet_queue_conf, advice_each_us),
    U32(fleet_queue_conf, ticket_ms),
};
static const struct fp_schema FLEET_QUEUE_CONF_SCHEMA =
    SCHEMA("fleet-queue-conf", 123, fleet_queue_conf, FLEET_QUEUE_CONF_FIELDS);

static const struct fp_field FLEET_SERVICE_CONF_FIELDS[] = {
    STR(fleet_service_conf, name, FLEET_NAME_BYTES),
    BOOL(fleet_service_conf, guards_size),
    BOOL(fleet_service_conf, standby),
};
static const struct fp_schema FLEET_SERVICE_CONF_SCHEMA = SCHEMA(
    "fleet-service-conf", 124, fleet_service_conf, FLEET_SERVICE_CONF_FIELDS);

static const struct fp_field FLEET_KEY_CONF_FIELDS[] = {
    STR(fleet_key_conf, key, FLEET_KEY_BYTES),
};
static const struct fp_schema FLEET_KEY_CONF_SCHEMA =
    SCHEMA("fleet-key-conf", 125, fleet_key_conf, FLEET_KEY_CONF_FIELDS);

static const struct fp_field FLEET_TEAM_CONF_FIELDS[] = {
    STR(fleet_team_conf, name, FLEET_NAME_BYTES),
    U32(fleet_team_conf, weight),
    U64(fleet_team_conf, limit_cpu_milli),
    U64(fleet_team_conf, limit_memory_mb),
    U64(fleet_team_conf, limit_accel),
    LIST(fleet_team_conf, keys, 256, FLEET_KEY_CONF_SCHEMA),
};
static const struct fp_schema FLEET_TEAM_CONF_SCHEMA =
    SCHEMA("fleet-team-conf", 126, fleet_team_conf, FLEET_TEAM_CONF_FIELDS);

static const struct fp_field FLEET_CONFIG_FIELDS[] = {
    STR(fleet_config, head.change_id, NAME_BYTES),
    U64(fleet_config, head.at_ms),
    U64(fleet_config, version),
    LIST(fleet_config, queues, 16384, FLEET_QUEUE_CONF_SCHEMA),
    LIST(fleet_config, services, 1024, FLEET_SERVICE_CONF_SCHEMA),
    LIST(fleet_config, teams, 4096, FLEET_TEAM_CONF_SCHEMA),
    BLOB(fleet_config, text, FLEET_CONFIG_MAX_BYTES),
};
const struct fp_schema FLEET_CONFIG_SCHEMA =
    SCHEMA("fleet-config", FLEET_CONFIG, fleet_config, FLEET_CONFIG_FIELDS);

static const struct fp_field FLEET_TARGET_REC_FIELDS[] = {
    STR(fleet_target_rec, head.change_id, NAME_BYTES),
    U64(fleet_target_rec, head.at_ms),
    STR(fleet_target_rec, id, FLEET_NAME_BYTES),
    U64(fleet_target_rec, born_ms),
    STR(fleet_target_rec, address, FLEET_NAME_BYTES),
    STR(fleet_target_rec, service, FLEET_NAME_BYTES),
    STR(fleet_target_rec, data_centre, FLEET_NAME_BYTES),
    U32(fleet_target_rec, cpu_milli),
    U32(fleet_target_rec, memory_mb),
    U32(fleet_target_rec, accel),
    STR(fleet_target_rec, rack, FLEET_NAME_BYTES),
    STR(fleet_target_rec, labels, FLEET_LABELS_BYTES),
    BOOL(fleet_target_rec, leaving),
    U32(fleet_target_rec, stays_ms),
    U64(fleet_target_rec, sequence),
    U32(fleet_target_rec, cold_ms),
    BOOL(fleet_target_rec, changed_service),
    BOOL(fleet_target_rec, departed),
};
const struct fp_schema FLEET_TARGET_SCHEMA =
    SCHEMA("fleet-target-rec", FLEET_TARGET, fleet_target_rec,
           FLEET_TARGET_REC_FIELDS);

static const struct fp_field FLEET_TARGET_REMOVAL_FIELDS[] = {
    STR(fleet_target_removal, head.change_id, NAME_BYTES),
    U64(fleet_target_removal, head.at_ms),
    STR(fleet_target_removal, id, FLEET_NAME_BYTES),
    U64(fleet_target_removal, born_ms),
    BOOL(fleet_target_removal, is_notice),
};
const struct fp_schema FLEET_TARGET_REMOVAL_SCHEMA =
    SCHEMA("fleet-target-gone", FLEET_TARGET_REMOVAL, fleet_target_removal,
           FLEET_TARGET_REMOVAL_FIELDS);

static const struct fp_field FLEET_TASK_ID_FIELDS[] = {
    U64(fleet_task_id, job_id),
    U32(fleet_task_id, occurrence),
    U32(fleet_task_id, step),
    U32(fleet_task_id, index),
};
static const struct fp_schema FLEET_TASK_ID_SCHEMA =
    SCHEMA("fleet-task-id", 143, fleet_task_id, FLEET_TASK_ID_FIELDS);

static const struct fp_field FLEET_OUTAGE_FIELDS[] = {
    STR(fleet_outage, head.change_id, NAME_BYTES),
    U64(fleet_outage, head.at_ms),
    STR(fleet_outage, id, FLEET_NAME_BYTES),
    U64(fleet_outage, born_ms),
    BOOL(fleet_outage, is_over),
    LIST(fleet_outage, tasks, 8192, FLEET_TASK_ID_SCHEMA),
};
const struct fp_schema FLEET_OUTAGE_SCHEMA =
    SCHEMA("fleet-outage", FLEET_OUTAGE, fleet_outage, FLEET_OUTAGE_FIELDS);

static const struct fp_field FLEET_LEASE_FIELDS[] = {
    STR(fleet_lease, head.change_id, NAME_BYTES),
    U64(fleet_lease, head.at_ms),
    U32(fleet_lease, lease_ms),
};
const struct fp_schema FLEET_LEASE_SCHEMA =
    SCHEMA("fleet-lease", FLEET_LEASE, fleet_lease, FLEET_LEASE_FIELDS);

static const struct fp_field FLEET_EVACUATION_FIELDS[] = {
    STR(fleet_evacuation, head.change_id, NAME_BYTES),
    U64(fleet_evacuation, head.at_ms),
    STR(fleet_evacuation, data_centre, FLEET_NAME_BYTES),
    BOOL(fleet_evacuation, withdrawn),
};
const struct fp_schema FLEET_EVACUATION_SCHEMA =
    SCHEMA("fleet-evacuation", FLEET_EVACUATION, fleet_evacuation,
           FLEET_EVACUATION_FIELDS);

static const struct fp_field FLEET_EVACUATION_ORDER_FIELDS[] = {
    STR(fleet_evacuation_order, change_id, NAME_BYTES),
};
static const struct fp_schema FLEET_EVACUATION_ORDER_SCHEMA =
    SCHEMA("fleet-evacuation-order", 141, fleet_evacuation_order,
           FLEET_EVACUATION_ORDER_FIELDS);

static const struct fp_field FLEET_DATA_CENTRE_SAVED_FIELDS[] = {
    STR(fleet_data_centre_saved, name, FLEET_NAME_BYTES),
    BOOL(fleet_data_centre_saved, evacuated),
    U64(fleet_data_centre_saved, ordered_ms),
    LIST(fleet_data_centre_saved, orders, FLEET_EVACUATION_ORDERS_MAX,
         FLEET_EVACUATION_ORDER_SCHEMA),
};
const struct fp_schema FLEET_DATA_CENTRE_SAVED_SCHEMA =
    SCHEMA("fleet-data-centre-saved", 131, fleet_data_centre_saved,
           FLEET_DATA_CENTRE_SAVED_FIELDS);

static const struct fp_field FLEET_FAILED_RUN_FIELDS[] = {
    U32(fleet_failed_run, run),
};
static const struct fp_schema FLEET_FAILED_RUN_SCHEMA =
    SCHEMA("fleet-failed-run", 138, fleet_failed_run, FLEET_FAILED_RUN_FIELDS);

static const struct fp_field FLEET_CRASH_SAVED_FIELDS[] = {
    U32(fleet_crash_saved, run),
    U32(fleet_crash_saved, evidence),
};
static const struct fp_schema FLEET_CRASH_SAVED_SCHEMA = SCHEMA(
    "fleet-crash-saved", 140, fleet_crash_saved, FLEET_CRASH_SAVED_FIELDS);

static const struct fp_field FLEET_TASK_SAVED_FIELDS[] = {
    U32(fleet_task_saved, number),
    BOOL(fleet_task_saved, done),
    U32(fleet_task_saved, failures),
    U32(fleet_task_saved, failed_run),
    STR(fleet_task_saved, checkpoint, FLEET_CHECKPOINT_BYTES),
    LIST(fleet_task_saved, failed_runs, FAILURES_MAX, FLEET_FAILED_RUN_SCHEMA),
    LIST(fleet_task_saved, crashes, CRASHES_MAX, FLEET_CRASH_SAVED_SCHEMA),
    U32(fleet_task_saved, crash_cleared_run),
    U32(fleet_task_saved, crash_ran_ms),
};
static const struct fp_schema FLEET_TASK_SAVED_SCHEMA =
    SCHEMA("fleet-task-saved", 127, fleet_task_saved, FLEET_TASK_SAVED_FIELDS);

static const struct fp_field FLEET_SERVICE_SAVED_FIELDS[] = {
    STR(fleet_service_saved, name, FLEET_NAME_BYTES),
};
static const struct fp_schema FLEET_SERVICE_SAVED_SCHEMA =
    SCHEMA("fleet-service-saved", 144, fleet_service_saved,
           FLEET_SERVICE_SAVED_FIELDS);

static const struct fp_field FLEET_JOB_SAVED_FIELDS[] = {
    STR(fleet_job_saved, submit.head.change_id, NAME_BYTES),
    U64(fleet_job_saved, submit.head.at_ms),
    U64(fleet_job_saved, submit.id),
    STR(fleet_job_saved, submit.host, FLEET_NAME_BYTES),
    STR(fleet_job_saved, submit.prefix, FLEET_PATH_BYTES),
    STR(fleet_job_saved, submit.team, FLEET_NAME_BYTES),
    BLOB(fleet_job_saved, submit.spec, FLEET_SPEC_MAX_BYTES),
    LIST(fleet_job_saved, submit.steps, FLEET_STEPS_MAX, FLEET_STEP_SCHEMA),
    U64(fleet_job_saved, submit.first_due_ms),
    U32(fleet_job_saved, submit.interval_ms),
    U32(fleet_job_saved, submit.occurrences),
    U32(fleet_job_saved, state),
    U64(fleet_job_saved, ended_ms),
    LIST(fleet_job_saved, tasks, FLEET_JOB_TASKS_MAX, FLEET_TASK_SAVED_SCHEMA),
    BOOL(fleet_job_saved, submit.beyond_share),
    LIST(fleet_job_saved, services, FLEET_JOB_SERVICES_MAX,
         FLEET_SERVICE_SAVED_SCHEMA),
};
const struct fp_schema FLEET_JOB_SAVED_SCHEMA =
    SCHEMA("fleet-job-saved", FLEET_JOB_SAVED, fleet_job_saved,
           FLEET_JOB_SAVED_FIELDS);

static const struct fp_field FLEET_SNAPSHOT_ITEM_FIELDS[] = {
    BLOB(fleet_snapshot_item, record, FLEET_SNAPSHOT_ITEM_MAX_BYTES),
};
static const struct fp_schema FLEET_SNAPSHOT_ITEM_SCHEMA =
    SCHEMA("fleet-snapshot-item", 128, fleet_snapshot_item,
           FLEET_SNAPSHOT_ITEM_FIELDS);

static const struct fp_field FLEET_SHARE_SAVED_FIELDS[] = {
    STR(fleet_share_saved, team, FLEET_NAME_BYTES),
    U64(fleet_share_saved, tokens_micro),
    U64(fleet_share_saved, updated_ms),
};
static const struct fp_schema FLEET_SHARE_SAVED_SCHEMA = SCHEMA(
    "fleet-share-saved", 141, fleet_share_saved, FLEET_SHARE_SAVED_FIELDS);

static const struct fp_field FLEET_SNAPSHOT_FIELDS[] = {
    U64(fleet_snapshot, now_ms),
    LIST(fleet_snapshot, items, 1048576, FLEET_SNAPSHOT_ITEM_SCHEMA),
    LIST(fleet_snapshot, shares, 65536, FLEET_SHARE_SAVED_SCHEMA),
    LIST(fleet_snapshot, data_centres, 65536, FLEET_DATA_CENTRE_SAVED_SCHEMA),
    LIST(fleet_snapshot, outages, 65536, FLEET_SNAPSHOT_ITEM_SCHEMA),
    U32(fleet_snapshot, lease_ms),
    LIST(fleet_snapshot, removed_queues, 1048576, FLEET_QUEUE_CONF_SCHEMA),
};
const struct fp_schema FLEET_SNAPSHOT_SCHEMA = SCHEMA(
    "fleet-snapshot", FLEET_SNAPSHOT, fleet_snapshot, FLEET_SNAPSHOT_FIELDS);

static const struct fp_field CALL_JOB_FIELDS[] = {
    STR(call_job, host, FLEET_NAME_BYTES),
    STR(call_job, path, FLEET_PATH_BYTES),
    STR(call_job, key, FLEET_KEY_BYTES),
    BOOL(call_job, has_key),
};
const struct fp_schema CALL_JOB_SCHEMA =
    SCHEMA("call-job", 129, call_job, CALL_JOB_FIELDS);

static const struct fp_field CALL_SUBMIT_FIELDS[] = {
    STR(call_submit, to.host, FLEET_NAME_BYTES),
    STR(call_submit, to.path, FLEET_PATH_BYTES),
    STR(call_submit, to.key, FLEET_KEY_BYTES),
    BOOL(call_submit, to.has_key),
    STR(call_submit, job.head.change_id, NAME_BYTES),
    U64(call_submit, job.head.at_ms),
    U64(call_submit, job.id),
    STR(call_submit, job.host, FLEET_NAME_BYTES),
    STR(call_submit, job.prefix, FLEET_PATH_BYTES),
    STR(call_submit, job.team, FLEET_NAME_BYTES),
    BLOB(call_submit, job.spec, FLEET_SPEC_MAX_BYTES),
    LIST(call_submit, job.steps, FLEET_STEPS_MAX, FLEET_STEP_SCHEMA),
    U64(call_submit, job.first_due_ms),
    U32(call_submit, job.interval_ms),
    U32(call_submit, job.occurrences),
};
const struct fp_schema CALL_SUBMIT_SCHEMA =
    SCHEMA("call-submit", 130, call_submit, CALL_SUBMIT_FIELDS);

static const struct fp_field CALL_PING_FIELDS[] = {
    U32(call_ping, helper),
    STR(call_ping, data_centre, FLEET_NAME_BYTES),
    U32(call_ping, memory_mb),
};
const struct fp_schema CALL_PING_SCHEMA =
    SCHEMA("call-ping", 131, call_ping, CALL_PING_FIELDS);

static const struct fp_field CALL_ANNOUNCE_FIELDS[] = {
    STR(call_announce, target.head.change_id, NAME_BYTES),
    U64(call_announce, target.head.at_ms),
    STR(call_announce, target.id, FLEET_NAME_BYTES),
    U64(call_announce, target.born_ms),
    STR(call_announce, target.address, FLEET_NAME_BYTES),
    STR(call_announce, target.service, FLEET_NAME_BYTES),
    STR(call_announce, target.data_centre, FLEET_NAME_BYTES),
    U32(call_announce, target.cpu_milli),
    U32(call_announce, target.memory_mb),
    U32(call_announce, target.accel),
    STR(call_announce, target.rack, FLEET_NAME_BYTES),
    STR(call_announce, target.labels, FLEET_LABELS_BYTES),
    BOOL(call_announce, target.leaving),
    U32(call_announce, target.stays_ms),
    U64(call_announce, sequence),
    U32(call_announce, target.cold_ms),
};
const struct fp_schema CALL_ANNOUNCE_SCHEMA =
    SCHEMA("call-announce", 132, call_announce, CALL_ANNOUNCE_FIELDS);

static const struct fp_field CALL_TARGET_ID_FIELDS[] = {
    STR(call_target_id, id, FLEET_NAME_BYTES),
};
static const struct fp_schema CALL_TARGET_ID_SCHEMA =
    SCHEMA("call-target-id", 133, call_target_id, CALL_TARGET_ID_FIELDS);

static const struct fp_field CALL_ADVISE_FIELDS[] = {
    U64(call_advise, job_id),
    U32(call_advise, occurrence),
    U32(call_advise, step),
    U32(call_advise, timeout_ms),
    LIST(call_advise, targets, FLEET_QUERY_TARGETS_MAX, CALL_TARGET_ID_SCHEMA),
};
const struct fp_schema CALL_ADVISE_SCHEMA =
    SCHEMA("call-advise", 134, call_advise, CALL_ADVISE_FIELDS);

static const struct fp_field CALL_TICKET_FIELDS[] = {
    STR(call_ticket, id, FLEET_NAME_BYTES),
    STR(call_ticket, ticket, FLEET_TICKET_BYTES),
};
static const struct fp_schema CALL_TICKET_SCHEMA =
    SCHEMA("call-ticket", 135, call_ticket, CALL_TICKET_FIELDS);

static const struct fp_field CALL_HOST_FIELDS[] = {
    STR(call_host, host, FLEET_NAME_BYTES),
};
static const struct fp_schema CALL_HOST_SCHEMA =
    SCHEMA("call-host", 136, call_host, CALL_HOST_FIELDS);

static const struct fp_field CALL_EVACUATION_FIELDS[] = {
    STR(call_evacuation, data_centre, FLEET_NAME_BYTES),
    U64(call_evacuation, ordered_ms),
    U32(call_evacuation, targets),
    U32(call_evacuation, runs),
    U32(call_evacuation, lasting),
};
static const struct fp_schema CALL_EVACUATION_SCHEMA =
    SCHEMA("call-evacuation", 142, call_evacuation, CALL_EVACUATION_FIELDS);

static const struct fp_field CALL_ANSWER_FIELDS[] = {
    U32(call_answer, err),
    U32(call_answer, state),
    U64(call_answer, count),
    U32(call_answer, retry_after_ms),
    BLOB(call_answer, text, FLEET_CONFIG_MAX_BYTES),
    LIST(call_answer, hosts, 64, CALL_HOST_SCHEMA),
    LIST(call_answer, tickets, FLEET_QUERY_TARGETS_MAX, CALL_TICKET_SCHEMA),
    LIST(call_answer, evacuations, FLEET_DATA_CENTRES_MAX,
         CALL_EVACUATION_SCHEMA),
    U32(call_answer, policy_status),
    U32(call_answer, policy_bytes),
    U32(call_answer, policy_unread),
    U32(call_answer, policy_took_ms),
};
const struct fp_schema CALL_ANSWER_SCHEMA =
    SCHEMA("call-answer", 137, call_answer, CALL_ANSWER_FIELDS);
