"""Estimates how far a host's clock is off, and from that the age of its values.

Times are microseconds. The offset is the least difference of arrival and timestamp: the least delay has least
in it but the offset. A clock set forward shows at once; one set back shows by several values in a row that
are too old.
"""

SECOND = 1_000_000
JUMP = (
    30 * SECOND
)  # older than the offset allows by so much, JUMP_COUNT times in a row: the clock was set back
JUMP_COUNT = 3
OFFSET_WINDOW = 300 * SECOND  # of which the least difference is taken, since clocks drift


class HostClock:
    """The estimated clock of one host."""

    def __init__(self) -> None:
        self.offset: int | None = None
        self.window_minimum: int | None = None  # becomes the offset when the window ends
        self.window_ends_at = 0
        self.late_in_a_row = 0
        self.reported_offset = 0  # the offset that was logged last

    def age(self, received_at: int, timestamp: int) -> int:
        """Return the estimated age on arrival of a value with the host's own timestamp; never below 0."""
        difference = received_at - timestamp
        if self.offset is None or difference < self.offset:
            self.offset = difference
            self.late_in_a_row = 0
        if self.window_minimum is None or difference < self.window_minimum:
            self.window_minimum = difference
        if received_at >= self.window_ends_at:
            self._start_window(received_at, difference)
        return self._lateness(difference, difference - self.offset)

    def _start_window(self, now: int, difference: int) -> None:
        is_first = not self.window_ends_at
        if not is_first and self.offset is not None and difference - self.offset < JUMP:
            self.offset = self.window_minimum
        self.window_minimum = difference
        self.window_ends_at = now + OFFSET_WINDOW

    def _lateness(self, difference: int, late: int) -> int:
        if late <= JUMP:
            self.late_in_a_row = 0
            return late
        self.late_in_a_row += 1
        if self.late_in_a_row < JUMP_COUNT:
            return late
        self.offset = difference
        self.window_minimum = difference
        self.late_in_a_row = 0
        return 0

    def take_new_offset(self) -> int | None:
        """Return the offset if it has changed by more than JUMP since it was returned last."""
        if self.offset is None or abs(self.offset - self.reported_offset) <= JUMP:
            return None
        self.reported_offset = self.offset
        return self.offset
