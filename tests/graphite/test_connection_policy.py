"""Policy of a receiver's connection: attempts, backoff, stalls and failover."""

import random
from itertools import pairwise

import pytest

from ravenshelf.graphite.decisions.connection import ConnectionAction, ReceiverConnectionPolicy, ReceiverState
from ravenshelf.time_units import SECOND

HOUR = 3600 * SECOND


@pytest.fixture
def policy():
    return ReceiverConnectionPolicy(0, random.Random(1))


@pytest.fixture
def connected_policy(policy):
    assert policy.next_action(0) is ConnectionAction.CONNECT
    policy.mark_connected(0)
    return policy


def test_attempts_at_a_receiver_that_rejects_for_an_hour_are_limited_but_continue():
    policy, connect_times, now = ReceiverConnectionPolicy(0, random.Random(3)), [], 0
    while now < HOUR:
        now = max(now, policy.next_action_at())
        if policy.next_action(now) is ConnectionAction.CONNECT:
            connect_times.append(now)
            policy.mark_failed(now + 1000)
    for index in range(len(connect_times) - 10):
        assert connect_times[index + 10] - connect_times[index] >= 60 * SECOND
    # There is about one attempt per half minute, so the receiver is still tried after an hour.
    assert 60 < len(connect_times) < 300
    pauses = [later - earlier for earlier, later in pairwise(connect_times)]
    assert max(pauses) <= 61 * SECOND


def test_backoffs_differ_between_servers():
    backoffs = set()
    for seed in range(20):
        policy = ReceiverConnectionPolicy(0, random.Random(seed))
        for _ in range(8):
            policy.mark_failed(0)
        backoffs.add(policy.state_until // SECOND)
    assert len(backoffs) > 10


def test_a_batch_that_is_not_flushed_stalls_the_connection_then_ends_it(connected_policy):
    connected_policy.mark_batch_written(1 * SECOND)
    connected_policy.mark_batch_written(4 * SECOND)  # A later batch must not extend the limit.
    assert connected_policy.next_action(6 * SECOND - 1) is None
    assert connected_policy.next_action(6 * SECOND) is ConnectionAction.REPORT_STALL
    assert connected_policy.state is ReceiverState.STALLED
    assert connected_policy.next_action(16 * SECOND) is ConnectionAction.DISCONNECT


def test_a_stalled_connection_is_connected_again_after_a_flush(connected_policy):
    connected_policy.mark_batch_written(0)
    connected_policy.next_action(5 * SECOND)
    connected_policy.mark_flushed(6 * SECOND)
    assert connected_policy.state is ReceiverState.CONNECTED and connected_policy.next_action_at() is None


def test_an_attempt_ends_after_the_connect_timeout(policy):
    policy.next_action(0)
    assert policy.next_action(3 * SECOND) is ConnectionAction.DISCONNECT


def test_a_share_fails_over_and_recovers_only_after_a_delay(connected_policy):
    connected_policy.mark_failed(100 * SECOND)
    assert connected_policy.has_share(109 * SECOND)
    assert not connected_policy.has_share(110 * SECOND)
    connected_policy.mark_connected(120 * SECOND)
    assert not connected_policy.has_share(139 * SECOND)
    assert connected_policy.has_share(140 * SECOND)
