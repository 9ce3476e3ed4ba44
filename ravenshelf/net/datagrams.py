"""Datagrams between pilots: the sender's address tells which pilot spoke."""

import asyncio
from collections.abc import Callable

MOST = 256  # a longer one voids the run


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, peers: list[str], everyone: str | None, told: Callable[[int | None, bytes], None]):
        self.peers = [address(p) for p in peers]
        self.number = {peer: n for n, peer in enumerate(self.peers)}
        self.everyone, self.told, self.transport = address(everyone) if everyone else None, told, None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, sender) -> None:
        """`told` gets None as the peer for a stranger's datagram, or one that is too long."""
        known = self.number.get(tuple(sender[:2])) if len(data) <= MOST else None
        self.told(known, data)

    def error_received(self, why: Exception) -> None:
        pass  # a peer that is down; datagrams promise nothing

    def send(self, peer: int | None, data: bytes) -> bool:
        """To one pilot or, with None, to all; False where there is no such address or it is too long."""
        if self.transport is None or len(data) > MOST:
            return False
        if peer is None:
            to = self.everyone
        else:
            to = self.peers[peer] if 0 <= peer < len(self.peers) else None
        if to is None:
            return False
        self.transport.sendto(data, to)
        return True
