/* entry.c -- how much a host takes in at its entry */
#include "node/entry.h"

#include <glib.h>

/* Descriptors kept for everything but clients' connections: files, the bus,
 * targets, the other listeners. */
#define RESERVED_FDS_DIVISOR 4u
#define RESERVED_FDS_MAX 512u
/* Part of the memory for each purpose, as a divisor, and what one takes. */
#define CONNECTIONS_MEMORY_DIVISOR 4u
#define CONNECTION_BYTES 8192u
#define REQUESTS_MEMORY_DIVISOR 8u
#define REQUEST_BYTES 16384u
/* A body is held as received, decoded, and encoded for each host that it is
 * sent to. */
#define BODIES_MEMORY_DIVISOR 32u
#define PARTIAL_MEMORY_DIVISOR 8u
/* Bodies that wait fill the link for this long at most. */
#define LINK_QUEUE_MS 500u
#define BOUND_MIN                                                             \
    16u /* for requests and connections, however small the host */

static uint64_t
min_known(uint64_t bound, uint64_t other)
{
    return other == 0 ? bound : bound == 0 ? other : MIN(bound, other);
}

void
entry_set_bounds(const struct entry_limits *limits,
                 struct entry_bounds *bounds)
{
    const uint64_t memory = (uint64_t)limits->memory_mb << 20;
    const uint32_t reserved =
        MIN(limits->max_fds / RESERVED_FDS_DIVISOR, RESERVED_FDS_MAX);
    const uint64_t by_memory =
        memory / CONNECTIONS_MEMORY_DIVISOR / CONNECTION_BYTES;
    const uint64_t link_bytes = (uint64_t)limits->link_kbps * LINK_QUEUE_MS /
                                8; /* kbit/s * ms: bits */

    *bounds = (struct entry_bounds){0};
    if (memory > 0 || limits->max_fds > 0) {
        bounds->connections = (uint32_t)MAX(
            min_known(by_memory, limits->max_fds - reserved), BOUND_MIN);
    }
    if (memory > 0) {
        bounds->requests = (uint32_t)MAX(
            memory / REQUESTS_MEMORY_DIVISOR / REQUEST_BYTES, BOUND_MIN);
        bounds->partial_bytes = memory / PARTIAL_MEMORY_DIVISOR;
    }
    bounds->request_bytes =
        min_known(memory / BODIES_MEMORY_DIVISOR, link_bytes);
}

enum entry_admission
entry_admit_connection(const struct entry_bounds *bounds,
                       const struct entry_load *load)
{
    if (bounds->connections == 0 || load->connections < bounds->connections) {
        return ENTRY_TAKE;
    }
    return load->idle > 0 ? ENTRY_REPLACE_IDLE : ENTRY_CLOSE;
}

bool
entry_takes_request(const struct entry_bounds *bounds,
                    const struct entry_load *load, uint64_t body_bytes)
{
    if (bounds->requests != 0 && load->requests >= bounds->requests) {
        return false;
    }
    return bounds->request_bytes == 0 || load->requests == 0 ||
           load->request_bytes + body_bytes <= bounds->request_bytes;
}
