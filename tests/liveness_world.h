// A fleet of simulated targets and a placement policy beside a FleetSim, with
// seeded random faults: orders, answers and lists that are lost or late,
// targets that crash, restart, are cut off, leave, shrink or grow, runs and
// gangs that fail, a slow or failing policy, and changes of the leader. Time
// is simulated.
#ifndef FP_TESTS_LIVENESS_WORLD_H
#define FP_TESTS_LIVENESS_WORLD_H

#include <cstdlib>
#include <functional>
#include <random>
#include <set>
#include <tuple>

#include "tests/plan_world.h"

namespace plan_sim {

const uint64_t TICK_MS = 10;
const uint64_t LEASE_MS = 3000;        // granted by a hold call
const uint64_t ORDER_TIMEOUT_MS = 900; // an order without an answer
const uint64_t GANG_WAIT_MS = 3000;    // a member waits for the others
const uint64_t TICKET_MS = 2000;

using TaskKey = std::tuple<uint64_t, uint32_t, uint32_t>; // job, step, index
using GangKey = std::tuple<uint64_t, uint32_t, uint32_t>; // job, step, run

struct LiveRun {
    RunOrder order;
    uint32_t cpu_milli;
    uint64_t start_ms, end_ms = 0, stop_ms = 0;
    run_outcome outcome = RUN_DONE;
};

struct Machine {
    std::string id, service, rack;
    uint64_t born_ms = 1;
    uint32_t cpu_milli = 8000;
    bool up = true, cut = false, leaving = false, gone = false;
    uint64_t lease_over_ms = 0;
    std::map<TaskKey, LiveRun> runs;
    std::map<TaskKey, uint32_t> highest; // run number seen for each task
    std::vector<std::pair<uint64_t, fleet_run_end>> ends; // not acknowledged
    uint64_t next_end = 1;

    bool answers() const { return up && !cut && !gone; }
};

// The leader's view of a target, as in node/dispatchlane.c.
struct Session {
    uint64_t born_ms = 0, lease_over_ms = 0, next_hold_ms = 0, lost_ms = 0;
    uint64_t stored_number = 0;
    bool listed = false, lost = false, in_flight = false;
};

struct LiveJob {
    std::vector<StepSpec> steps;
    std::vector<uint64_t> run_ms;
    std::string queue;
    bool deadly = false, failing = false, hopeless = false;
    uint64_t could_run_since_ms = 0;
};

struct LiveWorld {
    FleetSim sim;
    std::mt19937_64 random;
    bool advised, faulty = true;
    uint32_t policy_hosts = 5, granted_percent = 60;
    uint64_t limit_cpu_milli = 0; // of the team; 0: none
    uint32_t epoch = 0;
    std::string failure, trace;
    std::multimap<uint64_t, std::function<void()>> events;
    std::map<std::string, Machine> machines;
    std::map<std::string, Session> sessions;
    std::map<uint64_t, LiveJob> jobs;
    std::map<GangKey, std::set<uint32_t>> begun; // gangs that were whole
    std::map<GangKey, uint64_t> first_member_ms;
    std::map<std::pair<uint64_t, std::string>, uint64_t> tickets;
    std::map<std::string, std::string> queue_service;
    uint32_t queries_in_flight = 0;
    size_t seen_starts = 0, seen_stops = 0;
    const plan_policy *policy = nullptr;
    bool reconciled = true;

    LiveWorld(uint64_t seed, bool is_advised)
        : random(seed), advised(is_advised)
    {
    }

    uint32_t below(uint32_t n) { return (uint32_t)(random() % n); }
    bool chance(uint32_t percent) { return below(100) < percent; }
    bool fault(uint32_t percent) { return faulty && chance(percent); }
    void after(uint64_t delay_ms, std::function<void()> fn)
    {
        events.emplace(sim.now_ms + delay_ms, std::move(fn));
    }
    // The same, unless the leader changes before.
    void after_in_term(uint64_t delay_ms, std::function<void()> fn)
    {
        uint32_t term = epoch;
        after(delay_ms, [this, term, fn] {
            if (term == epoch) {
                fn();
            }
        });
    }
    void log(const std::string &line)
    {
        trace += std::to_string(sim.now_ms) + " " + line + "\n";
    }
    static std::string name(const RunOrder &order)
    {
        return std::to_string(order.task.job_id) + "." +
               std::to_string(order.task.step) + "." +
               std::to_string(order.task.index) + "#" +
               std::to_string(order.run) + " on " + order.target;
    }
    static TaskKey key_of(const RunOrder &order)
    {
        return {order.task.job_id, order.task.step, order.task.index};
    }
    static GangKey gang_of(const RunOrder &order)
    {
        return {order.task.job_id, order.task.step, order.run};
    }
    const StepSpec &spec_of(const RunOrder &order)
    {
        return jobs[order.task.job_id].steps[order.task.step];
    }
    // The leader's target, if that is still the incarnation of its session.
    fleet_target *known(const std::string &id, uint64_t born_ms)
    {
        fleet_target *target = sim.find_target(id);
        return target && target->plan && target->rec.born_ms == born_ms
                   ? target
                   : nullptr;
    }

    // ---- terms
    void lead()
    {
        if (sim.planner) {
            plan_free(sim.planner);
            sim.planner = nullptr;
        }
        epoch++;
        queries_in_flight = 0;
        sim.become_leader(1024 * epoch, policy);
        sim.planner->ops.query_policy = on_query;
        sim.policy_hosts = this;
        reconciled = false;
        for (auto &[id, session] : sessions) {
            session = Session();
            session.born_ms = machines[id].born_ms;
            fleet_target *target = sim.find_target(id);
            if (target) {
                session.born_ms = target->rec.born_ms;
                session.lease_over_ms = sim.now_ms + LEASE_MS;
                ((plan_target *)target->plan)->usable = false;
                ((plan_target *)target->plan)->runs_known = false;
            }
        }
        log("new leader");
    }

    // ---- targets
    void announce(Machine &m)
    {
        fleet_target *target = sim.find_target(m.id);
        if (!m.answers() ||
            (target && target->rec.born_ms == m.born_ms &&
             target->rec.cpu_milli == m.cpu_milli &&
             (bool)target->rec.leaving == m.leaving)) {
            return;
        }
        bool is_new = !target || target->rec.born_ms != m.born_ms;
        sim.put_target(m.id, m.cpu_milli, 0, m.rack, m.leaving, m.born_ms,
                       m.leaving ? 3000 : 0, m.service.c_str());
        if (is_new) {
            sessions[m.id] = Session();
            sessions[m.id].born_ms = m.born_ms;
            sessions[m.id].lease_over_ms = sim.now_ms + LEASE_MS;
            log("announced " + m.id);
        }
    }
    void remove_target(const std::string &id, uint64_t born_ms)
    {
        fleet_target_removal removal;
        memset(&removal, 0, sizeof(removal));
        g_strlcpy(removal.id, id.c_str(), FLEET_NAME_BYTES);
        removal.born_ms = born_ms;
        sim.apply_change(&FLEET_TARGET_REMOVAL_SCHEMA, &removal);
        log("removed " + id);
    }
    void crash(Machine &m, uint64_t down_ms)
    {
        log("crash of " + m.id);
        m.up = false;
        m.runs.clear();
        m.highest.clear();
        m.ends.clear();
        m.next_end = 1;
        after(down_ms, [this, &m] {
            m.up = true;
            m.born_ms++;
            m.leaving = false;
            m.lease_over_ms = 0;
        });
    }
    void end_run(Machine &m, const TaskKey &key, run_outcome outcome)
    {
        const LiveRun run = m.runs[key];
        fleet_run_end end;
        memset(&end, 0, sizeof(end));
        end.task = run.order.task;
        end.run = run.order.run;
        end.outcome = outcome;
        m.ends.push_back({m.next_end++, end});
        m.runs.erase(key);
        log("end of " + name(run.order) + ": " + RUN_OUTCOME_NAMES[outcome]);
    }
    order_answer start(Machine &m, const RunOrder &order)
    {
        TaskKey key = key_of(order);
        LiveJob &job = jobs[order.task.job_id];
        const StepSpec &spec = spec_of(order);
        uint32_t used = 0;

        if (m.highest[key] >= order.run) {
            auto found = m.runs.find(key);
            return found != m.runs.end() &&
                           found->second.order.run == order.run
                       ? ORDER_DONE
                       : ORDER_STALE_RUN;
        }
        if (m.leaving) {
            return ORDER_UNHEALTHY;
        }
        if (advised && tickets[{order.task.job_id, m.id}] < sim.now_ms) {
            return ORDER_BAD_TICKET;
        }
        for (const auto &[other, run] : m.runs) {
            used += run.cpu_milli;
        }
        if (used + spec.cpu_milli > m.cpu_milli) {
            return ORDER_NO_CAPACITY;
        }
        if (job.deadly && faulty) {
            crash(m, 500 + below(2500));
            return ORDER_CLOSED;
        }
        m.highest[key] = order.run;
        LiveRun run = {order, spec.cpu_milli, sim.now_ms};
        run.outcome = job.failing ? RUN_FAILED : RUN_DONE;
        if (!spec.gang && !spec.lasting) {
            run.end_ms = sim.now_ms + job.run_ms[order.task.step];
        }
        if (spec.gang && !first_member_ms.count(gang_of(order))) {
            first_member_ms[gang_of(order)] = sim.now_ms;
        }
        m.runs[key] = run;
        return ORDER_DONE;
    }
    void stop(Machine &m, const RunOrder &order)
    {
        TaskKey key = key_of(order);
        auto found = m.runs.find(key);
        m.highest[key] = std::max(m.highest[key], order.run);
        if (found != m.runs.end() && found->second.order.run == order.run &&
            found->second.stop_ms == 0) {
            found->second.stop_ms = sim.now_ms + below(200);
        }
    }
    // Gangs work while all members are there; one that is left without the
    // others ends soon.
    void tick_gangs()
    {
        std::map<GangKey, std::vector<LiveRun *>> present;
        for (auto &[id, m] : machines) {
            for (auto &[key, run] : m.runs) {
                if (spec_of(run.order).gang) {
                    present[gang_of(run.order)].push_back(&run);
                }
            }
        }
        for (auto &[key, members] : present) {
            const StepSpec &spec = spec_of(members[0]->order);
            bool whole = members.size() == spec.count;
            if (whole && !begun.count(key)) {
                begun[key] = {};
                for (LiveRun *run : members) {
                    run->end_ms = sim.now_ms +
                                  jobs[std::get<0>(key)]
                                      .run_ms[std::get<1>(key)];
                }
            }
            for (LiveRun *run : members) {
                if (!whole && begun.count(key) &&
                    run->end_ms > sim.now_ms + 100) {
                    run->end_ms = sim.now_ms + 100;
                    run->outcome = RUN_BROKEN;
                }
                else if (whole && run != members[0] &&
                         run->outcome == RUN_FAILED) {
                    run->outcome = RUN_BROKEN; // by the first one's failure
                }
                else if (!begun.count(key) && run->end_ms == 0 &&
                         sim.now_ms >= first_member_ms[key] + GANG_WAIT_MS) {
                    run->end_ms = sim.now_ms;
                    run->outcome = RUN_INCOMPLETE;
                }
            }
        }
    }
    void tick_machine(Machine &m)
    {
        std::vector<std::pair<TaskKey, run_outcome>> over;
        for (auto &[key, run] : m.runs) {
            if (sim.now_ms >= m.lease_over_ms) {
                over.push_back({key, RUN_LAPSED});
            }
            else if (run.stop_ms != 0 && sim.now_ms >= run.stop_ms) {
                over.push_back({key, RUN_STOPPED});
            }
            else if (run.end_ms != 0 && sim.now_ms >= run.end_ms) {
                over.push_back({key, run.outcome});
            }
        }
        for (const auto &[key, outcome] : over) {
            end_run(m, key, outcome);
        }
    }

    // ---- orders
    void send_start(const RunOrder &order)
    {
        Machine &m = machines[order.target];
        uint64_t born_ms = sessions[order.target].born_ms;
        bool is_lost = fault(4), is_late = fault(4), is_mute = fault(4);
        auto answer = [this, order, born_ms](order_answer value) {
            fleet_target *target = known(order.target, born_ms);
            if (target) {
                if (value != ORDER_DONE) {
                    log("start of " + name(order) + " answered " +
                        std::to_string(value));
                }
                plan_start_answered(sim.planner, target, &order.task,
                                    order.run, value, sim.now_ms);
            }
        };
        auto deliver = [this, &m, order, born_ms] {
            return !m.up                  ? ORDER_CLOSED
                   : !m.answers()         ? ORDER_UNKNOWN
                   : m.born_ms != born_ms ? ORDER_WRONG_INCARNATION
                                          : start(m, order);
        };
        if (fault(5)) {
            static const order_answer refusals[] = {
                ORDER_FENCED,  ORDER_EXPIRED,   ORDER_NO_CAPACITY,
                ORDER_INVALID, ORDER_UNHEALTHY, ORDER_BAD_TICKET,
                ORDER_NOT_SENT};
            order_answer refusal = refusals[below(7)];
            after_in_term(1 + below(20), [=] { answer(refusal); });
            return;
        }
        if (is_lost || is_late || is_mute) {
            if (!is_lost) {
                after(is_late ? ORDER_TIMEOUT_MS + below(1000) : below(50),
                      [=] { deliver(); });
            }
            after_in_term(ORDER_TIMEOUT_MS, [=] { answer(ORDER_UNKNOWN); });
            return;
        }
        after(1 + below(10), [=] {
            order_answer value = deliver();
            after_in_term(value == ORDER_UNKNOWN ? ORDER_TIMEOUT_MS
                                                 : 1 + below(10),
                          [=] { answer(value); });
        });
    }
    void send_stop(const RunOrder &order)
    {
        Machine &m = machines[order.target];
        uint64_t born_ms = sessions[order.target].born_ms;
        bool is_lost = fault(10), is_mute = fault(10);
        after(1 + below(10), [=, &m] {
            bool done = m.answers() && m.born_ms == born_ms && !is_lost;
            if (done) {
                stop(m, order);
            }
            done = done && !is_mute;
            after_in_term(done ? 1 + below(10) : ORDER_TIMEOUT_MS, [=] {
                fleet_target *target = known(order.target, born_ms);
                if (target) {
                    plan_stop_answered(sim.planner, target, &order.task,
                                       order.run,
                                       done ? ORDER_DONE : ORDER_UNKNOWN,
                                       sim.now_ms);
                }
            });
        });
    }
    void send_orders()
    {
        for (; seen_starts < sim.start_orders.size(); seen_starts++) {
            const RunOrder order = sim.start_orders[seen_starts];
            log("start of " + name(order));
            send_start(order);
        }
        for (; seen_stops < sim.stop_orders.size(); seen_stops++) {
            const RunOrder order = sim.stop_orders[seen_stops];
            log("stop of " + name(order));
            send_stop(order);
        }
    }

    // ---- lists
    void lose(const std::string &id, plan_loss loss)
    {
        Session &session = sessions[id];
        fleet_target *target = known(id, session.born_ms);
        if (target && !session.lost) {
            log("lost " + id);
            session.lost = true;
            session.lost_ms = sim.now_ms;
            plan_target_lost(sim.planner, target, loss, sim.now_ms);
        }
    }
    void hold_failed(const std::string &id, bool closed, bool other)
    {
        Session &session = sessions[id];
        fleet_target *target = known(id, session.born_ms);
        session.in_flight = false;
        session.next_hold_ms = sim.now_ms + 80;
        if (target) {
            plan_target_silent(sim.planner, target, closed, sim.now_ms);
        }
        if (other) {
            lose(id, LOSS_CRASHED);
        }
    }
    void hold_answered(const std::string &id, uint64_t sent_ms,
                       const std::vector<plan_listed_run> &rows,
                       const std::vector<std::pair<uint64_t, fleet_run_end>>
                           &ends)
    {
        Session &session = sessions[id];
        fleet_target *target = known(id, session.born_ms);
        session.in_flight = false;
        session.next_hold_ms = sim.now_ms + 20 + below(100);
        if (!target) {
            return;
        }
        session.lease_over_ms =
            std::max(session.lease_over_ms, sent_ms + LEASE_MS);
        session.lost = false;
        for (const auto &[number, end] : ends) {
            if (number > session.stored_number) {
                plan_run_ended(sim.planner, target, &end, sim.now_ms);
            }
        }
        sim.report_runs(id, rows, !session.listed, sent_ms);
        session.listed = true;
        plan_set_target_usable(sim.planner, target, true);
        for (const auto &[number, end] : ends) {
            if (number > session.stored_number) {
                session.stored_number = number;
                sim.commit_end(end);
            }
        }
    }
    void send_hold(const std::string &id)
    {
        Machine &m = machines[id];
        Session &session = sessions[id];
        uint64_t sent_ms = sim.now_ms, born_ms = session.born_ms;
        uint64_t stored = session.stored_number;
        bool is_lost = fault(3), is_mute = fault(3);
        session.in_flight = true;
        auto in_session = [=](std::function<void()> fn) {
            return [=] {
                if (sessions[id].born_ms == born_ms) {
                    fn();
                }
            };
        };
        after(1 + below(10), [=, &m] {
            if (!m.answers() || is_lost) {
                bool closed = !m.up;
                after_in_term(closed ? 2 : 300, in_session([=] {
                    hold_failed(id, closed, false);
                }));
                return;
            }
            if (m.born_ms != born_ms) {
                after_in_term(5, in_session([=] {
                    hold_failed(id, false, true);
                }));
                return;
            }
            m.lease_over_ms =
                std::max(m.lease_over_ms, sent_ms + LEASE_MS - 200);
            while (!m.ends.empty() && m.ends.front().first <= stored) {
                m.ends.erase(m.ends.begin());
            }
            std::vector<plan_listed_run> rows;
            for (const auto &[key, run] : m.runs) {
                rows.push_back(sim.make_row(run.order));
            }
            auto ends = m.ends;
            after_in_term(is_mute ? 300 : 1 + below(10), in_session([=] {
                if (is_mute) {
                    hold_failed(id, false, false);
                }
                else {
                    hold_answered(id, sent_ms, rows, ends);
                }
            }));
        });
    }
    void tick_sessions()
    {
        bool all = true;
        for (auto &[id, session] : sessions) {
            fleet_target *target = known(id, session.born_ms);
            if (!target) {
                continue;
            }
            if (!session.lost && sim.now_ms >= session.lease_over_ms) {
                plan_target_silent(sim.planner, target, false, sim.now_ms);
                lose(id, LOSS_LEASE);
            }
            if (session.lost && sim.now_ms >= session.lost_ms + 1500) {
                remove_target(id, session.born_ms);
                continue;
            }
            if (!session.in_flight && sim.now_ms >= session.next_hold_ms) {
                send_hold(id);
            }
            all = all && (session.listed || session.lost);
        }
        if (!reconciled && all) {
            reconciled = true;
            plan_reconciled(sim.planner);
        }
    }

    // ---- the policy
    bool grants(uint64_t job, const std::string &target) const
    {
        uint64_t hash = (job + 1) * 0x9e3779b97f4a7c15ull;
        for (char c : target) {
            hash = (hash ^ (uint8_t)c) * 0x100000001b3ull;
        }
        hash = (hash ^ hash >> 31) * 0xbf58476d1ce4e5b9ull;
        hash = (hash ^ hash >> 27) * 0x94d049bb133111ebull;
        return (hash >> 33) % 100 < granted_percent;
    }
    void answer_query(const PolicyQuery &query, bool fails, uint32_t age_ms)
    {
        std::vector<std::string> granted;
        uint32_t unread = 0;
        queries_in_flight--;
        for (const auto &id : query.targets) {
            if (fails || !grants(query.step.job_id, id)) {
                continue;
            }
            if (fault(3)) {
                unread++;
                continue;
            }
            granted.push_back(id);
            tickets[{query.step.job_id, id}] = sim.now_ms - age_ms + TICKET_MS;
        }
        log("policy answered " + std::to_string(query.step.job_id) + "." +
            std::to_string(query.step.step) + ": " +
            std::to_string(granted.size()) + " of " +
            std::to_string(query.targets.size()) + (fails ? ", failed" : ""));
        sim.answer_query(query, granted,
                         fails ? FP_ERR_NOT_CONNECTED : FP_OK, unread, age_ms);
    }
    static bool on_query(void *ctx, const fleet_task_id *step,
                         fleet_target *const *targets, uint32_t count,
                         uint32_t, bool short_query)
    {
        auto *self = (LiveWorld *)((FleetSim *)ctx)->policy_hosts;
        FleetSim &sim = self->sim;
        uint32_t idle = self->policy_hosts - self->queries_in_flight;
        if (idle <= (short_query ? 0
                                 : plan_reserved_policy_clients(
                                       self->policy_hosts))) {
            return false;
        }
        PolicyQuery query = {*step, {}, short_query};
        for (uint32_t i = 0; i < count; i++) {
            query.targets.push_back(targets[i]->rec.id);
        }
        uint64_t took_ms =
            (sim.advice_us + (uint64_t)sim.advice_each_us * count) / 1000;
        bool fails = self->fault(8);
        uint32_t age_ms = self->fault(10) ? self->below(1200) : 0;
        if (self->fault(10)) {
            took_ms *= 1 + self->below(4);
        }
        self->queries_in_flight++;
        self->after_in_term(took_ms + age_ms, [=] {
            self->answer_query(query, fails, age_ms);
        });
        return true;
    }

    // ---- jobs
    void submit(uint64_t id, const LiveJob &job)
    {
        if (sim.submit(id, job.steps, job.queue).err == FP_OK) {
            jobs[id] = job;
            log("job " + std::to_string(id));
        }
    }

    // ---- time
    void tick()
    {
        sim.now_ms += TICK_MS;
        while (!events.empty() && events.begin()->first <= sim.now_ms) {
            auto fn = std::move(events.begin()->second);
            events.erase(events.begin());
            fn();
        }
        tick_gangs();
        for (auto &[id, m] : machines) {
            tick_machine(m);
            if (sim.now_ms % 200 == 0) {
                announce(m);
            }
        }
        tick_sessions();
        sim.run_pass();
        send_orders();
    }

    // ---- checks
    uint32_t used_on(const Machine &m) const
    {
        uint32_t used = 0;
        for (const auto &[key, run] : m.runs) {
            used += run.cpu_milli;
        }
        return used;
    }
    uint32_t runs_of(uint64_t job) const
    {
        uint32_t count = 0;
        for (const auto &[id, m] : machines) {
            for (const auto &[key, run] : m.runs) {
                count += std::get<0>(key) == job;
            }
        }
        return count;
    }
    // Each task that lasts must run; of other work, one task of the job.
    bool is_idle(uint64_t id, const LiveJob &job) const
    {
        return runs_of(id) < (job.steps[0].lasting ? job.steps[0].count : 1);
    }
    // Whether the team has under half of its limit, and room for the step but for
    // one task.
    bool team_allows(const StepSpec &spec) const
    {
        uint64_t used = 0;
        for (const auto &[id, m] : machines) {
            used += used_on(m);
        }
        return limit_cpu_milli == 0 ||
               (used * 2 < limit_cpu_milli &&
                used + spec.cpu_milli * (spec.gang ? spec.count - 1 : 0) <=
                    limit_cpu_milli);
    }
    bool takes_starts(const Machine &m, const std::string &service) const
    {
        return m.answers() && !m.leaving && m.service == service;
    }
    // Whether a task of the step, or its whole gang, has room twice over.
    bool has_room_twice(uint64_t id, const LiveJob &job, const StepSpec &spec)
    {
        const std::string &service = queue_service[job.queue];
        uint32_t wanted = 2 * (spec.gang ? spec.count : 1), found = 0;
        uint64_t capacity = 0, used = 0;
        for (const auto &[name, m] : machines) {
            if (!takes_starts(m, service)) {
                continue;
            }
            capacity += m.cpu_milli;
            used += used_on(m);
            if (!advised || grants(id, name)) {
                uint32_t room =
                    (m.cpu_milli - std::min(m.cpu_milli, used_on(m))) /
                    spec.cpu_milli;
                found += spec.spread ? std::min(room, spec.spread) : room;
            }
        }
        return found >= wanted && used * 2 < capacity;
    }
    std::string describe(uint64_t id)
    {
        std::string text;
        auto *job = (plan_job *)sim.find_job(id)->plan;
        for (uint32_t i = 0; i < job->step_count; i++) {
            plan_step *step = &job->steps[i];
            plan_wait wait = {};
            plan_count_tickets(step, &wait, sim.now_ms);
            text += "; step " + std::to_string(i) + ": " +
                    (step->wait_reason ? step->wait_reason : "no reason") +
                    ", pending " + std::to_string(step->pending) + " of " +
                    std::to_string(step->def->count) + ", class " +
                    std::to_string(step->sort_key[0]) + ", granted " +
                    std::to_string(wait.granted) + ", expired " +
                    std::to_string(wait.expired) + ", fitting " +
                    std::to_string(wait.fitting) + ", open " +
                    std::to_string(step->is_open) + ", asks " +
                    std::to_string(step->query_in_flight);
        }
        return text;
    }
    void check_liveness(uint64_t max_ms)
    {
        for (auto &[id, job] : jobs) {
            fleet_job *known_job = sim.find_job(id);
            bool could = false;
            if (known_job && fleet_job_is_live(known_job) &&
                known_job->plan && is_idle(id, job)) {
                auto *pjob = (plan_job *)known_job->plan;
                for (uint32_t i = 0; i < pjob->step_count && !could; i++) {
                    could = pjob->steps[i].unfinished > 0 &&
                            !plan_is_blocked(&pjob->steps[i]) &&
                            team_allows(job.steps[i]) &&
                            has_room_twice(id, job, job.steps[i]);
                }
            }
            if (!could) {
                job.could_run_since_ms = 0;
            }
            else if (job.could_run_since_ms == 0) {
                job.could_run_since_ms = sim.now_ms;
            }
            else if (sim.now_ms > job.could_run_since_ms + max_ms &&
                     failure.empty()) {
                failure = "job " + std::to_string(id) +
                          " could run and doesn't at " +
                          std::to_string(sim.now_ms) + describe(id);
            }
        }
    }
    // A step that is not done asks the policy only while a host does so.
    void check_queries()
    {
        uint32_t asking = 0;
        for (const auto &[id, job] : jobs) {
            fleet_job *known_job = sim.find_job(id);
            auto *pjob = (plan_job *)(known_job ? known_job->plan : nullptr);
            for (uint32_t i = 0; pjob && i < pjob->step_count; i++) {
                asking += pjob->steps[i].query_in_flight &&
                          pjob->steps[i].unfinished > 0;
            }
        }
        if (asking > queries_in_flight && failure.empty()) {
            failure = std::to_string(asking) + " steps ask the policy, " +
                      std::to_string(queries_in_flight) + " hosts do";
        }
    }
    // What the plan counts as in use is what runs, and what was just ordered.
    void check_used()
    {
        for (guint i = 0; i < sim.planner->targets->len; i++) {
            auto *target = (plan_target *)sim.planner->targets->pdata[i];
            const Machine &m = machines[target->target->rec.id];
            uint64_t sum = 0;
            for (guint k = 0; k < target->runs->len; k++) {
                auto *run = (plan_run *)target->runs->pdata[k];
                sum += run->size.cpu_milli;
                auto found = m.runs.find(
                    {run->task.job_id, run->task.step, run->task.index});
                if ((found == m.runs.end() ||
                     found->second.order.run != run->run_number) &&
                    sim.now_ms > run->ordered_ms + 5000 && failure.empty()) {
                    bool ended = false;
                    for (const auto &[number, end] : m.ends) {
                        ended = ended || (end.task.job_id ==
                                              run->task.job_id &&
                                          end.run == run->run_number);
                    }
                    if (!ended) {
                        failure = "run of job " +
                                  std::to_string(run->task.job_id) + " on " +
                                  m.id + " is counted, and is not there";
                    }
                }
            }
            if (sum != target->used.cpu_milli && failure.empty()) {
                failure = m.id + " counts " +
                          std::to_string(target->used.cpu_milli) + ", has " +
                          std::to_string(sum);
            }
            if (target->reserved_for != nullptr &&
                (target->reserved_for->pending == 0 ||
                 target->reserved_for->job->ended) &&
                failure.empty()) {
                failure = m.id + " is reserved for a step that needs nothing";
            }
        }
    }
};

} // namespace plan_sim

#endif // FP_TESTS_LIVENESS_WORLD_H
