"""Queue of points for a receiver: order of sending, retransmission and dropping."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ravenshelf.graphite.decisions.queue import Batch, PointQueue
from ravenshelf.time_units import SECOND


def make_points(count):
    return [(f"a.{number}", float(number)) for number in range(count)]


def test_the_least_important_points_are_dropped_first_and_of_them_the_oldest():
    queue = PointQueue(max_points=100, backfill_rate=10)
    for time in (10, 20, 30):
        for importance in (0, 1, 2):
            assert not queue.add(Batch(time, importance, make_points(10)))
    dropped_batches = queue.add(Batch(40, 0, make_points(30)))
    assert [(batch.time, batch.importance) for batch in dropped_batches] == [(10, 2), (20, 2)]
    dropped_batches = queue.add(Batch(50, 0, make_points(60)))
    expected = [(30, 2), (10, 1), (20, 1), (30, 1), (10, 0), (20, 0)]
    assert [(batch.time, batch.importance) for batch in dropped_batches] == expected
    assert queue.point_count == 100 and queue.dropped_points == 80


def test_current_points_are_sent_before_old_ones_and_old_ones_at_the_backfill_rate():
    queue = PointQueue(max_points=1000, backfill_rate=10)
    for time in range(10, 60, 10):
        queue.add(Batch(time, 1, make_points(10)))
    queue.add(Batch(60, 0, make_points(10)))
    assert queue.pop_next(0, 60).time == 60
    assert queue.pop_next(0, 60).time == 10  # One batch may be sent ahead of the rate.
    assert queue.pop_next(0, 60) is None
    assert queue.next_pop_at(0) == SECOND + 1
    assert queue.pop_next(SECOND + 1, 60).time == 20
    queue.add(Batch(70, 2, make_points(5)))
    assert queue.pop_next(SECOND + 1, 70).time == 70


def test_unconfirmed_batches_are_queued_again_and_do_not_go_to_other_receivers():
    queue = PointQueue(max_points=1000, backfill_rate=1000)
    for time in (10, 20, 30):
        queue.add(Batch(time, 1, make_points(10)))
    first, second = queue.pop_next(0, 30), queue.pop_next(0, 30)
    assert (first.time, second.time) == (30, 10)
    queue.requeue_unconfirmed()
    assert [batch.time for batch in queue.queued_batches[1]] == [10, 20, 30] and queue.point_count == 30
    # The receiver may have parts of the other two batches.
    assert [batch.time for batch in queue.remove_all()] == [20]


def test_batches_that_were_flushed_long_ago_count_as_received():
    queue = PointQueue(max_points=100, backfill_rate=10)
    queue.add(Batch(10, 1, make_points(10)))
    queue.pop_next(0, 10)
    queue.mark_flushed(SECOND)
    assert queue.point_count == 10 and not queue.confirm(10 * SECOND)
    assert [batch.time for batch in queue.confirm(11 * SECOND)] == [10] and queue.point_count == 0
    queue.requeue_unconfirmed()
    assert not any(queue.queued_batches)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["add", "pop_next", "mark_flushed", "requeue_unconfirmed", "remove_all", "remove_old"]
        ),
        st.integers(0, 2),
        st.integers(1, 40),
    ),
    max_size=60,
)


@given(STEPS)
@settings(max_examples=150, deadline=None)
def test_the_limit_holds_and_every_removed_point_is_counted(steps):
    queue, now, added_points, removed_points = PointQueue(max_points=100, backfill_rate=50), 0, 0, 0
    for step, importance, size in steps:
        now += SECOND
        if step == "add":
            queue.add(Batch(now // SECOND, importance, make_points(size)))
            added_points += size
        elif step == "pop_next":
            queue.pop_next(now, now // SECOND - 3)
        elif step == "mark_flushed":
            queue.mark_flushed(now)
            removed_points += sum(map(len, queue.confirm(now + 10 * SECOND)))
        elif step == "requeue_unconfirmed":
            queue.requeue_unconfirmed()
        elif step == "remove_all":
            removed_points += sum(map(len, queue.remove_all()))
        else:
            removed_points += sum(map(len, queue.remove_old(now // SECOND - 2, 5)))
        counted_points = sum(len(batch) for batches in queue.queued_batches for batch in batches)
        counted_points += sum(map(len, queue.unconfirmed_batches))
        assert counted_points == queue.point_count <= 100
        assert added_points - removed_points - queue.dropped_points == counted_points
