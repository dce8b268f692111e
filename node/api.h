/* api.h -- the HTTP routes of operators, submitters, targets and queries
 *
 * Commands (POST) change something by way of the log; queries (GET) only
 * read. docs/API.md lists them all.
 */
#ifndef FP_API_H
#define FP_API_H

#include "node/gateway.h"

struct api;

/* What the routes reach besides the log. Members outlive the api. */
struct api_parts {
    struct replica *replica;
    const struct settings *settings;
    struct gateway *gateway;
    struct owner *owner;
    /* Tells whether the balancer should send callers here. */
    bool (*ready)(void *ctx);
    /* Adds the parts that only the leader has, for the dump. */
    void (*dump_leader)(void *ctx, json_t *dump);
    void *ctx;
};

struct api *api_new(const struct api_parts *parts);
void api_free(struct api *api);

/* Answers a request of any route but /call/. */
void api_handle(struct api *api, struct http_request *request);

#endif /* FP_API_H */
