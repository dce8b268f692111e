// The HTTP client: the choice of a pooled connection, and the cleanup after a
// failed connection attempt.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstring>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "node/clock.h"
#include "node/fetch.h"
}

namespace {

// A listener whose backlog is full: further connection attempts time out.
struct SaturatedListener {
    int fd;
    std::string url;
    std::vector<int> client_fds;
    SaturatedListener()
    {
        sockaddr_in addr = {};
        socklen_t bytes = sizeof(addr);
        addr.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &addr.sin_addr);
        fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        bind(fd, (sockaddr *)&addr, sizeof(addr));
        listen(fd, 0);
        getsockname(fd, (sockaddr *)&addr, &bytes);
        url = "http://127.0.0.1:" + std::to_string(ntohs(addr.sin_port)) + "/";
        for (int i = 0; i < 4; i++) {
            int client_fd =
                socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            connect(client_fd, (sockaddr *)&addr, sizeof(addr));
            client_fds.push_back(client_fd);
        }
    }
    ~SaturatedListener()
    {
        for (int client_fd : client_fds) {
            close(client_fd);
        }
        close(fd);
    }
};

// An HTTP server that answers every request and counts connections and
// requests.
struct Server {
    int fd;
    std::string url;
    std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    bool closes = false; // each connection after one response
    int delay_ms = 0;    // before each response
    std::string last_request, last_client; // the client's address
    std::atomic<int> connections{0}, requests{0};
    std::thread thread;
    explicit Server(uint16_t port = 0)
    {
        sockaddr_in addr = {};
        socklen_t bytes = sizeof(addr);
        addr.sin_family = AF_INET;
        addr.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &addr.sin_addr);
        const int on = 1;
        fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        bind(fd, (sockaddr *)&addr, sizeof(addr));
        listen(fd, 8);
        getsockname(fd, (sockaddr *)&addr, &bytes);
        url = "http://127.0.0.1:" + std::to_string(ntohs(addr.sin_port)) + "/";
        thread = std::thread([this] { accept_all(); });
    }
    void accept_all()
    {
        std::vector<std::thread> threads;
        int client_fd;
        sockaddr_in client = {};
        socklen_t client_bytes = sizeof(client);
        char text[INET_ADDRSTRLEN];
        while ((client_fd = accept(fd, (sockaddr *)&client, &client_bytes)) >=
               0) {
            last_client = inet_ntop(AF_INET, &client.sin_addr, text,
                                    sizeof(text));
            connections++;
            threads.emplace_back([this, client_fd] { serve(client_fd); });
        }
        for (auto &connection_thread : threads) {
            connection_thread.join();
        }
    }
    void serve(int client_fd)
    {
        const std::string body = "{}"; // ends every request
        std::string received;
        char buffer[4096];
        ssize_t bytes;
        while ((bytes = recv(client_fd, buffer, sizeof(buffer), 0)) > 0) {
            received.append(buffer, (size_t)bytes);
            size_t at = received.find(body);
            if (at != std::string::npos) {
                last_request = received.substr(0, at + body.size());
                received.erase(0, at + body.size());
                requests++;
                usleep((useconds_t)delay_ms * 1000);
                send(client_fd, response.data(), response.size(),
                     MSG_NOSIGNAL);
                if (closes) {
                    break;
                }
            }
        }
        close(client_fd);
    }
    ~Server()
    {
        shutdown(fd, SHUT_RDWR);
        thread.join();
        close(fd);
    }
};

void store_error(void *ctx, const fetch_response *response)
{
    *(enum fp_err *)ctx = response->err;
}

enum fp_err post(uv_loop_t *loop, fetcher *client, const std::string &url,
                 uint64_t opened_before_ms)
{
    enum fp_err err = FP_ERR_CORRUPT;
    fetch_request request = {};
    request.method = "POST";
    request.url = url.c_str();
    request.body = "{}";
    request.body_bytes = 2;
    request.timeout_ms = 2000;
    request.response_max_bytes = 100;
    request.opened_before_ms = opened_before_ms;
    fetch(client, &request, store_error, &err);
    while (fetcher_in_flight(client) > 0) {
        uv_run(loop, UV_RUN_ONCE);
    }
    return err;
}

// A request for one incarnation of a target must not reach the next one, which
// may listen at the same address by then. opened_before_ms excludes
// connections that may lead to the new incarnation.
TEST(Fetch, OpenedBeforeExcludesNewerConnections)
{
    Server server;
    uv_loop_t loop;
    uv_loop_init(&loop);
    fetcher *client = fetcher_new(&loop);
    uint64_t before_ms = clock_mono_ms();
    EXPECT_EQ(post(&loop, client, server.url, before_ms),
              FP_ERR_NOT_CONNECTED);
    EXPECT_EQ(server.requests, 0) << "nothing may be sent";
    EXPECT_EQ(post(&loop, client, server.url, 0), FP_OK);
    EXPECT_EQ(post(&loop, client, server.url, clock_mono_ms() + 5), FP_OK);
    EXPECT_EQ(server.requests, 2);
    EXPECT_EQ(post(&loop, client, server.url, before_ms),
              FP_ERR_NOT_CONNECTED);
    EXPECT_EQ(server.requests, 2);
    fetcher_free(client);
    uv_run(&loop, UV_RUN_DEFAULT);
    EXPECT_EQ(uv_loop_close(&loop), 0);
}

// When a connection attempt failed, the poll handle of its socket stayed
// registered with the loop. The process aborted once another handle used a
// descriptor with the same number. Found in a benchmark.
TEST(Fetch, FailedConnectReleasesItsDescriptor)
{
    SaturatedListener listener;
    uv_loop_t loop;
    uv_loop_init(&loop);
    fetcher *client = fetcher_new(&loop);
    enum fp_err err = FP_OK;
    fetch_request request = {};
    request.method = "POST";
    request.url = listener.url.c_str();
    request.body = "{}";
    request.body_bytes = 2;
    request.timeout_ms = 600;
    request.connect_timeout_ms = 150;
    request.response_max_bytes = 100;
    fetch(client, &request, store_error, &err);
    while (fetcher_in_flight(client) > 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    EXPECT_TRUE(err == FP_ERR_NOT_CONNECTED ||
                err == FP_ERR_DEADLINE_EXCEEDED) << err;
    uv_run(&loop, UV_RUN_NOWAIT);
    for (int i = 0; i < 8; i++) { // one of the pipes reuses the number
        uv_poll_t *poll = new uv_poll_t;
        int pipe_fds[2];
        ASSERT_EQ(pipe2(pipe_fds, O_CLOEXEC | O_NONBLOCK), 0);
        EXPECT_EQ(uv_poll_init(&loop, poll, pipe_fds[0]), 0);
        uv_poll_start(poll, UV_READABLE, [](uv_poll_t *, int, int) {});
        uv_poll_stop(poll);
        uv_close((uv_handle_t *)poll,
                 [](uv_handle_t *handle) { delete (uv_poll_t *)handle; });
        uv_run(&loop, UV_RUN_NOWAIT);
        close(pipe_fds[0]);
        close(pipe_fds[1]);
    }
    fetcher_free(client);
    uv_run(&loop, UV_RUN_DEFAULT);
    EXPECT_EQ(uv_loop_close(&loop), 0);
}

// A client, its loop and one request at a time.
struct Client {
    uv_loop_t loop;
    fetcher *http;
    std::string body;
    uint32_t status = 0;
    Client()
    {
        uv_loop_init(&loop);
        http = fetcher_new(&loop);
    }
    ~Client()
    {
        fetcher_free(http);
        uv_run(&loop, UV_RUN_DEFAULT);
        EXPECT_EQ(uv_loop_close(&loop), 0);
    }
    struct Result {
        Client *client;
        enum fp_err err;
    };
    static void on_done(void *ctx, const fetch_response *response)
    {
        auto *result = (Result *)ctx;
        result->err = response->err;
        result->client->status = response->status;
        result->client->body.assign((const char *)response->body,
                                    response->body_bytes);
    }
    enum fp_err request(const std::string &url, fetch_request request = {})
    {
        Result result = {this, FP_ERR_CORRUPT};
        request.method = "POST";
        request.url = url.c_str();
        request.body = "{}";
        request.body_bytes = 2;
        if (request.timeout_ms == 0) {
            request.timeout_ms = 2000;
        }
        request.response_max_bytes = 100;
        fetch(http, &request, on_done, &result);
        EXPECT_EQ(result.err, FP_ERR_CORRUPT) << "done before fetch() returns";
        while (fetcher_in_flight(http) > 0) {
            uv_run(&loop, UV_RUN_ONCE);
        }
        return result.err;
    }
};

// A connection that the server has closed while it was idle must not be used:
// the request would be lost, and its outcome unknown.
TEST(Fetch, AClosedIdleConnectionIsNotUsed)
{
    Server server;
    server.closes = true;
    Client client;
    for (int i = 0; i < 3; i++) {
        EXPECT_EQ(client.request(server.url), FP_OK);
        usleep(20000); // the close arrives, but the loop does not run
    }
    EXPECT_EQ(server.requests, 3);
}

TEST(Fetch, IdleConnectionsAreReused)
{
    Server server;
    Client client;
    for (int i = 0; i < 20; i++) {
        EXPECT_EQ(client.request(server.url), FP_OK);
    }
    EXPECT_EQ(server.connections, 1);
    EXPECT_EQ(fetcher_connections_opened(client.http), 1u);
}

TEST(Fetch, ResponsesThatAreNotWholeAreErrors)
{
    struct {
        const char *response;
        enum fp_err err;
    } cases[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{}",
         FP_ERR_TRUNCATED},
        {"HTTP/1.1 200 OK\r\n\r\n{}", FP_ERR_TRUNCATED},
        {"HTTP/1.1 200 OK\r\nContent-Le", FP_ERR_MAY_HAVE_RUN},
        {"not HTTP at all\r\n\r\n", FP_ERR_MAY_HAVE_RUN},
        {"", FP_ERR_MAY_HAVE_RUN},
        {"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"
         "0123456789012345678901234567890123456789012345678901234567890123456"
         "7890123456789012345678901234567890",
         FP_ERR_ANSWER_TOO_LARGE},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
         "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
         FP_OK},
        {"HTTP/1.1 204 No Content\r\n\r\n", FP_OK},
    };
    for (const auto &c : cases) {
        Server server;
        server.closes = true;
        server.response = c.response;
        Client client;
        EXPECT_EQ(client.request(server.url), c.err) << c.response;
        EXPECT_EQ(server.requests, 1) << c.response;
    }
}

// If this process was suspended, the answer may be there when the timer fires.
TEST(Fetch, AnAnswerThatArrivedDuringASuspensionIsRead)
{
    Server server;
    Client client;
    EXPECT_EQ(client.request(server.url), FP_OK);
    Client::Result result = {&client, FP_ERR_CORRUPT};
    fetch_request request = {};
    request.method = "POST";
    request.url = server.url.c_str();
    request.body = "{}";
    request.body_bytes = 2;
    request.timeout_ms = 100;
    request.response_max_bytes = 100;
    fetch(client.http, &request, Client::on_done, &result);
    usleep(250000);
    for (int i = 0; i < 100 && fetcher_in_flight(client.http) > 0; i++) {
        uv_run(&client.loop, UV_RUN_NOWAIT);
        usleep(1000);
    }
    EXPECT_EQ(result.err, FP_OK);
}

TEST(Fetch, ALateAnswerMayHaveRun)
{
    Server server;
    server.delay_ms = 300;
    Client client;
    fetch_request request = {};
    request.timeout_ms = 80;
    EXPECT_EQ(client.request(server.url, request), FP_ERR_MAY_HAVE_RUN);
    server.delay_ms = 0;
    EXPECT_EQ(client.request(server.url), FP_OK)
        << "the late answer is not taken for this one";
}

// A value from outside, such as a target's ID, must not add lines to a request.
TEST(Fetch, AHeaderWithALineBreakIsNotSent)
{
    Server server;
    Client client;
    const char *headers[] = {"X-Id", "a\r\nX-Other: b", nullptr};
    fetch_request request = {};
    request.headers = headers;
    EXPECT_EQ(client.request(server.url, request), FP_ERR_NOT_CONNECTED);
    EXPECT_EQ(server.requests, 0);
}

TEST(Fetch, TheRequestCarriesItsHeaders)
{
    Server server;
    Client client;
    const char *headers[] = {"X-Id", "target-1", nullptr};
    fetch_request request = {};
    request.headers = headers;
    request.content_type = "application/json";
    request.bearer_token = "key";
    EXPECT_EQ(client.request(server.url + "a/b?c=d", request), FP_OK);
    for (const char *line :
         {"POST /a/b?c=d HTTP/1.1\r\n", "\r\nHost: 127.0.0.1:",
          "\r\nContent-Type: application/json\r\n",
          "\r\nAuthorization: Bearer key\r\n", "\r\nX-Id: target-1\r\n",
          "\r\nContent-Length: 2\r\n"}) {
        EXPECT_NE(server.last_request.find(line), std::string::npos) << line;
    }
}

// The hosts of one machine were one asker to the placement policy.
TEST(Fetch, AConnectionComesFromTheGivenAddress)
{
    Server server, again;
    std::string by_name = again.url;
    by_name.replace(by_name.find("127.0.0.1"), strlen("127.0.0.1"),
                    "localhost");
    for (const std::string &url : {server.url, by_name}) {
        Client client;
        fetch_request request = {};
        Server &asked = url == by_name ? again : server;
        request.source = "127.0.0.77";
        EXPECT_EQ(client.request(url, request), FP_OK);
        EXPECT_EQ(asked.last_client, "127.0.0.77") << url;
        request.no_resend = true; // opens another connection
        EXPECT_EQ(client.request(url, request), FP_OK);
        EXPECT_EQ(asked.connections, 2) << url;
        EXPECT_EQ(asked.last_client, "127.0.0.77") << url;
    }
}

TEST(Fetch, ASourceAddressThatIsNotLocalIsNotUsed)
{
    Server server, again;
    std::string by_name = again.url;
    by_name.replace(by_name.find("127.0.0.1"), strlen("127.0.0.1"),
                    "localhost");
    for (const std::string &url : {server.url, by_name}) {
        for (const char *source : {"192.0.2.1", "host-1", "::1", ""}) {
            Client client;
            fetch_request request = {};
            request.source = source;
            EXPECT_EQ(client.request(url, request), FP_OK) << source;
        }
    }
    EXPECT_EQ(server.last_client, "127.0.0.1");
    EXPECT_EQ(again.last_client, "127.0.0.1");
}

// Connecting from an address fails while this lives; NULL: from any address.
// By time-out without an error.
struct OutOfReach {
    static OutOfReach *now;
    std::string from;
    int error;
    SaturatedListener full;
    sockaddr_in full_address = {};
    OutOfReach(const char *source, int connect_error)
        : from(source != nullptr ? source : ""), error(connect_error)
    {
        socklen_t bytes = sizeof(full_address);
        getsockname(full.fd, (sockaddr *)&full_address, &bytes);
        now = this;
    }
    ~OutOfReach()
    {
        now = nullptr;
    }
    bool concerns(int fd) const
    {
        sockaddr_in own = {};
        socklen_t bytes = sizeof(own);
        char text[INET_ADDRSTRLEN];
        getsockname(fd, (sockaddr *)&own, &bytes);
        return from.empty() ||
               from == inet_ntop(AF_INET, &own.sin_addr, text, sizeof(text));
    }
};
OutOfReach *OutOfReach::now;

} // namespace

// Stands before the C library's.
extern "C" int connect(int fd, const sockaddr *address, socklen_t bytes)
{
    static const auto real =
        (int (*)(int, const sockaddr *, socklen_t))dlsym(RTLD_NEXT, "connect");
    const OutOfReach *out = OutOfReach::now;
    if (out == nullptr || !out->concerns(fd)) {
        return real(fd, address, bytes);
    }
    if (out->error != 0) {
        errno = out->error;
        return -1;
    }
    return real(fd, (const sockaddr *)&out->full_address,
                sizeof(out->full_address));
}

namespace {

TEST(Fetch, AServerOutOfReachOfTheSourceAddressIsReachedFromAnother)
{
    for (int error : {0, EHOSTUNREACH, ENETUNREACH, EADDRNOTAVAIL, EINVAL,
                      EACCES}) {
        Client client;
        Server server, other;
        fetch_request request = {};
        request.source = "127.0.0.77";
        request.no_resend = true;
        request.connect_timeout_ms = 150;
        server.closes = other.closes = true;
        {
            OutOfReach out("127.0.0.77", error);
            for (int i = 0; i < 2; i++) {
                EXPECT_NE(client.request(server.url, request), FP_OK) << error;
            }
            EXPECT_EQ(server.connections, 0) << error;
            for (int i = 0; i < 3; i++) {
                EXPECT_EQ(client.request(server.url, request), FP_OK) << error;
                EXPECT_EQ(server.last_client, "127.0.0.1") << error;
            }
        }
        EXPECT_EQ(client.request(other.url, request), FP_OK) << error;
        EXPECT_EQ(other.last_client, "127.0.0.77") << error;
        {
            OutOfReach out(nullptr, error);
            EXPECT_NE(client.request(server.url, request), FP_OK) << error;
        }
        EXPECT_EQ(client.request(server.url, request), FP_OK) << error;
        EXPECT_EQ(server.last_client, "127.0.0.77")
            << error << ": no address reached it";
    }
}

// A server stayed with another address for as long as that could connect.
TEST(Fetch, ASourceAddressOutOfReachIsTriedAgain)
{
    Client client;
    Server server;
    fetch_request request = {};
    request.source = "127.0.0.77";
    request.no_resend = true;
    server.closes = true;
    {
        OutOfReach out("127.0.0.77", EHOSTUNREACH);
        EXPECT_NE(client.request(server.url, request), FP_OK);
        EXPECT_NE(client.request(server.url, request), FP_OK);
        EXPECT_EQ(client.request(server.url, request), FP_OK);
        EXPECT_EQ(server.last_client, "127.0.0.1");
        sleep(11);
        EXPECT_NE(client.request(server.url, request), FP_OK);
        EXPECT_EQ(client.request(server.url, request), FP_OK)
            << "one try is enough";
    }
    sleep(11);
    for (int i = 0; i < 3; i++) {
        EXPECT_EQ(client.request(server.url, request), FP_OK);
        EXPECT_EQ(server.last_client, "127.0.0.77");
    }
}

// A server that was down for a moment was then reached from an address that is
// not the host's own, for as long as the connection lasted.
TEST(Fetch, AServerThatWasDownIsReachedFromTheSourceAddressAgain)
{
    for (int failures = 1; failures <= 4; failures++) {
        Client client;
        fetch_request request = {};
        std::string url;
        uint16_t port;
        {
            Server server;
            url = server.url;
            port = (uint16_t)std::stoi(url.substr(url.rfind(':') + 1));
        }
        request.source = "127.0.0.77";
        request.no_resend = true;
        for (int i = 0; i < failures; i++) {
            EXPECT_EQ(client.request(url, request), FP_ERR_NOT_CONNECTED);
        }
        Server server(port);
        server.closes = true;
        for (int i = 0; i < 10; i++) {
            EXPECT_EQ(client.request(url, request), FP_OK);
        }
        EXPECT_EQ(server.last_client, "127.0.0.77") << failures;
    }
}

// A server that is down says nothing about another one.
TEST(Fetch, AServerThatIsDownLeavesTheSourceAddressForOthers)
{
    Client client;
    Server server;
    server.closes = true;
    fetch_request request = {};
    std::string url;
    {
        Server down;
        url = down.url;
    }
    request.source = "127.0.0.77";
    request.no_resend = true;
    EXPECT_EQ(client.request(url, request), FP_ERR_NOT_CONNECTED);
    EXPECT_EQ(client.request(url, request), FP_ERR_NOT_CONNECTED);
    EXPECT_EQ(client.request(server.url, request), FP_OK);
    EXPECT_EQ(server.last_client, "127.0.0.77");
}

// Cancelling requests calls no callbacks and leaves no handles open.
// Servers that do not answer, or take no connections, leave descriptors to others.
TEST(Fetch, ConnectionsAreBounded)
{
    SaturatedListener silent;
    Server server;
    uv_loop_t loop;
    uv_loop_init(&loop);
    fetcher *client = fetcher_new(&loop);
    fetcher_set_connections_max(client, 6);
    enum fp_err errors[12];
    fetch_request request = {};
    request.method = "GET";
    request.url = silent.url.c_str();
    request.timeout_ms = 300;
    request.response_max_bytes = 100;
    for (enum fp_err &err : errors) {
        err = FP_ERR_CORRUPT;
        fetch(client, &request, store_error, &err);
    }
    EXPECT_EQ(fetcher_refused(client), 9u); // three may be connecting
    EXPECT_EQ(fetcher_connections_opened(client), 3u);
    while (fetcher_in_flight(client) > 3) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    EXPECT_EQ(errors[11], FP_ERR_NOT_CONNECTED);
    while (fetcher_in_flight(client) > 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    EXPECT_EQ(errors[0], FP_ERR_DEADLINE_EXCEEDED);
    EXPECT_EQ(post(&loop, client, server.url, 0), FP_OK);
    fetcher_free(client);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
}

// Answers that stop short of their end make room for one that does not.
TEST(Fetch, AnswersAreBoundedTogether)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n";
    Server endless, ordinary;
    endless.response = head + std::string(59999, 'x');
    ordinary.response = head + std::string(60000, 'x');
    uv_loop_t loop;
    uv_loop_init(&loop);
    fetcher *client = fetcher_new(&loop);
    fetcher_set_bodies_max(client, 100000);
    enum fp_err errors[3];
    fetch_request request = {};
    request.method = "POST";
    request.body = "{}";
    request.body_bytes = 2;
    request.timeout_ms = 5000;
    request.response_max_bytes = 60000;
    for (int i = 0; i < 3; i++) {
        errors[i] = FP_ERR_CORRUPT;
        request.url = i < 2 ? endless.url.c_str() : ordinary.url.c_str();
        fetch(client, &request, store_error, &errors[i]);
        const uint64_t until_ms = clock_mono_ms() + 300;
        while (clock_mono_ms() < until_ms) {
            uv_run(&loop, UV_RUN_NOWAIT);
            usleep(1000);
        }
    }
    EXPECT_EQ(errors[0], FP_ERR_ANSWER_TOO_LARGE);
    EXPECT_EQ(errors[1], FP_ERR_ANSWER_TOO_LARGE);
    EXPECT_EQ(errors[2], FP_OK);
    EXPECT_EQ(fetcher_dropped(client), 2u);
    fetcher_set_bodies_max(client, 10000); // one is received, however large
    errors[2] = FP_ERR_CORRUPT;
    fetch(client, &request, store_error, &errors[2]);
    while (fetcher_in_flight(client) > 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    EXPECT_EQ(errors[2], FP_OK);
    fetcher_free(client);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
}

TEST(Fetch, RequestsInFlightAreCancelled)
{
    Server server;
    server.delay_ms = 100;
    uv_loop_t loop;
    uv_loop_init(&loop);
    fetcher *client = fetcher_new(&loop);
    enum fp_err err = FP_ERR_CORRUPT;
    fetch_request request = {};
    request.method = "POST";
    request.url = server.url.c_str();
    request.body = "{}";
    request.body_bytes = 2;
    request.timeout_ms = 1000;
    request.response_max_bytes = 100;
    for (int i = 0; i < 3; i++) {
        fetch(client, &request, store_error, &err);
    }
    for (int i = 0; i < 5; i++) {
        uv_run(&loop, UV_RUN_NOWAIT);
    }
    fetcher_free(client);
    uv_run(&loop, UV_RUN_DEFAULT);
    EXPECT_EQ(err, FP_ERR_CORRUPT);
    EXPECT_EQ(uv_loop_close(&loop), 0);
}

} // namespace
