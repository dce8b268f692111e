/* gatewaypriv.h -- declarations shared by gateway.c (routing and retries) and
 * admit.c (admission)
 */
#ifndef FP_GATEWAYPRIV_H
#define FP_GATEWAYPRIV_H

#include <glib.h>

#include "node/gateway.h"

/* A request is sent at most this many times, each time to an owner: a process
 * that owns instances of the queue's service (node/owner.h). */
#define TRIES_MAX 4u

/* What an exchange waits for. */
enum exchange_step {
    STEP_COMMIT_INTENT, /* commit of the intent */
    STEP_AWAIT_FIRST,   /* outcome of the first request with this key */
    STEP_BACKOFF,       /* time of the next try */
    STEP_AT_OWNER,      /* result from the owner */
    STEP_COMMIT_OUTCOME /* commit of the outcome */
};

/* A caller's request, from its arrival until it is answered. */
struct exchange {
    struct gateway *gateway;
    struct http_request *request; /* NULL once answered */
    struct msg_call msg;          /* each try has its own request_id */
    char service[NAME_BYTES];
    enum exchange_step step;
    uint64_t deadline_ms;
    uint64_t received_ms;
    uint64_t resume_ms; /* end of STEP_BACKOFF and STEP_AWAIT_FIRST */
    char tried[TRIES_MAX][MSG_HOST_BYTES]; /* owners that it was sent to */
    bool refused[TRIES_MAX]; /* an instance of the owner did not accept the
                              * connection */
    uint32_t tries;
    bool intent_recorded; /* the intent is or may be in the log */
    /* Result of the last try. */
    enum fp_err err;
    uint32_t retry_after_ms;
    uint32_t status;
    char content_type[128];
    struct fp_blob body;
    char target[NAME_BYTES];
};

/* A request that another gateway sent to this owner. */
struct peer_request {
    struct gateway *gateway;
    char host[MSG_HOST_BYTES]; /* host of that gateway */
    uint64_t request_id;
};

/* Offset of this host's clock from that of another: the smallest difference
 * between receive time and send time, that is, of the message with the
 * shortest delay.
 */
struct clock_offset {
    int64_t min_ms;
    uint64_t since_ms; /* start of the measurement */
};

struct gateway {
    struct replica *replica;
    const struct settings *settings;
    struct owner *owner;
    struct picker *picker;
    GHashTable *exchanges;      /* set of struct exchange */
    GHashTable *awaiting_owner; /* request ID to struct exchange */
    GHashTable *clock_offsets;  /* host to struct clock_offset */
    uint64_t last_request_id;
    double retry_budget; /* retries that may be made now */
    uint64_t requests;
    uint64_t retries;
    uint64_t peer_requests;
    uint64_t peer_requests_expired; /* refused, past their deadline */
    uint64_t answer_counts[FP_ERR_COUNT];
    uint64_t peer_requests_in_flight;
};

/* Checks the exchange's request and fills the exchange from its key, path,
 * headers and body. Returns FP_OK, or why the request is not admitted, with a
 * detail that may be "".
 */
enum fp_err gateway_admit(struct exchange *exchange, char *detail,
                          size_t detail_bytes);

#endif /* FP_GATEWAYPRIV_H */
