/* gateway.h -- callers' requests: admission, choice of owner, retries,
 * idempotency keys
 *
 * A request under /call/QUEUE/PATH is admitted if its key may use the queue
 * and this host's configuration is fresh. It is sent to an owner and answered
 * with the target's answer or with a row of the error table. It is retried
 * only when it certainly did not run or is marked repeatable, within the
 * caller's deadline and the host's retry budget. A request with an idempotency
 * key runs at most once: its intent is committed before it is sent, and its
 * outcome once it has ended.
 */
#ifndef FP_GATEWAY_H
#define FP_GATEWAY_H

#include "core/pick.h"
#include "node/httpd.h"
#include "node/owner.h"
#include "node/replica.h"

struct gateway;

/* The gateway uses the arguments until gateway_free(), which itself uses none
 * of them. */
struct gateway *gateway_new(struct replica *replica,
                            const struct settings *settings,
                            struct owner *owner);

/* Does not answer requests in flight. */
void gateway_free(struct gateway *gateway);

/* Admits and answers a request whose path begins with /call/; takes ownership
 * of it.
 */
void gateway_handle_request(struct gateway *gateway,
                            struct http_request *request);

/* Handles MSG_CALL, a request of another gateway, and MSG_CALL_REPLY, an
 * owner's answer to a request of this one.
 */
void gateway_on_message(struct gateway *gateway, const char *from,
                        uint32_t type, const void *msg);

/* Handles a hint of any host, this one included; the hint is copied. */
void gateway_on_hint(struct gateway *gateway, const struct msg_hint *hint);

/* Continues requests whose backoff or deadline has passed. To be called about
 * every 10 ms.
 */
void gateway_tick(struct gateway *gateway, uint64_t now_ms);

/* Fills the team and the hash of the request's key; both are "" when it has
 * none. Returns FP_ERR_NO_KEY when the key is malformed, unknown or withdrawn.
 */
enum fp_err gateway_authenticate(const struct cell *cell,
                                 const struct http_request *request,
                                 char team[NAME_BYTES], char hash[72]);

/* Number of requests without an answer, those of other gateways included. */
uint32_t gateway_in_flight(const struct gateway *gateway);

/* Returns the state for /v1/dump; the caller releases it. */
json_t *gateway_dump(const struct gateway *gateway);

#endif /* FP_GATEWAY_H */
