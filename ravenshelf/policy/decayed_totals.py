"""Estimators that forget: totals that decay exponentially with time, and the median."""

from collections.abc import Sequence
from math import exp
from operator import add


class DecayedTotals:
    """A few totals that decay together with a time constant; they are brought up to date when they are read.

    `span` is the time constant in microseconds, `size` the number of totals.
    """

    __slots__ = ("_span", "_totals", "_updated_at")

    def __init__(self, span: int, size: int):
        self._span = span
        self._updated_at = 0
        self._totals = [0.0] * size

    def read(self, now: int) -> list[float]:
        """The totals at a time in microseconds; an earlier time than before reads them as they are."""
        if now > self._updated_at:
            decay = exp((self._updated_at - now) / self._span)
            self._updated_at = now
            self._totals = [value * decay for value in self._totals]
        return self._totals

    def add(self, now: int, *values: float) -> None:
        """Add one value to each total."""
        # the hottest line of the policy: several times for each load report
        totals = self.read(now) if now > self._updated_at else self._totals
        self._totals = list(map(add, totals, values))

    def scale(self, now: int, factor: float) -> None:
        """Multiply every total by a factor."""
        self._totals = [value * factor for value in self.read(now)]


def median(values: Sequence[float]) -> float | None:
    """The upper median; None where there are no values."""
    return sorted(values)[len(values) // 2] if values else None


def median_or(values: Sequence[float], default: float) -> float:
    """The upper median, or the default where there are no values."""
    return sorted(values)[len(values) // 2] if values else default
