"""Comparison of a simulated server with a real process: both must send the same bytes for the same events."""

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
NOMINAL_RATE = 40.0
TIMEOUT = 10.0  # in seconds
QUIET_SECONDS = 0.6  # After this time without a message, no further message is expected.

STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}


class Case(msgspec.Struct):
    """Comparison at one size.

    Attributes:
        endpoints: Number of endpoints in the list.
        messages: Numbers of messages that the real process and the simulated server sent to the proxy.
        bytes: Total sizes of those messages, in bytes.
        same: Whether both sent the same messages, byte by byte.
    """

    endpoints: int
    messages: list[int]
    bytes: list[int]
    same: bool


class Agreement(msgspec.Struct):
    """Comparison at all sizes."""

    cases: list[Case]
    agrees: bool


class Script:
    """Endpoint list of a given length and two changes: one endpoint drains, then another is deleted."""

    def __init__(self, endpoints: int):
        self.entries = [registry_entry(f"s-{n}", ZONE) for n in range(endpoints)]
        self.changes = [("s-1", "DRAINING"), ("s-2", "DELETED")]

    def configuration(self, registry: str, listen: str) -> dict:
        """Return the configuration file of the real process."""
        document = server_configuration(registry, [ZONE], 1, listen)
        document["settings"]["limits"]["probing"] = False
        return document


async def _run_process(script: Script) -> list[bytes]:
    """Return the messages that one proxy receives from a real process on loopback."""
    registry = await LoopbackRegistry(script.entries).start()
    messages: list[bytes] = []
    with tempfile.TemporaryDirectory() as folder:
        configuration_file = Path(folder) / "pilot.json"
        address = f"127.0.0.1:{find_free_ports(1)[0]}"
        configuration_file.write_text(json.dumps(script.configuration(registry.address, address)))
        async with running_server(configuration_file):
            await _wait_until(lambda: registry.watch_count > 0)
            # The server has the list before the proxy joins, as in the simulated server.
            await asyncio.sleep(QUIET_SECONDS)
            proxy = LoopbackProxy(
                lambda: address,
                0,
                ZONE,
                NOMINAL_RATE,
                lambda _, line: messages.append(line.rstrip("\r\n").encode()),
            )
            proxy_task = asyncio.create_task(proxy.run())
            await _wait_until_quiet(messages, 1)
            for uid, state in script.changes:
                message_count = len(messages)
                await registry.change_endpoint(uid, state)
                await _wait_until_quiet(messages, message_count + 1)
            proxy_task.cancel()
    return messages


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT):
        while not condition():
            await asyncio.sleep(0.02)


async def _wait_until_quiet(messages: list[bytes], min_count: int) -> None:
    """Wait until there are `min_count` messages and no more arrive for QUIET_SECONDS."""
    await _wait_until(lambda: len(messages) >= min_count)
    count = -1
    while count != len(messages):
        count = len(messages)
        await asyncio.sleep(QUIET_SECONDS)


def _run_simulation(script: Script) -> list[bytes]:
    """Return the messages that a simulated server sends for the same events."""
    server = SimulatedServer(
        0, 0, 1, decode_settings(script.configuration("127.0.0.1:1", "127.0.0.1:0")["settings"])
    )
    registry: EndpointRegistry = server.registry
    first_entries = [_make_entry(registry, entry["uid"], entry["state"]) for entry in script.entries]
    server.cycle.deliver(registry.update(ListKind.REPLACE, 2, first_entries, {}))
    server.run_cycle()
    server.cycle.deliver(ProxyJoined(0, 0, NOMINAL_RATE, True))
    _run_cycles(server)
    for revision, (uid, state) in enumerate(script.changes, 3):
        change = _make_entry(registry, uid, state)
        server.cycle.deliver(registry.update(ListKind.UPDATE, revision, [change], {}))
        _run_cycles(server)
    return [message.rstrip(b"\r\n") for _, message in server.written]


def _make_entry(registry: EndpointRegistry, uid: str, state: str) -> ListedEndpoint:
    return ListedEndpoint(registry.index_of(uid), 0, 0, 0, STATES[state], 1.0, 0)


def _run_cycles(server: SimulatedServer) -> None:
    for _ in range(4):
        server.run_cycle()


def compare(sizes: tuple[int, ...]) -> Agreement:
    """Run the script with a real process and a simulated server, for each number of endpoints."""
    cases = []
    for endpoints in sizes:
        real = asyncio.run(_run_process(Script(endpoints)))
        simulated = _run_simulation(Script(endpoints))
        cases.append(
            Case(
                endpoints,
                [len(real), len(simulated)],
                [sum(map(len, real)), sum(map(len, simulated))],
                real == simulated,
            )
        )
    return Agreement(cases, all(case.same for case in cases))
