// The HTTP client: the choice of a pooled connection, and the cleanup after a
// failed connection attempt.

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
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

// An HTTP server that answers every request with 200 and counts connections
// and requests.
struct Server {
    int fd;
    std::string url;
    std::atomic<int> connections{0}, requests{0};
    std::thread thread;
    Server()
    {
        sockaddr_in addr = {};
        socklen_t bytes = sizeof(addr);
        addr.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &addr.sin_addr);
        fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
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
        while ((client_fd = accept(fd, nullptr, nullptr)) >= 0) {
            connections++;
            threads.emplace_back([this, client_fd] { serve(client_fd); });
        }
        for (auto &connection_thread : threads) {
            connection_thread.join();
        }
    }
    void serve(int client_fd)
    {
        const char response[] =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        const std::string body = "{}"; // ends every request
        std::string received;
        char buffer[4096];
        ssize_t bytes;
        while ((bytes = recv(client_fd, buffer, sizeof(buffer), 0)) > 0) {
            received.append(buffer, (size_t)bytes);
            size_t at = received.find(body);
            if (at != std::string::npos) {
                received.erase(0, at + body.size());
                requests++;
                send(client_fd, response, sizeof(response) - 1, MSG_NOSIGNAL);
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

} // namespace
