"""Stand-ins of proxies with the channel of their server, and of the collectors of reports."""

import asyncio
import contextlib
import random
import time
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Any, NamedTuple

from review.second.record import Record

# A proxy whose stream has ended dials again after a time in this range, in seconds.
REDIAL_S = (0.3, 1.0)
REPORT_INTERVAL_S = 1.0
REPORT_DELAY_S = 0.4


class Send(NamedTuple):
    """A request that a proxy sent to an endpoint, and when its stream had been joined then."""

    at: float
    proxy: int
    uid: str
    group: str
    joined_at: float | None


class Channel:
    """The channel of a server: messages leave it one after the other at its rate.

    Attributes:
        most_waiting: The most lines that have waited in it.
    """

    def __init__(self, lines_per_s: float):
        self.lines_per_s = lines_per_s
        self.most_waiting = 0.0
        self._idle_at = 0.0
        self._waiting: deque[tuple[float, float]] = deque()

    def enter(self, now: float, lines: float) -> float:
        """Add a message of so many lines, and return when it leaves."""
        while self._waiting and self._waiting[0][0] <= now:
            self._waiting.popleft()
        self._idle_at = max(now, self._idle_at) + lines / self.lines_per_s
        self._waiting.append((self._idle_at, lines))
        self.most_waiting = max(self.most_waiting, sum(count for _, count in self._waiting))
        return self._idle_at


class Fleet:
    """What all proxies share: the channel, the endpoints that run, and what was sent to them.

    Attributes:
        sends: The requests that were sent.
        unserved: Time, proxy and class of each request for which there was no line to pick.
        has_been_listed: Whether discovery has ever listed an endpoint, by uid.
        is_answering: Whether an endpoint answers, by uid.
    """

    def __init__(self, configuration: dict[str, Any], record: Record, seed: int):
        self.settings = configuration["settings"]
        self.service = self.settings["family-info"]
        self.channel = Channel(self.service["lines-per-s"])
        self.record = record
        self.random = random.Random(seed)
        self.sends: list[Send] = []
        self.unserved: list[tuple[float, int, str]] = []
        self.has_been_listed: Callable[[str], bool] = lambda _uid: True
        self.is_answering: Callable[[str], bool] = lambda _uid: True
        # tries and failures by zone of the proxies and endpoint
        self.tries: defaultdict[tuple[str, str], list[int]] = defaultdict(lambda: [0, 0])

    def delay(self) -> float:
        """Return the time that a message takes after it has left the channel, in seconds."""
        mean, most = self.service["late-ms"] / 1000, self.service["late-most-ms"] / 1000
        return min(most, self.random.uniform(0.5, 1.5) * mean)


class Proxy:
    """A proxy that does as its tables say; `dial` can be replaced to change its way to the server.

    Attributes:
        joined_at: When the present stream was joined; None without a stream.
        lines: The table: weight by uid, by class.
        shut_out: The endpoints that it was told to shut out.
        levels: The requests per second that it lets in, by class; others are refused.
    """

    def __init__(self, fleet: Fleet, number: int, zone: str, rate: float, standing: list[str], server: str):
        self.fleet = fleet
        self.number = number
        self.zone = zone
        self.rate = rate
        self.server = server
        self.classes = [group["name"] for group in fleet.settings["classes"]]
        self.lines: dict[str, dict[str, float]] = {
            name: dict.fromkeys(standing, 1.0) for name in self.classes
        }
        self.shut_out: set[str] = set()
        self.levels: dict[str, float] = {}
        self.is_fresh = True
        self.joined_at: float | None = None
        self.message_times: list[float] = []
        self.redial_s = REDIAL_S
        self.writer: asyncio.StreamWriter | None = None
        self.counts: defaultdict[str, int] = defaultdict(int)
        self._parts: list[dict[str, str]] = []
        self._applies_at = 0.0
        self._stream = 0

    async def dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the server and join on it."""
        host, _, port = self.server.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(self.join_line())
        return reader, writer

    def join_line(self) -> bytes:
        """Return the message with which this proxy joins."""
        joining = f"proxy={self.number} zone={self.zone} weight={self.rate} fresh={int(self.is_fresh)}"
        return f"SUBSCRIBE {joining}\r\n".encode()

    async def run(self) -> None:
        """Keep a stream open until cancelled."""
        while True:
            with contextlib.suppress(OSError):
                reader, self.writer = await self.dial()
                self._joined()
                while line := await reader.readline():
                    self._take(line.decode(), self._stream)
            self._left()
            await asyncio.sleep(self.fleet.random.uniform(*self.redial_s))

    def _joined(self) -> None:
        self.joined_at = time.monotonic()
        self.message_times = []
        self._stream += 1
        self._parts = []
        self.fleet.record.write("joined", proxy=self.number, fresh=int(self.is_fresh))

    def close(self) -> None:
        """Drop what has not taken effect yet."""
        self._stream += 1

    def _left(self) -> None:
        if self.joined_at is not None:
            self.fleet.record.write("left", proxy=self.number)
        self.joined_at = None
        self._stream += 1
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    def _take(self, line: str, stream: int) -> None:
        kind, *words = line.split()
        if kind != "CONFIG":
            return
        fields = dict(word.partition("=")[::2] for word in words)
        self._parts.append(fields)
        self.fleet.record.write("line", proxy=self.number, text=repr(line.strip()))
        if "more" in fields:
            return
        parts, self._parts = self._parts, []
        now = time.monotonic()
        count = self.fleet.service["envelope"] + sum(count_lines(part) for part in parts)
        leaves_at = self.fleet.channel.enter(now, count)
        self.message_times.append(now)
        # Messages reach a proxy in order, so none takes effect at the moment of the one before it.
        self._applies_at = max(self._applies_at + 0.001, leaves_at + self.fleet.delay())
        self.fleet.record.write("message", proxy=self.number, lines=count)
        loop = asyncio.get_running_loop()
        loop.call_later(self._applies_at - now, self._apply, parts, stream, now)

    def _apply(self, parts: list[dict[str, str]], stream: int, came_at: float) -> None:
        if stream != self._stream or self.writer is None:
            return  # what waits or travels is lost when the stream breaks
        for part in parts:
            self._apply_part(part)
            if "ticket" in part:
                took_ms = 1000 * (time.monotonic() - came_at)
                self.writer.write(
                    f"ACK proxy={self.number} mark={part['ticket']} took_ms={took_ms:.1f}\r\n".encode()
                )
        self.fleet.record.write("applied", proxy=self.number, out=",".join(sorted(self.shut_out)))

    def _apply_part(self, part: dict[str, str]) -> None:
        names = part["classes"].split("+") if "classes" in part else self.classes
        lines = [pair.partition(":")[::2] for pair in part.get("lines", "").split(",") if pair]
        for name in names:
            table = {} if "whole" in part else self.lines[name]
            if "whole" in part:
                self.levels.pop(name, None)
            if "level" in part:
                self.levels[name] = float(part["level"])
            for uid, weight in lines:
                if not self.fleet.has_been_listed(uid):
                    raise ValueError(f"a line names {uid}, which discovery has never listed")
                table[uid] = float(weight)
            self.lines[name] = {uid: weight for uid, weight in table.items() if weight}
        if lines:
            self.is_fresh = False
        self.shut_out |= set(filter(None, part.get("out", "").split(",")))
        self.shut_out -= set(part.get("back", "").split(","))

    def usable_lines(self, name: str) -> dict[str, float]:
        """Return the lines of a class that can be picked."""
        return {uid: weight for uid, weight in self.lines[name].items() if uid not in self.shut_out}

    async def send_requests(self) -> None:
        """Send requests at this proxy's rate until cancelled."""
        fleet = self.fleet
        free_at: dict[str, float] = {}
        while True:
            await asyncio.sleep(fleet.random.expovariate(self.rate))
            name = fleet.random.choice(self.classes)
            self.counts[name] += 1
            lines = self.usable_lines(name)
            now = time.monotonic()
            if name in self.levels:
                if free_at.get(name, now) > now:
                    continue
                free_at[name] = max(free_at.get(name, now), now - 1) + 1 / max(self.levels[name], 1e-6)
            if not lines:
                fleet.unserved.append((now, self.number, name))
                fleet.record.write("refused", proxy=self.number, group=name)
                continue
            uid = fleet.random.choices(list(lines), list(lines.values()))[0]
            is_answered = fleet.is_answering(uid)
            fleet.sends.append(Send(now, self.number, uid, name, self.joined_at))
            tries = fleet.tries[self.zone, uid]
            tries[0] += 1
            tries[1] += not is_answered
            fleet.record.write("sent", proxy=self.number, to=uid, group=name, answered=int(is_answered))

    async def report_requests(self) -> None:
        """Report the requests that came, each second, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            counts, self.counts = self.counts, defaultdict(int)
            if self.writer is not None:
                for name, count in counts.items():
                    usage = f"proxy={self.number} class={name} tries={count} failed=0 span_ms=1000.0"
                    self.writer.write(f"RATE {usage}\r\n".encode())


def count_lines(part: dict[str, str]) -> int:
    """Return how many lines a part of a message counts."""
    lists = sum(
        len([item for item in part.get(name, "").split(",") if item]) for name in ("lines", "out", "back")
    )
    return lists + ("whole" in part) + ("level" in part) + ("ticket" in part)


async def report_loads(fleet: Fleet, zone: str, server: str) -> None:
    """Report, as the collector of a zone, what its proxies met at the endpoints, until cancelled."""
    while True:
        with contextlib.suppress(OSError):
            host, _, port = server.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"SOURCE zone={zone}\r\n".encode())
            while True:
                await asyncio.sleep(REPORT_INTERVAL_S)
                for key in [key for key in fleet.tries if key[0] == zone]:
                    tries, failed = fleet.tries.pop(key)
                    mean = f" mean_ms={fleet.random.uniform(150, 250):.1f}" if failed < tries else ""
                    writer.write(
                        f"LOAD zone={zone} server={key[1]} tries={tries} failed={failed}{mean} "
                        "span_ms=1000.0 load=inflight:2\r\n".encode()
                    )
                await writer.drain()
        await asyncio.sleep(REPORT_DELAY_S)
