"""Conversion of a closed interval to points: (path, value) pairs by importance.

Generators yield after each slice of work, so that the points of a large fleet are computed in several slices
of a background job. Nothing here performs I/O; times are microseconds.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass
from math import isfinite
from typing import NamedTuple

from ravenshelf.graphite import metrics
from ravenshelf.graphite.formats import path_component
from ravenshelf.graphite.interval import Interval, ObjectiveTotals
from ravenshelf.graphite.metrics import Metric
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.events import EndpointState
from ravenshelf.settings import TrafficGroup
from ravenshelf.time_units import MILLISECOND, SECOND

ENDPOINTS_PER_SLICE = 64
# Rates are counts divided by the length of the interval; a shorter interval counts as this long.
SHORTEST_INTERVAL_S = 1e-3

Point = tuple[str, float]


class Sample(NamedTuple):
    """Value measured outside the collector; `receiver` fills the placeholder of paths that have one."""

    metric: Metric
    value: float
    receiver: str = ""


@dataclass(slots=True)
class PathNames:
    """Names from which the paths of metrics are built.

    `zones` and `groups` are path components by index; `endpoint_name` returns an endpoint's name by its
    index.
    """

    prefix: str
    zones: list[str]
    groups: list[str]
    endpoint_name: Callable[[int], str]


class PointBuilder:
    """Builder of the points of one interval, by importance.

    `now` is the time at which the interval ended.
    """

    def __init__(self, path_names: PathNames, interval: Interval, now: int) -> None:
        self.path_names = path_names
        self.interval = interval
        self.now = now
        self.seconds = max(SHORTEST_INTERVAL_S, (now - interval.started_at) / SECOND)
        self.points: dict[int, list[Point]] = defaultdict(list)

    def add(self, metric: Metric, value: float, **placeholders: str) -> None:
        """Add a point, unless its value is infinite or not a number.

        `placeholders` are the values of the placeholders in the metric's path.
        """
        if isfinite(value):
            path = f"{self.path_names.prefix}.{metric.path.format(**placeholders)}"
            self.points[metric.importance].append((path, value))

    def add_samples(self, samples: Iterable[Sample]) -> None:
        """Add the points of values that were measured outside the metrics collector."""
        for sample in samples:
            self.add(sample.metric, sample.value, receiver=sample.receiver)

    def add_groups(self, groups: Sequence[TrafficGroup]) -> None:
        """Add the points of each traffic group; `groups` are in the order of the path names."""
        for group, name in enumerate(self.path_names.groups):
            demand = failed_requests = rejected_requests = requests_within_objective = 0.0
            for (zone, totals_group), totals in self.interval.demand.items():
                if totals_group != group:
                    continue
                demand += totals.demand
                failed_requests += totals.failed_requests
                rejected_requests += totals.rejected_requests
                objective_totals = self.interval.objectives.get(zone, _NO_ATTEMPTS)
                successful_requests = max(
                    0.0, totals.demand - totals.failed_requests - totals.rejected_requests
                )
                requests_within_objective += successful_requests * objective_totals.share_within_objective(
                    group
                )
            successful_requests = max(0.0, demand - failed_requests - rejected_requests)
            weighted_goodput = requests_within_objective * groups[group].priority_weight
            self.add(metrics.DEMAND, demand / self.seconds, group=name)
            self.add(metrics.FAILED, failed_requests / self.seconds, group=name)
            self.add(metrics.REJECTED, rejected_requests / self.seconds, group=name)
            self.add(metrics.SUCCEEDED, successful_requests / self.seconds, group=name)
            self.add(metrics.GOODPUT, requests_within_objective / self.seconds, group=name)
            self.add(metrics.WEIGHTED_GOODPUT, weighted_goodput / self.seconds, group=name)

    def add_drains(self, pending_drains: int) -> None:
        """Add the number of drains that were started and the number that are pending."""
        self.add(metrics.DRAINS_STARTED, self.interval.started_drains)
        self.add(metrics.DRAINS_PENDING, pending_drains)

    def add_reports(self) -> None:
        """Add the rate of load and demand reports."""
        self.add(metrics.REPORTS_RECEIVED, self.interval.reports / self.seconds)

    def add_endpoint_states(self, states: list[EndpointState]) -> None:
        """Add the number of ready endpoints and the number of draining endpoints."""
        for state in (EndpointState.READY, EndpointState.DRAINING):
            self.add(metrics.ENDPOINT_STATES, states.count(state), state=state.value)

    def add_distributions(self) -> None:
        """Add the quantiles of all distributions and empty the histograms.

        A distribution without values in the interval gets no points, rather than points with the value 0.
        """
        for metric, histogram in self.interval.histograms.items():
            if not histogram.get_total_count():
                continue
            for quantile_name, percentile in metrics.QUANTILES:
                microseconds = histogram.get_value_at_percentile(percentile)
                path = f"{self.path_names.prefix}.{metric.path}.{quantile_name}"
                self.points[metric.importance].append((path, microseconds / MILLISECOND))
            histogram.reset()

    def add_controller(
        self, controller: Controller, queue_limit: float, listed_endpoints: Collection[int]
    ) -> Iterator[None]:
        """Add the controller's estimates, in slices.

        Args:
            controller: The controller.
            queue_limit: The control channel's queue limit in lines, 0 if it has none.
            listed_endpoints: The endpoints of the current endpoint list; others get no points of their own.
        """
        self._add_channel(controller, queue_limit)
        own_demand = controller.demand().local_rates
        yield
        zone_health_scores: dict[int, list[float]] = defaultdict(list)
        weights = controller.effective_weights_by_zone()
        yield
        for count, endpoint in enumerate(controller.usable_endpoints(), 1):
            score = endpoint.health_score(self.now)
            zone_health_scores[endpoint.zone].append(score)
            if endpoint.index in listed_endpoints:
                weight = weights[endpoint.zone].get(endpoint.index, 0.0)
                name = path_component(self.path_names.endpoint_name(endpoint.index))
                self.add(metrics.ENDPOINT_HEALTH, score, endpoint=name)
                self.add(metrics.ENDPOINT_WEIGHT, weight, endpoint=name)
            if count % ENDPOINTS_PER_SLICE == 0:
                yield
        for zone, name in enumerate(self.path_names.zones):
            self.add(metrics.ZONE_DEMAND, own_demand[zone], zone=name)
            if zone_health_scores[zone]:
                mean_health = sum(zone_health_scores[zone]) / len(zone_health_scores[zone])
                self.add(metrics.ZONE_HEALTH, mean_health, zone=name)
            for target, spill_share in enumerate(controller.spill_planner.shares[zone]):
                if target != zone:
                    self.add(metrics.ZONE_SPILL, spill_share, zone=name, to=self.path_names.zones[target])

    def _add_channel(self, controller: Controller, queue_limit: float) -> None:
        channel = controller.channel
        delivered_lines = channel.rate * max(0, self.now - channel.now) / SECOND
        queued_lines = max(0.0, channel.queued_lines - delivered_lines)
        bound_proxies = sum(proxy.table is not None for proxy in list(controller.proxies.values()))
        self.add(metrics.CHANNEL_QUEUE, queued_lines)
        self.add(metrics.CHANNEL_QUEUE_UTILIZATION, queued_lines / queue_limit if queue_limit else 0.0)
        self.add(metrics.CHANNEL_RATE, channel.rate)
        self.add(metrics.PROXIES_CONNECTED, len(controller.proxies))
        self.add(metrics.PROXIES_BOUND, bound_proxies)

    def add_zones(self) -> None:
        """Add the rate, failure ratio and mean latency of the attempts at each zone's endpoints."""
        for zone, totals in self.interval.attempts.items():
            if zone >= len(self.path_names.zones):
                continue
            name = self.path_names.zones[zone]
            failure_ratio = totals.failed_attempts / totals.attempts if totals.attempts else 0.0
            self.add(metrics.ZONE_ATTEMPTS, totals.attempts / self.seconds, zone=name)
            self.add(metrics.ZONE_FAILURE_RATIO, failure_ratio, zone=name)
            if totals.attempts > totals.failed_attempts:
                mean_latency = totals.latency_sum / (totals.attempts - totals.failed_attempts)
                self.add(metrics.ZONE_LATENCY, mean_latency / MILLISECOND, zone=name)

    def add_endpoints(self) -> Iterator[None]:
        """Add the rate of attempts at each endpoint, in slices."""
        for count, (endpoint, attempts) in enumerate(self.interval.endpoint_attempts.items(), 1):
            name = path_component(self.path_names.endpoint_name(endpoint))
            self.add(metrics.ENDPOINT_ATTEMPTS, attempts / self.seconds, endpoint=name)
            if count % ENDPOINTS_PER_SLICE == 0:
                yield


_NO_ATTEMPTS = ObjectiveTotals(0.0, [])
