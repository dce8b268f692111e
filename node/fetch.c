/* fetch.c -- the HTTP client: libcurl's multi interface on libuv */
#include "node/fetch.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "node/clock.h"

/* Idle connections that are kept: a hold and some starts for each of 350
 * targets, well under the 4,096 descriptors of a small host. */
#define KEPT_CONNECTIONS_MAX 1800L
#define SPARE_HANDLES_MAX 256u

struct fetcher {
    uv_loop_t *loop;
    CURLM *multi;
    uv_timer_t timer;
    uv_check_t after_input; /* active while a time-out is due */
    uv_idle_t no_wait;      /* the same */
    bool at_once;           /* the timer stands for a request to begin */
    GHashTable *watches;    /* socket to struct watch */
    GHashTable *transfers;  /* the set of struct transfer */
    GPtrArray *spare;       /* CURL handles for further use */
    /* Local port to the time in ms when its newest connection was opened. */
    GHashTable *opened;
};

struct transfer {
    struct fetcher *fetcher;
    CURL *easy;
    struct curl_slist *headers;
    char *body; /* what is sent */
    size_t body_bytes;
    size_t body_sent;
    char *request_id;
    GByteArray *answer;
    size_t answer_max_bytes;
    bool too_large;
    bool has_length; /* Content-Length or chunked: the end is marked */
    bool crossed;    /* X-Request-Id of another request */
    bool opens;      /* it has opened a connection */
    uint64_t opened_before_ms;
    uint64_t began_ms;
    fetch_done done;
    void *ctx;
};

/* One connection. It is watched for input as long as it is open: libcurl asks
 * anew for each request, and each change would cost a system call. */
struct watch {
    uv_poll_t poll;
    struct fetcher *fetcher;
    curl_socket_t socket;
    int wanted;  /* by libcurl, as UV_READABLE and UV_WRITABLE */
    int watched; /* what the loop watches for */
};

static void
free_transfer(void *item)
{
    struct transfer *transfer = item;

    curl_multi_remove_handle(transfer->fetcher->multi, transfer->easy);
    if (transfer->fetcher->spare->len < SPARE_HANDLES_MAX) {
        curl_easy_reset(transfer->easy);
        g_ptr_array_add(transfer->fetcher->spare, transfer->easy);
    }
    else {
        curl_easy_cleanup(transfer->easy);
    }
    curl_slist_free_all(transfer->headers);
    g_byte_array_free(transfer->answer, TRUE);
    g_free(transfer->body);
    g_free(transfer->request_id);
    g_free(transfer);
}

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
    struct transfer *transfer = ctx;
    size_t bytes = size * count;

    if (transfer->answer->len + bytes > transfer->answer_max_bytes) {
        transfer->too_large = true;
        return 0;
    }
    g_byte_array_append(transfer->answer, (guint8 *)data, (guint)bytes);
    return bytes;
}

/* Reports whether a header line has this name; value is what follows. */
static bool
header_is(const char *line, size_t bytes, const char *name, const char **value,
          size_t *value_bytes)
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
on_header(char *line, size_t size, size_t count, void *ctx)
{
    struct transfer *transfer = ctx;
    size_t bytes = size * count;
    const char *value;
    size_t value_bytes;

    if (header_is(line, bytes, "Content-Length", &value, &value_bytes) ||
        header_is(line, bytes, "Transfer-Encoding", &value, &value_bytes)) {
        transfer->has_length = true;
    }
    if (transfer->request_id != NULL &&
        header_is(line, bytes, "X-Request-Id", &value, &value_bytes) &&
        (strlen(transfer->request_id) != value_bytes ||
         memcmp(transfer->request_id, value, value_bytes) != 0)) {
        transfer->crossed = true;
    }
    return bytes;
}

/* From libcurl's result to how far the request got. The library counts the
 * bytes of the request that it handed to the socket.
 */
static enum fp_err
kind_of(const struct transfer *transfer, CURLcode code, long status)
{
    long sent = 0;

    curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &sent);
    if (transfer->too_large) {
        return FP_ERR_ANSWER_TOO_LARGE;
    }
    if (code == CURLE_OK) {
        if (transfer->crossed) {
            return FP_ERR_ANSWER_MISMATCH;
        }
        if (!transfer->has_length && status != 204 && status != 304) {
            return FP_ERR_TRUNCATED;
        }
        return FP_OK;
    }
    if (sent == 0) {
        return code == CURLE_OPERATION_TIMEDOUT ? FP_ERR_DEADLINE_EXCEEDED
                                                : FP_ERR_NOT_CONNECTED;
    }
    if (code == CURLE_PARTIAL_FILE ||
        (code == CURLE_RECV_ERROR && transfer->answer->len > 0)) {
        return FP_ERR_TRUNCATED;
    }
    return FP_ERR_MAY_HAVE_RUN;
}

static void
finish(struct transfer *transfer, CURLcode code)
{
    struct fetch_answer answer = {.body = transfer->answer->data,
                                  .body_bytes = transfer->answer->len};
    long status = 0;
    char *type = NULL;
    fetch_done done = transfer->done;
    void *ctx = transfer->ctx;

    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(transfer->easy, CURLINFO_CONTENT_TYPE, &type);
    answer.err = kind_of(transfer, code, status);
    answer.status = (uint32_t)status;
    answer.content_type = type == NULL ? "" : type;
    answer.took_ms = (uint32_t)(clock_mono_ms() - transfer->began_ms);
    g_hash_table_steal(transfer->fetcher->transfers, transfer);
    done(ctx, &answer);
    free_transfer(transfer);
}

static void
collect(struct fetcher *fetcher)
{
    CURLMsg *msg;
    int left;

    while ((msg = curl_multi_info_read(fetcher->multi, &left)) != NULL) {
        struct transfer *transfer = NULL;

        if (msg->msg == CURLMSG_DONE) {
            CURLcode code = msg->data.result;

            curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &transfer);
            finish(transfer, code);
        }
    }
}

static void on_socket(uv_poll_t *poll, int status, int events);

static void
watch_for(struct watch *watch, int events)
{
    if (watch->watched == events) {
        return;
    }
    watch->watched = events;
    if (events == 0) {
        uv_poll_stop(&watch->poll);
    }
    else {
        uv_poll_start(&watch->poll, events, on_socket);
    }
}

static void
on_socket(uv_poll_t *poll, int status, int events)
{
    struct watch *watch = poll->data;
    struct fetcher *fetcher = watch->fetcher;
    int flags = 0;
    int running;

    if (watch->wanted == 0) {
        watch_for(watch, 0); /* an idle connection was closed from afar */
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
    collect(fetcher);
}

static void
free_watch(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
close_watch(void *item)
{
    struct watch *watch = item;

    uv_poll_stop(&watch->poll);
    uv_close((uv_handle_t *)&watch->poll, free_watch);
}

static int
close_socket(void *ctx, curl_socket_t socket)
{
    struct fetcher *fetcher = ctx;

    g_hash_table_remove(fetcher->watches, GINT_TO_POINTER(socket));
    return close(socket);
}

static int
watch_socket(CURL *easy, curl_socket_t socket, int what, void *ctx,
             void *socket_ctx)
{
    struct fetcher *fetcher = ctx;
    struct watch *watch =
        g_hash_table_lookup(fetcher->watches, GINT_TO_POINTER(socket));
    int rc;

    (void)easy;
    (void)socket_ctx;
    if (what == CURL_POLL_REMOVE) {
        if (watch != NULL && (watch->wanted & UV_WRITABLE) != 0) {
            /* Not connected: libcurl closes such a socket on its own. */
            g_hash_table_remove(fetcher->watches, GINT_TO_POINTER(socket));
        }
        else if (watch != NULL) {
            watch->wanted = 0;
            watch_for(watch, watch->watched & UV_READABLE);
        }
        return 0;
    }
    if (watch == NULL) {
        watch = g_new0(struct watch, 1);
        watch->fetcher = fetcher;
        watch->socket = socket;
        rc = uv_poll_init_socket(fetcher->loop, &watch->poll, socket);
        if (rc != 0) {
            log_warn(LOG_HTTP, "socket %d cannot be watched: %s", (int)socket,
                     uv_strerror(rc));
            g_free(watch);
            return -1;
        }
        watch->poll.data = watch;
        g_hash_table_insert(fetcher->watches, GINT_TO_POINTER(socket), watch);
    }
    watch->wanted = ((what & CURL_POLL_IN) ? UV_READABLE : 0) |
                    ((what & CURL_POLL_OUT) ? UV_WRITABLE : 0);
    watch_for(watch, watch->wanted | UV_READABLE);
    return 0;
}

static void
on_after_input(uv_check_t *check)
{
    struct fetcher *fetcher = check->data;
    int running;

    uv_check_stop(&fetcher->after_input);
    uv_idle_stop(&fetcher->no_wait);
    curl_multi_socket_action(fetcher->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    collect(fetcher);
}

static void
on_no_wait(uv_idle_t *idle)
{
    (void)idle; /* keeps the loop from waiting for input */
}

/* After a pause of this process, answers that came meanwhile are read before
 * any request is called timed out: libuv runs timers first, so that the
 * time-out waits for the input of the same turn. */
static void
on_timer(uv_timer_t *timer)
{
    struct fetcher *fetcher = timer->data;
    int running;

    if (fetcher->at_once) {
        curl_multi_socket_action(fetcher->multi, CURL_SOCKET_TIMEOUT, 0,
                                 &running);
        collect(fetcher);
        return;
    }
    uv_check_start(&fetcher->after_input, on_after_input);
    uv_idle_start(&fetcher->no_wait, on_no_wait);
}

static int
set_timer(CURLM *multi, long timeout_ms, void *ctx)
{
    struct fetcher *fetcher = ctx;

    (void)multi;
    if (timeout_ms < 0) {
        uv_timer_stop(&fetcher->timer);
    }
    else {
        fetcher->at_once = timeout_ms == 0;
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
    fetcher->multi = curl_multi_init();
    fetcher->transfers = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                               free_transfer, NULL);
    fetcher->spare = g_ptr_array_new();
    fetcher->opened = g_hash_table_new(g_direct_hash, g_direct_equal);
    fetcher->watches = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                             NULL, close_watch);
    uv_timer_init(loop, &fetcher->timer);
    fetcher->timer.data = fetcher;
    uv_check_init(loop, &fetcher->after_input);
    fetcher->after_input.data = fetcher;
    uv_idle_init(loop, &fetcher->no_wait);
    curl_multi_setopt(fetcher->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
    curl_multi_setopt(fetcher->multi, CURLMOPT_SOCKETDATA, fetcher);
    curl_multi_setopt(fetcher->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(fetcher->multi, CURLMOPT_TIMERDATA, fetcher);
    curl_multi_setopt(fetcher->multi, CURLMOPT_MAXCONNECTS,
                      KEPT_CONNECTIONS_MAX);
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
set_headers(struct transfer *transfer, const struct fetch_request *request)
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
    if (request->bearer != NULL) {
        char *value = g_strdup_printf("Bearer %s", request->bearer);

        add_header(transfer, "Authorization", value);
        g_free(value);
    }
    for (const char *const *at = request->headers; at != NULL && at[0] != NULL;
         at += 2) {
        add_header(transfer, at[0], at[1]);
    }
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
}

/* A body that is read cannot be rewound. So a request whose kept connection
 * dies is not sent again by libcurl on its own: it might reach a process that
 * was started in place of the one it was meant for. */
static size_t
read_body(char *out, size_t size, size_t count, void *ctx)
{
    struct transfer *transfer = ctx;
    size_t bytes =
        MIN(size * count, transfer->body_bytes - transfer->body_sent);

    memcpy(out, transfer->body + transfer->body_sent, bytes);
    transfer->body_sent += bytes;
    return bytes;
}

static void
set_body(struct transfer *transfer, const struct fetch_request *request)
{
    bool plain_get = strcmp(request->method, "GET") == 0 ||
                     strcmp(request->method, "HEAD") == 0;

    if (request->body_bytes == 0 && plain_get) {
        if (request->method[0] == 'H') {
            curl_easy_setopt(transfer->easy, CURLOPT_NOBODY, 1L);
            transfer->has_length = true;
        }
        return;
    }
    transfer->body = g_memdup2(request->body_bytes ? request->body : "",
                               MAX(request->body_bytes, 1));
    transfer->body_bytes = request->body_bytes;
    curl_easy_setopt(transfer->easy, CURLOPT_POST, 1L);
    curl_easy_setopt(transfer->easy, CURLOPT_READFUNCTION, read_body);
    curl_easy_setopt(transfer->easy, CURLOPT_READDATA, transfer);
    curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)request->body_bytes);
    curl_easy_setopt(transfer->easy, CURLOPT_CUSTOMREQUEST, request->method);
}

static curl_socket_t
open_socket(void *ctx, curlsocktype purpose, struct curl_sockaddr *address)
{
    struct transfer *transfer = ctx;

    (void)purpose;
    transfer->opens = true;
    return socket(address->family, address->socktype | SOCK_CLOEXEC,
                  address->protocol);
}

/* Called by libcurl with the connection that a request is about to use. */
static int
before_request(void *ctx, char *remote, char *local, int remote_port,
               int local_port)
{
    struct transfer *transfer = ctx;
    GHashTable *opened = transfer->fetcher->opened;
    gpointer port = GINT_TO_POINTER(local_port);

    (void)remote;
    (void)local;
    (void)remote_port;
    if (transfer->opens) {
        g_hash_table_insert(opened, port, GSIZE_TO_POINTER(clock_mono_ms()));
    }
    if (transfer->opened_before_ms != 0 &&
        GPOINTER_TO_SIZE(g_hash_table_lookup(opened, port)) >=
            transfer->opened_before_ms) {
        return CURL_PREREQFUNC_ABORT;
    }
    return CURL_PREREQFUNC_OK;
}

static CURL *
take_handle(struct fetcher *fetcher)
{
    if (fetcher->spare->len == 0) {
        return curl_easy_init();
    }
    return g_ptr_array_remove_index_fast(fetcher->spare,
                                         fetcher->spare->len - 1);
}

void
fetch(struct fetcher *fetcher, const struct fetch_request *request,
      fetch_done done, void *ctx)
{
    struct transfer *transfer = g_new0(struct transfer, 1);
    CURL *easy = take_handle(fetcher);

    transfer->fetcher = fetcher;
    transfer->easy = easy;
    transfer->answer = g_byte_array_new();
    transfer->answer_max_bytes = request->answer_max_bytes;
    transfer->request_id = g_strdup(request->request_id);
    transfer->began_ms = clock_mono_ms();
    transfer->opened_before_ms = request->opened_before_ms;
    transfer->done = done;
    transfer->ctx = ctx;
    curl_easy_setopt(easy, CURLOPT_URL, request->url);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_request);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, fetcher);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     (long)MAX(request->timeout_ms, 1));
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    if (request->connect_ms > 0) {
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         (long)request->connect_ms);
    }
    if (request->once) {
        /* On a kept connection that dies, libcurl sends a request again. */
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    set_headers(transfer, request);
    set_body(transfer, request);
    g_hash_table_add(fetcher->transfers, transfer);
    curl_multi_add_handle(fetcher->multi, easy);
}

uint32_t
fetcher_in_flight(const struct fetcher *fetcher)
{
    return g_hash_table_size(fetcher->transfers);
}

static void
free_fetcher(uv_handle_t *handle)
{
    g_free(handle->data);
}

void
fetcher_free(struct fetcher *fetcher)
{
    if (fetcher == NULL) {
        return;
    }
    g_hash_table_destroy(fetcher->transfers);
    for (guint i = 0; i < fetcher->spare->len; i++) {
        curl_easy_cleanup(fetcher->spare->pdata[i]);
    }
    g_ptr_array_free(fetcher->spare, TRUE);
    curl_multi_cleanup(fetcher->multi);
    g_hash_table_destroy(fetcher->watches);
    g_hash_table_destroy(fetcher->opened);
    uv_timer_stop(&fetcher->timer);
    uv_close((uv_handle_t *)&fetcher->after_input, NULL);
    uv_close((uv_handle_t *)&fetcher->no_wait, NULL);
    uv_close((uv_handle_t *)&fetcher->timer, free_fetcher);
}
