"""What an operator asks a running controller by its Unix socket: one JSON object each way, a line each."""

import asyncio
import json
import os
import socket
from collections.abc import Callable

WORDS = ("status", "drain", "undrain", "handover")


def answer(leadership, asked: dict) -> dict:
    """Never raises: what can't be done is said."""
    word = asked.get("ask")
    try:
        if word == "status":
            return {"status": leadership.status()}
        if word in ("drain", "undrain"):
            return {"shards": leadership.drain(word == "drain")}
        if word == "handover":
            shards, heir = asked.get("shards"), asked.get("to")
            if heir is not None and (heir not in leadership.names or heir == leadership.table.name):
                others = ", ".join(n for n in leadership.names if n != leadership.table.name)
                return {"error": f"to: found {heir!r}, expected one of {others}"}
            wanted = leadership.member.held_shards() if shards is None else shards
            if not all(isinstance(s, int) and 0 <= s < leadership.ways.shards for s in wanted):
                return {
                    "error": f"shards: found {str(wanted)[:60]}, expected numbers below {leadership.ways.shards}"
                }
            return {"given": leadership.handover(wanted, heir)}
    except Exception as why:  # an operator's slip must not end a controller
        return {"error": repr(why)}
    return {"error": f"ask: found {word!r}, expected one of {', '.join(WORDS)}"}


async def serve(leadership, path: str) -> asyncio.Server:
    return await serve_answers(lambda asked: answer(leadership, asked), path)


async def serve_answers(answer_to: Callable[[dict], dict], path: str) -> asyncio.Server:
    """Answers questions at a Unix socket, one JSON object a line each way."""

    async def came(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await asyncio.wait_for(reader.readline(), 5)
            asked = json.loads(line)
            told = answer_to(asked if isinstance(asked, dict) else {})
        except (TimeoutError, ValueError, ConnectionError):
            told = {"error": "expected one JSON object a line"}
        writer.write(json.dumps(told).encode() + b"\n")
        writer.close()

    if os.path.exists(path) and not _alive(path):
        os.unlink(path)
    server = await asyncio.start_unix_server(came, path, limit=65536)
    os.chmod(path, 0o600)
    return server


def _alive(path: str) -> bool:
    with socket.socket(socket.AF_UNIX) as probe:
        try:
            probe.connect(path)
            return True
        except OSError:
            return False


def ask(path: str, question: dict, seconds: float = 5) -> dict:
    """Asks a controller or relay and gives its answer; OSError where none is there."""
    with socket.socket(socket.AF_UNIX) as asking:
        asking.settimeout(seconds)
        asking.connect(path)
        asking.sendall(json.dumps(question).encode() + b"\n")
        data = b""
        while piece := asking.recv(65536):
            data += piece
    return json.loads(data)
