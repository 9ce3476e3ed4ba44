"""HTTP calls: responses, lines and ends, without a network."""

import asyncio

import pytest
from conftest import RecordingTransport, feed

from ravenshelf.net.connection_end import (
    ConnectionEnd,
)
from ravenshelf.net.http import BODY_LIMIT_BYTES, HttpCall
from ravenshelf.state.buffers import BufferPool


def open_call(on_line=None):
    ended_calls, transport = [], RecordingTransport()
    call = HttpCall(BufferPool(), "127.0.0.1:1", "/x", ended_calls.append, on_line)
    call.connection_made(transport)
    return call, ended_calls


@pytest.mark.parametrize(
    "response, end, body",
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
def test_complete_and_incomplete_responses(response, end, body, size):
    call, ended_calls = open_call()
    for start in range(0, len(response), size):
        feed(call, response[start : start + size])
    call.eof_received()
    call.connection_lost(None)
    assert ended_calls == [call] and call.end is end and call.body == body
    assert call.transport.sent_data.startswith(b"GET /x HTTP/1.1\r\nHost: 127.0.0.1:1\r\n")


def test_a_reset_a_timeout_and_a_long_body_end_the_call_once():
    call, ended_calls = open_call()
    call.connection_lost(ConnectionResetError())
    assert call.end is ConnectionEnd.RESET and len(ended_calls) == 1
    call, ended_calls = open_call()
    call.close(ConnectionEnd.SILENT)
    # This response arrives after the end of the call.
    feed(call, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert (
        call.end is ConnectionEnd.SILENT
        and len(ended_calls) == 1
        and call.transport.closing_method == "abort"
    )
    call, ended_calls = open_call()
    feed(call, b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + b"x" * (BODY_LIMIT_BYTES + 1))
    assert call.end is ConnectionEnd.TOO_LONG and len(ended_calls) == 1


def test_a_call_to_a_closed_port_is_refused():
    async def call_closed_port():
        server = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        ended_call = asyncio.get_running_loop().create_future()
        HttpCall(BufferPool(), f"127.0.0.1:{port}", "/x", ended_call.set_result).dial(
            asyncio.get_running_loop()
        )
        return await ended_call

    assert asyncio.run(call_closed_port()).end is ConnectionEnd.REFUSED


def test_a_watch_passes_lines_as_they_arrive():
    lines = []
    call, ended_calls = open_call(lambda call, line: lines.append(line))
    feed(call, b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{"a"\r\n')
    assert lines == []
    feed(call, b"5\r\n:1}\n\n\r\n")
    assert lines == [b'{"a":1}', b""] and not ended_calls
    call.connection_lost(None)
    assert call.end is ConnectionEnd.CUT_OFF
