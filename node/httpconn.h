/* httpconn.h -- the connections of an HTTP server, and what they hold
 *
 * Counts the bytes that clients have sent and that are not handled yet, and
 * those of answers that have not been sent, and keeps both within the bounds
 * of node/entry.h. Used by httpd.c only.
 *
 * h2o reads into a buffer of each connection, without a bound on their sum.
 * The callbacks that libuv reads with are therefore wrapped: a read gets no
 * more room than the bound leaves, and connections that hold much and move
 * little are closed for it.
 */
#ifndef FP_HTTPCONN_H
#define FP_HTTPCONN_H

#define H2O_USE_LIBUV 1
#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

#include "node/entry.h"
#include "node/httpd.h"

struct httpconns {
    uv_loop_t *loop;
    struct entry_bounds bounds;
    struct httpd_counters counters;
    GHashTable *sockets;   /* h2o_socket_t to struct client_conn */
    GQueue idle;           /* struct client_conn without unanswered requests,
                            * the one that is idle for longest first */
    GQueue answered;       /* whose request was freed; h2o may read again */
    GQueue sending;        /* with an answer that is being sent, the oldest
                            * one first */
    uint32_t ending;       /* shut down and not closed yet */
    uint64_t input_bytes;  /* sum of the connections' input_bytes */
    uint64_t answer_bytes; /* sum of the connections' answer_bytes */
    uv_prepare_t prepare;
};

/* A client's connection. */
struct client_conn {
    uv_tcp_t tcp; /* must be first */
    struct httpconns *conns;
    h2o_socket_t *socket;  /* NULL: closed before anything was read */
    uv_alloc_cb h2o_alloc; /* the callbacks that are wrapped */
    uv_read_cb h2o_read;
    uint32_t requests;       /* that h2o holds: not answered, or being sent */
    uint64_t input_bytes;    /* received, not handled */
    uint64_t input_since_ms; /* when it last held nothing */
    uint64_t answer_bytes;   /* of a large answer that is being sent */
    uint64_t sending_since_ms; /* while it is in the queue sending */
    bool is_ending;            /* shut down, since its answer is not read */
    GList idle_link; /* data NULL: not in the queue; the same below */
    GList answered_link;
    GList sending_link;
};

void httpconns_init(struct httpconns *conns, uv_loop_t *loop);

/* Starts to close the handle of the struct; all connections must be closed. */
void httpconns_close(struct httpconns *conns);
void httpconns_free(struct httpconns *conns);

/* Accepts a connection, within the bounds. Returns NULL if it was closed; else
 * call httpconns_watch() once h2o reads from its socket. */
struct client_conn *httpconns_accept(struct httpconns *conns,
                                     uv_stream_t *listener);
void httpconns_watch(struct client_conn *conn);

/* The connection of a request; NULL: not known. */
struct client_conn *httpconns_find(struct httpconns *conns,
                                   const h2o_req_t *req);

/* A request was received whole; h2o has freed it, sent or not. */
void httpconns_request_began(struct client_conn *conn);
void httpconns_request_ended(struct client_conn *conn);

/* Whether an answer of that many bytes is sent; it then counts until the
 * request has ended. If not, connections with large answers are shut down, the
 * oldest first, until another one would find room. Small ones are always sent.
 */
bool httpconns_take_answer(struct client_conn *conn, uint64_t bytes);

/* Shuts a connection down; h2o frees it in its next event. */
void httpconns_shut_down(struct client_conn *conn);

/* Closes connections while their input exceeds the bound, for input that was
 * read beside the wrapped callbacks. */
void httpconns_check_input(struct httpconns *conns);

void httpconns_count(struct httpconns *conns, uint64_t *counter);

#endif /* FP_HTTPCONN_H */
