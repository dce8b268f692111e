// How much accepted work a cell keeps: decisions, and what the state counts.

#include "tests/plan_world.h"

extern "C" {
#include "core/room.h"
}

using namespace plan_sim;

namespace {

// A job of one step.
struct Job {
    fleet_submit submit = {};
    explicit Job(uint32_t tasks, uint32_t spec_bytes = 0, uint32_t occurrences = 0)
    {
        auto *step = (fleet_step *)fp_list_add(&submit.steps, sizeof(fleet_step));
        step->count = tasks;
        submit.spec = fp_blob_copy(std::string(spec_bytes, 'x').data(), spec_bytes);
        submit.occurrences = occurrences;
    }
    ~Job() { fp_record_free(&FLEET_SUBMIT_SCHEMA, &submit); }
    uint64_t bytes(bool is_live = true) const { return room_job_bytes(&submit, is_live); }
};

TEST(Room, ABoundFollowsFromTheSmallestMemory)
{
    room_limits none, small, large;
    room_set_limits(0, &none);
    room_set_limits(64, &small);
    room_set_limits(256, &large);
    const room_use full = {1ull << 40, 1ull << 40, 1};
    EXPECT_TRUE(room_takes_job(&none, &full, 1));
    EXPECT_TRUE(room_takes_target(&none, 1u << 30));
    // The state, the log in memory and a snapshot, each as much again.
    EXPECT_LE(3 * small.job_bytes, (64ull << 20) / 8 * 3);
    EXPECT_EQ(large.job_bytes, 4 * small.job_bytes);
    EXPECT_GE(large.targets, 3000u); // the largest fleet of the platform
    EXPECT_TRUE(room_takes_target(&small, small.targets - 1));
    EXPECT_FALSE(room_takes_target(&small, small.targets));
}

TEST(Room, AJobIsTakenUpToTheBound)
{
    room_limits limits = {1000, 0};
    room_use use = {900, 0, 1};
    EXPECT_TRUE(room_takes_job(&limits, &use, 100));
    EXPECT_FALSE(room_takes_job(&limits, &use, 101));
    use = {0, 0, 2};
    EXPECT_TRUE(room_takes_job(&limits, &use, 5000)); // however small the host
}

TEST(Room, OneTeamLeavesHalfToTheOthers)
{
    room_limits limits = {1000, 0};
    room_use flooding = {500, 500, 2};
    room_use other = {500, 0, 2};
    EXPECT_FALSE(room_takes_job(&limits, &flooding, 1));
    EXPECT_TRUE(room_takes_job(&limits, &other, 1));
    room_use only = {500, 500, 1};
    EXPECT_TRUE(room_takes_job(&limits, &only, 1));
}

TEST(Room, TheSizeOfAJobCoversWhatTheLeaderKeeps)
{
    EXPECT_GE(Job(1, 4000).bytes(),
              4000 + sizeof(fleet_job) + sizeof(plan_job) + sizeof(fleet_step) +
                  sizeof(plan_step) + sizeof(fleet_task) + sizeof(plan_task));
    uint64_t more = Job(1001).bytes() -
                    Job(1).bytes();
    EXPECT_GE(more, 1000 * (sizeof(fleet_task) + sizeof(plan_task)));
    EXPECT_GT(Job(10, 0, 100).bytes(),
              99 * 10 * (sizeof(fleet_task) + sizeof(plan_task)));
    EXPECT_LT(Job(1000, 4000).bytes(false), 2000u);
}

TEST(Room, ARefusedCallerComesBackWhenAJobIsForgotten)
{
    EXPECT_EQ(room_retry_after_ms(0, 120000, 500000), 15000u);
    EXPECT_EQ(room_retry_after_ms(390000, 120000, 500000), 10000u);
    EXPECT_EQ(room_retry_after_ms(499000, 120000, 500000), 15000u);
    EXPECT_EQ(room_retry_after_ms(100, 120000, 500000), 1000u);
}

uint64_t sum_of_jobs(const FleetSim &sim)
{
    uint64_t sum = 0;
    GHashTableIter iter;
    gpointer job;
    g_hash_table_iter_init(&iter, sim.fleet_state->jobs);
    while (g_hash_table_iter_next(&iter, nullptr, &job)) {
        sum += room_job_bytes(&((fleet_job *)job)->submit,
                              fleet_job_is_live((fleet_job *)job));
    }
    return sum;
}

TEST(Room, TheStateCountsItsJobsFromTheirStartToTheirRemoval)
{
    FleetSim sim;
    sim.configure({"q"});
    EXPECT_EQ(sim.fleet_state->job_bytes, 0u);
    sim.submit(1, {{}});
    sim.submit(2, {{}});
    const uint64_t two_live = sim.fleet_state->job_bytes;
    EXPECT_EQ(two_live, sum_of_jobs(sim));
    sim.cancel_job(1);
    EXPECT_LT(sim.fleet_state->job_bytes, two_live);
    EXPECT_EQ(sim.fleet_state->job_bytes, sum_of_jobs(sim));
    const uint64_t before = sim.fleet_state->job_bytes;
    sim.restart_from_snapshot();
    EXPECT_EQ(sim.fleet_state->job_bytes, before);
    sim.cancel_job(2);
    sim.now_ms += sim.fleet_state->retention_ms + 1;
    sim.submit(3, {{}});
    EXPECT_EQ(sim.find_job(1), nullptr);
    EXPECT_EQ(sim.fleet_state->job_bytes, sum_of_jobs(sim));
}

} // namespace
