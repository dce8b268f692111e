/* entry.c -- how much a host takes in at its listeners */
#include "node/entry.h"

#include <glib.h>

#include "core/msg.h"

/* Descriptors kept for everything but connections of the listeners: files, the
 * bus, connections to targets. */
#define RESERVED_FDS_DIVISOR 4u
#define RESERVED_FDS_MAX 768u
/* Of these, connections of the bus that others opened, as a divisor. */
#define BUS_FDS_DIVISOR 2u
#define BUS_MEMORY_DIVISOR 16u
#define BUS_RECEIVE_BYTES_MIN 16384u
#define BUS_PARTIAL_MEMORY_DIVISOR 32u
#define BUS_WAITING_MEMORY_DIVISOR 32u
/* The largest message, with its head. */
#define BUS_PARTIAL_BYTES_MIN (MSG_MAX_BYTES + 65536u)
#define ANSWERS_MEMORY_DIVISOR 32u
/* What a connection and a request take, beside their bytes. */
#define CONNECTION_BYTES 8192u
#define REQUEST_BYTES 16384u
/* The smallest receive queue; with less, each segment waits for the reader. */
#define RECEIVE_BYTES_MIN 8192u
#define RECEIVE_BYTES_MAX 65536u
/* Bodies that wait fill the link for this long at most. */
#define LINK_QUEUE_MS 500u
#define BOUND_MIN                                                             \
    16u /* for requests and connections, however small the host */

/* Parts of the memory for each purpose, and of the descriptors that are not
 * reserved, as divisors. A body is held as received,
 * decoded, and encoded for each host that it is sent to. */
struct listener_shares {
    uint32_t fds;
    uint32_t connections;
    uint32_t requests;
    uint32_t bodies;
    uint32_t partial;
    uint32_t answers;
    uint32_t receive;
    uint64_t partial_min_bytes; /* the largest request */
};

static const struct listener_shares SHARES[] = {
    [ENTRY_CLIENTS] = {1, 4, 8, 32, 8, 32, 8, 512u << 10},
    /* Most descriptors are for connections to targets. */
    [ENTRY_CONTROL] = {8, 8, 16, 128, 32, 32, 16, 1536u << 10},
};

/* Of listeners whose requests have no body, and few callers. */
static const struct entry_bounds SMALL_BOUNDS[] = {
    [ENTRY_CHECKS] = {.connections = 32,
                      .requests = 16,
                      .request_bytes = 4096,
                      .partial_bytes = 128u << 10,
                      .answer_bytes = 4096,
                      .receive_bytes = RECEIVE_BYTES_MIN},
    [ENTRY_METRICS] = {.connections = 32,
                       .requests = 16,
                       .request_bytes = 4096,
                       .partial_bytes = 128u << 10,
                       .answer_bytes = 1u << 20,
                       .receive_bytes = RECEIVE_BYTES_MIN},
};

const char *const ENTRY_LISTENER_NAMES[ENTRY_LISTENER_COUNT] = {
    [ENTRY_CLIENTS] = "clients",
    [ENTRY_CONTROL] = "control",
    [ENTRY_CHECKS] = "checks",
    [ENTRY_METRICS] = "metrics"};

static uint64_t
min_known(uint64_t bound, uint64_t other)
{
    return other == 0 ? bound : bound == 0 ? other : MIN(bound, other);
}

static uint32_t
reserved_fds(const struct entry_limits *limits)
{
    return MIN(limits->max_fds / RESERVED_FDS_DIVISOR, RESERVED_FDS_MAX);
}

/* Bounds that follow from the memory; connections are bounded already. */
static void
set_memory_bounds(const struct listener_shares *shares, uint64_t memory,
                  struct entry_bounds *bounds)
{
    bounds->requests =
        (uint32_t)MAX(memory / shares->requests / REQUEST_BYTES, BOUND_MIN);
    bounds->request_bytes = memory / shares->bodies;
    bounds->partial_bytes =
        MAX(memory / shares->partial, shares->partial_min_bytes);
    bounds->answer_bytes = memory / shares->answers;
    bounds->receive_bytes =
        (uint32_t)CLAMP(memory / shares->receive / bounds->connections,
                        RECEIVE_BYTES_MIN, RECEIVE_BYTES_MAX);
}

void
entry_set_bounds(const struct entry_limits *limits,
                 enum entry_listener listener, struct entry_bounds *bounds)
{
    const struct listener_shares *shares;
    const uint64_t memory = (uint64_t)limits->memory_mb << 20;
    const uint32_t reserved = reserved_fds(limits);
    const uint64_t link_bytes = (uint64_t)limits->link_kbps * LINK_QUEUE_MS /
                                8; /* kbit/s * ms: bits */

    *bounds = (struct entry_bounds){0};
    if (listener >= ENTRY_CHECKS) {
        if (memory > 0 || limits->max_fds > 0) {
            *bounds = SMALL_BOUNDS[listener];
        }
        return;
    }
    shares = &SHARES[listener];
    if (memory > 0 || limits->max_fds > 0) {
        const uint64_t by_memory =
            MIN(memory / shares->connections / CONNECTION_BYTES,
                memory / shares->receive / RECEIVE_BYTES_MIN);

        bounds->connections = (uint32_t)MAX(
            min_known(by_memory, (limits->max_fds - reserved) / shares->fds),
            BOUND_MIN);
    }
    if (memory > 0) {
        set_memory_bounds(shares, memory, bounds);
    }
    bounds->request_bytes = min_known(bounds->request_bytes, link_bytes);
}

uint32_t
entry_opened_max(const struct entry_limits *limits, uint32_t listeners)
{
    const uint32_t reserved = reserved_fds(limits);
    uint32_t taken = 0;

    for (int i = 0; i < ENTRY_LISTENER_COUNT; i++) {
        struct entry_bounds bounds;

        if ((listeners & 1u << i) != 0) {
            entry_set_bounds(limits, i, &bounds);
            taken += bounds.connections;
        }
    }
    if (limits->max_fds == 0) {
        return 0;
    }
    /* A host that serves clients opens few. */
    return MAX(limits->max_fds - reserved -
                   MIN(taken, limits->max_fds - reserved),
               reserved / 4);
}

uint64_t
entry_answers_max_bytes(const struct entry_limits *limits)
{
    return ((uint64_t)limits->memory_mb << 20) / ANSWERS_MEMORY_DIVISOR;
}

struct entry_bus_bounds
entry_bus_bounds(const struct entry_limits *limits)
{
    const uint64_t memory = (uint64_t)limits->memory_mb << 20;
    struct entry_bus_bounds bounds = {.connections = reserved_fds(limits) /
                                                     BUS_FDS_DIVISOR};

    if (memory > 0) {
        bounds.partial_bytes =
            MAX(memory / BUS_PARTIAL_MEMORY_DIVISOR, BUS_PARTIAL_BYTES_MIN);
        bounds.waiting_bytes = memory / BUS_WAITING_MEMORY_DIVISOR;
    }
    if (memory > 0 && bounds.connections > 0) {
        bounds.receive_bytes =
            (uint32_t)CLAMP(memory / BUS_MEMORY_DIVISOR / bounds.connections,
                            BUS_RECEIVE_BYTES_MIN, RECEIVE_BYTES_MAX);
    }
    return bounds;
}

enum entry_admission
entry_admit_connection(const struct entry_bounds *bounds,
                       const struct entry_load *load)
{
    if (bounds->connections == 0 || load->connections < bounds->connections) {
        return ENTRY_TAKE;
    }
    if (load->idle > 0) {
        return ENTRY_REPLACE_IDLE;
    }
    /* One at a time: each takes a descriptor beyond the bound until it is
     * closed. */
    return load->has_stalled && !load->has_ending ? ENTRY_REPLACE_STALLED
                                                  : ENTRY_CLOSE;
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

bool
entry_takes_answer(const struct entry_bounds *bounds, uint64_t sending_bytes,
                   uint64_t answer_bytes)
{
    return bounds->answer_bytes == 0 || sending_bytes == 0 ||
           sending_bytes + answer_bytes <= bounds->answer_bytes;
}

uint64_t
entry_input_weight(uint64_t input_bytes, uint64_t held_ms)
{
    return input_bytes * (held_ms + 1);
}
