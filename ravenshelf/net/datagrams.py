"""Datagrams between control-plane servers: the sender's address tells which server sent one."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

DATAGRAM_LIMIT_BYTES = 256  # a longer one voids the run


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of "host:port"; raises ValueError where the port is no number."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends to peers by number and passes on what they send.

    `peers` are addresses by number, `broadcast_address` is the address that reaches them all.
    `on_datagram(peer, payload)` gets each datagram; the peer is None for an unknown sender
    or a datagram that is too long.
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
        """Begin; called by the loop."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Pass on a datagram; called by the loop."""
        is_short = len(data) <= DATAGRAM_LIMIT_BYTES
        self.on_datagram(self.number_by_address.get(addr[:2]) if is_short else None, data)

    def error_received(self, exc: Exception) -> None:
        """Pass over a peer that is down: datagrams promise nothing; called by the loop."""

    def send(self, peer: int | None, payload: bytes) -> bool:
        """Send to one peer or, with None, to all; return False where it has no address or is too long."""
        destination = self._destination(peer)
        if self.transport is None or destination is None or len(payload) > DATAGRAM_LIMIT_BYTES:
            return False
        self.transport.sendto(payload, destination)
        return True

    def _destination(self, peer: int | None) -> tuple[str, int] | None:
        if peer is None:
            return self.broadcast_address
        return self.peers[peer] if 0 <= peer < len(self.peers) else None
