/* raft.c -- roles, elections and followers; the leader is in raftlead.c */
#include "core/raft.h"

#include <glib.h>
#include <string.h>

#include "core/raftpriv.h"

/* Elections without a result after which the pause before the next one, which
 * begins with the second and doubles with each, grows no more. */
#define BACKOFF_ELECTIONS_MAX 4u

static void
reset_election_timer(struct raft *raft, uint64_t now_ms)
{
    uint64_t spread =
        raft->timing.election_max_ms - raft->timing.election_min_ms;

    raft->election_at_ms = now_ms + raft->timing.election_min_ms +
                           raft->ops.random(raft->ops.ctx, (uint32_t)spread);
}

/* Workload: all hosts restart. The one that led asks for votes at once, since
 * all others may vote for it; these ask as soon as its lease must be over, in
 * case that it does not come back. A pre-vote disturbs no leader. */
static void
set_first_election_timer(struct raft *raft, uint64_t now_ms)
{
    if (raft->leased_to == raft->id) {
        raft->election_at_ms = now_ms;
        return;
    }
    raft->leader_heard_ms = now_ms;
    raft->election_at_ms =
        now_ms + raft->timing.election_min_ms +
        raft->ops.random(raft->ops.ctx, (uint32_t)raft->timing.heartbeat_ms);
}

static struct raft_vote
vote_record(const struct raft *raft)
{
    return (struct raft_vote){raft->term, raft->voted_for, raft->leased_to};
}

static void
persist_vote(struct raft *raft)
{
    struct raft_vote vote = vote_record(raft);

    raft_track_write(raft, raft->ops.write_vote(raft->ops.ctx, &vote), 0);
    raft->last_vote_write = raft->last_write;
}

/* Whether the term, the vote or the lease that this replica may have extended
 * is not on disk yet. */
static bool
vote_is_pending(const struct raft *raft)
{
    return raft->last_vote_write > raft->synced_write;
}

/* Whether the disk has not completed a write for half a heartbeat. */
static bool
disk_is_slow(const struct raft *raft)
{
    return raft->pending_writes->len > 0 &&
           raft->now_ms >=
               g_array_index(raft->pending_writes, struct pending_write, 0)
                       .queued_ms +
                   raft->timing.heartbeat_ms / 2;
}

/* Workload: the disks of all hosts take longer for a sync than an election
 * timeout. A vote has to be on disk before it is given: the candidate waits as
 * long as its own took, twice since the voters may be busy with another write,
 * or as long as a vote took that came too late; and at random for longer after
 * elections without a result. */
static void
set_vote_timer(struct raft *raft, uint64_t now_ms)
{
    uint64_t wait_ms = 2 * MAX(raft->write_ms, raft->late_vote_ms);
    uint32_t elections = MIN(raft->lost_elections, BACKOFF_ELECTIONS_MAX);

    reset_election_timer(raft, now_ms);
    if (raft->state == RAFT_CANDIDATE && elections > 1) {
        wait_ms += raft->ops.random(raft->ops.ctx,
                                    (uint32_t)raft->timing.election_min_ms
                                        << (elections - 2));
    }
    raft->election_at_ms += wait_ms;
}

void
raft_leader_is_known(struct raft *raft)
{
    raft->lost_elections = 0;
    raft->late_vote_ms = 0;
}

bool
raft_is_voter(const struct raft *raft, uint64_t id)
{
    const struct raft_member *member =
        raft_find_member(raft_members(raft), id);

    return member != NULL && member->role == RAFT_VOTER;
}

uint64_t
raft_track_write(struct raft *raft, uint64_t write, uint64_t last_index)
{
    struct pending_write pending = {write, last_index, raft->now_ms};

    if (!raft->has_disk) {
        if (last_index > raft->synced_index) {
            raft->synced_index = last_index;
        }
        return 0;
    }
    g_array_append_val(raft->pending_writes, pending);
    raft->last_write = write;
    return write;
}

/* Removes the entries from index on. The writes in progress that hold them
 * then no longer raise synced_index when they complete.
 */
static void
truncate_log(struct raft *raft, uint64_t index)
{
    raftlog_truncate(&raft->log, index);
    for (guint i = 0; i < raft->pending_writes->len; i++) {
        struct pending_write *pending =
            &g_array_index(raft->pending_writes, struct pending_write, i);

        pending->last_index = MIN(pending->last_index, index - 1);
    }
    raft->synced_index = MIN(raft->synced_index, index - 1);
}

void
raft_advance_commit(struct raft *raft, uint64_t index)
{
    index = MIN(index, raftlog_last_index(&raft->log));
    if (index > raft->commit_index) {
        raft->commit_index = index;
    }
    while (raft->applied_index < raft->commit_index) {
        const struct raft_entry *entry =
            raftlog_entry_at(&raft->log, raft->applied_index + 1);

        raft->applied_index++;
        if (entry->kind == RAFT_CHANGE) {
            raft->ops.apply(raft->ops.ctx, entry);
        }
    }
    if (raft->applied_index >= raft->next_fresh_index &&
        raft->next_fresh_until_ms > raft->fresh_until_ms) {
        raft->fresh_until_ms = raft->next_fresh_until_ms;
    }
}

/* Returns whether the term is a new one; the caller then writes the vote. */
static bool
become_follower(struct raft *raft, uint64_t term, uint64_t now_ms)
{
    bool was_leader = raft->state == RAFT_LEADER;
    bool is_new_term = term > raft->term;

    if (was_leader) {
        raft_stop_leading(raft, now_ms);
    }
    raft->state = RAFT_FOLLOWER;
    if (is_new_term) {
        raft->term = term;
        raft->voted_for = 0;
    }
    if (is_new_term || was_leader) {
        raft->leader_id = 0;
        raft->leader_host[0] = '\0';
    }
    reset_election_timer(raft, now_ms);
    return is_new_term;
}

void
raft_become_follower(struct raft *raft, uint64_t term, uint64_t now_ms)
{
    if (become_follower(raft, term, now_ms)) {
        persist_vote(raft);
    }
    raft->ops.state_changed(raft->ops.ctx);
}

/* A request for votes that is being sent. */
struct vote_request {
    struct raft *raft;
    struct msg_vote msg;
    const char *host; /* the only one that is asked; NULL: all are */
};

static void
send_vote_request(void *ctx, uint64_t id, const char *host)
{
    struct vote_request *request = ctx;
    struct raft *raft = request->raft;

    if (request->host == NULL || strcmp(host, request->host) == 0) {
        request->msg.to_id = id;
        raft->ops.send(raft->ops.ctx, id, &MSG_VOTE_SCHEMA, &request->msg,
                       request->msg.pre ? 0 : raft->last_write);
    }
}

/* Asks the replicas on a host for their votes; all hosts for NULL. */
static void
request_votes(struct raft *raft, const char *host, bool pre, bool transfer)
{
    struct vote_request request = {
        .raft = raft,
        .host = host,
        .msg = {
            .from_id = raft->id,
            .term = pre ? raft->term + 1 : raft->term,
            .pre = pre,
            .transfer = transfer,
            .last_index = raftlog_last_index(&raft->log),
            .last_term = raftlog_last_term(&raft->log),
        }};

    raft_for_each_elector(raft, send_vote_request, &request);
}

/* A candidate counts its own vote only once it is on disk; raft_synced() adds
 * it.
 */
static void
add_vote(struct raft *raft, uint64_t id)
{
    g_hash_table_add(raft->votes_granted, g_memdup2(&id, sizeof(id)));
}

static uint64_t
vote_of(const struct raft *raft, uint64_t id)
{
    return g_hash_table_contains(raft->votes_granted, &id);
}

static bool
has_quorum(const struct raft *raft)
{
    return raft_quorum_value(raft, vote_of) > 0;
}

static void
start_election(struct raft *raft, bool transfer, uint64_t now_ms)
{
    raft->state = RAFT_CANDIDATE;
    raft->term++;
    raft->voted_for = raft->id;
    raft->leased_to = raft->id;
    raft->leader_id = 0;
    raft->leader_host[0] = '\0';
    raft->asked_votes_ms = now_ms;
    raft->lost_elections++;
    persist_vote(raft);
    g_hash_table_remove_all(raft->votes_granted);
    reset_election_timer(raft, now_ms);
    request_votes(raft, NULL, false, transfer);
    raft->ops.state_changed(raft->ops.ctx);
}

/* When to repeat a pre-vote. Workload: all hosts restart within some hundred
 * milliseconds of each other, so that the first pre-votes find nobody, or
 * voters that wait for a lease to end. They are repeated sooner than after a
 * whole election timeout, as a pre-vote changes no term. */
static void
set_pre_vote_timer(struct raft *raft, uint64_t now_ms)
{
    uint64_t spread = 2 * raft->timing.heartbeat_ms;

    raft->election_at_ms = now_ms + raft->timing.heartbeat_ms +
                           raft->ops.random(raft->ops.ctx, (uint32_t)spread);
}

/* Whether another replica may be about to ask for votes, by this one's
 * pre-vote. */
static bool
has_promised(const struct raft *raft, uint64_t now_ms)
{
    return raft->pre_vote.id != raft->id && now_ms < raft->pre_vote.until_ms;
}

static void
promise(struct raft *raft, uint64_t id, uint64_t last_term,
        uint64_t last_index, uint64_t now_ms)
{
    if (id == raft->pre_vote.id && now_ms < raft->pre_vote.until_ms) {
        return; /* repeats hold others up no longer */
    }
    raft->pre_vote =
        (struct pre_vote){id, last_term, last_index,
                          now_ms + raft->timing.heartbeat_ms + raft->write_ms};
}

/* Whether a pre-vote may go to the sender although another replica has it. */
static bool
goes_before(const struct raft *raft, const struct msg_vote *msg)
{
    const struct pre_vote *given = &raft->pre_vote;

    if (msg->last_term != given->last_term) {
        return msg->last_term > given->last_term;
    }
    if (msg->last_index != given->last_index) {
        return msg->last_index > given->last_index;
    }
    return given->id == raft->id && msg->from_id < raft->id;
}

/* Workload: several hosts miss the leader in the same moment. If all of them
 * became candidates, none would have a majority, and on slow disks it takes
 * them several syncs to find out. So a replica gives its pre-vote to one at a
 * time, unless another one's log is newer. One that asks itself gives it to
 * those with lower IDs, too, and then waits for them. */
static bool
try_promise(struct raft *raft, const struct msg_vote *msg, uint64_t now_ms)
{
    const struct pre_vote *given = &raft->pre_vote;

    if (now_ms < given->until_ms && msg->from_id != given->id) {
        if (!goes_before(raft, msg)) {
            return false;
        }
        if (given->id == raft->id) {
            g_hash_table_remove_all(raft->votes_granted);
        }
    }
    promise(raft, msg->from_id, msg->last_term, msg->last_index, now_ms);
    return true;
}

static void
start_pre_vote(struct raft *raft, uint64_t now_ms)
{
    promise(raft, raft->id, raftlog_last_term(&raft->log),
            raftlog_last_index(&raft->log), now_ms);
    raft->state = RAFT_PRE_CANDIDATE;
    raft->leader_id = 0;
    raft->leader_host[0] = '\0';
    g_hash_table_remove_all(raft->votes_granted);
    add_vote(raft, raft->id);
    set_pre_vote_timer(raft, now_ms);
    if (has_quorum(raft)) {
        start_election(raft, false, now_ms);
        return;
    }
    request_votes(raft, NULL, true, false);
}

static bool
candidate_log_is_current(const struct raft *raft, const struct msg_vote *msg)
{
    uint64_t last_term = raftlog_last_term(&raft->log);

    if (msg->last_term != last_term) {
        return msg->last_term > last_term;
    }
    return msg->last_index >= raftlog_last_index(&raft->log);
}

/* A replica that asks for votes in a later term does not lead, and holds no
 * leader lease. Workload: all hosts restart together, and the replica that led
 * asks first; the others need not wait for the end of a lease that it no
 * longer holds.
 */
static void
note_released_lease(struct raft *raft, const struct msg_vote *msg,
                    uint64_t now_ms)
{
    if (msg->from_id != raft->leased_to || msg->term <= raft->term) {
        return;
    }
    raft->leader_heard_ms = 0;
    if (raft->state != RAFT_LEADER && !candidate_log_is_current(raft, msg)) {
        set_pre_vote_timer(raft, now_ms);
    }
}

/* Returns whether this replica leads, or may have extended a leader lease that
 * is still in force. It then grants no vote, which the leader lease relies on,
 * unless the leader itself asked for the election.
 */
static bool
lease_may_be_held(const struct raft *raft, uint64_t now_ms)
{
    if (raft->state == RAFT_LEADER) {
        return true;
    }
    return raft->leader_heard_ms != 0 &&
           now_ms < raft->leader_heard_ms + raft->timing.election_min_ms;
}

static void
on_vote(struct raft *raft, const struct msg_vote *msg, uint64_t now_ms)
{
    struct msg_vote_reply reply = {
        .from_id = raft->id, .to_id = msg->from_id, .pre = msg->pre};
    bool is_new_term = false;
    uint64_t after = 0;

    if (!raft->has_disk) {
        return;
    }
    note_released_lease(raft, msg, now_ms);
    if (!msg->transfer && lease_may_be_held(raft, now_ms)) {
        return;
    }
    if (msg->pre && vote_is_pending(raft)) {
        return; /* it could not vote now */
    }
    if (msg->pre) {
        reply.granted =
            msg->term > raft->term && candidate_log_is_current(raft, msg);
        if (reply.granted && !try_promise(raft, msg, now_ms)) {
            return;
        }
        reply.term = reply.granted ? msg->term : raft->term;
    }
    else {
        if (msg->term > raft->term) {
            is_new_term = become_follower(raft, msg->term, now_ms);
        }
        reply.granted =
            msg->term == raft->term && candidate_log_is_current(raft, msg) &&
            (raft->voted_for == 0 || raft->voted_for == msg->from_id);
        if (reply.granted && raft->voted_for == 0) {
            raft->voted_for = msg->from_id;
            /* Recorded ahead, with the vote: saves a write when the candidate
             * wins. */
            raft->leased_to = msg->from_id;
            persist_vote(raft);
            reset_election_timer(raft, now_ms);
        }
        else if (is_new_term) {
            persist_vote(raft);
        }
        if (is_new_term) {
            raft->ops.state_changed(raft->ops.ctx);
        }
        reply.term = raft->term;
        after = raft->last_vote_write;
    }
    raft->ops.send(raft->ops.ctx, msg->from_id, &MSG_VOTE_REPLY_SCHEMA, &reply,
                   after);
}

static void
on_vote_reply(struct raft *raft, const struct msg_vote_reply *msg,
              uint64_t now_ms)
{
    if (!msg->granted) {
        if (msg->term > raft->term) {
            raft_become_follower(raft, msg->term, now_ms);
        }
        return;
    }
    if (msg->pre && raft->state == RAFT_PRE_CANDIDATE &&
        msg->term == raft->term + 1) {
        add_vote(raft, msg->from_id);
        if (has_quorum(raft)) {
            start_election(raft, false, now_ms);
        }
    }
    else if (!msg->pre && raft->state == RAFT_CANDIDATE &&
             msg->term == raft->term) {
        add_vote(raft, msg->from_id);
        if (has_quorum(raft)) {
            raft_become_leader(raft, now_ms);
        }
    }
    else if (!msg->pre && raft->state == RAFT_PRE_CANDIDATE &&
             msg->term == raft->term) {
        /* It must not count: others may have been told, by the pre-vote, that
         * this replica does not lead in the term. */
        raft->late_vote_ms = now_ms - raft->asked_votes_ms;
    }
}

/* The reply to the leader's message extends its lease, and is sent once the
 * record of that is on disk.
 */
static void
follow_leader(struct raft *raft, uint64_t term, uint64_t leader_id,
              const char *host, uint64_t now_ms)
{
    bool is_recorded = raft->leased_to == leader_id || term > raft->term;

    raft->leased_to = leader_id;
    if (term > raft->term || raft->state != RAFT_FOLLOWER) {
        raft_become_follower(raft, term, now_ms);
    }
    if (!is_recorded) {
        persist_vote(raft);
    }
    raft->leader_heard_ms = now_ms;
    reset_election_timer(raft, now_ms);
    raft_leader_is_known(raft);
    if (raft->leader_id != leader_id) {
        raft->leader_id = leader_id;
        if (host != NULL) {
            g_strlcpy(raft->leader_host, host, sizeof(raft->leader_host));
        }
        raft->ops.state_changed(raft->ops.ctx);
    }
}

/* Appends the entries that the log lacks, and first truncates it where it
 * conflicts with them.
 */
static void
append_new_entries(struct raft *raft, const struct fp_list *list)
{
    const struct raft_entry *entries = list->items;
    uint32_t from = 0;

    while (from < list->count &&
           (entries[from].index <= raft->log.base_index ||
            raftlog_term(&raft->log, entries[from].index) ==
                entries[from].term)) {
        from++;
    }
    if (from == list->count) {
        return;
    }
    if (entries[from].index <= raftlog_last_index(&raft->log)) {
        truncate_log(raft, entries[from].index);
    }
    for (uint32_t i = from; i < list->count; i++) {
        struct raft_entry copy = entries[i];

        copy.data = fp_blob_copy(copy.data.data, copy.data.size_bytes);
        raftlog_append(&raft->log, &copy);
    }
    raft_track_write(raft,
                     raft->ops.write_entries(raft->ops.ctx, entries + from,
                                             list->count - from),
                     raftlog_last_index(&raft->log));
}

/* The entries of an append must be consecutive from prev_index + 1 and agree
 * with the entries that are committed here.
 */
static bool
append_is_valid(const struct raft *raft, const struct msg_append *msg)
{
    const struct raft_entry *entries = msg->entries.items;

    for (uint32_t i = 0; i < msg->entries.count; i++) {
        uint64_t known = raftlog_term(&raft->log, entries[i].index);

        if (entries[i].index != msg->prev_index + 1 + i ||
            entries[i].term > msg->term) {
            return false;
        }
        if (entries[i].index <= raft->commit_index &&
            entries[i].index > raft->log.base_index &&
            known != entries[i].term) {
            return false;
        }
    }
    return true;
}

/* The leader echoes the time at which this follower asked for a lease. The
 * lease starts from that time, once all that was committed when the leader
 * answered is applied here.
 */
static void
record_freshness_lease(struct raft *raft, const struct msg_append *msg)
{
    if (msg->fresh_asked_ms == 0) {
        return;
    }
    raft->next_fresh_until_ms = msg->fresh_asked_ms + raft->timing.fresh_ms;
    raft->next_fresh_index = msg->commit_index;
}

/* Workload: disks that take longer for a sync than the leader's lease lasts.
 * Acknowledges that the leader was heard, which only needs the record of the
 * lease, apart from the entries; of these, reply states what is on disk. */
static void
acknowledge_early(struct raft *raft, const struct msg_append *msg,
                  const struct msg_append_reply *reply)
{
    struct msg_append_reply early = *reply;

    early.match_index = MIN(reply->match_index, raft->synced_index);
    raft->ops.send(raft->ops.ctx, msg->from_id, &MSG_APPEND_REPLY_SCHEMA,
                   &early, raft->last_vote_write);
}

static void
on_append(struct raft *raft, const struct msg_append *msg, uint64_t now_ms)
{
    struct msg_append_reply reply = {.from_id = raft->id,
                                     .to_id = msg->from_id,
                                     .echo_sent_ms = msg->sent_ms,
                                     .asked_ms = now_ms};
    uint64_t last;

    if (msg->term < raft->term) {
        reply.term = raft->term;
        raft->ops.send(raft->ops.ctx, msg->from_id, &MSG_APPEND_REPLY_SCHEMA,
                       &reply, raft->last_vote_write);
        return;
    }
    if (!append_is_valid(raft, msg)) {
        return;
    }
    follow_leader(raft, msg->term, msg->from_id, msg->leader_host, now_ms);
    reply.term = raft->term;
    last = raftlog_last_index(&raft->log);
    if (msg->prev_index > last ||
        (msg->prev_index > raft->log.base_index &&
         raftlog_term(&raft->log, msg->prev_index) != msg->prev_term)) {
        reply.hint_index = MIN(last, msg->prev_index - 1) + 1;
        if (msg->prev_index <= last) {
            reply.hint_index =
                MAX(raft->commit_index + 1, raft->log.base_index + 1);
        }
    }
    else {
        append_new_entries(raft, &msg->entries);
        reply.accepted = true;
        reply.match_index =
            MAX(msg->prev_index + msg->entries.count, raft->log.base_index);
        record_freshness_lease(raft, msg);
        raft_advance_commit(raft, MIN(msg->commit_index, reply.match_index));
    }
    reply.applied_index = raft->applied_index;
    if (disk_is_slow(raft)) {
        acknowledge_early(raft, msg, &reply);
        if (reply.match_index <= raft->synced_index ||
            msg->entries.count == 0) {
            return;
        }
    }
    raft->ops.send(raft->ops.ctx, msg->from_id, &MSG_APPEND_REPLY_SCHEMA,
                   &reply, raft->last_write);
}

/* Queues all that this replica must remember as one write. */
static void
write_whole_state(struct raft *raft)
{
    const struct raft_snapshot *snap = &raft->snapshot;
    struct raft_vote vote = vote_record(raft);
    uint64_t last = raftlog_last_index(&raft->log);

    raft_track_write(
        raft,
        raft->ops.rewrite(raft->ops.ctx, snap, &vote,
                          raftlog_entry_at(&raft->log, snap->last_index + 1),
                          (uint32_t)(last - snap->last_index)),
        last);
    raft->last_vote_write = raft->last_write;
}

static void
install_snapshot(struct raft *raft, struct raft_snapshot *snap)
{
    if (!raft->ops.restore(raft->ops.ctx, snap)) {
        fp_blob_free(&snap->data);
        fp_record_free(&RAFT_MEMBERS_SCHEMA, &snap->members);
        return;
    }
    raftlog_clear(&raft->log);
    raftlog_init(&raft->log, snap->last_index, snap->last_term,
                 &snap->members);
    raft->commit_index = snap->last_index;
    raft->applied_index = snap->last_index;
    g_array_set_size(raft->pending_writes, 0);
    raft->synced_index = 0;
    fp_blob_free(&raft->snapshot.data);
    fp_record_free(&RAFT_MEMBERS_SCHEMA, &raft->snapshot.members);
    raft->snapshot = *snap;
    write_whole_state(raft);
    if (!raft->has_disk) {
        fp_blob_free(&raft->snapshot.data);
    }
}

static void
discard_incoming_snapshot(struct raft *raft)
{
    if (raft->incoming_snapshot.data != NULL) {
        g_byte_array_free(raft->incoming_snapshot.data, TRUE);
        raft->incoming_snapshot.data = NULL;
    }
}

static void
finish_incoming_snapshot(struct raft *raft, const struct msg_snapshot *msg)
{
    struct raft_snapshot snap = {.last_index = msg->last_index,
                                 .last_term = msg->last_term};
    struct raft_members members = {msg->members};

    fp_record_copy(&RAFT_MEMBERS_SCHEMA, &snap.members, &members);
    snap.data = fp_blob_copy(raft->incoming_snapshot.data->data,
                             raft->incoming_snapshot.data->len);
    discard_incoming_snapshot(raft);
    if (snap.last_index > raft->commit_index) {
        install_snapshot(raft, &snap);
        return;
    }
    fp_blob_free(&snap.data);
    fp_record_free(&RAFT_MEMBERS_SCHEMA, &snap.members);
}

static void
on_snapshot(struct raft *raft, const struct msg_snapshot *msg, uint64_t now_ms)
{
    struct incoming_snapshot *in = &raft->incoming_snapshot;
    struct msg_snapshot_reply reply = {.from_id = raft->id,
                                       .to_id = msg->from_id,
                                       .last_index = msg->last_index,
                                       .echo_sent_ms = msg->sent_ms};

    if (msg->term < raft->term) {
        return;
    }
    follow_leader(raft, msg->term, msg->from_id, NULL, now_ms);
    reply.term = raft->term;
    if (msg->last_index <= raft->commit_index) {
        reply.received_bytes = msg->total_bytes;
        raft->ops.send(raft->ops.ctx, msg->from_id, &MSG_SNAPSHOT_REPLY_SCHEMA,
                       &reply, raft->last_write);
        return;
    }
    if (in->data == NULL || in->last_index != msg->last_index ||
        in->last_term != msg->last_term) {
        discard_incoming_snapshot(raft);
        in->data = g_byte_array_new();
        in->last_index = msg->last_index;
        in->last_term = msg->last_term;
    }
    if (msg->offset_bytes == in->data->len) {
        g_byte_array_append(in->data, msg->chunk.data, msg->chunk.size_bytes);
    }
    reply.received_bytes = in->data->len;
    if (in->data->len == msg->total_bytes) {
        finish_incoming_snapshot(raft, msg);
    }
    raft->ops.send(raft->ops.ctx, msg->from_id, &MSG_SNAPSHOT_REPLY_SCHEMA,
                   &reply, raft->last_write);
}

static void
on_timeout_now(struct raft *raft, const struct msg_timeout_now *msg,
               uint64_t now_ms)
{
    if (msg->term != raft->term || !raft_is_voter(raft, raft->id)) {
        return;
    }
    start_election(raft, true, now_ms);
}

/* A replica that waits for its disk still learns who leads, so that it can
 * tell others.
 */
static void
note_leader(struct raft *raft, const struct msg_append *msg, uint64_t now_ms)
{
    if (msg->term < raft->term) {
        return;
    }
    reset_election_timer(raft, now_ms);
    if (raft->leader_id != msg->from_id) {
        raft->leader_id = msg->from_id;
        g_strlcpy(raft->leader_host, msg->leader_host,
                  sizeof(raft->leader_host));
        raft->ops.state_changed(raft->ops.ctx);
    }
}

void
raft_default_timing(struct raft_timing *timing)
{
    static const struct raft_timing defaults = {
        .heartbeat_ms = 100,
        .election_min_ms = 600,
        .election_max_ms = 1200,
        .fresh_ms = 2000,
        .drift_permille = 10,
        .resend_ms = 300,
        .observer_ms = 10000,
    };

    *timing = defaults;
}

struct raft *
raft_new(struct raft_init *init, const struct raft_timing *timing,
         const struct raft_ops *ops, uint64_t now_ms)
{
    struct raft *raft = g_new0(struct raft, 1);
    struct raft_entry *entries = init->entries.items;

    raft->id = init->id;
    g_strlcpy(raft->host, init->host, sizeof(raft->host));
    raft->has_disk = init->has_disk;
    raft->timing = *timing;
    raft->ops = *ops;
    raft->term = init->vote.term;
    raft->voted_for = init->vote.voted_for;
    raft->leased_to = init->vote.leased_to;
    raft->snapshot = init->snapshot;
    raftlog_init(&raft->log, init->snapshot.last_index,
                 init->snapshot.last_term, &init->snapshot.members);
    for (uint32_t i = 0; i < init->entries.count; i++) {
        raftlog_append(&raft->log, &entries[i]);
    }
    g_free(init->entries.items);
    raft->commit_index = raft->log.base_index;
    raft->applied_index = raft->log.base_index;
    raft->synced_index = raftlog_last_index(&raft->log);
    raft->pending_writes =
        g_array_new(FALSE, FALSE, sizeof(struct pending_write));
    raft->votes_granted =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    raft->followers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    raft->disk_failed = init->pending_write != 0;
    raft->recovery_write = init->pending_write;
    raft->last_write = init->pending_write;
    raft->last_vote_write = init->pending_write;
    raft->now_ms = now_ms;
    set_first_election_timer(raft, now_ms);
    memset(init, 0, sizeof(*init));
    return raft;
}

void
raft_free(struct raft *raft)
{
    if (raft == NULL) {
        return;
    }
    raftlog_clear(&raft->log);
    discard_incoming_snapshot(raft);
    fp_blob_free(&raft->snapshot.data);
    fp_record_free(&RAFT_MEMBERS_SCHEMA, &raft->snapshot.members);
    g_array_free(raft->pending_writes, TRUE);
    g_hash_table_destroy(raft->votes_granted);
    g_hash_table_destroy(raft->followers);
    g_free(raft);
}

bool
raft_is_empty(const struct raft *raft)
{
    return raftlog_last_index(&raft->log) == 0 && raft->term == 0 &&
           raft->leader_id == 0;
}

enum fp_err
raft_bootstrap(struct raft *raft, uint64_t now_ms)
{
    struct raft_members members = {{NULL, 0}};
    struct raft_member *member;
    struct raft_entry entry = {.index = 1, .term = 1, .kind = RAFT_MEMBERS};

    if (!raft->has_disk) {
        return FP_ERR_DISK;
    }
    if (!raft_is_empty(raft)) {
        return FP_ERR_STALE;
    }
    member = fp_list_add(&members.list, sizeof(*member));
    member->id = raft->id;
    g_strlcpy(member->host, raft->host, sizeof(member->host));
    member->role = RAFT_VOTER;
    fp_encode(&RAFT_MEMBERS_SCHEMA, &members, &entry.data);
    fp_record_free(&RAFT_MEMBERS_SCHEMA, &members);
    raft->term = 1;
    raft->leased_to = raft->id;
    persist_vote(raft);
    raftlog_append(&raft->log, &entry);
    raft_track_write(raft, raft->ops.write_entries(raft->ops.ctx, &entry, 1),
                     1);
    raft->election_at_ms = now_ms;
    return FP_OK;
}

void
raft_tick(struct raft *raft, uint64_t now_ms)
{
    raft->now_ms = now_ms;
    if (raft->disk_failed) {
        return;
    }
    if (raft->state == RAFT_LEADER) {
        raft_leader_tick(raft, now_ms);
    }
    else if (now_ms >= raft->election_at_ms) {
        if (raft->has_disk && raft_is_voter(raft, raft->id)) {
            if (!vote_is_pending(raft) && !has_promised(raft, now_ms)) {
                start_pre_vote(raft, now_ms);
            }
        }
        else {
            raft->leader_id = 0;
            reset_election_timer(raft, now_ms);
        }
    }
}

void
raft_host_connected(struct raft *raft, const char *host)
{
    if (raft->state == RAFT_PRE_CANDIDATE && !raft->disk_failed) {
        request_votes(raft, host, true, false);
    }
}

void
raft_receive(struct raft *raft, uint32_t type, const void *msg,
             uint64_t now_ms)
{
    raft->now_ms = now_ms;
    if (raft->disk_failed) {
        if (type == MSG_APPEND) {
            note_leader(raft, msg, now_ms);
        }
        return;
    }
    switch (type) {
    case MSG_HELLO:
        raft_note_substitute(raft, msg);
        raft_leader_on_hello(raft, msg, now_ms);
        break;
    case MSG_APPEND:
        on_append(raft, msg, now_ms);
        break;
    case MSG_APPEND_REPLY:
        raft_leader_on_append_reply(raft, msg, now_ms);
        break;
    case MSG_VOTE:
        on_vote(raft, msg, now_ms);
        break;
    case MSG_VOTE_REPLY:
        on_vote_reply(raft, msg, now_ms);
        break;
    case MSG_SNAPSHOT:
        on_snapshot(raft, msg, now_ms);
        break;
    case MSG_SNAPSHOT_REPLY:
        raft_leader_on_snapshot_reply(raft, msg, now_ms);
        break;
    case MSG_TIMEOUT_NOW:
        on_timeout_now(raft, msg, now_ms);
        break;
    default:
        break;
    }
}

void
raft_synced(struct raft *raft, uint64_t write, uint64_t now_ms)
{
    const bool awaits_vote =
        vote_is_pending(raft) && raft->voted_for != 0 && !raft->disk_failed;
    guint done = 0;

    raft->now_ms = now_ms;
    raft->synced_write = MAX(raft->synced_write, write);
    while (done < raft->pending_writes->len) {
        const struct pending_write *pending =
            &g_array_index(raft->pending_writes, struct pending_write, done);

        if (pending->number > write) {
            break;
        }
        raft->synced_index = MAX(raft->synced_index, pending->last_index);
        raft->write_ms = now_ms - pending->queued_ms;
        done++;
    }
    g_array_remove_range(raft->pending_writes, 0, done);
    if (raft->recovery_write != 0 && write >= raft->recovery_write) {
        raft->disk_failed = false;
        raft->recovery_write = 0;
    }
    if (awaits_vote && !vote_is_pending(raft) && raft->state != RAFT_LEADER &&
        raft->leader_id == 0) {
        set_vote_timer(raft, now_ms);
    }
    if (raft->state == RAFT_CANDIDATE && !vote_is_pending(raft)) {
        add_vote(raft, raft->id);
        if (has_quorum(raft)) {
            raft_become_leader(raft, now_ms);
        }
    }
    if (raft->state == RAFT_LEADER) {
        raft_leader_on_synced(raft, now_ms);
    }
}

void
raft_disk_failed(struct raft *raft, uint64_t now_ms)
{
    if (!raft->disk_failed) {
        raft_become_follower(raft, raft->term, now_ms);
    }
    raft->disk_failed = true;
    raft->recovery_write = 0;
    raft->fresh_until_ms = 0;
    raft->next_fresh_until_ms = 0;
}

void
raft_rewrite(struct raft *raft)
{
    write_whole_state(raft);
    raft->recovery_write = raft->last_write;
}

bool
raft_awaits_disk(const struct raft *raft)
{
    return raft->disk_failed;
}

void
raft_compact(struct raft *raft, const struct fp_blob *state)
{
    struct raft_snapshot *snap = &raft->snapshot;
    struct raft_vote vote = vote_record(raft);
    const struct membership *members =
        raftlog_membership_at(&raft->log, raft->applied_index);
    uint64_t keep = raft->has_disk ? RAFT_TRAILING_ENTRIES : 0;

    if (raft->applied_index <= snap->last_index) {
        return;
    }
    fp_blob_free(&snap->data);
    fp_record_free(&RAFT_MEMBERS_SCHEMA, &snap->members);
    snap->last_index = raft->applied_index;
    snap->last_term = raftlog_term(&raft->log, raft->applied_index);
    fp_record_copy(&RAFT_MEMBERS_SCHEMA, &snap->members, &members->members);
    if (raft->applied_index > raft->log.base_index + keep) {
        raftlog_compact(&raft->log, raft->applied_index - keep);
    }
    if (!raft->has_disk) {
        return;
    }
    snap->data = fp_blob_copy(state->data, state->size_bytes);
    raft_track_write(
        raft,
        raft->ops.write_snapshot(
            raft->ops.ctx, snap, &vote,
            raftlog_entry_at(&raft->log, raft->applied_index + 1),
            (uint32_t)(raftlog_last_index(&raft->log) - raft->applied_index)),
        raftlog_last_index(&raft->log));
}

enum raft_state
raft_state(const struct raft *raft)
{
    return raft->state;
}

uint64_t
raft_term(const struct raft *raft)
{
    return raft->term;
}

uint64_t
raft_id(const struct raft *raft)
{
    return raft->id;
}

uint64_t
raft_commit_index(const struct raft *raft)
{
    return raft->commit_index;
}

uint64_t
raft_applied_index(const struct raft *raft)
{
    return raft->applied_index;
}

uint64_t
raft_last_index(const struct raft *raft)
{
    return raftlog_last_index(&raft->log);
}

uint64_t
raft_last_term(const struct raft *raft)
{
    return raftlog_last_term(&raft->log);
}

uint32_t
raft_votes(const struct raft *raft)
{
    return g_hash_table_size(raft->votes_granted);
}

uint64_t
raft_write_ms(const struct raft *raft)
{
    return raft->write_ms;
}

uint64_t
raft_vote_write(const struct raft *raft)
{
    return raft->last_vote_write;
}

uint32_t
raft_log_length(const struct raft *raft)
{
    return raft->log.entries->len;
}

const char *
raft_leader_host(const struct raft *raft)
{
    return raft->state == RAFT_LEADER ? raft->host : raft->leader_host;
}

const struct raft_members *
raft_members(const struct raft *raft)
{
    return &raftlog_membership(&raft->log)->members;
}

const struct raft_entry *
raft_entry_at(const struct raft *raft, uint64_t index)
{
    return raftlog_entry_at(&raft->log, index);
}

/* A freshness lease stays valid across elections: it bounds the age of the
 * state, whichever replica leads.
 */
bool
raft_is_fresh(const struct raft *raft, uint64_t now_ms)
{
    return raft_leader_ready(raft, now_ms) || now_ms < raft->fresh_until_ms;
}
