"""Several streams of one proxy: which one is served, in any order of connecting, joining and ending."""

from itertools import permutations
from random import Random

import pytest
from conftest import AcceptorDriver, feed

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.policy.events import ProxyJoined, ProxyLeft
from ravenshelf.process.proxy_streams import SILENCE_BEFORE_REPLACEMENT_US
from ravenshelf.time_units import SECOND

JOIN = b"SUBSCRIBE proxy=1 zone=a weight=21.5 fresh=0\r\n"
REPORT = b"RATE proxy=1 class=pay tries=19 failed=0 span_ms=1000.0\r\n"


def joined_proxies(events):
    """Return whether proxy 1 is joined after the events, with the ends that a new join implies."""
    is_joined = False
    for event in events:
        if isinstance(event, (ProxyJoined, ProxyLeft)):
            is_joined = isinstance(event, ProxyJoined)
    return is_joined


def assert_a_live_stream_is_served(driver, live_streams):
    """Check that a message to the proxy is written to the newest of its joined streams."""
    newest_stream = max(live_streams, key=lambda stream: stream.number, default=None)
    assert driver.acceptor.streams.get(1) is newest_stream
    assert joined_proxies(driver.published_events) == (newest_stream is not None)
    before = {stream: len(stream.transport.sent_data) for stream in live_streams}
    driver.acceptor.write(1, b"message", None)
    for stream in live_streams:
        written = stream.transport.sent_data[before[stream] :]
        assert written == (b"message" if stream is newest_stream else b"")


def step_sequences(count):
    """Return all sequences in which some streams connect, join and end, each of them in this order."""
    steps = [(stream, step) for stream in range(count) for step in range(3)]
    return [
        order
        for order in permutations(steps)
        if all(
            order.index((stream, 0)) < order.index((stream, 1)) < order.index((stream, 2))
            for stream in range(count)
        )
    ]


def play(order, count):
    driver = AcceptorDriver()
    streams, live_streams = {}, []
    for stream, step in order:
        if step == 0:
            streams[stream] = driver.connect()
        elif step == 1:
            feed(streams[stream], JOIN)
            live_streams.append(streams[stream])
        else:
            streams[stream].connection_lost(ConnectionResetError())
            live_streams.remove(streams[stream])
        driver.now += 1000
        assert_a_live_stream_is_served(driver, live_streams)
    assert len(driver.slots) == 0 and not driver.acceptor.streams


def test_the_newest_stream_is_served_in_any_order_of_two_streams():
    """Guards against a late join of a broken connection that takes the place of the live stream."""
    for order in step_sequences(2):
        play(order, 2)


@pytest.mark.parametrize("seed", range(8))
def test_the_newest_stream_is_served_in_any_order_of_three_streams(seed):
    """Guards against a stream that stays open and unserved after the one that replaced it has ended."""
    all_steps = [(stream, step) for stream in range(3) for step in range(3)]
    random_source = Random(seed)
    for _ in range(100):
        order = sorted(all_steps, key=lambda _: random_source.random())
        steps_by_stream = {stream: iter(range(3)) for stream in range(3)}
        play([(stream, next(steps_by_stream[stream])) for stream, _ in order], 3)


def test_a_late_join_of_an_older_connection_changes_nothing():
    driver = AcceptorDriver()
    broken_connection, live_stream = driver.connect(), driver.connect()
    feed(live_stream, JOIN)
    feed(broken_connection, JOIN)
    assert driver.published_events == [ProxyJoined(1, 0, 21.5, False)]
    assert driver.counters["joins_of_older_connections"] == 1
    broken_connection.connection_lost(None)
    feed(live_stream, REPORT)
    assert len(driver.published_events) == 2 and driver.acceptor.streams == {1: live_stream}


def test_a_stream_that_returns_keeps_the_count_of_its_messages():
    """Guards against more messages than a proxy may get, counted from zero after it returned to a stream."""
    driver = AcceptorDriver()
    first_stream, second_stream = driver.connect(), driver.connect()
    feed(first_stream, JOIN)
    for _ in range(3):
        driver.now += SECOND
        driver.acceptor.write(1, b"x", None)
    feed(second_stream, JOIN)
    driver.acceptor.write(1, b"x", None)
    second_stream.connection_lost(None)
    assert driver.published_events[-2:] == [
        ProxyLeft(1),
        ProxyJoined(1, 0, 21.5, False, (SECOND, 2 * SECOND, 3 * SECOND)),
    ]


@pytest.mark.parametrize("is_newest_silent", [True, False])
@pytest.mark.parametrize("line", [REPORT, b"ACK proxy=1 mark=7 took_ms=5\r\n", JOIN])
def test_a_stream_that_reports_replaces_a_newer_one_that_is_silent(line, is_newest_silent):
    """Guards against a live stream that stays unserved as long as a dead one that connected later is open."""
    driver = AcceptorDriver()
    reporting_stream, newest_stream = driver.connect(), driver.connect()
    feed(reporting_stream, JOIN)
    feed(newest_stream, JOIN)
    driver.now += SILENCE_BEFORE_REPLACEMENT_US
    if not is_newest_silent:
        feed(newest_stream, REPORT)
    feed(reporting_stream, line)
    expected_stream = reporting_stream if is_newest_silent else newest_stream
    assert driver.acceptor.streams == {1: expected_stream}
    assert newest_stream.is_superseded == is_newest_silent


def test_a_stop_resumes_no_stream():
    driver = AcceptorDriver()
    streams = [driver.connect(), driver.connect()]
    for stream in streams:
        feed(stream, JOIN)
    event_count = len(driver.published_events)
    driver.acceptor.stop(lambda: None)
    assert len(driver.published_events) == event_count
    assert {stream.end for stream in streams} == {ConnectionEnd.STOPPING}
