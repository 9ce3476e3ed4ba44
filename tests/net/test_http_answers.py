"""How calls end, over loopback: the test writes the answers byte by byte."""

import asyncio
import contextlib

import pytest
import uvloop

from ravenshelf.net import http
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.http import HttpCall
from ravenshelf.state.buffers import BufferPool

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
CLOSING = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
AFTER = b"HTTP/1.1 503 Busy\r\nContent-Length: 3\r\n\r\nlow"


async def asked(pieces, watch=False, then=None):
    """Return how a call ends that is answered with these pieces, each in a turn of its own, and a close."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.001)
            if then is not None:
                await then.wait()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    loop, lines = asyncio.get_running_loop(), []
    over = loop.create_future()
    port = server.sockets[0].getsockname()[1]
    call = HttpCall(
        BufferPool(),
        f"127.0.0.1:{port}",
        "/list",
        over.set_result,
        (lambda call, line: lines.append(line)) if watch else None,
    )
    call.dial(loop)
    async with asyncio.timeout(20):
        await over
    server.close()
    return call, lines


@pytest.mark.parametrize(
    "pieces, end, body",
    [
        ([WHOLE], ConnectionEnd.ANSWERED, b"whole"),
        ([WHOLE[:20], WHOLE[20:-2], WHOLE[-2:]], ConnectionEnd.ANSWERED, b"whole"),
        ([b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE], ConnectionEnd.ANSWERED, b"whole"),
        ([b"HTTP/1.1 103 Early Hints\r\nLink: </list>\r\n\r\n", WHOLE], ConnectionEnd.ANSWERED, b"whole"),
        ([WHOLE + AFTER], ConnectionEnd.ANSWERED, b"whole"),
        ([WHOLE + b"\r\nmore"], ConnectionEnd.ANSWERED, b"whole"),
        ([CLOSING + AFTER], ConnectionEnd.ANSWERED, b"whole"),
        ([CLOSING + b"more"], ConnectionEnd.ANSWERED, b"whole"),
        ([AFTER + WHOLE], ConnectionEnd.DECLINED, b"low"),
        ([b"HTTP/1.1 204 No Content\r\n\r\n"], ConnectionEnd.DECLINED, b""),
        (
            [b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"],
            ConnectionEnd.DECLINED,
            b"",
        ),
        ([WHOLE[:-2]], ConnectionEnd.CUT_OFF, b"who"),
        ([CHUNKED + b"5\r\nwho"], ConnectionEnd.CUT_OFF, b"who"),
        ([CHUNKED + b"5\r\nwhole\r\n"], ConnectionEnd.CUT_OFF, b"whole"),
        ([CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n"], ConnectionEnd.ANSWERED, b"whole"),
        ([CHUNKED + b"5\r\nwholeXX"], ConnectionEnd.UNREADABLE, b"whole"),
        ([b"<html>"], ConnectionEnd.UNREADABLE, b""),
        ([b"HTTP/1.1 200 OK\r\n\r\nwhole"], ConnectionEnd.ANSWERED, b"whole"),
        ([b""], ConnectionEnd.CUT_OFF, b""),
        ([b"HTTP/1.1 200 OK\r\nX: " + b"x" * 16_000] + [b"x" * 16_000] * 8, ConnectionEnd.TOO_LONG, b""),
    ],
)
def test_each_answer_has_its_connection_end(pieces, end, body):
    call, _ = uvloop.run(asked(pieces))
    assert (call.end, call.body) == (end, body)


@pytest.mark.parametrize(
    "pieces, end, lines",
    [
        (
            [CHUNKED + b"4\r\none\n\r\n", b"3\r\ntwo\r\n", b"1\r\n\n\r\n"],
            ConnectionEnd.CUT_OFF,
            [b"one", b"two"],
        ),
        ([b"HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED + b"4\r\none\n\r\n"], ConnectionEnd.CUT_OFF, [b"one"]),
        (
            [CHUNKED + b"4\r\none\n\r\n0\r\n\r\n" + CHUNKED + b"4\r\ntwo\n\r\n"],
            ConnectionEnd.ANSWERED,
            [b"one"],
        ),
        ([b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\none\n"], ConnectionEnd.DECLINED, []),
    ],
)
def test_a_watch_passes_its_lines_and_has_its_connection_end(pieces, end, lines):
    call, said = uvloop.run(asked(pieces, True))
    assert (call.end, said) == (end, lines)


def test_a_line_without_end_is_bounded(monkeypatch):
    monkeypatch.setattr(http, "BODY_LIMIT_BYTES", 100_000)
    call, _ = uvloop.run(asked([CHUNKED] + [b"3e8\r\n" + b"x" * 1000 + b"\r\n"] * 200, True))
    assert call.end is ConnectionEnd.TOO_LONG
    call, lines = uvloop.run(asked([CHUNKED] + [b"3e8\r\n" + b"x" * 999 + b"\n\r\n"] * 200, True))
    assert call.end is ConnectionEnd.CUT_OFF and len(lines) == 200  # many lines are not one


@pytest.mark.parametrize("turns", range(6))
def test_a_call_closed_while_it_is_dialed_leaves_no_connection(turns):
    async def play():
        came = []
        server = await asyncio.start_server(
            lambda reader, writer: came.append((reader, writer)), "127.0.0.1", 0
        )
        loop, ended = asyncio.get_running_loop(), []
        call = HttpCall(
            BufferPool(), f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "/list", ended.append
        )
        call.dial(loop)
        for _ in range(turns):
            await asyncio.sleep(0)
        call.close(ConnectionEnd.SUPERSEDED)
        async with asyncio.timeout(20):
            with contextlib.suppress(asyncio.CancelledError):
                await call.dialing
            while call.transport is not None and not call.transport.is_closing():
                await asyncio.sleep(0.001)
            for reader, writer in came:
                with contextlib.suppress(ConnectionError):
                    await reader.read()  # to the end: the other side sees one
                writer.close()
        server.close()
        assert ended == [call] and call.end is ConnectionEnd.SUPERSEDED

    uvloop.run(play())
