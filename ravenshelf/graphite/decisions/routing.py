"""Which receiver gets a metric's points, and where queued points go when the set of receivers changes."""

from collections.abc import Iterable, Sequence

import xxhash

Point = tuple[str, float]
MAX_CACHED_RANKS = 100_000


class RendezvousRouter:
    """Rendezvous hashing: each metric ranks the receivers and belongs to the first that holds its share.

    When a receiver fails over, only its metrics move, and the same metrics return.
    """

    def __init__(self, receivers: Sequence[str], max_cached_ranks: int = MAX_CACHED_RANKS) -> None:
        self.receivers = tuple(receivers)
        self.max_cached_ranks = max_cached_ranks
        self.cached_ranks: dict[str, tuple[int, ...]] = {}

    def rank(self, path: str) -> tuple[int, ...]:
        """Return the numbers of the receivers in the order of the path's preference."""
        ranked = self.cached_ranks.get(path)
        if ranked is None:
            scores = [xxhash.xxh64_intdigest(f"{path}\0{receiver}".encode()) for receiver in self.receivers]
            ranked = tuple(sorted(range(len(scores)), key=lambda number: (-scores[number], number)))
            if len(self.cached_ranks) >= self.max_cached_ranks:
                self.cached_ranks.clear()
            self.cached_ranks[path] = ranked
        return ranked

    def owner(self, path: str, holds_share: Sequence[bool]) -> int:
        """Return the receiver of a path; the preferred one if none holds its share: the points wait there."""
        ranked = self.rank(path)
        return next((number for number in ranked if holds_share[number]), ranked[0])

    def partition(self, points: Iterable[Point], holds_share: Sequence[bool]) -> dict[int, list[Point]]:
        """Return the points by the number of their receiver."""
        by_receiver: dict[int, list[Point]] = {}
        for point in points:
            by_receiver.setdefault(self.owner(point[0], holds_share), []).append(point)
        return by_receiver


def handover_targets(old: Sequence[str], new: Sequence[str], route: str) -> dict[str, list[str]]:
    """Return which receivers get the queued points of each receiver that was removed.

    With route "hash" these are all new receivers, and the caller asks `RendezvousRouter` for each point. With
    "all" the remaining receivers have the points already: the points of the first that was removed go to each
    that was added.
    """
    removed = [receiver for receiver in old if receiver not in new]
    if route == "hash":
        return {receiver: list(new) for receiver in removed}
    added = [receiver for receiver in new if receiver not in old]
    return {receiver: added if number == 0 else [] for number, receiver in enumerate(removed)}
