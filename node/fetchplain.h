/* fetchplain.h -- the part of the HTTP client for plain TCP
 *
 * Workload: a leader with a long poll to each of 1,000 to 2,000 targets and
 * some thousand short orders a second. The cost of a request depends neither
 * on the number of servers nor on the number of open connections: idle
 * connections are kept for each server, and the least recently used one of all
 * servers is closed when there are too many.
 *
 * Requests and responses are those of fetch.h.
 */
#ifndef FP_FETCHPLAIN_H
#define FP_FETCHPLAIN_H

#include "node/fetch.h"

struct plain_client;

struct plain_client *plain_client_new(uv_loop_t *loop);

/* Whether the client can send a request to the URL: http, to a numeric
 * address. */
bool plain_client_accepts(const char *url);

/* Starts a request whose URL is accepted. done is called once, from the event
 * loop and never before this returns. */
void plain_client_fetch(struct plain_client *client,
                        const struct fetch_request *request, fetch_done done,
                        void *ctx);

/* Bounds the connections that are open at once. A request that would need
 * another one fails with FP_ERR_NOT_CONNECTED, and counts as refused. */
void plain_client_set_connections_max(struct plain_client *client,
                                      uint32_t connections_max);
uint64_t plain_client_refused(const struct plain_client *client);

/* Bounds the sum of the bodies that are being received. Without room the
 * response that holds the most for the longest is dropped, and its request
 * ends with FP_ERR_ANSWER_TOO_LARGE. Small ones and one large one are always
 * received. */
void plain_client_set_bodies_max(struct plain_client *client,
                                 uint64_t max_bytes);
uint64_t plain_client_dropped(const struct plain_client *client);

/* The number of requests that have not ended. */
uint32_t plain_client_in_flight(const struct plain_client *client);

/* The number of connections opened so far. */
uint64_t plain_client_opened(const struct plain_client *client);

/* Cancels the requests in flight without calling their callbacks. The loop
 * must run afterwards for the handles to be closed. */
void plain_client_free(struct plain_client *client);

#endif /* FP_FETCHPLAIN_H */
