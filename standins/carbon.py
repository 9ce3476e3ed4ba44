"""A test double of a carbon receiver whose connections behave in chosen ways, such as to stop reading.

    CarbonReceiver([StopReading(after_bytes=100), AcceptAll()])  # only the first connection stops

It stores what carbon would store: the points of complete lines or frames, where a point that is received
again replaces the earlier one.
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
    """The behaviour of one connection."""

    async def allowed_bytes(self, received_bytes: int) -> int:
        """Return the most bytes to read next after `received_bytes`, or 0 to read no more."""

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """End the connection after the last read; the receiver closes it afterwards."""


@dataclass(frozen=True)
class AcceptAll:
    """Behaviour of a connection that reads everything."""

    async def allowed_bytes(self, received_bytes: int) -> int:
        """Return the size of a full read."""
        del received_bytes
        return READ_BYTES

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """Do nothing; this behaviour never stops reading."""


@dataclass(frozen=True)
class ReadSlowly:
    """Behaviour of a connection that reads a few bytes per second."""

    bytes_per_s: int = 1

    async def allowed_bytes(self, received_bytes: int) -> int:
        """Wait a second, and return the bytes to read in it."""
        del received_bytes
        await asyncio.sleep(1)
        return self.bytes_per_s

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """Do nothing; this behaviour never stops reading."""


@dataclass(frozen=True)
class _ReadUntil:
    """Behaviour of a connection that reads `after_bytes` bytes and then ends."""

    after_bytes: int = 0

    async def allowed_bytes(self, received_bytes: int) -> int:
        """Return the remaining number of bytes."""
        return max(0, self.after_bytes - received_bytes)


@dataclass(frozen=True)
class StopReading(_ReadUntil):
    """Behaviour of a connection that stops reading and stays open."""

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """Stop reading, and wait until the connection is cancelled."""
        writer.transport.pause_reading()
        await asyncio.Event().wait()


@dataclass(frozen=True)
class ResetConnection(_ReadUntil):
    """Behaviour of a connection that is reset."""

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """Reset the connection."""
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE_CLOSE)
        writer.transport.abort()


@dataclass(frozen=True)
class CloseConnection(_ReadUntil):
    """Behaviour of a connection that is closed orderly."""

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """Do nothing; the receiver closes the connection."""


class CarbonReceiver:
    """A carbon receiver on a loopback port.

    Attributes:
        points: Values by path and time (seconds since 1970).
        duplicate_count: Number of points that were received again.
        truncated_count: Number of connections that ended within a line or frame.
        connection_count: Number of connections since the start.
        bytes_received: Number of bytes received on all connections.
        malformed_lines: Lines that carbon would ignore.
    """

    def __init__(
        self,
        behaviours: Sequence[Behaviour] = (AcceptAll(),),
        protocol: str = "plaintext",
        buffer_bytes: int = 4096,
    ) -> None:
        """Create a receiver, which `start` opens.

        Args:
            behaviours: The behaviours of the connections in their order; the last one is also that of all
                further connections.
            protocol: `plaintext` or `pickle`.
            buffer_bytes: Size of the receive buffers.
        """
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
        """Listen on a port that the system chooses, or, after `stop`, on the same port again."""
        listening_socket = socket.socket()
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit this option only if it is set before `bind`.
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.buffer_bytes)
        listening_socket.bind(("127.0.0.1", self.port))
        self.port = listening_socket.getsockname()[1]
        self.server = await asyncio.start_server(self._serve, sock=listening_socket, limit=self.buffer_bytes)
        return self

    @property
    def address(self) -> str:
        """The address of the receiver as host:port."""
        return f"127.0.0.1:{self.port}"

    async def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.open_writers):
            writer.transport.abort()
        self.server = None
        await asyncio.sleep(0)

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float = 20) -> None:
        """Wait until `condition()` is true, which is checked after each read and each change of a connection.

        Raises:
            TimeoutError: The condition is still false after `timeout_s` seconds.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                self.change_event.clear()
                await self.change_event.wait()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        behaviour = self.behaviours[min(self.connection_count, len(self.behaviours) - 1)]
        self.connection_count += 1
        self.open_writers.add(writer)
        self.change_event.set()
        incomplete_data = b""
        received_bytes = 0
        try:
            while allowed_bytes := await behaviour.allowed_bytes(received_bytes):
                data = await reader.read(allowed_bytes)
                if not data:
                    return
                received_bytes += len(data)
                self.bytes_received += len(data)
                incomplete_data = self._decode(incomplete_data + data)
                self.change_event.set()
            await behaviour.end(writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.truncated_count += bool(incomplete_data)
            self.open_writers.discard(writer)
            writer.close()
            self.change_event.set()

    def _decode(self, data: bytes) -> bytes:
        """Store the points of complete lines or frames, and return the remaining bytes."""
        if self.protocol == "pickle":
            return self._decode_frames(data)
        *lines, incomplete_line = data.split(b"\n")
        for line in lines:
            try:
                path, value, time = line.decode("ascii").split(" ")
                self._add_point(path, int(time), float(value))
            except ValueError:
                self.malformed_lines.append(line)
        return incomplete_line

    def _decode_frames(self, data: bytes) -> bytes:
        while len(data) >= FRAME_HEADER_BYTES:
            (body_bytes,) = struct.unpack("!L", data[:FRAME_HEADER_BYTES])
            frame_end = FRAME_HEADER_BYTES + body_bytes
            if len(data) < frame_end:
                break
            for path, (time, value) in pickle.loads(data[FRAME_HEADER_BYTES:frame_end]):
                self._add_point(path, time, value)
            data = data[frame_end:]
        return data

    def _add_point(self, path: str, time: int, value: float) -> None:
        self.duplicate_count += (path, time) in self.points
        self.points[path, time] = value
