// Tests of the plan's liveness under seeded random faults, which then end: what
// could run does run, and what has ended is not counted.
//
// To replay a failing seed: FILBERTPATH_SEED=N build/unit
// --gtest_filter=LivenessRandom.*; prints what happened.

#include "tests/liveness_world.h"

using namespace plan_sim;

namespace {

// Rule LOST: what could run has nothing running for this long.
const uint64_t IDLE_MAX_MS = 3000;
const uint64_t FAULTS_MS = 12000;
// Then all targets are back, and the policy has answered what waited.
const uint64_t SETTLE_MS = 15000;
const uint64_t CHECKED_MS = 25000;

struct Mix {
    uint32_t hopeless = 1; // gangs that the policy grants too few targets
    bool moves = false;    // the queue's service changes
    bool limits = false;   // the number of attempts changes
};

void add_targets(LiveWorld &world)
{
    for (int i = 0; i < 24; i++) {
        Machine &m = world.machines["t" + std::to_string(i)];
        m.id = "t" + std::to_string(i);
        m.service = i < 16 ? "svc" : "alt";
        m.rack = i % 2 ? "r1" : "r2";
        world.announce(m);
    }
}

void configure(LiveWorld &world, const std::string &service)
{
    world.queue_service = {{"q", service}, {"spare", "svc"}, {"alt", "alt"}};
    world.sim.queue_services = {{"q", service}, {"spare", "svc"}};
    world.sim.configure({"q", "spare", "alt"}, world.advised,
                        world.limit_cpu_milli);
}

LiveJob random_job(LiveWorld &world)
{
    static const char *const queues[] = {"q", "q", "spare", "alt"};
    LiveJob job;
    job.queue = queues[world.below(4)];
    uint32_t steps = world.chance(30) ? 2 : 1;
    for (uint32_t i = 0; i < steps; i++) {
        StepSpec spec;
        spec.gang = world.chance(45);
        spec.count = spec.gang ? 2 + world.below(3) : 1 + world.below(4);
        spec.cpu_milli = 500 + world.below(spec.gang ? 3500 : 2500);
        uint64_t run_ms = 200 + world.below(2500);
        spec.estimate_ms = (uint32_t)(run_ms * (50 + world.below(150)) / 100);
        spec.duplicates = !spec.gang && world.chance(15);
        spec.checkpoints = world.chance(30);
        if (i > 0) {
            spec.after = {0};
        }
        job.steps.push_back(spec);
        job.run_ms.push_back(run_ms);
    }
    job.failing = world.chance(8);
    job.deadly = !job.failing && world.chance(4);
    return job;
}

void change_limit(LiveWorld &world)
{
    world.sim.max_attempts = 1 + world.below(5);
    configure(world, "svc");
    world.log("limit " + std::to_string(world.sim.max_attempts));
}

void inject_fault(LiveWorld &world, const Mix &mix)
{
    if (mix.limits && world.chance(30)) {
        change_limit(world);
    }
    Machine &m =
        world.machines["t" + std::to_string(world.below(24))];
    switch (world.below(mix.moves ? 9 : 8)) {
    case 0:
    case 1:
        if (m.up) {
            world.crash(m, 200 + world.below(5000));
        }
        break;
    case 2:
    case 3:
        m.cut = true;
        world.after(100 + world.below(5000), [&m] { m.cut = false; });
        break;
    case 4:
        m.cpu_milli = 4000;
        world.after(1000 + world.below(4000), [&m] { m.cpu_milli = 8000; });
        break;
    case 5:
        if (m.answers() && !m.leaving) {
            m.leaving = true;
            world.after(3000, [&world, &m] {
                if (m.leaving && m.up) {
                    world.crash(m, 1000);
                    world.remove_target(m.id, 0);
                }
            });
        }
        break;
    case 6:
        if (world.chance(30)) {
            world.lead();
        }
        break;
    case 7: // a list is lost, and a run with it
        if (!m.runs.empty() && m.answers()) {
            world.end_run(m, m.runs.begin()->first, RUN_FAILED);
        }
        break;
    case 8:
        configure(world, world.queue_service["q"] == "svc" ? "alt" : "svc");
        world.log("queue moved to " + world.queue_service["q"]);
        break;
    }
}

std::string run_random_faults(uint64_t seed, const Mix &mix)
{
    LiveWorld world(seed, seed % 4 != 0);
    uint64_t next_id = 1;

    if (world.chance(50)) {
        world.sim.advice_us = 380000;
        world.sim.advice_each_us = 5400;
    }
    world.policy = world.chance(50) ? &PLAN_POLICY_CONTENDED : nullptr;
    world.policy_hosts = 6 + world.below(4);
    world.granted_percent = 50 + world.below(50);
    world.limit_cpu_milli = world.chance(50) ? 80000 : 0;
    configure(world, "svc");
    add_targets(world);
    world.lead();
    for (uint32_t i = 0; i < mix.hopeless; i++) {
        LiveJob job;
        job.queue = "q";
        job.hopeless = true;
        job.steps = {{.count = 40, .cpu_milli = 5000, .gang = true}};
        job.run_ms = {1000};
        world.submit(1000 + i, job);
    }
    for (uint32_t i = 0; i < 2; i++) {
        LiveJob job;
        job.queue = i == 0 ? "q" : "alt";
        job.steps = {{.count = 3, .cpu_milli = 500, .lasting = true}};
        job.run_ms = {0};
        world.submit(2000 + i, job);
    }
    uint64_t end_ms = world.sim.now_ms + FAULTS_MS;
    while (world.sim.now_ms < end_ms) {
        if (world.chance(6)) {
            world.submit(next_id++, random_job(world));
        }
        if (world.chance(4)) {
            inject_fault(world, mix);
        }
        world.tick();
    }
    world.faulty = false;
    uint64_t calm_ms = world.sim.now_ms + SETTLE_MS;
    end_ms = calm_ms + CHECKED_MS;
    while (world.sim.now_ms < end_ms && world.failure.empty()) {
        if (world.chance(2) && world.sim.now_ms + 10000 < end_ms) {
            LiveJob job = random_job(world);
            job.failing = job.deadly = false;
            world.submit(next_id++, job);
        }
        world.tick();
        if (world.sim.now_ms >= calm_ms) {
            world.check_liveness(IDLE_MAX_MS);
            world.check_used();
            world.check_queries();
        }
    }
    if (!world.failure.empty() && getenv("FILBERTPATH_SEED")) {
        printf("%s", world.trace.c_str());
    }
    return world.failure;
}

uint64_t seed_from_env(uint64_t default_value)
{
    const char *text = getenv("FILBERTPATH_SEED");
    return text ? strtoull(text, nullptr, 10) : default_value;
}

uint64_t runs_from_env(uint64_t default_value)
{
    const char *text = getenv("FILBERTPATH_SEED");
    const char *runs = getenv("FILBERTPATH_RUNS");
    return text ? 1 : runs ? strtoull(runs, nullptr, 10) : default_value;
}

void expect_no_failure(uint64_t runs, const Mix &mix)
{
    uint64_t first = seed_from_env(1);
    for (uint64_t seed = first; seed < first + runs_from_env(runs); seed++) {
        EXPECT_EQ(run_random_faults(seed, mix), "")
            << "replay: FILBERTPATH_SEED=" << seed;
    }
}

TEST(LivenessRandom, WhatCouldRunRunsAfterFaults)
{
    expect_no_failure(60, {.hopeless = 1, .moves = false, .limits = false});
}

TEST(LivenessRandom, WhatCouldRunRunsAfterQueuesMoved)
{
    expect_no_failure(60, {.hopeless = 1, .moves = true, .limits = false});
}

// Nor does a job wait for good whose task may start no more.
TEST(LivenessRandom, WhatCouldRunRunsAfterLimitsChanged)
{
    expect_no_failure(60, {.hopeless = 1, .moves = false, .limits = true});
}

TEST(LivenessRandom, WhatCouldRunRunsBesideHopelessGangs)
{
    expect_no_failure(60, {.hopeless = 15, .moves = false, .limits = false});
}

} // namespace
