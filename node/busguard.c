/* busguard.c -- bounds the connections that others open to the bus */
#include "node/busguard.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <zmq.h>

#include "base/log.h"

#define ENDPOINT "inproc://bus-guard"
#define EVENTS                                                                \
    (ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_CLOSED | ZMQ_EVENT_DISCONNECTED |         \
     ZMQ_EVENT_MONITOR_STOPPED)
/* The first frame of an event: its number and a descriptor. */
#define EVENT_BYTES (sizeof(uint16_t) + sizeof(uint32_t))

struct connection {
    int fd;
    uint64_t accepted; /* rises with each connection */
    uint64_t heard;    /* rises with each message; 0: none yet */
};

struct bus_guard {
    void *socket;
    void *events; /* used by the thread */
    uint16_t port;
    uint32_t connections_max;
    GThread *thread;
    GMutex mutex;            /* of what follows */
    GHashTable *connections; /* descriptor to struct connection */
    uint64_t last_number;    /* of accepted and heard */
    uint64_t closed;
};

bool
bus_shut_down_connection(int fd, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_UNSPEC};
    socklen_t bytes = sizeof(address);

    return getsockname(fd, (struct sockaddr *)&address, &bytes) == 0 &&
           address.sin_family == AF_INET && ntohs(address.sin_port) == port &&
           shutdown(fd, SHUT_RDWR) == 0;
}

static struct connection *
find_least_used(const struct bus_guard *guard)
{
    struct connection *found = NULL;
    GHashTableIter iter;
    struct connection *connection;

    g_hash_table_iter_init(&iter, guard->connections);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&connection)) {
        if (found == NULL || connection->heard < found->heard ||
            (connection->heard == found->heard &&
             connection->accepted < found->accepted)) {
            found = connection;
        }
    }
    return found;
}

/* Workload: processes that are no hosts open connections without end. */
static void
close_excess(struct bus_guard *guard)
{
    while (guard->connections_max != 0 &&
           g_hash_table_size(guard->connections) > guard->connections_max) {
        const struct connection *connection = find_least_used(guard);

        if (bus_shut_down_connection(connection->fd, guard->port)) {
            guard->closed++;
        }
        g_hash_table_remove(guard->connections,
                            GINT_TO_POINTER(connection->fd));
    }
}

static void
add_connection(struct bus_guard *guard, int fd)
{
    struct connection *connection = g_new0(struct connection, 1);

    connection->fd = fd;
    connection->accepted = ++guard->last_number;
    g_hash_table_replace(guard->connections, GINT_TO_POINTER(fd), connection);
    close_excess(guard);
}

/* Returns false once there will be no more. */
static bool
handle_event(struct bus_guard *guard)
{
    uint8_t event[EVENT_BYTES];
    uint16_t number;
    uint32_t fd;
    char address[256];

    if (zmq_recv(guard->events, event, sizeof(event), 0) != (int)EVENT_BYTES) {
        return zmq_errno() == EINTR;
    }
    memcpy(&number, event, sizeof(number));
    memcpy(&fd, event + sizeof(number), sizeof(fd));
    zmq_recv(guard->events, address, sizeof(address), 0);
    if (number == ZMQ_EVENT_MONITOR_STOPPED) {
        return false;
    }
    g_mutex_lock(&guard->mutex);
    if (number == ZMQ_EVENT_ACCEPTED) {
        add_connection(guard, (int)fd);
    }
    else {
        g_hash_table_remove(guard->connections, GINT_TO_POINTER((int)fd));
    }
    g_mutex_unlock(&guard->mutex);
    return true;
}

static gpointer
run_guard(gpointer data)
{
    struct bus_guard *guard = data;

    while (handle_event(guard)) {
    }
    return NULL;
}

struct bus_guard *
bus_guard_new(void *context, void *socket, uint16_t port,
              uint32_t connections_max)
{
    struct bus_guard *guard;
    const int linger_ms = 0;

    if (zmq_socket_monitor(socket, ENDPOINT, EVENTS) != 0) {
        log_warn(LOG_BUS, "connections are not bounded: %s",
                 zmq_strerror(zmq_errno()));
        return NULL;
    }
    guard = g_new0(struct bus_guard, 1);
    guard->socket = socket;
    guard->port = port;
    guard->connections_max = connections_max;
    guard->connections =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    guard->events = zmq_socket(context, ZMQ_PAIR);
    zmq_setsockopt(guard->events, ZMQ_LINGER, &linger_ms, sizeof(linger_ms));
    zmq_connect(guard->events, ENDPOINT);
    g_mutex_init(&guard->mutex);
    guard->thread = g_thread_new("bus-guard", run_guard, guard);
    return guard;
}

void
bus_guard_note_message(struct bus_guard *guard, int fd)
{
    struct connection *connection;

    g_mutex_lock(&guard->mutex);
    connection = g_hash_table_lookup(guard->connections, GINT_TO_POINTER(fd));
    if (connection != NULL) {
        connection->heard = ++guard->last_number;
    }
    g_mutex_unlock(&guard->mutex);
}

void
bus_guard_forget(struct bus_guard *guard, int fd)
{
    g_mutex_lock(&guard->mutex);
    g_hash_table_remove(guard->connections, GINT_TO_POINTER(fd));
    g_mutex_unlock(&guard->mutex);
}

struct bus_guard_counters
bus_guard_counters(struct bus_guard *guard)
{
    struct bus_guard_counters counters;

    g_mutex_lock(&guard->mutex);
    counters = (struct bus_guard_counters){
        .connections = g_hash_table_size(guard->connections),
        .connections_max = guard->connections_max,
        .closed = guard->closed};
    g_mutex_unlock(&guard->mutex);
    return counters;
}

void
bus_guard_free(struct bus_guard *guard)
{
    if (guard != NULL) {
        zmq_socket_monitor(guard->socket, NULL, 0);
        g_thread_join(guard->thread);
        zmq_close(guard->events);
        g_mutex_clear(&guard->mutex);
        g_hash_table_destroy(guard->connections);
        g_free(guard);
    }
}
