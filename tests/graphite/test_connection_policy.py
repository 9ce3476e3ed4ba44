"""When a receiver is connected to, given up, and when its share fails over."""

import random
from itertools import pairwise

import pytest

from ravenshelf.graphite.decisions.connection import (
    SECOND,
    ConnectionAction,
    ReceiverConnectionPolicy,
    ReceiverState,
)

HOUR = 3600 * SECOND


@pytest.fixture
def policy():
    return ReceiverConnectionPolicy(0, random.Random(1))


@pytest.fixture
def connected(policy):
    assert policy.next_action(0) is ConnectionAction.CONNECT
    policy.mark_connected(0)
    return policy


def test_a_receiver_that_rejects_for_an_hour_is_tried_seldom_and_never_more_often_than_allowed():
    policy, connects, now = ReceiverConnectionPolicy(0, random.Random(3)), [], 0
    while now < HOUR:
        now = max(now, policy.next_action_at())
        if policy.next_action(now) is ConnectionAction.CONNECT:
            connects.append(now)
            policy.mark_failed(now + 1000)
    for n in range(len(connects) - 10):
        assert connects[n + 10] - connects[n] >= 60 * SECOND
    assert 60 < len(connects) < 300  # about one in half a minute: it is not forgotten either
    pauses = [later - earlier for earlier, later in pairwise(connects)]
    assert max(pauses) <= 61 * SECOND


def test_backoffs_differ_between_servers():
    backoffs = set()
    for seed in range(20):
        policy = ReceiverConnectionPolicy(0, random.Random(seed))
        for _ in range(8):
            policy.mark_failed(0)
        backoffs.add(policy.state_until // SECOND)
    assert len(backoffs) > 10


def test_a_batch_that_is_not_taken_stalls_the_connection_then_ends_it(connected):
    connected.mark_batch_written(1 * SECOND)
    connected.mark_batch_written(4 * SECOND)  # a later batch must not put the limit off
    assert connected.next_action(6 * SECOND - 1) is None
    assert connected.next_action(6 * SECOND) is ConnectionAction.REPORT_STALL
    assert connected.state is ReceiverState.STALLED
    assert connected.next_action(16 * SECOND) is ConnectionAction.DISCONNECT


def test_a_stalled_connection_that_reads_again_is_connected(connected):
    connected.mark_batch_written(0)
    connected.next_action(5 * SECOND)
    connected.mark_flushed(6 * SECOND)
    assert connected.state is ReceiverState.CONNECTED and connected.next_action_at() is None


def test_a_connection_that_does_not_open_is_given_up(policy):
    policy.next_action(0)
    assert policy.next_action(3 * SECOND) is ConnectionAction.DISCONNECT


def test_a_share_fails_over_late_and_recovers_later(connected):
    connected.mark_failed(100 * SECOND)
    assert connected.has_share(109 * SECOND)
    assert not connected.has_share(110 * SECOND)
    connected.mark_connected(120 * SECOND)
    assert not connected.has_share(139 * SECOND)
    assert connected.has_share(140 * SECOND)
