"""A service owner's process: its leases, and the decisions and publication for the leased services."""

import asyncio
import random
import signal
from pathlib import Path
from typing import Any, cast

import uvloop

from ravenshelf import log_events
from ravenshelf.distribution import services_file
from ravenshelf.distribution.decisions.planner import service_topic
from ravenshelf.distribution.decisions.service_decisions import CYCLE_INTERVAL_US, ServiceDecisions
from ravenshelf.distribution.leased_services import LeasedServices
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.owner_service import OwnerService
from ravenshelf.leadership.cluster import clock
from ravenshelf.leadership.service import Leadership
from ravenshelf.operator_config.tables import OperatorConfiguration
from ravenshelf.process import logs
from ravenshelf.process.relay import distributor_limits
from ravenshelf.settings import decode_settings
from ravenshelf.state.counters import Counters
from ravenshelf.time_units import SECOND

# Time, in microseconds, between two checks of the leases and of the shards to follow.
FOLLOW_INTERVAL = SECOND
SEED_BITS = 32
# Time, in seconds, to send the messages that release the leases before the process exits.
LEASE_RELEASE_TIME = 0.1
EXIT_FAILED = 1


class OwnerProcess:
    """A service owner: one of the controllers that share the services of a services file.

    Args:
        configuration: A configuration that `configuration.check` has accepted.
        operator: The operator file's tables.
        loop: The event loop that the process runs in.

    Raises:
        ServicesFileError: The services file can't be read or is not valid.
    """

    def __init__(self, configuration: dict, operator: OperatorConfiguration, loop: asyncio.AbstractEventLoop):
        table = operator.distribution
        settings = decode_settings(configuration["settings"])
        self.services_path = Path(table.services)
        self.zones = len(settings.zones)
        self.services = services_file.read(self.services_path, self.zones)
        self.loop = loop
        self.listen = table.listen
        # Set when the process must end: the reason of a failure, or an empty text after a signal.
        self.end_reason: asyncio.Future[str] = loop.create_future()
        random_source = random.Random()
        self.leadership = Leadership(
            operator.leadership, operator.store.folder, loop, Counters(), random_source, self._end
        )
        shards = operator.leadership.shards
        self.leases = LeasedServices(self.leadership.member, self.leadership.names, clock, shards)
        # LeasedServices has the methods that Leadership calls on its lease listener, but is not a subclass.
        self.leadership.lease_listener = cast(Any, self.leases)
        self.decisions = ServiceDecisions(
            settings, self.services.__getitem__, random_source.getrandbits(SEED_BITS)
        )
        self.publisher = OwnerService(
            Node(loop, clock, table.cluster, table.name, table.parents),
            self.leadership.incarnation,
            shards,
            self.decisions.content,
            random_source,
            distributor_limits(table),
            self.decisions.add_load_report,
        )
        self.decisions.attach(self.publisher.owner)
        self.leases.attach(self.publisher, self.services)
        self._followed_at = 0

    async def start(self) -> str:
        """Listen, connect to the other controllers and start the control cycles.

        Returns:
            The address listened at, as host:port.

        Raises:
            OSError: The address can't be listened at, or a file of the leadership can't be read.
        """
        address = await self.publisher.start(self.listen)
        await self.leadership.start()
        self.loop.call_soon(self._run_cycle)
        return address

    def _run_cycle(self) -> None:
        if self.end_reason.done():
            return
        now = clock()
        if now - self._followed_at >= FOLLOW_INTERVAL:
            self._followed_at = now
            self.leases.update_followed_shards()
            self.leases.check_leases()
        self.decisions.run_cycle(now)
        self.publisher.publish()
        self.loop.call_later(CYCLE_INTERVAL_US / SECOND, self._run_cycle)

    def reload(self) -> None:
        """Read the services file again; if it is not valid, the previous services stay in force."""
        try:
            services = services_file.read(self.services_path, self.zones)
        except services_file.ServicesFileError as error:
            log_events.SERVICES_REJECTED(why=str(error))
            return
        self.services.clear()
        self.services.update(services)
        self.leases.set_services(self.services)
        for service in self.services:
            self.publisher.refresh(service_topic(service))
        log_events.SERVICES_RELOADED(services=len(self.services))

    def stop(self) -> None:
        """Let `serve` end the process with exit code 0."""
        self._end("")

    def _end(self, reason: str) -> None:
        if not self.end_reason.done():
            self.end_reason.set_result(reason)

    def close(self) -> None:
        """Release all leases and close all connections."""
        self.leadership.close()
        self.publisher.stop()


async def serve(configuration: dict, operator: OperatorConfiguration) -> int:
    """Run a service owner until SIGTERM, SIGINT or a failure.

    Returns:
        The exit code.

    Raises:
        OSError: The address can't be listened at, or a file of the leadership can't be read.
        ServicesFileError: The services file can't be read or is not valid.
    """
    loop = asyncio.get_running_loop()
    process = OwnerProcess(configuration, operator, loop)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, process.stop)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    address = await process.start()
    log_events.SERVICE_OWNER_LISTENING(
        name=operator.distribution.name, address=address, services=len(process.services)
    )
    reason = await process.end_reason
    process.close()
    await asyncio.sleep(LEASE_RELEASE_TIME)
    if reason:
        log_events.DISTRIBUTION_FAILED(why=reason)
        return EXIT_FAILED
    return 0


def run(configuration: dict, operator: OperatorConfiguration, level: str) -> int:
    """Run the service owner that the operator file configures, with its log and event loop.

    Args:
        configuration: A configuration that `configuration.check` has accepted.
        operator: The operator file's tables.
        level: Lowest level of log lines.

    Returns:
        The exit code.

    Raises:
        ServicesFileError: The services file can't be read or is not valid.
    """
    sink = logs.start(level, operator.log.format)
    try:
        code = uvloop.run(serve(configuration, operator))
    except OSError as error:
        log_events.DISTRIBUTION_FAILED(why=str(error))
        code = EXIT_FAILED
    sink.finish(logs.FLUSH_TIMEOUT)
    return code
