"""Example installation for one server on loopback: a registry, four endpoints, a proxy and a collector.

    python -m examples.toy --with-pilot      # also starts a server; the system chooses all ports (`make try`)
    python -m examples.toy                   # without a server, which is started in another terminal by:
    python -m ravenshelf serve --config examples/config.json

Every 20 s one endpoint is drained, removed and restarted; one endpoint is always slow. Ctrl-C ends the
installation and the server that it started.
"""

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from standins.loopback import LoadReporter, LoopbackProxy, LoopbackRegistry, registry_entry, start_endpoint
from standins.server_process import start_server

NAMES = [f"s-{n}" for n in range(4)]
# Mean response time of each endpoint in seconds.
ANSWER_TIMES = {"s-0": 0.02, "s-1": 0.08, "s-2": 0.02, "s-3": 0.02}
REQUESTS_PER_SECOND = 40
SERVER_ADDRESS = "127.0.0.1:8080"  # the server's address in examples/config.json
REGISTRY_PORT = 8500
FIRST_ENDPOINT_PORT = 9001
PRINTED_MESSAGE = 150  # number of characters of a message that are printed
PRINTED_LOG_LINE = 200  # number of characters of a log line that are printed
ROOT = Path(__file__).resolve().parent.parent


@dataclass
class EndpointLoad:
    """Attempts at an endpoint since the last report; `latency_ms` is the sum of those that succeeded."""

    attempts: int = 0
    failed: int = 0
    latency_ms: float = 0.0


def _print_message(_proxy: LoopbackProxy, line: str) -> None:
    print("<-", line.strip()[:PRINTED_MESSAGE])


def _answer_time(uid: str) -> float:
    return random.expovariate(1 / ANSWER_TIMES[uid])


class ToyInstallation:
    """Registry, endpoints, proxy and collector with which a server communicates."""

    def __init__(self, server: str, first_port: int, fault_interval: float):
        """Create the proxy and the collector.

        Args:
            server: Address of the server, as host:port.
            first_port: Port of the first endpoint; the others follow. 0: the system chooses the ports.
            fault_interval: Seconds between two faults.
        """
        self.server = server
        self.first_port = first_port
        self.fault_interval = fault_interval
        self.loads: dict[str, EndpointLoad] = {}
        self.requests = 0
        self.proxy = LoopbackProxy(lambda: self.server, 0, "north", line_callback=_print_message)
        self.collector = LoadReporter(lambda: self.server, "north", self.collect_loads)

    async def start(self, registry_port: int) -> None:
        """Start the endpoints and the registry."""
        entries = []
        for number, uid in enumerate(NAMES):
            port = self.first_port + number if self.first_port else 0
            endpoint = await start_endpoint(partial(_answer_time, uid), port)
            zone = "north" if number < 2 else "south"
            entries.append(registry_entry(uid, zone, endpoint.sockets[0].getsockname()[1]))
        self.registry = await LoopbackRegistry(entries).start(registry_port)

    async def run(self) -> None:
        """Run the proxy, the collector, the requests and the faults until the task is cancelled."""
        await asyncio.gather(
            self.cause_faults(), self.proxy.run(), self.send_requests(), self.collector.run()
        )

    async def cause_faults(self) -> None:
        """Drain, remove and restart a random endpoint every `fault_interval` seconds."""
        while True:
            await asyncio.sleep(self.fault_interval)
            uid = random.choice(NAMES)
            for state, boot_ms in (("DRAINING", 0), ("DELETED", 0), ("SERVING", time.time() * 1000)):
                await self.registry.change_endpoint(uid, state, boot_ms)
                print(f"-- {uid} is now {state}")
                await asyncio.sleep(self.fault_interval / 5)

    async def send_request(self, uid: str) -> None:
        """Send a request to an endpoint and count its outcome."""
        started_at = time.monotonic()
        load = self.loads.setdefault(uid, EndpointLoad())
        load.attempts += 1
        try:
            host, _, port = self.registry.entries[uid]["endpoint"].rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\nHost: toy\r\n\r\n")
            if not await reader.readline():
                raise ConnectionError
            load.latency_ms += (time.monotonic() - started_at) * 1000
            writer.close()
        except ConnectionError:
            load.failed += 1

    async def send_requests(self) -> None:
        """Send requests to the endpoints in proportion to the weights of the proxy's table."""
        tasks = set()
        while True:
            if lines := self.proxy.active_weights():
                self.requests += 1
                uid = random.choices(list(lines), list(lines.values()))[0]
                task = asyncio.create_task(self.send_request(uid))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    def collect_loads(self) -> dict[str, tuple[int, int, float]]:
        """Report the proxy's demand, and return the load of each endpoint since the last call.

        The load is (attempts, failed attempts, mean latency in milliseconds).
        """
        loads = self.loads
        requests = self.requests
        self.loads = {}
        self.requests = 0
        print("requests a second:", {uid: load.attempts for uid, load in sorted(loads.items())})
        self.proxy.report_demand("read", requests)
        return {uid: (load.attempts, load.failed, _mean_latency(load)) for uid, load in loads.items()}


def _mean_latency(load: EndpointLoad) -> float:
    return load.latency_ms / max(1, load.attempts - load.failed) or 1.0


async def _print_log(
    process: asyncio.subprocess.Process, address: asyncio.Future[str], logs_to_stderr: bool
) -> None:
    """Print a server's log, and set the result of `address` once the server listens."""
    assert process.stderr is not None, "the process was started with a pipe"
    while line := (await process.stderr.readline()).decode():
        print("server:", line.rstrip()[:PRINTED_LOG_LINE], file=sys.stderr if logs_to_stderr else sys.stdout)
        if " serves at " in line and not address.done():
            address.set_result(line.split()[-1])
    if not address.done():
        address.set_exception(RuntimeError("the server ended before it logged its address"))


@contextlib.asynccontextmanager
async def server_process(
    registry: str,
    server_arguments: list[str],
    configuration: dict[str, Any] | None = None,
    logs_to_stderr: bool = False,
) -> AsyncIterator[str]:
    """Run a server during a `with` block, at a port that the system chooses.

    Args:
        registry: Address of the registry, as host:port.
        server_arguments: Further arguments of the command `serve`.
        configuration: Content of the configuration file; None for examples/config.json.
        logs_to_stderr: Whether the server's log is printed to the standard error, not the standard output.

    Yields:
        The address of the server.

    Raises:
        RuntimeError: If the server ends before it logs its address.
    """
    document = configuration or json.loads((ROOT / "examples" / "config.json").read_text())
    document = document | {"listen": "127.0.0.1:0", "discovery": registry}
    with tempfile.NamedTemporaryFile("w", suffix=".json") as configuration_file:
        json.dump(document, configuration_file)
        configuration_file.flush()
        # In a session of its own the server does not receive Ctrl-C; this process stops it with SIGTERM.
        process = await start_server(
            Path(configuration_file.name),
            *server_arguments,
            output=None,
            errors=asyncio.subprocess.PIPE,
            new_session=True,
        )
        address: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        log_task = asyncio.create_task(_print_log(process, address, logs_to_stderr))
        try:
            yield await address
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            await process.wait()
            await log_task


async def main(with_server: bool, seconds: float, fault_interval: float, server_arguments: list[str]) -> None:
    """Run the installation for `seconds`, or until a signal if they are 0."""
    installation = ToyInstallation(SERVER_ADDRESS, 0 if with_server else FIRST_ENDPOINT_PORT, fault_interval)
    await installation.start(0 if with_server else REGISTRY_PORT)
    stop_event = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop_event.set)
    async with contextlib.AsyncExitStack() as stack:
        if with_server:
            installation.server = await stack.enter_async_context(
                server_process(installation.registry.address, server_arguments)
            )
        installation_task = asyncio.create_task(installation.run())
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(stop_event.wait(), seconds or None)
        installation_task.cancel()
        await asyncio.gather(installation_task, return_exceptions=True)
    print("ended: the proxy's table was", installation.proxy.active_weights())


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--with-pilot", action="store_true", help="also start a server")
    parser.add_argument("--seconds", type=float, default=0, help="time until the end; 0: end on Ctrl-C")
    parser.add_argument("--troubles-every", type=float, default=20, help="seconds between drains")
    parser.add_argument("--operator", help="the server's operator file")
    options = parser.parse_args()
    asyncio.run(
        main(
            options.with_pilot,
            options.seconds,
            options.troubles_every,
            ["--operator", options.operator] if options.operator else [],
        )
    )
