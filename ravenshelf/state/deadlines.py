"""The one ordered structure in which all deadlines hang."""

import heapq
from collections.abc import Hashable, Iterator


class DeadlineQueue:
    def __init__(self):
        self.heap: list[tuple[int, int, Hashable]] = []
        self.at: dict[Hashable, tuple[int, int]] = {}
        self.number = 0

    def set(self, key: Hashable, at: int) -> None:
        """Sets the key's only deadline; an earlier one of the same key no longer counts."""
        self.number += 1
        self.at[key] = (at, self.number)
        heapq.heappush(self.heap, (at, self.number, key))
        if len(self.heap) > 64 + 4 * len(self.at):  # against deadlines that are moved more often than met
            self.heap = [(at, number, key) for key, (at, number) in self.at.items()]
            heapq.heapify(self.heap)

    def drop(self, key: Hashable) -> None:
        self.at.pop(key, None)

    def next(self) -> int | None:
        while self.heap and self.at.get(self.heap[0][2]) != self.heap[0][:2]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def due(self, now: int) -> Iterator[Hashable]:
        """What is due, earliest first, each taken out as its turn comes; what is set meanwhile waits for the next call.

        One key's turn may drop or move another that was due with it: then that one is not met."""
        batch = []
        while (at := self.next()) is not None and at <= now:
            batch.append(heapq.heappop(self.heap))
        for at, number, key in batch:
            if self.at.get(key) == (at, number):
                del self.at[key]
                yield key
