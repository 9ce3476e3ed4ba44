"""A controller's process: leases, the services that they give it, their decisions and publication."""

import asyncio
import random
import signal
from pathlib import Path

import uvloop

from ravenshelf import log_events
from ravenshelf.distribution import services_file
from ravenshelf.distribution.decisions.deciding import ROUND_EVERY, ServiceDecisions
from ravenshelf.distribution.decisions.planner import service_topic
from ravenshelf.distribution.leased_services import LeasedServices
from ravenshelf.distribution.owner_service import OwnerService
from ravenshelf.leadership.cluster import clock
from ravenshelf.leadership.service import Leadership
from ravenshelf.operator_config.tables import Operator
from ravenshelf.process import logs
from ravenshelf.process.relay import limits
from ravenshelf.settings import decode_settings
from ravenshelf.state.counters import Counters

SECOND = 1_000_000
FOLLOW_EVERY = SECOND


class Controller:
    """One of the controllers that share the services of a file."""

    def __init__(self, configuration: dict, operator: Operator, loop: asyncio.AbstractEventLoop):
        """Reads the services; raises ServicesFileError."""
        table, settings = operator.distribution, decode_settings(configuration["settings"])
        self.file, self.zones = Path(table.services), len(settings.zones)
        self.services = services_file.read(self.file, self.zones)
        self.loop, self.listen = loop, table.listen
        self.ended = loop.create_future()
        chance = random.Random()
        self.leadership = Leadership(
            operator.leadership, operator.store.folder, loop, Counters(), chance, self._end
        )
        self.leases = self.leadership.adapter = LeasedServices(
            self.leadership.member, self.leadership.names, clock, operator.leadership.shards
        )
        self.decisions = ServiceDecisions(settings, self.services.__getitem__, chance.getrandbits(32))
        self.publisher = OwnerService(
            loop, clock, table.cluster, table.name, self.leadership.incarnation, operator.leadership.shards,
            self.decisions.content, table.parents, chance, limits(table), self.decisions.reported,
        )  # fmt: skip
        self.decisions.attach(self.publisher.owner)
        self.leases.serve(self.publisher, self.services)
        self._followed_at = 0

    async def start(self) -> str:
        """Listens, meets the other controllers, begins its rounds; gives the address."""
        address = await self.publisher.start(self.listen)
        await self.leadership.start()
        self.loop.call_soon(self._round)
        return address

    def _round(self) -> None:
        if self.ended.done():
            return
        now = clock()
        if now - self._followed_at >= FOLLOW_EVERY:
            self._followed_at = now
            self.leases.follow()
            self.leases.look_at_leases()
        self.decisions.round(now)
        self.publisher.publish()
        self.loop.call_later(ROUND_EVERY / SECOND, self._round)

    def reload(self) -> None:
        """Reads the services anew; a file that can't be used changes nothing."""
        try:
            services = services_file.read(self.file, self.zones)
        except services_file.ServicesFileError as error:
            log_events.SERVICES_REJECTED(why=str(error))
            return
        self.services.clear()
        self.services.update(services)
        self.leases.list_services(self.services)
        for service in self.services:
            self.publisher.refresh(service_topic(service))
        log_events.SERVICES_RELOADED(services=len(self.services))

    def stop(self) -> None:
        """Gives its shards up and ends all connections."""
        self._end("")

    def _end(self, why: str) -> None:
        if not self.ended.done():
            self.ended.set_result(why)

    def close(self) -> None:
        """What `stop` promised, once the loop is through."""
        self.leadership.close()
        self.publisher.stop()


async def serve(configuration: dict, operator: Operator) -> int:
    """Runs a controller until SIGTERM; gives the exit code."""
    loop = asyncio.get_running_loop()
    controller = Controller(configuration, operator, loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, controller.stop)
    loop.add_signal_handler(signal.SIGHUP, controller.reload)
    address = await controller.start()
    log_events.SERVICE_OWNER_LISTENING(
        name=operator.distribution.name, address=address, services=len(controller.services)
    )
    why = await controller.ended
    controller.close()
    await asyncio.sleep(0.1)  # what was given up is told
    if why:
        log_events.DISTRIBUTION_FAILED(why=why)
    return 1 if why else 0


def run(configuration: dict, operator: Operator, level: str) -> int:
    """Runs the controller of the operator file; gives the exit code. Raises ServicesFileError."""
    sink = logs.start(level, operator.log.format)
    try:
        code = uvloop.run(serve(configuration, operator))
    except OSError as error:
        log_events.DISTRIBUTION_FAILED(why=str(error))
        code = 1
    sink.finish(logs.FLUSH_TIMEOUT)
    return code
