// A fleet's state and plan without processes: changes are applied as records,
// orders of the plan are collected, and targets answer when a test says so.
// Time is virtual.
#ifndef FP_TESTS_PLAN_WORLD_H
#define FP_TESTS_PLAN_WORLD_H

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "core/planpriv.h"
}

namespace plan_world {

struct Order {
    std::string target;
    fleet_task_name task;
    uint32_t run;
    std::string checkpoint, ticket;
};

struct Question {
    fleet_task_name step;
    std::vector<std::string> targets;
    bool short_call;
};

struct StepSpec {
    uint32_t count = 1, cpu = 1000, accel = 0, estimate_ms = 1000;
    std::vector<uint32_t> after = {};
    bool gang = false, lasting = false, checkpoints = false,
         duplicates = false, fills = false;
    uint32_t spread = 0, tail_ms = 0;
    std::string rack = {}, label = {};
};

struct World {
    fleet *f;
    plan *p = nullptr;
    uint64_t now = 100000;
    std::vector<Order> starts, stops;
    std::vector<std::pair<Order, uint32_t>> paces;
    std::vector<Question> questions;
    bool asker_free = true;
    uint64_t version = 0;

    World()
    {
        f = fleet_new(120000);
        f->ops = {on_config, on_target, on_target_gone, on_job, on_job_end,
                  on_job_gone, this};
    }
    ~World()
    {
        plan_free(p);
        fleet_free(f);
    }
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    template <typename T>
    change_answer apply(const fp_schema *schema, T *record)
    {
        fp_blob blob;
        change_answer answer;
        record->head.at_ms = now;
        fp_encode(schema, record, &blob);
        fleet_apply(f, blob.data, blob.size_bytes, &answer);
        fp_blob_free(&blob);
        return answer;
    }

    // One queue for each name, on service "svc", or "alt" if it is called so;
    // priority by order.
    void configure(const std::vector<std::string> &queues, bool advised = false,
                   uint64_t limit_cpu = 0)
    {
        fleet_config config;
        memset(&config, 0, sizeof(config));
        config.version = ++version;
        uint32_t priority = 0;
        for (const auto &name : queues) {
            auto *queue = (fleet_queue_conf *)fp_list_add(&config.queues,
                                                          sizeof(fleet_queue_conf));
            g_strlcpy(queue->name, name.c_str(), FLEET_NAME_BYTES);
            g_strlcpy(queue->host, "h", FLEET_NAME_BYTES);
            g_strlcpy(queue->prefix, ("/" + name + "/").c_str(),
                      FLEET_PATH_BYTES);
            g_strlcpy(queue->service, name == "alt" ? "alt" : "svc",
                      FLEET_NAME_BYTES);
            queue->priority = priority++;
            queue->objective_ms = 1000;
            queue->stretch_permille = 2000;
            queue->max_attempts = 3;
            queue->open = true;
            queue->advised = advised;
            queue->advice_us = 20000;
            queue->advice_each_us = 1000;
            queue->ticket_ms = 2000;
        }
        for (const char *name : {"svc", "alt"}) {
            auto *service = (fleet_service_conf *)fp_list_add(
                &config.services, sizeof(fleet_service_conf));
            g_strlcpy(service->name, name, FLEET_NAME_BYTES);
        }
        auto *team = (fleet_team_conf *)fp_list_add(&config.teams,
                                                    sizeof(fleet_team_conf));
        g_strlcpy(team->name, "team", FLEET_NAME_BYTES);
        team->weight = 1;
        team->limit_cpu_milli = limit_cpu;
        auto *key = (fleet_key_conf *)fp_list_add(&team->keys,
                                                  sizeof(fleet_key_conf));
        g_strlcpy(key->key, "key", FLEET_KEY_BYTES);
        ASSERT_EQ(apply(&FLEET_CONFIG_SCHEMA, &config).err, FP_OK);
        fp_record_free(&FLEET_CONFIG_SCHEMA, &config);
    }

    void target(const std::string &id, uint32_t cpu = 8000, uint32_t accel = 0,
                const std::string &rack = "r1", bool leaving = false,
                uint64_t born = 1, uint32_t stays_ms = 0,
                const char *service = "svc")
    {
        fleet_target_rec rec;
        memset(&rec, 0, sizeof(rec));
        g_strlcpy(rec.id, id.c_str(), FLEET_NAME_BYTES);
        g_strlcpy(rec.address, ("10.0.0.1:" + id).c_str(), FLEET_NAME_BYTES);
        g_strlcpy(rec.service, service, FLEET_NAME_BYTES);
        g_strlcpy(rec.rack, rack.c_str(), FLEET_NAME_BYTES);
        g_strlcpy(rec.labels, ("a," + rack).c_str(), FLEET_LABELS_BYTES);
        rec.born_ms = born;
        rec.cpu_milli = cpu;
        rec.memory_mb = 100000;
        rec.accel = accel;
        rec.leaving = leaving;
        rec.stays_ms = stays_ms;
        ASSERT_EQ(apply(&FLEET_TARGET_SCHEMA, &rec).err, FP_OK);
    }

    // Begins to lead: everything known so far is inherited.
    void lead(uint32_t run_base = 1024)
    {
        plan_params params = {nullptr, 900, 1500, run_base};
        plan_ops ops = {on_start, on_stop, on_pace, on_advise,
                        nullptr,  nullptr, nullptr, this};
        p = plan_new(f, &params, &ops, now);
        for (guint i = 0; i < p->targets->len; i++) {
            ((plan_target *)p->targets->pdata[i])->usable = true;
            ((plan_target *)p->targets->pdata[i])->runs_known = true;
        }
    }
    void use(const std::string &id, bool usable = true)
    {
        plan_set_target_usable(p, find(id), usable);
    }
    fleet_target *find(const std::string &id)
    {
        return fleet_find_target(f, id.c_str());
    }

    change_answer submit(uint64_t id, const std::vector<StepSpec> &steps,
                         const std::string &queue = "q",
                         const std::string &team = "team")
    {
        fleet_submit job;
        memset(&job, 0, sizeof(job));
        job.id = id;
        g_strlcpy(job.host, "h", FLEET_NAME_BYTES);
        g_strlcpy(job.prefix, ("/" + queue + "/").c_str(), FLEET_PATH_BYTES);
        g_strlcpy(job.team, team.c_str(), FLEET_NAME_BYTES);
        job.spec = fp_blob_copy("spec", 4);
        for (const auto &from : steps) {
            auto *step = (fleet_step *)fp_list_add(&job.steps,
                                                   sizeof(fleet_step));
            step->count = from.count;
            step->cpu_milli = from.cpu;
            step->accel = from.accel;
            step->estimate_ms = from.estimate_ms;
            step->gang = from.gang;
            step->lasting = from.lasting;
            step->checkpoints = from.checkpoints;
            step->duplicates = from.duplicates;
            step->fills = from.fills;
            step->spread = from.spread;
            step->tail_ms = from.tail_ms;
            g_strlcpy(step->rack, from.rack.c_str(), FLEET_NAME_BYTES);
            g_strlcpy(step->label, from.label.c_str(), FLEET_NAME_BYTES);
            for (uint32_t at : from.after) {
                ((fleet_after *)fp_list_add(&step->after, sizeof(fleet_after)))
                    ->step = at;
            }
        }
        change_answer answer = apply(&FLEET_SUBMIT_SCHEMA, &job);
        fp_record_free(&FLEET_SUBMIT_SCHEMA, &job);
        return answer;
    }

    // A job of one task that is due at first_due_ms (wall clock), and again.
    void submit_timed(uint64_t id, uint64_t first_due_ms, uint32_t interval_ms,
                      uint32_t occurrences)
    {
        fleet_submit job;
        memset(&job, 0, sizeof(job));
        job.id = id;
        g_strlcpy(job.host, "h", FLEET_NAME_BYTES);
        g_strlcpy(job.prefix, "/q/", FLEET_PATH_BYTES);
        auto *step = (fleet_step *)fp_list_add(&job.steps, sizeof(fleet_step));
        step->count = 1;
        step->cpu_milli = 1000;
        step->estimate_ms = 1000;
        job.occurrences = occurrences;
        job.first_due_ms = first_due_ms;
        job.interval_ms = interval_ms;
        EXPECT_EQ(apply(&FLEET_SUBMIT_SCHEMA, &job).err, FP_OK);
        fp_record_free(&FLEET_SUBMIT_SCHEMA, &job);
    }

    void cancel(uint64_t id)
    {
        fleet_cancel cancel;
        memset(&cancel, 0, sizeof(cancel));
        cancel.id = id;
        EXPECT_EQ(apply(&FLEET_CANCEL_SCHEMA, &cancel).err, FP_OK);
    }

    void pass(uint64_t ms = 0)
    {
        now = std::max(now + ms, p->last_pass_ms + 2); // passes keep a distance
        plan_pass(p, now, now + 1000000);
    }

    // The target answers that it has the run.
    void confirm(const Order &order)
    {
        plan_start_answered(p, find(order.target), &order.task, order.run,
                            ORDER_DONE, now);
    }
    void confirm_all()
    {
        for (const auto &order : starts) {
            confirm(order);
        }
    }
    void answer(const Order &order, order_answer answer)
    {
        plan_start_answered(p, find(order.target), &order.task, order.run,
                            answer, now);
    }
    // The target lists an end; it is committed as well.
    void end(const Order &order, run_outcome outcome,
             const std::string &checkpoint = "")
    {
        fleet_end end;
        memset(&end, 0, sizeof(end));
        end.task = order.task;
        end.run = order.run;
        end.outcome = outcome;
        g_strlcpy(end.checkpoint, checkpoint.c_str(), FLEET_CHECKPOINT_BYTES);
        plan_run_ended(p, find(order.target), &end, now);
        commit(end);
    }
    void commit(const fleet_end &end)
    {
        fleet_ends ends;
        memset(&ends, 0, sizeof(ends));
        *(fleet_end *)fp_list_add(&ends.items, sizeof(fleet_end)) = end;
        apply(&FLEET_ENDS_SCHEMA, &ends);
        fp_record_free(&FLEET_ENDS_SCHEMA, &ends);
    }
    plan_listed_run row(const Order &order)
    {
        plan_listed_run row;
        memset(&row, 0, sizeof(row));
        row.task = order.task;
        row.run_number = order.run;
        return row;
    }
    void rows(const std::string &id, const std::vector<plan_listed_run> &list,
              bool first, uint64_t asked_ms)
    {
        plan_runs_listed(p, find(id), list.data(), (uint32_t)list.size(), first,
                  asked_ms, now);
    }
    void grant(const Question &question, const std::vector<std::string> &ids,
               fp_err err = FP_OK)
    {
        std::vector<call_ticket> tickets(ids.size());
        for (size_t i = 0; i < ids.size(); i++) {
            memset(&tickets[i], 0, sizeof(call_ticket));
            g_strlcpy(tickets[i].id, ids[i].c_str(), FLEET_NAME_BYTES);
            g_strlcpy(tickets[i].ticket, ("t-" + ids[i]).c_str(),
                      FLEET_TICKET_BYTES);
        }
        plan_policy_answered(p, &question.step, err, tickets.data(),
                     (uint32_t)tickets.size(), now);
    }
    uint64_t used_cpu(const std::string &id)
    {
        return ((plan_target *)find(id)->plan)->used.cpu_milli;
    }
    fleet_job *job(uint64_t id) { return fleet_find_job(f, id); }

    // ---- what the state and the plan call
    static World *self(void *ctx) { return (World *)ctx; }
    static void on_config(void *ctx)
    {
        if (self(ctx)->p) {
            plan_config_changed(self(ctx)->p);
        }
    }
    static void on_target(void *ctx, fleet_target *t, bool reborn)
    {
        if (self(ctx)->p) {
            plan_target_changed(self(ctx)->p, t);
            if (reborn) {
                plan_target_restarted(self(ctx)->p, t, self(ctx)->now);
            }
        }
    }
    static void on_target_gone(void *ctx, fleet_target *t)
    {
        if (self(ctx)->p) {
            plan_target_removed(self(ctx)->p, t);
        }
    }
    static void on_job(void *ctx, fleet_job *j)
    {
        if (self(ctx)->p) {
            plan_job_added(self(ctx)->p, j, self(ctx)->now);
        }
    }
    static void on_job_end(void *ctx, fleet_job *j)
    {
        if (self(ctx)->p) {
            plan_job_ended(self(ctx)->p, j, self(ctx)->now);
        }
    }
    static void on_job_gone(void *ctx, fleet_job *j)
    {
        if (self(ctx)->p) {
            plan_job_removed(self(ctx)->p, j);
        }
    }
    static void on_start(void *ctx, const plan_start *start)
    {
        self(ctx)->starts.push_back({start->target->rec.id, start->task,
                                     start->run_number, start->checkpoint,
                                     start->ticket});
    }
    static void on_stop(void *ctx, const fleet_target *t,
                        const fleet_task_name *task, uint32_t run,
                        const char *)
    {
        self(ctx)->stops.push_back({t->rec.id, *task, run, "", ""});
    }
    static void on_pace(void *ctx, const fleet_target *t,
                        const fleet_task_name *task, uint32_t run,
                        uint32_t percent)
    {
        self(ctx)->paces.push_back({{t->rec.id, *task, run, "", ""}, percent});
    }
    static bool on_advise(void *ctx, const fleet_task_name *step,
                          fleet_target *const *targets, uint32_t count,
                          uint32_t, bool short_call)
    {
        if (!self(ctx)->asker_free) {
            return false;
        }
        Question question = {*step, {}, short_call};
        for (uint32_t i = 0; i < count; i++) {
            question.targets.push_back(targets[i]->rec.id);
        }
        self(ctx)->questions.push_back(question);
        return true;
    }
};

} // namespace plan_world

#endif // FP_TESTS_PLAN_WORLD_H
