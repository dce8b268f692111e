/* replayload.c -- the load file of "bench replay" */
#include <cyaml/cyaml.h>
#include <stdio.h>
#include <string.h>

#include "bench/replay.h"

#define LIST_MAX 64u
#define NAME_MAX_BYTES 63u /* without the final NUL */

/* The name of a field of the struct is also its key in the load file. */
#define OPTIONAL_UINT(type, name)                                             \
    CYAML_FIELD_UINT(#name, CYAML_FLAG_OPTIONAL, struct type, name)
#define REQUIRED_UINT(type, name)                                             \
    CYAML_FIELD_UINT(#name, CYAML_FLAG_DEFAULT, struct type, name)
#define OPTIONAL_BOOL(type, name)                                             \
    CYAML_FIELD_BOOL(#name, CYAML_FLAG_OPTIONAL, struct type, name)
#define REQUIRED_STRING(type, name)                                           \
    CYAML_FIELD_STRING_PTR(#name, CYAML_FLAG_POINTER, struct type, name, 1,   \
                           NAME_MAX_BYTES)
#define UINT_LIST(type, name, min_count)                                      \
    CYAML_FIELD_SEQUENCE(                                                     \
        #name, CYAML_FLAG_POINTER | ((min_count) ? 0 : CYAML_FLAG_OPTIONAL),  \
        struct type, name, &UINT_VALUE, min_count, LIST_MAX)

static const cyaml_schema_value_t UINT_VALUE = {
    CYAML_VALUE_UINT(CYAML_FLAG_DEFAULT, uint32_t)};

static const cyaml_schema_field_t TEAM_FIELDS[] = {
    REQUIRED_STRING(replay_team, name),
    REQUIRED_UINT(replay_team, weight),
    REQUIRED_UINT(replay_team, share),
    OPTIONAL_UINT(replay_team, limit_cpu_milli),
    OPTIONAL_UINT(replay_team, limit_accel),
    CYAML_FIELD_END};

static const cyaml_schema_field_t SERVICE_FIELDS[] = {
    REQUIRED_STRING(replay_service, name),
    REQUIRED_UINT(replay_service, targets),
    REQUIRED_UINT(replay_service, cpu_milli),
    REQUIRED_UINT(replay_service, memory_mb),
    OPTIONAL_UINT(replay_service, accel),
    REQUIRED_UINT(replay_service, rack),
    UINT_LIST(replay_service, sizes_percent, 1),
    UINT_LIST(replay_service, speeds_percent, 1),
    CYAML_FIELD_END};

static const cyaml_schema_field_t QUEUE_FIELDS[] = {
    REQUIRED_STRING(replay_queue, name),
    REQUIRED_STRING(replay_queue, service),
    REQUIRED_UINT(replay_queue, priority),
    REQUIRED_UINT(replay_queue, objective_ms),
    REQUIRED_UINT(replay_queue, stretch_permille),
    REQUIRED_UINT(replay_queue, max_attempts),
    REQUIRED_UINT(replay_queue, worth_milli),
    REQUIRED_UINT(replay_queue, jobs_in_1000_s),
    REQUIRED_UINT(replay_queue, steps),
    REQUIRED_UINT(replay_queue, tasks),
    REQUIRED_UINT(replay_queue, cpu_milli),
    REQUIRED_UINT(replay_queue, memory_mb),
    UINT_LIST(replay_queue, accel, 0),
    REQUIRED_UINT(replay_queue, work_ms),
    REQUIRED_UINT(replay_queue, spread_percent),
    REQUIRED_UINT(replay_queue, estimate_off_percent),
    OPTIONAL_UINT(replay_queue, failures_permille),
    OPTIONAL_UINT(replay_queue, crashing_permille),
    OPTIONAL_UINT(replay_queue, crash_after_ms),
    OPTIONAL_UINT(replay_queue, tail_permille),
    OPTIONAL_UINT(replay_queue, tail_factor_percent),
    OPTIONAL_BOOL(replay_queue, tail_of_task),
    OPTIONAL_UINT(replay_queue, copies_permille),
    OPTIONAL_UINT(replay_queue, apart_permille),
    OPTIONAL_BOOL(replay_queue, gang),
    OPTIONAL_BOOL(replay_queue, lasting),
    OPTIONAL_BOOL(replay_queue, checkpoints),
    OPTIONAL_UINT(replay_queue, advice_us),
    OPTIONAL_UINT(replay_queue, advice_each_us),
    OPTIONAL_UINT(replay_queue, ticket_ms),
    OPTIONAL_UINT(replay_queue, granted_permille),
    CYAML_FIELD_END};

static const cyaml_strval_t EVENT_KINDS[] = {
    {"burst", REPLAY_BURST},       {"team_burst", REPLAY_TEAM_BURST},
    {"crash", REPLAY_CRASH},       {"removed", REPLAY_REMOVED},
    {"leaving", REPLAY_LEAVING},   {"slow", REPLAY_SLOW},
    {"failing", REPLAY_FAILING},   {"slow_leader", REPLAY_SLOW_LEADER},
    {"capacity", REPLAY_CAPACITY}, {"lossy", REPLAY_LOSSY},
    {"cut", REPLAY_CUT},           {"no_leader", REPLAY_NO_LEADER}};

static const cyaml_schema_field_t EVENT_FIELDS[] = {
    CYAML_FIELD_ENUM("kind", CYAML_FLAG_DEFAULT, struct replay_event, kind,
                     EVENT_KINDS, REPLAY_EVENT_KIND_COUNT),
    REQUIRED_UINT(replay_event, at_ms),
    REQUIRED_UINT(replay_event, for_ms),
    CYAML_FIELD_STRING_PTR("on", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                           struct replay_event, on, 1, NAME_MAX_BYTES),
    OPTIONAL_UINT(replay_event, share_permille),
    OPTIONAL_UINT(replay_event, factor_percent),
    CYAML_FIELD_END};

#define MAPPING(name, type, fields)                                           \
    static const cyaml_schema_value_t name = {                                \
        CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct type, fields)}

MAPPING(TEAM_VALUE, replay_team, TEAM_FIELDS);
MAPPING(SERVICE_VALUE, replay_service, SERVICE_FIELDS);
MAPPING(QUEUE_VALUE, replay_queue, QUEUE_FIELDS);
MAPPING(EVENT_VALUE, replay_event, EVENT_FIELDS);

static const cyaml_schema_field_t LOAD_FIELDS[] = {
    REQUIRED_STRING(replay_load, name),
    REQUIRED_UINT(replay_load, seconds),
    REQUIRED_UINT(replay_load, drain_seconds),
    REQUIRED_UINT(replay_load, askers),
    REQUIRED_UINT(replay_load, lease_ms),
    REQUIRED_UINT(replay_load, stop_ms),
    OPTIONAL_UINT(replay_load, share_window_ms),
    CYAML_FIELD_SEQUENCE("teams", CYAML_FLAG_POINTER, struct replay_load,
                         teams, &TEAM_VALUE, 1, LIST_MAX),
    CYAML_FIELD_SEQUENCE("services", CYAML_FLAG_POINTER, struct replay_load,
                         services, &SERVICE_VALUE, 1, LIST_MAX),
    CYAML_FIELD_SEQUENCE("queues", CYAML_FLAG_POINTER, struct replay_load,
                         queues, &QUEUE_VALUE, 1, LIST_MAX),
    CYAML_FIELD_SEQUENCE("events", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                         struct replay_load, events, &EVENT_VALUE, 0,
                         LIST_MAX),
    CYAML_FIELD_END};

static const cyaml_schema_value_t LOAD_VALUE = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct replay_load, LOAD_FIELDS)};

static const cyaml_config_t CYAML_CONFIG = {
    .log_fn = NULL, .mem_fn = cyaml_mem, .log_level = CYAML_LOG_ERROR};

static const struct replay_service *
find_service(const struct replay_load *load, const char *name)
{
    for (uint32_t i = 0; i < load->services_count; i++) {
        if (strcmp(load->services[i].name, name) == 0) {
            return &load->services[i];
        }
    }
    return NULL;
}

static bool
check_load(const struct replay_load *load, char *why, size_t why_bytes)
{
    if (load->askers == 0 || load->seconds == 0) {
        snprintf(why, why_bytes, "askers and seconds must not be 0");
        return false;
    }
    for (uint32_t i = 0; i < load->services_count; i++) {
        const struct replay_service *service = &load->services[i];

        if (service->rack == 0 || service->cpu_milli == 0 ||
            service->targets == 0) {
            snprintf(why, why_bytes,
                     "services[%u]: rack, targets and "
                     "cpu_milli must not be 0",
                     i);
            return false;
        }
    }
    for (uint32_t i = 0; i < load->queues_count; i++) {
        const struct replay_queue *queue = &load->queues[i];

        if (find_service(load, queue->service) == NULL) {
            snprintf(why, why_bytes, "queues[%u]: no service '%s'", i,
                     queue->service);
            return false;
        }
        if (queue->steps == 0 || queue->tasks == 0 || queue->work_ms == 0) {
            snprintf(why, why_bytes,
                     "queues[%u]: steps, tasks and work_ms must not be 0", i);
            return false;
        }
    }
    return true;
}

enum fp_err
replay_read_load(const char *path, struct replay_load **out, char *why,
                 size_t why_bytes)
{
    struct replay_load *load = NULL;
    cyaml_err_t result = cyaml_load_file(path, &CYAML_CONFIG, &LOAD_VALUE,
                                         (cyaml_data_t **)&load, NULL);

    *out = NULL;
    if (result != CYAML_OK || load == NULL) {
        snprintf(why, why_bytes, "%s: %s", path, cyaml_strerror(result));
        return FP_ERR_BAD_REQUEST;
    }
    if (!check_load(load, why, why_bytes)) {
        replay_load_free(load);
        return FP_ERR_BAD_REQUEST;
    }
    *out = load;
    return FP_OK;
}

void
replay_load_free(struct replay_load *load)
{
    if (load != NULL) {
        cyaml_free(&CYAML_CONFIG, &LOAD_VALUE, load, 0);
    }
}
