/* disk.h -- the disk task: one thread that writes and syncs batches
 *
 * Owns the store. Takes writes as messages, joins all that wait into one
 * frame with one sync, and answers "synced up to this number".
 */
#ifndef FP_DISK_H
#define FP_DISK_H

#include <uv.h>

#include "node/store.h"

struct disk_ops {
    /* The writes up to this number are on disk. */
    void (*synced)(void *ctx, uint64_t write);
    /* A write or a sync failed; no more writes will succeed. */
    void (*failed)(void *ctx);
    void *ctx;
};

struct disk;

/* Starts the thread; takes over the store. Callbacks run on the loop. */
struct disk *disk_new(uv_loop_t *loop, struct store *store,
                      const struct disk_ops *ops);

/* Each queues one write and returns its number. */
uint64_t disk_write_vote(struct disk *disk, uint64_t term, uint64_t voted_for);
uint64_t disk_write_entries(struct disk *disk, const struct raft_entry *entry,
                            uint32_t count);
uint64_t disk_write_snapshot(struct disk *disk,
                             const struct raft_snapshot *snap, uint64_t term,
                             uint64_t voted_for,
                             const struct raft_entry *entries, uint32_t count);

/* Ends the thread after the writes that wait; memory goes with the loop. */
void disk_free(struct disk *disk);

#endif /* FP_DISK_H */
