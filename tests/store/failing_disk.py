"""File systems for tests of the store: one fails or loses power at a chosen call, one becomes full."""

import errno
import os
import random

from ravenshelf.store.file_system import FileSystem

SHORT_WRITE_PROBABILITY = 0.3


class FailingDisk(FileSystem):
    """A disk that fails or loses power, and with the power all or a part of the unsynced data.

    The calls are counted in `call_count`, from 1 on. Call `fail_at` fails; during call `lose_power_at` the
    power is lost. With `ignores_sync`, `sync` returns without having synced anything.
    """

    def __init__(self, fail_at=0, lose_power_at=0, seed=0, ignores_sync=False):
        self.call_count = 0
        self.fail_at = fail_at
        self.lose_power_at = lose_power_at
        self.ignores_sync = ignores_sync
        self.rng = random.Random(seed)
        self.synced_sizes = {}
        self.paths = {}
        self.is_off = False

    def _count_call(self, name):
        if self.is_off:
            raise OSError(errno.EIO, "no power")
        self.call_count += 1
        if self.call_count == self.fail_at:
            raise OSError(errno.ENOSPC if name == "write" else errno.EIO, name)
        if self.call_count == self.lose_power_at:
            self.is_off = True
            raise OSError(errno.EIO, "no power")

    def open(self, path):
        handle = super().open(path)
        self.paths[handle] = str(path)
        self.synced_sizes.setdefault(str(path), os.path.getsize(path))
        return handle

    def write(self, handle, data):
        if self.is_off or self.call_count + 1 == self.lose_power_at:
            # A random part of the data reaches the disk.
            super().write(handle, data[: self.rng.randrange(len(data) + 1)])
        self._count_call("write")
        is_short = self.rng.random() < SHORT_WRITE_PROBABILITY
        return super().write(handle, data[: max(1, len(data) // 2)] if is_short else data)

    def sync(self, handle):
        self._count_call("sync")
        if not self.ignores_sync:
            super().sync(handle)
            self.synced_sizes[self.paths[handle]] = os.fstat(handle).st_size

    def sync_folder(self, folder):
        self._count_call("sync")

    def remove(self, path):
        self._count_call("remove")
        super().remove(path)

    def lose_power(self):
        """Truncate each file to its synced size and a random part of the unsynced data."""
        for path, size in self.synced_sizes.items():
            if os.path.exists(path):
                unsynced_bytes = max(0, os.path.getsize(path) - size)
                os.truncate(path, size + self.rng.randrange(unsynced_bytes + 1))


class FullDisk(FileSystem):
    """A disk that writes at most `max_write_bytes` in a call and `capacity` bytes in total."""

    def __init__(self, capacity=10**9, max_write_bytes=10**9):
        self.capacity = capacity
        self.max_write_bytes = max_write_bytes

    def write(self, handle, data):
        if self.capacity <= 0:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        written_bytes = super().write(handle, data[: min(self.max_write_bytes, self.capacity)])
        self.capacity -= written_bytes
        return written_bytes
