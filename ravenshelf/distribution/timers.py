"""Deadlines of one component of a process, on the event loop."""

import asyncio
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar, cast

from ravenshelf.distribution.node import Clock
from ravenshelf.state.deadlines import DeadlineQueue
from ravenshelf.time_units import SECOND

Key = TypeVar("Key", bound=Hashable)


class Timers(Generic[Key]):
    """Timers, identified by keys, that call `on_due` with their key once their deadline has passed.

    Deadlines are in microseconds of `clock`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, on_due: Callable[[Key], None]):
        self.loop = loop
        self.clock = clock
        self.on_due = on_due
        self._deadlines = DeadlineQueue()
        self._handle: asyncio.TimerHandle | None = None
        self._armed_for: int | None = None

    def set(self, key: Key, deadline: int) -> None:
        """Set the deadline of a key, in place of an earlier one."""
        self._deadlines.set(key, deadline)
        self._arm()

    def remove(self, key: Key) -> None:
        """Remove the deadline of a key; a key without a deadline is ignored."""
        self._deadlines.cancel(key)

    def stop(self) -> None:
        """Cancel the timer of the event loop; deadlines are not checked again until the next `set`."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None
        self._armed_for = None

    def _arm(self) -> None:
        next_deadline = self._deadlines.earliest()
        if next_deadline is None or (self._armed_for is not None and self._armed_for <= next_deadline):
            return
        self.stop()
        self._armed_for = next_deadline
        self._handle = self.loop.call_later(max(0, next_deadline - self.clock()) / SECOND, self._fire)

    def _fire(self) -> None:
        self._handle = None
        self._armed_for = None
        for key in self._deadlines.pop_expired(self.clock()):
            self.on_due(cast(Key, key))
        self._arm()
