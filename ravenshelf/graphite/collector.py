"""Computation of metrics from events, messages and control cycles, one interval at a time.

The collector observes the control-plane server: it receives the same events as the controller, every message
and the duration of every control cycle. It does not influence the server. Nothing here performs I/O:
measurements of the process are passed in. Times are microseconds.
"""

from collections.abc import Callable, Iterable, Iterator

from ravenshelf.graphite import metrics
from ravenshelf.graphite.drains import DrainTracker
from ravenshelf.graphite.formats import path_component
from ravenshelf.graphite.interval import Histograms, Interval, new_histograms
from ravenshelf.graphite.metrics import DETAIL, ESSENTIAL, USEFUL
from ravenshelf.graphite.points import PathNames, Point, PointBuilder, Sample
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.events import (
    BatchAcknowledged,
    DemandReport,
    EndpointsListed,
    EndpointState,
    Event,
    ListKind,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
)
from ravenshelf.settings import Settings
from ravenshelf.state.table_update import TableUpdate
from ravenshelf.time_units import SECOND

DEFAULT_LATENCY_OBJECTIVE = 10 * SECOND  # Latency objective of traffic groups that have none configured.

AdmissionLevel = Callable[[int, int], float | None]
"""Returns the admission level that a proxy was last sent for a traffic group, or None.

Whether the level is a rate in requests per second or a fraction of the requests depends on the settings.
"""


class MetricsCollector:
    """Collector of one server's metrics.

    The `on_` methods add observations to the current interval; `close_interval` converts it to points and
    starts the next one. `endpoint_name` returns an endpoint's name by its index.
    """

    def __init__(
        self,
        settings: Settings,
        prefix: str,
        now: int,
        admission_level: AdmissionLevel | None = None,
        endpoint_name: Callable[[int], str] = str,
    ) -> None:
        self.groups = settings.traffic_groups
        self.objectives = [group.latency_objective_us or DEFAULT_LATENCY_OBJECTIVE for group in self.groups]
        self.is_level_fraction = settings.service.admission_level_kind == "fraction"
        self.queue_limit = settings.service.queue_limit_lines or 0
        self.path_names = PathNames(
            prefix,
            [path_component(zone) for zone in settings.zones],
            [path_component(group.name) for group in self.groups],
            endpoint_name,
        )
        self.admission_level = admission_level
        # Zone and state of each endpoint, by the endpoint's index.
        self.endpoints: dict[int, tuple[int, EndpointState]] = {}
        self.proxy_zones: dict[int, int] = {}
        # Time of the last load or demand report from each zone, by the zone's index.
        self.last_report_at: dict[int, int] = {}
        self.drains = DrainTracker()
        self.spare_histograms: Histograms = {}
        self.interval = Interval(now, self._empty_histograms())

    def _empty_histograms(self) -> Histograms:
        """Return empty histograms for an interval.

        Two sets are used alternately, since allocating a set costs time and memory.
        """
        histograms = self.spare_histograms
        self.spare_histograms = {}
        return histograms or new_histograms()

    def on_event(self, event: Event, now: int) -> None:
        """Record an event that the controller receives."""
        match event:
            case EndpointsListed():
                self._on_endpoints_listed(event, now)
            case ProxyJoined(proxy, zone):
                self.proxy_zones[proxy] = zone
            case ProxyLeft(proxy):
                self.proxy_zones.pop(proxy, None)
                self.drains.remove_proxy(proxy)
            case LoadReport():
                self._on_load_report(event, now)
            case DemandReport():
                self._on_demand_report(event, now)
            case BatchAcknowledged():
                self._on_acknowledged(event, now)

    def on_message(self, proxy: int, updates: Iterable[TableUpdate], marker: int | None) -> None:
        """Record a message that was sent to a proxy.

        The proxy acknowledges the message with `marker`; None means that it does not acknowledge it.
        """
        if marker is None or not self.drains.pending_drains:
            return
        for update in updates:
            for endpoint in update.ejected_endpoints:
                self.drains.record_removal_sent(endpoint, proxy, marker)

    def on_control_cycle(self, delay: int, duration: int) -> None:
        """Record the delay of a control cycle's start and its duration, in microseconds."""
        self.interval.record(metrics.CONTROL_CYCLE_DELAY, delay)
        self.interval.record(metrics.CONTROL_CYCLE_DURATION, duration)

    def _on_endpoints_listed(self, event: EndpointsListed, now: int) -> None:
        listed_endpoints = set()
        for entry in event.entries:
            self._update_endpoint(entry.endpoint, entry.zone, entry.state, now)
            listed_endpoints.add(entry.endpoint)
        if event.kind is ListKind.UPDATE:
            return
        for endpoint, (zone, _) in list(self.endpoints.items()):
            if endpoint not in listed_endpoints:
                self._update_endpoint(endpoint, zone, EndpointState.GONE, now)

    def _update_endpoint(self, endpoint: int, zone: int, state: EndpointState, now: int) -> None:
        _, previous_state = self.endpoints.get(endpoint, (zone, None))
        if state is EndpointState.READY:
            self.drains.cancel(endpoint)
        elif previous_state is EndpointState.READY and self.drains.start(endpoint, now):
            self.interval.started_drains += 1
        if state is EndpointState.GONE:
            self.endpoints.pop(endpoint, None)
        else:
            self.endpoints[endpoint] = (zone, state)

    def _on_report(self, zone: int, window: int, now: int) -> None:
        self.interval.reports += 1
        self.interval.record(metrics.REPORT_AGE, window / 2)
        if zone in self.last_report_at:
            self.interval.record(metrics.REPORT_INTERVAL, now - self.last_report_at[zone])
        self.last_report_at[zone] = now

    def _on_load_report(self, report: LoadReport, now: int) -> None:
        self._on_report(report.zone, report.window, now)
        endpoint_zone = self.endpoints.get(report.endpoint, (report.zone,))[0]
        self.interval.add_load(report, endpoint_zone, self.objectives)

    def _on_demand_report(self, report: DemandReport, now: int) -> None:
        zone = self.proxy_zones.get(report.proxy, 0)
        self._on_report(zone, report.window, now)
        rejected_requests = self._estimate_rejected_requests(report)
        self.interval.add_demand(zone, report.group, report.requests, report.unanswered, rejected_requests)

    def _estimate_rejected_requests(self, report: DemandReport) -> float:
        """Return the requests of a report that exceed the admission level that the proxy was last sent."""
        if self.admission_level is None:
            return 0.0
        level = self.admission_level(report.proxy, report.group)
        if level is None:
            return 0.0
        if self.is_level_fraction:
            admitted_requests = report.requests * min(1.0, level)
        else:
            admitted_requests = level * report.window / SECOND
        return max(0.0, report.requests - admitted_requests)

    def _on_acknowledged(self, event: BatchAcknowledged, now: int) -> None:
        self.interval.record(metrics.UPDATE_LATENCY, event.elapsed)
        for started_at in self.drains.acknowledge(event.proxy, event.marker):
            self.interval.record(metrics.DRAIN_DURATION, now - started_at)

    def close_interval(
        self,
        now: int,
        controller: Controller | None,
        samples: Iterable[Sample],
        on_points: Callable[[int, list[Point]], None],
    ) -> Iterator[None]:
        """Close the interval and compute its points, in steps of a bounded duration.

        The first step closes the interval and starts the next one; the further steps compute the points. The
        server runs the steps as a background job.

        Args:
            now: The time at which the interval ends, in microseconds.
            controller: The controller whose estimates are exported, or None if there is none.
            samples: Values that were measured outside the collector, such as those of the process.
            on_points: Called as `on_points(importance, points)` in the last step, once per importance.
        """
        closed_interval = self.interval
        self.interval = Interval(now, self._empty_histograms())
        builder = PointBuilder(self.path_names, closed_interval, now)
        builder.add_groups(self.groups)
        builder.add_samples(samples)
        builder.add_drains(len(self.drains.pending_drains))
        builder.add_reports()
        builder.add_endpoint_states([state for _, state in self.endpoints.values()])
        yield
        builder.add_distributions()
        self.spare_histograms = closed_interval.histograms
        yield
        if controller is not None:
            yield from builder.add_controller(controller, self.queue_limit, self.endpoints)
        builder.add_zones()
        yield from builder.add_endpoints()
        for importance in (ESSENTIAL, USEFUL, DETAIL):
            if builder.points[importance]:
                on_points(importance, builder.points[importance])
