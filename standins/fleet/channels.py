"""The control channel from a server to its proxies."""

import random
from collections.abc import Mapping
from typing import Protocol

from standins.fleet.clock import SECOND, EventQueue
from standins.fleet.proxies import SimulatedProxy

FIXED_DELAY = SECOND // 5  # microseconds of delivery, and of the acknowledgement


class Receiver(Protocol):
    """The sending server, which is notified of each delivery."""

    def message_arrived(
        self, proxy: SimulatedProxy, message: str, marker: int | None, took: int, starts: Mapping[str, int]
    ) -> None:
        """A message has arrived; `took`: microseconds since it was sent; `starts`: those that the sender
        knew."""


class Channel(Protocol):
    """Delivers messages to proxies."""

    def send(
        self, proxy: SimulatedProxy, message: str, marker: int | None, starts: Mapping[str, int]
    ) -> None:
        """Send a message; `marker`: of a requested acknowledgement; `starts`: those that the sender knows."""


def line_count(message: str, message_overhead: int) -> int:
    """Return the lines of a message as flow control counts them, with the overhead."""
    count = message_overhead
    for line in message.splitlines():
        for word in line.split()[1:]:
            name, _, value = word.partition("=")
            if name in ("lines", "out", "back"):
                count += value.count(",") + 1
            elif name in ("whole", "level", "ticket"):
                count += 1
    return count


class FixedChannel:
    """Unlimited capacity; every message takes the same time."""

    def __init__(self, events: EventQueue, receiver: Receiver):
        self.events = events
        self.receiver = receiver

    def send(
        self, proxy: SimulatedProxy, message: str, marker: int | None, starts: Mapping[str, int]
    ) -> None:
        """Send a message."""
        self.events.call_later(
            FIXED_DELAY, lambda: self.receiver.message_arrived(proxy, message, marker, FIXED_DELAY, starts)
        )


class BoundedChannel:
    """Sends messages one after another, so many lines a second; each arrives a random time later."""

    def __init__(
        self,
        events: EventQueue,
        receiver: Receiver,
        lines_per_second: float,
        message_overhead: int,
        delay: tuple[int, int],
        random_source: random.Random,
    ):
        self.events = events
        self.receiver = receiver
        self.lines_per_second = lines_per_second
        self.message_overhead = message_overhead
        self.delay = delay
        self.random_source = random_source
        self.free_at = 0
        self.last: dict[int, int] = {}  # by proxy: arrival of the newest message

    def send(
        self, proxy: SimulatedProxy, message: str, marker: int | None, starts: Mapping[str, int]
    ) -> None:
        """Send a message."""
        ordered = self.events.now
        lines = line_count(message, self.message_overhead)
        self.free_at = max(self.free_at, ordered) + round(lines / self.lines_per_second * SECOND)
        arrives = max(self.free_at + self.random_source.randint(*self.delay), self.last.get(proxy.number, 0))
        self.last[proxy.number] = arrives
        took = arrives - ordered
        self.events.call_later(
            took, lambda: self.receiver.message_arrived(proxy, message, marker, took, starts)
        )
