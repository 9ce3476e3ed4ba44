"""Detection of replayed packets: recorded authenticated packets that an attacker sends again."""

from collections import OrderedDict

REPLAY_WINDOW = 600_000_000  # Time for which a digest is kept, in microseconds.
MAX_DIGESTS = 65536


class ReplayFilter:
    """Memory of the authenticated packets that were accepted, by digest.

    Its size is bounded: when it is full, the oldest digest is removed. By then the values of that packet are
    older than the newest ones of their series, so they are ignored if the packet is replayed.
    """

    def __init__(self, max_digests: int = MAX_DIGESTS) -> None:
        self.max_digests = max_digests
        # Arrival time of each accepted packet, by the packet's digest, oldest first.
        self.arrival_times: OrderedDict[int, int] = OrderedDict()

    def is_replay(self, digest: int, now: int) -> bool:
        """Return whether the digest was recorded before; record it if it was not.

        `now` is in microseconds.
        """
        while self.arrival_times:
            oldest_at = next(iter(self.arrival_times.values()))
            if oldest_at >= now - REPLAY_WINDOW and len(self.arrival_times) <= self.max_digests:
                break
            self.arrival_times.popitem(last=False)
        if digest in self.arrival_times:
            return True
        self.arrival_times[digest] = now
        return False
