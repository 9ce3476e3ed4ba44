"""Numbered slots for connections and requests: a number is given again only after it was given back."""

import heapq


class SlotTable:
    def __init__(self, size: int):
        self.size, self.held, self.free, self.next = size, {}, [], 0

    def __len__(self) -> int:
        return len(self.held)

    def take(self, what) -> int | None:
        """The lowest free number, or None where all are taken."""
        if len(self.held) >= self.size:
            return None
        if self.free:
            number = heapq.heappop(self.free)
        else:
            number, self.next = self.next, self.next + 1
        self.held[number] = what
        return number

    def get(self, number: int):
        return self.held.get(number)

    def give_back(self, number: int | None) -> None:
        if self.held.pop(number, None) is not None:
            heapq.heappush(self.free, number)
