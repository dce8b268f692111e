/* edge.h -- what translates between a fleet's hosts and the world outside
 *
 * An edge decodes the requests of callers, operators and targets into calls
 * (core/fleetrec.h), and orders and questions into the outside's protocol. It
 * decides nothing. platform/ is one.
 */
#ifndef FP_EDGE_H
#define FP_EDGE_H

#include "node/httpd.h"
#include "node/orders.h"
#include "node/relay.h"

struct edge_parts {
    uv_loop_t *loop;
    struct relay *relay;
    const struct settings *settings;
    /* Whether the state here, fresh enough to act on, already holds what a
     * target announces: it is then acknowledged without the leader. */
    bool (*knows)(void *ctx, const struct call_announce *announce);
    void *knows_ctx;
};

struct edge_ops {
    void *(*open)(const struct edge_parts *parts);
    /* Drops what is in flight. */
    void (*close)(void *edge);
    /* A request of a caller, or of an operator or a target: each must end in
     * one http_reply(). */
    void (*client_request)(void *edge, struct http_request *request);
    void (*control_request)(void *edge, struct http_request *request);
    const struct order_channel *(*orders)(void *edge);
    const struct policy_client *(*policy)(void *edge);
    /* The path that the balancer asks for readiness. */
    const char *readiness_path;
};

#endif /* FP_EDGE_H */
