"""Cost of a server without distribution, which has all endpoints and reports and solves for all zones."""

import json
import random
import time
from collections.abc import Iterator

from benchmarks.scale.fits import Measurement, measure
from benchmarks.scale.isolated import resident_bytes
from ravenshelf.net.endpoint_codec import EndpointListDecoder
from ravenshelf.policy.events import (
    BatchAcknowledged,
    DemandReport,
    EndpointState,
    ListedEndpoint,
    ListKind,
    LoadReport,
    ProxyJoined,
)
from ravenshelf.policy.spill_solver import solve_spill
from ravenshelf.process.control_cycle import ControlCycle
from ravenshelf.settings import Settings, decode_settings
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry
from ravenshelf.state.proxy_tables import ProxyTables
from ravenshelf.time_units import SECOND

START = 1000 * SECOND
CYCLES_PER_SECOND = 4
REPORTED_SHARE = 0.5  # share of the endpoints that have a load report each second


def settings(zones: int, proxies: int, servers: int = 1) -> dict:
    """Return the settings of a deployment, as they stand in its configuration file."""
    return {
        "azs": [f"z{n}" for n in range(zones)],
        "balancers": servers,
        "me": 0,
        "kinds": ["m1"],
        "discovery": "pushed",
        "weights": "rough",
        "tick-ms": 4.0,
        "classes": [
            {"name": "read", "importance": 1, "objective-ms": 800, "deadline-ms": 3000, "idempotency": "pure"}
        ],
        "family-info": {
            "lines-per-s": 1_000_000,
            "most-waiting": 2_000_000,
            "envelope": 3,
            "proxy-count": proxies,
            "by-zone": False,
            "level-kind": "fraction",
            "late-most-ms": 800,
            "messages-most": 0,
            "counted-over-ms": 10_000.0,
        },
        "telemetry": {"how": "answers", "columns": ["active"]},
        "rules": {"cold-share": 0.2, "fall-multiple": 4, "warm-after-ms": 16_000},
    }


class SimulatedServer:
    """Decisions, registry and tables of one server, which runs control cycles on a simulated clock.

    `written` has the messages that were sent since the last second, each with its proxy.
    """

    def __init__(self, endpoints: int, proxies: int, zones: int, deployment: Settings | None = None):
        """Start a server whose proxies have joined.

        Args:
            endpoints: Endpoints in the first list.
            proxies: Proxies that join.
            zones: Zones, over which endpoints and proxies are spread evenly.
            deployment: Settings; None for those of `settings` for this size.
        """
        self.now = START
        self.zones = zones
        self.proxies = proxies
        self.settings = deployment or decode_settings(settings(zones, proxies))
        self.counters = Counters()
        self.tables = ProxyTables(1, True)
        self.registry = EndpointRegistry(lambda: self.now, self.tables.has_endpoint)
        self.cycle = ControlCycle(self.settings, 7, self.registry, self.tables, self.counters)
        self.random_source = random.Random(5)
        entries = [
            ListedEndpoint(
                self.registry.index_of(f"endpoint-{n:06d}.zone-{n % zones}"),
                n % zones,
                0,
                0,
                EndpointState.READY,
                4.0,
                0,
            )
            for n in range(endpoints)
        ]
        self.endpoints = [entry[0] for entry in entries]
        addresses = {
            index: f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:8080" for index in self.endpoints
        }
        self.registry.update(ListKind.REPLACE, 1, entries, addresses)
        self.cycle.begin()
        for number in range(proxies):
            self.cycle.deliver(ProxyJoined(number, number % zones, 40.0, True))
        self.written: list[tuple[int, bytes]] = []

    def run_cycle(self) -> None:
        """Advance the clock by one control cycle, run it, and acknowledge the batches that it sent."""
        self.now += SECOND // CYCLES_PER_SECOND
        acknowledged: list[tuple[int, int]] = []
        self.cycle.run(
            self.now, lambda proxy, message, marker: self._write(proxy, message, marker, acknowledged)
        )
        for proxy, marker in acknowledged:
            self.cycle.deliver(BatchAcknowledged(proxy, marker, 1000))

    def _write(
        self, proxy: int, message: bytes, marker: int | None, acknowledged: list[tuple[int, int]]
    ) -> None:
        self.written.append((proxy, message))
        if marker is not None:
            acknowledged.append((proxy, marker))

    def receive_reports(self) -> None:
        """Deliver the reports of one second: of REPORTED_SHARE of the endpoints, and of every proxy."""
        for index in self.random_source.sample(self.endpoints, round(REPORTED_SHARE * len(self.endpoints))):
            self.cycle.deliver(
                LoadReport(
                    index % self.zones,
                    index,
                    40,
                    0,
                    self.random_source.randint(150_000, 250_000),
                    SECOND,
                    (self.random_source.randint(1, 5),),
                )
            )
        for number in range(self.proxies):
            self.cycle.deliver(DemandReport(number, 0, self.random_source.randint(30, 50), 0, SECOND))

    def run(self, seconds: int) -> "SimulatedServer":
        """Run for `seconds`, with the reports of each second, and return this object."""
        for _ in range(seconds):
            self.receive_reports()
            for _ in range(CYCLES_PER_SECOND):
                self.run_cycle()
            self.written.clear()
        return self

    def change_list(self, count: int) -> None:
        """Deliver an update of the list in which `count` random endpoints have restarted."""
        entries = [
            ListedEndpoint(index, index % self.zones, 0, 0, EndpointState.READY, 4.0, self.now)
            for index in self.random_source.sample(self.endpoints, count)
        ]
        self.cycle.deliver(self.registry.update(ListKind.UPDATE, self.registry.version + 1, entries, {}))


def cpu_per_second(endpoints: int, proxies: int, zones: int, seconds: int = 10) -> float:
    """Return the processor seconds per second of a server that has run for four seconds."""
    server = SimulatedServer(endpoints, proxies, zones).run(4)
    started_at = time.process_time()
    server.run(seconds)
    return (time.process_time() - started_at) / seconds


def cpu_of_list_changes(changes: int) -> float:
    """Return the processor seconds per second while `changes` endpoints restart each second."""
    server = SimulatedServer(400, 100, 4).run(4)
    started_at = time.process_time()
    seconds = 5
    for _ in range(seconds):
        server.change_list(changes)
        server.run(1)
    return (time.process_time() - started_at) / seconds


def _has_no_endpoint(_index: int) -> bool:
    return False


def _listed_endpoints(endpoints: int) -> list[dict]:
    return [
        {
            "uid": f"endpoint-{n:06d}.zone-{n % 64}",
            "endpoint": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080",
            "az": f"z{n % 64}",
            "model": "m1",
            "pod_group": 0,
            "state": "SERVING",
            "capacity_hint": 4.0,
            "boot_ms": 0,
        }
        for n in range(endpoints)
    ]


def list_bytes(endpoints: int) -> float:
    """Return the bytes of a complete endpoint list."""
    return float(len(json.dumps({"rev": 1, "all": True, "targets": _listed_endpoints(endpoints)})))


def list_cpu(endpoints: int) -> float:
    """Return the processor seconds to decode a complete list and to update the registry with it."""
    body = json.dumps({"rev": 1, "all": True, "targets": _listed_endpoints(endpoints)}).encode()
    registry = EndpointRegistry(lambda: START, _has_no_endpoint)
    decoder = EndpointListDecoder(
        decode_settings(settings(64, 1)), registry.index_of, registry.index_by_name.get
    )
    started_at = time.process_time()
    document = decoder.decode_list(body)
    entries, addresses, _ = decoder.decode_entries(document["targets"])
    registry.update(ListKind.REPLACE, document["rev"], entries, addresses)
    return time.process_time() - started_at


def spill_cpu(zones: int, feasible: bool) -> float:
    """Return the processor seconds of one search for spill shares.

    Args:
        zones: Number of zones.
        feasible: Whether only half of the zones lack capacity; if False, all of them do.
    """
    random_source = random.Random(zones)
    demand = [random_source.uniform(80, 120) * (1.0 if feasible and n % 2 else 1.4) for n in range(zones)]
    capacity = [100.0] * zones
    curve = [(0.6, 0.0), (0.9, 0.01), (1.1, 0.08), (1.5, 0.5)]
    load_factors = [[1.0 if i == j else 1.1 for j in range(zones)] for i in range(zones)]
    demand_factor = 0.7 if feasible else 1.3
    started_at = time.process_time()
    solve_spill(
        [zone_demand * demand_factor for zone_demand in demand], capacity, [curve] * zones, load_factors
    )
    return time.process_time() - started_at


def _run_server_of_size(endpoints: int) -> SimulatedServer:
    return SimulatedServer(endpoints, 64, 64).run(1)


def _run_server_of_proxies(proxies: int) -> SimulatedServer:
    return SimulatedServer(200, proxies, 4).run(3)


def measurements(short: bool) -> Iterator[Measurement]:
    """Yield all measurements of this role; with `short` of smaller sizes and in one run."""
    runs = 1 if short else 3
    sizes = (250, 500, 1000, 2000) if short else (1000, 2000, 4000, 8000)
    yield measure(
        "pilot memory by endpoints",
        "pilot, lists all",
        "bytes",
        "endpoints listed",
        sizes,
        lambda n: resident_bytes(_run_server_of_size, n),
        "64 proxies, 64 zones, one second of reports",
        runs,
    )
    yield measure(
        "pilot memory by proxies",
        "pilot, lists all",
        "bytes",
        "proxies",
        (100, 200, 400, 800),
        lambda n: resident_bytes(_run_server_of_proxies, n),
        "200 endpoints, 4 zones",
        runs,
    )
    cpu_sizes = (100, 200, 400, 800) if short else (250, 500, 1000, 2000)
    seconds = 4 if short else 10
    yield measure(
        "pilot CPU by endpoints",
        "pilot, lists all",
        "core",
        "endpoints listed",
        cpu_sizes,
        lambda n: cpu_per_second(n, 64, 4, seconds),
        "64 proxies, 4 zones, load reports of half of them each second",
        runs,
    )
    yield measure(
        "pilot CPU by proxies",
        "pilot, lists all",
        "core",
        "proxies",
        (50, 100, 200, 400),
        lambda n: cpu_per_second(200, n, 4, seconds),
        "200 endpoints, 4 zones",
        runs,
    )
    yield measure(
        "pilot CPU by zones",
        "pilot, lists all",
        "core",
        "zones",
        (4, 8, 16, 32) if short else (4, 8, 16, 32, 64),
        lambda n: cpu_per_second(512, 64, n, seconds),
        "512 endpoints, 64 proxies",
        runs,
    )
    yield measure(
        "pilot CPU by list changes",
        "pilot, lists all",
        "core",
        "changes a second",
        (1, 2, 4, 8),
        cpu_of_list_changes,
        "400 endpoints, 100 proxies, 4 zones",
        runs,
    )
    yield measure(
        "spill search, feasible",
        "pilot, lists all",
        "seconds",
        "zones",
        (4, 8, 16, 32, 64),
        lambda n: spill_cpu(n, True),
        "half of the zones over the knee",
        runs,
    )
    yield measure(
        "spill search, all short",
        "pilot, lists all",
        "seconds",
        "zones",
        (4, 8, 16, 32, 64),
        lambda n: spill_cpu(n, False),
        "every zone lacks capacity",
        runs,
    )
    yield measure(
        "list bytes",
        "discovery",
        "bytes",
        "endpoints listed",
        (1000, 4000, 9000, 36_000),
        list_bytes,
        "JSON as discovery writes it",
        runs,
    )
    yield measure(
        "list CPU",
        "pilot, lists all",
        "seconds",
        "endpoints listed",
        (250, 500, 1000, 2000) if short else (1000, 4000, 9000, 36_000),
        list_cpu,
        "one whole list",
        runs,
    )
