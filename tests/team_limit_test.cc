// Tasks and gangs beside the limit of their team, as operators lower it below
// what they need. Guards against work that waits for good on idle targets, and
// against usage above the limit by more than one task.

#include "tests/plan_world.h"

using namespace plan_sim;

namespace {

const uint64_t IDLE_MAX_MS = 3000; // rule LOST

void set_limit(FleetSim &sim, uint64_t cpu_milli)
{
    sim.configure({"q", "spare"}, false, cpu_milli);
}

void prepare(FleetSim &sim, uint64_t limit_cpu_milli)
{
    set_limit(sim, limit_cpu_milli);
    sim.put_target("t1");
    sim.put_target("t2");
    sim.become_leader();
}

// Runs passes; each run that starts is done after run_ms.
struct Runner {
    FleetSim &sim;
    uint64_t run_ms;
    uint64_t most_used = 0, most_with_one_less = 0;
    std::vector<uint64_t> started_ms = {};
    size_t ended = 0;

    uint64_t used()
    {
        return sim.find_team("team")->used.cpu_milli;
    }
    void run_for(uint64_t for_ms)
    {
        for (uint64_t until_ms = sim.now_ms + for_ms; sim.now_ms < until_ms;) {
            sim.run_pass(10);
            while (started_ms.size() < sim.start_orders.size()) {
                sim.confirm_start(sim.start_orders[started_ms.size()]);
                started_ms.push_back(sim.now_ms);
            }
            most_used = std::max(most_used, used());
            for (; ended < started_ms.size() &&
                   sim.now_ms >= started_ms[ended] + run_ms;
                 ended++) {
                sim.end_run(sim.start_orders[ended], RUN_DONE);
            }
        }
    }
    bool has_started(uint64_t job)
    {
        for (const auto &order : sim.start_orders) {
            if (order.task.job_id == job) {
                return true;
            }
        }
        return false;
    }
};

TEST(TeamLimit, ATaskLargerThanTheLimitRunsAlone)
{
    FleetSim sim;
    prepare(sim, 2000);
    Runner runner = {sim, 500};
    sim.submit(1, {{.count = 2, .cpu_milli = 4000}});
    runner.run_for(IDLE_MAX_MS);
    EXPECT_EQ(sim.find_job(1)->state, JOB_COMPLETED);
    EXPECT_EQ(runner.most_used, 4000u) << "one at a time";
}

TEST(TeamLimit, ATaskThatWaitsRunsWhenTheLimitFallsBelowItsSize)
{
    FleetSim sim;
    prepare(sim, 8000);
    Runner runner = {sim, 500};
    sim.submit(1, {{.cpu_milli = 6000}});
    sim.run_pass();
    sim.end_run(sim.start_orders[0], RUN_FAILED);
    runner.ended = 1;
    runner.started_ms.push_back(sim.now_ms);
    set_limit(sim, 2000);
    runner.run_for(IDLE_MAX_MS);
    EXPECT_EQ(sim.find_job(1)->state, JOB_COMPLETED);
}

TEST(TeamLimit, AGangRunsOfWhichAllButOneMemberFit)
{
    FleetSim sim;
    prepare(sim, 8000);
    Runner runner = {sim, 500};
    set_limit(sim, 5000);
    sim.submit(1, {{.count = 2, .cpu_milli = 4000, .gang = true}});
    runner.run_for(IDLE_MAX_MS);
    EXPECT_EQ(sim.start_orders.size(), 2u);
}

// Accepted before the limit fell; it may rise again.
TEST(TeamLimit, AGangThatCannotRunWaitsAndSaysWhy)
{
    FleetSim sim;
    prepare(sim, 16000);
    sim.put_target("t1", 1000);
    Runner runner = {sim, 500};
    sim.submit(1, {{.count = 3, .cpu_milli = 4000, .gang = true}});
    runner.run_for(100);
    set_limit(sim, 4000);
    sim.put_target("t1", 8000);
    runner.run_for(IDLE_MAX_MS);
    EXPECT_EQ(sim.start_orders.size(), 0u);
    EXPECT_EQ(sim.wait_reasons.back(),
              "its gang is larger than its team's limit");
    EXPECT_TRUE(fleet_job_is_live(sim.find_job(1)));
    set_limit(sim, 8000);
    runner.run_for(IDLE_MAX_MS);
    EXPECT_EQ(sim.start_orders.size(), 3u);
}

TEST(TeamLimit, AGangThatCannotRunIsRefused)
{
    FleetSim sim;
    prepare(sim, 4000);
    fleet_submit job = {};
    auto *step = (fleet_step *)fp_list_add(&job.steps, sizeof(fleet_step));
    *step = {};
    step->count = 3;
    step->cpu_milli = 4000;
    EXPECT_EQ(plan_admit(sim.planner, &job, sim.find_team("team")).err, FP_OK)
        << "one task at a time";
    step->gang = true;
    const plan_admission refused =
        plan_admit(sim.planner, &job, sim.find_team("team"));
    EXPECT_EQ(refused.err, FP_ERR_LIMIT);
    EXPECT_GT(refused.retry_after_ms, 0u);
    EXPECT_STREQ(refused.reason, "a gang is larger than its team's limit");
    step->count = 2;
    EXPECT_EQ(plan_admit(sim.planner, &job, sim.find_team("team")).err, FP_OK);
    step->count = 3;
    EXPECT_EQ(plan_admit(sim.planner, &job, nullptr).err, FP_OK);
    fp_record_free(&FLEET_SUBMIT_SCHEMA, &job);
}

TEST(TeamLimit, UsageIsNeverAboveTheLimitByMoreThanOneTask)
{
    for (uint32_t large : {1500u, 2500u, 4000u, 7000u}) {
        FleetSim sim;
        prepare(sim, 3000);
        Runner runner = {sim, 400};
        for (uint64_t id = 1; id <= 20; id++) {
            sim.submit(id, {{.cpu_milli = id % 2 ? large : 700}});
        }
        runner.run_for(30000);
        EXPECT_LE(runner.most_used, 3000 + large) << large;
        for (uint64_t id = 1; id <= 20; id++) {
            EXPECT_EQ(sim.find_job(id)->state, JOB_COMPLETED) << id;
        }
    }
}

// More small work than the limit allows comes without end, and goes first.
TEST(TeamLimit, SmallWorkDoesNotKeepALargeTaskWaitingForGood)
{
    FleetSim sim;
    prepare(sim, 4000);
    Runner runner = {sim, 1000};
    uint64_t next_id = 100;
    for (; next_id < 110; next_id++) {
        sim.submit(next_id, {{.cpu_milli = 1000}}, "q");
    }
    runner.run_for(100);
    sim.submit(1, {{.cpu_milli = 6000}}, "spare");
    uint64_t begin_ms = sim.now_ms;
    while (sim.now_ms < begin_ms + 20000 && !runner.has_started(1)) {
        sim.submit(next_id++, {{.cpu_milli = 1000}}, "q");
        runner.run_for(200);
    }
    EXPECT_TRUE(runner.has_started(1));
    EXPECT_GT(sim.now_ms, begin_ms + 1000) << "small work went first";
    size_t starts = sim.start_orders.size();
    runner.run_for(5000);
    EXPECT_GT(sim.start_orders.size(), starts) << "small work goes on";
}

// It is in nobody's way while it could not start anyway.
TEST(TeamLimit, ALargeTaskWithoutATargetHoldsSmallWorkBackForAWhileOnly)
{
    FleetSim sim;
    prepare(sim, 4000);
    Runner runner = {sim, 500};
    sim.submit(1, {{.cpu_milli = 9000}});
    runner.run_for(1000);
    for (uint64_t id = 2; id < 12; id++) {
        sim.submit(id, {{.cpu_milli = 1000}});
    }
    runner.run_for(10000);
    for (uint64_t id = 2; id < 12; id++) {
        EXPECT_EQ(sim.find_job(id)->state, JOB_COMPLETED) << id;
    }
}

// Its work on a target that has not listed its runs counts as running.
TEST(TeamLimit, ANewLeaderCountsWhatMayRun)
{
    FleetSim sim;
    set_limit(sim, 2000);
    sim.put_target("t1");
    sim.put_target("t2");
    sim.submit(1, {{.cpu_milli = 4000}});
    sim.become_leader();
    sim.forget_runs("t2");
    sim.submit(2, {{.cpu_milli = 4000}});
    sim.run_pass(10);
    EXPECT_EQ(sim.start_orders.size(), 0u);
}

} // namespace
