"""Units of time, and the queue of scheduled callbacks that drives the simulated clock."""

import heapq
import itertools
from collections.abc import Callable

SECOND = 1_000_000  # one second in microseconds
TICK = SECOND // 20  # the interval of the servers' control loops, in microseconds
START_TIME = 1000 * SECOND  # not 0, which means "never started" in the start time of an endpoint


class EventQueue:
    """A queue of callbacks, ordered by their due time and then by the order of scheduling.

    Attributes:
        now: The time of the running callback, in microseconds.
    """

    def __init__(self):
        self.now = START_TIME
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay in microseconds."""
        heapq.heappush(self._scheduled, (self.now + delay, next(self._sequence_numbers), callback))

    def advance(self, until: int) -> None:
        """Set the clock to `until`, and run all callbacks due by then, including those that they schedule."""
        while self._scheduled and self._scheduled[0][0] <= until:
            due_at, _, callback = heapq.heappop(self._scheduled)
            self.now = max(self.now, due_at)
            callback()
        self.now = until
