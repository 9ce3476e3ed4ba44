"""The way of a pilot's messages to its proxies."""

import random
from typing import Protocol

from standins.fleet.clock import SECOND
from standins.fleet.proxies import Proxy

FIXED_DELAY = SECOND // 5  # from an order to its effect, and as long again until the answer is heard


class Receiver(Protocol):
    """The sending pilot, told of what arrives."""

    def arrived(self, proxy: Proxy, message: str, ticket: int | None, took: int, starts) -> None: ...


class Channel(Protocol):
    def send(self, proxy: Proxy, message: str, ticket: int | None, starts) -> None: ...


def line_count(message: str, envelope: int) -> int:
    """Lines of a message as the channel counts them, with its head."""
    count = envelope
    for line in message.splitlines():
        for word in line.split()[1:]:
            name, _, value = word.partition("=")
            if name in ("lines", "out", "back"):
                count += value.count(",") + 1
            elif name in ("whole", "level", "ticket"):
                count += 1
    return count


class FixedChannel:
    """Unbounded room; every message takes the same time."""

    def __init__(self, events, receiver: Receiver):
        self.events, self.receiver = events, receiver

    def send(self, proxy: Proxy, message: str, ticket: int | None, starts) -> None:
        self.events.later(
            FIXED_DELAY, lambda: self.receiver.arrived(proxy, message, ticket, FIXED_DELAY, starts)
        )


class BoundedChannel:
    """Messages leave one after another at so many lines a second and arrive a drawn time later, in order at each proxy."""

    def __init__(
        self,
        events,
        receiver: Receiver,
        lines_per_s: float,
        envelope: int,
        delay: tuple[int, int],
        chance: random.Random,
    ):
        self.events, self.receiver = events, receiver
        self.lines_per_s, self.envelope, self.delay, self.chance = lines_per_s, envelope, delay, chance
        self.free_at = 0
        self.last: dict[int, int] = {}  # by proxy: when the newest message arrives

    def send(self, proxy: Proxy, message: str, ticket: int | None, starts) -> None:
        ordered = self.events.now
        lines = line_count(message, self.envelope)
        self.free_at = max(self.free_at, ordered) + round(lines / self.lines_per_s * SECOND)
        arrives = max(self.free_at + self.chance.randint(*self.delay), self.last.get(proxy.number, 0))
        self.last[proxy.number] = arrives
        took = arrives - ordered
        self.events.later(took, lambda: self.receiver.arrived(proxy, message, ticket, took, starts))
