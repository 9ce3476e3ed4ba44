"""The clock of the server process."""

import time


class Clock:
    """Monotonic clock in whole microseconds of Unix time.

    The system time is read once, when the clock is created; later adjustments of it have no effect.
    """

    def __init__(self) -> None:
        self.offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def __call__(self) -> int:
        """Return the current time in microseconds since the Unix epoch."""
        return self.offset_us + time.monotonic_ns() // 1000
