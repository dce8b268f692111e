// Tests of the plan: gangs, and capacity reserved for them.

#include "tests/plan_world.h"

using namespace plan_sim;

namespace {

TEST(Plan, AGangStartsAllMembersOrNoneWithOneRunNumber)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000, 8);
    sim.become_leader();
    sim.submit(1, {{.count = 2, .accel = 8, .gang = true}});
    sim.run_pass();
    EXPECT_TRUE(sim.start_orders.empty());
    sim.put_target("t2", 1000, 8);
    sim.set_usable("t2");
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 2u);
    EXPECT_EQ(sim.start_orders[0].run, sim.start_orders[1].run);
    EXPECT_NE(sim.start_orders[0].target, sim.start_orders[1].target);
    sim.confirm_starts();
    sim.end_run(sim.start_orders[0], RUN_DONE);
    EXPECT_EQ(sim.find_job(1)->state, JOB_COMPLETED)
        << "the end of one member counts for all";
}

// Each member was offered the target that fits best. Once that had as many
// members as the step allows, the whole gang was taken for one that fits nowhere.
TEST(Plan, AGangThatIsSpreadOverTargetsStarts)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 4000);
    sim.put_target("t2", 8000);
    sim.put_target("t3", 8000);
    sim.become_leader();
    sim.submit(1, {{.count = 3, .cpu_milli = 2000, .gang = true, .spread = 1}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 3u);
    EXPECT_NE(sim.start_orders[0].target, sim.start_orders[1].target);
    EXPECT_NE(sim.start_orders[1].target, sim.start_orders[2].target);
    EXPECT_NE(sim.start_orders[0].target, sim.start_orders[2].target);
}

TEST(Plan, AGangIsStoppedAtOnceWhenAMemberCannotStart)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000);
    sim.put_target("t2", 1000);
    sim.become_leader();
    sim.submit(1, {{.count = 2, .gang = true}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 2u);
    sim.confirm_start(sim.start_orders[0]);
    sim.answer_start(sim.start_orders[1], ORDER_BAD_TICKET);
    ASSERT_EQ(sim.stop_orders.size(), 1u) << "the other member will not start";
    EXPECT_EQ(sim.stop_orders[0].target, sim.start_orders[0].target);
}

// Workload: tasks with one accelerator each keep every target partly busy; a
// gang of two members with eight must start in time to meet its objective.
TEST(Plan, CapacityIsReservedForEveryMemberOfAGang)
{
    FleetSim sim;
    sim.configure({"big", "small"});
    sim.put_target("t1", 100000, 8);
    sim.put_target("t2", 100000, 8);
    sim.become_leader();
    for (uint64_t i = 0; i < 16; i++) {
        sim.submit(100 + i, {{.count = 1, .accel = 1, .estimate_ms = 1000}},
                   "small");
    }
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 16u);
    sim.confirm_starts();
    sim.submit(1, {{.count = 2, .accel = 8, .gang = true}}, "big");
    sim.run_pass(5);
    uint64_t submitted = sim.now_ms, started = 0;
    std::vector<RunOrder> running(sim.start_orders);
    for (size_t i = 0; i < 60 && started == 0; i++) {
        size_t before = sim.start_orders.size();
        sim.submit(200 + i, {{.count = 1, .accel = 1}}, "small");
        sim.now_ms += 50;
        if (!running.empty()) {
            sim.end_run(running.front(), RUN_DONE);
            running.erase(running.begin());
        }
        sim.run_pass(1);
        for (size_t k = before; k < sim.start_orders.size(); k++) {
            if (sim.start_orders[k].task.job_id == 1) {
                started = sim.now_ms;
                ASSERT_EQ(sim.start_orders.size(), k + 2)
                    << "both members start in one pass";
                break;
            }
            sim.confirm_start(sim.start_orders[k]);
            running.push_back(sim.start_orders[k]);
        }
    }
    // The objective is 3 s: twice the run time of 1 s, plus 1 s. So the latest
    // start is 2 s after the submission.
    ASSERT_NE(started, 0u);
    EXPECT_LE(started - submitted, 2000u);
}

// Regression: a gang with more members than fit on the targets it may use kept
// these targets reserved for ever.
TEST(Plan, AGangThatCanNeverBePlacedReservesNothing)
{
    FleetSim sim;
    sim.configure({"big", "small"});
    sim.put_target("t1", 100000, 8);
    sim.become_leader();
    sim.submit(1, {{.count = 2, .accel = 8, .gang = true}}, "big");
    sim.run_pass();
    sim.run_pass(1200); // its latest start is near
    sim.submit(2, {{.count = 1, .accel = 1, .estimate_ms = 60000}}, "small");
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 1u);
    EXPECT_EQ(sim.start_orders[0].task.job_id, 2u);
}

TEST(Plan, AGangReservesCapacityForAllOfItsMembersOrForNone)
{
    FleetSim sim;
    sim.configure({"big", "small"});
    sim.put_target("t1", 100000, 8);
    sim.put_target("t2", 100000, 8);
    sim.become_leader();
    sim.submit(9, {{.count = 1, .accel = 8, .lasting = true}}, "small");
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 1u);
    sim.confirm_starts();
    // One of the two targets is occupied for ever: the other is not reserved.
    sim.submit(1, {{.count = 2, .accel = 8, .gang = true}}, "big");
    sim.run_pass(5);
    sim.run_pass(1200); // its latest start is near
    sim.submit(2, {{.count = 1, .accel = 1, .estimate_ms = 60000}}, "small");
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 2u);
    EXPECT_EQ(sim.start_orders[1].task.job_id, 2u);
}

// Workload: one member's target is free now, the other one in ten seconds.
TEST(Plan, ShortWorkRunsInCapacityThatIsReservedForLater)
{
    FleetSim sim;
    sim.configure({"big", "small"});
    sim.put_target("t1", 100000, 8);
    sim.put_target("t2", 100000, 8);
    sim.become_leader();
    sim.submit(9, {{.count = 1, .accel = 8, .estimate_ms = 10000}}, "small");
    sim.run_pass();
    sim.confirm_starts();
    sim.submit(1, {{.count = 2, .accel = 8, .gang = true}}, "big");
    sim.run_pass(5);
    sim.run_pass(1200); // its latest start is near
    sim.submit(2, {{.count = 1, .accel = 1, .estimate_ms = 60000}}, "small");
    sim.submit(3, {{.count = 1, .accel = 1, .estimate_ms = 2000}}, "small");
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 2u);
    EXPECT_EQ(sim.start_orders[1].task.job_id, 3u);
}

// Targets that long runs kept partly busy were reserved for a gang until these
// ended, and other work waited beside a service that was mostly free.
TEST(Plan, WorkWaitsBrieflyForReservedCapacityOfALittleUsedService)
{
    FleetSim sim;
    sim.configure({"big", "small"});
    for (int i = 1; i <= 6; i++) {
        sim.put_target("t" + std::to_string(i));
    }
    sim.become_leader();
    for (uint64_t i = 0; i < 6; i++) {
        sim.submit(100 + i, {{.cpu_milli = 3000, .estimate_ms = 30000}},
                   "small");
    }
    sim.run_pass();
    sim.confirm_starts();
    sim.submit(1, {{.count = 6, .cpu_milli = 8000, .gang = true}}, "big");
    sim.run_pass(1200); // its latest start is near
    sim.submit(2, {{.count = 2, .cpu_milli = 500, .estimate_ms = 60000}},
               "small");
    sim.submit(3, {{.count = 4, .cpu_milli = 500, .estimate_ms = 60000,
                    .gang = true}}, "small");
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 6u) << "a gang may get room soon";
    for (int i = 0; i < 25; i++) {
        sim.run_pass(100);
    }
    EXPECT_EQ(sim.start_orders.size(), 12u);
}

// More than half is in use: the reservation holds.
TEST(Plan, WorkWaitsForReservedCapacityOfAServiceInUse)
{
    FleetSim sim;
    sim.configure({"big", "small"});
    sim.put_target("t1");
    sim.put_target("t2");
    sim.become_leader();
    sim.submit(9, {{.count = 2, .cpu_milli = 5000, .estimate_ms = 30000,
                    .spread = 1}}, "small");
    sim.run_pass();
    sim.confirm_starts();
    sim.submit(1, {{.count = 2, .cpu_milli = 8000, .gang = true}}, "big");
    sim.run_pass(1200); // its latest start is near
    sim.submit(2, {{.cpu_milli = 500, .estimate_ms = 60000}}, "small");
    for (int i = 0; i < 25; i++) {
        sim.run_pass(100);
    }
    EXPECT_EQ(sim.start_orders.size(), 2u);
}

} // namespace
