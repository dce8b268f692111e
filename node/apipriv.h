/* apipriv.h -- declarations shared by api.c and apiquery.c */
#ifndef FP_APIPRIV_H
#define FP_APIPRIV_H

#include "node/api.h"

struct api {
    struct api_deps deps;
};

/* Answers one request, now or later. suffix is the part of the path that
 * follows the route's path; "" for a route that matches its path exactly.
 */
typedef void (*api_handler)(struct api *api, struct http_request *request,
                            const char *suffix);

/* Sends a JSON response and frees the request; takes over the reference to
 * body. retry_after_ms as in http_reply().
 */
void api_reply(struct http_request *request, int status, json_t *body,
               uint32_t retry_after_ms);

/* Reports whether the request carries the operator key. */
bool api_is_operator(const struct api *api,
                     const struct http_request *request);

/* Query handlers, in apiquery.c. */
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
