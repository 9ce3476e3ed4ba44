"""The queue of points for one receiver: what is sent next, what is sent again, and what is dropped.

No I/O; the clock is passed in, times are microseconds. A point is (path, value); a batch has one
measurement's points of one importance, and all of them carry its time however late they are sent.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice

from ravenshelf.graphite.metrics import IMPORTANCES

SECOND = 1_000_000  # microseconds
CONFIRMED_AFTER = 10 * SECOND  # what the system took so long ago counts as received
BURST_S = 2.0  # of the backfill rate


@dataclass(slots=True, eq=False)
class Batch:
    """One measurement's points of one importance."""

    time: int  # seconds, a multiple of the interval
    importance: int  # index in metrics.IMPORTANCES
    points: list[tuple[str, float]]
    encoded: list[bytes] = field(default_factory=list)  # empty until encoded; receivers share it
    attempted: bool = False  # may have been received in part: only the same receiver may get it again
    taken_at: int | None = None  # when the system took the last of it

    def __len__(self) -> int:
        return len(self.points)


@dataclass(slots=True)
class PointQueue:
    """The points that one receiver has yet to get: bounded, dropped by importance and then oldest first.

    Current points are sent before old ones, and old ones at no more than `backfill_rate` points a second, so
    that a recovery after hours does not delay what is measured now. After a broken connection, what the
    system took within CONFIRMED_AFTER is sent again as a whole: carbon ignores a line or frame that is cut
    and overwrites a point that comes twice, so a duplicate is harmless and a gap is not.
    """

    limit: int  # points
    backfill_rate: int  # points a second
    queued: list[deque[Batch]] = field(default_factory=lambda: [deque() for _ in IMPORTANCES])
    unconfirmed: deque[Batch] = field(default_factory=deque)  # in the order in which they were sent
    point_count: int = 0  # points, queued and unconfirmed
    backfill_tokens: float = 0.0  # points; below 0 after a batch that was larger
    refilled_at: int | None = None
    dropped_points: int = 0  # points since the start

    def add(self, batch: Batch) -> list[Batch]:
        """Add a batch; return those that are dropped for it, which may include itself."""
        self.queued[batch.importance].append(batch)
        self.point_count += len(batch)
        return self._drop_excess()

    def _drop_excess(self) -> list[Batch]:
        dropped = []
        while self.point_count > self.limit:
            least_important = next((batches for batches in reversed(self.queued) if batches), None)
            batch = (self.unconfirmed if least_important is None else least_important).popleft()
            self.point_count -= len(batch)
            self.dropped_points += len(batch)
            dropped.append(batch)
        return dropped

    def _refill(self, now: int) -> None:
        if self.refilled_at is not None:
            earned = self.backfill_rate * (now - self.refilled_at) / SECOND
            self.backfill_tokens = min(BURST_S * self.backfill_rate, self.backfill_tokens + earned)
        self.refilled_at = now

    def take(self, now: int, current_time: int) -> Batch | None:
        """Return the next batch to send: one of `current_time` or later, else the oldest as the rate allows.

        `current_time` is in seconds, the time of the newest measurement.
        """
        self._refill(now)
        for batches in self.queued:
            if batches and batches[-1].time >= current_time:
                return self._send(batches, batches[-1])
        candidates = [batches for batches in self.queued if batches]
        if not candidates or self.backfill_tokens < 0:
            return None
        oldest = min(candidates, key=lambda batches: batches[0].time)
        self.backfill_tokens -= len(oldest[0])
        return self._send(oldest, oldest[0])

    def _send(self, batches: deque[Batch], batch: Batch) -> Batch:
        batches.remove(batch)
        batch.attempted = True
        batch.taken_at = None
        self.unconfirmed.append(batch)
        return batch

    def next_take_at(self, now: int) -> int | None:
        """Return when a batch may be taken, or None where none is queued."""
        if not any(self.queued):
            return None
        self._refill(now)
        if self.backfill_tokens >= 0:
            return now
        return now + int(-self.backfill_tokens * SECOND / self.backfill_rate) + 1

    def has_current(self, current_time: int) -> bool:
        """Return whether a batch of `current_time` or later is queued."""
        return any(batches and batches[-1].time >= current_time for batches in self.queued)

    def all_taken(self, now: int) -> None:
        """The system has taken everything that was sent."""
        for batch in self.unconfirmed:
            if batch.taken_at is None:
                batch.taken_at = now

    def confirm(self, now: int) -> list[Batch]:
        """Remove and return what the system took long enough ago: it counts as received."""
        confirmed = []
        while self.unconfirmed:
            taken_at = self.unconfirmed[0].taken_at
            if taken_at is None or now - taken_at < CONFIRMED_AFTER:
                break
            confirmed.append(self.unconfirmed.popleft())
        self.point_count -= sum(map(len, confirmed))
        return confirmed

    def connection_lost(self) -> None:
        """Queue the unconfirmed batches again, each at its old place."""
        for batch in reversed(self.unconfirmed):
            batches = self.queued[batch.importance]
            later = (position for position, other in enumerate(batches) if other.time >= batch.time)
            batches.insert(next(later, len(batches)), batch)
        self.unconfirmed.clear()

    def remove_all(self, include_attempted: bool = False) -> list[Batch]:
        """Remove and return, oldest first, what was never sent to the receiver, or everything."""
        removed: list[Batch] = []
        for importance, batches in enumerate(self.queued):
            removed += [batch for batch in batches if include_attempted or not batch.attempted]
            kept = [batch for batch in batches if batch.attempted and not include_attempted]
            self.queued[importance] = deque(kept)
        if include_attempted:
            removed += self.unconfirmed
            self.unconfirmed.clear()
        self.point_count -= sum(map(len, removed))
        return sorted(removed, key=lambda batch: (batch.time, batch.importance))

    def remove_old(
        self, current_time: int, max_batches: int, may_remove: Callable[[Batch], bool] | None = None
    ) -> list[Batch]:
        """Remove and return batches from before `current_time`, oldest first."""
        old = (
            batch
            for batches in self.queued
            for batch in batches
            if batch.time < current_time and (may_remove is None or may_remove(batch))
        )
        removed = list(islice(sorted(old, key=lambda batch: batch.time), max_batches))
        for batch in removed:
            self.queued[batch.importance].remove(batch)
            self.point_count -= len(batch)
        return removed
