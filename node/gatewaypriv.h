/* gatewaypriv.h -- what gateway.c (a request's way) and admit.c (its
 * admission) share
 */
#ifndef FP_GATEWAYPRIV_H
#define FP_GATEWAYPRIV_H

#include <glib.h>

#include "node/gateway.h"

#define TRIES_MAX 4u

enum exchange_step {
    STEP_INTENT,  /* the intent is being committed */
    STEP_WAIT,    /* a resend waits for the first one's outcome */
    STEP_BACKOFF, /* before the next try */
    STEP_OWNER,   /* an owner has it */
    STEP_OUTCOME  /* the outcome is being committed */
};

/* One caller's request from its arrival to its answer. */
struct exchange {
    struct gateway *gateway;
    struct http_request *request;
    struct msg_call msg; /* request_id differs for each try */
    char service[NAME_BYTES];
    enum exchange_step step;
    uint64_t deadline_ms;
    uint64_t came_ms;
    uint64_t next_ms; /* STEP_BACKOFF, STEP_WAIT: when to go on */
    char tried[TRIES_MAX][MSG_HOST_BYTES];
    uint32_t tries;
    bool recorded; /* an intent is in the log */
    /* The result so far. */
    enum fp_err err;
    uint32_t retry_after_ms;
    uint32_t status;
    char content_type[128];
    struct fp_blob body;
    char target[NAME_BYTES];
};

/* A request that another gateway handed to this owner. */
struct foreign {
    struct gateway *gateway;
    char host[MSG_HOST_BYTES];
    uint64_t request_id;
};

/* The clock of another host against this one's: the least difference seen
 * stands for a message without delay.
 */
struct offset {
    int64_t least_ms;
    uint64_t since_ms;
};

struct gateway {
    struct replica *replica;
    const struct settings *settings;
    struct owner *owner;
    struct picker *pick;
    GHashTable *exchanges; /* the set of struct exchange */
    GHashTable *waiting;   /* request ID to struct exchange, at an owner */
    GHashTable *offsets;   /* host to struct offset */
    uint64_t next_id;
    double budget;
    uint64_t requests;
    uint64_t retries;
    uint64_t foreign;
    uint64_t expired; /* requests of others that came too late */
    uint64_t answers[FP_ERR_COUNT];
    uint64_t foreign_in_flight;
};

/* Fills the exchange from its request: key, queue, path, headers, body.
 * Returns what keeps it from being admitted, with a detail.
 */
enum fp_err gateway_admit(struct exchange *exchange, char *detail,
                          size_t detail_bytes);

#endif /* FP_GATEWAYPRIV_H */
