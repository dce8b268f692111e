/* store.c -- the files in the data folder: identity, log, snapshots */
#include "node/store.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#define FRAME_HEADER_BYTES 24u
#define SNAPSHOT_HEADER_BYTES 20u
#define FRAME_MAX_BYTES (256u * 1024 * 1024)
#define SNAPSHOT_MAX_BYTES (512u * 1024 * 1024)

#define LOG_PREFIX "log-"
#define SNAPSHOT_PREFIX "snap-"

static const char FRAME_MAGIC[4] = {'F', 'P', 'L', '1'};
static const char SNAPSHOT_MAGIC[4] = {'F', 'P', 'S', '1'};

static const struct fp_field VOTE_FIELDS[] = {
    {"term", FP_U64, offsetof(struct raft_vote, term), 0, NULL, NULL, NULL},
    {"voted_for", FP_U64, offsetof(struct raft_vote, voted_for), 0, NULL, NULL,
     NULL},
    {"leased_to", FP_U64, offsetof(struct raft_vote, leased_to), 0, NULL, NULL,
     NULL},
};
static const struct fp_schema VOTE_SCHEMA = {
    "vote", 50, sizeof(struct raft_vote), VOTE_FIELDS,
    FP_FIELD_COUNT(VOTE_FIELDS)};

static const struct fp_field SNAPSHOT_FIELDS[] = {
    {"last_index", FP_U64, offsetof(struct raft_snapshot, last_index), 0, NULL,
     NULL, NULL},
    {"last_term", FP_U64, offsetof(struct raft_snapshot, last_term), 0, NULL,
     NULL, NULL},
    {"members", FP_LIST, offsetof(struct raft_snapshot, members.list),
     MSG_MAX_MEMBERS, &RAFT_MEMBER_SCHEMA, NULL, NULL},
    {"data", FP_BLOB, offsetof(struct raft_snapshot, data), SNAPSHOT_MAX_BYTES,
     NULL, NULL, NULL},
};
static const struct fp_schema SNAPSHOT_SCHEMA = {
    "snapshot", 51, sizeof(struct raft_snapshot), SNAPSHOT_FIELDS,
    FP_FIELD_COUNT(SNAPSHOT_FIELDS)};

struct store {
    char *folder;
    struct store_io io;
    int folder_fd;
    int log_fd;
    char *log_name;
    uint64_t id;
    bool has_identity_file;
    uint64_t next_frame;     /* number of the next frame */
    uint64_t log_bytes;      /* synced, once store_prepare() has succeeded */
    uint64_t snapshot_index; /* of the snapshot that is on disk; 0: none */
    bool write_failed;       /* only store_rewrite() may write */
    struct store_failure failure;
};

static ssize_t
libc_write(void *ctx, int fd, const void *data, size_t size_bytes)
{
    (void)ctx;
    return write(fd, data, size_bytes);
}

static int
libc_sync(void *ctx, int fd)
{
    (void)ctx;
    return fsync(fd);
}

const struct store_io STORE_IO = {libc_write, libc_sync, NULL};

/* Returns the sum of the sizes of the files in the folder. */
static uint64_t
folder_bytes(const struct store *store)
{
    GDir *dir = g_dir_open(store->folder, 0, NULL);
    uint64_t bytes = 0;
    const char *name;

    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        char *path = g_build_filename(store->folder, name, NULL);
        struct stat status;

        if (stat(path, &status) == 0) {
            bytes += (uint64_t)status.st_size;
        }
        g_free(path);
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    return bytes;
}

/* Describes the system call that has just failed, and returns FP_ERR_DISK. */
static enum fp_err
record_failure(struct store *store, const char *operation, const char *file,
               uint64_t offset_bytes, uint64_t size_bytes)
{
    struct store_failure *failure = &store->failure;

    failure->error = errno;
    failure->operation = operation;
    g_strlcpy(failure->file, file, sizeof(failure->file));
    failure->offset_bytes = offset_bytes;
    failure->size_bytes = size_bytes;
    failure->folder_bytes = folder_bytes(store);
    return FP_ERR_DISK;
}

/* Writes data at offset_bytes, the end of the file; the offset is needed for
 * the description of a failure only.
 */
static enum fp_err
write_all(struct store *store, int fd, const char *file, uint64_t offset_bytes,
          const void *data, size_t size)
{
    const char *at = data;

    while (size > 0) {
        ssize_t written = store->io.write(store->io.ctx, fd, at, size);

        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            errno = written == 0 ? EIO : errno;
            return record_failure(store, "write", file, offset_bytes, size);
        }
        at += written;
        offset_bytes += (uint64_t)written;
        size -= (size_t)written;
    }
    return FP_OK;
}

static enum fp_err
sync_fd(struct store *store, int fd, const char *file)
{
    if (store->io.sync(store->io.ctx, fd) != 0) {
        return record_failure(store, "sync", file, 0, 0);
    }
    return FP_OK;
}

static void
put_u32(uint8_t *at, uint32_t value)
{
    value = GUINT32_TO_LE(value);
    memcpy(at, &value, sizeof(value));
}

static void
put_u64(uint8_t *at, uint64_t value)
{
    value = GUINT64_TO_LE(value);
    memcpy(at, &value, sizeof(value));
}

static uint32_t
get_u32(const uint8_t *at)
{
    uint32_t value;

    memcpy(&value, at, sizeof(value));
    return GUINT32_FROM_LE(value);
}

static uint64_t
get_u64(const uint8_t *at)
{
    uint64_t value;

    memcpy(&value, at, sizeof(value));
    return GUINT64_FROM_LE(value);
}

/* Covers the frame number and the size along with the records. */
static uint64_t
frame_checksum(uint64_t number, const void *bytes, uint32_t size_bytes)
{
    return XXH64(bytes, size_bytes, number ^ ((uint64_t)size_bytes << 32));
}

static void
fill_frame_header(uint8_t *header, uint64_t number, const void *bytes,
                  uint32_t size_bytes)
{
    memcpy(header, FRAME_MAGIC, sizeof(FRAME_MAGIC));
    put_u32(header + 4, size_bytes);
    put_u64(header + 8, number);
    put_u64(header + 16, frame_checksum(number, bytes, size_bytes));
}

/* Returns whether a complete frame with the right checksum starts at offset.
 * length is the size of its records, without the header.
 */
static bool
valid_frame_at(const uint8_t *data, size_t size, size_t offset,
               uint32_t *length, uint64_t *number)
{
    const uint8_t *at = data + offset;

    if (size - offset < FRAME_HEADER_BYTES ||
        memcmp(at, FRAME_MAGIC, sizeof(FRAME_MAGIC)) != 0) {
        return false;
    }
    *length = get_u32(at + 4);
    *number = get_u64(at + 8);
    if (*length > FRAME_MAX_BYTES ||
        *length > size - offset - FRAME_HEADER_BYTES) {
        return false;
    }
    return get_u64(at + 16) ==
           frame_checksum(*number, at + FRAME_HEADER_BYTES, *length);
}

/* Returns whether a valid frame starts after offset: it proves that the
 * invalid frame at offset had been synced. Tries every byte offset, since the
 * size in a damaged header can't be trusted; this costs one comparison per
 * byte, and only for a damaged file.
 */
static bool
valid_frame_follows(const uint8_t *data, size_t size, size_t offset)
{
    uint32_t length;
    uint64_t number;

    for (size_t at = offset + 1; at + FRAME_HEADER_BYTES <= size; at++) {
        if (valid_frame_at(data, size, at, &length, &number)) {
            return true;
        }
    }
    return false;
}

static void
pack_record(struct fp_list *bytes, const struct fp_schema *schema,
            const void *record)
{
    struct fp_blob blob;
    uint8_t size[4];
    char *at;

    fp_encode(schema, record, &blob);
    put_u32(size, blob.size_bytes);
    bytes->items =
        g_realloc(bytes->items, bytes->count + sizeof(size) + blob.size_bytes);
    at = (char *)bytes->items + bytes->count;
    memcpy(at, size, sizeof(size));
    memcpy(at + sizeof(size), blob.data, blob.size_bytes);
    bytes->count += (uint32_t)sizeof(size) + blob.size_bytes;
    fp_blob_free(&blob);
}

void
store_pack_vote(struct fp_list *bytes, const struct raft_vote *vote)
{
    pack_record(bytes, &VOTE_SCHEMA, vote);
}

void
store_pack_entry(struct fp_list *bytes, const struct raft_entry *entry)
{
    pack_record(bytes, &RAFT_ENTRY_SCHEMA, entry);
}

/* The state read from the log files so far. */
struct recovery {
    struct raft_init *init;
    GArray *entries; /* struct raft_entry */
};

/* Removes the entries from index on. */
static void
truncate_entries(GArray *entries, uint64_t index)
{
    while (entries->len > 0) {
        struct raft_entry *last =
            &g_array_index(entries, struct raft_entry, entries->len - 1);

        if (last->index < index) {
            return;
        }
        fp_blob_free(&last->data);
        g_array_set_size(entries, entries->len - 1);
    }
}

/* Appends an entry; it replaces earlier ones with the same index or a greater
 * one. Returns false when entries are missing before it.
 */
static bool
recover_entry(struct recovery *recovery, struct raft_entry *entry)
{
    const struct raft_entry *last;

    truncate_entries(recovery->entries, entry->index);
    if (recovery->entries->len > 0) {
        last = &g_array_index(recovery->entries, struct raft_entry,
                              recovery->entries->len - 1);
        if (last->index + 1 != entry->index) {
            /* The removal of an older log file may be undone by a power
             * failure. The snapshot covers all entries of that file, so they
             * are dropped. */
            if (last->index > recovery->init->snapshot.last_index ||
                entry->index > recovery->init->snapshot.last_index + 1) {
                return false;
            }
            truncate_entries(recovery->entries, 0);
        }
    }
    g_array_append_val(recovery->entries, *entry);
    return true;
}

static bool
recover_record(struct recovery *recovery, const uint8_t *data, uint32_t size)
{
    struct raft_entry entry;
    struct raft_vote vote;

    if (fp_decode(&RAFT_ENTRY_SCHEMA, data, size, &entry) == FP_OK) {
        if (recover_entry(recovery, &entry)) {
            return true;
        }
        fp_record_free(&RAFT_ENTRY_SCHEMA, &entry);
        return false;
    }
    if (fp_decode(&VOTE_SCHEMA, data, size, &vote) != FP_OK) {
        return false;
    }
    recovery->init->vote = vote;
    return true;
}

static bool
recover_frame(struct recovery *recovery, const uint8_t *data, uint32_t size)
{
    uint32_t at = 0;

    while (at + 4 <= size) {
        uint32_t length = get_u32(data + at);

        at += 4;
        if (length > size - at ||
            !recover_record(recovery, data + at, length)) {
            return false;
        }
        at += length;
    }
    return at == size;
}

static enum fp_err
close_fd(struct store *store, int fd, const char *file)
{
    return close(fd) == 0 ? FP_OK : record_failure(store, "close", file, 0, 0);
}

/* Reads one log file, without an incomplete frame at its end. An older file
 * has one if a write to it failed, or if a loss of power has undone both its
 * truncation and its removal; entries that are missing then, and that no
 * snapshot covers, are noticed by recover_entry().
 */
static enum fp_err
read_log(struct store *store, struct recovery *recovery, const char *path,
         char *why, size_t why_bytes)
{
    enum fp_err err = FP_ERR_CORRUPT;
    char *data = NULL;
    gsize size = 0;
    size_t at = 0;

    if (!g_file_get_contents(path, &data, &size, NULL)) {
        snprintf(why, why_bytes, "%s: cannot be read", path);
        return FP_ERR_DISK;
    }
    while (at < size) {
        const uint8_t *bytes = (const uint8_t *)data;
        uint32_t length;
        uint64_t number;

        if (!valid_frame_at(bytes, size, at, &length, &number)) {
            if (valid_frame_follows(bytes, size, at)) {
                snprintf(why, why_bytes,
                         "%s: synced data is damaged at offset %zu", path, at);
                goto done;
            }
            break;
        }
        if (!recover_frame(recovery, bytes + at + FRAME_HEADER_BYTES,
                           length)) {
            snprintf(why, why_bytes,
                     "%s: malformed record in the frame at offset %zu", path,
                     at);
            goto done;
        }
        store->next_frame = MAX(store->next_frame, number + 1);
        at += FRAME_HEADER_BYTES + length;
    }
    store->log_bytes = at;
    err = FP_OK;

done:
    g_free(data);
    return err;
}

static enum fp_err
read_snapshot(const char *path, struct raft_snapshot *snap)
{
    enum fp_err err = FP_ERR_CORRUPT;
    char *data = NULL;
    gsize size = 0;
    const uint8_t *bytes;
    uint64_t length;

    if (!g_file_get_contents(path, &data, &size, NULL)) {
        return FP_ERR_DISK;
    }
    bytes = (const uint8_t *)data;
    if (size < SNAPSHOT_HEADER_BYTES ||
        memcmp(bytes, SNAPSHOT_MAGIC, sizeof(SNAPSHOT_MAGIC)) != 0) {
        goto done;
    }
    length = get_u64(bytes + 4);
    if (length != size - SNAPSHOT_HEADER_BYTES ||
        get_u64(bytes + 12) !=
            XXH64(bytes + SNAPSHOT_HEADER_BYTES, length, 0)) {
        goto done;
    }
    err = fp_decode(&SNAPSHOT_SCHEMA, bytes + SNAPSHOT_HEADER_BYTES, length,
                    snap);

done:
    g_free(data);
    return err;
}

static gint
compare_paths(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the paths of the files with a prefix, in the order of the numbers in
 * their names, which have a fixed width.
 */
static GPtrArray *
list_files(const char *folder, const char *prefix)
{
    GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;

    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        if (g_str_has_prefix(name, prefix) &&
            !g_str_has_suffix(name, ".tmp")) {
            g_ptr_array_add(paths, g_build_filename(folder, name, NULL));
        }
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    g_ptr_array_sort(paths, compare_paths);
    return paths;
}

static enum fp_err
fill_file(struct store *store, int fd, const char *name, const void *header,
          size_t header_bytes, const void *body, size_t body_bytes)
{
    enum fp_err err = write_all(store, fd, name, 0, header, header_bytes);

    if (err == FP_OK) {
        err = write_all(store, fd, name, header_bytes, body, body_bytes);
    }
    if (err == FP_OK) {
        err = sync_fd(store, fd, name);
    }
    return err;
}

/* Creates a file atomically and durably: after a crash it is complete under
 * its final name, or not there.
 */
static enum fp_err
write_file(struct store *store, const char *name, const void *header,
           size_t header_bytes, const void *body, size_t body_bytes)
{
    enum fp_err err;
    char *temporary_path = g_strdup_printf("%s/%s.tmp", store->folder, name);
    char *path = g_strdup_printf("%s/%s", store->folder, name);
    int fd =
        open(temporary_path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);

    if (fd < 0) {
        err = record_failure(store, "open", name, 0, 0);
        goto done;
    }
    err = fill_file(store, fd, name, header, header_bytes, body, body_bytes);
    if (close_fd(store, fd, name) != FP_OK) {
        err = FP_ERR_DISK;
    }
    if (err == FP_OK && rename(temporary_path, path) != 0) {
        err = record_failure(store, "rename", name, 0, 0);
    }
    if (err != FP_OK) {
        unlink(temporary_path); /* its space may be what the disk lacks */
    }
    else {
        err = sync_fd(store, store->folder_fd, "");
    }

done:
    g_free(temporary_path);
    g_free(path);
    return err;
}

/* Reads the identity, or draws one if there is no file yet. */
static enum fp_err
read_identity(struct store *store, char *why, size_t why_bytes)
{
    char *path = g_build_filename(store->folder, "identity", NULL);
    char *text = NULL;
    GError *error = NULL;
    enum fp_err err = FP_OK;

    if (g_file_get_contents(path, &text, NULL, &error)) {
        store->has_identity_file = true;
        store->id = g_ascii_strtoull(text, NULL, 16);
        if (store->id == 0) {
            snprintf(why, why_bytes, "%s: malformed identity", path);
            err = FP_ERR_CORRUPT;
        }
    }
    else if (g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT)) {
        randombytes_buf(&store->id, sizeof(store->id));
        store->id = (store->id >> 1) | 1;
    }
    else {
        snprintf(why, why_bytes, "%s: cannot be read", path);
        err = FP_ERR_DISK;
    }
    g_clear_error(&error);
    g_free(text);
    g_free(path);
    return err;
}

/* Syncs a folder above the data folder. Some file systems sync no folders, or
 * are mounted for reading only: there is nothing to wait for.
 */
static enum fp_err
sync_holding_folder(struct store *store, int fd)
{
    if (store->io.sync(store->io.ctx, fd) == 0 || errno == EINVAL ||
        errno == EROFS) {
        return FP_OK;
    }
    return record_failure(store, "sync", "..", 0, 0);
}

/* Syncs the folders that hold the data folder, as far as its file system goes.
 * This process, or one that was killed, may have created any of them, and a
 * loss of power would otherwise undo that.
 */
static enum fp_err
sync_holding_folders(struct store *store)
{
    int below_fd = dup(store->folder_fd);
    int fd = -1;
    enum fp_err err = FP_OK;

    while (err == FP_OK &&
           (fd = openat(below_fd, "..", O_RDONLY | O_DIRECTORY | O_CLOEXEC)) >=
               0) {
        struct stat below;
        struct stat status;

        if (fstat(below_fd, &below) != 0 || fstat(fd, &status) != 0 ||
            status.st_dev != below.st_dev || status.st_ino == below.st_ino) {
            break;
        }
        err = sync_holding_folder(store, fd);
        close(below_fd);
        below_fd = fd;
        fd = -1;
    }
    /* What can't be opened wasn't created by this host. */
    if (fd >= 0) {
        close(fd);
    }
    if (below_fd >= 0) {
        close(below_fd);
    }
    return err;
}

/* The identity shows that the folder and those that hold it are durable. */
static enum fp_err
write_identity(struct store *store)
{
    char line[32];
    enum fp_err err;

    if (store->has_identity_file) {
        return FP_OK;
    }
    err = sync_holding_folders(store);
    if (err != FP_OK) {
        return err;
    }
    snprintf(line, sizeof(line), "%016llx\n", (unsigned long long)store->id);
    err = write_file(store, "identity", line, strlen(line), "", 0);
    store->has_identity_file = err == FP_OK;
    return err;
}

static enum fp_err
read_newest_snapshot(struct store *store, struct raft_init *init, char *why,
                     size_t why_bytes)
{
    GPtrArray *paths = list_files(store->folder, SNAPSHOT_PREFIX);
    enum fp_err err = FP_OK;

    if (paths->len > 0) {
        const char *newest = paths->pdata[paths->len - 1];

        err = read_snapshot(newest, &init->snapshot);
        if (err != FP_OK) {
            snprintf(why, why_bytes, "%s: the snapshot %s", newest,
                     err == FP_ERR_DISK ? "cannot be read" : "is damaged");
        }
        store->snapshot_index = init->snapshot.last_index;
    }
    g_ptr_array_free(paths, TRUE);
    return err;
}

/* Removes the entries that the snapshot covers, and also the entries after it
 * when they don't continue it: a crash between writing a snapshot received
 * from the leader and creating its log leaves the old log, which may conflict
 * with the snapshot.
 */
static void
reconcile_with_snapshot(struct recovery *recovery)
{
    const struct raft_snapshot *snap = &recovery->init->snapshot;
    GArray *entries = recovery->entries;
    bool continues = false;
    guint covered = 0;

    for (guint i = 0; i < entries->len; i++) {
        struct raft_entry *entry =
            &g_array_index(entries, struct raft_entry, i);

        if (entry->index > snap->last_index) {
            break;
        }
        continues =
            entry->index == snap->last_index && entry->term == snap->last_term;
        covered = i + 1;
    }
    if (entries->len > 0 && covered == 0) {
        continues = g_array_index(entries, struct raft_entry, 0).index ==
                    snap->last_index + 1;
    }
    for (guint i = 0; i < covered; i++) {
        fp_blob_free(&g_array_index(entries, struct raft_entry, i).data);
    }
    g_array_remove_range(entries, 0, covered);
    if (!continues) {
        truncate_entries(entries, 0);
    }
}

static enum fp_err
read_logs(struct store *store, struct raft_init *init, char *why,
          size_t why_bytes)
{
    GPtrArray *paths = list_files(store->folder, LOG_PREFIX);
    struct recovery recovery = {init, NULL};
    enum fp_err err = FP_OK;

    recovery.entries = g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
    for (guint i = 0; i < paths->len && err == FP_OK; i++) {
        err = read_log(store, &recovery, paths->pdata[i], why, why_bytes);
    }
    if (err == FP_OK) {
        reconcile_with_snapshot(&recovery);
        if (paths->len > 0) {
            store->log_name =
                g_path_get_basename(paths->pdata[paths->len - 1]);
            store->next_frame =
                MAX(store->next_frame,
                    g_ascii_strtoull(store->log_name + strlen(LOG_PREFIX),
                                     NULL, 10) +
                        1);
        }
        init->entries.count = recovery.entries->len;
        init->entries.items = g_array_free(recovery.entries, FALSE);
    }
    else {
        truncate_entries(recovery.entries, 0);
        g_array_free(recovery.entries, TRUE);
    }
    g_ptr_array_free(paths, TRUE);
    return err;
}

static enum fp_err
open_log(struct store *store)
{
    char *path = g_build_filename(store->folder, store->log_name, NULL);

    if (store->log_fd >= 0) {
        close(store->log_fd);
    }
    store->log_fd = open(path, O_WRONLY | O_APPEND | O_CLOEXEC);
    g_free(path);
    return store->log_fd < 0
               ? record_failure(store, "open", store->log_name, 0, 0)
               : FP_OK;
}

/* Creates a log file with one frame, or an empty one for size_bytes 0, and
 * makes it the current one.
 */
static enum fp_err
create_log(struct store *store, const void *bytes, uint32_t size_bytes)
{
    uint8_t header[FRAME_HEADER_BYTES];
    char *name = g_strdup_printf(LOG_PREFIX "%020llu",
                                 (unsigned long long)store->next_frame);
    enum fp_err err;

    fill_frame_header(header, store->next_frame, bytes, size_bytes);
    err = write_file(store, name, header, size_bytes > 0 ? sizeof(header) : 0,
                     bytes, size_bytes);
    if (err != FP_OK) {
        g_free(name);
        return err;
    }
    store->next_frame++;
    store->log_bytes = size_bytes > 0 ? sizeof(header) + size_bytes : 0;
    g_free(store->log_name);
    store->log_name = name;
    return open_log(store);
}

/* Removes the files with a prefix, except the one named keep. */
static void
remove_old_files(struct store *store, const char *prefix, const char *keep)
{
    GPtrArray *paths = list_files(store->folder, prefix);

    for (guint i = 0; i < paths->len; i++) {
        /* A file that stays does no harm: store_open() accepts old files, and
         * the next snapshot tries again. */
        if (!g_str_has_suffix(paths->pdata[i], keep)) {
            unlink(paths->pdata[i]);
        }
    }
    g_ptr_array_free(paths, TRUE);
}

/* Removes the temporary files of a process that was killed. */
static void
remove_temporary_files(struct store *store)
{
    GDir *dir = g_dir_open(store->folder, 0, NULL);
    const char *name;

    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        if (g_str_has_suffix(name, ".tmp")) {
            char *path = g_build_filename(store->folder, name, NULL);

            unlink(path);
            g_free(path);
        }
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
}

/* Drops what may follow the last synced frame in the current log, so that a
 * process that starts after this one doesn't read a frame from the page cache
 * that is not on the disk.
 */
static enum fp_err
truncate_log(struct store *store)
{
    if (ftruncate(store->log_fd, (off_t)store->log_bytes) != 0) {
        return record_failure(store, "truncate", store->log_name,
                              store->log_bytes, 0);
    }
    return FP_OK;
}

enum fp_err
store_open(const char *folder, const struct store_io *io, struct store **out,
           struct raft_init *init, char *why, size_t why_bytes)
{
    struct store *store = g_new0(struct store, 1);
    enum fp_err err = FP_ERR_DISK;
    int error = 0;

    *out = NULL;
    store->folder = g_strdup(folder);
    store->io = *io;
    store->log_fd = -1;
    store->next_frame = 1;
    store->folder_fd = -1;
    store->write_failed = true; /* until store_prepare() has succeeded */
    if (g_mkdir_with_parents(folder, 0700) == 0) {
        store->folder_fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    }
    if (store->folder_fd < 0) {
        error = errno;
        snprintf(why, why_bytes, "%s: cannot be opened", folder);
        goto done;
    }
    if (flock(store->folder_fd, LOCK_EX | LOCK_NB) != 0) {
        error = errno;
        snprintf(why, why_bytes, "%s: in use by another process", folder);
        goto done;
    }
    error = EIO; /* of files that cannot be read */
    err = read_identity(store, why, why_bytes);
    init->id = store->id;
    if (err == FP_OK) {
        err = read_newest_snapshot(store, init, why, why_bytes);
    }
    if (err == FP_OK) {
        err = read_logs(store, init, why, why_bytes);
    }

done:
    if (err != FP_OK) {
        fp_blob_free(&init->snapshot.data);
        fp_record_free(&RAFT_MEMBERS_SCHEMA, &init->snapshot.members);
        memset(&init->snapshot, 0, sizeof(init->snapshot));
        store_close(store);
        errno = error;
        return err;
    }
    *out = store;
    return FP_OK;
}

void
store_close(struct store *store)
{
    if (store == NULL) {
        return;
    }
    if (store->log_fd >= 0) {
        close(store->log_fd);
    }
    if (store->folder_fd >= 0) {
        close(store->folder_fd);
    }
    g_free(store->folder);
    g_free(store->log_name);
    g_free(store);
}

enum fp_err
store_prepare(struct store *store)
{
    enum fp_err err = write_identity(store);

    remove_temporary_files(store);
    if (err == FP_OK) {
        err = store->log_name == NULL ? create_log(store, "", 0)
                                      : open_log(store);
    }
    if (err == FP_OK) {
        err = truncate_log(store);
    }
    if (err == FP_OK) {
        err = sync_fd(store, store->log_fd, store->log_name);
    }
    if (err == FP_OK) {
        err = sync_fd(store, store->folder_fd, "");
    }
    store->write_failed = err != FP_OK;
    return err;
}

enum fp_err
store_append(struct store *store, const void *bytes, uint32_t size_bytes)
{
    uint8_t header[FRAME_HEADER_BYTES];
    enum fp_err err;

    if (store->write_failed) {
        return FP_ERR_DISK;
    }
    fill_frame_header(header, store->next_frame, bytes, size_bytes);
    err = write_all(store, store->log_fd, store->log_name, store->log_bytes,
                    header, sizeof(header));
    if (err == FP_OK) {
        err = write_all(store, store->log_fd, store->log_name,
                        store->log_bytes + sizeof(header), bytes, size_bytes);
    }
    if (err == FP_OK) {
        err = sync_fd(store, store->log_fd, store->log_name);
    }
    if (err != FP_OK) {
        struct store_failure first = store->failure;

        store->write_failed = true;
        truncate_log(store);
        store->failure = first;
        return err;
    }
    store->next_frame++;
    store->log_bytes += sizeof(header) + size_bytes;
    return FP_OK;
}

static char *
snapshot_name(uint64_t last_index)
{
    return g_strdup_printf(SNAPSHOT_PREFIX "%020llu",
                           (unsigned long long)last_index);
}

/* Writes the file of a snapshot, unless it is on disk. */
static enum fp_err
write_snapshot_file(struct store *store, const struct raft_snapshot *snap)
{
    uint8_t header[SNAPSHOT_HEADER_BYTES];
    struct fp_blob blob = {NULL, 0};
    char *name;
    enum fp_err err;

    if (snap->last_index == store->snapshot_index) {
        return FP_OK;
    }
    name = snapshot_name(snap->last_index);
    fp_encode(&SNAPSHOT_SCHEMA, snap, &blob);
    memcpy(header, SNAPSHOT_MAGIC, sizeof(SNAPSHOT_MAGIC));
    put_u64(header + 4, blob.size_bytes);
    put_u64(header + 12, XXH64(blob.data, blob.size_bytes, 0));
    err = write_file(store, name, header, sizeof(header), blob.data,
                     blob.size_bytes);
    if (err == FP_OK) {
        store->snapshot_index = snap->last_index;
    }
    g_free(name);
    fp_blob_free(&blob);
    return err;
}

/* Begins a log after the snapshot on disk and removes the older files. */
static enum fp_err
replace_log(struct store *store, const void *bytes, uint32_t size_bytes)
{
    char *name = snapshot_name(store->snapshot_index);
    enum fp_err err = create_log(store, bytes, size_bytes);

    if (err == FP_OK) {
        remove_old_files(store, SNAPSHOT_PREFIX, name);
        remove_old_files(store, LOG_PREFIX, store->log_name);
    }
    g_free(name);
    store->write_failed = err != FP_OK;
    return err;
}

enum fp_err
store_write_snapshot(struct store *store, const struct raft_snapshot *snap,
                     const void *bytes, uint32_t size_bytes)
{
    enum fp_err err;

    if (store->write_failed) {
        return FP_ERR_DISK;
    }
    err = write_snapshot_file(store, snap);
    return err == FP_OK ? replace_log(store, bytes, size_bytes) : err;
}

enum fp_err
store_rewrite(struct store *store, const struct raft_snapshot *snap,
              const void *bytes, uint32_t size_bytes)
{
    enum fp_err err = write_identity(store);

    if (err == FP_OK) {
        err = write_snapshot_file(store, snap);
    }
    if (err != FP_OK) {
        store->write_failed = true;
        return err;
    }
    return replace_log(store, bytes, size_bytes);
}

bool
store_has_failed(const struct store *store)
{
    return store->write_failed;
}

uint64_t
store_log_bytes(const struct store *store)
{
    return store->log_bytes;
}

const struct store_failure *
store_last_failure(const struct store *store)
{
    return &store->failure;
}
