"""A relay as a real process on loopback: processor time, memory and delay by its number of subscribers.

The owner and the subscribers run in this process, so that the relay's process is measured alone.
"""

import asyncio
import os
import random
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.measuring import memory_mb, quantile
from benchmarks.scale.distribution import SERVICE_ENDPOINTS, TABLE_LINES
from benchmarks.scale.fits import Measurement, Point, summarize
from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.ownership import PublicationLease
from ravenshelf.distribution.decisions.planner import ENDPOINT_PREFIX, LINE_PREFIX, service_topic, zone_topic
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import EndpointEntry, Entry, TableLine
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.owner_service import OwnerService
from ravenshelf.distribution.subscription_service import SubscriptionService
from standins.installation import find_free_ports

ROOT = Path(__file__).resolve().parent.parent.parent
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SECOND = 1_000_000
SERVICES = 12
CHANGES = 200
CHANGE_INTERVAL = 0.03  # seconds: faster than any fleet's, so that the process's clock ticks tell
IDLE = 5.0  # seconds of heartbeats alone
WAIT = 30.0
SIZES = (8, 16, 32, 64, 128)
SHORT_SIZES = (4, 8, 16, 32)


def clock() -> int:
    """Return microseconds of a monotonic clock."""
    return time.monotonic_ns() // 1000


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process, as the system counts it."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


class Stage:
    """An owner of a dozen services, one relay process, and its subscribers."""

    def __init__(self, subscribers: int, folder: Path):
        self.count = subscribers
        self.folder = folder
        self.loop = asyncio.get_running_loop()
        self.services = [f"service-{n}" for n in range(SERVICES)]
        self.tables = {zone_topic(service, 0): self._table(service, 100.0) for service in self.services}
        self.changed_at: dict[str, int] = {}  # by topic: time of its last change
        self.delays: list[float] = []  # milliseconds from a change to a subscriber
        limits = DistributorLimits(64)
        self.owner = OwnerService(
            Node(self.loop, clock, "bench", "owner-0", {}), 1, 8, self.content, random.Random(1), limits
        )
        self.subscribers: list[SubscriptionService] = []

    @staticmethod
    def _table(service: str, weight: float) -> dict[str, Entry]:
        return {f"{LINE_PREFIX}{service}-{n:03d}": TableLine(weight + n) for n in range(TABLE_LINES)}

    def content(self, topic: str) -> dict[str, Entry]:
        """Return the state of a topic."""
        if topic in self.tables:
            return self.tables[topic]
        return {
            f"{ENDPOINT_PREFIX}{topic}-{n:03d}": EndpointEntry(0, True, 4.0) for n in range(SERVICE_ENDPOINTS)
        }

    async def start(self) -> None:
        """Start the owner, the relay and the subscribers, and wait for all topics."""
        owner_at = await self.owner.start("127.0.0.1:0")
        for service in self.services:
            self.owner.acquire(service, PublicationLease(1, clock() + 3600 * SECOND))
        relay_at = f"127.0.0.1:{find_free_ports(1)[0]}"
        file = self.folder / "relay.toml"
        file.write_text(
            f'[distribution]\nname = "relay-0"\ncluster = "bench"\nlisten = "{relay_at}"\nowners = true\n'
            f'subscribers = {2 * self.count}\n[distribution.parents]\nowner-0 = "{owner_at}"\n'
        )
        arguments = ("-m", "ravenshelf", "distribution", "relay", "--operator", str(file))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, cwd=ROOT, stderr=asyncio.subprocess.DEVNULL
        )
        for number in range(self.count):
            self.subscribers.append(self._subscriber(number, relay_at))
        topics = [
            topic for service in self.services for topic in (service_topic(service), zone_topic(service, 0))
        ]
        for subscriber in self.subscribers:
            subscriber.start(topics)
        async with asyncio.timeout(WAIT):
            while not all(one.topics[topic].entries for one in self.subscribers for topic in topics):
                await asyncio.sleep(0.05)

    def _subscriber(self, number: int, relay_at: str) -> SubscriptionService:
        def changed(topic: Topic) -> None:
            if topic.name in self.changed_at:
                self.delays.append((clock() - self.changed_at[topic.name]) / 1000)

        return SubscriptionService(
            Node(self.loop, clock, "bench", f"pilot-{number}", {"relay-0": relay_at}),
            random.Random(number),
            changed,
        )

    async def play(self) -> tuple[float, float, float, float]:
        """Return seconds for each delivered delta, share of a core while idle, MB, and the 99th delay in
        milliseconds."""
        before = processor_seconds(self.process.pid)
        await asyncio.sleep(IDLE)
        idle = (processor_seconds(self.process.pid) - before) / IDLE
        before = processor_seconds(self.process.pid)
        began = time.monotonic()
        for number in range(CHANGES):
            service = self.services[number % SERVICES]
            topic = zone_topic(service, 0)
            self.tables[topic] = self._table(service, 101.0 + number)
            self.changed_at[topic] = clock()
            self.owner.refresh(topic)
            await asyncio.sleep(CHANGE_INTERVAL)
        await asyncio.sleep(0.5)
        spent = processor_seconds(self.process.pid) - before - idle * (time.monotonic() - began)
        memory = memory_mb(self.process.pid)
        return max(0.0, spent) / max(1, len(self.delays)), idle, memory, quantile(self.delays, 0.99)

    async def stop(self) -> None:
        """End all parts."""
        for part in (*self.subscribers, self.owner):
            part.stop()
        self.process.terminate()
        await self.process.wait()


async def _stage(subscribers: int) -> tuple[float, float, float, float]:
    with tempfile.TemporaryDirectory() as folder:
        stage = Stage(subscribers, Path(folder))
        try:
            await stage.start()
            return await stage.play()
        finally:
            await stage.stop()


def measurements(short: bool) -> list[Measurement]:
    """Return four measurements of the same runs, by subscribers."""
    sizes, runs = (SHORT_SIZES, 1) if short else (SIZES, 3)
    played = [[uvloop.run(_stage(size)) for size in sizes] for _ in range(runs)]
    interval_ms = CHANGE_INTERVAL * 1000
    fixed = f"{SERVICES} services each, tables of {TABLE_LINES} lines, a change each {interval_ms:.0f} ms"
    named = (
        ("relay on sockets, CPU of a delivered delta", "seconds"),
        ("relay on sockets, CPU of heartbeats", "core"),
        ("relay on sockets, memory", "MB"),
        ("relay on sockets, 99th delay", "milliseconds, 100 of them the owner's flush"),
    )
    return [
        summarize(
            name,
            "sockets",
            unit,
            "subscribers",
            [Point(size, [run[place][figure] for run in played]) for place, size in enumerate(sizes)],
            fixed,
        )
        for figure, (name, unit) in enumerate(named)
    ]
