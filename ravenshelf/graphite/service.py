"""Export of metrics to the receivers of the operator file.

With the route "all" every receiver gets every point; with "hash" each receiver gets a share of the points.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Protocol

from ravenshelf import log_events
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.graphite import metrics
from ravenshelf.graphite.decisions.connection import ReceiverConnectionPolicy
from ravenshelf.graphite.decisions.queue import Batch, PointQueue
from ravenshelf.graphite.decisions.routing import RendezvousRouter, handover_targets
from ravenshelf.graphite.dialing import Resolve, resolve_name
from ravenshelf.graphite.exporter import Exporter
from ravenshelf.graphite.formats import path_component
from ravenshelf.graphite.points import Point, Sample
from ravenshelf.graphite.spool import Spool
from ravenshelf.time_units import SECOND

ROUTE_ALL = "all"
ROUTE_HASH = "hash"
BYTES_PER_MB = 1e6


class GraphiteTable(Protocol):
    """Keys of the operator file's table `[graphite]` that the service reads."""

    @property
    def receivers(self) -> list[str]:
        """Addresses of the receivers, each "host:port"."""

    @property
    def protocol(self) -> str:
        """Protocol of all receivers, one of formats.PROTOCOLS."""

    @property
    def route(self) -> str:
        """Distribution of points to receivers: ROUTE_ALL or ROUTE_HASH."""

    @property
    def buffer_points(self) -> int:
        """Limit of each receiver's queue in memory, in points."""

    @property
    def backfill_points_s(self) -> int:
        """Maximum rate at which old points are sent to a receiver, in points per second."""

    @property
    def spool_mb(self) -> float:
        """Limit of each receiver's spool in megabytes; 0 disables spooling."""

    @property
    def spool_dir(self) -> str:
        """Folder that contains the spools of all receivers."""


class GraphiteService:
    """Exporters of all receivers.

    `table` is the operator file's table `[graphite]`. The service calls `wake_at(receiver, time)` to have
    `run_due(receiver)` called at that time, in microseconds.
    """

    def __init__(
        self,
        table: GraphiteTable,
        random_source: random.Random,
        *,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        wake_at: Callable[[str, int], None],
        background: BackgroundScheduler,
        resolve: Resolve = resolve_name,
    ) -> None:
        self.random_source = random_source
        self.loop = loop
        self.clock = clock
        self.wake_at = wake_at
        self.background = background
        self.resolve = resolve
        self.spool_thread: ThreadPoolExecutor | None = None
        self.exporters: dict[str, Exporter] = {}
        # Whether each receiver gets its own share of the points; used only with ROUTE_HASH.
        self.has_share: dict[str, bool] = {}
        self.table = table
        self.router = RendezvousRouter(table.receivers)
        for receiver in table.receivers:
            self._start_exporter(receiver)

    def _start_exporter(self, receiver: str) -> None:
        self.exporters[receiver] = Exporter(
            receiver,
            self.table.protocol,
            ReceiverConnectionPolicy(self.clock(), self.random_source),
            PointQueue(self.table.buffer_points, self.table.backfill_points_s),
            self._new_spool(receiver),
            loop=self.loop,
            clock=self.clock,
            background=self.background,
            wake_at=lambda time: self.wake_at(receiver, time),
            resolve=self.resolve,
        )
        self.has_share[receiver] = True
        self.wake_at(receiver, self.clock())

    def _new_spool(self, receiver: str) -> Spool | None:
        if not self.table.spool_mb:
            return None
        if self.spool_thread is None:
            self.spool_thread = ThreadPoolExecutor(1, "spool")
        max_bytes = int(self.table.spool_mb * BYTES_PER_MB)
        return Spool(Path(self.table.spool_dir), receiver, max_bytes, self.spool_thread, self._call_on_loop)

    def _call_on_loop(self, callback: Callable[[], None]) -> None:
        # RuntimeError: the event loop was closed, so nothing waits for the callback any more.
        with contextlib.suppress(RuntimeError):
            self.loop.call_soon_threadsafe(callback)

    def run_due(self, receiver: str) -> None:
        """Run a receiver's exporter; do nothing if the receiver was removed meanwhile."""
        if receiver in self.exporters:
            self.exporters[receiver].run_due()

    def export(self, time: int, importance: int, points: list[Point]) -> None:
        """Queue the points of one measurement and importance for the receivers.

        Args:
            time: The time of the measurement, in seconds.
            importance: Index in metrics.IMPORTANCES.
            points: Pairs (path, value).
        """
        if self.table.route == ROUTE_ALL:
            # Shared by the batches of all receivers, so that the points are encoded only once.
            encoded_chunks: list[bytes] = []
            for exporter in self.exporters.values():
                exporter.add([Batch(time, importance, points, encoded_chunks)])
            return
        self._update_shares()
        self._export_shares(Batch(time, importance, points))

    def _export_shares(self, batch: Batch) -> None:
        has_share = [self.has_share[receiver] for receiver in self.router.receivers]
        for index, share_points in self.router.partition(batch.points, has_share).items():
            exporter = self.exporters[self.router.receivers[index]]
            exporter.add([Batch(batch.time, batch.importance, share_points)])

    def _update_shares(self) -> None:
        """Update which receivers get their own share of the points.

        When a share fails over, the batches that were never sent to its receiver go to the others. Batches
        that the receiver may have in part stay in its own queue, so that no point is stored by two receivers.
        """
        now = self.clock()
        for receiver, exporter in self.exporters.items():
            has_previous_share = self.has_share[receiver]
            self.has_share[receiver] = exporter.policy.has_share(now)
            if has_previous_share and not self.has_share[receiver]:
                batches = exporter.remove_all() if any(self.has_share.values()) else []
                log_events.RECEIVER_FAILED_OVER(receiver=receiver, moved=sum(map(len, batches)))
                for batch in batches:
                    self._export_shares(batch)
            elif not has_previous_share and self.has_share[receiver]:
                log_events.RECEIVER_RECOVERED(receiver=receiver)

    def reload(self, table: GraphiteTable) -> None:
        """Apply a new table.

        Receivers in both tables keep their connection and queue. Points that are queued for a removed
        receiver are handed over to others. A change of protocol replaces every exporter, since encoded
        batches and open connections use the old protocol.
        """
        old_table = self.table
        self.table = table
        remaining_receivers = [receiver for receiver in old_table.receivers if receiver in table.receivers]
        if old_table.protocol != table.protocol:
            remaining_receivers = []
        removed_exporters = {
            receiver: self.exporters.pop(receiver)
            for receiver in old_table.receivers
            if receiver not in remaining_receivers
        }
        self.has_share = {receiver: self.has_share[receiver] for receiver in remaining_receivers}
        self.router = RendezvousRouter(table.receivers)
        for receiver in remaining_receivers:
            self._reload_exporter(self.exporters[receiver], old_table)
        for receiver in table.receivers:
            if receiver not in self.exporters:
                self._start_exporter(receiver)
        self._hand_over(
            removed_exporters, handover_targets([*old_table.receivers], [*table.receivers], table.route)
        )

    def _reload_exporter(self, exporter: Exporter, old_table: GraphiteTable) -> None:
        exporter.queue.max_points = self.table.buffer_points
        exporter.queue.backfill_rate = self.table.backfill_points_s
        if (old_table.spool_mb, old_table.spool_dir) != (self.table.spool_mb, self.table.spool_dir):
            exporter.spool_transfer.spool = self._new_spool(exporter.receiver)

    def _hand_over(self, removed_exporters: dict[str, Exporter], targets: dict[str, list[str]]) -> None:
        # With ROUTE_HASH, batches that the old receiver may have in part are dropped, so that no point is
        # stored by two receivers. With ROUTE_ALL every receiver stores all points, so a new receiver gets
        # these batches too.
        include_attempted = self.table.route == ROUTE_ALL
        for receiver, exporter in removed_exporters.items():
            batches = exporter.remove_all(include_attempted)
            exporter.close()
            if receiver in self.table.receivers:  # The receiver remains; only its protocol has changed.
                self._add_copies(receiver, batches)
            elif self.table.route == ROUTE_HASH:
                for batch in batches:
                    self._export_shares(batch)
            else:
                for target in targets[receiver]:
                    self._add_copies(target, batches)

    def _add_copies(self, receiver: str, batches: list[Batch]) -> None:
        copies = [Batch(batch.time, batch.importance, batch.points) for batch in batches]
        self.exporters[receiver].add(copies)

    def samples(self) -> list[Sample]:
        """Return the queued points, and the points dropped since the start, of each receiver."""
        samples = []
        for receiver, exporter in self.exporters.items():
            name = path_component(receiver)
            samples.append(Sample(metrics.RECEIVER_QUEUED, exporter.queue.point_count, name))
            samples.append(Sample(metrics.RECEIVER_DROPPED, exporter.queue.dropped_points, name))
        return samples

    def close(self) -> None:
        """Close every connection and let the spool's thread end once its pending operations are done."""
        for exporter in self.exporters.values():
            exporter.close()
        if self.spool_thread is not None:
            self.spool_thread.shutdown(wait=False, cancel_futures=False)


def interval_boundary(now: int, interval_s: int) -> int:
    """Return the time of a measurement: the latest boundary of an interval at or before `now`.

    A measurement that starts late still gets the time of its interval's boundary.

    Args:
        now: The time in microseconds.
        interval_s: The length of an interval in seconds.

    Returns:
        The boundary in seconds.
    """
    return now // (interval_s * SECOND) * interval_s
