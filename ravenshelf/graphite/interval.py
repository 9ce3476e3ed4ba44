"""What the metrics collector accumulates during one interval: sums by group, zone and endpoint, and
distributions.

Times are microseconds. No I/O.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from ravenshelf.graphite import metrics
from ravenshelf.graphite.metrics import Metric
from ravenshelf.policy.events import LoadReport

SECOND = 1_000_000  # microseconds
HISTOGRAM_MAX = 600 * SECOND
HISTOGRAM_DIGITS = 2  # significant digits: an error of 1% for some KB each
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
    """Return an empty histogram for each metric that is a distribution."""
    return {metric: HdrHistogram(1, HISTOGRAM_MAX, HISTOGRAM_DIGITS) for metric in DISTRIBUTIONS}


@dataclass(slots=True)
class DemandTotals:
    """Requests of one zone's proxies in one traffic group."""

    demand: float = 0.0
    failed: float = 0.0
    rejected: float = 0.0


@dataclass(slots=True)
class AttemptTotals:
    """Attempts at one zone's endpoints; `latency_sum` is over the attempts that succeeded."""

    attempts: float = 0.0
    failed: float = 0.0
    latency_sum: float = 0.0


@dataclass(slots=True)
class ObjectiveTotals:
    """Successful attempts of one zone's proxies, and how many met each group's latency objective."""

    succeeded: float
    within_objective: list[float]

    def share(self, group: int) -> float:
        """Return the share of the successful attempts that met the group's latency objective."""
        return self.within_objective[group] / self.succeeded if self.succeeded else 0.0


class Interval:
    """The sums and distributions of one interval."""

    def __init__(self, started_at: int, histograms: Histograms) -> None:
        self.started_at = started_at
        self.histograms = histograms
        self.demand: dict[tuple[int, int], DemandTotals] = {}  # by (zone of the proxies, group)
        self.attempts: dict[int, AttemptTotals] = {}  # by zone of the endpoints
        self.objectives: dict[int, ObjectiveTotals] = {}  # by zone of the proxies
        self.endpoint_attempts: dict[int, float] = {}
        self.reports = 0
        self.drains_started = 0

    def record(self, metric: Metric, microseconds: float) -> None:
        """Add a value to a distribution; values outside its range count as the nearest in it."""
        self.histograms[metric].record_value(min(HISTOGRAM_MAX, max(1, int(microseconds))))

    def add_load(self, report: LoadReport, endpoint_zone: int, objectives: Sequence[int]) -> None:
        """Add a load report; `objectives` are the groups' latency objectives."""
        succeeded = report.attempts - report.failed
        zone = self.attempts.setdefault(endpoint_zone, AttemptTotals())
        zone.attempts += report.attempts
        zone.failed += report.failed
        zone.latency_sum += succeeded * report.mean_latency
        earlier_attempts = self.endpoint_attempts.get(report.endpoint, 0.0)
        self.endpoint_attempts[report.endpoint] = earlier_attempts + report.attempts
        self._add_within_objectives(report, succeeded, objectives)

    def _add_within_objectives(self, report: LoadReport, succeeded: int, objectives: Sequence[int]) -> None:
        totals = self.objectives.get(report.zone)
        if totals is None:
            totals = ObjectiveTotals(0.0, [0.0] * len(objectives))
            self.objectives[report.zone] = totals
        totals.succeeded += succeeded
        if not succeeded or not report.mean_latency:
            return
        for group, objective in enumerate(objectives):
            met = 1 - exp(-objective / report.mean_latency)  # as if latencies were exponential
            totals.within_objective[group] += succeeded * met

    def add_demand(self, zone: int, group: int, requests: float, failed: float, rejected: float) -> None:
        """Add a demand report of a proxy in `zone`."""
        totals = self.demand.setdefault((zone, group), DemandTotals())
        totals.demand += requests
        totals.failed += failed
        totals.rejected += rejected
