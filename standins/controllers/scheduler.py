"""Simulated time: events in order, each of a member that may be stopped or paused."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol


class Process(Protocol):
    """A simulated process, as its events see it."""

    is_alive: bool
    incarnation: int
    paused_until: int


@dataclass(order=True)
class ScheduledEvent:
    """A call at a time. One of a process is dropped once that has ended."""

    at: int
    number: int
    call: Callable[[], Any] = field(compare=False)
    process: Process | None = field(compare=False, default=None)
    incarnation: int = field(compare=False, default=0)


class Scheduler:
    """Microseconds of true time, which no member knows."""

    def __init__(self) -> None:
        self.now = 0
        self._events: list[ScheduledEvent] = []
        self._count = 0

    def call_later(self, delay: int, call: Callable[[], Any], process: Process | None = None) -> None:
        """Schedules a call; one of a process happens only while the same incarnation is alive."""
        self._count += 1
        incarnation = process.incarnation if process is not None else 0
        event = ScheduledEvent(self.now + delay, self._count, call, process, incarnation)
        heapq.heappush(self._events, event)

    def run(self, until: int) -> None:
        """Plays all events up to a time."""
        while self._events and self._events[0].at <= until:
            event = heapq.heappop(self._events)
            process = event.process
            if process is not None:
                if not process.is_alive or event.incarnation != process.incarnation:
                    continue
                if process.paused_until > event.at:  # all of it happens when the process wakes, in order
                    heapq.heappush(self._events, replace(event, at=process.paused_until))
                    continue
            self.now = event.at
            event.call()
        self.now = until
