"""A simulated control-plane server: the real control cycle, driven by the simulated clock."""

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
    """Runs the control cycle, and polls the registry for the endpoint list.

    Attributes:
        is_alive: Whether its process is running.
        is_watching: Whether it has a watch at the registry.
        previous_starts: The number of its earlier processes.
        list_revision: The revision of the endpoint list that it has.
        has_pending_poll: Whether it has a poll in the queue of the registry.
        timers: The times at which it has asked for a control cycle.
        known_starts: The latest start time by endpoint that it knows.
        start_known_since: The time since when it knows a start, by endpoint and start time.
    """

    def __init__(
        self,
        number: int,
        settings: Settings,
        fleet: ServedFleet,
        channel: Callable[["SimulatedServer"], Channel],
        restored_list: ListSnapshot,
        previous_starts: int = 0,
    ):
        """Start the server.

        Args:
            number: The number of the server.
            settings: The settings of the deployment.
            fleet: The fleet that the server belongs to.
            channel: Creates the control channel of a server.
            restored_list: The last endpoint list that an earlier process of the server had.
            previous_starts: The number of its earlier processes.
        """
        self.number = number
        self.fleet = fleet
        self.is_alive = True
        self.is_watching = False
        self.previous_starts = previous_starts
        self.list_revision = 0
        self.has_pending_poll = False
        self.counters = Counters()
        self.tables = ProxyTables(len(settings.traffic_groups), False)
        self.endpoint_registry = EndpointRegistry(lambda: fleet.now, self.tables.has_endpoint)
        seed = FIRST_SEED + number + SEEDS_BETWEEN_STARTS * previous_starts
        self.cycle = ControlCycle(settings, seed, self.endpoint_registry, self.tables, self.counters)
        self.timers: list[int] = []
        self.known_starts: Mapping[str, int] = {}
        self.start_known_since: dict[tuple[str, int], int] = {}
        self.channel = channel(self)
        self._apply_list(ListKind.REPLACE, restored_list)
        self.cycle.begin()
        self.run_cycle()

    def read_list(self, kind: ListKind) -> EndpointsListed | None:
        """Read the present endpoint list and return the event for the controller, if there is one."""
        return self._apply_list(kind, self.fleet.snapshot())

    def _apply_list(self, kind: ListKind, snapshot: ListSnapshot) -> EndpointsListed | None:
        self.list_revision = snapshot.revision
        self._stored_list = snapshot
        entries = [
            ListedEndpoint(
                self.endpoint_registry.index_of(entry.name),
                entry.zone,
                0,
                0,
                EndpointState(entry.state),
                entry.weight,
                entry.started_at,
            )
            for entry in snapshot.entries
        ]
        self.known_starts = {entry.name: entry.started_at for entry in snapshot.entries}
        for start in self.known_starts.items():
            self.start_known_since.setdefault(start, self.fleet.now)
        return self.endpoint_registry.update(kind, snapshot.revision + 1, entries, {})

    def stored_list(self) -> ListSnapshot:
        """Return the endpoint list that the next process of this server will restore."""
        return self._stored_list

    def receive(self, event: Event) -> None:
        """Pass an event to the controller."""
        self.cycle.deliver(event)

    def is_due(self) -> bool:
        """Return whether a control cycle is due."""
        return bool(self.cycle.events) or any(due_at <= self.fleet.now for due_at in self.timers)

    def run_cycle(self) -> None:
        """Run a control cycle and execute its commands."""
        self.timers = [due_at for due_at in self.timers if due_at > self.fleet.now]
        for command in self.cycle.run(self.fleet.now, self.write) or ():
            if isinstance(command, StartTimer):
                self.timers.append(command.at)
            elif isinstance(command, WatchEndpoints):
                self.is_watching = False
                self.fleet.registry.poll(self)

    def write(self, proxy: int, message: bytes, marker: int | None) -> None:
        """Send a message to a proxy."""
        self.fleet.written_lines[self.number] = (
            self.fleet.written_lines.get(self.number, 0) + message.count(b":") + 3
        )
        self.channel.send(self.fleet.proxies[proxy], message.decode(), marker, self.known_starts)

    def message_arrived(
        self,
        proxy: SimulatedProxy,
        message: str,
        marker: int | None,
        delivery_time: int,
        known_starts: Mapping[str, int],
    ) -> None:
        """Apply a message at its proxy, unless the connection has been lost since it was sent."""
        if proxy.server is not self or not self.is_alive:
            return
        proxy.apply_message(message)
        proxy.table_source = self
        proxy.starts_known_to_sender = known_starts
        if marker is not None:
            self.fleet.call_later(delivery_time, lambda: self._acknowledged(proxy, marker, delivery_time))

    def _acknowledged(self, proxy: SimulatedProxy, marker: int, delivery_time: int) -> None:
        if proxy.server is self:
            self.receive(BatchAcknowledged(proxy.number, marker, delivery_time))

    def has_known_start_for(self, name: str, started_at: int, duration: int) -> bool:
        """Return whether the server has known of a start of an endpoint for so many microseconds."""
        known_since = self.start_known_since.get((name, started_at))
        return known_since is not None and self.fleet.now - known_since >= duration
