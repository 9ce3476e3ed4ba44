"""The serving side on sockets: accepts subscribers, and sends each what the distributor has for it while it reads."""

import asyncio
from collections.abc import Iterable
from typing import Protocol

from ravenshelf.distribution.connection import ROOM, MessageConnection
from ravenshelf.distribution.decisions.distributor import Distributor
from ravenshelf.distribution.messages import PROTOCOL, Hello, Message, Report, Resync, Subscribe, Unsubscribe
from ravenshelf.distribution.timers import Timers
from ravenshelf.distribution.upstreams import Clock
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.datagrams import address
from ravenshelf.state.buffers import BufferPool

STRANGER_FOR = 2_000_000  # microseconds in which who dials must have said who it is
STRANGERS_MOST = 256
UNREAD_FOR = 30_000_000  # microseconds for which a subscriber may leave what it was sent unread


class Listener(Protocol):
    """Who is told of subscribers."""

    def subscriber_said(self, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """What a subscriber wants has changed."""

    def subscriber_reported(self, report: Report) -> None:
        """A subscriber's sums."""

    def subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""


class Subscribers:
    """The connections of a distributor's subscribers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        buffers: BufferPool,
        cluster: str,
        distributor: Distributor,
        listener: Listener,
    ):
        self.loop, self.clock, self.buffers, self.cluster = loop, clock, buffers, cluster
        self.distributor, self.listener = distributor, listener
        self.connections: dict[str, MessageConnection] = {}
        self.refused = 0
        self.bytes_out = 0  # messages ever sent, without frames
        self._strangers: dict[int, MessageConnection] = {}
        self._timers = Timers(loop, clock, self._due)
        self._server: asyncio.AbstractServer | None = None

    async def start(self, listen: str) -> str:
        """Listens; gives host:port, with the port that the system gave for 0."""
        host, port = address(listen)
        self._server = await self.loop.create_server(
            lambda: MessageConnection(self.buffers, self), host, port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def stop(self) -> None:
        """Listens no more and ends all connections."""
        if self._server is not None:
            self._server.close()
        self._timers.stop()
        connections = [*self.connections.values(), *self._strangers.values()]
        self.connections.clear()
        self._strangers.clear()
        for connection in connections:
            connection.close(ConnectionEnd.STOPPING)

    # --- connections ---

    def opened(self, connection: MessageConnection) -> None:
        """Somebody dials."""
        if len(self._strangers) >= STRANGERS_MOST:
            connection.close(ConnectionEnd.NO_CAPACITY)
            return
        self._strangers[id(connection)] = connection
        self._timers.set(("stranger", id(connection)), self.clock() + STRANGER_FOR)

    def said(self, connection: MessageConnection, message: Message) -> None:
        """Takes a message; the first must be who dials."""
        if id(connection) in self._strangers:
            self._introduced(connection, message)
        elif isinstance(message, Subscribe | Unsubscribe | Resync):
            self.listener.subscriber_said(connection.name, message)
            self.pump([connection.name])
        elif isinstance(message, Report):
            self.listener.subscriber_reported(message)
        else:
            connection.close(ConnectionEnd.UNREADABLE)

    def _introduced(self, connection: MessageConnection, message: Message) -> None:
        self._forget_stranger(connection)
        known = isinstance(message, Hello) and (message.protocol, message.cluster) == (PROTOCOL, self.cluster)
        if not known or not message.name:
            self._refuse(connection)
            return
        before = self.connections.pop(message.name, None)
        if before is not None:  # the process has dialled again
            before.close(ConnectionEnd.SUPERSEDED)
            self.listener.subscriber_lost(message.name)
        if not self.distributor.accept(self.clock(), message.name):
            self._refuse(connection)
            return
        connection.name = message.name
        self.connections[message.name] = connection
        self.pump([message.name])

    def _refuse(self, connection: MessageConnection) -> None:
        self.refused += 1
        connection.close(ConnectionEnd.DECLINED)

    def _forget_stranger(self, connection: MessageConnection) -> None:
        if self._strangers.pop(id(connection), None) is not None:
            self._timers.drop(("stranger", id(connection)))

    def over(self, connection: MessageConnection) -> None:
        """A connection has ended."""
        self._forget_stranger(connection)
        if self.connections.get(connection.name) is connection:
            del self.connections[connection.name]
            self._timers.drop(("pull", connection.name))
            self._timers.drop(("unread", connection.name))
            self.listener.subscriber_lost(connection.name)

    # --- what they are sent ---

    def drained(self, connection: MessageConnection) -> None:
        """A subscriber has read what it was sent."""
        if connection.name in self.connections:
            self._timers.drop(("unread", connection.name))
            self.pump([connection.name])

    def pump(self, names: Iterable[str]) -> None:
        """Sends these subscribers what there is for them, as far as they read."""
        for name in dict.fromkeys(names):
            connection = self.connections.get(name)
            if connection is None or connection.paused:
                continue
            now = self.clock()
            for outgoing in self.distributor.pull(now, name, ROOM):
                connection.write(outgoing.payload)
                self.bytes_out += len(outgoing.payload)
            if connection.paused:
                self._timers.set(("unread", name), now + UNREAD_FOR)
            elif connection.end is None:
                self._timers.set(("pull", name), self.distributor.due_at(now, name))

    def _due(self, key: tuple) -> None:
        kind, whom = key
        if kind == "pull":
            self.pump([whom])
        elif kind == "unread":
            self.connections[whom].close(ConnectionEnd.UNREAD)
        elif whom in self._strangers:
            self._strangers[whom].close(ConnectionEnd.SILENT)
