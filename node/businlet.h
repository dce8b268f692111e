/* businlet.h -- connections that other hosts open to the bus
 *
 * ZeroMQ's own sockets hold a message until its last byte has come, with no
 * bound on what all connections hold together, and any number of parts of a
 * message. So the listening socket of the bus hands over bytes as they come,
 * in small chunks (ZMQ_STREAM), which the inlet decodes within bounds:
 *
 *   - incomplete messages: before more is taken than the bound allows, the
 *     connection that has held the most for the longest is closed;
 *   - complete ones, until the loop takes them: the inlet reads no further,
 *     and the senders wait.
 *
 * A thread reads and decodes, so that pings are answered while the loop is
 * busy. The functions below may be called on the loop's thread only.
 */
#ifndef FP_BUSINLET_H
#define FP_BUSINLET_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/schema.h"
#include "node/busguard.h"
#include "node/entry.h"

struct bus_inlet;

struct bus_inlet_ops {
    /* A message of a host, as it names itself; called on the loop's thread.
     * The data is valid during the call only. */
    void (*on_message)(void *ctx, const char *from_host, const uint8_t *data,
                       uint32_t size_bytes);
    void *ctx;
};

struct bus_inlet_counters {
    uint64_t partial_bytes;     /* of incomplete messages */
    uint64_t partial_max_bytes; /* 0: no bound */
    uint64_t waiting_bytes;     /* of messages for the loop */
    uint64_t waiting_max_bytes; /* 0: no bound */
    uint64_t pauses;            /* in which nothing was read for them */
    uint64_t closed;            /* connections, for what they held */
    uint64_t malformed;         /* connections that broke the protocol */
};

/* Prepares the listening socket of the bus, of type ZMQ_STREAM, before it is
 * bound. */
void bus_inlet_prepare(void *socket);

/* Reads from the socket, which must be bound and must not be used otherwise
 * until bus_inlet_free(). guard hears of messages; it may be NULL, and must
 * outlive the inlet. */
struct bus_inlet *bus_inlet_new(uv_loop_t *loop, void *socket, uint16_t port,
                                const struct entry_bus_bounds *bounds,
                                struct bus_guard *guard,
                                const struct bus_inlet_ops *ops);

/* Sends a message over the connection that a host opened. Returns false if it
 * has opened none, or too much waits to be sent; the message may be lost. */
bool bus_inlet_send(struct bus_inlet *inlet, const char *host,
                    const struct fp_blob *blob);

struct bus_inlet_counters bus_inlet_counters(struct bus_inlet *inlet);

/* Ends the thread; the socket may then be closed. The loop must run once more,
 * which releases the memory. Does nothing for NULL. */
void bus_inlet_free(struct bus_inlet *inlet);

#endif /* FP_BUSINLET_H */
