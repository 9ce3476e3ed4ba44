"""Flow control of the control channel.

The channel carries configuration lines to all proxies at a limited pace, and its queue must not pass a
limit. Lines, message overheads and messages are therefore counted before they are ordered. What may still
be queued is estimated from the pace, and bounded by what acknowledgements prove to have left.

Lines that are queued for a connection that breaks are dropped, and what was ordered later leaves sooner by
that. An acknowledgement proves only what lies before it both in order and by position (lines ever ordered,
less those dropped). Times and durations are integer microseconds.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Collection, Iterable
from itertools import accumulate, count, takewhile
from typing import TYPE_CHECKING

from ravenshelf.settings import SECOND, ServiceSettings

if TYPE_CHECKING:  # it only names types: a simulated server starts without it
    from ravenshelf.policy.commands import CommandWriter

UNLIMITED_LINES = 1e9  # lines, or lines per second, where the settings set no limit
UNLIMITED_MESSAGES = 1e9  # messages per proxy and counting window
DEFAULT_MESSAGE_OVERHEAD = 6.0  # lines per message, where the settings do not say
MARKER_LINES = 1  # lines of an acknowledgement marker in each message
MARKERS = 65_535  # the wire's range of markers: 1 to this number
SLOWEST_FACTOR = 10  # usual pace over the slowest that the channel falls to
UNACKNOWLEDGED_TIMEOUT = 20 * SECOND  # microseconds after which an unacknowledged batch may count as gone
COUNT_WINDOW_MARGIN = 1.05  # of the counting window, as messages are written after they are ordered
MINIMUM_RATE_SHARE = 0.05  # of the usual pace
RATE_RECOVERY_SHARE = 0.1  # of the way back to the usual pace, per timely acknowledgement

# by urgency
MAXIMUM_QUEUE_SECONDS = (0.7, 1.5, 1.5, 4.0, 1e9)  # seconds of queue behind which a change would be stale
QUEUE_SHARES = (0.45, 0.65, 0.65, 0.75, 0.88)  # of the queue limit, for the estimated queue
UNCONFIRMED_SHARES = (0.85, 0.85, 0.85, 0.9, 0.95)  # of the queue limit, for what may be queued at any pace
MESSAGE_SHARES = (0.6, 0.7, 0.8, 0.8, 1.0)  # of a proxy's messages per counting window


class DispatchedBatch:
    """What one control cycle ordered: its lines by proxy, its position, and when it leaves the channel.

    `lines` maps proxies (None: lines that no proxy acknowledges) to lines that are not acknowledged yet.
    Positions count lines. `earliest_start` is when the channel reaches the batch at its usual pace,
    `latest_end` when it is done with it at its slowest.
    """

    __slots__ = (
        "acknowledged_lines",
        "dispatched_at",
        "earliest_start",
        "end_position",
        "latest_end",
        "lines",
        "lines_behind",
        "number",
        "queued_lines",
        "start_position",
        "total_lines",
    )

    def __init__(
        self,
        number: int,
        dispatched_at: int,
        lines: dict[int | None, float],
        start_position: float,
        earliest_start: float,
    ):
        self.number = number
        self.dispatched_at = dispatched_at
        self.lines = lines
        self.start_position = start_position
        self.earliest_start = earliest_start
        self.total_lines = sum(lines.values())
        # once a proxy has acknowledged, the proxies behind it cannot be long in coming
        self.lines_behind = {
            proxy: self.total_lines - passed
            for proxy, passed in zip(lines, accumulate(lines.values()), strict=True)
        }
        self.end_position = start_position + self.total_lines
        self.latest_end = 0.0
        self.acknowledged_lines = 0.0
        self.queued_lines = 0.0  # estimated queue up to the end of this batch, when it was dispatched

    @property
    def length(self) -> float:
        """Lines from its start position to its end position."""
        return self.end_position - self.start_position


class ChannelFlowControl:
    """Decides whether changes fit into the control channel, and learns its pace from acknowledgements.

    Within a control cycle: `advance` to its time, then `fits` and `charge` for each change, then
    `commit_cycle` (or `discard_charges`). `queued_lines` is the estimated queue, `pace` the estimated pace in
    lines per second, `batches` what is not proved to have left, oldest first.
    """

    def __init__(self, service: ServiceSettings):
        self.nominal_rate = max(1.0, service.lines_per_second or UNLIMITED_LINES)
        self.rate = self.nominal_rate
        self.message_overhead = DEFAULT_MESSAGE_OVERHEAD
        if service.message_overhead_lines is not None:
            self.message_overhead = service.message_overhead_lines
        self.queue_limit = service.queue_limit_lines or UNLIMITED_LINES
        self.messages_limit = service.messages_per_proxy_limit
        self.count_window = service.message_count_window_us
        self.longest_delivery = service.longest_delivery_us
        self.slowest_line_time = SLOWEST_FACTOR / self.nominal_rate * SECOND  # microseconds per line

        self.now = 0
        self.queued_lines = 0.0
        self.batch_number = 0
        self.batches: deque[DispatchedBatch] = deque()
        self.unconfirmed_total = 0.0  # lines of `batches`
        self.next_position = 0.0
        self.earliest_idle = 0.0  # when the channel is through with everything, at its usual pace
        self.latest_idle = 0.0  # the same at its slowest pace
        self.cycle_charges: dict[int | None, float] = {}  # lines charged in this cycle, by proxy
        self.cycle_lines = 0.0  # their sum
        self.sent_times: dict[int | None, deque[int]] = {}  # times of recent messages, by proxy
        self._batches_by_number: dict[int, DispatchedBatch] = {}
        self._confirmed_positions: list[
            tuple[int, float]
        ] = []  # (batch number, position) that has certainly passed
        self._join_order: defaultdict[int | None, int] = defaultdict(int)  # the order of writing in a cycle
        self._join_counter = count()

    def advance(self, now: int) -> None:
        """Bring the estimate up to a time: lines leave at the estimated pace.

        Lines whose acknowledgement is overdue do not leave by time alone.
        """
        self.queued_lines = max(0.0, self.queued_lines - self.rate * (now - self.now) / SECOND)
        self.now = now
        self._retire_passed_batches()
        overdue_at = now - self.longest_delivery
        overdue = sum(
            batch.total_lines
            for batch in takewhile(lambda batch: batch.dispatched_at <= overdue_at, self.batches)
        )
        certain = overdue - self.batches[0].acknowledged_lines if overdue else 0.0
        self.queued_lines = max(self.queued_lines, certain)

    def unconfirmed_lines(self) -> float:
        """Lines that may be queued whatever the pace; of the oldest batch, those not acknowledged."""
        if not self.batches:
            return 0.0
        return self.unconfirmed_total - self.batches[0].acknowledged_lines

    def _has_passed(self, batch: DispatchedBatch) -> bool:
        return not (
            batch.acknowledged_lines < batch.length
            and batch.latest_end >= self.now - self.longest_delivery
            and not any(
                number > batch.number and position >= batch.end_position
                for number, position in self._confirmed_positions
            )
        )

    def _retire_passed_batches(self) -> None:
        while self.batches and self._has_passed(self.batches[0]):
            passed = self.batches.popleft()
            self.unconfirmed_total -= passed.total_lines
            if self.batches:
                oldest = self.batches[0]
                slowest_end = self.now + oldest.length * self.slowest_line_time
                oldest.latest_end = min(oldest.latest_end, slowest_end)
            self._batches_by_number.pop(passed.number, None)
        self._confirmed_positions = [
            proof for proof in self._confirmed_positions if self.batches and proof[0] > self.batches[0].number
        ]
        self.queued_lines = min(self.queued_lines, self.unconfirmed_lines())

    def has_capacity(self, lines: float, proxies: Collection[int], urgency: int) -> bool:
        """Whether so many lines to each of the proxies fit into the channel, at an urgency."""
        new_messages = sum(proxy not in self.cycle_charges for proxy in proxies)
        overhead = new_messages * (self.message_overhead + MARKER_LINES)
        asked = self.cycle_lines + len(proxies) * lines + overhead
        if self.queued_lines + self.cycle_lines > self.nominal_rate * MAXIMUM_QUEUE_SECONDS[urgency]:
            return False
        if self.queued_lines + asked > self.queue_limit * QUEUE_SHARES[urgency]:
            return False
        if self.unconfirmed_lines() + asked > self.queue_limit * UNCONFIRMED_SHARES[urgency]:
            return False
        messages = round(self.messages_limit * MESSAGE_SHARES[urgency]) or UNLIMITED_MESSAGES
        return all(
            proxy in self.cycle_charges or self._recent_messages(proxy) < messages for proxy in proxies
        )

    def _recent_messages(self, proxy: int) -> int:
        times = self.sent_times.setdefault(proxy, deque())
        while times and times[0] <= self.now - COUNT_WINDOW_MARGIN * self.count_window:
            times.popleft()
        return len(times)

    def charge(self, proxies: Iterable[int], lines: float) -> None:
        """Count so many lines to each of the proxies, with the overhead of a message not begun yet."""
        overhead = self.message_overhead + MARKER_LINES
        charges = self.cycle_charges
        for proxy in proxies:
            self.cycle_lines += lines + (0 if proxy in charges else overhead)
            charges[proxy] = charges.get(proxy, overhead) + lines

    def discard_charges(self) -> None:
        """Forget what this cycle charged: it will not be ordered."""
        self.cycle_charges = {}
        self.cycle_lines = 0.0

    def record_uncharged_lines(self, lines: float) -> None:
        """Count lines that were written without a charge; nobody acknowledges them."""
        self._enqueue(self._new_batch(self.now, {None: lines}))

    def commit_cycle(self, now: int, writer: CommandWriter) -> None:
        """Turn the cycle's charges, if any, into a batch, and request its acknowledgement."""
        if not self.cycle_charges:
            return
        in_order = sorted(self.cycle_charges, key=self._join_order.__getitem__)
        batch = self._new_batch(now, {proxy: self.cycle_charges[proxy] for proxy in in_order})
        # a marker is given again only when its first batch is long acknowledged
        writer.request_acknowledgement((batch.number - 1) % MARKERS + 1)
        self._batches_by_number[batch.number] = batch
        for proxy in self.cycle_charges:
            self.sent_times.setdefault(proxy, deque()).append(now)
        self.discard_charges()
        self._enqueue(batch)

    def _new_batch(self, now: int, lines: dict[int | None, float]) -> DispatchedBatch:
        self.batch_number += 1
        self.earliest_idle = max(self.earliest_idle, now)
        self.latest_idle = max(self.latest_idle, now)
        batch = DispatchedBatch(self.batch_number, now, lines, self.next_position, self.earliest_idle)
        self.earliest_idle += batch.total_lines * SECOND / self.nominal_rate
        self.latest_idle = min(
            self.latest_idle + batch.total_lines * self.slowest_line_time,
            now + self.queue_limit * self.slowest_line_time,
        )
        batch.latest_end = max(self.latest_idle, now + UNACKNOWLEDGED_TIMEOUT)
        return batch

    def _enqueue(self, batch: DispatchedBatch) -> None:
        self.batches.append(batch)
        self.next_position = batch.end_position
        self.unconfirmed_total += batch.total_lines
        self.queued_lines += batch.total_lines
        batch.queued_lines = self.queued_lines

    def record_acknowledgement(self, proxy: int, marker: int, elapsed: int) -> None:
        """A proxy has applied the batch of a marker, so long after it was dispatched.

        Markers that no batch waits for are ignored.
        """
        batch = self._batches_by_number.get(self.batch_number - (self.batch_number - marker) % MARKERS)
        if batch is None:
            return
        batch.acknowledged_lines += batch.lines.pop(proxy, 0)
        lines_behind = batch.lines_behind.get(proxy, batch.end_position)
        batch.latest_end = min(batch.latest_end, self.now + lines_behind * self.slowest_line_time)
        self._confirm_position(batch.number, batch.start_position)
        self._retire_passed_batches()
        self._learn_rate(batch.queued_lines, elapsed)

    def _confirm_position(self, batch_number: int, passed: float) -> None:
        if any(
            number >= batch_number and position >= passed for number, position in self._confirmed_positions
        ):
            return
        self._confirmed_positions = [
            proof for proof in self._confirmed_positions if proof[0] > batch_number or proof[1] > passed
        ]
        self._confirmed_positions.append((batch_number, passed))

    def _learn_rate(self, queued_lines: float, elapsed: int) -> None:
        """The true pace shows in how long a message took, against what was queued before it."""
        if not queued_lines:
            return
        queue_time = elapsed - self.longest_delivery
        if queue_time > 0 and queued_lines / queue_time * SECOND < self.rate:
            measured = queued_lines / queue_time * SECOND
            self.rate = max(MINIMUM_RATE_SHARE * self.nominal_rate, measured)
        elif elapsed < self.longest_delivery + queued_lines / self.nominal_rate * SECOND:
            self.rate += (self.nominal_rate - self.rate) * RATE_RECOVERY_SHARE

    def record_connection(self, proxy: int) -> None:
        """A proxy has opened a connection: its messages are counted anew, and written after the others'."""
        self.sent_times[proxy] = deque()
        self._join_order[proxy] = next(self._join_counter)

    def record_disconnection(self, proxy: int, is_ended_by_server: bool = False) -> None:
        """A proxy's connection has ended, and what was queued for it is dropped.

        Where this server ended the connection (`ended_here`) it stays counted.
        """
        if is_ended_by_server:
            for batch in self.batches:
                batch.lines[None] = batch.lines.get(None, 0) + batch.lines.pop(proxy, 0)
        self.sent_times.pop(proxy, None)
        for batch in self.batches:
            lines = batch.lines.pop(proxy, 0)
            if lines:
                self._drop_lines(batch, lines)
        self._retire_passed_batches()

    def _drop_lines(self, batch: DispatchedBatch, lines: float) -> None:
        # they may have been ordered when the channel was at its slowest
        self.next_position -= lines * SLOWEST_FACTOR
        self.earliest_idle -= lines * self.slowest_line_time
        if batch.earliest_start > self.now:  # else they may have left already
            batch.total_lines -= lines
            self.unconfirmed_total -= lines
