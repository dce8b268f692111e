// Tests the decoders of the lists that targets and the placement policy send,
// and the way of a checkpoint from a list to the start that carries it.

#include <functional>

#include "tests/plan_world.h"

extern "C" {
#include "core/msg.h"
#include "platform/lenient.h"
#include "platform/lists.h"
}

using namespace plan_sim;

namespace {

const std::string LONGEST(FLEET_CHECKPOINT_BYTES - 1, 'c');
const std::string TOO_LONG(FLEET_CHECKPOINT_BYTES, 'c');

// The rows that a decoder takes from a list.
template <typename Row>
std::vector<Row> decode(const std::function<void(const json_t *, GArray *)> &decoder,
                        const std::string &text)
{
    json_t *list = json_loads(text.c_str(), 0, nullptr);
    EXPECT_NE(list, nullptr) << text;
    GArray *array = g_array_new(FALSE, FALSE, sizeof(Row));
    decoder(list, array);
    std::vector<Row> rows((Row *)(void *)array->data,
                          (Row *)(void *)array->data + array->len);
    g_array_free(array, TRUE);
    json_decref(list);
    return rows;
}

std::vector<plan_listed_run> decode_runs(const std::string &text)
{
    return decode<plan_listed_run>(lists_decode_runs, text);
}

std::vector<order_end> decode_ends(const std::string &text)
{
    return decode<order_end>(lists_decode_ends, text);
}

std::vector<std::pair<std::string, std::string>>
decode_tickets(const std::string &text)
{
    json_t *list = json_loads(text.c_str(), 0, nullptr);
    fp_list tickets = {nullptr, 0};
    std::vector<std::pair<std::string, std::string>> rows;
    EXPECT_NE(list, nullptr) << text;
    lists_decode_tickets(list, &tickets);
    for (uint32_t i = 0; i < tickets.count; i++) {
        const auto &ticket = ((call_ticket *)tickets.items)[i];
        rows.push_back({ticket.id, ticket.ticket});
    }
    g_free(tickets.items);
    json_decref(list);
    return rows;
}

// Guards against UNASKED: checkpoints of 64 characters and more were cut off,
// and their tasks started with the rest.
TEST(Lists, ACheckpointIsKeptWhole)
{
    for (const std::string &checkpoint :
         {std::string("short"), std::string(64, 'p'), LONGEST}) {
        auto runs = decode_runs("[[\"1.0.0.0\", 1, \"" + checkpoint +
                                "\", 50, 0]]");
        ASSERT_EQ(runs.size(), 1u);
        EXPECT_EQ(runs[0].checkpoint, checkpoint);
        EXPECT_FALSE(runs[0].checkpoint_too_long);
        auto ends = decode_ends("[[1, \"1.0.0.0\", 1, \"stopped\", \"" +
                                checkpoint + "\"]]");
        ASSERT_EQ(ends.size(), 1u);
        EXPECT_EQ(ends[0].end.checkpoint, checkpoint);
        EXPECT_FALSE(ends[0].checkpoint_too_long);
    }
}

TEST(Lists, ACheckpointBeyondTheBoundIsLeftOutAndReported)
{
    auto runs = decode_runs("[[\"1.0.0.0\", 1, \"" + TOO_LONG +
                            "\", 50, 0], [\"1.0.0.1\", 1, \"next\", 50, 0]]");
    ASSERT_EQ(runs.size(), 2u);
    EXPECT_STREQ(runs[0].checkpoint, "");
    EXPECT_TRUE(runs[0].checkpoint_too_long);
    EXPECT_STREQ(runs[1].checkpoint, "next");
    auto ends =
        decode_ends("[[1, \"1.0.0.0\", 1, \"stopped\", \"" + TOO_LONG +
                    "\"]]");
    ASSERT_EQ(ends.size(), 1u) << "the run has ended all the same";
    EXPECT_STREQ(ends[0].end.checkpoint, "");
    EXPECT_TRUE(ends[0].checkpoint_too_long);
}

// A task whose last checkpoint is too long resumes from the one before.
TEST(Lists, AStartCarriesTheLastCheckpointThatFits)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1");
    sim.become_leader();
    sim.submit(1, {{.count = 1, .checkpoints = true}});
    sim.run_pass();
    ASSERT_EQ(sim.start_orders.size(), 1u);
    sim.confirm_starts();
    for (const std::string &checkpoint : {LONGEST, TOO_LONG}) {
        auto rows = decode_runs("[[\"1.0.0.0\", 1, \"" + checkpoint +
                                "\", 50, 0]]");
        sim.report_runs("t1", rows, false, sim.now_ms);
    }
    auto ends = decode_ends("[[1, \"1.0.0.0\", 1, \"stopped\", \"" + TOO_LONG +
                            "\"]]");
    plan_run_ended(sim.planner, sim.find_target("t1"), &ends[0].end,
                   sim.now_ms);
    sim.run_pass(100);
    ASSERT_EQ(sim.start_orders.size(), 2u);
    EXPECT_EQ(sim.start_orders[1].checkpoint, LONGEST);
}

// From the log and from a snapshot, as after a restart of all hosts.
TEST(Lists, TheLongestCheckpointIsStored)
{
    for (bool restarted : {false, true}) {
        FleetSim sim;
        sim.configure({"q"});
        sim.put_target("t1");
        sim.submit(1, {{.count = 1, .checkpoints = true}});
        fleet_run_end end = {{1, 0, 0, 0}, 1, RUN_STOPPED, ""};
        g_strlcpy(end.checkpoint, LONGEST.c_str(), sizeof(end.checkpoint));
        sim.commit_end(end);
        if (restarted) {
            sim.restart_from_snapshot();
        }
        sim.become_leader();
        sim.run_pass();
        ASSERT_EQ(sim.start_orders.size(), 1u);
        EXPECT_EQ(sim.start_orders[0].checkpoint, LONGEST);
    }
}

// What a record may hold has to fit into a change of the log and an item of a
// snapshot.
TEST(Lists, AsManyEndsAsATargetListsFitIntoAChange)
{
    fleet_run_ends ends = {};
    fp_blob blob = {nullptr, 0};
    for (uint32_t i = 0; i < LISTS_ENDS_MAX; i++) {
        auto *end = (fleet_run_end *)fp_list_add(&ends.items,
                                                 sizeof(fleet_run_end));
        end->task = {UINT64_MAX, UINT32_MAX, UINT32_MAX, UINT32_MAX};
        end->run = UINT32_MAX;
        g_strlcpy(end->checkpoint, LONGEST.c_str(), sizeof(end->checkpoint));
    }
    fp_encode(&FLEET_RUN_ENDS_SCHEMA, &ends, &blob);
    EXPECT_LT(blob.size_bytes, MSG_ENTRY_MAX_BYTES);
    fp_blob_free(&blob);
    fp_record_free(&FLEET_RUN_ENDS_SCHEMA, &ends);
}

TEST(Lists, TheLargestJobWithTheLongestCheckpointsFitsIntoASnapshot)
{
    FleetSim sim;
    sim.configure({"q"});
    std::vector<StepSpec> steps(FLEET_JOB_TASKS_MAX / FLEET_STEP_TASKS_MAX);
    for (auto &step : steps) {
        step.count = FLEET_STEP_TASKS_MAX;
        step.gang = true; // an end of one member holds for all
    }
    ASSERT_EQ(sim.submit(1, steps).err, FP_OK);
    for (uint32_t i = 0; i < steps.size(); i++) {
        fleet_run_end end = {{1, 0, i, 0}, 1, RUN_STOPPED, ""};
        g_strlcpy(end.checkpoint, LONGEST.c_str(), sizeof(end.checkpoint));
        sim.commit_end(end);
    }
    sim.restart_from_snapshot();
    ASSERT_NE(sim.find_job(1), nullptr);
    EXPECT_EQ(sim.find_job(1)->tasks[FLEET_JOB_TASKS_MAX - 1].checkpoint,
              LONGEST);
}

// Guards against a run number that is cut to that of another run.
TEST(Lists, RowsWithNumbersThatNoRunHasAreLeftOut)
{
    for (const char *number :
         {"0", "-1", "4294967296", "4294967297", "1.5", "\"1\"", "null",
          "9223372036854775807"}) {
        std::string text = number;
        auto runs = decode_runs("[[\"1.0.0.0\", " + text +
                                ", \"\", 50, 0], [\"1.0.0.1\", 4294967295, "
                                "\"\", 4294967297, 1]]");
        ASSERT_EQ(runs.size(), 1u) << number;
        EXPECT_EQ(runs[0].run_number, UINT32_MAX);
        EXPECT_EQ(runs[0].percent, UINT32_MAX);
        auto ends = decode_ends("[[1, \"1.0.0.0\", " + text +
                                ", \"done\", \"\"], [2, \"1.0.0.1\", 1, "
                                "\"done\", \"\"]]");
        ASSERT_EQ(ends.size(), 1u) << number;
        EXPECT_EQ(ends[0].number, 2u);
    }
}

// One that is taken for stored shuts out all that follow it.
TEST(Lists, EndsWithNumbersThatNoTargetReachesAreLeftOut)
{
    auto ends = decode_ends(
        "[[9007199254740992, \"1.0.0.0\", 1, \"done\", \"\"],"
        " [9223372036854775807, \"1.0.0.0\", 1, \"done\", \"\"],"
        " [0, \"1.0.0.0\", 1, \"done\", \"\"],"
        " [9007199254740991, \"1.0.0.1\", 1, \"done\", \"\"]]");
    ASSERT_EQ(ends.size(), 1u);
    EXPECT_EQ(ends[0].end.task.index, 1u);
}

// Guards against a list that counts for nothing because of one invalid entry: its
// target was taken for silent, and its runs for lost. Good rows stand on both
// sides.
TEST(Lists, AnInvalidEntryLeavesTheOthersInForce)
{
    const std::string deep = std::string(3000, '[') + std::string(3000, ']');
    const std::string deeper =
        std::string(300000, '[') + std::string(300000, ']');
    const std::string braces = "{\"a\":[\"]\\\"[\"," + deep + "]}";
    for (const std::string &invalid :
         {deep, deeper, braces, std::string("99999999999999999999"),
          std::string("1e400"), std::string("-1e400"),
          std::string("\"\xff\""), std::string("\"\xe2\x82\""),
          std::string("\"\\ud800\""), std::string("\"\\u0000\""),
          std::string("\"a\nb\""), std::string("nul"), std::string("0x1"),
          std::string("[\"1.0.0.9\",1,\"\xff\",1,1]"),
          std::string("\x00", 1)}) {
        const std::string good[] = {"[\"1.0.0.0\",1,\"c\",50,0]",
                                    "[\"1.0.0.1\",2,\"\",50,0]"};
        const std::string text = "{\"clock_ms\":5,\"running\":[" + good[0] +
                                 "," + invalid + "," + good[1] + "]}";
        uint32_t replaced = 0;
        json_t *body =
            lenient_parse_object(text.data(), text.size(), &replaced);
        ASSERT_NE(body, nullptr) << invalid.substr(0, 40);
        EXPECT_GE(replaced, 1u);
        EXPECT_EQ(json_integer_value(json_object_get(body, "clock_ms")), 5);
        GArray *runs =
            g_array_new(FALSE, FALSE, sizeof(struct plan_listed_run));
        lists_decode_runs(json_object_get(body, "running"), runs);
        auto *row = (plan_listed_run *)(void *)runs->data;
        ASSERT_GE(runs->len, 2u) << invalid.substr(0, 40);
        EXPECT_EQ(row[0].task.index, 0u);
        EXPECT_STREQ(row[0].checkpoint, "c");
        EXPECT_EQ(row[runs->len - 1].task.index, 1u);
        g_array_free(runs, TRUE);
        json_decref(body);
    }
}

TEST(Lists, MalformedAnswersAreRefused)
{
    for (const char *text :
         {"", "{", "[]", "{\"a\":[1,}", "{\"a\":\"", "{\"a\" 1}", "]", "}}",
          "{\"\xff\":1}", "{\"a\":1,\"a\":1e400}", "{\"a\":[[[[[[[[[[[[[[[[["}) {
        uint32_t replaced = 0;
        EXPECT_EQ(lenient_parse_object(text, strlen(text), &replaced),
                  nullptr)
            << text;
    }
}

// Tickets are carried from the policy to a start in the same way. A cut ID
// could be that of another target.
TEST(Lists, TicketsAndTheirTargetsAreNotCut)
{
    std::string id(FLEET_NAME_BYTES - 1, 'i');
    std::string ticket(FLEET_TICKET_BYTES - 1, 't');
    auto tickets = decode_tickets(
        "[[\"" + id + "\", \"" + ticket + "\"], [\"" + id + "x\", \"a\"], " +
        "[\"t2\", \"" + ticket + "x\"], [\"t3\", \"c\"]]");
    ASSERT_EQ(tickets.size(), 2u);
    EXPECT_EQ(tickets[0], std::make_pair(id, ticket));
    EXPECT_EQ(tickets[1].first, "t3");
}

// Guards against TWICE: a list of ends that was cut was taken for the whole, and
// runs whose ends were left out were started again.
TEST(Lists, AListOfEndsThatIsAsLongAsOneCanBeMayBeCut)
{
    json_t *list = json_array();
    GArray *ends = g_array_new(FALSE, FALSE, sizeof(order_end));
    for (uint32_t i = 1; i <= LISTS_ENDS_MAX; i++) {
        EXPECT_FALSE(lists_decode_ends(list, ends)) << i - 1 << " ends";
        json_array_append_new(list, json_pack("[i,s,i,s,s]", i,
                                              "00000000000000aa.0.0.0", i,
                                              "done", ""));
    }
    EXPECT_TRUE(lists_decode_ends(list, ends));
    // An entry that cannot be read takes the place of another one too.
    json_array_set_new(list, 0, json_null());
    EXPECT_TRUE(lists_decode_ends(list, ends));
    g_array_free(ends, TRUE);
    json_decref(list);
}

// The same under one leader: the run had ended, and was stopped and started again.
TEST(Lists, ARunBeyondACutListOfEndsGoesOnCounting)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 2000);
    sim.become_leader();
    sim.submit(1, {{.count = 2}});
    sim.run_pass();
    sim.confirm_starts();
    sim.now_ms += 100;
    sim.end_run(sim.start_orders[0], RUN_DONE);
    sim.report_runs("t1", {}, false, sim.now_ms, true);
    sim.run_pass(5);
    EXPECT_EQ(sim.stop_orders.size(), 0u);
    EXPECT_EQ(sim.start_orders.size(), 2u);
    sim.end_run(sim.start_orders[1], RUN_DONE);
    sim.report_runs("t1", {}, false, sim.now_ms);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 2u);
    EXPECT_EQ(sim.find_job(1)->state, JOB_COMPLETED);
}

// A run that was stopped may have been done before: its end is still to come.
TEST(Lists, AStoppedRunBeyondACutListOfEndsGoesOnCounting)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 2000);
    sim.become_leader();
    sim.submit(1, {{}});
    sim.run_pass();
    sim.answer_start(sim.start_orders[0], ORDER_UNKNOWN);
    ASSERT_EQ(sim.stop_orders.size(), 1u);
    plan_stop_answered(sim.planner, sim.find_target("t1"),
                       &sim.start_orders[0].task, 1, ORDER_DONE, sim.now_ms);
    sim.now_ms += 10;
    sim.report_runs("t1", {}, false, sim.now_ms, true);
    sim.run_pass(50);
    EXPECT_EQ(sim.start_orders.size(), 1u);
    sim.report_runs("t1", {}, false, sim.now_ms);
    sim.run_pass(50);
    EXPECT_EQ(sim.start_orders.size(), 2u) << "it was never there";
}

// Guards against TWICE after a change of leader.
TEST(Lists, InheritedWorkWaitsForTheWholeListOfEnds)
{
    FleetSim sim;
    sim.configure({"q"});
    sim.put_target("t1", 2000);
    sim.submit(1, {{.count = 2}});
    sim.become_leader(1024);
    sim.planner->reconciled = false;
    sim.forget_runs("t1");
    RunOrder first = {"t1", {1, 0, 0, 0}, 1, "", ""};
    RunOrder second = {"t1", {1, 0, 0, 1}, 1, "", ""};
    sim.end_run(first, RUN_DONE);
    sim.report_runs("t1", {}, true, sim.now_ms, true);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 0u);
    EXPECT_EQ(plan_gauges(sim.planner).targets_unlisted, 1u);
    sim.end_run(second, RUN_DONE);
    sim.report_runs("t1", {}, true, sim.now_ms);
    sim.run_pass(5);
    EXPECT_EQ(sim.start_orders.size(), 0u);
    EXPECT_EQ(sim.find_job(1)->state, JOB_COMPLETED);
}

} // namespace
