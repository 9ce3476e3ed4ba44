"""Export of a relay's metrics to Graphite, as the table `[graphite]` of the operator file configures it."""

import asyncio
import random

from ravenshelf.background.decisions import JobQueue
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.distribution.decisions.client import ConnectionState
from ravenshelf.distribution.relay_service import RelayService
from ravenshelf.distribution.timers import Timers
from ravenshelf.graphite import metrics
from ravenshelf.graphite.formats import path_component
from ravenshelf.graphite.metrics import Metric
from ravenshelf.graphite.service import GraphiteService, interval_boundary
from ravenshelf.operator_config.tables import OperatorConfiguration
from ravenshelf.process.clock import Clock
from ravenshelf.state.counters import Counters
from ravenshelf.time_units import MICROSECONDS_PER_MILLISECOND, SECOND

SHORTEST_INTERVAL = 1e-3  # Rates are calculated over an interval of at least this many seconds.

# Keys of the timers. The key of a receiver's timer is the receiver's address.
MEASUREMENT = "figures"
BACKGROUND = "background"


class RelayMetricsExport:
    """Exporter that sends the relay's metrics to all receivers, at the end of each interval.

    Args:
        operator: The operator file's tables.
        service: The relay that is measured.
        loop: The event loop.
    """

    def __init__(
        self, operator: OperatorConfiguration, service: RelayService, loop: asyncio.AbstractEventLoop
    ):
        self.service = service
        self.table = operator.graphite
        self.clock = Clock()
        self.timers: Timers[str] = Timers(loop, self.clock, self._run_due)
        self.background = self._make_background(operator)
        self.graphite = GraphiteService(
            operator.graphite,
            random.Random(),
            loop=loop,
            clock=self.clock,
            background=self.background,
            wake_at=lambda receiver, at: self.timers.set(receiver, at),
        )
        self._previous_totals = self._totals()
        self._measured_at = self.clock()
        self._schedule_measurement()

    def _make_background(self, operator: OperatorConfiguration) -> BackgroundScheduler:
        table = operator.background
        jobs = JobQueue(
            table.jobs,
            round(table.turn_ms * MICROSECONDS_PER_MILLISECOND),
            round(table.a_second_ms * MICROSECONDS_PER_MILLISECOND),
            round(table.ageing_s * SECOND),
        )
        return BackgroundScheduler(
            jobs, self.clock, lambda at: self.timers.set(BACKGROUND, at), lambda: False, Counters()
        )

    def stop(self) -> None:
        """Stop measuring and close the connections to the receivers."""
        self.timers.stop()
        self.graphite.close()

    def _schedule_measurement(self) -> None:
        interval = self.table.every_s * SECOND
        self.timers.set(MEASUREMENT, (self.clock() // interval + 1) * interval)

    def _run_due(self, key: str) -> None:
        if key == MEASUREMENT:
            self._schedule_measurement()
            self._measure()
        elif key == BACKGROUND:
            self.background.run_turn()
        else:
            self.graphite.run_due(key)

    # Metrics

    def _totals(self) -> dict[Metric, float]:
        """Return the totals since the relay's start, each by the metric that exports its rate."""
        relay = self.service.relay
        return {
            metrics.RELAY_REJECTED: self.service.subscribers.rejected_count,
            metrics.RELAY_RESYNCS: sum(client.resyncs for client in relay.clients.values()),
            metrics.RELAY_SNAPSHOT_BYTES: relay.distributor.snapshot_bytes,
            metrics.RELAY_BYTES: self.service.subscribers.bytes_out,
        }

    def _levels(self) -> dict[Metric, float]:
        """Return the current values, by metric."""
        relay = self.service.relay
        connected_clients = [
            client for client in relay.clients.values() if client.state is ConnectionState.CONNECTED
        ]
        return {
            metrics.RELAY_SUBSCRIBERS: len(relay.distributor.subscribers),
            metrics.RELAY_UPSTREAMS: len(connected_clients),
            metrics.RELAY_TOPICS: len(relay.topics),
        }

    def _measure(self) -> None:
        now = self.clock()
        totals = self._totals()
        seconds = max(SHORTEST_INTERVAL, (now - self._measured_at) / SECOND)
        rates = {
            metric: (total - self._previous_totals[metric]) / seconds for metric, total in totals.items()
        }
        self._previous_totals = totals
        self._measured_at = now
        prefix = f"{self.table.prefix}.{path_component(self.service.name)}"
        points_by_importance: dict[int, list[tuple[str, float]]] = {}
        for metric, value in (self._levels() | rates).items():
            point = (f"{prefix}.{metric.path}", float(value))
            points_by_importance.setdefault(metric.importance, []).append(point)
        time = interval_boundary(now, self.table.every_s)
        for importance, points in points_by_importance.items():
            self.graphite.export(time, importance, points)
