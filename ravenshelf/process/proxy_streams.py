"""The joined streams of each proxy, of which one is current, and the choice of that one.

A proxy has one stream that works. The server may hold others of it, because what a proxy sent on a connection
that broke may arrive late, and an end may be noticed late.
"""

from ravenshelf.net.accepted import AcceptedConnection

# A stream on which the proxy reports replaces a current one that has been silent for this long, which is two
# intervals of the reports.
SILENCE_BEFORE_REPLACEMENT_US = 2_000_000


class ProxyStreams:
    """The joined streams of all proxies.

    Attributes:
        current: The current stream of each proxy with a joined stream, by the proxy's index.
    """

    def __init__(self) -> None:
        self.current: dict[int, AcceptedConnection] = {}
        # All open streams that have joined, by proxy, in the order in which they connected.
        self._joined_streams: dict[int, list[AcceptedConnection]] = {}

    def add(self, proxy: int, stream: AcceptedConnection, now: int) -> bool:
        """Add a stream that has joined, and return whether it is the newest one of its proxy.

        The newest is the one that connected last: an earlier connection may have broken before what the proxy
        sent on it arrived.
        """
        streams = self._joined_streams.setdefault(proxy, [])
        if stream not in streams:
            streams.append(stream)
            streams.sort(key=lambda joined_stream: joined_stream.number)
        if len(streams) > 1:
            for joined_stream in streams:
                self._record_messages_of(joined_stream, now)
        return streams[-1] is stream

    @staticmethod
    def _record_messages_of(stream: AcceptedConnection, now: int) -> None:
        """Record from now on when a stream's messages arrive, because the proxy has another one."""
        if stream.is_only_stream:
            stream.is_only_stream = False
            stream.last_message_at = now

    def remove(self, proxy: int, stream: AcceptedConnection) -> AcceptedConnection | None:
        """Remove a stream that has ended, and return the newest remaining one of its proxy, or None."""
        streams = self._joined_streams.get(proxy, [])
        if stream in streams:
            streams.remove(stream)
        if self.current.get(proxy) is stream:
            del self.current[proxy]
        if streams:
            streams[-1].is_only_stream = len(streams) == 1
            return streams[-1]
        self._joined_streams.pop(proxy, None)
        return None

    def is_current_silent(self, proxy: int, now: int) -> bool:
        """Return whether the proxy's current stream has been silent for so long that another replaces it."""
        stream = self.current.get(proxy)
        return stream is None or now - stream.last_message_at >= SILENCE_BEFORE_REPLACEMENT_US
