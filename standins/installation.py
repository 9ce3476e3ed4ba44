"""Several control-plane servers as processes on loopback, with an endpoint registry and fenced proxies."""

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

POLL_INTERVAL_S = 0.005
STOP_TIMEOUT_S = 5  # a process that has not ended by then is killed


def find_free_ports(count: int) -> list[int]:
    """Return free ports, which are all reserved at the same time so that they differ."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for reserved_socket in sockets:
            reserved_socket.bind(("127.0.0.1", 0))
        return [reserved_socket.getsockname()[1] for reserved_socket in sockets]


class Installation:
    """Servers that share the shards of the proxies by leases, and the proxies and endpoint registry."""

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
        """Create the proxies and the entries of the registry; `start` starts the servers.

        Args:
            folder: Folder for the files, stores and logs of the servers.
            controllers: Number of servers.
            proxies: Number of proxies.
            endpoints: Number of endpoints.
            lease_ms: Length of a lease.
            shards: Number of shards.
            leadership_settings: Lines that are appended to the `[leadership]` table of each server.
            serve_arguments: Further arguments of the processes.
        """
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
        """Start the endpoint registry, all servers and all proxies."""
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

    def served_proxies(self, name: str) -> set[int]:
        """Return the numbers of the proxies that applied their last command from a server."""
        number = self.server_names.index(name)
        return {proxy.number for proxy in self.proxies if proxy.owner == number}

    async def wait_until(self, condition: Callable[[], Any], timeout_s: float) -> float:
        """Wait until a condition is true, and return the seconds that this took.

        Raises:
            TimeoutError: The condition is still false after `timeout_s` seconds.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)
        return loop.time() - started_at

    def is_settled(self, min_proxies: int = 1) -> bool:
        """Return whether every proxy has a table and every running server has `min_proxies` proxies."""
        running_servers = [name for name, process in self.processes.items() if process.returncode is None]
        has_tables = all(proxy.table for proxy in self.proxies)
        return has_tables and all(len(self.served_proxies(name)) >= min_proxies for name in running_servers)

    def send_admin_request(self, name: str, request: dict[str, Any]) -> dict[str, Any]:
        """Send a request to a server's admin socket, and return the response."""
        from ravenshelf.leadership.admin import send_request

        return send_request(f"{self.folder / name}.sock", request)

    async def stop(self) -> None:
        """Stop all proxies and server processes, including suspended ones."""
        for task in self.proxy_tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGCONT)
                    process.terminate()
        for process in self.processes.values():
            try:
                await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
            except TimeoutError:
                process.kill()
                await process.wait()
