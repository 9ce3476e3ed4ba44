"""A toy world for one pilot, all on loopback: discovery, four endpoints, one proxy and its zone's collector.

    python -m examples.toy --with-pilot      # starts a pilot too, at ports that the system gives (`make try`)
    python -m examples.toy                   # alone; then in another terminal:
    python -m ravenshelf serve --config examples/config.json

Every 20 s one endpoint is drained, removed, and comes back; one endpoint is slow. Ctrl-C ends it, and the pilot."""

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

from standins.world import Collector, Discovery, Proxy, endpoint, entry

NAMES = [f"s-{n}" for n in range(4)]
TIMES = {"s-0": 0.02, "s-1": 0.08, "s-2": 0.02, "s-3": 0.02}  # seconds that an endpoint takes to answer
ROOT = Path(__file__).resolve().parent.parent


class World:
    def __init__(self, pilot: str, first_port: int, troubles_every: float):
        self.pilot, self.first_port, self.troubles_every = pilot, first_port, troubles_every
        self.met: dict[str, list] = {}
        self.flows = 0
        self.proxy = Proxy(
            lambda: self.pilot, 0, "north", heard=lambda proxy, line: print("<-", line.strip()[:150])
        )
        self.collector = Collector(lambda: self.pilot, "north", self.sums)

    async def start(self, discovery_port: int) -> None:
        servers = [
            await endpoint(
                lambda uid=uid: random.expovariate(1 / TIMES[uid]), self.first_port and self.first_port + n
            )
            for n, uid in enumerate(NAMES)
        ]
        ports = [server.sockets[0].getsockname()[1] for server in servers]
        self.discovery = await Discovery(
            [
                entry(uid, "north" if n < 2 else "south", port)
                for n, (uid, port) in enumerate(zip(NAMES, ports))
            ]
        ).start(discovery_port)

    async def run(self) -> None:
        await asyncio.gather(self.troubles(), self.proxy.run(), self.send_flows(), self.collector.run())

    async def troubles(self) -> None:
        while True:
            await asyncio.sleep(self.troubles_every)
            uid = random.choice(NAMES)
            for state, boot_ms in (("DRAINING", 0), ("DELETED", 0), ("SERVING", time.time() * 1000)):
                await self.discovery.change(uid, state, boot_ms)
                print(f"-- {uid} is now {state}")
                await asyncio.sleep(self.troubles_every / 5)

    async def flow(self, uid: str) -> None:
        began, met = time.monotonic(), self.met.setdefault(uid, [0, 0, 0.0])
        met[0] += 1
        try:
            host, _, port = self.discovery.entries[uid]["endpoint"].rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\nHost: toy\r\n\r\n")
            if not await reader.readline():
                raise ConnectionError
            met[2] += (time.monotonic() - began) * 1000
            writer.close()
        except ConnectionError:
            met[1] += 1

    async def send_flows(self) -> None:
        going = set()
        while True:
            if lines := self.proxy.lines():
                self.flows += 1
                task = asyncio.create_task(self.flow(random.choices(list(lines), lines.values())[0]))
                going.add(task)
                task.add_done_callback(going.discard)
            await asyncio.sleep(1 / 40)

    def sums(self) -> dict[str, tuple]:
        met, self.met = self.met, {}
        flows, self.flows = self.flows, 0
        print("flows a second:", {uid: m[0] for uid, m in sorted(met.items())})
        self.proxy.usage("read", flows)
        return {uid: (n, failed, took / max(1, n - failed) or 1.0) for uid, (n, failed, took) in met.items()}


@contextlib.asynccontextmanager
async def pilot(discovery: str, extra: list[str], said: dict | None = None, quiet: bool = False):
    """A pilot in a process of its own, at a port that the system gives; gives its address, and ends it. `said` is its
    configuration, else that of the example."""
    said = said or json.loads((ROOT / "examples" / "config.json").read_text())
    said = said | {"listen": "127.0.0.1:0", "discovery": discovery}
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(said, file)
        file.flush()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ravenshelf",
            "serve",
            "--config",
            file.name,
            *extra,
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )  # Ctrl-C is for us; we end it in good order
        where: asyncio.Future[str] = asyncio.get_running_loop().create_future()

        async def log() -> None:
            while line := (await process.stderr.readline()).decode():
                print("pilot:", line.rstrip()[:200], file=sys.stderr if quiet else sys.stdout)
                if " serves at " in line and not where.done():
                    where.set_result(line.split()[-1])
            if not where.done():
                where.set_exception(RuntimeError("the pilot ended before it served"))

        reading = asyncio.create_task(log())
        try:
            yield await where
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            await process.wait()
            await reading


async def main(with_pilot: bool, seconds: float, troubles_every: float, extra: list[str]) -> None:
    world = World("127.0.0.1:8080", 0 if with_pilot else 9001, troubles_every)
    await world.start(0 if with_pilot else 8500)
    over = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, over.set)
    async with contextlib.AsyncExitStack() as stack:
        if with_pilot:
            world.pilot = await stack.enter_async_context(pilot(world.discovery.address, extra))
        running = asyncio.create_task(world.run())
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(over.wait(), seconds or None)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
    print("over: the proxy's table was", world.proxy.lines())


if __name__ == "__main__":
    said = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    said.add_argument("--with-pilot", action="store_true", help="start a pilot too")
    said.add_argument("--seconds", type=float, default=0, help="end after so long; 0: on Ctrl-C")
    said.add_argument("--troubles-every", type=float, default=20, help="seconds between drains")
    said.add_argument("--operator", help="the pilot's operator file")
    options = said.parse_args()
    asyncio.run(
        main(
            options.with_pilot,
            options.seconds,
            options.troubles_every,
            ["--operator", options.operator] if options.operator else [],
        )
    )
