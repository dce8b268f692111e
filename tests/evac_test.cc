// Tests of evacuated data centres and of cold targets.
#include "plan_world.h"

extern "C" {
#include "bench/replay.h"
}

namespace {

using plan_sim::FleetSim;
using plan_sim::RunOrder;
using plan_sim::StepSpec;

struct EvacSim : FleetSim {
    // Adds a target of 8 processors in a data centre.
    void put_in(const std::string &id, const std::string &data_centre,
                uint32_t cold_ms = 0, uint64_t sequence = 0,
                const std::string &rack = "r1")
    {
        fleet_target_rec rec;
        memset(&rec, 0, sizeof(rec));
        g_strlcpy(rec.id, id.c_str(), FLEET_NAME_BYTES);
        g_strlcpy(rec.address, ("10.0.0.1:" + id).c_str(), FLEET_NAME_BYTES);
        g_strlcpy(rec.service, "svc", FLEET_NAME_BYTES);
        g_strlcpy(rec.rack, rack.c_str(), FLEET_NAME_BYTES);
        g_strlcpy(rec.data_centre, data_centre.c_str(), FLEET_NAME_BYTES);
        rec.born_ms = 1;
        rec.cpu_milli = 8000;
        rec.memory_mb = 100000;
        rec.sequence = sequence;
        rec.cold_ms = cold_ms;
        ASSERT_EQ(apply_change(&FLEET_TARGET_SCHEMA, &rec).err, FP_OK);
        if (planner != nullptr) {
            set_usable(id);
            ((plan_target *)find_target(id)->plan)->runs_known = true;
        }
    }
    void evacuate(const std::string &data_centre, bool withdrawn = false,
                  const std::string &change_id = "")
    {
        fleet_evacuation order;
        memset(&order, 0, sizeof(order));
        g_strlcpy(order.data_centre, data_centre.c_str(), FLEET_NAME_BYTES);
        g_strlcpy(order.head.change_id, change_id.c_str(), NAME_BYTES);
        order.withdrawn = withdrawn;
        ASSERT_EQ(apply_change(&FLEET_EVACUATION_SCHEMA, &order).err, FP_OK);
    }
    // Two data centres, "east" and "west", with so many targets each.
    void two_data_centres(int each = 1, bool advised = false)
    {
        configure({"q"}, advised);
        for (int i = 0; i < each; i++) {
            put_in("e" + std::to_string(i), "east");
            put_in("w" + std::to_string(i), "west");
        }
        become_leader();
        plan_reconciled(planner);
    }
    uint32_t starts_on(char prefix, size_t from = 0)
    {
        uint32_t count = 0;
        for (size_t i = from; i < start_orders.size(); i++) {
            count += start_orders[i].target[0] == prefix;
        }
        return count;
    }
    plan_target *plan_of(const std::string &id)
    {
        return (plan_target *)find_target(id)->plan;
    }
    // Starts a step of lasting tasks, all of them on "east".
    void start_lasting_on_east(uint32_t count, bool keeps_floor,
                               uint32_t may_miss)
    {
        evacuate("west");
        StepSpec spec;
        spec.count = count;
        spec.lasting = true;
        submit(1, {spec});
        fleet_step *step = (fleet_step *)find_job(1)->submit.steps.items;
        step->keeps_floor = keeps_floor;
        step->may_miss = may_miss;
        run_pass();
        confirm_starts();
        ASSERT_EQ(starts_on('e'), count);
        evacuate("west", true);
        run_pass(10000);
        ASSERT_EQ(stop_orders.size(), 0u);
    }
};

TEST(Evac, AnEvacuatedDataCentreGetsNoStarts)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.evacuate("east");
    sim.submit(1, {StepSpec{.count = 12}});
    sim.run_pass();
    EXPECT_EQ(sim.starts_on('e'), 0u);
    EXPECT_EQ(sim.starts_on('w'), 8u);
    EXPECT_FALSE(plan_target_takes_starts(sim.find_target("e0")));
    sim.evacuate("east", true);
    sim.run_pass();
    EXPECT_EQ(sim.starts_on('e'), 4u);
}

TEST(Evac, TargetsThatAnnounceThemselvesLaterGetNoStarts)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.evacuate("east");
    sim.put_in("e9", "east");
    sim.submit(1, {StepSpec{.count = 12}});
    sim.run_pass();
    EXPECT_EQ(sim.starts_on('e'), 0u);
}

TEST(Evac, ANewLeaderKeepsTheEvacuation)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.evacuate("east");
    plan_free(sim.planner);
    sim.become_leader(2048);
    plan_reconciled(sim.planner);
    sim.submit(1, {StepSpec{.count = 12}});
    sim.run_pass();
    EXPECT_EQ(sim.starts_on('e'), 0u);
    EXPECT_EQ(sim.starts_on('w'), 8u);
}

TEST(Evac, ASnapshotKeepsTheEvacuation)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.evacuate("east", false, "first");
    sim.evacuate("west", false, "second");
    sim.evacuate("west", true, "third");
    fp_blob state;
    fleet_save(sim.fleet_state, &state);
    fleet *loaded = fleet_new(1000);
    ASSERT_EQ(fleet_load(loaded, &state), FP_OK);
    EXPECT_TRUE(fleet_is_evacuated(loaded, "east"));
    EXPECT_FALSE(fleet_is_evacuated(loaded, "west"));
    EXPECT_TRUE(fleet_knows_data_centre(loaded, "west"));
    auto *west =
        (fleet_data_centre *)g_hash_table_lookup(loaded->data_centres, "west");
    EXPECT_EQ(west->orders.length, 2u);
    fp_blob_free(&state);
    fleet_free(loaded);
}

// In a rolling restart a host of the earlier version loads snapshots of newer
// ones; it refuses those with an item of a type that it doesn't know.
TEST(Evac, ASnapshotHasNoItemOfANewType)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.submit(1, {StepSpec{.count = 1}});
    sim.evacuate("east");
    fp_blob state;
    fleet_save(sim.fleet_state, &state);
    fleet_snapshot snap;
    ASSERT_EQ(fp_decode(&FLEET_SNAPSHOT_SCHEMA, state.data, state.size_bytes,
                        &snap),
              FP_OK);
    auto *item = (fleet_snapshot_item *)snap.items.items;
    for (uint32_t i = 0; i < snap.items.count; i++) {
        uint32_t type = 0;
        fp_peek_type(item[i].record.data, item[i].record.size_bytes, &type);
        EXPECT_LE(type, (uint32_t)FLEET_JOB_SAVED);
    }
    fp_record_free(&FLEET_SNAPSHOT_SCHEMA, &snap);
    fp_blob_free(&state);
}

// The state before data centres were recorded: only its targets name them.
TEST(Evac, AnOlderSnapshotLoads)
{
    EvacSim sim;
    sim.two_data_centres();
    g_hash_table_remove_all(sim.fleet_state->data_centres);
    fp_blob state;
    fleet_save(sim.fleet_state, &state);
    fleet *loaded = fleet_new(1000);
    ASSERT_EQ(fleet_load(loaded, &state), FP_OK);
    EXPECT_FALSE(fleet_is_evacuated(loaded, "east"));
    EXPECT_TRUE(fleet_knows_data_centre(loaded, "east"));
    fp_blob_free(&state);
    fleet_free(loaded);
}

// A copy of an order that was held back on its way changes nothing after the
// orders that came later.
TEST(Evac, ALateCopyOfAnOrderChangesNothing)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.evacuate("east", false, "order");
    sim.evacuate("east", false, "order");
    EXPECT_TRUE(fleet_is_evacuated(sim.fleet_state, "east"));
    sim.evacuate("east", true, "withdrawal");
    sim.evacuate("east", false, "order");
    EXPECT_FALSE(fleet_is_evacuated(sim.fleet_state, "east"));
    sim.evacuate("east", false, "second order");
    sim.evacuate("east", true, "withdrawal");
    EXPECT_TRUE(fleet_is_evacuated(sim.fleet_state, "east"));
}

TEST(Evac, WithdrawingWhatIsNotInForceIsAccepted)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.evacuate("east", true);
    EXPECT_FALSE(fleet_is_evacuated(sim.fleet_state, "east"));
}

// All of its targets have left: an order on it is still one on a known place.
TEST(Evac, ADataCentreStaysKnownWithoutTargets)
{
    EvacSim sim;
    sim.two_data_centres();
    fleet_target_removal removal;
    memset(&removal, 0, sizeof(removal));
    g_strlcpy(removal.id, "e0", FLEET_NAME_BYTES);
    sim.apply_change(&FLEET_TARGET_REMOVAL_SCHEMA, &removal);
    EXPECT_TRUE(fleet_knows_data_centre(sim.fleet_state, "east"));
    EXPECT_FALSE(fleet_knows_data_centre(sim.fleet_state, "north"));
    sim.evacuate("east");
    sim.put_in("e0", "east");
    sim.submit(1, {StepSpec{.count = 12}});
    sim.run_pass();
    EXPECT_EQ(sim.starts_on('e'), 0u);
}

TEST(Evac, WithAllDataCentresEvacuatedWorkWaits)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.evacuate("east");
    sim.evacuate("west");
    EXPECT_EQ(sim.submit(1, {StepSpec{.count = 2}}).err, FP_OK);
    const fleet_submit job = {};
    EXPECT_EQ(plan_admit(sim.planner, &job, nullptr).err, FP_OK);
    for (int i = 0; i < 20; i++) {
        sim.run_pass(1000);
    }
    EXPECT_EQ(sim.start_orders.size(), 0u);
    EXPECT_TRUE(fleet_job_is_live(sim.find_job(1)));
    sim.evacuate("west", true);
    sim.run_pass();
    EXPECT_EQ(sim.starts_on('w'), 2u);
}

TEST(Evac, ThePolicyIsNotAskedAboutEvacuatedTargets)
{
    EvacSim sim;
    sim.two_data_centres(4, true);
    sim.evacuate("east");
    sim.submit(1, {StepSpec{.count = 2}});
    sim.run_pass();
    ASSERT_EQ(sim.queries.size(), 1u);
    for (const auto &id : sim.queries[0].targets) {
        EXPECT_EQ(id[0], 'w');
    }
}

// Tickets that were granted before the order are not used.
TEST(Evac, TicketsOfAnEvacuatedDataCentreAreNotUsed)
{
    EvacSim sim;
    sim.two_data_centres(1, true);
    sim.submit(1, {StepSpec{.count = 2}});
    sim.run_pass();
    ASSERT_EQ(sim.queries.size(), 1u);
    sim.evacuate("east");
    sim.answer_query(sim.queries[0], {"e0"});
    sim.run_pass(100);
    EXPECT_EQ(sim.start_orders.size(), 0u);
}

TEST(Evac, AReservationIsGivenUpAsAWhole)
{
    EvacSim sim;
    sim.two_data_centres(2);
    sim.submit(1, {StepSpec{.count = 32, .estimate_ms = 3000}});
    sim.run_pass();
    sim.confirm_starts();
    sim.submit(2, {StepSpec{.count = 2,
                            .cpu_milli = 8000,
                            .estimate_ms = 1000,
                            .gang = true}});
    for (int i = 0; i < 30 && sim.plan_of("e0")->reserved_for == nullptr &&
                    sim.plan_of("e1")->reserved_for == nullptr;
         i++) {
        sim.run_pass(100);
    }
    plan_step *step = sim.plan_of("e0")->reserved_for != nullptr
                          ? sim.plan_of("e0")->reserved_for
                          : sim.plan_of("e1")->reserved_for;
    ASSERT_NE(step, nullptr);
    sim.evacuate("east");
    EXPECT_EQ(step->reserved_targets, 0u);
    sim.run_pass(200);
    EXPECT_EQ(sim.plan_of("e0")->reserved_for, nullptr);
    EXPECT_EQ(sim.plan_of("e1")->reserved_for, nullptr);
}

TEST(Evac, WorkThatEndsByItselfIsFinished)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.evacuate("west");
    sim.submit(1, {StepSpec{
                      .count = 4, .estimate_ms = 20000, .checkpoints = true}});
    sim.run_pass();
    sim.confirm_starts();
    ASSERT_EQ(sim.starts_on('e'), 4u);
    sim.evacuate("west", true);
    sim.evacuate("east");
    for (int i = 0; i < 15; i++) {
        sim.run_pass(1000);
    }
    EXPECT_EQ(sim.stop_orders.size(), 0u);
}

TEST(Evac, LongWorkWithCheckpointsGoesOnElsewhere)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.evacuate("west");
    sim.submit(1, {StepSpec{.count = 1,
                            .estimate_ms = 600000,
                            .checkpoints = true}});
    sim.submit(2, {StepSpec{.count = 1, .estimate_ms = 600000}});
    sim.run_pass();
    sim.confirm_starts();
    sim.evacuate("west", true);
    sim.evacuate("east");
    sim.run_pass(5000);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    EXPECT_EQ(sim.stop_orders[0].task.job_id, 1u);
    sim.end_run(sim.stop_orders[0], RUN_STOPPED, "saved");
    sim.run_pass(100);
    ASSERT_EQ(sim.start_orders.size(), 3u);
    EXPECT_EQ(sim.start_orders[2].target, "w0");
    EXPECT_EQ(sim.start_orders[2].checkpoint, "saved");
}

TEST(Evac, LastingTasksAreMovedWithinTheirFloor)
{
    EvacSim sim;
    sim.two_data_centres(2);
    sim.start_lasting_on_east(8, true, 2);
    sim.evacuate("east");
    uint32_t moved = 0;
    for (int i = 0; i < 400 && sim.starts_on('w') < 8; i++) {
        sim.run_pass(100);
        // At work: in a state of their run, and not just started.
        uint32_t at_work = 0;
        for (GList *link = ((plan_job *)sim.find_job(1)->plan)->runs.head;
             link != nullptr; link = link->next) {
            auto *run = (plan_run *)link->data;
            at_work += run->state == RUN_ACTIVE &&
                       sim.now_ms >= run->active_since_ms + 1000;
        }
        EXPECT_GE(at_work, 6u);
        if (moved < sim.stop_orders.size() && i % 3 == 2) {
            sim.end_run(sim.stop_orders[moved++], RUN_STOPPED);
        }
        sim.confirm_starts();
    }
    EXPECT_EQ(sim.starts_on('w'), 8u);
    EXPECT_EQ(plan_counters(sim.planner)->evacuated_runs, 8u);
}

TEST(Evac, ALastingTaskWithoutRoomElsewhereStays)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.start_lasting_on_east(4, false, 0);
    sim.evacuate("east");
    sim.submit(2, {StepSpec{.count = 8, .estimate_ms = 500000}});
    sim.run_pass();
    ASSERT_EQ(sim.starts_on('w'), 8u);
    for (int i = 0; i < 20; i++) {
        sim.run_pass(500);
    }
    EXPECT_EQ(sim.stop_orders.size(), 0u);
}

TEST(Evac, AStepThatMayMissNoneStays)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.start_lasting_on_east(4, true, 0);
    sim.evacuate("east");
    for (int i = 0; i < 20; i++) {
        sim.run_pass(500);
    }
    EXPECT_EQ(sim.stop_orders.size(), 0u);
}

TEST(Evac, TheRestKeepsTheLimitOfATeam)
{
    EvacSim sim;
    sim.configure({"q"}, false, 6000);
    sim.put_in("e0", "east");
    sim.put_in("w0", "west");
    sim.become_leader();
    plan_reconciled(sim.planner);
    sim.evacuate("west");
    sim.submit(1, {StepSpec{.count = 4, .estimate_ms = 30000}});
    sim.run_pass();
    sim.confirm_starts();
    ASSERT_EQ(sim.starts_on('e'), 4u);
    sim.evacuate("west", true);
    sim.evacuate("east");
    sim.submit(2, {StepSpec{.count = 8}});
    sim.run_pass();
    EXPECT_EQ(sim.starts_on('w'), 2u);
}

// The order to start is not sent a second time.
TEST(Evac, AnEvacuatedTargetTakesNoResends)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.submit(1, {StepSpec{.count = 16}});
    sim.run_pass();
    ASSERT_GT(sim.starts_on('e'), 0u);
    sim.evacuate("east");
    EXPECT_FALSE(plan_target_takes_starts(sim.find_target("e0")));
    EXPECT_TRUE(plan_target_takes_starts(sim.find_target("w0")));
}

TEST(Evac, TheCapacityLeftIsThatOfTheOthers)
{
    EvacSim sim;
    sim.two_data_centres(2);
    sim.submit(1, {StepSpec{}});
    sim.run_pass();
    EXPECT_EQ(sim.plan_of("e0")->pool->capacity.cpu_milli, 32000u);
    sim.evacuate("east");
    sim.run_pass(200);
    EXPECT_EQ(sim.plan_of("e0")->pool->capacity.cpu_milli, 16000u);
}

TEST(Evac, ColdTargetsFillByDegrees)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.run_pass();
    // The simulated wall clock is 1000 s ahead of the other one; changes are
    // stamped with the latter.
    sim.put_in("w0", "west", 1000000 + 3000, 1);
    sim.submit(1, {StepSpec{.count = 8, .estimate_ms = 60000}});
    sim.run_pass();
    EXPECT_EQ(sim.starts_on('w'), 0u);
    sim.submit(2, {StepSpec{.count = 8, .estimate_ms = 60000}});
    sim.run_pass();
    uint32_t at_once = sim.starts_on('w');
    EXPECT_EQ(at_once, 1u);
    sim.run_pass(1000);
    EXPECT_EQ(sim.starts_on('w'), 2u);
    sim.run_pass(3000);
    EXPECT_EQ(sim.starts_on('w'), 8u);
}

// Small work took the turn of each cold target as it came: a gang, which needs
// several at the same time, waited until they were warm.
TEST(Evac, AGangStartsOnColdTargetsThatTakeSmallWork)
{
    EvacSim sim;
    sim.configure({"small", "q"});
    for (int i = 0; i < 8; i++) {
        sim.put_in("w" + std::to_string(i), "west", 1000000 + 20000);
    }
    sim.become_leader();
    plan_reconciled(sim.planner);
    std::map<uint64_t, std::vector<RunOrder>> ending;
    uint64_t begin_ms = sim.now_ms, started_ms = 0;
    size_t seen = 0;
    for (uint64_t i = 0; i < 500 && started_ms == 0; i++) {
        if (i % 5 == 0) {
            sim.submit(100 + i, {{.cpu_milli = 500, .estimate_ms = 200}},
                       "small");
        }
        if (i == 100) {
            sim.submit(1, {{.count = 6, .cpu_milli = 5000, .gang = true}});
        }
        sim.run_pass(10);
        for (; seen < sim.start_orders.size(); seen++) {
            const RunOrder order = sim.start_orders[seen];
            sim.confirm_start(order);
            ending[sim.now_ms + 200].push_back(order);
            started_ms = order.task.job_id == 1 ? sim.now_ms : started_ms;
        }
        while (!ending.empty() && ending.begin()->first <= sim.now_ms) {
            for (const auto &order : ending.begin()->second) {
                sim.end_run(order, RUN_DONE);
            }
            ending.erase(ending.begin());
        }
    }
    ASSERT_NE(started_ms, 0u);
    EXPECT_LE(started_ms, begin_ms + 1000 + 3000) << "rule LOST";
}

// Tasks that came faster than one in 0.4 s for each cold target waited beside
// targets that were mostly free, the longer the more of them.
TEST(Evac, NoWorkWaitsLongBesideColdTargetsThatAreMostlyFree)
{
    EvacSim sim;
    sim.configure({"q"});
    for (int i = 0; i < 8; i++) {
        sim.put_in("w" + std::to_string(i), "west", 1000000 + 20000);
    }
    sim.become_leader();
    plan_reconciled(sim.planner);
    std::map<uint64_t, std::vector<RunOrder>> ending;
    std::map<uint64_t, uint64_t> submitted_ms;
    uint64_t longest_ms = 0;
    size_t seen = 0;
    for (uint64_t i = 0; i < 1000; i++) {
        if (i % 2 == 0) {
            sim.submit(100 + i, {{.cpu_milli = 500, .estimate_ms = 600}});
            submitted_ms[100 + i] = sim.now_ms;
        }
        sim.run_pass(10);
        for (; seen < sim.start_orders.size(); seen++) {
            const RunOrder order = sim.start_orders[seen];
            sim.confirm_start(order);
            ending[sim.now_ms + 600].push_back(order);
            longest_ms =
                std::max(longest_ms,
                         sim.now_ms - submitted_ms[order.task.job_id]);
        }
        while (!ending.empty() && ending.begin()->first <= sim.now_ms) {
            for (const auto &order : ending.begin()->second) {
                sim.end_run(order, RUN_DONE);
            }
            ending.erase(ending.begin());
        }
    }
    EXPECT_GE(seen, 500u - 150u) << "all but those of the last 3 s";
    EXPECT_LE(longest_ms, 3000u) << "rule LOST";
}

TEST(Evac, AnAnnouncementOfAColdTargetIsRecordedOnce)
{
    EvacSim sim;
    sim.two_data_centres();
    sim.put_in("w0", "west", 6000, 1);
    fleet_target_rec rec = sim.find_target("w0")->rec;
    rec.cold_ms = 5000;
    EXPECT_TRUE(fleet_target_is_recorded(sim.fleet_state, &rec));
    rec.cold_ms = 0;
    EXPECT_TRUE(fleet_target_is_recorded(sim.fleet_state, &rec));
    rec.cold_ms = 20000;
    EXPECT_FALSE(fleet_target_is_recorded(sim.fleet_state, &rec));
}

// Data centres are evacuated one after the other and all at once, the leader
// fails right after an acknowledgement, targets leave, crash and are cut off.
TEST(Evac, NoStartIsOrderedInAnEvacuatedDataCentre)
{
    char why[256] = "";
    replay_load *load = nullptr;
    ASSERT_EQ(replay_read_load("bench/loads/evacuated.yaml", &load, why,
                               sizeof(why)),
              FP_OK)
        << why;
    for (uint32_t seed = 1; seed <= 4; seed++) {
        sim_result *result = sim_replay(load, &PLAN_POLICY_DEFAULT, seed);
        const sim_breaches &breaches = result->breaches;
        EXPECT_EQ(breaches.over_size + breaches.doubled + breaches.over_cap +
                      breaches.stuck + breaches.evacuated,
                  0u)
            << "seed " << seed << ": " << breaches.first;
        sim_result_free(result);
    }
    replay_load_free(load);
}

} // namespace
