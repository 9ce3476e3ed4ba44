"""Series of values of one source and the rates between them.

A counter that falls has either wrapped at 32 or 64 bits or was reset. It counts as wrapped if the difference
over the wrap is under a quarter of the range; after a reset there is no rate. A DERIVE that falls was reset.
No rate is computed over a gap of several intervals: it would count as current although it is a mean over a
long time in the past.
"""

from dataclasses import dataclass

from ravenshelf.collectd.protocol import ABSOLUTE, DERIVE, GAUGE
from ravenshelf.time_units import SECOND

MAX_GAP_INTERVALS = 3  # A rate is computed only if the two values are at most this many intervals apart.
MAX_WRAP_SHARE_BITS = 2  # The difference over a wrap is under 1 / 2^2 of the range.


@dataclass(slots=True)
class Series:
    """Newest value of one source; `time` is in microseconds of the sender's clock."""

    time: int
    value: float

    def add_value(self, kind: int, value: float, time: int, interval: int) -> float | None:
        """Store a value and return the rate since the previous one.

        Args:
            kind: The kind of value, such as protocol.DERIVE.
            value: The value.
            time: The value's time.
            interval: The sender's interval between values, in microseconds.

        Returns:
            The rate per second, or the value itself if it is a gauge. None if there is no rate; a value that
            is not newer than the stored one is ignored and has no rate.
        """
        if time <= self.time:
            return None
        elapsed_time = time - self.time
        previous_value = self.value
        self.time = time
        self.value = value
        if kind == GAUGE:
            return value
        if elapsed_time > MAX_GAP_INTERVALS * interval:
            return None
        if kind == ABSOLUTE:
            return value * SECOND / elapsed_time
        difference = _compute_difference(kind, previous_value, value)
        return None if difference is None else difference * SECOND / elapsed_time


def _compute_difference(kind: int, previous_value: float, value: float) -> float | None:
    difference = value - previous_value
    if difference >= 0:
        return difference
    if kind == DERIVE:
        return None
    bits = 32 if previous_value < 1 << 32 else 64
    difference += 1 << bits
    return difference if difference < 1 << (bits - MAX_WRAP_SHARE_BITS) else None
