"""What controllers say to each other: frames of msgpack over TCP, by mutual TLS where certificates are given.

A frame is a length of four octets, network order, and a msgpack list whose first is its kind. The first frame of each
side is `hello`: version of this protocol, cluster, name, incarnation, and what all members must agree on. Each pair
keeps one connection: the lower number dials. A newer incarnation of a name takes the older one's place.
"""

import asyncio
import ssl
from collections.abc import Callable
from typing import Any

import msgspec

from ravenshelf.net import frames as net_frames
from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.state.buffers import BufferPool

VERSION, OLDEST = 1, 1
MOST_UNSENT = 4 * 1024 * 1024  # a member that reads so little is not there


def frame(message: Any) -> bytes:
    return net_frames.pack(msgspec.msgpack.encode(message))


class Frames(net_frames.Frames):
    """Octets in pieces into messages."""

    def feed(self, data: bytes) -> list:
        """Raises ValueError or msgspec.DecodeError where a frame holds no message."""
        messages = [msgspec.msgpack.decode(body) for body in super().feed(data)]
        if not all(
            isinstance(message, list) and message and isinstance(message[0], str) for message in messages
        ):
            raise ValueError("no message")
        return messages


class Link(BufferedConnection):
    """One connection. `owner` has `met(link, hello)` (why not, or None), `said(link, message)`, `over(link)`."""

    def __init__(self, buffers: BufferPool, owner, hello: list):
        super().__init__(buffers)
        self.owner, self.hello, self.frames = owner, hello, Frames()
        self.member: int | None = None
        self.incarnation = 0

    def connection_made(self, transport) -> None:
        self.transport = transport
        if self.end is not None:
            transport.abort()
            return
        transport.write(frame(self.hello))

    def received(self, data: bytes) -> None:
        try:
            messages = self.frames.feed(data)
        except (ValueError, msgspec.DecodeError):
            self.close(ConnectionEnd.UNREADABLE)
            return
        for message in messages:
            if self.end is not None:
                return
            if self.member is None:
                why = self.owner.met(self, message)
                if why is not None:
                    self.close(ConnectionEnd.DECLINED)
                    return
            else:
                self.owner.said(self, message)

    def send(self, octets: bytes) -> None:
        if self.end is None and self.transport is not None:
            if self.transport.get_write_buffer_size() > MOST_UNSENT:
                return self.close(ConnectionEnd.UNREAD)
            self.transport.write(octets)

    def subject(self) -> str | None:
        """The name in the other side's certificate, or None without TLS."""
        certificate = self.transport.get_extra_info("peercert") if self.transport is not None else None
        if not certificate:
            return None
        return next(
            (value for part in certificate.get("subject", ()) for key, value in part if key == "commonName"),
            "",
        )

    def ended(self) -> None:
        self.owner.over(self)


def contexts(certificate: str, key: str, authority: str) -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """For who dials and who is dialled; both sides show a certificate of the cluster's own authority."""
    out = []
    for purpose in (ssl.Purpose.SERVER_AUTH, ssl.Purpose.CLIENT_AUTH):
        context = ssl.create_default_context(purpose, cafile=authority)
        context.load_cert_chain(certificate, key)
        context.verify_mode = ssl.CERT_REQUIRED
        context.check_hostname = False  # members are known by their certificate's name, not by their address
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        out.append(context)
    return out[0], out[1]


async def dial(
    loop: asyncio.AbstractEventLoop,
    address: tuple[str, int],
    make: Callable[[], Link],
    context: ssl.SSLContext | None,
    by: float,
) -> None:
    """Raises OSError or TimeoutError where nobody is met."""
    await asyncio.wait_for(
        loop.create_connection(
            make, *address, ssl=context, server_hostname="" if context is not None else None
        ),
        by,
    )
