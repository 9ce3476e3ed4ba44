"""Whether a hollow pilot does what a real process does: the same messages, byte by byte, for the same news at small size."""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import msgspec

from benchmarks.scale.pilots import HollowPilot
from ravenshelf.policy.events import ListKind, ProxyJoined
from ravenshelf.settings import decode_settings
from ravenshelf.state.endpoint_registry import EndpointRegistry
from standins.installation import ports
from standins.world import Discovery, Proxy, configuration, entry

ROOT = Path(__file__).resolve().parent.parent.parent
ZONE, USUAL = "north", 40.0
WAIT = 10.0  # seconds for a real process to say what is expected
QUIET = 0.6  # without a message for so long it has said all


class Case(msgspec.Struct):
    """One size: what the proxy was sent, by the real pilot and by the hollow one."""

    endpoints: int
    messages: list[int]  # real, hollow
    bytes: list[int]
    same: bool  # byte by byte


class Agreement(msgspec.Struct):
    cases: list[Case]
    agrees: bool


class Script:
    """A list of so many endpoints, of which one drains and then another goes."""

    def __init__(self, endpoints: int):
        self.entries = [entry(f"s-{n}", ZONE) for n in range(endpoints)]
        self.changes = [("s-1", "DRAINING"), ("s-2", "DELETED")]

    def configuration(self, discovery: str, listen: str) -> dict:
        said = configuration(discovery, [ZONE], 1, listen)
        said["settings"]["limits"]["probing"] = False
        return said


async def _real(script: Script) -> list[bytes]:
    """What one proxy is sent by a real process on loopback."""
    discovery = await Discovery(script.entries).start()
    said: list[bytes] = []
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "pilot.json"
        address = f"127.0.0.1:{ports(1)[0]}"
        file.write_text(json.dumps(script.configuration(discovery.address, address)))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ravenshelf",
            "serve",
            "--config",
            str(file),
            cwd=ROOT,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            await _until(lambda: discovery.watches > 0)
            await asyncio.sleep(QUIET)  # the list is known before the proxy joins, as in the hollow pilot
            proxy = Proxy(
                lambda: address, 0, ZONE, USUAL, lambda _, line: said.append(line.rstrip("\r\n").encode())
            )
            running = asyncio.create_task(proxy.run())
            await _quiet(said, 1)
            for uid, state in script.changes:
                before = len(said)
                await discovery.change(uid, state)
                await _quiet(said, before + 1)
            running.cancel()
        finally:
            process.terminate()
            await process.wait()
    return said


async def _until(true) -> None:
    async with asyncio.timeout(WAIT):
        while not true():
            await asyncio.sleep(0.02)


async def _quiet(said: list[bytes], least: int) -> None:
    """Waits for so many messages, and until no more come."""
    await _until(lambda: len(said) >= least)
    count = -1
    while count != len(said):
        count = len(said)
        await asyncio.sleep(QUIET)


def _hollow(script: Script) -> list[bytes]:
    """What the same news make a hollow pilot send."""
    pilot = HollowPilot(
        0, 0, 1, decode_settings(script.configuration("127.0.0.1:1", "127.0.0.1:0")["settings"])
    )
    states = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}
    listing: EndpointRegistry = pilot.listing
    first = [(listing.index_of(one["uid"]), 0, 0, 0, states[one["state"]], 1.0, 0) for one in script.entries]
    pilot.rounds.deliver(listing.update(ListKind.REPLACE, 2, first, {}))
    pilot.round()
    pilot.rounds.deliver(ProxyJoined(0, 0, USUAL, True))
    _settle(pilot)
    for revision, (uid, state) in enumerate(script.changes, 3):
        change = (listing.index_of(uid), 0, 0, 0, states[state], 1.0, 0)
        pilot.rounds.deliver(listing.update(ListKind.UPDATE, revision, [change], {}))
        _settle(pilot)
    return [message.rstrip(b"\r\n") for _, message in pilot.written]


def _settle(pilot: HollowPilot) -> None:
    for _ in range(4):
        pilot.round()


def compare(sizes: tuple[int, ...]) -> Agreement:
    """Plays the script on both, at a few sizes."""
    cases = []
    for endpoints in sizes:
        real, hollow = asyncio.run(_real(Script(endpoints))), _hollow(Script(endpoints))
        cases.append(
            Case(
                endpoints,
                [len(real), len(hollow)],
                [sum(map(len, real)), sum(map(len, hollow))],
                real == hollow,
            )
        )
    return Agreement(cases, all(case.same for case in cases))
