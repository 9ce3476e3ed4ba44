"""One connection between a subscriber and its parent: frames of messages."""

from typing import Protocol

from ravenshelf.distribution.messages import Message, MessageError, decode, encode
from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.frames import Frames, pack
from ravenshelf.state.buffers import BufferPool

ROOM = 65_536  # bytes that wait unsent before no more is pulled for a subscriber


class Side(Protocol):
    """Who holds the connection."""

    def opened(self, connection: "MessageConnection") -> None:
        """It is open for writing."""

    def said(self, connection: "MessageConnection", message: Message) -> None:
        """A message has come."""

    def over(self, connection: "MessageConnection") -> None:
        """It has ended, whoever ended it."""

    def drained(self, connection: "MessageConnection") -> None:
        """It has room again."""


class MessageConnection(BufferedConnection):
    """Tells its side of each message, and when it has room again."""

    def __init__(self, buffers: BufferPool, side: Side, name: str = ""):
        """`name`: of the parent that was dialled, or of the subscriber once it has said so."""
        super().__init__(buffers)
        self.side, self.name = side, name
        self.frames = Frames()
        self.paused = False
        self.bytes_in = self.bytes_out = self.messages_in = self.messages_out = 0

    def connection_made(self, transport) -> None:
        """Called by the loop."""
        self.transport = transport
        if self.end is not None:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=ROOM)
        self.side.opened(self)

    def pause_writing(self) -> None:
        """Called by the loop: ROOM bytes wait."""
        self.paused = True

    def resume_writing(self) -> None:
        """Called by the loop: there is room again."""
        self.paused = False
        if self.end is None:
            self.side.drained(self)

    def received(self, data: bytes) -> None:
        """Octets have come."""
        try:
            messages = [decode(body) for body in self._counted(self.frames.feed(data))]
        except (ValueError, MessageError):
            self.close(ConnectionEnd.UNREADABLE)
            return
        for message in messages:
            if self.end is None:
                self.side.said(self, message)

    def _counted(self, bodies: list[bytes]) -> list[bytes]:
        self.messages_in += len(bodies)
        self.bytes_in += sum(map(len, bodies))
        return bodies

    def send(self, message: Message) -> None:
        """Encodes and writes a message."""
        self.write(encode(message))

    def write(self, payload: bytes) -> None:
        """Writes the bytes of a message."""
        if self.end is None and self.transport is not None:
            self.messages_out += 1
            self.bytes_out += len(payload)
            self.transport.write(pack(payload))

    def ended(self) -> None:
        """Told once, by whatever ended it."""
        self.side.over(self)
