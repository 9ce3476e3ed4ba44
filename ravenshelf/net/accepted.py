"""A connection that came to the pilot's address: bytes in pieces into lines, messages out."""

from collections.abc import Callable
from typing import Protocol

from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.net.connection_end import STRANGER, STREAM, ConnectionEnd
from ravenshelf.net.stream_codec import MOST_LINE, may_begin
from ravenshelf.state.buffers import BUFFER_BYTES, BufferPool

MOST_UNSENT = 256 * 1024  # waiting beyond the socket before one more message; who lags by more is not reading
MOST_UNKNOWN = 4 * 1024  # a stranger's line is a joining: many without end must not fill the memory


class Owner(Protocol):
    def came(self, connection: "AcceptedConnection") -> None: ...
    def said(self, connection: "AcceptedConnection", line: bytes) -> None: ...
    def gone(self, connection: "AcceptedConnection") -> None: ...
    def lost(self, connection: "AcceptedConnection") -> None: ...
    def next_turn(self, call: Callable[[], None]) -> None: ...


class AcceptedConnection(BufferedConnection):
    def __init__(self, buffers: BufferPool, owner: Owner):
        super().__init__(buffers)
        self.owner, self.rest = owner, bytearray()
        self.slot: int | None = None
        self.purpose, self.proxy, self.zone, self.peer = STRANGER, None, None, ""
        self.tickets: dict[int, int] = {}  # marks written on this stream and not yet answered, and when
        self.fences = False  # a proxy that takes orders with terms
        self.followed = False  # a newer connection has taken its place
        self.spoke = True  # since the door last asked
        self.since = 0  # when it connected

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.peer = str(transport.get_extra_info("peername"))
        self.owner.came(self)

    def buffer_updated(self, count: int) -> None:
        """One buffer a turn: the loop itself would read on as long as a flood lasts, and everyone else would wait.

        Harm: who has more to say at once than fits in a buffer needs several turns for it."""
        super().buffer_updated(count)
        if count == BUFFER_BYTES and not self.transport.is_closing():
            self.transport.pause_reading()
            self.owner.next_turn(self._read_on)

    def _read_on(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def received(self, data: bytes) -> None:
        looked = len(self.rest)
        self.rest += data
        while (end := self.rest.find(b"\n", looked)) >= 0:
            line = bytes(self.rest[:end]).removesuffix(b"\r")
            del self.rest[: end + 1]
            looked = 0
            if self._too_long(len(line)):
                return
            self.owner.said(self, line)
            if self.end is not None:
                return
        if not self._too_long(len(self.rest)) and not may_begin(self.rest):
            self.close(ConnectionEnd.UNREADABLE)

    def _too_long(self, size: int) -> bool:
        if size > (MOST_UNKNOWN if self.purpose == STRANGER else MOST_LINE):
            self.close(ConnectionEnd.TOO_LONG)
        return self.end is not None

    def write(self, data: bytes) -> None:
        if self.end is not None:
            return None
        if self.transport.get_write_buffer_size() > MOST_UNSENT:
            return self.close(ConnectionEnd.UNREAD)
        self.transport.write(data)

    def close_transport(self, end: ConnectionEnd) -> None:
        """At the pilot's stop a stream gets all that was written to it, and its end after that.

        What the proxy still sends is read meanwhile and left: were it unread at the close, the system would reset the
        connection and drop what is on its way, maybe in the middle of a message."""
        if end is ConnectionEnd.STOPPING and self.purpose == STREAM and not self.transport.is_closing():
            self.transport.write_eof()
        else:
            super().close_transport(end)

    def connection_lost(self, why: Exception | None) -> None:
        super().connection_lost(why)
        self.owner.lost(self)

    def ended(self) -> None:
        self.rest = bytearray()
        self.owner.gone(self)
