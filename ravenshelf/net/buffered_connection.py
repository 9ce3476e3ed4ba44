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
        self.lent: bytearray | None = None
        self.transport = cast(asyncio.Transport, None)
        self.end: ConnectionEnd | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin; called by the loop."""
        self.transport = cast(asyncio.Transport, transport)

    def get_buffer(self, _sizehint: int) -> bytearray:
        """Return the buffer to read into; called by the loop."""
        if self.lent is None:
            self.lent = self.buffers.lend()
        return self.lent

    def buffer_updated(self, count: int) -> None:
        """Take the bytes that were read; called by the loop."""
        assert self.lent is not None
        data = bytes(memoryview(self.lent)[:count])
        self._give_back()
        if self.end is None:
            self.received(data)

    def _give_back(self) -> None:
        if self.lent is not None:
            self.buffers.give_back(self.lent)
            self.lent = None

    def eof_received(self) -> bool:
        """End: the other side writes no more; called by the loop."""
        self.close(ConnectionEnd.CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End: the socket is closed; called by the loop."""
        self._give_back()
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
        self.ended()

    def close_transport(self, end: ConnectionEnd) -> None:
        """Close the socket; at the server's stop, once it has taken what was written."""
        if end is ConnectionEnd.STOPPING:
            self.transport.close()
        else:
            self.transport.abort()

    def received(self, data: bytes) -> None:
        """Take the bytes of one read."""
        raise NotImplementedError

    def ended(self) -> None:
        """Take the connection's end; called once, when `end` is set."""
        raise NotImplementedError
