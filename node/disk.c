/* disk.c -- durable writes by a thread of their own */
#include "node/disk.h"

#include <glib.h>
#include <string.h>

struct write_request {
    uint64_t number;
    struct fp_list bytes;       /* packed records */
    struct raft_snapshot *snap; /* NULL for an append */
    bool stop;                  /* ends the thread */
};

struct disk {
    struct store *store; /* only the thread uses it while it runs */
    struct disk_ops ops;
    GAsyncQueue *queue; /* struct write_request */
    uv_thread_t thread;
    uv_async_t result_async;
    uint64_t last_number; /* number of the last queued write */
    /* Results, set by the thread and read by the loop. */
    uint64_t synced;              /* guarded by lock */
    bool failed;                  /* guarded by lock */
    struct store_failure failure; /* guarded by lock */
    GMutex lock;
    /* The results already reported to ops; used by the loop only. */
    uint64_t reported_synced;
    bool reported_failed;
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
report_result(struct disk *disk, uint64_t number, enum fp_err err)
{
    g_mutex_lock(&disk->lock);
    if (err == FP_OK) {
        disk->synced = number;
    }
    else if (!disk->failed) {
        disk->failed = true;
        disk->failure = *store_last_failure(disk->store);
    }
    g_mutex_unlock(&disk->lock);
    uv_async_send(&disk->result_async);
}

/* Adds the appends queued after the first one to it. Returns the request that
 * ended the batch, a snapshot or the stop request, or NULL when the queue is
 * empty.
 */
static struct write_request *
merge_queued_appends(struct disk *disk, struct write_request *first)
{
    struct write_request *next = g_async_queue_try_pop(disk->queue);

    while (next != NULL && next->snap == NULL && !next->stop) {
        append_bytes(&first->bytes, &next->bytes);
        first->number = next->number;
        free_request(next);
        next = g_async_queue_try_pop(disk->queue);
    }
    return next;
}

static void
run_thread(void *arg)
{
    struct disk *disk = arg;
    struct write_request *request = g_async_queue_pop(disk->queue);

    while (!request->stop) {
        struct write_request *next = NULL;
        enum fp_err err;

        if (request->snap != NULL) {
            err = store_write_snapshot(disk->store, request->snap,
                                       request->bytes.items,
                                       request->bytes.count);
        }
        else {
            next = merge_queued_appends(disk, request);
            err = store_append(disk->store, request->bytes.items,
                               request->bytes.count);
        }
        report_result(disk, request->number, err);
        free_request(request);
        request = next != NULL ? next : g_async_queue_pop(disk->queue);
    }
    free_request(request);
}

static void
on_result(uv_async_t *result_async)
{
    struct disk *disk = result_async->data;
    struct store_failure failure;
    uint64_t synced;
    bool failed;

    g_mutex_lock(&disk->lock);
    synced = disk->synced;
    failed = disk->failed;
    failure = disk->failure;
    g_mutex_unlock(&disk->lock);
    if (synced > disk->reported_synced) {
        disk->reported_synced = synced;
        disk->ops.on_synced(disk->ops.ctx, synced);
    }
    if (failed && !disk->reported_failed) {
        disk->reported_failed = true;
        disk->ops.on_failed(disk->ops.ctx, &failure);
    }
}

static struct write_request *
new_request(struct disk *disk)
{
    struct write_request *request = g_new0(struct write_request, 1);

    request->number = ++disk->last_number;
    return request;
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
disk_write_vote(struct disk *disk, const struct raft_vote *vote)
{
    struct write_request *request = new_request(disk);

    store_pack_vote(&request->bytes, vote);
    g_async_queue_push(disk->queue, request);
    return disk->last_number;
}

uint64_t
disk_write_entries(struct disk *disk, const struct raft_entry *entries,
                   uint32_t count)
{
    struct write_request *request = new_request(disk);

    for (uint32_t i = 0; i < count; i++) {
        store_pack_entry(&request->bytes, &entries[i]);
    }
    g_async_queue_push(disk->queue, request);
    return disk->last_number;
}

uint64_t
disk_write_snapshot(struct disk *disk, const struct raft_snapshot *snap,
                    const struct raft_vote *vote,
                    const struct raft_entry *entries, uint32_t count)
{
    struct write_request *request = new_request(disk);

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
    g_async_queue_push(disk->queue, request);
    return disk->last_number;
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
    struct write_request *request;

    if (disk == NULL) {
        return;
    }
    request = new_request(disk);
    request->stop = true;
    g_async_queue_push(disk->queue, request);
    uv_thread_join(&disk->thread);
    uv_close((uv_handle_t *)&disk->result_async, on_async_closed);
}
