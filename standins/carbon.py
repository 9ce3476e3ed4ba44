"""A test double of a carbon receiver: each connection in turn has a behaviour, such as to stop reading.

    CarbonReceiver([StopReading(after_bytes=100), AcceptAll()])  # only the first connection stops

It keeps what carbon would keep: complete lines or frames, and a point that comes twice overwrites itself.
"""

import asyncio
import pickle
import socket
import struct
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

READ_BYTES = 65536
ABORTIVE_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: reset instead of an orderly close
FRAME_HEADER_BYTES = 4


class Behaviour(Protocol):
    """How one connection behaves."""

    async def allowed_bytes(self, received_bytes: int) -> int:
        """Return how much to read next, after `received_bytes`; 0: no more."""

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """Do what follows when no more is read; the connection is closed afterwards."""


@dataclass(frozen=True)
class AcceptAll:
    """Reads everything."""

    async def allowed_bytes(self, received_bytes: int) -> int:
        """Allow more whatever was received."""
        del received_bytes
        return READ_BYTES

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """Never called."""


@dataclass(frozen=True)
class ReadSlowly:
    """Reads a few bytes in each second."""

    bytes_per_s: int = 1

    async def allowed_bytes(self, received_bytes: int) -> int:
        """Return the bytes of a second after it has passed."""
        del received_bytes
        await asyncio.sleep(1)
        return self.bytes_per_s

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """Never called."""


@dataclass(frozen=True)
class _ReadUntil:
    """Reads `after_bytes` and then ends."""

    after_bytes: int = 0

    async def allowed_bytes(self, received_bytes: int) -> int:
        """Return what is left of the bytes."""
        return max(0, self.after_bytes - received_bytes)


@dataclass(frozen=True)
class StopReading(_ReadUntil):
    """Stops reading and keeps the connection open."""

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """Wait for ever."""
        writer.transport.pause_reading()
        await asyncio.Event().wait()


@dataclass(frozen=True)
class ResetConnection(_ReadUntil):
    """Resets the connection."""

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """Reset the connection."""
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE_CLOSE)
        writer.transport.abort()


@dataclass(frozen=True)
class CloseConnection(_ReadUntil):
    """Closes the connection in good order."""

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """Leave the close to the caller."""


class CarbonReceiver:
    """A receiver on a loopback port; the last behaviour is for all further connections.

    `points` has the values by (path, time). Counted are `duplicate_count`, connections that ended within a
    line or frame (`truncated_count`), `connection_count` and `bytes_received`; `malformed_lines` has the
    lines that carbon would ignore.
    """

    def __init__(
        self,
        behaviours: Sequence[Behaviour] = (AcceptAll(),),
        protocol: str = "plaintext",
        buffer_bytes: int = 4096,
    ) -> None:
        self.behaviours = list(behaviours)
        self.protocol = protocol
        self.buffer_bytes = buffer_bytes
        self.points: dict[tuple[str, int], float] = {}
        self.duplicate_count = 0
        self.truncated_count = 0
        self.connection_count = 0
        self.bytes_received = 0
        self.malformed_lines: list[bytes] = []
        self.server: asyncio.Server | None = None
        self.port = 0
        self.open_writers: set[asyncio.StreamWriter] = set()
        self.change_event = asyncio.Event()

    async def start(self) -> "CarbonReceiver":
        """Listen on a port that the system chooses, and on the same one again after `stop`."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # before bind: accepted connections inherit it
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.buffer_bytes)
        listening.bind(("127.0.0.1", self.port))
        self.port = listening.getsockname()[1]
        self.server = await asyncio.start_server(self._serve, sock=listening, limit=self.buffer_bytes)
        return self

    @property
    def address(self) -> str:
        """The address that it listens on."""
        return f"127.0.0.1:{self.port}"

    async def stop(self) -> None:
        """Refuse connections from now on; open ones are reset."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.open_writers):
            writer.transport.abort()
        self.server = None
        await asyncio.sleep(0)

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float = 20) -> None:
        """Wait until `condition()` holds, which is checked after each piece that is received."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                self.change_event.clear()
                await self.change_event.wait()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        behaviour = self.behaviours[min(self.connection_count, len(self.behaviours) - 1)]
        self.connection_count += 1
        self.open_writers.add(writer)
        self.change_event.set()
        incomplete = b""
        received = 0
        try:
            while allowed_bytes := await behaviour.allowed_bytes(received):
                data = await reader.read(allowed_bytes)
                if not data:
                    return
                received += len(data)
                self.bytes_received += len(data)
                incomplete = self._decode(incomplete + data)
                self.change_event.set()
            await behaviour.end(writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.truncated_count += bool(incomplete)
            self.open_writers.discard(writer)
            writer.close()
            self.change_event.set()

    def _decode(self, data: bytes) -> bytes:
        """Take the points of complete lines or frames and return the rest."""
        if self.protocol == "pickle":
            return self._decode_frames(data)
        *lines, rest = data.split(b"\n")
        for line in lines:
            try:
                path, value, time = line.decode("ascii").split(" ")
                self._add(path, int(time), float(value))
            except ValueError:
                self.malformed_lines.append(line)
        return rest

    def _decode_frames(self, data: bytes) -> bytes:
        while len(data) >= FRAME_HEADER_BYTES:
            (body_bytes,) = struct.unpack("!L", data[:FRAME_HEADER_BYTES])
            frame_end = FRAME_HEADER_BYTES + body_bytes
            if len(data) < frame_end:
                break
            for path, (time, value) in pickle.loads(data[FRAME_HEADER_BYTES:frame_end]):
                self._add(path, time, value)
            data = data[frame_end:]
        return data

    def _add(self, path: str, time: int, value: float) -> None:
        self.duplicate_count += (path, time) in self.points
        self.points[path, time] = value
