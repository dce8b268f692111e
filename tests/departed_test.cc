// Tests what happens to the runs of targets that are said to be gone: by their
// own removal, by another target at their address, or by a new incarnation.

#include "tests/plan_world.h"

using namespace plan_sim;

namespace {

// One task with checkpoints runs on t1, and t2 is free.
struct Departure : FleetSim {
    Departure()
    {
        configure({"q"});
        put_target("t1");
        become_leader();
        submit(1, {{.count = 1, .estimate_ms = 4500, .checkpoints = true}});
        run_pass();
        confirm_starts();
        list_run();
        put_target("t2");
        set_usable("t2");
    }
    void list_run()
    {
        report_runs("t1", {make_row(start_orders[0])}, false, now_ms);
    }
    void leave()
    {
        put_target("t1", 8000, 0, "r1", true, 1, 10000);
        run_pass(5);
        ASSERT_EQ(stop_orders.size(), 0u) << "there is time for it";
        remove_target("t1", true);
        ASSERT_NE(find_target("t1"), nullptr);
        run_pass(5);
    }
    void expect_one_start(const char *why)
    {
        run_pass(5);
        EXPECT_EQ(start_orders.size(), 1u) << why;
    }
    void expect_second_start()
    {
        run_pass(50);
        ASSERT_EQ(start_orders.size(), 2u);
        EXPECT_EQ(start_orders[1].target, "t2");
    }
};

// Guards against TWICE: the removal of a target at work, whose answer was lost,
// made its tasks start elsewhere at once.
TEST(Departed, TheRunsOfARemovedTargetStartElsewhereOnceTheyHaveEnded)
{
    Departure sim;
    sim.leave();
    sim.expect_one_start("it may be at work");
    ASSERT_EQ(sim.stop_orders.size(), 1u) << "a stop that is answered is proof";
    sim.list_run();
    sim.expect_one_start("it is at work");
    EXPECT_FALSE(plan_target_is_idle(sim.find_target("t1")));
    sim.end_run(sim.start_orders[0], RUN_STOPPED, "half");
    sim.expect_second_start();
    EXPECT_EQ(sim.start_orders[1].checkpoint, "half");
    EXPECT_TRUE(plan_target_is_idle(sim.find_target("t1")));
}

TEST(Departed, TheRunsOfARemovedTargetStartElsewhereOnceItsLeaseIsOver)
{
    Departure sim;
    sim.leave();
    plan_target_silent(sim.planner, sim.find_target("t1"), true, sim.now_ms);
    sim.expect_one_start("its connection may have been reset");
    plan_target_lost(sim.planner, sim.find_target("t1"), LOSS_LEFT, sim.now_ms);
    sim.expect_second_start();
    EXPECT_EQ(sim.find_job(1)->tasks[0].crashes, nullptr)
        << "a target that left is no evidence against its tasks";
}

// Guards against TWICE when the leader is lost after it has taken the removal.
TEST(Departed, ALaterLeaderKnowsThatARemovedTargetMayRunTasks)
{
    for (bool restarted : {false, true}) {
        Departure sim;
        const RunOrder first = sim.start_orders[0];
        sim.leave();
        plan_free(sim.planner);
        sim.planner = nullptr;
        if (restarted) {
            sim.restart_from_snapshot();
        }
        sim.start_orders.clear();
        sim.become_leader(2048);
        ASSERT_NE(sim.find_target("t1"), nullptr);
        EXPECT_TRUE(sim.find_target("t1")->rec.departed);
        sim.forget_runs("t1");
        ((plan *)sim.planner)->reconciled = false;
        sim.set_usable("t2");
        sim.run_pass(5);
        EXPECT_EQ(sim.start_orders.size(), 0u) << "t1 may run it";
        sim.report_runs("t1", {sim.make_row(first)}, true, sim.now_ms);
        sim.run_pass(5);
        EXPECT_EQ(sim.start_orders.size(), 0u) << "t1 runs it";
        sim.end_run(first, RUN_STOPPED);
        sim.run_pass(50);
        ASSERT_EQ(sim.start_orders.size(), 1u);
        EXPECT_EQ(sim.start_orders[0].target, "t2");
    }
}

// Guards against TWICE: one announcement of another writer with the address of a
// target at work made its tasks start elsewhere.
TEST(Departed, AnotherTargetAtTheAddressDoesNotEndItsRuns)
{
    Departure sim;
    fleet_target_rec other = sim.find_target("t1")->rec;
    g_strlcpy(other.id, "t9", FLEET_NAME_BYTES);
    other.born_ms = 20;
    ASSERT_EQ(sim.apply_change(&FLEET_TARGET_SCHEMA, &other).err, FP_OK);
    sim.expect_one_start("nothing has answered in its place");
    EXPECT_EQ(sim.stop_orders.size(), 0u) << "it may be the one that is there";
    sim.list_run();
    sim.expect_one_start("it is there");
    plan_target_lost(sim.planner, sim.find_target("t1"), LOSS_CRASHED, sim.now_ms);
    sim.expect_second_start();
}

TEST(Departed, ATargetThatIsSaidToBeGoneGetsNoStarts)
{
    Departure sim;
    sim.remove_target("t2", true);
    sim.set_usable("t2");
    sim.submit(2, {{.count = 8, .cpu_milli = 1000}});
    sim.run_pass(5);
    for (const auto &order : sim.start_orders) {
        EXPECT_EQ(order.target, "t1");
    }
}

// A late removal of an earlier incarnation names none.
TEST(Departed, ATargetThatAnnouncesItselfAgainIsBack)
{
    Departure sim;
    sim.remove_target("t1", true);
    fleet_target_rec rec = sim.find_target("t1")->rec;
    EXPECT_FALSE(fleet_target_is_recorded(sim.fleet_state, &rec));
    sim.put_target("t1");
    EXPECT_FALSE(sim.find_target("t1")->rec.departed);
    sim.expect_one_start("its run went on");
}

// Clocks of targets differ: the next one may seem to have started before it.
TEST(Departed, ATargetThatHasDepartedLeavesItsAddressToAnyOther)
{
    Departure sim;
    sim.put_target("t1", 8000, 0, "r1", false, 20);
    fleet_target_rec other = sim.find_target("t1")->rec;
    g_strlcpy(other.id, "t9", FLEET_NAME_BYTES);
    other.born_ms = 19;
    EXPECT_EQ(sim.apply_change(&FLEET_TARGET_SCHEMA, &other).err, FP_ERR_STALE);
    sim.remove_target("t1", true);
    ASSERT_EQ(sim.apply_change(&FLEET_TARGET_SCHEMA, &other).err, FP_OK);
    EXPECT_FALSE(sim.find_target("t9")->rec.departed);
}

TEST(Departed, ALeavingTargetThatHasDepartedIsNotBack)
{
    Departure sim;
    sim.leave();
    fleet_target_rec rec = sim.find_target("t1")->rec;
    EXPECT_TRUE(fleet_target_is_recorded(sim.fleet_state, &rec));
    sim.put_target("t1", 4000, 0, "r1", true);
    EXPECT_TRUE(sim.find_target("t1")->rec.departed);
    sim.put_target("t1", 8000, 0, "r1", false, 2);
    EXPECT_FALSE(sim.find_target("t1")->rec.departed) << "a new incarnation";
}

// Guards against TWICE: the first copy of a start, without an answer, reached the
// next incarnation of the target beside the task's next run.
TEST(Departed, ALateCopyOfAStartIsStoppedOnTheNewIncarnation)
{
    Departure sim;
    const RunOrder first = sim.start_orders[0];
    plan_start_resent(sim.find_target("t1"), &first.task, first.run);
    sim.put_target("t1", 8000, 0, "r1", false, 2);
    sim.expect_one_start("the copy may arrive there");
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    sim.report_runs("t1", {}, false, sim.now_ms);
    sim.expect_one_start("its stop has no answer");
    plan_stop_answered(sim.planner, sim.find_target("t1"), &first.task,
                       first.run, ORDER_DONE, sim.now_ms);
    sim.now_ms += 10;
    sim.report_runs("t1", {}, false, sim.now_ms);
    sim.expect_second_start();
}

// The announcement of a new incarnation may be another writer's.
TEST(Departed, AnAnnouncedIncarnationEndsRunsOnceItHasListedItsOwn)
{
    Departure sim;
    sim.put_target("t1", 8000, 0, "r1", false, 2);
    sim.expect_one_start("it has not answered");
    EXPECT_EQ(sim.stop_orders.size(), 0u);
    sim.report_runs("t1", {}, false, sim.now_ms);
    sim.expect_second_start();
}

} // namespace
