"""The order of deadlines, and what cancels them."""

import random

from ravenshelf.state.deadlines import DeadlineQueue


def test_deadlines_expire_in_order_and_once():
    deadlines, chance = DeadlineQueue(), random.Random(3)
    for n in range(2000):  # moved over and over: what no longer counts must not pile up
        deadlines.set(n % 20, chance.randrange(1000, 2000))
    for n in range(20):
        deadlines.set(n, 500 - n)
    deadlines.cancel(3)
    assert deadlines.earliest() == 481 and len(deadlines.heap) < 200
    assert list(deadlines.pop_expired(490)) == [19, 18, 17, 16, 15, 14, 13, 12, 11, 10]
    assert list(deadlines.pop_expired(10_000)) == [9, 8, 7, 6, 5, 4, 2, 1, 0] and deadlines.earliest() is None


def test_a_deadline_cancelled_or_moved_by_one_that_expired_with_it_does_not_expire():
    deadlines = DeadlineQueue()
    for n in range(4):
        deadlines.set(n, 10 + n)
    met = []
    for key in deadlines.pop_expired(20):
        met.append(key)
        if key == 0:
            deadlines.cancel(1)
            deadlines.set(2, 30)
            deadlines.set("new", 5)  # set meanwhile: it waits for the next call, past as it is
    assert (
        met == [0, 3]
        and list(deadlines.pop_expired(20)) == ["new"]
        and list(deadlines.pop_expired(30)) == [2]
    )
