"""A stand-in of discovery, and a relay in front of it that can be cut off or made late."""

import asyncio
import contextlib
import json
import re
import time
from typing import Any

KEEPALIVE_S = 2.0
REVISION = re.compile(rb'"rev":(\d+)')
# This many bytes of a read are searched again with the next one, in case it split a revision.
CARRIED_BYTES = 32


class Registry:
    """The list of endpoints, served whole or as a watch, with the forms of the protocol page.

    Attributes:
        entries: The listed endpoints, by uid.
        revision: The version of the list.
        changes: The version and the entry of each change.
        written_at: When a watch was first sent a version, by version.
        arrivals: When each version passed the relay; the relay fills it.
    """

    def __init__(self, entries: list[dict[str, Any]]):
        self.entries = {entry["uid"]: entry for entry in entries}
        self.revision = 41
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.written_at: dict[int, float] = {}
        self.arrivals: list[tuple[float, int]] = []
        self.address = ""
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def document(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"rev": self.revision, "all": True, "targets": list(self.entries.values())}

    def change(self, uid: str, state: str, boot_ms: int | None = None) -> int:
        """Change an endpoint's state and tell it on all watches; return the version of the change."""
        self.revision += 1
        entry = dict(self.entries[uid])
        entry["state"] = state
        if boot_ms is not None:
            entry["boot_ms"] = boot_ms
        if state == "DELETED":
            del self.entries[uid]
        else:
            self.entries[uid] = entry
        self.changes.append((self.revision, entry))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            if "watch=1" not in path:
                body = json.dumps(self.document(), separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                await self._watch(writer, int(path.rpartition("after=")[2] or 0))
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        first_known = self.changes[0][0] - 1 if self.changes else self.revision
        if after < first_known or after > self.revision:
            after = self._write_line(writer, self.document())
        while True:
            changed = self._changed
            # Each change has a line of its own, as they were made one after the other.
            for revision, entry in self.changes:
                if revision > after:
                    after = self._write_line(writer, {"rev": revision, "all": False, "targets": [entry]})
            await writer.drain()
            try:
                await asyncio.wait_for(changed.wait(), KEEPALIVE_S)
            except TimeoutError:
                writer.write(b"1\r\n\n\r\n")

    def _write_line(self, writer: asyncio.StreamWriter, document: dict[str, Any]) -> int:
        line = json.dumps(document, separators=(",", ":")).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        revision: int = document["rev"]
        self.written_at.setdefault(revision, time.monotonic())
        return revision

    def told_at(self, revision: int) -> float | None:
        """Return when a version counts as told: on its arrival, or 6 s after it was written."""
        times = [at for at, version in self.arrivals if version >= revision]
        times += [self.written_at[revision] + 6.0] if revision in self.written_at else []
        return min(times, default=None)


class RegistryRelay:
    """The network between the server and discovery.

    Attributes:
        is_cut: While true, nothing passes. A connection that is open then, or opened then, stays open and
            silent for good.
        is_late: While true, what discovery writes waits, and arrives in order when this ends.
    """

    def __init__(self, registry: Registry):
        self.is_cut = False
        self.is_late = False
        self.address = ""
        self._registry = registry
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._registry.address.rpartition(":")
        registry_reader, registry_writer = await asyncio.open_connection(host, int(port))
        link = {"is_dead": False}
        pumps = [
            asyncio.create_task(self._pump(reader, registry_writer, link, False)),
            asyncio.create_task(self._pump(registry_reader, writer, link, True)),
        ]
        self._tasks.update(pumps)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: dict[str, bool], is_list: bool
    ) -> None:
        carried = b""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(65536):
                while self.is_late and is_list:
                    await asyncio.sleep(0.01)
                link["is_dead"] = link["is_dead"] or self.is_cut
                if link["is_dead"]:
                    continue
                writer.write(data)
                if is_list:
                    for match in REVISION.finditer(carried + data):
                        self._registry.arrivals.append((time.monotonic(), int(match[1])))
                    carried = data[-CARRIED_BYTES:]
        if not (link["is_dead"] or self.is_cut):
            writer.close()
