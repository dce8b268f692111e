// Seeded failure runs of the replication module: a fake transport that loses,
// doubles, delays and reorders messages and cuts links one way or both, fake
// disks that lose what was not synced, crashes, pauses past every lease, wiped
// disks with a change of members, and clocks that differ in rate. Time is
// virtual. Invariants are checked after each step.
//
// One failing seed is replayed by FILBERTPATH_SEED=N build/unit
// --gtest_filter=Raft.*

#include "tests/raft_world.h"

using namespace raft_world;

namespace {

// One host's disk is lost: a new identity on the same host, which an operator
// puts in the place of the old one.
void wipe(World &w, int number)
{
    Node *n = w.nodes[number].get();
    crash(n);
    n->disk = Disk();
    boot(n);
}

void disturb(World &w, int count)
{
    int number = (int)w.below((uint32_t)count);
    Node *n = w.nodes[number].get();
    switch (w.below(8)) {
    case 6: // a slow disk, and then a crash before its sync
        n->sync_ms = 1500;
        w.later.push_back({w.now_ms + 300 + w.below(2000), [&w, n] {
                               n->sync_ms = 6;
                               crash(n);
                               n->down_until_ms = w.now_ms + w.below(500);
                           }});
        break;
    case 7: { // one host no longer hears the leader; then nobody does, and
              // another restarts at once
        Node *l = leading_node(w);
        if (!l) {
            break;
        }
        int from = l->number;
        int restarted = (int)w.below((uint32_t)count);
        w.cut[from][number] = true;
        w.later.push_back(
            {w.now_ms + 1300 + w.below(1500), [&w, from, restarted, count] {
                 for (int i = 0; i < count; i++) {
                     w.cut[from][i] = w.cut[i][from] = true;
                 }
                 if (restarted != from) {
                     crash(w.nodes[restarted].get());
                     w.nodes[restarted]->down_until_ms = 0;
                 }
             }});
        break;
    }
    case 0:
        crash(n);
        n->down_until_ms = w.now_ms + w.below(3000);
        break;
    case 1:
        if (n->r) {
            n->paused = true;
            n->resume_ms = w.now_ms + w.below(8000);
        }
        break;
    case 2: // one-way cut
        w.cut[number][w.below((uint32_t)count)] = true;
        break;
    case 3: // cut off both ways
        for (int i = 0; i < count; i++) {
            w.cut[number][i] = w.cut[i][number] = true;
        }
        break;
    case 4:
        memset(w.cut, 0, sizeof(w.cut));
        break;
    case 5: {
        Node *leader = leading_node(w);
        if (leader) {
            raft_transfer_leadership(leader->r, leader->now());
        }
        break;
    }
    }
}

// Three replicas that all vote, over a transport that loses nothing.
bool form_three(World &w)
{
    build(w, 3, 0);
    w.lossy = false;
    raft_bootstrap(w.nodes[0]->r, w.nodes[0]->now());
    return settle(w, 5000) && add_member(w, 1, 10000) &&
           add_member(w, 2, 10000);
}

std::string random_run(uint64_t seed, int replicas, int observers)
{
    World w(seed);
    int count = replicas + observers;
    build(w, replicas, observers);
    raft_bootstrap(w.nodes[0]->r, w.nodes[0]->now());
    w.lossy = false;
    for (int i = 1; i < replicas; i++) {
        if (!settle(w, 5000) || !add_member(w, i, 10000)) {
            tear_down(w);
            return "the cell did not form: " + w.failure;
        }
    }
    w.lossy = true;
    for (int round = 0; round < 40 && w.failure.empty(); round++) {
        if (w.chance(0.5)) {
            disturb(w, count);
        }
        for (uint32_t i = w.below(20); i > 0; i--) {
            propose(w);
            run_for(w, w.below(60));
        }
        run_for(w, w.below(1500));
    }
    memset(w.cut, 0, sizeof(w.cut));
    w.lossy = false;
    w.later.clear();
    for (auto &n : w.nodes) {
        n->resume_ms = 0;
        n->down_until_ms = 0;
        n->sync_ms = 6;
    }
    uint64_t before = w.proposed;
    if (w.failure.empty() && !settle(w, 30000)) {
        w.fail("no leader after all was mended");
    }
    propose(w);
    run_for(w, 5000);
    if (w.failure.empty() && (w.proposed == before || w.acked.empty())) {
        w.fail("no progress after all was mended");
    }
    for (auto &n : w.nodes) {
        if (w.failure.empty() && n->r && !raft_is_fresh(n->r, n->now())) {
            w.fail(n->host + " is not fresh after all was mended");
        }
    }
    tear_down(w);
    return w.failure;
}

uint64_t seed_or(uint64_t otherwise)
{
    const char *text = getenv("FILBERTPATH_SEED");
    return text ? strtoull(text, nullptr, 10) : otherwise;
}

uint64_t runs_or(uint64_t otherwise)
{
    const char *text = getenv("FILBERTPATH_SEED");
    const char *runs = getenv("FILBERTPATH_RUNS");
    return text ? 1 : runs ? strtoull(runs, nullptr, 10) : otherwise;
}

TEST(Raft, HoldsUnderRandomFailures)
{
    uint64_t first = seed_or(1);
    for (uint64_t seed = first; seed < first + runs_or(400); seed++) {
        std::string failure = random_run(seed, 3 + 2 * (int)(seed % 2), 1);
        ASSERT_EQ(failure, "") << "replay: FILBERTPATH_SEED=" << seed
                               << " build/unit --gtest_filter=Raft.Holds*";
    }
}

// Two of three disks are lost, one after the other, each repaired: nothing
// that was acknowledged goes, whichever host was lost right after the repair.
TEST(Raft, SecondHostLostRightAfterARepair)
{
    for (uint64_t seed = 1; seed <= 60; seed++) {
        World w(seed);
        ASSERT_TRUE(form_three(w));
        int last = -1;
        for (int round = 0; round < 6 && w.failure.empty(); round++) {
            for (int i = 0; i < 10; i++) {
                propose(w);
                run_for(w, w.below(30));
            }
            int lost = (int)w.below(3);
            lost = lost == last ? (lost + 1) % 3 : lost;
            wipe(w, lost);
            ASSERT_TRUE(settle(w, 20000)) << "seed " << seed;
            ASSERT_TRUE(add_member(w, lost, 30000)) << "seed " << seed;
            last = lost; // the next host is lost at once
        }
        EXPECT_EQ(w.failure, "") << "seed " << seed;
        EXPECT_GE(w.acked.size(), 40u);
        tear_down(w);
    }
}

// A replica that lost its disk comes back empty. It must not vote on the word
// of its old identity, or the two together could elect a leader without what
// was acknowledged.
TEST(Raft, EmptyDiskDoesNotVoteAsItsOldIdentity)
{
    World w(7);
    ASSERT_TRUE(form_three(w));
    // Host 2 is cut off and misses what hosts 0 and 1 acknowledge.
    for (int i = 0; i < 2; i++) {
        w.cut[2][i] = w.cut[i][2] = true;
    }
    for (int i = 0; i < 10; i++) {
        propose(w);
        run_for(w, 50);
    }
    uint64_t acked = w.acked.size();
    ASSERT_GE(acked, 5u);
    // Host 1 loses its disk, host 0 dies; hosts 1 and 2 are all that is left.
    wipe(w, 1);
    crash(w.nodes[0].get());
    w.nodes[0]->down_until_ms = UINT64_MAX;
    memset(w.cut, 0, sizeof(w.cut));
    EXPECT_FALSE(settle(w, 20000));
    EXPECT_EQ(w.failure, "");
    // Host 0 returns: its log wins, and nothing is lost.
    w.nodes[0]->down_until_ms = 0;
    EXPECT_TRUE(settle(w, 20000));
    run_for(w, 2000);
    EXPECT_EQ(w.failure, "");
    tear_down(w);
}

// A host that does not hear the leader asks for votes while the leader's lease
// holds. Nobody may elect it within that lease: not a host that heard the
// leader, nor one that was restarted since and has forgotten that it did.
TEST(Raft, NoSecondLeaderWithinALease)
{
    for (int restart = 0; restart < 2; restart++) {
        for (uint64_t seed = 1; seed <= 40; seed++) {
            World w(seed);
            ASSERT_TRUE(form_three(w));
            ASSERT_EQ(leading_node(w), w.nodes[0].get());
            w.cut[0][2] = true; // host 2 hears nothing of the leader
            run_for(w, 2000 + w.below(1200));
            ASSERT_EQ(leading_node(w), w.nodes[0].get());
            for (int i = 0; i < 3; i++) {
                w.cut[0][i] = w.cut[i][0] = true;
            }
            if (restart) {
                crash(w.nodes[1].get());
                w.nodes[1]->down_until_ms = 0;
            }
            run_for(w, 4000);
            EXPECT_EQ(w.failure, "") << "seed " << seed;
            EXPECT_NE(leading_node(w), nullptr);
            tear_down(w);
        }
    }
}

// The leader's own disk is slow. What one follower has and the leader has not
// synced is on one disk of three, and must not be acknowledged.
TEST(Raft, LeaderCountsItselfOnlyOnceSynced)
{
    World w(5);
    ASSERT_TRUE(form_three(w));
    ASSERT_EQ(leading_node(w), w.nodes[0].get());
    w.cut[0][2] = w.cut[2][0] = true;
    run_for(w, 100);
    w.nodes[0]->sync_ms = 100000;
    propose(w);
    run_for(w, 400);
    // Host 1 has it; the leader loses its unsynced tail, and host 1 is cut off.
    crash(w.nodes[0].get());
    crash(w.nodes[1].get());
    w.nodes[0]->sync_ms = 6;
    w.nodes[1]->down_until_ms = w.now_ms + 20000;
    memset(w.cut, 0, sizeof(w.cut));
    ASSERT_TRUE(settle(w, 15000));
    run_for(w, 20000);
    EXPECT_EQ(w.failure, "");
    tear_down(w);
}

// Handing leadership on leaves no gap: every host's copy stays in force, the
// old leader's and the new one's too.
TEST(Raft, StaysFreshWhileLeadershipIsHandedOn)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        World w(seed);
        ASSERT_TRUE(form_three(w));
        run_for(w, 500);
        for (int round = 0; round < 5; round++) {
            Node *leader = leading_node(w);
            ASSERT_NE(leader, nullptr);
            raft_transfer_leadership(leader->r, leader->now());
            for (int i = 0; i < 100 && w.failure.empty(); i++) {
                step(w);
                for (auto &n : w.nodes) {
                    ASSERT_TRUE(raft_is_fresh(n->r, n->now()))
                        << n->host << ", seed " << seed;
                }
            }
            EXPECT_NE(leading_node(w), leader);
        }
        EXPECT_EQ(w.failure, "");
        tear_down(w);
    }
}

// A failed disk takes the replica out: it neither votes nor acknowledges.
TEST(Raft, FailedDiskStepsOut)
{
    World w(3);
    ASSERT_TRUE(form_three(w));
    Node *leader = leading_node(w);
    ASSERT_NE(leader, nullptr);
    raft_disk_failed(leader->r, leader->now());
    EXPECT_FALSE(raft_leader_ready(leader->r, leader->now()));
    EXPECT_FALSE(raft_is_fresh(leader->r, leader->now()));
    ASSERT_TRUE(settle(w, 10000));
    EXPECT_NE(leading_node(w), leader);
    run_for(w, 3000);
    EXPECT_EQ(w.failure, "");
    tear_down(w);
}

} // namespace
