"""Several controllers of this program as processes on loopback, with a discovery and proxies that obey terms."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from pathlib import Path

from standins.proxies import FencedProxy
from standins.world import Discovery, configuration, entry

ROOT = Path(__file__).resolve().parent.parent


def ports(count: int) -> list[int]:
    """Free ones that the system gives; held all at once, so that no two are the same."""
    with contextlib.ExitStack() as stack:
        held = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in held:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in held]


class Installation:
    """`extra` is appended to each member's `[leadership]` table."""

    def __init__(
        self,
        folder: Path,
        controllers: int,
        proxies: int,
        endpoints: int = 12,
        lease_ms: int = 1500,
        shards: int = 64,
        extra: str = "",
        serve: tuple[str, ...] = (),
    ):
        self.folder, self.serve = folder, serve
        self.names = [f"c{n}" for n in range(controllers)]
        given = ports(2 * controllers)
        self.listen = [f"127.0.0.1:{p}" for p in given[:controllers]]
        self.members = dict(zip(self.names, (f"127.0.0.1:{p}" for p in given[controllers:])))
        self.proxies = [FencedProxy(n, "north", self.listen) for n in range(proxies)]
        self.entries = [entry(f"s-{n}", "north") for n in range(endpoints)]
        self.lease_ms, self.shards, self.extra = lease_ms, shards, extra
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.running: list[asyncio.Task] = []

    async def start(self) -> "Installation":
        self.discovery = await Discovery(self.entries).start()
        for name, listen in zip(self.names, self.listen):
            self._files(name, listen)
            await self.run(name)
        self.running = [asyncio.create_task(p.run()) for p in self.proxies]
        return self

    def _files(self, name: str, listen: str) -> None:
        said = configuration(
            self.discovery.address,
            ["north"],
            len(self.proxies),
            listen,
            **{"lines-per-s": 200_000, "most-waiting": 400_000},
        )
        said["name"] = name
        said["limits"] = {"cores": 1, "memory_mb": 256, "sockets": 8192}
        (self.folder / f"{name}.json").write_text(json.dumps(said))
        members = "\n".join(f'{n} = "{a}"' for n, a in self.members.items())
        (self.folder / f"{name}.toml").write_text(
            f'[store]\nfolder = "{self.folder / name}"\n[leadership]\nname = "{name}"\ncluster = "loopback"\n'
            f'shards = {self.shards}\nlease_ms = {self.lease_ms}\nadmin = "{self.folder / name}.sock"\n{self.extra}\n'
            f"[leadership.members]\n{members}\n"
        )

    async def run(self, name: str) -> None:
        """Its log goes to a file beside its disk."""
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ravenshelf",
            "serve",
            "--config",
            str(self.folder / f"{name}.json"),
            "--operator",
            str(self.folder / f"{name}.toml"),
            *self.serve,
            cwd=ROOT,
            stderr=log,
            stdout=log,
        )
        log.close()

    def signal(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    def shards_of(self, name: str) -> set[int]:
        """Proxies that last obeyed this controller."""
        number = self.names.index(name)
        return {p.number for p in self.proxies if p.owner == number}

    async def until(self, true, seconds: float) -> float:
        """Seconds until `true()` holds; TimeoutError where it does not."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.timeout(seconds):
            while not true():
                await asyncio.sleep(0.005)
        return loop.time() - began

    def settled(self, least: int = 1) -> bool:
        """Whether every proxy has a table and every controller that lives has so many."""
        alive = [n for n, p in self.processes.items() if p.returncode is None]
        return all(p.table for p in self.proxies) and all(len(self.shards_of(n)) >= least for n in alive)

    def admin(self, name: str, question: dict) -> dict:
        from ravenshelf.leadership.admin import ask

        return ask(f"{self.folder / name}.sock", question)

    async def stop(self) -> None:
        for task in self.running:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGCONT)
                    process.terminate()
        for process in self.processes.values():
            try:
                await asyncio.wait_for(process.wait(), 5)
            except TimeoutError:
                process.kill()
                await process.wait()
