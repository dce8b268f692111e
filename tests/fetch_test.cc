// The HTTP client's edge: a connection that cannot be made leaves nothing
// behind on the loop.

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

// A listener whose queue is full: further connections get no answer.
struct FullListener {
    int fd;
    std::string url;
    std::vector<int> callers;
    FullListener()
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
            int caller =
                socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            connect(caller, (sockaddr *)&addr, sizeof(addr));
            callers.push_back(caller);
        }
    }
    ~FullListener()
    {
        for (int caller : callers) {
            close(caller);
        }
        close(fd);
    }
};

// Answers each request on each of its connections, and counts them.
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
        std::vector<std::thread> served;
        int caller;
        while ((caller = accept(fd, nullptr, nullptr)) >= 0) {
            connections++;
            served.emplace_back([this, caller] { serve(caller); });
        }
        for (auto &one : served) {
            one.join();
        }
    }
    void serve(int caller)
    {
        const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        const std::string body = "{}"; // ends each request
        std::string in;
        char part[4096];
        ssize_t bytes;
        while ((bytes = recv(caller, part, sizeof(part), 0)) > 0) {
            in.append(part, (size_t)bytes);
            size_t at = in.find(body);
            if (at != std::string::npos) {
                in.erase(0, at + body.size());
                requests++;
                send(caller, answer, sizeof(answer) - 1, MSG_NOSIGNAL);
            }
        }
        close(caller);
    }
    ~Server()
    {
        shutdown(fd, SHUT_RDWR);
        thread.join();
        close(fd);
    }
};

void on_done(void *ctx, const fetch_answer *answer)
{
    *(enum fp_err *)ctx = answer->err;
}

enum fp_err call(uv_loop_t *loop, fetcher *f, const std::string &url,
                 uint64_t opened_before_ms)
{
    enum fp_err err = FP_ERR_CORRUPT;
    fetch_request request = {};
    request.method = "POST";
    request.url = url.c_str();
    request.body = "{}";
    request.body_bytes = 2;
    request.timeout_ms = 2000;
    request.answer_max_bytes = 100;
    request.opened_before_ms = opened_before_ms;
    fetch(f, &request, on_done, &err);
    while (fetcher_in_flight(f) > 0) {
        uv_run(loop, UV_RUN_ONCE);
    }
    return err;
}

// What is meant for one incarnation of a target must not reach the next one,
// which may listen at the same address by then.
TEST(Fetch, ARequestForAnOldConnectionTakesNoNewerOne)
{
    Server server;
    uv_loop_t loop;
    uv_loop_init(&loop);
    fetcher *f = fetcher_new(&loop);
    uint64_t before_ms = clock_mono_ms();
    EXPECT_EQ(call(&loop, f, server.url, before_ms), FP_ERR_NOT_CONNECTED);
    EXPECT_EQ(server.requests, 0) << "no byte of it left";
    EXPECT_EQ(call(&loop, f, server.url, 0), FP_OK);
    EXPECT_EQ(call(&loop, f, server.url, clock_mono_ms() + 5), FP_OK);
    EXPECT_EQ(server.requests, 2);
    EXPECT_EQ(call(&loop, f, server.url, before_ms), FP_ERR_NOT_CONNECTED);
    EXPECT_EQ(server.requests, 2);
    fetcher_free(f);
    uv_run(&loop, UV_RUN_DEFAULT);
    EXPECT_EQ(uv_loop_close(&loop), 0);
}

// Found on the bench: the watch of a socket whose connection failed met the
// next owner of the descriptor's number, and the process ended.
TEST(Fetch, AFailedConnectionLeavesItsDescriptorFree)
{
    FullListener full;
    uv_loop_t loop;
    uv_loop_init(&loop);
    fetcher *f = fetcher_new(&loop);
    enum fp_err err = FP_OK;
    fetch_request request = {};
    request.method = "POST";
    request.url = full.url.c_str();
    request.body = "{}";
    request.body_bytes = 2;
    request.timeout_ms = 600;
    request.connect_ms = 150;
    request.answer_max_bytes = 100;
    fetch(f, &request, on_done, &err);
    while (fetcher_in_flight(f) > 0) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    EXPECT_TRUE(err == FP_ERR_NOT_CONNECTED ||
                err == FP_ERR_DEADLINE_EXCEEDED) << err;
    uv_run(&loop, UV_RUN_NOWAIT);
    for (int i = 0; i < 8; i++) { // whoever gets the number next
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
    fetcher_free(f);
    uv_run(&loop, UV_RUN_DEFAULT);
    EXPECT_EQ(uv_loop_close(&loop), 0);
}

} // namespace
