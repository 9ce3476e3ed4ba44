"""A relay's figures to Graphite, as `[graphite]` of the operator file says."""

import asyncio
import random
from collections.abc import Hashable

from ravenshelf.background.decisions import JobQueue
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.distribution.decisions.client import State
from ravenshelf.distribution.relay_service import RelayService
from ravenshelf.distribution.timers import Timers
from ravenshelf.graphite import metrics
from ravenshelf.graphite.formats import path_component
from ravenshelf.graphite.metrics import Metric
from ravenshelf.graphite.service import GraphiteService, interval_boundary
from ravenshelf.operator_config.tables import Operator
from ravenshelf.process.clock import Clock
from ravenshelf.state.counters import Counters

SECOND = 1_000_000
FIGURES, BACKGROUND = "figures", "background"  # keys of the timers; a receiver's is its address


class RelayFigures:
    """Sends the relay's figures to all receivers, each interval once."""

    def __init__(self, operator: Operator, service: RelayService, loop: asyncio.AbstractEventLoop):
        """Begins at the next boundary of an interval."""
        self.service, self.table = service, operator.graphite
        self.clock = Clock()
        self.timers = Timers(loop, self.clock, self._due)
        self.background = self._background(operator)
        self.graphite = GraphiteService(
            operator.graphite,
            random.Random(),
            loop=loop,
            clock=self.clock,
            background=self.background,
            wake_at=lambda receiver, at: self.timers.set(receiver, at),
        )
        self._before = self._sums()
        self._measured_at = self.clock()
        self._next()

    def _background(self, operator: Operator) -> BackgroundScheduler:
        table = operator.background
        queue = JobQueue(
            table.jobs,
            round(table.turn_ms * 1000),
            round(table.a_second_ms * 1000),
            round(table.ageing_s * SECOND),
        )
        return BackgroundScheduler(
            queue, self.clock, lambda at: self.timers.set(BACKGROUND, at), lambda: False, Counters()
        )

    def stop(self) -> None:
        """Closes the receivers."""
        self.timers.stop()
        self.graphite.close()

    def _next(self) -> None:
        every = self.table.every_s * SECOND
        self.timers.set(FIGURES, (self.clock() // every + 1) * every)

    def _due(self, key: Hashable) -> None:
        if key == FIGURES:
            self._next()
            self._measure()
        elif key == BACKGROUND:
            self.background.run_turn()
        else:
            self.graphite.run_due(key)

    # --- the figures ---

    def _sums(self) -> dict[Metric, float]:
        """What is counted since the relay's start, by the metric of its rate."""
        relay = self.service.relay
        return {
            metrics.RELAY_REJECTED: self.service.subscribers.refused,
            metrics.RELAY_RESYNCS: sum(client.resyncs for client in relay.clients.values()),
            metrics.RELAY_SNAPSHOT_BYTES: relay.distributor.snapshot_bytes,
            metrics.RELAY_BYTES: self.service.subscribers.bytes_out,
        }

    def _levels(self) -> dict[Metric, float]:
        """What holds now, by metric."""
        relay = self.service.relay
        return {
            metrics.RELAY_SUBSCRIBERS: len(relay.distributor.subscribers),
            metrics.RELAY_UPSTREAMS: sum(
                client.state is State.CONNECTED for client in relay.clients.values()
            ),
            metrics.RELAY_TOPICS: len(relay.topics),
        }

    def _measure(self) -> None:
        now, sums = self.clock(), self._sums()
        seconds = max(1e-3, (now - self._measured_at) / SECOND)
        rates = {metric: (count - self._before[metric]) / seconds for metric, count in sums.items()}
        self._before, self._measured_at = sums, now
        prefix = f"{self.table.prefix}.{path_component(self.service.name)}"
        by_importance: dict[int, list[tuple[str, float]]] = {}
        for metric, value in (self._levels() | rates).items():
            point = (f"{prefix}.{metric.path}", float(value))
            by_importance.setdefault(metric.importance, []).append(point)
        time = interval_boundary(now, self.table.every_s)
        for importance, points in by_importance.items():
            self.graphite.export(time, importance, points)
