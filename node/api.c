/* api.c -- routing, authorization and the command routes of the HTTP API */
#include "node/api.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "node/apipriv.h"
#include "node/keys.h"

/* Who may use a route. */
enum access {
    ACCESS_ANY,
    ACCESS_OPERATOR,
    ACCESS_TARGET,
    ACCESS_SUBMITTER /* a team's key, or none for an open queue; the check is
                      * left to the handler */
};

struct route {
    const char *method;
    const char *path; /* with a trailing slash: a prefix of the paths */
    enum access access;
    api_handler handle;
};

/* A command whose change is proposed but not yet applied. */
struct pending_command {
    struct api *api;
    struct http_request *request;
    char secret[KEY_SECRET_BYTES]; /* secret of a new key; "": none */
};

/* Compares the hash of the request's bearer token in constant time. */
static bool
bearer_key_matches(const struct http_request *request,
                   const char *expected_hash)
{
    char value[256];
    char hash[KEY_HASH_BYTES];
    bool matches;

    if (!http_header(request, "authorization", value, sizeof(value)) ||
        g_ascii_strncasecmp(value, "bearer ", 7) != 0) {
        return false;
    }
    key_hash_secret(value + 7, hash);
    matches = sodium_memcmp(hash, expected_hash, KEY_HASH_BYTES - 1) == 0;
    sodium_memzero(value, sizeof(value));
    return matches;
}

static void
on_proposal_done(void *ctx, enum fp_err err,
                 const struct change_answer *answer)
{
    struct pending_command *command = ctx;
    json_t *body;

    if (err == FP_OK) {
        err = answer->err;
    }
    if (err != FP_OK) {
        const struct fp_err_row *row = fp_err_row(err);

        body =
            json_pack("{s:s,s:s,s:s,s:b,s:I}", "error", row->name, "work",
                      fp_work_status_name(row->work_status), "detail",
                      answer->detail[0] ? answer->detail : row->text, "retry",
                      row->retryable, "version", (json_int_t)answer->version);
        api_reply(command->request, row->http_status, body,
                  row->retry_after_ms);
    }
    else {
        body = json_pack("{s:I,s:I}", "version", (json_int_t)answer->version,
                         "id", (json_int_t)answer->id);
        if (command->secret[0] != '\0') {
            json_object_set_new(body, "secret", json_string(command->secret));
        }
        api_reply(command->request, 200, body, 0);
    }
    sodium_memzero(command->secret, sizeof(command->secret));
    g_free(command);
}

static struct pending_command *
new_pending_command(struct api *api, struct http_request *request)
{
    struct pending_command *command = g_new0(struct pending_command, 1);

    command->api = api;
    command->request = request;
    return command;
}

/* Decodes the request's body into a zeroed record. On an error answers the
 * request and returns false.
 */
static bool
read_body(struct http_request *request, const struct fp_schema *schema,
          void *record)
{
    size_t size;
    const char *text = http_body(request, &size);
    json_error_t parse_error;
    json_t *object =
        json_loadb(text, size, JSON_REJECT_DUPLICATES, &parse_error);
    char why[300];
    enum fp_err err;

    if (object == NULL) {
        snprintf(why, sizeof(why), "the body is not JSON: %s, line %d",
                 parse_error.text, parse_error.line);
        http_reply_error(request, FP_ERR_BAD_REQUEST, why);
        return false;
    }
    err = fp_from_json(schema, object, record, why, sizeof(why));
    json_decref(object);
    if (err != FP_OK) {
        fp_record_free(schema, record);
        http_reply_error(request, err, why);
        return false;
    }
    return true;
}

static void
propose(struct api *api, struct http_request *request,
        const struct fp_schema *schema, void *change)
{
    replica_propose(api->deps.replica, schema, change, on_proposal_done,
                    new_pending_command(api, request));
}

/* POST /v1/config/KIND, except key */
static void
post_config(struct api *api, struct http_request *request, const char *suffix)
{
    static const struct fp_schema *const schemas[] = {
        &CHANGE_TEAM_SCHEMA, &CHANGE_QUEUE_SCHEMA, &CHANGE_QUIET_HOURS_SCHEMA,
        &CHANGE_LABELS_SCHEMA, &CHANGE_TARGET_STATE_SCHEMA};
    const struct fp_schema *schema = NULL;
    void *record;

    for (size_t i = 0; i < sizeof(schemas) / sizeof(schemas[0]); i++) {
        if (strcmp(schemas[i]->name, suffix) == 0) {
            schema = schemas[i];
        }
    }
    if (schema == NULL) {
        http_reply_error(request, FP_ERR_NOT_FOUND,
                         "config is one of: team, queue, hours, labels, "
                         "target-state, key");
        return;
    }
    record = g_malloc0(schema->size_bytes);
    if (read_body(request, schema, record)) {
        propose(api, request, schema, record);
        fp_record_free(schema, record);
    }
    g_free(record);
}

/* POST /v1/config/key: for a key without a hash this host generates a secret
 * and proposes only its hash. The response is the only place that shows the
 * secret.
 */
static void
post_key(struct api *api, struct http_request *request, const char *suffix)
{
    struct change_key change = {.withdrawn = false};
    struct pending_command *command;

    (void)suffix;
    if (!read_body(request, &CHANGE_KEY_SCHEMA, &change)) {
        return;
    }
    command = new_pending_command(api, request);
    if (change.hash[0] == '\0' && !change.withdrawn) {
        key_generate(command->secret);
        key_hash_secret(command->secret, change.hash);
    }
    replica_propose(api->deps.replica, &CHANGE_KEY_SCHEMA, &change,
                    on_proposal_done, command);
}

/* Finds the team of the submitter's key; team is "" when no key was sent. On
 * an error answers the request and returns false.
 */
static bool
submitter_team(struct api *api, struct http_request *request,
               char team[NAME_BYTES])
{
    char hash[72];
    enum fp_err err;

    if (!replica_is_fresh(api->deps.replica)) {
        http_reply_error(request, FP_ERR_CONFIG_STALE, "");
        return false;
    }
    err = gateway_authenticate(replica_cell(api->deps.replica), request, team,
                               hash);
    if (err != FP_OK) {
        http_reply_error(request, err, "");
        return false;
    }
    return true;
}

/* POST /v1/jobs */
static void
post_job(struct api *api, struct http_request *request, const char *suffix)
{
    struct change_submit change = {.count = 0};
    char team[NAME_BYTES];
    const struct queue *queue;
    enum fp_err err;

    (void)suffix;
    if (!submitter_team(api, request, team) ||
        !read_body(request, &CHANGE_SUBMIT_SCHEMA, &change)) {
        return;
    }
    queue = cell_queue(replica_cell(api->deps.replica), change.queue);
    err = queue == NULL
              ? FP_ERR_NOT_FOUND
              : cell_check_queue_access(queue, team[0] == '\0' ? NULL : team);
    if (err != FP_OK) {
        http_reply_error(request, err,
                         queue == NULL ? "field queue: no such queue" : "");
    }
    else {
        memcpy(change.team, team, sizeof(change.team));
        propose(api, request, &CHANGE_SUBMIT_SCHEMA, &change);
    }
    fp_record_free(&CHANGE_SUBMIT_SCHEMA, &change);
}

/* POST /v1/cancel: operators may cancel any job or task, teams only their
 * own.
 */
static void
post_cancel(struct api *api, struct http_request *request, const char *suffix)
{
    struct change_cancel change = {.id = 0};
    char team[NAME_BYTES] = "";

    (void)suffix;
    if (!bearer_key_matches(request, api->deps.settings->operator_key_hash)) {
        if (!submitter_team(api, request, team)) {
            return;
        }
        if (team[0] == '\0') {
            http_reply_error(request, FP_ERR_NO_KEY, "");
            return;
        }
    }
    if (read_body(request, &CHANGE_CANCEL_SCHEMA, &change)) {
        if (team[0] != '\0') {
            memcpy(change.team, team, sizeof(change.team));
        }
        propose(api, request, &CHANGE_CANCEL_SCHEMA, &change);
    }
}

/* POST /v1/targets/announce */
static void
post_announce(struct api *api, struct http_request *request,
              const char *suffix)
{
    struct change_target change = {.run_id = 0};
    char ip[64];
    uint16_t port;

    (void)suffix;
    if (!read_body(request, &CHANGE_TARGET_SCHEMA, &change)) {
        return;
    }
    if (change.service[0] != '\0' &&
        !settings_parse_address(change.address, ip, sizeof(ip), &port)) {
        http_reply_error(request, FP_ERR_BAD_REQUEST,
                         "field address: is not IP:port");
        return;
    }
    change.state = TARGET_UP;
    change.owner_run = 0;
    change.owner_epoch = 0;
    change.owner_clean = false;
    change.was_owned = false;
    change.given_labels[0] = '\0';
    propose(api, request, &CHANGE_TARGET_SCHEMA, &change);
}

static void
on_leader_answer(void *ctx, enum fp_err err, const json_t *body)
{
    struct http_request *request = ctx;

    if (err != FP_OK) {
        http_reply_error(request, err,
                         body != NULL && json_is_string(body)
                             ? json_string_value(body)
                             : "");
        return;
    }
    api_reply(request, 200, json_incref((json_t *)body), 0);
}

/* POST /v1/targets/heartbeat: answered by the leader. */
static void
post_heartbeat(struct api *api, struct http_request *request,
               const char *suffix)
{
    size_t size;
    const char *text = http_body(request, &size);
    json_t *body = json_loadb(text, size, 0, NULL);

    (void)suffix;
    if (!json_is_object(body)) {
        http_reply_error(request, FP_ERR_BAD_REQUEST, "the body is not JSON");
    }
    else {
        replica_query(api->deps.replica, "heartbeat", body, on_leader_answer,
                      request);
    }
    json_decref(body);
}

/* GET /v1/why/TASK: answered by the leader. */
static void
get_why(struct api *api, struct http_request *request, const char *suffix)
{
    json_t *body = json_pack("{s:I}", "id",
                             (json_int_t)g_ascii_strtoull(suffix, NULL, 10));

    replica_query(api->deps.replica, "why", body, on_leader_answer, request);
    json_decref(body);
}

/* POST /v1/init: creates a new cell with this host as its only voter. */
static void
post_init(struct api *api, struct http_request *request, const char *suffix)
{
    enum fp_err err = replica_bootstrap(api->deps.replica);

    (void)suffix;
    if (err != FP_OK) {
        http_reply_error(request, err,
                         err == FP_ERR_STALE
                             ? "this host already belongs to a cell"
                             : "this host has no data folder");
        return;
    }
    log_notice(LOG_NODE, "bootstrapped a new cell");
    api_reply(request, 200, json_pack("{s:s}", "state", "begun"), 0);
}

struct members_change {
    char action[16];
    char host[MSG_HOST_BYTES];
};

static const struct fp_field MEMBERS_CHANGE_FIELDS[] = {
    {"action", FP_STR, offsetof(struct members_change, action), 16, NULL, NULL,
     "add or remove"},
    {"host", FP_STR, offsetof(struct members_change, host), MSG_HOST_BYTES,
     NULL, NULL, "name of the host"},
};
static const struct fp_schema MEMBERS_CHANGE_SCHEMA = {
    "members", 90, sizeof(struct members_change), MEMBERS_CHANGE_FIELDS,
    FP_FIELD_COUNT(MEMBERS_CHANGE_FIELDS)};

/* POST /v1/members: served only by the leader. Another host's error names the
 * leader, if it is known, so that the client can retry there.
 */
static void
post_members(struct api *api, struct http_request *request, const char *suffix)
{
    struct members_change change = {{0}, {0}};
    char why[160] = "";
    enum fp_err err;

    (void)suffix;
    if (!read_body(request, &MEMBERS_CHANGE_SCHEMA, &change)) {
        return;
    }
    if (!replica_is_leader(api->deps.replica)) {
        snprintf(why, sizeof(why), "ask the leader: %s",
                 raft_leader_host(replica_raft(api->deps.replica)));
        http_reply_error(request, FP_ERR_NO_LEADER, why);
        return;
    }
    if (strcmp(change.action, "add") == 0) {
        err = replica_member_add(api->deps.replica, change.host, why,
                                 sizeof(why));
    }
    else if (strcmp(change.action, "remove") == 0) {
        err = replica_member_remove(api->deps.replica, change.host);
    }
    else {
        snprintf(why, sizeof(why), "field action: '%s' is not add or remove",
                 change.action);
        err = FP_ERR_BAD_REQUEST;
    }
    if (err != FP_OK) {
        http_reply_error(request, err, why);
        return;
    }
    api_reply(request, 200,
              json_pack("{s:s}", "state",
                        replica_member_votes(api->deps.replica, change.host)
                            ? "votes"
                            : "begun"),
              0);
}

struct fault {
    char host[MSG_HOST_BYTES];
    bool drop_sent;
    bool drop_received;
};

static const struct fp_field FAULT_FIELDS[] = {
    {"host", FP_STR, offsetof(struct fault, host), MSG_HOST_BYTES, NULL, NULL,
     "name of the other host"},
    {"to", FP_BOOL, offsetof(struct fault, drop_sent), 0, NULL, NULL,
     "drop the messages sent to it"},
    {"from", FP_BOOL, offsetof(struct fault, drop_received), 0, NULL, NULL,
     "drop the messages received from it"},
};
static const struct fp_schema FAULT_SCHEMA = {
    "fault", 91, sizeof(struct fault), FAULT_FIELDS,
    FP_FIELD_COUNT(FAULT_FIELDS)};

/* POST /v1/fault: for fault tests, drops or stops dropping the messages of a
 * link to another host, if the settings allow it.
 */
static void
post_fault(struct api *api, struct http_request *request, const char *suffix)
{
    struct fault fault = {{0}, false, false};
    enum fp_err err;

    (void)suffix;
    if (!api->deps.settings->faults_allowed) {
        http_reply_error(request, FP_ERR_NOT_ALLOWED,
                         "settings: faults_allowed is false");
        return;
    }
    if (!read_body(request, &FAULT_SCHEMA, &fault)) {
        return;
    }
    err = bus_set_drop(replica_bus(api->deps.replica), fault.host,
                       fault.drop_sent, fault.drop_received);
    if (err != FP_OK) {
        http_reply_error(request, err, "field host: no such host");
        return;
    }
    api_reply(request, 200, json_pack("{s:s}", "state", "set"), 0);
}

/* A request is handled by the first route that matches it. */
static const struct route ROUTES[] = {
    {"GET", "/healthz", ACCESS_ANY, api_get_health},
    {"GET", "/readyz", ACCESS_ANY, api_get_ready},
    {"GET", "/v1/status", ACCESS_ANY, api_get_status},
    {"GET", "/v1/metrics", ACCESS_ANY, api_get_metrics},
    {"GET", "/v1/dump", ACCESS_OPERATOR, api_get_dump},
    {"GET", "/v1/config/", ACCESS_OPERATOR, api_get_config},
    {"GET", "/v1/targets", ACCESS_OPERATOR, api_get_targets},
    {"GET", "/v1/jobs/", ACCESS_SUBMITTER, api_get_job},
    {"GET", "/v1/jobs", ACCESS_OPERATOR, api_get_jobs},
    {"GET", "/v1/why/", ACCESS_SUBMITTER, get_why},
    {"POST", "/v1/init", ACCESS_OPERATOR, post_init},
    {"POST", "/v1/members", ACCESS_OPERATOR, post_members},
    {"POST", "/v1/fault", ACCESS_OPERATOR, post_fault},
    {"POST", "/v1/config/key", ACCESS_OPERATOR, post_key},
    {"POST", "/v1/config/", ACCESS_OPERATOR, post_config},
    {"POST", "/v1/jobs", ACCESS_SUBMITTER, post_job},
    {"POST", "/v1/cancel", ACCESS_SUBMITTER, post_cancel},
    {"POST", "/v1/targets/announce", ACCESS_TARGET, post_announce},
    {"POST", "/v1/targets/heartbeat", ACCESS_TARGET, post_heartbeat},
};

static const struct route *
find_route(const struct http_request *request)
{
    const char *path = http_path(request);

    for (size_t i = 0; i < sizeof(ROUTES) / sizeof(ROUTES[0]); i++) {
        const struct route *route = &ROUTES[i];
        size_t length = strlen(route->path);
        bool is_prefix = route->path[length - 1] == '/';

        if (strcmp(http_method(request), route->method) == 0 &&
            (is_prefix ? strncmp(path, route->path, length) == 0
                       : strcmp(path, route->path) == 0)) {
            return route;
        }
    }
    return NULL;
}

static bool
is_authorized(const struct api *api, const struct http_request *request,
              enum access access)
{
    const struct settings *settings = api->deps.settings;

    switch (access) {
    case ACCESS_OPERATOR:
        return bearer_key_matches(request, settings->operator_key_hash);
    case ACCESS_TARGET:
        return bearer_key_matches(request, settings->target_key_hash);
    case ACCESS_ANY:
    case ACCESS_SUBMITTER:
        break;
    }
    return true;
}

struct api *
api_new(const struct api_deps *deps)
{
    struct api *api = g_new0(struct api, 1);

    api->deps = *deps;
    return api;
}

void
api_free(struct api *api)
{
    g_free(api);
}

bool
api_is_operator(const struct api *api, const struct http_request *request)
{
    return bearer_key_matches(request, api->deps.settings->operator_key_hash);
}

void
api_reply(struct http_request *request, int status, json_t *body,
          uint32_t retry_after_ms)
{
    char *text = json_dumps(body, JSON_COMPACT);

    http_reply(request, status, "application/json", text, strlen(text),
               retry_after_ms);
    free(text);
    json_decref(body);
}

void
api_handle(struct api *api, struct http_request *request)
{
    const struct route *route = find_route(request);

    if (route == NULL) {
        http_reply_error(request, FP_ERR_NOT_FOUND, "no such route");
        return;
    }
    if (!is_authorized(api, request, route->access)) {
        http_reply_error(request, FP_ERR_NO_KEY, "");
        return;
    }
    route->handle(api, request, http_path(request) + strlen(route->path));
}
