"""Flow control of the control channel.

The control channel carries configuration lines to all proxies at a limited rate, and its queue must not
exceed a limit. Lines, message overheads and messages are therefore counted before they are written. The
queue length is estimated from the channel's rate, and bounded by the lines that are not confirmed to have
left the channel (`unconfirmed_lines.py`).

Times and durations are integer microseconds.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Collection, Iterable
from enum import Enum
from itertools import count
from typing import TYPE_CHECKING

from ravenshelf.policy.dispatched_batch import DispatchedBatch
from ravenshelf.policy.message_budget import MessageBudget
from ravenshelf.policy.unconfirmed_lines import UnconfirmedLines
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
        unconfirmed: The lines that may still be queued, however slow the channel is.
        cycle_charges: The lines charged in the current cycle, by proxy.
        cycle_lines: The sum of `cycle_charges`.
        messages: The messages that proxies have got recently.
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
        self.unconfirmed = UnconfirmedLines(self.nominal_rate, self.queue_limit, self.longest_delivery)
        self.now = 0
        self.queued_lines = 0.0
        self.cycle_charges: dict[int | None, float] = {}
        self.cycle_lines = 0.0
        self.refusals: Counter[CapacityLimit] = Counter()
        # Messages of one cycle are sent in the order in which the proxies joined.
        self._join_order: defaultdict[int | None, int] = defaultdict(int)
        self._join_counter = count()

    @property
    def batches(self) -> deque[DispatchedBatch]:
        """The batches that may be in the channel, oldest first."""
        return self.unconfirmed.batches

    @property
    def batch_number(self) -> int:
        """The number of the latest batch, 0 before the first."""
        return self.unconfirmed.batch_number

    def unconfirmed_lines(self) -> float:
        """Return the lines that may still be queued, however slow the channel is."""
        return self.unconfirmed.total()

    def advance(self, now: int) -> None:
        """Update the estimated queue to a time, as lines leave the channel at the estimated rate.

        Lines whose acknowledgement is overdue stay in the estimate until they are confirmed.
        """
        self.queued_lines = max(0.0, self.queued_lines - self.rate * (now - self.now) / SECOND)
        self.now = now
        self.unconfirmed.advance(now)
        overdue_lines = self.unconfirmed.unacknowledged_since(now - self.longest_delivery)
        self.queued_lines = max(self.queued_lines, overdue_lines)
        self._limit_estimate()

    def _limit_estimate(self) -> None:
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
        self._write_batch(self.now, {None: lines})

    def commit_cycle(self, now: int, writer: CommandWriter) -> None:
        """Turn the cycle's charges, if any, into a batch, and request its acknowledgement."""
        if not self.cycle_charges:
            return
        sorted_proxies = sorted(self.cycle_charges, key=self._join_order.__getitem__)
        self._write_batch(now, {proxy: self.cycle_charges[proxy] for proxy in sorted_proxies})
        # A marker is reused after 65,535 batches, long after its previous batch was acknowledged.
        writer.request_acknowledgement((self.batch_number - 1) % MARKERS + 1)
        for proxy in self.cycle_charges:
            self.messages.record_message(proxy, now)
        self.discard_charges()

    def _write_batch(self, now: int, lines: dict[int | None, float]) -> None:
        batch = self.unconfirmed.add(now, lines)
        self.queued_lines += batch.total_lines
        batch.queued_lines = self.queued_lines

    def record_acknowledgement(self, proxy: int, marker: int, elapsed: int) -> None:
        """Record that a proxy has applied its part of a batch.

        Args:
            proxy: The proxy.
            marker: The marker of the batch. If it belongs to no unconfirmed batch, the acknowledgement only
                shows that the proxy acknowledges batches.
            elapsed: The microseconds from the dispatch of the batch until the proxy had applied it.
        """
        self.unconfirmed.silent_proxies.discard(proxy)
        batch = self.unconfirmed.get(self.batch_number - (self.batch_number - marker) % MARKERS)
        if batch is None:
            return
        self.unconfirmed.record_acknowledgement(batch, proxy, self.now)
        self._limit_estimate()
        self._learn_rate(batch.queued_lines, elapsed)

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
        self.unconfirmed.rate = self.rate

    def record_connection(self, proxy: int, earlier_messages: Iterable[int] = ()) -> None:
        """Record that a proxy has joined: in a cycle, its messages are sent after those of the others.

        Args:
            proxy: The proxy.
            earlier_messages: The times of messages that were written to the same connection before.
        """
        self._join_order[proxy] = next(self._join_counter)
        self.messages.restore(proxy, earlier_messages)

    def record_disconnection(self, proxy: int, is_ended_by_server: bool = False) -> None:
        """Record that a proxy's connection has ended.

        The lines queued for a connection that broke are lost. Those for a connection that this server ended
        (`is_ended_by_server`) still count as queued. The messages of the proxy's next connection are counted
        from zero.
        """
        self.messages.reset(proxy)
        if is_ended_by_server:
            self.unconfirmed.keep_unacknowledged(proxy)
        else:
            self.unconfirmed.lose_lines(proxy, self.now)
        self._limit_estimate()
