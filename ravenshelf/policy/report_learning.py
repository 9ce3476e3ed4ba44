"""Learning from load reports: health, latency, load and miss curves of endpoints and zones."""

from collections.abc import Mapping
from typing import NamedTuple

from ravenshelf.policy.endpoints import Endpoint
from ravenshelf.policy.events import LoadReport
from ravenshelf.policy.latency_bounds import MissBound, ZoneLatencyGaps
from ravenshelf.policy.service_time import ServiceTimeEstimator
from ravenshelf.policy.spill_planning import SpillPlanner
from ravenshelf.settings import TelemetrySettings

# An attempt that succeeds at half of the latency objective counts as 0.5 ** 3 = 1/8 of a miss.
LATENCY_MISS_EXPONENT = 3
# In a miss curve, an attempt that succeeds at half of the miss bound counts as 0.5 ** 4 = 1/16 of a miss.
CURVE_MISS_EXPONENT = 4
ACTIVE_REQUESTS_COLUMN = "active"


class LearnedEstimates(NamedTuple):
    """The estimates that load reports update, apart from those of single endpoints."""

    service_time: ServiceTimeEstimator
    miss_bound: MissBound
    latency_gaps: ZoneLatencyGaps
    spill_planner: SpillPlanner


class ReportLearner:
    """The update of all estimates with what the proxies of one zone observed of an endpoint."""

    def __init__(
        self,
        telemetry: TelemetrySettings,
        zone_count: int,
        latency_objective: int,
        endpoints: Mapping[int, Endpoint],
        estimates: LearnedEstimates,
    ):
        """Create a learner.

        Args:
            telemetry: The load that endpoints report.
            zone_count: The number of zones; reports of higher zones count for the last one.
            latency_objective: The shortest latency objective of all traffic groups in microseconds.
            endpoints: Every endpoint that was ever listed, by index.
            estimates: The estimates to update.
        """
        self._active_column = [*telemetry.columns, ACTIVE_REQUESTS_COLUMN].index(ACTIVE_REQUESTS_COLUMN)
        self._zone_count = zone_count
        self._latency_objective = latency_objective
        self._endpoints = endpoints
        self._estimates = estimates

    def learn(self, now: int, report: LoadReport) -> bool:
        """Update the estimates.

        Reports of unknown endpoints and reports without attempts are ignored.

        Args:
            now: The time in microseconds.
            report: The report.

        Returns:
            Whether the report has set the miss bound, so that a solve is due soon.
        """
        endpoint = self._endpoints.get(report.endpoint)
        attempts = report.attempts
        if endpoint is None or attempts <= 0:
            return False
        latency = report.mean_latency
        zone = min(report.zone, self._zone_count - 1)
        failures = min(max(report.failures, 0), attempts)
        successes = attempts - failures
        endpoint.attempts.add(now, attempts, failures)
        if len(report.load) > self._active_column:
            endpoint.reported_load.add(now, 1.0, report.load[self._active_column] / endpoint.weight)
        sets_miss_bound = False
        if successes and latency > 0:
            sets_miss_bound = self._learn_latency(now, endpoint, zone, successes, latency)
        late_share = min(1.0, latency / self._latency_objective) ** LATENCY_MISS_EXPONENT
        endpoint.misses.add(now, attempts, failures + successes * late_share)
        self._estimates.service_time.add(now, successes, latency)
        if zone == endpoint.zone and zone in self._estimates.spill_planner.loads:
            self._learn_curve(now, endpoint, attempts, failures, latency)
        return sets_miss_bound

    def _learn_latency(self, now: int, endpoint: Endpoint, zone: int, successes: int, latency: int) -> bool:
        endpoint.latency.add(now, successes, successes * latency)
        self._estimates.latency_gaps.add(now, zone, endpoint.zone, latency)
        return bool(self._estimates.miss_bound.add(now, latency))

    def _learn_curve(self, now: int, endpoint: Endpoint, attempts: int, failures: int, latency: int) -> None:
        """Add a report to the miss curve of the endpoint's zone.

        A mean latency near the miss bound means that some of the attempts have missed the bound, so a success
        counts as a partial miss that grows with latency. The report is weighted with the endpoint's health
        score, because the failures of an unhealthy endpoint say little about the load of its zone.
        """
        miss_bound = self._estimates.miss_bound.value
        late_attempts = 0.0
        if miss_bound:
            late_attempts = (attempts - failures) * min(1.0, latency / miss_bound) ** CURVE_MISS_EXPONENT
        health = endpoint.health_score(now)
        spill_planner = self._estimates.spill_planner
        load = spill_planner.loads[endpoint.zone]
        spill_planner.curves[endpoint.zone].add(
            now, load, health * attempts, health * (failures + late_attempts)
        )
