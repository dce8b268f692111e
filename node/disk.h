/* disk.h -- durable writes by a thread of their own
 *
 * The thread owns the store. It takes writes from a queue, writes all appends
 * that are queued as one frame with one sync, and reports the number of the
 * last write that is synced.
 */
#ifndef FP_DISK_H
#define FP_DISK_H

#include <uv.h>

#include "node/store.h"

struct disk_ops {
    /* The writes up to and including this number are synced. */
    void (*on_synced)(void *ctx, uint64_t write);
    /* A write failed. It and all later ones are dropped, except for
     * disk_rewrite(), until one of these is synced. failure is valid during
     * the call only. */
    void (*on_failed)(void *ctx, const struct store_failure *failure);
    /* A snapshot could not be written; the log goes on without it. */
    void (*on_snapshot_failed)(void *ctx, const struct store_failure *failure);
    void *ctx;
};

struct disk;

/* Starts the thread and takes over the store. The callbacks in ops run on the
 * loop. Release it by disk_free().
 */
struct disk *disk_new(uv_loop_t *loop, struct store *store,
                      const struct disk_ops *ops);

/* Queue one write and return its number; numbers count up from 1. The
 * arguments are copied. disk_prepare() makes what store_open() has read
 * durable, and must come first. disk_write_snapshot() replaces the log by the
 * snapshot, the vote and the entries, which must all be in earlier writes;
 * disk_rewrite() does the same with any state, also after a failure.
 */
uint64_t disk_prepare(struct disk *disk);
uint64_t disk_write_vote(struct disk *disk, const struct raft_vote *vote);
uint64_t disk_write_entries(struct disk *disk,
                            const struct raft_entry *entries, uint32_t count);
uint64_t disk_write_snapshot(struct disk *disk,
                             const struct raft_snapshot *snap,
                             const struct raft_vote *vote,
                             const struct raft_entry *entries, uint32_t count);
uint64_t disk_rewrite(struct disk *disk, const struct raft_snapshot *snap,
                      const struct raft_vote *vote,
                      const struct raft_entry *entries, uint32_t count);

/* Returns the size of the log file after the last write. */
uint64_t disk_log_bytes(struct disk *disk);

/* Waits until the queued writes are done and ends the thread; no callback is
 * called any more. The store is closed and the memory released once the loop
 * has run the close callback.
 */
void disk_free(struct disk *disk);

#endif /* FP_DISK_H */
