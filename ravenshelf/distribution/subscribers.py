"""Connections of subscribers to a relay or service owner.

The subscribers are accepted, and each is sent the distributor's messages as fast as it reads.
"""

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
from ravenshelf.net.datagrams import parse_address
from ravenshelf.net.frames import INCOMPLETE_FRAMES_LIMIT_BYTES
from ravenshelf.net.receive_budget import ReceiveBudget
from ravenshelf.state.buffers import BufferPool

IDENTIFICATION_TIMEOUT_US = 2_000_000  # The first message of a connection must arrive within this time.
MAX_UNIDENTIFIED_CONNECTIONS = 256
UNREAD_TIMEOUT_US = 30_000_000  # A subscriber that reads nothing for this time is disconnected.

# The second part of a timer key is the name of a subscriber, or the id of an unidentified connection.
PULL_TIMER: Literal["pull"] = "pull"
UNREAD_TIMER: Literal["unread"] = "unread"
IDENTIFICATION_TIMER: Literal["identification"] = "identification"
_TimerKey = tuple[Literal["pull", "unread"], str] | tuple[Literal["identification"], int]


class SubscriberListener(Protocol):
    """Receiver of the events of subscribers."""

    def subscriber_message_received(self, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """Handle a message of a subscriber that changes its subscriptions."""

    def load_report_received(self, report: ZoneLoadReport) -> None:
        """Handle a subscriber's load report."""

    def subscriber_lost(self, name: str) -> None:
        """Handle the end of a subscriber's connection."""


class Subscribers:
    """Connections of a distributor's subscribers."""

    def __init__(
        self, node: Node, buffers: BufferPool, distributor: Distributor, listener: SubscriberListener
    ):
        self.node = node
        self.buffers = buffers
        self.distributor = distributor
        self.listener = listener
        self.connections: dict[str, MessageConnection] = {}
        self.receive_budget = ReceiveBudget(INCOMPLETE_FRAMES_LIMIT_BYTES)
        self.rejected_count = 0  # Connections rejected since the start.
        self.bytes_out = 0  # Bytes of all messages since the start, without frames.
        self._unidentified_connections: dict[int, MessageConnection] = {}
        self._timers: Timers[_TimerKey] = Timers(node.loop, node.clock, self._timer_due)
        self._server: asyncio.Server | None = None

    async def start(self, listen: str) -> str:
        """Listen at host:port; return the address, with the port that the system chose for port 0."""
        host, port = parse_address(listen)
        self._server = await self.node.loop.create_server(
            lambda: MessageConnection(self.buffers, self, receive_budget=self.receive_budget), host, port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self._timers.stop()
        connections = [*self.connections.values(), *self._unidentified_connections.values()]
        self.connections.clear()
        self._unidentified_connections.clear()
        for connection in connections:
            connection.close(ConnectionEnd.STOPPING)

    def connection_opened(self, connection: MessageConnection) -> None:
        """Accept a connection, unless too many connections are unidentified."""
        if len(self._unidentified_connections) >= MAX_UNIDENTIFIED_CONNECTIONS:
            connection.close(ConnectionEnd.NO_CAPACITY)
            return
        self._unidentified_connections[id(connection)] = connection
        self._timers.set(
            (IDENTIFICATION_TIMER, id(connection)), self.node.clock() + IDENTIFICATION_TIMEOUT_US
        )

    def message_received(self, connection: MessageConnection, message: Message) -> None:
        """Handle a message; the first message of a connection must identify the subscriber."""
        if id(connection) in self._unidentified_connections:
            self._identify(connection, message)
        elif isinstance(message, Subscribe | Unsubscribe | Resync):
            self.listener.subscriber_message_received(connection.name, message)
            self.send_pending([connection.name])
        elif isinstance(message, ZoneLoadReport):
            self.listener.load_report_received(message)
        else:
            connection.close(ConnectionEnd.UNREADABLE)

    def _identify(self, connection: MessageConnection, message: Message) -> None:
        self._remove_unidentified(connection)
        if not self._is_valid_hello(message):
            self._reject(connection)
            return
        assert isinstance(message, Hello)
        superseded_connection = self.connections.pop(message.name, None)
        # The same process has dialled again, so its earlier connection is superseded.
        if superseded_connection is not None:
            superseded_connection.close(ConnectionEnd.SUPERSEDED)
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

    def _remove_unidentified(self, connection: MessageConnection) -> None:
        if self._unidentified_connections.pop(id(connection), None) is not None:
            self._timers.remove((IDENTIFICATION_TIMER, id(connection)))

    def connection_ended(self, connection: MessageConnection) -> None:
        """Remove a connection that has ended."""
        self._remove_unidentified(connection)
        if self.connections.get(connection.name) is connection:
            del self.connections[connection.name]
            self._timers.remove((PULL_TIMER, connection.name))
            self._timers.remove((UNREAD_TIMER, connection.name))
            self.listener.subscriber_lost(connection.name)

    def write_resumed(self, connection: MessageConnection) -> None:
        """Send a subscriber its pending messages, now that it has read earlier ones."""
        if connection.name in self.connections:
            self._timers.remove((UNREAD_TIMER, connection.name))
            self.send_pending([connection.name])

    def send_pending(self, names: Iterable[str]) -> None:
        """Send these subscribers their pending messages, as far as their write buffers have capacity."""
        for name in dict.fromkeys(names):
            connection = self.connections.get(name)
            if connection is None or connection.is_paused:
                continue
            now = self.node.clock()
            for message in self.distributor.pull(now, name, WRITE_BUFFER_BYTES):
                connection.write(message.payload)
                self.bytes_out += len(message.payload)
            if connection.is_paused:
                self._timers.set((UNREAD_TIMER, name), now + UNREAD_TIMEOUT_US)
            elif connection.end is None:
                self._timers.set((PULL_TIMER, name), self.distributor.due_at(now, name))

    def _timer_due(self, key: _TimerKey) -> None:
        if key[0] == IDENTIFICATION_TIMER:
            connection = self._unidentified_connections.get(key[1])
            if connection is not None:
                connection.close(ConnectionEnd.SILENT)
        elif key[0] == PULL_TIMER:
            self.send_pending([key[1]])
        else:
            self.connections[key[1]].close(ConnectionEnd.UNREAD)
