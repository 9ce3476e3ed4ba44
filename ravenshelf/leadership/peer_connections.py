"""The connections of a member to all others: dialled, accepted, identified, superseded."""

import asyncio
import ssl
from contextlib import suppress
from typing import Protocol

from ravenshelf import log_events
from ravenshelf.leadership import link as links
from ravenshelf.leadership.cluster import ClusterMembership, LeadershipSettings, clock
from ravenshelf.leadership.decisions import SECOND
from ravenshelf.leadership.link import Link
from ravenshelf.leadership.message_codec import MalformedMessageError
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.datagrams import address
from ravenshelf.state.buffers import BufferPool
from ravenshelf.state.counters import Counters

DIAL_INTERVAL_S = 0.3
DIAL_TIMEOUT_S = 1.0
HELLO_TIMEOUT_US = 2 * SECOND
UNIDENTIFIED_LIMIT = 32  # connections without a hello yet; beyond it the oldest is closed
SHOWN_CHARACTERS = 60  # of a message that is not understood


class MessageReceiver(Protocol):
    """What takes the messages of members, as they are on the wire."""

    def receive_message(self, member: int, message: list) -> None:
        """Takes a message; an error that it raises ends the connection."""

    def message_handled(self, message: list) -> None:
        """Called after a message that raised none."""


class PeerConnections:
    """All connections of one member. What they receive goes to `receiver`."""

    def __init__(
        self,
        settings: LeadershipSettings,
        membership: ClusterMembership,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        receiver: MessageReceiver,
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.loop = loop
        self.counters = counters
        self.links: dict[int, Link] = {}  # by member
        self.incarnations: dict[int, int] = {}  # the latest seen, by member
        self._receiver = receiver
        self._buffers = BufferPool()
        self._unidentified: dict[Link, int] = {}  # since when
        self._dialling: dict[int, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._dial_context: ssl.SSLContext | None = None
        self._accept_context: ssl.SSLContext | None = None
        self._is_closed = False
        self.read_certificates()

    def read_certificates(self) -> None:
        """Reads the files again: new connections use them, open ones go on. Raises OSError."""
        self._dial_context = None
        self._accept_context = None
        settings = self.settings
        if settings.certificate:
            self._dial_context, self._accept_context = links.tls_contexts(
                settings.certificate, settings.key, settings.authority
            )

    # --- start and end ---

    async def listen(self) -> None:
        """Accepts connections of members with lower numbers."""
        host, port = address(self.settings.members[self.membership.name])
        self._server = await self.loop.create_server(self.make_link, host, port, ssl=self._accept_context)

    def start_dialling(self) -> None:
        """Keeps a connection to each member with a higher number."""
        for member in range(self.membership.local_member + 1, len(self.membership.names)):
            self._dialling[member] = self.loop.create_task(self._keep_dialling(member))

    async def _keep_dialling(self, member: int) -> None:
        place = self.settings.members[self.membership.names[member]]
        while not self._is_closed:
            if member not in self.links:
                with suppress(TimeoutError, OSError, ValueError):
                    await links.dial(
                        self.loop, address(place), self.make_link, self._dial_context, DIAL_TIMEOUT_S
                    )
            await asyncio.sleep(DIAL_INTERVAL_S)

    def stop_listening(self) -> None:
        """Dials and accepts no more."""
        self._is_closed = True
        for task in self._dialling.values():
            task.cancel()
        if self._server is not None:
            self._server.close()

    def close_links(self) -> None:
        """Ends all connections; what is ready to be sent leaves."""
        for link in [*self.links.values(), *self._unidentified]:
            link.close(ConnectionEnd.STOPPING)

    # --- connections ---

    def make_link(self) -> Link:
        """A connection that begins; the other side has still to send its hello."""
        membership = self.membership
        hello = [
            "hello",
            links.VERSION,
            membership.cluster,
            membership.name,
            membership.incarnation,
            list(membership.agreed),
        ]
        link = Link(self._buffers, self, hello)
        self._unidentified[link] = clock()
        if len(self._unidentified) > UNIDENTIFIED_LIMIT:
            next(iter(self._unidentified)).close(ConnectionEnd.NO_CAPACITY)
        return link

    def close_silent(self, now: int) -> None:
        """Ends connections whose hello has not come in time. `now` in microseconds."""
        for link, since in list(self._unidentified.items()):
            if now - since > HELLO_TIMEOUT_US:
                link.close(ConnectionEnd.SILENT)

    def hello_received(self, link: Link, hello: list) -> str | None:
        """Identifies the other side; returns why it is rejected, or None."""
        try:
            _, _, _, name, incarnation, _ = hello
            reason = self._reason_to_reject(link, hello)
        except (TypeError, ValueError):
            reason = f"expected hello, not {str(hello)[:SHOWN_CHARACTERS]}"
        if reason is not None:
            self.counters["members_rejected"] += 1
            log_events.MEMBER_REJECTED(peer=link.peer_address(), why=reason)
            return reason
        member = self.membership.names.index(name)
        link.member = member
        self.incarnations[member] = incarnation
        self._unidentified.pop(link, None)
        superseded = self.links.get(member)
        self.links[member] = link
        if superseded is not None:
            superseded.close(ConnectionEnd.SUPERSEDED)
        log_events.MEMBER_CONNECTED(name=name, incarnation=incarnation)
        return None

    def _reason_to_reject(self, link: Link, hello: list) -> str | None:
        """Raises TypeError or ValueError for a list that is no hello."""
        kind, version, cluster, name, incarnation, agreed = hello
        names = self.membership.names
        expected = list(self.membership.agreed)
        if kind != "hello" or not links.OLDEST_VERSION <= version <= links.VERSION:
            versions = f"{links.OLDEST_VERSION} to {links.VERSION}"
            return f"expected hello in version {versions}, not {str(hello)[:SHOWN_CHARACTERS]}"
        if cluster != self.membership.cluster:
            return f"expected cluster {self.membership.cluster}, not {cluster!r}"
        if name not in names or name == self.membership.name:
            return f"expected another of {', '.join(names)}, not {name!r}"
        if agreed != expected:
            return f"expected shards, lease and members {expected}, not {agreed}"
        if link.subject() not in (None, name):
            return f"expected the certificate of {name!r}, not of {link.subject()!r}"
        known = self.incarnations.get(names.index(name), 0)
        if incarnation < known:
            return f"expected {name}'s incarnation {known} or later, not {incarnation}"
        return None

    def message_received(self, link: Link, message: list) -> None:
        """Hands a member's message on; a malformed one ends the connection."""
        member = link.member
        if member is None or self.links.get(member) is not link:
            return
        try:
            self._receiver.receive_message(member, message)
        except (MalformedMessageError, AttributeError, IndexError, KeyError, TypeError, ValueError) as error:
            self.counters["member_messages_malformed"] += 1
            shown = str(message)[:SHOWN_CHARACTERS]
            log_events.MEMBER_REJECTED(
                peer=self.membership.names[member], why=f"expected a message, not {shown} ({error})"
            )
            link.close(ConnectionEnd.UNREADABLE)
            return
        self._receiver.message_handled(message)

    def link_closed(self, link: Link) -> None:
        """Forgets the connection."""
        self._unidentified.pop(link, None)
        member = link.member
        if member is None or self.links.get(member) is not link:
            return
        del self.links[member]
        end: ConnectionEnd | None = link.end
        if not self._is_closed and end is not None:
            log_events.MEMBER_DISCONNECTED(name=self.membership.names[member], end=end.value)
