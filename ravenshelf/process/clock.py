"""The one clock: whole microseconds of Unix time, read once at the start and never going back after it."""

import time


class Clock:
    def __init__(self):
        self.base = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def __call__(self) -> int:
        return self.base + time.monotonic_ns() // 1000
