"""A relay's figures to Graphite, as `[graphite]` of the operator file says."""

import asyncio
import random
from collections.abc import Hashable

from ravenshelf.background.decisions import JobQueue
from ravenshelf.background.scheduler import Background
from ravenshelf.distribution.decisions.client import State
from ravenshelf.distribution.relay_service import RelayService
from ravenshelf.distribution.timers import Timers
from ravenshelf.graphite import figures
from ravenshelf.graphite.formats import word
from ravenshelf.graphite.service import Graphite, aligned
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
        self.graphite = Graphite(
            operator.graphite,
            random.Random(),
            loop=loop,
            clock=self.clock,
            background=self.background,
            again=lambda receiver, at: self.timers.set(receiver, at),
        )
        self._before = self._sums()
        self._measured_at = self.clock()
        self._next()

    def _background(self, operator: Operator) -> Background:
        table = operator.background
        agenda = JobQueue(
            table.jobs,
            round(table.turn_ms * 1000),
            round(table.a_second_ms * 1000),
            round(table.ageing_s * SECOND),
        )
        return Background(
            agenda, self.clock, lambda at: self.timers.set(BACKGROUND, at), lambda: False, Counters()
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
            self.background.turn()
        else:
            self.graphite.turn(key)

    # --- the figures ---

    def _sums(self) -> dict[str, float]:
        """What is counted since the relay's start, by path of its rate."""
        relay = self.service.relay
        return {
            figures.RELAY_REFUSED.path: self.service.subscribers.refused,
            figures.RELAY_GAPS.path: sum(client.resyncs for client in relay.clients.values()),
            figures.RELAY_SNAPSHOTS.path: relay.distributor.snapshot_bytes,
            figures.RELAY_OUT.path: self.service.subscribers.bytes_out,
        }

    def _levels(self) -> dict[str, float]:
        """What holds now, by path."""
        relay = self.service.relay
        return {
            figures.RELAY_SUBSCRIBERS.path: len(relay.distributor.subscribers),
            figures.RELAY_UPSTREAMS.path: sum(
                client.state is State.CONNECTED for client in relay.clients.values()
            ),
            figures.RELAY_TOPICS.path: len(relay.topics),
        }

    def _measure(self) -> None:
        now, sums = self.clock(), self._sums()
        seconds = max(1e-3, (now - self._measured_at) / SECOND)
        rates = {path: (count - self._before[path]) / seconds for path, count in sums.items()}
        self._before, self._measured_at = sums, now
        prefix = f"{self.table.prefix}.{word(self.service.name)}"
        by_importance: dict[int, list[tuple[str, float]]] = {}
        for path, value in (self._levels() | rates).items():
            importance = figures.CATALOGUE[path].importance
            by_importance.setdefault(importance, []).append((f"{prefix}.{path}", float(value)))
        time = aligned(now, self.table.every_s)
        for importance, points in by_importance.items():
            self.graphite.take(time, importance, points)
