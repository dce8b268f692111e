// The HTTP client's edge: a connection that cannot be made leaves nothing
// behind on the loop.

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

extern "C" {
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

void on_done(void *ctx, const fetch_answer *answer)
{
    *(enum fp_err *)ctx = answer->err;
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
    EXPECT_TRUE(err == FP_ERR_NOT_CONNECTED || err == FP_ERR_DEADLINE) << err;
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
