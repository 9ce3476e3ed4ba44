"""Administration of a running process by its Unix socket: one JSON object each way, a line each."""

import asyncio
import json
import os
import socket
from collections.abc import Callable
from typing import Any, Protocol

from ravenshelf.leadership.cluster import LeadershipSettings
from ravenshelf.leadership.decisions import LeaseConfiguration, Member

COMMANDS = ("status", "drain", "undrain", "handover")
REQUEST_TIMEOUT_S = 5.0
REQUEST_LIMIT_BYTES = 65536
SHOWN_CHARACTERS = 60  # of a value that can't be used

Json = dict[str, Any]


class AdministeredMember(Protocol):
    """What administration needs of `service.Leadership`."""

    names: list[str]
    settings: LeadershipSettings
    configuration: LeaseConfiguration
    member: Member

    def status(self) -> Json:
        """The state of the member."""

    def drain(self, is_enabled: bool = True) -> int:
        """Hands its shards to the others; returns their count."""

    def hand_over(self, shards: list[int], successor: str | None) -> list[int]:
        """Releases shards; returns those that it held."""


def handle_request(leadership: AdministeredMember, request: Json) -> Json:
    """The answer to a request. Never raises: what can't be done is an `error`."""
    command = request.get("ask")
    try:
        if command == "status":
            return {"status": leadership.status()}
        if command in ("drain", "undrain"):
            return {"shards": leadership.drain(command == "drain")}
        if command == "handover":
            return _hand_over(leadership, request)
    except Exception as error:  # an operator's mistake must not end a control-plane server
        return {"error": repr(error)}
    return {"error": f"ask: found {command!r}, expected one of {', '.join(COMMANDS)}"}


def _hand_over(leadership: AdministeredMember, request: Json) -> Json:
    shards = request.get("shards")
    successor = request.get("to")
    own_name = leadership.settings.name
    if successor is not None and (successor not in leadership.names or successor == own_name):
        others = ", ".join(name for name in leadership.names if name != own_name)
        return {"error": f"to: found {successor!r}, expected one of {others}"}
    wanted = leadership.member.held_shards() if shards is None else shards
    limit = leadership.configuration.shards
    if not all(isinstance(shard, int) and 0 <= shard < limit for shard in wanted):
        return {"error": f"shards: found {str(wanted)[:SHOWN_CHARACTERS]}, expected numbers below {limit}"}
    return {"given": leadership.hand_over(wanted, successor)}


async def serve(leadership: AdministeredMember, path: str) -> asyncio.Server:
    """Answers at a Unix socket. Raises OSError."""
    return await serve_requests(lambda request: handle_request(leadership, request), path)


async def serve_requests(answer_to: Callable[[Json], Json], path: str) -> asyncio.Server:
    """Answers requests at a Unix socket, one JSON object a line each way. Raises OSError."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await asyncio.wait_for(reader.readline(), REQUEST_TIMEOUT_S)
            request = json.loads(line)
            reply = answer_to(request if isinstance(request, dict) else {})
        except (TimeoutError, ValueError, ConnectionError):
            reply = {"error": "expected one JSON object a line"}
        writer.write(json.dumps(reply).encode() + b"\n")
        writer.close()

    if os.path.exists(path) and not _is_served(path):
        os.unlink(path)
    server = await asyncio.start_unix_server(connected, path, limit=REQUEST_LIMIT_BYTES)
    os.chmod(path, 0o600)
    return server


def _is_served(path: str) -> bool:
    with socket.socket(socket.AF_UNIX) as attempt:
        try:
            attempt.connect(path)
            return True
        except OSError:
            return False


def send_request(path: str, request: Json, timeout_s: float = REQUEST_TIMEOUT_S) -> Json:
    """Sends a request to a running process and returns its answer. Raises OSError where none listens."""
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(timeout_s)
        connection.connect(path)
        connection.sendall(json.dumps(request).encode() + b"\n")
        data = b""
        while received := connection.recv(REQUEST_LIMIT_BYTES):
            data += received
    return json.loads(data)
