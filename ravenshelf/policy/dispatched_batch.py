"""A batch: the lines that one control cycle wrote to the control channel."""

from itertools import accumulate


class DispatchedBatch:
    """The lines that one control cycle wrote, and the times between which they leave the channel.

    Attributes:
        number: The number of the batch, counted from 1.
        dispatched_at: When the batch was written.
        lines: The lines that are not acknowledged yet, by proxy. Under the key None are the lines that no
            proxy acknowledges.
        total_lines: The lines of the batch when it was written.
        unacknowledged_lines: The sum of `lines`.
        held_lines: The lines that have left the channel, or may have left it before their stream broke. They
            count as queued as long as older lines may be in the channel.
        has_lost_lines: Whether a stream with lines of the batch broke.
        start_position: The position of the first line.
        end_position: The position after the last line.
        breaks_before: The number of streams that had broken, with lines in the channel, when the batch was
            written.
        earliest_start: When the channel reaches the batch at its nominal rate.
        slowest_end: When the channel has sent the batch at its slowest rate.
        counted_until: Until when unacknowledged lines count as queued, apart from the delivery time.
        lines_behind: For each proxy, the lines of the batch that are sent after those of this proxy.
        queued_lines: The estimated queue up to the end of the batch when it was written.
    """

    __slots__ = (
        "breaks_before",
        "counted_until",
        "dispatched_at",
        "earliest_start",
        "end_position",
        "has_lost_lines",
        "held_lines",
        "lines",
        "lines_behind",
        "number",
        "queued_lines",
        "slowest_end",
        "start_position",
        "total_lines",
        "unacknowledged_lines",
    )

    def __init__(
        self,
        number: int,
        dispatched_at: int,
        lines: dict[int | None, float],
        start_position: float,
        earliest_start: float,
        breaks_before: int = 0,
    ):
        self.number = number
        self.dispatched_at = dispatched_at
        self.lines = lines
        self.total_lines = sum(lines.values())
        self.unacknowledged_lines = self.total_lines
        self.held_lines = 0.0
        self.has_lost_lines = False
        self.start_position = start_position
        self.end_position = start_position + self.total_lines
        self.breaks_before = breaks_before
        self.earliest_start = earliest_start
        self.slowest_end = 0.0
        self.counted_until = 0.0
        # When a proxy acknowledges the batch, at most the lines behind its own are still to be sent, which
        # bounds the time until the channel has sent the batch.
        self.lines_behind = {
            proxy: self.total_lines - cumulative_lines
            for proxy, cumulative_lines in zip(lines, accumulate(lines.values()), strict=True)
        }
        self.queued_lines = 0.0

    def remove_proxy(self, proxy: int | None) -> float:
        """Remove a proxy's unacknowledged lines from the batch and return their number."""
        lines = self.lines.pop(proxy, 0.0)
        self.unacknowledged_lines -= lines
        if not self.lines:
            self.unacknowledged_lines = 0.0  # Without the rounding errors of the subtractions.
        return lines

    def bound_end(self, slowest_end: float) -> None:
        """Apply a bound on the time when the batch has been sent, which an acknowledgement shows."""
        self.slowest_end = min(self.slowest_end, slowest_end)
        self.counted_until = min(self.counted_until, slowest_end)
