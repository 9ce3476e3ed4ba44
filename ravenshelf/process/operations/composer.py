"""Starts, reloads and closes the parts that an operator file turns on."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from ravenshelf import log_events
from ravenshelf.background.decisions import JobQueue
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.operator_config.tables import Background, Operator
from ravenshelf.process.operations.collectd_signals import USERS_TIMER, CollectdSignals
from ravenshelf.process.operations.feature import SECOND, Measurements, OperatorFeature, TimerKey
from ravenshelf.process.operations.metrics_export import INTERVAL_TIMER, RECEIVER_TIMER, MetricsExport
from ravenshelf.process.operations.process_metrics import process_measurements

if TYPE_CHECKING:
    from ravenshelf.process.control_plane import ControlPlaneServer
    from ravenshelf.process.operations.leases import Leases
    from ravenshelf.process.operations.subscription import Subscription

BACKGROUND_TIMER = "background"
MILLISECOND = 1000  # microseconds
RESTART_TABLES = ("distribution", "leadership", "store")


def job_queue(table: Background) -> JobQueue:
    """Return an empty queue with the limits of the operator file's `[background]`."""
    return JobQueue(
        table.jobs,
        round(table.turn_ms * MILLISECOND),
        round(table.a_second_ms * MILLISECOND),
        round(table.ageing_s * SECOND),
    )


class Operations:
    """All parts of one server; has to be made before the server accepts connections."""

    TIMERS = frozenset([BACKGROUND_TIMER, INTERVAL_TIMER, RECEIVER_TIMER, USERS_TIMER])

    def __init__(self, operator: Operator, server: ControlPlaneServer, random_source: random.Random) -> None:
        self.operator = operator
        self.server = server
        self.background = BackgroundScheduler(
            job_queue(operator.background),
            server.clock,
            self._wake_background_at,
            server.cycle_scheduler.is_due,
            server.counters,
        )
        self.subscription = self._make_subscription(random_source)
        self.leases = self._make_leases(random_source)
        self.collectd = CollectdSignals(operator, server, self.background)
        sources = [self._process_measurements]
        if self.leases is not None:
            sources.append(self.leases.measurements)
        sources.append(self.collectd.measurements)
        self.metrics = MetricsExport(operator, server, random_source, self.background, sources)

    def _make_subscription(self, random_source: random.Random) -> Subscription | None:
        if not self.operator.distribution.service:
            return None
        from ravenshelf.process.operations.subscription import Subscription

        return Subscription(self.operator, self.server, random_source)

    def _make_leases(self, random_source: random.Random) -> Leases | None:
        if not self.operator.leadership.name:
            return None
        from ravenshelf.process.operations.leases import Leases

        return Leases(self.operator, self.server, random_source)

    def _process_measurements(self) -> Measurements:
        return process_measurements(self.server, self.background)

    def _wake_background_at(self, time: int) -> None:
        self.server.timers.set((BACKGROUND_TIMER,), time)

    async def start(self) -> None:
        """Start the parts, leases first."""
        parts: tuple[OperatorFeature | None, ...] = (
            self.leases,
            self.subscription,
            self.metrics,
            self.collectd,
        )
        for part in parts:
            if part is not None:
                await part.start()

    def run_due(self, key: TimerKey, now: int) -> None:
        """Handle one of the TIMERS."""
        if key[0] == BACKGROUND_TIMER:
            self.background.run_turn()
        elif key[0] == USERS_TIMER:
            self.collectd.check_users(now)
        else:
            self.metrics.run_due(key, now)

    def reload(self, operator: Operator, done: Callable[[str], None]) -> None:
        """Use a new operator file as a whole; `done` gets the tables that changed.

        A new listener opens in a task of the event loop.
        """
        from ravenshelf.operator_config.keys import changed_tables

        previous = self.operator
        self.operator = operator
        changed = changed_tables(previous, operator)
        if "background" in changed:
            self.background.replace_queue(job_queue(operator.background))
        parts: tuple[OperatorFeature | None, ...] = (self.metrics, self.collectd, self.leases)
        for part in parts:
            if part is not None:
                part.reload(previous, operator)
        for table in RESTART_TABLES:
            if table in changed and (table == "distribution" or self.leases is not None):
                log_events.RESTART_REQUIRED(table=table)
        done(", ".join(f"[{table}]" for table in changed) or "nothing changed")

    def close(self) -> None:
        """Close the connections of all parts."""
        parts: tuple[OperatorFeature | None, ...] = (
            self.subscription,
            self.leases,
            self.metrics,
            self.collectd,
        )
        for part in parts:
            if part is not None:
                part.close()
