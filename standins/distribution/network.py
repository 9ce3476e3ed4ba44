"""The simulated network: regions, delays, losses, partitions, and connections.

Connections carry messages in order unless the rules make them drop, repeat or reorder some.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ravenshelf.distribution.decisions.distributor import EncodedMessage
from ravenshelf.distribution.messages import Message, encode
from standins.fleet.clock import SECOND, EventQueue

MILLISECOND = 1000  # microseconds
RETRANSMISSION_DELAY = 250 * MILLISECOND  # delay of a message that was lost once in transit
KEEPALIVE_TIMEOUT = 15 * SECOND  # until a parent detects that a child is unreachable


@dataclass
class NetworkRules:
    """Delays are one way, in microseconds; `loss` is the share of messages that are one retransmission late.

    `dropped`, `repeated` and `reordered` are shares of messages too; a correct transport does none of it.
    """

    within_region: tuple[int, int] = (300, 1500)
    between_regions: tuple[int, int] = (10 * MILLISECOND, 120 * MILLISECOND)
    loss_share: float = 0.001
    bytes_per_second: float = 12_500_000.0  # of one connection
    dropped_share: float = 0.0
    repeated_share: float = 0.0
    reordered_share: float = 0.0


class Process(Protocol):
    """What the network needs of a process."""

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
        """Accept a connection, or return False."""

    def dial_accepted(self, generation: int, connection: "Connection") -> None:
        """A dial of that generation was accepted."""

    def dial_refused(self, generation: int, upstream: str) -> None:
        """A dial of that generation was refused."""

    def upstream_message_arrived(self, connection: "Connection", message: Message) -> None:
        """A message has arrived from a parent."""

    def subscriber_message_arrived(self, connection: "Connection", message: Message) -> None:
        """A message has arrived from a subscriber."""

    def connection_lost(self, connection: "Connection") -> None:
        """The other end has ended a connection."""


class Connection:
    """One child's connection to one parent."""

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
        """Send from the child to the parent."""
        self.parent.bytes_in += len(encode(message))
        self.last_upstream_delivery_at = self._schedule_delivery(
            self.last_upstream_delivery_at, 0, lambda: self.parent.subscriber_message_arrived(self, message)
        )

    def send_down(self, outgoing: EncodedMessage) -> None:
        """Send from the parent to the child."""
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

    def _schedule_delivery(self, last: int, wait: int, call: Callable[[], None]) -> int:
        """Schedule the delivery, in order; return its time. In a partition nothing is delivered."""
        network, random_source, rules = self.network, self.network.random_source, self.network.rules
        at = (
            network.events.now
            + wait
            + self.delay
            + (RETRANSMISSION_DELAY if random_source.random() < rules.loss_share else 0)
        )
        if (
            network.is_partitioned(self.child.region, self.parent.region)
            or random_source.random() < rules.dropped_share
        ):
            return last
        if random_source.random() < rules.reordered_share:
            network.at(at + random_source.randint(0, RETRANSMISSION_DELAY), lambda: self.is_open and call())
            return last
        at = max(at, last)
        network.at(at, lambda: self.is_open and call())
        if random_source.random() < rules.repeated_share:
            network.at(at + random_source.randint(0, RETRANSMISSION_DELAY), lambda: self.is_open and call())
        return at

    def close(self, by: Process, silently: bool = False) -> None:
        """End the connection. The other end is notified a delay later, or by its keepalive if it is
        unreachable."""
        if not self.is_open:
            return
        self.is_open = False
        other = self.parent if by is self.child else self.child
        unreachable = silently or self.network.is_partitioned(self.child.region, self.parent.region)
        if other is self.child and unreachable:
            return  # the client has a silence timeout of its own
        self.network.call_later(
            KEEPALIVE_TIMEOUT if unreachable else self.delay, lambda: other.connection_lost(self)
        )


class Network:
    """Carries messages between the processes of all regions, and records all dials."""

    def __init__(self, events: EventQueue, random_source: random.Random, regions: int, rules: NetworkRules):
        self.events, self.random_source, self.rules = events, random_source, rules
        self._delays = {
            (first, second): random_source.randint(*rules.between_regions)
            for first in range(regions)
            for second in range(first)
        }
        self._isolated_regions: set[int] = set()  # partitioned regions
        self.dials: list[tuple[int, str, str]] = []  # when, by whom, to whom

    def call_later(self, after: int, call: Callable[[], object]) -> None:
        """Schedule a call after so many microseconds."""
        self.events.call_later(after, call)

    def at(self, at: int, call: Callable[[], object]) -> None:
        """Schedule a call at a time."""
        self.events.call_later(max(0, at - self.events.now), call)

    def delay(self, one: int, other: int) -> int:
        """Return a one-way delay between two regions."""
        if one == other:
            return self.random_source.randint(*self.rules.within_region)
        return self._delays[max(one, other), min(one, other)]

    def isolate_region(self, region: int) -> None:
        """Partition a region from all others."""
        self._isolated_regions.add(region)

    def reconnect_region(self, region: int) -> None:
        """End the partition of a region."""
        self._isolated_regions.discard(region)

    def is_partitioned(self, one: int, other: int) -> bool:
        """Return whether two regions are partitioned from each other."""
        return one != other and (one in self._isolated_regions or other in self._isolated_regions)

    def dial(self, child: Process, upstream: str, parent: Process | None) -> None:
        """Dial a parent; the child learns the outcome after a round trip, and nothing in a partition."""
        if parent is None or self.is_partitioned(child.region, parent.region):
            return
        self.dials.append((self.events.now, child.name, parent.name))
        delay = self.delay(child.region, parent.region)
        self.call_later(delay, lambda: self._complete_dial(child, child.generation, upstream, parent, delay))

    def _complete_dial(
        self, child: Process, generation: int, upstream: str, parent: Process, delay: int
    ) -> None:
        connection = Connection(self, child, upstream, parent)
        accepted = parent.alive and not parent.is_paused() and parent.accept_subscriber(connection)
        if accepted:
            self.call_later(delay, lambda: child.dial_accepted(generation, connection))
        elif not parent.is_paused():
            self.call_later(delay, lambda: child.dial_refused(generation, upstream))
