/* busguard.h -- bounds the connections that others open to the bus
 *
 * Any process that reaches a host can connect to its bus, and ZeroMQ has no
 * bound on connections. The guard follows them by the events of the listening
 * socket, and shuts one down for each that is too many: first one that has
 * sent no message yet, then the one that was silent for longest. ZeroMQ closes
 * it, and a host connects again. ZeroMQ accepts on a thread of its own, so the
 * guard has one too: the loop may be late. While it runs, its functions may be
 * called on any thread.
 */
#ifndef FP_BUSGUARD_H
#define FP_BUSGUARD_H

#include <stdbool.h>
#include <stdint.h>

struct bus_guard;

struct bus_guard_counters {
    uint32_t connections;
    uint32_t connections_max;
    uint64_t closed;
};

/* Watches a socket of the context before it is bound to the port. Returns NULL
 * when it cannot be watched, which is logged. */
struct bus_guard *bus_guard_new(void *context, void *socket, uint16_t port,
                                uint32_t connections_max);

/* A message came over the connection with this descriptor. */
void bus_guard_note_message(struct bus_guard *guard, int fd);

struct bus_guard_counters bus_guard_counters(struct bus_guard *guard);

/* The connection with this descriptor is about to be closed by the caller. */
void bus_guard_forget(struct bus_guard *guard, int fd);

/* Shuts down a connection that was opened to this port. Returns false if the
 * descriptor has been closed, and perhaps used again, by now. */
bool bus_shut_down_connection(int fd, uint16_t port);

/* Waits for the guard's thread. Call it before the socket is closed. Does
 * nothing for NULL. */
void bus_guard_free(struct bus_guard *guard);

#endif /* FP_BUSGUARD_H */
