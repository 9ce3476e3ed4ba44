"""Tests of controllers as processes: services shared by leases, takeovers, and changed services files."""

import asyncio
import contextlib
import json
import random
import signal
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
from test_distribution_sockets import SECOND, WAIT_LIMIT_S, clock, run_command

from ravenshelf.distribution.decisions.ownership import shard_of_service
from ravenshelf.distribution.decisions.planner import read_table, service_topic, zone_topic
from ravenshelf.distribution.leased_services import CLAIM_WITHDRAWAL_DELAY_US, LeasedServices
from ravenshelf.distribution.messages import Setting
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.relay_service import RelayService
from ravenshelf.distribution.services_file import ServicesFileError, read
from ravenshelf.distribution.subscription_service import SubscriptionService
from ravenshelf.leadership.decisions import Permission
from standins.installation import find_free_ports
from standins.loopback import server_configuration

ROOT = Path(__file__).resolve().parent.parent.parent
SERVICES = [f"service-{n}" for n in range(6)]
CONTROLLER_NAMES = ["c0", "c1", "c2"]


def services_text(limit: str) -> str:
    """Return a services file with six services of three endpoints in zone 0."""
    lines = []
    for service in SERVICES:
        lines.append(f"[{service}.endpoints]")
        lines += [f'"{service}-{n}" = {{ zone = 0, weight = 1.0 }}' for n in range(3)]
        lines.append(f'[{service}.settings]\nlimit = "{limit}"')
    return "\n".join(lines) + "\n"


class Cluster:
    """Three controller processes, a relay next to them, and one subscriber of all topics."""

    def __init__(self, folder: Path):
        self.folder, self.loop = folder, asyncio.get_running_loop()
        free_ports = find_free_ports(6)
        self.members = {
            name: f"127.0.0.1:{port}" for name, port in zip(CONTROLLER_NAMES, free_ports[:3], strict=True)
        }
        self.listen_addresses = {
            name: f"127.0.0.1:{port}" for name, port in zip(CONTROLLER_NAMES, free_ports[3:], strict=True)
        }
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.versions: dict[str, list] = {}

    async def start(self) -> None:
        (self.folder / "services.toml").write_text(services_text("1"))
        configuration = server_configuration("127.0.0.1:1", ["north"], 1)
        (self.folder / "fleet.json").write_text(json.dumps(configuration))
        for name in CONTROLLER_NAMES:
            self._write_operator_file(name)
            await self.run(name)
        self.relay = RelayService(
            Node(self.loop, clock, "test", "relay-0", self.listen_addresses),
            {name: [name] for name in CONTROLLER_NAMES},
            random.Random(2),
            upstreams_are_owners=True,
        )
        relay_address = await self.relay.start("127.0.0.1:0")
        self.server = SubscriptionService(
            Node(self.loop, clock, "test", "server-0", {"relay-0": relay_address}),
            random.Random(3),
            self._topic_changed,
        )
        self.server.start(
            [topic for service in SERVICES for topic in (service_topic(service), zone_topic(service, 0))]
        )

    def _topic_changed(self, topic) -> None:
        self.versions.setdefault(topic.name, []).append(topic.version)

    def _write_operator_file(self, name: str) -> None:
        members = "\n".join(f'{member} = "{address}"' for member, address in self.members.items())
        parents = "\n".join(
            f'{other} = "{address}"' for other, address in self.listen_addresses.items() if other != name
        )
        (self.folder / f"{name}.toml").write_text(
            f'[store]\nfolder = "{self.folder / name}"\n[leadership]\nname = "{name}"\n'
            'cluster = "test"\nshards = 8\n'
            f"[leadership.members]\n{members}\n"
            f'[distribution]\nname = "{name}"\ncluster = "test"\nlisten = "{self.listen_addresses[name]}"\n'
            f'services = "{self.folder / "services.toml"}"\n[distribution.parents]\n{parents}\n'
        )

    async def run(self, name: str) -> None:
        arguments = [
            "distribution",
            "controller",
            "--config",
            str(self.folder / "fleet.json"),
            "--operator",
            str(self.folder / f"{name}.toml"),
        ]
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ravenshelf", *arguments, cwd=ROOT, stdout=log, stderr=log
        )
        log.close()

    def limit_values(self) -> set[str]:
        """Return the values of the setting `limit` that the subscriber holds, over all services."""
        settings = [
            self.server.topics[service_topic(service)].entries.get("c:limit", Setting(""))
            for service in SERVICES
        ]
        return {setting.value for setting in settings}

    def owners(self) -> dict[str, str]:
        """Return the owner of each service, as the relay routes it."""
        claims = {service: self.relay.relay.ownership.claim(service) for service in SERVICES}
        return {service: claim.owner for service, claim in claims.items() if claim is not None}

    def epochs(self) -> dict[str, int]:
        return {service: self.server.topics[zone_topic(service, 0)].version.epoch for service in SERVICES}

    def tables(self) -> dict[str, dict]:
        return {
            service: read_table(self.server.topics[zone_topic(service, 0)].entries) for service in SERVICES
        }

    async def wait_until(self, condition, seconds: float = 2 * WAIT_LIMIT_S) -> None:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    async def stop(self) -> None:
        self.server.stop()
        self.relay.stop()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            await asyncio.wait_for(process.wait(), WAIT_LIMIT_S)


def run_on_cluster(scenario, folder: Path) -> None:
    async def run() -> None:
        cluster = Cluster(folder)
        await cluster.start()
        try:
            await cluster.wait_until(
                lambda: cluster.limit_values() == {"1"} and all(cluster.tables().values())
            )
            await scenario(cluster)
            for name, received_versions in cluster.versions.items():
                assert received_versions == sorted(set(received_versions)), name
        finally:
            await cluster.stop()

    asyncio.run(run())


def test_the_services_of_a_killed_controller_are_taken_over_and_changes_still_arrive(tmp_path):
    async def scenario(cluster: Cluster) -> None:
        owners, epochs = cluster.owners(), cluster.epochs()
        assert len(set(owners.values())) >= 2
        killed_controller = owners[SERVICES[0]]
        cluster.processes[killed_controller].kill()
        await cluster.wait_until(lambda: killed_controller not in cluster.owners().values())
        moved_services = [service for service, owner in owners.items() if owner == killed_controller]
        await cluster.wait_until(
            lambda: all(cluster.epochs()[service] > epochs[service] for service in moved_services)
        )
        assert all(
            cluster.epochs()[service] == epochs[service]
            for service in SERVICES
            if service not in moved_services
        )
        assert all(cluster.tables().values())
        (cluster.folder / "services.toml").write_text(services_text("2"))
        for name in CONTROLLER_NAMES:
            if name != killed_controller:
                cluster.processes[name].send_signal(signal.SIGHUP)
        await cluster.wait_until(lambda: cluster.limit_values() == {"2"})
        # The restarted controller must not bring back the previous value.
        await cluster.run(killed_controller)
        await asyncio.sleep(2)
        assert cluster.limit_values() == {"2"}

    run_on_cluster(scenario, tmp_path)


def test_a_suspended_controller_that_resumes_is_ignored(tmp_path):
    async def scenario(cluster: Cluster) -> None:
        owners = cluster.owners()
        suspended_controller = owners[SERVICES[0]]
        cluster.processes[suspended_controller].send_signal(signal.SIGSTOP)
        await cluster.wait_until(lambda: suspended_controller not in cluster.owners().values())
        (cluster.folder / "services.toml").write_text(services_text("2"))
        for process in cluster.processes.values():
            # The suspended controller receives the signal when it resumes.
            process.send_signal(signal.SIGHUP)
        await cluster.wait_until(lambda: cluster.limit_values() == {"2"})
        epochs = cluster.epochs()
        (cluster.folder / "services.toml").write_text(services_text("3"))
        cluster.processes[suspended_controller].send_signal(signal.SIGCONT)
        # The resumed controller must not publish services whose leases have expired.
        await asyncio.sleep(0.3)
        for name, process in cluster.processes.items():
            if name != suspended_controller:
                process.send_signal(signal.SIGHUP)
        await cluster.wait_until(lambda: cluster.limit_values() == {"3"})
        assert all(cluster.epochs()[service] >= epochs[service] for service in SERVICES)

    run_on_cluster(scenario, tmp_path)


class MemberWithSwitchedLease:
    """A member whose lease the test makes valid or invalid."""

    local_member = 0

    def __init__(self):
        self.is_lease_valid = True
        self.claims = [SimpleNamespace(term=4)] * 8

    def permission(self, now: int, shard: int) -> Permission | None:
        return Permission.FULL if self.is_lease_valid else None


def test_claims_are_withdrawn_without_a_valid_lease_and_made_again_with_one():
    claims, now = [], [0]
    leases = LeasedServices(MemberWithSwitchedLease(), CONTROLLER_NAMES, lambda: now[0], 8)
    publisher = SimpleNamespace(
        acquire=lambda *arguments: None,
        set_claimed=lambda service, is_claimed: claims.append((service, is_claimed)),
    )
    leases.attach(publisher, ["s"])
    leases.lease_acquired(shard_of_service("s", 8), 4, None)
    leases.member.is_lease_valid = False
    for seconds in range(10):
        now[0] = seconds * SECOND
        leases.check_leases()
    assert (
        claims and set(claims) == {("s", False)} and len(claims) == 10 - CLAIM_WITHDRAWAL_DELAY_US // SECOND
    )
    leases.member.is_lease_valid = True
    leases.check_leases()
    leases.check_leases()
    assert claims[-1] == ("s", True) and claims.count(("s", True)) == 1


@pytest.mark.parametrize(
    "text, message",
    [
        ("[a]\nendpoints = 3\n", "Expected `object`"),
        ("[a.endpoints]\nx = { zone = 2 }\n", "found zone 2, expected one below 1"),
        ('["a@b".endpoints]\nx = { zone = 0 }\n', "expected a name without @ and /"),
        ("[a.endpoints]\nx = { zone = -1 }\n", ">= 0"),
        ("[a.endpoints]\nx = { weight = 1.0 }\n", "zone"),
        ("[a.endpoints]\nx = { zone = 0, colour = 1 }\n", "colour"),
        ("[a", "TOML"),
    ],
    ids=[
        "endpoints are not a table",
        "zone beyond the last",
        "service name with @",
        "negative zone",
        "no zone",
        "unknown key",
        "not TOML",
    ],
)
def test_an_invalid_services_file_is_rejected_with_its_path(tmp_path, text, message):
    file = tmp_path / "services.toml"
    file.write_text(text)
    with pytest.raises(ServicesFileError) as error_info:
        read(file, 1)
    assert str(file) in str(error_info.value) and (message in str(error_info.value) or message == "TOML")


@pytest.mark.parametrize(
    "table, message",
    [
        (
            'listen = "h:1"\nservices = "s.toml"\n[distribution.parents]\nb = "h:2"\n',
            "name: found 'a', expected the name of [leadership]",
        ),
        ('services = "s.toml"\n', "listen: found nothing, expected host:port"),
    ],
    ids=["name differs from the lease's", "no listen address"],
)
def test_an_invalid_distribution_table_of_a_controller_is_rejected(tmp_path, table, message):
    configuration = server_configuration("127.0.0.1:1", ["north"], 1)
    (tmp_path / "fleet.json").write_text(json.dumps(configuration))
    (tmp_path / "operator.toml").write_text(f'[distribution]\nname = "a"\ncluster = "c"\n{table}')
    exit_code, _, errors = asyncio.run(
        run_command(
            "controller",
            "--config",
            str(tmp_path / "fleet.json"),
            "--operator",
            str(tmp_path / "operator.toml"),
        )
    )
    assert exit_code == 2 and message in errors
