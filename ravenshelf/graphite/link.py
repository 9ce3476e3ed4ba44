"""One connection to a carbon receiver: written to by whole lines or frames, told when the system has taken them."""

import socket
from collections.abc import Callable

from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.state.buffers import BufferPool

# of the system's buffer: what lies there counts as sent, so a large one would hide that nobody reads for minutes
UNREAD = 64 * 1024


class Link(BufferedConnection):
    """`opened`, `drained` and `over(link)` tell its owner; what a receiver says is not looked at."""

    def __init__(self, buffers: BufferPool, opened: Callable, drained: Callable, over: Callable):
        super().__init__(buffers)
        self.opened, self.drained, self.over = opened, drained, over
        self.full = False

    def connection_made(self, transport) -> None:
        self.transport = transport
        if self.end is not None:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=0, low=0)  # told of every octet that the system did not take
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, UNREAD)
        self.opened(self)

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        if self.end is None:
            self.drained(self)

    def write(self, octets: bytes) -> None:
        if self.end is None:
            self.transport.write(octets)

    def idle(self) -> bool:
        """Whether the system has taken all that was written."""
        return not self.full and self.transport.get_write_buffer_size() == 0

    def received(self, data: bytes) -> None:
        pass  # carbon says nothing; what is said is not ours to judge

    def ended(self) -> None:
        self.over(self)
