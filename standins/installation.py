"""Several control-plane servers as processes on loopback, with a registry and proxies that obey terms."""

import asyncio
import contextlib
import json
import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from standins.fenced_proxies import FencedProxy
from standins.loopback import LoopbackRegistry, registry_entry, server_configuration
from standins.server_process import start_server

POLL_INTERVAL = 0.005  # seconds
STOP_TIMEOUT = 5  # seconds until a process is killed


def find_free_ports(count: int) -> list[int]:
    """Return free ports of the system; all are reserved at once, so that no two are the same."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for reserved in sockets:
            reserved.bind(("127.0.0.1", 0))
        return [reserved.getsockname()[1] for reserved in sockets]


class Installation:
    """Servers that share the proxies' shards by leases."""

    def __init__(
        self,
        folder: Path,
        controllers: int,
        proxies: int,
        endpoints: int = 12,
        lease_ms: int = 1500,
        shards: int = 64,
        leadership_settings: str = "",
        serve_arguments: tuple[str, ...] = (),
    ):
        """`leadership_settings`: appended to each member's `[leadership]` table; `serve_arguments`: further
        arguments of the processes."""
        self.folder = folder
        self.serve_arguments = serve_arguments
        self.server_names = [f"c{number}" for number in range(controllers)]
        free_ports = find_free_ports(2 * controllers)
        self.listen_addresses = [f"127.0.0.1:{port}" for port in free_ports[:controllers]]
        member_addresses = [f"127.0.0.1:{port}" for port in free_ports[controllers:]]
        self.members = dict(zip(self.server_names, member_addresses, strict=True))
        self.proxies = [FencedProxy(number, "north", self.listen_addresses) for number in range(proxies)]
        self.registry_entries = [registry_entry(f"s-{number}", "north") for number in range(endpoints)]
        self.lease_ms = lease_ms
        self.shards = shards
        self.leadership_settings = leadership_settings
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.proxy_tasks: list[asyncio.Task] = []

    async def start(self) -> "Installation":
        """Start the registry, all servers and all proxies."""
        self.registry = await LoopbackRegistry(self.registry_entries).start()
        for name, listen in zip(self.server_names, self.listen_addresses, strict=True):
            self._write_files(name, listen)
            await self.start_process(name)
        self.proxy_tasks = [asyncio.create_task(proxy.run()) for proxy in self.proxies]
        return self

    def _write_files(self, name: str, listen: str) -> None:
        flow_control = {"lines-per-s": 200_000, "most-waiting": 400_000}
        document = server_configuration(
            self.registry.address, ["north"], len(self.proxies), listen, **flow_control
        )
        document["name"] = name
        document["limits"] = {"cores": 1, "memory_mb": 256, "sockets": 8192}
        (self.folder / f"{name}.json").write_text(json.dumps(document))
        members = "\n".join(f'{member} = "{address}"' for member, address in self.members.items())
        (self.folder / f"{name}.toml").write_text(
            f'[store]\nfolder = "{self.folder / name}"\n[leadership]\nname = "{name}"\ncluster = "loopback"\n'
            f'shards = {self.shards}\nlease_ms = {self.lease_ms}\nadmin = "{self.folder / name}.sock"\n'
            f"{self.leadership_settings}\n[leadership.members]\n{members}\n"
        )

    async def start_process(self, name: str) -> None:
        """Start a server's process; its log goes to a file beside its store."""
        operator_file = str(self.folder / f"{name}.toml")
        configuration = self.folder / f"{name}.json"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await start_server(
                configuration, "--operator", operator_file, *self.serve_arguments, output=log, errors=log
            )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a server."""
        self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a server, and wait for its end."""
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    def served_shards(self, name: str) -> set[int]:
        """Return the proxies that last obeyed this server."""
        number = self.server_names.index(name)
        return {proxy.number for proxy in self.proxies if proxy.owner == number}

    async def wait_until(self, condition: Callable[[], Any], seconds: float) -> float:
        """Wait for a condition; return the seconds that it took, or raise TimeoutError."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL)
        return loop.time() - started_at

    def is_settled(self, min_proxies: int = 1) -> bool:
        """Return whether every proxy has a table and every living server has `min_proxies` proxies."""
        alive = [name for name, process in self.processes.items() if process.returncode is None]
        has_tables = all(proxy.table for proxy in self.proxies)
        return has_tables and all(len(self.served_shards(name)) >= min_proxies for name in alive)

    def send_admin_request(self, name: str, question: dict[str, Any]) -> dict[str, Any]:
        """Ask a server on its admin socket."""
        from ravenshelf.leadership.admin import send_request

        return send_request(f"{self.folder / name}.sock", question)

    async def stop(self) -> None:
        """End all proxies and processes, suspended ones too."""
        for task in self.proxy_tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGCONT)
                    process.terminate()
        for process in self.processes.values():
            try:
                await asyncio.wait_for(process.wait(), STOP_TIMEOUT)
            except TimeoutError:
                process.kill()
                await process.wait()
