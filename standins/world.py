"""What a pilot lives among, all on loopback: discovery with its watch, proxies that hold tables, their collector,
and endpoints that answer. A small installation for examples, benchmarks and tests."""

import asyncio
import json
import time
from collections.abc import Callable


class Discovery:
    """The list and its watch; `change` tells it at once to all who watch."""

    def __init__(self, entries: list[dict]):
        self.entries = {entry["uid"]: entry for entry in entries}
        self.rev, self.changes, self.changed = 1, [], asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.watches = 0

    async def start(self, port: int = 0) -> "Discovery":
        self.server = await asyncio.start_server(self._asked, "127.0.0.1", port)
        return self

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _asked(self, reader, writer) -> None:
        try:
            asked = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            whole = {"rev": self.rev, "all": True, "targets": list(self.entries.values())}
            if "watch=1" not in asked:
                body = json.dumps(whole).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            self.watches += 1
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self._watch(writer, json.dumps(whole), self.rev)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _watch(self, writer, said: str, seen: int) -> None:
        while True:
            text = said.encode() + b"\n"
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            said = ""
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(lambda: self.rev > seen), 2)
            except TimeoutError:
                continue  # an empty line every 2 s
            news = [entry for rev, entry in self.changes if rev > seen]
            seen, said = self.rev, json.dumps({"rev": self.rev, "all": False, "targets": news})

    async def change(self, uid: str, state: str, boot_ms: float = 0) -> float:
        """Gives the time at which it was told, by the monotonic clock."""
        async with self.changed:
            self.rev += 1
            entry = self.entries[uid] | {"state": state, "boot_ms": boot_ms}
            self.entries[uid].update(state=state, boot_ms=boot_ms)
            self.changes = self.changes[-1000:] + [(self.rev, entry)]
            at = time.monotonic()
            self.changed.notify_all()
        return at


def obeyed(said: dict[str, str], table: dict[str, float], out: set[str]) -> dict[str, float]:
    """The table after an order's words; `out` is changed in place."""
    table = {} if "whole" in said else dict(table)
    for pair in said.get("lines", "").split(",") if said.get("lines") else ():
        uid, _, weight = pair.partition(":")
        table[uid] = float(weight)
    out |= set(filter(None, said.get("out", "").split(",")))
    out -= set(said.get("back", "").split(","))
    return {uid: weight for uid, weight in table.items() if weight}


class Proxy:
    """One proxy's stream: holds what it is ordered, answers marks, dials again."""

    def __init__(
        self,
        pilot: Callable[[], str],
        number: int,
        zone: str,
        usual: float = 40.0,
        heard: Callable[["Proxy", str], None] = lambda proxy, line: None,
    ):
        self.pilot, self.number, self.zone, self.usual, self.heard = pilot, number, zone, usual, heard
        self.table: dict[str, float] = {}
        self.out: set[str] = set()
        self.writer = None

    async def run(self) -> None:
        while True:
            try:
                host, _, port = self.pilot().rpartition(":")
                reader, self.writer = await asyncio.open_connection(host, int(port))
                self.writer.write(
                    f"SUBSCRIBE proxy={self.number} zone={self.zone} weight={self.usual} "
                    f"fresh={int(not self.table)}\r\n".encode()
                )
                while line := await reader.readline():
                    self.obey(line.decode())
            except (ConnectionError, ValueError):
                pass
            await asyncio.sleep(0.2)

    def obey(self, line: str) -> None:
        self.heard(self, line)
        said = dict(word.partition("=")[::2] for word in line.split()[1:])
        self.table = obeyed(said, self.table, self.out)
        if "ticket" in said:
            self.writer.write(f"ACK proxy={self.number} mark={said['ticket']} took_ms=1\r\n".encode())

    def lines(self) -> dict[str, float]:
        return {uid: weight for uid, weight in self.table.items() if uid not in self.out}

    def usage(self, group: str, flows: int, unanswered: int = 0, span_ms: float = 1000) -> None:
        if self.writer is not None:
            self.writer.write(
                f"RATE proxy={self.number} class={group} tries={flows} failed={unanswered} "
                f"span_ms={span_ms}\r\n".encode()
            )


class Collector:
    """A zone's late sums; `sums()` gives {uid: (tries, failed, mean ms)} since it was last asked."""

    def __init__(
        self,
        pilot: Callable[[], str],
        zone: str,
        sums: Callable[[], dict],
        every: float = 1.0,
        load: str = "inflight:1",
    ):
        self.pilot, self.zone, self.sums, self.every, self.load = pilot, zone, sums, every, load

    async def run(self) -> None:
        while True:
            try:
                host, _, port = self.pilot().rpartition(":")
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"SOURCE zone={self.zone}\r\n".encode())
                while True:
                    await asyncio.sleep(self.every)
                    for uid, (tries, failed, mean) in self.sums().items():
                        writer.write(
                            f"LOAD zone={self.zone} server={uid} tries={tries} failed={failed} "
                            f"span_ms={self.every * 1000} mean_ms={mean:.1f} load={self.load}\r\n".encode()
                        )
                    await writer.drain()
            except (ConnectionError, ValueError):
                await asyncio.sleep(0.2)


async def endpoint(answer: Callable[[], float], port: int = 0) -> asyncio.Server:
    """An HTTP server that takes `answer()` seconds for each answer."""

    async def asked(reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(answer())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ninflight=1")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    return await asyncio.start_server(asked, "127.0.0.1", port)


def entry(uid: str, zone: str, port: int = 9, weight: float = 1.0) -> dict:
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


def configuration(
    discovery: str, zones: list[str], proxies: int, listen: str = "127.0.0.1:0", **service
) -> dict:
    """A pilot's configuration for such a world; two traffic groups."""
    return {
        "name": "toy",
        "listen": listen,
        "discovery": discovery,
        "seed": "1f",
        "limits": {"cores": 1, "memory_mb": 128, "sockets": 1024},
        "settings": {
            "azs": zones,
            "balancers": 1,
            "me": 0,
            "kinds": ["toy"],
            "tick-ms": 2,
            "discovery": "on_request",
            "weights": "rough",
            "classes": [
                {
                    "name": "read",
                    "importance": 1,
                    "objective-ms": 200,
                    "deadline-ms": 1000,
                    "idempotency": "pure",
                },
                {
                    "name": "order",
                    "importance": 5,
                    "objective-ms": 400,
                    "deadline-ms": 2000,
                    "idempotency": "side_effect",
                },
            ],
            "family-info": {
                "lines-per-s": 1000,
                "most-waiting": 500,
                "envelope": 3,
                "proxy-count": proxies,
                "by-zone": True,
                "level-kind": "per_second",
                "late-most-ms": 300,
            }
            | service,
            "telemetry": {"how": "answers", "columns": ["active"]},
            "limits": {"probing": True, "dial-timeout-ms": 250, "peer_messages": False},
            "rules": {"cold_share": 0.2, "fall_multiple": 4, "warm_after_ms": 15000},
        },
    }
