/* fetch.h -- the HTTP client
 *
 * Requests over plain TCP to numeric addresses are sent by fetchplain.c, all
 * others by libcurl.
 */
#ifndef FP_FETCH_H
#define FP_FETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/err.h"

/* A request. fetch() copies all strings and the body. */
struct fetch_request {
    const char *method;
    const char *url;            /* http or https */
    const char *content_type;   /* NULL or "": none */
    const char *request_id;     /* sent as X-Request-Id; NULL: none */
    const char *bearer_token;   /* sent as Authorization; NULL: none */
    const char *const *headers; /* name, value, ..., NULL; NULL: none */
    /* IPv4 address that a new connection comes from, for servers that tell
     * their callers apart by it; NULL: any. An address that is not local, or
     * from which the server cannot be reached, is not used. */
    const char *source;
    const void *body;
    size_t body_bytes;
    uint64_t timeout_ms;         /* for the whole exchange */
    uint64_t connect_timeout_ms; /* for connecting; 0: timeout_ms */
    size_t response_max_bytes;   /* of the body */
    /* If not 0: the request is sent only over a pooled connection that was
     * opened before this time (clock_mono_ms()); without one it fails with
     * FP_ERR_NOT_CONNECTED. */
    uint64_t opened_before_ms;
    /* Use a new connection: when a pooled connection fails, libcurl may send
     * the request a second time. */
    bool no_resend;
};

/* The result of a request. err is one of
 *   FP_OK                   a complete response, with any status
 *   FP_ERR_NOT_CONNECTED    failed before any byte was sent
 *   FP_ERR_DEADLINE_EXCEEDED timed out before any byte was sent
 *   FP_ERR_MAY_HAVE_RUN     bytes were sent, but no complete response came
 *   FP_ERR_TRUNCATED        the response ended early, or has neither
 *                           Content-Length nor Transfer-Encoding
 *                           (HEAD, 204 and 304 excepted)
 *   FP_ERR_ANSWER_MISMATCH  the response has another request's X-Request-Id
 *   FP_ERR_ANSWER_TOO_LARGE the body is larger than response_max_bytes
 */
struct fetch_response {
    enum fp_err err;
    uint32_t status;          /* HTTP status; 0 when none was received */
    const char *content_type; /* "" when absent */
    const void *body;
    size_t body_bytes;
    uint32_t duration_ms;
    /* With FP_ERR_MAY_HAVE_RUN or FP_ERR_TRUNCATED: the peer ended the
     * connection; otherwise the time was over or the response is invalid. */
    bool closed;
};

/* Reports the end of a request. response is valid during the call. */
typedef void (*fetch_done)(void *ctx, const struct fetch_response *response);

struct fetcher;

/* Creates a client with a connection pool of its own. */
struct fetcher *fetcher_new(uv_loop_t *loop);

/* Starts a request. done is called once, from the event loop and never before
 * fetch() returns. */
void fetch(struct fetcher *fetcher, const struct fetch_request *request,
           fetch_done done, void *ctx);

/* Bounds the plain connections that are open at once. A request that would
 * need another one fails with FP_ERR_NOT_CONNECTED, and counts as refused. */
void fetcher_set_connections_max(struct fetcher *fetcher,
                                 uint32_t connections_max);
uint64_t fetcher_refused(const struct fetcher *fetcher);

/* Bounds the sum of the bodies that are being received over plain connections.
 * Without room the response that holds the most for the longest is dropped,
 * and its request ends with FP_ERR_ANSWER_TOO_LARGE. */
void fetcher_set_bodies_max(struct fetcher *fetcher, uint64_t max_bytes);
uint64_t fetcher_dropped(const struct fetcher *fetcher);

/* The number of requests that have not ended. */
uint32_t fetcher_in_flight(const struct fetcher *fetcher);

/* The number of plain connections opened so far. */
uint64_t fetcher_connections_opened(const struct fetcher *fetcher);

/* Cancels the requests in flight without calling their callbacks. The loop
 * must run afterwards for the handles to be closed. fetcher may be NULL. */
void fetcher_free(struct fetcher *fetcher);

#endif /* FP_FETCH_H */
