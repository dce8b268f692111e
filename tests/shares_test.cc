// Shares of teams: the token bucket, the decision of the leader in the
// replicated state, and the order of work within and beyond a share.

#include "tests/plan_world.h"

extern "C" {
#include "bench/replay.h"
}

using namespace plan_sim;

namespace {

// Jobs that a new team may have at once, and a sum over later takes.
uint32_t take_all(share *of, uint32_t weight, uint32_t window_ms, uint64_t now_ms,
                  uint32_t limit = 1000)
{
    uint32_t count = 0;
    while (count < limit && share_take(of, weight, window_ms, now_ms)) {
        count++;
    }
    return count;
}

TEST(Share, ATeamSavesUpItsRateOverAWindow)
{
    share of = {};
    EXPECT_EQ(take_all(&of, 2, 5000, 100000), 10u);
    EXPECT_FALSE(share_has_room(&of, 2, 5000, 100499));
    EXPECT_TRUE(share_has_room(&of, 2, 5000, 100500));
    EXPECT_EQ(take_all(&of, 2, 5000, 103000), 6u);
    EXPECT_EQ(take_all(&of, 2, 5000, 1000000), 10u) << "no more than a window";
}

TEST(Share, JobsBeyondItUseNothingUp)
{
    share of = {};
    take_all(&of, 1, 2000, 100000);
    for (uint64_t ms = 100000; ms < 101000; ms++) {
        EXPECT_FALSE(share_take(&of, 1, 2000, ms)) << ms;
    }
    EXPECT_TRUE(share_take(&of, 1, 2000, 101000));
}

TEST(Share, AClockThatJumpsGivesAWindowAtMost)
{
    share of = {};
    EXPECT_EQ(take_all(&of, 2, 5000, 100000), 10u);
    EXPECT_EQ(take_all(&of, 2, 5000, 3700000), 10u) << "an hour ahead";
    EXPECT_EQ(take_all(&of, 2, 5000, 101000), 0u) << "and back";
    EXPECT_EQ(take_all(&of, 2, 5000, 102000), 2u) << "it goes on from there";
}

TEST(Share, NoNumberOverflows)
{
    share of = {UINT64_MAX, 1};
    EXPECT_TRUE(share_take(&of, UINT32_MAX, UINT32_MAX, UINT64_MAX));
    EXPECT_TRUE(share_take(&of, UINT32_MAX, UINT32_MAX, 1));
    EXPECT_TRUE(share_take(&of, 1, 5000, UINT64_MAX));
    EXPECT_LE(of.tokens_micro, 5000000u);
    share slow = {};
    EXPECT_EQ(take_all(&slow, 1, 1, 1000), 1u) << "one job at least";
    EXPECT_EQ(take_all(&slow, 1, 1, 2000), 1u);
    share none = {};
    EXPECT_EQ(take_all(&none, 0, 5000, 1000, 50), 50u) << "no rate is set";
}

struct Shares : FleetSim {
    Shares(const std::vector<std::pair<std::string, uint32_t>> &teams = {
               {"team", 1}, {"greedy", 2}})
        : teams(teams)
    {
        fleet_state->share_window_ms = 5000;
        configure({"q", "low"}, false, 0, teams);
    }
    std::vector<std::pair<std::string, uint32_t>> teams;
    uint64_t last_id = 0;

    // Submits jobs of one task; returns how many are within the share.
    uint32_t burst(uint32_t count, const std::string &team = "greedy")
    {
        uint32_t within = 0;
        for (uint32_t i = 0; i < count; i++) {
            submit(++last_id, {{.count = 1}}, "q", team);
            within += !find_job(last_id)->beyond_share;
        }
        return within;
    }
    // A follower that takes over from a snapshot of this state.
    void copy_to(Shares &other)
    {
        fp_blob snapshot = {nullptr, 0};
        fleet_save(fleet_state, &snapshot);
        EXPECT_EQ(fleet_load(other.fleet_state, &snapshot), FP_OK);
        fp_blob_free(&snapshot);
        other.now_ms = now_ms;
        other.last_id = last_id;
    }
    std::vector<uint64_t> started()
    {
        std::vector<uint64_t> ids;
        for (const auto &order : start_orders) {
            ids.push_back(order.task.job_id);
        }
        return ids;
    }
};

TEST(Shares, OnlyJobsWithinTheRateAreWithinTheShare)
{
    Shares sim;
    EXPECT_EQ(sim.burst(30), 10u);
    EXPECT_EQ(sim.burst(3, "team"), 3u) << "each team has its own";
    sim.now_ms += 1000;
    EXPECT_EQ(sim.burst(8), 2u);
    sim.submit(900, {{.count = 1}}, "q", "");
    EXPECT_FALSE(sim.find_job(900)->beyond_share) << "without a key";
}

TEST(Shares, NothingIsBeyondAShareUnlessTheSettingsAskForIt)
{
    Shares sim;
    sim.fleet_state->share_window_ms = 0;
    EXPECT_EQ(sim.burst(100), 100u);
    EXPECT_EQ(sim.find_team("greedy")->share.updated_ms, 0u);
}

TEST(Shares, RetriedRefusedAndCancelledJobsUseNothingTwice)
{
    Shares sim;
    sim.submit(1, {{.count = 1}}, "q", "team");
    for (int i = 0; i < 10; i++) {
        sim.submit(1, {{.count = 1}}, "q", "team");
        EXPECT_EQ(sim.submit(2, {}, "q", "team").err, FP_ERR_BAD_REQUEST);
    }
    sim.cancel_job(1);
    sim.cancel_job(1);
    sim.last_id = 10;
    EXPECT_EQ(sim.burst(10, "team"), 4u);
}

// The leader proposes several jobs before the first of them is applied.
TEST(Shares, JobsThatAreProposedCount)
{
    Shares sim;
    fleet_team *team = sim.find_team("greedy");
    for (team->offered_jobs = 0; team->offered_jobs < 10;
         team->offered_jobs++) {
        EXPECT_FALSE(fleet_is_beyond_share(sim.fleet_state, team, sim.now_ms));
    }
    EXPECT_TRUE(fleet_is_beyond_share(sim.fleet_state, team, sim.now_ms));
    sim.become_leader();
    EXPECT_EQ(team->offered_jobs, 0u) << "those of an earlier term";
}

TEST(Shares, AWeightThatChangesInTheMiddle)
{
    Shares sim;
    EXPECT_EQ(sim.burst(4), 4u);
    sim.configure({"q"}, false, 0, {{"team", 1}, {"greedy", 1}});
    EXPECT_EQ(sim.burst(20), 5u) << "what is saved up fits the new window";
    sim.configure({"q"}, false, 0, {{"team", 1}, {"greedy", 8}});
    EXPECT_EQ(sim.burst(20), 0u) << "a higher rate saves nothing up before";
    sim.now_ms += 1000;
    EXPECT_EQ(sim.burst(20), 8u);
}

TEST(Shares, ATeamThatIsNewHasAWholeWindowAndKeysDoNotCount)
{
    Shares sim;
    sim.burst(20);
    sim.configure({"q"}, false, 0, {{"greedy", 2}, {"new", 3}});
    EXPECT_EQ(sim.burst(20, "new"), 15u);
    EXPECT_EQ(sim.burst(20), 0u) << "under its new key";
    sim.configure({"q"}, false, 0, {{"new", 3}});
    sim.configure({"q"}, false, 0, {{"new", 3}, {"greedy", 2}});
    EXPECT_EQ(sim.burst(20), 0u) << "dropped and added again";
}

TEST(Shares, ASnapshotKeepsThem)
{
    Shares sim;
    Shares other;
    EXPECT_EQ(sim.burst(14), 10u);
    sim.burst(2, "team");
    sim.copy_to(other);
    EXPECT_FALSE(other.find_job(10)->beyond_share);
    EXPECT_TRUE(other.find_job(11)->beyond_share);
    EXPECT_EQ(other.find_job(11)->accepted_ms, sim.now_ms);
    EXPECT_EQ(other.fleet_state->share_window_ms, 5000u);
    sim.now_ms += 2000;
    other.now_ms += 2000;
    EXPECT_EQ(sim.burst(9), 4u);
    EXPECT_EQ(other.burst(9), 4u);
    EXPECT_EQ(sim.burst(9, "team"), other.burst(9, "team"));
}

// Two versions side by side: a snapshot by a version without shares loads, and
// one with shares is read by that version.
TEST(Shares, SnapshotsOfOtherVersionsLoad)
{
    Shares sim;
    Shares other;
    sim.burst(14);
    fp_schema earlier = FLEET_SNAPSHOT_SCHEMA;
    earlier.field_count = 2;
    fp_blob blob = {nullptr, 0};
    fleet_snapshot snapshot = {};
    fleet_save(sim.fleet_state, &blob);
    ASSERT_EQ(fp_decode(&earlier, blob.data, blob.size_bytes, &snapshot),
              FP_OK);
    fp_blob_free(&blob);
    EXPECT_EQ(snapshot.items.count, 1u + 14u) << "no item of an unknown type";
    fp_encode(&earlier, &snapshot, &blob);
    fp_record_free(&earlier, &snapshot);
    ASSERT_EQ(fleet_load(other.fleet_state, &blob), FP_OK);
    fp_blob_free(&blob);
    other.now_ms = sim.now_ms;
    other.last_id = 14;
    EXPECT_TRUE(other.find_job(14)->beyond_share);
    EXPECT_EQ(other.burst(20), 10u) << "a new bucket";
}

// A log with jobs that a version without shares proposed.
TEST(Shares, EarlierEntriesAreAppliedAsBefore)
{
    Shares sim;
    fp_schema earlier = FLEET_SUBMIT_SCHEMA;
    earlier.field_count -= 2;
    for (uint64_t id = 1; id <= 20; id++) {
        fleet_submit job = {};
        job.id = id;
        g_strlcpy(job.host, "h", FLEET_NAME_BYTES);
        g_strlcpy(job.prefix, "/q/", FLEET_PATH_BYTES);
        g_strlcpy(job.team, "greedy", FLEET_NAME_BYTES);
        ((fleet_step *)fp_list_add(&job.steps, sizeof(fleet_step)))->count = 1;
        job.beyond_share = true;
        job.share_window_ms = 5000;
        EXPECT_EQ(sim.apply_change(&earlier, &job).err, FP_OK);
        fp_record_free(&FLEET_SUBMIT_SCHEMA, &job);
        EXPECT_FALSE(sim.find_job(id)->beyond_share);
    }
    EXPECT_EQ(sim.find_team("greedy")->share.updated_ms, 0u);
}

// The change carries the decision: a follower with other settings agrees.
TEST(Shares, AReplicaWithOtherSettingsAgrees)
{
    Shares sim;
    Shares other;
    other.fleet_state->share_window_ms = 0;
    for (uint64_t id = 1; id <= 20; id++) {
        fleet_submit job = {};
        job.id = id;
        g_strlcpy(job.host, "h", FLEET_NAME_BYTES);
        g_strlcpy(job.prefix, "/q/", FLEET_PATH_BYTES);
        g_strlcpy(job.team, "greedy", FLEET_NAME_BYTES);
        ((fleet_step *)fp_list_add(&job.steps, sizeof(fleet_step)))->count = 1;
        fleet_decide_share(sim.fleet_state, &job, sim.find_team("greedy"),
                           sim.now_ms);
        sim.apply_change(&FLEET_SUBMIT_SCHEMA, &job);
        other.apply_change(&FLEET_SUBMIT_SCHEMA, &job);
        fp_record_free(&FLEET_SUBMIT_SCHEMA, &job);
        EXPECT_EQ(other.find_job(id)->beyond_share, id > 10) << id;
    }
    EXPECT_EQ(sim.find_team("greedy")->share.tokens_micro,
              other.find_team("greedy")->share.tokens_micro);
}

// Each target has room for one task.
void add_small_targets(FleetSim &sim, int count)
{
    for (int i = 0; i < count; i++) {
        sim.put_target("t" + std::to_string(i), 1000);
    }
}

TEST(ShareOrder, WorkWithinAShareGoesFirst)
{
    Shares sim;
    add_small_targets(sim, 3);
    sim.become_leader(1024, &PLAN_POLICY_CONTENDED);
    sim.burst(14); // 11 to 14 are beyond the share
    for (uint64_t id = 1; id <= 10; id++) {
        sim.cancel_job(id);
    }
    sim.submit(100, {{.count = 1}}, "q", "team");
    sim.submit(101, {{.count = 1, .estimate_ms = 100}}, "low", "team");
    sim.run_pass();
    EXPECT_EQ(sim.started(), (std::vector<uint64_t>{100, 101, 11}))
        << "room that is left is lent";
    EXPECT_EQ(sim.find_team("greedy")->jobs_beyond_share, 4u);
    EXPECT_EQ(sim.find_job(11)->queue->jobs_beyond_share, 4u);
}

TEST(ShareOrder, LateWorkWithinAShareGoesBeforeWorkBeyondIt)
{
    Shares sim;
    add_small_targets(sim, 1);
    sim.become_leader(1024, &PLAN_POLICY_CONTENDED);
    sim.submit(100, {{.count = 1}}, "low", "team");
    sim.now_ms += 4000;
    sim.burst(11);
    for (uint64_t id = 1; id <= 10; id++) {
        sim.cancel_job(id);
    }
    sim.run_pass();
    EXPECT_EQ(sim.started(), (std::vector<uint64_t>{100}));
}

TEST(ShareOrder, LongRunningServicesGoFirstAlsoBeyondAShare)
{
    Shares sim;
    add_small_targets(sim, 1);
    sim.become_leader(1024, &PLAN_POLICY_CONTENDED);
    sim.burst(10);
    sim.submit(100, {{.count = 1, .lasting = true}}, "low", "greedy");
    ASSERT_TRUE(sim.find_job(100)->beyond_share);
    sim.run_pass();
    EXPECT_EQ(sim.started(), (std::vector<uint64_t>{100}));
}

// Tickets of later steps are asked for while the earlier ones run.
TEST(ShareOrder, ThePolicyIsAskedAheadForWorkWithinSharesFirst)
{
    Shares sim;
    sim.configure({"q"}, true, 0, sim.teams);
    sim.put_target("t0", 8000);
    sim.become_leader(1024, &PLAN_POLICY_CONTENDED);
    sim.burst(10);
    for (uint64_t id = 1; id <= 10; id++) {
        sim.cancel_job(id);
    }
    for (uint64_t id : {100, 101}) { // the one beyond its share starts first
        sim.policy_client_free = true;
        sim.submit(id, {{.count = 1}, {.count = 1, .after = {0}}}, "q",
                   id == 100 ? "greedy" : "team");
        sim.queries.clear();
        sim.run_pass();
        auto queries = sim.queries;
        for (const auto &query : queries) { // one asked ahead is to be repeated
            sim.answer_query(query, {"t0"},
                             query.step.step == 0 ? FP_OK
                                                  : FP_ERR_UNKNOWN_OUTCOME);
        }
        sim.policy_client_free = false;
        sim.run_pass();
        sim.confirm_starts();
    }
    ASSERT_EQ(sim.start_orders.size(), 2u);
    ASSERT_TRUE(sim.find_job(100)->beyond_share);
    sim.queries.clear();
    sim.policy_client_free = true;
    sim.run_pass(2000);
    std::vector<uint64_t> asked;
    for (const auto &query : sim.queries) {
        asked.push_back(query.step.job_id);
    }
    EXPECT_EQ(asked, (std::vector<uint64_t>{101, 100}));
}

// The leader fails in the middle of a burst; the next one starts from a
// snapshot and the rest of the log.
TEST(ShareOrder, ANewLeaderIsAsFairAsTheOldOne)
{
    Shares sim;
    Shares next;
    add_small_targets(sim, 2);
    sim.burst(14);
    sim.copy_to(next);
    EXPECT_EQ(next.burst(5), 0u) << "the burst goes on";
    next.submit(100, {{.count = 1}}, "q", "team");
    for (uint64_t id = 1; id <= 10; id++) {
        next.cancel_job(id);
    }
    next.become_leader(2048, &PLAN_POLICY_CONTENDED);
    next.run_pass();
    ASSERT_EQ(next.started().size(), 2u);
    EXPECT_EQ(next.started()[0], 100u);
    EXPECT_GT(next.started()[1], 10u) << "any one beyond the share";
}

// objective_ms of the job: 1000 + 2 * 1000.
TEST(ShareOrder, InheritedJobsKeepTheirAge)
{
    Shares sim;
    add_small_targets(sim, 1);
    sim.submit(1, {{.count = 1}}, "q", "team");
    sim.now_ms += 2500;
    sim.submit(2, {{.count = 1}}, "q", "team");
    sim.become_leader(1024, &PLAN_POLICY_CONTENDED);
    auto *late = (plan_job *)sim.find_job(1)->plan;
    auto *in_time = (plan_job *)sim.find_job(2)->plan;
    EXPECT_EQ(late->accepted_ms, sim.now_ms - 2500);
    EXPECT_EQ(in_time->accepted_ms, sim.now_ms);
    sim.run_pass();
    EXPECT_EQ(late->steps[0].sort_key[0], (uint64_t)CLASS_LATE);
    EXPECT_EQ(in_time->steps[0].sort_key[0], (uint64_t)CLASS_IN_TIME);
}

TEST(ShareOrder, AWallClockThatJumpedAgesInheritedJobsLittle)
{
    for (int64_t jump_ms : {-3600000, -20, 0, 20, 3600000}) {
        Shares sim;
        sim.now_ms = 10000000;
        sim.submit(1, {{.count = 1}}, "q", "team");
        sim.now_ms += 2500;
        sim.submit(2, {{.count = 1}}, "q", "team");
        sim.become_leader(1024, &PLAN_POLICY_CONTENDED,
                          (uint64_t)((int64_t)sim.now_ms + jump_ms));
        uint64_t age_ms =
            sim.now_ms - ((plan_job *)sim.find_job(1)->plan)->accepted_ms;
        EXPECT_LE(age_ms, 2500u + 10000u) << jump_ms;
        if (jump_ms >= -20 && jump_ms <= 20) {
            EXPECT_NEAR((double)age_ms, 2500, 20) << jump_ms;
        }
    }
}

// Gangs of two members of a whole target each, on targets in use.
TEST(ShareOrder, AReservationBeyondTheShareGivesWay)
{
    Shares sim;
    sim.put_target("t1", 8000, 8);
    sim.put_target("t2", 8000, 8);
    sim.become_leader(1024, &PLAN_POLICY_CONTENDED);
    sim.submit(1, {{.count = 2, .accel = 5, .estimate_ms = 4000}}, "q",
               "team");
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 2u);
    sim.confirm_starts();
    sim.last_id = 1;
    sim.burst(10);
    for (uint64_t id = 2; id <= 11; id++) {
        sim.cancel_job(id);
    }
    sim.submit(50, {{.count = 2, .accel = 8, .estimate_ms = 8000, .gang = true}},
               "q", "greedy");
    ASSERT_TRUE(sim.find_job(50)->beyond_share);
    sim.run_pass(2000);
    auto *beyond = (plan_job *)sim.find_job(50)->plan;
    ASSERT_EQ(beyond->steps[0].reserved_targets, 2u);
    sim.start_orders.clear();
    sim.submit(51, {{.count = 1, .accel = 3, .estimate_ms = 9000}}, "q",
               "team");
    sim.run_pass();
    EXPECT_EQ(sim.started(), (std::vector<uint64_t>{51}))
        << "it would end after the start of the reservation";
    sim.submit(52, {{.count = 2, .accel = 8, .estimate_ms = 8000, .gang = true}},
               "q", "team");
    sim.run_pass(1500);
    EXPECT_EQ(((plan_job *)sim.find_job(52)->plan)->steps[0].reserved_targets,
              2u);
    EXPECT_EQ(beyond->steps[0].reserved_targets, 0u);
}

// A service that work within shares fills without end.
TEST(ShareOrder, EvenWorkBeyondAShareEnds)
{
    Shares sim({{"team", 100}, {"greedy", 1}});
    add_small_targets(sim, 1);
    sim.become_leader(1024, &PLAN_POLICY_CONTENDED);
    // The first of them can never be placed.
    sim.submit(90, {{.count = 1, .cpu_milli = 2000}}, "q", "greedy");
    sim.now_ms += 10;
    sim.burst(7, "greedy");
    for (uint64_t id = 1; id <= 5; id++) {
        sim.cancel_job(id);
    }
    uint64_t ends_6 = 0, ends_7 = 0;
    uint64_t begin_ms = sim.now_ms;
    for (uint64_t id = 1000; id < 1120; id++) {
        sim.submit(id, {{.count = 1}}, "q", "team");
        sim.run_pass(1000);
        if (!sim.start_orders.empty()) {
            sim.confirm_starts();
            RunOrder order = sim.start_orders[0];
            sim.start_orders.clear();
            sim.end_run(order, RUN_DONE);
            (order.task.job_id == 6 ? ends_6 : order.task.job_id == 7 ? ends_7 : begin_ms) =
                order.task.job_id <= 7 ? sim.now_ms : begin_ms;
        }
    }
    EXPECT_NE(ends_6, 0u);
    EXPECT_NE(ends_7, 0u);
    EXPECT_LE(ends_7 - begin_ms, 60000u) << "30 s after its last use, in turn";
}

// What teams earned with their jobs within their shares, over some seeds.
struct ShareReplay : testing::TestWithParam<const char *> {
    struct Sums {
        std::map<uint32_t, double> earned, owed; // by team
        double fairness = 0;
        uint32_t breaches = 0;
        std::string first_breach;
        double part()
        {
            double e = 0, o = 0;
            for (auto &[team, sum] : owed) {
                e += earned[team];
                o += sum;
            }
            return e / o;
        }
        double worst_part()
        {
            double worst = 1;
            for (auto &[team, sum] : owed) {
                worst = std::min(worst, earned[team] / sum);
            }
            return worst;
        }
    };
    replay_load *load = nullptr;
    plan_policy with_shares = PLAN_POLICY_DEFAULT;

    void SetUp() override
    {
        char why[256] = "";
        ASSERT_EQ(replay_read_load(GetParam(), &load, why, sizeof(why)), FP_OK)
            << why;
        with_shares.by_share = true;
        with_shares.keeps_accepted = true;
    }
    void TearDown() override { replay_load_free(load); }
    Sums replay(const plan_policy *policy, uint32_t seeds = 4)
    {
        Sums sums;
        for (uint32_t seed = 1; seed <= seeds; seed++) {
            sim_result *result = sim_replay(load, policy, seed);
            const sim_breaches &breaches = result->breaches;
            for (guint i = 0; i < result->jobs->len; i++) {
                auto *job = (const sim_job *)result->jobs->pdata[i];
                if (!job->beyond_share) {
                    sums.owed[job->team] += job->queue->worth_milli;
                    sums.earned[job->team] += job->queue->worth_milli *
                                              replay_earned_permille(job) /
                                              1000.0;
                }
            }
            sums.fairness += replay_fairness(load, result) / seeds;
            sums.breaches += breaches.over_size + breaches.doubled +
                             breaches.over_cap + breaches.stuck;
            sums.first_breach += breaches.first;
            sim_result_free(result);
        }
        return sums;
    }
};

// The target of the worst team, against the mean, is that of issue 29.
TEST_P(ShareReplay, TeamsWithinTheirSharesAreServedWhileOthersSendMore)
{
    Sums before = replay(&PLAN_POLICY_DEFAULT);
    Sums after = replay(&with_shares);
    EXPECT_GT(after.part(), before.part());
    EXPECT_GE(after.fairness, before.fairness);
    EXPECT_GE(after.worst_part(), 0.8 * after.part());
    EXPECT_EQ(after.breaches, 0u) << after.first_breach;
}

INSTANTIATE_TEST_SUITE_P(Loads, ShareReplay,
                         testing::Values("bench/loads/greedy-team.yaml",
                                         "bench/loads/many-small-teams.yaml"));

} // namespace
