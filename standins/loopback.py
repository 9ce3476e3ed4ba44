"""Test doubles of all peers of a control-plane server, on loopback sockets.

They are the endpoint registry with its watch, proxies with tables, a collector that reports the load of
endpoints, and endpoints that respond. Examples, benchmarks and tests build small installations from them.
"""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

KEEPALIVE_INTERVAL_S = 2  # time between the empty lines that keep a watch alive
RECONNECT_DELAY_S = 0.2
MAX_CHANGES = 1000  # number of the latest changes that are kept for watches that fall behind


class LoopbackRegistry:
    """An endpoint registry: it serves the endpoint list, and watches that report its changes.

    `watch_count` is the number of watches that were opened in total.
    """

    def __init__(self, entries: list[dict[str, Any]]):
        self.entries = {entry["uid"]: entry for entry in entries}
        self.revision = 1
        # The revision and the changed entry of each change.
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.change_condition = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.watch_count = 0

    async def start(self, port: int = 0) -> "LoopbackRegistry":
        """Listen on a port; with port 0 the system chooses one."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return self

    @property
    def address(self) -> str:
        """The address of the registry as host:port."""
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
            line = ""  # The next line is a keepalive, unless there is a change.
            try:
                await asyncio.wait_for(self._changed_since(sent_revision), KEEPALIVE_INTERVAL_S)
            except TimeoutError:
                continue
            entries = [entry for revision, entry in self.changes if revision > sent_revision]
            sent_revision = self.revision
            line = json.dumps({"rev": self.revision, "all": False, "targets": entries})

    async def _changed_since(self, revision: int) -> None:
        async with self.change_condition:
            await self.change_condition.wait_for(lambda: self.revision > revision)

    async def change_endpoint(self, uid: str, state: str, boot_ms: float = 0) -> float:
        """Change an endpoint's state and notify all watches.

        Args:
            uid: Identifier of the endpoint.
            state: The new state.
            boot_ms: Time of the endpoint's start in milliseconds since 1970, or 0.

        Returns:
            The time of the notification, by the monotonic clock in seconds.
        """
        async with self.change_condition:
            self.revision += 1
            entry = self.entries[uid] | {"state": state, "boot_ms": boot_ms}
            self.entries[uid].update(state=state, boot_ms=boot_ms)
            self.changes = [*self.changes[-MAX_CHANGES:], (self.revision, entry)]
            notified_at = time.monotonic()
            self.change_condition.notify_all()
        return notified_at


def parse_words(line: str) -> dict[str, str]:
    """Return the key=value words of a line of a proxy's stream, without the first word of the line."""
    return dict(word.partition("=")[::2] for word in line.split()[1:])


def update_table(
    words: dict[str, str], table: dict[str, float], ejected_endpoints: set[str]
) -> dict[str, float]:
    """Apply the words of a message to a proxy's table.

    Args:
        words: The words of the message.
        table: The weights by endpoint before the message.
        ejected_endpoints: The ejected endpoints, which are changed in place.

    Returns:
        The weights by endpoint after the message, without those of 0.
    """
    updated_table = {} if "whole" in words else dict(table)
    for pair in words.get("lines", "").split(",") if words.get("lines") else ():
        uid, _, weight = pair.partition(":")
        updated_table[uid] = float(weight)
    ejected_endpoints |= set(filter(None, words.get("out", "").split(",")))
    ejected_endpoints -= set(words.get("back", "").split(","))
    return {uid: weight for uid, weight in updated_table.items() if weight}


def _ignore_line(_proxy: "LoopbackProxy", _line: str) -> None:
    pass


class LoopbackProxy:
    """A proxy that applies and acknowledges the commands of a server, and reconnects when its stream ends."""

    def __init__(
        self,
        server_address: Callable[[], str],
        number: int,
        zone: str,
        nominal_rate: float = 40.0,
        line_callback: Callable[["LoopbackProxy", str], None] = _ignore_line,
    ):
        """Create a proxy; `run` connects it.

        Args:
            server_address: Function that returns the address of the server as host:port.
            number: Number of the proxy.
            zone: Zone of the proxy.
            nominal_rate: Requests per second that the proxy announces.
            line_callback: Function that is called with the proxy and each line, before the line is applied.
        """
        self.server_address = server_address
        self.number = number
        self.zone = zone
        self.nominal_rate = nominal_rate
        self.line_callback = line_callback
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
            await asyncio.sleep(RECONNECT_DELAY_S)

    def apply_line(self, line: str) -> None:
        """Apply a line, and acknowledge it if requested."""
        self.line_callback(self, line)
        words = parse_words(line)
        self.table = update_table(words, self.table, self.ejected_endpoints)
        if "ticket" in words:
            assert self.writer is not None, "lines come on an open stream"
            self.writer.write(f"ACK proxy={self.number} mark={words['ticket']} took_ms=1\r\n".encode())

    def active_weights(self) -> dict[str, float]:
        """Return the weights by endpoint, without those of ejected endpoints."""
        return {uid: weight for uid, weight in self.table.items() if uid not in self.ejected_endpoints}

    def report_demand(self, group: str, requests: int, unanswered: int = 0, window_ms: float = 1000) -> None:
        """Report the requests of a traffic group, or nothing if the proxy is not connected.

        Args:
            group: Name of the traffic group.
            requests: Number of requests in the window.
            unanswered: Number of requests without an answer.
            window_ms: Length of the window.
        """
        if self.writer is not None:
            self.writer.write(
                f"RATE proxy={self.number} class={group} tries={requests} failed={unanswered} "
                f"span_ms={window_ms}\r\n".encode()
            )


class LoadReporter:
    """A collector that reports the load of the endpoints of a zone."""

    def __init__(
        self,
        server_address: Callable[[], str],
        zone: str,
        collect_loads: Callable[[], dict[str, tuple[int, int, float]]],
        interval: float = 1.0,
        endpoint_load: str = "inflight:1",
    ):
        """Create a collector; `run` connects it.

        Args:
            server_address: Function that returns the address of the server as host:port.
            zone: Zone of the endpoints.
            collect_loads: Function that returns, by endpoint, the attempts and the failed attempts since its
                last call, and their mean latency in milliseconds.
            interval: Seconds between reports.
            endpoint_load: The load that is reported of every endpoint.
        """
        self.server_address = server_address
        self.zone = zone
        self.collect_loads = collect_loads
        self.interval = interval
        self.endpoint_load = endpoint_load

    async def run(self) -> None:
        """Report the loads at each interval until cancelled."""
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
                await asyncio.sleep(RECONNECT_DELAY_S)

    def _report(self, writer: asyncio.StreamWriter) -> None:
        for uid, (attempts, failures, mean_ms) in self.collect_loads().items():
            writer.write(
                f"LOAD zone={self.zone} server={uid} tries={attempts} failed={failures} "
                f"span_ms={self.interval * 1000} mean_ms={mean_ms:.1f} load={self.endpoint_load}\r\n".encode()
            )


async def start_endpoint(response_time: Callable[[], float], port: int = 0) -> asyncio.Server:
    """Start an endpoint: an HTTP server that responds after `response_time()` seconds.

    With port 0 the system chooses a port.
    """

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(response_time())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ninflight=1")
        writer.close()

    return await asyncio.start_server(respond, "127.0.0.1", port)


def registry_entry(uid: str, zone: str, port: int = 9, weight: float = 1.0) -> dict[str, Any]:
    """Return the endpoint registry's entry of an endpoint on loopback."""
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
    """Return the configuration of a server of such an installation, with two traffic groups.

    Args:
        registry: Address of the endpoint registry as host:port.
        zones: Names of the zones.
        proxies: Number of proxies.
        listen: Address on which the server listens, as host:port.
        service: Keys of `family-info` that differ from the defaults.
    """
    service_defaults = {
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
        "family-info": service_defaults | service,
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
