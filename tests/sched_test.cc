// Tests of the scheduler with a real cell and no log: proposals are applied
// to the cell when the test commits them, and orders are read back.

#include <glib.h>
#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "core/sched.h"
}

namespace {

constexpr uint64_t WALL_START_MS = 1800000000000ull;

struct Fixture {
    cell *cell_state = nullptr;
    sched *scheduler = nullptr;
    uint64_t log_index = 0, now_ms = 1000;
    std::vector<std::vector<place_item>> proposed;

    Fixture()
    {
        cell_ops ops = {task_changed, attempt_ended, target_changed,
                        config_changed, job_removed, this};
        cell_state = cell_new(&ops);
    }
    ~Fixture()
    {
        sched_free(scheduler);
        cell_free(cell_state);
    }
    void start()
    {
        sched_ops ops = {propose, orders_changed, this};
        scheduler = sched_new(cell_state, &SCHED_POLICY, &ops, now_ms,
                              WALL_START_MS + now_ms);
    }
    static void propose(void *ctx, const place_item *items, uint32_t count)
    {
        ((Fixture *)ctx)->proposed.emplace_back(items, items + count);
    }
    static void orders_changed(void *, target *) {}
    static void task_changed(void *ctx, task *t, task_state old_state)
    {
        if (((Fixture *)ctx)->scheduler) {
            sched_task_changed(((Fixture *)ctx)->scheduler, t, old_state);
        }
    }
    static void attempt_ended(void *ctx, task *t, target *on)
    {
        if (((Fixture *)ctx)->scheduler) {
            sched_attempt_ended(((Fixture *)ctx)->scheduler, t, on);
        }
    }
    static void target_changed(void *ctx, target *t)
    {
        if (((Fixture *)ctx)->scheduler) {
            sched_target_changed(((Fixture *)ctx)->scheduler, t);
        }
    }
    static void config_changed(void *ctx)
    {
        if (((Fixture *)ctx)->scheduler) {
            sched_config_changed(((Fixture *)ctx)->scheduler);
        }
    }
    static void job_removed(void *ctx, job *j)
    {
        if (((Fixture *)ctx)->scheduler) {
            sched_job_removed(((Fixture *)ctx)->scheduler, j);
        }
    }

    template <typename T>
    enum fp_err apply(const fp_schema *schema, T &change,
                      uint64_t *id = nullptr)
    {
        change_answer answer;
        fp_blob blob;
        change.head.at_ms = WALL_START_MS + now_ms;
        fp_encode(schema, &change, &blob);
        cell_apply(cell_state, ++log_index, blob.data, blob.size_bytes,
                   &answer);
        auto err = (enum fp_err)answer.err;
        if (id) {
            *id = answer.id;
        }
        fp_record_free(&CHANGE_ANSWER_SCHEMA, &answer);
        fp_blob_free(&blob);
        return err;
    }
    void set_team(const char *name, uint32_t limit = 0, uint32_t weight = 1)
    {
        change_team t = {};
        g_strlcpy(t.name, name, sizeof(t.name));
        t.limit_running = limit;
        t.weight = weight;
        ASSERT_EQ(apply(&CHANGE_TEAM_SCHEMA, t), FP_OK);
    }
    void set_queue(const char *name, work_kind kind, const char *labels = "")
    {
        change_queue q = {};
        g_strlcpy(q.name, name, sizeof(q.name));
        g_strlcpy(q.labels, labels, sizeof(q.labels));
        q.kind = kind;
        ASSERT_EQ(apply(&CHANGE_QUEUE_SCHEMA, q), FP_OK);
    }
    void set_target(const char *name, uint32_t cpu, uint32_t accel = 0,
                    const char *dc = "dc1", const char *rack = "r1",
                    const char *labels = "")
    {
        change_target t = {};
        g_strlcpy(t.name, name, sizeof(t.name));
        g_strlcpy(t.data_centre, dc, sizeof(t.data_centre));
        g_strlcpy(t.rack, rack, sizeof(t.rack));
        g_strlcpy(t.labels, labels, sizeof(t.labels));
        t.run_id = 1;
        t.cpu_milli = cpu;
        t.memory_mb = 100000;
        t.accel = accel;
        ASSERT_EQ(apply(&CHANGE_TARGET_SCHEMA, t), FP_OK);
    }
    uint64_t submit(const char *queue, const char *team, uint32_t count,
                    uint32_t cpu, uint32_t accel = 0, uint32_t run_ms = 0,
                    const char *selector = "")
    {
        change_submit j = {};
        uint64_t id = 0;
        g_strlcpy(j.queue, queue, sizeof(j.queue));
        g_strlcpy(j.team, team, sizeof(j.team));
        g_strlcpy(j.selector, selector, sizeof(j.selector));
        j.count = count;
        j.cpu_milli = cpu;
        j.accel = accel;
        j.run_ms = run_ms;
        EXPECT_EQ(apply(&CHANGE_SUBMIT_SCHEMA, j, &id), FP_OK);
        return id;
    }
    // Runs scheduling passes every 10 ms of simulated time and applies all
    // proposals.
    void run_for(uint64_t duration_ms = 10)
    {
        for (uint64_t end_ms = now_ms + duration_ms; now_ms < end_ms;) {
            now_ms += 10;
            while (sched_run(scheduler, now_ms, WALL_START_MS + now_ms, 1000) >
                   0) {
                commit_proposals();
            }
            commit_proposals();
        }
    }
    void commit_proposals()
    {
        auto batches = std::move(proposed);
        proposed.clear();
        for (auto &batch : batches) {
            change_place p = {};
            p.items.items = batch.data();
            p.items.count = (uint32_t)batch.size();
            if (apply(&CHANGE_PLACE_SCHEMA, p) != FP_OK) {
                sched_placement_failed(scheduler, batch.data(), p.items.count);
            }
        }
    }
    void end_attempt(const task *t, end_outcome outcome)
    {
        change_end e = {};
        end_item item = {
            t->id, t->attempt, outcome, 0,
            outcome == END_FAILED
                ? sched_retry_at(scheduler, t, WALL_START_MS + now_ms)
                : 0};
        e.items.items = &item;
        e.items.count = 1;
        ASSERT_EQ(apply(&CHANGE_END_SCHEMA, e), FP_OK);
    }
    // Ends at once all tasks that have orders to stop.
    void carry_out_orders()
    {
        GHashTableIter iter;
        target *t;
        std::vector<task *> stop;
        g_hash_table_iter_init(&iter, cell_state->targets);
        while (g_hash_table_iter_next(&iter, nullptr, (gpointer *)&t)) {
            for (task *it = t->first_task; it; it = it->next_on_target) {
                auto order = sched_task_order(scheduler, it);
                if (order == SCHED_ORDER_STOP ||
                    order == SCHED_ORDER_CHECKPOINT) {
                    stop.push_back(it);
                }
            }
        }
        for (task *it : stop) {
            end_attempt(it, END_STOPPED);
        }
    }
    task *task_at(uint64_t job, uint32_t i = 0)
    {
        return cell_task(cell_state, job * TASK_IDS_PER_JOB + i);
    }
    uint32_t running_tasks(uint64_t job)
    {
        uint32_t count = 0;
        for (uint32_t i = 0; i < cell_job(cell_state, job)->rec.count; i++) {
            count += task_at(job, i)->state == TASK_RUNNING;
        }
        return count;
    }
    std::string block_name(uint64_t job)
    {
        sched_explanation explanation;
        sched_explain(scheduler, task_at(job), &explanation);
        return sched_block_name(explanation.block);
    }
};

TEST(Sched, GangStartsAllAtOnceOrNotAtAll)
{
    Fixture f;
    f.set_team("a");
    f.set_queue("batch", WORK_BATCH);
    f.set_queue("gang", WORK_GANG);
    f.set_target("t1", 4000);
    f.set_target("t2", 4000);
    f.start();
    uint64_t busy = f.submit("batch", "a", 3, 1000);
    f.run_for();
    uint64_t gang = f.submit("gang", "a", 6, 1000);
    f.run_for();
    EXPECT_EQ(f.running_tasks(gang), 0u);
    EXPECT_EQ(f.block_name(gang), "no room");
    f.end_attempt(f.task_at(busy, 0), END_DONE);
    f.run_for();
    EXPECT_EQ(f.running_tasks(gang), 6u);
    // One task is lost: the others are evicted, and all restart together.
    f.end_attempt(f.task_at(gang, 2), END_LOST);
    f.run_for();
    EXPECT_EQ(f.running_tasks(gang), 5u);
    f.carry_out_orders();
    f.run_for();
    EXPECT_EQ(f.running_tasks(gang), 6u);
    EXPECT_EQ(f.task_at(gang, 0)->attempt, 2u);
}

// Under a steady load of small tasks, a gang without a reservation would never
// find enough free capacity at once.
TEST(Sched, GangsNeitherStarveNorDeadlock)
{
    Fixture f;
    f.set_team("a");
    f.set_team("b");
    f.set_queue("batch", WORK_BATCH);
    f.set_queue("gang", WORK_GANG);
    for (int i = 0; i < 4; i++) {
        f.set_target(("t" + std::to_string(i)).c_str(), 4000);
    }
    f.start();
    std::map<uint64_t, uint64_t> ends; // task ID to time
    uint64_t first = 0, second = 0;
    for (int step = 0; step < 3000 && f.now_ms < 200000; step++) {
        if (step < 1500) {
            f.submit("batch", "a", 1, 1000, 0, 800);
        }
        if (step == 100) {
            first = f.submit("gang", "b", 12, 1000);
            second = f.submit("gang", "b", 16, 1000);
        }
        f.run_for(30);
        GHashTableIter iter;
        target *t;
        std::vector<task *> done;
        g_hash_table_iter_init(&iter, f.cell_state->targets);
        while (g_hash_table_iter_next(&iter, nullptr, (gpointer *)&t)) {
            for (task *it = t->first_task; it; it = it->next_on_target) {
                if (f.now_ms >= it->started_ms - WALL_START_MS + 800) {
                    done.push_back(it);
                }
            }
        }
        for (task *it : done) {
            f.end_attempt(it, END_DONE);
        }
        if (first && cell_job(f.cell_state, first)->unfinished_tasks == 0 &&
            cell_job(f.cell_state, second)->unfinished_tasks == 0) {
            EXPECT_LT(step, 1500) << "only after the small tasks had stopped";
            return;
        }
    }
    FAIL() << "a gang starved";
}

TEST(Sched, UrgentWorkPreemptsTheTaskThatLosesLeast)
{
    Fixture f;
    f.set_team("a");
    f.set_team("b");
    f.set_queue("batch", WORK_BATCH);
    f.set_queue("service", WORK_SERVICE);
    f.set_queue("urgent", WORK_URGENT);
    f.set_target("t1", 4000);
    f.set_target("t2", 4000);
    f.start();
    uint64_t old = f.submit("batch", "a", 1, 2000);
    f.run_for(5000);
    uint64_t young = f.submit("batch", "a", 1, 2000);
    f.run_for(1000);
    // Evicting the service would lose least, but services are not evicted.
    uint64_t service = f.submit("service", "a", 2, 2000);
    f.run_for(500);
    uint64_t urgent = f.submit("urgent", "b", 1, 2000);
    f.run_for();
    EXPECT_EQ(f.running_tasks(urgent), 0u);
    EXPECT_EQ(sched_task_order(f.scheduler, f.task_at(young)),
              SCHED_ORDER_CHECKPOINT);
    EXPECT_EQ(sched_task_order(f.scheduler, f.task_at(old)), SCHED_ORDER_RUN);
    EXPECT_EQ(sched_task_order(f.scheduler, f.task_at(service)),
              SCHED_ORDER_RUN);
    f.carry_out_orders();
    f.run_for();
    EXPECT_EQ(f.running_tasks(urgent), 1u);
    EXPECT_EQ(f.running_tasks(old), 1u);
    EXPECT_EQ(f.running_tasks(service), 2u);
    EXPECT_EQ(f.task_at(young)->state, TASK_WAITING);
}

TEST(Sched, LimitsLabelsAndSelectorsActOnRunningWork)
{
    Fixture f;
    f.set_team("a");
    f.set_queue("batch", WORK_BATCH);
    f.set_target("t1", 8000, 0, "dc1", "r1", "gpu=no");
    f.set_target("t2", 8000, 0, "dc2", "r2", "gpu=no");
    f.start();
    uint64_t job = f.submit("batch", "a", 6, 1000);
    f.run_for();
    ASSERT_EQ(f.running_tasks(job), 6u);
    f.set_team("a", 4);
    f.run_for();
    f.carry_out_orders();
    f.run_for();
    EXPECT_EQ(f.running_tasks(job), 4u);
    EXPECT_EQ(f.block_name(job) == "team limit" ||
                  f.task_at(job)->state == TASK_RUNNING,
              true);
    // No target's labels match the queue's new selector.
    change_queue q = {};
    g_strlcpy(q.name, "batch", sizeof(q.name));
    g_strlcpy(q.selector, "zone=quiet", sizeof(q.selector));
    q.kind = WORK_BATCH;
    ASSERT_EQ(f.apply(&CHANGE_QUEUE_SCHEMA, q), FP_OK);
    f.run_for();
    f.carry_out_orders();
    f.run_for();
    EXPECT_EQ(f.running_tasks(job), 0u);
    EXPECT_EQ(f.block_name(job), "no matching target");
    change_labels l = {};
    g_strlcpy(l.target, "t2", sizeof(l.target));
    g_strlcpy(l.labels, "zone=quiet", sizeof(l.labels));
    ASSERT_EQ(f.apply(&CHANGE_LABELS_SCHEMA, l), FP_OK);
    f.run_for();
    EXPECT_EQ(f.running_tasks(job), 4u);
    EXPECT_STREQ(
        f.task_at(job, 5)->target ? f.task_at(job, 5)->target->rec.name : "t2",
        "t2");
}

TEST(Sched, FullCellIsSharedByWeight)
{
    Fixture f;
    f.set_team("a", 0, 3);
    f.set_team("b", 0, 1);
    f.set_queue("batch", WORK_BATCH);
    f.set_target("t1", 16000);
    f.start();
    uint64_t b = f.submit("batch", "b", 30, 1000);
    uint64_t a = f.submit("batch", "a", 30, 1000);
    f.run_for();
    // Shares decide, not the order of submission.
    EXPECT_EQ(f.running_tasks(a), 12u);
    EXPECT_EQ(f.running_tasks(b), 4u);
}

TEST(Sched, FairShareIsReclaimed)
{
    Fixture f;
    f.set_team("a");
    f.set_team("b");
    f.set_queue("batch", WORK_BATCH);
    f.set_target("t1", 10000);
    f.start();
    uint64_t a = f.submit("batch", "a", 30, 1000);
    f.run_for();
    ASSERT_EQ(f.running_tasks(a), 10u);
    uint64_t b = f.submit("batch", "b", 30, 1000);
    for (int i = 0; i < 60; i++) {
        f.run_for(1000);
        f.carry_out_orders();
    }
    f.run_for();
    EXPECT_GE(f.running_tasks(b), 4u);
    EXPECT_EQ(f.running_tasks(a) + f.running_tasks(b), 10u);
}

TEST(Sched, TargetThatFailsEverythingIsPutOnProbation)
{
    Fixture f;
    f.set_team("a");
    f.set_queue("batch", WORK_BATCH);
    f.set_target("bad", 1000);
    f.set_target("good", 1000);
    f.start();
    uint32_t on_bad = 0;
    for (int i = 0; i < 40; i++) {
        uint64_t job = f.submit("batch", "a", 1, 1000);
        uint64_t until_ms = f.now_ms + 60000;
        while (cell_job(f.cell_state, job)->unfinished_tasks > 0 &&
               f.now_ms < until_ms) {
            f.run_for(20);
            if (f.task_at(job)->state == TASK_RUNNING) {
                bool bad =
                    strcmp(f.task_at(job)->target->rec.name, "bad") == 0;
                on_bad += bad;
                f.end_attempt(f.task_at(job), bad ? END_FAILED : END_DONE);
            }
        }
        EXPECT_EQ(f.task_at(job)->state, TASK_DONE) << i;
    }
    EXPECT_LE(on_bad, 5u);
    EXPECT_TRUE(
        sched_on_probation(f.scheduler, cell_target(f.cell_state, "bad")));
    // After the probation, one successful probe task ends it.
    for (int i = 0; i < 200; i++) {
        f.run_for(1000);
        f.submit("batch", "a", 2, 1000);
        f.run_for(20);
        for (const char *name : {"bad", "good"}) {
            while (cell_target(f.cell_state, name)->first_task) {
                f.end_attempt(cell_target(f.cell_state, name)->first_task,
                              END_DONE);
            }
        }
    }
    EXPECT_FALSE(
        sched_on_probation(f.scheduler, cell_target(f.cell_state, "bad")));
}

TEST(Sched, QuietHoursThrottleAndMoveWork)
{
    Fixture f;
    f.set_team("a");
    f.set_queue("noisy", WORK_BATCH, "noise=high");
    f.set_target("near", 8000, 0, "dc1", "r1", "site=town");
    f.start();
    uint64_t job = f.submit("noisy", "a", 2, 1000);
    f.run_for();
    ASSERT_EQ(f.running_tasks(job), 2u);
    change_quiet_hours h = {};
    g_strlcpy(h.name, "court", sizeof(h.name));
    g_strlcpy(h.selector, "noise=high", sizeof(h.selector));
    g_strlcpy(h.hosts, "site=town", sizeof(h.hosts));
    g_strlcpy(h.time_zone, "Europe/Athens", sizeof(h.time_zone));
    h.from_minute = 0;
    h.to_minute = 1439;
    h.action = QUIET_HOURS_THROTTLE;
    ASSERT_EQ(f.apply(&CHANGE_QUIET_HOURS_SCHEMA, h), FP_OK);
    f.run_for();
    EXPECT_EQ(sched_task_order(f.scheduler, f.task_at(job)),
              SCHED_ORDER_THROTTLE);
    h.action = QUIET_HOURS_MOVE;
    ASSERT_EQ(f.apply(&CHANGE_QUIET_HOURS_SCHEMA, h), FP_OK);
    f.run_for();
    f.carry_out_orders();
    f.run_for();
    EXPECT_EQ(f.running_tasks(job), 0u);
    EXPECT_EQ(f.block_name(job), "quiet hours");
    f.set_target("far", 8000, 0, "dc2", "r2", "site=field");
    f.run_for();
    EXPECT_EQ(f.running_tasks(job), 2u);
    EXPECT_STREQ(f.task_at(job)->target->rec.name, "far");
}

// Covers periods over midnight, the day such a period belongs to, and clock
// changes in Athens (2026-03-29 and 2026-10-25) and Santiago (2026-09-06).
TEST(Sched, QuietHoursFollowLocalTime)
{
    change_quiet_hours h = {};
    g_strlcpy(h.time_zone, "Europe/Athens", sizeof(h.time_zone));
    h.from_minute = 22 * 60;
    h.to_minute = 7 * 60;
    auto active = [&](const char *utc) {
        GDateTime *t = g_date_time_new_from_iso8601(utc, nullptr);
        uint64_t ms = (uint64_t)g_date_time_to_unix(t) * 1000;
        g_date_time_unref(t);
        return sched_hours_active(&h, ms);
    };
    EXPECT_FALSE(active("2026-01-10T19:59:00Z")); // 21:59 local
    EXPECT_TRUE(active("2026-01-10T20:00:00Z"));
    EXPECT_TRUE(active("2026-01-11T04:59:00Z")); // 06:59
    EXPECT_FALSE(active("2026-01-11T05:00:00Z"));
    EXPECT_FALSE(active("2026-07-10T18:59:00Z")); // summer time
    EXPECT_TRUE(active("2026-07-10T19:00:00Z"));
    EXPECT_TRUE(active("2026-03-29T03:59:00Z")); // 06:59, clocks forward
    EXPECT_FALSE(active("2026-03-29T04:00:00Z"));
    EXPECT_TRUE(active("2026-10-25T04:59:00Z")); // 06:59, clocks back
    EXPECT_FALSE(active("2026-10-25T05:00:00Z"));
    g_strlcpy(h.days, "fri", sizeof(h.days)); // 2026-01-09 is a Friday
    EXPECT_TRUE(active("2026-01-09T21:00:00Z"));
    EXPECT_TRUE(active("2026-01-10T04:00:00Z")); // Saturday, from Friday
    EXPECT_FALSE(active("2026-01-10T21:00:00Z"));
    g_strlcpy(h.time_zone, "America/Santiago", sizeof(h.time_zone));
    h.days[0] = '\0';
    EXPECT_TRUE(active("2026-09-05T02:00:00Z"));  // 22:00 at -4
    EXPECT_FALSE(active("2026-09-07T00:59:00Z")); // 21:59 at -3
    EXPECT_TRUE(active("2026-09-07T01:00:00Z"));
}

TEST(Sched, CancellingAJobFreesItsCapacity)
{
    Fixture f;
    f.set_team("a");
    f.set_queue("batch", WORK_BATCH);
    for (int i = 0; i < 10; i++) {
        f.set_target(("t" + std::to_string(i)).c_str(), 10000);
    }
    f.start();
    uint64_t job = f.submit("batch", "a", 4000, 1000);
    uint64_t next = f.submit("batch", "a", 100, 1000);
    f.run_for();
    ASSERT_EQ(f.running_tasks(job), 100u);
    change_cancel cancel = {};
    uint64_t count = 0;
    cancel.id = job;
    ASSERT_EQ(f.apply(&CHANGE_CANCEL_SCHEMA, cancel, &count), FP_OK);
    EXPECT_EQ(count, 4000u);
    f.carry_out_orders();
    EXPECT_EQ(cell_job(f.cell_state, job)->unfinished_tasks, 0u);
    f.run_for();
    EXPECT_EQ(f.running_tasks(next), 100u);
    char why[160];
    EXPECT_TRUE(cell_check_invariants(f.cell_state, why, sizeof(why))) << why;
}

TEST(Sched, ServicesAreSpreadAndAcceleratorHostsKeptFree)
{
    Fixture f;
    f.set_team("a");
    f.set_queue("service", WORK_SERVICE);
    f.set_queue("batch", WORK_BATCH);
    for (int i = 0; i < 9; i++) {
        f.set_target(("t" + std::to_string(i)).c_str(), 8000, i < 3 ? 4 : 0,
                     ("dc" + std::to_string(i % 3)).c_str(),
                     ("r" + std::to_string(i)).c_str());
    }
    f.start();
    uint64_t service = f.submit("service", "a", 6, 1000);
    uint64_t batch = f.submit("batch", "a", 30, 1000);
    f.run_for();
    std::map<std::string, int> centres;
    std::map<std::string, int> hosts;
    for (uint32_t i = 0; i < 6; i++) {
        centres[f.task_at(service, i)->target->rec.data_centre]++;
        hosts[f.task_at(service, i)->target->rec.name]++;
    }
    EXPECT_EQ(centres["dc0"], 2);
    EXPECT_EQ(centres["dc1"], 2);
    EXPECT_EQ(centres["dc2"], 2);
    EXPECT_EQ(hosts.size(), 6u);
    for (uint32_t i = 0; i < 30; i++) {
        EXPECT_EQ(f.task_at(batch, i)->target->rec.accel, 0u);
    }
}

// A new leader rebuilds the queues from the cell; proposals that the old
// leader never committed are made again.
TEST(Sched, IsRebuiltFromTheCellState)
{
    Fixture f;
    f.set_team("a");
    f.set_queue("batch", WORK_BATCH);
    f.set_queue("gang", WORK_GANG);
    f.set_target("t1", 4000);
    f.start();
    uint64_t job = f.submit("batch", "a", 6, 1000);
    uint64_t gang = f.submit("gang", "a", 2, 1000);
    sched_run(f.scheduler, f.now_ms, WALL_START_MS + f.now_ms,
              100); // never committed
    f.proposed.clear();
    sched_free(f.scheduler);
    f.scheduler = nullptr;
    f.start();
    f.run_for();
    EXPECT_EQ(f.running_tasks(job) + f.running_tasks(gang), 4u);
    for (uint32_t i = 0; i < 6; i++) {
        if (f.task_at(job, i)->state == TASK_RUNNING) {
            f.end_attempt(f.task_at(job, i), END_DONE);
        }
    }
    f.run_for();
    EXPECT_EQ(f.running_tasks(job) + f.running_tasks(gang), 4u);
}

} // namespace
