"""One HTTP/1.1 GET request, whose response is read as a whole or line by line."""

import asyncio
from collections.abc import Callable

import httptools

from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.state.buffers import BufferPool

BODY_LIMIT_BYTES = 16 * 1024 * 1024
# At most this much data is accepted before the status is known, so that a head without an end cannot fill the
# memory.
HEAD_LIMIT_BYTES = 64 * 1024
STATUS_OK = 200
STATUS_SWITCHING_PROTOCOLS = 101


class HttpCall(BufferedConnection):
    """A connection for one request and its response.

    Args:
        buffers: Pool of the read buffers.
        address: host:port of the server.
        path: Path to request.
        on_end: Function that is called once, with the call, when the call has ended. `end`, `status` and
            `body` are set by then.
        on_line: Function that is called with the call and each line of a successful response as it arrives.
            If it is None, or the response is not successful, the body is collected instead.

    Attributes:
        status: Status of the response; 0 until it is received.
        chunks: Received pieces of the body or, if lines are passed on, of the incomplete line.
        chunk_bytes: Total length of `chunks`.
        head_bytes: Number of bytes received before the status was known.
        is_complete: Whether the response is complete.
        has_length: Whether the head says how the end of the body is found: by its length or chunked encoding.
        slot: Slot that the call's owner assigned to it, or None.
        dialing: Task that opens the connection, or None before `dial`.
    """

    def __init__(
        self,
        buffers: BufferPool,
        address: str,
        path: str,
        on_end: Callable[["HttpCall"], None],
        on_line: Callable[["HttpCall", bytes], None] | None = None,
    ):
        super().__init__(buffers)
        self.address = address
        self.path = path
        self.on_end = on_end
        self.on_line = on_line
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.chunks: list[bytes] = []
        self.chunk_bytes = 0
        self.head_bytes = 0
        self.is_complete = False
        self.has_length = False
        self.slot: int | None = None
        self.dialing: asyncio.Task[None] | None = None

    def dial(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start to open the connection; if that fails, the call ends with REFUSED or UNREACHABLE."""
        self.dialing = loop.create_task(self._dial(loop))

    async def _dial(self, loop: asyncio.AbstractEventLoop) -> None:
        try:
            host, _, port = self.address.rpartition(":")
            await loop.create_connection(lambda: self, host, int(port))
        except ConnectionRefusedError:
            self.close(ConnectionEnd.REFUSED)
        except (OSError, ValueError):
            self.close(ConnectionEnd.UNREACHABLE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, or abort the connection if the call has ended; called by the event loop."""
        super().connection_made(transport)
        if self.end is not None:
            self.transport.abort()
            return
        self.transport.write(
            f"GET {self.path} HTTP/1.1\r\nHost: {self.address}\r\nAccept: */*\r\n"
            "Connection: close\r\n\r\n".encode()
        )

    def close(self, end: ConnectionEnd) -> None:
        """End the call, and cancel its dial if that is still in progress.

        A connection that the other side closes before the response is complete ends with CUT_OFF.
        """
        has_dial_failed = end in (ConnectionEnd.REFUSED, ConnectionEnd.UNREACHABLE)
        if self.dialing is not None and self.transport is None and not has_dial_failed:
            self.dialing.cancel()
        if end is ConnectionEnd.CLOSED and not self.is_complete:
            end = ConnectionEnd.CUT_OFF
        super().close(end)

    def eof_received(self) -> bool:
        """Complete a response whose body has no length; called by the event loop."""
        if self.status and not self.has_length:
            self.is_complete = True
            self._close_complete()
        return False

    def handle_data(self, data: bytes) -> None:
        """Parse received data, and end the call if the response is complete, malformed or too long."""
        if not self.status:
            self.head_bytes += len(data)
            if self.head_bytes > HEAD_LIMIT_BYTES:
                self.close(ConnectionEnd.TOO_LONG)
                return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.is_complete:  # errors after a complete response are ignored
                self.close(ConnectionEnd.UNREADABLE)
        if self.is_complete:
            self._close_complete()

    def _close_complete(self) -> None:
        self.close(ConnectionEnd.ANSWERED if self.status == STATUS_OK else ConnectionEnd.DECLINED)

    # Callbacks of the parser

    def on_header(self, name: bytes, _value: bytes) -> None:
        """Handle one field of the response's head."""
        self.has_length = self.has_length or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Record the status at the end of the response's head."""
        if not self.is_complete:
            self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body or pass on its lines; end the call if it collects too much."""
        if self.is_complete or self.end is not None:
            return
        if self.on_line is None or self.status != STATUS_OK:
            self.chunk_bytes += len(body)
            self.chunks.append(body)
        else:
            self._pass_lines(body, self.on_line)
        if self.chunk_bytes > BODY_LIMIT_BYTES:
            self.close(ConnectionEnd.TOO_LONG)

    def _pass_lines(self, body: bytes, on_line: Callable[["HttpCall", bytes], None]) -> None:
        *line_ends, incomplete_line = body.split(b"\n")
        for line_end in line_ends:
            self.chunks.append(line_end)
            line = b"".join(self.chunks)
            self.chunks = []
            self.chunk_bytes = 0
            if self.end is None:
                on_line(self, line.strip())
        self.chunk_bytes += len(incomplete_line)
        self.chunks.append(incomplete_line)

    def on_message_complete(self) -> None:
        """Mark the response as complete, or discard an interim response (1xx) before the next one."""
        if 100 <= self.status < 200 and self.status != STATUS_SWITCHING_PROTOCOLS:
            self.status = 0
            self.chunks = []
            self.chunk_bytes = 0
            self.has_length = False
        else:
            self.is_complete = True

    @property
    def body(self) -> bytes:
        """Body of the response as far as it was received and collected."""
        return b"".join(self.chunks)

    def handle_end(self) -> None:
        """Tell the call's owner that the call has ended."""
        self.on_end(self)
