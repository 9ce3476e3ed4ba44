"""Flow control of the control channel, alone and under a controller."""

from conftest import endpoint_list

from ravenshelf.policy.events import ListKind, ProxyJoined, ProxyLeft
from ravenshelf.policy.flow_control import ChannelFlowControl
from ravenshelf.settings import SECOND, ServiceSettings


def test_channel_keeps_to_its_lines_and_messages():
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
    kept = type("Marks", (), {"request_acknowledgement": lambda self, number: None})()
    assert (
        not channel.has_capacity(60, [1], False)
        and channel.has_capacity(60, [1], True)
        and not channel.has_capacity(90, [1], True)
    )
    for n in range(4):
        assert channel.has_capacity(1, [1], True)
        channel.charge([1], 1)
        channel.commit_cycle(n * SECOND, kept)
        channel.advance((n + 1) * SECOND)
    assert not channel.has_capacity(1, [1], True)  # what is left of the six is for withdrawals
    assert channel.has_capacity(1, [1], 2)
    channel.advance(30 * SECOND)
    assert channel.has_capacity(1, [1], True)


def test_withdrawals_keep_to_the_messages_of_a_proxy_too(drive):
    driver = drive("rrrr", service={"messages_per_proxy_limit": 6, "message_count_window_us": 10 * SECOND})
    times = []
    for n in range(40):  # a flapping list: each change would be a message of its own
        driver.now += SECOND // 4
        before = list(driver.controller.channel.sent_times.get(0, ()))
        driver.send(endpoint_list("drrr" if n % 2 else "rrrr", kind=ListKind.UPDATE))
        times += [driver.now] * (list(driver.controller.channel.sent_times[0])[-1:] != before[-1:])
    assert 3 <= len(times) <= 6
    driver.run(12)
    assert driver.writer.ejected == {0}


def test_acknowledgements_are_booked_to_their_own_batch_however_many_are_queued():
    """A mass join makes a round a tick; at full size 258 of them waited, and numbers that came again hid
    250.
    """
    channel = ChannelFlowControl(
        ServiceSettings(
            lines_per_second=1500.0,
            message_overhead_lines=3.0,
            queue_limit_lines=26_300,
            longest_delivery_us=SECOND,
        )
    )
    marks = []
    orders = type("Marks", (), {"request_acknowledgement": lambda self, number: marks.append(number)})()
    for n in range(600):
        channel.advance(n * 6000)
        channel.charge([n], 20)
        channel.commit_cycle(n * 6000, orders)
    assert len(set(marks)) == 600
    before = channel.unconfirmed_lines()
    channel.record_acknowledgement(10, marks[10], 900_000)
    assert before - channel.unconfirmed_lines() == 11 * 24 and channel.queued_lines > 400 * 24


def test_channel_learns_a_slow_pace_from_its_acknowledgements():
    channel = ChannelFlowControl(
        ServiceSettings(
            lines_per_second=1000.0,
            message_overhead_lines=3.0,
            queue_limit_lines=2000,
            longest_delivery_us=SECOND // 2,
        )
    )
    channel.charge(range(20), 46)
    channel.commit_cycle(0, type("Marks", (), {"request_acknowledgement": lambda self, number: None})())
    channel.advance(SECOND)
    channel.record_acknowledgement(0, 1, 10 * SECOND)
    assert channel.rate < 150


def test_what_is_not_acknowledged_is_still_queued_whatever_the_pace():
    marks = type("Marks", (), {"request_acknowledgement": lambda self, number: None})()
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
        channel.commit_cycle(0, marks)
    assert channel.queued_lines == 1000
    channel.advance(SECOND // 4)
    assert channel.queued_lines == 750  # not answered for yet, and need not be
    channel.advance(10 * SECOND)
    assert channel.queued_lines == 1000  # the channel stands still, or nearly
    channel.record_acknowledgement(3, 2, 10 * SECOND)
    channel.advance(10 * SECOND)
    assert channel.queued_lines == 450  # what was ordered before it has passed, answered for or not
    channel.advance(21 * SECOND)
    assert channel.queued_lines == 0  # answers that are lost don't hold the queue for ever


def test_unbound_proxies_are_charged_for_a_withdrawal(drive):
    driver = drive()
    driver.send(ProxyJoined(9, 0, 1.0, False), endpoint_list("drrr"))
    assert (
        driver.controller.channel.queued_lines > 0
        and 9 in driver.controller.channel.sent_times
        and driver.writer.bound[9] is not None
    )


def test_withdrawals_cost_only_the_proxies_that_hold_the_endpoint(drive):
    driver = drive(proxies=8)
    before = driver.controller.channel.queued_lines
    driver.send(endpoint_list("drrr"))
    spent = driver.controller.channel.queued_lines - before
    assert (
        driver.writer.ejected == {0} and 0 < spent < 4 * (3 + 1 + 3) + 4
    )  # four of eight: a head, a mark, few lines


def test_what_can_wait_is_not_ordered_behind_a_long_queue():
    """Where the settings let 17 s of lines wait, what would be stale by its turn is decided when its turn
    comes.
    """
    channel = ChannelFlowControl(
        ServiceSettings(
            lines_per_second=1500.0,
            message_overhead_lines=3.0,
            queue_limit_lines=26_300,
            longest_delivery_us=SECOND,
        )
    )
    for waiting, free in ((900, (0, 1, 3, 4)), (1200, (1, 3, 4)), (3000, (3, 4)), (7000, (4,))):
        channel.record_uncharged_lines(waiting - channel.queued_lines)
        assert tuple(u for u in (0, 1, 3, 4) if channel.has_capacity(10, [1], u)) == free


def test_what_is_queued_for_a_connection_that_the_server_ended_stays_counted_when_the_next_one_breaks(drive):
    """The page: what waits for a stream that the server ends goes on counting; for one that breaks it does
    not.
    """
    driver = drive(proxies=3)
    channel = driver.controller.channel
    driver.send(ProxyJoined(3, 1, 10.0, True))  # in the same instant: its bind waits behind the others'
    waited = channel.unconfirmed_lines()
    assert channel.batches[-1].lines[3] and channel.batches[-1].earliest_start > driver.now
    driver.send(ProxyLeft(3, True), ProxyJoined(3, 1, 10.0, True))
    assert channel.unconfirmed_lines() > waited  # bound on the next stream
    driver.send(ProxyLeft(3))
    assert channel.unconfirmed_lines() >= waited


def test_a_connection_that_breaks_twice_between_two_cycles_frees_its_lines_once(drive):
    once, twice = drive(), drive()
    once.send(ProxyLeft(0), ProxyJoined(0, 0, 10.0, True))
    twice.send(*[ProxyLeft(0), ProxyJoined(0, 0, 10.0, True)] * 2)
    for name in ("queued_lines", "unconfirmed_total", "next_position", "earliest_idle"):
        assert getattr(once.controller.channel, name) == getattr(twice.controller.channel, name), name
