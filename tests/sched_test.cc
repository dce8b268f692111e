// The scheduler against a small fake of its surroundings: proposals are
// applied when the test says so, and orders are read back.

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

constexpr uint64_t WALL = 1800000000000ull;

struct World {
    cell *c = nullptr;
    sched *s = nullptr;
    uint64_t index = 0, now = 1000;
    std::vector<std::vector<place_item>> proposed;

    World()
    {
        cell_ops ops = {task_changed, attempt_ended, target_changed,
                        config_changed, job_removed, this};
        c = cell_new(&ops);
    }
    ~World()
    {
        sched_free(s);
        cell_free(c);
    }
    void start()
    {
        sched_ops ops = {place, wake, this};
        s = sched_new(c, &SCHED_POLICY, &ops, now, WALL + now);
    }
    static void place(void *ctx, const place_item *items, uint32_t count)
    {
        ((World *)ctx)->proposed.emplace_back(items, items + count);
    }
    static void wake(void *, target *) {}
    static void task_changed(void *ctx, task *t, task_state was)
    {
        if (((World *)ctx)->s) {
            sched_task_changed(((World *)ctx)->s, t, was);
        }
    }
    static void attempt_ended(void *ctx, task *t, target *on)
    {
        if (((World *)ctx)->s) {
            sched_attempt_ended(((World *)ctx)->s, t, on);
        }
    }
    static void target_changed(void *ctx, target *t)
    {
        if (((World *)ctx)->s) {
            sched_target_changed(((World *)ctx)->s, t);
        }
    }
    static void config_changed(void *ctx)
    {
        if (((World *)ctx)->s) {
            sched_config_changed(((World *)ctx)->s);
        }
    }
    static void job_removed(void *ctx, job *j)
    {
        if (((World *)ctx)->s) {
            sched_job_removed(((World *)ctx)->s, j);
        }
    }

    template <typename T>
    enum fp_err apply(const fp_schema *schema, T &change,
                      uint64_t *id = nullptr)
    {
        change_answer answer;
        fp_blob blob;
        change.head.at_ms = WALL + now;
        fp_encode(schema, &change, &blob);
        cell_apply(c, ++index, blob.data, blob.size_bytes, &answer);
        auto err = (enum fp_err)answer.err;
        if (id) {
            *id = answer.id;
        }
        fp_record_free(&CHANGE_ANSWER_SCHEMA, &answer);
        fp_blob_free(&blob);
        return err;
    }
    void team(const char *name, uint32_t limit = 0, uint32_t weight = 1)
    {
        change_team t = {};
        g_strlcpy(t.name, name, sizeof(t.name));
        t.limit_running = limit;
        t.weight = weight;
        ASSERT_EQ(apply(&CHANGE_TEAM_SCHEMA, t), FP_OK);
    }
    void queue(const char *name, work_kind kind, const char *labels = "")
    {
        change_queue q = {};
        g_strlcpy(q.name, name, sizeof(q.name));
        g_strlcpy(q.labels, labels, sizeof(q.labels));
        q.kind = kind;
        ASSERT_EQ(apply(&CHANGE_QUEUE_SCHEMA, q), FP_OK);
    }
    void target_is(const char *name, uint32_t cpu, uint32_t accel = 0,
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
    // Decides and applies all proposals, as the log would.
    void run(uint64_t ms = 10)
    {
        for (uint64_t end = now + ms; now < end;) {
            now += 10;
            while (sched_run(s, now, WALL + now, 1000) > 0) {
                commit();
            }
            commit();
        }
    }
    void commit()
    {
        auto batches = std::move(proposed);
        proposed.clear();
        for (auto &batch : batches) {
            change_place p = {};
            p.items.items = batch.data();
            p.items.count = (uint32_t)batch.size();
            if (apply(&CHANGE_PLACE_SCHEMA, p) != FP_OK) {
                sched_placement_failed(s, batch.data(), p.items.count);
            }
        }
    }
    void finish(const task *t, end_outcome outcome)
    {
        change_end e = {};
        end_item item = {t->id, t->attempt, outcome, 0,
                         outcome == END_FAILED
                             ? sched_retry_at(s, t, WALL + now)
                             : 0};
        e.items.items = &item;
        e.items.count = 1;
        ASSERT_EQ(apply(&CHANGE_END_SCHEMA, e), FP_OK);
    }
    // Targets do as they are told at once.
    void obey()
    {
        GHashTableIter iter;
        target *t;
        std::vector<task *> stop;
        g_hash_table_iter_init(&iter, c->targets);
        while (g_hash_table_iter_next(&iter, nullptr, (gpointer *)&t)) {
            for (task *at = t->first; at; at = at->next_here) {
                auto order = sched_task_order(s, at);
                if (order == SCHED_ORDER_STOP || order == SCHED_ORDER_CHECKPOINT) {
                    stop.push_back(at);
                }
            }
        }
        for (task *at : stop) {
            finish(at, END_STOPPED);
        }
    }
    task *at(uint64_t job, uint32_t i = 0)
    {
        return cell_task(c, job * TASK_ID_PER_JOB + i);
    }
    uint32_t running(uint64_t job)
    {
        uint32_t count = 0;
        for (uint32_t i = 0; i < cell_job(c, job)->rec.count; i++) {
            count += at(job, i)->state == TASK_RUNNING;
        }
        return count;
    }
    std::string why(uint64_t job)
    {
        sched_explanation explanation;
        sched_explain(s, at(job), &explanation);
        return sched_block_name(explanation.block);
    }
};

TEST(Sched, GangStartsAllAtOnceOrNotAtAll)
{
    World w;
    w.team("a");
    w.queue("batch", WORK_BATCH);
    w.queue("gang", WORK_GANG);
    w.target_is("t1", 4000);
    w.target_is("t2", 4000);
    w.start();
    uint64_t busy = w.submit("batch", "a", 3, 1000);
    w.run();
    uint64_t gang = w.submit("gang", "a", 6, 1000);
    w.run();
    EXPECT_EQ(w.running(gang), 0u);
    EXPECT_EQ(w.why(gang), "no room");
    w.finish(w.at(busy, 0), END_DONE);
    w.run();
    EXPECT_EQ(w.running(gang), 6u);
    // One task is lost: the others yield, and all start again together.
    w.finish(w.at(gang, 2), END_LOST);
    w.run();
    EXPECT_EQ(w.running(gang), 5u);
    w.obey();
    w.run();
    EXPECT_EQ(w.running(gang), 6u);
    EXPECT_EQ(w.at(gang, 0)->attempt, 2u);
}

// Small tasks keep coming; without a reservation the gang would never find
// all of its room at once.
TEST(Sched, GangIsNotStarvedAndTwoGangsDoNotBlock)
{
    World w;
    w.team("a");
    w.team("b");
    w.queue("batch", WORK_BATCH);
    w.queue("gang", WORK_GANG);
    for (int i = 0; i < 4; i++) {
        w.target_is(("t" + std::to_string(i)).c_str(), 4000);
    }
    w.start();
    std::map<uint64_t, uint64_t> ends; // task ID to time
    uint64_t first = 0, second = 0;
    for (int step = 0; step < 3000 && w.now < 200000; step++) {
        if (step < 1500) {
            w.submit("batch", "a", 1, 1000, 0, 800);
        }
        if (step == 100) {
            first = w.submit("gang", "b", 12, 1000);
            second = w.submit("gang", "b", 16, 1000);
        }
        w.run(30);
        GHashTableIter iter;
        target *t;
        std::vector<task *> done;
        g_hash_table_iter_init(&iter, w.c->targets);
        while (g_hash_table_iter_next(&iter, nullptr, (gpointer *)&t)) {
            for (task *at = t->first; at; at = at->next_here) {
                if (w.now >= at->started_ms - WALL + 800) {
                    done.push_back(at);
                }
            }
        }
        for (task *at : done) {
            w.finish(at, END_DONE);
        }
        if (first && cell_job(w.c, first)->open == 0 &&
            cell_job(w.c, second)->open == 0) {
            EXPECT_LT(step, 1500) << "only after the small tasks had stopped";
            return;
        }
    }
    FAIL() << "a gang starved";
}

TEST(Sched, UrgentWorkTakesRoomWithTheLeastLoss)
{
    World w;
    w.team("a");
    w.team("b");
    w.queue("batch", WORK_BATCH);
    w.queue("service", WORK_SERVICE);
    w.queue("urgent", WORK_URGENT);
    w.target_is("t1", 4000);
    w.target_is("t2", 4000);
    w.start();
    uint64_t old = w.submit("batch", "a", 1, 2000);
    w.run(5000);
    uint64_t young = w.submit("batch", "a", 1, 2000);
    w.run(1000);
    // Stopping the service would lose least, but a service is kept running.
    uint64_t service = w.submit("service", "a", 2, 2000);
    w.run(500);
    uint64_t urgent = w.submit("urgent", "b", 1, 2000);
    w.run();
    EXPECT_EQ(w.running(urgent), 0u);
    EXPECT_EQ(sched_task_order(w.s, w.at(young)), SCHED_ORDER_CHECKPOINT);
    EXPECT_EQ(sched_task_order(w.s, w.at(old)), SCHED_ORDER_RUN);
    EXPECT_EQ(sched_task_order(w.s, w.at(service)), SCHED_ORDER_RUN);
    w.obey();
    w.run();
    EXPECT_EQ(w.running(urgent), 1u);
    EXPECT_EQ(w.running(old), 1u);
    EXPECT_EQ(w.running(service), 2u);
    EXPECT_EQ(w.at(young)->state, TASK_WAITING);
}

TEST(Sched, LimitsLabelsAndSelectorsActOnRunningWork)
{
    World w;
    w.team("a");
    w.queue("batch", WORK_BATCH);
    w.target_is("t1", 8000, 0, "dc1", "r1", "gpu=no");
    w.target_is("t2", 8000, 0, "dc2", "r2", "gpu=no");
    w.start();
    uint64_t job = w.submit("batch", "a", 6, 1000);
    w.run();
    ASSERT_EQ(w.running(job), 6u);
    w.team("a", 4);
    w.run();
    w.obey();
    w.run();
    EXPECT_EQ(w.running(job), 4u);
    EXPECT_EQ(w.why(job) == "team limit" || w.at(job)->state == TASK_RUNNING,
              true);
    // The target's labels no longer match the queue's new selector.
    change_queue q = {};
    g_strlcpy(q.name, "batch", sizeof(q.name));
    g_strlcpy(q.selector, "zone=quiet", sizeof(q.selector));
    q.kind = WORK_BATCH;
    ASSERT_EQ(w.apply(&CHANGE_QUEUE_SCHEMA, q), FP_OK);
    w.run();
    w.obey();
    w.run();
    EXPECT_EQ(w.running(job), 0u);
    EXPECT_EQ(w.why(job), "no matching target");
    change_labels l = {};
    g_strlcpy(l.target, "t2", sizeof(l.target));
    g_strlcpy(l.labels, "zone=quiet", sizeof(l.labels));
    ASSERT_EQ(w.apply(&CHANGE_LABELS_SCHEMA, l), FP_OK);
    w.run();
    EXPECT_EQ(w.running(job), 4u);
    EXPECT_STREQ(w.at(job, 5)->target ? w.at(job, 5)->target->rec.name : "t2",
                 "t2");
}

TEST(Sched, SharesByWeightWhenTheCellIsFull)
{
    World w;
    w.team("a", 0, 3);
    w.team("b", 0, 1);
    w.queue("batch", WORK_BATCH);
    w.target_is("t1", 16000);
    w.start();
    uint64_t b = w.submit("batch", "b", 30, 1000);
    uint64_t a = w.submit("batch", "a", 30, 1000);
    w.run();
    // Decisions are by share, whoever came first.
    EXPECT_EQ(w.running(a), 12u);
    EXPECT_EQ(w.running(b), 4u);
}

TEST(Sched, LentShareComesBack)
{
    World w;
    w.team("a");
    w.team("b");
    w.queue("batch", WORK_BATCH);
    w.target_is("t1", 10000);
    w.start();
    uint64_t a = w.submit("batch", "a", 30, 1000);
    w.run();
    ASSERT_EQ(w.running(a), 10u);
    uint64_t b = w.submit("batch", "b", 30, 1000);
    for (int i = 0; i < 60; i++) {
        w.run(1000);
        w.obey();
    }
    w.run();
    EXPECT_GE(w.running(b), 4u);
    EXPECT_EQ(w.running(a) + w.running(b), 10u);
}

TEST(Sched, TargetThatFailsEverythingIsPutOnProbation)
{
    World w;
    w.team("a");
    w.queue("batch", WORK_BATCH);
    w.target_is("bad", 1000);
    w.target_is("good", 1000);
    w.start();
    uint32_t on_bad = 0;
    for (int i = 0; i < 40; i++) {
        uint64_t job = w.submit("batch", "a", 1, 1000);
        uint64_t until = w.now + 60000;
        while (cell_job(w.c, job)->open > 0 && w.now < until) {
            w.run(20);
            if (w.at(job)->state == TASK_RUNNING) {
                bool bad = strcmp(w.at(job)->target->rec.name, "bad") == 0;
                on_bad += bad;
                w.finish(w.at(job), bad ? END_FAILED : END_DONE);
            }
        }
        EXPECT_EQ(w.at(job)->state, TASK_DONE) << i;
    }
    EXPECT_LE(on_bad, 5u);
    EXPECT_TRUE(sched_on_probation(w.s, cell_target(w.c, "bad")));
    // Probation over: one probe that ends well lets it back.
    for (int i = 0; i < 200; i++) {
        w.run(1000);
        w.submit("batch", "a", 2, 1000);
        w.run(20);
        for (const char *name : {"bad", "good"}) {
            while (cell_target(w.c, name)->first) {
                w.finish(cell_target(w.c, name)->first, END_DONE);
            }
        }
    }
    EXPECT_FALSE(sched_on_probation(w.s, cell_target(w.c, "bad")));
}

TEST(Sched, QuietHoursKeepWorkAwayAndMoveIt)
{
    World w;
    w.team("a");
    w.queue("noisy", WORK_BATCH, "noise=high");
    w.target_is("near", 8000, 0, "dc1", "r1", "site=town");
    w.start();
    uint64_t job = w.submit("noisy", "a", 2, 1000);
    w.run();
    ASSERT_EQ(w.running(job), 2u);
    change_hours h = {};
    g_strlcpy(h.name, "court", sizeof(h.name));
    g_strlcpy(h.selector, "noise=high", sizeof(h.selector));
    g_strlcpy(h.hosts, "site=town", sizeof(h.hosts));
    g_strlcpy(h.time_zone, "Europe/Athens", sizeof(h.time_zone));
    h.from_minute = 0;
    h.to_minute = 1439;
    h.action = HOURS_THROTTLE;
    ASSERT_EQ(w.apply(&CHANGE_HOURS_SCHEMA, h), FP_OK);
    w.run();
    EXPECT_EQ(sched_task_order(w.s, w.at(job)), SCHED_ORDER_THROTTLE);
    h.action = HOURS_MOVE;
    ASSERT_EQ(w.apply(&CHANGE_HOURS_SCHEMA, h), FP_OK);
    w.run();
    w.obey();
    w.run();
    EXPECT_EQ(w.running(job), 0u);
    EXPECT_EQ(w.why(job), "quiet hours");
    w.target_is("far", 8000, 0, "dc2", "r2", "site=field");
    w.run();
    EXPECT_EQ(w.running(job), 2u);
    EXPECT_STREQ(w.at(job)->target->rec.name, "far");
}

// Nights over midnight, the day a night belongs to, and both changes of the
// clocks in Athens (2026-03-29 and 2026-10-25) and Santiago (2026-09-06).
TEST(Sched, HoursFollowLocalTime)
{
    change_hours h = {};
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
    EXPECT_TRUE(active("2026-03-29T03:59:00Z")); // 06:59, the clocks went on
    EXPECT_FALSE(active("2026-03-29T04:00:00Z"));
    EXPECT_TRUE(active("2026-10-25T04:59:00Z")); // 06:59, the clocks went back
    EXPECT_FALSE(active("2026-10-25T05:00:00Z"));
    g_strlcpy(h.days, "fri", sizeof(h.days)); // 2026-01-09 is a Friday
    EXPECT_TRUE(active("2026-01-09T21:00:00Z"));
    EXPECT_TRUE(active("2026-01-10T04:00:00Z")); // Saturday, Friday's night
    EXPECT_FALSE(active("2026-01-10T21:00:00Z"));
    g_strlcpy(h.time_zone, "America/Santiago", sizeof(h.time_zone));
    h.days[0] = '\0';
    EXPECT_TRUE(active("2026-09-05T02:00:00Z"));  // 22:00 at -4
    EXPECT_FALSE(active("2026-09-07T00:59:00Z")); // 21:59 at -3
    EXPECT_TRUE(active("2026-09-07T01:00:00Z"));
}

TEST(Sched, CancellationWaveReturnsCapacity)
{
    World w;
    w.team("a");
    w.queue("batch", WORK_BATCH);
    for (int i = 0; i < 10; i++) {
        w.target_is(("t" + std::to_string(i)).c_str(), 10000);
    }
    w.start();
    uint64_t job = w.submit("batch", "a", 4000, 1000);
    uint64_t next = w.submit("batch", "a", 100, 1000);
    w.run();
    ASSERT_EQ(w.running(job), 100u);
    change_cancel cancel = {};
    uint64_t count = 0;
    cancel.id = job;
    ASSERT_EQ(w.apply(&CHANGE_CANCEL_SCHEMA, cancel, &count), FP_OK);
    EXPECT_EQ(count, 4000u);
    w.obey();
    EXPECT_EQ(cell_job(w.c, job)->open, 0u);
    w.run();
    EXPECT_EQ(w.running(next), 100u);
    char why[160];
    EXPECT_TRUE(cell_check(w.c, why, sizeof(why))) << why;
}

TEST(Sched, ServicesAreSpreadAndAcceleratorsKept)
{
    World w;
    w.team("a");
    w.queue("service", WORK_SERVICE);
    w.queue("batch", WORK_BATCH);
    for (int i = 0; i < 9; i++) {
        w.target_is(("t" + std::to_string(i)).c_str(), 8000, i < 3 ? 4 : 0,
                    ("dc" + std::to_string(i % 3)).c_str(),
                    ("r" + std::to_string(i)).c_str());
    }
    w.start();
    uint64_t service = w.submit("service", "a", 6, 1000);
    uint64_t batch = w.submit("batch", "a", 30, 1000);
    w.run();
    std::map<std::string, int> centres;
    std::map<std::string, int> hosts;
    for (uint32_t i = 0; i < 6; i++) {
        centres[w.at(service, i)->target->rec.data_centre]++;
        hosts[w.at(service, i)->target->rec.name]++;
    }
    EXPECT_EQ(centres["dc0"], 2);
    EXPECT_EQ(centres["dc1"], 2);
    EXPECT_EQ(centres["dc2"], 2);
    EXPECT_EQ(hosts.size(), 6u);
    for (uint32_t i = 0; i < 30; i++) {
        EXPECT_EQ(w.at(batch, i)->target->rec.accel, 0u);
    }
}

// A new leader builds the same lines from the state that the old one left.
TEST(Sched, IsBuiltAnewFromTheState)
{
    World w;
    w.team("a");
    w.queue("batch", WORK_BATCH);
    w.queue("gang", WORK_GANG);
    w.target_is("t1", 4000);
    w.start();
    uint64_t job = w.submit("batch", "a", 6, 1000);
    uint64_t gang = w.submit("gang", "a", 2, 1000);
    sched_run(w.s, w.now, WALL + w.now, 100); // proposed, never committed
    w.proposed.clear();
    sched_free(w.s);
    w.s = nullptr;
    w.start();
    w.run();
    EXPECT_EQ(w.running(job) + w.running(gang), 4u);
    for (uint32_t i = 0; i < 6; i++) {
        if (w.at(job, i)->state == TASK_RUNNING) {
            w.finish(w.at(job, i), END_DONE);
        }
    }
    w.run();
    EXPECT_EQ(w.running(job) + w.running(gang), 4u);
}

} // namespace
