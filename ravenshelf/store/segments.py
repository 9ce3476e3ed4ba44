"""Append-only segments in one folder, with a limit on their total size, read from the oldest on.

A segment is a file `NUMBER.segment` in the format of `segment_format`. Invalid bytes at the end of the newest
segment are a torn tail, which is truncated; invalid bytes elsewhere are skipped up to the next valid record
and reported with their file and offset. All calls block, so they must not run in the event loop.
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


def segments_to_drop(segment_sizes: dict[int, int], limit_bytes: int, open_segment: int | None) -> list[int]:
    """Return the numbers of the segments to drop so that the others fit into the limit, oldest first.

    Args:
        segment_sizes: The size of each segment in bytes, by number.
        limit_bytes: The limit of the total size.
        open_segment: The number of the segment that is being written, which is never dropped; or None.
    """
    total_bytes = sum(segment_sizes.values())
    numbers = []
    for number in sorted(segment_sizes):
        if total_bytes <= limit_bytes or number == open_segment:
            break
        total_bytes -= segment_sizes[number]
        numbers.append(number)
    return numbers


class Segments:
    """A folder of segments.

    `append` returns once the records are written, so that they survive a kill. A failed write leaves the
    segment as it was before.

    Attributes:
        skipped_ranges: The invalid byte ranges that were found when the folder was opened.
        dropped_record_count: Number of records that were dropped unread to stay within the size limit.
        record_counts: Number of records in each segment, by segment number.
        segment_sizes: Size of each segment in bytes, by segment number.
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
        """Open a folder, or create it; truncate a torn tail and remove segments without records.

        Args:
            folder: The folder of the segments.
            size_limit_bytes: Total size beyond which the oldest segments are dropped.
            segment_bytes: Size at which a new segment is begun.
            file_system: The system calls; those of the operating system by default.
            sync_on_append: Whether `append` returns only after its records are on disk.
            is_strict: Whether damage other than a torn tail is an error.
            is_readonly: Whether nothing is repaired or removed.

        Raises:
            DamagedSegmentError: A file is no segment, or is damaged (if `is_strict`).
            OSError: The folder cannot be read or written.
        """
        self.folder = folder
        self.size_limit_bytes = size_limit_bytes
        self.segment_bytes = segment_bytes
        self.sync_on_append = sync_on_append
        self.is_strict = is_strict
        self.is_readonly = is_readonly
        self.file_system = file_system or FileSystem()
        self.skipped_ranges: list[SkippedRange] = []
        self.dropped_record_count = 0
        self.record_counts: dict[int, int] = {}
        self.segment_sizes: dict[int, int] = {}
        self._handle: int | None = None
        self._open_segment: int | None = None  # the number of the segment behind `_handle`
        self._next_number = 1
        folder.mkdir(parents=True, exist_ok=True)
        self._recover()

    def path(self, number: int) -> Path:
        """Return the path of a segment's file."""
        return self.folder / f"{number:012}{SUFFIX}"

    def _recover(self) -> None:
        numbers = sorted(int(path.stem) for path in self.folder.glob(f"*{SUFFIX}") if path.stem.isdigit())
        for number in numbers:
            self._recover_segment(number, is_newest=number == numbers[-1])
        if numbers:
            self._next_number = numbers[-1] + 1

    def _recover_segment(self, number: int, is_newest: bool) -> None:
        path = self.path(number)
        data = self.file_system.read(path)
        content = unpack(data, path.name, is_newest)
        self.skipped_ranges += content.skipped_ranges
        if self.is_strict:
            self._check_damage(content.skipped_ranges)
        size = len(data)
        if content.skipped_ranges and content.skipped_ranges[-1].is_torn_tail and not self.is_readonly:
            size = content.skipped_ranges[-1].offset
            self._truncate(path, size)
        self.segment_sizes[number] = size
        self.record_counts[number] = len(content.records)
        if not content.records and not self.is_readonly:
            self.drop(number)

    def _check_damage(self, skipped_ranges: list[SkippedRange]) -> None:
        for skipped_range in skipped_ranges:
            if not skipped_range.is_torn_tail:
                raise DamagedSegmentError(
                    skipped_range.file,
                    f"{skipped_range.size_bytes} bytes from {skipped_range.offset} on are damaged",
                    skipped_range.offset,
                    skipped_range.size_bytes,
                )

    def _truncate(self, path: Path, size: int) -> None:
        handle = self.file_system.open(path)
        try:
            self.file_system.truncate(handle, size)
        finally:
            self.file_system.close(handle)

    def __len__(self) -> int:
        """Return the number of records in all segments."""
        return sum(self.record_counts.values())

    def append(self, bodies: list[bytes]) -> None:
        """Write records, all or none of them, and drop the oldest segments beyond the size limit.

        Raises:
            OSError: The records could not be written or synced, or an old segment could not be removed.
            ValueError: A record is too long.
        """
        data = b"".join(map(pack, bodies))
        handle, number = self._select_segment(len(data))
        size_before = self.segment_sizes[number]
        try:
            self._write(handle, data)
            if self.sync_on_append:
                self.file_system.sync(handle)
        except OSError:
            self._undo_write(handle, size_before)
            raise
        self.segment_sizes[number] = size_before + len(data)
        self.record_counts[number] += len(bodies)
        for surplus_segment in segments_to_drop(
            self.segment_sizes, self.size_limit_bytes, self._open_segment
        ):
            self.dropped_record_count += self.record_counts[surplus_segment]
            self.drop(surplus_segment)

    def _select_segment(self, size: int) -> tuple[int, int]:
        """Return the handle and number of a segment that has room for `size` bytes."""
        handle = self._handle
        number = self._open_segment
        if handle is None or number is None or self.segment_sizes[number] + size > self.segment_bytes:
            return self._begin_segment()
        return handle, number

    def _write(self, handle: int, data: bytes) -> None:
        """Write all data; after a short write, which is no error, continue with the rest."""
        written_bytes = 0
        while written_bytes < len(data):
            byte_count = self.file_system.write(handle, data[written_bytes:])
            if byte_count <= 0:
                raise OSError(errno.EIO, "a write call has written none of the remaining bytes")
            written_bytes += byte_count

    def _begin_segment(self) -> tuple[int, int]:
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
        self._open_segment = number
        self._next_number = number + 1
        self.segment_sizes[number] = len(header)
        self.record_counts[number] = 0
        return handle, number

    def _undo_write(self, handle: int, size: int) -> None:
        """Truncate the segment to its size before a failed write.

        If that fails too, the segment is closed, and the partial write in it is skipped by later reads.
        """
        try:
            self.file_system.truncate(handle, size)
        except OSError:
            self.close()

    def read_oldest(self) -> tuple[int, list[bytes]] | None:
        """Return the number and the record bodies of the oldest segment with records; None if there is none.

        The segment is closed for writing. The caller passes the number to `drop` when it has processed the
        records.

        Raises:
            OSError: The segment cannot be read.
        """
        for number in sorted(self.record_counts):
            if not self.record_counts[number]:
                continue
            if number == self._open_segment:
                self.close()
            return number, [body for _, body in self._read_records(number)]
        return None

    def read_all(self) -> list[tuple[int, list[StoredRecord]]]:
        """Return the number and the records of every segment, oldest first."""
        return [(number, self._read_records(number)) for number in sorted(self.segment_sizes)]

    def _read_records(self, number: int) -> list[StoredRecord]:
        path = self.path(number)
        return unpack(self.file_system.read(path), path.name, True).records

    def drop(self, number: int) -> None:
        """Remove a segment and its file."""
        if number == self._open_segment:
            self.close()
        self.file_system.remove(self.path(number))
        self.segment_sizes.pop(number, None)
        self.record_counts.pop(number, None)

    def close(self) -> None:
        """Close the file of the segment that is being written; the next `append` begins a new segment."""
        if self._handle is not None:
            self.file_system.close(self._handle)
        self._handle = None
        self._open_segment = None
