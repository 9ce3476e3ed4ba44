"""Connections of a member to all others: dialling, accepting, identification and replacement."""

import asyncio
import ssl
from contextlib import suppress
from typing import Protocol

from ravenshelf import log_events
from ravenshelf.leadership import link as links
from ravenshelf.leadership.cluster import ClusterMembership, LeadershipSettings, clock
from ravenshelf.leadership.link import Link
from ravenshelf.leadership.message_codec import MalformedMessageError
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.datagrams import parse_address
from ravenshelf.net.frames import INCOMPLETE_FRAMES_LIMIT_BYTES
from ravenshelf.net.receive_budget import ReceiveBudget
from ravenshelf.state.buffers import BufferPool
from ravenshelf.state.counters import Counters
from ravenshelf.time_units import SECOND

DIAL_INTERVAL_S = 0.3
DIAL_TIMEOUT_S = 1.0
HELLO_TIMEOUT_US = 2 * SECOND
# The largest number of connections whose hello has not arrived yet. When there is one more, the oldest is
# closed.
UNIDENTIFIED_LIMIT = 32
SHOWN_CHARACTERS = 60  # an error message shows at most this many characters of an unusable message


class MessageReceiver(Protocol):
    """Handles the messages of other members."""

    def receive_message(self, member: int, message: list) -> None:
        """Handle a message, given as the list that was on the wire; an exception ends the connection."""

    def message_handled(self, message: list) -> None:
        """Act on a message that `receive_message` has handled without an exception."""


class PeerConnections:
    """All connections of one member; their messages are handed to `receiver`.

    Attributes:
        links: The identified connections, by the other member's number.
        incarnations: The latest incarnation of each other member that has connected.
        receive_budget: Memory for the incomplete frames of all links.
    """

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
        self.links: dict[int, Link] = {}
        self.incarnations: dict[int, int] = {}
        self.receive_budget = ReceiveBudget(INCOMPLETE_FRAMES_LIMIT_BYTES)
        self._receiver = receiver
        self._buffers = BufferPool()
        self._unidentified_since: dict[Link, int] = {}
        self._dial_tasks: dict[int, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._dial_context: ssl.SSLContext | None = None
        self._accept_context: ssl.SSLContext | None = None
        self._is_closed = False
        self.read_certificates()

    def read_certificates(self) -> None:
        """Read the certificate files for new connections; open connections stay as they are.

        Raises:
            OSError: A file can't be read or used.
        """
        self._dial_context = None
        self._accept_context = None
        settings = self.settings
        if settings.certificate:
            self._dial_context, self._accept_context = links.create_tls_contexts(
                settings.certificate, settings.key, settings.authority
            )

    async def listen(self) -> None:
        """Accept connections of the members with lower numbers.

        Raises:
            OSError: The address can't be bound.
        """
        host, port = parse_address(self.settings.members[self.membership.name])
        self._server = await self.loop.create_server(self.make_link, host, port, ssl=self._accept_context)

    def start_dialling(self) -> None:
        """Start the tasks that keep a connection to each member with a higher number."""
        for member in range(self.membership.local_member + 1, len(self.membership.names)):
            self._dial_tasks[member] = self.loop.create_task(self._keep_dialling(member))

    async def _keep_dialling(self, member: int) -> None:
        member_address = self.settings.members[self.membership.names[member]]
        while not self._is_closed:
            if member not in self.links:
                with suppress(TimeoutError, OSError, ValueError):
                    await links.dial(
                        self.loop,
                        parse_address(member_address),
                        self.make_link,
                        self._dial_context,
                        DIAL_TIMEOUT_S,
                    )
            await asyncio.sleep(DIAL_INTERVAL_S)

    def stop_listening(self) -> None:
        """Stop dialling and accepting connections."""
        self._is_closed = True
        for task in self._dial_tasks.values():
            task.cancel()
        if self._server is not None:
            self._server.close()

    def close_links(self) -> None:
        """Close all connections; bytes that are already written to them are still sent."""
        for link in [*self.links.values(), *self._unidentified_since]:
            link.close(ConnectionEnd.STOPPING)

    def make_link(self) -> Link:
        """Return a link for a new connection, whose other side has not sent its hello yet."""
        membership = self.membership
        hello = [
            "hello",
            links.VERSION,
            membership.cluster,
            membership.name,
            membership.incarnation,
            list(membership.agreed_settings),
        ]
        link = Link(self._buffers, self, hello)
        self._unidentified_since[link] = clock()
        if len(self._unidentified_since) > UNIDENTIFIED_LIMIT:
            next(iter(self._unidentified_since)).close(ConnectionEnd.NO_CAPACITY)
        return link

    def close_silent(self, now: int) -> None:
        """Close connections whose hello did not arrive in time; `now` is in microseconds."""
        for link, since in list(self._unidentified_since.items()):
            if now - since > HELLO_TIMEOUT_US:
                link.close(ConnectionEnd.SILENT)

    def hello_received(self, link: Link, hello: list) -> str | None:
        """Identify the other side by its hello, and return why it is rejected, or None.

        If the other side is accepted, an earlier connection to the same member is closed.
        """
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
        self._unidentified_since.pop(link, None)
        superseded_link = self.links.get(member)
        self.links[member] = link
        if superseded_link is not None:
            superseded_link.close(ConnectionEnd.SUPERSEDED)
        log_events.MEMBER_CONNECTED(name=name, incarnation=incarnation)
        return None

    def _reason_to_reject(self, link: Link, hello: list) -> str | None:
        """Return why the sender of a hello is rejected, or None.

        Raises:
            TypeError: A field has an unexpected type.
            ValueError: The list has too few or too many fields.
        """
        kind, version, cluster, name, incarnation, agreed_settings = hello
        names = self.membership.names
        expected_settings = list(self.membership.agreed_settings)
        if kind != "hello" or not links.OLDEST_VERSION <= version <= links.VERSION:
            versions = f"{links.OLDEST_VERSION} to {links.VERSION}"
            return f"expected hello in version {versions}, not {str(hello)[:SHOWN_CHARACTERS]}"
        if cluster != self.membership.cluster:
            return f"expected cluster {self.membership.cluster}, not {cluster!r}"
        if name not in names or name == self.membership.name:
            return f"expected another of {', '.join(names)}, not {name!r}"
        if agreed_settings != expected_settings:
            return f"expected shards, lease and members {expected_settings}, not {agreed_settings}"
        if link.peer_common_name() not in (None, name):
            return f"expected the certificate of {name!r}, not of {link.peer_common_name()!r}"
        latest_incarnation = self.incarnations.get(names.index(name), 0)
        if incarnation < latest_incarnation:
            return f"expected {name}'s incarnation {latest_incarnation} or later, not {incarnation}"
        return None

    def message_received(self, link: Link, message: list) -> None:
        """Hand a message to the receiver; a malformed one ends the connection.

        Messages of a superseded connection are dropped.
        """
        member = link.member
        if member is None or self.links.get(member) is not link:
            return
        try:
            self._receiver.receive_message(member, message)
        except (MalformedMessageError, AttributeError, IndexError, KeyError, TypeError, ValueError) as error:
            self.counters["member_messages_malformed"] += 1
            shown_message = str(message)[:SHOWN_CHARACTERS]
            log_events.MEMBER_REJECTED(
                peer=self.membership.names[member], why=f"expected a message, not {shown_message} ({error})"
            )
            link.close(ConnectionEnd.UNREADABLE)
            return
        self._receiver.message_handled(message)

    def link_closed(self, link: Link) -> None:
        """Remove a closed connection."""
        self._unidentified_since.pop(link, None)
        member = link.member
        if member is None or self.links.get(member) is not link:
            return
        del self.links[member]
        end: ConnectionEnd | None = link.end
        if not self._is_closed and end is not None:
            log_events.MEMBER_DISCONNECTED(name=self.membership.names[member], end=end.value)
