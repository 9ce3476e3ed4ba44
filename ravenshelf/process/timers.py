"""Deadlines of the server, handled by one timer of the event loop."""

import asyncio
from collections.abc import Callable, Hashable

from ravenshelf import log_events
from ravenshelf.state.counters import Counters
from ravenshelf.state.deadlines import DeadlineQueue

STALL_THRESHOLD_US = 500_000  # If the timer fires this late, the process was stalled.
# Time, in seconds, for which sockets are read after a stall before deadlines are handled.
READ_TIME_AFTER_STALL_S = 0.02


class Timers:
    """Queue of deadlines that calls a handler for each expired deadline.

    If the handler raises, the exception is logged and counted, and the other deadlines are still handled.

    Args:
        loop: The event loop.
        clock: Function that returns the time in microseconds.
        counters: Counters of handlers that raised.
        handle: Function that is called with the key of an expired deadline and the time in microseconds.
        is_secondary: Function that tells whether a key is handled after all others that expired with it.
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
        # Time at which the loop's timer fires, in microseconds.
        # None if the timer is not set or was set after a stall.
        self.fires_at: int | None = None

    def set(self, key: Hashable, at: int) -> None:
        """Set the key's deadline to `at`, in microseconds, in place of an earlier setting."""
        self.deadlines.set(key, at)
        self.arm()

    def cancel(self, key: Hashable) -> None:
        """Cancel the key's deadline, if it has one."""
        self.deadlines.cancel(key)

    def arm(self) -> None:
        """Set the loop's timer to the earliest deadline, unless it already fires before that."""
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
        """Handle every deadline that has expired; called by the event loop."""
        now = self.clock()
        if now - (self.fires_at or now) > STALL_THRESHOLD_US:
            # Read messages that arrived during the stall first. Otherwise, connections that sent theirs in
            # time would be closed as silent.
            self.fires_at = None
            self.loop_timer = self.loop.call_later(READ_TIME_AFTER_STALL_S, self.fire)
            return
        self.loop_timer = None
        self.fires_at = None
        secondary_keys = []
        for key in self.deadlines.pop_expired(now):
            if self.is_secondary(key):
                secondary_keys.append(key)
            else:
                self._handle(key, now)
        for key in secondary_keys:
            self._handle(key, now)
        self.arm()

    def _handle(self, key: Hashable, now: int) -> None:
        try:
            self.handle(key, now)
        except Exception:  # A handler that fails must not prevent other deadlines from being handled.
            self.counters["deadlines_failed"] += 1
            log_events.TIMER_FAILED.with_traceback(key=str(key))

    def stop(self) -> None:
        """Stop handling deadlines; setting one afterwards has no effect."""
        self.is_stopped = True
        if self.loop_timer is not None:
            self.loop_timer.cancel()
