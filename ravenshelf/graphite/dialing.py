"""Opening of connections to a receiver: name resolution and all addresses within one time limit."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from ravenshelf.graphite.connection import ReceiverConnection
from ravenshelf.graphite.decisions.connection import CONNECT_TIMEOUT
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.datagrams import parse_address
from ravenshelf.time_units import SECOND

SocketAddress = tuple[Any, ...]
Resolve = Callable[[str, int], Awaitable[Sequence[SocketAddress]]]
"""Resolves a host and port to socket addresses without blocking the event loop; raises OSError."""


async def resolve_name(host: str, port: int) -> list[SocketAddress]:
    """Resolve a name with the system's resolver.

    The lookup runs on a thread: a name server that does not answer must not block the event loop.

    Returns:
        The socket addresses of the host, for stream sockets.

    Raises:
        OSError: The name cannot be resolved.
    """
    address_entries = await asyncio.get_running_loop().getaddrinfo(host, port, type=socket.SOCK_STREAM)
    return [entry[4] for entry in address_entries]


async def dial(
    connection: ReceiverConnection,
    receiver: str,
    attempt: int,
    resolve: Resolve,
    loop: asyncio.AbstractEventLoop,
) -> None:
    """Try the receiver's addresses in turn until one accepts the connection.

    Each address gets an equal part of CONNECT_TIMEOUT. If none accepts, the connection is closed with
    REFUSED; no error is raised.

    Args:
        connection: The protocol object of the new connection.
        receiver: The receiver's address, "host:port".
        attempt: A number that changes with each attempt; it selects the address that is tried first.
        resolve: Resolves the receiver's host name.
        loop: The event loop.
    """
    try:
        host, port = parse_address(receiver)
        addresses = list(dict.fromkeys(await resolve(host.strip("[]"), port)))
        first_index = attempt % len(addresses) if addresses else 0
        for socket_address in addresses[first_index:] + addresses[:first_index]:
            if await _try_address(
                connection, socket_address, CONNECT_TIMEOUT / SECOND / len(addresses), loop
            ):
                return
        connection.close(ConnectionEnd.REFUSED)
    except (OSError, ValueError, UnicodeError):
        connection.close(ConnectionEnd.REFUSED)


async def _try_address(
    connection: ReceiverConnection,
    socket_address: SocketAddress,
    timeout_s: float,
    loop: asyncio.AbstractEventLoop,
) -> bool:
    """Try one address and return whether the connection is open or was closed meanwhile.

    In both cases no further address is to be tried.
    """
    try:
        connect_call = loop.create_connection(lambda: connection, socket_address[0], socket_address[1])
        await asyncio.wait_for(connect_call, timeout_s)
    except (TimeoutError, OSError):
        return connection.end is not None
    return True
