"""What every simulated fleet has: a clock, servers, proxies, a registry, and faults."""

import random
from collections.abc import Callable
from functools import partial

from ravenshelf.policy.events import ListKind, ProxyJoined
from ravenshelf.settings import Settings
from standins.fleet.channels import Channel, FixedChannel
from standins.fleet.clock import SECOND, TICK, EventQueue
from standins.fleet.control_plane import SimulatedServer
from standins.fleet.endpoints import SimulatedEndpoint
from standins.fleet.proxies import SimulatedProxy
from standins.fleet.registry import SimulatedRegistry
from standins.fleet.snapshots import ListEntry, ListSnapshot

NOTICE_AT_ONCE = (0, 0)


class FleetSimulation:
    """A simulated fleet; subclasses add endpoints' loads."""

    def __init__(
        self,
        settings: Settings,
        endpoints: list[SimulatedEndpoint],
        proxies: list[SimulatedProxy],
        servers: int,
        seed: int,
        polls_per_second: float,
    ):
        self.random_source = random.Random(seed)
        self.revision = 0
        self.events = EventQueue()
        self.settings = settings
        self.endpoints = {s.name: s for s in endpoints}
        self.proxies = proxies
        self.lines: dict[int, int] = {}  # by server: lines written
        self.registry = SimulatedRegistry(self, polls_per_second)
        self.servers = [self.start_server(number, self.snapshot()) for number in range(servers)]
        for proxy in proxies:
            self.join(proxy)

    @property
    def now(self) -> int:
        """The present time in microseconds."""
        return self.events.now

    @now.setter
    def now(self, at: int) -> None:
        """The present time in microseconds."""
        self.events.now = at

    def call_later(self, after: int, call: Callable[[], None]) -> None:
        """Schedule a call after so many microseconds."""
        self.events.call_later(after, call)

    # --- servers and proxies ---

    def start_server(self, number: int, restored: ListSnapshot, starts: int = 0) -> SimulatedServer:
        """Start a control-plane server with a restored endpoint list."""
        return SimulatedServer(number, self.settings, self, self.make_channel, restored, starts)

    def make_channel(self, server: SimulatedServer) -> Channel:
        """Create a server's control channel."""
        return FixedChannel(self.events, server)

    def living_servers(self) -> list[SimulatedServer]:
        """Return the servers whose process runs."""
        return [server for server in self.servers if server.alive]

    def join(self, proxy: SimulatedProxy) -> None:
        """Connect a proxy to a random living server."""
        proxy.server = self.random_source.choice(self.living_servers())
        proxy.server.receive(ProxyJoined(proxy.number, proxy.zone, proxy.request_rate, not proxy.table))

    def kill_server(self, server: SimulatedServer) -> None:
        """Kill a server: all of its proxies connect to others at once."""
        server.alive = False
        for proxy in [proxy for proxy in self.proxies if proxy.server is server]:
            self.join(proxy)

    # --- endpoint list ---

    def snapshot(self) -> ListSnapshot:
        """Return the present endpoint list."""
        return ListSnapshot(
            self.revision,
            tuple(
                ListEntry(s.name, s.zone, s.state, s.listed_weight, s.started)
                for s in self.endpoints.values()
                if s.state != "gone"
            ),
        )

    def change(
        self,
        *names: str,
        state: str | None = None,
        start: bool = False,
        notice: tuple[int, int] = NOTICE_AT_ONCE,
    ) -> None:
        """Change endpoints and the list; each watch is notified after a random time of `notice`."""
        for name in names:
            endpoint = self.endpoints[name]
            endpoint.state = state or endpoint.state
            endpoint.started = self.now if start else endpoint.started
        self.announce(notice)

    def announce(self, notice: tuple[int, int]) -> None:
        """Publish a new revision of the list; each watch is notified after a random time of `notice`."""
        self.revision += 1
        for server in self.living_servers():
            self.call_later(self.random_source.randint(*notice), partial(self._notify, server))

    def replace(self, *names: str) -> None:
        """Drain endpoints, and start others under new names in their place."""
        for name in names:
            new = self.endpoints[name].successor(self.now)
            self.endpoints[new.name] = new
        self.change(*names, state="draining")

    def _notify(self, server: SimulatedServer) -> None:
        if server.alive and server.watching and server.revision < self.revision:
            server.receive(server.take(ListKind.REPLACE))

    # --- time ---

    def run(self, seconds: float) -> "FleetSimulation":
        """Advance the clock by so many seconds."""
        for _ in range(round(seconds * SECOND / TICK)):
            self.events.advance(self.now + TICK)
            self.registry.run_due(self.now)
            self.step()
            for server in self.living_servers():
                if server.is_due():
                    server.run_cycle()
        return self

    def step(self) -> None:
        """What a kind of simulation does at each tick, before the servers' control cycles."""

    # --- what checks over the fleet read ---

    def proxies_without_table(self) -> list[int]:
        """Return the numbers of the proxies without a usable table."""
        return [proxy.number for proxy in self.proxies if not proxy.shares()]

    def proxies_using(self, name: str) -> list[int]:
        """Return the numbers of the proxies that may send to an endpoint."""
        return [proxy.number for proxy in self.proxies if name in proxy.shares()]
