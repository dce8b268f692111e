/* admit.c -- admission of callers' requests, and parsing of their headers */
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "node/gatewaypriv.h"
#include "node/keys.h"

enum fp_err
gateway_authenticate(const struct cell *cell,
                     const struct http_request *request, char team[NAME_BYTES],
                     char hash[72])
{
    char value[256];
    const char *name;
    enum fp_err err;

    team[0] = '\0';
    hash[0] = '\0';
    if (!http_header(request, "authorization", value, sizeof(value))) {
        return FP_ERR_NO_KEY;
    }
    if (value[0] == '\0') {
        return FP_OK;
    }
    if (g_ascii_strncasecmp(value, "bearer ", 7) != 0) {
        return FP_ERR_NO_KEY;
    }
    key_hash_secret(value + 7, hash);
    sodium_memzero(value, sizeof(value));
    err = cell_key_team(cell, hash, &name);
    if (err == FP_OK) {
        g_strlcpy(team, name, NAME_BYTES);
    }
    return err;
}

/* Splits /call/QUEUE/PATH, and appends the query to the path. Returns false
 * when the queue is empty or one of them is too long.
 */
static bool
parse_path(struct exchange *exchange)
{
    const char *queue = http_path(exchange->request) + strlen("/call/");
    const char *slash = strchrnul(queue, '/');
    const char *query = http_query(exchange->request);
    int length;

    if (slash == queue ||
        (size_t)(slash - queue) >= sizeof(exchange->msg.queue)) {
        return false;
    }
    memcpy(exchange->msg.queue, queue, (size_t)(slash - queue));
    length =
        snprintf(exchange->msg.path, sizeof(exchange->msg.path), "%s%s%s",
                 *slash == '\0' ? "/" : slash, query[0] ? "?" : "", query);
    return length < (int)sizeof(exchange->msg.path);
}

/* Reads the headers. GET and HEAD are repeatable unless a header says
 * otherwise; a request with an idempotency key never is.
 */
static enum fp_err
parse_headers(struct exchange *exchange, const struct queue *queue,
              char *detail, size_t detail_bytes)
{
    const struct http_request *request = exchange->request;
    uint64_t max_ms = queue->conf.request_max_ms ? queue->conf.request_max_ms
                                                 : DEFAULT_REQUEST_MAX_MS;
    uint64_t budget_ms = max_ms;
    char value[64];
    const char *method = http_method(request);

    if (!http_header(request, "content-type", exchange->msg.content_type,
                     sizeof(exchange->msg.content_type)) ||
        !http_header(request, "idempotency-key", exchange->msg.idempotency_key,
                     sizeof(exchange->msg.idempotency_key))) {
        snprintf(detail, detail_bytes,
                 "Content-Type and Idempotency-Key: at most 127 bytes");
        return FP_ERR_BAD_REQUEST;
    }
    if (!http_header(request, "x-deadline-ms", value, sizeof(value)) ||
        (value[0] != '\0' && !g_ascii_string_to_unsigned(value, 10, 1, max_ms,
                                                         &budget_ms, NULL))) {
        snprintf(detail, detail_bytes,
                 "X-Deadline-Ms: '%.30s' is not from 1 to %llu", value,
                 (unsigned long long)max_ms);
        return FP_ERR_BAD_REQUEST;
    }
    if (!http_header(request, "x-repeatable", value, sizeof(value)) ||
        (value[0] != '\0' && strcmp(value, "yes") != 0 &&
         strcmp(value, "no") != 0)) {
        snprintf(detail, detail_bytes,
                 "X-Repeatable: '%.30s' is not yes or no", value);
        return FP_ERR_BAD_REQUEST;
    }
    exchange->deadline_ms = clock_mono_ms() + budget_ms;
    exchange->msg.repeatable = strcmp(value, "yes") == 0;
    if (value[0] == '\0') {
        exchange->msg.repeatable =
            strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;
    }
    if (exchange->msg.idempotency_key[0] != '\0') {
        exchange->msg.repeatable = false;
    }
    return FP_OK;
}

enum fp_err
gateway_admit(struct exchange *exchange, char *detail, size_t detail_bytes)
{
    struct gateway *gateway = exchange->gateway;
    const struct cell *cell = replica_cell(gateway->replica);
    struct msg_call *msg = &exchange->msg;
    const struct queue *queue;
    char hash[72];
    const char *team;
    enum fp_err err;
    size_t body_bytes;
    const char *body = http_body(exchange->request, &body_bytes);

    if (!replica_is_fresh(gateway->replica)) {
        return FP_ERR_CONFIG_STALE;
    }
    err = gateway_authenticate(cell, exchange->request, msg->team, hash);
    if (err != FP_OK) {
        return err;
    }
    if (!parse_path(exchange)) {
        snprintf(detail, detail_bytes,
                 "the path is /call/QUEUE/PATH, the "
                 "path at most 1000 bytes");
        return FP_ERR_BAD_REQUEST;
    }
    queue = cell_queue(cell, msg->queue);
    if (queue == NULL || queue->conf.service[0] == '\0') {
        snprintf(detail, detail_bytes, "no queue '%s' with a service",
                 msg->queue);
        return FP_ERR_NOT_FOUND;
    }
    team = msg->team[0] == '\0' ? NULL : msg->team;
    err = cell_check_queue_access(queue, team);
    if (err != FP_OK) {
        return err;
    }
    if (team == NULL) {
        g_strlcpy(msg->team,
                  queue->conf.team[0] ? queue->conf.team : CELL_OPEN_TEAM,
                  sizeof(msg->team));
    }
    else {
        g_strlcpy(msg->key_hash, hash, sizeof(msg->key_hash));
    }
    g_strlcpy(exchange->service, queue->conf.service,
              sizeof(exchange->service));
    if (strlen(http_method(exchange->request)) >= sizeof(msg->method)) {
        snprintf(detail, detail_bytes, "the method is unknown");
        return FP_ERR_BAD_REQUEST;
    }
    g_strlcpy(msg->method, http_method(exchange->request),
              sizeof(msg->method));
    msg->body = fp_blob_copy(body, (uint32_t)body_bytes);
    return parse_headers(exchange, queue, detail, detail_bytes);
}
