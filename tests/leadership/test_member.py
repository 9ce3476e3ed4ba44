"""Members of a cluster of three: leases, permissions, handover and recovery."""

import pytest
from three_members import NEVER_STABLE_US, SECOND, ThreeMembers

from ravenshelf.leadership.decisions import TERM_STRIDE, LeaseState, Permission


@pytest.fixture
def cluster():
    """Return three members with two shards whose leases are held."""
    return ThreeMembers().run(4)


def test_one_member_holds_a_lease_and_a_command_requires_the_lease_and_its_record(cluster):
    holder = cluster.holder(0)
    member = cluster.members[holder]
    assert cluster.permission(holder) is Permission.FULL
    assert all(cluster.permission(other) is None for other in range(3) if other != holder)
    seq = cluster.write_record(holder, b"r")
    assert cluster.permission(holder, seq=seq) is None  # no quorum has accepted the record yet
    cluster.deliver()
    assert cluster.permission(holder, seq=seq) is Permission.FULL
    lease_end = cluster.now + cluster.configuration.lease_us
    assert member.permission(lease_end, 0, seq) is None


def test_without_a_quorum_only_previous_commands_may_be_repeated(cluster):
    holder = cluster.holder(0)
    member = cluster.members[holder]
    cluster.isolate(holder)
    cluster.run(2)
    assert member.claims[0].state is LeaseState.EXPIRED
    # The silence may still be due to a pause of the holder's own process.
    assert cluster.permission(holder) is None
    cluster.run(4)
    assert cluster.permission(holder) is Permission.REPEAT_ONLY
    assert cluster.write_record(holder, b"x") is None
    (successor,) = [number for number in cluster.holders(0) if number != holder]
    assert cluster.members[successor].claims[0].term > member.claims[0].term
    cluster.partitioned_pairs.clear()
    cluster.run(1)
    assert cluster.permission(holder) is None
    assert member.claims[0].state is LeaseState.IDLE


def test_a_pause_of_a_member_does_not_count_as_loss_of_the_quorum(cluster):
    holder = cluster.holder(0)
    cluster.isolate(holder)
    cluster.run(1)
    cluster.run(60, paused=[holder])
    assert cluster.permission(holder) is None
    cluster.members[holder].tick(cluster.now, cluster.outputs[holder])
    assert cluster.permission(holder) is None


def test_a_member_whose_messages_are_lost_loses_its_lease_to_one_other_member(cluster):
    holder = cluster.holder(0)
    cluster.partitioned_pairs |= {(holder, other) for other in range(3) if other != holder}
    cluster.run(5)
    assert len(cluster.holders(0)) == 1
    assert holder not in cluster.holders(0)


def test_a_handover_gives_the_successor_the_lease_and_the_record_at_once(cluster):
    holder = cluster.holder(0)
    successor = (holder + 1) % 3
    cluster.write_record(holder, b"kept")
    cluster.deliver()
    cluster.members[holder].release(cluster.now, [0], successor, cluster.outputs[holder])
    assert cluster.permission(holder) is None
    cluster.run(0.2)
    assert cluster.holders(0) == [successor]
    assert cluster.members[successor].claims[0].record == b"kept"


@pytest.mark.parametrize(
    "attribute, max_shard_count",
    [pytest.param("loop_delay_us", 1, id="late event loop"), pytest.param("is_draining", 0, id="draining")],
)
def test_a_member_hands_shards_over_while_its_event_loop_is_late_or_it_drains(attribute, max_shard_count):
    cluster = ThreeMembers(shards=12, stability_period_us=SECOND).run(6)
    shard_counts = [len(member.held_shards()) for member in cluster.members]
    assert sum(shard_counts) == 12 and min(shard_counts) >= 3
    is_late = attribute == "loop_delay_us"
    value = 10 * cluster.configuration.loop_delay_limit_us if is_late else True
    setattr(cluster.members[0], attribute, value)
    cluster.run(4)
    assert len(cluster.members[0].held_shards()) <= max_shard_count
    assert sum(len(member.held_shards()) for member in cluster.members) == 12


def test_a_member_with_an_empty_disk_reads_a_quorum_before_it_votes(cluster):
    earlier_terms = [vote.promised_term for vote in cluster.members[2].votes]
    restarted_member = cluster.restart_with_empty_disk(2, seed=9)
    cluster.partitioned_pairs |= {(0, 2), (2, 0)}
    cluster.run(3)
    # Only one of the two other members is reachable, and one member is not a quorum of three.
    assert restarted_member.is_recovering
    cluster.partitioned_pairs.clear()
    cluster.run(1)
    assert not restarted_member.is_recovering
    assert all(
        vote.promised_term >= earlier_term
        for vote, earlier_term in zip(restarted_member.votes, earlier_terms, strict=True)
    )


def test_the_first_start_of_a_cluster_requires_all_members():
    cluster = ThreeMembers(is_recovering=True, stability_period_us=NEVER_STABLE_US)
    cluster.isolate(2)
    cluster.run(3)
    assert all(member.is_recovering for member in cluster.members)
    cluster.partitioned_pairs.clear()
    cluster.run(6)
    assert not any(member.is_recovering for member in cluster.members)
    assert len(cluster.holders(0)) == 1


def test_a_promise_of_a_later_term_by_one_voter_makes_the_holder_request_a_later_term(cluster):
    holder = cluster.holder(0)
    vote = cluster.members[(holder + 1) % 3].votes[0]
    vote.promised_term += 5 * TERM_STRIDE
    cluster.run(6)
    assert len(cluster.holders(0)) == 1
    assert cluster.members[cluster.holder(0)].claims[0].term == vote.promised_term
