/* httpconn.c -- the connections of an HTTP server, and what they hold */
#include "node/httpconn.h"

#include <sys/socket.h>

/* A read gets at least this much room. */
#define READ_BYTES_MIN 4096u

static void
set_queued(GQueue *queue, GList *link, void *item, bool is_queued)
{
    if (is_queued == (link->data != NULL)) {
        return;
    }
    if (is_queued) {
        link->data = item;
        g_queue_push_tail_link(queue, link);
    }
    else {
        g_queue_unlink(queue, link);
        link->data = NULL;
    }
}

static void
set_idle(struct client_conn *conn, bool is_idle)
{
    set_queued(&conn->conns->idle, &conn->idle_link, conn, is_idle);
}

static bool
is_open(const struct client_conn *conn)
{
    return conn->socket != NULL && conn->socket->input != NULL &&
           !uv_is_closing((const uv_handle_t *)&conn->tcp);
}

static void
count_input(struct client_conn *conn)
{
    const uint64_t bytes = is_open(conn) ? conn->socket->input->size : 0;

    if (bytes == 0 || conn->input_bytes == 0) {
        conn->input_since_ms = uv_now(conn->conns->loop);
    }
    conn->conns->input_bytes += bytes - conn->input_bytes;
    conn->input_bytes = bytes;
}

static void
count_answer(struct client_conn *conn, uint64_t bytes)
{
    conn->conns->answer_bytes += bytes - conn->answer_bytes;
    conn->answer_bytes = bytes;
}

static void
set_sending(struct client_conn *conn, bool is_sending)
{
    conn->sending_since_ms = uv_now(conn->conns->loop);
    set_queued(&conn->conns->sending, &conn->sending_link, conn, is_sending);
}

static void
on_conn_closed(uv_handle_t *handle)
{
    struct client_conn *conn = (struct client_conn *)handle;

    if (conn->socket != NULL) {
        g_hash_table_remove(conn->conns->sockets, conn->socket);
        conn->socket = NULL;
        count_input(conn);
        count_answer(conn, 0);
        set_sending(conn, false);
        conn->conns->ending -= conn->is_ending;
        set_idle(conn, false);
        set_queued(&conn->conns->answered, &conn->answered_link, conn, false);
    }
    g_free(conn);
}

/* Ends a connection that has no unanswered request, as if its client had
 * closed it: h2o frees a connection only in an event of its socket. Returns
 * false when the socket does not read. */
static bool
close_idle(struct client_conn *conn)
{
    h2o_socket_t *socket = conn->socket;

    if (!is_open(conn) || socket->_cb.read == NULL) {
        return false;
    }
    set_idle(conn, false);
    socket->_cb.read(socket, "closed to make room");
    count_input(conn);
    return true;
}

/* Workload: clients that send large requests slowly, or never to the end.
 * Returns the connection without an unanswered request whose input is the most
 * in the way, or NULL. */
static struct client_conn *
find_largest_input(const struct httpconns *conns)
{
    const uint64_t now_ms = uv_now(conns->loop);
    struct client_conn *found = NULL;
    uint64_t found_weight = 0;

    for (const GList *link = conns->idle.head; link != NULL;
         link = link->next) {
        struct client_conn *conn = link->data;
        const uint64_t weight = entry_input_weight(
            conn->input_bytes, now_ms - conn->input_since_ms);

        if (weight > found_weight && is_open(conn) &&
            conn->socket->_cb.read != NULL) {
            found = conn;
            found_weight = weight;
        }
    }
    return found;
}

/* Closes others until the input has room for that many bytes. Returns false
 * if the connection that asks is the next that would be closed, or if there is
 * none. */
static bool
make_input_room(struct httpconns *conns, const struct client_conn *for_conn,
                uint64_t bytes)
{
    while (conns->input_bytes + bytes > conns->bounds.partial_bytes) {
        struct client_conn *conn = find_largest_input(conns);

        if (conn == NULL || conn == for_conn || !close_idle(conn)) {
            return false;
        }
        httpconns_count(conns, &conns->counters.closed_partial);
    }
    return true;
}

/* libuv's uv_alloc_cb. A buffer of no size makes the read fail, whereupon h2o
 * closes the connection. */
static void
on_alloc(uv_handle_t *handle, size_t suggested_bytes, uv_buf_t *buffer)
{
    struct client_conn *conn = (struct client_conn *)handle;
    struct httpconns *conns = conn->conns;
    const uint64_t bound = conns->bounds.partial_bytes;

    if (bound != 0 && !make_input_room(conns, conn, READ_BYTES_MIN)) {
        httpconns_count(conns, &conns->counters.closed_partial);
        *buffer = uv_buf_init(NULL, 0);
        return;
    }
    conn->h2o_alloc(handle, suggested_bytes, buffer);
    if (bound != 0) {
        buffer->len = MIN(buffer->len, bound - conns->input_bytes);
    }
}

static void
on_read(uv_stream_t *stream, ssize_t bytes, const uv_buf_t *buffer)
{
    struct client_conn *conn = (struct client_conn *)stream;

    conn->h2o_read(stream, bytes, buffer);
    count_input(conn);
}

void
httpconns_watch(struct client_conn *conn)
{
    if (is_open(conn) && conn->socket->_cb.read != NULL &&
        conn->tcp.alloc_cb != on_alloc) {
        conn->h2o_alloc = conn->tcp.alloc_cb;
        conn->h2o_read = conn->tcp.read_cb;
        conn->tcp.alloc_cb = on_alloc;
        conn->tcp.read_cb = on_read;
    }
}

/* h2o keeps the buffer of the largest request of a connection. */
static void
release_empty_input(struct client_conn *conn)
{
    if (is_open(conn) && conn->requests == 0 &&
        conn->socket->input->size == 0 && conn->socket->input->bytes != NULL) {
        h2o_buffer_dispose(&conn->socket->input);
        h2o_buffer_init(&conn->socket->input, &h2o_socket_buffer_prototype);
    }
}

/* After the events in which requests ended, h2o reads from their connections
 * with callbacks of its own again. */
static void
on_prepare(uv_prepare_t *prepare)
{
    struct httpconns *conns = prepare->data;

    while (conns->answered.head != NULL) {
        struct client_conn *conn = conns->answered.head->data;

        set_queued(&conns->answered, &conn->answered_link, conn, false);
        httpconns_watch(conn);
        count_input(conn);
        release_empty_input(conn);
    }
}

void
httpconns_init(struct httpconns *conns, uv_loop_t *loop)
{
    conns->loop = loop;
    conns->sockets = g_hash_table_new(g_direct_hash, g_direct_equal);
    uv_prepare_init(loop, &conns->prepare);
    conns->prepare.data = conns;
    uv_prepare_start(&conns->prepare, on_prepare);
    uv_unref((uv_handle_t *)&conns->prepare);
}

void
httpconns_close(struct httpconns *conns)
{
    if (!uv_is_closing((uv_handle_t *)&conns->prepare)) {
        uv_close((uv_handle_t *)&conns->prepare, NULL);
    }
}

void
httpconns_free(struct httpconns *conns)
{
    g_hash_table_destroy(conns->sockets);
}

/* The connection that has been sending an answer for longest, if that is too
 * long; else NULL. */
static struct client_conn *
find_stalled(const struct httpconns *conns)
{
    struct client_conn *conn = g_queue_peek_head((GQueue *)&conns->sending);

    return conn != NULL && uv_now(conns->loop) >=
                               conn->sending_since_ms + ENTRY_STALLED_MS
               ? conn
               : NULL;
}

/* Workload: clients that keep more connections open than the host has
 * descriptors or memory for. Returns whether a new one is taken. */
static bool
make_room(struct httpconns *conns)
{
    struct client_conn *stalled = find_stalled(conns);
    const struct entry_load load = {.connections =
                                        g_hash_table_size(conns->sockets),
                                    .idle = conns->idle.length,
                                    .has_stalled = stalled != NULL,
                                    .has_ending = conns->ending > 0};

    switch (entry_admit_connection(&conns->bounds, &load)) {
    case ENTRY_TAKE:
        return true;
    case ENTRY_REPLACE_IDLE:
        if (!close_idle(conns->idle.head->data)) {
            return false;
        }
        conns->counters.closed_idle++;
        return true;
    case ENTRY_REPLACE_STALLED:
        httpconns_shut_down(stalled);
        httpconns_count(conns, &conns->counters.closed_unread);
        return true;
    default:
        return false;
    }
}

struct client_conn *
httpconns_accept(struct httpconns *conns, uv_stream_t *listener)
{
    struct client_conn *conn = g_new0(struct client_conn, 1);
    bool is_accepted;

    conn->conns = conns;
    uv_tcp_init(conns->loop, &conn->tcp);
    is_accepted = uv_accept(listener, (uv_stream_t *)&conn->tcp) == 0;
    if (!is_accepted || !make_room(conns)) {
        if (is_accepted) {
            httpconns_count(conns, &conns->counters.closed_new);
        }
        uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
        return NULL;
    }
    uv_tcp_nodelay(&conn->tcp, 1);
    conn->socket =
        h2o_uv_socket_create((uv_stream_t *)&conn->tcp, on_conn_closed);
    g_hash_table_insert(conns->sockets, conn->socket, conn);
    set_idle(conn, true);
    return conn;
}

struct client_conn *
httpconns_find(struct httpconns *conns, const h2o_req_t *req)
{
    return g_hash_table_lookup(conns->sockets,
                               req->conn->callbacks->get_socket(req->conn));
}

void
httpconns_request_began(struct client_conn *conn)
{
    conn->requests++;
    set_idle(conn, false);
}

void
httpconns_request_ended(struct client_conn *conn)
{
    if (--conn->requests == 0) {
        set_idle(conn, true);
    }
    count_answer(conn, 0);
    set_sending(conn, false);
    set_queued(&conn->conns->answered, &conn->answered_link, conn, true);
}

void
httpconns_shut_down(struct client_conn *conn)
{
    uv_os_fd_t fd;

    if (!conn->is_ending && is_open(conn) &&
        uv_fileno((uv_handle_t *)&conn->tcp, &fd) == 0) {
        conn->is_ending = true;
        conn->conns->ending++;
        shutdown(fd, SHUT_RDWR);
    }
}

/* Workload: clients that ask for large answers and do not read them. */
bool
httpconns_take_answer(struct client_conn *conn, uint64_t bytes)
{
    struct httpconns *conns = conn->conns;
    uint64_t ending_bytes = 0;

    if (bytes <= ENTRY_SMALL_ANSWER_BYTES) {
        set_sending(conn, true);
        return true;
    }
    if (entry_takes_answer(&conns->bounds, conns->answer_bytes, bytes)) {
        count_answer(conn, bytes);
        set_sending(conn, true);
        return true;
    }
    for (GList *link = conns->sending.head;
         link != NULL &&
         !entry_takes_answer(&conns->bounds,
                             conns->answer_bytes - ending_bytes, bytes);
         link = link->next) {
        struct client_conn *other = link->data;

        ending_bytes += other->answer_bytes;
        if (other->answer_bytes > 0 && !other->is_ending) {
            httpconns_shut_down(other);
            httpconns_count(conns, &conns->counters.closed_unread);
        }
    }
    return false;
}

void
httpconns_check_input(struct httpconns *conns)
{
    GHashTableIter iter;
    struct client_conn *conn;

    if (conns->bounds.partial_bytes == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, conns->sockets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&conn)) {
        httpconns_watch(conn);
        count_input(conn);
    }
    make_input_room(conns, NULL, 0);
}

void
httpconns_count(struct httpconns *conns, uint64_t *counter)
{
    (*counter)++;
    conns->counters.refused_since_read++;
}
