"""Connections between members: frames of msgpack over TCP, with mutual TLS if certificates are configured.

A frame consists of its length in four bytes, network byte order, and a msgpack list whose first item is the
kind of the message. The first frame of each side is `hello` with the protocol version, the cluster, the name,
the incarnation, and the settings that all members must agree on. Each pair of members keeps one connection,
which the member with the lower number dials. A newer incarnation of a member supersedes an older one.
"""

import asyncio
import ssl
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from ravenshelf.net import frames as net_frames
from ravenshelf.net.buffered_connection import BufferedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.receive_budget import ReceiveBudget
from ravenshelf.state.buffers import BufferPool

# The version of the protocol that this side uses, and the oldest version that the other side may use.
VERSION = 1
OLDEST_VERSION = 1
# a connection with more unsent bytes is closed, because a member that reads so slowly counts as unreachable
UNSENT_LIMIT_BYTES = 4 * 1024 * 1024


def encode_frame(message: Any) -> bytes:
    """Return the frame of a message, which is given as a list of its kind and its fields."""
    return net_frames.pack_frame(msgspec.msgpack.encode(message))


class Frames(net_frames.FrameDecoder):
    """Decodes a byte stream into messages, each a list whose first item is its kind."""

    def feed(self, data: bytes) -> list:
        """Add received bytes, and return the messages that they complete.

        Raises:
            ValueError: A frame is not a list that begins with a text, or is too long.
            msgspec.DecodeError: A frame is not msgpack.
        """
        messages = [msgspec.msgpack.decode(body) for body in super().feed(data)]
        if not all(
            isinstance(message, list) and message and isinstance(message[0], str) for message in messages
        ):
            raise ValueError("frame: expected a list whose first item is the kind of a message")
        return messages


class LinkOwner(Protocol):
    """Receives the events of a link."""

    @property
    def receive_budget(self) -> ReceiveBudget:
        """Memory for the incomplete frames of all links."""

    def hello_received(self, link: "Link", hello: list) -> str | None:
        """Handle the first message, and return why the other side is rejected, or None."""

    def message_received(self, link: "Link", message: list) -> None:
        """Handle a message that arrives after the hello."""

    def link_closed(self, link: "Link") -> None:
        """Handle the end of the connection, which `link.end` describes."""


class Link(BufferedConnection):
    """One connection to another member.

    `member` is the number of the other member, or None before its hello is accepted.
    """

    def __init__(self, buffers: BufferPool, owner: LinkOwner, hello: list) -> None:
        super().__init__(buffers)
        self.owner = owner
        self.hello = hello
        self.frames = Frames(net_frames.FIRST_FRAME_LIMIT_BYTES)
        self.member: int | None = None

    def connection_made(self, transport: Any) -> None:
        """Send the hello, unless the link was closed before the connection was made."""
        self.transport = transport
        if self.end is not None:
            transport.abort()
            return
        transport.write(encode_frame(self.hello))

    def handle_data(self, data: bytes) -> None:
        """Decode messages and hand them to the owner; undecodable bytes end the connection."""
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
        if self.end is None:
            self.owner.receive_budget.record(self, len(self.frames.incomplete_data))

    def send(self, data: bytes) -> None:
        """Send a frame, or end the connection if too many bytes are unsent already."""
        if self.end is not None or self.transport is None:
            return
        if self.transport.get_write_buffer_size() > UNSENT_LIMIT_BYTES:
            self.close(ConnectionEnd.UNREAD)
            return
        self.transport.write(data)

    def peer_address(self) -> str:
        """Return the address of the other side, or an empty text before the connection is made."""
        return str(self.transport.get_extra_info("peername")) if self.transport is not None else ""

    def peer_common_name(self) -> str | None:
        """Return the common name of the other side's certificate.

        Returns:
            None without TLS; an empty text if the certificate has no common name.
        """
        certificate = self.transport.get_extra_info("peercert") if self.transport is not None else None
        if not certificate:
            return None
        return next(
            (
                value
                for attributes in certificate.get("subject", ())
                for key, value in attributes
                if key == "commonName"
            ),
            "",
        )

    def handle_end(self) -> None:
        """Drop an incomplete frame and report the end of the connection to the owner."""
        self.frames.incomplete_data = bytearray()
        self.owner.receive_budget.record(self, 0)
        self.owner.link_closed(self)


def create_tls_contexts(certificate: str, key: str, authority: str) -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Return the contexts to dial and to accept connections; both sides need a certificate of `authority`.

    Args:
        certificate: The path of the local certificate.
        key: The path of its private key.
        authority: The path of the certificate of the cluster's certificate authority.

    Raises:
        OSError: A file can't be read.
        ssl.SSLError: A file has unusable content.
    """
    contexts = []
    for purpose in (ssl.Purpose.SERVER_AUTH, ssl.Purpose.CLIENT_AUTH):
        context = ssl.create_default_context(purpose, cafile=authority)
        context.load_cert_chain(certificate, key)
        context.verify_mode = ssl.CERT_REQUIRED
        # members are identified by the name in their certificate, not by their address
        context.check_hostname = False
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
    """Connect to a member, with TLS if `context` is not None.

    `make_link` is called once the socket is connected, and returns the connection's protocol object.

    Raises:
        OSError: The connection failed.
        TimeoutError: The connection was not made within `timeout_s`.
    """
    await asyncio.wait_for(
        loop.create_connection(
            make_link, *address, ssl=context, server_hostname="" if context is not None else None
        ),
        timeout_s,
    )
