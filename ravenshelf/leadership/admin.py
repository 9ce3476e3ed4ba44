"""Administration of a running process over its Unix socket: one line with a JSON object in each direction."""

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
SHOWN_CHARACTERS = 60  # an error message shows at most this many characters of an unusable value

Json = dict[str, Any]


class AdministeredMember(Protocol):
    """The interface of `service.Leadership` that administration uses."""

    names: list[str]
    settings: LeadershipSettings
    configuration: LeaseConfiguration
    member: Member

    def status(self) -> Json:
        """Return the state of the member."""

    def drain(self, is_enabled: bool = True) -> int:
        """Begin or stop handing all shards over to other members, and return the number of held shards."""

    def hand_over(self, shards: list[int], successor: str | None) -> list[int]:
        """Release shards to the member named `successor`, or to any member if it is None.

        Returns:
            The released shards. Shards without a claim are left out.
        """


def handle_request(leadership: AdministeredMember, request: Json) -> Json:
    """Return the reply to a request; the reply's key `error` says why the request can't be carried out.

    No exception is raised, because an unusable request must not end a control-plane server.
    """
    command = request.get("ask")
    try:
        if command == "status":
            return {"status": leadership.status()}
        if command in ("drain", "undrain"):
            return {"shards": leadership.drain(command == "drain")}
        if command == "handover":
            return _hand_over(leadership, request)
    except Exception as error:
        return {"error": repr(error)}
    return {"error": f"ask: found {command!r}, expected one of {', '.join(COMMANDS)}"}


def _hand_over(leadership: AdministeredMember, request: Json) -> Json:
    shards = request.get("shards")
    successor = request.get("to")
    local_name = leadership.settings.name
    if successor is not None and (successor not in leadership.names or successor == local_name):
        other_names = ", ".join(name for name in leadership.names if name != local_name)
        return {"error": f"to: found {successor!r}, expected one of {other_names}"}
    requested_shards = leadership.member.held_shards() if shards is None else shards
    limit = leadership.configuration.shards
    if not all(isinstance(shard, int) and 0 <= shard < limit for shard in requested_shards):
        return {
            "error": f"shards: found {str(requested_shards)[:SHOWN_CHARACTERS]}, "
            f"expected numbers from 0 to below {limit}"
        }
    return {"given": leadership.hand_over(requested_shards, successor)}


async def serve(leadership: AdministeredMember, path: str) -> asyncio.Server:
    """Serve requests to a member at a Unix socket.

    Raises:
        OSError: The socket can't be opened.
    """
    return await serve_requests(lambda request: handle_request(leadership, request), path)


async def serve_requests(reply_to: Callable[[Json], Json], path: str) -> asyncio.Server:
    """Serve requests at a Unix socket, which only the user of this process can connect to.

    A socket file that a process left behind is replaced.

    Args:
        reply_to: Returns the reply to a request.
        path: The path of the socket.

    Raises:
        OSError: The socket can't be opened, or another process listens at it.
    """

    async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read one JSON request, write the reply as one line and close the connection."""
        try:
            line = await asyncio.wait_for(reader.readline(), REQUEST_TIMEOUT_S)
            request = json.loads(line)
            reply = reply_to(request if isinstance(request, dict) else {})
        except (TimeoutError, ValueError, ConnectionError):
            reply = {"error": "request: found no valid line, expected one JSON object per line"}
        writer.write(json.dumps(reply).encode() + b"\n")
        writer.close()

    if os.path.exists(path) and not _is_served(path):
        os.unlink(path)
    server = await asyncio.start_unix_server(handle_connection, path, limit=REQUEST_LIMIT_BYTES)
    os.chmod(path, 0o600)
    return server


def _is_served(path: str) -> bool:
    with socket.socket(socket.AF_UNIX) as connection:
        try:
            connection.connect(path)
            return True
        except OSError:
            return False


def send_request(path: str, request: Json, timeout_s: float = REQUEST_TIMEOUT_S) -> Json:
    """Send a request to a running process, and return its reply.

    Raises:
        OSError: No process listens at the socket, or the reply takes longer than `timeout_s`.
        ValueError: The reply is not JSON.
    """
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(timeout_s)
        connection.connect(path)
        connection.sendall(json.dumps(request).encode() + b"\n")
        data = b""
        while received := connection.recv(REQUEST_LIMIT_BYTES):
            data += received
    return json.loads(data)
