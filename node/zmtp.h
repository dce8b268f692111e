/* zmtp.h -- decodes a connection that a peer opened, in ZeroMQ's protocol
 *
 * ZMTP 3.1 (RFC 37) with the mechanism NULL, as its listening side: greeting,
 * READY, then messages of one frame, and pings. A peer that sends anything
 * else breaks the protocol. Pure: the caller passes in what it has read. What
 * a decoder holds never exceeds one frame, and zmtp_growth_bytes() says how
 * much more it would hold before it takes bytes.
 */
#ifndef FP_ZMTP_H
#define FP_ZMTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ZMTP_PEER_BYTES 32u   /* the longest name of a peer, with the NUL */
#define ZMTP_PING_BYTES 16u   /* the longest context of a ping */
#define ZMTP_HEAD_BYTES 9u    /* of a frame: flags and a long size */
#define ZMTP_ANSWER_BYTES 128 /* room for each of the answers below */

enum zmtp_event {
    ZMTP_MORE,    /* all bytes are taken, and nothing is complete */
    ZMTP_READY,   /* the handshake is complete */
    ZMTP_MESSAGE, /* a message is complete; see zmtp_steal_message() */
    ZMTP_PING,    /* to be answered by zmtp_pong() */
    ZMTP_ERROR    /* the peer broke the protocol; take nothing more */
};

enum zmtp_phase { ZMTP_IN_GREETING, ZMTP_IN_HEAD, ZMTP_IN_BODY };

struct zmtp {
    enum zmtp_phase phase;
    bool is_ready;
    char peer[ZMTP_PEER_BYTES]; /* as it names itself; "": it does not */
    uint8_t head[ZMTP_HEAD_BYTES];
    uint32_t position_bytes; /* within the greeting, head or body */
    uint8_t *body;           /* of the frame, incomplete */
    uint32_t body_bytes;     /* its size when it is complete */
    uint32_t room_bytes;     /* allocated for it so far */
    uint32_t message_max_bytes;
    uint8_t ping[ZMTP_PING_BYTES]; /* context of the last ping */
    uint32_t ping_bytes;
};

void zmtp_init(struct zmtp *zmtp, uint32_t message_max_bytes);

/* Frees what the decoder holds. */
void zmtp_clear(struct zmtp *zmtp);

/* The most by which room_bytes grows when so many bytes are taken. */
uint32_t zmtp_growth_bytes(const struct zmtp *zmtp, size_t size_bytes);

/* Takes bytes up to the first event, and sets used_bytes to their number. */
enum zmtp_event zmtp_take(struct zmtp *zmtp, const uint8_t *data,
                          size_t size_bytes, size_t *used_bytes);

/* Returns the complete message, to be freed by g_free(), and its size. */
uint8_t *zmtp_steal_message(struct zmtp *zmtp, uint32_t *size_bytes);

/* Write what the listening side sends, and return its size: the greeting with
 * READY once a connection is open, and the answer to the last ping. */
uint32_t zmtp_hello(uint8_t out[ZMTP_ANSWER_BYTES]);
uint32_t zmtp_pong(const struct zmtp *zmtp, uint8_t out[ZMTP_ANSWER_BYTES]);

/* Writes the head of a message and returns its size. */
uint32_t zmtp_message_head(uint32_t size_bytes, uint8_t out[ZMTP_HEAD_BYTES]);

#endif /* FP_ZMTP_H */
