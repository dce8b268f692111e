/* gateway.h -- callers' requests: admission, choice of owner, retries,
 * at-most-once
 *
 * A request under /call/QUEUE/PATH is checked against the key, the queue and
 * this host's freshness, handed to an owner, and answered with the target's
 * own answer or one row of the error table. It is tried again only when it
 * certainly did not run, or is marked repeatable, within the caller's
 * deadline and the host's retry budget.
 */
#ifndef FP_GATEWAY_H
#define FP_GATEWAY_H

#include "core/pick.h"
#include "node/httpd.h"
#include "node/owner.h"
#include "node/replica.h"

struct gateway;

struct gateway *gateway_new(struct replica *replica,
                            const struct settings *settings,
                            struct owner *owner);
void gateway_free(struct gateway *gateway);

/* Takes over a request whose path begins with /call/. */
void gateway_handle_request(struct gateway *gateway,
                            struct http_request *request);

/* A message of another gateway, or an owner's answer to one of ours. */
void gateway_on_message(struct gateway *gateway, const char *from,
                        uint32_t type, const void *msg);

/* A host's hint, this host's own included. */
void gateway_on_hint(struct gateway *gateway, const struct msg_hint *hint);

/* Every 10 ms or so. */
void gateway_tick(struct gateway *gateway, uint64_t now_ms);

/* Reads the team of the request's key. FP_OK with team "" when no key came. */
enum fp_err gateway_authenticate(const struct cell *cell,
                                 const struct http_request *request,
                                 char team[NAME_BYTES], char hash[72]);

uint32_t gateway_in_flight(const struct gateway *gateway);
json_t *gateway_dump(const struct gateway *gateway);

#endif /* FP_GATEWAY_H */
