"""The one clock of the process."""

import time


class Clock:
    """Gives whole microseconds of Unix time, read once at the start and never going back after it."""

    def __init__(self) -> None:
        self.offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def __call__(self) -> int:
        """Return the time."""
        return self.offset_us + time.monotonic_ns() // 1000
