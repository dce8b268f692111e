/* faultdisk.c -- a disk that refuses or hangs, for tests with real processes
 *
 * A library to be preloaded into a host. It replaces the calls by which the
 * host writes its data folder, FAULTDISK_FOLDER (with a slash at the end). The
 * file FAULTDISK_MODE says how they fail; it is read at each call, and empty
 * or missing for a sound disk: full      writes fail with ENOSPC, after half
 * of the bytes if there are many snapshot  the same, but only for snapshots
 *   sync      syncs fail with EIO
 *   files     no file can be opened (EMFILE)
 *   stall     writes and syncs wait until the mode changes
 */
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/syscall.h>
#include <unistd.h>

#define STALL_POLL_US 20000u
#define SHORT_WRITE_MIN_BYTES 64u

/* Returns whether the mode is the given one. */
static bool
mode_is(const char *mode)
{
    const char *path = getenv("FAULTDISK_MODE");
    char text[16] = "";
    int fd = path == NULL ? -1
                          : (int)syscall(SYS_openat, AT_FDCWD, path,
                                         O_RDONLY | O_CLOEXEC);
    ssize_t size;

    if (fd < 0) {
        return false;
    }
    size = read(fd, text, sizeof(text) - 1);
    close(fd);
    text[size < 0 ? 0 : size] = '\0';
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

int
fsync(int fd)
{
    static int (*next)(int);
    char path[PATH_MAX];

    if (next == NULL) {
        *(void **)&next = dlsym(RTLD_NEXT, "fsync");
    }
    if (is_data(fd, path, sizeof(path))) {
        wait_while_stalled();
        if (mode_is("sync")) {
            errno = EIO;
            return -1;
        }
    }
    return next(fd);
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
