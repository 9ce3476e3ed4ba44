"""Cost of each role of the distribution: subscriber, relay, controller, collector of reports, store."""

import random
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from benchmarks.scale.fits import Measurement, measure
from benchmarks.scale.isolated import resident_bytes
from benchmarks.scale.servers import settings
from ravenshelf.distribution.decisions.aggregation import Aggregator
from ravenshelf.distribution.decisions.client import SubscriptionClient
from ravenshelf.distribution.decisions.distributor import Distributor, DistributorLimits
from ravenshelf.distribution.decisions.planner import (
    ENDPOINT_PREFIX,
    LINE_PREFIX,
    ServicePlanner,
    service_topic,
    zone_topic,
)
from ravenshelf.distribution.decisions.publication import Publication
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import (
    NEVER,
    Delta,
    EndpointEntry,
    EndpointLoad,
    Entry,
    GroupDemand,
    Heartbeat,
    Snapshot,
    Subscribe,
    TableLine,
    Version,
    ZoneLoadReport,
    decode,
    encode,
)
from ravenshelf.settings import decode_settings
from ravenshelf.time_units import SECOND

START = 1000 * SECOND
SERVICE_ENDPOINTS = 30  # 36,000 endpoints of 1,200 services
REPETITIONS = 2000
TABLE_LINES = 10


def listed_entries(service: str) -> dict[str, Entry]:
    """Return the entries of a service's endpoint list."""
    return {
        f"{ENDPOINT_PREFIX}{service}-{n:03d}": EndpointEntry(n % 64, True, 4.0, 1_700_000_000_000_000 + n)
        for n in range(SERVICE_ENDPOINTS)
    }


def table_entries(service: str) -> dict[str, Entry]:
    """Return the entries of a zone's table: its own endpoints, and some of the zones that it spills to."""
    return {f"{LINE_PREFIX}{service}-{n:03d}": TableLine(100.0 + n, 1.0) for n in range(TABLE_LINES)}


def snapshots(number: int) -> list[bytes]:
    """Return the encoded snapshots of both topics that a subscriber of one zone has for a service."""
    service, version = f"service-{number}", Version(1, 1)
    return [
        encode(Snapshot(service_topic(service), version, 0, 1, listed_entries(service))),
        encode(Snapshot(zone_topic(service, number % 64), version, 0, 1, table_entries(service))),
    ]


def _make_client(parents: int = 1) -> SubscriptionClient:
    client = SubscriptionClient([f"relay-{n}" for n in range(parents)], {}, random.Random(1), START)
    client.tick(START)
    client.connection_opened(START)
    return client


def make_subscriber(services: int) -> SubscriptionClient:
    """Return the subscription client of a server that has received the snapshots of its services."""
    client = _make_client()
    for number in range(services):
        for payload in snapshots(number):
            message = decode(payload)
            client.subscribe(message.topic)
            client.receive(START, message)
    return client


def delta_cpu(changes: int) -> float:
    """Return the processor seconds for a subscriber to decode and apply a delta of `changes` lines."""
    client = make_subscriber(12)
    topic = zone_topic("service-3", 3)
    payloads = [
        encode(
            Delta(
                topic,
                Version(1, number + 1),
                Version(1, number + 2),
                {
                    f"{LINE_PREFIX}service-3-{line:03d}": TableLine(float(number + line))
                    for line in range(changes)
                },
            )
        )
        for number in range(REPETITIONS)
    ]
    started_at = time.process_time()
    for payload in payloads:
        client.receive(START, decode(payload))
    return (time.process_time() - started_at) / REPETITIONS


def heartbeat_cpu(services: int) -> float:
    """Return the processor seconds for a subscriber to decode and apply a heartbeat."""
    client = make_subscriber(services)
    payload = encode(Heartbeat(client.held_versions.value))
    started_at = time.process_time()
    for _ in range(REPETITIONS):
        client.receive(START, decode(payload))
    return (time.process_time() - started_at) / REPETITIONS


def relay_cpu(children: int) -> float:
    """Return the processor seconds for a relay to apply one delta and to encode it for each child."""
    topic = Topic("service-1@1")
    topic.replace(Version(1, 1), table_entries("service-1"))
    distributor = Distributor({topic.name: topic}, DistributorLimits(children))
    names = [f"pilot-{n}" for n in range(children)]
    for name in names:
        distributor.add_subscriber(START, name)
        distributor.receive(name, Subscribe(topic.name, topic.version))
        distributor.pull(START, name, 65_536)
    repetitions = 200
    payloads = [
        encode(
            Delta(
                topic.name,
                Version(1, number + 1),
                Version(1, number + 2),
                {
                    f"{LINE_PREFIX}service-1-{line:03d}": TableLine(float(number + line))
                    for line in range(TABLE_LINES)
                },
            )
        )
        for number in range(repetitions)
    ]
    started_at = time.process_time()
    for payload in payloads:
        topic.receive(decode(payload))
        for name in distributor.topic_changed(topic.name):
            distributor.pull(START, name, 65_536)
    return (time.process_time() - started_at) / repetitions


def make_serving_relay(services: int) -> Distributor:
    """Return the distributor of a relay that serves `services` to 64 subscribers of 12 services each."""
    topics: dict[str, Topic] = {}
    topics_by_service: list[list[str]] = []
    for number in range(services):
        messages = [decode(payload) for payload in snapshots(number)]
        for message in messages:
            topic = topics[message.topic] = Topic(message.topic)
            topic.receive(message)
        topics_by_service.append([message.topic for message in messages])
    distributor = Distributor(topics)
    for child in range(64):
        distributor.add_subscriber(START, f"pilot-{child}")
        for call in range(12):
            for topic in topics_by_service[(child * 12 + call) % services]:
                distributor.receive(f"pilot-{child}", Subscribe(topic, NEVER))
    return distributor


def make_planner(zones: int, endpoints: int = SERVICE_ENDPOINTS, seed: int = 1) -> ServicePlanner:
    """Return the planner of a service that has subscribers in every zone."""
    service_planner = ServicePlanner("service-1", decode_settings(settings(zones, zones)), seed)
    service_planner.configure(
        {f"service-1-{n:03d}": EndpointEntry(n % zones, True, 4.0) for n in range(endpoints)}
    )
    for zone in range(zones):
        service_planner.add_zone(zone, 100.0)
    return service_planner


def run_planner(
    service_planner: ServicePlanner,
    zones: int,
    seconds: int,
    random_source: random.Random,
    first_second: int = 0,
) -> None:
    """Run a planner for some seconds, with a report of each zone and four cycles in each second.

    Args:
        service_planner: The planner.
        zones: Number of zones that report.
        seconds: How many seconds to run.
        random_source: Source of the loads and latencies.
        first_second: Number of the first second.
    """
    names = list(service_planner.endpoints)
    for second in range(first_second, first_second + seconds):
        for zone in range(zones):
            zone_endpoints = [
                name for name in names if service_planner.endpoints[name].zone == zone
            ] or names[:2]
            loads = {
                name: EndpointLoad(
                    100, random_source.randint(0, 2), 100 * random_source.randint(150_000, 250_000)
                )
                for name in zone_endpoints
            }
            service_planner.add_report(
                ZoneLoadReport(
                    "service-1",
                    zone,
                    second,
                    "relay",
                    second + 1,
                    loads,
                    {0: GroupDemand(random_source.randint(90, 110) * len(zone_endpoints))},
                ),
                SECOND,
            )
        for quarter in range(4):
            service_planner.run_cycle(START + second * SECOND + quarter * SECOND // 4)


def planner_cpu(zones: int, endpoints: int, seconds: int = 10) -> float:
    """Return the processor seconds per second that a service and its topics cost their owner."""
    service_planner, random_source = make_planner(zones, endpoints), random.Random(2)
    publications = {zone: Publication(Topic(zone_topic("service-1", zone)), 1) for zone in range(zones)}
    run_planner(service_planner, zones, 4, random_source)
    started_at = time.process_time()
    for second in range(4, 4 + seconds):
        run_planner(service_planner, zones, 1, random_source, second)
        for zone, publication in publications.items():
            publication.replace_entries(START + second * SECOND, service_planner.zone_entries(zone))
            publication.flush()
    return (time.process_time() - started_at) / seconds


def table_bytes(zones: int, seconds: int = 40) -> float:
    """Return the bytes per second of one table topic under ordinary traffic.

    These are the bytes of the changes that the planner makes without a change of the service.
    """
    service_planner, random_source = make_planner(zones), random.Random(3)
    publication = Publication(Topic(zone_topic("service-1", 0)), 1)
    run_planner(service_planner, zones, 10, random_source)
    publication.replace_entries(START, service_planner.zone_entries(0))
    publication.flush()
    sent_bytes = 0
    for second in range(10, 10 + seconds):
        run_planner(service_planner, zones, 1, random_source, second)
        publication.replace_entries(START + second * SECOND, service_planner.zone_entries(0))
        if publication.due_at is not None:
            sent_bytes += len(encode(publication.flush()))
    return sent_bytes / seconds


def report_bytes(endpoints: int) -> float:
    """Return the bytes of a server's report for one service."""
    return float(len(encode(_make_report("pilot-12345", 100, endpoints))))


def _make_report(reporter: str, sequence: int, endpoints: int) -> ZoneLoadReport:
    loads = {f"service-1-{n:03d}": EndpointLoad(17, 1, 3_200_000) for n in range(endpoints)}
    return ZoneLoadReport("service-1", 7, 1_700_000, reporter, sequence, loads, {0: GroupDemand(170, 2)})


def aggregation_cpu(reporters: int) -> float:
    """Return the processor seconds for a relay to merge a report of each reporter and to encode the sum."""
    payloads = [encode(_make_report(f"pilot-{n}", 1, 10)) for n in range(reporters)]
    aggregator = Aggregator("relay")
    started_at = time.process_time()
    for payload in payloads:
        aggregator.add(decode(payload))
    for merged_report in aggregator.flush(1):
        encode(merged_report)
    return time.process_time() - started_at


def record_seconds(group: int) -> float:
    """Return the seconds until a group of records is on disk."""
    from ravenshelf.store.journal import Journal

    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(Path(folder) / "state", {"cluster": "b", "member": "b"})
        started_at = time.perf_counter()
        repetitions = 40
        for number in range(repetitions):
            journal.append([(number * group + record, b"x" * 400) for record in range(group)])
        seconds = (time.perf_counter() - started_at) / repetitions
        journal.close()
    return seconds


def measurements(short: bool) -> Iterator[Measurement]:
    """Yield all measurements of these roles; with `short` in one run, some of them of smaller sizes."""
    runs, seconds = (1, 4) if short else (3, 10)
    yield measure(
        "subscriber memory",
        "pilot",
        "bytes",
        "services called",
        (96, 384, 1536, 3072),
        lambda n: resident_bytes(make_subscriber, n),
        f"{SERVICE_ENDPOINTS} endpoints, {TABLE_LINES} table lines",
        runs,
    )
    yield measure(
        "subscriber CPU of a delta",
        "pilot",
        "seconds",
        "lines changed",
        (1, 3, 10, 30),
        delta_cpu,
        "12 services",
        runs,
    )
    yield measure(
        "subscriber CPU of a heartbeat",
        "pilot",
        "seconds",
        "services called",
        (12, 48, 192, 768),
        heartbeat_cpu,
        "",
        runs,
    )
    yield measure(
        "relay CPU of a delta",
        "relay",
        "seconds",
        "subscribers of the topic",
        (8, 16, 32, 64, 128),
        relay_cpu,
        "ten lines changed, sockets not counted",
        runs,
    )
    yield measure(
        "relay memory",
        "relay",
        "bytes",
        "services",
        (96, 192, 384, 768),
        lambda n: resident_bytes(make_serving_relay, n),
        "64 subscribers of 12 services",
        runs,
    )
    yield measure(
        "planner CPU by endpoints",
        "controller",
        "core",
        "endpoints of the service",
        (15, 30, 60, 120),
        lambda n: planner_cpu(8, n, seconds),
        "8 zones with subscribers",
        runs,
    )
    yield measure(
        "planner CPU by zones",
        "controller",
        "core",
        "zones with subscribers",
        (4, 8, 16, 32) if short else (4, 8, 16, 32, 64),
        lambda n: planner_cpu(n, 30, seconds),
        "30 endpoints",
        runs,
    )
    yield measure(
        "planner memory",
        "controller",
        "bytes",
        "services",
        (4, 8, 16, 32),
        lambda n: resident_bytes(make_planners, n),
        "30 endpoints in 16 zones, ten seconds of reports",
        runs,
    )
    yield measure(
        "table bytes of a topic",
        "pilot",
        "bytes a second",
        "zones with subscribers",
        (2, 4, 8, 16),
        lambda n: table_bytes(n, 10 if short else 40),
        "30 endpoints, demand and latency vary by a tenth and a quarter",
        runs,
    )
    yield measure(
        "report bytes", "collector", "bytes", "endpoints met", (3, 10, 30, 60), report_bytes, "", runs
    )
    yield measure(
        "aggregation CPU",
        "collector",
        "seconds",
        "reports",
        (64, 128, 256, 512),
        aggregation_cpu,
        "ten endpoints in each, one service and zone",
        runs,
    )
    yield measure(
        "record time",
        "store",
        "seconds",
        "records in a group",
        (1, 8, 64, 256),
        record_seconds,
        "400 bytes each, one sync a group, this machine's disk",
        runs,
    )


def make_planners(services: int) -> list[ServicePlanner]:
    """Return the planners of `services`, each of which has run for ten seconds."""
    service_planners = [make_planner(16, seed=seed) for seed in range(services)]
    for service_planner in service_planners:
        run_planner(service_planner, 16, 10, random.Random(4))
    return service_planners
