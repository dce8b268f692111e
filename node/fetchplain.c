/* fetchplain.c -- HTTP/1.1 requests over pooled plain TCP connections */
#include "node/fetchplain.h"

#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/event.h"
#include "base/log.h"
#include "node/clock.h"
#include "node/entry.h"
#include "node/fetchtext.h"

/* The default bound on the open connections, below the 4,096 descriptors of a
 * small host. */
#define CONNECTIONS_MAX 3700u
/* Of them, those that are being opened, as a divisor: servers that do not
 * answer leave the others a part. */
#define CONNECTING_DIVISOR 2u
/* Idle connections kept for each server, per mille, on the average of all, and
 * beside that in all. */
#define IDLE_PER_SERVER_PERMILLE 1300u
#define IDLE_BASE 64u
#define READ_BUFFER_BYTES 65536u
/* A response of at most this size is received whatever others hold. */
#define SMALL_BODY_BYTES 4096u
/* Failures in a row after which a server is reached from any address, and the
 * time until the source address is tried again. */
#define SOURCE_FAILURES_MAX 2u
#define SOURCE_RETRY_MS 10000u

/* A server, by its address. */
struct server {
    char address[FETCH_ADDRESS_BYTES]; /* as in the URL, with the port */
    struct sockaddr_storage socket_address;
    GQueue idle; /* struct connection, most recently used first */
    uint32_t connections;
    /* Connections in a row that could not be opened for what may be due to the
     * source address; the server is kept while there are any. */
    uint32_t source_failures;
    uint64_t source_retry_ms; /* after SOURCE_FAILURES_MAX of them */
};

/* A request and what has come of its response. */
struct exchange {
    GString *request; /* head and body */
    char *request_id; /* NULL: none */
    GByteArray *body;
    size_t body_max_bytes;
    char *content_type;
    bool is_head;
    bool is_sent; /* at least in part */
    bool response_too_large;
    bool request_id_differs; /* the response has another X-Request-Id */
    bool closed;             /* the peer ended the connection */
    bool has_source;         /* a new connection comes from source */
    struct sockaddr_storage source;
    uint64_t started_ms;
    uint64_t deadline_ms; /* end of the time for the whole exchange */
    fetch_done done;
    void *ctx;
};

/* The response header whose value is wanted. */
enum wanted_header { HEADER_OTHER, HEADER_CONTENT_TYPE, HEADER_REQUEST_ID };

struct connection {
    uv_tcp_t tcp;
    uv_timer_t timer;
    uv_connect_t connecting;
    uv_write_t writing;
    struct plain_client *client;
    struct server *server;
    struct exchange *exchange; /* NULL: idle */
    GString *unsent;           /* what uv_write() is sending; NULL: nothing */
    uint64_t opened_ms;        /* when it was connected; 0: not yet */
    uint64_t expires_ms;       /* when its timer should fire */
    uint32_t open_handles;     /* of tcp and timer */
    bool is_closing;
    bool is_connecting; /* counts in client->connecting */
    bool is_complete;   /* the response is complete */
    GList server_link;  /* in server->idle */
    GList client_link;  /* in client->idle */
    http_parser parser;
    GString *header_name;
    GString *header_value;
    bool in_header_value;
    bool is_bound; /* to the source address of its first request */
};

struct plain_client {
    uv_loop_t *loop;
    GHashTable *servers;     /* address to struct server */
    GHashTable *connections; /* set of struct connection, closing ones
                              * excepted */
    GQueue idle;             /* struct connection of all servers, most recently
                              * used first */
    uint32_t connections_max;
    uint32_t connecting; /* connections that are being opened */
    uint32_t in_flight;
    uint64_t opened;
    uint64_t refused;          /* requests, for lack of a connection */
    uint64_t bodies_max_bytes; /* of all responses that are received; 0: no
                                * bound */
    uint64_t bodies_bytes;
    uint64_t dropped; /* responses, for lack of room */
    bool source_logged;
    bool is_freed; /* freed once the last connection is closed */
    uint32_t closing;
    char read_buffer[READ_BUFFER_BYTES];
};

/* ---- lifetime ----------------------------------------------------------- */

static void
free_server(void *item)
{
    g_free(item);
}

static void
free_exchange(struct exchange *exchange)
{
    if (exchange != NULL) {
        g_string_free(exchange->request, TRUE);
        g_byte_array_free(exchange->body, TRUE);
        g_free(exchange->request_id);
        g_free(exchange->content_type);
        g_free(exchange);
    }
}

static void
free_client_if_closed(struct plain_client *client)
{
    if (client->is_freed && client->closing == 0) {
        g_hash_table_destroy(client->connections);
        g_hash_table_destroy(client->servers);
        g_free(client);
    }
}

static void
on_handle_closed(uv_handle_t *handle)
{
    struct connection *connection = handle->data;
    struct plain_client *client = connection->client;

    if (--connection->open_handles > 0) {
        return;
    }
    if (connection->unsent != NULL) {
        g_string_free(connection->unsent, TRUE);
    }
    g_string_free(connection->header_name, TRUE);
    g_string_free(connection->header_value, TRUE);
    g_free(connection);
    client->closing--;
    free_client_if_closed(client);
}

static void
remove_from_idle(struct connection *connection)
{
    g_queue_unlink(&connection->server->idle, &connection->server_link);
    g_queue_unlink(&connection->client->idle, &connection->client_link);
}

static void
set_connecting(struct connection *connection, bool is_connecting)
{
    if (is_connecting != connection->is_connecting) {
        connection->is_connecting = is_connecting;
        connection->client->connecting += is_connecting ? 1 : -1;
    }
}

/* Closes a connection that has no exchange. */
static void
close_connection(struct connection *connection)
{
    struct plain_client *client = connection->client;
    struct server *server = connection->server;

    if (connection->is_closing) {
        return;
    }
    connection->is_closing = true;
    set_connecting(connection, false);
    if (connection->client_link.data != NULL) {
        remove_from_idle(connection);
    }
    g_hash_table_remove(client->connections, connection);
    client->closing++;
    uv_close((uv_handle_t *)&connection->tcp, on_handle_closed);
    uv_close((uv_handle_t *)&connection->timer, on_handle_closed);
    connection->server = NULL;
    if (--server->connections == 0 && server->source_failures == 0) {
        g_hash_table_remove(client->servers, server->address);
    }
}

/* ---- ends of exchanges -------------------------------------------------- */

static enum fp_err
response_error(const struct exchange *exchange,
               const struct connection *connection)
{
    if (exchange->response_too_large) {
        return FP_ERR_ANSWER_TOO_LARGE;
    }
    return exchange->request_id_differs ? FP_ERR_ANSWER_MISMATCH
           : connection->is_complete    ? FP_OK
                                        : FP_ERR_TRUNCATED;
}

/* Ends the exchange of a connection, which is closed unless it can be used
 * again. */
static void
end_exchange(struct connection *connection, enum fp_err err, bool reusable)
{
    struct plain_client *client = connection->client;
    struct exchange *exchange = connection->exchange;
    const uint64_t body_bytes = exchange->body->len;
    struct fetch_response response = {
        .err = err,
        .status = connection->parser.status_code,
        .content_type =
            exchange->content_type != NULL ? exchange->content_type : "",
        .body = exchange->body->data,
        .body_bytes = exchange->body->len,
        .duration_ms = (uint32_t)(clock_mono_ms() - exchange->started_ms),
        .closed = exchange->closed};

    connection->exchange = NULL;
    client->in_flight--;
    uv_timer_stop(&connection->timer);
    if (reusable) {
        connection->server_link.data = connection;
        connection->client_link.data = connection;
        g_queue_push_head_link(&connection->server->idle,
                               &connection->server_link);
        g_queue_push_head_link(&client->idle, &connection->client_link);
    }
    else {
        close_connection(connection);
    }
    exchange->done(exchange->ctx, &response);
    free_exchange(exchange);
    client->bodies_bytes -= body_bytes;
}

/* Whether another source address may help after a failed connection. A
 * server that refuses it was reached. */
static bool
may_be_due_to_source(int status)
{
    switch (status) {
    case UV_ETIMEDOUT:
    case UV_EHOSTUNREACH:
    case UV_ENETUNREACH:
    case UV_EADDRNOTAVAIL:
    case UV_EADDRINUSE: /* no port of the source address is free */
    case UV_EINVAL:
    case UV_EACCES:
    case UV_EPERM:
        return true;
    default:
        return false;
    }
}

/* A server that cannot be reached from any address either is probably down:
 * the next connections come from the source address again. */
static void
note_connect_failed(const struct connection *connection, int status)
{
    struct server *server = connection->server;

    if (!connection->exchange->has_source || !may_be_due_to_source(status)) {
        return;
    }
    if (connection->is_bound) {
        server->source_failures++;
        server->source_retry_ms = clock_mono_ms() + SOURCE_RETRY_MS;
    }
    else {
        server->source_failures = 0;
    }
}

/* Ends an exchange without a complete response. */
static void
fail_exchange(struct connection *connection, bool timed_out)
{
    struct exchange *exchange = connection->exchange;
    enum fp_err err = FP_ERR_MAY_HAVE_RUN;

    exchange->closed = !timed_out;
    if (!exchange->is_sent) {
        err = timed_out ? FP_ERR_DEADLINE_EXCEEDED : FP_ERR_NOT_CONNECTED;
    }
    else if (!timed_out && exchange->body->len > 0) {
        err = FP_ERR_TRUNCATED;
    }
    end_exchange(connection, err, false);
}

/* ---- responses ---------------------------------------------------------- */

static enum wanted_header
find_wanted_header(const char *name)
{
    if (strcasecmp(name, "Content-Type") == 0) {
        return HEADER_CONTENT_TYPE;
    }
    return strcasecmp(name, "X-Request-Id") == 0 ? HEADER_REQUEST_ID
                                                 : HEADER_OTHER;
}

static void
end_header(struct connection *connection)
{
    struct exchange *exchange = connection->exchange;
    const char *value = connection->header_value->str;

    switch (find_wanted_header(connection->header_name->str)) {
    case HEADER_CONTENT_TYPE:
        g_free(exchange->content_type);
        exchange->content_type = g_strdup(value);
        break;
    case HEADER_REQUEST_ID:
        if (exchange->request_id != NULL &&
            strcmp(exchange->request_id, value) != 0) {
            exchange->request_id_differs = true;
        }
        break;
    default:
        break;
    }
    g_string_truncate(connection->header_name, 0);
    g_string_truncate(connection->header_value, 0);
    connection->in_header_value = false;
}

static int
on_header_field(http_parser *parser, const char *text, size_t bytes)
{
    struct connection *connection = parser->data;

    if (connection->in_header_value) {
        end_header(connection);
    }
    g_string_append_len(connection->header_name, text, (gssize)bytes);
    return 0;
}

static int
on_header_value(http_parser *parser, const char *text, size_t bytes)
{
    struct connection *connection = parser->data;

    connection->in_header_value = true;
    g_string_append_len(connection->header_value, text, (gssize)bytes);
    return 0;
}

static int
on_headers_complete(http_parser *parser)
{
    struct connection *connection = parser->data;

    if (connection->in_header_value) {
        end_header(connection);
    }
    return connection->exchange->is_head ? 1 : 0; /* 1: there is no body */
}

/* The connection whose response holds the most for the longest; NULL: none
 * holds more than a small one. */
static struct connection *
find_largest_body(const struct plain_client *client, uint64_t now_ms)
{
    struct connection *found = NULL;
    uint64_t found_weight = 0;
    GHashTableIter iter;
    struct connection *connection;

    g_hash_table_iter_init(&iter, client->connections);
    while (g_hash_table_iter_next(&iter, (gpointer *)&connection, NULL)) {
        const struct exchange *exchange = connection->exchange;
        const uint64_t weight =
            exchange == NULL || exchange->body->len <= SMALL_BODY_BYTES
                ? 0
                : entry_input_weight(exchange->body->len,
                                     now_ms - exchange->started_ms);

        if (weight > found_weight) {
            found = connection;
            found_weight = weight;
        }
    }
    return found;
}

static void
on_body_dropped(uv_timer_t *timer)
{
    end_exchange(timer->data, FP_ERR_ANSWER_TOO_LARGE, false);
}

/* Frees what a response holds; its exchange ends in the next iteration. */
static void
drop_body(struct connection *connection)
{
    struct exchange *exchange = connection->exchange;
    struct plain_client *client = connection->client;

    EVENT(EVENT_HOST_FULL, EVENT_STR("listener", "targets"),
          EVENT_STR("server", connection->server->address),
          EVENT_INT("answer_bytes", exchange->body->len));
    client->bodies_bytes -= exchange->body->len;
    client->dropped++;
    g_byte_array_free(exchange->body, TRUE);
    exchange->body = g_byte_array_new();
    exchange->response_too_large = true;
    uv_timer_start(&connection->timer, on_body_dropped, 0, 0);
}

/* Workload: servers that send large responses slowly, or never to the end.
 * Returns whether a response may take more bytes. */
static bool
make_body_room(struct connection *connection, size_t bytes)
{
    struct plain_client *client = connection->client;
    const uint64_t now_ms = clock_mono_ms();

    while (client->bodies_max_bytes != 0 &&
           client->bodies_bytes + bytes > client->bodies_max_bytes &&
           connection->exchange->body->len + bytes > SMALL_BODY_BYTES) {
        struct connection *largest = find_largest_body(client, now_ms);

        if (largest == NULL || largest == connection) {
            /* One is received, however large. */
            return client->bodies_bytes == connection->exchange->body->len;
        }
        drop_body(largest);
    }
    return true;
}

static int
on_body(http_parser *parser, const char *data, size_t bytes)
{
    struct connection *connection = parser->data;
    struct exchange *exchange = connection->exchange;

    if (exchange->response_too_large ||
        exchange->body->len + bytes > exchange->body_max_bytes ||
        !make_body_room(connection, bytes)) {
        exchange->response_too_large = true;
        return -1;
    }
    g_byte_array_append(exchange->body, (const guint8 *)data, (guint)bytes);
    connection->client->bodies_bytes += bytes;
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    struct connection *connection = parser->data;

    if (parser->status_code >= 100 && parser->status_code < 200) {
        return 0; /* an interim response: the final one follows */
    }
    connection->is_complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings PARSER_SETTINGS = {
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete};

/* A response without a stated length ends with its connection; whether it is
 * complete cannot be told. */
static bool
has_stated_length(const struct connection *connection)
{
    const http_parser *parser = &connection->parser;

    return connection->exchange->is_head || parser->status_code == 204 ||
           parser->status_code == 304 || (parser->flags & F_CHUNKED) != 0 ||
           (parser->flags & F_CONTENTLENGTH) != 0;
}

/* Parses received bytes. Returns whether the exchange goes on. */
static bool
parse_response(struct connection *connection, const char *data, size_t bytes)
{
    http_parser *parser = &connection->parser;
    size_t parsed = http_parser_execute(parser, &PARSER_SETTINGS, data, bytes);
    bool keep_alive;

    if (connection->is_complete) {
        bool has_length = has_stated_length(connection);

        http_parser_pause(parser, 0);
        keep_alive = has_length && http_should_keep_alive(parser) != 0 &&
                     parsed == bytes && connection->unsent == NULL;
        end_exchange(connection,
                     has_length
                         ? response_error(connection->exchange, connection)
                         : FP_ERR_TRUNCATED,
                     keep_alive);
        return false;
    }
    if (HTTP_PARSER_ERRNO(parser) != HPE_OK) {
        end_exchange(connection,
                     connection->exchange->response_too_large
                         ? FP_ERR_ANSWER_TOO_LARGE
                         : FP_ERR_MAY_HAVE_RUN,
                     false);
        return false;
    }
    return true;
}

/* Handles the end of the input: a response without a stated length, or one
 * that was cut off. */
static void
on_input_end(struct connection *connection)
{
    if (connection->exchange == NULL) {
        close_connection(connection);
        return;
    }
    fail_exchange(connection, false);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested_bytes, uv_buf_t *buf)
{
    const struct connection *connection = handle->data;

    (void)suggested_bytes;
    buf->base = connection->client->read_buffer;
    buf->len = READ_BUFFER_BYTES;
}

static void
on_read(uv_stream_t *stream, ssize_t bytes, const uv_buf_t *buf)
{
    struct connection *connection = stream->data;

    if (connection->is_closing || bytes == 0) {
        return;
    }
    if (bytes < 0) {
        on_input_end(connection);
    }
    else if (connection->exchange == NULL) {
        close_connection(connection); /* nothing was asked for */
    }
    else {
        parse_response(connection, buf->base, (size_t)bytes);
    }
}

/* ---- requests ----------------------------------------------------------- */

static void
on_written(uv_write_t *write, int status)
{
    struct connection *connection = write->data;

    g_string_free(connection->unsent, TRUE);
    connection->unsent = NULL;
    if (status != 0 && status != UV_ECANCELED && !connection->is_closing &&
        connection->exchange != NULL) {
        fail_exchange(connection, false);
    }
}

/* Reports from the event loop that a connection could not be used. */
static void
on_attempt_failed(uv_timer_t *timer)
{
    fail_exchange(timer->data, false);
}

static void
send_request(struct connection *connection)
{
    struct exchange *exchange = connection->exchange;
    GString *request = exchange->request;
    uv_buf_t buf = uv_buf_init(request->str, (unsigned int)request->len);
    int sent = uv_try_write((uv_stream_t *)&connection->tcp, &buf, 1);

    http_parser_init(&connection->parser, HTTP_RESPONSE);
    connection->parser.data = connection;
    connection->is_complete = false;
    if (sent < 0 && sent != UV_EAGAIN) {
        uv_timer_start(&connection->timer, on_attempt_failed, 0, 0);
        return;
    }
    exchange->is_sent = true;
    if (sent == (int)request->len) {
        return;
    }
    connection->unsent = g_string_new_len(request->str + MAX(sent, 0),
                                          (gssize)request->len - MAX(sent, 0));
    buf = uv_buf_init(connection->unsent->str,
                      (unsigned int)connection->unsent->len);
    connection->writing.data = connection;
    if (uv_write(&connection->writing, (uv_stream_t *)&connection->tcp, &buf,
                 1, on_written) != 0) {
        g_string_free(connection->unsent, TRUE);
        connection->unsent = NULL;
        uv_timer_start(&connection->timer, on_attempt_failed, 0, 0);
    }
}

/* libuv runs timers before it polls for input. If this process was suspended,
 * a response that arrived meanwhile is still unread when the timer fires, so
 * that it is read here first. */
static bool
read_pending_input(struct connection *connection)
{
    char *buffer = connection->client->read_buffer;
    int fd = -1;
    ssize_t bytes;

    if (uv_fileno((uv_handle_t *)&connection->tcp, &fd) != 0) {
        return false;
    }
    while ((bytes = recv(fd, buffer, READ_BUFFER_BYTES, MSG_DONTWAIT)) > 0) {
        if (!parse_response(connection, buffer, (size_t)bytes)) {
            return true;
        }
    }
    return false;
}

static void set_timer(struct connection *connection, uint64_t expires_ms,
                      uint64_t now_ms);

static void
on_timeout(uv_timer_t *timer)
{
    struct connection *connection = timer->data;
    uint64_t now_ms = clock_mono_ms();

    if (now_ms < connection->expires_ms) {
        /* The loop's time was old when the timer was set. */
        set_timer(connection, connection->expires_ms, now_ms);
        return;
    }
    if (connection->exchange->is_sent && read_pending_input(connection)) {
        return;
    }
    if (connection->opened_ms == 0) {
        note_connect_failed(connection, UV_ETIMEDOUT);
    }
    fail_exchange(connection, true);
}

static void
set_timer(struct connection *connection, uint64_t expires_ms, uint64_t now_ms)
{
    connection->expires_ms = expires_ms;
    uv_timer_start(&connection->timer, on_timeout,
                   expires_ms > now_ms ? expires_ms - now_ms : 0, 0);
}

static void
log_source_unused(struct plain_client *client, const char *server,
                  const char *why)
{
    if (!client->source_logged) {
        log_notice(LOG_HTTP,
                   "connections to %s come from any address of this host: %s",
                   server, why);
        client->source_logged = true;
    }
}

/* Whether a new connection to a server comes from the source address. While
 * this fails, one connection each SOURCE_RETRY_MS tries it. */
static bool
is_source_tried(struct server *server, uint64_t now_ms)
{
    if (server->source_failures < SOURCE_FAILURES_MAX) {
        return true;
    }
    if (now_ms < server->source_retry_ms) {
        return false;
    }
    server->source_retry_ms = now_ms + SOURCE_RETRY_MS;
    return true;
}

/* Binds a connection to the source address of its request, if that is tried.
 */
static void
bind_source(struct connection *connection, uint64_t now_ms)
{
    struct server *server = connection->server;
    const struct exchange *exchange = connection->exchange;
    int rc;

    if (!exchange->has_source || !is_source_tried(server, now_ms)) {
        return;
    }
    rc = uv_tcp_bind(&connection->tcp,
                     (const struct sockaddr *)&exchange->source, 0);
    connection->is_bound = rc == 0;
    if (rc != 0) {
        server->source_failures = SOURCE_FAILURES_MAX;
        server->source_retry_ms = now_ms + SOURCE_RETRY_MS;
        log_source_unused(connection->client, server->address,
                          uv_strerror(rc));
    }
}

static void
on_connected(uv_connect_t *connecting, int status)
{
    struct connection *connection = connecting->data;

    if (connection->is_closing) {
        return;
    }
    if (status != 0) {
        note_connect_failed(connection, status);
        fail_exchange(connection, false);
        return;
    }
    connection->opened_ms = clock_mono_ms();
    set_connecting(connection, false);
    if (connection->is_bound) {
        connection->server->source_failures = 0;
    }
    else if (connection->exchange->has_source) {
        log_source_unused(connection->client, connection->server->address,
                          "it cannot be reached from the host's own");
    }
    uv_tcp_nodelay(&connection->tcp, 1);
    uv_read_start((uv_stream_t *)&connection->tcp, on_alloc, on_read);
    set_timer(connection, connection->exchange->deadline_ms,
              connection->opened_ms);
    send_request(connection);
}

static struct connection *
new_connection(struct plain_client *client, struct server *server,
               struct exchange *exchange)
{
    struct connection *connection = g_new0(struct connection, 1);

    connection->client = client;
    connection->server = server;
    connection->exchange = exchange;
    connection->header_name = g_string_new(NULL);
    connection->header_value = g_string_new(NULL);
    connection->open_handles = 2;
    uv_tcp_init(client->loop, &connection->tcp);
    uv_timer_init(client->loop, &connection->timer);
    connection->tcp.data = connection;
    connection->timer.data = connection;
    connection->connecting.data = connection;
    server->connections++;
    g_hash_table_add(client->connections, connection);
    client->opened++;
    return connection;
}

static void
open_connection(struct plain_client *client, struct server *server,
                struct exchange *exchange, uint64_t connect_timeout_ms,
                uint64_t now_ms)
{
    struct connection *connection = new_connection(client, server, exchange);
    uint64_t expires_ms = exchange->deadline_ms;
    int rc;

    bind_source(connection, now_ms);
    rc = uv_tcp_connect(&connection->connecting, &connection->tcp,
                        (const struct sockaddr *)&server->socket_address,
                        on_connected);

    if (rc != 0) {
        log_info(LOG_HTTP, "cannot connect to %s: %s", server->address,
                 uv_strerror(rc));
        note_connect_failed(connection, rc);
        uv_timer_start(&connection->timer, on_attempt_failed, 0, 0);
        return;
    }
    set_connecting(connection, true);
    if (connect_timeout_ms > 0) {
        expires_ms = MIN(expires_ms, now_ms + connect_timeout_ms);
    }
    set_timer(connection, expires_ms, now_ms);
}

/* Whether the server has not closed the connection, as far as is known here.
 */
static bool
is_alive(const struct connection *connection)
{
    char byte;
    int fd = -1;

    if (uv_fileno((const uv_handle_t *)&connection->tcp, &fd) != 0) {
        return false;
    }
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Takes the most recently used idle connection that was opened before a time;
 * 0: any. NULL: there is none. */
static struct connection *
take_idle_connection(struct server *server, uint64_t opened_before_ms)
{
    GList *link = server->idle.head;

    while (link != NULL) {
        struct connection *connection = link->data;

        link = link->next;
        if (opened_before_ms != 0 &&
            connection->opened_ms >= opened_before_ms) {
            continue;
        }
        if (!is_alive(connection)) {
            /* The server outlives its connections here: see the caller. */
            close_connection(connection);
            continue;
        }
        remove_from_idle(connection);
        connection->server_link.data = NULL;
        connection->client_link.data = NULL;
        return connection;
    }
    return NULL;
}

static bool
has_excess_connections(const struct plain_client *client)
{
    uint32_t idle_max =
        g_hash_table_size(client->servers) * IDLE_PER_SERVER_PERMILLE / 1000 +
        IDLE_BASE;

    return g_hash_table_size(client->connections) >= client->connections_max ||
           client->idle.length > idle_max;
}

/* Closes the least recently used idle connection if there are too many.
 * Returns whether another connection may be opened. */
static bool
make_connection_room(struct plain_client *client)
{
    if (client->idle.tail != NULL && has_excess_connections(client)) {
        close_connection(client->idle.tail->data);
    }
    if (g_hash_table_size(client->connections) < client->connections_max &&
        client->connecting < client->connections_max / CONNECTING_DIVISOR) {
        return true;
    }
    client->refused++;
    EVENT(EVENT_HOST_FULL, EVENT_STR("listener", "targets"),
          EVENT_INT("refused", client->refused),
          EVENT_INT("connections", g_hash_table_size(client->connections)),
          EVENT_INT("connecting", client->connecting));
    return false;
}

/* ---- interface ---------------------------------------------------------- */

struct plain_client *
plain_client_new(uv_loop_t *loop)
{
    struct plain_client *client = g_new0(struct plain_client, 1);

    client->loop = loop;
    client->connections_max = CONNECTIONS_MAX;
    client->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
    client->connections = g_hash_table_new(g_direct_hash, g_direct_equal);
    return client;
}

bool
plain_client_accepts(const char *url)
{
    char address[FETCH_ADDRESS_BYTES];
    struct sockaddr_storage socket_address;
    const char *path;

    return fetch_split_url(url, address, &socket_address, &path);
}

static struct server *
get_or_add_server(struct plain_client *client, const char *address,
                  const struct sockaddr_storage *socket_address)
{
    struct server *server = g_hash_table_lookup(client->servers, address);

    if (server == NULL) {
        server = g_new0(struct server, 1);
        g_strlcpy(server->address, address, sizeof(server->address));
        server->socket_address = *socket_address;
        g_hash_table_insert(client->servers, server->address, server);
    }
    return server;
}

void
plain_client_fetch(struct plain_client *client,
                   const struct fetch_request *request, fetch_done done,
                   void *ctx)
{
    struct exchange *exchange = g_new0(struct exchange, 1);
    struct connection *connection = NULL;
    struct sockaddr_storage socket_address;
    char address[FETCH_ADDRESS_BYTES];
    const char *path = "/";
    uint64_t now_ms = clock_mono_ms();
    struct server *server;
    bool is_sendable;

    memset(&socket_address, 0, sizeof(socket_address));
    fetch_split_url(request->url, address, &socket_address, &path);
    exchange->request = fetch_request_text(request, address, path);
    exchange->request_id = g_strdup(request->request_id);
    exchange->body = g_byte_array_new();
    exchange->body_max_bytes = request->response_max_bytes;
    exchange->is_head = strcmp(request->method, "HEAD") == 0;
    exchange->has_source =
        request->source != NULL &&
        uv_ip4_addr(request->source, 0,
                    (struct sockaddr_in *)&exchange->source) == 0;
    exchange->started_ms = now_ms;
    exchange->deadline_ms = now_ms + MAX(request->timeout_ms, 1);
    exchange->done = done;
    exchange->ctx = ctx;
    client->in_flight++;
    is_sendable = exchange->request != NULL;
    if (!is_sendable) {
        log_warn(LOG_HTTP, "a header for %s has a line break", address);
        exchange->request = g_string_new(NULL);
    }
    server = get_or_add_server(client, address, &socket_address);
    server->connections++; /* keeps it while dead connections are closed */
    if (is_sendable && !request->no_resend) {
        connection = take_idle_connection(server, request->opened_before_ms);
    }
    if (connection != NULL) {
        connection->exchange = exchange;
        set_timer(connection, exchange->deadline_ms, now_ms);
        send_request(connection);
    }
    else if (!is_sendable || request->opened_before_ms != 0 ||
             !make_connection_room(client)) {
        /* A connection that would be opened now is too new, or one too many.
         */
        connection = new_connection(client, server, exchange);
        client->opened--;
        uv_timer_start(&connection->timer, on_attempt_failed, 0, 0);
    }
    else {
        open_connection(client, server, exchange, request->connect_timeout_ms,
                        now_ms);
    }
    server->connections--;
}

void
plain_client_set_connections_max(struct plain_client *client,
                                 uint32_t connections_max)
{
    client->connections_max = connections_max;
}

void
plain_client_set_bodies_max(struct plain_client *client, uint64_t max_bytes)
{
    client->bodies_max_bytes = max_bytes;
}

uint64_t
plain_client_dropped(const struct plain_client *client)
{
    return client->dropped;
}

uint64_t
plain_client_refused(const struct plain_client *client)
{
    return client->refused;
}

uint32_t
plain_client_in_flight(const struct plain_client *client)
{
    return client->in_flight;
}

uint64_t
plain_client_opened(const struct plain_client *client)
{
    return client->opened;
}

void
plain_client_free(struct plain_client *client)
{
    GList *connections = g_hash_table_get_keys(client->connections);

    for (GList *link = connections; link != NULL; link = link->next) {
        struct connection *connection = link->data;

        free_exchange(connection->exchange);
        connection->exchange = NULL;
        close_connection(connection);
    }
    g_list_free(connections);
    client->is_freed = true;
    free_client_if_closed(client);
}
