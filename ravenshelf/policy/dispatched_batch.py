"""A batch: the lines that one control cycle wrote to the control channel."""

from itertools import accumulate


class DispatchedBatch:
    """The lines that one control cycle wrote, and the times between which they leave the channel.

    Attributes:
        number: The number of the batch, counted from 1.
        dispatched_at: When the batch was written.
        lines: The lines that are not acknowledged yet, by proxy. Under the key None are the lines that no
            proxy acknowledges.
        start_position: The position of the first line.
        end_position: The position after the last line.
        earliest_start: When the channel reaches the batch at its nominal rate.
        latest_end: When the channel has sent the batch at its slowest rate.
        total_lines: The lines of the batch, less those dropped with a connection before the channel
            can have reached the batch.
        lines_behind: For each proxy, the lines of the batch that are sent after those of this proxy.
        acknowledged_lines: The lines that proxies have acknowledged.
        queued_lines: The estimated queue up to the end of the batch when it was written.
    """

    __slots__ = (
        "acknowledged_lines",
        "dispatched_at",
        "earliest_start",
        "end_position",
        "latest_end",
        "lines",
        "lines_behind",
        "number",
        "queued_lines",
        "start_position",
        "total_lines",
    )

    def __init__(
        self,
        number: int,
        dispatched_at: int,
        lines: dict[int | None, float],
        start_position: float,
        earliest_start: float,
    ):
        self.number = number
        self.dispatched_at = dispatched_at
        self.lines = lines
        self.start_position = start_position
        self.earliest_start = earliest_start
        self.total_lines = sum(lines.values())
        # When a proxy acknowledges the batch, at most the lines behind its own are still to be sent, which
        # bounds the time until the channel has sent the batch.
        self.lines_behind = {
            proxy: self.total_lines - cumulative_lines
            for proxy, cumulative_lines in zip(lines, accumulate(lines.values()), strict=True)
        }
        self.end_position = start_position + self.total_lines
        self.latest_end = 0.0
        self.acknowledged_lines = 0.0
        self.queued_lines = 0.0

    @property
    def length(self) -> float:
        """The number of lines from the start position to the end position."""
        return self.end_position - self.start_position
