"""Tests of owners, relays and subscribers on loopback sockets, also against the simulated distribution."""

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
from ravenshelf.net.frames import FRAME_LIMIT_BYTES, FrameDecoder, pack_frame
from ravenshelf.operator_config.tables import Graphite, OperatorConfiguration
from ravenshelf.process.relay_metrics_export import RelayMetricsExport
from ravenshelf.state.buffers import BufferPool
from standins.carbon import CarbonReceiver
from standins.distribution.world import DistributionSize, SimulatedDistribution

SECOND = 1_000_000
WAIT_LIMIT_S = 10.0
ROOT = Path(__file__).resolve().parent.parent.parent


def clock() -> int:
    return time.monotonic_ns() // 1000


class Installation:
    """One owner, one relay and some subscribers, all in this process and connected by sockets."""

    def __init__(self, subscribers: int = 3, max_subscribers: int = 64):
        self.loop = asyncio.get_running_loop()
        self.content = {"c:x": Setting("0")}
        self.owner = OwnerService(
            Node(self.loop, clock, "test", "owner-0", {}), 1, 8, lambda topic: self.content, random.Random(1)
        )
        self.subscriber_count, self.max_subscribers = subscribers, max_subscribers
        self.versions: dict[tuple[str, str], list] = {}  # Keys are subscriber and topic.

    async def start(self) -> "Installation":
        self.owner_address = await self.owner.start("127.0.0.1:0")
        self.owner.acquire("s", PublicationLease(1, clock() + 60 * SECOND))
        self.relay = await self.start_relay("127.0.0.1:0")
        self.subscribers = [self.subscriber(n) for n in range(self.subscriber_count)]
        return self

    async def start_relay(self, listen: str) -> RelayService:
        relay = RelayService(
            Node(self.loop, clock, "test", "relay-0", {"owner-0": self.owner_address}),
            {"owner-0": ["owner-0"]},
            random.Random(2),
            DistributorLimits(self.max_subscribers),
            upstreams_are_owners=True,
        )
        self.relay_address = await relay.start(listen)
        return relay

    def subscriber(self, number: int) -> SubscriptionService:
        name = f"server-{number}"
        subscriber = SubscriptionService(
            Node(self.loop, clock, "test", name, {"relay-0": self.relay_address}),
            random.Random(number),
            lambda topic: self.versions.setdefault((name, topic.name), []).append(topic.version),
        )
        subscriber.start(["s@", "s@0"])
        return subscriber

    def publish_setting(self, value: str) -> None:
        self.content = {"c:x": Setting(value)}
        self.owner.refresh("s@")

    def all_subscribers_have(self, value: str) -> bool:
        return all(
            subscriber.topics["s@"].entries == {"c:x": Setting(value)} for subscriber in self.subscribers
        )

    async def wait_until(self, condition) -> None:
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def stop(self) -> None:
        for service in (*self.subscribers, self.relay, self.owner):
            service.stop()


def run_on_sockets(scenario, **options) -> None:
    async def run() -> None:
        installation = await Installation(**options).start()
        try:
            await scenario(installation)
        finally:
            installation.stop()

    asyncio.run(run())


def test_a_change_reaches_all_subscribers_through_a_relay():
    async def scenario(installation: Installation) -> None:
        await installation.wait_until(lambda: installation.all_subscribers_have("0"))
        for value in ("1", "2"):
            installation.publish_setting(value)
            await installation.wait_until(lambda value=value: installation.all_subscribers_have(value))
        assert all(
            received_versions == sorted(set(received_versions))
            for received_versions in installation.versions.values()
        )
        status = installation.relay.status()
        assert (
            status["subscribers"] == 3
            and status["wanted"] == 2
            and status["upstreams"][0]["state"] == "connected"
        )

    run_on_sockets(scenario)


def test_subscribers_reconnect_to_a_restarted_relay():
    async def scenario(installation: Installation) -> None:
        await installation.wait_until(lambda: installation.all_subscribers_have("0"))
        installation.relay.stop()
        installation.publish_setting("1")
        installation.relay = await installation.start_relay(installation.relay_address)
        await installation.wait_until(lambda: installation.all_subscribers_have("1"))
        assert all(
            received_versions == sorted(set(received_versions))
            for received_versions in installation.versions.values()
        )

    run_on_sockets(scenario)


def test_subscribers_above_the_limit_are_rejected():
    async def scenario(installation: Installation) -> None:
        await installation.wait_until(lambda: installation.relay.status()["refused"] > 0)
        assert installation.relay.status()["subscribers"] == 2

    run_on_sockets(scenario, subscribers=3, max_subscribers=2)


class RecordingListener:
    """A listener that records messages and events."""

    def __init__(self):
        self.messages, self.open_event, self.end_event = [], asyncio.Event(), asyncio.Event()

    def connection_opened(self, connection) -> None:
        self.open_event.set()

    def message_received(self, connection, message) -> None:
        self.messages.append(message)

    def connection_ended(self, connection) -> None:
        self.end_event.set()

    def write_resumed(self, connection) -> None:
        pass


async def dial(installation: Installation) -> tuple[RecordingListener, MessageConnection]:
    listener = RecordingListener()
    host, _, port = installation.relay_address.rpartition(":")
    _, connection = await installation.loop.create_connection(
        lambda: MessageConnection(BufferPool(), listener), host, int(port)
    )
    return listener, connection


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
def test_unidentified_connections_are_rejected_and_other_subscribers_are_still_served(payload):
    async def scenario(installation: Installation) -> None:
        await installation.wait_until(lambda: installation.all_subscribers_have("0"))
        listener, connection = await dial(installation)
        connection.write(payload)
        await asyncio.wait_for(listener.end_event.wait(), WAIT_LIMIT_S)
        installation.publish_setting("1")
        await installation.wait_until(lambda: installation.all_subscribers_have("1"))

    run_on_sockets(scenario)


def test_a_subscriber_that_sends_a_parents_message_is_disconnected():
    async def scenario(installation: Installation) -> None:
        listener, connection = await dial(installation)
        connection.send(Hello(PROTOCOL, "test", "wrong-message"))
        connection.send(Heartbeat(1))
        await asyncio.wait_for(listener.end_event.wait(), WAIT_LIMIT_S)

    run_on_sockets(scenario)


def test_a_subscriber_that_reads_nothing_is_disconnected_and_others_are_still_served(monkeypatch):
    monkeypatch.setattr(subscribers, "UNREAD_TIMEOUT_US", SECOND // 2)

    async def scenario(installation: Installation) -> None:
        await installation.wait_until(lambda: installation.all_subscribers_have("0"))
        _, connection = await dial(installation)
        connection.send(Hello(PROTOCOL, "test", "not-reading"))
        connection.send(Subscribe("s@", NEVER))
        await installation.wait_until(lambda: "not-reading" in installation.relay.subscribers.connections)
        connection.transport.pause_reading()
        for change_number in itertools.count():
            installation.publish_setting(f"{change_number}" + "x" * 100_000)
            await asyncio.sleep(0.02)
            if "not-reading" not in installation.relay.subscribers.connections:
                break
        installation.publish_setting("7")
        await installation.wait_until(lambda: installation.all_subscribers_have("7"))
        connection.transport.abort()

    run_on_sockets(scenario)


def test_frames_are_read_from_pieces_of_any_size_and_too_long_ones_are_rejected():
    data = pack_frame(b"one") + pack_frame(b"") + pack_frame(b"x" * 70_000)
    frames, bodies = FrameDecoder(), []
    for start in range(0, len(data), 7):
        bodies += frames.feed(data[start : start + 7])
    assert bodies == [b"one", b"", b"x" * 70_000]
    with pytest.raises(ValueError, match="a frame of"):
        pack_frame(b"x" * (FRAME_LIMIT_BYTES + 1))
    with pytest.raises(ValueError, match="a frame of"):
        FrameDecoder().feed(b"\xff\xff\xff\xff")


def test_a_subscriber_on_sockets_receives_the_same_messages_and_bytes_as_a_simulated_one():
    """Both runs have the same two topics and five changes.

    Snapshots and deltas are compared in order, with their sizes. Heartbeats are not compared, as they depend
    on time; nor is liveness, as it is sent only if a server connects before its relay has learnt the owner.
    """
    world = SimulatedDistribution(
        DistributionSize(
            controllers=1,
            servers=1,
            services=1,
            endpoints=4,
            services_per_server=1,
            regions=1,
            zones=1,
            fan_out=8,
        ),
        1,
    )
    simulated_messages: list[tuple] = []
    receive_simulated_message = world.servers[0].on_message

    def record_simulated_message(upstream, message):
        if isinstance(message, Snapshot | Delta):
            simulated_messages.append((type(message).__name__, message.topic, len(encode(message))))
        receive_simulated_message(upstream, message)

    world.servers[0].on_message = record_simulated_message
    world.run(5)
    for number in range(5):
        world.change("service-0", "change", f"value-{number}")
        world.run(1)

    socket_messages: list[tuple] = []

    async def run_on_loopback() -> None:
        loop = asyncio.get_running_loop()
        content_source = SimulatedDistribution(world.size, 1)  # Only its topic contents are used.
        owner = OwnerService(
            Node(loop, clock, "test", "owner-0", {}),
            1,
            world.size.shards,
            content_source.content,
            random.Random(1),
        )
        owner_address = await owner.start("127.0.0.1:0")
        owner.acquire("service-0", PublicationLease(1, clock() + 60 * SECOND))
        relay = RelayService(
            Node(loop, clock, "test", "relay-0", {"owner-0": owner_address}),
            {"owner-0": ["owner-0"]},
            random.Random(2),
            upstreams_are_owners=True,
        )
        relay_address = await relay.start("127.0.0.1:0")
        subscriber = SubscriptionService(
            Node(loop, clock, "test", "server-0", {"relay-0": relay_address}),
            random.Random(3),
            lambda topic: None,
        )
        receive_message = subscriber.upstream_message_received

        def record_socket_message(upstream, message):
            if isinstance(message, Snapshot | Delta):
                socket_messages.append((type(message).__name__, message.topic, len(encode(message))))
            receive_message(upstream, message)

        subscriber.upstream_message_received = record_socket_message
        subscriber.start(["service-0@", "service-0@0"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WAIT_LIMIT_S):
                for number in range(5):
                    while len(socket_messages) < 2 + number:
                        await asyncio.sleep(0.01)
                    content_source.configuration["service-0"] = {
                        **content_source.configuration["service-0"],
                        "c:change": Setting(f"value-{number}"),
                    }
                    owner.refresh("service-0@")
                while len(socket_messages) < 7:
                    await asyncio.sleep(0.01)
        for service in (subscriber, relay, owner):
            service.stop()

    asyncio.run(run_on_loopback())
    assert (
        sorted(socket_messages[:2]) == sorted(simulated_messages[:2])
        and socket_messages[2:] == simulated_messages[2:]
        and len(simulated_messages) == 7
    )


def command(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "ravenshelf", "distribution", *arguments]


async def run_command(*arguments: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        *command(*arguments), cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
    )
    output, errors = await asyncio.wait_for(process.communicate(), 2 * WAIT_LIMIT_S)
    return process.returncode, output.decode(), errors.decode()


def test_a_relay_process_serves_watch_and_status_commands_and_stops_on_sigterm(tmp_path):
    async def scenario(installation: Installation) -> None:
        await installation.wait_until(lambda: installation.all_subscribers_have("0"))
        listen_address = installation.relay_address
        installation.relay.stop()  # The process started below replaces this relay.
        admin_socket = tmp_path / "relay.sock"
        file = tmp_path / "operator.toml"
        file.write_text(
            f'[distribution]\nname = "relay-0"\ncluster = "test"\nlisten = "{listen_address}"\n'
            f'owners = true\nadmin = "{admin_socket}"\n[distribution.parents]\n'
            f'owner-0 = "{installation.owner_address}"\n'
        )
        process = await asyncio.create_subprocess_exec(
            *command("relay", "--operator", str(file)), cwd=ROOT, stderr=asyncio.subprocess.PIPE
        )
        try:
            installation.publish_setting("7")
            await installation.wait_until(lambda: installation.all_subscribers_have("7"))
            exit_code, output, _ = await run_command(
                "watch", listen_address, "s@", "--cluster", "test", "--count", "1"
            )
            printed_update = json.loads(output)
            assert exit_code == 0 and printed_update["topic"] == "s@" and printed_update["epoch"] == 1
            assert printed_update["entries"] == {"c:x": {"value": "7"}}
            exit_code, output, _ = await run_command("status", "--admin", str(admin_socket), "--json")
            assert exit_code == 0 and json.loads(output)["subscribers"] == 3
            exit_code, output, _ = await run_command("status", "--admin", str(admin_socket))
            assert exit_code == 0 and "relay-0 of test" in output and "connected" in output
        finally:
            process.send_signal(signal.SIGTERM)
            _, errors = await asyncio.wait_for(process.communicate(), WAIT_LIMIT_S)
        assert (
            process.returncode == 0
            and b"relay relay-0 listens at" in errors
            and b"relay relay-0 stopped" in errors
        )

    run_on_sockets(scenario)


@pytest.mark.parametrize(
    "text, message",
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
def test_an_invalid_distribution_table_is_rejected_with_its_key(tmp_path, text, message):
    file = tmp_path / "operator.toml"
    file.write_text(text)
    exit_code, _, errors = asyncio.run(run_command("relay", "--operator", str(file)))
    assert exit_code == 2 and message in errors


def test_load_reports_reach_the_owner_and_its_table_avoids_a_failing_endpoint():
    """Two servers report load through a relay on sockets, and an owner decides their table by KurmaCost."""
    names = [f"e{n}" for n in range(4)]
    configuration = ServiceConfiguration({name: EndpointEntry(0, True, 1.0) for name in names}, {})
    decisions = ServiceDecisions(SETTINGS, lambda service: configuration, 1)

    async def run_until_avoided() -> dict[str, float]:
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
        owner_address = await owner.start("127.0.0.1:0")
        owner.acquire("s", PublicationLease(1, clock() + 60 * SECOND))
        relay = RelayService(
            Node(loop, clock, "test", "relay-0", {"owner-0": owner_address}),
            {"owner-0": ["owner-0"]},
            random.Random(2),
            upstreams_are_owners=True,
        )
        relay_address = await relay.start("127.0.0.1:0")
        subscription_services = [
            SubscriptionService(
                Node(loop, clock, "test", f"server-{n}", {"relay-0": relay_address}),
                random.Random(n),
                lambda topic: None,
            )
            for n in range(2)
        ]
        for subscriber in subscription_services:
            subscriber.start(["s@", "s@0"])
        try:
            async with asyncio.timeout(2 * WAIT_LIMIT_S):
                for window in itertools.count(1):
                    await asyncio.sleep(0.1)
                    decisions.run_cycle(clock())
                    owner.publish()
                    for number, subscriber in enumerate(subscription_services):
                        load_by_endpoint = {
                            name: EndpointLoad(
                                10, 10 if name == "e2" else 0, 0 if name == "e2" else 2_000_000
                            )
                            for name in names
                        }
                        subscriber.send_report(
                            ZoneLoadReport(
                                "s",
                                0,
                                window,
                                f"server-{number}#1",
                                window,
                                load_by_endpoint,
                                {0: GroupDemand(40)},
                            )
                        )
                    tables = [
                        read_table(subscriber.topics["s@0"].entries) for subscriber in subscription_services
                    ]
                    if all(table and table["e2"].weight < 0.3 * table["e1"].weight for table in tables):
                        return tables
        finally:
            for service in (*subscription_services, relay, owner):
                service.stop()

    first_table, second_table = asyncio.run(run_until_avoided())
    assert first_table == second_table and set(first_table) == set(names)


def test_a_relay_sends_its_metrics_to_graphite(tmp_path):
    async def scenario(installation: Installation) -> None:
        await installation.wait_until(lambda: installation.all_subscribers_have("0"))
        carbon = await CarbonReceiver().start()
        operator = OperatorConfiguration(
            graphite=Graphite(receivers=[f"127.0.0.1:{carbon.port}"], every_s=1, prefix="shop")
        )
        metrics_export = RelayMetricsExport(operator, installation.relay, installation.loop)
        try:
            metric_paths = {
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
            await installation.wait_until(lambda: {path for path, _ in carbon.points} >= metric_paths)
            last_values = {
                path: value
                for (path, _), value in sorted(carbon.points.items(), key=lambda point: point[0][1])
            }
            assert (
                last_values["shop.relay-0.relay.subscribers"] == 3
                and last_values["shop.relay-0.relay.topics"] >= 2
            )
            bytes_path = "shop.relay-0.relay.bytes_per_s"
            await installation.wait_until(
                lambda: any(value > 0 for (path, _), value in carbon.points.items() if path == bytes_path)
            )
        finally:
            metrics_export.stop()
            await carbon.stop()

    run_on_sockets(scenario)
