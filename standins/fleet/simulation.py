"""What every small fleet has: a clock, pilots, proxies, discovery, and the faults a script may set off."""

import random
from collections.abc import Callable

from ravenshelf.policy.events import ListKind, ProxyJoined
from ravenshelf.settings import Settings
from standins.fleet.channels import Channel, FixedChannel
from standins.fleet.clock import SECOND, TICK, EventQueue
from standins.fleet.discovery import Discovery
from standins.fleet.pilots import Pilot
from standins.fleet.proxies import Proxy
from standins.fleet.servers import Server
from standins.fleet.snapshots import ListEntry, ListSnapshot

NOTICE_AT_ONCE = (0, 0)


class Simulation:
    def __init__(
        self,
        settings: Settings,
        servers: list[Server],
        proxies: list[Proxy],
        pilots: int,
        seed: int,
        calls_a_second: float,
    ):
        self.chance, self.rev, self.events = random.Random(seed), 0, EventQueue()
        self.settings, self.servers, self.proxies = settings, {s.name: s for s in servers}, proxies
        self.lines: dict[int, int] = {}  # by pilot: lines it has written
        self.discovery = Discovery(self, calls_a_second)
        self.pilots = [self.start_pilot(number, self.snapshot()) for number in range(pilots)]
        for proxy in proxies:
            self.join(proxy)

    @property
    def now(self) -> int:
        return self.events.now

    @now.setter
    def now(self, at: int) -> None:
        self.events.now = at

    def later(self, after: int, call: Callable[[], None]) -> None:
        self.events.later(after, call)

    # --- pilots and proxies ---

    def start_pilot(self, number: int, restored: ListSnapshot, starts: int = 0) -> Pilot:
        return Pilot(number, self.settings, self, self.make_channel, restored, starts)

    def make_channel(self, pilot: Pilot) -> Channel:
        return FixedChannel(self.events, pilot)

    def living(self) -> list[Pilot]:
        return [pilot for pilot in self.pilots if pilot.alive]

    def join(self, proxy: Proxy) -> None:
        proxy.pilot = self.chance.choice(self.living())
        proxy.pilot.hear(ProxyJoined(proxy.number, proxy.zone, proxy.flows, not proxy.table))

    def lose(self, pilot: Pilot) -> None:
        """Killed: all of its proxies come to the others at once."""
        pilot.alive = False
        for proxy in [proxy for proxy in self.proxies if proxy.pilot is pilot]:
            self.join(proxy)

    # --- the list ---

    def snapshot(self) -> ListSnapshot:
        """The list as it stands."""
        return ListSnapshot(
            self.rev,
            tuple(
                ListEntry(s.name, s.zone, s.state, s.listed_weight, s.started)
                for s in self.servers.values()
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
        """Servers change, the list with them; each watch is told after a while of its own."""
        for name in names:
            server = self.servers[name]
            server.state = state or server.state
            server.started = self.now if start else server.started
        self.announce(notice)

    def announce(self, notice: tuple[int, int]) -> None:
        self.rev += 1
        for pilot in self.living():
            self.later(self.chance.randint(*notice), lambda pilot=pilot: self._tell(pilot))

    def replace(self, *names: str) -> None:
        """Others under new names come in their place, cold."""
        for name in names:
            new = self.servers[name].successor(self.now)
            self.servers[new.name] = new
        self.change(*names, state="draining")

    def _tell(self, pilot: Pilot) -> None:
        if pilot.alive and pilot.watching and pilot.rev < self.rev:
            pilot.hear(pilot.take(ListKind.REPLACE))

    # --- time passes ---

    def run(self, seconds: float) -> "Simulation":
        for _ in range(round(seconds * SECOND / TICK)):
            self.events.advance(self.now + TICK)
            self.discovery.turn(self.now)
            self.step()
            for pilot in self.living():
                if pilot.due():
                    pilot.round()
        return self

    def step(self) -> None:
        """What a kind of world does at each tick, before the pilots' rounds."""

    # --- what checks over the fleet read ---

    def bare(self) -> list[int]:
        return [proxy.number for proxy in self.proxies if not proxy.shares()]

    def holding(self, name: str) -> list[int]:
        """Proxies that may still send to it."""
        return [proxy.number for proxy in self.proxies if name in proxy.shares()]
