"""The roles of the distribution, one at a time: subscriber, relay, controller, collector of sums, store."""

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
from ravenshelf.settings import SECOND, decode_settings

START = 1000 * SECOND
SERVICE_ENDPOINTS = 30  # 36,000 endpoints over 1,200 services
REPEATS = 2000
TABLE_LINES = 10


def listed_entries(service: str) -> dict[str, Entry]:
    """A service's list."""
    return {
        f"{ENDPOINT_PREFIX}{service}-{n:03d}": EndpointEntry(n % 64, True, 4.0, 1_700_000_000_000_000 + n)
        for n in range(SERVICE_ENDPOINTS)
    }


def table_entries(service: str) -> dict[str, Entry]:
    """The table of a zone: its own endpoints, and some of others that it spills to."""
    return {f"{LINE_PREFIX}{service}-{n:03d}": TableLine(100.0 + n, 1.0) for n in range(TABLE_LINES)}


def snapshots(number: int) -> list[bytes]:
    """Both topics of a service for one zone, as a subscriber is sent them."""
    service, version = f"service-{number}", Version(1, 1)
    return [
        encode(Snapshot(service_topic(service), version, 0, 1, listed_entries(service))),
        encode(Snapshot(zone_topic(service, number % 64), version, 0, 1, table_entries(service))),
    ]


def _client(parents: int = 1) -> SubscriptionClient:
    client = SubscriptionClient([f"relay-{n}" for n in range(parents)], {}, random.Random(1), START)
    client.tick(START)
    client.connection_opened(START)
    return client


def subscriber(services: int) -> SubscriptionClient:
    """A server's side of the distribution, brought up from bytes."""
    client = _client()
    for number in range(services):
        for payload in snapshots(number):
            message = decode(payload)
            client.subscribe(message.topic)
            client.receive(START, message)
    return client


def delta_cpu(changes: int) -> float:
    """Seconds for a subscriber to decode and apply a delta of so many changed lines."""
    client = subscriber(12)
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
        for number in range(REPEATS)
    ]
    began = time.process_time()
    for payload in payloads:
        client.receive(START, decode(payload))
    return (time.process_time() - began) / REPEATS


def heartbeat_cpu(services: int) -> float:
    """Seconds for a subscriber to read a heartbeat."""
    client = subscriber(services)
    payload = encode(Heartbeat(client.held_versions.value))
    began = time.process_time()
    for _ in range(REPEATS):
        client.receive(START, decode(payload))
    return (time.process_time() - began) / REPEATS


def relay_cpu(children: int) -> float:
    """Seconds for a relay to take one delta and to make what each of its children is sent."""
    topic = Topic("service-1@1")
    topic.replace(Version(1, 1), table_entries("service-1"))
    distributor = Distributor({topic.name: topic}, DistributorLimits(children))
    names = [f"pilot-{n}" for n in range(children)]
    for name in names:
        distributor.add_subscriber(START, name)
        distributor.receive(name, Subscribe(topic.name, topic.version))
        distributor.pull(START, name, 65_536)
    rounds = 200
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
        for number in range(rounds)
    ]
    began = time.process_time()
    for payload in payloads:
        topic.receive(decode(payload))
        for name in distributor.topic_changed(topic.name):
            distributor.pull(START, name, 65_536)
    return (time.process_time() - began) / rounds


def relay_state(services: int) -> Distributor:
    """A relay that serves so many services to 64 subscribers, 12 services each."""
    topics: dict[str, Topic] = {}
    by_service: list[list[str]] = []
    for number in range(services):
        messages = [decode(payload) for payload in snapshots(number)]
        for message in messages:
            topic = topics[message.topic] = Topic(message.topic)
            topic.receive(message)
        by_service.append([message.topic for message in messages])
    distributor = Distributor(topics)
    for child in range(64):
        distributor.add_subscriber(START, f"pilot-{child}")
        for called in range(12):
            for topic in by_service[(child * 12 + called) % services]:
                distributor.receive(f"pilot-{child}", Subscribe(topic, NEVER))
    return distributor


def planner(zones: int, endpoints: int = SERVICE_ENDPOINTS, seed: int = 1) -> ServicePlanner:
    """A service's planner with subscribers in every zone."""
    service_planner = ServicePlanner("service-1", decode_settings(settings(zones, zones)), seed)
    service_planner.configure(
        {f"service-1-{n:03d}": EndpointEntry(n % zones, True, 4.0) for n in range(endpoints)}
    )
    for zone in range(zones):
        service_planner.add_zone(zone, 100.0)
    return service_planner


def play(
    service_planner: ServicePlanner, zones: int, seconds: int, random_source: random.Random, begin: int = 0
) -> None:
    """So many seconds of sums and rounds."""
    names = list(service_planner.endpoints)
    for second in range(begin, begin + seconds):
        for zone in range(zones):
            local = [name for name in names if service_planner.endpoints[name].zone == zone] or names[:2]
            sums = {
                name: EndpointLoad(
                    100, random_source.randint(0, 2), 100 * random_source.randint(150_000, 250_000)
                )
                for name in local
            }
            service_planner.add_report(
                ZoneLoadReport(
                    "service-1",
                    zone,
                    second,
                    "relay",
                    second + 1,
                    sums,
                    {0: GroupDemand(random_source.randint(90, 110) * len(local))},
                ),
                SECOND,
            )
        for quarter in range(4):
            service_planner.run_cycle(START + second * SECOND + quarter * SECOND // 4)


def planner_cpu(zones: int, endpoints: int, seconds: int = 10) -> float:
    """Seconds of a core a second that one service costs its owner, its topics included."""
    service_planner, random_source = planner(zones, endpoints), random.Random(2)
    publications = {zone: Publication(Topic(zone_topic("service-1", zone)), 1) for zone in range(zones)}
    play(service_planner, zones, 4, random_source)
    began = time.process_time()
    for second in range(4, 4 + seconds):
        play(service_planner, zones, 1, random_source, second)
        for zone, publication in publications.items():
            publication.replace_entries(START + second * SECOND, service_planner.zone_entries(zone))
            publication.flush()
    return (time.process_time() - began) / seconds


def table_bytes(zones: int, seconds: int = 40) -> float:
    """Bytes a second of one topic in ordinary traffic.

    It is what the planner's own changes of a table cost a subscriber.
    """
    service_planner, random_source = planner(zones), random.Random(3)
    publication = Publication(Topic(zone_topic("service-1", 0)), 1)
    play(service_planner, zones, 10, random_source)
    publication.replace_entries(START, service_planner.zone_entries(0))
    publication.flush()
    sent = 0
    for second in range(10, 10 + seconds):
        play(service_planner, zones, 1, random_source, second)
        publication.replace_entries(START + second * SECOND, service_planner.zone_entries(0))
        if publication.due_at is not None:
            sent += len(encode(publication.flush()))
    return sent / seconds


def report_bytes(endpoints: int) -> float:
    """Bytes of one service's report from a server."""
    return float(len(encode(_report("pilot-12345", 100, endpoints))))


def _report(reporter: str, sequence: int, endpoints: int) -> ZoneLoadReport:
    sums = {f"service-1-{n:03d}": EndpointLoad(17, 1, 3_200_000) for n in range(endpoints)}
    return ZoneLoadReport("service-1", 7, 1_700_000, reporter, sequence, sums, {0: GroupDemand(170, 2)})


def aggregation_cpu(reporters: int) -> float:
    """Seconds for one hop to take a report each from so many servers and to pass the sum on."""
    payloads = [encode(_report(f"pilot-{n}", 1, 10)) for n in range(reporters)]
    hop = Aggregator("relay")
    began = time.process_time()
    for payload in payloads:
        hop.add(decode(payload))
    for summed in hop.flush(1):
        encode(summed)
    return time.process_time() - began


def record_seconds(group: int) -> float:
    """Seconds for a group of records to be on disk."""
    from ravenshelf.store.journal import Journal

    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(Path(folder) / "state", {"cluster": "b", "member": "b"})
        began = time.perf_counter()
        rounds = 40
        for number in range(rounds):
            journal.append([(number * group + record, b"x" * 400) for record in range(group)])
        seconds = (time.perf_counter() - began) / rounds
        journal.close()
    return seconds


def measurements(short: bool) -> Iterator[Measurement]:
    """All of these roles."""
    runs, seconds = (1, 4) if short else (3, 10)
    yield measure(
        "subscriber memory",
        "pilot",
        "bytes",
        "services called",
        (96, 384, 1536, 3072),
        lambda n: resident_bytes(subscriber, n),
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
        lambda n: resident_bytes(relay_state, n),
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
        lambda n: resident_bytes(planners, n),
        "30 endpoints in 16 zones, ten seconds of sums",
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


def planners(services: int) -> list[ServicePlanner]:
    """So many services, each after some seconds of sums."""
    service_planners = [planner(16, seed=seed) for seed in range(services)]
    for service_planner in service_planners:
        play(service_planner, 16, 10, random.Random(4))
    return service_planners
