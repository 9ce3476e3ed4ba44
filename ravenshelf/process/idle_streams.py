"""The streams of proxies that have sent nothing for long, which may be closed when all slots are in use."""

from collections.abc import Iterable

from ravenshelf.net.accepted import AcceptedConnection

# Streams are checked for silence at this interval.
SWEEP_INTERVAL_US = 30_000_000


class IdleStreams:
    """The streams that sent nothing between the last two sweeps."""

    def __init__(self) -> None:
        self._last_sweep_at = 0
        self._streams: list[AcceptedConnection] = []  # the one most likely to be dead is last

    def sweep(self, now: int, streams: Iterable[AcceptedConnection]) -> None:
        """Collect the streams that sent nothing since the last sweep.

        It does nothing if the last sweep was less than SWEEP_INTERVAL_US ago.

        Args:
            now: Time in microseconds.
            streams: The current streams of all proxies.
        """
        if now - self._last_sweep_at < SWEEP_INTERVAL_US:
            return
        self._last_sweep_at = now
        current_streams = list(streams)
        silent_streams = [stream for stream in current_streams if not stream.has_sent_message]
        # Streams with unacknowledged markers are more likely to be dead; they sort last and are closed first.
        self._streams = sorted(silent_streams, key=lambda stream: bool(stream.pending_markers))
        for stream in current_streams:
            stream.has_sent_message = False

    def pop(self) -> AcceptedConnection | None:
        """Remove and return the stream that is most likely to be dead, or None if no stream is idle."""
        while self._streams:
            stream = self._streams.pop()
            if stream.end is None and not stream.has_sent_message:
                return stream
        return None
