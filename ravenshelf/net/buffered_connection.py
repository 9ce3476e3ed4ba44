"""Reads into buffers of a pool; protocols of lines, frames or HTTP build on it."""

import asyncio
from typing import cast

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.state.buffers import BufferPool


class BufferedConnection(asyncio.BufferedProtocol):
    """A connection that ends once, with one ConnectionEnd; what arrives later is dropped.

    `transport` is set from `connection_made` on; Subclasses take data in `received`
    and the end in `ended`.
    """

    transport: asyncio.Transport

    def __init__(self, buffers: BufferPool):
        self.buffers = buffers
        self.read_buffer: bytearray | None = None
        self.transport = cast(asyncio.Transport, None)
        self.end: ConnectionEnd | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin; called by the loop."""
        self.transport = cast(asyncio.Transport, transport)

    def get_buffer(self, _sizehint: int) -> bytearray:
        """Return the buffer to read into; called by the loop."""
        if self.read_buffer is None:
            self.read_buffer = self.buffers.acquire()
        return self.read_buffer

    def buffer_updated(self, count: int) -> None:
        """Take the bytes that were read; called by the loop."""
        assert self.read_buffer is not None
        data = bytes(memoryview(self.read_buffer)[:count])
        self._release_buffer()
        if self.end is None:
            self.handle_data(data)

    def _release_buffer(self) -> None:
        if self.read_buffer is not None:
            self.buffers.release(self.read_buffer)
            self.read_buffer = None

    def eof_received(self) -> bool:
        """End: the other side writes no more; called by the loop."""
        self.close(ConnectionEnd.CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End: the socket is closed; called by the loop."""
        self._release_buffer()
        if exc is None:
            self.close(ConnectionEnd.CLOSED)
        else:  # the loop also closes the socket of a callback that raised
            self.close(ConnectionEnd.RESET if isinstance(exc, OSError) else ConnectionEnd.FAILED)

    def close(self, end: ConnectionEnd) -> None:
        """End the connection and report it at once: the report must not wait for the socket."""
        if self.end is not None:
            return
        self.end = end
        if self.transport is not None:
            self.close_transport(end)
        self.handle_end()

    def close_transport(self, end: ConnectionEnd) -> None:
        """Close the socket; at the server's stop, once it has taken what was written."""
        if end is ConnectionEnd.STOPPING:
            self.transport.close()
        else:
            self.transport.abort()

    def handle_data(self, data: bytes) -> None:
        """Take the bytes of one read."""
        raise NotImplementedError

    def handle_end(self) -> None:
        """Take the connection's end; called once, when `end` is set."""
        raise NotImplementedError
