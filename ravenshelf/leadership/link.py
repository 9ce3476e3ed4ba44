"""Connections between members: frames of msgpack over TCP, with mutual TLS where certificates are given.

A frame is a length of four bytes, network order, and a msgpack list whose first item is its kind. The first
frame of each side is `hello`: version of this protocol, cluster, name, incarnation, and what all members
must agree on. Each pair keeps one connection; the member with the lower number dials. A newer incarnation
of a name supersedes the older.
"""

import asyncio
import ssl
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from ravenshelf.net import frames as net_frames
from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.state.buffers import BufferPool

VERSION = 1
OLDEST_VERSION = 1
UNSENT_LIMIT_BYTES = 4 * 1024 * 1024  # a member that reads so slowly counts as unreachable


def encode_frame(message: Any) -> bytes:
    """The frame of a message, given as it is on the wire."""
    return net_frames.pack(msgspec.msgpack.encode(message))


class Frames(net_frames.Frames):
    """Decodes a byte stream into messages, each a list whose first item is its kind."""

    def feed(self, data: bytes) -> list:
        """The messages that are complete now. Raises ValueError or msgspec.DecodeError for other content."""
        messages = [msgspec.msgpack.decode(body) for body in super().feed(data)]
        if not all(
            isinstance(message, list) and message and isinstance(message[0], str) for message in messages
        ):
            raise ValueError("no message")
        return messages


class LinkOwner(Protocol):
    """What a link reports to."""

    def hello_received(self, link: "Link", hello: list) -> str | None:
        """The first message. Returns why the other side is rejected, or None."""

    def message_received(self, link: "Link", message: list) -> None:
        """A later message."""

    def link_closed(self, link: "Link") -> None:
        """The connection has ended; `link.end` says how."""


class Link(BufferedConnection):
    """One connection to another member; `member` is its number once its hello is accepted."""

    def __init__(self, buffers: BufferPool, owner: LinkOwner, hello: list) -> None:
        super().__init__(buffers)
        self.owner = owner
        self.hello = hello
        self.frames = Frames()
        self.member: int | None = None

    def connection_made(self, transport: Any) -> None:
        """Sends the hello."""
        self.transport = transport
        if self.end is not None:
            transport.abort()
            return
        transport.write(encode_frame(self.hello))

    def received(self, data: bytes) -> None:
        """Decodes and hands on messages; content that is no message ends the connection."""
        try:
            messages = self.frames.feed(data)
        except (ValueError, msgspec.DecodeError):
            self.close(ConnectionEnd.UNREADABLE)
            return
        for message in messages:
            if self.end is not None:
                return
            if self.member is not None:
                self.owner.message_received(self, message)
            elif self.owner.hello_received(self, message) is not None:
                self.close(ConnectionEnd.DECLINED)
                return

    def send(self, data: bytes) -> None:
        """Sends a frame, unless too much is unsent already: then the connection ends."""
        if self.end is not None or self.transport is None:
            return
        if self.transport.get_write_buffer_size() > UNSENT_LIMIT_BYTES:
            self.close(ConnectionEnd.UNREAD)
            return
        self.transport.write(data)

    def peer_address(self) -> str:
        """The other side's address."""
        return str(self.transport.get_extra_info("peername")) if self.transport is not None else ""

    def subject(self) -> str | None:
        """The common name of the other side's certificate, or None without TLS."""
        certificate = self.transport.get_extra_info("peercert") if self.transport is not None else None
        if not certificate:
            return None
        return next(
            (value for part in certificate.get("subject", ()) for key, value in part if key == "commonName"),
            "",
        )

    def ended(self) -> None:
        """Reports the end."""
        self.owner.link_closed(self)


def tls_contexts(certificate: str, key: str, authority: str) -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Contexts to dial and to accept; both sides show a certificate of the cluster's own authority.

    Raises OSError or ssl.SSLError for files that can't be used.
    """
    contexts = []
    for purpose in (ssl.Purpose.SERVER_AUTH, ssl.Purpose.CLIENT_AUTH):
        context = ssl.create_default_context(purpose, cafile=authority)
        context.load_cert_chain(certificate, key)
        context.verify_mode = ssl.CERT_REQUIRED
        context.check_hostname = False  # members are known by their certificate's name, not by their address
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        contexts.append(context)
    return contexts[0], contexts[1]


async def dial(
    loop: asyncio.AbstractEventLoop,
    address: tuple[str, int],
    make_link: Callable[[], Link],
    context: ssl.SSLContext | None,
    timeout_s: float,
) -> None:
    """Connects to a member. Raises OSError or TimeoutError where it can't."""
    await asyncio.wait_for(
        loop.create_connection(
            make_link, *address, ssl=context, server_hostname="" if context is not None else None
        ),
        timeout_s,
    )
