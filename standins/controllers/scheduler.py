"""Simulated time: events in order, some of them of processes that may be stopped or paused."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol


class Process(Protocol):
    """The state of a simulated process that decides when its events run."""

    is_alive: bool
    incarnation: int
    paused_until: int


@dataclass(order=True)
class ScheduledEvent:
    """A callback and its time. An event of a process is dropped once that process has ended."""

    at: int
    number: int
    callback: Callable[[], Any] = field(compare=False)
    process: Process | None = field(compare=False, default=None)
    incarnation: int = field(compare=False, default=0)


class Scheduler:
    """The queue of events, and the true time `now` in microseconds, which no member can read."""

    def __init__(self) -> None:
        self.now = 0
        self._events: list[ScheduledEvent] = []
        self._event_count = 0

    def call_later(self, delay: int, callback: Callable[[], Any], process: Process | None = None) -> None:
        """Schedule a callback.

        Args:
            delay: Time until the callback in microseconds.
            callback: Function that is called.
            process: The process that the callback belongs to. The callback is dropped if this incarnation of
                the process has ended, and delayed while the process is paused.
        """
        self._event_count += 1
        incarnation = process.incarnation if process is not None else 0
        event = ScheduledEvent(self.now + delay, self._event_count, callback, process, incarnation)
        heapq.heappush(self._events, event)

    def run(self, until: int) -> None:
        """Run all events up to a true time in microseconds."""
        while self._events and self._events[0].at <= until:
            event = heapq.heappop(self._events)
            process = event.process
            if process is not None:
                if not process.is_alive or event.incarnation != process.incarnation:
                    continue
                if process.paused_until > event.at:
                    # All events of a pause run, in order, when the process continues.
                    heapq.heappush(self._events, replace(event, at=process.paused_until))
                    continue
            self.now = event.at
            event.callback()
        self.now = until
