"""The virtual network: regions, delays, losses, cuts, and connections that carry messages in order or, where a script says
so, lose, repeat and reorder them."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ravenshelf.distribution.decisions.distributor import Outgoing
from ravenshelf.distribution.messages import Message, encode
from standins.fleet.clock import SECOND, EventQueue

if TYPE_CHECKING:
    from standins.distribution.node import Node

MILLISECOND = 1000
RETRANSMISSION = 250 * MILLISECOND  # how late a message is that was lost once on the way
KEEPALIVE = 15 * SECOND  # until a parent notices that a child is out of reach


@dataclass
class NetworkRules:
    """Delays are one way, in microseconds; `loss` is the share of messages that come one retransmission late."""

    within_region: tuple[int, int] = (300, 1500)
    between_regions: tuple[int, int] = (10 * MILLISECOND, 120 * MILLISECOND)
    loss: float = 0.001
    bytes_per_second: float = 12_500_000.0  # of one connection
    dropped: float = 0.0  # shares of messages that a broken transport loses, repeats or sends late;
    repeated: float = 0.0  # a transport in order does none of it
    reordered: float = 0.0


class Connection:
    """One child's connection to one parent."""

    __slots__ = (
        "bytes_per_second",
        "child",
        "delay",
        "free_at",
        "last_down",
        "last_up",
        "network",
        "open",
        "parent",
        "pump_at",
        "upstream",
    )

    def __init__(self, network: "Network", child: "Node", upstream: str, parent: "Node"):
        self.network, self.child, self.upstream, self.parent = network, child, upstream, parent
        self.delay, self.open = network.delay(child.region, parent.region), True
        self.free_at = self.last_down = self.last_up = 0
        self.pump_at: int | None = None
        self.bytes_per_second = min(network.rules.bytes_per_second, child.bytes_per_second)

    def up(self, message: Message) -> None:
        """From the child to the parent."""
        self.parent.bytes_in += len(encode(message))
        self.last_up = self._carry(self.last_up, 0, lambda: self.parent.subscriber_says(self, message))

    def down(self, outgoing: Outgoing) -> None:
        """From the parent to the child."""
        size = len(outgoing.payload)
        network = self.network
        self.free_at = max(self.free_at, network.events.now) + round(size / self.bytes_per_second * SECOND)
        self.parent.bytes_out += size
        self.parent.messages_out += 1
        self.last_down = self._carry(
            self.last_down, self.free_at - network.events.now, lambda: self._arrived(outgoing.message, size)
        )

    def _arrived(self, message: Message, size: int) -> None:
        self.child.bytes_in += size
        self.child.messages_in += 1
        self.child.upstream_says(self, message)

    def _carry(self, last: int, wait: int, call: Callable[[], None]) -> int:
        """Delivers in order; gives when. In a cut nothing comes through."""
        network, random_source, rules = self.network, self.network.random_source, self.network.rules
        at = (
            network.events.now
            + wait
            + self.delay
            + (RETRANSMISSION if random_source.random() < rules.loss else 0)
        )
        if network.is_cut(self.child.region, self.parent.region) or random_source.random() < rules.dropped:
            return last
        if random_source.random() < rules.reordered:
            network.at(at + random_source.randint(0, RETRANSMISSION), lambda: self.open and call())
            return last
        at = max(at, last)
        network.at(at, lambda: self.open and call())
        if random_source.random() < rules.repeated:
            network.at(at + random_source.randint(0, RETRANSMISSION), lambda: self.open and call())
        return at

    def close(self, by: "Node", silently: bool = False) -> None:
        """Ends it. The other end hears of it a delay later, or by its keepalive where it can't be reached."""
        if not self.open:
            return
        self.open = False
        other = self.parent if by is self.child else self.child
        unheard = silently or self.network.is_cut(self.child.region, self.parent.region)
        if other is self.child and unheard:
            return  # the client counts the silence itself
        self.network.later(KEEPALIVE if unheard else self.delay, lambda: other.connection_lost(self))


class Network:
    def __init__(self, events: EventQueue, random_source: random.Random, regions: int, rules: NetworkRules):
        self.events, self.random_source, self.rules = events, random_source, rules
        self._delays = {
            (one, other): random_source.randint(*rules.between_regions)
            for one in range(regions)
            for other in range(one)
        }
        self._cut: set[int] = set()  # regions that reach only themselves
        self.dials: list[tuple[int, str, str]] = []  # when, by whom, to whom

    def later(self, after: int, call: Callable[[], object]) -> None:
        """Calls after so many microseconds."""
        self.events.later(after, call)

    def at(self, at: int, call: Callable[[], object]) -> None:
        """Calls at a time."""
        self.events.later(max(0, at - self.events.now), call)

    def delay(self, one: int, other: int) -> int:
        """One way between two regions."""
        if one == other:
            return self.random_source.randint(*self.rules.within_region)
        return self._delays[max(one, other), min(one, other)]

    def cut_off(self, region: int) -> None:
        """Parts a region from all others."""
        self._cut.add(region)

    def heal(self, region: int) -> None:
        """Ends the cut."""
        self._cut.discard(region)

    def is_cut(self, one: int, other: int) -> bool:
        """Whether nothing comes through between two regions."""
        return one != other and (one in self._cut or other in self._cut)

    def dial(self, child: "Node", upstream: str, parent: "Node | None") -> None:
        """A child dials; it hears of the outcome after a round trip, and of nothing in a cut."""
        if parent is None or self.is_cut(child.region, parent.region):
            return
        self.dials.append((self.events.now, child.name, parent.name))
        delay = self.delay(child.region, parent.region)
        self.later(delay, lambda: self._dialled(child, child.generation, upstream, parent, delay))

    def _dialled(self, child: "Node", generation: int, upstream: str, parent: "Node", delay: int) -> None:
        connection = Connection(self, child, upstream, parent)
        accepted = parent.alive and not parent.is_paused() and parent.accepts(connection)
        if accepted:
            self.later(delay, lambda: child.dialled(generation, connection))
        elif not parent.is_paused():
            self.later(delay, lambda: child.refused(generation, upstream))
