// Tests of the plan: placement, unanswered orders, stops, order and health.
// Each test covers one workload or one fault.

#include "tests/plan_world.h"

using namespace plan_sim;

namespace {

TEST(Plan, StartsWhatFitsAndCountsItUntilItsEndIsListed)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 3000);
    sim.become_leader();
    sim.submit(1, {{.count = 4}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 3u);
    EXPECT_EQ(sim.used_cpu_milli("t1"), 3000u);
    sim.confirm_starts();
    sim.run_pass(10);
    EXPECT_EQ(sim.start_orders.size(), 3u)
        << "no free capacity before an end is listed";
    sim.end_run(sim.start_orders[0], RUN_DONE);
    sim.run_pass(1);
    EXPECT_EQ(sim.start_orders.size(), 4u);
    EXPECT_TRUE(sim.stop_orders.empty())
        << "a run that has ended is not stopped";
}

TEST(Plan, AStepWaitsForAllTasksOfItsPredecessor)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1");
    sim.become_leader();
    sim.submit(1, {{.count = 2}, {.count = 1, .after = {0}}});
    sim.run_pass();
    sim.confirm_starts();
    sim.end_run(sim.start_orders[0], RUN_DONE);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 2u);
    sim.end_run(sim.start_orders[1], RUN_DONE);
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 3u);
    EXPECT_EQ(sim.start_orders[2].task.step, 1u);
    sim.end_run(sim.start_orders[2], RUN_DONE);
    EXPECT_EQ(sim.find_job(1)->state, JOB_COMPLETED);
}

TEST(Plan, AnUnansweredStartIsStoppedBeforeItsTaskStartsElsewhere)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000);
    sim.put_target("t2", 1000);
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    RunOrder first = sim.start_orders[0];
    sim.answer_start(first, ORDER_UNKNOWN);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    sim.run_pass(50);
    EXPECT_EQ(sim.start_orders.size(), 1u);
    // A list requested before the stop was confirmed does not show that the
    // run is gone.
    uint64_t requested_ms = sim.now_ms;
    sim.now_ms += 10;
    plan_stop_answered(sim.planner, sim.find_target(first.target), &first.task,
                       first.run, ORDER_DONE, sim.now_ms);
    sim.report_runs(first.target, {}, false, requested_ms);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 1u);
    sim.now_ms += 10;
    sim.report_runs(first.target, {}, false, sim.now_ms);
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 2u);
    EXPECT_GT(sim.start_orders[1].run, first.run);
}

TEST(Plan, AStopWithoutAnAnswerIsRetried)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000);
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    sim.answer_start(sim.start_orders[0], ORDER_UNKNOWN);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    sim.now_ms += 1000;
    sim.report_runs("t1", {sim.make_row(sim.start_orders[0])}, false,
                    sim.now_ms);
    EXPECT_EQ(sim.stop_orders.size(), 2u);
}

TEST(Plan, AnEndIsAcceptedFromARunThatIsBeingStopped)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000);
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    sim.answer_start(sim.start_orders[0], ORDER_UNKNOWN);
    sim.end_run(sim.start_orders[0], RUN_DONE);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 1u)
        << "a task that is done does not run again";
    EXPECT_EQ(sim.find_job(1)->state, JOB_COMPLETED);
}

TEST(Plan, InheritedTasksWaitUntilEveryTargetHasListedItsRuns)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1");
    sim.submit(1, {{.count = 2}});
    sim.become_leader(2048);
    ((plan_target *)sim.find_target("t1")->plan)->runs_known = false;
    sim.submit(2, {{.count = 1}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 1u)
        << "only the job submitted in this term";
    EXPECT_EQ(sim.start_orders[0].task.job_id, 2u);
    EXPECT_EQ(sim.start_orders[0].run, 1u);
    plan_listed_run found = sim.make_row({"t1", {1, 0, 0, 1}, 7, "", ""});
    sim.report_runs("t1", {found}, true, sim.now_ms);
    plan_reconciled(sim.planner);
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 2u) << "the listed run is taken over";
    EXPECT_EQ(sim.start_orders[1].task.index, 0u);
    EXPECT_GT(sim.start_orders[1].run, 2048u)
        << "above all run numbers of earlier terms";
}

TEST(Plan, AnUnreachableTargetDelaysInheritedTasksOfItsOwnServiceOnly)
{
    FleetSim sim;
    sim.configure({"q", "alt"});
    sim.put_target("t1");
    sim.put_target("t2", 8000, 0, "r1", false, 1, 0, "alt");
    sim.submit(1, {{.count = 1}});
    sim.submit(2, {{.count = 1}}, "alt");
    sim.become_leader();
    ((plan_target *)sim.find_target("t2")->plan)->runs_known = false;
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 1u);
    EXPECT_EQ(sim.start_orders[0].task.job_id, 1u);
    plan_target_lost(sim.planner, sim.find_target("t2"), LOSS_LEASE,
                     sim.now_ms);
    sim.set_usable("t2");
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 2u);
}

// Regression: targets that had left seconds before a leader was lost held back
// all inherited work until their leases were over.
TEST(Plan, ATargetThatWasOutDelaysOnlyTheTasksThatItMayRun)
{
    for (bool restored : {false, true}) {
        FleetSim sim;
        sim.configure({"q"});
        sim.put_target("t1");
        sim.put_target("t2");
        sim.submit(1, {{.count = 1}});
        sim.submit(2, {{.count = 1}});
        fleet_task_id held = {1, 0, 0, 0};
        fleet_outage outage = {};
        g_strlcpy(outage.id, "t2", sizeof(outage.id));
        outage.born_ms = sim.find_target("t2")->rec.born_ms;
        outage.tasks = {&held, 1};
        sim.apply_change(&FLEET_OUTAGE_SCHEMA, &outage);
        if (restored) {
            fp_blob saved = {nullptr, 0};
            fleet_save(sim.fleet_state, &saved);
            ASSERT_EQ(fleet_load(sim.fleet_state, &saved), FP_OK);
            fp_blob_free(&saved);
        }
        sim.become_leader();
        ((plan_target *)sim.find_target("t2")->plan)->runs_known = false;
        plan_set_target_usable(sim.planner, sim.find_target("t2"), false);
        sim.run_pass();
        ASSERT_EQ(sim.start_orders.size(), 1u);
        EXPECT_EQ(sim.start_orders[0].task.job_id, 2u);
        plan_target_lost(sim.planner, sim.find_target("t2"), LOSS_LEASE,
                         sim.now_ms);
        sim.run_pass(5);
        ASSERT_EQ(sim.start_orders.size(), 2u);
        EXPECT_EQ(sim.start_orders[1].task.job_id, 1u);
    }
}

// The record of an outage holds for one incarnation of the target and until
// the record of its end; what the target may run is listed with it.
TEST(Plan, TheRecordOfAnOutageNamesAllRunsOfItsTarget)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1");
    sim.submit(1, {{.count = 2}});
    sim.become_leader();
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 2u);
    fleet_target *target = sim.find_target("t1");
    fleet_outage outage = {};
    ASSERT_TRUE(plan_list_tasks(target, &outage.tasks));
    EXPECT_EQ(outage.tasks.count, 2u) << "their starts are not answered yet";
    g_strlcpy(outage.id, "t1", sizeof(outage.id));
    outage.born_ms = target->rec.born_ms + 1;
    sim.apply_change(&FLEET_OUTAGE_SCHEMA, &outage);
    EXPECT_FALSE(target->is_out) << "of another incarnation";
    outage.born_ms = target->rec.born_ms;
    sim.apply_change(&FLEET_OUTAGE_SCHEMA, &outage);
    EXPECT_TRUE(target->is_out);
    EXPECT_EQ(target->held.count, 2u);
    outage.is_over = true;
    sim.apply_change(&FLEET_OUTAGE_SCHEMA, &outage);
    EXPECT_FALSE(target->is_out);
    outage.is_over = false;
    sim.apply_change(&FLEET_OUTAGE_SCHEMA, &outage);
    fleet_target_rec restarted = target->rec;
    restarted.born_ms++;
    sim.apply_change(&FLEET_TARGET_SCHEMA, &restarted);
    EXPECT_FALSE(sim.find_target("t1")->is_out) << "another incarnation";
    ((plan_target *)sim.find_target("t1")->plan)->runs_known = false;
    fp_list none = {nullptr, 0};
    EXPECT_FALSE(plan_list_tasks(sim.find_target("t1"), &none));
    g_free(outage.tasks.items);
}

// Regression: after a change of leader the wait of an inherited step was
// reported as hours, because it did not start with the term.
TEST(Plan, AnInheritedStepWaitsSinceTheStartOfTheTerm)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.submit(1, {{.count = 1}});
    sim.now_ms = 5000000;
    sim.become_leader();
    ASSERT_EQ(sim.planner->open_steps->len, 1u);
    EXPECT_EQ(((plan_step *)sim.planner->open_steps->pdata[0])->opened_ms, 5000000u);
}

TEST(Plan, ARunThatNobodyOrderedIsStopped)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1");
    sim.become_leader();
    plan_reconciled(sim.planner);
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    sim.confirm_starts();
    plan_listed_run stray = sim.make_row({"t1", {1, 0, 0, 0}, 99, "", ""});
    sim.report_runs("t1", {sim.make_row(sim.start_orders[0]), stray}, false,
                    sim.now_ms);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    EXPECT_EQ(sim.stop_orders[0].run, 99u);
    EXPECT_EQ(sim.used_cpu_milli("t1"), 2000u)
        << "its capacity counts until it has ended";
}

TEST(Plan, AListedRunOfANonexistentTaskIsStopped)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1");
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.report_runs("t1", {sim.make_row({"t1", {1, 0, 0, 70000}, 1, "", ""})},
                    true, sim.now_ms);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    EXPECT_EQ(sim.stop_orders[0].task.index, 70000u);
}

// Regression: a leader elected just after a cancel did not count the runs of
// the cancelled job, which were still being stopped.
TEST(Plan, RunsOfAnEndedJobCountOnTheirTargetAfterALeaderChange)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 8000);
    sim.submit(1, {{.count = 1, .cpu_milli = 5000}});
    sim.cancel_job(1);
    sim.become_leader();
    RunOrder old_run = {"t1", {1, 0, 0, 0}, 3, "", ""};
    sim.report_runs("t1", {sim.make_row(old_run)}, true, sim.now_ms);
    plan_reconciled(sim.planner);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    sim.submit(2, {{.count = 1, .cpu_milli = 5000}});
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 0u)
        << "a run that is being stopped still uses capacity";
    sim.end_run(old_run, RUN_STOPPED);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 1u);
}

TEST(Plan, ARunOfAnUnknownJobOccupiesItsWholeTarget)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 8000);
    sim.become_leader();
    RunOrder old_run = {"t1", {77, 0, 0, 0}, 3, "", ""};
    sim.report_runs("t1", {sim.make_row(old_run)}, true, sim.now_ms);
    plan_reconciled(sim.planner);
    sim.submit(2, {{.count = 1, .cpu_milli = 1000}});
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 0u) << "its size is not known";
    sim.end_run(old_run, RUN_STOPPED);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 1u);
}

TEST(Plan, ATeamLimitHoldsWhileTargetsHaveNotListedTheirRuns)
{
    FleetSim sim;
    sim.configure({"q"}, false, 9000);
    sim.put_target("t1", 8000);
    sim.put_target("t2", 8000);
    sim.submit(1, {{.count = 1, .cpu_milli = 8000}});
    sim.become_leader();
    ((plan_target *)sim.find_target("t2")->plan)->runs_known = false;
    sim.set_usable("t2", false);
    sim.submit(2, {{.count = 2, .cpu_milli = 1000}});
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 1u)
        << "t2 may run 8 cores of the team's work";
    EXPECT_EQ(sim.start_orders[0].task.job_id, 2u) << "job 1 may run on t2";
    sim.report_runs("t2", {sim.make_row({"t2", {1, 0, 0, 0}, 3, "", ""})},
                    true, sim.now_ms);
    sim.set_usable("t2");
    plan_reconciled(sim.planner);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 1u) << "t2 does run them";
    sim.end_run({"t2", {1, 0, 0, 0}, 3, "", ""}, RUN_DONE);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 2u);
}

TEST(Plan, NoStartAfterTheLastAttemptFailedEvenBeforeTheEndIsCommitted)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1");
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    for (size_t i = 0; i < 3; i++) {
        sim.run_pass(3000);
        ASSERT_EQ(sim.start_orders.size(), i + 1);
        fleet_run_end end = {sim.start_orders[i].task, sim.start_orders[i].run,
                         RUN_FAILED, ""};
        plan_run_ended(sim.planner, sim.find_target("t1"), &end, sim.now_ms);
    }
    sim.run_pass(10000);
    EXPECT_EQ(sim.start_orders.size(), 3u);
}

// See Fleet.FailedRunsAreCountedInAnyOrder: a new leader reads the ends of
// earlier runs from its targets in any order.
TEST(Plan, FailuresOfAnEarlierTermCountInAnyOrder)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1");
    sim.put_target("t2");
    sim.submit(1, {{.count = 1}});
    sim.become_leader();
    for (uint32_t run : {2u, 1u}) {
        fleet_run_end end = {{1, 0, 0, 0}, run, RUN_FAILED, ""};
        plan_run_ended(sim.planner, sim.find_target(run == 1 ? "t1" : "t2"),
                       &end, sim.now_ms);
    }
    plan_reconciled(sim.planner);
    sim.run_pass(3000);
    ASSERT_EQ(sim.start_orders.size(), 1u) << "one of three attempts is left";
    fleet_run_end end = {sim.start_orders[0].task, sim.start_orders[0].run,
                         RUN_FAILED, ""};
    plan_run_ended(sim.planner,
                   sim.find_target(sim.start_orders[0].target), &end,
                   sim.now_ms);
    sim.run_pass(10000);
    EXPECT_EQ(sim.start_orders.size(), 1u);
}

TEST(Plan, ACancelledJobIsStoppedEverywhere)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1");
    sim.put_target("t2", 1000);
    sim.become_leader();
    sim.submit(1, {{.count = 9}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 9u);
    sim.cancel_job(1);
    EXPECT_EQ(sim.stop_orders.size(), 9u);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 9u);
}

TEST(Plan, TasksOfALostTargetRestartButNotOnALeavingTarget)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 2000);
    sim.become_leader();
    sim.submit(1, {{.count = 2}});
    sim.run_pass();
    sim.put_target("t2", 8000);
    sim.set_usable("t2");
    sim.put_target("t3", 8000, 0, "r1", true);
    sim.set_usable("t3");
    plan_target_lost(sim.planner, sim.find_target("t1"), LOSS_LEASE,
                     sim.now_ms);
    sim.run_pass(100);
    ASSERT_EQ(sim.start_orders.size(), 4u);
    EXPECT_EQ(sim.start_orders[2].target, "t2");
    EXPECT_EQ(sim.start_orders[3].target, "t2");
}

// Workload: targets that are removed two seconds after they announce it.
TEST(Plan, WorkWithACheckpointIsMovedOffALeavingTarget)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 8000);
    sim.become_leader();
    sim.submit(1, {{.count = 1, .estimate_ms = 9000, .checkpoints = true}});
    sim.submit(2, {{.count = 1, .estimate_ms = 9000}});
    sim.submit(3, {{.count = 1, .estimate_ms = 1000, .checkpoints = true}});
    sim.submit(4, {{.count = 1, .lasting = true}});
    sim.submit(5, {{.count = 1,
                    .estimate_ms = 9000,
                    .gang = true,
                    .checkpoints = true}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 5u);
    sim.confirm_starts();
    sim.put_target("t2", 8000);
    sim.set_usable("t2");
    sim.put_target("t1", 8000, 0, "r1", true, 1, 2000);
    sim.run_pass(5);
    ASSERT_EQ(sim.stop_orders.size(), 1u) << "the others run while they can";
    EXPECT_EQ(sim.stop_orders[0].task.job_id, 2u)
        << "all that it does until the target is gone is lost";
    sim.run_pass(850);
    std::vector<uint64_t> stopped;
    for (const auto &stop : sim.stop_orders) {
        stopped.push_back(stop.task.job_id);
    }
    std::sort(stopped.begin(), stopped.end());
    EXPECT_EQ(stopped, (std::vector<uint64_t>{1, 2, 4, 5}));
    RunOrder first = sim.start_orders[0];
    for (const auto &start : sim.start_orders) {
        first = start.task.job_id == 1 ? start : first;
    }
    sim.end_run(first, RUN_STOPPED, "saved");
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 6u);
    EXPECT_EQ(sim.start_orders[5].target, "t2");
    EXPECT_EQ(sim.start_orders[5].checkpoint, "saved");
    sim.run_pass(5000);
    EXPECT_EQ(sim.stop_orders.size(), 4u) << "each run is stopped once";
}

// Runs without checkpoints on a target that leaves. Lost with it, they would
// count as running until its lease is over.
TEST(Plan, AGangWithoutCheckpointsStartsElsewhereOnceOneTargetLeaves)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1");
    sim.put_target("t2");
    sim.become_leader();
    // One member fits on a target beside the single task.
    sim.submit(1, {{.count = 2,
                    .cpu_milli = 5000,
                    .estimate_ms = 5000,
                    .gang = true}});
    sim.submit(2, {{.count = 1, .cpu_milli = 1000, .estimate_ms = 1500}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 3u);
    sim.confirm_starts();
    sim.put_target("t3");
    sim.set_usable("t3");
    std::vector<RunOrder> members;
    for (const auto &start : sim.start_orders) {
        if (start.task.job_id == 1) {
            members.push_back(start);
        }
    }
    ASSERT_EQ(members.size(), 2u);
    sim.put_target(members[0].target, 8000, 0, "r1", true, 1, 2400);
    sim.run_pass(5);
    ASSERT_EQ(sim.stop_orders.size(), 2u) << "the whole gang, at once";
    for (const auto &stop : sim.stop_orders) {
        EXPECT_EQ(stop.task.job_id, 1u);
    }
    sim.end_run(members[0], RUN_STOPPED);
    sim.end_run(members[1], RUN_STOPPED);
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 5u);
    EXPECT_NE(sim.start_orders[3].target, members[0].target);
    EXPECT_NE(sim.start_orders[4].target, members[0].target);
    EXPECT_EQ(sim.stop_orders.size(), 2u);
}

// A run that should have ended but has not is stopped just before its target
// is gone, where it would be lost without a sign.
TEST(Plan, AnOverdueRunLeavesItsTargetAtTheLastMoment)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1");
    sim.become_leader();
    sim.submit(1, {{.count = 1, .estimate_ms = 1000}});
    sim.run_pass();
    sim.confirm_starts();
    sim.put_target("t1", 8000, 0, "r1", true, 1, 3000);
    sim.run_pass(5);
    sim.run_pass(1500);
    EXPECT_EQ(sim.stop_orders.size(), 0u) << "it may end any moment";
    sim.run_pass(400);
    EXPECT_EQ(sim.stop_orders.size(), 1u);
}

TEST(Plan, ATeamLimitIsNeverExceeded)
{
    FleetSim sim;
    sim.configure({"q"}, false, 2500);
    sim.put_target("t1", 9000);
    sim.become_leader();
    sim.submit(1, {{.count = 5}});
    sim.run_pass();
    EXPECT_EQ(sim.start_orders.size(), 2u);
}

TEST(Plan, AnUnreachableTargetDoesNotDelayATeamWithoutInheritedTasks)
{
    FleetSim sim;
    sim.configure({"q"}, false, 9000);
    sim.put_target("t1", 8000);
    sim.put_target("t2", 8000);
    sim.become_leader();
    ((plan_target *)sim.find_target("t2")->plan)->runs_known = false;
    sim.set_usable("t2", false);
    sim.submit(1, {{.count = 2, .cpu_milli = 3000}});
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 2u);
}

TEST(Plan, AnOccurrenceIsOrderedByItsOwnDueTime)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000);
    sim.become_leader();
    sim.submit(1, {{.count = 1}}); // occupies the target
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 1u);
    sim.submit_recurring(2, sim.now_ms + 1000000 + 60000, 1000, 1);
    sim.run_pass(59000);
    sim.submit(3, {{.count = 1}}); // already late when the target is free
    sim.run_pass(61000 - 59000);
    sim.submit(4, {{.count = 1}}); // due later than the occurrence
    sim.end_run(sim.start_orders[0], RUN_DONE);
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 2u);
    EXPECT_EQ(sim.start_orders[1].task.job_id, 2u);
}

TEST(Plan, PolicyClientsKeptForShortQueriesAreAtMostHalf)
{
    EXPECT_EQ(plan_reserved_policy_clients(1), 0u);
    EXPECT_EQ(plan_reserved_policy_clients(2), 1u);
    EXPECT_EQ(plan_reserved_policy_clients(4), 2u);
    EXPECT_EQ(plan_reserved_policy_clients(40), 10u);
}

TEST(Plan, AtMostSpreadTasksOfAStepRunOnOneTarget)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 9000);
    sim.put_target("t2", 9000);
    sim.become_leader();
    sim.submit(1, {{.count = 5, .spread = 2}});
    sim.run_pass();
    std::map<std::string, int> count;
    for (const auto &start : sim.start_orders) {
        count[start.target]++;
    }
    EXPECT_EQ(count["t1"], 2);
    EXPECT_EQ(count["t2"], 2);
}

TEST(Plan, TheRackOfTheDataIsPreferredToTheTightestFit)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000, 0, "r1");
    sim.put_target("t2", 9000, 0, "r2");
    sim.become_leader();
    sim.submit(1, {{.count = 1, .rack = "r2"}});
    sim.run_pass();
    EXPECT_EQ(sim.start_orders[0].target, "t2");
}

TEST(Plan, TasksStartOnlyOnTargetsWithTheirLabel)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 9000, 0, "r1");
    sim.put_target("t2", 9000, 0, "r2");
    sim.become_leader();
    sim.submit(1, {{.count = 1, .label = "r2"}});
    sim.submit(2, {{.count = 1, .label = "r"}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 1u);
    EXPECT_EQ(sim.start_orders[0].target, "t2");
}

// Regression: a retransmitted start order reached the target after its
// restart, when the task had already been started on another target.
// An acknowledgement of ends over any connection waits for these.
TEST(Plan, AStartIsOnItsWayUntilItIsAnsweredOrLongPast)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000);
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    const fleet_target *target = sim.find_target("t1");
    EXPECT_TRUE(plan_start_is_on_its_way(target, sim.now_ms));
    sim.confirm_start(sim.start_orders[0]);
    EXPECT_FALSE(plan_start_is_on_its_way(target, sim.now_ms));
    plan_start_resent(sim.find_target("t1"), &sim.start_orders[0].task,
                      sim.start_orders[0].run);
    EXPECT_TRUE(plan_start_is_on_its_way(target, sim.now_ms))
        << "the first copy had no answer";
    EXPECT_FALSE(
        plan_start_is_on_its_way(target, sim.now_ms + PLAN_LATE_ORDER_MS))
        << "a lasting task would hold up all acknowledgements";
}

TEST(Plan, AnUnansweredStartIsStoppedOnARestartedTarget)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 2000);
    sim.become_leader();
    sim.submit(1, {{.count = 2}});
    sim.run_pass();
    sim.confirm_start(sim.start_orders[0]);
    sim.report_runs("t1", {sim.make_row(sim.start_orders[0])}, false,
                    sim.now_ms);
    sim.put_target("t2", 2000);
    sim.set_usable("t2");
    sim.put_target("t1", 2000, 0, "r1", false, 2);
    sim.run_pass(5);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    EXPECT_EQ(sim.stop_orders[0].task.index, sim.start_orders[1].task.index);
    EXPECT_EQ(sim.start_orders.size(), 2u) << "the new incarnation has listed nothing";
    sim.report_runs("t1", {}, false, sim.now_ms);
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 3u)
        << "only the confirmed run starts elsewhere";
    EXPECT_EQ(sim.start_orders[2].task.index, sim.start_orders[0].task.index);
    plan_stop_answered(sim.planner, sim.find_target("t1"),
                       &sim.start_orders[1].task, sim.start_orders[1].run,
                       ORDER_DONE, sim.now_ms);
    sim.now_ms += 10;
    sim.report_runs("t1", {}, false, sim.now_ms);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 4u);
}

// The run is listed, but its start order has no answer yet: a retransmission
// may still reach the new incarnation.
TEST(Plan, AnUnansweredStartIsStoppedAlthoughItsRunWasListed)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000);
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    sim.report_runs("t1", {sim.make_row(sim.start_orders[0])}, false,
                    sim.now_ms);
    sim.put_target("t2", 1000);
    sim.set_usable("t2");
    sim.put_target("t1", 1000, 0, "r1", false, 2);
    sim.run_pass(5);
    EXPECT_EQ(sim.stop_orders.size(), 1u);
    EXPECT_EQ(sim.start_orders.size(), 1u);
}

// Regression: a retransmitted start order of a run that had already ended
// reached the target after its restart.
TEST(Plan, AStartIsNotAwaitedAfterItsRunHasEnded)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 2000);
    sim.become_leader();
    sim.submit(1, {{.count = 2}});
    sim.run_pass();
    EXPECT_TRUE(plan_awaits_start(sim.find_target("t1"),
                                  &sim.start_orders[0].task, 1));
    sim.end_run(sim.start_orders[0], RUN_DONE);
    EXPECT_FALSE(plan_awaits_start(sim.find_target("t1"),
                                   &sim.start_orders[0].task, 1));
    EXPECT_TRUE(plan_awaits_start(sim.find_target("t1"),
                                  &sim.start_orders[1].task, 1));
    sim.report_runs("t1", {sim.make_row(sim.start_orders[1])}, false,
                    sim.now_ms);
    EXPECT_FALSE(plan_awaits_start(sim.find_target("t1"),
                                   &sim.start_orders[1].task, 1));
}

// Regression: the new incarnation accepted the start before it announced
// itself, so the run was confirmed although the old one never had it.
TEST(Plan, AConfirmedRunThatWasNeverListedMayBelongToTheNewIncarnation)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000);
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    sim.confirm_start(sim.start_orders[0]);
    sim.put_target("t2", 1000);
    sim.set_usable("t2");
    sim.put_target("t1", 1000, 0, "r1", false, 2);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 1u);
    EXPECT_EQ(sim.stop_orders.size(), 1u);
}

// ---- order, health, throttling ---------------------------------------------

// Workload: a burst that exceeds the capacity.
TEST(Plan, HighPriorityWorkStartsFirstAndLateWorkLast)
{
    FleetSim sim;
    sim.configure({"urgent", "batch"});
    sim.put_target("t1", 1000);
    sim.become_leader();
    sim.submit(9, {{.count = 1}}, "urgent");
    sim.run_pass();
    sim.confirm_starts();
    sim.submit(1, {{.count = 1, .estimate_ms = 3000}}, "batch");
    sim.now_ms += 60000;
    sim.submit(2, {{.count = 1}}, "batch");
    sim.submit(3, {{.count = 1}}, "urgent");
    sim.end_run(sim.start_orders[0], RUN_DONE);
    for (uint64_t want : {3u, 2u, 1u}) {
        sim.run_pass(1);
        EXPECT_EQ(sim.start_orders.back().task.job_id, want);
        sim.end_run(sim.start_orders.back(), RUN_DONE);
    }
}

TEST(Plan, ATargetWithRepeatedFailuresGetsNoStartsForAWhile)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("bad", 1000);
    sim.become_leader();
    for (uint64_t id = 1; id <= 2; id++) {
        sim.submit(id, {{.count = 1}});
        sim.run_pass(100);
        sim.end_run(sim.start_orders.back(), RUN_FAILED);
    }
    sim.run_pass(100);
    EXPECT_EQ(sim.start_orders.size(), 2u);
    sim.put_target("good", 1000);
    sim.set_usable("good");
    sim.run_pass(1);
    ASSERT_EQ(sim.start_orders.size(), 3u);
    EXPECT_EQ(sim.start_orders[2].target, "good");
    sim.run_pass(5000);
    EXPECT_EQ(sim.start_orders.back().target, "bad") << "it is used again";
}

TEST(Plan, CopiesStartElsewhereWhenATargetBecomesUnreachable)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000);
    sim.become_leader();
    sim.submit(1, {{.count = 1, .duplicates = true}});
    sim.run_pass();
    sim.confirm_starts();
    sim.put_target("t2", 1000);
    sim.set_usable("t2");
    sim.set_usable("t1", false);
    sim.run_pass(1);
    ASSERT_EQ(sim.start_orders.size(), 2u);
    EXPECT_EQ(sim.start_orders[1].target, "t2");
    EXPECT_EQ(sim.used_cpu_milli("t1"), 1000u) << "it may still run there";
    sim.end_run(sim.start_orders[1], RUN_DONE);
    EXPECT_EQ(sim.find_job(1)->state, JOB_COMPLETED);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    EXPECT_EQ(sim.stop_orders[0].target, "t1");
}

// Workload: start orders without an answer that are executed seconds later.
TEST(Plan, ACopyStartsElsewhereWhenAStartHasNoAnswer)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 2000);
    sim.become_leader();
    sim.submit(1, {{.count = 1, .duplicates = true}});
    sim.submit(2, {{.count = 1}});
    sim.run_pass();
    sim.put_target("t2", 2000);
    sim.set_usable("t2");
    sim.answer_start(sim.start_orders[0], ORDER_UNKNOWN);
    sim.run_pass(1);
    ASSERT_EQ(sim.start_orders.size(), 3u);
    ASSERT_EQ(sim.start_orders[0].task.job_id, 1u);
    EXPECT_EQ(sim.start_orders[1].task.job_id, 2u);
    EXPECT_EQ(sim.start_orders[2].task.job_id, 1u);
    EXPECT_EQ(sim.start_orders[2].target, "t2");
    EXPECT_EQ(sim.used_cpu_milli("t1"), 2000u) << "it may still start there";
    sim.answer_start(sim.start_orders[1], ORDER_UNKNOWN);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 3u) << "the job does not allow copies";
    sim.end_run(sim.start_orders[2], RUN_DONE);
    EXPECT_EQ(sim.find_job(1)->state, JOB_COMPLETED);
}

TEST(Plan, FillerWorkIsThrottledBesideATaskNearItsLatencyBound)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 4000);
    sim.become_leader();
    sim.submit(1, {{.count = 1, .lasting = true, .tail_ms = 100}});
    sim.submit(2, {{.count = 1, .fills = true}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 2u);
    sim.confirm_starts();
    plan_listed_run serving = sim.make_row(sim.start_orders[0]);
    plan_listed_run filling = sim.make_row(sim.start_orders[1]);
    serving.load = 90;
    sim.report_runs("t1", {serving, filling}, false, sim.now_ms);
    ASSERT_EQ(sim.pace_orders.size(), 1u);
    EXPECT_EQ(sim.pace_orders[0].second, 50u);
    serving.load = 20;
    sim.now_ms += 500;
    sim.report_runs("t1", {serving, filling}, false, sim.now_ms);
    ASSERT_EQ(sim.pace_orders.size(), 2u);
    EXPECT_EQ(sim.pace_orders[1].second, 100u);
}

TEST(Plan, ALongRunningTaskIsRestartedHoweverItEnds)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 4000);
    sim.become_leader();
    sim.submit(1, {{.count = 1, .lasting = true}});
    for (size_t i = 1; i <= 6; i++) {
        sim.run_pass(9000);
        ASSERT_EQ(sim.start_orders.size(), i);
        sim.confirm_start(sim.start_orders.back());
        sim.end_run(sim.start_orders.back(), RUN_FAILED);
    }
    EXPECT_TRUE(fleet_job_is_live(sim.find_job(1)));
}

TEST(Plan, OccurrencesStartWhenTheyAreDue)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 9000);
    sim.become_leader();
    sim.submit_recurring(5, sim.now_ms + 1000000 + 500, 1000, 3);
    sim.run_pass();
    EXPECT_EQ(sim.start_orders.size(), 0u);
    sim.run_pass(510);
    EXPECT_EQ(sim.start_orders.size(), 1u);
    sim.run_pass(1000);
    EXPECT_EQ(sim.start_orders.size(), 2u);
    EXPECT_EQ(sim.start_orders[1].task.occurrence, 1u);
}

} // namespace
