/* httpd.h -- HTTP server: wraps h2o on libuv
 *
 * All functions are called on the loop's thread.
 */
#ifndef FP_HTTPD_H
#define FP_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/err.h"
#include "node/entry.h"
#include "node/settings.h"

#define HTTPD_BODY_MAX_BYTES (1024u * 1024) /* h2o rejects larger bodies */
#define HTTPD_REQUEST_TIMEOUT_MS 30000u     /* to receive a complete request */

struct httpd;

/* One request. It stays valid until it is answered by http_reply() or
 * http_reply_error(). If the client disconnects before that, the reply is
 * discarded.
 */
struct http_request;

/* Called with each complete request. The handler must answer it exactly once,
 * by http_reply() or http_reply_error(), now or later.
 */
typedef void (*http_handler)(void *ctx, struct http_request *request);

/* Creates a server that listens on address, an IPv4 "IP:port", with TLS unless
 * tls is NULL. Returns FP_ERR_BAD_REQUEST for a malformed address or an
 * unusable certificate or key, FP_ERR_NETWORK when binding or listening fails;
 * why then holds the reason. *out is set on errors too; release it by
 * httpd_close() and httpd_free().
 */
enum fp_err httpd_new(uv_loop_t *loop, const char *address,
                      const struct settings_tls *tls, http_handler handler,
                      void *ctx, struct httpd **out, char *why,
                      size_t why_bytes);

/* How often a server met its bounds. */
struct httpd_counters {
    uint64_t refused_requests;
    uint64_t closed_idle;    /* connections, to make room for new ones */
    uint64_t closed_new;     /* connections, since all others were busy */
    uint64_t closed_partial; /* connections that sent requests slowly */
    uint64_t closed_unread;  /* connections that left answers unread */
    uint64_t refused_answers;
    uint64_t refused_since_read; /* all but closed_idle since the last
                                  * httpd_take_refused() */
};

/* Sets bounds on what the server takes in. A request beyond them is answered
 * at once by FP_ERR_HOST_FULL; its body is not read into a request. So is a
 * GET request whose large answer has no room; the connection of any other such
 * request is closed. SIGPIPE must be ignored. */
void httpd_set_bounds(struct httpd *httpd, const struct entry_bounds *bounds);

/* Closes connections while requests that are not complete hold more memory
 * than the bound, the one first that has held the most for the longest; call
 * it several times a second. Reads keep within the bound by themselves. */
void httpd_check_partial(struct httpd *httpd);

/* Refusals since the last call. */
uint64_t httpd_take_refused(struct httpd *httpd);

const struct entry_bounds *httpd_bounds(const struct httpd *httpd);
const struct httpd_counters *httpd_counters(const struct httpd *httpd);
void httpd_load(const struct httpd *httpd, struct entry_load *load);

/* Begins a graceful shutdown: each connection is closed after its next
 * response, which carries "Connection: close". New connections are still
 * accepted.
 */
void httpd_drain(struct httpd *httpd);

/* Closes the listening socket. Does nothing when called again. */
void httpd_stop_listening(struct httpd *httpd);

/* Returns the number of unanswered requests. */
uint32_t httpd_in_flight(const struct httpd *httpd);

/* Reports whether any HTTP/1 connection is open, idle ones included. */
bool httpd_has_connections(const struct httpd *httpd);

/* Stops listening and starts to close the server's handles. Call it when all
 * requests have been answered. It may run the loop once, so the handler and
 * everything else with callbacks on the loop must still exist. httpd may be
 * NULL.
 */
void httpd_close(struct httpd *httpd);

/* Frees the server. Call it after the loop has run the close callbacks that
 * httpd_close() caused. A server that still had connections in httpd_close()
 * is not freed. httpd may be NULL.
 */
void httpd_free(struct httpd *httpd);

/* Accessors. The strings belong to the request; the body is NUL-terminated,
 * with the NUL not counted in size_bytes.
 */
const char *http_method(const struct http_request *request);
const char *http_path(const struct http_request *request);  /* no query */
const char *http_query(const struct http_request *request); /* or "" */
const char *http_body(const struct http_request *request, size_t *size_bytes);

/* Copies the value of a header, whose name is compared without regard to case,
 * or "" when the header is absent. Returns false when the value does not fit
 * in value_bytes; value is then truncated.
 */
bool http_header(const struct http_request *request, const char *name,
                 char *value, size_t value_bytes);

/* Copies the percent-decoded value of a query parameter. Returns false when it
 * is absent, malformed or too long for value_bytes.
 */
bool http_query_param(const struct http_request *request, const char *name,
                      char *value, size_t value_bytes);

/* Sends a response with a copy of body and frees the request. An empty
 * content_type sends no Content-Type header; retry_after_ms is sent in
 * seconds, rounded up, or not at all when 0.
 */
void http_reply(struct http_request *request, int status,
                const char *content_type, const void *body, size_t size_bytes,
                uint32_t retry_after_ms);

/* Sends the row of the error table (base/err.h) for err as JSON and frees the
 * request. An empty detail is replaced by the row's text.
 */
void http_reply_error(struct http_request *request, enum fp_err err,
                      const char *detail);

#endif /* FP_HTTPD_H */
