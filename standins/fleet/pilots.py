"""A pilot: the control plane's module behind its own rounds."""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

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
from standins.fleet.proxies import Proxy
from standins.fleet.snapshots import ListSnapshot

if TYPE_CHECKING:
    from standins.fleet.simulation import Simulation

FIRST_SEED = 100
SEEDS_BETWEEN_STARTS = 1000


class Pilot:
    """The module behind the pilot's own rounds."""

    def __init__(
        self,
        number: int,
        settings: Settings,
        world: "Simulation",
        channel: Callable[["Pilot"], Channel],
        restored: ListSnapshot,
        starts: int = 0,
    ):
        """`restored` is the list as this pilot last had it; `starts` counts its earlier processes."""
        self.number, self.world, self.alive, self.watching = number, world, True, False
        self.starts = starts
        self.rev = 0  # of the list that it was told
        self.called = False  # whether a call waits for its answer
        self.counters, self.sent = Counters(), ProxyTables(len(settings.traffic_groups), False)
        self.listing = EndpointRegistry(lambda: world.now, self.sent.has_endpoint)
        seed = FIRST_SEED + number + SEEDS_BETWEEN_STARTS * starts
        self.rounds = ControlCycle(settings, seed, self.listing, self.sent, self.counters)
        self.wakes: list[int] = []
        self.known_starts: Mapping[str, int] = {}  # endpoint: its newest start that this pilot was told
        self.known_since: dict[tuple[str, int], int] = {}
        self.channel = channel(self)
        self._take(ListKind.REPLACE, restored)
        self.rounds.begin()
        self.round()

    def take(self, kind: ListKind) -> EndpointsListed | None:
        """Takes the present list; gives what the module is to be told."""
        return self._take(kind, self.world.snapshot())

    def _take(self, kind: ListKind, snapshot: ListSnapshot) -> EndpointsListed | None:
        self.rev, self._restored = snapshot.rev, snapshot
        entries = [
            ListedEndpoint(
                self.listing.index_of(entry.name),
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
        return self.listing.update(kind, snapshot.rev + 1, entries, {})

    def restored_list(self) -> ListSnapshot:
        """The list as its next process finds it."""
        return self._restored

    def hear(self, event: Event) -> None:
        self.rounds.deliver(event)

    def due(self) -> bool:
        return bool(self.rounds.events) or any(at <= self.world.now for at in self.wakes)

    def round(self) -> None:
        self.wakes = [at for at in self.wakes if at > self.world.now]
        for command in self.rounds.run(self.world.now, self.write) or ():
            if isinstance(command, StartTimer):
                self.wakes.append(command.at)
            elif isinstance(command, WatchEndpoints):
                self.watching = False
                self.world.discovery.call(self)

    def write(self, proxy: int, message: bytes, ticket: int | None) -> None:
        self.world.lines[self.number] = self.world.lines.get(self.number, 0) + message.count(b":") + 3
        self.channel.send(self.world.proxies[proxy], message.decode(), ticket, self.known_starts)

    def arrived(
        self, proxy: Proxy, message: str, ticket: int | None, took: int, starts: Mapping[str, int]
    ) -> None:
        """A message reaches its proxy, unless the stream has broken since."""
        if proxy.pilot is not self or not self.alive:
            return
        proxy.obey(message)
        proxy.table_from, proxy.informed = self, starts
        if ticket is not None:
            self.world.later(took, lambda: self._answered(proxy, ticket, took))

    def _answered(self, proxy: Proxy, ticket: int, took: int) -> None:
        if proxy.pilot is self:
            self.hear(BatchAcknowledged(proxy.number, ticket, took))

    def has_known(self, name: str, started: int, span: int) -> bool:
        """Whether it was told of a start so long ago."""
        since = self.known_since.get((name, started))
        return since is not None and self.world.now - since >= span
