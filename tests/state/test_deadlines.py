"""Order, cancellation and moving of deadlines."""

import random

from ravenshelf.state.deadlines import DeadlineQueue


def test_deadlines_expire_in_order_and_once():
    deadlines, random_source = DeadlineQueue(), random.Random(3)
    # Each deadline is moved many times; its invalid entries must not accumulate in the heap.
    for number in range(2000):
        deadlines.set(number % 20, random_source.randrange(1000, 2000))
    for number in range(20):
        deadlines.set(number, 500 - number)
    deadlines.cancel(3)
    assert deadlines.earliest() == 481 and len(deadlines.heap) < 200
    assert list(deadlines.pop_expired(490)) == [19, 18, 17, 16, 15, 14, 13, 12, 11, 10]
    assert list(deadlines.pop_expired(10_000)) == [9, 8, 7, 6, 5, 4, 2, 1, 0] and deadlines.earliest() is None


def test_a_deadline_cancelled_or_moved_while_another_is_handled_does_not_expire():
    deadlines = DeadlineQueue()
    for number in range(4):
        deadlines.set(number, 10 + number)
    expired_keys = []
    for key in deadlines.pop_expired(20):
        expired_keys.append(key)
        if key == 0:
            deadlines.cancel(1)
            deadlines.set(2, 30)
            # This deadline is in the past, but was set during the iteration, so it is left for the next call.
            deadlines.set("new", 5)
    assert (
        expired_keys == [0, 3]
        and list(deadlines.pop_expired(20)) == ["new"]
        and list(deadlines.pop_expired(30)) == [2]
    )
