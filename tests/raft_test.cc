// Tests of the replication module under seeded random failures: messages that
// are lost, duplicated, delayed or reordered, links cut one way or both, disks
// that lose unsynced writes or all of their data, crashes, pauses longer than
// any lease, and clocks that run at different rates. Time is simulated, and
// invariants are checked after each step.
//
// To replay a failing seed: FILBERTPATH_SEED=N build/unit
// --gtest_filter=Raft.*

#include "tests/raft_world.h"

using namespace raft_world;

namespace {

// The host loses its disk and restarts with a new identity, which the test has
// to add in place of the old one.
void replace_disk(Simulation &sim, int number)
{
    Node *n = sim.nodes[number].get();
    crash(n);
    n->disk = Disk();
    start_node(n);
}

void inject_failure(Simulation &sim, int count)
{
    int number = (int)sim.random_below((uint32_t)count);
    Node *n = sim.nodes[number].get();
    switch (sim.random_below(9)) {
    case 8: // a disk takes no bytes for a while
        n->disk_full_until_ms = sim.now_ms + sim.random_below(8000);
        break;
    case 6: // a slow disk, then a crash that loses unsynced writes
        n->sync_max_ms = 1500;
        sim.scheduled.push_back(
            {sim.now_ms + 300 + sim.random_below(2000), [&sim, n] {
                 n->sync_max_ms = 6;
                 crash(n);
                 n->restart_ms = sim.now_ms + sim.random_below(500);
             }});
        break;
    case 7: { // one host no longer receives from the leader; then the leader
              // is cut off both ways, and a random host restarts at once
        Node *leader = current_leader(sim);
        if (!leader) {
            break;
        }
        int from = leader->number;
        int restarted = (int)sim.random_below((uint32_t)count);
        sim.link_cut[from][number] = true;
        sim.scheduled.push_back(
            {sim.now_ms + 1300 + sim.random_below(1500),
             [&sim, from, restarted, count] {
                 for (int i = 0; i < count; i++) {
                     sim.link_cut[from][i] = sim.link_cut[i][from] = true;
                 }
                 if (restarted != from) {
                     crash(sim.nodes[restarted].get());
                     sim.nodes[restarted]->restart_ms = 0;
                 }
             }});
        break;
    }
    case 0:
        crash(n);
        n->restart_ms = sim.now_ms + sim.random_below(3000);
        break;
    case 1:
        if (n->replica) {
            n->paused = true;
            n->resume_ms = sim.now_ms + sim.random_below(8000);
        }
        break;
    case 2: // one-way cut
        sim.link_cut[number][sim.random_below((uint32_t)count)] = true;
        break;
    case 3: // cut off both ways
        for (int i = 0; i < count; i++) {
            sim.link_cut[number][i] = sim.link_cut[i][number] = true;
        }
        break;
    case 4: // restore all links
        memset(sim.link_cut, 0, sizeof(sim.link_cut));
        break;
    case 5: {
        Node *leader = current_leader(sim);
        if (leader) {
            raft_transfer_leadership(leader->replica, leader->now());
        }
        break;
    }
    }
}

// Creates three voters on a network that loses nothing.
bool form_three_voters(Simulation &sim)
{
    create_nodes(sim, 3, 0);
    sim.lossy = false;
    raft_bootstrap(sim.nodes[0]->replica, sim.nodes[0]->now());
    return run_until_leader(sim, 5000) && add_member(sim, 1, 10000) &&
           add_member(sim, 2, 10000);
}

// All disks, or one, take up to a while for each sync, or are fast again.
void change_disks(Simulation &sim, int count)
{
    Node *one = sim.nodes[sim.random_below((uint32_t)count)].get();
    uint32_t longest_ms = 1 + sim.random_below(2000);
    bool all = sim.random_chance(0.5), fast = sim.random_chance(0.3);
    for (auto &n : sim.nodes) {
        if (all || n.get() == one) {
            n->sync_ms = [&sim, longest_ms] {
                return (uint64_t)1 + sim.random_below(longest_ms);
            };
            if (fast) {
                n->sync_ms = nullptr;
            }
        }
    }
}

std::string run_random_failures(uint64_t seed, int replicas, int observers,
                                bool slow_disks = false)
{
    Simulation sim(seed);
    int count = replicas + observers;
    create_nodes(sim, replicas, observers);
    raft_bootstrap(sim.nodes[0]->replica, sim.nodes[0]->now());
    sim.lossy = false;
    for (int i = 1; i < replicas; i++) {
        if (!run_until_leader(sim, 5000) || !add_member(sim, i, 10000)) {
            tear_down(sim);
            return "the cell did not form: " + sim.failure;
        }
    }
    sim.lossy = true;
    for (int round = 0; round < 40 && sim.failure.empty(); round++) {
        if (sim.random_chance(0.5)) {
            inject_failure(sim, count);
        }
        if (slow_disks && sim.random_chance(0.5)) {
            change_disks(sim, count);
        }
        for (uint32_t i = sim.random_below(20); i > 0; i--) {
            propose(sim);
            run_for(sim, sim.random_below(60));
        }
        run_for(sim, sim.random_below(1500));
    }
    memset(sim.link_cut, 0, sizeof(sim.link_cut));
    sim.lossy = false;
    sim.scheduled.clear();
    for (auto &n : sim.nodes) {
        n->resume_ms = 0;
        n->restart_ms = 0;
        n->sync_max_ms = 6;
        n->sync_ms = nullptr;
        n->disk_full_until_ms = 0;
    }
    uint64_t before = sim.proposed;
    if (sim.failure.empty() && !run_until_leader(sim, 30000)) {
        sim.fail("no leader after all failures were repaired");
    }
    propose(sim);
    run_for(sim, 5000);
    if (sim.failure.empty() && (sim.proposed == before || sim.acked.empty())) {
        sim.fail("no progress after all failures were repaired");
    }
    for (auto &n : sim.nodes) {
        if (sim.failure.empty() && n->replica &&
            !raft_is_fresh(n->replica, n->now())) {
            sim.fail(n->host +
                     " is not fresh after all failures were repaired");
        }
    }
    tear_down(sim);
    return sim.failure;
}

uint64_t seed_from_env(uint64_t default_value)
{
    const char *text = getenv("FILBERTPATH_SEED");
    return text ? strtoull(text, nullptr, 10) : default_value;
}

uint64_t runs_from_env(uint64_t default_value)
{
    const char *text = getenv("FILBERTPATH_SEED");
    const char *runs = getenv("FILBERTPATH_RUNS");
    return text ? 1 : runs ? strtoull(runs, nullptr, 10) : default_value;
}

TEST(Raft, HoldsUnderRandomFailures)
{
    uint64_t first = seed_from_env(1);
    for (uint64_t seed = first; seed < first + runs_from_env(400); seed++) {
        std::string failure =
            run_random_failures(seed, 3 + 2 * (int)(seed % 2), 1);
        ASSERT_EQ(failure, "") << "replay: FILBERTPATH_SEED=" << seed
                               << " build/unit --gtest_filter=Raft.Holds*";
    }
}

TEST(Raft, HoldsUnderRandomFailuresAndSlowDisks)
{
    uint64_t first = seed_from_env(1);
    for (uint64_t seed = first; seed < first + runs_from_env(400); seed++) {
        std::string failure =
            run_random_failures(seed, 3 + (int)(seed % 3), 1, true);
        ASSERT_EQ(failure, "") << "replay: FILBERTPATH_SEED=" << seed
                               << " build/unit --gtest_filter=Raft.Holds*";
    }
}

// Hosts lose their disks one after the other, the next one right after the
// previous one is a voter again. Guards against a new identity that becomes a
// voter without all acknowledged entries: they are lost with the next disk.
TEST(Raft, SecondDiskLostRightAfterARepair)
{
    for (uint64_t seed = 1; seed <= 60; seed++) {
        Simulation sim(seed);
        ASSERT_TRUE(form_three_voters(sim));
        int last = -1;
        for (int round = 0; round < 6 && sim.failure.empty(); round++) {
            for (int i = 0; i < 10; i++) {
                propose(sim);
                run_for(sim, sim.random_below(30));
            }
            int lost = (int)sim.random_below(3);
            lost = lost == last ? (lost + 1) % 3 : lost;
            replace_disk(sim, lost);
            ASSERT_TRUE(run_until_leader(sim, 20000)) << "seed " << seed;
            ASSERT_TRUE(add_member(sim, lost, 30000)) << "seed " << seed;
            last = lost; // the next disk is lost at once
        }
        EXPECT_EQ(sim.failure, "") << "seed " << seed;
        EXPECT_GE(sim.acked.size(), 40u);
        tear_down(sim);
    }
}

// All hosts lose their power and start again 200 ms after each other; place is
// the leader's in that order. Returns the time from the start of the second
// one, with which more than half can hear each other, to a leader.
uint64_t restart_all(uint64_t seed, int place, uint64_t *election_min_ms)
{
    Simulation sim(seed);
    EXPECT_TRUE(form_three_voters(sim));
    run_for(sim, 500);
    Node *leader = current_leader(sim);
    EXPECT_NE(leader, nullptr);
    *election_min_ms = sim.times.election_min_ms;
    uint64_t second_ms = sim.now_ms + 400;
    int other = 0;
    for (auto &n : sim.nodes) {
        int order = n.get() == leader ? place
                    : other++ < place ? other - 1
                                      : other;
        crash(n.get());
        n->restart_ms = second_ms - 200 + 200 * (uint64_t)order;
    }
    EXPECT_TRUE(run_until_leader(sim, 20000)) << "seed " << seed;
    EXPECT_EQ(sim.failure, "") << "seed " << seed;
    uint64_t took_ms = sim.now_ms - second_ms;
    tear_down(sim);
    return took_ms;
}

// A starting host waited for the end of any lease that it might have extended,
// so that callers waited for an election timeout after each loss of power.
TEST(Raft, ALeaderIsFoundSoonAfterAllHostsRestart)
{
    for (int place = 0; place < 2; place++) {
        for (uint64_t seed = 1; seed <= 60; seed++) {
            uint64_t min_ms;
            EXPECT_LE(restart_all(seed, place, &min_ms), 100u)
                << "seed " << seed << ", leader at " << place;
        }
    }
}

// The same when the host that led comes back last: the others may wait for the
// end of its lease, but no longer.
TEST(Raft, ALeaderIsFoundWithoutTheLastOneWithinItsLease)
{
    for (uint64_t seed = 1; seed <= 60; seed++) {
        uint64_t min_ms;
        uint64_t took_ms = restart_all(seed, 2, &min_ms);
        EXPECT_LE(took_ms, min_ms + 100) << "seed " << seed;
    }
}

// Creates four voters, as after the first half of a planned replacement.
bool form_four_voters(Simulation &sim)
{
    create_nodes(sim, 4, 0);
    sim.lossy = false;
    raft_bootstrap(sim.nodes[0]->replica, sim.nodes[0]->now());
    for (int i = 1; i < 4; i++) {
        if (!run_until_leader(sim, 5000) || !add_member(sim, i, 10000)) {
            return false;
        }
    }
    run_for(sim, 500);
    return current_leader(sim) != nullptr;
}

// Guards against LOST: a host that was being replaced was killed, another one lost
// its disk at the same time, and the other two of four found no leader for good.
TEST(Raft, AReplacedHostAndALostDiskLeaveALeader)
{
    for (uint64_t seed = 1; seed <= 120; seed++) {
        Simulation sim(seed);
        ASSERT_TRUE(form_four_voters(sim)) << "seed " << seed;
        for (int i = 0; i < 10; i++) {
            propose(sim);
            run_for(sim, sim.random_below(30));
        }
        const int leader = current_leader(sim)->number;
        const int gone = (leader + (int)(seed % 4)) % 4;
        const int lost = (gone + 1 + (int)(seed / 4 % 3)) % 4;
        crash(sim.nodes[gone].get());
        sim.nodes[gone]->restart_ms = UINT64_MAX;
        run_for(sim, sim.random_below(3) * 250);
        crash(sim.nodes[lost].get());
        sim.nodes[lost]->disk = Disk();
        sim.nodes[lost]->restart_ms = sim.now_ms + sim.random_below(3000);
        sim.lossy = seed % 2 == 0;
        run_for(sim, 4000);
        ASSERT_TRUE(run_until_leader(sim, 10000)) << "seed " << seed;
        propose(sim);
        EXPECT_TRUE(add_member(sim, lost, 10000)) << "seed " << seed;
        EXPECT_EQ(sim.failure, "") << "seed " << seed;
        EXPECT_GE(sim.acked.size(), 9u);
        tear_down(sim);
    }
}

// Cuts hosts a and b off from all others, and loses what is on its way between.
void cut_off_pair(Simulation &sim, int a, int b)
{
    auto in_pair = [&](int i) { return i == a || i == b; };
    for (int i = 0; i < (int)sim.nodes.size(); i++) {
        for (int j = 0; j < (int)sim.nodes.size(); j++) {
            sim.link_cut[i][j] = in_pair(i) != in_pair(j);
        }
    }
    for (Message &m : sim.network) {
        free_message(m);
    }
    sim.network.clear();
}

bool is_listed(const Node *n, uint64_t id, raft_role role)
{
    const fp_list *list = &raft_members(n->replica)->list;
    const raft_member *member = (const raft_member *)list->items;
    for (uint32_t i = 0; i < list->count; i++) {
        if (member[i].id == id && member[i].role == role) {
            return true;
        }
    }
    return false;
}

// Guards against LOST: a voter was removed by the two that were in touch, one of
// these lost its disk, and the others elected a leader of four without the change
// and without what was accepted after it.
TEST(Raft, ARemovalIsNotUndoneByASubstitute)
{
    for (uint64_t seed = 1; seed <= 40; seed++) {
        Simulation sim(seed);
        ASSERT_TRUE(form_four_voters(sim)) << "seed " << seed;
        Node *leader = current_leader(sim);
        const int removed = (leader->number + 1) % 4;
        const int lost = (leader->number + 2) % 4;
        cut_off_pair(sim, leader->number, lost);
        ASSERT_EQ(raft_member_remove(leader->replica,
                                     raft_id(sim.nodes[removed]->replica)),
                  FP_OK);
        for (int i = 0; i < 10; i++) {
            propose(sim);
            run_for(sim, 20);
        }
        crash(leader);
        leader->restart_ms = UINT64_MAX;
        crash(sim.nodes[lost].get());
        sim.nodes[lost]->disk = Disk();
        sim.nodes[lost]->restart_ms = 0;
        memset(sim.link_cut, 0, sizeof(sim.link_cut));
        run_for(sim, 5000);
        leader->restart_ms = 0;
        ASSERT_TRUE(run_until_leader(sim, 10000)) << "seed " << seed;
        run_for(sim, 1000);
        EXPECT_EQ(sim.failure, "") << "seed " << seed;
        tear_down(sim);
    }
}

// The same where the list grows: the change to four is in two logs and not
// committed, and the other two of three commit without it.
TEST(Raft, AVoterThatIsNotCommittedElectsNobodyWithASubstitute)
{
    for (uint64_t seed = 1; seed <= 40; seed++) {
        Simulation sim(seed);
        create_nodes(sim, 4, 0);
        sim.lossy = false;
        raft_bootstrap(sim.nodes[0]->replica, sim.nodes[0]->now());
        for (int i = 1; i < 3; i++) {
            ASSERT_TRUE(run_until_leader(sim, 5000) &&
                        add_member(sim, i, 10000));
        }
        run_for(sim, 500);
        Node *leader = current_leader(sim);
        ASSERT_NE(leader, nullptr);
        const uint64_t new_id = raft_id(sim.nodes[3]->replica);
        raft_member_add(leader->replica, new_id, sim.nodes[3]->host.c_str(),
                        leader->now());
        for (int i = 0; i < 5000; i++) {
            if (is_listed(leader, new_id, RAFT_VOTER)) {
                break;
            }
            run_for(sim, 1);
        }
        ASSERT_TRUE(is_listed(leader, new_id, RAFT_VOTER));
        cut_off_pair(sim, leader->number, 3);
        run_for(sim, 3000);
        ASSERT_NE(current_leader(sim), leader);
        for (int i = 0; i < 10; i++) {
            propose(sim);
            run_for(sim, 30);
        }
        EXPECT_GE(sim.acked.size(), 5u) << "seed " << seed;
        // One of the two that committed is down, the other one loses its disk.
        const int lost = (leader->number + 1) % 3;
        Node *down = sim.nodes[(leader->number + 2) % 3].get();
        crash(down);
        down->restart_ms = UINT64_MAX;
        crash(sim.nodes[lost].get());
        sim.nodes[lost]->disk = Disk();
        sim.nodes[lost]->restart_ms = 0;
        memset(sim.link_cut, 0, sizeof(sim.link_cut));
        EXPECT_FALSE(run_until_leader(sim, 6000)) << "seed " << seed;
        down->restart_ms = 0;
        EXPECT_TRUE(run_until_leader(sim, 10000)) << "seed " << seed;
        run_for(sim, 1000);
        EXPECT_EQ(sim.failure, "") << "seed " << seed;
        tear_down(sim);
    }
}

// A removal that is in one log only needs the vote and the acknowledgement of the
// voter that it removes, while another one is gone.
TEST(Raft, AVoterDecidesUntilItsRemovalIsCommitted)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        Simulation sim(seed);
        ASSERT_TRUE(form_four_voters(sim)) << "seed " << seed;
        Node *leader = current_leader(sim);
        Node *gone = sim.nodes[(leader->number + 1) % 4].get();
        const int removed = (leader->number + 2) % 4;
        cut_off_pair(sim, leader->number, leader->number);
        ASSERT_EQ(raft_member_remove(leader->replica,
                                     raft_id(sim.nodes[removed]->replica)),
                  FP_OK);
        run_for(sim, 50);
        crash(gone);
        gone->restart_ms = UINT64_MAX;
        crash(leader);
        leader->restart_ms = 0;
        memset(sim.link_cut, 0, sizeof(sim.link_cut));
        run_for(sim, 3000);
        EXPECT_TRUE(run_until_leader(sim, 10000)) << "seed " << seed;
        EXPECT_EQ(sim.failure, "") << "seed " << seed;
        tear_down(sim);
    }
}

// What a leader of four rests on with a substitute is known after a restart of all:
// as soon as the lost disk is back, or while the list is being changed.
TEST(Raft, AllRestartBesideASubstituteAndFindALeader)
{
    for (uint64_t seed = 1; seed <= 60; seed++) {
        Simulation sim(seed);
        ASSERT_TRUE(form_four_voters(sim)) << "seed " << seed;
        propose(sim);
        run_for(sim, 500);
        const int gone = (int)(seed % 4);
        const int lost = (gone + 1 + (int)(seed / 4 % 3)) % 4;
        crash(sim.nodes[gone].get());
        sim.nodes[gone]->restart_ms = UINT64_MAX;
        run_for(sim, 100);
        crash(sim.nodes[lost].get());
        sim.nodes[lost]->disk = Disk();
        sim.nodes[lost]->restart_ms = 0;
        for (int i = 0; i < 4; i++) {
            run_for(sim, 100 + sim.random_below(2500));
            for (auto &n : sim.nodes) {
                if (n->number != gone) {
                    crash(n.get());
                    n->restart_ms = sim.now_ms + sim.random_below(200);
                }
            }
        }
        EXPECT_TRUE(run_until_leader(sim, 10000)) << "seed " << seed;
        EXPECT_TRUE(add_member(sim, lost, 10000)) << "seed " << seed;
        EXPECT_EQ(sim.failure, "") << "seed " << seed;
        tear_down(sim);
    }
}

// Changes the list of four to six hosts at random.
void change_list(Simulation &sim)
{
    Node *leader = current_leader(sim);
    Node *n = sim.nodes[sim.random_below((uint32_t)sim.nodes.size())].get();
    if (leader == nullptr || n->replica == nullptr) {
        return;
    }
    const uint64_t id = raft_id(n->replica);
    if (!is_listed(leader, id, RAFT_VOTER)) {
        raft_member_add(leader->replica, id, n->host.c_str(), leader->now());
    }
    else if (raft_members(leader->replica)->list.count > 3) {
        raft_member_remove(leader->replica, id);
    }
}

// One host at a time has lost its disk and is no voter again yet.
TEST(Raft, SubstitutesHoldWhileTheListChanges)
{
    const uint64_t first = seed_from_env(1);
    for (uint64_t seed = first; seed < first + runs_from_env(150); seed++) {
        Simulation sim(seed);
        const int hosts = 4 + (int)(seed % 3);
        create_nodes(sim, hosts, 0);
        sim.lossy = false;
        raft_bootstrap(sim.nodes[0]->replica, sim.nodes[0]->now());
        for (int i = 1; i < 4; i++) {
            ASSERT_TRUE(run_until_leader(sim, 5000) &&
                        add_member(sim, i, 10000));
        }
        sim.lossy = true;
        Node *lost = nullptr;
        for (uint32_t round = 0; round < 40 && sim.failure.empty(); round++) {
            if (sim.random_chance(0.4)) {
                inject_failure(sim, hosts);
            }
            if (sim.random_chance(0.6)) {
                change_list(sim);
            }
            Node *leader = current_leader(sim);
            if (lost != nullptr && leader != nullptr &&
                lost->replica != nullptr &&
                is_listed(leader, raft_id(lost->replica), RAFT_VOTER) &&
                raft_member_add(leader->replica, raft_id(lost->replica),
                                lost->host.c_str(),
                                leader->now()) == FP_OK) {
                lost = nullptr; // its change is committed
            }
            if (lost == nullptr && sim.random_chance(0.2)) {
                lost = sim.nodes[sim.random_below((uint32_t)hosts)].get();
                crash(lost);
                lost->disk = Disk();
                lost->restart_ms = sim.now_ms + sim.random_below(1500);
            }
            for (uint32_t i = sim.random_below(8); i > 0; i--) {
                propose(sim);
                run_for(sim, sim.random_below(60));
            }
            run_for(sim, sim.random_below(800));
        }
        ASSERT_EQ(sim.failure, "")
            << "replay: FILBERTPATH_SEED=" << seed
            << " build/unit --gtest_filter=Raft.Substitutes*";
        tear_down(sim);
    }
}

// One disk is lost at a random time among other failures of four voters.
TEST(Raft, FourVotersHoldUnderRandomFailures)
{
    const uint64_t first = seed_from_env(1);
    for (uint64_t seed = first; seed < first + runs_from_env(300); seed++) {
        Simulation sim(seed);
        ASSERT_TRUE(form_four_voters(sim)) << "seed " << seed;
        sim.lossy = true;
        const int lost = (int)sim.random_below(4);
        const uint32_t round_of_loss = sim.random_below(20);
        for (uint32_t round = 0; round < 30 && sim.failure.empty(); round++) {
            if (sim.random_chance(0.5)) {
                inject_failure(sim, 4);
            }
            if (round == round_of_loss) {
                Node *n = sim.nodes[lost].get();
                crash(n);
                n->disk = Disk();
                n->restart_ms = sim.now_ms + sim.random_below(1500);
            }
            for (uint32_t i = sim.random_below(15); i > 0; i--) {
                propose(sim);
                run_for(sim, sim.random_below(60));
            }
            run_for(sim, sim.random_below(1000));
        }
        ASSERT_EQ(sim.failure, "")
            << "replay: FILBERTPATH_SEED=" << seed
            << " build/unit --gtest_filter=Raft.FourVoters*";
        tear_down(sim);
    }
}

// The command to add a host that has just lost its disk was answered with
// success while the leader knew only the lost identity, which was still a
// member: the operator took the host for repaired and lost the next disk.
TEST(Raft, ASilentMemberIsNotAddedAgain)
{
    Simulation sim(3);
    ASSERT_TRUE(form_three_voters(sim));
    run_for(sim, 500);
    Node *leader = current_leader(sim);
    ASSERT_NE(leader, nullptr);
    Node *lost = sim.nodes[(leader->number + 1) % 3].get();
    uint64_t lost_id = raft_id(lost->replica);
    EXPECT_EQ(raft_member_add(leader->replica, lost_id, lost->host.c_str(),
                              leader->now()),
              FP_OK) << "it is a member and answers";
    crash(lost);
    lost->restart_ms = UINT64_MAX;
    run_for(sim, 1000);
    ASSERT_EQ(current_leader(sim), leader);
    EXPECT_EQ(raft_member_add(leader->replica, lost_id, lost->host.c_str(),
                              leader->now()),
              FP_ERR_NOT_FOUND);
    tear_down(sim);
}

// A replica that lost its disk restarts empty. It must not vote as its old
// identity: together with a replica that lags it could elect a leader that
// lacks acknowledged entries.
TEST(Raft, EmptyDiskDoesNotVoteAsItsOldIdentity)
{
    Simulation sim(7);
    ASSERT_TRUE(form_three_voters(sim));
    // Host 2 is cut off and misses what hosts 0 and 1 acknowledge.
    for (int i = 0; i < 2; i++) {
        sim.link_cut[2][i] = sim.link_cut[i][2] = true;
    }
    for (int i = 0; i < 10; i++) {
        propose(sim);
        run_for(sim, 50);
    }
    uint64_t acked = sim.acked.size();
    ASSERT_GE(acked, 5u);
    // Host 1 loses its disk and host 0 stops, which leaves hosts 1 and 2.
    replace_disk(sim, 1);
    crash(sim.nodes[0].get());
    sim.nodes[0]->restart_ms = UINT64_MAX;
    memset(sim.link_cut, 0, sizeof(sim.link_cut));
    EXPECT_FALSE(run_until_leader(sim, 20000));
    EXPECT_EQ(sim.failure, "");
    // Host 0 restarts and is elected, since its log is longest.
    sim.nodes[0]->restart_ms = 0;
    EXPECT_TRUE(run_until_leader(sim, 20000));
    run_for(sim, 2000);
    EXPECT_EQ(sim.failure, "");
    tear_down(sim);
}

// A host that no longer receives from the leader asks for votes while the
// leader lease is valid. No other host may vote for it within the lease:
// neither one that heard the leader nor one that did and has restarted since,
// nor both together.
TEST(Raft, NoSecondLeaderWithinALease)
{
    for (int restart = 0; restart < 3; restart++) {
        for (uint64_t seed = 1; seed <= 40; seed++) {
            Simulation sim(seed);
            ASSERT_TRUE(form_three_voters(sim));
            ASSERT_EQ(current_leader(sim), sim.nodes[0].get());
            // Host 2 receives nothing from the leader.
            sim.link_cut[0][2] = true;
            run_for(sim, 2000 + sim.random_below(1200));
            ASSERT_EQ(current_leader(sim), sim.nodes[0].get());
            for (int i = 0; i < 3; i++) {
                sim.link_cut[0][i] = sim.link_cut[i][0] = true;
            }
            for (int i = 1; i <= restart; i++) {
                crash(sim.nodes[i].get());
                sim.nodes[i]->restart_ms = 0;
            }
            run_for(sim, 4000);
            EXPECT_EQ(sim.failure, "") << "seed " << seed;
            EXPECT_NE(current_leader(sim), nullptr);
            tear_down(sim);
        }
    }
}

// A follower that did not vote for the leader extends its lease, restarts, and
// is asked for its vote: the record of its vote alone would not show the lease.
TEST(Raft, NoLeaseIsForgottenByAHostThatVotedForAnother)
{
    for (uint64_t seed = 1; seed <= 40; seed++) {
        Simulation sim(seed);
        ASSERT_TRUE(form_three_voters(sim));
        run_for(sim, 500);
        // Host 2 is cut off while another leader than host 0 is elected, and
        // follows that one afterwards.
        for (int i = 0; i < 2; i++) {
            sim.link_cut[2][i] = sim.link_cut[i][2] = true;
        }
        propose(sim);
        run_for(sim, 200);
        raft_transfer_leadership(sim.nodes[0]->replica, sim.nodes[0]->now());
        run_for(sim, 1000);
        ASSERT_EQ(current_leader(sim), sim.nodes[1].get());
        memset(sim.link_cut, 0, sizeof(sim.link_cut));
        sim.link_cut[1][0] = true; // host 0 hears nothing and may vote
        run_for(sim, 3000);
        ASSERT_EQ(current_leader(sim), sim.nodes[1].get());
        // The leader is cut off; host 2 restarts at that moment.
        for (int i = 0; i < 3; i++) {
            sim.link_cut[1][i] = sim.link_cut[i][1] = true;
        }
        crash(sim.nodes[2].get());
        sim.nodes[2]->restart_ms = 0;
        run_for(sim, 4000);
        EXPECT_EQ(sim.failure, "") << "seed " << seed;
        EXPECT_NE(current_leader(sim), nullptr);
        tear_down(sim);
    }
}

// A follower that was a candidate of the leader's term itself, or voted for
// another, records the leader before it acknowledges its first message.
TEST(Raft, NoLeaseIsForgottenThatWasExtendedInTheTermOfAnotherVote)
{
    Simulation sim(3);
    ASSERT_TRUE(form_three_voters(sim));
    run_for(sim, 500);
    Node *leader = current_leader(sim);
    ASSERT_NE(leader, nullptr);
    Node *voter = sim.nodes[(leader->number + 1) % 3].get();
    crash(voter);
    voter->disk.vote.term = raft_term(leader->replica);
    voter->disk.vote.voted_for = voter->disk.id;
    voter->disk.vote.leased_to = voter->disk.id;
    voter->restart_ms = 0;
    run_for(sim, 400);
    ASSERT_EQ(current_leader(sim), leader);
    EXPECT_EQ(voter->disk.vote.leased_to, raft_id(leader->replica));
    EXPECT_EQ(voter->disk.vote.voted_for, voter->disk.id);
    tear_down(sim);
}

// The first requests after a restart are lost on links that are cut for a
// moment, without a new connection afterwards.
TEST(Raft, LostRequestsAfterARestartAreRepeatedSoon)
{
    for (uint64_t seed = 1; seed <= 40; seed++) {
        Simulation sim(seed);
        ASSERT_TRUE(form_three_voters(sim));
        run_for(sim, 500);
        for (auto &n : sim.nodes) {
            crash(n.get());
            n->restart_ms = 0;
        }
        memset(sim.link_cut, true, sizeof(sim.link_cut));
        run_for(sim, 100);
        memset(sim.link_cut, 0, sizeof(sim.link_cut));
        uint64_t joined_ms = sim.now_ms;
        ASSERT_TRUE(run_until_leader(sim, 20000)) << "seed " << seed;
        EXPECT_LE(sim.now_ms - joined_ms, 3 * sim.times.heartbeat_ms + 100)
            << "seed " << seed;
        tear_down(sim);
    }
}

// A request for votes that the leader sent before it led arrives late, at a
// follower that has extended its lease since: the lease is still in force.
TEST(Raft, ALateRequestOfTheLeaderReleasesNoLease)
{
    Simulation sim(3);
    ASSERT_TRUE(form_three_voters(sim));
    run_for(sim, 500);
    Node *leader = current_leader(sim);
    ASSERT_NE(leader, nullptr);
    Node *voter = sim.nodes[(leader->number + 1) % 3].get();
    Node *other = sim.nodes[(leader->number + 2) % 3].get();
    uint64_t term = raft_term(leader->replica);
    crash(voter);
    start_node(voter);
    for (bool pre : {true, false}) {
        msg_vote late = {};
        late.from_id = raft_id(leader->replica);
        late.to_id = raft_id(voter->replica);
        late.term = term;
        late.pre = pre;
        late.last_index = 1;
        raft_receive(voter->replica, MSG_VOTE, &late, voter->now());
    }
    msg_vote wanted = {};
    wanted.from_id = raft_id(other->replica);
    wanted.to_id = raft_id(voter->replica);
    wanted.term = term + 1;
    wanted.last_index = raft_last_index(other->replica);
    wanted.last_term = term;
    raft_receive(voter->replica, MSG_VOTE, &wanted, voter->now());
    EXPECT_EQ(raft_term(voter->replica), term) << "it has voted";
    tear_down(sim);
}

// Each chunk that was repeated over a slow link made one more stream of chunks.
TEST(Raft, ASnapshotCrossesASlowLinkOnce)
{
    const uint64_t link_ms = 800;
    Simulation sim(5);
    sim.lossy = false;
    ASSERT_TRUE(form_three_voters(sim));
    run_for(sim, 500);
    Node *leader = current_leader(sim);
    ASSERT_NE(leader, nullptr);
    Node *slow = sim.nodes[(leader->number + 1) % 3].get();
    crash(slow);
    slow->restart_ms = UINT64_MAX;
    for (int i = 0; i < 40; i++) {
        std::string value(60000, (char)('a' + i % 26));
        uint64_t index;
        ASSERT_EQ(raft_propose(leader->replica, value.data(),
                               (uint32_t)value.size(), &index),
                  FP_OK);
        run_for(sim, 20);
    }
    for (int i = 0; i < 1100; i++) { // more than are kept behind a snapshot
        propose(sim);
        if (i % 50 == 0) {
            run_for(sim, 20);
        }
    }
    run_for(sim, 200);
    std::string text = save_state(leader->state);
    fp_blob blob = {(uint8_t *)text.data(), (uint32_t)text.size()};
    raft_compact(leader->replica, &blob);
    run_for(sim, 100);
    slow->restart_ms = sim.now_ms;
    const uint64_t chunks =
        (text.size() + MSG_SNAPSHOT_CHUNK_BYTES - 1) / MSG_SNAPSHOT_CHUNK_BYTES;
    uint64_t sent = 0;
    std::set<const void *> delayed;
    const uint64_t end_ms = sim.now_ms + (chunks + 4) * (link_ms + 100);
    while (sim.now_ms < end_ms && slow->state.size() < leader->state.size()) {
        std::set<const void *> under_way;
        step(sim);
        for (Message &m : sim.network) {
            if (m.type == MSG_SNAPSHOT) {
                under_way.insert(m.record);
                if (delayed.count(m.record) == 0) {
                    m.at_ms += link_ms;
                    sent++;
                }
            }
        }
        delayed = under_way;
    }
    EXPECT_EQ(slow->state.size(), leader->state.size());
    EXPECT_GE(chunks, 9u);
    EXPECT_LE(sent, chunks + 4);
    EXPECT_EQ(sim.failure, "");
    tear_down(sim);
}

// The leader's disk is slow. An entry that one follower has synced and the
// leader has not is on one disk of three, and must not be acknowledged.
TEST(Raft, LeaderCountsItselfOnlyOnceSynced)
{
    Simulation sim(5);
    ASSERT_TRUE(form_three_voters(sim));
    ASSERT_EQ(current_leader(sim), sim.nodes[0].get());
    sim.link_cut[0][2] = sim.link_cut[2][0] = true;
    run_for(sim, 100);
    sim.nodes[0]->sync_max_ms = 100000;
    propose(sim);
    run_for(sim, 400);
    // Only host 1 has the entry on disk; the leader loses it in the crash, and
    // host 1 stays down.
    crash(sim.nodes[0].get());
    crash(sim.nodes[1].get());
    sim.nodes[0]->sync_max_ms = 6;
    sim.nodes[1]->restart_ms = sim.now_ms + 20000;
    memset(sim.link_cut, 0, sizeof(sim.link_cut));
    ASSERT_TRUE(run_until_leader(sim, 15000));
    run_for(sim, 20000);
    EXPECT_EQ(sim.failure, "");
    tear_down(sim);
}

// During a leadership transfer the state of every host stays fresh, that of
// the old and the new leader too.
TEST(Raft, StaysFreshDuringLeadershipTransfer)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        Simulation sim(seed);
        ASSERT_TRUE(form_three_voters(sim));
        run_for(sim, 500);
        for (int round = 0; round < 5; round++) {
            Node *leader = current_leader(sim);
            ASSERT_NE(leader, nullptr);
            raft_transfer_leadership(leader->replica, leader->now());
            for (int i = 0; i < 100 && sim.failure.empty(); i++) {
                step(sim);
                for (auto &n : sim.nodes) {
                    ASSERT_TRUE(raft_is_fresh(n->replica, n->now()))
                        << n->host << ", seed " << seed;
                }
            }
            EXPECT_NE(current_leader(sim), leader);
        }
        EXPECT_EQ(sim.failure, "");
        tear_down(sim);
    }
}

// A leader whose disk fails steps down, its state no longer counts as fresh,
// and another replica is elected.
TEST(Raft, StepsDownWhenItsDiskFails)
{
    Simulation sim(3);
    ASSERT_TRUE(form_three_voters(sim));
    Node *leader = current_leader(sim);
    ASSERT_NE(leader, nullptr);
    raft_disk_failed(leader->replica, leader->now());
    EXPECT_FALSE(raft_leader_ready(leader->replica, leader->now()));
    EXPECT_FALSE(raft_is_fresh(leader->replica, leader->now()));
    ASSERT_TRUE(run_until_leader(sim, 10000));
    EXPECT_NE(current_leader(sim), leader);
    run_for(sim, 3000);
    EXPECT_EQ(sim.failure, "");
    tear_down(sim);
}

// After one failed write a replica was out until its process ended: two full
// disks in turn left the cell without a leader for good.
TEST(Raft, ReplicasVoteAgainAfterFullDisksOnAllHostsInTurn)
{
    for (uint64_t seed = 1; seed <= 40; seed++) {
        Simulation sim(seed);
        ASSERT_TRUE(form_three_voters(sim));
        for (int round = 0; round < 6 && sim.failure.empty(); round++) {
            Node *n = sim.nodes[round % 3].get();
            n->disk_full_until_ms = sim.now_ms + 2000;
            for (int i = 0; i < 40; i++) {
                propose(sim);
                run_for(sim, 100);
            }
            EXPECT_FALSE(raft_awaits_disk(n->replica)) << "seed " << seed;
        }
        // One host has lost its disk for good: the others suffice.
        crash(sim.nodes[seed % 3].get());
        sim.nodes[seed % 3]->restart_ms = UINT64_MAX;
        EXPECT_TRUE(run_until_leader(sim, 5000)) << "seed " << seed;
        EXPECT_EQ(sim.failure, "") << "seed " << seed;
        EXPECT_GE(sim.acked.size(), 150u) << "seed " << seed;
        tear_down(sim);
    }
}

// While its disk fails a replica sends nothing that tells of its log or its
// vote: two replicas with full disks elect nobody and commit nothing.
TEST(Raft, NothingIsVotedOrAcknowledgedWhileDisksFail)
{
    for (uint64_t seed = 1; seed <= 40; seed++) {
        Simulation sim(seed);
        ASSERT_TRUE(form_three_voters(sim));
        Node *leader = current_leader(sim);
        ASSERT_NE(leader, nullptr);
        run_for(sim, 500);
        for (auto &n : sim.nodes) {
            if (n.get() != leader) {
                n->disk_full_until_ms = sim.now_ms + 6000;
            }
        }
        run_for(sim, 20);
        uint64_t acked = sim.acked.size();
        for (int i = 0; i < 40; i++) {
            propose(sim);
            run_for(sim, 100);
            EXPECT_EQ(sim.acked.size(), acked) << "seed " << seed;
        }
        EXPECT_EQ(current_leader(sim), nullptr) << "seed " << seed;
        ASSERT_TRUE(run_until_leader(sim, 5000)) << "seed " << seed;
        EXPECT_EQ(sim.failure, "") << "seed " << seed;
        tear_down(sim);
    }
}

// A replica that cannot vote answers no pre-vote either: the one that asked
// would start one election after the other and raise the term each time.
TEST(Raft, AReplicaWithAFullDiskGrantsNoPreVote)
{
    Simulation sim(5);
    ASSERT_TRUE(form_three_voters(sim));
    Node *leader = current_leader(sim);
    ASSERT_NE(leader, nullptr);
    Node *full = sim.nodes[(leader->number + 1) % 3].get();
    Node *sound = sim.nodes[(leader->number + 2) % 3].get();
    full->disk_full_until_ms = sim.now_ms + 60000;
    propose(sim);
    run_for(sim, 500);
    uint64_t term = raft_term(sound->replica);
    crash(leader);
    leader->restart_ms = UINT64_MAX;
    run_for(sim, 10000);
    EXPECT_EQ(raft_term(sound->replica), term);
    EXPECT_EQ(sim.failure, "");
    tear_down(sim);
}

// A replica that was killed may have read a log that is not on the disk yet.
// While a disk that hangs, or is full, does not take it, the replica extends no
// leader's lease.
TEST(Raft, AStartWithADiskThatFailsExtendsNoLease)
{
    for (bool hangs : {true, false}) {
        Simulation sim(6);
        ASSERT_TRUE(form_three_voters(sim));
        Node *leader = current_leader(sim);
        ASSERT_NE(leader, nullptr);
        run_for(sim, 1000);
        for (auto &n : sim.nodes) {
            if (n.get() != leader) {
                crash(n.get());
                n->restart_ms = UINT64_MAX;
            }
        }
        Node *started = sim.nodes[(leader->number + 1) % 3].get();
        started->sync_max_ms = hangs ? 100000 : 6;
        started->disk_full_until_ms = hangs ? 0 : sim.now_ms + 10000;
        started->restart_ms = 0;
        run_for(sim, 3000);
        EXPECT_TRUE(raft_awaits_disk(started->replica));
        EXPECT_EQ(current_leader(sim), nullptr);
        started->sync_max_ms = 6;
        ASSERT_TRUE(run_until_leader(sim, 120000));
        EXPECT_EQ(sim.failure, "");
        tear_down(sim);
    }
}

} // namespace
