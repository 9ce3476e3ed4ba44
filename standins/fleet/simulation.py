"""The base of the simulated fleets: a clock, servers, proxies, a registry, and faults."""

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

IMMEDIATE_NOTICE = (0, 0)


class FleetSimulation:
    """A simulated fleet, whose subclasses add the load of the endpoints.

    Attributes:
        list_revision: The present revision of the endpoint list.
        written_lines: The number of lines that each server has written, by the number of the server.
    """

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
        self.list_revision = 0
        self.events = EventQueue()
        self.settings = settings
        self.endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self.proxies = proxies
        self.written_lines: dict[int, int] = {}
        self.registry = SimulatedRegistry(self, polls_per_second)
        self.servers = [self.start_server(number, self.snapshot()) for number in range(servers)]
        for proxy in proxies:
            self.connect_proxy(proxy)

    @property
    def now(self) -> int:
        """The present time in microseconds."""
        return self.events.now

    @now.setter
    def now(self, time: int) -> None:
        """Set the present time in microseconds."""
        self.events.now = time

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay in microseconds."""
        self.events.call_later(delay, callback)

    # Servers and proxies

    def start_server(
        self, number: int, restored_list: ListSnapshot, previous_starts: int = 0
    ) -> SimulatedServer:
        """Start a control-plane server that restores an endpoint list."""
        return SimulatedServer(number, self.settings, self, self.make_channel, restored_list, previous_starts)

    def make_channel(self, server: SimulatedServer) -> Channel:
        """Create the control channel of a server."""
        return FixedChannel(self.events, server)

    def running_servers(self) -> list[SimulatedServer]:
        """Return the servers whose process is running."""
        return [server for server in self.servers if server.is_alive]

    def connect_proxy(self, proxy: SimulatedProxy) -> None:
        """Connect a proxy to a random running server."""
        proxy.server = self.random_source.choice(self.running_servers())
        proxy.server.receive(ProxyJoined(proxy.number, proxy.zone, proxy.request_rate, not proxy.table))

    def kill_server(self, server: SimulatedServer) -> None:
        """Kill a server; all of its proxies connect to others at once."""
        server.is_alive = False
        for proxy in [proxy for proxy in self.proxies if proxy.server is server]:
            self.connect_proxy(proxy)

    # Endpoint list

    def snapshot(self) -> ListSnapshot:
        """Return the present endpoint list."""
        return ListSnapshot(
            self.list_revision,
            tuple(
                ListEntry(
                    endpoint.name,
                    endpoint.zone,
                    endpoint.state,
                    endpoint.listed_weight,
                    endpoint.started_at,
                )
                for endpoint in self.endpoints.values()
                if endpoint.state != "gone"
            ),
        )

    def change_endpoints(
        self,
        *names: str,
        state: str | None = None,
        has_restarted: bool = False,
        notice_delay: tuple[int, int] = IMMEDIATE_NOTICE,
    ) -> None:
        """Change endpoints and publish the new list.

        Args:
            names: The names of the endpoints.
            state: The new state; None: unchanged.
            has_restarted: Whether the endpoints start now.
            notice_delay: The range of the time until a watching server is notified, in microseconds.
        """
        for name in names:
            endpoint = self.endpoints[name]
            endpoint.state = state or endpoint.state
            endpoint.started_at = self.now if has_restarted else endpoint.started_at
        self.publish_list(notice_delay)

    def publish_list(self, notice_delay: tuple[int, int]) -> None:
        """Publish a new revision of the list, and notify each server after a random delay in this range."""
        self.list_revision += 1
        for server in self.running_servers():
            self.call_later(self.random_source.randint(*notice_delay), partial(self._notify, server))

    def replace_endpoints(self, *names: str) -> None:
        """Drain endpoints, and start replacements under different names."""
        for name in names:
            replacement = self.endpoints[name].create_replacement(self.now)
            self.endpoints[replacement.name] = replacement
        self.change_endpoints(*names, state="draining")

    def _notify(self, server: SimulatedServer) -> None:
        if server.is_alive and server.is_watching and server.list_revision < self.list_revision:
            server.receive(server.read_list(ListKind.REPLACE))

    # Time

    def run(self, seconds: float) -> "FleetSimulation":
        """Advance the simulation by so many seconds."""
        for _ in range(round(seconds * SECOND / TICK)):
            self.events.advance(self.now + TICK)
            self.registry.run_due(self.now)
            self.step()
            for server in self.running_servers():
                if server.is_due():
                    server.run_cycle()
        return self

    def step(self) -> None:
        """Do the work of a subclass at each tick, before the control cycles of the servers."""

    # Measurements

    def proxies_without_table(self) -> list[int]:
        """Return the numbers of the proxies without a usable table."""
        return [proxy.number for proxy in self.proxies if not proxy.shares()]

    def proxies_using(self, name: str) -> list[int]:
        """Return the numbers of the proxies that may send requests to an endpoint."""
        return [proxy.number for proxy in self.proxies if name in proxy.shares()]
