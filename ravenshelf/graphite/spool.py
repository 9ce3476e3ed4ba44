"""The spool: a receiver's points on disk while it takes none.

Reads and writes run on one thread, not on the event loop.

A batch on disk is msgpack of (version, time, importance, [(path, value), ...]). A segment is removed once all
its batches were received, so a crash before that sends some twice; carbon overwrites a point that comes
twice.
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
SEGMENTS_IN_SPOOL = 8  # at least, where the spool is small
FORMAT_VERSION = 1
FOLDER_NAME_LENGTH = 16

Outcome = TypeVar("Outcome")


class SpooledSegment(NamedTuple):
    """The batches of one segment and the byte ranges before them that could not be read; number 0: only
    ranges."""

    number: int
    batches: list[Batch]
    skipped: list[SkippedRange]


def pack(batch: Batch) -> bytes:
    """Return a batch in the form in which it is stored."""
    return msgspec.msgpack.encode((FORMAT_VERSION, batch.time, batch.importance, batch.points))


def unpack(body: bytes) -> Batch | None:
    """Return the stored batch; None for what is no batch of this version, such as a later program's."""
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
    """The spool of one receiver.

    Every operation runs on `thread`; `on_loop` calls its `on_done` on the event loop, with the result or the
    error (OSError or DamagedSegmentError).
    """

    def __init__(
        self,
        folder: Path,
        receiver: str,
        max_bytes: int,
        thread: ThreadPoolExecutor,
        on_loop: Callable[[Callable[[], None]], None],
        files: FileSystem | None = None,
    ) -> None:
        digest = hashlib.sha256(receiver.encode()).hexdigest()
        self.folder = folder / digest[:FOLDER_NAME_LENGTH]  # receivers are distinguished by their address
        self.max_bytes = max_bytes
        self.files = files
        self.thread = thread
        self.on_loop = on_loop
        self.segments: Segments | None = None

    def write(self, batches: list[Batch], on_done: Callable[[int | Exception], None]) -> None:
        """Append batches; the result is the count of records on disk."""
        self._run(lambda: self._append(batches), on_done)

    def read(self, on_done: Callable[[SpooledSegment | Exception | None], None]) -> None:
        """Read the oldest segment; the result is None where there is none."""
        self._run(self._read_oldest, on_done)

    def remove(self, number: int, on_done: Callable[[Exception | None], None]) -> None:
        """Remove a segment."""
        self._run(lambda: self._opened().drop(number), on_done)

    def close(self) -> None:
        """Close the open file."""
        self._run(self._close_segments, _ignore)

    def _run(self, work: Callable[[], Outcome], on_done: Callable[[Outcome | Exception], None]) -> None:
        def run() -> None:
            outcome = _result_or_error(work)
            self.on_loop(lambda: on_done(outcome))

        self.thread.submit(run)

    def _opened(self) -> Segments:
        if self.segments is None:
            segment_bytes = max(MIN_SEGMENT_BYTES, self.max_bytes // SEGMENTS_IN_SPOOL)
            segment_bytes = min(MAX_SEGMENT_BYTES, segment_bytes)
            self.segments = Segments(self.folder, self.max_bytes, segment_bytes, self.files)
        return self.segments

    def _append(self, batches: list[Batch]) -> int:
        segments = self._opened()
        segments.append([pack(batch) for batch in batches])
        return len(segments)

    def _read_oldest(self) -> SpooledSegment | None:
        segments = self._opened()
        skipped = segments.skipped
        segments.skipped = []
        oldest = segments.oldest()
        if oldest is None:
            return SpooledSegment(0, [], skipped) if skipped else None
        number, bodies = oldest
        batches = [batch for batch in map(unpack, bodies) if batch is not None]
        return SpooledSegment(number, batches, skipped)

    def _close_segments(self) -> None:
        if self.segments is not None:
            self.segments.close()


def _ignore(outcome: object) -> None:
    """Nobody waits for the outcome."""


def _result_or_error(work: Callable[[], Outcome]) -> Outcome | Exception:
    try:
        return work()
    except (OSError, DamagedSegmentError) as error:
        return error
    except (
        Exception
    ) as error:  # a defect must not stop the export: points are kept in memory, as on a failed disk
        return OSError(0, repr(error))
