// The replicated state of a fleet: versions of the configuration, jobs by
// their ID, ends counted once, snapshots; and who joins the cell.

#include "tests/plan_world.h"

extern "C" {
#include "base/histogram.h"
#include "core/ends.h"
#include "core/members.h"
}

using namespace plan_sim;

namespace {

TEST(Fleet, TheHighestVersionIsInForceAndOlderOnesChangeNothing)
{
    FleetSim w;
    w.config_version = 6;
    w.configure({"q"});
    w.config_version = 2;
    w.configure({"other"});
    EXPECT_EQ(w.fleet_state->config.version, 7u);
    EXPECT_NE(fleet_find_queue(w.fleet_state, "h", "/q/1"), nullptr);
    EXPECT_EQ(fleet_find_queue(w.fleet_state, "h", "/other/1"), nullptr);
}

TEST(Fleet, AQueueThatIsDroppedKeepsItsJobsAndTakesNoMore)
{
    FleetSim w;
    w.configure({"q", "p"});
    w.submit(1, {{}});
    w.configure({"p"});
    EXPECT_EQ(fleet_find_queue(w.fleet_state, "h", "/q/1"), nullptr);
    ASSERT_NE(w.find_job(1), nullptr);
    EXPECT_STREQ(w.find_job(1)->queue->conf.service, "svc");
}

TEST(Fleet, TheLongestPrefixWins)
{
    FleetSim w;
    w.configure({"q", "q/deep"});
    EXPECT_STREQ(fleet_find_queue(w.fleet_state, "h", "/q/deep/1")->conf.name,
                 "q/deep");
    EXPECT_STREQ(fleet_find_queue(w.fleet_state, "h", "/q/1")->conf.name, "q");
    EXPECT_EQ(fleet_find_queue(w.fleet_state, "x", "/q/1"), nullptr);
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
        << "two queues at one place";
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
        << "two teams with one key";
    fp_record_free(&FLEET_CONFIG_SCHEMA, &config);
}

TEST(Fleet, AJobSentAgainIsOneJob)
{
    FleetSim w;
    w.configure({"q"});
    EXPECT_TRUE(w.submit(1, {{.count = 2}}).first);
    change_answer again = w.submit(1, {{.count = 5}});
    EXPECT_EQ(again.err, FP_OK);
    EXPECT_FALSE(again.first);
    EXPECT_EQ(w.find_job(1)->task_count, 2u);
}

TEST(Fleet, AFailureIsCountedOnceARunAndTheLastEndsTheJob)
{
    FleetSim w;
    w.configure({"q"});
    w.submit(1, {{.count = 1}});
    fleet_run_end end = {{1, 0, 0, 0}, 1, RUN_FAILED, ""};
    w.commit_end(end);
    w.commit_end(end);
    EXPECT_EQ(w.find_job(1)->tasks[0].failures, 1u);
    end.run = 2;
    w.commit_end(end);
    EXPECT_TRUE(fleet_job_is_live(w.find_job(1)));
    end.run = 3;
    w.commit_end(end);
    EXPECT_EQ(w.find_job(1)->state, JOB_FAILED);
}

TEST(Fleet, EndsOfUnknownTasksAreIgnored)
{
    FleetSim w;
    w.configure({"q"});
    w.submit(1, {{.count = 1}});
    w.commit_end({{1, 0, 0, 5}, 1, RUN_DONE, ""});
    w.commit_end({{1, 0, 3, 0}, 1, RUN_DONE, ""});
    w.commit_end({{1, 7, 0, 0}, 1, RUN_DONE, ""});
    w.commit_end({{2, 0, 0, 0}, 1, RUN_DONE, ""});
    EXPECT_TRUE(fleet_job_is_live(w.find_job(1)));
}

TEST(Fleet, AnAddressBelongsToTheIncarnationBornLast)
{
    FleetSim w;
    w.configure({"q"});
    w.put_target("t1", 1000, 0, "r1", false, 10);
    fleet_target_rec rec = w.find_target("t1")->rec;
    g_strlcpy(rec.id, "t2", FLEET_NAME_BYTES);
    rec.born_ms = 20;
    EXPECT_EQ(w.apply_change(&FLEET_TARGET_SCHEMA, &rec).err, FP_OK);
    EXPECT_EQ(w.find_target("t1"), nullptr);
    g_strlcpy(rec.id, "t1", FLEET_NAME_BYTES);
    rec.born_ms = 10; // an announcement that was held up
    EXPECT_EQ(w.apply_change(&FLEET_TARGET_SCHEMA, &rec).err, FP_ERR_STALE);
    EXPECT_NE(w.find_target("t2"), nullptr);
}

TEST(Fleet, ATargetThatLeavesStaysLeavingUntilItIsBornAgain)
{
    FleetSim w;
    w.configure({"q"});
    w.put_target("t1", 1000, 0, "r1", true);
    w.put_target("t1", 1000, 0, "r1", false);
    EXPECT_TRUE(w.find_target("t1")->rec.leaving);
    w.put_target("t1", 1000, 0, "r1", false, 2);
    EXPECT_FALSE(w.find_target("t1")->rec.leaving);
}

TEST(Fleet, ASnapshotHoldsAllThatWasAccepted)
{
    FleetSim w;
    FleetSim other;
    fp_blob blob = {nullptr, 0};
    w.configure({"q"});
    w.put_target("t1");
    w.submit(1, {{.count = 3}, {.count = 1, .after = {0}}});
    w.submit(2, {{.count = 1}});
    w.submit(3, {{.count = 1}});
    w.commit_end({{1, 0, 0, 1}, 1, RUN_DONE, ""});
    w.commit_end({{1, 0, 0, 2}, 4, RUN_FAILED, "saved"});
    w.commit_end({{2, 0, 0, 0}, 1, RUN_DONE, ""});
    fleet_save(w.fleet_state, &blob);
    ASSERT_EQ(fleet_load(other.fleet_state, &blob), FP_OK);
    EXPECT_EQ(other.fleet_state->config.version, 1u);
    EXPECT_NE(other.find_target("t1"), nullptr);
    EXPECT_EQ(other.find_job(1)->tasks_left, 3u);
    EXPECT_TRUE(other.find_job(1)->tasks[1].done);
    EXPECT_EQ(other.find_job(1)->tasks[2].failed_run, 4u);
    EXPECT_STREQ(other.find_job(1)->tasks[2].checkpoint, "saved");
    EXPECT_EQ(other.find_job(2)->state, JOB_COMPLETED);
    EXPECT_TRUE(fleet_job_is_live(other.find_job(3)));
    blob.data[blob.size_bytes / 2] ^= 0xff;
    blob.size_bytes -= 3;
    EXPECT_NE(fleet_load(other.fleet_state, &blob), FP_OK);
    EXPECT_EQ(other.find_job(1)->tasks_left, 3u)
        << "a damaged snapshot changes nothing";
    fp_blob_free(&blob);
}

TEST(Fleet, EndedJobsAreForgottenAfterTheirTime)
{
    FleetSim w;
    w.configure({"q"});
    w.submit(1, {{}});
    w.commit_end({{1, 0, 0, 0}, 1, RUN_DONE, ""});
    w.now_ms += 119000;
    w.submit(2, {{}});
    EXPECT_NE(w.find_job(1), nullptr);
    w.now_ms += 3000;
    w.submit(3, {{}});
    EXPECT_EQ(w.find_job(1), nullptr);
}

TEST(Fleet, MalformedChangesAreRefused)
{
    FleetSim w;
    change_answer answer;
    uint8_t bytes[64];
    memset(bytes, 0x91, sizeof(bytes));
    fleet_apply(w.fleet_state, bytes, sizeof(bytes), &answer);
    EXPECT_EQ(answer.err, FP_ERR_CORRUPT);
    w.configure({"q"});
    EXPECT_EQ(w.submit(1, {{.count = 0}}).err, FP_ERR_BAD_REQUEST);
    EXPECT_EQ(w.submit(1, {{.after = {0}}}).err, FP_ERR_BAD_REQUEST);
    EXPECT_EQ(w.submit(1, {}).err, FP_ERR_BAD_REQUEST);
}

// ---- members ---------------------------------------------------------------

TEST(Histogram, BucketsAddUpAndNamesCarryTheUnit)
{
    histogram times = {};
    histogram_add(&times, 0);
    histogram_add(&times, 5);
    histogram_add(&times, 6);
    histogram_add(&times, 90000);
    GString *out = g_string_new(nullptr);
    histogram_text(&times, "call_ms", "kind=\"submit\"", out);
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

TEST(Ends, ANumberIsToldOnceAndOnlyToWhoJustAnswered)
{
    end_marks marks = {};
    ends_answered(&marks, 0, 100);
    ends_answered(&marks, 0, 200);
    ends_stored(&marks, 7);
    EXPECT_EQ(ends_to_tell(&marks), 7u);
    EXPECT_EQ(ends_to_tell(&marks), 7u) << "until it is answered";
    ends_unanswered(&marks);
    EXPECT_EQ(ends_to_tell(&marks), 0u)
        << "another incarnation may answer next: its ends are not ours";
    ends_answered(&marks, 0, 300);
    ends_answered(&marks, 0, 400);
    EXPECT_EQ(ends_to_tell(&marks), 7u) << "the same one lives";
    ends_answered(&marks, 7, 500);
    EXPECT_EQ(ends_to_tell(&marks), 0u) << "a restart may come unnoticed";
    ends_stored(&marks, 5);
    EXPECT_EQ(ends_to_tell(&marks), 0u) << "stored late, known before";
    ends_stored(&marks, 9);
    EXPECT_EQ(ends_to_tell(&marks), 9u);
}

// The call after a failure opens a connection, which is not older than itself:
// a number would close it again, and so on without an end.
TEST(Ends, NoNumberIsToldBeforeAConnectionIsOlderThanTheLastCall)
{
    end_marks marks = {};
    ends_stored(&marks, 7);
    ends_answered(&marks, 0, 100);
    EXPECT_EQ(ends_to_tell(&marks), 0u) << "it may have opened it";
    ends_answered(&marks, 0, 200);
    EXPECT_EQ(ends_to_tell(&marks), 7u);
}

TEST(Members, AnEmptyDiskJoinsInPlaceOfTheOneItsHostHad)
{
    member_view views[] = {{1, "a", true, true, 5000},
                           {2, "b", true, true, 4990},
                           {3, "c", true, true, 1000},
                           {9, "c", false, false, 4990}};
    member_step step = members_next(views, 4, 5000);
    EXPECT_EQ(step.action, MEMBER_ADD);
    EXPECT_EQ(step.id, 9u);
}

TEST(Members, ANewHostTakesThePlaceOfASilentOne)
{
    member_view views[] = {{1, "a", true, true, 9000},
                           {2, "b", true, true, 8990},
                           {3, "c", true, true, 1000},
                           {9, "d", false, false, 8990}};
    member_step step = members_next(views, 4, 9000);
    EXPECT_EQ(step.action, MEMBER_REMOVE);
    EXPECT_EQ(step.id, 3u);
    views[2].heard_ms = 8900;
    step = members_next(views, 4, 9000);
    EXPECT_EQ(step.action, MEMBER_ADD);
}

// A host was replaced by plan, so that four vote; the old one has gone. When
// another disk is lost two of four would be left, and the cell would stop.
TEST(Members, ASilentVoterOfAnEvenNumberIsRemoved)
{
    member_view views[] = {{1, "a", true, true, 9000},
                           {2, "b", true, true, 8990},
                           {3, "c", true, true, 1000},
                           {4, "d", true, true, 8990},
                           {5, "e", true, true, 8990}};
    EXPECT_EQ(members_next(views, 5, 9000).action, MEMBER_NONE);
    member_step step = members_next(views, 4, 9000);
    EXPECT_EQ(step.action, MEMBER_REMOVE);
    EXPECT_EQ(step.id, 3u);
    EXPECT_EQ(members_next(views, 3, 9000).action, MEMBER_NONE);
    views[1].heard_ms = 2000;
    EXPECT_EQ(members_next(views, 5, 9000).action, MEMBER_REMOVE)
        << "two of five";
    EXPECT_EQ(members_next(views, 4, 9000).action, MEMBER_NONE)
        << "without a majority";
}

TEST(Members, NobodyIsRemovedWithoutANewcomerOrWithoutAMajority)
{
    member_view views[] = {{1, "a", true, true, 9000},
                           {2, "b", true, true, 1000},
                           {3, "c", true, true, 1000},
                           {9, "d", false, false, 8990}};
    EXPECT_EQ(members_next(views, 3, 9000).action, MEMBER_NONE);
    EXPECT_NE(members_next(views, 4, 9000).action, MEMBER_REMOVE);
    views[3].heard_ms = 5000;
    EXPECT_EQ(members_next(views, 4, 9000).action, MEMBER_NONE);
}

} // namespace
