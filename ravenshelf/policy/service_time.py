"""Service time: the minimum time that an endpoint takes for a request."""

from ravenshelf.policy.decayed_totals import DecayedTotals
from ravenshelf.time_units import SECOND

# Successful attempts decay with this time constant.
RECENT_TIME_CONSTANT = 2 * SECOND
# The mean latency counts only with more than this many successful attempts (decayed).
MINIMUM_SUCCESSES = 20
# The service time is at most the latency objective divided by this.
OBJECTIVE_DIVISOR = 3
UNKNOWN_SECONDS = 1e9


class ServiceTimeEstimator:
    """The lowest mean latency that was observed.

    Attributes:
        seconds: The service time in seconds; None until enough attempts have succeeded.
    """

    def __init__(self, latency_objective: int):
        self._latency_objective = latency_objective  # microseconds
        # The totals are successful attempts, and the sum of their latencies in microseconds.
        self._recent_totals = DecayedTotals(RECENT_TIME_CONSTANT, 2)
        self.seconds: float | None = None

    def add(self, now: int, successes: int, latency: int) -> None:
        """Add successful attempts with their mean latency in microseconds."""
        self._recent_totals.add(now, successes, successes * latency)

    def has_recent_successes(self, now: int) -> bool:
        """Return whether enough attempts have recently succeeded for their mean latency to count."""
        return self._recent_totals.read(now)[0] > MINIMUM_SUCCESSES

    def update(self, now: int) -> None:
        """Reduce the estimate to the recent mean latency if that is lower."""
        successes, latency_total = self._recent_totals.read(now)
        if successes > MINIMUM_SUCCESSES:
            self.seconds = min(
                self.seconds or UNKNOWN_SECONDS,
                latency_total / successes / SECOND,
                self._latency_objective / OBJECTIVE_DIVISOR / SECOND,
            )
