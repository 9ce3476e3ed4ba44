"""Append-only segments of checked records in one folder: bounded, repaired at the tail, read oldest first.

A segment is a file `NUMBER.segment`: a head (magic, version), then records of a head (size, xxh64 of size and body)
and a body. What is wrong at the end of the last one is a torn tail and is cut off; what is wrong elsewhere is
skipped to the next record that is whole and told with its file and offset. All calls block: they belong on a
thread of their own. `files` stands for the file system, so that tests can make it fail.
"""

import os
import struct
from dataclasses import dataclass
from pathlib import Path

import xxhash

from ravenshelf.errors import RavenshelfError

HEAD, RECORD = struct.Struct("<8sI"), struct.Struct("<4sIQ")
MAGIC, MARK, VERSION = b"rvnsegs\0", b"\xf5rec", 1
MOST_RECORD = 4 * 1024 * 1024


class DamagedSegmentError(RavenshelfError):
    """A folder of segments that can't be used; the text names the file and what was expected."""


class Files:
    """The system calls that a store makes."""

    def open(self, path: Path) -> int:
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, handle: int, data: bytes) -> int:
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        os.fsync(handle)

    def truncate(self, handle: int, size: int) -> None:
        os.ftruncate(handle, size)

    def close(self, handle: int) -> None:
        os.close(handle)

    def sync_folder(self, folder: Path) -> None:
        """A new file's name is on disk only once its folder is."""
        handle = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def remove(self, path: Path) -> None:
        path.unlink(missing_ok=True)

    def read(self, path: Path) -> bytes:
        return path.read_bytes()


@dataclass(frozen=True, slots=True)
class Skipped:
    """A stretch that holds no whole record."""

    file: str
    offset: int
    size_bytes: int
    torn: bool  # at the very end of the newest segment: a write that was cut off


def pack(body: bytes) -> bytes:
    if len(body) > MOST_RECORD:
        raise ValueError(f"a record of {len(body)} octets, at most {MOST_RECORD} expected")
    return RECORD.pack(MARK, len(body), _sum(body)) + body


def _sum(body: bytes) -> int:
    return xxhash.xxh64_intdigest(body, seed=len(body))


def unpack(data: bytes, file: str, newest: bool) -> tuple[list[tuple[int, bytes]], list[Skipped]]:
    """Records as (offset, body), and what had to be skipped. Pure."""
    if len(data) < HEAD.size and newest:
        return [], [Skipped(file, 0, len(data), True)] if data else []
    if len(data) < HEAD.size or data[:8] != MAGIC:
        raise DamagedSegmentError(f"{file}: expected a segment, not {data[:8]!r}")
    if (version := HEAD.unpack_from(data)[1]) != VERSION:
        raise DamagedSegmentError(f"{file}: expected version {VERSION}, not {version}")
    records, skipped, at = [], [], HEAD.size
    while at < len(data):
        body = _record(data, at)
        if body is not None:
            records.append((at, body))
            at += RECORD.size + len(body)
            continue
        begin, at = at, data.find(MARK, at + 1)
        while at >= 0 and _record(data, at) is None:
            at = data.find(MARK, at + 1)
        end = at if at >= 0 else len(data)
        skipped.append(Skipped(file, begin, end - begin, newest and at < 0))
        at = end
    return records, skipped


def _record(data: bytes, at: int) -> bytes | None:
    if at + RECORD.size > len(data):
        return None
    mark, size, total = RECORD.unpack_from(data, at)
    if mark != MARK or size > MOST_RECORD or at + RECORD.size + size > len(data):
        return None
    body = data[at + RECORD.size : at + RECORD.size + size]
    return body if _sum(body) == total else None


def surplus(sizes: dict[int, int], most: int, writing: int | None) -> list[int]:
    """Which segments go so that all fit into `most` octets: the oldest first, never the one that is written. Pure."""
    total, gone = sum(sizes.values()), []
    for number in sorted(sizes):
        if total <= most or number == writing:
            break
        total -= sizes[number]
        gone.append(number)
    return gone


class Segments:
    """`append` returns once all is written (and synced, where asked for); what it returned from is there after a
    kill. A write that fails leaves the segment as it was before. `strict`: damage that is no torn tail is refused;
    `readonly`: nothing is repaired or written."""

    def __init__(
        self,
        folder: Path,
        most: int,
        segment: int,
        files: Files | None = None,
        sync: bool = False,
        strict: bool = False,
        readonly: bool = False,
    ):
        self.folder, self.most, self.segment, self.sync = folder, most, segment, sync
        self.strict, self.readonly = strict, readonly
        self.files = files or Files()
        folder.mkdir(parents=True, exist_ok=True)
        self.skipped: list[Skipped] = []
        self.lost = 0  # records that were removed unread to keep within the bound
        self.counts: dict[int, int] = {}
        self.sizes: dict[int, int] = {}
        self.handle: int | None = None
        self.writing: int | None = None
        self._recover()

    def path(self, number: int) -> Path:
        return self.folder / f"{number:012}.segment"

    def _recover(self) -> None:
        found = sorted(int(p.stem) for p in self.folder.glob("*.segment") if p.stem.isdigit())
        for number in found:
            data = self.files.read(self.path(number))
            records, skipped = unpack(data, self.path(number).name, number == found[-1])
            self.skipped += skipped
            for lost in skipped if self.strict else ():
                if not lost.torn:
                    raise DamagedSegmentError(
                        f"{lost.file}: {lost.size_bytes} octets from {lost.offset} on are damaged"
                    )
            size = len(data)
            if skipped and skipped[-1].torn and not self.readonly:
                size = skipped[-1].offset
                handle = self.files.open(self.path(number))
                try:
                    self.files.truncate(handle, size)
                finally:
                    self.files.close(handle)
            self.sizes[number], self.counts[number] = size, len(records)
            if not records and not self.readonly:
                self.drop(number)
        self.next = found[-1] + 1 if found else 1

    def __len__(self) -> int:
        return sum(self.counts.values())

    def append(self, bodies: list[bytes]) -> None:
        data = b"".join(map(pack, bodies))
        if self.writing is None or self.sizes[self.writing] + len(data) > self.segment:
            self._begin()
        before = self.sizes[self.writing]
        try:
            self._write(self.handle, data)
            if self.sync:
                self.files.sync(self.handle)
        except OSError:
            self._undo(before)
            raise
        self.sizes[self.writing] = before + len(data)
        self.counts[self.writing] += len(bodies)
        for number in surplus(self.sizes, self.most, self.writing):
            self.lost += self.counts[number]
            self.drop(number)

    def _write(self, handle: int, data: bytes) -> None:
        """A short write is no error: the rest is written again."""
        written = 0
        while written < len(data):
            count = self.files.write(handle, data[written:])
            if count <= 0:
                raise OSError(5, "nothing was written")
            written += count

    def _begin(self) -> None:
        self.close()
        number, head = self.next, HEAD.pack(MAGIC, VERSION)
        handle = self.files.open(self.path(number))
        try:
            self._write(handle, head)
        except OSError:
            self.files.close(handle)
            self.files.remove(self.path(number))
            raise
        if self.sync:
            self.files.sync_folder(self.folder)
        self.handle, self.writing, self.next = handle, number, number + 1
        self.sizes[number], self.counts[number] = len(head), 0

    def _undo(self, size: int) -> None:
        """What was half written is cut off; where even that fails the segment is left, its end will be skipped."""
        try:
            self.files.truncate(self.handle, size)
        except OSError:
            self.close()

    def oldest(self) -> tuple[int, list[bytes]] | None:
        """The oldest segment with its records; it is then written to no more. `drop` it when they are done with."""
        for number in sorted(self.counts):
            if not self.counts[number]:
                continue
            if number == self.writing:
                self.close()
            records, _ = unpack(self.files.read(self.path(number)), self.path(number).name, True)
            return number, [body for _, body in records]
        return None

    def all(self) -> list[tuple[int, list[tuple[int, bytes]]]]:
        """Every segment with its records as (offset, body), oldest first."""
        return [
            (n, unpack(self.files.read(self.path(n)), self.path(n).name, True)[0]) for n in sorted(self.sizes)
        ]

    def drop(self, number: int) -> None:
        if number == self.writing:
            self.close()
        self.files.remove(self.path(number))
        self.sizes.pop(number, None)
        self.counts.pop(number, None)

    def close(self) -> None:
        if self.handle is not None:
            self.files.close(self.handle)
        self.handle = self.writing = None
