"""Owners, relays and subscribers on loopback sockets; and that they send what simulated ones send."""

import asyncio
import contextlib
import itertools
import json
import random
import signal
import sys
import time
from pathlib import Path

import pytest
from test_distribution_decisions import SETTINGS

from ravenshelf.distribution import subscribers
from ravenshelf.distribution.connection import MessageConnection
from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.ownership import PublicationLease
from ravenshelf.distribution.decisions.planner import read_table
from ravenshelf.distribution.decisions.service_decisions import ServiceConfiguration, ServiceDecisions
from ravenshelf.distribution.messages import (
    NEVER,
    PROTOCOL,
    Delta,
    EndpointEntry,
    EndpointLoad,
    GroupDemand,
    Heartbeat,
    Hello,
    Setting,
    Snapshot,
    Subscribe,
    ZoneLoadReport,
    encode,
)
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.owner_service import OwnerService
from ravenshelf.distribution.relay_service import RelayService
from ravenshelf.distribution.subscription_service import SubscriptionService
from ravenshelf.net.frames import MOST_FRAME, Frames, pack
from ravenshelf.operator_config.tables import Graphite, Operator
from ravenshelf.process.relay_metrics_export import RelayMetricsExport
from ravenshelf.state.buffers import BufferPool
from standins.carbon import CarbonReceiver
from standins.distribution.world import DistributionSize, SimulatedDistribution

SECOND = 1_000_000
WAIT = 10.0
ROOT = Path(__file__).resolve().parent.parent.parent


def clock() -> int:
    return time.monotonic_ns() // 1000


class Installation:
    """One owner, one relay and some subscribers, all in this process, over real sockets."""

    def __init__(self, subscribers: int = 3, most: int = 64):
        self.loop = asyncio.get_running_loop()
        self.content = {"c:x": Setting("0")}
        self.owner = OwnerService(
            Node(self.loop, clock, "test", "owner-0", {}), 1, 8, lambda topic: self.content, random.Random(1)
        )
        self.count, self.most = subscribers, most
        self.versions: dict[tuple[str, str], list] = {}  # by subscriber and topic, as they came

    async def start(self) -> "Installation":
        self.owner_at = await self.owner.start("127.0.0.1:0")
        self.owner.acquire("s", PublicationLease(1, clock() + 60 * SECOND))
        self.relay = await self.start_relay("127.0.0.1:0")
        self.subscribers = [self.subscriber(n) for n in range(self.count)]
        return self

    async def start_relay(self, listen: str) -> RelayService:
        relay = RelayService(
            Node(self.loop, clock, "test", "relay-0", {"owner-0": self.owner_at}),
            {"owner-0": ["owner-0"]},
            random.Random(2),
            DistributorLimits(self.most),
            upstreams_are_owners=True,
        )
        self.relay_at = await relay.start(listen)
        return relay

    def subscriber(self, number: int) -> SubscriptionService:
        name = f"pilot-{number}"
        subscriber = SubscriptionService(
            Node(self.loop, clock, "test", name, {"relay-0": self.relay_at}),
            random.Random(number),
            lambda topic: self.versions.setdefault((name, topic.name), []).append(topic.version),
        )
        subscriber.start(["s@", "s@0"])
        return subscriber

    def say(self, value: str) -> None:
        self.content = {"c:x": Setting(value)}
        self.owner.refresh("s@")

    def holds(self, value: str) -> bool:
        return all(
            subscriber.topics["s@"].entries == {"c:x": Setting(value)} for subscriber in self.subscribers
        )

    async def until(self, true) -> None:
        async with asyncio.timeout(WAIT):
            while not true():
                await asyncio.sleep(0.01)

    def stop(self) -> None:
        for part in (*self.subscribers, self.relay, self.owner):
            part.stop()


def on_sockets(play, **options) -> None:
    async def run() -> None:
        installation = await Installation(**options).start()
        try:
            await play(installation)
        finally:
            installation.stop()

    asyncio.run(run())


def test_a_change_reaches_all_subscribers_through_a_relay():
    async def play(installation: Installation) -> None:
        await installation.until(lambda: installation.holds("0"))
        for value in ("1", "2"):
            installation.say(value)
            await installation.until(lambda value=value: installation.holds(value))
        assert all(seen == sorted(set(seen)) for seen in installation.versions.values())
        status = installation.relay.status()
        assert (
            status["subscribers"] == 3
            and status["wanted"] == 2
            and status["upstreams"][0]["state"] == "connected"
        )

    on_sockets(play)


def test_subscribers_reconnect_to_a_restarted_relay():
    async def play(installation: Installation) -> None:
        await installation.until(lambda: installation.holds("0"))
        installation.relay.stop()
        installation.say("1")
        installation.relay = await installation.start_relay(installation.relay_at)
        await installation.until(lambda: installation.holds("1"))
        assert all(seen == sorted(set(seen)) for seen in installation.versions.values())

    on_sockets(play)


def test_subscribers_beyond_the_limit_are_rejected():
    async def play(installation: Installation) -> None:
        await installation.until(lambda: installation.relay.status()["refused"] > 0)
        assert installation.relay.status()["subscribers"] == 2

    on_sockets(play, subscribers=3, most=2)


class Dialled:
    """A side that only notes what comes."""

    def __init__(self):
        self.heard, self.open, self.ended = [], asyncio.Event(), asyncio.Event()

    def connection_opened(self, connection) -> None:
        self.open.set()

    def message_received(self, connection, message) -> None:
        self.heard.append(message)

    def connection_ended(self, connection) -> None:
        self.ended.set()

    def write_resumed(self, connection) -> None:
        pass


async def dial(installation: Installation) -> tuple[Dialled, MessageConnection]:
    side = Dialled()
    host, _, port = installation.relay_at.rpartition(":")
    _, connection = await installation.loop.create_connection(
        lambda: MessageConnection(BufferPool(), side), host, int(port)
    )
    return side, connection


@pytest.mark.parametrize(
    "payload",
    [
        encode(Hello(PROTOCOL, "another", "x")),
        encode(Hello(99, "test", "x")),
        encode(Hello(PROTOCOL, "test", "")),
        encode(Subscribe("s@", NEVER)),
        b"\xc1junk",
    ],
    ids=["another cluster", "another protocol", "no name", "no hello", "not a message"],
)
def test_unidentified_connections_are_rejected_and_the_others_stay(payload):
    async def play(installation: Installation) -> None:
        await installation.until(lambda: installation.holds("0"))
        side, connection = await dial(installation)
        connection.write(payload)
        await asyncio.wait_for(side.ended.wait(), WAIT)
        installation.say("1")
        await installation.until(lambda: installation.holds("1"))

    on_sockets(play)


def test_a_subscriber_that_sends_a_parents_message_is_disconnected():
    async def play(installation: Installation) -> None:
        side, connection = await dial(installation)
        connection.send(Hello(PROTOCOL, "test", "liar"))
        connection.send(Heartbeat(1))
        await asyncio.wait_for(side.ended.wait(), WAIT)

    on_sockets(play)


def test_a_subscriber_that_reads_nothing_is_disconnected_and_the_others_go_on(monkeypatch):
    monkeypatch.setattr(subscribers, "UNREAD_TIMEOUT_US", SECOND // 2)

    async def play(installation: Installation) -> None:
        await installation.until(lambda: installation.holds("0"))
        _, connection = await dial(installation)
        connection.send(Hello(PROTOCOL, "test", "deaf"))
        connection.send(Subscribe("s@", NEVER))
        await installation.until(lambda: "deaf" in installation.relay.subscribers.connections)
        connection.transport.pause_reading()
        for turn in itertools.count():
            installation.say(f"{turn}" + "x" * 100_000)
            await asyncio.sleep(0.02)
            if "deaf" not in installation.relay.subscribers.connections:
                break
        installation.say("7")
        await installation.until(lambda: installation.holds("7"))
        connection.transport.abort()

    on_sockets(play)


def test_frames_in_any_pieces_and_the_longest():
    data = pack(b"one") + pack(b"") + pack(b"x" * 70_000)
    frames, bodies = Frames(), []
    for start in range(0, len(data), 7):
        bodies += frames.feed(data[start : start + 7])
    assert bodies == [b"one", b"", b"x" * 70_000]
    with pytest.raises(ValueError, match="a frame of"):
        pack(b"x" * (MOST_FRAME + 1))
    with pytest.raises(ValueError, match="a frame of"):
        Frames().feed(b"\xff\xff\xff\xff")


def test_on_sockets_a_subscriber_gets_the_same_messages_and_bytes_as_a_simulated_one():
    """The same two topics and five changes: the same messages of state in turn, of the same bytes. Heartbeats
    go by time, and whether owners are in reach is sent where a server connects before its relay knows."""
    world = SimulatedDistribution(
        DistributionSize(
            controllers=1,
            servers=1,
            services=1,
            endpoints=4,
            services_called=1,
            regions=1,
            zones=1,
            fan_out=8,
        ),
        1,
    )
    simulated: list[tuple] = []
    on_message = world.servers[0].on_message

    def taken(upstream, message):
        if isinstance(message, Snapshot | Delta):
            simulated.append((type(message).__name__, message.topic, len(encode(message))))
        on_message(upstream, message)

    world.servers[0].on_message = taken
    world.run(5)
    for n in range(5):
        world.change("service-0", "change", f"value-{n}")
        world.run(1)

    real: list[tuple] = []

    async def play() -> None:
        loop = asyncio.get_running_loop()
        state = SimulatedDistribution(world.size, 1)  # for what the topics say, and nothing else
        owner = OwnerService(
            Node(loop, clock, "test", "owner-0", {}), 1, world.size.shards, state.content, random.Random(1)
        )
        owner_at = await owner.start("127.0.0.1:0")
        owner.acquire("service-0", PublicationLease(1, clock() + 60 * SECOND))
        relay = RelayService(
            Node(loop, clock, "test", "relay-0", {"owner-0": owner_at}),
            {"owner-0": ["owner-0"]},
            random.Random(2),
            upstreams_are_owners=True,
        )
        relay_at = await relay.start("127.0.0.1:0")
        subscriber = SubscriptionService(
            Node(loop, clock, "test", "pilot-0", {"relay-0": relay_at}), random.Random(3), lambda topic: None
        )
        receive = subscriber.upstream_message_received

        def record(upstream, message):
            if isinstance(message, Snapshot | Delta):
                real.append((type(message).__name__, message.topic, len(encode(message))))
            receive(upstream, message)

        subscriber.upstream_message_received = record
        subscriber.start(["service-0@", "service-0@0"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WAIT):
                for n in range(5):
                    while len(real) < 2 + n:
                        await asyncio.sleep(0.01)
                    state.configuration["service-0"] = {
                        **state.configuration["service-0"],
                        "c:change": Setting(f"value-{n}"),
                    }
                    owner.refresh("service-0@")
                while len(real) < 7:
                    await asyncio.sleep(0.01)
        for part in (subscriber, relay, owner):
            part.stop()

    asyncio.run(play())
    assert sorted(real[:2]) == sorted(simulated[:2]) and real[2:] == simulated[2:] and len(simulated) == 7


# --- the process and its commands ---


def command(*words: str) -> list[str]:
    return [sys.executable, "-m", "ravenshelf", "distribution", *words]


async def run_command(*words: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        *command(*words), cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
    )
    output, errors = await asyncio.wait_for(process.communicate(), 2 * WAIT)
    return process.returncode, output.decode(), errors.decode()


def test_a_relay_process_is_watched_queried_and_stopped(tmp_path):
    async def play(installation: Installation) -> None:
        await installation.until(lambda: installation.holds("0"))
        listen = installation.relay_at
        installation.relay.stop()  # the process takes its place
        admin = tmp_path / "relay.sock"
        file = tmp_path / "operator.toml"
        file.write_text(
            f'[distribution]\nname = "relay-0"\ncluster = "test"\nlisten = "{listen}"\nowners = true\n'
            f'admin = "{admin}"\n[distribution.parents]\nowner-0 = "{installation.owner_at}"\n'
        )
        process = await asyncio.create_subprocess_exec(
            *command("relay", "--operator", str(file)), cwd=ROOT, stderr=asyncio.subprocess.PIPE
        )
        try:
            installation.say("7")
            await installation.until(lambda: installation.holds("7"))
            code, out, _ = await run_command("watch", listen, "s@", "--cluster", "test", "--count", "1")
            line = json.loads(out)
            assert code == 0 and line["topic"] == "s@" and line["epoch"] == 1
            assert line["entries"] == {"c:x": {"value": "7"}}
            code, out, _ = await run_command("status", "--admin", str(admin), "--json")
            assert code == 0 and json.loads(out)["subscribers"] == 3
            code, out, _ = await run_command("status", "--admin", str(admin))
            assert code == 0 and "relay-0 of test" in out and "connected" in out
        finally:
            process.send_signal(signal.SIGTERM)
            _, errors = await asyncio.wait_for(process.communicate(), WAIT)
        assert (
            process.returncode == 0
            and b"relay relay-0 listens at" in errors
            and b"relay relay-0 stopped" in errors
        )

    on_sockets(play)


@pytest.mark.parametrize(
    "text, complaint",
    [
        ("", "[distribution] listen: found nothing, expected host:port"),
        ('[distribution]\nname = "r"\n', "[distribution] cluster: found nothing"),
        (
            '[distribution]\nname = "r"\ncluster = "c"\nlisten = "here"\n',
            "listen: found 'here', expected host:port",
        ),
        (
            '[distribution]\nname = "r"\ncluster = "c"\nlisten = "h:1"\n',
            "parents: found none, expected one or more",
        ),
        (
            '[distribution]\nname = "r"\ncluster = "c"\nlisten = "h:1"\nservice = "s"\n',
            "found both service and listen",
        ),
        (
            '[distribution]\nname = "r"\ncluster = "c"\nservice = "a@b"\n',
            "service: found 'a@b', expected a name without",
        ),
        (
            '[distribution]\nname = "r"\ncluster = "c"\nlisten = "h:1"\nsubscribers = 0\n'
            '[distribution.parents]\nx = "h:2"\n',
            "subscribers: found 0, expected a whole number from 1 to 65536",
        ),
        (
            '[distribution]\nname = "r"\ncluster = "c"\nlisten = "h:1"\n[distribution.parents]\nr = "h:2"\n',
            "parents.r: found this relay itself",
        ),
    ],
    ids=[
        "empty file",
        "no cluster",
        "listen without a port",
        "no parents",
        "service and listen",
        "service name with @",
        "no subscribers allowed",
        "itself as a parent",
    ],
)
def test_an_invalid_table_is_rejected_with_its_place(tmp_path, text, complaint):
    file = tmp_path / "operator.toml"
    file.write_text(text)
    code, _, errors = asyncio.run(run_command("relay", "--operator", str(file)))
    assert code == 2 and complaint in errors


def test_load_reports_reach_the_owner_and_its_table_avoids_the_failing_endpoint():
    """The whole way on sockets: two pilots, a relay, an owner that decides by KurmaCost."""
    names = [f"e{n}" for n in range(4)]
    listed = ServiceConfiguration({name: EndpointEntry(0, True, 1.0) for name in names}, {})
    decisions = ServiceDecisions(SETTINGS, lambda service: listed, 1)

    async def play() -> dict[str, float]:
        loop = asyncio.get_running_loop()
        owner = OwnerService(
            Node(loop, clock, "test", "owner-0", {}),
            1,
            8,
            decisions.content,
            random.Random(1),
            report_received=decisions.add_load_report,
        )
        decisions.attach(owner.owner)
        owner_at = await owner.start("127.0.0.1:0")
        owner.acquire("s", PublicationLease(1, clock() + 60 * SECOND))
        relay = RelayService(
            Node(loop, clock, "test", "relay-0", {"owner-0": owner_at}),
            {"owner-0": ["owner-0"]},
            random.Random(2),
            upstreams_are_owners=True,
        )
        relay_at = await relay.start("127.0.0.1:0")
        subscription_services = [
            SubscriptionService(
                Node(loop, clock, "test", f"pilot-{n}", {"relay-0": relay_at}),
                random.Random(n),
                lambda topic: None,
            )
            for n in range(2)
        ]
        for subscriber in subscription_services:
            subscriber.start(["s@", "s@0"])
        try:
            async with asyncio.timeout(2 * WAIT):
                for turn in itertools.count(1):
                    await asyncio.sleep(0.1)
                    decisions.run_cycle(clock())
                    owner.publish()
                    for number, subscriber in enumerate(subscription_services):
                        sums = {
                            name: EndpointLoad(
                                10, 10 if name == "e2" else 0, 0 if name == "e2" else 2_000_000
                            )
                            for name in names
                        }
                        subscriber.send_report(
                            ZoneLoadReport(
                                "s", 0, turn, f"pilot-{number}#1", turn, sums, {0: GroupDemand(40)}
                            )
                        )
                    tables = [
                        read_table(subscriber.topics["s@0"].entries) for subscriber in subscription_services
                    ]
                    if all(table and table["e2"].weight < 0.3 * table["e1"].weight for table in tables):
                        return tables
        finally:
            for part in (*subscription_services, relay, owner):
                part.stop()

    first, second = asyncio.run(play())
    assert first == second and set(first) == set(names)


def test_a_relay_sends_its_metrics_to_graphite(tmp_path):
    async def play(installation: Installation) -> None:
        await installation.until(lambda: installation.holds("0"))
        carbon = await CarbonReceiver().start()
        operator = Operator(
            graphite=Graphite(receivers=[f"127.0.0.1:{carbon.port}"], every_s=1, prefix="shop")
        )
        figures = RelayMetricsExport(operator, installation.relay, installation.loop)
        try:
            paths = {
                f"shop.relay-0.relay.{name}"
                for name in (
                    "subscribers",
                    "upstreams",
                    "topics",
                    "rejected_per_s",
                    "resyncs_per_s",
                    "snapshot_bytes_per_s",
                    "bytes_per_s",
                )
            }
            await installation.until(lambda: {path for path, _ in carbon.points} >= paths)
            newest = {
                path: value
                for (path, _), value in sorted(carbon.points.items(), key=lambda point: point[0][1])
            }
            assert newest["shop.relay-0.relay.subscribers"] == 3 and newest["shop.relay-0.relay.topics"] >= 2
            sent = "shop.relay-0.relay.bytes_per_s"
            await installation.until(
                lambda: any(value > 0 for (path, _), value in carbon.points.items() if path == sent)
            )
        finally:
            figures.stop()
            await carbon.stop()

    on_sockets(play)
