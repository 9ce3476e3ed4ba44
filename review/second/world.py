"""A small deployment: discovery, proxies, collectors and servers as the deploy file starts them."""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.second.proxies import Fleet, Proxy, Send, report_loads
from review.second.record import Record
from review.second.registry import Registry, RegistryRelay

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
READY_TIMEOUT_S = 30
# Time limits of the rules are this much longer on sockets.
SLACK_S = 0.3
# If the stand-ins themselves were this late, the run says nothing.
MOST_LAG_S = 0.25
ZONES = ("hawassa", "shashemene", "dilla")


def free_port() -> int:
    """Return a port of loopback that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; `changes` replace keys of `family-info` and `rules`."""
    service = {
        "bare-ms": 4700.0,
        "base-mode": 1,
        "by-zone": True,
        "counted-over-ms": 10000.0,
        "default-size": 5,
        "envelope": 3.0,
        "first-wait": 0.8,
        "hears-per-s": 120.0,
        "home-only": [False, False],
        "late-most-ms": 600.0,
        "late-ms": 240.0,
        "level-kind": "per_second",
        "lines-per-s": 1400.0,
        "messages-most": 12,
        "most-waiting": 2800.0,
        "outlier-after": 3,
        "pick": "p2c",
        "proxy-count": 9,
        "slices": 0,
        "sole-owner": False,
        "writers": [False, True],
    }
    rules = {
        "ask-within-ms": 10000.0,
        "cold-share": 0.19,
        "drain-grace-ms": 1500.0,
        "fall-multiple": 4.0,
        "overload-for-ms": 3000.0,
        "warm-after-ms": 18000.0,
    }
    for values in (service, rules):
        values.update({key: value for key, value in changes.items() if key in values})
    if "removal-not-binding" in changes:
        rules["removal-not-binding"] = changes["removal-not-binding"]
    return {
        "azs": list(ZONES),
        "balancers": changes.get("balancers", 1),
        "me": 0,
        "zone": 0,
        "kinds": ["k4"],
        "classes": [
            {
                "name": "slot-check",
                "importance": 2.0,
                "objective-ms": 1500.0,
                "deadline-ms": 5000.0,
                "idempotency": "pure",
                "key-scope": "all",
            },
            {
                "name": "booking-confirm",
                "importance": 6.0,
                "objective-ms": 1000.0,
                "deadline-ms": 2500.0,
                "idempotency": "side_effect",
                "key-scope": "all",
            },
        ],
        "discovery": "on_request",
        "family": "control",
        "family-info": service,
        "rules": rules,
        "limits": {"probing": True, "peer-messages": False, "dial-timeout-ms": 250.0},
        "telemetry": {"how": "answers", "columns": ["active"]},
        "tick-ms": 2.0,
        "weights": "rough",
        "value-by": "request",
    }


def entry(uid: str, zone: str) -> dict[str, Any]:
    """Return the list entry of a warm endpoint."""
    return {
        "uid": uid,
        "endpoint": "127.0.0.1:9",
        "az": zone,
        "model": "k4",
        "pod_group": 0,
        "state": "SERVING",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


class Server:
    """One server as a process of its own, started with the `run` command of the deploy file."""

    def __init__(self, name: str, configuration: dict[str, Any], folder: Path):
        self.name = name
        self.configuration = configuration
        self.address: str = configuration["listen"]
        self.ready_at = 0.0
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the process and wait until it answers.

        Raises:
            RuntimeError: It ended, or did not answer in time.
        """
        file = self._folder / f"{self.name}.json"
        file.write_text(json.dumps(self.configuration))
        temporary = self._folder / f"{self.name}-tmp"
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir()
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        variables = {
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.address,
            "RELAY_DISCOVERY": self.configuration["discovery"],
            "RELAY_CONFIG": str(file),
            "TMPDIR": str(temporary),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=os.environ | variables, stdout=log, stderr=log
            )
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await self._answers():
            if self._process.poll() is not None or time.monotonic() > deadline:
                raise RuntimeError(f"server {self.name} did not get ready")
            await asyncio.sleep(0.05)
        self.ready_at = time.monotonic()

    async def _answers(self) -> bool:
        host, _, port = self.address.rpartition(":")
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"PING\r\n")
            line = await reader.readline()
            writer.close()
            return line == b"PONG\r\n"
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def exit_code(self) -> int | None:
        """Return the exit code of the process, or None while it runs."""
        return self._process.poll() if self._process is not None else None

    def stop(self) -> None:
        """End the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def log(self) -> str:
        """Return what the process has logged."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


class World:
    """The deployment of a case.

    Attributes:
        has_trouble: Whether the disruption happens; false with `TROUBLE=0`.
        joined: The times of joining and leaving of each proxy, by number.
    """

    def __init__(self, record: Path, endpoints: dict[str, int], proxies: int, **changes: Any):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(record)
        self.folder = Path(tempfile.mkdtemp())
        entries = [entry(f"s-{zone[:2]}{i}", zone) for zone, count in endpoints.items() for i in range(count)]
        self.registry = Registry(entries)
        self.relay = RegistryRelay(self.registry)
        self.settings = settings(**({"proxy-count": proxies} | changes))
        self.proxy_count = proxies
        self.servers: list[Server] = []
        self.fleets: list[Fleet] = []
        self.proxies: list[Proxy] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.most_lag = 0.0
        self.seed = int(os.environ.get("SEED", "1"))

    def configuration(self, name: str) -> dict[str, Any]:
        """Return the configuration of a server."""
        return {
            "name": name,
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": self.relay.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.registry.document(),
            "settings": self.settings,
        }

    def spawn(self, work: Any) -> None:
        """Run a coroutine beside the others until the world ends."""
        self.tasks.add(asyncio.create_task(work))

    async def start(self, server_count: int = 1) -> Server:
        """Start discovery and the servers, then the proxies and the collectors of each.

        Returns:
            The first server.
        """
        await self.registry.start()
        await self.relay.start()
        for number in range(server_count):
            name = f"n{number + 1}"
            self.servers.append(Server(name, self.configuration(name), self.folder))
        await asyncio.gather(*[server.start() for server in self.servers])
        known = set(self.registry.entries)
        for number, server in enumerate(self.servers):
            self.record.write("ready", server=server.name)
            fleet = Fleet({"settings": self.settings}, self.record, self.seed + 1000 * number)
            fleet.has_been_listed = known.__contains__
            self.fleets.append(fleet)
            self._start_fleet(fleet, server)
        self.spawn(self._measure_lag())
        return self.servers[0]

    @property
    def fleet(self) -> Fleet:
        """The proxies of the first server."""
        return self.fleets[0]

    def _start_fleet(self, fleet: Fleet, server: Server) -> None:
        first = len(self.proxies)
        for number in range(first, first + self.proxy_count // len(self.servers)):
            zone = ZONES[number % len(ZONES)]
            standing = [uid for uid, listed in self.registry.entries.items() if listed["az"] == zone][:5]
            proxy = Proxy(fleet, number, zone, 8.0, standing, server.address)
            self.proxies.append(proxy)
            self.spawn(proxy.run())
            self.spawn(proxy.send_requests())
            self.spawn(proxy.report_requests())
        for zone in ZONES:
            self.spawn(report_loads(fleet, zone, server.address))

    async def _measure_lag(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.most_lag = max(self.most_lag, time.monotonic() - before - 0.02)

    def late_sends(self, uid: str, told_at: float, until: float) -> list[Send]:
        """Return the requests that joined proxies sent to an endpoint after the grace, up to a time."""
        grace = self.settings["rules"]["drain-grace-ms"] / 1000 + SLACK_S
        return [
            send
            for fleet in self.fleets
            for send in fleet.sends
            if send.uid == uid
            and send.joined_at is not None
            and max(told_at, send.joined_at) + grace < send.at < until
        ]

    def verdict(self, problems: list[str]) -> int:
        """Write and return the verdict."""
        if any(server.exit_code() is not None for server in self.servers):
            problems = [*problems, "a server process has ended"]
        self.record.write("lag", most_ms=round(1000 * self.most_lag))
        for fleet in self.fleets:
            self.record.write("channel", most_waiting=fleet.channel.most_waiting)
        for problem in problems:
            self.record.write("BROKEN", what=problem)
            print(problem)
        if not problems:
            self.record.write("HELD")
            print("the rule held")
        if self.most_lag > MOST_LAG_S:
            print(f"the stand-ins were late by {self.most_lag:.3f} s, so the run says nothing")
            return NOT_RUN
        return BROKEN if problems else HELD

    def close(self) -> None:
        """End all processes and write the record."""
        for task in self.tasks:
            task.cancel()
        for proxy in self.proxies:
            proxy.close()
        for server in self.servers:
            server.stop()
            if "LOG" in os.environ:
                print(server.log())
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(world_of: Callable[[], World], play: Callable[[World], Awaitable[list[str]]]) -> None:
    """Play a case and exit with its verdict."""

    async def main() -> int:
        world = world_of()
        try:
            return world.verdict(await play(world))
        except (OSError, RuntimeError) as error:
            print(f"the case could not run: {error}")
            return NOT_RUN
        finally:
            world.close()

    code = asyncio.run(main())
    sys.stdout.flush()
    os._exit(code)  # without the complaints of streams whose loop has ended
