/* edge.h -- interface between a fleet's hosts and an external protocol
 *
 * An edge decodes requests of clients, operators and targets into calls
 * (core/fleetrec.h), and encodes orders to targets and queries to the
 * placement policy in the external protocol. It makes no decisions itself.
 * platform/ implements one.
 */
#ifndef FP_EDGE_H
#define FP_EDGE_H

#include "node/httpd.h"
#include "node/orders.h"
#include "node/relay.h"

/* The parts of its host that an edge uses. Pointers stay valid until close().
 */
struct edge_context {
    uv_loop_t *loop;
    struct relay *relay;
    const struct settings *settings;
    /* Connections that the edge may open at once; 0: no bound. */
    uint32_t connections_max;
    uint64_t answers_max_bytes; /* of all answers that it receives; the same */
    /* Returns whether this host's state is fresh and already holds the
     * announced target unchanged. The edge then acknowledges the announcement
     * without asking the leader. */
    bool (*is_recorded)(void *ctx, const struct call_announce *announce);
    void *is_recorded_ctx; /* first argument of is_recorded() */
};

struct edge_ops {
    /* Copies the context; returns the edge, which close() frees. */
    void *(*open)(const struct edge_context *context);
    /* Drops requests in flight without an answer. */
    void (*close)(void *edge);
    /* Handle a request of a client, and one of an operator or a target. Each
     * request must end in exactly one http_reply(). */
    void (*handle_client_request)(void *edge, struct http_request *request);
    void (*handle_control_request)(void *edge, struct http_request *request);
    /* Return parts of the edge, valid until close(). */
    const struct order_channel *(*get_order_channel)(void *edge);
    const struct policy_client *(*get_policy_client)(void *edge);
    /* Orders and queries that found no connection within connections_max, and
     * those whose answers had no room. */
    uint64_t (*count_refused)(const void *edge);
    uint64_t (*count_dropped)(const void *edge);
    /* Path of the load balancer's readiness check. */
    const char *readiness_path;
};

#endif /* FP_EDGE_H */
