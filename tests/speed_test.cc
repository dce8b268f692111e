// Tests of learned speeds: targets of unlike speed, a long tail of run times,
// wrong estimates, and faults of the targets.

#include "tests/plan_world.h"

extern "C" {
#include "bench/replay.h"
}

using namespace plan_sim;

namespace {

// The default policy, with learned speeds and queries by room and speed.
const plan_policy LEARNS = [] {
    plan_policy policy = PLAN_POLICY_DEFAULT;
    policy.packs_all = true;
    policy.learns_speeds = true;
    return policy;
}();

struct SpeedSim : FleetSim {
    uint64_t next_job = 1;

    // Targets t0 on, each for one task at a time.
    explicit SpeedSim(int targets)
    {
        configure({"q"});
        for (int i = 0; i < targets; i++) {
            put_target(name(i), 1000);
        }
        lead();
    }
    void lead()
    {
        become_leader();
        planner->params.policy = &LEARNS;
        now_ms += 10;
        run_pass();
    }
    static std::string name(int i) { return "t" + std::to_string(i); }
    plan_target *target(int i) { return (plan_target *)find_target(name(i))->plan; }
    uint32_t slowness(int i) { return plan_slowness_permille(planner, target(i)); }
    enum plan_speed_verdict verdict(int i) { return plan_speed_verdict(planner, target(i)); }

    // Runs a step with a task on each target, which ends after run_ms[i] there.
    void run_step(const std::vector<uint64_t> &run_ms, uint32_t estimate_ms = 1000)
    {
        start_orders.clear();
        submit(next_job++, {{.count = (uint32_t)run_ms.size(),
                             .estimate_ms = estimate_ms}});
        run_pass(5);
        ASSERT_EQ(start_orders.size(), run_ms.size());
        confirm_starts();
        uint64_t start_ms = now_ms;
        std::vector<RunOrder> orders = start_orders;
        auto end_of = [&](const RunOrder &order) {
            return run_ms[(size_t)std::stoi(order.target.substr(1))];
        };
        std::sort(orders.begin(), orders.end(),
                  [&](const RunOrder &a, const RunOrder &b) {
                      return end_of(a) < end_of(b);
                  });
        for (const auto &order : orders) {
            now_ms = start_ms + end_of(order);
            planner->now_ms = now_ms;
            end_run(order, RUN_DONE);
        }
    }
};

// A quarter of the targets takes 1.8 times as long.
const std::vector<uint64_t> MIXED = {1800, 1010, 1000, 990, 1800, 1020, 980, 1000};

TEST(Speed, ASlowTargetIsKnownAfterThreeEndsWhateverTheEstimates)
{
    SpeedSim sim(8);
    for (uint32_t estimate_ms : {300u, 1000u, 4000u}) {
        EXPECT_EQ(sim.slowness(0), 1000u) << "nothing is known yet";
        sim.run_step(MIXED, estimate_ms);
    }
    EXPECT_NEAR(sim.slowness(0), 1800, 100);
    EXPECT_NEAR(sim.slowness(4), 1800, 100);
    EXPECT_NEAR(sim.slowness(2), 1000, 50);
    EXPECT_EQ(sim.verdict(0), SPEED_SLOW);
    EXPECT_EQ(sim.verdict(2), SPEED_USUAL);
}

TEST(Speed, RunsOfTheTailDoNotMakeTheirTargetsSlow)
{
    SpeedSim sim(8);
    for (int i = 0; i < 24; i++) {
        std::vector<uint64_t> run_ms(8, 1000);
        run_ms[(size_t)i % 8] = 7000; // four times the part of the workload
        sim.run_step(run_ms);
    }
    for (int i = 0; i < 8; i++) {
        EXPECT_NEAR(sim.slowness(i), 1000, 50) << i;
        EXPECT_EQ(sim.verdict(i), SPEED_USUAL) << i;
    }
}

TEST(Speed, ATargetThatTurnsSlowIsToldFromOneThatAlwaysWas)
{
    SpeedSim sim(8);
    std::vector<uint64_t> run_ms = MIXED;
    for (int i = 0; i < 10; i++) {
        sim.run_step(run_ms);
    }
    run_ms[2] = 3000;
    for (int i = 0; i < 4; i++) {
        sim.run_step(run_ms);
    }
    EXPECT_EQ(sim.verdict(0), SPEED_SLOW);
    EXPECT_EQ(sim.verdict(2), SPEED_TURNED_SLOW);
    EXPECT_GT(sim.slowness(2), 2500u);
    run_ms[2] = 1000;
    for (int i = 0; i < 4; i++) {
        sim.run_step(run_ms);
    }
    EXPECT_EQ(sim.verdict(2), SPEED_USUAL) << "it has recovered";
    json_t *dump = plan_dump(sim.planner);
    const json_t *row;
    size_t i;
    int slow = 0;
    json_array_foreach(json_object_get(dump, "targets"), i, row)
    {
        const std::string id = json_string_value(json_object_get(row, "id"));
        const bool is_slow = id == "t0" || id == "t4";
        EXPECT_STREQ(json_string_value(json_object_get(row, "speed")),
                     is_slow ? "slow" : "usual")
            << id;
        slow += json_integer_value(json_object_get(row, "slow_permille")) > 1700;
    }
    EXPECT_EQ(slow, 2);
    EXPECT_EQ(plan_gauges(sim.planner).targets_slow, 2u);
    EXPECT_EQ(plan_gauges(sim.planner).targets_turned_slow, 0u);
    json_decref(dump);
}

TEST(Speed, ATargetThatEndsTooEarlyToHaveWorkedIsNotTakenForAFastOne)
{
    SpeedSim sim(8);
    std::vector<uint64_t> run_ms(8, 1000);
    run_ms[3] = 20;
    for (int i = 0; i < 6; i++) {
        sim.run_step(run_ms);
    }
    EXPECT_EQ(sim.slowness(3), 1000u);
    EXPECT_EQ(sim.verdict(3), SPEED_UNKNOWN);
    EXPECT_NEAR(sim.slowness(1), 1000, 50) << "nor the others for slow ones";
}

TEST(Speed, ATargetOfAnotherKindUnderItsIdIsLearnedAnew)
{
    SpeedSim sim(8);
    for (int i = 0; i < 4; i++) {
        sim.run_step(MIXED);
    }
    ASSERT_GT(sim.slowness(0), 1700u);
    sim.put_target("t0", 2000);
    EXPECT_EQ(sim.slowness(0), 1000u) << "twice as large";
    sim.put_target("t4", 1000, 0, "r2");
    EXPECT_GT(sim.slowness(4), 1700u) << "its rack is not its kind";
}

TEST(Speed, ATargetWithoutEndsOfItsOwnIsTakenForOneOfItsKind)
{
    SpeedSim sim(8);
    for (int i = 0; i < 8; i++) { // t0 and t4 are of a kind of their own
        sim.put_target(SpeedSim::name(i), i % 4 == 0 ? 1500 : 1000);
    }
    for (int i = 0; i < 3; i++) {
        sim.run_step(MIXED);
    }
    sim.put_target("new", 1500);
    auto *target = (plan_target *)sim.find_target("new")->plan;
    EXPECT_NEAR(plan_slowness_permille(sim.planner, target), 1800, 100);
}

TEST(Speed, ANewLeaderLearnsTheTargetsAgainFromThreeEndsOnEach)
{
    SpeedSim sim(8);
    for (int i = 0; i < 3; i++) {
        sim.run_step(MIXED);
    }
    plan_free(sim.planner);
    sim.planner = nullptr;
    sim.lead();
    EXPECT_EQ(sim.slowness(0), 1000u);
    uint64_t since_ms = sim.now_ms;
    for (int i = 0; i < 3; i++) {
        sim.run_step(MIXED);
    }
    EXPECT_NEAR(sim.slowness(0), 1800, 100);
    EXPECT_LT(sim.now_ms, since_ms + 3 * 2000);
}

TEST(Speed, NothingIsKnownOfATargetWithoutEndsForHalfAMinute)
{
    SpeedSim sim(8);
    for (int i = 0; i < 3; i++) {
        sim.run_step(MIXED);
    }
    sim.run_pass(31000);
    EXPECT_EQ(sim.slowness(0), 1000u);
    EXPECT_EQ(sim.verdict(0), SPEED_UNKNOWN);
}

TEST(Speed, ExpectedEndsKnowTheTargetTheEstimatesAndTheStep)
{
    SpeedSim sim(8);
    for (int i = 0; i < 4; i++) { // every estimate is half of the truth
        sim.run_step(MIXED, 500);
    }
    sim.start_orders.clear();
    sim.submit(100, {{.count = 8, .estimate_ms = 2000}});
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 8u);
    auto *slow = (plan_run *)sim.target(0)->runs->pdata[0];
    auto *usual = (plan_run *)sim.target(2)->runs->pdata[0];
    EXPECT_NEAR((double)(slow->expected_end_ms - sim.now_ms), 7200, 500);
    EXPECT_NEAR((double)(usual->expected_end_ms - sim.now_ms), 4000, 300);
}

TEST(Speed, WorkWithoutSlackTakesTheFastTargets)
{
    SpeedSim sim(8);
    for (int i = 0; i < 4; i++) {
        sim.run_step(MIXED);
    }
    sim.start_orders.clear();
    sim.submit(100, {{.count = 6, .estimate_ms = 8000}});
    sim.now_ms += 9000; // its latest start has passed
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 6u);
    for (const auto &order : sim.start_orders) {
        EXPECT_NE(order.target, "t0");
        EXPECT_NE(order.target, "t4");
    }
}

TEST(Speed, QueriesNameSlowTargetsLast)
{
    SpeedSim sim(12);
    std::vector<uint64_t> run_ms(12, 1000);
    for (size_t i = 0; i < 4; i++) {
        run_ms[i] = 1800;
    }
    for (int i = 0; i < 4; i++) {
        sim.run_step(run_ms);
    }
    sim.configure({"q"}, true);
    sim.submit(100, {{.count = 1}});
    sim.run_pass(5);
    ASSERT_EQ(sim.queries.size(), 1u);
    ASSERT_EQ(sim.queries[0].targets.size(), 8u);
    for (const auto &id : sim.queries[0].targets) {
        EXPECT_GE(std::stoi(id.substr(1)), 4) << id;
    }
}

// Part of the credit that the jobs with little slack earn.
double earned_by_holds(const plan_policy *policy, uint32_t seeds)
{
    replay_load *load = nullptr;
    char why[256] = "";
    double earned = 0, owed = 0;
    EXPECT_EQ(replay_read_load("bench/loads/uneven-speeds.yaml", &load, why,
                               sizeof(why)),
              FP_OK)
        << why;
    for (uint32_t seed = 1; seed <= seeds; seed++) {
        sim_result *result = sim_replay(load, policy, seed);
        const sim_breaches &breaches = result->breaches;
        EXPECT_EQ(breaches.over_size + breaches.doubled + breaches.over_cap,
                  0u)
            << "seed " << seed << ": " << breaches.first;
        for (guint i = 0; i < result->jobs->len; i++) {
            auto *job = (const sim_job *)result->jobs->pdata[i];
            if (std::string(job->queue->name) == "hold") {
                earned += replay_earned_permille(job);
                owed += 1000;
            }
        }
        sim_result_free(result);
    }
    replay_load_free(load);
    return owed == 0 ? 0 : earned / owed;
}

TEST(Speed, ShortJobsOnUnevenTargetsEarnMore)
{
    EXPECT_GT(earned_by_holds(&LEARNS, 4),
              earned_by_holds(&PLAN_POLICY_DEFAULT, 4));
}

} // namespace
