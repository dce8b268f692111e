/* raftlead.c -- the leader: replication, leases, membership changes,
 * leadership transfer
 */
#include <glib.h>
#include <string.h>

#include "core/raftpriv.h"

/* A member that is silent for longer may have lost its disk: its host then has
 * another identity, which has not announced itself yet. */
#define MEMBER_HEARD_HEARTBEATS 2u

#define TRANSFER_TIMEOUT_MS 2000u
/* Bounds the pause before a chunk of a snapshot is sent again, as a multiple
 * of resend_ms. */
#define SNAPSHOT_PAUSE_FACTOR_MAX 16u

static struct follower *
find_follower(const struct raft *raft, uint64_t id)
{
    return g_hash_table_lookup(raft->followers, &id);
}

static struct follower *
add_follower(struct raft *raft, uint64_t id, const char *host, bool observer,
             uint64_t now_ms)
{
    struct follower *follower = find_follower(raft, id);

    if (follower == NULL) {
        follower = g_new0(struct follower, 1);
        follower->id = id;
        follower->next_index = raftlog_last_index(&raft->log) + 1;
        follower->heard_ms = now_ms;
        follower->progress_ms = now_ms;
        g_hash_table_insert(raft->followers, &follower->id, follower);
    }
    g_strlcpy(follower->host, host, sizeof(follower->host));
    follower->observer = observer;
    return follower;
}

/* Updates the followers from the newest member list. A member that was removed
 * becomes an observer until it has been silent for observer_ms.
 */
static void
update_followers(struct raft *raft, uint64_t now_ms)
{
    const struct fp_list *list = &raftlog_membership(&raft->log)->members.list;
    const struct raft_member *member = list->items;
    GHashTableIter iter;
    struct follower *follower;

    g_hash_table_iter_init(&iter, raft->followers);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&follower)) {
        follower->observer = true;
    }
    for (uint32_t i = 0; i < list->count; i++) {
        if (member[i].id != raft->id) {
            add_follower(raft, member[i].id, member[i].host, false, now_ms);
        }
    }
}

static uint64_t
match_index_of(const struct raft *raft, uint64_t id)
{
    const struct follower *follower = find_follower(raft, id);

    if (id == raft->id) {
        return raft->synced_index;
    }
    return follower != NULL ? follower->match_index : 0;
}

/* When the newest message was sent that a replica has answered; its own are as
 * if answered at once. */
static uint64_t
acked_ms_of(const struct raft *raft, uint64_t id)
{
    const struct follower *follower = find_follower(raft, id);

    if (id == raft->id) {
        return UINT64_MAX;
    }
    return follower != NULL ? follower->acked_ms : 0;
}

/* As of acked_ms_of(), for a quorum; now_ms where this replica is one. */
static uint64_t
quorum_acked_ms(const struct raft *raft, uint64_t now_ms)
{
    return MIN(raft_quorum_value(raft, acked_ms_of), now_ms);
}

/* A follower grants no vote for election_min_ms after it received an append,
 * so no other leader can be elected within that time of the sending time that
 * a majority has echoed. It is shortened by the bound on clock drift.
 */
static void
renew_lease(struct raft *raft, uint64_t now_ms)
{
    uint64_t acked_ms = quorum_acked_ms(raft, now_ms);
    uint64_t span_ms = raft->timing.election_min_ms *
                       (1000 - raft->timing.drift_permille) / 1000;

    if (acked_ms != 0 && raft->transfer_to_id == 0) {
        raft->lease_until_ms = MAX(raft->lease_until_ms, acked_ms + span_ms);
    }
}

static void
commit_by_quorum(struct raft *raft)
{
    uint64_t index = raft_quorum_value(raft, match_index_of);

    /* Entries of older terms are committed only along with an entry of the
     * current term. */
    if (index > raft->commit_index &&
        raftlog_term(&raft->log, index) == raft->term) {
        raft_advance_commit(raft, index);
        raft->commit_unsent = true;
    }
}

static void
send_snapshot_chunk(struct raft *raft, struct follower *follower,
                    uint64_t now_ms)
{
    const struct raft_snapshot *snap = &raft->snapshot;
    uint64_t left = snap->data.size_bytes - follower->snap_offset_bytes;
    struct msg_snapshot msg = {
        .from_id = raft->id,
        .to_id = follower->id,
        .term = raft->term,
        .last_index = snap->last_index,
        .last_term = snap->last_term,
        .members = snap->members.list,
        .offset_bytes = follower->snap_offset_bytes,
        .total_bytes = snap->data.size_bytes,
        .sent_ms = now_ms,
    };

    msg.chunk.data = snap->data.data + follower->snap_offset_bytes;
    msg.chunk.size_bytes = (uint32_t)MIN(left, MSG_SNAPSHOT_CHUNK_BYTES);
    follower->snap_sent_ms = now_ms;
    follower->sent_ms = now_ms;
    raft->ops.send(raft->ops.ctx, follower->id, &MSG_SNAPSHOT_SCHEMA, &msg, 0);
}

static void
start_snapshot_transfer(struct raft *raft, struct follower *follower,
                        uint64_t now_ms)
{
    follower->sending_snapshot = true;
    follower->snap_offset_bytes = 0;
    follower->snap_pause_ms = raft->timing.resend_ms;
    send_snapshot_chunk(raft, follower, now_ms);
}

/* Sends the entries that the follower lacks, or a snapshot when they are no
 * longer in memory. An empty append carries a new commit index, which isn't
 * delayed until the next heartbeat since proposers on other hosts wait for it,
 * or serves as heartbeat.
 */
static void
send_append(struct raft *raft, struct follower *follower, uint64_t now_ms)
{
    struct msg_append msg = {.from_id = raft->id,
                             .to_id = follower->id,
                             .term = raft->term,
                             .prev_index = follower->next_index - 1,
                             .commit_index = raft->commit_index,
                             .sent_ms = now_ms};
    const struct raft_entry *first =
        raftlog_entry_at(&raft->log, follower->next_index);
    uint64_t bytes = 0;
    uint64_t available;

    if (follower->sending_snapshot) {
        return;
    }
    if (follower->next_index <= raft->log.base_index) {
        start_snapshot_transfer(raft, follower, now_ms);
        return;
    }
    g_strlcpy(msg.leader_host, raft->host, sizeof(msg.leader_host));
    msg.prev_term = raftlog_term(&raft->log, msg.prev_index);
    if (raft_leader_ready(raft, now_ms)) {
        msg.fresh_asked_ms = follower->asked_ms;
    }
    available = raftlog_last_index(&raft->log) + 1 - follower->next_index;
    if (raft->unflushed_index != 0 &&
        raft->unflushed_index >= follower->next_index) {
        available = raft->unflushed_index - follower->next_index;
    }
    while (msg.entries.count < MIN(available, MSG_APPEND_MAX_ENTRIES) &&
           bytes < RAFT_APPEND_MAX_BYTES) {
        bytes += first[msg.entries.count].data.size_bytes;
        msg.entries.count++;
    }
    msg.entries.items = (void *)first;
    follower->next_index += msg.entries.count;
    follower->sent_ms = now_ms;
    raft->ops.send(raft->ops.ctx, follower->id, &MSG_APPEND_SCHEMA, &msg, 0);
}

static void
send_to_all(struct raft *raft, uint64_t now_ms)
{
    GHashTableIter iter;
    struct follower *follower;

    g_hash_table_iter_init(&iter, raft->followers);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&follower)) {
        send_append(raft, follower, now_ms);
    }
}

static void
append_local(struct raft *raft, enum raft_entry_kind kind, struct fp_blob data)
{
    struct raft_entry entry = {.index = raftlog_last_index(&raft->log) + 1,
                               .term = raft->term,
                               .kind = kind,
                               .data = data};

    raftlog_append(&raft->log, &entry);
    if (raft->unflushed_index == 0) {
        raft->unflushed_index = entry.index;
    }
}

static void
append_members(struct raft *raft, const struct raft_members *members)
{
    struct fp_blob data;

    fp_encode(&RAFT_MEMBERS_SCHEMA, members, &data);
    append_local(raft, RAFT_MEMBERS, data);
}

static bool
membership_committed(const struct raft *raft)
{
    return raftlog_membership(&raft->log)->index <= raft->commit_index &&
           raft->commit_index >= raft->noop_index;
}

static struct raft_member *
find_member(const struct raft_members *members, uint64_t id, const char *host)
{
    struct raft_member *member = members->list.items;

    for (uint32_t i = 0; i < members->list.count; i++) {
        if (member[i].id == id ||
            (host != NULL && strcmp(member[i].host, host) == 0)) {
            return &member[i];
        }
    }
    return NULL;
}

static void
set_member_role(struct raft *raft, uint64_t id, enum raft_role role)
{
    struct raft_members members;

    fp_record_copy(&RAFT_MEMBERS_SCHEMA, &members, raft_members(raft));
    find_member(&members, id, NULL)->role = role;
    append_members(raft, &members);
    fp_record_free(&RAFT_MEMBERS_SCHEMA, &members);
}

static void
remove_member(struct raft *raft, uint64_t id)
{
    struct raft_members members;
    struct raft_member *member;
    struct raft_member *end;

    fp_record_copy(&RAFT_MEMBERS_SCHEMA, &members, raft_members(raft));
    member = find_member(&members, id, NULL);
    end = (struct raft_member *)members.list.items + members.list.count;
    memmove(member, member + 1, (size_t)(end - member - 1) * sizeof(*member));
    members.list.count--;
    append_members(raft, &members);
    fp_record_free(&RAFT_MEMBERS_SCHEMA, &members);
}

static void
add_learner(struct raft *raft, uint64_t id, const char *host, uint64_t now_ms)
{
    struct raft_members members;
    struct raft_member *member;

    fp_record_copy(&RAFT_MEMBERS_SCHEMA, &members, raft_members(raft));
    member = fp_list_add(&members.list, sizeof(*member));
    member->id = id;
    g_strlcpy(member->host, host, sizeof(member->host));
    member->role = RAFT_LEARNER;
    append_members(raft, &members);
    fp_record_free(&RAFT_MEMBERS_SCHEMA, &members);
    update_followers(raft, now_ms);
}

/* Makes one learner a voter if all that is committed is on its disk. Returns
 * whether it did. */
static bool
promote_learner(struct raft *raft)
{
    const struct fp_list *list = &raft_members(raft)->list;
    const struct raft_member *member = list->items;

    for (uint32_t i = 0; i < list->count; i++) {
        const struct follower *follower = find_follower(raft, member[i].id);

        if (member[i].role == RAFT_LEARNER && follower != NULL &&
            follower->match_index >= raft->commit_index) {
            set_member_role(raft, member[i].id, RAFT_VOTER);
            return true;
        }
    }
    return false;
}

static void
advance_membership(struct raft *raft, uint64_t now_ms)
{
    if (!membership_committed(raft)) {
        return;
    }
    if (raft->pending_learner_id != 0) {
        add_learner(raft, raft->pending_learner_id, raft->pending_learner_host,
                    now_ms);
        raft->pending_learner_id = 0;
        return;
    }
    if (!promote_learner(raft) && !raft_voters_recorded(raft)) {
        append_members(raft, raft_members(raft));
    }
}

static void
advance_transfer(struct raft *raft, uint64_t now_ms)
{
    const struct follower *successor =
        find_follower(raft, raft->transfer_to_id);
    struct msg_timeout_now msg = {.from_id = raft->id,
                                  .to_id = raft->transfer_to_id,
                                  .term = raft->term};

    if (now_ms >= raft->transfer_deadline_ms || successor == NULL) {
        raft->transfer_to_id = 0;
        return;
    }
    if (successor->match_index < raftlog_last_index(&raft->log)) {
        return;
    }
    raft->ops.send(raft->ops.ctx, msg.to_id, &MSG_TIMEOUT_NOW_SCHEMA, &msg, 0);
    raft_become_follower(raft, raft->term, now_ms);
}

static void
tick_follower(struct raft *raft, struct follower *follower, uint64_t now_ms)
{
    bool lagging = follower->match_index + 1 < follower->next_index;

    if (follower->sending_snapshot) {
        if (now_ms >= follower->snap_sent_ms + follower->snap_pause_ms) {
            send_snapshot_chunk(raft, follower, now_ms);
        }
        return;
    }
    if (lagging && now_ms >= follower->progress_ms + raft->timing.resend_ms) {
        follower->next_index = follower->match_index + 1;
        follower->progress_ms = now_ms;
        send_append(raft, follower, now_ms);
    }
    else if (now_ms >= follower->sent_ms + raft->timing.heartbeat_ms) {
        send_append(raft, follower, now_ms);
    }
}

void
raft_become_leader(struct raft *raft, uint64_t now_ms)
{
    struct fp_blob empty = {NULL, 0};

    raft->state = RAFT_LEADER;
    raft->leader_id = raft->id;
    raft->leading_since_ms = now_ms;
    raft->lease_until_ms = 0;
    raft->transfer_to_id = 0;
    raft->pending_learner_id = 0;
    raft_leader_is_known(raft);
    g_hash_table_remove_all(raft->followers);
    update_followers(raft, now_ms);
    append_local(raft, RAFT_NOOP, empty);
    raft->noop_index = raftlog_last_index(&raft->log);
    raft->ops.state_changed(raft->ops.ctx);
    raft_flush(raft, now_ms);
}

/* While the leader lease was valid, the leader's state held all that was
 * committed; so it counts as fresh for fresh_ms after that, as a follower's
 * state does.
 */
static void
extend_freshness(struct raft *raft, uint64_t now_ms)
{
    uint64_t held_ms = MIN(now_ms, raft->lease_until_ms);

    if (raft->lease_until_ms > 0 && raft->applied_index >= raft->noop_index) {
        raft->fresh_until_ms =
            MAX(raft->fresh_until_ms, held_ms + raft->timing.fresh_ms);
    }
}

void
raft_stop_leading(struct raft *raft, uint64_t now_ms)
{
    extend_freshness(raft, now_ms);
    raft->lease_until_ms = 0;
    raft->next_fresh_until_ms = 0;
    raft->transfer_to_id = 0;
    if (raft->unflushed_index != 0) {
        raftlog_truncate(&raft->log, raft->unflushed_index);
        raft->unflushed_index = 0;
    }
    g_hash_table_remove_all(raft->followers);
}

void
raft_leader_tick(struct raft *raft, uint64_t now_ms)
{
    GHashTableIter iter;
    struct follower *follower;

    renew_lease(raft, now_ms);
    /* A leader that no majority has answered for an election timeout may have
     * been replaced. */
    if (quorum_acked_ms(raft, now_ms) + raft->timing.election_max_ms <
            now_ms &&
        raft->leading_since_ms + raft->timing.election_max_ms < now_ms) {
        raft_become_follower(raft, raft->term, now_ms);
        return;
    }
    if (!raft_is_voter(raft, raft->id) && membership_committed(raft)) {
        raft_become_follower(raft, raft->term, now_ms);
        return;
    }
    g_hash_table_iter_init(&iter, raft->followers);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&follower)) {
        if (follower->observer &&
            now_ms > follower->heard_ms + raft->timing.observer_ms) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        tick_follower(raft, follower, now_ms);
    }
    advance_membership(raft, now_ms);
    if (raft->transfer_to_id != 0) {
        advance_transfer(raft, now_ms);
    }
}

void
raft_leader_on_hello(struct raft *raft, const struct msg_hello *msg,
                     uint64_t now_ms)
{
    if (raft->state != RAFT_LEADER || msg->from_id == 0 ||
        find_follower(raft, msg->from_id) != NULL) {
        return;
    }
    add_follower(raft, msg->from_id, msg->host, true, now_ms);
    send_append(raft, find_follower(raft, msg->from_id), now_ms);
}

void
raft_leader_on_append_reply(struct raft *raft,
                            const struct msg_append_reply *msg,
                            uint64_t now_ms)
{
    struct follower *follower;

    if (msg->term > raft->term) {
        raft_become_follower(raft, msg->term, now_ms);
        return;
    }
    if (raft->state != RAFT_LEADER || msg->term < raft->term) {
        return;
    }
    follower = find_follower(raft, msg->from_id);
    if (follower == NULL) {
        return;
    }
    follower->heard_ms = now_ms;
    follower->acked_ms = MAX(follower->acked_ms, msg->echo_sent_ms);
    follower->asked_ms = MAX(follower->asked_ms, msg->asked_ms);
    renew_lease(raft, now_ms);
    if (!msg->accepted) {
        follower->next_index = MAX(MIN(msg->hint_index, follower->next_index),
                                   follower->match_index + 1);
        send_append(raft, follower, now_ms);
        return;
    }
    follower->applied_index = MAX(follower->applied_index, msg->applied_index);
    if (msg->match_index > follower->match_index) {
        follower->match_index =
            MIN(msg->match_index, raftlog_last_index(&raft->log));
        follower->progress_ms = now_ms;
        follower->next_index =
            MAX(follower->next_index, follower->match_index + 1);
        commit_by_quorum(raft);
    }
    if (follower->next_index <= raftlog_last_index(&raft->log) &&
        raft->unflushed_index == 0) {
        send_append(raft, follower, now_ms);
    }
}

void
raft_leader_on_snapshot_reply(struct raft *raft,
                              const struct msg_snapshot_reply *msg,
                              uint64_t now_ms)
{
    struct follower *follower;

    if (raft->state != RAFT_LEADER || msg->term != raft->term) {
        return;
    }
    follower = find_follower(raft, msg->from_id);
    if (follower == NULL || !follower->sending_snapshot) {
        return;
    }
    follower->heard_ms = now_ms;
    follower->acked_ms = MAX(follower->acked_ms, msg->echo_sent_ms);
    if (msg->last_index != raft->snapshot.last_index) {
        start_snapshot_transfer(raft, follower, now_ms);
        return;
    }
    if (msg->received_bytes == follower->snap_offset_bytes &&
        msg->received_bytes < raft->snapshot.data.size_bytes) {
        return; /* it got an earlier chunk again */
    }
    follower->snap_offset_bytes = msg->received_bytes;
    /* Workload: a chunk takes long over a slow link. Repeats of each chunk
     * would take most of the link. */
    follower->snap_pause_ms =
        CLAMP((now_ms - msg->echo_sent_ms) * 2, raft->timing.resend_ms,
              raft->timing.resend_ms * SNAPSHOT_PAUSE_FACTOR_MAX);
    if (msg->received_bytes < raft->snapshot.data.size_bytes) {
        send_snapshot_chunk(raft, follower, now_ms);
        return;
    }
    follower->sending_snapshot = false;
    follower->match_index = MAX(follower->match_index, msg->last_index);
    follower->next_index = follower->match_index + 1;
    send_append(raft, follower, now_ms);
}

void
raft_leader_on_synced(struct raft *raft, uint64_t now_ms)
{
    renew_lease(raft, now_ms);
    commit_by_quorum(raft);
}

enum fp_err
raft_propose(struct raft *raft, const void *data, uint32_t size_bytes,
             uint64_t *index)
{
    if (raft->state != RAFT_LEADER || raft->transfer_to_id != 0) {
        return FP_ERR_NO_LEADER;
    }
    if (size_bytes > MSG_ENTRY_MAX_BYTES) {
        return FP_ERR_TOO_LARGE;
    }
    append_local(raft, RAFT_CHANGE, fp_blob_copy(data, size_bytes));
    *index = raftlog_last_index(&raft->log);
    return FP_OK;
}

void
raft_flush(struct raft *raft, uint64_t now_ms)
{
    uint64_t first = raft->unflushed_index;
    uint64_t last = raftlog_last_index(&raft->log);

    raft->now_ms = now_ms;
    if (raft->state != RAFT_LEADER || (first == 0 && !raft->commit_unsent)) {
        return;
    }
    raft->commit_unsent = false;
    if (first == 0) {
        send_to_all(raft, now_ms);
        return;
    }
    raft->unflushed_index = 0;
    raft_track_write(raft,
                     raft->ops.write_entries(
                         raft->ops.ctx, raftlog_entry_at(&raft->log, first),
                         (uint32_t)(last - first + 1)),
                     last);
    update_followers(raft, now_ms);
    send_to_all(raft, now_ms);
}

/* Whether a follower has answered lately. */
static bool
is_heard(const struct raft *raft, const struct follower *follower,
         uint64_t now_ms)
{
    return now_ms <= follower->heard_ms +
                         MEMBER_HEARD_HEARTBEATS * raft->timing.heartbeat_ms;
}

enum fp_err
raft_member_add(struct raft *raft, uint64_t id, const char *host,
                uint64_t now_ms)
{
    const struct raft_member *old;
    const struct follower *follower = find_follower(raft, id);

    if (raft->state != RAFT_LEADER) {
        return FP_ERR_NO_LEADER;
    }
    if (!membership_committed(raft) || raft->pending_learner_id != 0) {
        return FP_ERR_BUSY;
    }
    old = find_member(raft_members(raft), id, host);
    if (follower == NULL ||
        (old != NULL && old->id == id && !is_heard(raft, follower, now_ms))) {
        return FP_ERR_NOT_FOUND;
    }
    if (old != NULL && old->id == id) {
        return FP_OK;
    }
    raft->pending_learner_id = id;
    g_strlcpy(raft->pending_learner_host, host,
              sizeof(raft->pending_learner_host));
    if (old != NULL) {
        remove_member(raft, old->id);
    }
    return FP_OK;
}

enum fp_err
raft_member_remove(struct raft *raft, uint64_t id)
{
    if (raft->state != RAFT_LEADER) {
        return FP_ERR_NO_LEADER;
    }
    if (!membership_committed(raft) || raft->pending_learner_id != 0) {
        return FP_ERR_BUSY;
    }
    if (find_member(raft_members(raft), id, NULL) == NULL) {
        return FP_ERR_NOT_FOUND;
    }
    if (raft_is_voter(raft, id) &&
        raft_count_voters(raft_members(raft)) == 1) {
        return FP_ERR_NOT_ALLOWED;
    }
    remove_member(raft, id);
    return FP_OK;
}

void
raft_transfer_leadership(struct raft *raft, uint64_t now_ms)
{
    GHashTableIter iter;
    struct follower *follower;
    const struct follower *best = NULL;

    if (raft->state != RAFT_LEADER) {
        return;
    }
    g_hash_table_iter_init(&iter, raft->followers);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&follower)) {
        if (raft_is_voter(raft, follower->id) &&
            (best == NULL || follower->match_index > best->match_index)) {
            best = follower;
        }
    }
    if (best == NULL) {
        return;
    }
    /* Voters grant their votes to the successor in spite of the leader lease,
     * so the lease has to end now. */
    raft_flush(raft, now_ms);
    raft->transfer_to_id = best->id;
    raft->transfer_deadline_ms = now_ms + TRANSFER_TIMEOUT_MS;
    extend_freshness(raft, now_ms);
    raft->lease_until_ms = 0;
    advance_transfer(raft, now_ms);
}

uint64_t
raft_lease_until_ms(const struct raft *raft)
{
    return raft->state == RAFT_LEADER ? raft->lease_until_ms : 0;
}

bool
raft_leader_ready(const struct raft *raft, uint64_t now_ms)
{
    return raft->state == RAFT_LEADER && now_ms < raft->lease_until_ms &&
           raft->applied_index >= raft->noop_index;
}

uint64_t
raft_leading_since_ms(const struct raft *raft)
{
    return raft->leading_since_ms;
}

void
raft_for_each_follower(const struct raft *raft,
                       void (*visit)(void *ctx, uint64_t id, const char *host,
                                     uint64_t match_index,
                                     uint64_t applied_index,
                                     uint64_t heard_ms),
                       void *ctx)
{
    GHashTableIter iter;
    struct follower *follower;

    g_hash_table_iter_init(&iter, raft->followers);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&follower)) {
        visit(ctx, follower->id, follower->host, follower->match_index,
              follower->applied_index, follower->heard_ms);
    }
}
