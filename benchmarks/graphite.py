"""Latency of table updates while a Graphite receiver hangs, and the cost of points and packets.

Two servers of this program, each with its own registry and proxies, receive changes of the endpoint list
alternately. The receiver of one accepts the connection and never reads; the receiver of the other does not
exist. The latency is the time from the change at the registry to the line at each proxy. The baseline of the
exporter is a naive sender, which formats all points at once and has a task for each receiver that awaits
`drain`.
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
MEMORY_SAMPLE_CHANGES = 25  # number of changes between two samples of the memory
# Limit of the 99th percentile with the hanging receiver, relative to that with the absent one.
MAX_P99_RATIO = 1.05
MAX_LATE_MS = 20.0
MAX_GROWTH_MB = 2.0
MIN_CHANGES = 500
START_S = 1_700_000_000  # Unix time of the first measurement, in seconds
SECOND = 1_000_000  # one second in microseconds
HOSTS = 20
MEASUREMENT_INTERVAL_S = 0.1
Points = list[tuple[str, float]]


class ServerUnderTest:
    """Server with its own registry and proxies.

    `latencies_ms` has the time from each change at the registry to its line at a proxy. `awaited` has the
    time of each change that has not reached a proxy yet, by proxy number and endpoint.
    """

    def __init__(self) -> None:
        self.latencies_ms: list[float] = []
        self.address = ""
        self.awaited: dict[tuple[int, str], float] = {}
        self.proxies = [
            LoopbackProxy(lambda: self.address, number, "north", line_callback=self.record_latency)
            for number in range(PROXIES)
        ]

    async def start(self, stack: contextlib.AsyncExitStack, operator_file: str) -> None:
        """Start the server and wait until every proxy has a table."""
        entries = [registry_entry(f"s-{number}", "north") for number in range(ENDPOINTS)]
        self.discovery = await LoopbackRegistry(entries).start()
        limits = {"lines-per-s": 100_000, "most-waiting": 100_000}
        configuration = server_configuration("", ["north"], PROXIES, **limits)
        self.address = await stack.enter_async_context(
            server_process(self.discovery.address, ["--operator", operator_file], configuration, True)
        )
        self.tasks = [asyncio.create_task(proxy.run()) for proxy in self.proxies]
        while not all(proxy.active_weights() for proxy in self.proxies):
            await asyncio.sleep(0.05)

    def record_latency(self, proxy: LoopbackProxy, line: str) -> None:
        """Record the latency of each drained endpoint that a line removes.

        A line removes an endpoint by a withdrawal, by weight 0, or by a complete table without the endpoint.
        """
        now = time.monotonic()
        fields = dict(word.partition("=")[::2] for word in line.split()[1:])
        weights = dict(pair.split(":") for pair in fields.get("lines", "").split(",") if pair)
        removed_endpoints = set(fields.get("out", "").split(","))
        removed_endpoints |= {endpoint for endpoint, weight in weights.items() if weight == "0"}
        if "whole" in fields:
            awaited_by_proxy = {endpoint for number, endpoint in self.awaited if number == proxy.number}
            removed_endpoints |= awaited_by_proxy - set(weights)
        for endpoint in removed_endpoints:
            changed_at = self.awaited.pop((proxy.number, endpoint), None)
            if changed_at is not None:
                self.latencies_ms.append((now - changed_at) * 1000)

    async def drain(self, endpoint: str) -> None:
        """Drain an endpoint, and await a line at every proxy that has it in its table."""
        now = time.monotonic()
        self.awaited |= {
            (proxy.number, endpoint): now for proxy in self.proxies if endpoint in proxy.active_weights()
        }
        await self.discovery.change_endpoint(endpoint, "DRAINING")

    def result(self) -> dict[str, float]:
        """Return the quantiles of the latencies, and the number of lines that did not arrive."""
        return quantiles(self.latencies_ms) | {"unanswered": len(self.awaited)}


async def measure_table_updates(seconds: float) -> dict[str, Any]:
    """Change the lists of both servers alternately for `seconds`, and return the figures."""
    receiver = await CarbonReceiver([StopReading()], buffer_bytes=2048).start()
    servers = {"hanging": ServerUnderTest(), "absent": ServerUnderTest()}
    receivers = {"hanging": receiver.address, "absent": "127.0.0.1:1"}
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        for name, server in servers.items():
            operator_file = folder / f"{name}.toml"
            operator_file.write_text(
                f'[graphite]\nreceivers = ["{receivers[name]}"]\nevery_s = 1\nbuffer_points = 5000\n'
            )
            await server.start(stack, str(operator_file))
        memory_samples_mb = await change_alternately(list(servers.values()), seconds)
        for server in servers.values():
            for task in server.tasks:
                task.cancel()
        results = {name: server.result() for name, server in servers.items()}
    await receiver.stop()
    second_half = memory_samples_mb[len(memory_samples_mb) // 2 :]
    return {
        **results,
        "p99_ratio": round(results["hanging"]["p99"] / max(1e-9, results["absent"]["p99"]), 3),
        "late_ms": round(results["hanging"]["max"] - results["absent"]["max"], 2),
        "growth_mb": round(max(second_half) - second_half[0], 2) if second_half else 0.0,
        "seconds": seconds,
        "carbon_connections": receiver.connection_count,
    }


async def change_alternately(servers: list[ServerUnderTest], seconds: float) -> list[float]:
    """Drain and restore endpoints on all servers, and return samples of the servers' memory in MB."""
    random_source = random.Random(7)
    started_at = time.monotonic()
    memory_samples_mb: list[float] = []
    changes = 0
    while time.monotonic() - started_at < seconds:
        shuffled_servers = list(servers)
        random_source.shuffle(shuffled_servers)  # A fixed order would favour one server.
        endpoint = f"s-{changes % ENDPOINTS}"
        for server in shuffled_servers:
            await server.drain(endpoint)
            # The interval is random, so that changes do not coincide with timers of the servers.
            await asyncio.sleep(CHANGE_INTERVAL_S * random_source.uniform(0.5, 1.5))
        for server in shuffled_servers:
            await server.discovery.change_endpoint(endpoint, "SERVING")
        await asyncio.sleep(CHANGE_INTERVAL_S)
        changes += 1
        if changes % MEMORY_SAMPLE_CHANGES == 0:
            memory_samples_mb.append(children_memory_mb())
    return memory_samples_mb


def children_memory_mb() -> float:
    """Return the resident memory of this process's children in MB."""
    children = Path(f"/proc/self/task/{os.getpid()}/children").read_text().split()
    return sum(memory_mb(int(pid)) for pid in children)


# Cost of points and packets on one core


def sample_points(count: int) -> Points:
    """Return points whose paths are as long as those of endpoints."""
    return [(f"ravenshelf.toy.endpoint.s-{number}.tries_per_s", number * 1.1) for number in range(count)]


def measure_formatting(count: int) -> dict[str, Any]:
    """Encode points in each protocol, and return the rate and the longest slice of each."""
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


def _protect(packet: bytes, level: str) -> bytes:
    if level == "sign":
        return sender.sign(packet, "u", "pw")
    if level == "encrypt":
        return sender.encrypt(packet, "u", "pw", bytes(16))
    return packet


def measure_packets(count: int) -> dict[str, Any]:
    """Decode packets at each security level, and return the rate of each."""
    results = {}
    for level in security.SECURITY_LEVELS:
        hosts = [sender.SimulatedHost(f"h-{number}") for number in range(HOSTS)]
        sent_at = [START_S + 10 * (number // HOSTS) for number in range(count)]
        encoded = [
            _protect(hosts[number % HOSTS].packet(second), level) for number, second in enumerate(sent_at)
        ]
        built_in_types = types.parse(types.BUILT_IN_TYPES)
        host_loads = HostLoads(lambda host: (int(host[2:]),), built_in_types, Counter())
        started_at = time.perf_counter()
        for second, packet in zip(sent_at, encoded, strict=True):
            opened_packet = security.open_packet(packet, lambda _: [b"pw"], level)
            host_loads.add(second * SECOND, protocol.decode_value_lists(opened_packet.parts), False)
        elapsed = time.perf_counter() - started_at
        results[level] = {
            "packets_a_second": round(count / elapsed),
            "microseconds_each": round(elapsed / count * 1e6, 1),
        }
    return results


# Time for which the event loop is blocked, compared with the naive sender


class NaiveSender:
    """Sender that formats a measurement at once and has an unlimited queue for each receiver."""

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

    def enqueue(self, points: Points, time_s: int) -> None:
        """Format a measurement, and queue it for each receiver."""
        text = "".join(f"{path} {value:.10g} {time_s}\n" for path, value in points).encode()
        for queue in self.queues:
            queue.put_nowait(text)
            self.queued_bytes += len(text)


async def longest_step_ms(take_measurement: Callable[[int], None], measurements: int) -> float:
    """Take measurements, and return the longest step of the event loop meanwhile in milliseconds."""
    longest = 0.0
    for number in range(measurements):
        take_measurement(number)
        ends_at = time.monotonic() + MEASUREMENT_INTERVAL_S
        while time.monotonic() < ends_at:
            started_at = time.perf_counter()
            await asyncio.sleep(0)
            longest = max(longest, time.perf_counter() - started_at)
            await asyncio.sleep(0.0005)
    return longest * 1000


async def measure_naive_sender(points: Points, measurements: int, receiver: str) -> dict[str, float]:
    """Return how long the naive sender blocks the event loop, and the bytes that wait in its queues."""
    naive_sender = NaiveSender([receiver])
    durations_ms = []

    def take_measurement(number: int) -> None:
        started_at = time.perf_counter()
        naive_sender.enqueue(points, START_S + number)
        durations_ms.append((time.perf_counter() - started_at) * 1000)

    longest_ms = await longest_step_ms(take_measurement, measurements)
    for task in naive_sender.tasks:
        task.cancel()
    return {
        "longest_hold_ms": round(max(longest_ms, *durations_ms), 2),
        "waiting_mb": round(naive_sender.queued_bytes / 1e6, 2),
    }


async def measure_exporter(points: Points, measurements: int, receiver: str) -> dict[str, float]:
    """Return how long the exporter of this program blocks the event loop, and its queued points."""
    loop = asyncio.get_running_loop()
    clock = Clock()
    counters = Counters()

    def call_at(time_us: int, callback: Callable[[], None]) -> None:
        loop.call_later(max(0, time_us - clock()) / SECOND, callback)

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

    def take_measurement(number: int) -> None:
        background.offer("metrics", Priority.PRESENT, SECOND, export(number))

    longest_ms = await longest_step_ms(take_measurement, measurements)
    exporter_queue = service.exporters[receiver].queue
    service.close()
    return {
        "longest_hold_ms": round(max(longest_ms, counters["background_slice_most_us"] / 1000), 2),
        "waiting_points": exporter_queue.point_count,
        "bound": table.buffer_points,
        "dropped_points": exporter_queue.dropped_points,
    }


async def compare_blocking(count: int, measurements: int) -> dict[str, Any]:
    """Compare both senders while the receiver hangs."""
    receiver = await CarbonReceiver([StopReading()], buffer_bytes=2048).start()
    points = sample_points(count)
    naive_figures = await measure_naive_sender(points, measurements, receiver.address)
    exporter_figures = await measure_exporter(points, measurements, receiver.address)
    await receiver.stop()
    ratio = round(exporter_figures["longest_hold_ms"] / naive_figures["longest_hold_ms"], 3)
    return {"naive": naive_figures, "ours": exporter_figures, "hold_ratio": ratio}


async def main(short: bool) -> None:
    """Run all measurements and print the closing line."""
    updates = await measure_table_updates(36 if short else 600)
    figures = {
        "lines": updates,
        "formatting": measure_formatting(20_000 if short else 200_000),
        "packets": measure_packets(2_000 if short else 20_000),
        "held": await compare_blocking(20_000, 8 if short else 30),
    }
    is_met = (
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
        is_met,
    )


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    asyncio.run(main(options.parse_args().short))
