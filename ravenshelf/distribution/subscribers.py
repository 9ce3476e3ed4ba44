"""The serving side on sockets: accepts subscribers, and sends each the distributor's messages as fast as it
reads."""

import asyncio
from collections.abc import Iterable
from typing import Literal, Protocol

from ravenshelf.distribution.connection import WRITE_BUFFER_BYTES, MessageConnection
from ravenshelf.distribution.decisions.distributor import Distributor
from ravenshelf.distribution.messages import (
    PROTOCOL,
    Hello,
    Message,
    Resync,
    Subscribe,
    Unsubscribe,
    ZoneLoadReport,
)
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.timers import Timers
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.datagrams import address
from ravenshelf.state.buffers import BufferPool

IDENTIFICATION_TIMEOUT_US = (
    2_000_000  # microseconds until the first message of a connection must have arrived
)
MAX_UNIDENTIFIED_CONNECTIONS = 256  # connections
UNREAD_TIMEOUT_US = 30_000_000  # microseconds for which a subscriber may leave its messages unread

# keys of the timers: by name of the subscriber, and for unidentified connections by their id
PULL: Literal["pull"] = "pull"
UNREAD: Literal["unread"] = "unread"
IDENTIFICATION: Literal["identification"] = "identification"
_TimerKey = tuple[Literal["pull", "unread"], str] | tuple[Literal["identification"], int]


class SubscriberListener(Protocol):
    """Is notified of the events of subscribers."""

    def subscriber_message_received(self, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """A subscriber has changed its subscriptions."""

    def load_report_received(self, report: ZoneLoadReport) -> None:
        """A subscriber has reported load."""

    def subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""


class Subscribers:
    """The connections of a distributor's subscribers."""

    def __init__(
        self, node: Node, buffers: BufferPool, distributor: Distributor, listener: SubscriberListener
    ):
        self.node = node
        self.buffers = buffers
        self.distributor = distributor
        self.listener = listener
        self.connections: dict[str, MessageConnection] = {}
        self.rejected_count = 0  # connections, in total
        self.bytes_out = 0  # of all messages ever sent, without frames
        self._unidentified: dict[int, MessageConnection] = {}
        self._timers: Timers[_TimerKey] = Timers(node.loop, node.clock, self._due)
        self._server: asyncio.Server | None = None

    async def start(self, listen: str) -> str:
        """Listen at host:port; return the address with the port that the system chose for 0."""
        host, port = address(listen)
        self._server = await self.node.loop.create_server(
            lambda: MessageConnection(self.buffers, self), host, port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self._timers.stop()
        connections = [*self.connections.values(), *self._unidentified.values()]
        self.connections.clear()
        self._unidentified.clear()
        for connection in connections:
            connection.close(ConnectionEnd.STOPPING)

    # --- connections ---

    def connection_opened(self, connection: MessageConnection) -> None:
        """Accept a connection, unless too many are unidentified."""
        if len(self._unidentified) >= MAX_UNIDENTIFIED_CONNECTIONS:
            connection.close(ConnectionEnd.NO_CAPACITY)
            return
        self._unidentified[id(connection)] = connection
        self._timers.set((IDENTIFICATION, id(connection)), self.node.clock() + IDENTIFICATION_TIMEOUT_US)

    def message_received(self, connection: MessageConnection, message: Message) -> None:
        """Handle a message; the first of a connection must identify the subscriber."""
        if id(connection) in self._unidentified:
            self._identify(connection, message)
        elif isinstance(message, Subscribe | Unsubscribe | Resync):
            self.listener.subscriber_message_received(connection.name, message)
            self.send_pending([connection.name])
        elif isinstance(message, ZoneLoadReport):
            self.listener.load_report_received(message)
        else:
            connection.close(ConnectionEnd.UNREADABLE)

    def _identify(self, connection: MessageConnection, message: Message) -> None:
        self._forget_unidentified(connection)
        if not self._is_valid_hello(message):
            self._reject(connection)
            return
        assert isinstance(message, Hello)
        superseded = self.connections.pop(message.name, None)
        if superseded is not None:  # the process has dialled again
            superseded.close(ConnectionEnd.SUPERSEDED)
            self.listener.subscriber_lost(message.name)
        if not self.distributor.add_subscriber(self.node.clock(), message.name):
            self._reject(connection)
            return
        connection.name = message.name
        self.connections[message.name] = connection
        self.send_pending([message.name])

    def _is_valid_hello(self, message: Message) -> bool:
        if not isinstance(message, Hello):
            return False
        return (message.protocol, message.cluster) == (PROTOCOL, self.node.cluster) and message.name != ""

    def _reject(self, connection: MessageConnection) -> None:
        self.rejected_count += 1
        connection.close(ConnectionEnd.DECLINED)

    def _forget_unidentified(self, connection: MessageConnection) -> None:
        if self._unidentified.pop(id(connection), None) is not None:
            self._timers.remove((IDENTIFICATION, id(connection)))

    def connection_ended(self, connection: MessageConnection) -> None:
        """Remove a connection that has ended."""
        self._forget_unidentified(connection)
        if self.connections.get(connection.name) is connection:
            del self.connections[connection.name]
            self._timers.remove((PULL, connection.name))
            self._timers.remove((UNREAD, connection.name))
            self.listener.subscriber_lost(connection.name)

    # --- outgoing messages ---

    def write_resumed(self, connection: MessageConnection) -> None:
        """A subscriber has read what it was sent."""
        if connection.name in self.connections:
            self._timers.remove((UNREAD, connection.name))
            self.send_pending([connection.name])

    def send_pending(self, names: Iterable[str]) -> None:
        """Send these subscribers their pending messages, as far as their write buffers have capacity."""
        for name in dict.fromkeys(names):
            connection = self.connections.get(name)
            if connection is None or connection.is_paused:
                continue
            now = self.node.clock()
            for outgoing in self.distributor.pull(now, name, WRITE_BUFFER_BYTES):
                connection.write(outgoing.payload)
                self.bytes_out += len(outgoing.payload)
            if connection.is_paused:
                self._timers.set((UNREAD, name), now + UNREAD_TIMEOUT_US)
            elif connection.end is None:
                self._timers.set((PULL, name), self.distributor.due_at(now, name))

    def _due(self, key: _TimerKey) -> None:
        if key[0] == IDENTIFICATION:
            unidentified = self._unidentified.get(key[1])
            if unidentified is not None:
                unidentified.close(ConnectionEnd.SILENT)
        elif key[0] == PULL:
            self.send_pending([key[1]])
        else:
            self.connections[key[1]].close(ConnectionEnd.UNREAD)
