"""Datagrams between control-plane servers, which are identified by their addresses."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

# Longer datagrams are forbidden: a run of the service in which one is sent is void.
DATAGRAM_LIMIT_BYTES = 256


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of "host:port".

    Raises:
        ValueError: The port is not a number.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


class PeerDatagrams(asyncio.DatagramProtocol):
    """Socket that sends datagrams to peers and passes on those that it receives.

    Args:
        peers: host:port of each peer; a peer's number is its position.
        broadcast_address: host:port that reaches all peers, or None.
        on_datagram: Function that is called with each datagram: the sender's number and the payload. The
            number is None if the sender is not a peer or the datagram is too long.
    """

    def __init__(
        self,
        peers: list[str],
        broadcast_address: str | None,
        on_datagram: Callable[[int | None, bytes], None],
    ):
        self.peers = [parse_address(peer) for peer in peers]
        self.number_by_address = {peer: number for number, peer in enumerate(self.peers)}
        self.broadcast_address = parse_address(broadcast_address) if broadcast_address else None
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Pass on a datagram; called by the event loop."""
        is_short = len(data) <= DATAGRAM_LIMIT_BYTES
        self.on_datagram(self.number_by_address.get(addr[:2]) if is_short else None, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore an error, such as that of a peer that is down; called by the event loop.

        Datagrams are not guaranteed to arrive in any case.
        """

    def send(self, peer: int | None, payload: bytes) -> bool:
        """Send a datagram.

        Args:
            peer: Number of the peer; None for all peers.
            payload: Content of the datagram.

        Returns:
            Whether the datagram was sent. A datagram is not sent if the socket is not open yet, the peer has
            no address or the payload is too long.
        """
        destination = self._destination(peer)
        if self.transport is None or destination is None or len(payload) > DATAGRAM_LIMIT_BYTES:
            return False
        self.transport.sendto(payload, destination)
        return True

    def _destination(self, peer: int | None) -> tuple[str, int] | None:
        if peer is None:
            return self.broadcast_address
        return self.peers[peer] if 0 <= peer < len(self.peers) else None
