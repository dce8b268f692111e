/* log.c -- "bench log": measures replicated changes, start-up, and the size of
 * the state
 *
 * Runs three replicas in one process, each with its own store on disk, and
 * delivers messages without delay. The replicas write and sync each batch one
 * after the other, so its latency includes three consecutive syncs.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "bench/bench.h"
#include "core/cell.h"
#include "node/clock.h"
#include "node/store.h"

#define REPLICAS 3
#define BATCH_RUN_MS 1500u /* measuring time for each batch size */

struct message {
    uint64_t to_id;
    const struct fp_schema *schema;
    void *msg;
};

struct cluster;

struct replica {
    struct cluster *cluster;
    struct raft *raft;
    struct store *store;
    uint64_t last_write;            /* number of the latest write */
    struct fp_list pending_records; /* encoded records to be written */
    struct raft_snapshot *snap;
};

struct cluster {
    struct replica replicas[REPLICAS];
    GQueue messages;  /* struct message, not yet delivered */
    uint64_t applied; /* changes applied by the leader */
    uint64_t now_ms;
};

static void
on_send(void *ctx, uint64_t to_id, const struct fp_schema *schema,
        const void *msg, uint64_t after_write)
{
    struct replica *replica = ctx;
    struct message *message = g_new0(struct message, 1);

    (void)after_write; /* deliver_messages() syncs first */
    message->to_id = to_id;
    message->schema = schema;
    message->msg = g_malloc0(schema->size_bytes);
    fp_record_copy(schema, message->msg, msg);
    g_queue_push_tail(&replica->cluster->messages, message);
}

static uint64_t
on_write_vote(void *ctx, const struct raft_vote *vote)
{
    struct replica *replica = ctx;

    store_pack_vote(&replica->pending_records, vote);
    return ++replica->last_write;
}

static uint64_t
on_write_entries(void *ctx, const struct raft_entry *entries, uint32_t count)
{
    struct replica *replica = ctx;

    for (uint32_t i = 0; i < count; i++) {
        store_pack_entry(&replica->pending_records, &entries[i]);
    }
    return ++replica->last_write;
}

static uint64_t
on_write_snapshot(void *ctx, const struct raft_snapshot *snap,
                  const struct raft_vote *vote,
                  const struct raft_entry *entries, uint32_t count)
{
    struct replica *replica = ctx;

    (void)snap;
    (void)vote;
    (void)entries;
    (void)count;
    return ++replica->last_write;
}

static void
on_apply(void *ctx, const struct raft_entry *entry)
{
    struct replica *replica = ctx;

    (void)entry;
    if (raft_state(replica->raft) == RAFT_LEADER) {
        replica->cluster->applied++;
    }
}

static bool
on_restore(void *ctx, const struct raft_snapshot *snap)
{
    (void)ctx;
    (void)snap;
    return true;
}

static void
on_state_changed(void *ctx)
{
    (void)ctx;
}

static uint32_t
on_random(void *ctx, uint32_t bound)
{
    (void)ctx;
    return bound / 2;
}

/* Writes and syncs the records of all replicas. */
static void
sync_all(struct cluster *cluster)
{
    for (int i = 0; i < REPLICAS; i++) {
        struct replica *replica = &cluster->replicas[i];

        if (replica->pending_records.count > 0) {
            store_append(replica->store, replica->pending_records.items,
                         replica->pending_records.count);
            replica->pending_records.count = 0;
            raft_synced(replica->raft, replica->last_write, cluster->now_ms);
        }
    }
}

static struct replica *
find_replica(struct cluster *cluster, uint64_t id)
{
    for (int i = 0; i < REPLICAS; i++) {
        if (raft_id(cluster->replicas[i].raft) == id) {
            return &cluster->replicas[i];
        }
    }
    return NULL;
}

/* Delivers messages until none is left. */
static void
deliver_messages(struct cluster *cluster)
{
    struct message *message;

    sync_all(cluster);
    while ((message = g_queue_pop_head(&cluster->messages)) != NULL) {
        struct replica *to = find_replica(cluster, message->to_id);

        if (to != NULL) {
            raft_receive(to->raft, message->schema->type, message->msg,
                         cluster->now_ms);
        }
        fp_record_free(message->schema, message->msg);
        g_free(message->msg);
        g_free(message);
        sync_all(cluster);
    }
}

static void
advance_time(struct cluster *cluster, uint64_t ms)
{
    cluster->now_ms += ms;
    for (int i = 0; i < REPLICAS; i++) {
        raft_tick(cluster->replicas[i].raft, cluster->now_ms);
        raft_flush(cluster->replicas[i].raft, cluster->now_ms);
    }
    deliver_messages(cluster);
}

static void
send_hello(struct cluster *cluster, struct replica *replica, const char *host)
{
    struct msg_hello msg = {.from_id = raft_id(replica->raft),
                            .has_disk = true};

    g_strlcpy(msg.host, host, sizeof(msg.host));
    raft_receive(cluster->replicas[0].raft, MSG_HELLO, &msg, cluster->now_ms);
    deliver_messages(cluster);
}

static bool
start_cluster(struct cluster *cluster, const char *folder)
{
    struct raft_timing times;
    char why[200];

    raft_default_timing(&times);
    cluster->now_ms = 1000;
    g_queue_init(&cluster->messages);
    for (int i = 0; i < REPLICAS; i++) {
        struct replica *replica = &cluster->replicas[i];
        char *path = g_strdup_printf("%s/r%d", folder, i);
        char host[MSG_HOST_BYTES];
        struct raft_init init = {.host = host, .has_disk = true};
        const struct raft_ops ops = {.send = on_send,
                                     .write_vote = on_write_vote,
                                     .write_entries = on_write_entries,
                                     .write_snapshot = on_write_snapshot,
                                     .rewrite = on_write_snapshot,
                                     .apply = on_apply,
                                     .restore = on_restore,
                                     .state_changed = on_state_changed,
                                     .random = on_random,
                                     .ctx = replica};

        snprintf(host, sizeof(host), "h%d", i);
        replica->cluster = cluster;
        if (store_open(path, &STORE_IO, &replica->store, &init, why,
                       sizeof(why)) != FP_OK ||
            store_prepare(replica->store) != FP_OK) {
            fprintf(stderr, "filbertpath: %s\n", why);
            g_free(path);
            return false;
        }
        replica->raft = raft_new(&init, &times, &ops, cluster->now_ms);
        g_free(path);
    }
    raft_bootstrap(cluster->replicas[0].raft, cluster->now_ms);
    advance_time(cluster, 10);
    advance_time(cluster, 10);
    for (int i = 1; i < REPLICAS; i++) {
        char host[MSG_HOST_BYTES];

        snprintf(host, sizeof(host), "h%d", i);
        send_hello(cluster, &cluster->replicas[i], host);
        raft_member_add(cluster->replicas[0].raft,
                        raft_id(cluster->replicas[i].raft), host,
                        cluster->now_ms);
        for (int k = 0; k < 20; k++) {
            advance_time(cluster, 20);
        }
    }
    return raft_leader_ready(cluster->replicas[0].raft, cluster->now_ms);
}

static void
stop_cluster(struct cluster *cluster)
{
    for (int i = 0; i < REPLICAS; i++) {
        raft_free(cluster->replicas[i].raft);
        store_close(cluster->replicas[i].store);
        g_free(cluster->replicas[i].pending_records.items);
    }
}

/* Encodes a typical change: the placement of one task. */
static void
encode_placement(uint64_t number, struct fp_blob *out)
{
    struct place_item item = {.task_id = number * TASK_IDS_PER_JOB,
                              .attempt = 1};
    struct change_place place = {.items = {&item, 1}};

    snprintf(item.target, sizeof(item.target), "host%05u",
             (unsigned)(number % 2000));
    place.head.at_ms = 1800000000000ull + number;
    fp_encode(&CHANGE_PLACE_SCHEMA, &place, out);
}

static uint64_t
cpu_us(void)
{
    struct rusage usage;

    getrusage(RUSAGE_SELF, &usage);
    return (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
               1000000 +
           (uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static int
compare_u64(gconstpointer a, gconstpointer b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

static json_t *
measure_batch_size(struct cluster *cluster, uint32_t batch_size)
{
    GArray *latencies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    uint64_t start_us = clock_mono_us();
    uint64_t start_cpu_us = cpu_us();
    uint64_t start_log_bytes = store_log_bytes(cluster->replicas[0].store);
    uint64_t changes = 0;
    double seconds;
    json_t *result;

    while (clock_mono_us() < start_us + BATCH_RUN_MS * 1000) {
        uint64_t batch_start_us = clock_mono_us();
        uint64_t latency_us;

        for (uint32_t i = 0; i < batch_size; i++) {
            struct fp_blob change;
            uint64_t index;

            encode_placement(changes++, &change);
            raft_propose(cluster->replicas[0].raft, change.data,
                         change.size_bytes, &index);
            fp_blob_free(&change);
        }
        advance_time(cluster, 1);
        latency_us = clock_mono_us() - batch_start_us;
        g_array_append_val(latencies, latency_us);
    }
    g_array_sort(latencies, compare_u64);
    seconds = (double)(clock_mono_us() - start_us) / 1e6;
    result = json_pack(
        "{s:i,s:f,s:I,s:I,s:f,s:f}", "batch", batch_size, "changes_per_s",
        (double)changes / seconds, "p50_us",
        (json_int_t)g_array_index(latencies, uint64_t, latencies->len / 2),
        "p99_us",
        (json_int_t)g_array_index(latencies, uint64_t,
                                  latencies->len * 99 / 100),
        "cpu_us_per_change",
        (double)(cpu_us() - start_cpu_us) / (double)changes / REPLICAS,
        "log_bytes_per_change",
        (double)(store_log_bytes(cluster->replicas[0].store) -
                 start_log_bytes) /
            (double)changes);
    g_array_free(latencies, TRUE);
    return result;
}

static json_t *
measure_batches(const char *folder)
{
    static const uint32_t batch_sizes[] = {1, 10, 100, 1000};
    json_t *results = json_array();

    for (size_t i = 0; i < sizeof(batch_sizes) / sizeof(batch_sizes[0]); i++) {
        struct cluster *cluster = g_new0(struct cluster, 1);
        char *path = g_strdup_printf("%s/batch%u", folder, batch_sizes[i]);

        if (start_cluster(cluster, path)) {
            json_array_append_new(results,
                                  measure_batch_size(cluster, batch_sizes[i]));
        }
        stop_cluster(cluster);
        g_free(cluster);
        g_free(path);
    }
    return results;
}

static size_t
heap_bytes(void)
{
    return mallinfo2().uordblks;
}

/* Encodes a change of one of 60 teams, which does not grow the state. */
static void
encode_team_change(uint64_t number, struct fp_blob *out)
{
    struct change_team team = {.weight = 1};

    snprintf(team.name, sizeof(team.name), "team%02u",
             (unsigned)(number % 60));
    team.limit_running = (uint32_t)(number % 1000);
    fp_encode(&CHANGE_TEAM_SCHEMA, &team, out);
}

/* Creates a data folder whose log or snapshot holds count changes. */
static void
write_data_folder(const char *path, uint64_t count, bool with_snapshot)
{
    struct raft_init init = {.host = "h0", .has_disk = true};
    struct store *store;
    struct cell *cell = cell_new(NULL);
    struct fp_list pending_records = {NULL, 0};
    struct raft_vote vote = {.term = 1};
    char why[200];

    if (store_open(path, &STORE_IO, &store, &init, why, sizeof(why)) !=
            FP_OK ||
        store_prepare(store) != FP_OK) {
        cell_free(cell);
        return;
    }
    vote.voted_for = init.id;
    vote.leased_to = init.id;
    store_pack_vote(&pending_records, &vote);
    for (uint64_t i = 1; i <= count; i++) {
        struct raft_entry entry = {.index = i, .term = 1, .kind = RAFT_CHANGE};
        struct change_answer answer;

        encode_team_change(i, &entry.data);
        cell_apply(cell, i, entry.data.data, entry.data.size_bytes, &answer);
        store_pack_entry(&pending_records, &entry);
        fp_blob_free(&entry.data);
        if (i % 1000 == 0 || i == count) {
            store_append(store, pending_records.items, pending_records.count);
            pending_records.count = 0;
        }
    }
    if (with_snapshot) {
        struct raft_snapshot snap = {.last_index = count, .last_term = 1};

        cell_save(cell, &snap.data);
        store_pack_vote(&pending_records, &vote);
        store_write_snapshot(store, &snap, pending_records.items,
                             pending_records.count);
        fp_blob_free(&snap.data);
    }
    g_free(pending_records.items);
    store_close(store);
    cell_free(cell);
}

/* Measures loading a data folder into a new cell. */
static json_t *
measure_start(const char *path, uint64_t count, bool with_snapshot)
{
    struct raft_init init = {.host = "h0", .has_disk = true};
    struct store *store = NULL;
    struct cell *cell;
    char why[200];
    size_t heap_before = heap_bytes();
    uint64_t start_us = clock_mono_us();
    const struct raft_entry *entries;
    json_t *result;

    cell = cell_new(NULL);
    store_open(path, &STORE_IO, &store, &init, why, sizeof(why));
    if (init.snapshot.last_index > 0) {
        cell_load(cell, &init.snapshot.data);
    }
    entries = init.entries.items;
    for (uint32_t i = 0; i < init.entries.count; i++) {
        struct change_answer answer;

        cell_apply(cell, entries[i].index, entries[i].data.data,
                   entries[i].data.size_bytes, &answer);
        fp_record_free(&CHANGE_ANSWER_SCHEMA, &answer);
    }
    result =
        json_pack("{s:I,s:b,s:f,s:I,s:I}", "changes", (json_int_t)count,
                  "snapshot", with_snapshot, "start_ms",
                  (double)(clock_mono_us() - start_us) / 1000.0, "heap_kb",
                  (json_int_t)(heap_bytes() - heap_before) / 1024, "log_kb",
                  (json_int_t)store_log_bytes(store) / 1024);
    for (uint32_t i = 0; i < init.entries.count; i++) {
        fp_blob_free(&((struct raft_entry *)init.entries.items)[i].data);
    }
    g_free(init.entries.items);
    fp_blob_free(&init.snapshot.data);
    store_close(store);
    cell_free(cell);
    return result;
}

static json_t *
measure_starts(const char *folder)
{
    json_t *results = json_array();

    for (uint64_t count = 1000; count <= 100000; count *= 10) {
        for (int snapshot = 0; snapshot <= 1; snapshot++) {
            char *path = g_strdup_printf("%s/start%llu-%d", folder,
                                         (unsigned long long)count, snapshot);

            write_data_folder(path, count, snapshot);
            json_array_append_new(results,
                                  measure_start(path, count, snapshot));
            g_free(path);
        }
    }
    return results;
}

static void
apply_change(struct cell *cell, uint64_t *index,
             const struct fp_schema *schema, const void *change, uint64_t *id)
{
    struct change_answer answer;
    struct fp_blob blob;

    fp_encode(schema, change, &blob);
    cell_apply(cell, ++*index, blob.data, blob.size_bytes, &answer);
    if (id != NULL) {
        *id = answer.id;
    }
    fp_record_free(&CHANGE_ANSWER_SCHEMA, &answer);
    fp_blob_free(&blob);
}

/* Creates a cell with 6.5 running tasks for each target, by 14 changes for
 * each target.
 */
static struct cell *
fill_cell(uint32_t targets)
{
    struct cell *cell = cell_new(NULL);
    struct change_queue queue = {.name = "batch", .kind = WORK_BATCH};
    uint64_t index = 0;

    for (uint32_t i = 0; i < 60; i++) {
        struct change_team team = {.weight = 1};

        snprintf(team.name, sizeof(team.name), "team%02u", i);
        apply_change(cell, &index, &CHANGE_TEAM_SCHEMA, &team, NULL);
    }
    apply_change(cell, &index, &CHANGE_QUEUE_SCHEMA, &queue, NULL);
    for (uint32_t i = 0; i < targets; i++) {
        struct change_target target = {
            .run_id = 1, .cpu_milli = 32000, .memory_mb = 64000, .accel = 8};

        snprintf(target.name, sizeof(target.name), "host%05u", i);
        snprintf(target.rack, sizeof(target.rack), "rack%u", i / 20);
        apply_change(cell, &index, &CHANGE_TARGET_SCHEMA, &target, NULL);
    }
    for (uint32_t i = 0; i < targets * 13 / 2; i++) {
        struct change_submit submit = {.cpu_milli = 1000, .memory_mb = 1000};
        struct place_item item = {.attempt = 1};
        struct change_place place = {.items = {&item, 1}};
        uint64_t id;

        g_strlcpy(submit.queue, "batch", sizeof(submit.queue));
        snprintf(submit.team, sizeof(submit.team), "team%02u", i % 60);
        apply_change(cell, &index, &CHANGE_SUBMIT_SCHEMA, &submit, &id);
        item.task_id = id * TASK_IDS_PER_JOB;
        snprintf(item.target, sizeof(item.target), "host%05u", i % targets);
        apply_change(cell, &index, &CHANGE_PLACE_SCHEMA, &place, NULL);
    }
    return cell;
}

static json_t *
measure_state(void)
{
    static const uint32_t sizes[] = {100, 500, 2000};
    json_t *results = json_array();

    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        size_t heap_before = heap_bytes();
        uint64_t start_us = clock_mono_us();
        struct cell *cell = fill_cell(sizes[i]);
        uint64_t filled_us = clock_mono_us();
        size_t state_bytes = heap_bytes() - heap_before;
        struct fp_blob blob;
        uint64_t saved_us;
        uint32_t running = cell->state_counts[TASK_RUNNING];

        cell_save(cell, &blob);
        saved_us = clock_mono_us();
        cell_load(cell, &blob);
        json_array_append_new(
            results,
            json_pack(
                "{s:i,s:i,s:I,s:I,s:f,s:f,s:f}", "targets", sizes[i], "tasks",
                running, "state_kb", (json_int_t)state_bytes / 1024,
                "snapshot_kb", (json_int_t)blob.size_bytes / 1024,
                "apply_us_per_change",
                (double)(filled_us - start_us) / (sizes[i] * 14.0), "save_ms",
                (double)(saved_us - filled_us) / 1000.0, "load_ms",
                (double)(clock_mono_us() - saved_us) / 1000.0));
        fp_blob_free(&blob);
        cell_free(cell);
    }
    return results;
}

int
bench_log(struct cli *cli, int argc, char **argv)
{
    const char *args[1] = {NULL};
    struct cli_parser parser = {
        .cli = cli,
        .usage = "FOLDER",
        .doc = "Measures replicated changes, start-up time and the memory of "
               "the state. Writes files under FOLDER, which must be new.",
        .args = args,
        .max_args = 1};
    json_t *results;

    cli_parse(&parser, argc, argv);
    if (args[0] == NULL) {
        return cli_error(FP_ERR_BAD_REQUEST, "expected arguments: FOLDER");
    }
    results =
        json_pack("{s:o,s:o,s:o}", "batches", measure_batches(args[0]),
                  "starts", measure_starts(args[0]), "state", measure_state());
    cli_print(cli, results);
    json_decref(results);
    return 0;
}
