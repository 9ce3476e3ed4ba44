"""Processor time, memory and delay of a relay process on loopback, by its number of subscribers.

The owner and the subscribers run in the process of the benchmark, so that the relay is measured alone.
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

# Seconds between two changes, fewer than in any fleet, so that the processor time is many clock ticks.
CHANGE_INTERVAL = 0.03

IDLE_SECONDS = 5.0  # length of the idle period, in which only heartbeats are sent
START_TIMEOUT = 30.0  # in seconds
SIZES = (8, 16, 32, 64, 128)
SHORT_SIZES = (4, 8, 16, 32)


def clock() -> int:
    """Return the microseconds of a monotonic clock."""
    return time.monotonic_ns() // 1000


def processor_seconds(pid: int) -> float:
    """Return the processor seconds of a process, in steps of the system's clock ticks."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


class RelayInstallation:
    """Owner of twelve services, one relay process, and the subscribers of the relay."""

    def __init__(self, subscribers: int, folder: Path):
        self.count = subscribers
        self.folder = folder
        self.loop = asyncio.get_running_loop()
        self.services = [f"service-{n}" for n in range(SERVICES)]
        self.tables = {zone_topic(service, 0): self._make_table(service, 100.0) for service in self.services}
        self.changed_at: dict[str, int] = {}  # time of the last change in microseconds, by topic
        # Milliseconds from each change to its arrival at a subscriber.
        self.delays: list[float] = []
        limits = DistributorLimits(64)
        self.owner = OwnerService(
            Node(self.loop, clock, "bench", "owner-0", {}), 1, 8, self.content, random.Random(1), limits
        )
        self.subscribers: list[SubscriptionService] = []

    @staticmethod
    def _make_table(service: str, weight: float) -> dict[str, Entry]:
        return {f"{LINE_PREFIX}{service}-{n:03d}": TableLine(weight + n) for n in range(TABLE_LINES)}

    def content(self, topic: str) -> dict[str, Entry]:
        """Return the entries of a topic."""
        if topic in self.tables:
            return self.tables[topic]
        return {
            f"{ENDPOINT_PREFIX}{topic}-{n:03d}": EndpointEntry(0, True, 4.0) for n in range(SERVICE_ENDPOINTS)
        }

    async def start(self) -> None:
        """Start the owner, the relay and the subscribers, and wait for all topics."""
        owner_address = await self.owner.start("127.0.0.1:0")
        for service in self.services:
            self.owner.acquire(service, PublicationLease(1, clock() + 3600 * SECOND))
        relay_address = f"127.0.0.1:{find_free_ports(1)[0]}"
        operator_file = self.folder / "relay.toml"
        operator_file.write_text(
            f'[distribution]\nname = "relay-0"\ncluster = "bench"\nlisten = "{relay_address}"\n'
            f"owners = true\nsubscribers = {2 * self.count}\n[distribution.parents]\n"
            f'owner-0 = "{owner_address}"\n'
        )
        arguments = ("-m", "ravenshelf", "distribution", "relay", "--operator", str(operator_file))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, cwd=ROOT, stderr=asyncio.subprocess.DEVNULL
        )
        for number in range(self.count):
            self.subscribers.append(self._make_subscriber(number, relay_address))
        topics = [
            topic for service in self.services for topic in (service_topic(service), zone_topic(service, 0))
        ]
        for subscriber in self.subscribers:
            subscriber.start(topics)
        async with asyncio.timeout(START_TIMEOUT):
            while not all(
                receiver.topics[topic].entries for receiver in self.subscribers for topic in topics
            ):
                await asyncio.sleep(0.05)

    def _make_subscriber(self, number: int, relay_address: str) -> SubscriptionService:
        def record_delay(topic: Topic) -> None:
            if topic.name in self.changed_at:
                self.delays.append((clock() - self.changed_at[topic.name]) / 1000)

        return SubscriptionService(
            Node(self.loop, clock, "bench", f"pilot-{number}", {"relay-0": relay_address}),
            random.Random(number),
            record_delay,
        )

    async def measure(self) -> tuple[float, float, float, float]:
        """Measure an idle time and a series of changes.

        Returns:
            The processor seconds for each delivered delta, the share of a core while idle, the memory in MB,
            and the 99th percentile of the delays in milliseconds.
        """
        seconds_before = processor_seconds(self.process.pid)
        await asyncio.sleep(IDLE_SECONDS)
        idle_core_share = (processor_seconds(self.process.pid) - seconds_before) / IDLE_SECONDS
        seconds_before = processor_seconds(self.process.pid)
        started_at = time.monotonic()
        for number in range(CHANGES):
            service = self.services[number % SERVICES]
            topic = zone_topic(service, 0)
            self.tables[topic] = self._make_table(service, 101.0 + number)
            self.changed_at[topic] = clock()
            self.owner.refresh(topic)
            await asyncio.sleep(CHANGE_INTERVAL)
        await asyncio.sleep(0.5)
        change_seconds = (
            processor_seconds(self.process.pid)
            - seconds_before
            - idle_core_share * (time.monotonic() - started_at)
        )
        memory = memory_mb(self.process.pid)
        return (
            max(0.0, change_seconds) / max(1, len(self.delays)),
            idle_core_share,
            memory,
            quantile(self.delays, 0.99),
        )

    async def stop(self) -> None:
        """Stop the subscribers, the owner and the relay process."""
        for service in (*self.subscribers, self.owner):
            service.stop()
        self.process.terminate()
        await self.process.wait()


async def _measure_installation(subscribers: int) -> tuple[float, float, float, float]:
    with tempfile.TemporaryDirectory() as folder:
        installation = RelayInstallation(subscribers, Path(folder))
        try:
            await installation.start()
            return await installation.measure()
        finally:
            await installation.stop()


def measurements(short: bool) -> list[Measurement]:
    """Return four measurements by number of subscribers, all of the same runs."""
    sizes, runs = (SHORT_SIZES, 1) if short else (SIZES, 3)
    results = [[uvloop.run(_measure_installation(size)) for size in sizes] for _ in range(runs)]
    interval_ms = CHANGE_INTERVAL * 1000
    constants = f"{SERVICES} services each, tables of {TABLE_LINES} lines, a change each {interval_ms:.0f} ms"
    names_and_units = (
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
            [
                Point(size, [run[size_index][figure] for run in results])
                for size_index, size in enumerate(sizes)
            ],
            constants,
        )
        for figure, (name, unit) in enumerate(names_and_units)
    ]
