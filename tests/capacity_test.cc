// Tests of targets whose capacity changes while they run: it may fall below
// what runs there, and a delayed announcement may arrive after a newer one.

#include "tests/plan_world.h"

using namespace plan_sim;

namespace {

// Starts count against the new capacity at once; what runs is left alone.
TEST(Capacity, NothingStartsOnATargetThatHasShrunkBelowWhatRuns)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 8000);
    sim.become_leader();
    sim.submit(1, {{.count = 6}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 6u);
    sim.confirm_starts();
    sim.put_target("t1", 4000);
    // Work that keeps no capacity free for other work.
    sim.submit(2, {{.count = 4, .lasting = true}});
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 6u);
    EXPECT_TRUE(sim.stop_orders.empty());
    for (size_t i = 0; i < 2; i++) {
        sim.end_run(sim.start_orders[i], RUN_DONE);
    }
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 6u) << "4,000 of 4,000 are in use";
    sim.end_run(sim.start_orders[2], RUN_DONE);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 7u);
    sim.put_target("t1", 8000);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 10u) << "it has grown again";
}

// The idle processors of a target that is over its capacity are none. They
// were a number near 2 to the power of 64.
TEST(Capacity, FillerWorkPrefersAnIdleTargetToOneOverItsCapacity)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 8000);
    sim.become_leader();
    sim.submit(1, {{.count = 8, .lasting = true}});
    sim.run_pass();
    sim.confirm_starts();
    sim.put_target("t1", 4000);
    sim.put_target("t2", 4000);
    sim.set_usable("t2");
    sim.submit(2, {{.count = 1, .fills = true}});
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 9u);
    EXPECT_EQ(sim.start_orders[8].target, "t2");
}

// A reservation for a gang on a target that has shrunk so far that no member
// fits there is given up: the gang reserves elsewhere, others may start here.
TEST(Capacity, AGangReservesElsewhereWhenAReservedTargetShrinks)
{
    FleetSim sim;
    sim.configure({"big", "small"});
    sim.put_target("t1", 100000, 8);
    sim.put_target("t2", 100000, 8);
    sim.become_leader();
    sim.submit(9, {{.count = 1, .accel = 8, .estimate_ms = 2500}}, "small");
    sim.run_pass();
    sim.confirm_starts();
    sim.submit(1, {{.count = 2, .accel = 8, .gang = true}}, "big");
    sim.run_pass(5);
    sim.run_pass(1200); // its latest start is near: both targets are reserved
    sim.submit(2, {{.count = 1, .accel = 1, .estimate_ms = 60000}}, "small");
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 1u);
    // The free target shrinks; a third one comes.
    const std::string free = sim.start_orders[0].target == "t1" ? "t2" : "t1";
    sim.put_target(free, 100000, 4);
    sim.put_target("t3", 100000, 8);
    sim.set_usable("t3");
    sim.run_pass(5);
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 2u);
    EXPECT_EQ(sim.start_orders[1].task.job_id, 2u);
    EXPECT_EQ(sim.start_orders[1].target, free);
    sim.end_run(sim.start_orders[0], RUN_DONE);
    sim.run_pass(5);
    ASSERT_EQ(sim.start_orders.size(), 4u) << "the gang starts";
}

// A delayed announcement of the larger capacity that a target had before would
// let starts bring it over the smaller one. Its next incarnation counts anew.
TEST(Capacity, ALateAnnouncementDoesNotBringBackAnOldCapacity)
{
    FleetSim sim;
    sim.configure({"q"});
    auto announce = [&](uint32_t cpu_milli, uint64_t born_ms,
                        uint64_t sequence, fp_err expected) {
        sim.put_target("t1", cpu_milli, 0, "r1", false, born_ms, 0, "svc",
                       sequence, expected);
        return sim.find_target("t1")->rec.cpu_milli;
    };
    EXPECT_EQ(announce(8000, 1, 3, FP_OK), 8000u);
    EXPECT_EQ(announce(4000, 1, 7, FP_OK), 4000u);
    EXPECT_EQ(announce(8000, 1, 6, FP_ERR_STALE), 4000u);
    fp_blob blob;
    fleet_save(sim.fleet_state, &blob);
    ASSERT_EQ(fleet_load(sim.fleet_state, &blob), FP_OK);
    fp_blob_free(&blob);
    EXPECT_EQ(announce(8000, 1, 6, FP_ERR_STALE), 4000u);
    EXPECT_EQ(announce(8000, 2, 1, FP_OK), 8000u);
}

} // namespace
