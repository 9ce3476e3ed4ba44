"""One HTTP/1.1 call: dial, ask, read the answer, whole or line by line."""

import asyncio
from collections.abc import Callable

import httptools

from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.state.buffers import BufferPool

MOST_BODY = 16 * 1024 * 1024
MOST_HEAD = 64 * 1024  # before the status is known: a head without end must not fill the memory


class HttpCall(BufferedConnection):
    """`done(call)` is told once, with `end`, `status` and `body`; `piece(call, line)` gets lines as they come."""

    def __init__(
        self, buffers: BufferPool, host: str, path: str, done: Callable, piece: Callable | None = None
    ):
        super().__init__(buffers)
        self.host, self.path, self.done, self.piece = host, path, done, piece
        self.parser = httptools.HttpResponseParser(self)
        self.status, self.size, self.chunks, self.complete, self.sized = 0, 0, [], False, False
        self.head = 0
        self.slot: int | None = None
        self.dialing: asyncio.Task | None = None

    def dial(self, loop: asyncio.AbstractEventLoop) -> None:
        self.dialing = loop.create_task(self._dial(loop))

    async def _dial(self, loop: asyncio.AbstractEventLoop) -> None:
        try:
            host, _, port = self.host.rpartition(":")
            await loop.create_connection(lambda: self, host, int(port))
        except (OSError, ValueError):
            self.close(ConnectionEnd.REFUSED)

    def connection_made(self, transport) -> None:
        self.transport = transport
        if self.end is not None:
            transport.abort()
            return
        transport.write(
            f"GET {self.path} HTTP/1.1\r\nHost: {self.host}\r\nAccept: */*\r\n"
            "Connection: close\r\n\r\n".encode()
        )

    def close(self, end: ConnectionEnd) -> None:
        if self.dialing is not None and self.transport is None and end is not ConnectionEnd.REFUSED:
            self.dialing.cancel()
        if end is ConnectionEnd.CLOSED and not self.complete:
            end = ConnectionEnd.CUT_OFF
        super().close(end)

    def eof_received(self) -> bool:
        if self.status and not self.sized:  # a body without a length ends with its connection
            self.complete = True
            self.close(ConnectionEnd.ANSWERED if self.status == 200 else ConnectionEnd.DECLINED)
        return False

    def received(self, data: bytes) -> None:
        if not self.status:
            self.head += len(data)
            if self.head > MOST_HEAD:
                self.close(ConnectionEnd.TOO_LONG)
                return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:  # what comes behind the answer is none of it
                self.close(ConnectionEnd.UNREADABLE)
        if self.complete:
            self.close(ConnectionEnd.ANSWERED if self.status == 200 else ConnectionEnd.DECLINED)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.sized = self.sized or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        if not self.complete:
            self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        if self.complete or self.end is not None:
            return
        if self.piece is None or self.status != 200:
            self.size += len(body)
            self.chunks.append(body)
        else:
            *lines, rest = body.split(b"\n")
            for line in lines:
                self.chunks.append(line)
                line, self.chunks, self.size = b"".join(self.chunks), [], 0
                if self.end is None:
                    self.piece(self, line.strip())
            self.size += len(rest)
            self.chunks.append(rest)
        if self.size > MOST_BODY:
            self.close(ConnectionEnd.TOO_LONG)

    def on_message_complete(self) -> None:
        if 100 <= self.status < 200 and self.status != 101:  # the answer is still to come
            self.status, self.size, self.chunks, self.sized = 0, 0, [], False
        else:
            self.complete = True

    @property
    def body(self) -> bytes:
        return b"".join(self.chunks)

    def ended(self) -> None:
        self.done(self)
