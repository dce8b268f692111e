/* bus.c -- typed messages between hosts, over ZeroMQ */
#include "node/bus.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "base/log.h"
#include "node/busguard.h"
#include "node/entry.h"

#define SEND_QUEUE_MAX 4096     /* messages per socket */
#define RECEIVE_QUEUE_MAX 16384 /* messages per socket */
#define RECEIVE_BATCH 256       /* messages handled before other events */
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_FRAMES_MAX 16

/* A process that connects and is no host is closed after this time. */
#define HANDSHAKE_MAX_MS 2000

/* ZeroMQ's pings, which detect dead connections. */
#define SOCKET_PING_INTERVAL_MS 1000
#define SOCKET_PING_TIMEOUT_MS 3000
#define FLEET_SOCKET_PING_INTERVAL_MS 500
#define FLEET_SOCKET_PING_TIMEOUT_MS 1300

/* Pauses between attempts to connect. In a fleet, hosts that restart together
 * find each other by these before they can elect a leader. */
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 500
#define FLEET_RECONNECT_MIN_MS 20
#define FLEET_RECONNECT_MAX_MS 100

struct peer {
    struct bus *bus;
    uv_poll_t poll; /* of dealer, for messages from the host */
    char *host;
    void *dealer;
    bool is_connected;  /* as reported by on_connected() */
    bool was_connected; /* at any time */
    bool drop_sent;
    bool drop_received;
};

struct bus {
    uv_loop_t *loop;
    const struct settings *settings;
    struct bus_ops ops;
    struct bus_counters counters;
    void *context;
    void *listener;          /* of type ROUTER, if inlet is NULL */
    struct bus_guard *guard; /* of listener; NULL: not bounded */
    struct bus_inlet *inlet; /* reads listener; NULL with CURVE */
    void *zap;               /* NULL without CURVE */
    GHashTable *peers;       /* host name to struct peer */
    uv_poll_t router_poll;   /* of listener, with CURVE */
    uv_poll_t zap_poll;
    uv_prepare_t receive_prepare;
    bool handles_open; /* receive_prepare is initialized */
};

static void
on_peer_poll_closed(uv_handle_t *handle)
{
    struct peer *peer = handle->data;

    g_free(peer->host);
    g_free(peer);
}

static void
free_peer(void *item)
{
    struct peer *peer = item;

    uv_poll_stop(&peer->poll);
    zmq_close(peer->dealer);
    uv_close((uv_handle_t *)&peer->poll, on_peer_poll_closed);
}

static void
set_int_option(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
set_common_options(void *socket)
{
    const int64_t max_bytes = MSG_MAX_BYTES;

    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof(max_bytes));
    set_int_option(socket, ZMQ_LINGER, 0);
    set_int_option(socket, ZMQ_SNDHWM, SEND_QUEUE_MAX);
    set_int_option(socket, ZMQ_RCVHWM, RECEIVE_QUEUE_MAX);
}

static void
set_curve_server(void *socket, const struct settings_curve *curve)
{
    set_int_option(socket, ZMQ_CURVE_SERVER, 1);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, curve->secret_key,
                   strlen(curve->secret_key) + 1);
}

static void
set_curve_client(void *socket, const struct settings_curve *curve,
                 const char *server_key)
{
    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, server_key,
                   strlen(server_key) + 1);
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, curve->public_key,
                   strlen(curve->public_key) + 1);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, curve->secret_key,
                   strlen(curve->secret_key) + 1);
}

static void
deliver(struct bus *bus, const char *from, const uint8_t *data, size_t size)
{
    const struct peer *peer = g_hash_table_lookup(bus->peers, from);
    const struct fp_schema *schema = NULL;
    uint32_t type = 0;
    void *msg;

    bus->counters.received++;
    bus->counters.received_bytes += size;
    if (peer != NULL && peer->drop_received) {
        bus->counters.dropped++;
        return;
    }
    if (fp_peek_type(data, size, &type) == FP_OK) {
        schema = msg_schema(type);
    }
    if (schema == NULL) {
        bus->counters.malformed++;
        return;
    }
    msg = g_malloc0(schema->size_bytes);
    if (fp_decode(schema, data, size, msg) == FP_OK) {
        bus->ops.on_message(bus->ops.ctx, from, type, msg);
        fp_record_free(schema, msg);
    }
    else {
        bus->counters.malformed++;
    }
    g_free(msg);
}

/* Receives one message, which must consist of the sender's name and one
 * payload frame. Returns false when there is none.
 */
static bool
receive_router_message(struct bus *bus)
{
    char from[MSG_HOST_BYTES] = {0};
    zmq_msg_t payload;
    int length = zmq_recv(bus->listener, from, sizeof(from) - 1, ZMQ_DONTWAIT);
    bool more = true;

    if (length < 0) {
        return false;
    }
    zmq_msg_init(&payload);
    if (zmq_msg_recv(&payload, bus->listener, ZMQ_DONTWAIT) >= 0) {
        more = zmq_msg_more(&payload) != 0;
        if (bus->guard != NULL) {
            bus_guard_note_message(bus->guard,
                                   zmq_msg_get(&payload, ZMQ_SRCFD));
        }
        if (!more && length < (int)sizeof(from)) {
            deliver(bus, from, zmq_msg_data(&payload), zmq_msg_size(&payload));
        }
        else {
            bus->counters.malformed++;
        }
    }
    while (more && zmq_msg_recv(&payload, bus->listener, ZMQ_DONTWAIT) >= 0) {
        more = zmq_msg_more(&payload) != 0;
    }
    zmq_msg_close(&payload);
    return true;
}

static void
on_inlet_message(void *ctx, const char *from_host, const uint8_t *data,
                 uint32_t size_bytes)
{
    deliver(ctx, from_host, data, size_bytes);
}

static void
receive_from_router(struct bus *bus)
{
    for (int i = 0; i < RECEIVE_BATCH && receive_router_message(bus); i++) {
    }
}

/* Receives what a host sends back on the connection that this host opened (see
 * send_through_listener()).
 */
static void
receive_from_peer(struct peer *peer)
{
    char host[MSG_HOST_BYTES];

    g_strlcpy(host, peer->host, sizeof(host));
    for (int i = 0; i < RECEIVE_BATCH; i++) {
        zmq_msg_t payload;

        zmq_msg_init(&payload);
        if (zmq_msg_recv(&payload, peer->dealer, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&payload);
            return;
        }
        deliver(peer->bus, host, zmq_msg_data(&payload),
                zmq_msg_size(&payload));
        zmq_msg_close(&payload);
    }
}

static void
on_peer_readable(uv_poll_t *poll, int status, int events)
{
    (void)status;
    (void)events;
    receive_from_peer(poll->data);
}

/* Returns the events, ZMQ_POLLIN and ZMQ_POLLOUT, that a socket is ready for.
 */
static int
socket_events(void *socket)
{
    int events = 0;
    size_t size = sizeof(events);

    zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size);
    return events;
}

/* A socket with ZMQ_IMMEDIATE can send only while it is connected. */
static void
report_connection(struct peer *peer, bool is_connected)
{
    struct bus *bus = peer->bus;
    bool is_new = is_connected && !peer->is_connected;
    char host[MSG_HOST_BYTES];

    peer->is_connected = is_connected;
    peer->was_connected = peer->was_connected || is_connected;
    if (is_new && bus->ops.on_connected != NULL) {
        g_strlcpy(host, peer->host, sizeof(host));
        bus->ops.on_connected(bus->ops.ctx, host);
    }
}

static void
on_router_readable(uv_poll_t *poll, int status, int events)
{
    (void)status;
    (void)events;
    receive_from_router(poll->data);
}

/* The file descriptor of a ZeroMQ socket is edge-triggered: it doesn't signal
 * messages that were left unread, or that arrived while another call on the
 * socket consumed the signal. So all sockets are checked in each iteration of
 * the loop.
 */
static void
on_prepare(uv_prepare_t *handle)
{
    struct bus *bus = handle->data;
    GList *peers = g_hash_table_get_values(bus->peers);

    if (bus->inlet == NULL &&
        (socket_events(bus->listener) & ZMQ_POLLIN) != 0) {
        receive_from_router(bus);
    }
    for (GList *at = peers; at != NULL; at = at->next) {
        struct peer *peer = at->data;
        int events = socket_events(peer->dealer);

        report_connection(peer, (events & ZMQ_POLLOUT) != 0);
        if ((events & ZMQ_POLLIN) != 0) {
            receive_from_peer(peer);
        }
    }
    g_list_free(peers);
}

static bool
is_known_key(const struct settings *settings, const uint8_t *key)
{
    char text[41];

    zmq_z85_encode(text, key, 32);
    for (unsigned i = 0; i < settings->hosts_count; i++) {
        if (strcmp(settings->hosts[i].public_key, text) == 0) {
            return true;
        }
    }
    return false;
}

/* Answers one request of ZeroMQ's authentication protocol (ZAP, RFC 27), whose
 * frames are version, request ID, domain, address, identity, mechanism and
 * credentials. Returns false when there is none.
 */
static bool
handle_zap_request(struct bus *bus)
{
    uint8_t frames[ZAP_FRAMES_MAX][256];
    int sizes[ZAP_FRAMES_MAX];
    int count = 0;
    int more = 1;
    size_t more_size = sizeof(more);
    bool allowed;
    const char *status;

    while (more && count < ZAP_FRAMES_MAX) {
        sizes[count] =
            zmq_recv(bus->zap, frames[count], sizeof(frames[0]), ZMQ_DONTWAIT);
        if (sizes[count] < 0) {
            return false;
        }
        count++;
        zmq_getsockopt(bus->zap, ZMQ_RCVMORE, &more, &more_size);
    }
    if (count < 2) {
        return false; /* not a ZAP request */
    }
    allowed = count == 7 && sizes[5] == 5 &&
              memcmp(frames[5], "CURVE", 5) == 0 && sizes[6] == 32 &&
              is_known_key(bus->settings, frames[6]);
    status = allowed ? "200" : "400";
    if (!allowed) {
        log_warn(LOG_BUS, "a process with an unknown key was refused");
    }
    zmq_send(bus->zap, "1.0", 3, ZMQ_SNDMORE);
    zmq_send(bus->zap, frames[1], (size_t)MAX(sizes[1], 0), ZMQ_SNDMORE);
    zmq_send(bus->zap, status, 3, ZMQ_SNDMORE);
    zmq_send(bus->zap, "", 0, ZMQ_SNDMORE);
    zmq_send(bus->zap, "", 0, ZMQ_SNDMORE);
    zmq_send(bus->zap, "", 0, 0);
    return true;
}

static void
on_zap_readable(uv_poll_t *poll, int status, int events)
{
    (void)status;
    (void)events;
    while (handle_zap_request(poll->data)) {
    }
}

static int
socket_fd(void *socket)
{
    int fd = -1;
    size_t size = sizeof(fd);

    zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
    return fd;
}

static void
watch_socket(uv_loop_t *loop, uv_poll_t *poll, void *socket, uv_poll_cb cb,
             void *data)
{
    uv_poll_init(loop, poll, socket_fd(socket));
    poll->data = data;
    uv_poll_start(poll, UV_READABLE, cb);
}

static void
connect_peer(struct bus *bus, const char *name, const char *address,
             const char *public_key)
{
    struct peer *peer = g_new0(struct peer, 1);
    char *endpoint = g_strdup_printf("tcp://%s", address);
    const char *own = bus->settings->host;
    bool fleet = bus->settings->fleet != NULL;

    peer->bus = bus;
    peer->host = g_strdup(name);
    peer->dealer = zmq_socket(bus->context, ZMQ_DEALER);
    set_common_options(peer->dealer);
    set_int_option(peer->dealer, ZMQ_IMMEDIATE, 1);
    set_int_option(peer->dealer, ZMQ_RECONNECT_IVL,
                   fleet ? FLEET_RECONNECT_MIN_MS : RECONNECT_MIN_MS);
    set_int_option(peer->dealer, ZMQ_RECONNECT_IVL_MAX,
                   fleet ? FLEET_RECONNECT_MAX_MS : RECONNECT_MAX_MS);
    if (fleet) {
        /* An election needs two round trips within its shortest timeout. What
         * is sent to a host without power is answered by nobody, and is sent
         * again by the kernel only a second later. */
        set_int_option(peer->dealer, ZMQ_CONNECT_TIMEOUT,
                       (int)bus->settings->times.election_min_ms / 2);
    }
    set_int_option(peer->dealer, ZMQ_HEARTBEAT_IVL,
                   fleet ? FLEET_SOCKET_PING_INTERVAL_MS
                         : SOCKET_PING_INTERVAL_MS);
    set_int_option(peer->dealer, ZMQ_HEARTBEAT_TIMEOUT,
                   fleet ? FLEET_SOCKET_PING_TIMEOUT_MS
                         : SOCKET_PING_TIMEOUT_MS);
    zmq_setsockopt(peer->dealer, ZMQ_ROUTING_ID, own, strlen(own));
    if (bus->settings->curve != NULL && public_key != NULL) {
        set_curve_client(peer->dealer, bus->settings->curve, public_key);
    }
    zmq_connect(peer->dealer, endpoint);
    g_free(endpoint);
    watch_socket(bus->loop, &peer->poll, peer->dealer, on_peer_readable, peer);
    g_hash_table_insert(bus->peers, peer->host, peer);
}

static void
open_router(struct bus *bus)
{
    bus->listener = zmq_socket(bus->context, ZMQ_ROUTER);
    set_common_options(bus->listener);
    set_int_option(bus->listener, ZMQ_ROUTER_HANDOVER, 1);
    set_int_option(bus->listener, ZMQ_ROUTER_MANDATORY, 1);
    set_int_option(bus->listener, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MAX_MS);
    set_curve_server(bus->listener, bus->settings->curve);
}

static void
open_stream(struct bus *bus)
{
    bus->listener = zmq_socket(bus->context, ZMQ_STREAM);
    set_common_options(bus->listener);
    bus_inlet_prepare(bus->listener);
}

static void
watch_router(struct bus *bus)
{
    watch_socket(bus->loop, &bus->router_poll, bus->listener,
                 on_router_readable, bus);
}

static void
start_inlet(struct bus *bus, uint16_t port,
            const struct entry_bus_bounds *bounds)
{
    const struct bus_inlet_ops ops = {on_inlet_message, bus};

    bus->inlet = bus_inlet_new(bus->loop, bus->listener, port, bounds,
                               bus->guard, &ops);
}

static bool
start_listener(struct bus *bus, char *why, unsigned why_bytes)
{
    const struct settings_host *own =
        settings_find_host(bus->settings, bus->settings->host);
    const struct entry_limits limits = settings_entry_limits(bus->settings);
    const struct entry_bus_bounds bounds = entry_bus_bounds(&limits);
    char *endpoint = g_strdup_printf("tcp://%s", own->bus);
    char ip[64];
    uint16_t port = 0;
    bool bound;

    settings_parse_address(own->bus, ip, sizeof(ip), &port);
    if (bus->settings->curve != NULL) {
        open_router(bus);
    }
    else {
        open_stream(bus);
    }
    if (bounds.receive_bytes != 0) {
        /* The kernel allows twice the size that is set, for its own use. */
        set_int_option(bus->listener, ZMQ_RCVBUF,
                       (int)bounds.receive_bytes / 2);
    }
    if (bounds.connections != 0) {
        bus->guard = bus_guard_new(bus->context, bus->listener, port,
                                   bounds.connections);
    }
    bound = zmq_bind(bus->listener, endpoint) == 0;
    g_free(endpoint);
    if (!bound) {
        snprintf(why, why_bytes, "bus %s: %s", own->bus, zmq_strerror(errno));
    }
    else if (bus->settings->curve != NULL) {
        watch_router(bus);
    }
    else {
        start_inlet(bus, port, &bounds);
    }
    return bound;
}

enum fp_err
bus_new(uv_loop_t *loop, const struct settings *settings,
        const struct bus_ops *ops, struct bus **out, char *why,
        unsigned why_bytes)
{
    struct bus *bus = g_new0(struct bus, 1);

    *out = NULL;
    bus->loop = loop;
    bus->settings = settings;
    bus->ops = *ops;
    bus->context = zmq_ctx_new();
    bus->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    if (settings->curve != NULL) {
        bus->zap = zmq_socket(bus->context, ZMQ_REP);
        set_int_option(bus->zap, ZMQ_LINGER, 0);
        zmq_bind(bus->zap, ZAP_ENDPOINT);
        watch_socket(loop, &bus->zap_poll, bus->zap, on_zap_readable, bus);
    }
    if (!start_listener(bus, why, why_bytes)) {
        bus_free(bus);
        return FP_ERR_NETWORK;
    }
    uv_prepare_init(loop, &bus->receive_prepare);
    bus->receive_prepare.data = bus;
    uv_prepare_start(&bus->receive_prepare, on_prepare);
    bus->handles_open = true;
    for (unsigned i = 0; i < settings->hosts_count; i++) {
        if (strcmp(settings->hosts[i].name, settings->host) != 0) {
            connect_peer(bus, settings->hosts[i].name, settings->hosts[i].bus,
                         settings->hosts[i].public_key);
        }
    }
    *out = bus;
    return FP_OK;
}

void
bus_connect(struct bus *bus, const char *host)
{
    char address[MSG_HOST_BYTES + 8];

    if (bus->settings->fleet == NULL ||
        strcmp(host, bus->settings->host) == 0 ||
        g_hash_table_contains(bus->peers, host)) {
        return;
    }
    snprintf(address, sizeof(address), "%s:%u", host,
             bus->settings->fleet->bus_port);
    connect_peer(bus, host, address, NULL);
}

/* Whether a message that the own connection does not take goes over the one
 * that the host opened. Only before the first own connection: one that was
 * closed since its pings had no answer may leave the other one open, where
 * messages to a frozen host would pile up.
 */
static bool
may_send_back(const struct bus *bus, const struct peer *peer)
{
    return bus->settings->fleet != NULL &&
           (peer == NULL || !peer->was_connected);
}

/* Sends to a host to which this one has no connection, through the connection
 * which that host opened.
 */
static int
send_through_listener(struct bus *bus, const char *host,
                      const struct fp_blob *blob)
{
    if (bus->inlet != NULL) {
        return bus_inlet_send(bus->inlet, host, blob) ? 0 : -1;
    }
    if (zmq_send(bus->listener, host, strlen(host),
                 ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0) {
        return -1;
    }
    return zmq_send(bus->listener, blob->data, blob->size_bytes, ZMQ_DONTWAIT);
}

void
bus_broadcast(struct bus *bus, const struct fp_schema *schema, const void *msg)
{
    GList *hosts = g_hash_table_get_keys(bus->peers);

    for (GList *at = hosts; at != NULL; at = at->next) {
        bus_send(bus, at->data, schema, msg);
    }
    g_list_free(hosts);
}

enum fp_err
bus_send(struct bus *bus, const char *host, const struct fp_schema *schema,
         const void *msg)
{
    struct peer *peer = g_hash_table_lookup(bus->peers, host);
    struct fp_blob blob;
    int rc;

    if (peer == NULL && bus->settings->fleet == NULL) {
        return FP_ERR_NOT_CONNECTED;
    }
    if (peer != NULL && peer->drop_sent) {
        bus->counters.dropped++;
        return FP_OK; /* like a loss on the network, not visible here */
    }
    fp_encode(schema, msg, &blob);
    if (blob.size_bytes > MSG_MAX_BYTES) {
        fp_blob_free(&blob);
        return FP_ERR_TOO_LARGE;
    }
    rc = peer != NULL
             ? zmq_send(peer->dealer, blob.data, blob.size_bytes, ZMQ_DONTWAIT)
             : -1;
    if (rc < 0 && may_send_back(bus, peer)) {
        rc = send_through_listener(bus, host, &blob);
    }
    if (rc >= 0) {
        bus->counters.sent++;
        bus->counters.sent_bytes += blob.size_bytes;
    }
    else {
        bus->counters.refused++;
    }
    fp_blob_free(&blob);
    return rc >= 0 ? FP_OK : FP_ERR_NOT_CONNECTED;
}

enum fp_err
bus_set_drop(struct bus *bus, const char *host, bool drop_sent,
             bool drop_received)
{
    struct peer *peer = g_hash_table_lookup(bus->peers, host);

    if (peer == NULL) {
        return FP_ERR_NOT_FOUND;
    }
    peer->drop_sent = drop_sent;
    peer->drop_received = drop_received;
    return FP_OK;
}

const struct bus_counters *
bus_counters(const struct bus *bus)
{
    return &bus->counters;
}

struct bus_guard_counters
bus_connection_counters(const struct bus *bus)
{
    return bus->guard != NULL ? bus_guard_counters(bus->guard)
                              : (struct bus_guard_counters){0};
}

struct bus_inlet_counters
bus_held_counters(const struct bus *bus)
{
    return bus->inlet != NULL ? bus_inlet_counters(bus->inlet)
                              : (struct bus_inlet_counters){0};
}

static void
on_prepare_closed(uv_handle_t *handle)
{
    struct bus *bus = handle->data;

    g_free(bus);
}

void
bus_free(struct bus *bus)
{
    if (bus == NULL) {
        return;
    }
    if (bus->zap != NULL) {
        uv_poll_stop(&bus->zap_poll);
        uv_close((uv_handle_t *)&bus->zap_poll, NULL);
    }
    if (bus->handles_open && bus->inlet == NULL) {
        uv_poll_stop(&bus->router_poll);
        uv_close((uv_handle_t *)&bus->router_poll, NULL);
    }
    g_hash_table_destroy(bus->peers);
    bus_inlet_free(bus->inlet);
    bus_guard_free(bus->guard);
    if (bus->listener != NULL) {
        zmq_close(bus->listener);
    }
    if (bus->zap != NULL) {
        zmq_close(bus->zap);
    }
    zmq_ctx_term(bus->context);
    if (bus->handles_open) {
        uv_close((uv_handle_t *)&bus->receive_prepare, on_prepare_closed);
    }
    else {
        g_free(bus);
    }
}
