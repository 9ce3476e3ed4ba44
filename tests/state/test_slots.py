"""Numbers of slots."""

from ravenshelf.state.slots import SlotTable


def test_released_slots_are_used_again_and_full_tables_give_none():
    slots = SlotTable(2)
    assert [slots.acquire("a"), slots.acquire("b"), slots.acquire("c")] == [0, 1, None]
    slots.release(0)
    slots.release(0)
    slots.release(None)
    assert (slots.acquire("d"), len(slots), slots.get(0), slots.get(7)) == (0, 2, "d", None)
