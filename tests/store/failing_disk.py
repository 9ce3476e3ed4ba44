"""Helper for tests of the store: a file system that fails, or loses its power, at a chosen call."""

import errno
import os
import random

from ravenshelf.store.file_system import FileSystem

SHORT_WRITE = 0.3  # probability


class FailingDisk(FileSystem):
    """Loses what was not synced when its power goes.

    `calls` counts; at `fail_at` a call fails, at `lose_power_at` the power goes in it. With `ignores_sync`
    it only says that it has synced.
    """

    def __init__(self, fail_at=0, lose_power_at=0, seed=0, ignores_sync=False):
        self.calls = 0
        self.fail_at = fail_at
        self.lose_power_at = lose_power_at
        self.ignores_sync = ignores_sync
        self.rng = random.Random(seed)
        self.synced_sizes = {}
        self.paths = {}
        self.is_off = False

    def _call(self, name):
        if self.is_off:
            raise OSError(errno.EIO, "no power")
        self.calls += 1
        if self.calls == self.fail_at:
            raise OSError(errno.ENOSPC if name == "write" else errno.EIO, name)
        if self.calls == self.lose_power_at:
            self.is_off = True
            raise OSError(errno.EIO, "no power")

    def open(self, path):
        handle = super().open(path)
        self.paths[handle] = str(path)
        self.synced_sizes.setdefault(str(path), os.path.getsize(path))
        return handle

    def write(self, handle, data):
        if self.is_off or self.calls + 1 == self.lose_power_at:  # a part of it reaches the disk
            super().write(handle, data[: self.rng.randrange(len(data) + 1)])
        self._call("write")
        is_short = self.rng.random() < SHORT_WRITE
        return super().write(handle, data[: max(1, len(data) // 2)] if is_short else data)

    def sync(self, handle):
        self._call("sync")
        if not self.ignores_sync:
            super().sync(handle)
            self.synced_sizes[self.paths[handle]] = os.fstat(handle).st_size

    def sync_folder(self, folder):
        self._call("sync")

    def remove(self, path):
        self._call("remove")
        super().remove(path)

    def lose_power(self):
        """Of what was not synced a part is there."""
        for path, size in self.synced_sizes.items():
            if os.path.exists(path):
                unsynced = max(0, os.path.getsize(path) - size)
                os.truncate(path, size + self.rng.randrange(unsynced + 1))


class FullDisk(FileSystem):
    """Writes at most `most_at_once` bytes at a time and none beyond `capacity`."""

    def __init__(self, capacity=10**9, most_at_once=10**9):
        self.capacity = capacity
        self.most_at_once = most_at_once

    def write(self, handle, data):
        if self.capacity <= 0:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        written = super().write(handle, data[: min(self.most_at_once, self.capacity)])
        self.capacity -= written
        return written
