/* entry.h -- how much a host takes in at its listeners
 *
 * Pure decisions. Bounds follow from the host's own limits (settings.limits):
 * hosts of unlike size behind one load balancer get the same share of the
 * calls, and the smallest must neither run out of memory nor of descriptors,
 * nor queue more on its link than it can send in time. What exceeds a bound is
 * refused at once, before any of it is passed on. Whoever can connect can use
 * up a bound, so each listener has its own. docs/design/entry.md has the sum.
 */
#ifndef FP_ENTRY_H
#define FP_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

/* Limits of the host; 0: not known, and not a bound. */
struct entry_limits {
    uint32_t memory_mb;
    uint32_t max_fds;
    uint32_t link_kbps;
};

enum entry_listener {
    ENTRY_CLIENTS,
    ENTRY_CONTROL, /* targets and operators */
    ENTRY_CHECKS,  /* readiness checks */
    ENTRY_METRICS,
    ENTRY_LISTENER_COUNT
};

extern const char *const ENTRY_LISTENER_NAMES[ENTRY_LISTENER_COUNT];

/* An answer of at most this size is always sent; the room of a connection
 * includes it. */
#define ENTRY_SMALL_ANSWER_BYTES 1024u
/* A client that has not taken an answer for this long makes room for others.
 */
#define ENTRY_STALLED_MS 1000u

/* Bounds of a listener; 0: none. */
struct entry_bounds {
    uint32_t connections;   /* open at once */
    uint32_t requests;      /* unanswered */
    uint64_t request_bytes; /* sum of their bodies; one is always taken */
    uint64_t partial_bytes; /* received, and not answered yet */
    uint64_t answer_bytes;  /* of large answers that are being sent; one is
                             * always sent */
    uint32_t receive_bytes; /* unread in the kernel, for each connection */
};

/* What a listener holds at the moment. */
struct entry_load {
    uint32_t connections;
    uint32_t idle; /* of them, without a request that is unanswered */
    uint32_t requests;
    uint64_t request_bytes;
    uint64_t input_bytes;  /* received, and not answered yet */
    uint64_t answer_bytes; /* of large answers that are being sent */
    bool has_stalled;      /* an answer is not taken for ENTRY_STALLED_MS */
    bool has_ending;       /* a connection was shut down, and is still open */
};

/* What to do with a new connection. */
enum entry_admission {
    ENTRY_TAKE,
    ENTRY_REPLACE_IDLE,    /* after the oldest idle connection is closed */
    ENTRY_REPLACE_STALLED, /* while the connection that has been sending an
                            * answer for longest is shut down */
    ENTRY_CLOSE            /* it is closed before anything is read */
};

void entry_set_bounds(const struct entry_limits *limits,
                      enum entry_listener listener,
                      struct entry_bounds *bounds);

/* The most connections that a host opens to targets and the placement policy;
 * 0: no bound. listeners: those that the host has, as bits 1 << listener. */
uint32_t entry_opened_max(const struct entry_limits *limits,
                          uint32_t listeners);

/* The most that answers of targets and of the policy hold together; 0: no
 * bound. */
uint64_t entry_answers_max_bytes(const struct entry_limits *limits);

/* What ZeroMQ reads ahead for a connection of the bus: two buffers. */
#define ENTRY_BUS_CONNECTION_BYTES 36864u

/* Bounds on the connections that others open to the bus; 0: none. */
struct entry_bus_bounds {
    uint32_t connections;
    uint32_t receive_bytes; /* unread in the kernel, for each */
    uint64_t partial_bytes; /* of incomplete messages; one is always taken */
    uint64_t waiting_bytes; /* of complete ones, with which no more are read */
};
struct entry_bus_bounds entry_bus_bounds(const struct entry_limits *limits);

enum entry_admission entry_admit_connection(const struct entry_bounds *bounds,
                                            const struct entry_load *load);

/* Whether another request is taken; load does not include it. */
bool entry_takes_request(const struct entry_bounds *bounds,
                         const struct entry_load *load, uint64_t body_bytes);

/* Whether a large answer is sent while that many bytes of others are. */
bool entry_takes_answer(const struct entry_bounds *bounds,
                        uint64_t sending_bytes, uint64_t answer_bytes);

/* How much the input of a connection is in the way of others: what it holds,
 * by the time for which it has held anything. The connection with the most is
 * closed first. 0: it holds nothing. */
uint64_t entry_input_weight(uint64_t input_bytes, uint64_t held_ms);

#endif /* FP_ENTRY_H */
