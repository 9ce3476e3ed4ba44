"""One connection to a carbon receiver: complete lines or frames are written, and it tells when the system
took them."""

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.state.buffers import BufferPool

# What is in the system's buffer counts as taken, so a large buffer would hide a receiver that reads nothing.
SEND_BUFFER_BYTES = 64 * 1024


class ReceiverConnection(BufferedConnection):
    """A connection that calls `on_open`, `on_all_taken` and `on_close` with itself; what it receives is
    ignored."""

    def __init__(
        self,
        buffers: BufferPool,
        on_open: Callable[["ReceiverConnection"], None],
        on_all_taken: Callable[["ReceiverConnection"], None],
        on_close: Callable[["ReceiverConnection"], None],
    ) -> None:
        super().__init__(buffers)
        self.on_open = on_open
        self.on_all_taken = on_all_taken
        self.on_close = on_close
        self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the buffers' sizes, unless the connection was given up while it was opened."""
        stream = cast(asyncio.Transport, transport)
        self.transport = stream
        if self.end is not None:
            stream.abort()
            return
        stream.set_write_buffer_limits(high=0, low=0)  # pauses for every byte that the system did not take
        stream.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.on_open(self)

    def pause_writing(self) -> None:
        """The system does not take more."""
        self.paused = True

    def resume_writing(self) -> None:
        """The system has taken everything."""
        self.paused = False
        if self.end is None:
            self.on_all_taken(self)

    def write(self, data: bytes) -> None:
        """Write complete lines or frames; nothing is written to a connection that has ended."""
        if self.end is None and self.transport is not None:
            self.transport.write(data)

    def is_idle(self) -> bool:
        """Return whether the system has taken everything that was written."""
        if self.transport is None:
            return not self.paused
        return not self.paused and self.transport.get_write_buffer_size() == 0

    def received(self, data: bytes) -> None:
        """Ignore it: carbon sends nothing."""

    def ended(self) -> None:
        """Tell the owner."""
        self.on_close(self)
