/* settings.c -- reads and checks the settings file */
#include "node/settings.h"

#include <arpa/inet.h>
#include <cyaml/cyaml.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"

#define HOSTS_MAX 64u
#define STRING_MAX_BYTES 1024u
#define SEEDS_MAX 64u

static const cyaml_schema_field_t HOST_FIELDS[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, struct settings_host,
                           name, 1, 31),
    CYAML_FIELD_STRING_PTR("data_centre", CYAML_FLAG_POINTER,
                           struct settings_host, data_centre, 1, 63),
    CYAML_FIELD_STRING_PTR("bus", CYAML_FLAG_POINTER, struct settings_host,
                           bus, 9, 63),
    CYAML_FIELD_STRING_PTR("http", CYAML_FLAG_POINTER, struct settings_host,
                           http, 9, 63),
    CYAML_FIELD_STRING_PTR("public_key",
                           CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                           struct settings_host, public_key, 40, 40),
    CYAML_FIELD_END};

static const cyaml_schema_value_t HOST_SCHEMA = {CYAML_VALUE_MAPPING(
    CYAML_FLAG_DEFAULT, struct settings_host, HOST_FIELDS)};

static const cyaml_schema_field_t CURVE_FIELDS[] = {
    CYAML_FIELD_STRING_PTR("public_key", CYAML_FLAG_POINTER,
                           struct settings_curve, public_key, 40, 40),
    CYAML_FIELD_STRING_PTR("secret_key", CYAML_FLAG_POINTER,
                           struct settings_curve, secret_key, 40, 40),
    CYAML_FIELD_END};

static const cyaml_schema_field_t TLS_FIELDS[] = {
    CYAML_FIELD_STRING_PTR("certificate", CYAML_FLAG_POINTER,
                           struct settings_tls, certificate, 1,
                           STRING_MAX_BYTES),
    CYAML_FIELD_STRING_PTR("private_key", CYAML_FLAG_POINTER,
                           struct settings_tls, private_key, 1,
                           STRING_MAX_BYTES),
    CYAML_FIELD_END};

/* Uses the field's name as the key. */
#define TIME_FIELD(name)                                                      \
    CYAML_FIELD_UINT(#name, CYAML_FLAG_OPTIONAL, struct settings_times, name)

static const cyaml_schema_field_t TIMES_FIELDS[] = {
    TIME_FIELD(heartbeat_ms),    TIME_FIELD(election_min_ms),
    TIME_FIELD(election_max_ms), TIME_FIELD(fresh_ms),
    TIME_FIELD(task_lease_ms),   TIME_FIELD(drain_ms),
    TIME_FIELD(drain_max_ms),    CYAML_FIELD_END};

static const cyaml_schema_field_t LIMITS_FIELDS[] = {
    CYAML_FIELD_UINT("memory_mb", CYAML_FLAG_OPTIONAL, struct settings_limits,
                     memory_mb),
    CYAML_FIELD_UINT("max_fds", CYAML_FLAG_OPTIONAL, struct settings_limits,
                     max_fds),
    CYAML_FIELD_UINT("disk_mb", CYAML_FLAG_OPTIONAL, struct settings_limits,
                     disk_mb),
    CYAML_FIELD_FLOAT("link_mbps", CYAML_FLAG_OPTIONAL, struct settings_limits,
                      link_mbps),
    CYAML_FIELD_END};

static const cyaml_schema_field_t LOG_FIELDS[] = {
    CYAML_FIELD_STRING_PTR("format", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                           struct settings_log, format, 1, 16),
    CYAML_FIELD_STRING_PTR("level", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                           struct settings_log, level, 1, 16),
    CYAML_FIELD_END};

static const cyaml_schema_value_t SEED_SCHEMA = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 0, STRING_MAX_BYTES - 1)};

/* FLEET_ADDRESS and FLEET_NUMBER use the field's name as the key. */
#define FLEET_ADDRESS(name)                                                   \
    CYAML_FIELD_STRING_PTR(#name, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,   \
                           struct settings_fleet, name, 0, 63)
#define FLEET_NUMBER(name)                                                    \
    CYAML_FIELD_UINT(#name, CYAML_FLAG_DEFAULT, struct settings_fleet, name)

#define FLEET_DECIMAL(key, name)                                              \
    CYAML_FIELD_FLOAT(key, CYAML_FLAG_DEFAULT, struct settings_fleet, name)

static const cyaml_schema_field_t FLEET_FIELDS[] = {
    FLEET_ADDRESS(clients),
    FLEET_ADDRESS(control),
    FLEET_ADDRESS(readiness),
    FLEET_ADDRESS(metrics),
    FLEET_ADDRESS(advice),
    CYAML_FIELD_SEQUENCE("seeds", CYAML_FLAG_POINTER, struct settings_fleet,
                         seeds, &SEED_SCHEMA, 1, SEEDS_MAX),
    CYAML_FIELD_STRING_PTR("data_centre", CYAML_FLAG_POINTER,
                           struct settings_fleet, data_centre, 1, 63),
    CYAML_FIELD_BOOL("first_start", CYAML_FLAG_OPTIONAL, struct settings_fleet,
                     may_bootstrap),
    CYAML_FIELD_BOOL("contended", CYAML_FLAG_OPTIONAL, struct settings_fleet,
                     is_contended),
    CYAML_FIELD_UINT("share_window_ms", CYAML_FLAG_OPTIONAL,
                     struct settings_fleet, share_window_ms),
    FLEET_NUMBER(bus_port),
    FLEET_NUMBER(lease_ms),
    FLEET_NUMBER(stop_ms),
    FLEET_DECIMAL("grace_s", grace_s),
    FLEET_DECIMAL("keep_s", job_retention_s),
    FLEET_DECIMAL("far_times", remote_run_factor),
    CYAML_FIELD_END};

static const cyaml_schema_field_t SETTINGS_FIELDS[] = {
    CYAML_FIELD_STRING_PTR("host", CYAML_FLAG_POINTER, struct settings, host,
                           1, 31),
    CYAML_FIELD_STRING_PTR("data_folder",
                           CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                           struct settings, data_folder, 1, STRING_MAX_BYTES),
    CYAML_FIELD_STRING_PTR("operator_key_hash",
                           CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                           struct settings, operator_key_hash, 64, 64),
    CYAML_FIELD_STRING_PTR("target_key_hash",
                           CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                           struct settings, target_key_hash, 64, 64),
    CYAML_FIELD_BOOL("faults_allowed", CYAML_FLAG_OPTIONAL, struct settings,
                     faults_allowed),
    CYAML_FIELD_UINT("snapshot_entries", CYAML_FLAG_OPTIONAL, struct settings,
                     snapshot_entries),
    CYAML_FIELD_MAPPING("log", CYAML_FLAG_OPTIONAL, struct settings, log,
                        LOG_FIELDS),
    CYAML_FIELD_MAPPING("times", CYAML_FLAG_OPTIONAL, struct settings, times,
                        TIMES_FIELDS),
    CYAML_FIELD_MAPPING("limits", CYAML_FLAG_OPTIONAL, struct settings, limits,
                        LIMITS_FIELDS),
    CYAML_FIELD_MAPPING_PTR("curve", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                            struct settings, curve, CURVE_FIELDS),
    CYAML_FIELD_MAPPING_PTR("tls", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                            struct settings, tls, TLS_FIELDS),
    CYAML_FIELD_SEQUENCE("hosts", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                         struct settings, hosts, &HOST_SCHEMA, 0, HOSTS_MAX),
    CYAML_FIELD_BOOL("trusted_network", CYAML_FLAG_OPTIONAL, struct settings,
                     trusted_network),
    CYAML_FIELD_MAPPING_PTR("fleet", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                            struct settings, fleet, FLEET_FIELDS),
    CYAML_FIELD_END};

static const cyaml_schema_value_t SETTINGS_SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct settings, SETTINGS_FIELDS)};

/* Collects the first five error messages of libcyaml, as one line. */
struct parse_log {
    char text[512];
    unsigned message_count;
};

static void
on_cyaml_log(cyaml_log_t level, void *ctx, const char *format, va_list args)
{
    struct parse_log *parse_log = ctx;
    size_t used = strlen(parse_log->text);

    if (level < CYAML_LOG_ERROR || parse_log->message_count >= 5) {
        return;
    }
    parse_log->message_count++;
    vsnprintf(parse_log->text + used, sizeof(parse_log->text) - used, format,
              args);
    for (char *c = parse_log->text + used; *c != '\0'; c++) {
        if (*c == '\n') {
            *c = ' ';
        }
    }
}

static const cyaml_config_t *
init_cyaml_config(cyaml_config_t *config, struct parse_log *parse_log)
{
    memset(config, 0, sizeof(*config));
    config->log_fn = on_cyaml_log;
    config->log_ctx = parse_log;
    config->log_level = CYAML_LOG_ERROR;
    config->mem_fn = cyaml_mem;
    return config;
}

/* Accepted range and default of a field of settings_times. */
struct time_range {
    const char *key;
    size_t offset;
    uint64_t min;
    uint64_t max;
    uint64_t default_value; /* used for 0 or an absent key */
};

static const struct time_range TIME_RANGES[] = {
    {"heartbeat_ms", offsetof(struct settings_times, heartbeat_ms), 10, 1000,
     100},
    {"election_min_ms", offsetof(struct settings_times, election_min_ms), 100,
     10000, 600},
    {"election_max_ms", offsetof(struct settings_times, election_max_ms), 200,
     20000, 1200},
    {"fresh_ms", offsetof(struct settings_times, fresh_ms), 500, 2500, 2000},
    {"task_lease_ms", offsetof(struct settings_times, task_lease_ms), 2000,
     120000, 10000},
    {"drain_ms", offsetof(struct settings_times, drain_ms), 0, 60000, 1000},
    {"drain_max_ms", offsetof(struct settings_times, drain_max_ms), 1000,
     600000, 30000},
};

static bool
check_times(struct settings_times *times, char *why, unsigned why_bytes)
{
    for (size_t i = 0; i < sizeof(TIME_RANGES) / sizeof(TIME_RANGES[0]); i++) {
        const struct time_range *range = &TIME_RANGES[i];
        uint64_t *value = (uint64_t *)((char *)times + range->offset);

        if (*value == 0) {
            *value = range->default_value;
        }
        if (*value < range->min || *value > range->max) {
            snprintf(why, why_bytes,
                     "times.%s: %llu is outside %llu to %llu ms", range->key,
                     (unsigned long long)*value,
                     (unsigned long long)range->min,
                     (unsigned long long)range->max);
            return false;
        }
    }
    if (times->election_max_ms <= times->election_min_ms) {
        snprintf(
            why, why_bytes,
            "times.election_max_ms: must be greater than election_min_ms");
        return false;
    }
    if (times->heartbeat_ms * 3 > times->election_min_ms) {
        snprintf(
            why, why_bytes,
            "times.election_min_ms: must be at least 3 times heartbeat_ms");
        return false;
    }
    return true;
}

/* 0 means that the limit is not known. */
static bool
check_limit(const char *key, double value, double min, double max, char *why,
            unsigned why_bytes)
{
    if (value != 0 && !(value >= min && value <= max)) {
        snprintf(why, why_bytes, "limits.%s: %g is outside %g to %g", key,
                 value, min, max);
        return false;
    }
    return true;
}

static bool
check_limits(struct settings_limits *limits, char *why, unsigned why_bytes)
{
    if (!check_limit("memory_mb", limits->memory_mb, 16, 1 << 24, why,
                     why_bytes) ||
        !check_limit("max_fds", limits->max_fds, 64, 1 << 24, why,
                     why_bytes) ||
        !check_limit("disk_mb", limits->disk_mb, 8, 1 << 24, why, why_bytes) ||
        !check_limit("link_mbps", limits->link_mbps, 0.01, 1e6, why,
                     why_bytes)) {
        return false;
    }
    limits->link_kbps = (uint32_t)(limits->link_mbps * 1000);
    return true;
}

/* Checks the form that key_hash_secret() writes. */
static bool
is_key_hash(const char *text)
{
    return strlen(text) == 64 && strspn(text, "0123456789abcdef") == 64;
}

bool
settings_parse_address(const char *text, char *ip, unsigned ip_bytes,
                       uint16_t *port)
{
    const char *colon = strrchr(text, ':');
    uint64_t number;
    struct in_addr parsed;

    if (colon == NULL || (unsigned)(colon - text) >= ip_bytes) {
        return false;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    if (inet_pton(AF_INET, ip, &parsed) != 1 ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &number, NULL)) {
        return false;
    }
    *port = (uint16_t)number;
    return true;
}

static bool
check_hosts(const struct settings *settings, char *why, unsigned why_bytes)
{
    char ip[64];
    uint16_t port;

    for (unsigned i = 0; i < settings->hosts_count; i++) {
        const struct settings_host *host = &settings->hosts[i];

        if (settings_find_host(settings, host->name) != host) {
            snprintf(why, why_bytes, "hosts: two are named '%s'", host->name);
            return false;
        }
        if (!settings_parse_address(host->bus, ip, sizeof(ip), &port)) {
            snprintf(why, why_bytes, "hosts.%s.bus: '%s' is not IP:port",
                     host->name, host->bus);
            return false;
        }
        if (!settings_parse_address(host->http, ip, sizeof(ip), &port)) {
            snprintf(why, why_bytes, "hosts.%s.http: '%s' is not IP:port",
                     host->name, host->http);
            return false;
        }
        if (settings->curve != NULL && host->public_key == NULL) {
            snprintf(why, why_bytes,
                     "hosts.%s.public_key: is required when curve is set",
                     host->name);
            return false;
        }
    }
    if (settings_find_host(settings, settings->host) == NULL) {
        snprintf(why, why_bytes, "host: '%s' is not one of hosts",
                 settings->host);
        return false;
    }
    return true;
}

/* Without CURVE any process on the network could join the cell. */
static bool
check_bus_encryption(const struct settings *settings, char *why,
                     unsigned why_bytes)
{
    const struct settings_host *own =
        settings_find_host(settings, settings->host);

    if (settings->curve == NULL && !settings->trusted_network &&
        strncmp(own->bus, "127.", 4) != 0) {
        snprintf(why, why_bytes,
                 "curve: is missing; it is optional only on loopback or with "
                 "trusted_network");
        return false;
    }
    return true;
}

static bool
is_one_of(const char *value, const char *const *names)
{
    for (; *names != NULL; names++) {
        if (strcmp(*names, value) == 0) {
            return true;
        }
    }
    return false;
}

static bool
check_log(struct settings_log *log, char *why, unsigned why_bytes)
{
    static const char *const formats[] = {"text", "json", NULL};
    static const char *const levels[] = {"debug", "info", "notice", "warning",
                                         NULL};

    if (log->format != NULL && !is_one_of(log->format, formats)) {
        snprintf(why, why_bytes, "log.format: '%s' is not text or json",
                 log->format);
        return false;
    }
    if (log->level != NULL && !is_one_of(log->level, levels)) {
        snprintf(why, why_bytes,
                 "log.level: '%s' is not debug, info, notice or warning",
                 log->level);
        return false;
    }
    return true;
}

/* An empty string counts as absent, since the template of the settings file
 * renders absent values as empty strings.
 */
static void
clear_if_empty(char **text)
{
    if (*text != NULL && (*text)[0] == '\0') {
        free(*text);
        *text = NULL;
    }
}

static bool
check_address(const char *key, const char *text, char *why, unsigned why_bytes)
{
    char ip[64];
    uint16_t port;

    if (text != NULL && !settings_parse_address(text, ip, sizeof(ip), &port)) {
        snprintf(why, why_bytes, "fleet.%s: '%s' is not IP:port", key, text);
        return false;
    }
    return true;
}

/* The seeds are a list by another writer: one that is no address does not keep
 * the host from the others. Returns false when none is left. */
static bool
drop_invalid_seeds(struct settings_fleet *fleet, char *why, unsigned why_bytes)
{
    unsigned kept = 0;

    for (unsigned i = 0; i < fleet->seeds_count; i++) {
        if (check_address("seeds", fleet->seeds[i], why, why_bytes)) {
            fleet->seeds[kept++] = fleet->seeds[i];
        }
        else {
            log_warn(LOG_NODE, "left out a seed: %s", why);
            free(fleet->seeds[i]);
        }
    }
    fleet->seeds_count = kept;
    return kept > 0;
}

/* With fleet set, hosts holds only this host; the others are discovered. */
static void
add_own_host(struct settings *settings)
{
    const struct settings_fleet *fleet = settings->fleet;
    const char *http =
        fleet->control != NULL ? fleet->control : fleet->clients;
    struct settings_host *own = calloc(1, sizeof(*own));

    own->name = strdup(settings->host);
    own->data_centre = strdup(fleet->data_centre);
    own->bus = malloc(STRING_MAX_BYTES);
    snprintf(own->bus, STRING_MAX_BYTES, "%s:%u", settings->host,
             fleet->bus_port);
    own->http = strdup(http != NULL ? http : "");
    settings->hosts = own;
    settings->hosts_count = 1;
}

/* Accepted range of an integer of settings_fleet. */
struct fleet_range {
    const char *key;
    size_t offset;
    uint32_t min;
    uint32_t max;
};

static const struct fleet_range FLEET_RANGES[] = {
    {"bus_port", offsetof(struct settings_fleet, bus_port), 1, 65535},
    {"lease_ms", offsetof(struct settings_fleet, lease_ms), 500, 600000},
    {"stop_ms", offsetof(struct settings_fleet, stop_ms), 0, 600000},
    {"share_window_ms", offsetof(struct settings_fleet, share_window_ms), 0,
     600000},
};

/* A decimal value with its accepted range, and the field that receives it as
 * an integer in thousandths.
 */
struct fleet_decimal {
    const char *key;
    size_t decimal_offset;
    size_t thousandths_offset;
    double min;
    double max;
};

static const struct fleet_decimal FLEET_DECIMALS[] = {
    {"grace_s", offsetof(struct settings_fleet, grace_s),
     offsetof(struct settings_fleet, grace_ms), 0.5, 600},
    {"keep_s", offsetof(struct settings_fleet, job_retention_s),
     offsetof(struct settings_fleet, job_retention_ms), 1, 86400},
    {"far_times", offsetof(struct settings_fleet, remote_run_factor),
     offsetof(struct settings_fleet, remote_run_permille), 1, 100},
};

static bool
convert_decimals(struct settings_fleet *fleet, char *why, unsigned why_bytes)
{
    for (size_t i = 0; i < sizeof(FLEET_DECIMALS) / sizeof(FLEET_DECIMALS[0]);
         i++) {
        const struct fleet_decimal *row = &FLEET_DECIMALS[i];
        double value = *(double *)((char *)fleet + row->decimal_offset);

        if (!(value >= row->min && value <= row->max)) {
            snprintf(why, why_bytes, "fleet.%s: %g is outside %g to %g",
                     row->key, value, row->min, row->max);
            return false;
        }
        *(uint32_t *)((char *)fleet + row->thousandths_offset) =
            (uint32_t)(value * 1000 + 0.5);
    }
    return true;
}

static bool
check_fleet(struct settings *settings, char *why, unsigned why_bytes)
{
    struct settings_fleet *fleet = settings->fleet;

    if (settings->hosts_count != 0) {
        snprintf(why, why_bytes, "hosts: must be absent when fleet is set");
        return false;
    }
    clear_if_empty(&settings->data_folder);
    clear_if_empty(&fleet->clients);
    clear_if_empty(&fleet->control);
    clear_if_empty(&fleet->readiness);
    clear_if_empty(&fleet->metrics);
    clear_if_empty(&fleet->advice);
    for (size_t i = 0; i < sizeof(FLEET_RANGES) / sizeof(FLEET_RANGES[0]);
         i++) {
        const struct fleet_range *range = &FLEET_RANGES[i];
        uint32_t value = *(uint32_t *)((char *)fleet + range->offset);

        if (value < range->min || value > range->max) {
            snprintf(why, why_bytes, "fleet.%s: %u is outside %u to %u",
                     range->key, value, range->min, range->max);
            return false;
        }
    }
    if (!convert_decimals(fleet, why, why_bytes)) {
        return false;
    }
    if (!drop_invalid_seeds(fleet, why, why_bytes)) {
        return false;
    }
    add_own_host(settings);
    return check_address("clients", fleet->clients, why, why_bytes) &&
           check_address("control", fleet->control, why, why_bytes) &&
           check_address("readiness", fleet->readiness, why, why_bytes) &&
           check_address("metrics", fleet->metrics, why, why_bytes) &&
           check_address("advice", fleet->advice, why, why_bytes);
}

static bool
check_settings(struct settings *settings, char *why, unsigned why_bytes)
{
    if (settings->snapshot_entries == 0) {
        settings->snapshot_entries = 10000;
    }
    if (settings->snapshot_entries < 100 ||
        settings->snapshot_entries > 1000000) {
        snprintf(why, why_bytes,
                 "snapshot_entries: %u is outside 100 to 1000000",
                 settings->snapshot_entries);
        return false;
    }
    if (settings->fleet != NULL) {
        return check_log(&settings->log, why, why_bytes) &&
               check_times(&settings->times, why, why_bytes) &&
               check_limits(&settings->limits, why, why_bytes) &&
               check_fleet(settings, why, why_bytes) &&
               check_bus_encryption(settings, why, why_bytes);
    }
    if (settings->operator_key_hash == NULL ||
        !is_key_hash(settings->operator_key_hash)) {
        snprintf(why, why_bytes,
                 "operator_key_hash: must be 64 lowercase hexadecimal digits");
        return false;
    }
    if (settings->target_key_hash == NULL ||
        !is_key_hash(settings->target_key_hash)) {
        snprintf(why, why_bytes,
                 "target_key_hash: must be 64 lowercase hexadecimal digits");
        return false;
    }
    return check_log(&settings->log, why, why_bytes) &&
           check_times(&settings->times, why, why_bytes) &&
           check_limits(&settings->limits, why, why_bytes) &&
           check_hosts(settings, why, why_bytes) &&
           check_bus_encryption(settings, why, why_bytes);
}

enum fp_err
settings_load(const char *path, struct settings **out, char *why,
              unsigned why_bytes)
{
    struct parse_log parse_log = {{0}, 0};
    cyaml_config_t config;
    struct settings *settings = NULL;
    cyaml_err_t result =
        cyaml_load_file(path, init_cyaml_config(&config, &parse_log),
                        &SETTINGS_SCHEMA, (cyaml_data_t **)&settings, NULL);

    *out = NULL;
    if (result != CYAML_OK) {
        snprintf(why, why_bytes, "%s: %s. %s", path, cyaml_strerror(result),
                 parse_log.text);
        return FP_ERR_BAD_REQUEST;
    }
    if (settings == NULL) {
        snprintf(why, why_bytes, "%s: is empty", path);
        return FP_ERR_BAD_REQUEST;
    }
    if (!check_settings(settings, why, why_bytes)) {
        settings_free(settings);
        return FP_ERR_BAD_REQUEST;
    }
    *out = settings;
    return FP_OK;
}

void
settings_free(struct settings *settings)
{
    struct parse_log parse_log = {{0}, 0};
    cyaml_config_t config;

    if (settings != NULL) {
        cyaml_free(init_cyaml_config(&config, &parse_log), &SETTINGS_SCHEMA,
                   settings, 0);
    }
}

struct entry_limits
settings_entry_limits(const struct settings *settings)
{
    const struct settings_limits *limits = &settings->limits;

    return (struct entry_limits){limits->memory_mb, limits->max_fds,
                                 limits->link_kbps};
}

const struct settings_host *
settings_find_host(const struct settings *settings, const char *name)
{
    for (unsigned i = 0; i < settings->hosts_count; i++) {
        if (strcmp(settings->hosts[i].name, name) == 0) {
            return &settings->hosts[i];
        }
    }
    return NULL;
}
