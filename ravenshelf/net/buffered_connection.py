"""Reads into buffers of the pool; what speaks lines or HTTP stands on this protocol."""

import asyncio

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.state.buffers import BufferPool


class BufferedConnection(asyncio.BufferedProtocol):
    """Ends once, with one End, told by `ended`; what comes later of the same connection is not taken."""

    def __init__(self, buffers: BufferPool):
        self.buffers, self.lent, self.transport, self.end = buffers, None, None, None

    def get_buffer(self, sizehint: int) -> bytearray:
        if self.lent is None:
            self.lent = self.buffers.lend()
        return self.lent

    def buffer_updated(self, count: int) -> None:
        data = bytes(memoryview(self.lent)[:count])
        self._give_back()
        if self.end is None:
            self.received(data)

    def _give_back(self) -> None:
        if self.lent is not None:
            self.buffers.give_back(self.lent)
            self.lent = None

    def eof_received(self) -> bool:
        self.close(ConnectionEnd.CLOSED)
        return False

    def connection_lost(self, why: Exception | None) -> None:
        self._give_back()
        if why is None:
            self.close(ConnectionEnd.CLOSED)
        else:  # the loop ends the connection of a call that failed, too
            self.close(ConnectionEnd.RESET if isinstance(why, OSError) else ConnectionEnd.FAILED)

    def close(self, end: ConnectionEnd) -> None:
        """Ends the connection at once, and says so at once: what is told must not wait for the socket."""
        if self.end is not None:
            return
        self.end = end
        if self.transport is not None:
            self.close_transport(end)
        self.ended()

    def close_transport(self, end: ConnectionEnd) -> None:
        if end is ConnectionEnd.STOPPING:
            self.transport.close()  # what is ready goes out
        else:
            self.transport.abort()

    def received(self, data: bytes) -> None:
        raise NotImplementedError

    def ended(self) -> None:
        raise NotImplementedError
