/* store.h -- the files in the data folder: identity, log, snapshots
 *
 * A log file is a sequence of frames; a frame is a batch that is written and
 * synced at once:
 *   "FPL1", size of the records (4 bytes), frame number (8), xxh64 (8), then
 *   the records (votes and log entries), each as its size (4) and encoding.
 * All numbers are little-endian. A frame is written only after the frame
 * before it was synced. So an invalid frame with a valid one after it means
 * damage to synced data, and store_open() fails; an invalid frame at the end
 * is a batch that was never acknowledged, and store_prepare() truncates the
 * file there.
 *
 * After a failed write or sync it is unknown what the disk holds of the bytes
 * that were not synced before, and a later sync of the same file may succeed
 * without them. The file is not written again: store_rewrite() writes all that
 * the owner must remember to a new one.
 *
 * A snapshot file is "FPS1", size of the record (8), xxh64 of the record (8),
 * one encoded record. Files of both kinds are written under a temporary name,
 * synced, and renamed; then the folder is synced.
 */
#ifndef FP_STORE_H
#define FP_STORE_H

#include <stddef.h>
#include <sys/types.h>

#include "core/raft.h"

/* System calls, replaceable so that tests can inject failures. */
struct store_io {
    ssize_t (*write)(void *ctx, int fd, const void *data, size_t size_bytes);
    int (*sync)(void *ctx, int fd);
    void *ctx;
};

/* write() and fsync() of the C library. */
extern const struct store_io STORE_IO;

/* A system call that failed. */
struct store_failure {
    const char *operation; /* its name: open, write, sync, ... */
    char file[64];         /* name in the folder; "": the folder itself */
    int error;             /* errno */
    uint64_t offset_bytes; /* of a write or truncation in the file */
    uint64_t size_bytes;   /* what a write had left to write */
    uint64_t folder_bytes; /* sizes of all files in the folder, in sum */
};

struct store;

/* Opens or creates a data folder, locks it against other processes, and reads
 * the state it holds into init: id, term, voted_for, snapshot and entries; the
 * other fields aren't changed. The caller owns snapshot and entries. Writes
 * nothing: the identity of an empty folder is drawn, and what was read may be
 * in the page cache only, until store_prepare() succeeds.
 * Returns FP_OK, FP_ERR_DISK, with the error in errno, or FP_ERR_CORRUPT when
 * synced data is damaged; why then names the file and the offset. Release the
 * store by store_close().
 */
enum fp_err store_open(const char *folder, const struct store_io *io,
                       struct store **out, struct raft_init *init, char *why,
                       size_t why_bytes);

void store_close(struct store *store);

/* Makes what store_open() has read durable and the store writable: creates the
 * files that are missing, truncates the log after its last complete frame and
 * syncs it. After FP_ERR_DISK only store_rewrite() may write.
 */
enum fp_err store_prepare(struct store *store);

/* Encode a record and append it to bytes, for store_append() and
 * store_write_snapshot(). The caller frees bytes->items with g_free().
 */
void store_pack_vote(struct fp_list *bytes, const struct raft_vote *vote);
void store_pack_entry(struct fp_list *bytes, const struct raft_entry *entry);

/* Writes packed records as one frame and syncs it. After FP_ERR_DISK it is
 * unknown what reached the disk, and only store_rewrite() may write.
 */
enum fp_err store_append(struct store *store, const void *bytes,
                         uint32_t size_bytes);

/* Writes a snapshot, then a new log that begins with the packed records, and
 * removes the older files. All that they hold must be on disk already, as
 * entries and votes: where the snapshot can't be written, FP_ERR_DISK is
 * returned, but the store goes on with the files that it has, unless
 * store_has_failed().
 */
enum fp_err store_write_snapshot(struct store *store,
                                 const struct raft_snapshot *snap,
                                 const void *bytes, uint32_t size_bytes);

/* The same with a state that isn't on disk: replaces everything, the identity
 * included if it is missing. An index of 0 means no snapshot. Success ends an
 * earlier failure; after FP_ERR_DISK only store_rewrite() may write.
 */
enum fp_err store_rewrite(struct store *store,
                          const struct raft_snapshot *snap, const void *bytes,
                          uint32_t size_bytes);

/* Returns whether writes fail until store_rewrite() succeeds. */
bool store_has_failed(const struct store *store);

/* Returns the size of the current log file. */
uint64_t store_log_bytes(const struct store *store);

/* Returns the last system call that failed; operation is NULL if none has. */
const struct store_failure *store_last_failure(const struct store *store);

#endif /* FP_STORE_H */
