"""Which receiver a metric's points go to."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ravenshelf.graphite.decisions.routing import RendezvousRouter, handover_targets


def points(count):
    return [(f"a.{n}", float(n)) for n in range(count)]


@given(st.integers(2, 7), st.data())
@settings(max_examples=40, deadline=None)
def test_only_the_share_of_a_failed_receiver_moves_and_the_same_share_returns(count, data):
    router = RendezvousRouter([f"r-{n}:2003" for n in range(count)])
    failed = data.draw(st.integers(0, count - 1))
    has_share = [n != failed for n in range(count)]
    for path, _ in points(200):
        before, after = router.owner(path, [True] * count), router.owner(path, has_share)
        assert (before == after) == (before != failed) and after != failed
        assert router.owner(path, [True] * count) == before
    assert router.owner("x", [False] * count) == router.owner("x", [True] * count)


def test_shares_are_even():
    router = RendezvousRouter(["a:1", "b:1", "c:1"])
    sizes = [len(share) for share in router.partition(points(3000), [True] * 3).values()]
    assert min(sizes) > 850


def test_queued_points_of_a_removed_receiver_go_to_those_that_lack_them():
    assert handover_targets(["a", "b"], ["b", "c", "d"], "all") == {"a": ["c", "d"]}
    # both had all points: one copy is enough
    assert handover_targets(["a", "b"], ["c"], "all") == {"a": ["c"], "b": []}
    assert handover_targets(["a", "b"], ["b", "c"], "hash") == {"a": ["b", "c"]}
