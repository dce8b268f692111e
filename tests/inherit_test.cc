// Tests what a new leader does with inherited work while some targets have not
// listed their runs.

#include "tests/plan_world.h"

extern "C" {
#include "core/fleetpriv.h"
}

using namespace plan_sim;

namespace {

// Guards against inherited work that waits, or goes on, without a trace in the
// log: the two could not be told apart when a task had run twice.
TEST(Inherit, HeldAndReleasedWorkIsReported)
{
    FleetSim sim;
    sim.configure({"q", "alt"});
    sim.put_target("t1");
    sim.put_target("t2", 8000, 0, "r1", false, 1, 0, "alt");
    sim.submit(1, {{.count = 1}});
    sim.submit(2, {{.count = 1}}, "alt");
    sim.become_leader();
    sim.forget_runs("t2");
    sim.run_pass();
    ASSERT_EQ(sim.released_jobs.size(), 1u);
    EXPECT_EQ(sim.released_jobs[0], std::make_pair(uint64_t(1), 1u));
    EXPECT_EQ(plan_gauges(sim.planner).targets_unlisted, 1u);
    EXPECT_EQ(plan_gauges(sim.planner).jobs_held, 1u);
    sim.run_pass(1100);
    ASSERT_EQ(sim.wait_reasons.size(), 1u);
    EXPECT_EQ(sim.wait_reasons[0],
              "a target that may run it has not listed its runs");
    plan_target_lost(sim.planner, sim.find_target("t2"), LOSS_LEASE,
                     sim.now_ms);
    plan_reconciled(sim.planner);
    sim.run_pass(5);
    EXPECT_EQ(sim.released_jobs.size(), 1u) << "nothing is unlisted any more";
    EXPECT_EQ(plan_gauges(sim.planner).targets_unlisted, 0u);
    EXPECT_EQ(plan_gauges(sim.planner).jobs_held, 0u);
}

// A target of "svc" that does not list its runs, and one of "alt" that does.
struct MovedQueue : FleetSim {
    MovedQueue()
    {
        configure({"q", "spare"});
        put_target("t1");
        put_target("t2", 8000, 0, "r1", false, 1, 0, "alt");
    }
    void take_over()
    {
        become_leader();
        forget_runs("t1");
        set_usable("t1", false);
        run_pass();
    }
    // The task waits for t1, and starts once the lease of that is over.
    void expect_held()
    {
        take_over();
        EXPECT_EQ(start_orders.size(), 0u)
            << "t1 may run it, as it was of the queue's service";
        plan_target_lost(planner, find_target("t1"), LOSS_LEASE, now_ms);
        run_pass(100);
        ASSERT_EQ(start_orders.size(), 1u);
        EXPECT_EQ(start_orders[0].target, "t2");
    }
};

// Guards against TWICE after a change of leader: a queue had moved to another
// service while its task ran on a target that the new leader cannot reach.
TEST(Inherit, WorkOfAMovedQueueWaitsForTargetsOfItsFormerService)
{
    MovedQueue sim;
    sim.submit(1, {{.count = 1}});
    sim.move_queue("alt");
    sim.expect_held();
}

TEST(Inherit, TheFormerServiceIsKeptInSnapshots)
{
    MovedQueue sim;
    sim.submit(1, {{.count = 1}});
    sim.move_queue("alt");
    sim.restart_from_snapshot();
    sim.restart_from_snapshot();
    sim.expect_held();
}

// The queue is removed first, and no queue of the configuration has its former
// service when the snapshot is taken.
TEST(Inherit, WorkOfAQueueThatWasRemovedAndAddedAgainWaits)
{
    for (bool restarted : {false, true}) {
        MovedQueue sim;
        sim.submit(1, {{.count = 1}});
        sim.configure({"spare"});
        if (restarted) {
            sim.restart_from_snapshot();
        }
        sim.move_queue("alt");
        sim.expect_held();
    }
}

// Guards against LOST after a restart of all hosts.
TEST(Inherit, WorkOfAQueueThatWasRemovedStartsAgain)
{
    for (bool restarted : {false, true}) {
        FleetSim sim;
        sim.configure({"q", "spare"});
        sim.put_target("t1");
        sim.submit(1, {{.count = 1, .lasting = true}});
        sim.submit(2, {{.count = 1}});
        sim.configure({"spare"});
        if (restarted) {
            sim.restart_from_snapshot();
        }
        sim.become_leader();
        sim.run_pass();
        EXPECT_EQ(sim.start_orders.size(), 2u);
    }
}

TEST(Inherit, EachServiceThatAQueueHasHadCounts)
{
    for (bool restarted : {false, true}) {
        MovedQueue sim;
        sim.put_target("t3", 8000, 0, "r1", false, 1, 0, "third");
        sim.submit(1, {{.count = 1}});
        sim.move_queue("alt");
        sim.submit(2, {{.count = 1}});
        sim.move_queue("third");
        sim.move_queue("alt");
        if (restarted) {
            sim.restart_from_snapshot();
        }
        sim.take_over();
        ASSERT_EQ(sim.start_orders.size(), 1u)
            << "job 2 was accepted after the queue had left the service of t1";
        EXPECT_EQ(sim.start_orders[0].task.job_id, 2u);
        sim.forget_runs("t3");
        plan_target_lost(sim.planner, sim.find_target("t1"), LOSS_LEASE,
                         sim.now_ms);
        sim.run_pass(100);
        EXPECT_EQ(sim.start_orders.size(), 1u) << "t3 may run job 1";
    }
}

TEST(Inherit, WorkWithMoreServicesThanARecordHoldsWaitsForAll)
{
    for (bool restarted : {false, true}) {
        MovedQueue sim;
        sim.submit(1, {{.count = 1}});
        for (uint32_t i = 0; i < FLEET_JOB_SERVICES_MAX; i++) {
            sim.move_queue("s" + std::to_string(i));
        }
        EXPECT_TRUE(sim.find_job(1)->any_service);
        sim.move_queue("alt");
        if (restarted) {
            sim.restart_from_snapshot();
        }
        sim.expect_held();
    }
}

// Of a job in a snapshot by a version without the list of services nothing is
// known but what its queue has now.
TEST(Inherit, WorkFromAnOlderSnapshotWaitsForAllTargets)
{
    MovedQueue sim;
    sim.submit(1, {{.count = 1}});
    sim.move_queue("alt");
    sim.restart_from_snapshot();
    fp_list none = {nullptr, 0};
    fleet_free_services(sim.find_job(1));
    fleet_load_services(sim.find_job(1), &none);
    sim.expect_held();
}

// Guards against the same for a target that announces another service: a start
// that was sent before may go on there.
TEST(Inherit, ATargetThatChangedItsServiceMayRunWorkOfBoth)
{
    for (uint64_t born_ms : {1, 2}) {
        for (bool restarted : {false, true}) {
            MovedQueue sim;
            sim.put_target("t3");
            sim.submit(1, {{.count = 1}});
            sim.put_target("t1", 8000, 0, "r1", false, born_ms, 0, "alt");
            sim.put_target("t1", 8000, 0, "r1", false, born_ms, 0, "alt");
            if (restarted) {
                sim.restart_from_snapshot();
            }
            sim.take_over();
            EXPECT_EQ(sim.start_orders.size(), 0u);
            plan_target_lost(sim.planner, sim.find_target("t1"), LOSS_LEASE,
                             sim.now_ms);
            sim.run_pass(100);
            ASSERT_EQ(sim.start_orders.size(), 1u);
            EXPECT_EQ(sim.start_orders[0].target, "t3");
        }
    }
}

// The lists are bounds: nothing waits for targets that cannot run it.
TEST(Inherit, OtherWorkDoesNotWaitForTargetsOfAFormerService)
{
    MovedQueue sim;
    sim.move_queue("alt");
    sim.submit(1, {{.count = 1}});
    sim.take_over();
    EXPECT_EQ(sim.start_orders.size(), 1u);
}

} // namespace
