// Heap that a leader takes for the jobs that have ended and can still be
// queried.

#include <malloc.h>

#include "tests/plan_world.h"

namespace {

using namespace plan_sim;

size_t heap_bytes()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// A job of two steps whose targets the placement policy chooses.
void run_job(FleetSim &sim, uint64_t id)
{
    StepSpec first, second;
    first.count = second.count = 10;
    second.after = {0};
    ASSERT_EQ(sim.submit(id, {first, second}).err, FP_OK);
    size_t ended = 0;
    for (int pass = 0; pass < 20 && ended < 20; pass++) {
        sim.run_pass(50);
        std::vector<PolicyQuery> queries;
        queries.swap(sim.queries);
        for (const auto &query : queries) {
            sim.answer_query(query, query.targets);
        }
        std::vector<RunOrder> runs;
        runs.swap(sim.start_orders);
        for (const auto &run : runs) {
            sim.confirm_start(run);
            sim.end_run(run, RUN_DONE);
        }
        ended += runs.size();
    }
    ASSERT_EQ(ended, 20u);
    sim.run_pass(200);
}

// Of each ended job stay its ID, its state and the sizes of its steps: 1.5 KB,
// where its plan and its tickets took another 9 KB.
TEST(Memory, EndedJobsKeepOnlyWhatQueriesNeed)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    for (int i = 0; i < 60; i++) {
        sim.put_target("t" + std::to_string(i));
    }
    sim.become_leader();
    plan_reconciled(sim.planner);
    run_job(sim, 1);
    size_t before = heap_bytes();
    for (uint64_t id = 2; id <= 201; id++) {
        run_job(sim, id);
    }
    size_t each = (heap_bytes() - before) / 200;
    EXPECT_EQ(sim.find_job(100)->state, JOB_COMPLETED);
    EXPECT_EQ(sim.find_job(100)->plan, nullptr);
    EXPECT_LE(each, 2000u);
}

// Of a backlog of steps each has asked about dozens of targets, of which the
// policy granted a third: below half of the 187 bytes that each took before.
TEST(Memory, TargetsThatThePolicyWasAskedAboutTakeLittle)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    for (int i = 0; i < 100; i++) {
        sim.put_target("t" + std::to_string(i));
    }
    sim.become_leader();
    plan_reconciled(sim.planner);
    StepSpec wide;
    wide.count = 20;
    wide.spread = 1;
    for (uint64_t id = 1; id <= 100; id++) {
        ASSERT_EQ(sim.submit(id, {wide}).err, FP_OK);
    }
    size_t before = heap_bytes();
    size_t asked = 0;
    sim.run_pass();
    std::vector<PolicyQuery> queries;
    queries.swap(sim.queries);
    ASSERT_EQ(queries.size(), 100u);
    for (auto &query : queries) {
        asked += query.targets.size();
        query.targets.resize(query.targets.size() / 3);
        sim.answer_query(query, query.targets);
    }
    queries = {};
    EXPECT_GE(asked, 9000u);
    EXPECT_LE((heap_bytes() - before) / asked, 80u);
}

} // namespace
