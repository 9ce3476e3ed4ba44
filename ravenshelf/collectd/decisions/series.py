"""One series of values and the rates between them.

A counter that wraps at 32 or 64 bits gives the difference over the wrap where it is under a quarter of the
range; otherwise it was reset, and there is no rate. A DERIVE that falls was reset. There is no rate over a
gap of several intervals: it would pass for a current one and is a mean of long ago.
"""

from dataclasses import dataclass

from ravenshelf.collectd.protocol import ABSOLUTE, DERIVE, GAUGE, SECOND

MAX_GAP_INTERVALS = 3
MAX_WRAP_SHARE_BITS = 2  # a difference over the wrap is under 1/4 of the range


@dataclass(slots=True)
class Series:
    """The newest value of one source; `time` is the sender's, in microseconds."""

    time: int
    value: float

    def rate(self, kind: int, value: float, time: int, interval: int) -> float | None:
        """Store a value; return its rate per second since the last one, or None; of a gauge the value."""
        if time <= self.time:
            return None
        elapsed = time - self.time
        previous = self.value
        self.time = time
        self.value = value
        if kind == GAUGE:
            return value
        if elapsed > MAX_GAP_INTERVALS * interval:
            return None
        if kind == ABSOLUTE:
            return value * SECOND / elapsed
        difference = _difference(kind, previous, value)
        return None if difference is None else difference * SECOND / elapsed


def _difference(kind: int, previous: float, value: float) -> float | None:
    difference = value - previous
    if difference >= 0:
        return difference
    if kind == DERIVE:
        return None
    bits = 32 if previous < 1 << 32 else 64
    difference += 1 << bits
    return difference if difference < 1 << (bits - MAX_WRAP_SHARE_BITS) else None
