"""Totals and distributions that the metrics collector accumulates during one interval.

Nothing here performs I/O; times are microseconds.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from ravenshelf.graphite import metrics
from ravenshelf.graphite.metrics import Metric
from ravenshelf.policy.events import LoadReport
from ravenshelf.time_units import SECOND

HISTOGRAM_MAX = 600 * SECOND
HISTOGRAM_DIGITS = 2  # Two significant digits: the error is 1%, and a histogram uses a few KB of memory.
DISTRIBUTIONS = (
    metrics.DRAIN_DURATION,
    metrics.REPORT_AGE,
    metrics.REPORT_INTERVAL,
    metrics.UPDATE_LATENCY,
    metrics.CONTROL_CYCLE_DURATION,
    metrics.CONTROL_CYCLE_DELAY,
)


Histograms = dict[Metric, HdrHistogram]


def new_histograms() -> Histograms:
    """Create an empty histogram for each metric that is a distribution."""
    return {metric: HdrHistogram(1, HISTOGRAM_MAX, HISTOGRAM_DIGITS) for metric in DISTRIBUTIONS}


@dataclass(slots=True)
class DemandTotals:
    """Requests that one zone's proxies received in one traffic group."""

    demand: float = 0.0
    failed_requests: float = 0.0
    rejected_requests: float = 0.0


@dataclass(slots=True)
class AttemptTotals:
    """Attempts at one zone's endpoints."""

    attempts: float = 0.0
    failed_attempts: float = 0.0
    latency_sum: float = 0.0  # Sum of the latencies of the attempts that succeeded, in microseconds.


@dataclass(slots=True)
class ObjectiveTotals:
    """Successful attempts of one zone's proxies, and how many of them met each latency objective."""

    successful_attempts: float
    # Estimated number of successful attempts that met the latency objective of each traffic group, by the
    # group's index.
    attempts_within_objective: list[float]

    def share_within_objective(self, group: int) -> float:
        """Return the share of the successful attempts that met the group's latency objective.

        It is 0 if no attempt succeeded.
        """
        return (
            self.attempts_within_objective[group] / self.successful_attempts
            if self.successful_attempts
            else 0.0
        )


class Interval:
    """Totals and distributions of one interval."""

    def __init__(self, started_at: int, histograms: Histograms) -> None:
        self.started_at = started_at
        self.histograms = histograms
        # Totals of the requests, by the zone of the proxies and the traffic group.
        self.demand: dict[tuple[int, int], DemandTotals] = {}
        self.attempts: dict[int, AttemptTotals] = {}  # Totals of the attempts, by the zone of the endpoints.
        # Totals of the latency objectives, by the zone of the proxies.
        self.objectives: dict[int, ObjectiveTotals] = {}
        # Number of attempts at each endpoint, by the endpoint's index.
        self.endpoint_attempts: dict[int, float] = {}
        self.reports = 0
        self.started_drains = 0

    def record(self, metric: Metric, microseconds: float) -> None:
        """Add a value to a distribution, clamped to the histogram's range of 1 to HISTOGRAM_MAX."""
        self.histograms[metric].record_value(min(HISTOGRAM_MAX, max(1, int(microseconds))))

    def add_load(self, report: LoadReport, endpoint_zone: int, objectives: Sequence[int]) -> None:
        """Add a load report.

        Args:
            report: The report.
            endpoint_zone: The zone of the endpoint that it is about.
            objectives: The latency objective of each traffic group, in microseconds.
        """
        successful_attempts = report.attempts - report.failures
        zone_totals = self.attempts.setdefault(endpoint_zone, AttemptTotals())
        zone_totals.attempts += report.attempts
        zone_totals.failed_attempts += report.failures
        zone_totals.latency_sum += successful_attempts * report.mean_latency
        earlier_attempts = self.endpoint_attempts.get(report.endpoint, 0.0)
        self.endpoint_attempts[report.endpoint] = earlier_attempts + report.attempts
        self._add_within_objectives(report, successful_attempts, objectives)

    def _add_within_objectives(
        self, report: LoadReport, successful_attempts: int, objectives: Sequence[int]
    ) -> None:
        totals = self.objectives.get(report.zone)
        if totals is None:
            totals = ObjectiveTotals(0.0, [0.0] * len(objectives))
            self.objectives[report.zone] = totals
        totals.successful_attempts += successful_attempts
        if not successful_attempts or not report.mean_latency:
            return
        for group, objective in enumerate(objectives):
            # A report has only the mean latency, so the latencies are taken to be exponentially distributed.
            share_within_objective = 1 - exp(-objective / report.mean_latency)
            totals.attempts_within_objective[group] += successful_attempts * share_within_objective

    def add_demand(
        self, zone: int, group: int, requests: float, failed_requests: float, rejected_requests: float
    ) -> None:
        """Add the requests of a demand report from a proxy in `zone`."""
        totals = self.demand.setdefault((zone, group), DemandTotals())
        totals.demand += requests
        totals.failed_requests += failed_requests
        totals.rejected_requests += rejected_requests
