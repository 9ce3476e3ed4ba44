"""A relay between proxies and their server, which can reset streams and deliver what was sent on one late."""

import asyncio
import contextlib

# The server is sent the first bytes of a late connection at once, and the rest late.
FIRST_PIECE_BYTES = 5


class StreamRelay:
    """The network between the proxies and the server.

    Attributes:
        address: Where the proxies connect, as host:port.
        late_connections: So many of the next connections are broken: what the proxy sent on them arrives in
            two pieces, the second `late_s` after connecting. After `notice_s` the proxy sees a reset.
    """

    def __init__(self, server: str, notice_s: float, late_s: float):
        self.address = ""
        self.late_connections = 0
        self._server_address = server
        self._notice_s = notice_s
        self._late_s = late_s
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._server_address.rpartition(":")
        server_reader, server_writer = await asyncio.open_connection(host, int(port))
        if self.late_connections:
            self.late_connections -= 1
            await self._break(reader, writer, server_writer)
            return
        for work in (self._pump(reader, server_writer), self._pump(server_reader, writer)):
            self._tasks.add(asyncio.create_task(work))

    async def _break(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server_writer: asyncio.StreamWriter
    ) -> None:
        data = await reader.readline()
        server_writer.write(data[:FIRST_PIECE_BYTES])
        await asyncio.sleep(self._notice_s)
        writer.transport.abort()
        await asyncio.sleep(self._late_s - self._notice_s)
        server_writer.write(data[FIRST_PIECE_BYTES:])
        server_writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(65536):
                writer.write(data)
        writer.close()
