// The placement policy and the hosts that query it, beside a FleetSim: each
// host has one query at a time, which takes the policy's service time. Grants
// a fixed share of the targets to each job, with tickets that expire. Starts
// with a ticket are confirmed at once.
#ifndef FP_TESTS_POLICY_HOSTS_H
#define FP_TESTS_POLICY_HOSTS_H

#include "tests/plan_world.h"

namespace plan_sim {

struct PolicyHosts {
    struct Pending {
        PolicyQuery query;
        uint64_t answer_ms;
    };

    FleetSim &sim;
    uint32_t hosts;
    uint32_t granted_percent; // of the targets, for each job
    std::vector<Pending> pending;
    std::map<uint64_t, uint32_t> asked; // job to queries sent
    std::map<uint64_t, std::vector<RunOrder>> started; // by job
    std::map<uint64_t, std::vector<RunOrder>> ending;  // by time
    std::map<uint64_t, uint64_t> run_ms;               // by job; else 1 s
    size_t seen_starts = 0;

    PolicyHosts(FleetSim &fleet_sim, uint32_t host_count, uint32_t percent)
        : sim(fleet_sim), hosts(host_count), granted_percent(percent)
    {
        sim.planner->ops.query_policy = on_query;
        sim.planner->ops.ctx = &sim;
        sim.policy_hosts = this;
    }

    bool grants(uint64_t job, const std::string &target) const
    {
        uint64_t hash = (job + 1) * 0x9e3779b97f4a7c15ull;
        for (char c : target) {
            hash = (hash ^ (uint8_t)c) * 0x100000001b3ull;
        }
        hash ^= hash >> 29;
        return (hash * 0xbf58476d1ce4e5b9ull >> 33) % 100 < granted_percent;
    }

    void answer_queries()
    {
        for (size_t i = 0; i < pending.size();) {
            if (pending[i].answer_ms > sim.now_ms) {
                i++;
                continue;
            }
            PolicyQuery query = pending[i].query;
            std::vector<std::string> granted;
            for (const auto &id : query.targets) {
                if (grants(query.step.job_id, id)) {
                    granted.push_back(id);
                }
            }
            pending.erase(pending.begin() + (long)i);
            sim.answer_query(query, granted);
        }
    }

    void confirm_new_starts()
    {
        for (; seen_starts < sim.start_orders.size(); seen_starts++) {
            const RunOrder order = sim.start_orders[seen_starts];
            uint64_t job = order.task.job_id;
            sim.confirm_start(order);
            started[job].push_back(order);
            ending[sim.now_ms + (run_ms.count(job) ? run_ms[job] : 1000)]
                .push_back(order);
        }
    }

    void end_runs()
    {
        while (!ending.empty() && ending.begin()->first <= sim.now_ms) {
            std::vector<RunOrder> orders = ending.begin()->second;
            ending.erase(ending.begin());
            for (const auto &order : orders) {
                sim.end_run(order, RUN_DONE);
            }
        }
    }

    // Lets time pass; returns false once done() holds at the end of a step.
    template <typename F> bool run_until(uint64_t limit_ms, F done)
    {
        uint64_t end_ms = sim.now_ms + limit_ms;
        while (sim.now_ms < end_ms) {
            sim.now_ms += 10;
            answer_queries();
            end_runs();
            sim.run_pass();
            confirm_new_starts();
            if (done()) {
                return true;
            }
        }
        return false;
    }

    static bool on_query(void *ctx, const fleet_task_id *step,
                         fleet_target *const *targets, uint32_t count,
                         uint32_t, bool short_query)
    {
        auto *self = (PolicyHosts *)((FleetSim *)ctx)->policy_hosts;
        FleetSim &sim = self->sim;
        uint32_t idle = self->hosts - (uint32_t)self->pending.size();
        if (idle <=
            (short_query ? 0 : plan_reserved_policy_clients(self->hosts))) {
            return false;
        }
        PolicyQuery query = {*step, {}, short_query};
        for (uint32_t i = 0; i < count; i++) {
            query.targets.push_back(targets[i]->rec.id);
        }
        uint64_t took_ms =
            (sim.advice_us + (uint64_t)sim.advice_each_us * count) / 1000;
        self->asked[step->job_id]++;
        self->pending.push_back({query, sim.now_ms + took_ms});
        return true;
    }
};

} // namespace plan_sim

#endif // FP_TESTS_POLICY_HOSTS_H
