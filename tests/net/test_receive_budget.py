"""The limit on the memory that incomplete messages of all connections take together."""

from types import SimpleNamespace

import pytest
from conftest import AcceptorDriver, feed

from ravenshelf.distribution.connection import MessageConnection
from ravenshelf.distribution.messages import PROTOCOL, Hello, encode
from ravenshelf.leadership.link import Link, encode_frame
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.frames import FIRST_FRAME_LIMIT_BYTES, FrameDecoder, pack_frame
from ravenshelf.net.receive_budget import ReceiveBudget
from ravenshelf.policy.events import ProxyLeft
from ravenshelf.state.buffers import BufferPool

JOIN = "SUBSCRIBE proxy={} zone=a weight=5 fresh=1"
BEGUN_LINE = b"RATE proxy=1 class="


class Holder:
    """A connection that only records how it ended."""

    def __init__(self):
        self.end = None

    def close(self, end):
        self.end = end


def test_the_connection_that_holds_most_is_closed_while_all_hold_too_much():
    budget, holders = ReceiveBudget(100), [Holder() for _ in range(4)]
    for holder, size in zip(holders, (20, 40, 30, 10), strict=True):
        budget.record(holder, size)
    assert budget.held_bytes == 100 and not any(holder.end for holder in holders)
    budget.record(holders[3], 35)
    assert [holder.end for holder in holders] == [None, ConnectionEnd.OUT_OF_MEMORY, None, None]
    assert budget.held_bytes == 85
    budget.record(holders[0], 0)
    budget.record(holders[0], 0)
    assert budget.held_bytes == 65


def test_joined_streams_that_stop_within_long_lines_hold_a_bounded_memory():
    """Guards against hundreds of clients that each leave almost 1 MiB of a message unfinished."""
    driver = AcceptorDriver()
    driver.acceptor.receive_budget.limit_bytes = 1_000_000
    streams = [driver.connect(JOIN.format(number)) for number in range(4)]
    for stream, size in zip(streams, (100_000, 300_000, 400_000, 300_000), strict=True):
        feed(stream, BEGUN_LINE + b"x" * size)
    assert [stream.end for stream in streams] == [None, None, ConnectionEnd.OUT_OF_MEMORY, None]
    # The server ended the stream, so the lines queued for it still count as queued.
    assert driver.published_events[-1] == ProxyLeft(2, True)
    assert driver.acceptor.receive_budget.held_bytes < 1_000_000


@pytest.mark.parametrize("completes", [True, False])
def test_the_memory_of_a_line_is_free_again_once_it_is_complete_or_its_connection_has_ended(completes):
    driver = AcceptorDriver()
    stream = driver.connect(JOIN.format(1))
    feed(stream, BEGUN_LINE + b"x" * 50_000)
    assert driver.acceptor.receive_budget.held_bytes == 50_000 + len(BEGUN_LINE)
    if completes:
        feed(stream, b"\r\n")
    else:
        stream.connection_lost(None)
    assert driver.acceptor.receive_budget.held_bytes == 0


@pytest.mark.parametrize("first_length, is_accepted", [(64 * 1024, True), (64 * 1024 + 1, False)])
def test_only_the_first_frame_of_an_accepted_connection_is_short(first_length, is_accepted):
    """Guards against connections that fill the memory before they are identified."""
    decoder = FrameDecoder(FIRST_FRAME_LIMIT_BYTES)
    first_frame, second_frame = pack_frame(b"x" * first_length), pack_frame(b"y" * 200_000)
    if is_accepted:
        assert [len(body) for body in decoder.feed(first_frame + second_frame)] == [first_length, 200_000]
    else:
        with pytest.raises(ValueError, match="exceeds the limit of 65536"):
            decoder.feed(first_frame[:4])


def test_subscribers_and_members_that_stop_within_long_frames_hold_a_bounded_memory():
    """Guards against hundreds of clients that each leave almost 8 MiB of a frame unfinished."""
    events = []
    budget = ReceiveBudget(1_000_000)
    listener = SimpleNamespace(
        connection_opened=lambda connection: None,
        message_received=lambda connection, message: None,
        connection_ended=events.append,
        receive_budget=budget,
        hello_received=lambda link, hello: None,
        link_closed=events.append,
    )
    hello = Hello(protocol=PROTOCOL, cluster="test", name="sub-0")
    subscribers = [MessageConnection(BufferPool(), listener, receive_budget=budget) for _ in range(2)]
    links = [Link(BufferPool(), listener, ["hello"]) for _ in range(2)]
    for connection, first_frame in zip(
        [*subscribers, *links], 2 * [pack_frame(encode(hello))] + 2 * [encode_frame(["hello"])], strict=True
    ):
        connection.connection_made(
            SimpleNamespace(set_write_buffer_limits=lambda high: None, write=len, abort=lambda: None)
        )
        feed(connection, first_frame + (8_000_000).to_bytes(4, "big") + b"x" * 300_000)
    assert [connection.end for connection in [*subscribers, *links]] == [
        ConnectionEnd.OUT_OF_MEMORY,
        None,
        None,
        None,
    ]
    assert events == [subscribers[0]] and budget.held_bytes < 1_000_000
