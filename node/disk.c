/* disk.c -- durable writes by a thread of their own */
#include "node/disk.h"

#include <glib.h>
#include <string.h>

enum write_kind {
    WRITE_APPEND,
    WRITE_PREPARE,
    WRITE_SNAPSHOT,
    WRITE_REWRITE,
    WRITE_STOP /* ends the thread */
};

struct write_request {
    enum write_kind kind;
    uint64_t number;
    struct fp_list bytes;       /* packed records */
    struct raft_snapshot *snap; /* of WRITE_SNAPSHOT and WRITE_REWRITE */
};

/* What the thread has done so far. */
struct disk_result {
    uint64_t synced; /* number of the last write that is synced */
    uint64_t failures;
    uint64_t snapshot_failures;
    uint64_t log_bytes;
    struct store_failure failure; /* the last one */
};

struct disk {
    struct store *store; /* only the thread uses it while it runs */
    struct disk_ops ops;
    GAsyncQueue *queue; /* struct write_request */
    uv_thread_t thread;
    uv_async_t result_async;
    uint64_t last_number;      /* number of the last queued write */
    struct disk_result result; /* guarded by lock */
    GMutex lock;
    struct disk_result reported; /* to ops; used by the loop only */
};

static void
free_request(struct write_request *request)
{
    g_free(request->bytes.items);
    if (request->snap != NULL) {
        fp_blob_free(&request->snap->data);
        fp_record_free(&RAFT_MEMBERS_SCHEMA, &request->snap->members);
        g_free(request->snap);
    }
    g_free(request);
}

static void
append_bytes(struct fp_list *to, const struct fp_list *from)
{
    to->items = g_realloc(to->items, (size_t)to->count + from->count);
    memcpy((char *)to->items + to->count, from->items, from->count);
    to->count += from->count;
}

static void
report_result(struct disk *disk, const struct write_request *request,
              enum fp_err err)
{
    struct disk_result *result = &disk->result;

    g_mutex_lock(&disk->lock);
    if (err != FP_OK) {
        result->failure = *store_last_failure(disk->store);
    }
    if (store_has_failed(disk->store)) {
        result->failures++;
    }
    else {
        result->synced = request->number;
        result->snapshot_failures += err != FP_OK;
    }
    result->log_bytes = store_log_bytes(disk->store);
    g_mutex_unlock(&disk->lock);
    uv_async_send(&disk->result_async);
}

/* Adds the appends queued after the first one to it. Returns the request that
 * ended the batch, one of another kind, or NULL when the queue is empty.
 */
static struct write_request *
merge_queued_appends(struct disk *disk, struct write_request *first)
{
    struct write_request *next = g_async_queue_try_pop(disk->queue);

    while (next != NULL && next->kind == WRITE_APPEND) {
        append_bytes(&first->bytes, &next->bytes);
        first->number = next->number;
        free_request(next);
        next = g_async_queue_try_pop(disk->queue);
    }
    return next;
}

static enum fp_err
run_request(struct disk *disk, const struct write_request *request)
{
    switch (request->kind) {
    case WRITE_PREPARE:
        return store_prepare(disk->store);
    case WRITE_SNAPSHOT:
        return store_write_snapshot(disk->store, request->snap,
                                    request->bytes.items,
                                    request->bytes.count);
    case WRITE_REWRITE:
        return store_rewrite(disk->store, request->snap, request->bytes.items,
                             request->bytes.count);
    default:
        return store_append(disk->store, request->bytes.items,
                            request->bytes.count);
    }
}

/* After a failure only a rewrite, which holds all that the dropped writes
 * held, makes the store writable again.
 */
static bool
is_dropped(const struct disk *disk, const struct write_request *request)
{
    return store_has_failed(disk->store) && request->kind != WRITE_PREPARE &&
           request->kind != WRITE_REWRITE;
}

static void
run_thread(void *arg)
{
    struct disk *disk = arg;
    struct write_request *request = g_async_queue_pop(disk->queue);

    while (request->kind != WRITE_STOP) {
        struct write_request *next = NULL;

        if (request->kind == WRITE_APPEND) {
            next = merge_queued_appends(disk, request);
        }
        if (!is_dropped(disk, request)) {
            report_result(disk, request, run_request(disk, request));
        }
        free_request(request);
        request = next != NULL ? next : g_async_queue_pop(disk->queue);
    }
    free_request(request);
}

/* Failures are reported first: a write that was synced after one is no news to
 * an owner that has to write everything again.
 */
static void
on_result(uv_async_t *result_async)
{
    struct disk *disk = result_async->data;
    const struct disk_result before = disk->reported;
    struct disk_result now;

    g_mutex_lock(&disk->lock);
    now = disk->result;
    g_mutex_unlock(&disk->lock);
    disk->reported = now;
    if (now.failures > before.failures) {
        disk->ops.on_failed(disk->ops.ctx, &now.failure);
    }
    if (now.snapshot_failures > before.snapshot_failures) {
        disk->ops.on_snapshot_failed(disk->ops.ctx, &now.failure);
    }
    if (now.synced > before.synced) {
        disk->ops.on_synced(disk->ops.ctx, now.synced);
    }
}

static struct write_request *
new_request(struct disk *disk, enum write_kind kind)
{
    struct write_request *request = g_new0(struct write_request, 1);

    request->kind = kind;
    request->number = ++disk->last_number;
    return request;
}

static uint64_t
push_request(struct disk *disk, struct write_request *request)
{
    uint64_t number = request->number;

    g_async_queue_push(disk->queue, request);
    return number;
}

static uint64_t
push_state(struct disk *disk, enum write_kind kind,
           const struct raft_snapshot *snap, const struct raft_vote *vote,
           const struct raft_entry *entries, uint32_t count)
{
    struct write_request *request = new_request(disk, kind);

    request->snap = g_new0(struct raft_snapshot, 1);
    request->snap->last_index = snap->last_index;
    request->snap->last_term = snap->last_term;
    fp_record_copy(&RAFT_MEMBERS_SCHEMA, &request->snap->members,
                   &snap->members);
    request->snap->data = fp_blob_copy(snap->data.data, snap->data.size_bytes);
    store_pack_vote(&request->bytes, vote);
    for (uint32_t i = 0; i < count; i++) {
        store_pack_entry(&request->bytes, &entries[i]);
    }
    return push_request(disk, request);
}

struct disk *
disk_new(uv_loop_t *loop, struct store *store, const struct disk_ops *ops)
{
    struct disk *disk = g_new0(struct disk, 1);

    disk->store = store;
    disk->ops = *ops;
    disk->queue = g_async_queue_new();
    g_mutex_init(&disk->lock);
    uv_async_init(loop, &disk->result_async, on_result);
    disk->result_async.data = disk;
    uv_thread_create(&disk->thread, run_thread, disk);
    return disk;
}

uint64_t
disk_prepare(struct disk *disk)
{
    return push_request(disk, new_request(disk, WRITE_PREPARE));
}

uint64_t
disk_write_vote(struct disk *disk, const struct raft_vote *vote)
{
    struct write_request *request = new_request(disk, WRITE_APPEND);

    store_pack_vote(&request->bytes, vote);
    return push_request(disk, request);
}

uint64_t
disk_write_entries(struct disk *disk, const struct raft_entry *entries,
                   uint32_t count)
{
    struct write_request *request = new_request(disk, WRITE_APPEND);

    for (uint32_t i = 0; i < count; i++) {
        store_pack_entry(&request->bytes, &entries[i]);
    }
    return push_request(disk, request);
}

uint64_t
disk_write_snapshot(struct disk *disk, const struct raft_snapshot *snap,
                    const struct raft_vote *vote,
                    const struct raft_entry *entries, uint32_t count)
{
    return push_state(disk, WRITE_SNAPSHOT, snap, vote, entries, count);
}

uint64_t
disk_rewrite(struct disk *disk, const struct raft_snapshot *snap,
             const struct raft_vote *vote, const struct raft_entry *entries,
             uint32_t count)
{
    return push_state(disk, WRITE_REWRITE, snap, vote, entries, count);
}

uint64_t
disk_log_bytes(struct disk *disk)
{
    uint64_t bytes;

    g_mutex_lock(&disk->lock);
    bytes = disk->result.log_bytes;
    g_mutex_unlock(&disk->lock);
    return bytes;
}

static void
on_async_closed(uv_handle_t *handle)
{
    struct disk *disk = handle->data;

    g_async_queue_unref(disk->queue);
    g_mutex_clear(&disk->lock);
    store_close(disk->store);
    g_free(disk);
}

void
disk_free(struct disk *disk)
{
    if (disk == NULL) {
        return;
    }
    push_request(disk, new_request(disk, WRITE_STOP));
    uv_thread_join(&disk->thread);
    uv_close((uv_handle_t *)&disk->result_async, on_async_closed);
}
