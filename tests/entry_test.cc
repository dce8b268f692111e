// Bounds on what a host takes in: decisions, and an HTTP server under clients
// that open connections without end, send slowly or wait for answers.

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "core/msg.h"
#include "node/entry.h"
#include "node/httpd.h"
}

namespace {

entry_bounds bounds_of(uint32_t memory_mb, uint32_t fds, uint32_t kbps)
{
    entry_limits limits = {memory_mb, fds, kbps};
    entry_bounds bounds;
    entry_set_bounds(&limits, ENTRY_CLIENTS, &bounds);
    return bounds;
}

entry_load load_of(uint32_t connections, uint32_t idle, uint32_t requests = 0,
                   uint64_t request_bytes = 0)
{
    entry_load load = {};
    load.connections = connections;
    load.idle = idle;
    load.requests = requests;
    load.request_bytes = request_bytes;
    return load;
}

TEST(Entry, BoundsFollowFromTheHostsLimits)
{
    entry_bounds small = bounds_of(120, 3075, 1500);
    entry_bounds large = bounds_of(400, 10250, 5000);
    EXPECT_GT(small.connections, 500u);
    EXPECT_LT(small.connections, 3075u);
    EXPECT_GT(large.connections, 3 * small.connections);
    EXPECT_GT(large.requests, 3 * small.requests);
    EXPECT_LE(small.request_bytes, 1500u * 1000 / 8); // a second of the link
    // What the bounds allow takes less than the memory: 8 kB a connection, 16 kB a
    // request, five copies of a body.
    uint64_t bytes = small.connections * 8192ull + small.requests * 16384ull +
                     5 * small.request_bytes + small.partial_bytes;
    EXPECT_LT(bytes, 120ull << 20);
}

// The most that the callers of a listener can make a host hold; docs/design/entry.md.
uint64_t bytes_of(const entry_bounds &bounds)
{
    uint64_t requests = std::min(bounds.requests, bounds.connections);
    return bounds.connections * (8192ull + bounds.receive_bytes) +
           requests * 16384ull + 5 * bounds.request_bytes + 2 * bounds.partial_bytes +
           bounds.answer_bytes;
}

TEST(Entry, TheListenersOfAHostTogetherKeepWithinItsLimits)
{
    const uint64_t idle_bytes = 16ull << 20; // of a process
    for (entry_limits limits : {entry_limits{64, 400, 0}, entry_limits{120, 3075, 1500},
                                entry_limits{256, 4096, 1000000},
                                entry_limits{260, 4100, 1000000}}) {
        entry_bounds clients, control, checks, metrics;
        entry_set_bounds(&limits, ENTRY_CLIENTS, &clients);
        entry_set_bounds(&limits, ENTRY_CONTROL, &control);
        entry_set_bounds(&limits, ENTRY_CHECKS, &checks);
        entry_set_bounds(&limits, ENTRY_METRICS, &metrics);
        uint64_t small = bytes_of(checks) + bytes_of(metrics);
        EXPECT_LT(idle_bytes + small + bytes_of(clients), (uint64_t)limits.memory_mb << 20);
        // Three eighths of a core host's memory are for its state and the bus.
        EXPECT_LT(idle_bytes + small + bytes_of(control),
                  ((uint64_t)limits.memory_mb << 20) / 8 * 5);
        uint32_t few = checks.connections + metrics.connections;
        EXPECT_LT(clients.connections + few + entry_opened_max(&limits, 1 | 4 | 8),
                  limits.max_fds);
        EXPECT_LT(control.connections + few + entry_opened_max(&limits, 2 | 4 | 8),
                  limits.max_fds);
        // The leader has up to 2.7 connections for each target; 1,000 have room.
        EXPECT_GT(entry_opened_max(&limits, 2 | 4 | 8),
                  limits.max_fds < 4096 ? limits.max_fds / 3 : 2700);
        // The largest request of each, with its head, is taken when nothing else is.
        EXPECT_GE(clients.partial_bytes, 262144u + 65536);
        EXPECT_GE(control.partial_bytes, HTTPD_BODY_MAX_BYTES + 65536u);
    }
}

TEST(Entry, TheBusOfAHostKeepsWithinAQuarterOfItsMemory)
{
    for (entry_limits limits : {entry_limits{64, 400, 0}, entry_limits{120, 3075, 1500},
                                entry_limits{256, 4096, 1000000},
                                entry_limits{260, 4100, 1000000}}) {
        struct entry_bus_bounds bus = entry_bus_bounds(&limits);
        EXPECT_LT((uint64_t)bus.connections *
                          (bus.receive_bytes + ENTRY_BUS_CONNECTION_BYTES) +
                      bus.partial_bytes + bus.waiting_bytes,
                  (uint64_t)limits.memory_mb << 18);
        // The largest message is taken when nothing else is.
        EXPECT_GT(bus.partial_bytes, MSG_MAX_BYTES);
        EXPECT_GT(bus.waiting_bytes, 0u);
    }
}

TEST(Entry, WithoutLimitsThereAreNoBounds)
{
    entry_limits unknown = {0, 0, 0};
    EXPECT_EQ(entry_bus_bounds(&unknown).partial_bytes, 0u);
    EXPECT_EQ(entry_bus_bounds(&unknown).waiting_bytes, 0u);
    entry_bounds none = bounds_of(0, 0, 0);
    entry_load load = load_of(1u << 20, 0, 1u << 20, 1ull << 40);
    EXPECT_EQ(entry_admit_connection(&none, &load), ENTRY_TAKE);
    EXPECT_TRUE(entry_takes_request(&none, &load, 1 << 20));
}

TEST(Entry, OneOfTheLimitsSuffices)
{
    EXPECT_LT(bounds_of(0, 4096, 0).connections, 4096u);
    EXPECT_GT(bounds_of(0, 4096, 0).connections, 2048u);
    EXPECT_EQ(bounds_of(0, 4096, 0).requests, 0u);
    EXPECT_EQ(bounds_of(0, 0, 8000).request_bytes, 500000u);
    EXPECT_GT(bounds_of(64, 0, 0).requests, 0u);
    EXPECT_GE(bounds_of(16, 64, 0).connections, 16u);
    entry_limits memory_only = {64, 0, 0};
    EXPECT_EQ(entry_opened_max(&memory_only, 2), 0u);
}

TEST(Entry, AConnectionReplacesAnIdleOneOrIsClosed)
{
    entry_bounds bounds = {4, 2, 0, 0, 0, 0};
    entry_load load = load_of(3, 0, 0, 0);
    EXPECT_EQ(entry_admit_connection(&bounds, &load), ENTRY_TAKE);
    load.connections = 4;
    EXPECT_EQ(entry_admit_connection(&bounds, &load), ENTRY_CLOSE);
    load.idle = 1;
    EXPECT_EQ(entry_admit_connection(&bounds, &load), ENTRY_REPLACE_IDLE);
}

TEST(Entry, RequestsAreBoundedByNumberAndBytes)
{
    entry_bounds bounds = {0, 3, 1000, 0, 0, 0};
    entry_load load = load_of(0, 0, 2, 900);
    EXPECT_TRUE(entry_takes_request(&bounds, &load, 100));
    EXPECT_FALSE(entry_takes_request(&bounds, &load, 101));
    load = load_of(0, 0, 3, 0);
    EXPECT_FALSE(entry_takes_request(&bounds, &load, 0));
    load = load_of(0, 0, 0, 0);
    EXPECT_TRUE(entry_takes_request(&bounds, &load, 5000)); // alone
}

// A server on loopback with its clients, on one thread.
struct Server {
    uv_loop_t loop;
    httpd *server = nullptr;
    std::vector<http_request *> waiting;
    std::vector<int> clients;
    sockaddr_in address = {};
    explicit Server(const entry_bounds &bounds)
    {
        char why[200] = "";
        signal(SIGPIPE, SIG_IGN);
        uv_loop_init(&loop);
        for (int port = 21800; port < 21900; port++) {
            std::string text = "127.0.0.1:" + std::to_string(port);
            if (httpd_new(&loop, text.c_str(), nullptr, on_request, this,
                          &server, why, sizeof(why)) == FP_OK) {
                address.sin_family = AF_INET;
                address.sin_port = htons((uint16_t)port);
                inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
                break;
            }
            httpd_close(server);
            run();
            httpd_free(server);
            server = nullptr;
        }
        if (server != nullptr) {
            httpd_set_bounds(server, &bounds);
        }
    }
    ~Server()
    {
        answer_all();
        for (int fd : clients) {
            close(fd);
        }
        run();
        httpd_close(server);
        run();
        httpd_free(server);
        uv_loop_close(&loop);
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    static void on_request(void *ctx, http_request *request)
    {
        ((Server *)ctx)->waiting.push_back(request);
    }
    void run()
    {
        for (int i = 0; i < 20; i++) {
            uv_run(&loop, UV_RUN_NOWAIT);
            usleep(500);
        }
    }
    int connect_client()
    {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        EXPECT_EQ(connect(fd, (sockaddr *)&address, sizeof(address)), 0);
        fcntl(fd, F_SETFL, O_NONBLOCK);
        clients.push_back(fd);
        run();
        return fd;
    }
    void send_text(int fd, const std::string &text)
    {
        EXPECT_EQ(write(fd, text.data(), text.size()), (ssize_t)text.size());
        run();
    }
    // A request with a body of that size, of which some bytes are sent.
    static std::string upload(size_t body_bytes, size_t sent_bytes)
    {
        return "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
               std::to_string(body_bytes) + "\r\n\r\n" +
               std::string(sent_bytes, 'x');
    }
    void post(int fd, size_t body_bytes)
    {
        send_text(fd, upload(body_bytes, body_bytes));
    }
    // Answers a new request with a body of that size, which the client may
    // leave unread.
    void ask(int fd, const std::string &method, size_t answer_bytes)
    {
        send_text(fd, method + " /q/1 HTTP/1.1\r\nHost: h\r\n\r\n");
        ASSERT_EQ(waiting.size(), 1u);
        const std::string answer(answer_bytes, 'x');
        http_reply(waiting[0], 200, "", answer.data(), answer.size(), 0);
        waiting.clear();
    }
    void answer_all()
    {
        for (http_request *request : waiting) {
            http_reply(request, 200, "", "ok", 2, 0);
        }
        waiting.clear();
        run();
    }
    // What the client has received; "closed": the end of the connection.
    static std::string received(int fd)
    {
        char text[2000];
        ssize_t bytes = read(fd, text, sizeof(text));
        return bytes > 0 ? std::string(text, (size_t)bytes)
                         : (bytes == 0 || errno == ECONNRESET ? "closed" : "");
    }
};

TEST(Entry, TheOldestIdleConnectionsAreClosedForNewOnes)
{
    Server server({8, 0, 0, 0, 0, 0});
    ASSERT_NE(server.server, nullptr);
    int busy = server.connect_client();
    server.post(busy, 2);
    std::vector<int> fds;
    for (int i = 0; i < 100; i++) {
        fds.push_back(server.connect_client());
    }
    entry_load load;
    httpd_load(server.server, &load);
    EXPECT_EQ(load.connections, 8u);
    EXPECT_EQ(httpd_counters(server.server)->closed_idle, 93u);
    EXPECT_EQ(Server::received(fds[0]), "closed");
    EXPECT_EQ(Server::received(fds[92]), "closed");
    EXPECT_EQ(Server::received(fds[93]), "");
    server.answer_all(); // the one with a request was kept
    EXPECT_NE(Server::received(busy).find("200"), std::string::npos);
    server.post(fds[99], 2); // and new ones are served
    ASSERT_EQ(server.waiting.size(), 1u);
    server.answer_all();
    EXPECT_NE(Server::received(fds[99]).find("200"), std::string::npos);
}

TEST(Entry, AConnectionIsClosedAtOnceWhenAllOthersAreBusy)
{
    Server server({4, 0, 0, 0, 0, 0});
    ASSERT_NE(server.server, nullptr);
    for (int i = 0; i < 4; i++) {
        server.post(server.connect_client(), 2);
    }
    int fd = server.connect_client();
    EXPECT_EQ(Server::received(fd), "closed");
    EXPECT_EQ(httpd_counters(server.server)->closed_new, 1u);
    EXPECT_EQ(server.waiting.size(), 4u);
    server.answer_all();
    EXPECT_EQ(Server::received(server.connect_client()), "");
}

TEST(Entry, RequestsBeyondTheBoundAreAnsweredAtOnce)
{
    Server server({0, 3, 0, 0, 0, 0});
    ASSERT_NE(server.server, nullptr);
    std::vector<int> fds;
    for (int i = 0; i < 9; i++) {
        fds.push_back(server.connect_client());
        server.post(fds.back(), 50);
    }
    EXPECT_EQ(server.waiting.size(), 3u);
    for (int i = 3; i < 9; i++) {
        std::string text = Server::received(fds[i]);
        EXPECT_NE(text.find("503"), std::string::npos) << text;
        EXPECT_NE(text.find("retry-after: 1"), std::string::npos) << text;
        EXPECT_NE(text.find("\"not run\""), std::string::npos) << text;
    }
    EXPECT_EQ(httpd_counters(server.server)->refused_requests, 6u);
    EXPECT_EQ(httpd_take_refused(server.server), 6u);
    EXPECT_EQ(httpd_take_refused(server.server), 0u);
    server.answer_all();
    server.post(fds[8], 50); // on the connection that was refused before
    EXPECT_EQ(server.waiting.size(), 1u);
}

TEST(Entry, BodiesOfWaitingRequestsAreBounded)
{
    Server server({0, 0, 1000, 0, 0, 0});
    ASSERT_NE(server.server, nullptr);
    for (int i = 0; i < 5; i++) {
        server.post(server.connect_client(), 400);
    }
    EXPECT_EQ(server.waiting.size(), 2u);
    EXPECT_EQ(httpd_counters(server.server)->refused_requests, 3u);
}

// Clients that announce a large body, send some of it and then nothing.
TEST(Entry, SlowSendersAreClosedOldestFirst)
{
    Server server({0, 0, 0, 100000, 0, 0});
    ASSERT_NE(server.server, nullptr);
    std::vector<int> fds;
    for (int i = 0; i < 8; i++) {
        fds.push_back(server.connect_client());
        server.send_text(fds.back(), Server::upload(60000, 30000));
    }
    httpd_check_partial(server.server);
    server.run();
    EXPECT_EQ(httpd_counters(server.server)->closed_partial, 5u);
    EXPECT_EQ(Server::received(fds[4]), "closed");
    server.send_text(fds[7], std::string(30000, 'x'));
    ASSERT_EQ(server.waiting.size(), 1u);
}

// Bytes that arrived while the server did something else are not read beyond the
// bound, and a small request is not what is closed for them.
TEST(Entry, InputIsBoundedWhileItIsRead)
{
    Server server({0, 0, 0, 100000, 0, 0});
    ASSERT_NE(server.server, nullptr);
    std::vector<int> fds;
    for (int i = 0; i < 8; i++) {
        fds.push_back(server.connect_client());
    }
    for (int i = 0; i < 8; i++) {
        std::string text = Server::upload(90000, 60000);
        ASSERT_EQ(write(fds[i], text.data(), text.size()), (ssize_t)text.size());
    }
    int small = server.connect_client();
    server.post(small, 2);
    entry_load load;
    httpd_load(server.server, &load);
    EXPECT_LE(load.input_bytes, 100000u);
    EXPECT_EQ(httpd_counters(server.server)->closed_partial, 7u);
    ASSERT_EQ(server.waiting.size(), 1u);
    server.answer_all();
    EXPECT_NE(Server::received(small).find("200"), std::string::npos);
    for (int fd : server.clients) {
        close(fd);
    }
    server.clients.clear();
    server.run();
    httpd_load(server.server, &load);
    EXPECT_EQ(load.input_bytes, 0u);
}

// The buffer of a read has room for more than the bound leaves.
TEST(Entry, ASingleReadKeepsWithinTheBound)
{
    Server server({0, 0, 0, 14000, 0, 0});
    ASSERT_NE(server.server, nullptr);
    int fd = server.connect_client();
    server.send_text(fd, Server::upload(90000, 14940));
    EXPECT_EQ(httpd_counters(server.server)->closed_partial, 1u);
    EXPECT_EQ(Server::received(fd), "closed");
}

// h2o reads from a connection anew after each answer.
TEST(Entry, InputOfALaterRequestIsBoundedToo)
{
    Server server({0, 0, 0, 100000, 0, 0});
    ASSERT_NE(server.server, nullptr);
    int fd = server.connect_client();
    server.post(fd, 2);
    ASSERT_EQ(server.waiting.size(), 1u);
    server.answer_all();
    EXPECT_NE(Server::received(fd).find("200"), std::string::npos);
    std::string text = Server::upload(190000, 150000);
    ASSERT_GT(write(fd, text.data(), text.size()), 0);
    server.run();
    EXPECT_EQ(httpd_counters(server.server)->closed_partial, 1u);
    EXPECT_EQ(Server::received(fd), "closed");
}

// Clients that ask for large answers and do not read them. The oldest one is shut
// down for another, which finds room on its next attempt. What a POST has done is not
// answered by "not run".
TEST(Entry, AnswersThatNobodyReadsAreBounded)
{
    const uint64_t bound = 20u << 20;
    const size_t large = 16u << 20;
    Server server({0, 0, 0, 0, bound, 0});
    ASSERT_NE(server.server, nullptr);
    auto ask = [&](int fd, const std::string &method) {
        entry_load load;
        server.ask(fd, method, large);
        httpd_load(server.server, &load);
        EXPECT_LE(load.answer_bytes, bound);
        server.run();
        return load.answer_bytes;
    };
    int first = server.connect_client();
    int post = server.connect_client();
    int third = server.connect_client();
    int fourth = server.connect_client();
    EXPECT_EQ(ask(first, "GET"), large);
    ask(post, "POST");
    EXPECT_EQ(Server::received(post), "closed");
    EXPECT_EQ(httpd_counters(server.server)->closed_unread, 1u);
    EXPECT_EQ(ask(third, "GET"), large);
    EXPECT_NE(Server::received(third).find("200"), std::string::npos);
    ask(fourth, "GET");
    EXPECT_NE(Server::received(fourth).find("503"), std::string::npos);
    EXPECT_EQ(httpd_counters(server.server)->refused_answers, 2u);
    ask(fourth, "GET");
    EXPECT_NE(Server::received(fourth).find("200"), std::string::npos);
}

// All connections are busy with answers that nobody reads: one makes room for a new
// one, but not at once, as an ordinary client takes its answer soon.
TEST(Entry, AConnectionThatLeavesItsAnswerUnreadMakesRoom)
{
    Server server({2, 0, 0, 0, 0, 0});
    ASSERT_NE(server.server, nullptr);
    for (int i = 0; i < 2; i++) {
        server.ask(server.connect_client(), "GET", 16u << 20);
    }
    EXPECT_EQ(Server::received(server.connect_client()), "closed");
    for (int i = 0; i < 3; i++) {
        usleep((ENTRY_STALLED_MS + 100) * 1000);
        int fd = server.connect_client();
        server.ask(fd, "GET", 16u << 20);
        server.run();
        EXPECT_NE(Server::received(fd).find("200"), std::string::npos);
    }
    EXPECT_EQ(httpd_counters(server.server)->closed_unread, 3u);
    entry_load load;
    httpd_load(server.server, &load);
    EXPECT_EQ(load.connections, 2u);
}

TEST(Entry, StalledConnectionsMakeRoomOneAtATime)
{
    entry_bounds bounds = {4, 2, 0, 0, 0, 0};
    entry_load load = load_of(4, 0);
    load.has_stalled = true;
    EXPECT_EQ(entry_admit_connection(&bounds, &load), ENTRY_REPLACE_STALLED);
    load.has_ending = true;
    EXPECT_EQ(entry_admit_connection(&bounds, &load), ENTRY_CLOSE);
    load.idle = 1;
    EXPECT_EQ(entry_admit_connection(&bounds, &load), ENTRY_REPLACE_IDLE);
}

TEST(Entry, WhatHoldsMuchForLongIsClosedFirst)
{
    EXPECT_EQ(entry_input_weight(0, 5000), 0u);
    EXPECT_GT(entry_input_weight(1, 0), 0u);
    EXPECT_GT(entry_input_weight(200000, 900), entry_input_weight(200000, 20));
    EXPECT_GT(entry_input_weight(200000, 900), entry_input_weight(2000, 900));
}

TEST(Entry, AClientThatLeavesFreesItsPlace)
{
    Server server({2, 2, 0, 0, 0, 0});
    ASSERT_NE(server.server, nullptr);
    server.post(server.connect_client(), 2);
    server.post(server.connect_client(), 2);
    for (int fd : server.clients) {
        close(fd);
    }
    server.clients.clear();
    server.run();
    entry_load load;
    httpd_load(server.server, &load);
    EXPECT_EQ(load.requests, 2u); // they are still worked on
    server.answer_all();
    httpd_load(server.server, &load);
    EXPECT_EQ(load.connections, 0u);
    EXPECT_EQ(load.requests, 0u);
    server.post(server.connect_client(), 2);
    EXPECT_EQ(server.waiting.size(), 1u);
}

} // namespace
