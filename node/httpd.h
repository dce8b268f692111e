/* httpd.h -- the HTTP server: h2o on libuv behind a small request interface
 */
#ifndef FP_HTTPD_H
#define FP_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/err.h"
#include "node/settings.h"

#define HTTPD_BODY_MAX_BYTES (1024u * 1024)
#define HTTPD_REQUEST_TIMEOUT_MS 30000u /* to receive a whole request */

struct httpd;

/* One request. It stays valid until http_reply(), also when the caller has
 * gone; the reply then goes nowhere.
 */
struct http_request;

/* Takes a whole request; must end in exactly one http_reply(). */
typedef void (*http_handler)(void *ctx, struct http_request *request);

/* Listens on address "IP:port". tls may be NULL.
 * Returns FP_ERR_NETWORK or FP_ERR_BAD_REQUEST (certificate) with why.
 */
enum fp_err httpd_new(uv_loop_t *loop, const char *address,
                      const struct settings_tls *tls, http_handler handler,
                      void *ctx, struct httpd **out, char *why,
                      size_t why_bytes);

/* From now on answers carry "Connection: close". */
void httpd_drain(struct httpd *httpd);

/* Takes no more connections. */
void httpd_stop_listening(struct httpd *httpd);

/* Requests that have no answer yet. */
uint32_t httpd_in_flight(const struct httpd *httpd);

/* Reports whether a connection is open, be it idle. */
bool httpd_has_connections(const struct httpd *httpd);

/* Closes its handles; call once nothing is in flight, while the loop still
 * runs. */
void httpd_close(struct httpd *httpd);

/* Frees the memory, after the loop has run its closing callbacks. */
void httpd_free(struct httpd *httpd);

/* Parts of a request. Texts are owned by the request. */
const char *http_method(const struct http_request *request);
const char *http_path(const struct http_request *request);  /* no query */
const char *http_query(const struct http_request *request); /* or "" */
const char *http_body(const struct http_request *request, size_t *size_bytes);

/* Copies a header (name in lower case) to value; "" when absent.
 * Returns false when it does not fit.
 */
bool http_header(const struct http_request *request, const char *name,
                 char *value, size_t value_bytes);

/* Copies a parameter of the query; false when absent or too long. */
bool http_query_value(const struct http_request *request, const char *name,
                      char *value, size_t value_bytes);

/* Answers and frees the request. retry_after_ms 0: no Retry-After. */
void http_reply(struct http_request *request, int status,
                const char *content_type, const void *body, size_t size_bytes,
                uint32_t retry_after_ms);

/* Answers with the table's row for err, as JSON. detail may be "". */
void http_reply_error(struct http_request *request, enum fp_err err,
                      const char *detail);

#endif /* FP_HTTPD_H */
