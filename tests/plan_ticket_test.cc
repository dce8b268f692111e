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

// A target whose row of an answer could not be read was refused for good: with
// all targets named, the step never ran. The pause doubles while answers stay
// unreadable, so that the policy isn't asked without end.
TEST(Plan, ATargetWhoseRowCannotBeReadIsNamedAgain)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    sim.put_target("t1");
    sim.put_target("t2");
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    for (size_t i = 0; i < 5; i++) {
        ASSERT_EQ(sim.queries.size(), i + 1);
        EXPECT_EQ(sim.queries[i].targets.size(), 2u);
        sim.answer_query(sim.queries[i], {}, FP_OK, 1);
        sim.run_pass((100u << i) - 10);
        EXPECT_EQ(sim.queries.size(), i + 1) << "after its pause only";
        for (int k = 0; k < 20 && sim.queries.size() == i + 1; k++) {
            sim.run_pass(10);
        }
    }
    ASSERT_EQ(sim.queries.size(), 6u);
    sim.answer_query(sim.queries[5], {"t2"}, FP_OK, 1);
    sim.run_pass(1);
    ASSERT_EQ(sim.start_orders.size(), 1u);
    EXPECT_EQ(sim.start_orders[0].target, "t2");
}

// The validity of a ticket was counted from the answer's arrival at the leader:
// one that a busy host had held back was used after its end, and refused.
TEST(Plan, ATicketThatWasHeldBackIsValidForLess)
{
    for (uint32_t age_ms : {0u, 1500u}) {
        FleetSim sim;
        sim.configure({"q"}, true);
        sim.put_target("t1");
        sim.become_leader();
        sim.submit(1, {{.count = 1}});
        sim.run_pass();
        sim.answer_query(sim.queries[0], {"t1"}, FP_OK, 0, age_ms);
        sim.set_usable("t1", false);
        sim.run_pass(400);
        sim.set_usable("t1", true);
        sim.run_pass(10);
        EXPECT_EQ(sim.start_orders.size(), age_ms == 0 ? 1u : 0u);
        sim.run_pass(100);
        EXPECT_EQ(sim.queries.size(), age_ms == 0 ? 1u : 2u);
    }
}

// A step to which nothing is granted is asked about again after some time, one
// that has a grant is not.
TEST(Plan, RefusalsOfAllTargetsDoNotStandForGood)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    sim.put_target("t1");
    sim.put_target("t2");
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    sim.answer_query(sim.queries[0], {});
    sim.run_pass(9000);
    EXPECT_EQ(sim.queries.size(), 1u);
    sim.run_pass(1100);
    ASSERT_EQ(sim.queries.size(), 2u);
    EXPECT_EQ(sim.queries[1].targets.size(), 2u);
    sim.set_usable("t1", false);
    sim.answer_query(sim.queries[1], {"t1"});
    sim.run_pass(11000);
    for (size_t i = 2; i < sim.queries.size(); i++) {
        EXPECT_EQ(sim.queries[i].targets, std::vector<std::string>{"t1"});
    }
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
        const plan_policy_answer answer = {FP_ERR_NOT_CONNECTED, nullptr, 0, 0,
                                           0, false};
        plan_policy_answered(self->planner, step, &answer, self->now_ms);
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

// A step whose tickets had expired, whose targets were full and whose targets
// were kept for others waited for the same reason in the log.
TEST(Plan, TheWaitOfAStepWithGrantsSaysWhatIsMissing)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    sim.put_target("t1", 4000);
    sim.put_target("t2", 4000);
    sim.become_leader();
    sim.submit(1, {{.count = 4, .cpu_milli = 2000, .gang = true}});
    sim.run_pass();
    sim.policy_client_free = false;
    sim.run_pass(1100);
    EXPECT_STREQ(sim.last_wait.reason, "the placement policy has not answered");
    EXPECT_STREQ(sim.last_wait.query, "under way");
    EXPECT_EQ(sim.last_wait.query_ms, 1100u);
    sim.answer_query(sim.queries[0], {"t1"});
    sim.run_pass(1100);
    EXPECT_STREQ(sim.last_wait.reason, "its granted targets are too small");
    sim.submit(2, {{.count = 2, .cpu_milli = 2000, .gang = true}});
    sim.policy_client_free = true;
    sim.run_pass();
    sim.policy_client_free = false;
    sim.cancel_job(1);
    sim.set_usable("t1", false);
    sim.answer_query(sim.queries.back(), {"t1"}, FP_OK, 0, 5000);
    sim.set_usable("t1", true);
    sim.run_pass(1100);
    EXPECT_STREQ(sim.last_wait.reason, "its tickets have expired");
    EXPECT_STREQ(sim.last_wait.query, "no host is free");
    EXPECT_EQ(sim.last_wait.fitting, 2u);
    EXPECT_EQ(sim.last_wait.holding, 2u);
}

// A gang that had been stopped kept the reason of its wait before its start.
TEST(Plan, TheWaitOfAGangWithARunNamesTheRun)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1");
    sim.become_leader();
    sim.submit(1, {{.count = 2, .gang = true}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 2u);
    sim.confirm_starts();
    sim.end_run(sim.start_orders[0], RUN_STOPPED);
    sim.run_pass(1);
    sim.run_pass(1100);
    ASSERT_FALSE(sim.wait_reasons.empty());
    EXPECT_EQ(sim.wait_reasons.back(), "some of its gang have a run");
    EXPECT_EQ(sim.last_wait.running, 1u);
}

// Submits gangs that wait with expired tickets for targets of theirs, in this
// order: their answers grant one target each.
struct WaitingGangs {
    FleetSim sim;

    explicit WaitingGangs(const std::vector<uint32_t> &members)
    {
        sim.configure({"q"}, true);
        for (size_t i = 0; i < members.size(); i++) {
            sim.put_target("t" + std::to_string(i), 4000);
        }
        sim.become_leader();
        sim.run_pass();
        for (size_t i = 0; i < members.size(); i++) {
            sim.submit(i + 1, {{.count = members[i], .gang = true}});
        }
        sim.run_pass();
    }
    // Answers all queries so far with tickets that are of no use any more.
    void answer_late()
    {
        for (const auto &query : sim.queries) {
            sim.answer_query(
                query, {"t" + std::to_string(query.step.job_id - 1)}, FP_OK, 0,
                5000);
        }
        sim.queries.clear();
    }
    size_t count_queries(uint64_t job)
    {
        return (size_t)std::count_if(
            sim.queries.begin(), sim.queries.end(),
            [job](const PolicyQuery &query) { return query.step.job_id == job; });
    }
};

// Gangs that no set of granted targets can hold renewed their tickets for ever,
// each time for a turn at the policy.
TEST(Plan, TicketsForAGangThatItsTargetsCannotHoldAreNotRenewed)
{
    WaitingGangs gangs({9, 4});
    gangs.answer_late();
    gangs.sim.run_pass(100);
    EXPECT_EQ(gangs.count_queries(1), 0u) << "8 fit on both targets";
    EXPECT_EQ(gangs.count_queries(2), 1u);
    gangs.answer_late();
    for (int i = 0; i < 100; i++) {
        gangs.sim.run_pass(100);
    }
    EXPECT_EQ(gangs.count_queries(1), 0u);
    gangs.sim.put_target("t0", 9000);
    gangs.sim.run_pass(100);
    EXPECT_EQ(gangs.count_queries(1), 1u) << "its target can hold it now";
}

// Gangs without room stood before others in scheduling order and took each turn
// at the policy, so that those that had room did not start.
TEST(Plan, AGangThatHasRoomIsQueriedAboutBeforeOneThatHasNone)
{
    WaitingGangs gangs({4, 4, 4, 4});
    FleetSim &sim = gangs.sim;
    sim.submit(5, {{.count = 1, .cpu_milli = 4000}});
    sim.run_pass();
    sim.answer_query(sim.queries.back(), {"t0"});
    sim.run_pass(10);
    ASSERT_EQ(sim.start_orders.size(), 1u) << "t0 is full";
    gangs.answer_late();
    static int free_clients;
    free_clients = 1;
    sim.planner->ops.query_policy =
        [](void *ctx, const fleet_task_id *step, fleet_target *const *,
           uint32_t, uint32_t, bool) -> bool {
        if (free_clients == 0) {
            return false;
        }
        free_clients--;
        ((FleetSim *)ctx)->queries.push_back({*step, {}, false});
        return true;
    };
    sim.run_pass(10);
    ASSERT_EQ(sim.queries.size(), 1u);
    EXPECT_NE(sim.queries[0].step.job_id, 1u) << "its target is full";
    free_clients = 100;
    sim.run_pass(100);
    EXPECT_EQ(gangs.count_queries(1), 1u) << "turns that nothing else wants";
}

// While turns at the policy are short, renewals for a gang without room become
// rare, until it has room.
TEST(Plan, RenewalsForAGangWithoutRoomBecomeRareUntilItHasRoom)
{
    WaitingGangs gangs({4});
    FleetSim &sim = gangs.sim;
    sim.submit(2, {{.count = 1, .cpu_milli = 4000}});
    sim.run_pass();
    sim.answer_query(sim.queries.back(), {"t0"});
    sim.run_pass(10);
    ASSERT_EQ(sim.start_orders.size(), 1u);
    sim.confirm_starts();
    gangs.answer_late();
    size_t answered = 0;
    for (int i = 0; i < 300; i++) {
        sim.planner->turn_refused_ms = sim.now_ms;
        sim.run_pass(100);
        if (sim.queries.size() > answered) {
            answered = sim.queries.size();
            sim.answer_query(sim.queries.back(), {"t0"});
        }
    }
    EXPECT_GE(gangs.count_queries(1), 4u);
    EXPECT_LE(gangs.count_queries(1), 10u) << "30 s, of tickets of 2 s";
    sim.run_pass(2500);
    if (sim.queries.size() > answered) {
        sim.answer_query(sim.queries.back(), {"t0"}, FP_OK, 0, 5000);
    }
    const size_t before = gangs.count_queries(1);
    sim.end_run(sim.start_orders[0], RUN_DONE);
    sim.run_pass(10);
    EXPECT_EQ(gangs.count_queries(1), before + 1) << "it has room: at once";
}

// A step that stands behind others in scheduling order had no turn at the
// policy while these could use one.
TEST(Plan, AStepThatHadNoTurnForLongIsQueriedAboutFirst)
{
    FleetSim sim;
    sim.configure({"high", "q"}, true);
    sim.put_target("t1", 4000);
    sim.become_leader();
    sim.policy_client_free = false;
    sim.submit(1, {{.count = 1}}, "q");
    sim.run_pass();
    sim.run_pass(5000);
    sim.submit(2, {{.count = 1}}, "high");
    static int free_clients;
    free_clients = 1;
    sim.planner->ops.query_policy =
        [](void *ctx, const fleet_task_id *step, fleet_target *const *,
           uint32_t, uint32_t, bool) -> bool {
        if (free_clients == 0) {
            return false;
        }
        free_clients--;
        ((FleetSim *)ctx)->queries.push_back({*step, {}, false});
        return true;
    };
    sim.run_pass(10);
    ASSERT_EQ(sim.queries.size(), 1u);
    EXPECT_EQ(sim.queries[0].step.job_id, 1u);
}

// Room that is reserved for another step counted as room on granted targets: no
// further target was named, and the step waited beside free targets.
TEST(Plan, ReservedRoomOnGrantedTargetsMakesAStepNameOthers)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    for (int i = 0; i < 20; i++) {
        sim.put_target("t" + std::to_string(i), 4000);
    }
    sim.become_leader();
    sim.submit(1, {{.count = 2, .estimate_ms = 5000, .gang = true}});
    sim.submit(2, {{.count = 1}});
    sim.run_pass();
    ASSERT_EQ(sim.queries.size(), 2u);
    const PolicyQuery query =
        sim.queries[sim.queries[0].step.job_id == 1 ? 0 : 1];
    const std::string granted = query.targets[0];
    auto *target = (plan_target *)sim.find_target(granted)->plan;
    target->reserved_for = &((plan_job *)sim.find_job(2)->plan)->steps[0];
    target->reserved_for->reserved_targets++;
    target->reserved = {3000, 0, 0};
    target->reserved_from_ms = sim.now_ms;
    target->reserved_until_ms = sim.now_ms + 60000;
    sim.answer_query(query, {granted});
    sim.run_pass(10);
    EXPECT_TRUE(sim.start_orders.empty());
    ASSERT_GE(sim.queries.size(), 3u);
    EXPECT_EQ(sim.queries[2].step.job_id, 1u);
}

// The answer to a query that had been given up was thrown away.
TEST(Plan, AnAnswerToAQueryThatWasGivenUpIsUsed)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    sim.put_target("t1");
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    ASSERT_EQ(sim.queries.size(), 1u);
    plan_give_up_query(sim.planner, &sim.queries[0].step);
    sim.policy_client_free = false;
    sim.run_pass(100);
    call_ticket ticket = {};
    g_strlcpy(ticket.id, "t1", sizeof(ticket.id));
    g_strlcpy(ticket.ticket, "late", sizeof(ticket.ticket));
    const plan_policy_answer answer = {FP_OK, &ticket, 1, 0, 0, true};
    plan_policy_answered(sim.planner, &sim.queries[0].step, &answer,
                         sim.now_ms);
    sim.run_pass(10);
    ASSERT_EQ(sim.start_orders.size(), 1u);
    EXPECT_EQ(sim.start_orders[0].ticket, "late");
}

// A late answer to the first query for a step does not end the second one.
TEST(Plan, AQueryThatWasGivenUpIsRepeatedOnce)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    sim.put_target("t1");
    sim.become_leader();
    sim.submit(1, {{.count = 1}});
    sim.run_pass();
    plan_give_up_query(sim.planner, &sim.queries[0].step);
    sim.run_pass(10);
    ASSERT_EQ(sim.queries.size(), 2u);
    const plan_policy_answer failed = {FP_ERR_MAY_HAVE_RUN, nullptr, 0, 0, 0,
                                       true};
    plan_policy_answered(sim.planner, &sim.queries[0].step, &failed,
                         sim.now_ms);
    sim.run_pass(200);
    EXPECT_EQ(sim.queries.size(), 2u) << "the second one is under way";
}

} // namespace
namespace {
// A step with no target that it could be placed on held the turn of the starved.
TEST(Plan, AStepWithoutATargetToNameTakesNoTurnOfTheStarved)
{
    FleetSim sim;
    sim.configure({"high", "q"}, true);
    sim.put_target("t1", 4000);
    sim.become_leader();
    sim.policy_client_free = false;
    sim.submit(9, {{.count = 1, .cpu_milli = 64000}}, "q"); // fits nowhere
    sim.run_pass();
    sim.run_pass(1000);
    sim.submit(1, {{.count = 1}}, "q");
    sim.run_pass();
    static int free_clients;
    free_clients = 0;
    sim.planner->ops.query_policy =
        [](void *ctx, const fleet_task_id *step, fleet_target *const *,
           uint32_t, uint32_t, bool) -> bool {
        if (free_clients == 0) {
            return false;
        }
        free_clients--;
        ((FleetSim *)ctx)->queries.push_back({*step, {}, false});
        return true;
    };
    // Each turn there is one more step before it.
    uint64_t next = 100;
    int asked = 0;
    for (int i = 0; i < 300; i++) { // 30 s
        sim.submit(next++, {{.count = 1}}, "high");
        free_clients = 1;
        sim.run_pass(100);
        for (const auto &query : sim.queries) {
            asked += query.step.job_id == 1;
        }
        sim.queries.clear();
    }
    EXPECT_GE(asked, 1);
}
// A late answer must not replace tickets of a later one.
TEST(Plan, ALateAnswerLeavesFresherTicketsAlone)
{
    FleetSim sim;
    sim.configure({"q"}, true);
    sim.put_target("t1", 4000);
    sim.become_leader();
    sim.submit(2, {{.count = 1, .cpu_milli = 4000}});
    sim.run_pass();
    sim.answer_query(sim.queries.back(), {"t1"});
    sim.run_pass(10);
    sim.confirm_starts();
    sim.submit(1, {{.count = 1}});
    sim.run_pass(100);
    PolicyQuery first = sim.queries.back();
    ASSERT_EQ(first.step.job_id, 1u);
    plan_give_up_query(sim.planner, &first.step);
    sim.run_pass(100);
    sim.answer_query(sim.queries.back(), {"t1"}); // fresh
    sim.run_pass(10);
    call_ticket ticket = {};
    g_strlcpy(ticket.id, "t1", sizeof(ticket.id));
    g_strlcpy(ticket.ticket, "old", sizeof(ticket.ticket));
    const plan_policy_answer late = {FP_OK, &ticket, 1, 0, 1900, true};
    plan_policy_answered(sim.planner, &first.step, &late, sim.now_ms);
    sim.policy_client_free = false;
    sim.end_run(sim.start_orders[0], RUN_DONE);
    sim.run_pass(300);
    ASSERT_EQ(sim.start_orders.size(), 2u);
    EXPECT_NE(sim.start_orders[1].ticket, "old");
}
} // namespace
