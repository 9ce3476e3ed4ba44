"""Moves one receiver's batches between its queue in memory and its spool on disk."""

from collections.abc import Callable

from ravenshelf import log_events
from ravenshelf.graphite.decisions.queue import SECOND, Batch, PointQueue
from ravenshelf.graphite.spool import Spool, SpooledSegment

PAUSE_AFTER_ERROR = 60 * SECOND
PAUSE_AFTER_EMPTY = SECOND
MAX_BATCHES_PER_WRITE = 64


class SpoolTransfer:
    """Writes old batches while the receiver takes none and reads them back once the queue is empty.

    Without a spool every operation does nothing. `on_dropped` gets the batches that the queue dropped;
    `on_queued` is called when batches of the spool were queued.
    """

    def __init__(
        self,
        receiver: str,
        spool: Spool | None,
        queue: PointQueue,
        clock: Callable[[], int],
        on_dropped: Callable[[list[Batch]], None],
        on_queued: Callable[[], None],
    ) -> None:
        self.receiver = receiver
        self.spool = spool
        self.queue = queue
        self.clock = clock
        self.on_dropped = on_dropped
        self.on_queued = on_queued
        self.is_busy = False
        self.paused_until = 0
        self.unfinished_batches: dict[
            int, int
        ] = {}  # by segment: batches that were read and are not received
        self.segment_of: dict[Batch, int] = {}

    def _is_available(self) -> bool:
        return self.spool is not None and not self.is_busy and self.clock() >= self.paused_until

    def write_old(self, current_time: int) -> None:
        """Move batches from before `current_time` (seconds) to the spool."""
        if self.spool is None or not self._is_available():
            return
        batches = self.queue.remove_old(
            current_time, MAX_BATCHES_PER_WRITE, lambda batch: batch not in self.segment_of
        )
        if not batches:
            return
        self.is_busy = True
        self.spool.write(batches, lambda outcome: self._on_written(batches, outcome))

    def _on_written(self, batches: list[Batch], outcome: int | Exception) -> None:
        self.is_busy = False
        if not isinstance(outcome, Exception):
            return
        self._pause_after(outcome)
        for batch in batches:
            self.on_dropped(self.queue.add(batch))

    def read_oldest(self) -> None:
        """Queue the batches of the oldest segment, unless those of another are still queued."""
        if self.spool is None or not self._is_available() or self.unfinished_batches:
            return
        self.is_busy = True
        self.spool.read(self._on_read)

    def _on_read(self, outcome: SpooledSegment | Exception | None) -> None:
        self.is_busy = False
        if outcome is None:
            self.paused_until = self.clock() + PAUSE_AFTER_EMPTY
        elif isinstance(outcome, Exception):
            self._pause_after(outcome)
        else:
            self._queue_segment(outcome)

    def _queue_segment(self, segment: SpooledSegment) -> None:
        for lost in segment.skipped:
            log_events.SPOOL_CORRUPTED(
                receiver=self.receiver, bytes=lost.size_bytes, file=f"{lost.file} from {lost.offset}"
            )
        self.unfinished_batches[segment.number] = len(segment.batches)
        self.segment_of.update(dict.fromkeys(segment.batches, segment.number))
        for batch in segment.batches:
            self.on_dropped(self.queue.add(batch))
        if not segment.batches:
            self._remove_segment(segment.number)
        self.on_queued()

    def finished(self, batches: list[Batch]) -> None:
        """The batches were received or dropped: segments without unfinished batches are removed."""
        for batch in batches:
            number = self.segment_of.pop(batch, None)
            if number is None:
                continue
            self.unfinished_batches[number] -= 1
            if not self.unfinished_batches[number]:
                self._remove_segment(number)

    def _remove_segment(self, number: int) -> None:
        self.unfinished_batches.pop(number, None)
        if number and self.spool is not None:
            self.spool.remove(number, self._on_removed)

    def _on_removed(self, outcome: Exception | None) -> None:
        if isinstance(outcome, Exception):
            self._pause_after(outcome)

    def _pause_after(self, error: Exception) -> None:
        self.paused_until = self.clock() + PAUSE_AFTER_ERROR
        log_events.SPOOL_FAILED(receiver=self.receiver, why=str(error))
