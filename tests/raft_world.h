// raft_world.h -- fakes around the replication module: a transport that loses,
// doubles, delays and reorders, disks that lose what was not synced, clocks of
// different rates; and the invariants that are checked after each step.
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
    uint64_t at_ms;
    uint32_t type;
    const fp_schema *schema;
    void *record;
};

struct Write {
    uint64_t number;
    uint64_t at_ms; // when the sync completes
    bool has_vote = false;
    uint64_t term = 0, voted_for = 0;
    bool has_entries = false;
    std::vector<std::pair<raft_entry, std::string>> entries;
    bool has_snapshot = false;
    uint64_t snap_index = 0, snap_term = 0;
    std::string snap_members, snap_data;
};

// What a disk holds after its syncs.
struct Disk {
    uint64_t id = 0, term = 0, voted_for = 0;
    std::map<uint64_t, std::pair<raft_entry, std::string>> entries;
    uint64_t snap_index = 0, snap_term = 0;
    std::string snap_members, snap_data;

    void take(const Write &w)
    {
        if (w.has_vote) {
            term = w.term;
            voted_for = w.voted_for;
        }
        if (w.has_snapshot) {
            snap_index = w.snap_index;
            snap_term = w.snap_term;
            snap_members = w.snap_members;
            snap_data = w.snap_data;
            entries.clear();
        }
        for (const auto &e : w.entries) {
            entries.erase(entries.lower_bound(e.first.index), entries.end());
            entries[e.first.index] = e;
        }
    }
};

struct World;

struct Held {
    uint64_t after;
    Message message;
};

struct Node {
    World *world = nullptr;
    int number = 0;
    std::string host;
    bool has_disk = true;
    raft *r = nullptr;
    Disk disk;
    std::deque<Write> writes;
    std::deque<Held> held;
    uint64_t next_write = 0, synced = 0;
    bool paused = false;
    uint64_t resume_ms = 0;
    uint64_t down_until_ms = 0;
    double rate = 1.0;
    uint32_t sync_ms = 6; // longest time of a sync
    std::map<uint64_t, std::string> state; // index to value, as applied
    uint64_t checked_term = 0; // term in which its state was checked whole
    uint64_t acked_to = 0;     // its state is acknowledged up to here
    uint64_t now() const;
};

struct World {
    std::mt19937_64 rng;
    uint64_t now_ms = 1000;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Message> network;
    bool cut[8][8] = {};
    raft_times times;
    std::map<uint64_t, int> leader_of_term;
    std::map<uint64_t, std::string> chosen; // index to value, once applied
    std::vector<std::pair<uint64_t, uint64_t>> commits; // time, highest index
    std::map<uint64_t, std::string> acked;  // acknowledged to a client
    uint64_t proposed = 0;
    uint64_t next_id = 100;
    bool lossy = true;
    std::string failure;
    std::vector<std::pair<uint64_t, std::function<void()>>> later;

    explicit World(uint64_t seed) : rng(seed)
    {
        raft_default_times(&times);
    }
    uint32_t below(uint32_t n) { return n ? (uint32_t)(rng() % n) : 0; }
    bool chance(double p) { return (double)(rng() >> 11) / 9007199254740992.0 < p; }
    void fail(const std::string &why)
    {
        if (failure.empty()) {
            failure = why + " at " + std::to_string(now_ms) + " ms";
        }
    }
    Node *by_id(uint64_t id)
    {
        for (auto &n : nodes) {
            if (n->r && raft_id(n->r) == id) {
                return n.get();
            }
        }
        return nullptr;
    }
};

inline uint64_t Node::now() const
{
    return (uint64_t)((double)world->now_ms * rate);
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

inline void put_on_network(Node *n, Message m)
{
    World *w = n->world;
    Node *to = w->by_id(m.to_id);
    bool lost = to == nullptr || w->cut[n->number][to->number] ||
                (w->lossy && w->chance(0.02));
    if (lost) {
        free_message(m);
        return;
    }
    if (w->lossy && w->chance(0.02)) {
        Message twice = m;
        twice.record = copy_record(m.schema, m.record);
        twice.at_ms = w->now_ms + w->below(400);
        w->network.push_back(twice);
    }
    m.at_ms = w->now_ms + 1 +
              (w->lossy && w->chance(0.05) ? w->below(1500) : w->below(4));
    w->network.push_back(m);
}

inline void on_send(void *ctx, uint64_t to_id, const fp_schema *schema,
             const void *msg, uint64_t after_write)
{
    Node *n = static_cast<Node *>(ctx);
    Message m = {to_id, 0, schema->type, schema, copy_record(schema, msg)};
    if (after_write > n->synced) {
        n->held.push_back({after_write, m});
        return;
    }
    put_on_network(n, m);
}

inline Write &new_write(Node *n)
{
    Write w;
    w.number = ++n->next_write;
    w.at_ms = n->world->now_ms + 1 + n->world->below(n->sync_ms);
    if (!n->writes.empty()) {
        w.at_ms = std::max(w.at_ms, n->writes.back().at_ms); // in order
    }
    n->writes.push_back(w);
    return n->writes.back();
}

inline uint64_t on_vote(void *ctx, uint64_t term, uint64_t voted_for)
{
    Node *n = static_cast<Node *>(ctx);
    if (!n->has_disk) {
        return 0;
    }
    Write &w = new_write(n);
    w.has_vote = true;
    w.term = term;
    w.voted_for = voted_for;
    return w.number;
}

inline void add_entries(Write &w, const raft_entry *entries, uint32_t count)
{
    w.has_entries = count > 0;
    for (uint32_t i = 0; i < count; i++) {
        raft_entry e = entries[i];
        std::string data((const char *)e.data.data, e.data.size_bytes);
        e.data = {nullptr, 0};
        w.entries.push_back({e, data});
    }
}

inline uint64_t on_entries(void *ctx, const raft_entry *entries, uint32_t count)
{
    Node *n = static_cast<Node *>(ctx);
    if (!n->has_disk) {
        return 0;
    }
    Write &w = new_write(n);
    add_entries(w, entries, count);
    return w.number;
}

inline std::string encode_members(const struct raft_members *members)
{
    fp_blob blob;
    fp_encode(&RAFT_MEMBERS_SCHEMA, members, &blob);
    std::string out((char *)blob.data, blob.size_bytes);
    fp_blob_free(&blob);
    return out;
}

inline uint64_t on_snapshot(void *ctx, const raft_snapshot *snap,
                     const raft_entry *entries, uint32_t count)
{
    Node *n = static_cast<Node *>(ctx);
    if (!n->has_disk) {
        return 0;
    }
    Write &w = new_write(n);
    w.has_snapshot = true;
    w.snap_index = snap->last_index;
    w.snap_term = snap->last_term;
    w.snap_members = encode_members(&snap->members);
    w.snap_data.assign((char *)snap->data.data, snap->data.size_bytes);
    add_entries(w, entries, count);
    return w.number;
}

inline void note_chosen(Node *n, uint64_t index, const std::string &value)
{
    World *w = n->world;
    auto known = w->chosen.find(index);
    if (known == w->chosen.end()) {
        w->chosen[index] = value;
    }
    else if (known->second != value) {
        w->fail("two values at index " + std::to_string(index));
    }
}

inline void on_apply(void *ctx, const raft_entry *entry)
{
    Node *n = static_cast<Node *>(ctx);
    std::string value((const char *)entry->data.data, entry->data.size_bytes);
    note_chosen(n, entry->index, value);
    n->state[entry->index] = value;
}

// The state as text: "index=value;" for each index.
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
        note_chosen(n, index, n->state[index]);
        at = end + 1;
    }
}

inline bool on_restore(void *ctx, const raft_snapshot *snap)
{
    load_state(static_cast<Node *>(ctx),
               std::string((char *)snap->data.data, snap->data.size_bytes));
    return true;
}

inline void on_changed(void *ctx)
{
    Node *n = static_cast<Node *>(ctx);
    if (n->r == nullptr || raft_state(n->r) != RAFT_LEADER) {
        return;
    }
    auto &leaders = n->world->leader_of_term;
    auto known = leaders.find(raft_term(n->r));
    if (known != leaders.end() && known->second != n->number) {
        n->world->fail("two leaders in term " +
                       std::to_string(raft_term(n->r)));
    }
    leaders[raft_term(n->r)] = n->number;
}

inline uint32_t on_random(void *ctx, uint32_t bound)
{
    return static_cast<Node *>(ctx)->world->below(bound);
}

inline void boot(Node *n)
{
    raft_init init = {};
    raft_ops ops = {on_send,  on_vote,    on_entries, on_snapshot, on_apply,
                    on_restore, on_changed, on_random,  n};
    if (n->disk.id == 0 || !n->has_disk) {
        n->disk = Disk();
        n->disk.id = n->world->next_id++;
    }
    init.id = n->disk.id;
    init.host = n->host.c_str();
    init.has_disk = n->has_disk;
    init.term = n->disk.term;
    init.voted_for = n->disk.voted_for;
    n->state.clear();
    n->checked_term = 0;
    n->acked_to = 0;
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
    n->next_write = 0;
    n->synced = 0;
    n->r = raft_new(&init, &n->world->times, &ops, n->now());
}

// Loses what was not synced; of the writes on their way a prefix may be there.
inline void crash(Node *n)
{
    if (n->r == nullptr) {
        return;
    }
    uint32_t survive = n->world->below((uint32_t)n->writes.size() + 1);
    if (n->sync_ms > 5000) {
        survive = 0; // so slow that nothing of it is there
    }
    for (uint32_t i = 0; i < survive; i++) {
        n->disk.take(n->writes[i]);
    }
    n->writes.clear();
    for (auto &h : n->held) {
        free_message(h.message);
    }
    n->held.clear();
    raft_free(n->r);
    n->r = nullptr;
    n->paused = false;
}

inline void sync_due(Node *n)
{
    bool any = false;
    while (!n->writes.empty() && n->writes.front().at_ms <= n->world->now_ms) {
        n->disk.take(n->writes.front());
        n->synced = n->writes.front().number;
        n->writes.pop_front();
        any = true;
    }
    if (!any) {
        return;
    }
    raft_synced(n->r, n->synced, n->now());
    while (!n->held.empty() && n->held.front().after <= n->synced) {
        Message m = n->held.front().message;
        n->held.pop_front();
        put_on_network(n, m);
    }
}

inline void say_hello(Node *n)
{
    msg_hello hello = {};
    hello.from_id = raft_id(n->r);
    g_strlcpy(hello.host, n->host.c_str(), sizeof(hello.host));
    hello.has_disk = n->has_disk;
    for (auto &other : n->world->nodes) {
        if (other->r && other.get() != n) {
            on_send(n, raft_id(other->r), &MSG_HELLO_SCHEMA, &hello, 0);
        }
    }
}

inline void deliver(World &w)
{
    for (size_t i = 0; i < w.network.size();) {
        Message m = w.network[i];
        Node *to = w.by_id(m.to_id);
        if (m.at_ms > w.now_ms || (to && to->paused)) {
            i++;
            continue;
        }
        w.network[i] = w.network.back();
        w.network.pop_back();
        if (to) {
            raft_receive(to->r, m.type, m.record, to->now());
        }
        free_message(m);
    }
}

inline void check(World &w)
{
    int leading = 0;
    uint64_t highest = w.chosen.empty() ? 0 : w.chosen.rbegin()->first;
    if (w.commits.empty() || w.commits.back().second != highest) {
        w.commits.push_back({w.now_ms, highest});
    }
    for (auto &n : w.nodes) {
        if (!n->r || n->paused) {
            continue;
        }
        if (raft_leader_ready(n->r, n->now())) {
            leading++;
            // Once for each term: what it acknowledges later is its own.
            bool whole = n->checked_term != raft_term(n->r);
            n->checked_term = raft_term(n->r);
            for (auto a = w.acked.begin(); whole && a != w.acked.end(); ++a) {
                auto at = n->state.find(a->first);
                if (at == n->state.end() || at->second != a->second) {
                    w.fail("leader " + n->host + " lost acknowledged index " +
                           std::to_string(a->first));
                }
            }
        }
        if (raft_is_fresh(n->r, n->now())) {
            // What was chosen before the lease began must be applied here.
            uint64_t span =
                (uint64_t)((double)w.times.fresh_ms * 1.011) + 1;
            uint64_t since = w.now_ms > span ? w.now_ms - span : 0;
            for (auto at = w.commits.rbegin(); at != w.commits.rend(); ++at) {
                if (at->first <= since) {
                    if (raft_applied_index(n->r) < at->second) {
                        w.fail(n->host + " is fresh without index " +
                               std::to_string(at->second));
                    }
                    break;
                }
            }
        }
    }
    if (leading > 1) {
        w.fail("two hosts hold a leader lease");
    }
}

inline Node *leading_node(World &w)
{
    for (auto &n : w.nodes) {
        if (n->r && !n->paused && raft_leader_ready(n->r, n->now())) {
            return n.get();
        }
    }
    return nullptr;
}

inline void propose(World &w)
{
    Node *n = leading_node(w);
    uint64_t index;
    if (!n) {
        return;
    }
    std::string value = "v" + std::to_string(++w.proposed);
    raft_propose(n->r, value.data(), (uint32_t)value.size(), &index);
}

// A client has an answer once the leader has applied the entry.
inline void acknowledge(World &w)
{
    Node *n = leading_node(w);
    if (!n) {
        return;
    }
    for (auto e = n->state.upper_bound(n->acked_to); e != n->state.end();
         ++e) {
        w.acked[e->first] = e->second;
        n->acked_to = e->first;
    }
}

inline void step(World &w)
{
    w.now_ms += 5;
    for (size_t i = 0; i < w.later.size();) {
        if (w.later[i].first > w.now_ms) {
            i++;
            continue;
        }
        auto act = w.later[i].second;
        w.later.erase(w.later.begin() + (long)i);
        act();
    }
    for (auto &n : w.nodes) {
        if (!n->r && w.now_ms >= n->down_until_ms) {
            boot(n.get());
        }
        if (n->paused && w.now_ms >= n->resume_ms) {
            n->paused = false;
        }
    }
    deliver(w);
    for (auto &n : w.nodes) {
        if (!n->r || n->paused) {
            continue;
        }
        sync_due(n.get());
        raft_tick(n->r, n->now());
        raft_flush(n->r, n->now());
        if (w.now_ms % 300 < 5 && !raft_is_fresh(n->r, n->now())) {
            say_hello(n.get());
        }
        if (n->state.size() > 40 && raft_log_length(n->r) > 600) {
            std::string text = save_state(n->state);
            fp_blob blob = {(uint8_t *)text.data(), (uint32_t)text.size()};
            raft_compact(n->r, &blob);
        }
    }
    check(w);
    acknowledge(w);
}

inline void run_for(World &w, uint64_t ms)
{
    uint64_t end = w.now_ms + ms;
    while (w.now_ms < end && w.failure.empty()) {
        step(w);
    }
}

inline bool settle(World &w, uint64_t bound_ms)
{
    uint64_t end = w.now_ms + bound_ms;
    while (w.now_ms < end && w.failure.empty()) {
        step(w);
        if (leading_node(w)) {
            return true;
        }
    }
    return false;
}

// Adds hosts of number first to last as voters, one at a time.
inline bool add_member(World &w, int number, uint64_t bound_ms)
{
    uint64_t end = w.now_ms + bound_ms;
    uint64_t id = raft_id(w.nodes[number]->r);
    while (w.now_ms < end && w.failure.empty()) {
        Node *n = leading_node(w);
        if (n) {
            raft_member_add(n->r, id, w.nodes[number]->host.c_str());
            const struct raft_members *m = raft_members(n->r);
            const raft_member *item = (const raft_member *)m->list.items;
            for (uint32_t i = 0; i < m->list.count; i++) {
                if (item[i].id == id && item[i].role == RAFT_VOTER) {
                    return true;
                }
            }
        }
        run_for(w, 20);
    }
    return false;
}

inline void build(World &w, int replicas, int observers)
{
    for (int i = 0; i < replicas + observers; i++) {
        auto n = std::make_unique<Node>();
        n->world = &w;
        n->number = i;
        n->host = "h" + std::to_string(i);
        n->has_disk = i < replicas;
        n->rate = 1.0 + ((double)w.below(100) - 50.0) / 50.0 * 0.004;
        w.nodes.push_back(std::move(n));
        boot(w.nodes.back().get());
    }
}

inline void tear_down(World &w)
{
    for (auto &n : w.nodes) {
        crash(n.get());
    }
    for (auto &m : w.network) {
        free_message(m);
    }
    w.network.clear();
}

} // namespace raft_world

#endif // FP_RAFT_WORLD_H
