// Tests of the choice of the host that queries the placement policy.

#include <gtest/gtest.h>

#include <cstring>
#include <vector>

extern "C" {
#include "core/helpers.h"
}

namespace {

struct Helpers {
    std::vector<policy_helper> list;
    uint64_t now_ms = 10000;

    explicit Helpers(size_t count) : list(count)
    {
        memset(list.data(), 0, count * sizeof(list[0]));
        ping();
    }
    void ping()
    {
        for (auto &helper : list) {
            helper.last_ping_ms = now_ms;
        }
    }
    policy_helper *choose(bool short_query = true)
    {
        std::vector<policy_helper *> pointers;
        for (auto &helper : list) {
            pointers.push_back(&helper);
        }
        return helper_choose(pointers.data(), (uint32_t)pointers.size(), &pace,
                             short_query, now_ms);
    }
    query_pace pace = {};
};

// Helpers that cannot reach the policy fail at once and were idle again first,
// so that nearly all queries went to them.
TEST(Helpers, AHelperThatFailsIsUsedOnlyWhenNoOtherIsIdle)
{
    Helpers helpers(4);
    int failed = 0;
    int answered = 0;
    for (int i = 0; i < 1000; i++) {
        helpers.now_ms += 10;
        helpers.ping();
        policy_helper *helper = helpers.choose();
        ASSERT_NE(helper, nullptr);
        bool fails = helper == &helpers.list[1] || helper == &helpers.list[3];
        (fails ? failed : answered)++;
        helper_finish(helper, fails ? HELPER_FAILED : HELPER_ANSWERED, 10,
                      helpers.now_ms);
    }
    EXPECT_LE(failed, 2) << "others are idle";
    EXPECT_GE(answered, 998);
}

// When all fail, each is tried again within a second: the policy may be back.
TEST(Helpers, AllAreTriedAgainSoonWhenAllFail)
{
    Helpers helpers(3);
    uint64_t last_ms = helpers.now_ms;
    for (int i = 0; i < 1000; i++) {
        helpers.now_ms += 10;
        helpers.ping();
        policy_helper *helper = helpers.choose();
        if (helper != nullptr) {
            helper_finish(helper, HELPER_FAILED, 10, helpers.now_ms);
            EXPECT_LE(helpers.now_ms, last_ms + 1000);
            last_ms = helpers.now_ms;
        }
    }
    EXPECT_LE(helpers.now_ms, last_ms + 1000);
}

// A query that was given up occupies its helper's turn at the policy for about
// as long as it was expected to take.
TEST(Helpers, AQueryThatWasGivenUpOccupiesItsTurn)
{
    Helpers helpers(1);
    helper_finish(helpers.choose(), HELPER_TIMEOUT, 600, helpers.now_ms);
    helpers.now_ms += 590;
    EXPECT_EQ(helpers.choose(), nullptr);
    helpers.now_ms += 20;
    ASSERT_NE(helpers.choose(), nullptr);
    helper_finish(helpers.choose(), HELPER_TIMEOUT, 60000, helpers.now_ms);
    helpers.now_ms += 1000;
    helpers.ping();
    EXPECT_NE(helpers.choose(), nullptr) << "a second at most";
    helper_finish(helpers.choose(), HELPER_ANSWERED, 600, helpers.now_ms);
    EXPECT_NE(helpers.choose(), nullptr);
}

// Two of four idle helpers are kept for short queries; silent ones aren't used.
TEST(Helpers, IdleOnesAreKeptForShortQueries)
{
    Helpers helpers(4);
    for (int i = 0; i < 2; i++) {
        policy_helper *helper = helpers.choose(false);
        ASSERT_NE(helper, nullptr);
        helper->busy = true;
    }
    EXPECT_EQ(helpers.choose(false), nullptr);
    EXPECT_NE(helpers.choose(true), nullptr);
    helpers.now_ms += 1600;
    EXPECT_EQ(helpers.choose(true), nullptr);
}

// As many queries were sent as there were hosts, whatever the policy could bear.
TEST(Helpers, NoMoreAreUsedThanThePaceAllows)
{
    Helpers helpers(6);
    helpers.pace.limit_milli = 2500;
    for (int i = 0; i < 3; i++) {
        policy_helper *helper = helpers.choose(i == 0);
        ASSERT_NE(helper, nullptr);
        helper->busy = true;
        helper->is_long = i > 0;
    }
    EXPECT_EQ(helpers.choose(false), nullptr);
    EXPECT_NE(helpers.choose(true), nullptr) << "they take little of a turn";
    helpers.pace.limit_milli = 3000;
    EXPECT_NE(helpers.choose(false), nullptr);
    helpers.pace.limit_milli = 0;
    EXPECT_NE(helpers.choose(false), nullptr);
}

TEST(Helpers, OneThatAnswersSoonIsPreferred)
{
    Helpers helpers(3);
    helper_measure(&helpers.list[0], 4000);
    helper_measure(&helpers.list[2], 8000);
    EXPECT_EQ(helpers.choose(), &helpers.list[1]);
    helpers.list[1].busy = true;
    EXPECT_EQ(helpers.choose(), &helpers.list[0]);
}

// While all but one paused, one answer in time lifted the limit for all.
TEST(Helpers, ThoseThatPauseCountForThePace)
{
    Helpers helpers(6);
    std::vector<policy_helper *> pointers;
    for (auto &helper : helpers.list) {
        pointers.push_back(&helper);
    }
    for (int i = 1; i < 6; i++) {
        helper_finish(&helpers.list[i], HELPER_FAILED, 500, helpers.now_ms);
    }
    helpers.pace.limit_milli = 1000;
    query_pace_answered(
        &helpers.pace, helpers.now_ms - 500, false, 500, 500,
        helper_count_usable(pointers.data(), 6, helpers.now_ms),
        helpers.now_ms);
    EXPECT_EQ(query_pace_limit(&helpers.pace, 6), 2u);
}

// A long query without an answer may be in its turn while its helper pauses.
TEST(Helpers, ALongQueryThatWasGivenUpCountsDuringThePause)
{
    Helpers helpers(6);
    helpers.pace.limit_milli = 1000;
    for (auto result : {HELPER_FAILED, HELPER_TIMEOUT}) {
        policy_helper *helper = helpers.choose(false);
        ASSERT_NE(helper, nullptr) << "no query is left after a refusal";
        helper->busy = helper->is_long = true;
        helper_finish(helper, result, 500, helpers.now_ms);
    }
    EXPECT_EQ(helpers.choose(false), nullptr);
    EXPECT_NE(helpers.choose(true), nullptr);
    helpers.now_ms += 500;
    EXPECT_NE(helpers.choose(false), nullptr);
}

} // namespace
