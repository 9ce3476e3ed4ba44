"""Flow control of the control channel.

The control channel carries configuration lines to all proxies at a limited rate, and its queue must not
exceed a limit. Lines, message overheads and messages are therefore counted before they are written. The
queue length is estimated from the channel's rate, and bounded by the lines that acknowledgements confirm to
have left the channel.

If a proxy's connection breaks, the lines that are queued for it are dropped, and everything written later
leaves the channel earlier. An acknowledgement therefore confirms only batches that precede its own batch both
in the order of writing and by position. Positions count the lines written so far, less the dropped ones.
Times and durations are integer microseconds.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Collection, Iterable
from enum import Enum
from itertools import count, takewhile
from typing import TYPE_CHECKING

from ravenshelf.policy.dispatched_batch import DispatchedBatch
from ravenshelf.policy.message_budget import MessageBudget
from ravenshelf.settings import ServiceSettings
from ravenshelf.time_units import SECOND

if TYPE_CHECKING:  # Imported for annotations only, so that a simulated server starts without loading it.
    from ravenshelf.policy.commands import CommandWriter

# Where the settings state no limit, this is the queue limit in lines and the rate in lines per second.
UNLIMITED_LINES = 1e9
# Each message is charged with this many lines of overhead where the settings state none.
DEFAULT_MESSAGE_OVERHEAD = 6.0
# Each message contains one acknowledgement marker, which counts as a line.
MARKER_LINES = 1
# Markers on the wire range from 1 to this number.
MARKERS = 65_535
# The channel never gets slower than its nominal rate divided by this factor.
SLOWEST_FACTOR = 10
# An unacknowledged batch counts as queued for at least this time.
UNACKNOWLEDGED_TIMEOUT = 20 * SECOND
# The estimated rate never falls below this share of the nominal rate.
MINIMUM_RATE_SHARE = 0.05
# Each timely acknowledgement closes this share of the gap between the estimated and the nominal rate.
RATE_RECOVERY_SHARE = 0.1

# The following limits are indexed by urgency.

# A change is not written if the queue before it takes more than this many seconds to drain at the nominal
# rate, because the change would be outdated by then.
MAXIMUM_QUEUE_SECONDS = (0.7, 1.5, 1.5, 4.0, 1e9)
# The estimated queue may take up this share of the queue limit.
QUEUE_SHARES = (0.45, 0.65, 0.65, 0.75, 0.88)
# Lines that are not confirmed to have left the channel may still be queued, whatever the rate of the channel
# is. They may take up this share of the queue limit.
UNCONFIRMED_SHARES = (0.85, 0.85, 0.85, 0.9, 0.95)


class CapacityLimit(Enum):
    """A limit that may refuse a change; the value is the name of the counter of its refusals."""

    QUEUE_TIME = "refused_by_queue_time"
    ESTIMATED_QUEUE = "refused_by_estimated_queue"
    UNCONFIRMED_LINES = "refused_by_unconfirmed_lines"
    MESSAGES = "refused_by_messages"


class ChannelFlowControl:
    """The capacity check of the control channel, with an estimate of its rate from acknowledgements.

    In each control cycle, call `advance` first, then `has_capacity` and `charge` for each change, and finally
    `commit_cycle`, or `discard_charges` if the cycle failed.

    Attributes:
        nominal_rate: The lines per second that the settings announce.
        rate: The estimated rate in lines per second.
        queued_lines: The estimated queue length in lines.
        batches: The batches that are not confirmed to have left the channel, oldest first.
        unconfirmed_total: The lines of `batches`.
        batch_number: The number of the latest batch, 0 before the first.
        next_position: The position at which the next batch starts.
        earliest_idle: When everything has left the channel at its nominal rate.
        latest_idle: When everything has left the channel at its slowest rate.
        cycle_charges: The lines charged in the current cycle, by proxy.
        cycle_lines: The sum of `cycle_charges`.
        messages: The messages that proxies have got recently.
        slowest_line_time: The microseconds that one line takes at the slowest rate.
        refusals: How often each limit has refused a change since `take_refusals`.
    """

    def __init__(self, service: ServiceSettings, drain_grace: int | None = None):
        """Create the flow control of an empty channel.

        Args:
            service: The limits of the channel.
            drain_grace: The time within which a withdrawal has to take effect; None: not stated.
        """
        self.nominal_rate = max(1.0, service.lines_per_second or UNLIMITED_LINES)
        self.rate = self.nominal_rate
        self.message_overhead = DEFAULT_MESSAGE_OVERHEAD
        if service.message_overhead_lines is not None:
            self.message_overhead = service.message_overhead_lines
        self.queue_limit = service.queue_limit_lines or UNLIMITED_LINES
        self.messages = MessageBudget(
            service.messages_per_proxy_limit, service.message_count_window_us, drain_grace
        )
        self.longest_delivery = service.longest_delivery_us
        self.slowest_line_time = SLOWEST_FACTOR / self.nominal_rate * SECOND

        self.now = 0
        self.queued_lines = 0.0
        self.batch_number = 0
        self.batches: deque[DispatchedBatch] = deque()
        self.unconfirmed_total = 0.0
        self.next_position = 0.0
        self.earliest_idle = 0.0
        self.latest_idle = 0.0
        self.cycle_charges: dict[int | None, float] = {}
        self.cycle_lines = 0.0
        self.refusals: Counter[CapacityLimit] = Counter()
        self._batches_by_number: dict[int, DispatchedBatch] = {}
        # Each pair of a batch number and a position confirms that the batches with a smaller number that end
        # at that position or before it have left the channel.
        self._confirmed_positions: list[tuple[int, float]] = []
        # Messages of one cycle are sent in the order in which the proxies joined.
        self._join_order: defaultdict[int | None, int] = defaultdict(int)
        self._join_counter = count()

    def advance(self, now: int) -> None:
        """Update the estimated queue to a time, as lines leave the channel at the estimated rate.

        Lines whose acknowledgement is overdue stay in the estimate until they are confirmed.
        """
        self.queued_lines = max(0.0, self.queued_lines - self.rate * (now - self.now) / SECOND)
        self.now = now
        self._retire_passed_batches()
        overdue_at = now - self.longest_delivery
        overdue_lines = sum(
            batch.total_lines
            for batch in takewhile(lambda batch: batch.dispatched_at <= overdue_at, self.batches)
        )
        certain_lines = overdue_lines - self.batches[0].acknowledged_lines if overdue_lines else 0.0
        self.queued_lines = max(self.queued_lines, certain_lines)

    def unconfirmed_lines(self) -> float:
        """Return the lines that may still be queued, however slow the channel is.

        Acknowledgements of single proxies are subtracted for the oldest batch only.
        """
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
            passed_batch = self.batches.popleft()
            self.unconfirmed_total -= passed_batch.total_lines
            if self.batches:
                oldest_batch = self.batches[0]
                slowest_end = self.now + oldest_batch.length * self.slowest_line_time
                oldest_batch.latest_end = min(oldest_batch.latest_end, slowest_end)
            self._batches_by_number.pop(passed_batch.number, None)
        self._confirmed_positions = [
            confirmed
            for confirmed in self._confirmed_positions
            if self.batches and confirmed[0] > self.batches[0].number
        ]
        self.queued_lines = min(self.queued_lines, self.unconfirmed_lines())

    def has_capacity(
        self, lines: float, proxies: Collection[int], urgency: int, message_urgency: int | None = None
    ) -> bool:
        """Return whether the channel has capacity for a change.

        Args:
            lines: The lines of the change, for each proxy.
            proxies: The proxies that the change is sent to.
            urgency: The urgency of the change, an index into the limits of this module.
            message_urgency: The urgency that applies to the count of messages; None: that of the change.
        """
        exceeded_limit = self._exceeded_limit(
            lines, proxies, urgency, urgency if message_urgency is None else message_urgency
        )
        if exceeded_limit is None:
            return True
        self.refusals[exceeded_limit] += 1
        return False

    def has_messages(self, proxies: Iterable[int], urgency: int) -> bool:
        """Return whether each of the proxies may get a message, or gets one in this cycle anyway."""
        new_proxies = [proxy for proxy in proxies if proxy not in self.cycle_charges]
        return self.messages.allows(new_proxies, self.now, urgency)

    def _exceeded_limit(
        self, lines: float, proxies: Collection[int], urgency: int, message_urgency: int
    ) -> CapacityLimit | None:
        """Return the first limit that a change would exceed, None if there is capacity for it."""
        new_messages = sum(proxy not in self.cycle_charges for proxy in proxies)
        overhead = new_messages * (self.message_overhead + MARKER_LINES)
        required_lines = self.cycle_lines + len(proxies) * lines + overhead
        if self.queued_lines + self.cycle_lines > self.nominal_rate * MAXIMUM_QUEUE_SECONDS[urgency]:
            return CapacityLimit.QUEUE_TIME
        if self.queued_lines + required_lines > self.queue_limit * QUEUE_SHARES[urgency]:
            return CapacityLimit.ESTIMATED_QUEUE
        if self.unconfirmed_lines() + required_lines > self.queue_limit * UNCONFIRMED_SHARES[urgency]:
            return CapacityLimit.UNCONFIRMED_LINES
        if not self.has_messages(proxies, message_urgency):
            return CapacityLimit.MESSAGES
        return None

    def take_refusals(self) -> Counter[CapacityLimit]:
        """Return how often each limit has refused a change since the last call."""
        refusals = self.refusals
        self.refusals = Counter()
        return refusals

    def charge(self, proxies: Iterable[int], lines: float) -> None:
        """Count a number of lines for each proxy in this cycle.

        The first charge of a proxy in a cycle includes the overhead of its message.
        """
        overhead = self.message_overhead + MARKER_LINES
        charges = self.cycle_charges
        for proxy in proxies:
            self.cycle_lines += lines + (0 if proxy in charges else overhead)
            charges[proxy] = charges.get(proxy, overhead) + lines

    def discard_charges(self) -> None:
        """Reset the charges of this cycle to none, for example because its commands will not be sent."""
        self.cycle_charges = {}
        self.cycle_lines = 0.0

    def record_uncharged_lines(self, lines: float) -> None:
        """Add lines to the queue that were written without a charge; no proxy acknowledges them."""
        self._enqueue(self._new_batch(self.now, {None: lines}))

    def commit_cycle(self, now: int, writer: CommandWriter) -> None:
        """Turn the cycle's charges, if any, into a batch, and request its acknowledgement."""
        if not self.cycle_charges:
            return
        sorted_proxies = sorted(self.cycle_charges, key=self._join_order.__getitem__)
        batch = self._new_batch(now, {proxy: self.cycle_charges[proxy] for proxy in sorted_proxies})
        # A marker is reused after 65,535 batches, long after its previous batch was acknowledged.
        writer.request_acknowledgement((batch.number - 1) % MARKERS + 1)
        self._batches_by_number[batch.number] = batch
        for proxy in self.cycle_charges:
            self.messages.record_message(proxy, now)
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
        """Record that a proxy has applied its part of a batch.

        Args:
            proxy: The proxy.
            marker: The marker of the batch; a marker that belongs to no unconfirmed batch is ignored.
            elapsed: The microseconds from the dispatch of the batch until the proxy had applied it.
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

    def _learn_rate(self, queued_lines: float, elapsed: int) -> None:
        """Adapt the estimated rate to the time that a message took behind a number of queued lines."""
        if not queued_lines:
            return
        queue_time = elapsed - self.longest_delivery
        if queue_time > 0 and queued_lines / queue_time * SECOND < self.rate:
            measured_rate = queued_lines / queue_time * SECOND
            self.rate = max(MINIMUM_RATE_SHARE * self.nominal_rate, measured_rate)
        elif elapsed < self.longest_delivery + queued_lines / self.nominal_rate * SECOND:
            self.rate += (self.nominal_rate - self.rate) * RATE_RECOVERY_SHARE

    def record_connection(self, proxy: int) -> None:
        """Record that a proxy has opened a connection.

        Its messages are counted from zero, and in a cycle they are sent after those of the other proxies.
        """
        self.messages.reset(proxy)
        self._join_order[proxy] = next(self._join_counter)

    def record_disconnection(self, proxy: int, is_ended_by_server: bool = False) -> None:
        """Record that a proxy's connection has ended.

        The lines queued for a connection that broke are dropped. Those for a connection that this server
        ended (`is_ended_by_server`) still count as queued.
        """
        if is_ended_by_server:
            for batch in self.batches:
                batch.lines[None] = batch.lines.get(None, 0) + batch.lines.pop(proxy, 0)
        self.messages.reset(proxy)
        for batch in self.batches:
            lines = batch.lines.pop(proxy, 0)
            if lines:
                self._drop_lines(batch, lines)
        self._retire_passed_batches()

    def _drop_lines(self, batch: DispatchedBatch, lines: float) -> None:
        # The lines may have been written while the channel was at its slowest, so dropping them may shorten
        # the queue by the time that as many lines take at that rate.
        self.next_position -= lines * SLOWEST_FACTOR
        self.earliest_idle -= lines * self.slowest_line_time
        # Lines of a batch that the channel may have reached already may have been sent, so they still count.
        if batch.earliest_start > self.now:
            batch.total_lines -= lines
            self.unconfirmed_total -= lines
