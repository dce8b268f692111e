/* owner.h -- sends requests to the instances that this process owns
 *
 * Connects the router (core/route.h) with the HTTP client: reads from the
 * cell which instances and team units belong to this process, sends requests
 * to these instances, and returns instances and units that it does not need.
 * The free capacity goes to all hosts in hints, a few times a second.
 */
#ifndef FP_OWNER_H
#define FP_OWNER_H

#include "core/route.h"
#include "node/assign.h"
#include "node/fetch.h"
#include "node/replica.h"

/* Result of one request. */
struct owner_result {
    enum fp_err err; /* FP_OK: the target answered, with any status */
    uint32_t status;
    const char *content_type;
    const void *body;
    size_t body_bytes;
    const char *target;      /* "" when nothing was sent */
    uint32_t retry_after_ms; /* 0: default of the error kind */
};

/* Called with the result of a request, which is valid until it returns. */
typedef void (*owner_done)(void *ctx, const struct owner_result *result);

struct owner;

/* The owner uses the arguments until owner_free(), which itself uses none of
 * them. */
struct owner *owner_new(struct replica *replica,
                        const struct settings *settings,
                        struct fetcher *fetcher);

/* Drops requests without calling done. */
void owner_free(struct owner *owner);

/* Sends a request to an instance of its queue's service, or queues it until a
 * slot is free. call is copied. done is called exactly once, never before this
 * function returns.
 */
void owner_submit(struct owner *owner, const struct msg_call *call,
                  owner_done done, void *ctx);

/* To be called when the cell's targets, queues or teams have changed. */
void owner_cell_changed(struct owner *owner);

/* Replaces the most units of each team that a host should hold by the caps in
 * a hint of the leader.
 */
void owner_set_caps(struct owner *owner, const struct msg_hint *hint);

/* Sends queued requests, delivers refusals and returns slots and units. To be
 * called about every 10 ms.
 */
void owner_tick(struct owner *owner, uint64_t now_ms);

/* Fills this host's hint, except for the leader's caps. hint must be zero; the
 * caller frees it with fp_record_free().
 */
void owner_fill_hint(const struct owner *owner, struct msg_hint *hint,
                     uint64_t now_ms);

/* Begins the shutdown: refuses queued and new requests, and returns slots and
 * units as they become idle.
 */
void owner_drain(struct owner *owner);

/* Returns whether this process holds no slots and no units in the cell. */
bool owner_returned_all(const struct owner *owner);

/* Number of requests whose result has not been delivered, without those that
 * wait for a slot.
 */
uint32_t owner_in_flight(const struct owner *owner);

/* Returns the state for /v1/dump; the caller releases it. */
json_t *owner_dump(const struct owner *owner);

#endif /* FP_OWNER_H */
