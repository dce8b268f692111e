/* owner.h -- requests at the host that owns the instances
 *
 * Joins the pure routing module with the HTTP client: follows the cell's
 * record of which instances this process owns, sends requests to them, and
 * tells all hosts a few times a second what is free here.
 */
#ifndef FP_OWNER_H
#define FP_OWNER_H

#include "core/route.h"
#include "node/assign.h"
#include "node/fetch.h"
#include "node/replica.h"

/* The end of one request at an owner. */
struct owner_result {
    enum fp_err err; /* FP_OK: answered by the target, whatever the status */
    uint32_t status;
    const char *content_type;
    const void *body;
    size_t body_bytes;
    const char *target;
    uint32_t retry_after_ms;
};

typedef void (*owner_done)(void *ctx, const struct owner_result *result);

struct owner;

struct owner *owner_new(struct replica *replica,
                        const struct settings *settings,
                        struct fetcher *fetcher);
void owner_free(struct owner *owner);

/* Runs a request on an instance owned here; done is called once, never from
 * within this call. call is copied.
 */
void owner_submit(struct owner *owner, const struct msg_call *call,
                  owner_done done, void *ctx);

/* The cell's targets, queues or teams changed. */
void owner_cell_changed(struct owner *owner);

/* The leader's caps on the units that a host should hold. */
void owner_set_caps(struct owner *owner, const struct msg_hint *hint);

/* Every 10 ms or so. */
void owner_tick(struct owner *owner, uint64_t now_ms);

/* Fills this host's hint: queues and demand; the caller frees the record. */
void owner_fill_hint(const struct owner *owner, struct msg_hint *hint,
                     uint64_t now_ms);

/* Shutdown: takes no new requests; returns slots and units as they fall idle.
 */
void owner_drain(struct owner *owner);

/* Reports whether the log holds nothing of this process any more. */
bool owner_returned_all(const struct owner *owner);

uint32_t owner_in_flight(const struct owner *owner);
json_t *owner_dump(const struct owner *owner);

#endif /* FP_OWNER_H */
