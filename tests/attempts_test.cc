// A limit on failed runs that falls below what a task has already used up: the
// task may start no more, and its job has to fail. Guards against jobs that
// stay "running" for good with nothing running.

#include "tests/plan_world.h"

using namespace plan_sim;

namespace {

const uint64_t IDLE_MAX_MS = 3000; // rule LOST

void set_limit(FleetSim &sim, uint32_t max_attempts)
{
    sim.max_attempts = max_attempts;
    sim.configure({"q", "spare"});
}

void run_for(FleetSim &sim, uint64_t for_ms)
{
    for (uint64_t until_ms = sim.now_ms + for_ms; sim.now_ms < until_ms;) {
        sim.run_pass(50);
    }
}

// Runs passes until the plan has ordered so many starts.
void wait_for_starts(FleetSim &sim, size_t count)
{
    for (int i = 0; i < 200 && sim.start_orders.size() < count; i++) {
        sim.run_pass(50);
    }
    ASSERT_EQ(sim.start_orders.size(), count);
}

// Two targets, and a job of one step whose first two runs fail, so that one of
// three attempts is left.
struct FailedTwice {
    FleetSim sim;

    explicit FailedTwice(const StepSpec &step = {})
    {
        set_limit(sim, 3);
        sim.put_target("t1");
        sim.put_target("t2");
        sim.become_leader();
        sim.submit(1, {step});
        for (size_t i = 1; i <= 2; i++) {
            wait_for_starts(sim, i * step.count);
            sim.confirm_starts();
            for (size_t k = (i - 1) * step.count; k < i * step.count; k++) {
                sim.end_run(sim.start_orders[k],
                            k == (i - 1) * step.count ? RUN_FAILED
                                                      : RUN_STOPPED);
            }
        }
    }
    // The third run is at work.
    const RunOrder &start_third()
    {
        wait_for_starts(sim, 3);
        sim.confirm_start(sim.start_orders[2]);
        return sim.start_orders[2];
    }
    fleet_job_state state() { return sim.find_job(1)->state; }
    void expect_failed()
    {
        size_t starts = sim.start_orders.size();
        run_for(sim, IDLE_MAX_MS);
        EXPECT_EQ(state(), JOB_FAILED);
        EXPECT_EQ(sim.start_orders.size(), starts);
        EXPECT_EQ(sim.reports.size(), 1u) << "a job fails once";
        EXPECT_EQ(sim.planner->reviews->len, 0u);
    }
};

TEST(Attempts, AJobFailsWhoseTaskWaitsWhenTheLimitFallsToItsFailures)
{
    FailedTwice world;
    set_limit(world.sim, 2);
    world.expect_failed();
}

TEST(Attempts, AJobFailsWhoseTaskHasFailedMoreOftenThanTheNewLimitAllows)
{
    FailedTwice world;
    set_limit(world.sim, 1);
    world.expect_failed();
}

TEST(Attempts, AJobFailsWhoseGangWaitsWhenTheLimitFalls)
{
    FailedTwice world({.count = 2, .gang = true});
    set_limit(world.sim, 2);
    world.expect_failed();
}

// One member is stopped, since the other one's target is lost.
TEST(Attempts, AGangWaitsForItsLastMemberBeforeItIsGivenUp)
{
    FailedTwice world({.count = 2, .gang = true});
    FleetSim &sim = world.sim;
    wait_for_starts(sim, 6);
    sim.confirm_starts();
    set_limit(sim, 2);
    ASSERT_EQ(sim.start_orders[4].task.index, 0u);
    sim.end_run(sim.start_orders[4], RUN_BROKEN);
    run_for(sim, 5000);
    EXPECT_EQ(world.state(), JOB_QUEUED);
    sim.end_run(sim.start_orders[5], RUN_STOPPED);
    world.expect_failed();
}

TEST(Attempts, AJobFailsWhoseQueueComesBackWithALowerLimit)
{
    FailedTwice world;
    world.sim.configure({"spare"});
    world.sim.max_attempts = 2;
    world.sim.configure({"q", "spare"});
    world.expect_failed();
}

TEST(Attempts, AJobFailsWhoseLastRunIsLostAfterTheLimitFell)
{
    FailedTwice world;
    const RunOrder third = world.start_third();
    set_limit(world.sim, 2);
    run_for(world.sim, 500);
    EXPECT_EQ(world.state(), JOB_QUEUED) << "a run is at work";
    plan_target_lost(world.sim.planner, world.sim.find_target(third.target),
                     LOSS_LEASE, world.sim.now_ms);
    world.expect_failed();
}

TEST(Attempts, AJobFailsWhoseLastRunIsStoppedAfterTheLimitFell)
{
    FailedTwice world;
    const RunOrder third = world.start_third();
    set_limit(world.sim, 2);
    world.sim.end_run(third, RUN_STOPPED);
    world.expect_failed();
}

TEST(Attempts, AJobFailsWhoseLastStartIsRefusedAfterTheLimitFell)
{
    FailedTwice world;
    wait_for_starts(world.sim, 3);
    set_limit(world.sim, 2);
    world.sim.answer_start(world.sim.start_orders[2], ORDER_UNHEALTHY);
    world.expect_failed();
}

TEST(Attempts, ARunAtWorkWhenTheLimitFallsMayStillBeDone)
{
    FailedTwice world;
    const RunOrder third = world.start_third();
    set_limit(world.sim, 2);
    run_for(world.sim, 5000);
    world.sim.end_run(third, RUN_DONE);
    EXPECT_EQ(world.state(), JOB_COMPLETED);
    EXPECT_TRUE(world.sim.reports.empty());
}

// Its target does not answer, so that another run was allowed; the first one
// may still be done.
TEST(Attempts, AnOvertakenRunMayStillBeDone)
{
    FailedTwice world({.duplicates = true});
    const RunOrder third = world.start_third();
    world.sim.set_usable("t1", false);
    world.sim.set_usable("t2", false);
    set_limit(world.sim, 2);
    run_for(world.sim, 5000);
    EXPECT_EQ(world.state(), JOB_QUEUED);
    world.sim.end_run(third, RUN_DONE);
    EXPECT_EQ(world.state(), JOB_COMPLETED);
}

TEST(Attempts, ALimitThatRisesAgainLeavesTheJobAlone)
{
    FailedTwice world;
    set_limit(world.sim, 2);
    run_for(world.sim, 300);
    set_limit(world.sim, 3);
    wait_for_starts(world.sim, 3);
    EXPECT_TRUE(world.sim.reports.empty());
    world.sim.end_run(world.sim.start_orders[2], RUN_DONE);
    EXPECT_EQ(world.state(), JOB_COMPLETED);
}

TEST(Attempts, ALimitThatRisesBeforeTheReportIsStoredLeavesTheJobAlone)
{
    FailedTwice world;
    world.sim.drops_reports = true;
    set_limit(world.sim, 2);
    run_for(world.sim, 1000);
    ASSERT_EQ(world.sim.reports.size(), 1u);
    set_limit(world.sim, 3);
    world.sim.commit_end(world.sim.reports[0]);
    wait_for_starts(world.sim, 3);
    EXPECT_EQ(world.state(), JOB_QUEUED);
    EXPECT_EQ(world.sim.find_job(1)->tasks[0].failures.count, 2u);
}

TEST(Attempts, AReportThatWasNotStoredIsRepeated)
{
    FailedTwice world;
    world.sim.drops_reports = true;
    set_limit(world.sim, 2);
    run_for(world.sim, 1000);
    EXPECT_EQ(world.sim.reports.size(), 1u);
    world.sim.drops_reports = false;
    run_for(world.sim, IDLE_MAX_MS);
    EXPECT_EQ(world.state(), JOB_FAILED);
    EXPECT_EQ(world.sim.reports.size(), 2u);
}

TEST(Attempts, NoLimitGivesNoTaskUp)
{
    FailedTwice world;
    set_limit(world.sim, 0);
    wait_for_starts(world.sim, 3);
    EXPECT_TRUE(world.sim.reports.empty());
}

// Failures of lasting tasks are not counted.
TEST(Attempts, ALastingTaskIsNeverGivenUp)
{
    FailedTwice world({.lasting = true});
    set_limit(world.sim, 1);
    wait_for_starts(world.sim, 3);
    EXPECT_TRUE(world.sim.reports.empty());
}

TEST(Attempts, AnOccurrenceGivesItsJobUp)
{
    FleetSim sim;
    set_limit(sim, 3);
    sim.put_target("t1");
    sim.become_leader();
    sim.submit_recurring(1, sim.now_ms + 1000000, 60000, 3);
    for (size_t i = 0; i < 2; i++) {
        wait_for_starts(sim, i + 1);
        sim.end_run(sim.start_orders[i], RUN_FAILED);
    }
    set_limit(sim, 2);
    run_for(sim, IDLE_MAX_MS);
    EXPECT_EQ(sim.find_job(1)->state, JOB_FAILED);
}

// Another task of the step waits before it for room that there is not.
TEST(Attempts, ATaskIsGivenUpBehindOneThatFindsNoRoom)
{
    FleetSim sim;
    set_limit(sim, 3);
    sim.put_target("t1", 1000);
    sim.put_target("t2", 1000);
    sim.become_leader();
    sim.submit(1, {{.count = 2}});
    wait_for_starts(sim, 2);
    for (size_t i = 1; i <= 2; i++) {
        wait_for_starts(sim, i + 1);
        sim.end_run(sim.start_orders[i], RUN_FAILED);
    }
    ASSERT_EQ(sim.start_orders[2].task.index, 1u);
    sim.put_target("t2", 500);
    plan_target_lost(sim.planner, sim.find_target("t1"), LOSS_LEASE,
                     sim.now_ms);
    set_limit(sim, 2);
    run_for(sim, IDLE_MAX_MS);
    EXPECT_EQ(sim.find_job(1)->state, JOB_FAILED);
}

// The configuration changes, or its leader is lost, before the new leader's
// targets have listed their runs.
TEST(Attempts, ANewLeaderWaitsForTheListsBeforeItGivesATaskUp)
{
    for (bool is_running : {true, false}) {
        FailedTwice world;
        FleetSim &sim = world.sim;
        RunOrder third = world.start_third();
        set_limit(sim, 2);
        plan_free(sim.planner);
        sim.planner = nullptr;
        sim.become_leader(2048);
        sim.forget_runs("t1");
        sim.forget_runs("t2");
        run_for(sim, 5000);
        EXPECT_EQ(world.state(), JOB_QUEUED) << "its run may be at work";
        for (const char *id : {"t1", "t2"}) {
            std::vector<plan_listed_run> rows;
            if (is_running && third.target == id) {
                rows.push_back(sim.make_row(third));
            }
            sim.report_runs(id, rows, true, sim.now_ms);
        }
        if (is_running) {
            run_for(sim, 5000);
            EXPECT_EQ(world.state(), JOB_QUEUED);
            sim.end_run(third, RUN_DONE);
            EXPECT_EQ(world.state(), JOB_COMPLETED);
        }
        else {
            world.expect_failed();
        }
    }
}

TEST(Attempts, AJobIsGivenUpAfterARestartOfAllHosts)
{
    FailedTwice world;
    set_limit(world.sim, 2);
    plan_free(world.sim.planner);
    world.sim.planner = nullptr;
    world.sim.restart_from_snapshot();
    world.sim.become_leader(2048);
    world.expect_failed();
}

// A snapshot by a version that stored only the number of failures and the
// highest failed run.
TEST(Attempts, FailuresWithoutRunNumbersAreReportedToo)
{
    FailedTwice world;
    failures &stored = world.sim.find_job(1)->tasks[0].failures;
    failures_clear(&stored);
    stored.count = 2;
    stored.counted_up_to = 2;
    plan_free(world.sim.planner);
    world.sim.planner = nullptr;
    set_limit(world.sim, 2);
    world.sim.become_leader(2048);
    world.expect_failed();
}

TEST(Attempts, AFailureThatIsNotStoredYetIsStoredOnce)
{
    FailedTwice world;
    const RunOrder third = world.start_third();
    fleet_run_end end = {third.task, third.run, RUN_FAILED, ""};
    set_limit(world.sim, 4);
    plan_run_ended(world.sim.planner, world.sim.find_target(third.target),
                   &end, world.sim.now_ms);
    set_limit(world.sim, 3);
    run_for(world.sim, 100);
    world.sim.commit_end(end);
    EXPECT_EQ(world.state(), JOB_FAILED);
}

// Of 20,000 jobs, one task has used up its attempts: passes look at it alone.
TEST(Attempts, PassesLookOnlyAtTasksThatMayBeGivenUp)
{
    FailedTwice world;
    for (uint64_t id = 2; id < 20000; id++) {
        world.sim.submit(id, {{.cpu_milli = 100000}});
    }
    world.sim.drops_reports = true;
    set_limit(world.sim, 2);
    EXPECT_EQ(world.sim.planner->reviews->len, 1u);
    set_limit(world.sim, 1);
    EXPECT_EQ(world.sim.planner->reviews->len, 1u);
    set_limit(world.sim, 3);
    run_for(world.sim, 100);
    EXPECT_EQ(world.sim.planner->reviews->len, 0u);
}

} // namespace
