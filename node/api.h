/* api.h -- the HTTP API for operators, submitters and targets
 *
 * POST routes are commands: most propose a change to the replicated log. GET
 * routes are queries and change nothing. docs/API.md lists them all.
 */
#ifndef FP_API_H
#define FP_API_H

#include "node/gateway.h"

struct api;

/* What the routes use. All of it must outlive the struct api. */
struct api_deps {
    struct replica *replica;
    const struct settings *settings;
    struct gateway *gateway;
    struct owner *owner;
    /* Returns whether the load balancer should send requests to this host. */
    bool (*is_ready)(void *ctx);
    /* Adds the state that the members above do not cover to GET /v1/dump. */
    void (*extend_dump)(void *ctx, json_t *dump);
    void *ctx; /* for the callbacks */
};

/* deps is copied; free the result by api_free(). */
struct api *api_new(const struct api_deps *deps);
void api_free(struct api *api);

/* Answers a request on any path outside /call/, now or later. */
void api_handle(struct api *api, struct http_request *request);

#endif /* FP_API_H */
