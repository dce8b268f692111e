/* faultdisk.c -- a disk that refuses or hangs, and that knows what was synced,
 * for tests with real processes
 *
 * A library to be preloaded into a host. It replaces the calls by which the
 * host writes its data folder, FAULTDISK_FOLDER (with a slash at the end). The
 * file FAULTDISK_MODE says how they fail; it is read at each call, and empty
 * or missing for a sound disk: full      writes fail with ENOSPC, after half
 * of the bytes if there are many snapshot  the same, but only for snapshots
 *   sync      syncs fail with EIO
 *   files     no file can be opened (EMFILE)
 *   stall     writes and syncs wait until the mode changes
 *   slow MS   each sync takes MS longer
 *
 * With FAULTDISK_SYNCED, a folder, it keeps a record of what was synced there,
 * from which tests/platform/powerloss.py makes what a loss of power leaves:
 *   INODE     a link to each file that was synced
 *   sizes     lines INODE SIZE: the size of a file at its last sync
 *   names     lines INODE NAME: the data folder at its last sync
 *   dir-N     the folder on the way to the data folder whose path has N bytes
 *             was synced
 *
 * With FAULTNET_PORT and FAULTNET_NETWORK, such as 127.0.101, connections to
 * that port of 127.0.0.N go to FAULTNET_NETWORK.N instead, where a proxy may
 * cut them.
 */
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#define STALL_POLL_US 20000u
#define SHORT_WRITE_MIN_BYTES 64u

static void
read_mode(char *text, size_t text_bytes)
{
    const char *path = getenv("FAULTDISK_MODE");
    int fd = path == NULL ? -1
                          : (int)syscall(SYS_openat, AT_FDCWD, path,
                                         O_RDONLY | O_CLOEXEC);
    ssize_t size;

    text[0] = '\0';
    if (fd < 0) {
        return;
    }
    size = read(fd, text, text_bytes - 1);
    close(fd);
    text[size < 0 ? 0 : size] = '\0';
}

/* Returns whether the mode is the given one. */
static bool
mode_is(const char *mode)
{
    char text[16];

    read_mode(text, sizeof(text));
    return strncmp(text, mode, strlen(mode)) == 0;
}

static bool
in_folder(const char *path)
{
    const char *folder = getenv("FAULTDISK_FOLDER");

    return folder != NULL && strncmp(path, folder, strlen(folder)) == 0;
}

/* Whether fd is the folder, with path "FOLDER/", or a file in it. */
static bool
is_data(int fd, char *path, size_t path_bytes)
{
    char link[64];
    ssize_t size;

    snprintf(link, sizeof(link), "/proc/self/fd/%d", fd);
    size = readlink(link, path, path_bytes - 2);
    if (size <= 0) {
        return false;
    }
    memcpy(path + size, "/", 2);
    return in_folder(path);
}

static void
wait_while_stalled(void)
{
    while (mode_is("stall")) {
        usleep(STALL_POLL_US);
    }
}

static void
wait_as_slow(void)
{
    char text[16];
    unsigned delay_ms;

    read_mode(text, sizeof(text));
    if (sscanf(text, "slow %u", &delay_ms) == 1) {
        usleep(delay_ms * 1000);
    }
}

ssize_t
write(int fd, const void *data, size_t size_bytes)
{
    static ssize_t (*next)(int, const void *, size_t);
    char path[PATH_MAX];

    if (next == NULL) {
        *(void **)&next = dlsym(RTLD_NEXT, "write");
    }
    if (is_data(fd, path, sizeof(path))) {
        wait_while_stalled();
        if (mode_is("full") ||
            (mode_is("snapshot") && strstr(path, "/snap-") != NULL)) {
            if (size_bytes >= SHORT_WRITE_MIN_BYTES) {
                return next(fd, data, size_bytes / 2);
            }
            errno = ENOSPC;
            return -1;
        }
    }
    return next(fd, data, size_bytes);
}

/* Writes a path in the record. Returns false when no record is kept. */
static bool
record_path(char *path, const char *name)
{
    const char *folder = getenv("FAULTDISK_SYNCED");

    return folder != NULL &&
           snprintf(path, PATH_MAX, "%s/%s", folder, name) < PATH_MAX;
}

static void
record_names(int folder_fd)
{
    char path[PATH_MAX];
    char new_path[PATH_MAX];
    DIR *dir =
        fdopendir(openat(folder_fd, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    const struct dirent *entry;
    FILE *out;

    if (dir == NULL || !record_path(path, "names") ||
        !record_path(new_path, "names.new")) {
        abort();
    }
    out = fopen(new_path, "we");
    while ((entry = readdir(dir)) != NULL) {
        if (entry->d_name[0] != '.') {
            fprintf(out, "%llu %s\n", (unsigned long long)entry->d_ino,
                    entry->d_name);
        }
    }
    fclose(out);
    closedir(dir);
    rename(new_path, path);
}

static void
record_file(int fd, const struct stat *status)
{
    char name[32];
    char source[64];
    char path[PATH_MAX];
    FILE *out;

    snprintf(name, sizeof(name), "%llu", (unsigned long long)status->st_ino);
    snprintf(source, sizeof(source), "/proc/self/fd/%d", fd);
    if (record_path(path, name)) {
        linkat(AT_FDCWD, source, AT_FDCWD, path, AT_SYMLINK_FOLLOW);
    }
    if (record_path(path, "sizes") && (out = fopen(path, "ae")) != NULL) {
        fprintf(out, "%s %lld\n", name, (long long)status->st_size);
        fclose(out);
    }
}

static void
record_holding_folder(const char *folder)
{
    char name[32];
    char path[PATH_MAX];
    FILE *out;

    snprintf(name, sizeof(name), "dir-%zu", strlen(folder) - 1);
    if (record_path(path, name) && (out = fopen(path, "we")) != NULL) {
        fclose(out);
    }
}

/* path: of fd, with a slash at the end. */
static void
record_sync(int fd, const char *path)
{
    const char *folder = getenv("FAULTDISK_FOLDER");
    struct stat status;

    if (getenv("FAULTDISK_SYNCED") == NULL || folder == NULL ||
        fstat(fd, &status) != 0) {
        return;
    }
    if (S_ISDIR(status.st_mode) && strcmp(path, folder) == 0) {
        record_names(fd);
    }
    else if (S_ISDIR(status.st_mode) &&
             strncmp(folder, path, strlen(path)) == 0) {
        record_holding_folder(path);
    }
    else if (S_ISREG(status.st_mode) && in_folder(path)) {
        record_file(fd, &status);
    }
}

static int
sync_by(const char *name, int fd)
{
    int (*next)(int);
    char path[PATH_MAX] = "";
    int rc;

    *(void **)&next = dlsym(RTLD_NEXT, name);
    if (is_data(fd, path, sizeof(path))) {
        wait_while_stalled();
        wait_as_slow();
        if (mode_is("sync")) {
            errno = EIO;
            return -1;
        }
    }
    rc = next(fd);
    if (rc == 0) {
        record_sync(fd, path);
    }
    return rc;
}

int
fsync(int fd)
{
    return sync_by("fsync", fd);
}

int
fdatasync(int fd)
{
    return sync_by("fdatasync", fd);
}

static int
open_unless_refused(const char *name, const char *path, int flags, mode_t mode)
{
    int (*next)(const char *, int, ...);

    *(void **)&next = dlsym(RTLD_NEXT, name);
    if (in_folder(path) && mode_is("files")) {
        errno = EMFILE;
        return -1;
    }
    return next(path, flags, mode);
}

static mode_t
mode_argument(int flags, va_list arguments)
{
    return (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
}

int
open(const char *path, int flags, ...)
{
    va_list arguments;
    mode_t mode;

    va_start(arguments, flags);
    mode = mode_argument(flags, arguments);
    va_end(arguments);
    return open_unless_refused("open", path, flags, mode);
}

int
open64(const char *path, int flags, ...)
{
    va_list arguments;
    mode_t mode;

    va_start(arguments, flags);
    mode = mode_argument(flags, arguments);
    va_end(arguments);
    return open_unless_refused("open64", path, flags, mode);
}

int
connect(int fd, const struct sockaddr *address, socklen_t size_bytes)
{
    int (*next)(int, const struct sockaddr *, socklen_t);
    const char *port = getenv("FAULTNET_PORT");
    const char *network = getenv("FAULTNET_NETWORK");
    struct sockaddr_in to;
    char text[32];

    *(void **)&next = dlsym(RTLD_NEXT, "connect");
    if (port == NULL || network == NULL || address->sa_family != AF_INET ||
        size_bytes < sizeof(to)) {
        return next(fd, address, size_bytes);
    }
    memcpy(&to, address, sizeof(to));
    if (ntohs(to.sin_port) == atoi(port) &&
        ntohl(to.sin_addr.s_addr) >> 8 == INADDR_LOOPBACK >> 8) {
        snprintf(text, sizeof(text), "%s.%u", network,
                 ntohl(to.sin_addr.s_addr) & 0xff);
        inet_pton(AF_INET, text, &to.sin_addr);
    }
    return next(fd, (const struct sockaddr *)&to, sizeof(to));
}
