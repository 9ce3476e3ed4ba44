"""Queue of points for one receiver: order of sending, retransmission and dropping.

Nothing here performs I/O. The caller passes in the time; times are microseconds unless stated otherwise. A
point is a pair (path, value). A batch holds the points of one measurement that have the same importance; all
of them carry the time of the measurement, however late they are sent.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice

from ravenshelf.graphite.metrics import IMPORTANCES
from ravenshelf.time_units import SECOND

# A batch counts as received this long after the kernel's socket buffer has accepted it.
CONFIRMED_AFTER = 10 * SECOND
# Tokens can accumulate up to the number of points that the backfill rate allows in this many seconds.
BURST_S = 2.0


@dataclass(slots=True, eq=False)
class Batch:
    """Points of one measurement that have the same importance."""

    time: int  # Time of the measurement in seconds, a multiple of the interval.
    importance: int  # Importance of the points, as an index in metrics.IMPORTANCES.
    points: list[tuple[str, float]]
    # Encoded chunks, empty until the batch is first encoded. Receivers of the same batch share the list.
    encoded_chunks: list[bytes] = field(default_factory=list)
    # Whether sending was started. The receiver may have part of the batch. With route "hash", the batch may
    # therefore be sent again only to this receiver.
    is_attempted: bool = False
    # Time at which the kernel had accepted all bytes of the batch; None before that.
    flushed_at: int | None = None

    def __len__(self) -> int:
        return len(self.points)


@dataclass(slots=True)
class PointQueue:
    """Bounded queue of the points that one receiver has not confirmed.

    When the queue is full, the least important points are dropped first, and the oldest of these first.
    Unconfirmed batches are dropped only if no batch is queued.

    Current points are sent before old ones. Old points are sent at no more than `backfill_rate` points per
    second, so that a recovery after hours does not delay current measurements.

    After a lost connection, all batches that were flushed within CONFIRMED_AFTER are sent again as a whole.
    Carbon ignores a truncated line or frame and overwrites a point that it receives twice, so a duplicate is
    harmless and a gap is not.
    """

    max_points: int
    backfill_rate: int  # Maximum rate at which old points are sent, in points per second.
    # Batches to send, by importance.
    queued_batches: list[deque[Batch]] = field(default_factory=lambda: [deque() for _ in IMPORTANCES])
    # Batches that were sent but are not confirmed yet, in the order of sending.
    unconfirmed_batches: deque[Batch] = field(default_factory=deque)
    point_count: int = 0  # Number of queued and unconfirmed points.
    # Number of old points that may be sent now; below 0 after a batch that was larger than the balance.
    backfill_tokens: float = 0.0
    refilled_at: int | None = None
    dropped_points: int = 0  # Number of points dropped since the start.

    def add(self, batch: Batch) -> list[Batch]:
        """Add a batch; return the batches that were dropped to make room, which may include the new one."""
        self.queued_batches[batch.importance].append(batch)
        self.point_count += len(batch)
        return self._drop_excess()

    def _drop_excess(self) -> list[Batch]:
        dropped_batches = []
        while self.point_count > self.max_points:
            least_important = next((batches for batches in reversed(self.queued_batches) if batches), None)
            batch = (self.unconfirmed_batches if least_important is None else least_important).popleft()
            self.point_count -= len(batch)
            self.dropped_points += len(batch)
            dropped_batches.append(batch)
        return dropped_batches

    def _refill(self, now: int) -> None:
        if self.refilled_at is not None:
            refill = self.backfill_rate * (now - self.refilled_at) / SECOND
            self.backfill_tokens = min(BURST_S * self.backfill_rate, self.backfill_tokens + refill)
        self.refilled_at = now

    def pop_next(self, now: int, current_time: int) -> Batch | None:
        """Return the next batch to send and move it to the unconfirmed batches.

        Args:
            now: The time in microseconds.
            current_time: The time of the newest measurement, in seconds.

        Returns:
            A batch of `current_time` or later, the most important one first; if there is none, the oldest
            batch if the backfill rate allows one, else None.
        """
        self._refill(now)
        for batches in self.queued_batches:
            if batches and batches[-1].time >= current_time:
                return self._move_to_unconfirmed(batches, batches[-1])
        candidates = [batches for batches in self.queued_batches if batches]
        if not candidates or self.backfill_tokens < 0:
            return None
        oldest_batches = min(candidates, key=lambda batches: batches[0].time)
        self.backfill_tokens -= len(oldest_batches[0])
        return self._move_to_unconfirmed(oldest_batches, oldest_batches[0])

    def _move_to_unconfirmed(self, batches: deque[Batch], batch: Batch) -> Batch:
        batches.remove(batch)
        batch.is_attempted = True
        batch.flushed_at = None
        self.unconfirmed_batches.append(batch)
        return batch

    def next_pop_at(self, now: int) -> int | None:
        """Return when the backfill rate allows the next batch, or None if no batch is queued."""
        if not any(self.queued_batches):
            return None
        self._refill(now)
        if self.backfill_tokens >= 0:
            return now
        return now + int(-self.backfill_tokens * SECOND / self.backfill_rate) + 1

    def has_current(self, current_time: int) -> bool:
        """Return whether a batch of `current_time` (seconds) or later is queued."""
        return any(batches and batches[-1].time >= current_time for batches in self.queued_batches)

    def mark_flushed(self, now: int) -> None:
        """Record that the kernel has accepted all batches that were sent."""
        for batch in self.unconfirmed_batches:
            if batch.flushed_at is None:
                batch.flushed_at = now

    def confirm(self, now: int) -> list[Batch]:
        """Remove and return the batches that were flushed at least CONFIRMED_AFTER ago."""
        confirmed_batches = []
        while self.unconfirmed_batches:
            flushed_at = self.unconfirmed_batches[0].flushed_at
            if flushed_at is None or now - flushed_at < CONFIRMED_AFTER:
                break
            confirmed_batches.append(self.unconfirmed_batches.popleft())
        self.point_count -= sum(map(len, confirmed_batches))
        return confirmed_batches

    def requeue_unconfirmed(self) -> None:
        """Queue the unconfirmed batches again, each in the order of its time, after a lost connection."""
        for batch in reversed(self.unconfirmed_batches):
            batches = self.queued_batches[batch.importance]
            later_positions = (position for position, other in enumerate(batches) if other.time >= batch.time)
            batches.insert(next(later_positions, len(batches)), batch)
        self.unconfirmed_batches.clear()

    def remove_all(self, include_attempted: bool = False) -> list[Batch]:
        """Remove and return, oldest first, the batches that were never sent to the receiver.

        With `include_attempted`, remove and return every batch, the unconfirmed ones included.
        """
        removed_batches: list[Batch] = []
        for importance, batches in enumerate(self.queued_batches):
            removed_batches += [batch for batch in batches if include_attempted or not batch.is_attempted]
            remaining_batches = [batch for batch in batches if batch.is_attempted and not include_attempted]
            self.queued_batches[importance] = deque(remaining_batches)
        if include_attempted:
            removed_batches += self.unconfirmed_batches
            self.unconfirmed_batches.clear()
        self.point_count -= sum(map(len, removed_batches))
        return sorted(removed_batches, key=lambda batch: (batch.time, batch.importance))

    def remove_old(
        self, current_time: int, max_batches: int, may_remove: Callable[[Batch], bool] | None = None
    ) -> list[Batch]:
        """Remove and return up to `max_batches` queued batches older than `current_time`, oldest first.

        Args:
            current_time: Batches of this time (seconds) or later stay.
            max_batches: The largest number of batches to remove.
            may_remove: Function that returns False for a batch that must stay; None if no batch must stay.
        """
        old_batches = (
            batch
            for batches in self.queued_batches
            for batch in batches
            if batch.time < current_time and (may_remove is None or may_remove(batch))
        )
        removed_batches = list(islice(sorted(old_batches, key=lambda batch: batch.time), max_batches))
        for batch in removed_batches:
            self.queued_batches[batch.importance].remove(batch)
            self.point_count -= len(batch)
        return removed_batches
