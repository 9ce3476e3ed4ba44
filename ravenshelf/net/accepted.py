"""A connection that was accepted: bytes in pieces into lines, messages out."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.net.connection_end import STREAM, UNIDENTIFIED, ConnectionEnd
from ravenshelf.net.stream_codec import LINE_LIMIT_BYTES, may_begin_message
from ravenshelf.state.buffers import BUFFER_BYTES, BufferPool

UNSENT_LIMIT_BYTES = 256 * 1024  # beyond the socket before one more message; who lags by more is not reading
# an unidentified connection's line is a join: many without end must not fill the memory
UNIDENTIFIED_LINE_LIMIT_BYTES = 4 * 1024


class ConnectionOwner(Protocol):
    """Takes what happens on accepted connections."""

    def on_connection_opened(self, connection: "AcceptedConnection") -> None:
        """Take a new connection."""

    def on_line(self, connection: "AcceptedConnection", line: bytes) -> None:
        """Take a line, without its end."""

    def on_connection_ended(self, connection: "AcceptedConnection") -> None:
        """Take a connection's end; called once."""

    def on_socket_closed(self, connection: "AcceptedConnection") -> None:
        """Take note that the socket is closed, which may be later than the connection's end."""

    @property
    def call_soon(self) -> Callable[[Callable[[], None]], object]:
        """Have a call made in the loop's next turn."""


class AcceptedConnection(BufferedConnection):
    """A stream of a proxy, a collector, or a connection that has not said yet what it is.

    `pending_markers` holds when each marker was written on this stream that is not yet acknowledged;
    `connected_at` is in microseconds. `has_sent_message` holds since the acceptor's last sweep.
    """

    def __init__(self, buffers: BufferPool, owner: ConnectionOwner):
        super().__init__(buffers)
        self.owner = owner
        self.partial_line = bytearray()
        self.slot: int | None = None
        self.purpose = UNIDENTIFIED
        self.proxy: int | None = None
        self.zone: int | None = None
        self.peer = ""
        self.pending_markers: dict[int, int] = {}
        self.has_term_check = False  # a proxy that rejects orders of an older term
        self.is_superseded = False
        self.has_sent_message = True
        self.connected_at = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin; called by the loop."""
        super().connection_made(transport)
        self.peer = str(transport.get_extra_info("peername"))
        self.owner.on_connection_opened(self)

    def buffer_updated(self, count: int) -> None:
        """Take one buffer a turn.

        The loop itself would read on as long as a flood lasts, and everyone else would wait. The price:
        whoever has more to say at once than fits in a buffer needs several turns for it.
        """
        super().buffer_updated(count)
        if count == BUFFER_BYTES and not self.transport.is_closing():
            self.transport.pause_reading()
            self.owner.call_soon(self._resume_reading)

    def _resume_reading(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def handle_data(self, data: bytes) -> None:
        """Pass complete lines to the owner."""
        searched = len(self.partial_line)
        self.partial_line += data
        while (end := self.partial_line.find(b"\n", searched)) >= 0:
            line = bytes(self.partial_line[:end]).removesuffix(b"\r")
            del self.partial_line[: end + 1]
            searched = 0
            if self._end_if_too_long(len(line)):
                return
            self.owner.on_line(self, line)
            if self.end is not None:
                return
        if not self._end_if_too_long(len(self.partial_line)) and not may_begin_message(self.partial_line):
            self.close(ConnectionEnd.UNREADABLE)

    def _end_if_too_long(self, size: int) -> bool:
        """Return whether the connection has ended."""
        if size > (UNIDENTIFIED_LINE_LIMIT_BYTES if self.purpose == UNIDENTIFIED else LINE_LIMIT_BYTES):
            self.close(ConnectionEnd.TOO_LONG)
        return self.end is not None

    def write(self, data: bytes) -> None:
        """Write a message; ends a connection that leaves too much unread."""
        if self.end is not None:
            return
        if self.transport.get_write_buffer_size() > UNSENT_LIMIT_BYTES:
            self.close(ConnectionEnd.UNREAD)
            return
        self.transport.write(data)

    def close_transport(self, end: ConnectionEnd) -> None:
        """At the server's stop, let a stream have all that was written to it before its end.

        What the proxy still sends is read meanwhile and dropped: were it unread at the close, the system
        would reset the connection and drop what is in flight, maybe in the middle of a message.
        """
        if end is ConnectionEnd.STOPPING and self.purpose == STREAM and not self.transport.is_closing():
            self.transport.write_eof()
        else:
            super().close_transport(end)

    def connection_lost(self, exc: Exception | None) -> None:
        """End, and tell the owner that the socket is closed; called by the loop."""
        super().connection_lost(exc)
        self.owner.on_socket_closed(self)

    def handle_end(self) -> None:
        """Tell the owner."""
        self.partial_line = bytearray()
        self.owner.on_connection_ended(self)
