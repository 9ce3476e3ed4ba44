"""The deadlines of one part of a process, met by the loop."""

import asyncio
from collections.abc import Callable, Hashable

from ravenshelf.state.deadlines import DeadlineQueue

SECOND = 1_000_000


class Timers:
    """Calls `due` with each key when its deadline has come."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Callable[[], int], due: Callable[[Hashable], None]
    ):
        self.loop, self.clock, self.due = loop, clock, due
        self._deadlines = DeadlineQueue()
        self._handle: asyncio.TimerHandle | None = None
        self._armed_for: int | None = None

    def set(self, key: Hashable, at: int) -> None:
        """The key's only deadline is at this time of the clock."""
        self._deadlines.set(key, at)
        self._arm()

    def drop(self, key: Hashable) -> None:
        """The key has no deadline any more."""
        self._deadlines.cancel(key)

    def stop(self) -> None:
        """Nothing is due any more."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = self._armed_for = None

    def _arm(self) -> None:
        at = self._deadlines.earliest()
        if at is None or (self._armed_for is not None and self._armed_for <= at):
            return
        self.stop()
        self._armed_for = at
        self._handle = self.loop.call_later(max(0, at - self.clock()) / SECOND, self._met)

    def _met(self) -> None:
        self._handle = self._armed_for = None
        for key in self._deadlines.take_expired(self.clock()):
            self.due(key)
        self._arm()
