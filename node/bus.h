/* bus.h -- typed messages between hosts, over ZeroMQ
 *
 * One socket receives messages from all hosts; one DEALER socket per host
 * sends to it. The former is read by node/businlet.c; with CURVE, it is a
 * ROUTER socket, and only hosts whose public keys are in the settings may
 * connect. A message for which there is no live connection is refused at once,
 * so the sender knows that it wasn't sent.
 */
#ifndef FP_BUS_H
#define FP_BUS_H

#include <uv.h>

#include "core/msg.h"
#include "node/busguard.h"
#include "node/businlet.h"
#include "node/settings.h"

struct bus_ops {
    /* A decoded message, which is valid during the call only. type is an enum
     * msg_type. */
    void (*on_message)(void *ctx, const char *from_host, uint32_t type,
                       const void *msg);
    /* A connection to a host was opened, or opened again; may be NULL. */
    void (*on_connected)(void *ctx, const char *host);
    void *ctx;
};

struct bus_counters {
    uint64_t sent;
    uint64_t sent_bytes;
    uint64_t received;
    uint64_t received_bytes;
    uint64_t refused;   /* not sent: no connection, or its queue is full */
    uint64_t malformed; /* received, but not decodable */
    uint64_t dropped;   /* by bus_set_drop() */
};

struct bus;

/* Binds this host's bus address and connects to the other hosts in the
 * settings, which must outlive the bus. Release it by bus_free().
 * Returns FP_ERR_NETWORK with why when the address cannot be bound.
 */
enum fp_err bus_new(uv_loop_t *loop, const struct settings *settings,
                    const struct bus_ops *ops, struct bus **out, char *why,
                    unsigned why_bytes);

/* Connects to a host of a fleet, named by its IP address, and reconnects
 * whenever the connection is lost. Does nothing for a host that it was called
 * for before, for this host, and when the settings describe no fleet.
 */
void bus_connect(struct bus *bus, const char *host);

/* Sends a message to a host that this one connects to; in a fleet also to a
 * host that has connected to this one, over the connection which that host
 * opened where there has been no own. msg is copied.
 * Returns FP_OK once the message is queued on a live connection; it may still
 * be lost. FP_ERR_NOT_CONNECTED: it wasn't sent, for lack of a connection or
 * of room in its queue. FP_ERR_TOO_LARGE: above MSG_MAX_BYTES.
 */
enum fp_err bus_send(struct bus *bus, const char *host,
                     const struct fp_schema *schema, const void *msg);

/* Sends a message to every host that this one connects to; errors are ignored.
 */
void bus_broadcast(struct bus *bus, const struct fp_schema *schema,
                   const void *msg);

/* Fault injection: sets whether messages to a host and messages from it are
 * dropped. Senders see no error.
 * Returns FP_ERR_NOT_FOUND for a host that this one doesn't connect to.
 */
enum fp_err bus_set_drop(struct bus *bus, const char *host, bool drop_sent,
                         bool drop_received);

const struct bus_counters *bus_counters(const struct bus *bus);

/* Connections that others opened; all 0 where they are not bounded. */
struct bus_guard_counters bus_connection_counters(const struct bus *bus);

/* What these connections hold; all 0 with CURVE. */
struct bus_inlet_counters bus_held_counters(const struct bus *bus);

/* Closes the sockets. The loop must run once more to close the bus's handles,
 * which releases its memory. Does nothing for NULL.
 */
void bus_free(struct bus *bus);

#endif /* FP_BUS_H */
