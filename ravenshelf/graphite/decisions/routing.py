"""Routing of points to receivers, and of queued points when the set of receivers changes."""

from collections.abc import Iterable, Sequence

import xxhash

Point = tuple[str, float]
MAX_CACHED_RANKINGS = 100_000  # Maximum number of paths whose ranking is cached.


class RendezvousRouter:
    """Rendezvous hashing of metric paths to receivers.

    Each path ranks the receivers by a hash and belongs to the first in its ranking that has not failed over.
    When a receiver fails over, only the paths that belong to it move to others, and the same paths return
    when it recovers.
    """

    def __init__(self, receivers: Sequence[str], max_cached_rankings: int = MAX_CACHED_RANKINGS) -> None:
        self.receivers = tuple(receivers)
        self.max_cached_rankings = max_cached_rankings
        self.cached_rankings: dict[str, tuple[int, ...]] = {}

    def rank(self, path: str) -> tuple[int, ...]:
        """Return the indices of all receivers in the order of the path's preference."""
        ranking = self.cached_rankings.get(path)
        if ranking is None:
            scores = [xxhash.xxh64_intdigest(f"{path}\0{receiver}".encode()) for receiver in self.receivers]
            ranking = tuple(sorted(range(len(scores)), key=lambda index: (-scores[index], index)))
            if len(self.cached_rankings) >= self.max_cached_rankings:
                self.cached_rankings.clear()
            self.cached_rankings[path] = ranking
        return ranking

    def find_owner(self, path: str, has_share: Sequence[bool]) -> int:
        """Return the index of the receiver that gets a path's points.

        If all receivers have failed over, this is the most preferred one, and the points wait in its queue.

        Args:
            path: The metric's path.
            has_share: Whether each receiver gets its share of the paths, by index; False after a failover.
        """
        ranking = self.rank(path)
        return next((index for index in ranking if has_share[index]), ranking[0])

    def partition(self, points: Iterable[Point], has_share: Sequence[bool]) -> dict[int, list[Point]]:
        """Return the points grouped by the index of the receiver that gets them."""
        points_by_receiver: dict[int, list[Point]] = {}
        for point in points:
            points_by_receiver.setdefault(self.find_owner(point[0], has_share), []).append(point)
        return points_by_receiver


def handover_targets(
    old_receivers: Sequence[str], new_receivers: Sequence[str], route: str
) -> dict[str, list[str]]:
    """Return, for each receiver that was removed, the receivers that get its queued points.

    With route "hash" these are all new receivers; the caller asks `RendezvousRouter` about each point. With
    route "all" the remaining receivers have the points already, so the points of the first removed receiver
    go to every receiver that was added, and those of the others to none.
    """
    removed_receivers = [receiver for receiver in old_receivers if receiver not in new_receivers]
    if route == "hash":
        return {receiver: list(new_receivers) for receiver in removed_receivers}
    added_receivers = [receiver for receiver in new_receivers if receiver not in old_receivers]
    return {
        receiver: added_receivers if index == 0 else [] for index, receiver in enumerate(removed_receivers)
    }
