"""Helpers for tests of the export: a service whose time passes only where the test says so."""

import asyncio
import random

from ravenshelf.background.decisions import JobQueue
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.graphite.decisions.connection import SECOND
from ravenshelf.graphite.dialing import resolve_name
from ravenshelf.graphite.service import GraphiteService, interval_boundary
from ravenshelf.operator_config.tables import Graphite as Table
from ravenshelf.state.counters import Counters
from ravenshelf.state.deadlines import DeadlineQueue

START_S = 1_700_000_000


class ExportRig:
    """A Graphite service with a clock and timers of the test's."""

    def __init__(self, resolve=resolve_name, **table):
        self.now, self.deadlines, self.counters = START_S * SECOND, DeadlineQueue(), Counters()
        self.background = BackgroundScheduler(
            JobQueue(1000, 50_000, 900_000, SECOND),
            lambda: self.now,
            lambda at: self.deadlines.set("background", at),
            lambda: False,
            self.counters,
        )
        self.service = GraphiteService(
            Table(**table),
            random.Random(5),
            loop=asyncio.get_running_loop(),
            clock=lambda: self.now,
            wake_at=lambda receiver, at: self.deadlines.set(receiver, at),
            background=self.background,
            resolve=resolve,
        )

    def run_due(self):
        for key in self.deadlines.take_expired(self.now):
            self.background.run_turn() if key == "background" else self.service.run_due(key)

    async def wait_until(self, condition, timeout_s=20.0):
        """Real time passes for sockets, the clock by a few milliseconds; fails where it never holds."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                self.run_due()
                await asyncio.sleep(0.001)
                self.now += 2000

    async def advance(self, seconds, step=1.0, do=lambda: None):
        for _ in range(round(seconds / step)):
            self.now += round(step * SECOND)
            do()
            for _ in range(4):
                self.run_due()
                await asyncio.sleep(0.001)

    def measure(self, count=50, importance=1, of="a"):
        time = interval_boundary(self.now, self.service.table.every_s)
        self.service.export(time, importance, [(f"p.{of}.{n}", float(n)) for n in range(count)])
        return time

    def state(self, receiver):
        return self.service.exporters[receiver].policy.state

    def queue(self, receiver):
        return self.service.exporters[receiver].queue

    async def stop(self, *receivers):
        self.service.close()
        for receiver in receivers:
            await receiver.stop()


def run(test):
    return asyncio.run(asyncio.wait_for(test, 60))


def has_all(receiver, time, count=50, of="a"):
    return all((f"p.{of}.{n}", time) in receiver.points for n in range(count))
