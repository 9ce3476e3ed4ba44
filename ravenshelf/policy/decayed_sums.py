"""Estimators that forget: sums that decay exponentially with time, and the median."""

from collections.abc import Sequence
from math import exp


class DecayedSums:
    """A few sums that decay together with a time constant; they are brought up to date when they are read.

    `span` is the time constant in microseconds, `size` the number of sums.
    """

    __slots__ = ("_span", "_sums", "_updated_at")

    def __init__(self, span: int, size: int):
        self._span = span
        self._updated_at = 0
        self._sums = [0.0] * size

    def read(self, now: int) -> list[float]:
        """The sums at a time in microseconds; an earlier time than before reads them as they are."""
        if now > self._updated_at:
            decay = exp((self._updated_at - now) / self._span)
            self._updated_at = now
            self._sums = [value * decay for value in self._sums]
        return self._sums

    def add(self, now: int, *values: float) -> None:
        """Add one value to each sum."""
        self._sums = [known + value for known, value in zip(self.read(now), values, strict=True)]

    def scale(self, now: int, factor: float) -> None:
        """Multiply every sum by a factor."""
        self._sums = [value * factor for value in self.read(now)]


def median(values: Sequence[float]) -> float | None:
    """The upper median; None where there are no values."""
    return sorted(values)[len(values) // 2] if values else None


def median_or(values: Sequence[float], default: float) -> float:
    """The upper median, or the default where there are no values."""
    return sorted(values)[len(values) // 2] if values else default
