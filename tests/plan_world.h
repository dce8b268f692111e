// Simulates a fleet's state and its plan in one process: changes are applied
// as records, the plan's orders are recorded, and targets and the policy
// answer when a test says so. Time is virtual.
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

namespace plan_sim {

// An order to start, stop or pace a run, as the plan gave it.
struct RunOrder {
    std::string target;
    fleet_task_id task;
    uint32_t run;
    std::string checkpoint, ticket;
};

// A query to the placement policy.
struct PolicyQuery {
    fleet_task_id step;
    std::vector<std::string> targets;
    bool short_call;
};

// A step of a job that a test submits.
struct StepSpec {
    uint32_t count = 1, cpu_milli = 1000, accel = 0, estimate_ms = 1000;
    std::vector<uint32_t> after = {};
    bool gang = false, lasting = false, checkpoints = false,
         duplicates = false, fills = false;
    uint32_t spread = 0, tail_ms = 0;
    std::string rack = {}, label = {};
    uint32_t memory_mb = 0;
};

struct FleetSim {
    fleet *fleet_state;
    plan *planner = nullptr;
    uint64_t now_ms = 100000;
    std::vector<RunOrder> start_orders, stop_orders;
    std::vector<std::pair<RunOrder, uint32_t>> pace_orders;
    std::vector<PolicyQuery> queries;
    std::vector<plan_lost_run> lost_runs;
    std::vector<plan_crash> target_crashes;
    // Jobs released while targets had not listed their runs, and how many.
    std::vector<std::pair<uint64_t, uint32_t>> released_jobs;
    std::vector<std::string> wait_reasons;
    plan_wait last_wait = {};
    bool policy_client_free = true; // false: queries cannot be sent
    void *policy_hosts = nullptr;   // see policy_hosts.h
    uint64_t config_version = 0;
    // How long the policy takes for a query, and for each target in it.
    uint32_t advice_us = 20000, advice_each_us = 1000;
    uint32_t max_attempts = 3; // of each queue
    // Reports of tasks that have used up their attempts. They are committed at
    // once unless drops_reports is true.
    std::vector<fleet_run_end> reports;
    bool drops_reports = false;
    // Services of queues that are on another one than configure() says.
    std::map<std::string, std::string> queue_services;

    FleetSim()
    {
        fleet_state = fleet_new(120000);
        fleet_state->ops = {on_config_changed,
                            on_target_changed,
                            on_target_removed,
                            on_job_added,
                            on_job_ended,
                            on_job_removed,
                            on_evacuation_changed,
                            on_queue_removed,
                            this};
    }
    ~FleetSim()
    {
        plan_free(planner);
        fleet_free(fleet_state);
    }
    FleetSim(const FleetSim &) = delete;
    FleetSim &operator=(const FleetSim &) = delete;

    // Applies a change as if it had been committed.
    template <typename T>
    change_answer apply_change(const fp_schema *schema, T *record)
    {
        fp_blob blob;
        change_answer answer;
        record->head.at_ms = now_ms;
        fp_encode(schema, record, &blob);
        fleet_apply(fleet_state, blob.data, blob.size_bytes, &answer);
        fp_blob_free(&blob);
        return answer;
    }

    // Puts a configuration in force with these queues, in order of priority,
    // highest first, on service "svc" or, for a queue named "alt", on "alt".
    // limit_cpu_milli: of the one team; 0: none.
    // teams: names and weights; the key of each but the first is its name.
    void configure(const std::vector<std::string> &queues,
                   bool advised = false, uint64_t limit_cpu_milli = 0,
                   const std::vector<std::pair<std::string, uint32_t>> &teams =
                       {{"team", 1}})
    {
        fleet_config config;
        memset(&config, 0, sizeof(config));
        config.version = ++config_version;
        uint32_t priority = 0;
        for (const auto &name : queues) {
            auto *queue = (fleet_queue_conf *)fp_list_add(
                &config.queues, sizeof(fleet_queue_conf));
            g_strlcpy(queue->name, name.c_str(), FLEET_NAME_BYTES);
            g_strlcpy(queue->host, "h", FLEET_NAME_BYTES);
            g_strlcpy(queue->prefix, ("/" + name + "/").c_str(),
                      FLEET_PATH_BYTES);
            std::string service = name == "alt" ? "alt" : "svc";
            if (queue_services.count(name)) {
                service = queue_services[name];
            }
            g_strlcpy(queue->service, service.c_str(), FLEET_NAME_BYTES);
            queue->priority = priority++;
            queue->objective_ms = 1000;
            queue->stretch_permille = 2000;
            queue->max_attempts = max_attempts;
            queue->open = true;
            queue->advised = advised;
            queue->advice_us = advice_us;
            queue->advice_each_us = advice_each_us;
            queue->ticket_ms = 2000;
        }
        for (const char *name : {"svc", "alt"}) {
            auto *service = (fleet_service_conf *)fp_list_add(
                &config.services, sizeof(fleet_service_conf));
            g_strlcpy(service->name, name, FLEET_NAME_BYTES);
        }
        for (const auto &[name, weight] : teams) {
            auto *team = (fleet_team_conf *)fp_list_add(
                &config.teams, sizeof(fleet_team_conf));
            g_strlcpy(team->name, name.c_str(), FLEET_NAME_BYTES);
            team->weight = weight;
            team->limit_cpu_milli = limit_cpu_milli;
            auto *key = (fleet_key_conf *)fp_list_add(&team->keys,
                                                      sizeof(fleet_key_conf));
            g_strlcpy(key->key,
                      config.teams.count == 1 ? "key" : name.c_str(),
                      FLEET_KEY_BYTES);
        }
        ASSERT_EQ(apply_change(&FLEET_CONFIG_SCHEMA, &config).err, FP_OK);
        fp_record_free(&FLEET_CONFIG_SCHEMA, &config);
    }

    // The target has not listed its runs in this term.
    void forget_runs(const std::string &id)
    {
        ((plan_target *)find_target(id)->plan)->runs_known = false;
    }

    // Puts the queue "q" on a service, beside a queue "spare".
    void move_queue(const std::string &service)
    {
        queue_services["q"] = service;
        configure({"q", "spare"});
    }

    // Replaces the state by its snapshot, as after a restart of all hosts.
    void restart_from_snapshot()
    {
        fp_blob saved = {nullptr, 0};
        fleet_save(fleet_state, &saved);
        ASSERT_EQ(fleet_load(fleet_state, &saved), FP_OK);
        fp_blob_free(&saved);
    }

    // Removes a target; notice: it says that it ends.
    void remove_target(const std::string &id, bool notice = false)
    {
        fleet_target_removal removal;
        memset(&removal, 0, sizeof(removal));
        g_strlcpy(removal.id, id.c_str(), FLEET_NAME_BYTES);
        removal.is_notice = notice;
        ASSERT_EQ(apply_change(&FLEET_TARGET_REMOVAL_SCHEMA, &removal).err,
                  FP_OK);
    }

    // Adds or updates a target.
    void put_target(const std::string &id, uint32_t cpu_milli = 8000,
                    uint32_t accel = 0, const std::string &rack = "r1",
                    bool leaving = false, uint64_t born_ms = 1,
                    uint32_t stays_ms = 0, const char *service = "svc",
                    uint64_t sequence = 0, fp_err expected = FP_OK)
    {
        fleet_target_rec rec;
        memset(&rec, 0, sizeof(rec));
        g_strlcpy(rec.id, id.c_str(), FLEET_NAME_BYTES);
        g_strlcpy(rec.address, ("10.0.0.1:" + id).c_str(), FLEET_NAME_BYTES);
        g_strlcpy(rec.service, service, FLEET_NAME_BYTES);
        g_strlcpy(rec.rack, rack.c_str(), FLEET_NAME_BYTES);
        g_strlcpy(rec.labels, ("a," + rack).c_str(), FLEET_LABELS_BYTES);
        rec.born_ms = born_ms;
        rec.cpu_milli = cpu_milli;
        rec.memory_mb = 100000;
        rec.accel = accel;
        rec.leaving = leaving;
        rec.stays_ms = stays_ms;
        rec.sequence = sequence;
        ASSERT_EQ(apply_change(&FLEET_TARGET_SCHEMA, &rec).err, expected);
    }

    // Starts a term: jobs known so far are inherited. All targets are usable
    // and count as having listed their runs.
    // The wall clock is at wall_ms, 0: with the time of the changes.
    void become_leader(uint32_t run_base = 1024,
                       const plan_policy *policy = nullptr,
                       uint64_t wall_ms = 0)
    {
        plan_params params = {policy, 900, 1500, run_base,
                              wall_ms != 0 ? wall_ms : now_ms};
        plan_ops ops = {};
        ops.start_run = on_start;
        ops.stop_run = on_stop;
        ops.set_pace = on_pace;
        ops.query_policy = on_advise;
        ops.on_job_released = on_job_released;
        ops.on_step_waiting = on_step_waiting;
        ops.on_run_lost = on_run_lost;
        ops.on_target_crashed = on_target_crashed;
        ops.store_evidence = on_evidence;
        ops.repeat_ends = on_repeated_ends;
        ops.ctx = this;
        planner = plan_new(fleet_state, &params, &ops, now_ms);
        for (guint i = 0; i < planner->targets->len; i++) {
            ((plan_target *)planner->targets->pdata[i])->usable = true;
            ((plan_target *)planner->targets->pdata[i])->runs_known = true;
        }
    }
    void set_usable(const std::string &id, bool usable = true)
    {
        plan_set_target_usable(planner, find_target(id), usable);
    }
    fleet_target *find_target(const std::string &id)
    {
        return fleet_find_target(fleet_state, id.c_str());
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
        for (const auto &spec : steps) {
            auto *step = (fleet_step *)fp_list_add(&job.steps,
                                                   sizeof(fleet_step));
            step->count = spec.count;
            step->cpu_milli = spec.cpu_milli;
            step->memory_mb = spec.memory_mb;
            step->accel = spec.accel;
            step->estimate_ms = spec.estimate_ms;
            step->gang = spec.gang;
            step->lasting = spec.lasting;
            step->checkpoints = spec.checkpoints;
            step->duplicates = spec.duplicates;
            step->fills = spec.fills;
            step->spread = spec.spread;
            step->tail_ms = spec.tail_ms;
            g_strlcpy(step->rack, spec.rack.c_str(), FLEET_NAME_BYTES);
            g_strlcpy(step->label, spec.label.c_str(), FLEET_NAME_BYTES);
            for (uint32_t predecessor : spec.after) {
                ((fleet_dependency *)fp_list_add(&step->after,
                                                 sizeof(fleet_dependency)))
                    ->step = predecessor;
            }
        }
        fleet_decide_share(fleet_state, &job, find_team(team), now_ms);
        change_answer answer = apply_change(&FLEET_SUBMIT_SCHEMA, &job);
        fp_record_free(&FLEET_SUBMIT_SCHEMA, &job);
        return answer;
    }

    // Submits a job of one task with several occurrences; the first one is due
    // at first_due_ms (wall clock).
    void submit_recurring(uint64_t id, uint64_t first_due_ms,
                          uint32_t interval_ms, uint32_t occurrences)
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
        EXPECT_EQ(apply_change(&FLEET_SUBMIT_SCHEMA, &job).err, FP_OK);
        fp_record_free(&FLEET_SUBMIT_SCHEMA, &job);
    }

    void cancel_job(uint64_t id)
    {
        fleet_cancel cancel;
        memset(&cancel, 0, sizeof(cancel));
        cancel.id = id;
        EXPECT_EQ(apply_change(&FLEET_CANCEL_SCHEMA, &cancel).err, FP_OK);
    }

    // Advances the clock and runs one scheduling pass.
    void run_pass(uint64_t elapsed_ms = 0)
    {
        // Passes closer together than 2 ms are skipped by the plan.
        now_ms = std::max(now_ms + elapsed_ms, planner->last_pass_ms + 2);
        plan_pass(planner, now_ms, now_ms + 1000000);
    }

    // The target confirms the start order.
    void confirm_start(const RunOrder &order)
    {
        plan_start_answered(planner, find_target(order.target), &order.task,
                            order.run, ORDER_DONE, now_ms);
    }
    void confirm_starts()
    {
        for (const auto &order : start_orders) {
            confirm_start(order);
        }
    }
    void answer_start(const RunOrder &order, order_answer answer)
    {
        plan_start_answered(planner, find_target(order.target), &order.task,
                            order.run, answer, now_ms);
    }
    // The target lists the end of a run, which is committed as well.
    void end_run(const RunOrder &order, run_outcome outcome,
                 const std::string &checkpoint = "")
    {
        fleet_run_end end;
        memset(&end, 0, sizeof(end));
        end.task = order.task;
        end.run = order.run;
        end.outcome = outcome;
        g_strlcpy(end.checkpoint, checkpoint.c_str(), FLEET_CHECKPOINT_BYTES);
        plan_run_ended(planner, find_target(order.target), &end, now_ms);
        commit_end(end);
    }
    void commit_end(const fleet_run_end &end)
    {
        fleet_run_ends ends;
        memset(&ends, 0, sizeof(ends));
        *(fleet_run_end *)fp_list_add(&ends.items, sizeof(fleet_run_end)) =
            end;
        apply_change(&FLEET_RUN_ENDS_SCHEMA, &ends);
        fp_record_free(&FLEET_RUN_ENDS_SCHEMA, &ends);
    }
    // A row of a target's list of runs.
    plan_listed_run make_row(const RunOrder &order)
    {
        plan_listed_run row;
        memset(&row, 0, sizeof(row));
        row.task = order.task;
        row.run_number = order.run;
        return row;
    }
    // The target answers a request for its list of runs, sent at asked_ms.
    // first: the first list in this term. cut: it may have further ends.
    void report_runs(const std::string &id, const std::vector<plan_listed_run> &rows,
                     bool first, uint64_t asked_ms, bool cut = false)
    {
        const plan_run_list list = {rows.data(), (uint32_t)rows.size(), first,
                                    cut, asked_ms};
        plan_runs_listed(planner, find_target(id), &list, now_ms);
    }
    // The policy answers a query: it grants these targets, or fails with err.
    void answer_query(const PolicyQuery &query,
                      const std::vector<std::string> &granted_ids,
                      fp_err err = FP_OK, uint32_t unread = 0,
                      uint32_t age_ms = 0)
    {
        std::vector<call_ticket> tickets(granted_ids.size());
        for (size_t i = 0; i < granted_ids.size(); i++) {
            memset(&tickets[i], 0, sizeof(call_ticket));
            g_strlcpy(tickets[i].id, granted_ids[i].c_str(), FLEET_NAME_BYTES);
            g_strlcpy(tickets[i].ticket, ("t-" + granted_ids[i]).c_str(),
                      FLEET_TICKET_BYTES);
        }
        const plan_policy_answer answer = {
            err, tickets.data(), (uint32_t)tickets.size(), unread, age_ms,
            false};
        plan_policy_answered(planner, &query.step, &answer, now_ms);
    }
    uint64_t used_cpu_milli(const std::string &id)
    {
        return ((plan_target *)find_target(id)->plan)->used.cpu_milli;
    }
    fleet_team *find_team(const std::string &name)
    {
        return (fleet_team *)g_hash_table_lookup(fleet_state->teams,
                                                 name.c_str());
    }
    fleet_job *find_job(uint64_t id)
    {
        return fleet_find_job(fleet_state, id);
    }

    // ---- callbacks of the fleet state and the plan
    static FleetSim *self(void *ctx) { return (FleetSim *)ctx; }
    static void on_config_changed(void *ctx)
    {
        if (self(ctx)->planner) {
            plan_config_changed(self(ctx)->planner);
        }
    }
    static void on_target_changed(void *ctx, fleet_target *target, bool reborn)
    {
        if (self(ctx)->planner) {
            plan_target_changed(self(ctx)->planner, target);
            if (reborn) {
                plan_target_restarted(self(ctx)->planner, target,
                                   self(ctx)->now_ms);
            }
        }
    }
    static void on_target_removed(void *ctx, fleet_target *target)
    {
        if (self(ctx)->planner) {
            plan_target_removed(self(ctx)->planner, target);
        }
    }
    static void on_job_added(void *ctx, fleet_job *job)
    {
        if (self(ctx)->planner) {
            plan_job_added(self(ctx)->planner, job, self(ctx)->now_ms);
        }
    }
    static void on_job_ended(void *ctx, fleet_job *job)
    {
        if (self(ctx)->planner) {
            plan_job_ended(self(ctx)->planner, job, self(ctx)->now_ms);
        }
    }
    static void on_job_removed(void *ctx, fleet_job *job)
    {
        if (self(ctx)->planner) {
            plan_job_removed(self(ctx)->planner, job);
        }
    }
    static void on_evacuation_changed(void *ctx, const fleet_data_centre *)
    {
        if (self(ctx)->planner) {
            plan_evacuation_changed(self(ctx)->planner);
        }
    }
    static void on_queue_removed(void *ctx, fleet_queue *queue)
    {
        if (self(ctx)->planner) {
            plan_queue_removed(self(ctx)->planner, queue);
        }
    }
    static void on_start(void *ctx, const plan_start *start)
    {
        self(ctx)->start_orders.push_back({start->target->rec.id, start->task,
                                           start->run_number, start->checkpoint,
                                           start->ticket});
    }
    static void on_stop(void *ctx, const fleet_target *target,
                        const fleet_task_id *task, uint32_t run,
                        const char *)
    {
        self(ctx)->stop_orders.push_back({target->rec.id, *task, run, "", ""});
    }
    static void on_job_released(void *ctx, const fleet_job *job,
                                uint32_t unlisted)
    {
        self(ctx)->released_jobs.push_back({job->submit.id, unlisted});
    }
    static void on_step_waiting(void *ctx, const plan_wait *wait)
    {
        self(ctx)->wait_reasons.push_back(wait->reason);
        self(ctx)->last_wait = *wait;
    }
    static void on_run_lost(void *ctx, const plan_lost_run *lost)
    {
        self(ctx)->lost_runs.push_back(*lost);
    }
    static void on_target_crashed(void *ctx, const plan_crash *crash)
    {
        self(ctx)->target_crashes.push_back(*crash);
    }
    static void on_evidence(void *ctx, const fp_list *items)
    {
        fleet_crashes crashes;
        memset(&crashes, 0, sizeof(crashes));
        crashes.items = *items;
        self(ctx)->apply_change(&FLEET_CRASHES_SCHEMA, &crashes);
    }
    static void on_repeated_ends(void *ctx, const fp_list *items)
    {
        const auto *end = (const fleet_run_end *)items->items;
        const std::vector<fleet_run_end> ends(end, end + items->count);
        for (const fleet_run_end &item : ends) {
            self(ctx)->reports.push_back(item);
            if (!self(ctx)->drops_reports) {
                self(ctx)->commit_end(item);
            }
        }
    }
    static void on_pace(void *ctx, const fleet_target *target,
                        const fleet_task_id *task, uint32_t run,
                        uint32_t percent)
    {
        self(ctx)->pace_orders.push_back(
            {{target->rec.id, *task, run, "", ""}, percent});
    }
    static bool on_advise(void *ctx, const fleet_task_id *step,
                          fleet_target *const *targets, uint32_t count,
                          uint32_t, bool short_call)
    {
        if (!self(ctx)->policy_client_free) {
            return false;
        }
        PolicyQuery query = {*step, {}, short_call};
        for (uint32_t i = 0; i < count; i++) {
            query.targets.push_back(targets[i]->rec.id);
        }
        self(ctx)->queries.push_back(query);
        return true;
    }
};

} // namespace plan_sim

#endif // FP_TESTS_PLAN_WORLD_H
