"""Stand-ins for the review: the registry, the control channel, proxies, endpoints and collectors.

They follow the users' pages: `WIRE` and `PROTOCOL` for messages and rules, the site's brief for sizes. They
run in one event loop. The control-plane servers run as processes of their own, started with the `run` command
of the deploy file. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from collections import defaultdict, deque
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple, TextIO

ROOT = Path(__file__).resolve().parent.parent
KEEPALIVE_S = 2.0
# The rules on sockets allow this much more than the settings.
SOCKET_ALLOWANCE_S = 0.3
# Chance: a window of the rule on cold endpoints may exceed its budget by this share.
CHANCE = 0.1


class Site(NamedTuple):
    """The figures of one deployment; times in seconds."""

    name: str
    zones: tuple[str, ...]
    servers: int
    proxies: int
    classes: tuple[dict[str, Any], ...]
    class_shares: tuple[float, ...]
    class_work: tuple[float, ...]
    load: float
    cores: int
    speed: float
    slots_per_core: float
    queue_per_core: float
    cold_share: float
    warm_after: float
    fall_multiple: float
    fall_for: float
    drain_grace: float
    bare: float
    lines_per_s: float
    most_waiting: int
    messages_most: int
    late: float
    pick: str
    outlier_after: int
    outlier_for: float
    redial: tuple[float, float]
    report_delay: float
    columns: tuple[str, ...]
    list_period: float

    def settings(self, me: int) -> dict[str, Any]:
        """Return the settings that the configuration of server `me` contains."""
        return {
            "azs": list(self.zones),
            "balancers": self.servers,
            "me": me,
            "classes": [dict(entry) for entry in self.classes],
            "discovery": "on_request",
            "family": "control",
            "family-info": {
                "bare-ms": self.bare * 1000,
                "base-mode": 1,
                "by-zone": True,
                "counted-over-ms": 10000.0,
                "default-size": 5,
                "envelope": 3.0,
                "hears-per-s": 120.0,
                "home-only": [False] * len(self.classes),
                "interval-ms": 1000.0,
                "late-most-ms": self.late * 2500,
                "late-ms": self.late * 1000,
                "level-kind": "per_second",
                "lines-per-s": self.lines_per_s,
                "messages-most": self.messages_most,
                "most-waiting": self.most_waiting,
                "outlier-after": self.outlier_after,
                "pick": self.pick,
                "proxy-count": self.proxies,
                "slices": 0,
                "sole-owner": False,
            },
            "kinds": ["k4"],
            "limits": {"dial-timeout-ms": 250.0, "peer-messages": False, "probing": True},
            "rules": {
                "ask-within-ms": 10000.0,
                "cold-share": self.cold_share,
                "drain-grace-ms": self.drain_grace * 1000,
                "fall-multiple": self.fall_multiple,
                "overload-for-ms": self.fall_for * 1000,
                "warm-after-ms": self.warm_after * 1000,
            },
            "telemetry": {"columns": list(self.columns), "how": "answers"},
            "tick-ms": 2.0,
            "weights": "rough",
            "zone": me,
        }


class Record:
    """The record of a run: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path):
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Endpoint:
    """An endpoint: cores that work through a queue, with a share of its capacity while it is cold."""

    def __init__(self, uid: str, zone: str, site: Site, cold_from: float):
        self.uid = uid
        self.zone = zone
        self.site = site
        self.cold_from = cold_from
        self.is_up = True
        self.is_silent = False
        self.booted_at: float | None = None
        self.running = 0
        self.waiting: deque[tuple[float, asyncio.Future[str]]] = deque()
        self.generation = 0
        # Of each attempt since the start: its time, its work and whether it counts as knowing of the start.
        self.sent: list[tuple[float, float, bool]] = []

    def capacity(self, now: float) -> float:
        """Return the work (core seconds at speed 1) that the endpoint can do in a second."""
        full = self.site.cores * self.site.speed
        if self.booted_at is None:
            return full
        share = self.cold_from + (1 - self.cold_from) * (now - self.booted_at) / self.site.warm_after
        return full * min(1.0, share)

    def stop(self, silent: bool = False) -> None:
        """Die, or fall silent; all that is running or waiting is lost."""
        self.is_up = False
        self.is_silent = silent
        self.generation += 1
        self.running = 0
        for _, answer in self.waiting:
            if not answer.done() and not silent:
                answer.set_result("reset")
        self.waiting.clear()

    def start(self, now: float) -> None:
        """Start cold."""
        self.is_up = True
        self.is_silent = False
        self.booted_at = now
        self.sent.clear()

    def submit(self, work: float, now: float) -> asyncio.Future[str]:
        """Take an attempt; the future becomes `ok`, `full`, `refused` or `reset`, or stays open."""
        answer: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        site = self.site
        if not self.is_up:
            if not self.is_silent:
                answer.set_result("refused")
        elif self.running < site.cores:
            self._run(work, answer, now)
        elif self.running + len(self.waiting) >= site.cores * (site.slots_per_core + site.queue_per_core):
            answer.set_result("full")
        else:
            self.waiting.append((work, answer))
        return answer

    def _run(self, work: float, answer: asyncio.Future[str], now: float) -> None:
        self.running += 1
        duration = work * self.site.cores / self.capacity(now)
        asyncio.get_running_loop().call_later(duration, self._finish, answer, self.generation, now + duration)

    def _finish(self, answer: asyncio.Future[str], generation: int, now: float) -> None:
        if generation != self.generation:
            return
        self.running -= 1
        if not answer.done():
            answer.set_result("ok")
        while self.waiting and self.running < self.site.cores:
            work, next_answer = self.waiting.popleft()
            # An attempt whose time-out has passed is not begun.
            if not next_answer.done():
                self._run(work, next_answer, now)


class Registry:
    """The registry of endpoints, with the whole list as a watch's first line and then its changes."""

    def __init__(self, world: World):
        self.world = world
        self.entries: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.pending: dict[str, dict[str, Any]] = {}
        self.watches: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None
        self.address = ""
        # When the registry first wrote to a server that an endpoint drains or is gone, or started anew.
        self.told_leaving: dict[str, float] = {}
        self.told_start: dict[str, float] = {}

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def add(self, endpoint: Endpoint, boot_ms: float = 0) -> dict[str, Any]:
        """Return a new entry for an endpoint, which is added to the list."""
        entry = {
            "uid": endpoint.uid,
            "endpoint": "127.0.0.1:9",
            "az": endpoint.zone,
            "model": "k4",
            "pod_group": 0,
            "state": "SERVING",
            "capacity_hint": float(self.world.site.cores),
            "boot_ms": boot_ms,
        }
        self.entries[endpoint.uid] = entry
        return entry

    def document(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"rev": self.revision, "all": True, "targets": list(self.entries.values())}

    def change(self, uid: str, state: str, boot_ms: float | None = None) -> None:
        """Note a change, which is written to all watches with the next list."""
        endpoint = self.world.endpoints[uid]
        entry = self.entries.get(uid) or self.add(endpoint)
        entry = entry | {"state": state} | ({} if boot_ms is None else {"boot_ms": boot_ms})
        self.pending[uid] = entry

    async def publish(self) -> None:
        """Write the changes of each period to all watches, until cancelled."""
        idle = 0.0
        while True:
            await asyncio.sleep(self.world.site.list_period)
            idle += self.world.site.list_period
            if self.pending:
                self._publish_changes()
                idle = 0.0
            elif idle >= KEEPALIVE_S:
                self._write_line("")
                idle = 0.0

    def _publish_changes(self) -> None:
        world = self.world
        self.revision += 1
        entries = list(self.pending.values())
        self.pending = {}
        for entry in entries:
            uid, state = entry["uid"], entry["state"]
            if state == "DELETED":
                self.entries.pop(uid, None)
            else:
                self.entries[uid] = entry
            if state == "SERVING":
                self.told_leaving.pop(uid, None)
                if entry["boot_ms"]:
                    self.told_start[uid] = world.record.now()
            else:
                self.told_leaving.setdefault(uid, world.record.now())
            world.record.write(f"registry lists {uid} {entry['az']} {state} boot_ms={entry['boot_ms']:.0f}")
        self._write_line(json.dumps({"rev": self.revision, "all": False, "targets": entries}))

    def _write_line(self, line: str) -> None:
        chunk = line.encode() + b"\n"
        for writer in list(self.watches):
            if writer.is_closing():
                self.watches.remove(writer)
            else:
                writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            line = json.dumps(self.document()).encode()
            if "watch=1" not in path:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line))
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            self.watches.append(writer)
            await reader.read()


class Message(NamedTuple):
    """One message of the channel: the proxy, its parts, its lines and when its last byte came."""

    proxy: Proxy
    stream: int
    parts: list[dict[str, str]]
    lines: float
    received_at: float


class Channel:
    """A server's control channel: messages leave one after another and arrive late, in order."""

    def __init__(self, world: World):
        self.world = world
        self.queue: deque[Message] = deque()
        self.has_message = asyncio.Event()
        self.longest_queue = 0.0

    def waiting(self) -> float:
        """Return the lines that wait, headers included."""
        return sum(message.lines for message in self.queue)

    def add(self, message: Message) -> None:
        """Take a message."""
        self.queue.append(message)
        self.longest_queue = max(self.longest_queue, self.waiting())
        self.has_message.set()

    def drop(self, proxy: Proxy) -> None:
        """Lose what waits for a proxy whose stream broke."""
        self.queue = deque(message for message in self.queue if message.proxy is not proxy)

    async def run(self) -> None:
        """Send messages until cancelled."""
        site = self.world.site
        free_at = 0.0
        while True:
            if not self.queue:
                self.has_message.clear()
                await self.has_message.wait()
                free_at = max(free_at, self.world.record.now())
            message = self.queue[0]
            free_at += message.lines / site.lines_per_s
            await asyncio.sleep(max(0.0, free_at - self.world.record.now()))
            if self.queue and self.queue[0] is message:
                self.queue.popleft()
                late = self.world.random.uniform(0.4, 1.6) * site.late
                message.proxy.deliver(message, late)


class Server:
    """One control-plane server as a process, with its channel."""

    def __init__(self, world: World, number: int):
        self.world = world
        self.number = number
        self.channel = Channel(world)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port: int = probe.getsockname()[1]
        self.process: asyncio.subprocess.Process | None = None
        self.exit_code: int | None = None

    async def start(self, folder: Path) -> None:
        """Start the process with the `run` command of the deploy file and wait until it answers."""
        world = self.world
        listen = f"127.0.0.1:{self.port}"
        configuration = {
            "name": f"n{self.number}",
            "listen": listen,
            "discovery": world.registry.address,
            "seed": f"{world.seed:x}{self.number}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": world.registry.document(),
            "settings": world.site.settings(self.number),
        }
        path = folder / f"config-{self.number}.json"
        path.write_text(json.dumps(configuration), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environment = os.environ | {
            "RELAY_NAME": f"n{self.number}",
            "RELAY_LISTEN": listen,
            "RELAY_DISCOVERY": world.registry.address,
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(folder),
        }
        log = (folder / f"server-{self.number}.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        for _ in range(100):
            await asyncio.sleep(0.1)
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"PONG\r\n":
                    world.record.write(f"server {self.number} answers at {listen}")
                    return
        raise RuntimeError(f"server {self.number} did not answer")

    async def stop(self) -> None:
        """End the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 2)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


def count_lines(parts: list[dict[str, str]]) -> float:
    """Return the lines that the channel counts for a message, its header included."""
    lines = 3.0
    for words in parts:
        lines += sum(name in words for name in ("whole", "level", "ticket"))
        lines += sum(len(words[name].split(",")) for name in ("lines", "out", "back") if name in words)
    return lines


class Proxy:
    """A proxy: it follows its table, its levels and the commands of the server that it has joined."""

    def __init__(self, world: World, number: int, zone: str, rate: float, server: Server):
        self.world = world
        self.number = number
        self.zone = zone
        self.rate = rate
        self.server = server
        self.table: dict[str, float] = {}
        self.ejected: set[str] = set()
        self.levels: dict[str, float] = {}
        self.is_fresh = True
        self.is_running = True
        self.joined_at: float | None = None
        self.stream = 0
        self.writer: asyncio.StreamWriter | None = None
        self.message_times: deque[float] = deque()
        self.most_messages = 0
        self.arrives_at = 0.0
        self.underway: deque[Message] = deque()
        self.last_message_at = -1.0
        self.credits: dict[str, float] = defaultdict(float)
        self.failures: dict[str, int] = defaultdict(int)
        self.avoided_until: dict[str, float] = {}
        self.outstanding: dict[str, int] = defaultdict(int)
        self.buckets: dict[str, tuple[float, float]] = {}
        self.requests: dict[str, int] = defaultdict(int)
        self.unanswered: dict[str, int] = defaultdict(int)

    # The stream

    def draw_standing_table(self) -> None:
        """Start anew with up to five listed endpoints, drawn by chance, of the zone if three are there."""
        listed = [uid for uid, entry in self.world.registry.entries.items() if entry["state"] == "SERVING"]
        own = [uid for uid in listed if self.world.endpoints[uid].zone == self.zone]
        candidates = own if len(own) >= 3 else listed
        drawn = self.world.random.sample(candidates, min(5, len(candidates)))
        self.table = dict.fromkeys(drawn, 1.0)
        self.ejected = set()
        self.levels = {}
        self.is_fresh = True

    async def connect(self) -> None:
        """Join the server, and apply what it writes until the stream ends."""
        world = self.world
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.writer = writer
        self.stream += 1
        writer.write(
            f"SUBSCRIBE proxy={self.number} zone={self.zone} weight={self.rate:.2f} "
            f"fresh={int(self.is_fresh)}\r\n".encode()
        )
        self.joined_at = world.record.now()
        self.message_times.clear()
        world.record.write(f"proxy {self.number} {self.zone} joins server {self.server.number}")
        parts: list[dict[str, str]] = []
        stream = self.stream
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                if stream != self.stream:
                    return
                words = dict(word.partition("=")[::2] for word in line.decode().split()[1:])
                parts.append(words)
                if "more" not in words:
                    self._receive(parts)
                    parts = []
        if stream == self.stream:
            self.leave("its stream ended")

    def _receive(self, parts: list[dict[str, str]]) -> None:
        world = self.world
        now = world.record.now()
        text = " | ".join(" ".join(f"{name}={value}" for name, value in words.items()) for words in parts)
        world.record.write(f"proxy {self.number} receives {text}")
        self.message_times.append(now)
        while self.message_times[0] <= now - 10.0:
            self.message_times.popleft()
        self.most_messages = max(self.most_messages, len(self.message_times))
        limit = world.site.messages_most
        if limit and len(self.message_times) > limit:
            world.broken("messages", f"proxy {self.number}: {len(self.message_times)} messages within 10 s")
        self.server.channel.add(Message(self, self.stream, parts, count_lines(parts), now))

    def deliver(self, message: Message, late: float) -> None:
        """Apply a message that has left the channel after its way, in order."""
        now = self.world.record.now()
        self.arrives_at = max(self.arrives_at, now + late)
        self.underway.append(message)
        asyncio.get_running_loop().call_later(self.arrives_at - now, self._apply_next)

    def _apply_next(self) -> None:
        message = self.underway.popleft()
        if message.stream != self.stream or self.joined_at is None or self.writer is None:
            return
        self.is_fresh = False
        self.last_message_at = message.received_at
        took_ms = (self.world.record.now() - message.received_at) * 1000
        for words in message.parts:
            if "whole" in words:
                self.table = {}
                self.levels = {}
            for pair in words["lines"].split(",") if "lines" in words else ():
                uid, _, weight = pair.partition(":")
                self.table[uid] = float(weight)
            self.table = {uid: weight for uid, weight in self.table.items() if weight > 0}
            self.ejected |= set(words["out"].split(",")) if "out" in words else set()
            self.ejected -= set(words["back"].split(",")) if "back" in words else set()
            names = words["classes"].split("+") if "classes" in words else list(self.world.class_names)
            if "level" in words:
                self.levels.update(dict.fromkeys(names, float(words["level"])))
            if "ticket" in words:
                self.writer.write(
                    f"ACK proxy={self.number} mark={words['ticket']} took_ms={took_ms:.1f}\r\n".encode()
                )

    def leave(self, why: str) -> None:
        """Lose the stream; what waits in the channel for it is lost, tables are kept."""
        if self.joined_at is None:
            return
        self.world.record.write(f"proxy {self.number} has left: {why}")
        self.joined_at = None
        self.stream += 1
        self.server.channel.drop(self)
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None

    def report(self) -> None:
        """Report the requests of the last second on the stream."""
        for name in self.world.class_names:
            if self.writer is not None and self.joined_at is not None:
                self.writer.write(
                    f"RATE proxy={self.number} class={name} tries={self.requests[name]} "
                    f"failed={self.unanswered[name]} span_ms=1000.0\r\n".encode()
                )
        self.requests.clear()
        self.unanswered.clear()

    # Requests

    def _is_admitted(self, name: str, now: float) -> bool:
        level = self.levels.get(name)
        if level is None:
            return True
        tokens, filled_at = self.buckets.get(name, (1.0, now))
        tokens = min(max(1.0, level), tokens + (now - filled_at) * level)
        is_admitted = tokens >= 1
        self.buckets[name] = (tokens - is_admitted, now)
        return is_admitted

    def lines(self) -> dict[str, float]:
        """Return the lines that the proxy may pick, by weight."""
        return {uid: weight for uid, weight in self.table.items() if uid not in self.ejected}

    def _pick(self, now: float, excluded: str | None) -> str | None:
        lines = {uid: weight for uid, weight in self.lines().items() if uid != excluded}
        lines = {uid: w for uid, w in lines.items() if self.avoided_until.get(uid, 0) <= now} or lines
        if not lines:
            return None
        if self.world.site.pick == "p2c":
            first, second = self.world.random.choices(list(lines), list(lines.values()), k=2)
            return min(first, second, key=lambda uid: self.outstanding[uid])
        total = sum(lines.values())
        for uid, weight in lines.items():
            self.credits[uid] += weight
        chosen = max(lines, key=lambda uid: self.credits[uid])
        self.credits[chosen] -= total
        return chosen

    async def serve_requests(self) -> None:
        """Send requests at the proxy's rate until cancelled."""
        world = self.world
        due_at = world.record.now()
        while True:
            due_at += world.random.expovariate(self.rate * world.traffic)
            await asyncio.sleep(max(0.0, due_at - world.record.now()))
            if self.is_running:
                world.background(self._handle_request())

    async def _handle_request(self) -> None:
        world = self.world
        group = world.random.choices(range(len(world.class_names)), world.site.class_shares)[0]
        name = world.class_names[group]
        self.requests[name] += 1
        if not self._is_admitted(name, world.record.now()):
            world.totals["rejected"] += 1
            return
        work = world.site.class_work[group] * world.random.uniform(0.5, 1.5)
        deadline = world.site.classes[group]["deadline-ms"] / 1000 * 0.7
        first = await self._attempt(None, work, deadline)
        if first is None:
            world.totals["no endpoint"] += 1
            return
        result = first[1]
        if result == "refused":  # proof that the first attempt never ran
            second = await self._attempt(first[0], work, deadline)
            result = second[1] if second is not None else result
        world.totals[result] += 1
        if result != "ok":
            self.unanswered[name] += 1

    async def _attempt(self, excluded: str | None, work: float, deadline: float) -> tuple[str, str] | None:
        world = self.world
        now = world.record.now()
        uid = self._pick(now, excluded)
        if uid is None:
            return None
        endpoint = world.endpoints[uid]
        world.check_attempt(self, endpoint, work, now)
        self.outstanding[uid] += 1
        answer = endpoint.submit(work, now)
        # A machine that is silent lets no new connection come up.
        time_out = 0.25 if endpoint.is_silent else deadline
        try:
            result = await asyncio.wait_for(answer, time_out)
        except TimeoutError:
            result = "refused" if endpoint.is_silent else "timeout"
        self.outstanding[uid] -= 1
        statistics = world.statistics[self.server.number, self.zone, uid]
        statistics[0] += 1
        if result == "ok":
            statistics[2] += world.record.now() - now
            self.failures[uid] = 0
        else:
            statistics[1] += 1
            self.failures[uid] += 1
            if world.site.outlier_after and self.failures[uid] >= world.site.outlier_after:
                self.avoided_until[uid] = world.record.now() + world.site.outlier_for
                self.failures[uid] = 0
        return uid, result


class World:
    """One deployment: the registry, servers, proxies, endpoints, collectors and the checks of the rules."""

    def __init__(self, site: Site, record: Record, seed: int):
        self.site = site
        self.record = record
        self.seed = seed
        self.random = random.Random(seed)
        self.class_names = [entry["name"] for entry in site.classes]
        self.registry = Registry(self)
        self.endpoints: dict[str, Endpoint] = {}
        self.servers: list[Server] = []
        self.proxies: list[Proxy] = []
        self.traffic = 1.0
        self.statistics: dict[tuple[int, str, str], list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
        self.totals: dict[str, int] = defaultdict(int)
        self.breaks: dict[str, list[str]] = defaultdict(list)
        self.worst: dict[str, float] = defaultdict(float)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.first_report_at: float | None = None

    # Construction

    def add_endpoint(self, zone: str, cold_from: float) -> Endpoint:
        """Add an endpoint under a new name; the registry does not list it yet."""
        endpoint = Endpoint(f"s-{len(self.endpoints):03d}", zone, self.site, cold_from)
        self.endpoints[endpoint.uid] = endpoint
        return endpoint

    def add_fleet(self, endpoint_count: int, server_of: Callable[[int, str], int]) -> None:
        """Add listed endpoints, and proxies with a part of the traffic each."""
        site = self.site
        for number in range(endpoint_count):
            self.registry.add(self.add_endpoint(site.zones[number % len(site.zones)], site.cold_share))
        work = sum(share * mean for share, mean in zip(site.class_shares, site.class_work, strict=True))
        total_rate = site.load * endpoint_count * site.cores * site.speed / work
        weights = [self.random.uniform(0.6, 1.4) for _ in range(site.proxies)]
        for number, weight in enumerate(weights):
            zone = site.zones[number % len(site.zones)]
            server = self.servers[server_of(number, zone)]
            self.proxies.append(Proxy(self, number, zone, total_rate * weight / sum(weights), server))
        self.record.write(f"{endpoint_count} endpoints, {site.proxies} proxies, {total_rate:.0f} requests/s")

    def background(self, coroutine: Any) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def later(self, at: float, action: Callable[[], None]) -> None:
        """Call a function at a time of the record."""
        await asyncio.sleep(max(0.0, at - self.record.now()))
        action()

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Have a function called at a time of the record."""
        self.background(self.later(at, action))

    # Events

    def list_later(self, delay: float, uid: str, state: str, boot_ms: float | None = None) -> None:
        """Have the registry know of a change after a delay."""
        self.schedule(self.record.now() + delay, lambda: self.registry.change(uid, state, boot_ms))

    def restart(self, endpoint: Endpoint, listed_after: float) -> None:
        """Start an endpoint cold, and list it a while later."""
        endpoint.start(self.record.now())
        self.record.write(f"endpoint {endpoint.uid} starts cold")
        self.list_later(listed_after, endpoint.uid, "SERVING", time.time() * 1000)

    def drain(self, endpoint: Endpoint, drain_time: float, notice: tuple[float, float]) -> None:
        """Drain an endpoint, and end it after its drain time."""
        self.list_later(self.random.uniform(*notice), endpoint.uid, "DRAINING")

        def end() -> None:
            endpoint.stop()
            self.record.write(f"endpoint {endpoint.uid} has ended")
            self.list_later(self.random.uniform(*notice), endpoint.uid, "DELETED")

        self.schedule(self.record.now() + drain_time, end)

    def join(self, proxy: Proxy) -> None:
        """Have a proxy dial its server."""
        if proxy.joined_at is None and proxy.is_running:
            self.background(proxy.connect())

    # Rules

    def broken(self, rule: str, text: str) -> None:
        """Note that a rule was broken."""
        self.breaks[rule].append(text)
        self.record.write(f"RULE {rule}: {text}")

    def check_attempt(self, proxy: Proxy, endpoint: Endpoint, work: float, now: float) -> None:
        """Check an attempt against the rules on drains and on cold endpoints."""
        told_at = self.registry.told_leaving.get(endpoint.uid)
        if told_at is not None and proxy.joined_at is not None:
            late = now - max(told_at, proxy.joined_at)
            self.worst["drain"] = max(self.worst["drain"], late)
            if late > self.site.drain_grace + SOCKET_ALLOWANCE_S:
                self.broken(
                    "drain", f"proxy {proxy.number} sends to {endpoint.uid} {late:.2f} s after it was told"
                )
        if endpoint.booted_at is not None and now < endpoint.booted_at + self.site.warm_after:
            self._check_cold(proxy, endpoint, work, now)

    def _check_cold(self, proxy: Proxy, endpoint: Endpoint, work: float, now: float) -> None:
        site = self.site
        told_at = self.registry.told_start.get(endpoint.uid)
        is_told = told_at is not None and endpoint.booted_at is not None and told_at >= endpoint.booted_at
        is_knowing = (
            is_told
            and proxy.joined_at is not None
            and told_at is not None
            and (proxy.last_message_at >= told_at or now >= told_at + site.drain_grace + SOCKET_ALLOWANCE_S)
        )
        endpoint.sent.append((now, work, is_knowing))
        window = [entry for entry in endpoint.sent if entry[0] > now - site.fall_for]
        sent_work = sum(entry[1] for entry in window)
        knowing_work = sum(entry[1] for entry in window if entry[2])
        budget = site.fall_multiple * endpoint.capacity(now) * site.fall_for
        if knowing_work >= sent_work * 2 / 3:
            self.worst["cold"] = max(self.worst["cold"], sent_work / budget)
            if sent_work > budget * (1 + CHANCE):
                self.broken(
                    "cold",
                    f"{endpoint.uid}, up for {now - (endpoint.booted_at or 0):.1f} s, was sent "
                    f"{sent_work:.1f} core s within {site.fall_for:g} s, "
                    f"{sent_work / budget * site.fall_multiple:.1f} times what it can do",
                )

    async def check_lines(self) -> None:
        """Check the rule on proxies without an endpoint to pick, until cancelled."""
        since: dict[int, float] = {}
        while True:
            await asyncio.sleep(0.02)
            now = self.record.now()
            for proxy in self.proxies:
                if proxy.joined_at is None or proxy.lines() or not proxy.is_running:
                    since.pop(proxy.number, None)
                    continue
                bare = now - since.setdefault(proxy.number, now)
                self.worst["bare"] = max(self.worst["bare"], bare)
                if bare > self.site.bare + SOCKET_ALLOWANCE_S and self._warm_is_listed(now):
                    self.broken("bare", f"proxy {proxy.number} has had no line to pick for {bare:.2f} s")

    def _warm_is_listed(self, now: float) -> bool:
        return any(
            entry["state"] == "SERVING"
            and now >= (self.endpoints[uid].booted_at or -1e9) + self.site.warm_after
            for uid, entry in self.registry.entries.items()
        )

    # Reports

    async def collect(self, zone: str, server: Server) -> None:
        """Report to a server each second, late, what the proxies of a zone that joined it met."""
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(f"SOURCE zone={zone}\r\n".encode())
        while True:
            await asyncio.sleep(1.0)
            lines = []
            for key, (tries, failed, seconds) in list(self.statistics.items()):
                if key[:2] != (server.number, zone):
                    continue
                del self.statistics[key]
                uid = key[2]
                endpoint = self.endpoints[uid]
                mean = seconds / (tries - failed) * 1000 if tries > failed else 0.0
                load = f"inflight:{endpoint.running + len(endpoint.waiting)}"
                if "waiting" in self.site.columns:
                    load = f"queue:{len(endpoint.waiting)},latency_ms:{mean:.1f}"
                lines.append(
                    f"LOAD zone={zone} server={uid} tries={tries:.0f} failed={failed:.0f} "
                    f"mean_ms={mean:.1f} span_ms=1000.0 load={load}\r\n"
                )
            self.background(self._send_late(writer, "".join(lines)))

    async def _send_late(self, writer: asyncio.StreamWriter, text: str) -> None:
        await asyncio.sleep(self.site.report_delay)
        if text and self.first_report_at is None:
            self.first_report_at = self.record.now()
        with contextlib.suppress(ConnectionError):
            writer.write(text.encode())

    async def report_demand(self) -> None:
        """Have all proxies report their demand each second, until cancelled."""
        while True:
            await asyncio.sleep(1.0)
            for proxy in self.proxies:
                proxy.report()

    # The run

    async def run(self, scenario: Callable[[World], Any]) -> None:
        """Start everything, play a scenario and end everything."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            try:
                await self.registry.start()
                self.background(self.registry.publish())
                for server in self.servers:
                    await server.start(folder)
                    self.background(server.channel.run())
                for proxy in self.proxies:
                    proxy.draw_standing_table()
                    self.join(proxy)
                    self.background(proxy.serve_requests())
                for zone in self.site.zones:
                    for server in self.servers:
                        self.background(self.collect(zone, server))
                self.background(self.report_demand())
                self.background(self.check_lines())
                await scenario(self)
            finally:
                for proxy in self.proxies:
                    proxy.is_running = False
                for server in self.servers:
                    if server.process is not None and server.process.returncode is not None:
                        self.broken("crash", f"server {server.number} ended by itself")
                    await server.stop()
                for task in list(self.tasks):
                    task.cancel()
                for log in sorted(folder.glob("server-*.log")):
                    self.record.write(f"{log.name}:\n{log.read_text(errors='replace')[-3000:]}")


def play(
    folder: Path,
    site: Site,
    endpoint_count: int,
    rule: str,
    server_of: Callable[[int, str], int],
    scenario: Any,
) -> int:
    """Play a case and return its exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder / "record.txt")
    world = World(site, record, int(os.environ.get("SEED", "1")))
    try:
        world.servers = [Server(world, number) for number in range(site.servers)]
        world.add_fleet(endpoint_count, server_of)
        asyncio.run(world.run(scenario))
    except Exception as error:
        record.write(f"the case could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        return 2
    finally:
        counts = {name: len(texts) for name, texts in world.breaks.items()}
        worst = {name: round(value, 2) for name, value in world.worst.items()}
        most = max((proxy.most_messages for proxy in world.proxies), default=0)
        queue = max((server.channel.longest_queue for server in world.servers), default=0.0)
        record.write(
            f"results: broken {counts}, worst {worst}, most messages {most}, longest queue {queue:.0f}"
        )
        record.write(f"requests: {dict(world.totals)}")
        record.close()
    print(
        f"{rule}: broken {len(world.breaks[rule])} times; all rules {counts}; worst {worst}, messages {most}"
    )
    if world.breaks[rule]:
        print(f"first: {world.breaks[rule][0]}")
    return int(bool(world.breaks[rule]))
