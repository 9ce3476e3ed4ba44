"""The deadlines of one part of a process, on the event loop."""

import asyncio
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar, cast

from ravenshelf.distribution.node import Clock
from ravenshelf.state.deadlines import DeadlineQueue

SECOND = 1_000_000  # microseconds

Key = TypeVar("Key", bound=Hashable)


class Timers(Generic[Key]):
    """Calls `due` with each key when its deadline has passed. Times are microseconds of `clock`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, due: Callable[[Key], None]):
        self.loop = loop
        self.clock = clock
        self.due = due
        self._deadlines = DeadlineQueue()
        self._handle: asyncio.TimerHandle | None = None
        self._armed_for: int | None = None

    def set(self, key: Key, at: int) -> None:
        """Set the key's only deadline."""
        self._deadlines.set(key, at)
        self._arm()

    def remove(self, key: Key) -> None:
        """Remove the key's deadline."""
        self._deadlines.cancel(key)

    def stop(self) -> None:
        """Cancel the timer of the loop; no more deadlines are met until the next `set`."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None
        self._armed_for = None

    def _arm(self) -> None:
        at = self._deadlines.earliest()
        if at is None or (self._armed_for is not None and self._armed_for <= at):
            return
        self.stop()
        self._armed_for = at
        self._handle = self.loop.call_later(max(0, at - self.clock()) / SECOND, self._met)

    def _met(self) -> None:
        self._handle = None
        self._armed_for = None
        for key in self._deadlines.take_expired(self.clock()):
            self.due(cast(Key, key))
        self._arm()
