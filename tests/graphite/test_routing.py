"""Routing of points to receivers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ravenshelf.graphite.decisions.routing import RendezvousRouter, handover_targets


def make_points(count):
    return [(f"a.{number}", float(number)) for number in range(count)]


@given(st.integers(2, 7), st.data())
@settings(max_examples=40, deadline=None)
def test_only_the_share_of_a_failed_receiver_moves_and_the_same_share_returns(count, data):
    router = RendezvousRouter([f"r-{number}:2003" for number in range(count)])
    failed_index = data.draw(st.integers(0, count - 1))
    has_share = [index != failed_index for index in range(count)]
    for path, _ in make_points(200):
        old_owner, new_owner = router.find_owner(path, [True] * count), router.find_owner(path, has_share)
        assert (old_owner == new_owner) == (old_owner != failed_index) and new_owner != failed_index
        assert router.find_owner(path, [True] * count) == old_owner
    assert router.find_owner("x", [False] * count) == router.find_owner("x", [True] * count)


def test_receivers_get_shares_of_similar_size():
    router = RendezvousRouter(["a:1", "b:1", "c:1"])
    sizes = [len(share) for share in router.partition(make_points(3000), [True] * 3).values()]
    assert min(sizes) > 850


def test_queued_points_of_a_removed_receiver_go_to_receivers_that_do_not_have_them():
    assert handover_targets(["a", "b"], ["b", "c", "d"], "all") == {"a": ["c", "d"]}
    # Both removed receivers had all points queued, so one copy is enough.
    assert handover_targets(["a", "b"], ["c"], "all") == {"a": ["c"], "b": []}
    assert handover_targets(["a", "b"], ["b", "c"], "hash") == {"a": ["b", "c"]}
