"""Units of time, and the queue of scheduled calls."""

import heapq
import itertools
from collections.abc import Callable

SECOND = 1_000_000  # microseconds
TICK = SECOND // 20  # interval of the servers' control loops
START = 1000 * SECOND  # the clock's first value; 0 stands for "never started" elsewhere


class EventQueue:
    """Calls in order of time and then of scheduling. `now`: time of the call under way, in microseconds."""

    def __init__(self):
        self.now = START
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_later(self, after: int, call: Callable[[], None]) -> None:
        """Schedule a call after so many microseconds."""
        heapq.heappush(self._events, (self.now + after, next(self._order), call))

    def advance(self, until: int) -> None:
        """Make all calls due up to `until`, including those that they schedule."""
        while self._events and self._events[0][0] <= until:
            at, _, call = heapq.heappop(self._events)
            self.now = max(self.now, at)
            call()
        self.now = until
