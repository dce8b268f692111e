/* zmtp.c -- decodes a connection that a peer opened, in ZeroMQ's protocol */
#include "node/zmtp.h"

#include <glib.h>
#include <string.h>

#define GREETING_BYTES 64u
#define MECHANISM_OFFSET 12u
#define MECHANISM_BYTES 20u
#define SIGNATURE_START 0xff
#define SIGNATURE_END 0x7f
#define SIGNATURE_END_OFFSET 9u
#define VERSION_OFFSET 10u
#define VERSION_MAJOR 3
#define VERSION_MINOR 1

#define FLAG_MORE 0x01
#define FLAG_LONG 0x02
#define FLAG_COMMAND 0x04
#define FLAGS_KNOWN (FLAG_MORE | FLAG_LONG | FLAG_COMMAND)

#define SHORT_HEAD_BYTES 2u
#define SHORT_BODY_MAX 255u
#define COMMAND_MAX_BYTES 1024u
#define PING_TTL_BYTES 2u

static const uint8_t READY[] = "\5READY"
                               "\13Socket-Type\0\0\0\6ROUTER"
                               "\10Identity\0\0\0";
static const char MECHANISM[MECHANISM_BYTES] = "NULL";

static uint64_t
read_number(const uint8_t *data, uint32_t bytes)
{
    uint64_t number = 0;

    for (uint32_t i = 0; i < bytes; i++) {
        number = number << 8 | data[i];
    }
    return number;
}

/* Whether a command, or a property of READY, has this name, which is preceded
 * by its length. */
static bool
has_name(const uint8_t *data, uint32_t bytes, const char *name)
{
    const uint32_t length = (uint32_t)strlen(name);

    return bytes > length && data[0] == length &&
           g_ascii_strncasecmp((const char *)data + 1, name, length) == 0;
}

static enum zmtp_event
fail(struct zmtp *zmtp)
{
    zmtp_clear(zmtp);
    return ZMTP_ERROR;
}

static bool
is_greeting_byte(uint32_t offset, uint8_t byte)
{
    if (offset == 0) {
        return byte == SIGNATURE_START;
    }
    if (offset == SIGNATURE_END_OFFSET) {
        return byte == SIGNATURE_END;
    }
    if (offset == VERSION_OFFSET) {
        return byte >= VERSION_MAJOR;
    }
    return offset < MECHANISM_OFFSET ||
           offset >= MECHANISM_OFFSET + MECHANISM_BYTES ||
           byte == (uint8_t)MECHANISM[offset - MECHANISM_OFFSET];
}

static bool
take_property(struct zmtp *zmtp, const uint8_t *name, uint32_t name_bytes,
              const uint8_t *value, uint32_t value_bytes)
{
    if (has_name(name, name_bytes, "Identity")) {
        if (value_bytes >= sizeof(zmtp->peer) ||
            memchr(value, 0, value_bytes) != NULL) {
            return false;
        }
        memcpy(zmtp->peer, value, value_bytes);
        zmtp->peer[value_bytes] = '\0';
    }
    return !has_name(name, name_bytes, "Socket-Type") ||
           (value_bytes == strlen("DEALER") &&
            memcmp(value, "DEALER", value_bytes) == 0);
}

/* Properties follow the name of the command: each a name, preceded by its
 * length in a byte, and a value, preceded by its length in four. */
static bool
take_ready(struct zmtp *zmtp)
{
    const uint8_t *at = zmtp->body + 1 + strlen("READY");
    uint32_t left = zmtp->body_bytes - 1 - (uint32_t)strlen("READY");

    while (left > 0) {
        const uint32_t name_bytes = 1u + at[0];
        uint64_t value_bytes;

        if (left < name_bytes + sizeof(uint32_t)) {
            return false;
        }
        value_bytes = read_number(at + name_bytes, sizeof(uint32_t));
        left -= name_bytes + (uint32_t)sizeof(uint32_t);
        if (value_bytes > left ||
            !take_property(zmtp, at, name_bytes,
                           at + name_bytes + sizeof(uint32_t),
                           (uint32_t)value_bytes)) {
            return false;
        }
        left -= (uint32_t)value_bytes;
        at += name_bytes + sizeof(uint32_t) + value_bytes;
    }
    return true;
}

static enum zmtp_event
end_command(struct zmtp *zmtp)
{
    const uint32_t ping_head = 1u + (uint32_t)strlen("PING") + PING_TTL_BYTES;
    enum zmtp_event event = ZMTP_MORE;

    if (!zmtp->is_ready) {
        if (!has_name(zmtp->body, zmtp->body_bytes, "READY") ||
            !take_ready(zmtp)) {
            return fail(zmtp);
        }
        zmtp->is_ready = true;
        event = ZMTP_READY;
    }
    else if (has_name(zmtp->body, zmtp->body_bytes, "PING")) {
        if (zmtp->body_bytes < ping_head ||
            zmtp->body_bytes - ping_head > ZMTP_PING_BYTES) {
            return fail(zmtp);
        }
        zmtp->ping_bytes = zmtp->body_bytes - ping_head;
        memcpy(zmtp->ping, zmtp->body + ping_head, zmtp->ping_bytes);
        event = ZMTP_PING;
    }
    zmtp_clear(zmtp);
    return event;
}

/* Of a frame whose body is complete. */
static enum zmtp_event
end_frame(struct zmtp *zmtp)
{
    zmtp->phase = ZMTP_IN_HEAD;
    zmtp->position_bytes = 0;
    return (zmtp->head[0] & FLAG_COMMAND) != 0 ? end_command(zmtp)
                                               : ZMTP_MESSAGE;
}

static uint32_t
head_bytes(const struct zmtp *zmtp)
{
    return (zmtp->head[0] & FLAG_LONG) != 0 ? ZMTP_HEAD_BYTES
                                            : SHORT_HEAD_BYTES;
}

/* Of a head that is complete. */
static enum zmtp_event
end_head(struct zmtp *zmtp)
{
    const uint8_t flags = zmtp->head[0];
    const uint64_t size = read_number(zmtp->head + 1, head_bytes(zmtp) - 1);
    const bool is_command = (flags & FLAG_COMMAND) != 0;

    /* Parts of a message would be held until the last one comes. */
    if ((flags & FLAG_MORE) != 0 || (flags & ~FLAGS_KNOWN) != 0 ||
        (!is_command && !zmtp->is_ready) ||
        size > (is_command ? COMMAND_MAX_BYTES : zmtp->message_max_bytes)) {
        return fail(zmtp);
    }
    zmtp->phase = ZMTP_IN_BODY;
    zmtp->position_bytes = 0;
    zmtp->body_bytes = (uint32_t)size;
    return size == 0 ? end_frame(zmtp) : ZMTP_MORE;
}

/* The room for a body of which so many bytes are there: twice the last one,
 * up to the whole body. */
static uint32_t
body_room(const struct zmtp *zmtp, uint32_t needed_bytes)
{
    return needed_bytes <= zmtp->room_bytes
               ? zmtp->room_bytes
               : MIN(zmtp->body_bytes,
                     MAX(needed_bytes, 2 * zmtp->room_bytes));
}

static enum zmtp_event
take_body(struct zmtp *zmtp, const uint8_t *data, size_t size_bytes,
          size_t *used_bytes)
{
    const uint32_t count = (uint32_t)MIN(
        size_bytes, (size_t)(zmtp->body_bytes - zmtp->position_bytes));
    const uint32_t room = body_room(zmtp, zmtp->position_bytes + count);

    if (room > zmtp->room_bytes) {
        zmtp->body = g_realloc(zmtp->body, room);
        zmtp->room_bytes = room;
    }
    memcpy(zmtp->body + zmtp->position_bytes, data, count);
    zmtp->position_bytes += count;
    *used_bytes += count;
    return zmtp->position_bytes == zmtp->body_bytes ? end_frame(zmtp)
                                                    : ZMTP_MORE;
}

static enum zmtp_event
take_byte(struct zmtp *zmtp, uint8_t byte)
{
    if (zmtp->phase == ZMTP_IN_GREETING) {
        if (!is_greeting_byte(zmtp->position_bytes, byte)) {
            return fail(zmtp);
        }
        if (++zmtp->position_bytes == GREETING_BYTES) {
            zmtp->phase = ZMTP_IN_HEAD;
            zmtp->position_bytes = 0;
        }
        return ZMTP_MORE;
    }
    zmtp->head[zmtp->position_bytes++] = byte;
    return zmtp->position_bytes == head_bytes(zmtp) ? end_head(zmtp)
                                                    : ZMTP_MORE;
}

void
zmtp_init(struct zmtp *zmtp, uint32_t message_max_bytes)
{
    *zmtp = (struct zmtp){.message_max_bytes = message_max_bytes};
}

void
zmtp_clear(struct zmtp *zmtp)
{
    g_free(zmtp->body);
    zmtp->body = NULL;
    zmtp->room_bytes = 0;
}

uint32_t
zmtp_growth_bytes(const struct zmtp *zmtp, size_t size_bytes)
{
    const uint32_t left = zmtp->body_bytes - zmtp->position_bytes;

    if (zmtp->phase != ZMTP_IN_BODY) {
        return (uint32_t)size_bytes;
    }
    /* What follows the body is taken after its room has been given away. */
    return body_room(zmtp, zmtp->position_bytes +
                               (uint32_t)MIN(size_bytes, (size_t)left)) -
           zmtp->room_bytes;
}

enum zmtp_event
zmtp_take(struct zmtp *zmtp, const uint8_t *data, size_t size_bytes,
          size_t *used_bytes)
{
    enum zmtp_event event = ZMTP_MORE;

    *used_bytes = 0;
    while (event == ZMTP_MORE && *used_bytes < size_bytes) {
        if (zmtp->phase == ZMTP_IN_BODY) {
            event = take_body(zmtp, data + *used_bytes,
                              size_bytes - *used_bytes, used_bytes);
        }
        else {
            event = take_byte(zmtp, data[(*used_bytes)++]);
        }
    }
    return event;
}

uint8_t *
zmtp_steal_message(struct zmtp *zmtp, uint32_t *size_bytes)
{
    uint8_t *message = zmtp->body;

    *size_bytes = zmtp->body_bytes;
    zmtp->body = NULL;
    zmtp->room_bytes = 0;
    return message;
}

static uint32_t
write_command(uint8_t *out, const void *body, uint32_t bytes)
{
    out[0] = FLAG_COMMAND;
    out[1] = (uint8_t)bytes;
    memcpy(out + SHORT_HEAD_BYTES, body, bytes);
    return SHORT_HEAD_BYTES + bytes;
}

uint32_t
zmtp_hello(uint8_t out[ZMTP_ANSWER_BYTES])
{
    memset(out, 0, GREETING_BYTES);
    out[0] = SIGNATURE_START;
    out[SIGNATURE_END_OFFSET] = SIGNATURE_END;
    out[VERSION_OFFSET] = VERSION_MAJOR;
    out[VERSION_OFFSET + 1] = VERSION_MINOR;
    memcpy(out + MECHANISM_OFFSET, MECHANISM, MECHANISM_BYTES);
    return GREETING_BYTES +
           write_command(out + GREETING_BYTES, READY, sizeof(READY));
}

uint32_t
zmtp_pong(const struct zmtp *zmtp, uint8_t out[ZMTP_ANSWER_BYTES])
{
    uint8_t body[5 + ZMTP_PING_BYTES] = "\4PONG";

    memcpy(body + 5, zmtp->ping, zmtp->ping_bytes);
    return write_command(out, body, 5 + zmtp->ping_bytes);
}

uint32_t
zmtp_message_head(uint32_t size_bytes, uint8_t out[ZMTP_HEAD_BYTES])
{
    if (size_bytes <= SHORT_BODY_MAX) {
        out[0] = 0;
        out[1] = (uint8_t)size_bytes;
        return SHORT_HEAD_BYTES;
    }
    out[0] = FLAG_LONG;
    for (uint32_t i = 1; i < ZMTP_HEAD_BYTES; i++) {
        out[i] =
            (uint8_t)((uint64_t)size_bytes >> 8 * (ZMTP_HEAD_BYTES - 1 - i));
    }
    return ZMTP_HEAD_BYTES;
}
