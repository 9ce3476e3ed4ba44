"""Detects packets that are sent again by someone who kept them."""

from collections import OrderedDict

REPLAY_WINDOW = 600_000_000  # microseconds
MAX_DIGESTS = 65536


class ReplayFilter:
    """Accepts each authenticated packet once.

    Its memory is bounded: when it is full the oldest digest is forgotten; by then the values of that packet
    are older than those of their series.
    """

    def __init__(self, max_digests: int = MAX_DIGESTS) -> None:
        self.max_digests = max_digests
        self.seen: OrderedDict[int, int] = OrderedDict()  # time by digest, oldest first

    def is_replay(self, digest: int, now: int) -> bool:
        """Return whether the digest was seen before, and remember it."""
        while self.seen:
            oldest_at = next(iter(self.seen.values()))
            if oldest_at >= now - REPLAY_WINDOW and len(self.seen) <= self.max_digests:
                break
            self.seen.popitem(last=False)
        if digest in self.seen:
            return True
        self.seen[digest] = now
        return False
