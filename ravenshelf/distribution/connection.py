"""One connection between a subscriber and its parent: a stream of framed messages."""

from typing import Any, Protocol

from ravenshelf.distribution.messages import MalformedMessageError, Message, decode, encode
from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.frames import Frames, pack
from ravenshelf.state.buffers import BufferPool

WRITE_BUFFER_BYTES = 65_536  # unsent bytes from which on no more is pulled for a subscriber


class ConnectionListener(Protocol):
    """Is notified of the events of a connection."""

    def connection_opened(self, connection: "MessageConnection") -> None:
        """The connection is open for writing."""

    def message_received(self, connection: "MessageConnection", message: Message) -> None:
        """A message has arrived."""

    def connection_ended(self, connection: "MessageConnection") -> None:
        """The connection has ended, whichever side ended it."""

    def write_resumed(self, connection: "MessageConnection") -> None:
        """The write buffer has capacity again."""


class MessageConnection(BufferedConnection):
    """Notifies its listener of each message, and when the write buffer has capacity again.

    Counts messages, and their bytes without frames.
    """

    def __init__(self, buffers: BufferPool, listener: ConnectionListener, name: str = ""):
        """`name`: of the parent that was dialled, or of the subscriber once it has identified itself."""
        super().__init__(buffers)
        self.listener = listener
        self.name = name
        self.frames = Frames()
        self.is_paused = False  # the write buffer is full
        self.bytes_in = 0
        self.bytes_out = 0
        self.messages_in = 0
        self.messages_out = 0

    def connection_made(self, transport: Any) -> None:
        """Called by the event loop."""
        self.transport = transport
        if self.end is not None:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.listener.connection_opened(self)

    def pause_writing(self) -> None:
        """Called by the event loop: the write buffer is full."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """Called by the event loop: the write buffer has capacity again."""
        self.is_paused = False
        if self.end is None:
            self.listener.write_resumed(self)

    def received(self, data: bytes) -> None:
        """Handle received bytes."""
        try:
            messages = [decode(body) for body in self._count_received(self.frames.feed(data))]
        except (ValueError, MalformedMessageError):
            self.close(ConnectionEnd.UNREADABLE)
            return
        for message in messages:
            if self.end is None:
                self.listener.message_received(self, message)

    def _count_received(self, bodies: list[bytes]) -> list[bytes]:
        self.messages_in += len(bodies)
        self.bytes_in += sum(map(len, bodies))
        return bodies

    def send(self, message: Message) -> None:
        """Encode and write a message."""
        self.write(encode(message))

    def write(self, payload: bytes) -> None:
        """Write an encoded message; ignored once the connection has ended."""
        if self.end is None and self.transport is not None:
            self.messages_out += 1
            self.bytes_out += len(payload)
            self.transport.write(pack(payload))

    def ended(self) -> None:
        """Called once, whichever side ended the connection."""
        self.listener.connection_ended(self)
