"""A simulated control-plane server: the real control cycle, driven by the simulation's clock."""

from collections.abc import Callable, Mapping

from ravenshelf.policy.commands import StartTimer, WatchEndpoints
from ravenshelf.policy.events import (
    BatchAcknowledged,
    EndpointsListed,
    EndpointState,
    Event,
    ListedEndpoint,
    ListKind,
)
from ravenshelf.process.control_cycle import ControlCycle
from ravenshelf.settings import Settings
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry
from ravenshelf.state.proxy_tables import ProxyTables
from standins.fleet.channels import Channel
from standins.fleet.interfaces import ServedFleet
from standins.fleet.proxies import SimulatedProxy
from standins.fleet.snapshots import ListSnapshot

FIRST_SEED = 100
SEEDS_BETWEEN_STARTS = 1000


class SimulatedServer:
    """Runs the control cycle, and polls the registry for the endpoint list."""

    def __init__(
        self,
        number: int,
        settings: Settings,
        world: ServedFleet,
        channel: Callable[["SimulatedServer"], Channel],
        restored: ListSnapshot,
        starts: int = 0,
    ):
        """`restored`: the list as this server had it last; `starts`: the number of its earlier processes."""
        self.number = number
        self.world = world
        self.alive = True
        self.watching = False
        self.starts = starts
        self.revision = 0  # of the list that it has
        self.poll_pending = False  # whether a poll is queued
        self.counters = Counters()
        self.tables = ProxyTables(len(settings.traffic_groups), False)
        self.endpoint_registry = EndpointRegistry(lambda: world.now, self.tables.has_endpoint)
        seed = FIRST_SEED + number + SEEDS_BETWEEN_STARTS * starts
        self.cycle = ControlCycle(settings, seed, self.endpoint_registry, self.tables, self.counters)
        self.wake_times: list[int] = []
        self.known_starts: Mapping[str, int] = {}  # by endpoint: the newest start that it knows
        self.known_since: dict[tuple[str, int], int] = {}
        self.channel = channel(self)
        self._take(ListKind.REPLACE, restored)
        self.cycle.begin()
        self.run_cycle()

    def take(self, kind: ListKind) -> EndpointsListed | None:
        """Take over the present list; return the event for the controller."""
        return self._take(kind, self.world.snapshot())

    def _take(self, kind: ListKind, snapshot: ListSnapshot) -> EndpointsListed | None:
        self.revision = snapshot.revision
        self._restored = snapshot
        entries = [
            ListedEndpoint(
                self.endpoint_registry.index_of(entry.name),
                entry.zone,
                0,
                0,
                EndpointState(entry.state),
                entry.weight,
                entry.started,
            )
            for entry in snapshot.entries
        ]
        self.known_starts = {entry.name: entry.started for entry in snapshot.entries}
        for start in self.known_starts.items():
            self.known_since.setdefault(start, self.world.now)
        return self.endpoint_registry.update(kind, snapshot.revision + 1, entries, {})

    def restored_list(self) -> ListSnapshot:
        """Return the list as its next process restores it."""
        return self._restored

    def receive(self, event: Event) -> None:
        """Pass an event to the controller."""
        self.cycle.deliver(event)

    def is_due(self) -> bool:
        """Return whether a control cycle is due."""
        return bool(self.cycle.events) or any(at <= self.world.now for at in self.wake_times)

    def run_cycle(self) -> None:
        """Run a control cycle and perform its commands."""
        self.wake_times = [at for at in self.wake_times if at > self.world.now]
        for command in self.cycle.run(self.world.now, self.write) or ():
            if isinstance(command, StartTimer):
                self.wake_times.append(command.at)
            elif isinstance(command, WatchEndpoints):
                self.watching = False
                self.world.registry.poll(self)

    def write(self, proxy: int, message: bytes, marker: int | None) -> None:
        """Send a message to a proxy."""
        self.world.lines[self.number] = self.world.lines.get(self.number, 0) + message.count(b":") + 3
        self.channel.send(self.world.proxies[proxy], message.decode(), marker, self.known_starts)

    def message_arrived(
        self,
        proxy: SimulatedProxy,
        message: str,
        marker: int | None,
        delivery_time: int,
        starts: Mapping[str, int],
    ) -> None:
        """Apply a message at its proxy, unless the stream has broken since."""
        if proxy.server is not self or not self.alive:
            return
        proxy.apply_message(message)
        proxy.table_source = self
        proxy.informed = starts
        if marker is not None:
            self.world.call_later(delivery_time, lambda: self._answered(proxy, marker, delivery_time))

    def _answered(self, proxy: SimulatedProxy, marker: int, delivery_time: int) -> None:
        if proxy.server is self:
            self.receive(BatchAcknowledged(proxy.number, marker, delivery_time))

    def has_known(self, name: str, started: int, span: int) -> bool:
        """Return whether the server has known of a start for `span` microseconds."""
        since = self.known_since.get((name, started))
        return since is not None and self.world.now - since >= span
