"""One HTTP/1.1 request: dial, request, read the answer, complete or line by line."""

import asyncio
from collections.abc import Callable

import httptools

from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.state.buffers import BufferPool

BODY_LIMIT_BYTES = 16 * 1024 * 1024
HEAD_LIMIT_BYTES = 64 * 1024  # before the status is known: a head without end must not fill the memory
STATUS_OK = 200
STATUS_SWITCHING_PROTOCOLS = 101


class HttpCall(BufferedConnection):
    """One call to `address` (host:port).

    `on_end(call)` is called once, with `end`, `status` and `body` set; `on_line(call, line)` gets the lines
    of a body as they come, and such a call collects none. `slot` is its owner's.
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
        self.has_length = False  # the body's end is told by its head
        self.slot: int | None = None
        self.dialing: asyncio.Task[None] | None = None

    def dial(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin to connect."""
        self.dialing = loop.create_task(self._dial(loop))

    async def _dial(self, loop: asyncio.AbstractEventLoop) -> None:
        try:
            host, _, port = self.address.rpartition(":")
            await loop.create_connection(lambda: self, host, int(port))
        except (OSError, ValueError):
            self.close(ConnectionEnd.REFUSED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request; called by the loop."""
        super().connection_made(transport)
        if self.end is not None:
            self.transport.abort()
            return
        self.transport.write(
            f"GET {self.path} HTTP/1.1\r\nHost: {self.address}\r\nAccept: */*\r\n"
            "Connection: close\r\n\r\n".encode()
        )

    def close(self, end: ConnectionEnd) -> None:
        """End the call, and the dial where that is still under way."""
        if self.dialing is not None and self.transport is None and end is not ConnectionEnd.REFUSED:
            self.dialing.cancel()
        if end is ConnectionEnd.CLOSED and not self.is_complete:
            end = ConnectionEnd.CUT_OFF
        super().close(end)

    def eof_received(self) -> bool:
        """Take the end of a body that has no length; called by the loop."""
        if self.status and not self.has_length:
            self.is_complete = True
            self._close_complete()
        return False

    def handle_data(self, data: bytes) -> None:
        """Parse what was read."""
        if not self.status:
            self.head_bytes += len(data)
            if self.head_bytes > HEAD_LIMIT_BYTES:
                self.close(ConnectionEnd.TOO_LONG)
                return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.is_complete:  # what follows the answer is no part of it
                self.close(ConnectionEnd.UNREADABLE)
        if self.is_complete:
            self._close_complete()

    def _close_complete(self) -> None:
        self.close(ConnectionEnd.ANSWERED if self.status == STATUS_OK else ConnectionEnd.DECLINED)

    # --- called by the parser ---

    def on_header(self, name: bytes, _value: bytes) -> None:
        """Take one field of the head."""
        self.has_length = self.has_length or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Take the head's end."""
        if not self.is_complete:
            self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
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
        *line_ends, rest = body.split(b"\n")
        for line_end in line_ends:
            self.chunks.append(line_end)
            line = b"".join(self.chunks)
            self.chunks = []
            self.chunk_bytes = 0
            if self.end is None:
                on_line(self, line.strip())
        self.chunk_bytes += len(rest)
        self.chunks.append(rest)

    def on_message_complete(self) -> None:
        """Take the answer's end; an interim answer (1xx) is passed over."""
        if 100 <= self.status < 200 and self.status != STATUS_SWITCHING_PROTOCOLS:
            self.status = 0
            self.chunks = []
            self.chunk_bytes = 0
            self.has_length = False
        else:
            self.is_complete = True

    @property
    def body(self) -> bytes:
        """The body as far as it has come."""
        return b"".join(self.chunks)

    def handle_end(self) -> None:
        """Tell the owner."""
        self.on_end(self)
