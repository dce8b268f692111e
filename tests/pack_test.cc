// Tests of placement by all resources, and of the targets that queries to the
// placement policy name.

#include "tests/plan_world.h"

extern "C" {
#include "bench/replay.h"
#include "core/planpack.h"
}

using namespace plan_sim;

namespace {

// The default policy, with placement by all resources.
const plan_policy PACKS = [] {
    plan_policy policy = PLAN_POLICY_DEFAULT;
    policy.packs_all = true;
    return policy;
}();

const StepSpec MATCH = {.cpu_milli = 62000, .accel = 2, .memory_mb = 62000};
const StepSpec SCAN = {.cpu_milli = 11000, .accel = 1, .memory_mb = 11000};

// Starts a job of these steps while only one target takes work.
void start_on(FleetSim &sim, uint64_t id, const StepSpec &step,
              const std::string &target)
{
    for (guint i = 0; i < sim.planner->targets->len; i++) {
        auto *any = (plan_target *)sim.planner->targets->pdata[i];
        any->usable = target == any->target->rec.id;
    }
    size_t before = sim.start_orders.size();
    sim.submit(id, {step});
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), before + step.count);
    sim.confirm_starts();
    for (guint i = 0; i < sim.planner->targets->len; i++) {
        ((plan_target *)sim.planner->targets->pdata[i])->usable = true;
    }
}

TEST(Pack, AScanGoesBesideAMatchSoThatAnotherMatchStillFits)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 128000, 8);
    sim.put_target("t2", 128000, 8);
    sim.become_leader();
    sim.planner->params.policy = &PACKS;
    StepSpec scans = SCAN;
    scans.count = 3;
    start_on(sim, 1, scans, "t2");
    start_on(sim, 2, MATCH, "t1");
    // By accelerators t2 is the tighter one: 5 of 8 are free, of t1 6.
    sim.submit(3, {SCAN});
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 5u);
    EXPECT_EQ(sim.start_orders[4].target, "t1");
    sim.submit(4, {MATCH});
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 6u) << "no target has room for a match";
    EXPECT_EQ(sim.start_orders[5].target, "t2");
}

TEST(Pack, AQueryNamesTargetsWithTheMemoryThatTheTaskNeeds)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    for (int i = 0; i < 16; i++) {
        sim.put_target("t" + std::to_string(i), 128000, 8);
    }
    sim.become_leader();
    sim.planner->params.policy = &PACKS;
    // The first eight have all accelerators free, but not the memory.
    for (int i = 0; i < 16; i++) {
        auto *target =
            (plan_target *)sim.find_target("t" + std::to_string(i))->plan;
        target->used.memory_mb = i < 8 ? 60000 : 0;
        target->used.accel = i < 8 ? 0 : 4;
    }
    sim.submit(1, {MATCH});
    sim.run_pass(5);
    ASSERT_EQ(sim.queries.size(), 1u);
    ASSERT_EQ(sim.queries[0].targets.size(), 8u);
    for (const auto &name : sim.queries[0].targets) {
        EXPECT_GE(std::stoi(name.substr(1)), 8) << name;
    }
}

TEST(Pack, AQueryNamesTargetsThatAreFreeByTheAnswerBeforeOthers)
{
    FleetSim sim;
    sim.configure({"q"});
    for (int i = 0; i < 16; i++) {
        sim.put_target("t" + std::to_string(i), 128000, 8);
    }
    sim.become_leader();
    sim.planner->params.policy = &PACKS;
    // The last eight are free of a match soon, though other work stays; the
    // others stay short of memory, with more of the rest free.
    for (int i = 0; i < 16; i++) {
        StepSpec stays = {.estimate_ms = 60000};
        stays.cpu_milli = i < 8 ? 100 : 60000;
        stays.accel = i < 8 ? 0 : 4;
        stays.memory_mb = i < 8 ? 60000 : 0;
        start_on(sim, 100 + (uint64_t)i, stays, "t" + std::to_string(i));
    }
    for (int i = 8; i < 16; i++) {
        StepSpec ends = MATCH;
        ends.estimate_ms = 100;
        start_on(sim, 200 + (uint64_t)i, ends, "t" + std::to_string(i));
    }
    sim.configure({"q"}, true);
    // Only a query that takes long looks ahead.
    ((fleet_queue *)sim.fleet_state->queues->pdata[0])->conf.advice_us = 400000;
    sim.submit(1, {MATCH});
    sim.run_pass(5);
    ASSERT_EQ(sim.queries.size(), 1u);
    ASSERT_EQ(sim.queries[0].targets.size(), 8u);
    for (const auto &name : sim.queries[0].targets) {
        EXPECT_GE(std::stoi(name.substr(1)), 8) << name;
    }
}

TEST(Pack, WhatIsFreeWhereNoWaitingTaskFitsIsShownAsUnfit)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 128000, 8);
    sim.put_target("t2", 128000, 8);
    sim.become_leader();
    sim.planner->params.policy = &PACKS;
    StepSpec scans = SCAN;
    scans.count = 4; // a match beside them lacks memory
    start_on(sim, 1, scans, "t1");
    EXPECT_EQ(plan_gauges(sim.planner).unfit.accel, 0u) << "nothing waits";
    StepSpec matches = MATCH;
    matches.count = 2;
    sim.submit(2, {matches});
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 5u) << "one match fits";
    // t1 has 84 cores, 56 GB and 4 accelerators left, t2 38 GB.
    const fleet_resources rest = plan_gauges(sim.planner).unfit;
    EXPECT_EQ(rest.accel, 4u + 6u);
    EXPECT_EQ(rest.cpu_milli, 84000u + 66000u);
    EXPECT_EQ(rest.memory_mb, 56000u + 38000u);
    json_t *dump = plan_dump(sim.planner);
    EXPECT_EQ(json_integer_value(json_object_get(dump, "unfit_accel")), 10);
    json_decref(dump);
}

TEST(Pack, ATargetThatShrankBelowItsRunsHasNoRestAndNoOverflow)
{
    const fleet_resources capacity = {1000, 0, 2};
    const fleet_resources used = {5000, 700, 8};
    const fleet_resources size = {100, 100, 1};
    EXPECT_EQ(plan_packing_cost(&capacity, &used, &size), 0u);
    const fleet_resources large = {UINT32_MAX, UINT32_MAX, UINT32_MAX};
    const fleet_resources none = {0, 0, 0};
    EXPECT_LT(plan_packing_cost(&large, &none, &none), 1ull << 32);
}

// A load beyond what the service holds, at 115 % of the file's rates.
double earned_by_matches(const plan_policy *policy, uint32_t seeds)
{
    replay_load *load = nullptr;
    char why[256] = "";
    double earned = 0, owed = 0;
    EXPECT_EQ(replay_read_load("bench/loads/mixed-shapes.yaml", &load, why,
                               sizeof(why)),
              FP_OK)
        << why;
    for (uint32_t i = 0; i < load->queues_count; i++) {
        load->queues[i].jobs_in_1000_s =
            load->queues[i].jobs_in_1000_s * 115 / 100;
    }
    for (uint32_t seed = 1; seed <= seeds; seed++) {
        sim_result *result = sim_replay(load, policy, seed);
        const sim_breaches &breaches = result->breaches;
        EXPECT_EQ(breaches.over_size + breaches.doubled + breaches.over_cap +
                      breaches.stuck,
                  0u)
            << "seed " << seed << ": " << breaches.first;
        for (guint i = 0; i < result->jobs->len; i++) {
            auto *job = (const sim_job *)result->jobs->pdata[i];
            if (std::string(job->queue->name) == "match") {
                earned += replay_earned_permille(job);
                owed += 1000;
            }
        }
        sim_result_free(result);
    }
    replay_load_free(load);
    return owed == 0 ? 0 : earned / owed;
}

TEST(Pack, LargeShapesOnAFullServiceEarnMoreThanByAcceleratorsAndCores)
{
    EXPECT_GT(earned_by_matches(&PACKS, 3),
              earned_by_matches(&PLAN_POLICY_DEFAULT, 3));
}

TEST(Pack, NoInvariantBreaksUnderFaults)
{
    for (const char *path :
         {"bench/loads/troubles.yaml", "bench/loads/changing-capacity.yaml"}) {
        replay_load *load = nullptr;
        char why[256] = "";
        ASSERT_EQ(replay_read_load(path, &load, why, sizeof(why)), FP_OK)
            << why;
        for (uint32_t seed = 1; seed <= 3; seed++) {
            sim_result *result = sim_replay(load, &PACKS, seed);
            const sim_breaches &breaches = result->breaches;
            EXPECT_EQ(breaches.over_size + breaches.doubled +
                          breaches.over_cap + breaches.stuck,
                      0u)
                << path << ", seed " << seed << ": " << breaches.first;
            sim_result_free(result);
        }
        replay_load_free(load);
    }
}

} // namespace
