"""Tests of a server whose service is decided by an owner: the split of requests, draining, and no owner."""

import asyncio
import json
import random
from pathlib import Path

import pytest
from conftest import RecordingWriter, endpoint_list, load_report
from test_distribution_sockets import SECOND, WAIT_LIMIT_S, clock

from ravenshelf.distribution.decisions.distributed_controller import DistributedController
from ravenshelf.distribution.decisions.fallback import TableSource
from ravenshelf.distribution.decisions.ownership import PublicationLease
from ravenshelf.distribution.messages import Setting, TableLine, ZoneLoadReport
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.owner_service import OwnerService
from ravenshelf.distribution.relay_service import RelayService
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.events import ListKind, ProxyJoined
from ravenshelf.settings import Idempotency, ServiceSettings, Settings, TrafficGroup, WarmUpSettings
from standins.installation import find_free_ports
from standins.loopback import LoopbackProxy, LoopbackRegistry, registry_entry, server_configuration
from standins.server_process import start_server

ROOT = Path(__file__).resolve().parent.parent.parent
INDICES = {f"s-{n}": n for n in range(4)}


class ServerWithOwner:
    """A `DistributedController` on a clock that the test advances.

    Endpoints 0 and 1 are in zone 0, endpoints 2 and 3 in zone 1.
    """

    def __init__(self, **weights: float):
        self.source = TableSource.OWNER
        self.table = {f"s-{name[1:]}": TableLine(weight) for name, weight in weights.items()}
        self.now, self.writer = 1000 * SECOND, RecordingWriter()
        settings = Settings(
            zones=("a", "b"),
            traffic_groups=(TrafficGroup("look", idempotency=Idempotency.IDEMPOTENT),),
            warm_up=WarmUpSettings(0.2, 16 * SECOND, 3.0),
            discovery="pushed",
            service=ServiceSettings(
                lines_per_second=1000.0,
                message_overhead_lines=3.0,
                queue_limit_lines=2000,
                proxy_count=2,
                longest_delivery_us=300_000,
            ),
        )
        self.controller = DistributedController(
            settings,
            7,
            owner_table=lambda now, zone: (self.source, self.table if zone == 0 else {}),
            index_of=INDICES.get,
        )
        self.run_cycle(
            endpoint_list("rrrr", kind=ListKind.RESTORED),
            ProxyJoined(0, 0, 10.0, True),
            ProxyJoined(1, 1, 10.0, True),
        )

    def run_cycle(self, *events) -> None:
        self.controller.run_cycle(self.now, list(events), self.writer)

    def run(self, seconds: float, events=()) -> "ServerWithOwner":
        for quarter in range(round(seconds * 4)):
            self.now += SECOND // 4
            self.run_cycle(*(events if quarter % 4 == 0 else ()))
        return self

    def shares(self, zone: int = 0) -> dict[int, float]:
        """Return the share of requests that the zone's proxy sends to each endpoint."""
        table = self.writer.tables[self.writer.bound[zone]]
        lines = {
            endpoint: weight for endpoint, weight in table.items() if endpoint not in self.writer.ejected
        }
        return {endpoint: round(weight / sum(lines.values()), 3) for endpoint, weight in lines.items()}


def test_the_owners_table_is_used_in_zones_that_have_one_and_the_servers_own_elsewhere():
    server = ServerWithOwner(s0=900.0, s1=50.0, s2=50.0)
    assert server.shares(0) == {0: 0.9, 1: 0.05, 2: 0.05}
    assert server.shares(1) == {2: 0.5, 3: 0.5}


def test_a_new_table_of_the_owner_is_used_within_two_seconds():
    server = ServerWithOwner(s0=900.0, s1=100.0).run(5)
    server.table = {"s-0": TableLine(100.0), "s-1": TableLine(900.0)}
    server.controller.owner_table_changed()
    assert server.run(2).shares() == {0: 0.1, 1: 0.9}


def test_endpoints_that_the_server_lists_as_draining_are_not_used():
    server = ServerWithOwner(s0=900.0, s1=60.0, s2=40.0).run(1)
    server.run_cycle(endpoint_list("drrr"))
    assert 0 not in server.shares() and set(server.shares()) == {1, 2}
    server.run(5)
    assert set(server.shares()) == {1, 2}


def test_endpoints_that_the_server_does_not_list_are_ignored():
    server = ServerWithOwner(s0=500.0, s1=250.0, s9=250.0)
    assert server.shares() == {0: 0.667, 1: 0.333}


def test_a_table_whose_bounds_do_not_cover_all_requests_is_not_used():
    server = ServerWithOwner()
    server.table = {"s-0": TableLine(100.0, 0.3)}
    server.controller.owner_table_changed()
    assert server.run(3).shares() == {0: 0.5, 1: 0.5}


@pytest.mark.parametrize(
    "source, first_share",
    [(TableSource.OWNER, 0.9), (TableSource.LAST_TABLE, 0.9), (TableSource.LOCAL, 0.5)],
    ids=["owner", "last table", "local"],
)
def test_without_an_owner_the_last_table_is_used_and_then_the_servers_own_decisions(source, first_share):
    server = ServerWithOwner(s0=900.0, s1=100.0).run(3)
    server.source = source
    assert server.run(6, [load_report(0, 0), load_report(0, 1)]).shares()[0] == pytest.approx(
        first_share, abs=0.02
    )


def test_without_an_owner_the_decisions_equal_those_of_a_server_without_distribution():
    server = ServerWithOwner(s0=900.0, s1=100.0)
    server.source = TableSource.LOCAL
    local_controller = Controller(server.controller.settings, 7)
    writer, now = RecordingWriter(), 1000 * SECOND
    local_controller.run_cycle(
        now,
        [
            endpoint_list("rrrr", kind=ListKind.RESTORED),
            ProxyJoined(0, 0, 10.0, True),
            ProxyJoined(1, 1, 10.0, True),
        ],
        writer,
    )
    events = [
        load_report(0, 0, failures=18),
        load_report(0, 1, failures=18),
        load_report(1, 2),
        load_report(1, 3),
    ]
    server.run(20, events)
    for quarter in range(80):
        now += SECOND // 4
        local_controller.run_cycle(now, list(events) if quarter % 4 == 0 else [], writer)
    assert server.controller.spill_planner.shares == local_controller.spill_planner.shares
    lines = {
        endpoint: weight
        for endpoint, weight in writer.tables[writer.bound[0]].items()
        if endpoint not in writer.ejected
    }
    assert server.shares() == {
        endpoint: round(weight / sum(lines.values()), 3) for endpoint, weight in lines.items()
    }


def test_a_server_process_uses_the_owners_table_reports_load_and_then_decides_by_itself(tmp_path):
    """The server runs as a process of its own with a proxy; the owner and the relay run in this process."""
    table = {f"t:s-{n}": TableLine(weight) for n, weight in enumerate((800.0, 100.0, 100.0))}
    reports: list[ZoneLoadReport] = []

    async def wait_until(condition, seconds: float = WAIT_LIMIT_S) -> None:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    async def run_processes() -> None:
        loop = asyncio.get_running_loop()
        owner = OwnerService(
            Node(loop, clock, "test", "owner-0", {}),
            1,
            8,
            lambda topic: {"c:x": Setting("1")} if topic == "s@" else table,
            random.Random(1),
            report_received=reports.append,
        )
        owner_address = await owner.start("127.0.0.1:0")
        owner.acquire("s", PublicationLease(1, clock() + 600 * SECOND))
        relay = RelayService(
            Node(loop, clock, "test", "relay-0", {"owner-0": owner_address}),
            {"owner-0": ["owner-0"]},
            random.Random(2),
            upstreams_are_owners=True,
        )
        relay_address = await relay.start("127.0.0.1:0")
        registry = await LoopbackRegistry([registry_entry(f"s-{n}", "north") for n in range(3)]).start()
        listen = f"127.0.0.1:{find_free_ports(1)[0]}"
        configuration = server_configuration(registry.address, ["north"], 1, listen)
        configuration["settings"]["limits"]["probing"] = False
        (tmp_path / "server.json").write_text(json.dumps(configuration))
        (tmp_path / "operator.toml").write_text(
            '[distribution]\nname = "server-0"\ncluster = "test"\nservice = "s"\n'
            f'[distribution.parents]\nrelay-0 = "{relay_address}"\n'
        )
        process = await start_server(tmp_path / "server.json", "--operator", str(tmp_path / "operator.toml"))
        proxy = LoopbackProxy(lambda: listen, 0, "north")
        proxy_task = asyncio.create_task(proxy.run())
        try:
            await wait_until(
                lambda: (
                    proxy.active_weights()
                    and proxy.active_weights().get("s-0", 0) > 7 * proxy.active_weights().get("s-1", 1000)
                )
            )
            for _ in range(30):
                proxy.report_demand("read", 40)
                await asyncio.sleep(0.1)
                if any(report.groups for report in reports):
                    break
            assert any(
                report.service == "s" and report.groups[0].requests >= 40
                for report in reports
                if report.groups
            )
            relay.stop()
            owner.stop()
            await asyncio.sleep(1)
            # The server uses the last table at first, and its own decisions later.
            assert proxy.active_weights()["s-0"] > 7 * proxy.active_weights()["s-1"]
            await wait_until(lambda: proxy.active_weights()["s-0"] < 2 * proxy.active_weights()["s-1"], 25)
        finally:
            proxy_task.cancel()
            relay.stop()
            owner.stop()
            process.terminate()
            await process.wait()

    asyncio.run(run_processes())
