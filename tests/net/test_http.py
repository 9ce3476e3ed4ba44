"""HTTP calls: answers, lines and ends."""

import asyncio

import pytest
from conftest import RecordingTransport, feed

from ravenshelf.net.connection_end import (
    ConnectionEnd,
)
from ravenshelf.net.http import BODY_LIMIT_BYTES, HttpCall
from ravenshelf.state.buffers import BufferPool


def call(piece=None):
    ended, made = [], RecordingTransport()
    c = HttpCall(BufferPool(), "127.0.0.1:1", "/x", ended.append, piece)
    c.connection_made(made)
    return c, ended


@pytest.mark.parametrize(
    "said, end, body",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", ConnectionEnd.ANSWERED, b"hello"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
            ConnectionEnd.ANSWERED,
            b"hello",
        ),
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", ConnectionEnd.DECLINED, b""),
        (b"HTTP/1.1 200 OK\r\n\r\nhello", ConnectionEnd.ANSWERED, b"hello"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", ConnectionEnd.CUT_OFF, b"hello"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello", ConnectionEnd.CUT_OFF, b"hello"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Enc", ConnectionEnd.CUT_OFF, b""),
        (b"what is this\r\n\r\n", ConnectionEnd.UNREADABLE, b""),
        (b"", ConnectionEnd.CUT_OFF, b""),
    ],
)
@pytest.mark.parametrize("size", [1, 10_000])
def test_complete_and_incomplete_answers(said, end, body, size):
    c, ended = call()
    for start in range(0, len(said), size):
        feed(c, said[start : start + size])
    c.eof_received()
    c.connection_lost(None)
    assert ended == [c] and c.end is end and c.body == body
    assert c.transport.sent_data.startswith(b"GET /x HTTP/1.1\r\nHost: 127.0.0.1:1\r\n")


def test_other_ends_of_a_call():
    c, ended = call()
    c.connection_lost(ConnectionResetError())
    assert c.end is ConnectionEnd.RESET and len(ended) == 1
    c, ended = call()
    c.close(ConnectionEnd.SILENT)
    feed(c, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")  # too late
    assert c.end is ConnectionEnd.SILENT and len(ended) == 1 and c.transport.closing_method == "abort"
    c, ended = call()
    feed(c, b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + b"x" * (BODY_LIMIT_BYTES + 1))
    assert c.end is ConnectionEnd.TOO_LONG and len(ended) == 1


def test_a_call_to_a_closed_port_is_refused():
    async def refused():
        server = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        done = asyncio.get_running_loop().create_future()
        HttpCall(BufferPool(), f"127.0.0.1:{port}", "/x", done.set_result).dial(asyncio.get_running_loop())
        return await done

    assert asyncio.run(refused()).end is ConnectionEnd.REFUSED


def test_a_watch_passes_lines_as_they_arrive():
    said = []
    c, ended = call(lambda c, line: said.append(line))
    feed(c, b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{"a"\r\n')
    assert said == []
    feed(c, b"5\r\n:1}\n\n\r\n")
    assert said == [b'{"a":1}', b""] and not ended
    c.connection_lost(None)
    assert c.end is ConnectionEnd.CUT_OFF
