// Tests of the plan: queries to the placement policy, and its tickets.

#include "tests/plan_world.h"

using namespace plan_sim;

namespace {

TEST(Plan, AStartWaitsForItsTicketAndCarriesIt)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    sim.put_target("t1");
    sim.put_target("t2");
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    ASSERT_EQ(sim.queries.size(), 1u);
    EXPECT_TRUE(sim.start_orders.empty());
    sim.now_ms += 30;
    sim.answer_query(sim.queries[0], {"t2"});
    sim.run_pass(1);
    ASSERT_EQ(sim.start_orders.size(), 1u);
    EXPECT_EQ(sim.start_orders[0].target, "t2");
    EXPECT_EQ(sim.start_orders[0].ticket, "t-t2");
}

TEST(Plan, AQueryAfterARefusalNamesOtherTargets)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    for (int i = 0; i < 80; i++) {
        sim.put_target("t" + std::to_string(i), 9000 + i);
    }
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    std::map<std::string, int> named;
    for (size_t round = 0; round < 10 && named.size() < 80; round++) {
        ASSERT_EQ(sim.queries.size(), round + 1);
        for (const auto &id : sim.queries[round].targets) {
            EXPECT_EQ(named[id]++, 0) << id << " was refused before";
        }
        sim.now_ms += 100;
        sim.answer_query(sim.queries[round], {});
        sim.run_pass(100);
    }
    EXPECT_EQ(named.size(), 80u);
}

TEST(Plan, AQueryWithoutAnAnswerIsRetried)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    sim.put_target("t1");
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    sim.now_ms += 100;
    sim.answer_query(sim.queries[0], {}, FP_ERR_NOT_CONNECTED);
    sim.run_pass(100);
    ASSERT_EQ(sim.queries.size(), 2u);
    EXPECT_EQ(sim.queries[1].targets, sim.queries[0].targets);
}

// A query to a policy client that is gone fails before advise() returns.
TEST(Plan, AQueryThatFailsInsideTheCallIsRetried)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    sim.put_target("t1");
    sim.become_leader();
    sim.planner->ops.query_policy = [](void *ctx, const fleet_task_id *step,
                                 fleet_target *const *, uint32_t, uint32_t,
                                 bool) -> bool {
        FleetSim *self = (FleetSim *)ctx;
        self->queries.push_back({*step, {}, false});
        plan_policy_answered(self->planner, step, FP_ERR_NOT_CONNECTED, nullptr, 0,
                     self->now_ms);
        return true;
    };
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    sim.run_pass(200);
    EXPECT_EQ(sim.queries.size(), 2u);
}

TEST(Plan, TicketsAreRenewedOnlyForGrantedTargets)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    sim.put_target("t1", 1000);
    sim.put_target("t2", 1000);
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    sim.answer_query(sim.queries[0], {"t1"});
    sim.set_usable("t1", false);
    sim.run_pass(100);
    sim.set_usable("t1", true);
    sim.now_ms += 3000;
    sim.run_pass();
    ASSERT_EQ(sim.queries.size(), 2u);
    EXPECT_EQ(sim.queries[1].targets, std::vector<std::string>{"t1"});
    EXPECT_TRUE(sim.start_orders.empty()) << "its ticket has expired";
}

TEST(Plan, TheNextStepQueriesThePolicyWhileItsPredecessorRuns)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    sim.put_target("t1");
    sim.become_leader();
    sim.submit(1, {{.count = 1, .estimate_ms = 500}, {.after = {0}}});
    sim.run_pass();
    sim.answer_query(sim.queries[0], {"t1"});
    sim.run_pass(1);
    sim.confirm_starts();
    sim.run_pass(100);
    ASSERT_EQ(sim.queries.size(), 2u);
    EXPECT_EQ(sim.queries[1].step.step, 1u);
    sim.answer_query(sim.queries[1], {"t1"});
    sim.now_ms += 200;
    sim.end_run(sim.start_orders[0], RUN_DONE);
    sim.run_pass(1);
    ASSERT_EQ(sim.start_orders.size(), 2u)
        << "the step does not wait for the policy";
}

} // namespace
