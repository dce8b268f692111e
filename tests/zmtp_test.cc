// Tests the decoder of connections that other hosts open to the bus.

#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include <glib.h>

#include "node/zmtp.h"
}

namespace {

const uint32_t MESSAGE_MAX = 100000;

std::string bytes(const char *data, size_t size)
{
    return std::string(data, size);
}

std::string number(uint64_t value, int size)
{
    std::string text;
    for (int i = size - 1; i >= 0; i--) {
        text += (char)(value >> 8 * i);
    }
    return text;
}

std::string greeting()
{
    std::string text = bytes("\xff\0\0\0\0\0\0\0\1\x7f\3\1NULL", 16);
    return text + std::string(64 - text.size(), '\0');
}

std::string frame(const std::string &body, int flags = 0)
{
    if (body.size() < 256) {
        return number(flags, 1) + number(body.size(), 1) + body;
    }
    return number(flags | 2, 1) + number(body.size(), 8) + body;
}

std::string property(const std::string &name, const std::string &value)
{
    return number(name.size(), 1) + name + number(value.size(), 4) + value;
}

std::string ready(const std::string &host, const std::string &type = "DEALER")
{
    return frame("\5READY" + property("Socket-Type", type) + property("Identity", host), 4);
}

// What a decoder makes of bytes that come in parts of some size.
struct Decoded {
    std::vector<std::string> messages;
    std::vector<std::string> pongs;
    std::string peer;
    bool failed = false;
    uint32_t held_bytes = 0, held_max_bytes = 0;
};

Decoded decode(const std::string &data, size_t part_bytes)
{
    Decoded decoded;
    zmtp zmtp;
    zmtp_init(&zmtp, MESSAGE_MAX);
    for (size_t at = 0; at < data.size() && !decoded.failed; at += part_bytes) {
        std::string part = data.substr(at, part_bytes);
        for (size_t used = 0; used < part.size() && !decoded.failed;) {
            uint32_t before = zmtp.room_bytes;
            uint32_t growth = zmtp_growth_bytes(&zmtp, part.size() - used);
            size_t taken;
            uint8_t pong[ZMTP_ANSWER_BYTES];
            zmtp_event event = zmtp_take(&zmtp, (const uint8_t *)part.data() + used,
                                         part.size() - used, &taken);
            used += taken;
            EXPECT_LE(zmtp.room_bytes, before + growth);
            EXPECT_LE(zmtp.room_bytes, MESSAGE_MAX);
            decoded.held_max_bytes = std::max(decoded.held_max_bytes, zmtp.room_bytes);
            if (event == ZMTP_MESSAGE) {
                uint32_t size;
                uint8_t *message = zmtp_steal_message(&zmtp, &size);
                decoded.messages.push_back(std::string((const char *)message, size));
                g_free(message);
            }
            else if (event == ZMTP_PING) {
                uint32_t size = zmtp_pong(&zmtp, pong);
                decoded.pongs.push_back(std::string((const char *)pong, size));
            }
            decoded.failed = event == ZMTP_ERROR;
        }
    }
    decoded.peer = zmtp.peer;
    decoded.held_bytes = zmtp.room_bytes;
    zmtp_clear(&zmtp);
    return decoded;
}

const std::string OPEN = greeting() + ready("10.0.0.1");

TEST(Zmtp, MessagesComeWholeHoweverTheirBytesAreCut)
{
    const std::string large(70000, 'x');
    const std::string data = OPEN + frame("one") + frame(large) +
                             frame(bytes("\4PING\0\0context", 14), 4) + frame("two");
    for (size_t part_bytes : {1, 2, 3, 7, 64, 8192, 1000000}) {
        Decoded decoded = decode(data, part_bytes);
        EXPECT_FALSE(decoded.failed);
        EXPECT_EQ(decoded.peer, "10.0.0.1");
        EXPECT_EQ(decoded.messages, (std::vector<std::string>{"one", large, "two"}));
        EXPECT_EQ(decoded.pongs, std::vector<std::string>{frame("\4PONGcontext", 4)});
        EXPECT_EQ(decoded.held_bytes, 0u);
    }
}

TEST(Zmtp, AnIncompleteMessageHoldsAtMostTwiceItsBytes)
{
    const std::string head = number(2, 1) + number(MESSAGE_MAX, 8);
    EXPECT_EQ(decode(OPEN + head, 8192).held_bytes, 0u);
    EXPECT_LE(decode(OPEN + head + std::string(1000, 'x'), 100).held_max_bytes, 2000u);
}

TEST(Zmtp, PartsOfAMessageAreRefusedBeforeAnyOfThemIsHeld)
{
    Decoded decoded = decode(OPEN + frame(std::string(1000, 'x'), 1) + frame("y"), 8192);
    EXPECT_TRUE(decoded.failed);
    EXPECT_EQ(decoded.held_max_bytes, 0u);
}

TEST(Zmtp, APeerThatBreaksTheProtocolIsRefused)
{
    const std::string no_null = bytes("\xff\0\0\0\0\0\0\0\1\x7f\3\1PLAIN", 17);
    for (const std::string &data : std::vector<std::string>{
             "GET / HTTP/1.1\r\n\r\n",
             no_null,
             bytes("\xff\0\0\0\0\0\0\0\1\x7f\2\0", 12),
             greeting() + frame("before READY"),
             greeting() + ready("10.0.0.1", "REQ"),
             greeting() + ready(std::string(ZMTP_PEER_BYTES, 'h')),
             greeting() + frame("\5ERROR", 4),
             greeting() + frame("\5READY" + property("Identity", "h").substr(0, 11), 4),
             OPEN + number(2, 1) + number(MESSAGE_MAX + 1, 8),
             OPEN + number(2, 1) + number(1ull << 63, 8),
             OPEN + frame(std::string(2000, 'c'), 4),
             OPEN + frame("x", 8),
             OPEN + frame("\4PING", 4),
             OPEN + frame("\4PING" + std::string(2 + ZMTP_PING_BYTES + 1, 'p'), 4)}) {
        EXPECT_TRUE(decode(data, 8192).failed) << data;
        EXPECT_TRUE(decode(data, 1).failed) << data;
    }
}

TEST(Zmtp, HeadsOfMessagesAreReadBack)
{
    for (uint32_t size : {0u, 1u, 255u, 256u, 65536u, MESSAGE_MAX}) {
        uint8_t head[ZMTP_HEAD_BYTES];
        std::string data((const char *)head, zmtp_message_head(size, head));
        Decoded decoded = decode(OPEN + data + std::string(size, 'x'), 8192);
        ASSERT_EQ(decoded.messages.size(), 1u) << size;
        EXPECT_EQ(decoded.messages[0].size(), size);
    }
}

} // namespace
