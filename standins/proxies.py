"""Proxies with a stream to each of several controllers: they obey the highest term that they have seen.

What every order said, with its time and term, is recorded, so that a checker can read it.
"""

import asyncio
import time
from collections.abc import Callable

from standins.world import obeyed

AGAIN = 0.1  # seconds until a controller that is not there is dialled again


class Stream(asyncio.Protocol):
    def __init__(self, proxy: "FencedProxy", controller: int, ended: Callable):
        self.proxy, self.controller, self.ended, self.rest = proxy, controller, ended, b""
        self.transport = None

    def connection_made(self, transport) -> None:
        self.transport = transport
        p = self.proxy
        transport.write(
            f"SUBSCRIBE proxy={p.number} zone={p.zone} weight={p.usual} fresh={int(not p.table)} "
            f"term={int(p.fences)}\r\n".encode()
        )

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            self.proxy.obey(self, line.decode())

    def connection_lost(self, why) -> None:
        self.ended()


class FencedProxy:
    """`took(proxy, controller, term, words)` is told of each order that is obeyed; `refused` counts the others."""

    def __init__(
        self,
        number: int,
        zone: str,
        controllers: list[str],
        usual: float = 5.0,
        fences: bool = True,
        took: Callable = lambda *_: None,
    ):
        self.number, self.zone, self.usual, self.fences, self.took = number, zone, usual, fences, took
        self.controllers = controllers
        self.term = self.refused = 0
        self.owner: int | None = None
        self.table: dict[str, float] = {}
        self.out: set[str] = set()
        self.levels: dict[str, tuple[float, int]] = {}
        self.whole_at = 0.0  # when the last whole table came
        self.streams: dict[int, Stream] = {}

    async def run(self) -> None:
        await asyncio.gather(*(self._keep(n) for n in range(len(self.controllers))))

    async def _keep(self, controller: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            over = loop.create_future()
            host, _, port = self.controllers[controller].rpartition(":")
            try:
                _, stream = await loop.create_connection(
                    lambda: Stream(self, controller, lambda: over.done() or over.set_result(None)),
                    host,
                    int(port),
                )
                self.streams[controller] = stream
                await over
            except OSError:
                pass
            self.streams.pop(controller, None)
            await asyncio.sleep(AGAIN)

    def obey(self, stream: Stream, line: str) -> None:
        said = dict(word.partition("=")[::2] for word in line.split()[1:])
        term = int(said.get("term", 0))
        if self.fences and term < self.term:
            self.refused += 1
            return
        self.term, self.owner = max(self.term, term), stream.controller
        if "whole" in said:
            self.levels, self.whole_at = {}, time.monotonic()
        self.table = obeyed(said, self.table, self.out)
        if "level" in said:
            for group in said.get("classes", "*").split("+"):
                self.levels[group] = (float(said["level"]), int(said["retry"]))
        if "ticket" in said:
            stream.transport.write(f"ACK proxy={self.number} mark={said['ticket']} took_ms=1\r\n".encode())
        self.took(self, stream.controller, term, said)

    def usage(self, group: str, flows: int, unanswered: int = 0) -> None:
        for stream in self.streams.values():
            stream.transport.write(
                f"RATE proxy={self.number} class={group} tries={flows} failed={unanswered} "
                f"span_ms=1000\r\n".encode()
            )
