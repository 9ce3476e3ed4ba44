"""Numbered slots for connections and calls, limited in number."""

import heapq
from typing import Generic, TypeVar

Item = TypeVar("Item")


class SlotTable(Generic[Item]):
    """Up to `size` items, each under a number below `size`; a number is reused only after its release."""

    def __init__(self, size: int):
        self.size = size
        self.items: dict[int, Item] = {}
        self.free_numbers: list[int] = []  # heap of released numbers
        self.next_number = 0

    def __len__(self) -> int:
        return len(self.items)

    def acquire(self, item: Item) -> int | None:
        """Store the item under the lowest free number and return that, or None if all slots are in use."""
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
        """Return the item under a number, or None if the number is not in use."""
        return self.items.get(number)

    def release(self, number: int | None) -> None:
        """Free a number; do nothing if it is None or not in use."""
        if number is not None and self.items.pop(number, None) is not None:
            heapq.heappush(self.free_numbers, number)
