"""Test doubles of all that a control-plane server talks to, on loopback sockets.

The endpoint registry with its watch, proxies that hold tables, a collector that reports their load, and
endpoints that answer: a small installation for examples, benchmarks and tests.
"""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

KEEPALIVE_INTERVAL = 2  # seconds between empty lines of a watch
RECONNECT_DELAY = 0.2  # seconds
MAX_CHANGES = 1000  # that a watch can catch up on


class LoopbackRegistry:
    """The endpoint list and its watch; `change_endpoint` notifies all watches at once."""

    def __init__(self, entries: list[dict[str, Any]]):
        self.entries = {entry["uid"]: entry for entry in entries}
        self.revision = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []  # revision and changed entry
        self.change_condition = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.watch_count = 0  # opened in total

    async def start(self, port: int = 0) -> "LoopbackRegistry":
        """Listen; port 0 is chosen by the system."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return self

    @property
    def address(self) -> str:
        """host:port."""
        assert self.server is not None, "start has not been called"
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            try:
                path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                document = {"rev": self.revision, "all": True, "targets": list(self.entries.values())}
                if "watch=1" not in path:
                    body = json.dumps(document).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    return
                self.watch_count += 1
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                await self._serve_watch(writer, json.dumps(document), self.revision)
            finally:
                writer.close()

    async def _serve_watch(self, writer: asyncio.StreamWriter, line: str, sent_revision: int) -> None:
        while True:
            chunk = line.encode() + b"\n"
            writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
            await writer.drain()
            line = ""  # the keepalive
            try:
                await asyncio.wait_for(self._changed_since(sent_revision), KEEPALIVE_INTERVAL)
            except TimeoutError:
                continue
            entries = [entry for revision, entry in self.changes if revision > sent_revision]
            sent_revision = self.revision
            line = json.dumps({"rev": self.revision, "all": False, "targets": entries})

    async def _changed_since(self, revision: int) -> None:
        async with self.change_condition:
            await self.change_condition.wait_for(lambda: self.revision > revision)

    async def change_endpoint(self, uid: str, state: str, boot_ms: float = 0) -> float:
        """Change an endpoint's state; return the time of the notification, by the monotonic clock."""
        async with self.change_condition:
            self.revision += 1
            entry = self.entries[uid] | {"state": state, "boot_ms": boot_ms}
            self.entries[uid].update(state=state, boot_ms=boot_ms)
            self.changes = [*self.changes[-MAX_CHANGES:], (self.revision, entry)]
            notified_at = time.monotonic()
            self.change_condition.notify_all()
        return notified_at


def parse_words(line: str) -> dict[str, str]:
    """Return the key=value words of a line of a proxy's stream."""
    return dict(word.partition("=")[::2] for word in line.split()[1:])


def update_table(words: dict[str, str], table: dict[str, float], ejected: set[str]) -> dict[str, float]:
    """Return the table after a message's words; `ejected` is changed in place."""
    updated = {} if "whole" in words else dict(table)
    for pair in words.get("lines", "").split(",") if words.get("lines") else ():
        uid, _, weight = pair.partition(":")
        updated[uid] = float(weight)
    ejected |= set(filter(None, words.get("out", "").split(",")))
    ejected -= set(words.get("back", "").split(","))
    return {uid: weight for uid, weight in updated.items() if weight}


def _ignore_line(_proxy: "LoopbackProxy", _line: str) -> None:
    pass


class LoopbackProxy:
    """A proxy's stream: holds the table that it is sent, acknowledges, and reconnects."""

    def __init__(
        self,
        server_address: Callable[[], str],
        number: int,
        zone: str,
        nominal_rate: float = 40.0,
        on_line: Callable[["LoopbackProxy", str], None] = _ignore_line,
    ):
        """`server_address`: returns host:port; `on_line`: called before a line is applied."""
        self.server_address = server_address
        self.number = number
        self.zone = zone
        self.nominal_rate = nominal_rate
        self.on_line = on_line
        self.table: dict[str, float] = {}
        self.ejected_endpoints: set[str] = set()
        self.writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            with contextlib.suppress(ConnectionError, ValueError):
                host, _, port = self.server_address().rpartition(":")
                reader, self.writer = await asyncio.open_connection(host, int(port))
                self.writer.write(
                    f"SUBSCRIBE proxy={self.number} zone={self.zone} weight={self.nominal_rate} "
                    f"fresh={int(not self.table)}\r\n".encode()
                )
                while line := await reader.readline():
                    self.apply_line(line.decode())
            await asyncio.sleep(RECONNECT_DELAY)

    def apply_line(self, line: str) -> None:
        """Apply a line, and acknowledge it if requested."""
        self.on_line(self, line)
        words = parse_words(line)
        self.table = update_table(words, self.table, self.ejected_endpoints)
        if "ticket" in words:
            assert self.writer is not None, "lines come on an open stream"
            self.writer.write(f"ACK proxy={self.number} mark={words['ticket']} took_ms=1\r\n".encode())

    def active_weights(self) -> dict[str, float]:
        """Return the weights of the table without ejected endpoints."""
        return {uid: weight for uid, weight in self.table.items() if uid not in self.ejected_endpoints}

    def report_demand(self, group: str, requests: int, unanswered: int = 0, window_ms: float = 1000) -> None:
        """Report the requests of a traffic group, if connected."""
        if self.writer is not None:
            self.writer.write(
                f"RATE proxy={self.number} class={group} tries={requests} failed={unanswered} "
                f"span_ms={window_ms}\r\n".encode()
            )


class LoadReporter:
    """A collector: reports the load of a zone's endpoints."""

    def __init__(
        self,
        server_address: Callable[[], str],
        zone: str,
        collect_loads: Callable[[], dict[str, tuple[int, int, float]]],
        interval: float = 1.0,
        endpoint_load: str = "inflight:1",
    ):
        """`collect_loads`: returns (attempts, failed, mean ms) by endpoint since its last call; `interval`:
        seconds."""
        self.server_address = server_address
        self.zone = zone
        self.collect_loads = collect_loads
        self.interval = interval
        self.endpoint_load = endpoint_load

    async def run(self) -> None:
        """Report each interval until cancelled."""
        while True:
            try:
                host, _, port = self.server_address().rpartition(":")
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"SOURCE zone={self.zone}\r\n".encode())
                while True:
                    await asyncio.sleep(self.interval)
                    self._report(writer)
                    await writer.drain()
            except (ConnectionError, ValueError):
                await asyncio.sleep(RECONNECT_DELAY)

    def _report(self, writer: asyncio.StreamWriter) -> None:
        for uid, (attempts, failed, mean) in self.collect_loads().items():
            writer.write(
                f"LOAD zone={self.zone} server={uid} tries={attempts} failed={failed} "
                f"span_ms={self.interval * 1000} mean_ms={mean:.1f} load={self.endpoint_load}\r\n".encode()
            )


async def start_endpoint(answer_time: Callable[[], float], port: int = 0) -> asyncio.Server:
    """Start an HTTP server that takes `answer_time()` seconds for each response."""

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(answer_time())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ninflight=1")
        writer.close()

    return await asyncio.start_server(respond, "127.0.0.1", port)


def registry_entry(uid: str, zone: str, port: int = 9, weight: float = 1.0) -> dict[str, Any]:
    """Return the registry's entry of an endpoint on loopback."""
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": zone,
        "model": "toy",
        "pod_group": 0,
        "state": "SERVING",
        "capacity_hint": weight,
        "boot_ms": 0,
    }


_TRAFFIC_GROUPS = (
    {"name": "read", "importance": 1, "objective-ms": 200, "deadline-ms": 1000, "idempotency": "pure"},
    {
        "name": "order",
        "importance": 5,
        "objective-ms": 400,
        "deadline-ms": 2000,
        "idempotency": "side_effect",
    },
)


def server_configuration(
    registry: str, zones: list[str], proxies: int, listen: str = "127.0.0.1:0", **service: Any
) -> dict[str, Any]:
    """Return the configuration of a server in such an installation, with two traffic groups.

    `registry` and `listen`: host:port; `service`: keys of `family-info` to set.
    """
    family = {
        "lines-per-s": 1000,
        "most-waiting": 500,
        "envelope": 3,
        "proxy-count": proxies,
        "by-zone": True,
        "level-kind": "per_second",
        "late-most-ms": 300,
    }
    settings = {
        "azs": zones,
        "balancers": 1,
        "me": 0,
        "kinds": ["toy"],
        "tick-ms": 2,
        "discovery": "on_request",
        "weights": "rough",
        "classes": [dict(group) for group in _TRAFFIC_GROUPS],
        "family-info": family | service,
        "telemetry": {"how": "answers", "columns": ["active"]},
        "limits": {"probing": True, "dial-timeout-ms": 250, "peer_messages": False},
        "rules": {"cold_share": 0.2, "fall_multiple": 4, "warm_after_ms": 15000},
    }
    return {
        "name": "toy",
        "listen": listen,
        "discovery": registry,
        "seed": "1f",
        "limits": {"cores": 1, "memory_mb": 128, "sockets": 1024},
        "settings": settings,
    }
