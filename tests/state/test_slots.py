"""Numbers of slots and their reuse."""

from ravenshelf.state.slots import SlotTable


def test_released_numbers_are_reused_and_a_full_table_returns_none():
    slots = SlotTable(2)
    assert [slots.acquire("a"), slots.acquire("b"), slots.acquire("c")] == [0, 1, None]
    slots.release(0)
    slots.release(0)
    slots.release(None)
    assert (slots.acquire("d"), len(slots), slots.get(0), slots.get(7)) == (0, 2, "d", None)
