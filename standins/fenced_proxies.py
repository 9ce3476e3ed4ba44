"""Proxies with a stream to each of several controllers, which reject commands of earlier terms.

Each applied command is passed to a callback together with its controller and term, so that a checker can read
it.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable

from standins.loopback import parse_words, update_table

RECONNECT_DELAY_S = 0.1

CommandCallback = Callable[["FencedProxy", int, int, dict[str, str]], None]


class ProxyStream(asyncio.Protocol):
    """A proxy's stream to one controller."""

    def __init__(self, proxy: "FencedProxy", controller: int, end_future: asyncio.Future[None]):
        """Create a stream; `end_future` is resolved when its connection is lost."""
        self.proxy = proxy
        self.controller = controller
        self.end_future = end_future
        self.incomplete_line = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Subscribe to the controller; called by the event loop."""
        self.transport = transport
        proxy = self.proxy
        transport.write(
            f"SUBSCRIBE proxy={proxy.number} zone={proxy.zone} weight={proxy.nominal_rate} "
            f"fresh={int(not proxy.table)} term={int(proxy.has_fencing)}\r\n".encode()
        )

    def data_received(self, data: bytes) -> None:
        """Apply the complete lines that were received; called by the event loop."""
        *lines, self.incomplete_line = (self.incomplete_line + data).split(b"\r\n")
        for line in lines:
            self.proxy.apply_line(self, line.decode())

    def connection_lost(self, _error: Exception | None) -> None:
        """Resolve `end_future`; called by the event loop."""
        if not self.end_future.done():
            self.end_future.set_result(None)

    def write(self, line: str) -> None:
        """Write a line, or nothing if the stream is not connected."""
        if self.transport is not None:
            self.transport.write(line.encode())


def _ignore_command(_proxy: "FencedProxy", _controller: int, _term: int, _words: dict[str, str]) -> None:
    pass


class FencedProxy:
    """A proxy that rejects commands of earlier terms.

    Attributes:
        term: The highest term so far.
        rejected_count: Number of rejected commands.
        owner: Number of the controller whose command was applied last, or None.
        levels: Admission level and retry mode by traffic group.
        complete_table_at: Time of the last complete table, by the monotonic clock in seconds.
        streams: The open streams by controller.
    """

    def __init__(
        self,
        number: int,
        zone: str,
        controllers: list[str],
        nominal_rate: float = 5.0,
        has_fencing: bool = True,
        command_callback: CommandCallback = _ignore_command,
    ):
        """Create a proxy; `run` connects it.

        Args:
            number: Number of the proxy.
            zone: Zone of the proxy.
            controllers: Addresses of the controllers as host:port.
            nominal_rate: Requests per second that the proxy announces.
            has_fencing: Whether commands of earlier terms are rejected.
            command_callback: Function that is called with the proxy, controller, term and words of each
                applied command.
        """
        self.number = number
        self.zone = zone
        self.nominal_rate = nominal_rate
        self.has_fencing = has_fencing
        self.command_callback = command_callback
        self.controllers = controllers
        self.term = 0
        self.rejected_count = 0
        self.owner: int | None = None
        self.table: dict[str, float] = {}
        self.ejected_endpoints: set[str] = set()
        self.levels: dict[str, tuple[float, int]] = {}
        self.complete_table_at = 0.0
        self.streams: dict[int, ProxyStream] = {}

    async def run(self) -> None:
        """Keep all streams open until cancelled."""
        await asyncio.gather(*(self._keep_open(number) for number in range(len(self.controllers))))

    async def _keep_open(self, controller: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            stream = ProxyStream(self, controller, loop.create_future())
            host, _, port = self.controllers[controller].rpartition(":")
            with contextlib.suppress(OSError):
                await loop.create_connection(lambda stream=stream: stream, host, int(port))
                self.streams[controller] = stream
                await stream.end_future
            self.streams.pop(controller, None)
            await asyncio.sleep(RECONNECT_DELAY_S)

    def apply_line(self, stream: ProxyStream, line: str) -> None:
        """Apply a line of a stream, unless it is of an earlier term, and acknowledge it if requested."""
        words = parse_words(line)
        term = int(words.get("term", 0))
        if self.has_fencing and term < self.term:
            self.rejected_count += 1
            return
        self.term = max(self.term, term)
        self.owner = stream.controller
        if "whole" in words:
            self.levels = {}
            self.complete_table_at = time.monotonic()
        self.table = update_table(words, self.table, self.ejected_endpoints)
        if "level" in words:
            for group in words.get("classes", "*").split("+"):
                self.levels[group] = (float(words["level"]), int(words["retry"]))
        if "ticket" in words:
            stream.write(f"ACK proxy={self.number} mark={words['ticket']} took_ms=1\r\n")
        self.command_callback(self, stream.controller, term, words)

    def report_demand(self, group: str, requests: int, unanswered: int = 0) -> None:
        """Report the requests of a traffic group in the last second to all controllers.

        Args:
            group: Name of the traffic group.
            requests: Number of requests.
            unanswered: Number of requests without an answer.
        """
        for stream in self.streams.values():
            stream.write(
                f"RATE proxy={self.number} class={group} tries={requests} failed={unanswered} "
                f"span_ms=1000\r\n"
            )
