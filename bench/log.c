/* log.c -- "bench log": cost of replicated changes, of starting, of the state
 *
 * Three replicas in one process, each with its own store on disk; messages are
 * handed over at once. Every batch is written and synced by all three, one
 * after the other, so that its latency is that of three syncs in a row.
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
#define BATCH_RUN_MS 1500u

struct waiting {
    uint64_t to_id;
    const struct fp_schema *schema;
    void *msg;
};

struct trio;

struct node {
    struct trio *trio;
    struct raft *raft;
    struct store *store;
    uint64_t write;
    uint64_t voted_for;
    struct fp_list bytes; /* packed, not yet written */
    struct raft_snapshot *snap;
};

struct trio {
    struct node nodes[REPLICAS];
    GQueue messages; /* struct waiting */
    uint64_t applied;
    uint64_t now_ms;
};

static void
on_send(void *ctx, uint64_t to_id, const struct fp_schema *schema,
        const void *msg, uint64_t after_write)
{
    struct node *node = ctx;
    struct waiting *waiting = g_new0(struct waiting, 1);

    (void)after_write; /* syncs are finished before messages are handed over */
    waiting->to_id = to_id;
    waiting->schema = schema;
    waiting->msg = g_malloc0(schema->size_bytes);
    fp_record_copy(schema, waiting->msg, msg);
    g_queue_push_tail(&node->trio->messages, waiting);
}

static uint64_t
on_vote(void *ctx, uint64_t term, uint64_t voted_for)
{
    struct node *node = ctx;

    node->voted_for = voted_for;
    store_pack_vote(&node->bytes, term, voted_for);
    return ++node->write;
}

static uint64_t
on_entries(void *ctx, const struct raft_entry *entries, uint32_t count)
{
    struct node *node = ctx;

    for (uint32_t i = 0; i < count; i++) {
        store_pack_entry(&node->bytes, &entries[i]);
    }
    return ++node->write;
}

static uint64_t
on_snapshot(void *ctx, const struct raft_snapshot *snap,
            const struct raft_entry *entries, uint32_t count)
{
    struct node *node = ctx;

    (void)snap;
    (void)entries;
    (void)count;
    return ++node->write;
}

static void
on_apply(void *ctx, const struct raft_entry *entry)
{
    struct node *node = ctx;

    (void)entry;
    if (raft_state(node->raft) == RAFT_LEADER) {
        node->trio->applied++;
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
on_changed(void *ctx)
{
    (void)ctx;
}

static uint32_t
on_random(void *ctx, uint32_t bound)
{
    (void)ctx;
    return bound / 2;
}

static void
sync_all(struct trio *trio)
{
    for (int i = 0; i < REPLICAS; i++) {
        struct node *node = &trio->nodes[i];

        if (node->bytes.count > 0) {
            store_append(node->store, node->bytes.items, node->bytes.count);
            node->bytes.count = 0;
            raft_synced(node->raft, node->write, trio->now_ms);
        }
    }
}

static struct node *
by_id(struct trio *trio, uint64_t id)
{
    for (int i = 0; i < REPLICAS; i++) {
        if (raft_id(trio->nodes[i].raft) == id) {
            return &trio->nodes[i];
        }
    }
    return NULL;
}

static void
settle(struct trio *trio)
{
    struct waiting *waiting;

    sync_all(trio);
    while ((waiting = g_queue_pop_head(&trio->messages)) != NULL) {
        struct node *to = by_id(trio, waiting->to_id);

        if (to != NULL) {
            raft_receive(to->raft, waiting->schema->type, waiting->msg,
                         trio->now_ms);
        }
        fp_record_free(waiting->schema, waiting->msg);
        g_free(waiting->msg);
        g_free(waiting);
        sync_all(trio);
    }
}

static void
tick(struct trio *trio, uint64_t ms)
{
    trio->now_ms += ms;
    for (int i = 0; i < REPLICAS; i++) {
        raft_tick(trio->nodes[i].raft, trio->now_ms);
        raft_flush(trio->nodes[i].raft, trio->now_ms);
    }
    settle(trio);
}

static void
hello(struct trio *trio, struct node *node, const char *host)
{
    struct msg_hello msg = {.from_id = raft_id(node->raft), .has_disk = true};

    g_strlcpy(msg.host, host, sizeof(msg.host));
    raft_receive(trio->nodes[0].raft, MSG_HELLO, &msg, trio->now_ms);
    settle(trio);
}

static bool
start_trio(struct trio *trio, const char *folder)
{
    struct raft_times times;
    char why[200];

    raft_default_times(&times);
    trio->now_ms = 1000;
    g_queue_init(&trio->messages);
    for (int i = 0; i < REPLICAS; i++) {
        struct node *node = &trio->nodes[i];
        char *path = g_strdup_printf("%s/r%d", folder, i);
        char host[MSG_HOST_BYTES];
        struct raft_init init = {.host = host, .has_disk = true};
        const struct raft_ops ops = {on_send,     on_vote,   on_entries,
                                     on_snapshot, on_apply,  on_restore,
                                     on_changed,  on_random, node};

        snprintf(host, sizeof(host), "h%d", i);
        node->trio = trio;
        if (store_open(path, &STORE_IO, &node->store, &init, why,
                       sizeof(why)) != FP_OK) {
            fprintf(stderr, "filbertpath: %s\n", why);
            g_free(path);
            return false;
        }
        node->raft = raft_new(&init, &times, &ops, trio->now_ms);
        g_free(path);
    }
    raft_bootstrap(trio->nodes[0].raft, trio->now_ms);
    tick(trio, 10);
    tick(trio, 10);
    for (int i = 1; i < REPLICAS; i++) {
        char host[MSG_HOST_BYTES];

        snprintf(host, sizeof(host), "h%d", i);
        hello(trio, &trio->nodes[i], host);
        raft_member_add(trio->nodes[0].raft, raft_id(trio->nodes[i].raft),
                        host);
        for (int k = 0; k < 20; k++) {
            tick(trio, 20);
        }
    }
    return raft_leader_ready(trio->nodes[0].raft, trio->now_ms);
}

static void
stop_trio(struct trio *trio)
{
    for (int i = 0; i < REPLICAS; i++) {
        raft_free(trio->nodes[i].raft);
        store_close(trio->nodes[i].store);
        g_free(trio->nodes[i].bytes.items);
    }
}

/* A change of the usual kind: one placement of a task. */
static void
usual_change(uint64_t number, struct fp_blob *out)
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
run_batches(struct trio *trio, uint32_t batch)
{
    GArray *latencies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    uint64_t began_us = clock_mono_us();
    uint64_t began_cpu = cpu_us();
    uint64_t log_before = store_log_bytes(trio->nodes[0].store);
    uint64_t changes = 0;
    double seconds;
    json_t *result;

    while (clock_mono_us() < began_us + BATCH_RUN_MS * 1000) {
        uint64_t start_us = clock_mono_us();
        uint64_t took_us;

        for (uint32_t i = 0; i < batch; i++) {
            struct fp_blob change;
            uint64_t index;

            usual_change(changes++, &change);
            raft_propose(trio->nodes[0].raft, change.data, change.size_bytes,
                         &index);
            fp_blob_free(&change);
        }
        tick(trio, 1);
        took_us = clock_mono_us() - start_us;
        g_array_append_val(latencies, took_us);
    }
    g_array_sort(latencies, compare_u64);
    seconds = (double)(clock_mono_us() - began_us) / 1e6;
    result = json_pack(
        "{s:i,s:f,s:I,s:I,s:f,s:f}", "batch", batch, "changes_per_s",
        (double)changes / seconds, "p50_us",
        (json_int_t)g_array_index(latencies, uint64_t, latencies->len / 2),
        "p99_us",
        (json_int_t)g_array_index(latencies, uint64_t,
                                  latencies->len * 99 / 100),
        "cpu_us_per_change",
        (double)(cpu_us() - began_cpu) / (double)changes / REPLICAS,
        "log_bytes_per_change",
        (double)(store_log_bytes(trio->nodes[0].store) - log_before) /
            (double)changes);
    g_array_free(latencies, TRUE);
    return result;
}

static json_t *
bench_batches(const char *folder)
{
    static const uint32_t batches[] = {1, 10, 100, 1000};
    json_t *results = json_array();

    for (size_t i = 0; i < sizeof(batches) / sizeof(batches[0]); i++) {
        struct trio *trio = g_new0(struct trio, 1);
        char *path = g_strdup_printf("%s/batch%u", folder, batches[i]);

        if (start_trio(trio, path)) {
            json_array_append_new(results, run_batches(trio, batches[i]));
        }
        stop_trio(trio);
        g_free(trio);
        g_free(path);
    }
    return results;
}

static size_t
heap_bytes(void)
{
    return mallinfo2().uordblks;
}

/* Changes that keep a state of the same size: one team is set anew. */
static void
config_change(uint64_t number, struct fp_blob *out)
{
    struct change_team team = {.weight = 1};

    snprintf(team.name, sizeof(team.name), "team%02u",
             (unsigned)(number % 60));
    team.limit_running = (uint32_t)(number % 1000);
    fp_encode(&CHANGE_TEAM_SCHEMA, &team, out);
}

static void
write_log(const char *path, uint64_t count, bool with_snapshot)
{
    struct raft_init init = {.host = "h0", .has_disk = true};
    struct store *store;
    struct cell *cell = cell_new(NULL);
    struct fp_list bytes = {NULL, 0};
    char why[200];

    if (store_open(path, &STORE_IO, &store, &init, why, sizeof(why)) !=
        FP_OK) {
        cell_free(cell);
        return;
    }
    store_pack_vote(&bytes, 1, init.id);
    for (uint64_t i = 1; i <= count; i++) {
        struct raft_entry entry = {.index = i, .term = 1, .kind = RAFT_CHANGE};
        struct change_answer answer;

        config_change(i, &entry.data);
        cell_apply(cell, i, entry.data.data, entry.data.size_bytes, &answer);
        store_pack_entry(&bytes, &entry);
        fp_blob_free(&entry.data);
        if (i % 1000 == 0 || i == count) {
            store_append(store, bytes.items, bytes.count);
            bytes.count = 0;
        }
    }
    if (with_snapshot) {
        struct raft_snapshot snap = {.last_index = count, .last_term = 1};

        cell_save(cell, &snap.data);
        store_pack_vote(&bytes, 1, init.id);
        store_write_snapshot(store, &snap, bytes.items, bytes.count);
        fp_blob_free(&snap.data);
    }
    g_free(bytes.items);
    store_close(store);
    cell_free(cell);
}

static json_t *
time_start(const char *path, uint64_t count, bool with_snapshot)
{
    struct raft_init init = {.host = "h0", .has_disk = true};
    struct store *store = NULL;
    struct cell *cell;
    char why[200];
    size_t heap = heap_bytes();
    uint64_t began_us = clock_mono_us();
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
    result = json_pack("{s:I,s:b,s:f,s:I,s:I}", "changes", (json_int_t)count,
                       "snapshot", with_snapshot, "start_ms",
                       (double)(clock_mono_us() - began_us) / 1000.0,
                       "heap_kb", (json_int_t)(heap_bytes() - heap) / 1024,
                       "log_kb", (json_int_t)store_log_bytes(store) / 1024);
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
bench_starts(const char *folder)
{
    json_t *results = json_array();

    for (uint64_t count = 1000; count <= 100000; count *= 10) {
        for (int snapshot = 0; snapshot <= 1; snapshot++) {
            char *path = g_strdup_printf("%s/start%llu-%d", folder,
                                         (unsigned long long)count, snapshot);

            write_log(path, count, snapshot);
            json_array_append_new(results, time_start(path, count, snapshot));
            g_free(path);
        }
    }
    return results;
}

static void
apply(struct cell *cell, uint64_t *index, const struct fp_schema *schema,
      const void *change, uint64_t *id)
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

/* A cell with this many targets and 6.5 running tasks on each. */
static struct cell *
fill_cell(uint32_t targets)
{
    struct cell *cell = cell_new(NULL);
    struct change_queue queue = {.name = "batch", .kind = WORK_BATCH};
    uint64_t index = 0;

    for (uint32_t i = 0; i < 60; i++) {
        struct change_team team = {.weight = 1};

        snprintf(team.name, sizeof(team.name), "team%02u", i);
        apply(cell, &index, &CHANGE_TEAM_SCHEMA, &team, NULL);
    }
    apply(cell, &index, &CHANGE_QUEUE_SCHEMA, &queue, NULL);
    for (uint32_t i = 0; i < targets; i++) {
        struct change_target target = {
            .run_id = 1, .cpu_milli = 32000, .memory_mb = 64000, .accel = 8};

        snprintf(target.name, sizeof(target.name), "host%05u", i);
        snprintf(target.rack, sizeof(target.rack), "rack%u", i / 20);
        apply(cell, &index, &CHANGE_TARGET_SCHEMA, &target, NULL);
    }
    for (uint32_t i = 0; i < targets * 13 / 2; i++) {
        struct change_submit submit = {.cpu_milli = 1000, .memory_mb = 1000};
        struct place_item item = {.attempt = 1};
        struct change_place place = {.items = {&item, 1}};
        uint64_t id;

        g_strlcpy(submit.queue, "batch", sizeof(submit.queue));
        snprintf(submit.team, sizeof(submit.team), "team%02u", i % 60);
        apply(cell, &index, &CHANGE_SUBMIT_SCHEMA, &submit, &id);
        item.task_id = id * TASK_IDS_PER_JOB;
        snprintf(item.target, sizeof(item.target), "host%05u", i % targets);
        apply(cell, &index, &CHANGE_PLACE_SCHEMA, &place, NULL);
    }
    return cell;
}

static json_t *
bench_state(void)
{
    static const uint32_t sizes[] = {100, 500, 2000};
    json_t *results = json_array();

    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        size_t heap = heap_bytes();
        uint64_t began_us = clock_mono_us();
        struct cell *cell = fill_cell(sizes[i]);
        uint64_t filled_us = clock_mono_us();
        size_t used = heap_bytes() - heap;
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
                running, "state_kb", (json_int_t)used / 1024, "snapshot_kb",
                (json_int_t)blob.size_bytes / 1024, "apply_us_per_change",
                (double)(filled_us - began_us) / (sizes[i] * 14.0), "save_ms",
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
    const char *words[1] = {NULL};
    struct cli_parser parse = {
        .cli = cli,
        .usage = "FOLDER",
        .doc = "Measures replicated changes, starts and the state's memory, "
               "with files under FOLDER, which must be new.",
        .args = words,
        .max_args = 1};
    json_t *results;

    cli_parse(&parse, argc, argv);
    if (words[0] == NULL) {
        return cli_error(FP_ERR_BAD_REQUEST, "needs: FOLDER");
    }
    results =
        json_pack("{s:o,s:o,s:o}", "batches", bench_batches(words[0]),
                  "starts", bench_starts(words[0]), "state", bench_state());
    cli_print(cli, results);
    json_decref(results);
    return 0;
}
