"""Priority queue that holds every deadline of the process."""

import heapq
from collections.abc import Hashable, Iterator

# The heap is rebuilt when it has more than REBUILD_FACTOR entries for each valid deadline, plus the margin.
REBUILD_MARGIN = 64
REBUILD_FACTOR = 4


class DeadlineQueue:
    """Deadlines by key, in microseconds of the caller's clock; each key has at most one.

    Attributes:
        heap: Entries of time, number of the `set` call, and key. An entry whose deadline was moved or
            cancelled stays until it reaches the top or the heap is rebuilt.
        deadlines: The valid deadline of each key: its time and the number of the `set` call that set it.
        set_count: Number of `set` calls so far.
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
        """Set the key's deadline, in place of an earlier deadline of the same key.

        Args:
            key: Key of the deadline.
            at: Time in microseconds.
        """
        self.set_count += 1
        self.deadlines[key] = (at, self.set_count)
        heapq.heappush(self.heap, (at, self.set_count, key))
        # Deadlines that are moved more often than they expire leave invalid entries, so the heap would grow.
        if len(self.heap) > REBUILD_MARGIN + REBUILD_FACTOR * len(self.deadlines):
            self.heap = [(time, number, other_key) for other_key, (time, number) in self.deadlines.items()]
            heapq.heapify(self.heap)

    def cancel(self, key: Hashable) -> None:
        """Cancel the key's deadline, if it has one."""
        self.deadlines.pop(key, None)

    def time_of(self, key: Hashable) -> int | None:
        """Return the key's deadline in microseconds, or None if it has none."""
        deadline = self.deadlines.get(key)
        return deadline[0] if deadline is not None else None

    def earliest(self) -> int | None:
        """Return the earliest deadline in microseconds, or None if there is none."""
        while self.heap and self.deadlines.get(self.heap[0][2]) != self.heap[0][:2]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def pop_expired(self, now: int) -> Iterator[Hashable]:
        """Yield the keys whose deadline has expired, the earliest first, and remove each as it is yielded.

        A deadline that is set during the iteration is left for the next call, even if it is in the past. If
        the handling of one key cancels or moves another deadline, that other deadline's key is not
        yielded.

        Args:
            now: Time in microseconds; deadlines up to and including it have expired.
        """
        expired_entries = []
        while (at := self.earliest()) is not None and at <= now:
            expired_entries.append(heapq.heappop(self.heap))
        for at, number, key in expired_entries:
            if self.deadlines.get(key) == (at, number):
                del self.deadlines[key]
                yield key
