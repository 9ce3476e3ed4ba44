"""Spool: storage on disk for the points of a receiver that is not connected.

Reads and writes run on one thread, not on the event loop.

A stored batch is the msgpack encoding of (version, time, importance, [(path, value), ...]). A segment is
removed once all of its batches were received. After a crash before that, some of them are sent twice; this is
harmless, since carbon overwrites a point that it receives twice.
"""

import hashlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple, TypeVar

import msgspec

from ravenshelf.graphite.decisions.queue import Batch
from ravenshelf.graphite.metrics import IMPORTANCES
from ravenshelf.store.errors import DamagedSegmentError
from ravenshelf.store.file_system import FileSystem
from ravenshelf.store.segment_format import SkippedRange
from ravenshelf.store.segments import Segments

MAX_SEGMENT_BYTES = 1024 * 1024
MIN_SEGMENT_BYTES = 4096
# A spool whose limit is below 8 MiB is divided into this many segments.
SEGMENTS_PER_SPOOL = 8
FORMAT_VERSION = 1
FOLDER_NAME_LENGTH = 16  # Length of a spool folder's name, in hexadecimal digits.

Outcome = TypeVar("Outcome")


class SpooledSegment(NamedTuple):
    """Batches of one segment, and the byte ranges that were skipped before them as unreadable.

    The segment's number is 0 if there are skipped ranges but no segment to read.
    """

    number: int
    batches: list[Batch]
    skipped_ranges: list[SkippedRange]


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch for storage."""
    return msgspec.msgpack.encode((FORMAT_VERSION, batch.time, batch.importance, batch.points))


def decode_batch(body: bytes) -> Batch | None:
    """Decode a stored batch.

    Returns:
        The batch, or None if `body` is malformed or has another format version, such as that of a later
        release.
    """
    try:
        version, time, importance, points = msgspec.msgpack.decode(
            body, type=tuple[int, int, int, list[tuple[str, float]]]
        )
    except (msgspec.DecodeError, ValueError):
        return None
    if version != FORMAT_VERSION or not 0 <= importance < len(IMPORTANCES):
        return None
    return Batch(time, importance, points)


class Spool:
    """Spool of one receiver.

    Every operation runs on `thread`. Its `on_done` is then called on the event loop, through `call_on_loop`,
    with the result or with the error (OSError or DamagedSegmentError); no operation raises.
    """

    def __init__(
        self,
        folder: Path,
        receiver: str,
        max_bytes: int,
        thread: ThreadPoolExecutor,
        call_on_loop: Callable[[Callable[[], None]], None],
        file_system: FileSystem | None = None,
    ) -> None:
        digest = hashlib.sha256(receiver.encode()).hexdigest()
        # Each receiver has a folder of its own, named after a digest of its address.
        self.folder = folder / digest[:FOLDER_NAME_LENGTH]
        self.max_bytes = max_bytes
        self.file_system = file_system
        self.thread = thread
        self.call_on_loop = call_on_loop
        self.segments: Segments | None = None

    def write(self, batches: list[Batch], on_done: Callable[[int | Exception], None]) -> None:
        """Append batches; the result is the number of records on disk."""
        self._run(lambda: self._append(batches), on_done)

    def read(self, on_done: Callable[[SpooledSegment | Exception | None], None]) -> None:
        """Read the oldest segment; the result is None if the spool is empty."""
        self._run(self._read_oldest, on_done)

    def remove(self, number: int, on_done: Callable[[Exception | None], None]) -> None:
        """Remove the segment with this number; the result is None."""
        self._run(lambda: self._open_segments().drop(number), on_done)

    def close(self) -> None:
        """Close the segment file that is open for writing."""
        self._run(self._close_segments, _ignore_outcome)

    def _run(self, operation: Callable[[], Outcome], on_done: Callable[[Outcome | Exception], None]) -> None:
        def run() -> None:
            """Run the operation on the worker thread and pass its result to the event loop."""
            outcome = _result_or_error(operation)
            self.call_on_loop(lambda: on_done(outcome))

        self.thread.submit(run)

    def _open_segments(self) -> Segments:
        if self.segments is None:
            segment_bytes = max(MIN_SEGMENT_BYTES, self.max_bytes // SEGMENTS_PER_SPOOL)
            segment_bytes = min(MAX_SEGMENT_BYTES, segment_bytes)
            self.segments = Segments(self.folder, self.max_bytes, segment_bytes, self.file_system)
        return self.segments

    def _append(self, batches: list[Batch]) -> int:
        segments = self._open_segments()
        segments.append([encode_batch(batch) for batch in batches])
        return len(segments)

    def _read_oldest(self) -> SpooledSegment | None:
        segments = self._open_segments()
        skipped_ranges = segments.skipped_ranges
        segments.skipped_ranges = []
        oldest_segment = segments.read_oldest()
        if oldest_segment is None:
            return SpooledSegment(0, [], skipped_ranges) if skipped_ranges else None
        number, bodies = oldest_segment
        batches = [batch for batch in map(decode_batch, bodies) if batch is not None]
        return SpooledSegment(number, batches, skipped_ranges)

    def _close_segments(self) -> None:
        if self.segments is not None:
            self.segments.close()


def _ignore_outcome(outcome: object) -> None:
    """Do nothing: no caller waits for the outcome."""


def _result_or_error(operation: Callable[[], Outcome]) -> Outcome | Exception:
    try:
        return operation()
    except (OSError, DamagedSegmentError) as error:
        return error
    except Exception as error:
        # A defect must not stop the export: it is handled as a disk error, and the points stay in memory.
        return OSError(0, repr(error))
