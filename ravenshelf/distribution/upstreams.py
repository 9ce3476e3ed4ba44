"""Connections to parents, which perform the actions of subscription clients and report the results."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Protocol

from ravenshelf.distribution.connection import MessageConnection
from ravenshelf.distribution.decisions.client import Action, Dial, Disconnect, Send, SubscriptionClient
from ravenshelf.distribution.messages import PROTOCOL, Hello, Message
from ravenshelf.distribution.node import Node
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.datagrams import parse_address
from ravenshelf.state.buffers import BufferPool


class UpstreamListener(Protocol):
    """Receiver of the events of upstreams."""

    def upstream_connected(self, upstream: str) -> None:
        """Handle a successful dial of an upstream's parent."""

    def upstream_message_received(self, upstream: str, message: Message) -> None:
        """Handle a message of an upstream's parent."""

    def upstream_lost(self, upstream: str) -> None:
        """Handle the end of an upstream's connection, or the failure of a dial."""


class _Upstream:
    """The connection of one client to its parent; there is at most one at a time."""

    def __init__(self, name: str, node: Node, listener: UpstreamListener):
        self.name = name
        self.node = node
        self.listener = listener
        self.connection: MessageConnection | None = None
        self.dial: asyncio.Task | None = None

    def connection_opened(self, connection: MessageConnection) -> None:
        """Identify this node to its parent."""
        connection.send(Hello(PROTOCOL, self.node.cluster, self.node.name))

    def message_received(self, connection: MessageConnection, message: Message) -> None:
        """Pass a message to the listener, unless a newer connection has replaced this one."""
        if connection is self.connection:
            self.listener.upstream_message_received(self.name, message)

    def write_resumed(self, connection: MessageConnection) -> None:
        """Do nothing: messages to parents are small and not deferred."""

    def connection_ended(self, connection: MessageConnection) -> None:
        """Report the loss of the present connection."""
        if connection is self.connection:
            self.connection = None
            self.listener.upstream_lost(self.name)


class Upstreams:
    """Connections of a node's subscription clients to their parents."""

    def __init__(
        self,
        node: Node,
        buffers: BufferPool,
        clients: Mapping[str, SubscriptionClient],
        listener: UpstreamListener,
    ):
        """Create upstreams without connections.

        Args:
            node: This process, with the addresses of the parents.
            buffers: Pool of the read buffers.
            clients: Subscription clients, by name of the upstream.
            listener: Receiver of the events.
        """
        self.node = node
        self.buffers = buffers
        self.clients = clients
        self.listener = listener
        self._upstreams = {name: _Upstream(name, node, listener) for name in clients}

    def perform(self, actions: Iterable[tuple[str, Action]]) -> None:
        """Perform actions of clients, each given with the name of its upstream."""
        for name, action in actions:
            upstream = self._upstreams[name]
            if isinstance(action, Send) and upstream.connection is not None:
                upstream.connection.send(action.message)
            elif isinstance(action, Dial):
                upstream.dial = self.node.loop.create_task(self._dial(upstream, action.parent))
            elif isinstance(action, Disconnect):
                self._disconnect(upstream, ConnectionEnd.SILENT)

    async def _dial(self, upstream: _Upstream, parent: str) -> None:
        """Dial a parent, and report the result to the listener.

        There is no timeout here: a client whose dial takes too long disconnects, which cancels this task.
        """
        host, port = parse_address(self.node.parent_addresses[parent])
        try:
            _, connection = await self.node.loop.create_connection(
                lambda: MessageConnection(self.buffers, upstream, parent), host, port
            )
        except OSError:
            upstream.dial = None
            self.listener.upstream_lost(upstream.name)
            return
        upstream.dial = None
        upstream.connection = connection
        if connection.end is None:
            self.listener.upstream_connected(upstream.name)
        else:  # The connection was closed before this task was resumed.
            upstream.connection_ended(connection)

    @staticmethod
    def _disconnect(upstream: _Upstream, end: ConnectionEnd) -> None:
        if upstream.dial is not None:
            upstream.dial.cancel()
            upstream.dial = None
        connection = upstream.connection
        upstream.connection = None
        if connection is not None:
            connection.close(end)

    def stop(self) -> None:
        """End all connections and dials without notifying the listener."""
        for upstream in self._upstreams.values():
            self._disconnect(upstream, ConnectionEnd.STOPPING)
