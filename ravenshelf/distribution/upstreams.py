"""The dialling side on sockets: does what subscription clients want done, and tells of what comes of it."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from ravenshelf.distribution.connection import MessageConnection
from ravenshelf.distribution.decisions.client import Action, Dial, HangUp, Send, SubscriptionClient
from ravenshelf.distribution.messages import PROTOCOL, Hello, Message
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.datagrams import address
from ravenshelf.state.buffers import BufferPool


class Listener(Protocol):
    """Who is told of the upstreams."""

    def upstream_connected(self, upstream: str) -> None:
        """A dial has come off."""

    def upstream_said(self, upstream: str, message: Message) -> None:
        """A parent says something."""

    def upstream_lost(self, upstream: str) -> None:
        """A connection has ended, or a dial has failed."""


class _Upstream:
    """The connection of one client, at most one at a time."""

    def __init__(self, name: str, upstreams: "Upstreams"):
        self.name, self.upstreams = name, upstreams
        self.connection: MessageConnection | None = None
        self.dial: asyncio.Task | None = None

    def opened(self, connection: MessageConnection) -> None:
        connection.send(Hello(PROTOCOL, self.upstreams.cluster, self.upstreams.own_name))

    def said(self, connection: MessageConnection, message: Message) -> None:
        if connection is self.connection:
            self.upstreams.listener.upstream_said(self.name, message)

    def drained(self, connection: MessageConnection) -> None:
        """What goes up is little, and not held back."""

    def over(self, connection: MessageConnection) -> None:
        if connection is self.connection:
            self.connection = None
            self.upstreams.listener.upstream_lost(self.name)


class Upstreams:
    """`addresses`: host:port of each parent by name."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        buffers: BufferPool,
        cluster: str,
        own_name: str,
        clients: Mapping[str, SubscriptionClient],
        addresses: Mapping[str, str],
        listener: Listener,
    ):
        self.loop, self.buffers, self.cluster, self.own_name = loop, buffers, cluster, own_name
        self.clients, self.addresses, self.listener = clients, addresses, listener
        self._upstreams = {name: _Upstream(name, self) for name in clients}

    def perform(self, actions: Iterable[tuple[str, Action]]) -> None:
        """Does what a client wants done."""
        for name, action in actions:
            upstream = self._upstreams[name]
            if isinstance(action, Send) and upstream.connection is not None:
                upstream.connection.send(action.message)
            elif isinstance(action, Dial):
                upstream.dial = self.loop.create_task(self._dial(upstream, action.parent))
            elif isinstance(action, HangUp):
                self._hang_up(upstream, ConnectionEnd.SILENT)

    async def _dial(self, upstream: _Upstream, parent: str) -> None:
        """The client gives a dial up in its own time; then this task is cancelled."""
        try:
            _, connection = await self.loop.create_connection(
                lambda: MessageConnection(self.buffers, upstream, parent), *address(self.addresses[parent])
            )
        except OSError:
            upstream.dial = None
            self.listener.upstream_lost(upstream.name)
            return
        upstream.dial = None
        upstream.connection = connection
        if connection.end is None:
            self.listener.upstream_connected(upstream.name)
        else:  # closed between the connection and this task's turn
            upstream.over(connection)

    @staticmethod
    def _hang_up(upstream: _Upstream, end: ConnectionEnd) -> None:
        if upstream.dial is not None:
            upstream.dial.cancel()
            upstream.dial = None
        connection, upstream.connection = upstream.connection, None
        if connection is not None:
            connection.close(end)

    def stop(self) -> None:
        """Ends all connections without a word to the listener."""
        for upstream in self._upstreams.values():
            self._hang_up(upstream, ConnectionEnd.STOPPING)


Clock = Callable[[], int]
