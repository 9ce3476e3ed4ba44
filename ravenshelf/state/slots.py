"""Numbered slots for connections and calls: a number is used again only after it was released."""

import heapq
from typing import Generic, TypeVar

Item = TypeVar("Item")


class SlotTable(Generic[Item]):
    """Up to `size` items, each under a number below `size`."""

    def __init__(self, size: int):
        self.size = size
        self.items: dict[int, Item] = {}
        self.free_numbers: list[int] = []  # a heap of released numbers
        self.next_number = 0

    def __len__(self) -> int:
        return len(self.items)

    def acquire(self, item: Item) -> int | None:
        """Put the item under the lowest free number and return that, or None where all are in use."""
        if len(self.items) >= self.size:
            return None
        if self.free_numbers:
            number = heapq.heappop(self.free_numbers)
        else:
            number = self.next_number
            self.next_number += 1
        self.items[number] = item
        return number

    def get(self, number: int) -> Item | None:
        """Return the item under a number, or None."""
        return self.items.get(number)

    def release(self, number: int | None) -> None:
        """Make a number free again; one that is not in use, or None, changes nothing."""
        if number is not None and self.items.pop(number, None) is not None:
            heapq.heappush(self.free_numbers, number)
