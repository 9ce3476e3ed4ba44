"""Construction, start, reload and end of the features that an operator file turns on."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from ravenshelf import log_events
from ravenshelf.background.decisions import JobQueue
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.operator_config.tables import Background, OperatorConfiguration
from ravenshelf.process.operations.collectd_signals import USERS_TIMER, CollectdSignals
from ravenshelf.process.operations.feature import Measurements, OperatorFeature, TimerKey
from ravenshelf.process.operations.metrics_export import INTERVAL_TIMER, RECEIVER_TIMER, MetricsExport
from ravenshelf.process.operations.process_metrics import process_measurements
from ravenshelf.time_units import MILLISECOND, SECOND

if TYPE_CHECKING:
    from ravenshelf.process.control_plane import ControlPlaneServer
    from ravenshelf.process.operations.leases import Leases
    from ravenshelf.process.operations.subscription import Subscription

BACKGROUND_TIMER = "background"
# Changes of these tables take effect only after a restart.
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
    """All optional features of a server; must be created before the server accepts connections.

    Args:
        operator: The operator file's tables.
        server: The server that the features extend.
        random_source: Source of the features' random choices.
    """

    TIMERS = frozenset([BACKGROUND_TIMER, INTERVAL_TIMER, RECEIVER_TIMER, USERS_TIMER])

    def __init__(
        self, operator: OperatorConfiguration, server: ControlPlaneServer, random_source: random.Random
    ) -> None:
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
        """Start the features, leases first.

        Raises:
            OSError: An address can't be listened at, or a file can't be read.
        """
        features: tuple[OperatorFeature | None, ...] = (
            self.leases,
            self.subscription,
            self.metrics,
            self.collectd,
        )
        for feature in features:
            if feature is not None:
                await feature.start()

    def run_due(self, key: TimerKey, now: int) -> None:
        """Handle a timer whose key's first item is one of TIMERS; `now` is in microseconds."""
        if key[0] == BACKGROUND_TIMER:
            self.background.run_turn()
        elif key[0] == USERS_TIMER:
            self.collectd.check_users(now)
        else:
            self.metrics.run_due(key, now)

    def reload(self, new_operator: OperatorConfiguration, on_done: Callable[[str], None]) -> None:
        """Apply a new operator file as a whole.

        A new collectd listener opens in a task of the event loop, after this has returned.

        Args:
            new_operator: The new operator file's tables.
            on_done: Function that is called with a text that lists the changed tables, or says that nothing
                changed.
        """
        from ravenshelf.operator_config.keys import changed_tables

        previous_operator = self.operator
        self.operator = new_operator
        table_names = changed_tables(previous_operator, new_operator)
        if "background" in table_names:
            self.background.replace_queue(job_queue(new_operator.background))
        features: tuple[OperatorFeature | None, ...] = (self.metrics, self.collectd, self.leases)
        for feature in features:
            if feature is not None:
                feature.reload(previous_operator, new_operator)
        for table in RESTART_TABLES:
            if table in table_names and (table == "distribution" or self.leases is not None):
                log_events.RESTART_REQUIRED(table=table)
        on_done(", ".join(f"[{table}]" for table in table_names) or "nothing changed")

    def close(self) -> None:
        """Close the connections of all features."""
        features: tuple[OperatorFeature | None, ...] = (
            self.subscription,
            self.leases,
            self.metrics,
            self.collectd,
        )
        for feature in features:
            if feature is not None:
                feature.close()
