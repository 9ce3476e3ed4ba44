"""Ends of HTTP calls over loopback, where the test writes the bytes of the responses."""

import asyncio
import contextlib

import pytest
import uvloop

from ravenshelf.net import http
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.http import HttpCall
from ravenshelf.state.buffers import BufferPool

COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
CLOSING_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY_RESPONSE = b"HTTP/1.1 503 Busy\r\nContent-Length: 3\r\n\r\nlow"


async def respond(pieces, is_watch=False, close_event=None):
    """Open a call, send these pieces as its response, then close; return the call and its lines.

    The event loop runs between any two pieces. If `close_event` is given, the connection is closed only after
    it.
    """

    async def write_response(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.001)
            if close_event is not None:
                await close_event.wait()
        writer.close()

    server = await asyncio.start_server(write_response, "127.0.0.1", 0)
    loop, lines = asyncio.get_running_loop(), []
    ended_call = loop.create_future()
    port = server.sockets[0].getsockname()[1]
    call = HttpCall(
        BufferPool(),
        f"127.0.0.1:{port}",
        "/list",
        ended_call.set_result,
        (lambda call, line: lines.append(line)) if is_watch else None,
    )
    call.dial(loop)
    async with asyncio.timeout(20):
        await ended_call
    server.close()
    return call, lines


@pytest.mark.parametrize(
    "pieces, end, body",
    [
        ([COMPLETE_RESPONSE], ConnectionEnd.ANSWERED, b"whole"),
        (
            [COMPLETE_RESPONSE[:20], COMPLETE_RESPONSE[20:-2], COMPLETE_RESPONSE[-2:]],
            ConnectionEnd.ANSWERED,
            b"whole",
        ),
        ([b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE_RESPONSE], ConnectionEnd.ANSWERED, b"whole"),
        (
            [b"HTTP/1.1 103 Early Hints\r\nLink: </list>\r\n\r\n", COMPLETE_RESPONSE],
            ConnectionEnd.ANSWERED,
            b"whole",
        ),
        ([COMPLETE_RESPONSE + BUSY_RESPONSE], ConnectionEnd.ANSWERED, b"whole"),
        ([COMPLETE_RESPONSE + b"\r\nmore"], ConnectionEnd.ANSWERED, b"whole"),
        ([CLOSING_RESPONSE + BUSY_RESPONSE], ConnectionEnd.ANSWERED, b"whole"),
        ([CLOSING_RESPONSE + b"more"], ConnectionEnd.ANSWERED, b"whole"),
        ([BUSY_RESPONSE + COMPLETE_RESPONSE], ConnectionEnd.DECLINED, b"low"),
        ([b"HTTP/1.1 204 No Content\r\n\r\n"], ConnectionEnd.DECLINED, b""),
        (
            [b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"],
            ConnectionEnd.DECLINED,
            b"",
        ),
        ([COMPLETE_RESPONSE[:-2]], ConnectionEnd.CUT_OFF, b"who"),
        ([CHUNKED_HEAD + b"5\r\nwho"], ConnectionEnd.CUT_OFF, b"who"),
        ([CHUNKED_HEAD + b"5\r\nwhole\r\n"], ConnectionEnd.CUT_OFF, b"whole"),
        ([CHUNKED_HEAD + b"5\r\nwhole\r\n0\r\n\r\n"], ConnectionEnd.ANSWERED, b"whole"),
        ([CHUNKED_HEAD + b"5\r\nwholeXX"], ConnectionEnd.UNREADABLE, b"whole"),
        ([b"<html>"], ConnectionEnd.UNREADABLE, b""),
        ([b"HTTP/1.1 200 OK\r\n\r\nwhole"], ConnectionEnd.ANSWERED, b"whole"),
        ([b""], ConnectionEnd.CUT_OFF, b""),
        ([b"HTTP/1.1 200 OK\r\nX: " + b"x" * 16_000] + [b"x" * 16_000] * 8, ConnectionEnd.TOO_LONG, b""),
    ],
)
def test_each_response_leads_to_its_connection_end(pieces, end, body):
    call, _ = uvloop.run(respond(pieces))
    assert (call.end, call.body) == (end, body)


@pytest.mark.parametrize(
    "pieces, end, lines",
    [
        (
            [CHUNKED_HEAD + b"4\r\none\n\r\n", b"3\r\ntwo\r\n", b"1\r\n\n\r\n"],
            ConnectionEnd.CUT_OFF,
            [b"one", b"two"],
        ),
        (
            [b"HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED_HEAD + b"4\r\none\n\r\n"],
            ConnectionEnd.CUT_OFF,
            [b"one"],
        ),
        (
            [CHUNKED_HEAD + b"4\r\none\n\r\n0\r\n\r\n" + CHUNKED_HEAD + b"4\r\ntwo\n\r\n"],
            ConnectionEnd.ANSWERED,
            [b"one"],
        ),
        ([b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\none\n"], ConnectionEnd.DECLINED, []),
    ],
)
def test_a_watch_passes_lines_and_ends_as_its_response_does(pieces, end, lines):
    call, passed_lines = uvloop.run(respond(pieces, True))
    assert (call.end, passed_lines) == (end, lines)


def test_a_line_without_an_end_is_limited_in_length(monkeypatch):
    monkeypatch.setattr(http, "BODY_LIMIT_BYTES", 100_000)
    call, _ = uvloop.run(respond([CHUNKED_HEAD] + [b"3e8\r\n" + b"x" * 1000 + b"\r\n"] * 200, True))
    assert call.end is ConnectionEnd.TOO_LONG
    call, lines = uvloop.run(respond([CHUNKED_HEAD] + [b"3e8\r\n" + b"x" * 999 + b"\n\r\n"] * 200, True))
    # The length limit applies to a single line.
    assert call.end is ConnectionEnd.CUT_OFF and len(lines) == 200


@pytest.mark.parametrize("iterations", range(6))
def test_a_call_closed_while_it_connects_leaves_no_connection(iterations):
    async def close_while_connecting():
        accepted_streams = []
        server = await asyncio.start_server(
            lambda reader, writer: accepted_streams.append((reader, writer)), "127.0.0.1", 0
        )
        loop, ended_calls = asyncio.get_running_loop(), []
        call = HttpCall(
            BufferPool(), f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "/list", ended_calls.append
        )
        call.dial(loop)
        for _ in range(iterations):
            await asyncio.sleep(0)
        call.close(ConnectionEnd.SUPERSEDED)
        async with asyncio.timeout(20):
            with contextlib.suppress(asyncio.CancelledError):
                await call.dialing
            while call.transport is not None and not call.transport.is_closing():
                await asyncio.sleep(0.001)
            for reader, writer in accepted_streams:
                with contextlib.suppress(ConnectionError):
                    await reader.read()  # This returns once the call has closed its connection.
                writer.close()
        server.close()
        assert ended_calls == [call] and call.end is ConnectionEnd.SUPERSEDED

    uvloop.run(close_while_connecting())
