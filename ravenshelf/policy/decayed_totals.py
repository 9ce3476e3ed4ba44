"""Totals that decay exponentially with time, and the median."""

from collections.abc import Sequence
from math import exp
from operator import add


class DecayedTotals:
    """Totals that decay together with one time constant; the decay is applied when they are read."""

    __slots__ = ("_time_constant", "_totals", "_updated_at")

    def __init__(self, time_constant: int, size: int):
        """Create totals of 0.

        Args:
            time_constant: The microseconds after which the totals have decayed to 1/e.
            size: The number of totals.
        """
        self._time_constant = time_constant
        self._updated_at = 0
        self._totals = [0.0] * size

    def read(self, now: int) -> list[float]:
        """Return the totals at a time in microseconds.

        A time before the previous read or addition returns the totals without further decay.
        """
        if now > self._updated_at:
            decay = exp((self._updated_at - now) / self._time_constant)
            self._updated_at = now
            self._totals = [value * decay for value in self._totals]
        return self._totals

    def add(self, now: int, *values: float) -> None:
        """Add one value to each total."""
        # This is the most frequently executed line of the policy: it runs several times per load report.
        totals = self.read(now) if now > self._updated_at else self._totals
        self._totals = list(map(add, totals, values))

    def scale(self, now: int, factor: float) -> None:
        """Multiply every total by a factor."""
        self._totals = [value * factor for value in self.read(now)]


def median(values: Sequence[float]) -> float | None:
    """Return the upper median, or None if there are no values."""
    return sorted(values)[len(values) // 2] if values else None


def median_or(values: Sequence[float], default: float) -> float:
    """Return the upper median, or the default if there are no values."""
    return sorted(values)[len(values) // 2] if values else default
