// Tests of the plan's liveness: what could run does run, whatever waits beside
// it and whatever failed before.

#include "tests/policy_hosts.h"

using namespace plan_sim;

namespace {

// Rule LOST: what could run has nothing running for this long.
const uint64_t IDLE_MAX_MS = 3000;

// How long a gang of four waits once its 30 targets are free, behind others to
// which the policy grants fewer targets than they have members. All have
// expired by then.
uint64_t wait_behind_hopeless_gangs(const plan_policy *policy,
                                    uint64_t hopeless)
{
    FleetSim sim;
    sim.advice_us = 380000;
    sim.advice_each_us = 5400;
    sim.configure({"q"}, true);
    for (int i = 0; i < 30; i++) {
        sim.put_target("t" + std::to_string(i));
    }
    sim.become_leader(1024, policy);
    PolicyHosts hosts(sim, 9, 40);
    for (uint64_t i = 0; i < hopeless; i++) {
        sim.submit(100 + i, {{.count = 20, .cpu_milli = 5000,
                              .estimate_ms = 5000, .gang = true}});
    }
    hosts.run_until(10000, [] { return false; });
    for (int i = 0; i < 30; i++) {
        sim.set_usable("t" + std::to_string(i), false);
    }
    sim.submit(1, {{.count = 4, .cpu_milli = 5000, .estimate_ms = 5000,
                    .gang = true}});
    hosts.run_until(60000, [] { return false; });
    for (int i = 0; i < 30; i++) {
        sim.set_usable("t" + std::to_string(i));
    }
    uint64_t free_ms = sim.now_ms;
    hosts.run_until(60000, [&] { return hosts.started.count(1) > 0; });
    return sim.now_ms - free_ms;
}

// Gangs that can never be placed renewed their tickets for ever, and took all
// hosts' turns at the policy from the steps behind them.
TEST(Liveness, AGangStartsBehindOthersThatCanNeverBePlaced)
{
    for (const plan_policy *policy :
         {&PLAN_POLICY_DEFAULT, &PLAN_POLICY_CONTENDED}) {
        for (uint64_t hopeless : {0, 10, 30, 60}) {
            EXPECT_LE(wait_behind_hopeless_gangs(policy, hopeless),
                      IDLE_MAX_MS)
                << policy->name << ", " << hopeless << " before it";
        }
    }
}

// Room on granted targets of the queue's former service counted as enough, so
// that targets of the new one were never named.
TEST(Liveness, AStepStartsOnTheServiceThatItsQueueMovedTo)
{
    for (const plan_policy *policy :
         {&PLAN_POLICY_DEFAULT, &PLAN_POLICY_CONTENDED}) {
        FleetSim sim;
        sim.advice_us = 380000;
        sim.advice_each_us = 5400;
        sim.configure({"q", "spare"}, true);
        for (int i = 0; i < 10; i++) {
            sim.put_target("s" + std::to_string(i));
            sim.put_target("a" + std::to_string(i), 8000, 0, "r1", false, 1, 0,
                           "alt");
        }
        sim.become_leader(1024, policy);
        PolicyHosts hosts(sim, 9, 100);
        sim.submit(1, {{.count = 4, .cpu_milli = 3000, .gang = true}});
        sim.submit(2, {{.count = 1, .cpu_milli = 3000}});
        hosts.run_until(100, [] { return false; });
        ASSERT_TRUE(hosts.started.empty()) << "the policy has not answered";
        sim.queue_services["q"] = "alt";
        sim.configure({"q", "spare"}, true);
        EXPECT_TRUE(hosts.run_until(IDLE_MAX_MS,
                                    [&] { return hosts.started.size() == 2; }))
            << policy->name;
    }
}

// Each target on which two runs in a row had failed got no starts for up to 8
// s: work that failed everywhere kept all others from running.
TEST(Liveness, WorkStartsBesideJobsThatFailOnAllTargets)
{
    FleetSim sim;
    sim.configure({"q"});
    for (int i = 0; i < 6; i++) {
        sim.put_target("t" + std::to_string(i));
    }
    sim.become_leader();
    sim.submit(1, {{.count = 12, .cpu_milli = 4000}});
    sim.submit(2, {{.count = 12, .cpu_milli = 4000}});
    size_t answered = 0;
    bool started = false;
    uint64_t begin_ms = sim.now_ms;
    while (sim.now_ms < begin_ms + 2000 + IDLE_MAX_MS && !started) {
        if (sim.now_ms >= begin_ms + 2000 && !sim.find_job(3)) {
            sim.submit(3, {{.count = 2, .gang = true}});
        }
        sim.run_pass(10);
        for (; answered < sim.start_orders.size(); answered++) {
            const RunOrder order = sim.start_orders[answered];
            sim.confirm_start(order);
            started = started || order.task.job_id == 3;
            if (order.task.job_id < 3) {
                sim.end_run(order, RUN_FAILED);
            }
        }
    }
    EXPECT_TRUE(started);
}

// Targets on which all work fails get no starts while they are few.
TEST(Liveness, AFewTargetsOnWhichWorkFailsGetNoStarts)
{
    FleetSim sim;
    sim.configure({"q"});
    for (int i = 0; i < 6; i++) {
        sim.put_target("t" + std::to_string(i));
    }
    sim.become_leader();
    std::map<std::string, int> starts;
    size_t answered = 0;
    for (uint64_t i = 0; i < 100; i++) {
        sim.submit(10 + i, {{.count = 6, .cpu_milli = 8000}});
        sim.run_pass(20);
        for (; answered < sim.start_orders.size(); answered++) {
            const RunOrder order = sim.start_orders[answered];
            sim.confirm_start(order);
            sim.end_run(order, order.target == "t1" || order.target == "t4"
                                   ? RUN_FAILED
                                   : RUN_DONE);
            starts[order.target]++;
        }
    }
    EXPECT_LE(starts["t1"] + starts["t4"], 8);
}

// Tight work on a target that came back in another service counted in the
// former one for ever: room was kept free there for more of it.
TEST(Liveness, ATargetThatChangesItsServiceLeavesNoHeadroomBehind)
{
    FleetSim sim;
    sim.configure({"q"});
    for (const char *id : {"t1", "t2"}) {
        sim.put_target(id);
    }
    sim.become_leader();
    sim.submit(1, {{.count = 2, .cpu_milli = 8000, .estimate_ms = 100}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 2u);
    sim.confirm_starts();
    for (const char *id : {"t1", "t2"}) {
        sim.report_runs(id, {}, false, sim.now_ms);
        sim.put_target(id, 8000, 0, "r1", false, 2, 0, "alt");
        plan_target_lost(sim.planner, sim.find_target(id), LOSS_CRASHED,
                         sim.now_ms);
    }
    sim.cancel_job(1);
    sim.put_target("t3");
    sim.set_usable("t3");
    for (int i = 0; i < 100; i++) {
        sim.run_pass(100);
    }
    sim.submit(2, {{.cpu_milli = 8000, .estimate_ms = 10000}});
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 3u);
}

// Small runs that come all the time started in the room reserved for a gang that
// needs all targets, while less than half of the service was in use.
TEST(Liveness, AWideGangStartsBesideAStreamOfSmallRunsOnALittleUsedService)
{
    FleetSim sim;
    sim.configure({"big", "small"});
    for (int i = 0; i < 6; i++) {
        sim.put_target("t" + std::to_string(i));
    }
    sim.become_leader();
    std::multimap<uint64_t, RunOrder> ending;
    size_t seen = 0;
    uint64_t gang_ms = 0;
    uint64_t next = 100;
    for (int i = 0; i < 1200 && gang_ms == 0; i++) { // 120 s
        if (i % 10 == 0) {
            sim.submit(next++, {{.cpu_milli = 1000, .estimate_ms = 10000}},
                       "small");
        }
        if (i == 200) {
            sim.submit(1, {{.count = 6, .cpu_milli = 8000, .estimate_ms = 1000,
                            .gang = true}}, "big");
        }
        while (!ending.empty() && ending.begin()->first <= sim.now_ms) {
            sim.end_run(ending.begin()->second, RUN_DONE);
            ending.erase(ending.begin());
        }
        sim.run_pass(100);
        for (; seen < sim.start_orders.size(); seen++) {
            const RunOrder order = sim.start_orders[seen];
            sim.confirm_start(order);
            ending.insert({sim.now_ms + 10000, order});
            if (order.task.job_id == 1) {
                gang_ms = (uint64_t)i;
            }
        }
    }
    EXPECT_GT(gang_ms, 0u);
    EXPECT_LE(gang_ms, 200u + 250u) << "the runs take 10 s";
}

// Work that failed kept all other work from the only target of a service.
TEST(Liveness, WorkStartsBesideJobsThatFailOnTheOnlyTarget)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t0");
    sim.become_leader();
    sim.submit(1, {{.count = 12, .cpu_milli = 4000}});
    sim.submit(2, {{.count = 12, .cpu_milli = 4000}});
    size_t answered = 0;
    bool started = false;
    uint64_t begin_ms = sim.now_ms;
    while (sim.now_ms < begin_ms + 2000 + IDLE_MAX_MS && !started) {
        if (sim.now_ms >= begin_ms + 2000 && !sim.find_job(3)) {
            sim.submit(3, {{.count = 2, .cpu_milli = 4000, .gang = true}});
        }
        sim.run_pass(10);
        for (; answered < sim.start_orders.size(); answered++) {
            const RunOrder order = sim.start_orders[answered];
            sim.confirm_start(order);
            started = started || order.task.job_id == 3;
            if (order.task.job_id < 3) {
                sim.end_run(order, RUN_FAILED);
            }
        }
    }
    EXPECT_TRUE(started);
}

} // namespace
