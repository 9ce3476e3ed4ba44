"""One ordered queue that holds every deadline of the process."""

import heapq
from collections.abc import Hashable, Iterator

REBUILD_MARGIN = 64
REBUILD_FACTOR = 4  # the heap is rebuilt when it holds so many entries for each deadline that still counts


class DeadlineQueue:
    """Deadlines by key, in microseconds of the caller's clock; each key has one at most.

    `deadlines` maps a key to its time and the number of the `set` that gave it.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Hashable]] = []
        self.deadlines: dict[Hashable, tuple[int, int]] = {}
        self.set_count = 0

    def __len__(self) -> int:
        return len(self.deadlines)

    def __contains__(self, key: Hashable) -> bool:
        return key in self.deadlines

    def set(self, key: Hashable, at: int) -> None:
        """Set the key's only deadline; an earlier one of the same key no longer counts."""
        self.set_count += 1
        self.deadlines[key] = (at, self.set_count)
        heapq.heappush(self.heap, (at, self.set_count, key))
        # guards against deadlines that are moved more often than they expire
        if len(self.heap) > REBUILD_MARGIN + REBUILD_FACTOR * len(self.deadlines):
            self.heap = [(time, number, each) for each, (time, number) in self.deadlines.items()]
            heapq.heapify(self.heap)

    def cancel(self, key: Hashable) -> None:
        """Cancel the key's deadline, if it has one."""
        self.deadlines.pop(key, None)

    def time_of(self, key: Hashable) -> int | None:
        """Return the key's deadline, or None."""
        deadline = self.deadlines.get(key)
        return deadline[0] if deadline is not None else None

    def earliest(self) -> int | None:
        """Return the earliest deadline, or None."""
        while self.heap and self.deadlines.get(self.heap[0][2]) != self.heap[0][:2]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def pop_expired(self, now: int) -> Iterator[Hashable]:
        """Yield the keys whose deadline has come, earliest first, each removed as its turn comes.

        What is set meanwhile waits for the next call. Handling one key may cancel or move another that
        expired with it: then that one is not yielded.
        """
        expired = []
        while (at := self.earliest()) is not None and at <= now:
            expired.append(heapq.heappop(self.heap))
        for at, number, key in expired:
            if self.deadlines.get(key) == (at, number):
                del self.deadlines[key]
                yield key
