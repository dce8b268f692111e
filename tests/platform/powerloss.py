#!/usr/bin/env python3
"""A disk that forgets what was not synced when its host loses power.

  powerloss.py lose ROOT FOLDER [SEED]   ROOT/FOLDER becomes what was synced
  powerloss.py wipe ROOT FOLDER

The host runs with tests/faultdisk.c, which keeps a record of what was synced in
ROOT.synced: which folders, the names in the data folder, and the size of each
file, by links that outlive its names. Without a seed all that was not synced is
lost; otherwise, by chance, some of it is kept.
"""
import os
import random
import shutil
import sys


class Disk:
    """root is where the disk is mounted; the host creates the data folder."""

    def __init__(self, root, folder):
        self.root = os.path.abspath(root)
        self.folder = os.path.join(self.root, folder)
        self.record = self.root + ".synced"
        os.makedirs(self.root, exist_ok=True)
        os.makedirs(self.record, exist_ok=True)

    def environment(self, binary):
        library = os.path.join(os.path.dirname(binary), "faultdisk.so")
        return dict(os.environ, LD_PRELOAD=os.path.abspath(library),
                    FAULTDISK_FOLDER=self.folder + "/",
                    FAULTDISK_SYNCED=self.record,
                    ASAN_OPTIONS="verify_asan_link_order=0")

    def wipe(self):
        for path in (self.root, self.record):
            shutil.rmtree(path)
            os.makedirs(path)

    def folder_is_synced(self):
        """Whether each folder down to the data folder was synced in the one that
        holds it."""
        path = self.folder
        while path != self.root:
            path = os.path.dirname(path)
            if not os.path.exists(os.path.join(self.record,
                                               "dir-%d" % len(path))):
                return False
        return True

    def read_record(self, name):
        try:
            with open(os.path.join(self.record, name), encoding="utf-8") as f:
                return [line.split() for line in f]
        except FileNotFoundError:
            return []

    def lose_power(self, rng=None):
        if not os.path.isdir(self.folder):
            return
        if not self.folder_is_synced():
            self.wipe()
            return
        keeps_some = rng is not None and rng.random() < 0.4
        sizes = {inode: int(size) for inode, size in self.read_record("sizes")}
        synced = {name: inode for inode, name in self.read_record("names")}
        now = {name: str(os.stat(os.path.join(self.folder, name)).st_ino)
               for name in os.listdir(self.folder)}
        files = {}
        for name in sorted(synced.keys() | now.keys()):
            is_kept = keeps_some and rng.random() < 0.5
            inode = (now if is_kept else synced).get(name)
            if inode is not None:
                files[name] = self.read_file(name, inode, now, sizes,
                                             rng if keeps_some else None)
        self.wipe()
        os.makedirs(self.folder)
        for name, data in files.items():
            with open(os.path.join(self.folder, name), "wb") as out:
                out.write(data)
        self.record_all()

    def read_file(self, name, inode, now, sizes, rng):
        path = os.path.join(self.record, inode)
        if not os.path.exists(path):
            if now.get(name) != inode:
                return b""
            path = os.path.join(self.folder, name)
        with open(path, "rb") as f:
            data = f.read()
        size = min(sizes.get(inode, 0), len(data))
        if rng is not None:
            size = rng.randrange(size, len(data) + 1)
        return data[:size]

    def record_all(self):
        """All that is on the disk now is there for good."""
        path = self.folder
        while path != self.root:
            path = os.path.dirname(path)
            open(os.path.join(self.record, "dir-%d" % len(path)), "w").close()
        with open(os.path.join(self.record, "names"), "w") as names, \
                open(os.path.join(self.record, "sizes"), "w") as sizes:
            for name in os.listdir(self.folder):
                path = os.path.join(self.folder, name)
                status = os.stat(path)
                os.link(path, os.path.join(self.record, str(status.st_ino)))
                names.write("%d %s\n" % (status.st_ino, name))
                sizes.write("%d %d\n" % (status.st_ino, status.st_size))


def main():
    disk = Disk(sys.argv[2], sys.argv[3])
    if sys.argv[1] == "wipe":
        disk.wipe()
    else:
        disk.lose_power(random.Random(int(sys.argv[4]))
                        if len(sys.argv) > 4 else None)


if __name__ == "__main__":
    main()
