// Tests the replicated state of a fleet (configuration versions, jobs,
// targets, snapshots), histograms, the acknowledgement of ends to targets and
// changes of the cell's members.

#include "tests/plan_world.h"

extern "C" {
#include "base/histogram.h"
#include "core/ends.h"
#include "core/fence.h"
#include "core/members.h"
}

using namespace plan_sim;

namespace {

TEST(Fleet, TheHighestVersionIsCurrentAndOlderOnesChangeNothing)
{
    FleetSim sim;
    sim.config_version = 6;
    sim.configure({"q"});
    sim.config_version = 2;
    sim.configure({"other"});
    EXPECT_EQ(sim.fleet_state->config.version, 7u);
    EXPECT_NE(fleet_find_queue(sim.fleet_state, "h", "/q/1"), nullptr);
    EXPECT_EQ(fleet_find_queue(sim.fleet_state, "h", "/other/1"), nullptr);
}

TEST(Fleet, ADroppedQueueKeepsItsJobsAndAcceptsNoNewOnes)
{
    FleetSim sim;
    sim.configure({"q", "p"});
    sim.submit(1, {{}});
    sim.configure({"p"});
    EXPECT_EQ(fleet_find_queue(sim.fleet_state, "h", "/q/1"), nullptr);
    ASSERT_NE(sim.find_job(1), nullptr);
    EXPECT_STREQ(sim.find_job(1)->queue->conf.service, "svc");
}

// Guards against LOST after a restart of all hosts: work of a removed queue had
// neither a service nor attempts any more.
TEST(Fleet, ADroppedQueueWithLiveJobsKeepsItsSettingsInSnapshots)
{
    FleetSim sim;
    sim.configure({"p", "q"}, true);
    sim.submit(1, {{}});
    const fleet_queue_conf conf = sim.find_job(1)->queue->conf;
    sim.configure({"p"}, true);
    for (int i = 0; i < 2; i++) {
        sim.restart_from_snapshot();
        const fleet_queue *queue = sim.find_job(1)->queue;
        EXPECT_STREQ(queue->conf.name, "q");
        EXPECT_STREQ(queue->conf.service, "svc");
        EXPECT_EQ(queue->conf.priority, 1u);
        EXPECT_EQ(queue->conf.objective_ms, conf.objective_ms);
        EXPECT_EQ(queue->conf.stretch_permille, conf.stretch_permille);
        EXPECT_EQ(queue->conf.max_attempts, 3u);
        EXPECT_EQ(queue->conf.open, conf.open);
        EXPECT_TRUE(queue->conf.advised);
        EXPECT_EQ(queue->conf.advice_us, conf.advice_us);
        EXPECT_EQ(queue->conf.advice_each_us, conf.advice_each_us);
        EXPECT_EQ(queue->conf.ticket_ms, 2000u);
        EXPECT_FALSE(queue->configured);
        EXPECT_EQ(fleet_find_queue(sim.fleet_state, "h", "/q/1"), nullptr);
    }
    sim.configure({"p", "q"}, true);
    EXPECT_TRUE(sim.find_job(1)->queue->configured);
    EXPECT_EQ(sim.fleet_state->queues->len, 2u);
}

// Decodes a snapshot of the state.
void take_snapshot(const FleetSim &sim, fleet_snapshot &snap)
{
    fp_blob saved = {nullptr, 0};
    fleet_save(sim.fleet_state, &saved);
    memset(&snap, 0, sizeof(snap));
    EXPECT_EQ(fp_decode(&FLEET_SNAPSHOT_SCHEMA, saved.data, saved.size_bytes,
                        &snap),
              FP_OK);
    fp_blob_free(&saved);
}

TEST(Fleet, SnapshotsHoldDroppedQueuesOnlyWhileTheyHaveLiveJobs)
{
    FleetSim sim;
    fleet_snapshot snap;
    sim.configure({"p", "q", "idle"});
    sim.submit(1, {{}});
    sim.submit(2, {{}}, "p");
    sim.configure({"p"});
    take_snapshot(sim, snap);
    EXPECT_EQ(snap.removed_queues.count, 1u);
    fp_record_free(&FLEET_SNAPSHOT_SCHEMA, &snap);
    sim.cancel_job(1);
    take_snapshot(sim, snap);
    EXPECT_EQ(snap.removed_queues.count, 0u);
    fp_record_free(&FLEET_SNAPSHOT_SCHEMA, &snap);
}

TEST(Fleet, ASnapshotByAVersionWithoutDroppedQueuesLoads)
{
    FleetSim sim;
    sim.configure({"p", "q"});
    sim.submit(1, {{}});
    sim.configure({"p"});
    fleet_snapshot snap;
    take_snapshot(sim, snap);
    fp_schema earlier = FLEET_SNAPSHOT_SCHEMA;
    earlier.field_count--;
    fp_blob saved = {nullptr, 0};
    fp_encode(&earlier, &snap, &saved);
    fp_record_free(&FLEET_SNAPSHOT_SCHEMA, &snap);
    EXPECT_EQ(fleet_load(sim.fleet_state, &saved), FP_OK);
    fp_blob_free(&saved);
    ASSERT_NE(sim.find_job(1), nullptr);
    EXPECT_TRUE(fleet_job_is_live(sim.find_job(1)));
    EXPECT_EQ(sim.fleet_state->queues->len, 2u);
}

TEST(Fleet, TheQueueWithTheLongestPrefixIsFound)
{
    FleetSim sim;
    sim.configure({"q", "q/deep"});
    EXPECT_STREQ(
        fleet_find_queue(sim.fleet_state, "h", "/q/deep/1")->conf.name,
        "q/deep");
    EXPECT_STREQ(fleet_find_queue(sim.fleet_state, "h", "/q/1")->conf.name,
                 "q");
    EXPECT_EQ(fleet_find_queue(sim.fleet_state, "x", "/q/1"), nullptr);
}

TEST(Fleet, InvalidConfigurationsAreRefusedAsAWhole)
{
    char why[200];
    fleet_config config;
    memset(&config, 0, sizeof(config));
    auto *queue = (fleet_queue_conf *)fp_list_add(&config.queues,
                                                  sizeof(fleet_queue_conf));
    g_strlcpy(queue->service, "nobody", FLEET_NAME_BYTES);
    EXPECT_EQ(fleet_check_config(&config, why, sizeof(why)),
              FP_ERR_BAD_REQUEST);
    auto *service = (fleet_service_conf *)fp_list_add(
        &config.services, sizeof(fleet_service_conf));
    g_strlcpy(service->name, "nobody", FLEET_NAME_BYTES);
    EXPECT_EQ(fleet_check_config(&config, why, sizeof(why)), FP_OK);
    fp_list_add(&config.queues, sizeof(fleet_queue_conf));
    auto *queues = (fleet_queue_conf *)config.queues.items;
    queues[1] = queues[0];
    EXPECT_EQ(fleet_check_config(&config, why, sizeof(why)),
              FP_ERR_BAD_REQUEST)
        << "two queues with the same host and prefix";
    queues[1].prefix[0] = '/';
    EXPECT_EQ(fleet_check_config(&config, why, sizeof(why)), FP_OK);
    for (const char *name : {"a", "b"}) {
        auto *team = (fleet_team_conf *)fp_list_add(&config.teams,
                                                    sizeof(fleet_team_conf));
        g_strlcpy(team->name, name, FLEET_NAME_BYTES);
        auto *key = (fleet_key_conf *)fp_list_add(&team->keys,
                                                  sizeof(fleet_key_conf));
        g_strlcpy(key->key, "same", FLEET_KEY_BYTES);
    }
    EXPECT_EQ(fleet_check_config(&config, why, sizeof(why)),
              FP_ERR_BAD_REQUEST)
        << "two teams with the same key";
    fp_record_free(&FLEET_CONFIG_SCHEMA, &config);
}

// The time allowed for a job does not become short because it is too long for
// its type.
TEST(Fleet, TimesThatAreTooLongStayLong)
{
    fleet_submit job = {};
    fleet_queue_conf queue = {};
    char reason[100];
    auto *step = (fleet_step *)fp_list_add(&job.steps, sizeof(fleet_step));
    step->count = 1;
    step->estimate_ms = UINT32_MAX;
    queue.stretch_permille = UINT32_MAX / 2;
    queue.objective_ms = UINT32_MAX;
    queue.advised = true;
    queue.advice_us = queue.advice_each_us = UINT32_MAX / 2;
    uint32_t path_ms = plan_critical_path_ms(&job, &queue);
    EXPECT_GE(path_ms, UINT32_MAX / 8);
    EXPECT_GE(plan_objective_ms(path_ms, &queue), path_ms);
    queue.stretch_permille = 8000; // eight times the path and these: 2^32 + 92
    queue.objective_ms = 100;
    EXPECT_GE(plan_objective_ms(UINT32_MAX / 8, &queue), UINT32_MAX / 8);
    EXPECT_EQ(fleet_check_submit(&job, reason, sizeof(reason)), FP_OK);
    job.first_due_ms = INT64_MAX;
    EXPECT_EQ(fleet_check_submit(&job, reason, sizeof(reason)),
              FP_ERR_BAD_REQUEST)
        << "an occurrence after it would be due at once";
    fp_record_free(&FLEET_SUBMIT_SCHEMA, &job);
}

TEST(Fleet, AResubmittedJobIsNotAddedAgain)
{
    FleetSim sim;
    sim.configure({"q"});
    EXPECT_TRUE(sim.submit(1, {{.count = 2}}).first);
    change_answer repeated = sim.submit(1, {{.count = 5}});
    EXPECT_EQ(repeated.err, FP_OK);
    EXPECT_FALSE(repeated.first);
    EXPECT_EQ(sim.find_job(1)->task_count, 2u);
}

TEST(Fleet, AFailedRunIsCountedOnceAndMaxAttemptsEndTheJob)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.submit(1, {{.count = 1}});
    fleet_run_end end = {{1, 0, 0, 0}, 1, RUN_FAILED, ""};
    sim.commit_end(end);
    sim.commit_end(end);
    EXPECT_EQ(sim.find_job(1)->tasks[0].failures.count, 1u);
    end.run = 2;
    sim.commit_end(end);
    EXPECT_TRUE(fleet_job_is_live(sim.find_job(1)));
    end.run = 3;
    sim.commit_end(end);
    EXPECT_EQ(sim.find_job(1)->state, JOB_FAILED);
}

// After a takeover the targets list the ends of a task's runs in any order, so
// that a later run's failure may be committed before an earlier one's. Found
// in a score: a task with three attempts ran four times.
TEST(Fleet, FailedRunsAreCountedInAnyOrder)
{
    FleetSim sim;
    FleetSim restored;
    fp_blob snapshot = {nullptr, 0};
    sim.configure({"q"});
    sim.submit(1, {{.count = 1}});
    sim.commit_end({{1, 0, 0, 0}, 2, RUN_FAILED, ""});
    sim.commit_end({{1, 0, 0, 0}, 1, RUN_FAILED, ""});
    sim.commit_end({{1, 0, 0, 0}, 2, RUN_FAILED, ""});
    EXPECT_EQ(sim.find_job(1)->tasks[0].failures.count, 2u);
    fleet_save(sim.fleet_state, &snapshot);
    ASSERT_EQ(fleet_load(restored.fleet_state, &snapshot), FP_OK);
    fp_blob_free(&snapshot);
    restored.commit_end({{1, 0, 0, 0}, 1, RUN_FAILED, ""});
    EXPECT_EQ(restored.find_job(1)->tasks[0].failures.count, 2u);
    restored.commit_end({{1, 0, 0, 0}, 3073, RUN_FAILED, ""});
    EXPECT_EQ(restored.find_job(1)->state, JOB_FAILED);
}

// Hundreds of configurations, each with other queues. Guards against memory that
// grows with each change for as long as the process lives.
TEST(Fleet, QueuesOfFormerConfigurationsAreForgotten)
{
    FleetSim sim;
    sim.configure({"first"});
    sim.put_target("t1");
    sim.become_leader(1024, &PLAN_POLICY_CONTENDED);
    sim.submit(1, {{.count = 1}}, "first");
    sim.submit(2, {{.count = 1, .cpu_milli = 90000}}, "first");
    sim.run_pass();
    sim.confirm_starts();
    sim.now_ms += 500;
    sim.end_run(sim.start_orders[0], RUN_DONE);
    EXPECT_GT(g_hash_table_size(sim.planner->queue_ratios), 0u);
    for (int i = 0; i < 400; i++) {
        sim.configure({"a" + std::to_string(i), "b" + std::to_string(i)});
        EXPECT_LE(sim.fleet_state->queues->len, 3u) << "the two, and first";
    }
    EXPECT_EQ(sim.fleet_state->queues->len, 3u) << "a live job refers to it";
    EXPECT_STREQ(sim.find_job(2)->queue->conf.service, "svc");
    plan_free(sim.planner);
    sim.planner = nullptr;
    sim.restart_from_snapshot();
    EXPECT_EQ(sim.fleet_state->queues->len, 3u);
    EXPECT_STREQ(sim.find_job(2)->queue->conf.service, "svc");
}

// The same of teams.
TEST(Fleet, TeamsOfFormerConfigurationsAreForgotten)
{
    FleetSim sim;
    for (int i = 0; i < 400; i++) {
        sim.configure({"q"}, false, 0,
                      {{"a" + std::to_string(i), 1},
                       {"b" + std::to_string(i), 1}});
    }
    EXPECT_LE(g_hash_table_size(sim.fleet_state->teams), 2u);
}

TEST(Fleet, AQueueIsForgottenWithItsLastJob)
{
    FleetSim sim;
    sim.configure({"first"});
    sim.put_target("t1");
    sim.become_leader();
    sim.submit(1, {{.count = 1}}, "first");
    sim.run_pass();
    sim.configure({"q"});
    sim.end_run(sim.start_orders[0], RUN_DONE);
    EXPECT_EQ(sim.fleet_state->queues->len, 2u) << "its state can be read";
    sim.now_ms += 200000; // beyond the retention of ended jobs
    sim.submit(2, {{.count = 1}}, "q");
    sim.run_pass();
    EXPECT_EQ(sim.find_job(1), nullptr);
    EXPECT_EQ(sim.fleet_state->queues->len, 1u);
}

TEST(Fleet, EndsOfUnknownTasksAreIgnored)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.submit(1, {{.count = 1}});
    sim.commit_end({{1, 0, 0, 5}, 1, RUN_DONE, ""});
    sim.commit_end({{1, 0, 3, 0}, 1, RUN_DONE, ""});
    sim.commit_end({{1, 7, 0, 0}, 1, RUN_DONE, ""});
    sim.commit_end({{2, 0, 0, 0}, 1, RUN_DONE, ""});
    EXPECT_TRUE(fleet_job_is_live(sim.find_job(1)));
}

TEST(Fleet, AnAddressBelongsToTheIncarnationStartedLast)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000, 0, "r1", false, 10);
    fleet_target_rec rec = sim.find_target("t1")->rec;
    g_strlcpy(rec.id, "t2", FLEET_NAME_BYTES);
    rec.born_ms = 20;
    EXPECT_EQ(sim.apply_change(&FLEET_TARGET_SCHEMA, &rec).err, FP_OK);
    ASSERT_NE(sim.find_target("t1"), nullptr) << "its runs may go on";
    EXPECT_TRUE(sim.find_target("t1")->rec.departed);
    EXPECT_FALSE(sim.find_target("t2")->rec.departed);
    g_strlcpy(rec.id, "t1", FLEET_NAME_BYTES);
    rec.born_ms = 10; // a delayed announcement
    EXPECT_EQ(sim.apply_change(&FLEET_TARGET_SCHEMA, &rec).err, FP_ERR_STALE);
    EXPECT_TRUE(sim.find_target("t1")->rec.departed);
    EXPECT_NE(sim.find_target("t2"), nullptr);
    sim.remove_target("t2"); // nothing answers for it there
    EXPECT_EQ(sim.apply_change(&FLEET_TARGET_SCHEMA, &rec).err, FP_OK);
    EXPECT_FALSE(sim.find_target("t1")->rec.departed) << "it is at work";
}

// Guards against one invalid entry that shuts out a target at work: with a start in
// the far future it takes over the ID or the address of that for good.
TEST(Fleet, AnAnnouncementFromTheFutureIsRefused)
{
    char reason[100];
    fleet_target_rec rec = {};
    const uint64_t now_ms = 1800000000000;
    const uint64_t day_ms = 24 * 3600 * 1000;
    auto check = [&](uint64_t born_ms, uint64_t sequence) {
        rec.born_ms = born_ms;
        rec.sequence = sequence;
        return fleet_check_target(&rec, now_ms, reason, sizeof(reason));
    };
    EXPECT_EQ(check(now_ms, 1), FP_OK);
    EXPECT_EQ(check(0, 0), FP_OK);
    EXPECT_EQ(check(now_ms + day_ms, 1), FP_OK) << "clocks differ";
    EXPECT_EQ(check(now_ms + day_ms + 1, 1), FP_ERR_BAD_REQUEST);
    EXPECT_EQ(check(INT64_MAX, 1), FP_ERR_BAD_REQUEST);
    EXPECT_EQ(check(now_ms, (1ull << 53) - 1), FP_OK);
    EXPECT_EQ(check(now_ms, 1ull << 53), FP_ERR_BAD_REQUEST);
}

TEST(Fleet, ALeavingTargetStaysLeavingUntilItRestarts)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 1000, 0, "r1", true);
    sim.put_target("t1", 1000, 0, "r1", false);
    EXPECT_TRUE(sim.find_target("t1")->rec.leaving);
    sim.put_target("t1", 1000, 0, "r1", false, 2);
    EXPECT_FALSE(sim.find_target("t1")->rec.leaving);
}

TEST(Fleet, ASnapshotRestoresTheWholeState)
{
    FleetSim sim;
    FleetSim restored;
    fp_blob snapshot = {nullptr, 0};
    sim.configure({"q"});
    sim.put_target("t1");
    sim.submit(1, {{.count = 3}, {.count = 1, .after = {0}}});
    sim.submit(2, {{.count = 1}});
    sim.submit(3, {{.count = 1}});
    sim.commit_end({{1, 0, 0, 1}, 1, RUN_DONE, ""});
    sim.commit_end({{1, 0, 0, 2}, 4, RUN_FAILED, "saved"});
    sim.commit_end({{2, 0, 0, 0}, 1, RUN_DONE, ""});
    fleet_save(sim.fleet_state, &snapshot);
    ASSERT_EQ(fleet_load(restored.fleet_state, &snapshot), FP_OK);
    EXPECT_EQ(restored.fleet_state->config.version, 1u);
    EXPECT_NE(restored.find_target("t1"), nullptr);
    EXPECT_EQ(restored.find_job(1)->tasks_left, 3u);
    EXPECT_TRUE(restored.find_job(1)->tasks[1].done);
    EXPECT_EQ(restored.find_job(1)->tasks[2].failures.count, 1u);
    restored.commit_end({{1, 0, 0, 2}, 4, RUN_FAILED, ""});
    EXPECT_EQ(restored.find_job(1)->tasks[2].failures.count, 1u)
        << "run 4 was counted before the snapshot";
    EXPECT_STREQ(restored.find_job(1)->tasks[2].checkpoint, "saved");
    EXPECT_EQ(restored.find_job(2)->state, JOB_COMPLETED);
    EXPECT_TRUE(fleet_job_is_live(restored.find_job(3)));
    snapshot.data[snapshot.size_bytes / 2] ^= 0xff;
    snapshot.size_bytes -= 3;
    EXPECT_NE(fleet_load(restored.fleet_state, &snapshot), FP_OK);
    EXPECT_EQ(restored.find_job(1)->tasks_left, 3u)
        << "loading a damaged snapshot leaves the state unchanged";
    fp_blob_free(&snapshot);
}

TEST(Fleet, EndedJobsAreRemovedAfterTheRetentionTime)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.submit(1, {{}});
    sim.commit_end({{1, 0, 0, 0}, 1, RUN_DONE, ""});
    sim.now_ms += 119000;
    sim.submit(2, {{}});
    EXPECT_NE(sim.find_job(1), nullptr);
    sim.now_ms += 3000;
    sim.submit(3, {{}});
    EXPECT_EQ(sim.find_job(1), nullptr);
}

TEST(Fleet, MalformedChangesAreRefused)
{
    FleetSim sim;
    change_answer answer;
    uint8_t bytes[64];
    memset(bytes, 0x91, sizeof(bytes));
    fleet_apply(sim.fleet_state, bytes, sizeof(bytes), &answer);
    EXPECT_EQ(answer.err, FP_ERR_CORRUPT);
    sim.configure({"q"});
    EXPECT_EQ(sim.submit(1, {{.count = 0}}).err, FP_ERR_BAD_REQUEST);
    EXPECT_EQ(sim.submit(1, {{.after = {0}}}).err, FP_ERR_BAD_REQUEST);
    EXPECT_EQ(sim.submit(1, {}).err, FP_ERR_BAD_REQUEST);
}

// ---- histograms ------------------------------------------------------------

TEST(Histogram, BucketsAreCumulativeAndNamesIncludeTheUnit)
{
    histogram times = {};
    histogram_add(&times, 0);
    histogram_add(&times, 5);
    histogram_add(&times, 6);
    histogram_add(&times, 90000);
    GString *out = g_string_new(nullptr);
    histogram_append_text(&times, "call_ms", "kind=\"submit\"", out);
    std::string text = out->str;
    g_string_free(out, TRUE);
    EXPECT_NE(text.find("call_ms_bucket{kind=\"submit\",le=\"1\"} 1\n"),
              std::string::npos);
    EXPECT_NE(text.find("{kind=\"submit\",le=\"5\"} 2\n"),
              std::string::npos);
    EXPECT_NE(text.find("{kind=\"submit\",le=\"+Inf\"} 4\n"),
              std::string::npos);
    EXPECT_NE(text.find("call_ms_sum{kind=\"submit\"} 90011\n"),
              std::string::npos);
    EXPECT_NE(text.find("call_ms_count{kind=\"submit\"} 4\n"),
              std::string::npos);
}

// ---- acknowledgement of ends -----------------------------------------------

TEST(Ends, AnAcknowledgementIsSentOnceAndOnlyToTheSameIncarnation)
{
    ends_ack marks = {};
    ends_call_answered(&marks, 0, 100);
    ends_call_answered(&marks, 0, 200);
    ends_mark_stored(&marks, 7);
    EXPECT_EQ(ends_number_to_ack(&marks), 7u);
    EXPECT_EQ(ends_number_to_ack(&marks), 7u) << "repeated until it is answered";
    ends_call_unanswered(&marks);
    EXPECT_EQ(ends_number_to_ack(&marks), 0u)
        << "the next answer may come from another incarnation, which numbers "
           "its ends anew";
    ends_call_answered(&marks, 0, 300);
    ends_call_answered(&marks, 0, 400);
    EXPECT_EQ(ends_number_to_ack(&marks), 7u)
        << "two answers in a row: still the same incarnation";
    ends_call_answered(&marks, 7, 500);
    EXPECT_EQ(ends_number_to_ack(&marks), 0u)
        << "answered once; a later restart may go unnoticed";
    ends_mark_stored(&marks, 5);
    EXPECT_EQ(ends_number_to_ack(&marks), 0u)
        << "lower than the number acknowledged before";
    ends_mark_stored(&marks, 9);
    EXPECT_EQ(ends_number_to_ack(&marks), 9u);
}

// An acknowledgement may only be sent over a connection that is older than the
// last answered call. The first call after a failure opens a new connection:
// an acknowledgement sent with it would close the connection again, and this
// would repeat forever.
TEST(Ends, NoAcknowledgementIsSentOverAConnectionThatMayBeNew)
{
    ends_ack marks = {};
    ends_mark_stored(&marks, 7);
    ends_call_answered(&marks, 0, 100);
    EXPECT_EQ(ends_number_to_ack(&marks), 0u)
        << "this call may have opened the connection";
    ends_call_answered(&marks, 0, 200);
    EXPECT_EQ(ends_number_to_ack(&marks), 7u);
}

// Guards against LOST: targets that end each connection with its response never got
// an acknowledgement, and after 500 ends on each nothing started any more.
TEST(Ends, ATargetThatClosesItsConnectionsIsAcknowledged)
{
    ends_ack marks = {};
    ends_mark_stored(&marks, 7);
    ends_call_answered(&marks, 0, 100);
    ends_call_answered(&marks, 0, 200);
    EXPECT_EQ(ends_number_for_any_connection(&marks, false), 0u)
        << "an old connection may be there";
    EXPECT_EQ(ends_number_to_ack(&marks), 7u);
    ends_lack_old_connection(&marks);
    EXPECT_TRUE(ends_await_call(&marks));
    EXPECT_EQ(ends_number_for_any_connection(&marks, false), 7u);
    ends_call_answered(&marks, 7, 300);
    EXPECT_FALSE(ends_await_call(&marks));
    EXPECT_EQ(ends_number_for_any_connection(&marks, false), 0u);
}

// The next incarnation, which nobody has called, has an end only of a start that has
// reached it: it must not forget that.
TEST(Ends, NoAcknowledgementMeetsAStartOnAnyConnection)
{
    ends_ack marks = {};
    ends_mark_stored(&marks, 7);
    ends_call_answered(&marks, 0, 100);
    ends_call_answered(&marks, 0, 200);
    ends_lack_old_connection(&marks);
    EXPECT_EQ(ends_number_for_any_connection(&marks, true), 0u)
        << "a start is on its way";
    ends_start_sent(&marks, 200);
    EXPECT_EQ(ends_number_for_any_connection(&marks, false), 0u)
        << "a start may have reached the next incarnation";
    ends_call_answered(&marks, 0, 250);
    EXPECT_EQ(ends_number_for_any_connection(&marks, false), 7u)
        << "that was not so: this one has answered since";
    ends_call_unanswered(&marks);
    EXPECT_EQ(ends_number_for_any_connection(&marks, false), 0u);
}

// ---- fences ----------------------------------------------------------------

// A start order to a former incarnation was carried out by the next one: both
// had the token of the leader's term.
TEST(Fence, TheNextIncarnationRefusesOrdersToTheOneBefore)
{
    EXPECT_LT(fence_token(7, 0), fence_token(7, 1));
    EXPECT_LT(fence_token(7, 1), fence_token(7, 2));
}

TEST(Fence, NoSessionReachesTheNextTerm)
{
    EXPECT_LT(fence_token(7, FENCE_SESSION_MAX), fence_token(8, 0));
    EXPECT_LT(fence_token(7, FENCE_SESSION_MAX + 1ull), fence_token(8, 0));
    EXPECT_LT(fence_token(7, UINT64_MAX), fence_token(8, 0));
}

TEST(Fence, ATokenIsExactInJson)
{
    EXPECT_LT(fence_token((1u << 27) - 1, FENCE_SESSION_MAX), 1ull << 53);
}

// ---- members ---------------------------------------------------------------

TEST(Members, AHostThatLostItsDataJoinsWithANewReplica)
{
    replica_status views[] = {{1, "a", true, true, 5000, false},
                           {2, "b", true, true, 4990, false},
                           {3, "c", true, true, 1000, false},
                           {9, "c", false, false, 4990, false}};
    membership_change step = membership_next_change(views, 4, 5000);
    EXPECT_EQ(step.action, MEMBER_ADD);
    EXPECT_EQ(step.id, 9u);
}

// A first seed that had lost its disk founded a cell while the others were
// down, and took them into it with all that they held gone.
TEST(Members, ACellIsFoundedOnlyByAMajorityOfEmptySeeds)
{
    auto may_found = [](uint32_t seeds, uint32_t empty, bool data_seen) {
        founding_view view = {seeds, empty, data_seen};
        return membership_may_found(&view);
    };
    EXPECT_TRUE(may_found(1, 1, false));
    EXPECT_FALSE(may_found(2, 1, false));
    EXPECT_FALSE(may_found(3, 1, false));
    EXPECT_TRUE(may_found(3, 2, false));
    EXPECT_FALSE(may_found(3, 2, true));
    EXPECT_FALSE(may_found(5, 2, false));
    EXPECT_TRUE(may_found(5, 3, false));
}

TEST(Members, ANewHostReplacesASilentVoter)
{
    replica_status views[] = {{1, "a", true, true, 9000, false},
                           {2, "b", true, true, 8990, false},
                           {3, "c", true, true, 1000, false},
                           {9, "d", false, false, 8990, false}};
    membership_change step = membership_next_change(views, 4, 9000);
    EXPECT_EQ(step.action, MEMBER_REMOVE);
    EXPECT_EQ(step.id, 3u);
    views[2].heard_ms = 8900;
    step = membership_next_change(views, 4, 9000);
    EXPECT_EQ(step.action, MEMBER_ADD);
}

// After a planned replacement of a host there are four voters, and the old one
// is gone. If it stayed a voter and another disk were lost, only two of four
// voters would be left: no majority, and the cell would stop.
TEST(Members, ASilentVoterIsRemovedFromAnEvenNumberOfVoters)
{
    replica_status views[] = {{1, "a", true, true, 9000, false},
                           {2, "b", true, true, 8990, false},
                           {3, "c", true, true, 1000, false},
                           {4, "d", true, true, 8990, false},
                           {5, "e", true, true, 8990, false}};
    EXPECT_EQ(membership_next_change(views, 5, 9000).action, MEMBER_NONE);
    membership_change step = membership_next_change(views, 4, 9000);
    EXPECT_EQ(step.action, MEMBER_REMOVE);
    EXPECT_EQ(step.id, 3u);
    EXPECT_EQ(membership_next_change(views, 3, 9000).action, MEMBER_NONE);
    views[1].heard_ms = 2000;
    EXPECT_EQ(membership_next_change(views, 5, 9000).action, MEMBER_REMOVE)
        << "two of five voters are silent";
    EXPECT_EQ(membership_next_change(views, 4, 9000).action, MEMBER_NONE)
        << "no majority is alive";
}

// Guards against LOST and CONFIG: a host that was replaced as planned stayed a voter
// for seconds after it had left, and the next loss left two of four.
TEST(Members, AVoterThatIsBeingStoppedIsRemovedWhereTheOthersThenTolerateMore)
{
    replica_status views[] = {{1, "a", true, true, 9000, false},
                           {2, "b", true, true, 8990, true},
                           {3, "c", true, true, 8990, false},
                           {4, "d", true, true, 8990, false},
                           {5, "e", true, true, 8990, false}};
    EXPECT_EQ(membership_next_change(views, 3, 9000).action, MEMBER_NONE)
        << "two of three tolerate no more than two";
    membership_change step = membership_next_change(views, 4, 9000);
    EXPECT_EQ(step.action, MEMBER_REMOVE);
    EXPECT_EQ(step.id, 2u);
    EXPECT_EQ(membership_next_change(views, 5, 9000).action, MEMBER_NONE)
        << "four of five tolerate one, as four do";
    // Two are replaced at a time: the one that has gone already goes first.
    views[2].heard_ms = 8000;
    step = membership_next_change(views, 5, 9000);
    EXPECT_EQ(step.action, MEMBER_REMOVE);
    EXPECT_EQ(step.id, 3u);
    views[0].voter = false; // removing c or b of b, c, d and e leaves two voters
    EXPECT_EQ(membership_next_change(views, 5, 9000).action, MEMBER_NONE);
}

// It still answers once it is removed, and was added again.
TEST(Members, AReplicaThatIsBeingStoppedDoesNotJoin)
{
    replica_status views[] = {{1, "a", true, true, 9000, false},
                           {2, "b", true, true, 8990, false},
                           {3, "c", true, true, 8990, false},
                           {4, "d", false, false, 8990, true}};
    EXPECT_EQ(membership_next_change(views, 4, 9000).action, MEMBER_NONE);
    views[3].leaving = false;
    EXPECT_EQ(membership_next_change(views, 4, 9000).action, MEMBER_ADD);
}

// The former replica was heard until just now.
TEST(Members, TheFormerReplicaOfAHostDoesNotJoinAgain)
{
    replica_status views[] = {{1, "a", true, true, 9000, false},
                           {2, "b", true, true, 8990, false},
                           {3, "c", false, false, 8500, false},
                           {9, "c", true, false, 8990, false}};
    EXPECT_EQ(membership_next_change(views, 4, 9000).action, MEMBER_NONE);
}

// A new host joins while another one has gone: the cell does not wait with the
// removal until the new one has caught up.
TEST(Members, ASurplusVoterIsRemovedBeforeAnotherHostJoins)
{
    replica_status views[] = {{1, "a", true, true, 9000, false},
                           {2, "b", true, true, 8990, false},
                           {3, "c", true, true, 8000, false},
                           {4, "d", true, true, 8990, false},
                           {9, "e", false, false, 8990, false}};
    membership_change step = membership_next_change(views, 5, 9000);
    EXPECT_EQ(step.action, MEMBER_REMOVE);
    EXPECT_EQ(step.id, 3u);
    views[4].host = "c"; // adding it removes the other one of its host
    step = membership_next_change(views, 5, 9000);
    EXPECT_EQ(step.action, MEMBER_ADD);
    EXPECT_EQ(step.id, 9u);
}

TEST(Members, NoVoterIsRemovedWithoutANewcomerOrAMajority)
{
    replica_status views[] = {{1, "a", true, true, 9000, false},
                           {2, "b", true, true, 1000, false},
                           {3, "c", true, true, 1000, false},
                           {9, "d", false, false, 8990, false}};
    EXPECT_EQ(membership_next_change(views, 3, 9000).action, MEMBER_NONE);
    EXPECT_NE(membership_next_change(views, 4, 9000).action, MEMBER_REMOVE);
    views[3].heard_ms = 5000;
    EXPECT_EQ(membership_next_change(views, 4, 9000).action, MEMBER_NONE);
}

} // namespace
