"""Exports metrics to all receivers of the operator file: to each everything, or to each its share."""

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
from ravenshelf.graphite.decisions.connection import SECOND, ReceiverConnectionPolicy
from ravenshelf.graphite.decisions.queue import Batch, PointQueue
from ravenshelf.graphite.decisions.routing import RendezvousRouter, handover_targets
from ravenshelf.graphite.dialing import Resolve, resolve_name
from ravenshelf.graphite.exporter import Exporter
from ravenshelf.graphite.formats import path_component
from ravenshelf.graphite.points import Point, Sample
from ravenshelf.graphite.spool import Spool

ROUTE_ALL = "all"
ROUTE_HASH = "hash"
BYTES_PER_MB = 1e6


class GraphiteTable(Protocol):
    """The keys of the operator file's `[graphite]` that are read here."""

    @property
    def receivers(self) -> list[str]:
        """Addresses, "host:port"."""

    @property
    def protocol(self) -> str:
        """One of formats.PROTOCOLS."""

    @property
    def route(self) -> str:
        """ROUTE_ALL or ROUTE_HASH."""

    @property
    def buffer_points(self) -> int:
        """The limit of a receiver's queue."""

    @property
    def backfill_points_s(self) -> int:
        """Old points that are sent in a second."""

    @property
    def spool_mb(self) -> float:
        """The limit of a receiver's spool; 0 for none."""

    @property
    def spool_dir(self) -> str:
        """The folder of the spools."""


class GraphiteService:
    """The exporters of all receivers.

    `table` is the operator file's `[graphite]`; `wake_at(receiver, time)` has `run_due(receiver)` called at
    that time.
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
        self.holds_share: dict[str, bool] = {}
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
        self.holds_share[receiver] = True
        self.wake_at(receiver, self.clock())

    def _new_spool(self, receiver: str) -> Spool | None:
        if not self.table.spool_mb:
            return None
        if self.spool_thread is None:
            self.spool_thread = ThreadPoolExecutor(1, "spool")
        max_bytes = int(self.table.spool_mb * BYTES_PER_MB)
        return Spool(Path(self.table.spool_dir), receiver, max_bytes, self.spool_thread, self._on_loop)

    def _on_loop(self, call: Callable[[], None]) -> None:
        with contextlib.suppress(RuntimeError):  # the loop has ended: nobody waits for the outcome
            self.loop.call_soon_threadsafe(call)

    def run_due(self, receiver: str) -> None:
        """Do what is due at a receiver, if it still is one."""
        if receiver in self.exporters:
            self.exporters[receiver].run_due()

    # --- points ---

    def export(self, time: int, importance: int, points: list[Point]) -> None:
        """Queue a measurement's points of one importance; `time` is in seconds."""
        if self.table.route == ROUTE_ALL:
            encoded: list[bytes] = []  # encoded once for all receivers
            for exporter in self.exporters.values():
                exporter.add([Batch(time, importance, points, encoded)])
            return
        self._update_shares()
        self._export_shares(Batch(time, importance, points))

    def _export_shares(self, batch: Batch) -> None:
        holds_share = [self.holds_share[receiver] for receiver in self.router.receivers]
        for number, share in self.router.partition(batch.points, holds_share).items():
            exporter = self.exporters[self.router.receivers[number]]
            exporter.add([Batch(batch.time, batch.importance, share)])

    def _update_shares(self) -> None:
        """Let receivers fail over and recover.

        What was never sent to a receiver goes with its share. What it may have received in part waits for it
        alone, so that no point is at two receivers.
        """
        now = self.clock()
        for receiver, exporter in self.exporters.items():
            held_share = self.holds_share[receiver]
            self.holds_share[receiver] = exporter.policy.holds_share(now)
            if held_share and not self.holds_share[receiver]:
                batches = exporter.remove_all() if any(self.holds_share.values()) else []
                log_events.RECEIVER_FAILED_OVER(receiver=receiver, moved=sum(map(len, batches)))
                for batch in batches:
                    self._export_shares(batch)
            elif not held_share and self.holds_share[receiver]:
                log_events.RECEIVER_RECOVERED(receiver=receiver)

    # --- reload ---

    def reload(self, table: GraphiteTable) -> None:
        """Use a new table.

        Receivers that remain keep their connection and their queue; what is queued for one that was removed
        goes to others. A new protocol replaces every exporter: encoded batches and open connections are of
        the old one.
        """
        old = self.table
        self.table = table
        remaining = [receiver for receiver in old.receivers if receiver in table.receivers]
        if old.protocol != table.protocol:
            remaining = []
        removed = {
            receiver: self.exporters.pop(receiver) for receiver in old.receivers if receiver not in remaining
        }
        self.holds_share = {receiver: self.holds_share[receiver] for receiver in remaining}
        self.router = RendezvousRouter(table.receivers)
        for receiver in remaining:
            self._reload_exporter(self.exporters[receiver], old)
        for receiver in table.receivers:
            if receiver not in self.exporters:
                self._start_exporter(receiver)
        self._hand_over(removed, handover_targets([*old.receivers], [*table.receivers], table.route))

    def _reload_exporter(self, exporter: Exporter, old: GraphiteTable) -> None:
        exporter.queue.limit = self.table.buffer_points
        exporter.queue.backfill_rate = self.table.backfill_points_s
        if (old.spool_mb, old.spool_dir) != (self.table.spool_mb, self.table.spool_dir):
            exporter.spooling.spool = self._new_spool(exporter.receiver)

    def _hand_over(self, removed: dict[str, Exporter], targets_of: dict[str, list[str]]) -> None:
        # By share, what may have been received in part is dropped: it may be at the old receiver. Where each
        # receiver has everything, the new one has none of it.
        include_attempted = self.table.route == ROUTE_ALL
        for receiver, exporter in removed.items():
            batches = exporter.remove_all(include_attempted)
            exporter.close()
            if receiver in self.table.receivers:  # the same receiver by another protocol
                self._add_copies(receiver, batches)
            elif self.table.route == ROUTE_HASH:
                for batch in batches:
                    self._export_shares(batch)
            else:
                for target in targets_of[receiver]:
                    self._add_copies(target, batches)

    def _add_copies(self, receiver: str, batches: list[Batch]) -> None:
        copies = [Batch(batch.time, batch.importance, batch.points) for batch in batches]
        self.exporters[receiver].add(copies)

    def samples(self) -> list[Sample]:
        """Return the state of each receiver's queue."""
        samples = []
        for receiver, exporter in self.exporters.items():
            name = path_component(receiver)
            samples.append(Sample(metrics.RECEIVER_QUEUED, exporter.queue.point_count, name))
            samples.append(Sample(metrics.RECEIVER_DROPPED, exporter.queue.dropped_points, name))
        return samples

    def close(self) -> None:
        """Close every connection and end the spool's thread after the writes that it has."""
        for exporter in self.exporters.values():
            exporter.close()
        if self.spool_thread is not None:
            self.spool_thread.shutdown(wait=False, cancel_futures=False)


def interval_boundary(now: int, interval_s: int) -> int:
    """Return the time in seconds of a measurement made at `now`: the interval's boundary, also if it is made
    late."""
    return now // (interval_s * SECOND) * interval_s
