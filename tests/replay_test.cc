// Loads replayed against the decisions: what must never happen, and that the
// policy in service serves the load it was made for better than the earlier one.

#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

extern "C" {
#include "bench/replay.h"
}

namespace {

struct Load {
    replay_load *load = nullptr;
    explicit Load(const char *name, uint32_t seconds = 0)
    {
        char why[256] = "";
        std::string path = std::string("bench/loads/") + name;
        EXPECT_EQ(replay_read_load(path.c_str(), &load, why, sizeof(why)), FP_OK)
            << why;
        if (load != nullptr && seconds > 0) {
            load->seconds = seconds;
        }
    }
    ~Load() { replay_load_free(load); }
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    // Part of the credit owed to a queue that is earned, over some seeds.
    double earned(const plan_policy *policy, const char *queue, uint32_t seeds)
    {
        double sum = 0, owed = 0;
        for (uint32_t seed = 1; seed <= seeds; seed++) {
            sim_result *result = sim_play(load, policy, seed);
            for (guint i = 0; i < result->jobs->len; i++) {
                auto *job = (const sim_job *)result->jobs->pdata[i];
                if (std::string(job->queue->name) == queue) {
                    sum += replay_earned_permille(job);
                    owed += 1000;
                }
            }
            sim_result_free(result);
        }
        return owed == 0 ? 1 : sum / owed;
    }
};

TEST(Replay, NothingRunsTwiceOverSizeOrStaysUndoneUnderTroubles)
{
    Load troubles("troubles.yaml");
    ASSERT_NE(troubles.load, nullptr);
    for (uint32_t seed = 1; seed <= 8; seed++) {
        sim_result *result = sim_play(troubles.load, &PLAN_POLICY_DEFAULT, seed);
        const sim_breaches &breaches = result->breaches;
        EXPECT_EQ(breaches.over_size + breaches.doubled + breaches.over_cap +
                      breaches.stuck,
                  0u)
            << "seed " << seed << ": " << breaches.first;
        sim_result_free(result);
    }
}

TEST(Replay, GangsAtTheLimitEarnMoreThanWithRoomHeldAtOnce)
{
    Load load("gangs-at-the-limit.yaml", 25);
    ASSERT_NE(load.load, nullptr);
    EXPECT_GT(load.earned(&PLAN_POLICY_DEFAULT, "scan", 2),
              load.earned(&PLAN_POLICY_RESERVE_AT_ONCE, "scan", 2));
}

TEST(Replay, GangsAmongManySmallTasksEarnMoreThanWithRoomHeldAtOnce)
{
    Load load("many-small.yaml", 18);
    ASSERT_NE(load.load, nullptr);
    double now = load.earned(&PLAN_POLICY_DEFAULT, "scan", 1);
    EXPECT_GT(now, load.earned(&PLAN_POLICY_RESERVE_AT_ONCE, "scan", 1));
    EXPECT_GT(now, load.earned(&PLAN_POLICY_FIFO, "scan", 1));
}

// Load: targets that run on unseen while leaders are lost.
TEST(Replay, NothingRunsTwiceWhileTargetsAreCutOffAndLeadersAreLost)
{
    Load cuts("cut-targets.yaml");
    ASSERT_NE(cuts.load, nullptr);
    for (uint32_t seed = 1; seed <= 6; seed++) {
        sim_result *result = sim_play(cuts.load, &PLAN_POLICY_DEFAULT, seed);
        const sim_breaches &breaches = result->breaches;
        EXPECT_EQ(breaches.over_size + breaches.doubled + breaches.over_cap +
                      breaches.stuck,
                  0u)
            << "seed " << seed << ": " << breaches.first;
        sim_result_free(result);
    }
}

// Load: targets are taken away two seconds after they said that they leave.
TEST(Replay, NothingIsLostOrDoubledWhenTargetsLeaveAtShortNotice)
{
    Load load("short-notice.yaml");
    ASSERT_NE(load.load, nullptr);
    for (uint32_t seed = 1; seed <= 3; seed++) {
        sim_result *result = sim_play(load.load, &PLAN_POLICY_DEFAULT, seed);
        const sim_breaches &breaches = result->breaches;
        EXPECT_EQ(breaches.over_size + breaches.doubled + breaches.over_cap +
                      breaches.stuck,
                  0u)
            << "seed " << seed << ": " << breaches.first;
        sim_result_free(result);
    }
}

TEST(Replay, TheSameSeedBringsTheSameWorkToEveryPolicy)
{
    Load load("troubles.yaml", 5);
    ASSERT_NE(load.load, nullptr);
    sim_result *one = sim_play(load.load, &PLAN_POLICY_DEFAULT, 3);
    sim_result *other = sim_play(load.load, &PLAN_POLICY_FIFO, 3);
    ASSERT_EQ(one->jobs->len, other->jobs->len);
    for (guint i = 0; i < one->jobs->len; i++) {
        auto *a = (const sim_job *)one->jobs->pdata[i];
        auto *b = (const sim_job *)other->jobs->pdata[i];
        EXPECT_EQ(a->id, b->id);
        EXPECT_EQ(a->objective_ms, b->objective_ms);
    }
    sim_result_free(one);
    sim_result_free(other);
}

TEST(Replay, ALoadThatNamesNoServiceIsRefused)
{
    char path[] = "/tmp/filbertpath-load.XXXXXX", why[256] = "";
    int fd = mkstemp(path);
    const char text[] = "name: x\nseconds: 1\ndrain_seconds: 1\naskers: 1\n"
                        "lease_ms: 1\nstop_ms: 1\n"
                        "teams: [{name: t, weight: 1, share: 1}]\n"
                        "services: [{name: s, targets: 1, cpu_milli: 1,"
                        " memory_mb: 1, rack: 1, sizes_percent: [100],"
                        " speeds_percent: [100]}]\n"
                        "queues: [{name: q, service: other, priority: 0,"
                        " objective_ms: 1, stretch_permille: 1,"
                        " max_attempts: 1, worth_milli: 1, jobs_in_1000_s: 1,"
                        " steps: 1, tasks: 1, cpu_milli: 1, memory_mb: 1,"
                        " work_ms: 1, spread_percent: 1,"
                        " estimate_off_percent: 1}]\n";
    replay_load *load = nullptr;
    ASSERT_EQ(write(fd, text, sizeof(text) - 1), (ssize_t)sizeof(text) - 1);
    close(fd);
    EXPECT_EQ(replay_read_load(path, &load, why, sizeof(why)),
              FP_ERR_BAD_REQUEST);
    EXPECT_NE(std::string(why).find("other"), std::string::npos) << why;
    unlink(path);
}

} // namespace
