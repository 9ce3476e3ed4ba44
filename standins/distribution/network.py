"""Simulated network with regions, delays, losses, partitions and connections.

A connection delivers its messages in order, unless the rules drop, repeat or reorder some of them.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ravenshelf.distribution.decisions.distributor import EncodedMessage
from ravenshelf.distribution.messages import Message, encode
from standins.fleet.clock import SECOND, EventQueue

MILLISECOND = 1000  # one millisecond in microseconds

# A message that was lost once in transit arrives this much later, in microseconds.
RETRANSMISSION_DELAY = 250 * MILLISECOND

# A parent detects an unreachable child after this time, in microseconds.
KEEPALIVE_TIMEOUT = 15 * SECOND


@dataclass
class NetworkRules:
    """Delays, losses and faults of the simulated network.

    Attributes:
        within_region: Least and greatest one-way delay between processes of one region, in microseconds.
        between_regions: Least and greatest one-way delay between two regions, in microseconds.
        loss_share: Share of the messages that arrive one retransmission late.
        bytes_per_second: Bandwidth of one connection.
        dropped_share: Share of the messages that never arrive. A correct transport drops, repeats and
            reorders nothing.
        repeated_share: Share of the messages that are delivered twice.
        reordered_share: Share of the messages that later ones may overtake.
    """

    within_region: tuple[int, int] = (300, 1500)
    between_regions: tuple[int, int] = (10 * MILLISECOND, 120 * MILLISECOND)
    loss_share: float = 0.001
    bytes_per_second: float = 12_500_000.0
    dropped_share: float = 0.0
    repeated_share: float = 0.0
    reordered_share: float = 0.0


class Process(Protocol):
    """Interface of a process, as the network uses it."""

    name: str
    region: int
    bytes_per_second: float
    alive: bool
    generation: int
    bytes_in: int
    bytes_out: int
    messages_in: int
    messages_out: int

    def is_paused(self) -> bool:
        """Return whether the process is suspended."""

    def accept_subscriber(self, connection: "Connection") -> bool:
        """Register a subscriber and return True, or return False if the process refuses it."""

    def dial_accepted(self, generation: int, connection: "Connection") -> None:
        """Handle the acceptance of a dial that was made in a generation of the process."""

    def dial_refused(self, generation: int, upstream: str) -> None:
        """Handle the refusal of a dial that was made in a generation of the process."""

    def upstream_message_arrived(self, connection: "Connection", message: Message) -> None:
        """Handle a message from a parent."""

    def subscriber_message_arrived(self, connection: "Connection", message: Message) -> None:
        """Handle a message from a subscriber."""

    def connection_lost(self, connection: "Connection") -> None:
        """Handle the end of a connection that the other process closed."""


class Connection:
    """Connection of a child to a parent, with a fixed delay and a limited bandwidth.

    The child addresses the parent as `upstream`. `free_at` is the time at which the bytes that were sent down
    so far have left the parent.
    """

    __slots__ = (
        "bytes_per_second",
        "child",
        "delay",
        "free_at",
        "is_open",
        "last_downstream_delivery_at",
        "last_upstream_delivery_at",
        "network",
        "next_send_at",
        "parent",
        "upstream",
    )

    def __init__(self, network: "Network", child: Process, upstream: str, parent: Process):
        self.network = network
        self.child = child
        self.upstream = upstream
        self.parent = parent
        self.delay = network.delay(child.region, parent.region)
        self.is_open = True
        self.free_at = self.last_downstream_delivery_at = self.last_upstream_delivery_at = 0
        self.next_send_at: int | None = None
        self.bytes_per_second = min(network.rules.bytes_per_second, child.bytes_per_second)

    def send_up(self, message: Message) -> None:
        """Send a message from the child to the parent."""
        self.parent.bytes_in += len(encode(message))
        self.last_upstream_delivery_at = self._schedule_delivery(
            self.last_upstream_delivery_at, 0, lambda: self.parent.subscriber_message_arrived(self, message)
        )

    def send_down(self, outgoing: EncodedMessage) -> None:
        """Send an encoded message from the parent to the child, after those that were sent before."""
        size = len(outgoing.payload)
        network = self.network
        self.free_at = max(self.free_at, network.events.now) + round(size / self.bytes_per_second * SECOND)
        self.parent.bytes_out += size
        self.parent.messages_out += 1
        self.last_downstream_delivery_at = self._schedule_delivery(
            self.last_downstream_delivery_at,
            self.free_at - network.events.now,
            lambda: self._deliver_to_child(outgoing.message, size),
        )

    def _deliver_to_child(self, message: Message, size: int) -> None:
        self.child.bytes_in += size
        self.child.messages_in += 1
        self.child.upstream_message_arrived(self, message)

    def _schedule_delivery(
        self, previous_delivery_at: int, send_duration: int, deliver: Callable[[], None]
    ) -> int:
        """Schedule the delivery of a message; in a partition it is dropped.

        Args:
            previous_delivery_at: Delivery time of the previous message in the same direction, before which
                this one is not delivered unless the rules reorder it.
            send_duration: Microseconds until the last byte of the message is sent.
            deliver: Called at the delivery unless the connection has been closed by then.

        Returns:
            The delivery time, or `previous_delivery_at` if the message was dropped or reordered.
        """
        network, random_source, rules = self.network, self.network.random_source, self.network.rules
        delivery_at = (
            network.events.now
            + send_duration
            + self.delay
            + (RETRANSMISSION_DELAY if random_source.random() < rules.loss_share else 0)
        )
        if (
            network.is_partitioned(self.child.region, self.parent.region)
            or random_source.random() < rules.dropped_share
        ):
            return previous_delivery_at
        if random_source.random() < rules.reordered_share:
            network.call_at(
                delivery_at + random_source.randint(0, RETRANSMISSION_DELAY),
                lambda: self.is_open and deliver(),
            )
            return previous_delivery_at
        delivery_at = max(delivery_at, previous_delivery_at)
        network.call_at(delivery_at, lambda: self.is_open and deliver())
        if random_source.random() < rules.repeated_share:
            network.call_at(
                delivery_at + random_source.randint(0, RETRANSMISSION_DELAY),
                lambda: self.is_open and deliver(),
            )
        return delivery_at

    def close(self, closed_by: Process, silently: bool = False) -> None:
        """Close the connection.

        The other process is notified one delay later. If it is unreachable, a parent is notified by its
        keepalive, and a child detects the silence itself.

        Args:
            closed_by: The process at one end, which closes the connection.
            silently: Whether the other process cannot be notified, as after a machine failure.
        """
        if not self.is_open:
            return
        self.is_open = False
        other_end = self.parent if closed_by is self.child else self.child
        is_unreachable = silently or self.network.is_partitioned(self.child.region, self.parent.region)
        if other_end is self.child and is_unreachable:
            return  # The subscription client has a silence timeout of its own.
        self.network.call_later(
            KEEPALIVE_TIMEOUT if is_unreachable else self.delay, lambda: other_end.connection_lost(self)
        )


class Network:
    """Network between the processes of all regions, which also records every dial."""

    def __init__(self, events: EventQueue, random_source: random.Random, regions: int, rules: NetworkRules):
        self.events, self.random_source, self.rules = events, random_source, rules
        self._delays = {
            (region, other_region): random_source.randint(*rules.between_regions)
            for region in range(regions)
            for other_region in range(region)
        }
        self._isolated_regions: set[int] = set()
        # The time in microseconds, the child and the parent of each dial.
        self.dials: list[tuple[int, str, str]] = []

    def call_later(self, delay: int, callback: Callable[[], object]) -> None:
        """Schedule a callback `delay` microseconds from now."""
        self.events.call_later(delay, callback)

    def call_at(self, time: int, callback: Callable[[], object]) -> None:
        """Schedule a callback at a time in microseconds, or now if the time has passed."""
        self.events.call_later(max(0, time - self.events.now), callback)

    def delay(self, first_region: int, second_region: int) -> int:
        """Return the one-way delay between two regions, which is drawn anew within a region."""
        if first_region == second_region:
            return self.random_source.randint(*self.rules.within_region)
        return self._delays[max(first_region, second_region), min(first_region, second_region)]

    def isolate_region(self, region: int) -> None:
        """Partition a region from all others."""
        self._isolated_regions.add(region)

    def reconnect_region(self, region: int) -> None:
        """End the partition of a region."""
        self._isolated_regions.discard(region)

    def is_partitioned(self, first_region: int, second_region: int) -> bool:
        """Return whether two regions are partitioned from each other."""
        return first_region != second_region and (
            first_region in self._isolated_regions or second_region in self._isolated_regions
        )

    def dial(self, child: Process, upstream: str, parent: Process | None) -> None:
        """Dial a parent, and notify the child of the outcome after a round trip.

        There is no outcome if the parent does not exist, is suspended, or is in another partition.
        """
        if parent is None or self.is_partitioned(child.region, parent.region):
            return
        self.dials.append((self.events.now, child.name, parent.name))
        delay = self.delay(child.region, parent.region)
        self.call_later(delay, lambda: self._complete_dial(child, child.generation, upstream, parent, delay))

    def _complete_dial(
        self, child: Process, generation: int, upstream: str, parent: Process, delay: int
    ) -> None:
        connection = Connection(self, child, upstream, parent)
        is_accepted = parent.alive and not parent.is_paused() and parent.accept_subscriber(connection)
        if is_accepted:
            self.call_later(delay, lambda: child.dial_accepted(generation, connection))
        elif not parent.is_paused():
            self.call_later(delay, lambda: child.dial_refused(generation, upstream))
