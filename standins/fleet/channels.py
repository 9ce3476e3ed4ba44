"""The control channel from a server to its proxies."""

import random
from collections.abc import Mapping
from typing import Protocol

from standins.fleet.clock import SECOND, EventQueue
from standins.fleet.proxies import SimulatedProxy

# Delay in microseconds of each delivery; the acknowledgement is delayed by as much again.
FIXED_DELAY = SECOND // 5


class Receiver(Protocol):
    """The sending server, which is notified of each delivery."""

    def message_arrived(
        self,
        proxy: SimulatedProxy,
        message: str,
        marker: int | None,
        delivery_time: int,
        known_starts: Mapping[str, int],
    ) -> None:
        """Handle the arrival of a message at its proxy.

        Args:
            proxy: The proxy that the message arrives at.
            message: The message, one or more lines.
            marker: The marker of a requested acknowledgement, if any.
            delivery_time: The microseconds since the message was sent.
            known_starts: The start time by endpoint that the server knew when it sent the message.
        """


class Channel(Protocol):
    """Delivers messages to proxies."""

    def send(
        self, proxy: SimulatedProxy, message: str, marker: int | None, known_starts: Mapping[str, int]
    ) -> None:
        """Send a message to a proxy.

        Args:
            proxy: The proxy to send to.
            message: The message, one or more lines.
            marker: The marker of a requested acknowledgement, if any.
            known_starts: The start time by endpoint that the sending server knows.
        """


def line_count(message: str, message_overhead: int) -> int:
    """Return the lines of a message as flow control counts them, including the message overhead."""
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
    """A channel of unlimited rate in which every message has the same delivery time."""

    def __init__(self, events: EventQueue, receiver: Receiver):
        self.events = events
        self.receiver = receiver

    def send(
        self, proxy: SimulatedProxy, message: str, marker: int | None, known_starts: Mapping[str, int]
    ) -> None:
        """Send a message."""
        self.events.call_later(
            FIXED_DELAY,
            lambda: self.receiver.message_arrived(proxy, message, marker, FIXED_DELAY, known_starts),
        )


class BoundedChannel:
    """A channel that sends messages one after another at a limited rate of lines.

    Each message arrives a random delay after it was sent, and messages to the same proxy stay in order.
    """

    def __init__(
        self,
        events: EventQueue,
        receiver: Receiver,
        lines_per_second: float,
        message_overhead: int,
        delay_range: tuple[int, int],
        random_source: random.Random,
    ):
        self.events = events
        self.receiver = receiver
        self.lines_per_second = lines_per_second
        self.message_overhead = message_overhead
        self.delay_range = delay_range
        self.random_source = random_source
        self.free_at = 0
        # The arrival time of the latest message, by proxy number.
        self.latest_arrivals: dict[int, int] = {}

    def send(
        self, proxy: SimulatedProxy, message: str, marker: int | None, known_starts: Mapping[str, int]
    ) -> None:
        """Send a message."""
        queued_at = self.events.now
        lines = line_count(message, self.message_overhead)
        self.free_at = max(self.free_at, queued_at) + round(lines / self.lines_per_second * SECOND)
        arrives_at = max(
            self.free_at + self.random_source.randint(*self.delay_range),
            self.latest_arrivals.get(proxy.number, 0),
        )
        self.latest_arrivals[proxy.number] = arrives_at
        delivery_time = arrives_at - queued_at
        self.events.call_later(
            delivery_time,
            lambda: self.receiver.message_arrived(proxy, message, marker, delivery_time, known_starts),
        )
