/* httpd.c -- HTTP server: wraps h2o on libuv */
#include "node/httpd.h"

#include <glib.h>
#include <jansson.h>
#include <openssl/ssl.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "node/httpconn.h"

struct request_handler {
    h2o_handler_t super; /* must be first */
    struct httpd *httpd;
};

struct httpd {
    uv_loop_t *loop;
    uv_tcp_t listener;
    bool listening;
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    SSL_CTX *ssl_ctx;
    http_handler handler;
    void *ctx;
    uint32_t in_flight;
    uint64_t in_flight_bytes; /* of bodies */
    struct httpconns conns;
    bool h2o_disposed; /* h2o holds no reference to this struct */
};

/* Shared allocation in the pool of an h2o request: h2o disposes of it together
 * with that request, and on_h2o_req_freed() then clears the request's h2o_req.
 */
struct request_ref {
    struct http_request *request; /* NULL once answered */
    struct client_conn *conn;     /* NULL: it is not known */
};

struct http_request {
    struct httpd *httpd;
    h2o_req_t *h2o_req;      /* NULL once the client has disconnected */
    struct request_ref *ref; /* valid while h2o_req is not NULL */
    char *method;
    char *path;
    char *query;
    char *body;
    size_t body_bytes;
    char **headers; /* name, value, name, value, ..., NULL */
};

static void
on_h2o_req_freed(void *item)
{
    struct request_ref *ref = item;

    if (ref->request != NULL) {
        ref->request->h2o_req = NULL;
    }
    if (ref->conn != NULL) {
        httpconns_request_ended(ref->conn);
    }
}

static char **
copy_headers(const h2o_req_t *req)
{
    char **headers = g_new0(char *, req->headers.size * 2 + 3);

    /* h2o stores the Host header apart from the others. */
    headers[0] = g_strdup("host");
    headers[1] = g_strndup(req->authority.base, req->authority.len);
    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *header = &req->headers.entries[i];

        headers[2 * i + 2] = g_strndup(header->name->base, header->name->len);
        headers[2 * i + 3] = g_strndup(header->value.base, header->value.len);
    }
    return headers;
}

/* Allocates a request that knows its connection, and nothing else yet. */
static struct http_request *
add_request(struct httpd *httpd, h2o_req_t *req)
{
    struct http_request *request = g_new0(struct http_request, 1);
    struct request_ref *ref =
        h2o_mem_alloc_shared(&req->pool, sizeof(*ref), on_h2o_req_freed);

    ref->request = request;
    ref->conn = httpconns_find(&httpd->conns, req);
    if (ref->conn != NULL) {
        httpconns_request_began(ref->conn);
    }
    request->ref = ref;
    request->httpd = httpd;
    request->h2o_req = req;
    httpd->in_flight++;
    return request;
}

void
httpd_load(const struct httpd *httpd, struct entry_load *load)
{
    *load = (struct entry_load){.connections =
                                    g_hash_table_size(httpd->conns.sockets),
                                .idle = httpd->conns.idle.length,
                                .requests = httpd->in_flight,
                                .request_bytes = httpd->in_flight_bytes,
                                .input_bytes = httpd->conns.input_bytes,
                                .answer_bytes = httpd->conns.answer_bytes};
}

static int
on_request(h2o_handler_t *self, h2o_req_t *req)
{
    struct httpd *httpd = ((struct request_handler *)self)->httpd;
    struct entry_load load;
    struct http_request *request;
    size_t path_bytes =
        req->query_at == SIZE_MAX ? req->path.len : req->query_at;

    httpd_load(httpd, &load);
    request = add_request(httpd, req);
    if (!entry_takes_request(&httpd->conns.bounds, &load, req->entity.len)) {
        httpconns_count(&httpd->conns,
                        &httpd->conns.counters.refused_requests);
        http_reply_error(request, FP_ERR_HOST_FULL, "");
        return 0;
    }
    request->method = g_strndup(req->method.base, req->method.len);
    request->path = g_strndup(req->path.base, path_bytes);
    request->query = path_bytes < req->path.len
                         ? g_strndup(req->path.base + path_bytes + 1,
                                     req->path.len - path_bytes - 1)
                         : g_strdup("");
    request->body_bytes = req->entity.base == NULL ? 0 : req->entity.len;
    request->body = g_malloc(request->body_bytes + 1);
    if (request->body_bytes > 0) {
        memcpy(request->body, req->entity.base, request->body_bytes);
    }
    request->body[request->body_bytes] = '\0';
    request->headers = copy_headers(req);
    httpd->in_flight_bytes += request->body_bytes;
    httpd->handler(httpd->ctx, request);
    return 0;
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct httpd *httpd = listener->data;
    struct client_conn *conn;

    if (status != 0) {
        return;
    }
    conn = httpconns_accept(&httpd->conns, listener);
    if (conn != NULL) {
        h2o_accept(&httpd->accept, conn->socket);
        httpconns_watch(conn);
    }
}

void
httpd_check_partial(struct httpd *httpd)
{
    httpconns_check_input(&httpd->conns);
}

/* Connections that are accepted later inherit the size of the queue. */
static void
set_receive_queue(struct httpd *httpd)
{
    int bytes = (int)(httpd->conns.bounds.receive_bytes / 2);

    /* The kernel allows twice the size that is set, for its own use. */
    if (bytes > 0 && httpd->listening &&
        uv_recv_buffer_size((uv_handle_t *)&httpd->listener, &bytes) != 0) {
        log_warn(LOG_HTTP, "cannot bound the receive queues of connections");
    }
}

void
httpd_set_bounds(struct httpd *httpd, const struct entry_bounds *bounds)
{
    httpd->conns.bounds = *bounds;
    set_receive_queue(httpd);
}

uint64_t
httpd_take_refused(struct httpd *httpd)
{
    uint64_t refused = httpd->conns.counters.refused_since_read;

    httpd->conns.counters.refused_since_read = 0;
    return refused;
}

const struct entry_bounds *
httpd_bounds(const struct httpd *httpd)
{
    return &httpd->conns.bounds;
}

const struct httpd_counters *
httpd_counters(const struct httpd *httpd)
{
    return &httpd->conns.counters;
}

static enum fp_err
load_tls(struct httpd *httpd, const struct settings_tls *tls, char *why,
         size_t why_bytes)
{
    if (tls == NULL) {
        return FP_OK;
    }
    httpd->ssl_ctx = SSL_CTX_new(TLS_server_method());
    SSL_CTX_set_min_proto_version(httpd->ssl_ctx, TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(httpd->ssl_ctx, tls->certificate) !=
        1) {
        snprintf(why, why_bytes, "tls.certificate: cannot load %s",
                 tls->certificate);
        return FP_ERR_BAD_REQUEST;
    }
    if (SSL_CTX_use_PrivateKey_file(httpd->ssl_ctx, tls->private_key,
                                    SSL_FILETYPE_PEM) != 1) {
        snprintf(why, why_bytes, "tls.private_key: cannot load %s",
                 tls->private_key);
        return FP_ERR_BAD_REQUEST;
    }
    return FP_OK;
}

static enum fp_err
listen_on(struct httpd *httpd, const char *address, char *why,
          size_t why_bytes)
{
    char ip[64];
    uint16_t port;
    struct sockaddr_in addr;
    int rc;

    if (!settings_parse_address(address, ip, sizeof(ip), &port)) {
        snprintf(why, why_bytes, "http: '%s' is not IP:port", address);
        return FP_ERR_BAD_REQUEST;
    }
    uv_ip4_addr(ip, port, &addr);
    uv_tcp_init(httpd->loop, &httpd->listener);
    httpd->listener.data = httpd;
    httpd->listening = true;
    rc = uv_tcp_bind(&httpd->listener, (struct sockaddr *)&addr, 0);
    if (rc == 0) {
        rc = uv_listen((uv_stream_t *)&httpd->listener, 1024, on_connection);
    }
    if (rc != 0) {
        snprintf(why, why_bytes, "http %s: %s", address, uv_strerror(rc));
        return FP_ERR_NETWORK;
    }
    return FP_OK;
}

enum fp_err
httpd_new(uv_loop_t *loop, const char *address, const struct settings_tls *tls,
          http_handler handler, void *ctx, struct httpd **out, char *why,
          size_t why_bytes)
{
    struct httpd *httpd = g_new0(struct httpd, 1);
    h2o_hostconf_t *host;
    struct request_handler *root_handler;
    enum fp_err err;

    *out = httpd;
    httpd->loop = loop;
    httpd->handler = handler;
    httpd->ctx = ctx;
    httpconns_init(&httpd->conns, loop);
    h2o_config_init(&httpd->config);
    httpd->config.max_request_entity_size = HTTPD_BODY_MAX_BYTES;
    httpd->config.http1.req_timeout = HTTPD_REQUEST_TIMEOUT_MS;
    /* h2o would take a hundred streams on each connection, and buffer the body
     * of each outside the input that httpd counts. */
    httpd->config.http1.upgrade_to_http2 = 0;
    httpd->config.server_name = h2o_iovec_init(H2O_STRLIT("filbertpath"));
    host = h2o_config_register_host(
        &httpd->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    root_handler = (struct request_handler *)h2o_create_handler(
        h2o_config_register_path(host, "/", 0), sizeof(*root_handler));
    root_handler->super.on_req = on_request;
    root_handler->httpd = httpd;
    h2o_context_init(&httpd->context, loop, &httpd->config);
    httpd->accept.ctx = &httpd->context;
    httpd->accept.hosts = httpd->config.hosts;
    err = load_tls(httpd, tls, why, why_bytes);
    httpd->accept.ssl_ctx = httpd->ssl_ctx;
    if (err == FP_OK) {
        err = listen_on(httpd, address, why, why_bytes);
    }
    return err;
}

void
httpd_drain(struct httpd *httpd)
{
    h2o_context_request_shutdown(&httpd->context);
}

void
httpd_stop_listening(struct httpd *httpd)
{
    if (httpd->listening) {
        httpd->listening = false;
        uv_close((uv_handle_t *)&httpd->listener, NULL);
    }
}

uint32_t
httpd_in_flight(const struct httpd *httpd)
{
    return httpd->in_flight;
}

bool
httpd_has_connections(const struct httpd *httpd)
{
    return !h2o_linklist_is_empty(
        (h2o_linklist_t *)&httpd->context.http1._conns);
}

/* h2o 2.2 frees a connection only in an event of that connection, and a
 * context can be disposed of only when it has no connections. If idle
 * keep-alive connections remain here, both are leaked until the process exits.
 */
void
httpd_close(struct httpd *httpd)
{
    if (httpd == NULL) {
        return;
    }
    httpd_stop_listening(httpd);
    httpconns_close(&httpd->conns);
    SSL_CTX_free(httpd->ssl_ctx);
    httpd->ssl_ctx = NULL;
    if (!httpd_has_connections(httpd)) {
        h2o_context_dispose(&httpd->context);
        h2o_config_dispose(&httpd->config);
        httpd->h2o_disposed = true;
    }
}

void
httpd_free(struct httpd *httpd)
{
    if (httpd != NULL && httpd->h2o_disposed) {
        httpconns_free(&httpd->conns);
        g_free(httpd);
    }
}

const char *
http_method(const struct http_request *request)
{
    return request->method;
}

const char *
http_path(const struct http_request *request)
{
    return request->path;
}

const char *
http_query(const struct http_request *request)
{
    return request->query;
}

const char *
http_body(const struct http_request *request, size_t *size_bytes)
{
    *size_bytes = request->body_bytes;
    return request->body;
}

bool
http_header(const struct http_request *request, const char *name, char *value,
            size_t value_bytes)
{
    value[0] = '\0';
    for (char **pair = request->headers; *pair != NULL; pair += 2) {
        if (g_ascii_strcasecmp(pair[0], name) == 0) {
            return g_strlcpy(value, pair[1], value_bytes) < value_bytes;
        }
    }
    return true;
}

bool
http_query_param(const struct http_request *request, const char *name,
                 char *value, size_t value_bytes)
{
    char **params = g_strsplit(request->query, "&", 64);
    size_t name_bytes = strlen(name);
    bool found = false;

    for (char **param = params; *param != NULL && !found; param++) {
        if (strncmp(*param, name, name_bytes) == 0 &&
            (*param)[name_bytes] == '=') {
            char *decoded =
                g_uri_unescape_string(*param + name_bytes + 1, NULL);

            found = decoded != NULL &&
                    g_strlcpy(value, decoded, value_bytes) < value_bytes;
            g_free(decoded);
        }
    }
    g_strfreev(params);
    return found;
}

static void
send_reply(struct http_request *request, int status, const char *content_type,
           const void *body, size_t size_bytes, uint32_t retry_after_ms)
{
    h2o_req_t *req = request->h2o_req;
    char seconds[16];

    req->res.status = status;
    req->res.reason = "";
    if (content_type[0] != '\0') {
        h2o_iovec_t copy =
            h2o_strdup(&req->pool, content_type, strlen(content_type));

        h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                       NULL, copy.base, copy.len);
    }
    if (retry_after_ms > 0) {
        h2o_iovec_t copy;

        snprintf(seconds, sizeof(seconds), "%u",
                 (retry_after_ms + 999) / 1000);
        copy = h2o_strdup(&req->pool, seconds, strlen(seconds));
        h2o_add_header_by_str(&req->pool, &req->res.headers,
                              H2O_STRLIT("retry-after"), 0, NULL, copy.base,
                              copy.len);
    }
    req->res.content_length = size_bytes;
    h2o_send_inline(req, body, size_bytes);
}

static void
free_request(struct http_request *request)
{
    request->httpd->in_flight--;
    request->httpd->in_flight_bytes -= request->body_bytes;
    g_free(request->method);
    g_free(request->path);
    g_free(request->query);
    g_free(request->body);
    g_strfreev(request->headers);
    g_free(request);
}

/* An answer without room is replaced by an error where that is true, and by
 * the end of the connection where the request may have changed something. */
static void
refuse_answer(struct http_request *request)
{
    struct client_conn *conn = request->ref->conn;

    httpconns_count(conn->conns, &conn->conns->counters.refused_answers);
    if (g_strcmp0(request->method, "GET") != 0) {
        httpconns_shut_down(conn);
    }
    http_reply_error(request, FP_ERR_HOST_FULL, "");
}

void
http_reply(struct http_request *request, int status, const char *content_type,
           const void *body, size_t size_bytes, uint32_t retry_after_ms)
{
    if (request->h2o_req != NULL) {
        if (request->ref->conn != NULL &&
            !httpconns_take_answer(request->ref->conn, size_bytes)) {
            refuse_answer(request);
            return;
        }
        request->ref->request = NULL;
        send_reply(request, status, content_type, body, size_bytes,
                   retry_after_ms);
    }
    free_request(request);
}

void
http_reply_error(struct http_request *request, enum fp_err err,
                 const char *detail)
{
    const struct fp_err_row *row = fp_err_row(err);
    json_t *object =
        json_pack("{s:s,s:s,s:s,s:b}", "error", row->name, "work",
                  fp_work_status_name(row->work_status), "detail",
                  detail[0] ? detail : row->text, "retry", row->retryable);
    char *text;

    if (row->retryable) {
        json_object_set_new(object, "retry_after_ms",
                            json_integer(row->retry_after_ms));
    }
    text = json_dumps(object, JSON_COMPACT);
    http_reply(request, row->http_status, "application/json", text,
               strlen(text), row->retry_after_ms);
    free(text);
    json_decref(object);
}
