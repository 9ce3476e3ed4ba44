"""A carbon receiver whose faults are a script: what each connection in turn meets.

    Carbon([Stall(after=100), Take()])      # the first connection stalls after 100 octets, all later ones are taken

It keeps what it took as carbon would: whole lines or frames alone, a point written twice over itself.
"""

import asyncio
import pickle
import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Take:
    """Reads all there is."""


@dataclass(frozen=True)
class Stall:
    """Reads so many octets and then nothing, the connection open."""

    after: int = 0


@dataclass(frozen=True)
class Trickle:
    """Reads so many octets a second."""

    a_second: int = 1


@dataclass(frozen=True)
class Reset:
    """Reads so many octets, then resets the connection."""

    after: int = 0


@dataclass(frozen=True)
class Close:
    """Reads so many octets, then ends the connection in good order."""

    after: int = 0


class Carbon:
    def __init__(self, script: Sequence = (Take(),), protocol: str = "plaintext", buffer: int = 4096):
        self.script, self.protocol, self.buffer = list(script), protocol, buffer
        self.points: dict[tuple[str, int], float] = {}
        self.twice = self.cut = self.connections = self.octets = 0
        self.bad: list[bytes] = []
        self.server: asyncio.Server | None = None
        self.port = 0
        self.open: set[asyncio.StreamWriter] = set()
        self.news = asyncio.Event()

    async def start(self) -> "Carbon":
        """At a port that the system gives, and at the same one again after `stop`."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self.buffer
        )  # what comes is inherited by accepted ones
        listening.bind(("127.0.0.1", self.port))
        self.port = listening.getsockname()[1]
        self.server = await asyncio.start_server(self._came, sock=listening, limit=self.buffer)
        return self

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def stop(self) -> None:
        """Refuses from now on; open connections are reset."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()
        self.server = None
        await asyncio.sleep(0)

    async def until(self, true, seconds: float = 20) -> None:
        """Waits until `true()` holds, looked at with each piece that comes."""
        async with asyncio.timeout(seconds):
            while not true():
                self.news.clear()
                await self.news.wait()

    async def _came(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        way = self.script[min(self.connections, len(self.script) - 1)]
        self.connections += 1
        self.open.add(writer)
        self.news.set()
        rest, took = b"", 0
        try:
            while True:
                most = 65536
                if isinstance(way, (Stall, Reset, Close)):
                    if took >= way.after:
                        if isinstance(way, Stall):
                            writer.transport.pause_reading()
                            await asyncio.Event().wait()
                        if isinstance(way, Reset):
                            writer.get_extra_info("socket").setsockopt(
                                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                            )
                            writer.transport.abort()
                        return
                    most = way.after - took
                if isinstance(way, Trickle):
                    await asyncio.sleep(1)
                    most = way.a_second
                data = await reader.read(most)
                if not data:
                    break
                took += len(data)
                self.octets += len(data)
                rest = self._take(rest + data)
                self.news.set()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.cut += bool(rest)  # carbon lets go what is not whole
            self.open.discard(writer)
            writer.close()
            self.news.set()

    def _take(self, data: bytes) -> bytes:
        if self.protocol == "pickle":
            while len(data) >= 4 and len(data) >= 4 + (size := struct.unpack("!L", data[:4])[0]):
                for path, (time, value) in pickle.loads(data[4 : 4 + size]):
                    self._point(path, time, value)
                data = data[4 + size :]
            return data
        *lines, rest = data.split(b"\n")
        for line in lines:
            try:
                path, value, time = line.decode("ascii").split(" ")
                self._point(path, int(time), float(value))
            except ValueError:
                self.bad.append(line)
        return rest

    def _point(self, path: str, time: int, value: float) -> None:
        self.twice += (path, time) in self.points
        self.points[path, time] = value
