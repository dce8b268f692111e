// Tests of the pace of queries to the placement policy.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

extern "C" {
#include "core/querypace.h"
}

namespace {

const uint32_t HOSTS = 6;
const uint32_t STATED_MS = 500;

// A policy that answers all hosts in one turn, beside a leader with a query
// under way for each host that the pace lets it use.
struct SharedTurn {
    query_pace pace = {};
    uint64_t now_ms = 1000;
    uint64_t free_ms = 1000; // when the policy has answered all queries
    struct Query {
        uint64_t sent_ms, answer_ms;
        uint32_t timeout_ms;
    };
    std::deque<Query> queries;
    uint32_t answered = 0, late = 0;
    size_t most = 0;

    void run(uint64_t for_ms, uint32_t takes_ms, bool shared = true)
    {
        answered = late = 0;
        most = 0;
        for (uint64_t end_ms = now_ms + for_ms; now_ms < end_ms; now_ms++) {
            for (size_t i = queries.size(); i > 0; i--) {
                const Query query = queries[i - 1];
                if (query.answer_ms > now_ms) {
                    continue;
                }
                uint32_t took_ms = (uint32_t)(now_ms - query.sent_ms);
                answered++;
                late += took_ms > query.timeout_ms;
                query_pace_answered(&pace, query.sent_ms, false, STATED_MS,
                                    took_ms, HOSTS, now_ms);
                queries.erase(queries.begin() + (long)i - 1);
            }
            while (queries.size() < query_pace_limit(&pace, HOSTS)) {
                free_ms = std::max(free_ms, now_ms) + takes_ms;
                queries.push_back(
                    {now_ms, shared ? free_ms : now_ms + takes_ms,
                     query_pace_timeout_ms(&pace, STATED_MS)});
            }
            most = std::max(most, queries.size());
        }
    }
};

// Queries that were given up took the turns of those behind them, and none was
// answered in time any more.
TEST(QueryPace, FewQueriesAreUnderWayWhenAllHostsShareATurn)
{
    SharedTurn policy;
    policy.run(10000, STATED_MS);
    policy.run(60000, STATED_MS);
    EXPECT_LE(policy.most, 4u);
    EXPECT_GE(policy.answered, 118u) << "the policy is never idle";
    EXPECT_LE(policy.late, policy.answered / 50);
}

TEST(QueryPace, EachHostHasAQueryUnderWayWhenEachHasATurn)
{
    SharedTurn policy;
    policy.run(10000, STATED_MS, false);
    EXPECT_EQ(query_pace_limit(&policy.pace, HOSTS), HOSTS);
    EXPECT_GE(policy.answered, 18 * HOSTS);
}

// Once the policy answers in time again, all hosts are used within seconds.
TEST(QueryPace, TheLimitRisesAgainWithinSeconds)
{
    SharedTurn policy;
    policy.run(20000, STATED_MS);
    EXPECT_LT(query_pace_limit(&policy.pace, HOSTS), HOSTS);
    policy.run(8000, STATED_MS, false);
    EXPECT_EQ(query_pace_limit(&policy.pace, HOSTS), HOSTS);
}

// A policy that takes longer than the configuration states: a new step began
// with queries that were given up.
TEST(QueryPace, TheTimeoutFollowsASlowPolicy)
{
    SharedTurn policy;
    EXPECT_EQ(query_pace_timeout_ms(&policy.pace, STATED_MS), 1200u);
    EXPECT_EQ(query_pace_timeout_ms(&policy.pace, 10), 220u);
    policy.run(20000, 4 * STATED_MS, false);
    policy.run(20000, 4 * STATED_MS, false);
    EXPECT_EQ(policy.late, 0u);
    EXPECT_GE(query_pace_timeout_ms(&policy.pace, STATED_MS), 2000u);
    EXPECT_GE(query_pace_wait_ms(&policy.pace, STATED_MS), 6000u);
    policy.run(20000, STATED_MS, false);
    EXPECT_LE(query_pace_timeout_ms(&policy.pace, STATED_MS), 1300u);
}

// One refusal for each query that is under way is one sign, not several.
TEST(QueryPace, RefusalsHalveTheLimitOnceForTheQueriesUnderWay)
{
    query_pace pace = {};
    for (int i = 0; i < 6; i++) {
        query_pace_refused(&pace, 1000, HOSTS, 2000);
    }
    EXPECT_EQ(query_pace_limit(&pace, HOSTS), 3u);
    query_pace_refused(&pace, 2000, HOSTS, 3000);
    query_pace_refused(&pace, 3000, HOSTS, 4000);
    query_pace_refused(&pace, 4000, HOSTS, 5000);
    EXPECT_EQ(query_pace_limit(&pace, HOSTS), 1u) << "the policy is tried";
}

// Short queries waited for long ones of all hosts.
TEST(QueryPace, OneLongQueryIsUnderWayWhileShortOnesAreLate)
{
    query_pace pace = {};
    for (uint64_t i = 0; i < 10; i++) {
        query_pace_answered(&pace, 1000 + i * 1000, true, 10, 900, HOSTS,
                            1999 + i * 1000);
    }
    EXPECT_EQ(query_pace_limit(&pace, HOSTS), 1u);
    query_pace_answered(&pace, 20000, true, 10, 20, HOSTS, 20020);
    EXPECT_EQ(query_pace_limit(&pace, HOSTS), 1u) << "long ones show more";
    query_pace_answered(&pace, 20000, false, 500, 510, HOSTS, 20510);
    EXPECT_EQ(query_pace_limit(&pace, HOSTS), 2u);
}

} // namespace

namespace {

// A policy that takes two and a half times of the stated time, each host in a
// turn of its own: after refusals one host alone asked it, for ever.
TEST(QueryPace, TheLimitRisesAgainBesideAPolicyThatIsSteadilySlow)
{
    SharedTurn policy;
    for (uint64_t i = 0; i < 4; i++) {
        query_pace_refused(&policy.pace, 1000 + i, HOSTS, 1000 + i);
    }
    EXPECT_EQ(query_pace_limit(&policy.pace, HOSTS), 1u);
    policy.run(300000, STATED_MS * 5 / 2, false);
    EXPECT_GT(query_pace_limit(&policy.pace, HOSTS), 2u);
}

// A policy that takes four times as long, each host in a turn of its own.
TEST(QueryPace, ASlowPolicyWithATurnForEachHostIsAskedByAll)
{
    SharedTurn policy;
    policy.run(60000, STATED_MS * 4, false);
    policy.run(60000, STATED_MS * 4, false);
    EXPECT_GE(policy.answered, 100u) << "30 for each host could be";
}

// One turn for all hosts at a policy that is slow, then as fast as stated: the
// time that a query waits for others is not taken for the policy's own.
TEST(QueryPace, QueueingIsNotTakenForASlowPolicy)
{
    SharedTurn policy;
    policy.run(60000, STATED_MS * 4);
    policy.run(120000, STATED_MS * 4);
    EXPECT_LE(policy.most, 4u);
    EXPECT_GE(policy.answered, 58u) << "the policy is never idle";
    policy.run(60000, STATED_MS);
    policy.run(60000, STATED_MS);
    EXPECT_LE(policy.most, 4u);
    EXPECT_GE(policy.answered, 118u) << "the policy is never idle";
}

// A slow long query was given up, and a second turn spent on its step, once a
// short one that was sent later was answered.
TEST(QueryPace, AShortAnswerDoesNotOvertakeALongQuery)
{
    query_pace pace = {};
    query_pace_answered(&pace, 2000, true, 10, 20, HOSTS, 2020);
    EXPECT_FALSE(query_pace_is_overtaken(&pace, 1000, false));
    EXPECT_TRUE(query_pace_is_overtaken(&pace, 1000, true));
    EXPECT_FALSE(query_pace_is_overtaken(&pace, 2000, true));
    query_pace_answered(&pace, 1500, false, 500, 510, HOSTS, 2010);
    EXPECT_TRUE(query_pace_is_overtaken(&pace, 1000, false));
    EXPECT_TRUE(query_pace_is_overtaken(&pace, 1700, true));
    EXPECT_FALSE(query_pace_is_overtaken(&pace, 1500, false));
}

} // namespace
