"""One member among three: leases, permissions, handover, recovery."""

import pytest
from three_members import NEVER_STABLE_US, SECOND, ThreeMembers

from ravenshelf.leadership.decisions import TERM_STRIDE, LeaseState, Permission


@pytest.fixture
def cluster():
    """Three members of two shards whose leases are held."""
    return ThreeMembers().run(4)


def test_one_member_holds_a_lease_and_an_order_needs_lease_and_record(cluster):
    holder = cluster.holder(0)
    member = cluster.members[holder]
    assert cluster.permission(holder) is Permission.FULL
    assert all(cluster.permission(other) is None for other in range(3) if other != holder)
    seq = cluster.write_record(holder, b"r")
    assert cluster.permission(holder, seq=seq) is None  # no quorum has it yet
    cluster.deliver()
    assert cluster.permission(holder, seq=seq) is Permission.FULL
    after_the_lease = cluster.now + cluster.configuration.lease_us
    assert member.permission(after_the_lease, 0, seq) is None


def test_without_a_quorum_only_known_orders_are_repeated(cluster):
    holder = cluster.holder(0)
    member = cluster.members[holder]
    cluster.isolate(holder)
    cluster.run(2)
    assert member.claims[0].state is LeaseState.EXPIRED
    assert cluster.permission(holder) is None  # it may have been paused itself
    cluster.run(4)
    assert cluster.permission(holder) is Permission.REPEAT_ONLY
    assert cluster.write_record(holder, b"x") is None
    (successor,) = [number for number in cluster.holders(0) if number != holder]
    assert cluster.members[successor].claims[0].term > member.claims[0].term
    cluster.partitioned.clear()
    cluster.run(1)
    assert cluster.permission(holder) is None
    assert member.claims[0].state is LeaseState.IDLE


def test_a_paused_member_does_not_count_as_one_without_a_quorum(cluster):
    holder = cluster.holder(0)
    cluster.isolate(holder)
    cluster.run(1)
    cluster.run(60, paused=[holder])
    assert cluster.permission(holder) is None
    cluster.members[holder].tick(cluster.now, cluster.effects[holder])
    assert cluster.permission(holder) is None


def test_a_member_that_nobody_hears_loses_its_lease_to_one_other(cluster):
    holder = cluster.holder(0)
    cluster.partitioned |= {(holder, other) for other in range(3) if other != holder}
    cluster.run(5)
    assert len(cluster.holders(0)) == 1
    assert holder not in cluster.holders(0)


def test_a_handover_reaches_its_successor_at_once_with_the_record(cluster):
    holder = cluster.holder(0)
    successor = (holder + 1) % 3
    cluster.write_record(holder, b"kept")
    cluster.deliver()
    cluster.members[holder].release(cluster.now, [0], successor, cluster.effects[holder])
    assert cluster.permission(holder) is None
    cluster.run(0.2)
    assert cluster.holders(0) == [successor]
    assert cluster.members[successor].claims[0].record == b"kept"


@pytest.mark.parametrize(
    "attribute, most_kept",
    [pytest.param("loop_delay_us", 1, id="late event loop"), pytest.param("is_draining", 0, id="draining")],
)
def test_a_late_or_draining_member_hands_its_shards_over(attribute, most_kept):
    cluster = ThreeMembers(shards=12, stability_period_us=SECOND).run(6)
    counts = [len(member.held_shards()) for member in cluster.members]
    assert sum(counts) == 12 and min(counts) >= 3
    is_late = attribute == "loop_delay_us"
    value = 10 * cluster.configuration.loop_delay_limit_us if is_late else True
    setattr(cluster.members[0], attribute, value)
    cluster.run(4)
    assert len(cluster.members[0].held_shards()) <= most_kept
    assert sum(len(member.held_shards()) for member in cluster.members) == 12


def test_a_member_with_an_empty_disk_reads_a_quorum_before_it_votes(cluster):
    promised = [vote.promised_term for vote in cluster.members[2].votes]
    restarted = cluster.restart_with_empty_disk(2, seed=9)
    cluster.partitioned |= {(0, 2), (2, 0)}
    cluster.run(3)
    assert restarted.is_recovering  # one of two others is no quorum of three
    cluster.partitioned.clear()
    cluster.run(1)
    assert not restarted.is_recovering
    assert all(vote.promised_term >= before for vote, before in zip(restarted.votes, promised, strict=True))


def test_a_cluster_starts_for_the_first_time_once_all_members_are_there():
    cluster = ThreeMembers(is_recovering=True, stability_period_us=NEVER_STABLE_US)
    cluster.isolate(2)
    cluster.run(3)
    assert all(member.is_recovering for member in cluster.members)
    cluster.partitioned.clear()
    cluster.run(6)
    assert not any(member.is_recovering for member in cluster.members)
    assert len(cluster.holders(0)) == 1


def test_a_stray_promise_makes_the_holder_request_a_later_term(cluster):
    holder = cluster.holder(0)
    vote = cluster.members[(holder + 1) % 3].votes[0]
    vote.promised_term += 5 * TERM_STRIDE
    cluster.run(6)
    assert len(cluster.holders(0)) == 1
    assert cluster.members[cluster.holder(0)].claims[0].term == vote.promised_term
