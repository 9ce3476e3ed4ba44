"""Placement of shards in proportion to weights, with few migrations."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ravenshelf.leadership.shard_placement import member_weight, place_shards, shard_limits

weights_of_members = st.dictionaries(st.integers(0, 6), st.floats(0.1, 10), min_size=2, max_size=6)


@given(weights_of_members, st.integers(8, 100), st.data())
@settings(max_examples=60, deadline=None)
def test_only_the_shards_of_a_lost_member_migrate(weights, shards, data):
    holders = place_shards([None] * shards, weights)
    assert all(member in weights for member in holders)
    limits = shard_limits(shards, weights)
    assert all(holders.count(member) <= limits[member] for member in weights)
    lost = data.draw(st.sampled_from(sorted(weights)))
    remaining = {member: weight for member, weight in weights.items() if member != lost}
    after = place_shards([None if member == lost else member for member in holders], remaining)
    kept = [(new, old) for new, old in zip(after, holders, strict=True) if old != lost]
    migrated = sum(new != old for new, old in kept)
    remaining_limits = shard_limits(shards, remaining)
    is_any_above_limit = any(holders.count(member) > remaining_limits[member] for member in remaining)
    # beyond those of the lost one, at most one for each member that had much less than its share
    assert migrated == 0 or is_any_above_limit or migrated <= len(remaining)
    assert place_shards(after, remaining) == after  # no shard migrates without a cause


def test_a_returning_member_gets_its_share_and_no_other_shard_migrates():
    holders = place_shards([None] * 60, {0: 1.0, 1: 1.0})
    new_holders = place_shards(holders, {0: 1.0, 1: 1.0, 2: 1.0})
    assert 19 <= new_holders.count(2) <= 20
    assert sum(
        new_holder != holder for new_holder, holder in zip(new_holders, holders, strict=True)
    ) == new_holders.count(2)


@pytest.mark.parametrize(
    "holders, weights",
    [
        pytest.param([None, 1], {}, id="no reachable member"),
        pytest.param([0, 1], {0: 0.0, 1: 0.0}, id="no member with a weight"),
    ],
)
def test_no_shard_is_placed_without_a_member_that_has_a_weight(holders, weights):
    assert place_shards(holders, weights) == [None, None]


def test_a_draining_member_has_no_weight_and_a_late_event_loop_lowers_it():
    assert member_weight(1.0, True, 0, 1) == 0
    assert member_weight(1.0, False, 2, 1) == 0.25


def test_at_most_one_shard_of_each_remaining_member_migrates_after_a_loss():
    """Check a case that the property test above does not draw: its bound does not hold with these weights."""
    weights = {6: 2.0, 0: 1.0, 2: 1.0}
    lost_member = 2
    holders = place_shards([None] * 63, weights)
    remaining = {member: weight for member, weight in weights.items() if member != lost_member}
    new_holders = place_shards([None if member == lost_member else member for member in holders], remaining)
    migrated = sum(new != old for new, old in zip(new_holders, holders, strict=True) if old != lost_member)
    limits = shard_limits(63, remaining)
    assert all(holders.count(member) <= limits[member] for member in remaining)
    assert migrated <= len(remaining)
