/* fetchtext.h -- HTTP/1.1 requests as text, and URLs of numeric addresses
 */
#ifndef FP_FETCHTEXT_H
#define FP_FETCHTEXT_H

#include <glib.h>
#include <sys/socket.h>

#include "node/fetch.h"

#define FETCH_ADDRESS_BYTES 64u /* an address with its port, as text */

/* Returns the text of a request, head and body, which the caller frees. NULL:
 * a value would break out of its header line.
 */
GString *fetch_request_text(const struct fetch_request *request,
                            const char *address, const char *path);

/* Splits http://ADDRESS:PORT/PATH. Returns false unless the scheme is http and
 * the address is numeric (IPv4). address gets FETCH_ADDRESS_BYTES at most,
 * with the port as in the URL; *path points into the URL, or to "/".
 */
bool fetch_split_url(const char *url, char *address,
                     struct sockaddr_storage *out, const char **path);

#endif /* FP_FETCHTEXT_H */
