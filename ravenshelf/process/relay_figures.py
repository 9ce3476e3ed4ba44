"""A relay's metrics to Graphite, as `[graphite]` of the operator file configures them."""

import asyncio
import random

from ravenshelf.background.decisions import JobQueue
from ravenshelf.background.scheduler import Background
from ravenshelf.distribution.decisions.client import ConnectionState
from ravenshelf.distribution.relay_service import RelayService
from ravenshelf.distribution.timers import Timers
from ravenshelf.graphite import figures
from ravenshelf.graphite.formats import word
from ravenshelf.graphite.service import Graphite, aligned
from ravenshelf.operator_config.tables import Operator
from ravenshelf.process.clock import Clock
from ravenshelf.state.counters import Counters

SECOND = 1_000_000  # microseconds
MICROSECONDS_PER_MILLISECOND = 1000
SHORTEST_INTERVAL = 1e-3  # seconds, for rates

# keys of the timers; a receiver's is its address
MEASUREMENT = "figures"
BACKGROUND = "background"


class RelayFigures:
    """Sends the relay's metrics to all receivers, once in each interval."""

    def __init__(self, operator: Operator, service: RelayService, loop: asyncio.AbstractEventLoop):
        """The first measurement is at the next boundary of an interval."""
        self.service = service
        self.table = operator.graphite
        self.clock = Clock()
        self.timers: Timers[str] = Timers(loop, self.clock, self._due)
        self.background = self._make_background(operator)
        self.graphite = Graphite(
            operator.graphite,
            random.Random(),
            loop=loop,
            clock=self.clock,
            background=self.background,
            again=lambda receiver, at: self.timers.set(receiver, at),
        )
        self._previous_totals = self._totals()
        self._measured_at = self.clock()
        self._schedule_measurement()

    def _make_background(self, operator: Operator) -> Background:
        table = operator.background
        jobs = JobQueue(
            table.jobs,
            round(table.turn_ms * MICROSECONDS_PER_MILLISECOND),
            round(table.a_second_ms * MICROSECONDS_PER_MILLISECOND),
            round(table.ageing_s * SECOND),
        )
        return Background(
            jobs, self.clock, lambda at: self.timers.set(BACKGROUND, at), lambda: False, Counters()
        )

    def stop(self) -> None:
        """Close the connections to the receivers."""
        self.timers.stop()
        self.graphite.close()

    def _schedule_measurement(self) -> None:
        interval = self.table.every_s * SECOND
        self.timers.set(MEASUREMENT, (self.clock() // interval + 1) * interval)

    def _due(self, key: str) -> None:
        if key == MEASUREMENT:
            self._schedule_measurement()
            self._measure()
        elif key == BACKGROUND:
            self.background.turn()
        else:
            self.graphite.turn(key)

    # --- metrics ---

    def _totals(self) -> dict[str, float]:
        """Return the totals since the relay's start, by path of their rates."""
        relay = self.service.relay
        return {
            figures.RELAY_REFUSED.path: self.service.subscribers.rejected,
            figures.RELAY_GAPS.path: sum(client.resyncs for client in relay.clients.values()),
            figures.RELAY_SNAPSHOTS.path: relay.distributor.snapshot_bytes,
            figures.RELAY_OUT.path: self.service.subscribers.bytes_out,
        }

    def _levels(self) -> dict[str, float]:
        """Return the present values, by path."""
        relay = self.service.relay
        connected = [client for client in relay.clients.values() if client.state is ConnectionState.CONNECTED]
        return {
            figures.RELAY_SUBSCRIBERS.path: len(relay.distributor.subscribers),
            figures.RELAY_UPSTREAMS.path: len(connected),
            figures.RELAY_TOPICS.path: len(relay.topics),
        }

    def _measure(self) -> None:
        now = self.clock()
        totals = self._totals()
        seconds = max(SHORTEST_INTERVAL, (now - self._measured_at) / SECOND)
        rates = {path: (total - self._previous_totals[path]) / seconds for path, total in totals.items()}
        self._previous_totals = totals
        self._measured_at = now
        prefix = f"{self.table.prefix}.{word(self.service.name)}"
        points_by_importance: dict[int, list[tuple[str, float]]] = {}
        for path, value in (self._levels() | rates).items():
            importance = figures.CATALOGUE[path].importance
            points_by_importance.setdefault(importance, []).append((f"{prefix}.{path}", float(value)))
        time = aligned(now, self.table.every_s)
        for importance, points in points_by_importance.items():
            self.graphite.take(time, importance, points)
