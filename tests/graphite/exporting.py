"""Helpers for tests of the Graphite export: a service whose clock the test controls."""

import asyncio
import random

from ravenshelf.background.decisions import JobQueue
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.graphite.dialing import resolve_name
from ravenshelf.graphite.service import GraphiteService, interval_boundary
from ravenshelf.operator_config.tables import Graphite as Table
from ravenshelf.state.counters import Counters
from ravenshelf.state.deadlines import DeadlineQueue
from ravenshelf.time_units import SECOND

START_S = 1_700_000_000


class ExportHarness:
    """Graphite service with a clock and timers that the test controls."""

    def __init__(self, resolve=resolve_name, **table):
        self.now, self.deadlines, self.counters = START_S * SECOND, DeadlineQueue(), Counters()
        self.background = BackgroundScheduler(
            JobQueue(1000, 50_000, 900_000, SECOND),
            lambda: self.now,
            lambda time: self.deadlines.set("background", time),
            lambda: False,
            self.counters,
        )
        self.service = GraphiteService(
            Table(**table),
            random.Random(5),
            loop=asyncio.get_running_loop(),
            clock=lambda: self.now,
            wake_at=lambda receiver, time: self.deadlines.set(receiver, time),
            background=self.background,
            resolve=resolve,
        )

    def run_due(self):
        for key in self.deadlines.pop_expired(self.now):
            self.background.run_turn() if key == "background" else self.service.run_due(key)

    async def wait_until(self, condition, timeout_s=20.0):
        """Run what is due until the condition holds; raise TimeoutError after `timeout_s` of real time.

        The clock advances by 2 ms in each round, while sockets need real time.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                self.run_due()
                await asyncio.sleep(0.001)
                self.now += 2000

    async def advance(self, seconds, step_s=1.0, on_step=lambda: None):
        for _ in range(round(seconds / step_s)):
            self.now += round(step_s * SECOND)
            on_step()
            for _ in range(4):
                self.run_due()
                await asyncio.sleep(0.001)

    def measure(self, count=50, importance=1, path_group="a"):
        time = interval_boundary(self.now, self.service.table.every_s)
        self.service.export(
            time, importance, [(f"p.{path_group}.{number}", float(number)) for number in range(count)]
        )
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


def has_all_points(receiver, time, count=50, path_group="a"):
    return all((f"p.{path_group}.{number}", time) in receiver.points for number in range(count))
