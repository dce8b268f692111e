/* fetch.h -- the HTTP client: libcurl's multi interface on libuv
 */
#ifndef FP_FETCH_H
#define FP_FETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/err.h"

/* What to send. Texts are copied. */
struct fetch_request {
    const char *method;
    const char *url;
    const char *content_type;   /* NULL or "": none */
    const char *request_id;     /* sent as X-Request-Id; NULL: none */
    const char *bearer;         /* Authorization; NULL: none */
    const char *const *headers; /* name, value, ..., NULL; NULL: none */
    const void *body;
    size_t body_bytes;
    uint64_t timeout_ms;
    uint64_t connect_ms; /* bound on connecting; 0: timeout_ms */
    size_t answer_max_bytes;
    uint64_t opened_before_ms; /* only over a kept connection opened before
                                * this (clock_mono_ms()), else
                                * FP_ERR_NOT_CONNECTED; 0: over any */
    bool once; /* never sent a second time, not even by the library */
};

/* What came back. err says how far it got:
 *   FP_OK                   a whole answer, whatever its status
 *   FP_ERR_NOT_CONNECTED    no byte of the request left
 *   FP_ERR_DEADLINE_EXCEEDED timed out before a byte left
 *   FP_ERR_MAY_HAVE_RUN     bytes left and no whole answer came
 *   FP_ERR_TRUNCATED        the answer ended early, or its end is not marked
 *   FP_ERR_ANSWER_MISMATCH  the answer names another request
 *   FP_ERR_ANSWER_TOO_LARGE the answer is over answer_max_bytes
 */
struct fetch_answer {
    enum fp_err err;
    uint32_t status;
    const char *content_type; /* "" when absent */
    const void *body;
    size_t body_bytes;
    uint32_t took_ms;
};

typedef void (*fetch_done)(void *ctx, const struct fetch_answer *answer);

struct fetcher;

struct fetcher *fetcher_new(uv_loop_t *loop);

/* Starts a request; done is called once, from the loop. */
void fetch(struct fetcher *fetcher, const struct fetch_request *request,
           fetch_done done, void *ctx);

/* Requests without an answer yet. */
uint32_t fetcher_in_flight(const struct fetcher *fetcher);

/* Drops what is in flight without calling back. */
void fetcher_free(struct fetcher *fetcher);

#endif /* FP_FETCH_H */
