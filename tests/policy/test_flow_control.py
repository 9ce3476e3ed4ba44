"""Flow control of the control channel, by itself and in a controller."""

from conftest import endpoint_list

from ravenshelf.policy.events import ListKind, ProxyJoined, ProxyLeft
from ravenshelf.policy.flow_control import ChannelFlowControl
from ravenshelf.settings import ServiceSettings
from ravenshelf.time_units import SECOND


def test_the_channel_keeps_its_limits_of_lines_and_messages():
    channel = ChannelFlowControl(
        ServiceSettings(
            lines_per_second=100.0,
            message_overhead_lines=3.0,
            queue_limit_lines=100,
            messages_per_proxy_limit=6,
            message_count_window_us=10 * SECOND,
            longest_delivery_us=SECOND,
        )
    )
    writer = type("Writer", (), {"request_acknowledgement": lambda self, marker: None})()
    assert (
        not channel.has_capacity(60, [1], False)
        and channel.has_capacity(60, [1], True)
        and not channel.has_capacity(90, [1], True)
    )
    for second in range(4):
        assert channel.has_capacity(1, [1], True)
        channel.charge([1], 1)
        channel.commit_cycle(second * SECOND, writer)
        channel.advance((second + 1) * SECOND)
    # The rest of the six messages is reserved for more urgent changes.
    assert not channel.has_capacity(1, [1], True)
    assert channel.has_capacity(1, [1], 2)
    channel.advance(30 * SECOND)
    assert channel.has_capacity(1, [1], True)


def test_withdrawals_keep_the_message_limit_of_a_proxy(drive):
    """Each change of a list that flaps would otherwise be a message of its own."""
    driver = drive("rrrr", service={"messages_per_proxy_limit": 6, "message_count_window_us": 10 * SECOND})
    times = []
    for change in range(40):
        driver.now += SECOND // 4
        before = driver.controller.channel.messages.message_times(0)
        driver.send(endpoint_list("drrr" if change % 2 else "rrrr", kind=ListKind.UPDATE))
        times += [driver.now] * (driver.controller.channel.messages.message_times(0)[-1:] != before[-1:])
    assert 3 <= len(times) <= 6
    driver.run(12)
    assert driver.writer.ejected == {0}


def test_acknowledgements_are_assigned_to_their_own_batch_however_many_are_queued():
    """When many proxies join at once, each control cycle writes a batch.

    In a large deployment 258 batches were queued, and reused markers hid 250 of them.
    """
    channel = ChannelFlowControl(
        ServiceSettings(
            lines_per_second=1500.0,
            message_overhead_lines=3.0,
            queue_limit_lines=26_300,
            longest_delivery_us=SECOND,
        )
    )
    markers = []
    writer = type("Writer", (), {"request_acknowledgement": lambda self, marker: markers.append(marker)})()
    for cycle in range(600):
        channel.advance(cycle * 6000)
        channel.charge([cycle], 20)
        channel.commit_cycle(cycle * 6000, writer)
    assert len(set(markers)) == 600
    before = channel.unconfirmed_lines()
    channel.record_acknowledgement(10, markers[10], 900_000)
    assert before - channel.unconfirmed_lines() == 11 * 24 and channel.queued_lines > 400 * 24


def test_the_channel_learns_a_low_rate_from_its_acknowledgements():
    channel = ChannelFlowControl(
        ServiceSettings(
            lines_per_second=1000.0,
            message_overhead_lines=3.0,
            queue_limit_lines=2000,
            longest_delivery_us=SECOND // 2,
        )
    )
    channel.charge(range(20), 46)
    channel.commit_cycle(0, type("Writer", (), {"request_acknowledgement": lambda self, marker: None})())
    channel.advance(SECOND)
    channel.record_acknowledgement(0, 1, 10 * SECOND)
    assert channel.rate < 150


def test_overdue_lines_count_as_queued_until_they_are_confirmed_or_time_out():
    writer = type("Writer", (), {"request_acknowledgement": lambda self, marker: None})()
    channel = ChannelFlowControl(
        ServiceSettings(
            lines_per_second=1000.0,
            message_overhead_lines=3.0,
            queue_limit_lines=2000,
            longest_delivery_us=SECOND // 2,
        )
    )
    for _ in (1, 2):
        channel.charge(range(10), 46)
        channel.commit_cycle(0, writer)
    assert channel.queued_lines == 1000
    channel.advance(SECOND // 4)
    # No acknowledgement is due yet.
    assert channel.queued_lines == 750
    channel.advance(10 * SECOND)
    # The acknowledgements are overdue, so the channel hardly sends anything.
    assert channel.queued_lines == 1000
    channel.record_acknowledgement(3, 2, 10 * SECOND)
    channel.advance(10 * SECOND)
    # Everything written before the acknowledged batch has left, whether it was acknowledged or not.
    assert channel.queued_lines == 450
    channel.advance(21 * SECOND)
    # Lost acknowledgements do not keep lines in the queue forever.
    assert channel.queued_lines == 0


def test_unbound_proxies_are_charged_for_a_withdrawal(drive):
    driver = drive()
    driver.send(ProxyJoined(9, 0, 1.0, False), endpoint_list("drrr"))
    assert (
        driver.controller.channel.queued_lines > 0
        and 9 in driver.controller.channel.batches[-1].lines
        and driver.writer.bound[9] is not None
    )


def test_a_withdrawal_is_charged_only_for_proxies_whose_table_contains_the_endpoint(drive):
    driver = drive(proxies=8)
    before = driver.controller.channel.queued_lines
    driver.send(endpoint_list("drrr"))
    charged_lines = driver.controller.channel.queued_lines - before
    # Four of the eight proxies get a message: 3 lines of overhead, a marker and a few lines.
    assert driver.writer.ejected == {0} and 0 < charged_lines < 4 * (3 + 1 + 3) + 4


def test_less_urgent_changes_are_not_written_behind_a_long_queue():
    """The settings may permit a queue of 17 s, in which a change would be outdated when it is sent.

    Such a change is decided later instead.
    """
    channel = ChannelFlowControl(
        ServiceSettings(
            lines_per_second=1500.0,
            message_overhead_lines=3.0,
            queue_limit_lines=26_300,
            longest_delivery_us=SECOND,
        )
    )
    for queue_length, urgencies in ((900, (0, 1, 3, 4)), (1200, (1, 3, 4)), (3000, (3, 4)), (7000, (4,))):
        channel.record_uncharged_lines(queue_length - channel.queued_lines)
        assert (
            tuple(urgency for urgency in (0, 1, 3, 4) if channel.has_capacity(10, [1], urgency)) == urgencies
        )


def test_lines_for_a_connection_ended_by_the_server_stay_queued_when_the_next_connection_breaks(drive):
    """Lines queued for a stream that the server ends still count; those for a stream that breaks do not."""
    driver = drive(proxies=3)
    channel = driver.controller.channel
    # The proxy joins at the same time, so its bind is queued behind those of the others.
    driver.send(ProxyJoined(3, 1, 10.0, True))
    lines_before = channel.unconfirmed_lines()
    assert channel.batches[-1].lines[3] and channel.batches[-1].earliest_start > driver.now
    driver.send(ProxyLeft(3, True), ProxyJoined(3, 1, 10.0, True))
    # The proxy is bound on its next stream as well.
    assert channel.unconfirmed_lines() > lines_before
    driver.send(ProxyLeft(3))
    assert channel.unconfirmed_lines() >= lines_before


def test_a_connection_that_breaks_twice_between_two_cycles_releases_its_lines_once(drive):
    broken_once, broken_twice = drive(), drive()
    broken_once.send(ProxyLeft(0), ProxyJoined(0, 0, 10.0, True))
    broken_twice.send(*[ProxyLeft(0), ProxyJoined(0, 0, 10.0, True)] * 2)
    once, twice = broken_once.controller.channel, broken_twice.controller.channel
    assert once.queued_lines == twice.queued_lines
    assert once.unconfirmed_lines() == twice.unconfirmed_lines()
    for name in ("next_position", "earliest_idle", "break_count"):
        assert getattr(once.unconfirmed, name) == getattr(twice.unconfirmed, name), name
