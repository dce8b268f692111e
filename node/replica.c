/* replica.c -- this host's replica: raft, durable writes, messages */
#include "node/replica.h"

#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "base/log.h"
#include "node/replicapriv.h"

#define TICK_INTERVAL_MS 10u
#define HELLO_INTERVAL_MS 300u
#define LEADER_MISSING_INTERVAL_MS 2000u
#define LEAVE_INTERVAL_MS 100u /* between two hellos of a host that leaves */
#define DEFERRED_MAX 65536u    /* messages that wait for a sync */
/* Pauses before a disk that failed is written again. */
#define DISK_RETRY_MIN_MS 100u
#define DISK_RETRY_MAX_MS 1000u
#define SNAPSHOT_RETRY_MS 10000u /* after a snapshot that was not written */
/* A folder that cannot be read at the start is tried again after a pause; the
 * first of so many tries is logged. */
#define OPEN_RETRY_MS 200u
#define OPEN_REPORT_TRIES 50u
/* Size of the log at which a snapshot is due: a part of the disk, or this
 * where the size of the disk is not known, and at most a part of the memory.
 */
#define LOG_DISK_DIVISOR 8u
#define LOG_MEMORY_DIVISOR 16u
#define LOG_DEFAULT_MAX_MB 64u

static void
free_deferred(struct deferred_message *deferred)
{
    fp_record_free(deferred->schema, deferred->msg);
    g_free(deferred->msg);
    g_free(deferred);
}

/* Returns the name of the host with an identity, or NULL. */
static const char *
host_of_id(const struct replica *replica, uint64_t id)
{
    const struct fp_list *list = &raft_members(replica->raft)->list;
    const struct raft_member *member = list->items;
    const char *host = g_hash_table_lookup(replica->host_names, &id);

    for (uint32_t i = 0; host == NULL && i < list->count; i++) {
        if (member[i].id == id) {
            host = member[i].host;
        }
    }
    return host;
}

/* Remembers which host an identity belongs to, and connects to the host. */
static void
record_host(struct replica *replica, uint64_t id, const char *host)
{
    const char *known = g_hash_table_lookup(replica->host_names, &id);

    if (id != 0 && (known == NULL || strcmp(known, host) != 0)) {
        g_hash_table_insert(replica->host_names, g_memdup2(&id, sizeof(id)),
                            g_strdup(host));
        bus_connect(replica->bus, host);
    }
}

/* In a fleet, connects to all seeds and members. */
static void
connect_members(struct replica *replica)
{
    const struct settings_fleet *fleet = replica->settings->fleet;
    const struct fp_list *list = &raft_members(replica->raft)->list;
    const struct raft_member *member = list->items;

    if (fleet == NULL) {
        return;
    }
    for (uint32_t i = 0; i < list->count; i++) {
        bus_connect(replica->bus, member[i].host);
    }
    for (unsigned i = 0; i < fleet->seeds_count; i++) {
        char ip[MSG_HOST_BYTES];
        uint16_t port;

        if (settings_parse_address(fleet->seeds[i], ip, sizeof(ip), &port)) {
            bus_connect(replica->bus, ip);
        }
    }
}

static void
on_raft_send(void *ctx, uint64_t to_id, const struct fp_schema *schema,
             const void *msg, uint64_t after_write)
{
    struct replica *replica = ctx;
    const char *host = host_of_id(replica, to_id);
    struct deferred_message *deferred;

    if (host == NULL) {
        return;
    }
    if (after_write <= replica->synced_write) {
        bus_send(replica->bus, host, schema, msg);
        return;
    }
    if (g_queue_get_length(&replica->deferred) >= DEFERRED_MAX) {
        return; /* like a lost message; raft sends it again */
    }
    deferred = g_new0(struct deferred_message, 1);
    deferred->after_write = after_write;
    deferred->to_id = to_id;
    deferred->schema = schema;
    deferred->msg = g_malloc0(schema->size_bytes);
    fp_record_copy(schema, deferred->msg, msg);
    g_queue_push_tail(&replica->deferred, deferred);
}

static void
send_deferred(struct replica *replica)
{
    struct deferred_message *deferred = g_queue_peek_head(&replica->deferred);

    while (deferred != NULL &&
           deferred->after_write <= replica->synced_write) {
        const char *host = host_of_id(replica, deferred->to_id);

        if (host != NULL) {
            bus_send(replica->bus, host, deferred->schema, deferred->msg);
        }
        free_deferred(g_queue_pop_head(&replica->deferred));
        deferred = g_queue_peek_head(&replica->deferred);
    }
}

static uint64_t
on_write_vote(void *ctx, const struct raft_vote *vote)
{
    struct replica *replica = ctx;

    return replica->disk == NULL ? 0 : disk_write_vote(replica->disk, vote);
}

static uint64_t
on_write_entries(void *ctx, const struct raft_entry *entries, uint32_t count)
{
    struct replica *replica = ctx;

    return replica->disk == NULL
               ? 0
               : disk_write_entries(replica->disk, entries, count);
}

static uint64_t
on_write_snapshot(void *ctx, const struct raft_snapshot *snap,
                  const struct raft_vote *vote,
                  const struct raft_entry *entries, uint32_t count)
{
    struct replica *replica = ctx;

    if (replica->disk == NULL) {
        return 0;
    }
    replica->snapshot_write =
        disk_write_snapshot(replica->disk, snap, vote, entries, count);
    return replica->snapshot_write;
}

static uint64_t
on_rewrite(void *ctx, const struct raft_snapshot *snap,
           const struct raft_vote *vote, const struct raft_entry *entries,
           uint32_t count)
{
    struct replica *replica = ctx;

    if (replica->disk == NULL) {
        return 0;
    }
    return disk_rewrite(replica->disk, snap, vote, entries, count);
}

static void
report_recovery(struct replica *replica, uint64_t now_ms)
{
    uint64_t failed_ms = now_ms - replica->disk_failed_since_ms;

    replica->disk_recoveries++;
    replica->disk_failed_since_ms = 0;
    replica->disk_recovered_ms = now_ms;
    log_notice(LOG_DISK,
               "the disk takes writes again after %llu ms; this replica votes",
               (unsigned long long)failed_ms);
    EVENT(EVENT_DISK_RECOVERED, EVENT_INT("failed_ms", failed_ms),
          EVENT_INT("failures", replica->disk_failures));
}

static void
report_slow_write(const struct replica *replica, uint64_t write)
{
    const struct raft *raft = replica->raft;
    uint64_t took_ms = raft_write_ms(raft);

    if (took_ms >= replica->settings->times.election_min_ms) {
        EVENT(EVENT_DISK_SLOW, EVENT_INT("took_ms", took_ms),
              EVENT_INT("write", write),
              EVENT_INT("vote", raft_vote_write(raft) == write),
              EVENT_INT("last", raft_last_index(raft)));
    }
}

static void
on_disk_synced(void *ctx, uint64_t write)
{
    struct replica *replica = ctx;
    uint64_t now_ms = clock_mono_ms();

    replica->synced_write = write;
    raft_synced(replica->raft, write, now_ms);
    report_slow_write(replica, write);
    if (replica->disk_failed_since_ms != 0 &&
        !raft_awaits_disk(replica->raft)) {
        report_recovery(replica, now_ms);
    }
    send_deferred(replica);
}

/* The pause before the next retry: it doubles while the disk fails, or fails
 * again soon. Each retry writes the log that is not in a snapshot once more.
 */
static uint64_t
next_retry_pause(const struct replica *replica, uint64_t now_ms)
{
    if (replica->disk_failed_since_ms == 0 &&
        now_ms > replica->disk_recovered_ms + DISK_RETRY_MAX_MS) {
        return DISK_RETRY_MIN_MS;
    }
    return CLAMP(2 * replica->disk_pause_ms, DISK_RETRY_MIN_MS,
                 DISK_RETRY_MAX_MS);
}

static void
on_disk_failed(void *ctx, const struct store_failure *failure)
{
    struct replica *replica = ctx;
    uint64_t now_ms = clock_mono_ms();

    replica->disk_failures++;
    replica->disk_pause_ms = next_retry_pause(replica, now_ms);
    replica->disk_retry_ms = now_ms + replica->disk_pause_ms;
    if (replica->disk_failed_since_ms == 0) {
        replica->disk_failed_since_ms = now_ms;
        log_warn(LOG_DISK,
                 "%s of '%s' failed at offset %llu, size %llu: %s; the folder "
                 "holds %llu bytes; this replica does not lead, vote or "
                 "acknowledge until a write succeeds",
                 failure->operation, failure->file,
                 (unsigned long long)failure->offset_bytes,
                 (unsigned long long)failure->size_bytes,
                 g_strerror(failure->error),
                 (unsigned long long)failure->folder_bytes);
    }
    EVENT(EVENT_DISK_FAILED, EVENT_STR("operation", failure->operation),
          EVENT_STR("file", failure->file),
          EVENT_STR("error", g_strerror(failure->error)),
          EVENT_INT("offset", failure->offset_bytes),
          EVENT_INT("size", failure->size_bytes),
          EVENT_INT("folder_bytes", failure->folder_bytes),
          EVENT_INT("failures", replica->disk_failures),
          EVENT_INT("retry_ms", replica->disk_pause_ms));
    /* These messages tell of writes that may not be on the disk. */
    while (!g_queue_is_empty(&replica->deferred)) {
        free_deferred(g_queue_pop_head(&replica->deferred));
    }
    raft_disk_failed(replica->raft, now_ms);
}

static void
on_snapshot_failed(void *ctx, const struct store_failure *failure)
{
    struct replica *replica = ctx;

    replica->snapshot_failures++;
    replica->snapshot_retry_ms = clock_mono_ms() + SNAPSHOT_RETRY_MS;
    log_warn(
        LOG_DISK,
        "%s of snapshot '%s' failed: %s; the folder holds %llu bytes; the "
        "log grows until a snapshot can be written",
        failure->operation, failure->file, g_strerror(failure->error),
        (unsigned long long)failure->folder_bytes);
}

/* Writes the whole state again some time after a failed write. */
static void
retry_disk(struct replica *replica, uint64_t now_ms)
{
    if (replica->disk_retry_ms != 0 && now_ms >= replica->disk_retry_ms) {
        replica->disk_retry_ms = 0;
        raft_rewrite(replica->raft);
    }
}

static void
on_apply(void *ctx, const struct raft_entry *entry)
{
    struct replica *replica = ctx;
    struct change_answer answer;
    struct proposer *proposer;

    replica->state_machine.apply(replica->state_machine.ctx, entry->index,
                                 entry->data.data, entry->data.size_bytes,
                                 &answer);
    proposer = g_hash_table_lookup(replica->proposers, &entry->index);
    if (proposer != NULL) {
        replica_answer_proposer(replica, proposer, FP_OK, entry->index,
                                &answer);
        g_hash_table_remove(replica->proposers, &entry->index);
    }
    fp_record_free(&CHANGE_ANSWER_SCHEMA, &answer);
}

static bool
on_restore(void *ctx, const struct raft_snapshot *snap)
{
    struct replica *replica = ctx;

    if (replica->state_machine.load(replica->state_machine.ctx, &snap->data) !=
        FP_OK) {
        log_warn(LOG_CELL, "a snapshot at index %llu is malformed",
                 (unsigned long long)snap->last_index);
        return false;
    }
    replica->ops.on_state_replaced(replica->ops.ctx);
    return true;
}

static void
on_raft_state_changed(void *ctx)
{
    static const char *const state_names[] = {"follower", "pre-candidate",
                                              "candidate", "leader"};
    struct replica *replica = ctx;
    bool leading;

    if (replica->raft == NULL) {
        return;
    }
    leading = raft_state(replica->raft) == RAFT_LEADER;
    log_info(LOG_RAFT, "%s in term %llu; leader '%s'",
             state_names[raft_state(replica->raft)],
             (unsigned long long)raft_term(replica->raft),
             raft_leader_host(replica->raft));
    if (replica->leading && !leading) {
        replica->leading = false;
        replica_fail_proposers(replica);
        replica->ops.on_leadership_changed(replica->ops.ctx, false);
    }
}

static uint32_t
random_below(void *ctx, uint32_t bound)
{
    (void)ctx;
    return bound == 0 ? 0 : randombytes_uniform(bound);
}

/* Announces this host's identity to a host, or to all others for NULL. A
 * replica whose disk takes no writes is not announced: it could not join.
 */
static void
send_hello(struct replica *replica, const char *host)
{
    struct msg_hello msg = {.from_id = raft_id(replica->raft),
                            .has_disk = replica->disk != NULL,
                            .holds = raft_is_empty(replica->raft)
                                         ? HELLO_HOLDS_NOTHING
                                         : HELLO_HOLDS_DATA,
                            .leaves = replica->leaves};

    if (raft_awaits_disk(replica->raft) && !replica->leaves) {
        return;
    }
    g_strlcpy(msg.host, replica->settings->host, sizeof(msg.host));
    if (host != NULL) {
        replica_send(replica, host, &MSG_HELLO_SCHEMA, &msg);
    }
    else {
        replica_broadcast(replica, &MSG_HELLO_SCHEMA, &msg);
    }
}

/* Tells the leader of this replica, in case that it does not know it. */
static void
broadcast_hello(struct replica *replica, uint64_t now_ms)
{
    const uint64_t interval_ms =
        replica->leaves ? LEAVE_INTERVAL_MS : HELLO_INTERVAL_MS;

    if (now_ms < replica->last_hello_ms + interval_ms || replica->leading) {
        return;
    }
    replica->last_hello_ms = now_ms;
    connect_members(replica);
    send_hello(replica, NULL);
}

/* Logs what decides whether an election can succeed here: of hosts that find
 * no leader, these lines together show whether a majority of a list is there.
 */
static void
log_missing_leader(struct replica *replica, uint64_t now_ms)
{
    const struct raft *raft = replica->raft;
    const struct fp_list *list = &raft_members(raft)->list;
    const struct raft_member *member = list->items;
    GString *voters;

    if (replica->disk == NULL || raft_leader_host(raft)[0] != '\0') {
        replica->leaderless_ms = 0;
        return;
    }
    if (replica->leaderless_ms == 0) {
        replica->leaderless_ms = now_ms;
        replica->missing_logged_ms = now_ms;
    }
    if (now_ms < replica->missing_logged_ms + LEADER_MISSING_INTERVAL_MS) {
        return;
    }
    replica->missing_logged_ms = now_ms;
    voters = g_string_new(NULL);
    for (uint32_t i = 0; i < list->count; i++) {
        if (member[i].role == RAFT_VOTER) {
            g_string_append_printf(voters, "%s%s", voters->len > 0 ? " " : "",
                                   member[i].host);
        }
    }
    EVENT(EVENT_LEADER_MISSING,
          EVENT_INT("for_ms", now_ms - replica->leaderless_ms),
          EVENT_INT("term", raft_term(raft)),
          EVENT_INT("last", raft_last_index(raft)),
          EVENT_INT("last_term", raft_last_term(raft)),
          EVENT_INT("commit", raft_commit_index(raft)),
          EVENT_STR("voters", voters->str),
          EVENT_INT("votes", raft_votes(raft)));
    g_string_free(voters, TRUE);
}

/* Returns the size of the log at which a snapshot is due. While one is taken
 * the folder holds two snapshots and two logs. Entries are in memory too.
 */
static uint64_t
log_bytes_max(const struct replica *replica)
{
    const struct settings_limits *limits = &replica->settings->limits;
    uint64_t max_mb = LOG_DEFAULT_MAX_MB;

    if (limits->disk_mb != 0) {
        max_mb = limits->disk_mb / LOG_DISK_DIVISOR;
    }
    if (limits->memory_mb != 0) {
        max_mb = MIN(max_mb, limits->memory_mb / LOG_MEMORY_DIVISOR);
    }
    return max_mb * 1024 * 1024;
}

/* Load pattern: few entries that are large, such as ends with checkpoints or
 * large configurations, fill a small disk long before snapshot_entries.
 */
static bool
is_snapshot_due(const struct replica *replica, uint64_t now_ms)
{
    if (raft_awaits_disk(replica->raft) ||
        now_ms < replica->snapshot_retry_ms) {
        return false;
    }
    if (raft_log_length(replica->raft) >=
        replica->settings->snapshot_entries) {
        return true;
    }
    /* The size of the log falls once the last snapshot is written. */
    return replica->disk != NULL &&
           replica->synced_write >= replica->snapshot_write &&
           disk_log_bytes(replica->disk) >= log_bytes_max(replica);
}

static void
compact_if_due(struct replica *replica, uint64_t now_ms)
{
    uint64_t index = raft_applied_index(replica->raft);
    struct fp_blob state = {NULL, 0};

    if (!is_snapshot_due(replica, now_ms)) {
        return;
    }
    if (replica->disk != NULL) {
        replica->state_machine.save(replica->state_machine.ctx, &state);
    }
    raft_compact(replica->raft, &state);
    fp_blob_free(&state);
    replica->snapshots_taken++;
    log_info(LOG_CELL, "took a snapshot at index %llu",
             (unsigned long long)index);
}

static void
on_tick(void *ctx, uint64_t now_ms)
{
    struct replica *replica = ctx;

    retry_disk(replica, now_ms);
    raft_tick(replica->raft, now_ms);
    log_missing_leader(replica, now_ms);
    if (!replica->leading && raft_leader_ready(replica->raft, now_ms)) {
        replica->leading = true;
        replica->ops.on_leadership_changed(replica->ops.ctx, true);
    }
    replica_advance_proposals(replica, now_ms);
    replica_expire_queries(replica, now_ms);
    if (replica->leaves || !raft_is_fresh(replica->raft, now_ms) ||
        raft_leader_host(replica->raft)[0] == '\0') {
        broadcast_hello(replica, now_ms);
    }
    compact_if_due(replica, now_ms);
}

/* Runs once in each iteration of the loop, so that the changes proposed in it
 * are written and sent as one batch.
 */
static void
on_flush(uv_prepare_t *prepare)
{
    struct replica *replica = prepare->data;

    raft_flush(replica->raft, clock_mono_ms());
}

/* Raft's messages begin with from_id and, except MSG_HELLO, to_id. A message
 * to an earlier identity of this host is dropped.
 */
static void
on_raft_message(struct replica *replica, const char *from, uint32_t type,
                const void *msg)
{
    const uint64_t *ids = msg;

    record_host(replica, ids[0], from);
    if (type == MSG_HELLO && replica->ops.on_hello != NULL) {
        replica->ops.on_hello(replica->ops.ctx, msg);
    }
    if (type != MSG_HELLO && ids[1] != raft_id(replica->raft)) {
        return;
    }
    raft_receive(replica->raft, type, msg, clock_mono_ms());
}

static void
on_message(void *ctx, const char *from, uint32_t type, const void *msg)
{
    struct replica *replica = ctx;

    switch (type) {
    case MSG_PROPOSE:
        replica_on_propose(replica, from, msg);
        break;
    case MSG_PROPOSE_REPLY:
        replica_on_propose_reply(replica, msg);
        break;
    case MSG_QUERY:
        replica_on_query(replica, from, msg);
        break;
    case MSG_QUERY_REPLY:
        replica_on_query_reply(replica, msg);
        break;
    case MSG_CALL:
    case MSG_CALL_REPLY:
    case MSG_HINT:
    case MSG_FORWARD:
    case MSG_FORWARD_REPLY:
        replica->ops.on_message(replica->ops.ctx, from, type, msg);
        break;
    default:
        on_raft_message(replica, from, type, msg);
    }
}

/* Workload: all hosts restart. Both sides look for votes, and a leader for its
 * followers, as soon as one reaches the other. */
static void
on_connected(void *ctx, const char *host)
{
    struct replica *replica = ctx;

    raft_host_connected(replica->raft, host);
    if (!raft_is_fresh(replica->raft, clock_mono_ms())) {
        send_hello(replica, host);
    }
}

static void
init_tables(struct replica *replica)
{
    g_queue_init(&replica->deferred);
    replica->host_names =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    replica->proposals = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                               NULL, replica_free_proposal);
    replica->proposers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    replica->queries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    replica->received_queries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

static void
apply_cell(void *ctx, uint64_t index, const uint8_t *data, uint32_t size_bytes,
           struct change_answer *answer)
{
    cell_apply(ctx, index, data, size_bytes, answer);
}

static void
save_cell(void *ctx, struct fp_blob *out)
{
    cell_save(ctx, out);
}

static enum fp_err
load_cell(void *ctx, const struct fp_blob *state)
{
    return cell_load(ctx, state);
}

static void
init_state_machine(struct replica *replica)
{
    if (replica->ops.state_machine != NULL) {
        replica->state_machine = *replica->ops.state_machine;
        return;
    }
    replica->cell = cell_new(&replica->ops.cell);
    replica->state_machine = (struct replica_state_machine){
        apply_cell, save_cell, load_cell, replica->cell};
}

/* Returns a random ID of 63 bits that is never 0. */
static uint64_t
random_id(void)
{
    uint64_t id;

    randombytes_buf(&id, sizeof(id));
    return (id >> 1) | 1;
}

static bool
is_temporary(int error)
{
    return error == EIO || error == ENOSPC || error == EDQUOT ||
           error == EROFS || error == EMFILE || error == ENFILE ||
           error == ENOMEM;
}

/* Opens the store. While the folder cannot be read this waits, before anything
 * is served: without its state the host can't tell what it has voted, and a
 * process that ended would only be started again.
 */
static enum fp_err
open_store(const char *folder, struct store **store, struct raft_init *init,
           char *why, unsigned why_bytes)
{
    uint64_t tries = 0;
    enum fp_err err;

    while ((err = store_open(folder, &STORE_IO, store, init, why,
                             why_bytes)) == FP_ERR_DISK &&
           is_temporary(errno)) {
        if (tries++ % OPEN_REPORT_TRIES == 0) {
            log_warn(LOG_DISK, "%s: %s; waiting for the disk", why,
                     g_strerror(errno));
            event_flush();
        }
        g_usleep(OPEN_RETRY_MS * 1000);
    }
    if (tries > 0 && err == FP_OK) {
        log_notice(LOG_DISK, "%s: can be read after %llu tries", folder,
                   (unsigned long long)tries);
    }
    return err;
}

static enum fp_err
open_disk(struct replica *replica, uv_loop_t *loop, struct raft_init *init,
          char *why, unsigned why_bytes)
{
    const struct disk_ops ops = {on_disk_synced, on_disk_failed,
                                 on_snapshot_failed, replica};
    struct store *store;
    enum fp_err err;

    if (replica->settings->data_folder == NULL) {
        init->id = replica->run_id;
        return FP_OK;
    }
    err = open_store(replica->settings->data_folder, &store, init, why,
                     why_bytes);
    if (err != FP_OK) {
        return err;
    }
    init->has_disk = true;
    replica->disk = disk_new(loop, store, &ops);
    init->pending_write = disk_prepare(replica->disk);
    return FP_OK;
}

static void
start_raft(struct replica *replica, struct raft_init *init)
{
    const struct raft_ops ops = {
        .send = on_raft_send,
        .write_vote = on_write_vote,
        .write_entries = on_write_entries,
        .write_snapshot = on_write_snapshot,
        .rewrite = on_rewrite,
        .apply = on_apply,
        .restore = on_restore,
        .state_changed = on_raft_state_changed,
        .random = random_below,
        .ctx = replica,
    };
    const struct settings_times *configured = &replica->settings->times;
    struct raft_timing times;

    raft_default_timing(&times);
    times.heartbeat_ms = configured->heartbeat_ms;
    times.election_min_ms = configured->election_min_ms;
    times.election_max_ms = configured->election_max_ms;
    times.fresh_ms = configured->fresh_ms;
    replica->raft = raft_new(init, &times, &ops, clock_mono_ms());
}

enum fp_err
replica_new(uv_loop_t *loop, struct timers *timers,
            const struct settings *settings, const struct replica_ops *ops,
            struct replica **out, char *why, unsigned why_bytes)
{
    struct replica *replica = g_new0(struct replica, 1);
    const struct bus_ops bus_ops = {on_message, on_connected, replica};
    struct raft_init init = {.host = settings->host};
    enum fp_err err;

    *out = replica;
    replica->settings = settings;
    replica->ops = *ops;
    replica->run_id = random_id();
    replica->last_request_id = random_id();
    init_tables(replica);
    init_state_machine(replica);
    err = open_disk(replica, loop, &init, why, why_bytes);
    if (err != FP_OK) {
        return err;
    }
    if (init.snapshot.last_index != 0) {
        err = replica->state_machine.load(replica->state_machine.ctx,
                                          &init.snapshot.data);
        if (err != FP_OK) {
            snprintf(why, why_bytes, "the snapshot's state is malformed");
            return err;
        }
    }
    start_raft(replica, &init);
    /* Prepare handles run in reverse order of their start: started before the
     * bus's, the flush runs after the bus has delivered messages. */
    uv_prepare_init(loop, &replica->flush_prepare);
    replica->flush_prepare.data = replica;
    uv_prepare_start(&replica->flush_prepare, on_flush);
    err = bus_new(loop, settings, &bus_ops, &replica->bus, why, why_bytes);
    if (err != FP_OK) {
        return err;
    }
    connect_members(replica);
    timers_subscribe(timers, TICK_INTERVAL_MS, on_tick, replica);
    return FP_OK;
}

static void
on_flush_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

void
replica_free(struct replica *replica)
{
    if (replica == NULL) {
        return;
    }
    bus_free(replica->bus);
    disk_free(replica->disk);
    raft_free(replica->raft);
    if (replica->cell != NULL) {
        cell_free(replica->cell);
    }
    while (!g_queue_is_empty(&replica->deferred)) {
        free_deferred(g_queue_pop_head(&replica->deferred));
    }
    g_hash_table_destroy(replica->host_names);
    g_hash_table_destroy(replica->proposals);
    g_hash_table_destroy(replica->proposers);
    g_hash_table_destroy(replica->queries);
    g_hash_table_destroy(replica->received_queries);
    if (replica->flush_prepare.data != NULL) {
        uv_prepare_stop(&replica->flush_prepare);
        uv_close((uv_handle_t *)&replica->flush_prepare, on_flush_closed);
    }
    else {
        g_free(replica);
    }
}

enum fp_err
replica_send(struct replica *replica, const char *host,
             const struct fp_schema *schema, const void *msg)
{
    return bus_send(replica->bus, host, schema, msg);
}

void
replica_broadcast(struct replica *replica, const struct fp_schema *schema,
                  const void *msg)
{
    bus_broadcast(replica->bus, schema, msg);
}

enum fp_err
replica_bootstrap(struct replica *replica)
{
    return raft_bootstrap(replica->raft, clock_mono_ms());
}

/* Search for a host's identity: of several, the one heard from last. */
struct follower_search {
    const char *host;
    uint64_t id;
    uint64_t heard_ms;
};

static void
match_follower(void *ctx, uint64_t id, const char *host, uint64_t match,
               uint64_t applied, uint64_t heard_ms)
{
    struct follower_search *search = ctx;

    (void)match;
    (void)applied;
    if (strcmp(host, search->host) == 0 && heard_ms >= search->heard_ms) {
        search->id = id;
        search->heard_ms = heard_ms;
    }
}

enum fp_err
replica_member_add(struct replica *replica, const char *host, char *why,
                   unsigned why_bytes)
{
    struct follower_search search = {host, 0, 0};
    enum fp_err err;

    raft_for_each_follower(replica->raft, match_follower, &search);
    if (search.id == 0) {
        snprintf(why, why_bytes, "host '%s' is not heard of", host);
        return FP_ERR_NOT_FOUND;
    }
    err = raft_member_add(replica->raft, search.id, host, clock_mono_ms());
    if (err == FP_ERR_NOT_FOUND) {
        snprintf(why, why_bytes,
                 "host '%s' is silent; if it lost its disk, its new identity "
                 "is not heard of yet",
                 host);
    }
    if (err == FP_ERR_BUSY) {
        snprintf(why, why_bytes, "another change of members is under way");
    }
    return err;
}

bool
replica_member_votes(const struct replica *replica, const char *host)
{
    const struct fp_list *list = &raft_members(replica->raft)->list;
    const struct raft_member *member = list->items;

    for (uint32_t i = 0; i < list->count; i++) {
        if (strcmp(member[i].host, host) == 0) {
            return member[i].role == RAFT_VOTER;
        }
    }
    return false;
}

enum fp_err
replica_member_remove(struct replica *replica, const char *host)
{
    const struct fp_list *list = &raft_members(replica->raft)->list;
    const struct raft_member *member = list->items;

    for (uint32_t i = 0; i < list->count; i++) {
        if (strcmp(member[i].host, host) == 0) {
            return raft_member_remove(replica->raft, member[i].id);
        }
    }
    return FP_ERR_NOT_FOUND;
}

void
replica_step_down(struct replica *replica)
{
    raft_transfer_leadership(replica->raft, clock_mono_ms());
}

void
replica_leave(struct replica *replica)
{
    replica->leaves = true;
    replica_step_down(replica);
    send_hello(replica, NULL);
}

struct cell *
replica_cell(const struct replica *replica)
{
    return replica->cell;
}

const struct raft *
replica_raft(const struct replica *replica)
{
    return replica->raft;
}

struct bus *
replica_bus(const struct replica *replica)
{
    return replica->bus;
}

uint64_t
replica_run_id(const struct replica *replica)
{
    return replica->run_id;
}

struct replica_disk_status
replica_disk_status(const struct replica *replica)
{
    struct replica_disk_status status = {
        .failures = replica->disk_failures,
        .recoveries = replica->disk_recoveries,
        .failed_since_ms = replica->disk_failed_since_ms,
        .snapshot_failures = replica->snapshot_failures,
        .write_ms = raft_write_ms(replica->raft),
    };

    if (replica->disk != NULL) {
        status.log_bytes = disk_log_bytes(replica->disk);
    }
    return status;
}

bool
replica_is_fresh(const struct replica *replica)
{
    return raft_is_fresh(replica->raft, clock_mono_ms());
}

bool
replica_is_leader(const struct replica *replica)
{
    return replica->leading &&
           raft_leader_ready(replica->raft, clock_mono_ms());
}

static void
dump_follower(void *ctx, uint64_t id, const char *host, uint64_t match,
              uint64_t applied, uint64_t heard_ms)
{
    uint64_t now_ms = clock_mono_ms();

    json_array_append_new(ctx, json_pack("{s:s,s:I,s:I,s:I,s:I}", "host", host,
                                         "id", (json_int_t)id, "match_index",
                                         (json_int_t)match, "applied_index",
                                         (json_int_t)applied, "silent_ms",
                                         (json_int_t)(now_ms - heard_ms)));
}

static json_t *
dump_disk(const struct replica *replica)
{
    const struct replica_disk_status status = replica_disk_status(replica);
    uint64_t failed_ms = status.failed_since_ms == 0
                             ? 0
                             : clock_mono_ms() - status.failed_since_ms;

    return json_pack("{s:I,s:I,s:I,s:I,s:I}", "failures",
                     (json_int_t)status.failures, "recoveries",
                     (json_int_t)status.recoveries, "failed_ms",
                     (json_int_t)failed_ms, "snapshot_failures",
                     (json_int_t)status.snapshot_failures, "log_bytes",
                     (json_int_t)status.log_bytes);
}

json_t *
replica_dump(const struct replica *replica)
{
    static const char *const state_names[] = {"follower", "pre-candidate",
                                              "candidate", "leader"};
    const struct raft *raft = replica->raft;
    const struct bus_counters *bus = bus_counters(replica->bus);
    json_t *followers = json_array();
    json_t *members = fp_to_json(&RAFT_MEMBERS_SCHEMA, raft_members(raft));
    json_t *list;

    raft_for_each_follower(raft, dump_follower, followers);
    list = json_incref(json_object_get(members, "list"));
    json_decref(members);
    return json_pack(
        "{s:s,s:I,s:s,s:I,s:I,s:I,s:I,s:I,s:b,s:b,s:I,s:o,s:o,s:o,s:{s:I,s:I,"
        "s:I,"
        "s:I,s:I,s:I,s:I},s:I,s:I}",
        "state", state_names[raft_state(raft)], "term",
        (json_int_t)raft_term(raft), "leader", raft_leader_host(raft), "id",
        (json_int_t)raft_id(raft), "last_index",
        (json_int_t)raft_last_index(raft), "commit_index",
        (json_int_t)raft_commit_index(raft), "applied_index",
        (json_int_t)raft_applied_index(raft), "log_entries",
        (json_int_t)raft_log_length(raft), "fresh", replica_is_fresh(replica),
        "has_disk", replica->disk != NULL, "snapshots",
        (json_int_t)replica->snapshots_taken, "disk", dump_disk(replica),
        "members", list, "followers", followers, "bus", "sent",
        (json_int_t)bus->sent, "sent_bytes", (json_int_t)bus->sent_bytes,
        "received", (json_int_t)bus->received, "received_bytes",
        (json_int_t)bus->received_bytes, "refused", (json_int_t)bus->refused,
        "malformed", (json_int_t)bus->malformed, "cut",
        (json_int_t)bus->dropped, "proposals",
        (json_int_t)g_hash_table_size(replica->proposals), "claims",
        (json_int_t)g_hash_table_size(replica->proposers));
}
