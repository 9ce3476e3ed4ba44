"""Datagrams between servers."""

from ravenshelf.net import datagrams


def test_peers_are_identified_by_their_address():
    received, sent = [], []
    peers = datagrams.PeerDatagrams(
        ["127.0.0.1:1", "127.0.0.1:2"], "127.0.0.9:3", lambda *datagram: received.append(datagram)
    )
    assert not peers.send(0, b"too early")
    peers.connection_made(
        type("Socket", (), {"sendto": lambda self, data, address: sent.append((data, address))})()
    )
    peers.datagram_received(b"hi", ("127.0.0.1", 2))
    peers.datagram_received(b"hi", ("127.0.0.7", 2))
    peers.datagram_received(b"x" * 257, ("127.0.0.1", 2))
    assert received == [(1, b"hi"), (None, b"hi"), (None, b"x" * 257)]
    assert (
        peers.send(1, b"a")
        and peers.send(None, b"b")
        and not peers.send(2, b"c")
        and not peers.send(0, b"x" * 257)
    )
    assert sent == [(b"a", ("127.0.0.1", 2)), (b"b", ("127.0.0.9", 3))]
