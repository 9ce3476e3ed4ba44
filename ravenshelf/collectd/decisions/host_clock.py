"""Estimate of the offset of a host's clock, and from it the age of the host's values.

The difference between a value's arrival time and its timestamp is the clock offset plus the transmission
delay. The smallest difference contains the smallest delay, so it is the estimate of the offset. A clock that
was set forward gives a smaller difference at once. A clock that was set back gives several consecutive values
that appear to be too old.

All times are microseconds.
"""

from ravenshelf.time_units import SECOND

# A clock counts as set back after JUMP_COUNT consecutive values whose difference exceeds the offset by more
# than JUMP_THRESHOLD.
JUMP_THRESHOLD = 30 * SECOND
JUMP_COUNT = 3
# The offset is the smallest difference of a window, not of all time, since clocks drift.
OFFSET_WINDOW = 300 * SECOND


class HostClock:
    """Estimated clock of one host."""

    def __init__(self) -> None:
        self.offset: int | None = None
        # Smallest difference in the current window, which becomes the offset when the window ends.
        self.window_minimum: int | None = None
        self.window_ends_at = 0
        self.consecutive_late_values = 0
        self.reported_offset = 0  # Last offset that `pop_new_offset` returned, in microseconds.

    def estimate_age(self, received_at: int, timestamp: int) -> int:
        """Update the estimate with a value and return the value's estimated age on arrival.

        Args:
            received_at: The arrival time, by the server's clock.
            timestamp: The value's time, by the host's clock.

        Returns:
            The age in microseconds, at least 0.
        """
        difference = received_at - timestamp
        if self.offset is None or difference < self.offset:
            self.offset = difference
            self.consecutive_late_values = 0
        if self.window_minimum is None or difference < self.window_minimum:
            self.window_minimum = difference
        if received_at >= self.window_ends_at:
            self._start_window(received_at, difference)
        return self._correct_for_jump(difference, difference - self.offset)

    def _start_window(self, now: int, difference: int) -> None:
        is_first = not self.window_ends_at
        if not is_first and self.offset is not None and difference - self.offset < JUMP_THRESHOLD:
            self.offset = self.window_minimum
        self.window_minimum = difference
        self.window_ends_at = now + OFFSET_WINDOW

    def _correct_for_jump(self, difference: int, lateness: int) -> int:
        """Return the age; restart the estimate from `difference` if the clock was set back."""
        if lateness <= JUMP_THRESHOLD:
            self.consecutive_late_values = 0
            return lateness
        self.consecutive_late_values += 1
        if self.consecutive_late_values < JUMP_COUNT:
            return lateness
        self.offset = difference
        self.window_minimum = difference
        self.consecutive_late_values = 0
        return 0

    def pop_new_offset(self) -> int | None:
        """Return the offset if it differs by more than JUMP_THRESHOLD from the last one returned here.

        Returns:
            The offset in microseconds, positive if the host's clock is behind, or None.
        """
        if self.offset is None or abs(self.offset - self.reported_offset) <= JUMP_THRESHOLD:
            return None
        self.reported_offset = self.offset
        return self.offset
