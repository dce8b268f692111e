/* bus.h -- typed messages between the system's hosts, over ZeroMQ
 *
 * One ROUTER socket takes messages from every host; one DEALER socket for
 * each other host sends. A message that cannot be handed to a live connection
 * is refused at once, so the sender knows that it did not leave. With CURVE
 * only hosts whose public keys are in the settings may connect.
 */
#ifndef FP_BUS_H
#define FP_BUS_H

#include <uv.h>

#include "core/msg.h"
#include "node/settings.h"

struct bus_ops {
    /* A decoded message; the callee must not keep msg. */
    void (*received)(void *ctx, const char *from_host, uint32_t type,
                     const void *msg);
    void *ctx;
};

struct bus_counters {
    uint64_t sent;
    uint64_t sent_bytes;
    uint64_t received;
    uint64_t received_bytes;
    uint64_t refused;   /* not sent: no connection, or its queue is full */
    uint64_t malformed; /* received and not decoded */
    uint64_t cut;       /* dropped by bus_cut() */
};

struct bus;

/* Binds and connects by the settings.
 * Returns FP_ERR_NETWORK with why when the address cannot be bound.
 */
enum fp_err bus_new(uv_loop_t *loop, const struct settings *settings,
                    const struct bus_ops *ops, struct bus **out, char *why,
                    unsigned why_bytes);

/* Connects to a host of a fleet, named by its IP number; the connection is
 * renewed by itself from then on. Does nothing for known hosts.
 */
void bus_connect(struct bus *bus, const char *host);

/* Sends a record to a host that this one is connected to, or that has
 * connected here. FP_ERR_NOT_CONNECTED: it certainly did not leave.
 */
enum fp_err bus_send(struct bus *bus, const char *host,
                     const struct fp_schema *schema, const void *msg);

/* Sends a record to every host that this one is connected to. */
void bus_broadcast(struct bus *bus, const struct fp_schema *schema,
                   const void *msg);

/* For drills: drops what goes to the host, comes from it, or both. */
enum fp_err bus_cut(struct bus *bus, const char *host, bool to, bool from);

const struct bus_counters *bus_counters(const struct bus *bus);

/* Closes the sockets; call before the loop is closed. */
void bus_free(struct bus *bus);

#endif /* FP_BUS_H */
