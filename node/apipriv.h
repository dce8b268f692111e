/* apipriv.h -- what the command and query routes share */
#ifndef FP_APIPRIV_H
#define FP_APIPRIV_H

#include "node/api.h"

struct api {
    struct api_parts parts;
};

/* Answers one request; rest is the path after the route's own. */
typedef void (*api_handler)(struct api *api, struct http_request *request,
                            const char *rest);

/* Answers with JSON; body is taken over. */
void api_reply(struct http_request *request, int status, json_t *body,
               uint32_t retry_after_ms);

bool api_is_operator(const struct api *api,
                     const struct http_request *request);

/* Queries, in apiquery.c. */
void api_get_health(struct api *, struct http_request *, const char *);
void api_get_ready(struct api *, struct http_request *, const char *);
void api_get_status(struct api *, struct http_request *, const char *);
void api_get_metrics(struct api *, struct http_request *, const char *);
void api_get_dump(struct api *, struct http_request *, const char *);
void api_get_config(struct api *, struct http_request *, const char *);
void api_get_targets(struct api *, struct http_request *, const char *);
void api_get_job(struct api *, struct http_request *, const char *);
void api_get_jobs(struct api *, struct http_request *, const char *);

#endif /* FP_APIPRIV_H */
