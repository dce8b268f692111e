// raft_world.h -- simulated environment of the replication module: a network
// that loses, duplicates, delays and reorders messages, disks that lose
// unsynced writes and clocks that run at different rates. Checks invariants
// after each step.
#ifndef FP_RAFT_WORLD_H
#define FP_RAFT_WORLD_H

#include <glib.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "core/raft.h"
}

namespace raft_world {

struct Message {
    uint64_t to_id;
    uint64_t at_ms; // when it is delivered
    uint32_t type;
    const fp_schema *schema;
    void *record;
};

struct Write {
    uint64_t number;
    bool is_rewrite = false;
    uint64_t at_ms; // when the sync completes
    bool has_vote = false;
    raft_vote vote = {};
    bool has_entries = false;
    std::vector<std::pair<raft_entry, std::string>> entries;
    bool has_snapshot = false;
    uint64_t snap_index = 0, snap_term = 0;
    std::string snap_members, snap_data;
};

// The synced contents of a disk.
struct Disk {
    uint64_t id = 0;
    raft_vote vote = {};
    std::map<uint64_t, std::pair<raft_entry, std::string>> entries;
    uint64_t snap_index = 0, snap_term = 0;
    std::string snap_members, snap_data;

    void apply(const Write &write)
    {
        if (write.has_vote) {
            vote = write.vote;
        }
        if (write.has_snapshot) {
            snap_index = write.snap_index;
            snap_term = write.snap_term;
            snap_members = write.snap_members;
            snap_data = write.snap_data;
            entries.clear();
        }
        for (const auto &e : write.entries) {
            entries.erase(entries.lower_bound(e.first.index), entries.end());
            entries[e.first.index] = e;
        }
    }
};

struct Simulation;

// A message that is sent once a write is synced.
struct UnsyncedMessage {
    uint64_t after_write;
    Message message;
};

struct Node {
    Simulation *sim = nullptr;
    int number = 0;
    std::string host;
    bool has_disk = true;
    raft *replica = nullptr;
    Disk disk;
    std::deque<Write> writes;
    std::deque<UnsyncedMessage> unsynced_messages;
    uint64_t last_write = 0, synced_write = 0;
    bool paused = false;
    uint64_t resume_ms = 0;
    uint64_t restart_ms = 0;
    double clock_rate = 1.0;
    uint32_t sync_max_ms = 6; // a sync takes at most this long
    // If set: how long the next sync takes; it begins when the one in progress
    // is complete, and makes all writes durable that were queued by then.
    std::function<uint64_t()> sync_ms;
    uint64_t disk_full_until_ms = 0;
    bool disk_failed = false;  // only a rewrite is tried
    uint64_t retry_ms = 0;     // when to rewrite; 0: not due
    std::deque<Write> on_disk; // failed writes that may be read after a crash
    std::map<uint64_t, std::string> state; // index to value, as applied
    uint64_t verified_term = 0; // last term in which it led and its state was
                                // checked against all acknowledged entries
    uint64_t acked_index = 0;   // entries up to here are acknowledged
    uint64_t now() const;
};

struct Simulation {
    std::mt19937_64 rng;
    uint64_t now_ms = 1000;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Message> network;
    bool link_cut[8][8] = {};
    raft_timing times;
    std::map<uint64_t, int> leader_of_term;
    std::map<uint64_t, std::string> committed; // index to value, once applied
    // Time, highest index that was applied anywhere by then.
    std::vector<std::pair<uint64_t, uint64_t>> commit_history;
    std::map<uint64_t, std::string> acked; // acknowledged to a client
    uint64_t proposed = 0;
    uint64_t next_id = 100;
    bool lossy = true;
    std::string failure;
    // Time, action to run then.
    std::vector<std::pair<uint64_t, std::function<void()>>> scheduled;

    explicit Simulation(uint64_t seed) : rng(seed)
    {
        raft_default_timing(&times);
    }
    uint32_t random_below(uint32_t n) { return n ? (uint32_t)(rng() % n) : 0; }
    bool random_chance(double p)
    {
        return (double)(rng() >> 11) / 9007199254740992.0 < p;
    }
    void fail(const std::string &why)
    {
        if (failure.empty()) {
            failure = why + " at " + std::to_string(now_ms) + " ms";
        }
    }
    Node *by_id(uint64_t id)
    {
        for (auto &n : nodes) {
            if (n->replica && raft_id(n->replica) == id) {
                return n.get();
            }
        }
        return nullptr;
    }
};

inline uint64_t Node::now() const
{
    return (uint64_t)((double)sim->now_ms * clock_rate);
}

inline void *copy_record(const fp_schema *schema, const void *msg)
{
    void *copy = g_malloc0(schema->size_bytes);
    fp_record_copy(schema, copy, msg);
    return copy;
}

inline void free_message(Message &m)
{
    fp_record_free(m.schema, m.record);
    g_free(m.record);
}

inline void transmit(Node *n, Message m)
{
    Simulation *sim = n->sim;
    Node *to = sim->by_id(m.to_id);
    bool lost = to == nullptr || sim->link_cut[n->number][to->number] ||
                (sim->lossy && sim->random_chance(0.02));
    if (lost) {
        free_message(m);
        return;
    }
    if (sim->lossy && sim->random_chance(0.02)) {
        Message duplicate = m;
        duplicate.record = copy_record(m.schema, m.record);
        duplicate.at_ms = sim->now_ms + sim->random_below(400);
        sim->network.push_back(duplicate);
    }
    m.at_ms = sim->now_ms + 1 +
              (sim->lossy && sim->random_chance(0.05)
                   ? sim->random_below(1500)
                   : sim->random_below(4));
    sim->network.push_back(m);
}

inline void on_send(void *ctx, uint64_t to_id, const fp_schema *schema,
                    const void *msg, uint64_t after_write)
{
    Node *n = static_cast<Node *>(ctx);
    Message m = {to_id, 0, schema->type, schema, copy_record(schema, msg)};
    if (after_write > n->synced_write) {
        n->unsynced_messages.push_back({after_write, m});
        return;
    }
    transmit(n, m);
}

inline Write &new_write(Node *n)
{
    Write write;
    write.number = ++n->last_write;
    write.at_ms = n->sim->now_ms + 1 + n->sim->random_below(n->sync_max_ms);
    if (n->sync_ms && n->writes.empty()) {
        write.at_ms = n->sim->now_ms + n->sync_ms();
    }
    else if (n->sync_ms) {
        write.at_ms = n->writes.back().at_ms > n->writes.front().at_ms
                          ? n->writes.back().at_ms
                          : n->writes.front().at_ms + n->sync_ms();
    }
    else if (!n->writes.empty()) {
        // Syncs complete in order.
        write.at_ms = std::max(write.at_ms, n->writes.back().at_ms);
    }
    n->writes.push_back(write);
    return n->writes.back();
}

inline uint64_t on_write_vote(void *ctx, const raft_vote *vote)
{
    Node *n = static_cast<Node *>(ctx);
    if (!n->has_disk) {
        return 0;
    }
    Write &write = new_write(n);
    write.has_vote = true;
    write.vote = *vote;
    return write.number;
}

inline void add_entries(Write &write, const raft_entry *entries,
                        uint32_t count)
{
    write.has_entries = count > 0;
    for (uint32_t i = 0; i < count; i++) {
        raft_entry e = entries[i];
        std::string data((const char *)e.data.data, e.data.size_bytes);
        e.data = {nullptr, 0};
        write.entries.push_back({e, data});
    }
}

inline uint64_t on_write_entries(void *ctx, const raft_entry *entries,
                                 uint32_t count)
{
    Node *n = static_cast<Node *>(ctx);
    if (!n->has_disk) {
        return 0;
    }
    Write &write = new_write(n);
    add_entries(write, entries, count);
    return write.number;
}

inline std::string encode_members(const struct raft_members *members)
{
    fp_blob blob;
    fp_encode(&RAFT_MEMBERS_SCHEMA, members, &blob);
    std::string out((char *)blob.data, blob.size_bytes);
    fp_blob_free(&blob);
    return out;
}

inline uint64_t on_rewrite(void *ctx, const raft_snapshot *snap,
                           const raft_vote *vote, const raft_entry *entries,
                           uint32_t count);

inline uint64_t on_write_snapshot(void *ctx, const raft_snapshot *snap,
                                  const raft_vote *vote,
                                  const raft_entry *entries, uint32_t count)
{
    Node *n = static_cast<Node *>(ctx);
    if (!n->has_disk) {
        return 0;
    }
    Write &write = new_write(n);
    write.has_vote = true;
    write.vote = *vote;
    write.has_snapshot = true;
    write.snap_index = snap->last_index;
    write.snap_term = snap->last_term;
    write.snap_members = encode_members(&snap->members);
    write.snap_data.assign((char *)snap->data.data, snap->data.size_bytes);
    add_entries(write, entries, count);
    return write.number;
}

inline uint64_t on_rewrite(void *ctx, const raft_snapshot *snap,
                           const raft_vote *vote, const raft_entry *entries,
                           uint32_t count)
{
    Node *n = static_cast<Node *>(ctx);
    uint64_t number = on_write_snapshot(ctx, snap, vote, entries, count);
    if (number != 0) {
        n->writes.back().is_rewrite = true;
    }
    return number;
}

inline void record_committed(Node *n, uint64_t index, const std::string &value)
{
    Simulation *sim = n->sim;
    auto known = sim->committed.find(index);
    if (known == sim->committed.end()) {
        sim->committed[index] = value;
    }
    else if (known->second != value) {
        sim->fail("two values at index " + std::to_string(index));
    }
}

inline void on_apply(void *ctx, const raft_entry *entry)
{
    Node *n = static_cast<Node *>(ctx);
    std::string value((const char *)entry->data.data, entry->data.size_bytes);
    record_committed(n, entry->index, value);
    n->state[entry->index] = value;
}

// Encodes the state as text: "index=value;" for each index.
inline std::string save_state(const std::map<uint64_t, std::string> &state)
{
    std::string out;
    for (const auto &e : state) {
        out += std::to_string(e.first) + "=" + e.second + ";";
    }
    return out;
}

inline void load_state(Node *n, const std::string &text)
{
    n->state.clear();
    size_t at = 0;
    while (at < text.size()) {
        size_t equals = text.find('=', at);
        size_t end = text.find(';', equals);
        uint64_t index = std::stoull(text.substr(at, equals - at));
        n->state[index] = text.substr(equals + 1, end - equals - 1);
        record_committed(n, index, n->state[index]);
        at = end + 1;
    }
}

inline bool on_restore(void *ctx, const raft_snapshot *snap)
{
    load_state(static_cast<Node *>(ctx),
               std::string((char *)snap->data.data, snap->data.size_bytes));
    return true;
}

inline void on_state_changed(void *ctx)
{
    Node *n = static_cast<Node *>(ctx);
    if (n->replica == nullptr || raft_state(n->replica) != RAFT_LEADER) {
        return;
    }
    auto &leaders = n->sim->leader_of_term;
    auto known = leaders.find(raft_term(n->replica));
    if (known != leaders.end() && known->second != n->number) {
        n->sim->fail("two leaders in term " +
                     std::to_string(raft_term(n->replica)));
    }
    leaders[raft_term(n->replica)] = n->number;
}

inline uint32_t on_random(void *ctx, uint32_t bound)
{
    return static_cast<Node *>(ctx)->sim->random_below(bound);
}

inline void start_node(Node *n)
{
    raft_init init = {};
    raft_ops ops = {on_send,           on_write_vote, on_write_entries,
                    on_write_snapshot, on_rewrite,    on_apply,
                    on_restore,        on_state_changed,
                    on_random,         n};
    if (n->disk.id == 0 || !n->has_disk) {
        n->disk = Disk();
        n->disk.id = n->sim->next_id++;
    }
    init.id = n->disk.id;
    init.host = n->host.c_str();
    init.has_disk = n->has_disk;
    init.vote = n->disk.vote;
    n->state.clear();
    n->verified_term = 0;
    n->acked_index = 0;
    if (n->disk.snap_index > 0) {
        init.snapshot.last_index = n->disk.snap_index;
        init.snapshot.last_term = n->disk.snap_term;
        fp_decode(&RAFT_MEMBERS_SCHEMA,
                  (const uint8_t *)n->disk.snap_members.data(),
                  n->disk.snap_members.size(), &init.snapshot.members);
        init.snapshot.data = fp_blob_copy(n->disk.snap_data.data(),
                                          (uint32_t)n->disk.snap_data.size());
        load_state(n, n->disk.snap_data);
    }
    for (const auto &e : n->disk.entries) {
        raft_entry *copy =
            (raft_entry *)fp_list_add(&init.entries, sizeof(raft_entry));
        *copy = e.second.first;
        copy->data = fp_blob_copy(e.second.second.data(),
                                  (uint32_t)e.second.second.size());
    }
    n->writes.clear();
    n->last_write = 0;
    n->synced_write = 0;
    n->disk_failed = false;
    n->retry_ms = 0;
    if (n->has_disk) {
        // What was read is on disk once it has been synced again.
        init.pending_write = new_write(n).number;
    }
    n->replica = raft_new(&init, &n->sim->times, &ops, n->now());
}

// Stops the node. Of the unsynced writes, a random prefix survives on disk,
// also of those that failed.
inline void crash(Node *n)
{
    if (n->replica == nullptr) {
        return;
    }
    if (n->disk_failed) {
        n->writes.swap(n->on_disk);
    }
    n->on_disk.clear();
    uint32_t survive = n->sim->random_below((uint32_t)n->writes.size() + 1);
    if (n->sync_max_ms > 5000) {
        survive = 0; // a disk this slow has written nothing yet
    }
    for (uint32_t i = 0; i < survive; i++) {
        n->disk.apply(n->writes[i]);
    }
    n->writes.clear();
    for (auto &unsynced : n->unsynced_messages) {
        free_message(unsynced.message);
    }
    n->unsynced_messages.clear();
    raft_free(n->replica);
    n->replica = nullptr;
    n->paused = false;
}

inline void fail_disk(Node *n)
{
    n->disk_failed = true;
    n->retry_ms = n->sim->now_ms + 100 + n->sim->random_below(300);
    for (auto &unsynced : n->unsynced_messages) {
        free_message(unsynced.message);
    }
    n->unsynced_messages.clear();
    raft_disk_failed(n->replica, n->now());
}

inline void complete_due_syncs(Node *n)
{
    bool any = false;
    while (!n->writes.empty() && n->writes.front().at_ms <= n->sim->now_ms) {
        Write write = n->writes.front();
        n->writes.pop_front();
        if (n->sim->now_ms < n->disk_full_until_ms) {
            if (!n->disk_failed) {
                n->on_disk.assign(1, write);
            }
            else if (!write.is_rewrite) {
                n->on_disk.push_back(write); // without a gap after the first
            }
            if (!n->disk_failed || write.is_rewrite) {
                fail_disk(n);
            }
            continue;
        }
        if (n->disk_failed && !write.is_rewrite) {
            n->on_disk.push_back(write);
            continue;
        }
        n->disk_failed = false;
        n->on_disk.clear();
        n->disk.apply(write);
        n->synced_write = write.number;
        any = true;
    }
    if (n->retry_ms != 0 && n->sim->now_ms >= n->retry_ms) {
        n->retry_ms = 0;
        raft_rewrite(n->replica);
    }
    if (!any) {
        return;
    }
    raft_synced(n->replica, n->synced_write, n->now());
    while (!n->unsynced_messages.empty() &&
           n->unsynced_messages.front().after_write <= n->synced_write) {
        Message m = n->unsynced_messages.front().message;
        n->unsynced_messages.pop_front();
        transmit(n, m);
    }
}

inline void send_hello(Node *n)
{
    msg_hello hello = {};
    if (raft_awaits_disk(n->replica)) {
        return;
    }
    hello.from_id = raft_id(n->replica);
    g_strlcpy(hello.host, n->host.c_str(), sizeof(hello.host));
    hello.has_disk = n->has_disk;
    for (auto &other : n->sim->nodes) {
        if (other->replica && other.get() != n) {
            on_send(n, raft_id(other->replica), &MSG_HELLO_SCHEMA, &hello, 0);
        }
    }
}

inline void deliver(Simulation &sim)
{
    for (size_t i = 0; i < sim.network.size();) {
        Message m = sim.network[i];
        Node *to = sim.by_id(m.to_id);
        if (m.at_ms > sim.now_ms || (to && to->paused)) {
            i++;
            continue;
        }
        sim.network[i] = sim.network.back();
        sim.network.pop_back();
        if (to) {
            raft_receive(to->replica, m.type, m.record, to->now());
        }
        free_message(m);
    }
}

inline void check_invariants(Simulation &sim)
{
    int leaders = 0;
    uint64_t highest =
        sim.committed.empty() ? 0 : sim.committed.rbegin()->first;
    if (sim.commit_history.empty() ||
        sim.commit_history.back().second != highest) {
        sim.commit_history.push_back({sim.now_ms, highest});
    }
    for (auto &n : sim.nodes) {
        if (!n->replica || n->paused) {
            continue;
        }
        if (raft_leader_ready(n->replica, n->now())) {
            leaders++;
            // Once for each term is enough: later acknowledgements are by this
            // leader, from its own state.
            bool verify = n->verified_term != raft_term(n->replica);
            n->verified_term = raft_term(n->replica);
            for (auto a = sim.acked.begin(); verify && a != sim.acked.end();
                 ++a) {
                auto at = n->state.find(a->first);
                if (at == n->state.end() || at->second != a->second) {
                    sim.fail("leader " + n->host +
                             " lost acknowledged index " +
                             std::to_string(a->first));
                }
            }
        }
        if (raft_is_fresh(n->replica, n->now())) {
            // What was committed before the lease began must be applied here.
            // fresh_ms is on the node's clock, which may be slow.
            uint64_t span =
                (uint64_t)((double)sim.times.fresh_ms * 1.011) + 1;
            uint64_t since = sim.now_ms > span ? sim.now_ms - span : 0;
            for (auto at = sim.commit_history.rbegin();
                 at != sim.commit_history.rend(); ++at) {
                if (at->first <= since) {
                    if (raft_applied_index(n->replica) < at->second) {
                        sim.fail(n->host + " is fresh without index " +
                                 std::to_string(at->second));
                    }
                    break;
                }
            }
        }
    }
    if (leaders > 1) {
        sim.fail("two hosts hold a leader lease");
    }
}

inline Node *current_leader(Simulation &sim)
{
    for (auto &n : sim.nodes) {
        if (n->replica && !n->paused &&
            raft_leader_ready(n->replica, n->now())) {
            return n.get();
        }
    }
    return nullptr;
}

inline void propose(Simulation &sim)
{
    Node *n = current_leader(sim);
    uint64_t index;
    if (!n) {
        return;
    }
    std::string value = "v" + std::to_string(++sim.proposed);
    raft_propose(n->replica, value.data(), (uint32_t)value.size(), &index);
}

// Acknowledges what the leader has applied: a client has its answer then.
inline void acknowledge(Simulation &sim)
{
    Node *n = current_leader(sim);
    if (!n) {
        return;
    }
    for (auto e = n->state.upper_bound(n->acked_index); e != n->state.end();
         ++e) {
        sim.acked[e->first] = e->second;
        n->acked_index = e->first;
    }
}

// The other hosts' connections to a host that has started, and its own.
inline void connect_node(Simulation &sim, Node *started)
{
    for (auto &n : sim.nodes) {
        Node *other = n.get();
        if (other == started || !other->replica) {
            continue;
        }
        for (auto pair : {std::make_pair(other, started),
                          std::make_pair(started, other)}) {
            sim.scheduled.push_back(
                {sim.now_ms + 5 + sim.random_below(30), [pair, &sim] {
                     bool cut = sim.link_cut[pair.first->number]
                                            [pair.second->number];
                     if (pair.first->replica && !pair.first->paused && !cut) {
                         raft_host_connected(pair.first->replica,
                                             pair.second->host.c_str());
                     }
                 }});
        }
    }
}

inline void step(Simulation &sim)
{
    sim.now_ms += 5;
    for (size_t i = 0; i < sim.scheduled.size();) {
        if (sim.scheduled[i].first > sim.now_ms) {
            i++;
            continue;
        }
        auto action = sim.scheduled[i].second;
        sim.scheduled.erase(sim.scheduled.begin() + (long)i);
        action();
    }
    for (auto &n : sim.nodes) {
        if (!n->replica && sim.now_ms >= n->restart_ms) {
            start_node(n.get());
            connect_node(sim, n.get());
        }
        if (n->paused && sim.now_ms >= n->resume_ms) {
            n->paused = false;
        }
    }
    deliver(sim);
    for (auto &n : sim.nodes) {
        if (!n->replica || n->paused) {
            continue;
        }
        complete_due_syncs(n.get());
        raft_tick(n->replica, n->now());
        raft_flush(n->replica, n->now());
        if (sim.now_ms % 300 < 5 && !raft_is_fresh(n->replica, n->now())) {
            send_hello(n.get());
        }
        if (n->state.size() > 40 && raft_log_length(n->replica) > 600) {
            std::string text = save_state(n->state);
            fp_blob blob = {(uint8_t *)text.data(), (uint32_t)text.size()};
            raft_compact(n->replica, &blob);
        }
    }
    check_invariants(sim);
    acknowledge(sim);
}

inline void run_for(Simulation &sim, uint64_t ms)
{
    uint64_t end = sim.now_ms + ms;
    while (sim.now_ms < end && sim.failure.empty()) {
        step(sim);
    }
}

// Returns whether there is a leader before the time is up.
inline bool run_until_leader(Simulation &sim, uint64_t timeout_ms)
{
    uint64_t end = sim.now_ms + timeout_ms;
    while (sim.now_ms < end && sim.failure.empty()) {
        step(sim);
        if (current_leader(sim)) {
            return true;
        }
    }
    return false;
}

// Adds the host with the given number, and waits until it is a voter or the
// time is up. Returns whether it is one.
inline bool add_member(Simulation &sim, int number, uint64_t timeout_ms)
{
    uint64_t end = sim.now_ms + timeout_ms;
    uint64_t id = raft_id(sim.nodes[number]->replica);
    while (sim.now_ms < end && sim.failure.empty()) {
        Node *n = current_leader(sim);
        if (n) {
            raft_member_add(n->replica, id, sim.nodes[number]->host.c_str(),
                            n->now());
            const struct raft_members *m = raft_members(n->replica);
            const raft_member *item = (const raft_member *)m->list.items;
            for (uint32_t i = 0; i < m->list.count; i++) {
                if (item[i].id == id && item[i].role == RAFT_VOTER) {
                    return true;
                }
            }
        }
        run_for(sim, 20);
    }
    return false;
}

inline void create_nodes(Simulation &sim, int replicas, int observers)
{
    for (int i = 0; i < replicas + observers; i++) {
        auto n = std::make_unique<Node>();
        n->sim = &sim;
        n->number = i;
        n->host = "h" + std::to_string(i);
        n->has_disk = i < replicas;
        n->clock_rate =
            1.0 + ((double)sim.random_below(100) - 50.0) / 50.0 * 0.004;
        sim.nodes.push_back(std::move(n));
        start_node(sim.nodes.back().get());
    }
}

inline void tear_down(Simulation &sim)
{
    for (auto &n : sim.nodes) {
        crash(n.get());
    }
    for (auto &m : sim.network) {
        free_message(m);
    }
    sim.network.clear();
}

} // namespace raft_world

#endif // FP_RAFT_WORLD_H
