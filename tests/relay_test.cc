// Calls to the leader: when they are sent again, and what copies cost.

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <deque>
#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "core/resend.h"
#include "node/clock.h"
#include "node/relay.h"
}

namespace {

uint16_t
free_port()
{
    sockaddr_in addr = {};
    socklen_t bytes = sizeof(addr);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    addr.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &addr.sin_addr);
    bind(fd, (sockaddr *)&addr, sizeof(addr));
    getsockname(fd, (sockaddr *)&addr, &bytes);
    close(fd);
    return ntohs(addr.sin_port);
}

// A host with a relay on a real bus. With answers_after_ms set it leads, and
// answers each call that it gets after this time.
struct Host {
    std::string name, address;
    settings_host entry = {};
    settings_fleet fleet = {};
    settings conf = {};
    struct bus *bus = nullptr;
    struct relay *relay = nullptr;
    struct timers *timers;
    bool leads, refuses = false;
    uint32_t loses = 0; // the next calls that come
    uint64_t answers_after_ms = 0;
    std::deque<std::pair<uint64_t, relay_caller>> waiting;
    uint32_t handled = 0;

    Host(uv_loop_t *loop, const char *host, uint16_t port, bool is_leader)
        : name(host), address(name + ":" + std::to_string(port)),
          leads(is_leader)
    {
        bus_ops on_bus = {on_message, nullptr, this};
        relay_ops ops = {nullptr, on_call, this};
        char why[200];

        entry.name = (char *)name.c_str();
        entry.bus = (char *)address.c_str();
        fleet.bus_port = port;
        conf.host = (char *)name.c_str();
        conf.hosts = &entry;
        conf.hosts_count = 1;
        conf.fleet = &fleet;
        conf.times.election_min_ms = 400;
        EXPECT_EQ(bus_new(loop, &conf, &on_bus, &bus, why, sizeof(why)), FP_OK)
            << why;
        timers = timers_new(loop);
        if (leads) {
            ops.leader_host = [](void *ctx) {
                return ((Host *)ctx)->name.c_str();
            };
        }
        relay = relay_new(timers, bus, name.c_str(), &ops);
        timers_subscribe(timers, 10, on_tick, this);
    }
    ~Host()
    {
        timers_free(timers);
        relay_free(relay);
        bus_free(bus);
    }
    static void
    on_message(void *ctx, const char *from, uint32_t type, const void *msg)
    {
        Host *host = (Host *)ctx;
        if (type == MSG_FORWARD && host->loses > 0) {
            host->loses--;
        }
        else if (type == MSG_FORWARD || type == MSG_FORWARD_REPLY) {
            relay_handle_message(host->relay, from, type, msg);
        }
    }
    static void
    on_call(void *ctx, const relay_caller *caller, uint32_t kind,
            const fp_blob *body)
    {
        Host *host = (Host *)ctx;
        (void)kind;
        (void)body;
        host->handled++;
        if (host->refuses) {
            relay_answer(host->relay, caller, FP_ERR_NO_LEADER, nullptr);
            return;
        }
        host->waiting.push_back(
            {clock_mono_ms() + host->answers_after_ms, *caller});
    }
    static void
    on_tick(void *ctx, uint64_t now_ms)
    {
        Host *host = (Host *)ctx;
        call_answer answer = {};
        while (!host->waiting.empty() &&
               host->waiting.front().first <= now_ms) {
            relay_caller caller = host->waiting.front().second;
            host->waiting.pop_front();
            relay_answer(host->relay, &caller, FP_OK, &answer);
        }
    }
};

struct Pair {
    uv_loop_t loop;
    uint16_t port = free_port();
    Host *leader, *front;
    uint32_t answered = 0, failed = 0;
    uint64_t retried_before;
    Pair()
    {
        uv_loop_init(&loop);
        leader = new Host(&loop, "127.0.0.1", port, true);
        front = new Host(&loop, "127.0.0.2", port, false);
        relay_add_host(front->relay, "127.0.0.1");
        call(CALL_PING, 1000);
        run_until([this] { return answered == 1; }, 1000);
        EXPECT_EQ(answered, 1u);
        answered = 0;
        leader->handled = 0;
        retried_before = relay_counters(front->relay)->retried;
    }
    uint64_t retried() const
    {
        return relay_counters(front->relay)->retried - retried_before;
    }
    void
    call(uint32_t kind, uint32_t timeout_ms)
    {
        call_ping ping = {};
        relay_call(front->relay, kind, &CALL_PING_SCHEMA, &ping, timeout_ms,
                   on_done, this);
    }
    static void
    on_done(void *ctx, fp_err err, const call_answer *answer)
    {
        Pair *pair = (Pair *)ctx;
        (void)answer;
        (err == FP_OK ? pair->answered : pair->failed)++;
    }
    void
    run_until(const std::function<bool()> &done, uint64_t within_ms)
    {
        const uint64_t end_ms = clock_mono_ms() + within_ms;
        while (!done() && clock_mono_ms() < end_ms) {
            uv_run(&loop, UV_RUN_ONCE);
        }
    }
    ~Pair()
    {
        delete front;
        delete leader;
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }
};

} // namespace

// Each copy of a change that was being stored was stored once more.
TEST(Relay, ACallThatIsBeingHandledIsNotHandledAgain)
{
    Pair pair;
    pair.leader->answers_after_ms = 1100;
    for (int i = 0; i < 100; i++) {
        pair.call(CALL_SUBMIT, 3000);
    }
    pair.run_until([&] { return pair.answered == 100; }, 3000);
    EXPECT_EQ(pair.answered, 100u);
    EXPECT_EQ(pair.failed, 0u);
    EXPECT_EQ(pair.leader->handled, 100u);
    EXPECT_GE(pair.retried(), 100u);
    EXPECT_EQ(relay_counters(pair.leader->relay)->repeated, pair.retried());
}

TEST(Relay, CopiesAreRareOnceTheLeaderIsKnownToBeSlow)
{
    Pair pair;
    pair.leader->answers_after_ms = 800;
    for (uint32_t i = 1; i <= 20; i++) {
        pair.call(CALL_STATE, 3000);
        if (i % 5 == 0) {
            pair.run_until([&] { return pair.answered == i; }, 3000);
        }
    }
    EXPECT_EQ(pair.answered, 20u);
    EXPECT_LE(pair.retried(), 5u);
}

// While no host led each of many calls was sent every 40 ms.
TEST(Relay, CallsWaitForALeaderWithoutAskingAllTheTime)
{
    Pair pair;
    pair.leader->refuses = true;
    for (int i = 0; i < 100; i++) {
        pair.call(CALL_STATE, 3000);
    }
    pair.run_until([&] { return pair.failed > 0; }, 1000);
    EXPECT_EQ(pair.failed, 0u);
    EXPECT_LE(pair.leader->handled, 900u);
    pair.leader->refuses = false;
    pair.run_until([&] { return pair.answered == 100; }, 400);
    EXPECT_EQ(pair.answered, 100u);
}

// After a call that timed out a lost copy of a short one was not sent again.
TEST(Relay, ALostCopyOfAShortCallIsSentAgainAfterACallThatTimedOut)
{
    Pair pair;
    pair.leader->loses = 1000;
    pair.call(CALL_STATE, 1000);
    pair.run_until([&] { return pair.failed == 1; }, 1200);
    EXPECT_EQ(pair.failed, 1u);
    for (uint32_t timeout_ms : {800, 850}) {
        pair.leader->loses = 0;
        pair.answered = 0;
        pair.call(CALL_PING, 1000);
        pair.run_until([&] { return pair.answered == 1; }, 1000);
        pair.leader->loses = 1;
        pair.call(CALL_STATE, timeout_ms);
        pair.run_until([&] { return pair.answered == 2; }, timeout_ms);
        EXPECT_EQ(pair.answered, 2u) << timeout_ms;
    }
}

namespace {

// Callers of a host that handles one copy of a call at a time, as it comes.
struct Queue {
    struct Call {
        uint64_t sent_ms, resend_ms;
        uint32_t copies;
        bool is_open;
    };
    struct Outcome {
        uint32_t calls = 0, copies = 0, answered = 0;
    };
    resend_times times = {};
    std::vector<Call> calls;
    std::deque<size_t> copies;

    void
    send(size_t i, uint64_t now_ms)
    {
        calls[i].copies++;
        calls[i].resend_ms = now_ms + resend_pause_ms(&times, calls[i].copies);
        copies.push_back(i);
    }
    // One call each gap_ms; the host stands still between two times. Counts
    // what is sent from a time on.
    Outcome
    run(uint64_t gap_ms, uint64_t service_ms, uint64_t stop_ms, uint64_t go_ms,
        uint64_t count_from_ms, uint64_t end_ms)
    {
        const uint64_t timeout_ms = 3000;
        uint64_t free_ms = 0;
        size_t first_open = 0;
        Outcome outcome;

        for (uint64_t now_ms = 0; now_ms < end_ms; now_ms++) {
            const bool counts = now_ms >= count_from_ms;
            if (now_ms % gap_ms == 0) {
                calls.push_back({now_ms, 0, 0, true});
                send(calls.size() - 1, now_ms);
                outcome.calls += counts;
                outcome.copies += counts;
            }
            while (first_open < calls.size() && !calls[first_open].is_open) {
                first_open++;
            }
            for (size_t i = first_open; i < calls.size(); i++) {
                if (calls[i].is_open &&
                    now_ms >= calls[i].sent_ms + timeout_ms) {
                    calls[i].is_open = false;
                    resend_note_answer(&times, timeout_ms);
                }
                else if (calls[i].is_open && now_ms >= calls[i].resend_ms) {
                    send(i, now_ms);
                    outcome.copies += counts;
                }
            }
            if (now_ms < free_ms || copies.empty() ||
                (now_ms >= stop_ms && now_ms < go_ms)) {
                continue;
            }
            free_ms = now_ms + service_ms;
            Call &call = calls[copies.front()];
            copies.pop_front();
            if (call.is_open) {
                call.is_open = false;
                resend_note_answer(&times, now_ms - call.sent_ms);
                outcome.answered += counts;
            }
        }
        return outcome;
    }
};

} // namespace

// A host that stood still for a moment was kept busy with copies for ever.
TEST(Resend, AHostCatchesUpAfterAPause)
{
    for (uint64_t paused_ms : {500, 1000, 2000, 4000}) {
        Queue queue;
        Queue::Outcome after = queue.run(5, 3, 2000, 2000 + paused_ms,
                                         22000 + paused_ms, 27000 + paused_ms);
        EXPECT_EQ(after.calls, 1000u);
        EXPECT_GE(after.answered, 990u) << paused_ms;
        EXPECT_LE(after.copies, 1020u) << paused_ms;
    }
}

TEST(Resend, ThePauseIsShortWhileAnswersAreQuickAndGrowsWithEachCopy)
{
    resend_times times = {};
    EXPECT_EQ(resend_pause_ms(&times, 1), 450u);
    for (int i = 0; i < 50; i++) {
        resend_note_answer(&times, 20);
    }
    EXPECT_EQ(resend_pause_ms(&times, 0), 450u);
    EXPECT_EQ(resend_pause_ms(&times, 1), 450u);
    EXPECT_EQ(resend_pause_ms(&times, 2), 900u);
    EXPECT_EQ(resend_pause_ms(&times, 3), 1800u);
    EXPECT_EQ(resend_pause_ms(&times, 30), 3600u);
    resend_note_answer(&times, 1000);
    EXPECT_GT(resend_pause_ms(&times, 1), 1000u);
}
