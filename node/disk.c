/* disk.c -- the disk task: one thread that writes and syncs batches */
#include "node/disk.h"

#include <glib.h>
#include <string.h>

/* One write on its way to the disk. */
struct job {
    uint64_t number;
    struct fp_list bytes;       /* packed records */
    struct raft_snapshot *snap; /* NULL for an append */
    bool stop;                  /* ends the thread */
};

struct disk {
    struct store *store; /* the thread's own while it runs */
    struct disk_ops ops;
    GAsyncQueue *jobs; /* struct job */
    uv_thread_t thread;
    uv_async_t wake;
    uint64_t next_number;
    /* The thread's answers; read by the loop. */
    gint64 synced; /* guarded by lock */
    bool failed;   /* guarded by lock */
    GMutex lock;
    uint64_t reported;
    bool reported_failed;
};

static void
free_job(struct job *job)
{
    g_free(job->bytes.items);
    if (job->snap != NULL) {
        fp_blob_free(&job->snap->data);
        fp_record_free(&RAFT_MEMBERS_SCHEMA, &job->snap->members);
        g_free(job->snap);
    }
    g_free(job);
}

static void
join_bytes(struct fp_list *to, const struct fp_list *from)
{
    to->items = g_realloc(to->items, (size_t)to->count + from->count);
    memcpy((char *)to->items + to->count, from->items, from->count);
    to->count += from->count;
}

static void
report(struct disk *disk, uint64_t number, enum fp_err err)
{
    g_mutex_lock(&disk->lock);
    if (err == FP_OK) {
        disk->synced = (gint64)number;
    }
    else {
        disk->failed = true;
    }
    g_mutex_unlock(&disk->lock);
    uv_async_send(&disk->wake);
}

/* Joins the appends that wait behind the first into its batch. */
static struct job *
join_waiting(struct disk *disk, struct job *first)
{
    struct job *next = g_async_queue_try_pop(disk->jobs);

    while (next != NULL && next->snap == NULL && !next->stop) {
        join_bytes(&first->bytes, &next->bytes);
        first->number = next->number;
        free_job(next);
        next = g_async_queue_try_pop(disk->jobs);
    }
    return next;
}

static void
run(void *arg)
{
    struct disk *disk = arg;
    struct job *job = g_async_queue_pop(disk->jobs);

    while (!job->stop) {
        struct job *next = NULL;
        enum fp_err err;

        if (job->snap != NULL) {
            err = store_snapshot(disk->store, job->snap, job->bytes.items,
                                 job->bytes.count);
        }
        else {
            next = join_waiting(disk, job);
            err =
                store_append(disk->store, job->bytes.items, job->bytes.count);
        }
        report(disk, job->number, err);
        free_job(job);
        job = next != NULL ? next : g_async_queue_pop(disk->jobs);
    }
    free_job(job);
}

static void
on_wake(uv_async_t *wake)
{
    struct disk *disk = wake->data;
    uint64_t synced;
    bool failed;

    g_mutex_lock(&disk->lock);
    synced = (uint64_t)disk->synced;
    failed = disk->failed;
    g_mutex_unlock(&disk->lock);
    if (synced > disk->reported) {
        disk->reported = synced;
        disk->ops.synced(disk->ops.ctx, synced);
    }
    if (failed && !disk->reported_failed) {
        disk->reported_failed = true;
        disk->ops.failed(disk->ops.ctx);
    }
}

static struct job *
new_job(struct disk *disk)
{
    struct job *job = g_new0(struct job, 1);

    job->number = ++disk->next_number;
    return job;
}

struct disk *
disk_new(uv_loop_t *loop, struct store *store, const struct disk_ops *ops)
{
    struct disk *disk = g_new0(struct disk, 1);

    disk->store = store;
    disk->ops = *ops;
    disk->jobs = g_async_queue_new();
    g_mutex_init(&disk->lock);
    uv_async_init(loop, &disk->wake, on_wake);
    disk->wake.data = disk;
    uv_thread_create(&disk->thread, run, disk);
    return disk;
}

uint64_t
disk_write_vote(struct disk *disk, uint64_t term, uint64_t voted_for)
{
    struct job *job = new_job(disk);

    store_pack_vote(&job->bytes, term, voted_for);
    g_async_queue_push(disk->jobs, job);
    return disk->next_number;
}

uint64_t
disk_write_entries(struct disk *disk, const struct raft_entry *entries,
                   uint32_t count)
{
    struct job *job = new_job(disk);

    for (uint32_t i = 0; i < count; i++) {
        store_pack_entry(&job->bytes, &entries[i]);
    }
    g_async_queue_push(disk->jobs, job);
    return disk->next_number;
}

uint64_t
disk_write_snapshot(struct disk *disk, const struct raft_snapshot *snap,
                    uint64_t term, uint64_t voted_for,
                    const struct raft_entry *entries, uint32_t count)
{
    struct job *job = new_job(disk);

    job->snap = g_new0(struct raft_snapshot, 1);
    job->snap->last_index = snap->last_index;
    job->snap->last_term = snap->last_term;
    fp_record_copy(&RAFT_MEMBERS_SCHEMA, &job->snap->members, &snap->members);
    job->snap->data = fp_blob_copy(snap->data.data, snap->data.size_bytes);
    store_pack_vote(&job->bytes, term, voted_for);
    for (uint32_t i = 0; i < count; i++) {
        store_pack_entry(&job->bytes, &entries[i]);
    }
    g_async_queue_push(disk->jobs, job);
    return disk->next_number;
}

static void
free_disk(uv_handle_t *handle)
{
    struct disk *disk = handle->data;

    g_async_queue_unref(disk->jobs);
    g_mutex_clear(&disk->lock);
    store_close(disk->store);
    g_free(disk);
}

void
disk_free(struct disk *disk)
{
    struct job *job;

    if (disk == NULL) {
        return;
    }
    job = new_job(disk);
    job->stop = true;
    g_async_queue_push(disk->jobs, job);
    uv_thread_join(&disk->thread);
    uv_close((uv_handle_t *)&disk->wake, free_disk);
}
