"""Whether a simulated server does what a real process does: the same messages, byte by byte, for the same
events."""

import asyncio
import json
import tempfile
from collections.abc import Callable
from pathlib import Path

import msgspec

from benchmarks.scale.servers import SimulatedServer
from ravenshelf.policy.events import EndpointState, ListedEndpoint, ListKind, ProxyJoined
from ravenshelf.settings import decode_settings
from ravenshelf.state.endpoint_registry import EndpointRegistry
from standins.installation import find_free_ports
from standins.loopback import LoopbackProxy, LoopbackRegistry, registry_entry, server_configuration
from standins.server_process import running_server

ZONE = "north"
USUAL = 40.0
WAIT = 10.0  # seconds
QUIET = 0.6  # seconds without a message after which none is expected

STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}


class Case(msgspec.Struct):
    """One size: what the proxy was sent, by the real process and by the simulated server."""

    endpoints: int
    messages: list[int]  # real, simulated
    bytes: list[int]
    same: bool  # byte by byte


class Agreement(msgspec.Struct):
    """The comparison at all sizes."""

    cases: list[Case]
    agrees: bool


class Script:
    """A list of so many endpoints, of which one drains and then another goes."""

    def __init__(self, endpoints: int):
        self.entries = [registry_entry(f"s-{n}", ZONE) for n in range(endpoints)]
        self.changes = [("s-1", "DRAINING"), ("s-2", "DELETED")]

    def configuration(self, registry: str, listen: str) -> dict:
        """Return the configuration of the server."""
        document = server_configuration(registry, [ZONE], 1, listen)
        document["settings"]["limits"]["probing"] = False
        return document


async def _real(script: Script) -> list[bytes]:
    """Return what one proxy is sent by a real process on loopback."""
    registry = await LoopbackRegistry(script.entries).start()
    messages: list[bytes] = []
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "pilot.json"
        address = f"127.0.0.1:{find_free_ports(1)[0]}"
        file.write_text(json.dumps(script.configuration(registry.address, address)))
        async with running_server(file):
            await _until(lambda: registry.watch_count > 0)
            await asyncio.sleep(QUIET)  # the list is known before the proxy joins, as in the simulated server
            proxy = LoopbackProxy(
                lambda: address, 0, ZONE, USUAL, lambda _, line: messages.append(line.rstrip("\r\n").encode())
            )
            running = asyncio.create_task(proxy.run())
            await _quiet(messages, 1)
            for uid, state in script.changes:
                before = len(messages)
                await registry.change_endpoint(uid, state)
                await _quiet(messages, before + 1)
            running.cancel()
    return messages


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT):
        while not condition():
            await asyncio.sleep(0.02)


async def _quiet(messages: list[bytes], least: int) -> None:
    """Wait for so many messages, and until no more arrive."""
    await _until(lambda: len(messages) >= least)
    count = -1
    while count != len(messages):
        count = len(messages)
        await asyncio.sleep(QUIET)


def _simulated(script: Script) -> list[bytes]:
    """Return what a simulated server sends for the same events."""
    server = SimulatedServer(
        0, 0, 1, decode_settings(script.configuration("127.0.0.1:1", "127.0.0.1:0")["settings"])
    )
    registry: EndpointRegistry = server.registry
    first = [_listed(registry, entry["uid"], entry["state"]) for entry in script.entries]
    server.cycle.deliver(registry.update(ListKind.REPLACE, 2, first, {}))
    server.run_cycle()
    server.cycle.deliver(ProxyJoined(0, 0, USUAL, True))
    _settle(server)
    for revision, (uid, state) in enumerate(script.changes, 3):
        change = _listed(registry, uid, state)
        server.cycle.deliver(registry.update(ListKind.UPDATE, revision, [change], {}))
        _settle(server)
    return [message.rstrip(b"\r\n") for _, message in server.written]


def _listed(registry: EndpointRegistry, uid: str, state: str) -> ListedEndpoint:
    return ListedEndpoint(registry.index_of(uid), 0, 0, 0, STATES[state], 1.0, 0)


def _settle(server: SimulatedServer) -> None:
    for _ in range(4):
        server.run_cycle()


def compare(sizes: tuple[int, ...]) -> Agreement:
    """Play the script on both, at each size."""
    cases = []
    for endpoints in sizes:
        real = asyncio.run(_real(Script(endpoints)))
        simulated = _simulated(Script(endpoints))
        cases.append(
            Case(
                endpoints,
                [len(real), len(simulated)],
                [sum(map(len, real)), sum(map(len, simulated))],
                real == simulated,
            )
        )
    return Agreement(cases, all(case.same for case in cases))
