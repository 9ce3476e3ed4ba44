"""Base of all stream connections: it reads into pooled buffers and ends exactly once."""

import asyncio
from typing import cast

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.state.buffers import BufferPool


class BufferedConnection(asyncio.BufferedProtocol):
    """A connection that ends once, with one `ConnectionEnd`; data that arrives after its end is dropped.

    Subclasses implement `handle_data` and `handle_end`.

    Args:
        buffers: Pool of the read buffers.

    Attributes:
        transport: The transport; None before `connection_made`.
        read_buffer: Buffer of the read in progress, or None.
        end: How the connection ended, or None while it is open.
    """

    transport: asyncio.Transport

    def __init__(self, buffers: BufferPool):
        self.buffers = buffers
        self.read_buffer: bytearray | None = None
        self.transport = cast(asyncio.Transport, None)
        self.end: ConnectionEnd | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)

    def get_buffer(self, _sizehint: int) -> bytearray:
        """Return the buffer for the next read; called by the event loop."""
        if self.read_buffer is None:
            self.read_buffer = self.buffers.acquire()
        return self.read_buffer

    def buffer_updated(self, count: int) -> None:
        """Handle the bytes that were read; called by the event loop."""
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
        """End the connection because the other side writes no more; called by the event loop."""
        self.close(ConnectionEnd.CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection because its socket is closed; called by the event loop."""
        self._release_buffer()
        if exc is None:
            self.close(ConnectionEnd.CLOSED)
        else:
            # The event loop also closes the socket if a callback has raised an error; that is not an OSError.
            self.close(ConnectionEnd.RESET if isinstance(exc, OSError) else ConnectionEnd.FAILED)

    def close(self, end: ConnectionEnd) -> None:
        """End the connection, if it has not ended yet, and call `handle_end` at once.

        The end is reported without waiting for the socket to close.
        """
        if self.end is not None:
            return
        self.end = end
        if self.transport is not None:
            self.close_transport(end)
        self.handle_end()

    def close_transport(self, end: ConnectionEnd) -> None:
        """Close the socket at once or, if the server stops, after the data already written is sent."""
        if end is ConnectionEnd.STOPPING:
            self.transport.close()
        else:
            self.transport.abort()

    def handle_data(self, data: bytes) -> None:
        """Handle the bytes of one read."""
        raise NotImplementedError

    def handle_end(self) -> None:
        """Handle the connection's end; called once, after `end` is set."""
        raise NotImplementedError
