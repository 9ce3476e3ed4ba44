"""Append-only segments in one folder: bounded, repaired at the tail, read oldest first.

A segment is a file `NUMBER.segment` (`segment_format`). What is invalid at the end of the last one is a
torn tail and is cut off; what is invalid elsewhere is skipped up to the next valid record, and reported
with its file and offset. All calls block: they belong on a thread of their own.
"""

import errno
from pathlib import Path

from ravenshelf.store.errors import DamagedSegmentError
from ravenshelf.store.file_system import FileSystem
from ravenshelf.store.segment_format import (
    SkippedRange,
    StoredRecord,
    pack,
    segment_header,
    unpack,
)

SUFFIX = ".segment"


def segments_to_drop(segment_sizes: dict[int, int], limit_bytes: int, writing: int | None) -> list[int]:
    """Which segments to drop so that all fit into the limit: the oldest first, never the one that is written.

    `segment_sizes` are the bytes of each segment by its number. Pure.
    """
    total = sum(segment_sizes.values())
    dropped = []
    for number in sorted(segment_sizes):
        if total <= limit_bytes or number == writing:
            break
        total -= segment_sizes[number]
        dropped.append(number)
    return dropped


class Segments:
    """A folder of segments.

    `append` returns once all is written (with `sync`: on disk); what it returned from is there after a
    kill. A write that fails leaves the segment as it was before. Beyond `size_limit_bytes` the oldest
    segments are dropped; a segment ends at `segment_bytes`. `is_strict`: damage that is no torn tail raises
    DamagedSegmentError. `is_readonly`: nothing is repaired or written.
    """

    def __init__(
        self,
        folder: Path,
        size_limit_bytes: int,
        segment_bytes: int,
        file_system: FileSystem | None = None,
        sync_on_append: bool = False,
        is_strict: bool = False,
        is_readonly: bool = False,
    ) -> None:
        self.folder = folder
        self.size_limit_bytes = size_limit_bytes
        self.segment_bytes = segment_bytes
        self.sync_on_append = sync_on_append
        self.is_strict = is_strict
        self.is_readonly = is_readonly
        self.file_system = file_system or FileSystem()
        self.skipped_ranges: list[SkippedRange] = []
        self.dropped_record_count = 0  # removed unread to stay within the limit
        self.record_counts: dict[int, int] = {}  # records, by segment
        self.segment_sizes: dict[int, int] = {}  # bytes, by segment
        self._handle: int | None = None
        self._writing: int | None = None  # the segment that is written
        self._next_number = 1
        folder.mkdir(parents=True, exist_ok=True)
        self._recover()

    def path(self, number: int) -> Path:
        """The file of a segment."""
        return self.folder / f"{number:012}{SUFFIX}"

    # --- start ---

    def _recover(self) -> None:
        found = sorted(int(path.stem) for path in self.folder.glob(f"*{SUFFIX}") if path.stem.isdigit())
        for number in found:
            self._recover_segment(number, is_newest=number == found[-1])
        if found:
            self._next_number = found[-1] + 1

    def _recover_segment(self, number: int, is_newest: bool) -> None:
        path = self.path(number)
        data = self.file_system.read(path)
        content = unpack(data, path.name, is_newest)
        self.skipped_ranges += content.skipped_ranges
        if self.is_strict:
            self._refuse_damage(content.skipped_ranges)
        size = len(data)
        if content.skipped_ranges and content.skipped_ranges[-1].is_torn_tail and not self.is_readonly:
            size = content.skipped_ranges[-1].offset
            self._cut_off(path, size)
        self.segment_sizes[number] = size
        self.record_counts[number] = len(content.records)
        if not content.records and not self.is_readonly:
            self.drop(number)

    def _refuse_damage(self, skipped_ranges: list[SkippedRange]) -> None:
        for damage in skipped_ranges:
            if not damage.is_torn_tail:
                raise DamagedSegmentError(
                    damage.file,
                    f"{damage.size_bytes} bytes from {damage.offset} on are damaged",
                    damage.offset,
                    damage.size_bytes,
                )

    def _cut_off(self, path: Path, size: int) -> None:
        handle = self.file_system.open(path)
        try:
            self.file_system.truncate(handle, size)
        finally:
            self.file_system.close(handle)

    def __len__(self) -> int:
        return sum(self.record_counts.values())

    # --- write ---

    def append(self, bodies: list[bytes]) -> None:
        """Writes records, all or none. Raises OSError."""
        data = b"".join(map(pack, bodies))
        handle, number = self._segment_for(len(data))
        size_before = self.segment_sizes[number]
        try:
            self._write(handle, data)
            if self.sync_on_append:
                self.file_system.sync(handle)
        except OSError:
            self._undo(handle, size_before)
            raise
        self.segment_sizes[number] = size_before + len(data)
        self.record_counts[number] += len(bodies)
        for dropped in segments_to_drop(self.segment_sizes, self.size_limit_bytes, self._writing):
            self.dropped_record_count += self.record_counts[dropped]
            self.drop(dropped)

    def _segment_for(self, size: int) -> tuple[int, int]:
        """The handle and number of a segment with capacity for so many bytes."""
        handle = self._handle
        number = self._writing
        if handle is None or number is None or self.segment_sizes[number] + size > self.segment_bytes:
            return self._begin()
        return handle, number

    def _write(self, handle: int, data: bytes) -> None:
        """Writes all of it: a short write is no error, the rest is written after it."""
        written = 0
        while written < len(data):
            count = self.file_system.write(handle, data[written:])
            if count <= 0:
                raise OSError(errno.EIO, "nothing was written")
            written += count

    def _begin(self) -> tuple[int, int]:
        self.close()
        number = self._next_number
        header = segment_header()
        handle = self.file_system.open(self.path(number))
        try:
            self._write(handle, header)
        except OSError:
            self.file_system.close(handle)
            self.file_system.remove(self.path(number))
            raise
        if self.sync_on_append:
            self.file_system.sync_folder(self.folder)
        self._handle = handle
        self._writing = number
        self._next_number = number + 1
        self.segment_sizes[number] = len(header)
        self.record_counts[number] = 0
        return handle, number

    def _undo(self, handle: int, size: int) -> None:
        """Cuts off what was partly written; where that fails too, the segment ends here and its tail is
        skipped.
        """
        try:
            self.file_system.truncate(handle, size)
        except OSError:
            self.close()

    # --- read and drop ---

    def read_oldest(self) -> tuple[int, list[bytes]] | None:
        """The number and bodies of the oldest segment with records, which is then written no more.

        `drop` it once they are processed.
        """
        for number in sorted(self.record_counts):
            if not self.record_counts[number]:
                continue
            if number == self._writing:
                self.close()
            return number, [body for _, body in self._read(number)]
        return None

    def read_all(self) -> list[tuple[int, list[StoredRecord]]]:
        """Every segment's number and records, oldest first."""
        return [(number, self._read(number)) for number in sorted(self.segment_sizes)]

    def _read(self, number: int) -> list[StoredRecord]:
        path = self.path(number)
        return unpack(self.file_system.read(path), path.name, True).records

    def drop(self, number: int) -> None:
        """Removes a segment."""
        if number == self._writing:
            self.close()
        self.file_system.remove(self.path(number))
        self.segment_sizes.pop(number, None)
        self.record_counts.pop(number, None)

    def close(self) -> None:
        """Ends the segment that is written; the next record begins another."""
        if self._handle is not None:
            self.file_system.close(self._handle)
        self._handle = None
        self._writing = None
