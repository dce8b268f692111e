/* gatewaypriv.h -- what gateway.c (a request's way) and admit.c (its
 * admission) share
 */
#ifndef FP_GATEWAYPRIV_H
#define FP_GATEWAYPRIV_H

#include <glib.h>

#include "node/gateway.h"

#define TRIES_MAX 4u

enum exchange_step {
    STEP_COMMIT_INTENT, /* the intent is being committed */
    STEP_AWAIT_FIRST,   /* a resend waits for the first one's outcome */
    STEP_BACKOFF,       /* before the next try */
    STEP_AT_OWNER,      /* an owner has it */
    STEP_COMMIT_OUTCOME /* the outcome is being committed */
};

/* One caller's request from its arrival to its answer. */
struct exchange {
    struct gateway *gateway;
    struct http_request *request;
    struct msg_call msg; /* request_id differs for each try */
    char service[NAME_BYTES];
    enum exchange_step step;
    uint64_t deadline_ms;
    uint64_t received_ms;
    uint64_t resume_ms; /* STEP_BACKOFF, STEP_AWAIT_FIRST: when to go on */
    char tried[TRIES_MAX][MSG_HOST_BYTES];
    uint32_t tries;
    bool intent_recorded; /* an intent is in the log */
    /* The result so far. */
    enum fp_err err;
    uint32_t retry_after_ms;
    uint32_t status;
    char content_type[128];
    struct fp_blob body;
    char target[NAME_BYTES];
};

/* A request that another gateway handed to this owner. */
struct peer_request {
    struct gateway *gateway;
    char host[MSG_HOST_BYTES];
    uint64_t request_id;
};

/* The clock of another host against this one's: the least difference seen
 * stands for a message without delay.
 */
struct clock_offset {
    int64_t min_ms;
    uint64_t since_ms;
};

struct gateway {
    struct replica *replica;
    const struct settings *settings;
    struct owner *owner;
    struct picker *picker;
    GHashTable *exchanges; /* the set of struct exchange */
    GHashTable
        *awaiting_owner;       /* request ID to struct exchange, at an owner */
    GHashTable *clock_offsets; /* host to struct clock_offset */
    uint64_t last_request_id;
    double retry_budget;
    uint64_t requests;
    uint64_t retries;
    uint64_t peer_requests;
    uint64_t peer_requests_expired; /* requests of others that came too late */
    uint64_t answer_counts[FP_ERR_COUNT];
    uint64_t peer_requests_in_flight;
};

/* Fills the exchange from its request: key, queue, path, headers, body.
 * Returns what keeps it from being admitted, with a detail.
 */
enum fp_err gateway_admit(struct exchange *exchange, char *detail,
                          size_t detail_bytes);

#endif /* FP_GATEWAYPRIV_H */
