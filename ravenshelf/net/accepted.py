"""An accepted connection: it splits received bytes into lines and writes messages."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.net.connection_end import STREAM, UNIDENTIFIED, ConnectionEnd
from ravenshelf.net.receive_budget import ReceiveBudget
from ravenshelf.net.stream_codec import LINE_LIMIT_BYTES, may_begin_message
from ravenshelf.policy.events import ProxyJoined
from ravenshelf.state.buffers import BUFFER_BYTES, BufferPool

# A connection with more unsent bytes than this, in addition to the socket's own buffer, is closed when the
# next message is written to it, because its peer does not read.
UNSENT_LIMIT_BYTES = 256 * 1024
# An unidentified connection first sends a short line that identifies it. Many such connections that send
# lines without an end must not fill the memory.
UNIDENTIFIED_LINE_LIMIT_BYTES = 4 * 1024
# The times of this many messages to a stream are kept, more than a counting window of any settings may hold.
MESSAGE_TIMES_LIMIT = 256


class ConnectionOwner(Protocol):
    """Handler of the events of accepted connections."""

    def on_connection_opened(self, connection: "AcceptedConnection") -> None:
        """Handle a new connection."""

    def on_line(self, connection: "AcceptedConnection", line: bytes) -> None:
        """Handle a received line, which is passed without its line end."""

    def on_connection_ended(self, connection: "AcceptedConnection") -> None:
        """Handle the end of a connection, after its `end` is set; called once for each connection."""

    def on_socket_closed(self, connection: "AcceptedConnection") -> None:
        """Handle the closing of the connection's socket, which may happen after the connection's end."""

    @property
    def receive_budget(self) -> ReceiveBudget:
        """Memory for the incomplete lines of all connections."""

    @property
    def call_soon(self) -> Callable[[Callable[[], None]], object]:
        """Function that schedules a callback for the event loop's next iteration."""


class AcceptedConnection(BufferedConnection):
    """A connection of a proxy or a collector, or one that has not identified itself yet.

    Args:
        buffers: Pool of the read buffers.
        owner: Handler of the connection's events.

    Attributes:
        partial_line: Received bytes of a line that is not complete yet.
        counted_bytes: Length of the incomplete line as recorded in the owner's receive budget.
        slot: Slot that the owner assigned to the connection, or None.
        purpose: STREAM, COLLECTOR or UNIDENTIFIED.
        proxy: Index of the proxy, if the connection is a stream.
        zone: Index of the zone, if the connection is a collector.
        peer: Address of the other side, for the log.
        pending_markers: Time at which each unacknowledged marker was written to this stream, in microseconds,
            by marker.
        has_term_check: Whether the proxy rejects commands of an older term.
        is_superseded: Whether a newer connection of the same proxy or zone has replaced this one.
        has_sent_message: Whether the peer has sent a message since the acceptor's last idle sweep.
        connected_at: Time at which the connection was accepted, in microseconds.
        number: Number of the connection among all accepted ones, in the order in which they connected.
        is_only_stream: Whether the proxy has no other open stream that has joined.
        last_message_at: Time at which the last message was received, in microseconds; recorded only while
            `is_only_stream` is not set.
        join_event: Event of the stream's last join, or None before it has joined.
        message_times: Times at which the last messages were written to this stream, in microseconds.
    """

    def __init__(self, buffers: BufferPool, owner: ConnectionOwner):
        super().__init__(buffers)
        self.owner = owner
        self.partial_line = bytearray()
        self.counted_bytes = 0
        self.slot: int | None = None
        self.purpose = UNIDENTIFIED
        self.proxy: int | None = None
        self.zone: int | None = None
        self.peer = ""
        self.pending_markers: dict[int, int] = {}
        self.has_term_check = False
        self.is_superseded = False
        self.has_sent_message = True
        self.connected_at = 0
        self.number = 0
        self.is_only_stream = True
        self.last_message_at = 0
        self.join_event: ProxyJoined | None = None
        self.message_times: deque[int] = deque(maxlen=MESSAGE_TIMES_LIMIT)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the new connection to the owner; called by the event loop."""
        super().connection_made(transport)
        self.peer = str(transport.get_extra_info("peername"))
        self.owner.on_connection_opened(self)

    def buffer_updated(self, count: int) -> None:
        """Handle one buffer of data per iteration of the event loop; called by the event loop.

        Without a pause the event loop would read from this connection as long as data keeps coming, and all
        other connections would wait. The disadvantage is that data that does not fit into one buffer takes
        several iterations.
        """
        super().buffer_updated(count)
        if count == BUFFER_BYTES and not self.transport.is_closing():
            self.transport.pause_reading()
            self.owner.call_soon(self._resume_reading)

    def _resume_reading(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def handle_data(self, data: bytes) -> None:
        """Pass complete lines to the owner.

        The connection ends if a line is too long, or if the incomplete line can't become a valid message.
        """
        searched_bytes = len(self.partial_line)
        self.partial_line += data
        while (line_end := self.partial_line.find(b"\n", searched_bytes)) >= 0:
            line = bytes(self.partial_line[:line_end]).removesuffix(b"\r")
            del self.partial_line[: line_end + 1]
            searched_bytes = 0
            if self._end_if_too_long(len(line)):
                return
            self.owner.on_line(self, line)
            if self.end is not None:
                return
        if self._end_if_too_long(len(self.partial_line)):
            return
        if not may_begin_message(self.partial_line):
            self.close(ConnectionEnd.UNREADABLE)
            return
        if len(self.partial_line) != self.counted_bytes:
            self.counted_bytes = len(self.partial_line)
            self.owner.receive_budget.record(self, self.counted_bytes)

    def _end_if_too_long(self, size: int) -> bool:
        """Close the connection if a line of this size is too long; return whether it has ended."""
        if size > (UNIDENTIFIED_LINE_LIMIT_BYTES if self.purpose == UNIDENTIFIED else LINE_LIMIT_BYTES):
            self.close(ConnectionEnd.TOO_LONG)
        return self.end is not None

    def write(self, data: bytes) -> None:
        """Write a message, or close the connection if more than `UNSENT_LIMIT_BYTES` are unsent.

        After the connection's end, nothing is written.
        """
        if self.end is not None:
            return
        if self.transport.get_write_buffer_size() > UNSENT_LIMIT_BYTES:
            self.close(ConnectionEnd.UNREAD)
            return
        self.transport.write(data)

    def close_transport(self, end: ConnectionEnd) -> None:
        """Close the transport, but if the server stops, first send what was written to a stream.

        Until that is sent, data that arrives from the proxy is read and dropped. If data were unread when the
        socket is closed, the operating system would reset the connection and drop what is in flight, possibly
        in the middle of a message.
        """
        if end is ConnectionEnd.STOPPING and self.purpose == STREAM and not self.transport.is_closing():
            self.transport.write_eof()
        else:
            super().close_transport(end)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection and report the closed socket to the owner; called by the event loop."""
        super().connection_lost(exc)
        self.owner.on_socket_closed(self)

    def handle_end(self) -> None:
        """Drop an incomplete line and report the end to the owner."""
        self.partial_line = bytearray()
        self.owner.receive_budget.record(self, 0)
        self.owner.on_connection_ended(self)
