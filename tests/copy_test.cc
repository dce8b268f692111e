// Second runs of tasks that take much longer than expected.

#include "tests/plan_world.h"

extern "C" {
#include "bench/replay.h"
#include "core/plancopy.h"
}

namespace {

using namespace plan_sim;

plan_policy make_policy(bool copies)
{
    plan_policy policy = PLAN_POLICY_DEFAULT;
    policy.name = copies ? "copies" : "no-copies";
    policy.copies = copies;
    return policy;
}
const plan_policy WITH_COPIES = make_policy(true);
const plan_policy WITHOUT_COPIES = make_policy(false);

// Four targets of three racks, and a leader that has seen forty runs: one in
// ten took twelve times its estimate.
struct CopySim : FleetSim {
    std::vector<RunOrder> lasting_runs;
    CopySim()
    {
        configure({"q"});
        put_target("t1", 8000, 0, "r1");
        put_target("t2", 8000, 0, "r1");
        put_target("t3", 8000, 0, "r2");
        put_target("t4", 8000, 0, "r3");
        lead();
        StepSpec lasting; // other work, a quarter of the capacity
        lasting.count = 8;
        lasting.lasting = true;
        EXPECT_EQ(submit(800, {lasting}).err, FP_OK);
        run_pass();
        confirm_starts();
        lasting_runs = start_orders;
        start_orders.clear();
        train(12000);
    }
    void lead()
    {
        plan_free(planner);
        become_leader(planner == nullptr ? 1024 : 2048);
        planner->params.policy = &WITH_COPIES;
        plan_reconciled(planner);
    }
    // Runs forty jobs of one task of 1 s; one in ten takes tail_ms.
    void train(uint64_t tail_ms)
    {
        StepSpec step;
        step.cpu_milli = 500;
        for (uint64_t id = 900; id < 940; id++) {
            ASSERT_EQ(submit(id, {step}).err, FP_OK);
        }
        run_pass();
        confirm_starts();
        std::vector<RunOrder> runs = start_orders;
        ASSERT_EQ(runs.size(), 40u);
        run_pass(1000);
        for (size_t i = 4; i < runs.size(); i++) {
            end_run(runs[i], RUN_DONE);
        }
        run_pass(tail_ms - 1000);
        for (size_t i = 0; i < 4; i++) {
            end_run(runs[i], RUN_DONE);
        }
        for (const char *id : {"t1", "t2", "t3", "t4"}) {
            ((plan_target *)find_target(id)->plan)->slowdown_permille = 1000;
        }
        start_orders.clear();
        stop_orders.clear();
    }
    // Starts a job of one task and lets it run for ran_ms, in small passes.
    RunOrder start_straggler(const StepSpec &step, uint64_t id = 1,
                             uint64_t ran_ms = 3000)
    {
        EXPECT_EQ(submit(id, {step}).err, FP_OK);
        run_pass();
        EXPECT_GE(start_orders.size(), 1u);
        confirm_starts();
        RunOrder first = start_orders.empty() ? RunOrder{} : start_orders[0];
        start_orders.clear();
        pass_time(ran_ms);
        return first;
    }
    void pass_time(uint64_t ms)
    {
        for (uint64_t passed = 0; passed < ms; passed += 100) {
            run_pass(100);
        }
    }
    static StepSpec duplicable()
    {
        StepSpec step;
        step.duplicates = true;
        step.cpu_milli = 50;
        return step;
    }
    size_t count_runs()
    {
        size_t count = 0;
        for (const char *id : {"t1", "t2", "t3", "t4"}) {
            count += ((plan_target *)find_target(id)->plan)->runs->len;
        }
        return count;
    }
    plan_task *task(uint64_t job_id)
    {
        return &((plan_job *)find_job(job_id)->plan)->tasks[0];
    }
};

TEST(Copy, AStragglerIsCopiedOnceOnAnotherRackAndTheFirstEndCounts)
{
    CopySim sim;
    RunOrder first = sim.start_straggler(CopySim::duplicable());
    ASSERT_EQ(sim.start_orders.size(), 1u);
    RunOrder copy = sim.start_orders[0];
    EXPECT_GT(copy.run, first.run);
    auto rack = [&](const RunOrder &order) {
        return std::string(sim.find_target(order.target)->rec.rack);
    };
    EXPECT_NE(rack(copy), rack(first));
    sim.confirm_starts();
    sim.pass_time(900);
    EXPECT_EQ(sim.start_orders.size(), 1u); // one copy at a time
    sim.end_run(copy, RUN_DONE);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    EXPECT_EQ(sim.stop_orders[0].run, first.run);
    EXPECT_EQ(sim.find_job(1)->state, JOB_COMPLETED);
    sim.end_run(first, RUN_STOPPED);
    sim.pass_time(2000);
    EXPECT_EQ(sim.start_orders.size(), 1u); // nothing starts after the end
    EXPECT_EQ(sim.count_runs(), 8u);
    EXPECT_EQ(sim.planner->counters.copies, 1u);
    EXPECT_EQ(sim.planner->counters.copies_won, 1u);
    EXPECT_GE(sim.planner->counters.copy_waste_milli_s, 150u);
}

TEST(Copy, TheFirstRunMayStillEndFirst)
{
    CopySim sim;
    RunOrder first = sim.start_straggler(CopySim::duplicable());
    ASSERT_EQ(sim.start_orders.size(), 1u);
    RunOrder copy = sim.start_orders[0]; // its start is not answered yet
    sim.end_run(first, RUN_DONE);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    EXPECT_EQ(sim.stop_orders[0].run, copy.run);
    sim.answer_start(copy, ORDER_STALE_RUN);
    sim.pass_time(2000);
    EXPECT_EQ(sim.start_orders.size(), 1u);
    EXPECT_EQ(sim.count_runs(), 8u);
    EXPECT_EQ(sim.planner->counters.copies_lost, 1u);
}

TEST(Copy, NothingIsDoubledWhereItIsNotAllowed)
{
    StepSpec plain = CopySim::duplicable();
    plain.duplicates = false;
    StepSpec gang = CopySim::duplicable();
    gang.gang = true;
    StepSpec lasting = CopySim::duplicable();
    lasting.lasting = true;
    for (const StepSpec &step : {plain, gang, lasting}) {
        CopySim sim;
        sim.start_straggler(step, 1, 8000);
        EXPECT_TRUE(sim.start_orders.empty());
    }
}

TEST(Copy, TheDefaultPolicyStartsNone)
{
    CopySim sim;
    sim.planner->params.policy = &PLAN_POLICY_DEFAULT;
    sim.start_straggler(CopySim::duplicable(), 1, 8000);
    EXPECT_TRUE(sim.start_orders.empty());
}

TEST(Copy, NoneWithoutKnowledgeOfTheRunTimes)
{
    CopySim sim;
    sim.lead();
    sim.start_straggler(CopySim::duplicable(), 1, 8000);
    EXPECT_TRUE(sim.start_orders.empty());
}

TEST(Copy, NoneWhileTheServiceIsFullOrWorkWaits)
{
    CopySim sim;
    StepSpec wide;
    wide.count = 20;
    wide.estimate_ms = 60000;
    EXPECT_EQ(sim.submit(7, {wide}).err, FP_OK);
    sim.run_pass();
    sim.confirm_starts();
    sim.start_orders.clear();
    sim.start_straggler(CopySim::duplicable()); // 28 of 32 cores are in use
    EXPECT_TRUE(sim.start_orders.empty());

    CopySim other;
    StepSpec large;
    large.cpu_milli = 9000; // fits nowhere, and waits
    EXPECT_EQ(other.submit(7, {large}).err, FP_OK);
    other.start_straggler(CopySim::duplicable());
    EXPECT_TRUE(other.start_orders.empty());
}

TEST(Copy, TheTeamLimitHolds)
{
    CopySim sim;
    sim.configure({"q"}, false, 8080); // the others take 8 cores
    sim.start_straggler(CopySim::duplicable());
    EXPECT_TRUE(sim.start_orders.empty());
}

// Twelve stragglers at once: their copies may waste a share of all work.
TEST(Copy, ExtraWorkIsBounded)
{
    CopySim sim;
    StepSpec step = CopySim::duplicable();
    step.count = 12;
    step.cpu_milli = 300;
    sim.start_straggler(step, 1, 3000);
    EXPECT_GE(sim.start_orders.size(), 1u);
    EXPECT_LE(sim.start_orders.size(), 2u);
}

// The work itself is long: a copy takes as long, and is stopped. Four such
// jobs at a time.
TEST(Copy, NoMoreThanTrialsWhereCopiesDoNotEndFirst)
{
    CopySim sim;
    std::vector<size_t> copies;
    for (uint64_t round = 0; round < 3; round++) {
        for (uint64_t i = 0; i < 4; i++) {
            ASSERT_EQ(
                sim.submit(10 * round + i + 1, {CopySim::duplicable()}).err,
                FP_OK);
        }
        sim.run_pass();
        sim.confirm_starts();
        std::vector<RunOrder> runs = sim.start_orders;
        ASSERT_EQ(runs.size(), 4u);
        sim.start_orders.clear();
        sim.pass_time(4000);
        copies.push_back(sim.start_orders.size());
        for (const auto &run : runs) {
            sim.end_run(run, RUN_DONE);
        }
        for (const auto &copy : sim.start_orders) {
            sim.end_run(copy, RUN_STOPPED);
        }
        sim.start_orders.clear();
        sim.pass_time(200);
    }
    EXPECT_EQ(copies[0], 4u);
    EXPECT_LE(copies[1], 1u); // a trial in 5 s
    EXPECT_LE(copies[2], 1u);
    EXPECT_EQ(sim.planner->counters.copies_won, 0u);
}

TEST(Copy, ANewLeaderAdoptsBothRuns)
{
    CopySim sim;
    RunOrder first = sim.start_straggler(CopySim::duplicable());
    ASSERT_EQ(sim.start_orders.size(), 1u);
    RunOrder copy = sim.start_orders[0];
    sim.confirm_starts();
    sim.start_orders.clear();
    sim.lead();
    for (const char *id : {"t1", "t2", "t3", "t4"}) {
        std::vector<plan_listed_run> rows;
        std::vector<RunOrder> runs = sim.lasting_runs;
        runs.push_back(first);
        runs.push_back(copy);
        for (const RunOrder &order : runs) {
            if (order.target == id) {
                rows.push_back(sim.make_row(order));
            }
        }
        sim.report_runs(id, rows, true, sim.now_ms);
    }
    sim.pass_time(1000);
    EXPECT_TRUE(sim.stop_orders.empty());
    EXPECT_TRUE(sim.start_orders.empty());
    EXPECT_EQ(sim.task(1)->runs, 2u);
    sim.end_run(copy, RUN_DONE);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    EXPECT_EQ(sim.stop_orders[0].run, first.run);
    sim.end_run(first, RUN_STOPPED);
    sim.pass_time(2000);
    EXPECT_TRUE(sim.start_orders.empty());
}

// Without copies allowed, a second listed run is stopped as before.
TEST(Copy, ANewLeaderStopsASecondRunWhereCopiesAreNotAllowed)
{
    CopySim sim;
    RunOrder first = sim.start_straggler(StepSpec{});
    RunOrder second = first;
    second.run++;
    second.target = first.target == "t1" ? "t2" : "t1";
    sim.lead();
    sim.report_runs(first.target, {sim.make_row(first)}, true, sim.now_ms);
    sim.report_runs(second.target, {sim.make_row(second)}, true, sim.now_ms);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    EXPECT_EQ(sim.stop_orders[0].run, second.run);
}

TEST(Copy, TheCopyGoesOnAloneWhenTheOtherTargetIsLost)
{
    CopySim sim;
    RunOrder first = sim.start_straggler(CopySim::duplicable());
    ASSERT_EQ(sim.start_orders.size(), 1u);
    RunOrder copy = sim.start_orders[0];
    sim.confirm_starts();
    plan_set_target_usable(sim.planner, sim.find_target(first.target), false);
    sim.pass_time(300);
    plan_target_lost(sim.planner, sim.find_target(first.target), LOSS_CRASHED,
                     sim.now_ms);
    sim.pass_time(500);
    EXPECT_EQ(sim.start_orders.size(), 1u);
    EXPECT_EQ(sim.task(1)->runs, 1u);
    sim.end_run(copy, RUN_DONE);
    EXPECT_EQ(sim.find_job(1)->state, JOB_COMPLETED);
}

// A failure of the copy leaves the first run, and counts as one attempt.
TEST(Copy, AttemptsAreKeptForBothRuns)
{
    CopySim sim;
    RunOrder first = sim.start_straggler(CopySim::duplicable());
    ASSERT_EQ(sim.start_orders.size(), 1u);
    RunOrder copy = sim.start_orders[0];
    sim.confirm_starts();
    sim.end_run(copy, RUN_FAILED);
    sim.pass_time(400);
    ASSERT_EQ(sim.start_orders.size(), 2u); // of three attempts, one is left
    sim.confirm_starts();
    sim.end_run(sim.start_orders[1], RUN_FAILED);
    for (const char *id : {"t1", "t2", "t3", "t4"}) {
        ((plan_target *)sim.find_target(id)->plan)->failures_in_row = 0;
    }
    sim.pass_time(2000);
    EXPECT_EQ(sim.start_orders.size(), 2u); // none is left beside the first
    EXPECT_TRUE(fleet_job_is_live(sim.find_job(1)));
    sim.end_run(first, RUN_DONE);
    EXPECT_EQ(sim.find_job(1)->state, JOB_COMPLETED);
}

TEST(Copy, NoneForACancelledJobOrASuspectedTask)
{
    CopySim sim;
    sim.start_straggler(CopySim::duplicable(), 1, 800);
    sim.cancel_job(1);
    sim.pass_time(3000);
    EXPECT_TRUE(sim.start_orders.empty());

    CopySim other;
    other.start_straggler(CopySim::duplicable(), 1, 800);
    other.task(1)->open_crashes = 1;
    other.pass_time(3000);
    EXPECT_TRUE(other.start_orders.empty());
}

TEST(Copy, NoneOnTargetsThatLeaveAreSlowOrFailed)
{
    CopySim sim;
    RunOrder first = sim.start_straggler(CopySim::duplicable(), 1, 800);
    std::vector<std::string> ids = {"t1", "t2", "t3", "t4"};
    ids.erase(std::find(ids.begin(), ids.end(), first.target));
    auto planned = [&](size_t i) {
        return (plan_target *)sim.find_target(ids[i])->plan;
    };
    planned(0)->target->rec.leaving = true;
    planned(1)->slowdown_permille = 6000;
    planned(2)->failures_in_row = 1;
    sim.pass_time(2500);
    EXPECT_TRUE(sim.start_orders.empty());
    planned(2)->failures_in_row = 0;
    sim.pass_time(200);
    ASSERT_EQ(sim.start_orders.size(), 1u);
    EXPECT_EQ(sim.start_orders[0].target, ids[2]);
}

TEST(Copy, ATicketIsFetchedForTheCopy)
{
    CopySim sim;
    sim.configure({"q"}, true);
    ASSERT_EQ(sim.submit(1, {CopySim::duplicable()}).err, FP_OK);
    sim.run_pass();
    ASSERT_EQ(sim.queries.size(), 1u);
    sim.answer_query(sim.queries[0], {"t1", "t2"});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 1u);
    sim.confirm_starts();
    RunOrder first = sim.start_orders[0];
    const char *other = first.target == "t1" ? "t2" : "t1";
    ((plan_target *)sim.find_target(other)->plan)->backoff_until_ms =
        sim.now_ms + 2500;
    sim.pass_time(3000); // the tickets are valid for 2 s
    EXPECT_EQ(sim.start_orders.size(), 1u);
    ASSERT_EQ(sim.queries.size(), 2u);
    sim.answer_query(sim.queries[1], {"t1", "t2"});
    sim.pass_time(200);
    ASSERT_EQ(sim.start_orders.size(), 2u);
    EXPECT_EQ(sim.start_orders[1].target, other);
    EXPECT_EQ(sim.start_orders[1].ticket, "t-" + sim.start_orders[1].target);
}

replay_load *read_load(const char *name)
{
    replay_load *load = nullptr;
    char why[256] = "";
    EXPECT_EQ(replay_read_load((std::string("bench/loads/") + name).c_str(),
                               &load, why, sizeof(why)),
              FP_OK)
        << why;
    return load;
}

// What a load earns and wastes under a policy, over three seeds.
struct Outcome {
    double earned = 0, quotes = 0, wasted_core_s = 0;
    uint64_t starts = 0, copies = 0, won = 0;
    double work_core_s = 0; // of the jobs that were completed
    uint32_t breaches = 0;
};

double work_core_s(const sim_job *job)
{
    double work = 0;
    for (uint32_t i = 0; i < job->submit.steps.count; i++) {
        auto *step = (const fleet_step *)job->submit.steps.items + i;
        work += 1e-6 * step->count * step->cpu_milli * job->mean_run_ms;
    }
    return job->state == JOB_COMPLETED ? work : 0;
}

Outcome replay(const plan_policy &policy, bool tail_of_task)
{
    replay_load *load = read_load("stragglers.yaml");
    Outcome outcome;
    double owed = 0, owed_quotes = 0;
    for (uint32_t i = 0; i < load->queues_count; i++) {
        load->queues[i].tail_of_task = tail_of_task;
    }
    for (uint32_t seed = 1; seed <= 3; seed++) {
        sim_result *result = sim_replay(load, &policy, seed);
        for (guint i = 0; i < result->jobs->len; i++) {
            auto *job = (const sim_job *)result->jobs->pdata[i];
            double worth = job->queue->worth_milli / 1000.0;
            double part = replay_earned_permille(job) / 1000.0;
            outcome.earned += worth * part;
            owed += worth;
            outcome.work_core_s += work_core_s(job);
            if (std::string(job->queue->name) == "quote") {
                outcome.quotes += part;
                owed_quotes++;
            }
        }
        const sim_breaches &breaches = result->breaches;
        outcome.breaches += breaches.over_size + breaches.doubled +
                            breaches.over_cap + breaches.stuck;
        outcome.wasted_core_s += result->wasted_cpu_milli_s / 1000.0;
        outcome.starts += result->counters.starts;
        outcome.copies += result->counters.copies;
        outcome.won += result->counters.copies_won;
        sim_result_free(result);
    }
    replay_load_free(load);
    outcome.earned /= owed;
    outcome.quotes /= owed_quotes;
    return outcome;
}

// Copies may waste one part in a hundred of all work, over what was wasted.
const double EXTRA_WORK = 0.01;

TEST(Copy, ReplayOfStragglersEarnsMoreAtATenthMoreStarts)
{
    Outcome with = replay(WITH_COPIES, false);
    Outcome without = replay(WITHOUT_COPIES, false);
    EXPECT_EQ(with.breaches, 0u);
    EXPECT_GT(with.quotes, without.quotes);
    EXPECT_GE(with.earned, without.earned);
    EXPECT_LE(with.starts, without.starts * 1.1);
    EXPECT_LE(with.wasted_core_s,
              without.wasted_core_s + EXTRA_WORK * without.work_core_s);
    EXPECT_GE(with.won * 2, with.copies);
}

// The bound that is stated for work thrown away: what it was, and a tenth.
TEST(Copy, ReplayOfStragglersWastesAtMostATenthMore)
{
    Outcome with = replay(WITH_COPIES, false);
    Outcome without = replay(WITHOUT_COPIES, false);
    EXPECT_LE(with.wasted_core_s, without.wasted_core_s * 1.1);
}

// Where the work itself is long, copies are given up after a few.
TEST(Copy, ReplayOfLongWorkStartsFewCopies)
{
    Outcome with = replay(WITH_COPIES, true);
    Outcome without = replay(WITHOUT_COPIES, true);
    EXPECT_EQ(with.breaches, 0u);
    EXPECT_GE(with.earned, without.earned - 0.005);
    EXPECT_LE(with.copies, replay(WITH_COPIES, false).copies / 2);
    EXPECT_LE(with.wasted_core_s,
              without.wasted_core_s + EXTRA_WORK * without.work_core_s);
}

// Under late orders, crashes, leaving targets and changes of the leader.
TEST(Copy, ReplaysUnderFaultsDoubleAndLoseNothing)
{
    for (const char *name : {"troubles.yaml", "cut-targets.yaml",
                             "crashing-tasks.yaml", "short-notice.yaml"}) {
        replay_load *faults = read_load(name);
        replay_load *load = read_load("stragglers.yaml");
        uint64_t copies = 0;
        std::swap(load->events, faults->events);
        std::swap(load->events_count, faults->events_count);
        load->seconds = 25;
        load->queues[0].copies_permille = 700;
        load->queues[0].crashing_permille =
            faults->queues[0].crashing_permille;
        for (uint32_t seed = 1; seed <= 2; seed++) {
            sim_result *result = sim_replay(load, &WITH_COPIES, seed);
            const sim_breaches &breaches = result->breaches;
            EXPECT_EQ(breaches.over_size + breaches.doubled +
                          breaches.over_cap + breaches.stuck +
                          breaches.over_crashes + breaches.wrongly_given_up,
                      0u)
                << name << ", seed " << seed << ": " << breaches.first;
            copies += result->counters.copies;
            sim_result_free(result);
        }
        EXPECT_GT(copies, 0u) << name;
        replay_load_free(faults);
        replay_load_free(load);
    }
}

// With the other decisions for full services; a quarter of the targets is slow.
TEST(Copy, ReplayWithSpeedsDoublesAndLosesNothing)
{
    replay_load *load = read_load("stragglers.yaml");
    load->services[0].speeds_percent[0] = 55;
    sim_result *result = sim_replay(load, &PLAN_POLICY_CONTENDED, 1);
    const sim_breaches &breaches = result->breaches;
    EXPECT_EQ(breaches.over_size + breaches.doubled + breaches.over_cap +
                  breaches.stuck,
              0u)
        << breaches.first;
    EXPECT_GT(result->counters.copies, 0u);
    sim_result_free(result);
    replay_load_free(load);
}

} // namespace
