"""Session with one control-plane server on loopback sockets, with a registry, proxies and signals.

Each step waits until the server sends no more, so that the transcript does not depend on the load of the
machine. It has the lines of each proxy in order, the requests to the registry, and the exit code.
"""

import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

QUIET_SECONDS = 0.7  # After this time without a line the server is taken to send no more.
STEP_SECONDS = 20.0  # A step that takes longer has failed.
ENDPOINTS = 9
PROXIES = 4
ZONES = ("north", "south")


class ServerTranscript(NamedTuple):
    """Lines, requests and exit code of a server in the session."""

    streams: dict[int, list[str]]  # received lines by proxy, in order
    requests: list[str]  # method and path of each request to the registry, in order
    unreadable_lines: list[str]  # reply to an unreadable line, and the end of its connection
    exit_code: int


class Registry:
    """Endpoint registry that answers list requests and writes changes to open watches."""

    def __init__(self) -> None:
        self.version = 1
        self.states = {f"s-{number}": "SERVING" for number in range(ENDPOINTS)}
        self.requests: list[str] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.address = ""

    async def start(self) -> asyncio.Server:
        """Listen on a free port of loopback, and set `address` to it."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return server

    def _make_entry(self, name: str) -> dict:
        number = int(name[2:])
        return {
            "uid": name,
            "endpoint": f"127.0.0.1:{9000 + number}",
            "az": ZONES[number % len(ZONES)],
            "model": "m1",
            "pod_group": 0,
            "state": self.states[name],
            "capacity_hint": 1.0 + number % 3,
            "boot_ms": 0,
        }

    def _encode_list(self, names: list[str], complete: bool) -> bytes:
        entries = [self._make_entry(name) for name in names]
        return json.dumps({"rev": self.version, "all": complete, "targets": entries}).encode() + b"\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        method, path, _ = head.split(b"\r\n")[0].decode().split(" ")
        self.requests.append(f"{method} {path}")
        listed_names = [name for name, state in self.states.items() if state != "DELETED"]
        body = self._encode_list(listed_names, complete=True)
        if "watch=1" not in path:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
            writer.close()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._write_chunk(writer, body)
        self.watches.append(writer)

    @staticmethod
    def _write_chunk(writer: asyncio.StreamWriter, body: bytes) -> None:
        writer.write(b"%x\r\n" % len(body) + body + b"\r\n")

    def change(self, name: str, state: str) -> None:
        """Change the state of an endpoint, and write the change to all watches."""
        self.version += 1
        self.states[name] = state
        for writer in self.watches:
            self._write_chunk(writer, self._encode_list([name], complete=False))

    async def keep_watches_alive(self) -> None:
        """Write an empty line to all watches every second, so that the server does not end them."""
        while True:
            await asyncio.sleep(1.0)
            for writer in self.watches:
                self._write_chunk(writer, b"\n")


class Stream:
    """Connection of a proxy, which records the received lines and acknowledges marks."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, port: int, *lines: str) -> None:
        """Connect, with retries until the server listens, and send the first lines."""
        async with asyncio.timeout(STEP_SECONDS):
            while self.writer is None:
                try:
                    self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
                except OSError:
                    await asyncio.sleep(0.05)
        for line in lines:
            self.send(line)

    def send(self, line: str) -> None:
        """Send one line."""
        assert self.writer is not None
        self.writer.write(f"{line}\r\n".encode())

    async def read(self, proxy: int | None = None) -> None:
        """Record lines until the connection ends.

        Args:
            proxy: Number of the proxy for which marks are acknowledged; None acknowledges none.
        """
        assert self.reader is not None
        try:
            while encoded_line := await self.reader.readline():
                line = encoded_line.decode().rstrip("\r\n")
                self.lines.append(line)
                fields = dict(word.partition("=")[::2] for word in line.split()[1:])
                if proxy is not None and "ticket" in fields:
                    self.send(f"ACK proxy={proxy} mark={fields['ticket']} took_ms=0.0")
            self.lines.append("(end)")
        except ConnectionError:
            self.lines.append("(reset)")


def configuration(registry: str, port: int) -> dict:
    """Return the content of the server's configuration file."""
    return {
        "name": "outer-forms",
        "listen": f"127.0.0.1:{port}",
        "discovery": registry,
        "seed": "2a",
        "limits": {"sockets": 256},
        "settings": {
            "azs": list(ZONES),
            "balancers": 1,
            "me": 0,
            "kinds": ["m1"],
            "tick-ms": 2.0,
            "discovery": "on_request",
            "weights": "rough",
            "classes": [
                {"name": "read", "importance": 1, "objective-ms": 800.0, "idempotency": "pure"},
                {"name": "order", "importance": 5, "objective-ms": 900.0, "idempotency": "side_effect"},
            ],
            "family-info": {
                "lines-per-s": 100_000.0,
                "most-waiting": 100_000.0,
                "envelope": 3.0,
                "proxy-count": PROXIES,
                "level-kind": "per_second",
                "late-most-ms": 300.0,
            },
            "telemetry": {"how": "answers", "columns": ["active"]},
            "limits": {"probing": False},
            "rules": {"cold-share": 0.2, "fall-multiple": 4.0},
        },
    }


def free_port() -> int:
    """Return a port of loopback on which no process listens now."""
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class ServerSession:
    """Session with the program of a checkout."""

    def __init__(self, checkout: Path):
        self.checkout = checkout
        self.port = free_port()
        self.registry = Registry()
        self.streams = [Stream() for _ in range(PROXIES)]
        self.unreadable_stream = Stream()
        self.tasks: list[asyncio.Task] = []

    async def _wait_until_quiet(self) -> None:
        """Wait until no stream receives a line for QUIET_SECONDS."""
        line_count = -1
        async with asyncio.timeout(STEP_SECONDS):
            while line_count != (line_count := sum(len(stream.lines) for stream in self.streams)):
                await asyncio.sleep(QUIET_SECONDS)

    async def execute(self) -> ServerTranscript:
        """Start the server, run all steps, stop it with SIGTERM, and return the transcript."""
        listener = await self.registry.start()
        self.tasks.append(asyncio.create_task(self.registry.keep_watches_alive()))
        with tempfile.TemporaryDirectory() as folder:
            configuration_file = Path(folder) / "server.json"
            configuration_file.write_text(
                json.dumps(configuration(self.registry.address, self.port)), encoding="utf-8"
            )
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "ravenshelf", "serve", "--config", str(configuration_file)),
                cwd=self.checkout,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
            )
            try:
                await self._run_steps(process)
            finally:
                exit_code = await self._stop(process)
        listener.close()
        return ServerTranscript(
            {number: stream.lines for number, stream in enumerate(self.streams)},
            self.registry.requests,
            self.unreadable_stream.lines,
            exit_code,
        )

    async def _run_steps(self, process: asyncio.subprocess.Process) -> None:
        async with asyncio.timeout(STEP_SECONDS):
            while not self.registry.watches:
                await asyncio.sleep(0.05)
        await asyncio.sleep(QUIET_SECONDS)
        for number, stream in enumerate(self.streams):
            zone = ZONES[number % len(ZONES)]
            await stream.open(
                self.port, "PING", f"SUBSCRIBE proxy={number} zone={zone} weight=20 fresh={number % 2}"
            )
            self.tasks.append(asyncio.create_task(stream.read(number)))
            await self._wait_until_quiet()
        for name, state in (("s-1", "DRAINING"), ("s-2", "DELETED"), ("s-1", "SERVING"), ("s-4", "DRAINING")):
            self.registry.change(name, state)
            await self._wait_until_quiet()
        # The server ignores a malformed line.
        self.streams[0].send("RATE proxy=0 class=read tries=x failed=0 span_ms=1000")
        self.streams[0].send("PING")
        # After an unreadable line the server closes the connection.
        await self.unreadable_stream.open(self.port, "HELLO world")
        await self.unreadable_stream.read()
        process.send_signal(signal.SIGHUP)
        await self._wait_until_quiet()

    async def _stop(self, process: asyncio.subprocess.Process) -> int:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        exit_code = await process.wait()
        await asyncio.sleep(QUIET_SECONDS)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        return exit_code


def run_session(checkout: Path) -> ServerTranscript:
    """Run one session with the program of a checkout."""
    return asyncio.run(ServerSession(checkout).execute())
