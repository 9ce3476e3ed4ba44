"""Export of the server's metrics to Graphite, at each interval."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from itertools import starmap
from typing import TYPE_CHECKING

from ravenshelf.background.decisions import Priority
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.operator_config.tables import OperatorConfiguration
from ravenshelf.policy.events import EndpointsListed, ListKind
from ravenshelf.process.operations.feature import Measurements, TimerKey
from ravenshelf.time_units import SECOND

if TYPE_CHECKING:
    from ravenshelf.graphite.collector import MetricsCollector
    from ravenshelf.graphite.metrics import Metric
    from ravenshelf.graphite.points import Point, Sample
    from ravenshelf.graphite.service import GraphiteService
    from ravenshelf.process.control_plane import ControlPlaneServer

INTERVAL_TIMER = "metrics"
RECEIVER_TIMER = "graphite"  # First item of the timer key of each receiver.
# Time limit, in microseconds, of the background job that calculates an interval's points.
MEASUREMENT_DEADLINE = 2 * SECOND
SHORTEST_INTERVAL_S = 1e-3  # Rates are calculated over an interval of at least this many seconds.


class MetricsExport:
    """Exporter of the server's metrics; it is off if the operator file names no receivers.

    Args:
        operator: The operator file's tables.
        server: The server that is measured.
        random_source: Source of the random part of delays.
        background: Scheduler of the background jobs.
        sources: Functions that return measurements; each is called once per interval.
    """

    def __init__(
        self,
        operator: OperatorConfiguration,
        server: ControlPlaneServer,
        random_source: random.Random,
        background: BackgroundScheduler,
        sources: Iterable[Callable[[], Measurements]],
    ) -> None:
        self.table = operator.graphite
        self.server = server
        self.random_source = random_source
        self.background = background
        self.sources = list(sources)
        self.collector: MetricsCollector | None = None
        self.service: GraphiteService | None = None
        self.previous_totals: dict[Metric, float] | None = None
        self.previous_at = 0

    async def start(self) -> None:
        """Start the export if the operator file names receivers."""
        if self.table.receivers:
            self._start()

    def _start(self) -> None:
        from ravenshelf.graphite.collector import MetricsCollector
        from ravenshelf.graphite.service import GraphiteService

        server = self.server
        now = server.clock()
        self.collector = MetricsCollector(
            server.control_cycle.settings,
            self._prefix(),
            now,
            server.proxy_tables.admission_level_of,
            self._endpoint_name,
        )
        self.collector.on_event(EndpointsListed(ListKind.RESTORED, server.registry.snapshot()), now)
        for join_event in server.control_cycle.join_events.values():
            self.collector.on_event(join_event, now)
        self.service = GraphiteService(
            self.table,
            self.random_source,
            loop=server.loop,
            clock=server.clock,
            background=self.background,
            wake_at=self._wake_receiver_at,
        )
        server.observers.insert(0, self.collector)
        server.control_cycle.cycle_observer = self.collector
        self._schedule(server.clock())

    def _endpoint_name(self, endpoint: int) -> str:
        return self.server.registry.names[endpoint]

    def _prefix(self) -> str:
        from ravenshelf.graphite.formats import path_component

        server_name = str(self.server.configuration.get("name", "pilot"))
        return f"{self.table.prefix}.{path_component(server_name)}"

    def _wake_receiver_at(self, receiver: str, time: int) -> None:
        self.server.timers.set((RECEIVER_TIMER, receiver), time)

    def _schedule(self, now: int) -> None:
        interval = self.table.every_s * SECOND
        next_boundary = (now // interval + 1) * interval
        self.server.timers.set((INTERVAL_TIMER,), next_boundary)

    def run_due(self, key: TimerKey, now: int) -> None:
        """Handle a timer: the end of an interval, or a timer of a receiver."""
        if self.service is None:
            return
        if key[0] == INTERVAL_TIMER:
            self._measure(now)
        else:
            self.service.run_due(key[1])

    def _measure(self, now: int) -> None:
        """End an interval and offer the background job that exports its points, timed at its boundary."""
        from ravenshelf.graphite.service import interval_boundary

        if self.collector is None:
            return
        self._schedule(now)
        time = interval_boundary(now, self.table.every_s)

        def export(importance: int, points: list[Point]) -> None:
            """Export points of one importance at the boundary of the interval that has ended."""
            if self.service is not None:
                self.service.export(time, importance, points)

        steps = self.collector.close_interval(
            now, self.server.control_cycle.controller, self._samples(now), export
        )
        self.background.offer("metrics", Priority.PRESENT, MEASUREMENT_DEADLINE, steps)

    def _samples(self, now: int) -> list[Sample]:
        """Return the sources' levels unchanged, their totals as rates, and the samples of the receivers."""
        from ravenshelf.graphite.points import Sample

        levels: dict[Metric, float] = {}
        totals: dict[Metric, float] = {}
        for source in self.sources:
            measurements = source()
            levels |= measurements.levels
            totals |= measurements.totals
        rates = self._rates(totals, now)
        receiver_samples = self.service.samples() if self.service is not None else []
        return [*receiver_samples, *starmap(Sample, levels.items()), *starmap(Sample, rates.items())]

    def _rates(self, totals: dict[Metric, float], now: int) -> dict[Metric, float]:
        last_totals = self.previous_totals
        seconds = max(SHORTEST_INTERVAL_S, (now - self.previous_at) / SECOND)
        self.previous_totals = totals
        self.previous_at = now
        if last_totals is None:
            return {}
        return {metric: (total - last_totals.get(metric, 0)) / seconds for metric, total in totals.items()}

    def reload(self, previous_operator: OperatorConfiguration, new_operator: OperatorConfiguration) -> None:
        """Start, stop or change the export if the table `[graphite]` changed."""
        self.table = new_operator.graphite
        if previous_operator.graphite == new_operator.graphite:
            return
        if self.service is None or self.collector is None:
            if self.table.receivers:
                self._start()
        elif not self.table.receivers:
            self._stop(self.service, self.collector)
        else:
            self.service.reload(self.table)
            self.collector.path_names.prefix = self._prefix()
            if self.table.every_s != previous_operator.graphite.every_s:
                self._schedule(self.server.clock())

    def _stop(self, service: GraphiteService, collector: MetricsCollector) -> None:
        service.close()
        self.service = None
        self.collector = None
        self.server.observers.remove(collector)
        self.server.control_cycle.cycle_observer = None
        self.server.timers.cancel((INTERVAL_TIMER,))

    def measurements(self) -> Measurements:
        """Return empty measurements, because the receivers' samples are exported by the service itself."""
        return Measurements({}, {})

    def close(self) -> None:
        """Close the connections to the receivers; points that are queued in memory are lost."""
        if self.service is not None:
            self.service.close()
