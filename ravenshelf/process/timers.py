"""All deadlines of the process behind one timer of the loop."""

import asyncio
from collections.abc import Callable, Hashable

from ravenshelf import log_events
from ravenshelf.state.counters import Counters
from ravenshelf.state.deadlines import DeadlineQueue

STALL_THRESHOLD_US = 500_000  # a timer that fires so late means that the process stood still
READ_FIRST_S = 0.02  # after a stall, sockets are read for so long before deadlines are handled


class Timers:
    """Calls `handle(key, now)` for each deadline that has expired; times are microseconds of `clock`.

    Keys for which `is_secondary` holds come after all others that expired with them. A handler that raises is
    logged and counted; the others, and the timer, go on.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        counters: Counters,
        handle: Callable[[Hashable, int], None],
        is_secondary: Callable[[Hashable], bool],
    ):
        self.loop = loop
        self.clock = clock
        self.counters = counters
        self.handle = handle
        self.is_secondary = is_secondary
        self.deadlines = DeadlineQueue()
        self.is_stopped = False
        self.loop_timer: asyncio.Handle | None = None
        self.fires_at: int | None = None  # None where the loop's timer waits after a stall

    def set(self, key: Hashable, at: int) -> None:
        """Set the key's only deadline and see that the loop's timer is early enough."""
        self.deadlines.set(key, at)
        self.arm()

    def cancel(self, key: Hashable) -> None:
        """Cancel the key's deadline, if it has one."""
        self.deadlines.cancel(key)

    def arm(self) -> None:
        """Have the loop's timer fire at the earliest deadline."""
        at = self.deadlines.earliest()
        if self.is_stopped or at is None:
            return
        if self.loop_timer is not None:
            if self.fires_at is None or self.fires_at <= at:
                return
            self.loop_timer.cancel()
        self.fires_at = at
        wait_us = at - self.clock()
        if wait_us > 0:
            self.loop_timer = self.loop.call_later(wait_us / 1e6, self.fire)
        else:
            self.loop_timer = self.loop.call_soon(self.fire)

    def fire(self) -> None:
        """Handle every deadline that has expired; called by the loop."""
        now = self.clock()
        if now - (self.fires_at or now) > STALL_THRESHOLD_US:
            # what arrived meanwhile is read first: else whoever spoke in time would be taken for silent
            self.fires_at = None
            self.loop_timer = self.loop.call_later(READ_FIRST_S, self.fire)
            return
        self.loop_timer = None
        self.fires_at = None
        secondary = []
        for key in self.deadlines.take_expired(now):
            if self.is_secondary(key):
                secondary.append(key)
            else:
                self._handle(key, now)
        for key in secondary:
            self._handle(key, now)
        self.arm()

    def _handle(self, key: Hashable, now: int) -> None:
        try:
            self.handle(key, now)
        except Exception:  # one that fails must not take the others' turn, nor the next
            self.counters["deadlines_failed"] += 1
            log_events.TIMER_FAILED.with_traceback(key=str(key))

    def stop(self) -> None:
        """Handle nothing from now on; deadlines may still be set, to no effect."""
        self.is_stopped = True
        if self.loop_timer is not None:
            self.loop_timer.cancel()
