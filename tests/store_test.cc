// Tests of the store with truncated and damaged logs, full disks, failed syncs
// and crashes while a snapshot is written; and tests of the settings.

#include <glib.h>
#include <glib/gstdio.h>
#include <gtest/gtest.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "node/settings.h"
#include "node/store.h"
#include <sys/stat.h>
#include <unistd.h>
}

namespace {

// A temporary data folder.
struct Folder {
    std::string path;
    Folder()
    {
        char name[] = "/tmp/filbertpath-store-XXXXXX";
        path = g_mkdtemp(name);
    }
    ~Folder()
    {
        for (const auto &f : files("")) {
            g_unlink((path + "/" + f).c_str());
        }
        g_rmdir(path.c_str());
    }
    std::vector<std::string> files(const std::string &prefix) const
    {
        std::vector<std::string> out;
        GDir *dir = g_dir_open(path.c_str(), 0, nullptr);
        while (const char *name = dir ? g_dir_read_name(dir) : nullptr) {
            if (std::string(name).rfind(prefix, 0) == 0) {
                out.push_back(name);
            }
        }
        if (dir) {
            g_dir_close(dir);
        }
        return out;
    }
    std::string log() const { return path + "/" + files("log-").at(0); }
};

std::string read_file(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

void write_file(const std::string &path, const std::string &data)
{
    std::ofstream(path, std::ios::binary) << data;
}

// A store that is open for the lifetime of the object, and what it read.
struct Opened {
    store *s = nullptr;
    raft_init init;
    char why[300] = "";
    enum fp_err err;
    enum fp_err prepared = FP_ERR_DISK;

    explicit Opened(const Folder &f, const store_io *io = &STORE_IO)
    {
        memset(&init, 0, sizeof(init));
        err = store_open(f.path.c_str(), io, &s, &init, why, sizeof(why));
        if (err == FP_OK) {
            prepared = store_prepare(s);
        }
    }
    ~Opened()
    {
        auto *e = (raft_entry *)init.entries.items;
        for (uint32_t i = 0; i < init.entries.count; i++) {
            fp_blob_free(&e[i].data);
        }
        g_free(init.entries.items);
        fp_blob_free(&init.snapshot.data);
        fp_record_free(&RAFT_MEMBERS_SCHEMA, &init.snapshot.members);
        store_close(s);
    }
    void close()
    {
        store_close(s);
        s = nullptr;
    }
    enum fp_err append(uint64_t index, uint64_t term, const char *text)
    {
        fp_list bytes = {nullptr, 0};
        raft_entry e = {index, term, RAFT_CHANGE,
                        {(uint8_t *)text, (uint32_t)strlen(text)}};
        store_pack_entry(&bytes, &e);
        auto result = store_append(s, bytes.items, bytes.count);
        g_free(bytes.items);
        return result;
    }
    std::string text(uint32_t i) const
    {
        auto *e = (raft_entry *)init.entries.items;
        return {(char *)e[i].data.data, e[i].data.size_bytes};
    }
};

// Writes entries 1 to count, each in a frame of its own.
void fill(const Folder &f, int count)
{
    Opened o(f);
    ASSERT_EQ(o.err, FP_OK) << o.why;
    for (int i = 1; i <= count; i++) {
        ASSERT_EQ(o.append((uint64_t)i, 1, ("v" + std::to_string(i)).c_str()),
                  FP_OK);
    }
}

TEST(Store, KeepsEntriesVoteAndIdentity)
{
    Folder f;
    uint64_t id;
    {
        Opened o(f);
        id = o.init.id;
        fp_list bytes = {nullptr, 0};
        const raft_vote vote = {7, 42, 43};
        store_pack_vote(&bytes, &vote);
        store_append(o.s, bytes.items, bytes.count);
        g_free(bytes.items);
        o.append(1, 1, "a");
        o.append(2, 1, "b");
        o.append(3, 1, "c");
        o.append(2, 2, "B"); // replaces entries 2 and 3
    }
    Opened o(f);
    EXPECT_EQ(o.init.id, id);
    EXPECT_EQ(o.init.vote.term, 7u);
    EXPECT_EQ(o.init.vote.voted_for, 42u);
    EXPECT_EQ(o.init.vote.leased_to, 43u);
    ASSERT_EQ(o.init.entries.count, 2u);
    EXPECT_EQ(o.text(1), "B");
    Opened second(f);
    EXPECT_EQ(second.err, FP_ERR_DISK); // the folder is locked
}

// A crash leaves any prefix of the last frame on disk: opening the store drops
// it, keeps all frames before it, and can append.
TEST(Store, IncompleteLastFrameIsTruncated)
{
    Folder f;
    fill(f, 5);
    std::string whole = read_file(f.log());
    Folder g;
    fill(g, 4);
    size_t four = read_file(g.log()).size();
    for (size_t cut = four; cut < whole.size(); cut++) {
        write_file(f.log(), whole.substr(0, cut));
        Opened o(f);
        ASSERT_EQ(o.err, FP_OK) << "cut at " << cut << ": " << o.why;
        ASSERT_EQ(o.init.entries.count, 4u);
        ASSERT_EQ(o.append(5, 2, "again"), FP_OK);
    }
    Opened o(f);
    ASSERT_EQ(o.init.entries.count, 5u);
    EXPECT_EQ(o.text(4), "again");
}

// Damage to any byte before the last frame is reported; the entries must not
// be dropped as if they were an incomplete last frame.
TEST(Store, DamageBeforeLastFrameIsRefused)
{
    Folder f;
    fill(f, 5);
    std::string whole = read_file(f.log());
    Folder g;
    fill(g, 4);
    size_t four = read_file(g.log()).size();
    for (size_t at = 0; at < four; at++) {
        std::string bad = whole;
        bad[at] = (char)(bad[at] ^ 0x5a);
        write_file(f.log(), bad);
        Opened o(f);
        ASSERT_EQ(o.err, FP_ERR_CORRUPT) << "byte " << at;
        ASSERT_NE(strstr(o.why, "damaged at offset"), nullptr) << o.why;
    }
}

// Makes writes fail with ENOSPC and syncs with EIO after a number of calls.
struct FaultyIo {
    int writes_left = 1000000;
    int syncs_left = 1000000;
    bool short_writes = false;
};

ssize_t faulty_write(void *ctx, int fd, const void *data, size_t size)
{
    auto *f = (FaultyIo *)ctx;
    if (f->writes_left-- <= 0) {
        errno = ENOSPC;
        return -1;
    }
    return write(fd, data, f->short_writes && size > 3 ? size / 2 : size);
}

int faulty_sync(void *ctx, int fd)
{
    if (((FaultyIo *)ctx)->syncs_left-- <= 0) {
        errno = EIO;
        return -1;
    }
    return fsync(fd);
}

// Kind 0: a write fails; kind 1: a sync fails.
TEST(Store, FailedWriteOrSyncFailsAllLaterWrites)
{
    for (int kind = 0; kind < 2; kind++) {
        Folder f;
        fill(f, 3);
        FaultyIo faulty;
        store_io io = {faulty_write, faulty_sync, &faulty};
        {
            Opened o(f, &io);
            ASSERT_EQ(o.err, FP_OK);
            faulty.short_writes = true;
            ASSERT_EQ(o.append(4, 1, "four"), FP_OK);
            (kind == 0 ? faulty.writes_left : faulty.syncs_left) = 0;
            EXPECT_EQ(o.append(5, 1, "five"), FP_ERR_DISK);
            // It is unknown what reached the disk, so the store refuses later
            // writes although the disk would accept them.
            faulty.writes_left = faulty.syncs_left = 1000;
            EXPECT_EQ(o.append(5, 1, "five"), FP_ERR_DISK);
        }
        Opened o(f);
        ASSERT_EQ(o.err, FP_OK) << o.why;
        EXPECT_GE(o.init.entries.count, 4u);
        EXPECT_EQ(o.text(3), "four");
    }
}

// A failure could not be told from another: a full disk, a failed sync, a lack
// of descriptors.
TEST(Store, AFailureNamesCallFileErrorAndSizes)
{
    Folder f;
    FaultyIo faulty;
    store_io io = {faulty_write, faulty_sync, &faulty};
    Opened o(f, &io);
    ASSERT_EQ(o.err, FP_OK);
    EXPECT_EQ(store_last_failure(o.s)->operation, nullptr);
    ASSERT_EQ(o.append(1, 1, "one"), FP_OK);
    uint64_t before = store_log_bytes(o.s);
    faulty.writes_left = 1; // the header is written
    EXPECT_EQ(o.append(2, 1, "two"), FP_ERR_DISK);
    const store_failure *failure = store_last_failure(o.s);
    EXPECT_STREQ(failure->operation, "write");
    EXPECT_EQ(f.path + "/" + failure->file, f.log());
    EXPECT_EQ(failure->error, ENOSPC);
    EXPECT_EQ(failure->offset_bytes, before + 24);
    EXPECT_GT(failure->size_bytes, 0u);
    EXPECT_EQ(failure->folder_bytes, before + 24 + 17); // and the identity
}

// A crash at any write (kind 0) or sync (kind 1) of store_write_snapshot()
// leaves the old files or the new ones, and loses no entry.
TEST(Store, CrashAtAnyStepOfASnapshot)
{
    for (int kind = 0; kind < 2; kind++) {
        for (int step = 0; step < 9; step++) {
            Folder f;
            fill(f, 6);
            FaultyIo faulty;
            store_io io = {faulty_write, faulty_sync, &faulty};
            {
                Opened o(f, &io);
                ASSERT_EQ(o.err, FP_OK);
                (kind == 0 ? faulty.writes_left : faulty.syncs_left) = step;
                raft_snapshot snap = {};
                snap.last_index = 4;
                snap.last_term = 1;
                snap.data = {(uint8_t *)"state", 5};
                fp_list bytes = {nullptr, 0};
                const raft_vote vote = {3, 1, 1};
                store_pack_vote(&bytes, &vote);
                for (uint64_t i = 5; i <= 6; i++) {
                    std::string v = "v" + std::to_string(i);
                    raft_entry e = {i, 1, RAFT_CHANGE,
                                    {(uint8_t *)v.data(), 2}};
                    store_pack_entry(&bytes, &e);
                }
                store_write_snapshot(o.s, &snap, bytes.items, bytes.count);
                g_free(bytes.items);
            }
            Opened o(f);
            ASSERT_EQ(o.err, FP_OK) << o.why;
            uint64_t first =
                ((raft_entry *)o.init.entries.items)[0].index;
            uint64_t last = first + o.init.entries.count - 1;
            EXPECT_EQ(last, 6u) << "kind " << kind << ", step " << step;
            EXPECT_EQ(first, o.init.snapshot.last_index + 1);
            EXPECT_EQ(o.text(o.init.entries.count - 1), "v6");
        }
    }
}

// Rewrites everything: a snapshot up to last_index (0: none), a vote and the
// entries after it up to 6.
fp_err rewrite(Opened &o, uint64_t last_index)
{
    raft_snapshot snap = {};
    fp_list bytes = {nullptr, 0};
    const raft_vote vote = {9, 7, 7};
    snap.last_index = last_index;
    snap.last_term = last_index > 0 ? 1 : 0;
    snap.data = {(uint8_t *)"state", 5};
    store_pack_vote(&bytes, &vote);
    for (uint64_t i = last_index + 1; i <= 6; i++) {
        std::string v = "v" + std::to_string(i);
        raft_entry e = {i, 1, RAFT_CHANGE, {(uint8_t *)v.data(), 2}};
        store_pack_entry(&bytes, &e);
    }
    fp_err err = store_rewrite(o.s, &snap, bytes.items, bytes.count);
    g_free(bytes.items);
    return err;
}

// A store that has failed takes writes again after a rewrite, whichever step
// of it failed at first, and no entry is lost before or after.
TEST(Store, ARewriteEndsAFailureAtAnyStep)
{
    for (int kind = 0; kind < 2; kind++) {
        for (int step = 0; step < 7; step++) {
            for (uint64_t snapshot : {0, 4}) {
                Folder f;
                fill(f, 6);
                FaultyIo faulty;
                store_io io = {faulty_write, faulty_sync, &faulty};
                uint64_t id;
                int *left = kind == 0 ? &faulty.writes_left
                                      : &faulty.syncs_left;
                {
                    Opened o(f, &io);
                    ASSERT_EQ(o.prepared, FP_OK);
                    id = o.init.id;
                    *left = 0;
                    EXPECT_EQ(o.append(7, 1, "v7"), FP_ERR_DISK);
                    *left = step;
                    fp_err err = rewrite(o, snapshot);
                    EXPECT_EQ(store_has_failed(o.s), err != FP_OK);
                    *left = 1000;
                    EXPECT_EQ(o.append(7, 2, "w7"), err);
                }
                Opened o(f, &io); // a restart instead of another rewrite
                ASSERT_EQ(o.err, FP_OK) << o.why;
                ASSERT_GE(o.init.entries.count, 1u);
                EXPECT_EQ(((raft_entry *)o.init.entries.items)[0].index,
                          o.init.snapshot.last_index + 1);
                EXPECT_GE(o.init.snapshot.last_index + o.init.entries.count,
                          6u);
                EXPECT_EQ(o.init.id, id);
                *left = 1000;
                EXPECT_EQ(rewrite(o, snapshot), FP_OK);
                EXPECT_EQ(o.append(7, 3, "x7"), FP_OK);
                EXPECT_EQ(f.files("log-").size(), 1u);
                EXPECT_EQ(f.files("").size(), snapshot > 0 ? 3u : 2u);
                o.close();
                Opened again(f);
                ASSERT_EQ(again.err, FP_OK) << again.why;
                EXPECT_EQ(again.init.vote.term, 9u);
                EXPECT_EQ(again.text(again.init.entries.count - 1), "x7");
            }
        }
    }
}

// A frame whose sync failed may be in the page cache and not on the disk: a
// process that starts then must not take it for synced.
TEST(Store, AFrameWhoseSyncFailedIsNotReadByALaterProcess)
{
    Folder f;
    fill(f, 3);
    FaultyIo faulty;
    store_io io = {faulty_write, faulty_sync, &faulty};
    {
        Opened o(f, &io);
        faulty.syncs_left = 0;
        EXPECT_EQ(o.append(4, 1, "four"), FP_ERR_DISK);
        EXPECT_STREQ(store_last_failure(o.s)->operation, "sync");
    }
    Opened o(f);
    ASSERT_EQ(o.err, FP_OK) << o.why;
    EXPECT_EQ(o.init.entries.count, 3u);
}

// What a killed process wrote last may be in the page cache only: it is synced
// before the store takes writes, and a start with a disk that fails is no error.
TEST(Store, AStartWithAFailingDiskReadsTheStateAndWaitsForARewrite)
{
    for (int kind = 0; kind < 3; kind++) {
        Folder f;
        FaultyIo faulty;
        store_io io = {faulty_write, faulty_sync, &faulty};
        if (kind < 2) {
            fill(f, 6);
        }
        (kind == 1 ? faulty.syncs_left : faulty.writes_left) = 0;
        faulty.syncs_left = kind == 0 ? 1 : faulty.syncs_left;
        Opened o(f, &io);
        ASSERT_EQ(o.err, FP_OK) << o.why;
        EXPECT_EQ(o.prepared, FP_ERR_DISK) << "kind " << kind;
        EXPECT_TRUE(store_has_failed(o.s));
        EXPECT_EQ(o.init.entries.count, kind < 2 ? 6u : 0u);
        EXPECT_EQ(o.append(7, 1, "v7"), FP_ERR_DISK);
        faulty.syncs_left = faulty.writes_left = 1000;
        EXPECT_EQ(o.append(7, 1, "v7"), FP_ERR_DISK);
        EXPECT_EQ(rewrite(o, 0), FP_OK);
        EXPECT_EQ(o.append(7, 1, "v7"), FP_OK);
        o.close();
        Opened again(f);
        ASSERT_EQ(again.err, FP_OK) << again.why;
        EXPECT_EQ(again.init.id, o.init.id);
        EXPECT_EQ(again.init.entries.count, 7u);
    }
}

// Remembers what was synced, by inode; fails while a number of syncs is left.
struct SyncedFolders {
    std::set<ino_t> inodes;
    int failures_left = 0;
};

int remember_sync(void *ctx, int fd)
{
    auto *synced = (SyncedFolders *)ctx;
    struct stat status;
    if (synced->failures_left-- > 0) {
        errno = EIO;
        return -1;
    }
    if (fstat(fd, &status) == 0) {
        synced->inodes.insert(status.st_ino);
    }
    return fsync(fd);
}

ssize_t plain_write(void *, int fd, const void *data, size_t size)
{
    return write(fd, data, size);
}

// A data folder that the host had created itself was gone after a loss of power,
// with all that was synced in it: the folder that holds it had not been synced.
TEST(Store, AFolderThatTheHostCreatesIsSyncedInTheOneThatHoldsIt)
{
    for (int failures = 0; failures < 3; failures++) {
        Folder top;
        Folder f;
        std::string own_path = f.path;
        SyncedFolders synced;
        synced.failures_left = failures;
        store_io io = {plain_write, remember_sync, &synced};
        f.path = top.path + "/disk/cell";
        {
            Opened o(f, &io);
            ASSERT_EQ(o.err, FP_OK) << o.why;
            if (failures > 0) {
                EXPECT_EQ(o.prepared, FP_ERR_DISK);
                synced.failures_left = 0;
                EXPECT_EQ(rewrite(o, 0), FP_OK);
            }
            EXPECT_EQ(o.append(1, 1, "v1"), FP_OK);
        }
        for (const char *holding : {"", "/disk"}) {
            struct stat status;
            ASSERT_EQ(stat((top.path + holding).c_str(), &status), 0);
            EXPECT_EQ(synced.inodes.count(status.st_ino), 1u)
                << "'" << holding << "' after " << failures << " failures";
        }
        for (const auto &name : f.files("")) {
            g_unlink((f.path + "/" + name).c_str());
        }
        g_rmdir(f.path.c_str());
        g_rmdir((top.path + "/disk").c_str());
        f.path = own_path;
    }
}

// An identity file that can't be read now was taken for a missing one: the
// replica lost its vote under its old identity.
TEST(Store, AnIdentityThatCannotBeReadIsNotReplaced)
{
    Folder f;
    fill(f, 1);
    std::string path = f.path + "/identity";
    std::string text = read_file(path);
    g_unlink(path.c_str());
    ASSERT_EQ(g_mkdir(path.c_str(), 0700), 0);
    {
        Opened o(f);
        EXPECT_EQ(o.err, FP_ERR_DISK);
    }
    EXPECT_EQ(f.files("identity").size(), 1u);
    g_rmdir(path.c_str());
    write_file(path, text);
    Opened o(f);
    EXPECT_EQ(o.err, FP_OK);
}

// Writes a snapshot up to an index, and a new log with a vote.
fp_err write_snapshot(Opened &o, uint64_t last_index)
{
    raft_snapshot snap;
    fp_list bytes = {nullptr, 0};
    const raft_vote vote = {2, 7, 7};
    memset(&snap, 0, sizeof(snap));
    snap.last_index = last_index;
    snap.last_term = 2;
    store_pack_vote(&bytes, &vote);
    fp_err err = store_write_snapshot(o.s, &snap, bytes.items, bytes.count);
    g_free(bytes.items);
    return err;
}

// A snapshot received from the leader covers more than the log that it
// replaces. A power failure may undo the removal of that log file; its entries
// must be ignored, and the gap after them must not count as damage.
TEST(Store, OlderLogThatReappearsAfterASnapshotIsIgnored)
{
    Folder f;
    fill(f, 5);
    std::string old_path = f.log();
    std::string old_log = read_file(old_path);
    {
        Opened o(f);
        ASSERT_EQ(write_snapshot(o, 20), FP_OK);
        ASSERT_EQ(o.append(21, 2, "after"), FP_OK);
        ASSERT_EQ(o.append(22, 2, "later"), FP_OK);
    }
    write_file(old_path, old_log);
    Opened o(f);
    ASSERT_EQ(o.err, FP_OK) << o.why;
    EXPECT_EQ(o.init.snapshot.last_index, 20u);
    ASSERT_EQ(o.init.entries.count, 2u);
    EXPECT_EQ(o.text(0), "after");
}

// A log with an incomplete last frame is truncated when it is opened; if its
// removal and that truncation are undone by a loss of power, it comes back with
// the incomplete frame.
TEST(Store, OlderLogThatReappearsWithAnIncompleteFrameIsIgnored)
{
    Folder f;
    fill(f, 5);
    std::string old_path = f.log();
    std::string old_log = read_file(old_path) + "FPL1 and some bytes";
    write_file(old_path, old_log);
    {
        Opened o(f);
        ASSERT_EQ(o.err, FP_OK) << o.why;
        ASSERT_EQ(write_snapshot(o, 20), FP_OK);
        ASSERT_EQ(o.append(21, 2, "after"), FP_OK);
    }
    write_file(old_path, old_log);
    Opened o(f);
    ASSERT_EQ(o.err, FP_OK) << o.why;
    EXPECT_EQ(o.init.snapshot.last_index, 20u);
    ASSERT_EQ(o.init.entries.count, 1u);
    EXPECT_EQ(o.text(0), "after");
}

// Missing entries that no snapshot covers are damage.
TEST(Store, GapInTheLogIsRefused)
{
    Folder f;
    fill(f, 3);
    {
        Opened o(f);
        ASSERT_EQ(o.append(9, 1, "gap"), FP_OK);
    }
    Opened o(f);
    EXPECT_EQ(o.err, FP_ERR_CORRUPT);
}

// Random damage and truncation: opening the store fails, or every entry it
// reads is right.
TEST(Store, RandomDamageYieldsNoWrongEntry)
{
    std::mt19937_64 rng(3);
    Folder f;
    fill(f, 8);
    std::string whole = read_file(f.log());
    for (int round = 0; round < 400; round++) {
        std::string bad = whole;
        for (uint64_t n = 1 + rng() % 8; n > 0; n--) {
            bad[rng() % bad.size()] = (char)rng();
        }
        bad.resize(rng() % (bad.size() + 1));
        write_file(f.log(), bad);
        Opened o(f);
        if (o.err == FP_OK) {
            for (uint32_t i = 0; i < o.init.entries.count; i++) {
                ASSERT_EQ(o.text(i), "v" + std::to_string(i + 1));
            }
        }
    }
}

// ---- settings --------------------------------------------------------------

std::string load_error(const std::string &text)
{
    Folder f;
    std::string path = f.path + "/s.yaml";
    char why[700] = "";
    settings *s;
    write_file(path, text);
    if (settings_load(path.c_str(), &s, why, sizeof(why)) == FP_OK) {
        settings_free(s);
        return "";
    }
    return why;
}

const std::string HASH(64, 'a');
const std::string GOOD = "host: h1\noperator_key_hash: " + HASH +
                         "\ntarget_key_hash: " + HASH +
                         "\nhosts:\n  - name: h1\n    data_centre: d\n"
                         "    bus: 127.0.0.1:1\n    http: 127.0.0.1:2\n";

TEST(Settings, ErrorsNameFieldAndProblem)
{
    EXPECT_EQ(load_error(GOOD), "");
    EXPECT_EQ(load_error(GOOD + "limits: {memory_mb: 120, max_fds: 3075, "
                                "link_mbps: 1.5}\n"),
              "");
    const struct {
        std::string text;
        const char *expected;
    } cases[] = {
        {GOOD + "colour: blue\n", "colour"},
        {GOOD + "times:\n  fresh_ms: 9000\n",
         "times.fresh_ms: 9000 is outside 500 to 2500 ms"},
        {GOOD + "times:\n  fresh_ms: soon\n", "fresh_ms"},
        {GOOD + "times:\n  heartbeat_ms: 400\n", "times.election_min_ms"},
        {GOOD + "limits:\n  memory_mb: 4\n",
         "limits.memory_mb: 4 is outside 16"},
        {GOOD + "limits:\n  link_mbps: -1\n", "limits.link_mbps: -1"},
        {GOOD + "limits:\n  max_fds: 8\n", "limits.max_fds: 8 is outside"},
        {GOOD + "limits:\n  disk_mb: 3\n", "limits.disk_mb: 3 is outside"},
        {GOOD + "limits:\n  cores: 2\n", "cores"},
        {GOOD + "log:\n  level: loud\n", "log.level: 'loud'"},
        {GOOD + "snapshot_entries: 5\n", "snapshot_entries: 5 is outside"},
        {GOOD + "  - name: h1\n    data_centre: d\n    bus: 127.0.0.1:3\n"
                "    http: 127.0.0.1:4\n",
         "two are named 'h1'"},
        {"host: h2" + GOOD.substr(8), "host: 'h2' is not one of hosts"},
        {"hosts: 3\n", "hosts"},
        {"", "s.yaml"},
    };
    for (const auto &one : cases) {
        std::string why = load_error(one.text);
        EXPECT_NE(why.find(one.expected), std::string::npos)
            << "got: " << why << "\nfor: " << one.text;
    }
    std::string open = GOOD;
    open.replace(open.find("127.0.0.1:1"), 11, "10.0.0.1:1");
    EXPECT_NE(load_error(open).find("curve: is missing"), std::string::npos);
}

// Guards against a host that does not start, or stops following the list of
// seeds, because of one seed that is no address.
TEST(Settings, AnInvalidSeedLeavesTheOthersInForce)
{
    auto text = [](const std::string &seeds) {
        return "host: 127.0.0.1\ntrusted_network: true\nfleet:\n"
               "  control: 127.0.0.1:5\n  data_centre: d\n"
               "  first_start: true\n  bus_port: 6\n  lease_ms: 6000\n"
               "  stop_ms: 900\n  grace_s: 6\n  keep_s: 120\n"
               "  far_times: 1.5\n  seeds: [" + seeds + "]\n";
    };
    Folder f;
    const std::string path = f.path + "/s.yaml";
    for (const char *invalid : {"127.0.0.3:99999", "127.0.0.3:0", "127.0.0.3",
                            "127.0.0.333:5", "host:5", "x", ":",
                            "127.0.0.3:99999999999999999999",
                            "h1.a-data-centre-with-a-name-of-over-sixty-"
                            "characters.example.org:5"}) {
        settings *s = nullptr;
        char why[700] = "";
        write_file(path, text("\"" + std::string(invalid) +
                              "\", \"127.0.0.1:5\", \"" + invalid +
                              "\", \"127.0.0.2:5\""));
        ASSERT_EQ(settings_load(path.c_str(), &s, why, sizeof(why)), FP_OK)
            << invalid << ": " << why;
        ASSERT_EQ(s->fleet->seeds_count, 2u);
        EXPECT_STREQ(s->fleet->seeds[0], "127.0.0.1:5");
        EXPECT_STREQ(s->fleet->seeds[1], "127.0.0.2:5");
        settings_free(s);
        write_file(path, text("\"" + std::string(invalid) + "\""));
        EXPECT_EQ(settings_load(path.c_str(), &s, why, sizeof(why)),
                  FP_ERR_BAD_REQUEST)
            << invalid;
        EXPECT_NE(std::string(why).find("fleet.seeds"), std::string::npos);
    }
}

TEST(Settings, ExamplesOfBothSitesLoad)
{
    for (const char *path : {"examples/kapnos.yaml",
                             "examples/vigilancia.yaml"}) {
        settings *s;
        char why[700] = "";
        ASSERT_EQ(settings_load(path, &s, why, sizeof(why)), FP_OK) << why;
        EXPECT_EQ(s->hosts_count, 6u);
        settings_free(s);
    }
}

} // namespace
