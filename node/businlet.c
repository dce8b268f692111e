/* businlet.c -- connections that other hosts open to the bus */
#include "node/businlet.h"

#include <glib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include "base/log.h"
#include "core/msg.h"
#include "node/clock.h"
#include "node/zmtp.h"

#define CHUNKS_MAX 1 /* read ahead by ZeroMQ, for each connection */
#define BATCH 256    /* chunks or messages handled before other events */
#define ROUTING_ID_BYTES 5u
#define HANDSHAKE_MAX_MS 2000u
#define HANDSHAKE_CHECK_MS 500
#define OUTGOING_MAX 4096u /* messages that wait to be sent */
#define FORMER_MAX 256u
#define MESSAGE_BYTES 128u /* what a message takes beside its bytes */
#define UNSENT_MAX 256     /* of them and pongs, for each connection */

struct inlet_connection {
    uint8_t routing_id[ROUTING_ID_BYTES];
    uint32_t number; /* within routing_id */
    int fd;
    struct zmtp zmtp;
    uint64_t opened_ms;
    uint64_t held_ms; /* since when it has held anything */
    bool is_closed;   /* and to be removed */
};

struct inlet_message {
    char host[ZMTP_PEER_BYTES]; /* its sender or receiver */
    uint8_t *data;
    uint32_t size_bytes;
};

struct bus_inlet {
    uv_async_t async; /* messages wait for the loop */
    void *socket;
    uint16_t port;
    struct bus_guard *guard;
    struct bus_inlet_ops ops;
    GThread *thread;
    int wake_fd; /* of the thread, an eventfd */

    /* Used by the thread. */
    GHashTable *connections;     /* number to inlet_connection */
    GPtrArray *closed;           /* of them */
    uint32_t unready;            /* of them, without a complete handshake */
    uint32_t former[FORMER_MAX]; /* numbers of some that were removed */
    uint32_t former_count;       /* of all that were */

    GMutex mutex;      /* of what follows */
    GHashTable *hosts; /* name to the newest inlet_connection */
    GQueue received;   /* struct inlet_message, for the loop */
    GQueue outgoing;   /* struct inlet_message, for the thread */
    struct bus_inlet_counters counters;
    bool is_stopping;
};

static uint64_t
message_room(const struct inlet_message *message)
{
    return message->size_bytes + MESSAGE_BYTES;
}

static void
free_message(void *item)
{
    struct inlet_message *message = item;

    g_free(message->data);
    g_free(message);
}

static void
free_connection(void *item)
{
    struct inlet_connection *connection = item;

    zmtp_clear(&connection->zmtp);
    g_free(connection);
}

static void
wake_thread(const struct bus_inlet *inlet)
{
    if (eventfd_write(inlet->wake_fd, 1) != 0) {
        log_warn(LOG_BUS, "the inlet's thread cannot be woken");
    }
}

/* ZeroMQ numbers connections in the order in which they were opened. */
static uint32_t
connection_number(const uint8_t routing_id[ROUTING_ID_BYTES])
{
    uint32_t number;

    memcpy(&number, routing_id + ROUTING_ID_BYTES - sizeof(number),
           sizeof(number));
    return g_ntohl(number);
}

/* Sends bytes as they are. Returns false if the connection is gone, or what it
 * has not read yet fills its queue. */
static bool
send_bytes(const struct bus_inlet *inlet,
           const struct inlet_connection *connection, const uint8_t *data,
           uint32_t size_bytes)
{
    return zmq_send(inlet->socket, connection->routing_id, ROUTING_ID_BYTES,
                    ZMQ_DONTWAIT | ZMQ_SNDMORE) >= 0 &&
           zmq_send(inlet->socket, data, size_bytes, ZMQ_DONTWAIT) >= 0;
}

/* Notes what a connection holds now, after it held before_bytes. */
static void
note_held(struct bus_inlet *inlet, struct inlet_connection *connection,
          uint32_t before_bytes)
{
    const uint32_t held_bytes = connection->zmtp.room_bytes;

    if (held_bytes != before_bytes) {
        g_mutex_lock(&inlet->mutex);
        inlet->counters.partial_bytes += held_bytes;
        inlet->counters.partial_bytes -= before_bytes;
        g_mutex_unlock(&inlet->mutex);
    }
    if (held_bytes == 0) {
        connection->held_ms = clock_mono_ms();
    }
}

static void
clear_held(struct bus_inlet *inlet, struct inlet_connection *connection)
{
    const uint32_t before_bytes = connection->zmtp.room_bytes;

    zmtp_clear(&connection->zmtp);
    note_held(inlet, connection, before_bytes);
}

/* The host of a connection can no longer be reached through it. */
static void
forget_host(struct bus_inlet *inlet, const struct inlet_connection *connection)
{
    const char *host = connection->zmtp.peer;

    g_mutex_lock(&inlet->mutex);
    if (g_hash_table_lookup(inlet->hosts, host) == connection) {
        g_hash_table_remove(inlet->hosts, host);
    }
    g_mutex_unlock(&inlet->mutex);
}

static void
remove_connection(struct bus_inlet *inlet, struct inlet_connection *connection)
{
    inlet->unready -= !connection->zmtp.is_ready;
    clear_held(inlet, connection);
    forget_host(inlet, connection);
    if (connection->is_closed) {
        g_ptr_array_remove_fast(inlet->closed, connection);
    }
    g_hash_table_remove(inlet->connections,
                        GUINT_TO_POINTER(connection->number));
}

/* It is removed by remove_closed(), as the caller may still use it. */
static void
close_connection(struct bus_inlet *inlet, struct inlet_connection *connection)
{
    if (connection->is_closed) {
        return;
    }
    connection->is_closed = true;
    g_ptr_array_add(inlet->closed, connection);
    clear_held(inlet, connection);
    forget_host(inlet, connection);
    if (inlet->guard != NULL) {
        bus_guard_forget(inlet->guard, connection->fd);
    }
    /* An empty message closes the connection. */
    if (!send_bytes(inlet, connection, NULL, 0)) {
        bus_shut_down_connection(connection->fd, inlet->port);
    }
}

static void
note_former(struct bus_inlet *inlet, uint32_t number)
{
    inlet->former[inlet->former_count++ % FORMER_MAX] = number;
}

static void
remove_closed(struct bus_inlet *inlet)
{
    while (inlet->closed->len > 0) {
        struct inlet_connection *connection =
            inlet->closed->pdata[inlet->closed->len - 1];

        note_former(inlet, connection->number);
        remove_connection(inlet, connection);
    }
}

static struct inlet_connection *
find_heaviest(const struct bus_inlet *inlet, uint64_t now_ms)
{
    struct inlet_connection *found = NULL;
    uint64_t found_weight = 0;
    GHashTableIter iter;
    struct inlet_connection *connection;

    g_hash_table_iter_init(&iter, inlet->connections);
    while (
        g_hash_table_iter_next(&iter, NULL, (gpointer *)(void *)&connection)) {
        const uint64_t weight = entry_input_weight(
            connection->zmtp.room_bytes, now_ms - connection->held_ms);

        if (weight > found_weight) {
            found = connection;
            found_weight = weight;
        }
    }
    return found;
}

/* Workload: connections with messages that never end, beside those of hosts.
 */
static void
make_room(struct bus_inlet *inlet, uint32_t growth_bytes)
{
    const uint64_t now_ms = clock_mono_ms();
    /* Only this thread changes the number. */
    const uint64_t *partial_bytes = &inlet->counters.partial_bytes;

    while (inlet->counters.partial_max_bytes != 0 && *partial_bytes > 0 &&
           *partial_bytes + growth_bytes > inlet->counters.partial_max_bytes) {
        close_connection(inlet, find_heaviest(inlet, now_ms));
        g_mutex_lock(&inlet->mutex);
        inlet->counters.closed++;
        g_mutex_unlock(&inlet->mutex);
    }
}

static void
queue_message(struct bus_inlet *inlet, struct inlet_connection *connection)
{
    struct inlet_message *message = g_new0(struct inlet_message, 1);

    message->data =
        zmtp_steal_message(&connection->zmtp, &message->size_bytes);
    g_strlcpy(message->host, connection->zmtp.peer, sizeof(message->host));
    if (inlet->guard != NULL) {
        bus_guard_note_message(inlet->guard, connection->fd);
    }
    g_mutex_lock(&inlet->mutex);
    inlet->counters.waiting_bytes += message_room(message);
    g_queue_push_tail(&inlet->received, message);
    g_mutex_unlock(&inlet->mutex);
    uv_async_send(&inlet->async);
}

/* A host that connects again takes over from its earlier connection. */
static void
accept_host(struct bus_inlet *inlet, struct inlet_connection *connection)
{
    struct inlet_connection *earlier;

    inlet->unready--;
    if (connection->zmtp.peer[0] == '\0') {
        return;
    }
    g_mutex_lock(&inlet->mutex);
    earlier = g_hash_table_lookup(inlet->hosts, connection->zmtp.peer);
    g_hash_table_replace(inlet->hosts, connection->zmtp.peer, connection);
    g_mutex_unlock(&inlet->mutex);
    if (earlier != NULL) {
        close_connection(inlet, earlier);
    }
}

static void
handle_event(struct bus_inlet *inlet, struct inlet_connection *connection,
             enum zmtp_event event)
{
    uint8_t answer[ZMTP_ANSWER_BYTES];

    switch (event) {
    case ZMTP_MORE:
        break;
    case ZMTP_READY:
        accept_host(inlet, connection);
        break;
    case ZMTP_MESSAGE:
        queue_message(inlet, connection);
        break;
    case ZMTP_PING:
        send_bytes(inlet, connection, answer,
                   zmtp_pong(&connection->zmtp, answer));
        break;
    case ZMTP_ERROR:
        g_mutex_lock(&inlet->mutex);
        inlet->counters.malformed++;
        g_mutex_unlock(&inlet->mutex);
        close_connection(inlet, connection);
        break;
    }
}

static void
take_chunk(struct bus_inlet *inlet, struct inlet_connection *connection,
           const uint8_t *data, size_t size_bytes)
{
    while (size_bytes > 0 && !connection->is_closed) {
        uint32_t before_bytes;
        size_t used_bytes;
        enum zmtp_event event;

        make_room(inlet, zmtp_growth_bytes(&connection->zmtp, size_bytes));
        if (connection->is_closed) {
            return;
        }
        before_bytes = connection->zmtp.room_bytes;
        event = zmtp_take(&connection->zmtp, data, size_bytes, &used_bytes);
        data += used_bytes;
        size_bytes -= used_bytes;
        if (event == ZMTP_MESSAGE) {
            handle_event(inlet, connection, event);
            event = ZMTP_MORE;
        }
        note_held(inlet, connection, before_bytes);
        handle_event(inlet, connection, event);
    }
}

static bool
is_former(const struct bus_inlet *inlet, uint32_t number)
{
    for (uint32_t i = 0; i < MIN(inlet->former_count, FORMER_MAX); i++) {
        if (inlet->former[i] == number) {
            return true;
        }
    }
    return false;
}

static struct inlet_connection *
find_by_fd(const struct bus_inlet *inlet, int fd)
{
    GHashTableIter iter;
    struct inlet_connection *connection;

    g_hash_table_iter_init(&iter, inlet->connections);
    while (
        g_hash_table_iter_next(&iter, NULL, (gpointer *)(void *)&connection)) {
        if (connection->fd == fd) {
            return connection;
        }
    }
    return NULL;
}

/* A descriptor belongs to the newest of its connections: ZeroMQ loses the end
 * of one of which too many chunks are unread, and hands over connections in
 * any order. Returns whether this one is the newest. */
static bool
displace_former(struct bus_inlet *inlet, uint32_t number, int fd)
{
    struct inlet_connection *other = find_by_fd(inlet, fd);
    bool is_newest;

    if (other == NULL) {
        return true;
    }
    is_newest = (int32_t)(number - other->number) > 0;
    note_former(inlet, is_newest ? other->number : number);
    if (is_newest) {
        remove_connection(inlet, other);
    }
    return is_newest;
}

static void
add_connection(struct bus_inlet *inlet,
               const uint8_t routing_id[ROUTING_ID_BYTES], int fd)
{
    const uint32_t number = connection_number(routing_id);
    struct inlet_connection *connection;
    uint8_t hello[ZMTP_ANSWER_BYTES];

    if (!displace_former(inlet, number, fd)) {
        return;
    }
    connection = g_new0(struct inlet_connection, 1);
    memcpy(connection->routing_id, routing_id, ROUTING_ID_BYTES);
    connection->number = number;
    connection->fd = fd;
    connection->opened_ms = clock_mono_ms();
    connection->held_ms = connection->opened_ms;
    zmtp_init(&connection->zmtp, MSG_MAX_BYTES);
    inlet->unready++;
    g_hash_table_insert(inlet->connections, GUINT_TO_POINTER(number),
                        connection);
    send_bytes(inlet, connection, hello, zmtp_hello(hello));
}

/* An empty chunk tells that a connection was opened or has ended. What still
 * comes from one that was removed is discarded. */
static void
handle_chunk(struct bus_inlet *inlet,
             const uint8_t routing_id[ROUTING_ID_BYTES], zmq_msg_t *chunk)
{
    const uint32_t number = connection_number(routing_id);
    struct inlet_connection *connection =
        g_hash_table_lookup(inlet->connections, GUINT_TO_POINTER(number));

    if (connection == NULL) {
        if (zmq_msg_size(chunk) == 0 && !is_former(inlet, number)) {
            add_connection(inlet, routing_id, zmq_msg_get(chunk, ZMQ_SRCFD));
        }
    }
    else if (zmq_msg_size(chunk) == 0) {
        remove_connection(inlet, connection);
    }
    else {
        take_chunk(inlet, connection, zmq_msg_data(chunk),
                   zmq_msg_size(chunk));
    }
}

/* Returns false when there is none. */
static bool
receive_chunk(struct bus_inlet *inlet)
{
    uint8_t routing_id[ROUTING_ID_BYTES];
    zmq_msg_t chunk;

    if (zmq_recv(inlet->socket, routing_id, sizeof(routing_id),
                 ZMQ_DONTWAIT) != (int)ROUTING_ID_BYTES) {
        return false;
    }
    zmq_msg_init(&chunk);
    zmq_msg_recv(&chunk, inlet->socket, 0);
    handle_chunk(inlet, routing_id, &chunk);
    zmq_msg_close(&chunk);
    remove_closed(inlet);
    return true;
}

static void
close_late_handshakes(struct bus_inlet *inlet)
{
    const uint64_t now_ms = clock_mono_ms();
    GHashTableIter iter;
    struct inlet_connection *connection;

    g_hash_table_iter_init(&iter, inlet->connections);
    while (
        g_hash_table_iter_next(&iter, NULL, (gpointer *)(void *)&connection)) {
        if (!connection->zmtp.is_ready &&
            now_ms >= connection->opened_ms + HANDSHAKE_MAX_MS) {
            close_connection(inlet, connection);
        }
    }
    remove_closed(inlet);
}

static void
send_message(struct bus_inlet *inlet, const struct inlet_message *message)
{
    const struct inlet_connection *connection;
    uint8_t *frame = g_malloc(ZMTP_HEAD_BYTES + message->size_bytes);
    const uint32_t head_bytes = zmtp_message_head(message->size_bytes, frame);

    g_mutex_lock(&inlet->mutex);
    connection = g_hash_table_lookup(inlet->hosts, message->host);
    g_mutex_unlock(&inlet->mutex);
    memcpy(frame + head_bytes, message->data, message->size_bytes);
    if (connection != NULL) {
        send_bytes(inlet, connection, frame, head_bytes + message->size_bytes);
    }
    g_free(frame);
}

static void
send_outgoing(struct bus_inlet *inlet)
{
    struct inlet_message *message;

    do {
        g_mutex_lock(&inlet->mutex);
        message = g_queue_pop_head(&inlet->outgoing);
        g_mutex_unlock(&inlet->mutex);
        if (message != NULL) {
            send_message(inlet, message);
            free_message(message);
        }
    } while (message != NULL);
}

static bool
is_full(const struct bus_inlet *inlet)
{
    return inlet->counters.waiting_max_bytes != 0 &&
           inlet->counters.waiting_bytes >= inlet->counters.waiting_max_bytes;
}

static bool
may_read(struct bus_inlet *inlet)
{
    bool may;

    g_mutex_lock(&inlet->mutex);
    may = !is_full(inlet);
    inlet->counters.pauses += !may;
    g_mutex_unlock(&inlet->mutex);
    return may;
}

/* Returns false once the thread is to end. */
static bool
wait_for_work(struct bus_inlet *inlet)
{
    zmq_pollitem_t items[] = {{.fd = inlet->wake_fd, .events = ZMQ_POLLIN},
                              {.socket = inlet->socket, .events = ZMQ_POLLIN}};
    eventfd_t wakes;
    bool goes_on;

    zmq_poll(items, may_read(inlet) ? 2 : 1,
             inlet->unready > 0 ? HANDSHAKE_CHECK_MS : -1);
    eventfd_read(inlet->wake_fd, &wakes); /* fails if there was none */
    g_mutex_lock(&inlet->mutex);
    goes_on = !inlet->is_stopping;
    g_mutex_unlock(&inlet->mutex);
    return goes_on;
}

static gpointer
run_inlet(gpointer data)
{
    struct bus_inlet *inlet = data;

    while (wait_for_work(inlet)) {
        send_outgoing(inlet);
        for (int i = 0; i < BATCH && may_read(inlet) && receive_chunk(inlet);
             i++) {
        }
        if (inlet->unready > 0) {
            close_late_handshakes(inlet);
        }
    }
    return NULL;
}

static struct inlet_message *
take_received(struct bus_inlet *inlet)
{
    struct inlet_message *message;
    bool was_full;

    g_mutex_lock(&inlet->mutex);
    was_full = is_full(inlet);
    message = g_queue_pop_head(&inlet->received);
    if (message != NULL) {
        inlet->counters.waiting_bytes -= message_room(message);
    }
    if (was_full && !is_full(inlet)) {
        wake_thread(inlet);
    }
    g_mutex_unlock(&inlet->mutex);
    return message;
}

static void
on_async(uv_async_t *async)
{
    struct bus_inlet *inlet = async->data;
    struct inlet_message *message = NULL;

    for (int i = 0; i < BATCH && (message = take_received(inlet)) != NULL;
         i++) {
        inlet->ops.on_message(inlet->ops.ctx, message->host, message->data,
                              message->size_bytes);
        free_message(message);
    }
    if (message != NULL) {
        uv_async_send(async); /* there may be more */
    }
}

void
bus_inlet_prepare(void *socket)
{
    const int chunks_max = CHUNKS_MAX;
    const int unsent_max = UNSENT_MAX;

    zmq_setsockopt(socket, ZMQ_RCVHWM, &chunks_max, sizeof(chunks_max));
    zmq_setsockopt(socket, ZMQ_SNDHWM, &unsent_max, sizeof(unsent_max));
}

struct bus_inlet *
bus_inlet_new(uv_loop_t *loop, void *socket, uint16_t port,
              const struct entry_bus_bounds *bounds, struct bus_guard *guard,
              const struct bus_inlet_ops *ops)
{
    struct bus_inlet *inlet = g_new0(struct bus_inlet, 1);

    inlet->socket = socket;
    inlet->port = port;
    inlet->counters.partial_max_bytes = bounds->partial_bytes;
    inlet->counters.waiting_max_bytes = bounds->waiting_bytes;
    inlet->guard = guard;
    inlet->ops = *ops;
    inlet->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    inlet->connections = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                               NULL, free_connection);
    inlet->closed = g_ptr_array_new();
    inlet->hosts = g_hash_table_new(g_str_hash, g_str_equal);
    g_mutex_init(&inlet->mutex);
    uv_async_init(loop, &inlet->async, on_async);
    inlet->async.data = inlet;
    inlet->thread = g_thread_new("bus-inlet", run_inlet, inlet);
    return inlet;
}

bool
bus_inlet_send(struct bus_inlet *inlet, const char *host,
               const struct fp_blob *blob)
{
    bool can_send;

    g_mutex_lock(&inlet->mutex);
    can_send = g_hash_table_contains(inlet->hosts, host) &&
               g_queue_get_length(&inlet->outgoing) < OUTGOING_MAX;
    if (can_send) {
        struct inlet_message *message = g_new0(struct inlet_message, 1);

        g_strlcpy(message->host, host, sizeof(message->host));
        message->data = g_memdup2(blob->data, blob->size_bytes);
        message->size_bytes = (uint32_t)blob->size_bytes;
        g_queue_push_tail(&inlet->outgoing, message);
    }
    g_mutex_unlock(&inlet->mutex);
    if (can_send) {
        wake_thread(inlet);
    }
    return can_send;
}

struct bus_inlet_counters
bus_inlet_counters(struct bus_inlet *inlet)
{
    struct bus_inlet_counters counters;

    g_mutex_lock(&inlet->mutex);
    counters = inlet->counters;
    g_mutex_unlock(&inlet->mutex);
    return counters;
}

static void
on_async_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

void
bus_inlet_free(struct bus_inlet *inlet)
{
    if (inlet == NULL) {
        return;
    }
    g_mutex_lock(&inlet->mutex);
    inlet->is_stopping = true;
    g_mutex_unlock(&inlet->mutex);
    wake_thread(inlet);
    g_thread_join(inlet->thread);
    close(inlet->wake_fd);
    g_queue_clear_full(&inlet->received, free_message);
    g_queue_clear_full(&inlet->outgoing, free_message);
    g_hash_table_destroy(inlet->hosts);
    g_ptr_array_free(inlet->closed, TRUE);
    g_hash_table_destroy(inlet->connections);
    g_mutex_clear(&inlet->mutex);
    uv_close((uv_handle_t *)&inlet->async, on_async_closed);
}
