"""Service time: how long an endpoint works on a request at the least."""

from ravenshelf.policy.decayed_totals import DecayedTotals
from ravenshelf.settings import SECOND

RECENT_SPAN = 2 * SECOND  # microseconds: memory of successful attempts
MINIMUM_SUCCESSES = 20  # decayed successful attempts, for a mean to count
MAXIMUM_OBJECTIVE_SHARE = 3  # the service time is at most the latency objective over this
UNKNOWN_SECONDS = 1e9


class ServiceTimeEstimator:
    """The least mean latency that was seen; `seconds` is None until enough attempts have succeeded."""

    def __init__(self, latency_objective: int):
        self._latency_objective = latency_objective  # microseconds
        self._recent = DecayedTotals(RECENT_SPAN, 2)  # succeeded, succeeded x latency
        self.seconds: float | None = None

    def add(self, now: int, succeeded: int, latency: int) -> None:
        """Count attempts that succeeded, with their mean latency in microseconds."""
        self._recent.add(now, succeeded, succeeded * latency)

    def has_recent_successes(self, now: int) -> bool:
        """Whether enough attempts have succeeded lately for their mean to count."""
        return self._recent.read(now)[0] > MINIMUM_SUCCESSES

    def update(self, now: int) -> None:
        """Lower the estimate to the recent mean latency, where that is less."""
        succeeded, latency_total = self._recent.read(now)
        if succeeded > MINIMUM_SUCCESSES:
            self.seconds = min(
                self.seconds or UNKNOWN_SECONDS,
                latency_total / succeeded / SECOND,
                self._latency_objective / MAXIMUM_OBJECTIVE_SHARE / SECOND,
            )
