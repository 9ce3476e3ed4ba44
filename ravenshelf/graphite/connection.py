"""TCP connection to one carbon receiver.

Callers write complete lines or frames. The connection reports when the kernel's socket buffer has accepted
everything that was written ("flushed").
"""

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.state.buffers import BufferPool

# Bytes in the kernel's send buffer count as flushed, so a large buffer would hide a receiver that reads
# nothing.
SEND_BUFFER_BYTES = 64 * 1024


class ReceiverConnection(BufferedConnection):
    """Write-only connection to a receiver; received bytes are ignored.

    `on_open`, `on_flushed` and `on_close` are called with the connection itself.
    """

    def __init__(
        self,
        buffers: BufferPool,
        on_open: Callable[["ReceiverConnection"], None],
        on_flushed: Callable[["ReceiverConnection"], None],
        on_close: Callable[["ReceiverConnection"], None],
    ) -> None:
        super().__init__(buffers)
        self.on_open = on_open
        self.on_flushed = on_flushed
        self.on_close = on_close
        self.is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the buffer sizes, or abort the connection if it was closed while it was being opened."""
        stream = cast(asyncio.Transport, transport)
        self.transport = stream
        if self.end is not None:
            stream.abort()
            return
        # With both limits at 0, pause_writing is called as soon as the kernel's send buffer does not accept
        # every byte.
        stream.set_write_buffer_limits(high=0, low=0)
        stream.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.on_open(self)

    def pause_writing(self) -> None:
        """Note that the kernel's send buffer is full; called by the event loop."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """Report that everything was flushed; called by the event loop."""
        self.is_paused = False
        if self.end is None:
            self.on_flushed(self)

    def write(self, data: bytes) -> None:
        """Write complete lines or frames; do nothing if the connection is not open."""
        if self.end is None and self.transport is not None:
            self.transport.write(data)

    def is_idle(self) -> bool:
        """Return whether everything that was written has been flushed."""
        if self.transport is None:
            return not self.is_paused
        return not self.is_paused and self.transport.get_write_buffer_size() == 0

    def handle_data(self, data: bytes) -> None:
        """Ignore the data: carbon sends nothing on these connections."""

    def handle_end(self) -> None:
        """Report the end of the connection."""
        self.on_close(self)
