"""One connection between a subscriber and its parent: a stream of framed messages."""

from typing import Any, Protocol

from ravenshelf.distribution.messages import MalformedMessageError, Message, decode, encode
from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.frames import FIRST_FRAME_LIMIT_BYTES, FRAME_LIMIT_BYTES, FrameDecoder, pack_frame
from ravenshelf.net.receive_budget import ReceiveBudget
from ravenshelf.state.buffers import BufferPool

WRITE_BUFFER_BYTES = 65_536  # No messages are pulled for a subscriber that has more unsent bytes than this.


class ConnectionListener(Protocol):
    """Receiver of the events of a connection."""

    def connection_opened(self, connection: "MessageConnection") -> None:
        """Handle the opening of the connection; messages can be sent from now on."""

    def message_received(self, connection: "MessageConnection", message: Message) -> None:
        """Handle a message that has arrived."""

    def connection_ended(self, connection: "MessageConnection") -> None:
        """Handle the end of the connection, whichever side ended it."""

    def write_resumed(self, connection: "MessageConnection") -> None:
        """Handle the event that the write buffer has capacity again."""


class MessageConnection(BufferedConnection):
    """Connection that carries framed messages and reports its events to a listener.

    It counts messages, and their bytes without frames.
    """

    def __init__(
        self,
        buffers: BufferPool,
        listener: ConnectionListener,
        name: str = "",
        receive_budget: ReceiveBudget | None = None,
    ):
        """Create a connection that the event loop opens.

        Args:
            buffers: Pool of the read buffers.
            listener: Receiver of the connection's events.
            name: Name of the dialled parent. For a subscriber the name is set when it has identified itself.
            receive_budget: Memory for the incomplete frames of all subscribers; None for a dialled parent.
        """
        super().__init__(buffers)
        self.listener = listener
        self.name = name
        self.receive_budget = receive_budget
        self.frames = FrameDecoder(FRAME_LIMIT_BYTES if receive_budget is None else FIRST_FRAME_LIMIT_BYTES)
        self.is_paused = False
        self.bytes_in = 0
        self.bytes_out = 0
        self.messages_in = 0
        self.messages_out = 0

    def connection_made(self, transport: Any) -> None:
        """Set the transport and notify the listener; called by the event loop."""
        self.transport = transport
        if self.end is not None:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.listener.connection_opened(self)

    def pause_writing(self) -> None:
        """Record that the write buffer is full; called by the event loop."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """Notify the listener that the write buffer has capacity again; called by the event loop."""
        self.is_paused = False
        if self.end is None:
            self.listener.write_resumed(self)

    def handle_data(self, data: bytes) -> None:
        """Decode received bytes and pass the messages to the listener.

        Bytes that can't be decoded end the connection.
        """
        try:
            messages = [decode(body) for body in self._count_received(self.frames.feed(data))]
        except (ValueError, MalformedMessageError):
            self.close(ConnectionEnd.UNREADABLE)
            return
        for message in messages:
            if self.end is None:
                self.listener.message_received(self, message)
        if self.end is None and self.receive_budget is not None:
            self.receive_budget.record(self, len(self.frames.incomplete_data))

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
            self.transport.write(pack_frame(payload))

    def handle_end(self) -> None:
        """Drop an incomplete frame and notify the listener; called once, whichever side ended it."""
        self.frames.incomplete_data = bytearray()
        if self.receive_budget is not None:
            self.receive_budget.record(self, 0)
        self.listener.connection_ended(self)
