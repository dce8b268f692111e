/* fetch.c -- the HTTP client: libcurl's multi interface on libuv, for https
 * and names; fetchplain.c has http to numeric addresses */
#include "node/fetch.h"

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "node/clock.h"
#include "node/fetchplain.h"

/* Bounds the connection pool of libcurl, whose cost grows with it. */
#define POOLED_CONNECTIONS_MAX 500L
#define SPARE_HANDLES_MAX 256u

struct fetcher {
    uv_loop_t *loop;
    struct plain_client *plain;
    uint32_t open_handles; /* of the timer, the check and the idle handle */
    CURLM *multi;
    uv_timer_t timer;
    /* timeout_check and timeout_idle are active between the expiry of the
     * timer and the handling of the timeout, later in the same loop iteration;
     * see on_timer(). */
    uv_check_t timeout_check;
    uv_idle_t timeout_idle;
    bool immediate; /* libcurl asked for a timeout of 0, to start a request */
    GHashTable *watches;      /* socket to struct watch */
    GHashTable *transfers;    /* set of struct transfer */
    GPtrArray *spare_handles; /* unused CURL handles */
    /* Local port to the time (clock_mono_ms()) at which the latest connection
     * from it was opened. */
    GHashTable *opened_at_ms;
};

struct transfer {
    struct fetcher *fetcher;
    CURL *easy;
    struct curl_slist *headers;
    char *request_body;
    size_t request_body_bytes;
    size_t sent_bytes;
    char *request_id;
    GByteArray *response_body;
    size_t response_max_bytes;
    bool response_too_large;
    bool self_delimiting;    /* the response states its length or is chunked */
    bool request_id_differs; /* the response has another X-Request-Id */
    bool opened_connection;  /* a connection was opened for this transfer */
    struct sockaddr_in source; /* of a new connection; zero: any */
    uint64_t opened_before_ms;
    uint64_t started_ms;
    fetch_done done;
    void *ctx;
};

/* The poll handle of one connection. It polls for input as long as the
 * connection is open: libcurl changes the requested events with each request,
 * and each change of the polled events costs a system call. */
struct watch {
    uv_poll_t poll;
    struct fetcher *fetcher;
    curl_socket_t socket;
    int requested_events; /* by libcurl, of UV_READABLE and UV_WRITABLE */
    int polled_events;
};

static void
free_transfer(void *item)
{
    struct transfer *transfer = item;

    curl_multi_remove_handle(transfer->fetcher->multi, transfer->easy);
    if (transfer->fetcher->spare_handles->len < SPARE_HANDLES_MAX) {
        curl_easy_reset(transfer->easy);
        g_ptr_array_add(transfer->fetcher->spare_handles, transfer->easy);
    }
    else {
        curl_easy_cleanup(transfer->easy);
    }
    curl_slist_free_all(transfer->headers);
    g_byte_array_free(transfer->response_body, TRUE);
    g_free(transfer->request_body);
    g_free(transfer->request_id);
    g_free(transfer);
}

static size_t
on_response_body(char *data, size_t size, size_t count, void *ctx)
{
    struct transfer *transfer = ctx;
    size_t bytes = size * count;

    if (transfer->response_body->len + bytes > transfer->response_max_bytes) {
        transfer->response_too_large = true;
        return 0;
    }
    g_byte_array_append(transfer->response_body, (guint8 *)data, (guint)bytes);
    return bytes;
}

/* Reports whether a header line has the given name. If so, sets value to the
 * text after the colon, without surrounding white space. */
static bool
match_header(const char *line, size_t bytes, const char *name,
             const char **value, size_t *value_bytes)
{
    size_t name_bytes = strlen(name);

    if (bytes <= name_bytes ||
        g_ascii_strncasecmp(line, name, name_bytes) != 0 ||
        line[name_bytes] != ':') {
        return false;
    }
    *value = line + name_bytes + 1;
    *value_bytes = bytes - name_bytes - 1;
    while (*value_bytes > 0 && g_ascii_isspace(**value)) {
        (*value)++;
        (*value_bytes)--;
    }
    while (*value_bytes > 0 && g_ascii_isspace((*value)[*value_bytes - 1])) {
        (*value_bytes)--;
    }
    return true;
}

static size_t
on_response_header(char *line, size_t size, size_t count, void *ctx)
{
    struct transfer *transfer = ctx;
    size_t bytes = size * count;
    const char *value;
    size_t value_bytes;

    if (match_header(line, bytes, "Content-Length", &value, &value_bytes) ||
        match_header(line, bytes, "Transfer-Encoding", &value, &value_bytes)) {
        transfer->self_delimiting = true;
    }
    if (transfer->request_id != NULL &&
        match_header(line, bytes, "X-Request-Id", &value, &value_bytes) &&
        (strlen(transfer->request_id) != value_bytes ||
         memcmp(transfer->request_id, value, value_bytes) != 0)) {
        transfer->request_id_differs = true;
    }
    return bytes;
}

/* Maps libcurl's result to an error of struct fetch_response. Whether any byte
 * was sent is known from CURLINFO_REQUEST_SIZE, the number of bytes that
 * libcurl wrote to the socket.
 */
static enum fp_err
result_error(const struct transfer *transfer, CURLcode code, long status)
{
    long sent = 0;

    curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &sent);
    if (transfer->response_too_large) {
        return FP_ERR_ANSWER_TOO_LARGE;
    }
    if (code == CURLE_OK) {
        if (transfer->request_id_differs) {
            return FP_ERR_ANSWER_MISMATCH;
        }
        if (!transfer->self_delimiting && status != 204 && status != 304) {
            return FP_ERR_TRUNCATED;
        }
        return FP_OK;
    }
    if (sent == 0) {
        return code == CURLE_OPERATION_TIMEDOUT ? FP_ERR_DEADLINE_EXCEEDED
                                                : FP_ERR_NOT_CONNECTED;
    }
    if (code == CURLE_PARTIAL_FILE ||
        (code == CURLE_RECV_ERROR && transfer->response_body->len > 0)) {
        return FP_ERR_TRUNCATED;
    }
    return FP_ERR_MAY_HAVE_RUN;
}

static void
finish_transfer(struct transfer *transfer, CURLcode code)
{
    struct fetch_response response = {.body = transfer->response_body->data,
                                      .body_bytes =
                                          transfer->response_body->len};
    long status = 0;
    char *content_type = NULL;
    fetch_done done = transfer->done;
    void *ctx = transfer->ctx;

    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(transfer->easy, CURLINFO_CONTENT_TYPE, &content_type);
    response.err = result_error(transfer, code, status);
    response.status = (uint32_t)status;
    response.closed = code != CURLE_OK && code != CURLE_OPERATION_TIMEDOUT;
    response.content_type = content_type == NULL ? "" : content_type;
    response.duration_ms = (uint32_t)(clock_mono_ms() - transfer->started_ms);
    g_hash_table_steal(transfer->fetcher->transfers, transfer);
    done(ctx, &response);
    free_transfer(transfer);
}

static void
finish_completed(struct fetcher *fetcher)
{
    CURLMsg *msg;
    int msgs_left;

    while ((msg = curl_multi_info_read(fetcher->multi, &msgs_left)) != NULL) {
        struct transfer *transfer = NULL;

        if (msg->msg == CURLMSG_DONE) {
            CURLcode code = msg->data.result;

            curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &transfer);
            finish_transfer(transfer, code);
        }
    }
}

static void on_socket_ready(uv_poll_t *poll, int status, int events);

static void
set_polled_events(struct watch *watch, int events)
{
    if (watch->polled_events == events) {
        return;
    }
    watch->polled_events = events;
    if (events == 0) {
        uv_poll_stop(&watch->poll);
    }
    else {
        uv_poll_start(&watch->poll, events, on_socket_ready);
    }
}

static void
on_socket_ready(uv_poll_t *poll, int status, int events)
{
    struct watch *watch = poll->data;
    struct fetcher *fetcher = watch->fetcher;
    int flags = 0;
    int running;

    if (watch->requested_events == 0) {
        set_polled_events(watch, 0); /* the peer closed an idle connection */
        return;
    }
    if (status < 0) {
        flags = CURL_CSELECT_ERR;
    }
    if (events & UV_READABLE) {
        flags |= CURL_CSELECT_IN;
    }
    if (events & UV_WRITABLE) {
        flags |= CURL_CSELECT_OUT;
    }
    curl_multi_socket_action(fetcher->multi, watch->socket, flags, &running);
    finish_completed(fetcher);
}

static void
on_watch_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
close_watch(void *item)
{
    struct watch *watch = item;

    uv_poll_stop(&watch->poll);
    uv_close((uv_handle_t *)&watch->poll, on_watch_closed);
}

static int
close_socket(void *ctx, curl_socket_t socket)
{
    struct fetcher *fetcher = ctx;

    g_hash_table_remove(fetcher->watches, GINT_TO_POINTER(socket));
    return close(socket);
}

static int
on_socket_interest(CURL *easy, curl_socket_t socket, int what, void *ctx,
                   void *socket_ctx)
{
    struct fetcher *fetcher = ctx;
    struct watch *watch =
        g_hash_table_lookup(fetcher->watches, GINT_TO_POINTER(socket));
    int rc;

    (void)easy;
    (void)socket_ctx;
    if (what == CURL_POLL_REMOVE) {
        if (watch != NULL && (watch->requested_events & UV_WRITABLE) != 0) {
            /* Not connected yet: libcurl closes such a socket without calling
             * close_socket(). */
            g_hash_table_remove(fetcher->watches, GINT_TO_POINTER(socket));
        }
        else if (watch != NULL) {
            watch->requested_events = 0;
            set_polled_events(watch, watch->polled_events & UV_READABLE);
        }
        return 0;
    }
    if (watch == NULL) {
        watch = g_new0(struct watch, 1);
        watch->fetcher = fetcher;
        watch->socket = socket;
        rc = uv_poll_init_socket(fetcher->loop, &watch->poll, socket);
        if (rc != 0) {
            log_warn(LOG_HTTP, "cannot poll socket %d: %s", (int)socket,
                     uv_strerror(rc));
            g_free(watch);
            return -1;
        }
        watch->poll.data = watch;
        g_hash_table_insert(fetcher->watches, GINT_TO_POINTER(socket), watch);
    }
    watch->requested_events = ((what & CURL_POLL_IN) ? UV_READABLE : 0) |
                              ((what & CURL_POLL_OUT) ? UV_WRITABLE : 0);
    set_polled_events(watch, watch->requested_events | UV_READABLE);
    return 0;
}

static void
on_timeout_check(uv_check_t *check)
{
    struct fetcher *fetcher = check->data;
    int running;

    uv_check_stop(&fetcher->timeout_check);
    uv_idle_stop(&fetcher->timeout_idle);
    curl_multi_socket_action(fetcher->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    finish_completed(fetcher);
}

static void
on_timeout_idle(uv_idle_t *idle)
{
    (void)idle; /* an active idle handle makes the poll non-blocking */
}

/* libuv runs timers before it polls for input. If this process was suspended,
 * responses that arrived meanwhile are still unread when the timer fires, so
 * the timeout is handled after the poll of the same loop iteration. */
static void
on_timer(uv_timer_t *timer)
{
    struct fetcher *fetcher = timer->data;
    int running;

    if (fetcher->immediate) {
        curl_multi_socket_action(fetcher->multi, CURL_SOCKET_TIMEOUT, 0,
                                 &running);
        finish_completed(fetcher);
        return;
    }
    uv_check_start(&fetcher->timeout_check, on_timeout_check);
    uv_idle_start(&fetcher->timeout_idle, on_timeout_idle);
}

static int
on_timer_change(CURLM *multi, long timeout_ms, void *ctx)
{
    struct fetcher *fetcher = ctx;

    (void)multi;
    if (timeout_ms < 0) {
        uv_timer_stop(&fetcher->timer);
    }
    else {
        fetcher->immediate = timeout_ms == 0;
        uv_timer_start(&fetcher->timer, on_timer, (uint64_t)timeout_ms, 0);
    }
    return 0;
}

struct fetcher *
fetcher_new(uv_loop_t *loop)
{
    struct fetcher *fetcher = g_new0(struct fetcher, 1);

    curl_global_init(CURL_GLOBAL_DEFAULT);
    fetcher->loop = loop;
    fetcher->plain = plain_client_new(loop);
    fetcher->open_handles = 3;
    fetcher->multi = curl_multi_init();
    fetcher->transfers = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                               free_transfer, NULL);
    fetcher->spare_handles = g_ptr_array_new();
    fetcher->opened_at_ms = g_hash_table_new(g_direct_hash, g_direct_equal);
    fetcher->watches = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                             NULL, close_watch);
    uv_timer_init(loop, &fetcher->timer);
    fetcher->timer.data = fetcher;
    uv_check_init(loop, &fetcher->timeout_check);
    fetcher->timeout_check.data = fetcher;
    uv_idle_init(loop, &fetcher->timeout_idle);
    fetcher->timeout_idle.data = fetcher;
    curl_multi_setopt(fetcher->multi, CURLMOPT_SOCKETFUNCTION,
                      on_socket_interest);
    curl_multi_setopt(fetcher->multi, CURLMOPT_SOCKETDATA, fetcher);
    curl_multi_setopt(fetcher->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
    curl_multi_setopt(fetcher->multi, CURLMOPT_TIMERDATA, fetcher);
    curl_multi_setopt(fetcher->multi, CURLMOPT_MAXCONNECTS,
                      POOLED_CONNECTIONS_MAX);
    return fetcher;
}

static void
add_header(struct transfer *transfer, const char *name, const char *value)
{
    char *line = g_strdup_printf("%s: %s", name, value);

    transfer->headers = curl_slist_append(transfer->headers, line);
    g_free(line);
}

static void
set_request_headers(struct transfer *transfer,
                    const struct fetch_request *request)
{
    add_header(transfer, "Expect", "");
    if (request->content_type != NULL && request->content_type[0] != '\0') {
        add_header(transfer, "Content-Type", request->content_type);
    }
    else {
        add_header(transfer, "Content-Type", "");
    }
    if (request->request_id != NULL) {
        add_header(transfer, "X-Request-Id", request->request_id);
    }
    if (request->bearer_token != NULL) {
        char *value = g_strdup_printf("Bearer %s", request->bearer_token);

        add_header(transfer, "Authorization", value);
        g_free(value);
    }
    for (const char *const *header = request->headers;
         header != NULL && header[0] != NULL; header += 2) {
        add_header(transfer, header[0], header[1]);
    }
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
}

/* libcurl cannot rewind a body that it reads through this callback, and so
 * does not resend the request by itself when a pooled connection fails. The
 * second copy might reach a process that has since been started in place of
 * the intended one. */
static size_t
read_request_body(char *out, size_t size, size_t count, void *ctx)
{
    struct transfer *transfer = ctx;
    size_t bytes =
        MIN(size * count, transfer->request_body_bytes - transfer->sent_bytes);

    memcpy(out, transfer->request_body + transfer->sent_bytes, bytes);
    transfer->sent_bytes += bytes;
    return bytes;
}

static void
set_request_body(struct transfer *transfer,
                 const struct fetch_request *request)
{
    bool bodiless_method = strcmp(request->method, "GET") == 0 ||
                           strcmp(request->method, "HEAD") == 0;

    if (request->body_bytes == 0 && bodiless_method) {
        if (request->method[0] == 'H') {
            curl_easy_setopt(transfer->easy, CURLOPT_NOBODY, 1L);
            transfer->self_delimiting = true;
        }
        return;
    }
    transfer->request_body = g_memdup2(
        request->body_bytes ? request->body : "", MAX(request->body_bytes, 1));
    transfer->request_body_bytes = request->body_bytes;
    curl_easy_setopt(transfer->easy, CURLOPT_POST, 1L);
    curl_easy_setopt(transfer->easy, CURLOPT_READFUNCTION, read_request_body);
    curl_easy_setopt(transfer->easy, CURLOPT_READDATA, transfer);
    curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)request->body_bytes);
    curl_easy_setopt(transfer->easy, CURLOPT_CUSTOMREQUEST, request->method);
}

static curl_socket_t
open_socket(void *ctx, curlsocktype purpose, struct curl_sockaddr *address)
{
    struct transfer *transfer = ctx;
    const struct sockaddr *source = (const struct sockaddr *)&transfer->source;
    curl_socket_t fd = socket(
        address->family, address->socktype | SOCK_CLOEXEC, address->protocol);

    (void)purpose;
    transfer->opened_connection = true;
    if (fd >= 0 && source->sa_family == address->family &&
        bind(fd, source, sizeof(transfer->source)) != 0) {
        log_info(LOG_HTTP, "a connection comes from any address: %s",
                 g_strerror(errno));
    }
    return fd;
}

/* Called by libcurl before it sends the request, with the chosen connection:
 * aborts the transfer if the connection is too new for opened_before_ms. */
static int
check_connection(void *ctx, char *remote, char *local, int remote_port,
                 int local_port)
{
    struct transfer *transfer = ctx;
    GHashTable *opened_at_ms = transfer->fetcher->opened_at_ms;
    gpointer port = GINT_TO_POINTER(local_port);

    (void)remote;
    (void)local;
    (void)remote_port;
    if (transfer->opened_connection) {
        g_hash_table_insert(opened_at_ms, port,
                            GSIZE_TO_POINTER(clock_mono_ms()));
    }
    if (transfer->opened_before_ms != 0 &&
        GPOINTER_TO_SIZE(g_hash_table_lookup(opened_at_ms, port)) >=
            transfer->opened_before_ms) {
        return CURL_PREREQFUNC_ABORT;
    }
    return CURL_PREREQFUNC_OK;
}

static CURL *
acquire_handle(struct fetcher *fetcher)
{
    if (fetcher->spare_handles->len == 0) {
        return curl_easy_init();
    }
    return g_ptr_array_remove_index_fast(fetcher->spare_handles,
                                         fetcher->spare_handles->len - 1);
}

void
fetch(struct fetcher *fetcher, const struct fetch_request *request,
      fetch_done done, void *ctx)
{
    struct transfer *transfer;
    CURL *easy;

    if (plain_client_accepts(request->url)) {
        plain_client_fetch(fetcher->plain, request, done, ctx);
        return;
    }
    transfer = g_new0(struct transfer, 1);
    easy = acquire_handle(fetcher);
    transfer->fetcher = fetcher;
    transfer->easy = easy;
    transfer->response_body = g_byte_array_new();
    transfer->response_max_bytes = request->response_max_bytes;
    transfer->request_id = g_strdup(request->request_id);
    transfer->started_ms = clock_mono_ms();
    transfer->opened_before_ms = request->opened_before_ms;
    if (request->source != NULL) {
        uv_ip4_addr(request->source, 0, &transfer->source);
    }
    transfer->done = done;
    transfer->ctx = ctx;
    curl_easy_setopt(easy, CURLOPT_URL, request->url);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, check_connection);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, fetcher);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_response_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_response_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     (long)MAX(request->timeout_ms, 1));
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    if (request->connect_timeout_ms > 0) {
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         (long)request->connect_timeout_ms);
    }
    if (request->no_resend) {
        /* When a pooled connection fails, libcurl may resend the request. */
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    set_request_headers(transfer, request);
    set_request_body(transfer, request);
    g_hash_table_add(fetcher->transfers, transfer);
    curl_multi_add_handle(fetcher->multi, easy);
}

void
fetcher_set_connections_max(struct fetcher *fetcher, uint32_t connections_max)
{
    plain_client_set_connections_max(fetcher->plain, connections_max);
}

void
fetcher_set_bodies_max(struct fetcher *fetcher, uint64_t max_bytes)
{
    plain_client_set_bodies_max(fetcher->plain, max_bytes);
}

uint64_t
fetcher_dropped(const struct fetcher *fetcher)
{
    return plain_client_dropped(fetcher->plain);
}

uint64_t
fetcher_refused(const struct fetcher *fetcher)
{
    return plain_client_refused(fetcher->plain);
}

uint32_t
fetcher_in_flight(const struct fetcher *fetcher)
{
    return g_hash_table_size(fetcher->transfers) +
           plain_client_in_flight(fetcher->plain);
}

uint64_t
fetcher_connections_opened(const struct fetcher *fetcher)
{
    return plain_client_opened(fetcher->plain);
}

static void
on_fetcher_closed(uv_handle_t *handle)
{
    struct fetcher *fetcher = handle->data;

    if (--fetcher->open_handles == 0) {
        g_free(fetcher);
    }
}

void
fetcher_free(struct fetcher *fetcher)
{
    if (fetcher == NULL) {
        return;
    }
    plain_client_free(fetcher->plain);
    g_hash_table_destroy(fetcher->transfers);
    for (guint i = 0; i < fetcher->spare_handles->len; i++) {
        curl_easy_cleanup(fetcher->spare_handles->pdata[i]);
    }
    g_ptr_array_free(fetcher->spare_handles, TRUE);
    curl_multi_cleanup(fetcher->multi);
    g_hash_table_destroy(fetcher->watches);
    g_hash_table_destroy(fetcher->opened_at_ms);
    uv_timer_stop(&fetcher->timer);
    uv_close((uv_handle_t *)&fetcher->timeout_check, on_fetcher_closed);
    uv_close((uv_handle_t *)&fetcher->timeout_idle, on_fetcher_closed);
    uv_close((uv_handle_t *)&fetcher->timer, on_fetcher_closed);
}
