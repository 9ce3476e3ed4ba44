"""The lines that may still be queued in the control channel, however slow the channel is.

Messages leave the channel in the order of writing, and each counts as queued until all messages before it
have left. The lines that are queued for a stream that breaks are lost, and messages written later leave the
channel earlier, possibly before older ones. What follows from an event is therefore certain or only bounded:

- Lines of a broken stream are not queued any more, unless they left the channel before the break and older
  lines still hold them in the queue. That takes an earlier break, since otherwise messages leave in order.
- An acknowledgement shows that its own lines have left. It confirms all older lines if no stream broke in
  between, and otherwise those that precede it by position as well. Positions count the lines written so far,
  less the lost ones.
- Everything else is bounded by time: at the slowest rate of the channel, or at the estimated rate if nobody
  is left to acknowledge the lines, because their streams broke or their proxies are silent.

Times and durations are integer microseconds.
"""

from __future__ import annotations

from collections import deque
from itertools import takewhile

from ravenshelf.policy.dispatched_batch import DispatchedBatch
from ravenshelf.policy.silent_proxies import SilentProxies
from ravenshelf.time_units import SECOND

# The channel never gets slower than its nominal rate divided by this factor.
SLOWEST_FACTOR = 10
# An unacknowledged batch counts as queued for at least this time, unless a later one shows that lines leave.
UNACKNOWLEDGED_TIMEOUT = 20 * SECOND


class UnconfirmedLines:
    """The batches that are not confirmed to have left the channel.

    Attributes:
        batches: The batches that may be in the channel, oldest first.
        unanswered_batches: The batches that have left the channel if it is not slower than its slowest rate,
            with lines that nobody has acknowledged, by number.
        batch_number: The number of the latest batch, 0 before the first.
        next_position: The position at which the next batch starts.
        earliest_idle: When everything has left the channel at its nominal rate.
        latest_idle: When everything has left the channel at its slowest rate.
        break_count: The number of streams that have broken with lines in the channel.
        slowest_line_time: The microseconds that one line takes at the slowest rate.
        rate: The estimated rate of the channel in lines per second.
        silent_proxies: The proxies that do not acknowledge batches that have left.
    """

    def __init__(self, nominal_rate: float, queue_limit: float, longest_delivery: int):
        """Create the state of an empty channel.

        Args:
            nominal_rate: The lines per second that the settings announce.
            queue_limit: The most lines that may be queued.
            longest_delivery: The longest time from leaving the channel until the acknowledgement.
        """
        self.slowest_line_time = SLOWEST_FACTOR / nominal_rate * SECOND
        self.batches: deque[DispatchedBatch] = deque()
        self.unanswered_batches: dict[int, DispatchedBatch] = {}
        self.batch_number = 0
        self.next_position = 0.0
        self.earliest_idle = 0.0
        self.latest_idle = 0.0
        self.break_count = 0
        self.rate = nominal_rate
        self._nominal_line_time = SECOND / nominal_rate
        self._queue_limit = queue_limit
        self._longest_delivery = longest_delivery
        self._unacknowledged_lines = 0.0
        self._held_lines = 0.0
        # When the batch before the oldest one had left.
        self._oldest_since = 0.0
        self.silent_proxies = SilentProxies(longest_delivery)
        self._batches_by_number: dict[int, DispatchedBatch] = {}
        # Each pair of a batch number and a position confirms that the batches with a smaller number that end
        # at that position or before it have left the channel.
        self._confirmed_positions: list[tuple[int, float]] = []

    def total(self) -> float:
        """Return the lines that may still be queued.

        The oldest batch has no older lines before it, so its lines that have left do not count.
        """
        if not self.batches:
            return self._unacknowledged_lines
        return self._unacknowledged_lines + self._held_lines - self.batches[0].held_lines

    def unacknowledged_since(self, dispatched_by: int) -> float:
        """Return the unacknowledged lines that were written at a time or before it."""
        old_batches = takewhile(lambda batch: batch.dispatched_at <= dispatched_by, self.batches)
        lines = sum(batch.unacknowledged_lines for batch in old_batches)
        return lines + sum(batch.unacknowledged_lines for batch in self.unanswered_batches.values())

    def get(self, batch_number: int) -> DispatchedBatch | None:
        """Return a batch that is not confirmed yet, None if there is none with that number."""
        return self._batches_by_number.get(batch_number)

    def add(self, now: int, lines: dict[int | None, float]) -> DispatchedBatch:
        """Add a batch that is written now.

        Args:
            now: The time in microseconds.
            lines: The lines by proxy, in the order of writing; under None those that nobody acknowledges.
        """
        self.batch_number += 1
        self.earliest_idle = max(self.earliest_idle, now)
        batch = DispatchedBatch(
            self.batch_number, now, lines, self.next_position, self.earliest_idle, self.break_count
        )
        self.earliest_idle += batch.total_lines * self._nominal_line_time
        self.latest_idle = min(
            max(self.latest_idle, now) + self._slowest_time(batch.total_lines),
            now + self._slowest_time(self._queue_limit),
        )
        if not self.batches:
            self.latest_idle = now + self._slowest_time(batch.total_lines)
            self._oldest_since = now
        batch.slowest_end = self.latest_idle
        # Nothing before the batch shows that the channel moves, so silence proves nothing for a while.
        batch.counted_until = max(batch.slowest_end, now + UNACKNOWLEDGED_TIMEOUT)
        self.next_position = batch.end_position
        self.batches.append(batch)
        self._batches_by_number[batch.number] = batch
        self._unacknowledged_lines += batch.total_lines
        return batch

    def _slowest_time(self, lines: float) -> float:
        return lines * self.slowest_line_time

    def advance(self, now: int) -> None:
        """Remove the batches that have left the channel by a time."""
        while self.batches and self._has_left(self.batches[0], now):
            self._remove_oldest_batch(now)
        self._remove_unanswered_batches(now)
        self._confirmed_positions = [
            confirmed
            for confirmed in self._confirmed_positions
            if self.batches and confirmed[0] > self.batches[0].number
        ]

    def _remove_unanswered_batches(self, now: int) -> None:
        expired_at = now - self._longest_delivery
        for batch in list(self.unanswered_batches.values()):
            if not batch.lines or batch.counted_until < expired_at or self._is_confirmed(batch):
                self._forget(batch, now)

    def _has_left(self, batch: DispatchedBatch, now: int) -> bool:
        if not batch.lines and (not batch.has_lost_lines or batch.slowest_end <= now):
            return True
        if self._is_confirmed(batch):
            return True
        return self._latest_end(batch, now) < now - self._longest_delivery

    def _latest_end(self, batch: DispatchedBatch, now: int) -> float:
        """Return the latest time at which the oldest batch may leave the channel.

        Lines that a proxy may still acknowledge are taken to leave at the slowest rate. Of lost lines, and of
        lines that nobody acknowledges, no more will be known than the estimated rate.
        """
        if not self.silent_proxies.includes_all(batch.lines, now):
            return batch.slowest_end
        estimated_end = max(self._oldest_since, batch.dispatched_at) + batch.total_lines / self.rate * SECOND
        return min(estimated_end, batch.slowest_end)

    def _is_confirmed(self, batch: DispatchedBatch) -> bool:
        return any(
            number > batch.number and position >= batch.end_position
            for number, position in self._confirmed_positions
        )

    def _remove_oldest_batch(self, now: int) -> None:
        batch = self.batches.popleft()
        self._held_lines -= batch.held_lines
        is_shown = self._is_confirmed(batch) or not (batch.lines or batch.has_lost_lines)
        if batch.lines and not is_shown:
            self.unanswered_batches[batch.number] = batch
        else:
            self._forget(batch, now)
        self._oldest_since = now if is_shown else self._latest_end(batch, now)
        if not self.batches:
            self._held_lines = 0.0
            return
        next_batch = self.batches[0]
        slowest_start = max(now if is_shown else batch.slowest_end, next_batch.dispatched_at)
        slowest_end = slowest_start + self._slowest_time(next_batch.total_lines)
        if is_shown:
            next_batch.bound_end(slowest_end)
        else:
            next_batch.slowest_end = min(next_batch.slowest_end, slowest_end)

    def _forget(self, batch: DispatchedBatch, now: int) -> None:
        self.silent_proxies.record_missing(batch.lines, now)
        self._unacknowledged_lines -= batch.unacknowledged_lines
        self.unanswered_batches.pop(batch.number, None)
        del self._batches_by_number[batch.number]
        if not self._batches_by_number:
            self._unacknowledged_lines = 0.0  # Without the rounding errors of the subtractions.

    def record_acknowledgement(self, batch: DispatchedBatch, proxy: int, now: int) -> None:
        """Record that a proxy has applied its lines of a batch."""
        lines = batch.remove_proxy(proxy)
        self._unacknowledged_lines -= lines
        if batch.number not in self.unanswered_batches:
            self._hold(batch, lines)
        lines_behind = batch.lines_behind.get(proxy, batch.total_lines)
        batch.bound_end(now + self._slowest_time(lines_behind))
        self._confirm_position(batch.number, batch.start_position)
        self.advance(now)

    def _hold(self, batch: DispatchedBatch, lines: float) -> None:
        batch.held_lines += lines
        self._held_lines += lines

    def _confirm_position(self, batch_number: int, confirmed_position: float) -> None:
        if any(
            number >= batch_number and position >= confirmed_position
            for number, position in self._confirmed_positions
        ):
            return
        self._confirmed_positions = [
            confirmed
            for confirmed in self._confirmed_positions
            if confirmed[0] > batch_number or confirmed[1] > confirmed_position
        ]
        self._confirmed_positions.append((batch_number, confirmed_position))

    def keep_unacknowledged(self, proxy: int) -> None:
        """Record that nobody acknowledges a proxy's lines any more, though they are still queued."""
        self.silent_proxies.discard(proxy)
        for batch in self._batches_by_number.values():
            lines = batch.lines.pop(proxy, 0.0)
            if lines:
                batch.lines[None] = batch.lines.get(None, 0.0) + lines

    def lose_lines(self, proxy: int, now: int) -> None:
        """Record that a proxy's stream has broken, so that the lines queued for it are lost."""
        self.silent_proxies.discard(proxy)
        lost_lines = 0.0
        for batch in self._batches_by_number.values():
            lost_lines += self._lose_lines_of_batch(batch, proxy, now)
        if lost_lines:
            self.break_count += 1
            # The lines may have been written while the channel was at its slowest, so their loss may shorten
            # the queue by the time that as many lines take at that rate.
            self.next_position -= lost_lines * SLOWEST_FACTOR
            self.earliest_idle -= self._slowest_time(lost_lines)
        self.advance(now)

    def _lose_lines_of_batch(self, batch: DispatchedBatch, proxy: int, now: int) -> float:
        """Remove a proxy's lines from a batch and return their number.

        Lines that have left count as long as older lines may be in the channel. Lines that left in order have
        no older ones before them, so either they have left the queue, or they are lost.
        """
        lines = batch.remove_proxy(proxy)
        if not lines:
            return 0.0
        self._unacknowledged_lines -= lines
        batch.has_lost_lines = True
        if batch.number in self.unanswered_batches:
            return lines
        has_left_in_order = batch.breaks_before == self.batches[0].breaks_before
        if not has_left_in_order and batch.earliest_start <= now:
            self._hold(batch, lines)
        return lines
