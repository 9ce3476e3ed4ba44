"""Receivers of figures: the state of one, whose a figure is, what waits and what goes."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from ravenshelf.graphite import decisions, formats
from ravenshelf.graphite.decisions import SECOND, Backlog, Batch, Receiver, Shares, apart, moves


def points(count, of="a"):
    return [(f"{of}.{n}", float(n)) for n in range(count)]


# --- one receiver ---


def test_a_receiver_that_refuses_for_an_hour_is_dialled_seldom_and_at_once_less_than_allowed():
    receiver, dials, now = Receiver(0, random.Random(3)), [], 0
    while now < 3600 * SECOND:
        now = max(now, receiver.next())
        if receiver.due(now) == "dial":
            dials.append(now)
            receiver.failed(now + 1000)
    for n in range(len(dials) - 10):
        assert dials[n + 10] - dials[n] >= 60 * SECOND
    assert 60 < len(dials) < 300  # about one in half a minute: it is not forgotten either
    assert max(b - a for a, b in zip(dials, dials[1:])) <= 61 * SECOND


def test_rests_differ_between_pilots():
    rests = set()
    for seed in range(20):
        receiver = Receiver(0, random.Random(seed))
        for _ in range(8):
            receiver.failed(0)
        rests.add(receiver.until // SECOND)
    assert len(rests) > 10


def test_a_batch_that_is_not_taken_stalls_it_then_ends_it():
    receiver = Receiver(0, random.Random(1))
    assert receiver.due(0) == "dial"
    receiver.dialled(0)
    receiver.gave(1 * SECOND)
    receiver.gave(4 * SECOND)  # a later batch must not put the limit off
    assert receiver.due(6 * SECOND - 1) is None and receiver.due(6 * SECOND) == "stalled"
    assert receiver.state == decisions.STALLED
    assert receiver.due(16 * SECOND) == "hang up"


def test_one_that_stalled_and_reads_again_goes_on():
    receiver = Receiver(0, random.Random(1))
    receiver.due(0)
    receiver.dialled(0)
    receiver.gave(0)
    receiver.due(5 * SECOND)
    receiver.drained(6 * SECOND)
    assert receiver.state == decisions.SENDING and receiver.next() is None


def test_a_dial_that_hangs_is_given_up():
    receiver = Receiver(0, random.Random(1))
    receiver.due(0)
    assert receiver.due(3 * SECOND) == "hang up"


def test_a_share_is_lost_late_and_given_back_later():
    receiver = Receiver(0, random.Random(1))
    receiver.due(0)
    receiver.dialled(0)
    receiver.failed(100 * SECOND)
    assert receiver.holds_share(109 * SECOND)
    assert not receiver.holds_share(110 * SECOND)
    receiver.dialled(120 * SECOND)
    assert not receiver.holds_share(139 * SECOND)
    assert receiver.holds_share(140 * SECOND)


# --- whose a figure is ---


@given(st.integers(2, 7), st.data())
@settings(max_examples=40, deadline=None)
def test_only_the_share_of_the_lost_moves_and_the_same_moves_back(count, data):
    shares = Shares([f"r-{n}:2003" for n in range(count)])
    lost = data.draw(st.integers(0, count - 1))
    holding = [n != lost for n in range(count)]
    for path, _ in points(200):
        before, after = shares.owner(path, [True] * count), shares.owner(path, holding)
        assert (before == after) == (before != lost) and after != lost
        assert shares.owner(path, [True] * count) == before
    assert shares.owner("x", [False] * count) == shares.owner("x", [True] * count)


def test_shares_are_even():
    shares = Shares(["a:1", "b:1", "c:1"])
    sizes = [len(p) for p in apart(points(3000), shares, [True] * 3).values()]
    assert min(sizes) > 850


def test_where_waiting_figures_go_when_the_receivers_change():
    assert moves(["a", "b"], ["b", "c", "d"], "all") == {"a": ["c", "d"]}
    assert moves(["a", "b"], ["c"], "all") == {
        "a": ["c"],
        "b": [],
    }  # both had all figures: one copy is enough
    assert moves(["a", "b"], ["b", "c"], "hash") == {"a": ["b", "c"]}


# --- what waits ---


def backlog(most=100, pace=10):
    return Backlog(most, pace)


def test_the_least_important_goes_first_and_of_it_the_oldest():
    line = backlog()
    for time in (10, 20, 30):
        for importance in (0, 1, 2):
            assert not line.add(Batch(time, importance, points(10)))
    assert [(b.time, b.importance) for b in line.add(Batch(40, 0, points(30)))] == [(10, 2), (20, 2)]
    assert [(b.time, b.importance) for b in line.add(Batch(50, 0, points(60)))] == [
        (30, 2),
        (10, 1),
        (20, 1),
        (30, 1),
        (10, 0),
        (20, 0),
    ]
    assert line.size == 100 and line.dropped == 80


def test_the_present_goes_before_the_old_and_the_old_at_its_pace():
    line = backlog(1000, 10)
    for time in range(10, 60, 10):
        line.add(Batch(time, 1, points(10)))
    line.add(Batch(60, 0, points(10)))
    assert line.take(0, 60).time == 60
    assert line.take(0, 60).time == 10  # one batch may be taken ahead of the pace
    assert line.take(0, 60) is None
    assert line.next(0) == SECOND + 1
    assert line.take(SECOND + 1, 60).time == 20
    line.add(Batch(70, 2, points(5)))
    assert line.take(SECOND + 1, 70).time == 70


def test_what_may_be_taken_in_part_is_sent_again_whole_and_first():
    line = backlog(1000, 1000)
    for time in (10, 20, 30):
        line.add(Batch(time, 1, points(10)))
    first, second = line.take(0, 30), line.take(0, 30)
    assert (first.time, second.time) == (30, 10)
    line.broken()
    assert [b.time for b in line.waiting[1]] == [10, 20, 30] and line.size == 30
    assert [b.time for b in line.give_up()] == [20]  # the other two may be there in part


def test_what_the_system_took_long_ago_is_received():
    line = backlog()
    line.add(Batch(10, 1, points(10)))
    line.take(0, 10)
    line.drained(SECOND)
    assert line.size == 10 and not line.settle(10 * SECOND)
    assert [b.time for b in line.settle(11 * SECOND)] == [10] and line.size == 0
    line.broken()
    assert not any(line.waiting)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["add", "take", "drained", "broken", "give_up", "old"]),
            st.integers(0, 2),
            st.integers(1, 40),
        ),
        max_size=60,
    )
)
@settings(max_examples=150, deadline=None)
def test_the_bound_holds_and_no_point_is_lost_uncounted(steps):
    line, now, added, out = backlog(100, 50), 0, 0, 0
    for step, importance, size in steps:
        now += SECOND
        if step == "add":
            line.add(Batch(now // SECOND, importance, points(size)))
            added += size
        elif step == "take":
            line.take(now, now // SECOND - 3)
        elif step == "drained":
            line.drained(now)
            out -= sum(map(len, line.settle(now + 10 * SECOND)))
        elif step == "broken":
            line.broken()
        elif step == "give_up":
            out -= sum(map(len, line.give_up()))
        else:
            out -= sum(map(len, line.old(now // SECOND - 2, 5)))
        held = sum(len(b) for w in line.waiting for b in w) + sum(map(len, line.doubt))
        assert held == line.size <= 100
        assert added + out - line.dropped == held


# --- the formats ---


def test_plaintext_pieces_end_with_lines_and_names_can_not_break_one():
    assert b"".join(formats.slices("plaintext", 60, [("a.b", 1.0), ("c", 2.5)])) == b"a.b 1 60\nc 2.5 60\n"
    for piece in formats.slices("plaintext", 60, points(999)):
        assert piece.endswith(b"\n")
    assert formats.word("a b\nc;d.é*") == "a_b_c_d" and formats.word("...") == "_"


def test_pickle_frames_are_whole():
    import pickle
    import struct

    seen = []
    for frame in formats.slices("pickle", 60, points(1200)):
        assert struct.unpack("!L", frame[:4])[0] == len(frame) - 4
        seen += pickle.loads(frame[4:])
    assert seen == [(path, (60, value)) for path, value in points(1200)]
