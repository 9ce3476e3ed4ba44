"""A receiver's figures on disk while it takes none: written and read on one thread, never on the loop.

What a batch is on disk: msgpack of (version, time, importance, [(path, value), ...]). A segment goes when all of its
batches were received, so a kill in between sends some twice; carbon writes the same point over itself.
"""

import hashlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from ravenshelf.graphite.decisions import Batch
from ravenshelf.store.errors import DamagedSegmentError
from ravenshelf.store.file_system import FileSystem
from ravenshelf.store.segment_format import SkippedRange
from ravenshelf.store.segments import Segments

SEGMENT = 1024 * 1024
VERSION = 1


def pack(batch: Batch) -> bytes:
    return msgspec.msgpack.encode((VERSION, batch.time, batch.importance, batch.points))


def unpack(body: bytes) -> Batch | None:
    """None for what is no batch of this version: a later program's."""
    try:
        version, time, importance, points = msgspec.msgpack.decode(
            body, type=tuple[int, int, int, list[tuple[str, float]]]
        )
    except (msgspec.DecodeError, ValueError):
        return None
    return Batch(time, importance, points) if version == VERSION and 0 <= importance <= 2 else None


class Spool:
    """Of one receiver. Each call is done on the thread; `told` brings its outcome back to the loop."""

    def __init__(
        self,
        folder: Path,
        receiver: str,
        most: int,
        thread: ThreadPoolExecutor,
        back: Callable[[Callable], None],
        files: FileSystem | None = None,
    ):
        name = hashlib.sha256(receiver.encode()).hexdigest()[:16]  # a receiver is known by its address
        self.folder, self.most, self.files = folder / name, most, files
        self.thread, self.back = thread, back
        self.segments: Segments | None = None

    def _do(self, work: Callable, told: Callable) -> None:
        def run() -> None:
            try:
                outcome = work()
            except (OSError, DamagedSegmentError) as why:
                outcome = why
            except Exception as why:  # a defect is told like a failing disk: the figures go on in memory
                outcome = OSError(0, repr(why))
            self.back(lambda: told(outcome))

        self.thread.submit(run)

    def _open(self) -> Segments:
        if self.segments is None:
            self.segments = Segments(
                self.folder, self.most, min(SEGMENT, max(4096, self.most // 8)), self.files
            )
        return self.segments

    def write(self, batches: list[Batch], told: Callable[[Exception | int], None]) -> None:
        """`told` gets the records that wait on disk, or why they could not be written."""

        def work() -> int:
            segments = self._open()
            segments.append([pack(batch) for batch in batches])
            return len(segments)

        self._do(work, told)

    def read(self, told: Callable) -> None:
        """The oldest segment: `told` gets (number, batches, skipped stretches), None where there is none, or why not."""

        def work() -> tuple[int, list[Batch], list[SkippedRange]] | None:
            segments = self._open()
            skipped, segments.skipped = segments.skipped, []
            found = segments.oldest()
            if found is None:
                return (0, [], skipped) if skipped else None
            return found[0], [b for b in map(unpack, found[1]) if b is not None], skipped

        self._do(work, told)

    def drop(self, number: int, told: Callable) -> None:
        self._do(lambda: self._open().drop(number), told)

    def close(self) -> None:
        self._do(lambda: self.segments.close() if self.segments is not None else None, lambda _: None)
