"""A connection that came to the pilot's address: bytes in pieces into lines, messages out."""
from typing import Protocol

from ravenshelf.memory.buffers import Buffers
from ravenshelf.net.ends import STRANGER, End
from ravenshelf.net.lines import MOST_LINE
from ravenshelf.net.reading import Reading

MOST_UNSENT = 1024 * 1024   # one message may hold so much; a reader that lags by more is not reading


class Owner(Protocol):
    def came(self, connection: "Accepted") -> None: ...
    def said(self, connection: "Accepted", line: bytes) -> None: ...
    def gone(self, connection: "Accepted") -> None: ...


class Accepted(Reading):
    def __init__(self, buffers: Buffers, owner: Owner):
        super().__init__(buffers)
        self.owner, self.pieces, self.unfinished = owner, [], 0
        self.slot: int | None = None
        self.purpose, self.proxy, self.tickets, self.peer = STRANGER, None, set(), ""

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.peer = str(transport.get_extra_info("peername"))
        self.owner.came(self)

    def received(self, data: bytes) -> None:
        *lines, rest = data.split(b"\n")
        for line in lines:
            self.pieces.append(line)
            line, self.pieces, self.unfinished = b"".join(self.pieces), [], 0
            if len(line) > MOST_LINE:
                return self.close(End.TOO_LONG)
            self.owner.said(self, line.removesuffix(b"\r"))
            if self.end is not None:
                return
        if rest:
            self.pieces.append(rest)
            self.unfinished += len(rest)
            if self.unfinished > MOST_LINE:
                self.close(End.TOO_LONG)

    def write(self, data: bytes) -> None:
        if self.end is not None:
            return
        if self.transport.get_write_buffer_size() > MOST_UNSENT:
            return self.close(End.UNREAD)
        self.transport.write(data)

    def ended(self) -> None:
        self.pieces, self.unfinished = [], 0
        self.owner.gone(self)
