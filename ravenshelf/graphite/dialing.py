"""Opens a connection to a receiver: looks its name up and tries all its addresses within one time limit."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from ravenshelf.graphite.connection import ReceiverConnection
from ravenshelf.graphite.decisions.connection import CONNECT_TIMEOUT, SECOND
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.datagrams import address

SocketAddress = tuple[Any, ...]
Resolve = Callable[[str, int], Awaitable[Sequence[SocketAddress]]]
"""Gives the socket addresses of a host and port without blocking the event loop; raises OSError."""


async def resolve_name(host: str, port: int) -> list[SocketAddress]:
    """Ask the system's resolver, on a thread: a name server that hangs must not block the event loop."""
    found = await asyncio.get_running_loop().getaddrinfo(host, port, type=socket.SOCK_STREAM)
    return [entry[4] for entry in found]


async def dial(
    connection: ReceiverConnection,
    receiver: str,
    attempt: int,
    resolve: Resolve,
    loop: asyncio.AbstractEventLoop,
) -> None:
    """Try the receiver's addresses in turn, starting with another one at each attempt.

    Closes the connection with REFUSED where none accepts it.
    """
    try:
        host, port = address(receiver)
        addresses = list(dict.fromkeys(await resolve(host.strip("[]"), port)))
        start = attempt % len(addresses) if addresses else 0
        for place in addresses[start:] + addresses[:start]:
            if await _try_address(connection, place, CONNECT_TIMEOUT / SECOND / len(addresses), loop):
                return
        connection.close(ConnectionEnd.REFUSED)
    except (OSError, ValueError, UnicodeError):
        connection.close(ConnectionEnd.REFUSED)


async def _try_address(
    connection: ReceiverConnection, place: SocketAddress, timeout_s: float, loop: asyncio.AbstractEventLoop
) -> bool:
    """Return whether there is nothing more to try: the connection is open, or was given up meanwhile."""
    try:
        opening = loop.create_connection(lambda: connection, place[0], place[1])
        await asyncio.wait_for(opening, timeout_s)
    except (TimeoutError, OSError):
        return connection.end is not None
    return True
