/* store.h -- the files under the data folder: identity, log, snapshots
 *
 * A log file is a row of frames. One frame is one synced batch:
 *   "FPL1", size (4 bytes), number (8), xxh64 (8), then the records.
 * All numbers are little-endian; a record is a 4-byte size and an encoded
 * record. A frame is written only after the frame before it was synced.
 * So a bad frame with a good one after it means damage to synced data, and
 * opening is refused; a bad frame at the end is a batch that was never
 * acknowledged, and is cut off.
 *
 * A snapshot file is "FPS1", size (8), xxh64 (8), one encoded record. Both
 * kinds of file are made under a temporary name, synced, renamed, and the
 * folder synced.
 */
#ifndef FP_STORE_H
#define FP_STORE_H

#include <stddef.h>
#include <sys/types.h>

#include "core/raft.h"

/* The system calls that can fail; tests put their own here. */
struct store_io {
    ssize_t (*write)(void *ctx, int fd, const void *data, size_t size_bytes);
    int (*sync)(void *ctx, int fd);
    void *ctx;
};

/* The calls of the C library. */
extern const struct store_io STORE_IO;

struct store;

/* Opens or creates a data folder and reads what it holds into init (id, term,
 * vote, snapshot, entries; the other fields are left alone).
 * Returns FP_OK, FP_ERR_DISK, or FP_ERR_CORRUPT when synced data is damaged;
 * why tells the file and the offset.
 */
enum fp_err store_open(const char *folder, const struct store_io *io,
                       struct store **out, struct raft_init *init, char *why,
                       size_t why_bytes);

void store_close(struct store *store);

/* Appends records to bytes that store_append() will write. */
void store_pack_vote(struct fp_list *bytes, uint64_t term, uint64_t voted_for);
void store_pack_entry(struct fp_list *bytes, const struct raft_entry *entry);

/* Writes one frame and syncs it. On FP_ERR_DISK nothing later may be written:
 * what reached the disk is not known.
 */
enum fp_err store_append(struct store *store, const void *bytes,
                         uint32_t size_bytes);

/* Writes a snapshot, then a fresh log that begins with bytes, and removes the
 * older files.
 */
enum fp_err store_snapshot(struct store *store,
                           const struct raft_snapshot *snap, const void *bytes,
                           uint32_t size_bytes);

/* Bytes in the current log file. */
uint64_t store_log_bytes(const struct store *store);

#endif /* FP_STORE_H */
