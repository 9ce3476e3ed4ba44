"""Transfer of one receiver's batches between its queue in memory and its spool on disk."""

from collections.abc import Callable

from ravenshelf import log_events
from ravenshelf.graphite.decisions.queue import Batch, PointQueue
from ravenshelf.graphite.spool import Spool, SpooledSegment
from ravenshelf.time_units import SECOND

# The spool is not used for this long after one of its operations has failed.
PAUSE_AFTER_ERROR = 60 * SECOND
# The spool is not used for this long after a read that found it empty.
PAUSE_AFTER_EMPTY = SECOND
MAX_BATCHES_PER_WRITE = 64


class SpoolTransfer:
    """Transfer between a receiver's queue and its spool.

    Old batches are written to the spool while the receiver is not connected, and read back once the queue is
    empty. Without a spool no operation does anything.

    `on_dropped` is called with the batches that the queue dropped; `on_queued` is called after batches of the
    spool were queued.
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
        # Number of batches, by segment, that were read back and were not received, dropped or moved since.
        self.unfinished_batches: dict[int, int] = {}
        # Number of the segment from which each batch was read back.
        self.segment_numbers: dict[Batch, int] = {}

    def _is_available(self) -> bool:
        return self.spool is not None and not self.is_busy and self.clock() >= self.paused_until

    def write_old(self, current_time: int) -> None:
        """Move queued batches older than `current_time` (seconds) to the spool.

        At most MAX_BATCHES_PER_WRITE batches are moved. Batches that were read from the spool stay in memory.
        """
        if self.spool is None or not self._is_available():
            return
        batches = self.queue.remove_old(
            current_time, MAX_BATCHES_PER_WRITE, lambda batch: batch not in self.segment_numbers
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
        """Queue the batches of the oldest segment, unless batches of an earlier one are unfinished."""
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
        for skipped_range in segment.skipped_ranges:
            log_events.SPOOL_CORRUPTED(
                receiver=self.receiver,
                bytes=skipped_range.size_bytes,
                file=f"{skipped_range.file} from {skipped_range.offset}",
            )
        self.unfinished_batches[segment.number] = len(segment.batches)
        self.segment_numbers.update(dict.fromkeys(segment.batches, segment.number))
        for batch in segment.batches:
            self.on_dropped(self.queue.add(batch))
        if not segment.batches:
            self._remove_segment(segment.number)
        self.on_queued()

    def finish_batches(self, batches: list[Batch]) -> None:
        """Record that batches were received, dropped or moved to another receiver.

        Segments without unfinished batches are removed from the spool.
        """
        for batch in batches:
            number = self.segment_numbers.pop(batch, None)
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
