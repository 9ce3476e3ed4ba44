"""Units of time and the queue of scheduled events."""

import heapq
import itertools
from collections.abc import Callable

SECOND = 1_000_000
TICK = SECOND // 20  # how often pilots look for work
START = 1000 * SECOND  # the clock's first reading; 0 stands for "never started" elsewhere


class EventQueue:
    """Calls due at a time, in order of time and then of scheduling. `now` is the time of the call being made."""

    def __init__(self):
        self.now = START
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def later(self, after: int, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + after, next(self._order), call))

    def advance(self, until: int) -> None:
        """Makes all calls due up to `until`, including those that they schedule."""
        while self._events and self._events[0][0] <= until:
            at, _, call = heapq.heappop(self._events)
            self.now = max(self.now, at)
            call()
        self.now = until
