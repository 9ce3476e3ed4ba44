"""Table updates while a Graphite receiver hangs, against one that is absent; the cost of points and packets.

Two servers of this program, each with a discovery and proxies of its own, get changes of the endpoint list
alternately: one's receiver accepts the connection and never reads, the other's does not exist. Timed is from
the change at discovery to the line at each proxy. A naive sender (a task for each receiver, drain awaited,
everything formatted at once) is the baseline.
"""

import argparse
import asyncio
import contextlib
import os
import random
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from benchmarks.measuring import close, memory_mb, quantiles
from examples.toy import server_process
from ravenshelf.background.decisions import JobQueue, Priority
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.collectd import protocol, security, types
from ravenshelf.collectd.decisions.host_loads import HostLoads
from ravenshelf.graphite.formats import PROTOCOLS, encode
from ravenshelf.graphite.service import GraphiteService
from ravenshelf.operator_config.tables import Graphite as GraphiteTable
from ravenshelf.process.clock import Clock
from ravenshelf.state.counters import Counters
from standins import collectd as sender
from standins.carbon import CarbonReceiver, StopReading
from standins.loopback import LoopbackProxy, LoopbackRegistry, registry_entry, server_configuration

PROXIES = 20
ENDPOINTS = 40
CHANGE_INTERVAL_S = 0.014
MEMORY_SAMPLE_CHANGES = 25  # changes between two samples
MAX_P99_RATIO = 1.05
MAX_LATE_MS = 20.0
MAX_GROWTH_MB = 2.0
MIN_CHANGES = 500
START_S = 1_700_000_000
SECOND = 1_000_000  # microseconds
HOSTS = 20
MEASUREMENT_INTERVAL_S = 0.1
Points = list[tuple[str, float]]


class Side:
    """One server with its world; `latencies_ms` are from a change to its line at a proxy."""

    def __init__(self) -> None:
        self.latencies_ms: list[float] = []
        self.address = ""
        self.awaited: dict[tuple[int, str], float] = {}  # time of the change by (proxy, endpoint)
        self.proxies = [
            LoopbackProxy(lambda: self.address, number, "north", line_callback=self.on_line)
            for number in range(PROXIES)
        ]

    async def start(self, stack: contextlib.AsyncExitStack, operator_file: str) -> None:
        """Start the server and wait until every proxy has a table."""
        listed = [registry_entry(f"s-{number}", "north") for number in range(ENDPOINTS)]
        self.discovery = await LoopbackRegistry(listed).start()
        limits = {"lines-per-s": 100_000, "most-waiting": 100_000}
        configuration = server_configuration("", ["north"], PROXIES, **limits)
        self.address = await stack.enter_async_context(
            server_process(self.discovery.address, ["--operator", operator_file], configuration, True)
        )
        self.tasks = [asyncio.create_task(proxy.run()) for proxy in self.proxies]
        while not all(proxy.active_weights() for proxy in self.proxies):
            await asyncio.sleep(0.05)

    def on_line(self, proxy: LoopbackProxy, line: str) -> None:
        """Note the latency of a drained endpoint.

        It is out by a withdrawal, by a line of weight 0, or by a complete table without it.
        """
        now = time.monotonic()
        fields = dict(word.partition("=")[::2] for word in line.split()[1:])
        weights = dict(pair.split(":") for pair in fields.get("lines", "").split(",") if pair)
        out = set(fields.get("out", "").split(","))
        out |= {endpoint for endpoint, weight in weights.items() if weight == "0"}
        if "whole" in fields:
            awaited_here = {endpoint for number, endpoint in self.awaited if number == proxy.number}
            out |= awaited_here - set(weights)
        for endpoint in out:
            changed_at = self.awaited.pop((proxy.number, endpoint), None)
            if changed_at is not None:
                self.latencies_ms.append((now - changed_at) * 1000)

    async def drain(self, endpoint: str) -> None:
        """Drain an endpoint; every proxy that holds it awaits a line. Its return is not timed."""
        now = time.monotonic()
        self.awaited |= {
            (proxy.number, endpoint): now for proxy in self.proxies if endpoint in proxy.active_weights()
        }
        await self.discovery.change_endpoint(endpoint, "DRAINING")

    def result(self) -> dict[str, float]:
        """Return the quantiles, and the lines that never came."""
        return quantiles(self.latencies_ms) | {"unanswered": len(self.awaited)}


async def table_updates(seconds: float) -> dict[str, Any]:
    """Change both servers' lists alternately."""
    receiver = await CarbonReceiver([StopReading()], buffer_bytes=2048).start()
    sides = {"hanging": Side(), "absent": Side()}
    receivers = {"hanging": receiver.address, "absent": "127.0.0.1:1"}
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        for name, side in sides.items():
            file = folder / f"{name}.toml"
            file.write_text(
                f'[graphite]\nreceivers = ["{receivers[name]}"]\nevery_s = 1\nbuffer_points = 5000\n'
            )
            await side.start(stack, str(file))
        memory = await change_alternately(list(sides.values()), seconds)
        for side in sides.values():
            for task in side.tasks:
                task.cancel()
        results = {name: side.result() for name, side in sides.items()}
    await receiver.stop()
    second_half = memory[len(memory) // 2 :]
    return {
        **results,
        "p99_ratio": round(results["hanging"]["p99"] / max(1e-9, results["absent"]["p99"]), 3),
        "late_ms": round(results["hanging"]["max"] - results["absent"]["max"], 2),
        "growth_mb": round(max(second_half) - second_half[0], 2) if second_half else 0.0,
        "seconds": seconds,
        "carbon_connections": receiver.connection_count,
    }


async def change_alternately(sides: list[Side], seconds: float) -> list[float]:
    """Drain and restore endpoints on all sides; return samples of the servers' memory in MB."""
    random_source = random.Random(7)
    started_at = time.monotonic()
    memory: list[float] = []
    changes = 0
    while time.monotonic() - started_at < seconds:
        order = list(sides)
        random_source.shuffle(order)  # which is first must not matter
        endpoint = f"s-{changes % ENDPOINTS}"
        for side in order:
            await side.drain(endpoint)
            # not in step with the intervals of anything
            await asyncio.sleep(CHANGE_INTERVAL_S * random_source.uniform(0.5, 1.5))
        for side in order:
            await side.discovery.change_endpoint(endpoint, "SERVING")
        await asyncio.sleep(CHANGE_INTERVAL_S)
        changes += 1
        if changes % MEMORY_SAMPLE_CHANGES == 0:
            memory.append(children_memory_mb())
    return memory


def children_memory_mb() -> float:
    """Return the resident memory of this process's children."""
    children = Path(f"/proc/self/task/{os.getpid()}/children").read_text().split()
    return sum(memory_mb(int(pid)) for pid in children)


# --- the cost of points and packets on one core ---


def sample_points(count: int) -> Points:
    """Return points as long as those of endpoints."""
    return [(f"ravenshelf.toy.endpoint.s-{number}.tries_per_s", number * 1.1) for number in range(count)]


def formatting(count: int) -> dict[str, Any]:
    """Encode points in each protocol."""
    points = sample_points(count)
    results = {}
    for protocol_name in PROTOCOLS:
        started_at = chunk_started_at = time.perf_counter()
        longest = 0.0
        for _ in encode(protocol_name, START_S, points):
            now = time.perf_counter()
            longest = max(longest, now - chunk_started_at)
            chunk_started_at = now
        elapsed = time.perf_counter() - started_at
        results[protocol_name] = {
            "figures_a_second": round(count / elapsed),
            "longest_slice_ms": round(longest * 1000, 3),
        }
    return results


def _protected(packet: bytes, level: str) -> bytes:
    if level == "sign":
        return sender.sign(packet, "u", "pw")
    if level == "encrypt":
        return sender.encrypt(packet, "u", "pw", bytes(16))
    return packet


def packets(count: int) -> dict[str, Any]:
    """Decode packets at each security level."""
    results = {}
    for level in security.SECURITY_LEVELS:
        hosts = [sender.SimulatedHost(f"h-{number}") for number in range(HOSTS)]
        sent_at = [START_S + 10 * (number // HOSTS) for number in range(count)]
        encoded = [
            _protected(hosts[number % HOSTS].packet(second), level) for number, second in enumerate(sent_at)
        ]
        built_in_types = types.parse(types.BUILT_IN_TYPES)
        host_loads = HostLoads(lambda host: (int(host[2:]),), built_in_types, Counter())
        started_at = time.perf_counter()
        for second, packet in zip(sent_at, encoded, strict=True):
            plain = security.open_packet(packet, lambda _: [b"pw"], level)
            host_loads.add(second * SECOND, protocol.decode_value_lists(plain.parts), False)
        elapsed = time.perf_counter() - started_at
        results[level] = {
            "packets_a_second": round(count / elapsed),
            "microseconds_each": round(elapsed / count * 1e6, 1),
        }
    return results


# --- how long the event loop is blocked, against the naive sender ---


class NaiveSender:
    """Formats a measurement at once and has an unlimited queue for each receiver."""

    def __init__(self, receivers: list[str]) -> None:
        self.queues: list[asyncio.Queue[bytes]] = [asyncio.Queue() for _ in receivers]
        self.queued_bytes = 0
        self.tasks = [
            asyncio.create_task(self._send(receiver, queue))
            for receiver, queue in zip(receivers, self.queues, strict=True)
        ]

    async def _send(self, receiver: str, queue: asyncio.Queue[bytes]) -> None:
        host, _, port = receiver.rpartition(":")
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                while True:
                    text = await queue.get()
                    self.queued_bytes -= len(text)
                    writer.write(text)
                    await writer.drain()
            except OSError:
                await asyncio.sleep(1)

    def take(self, points: Points, time_s: int) -> None:
        """Format a measurement and queue it."""
        text = "".join(f"{path} {value:.10g} {time_s}\n" for path, value in points).encode()
        for queue in self.queues:
            queue.put_nowait(text)
            self.queued_bytes += len(text)


async def longest_step_ms(take_measurement: Callable[[int], None], measurements: int) -> float:
    """Return the longest step of the event loop while measurements are taken."""
    longest = 0.0
    for number in range(measurements):
        take_measurement(number)
        until = time.monotonic() + MEASUREMENT_INTERVAL_S
        while time.monotonic() < until:
            started_at = time.perf_counter()
            await asyncio.sleep(0)
            longest = max(longest, time.perf_counter() - started_at)
            await asyncio.sleep(0.0005)
    return longest * 1000


async def blocked_by_naive_sender(points: Points, measurements: int, receiver: str) -> dict[str, float]:
    """Measure the baseline."""
    naive = NaiveSender([receiver])
    durations_ms = []

    def take(number: int) -> None:
        started_at = time.perf_counter()
        naive.take(points, START_S + number)
        durations_ms.append((time.perf_counter() - started_at) * 1000)

    longest_ms = await longest_step_ms(take, measurements)
    for task in naive.tasks:
        task.cancel()
    return {
        "longest_hold_ms": round(max(longest_ms, *durations_ms), 2),
        "waiting_mb": round(naive.queued_bytes / 1e6, 2),
    }


async def blocked_by_exporter(points: Points, measurements: int, receiver: str) -> dict[str, float]:
    """Measure the exporter of this program."""
    loop = asyncio.get_running_loop()
    clock = Clock()
    counters = Counters()

    def call_at(time_us: int, call: Callable[[], None]) -> None:
        loop.call_later(max(0, time_us - clock()) / SECOND, call)

    queue = JobQueue(max_jobs=256, turn_duration=2000, time_per_second=200_000, ageing_interval=5 * SECOND)
    background = BackgroundScheduler(
        queue, clock, lambda time_us: call_at(time_us, background.run_turn), lambda: False, counters
    )
    table = GraphiteTable(receivers=[receiver], buffer_points=3 * len(points))
    service = GraphiteService(
        table,
        random.Random(1),
        loop=loop,
        clock=clock,
        background=background,
        wake_at=lambda address, time_us: call_at(time_us, lambda: service.run_due(address)),
    )

    def export(number: int) -> Iterator[None]:
        yield
        service.export(START_S + number, 1, points)

    def take(number: int) -> None:
        background.offer("metrics", Priority.PRESENT, SECOND, export(number))

    longest_ms = await longest_step_ms(take, measurements)
    exporter_queue = service.exporters[receiver].queue
    service.close()
    return {
        "longest_hold_ms": round(max(longest_ms, counters["background_slice_most_us"] / 1000), 2),
        "waiting_points": exporter_queue.point_count,
        "bound": table.buffer_points,
        "dropped_points": exporter_queue.dropped_points,
    }


async def blocked(count: int, measurements: int) -> dict[str, Any]:
    """Compare both senders with a receiver that hangs."""
    receiver = await CarbonReceiver([StopReading()], buffer_bytes=2048).start()
    points = sample_points(count)
    naive = await blocked_by_naive_sender(points, measurements, receiver.address)
    ours = await blocked_by_exporter(points, measurements, receiver.address)
    await receiver.stop()
    ratio = round(ours["longest_hold_ms"] / naive["longest_hold_ms"], 3)
    return {"naive": naive, "ours": ours, "hold_ratio": ratio}


async def main(short: bool) -> None:
    """Run everything and print the closing line."""
    updates = await table_updates(36 if short else 600)
    figures = {
        "lines": updates,
        "formatting": formatting(20_000 if short else 200_000),
        "packets": packets(2_000 if short else 20_000),
        "held": await blocked(20_000, 8 if short else 30),
    }
    is_held = (
        updates["hanging"]["n"] > MIN_CHANGES
        and updates["p99_ratio"] <= MAX_P99_RATIO
        and updates["late_ms"] <= MAX_LATE_MS
        and updates["growth_mb"] <= MAX_GROWTH_MB
        and updates["hanging"]["unanswered"] == 0
    )
    close(
        "graphite",
        figures,
        f"p99 ratio <= {MAX_P99_RATIO}, worst line <= {MAX_LATE_MS} ms later, memory growth in the "
        f"second half <= {MAX_GROWTH_MB} MB, no line missing",
        is_held,
    )


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    asyncio.run(main(options.parse_args().short))
