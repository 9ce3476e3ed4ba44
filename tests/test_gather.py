"""News and orders into figures, and the pilot with everything turned on."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from ravenshelf.graphite.gather import MetricsCollector
from ravenshelf.operator_config.reading import check
from ravenshelf.policy.events import (
    BatchAcknowledged,
    DemandReport,
    EndpointsListed,
    EndpointState,
    ListedEndpoint,
    ListKind,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
)
from ravenshelf.process.clock import Clock
from ravenshelf.process.control_plane import ControlPlaneServer
from ravenshelf.process.operations import Operations
from ravenshelf.rules import SECOND
from ravenshelf.settings import Settings, TrafficGroup
from ravenshelf.state.proxy_tables import MessagePart
from standins import collectd as sender
from standins.carbon import Carbon, Stall
from standins.world import Discovery, Proxy, configuration, entry

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = Settings(
    zones=("a", "b"),
    traffic_groups=(
        TrafficGroup("read", 1.0, latency_objective_us=100_000),
        TrafficGroup("pay", 5.0, latency_objective_us=400_000),
    ),
)


class Told:
    def __init__(self):
        self.now, self.gatherer = 0, MetricsCollector(SETTINGS, "p", 0)
        self.hear(
            EndpointsListed(
                ListKind.RESTORED,
                tuple(ListedEndpoint(e, e // 2, 0, 0, EndpointState.READY, 1.0, 0) for e in range(4)),
            )
        )
        for proxy in (0, 1):
            self.hear(ProxyJoined(proxy, proxy, 10.0, True))

    def hear(self, event):
        self.gatherer.heard(event, self.now)

    def figures(self, seconds=10, counts=()):
        self.now += seconds * SECOND
        out = {}
        for _ in self.gatherer.points(
            self.now, None, dict(counts), lambda importance, points: out.update(points)
        ):
            pass
        return {path[2:]: value for path, value in out.items()}


def test_flows_within_the_budget_are_formed_as_the_page_says():
    told = Told()
    told.hear(LoadReport(0, 0, 100, 0, 100_000, SECOND, ()))
    told.hear(DemandReport(0, 0, 200, 20, 5 * SECOND))
    told.hear(DemandReport(0, 1, 50, 0, 5 * SECOND))
    got = told.figures()
    assert got["group.read.demand_per_s"] == 20 and got["group.read.dropped_per_s"] == 2
    assert got["group.read.delivered_per_s"] == 18
    assert got["group.read.within_budget_per_s"] == pytest.approx(18 * (1 - 2.718281828**-1))
    assert got["group.pay.utility_per_s"] == pytest.approx(5 * 5 * (1 - 2.718281828**-4))
    assert got["sums.heard_per_s"] == 0.3 and got["sums.age_ms.max"] == pytest.approx(2500, rel=0.02)
    again = told.figures()
    assert (
        again["group.read.demand_per_s"] == 0 and "sums.age_ms.max" not in again
    )  # nothing heard: no point, not 0


def test_blocked_is_what_comes_beyond_the_level():
    told = Told()
    told.gatherer.level_of = lambda proxy, group: {0: 30.0, 1: 1e6}[group]
    told.hear(DemandReport(0, 0, 200, 0, 5 * SECOND))
    told.hear(DemandReport(0, 1, 200, 0, 5 * SECOND))
    got = told.figures()
    assert got["group.read.blocked_per_s"] == 5 and got["group.pay.blocked_per_s"] == 0
    assert got["group.read.delivered_per_s"] == 15


def test_a_drain_lasts_until_the_last_proxy_has_answered():
    told = Told()
    told.hear(EndpointsListed(ListKind.UPDATE, (ListedEndpoint(1, 0, 0, 0, EndpointState.DRAINING, 1.0, 0),)))
    told.gatherer.sent(0, [MessagePart(out=[1])], 7)
    told.gatherer.sent(1, [MessagePart(out=[1])], 7)
    told.now += 200_000
    told.hear(BatchAcknowledged(0, 7, 100))
    got = told.figures(0)
    assert (got["drains.begun"], got["drains.open"]) == (1, 1) and "drains.took_ms.max" not in got
    told.now += 300_000
    told.hear(BatchAcknowledged(1, 7, 100))
    got = told.figures(0)
    assert got["drains.open"] == 0 and got["drains.took_ms.max"] == pytest.approx(500, rel=0.02)


def test_a_proxy_that_leaves_and_an_endpoint_that_returns_end_a_drain_without_a_time():
    told = Told()
    told.hear(
        EndpointsListed(
            ListKind.UPDATE,
            (
                ListedEndpoint(1, 0, 0, 0, EndpointState.DRAINING, 1.0, 0),
                ListedEndpoint(2, 1, 0, 0, EndpointState.GONE, 1.0, 0),
            ),
        )
    )
    told.gatherer.sent(0, [MessagePart(out=[1, 2])], 7)
    told.hear(ProxyLeft(0, True))  # ended by the pilot: the module is told so, the figures are the same
    told.gatherer.sent(1, [MessagePart(out=[1])], 8)
    told.hear(EndpointsListed(ListKind.UPDATE, (ListedEndpoint(1, 0, 0, 0, EndpointState.READY, 1.0, 0),)))
    got = told.figures()
    assert got["drains.open"] == 0 and "drains.took_ms.max" not in got
    assert got["endpoints.ready"] == 3 and got["endpoints.draining"] == 0


# --- a pilot with everything on ---


def test_a_pilot_sends_its_figures_and_hears_collectd_while_a_receiver_hangs(tmp_path):
    async def test():
        loop = asyncio.get_running_loop()
        discovery = await Discovery([entry(f"s-{n}", "north") for n in range(4)]).start()
        carbon, hangs = await Carbon().start(), await Carbon([Stall()], buffer=2048).start()
        (tmp_path / "users").write_text("u: pw\n")
        operator = check(
            {
                "graphite": {"receivers": [carbon.address, hangs.address], "every_s": 1},
                "collectd": {
                    "listen": "127.0.0.1:0",
                    "security": "sign",
                    "users": str(tmp_path / "users"),
                    "hosts": {"machine": ["s-0", "s-1"]},
                },
            },
            "f",
        )
        pilot = ControlPlaneServer(configuration(discovery.address, ["north"], 2), loop, Clock())
        await pilot.start()
        pilot.operations = Operations(operator, pilot, random.Random(1))
        await pilot.operations.start()
        address = "127.0.0.1:%d" % pilot.server.sockets[0].getsockname()[1]
        proxies = [Proxy(lambda: address, n, "north") for n in range(2)]
        tasks = [loop.create_task(p.run()) for p in proxies]
        await carbon.until(
            lambda: any(p.endswith("proxies.bound") and v == 2 for (p, _), v in carbon.points.items())
        )
        host, place = (
            sender.Host("machine", busy=0.9),
            pilot.operations.listener.transport.get_extra_info("sockname"),
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as out:
            now = pilot.clock() / 1e6
            for n in range(3):
                out.sendto(sender.signed(host.packet(now - 20 + 10 * n), "u", "pw"), place)
            out.sendto(host.packet(now), place)
        noticed = pilot.rounds.controller.endpoints
        await carbon.until(
            lambda: any(p.endswith("collectd.refused_per_s") and v for (p, _), v in carbon.points.items())
        )
        assert [noticed[e].noticed.read(pilot.clock())[0] > 0 for e in range(4)] == [True, True, False, False]
        names = {p.split(".", 2)[2] for p, _ in carbon.points}
        assert {
            "process.memory_mb",
            "channel.queue_lines",
            "group.order.utility_per_s",
            "rounds.took_ms.p99",
            f"graphite.{hangs.address.replace('.', '_').replace(':', '_')}.waiting",
        } <= names
        assert all(p.startswith("ravenshelf.toy.") for p, _ in carbon.points) and not carbon.bad
        # a new operator file: the figures move, collectd ends
        moved = await Carbon().start()
        done = []
        pilot.operations.renew(
            check({"graphite": {"receivers": [moved.address], "every_s": 1, "prefix": "x"}}, "f"), done.append
        )
        assert done == ["[graphite], [collectd]"]
        await moved.until(lambda: any(p.startswith("x.toy.") for p, _ in moved.points))
        pilot.operations.renew(check({}, "f"), done.append)
        assert pilot.tap is None and pilot.operations.graphite is None
        for task in tasks:
            task.cancel()
        pilot.stop()
        for one in (carbon, hangs, moved):
            await one.stop()

    asyncio.run(asyncio.wait_for(test(), 40))


def test_a_process_takes_a_good_operator_file_at_sighup_and_keeps_the_old_one_at_a_bad_one(tmp_path):
    async def test():
        discovery, carbon = await Discovery([entry("s-0", "north")]).start(), await Carbon().start()
        (tmp_path / "c.json").write_text(json.dumps(configuration(discovery.address, ["north"], 1)))
        file = tmp_path / "operator.toml"
        file.write_text("[log]\nformat = 'json'\n")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ravenshelf",
            "serve",
            "--config",
            str(tmp_path / "c.json"),
            "--operator",
            str(file),
            cwd=ROOT,
            stderr=subprocess.PIPE,
        )

        async def event(name):
            while True:
                said = json.loads(await process.stderr.readline())
                if said["event"] == name:
                    return said

        assert (await event("server.listening"))["name"] == "toy"
        file.write_text("[graphite]\nevery = 3\n")
        process.send_signal(signal.SIGHUP)
        assert "did you mean every_s?" in (await event("operator_configuration.rejected"))["why"]
        file.write_text(
            f"[log]\nformat = 'json'\n[graphite]\nreceivers = ['{carbon.address}']\nevery_s = 1\n"
        )
        process.send_signal(signal.SIGHUP)
        assert (await event("operator_configuration.reloaded"))["changed"] == "[graphite]"
        await carbon.until(lambda: carbon.points)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        await carbon.stop()

    asyncio.run(asyncio.wait_for(test(), 40))


def test_the_check_reads_both_files_together(tmp_path):
    (tmp_path / "o.toml").write_text("[graphite]\nrecievers = []\n")
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "ravenshelf",
            "check",
            "--config",
            "examples/config.json",
            "--operator",
            str(tmp_path / "o.toml"),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2 and "did you mean receivers?" in done.stderr


def test_the_toy_world_starts_a_pilot_shows_tables_and_ends_on_ctrl_c():
    process = subprocess.Popen(
        [sys.executable, "-m", "examples.toy", "--with-pilot"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
        env=os.environ | {"PYTHONUNBUFFERED": "1"},
    )
    while "lines=" not in (line := process.stdout.readline()):
        assert line
    process.send_signal(signal.SIGINT)
    rest = process.stdout.read()
    assert process.wait(20) == 0 and "over: the proxy's table was {'s-" in rest
