/* replayload.c -- the load file of "bench replay" */
#include <cyaml/cyaml.h>
#include <stdio.h>
#include <string.h>

#include "bench/replay.h"

#define LIST_MAX 64u
#define NAME_MAX_BYTES 63u

#define NUMBER(type, name)                                                    \
    CYAML_FIELD_UINT(#name, CYAML_FLAG_OPTIONAL, struct type, name)
#define NEEDED(type, name)                                                    \
    CYAML_FIELD_UINT(#name, CYAML_FLAG_DEFAULT, struct type, name)
#define FLAG(type, name)                                                      \
    CYAML_FIELD_BOOL(#name, CYAML_FLAG_OPTIONAL, struct type, name)
#define TEXT(type, name)                                                      \
    CYAML_FIELD_STRING_PTR(#name, CYAML_FLAG_POINTER, struct type, name, 1,   \
                           NAME_MAX_BYTES)
#define NUMBERS(type, name, least)                                            \
    CYAML_FIELD_SEQUENCE(                                                     \
        #name, CYAML_FLAG_POINTER | ((least) ? 0 : CYAML_FLAG_OPTIONAL),      \
        struct type, name, &UINT_VALUE, least, LIST_MAX)

static const cyaml_schema_value_t UINT_VALUE = {
    CYAML_VALUE_UINT(CYAML_FLAG_DEFAULT, uint32_t)};

static const cyaml_schema_field_t TEAM_FIELDS[] = {
    TEXT(replay_team, name),          NEEDED(replay_team, weight),
    NEEDED(replay_team, share),       NUMBER(replay_team, limit_cpu_milli),
    NUMBER(replay_team, limit_accel), CYAML_FIELD_END};

static const cyaml_schema_field_t SERVICE_FIELDS[] = {
    TEXT(replay_service, name),
    NEEDED(replay_service, targets),
    NEEDED(replay_service, cpu_milli),
    NEEDED(replay_service, memory_mb),
    NUMBER(replay_service, accel),
    NEEDED(replay_service, rack),
    NUMBERS(replay_service, sizes_percent, 1),
    NUMBERS(replay_service, speeds_percent, 1),
    CYAML_FIELD_END};

static const cyaml_schema_field_t QUEUE_FIELDS[] = {
    TEXT(replay_queue, name),
    TEXT(replay_queue, service),
    NEEDED(replay_queue, priority),
    NEEDED(replay_queue, objective_ms),
    NEEDED(replay_queue, stretch_permille),
    NEEDED(replay_queue, max_attempts),
    NEEDED(replay_queue, worth_milli),
    NEEDED(replay_queue, jobs_in_1000_s),
    NEEDED(replay_queue, steps),
    NEEDED(replay_queue, tasks),
    NEEDED(replay_queue, cpu_milli),
    NEEDED(replay_queue, memory_mb),
    NUMBERS(replay_queue, accel, 0),
    NEEDED(replay_queue, work_ms),
    NEEDED(replay_queue, spread_percent),
    NEEDED(replay_queue, estimate_off_percent),
    NUMBER(replay_queue, failures_permille),
    NUMBER(replay_queue, copies_permille),
    NUMBER(replay_queue, apart_permille),
    FLAG(replay_queue, gang),
    FLAG(replay_queue, lasting),
    FLAG(replay_queue, checkpoints),
    NUMBER(replay_queue, advice_us),
    NUMBER(replay_queue, advice_each_us),
    NUMBER(replay_queue, ticket_ms),
    NUMBER(replay_queue, granted_permille),
    CYAML_FIELD_END};

static const cyaml_strval_t TROUBLES[] = {
    {"burst", REPLAY_BURST},        {"crash", REPLAY_CRASH},
    {"removed", REPLAY_REMOVED},    {"leaving", REPLAY_LEAVING},
    {"slow", REPLAY_SLOW},          {"failing", REPLAY_FAILING},
    {"lossy", REPLAY_LOSSY},        {"cut", REPLAY_CUT},
    {"no_leader", REPLAY_NO_LEADER}};

static const cyaml_schema_field_t EVENT_FIELDS[] = {
    CYAML_FIELD_ENUM("kind", CYAML_FLAG_DEFAULT, struct replay_event, kind,
                     TROUBLES, REPLAY_TROUBLES),
    NEEDED(replay_event, at_ms),
    NEEDED(replay_event, for_ms),
    CYAML_FIELD_STRING_PTR("on", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                           struct replay_event, on, 1, NAME_MAX_BYTES),
    NUMBER(replay_event, share_permille),
    NUMBER(replay_event, factor_percent),
    CYAML_FIELD_END};

#define MAPPING(name, type, fields)                                           \
    static const cyaml_schema_value_t name = {                                \
        CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct type, fields)}

MAPPING(TEAM_VALUE, replay_team, TEAM_FIELDS);
MAPPING(SERVICE_VALUE, replay_service, SERVICE_FIELDS);
MAPPING(QUEUE_VALUE, replay_queue, QUEUE_FIELDS);
MAPPING(EVENT_VALUE, replay_event, EVENT_FIELDS);

static const cyaml_schema_field_t LOAD_FIELDS[] = {
    TEXT(replay_load, name),
    NEEDED(replay_load, seconds),
    NEEDED(replay_load, drain_seconds),
    NEEDED(replay_load, askers),
    NEEDED(replay_load, lease_ms),
    NEEDED(replay_load, stop_ms),
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

static const cyaml_schema_value_t ROOT = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct replay_load, LOAD_FIELDS)};

static const cyaml_config_t CONFIG = {
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
check(const struct replay_load *load, char *why, size_t why_bytes)
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
    cyaml_err_t result =
        cyaml_load_file(path, &CONFIG, &ROOT, (cyaml_data_t **)&load, NULL);

    *out = NULL;
    if (result != CYAML_OK || load == NULL) {
        snprintf(why, why_bytes, "%s: %s", path, cyaml_strerror(result));
        return FP_ERR_BAD_REQUEST;
    }
    if (!check(load, why, why_bytes)) {
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
        cyaml_free(&CONFIG, &ROOT, load, 0);
    }
}
