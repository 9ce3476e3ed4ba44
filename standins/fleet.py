"""Several instances of the module side by side in one small world, on a clock set by hand.

They are driven through the pilot's own rounds, so what proxies hold comes from messages as written. The world knows
as much as the checks over the fleet need: one discovery that works through calls in turn and may be down, late sums,
endpoints that are cold after a start, pilots and zones that are lost. Loads follow the tables at once; how late an
answer is follows the load by one plain curve. It is no simulator: nothing here says how well a day would go.
"""
import heapq
import itertools
import random
from collections import defaultdict, deque
from typing import Callable

from ravenshelf.memory.counters import Counters
from ravenshelf.memory.listing import Listing
from ravenshelf.memory.sent import Sent
from ravenshelf.process.rounds import Rounds
from ravenshelf.provisioning import provisioning
from standins.world import obeyed

SECOND = 1_000_000
TICK = SECOND // 20         # of the world's clock
LATE_SUMS = 3 * SECOND // 2     # from the end of what a report covers until pilots hear it
CHANNEL = SECOND // 5       # from an order to its effect, and as long again until the answer is heard
WARM = 10 * SECOND
COLD = 0.2                  # of its capacity, right after a start


class Server:
    def __init__(self, name: str, zone: int, capacity: float):
        self.name, self.zone, self.capacity = name, zone, capacity
        self.state, self.started, self.failing = "ready", 0, 0.0
        self.load = 0.0                     # flows a second that all tables send it
        self.met: dict[int, float] = {}     # of that, by the zone of the proxies

    def strength(self, now: int) -> float:
        """Flows a second that it can do now."""
        if self.state == "gone":
            return 0.0
        warm = min(1.0, (now - self.started) / WARM) if self.started else 1.0
        return self.capacity * (COLD + (1 - COLD) * warm)

    def answers(self, now: int) -> tuple[float, int]:
        """Share of its tries that fail, and how long the others take."""
        part = self.load / (self.strength(now) or 1e-9)
        return max(self.failing, 1 - 1 / part if part > 1 else 0.0), round(100_000 * (1 + 2 * min(part, 2.0) ** 4))


class Proxy:
    def __init__(self, number: int, zone: int, flows: float):
        self.number, self.zone, self.flows, self.pilot = number, zone, flows, None
        self.table: dict[str, float] = {}
        self.out: set[str] = set()

    def shares(self) -> dict[str, float]:
        held = {name: w for name, w in self.table.items() if name not in self.out}
        total = sum(held.values())
        return {name: w / total for name, w in held.items()} if total else {}


class Pilot:
    """The module behind the pilot's own rounds."""

    def __init__(self, number: int, settings: dict, world: "World"):
        self.number, self.world, self.alive, self.watching = number, world, True, False
        self.rev = 0                # of the list that it was told
        self.called = False         # whether a call waits for its answer
        self.counters, self.sent = Counters(), Sent(len(settings["traffic_groups"]), False)
        self.listing = Listing(lambda: world.now, self.sent.holds)
        self.rounds = Rounds(settings, 100 + number, self.listing, self.sent, self.counters)
        self.wakes: list[int] = []
        self.take("replace")
        self.rounds.begin()
        self.round()

    def take(self, how: str) -> tuple:
        world, self.rev = self.world, self.world.rev
        entries = [(self.listing.endpoint(s.name), s.zone, 0, 0, s.state, s.capacity, s.started)
                   for s in world.servers.values() if s.state != "gone"]
        return self.listing.take(how, self.rev + 1, entries, {})

    def hear(self, name: str, *values) -> None:
        self.rounds.hear(name, values)

    def due(self) -> bool:
        return bool(self.rounds.news) or any(at <= self.world.now for at in self.wakes)

    def round(self) -> None:
        self.wakes = [at for at in self.wakes if at > self.world.now]
        for name, *values in self.rounds.run(self.world.now, self.write) or ():
            if name == "wake":
                self.wakes.append(values[0])
            elif name == "observe":
                self.watching = False
                self.world.discovery.call(self)

    def write(self, proxy: int, message: bytes, ticket: int | None) -> None:
        world = self.world
        world.lines[self.number] = world.lines.get(self.number, 0) + message.count(b":") + 3
        world.later(CHANNEL, lambda: self._applied(world.proxies[proxy], message.decode(), ticket, world.now))

    def _applied(self, proxy: Proxy, message: str, ticket: int | None, at: int) -> None:
        if proxy.pilot is not self:
            return
        for line in message.splitlines():
            said = dict(word.partition("=")[::2] for word in line.split()[1:])
            proxy.table = obeyed(said, proxy.table, proxy.out)
        if ticket is not None:
            self.world.later(CHANNEL, lambda: self.hear("applied", proxy.number, ticket, CHANNEL))


class Discovery:
    """Works through calls in turn; one that waited too long has failed, and while it is down all fail at once."""

    def __init__(self, world: "World", a_second: float, patience: int = 2 * SECOND):
        self.world, self.each, self.patience = world, round(SECOND / a_second), patience
        self.queue: deque[tuple[int, Pilot]] = deque()
        self.free, self.down = 0, False
        self.calls: list[tuple[int, int, str]] = []     # when, by whom, and what came of it

    def call(self, pilot: Pilot) -> None:
        if not pilot.called:
            pilot.called = True
            self.queue.append((self.world.now, pilot))

    def fall(self) -> None:
        """Goes down: watches end with it."""
        self.down = True
        for pilot in self.world.living():
            if pilot.watching:
                pilot.watching = False
                pilot.hear("list_failed")

    def turn(self, now: int) -> None:
        while self.queue and (self.down or self.free <= now):
            at, pilot = self.queue.popleft()
            failed = self.down or now - at > self.patience
            self.calls.append((at, pilot.number, "failed" if failed else "answered"))
            pilot.called = False
            if not self.down:       # a call that has waited too long costs its turn as well
                self.free = now + self.each
            if failed:
                pilot.hear("list_failed")
            else:
                pilot.watching = True
                pilot.hear("listed", *pilot.take("replace"))

    def most(self, span: int = SECOND // 4) -> int:
        """Most calls that came within a span."""
        times = sorted(at for at, _, _ in self.calls)
        return max((sum(at <= t < at + span for t in times) for at in times), default=0)


class World:
    def __init__(self, pilots: int = 5, zones: int = 3, servers: int = 6, proxies: int = 10, flows: float = 10.0,
                 load: float = 0.5, seed: int = 1, calls_a_second: float = 4.0, **changes):
        """`servers` and `proxies` are those of a zone; `load` is the share of all capacity that flows ask for."""
        self.chance, self.now, self.rev, self.turns = random.Random(seed), 1000 * SECOND, 0, itertools.count()
        self.events: list[tuple[int, int, Callable]] = []
        self.lines: dict[int, int] = {}
        capacity = proxies * flows / servers / load
        self.servers = {f"s-{z}-{n}": Server(f"s-{z}-{n}", z, capacity) for z in range(zones) for n in range(servers)}
        self.proxies = [Proxy(n, n % zones, flows) for n in range(zones * proxies)]
        settings = provisioning({
            "azs": [f"z{n}" for n in range(zones)], "balancers": pilots, "discovery": "on_request", "weights": "rough",
            "classes": [{"name": "read", "importance": 1, "objective-ms": 800, "deadline-ms": 3000, "idempotency": "pure"}],
            "family-info": {"lines-per-s": 1500, "most-waiting": 3000, "envelope": 3, "proxy-count": len(self.proxies),
                            "by-zone": False, "level-kind": "per_second", "late-most-ms": 800, "messages-most": 30,
                            "counted-over-ms": 10_000.0},
            "telemetry": {"how": "answers", "columns": ["active"]},
            "rules": {"cold-share": COLD, "fall-multiple": 4, "warm-after-ms": WARM / 1000}} | changes)
        self.discovery = Discovery(self, calls_a_second)
        self.pilots = [Pilot(n, settings, self) for n in range(pilots)]
        for proxy in self.proxies:
            self.join(proxy)
        self.spilled: list[tuple[int, dict[tuple[int, int], float]]] = []   # flows a second between zones, by time
        self.pressed: dict[str, list[tuple[int, float]]] = defaultdict(list)    # load over strength of what is cold

    # --- what a script does ---

    def later(self, after: int, what: Callable) -> None:
        heapq.heappush(self.events, (self.now + after, next(self.turns), what))

    def living(self) -> list[Pilot]:
        return [p for p in self.pilots if p.alive]

    def join(self, proxy: Proxy) -> None:
        proxy.pilot = self.chance.choice(self.living())
        proxy.pilot.hear("joined", proxy.number, proxy.zone, proxy.flows, not proxy.table)

    def lose(self, pilot: Pilot) -> None:
        """Killed: all of its proxies come to the others at once."""
        pilot.alive = False
        for proxy in [p for p in self.proxies if p.pilot is pilot]:
            self.join(proxy)

    def change(self, *names: str, state: str | None = None, start: bool = False, notice: tuple[int, int] = (0, 0)) -> None:
        """Servers change, the list with them; each watch is told after a while of its own."""
        for name in names:
            server = self.servers[name]
            server.state = state or server.state
            server.started = self.now if start else server.started
        self.rev += 1
        for pilot in self.living():
            self.later(self.chance.randint(*notice), lambda pilot=pilot: self._tell(pilot))

    def replace(self, *names: str) -> None:
        """Others under new names come in their place, cold."""
        for name in names:
            old = self.servers[name]
            self.servers[f"{name}'"] = new = Server(f"{name}'", old.zone, old.capacity)
            new.started = self.now
        self.change(*names, state="draining")

    def _tell(self, pilot: Pilot) -> None:
        if pilot.alive and pilot.watching and pilot.rev < self.rev:
            pilot.hear("listed", *pilot.take("replace"))

    # --- time passes ---

    def run(self, seconds: float) -> "World":
        for _ in range(round(seconds * SECOND / TICK)):
            self.now += TICK
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            self.discovery.turn(self.now)
            if self.now % (SECOND // 4) == 0:
                self._flow()
            if self.now % SECOND == 0:
                self._report()
            for pilot in self.living():
                if pilot.due():
                    pilot.round()
        return self

    def _flow(self) -> None:
        between: dict[tuple[int, int], float] = defaultdict(float)
        for server in self.servers.values():
            server.load, server.met = 0.0, {}
        for proxy in self.proxies:
            for name, share in proxy.shares().items():
                server = self.servers[name]
                server.load += proxy.flows * share
                server.met[proxy.zone] = server.met.get(proxy.zone, 0.0) + proxy.flows * share
                between[proxy.zone, server.zone] += proxy.flows * share
        self.spilled.append((self.now, between))
        for s in self.servers.values():
            if s.state == "ready" and s.started and self.now - s.started < WARM:
                self.pressed[s.name].append((self.now, s.load / s.strength(self.now)))

    def _report(self) -> None:
        """Each pilot hears each zone's sums of each server, and what its own proxies were asked."""
        sums = [(zone, s, met, *s.answers(self.now)) for s in self.servers.values() for zone, met in s.met.items()]
        self.later(LATE_SUMS, lambda: self._heard(sums))

    def _heard(self, sums: list) -> None:
        for pilot in self.living():
            for zone, server, met, failed, took in sums:
                index = pilot.listing.index.get(server.name)
                if index is not None and (tries := round(met)):
                    pilot.hear("heard", zone, index, tries, round(tries * failed), took, SECOND, (server.load / 10,))
        for proxy in self.proxies:
            if proxy.pilot.alive:
                proxy.pilot.hear("asked", proxy.number, 0, round(proxy.flows), 0, SECOND)

    # --- what the checks over the fleet read ---

    def bare(self) -> list[int]:
        return [p.number for p in self.proxies if not p.shares()]

    def holding(self, name: str) -> list[int]:
        """Proxies that may still send to it."""
        return [p.number for p in self.proxies if name in p.shares()]

    def pushed_over(self, multiple: float, for_long: int) -> list[str]:
        """Cold servers that were sent more than so many times their strength for so long."""
        over = []
        for name, seen in self.pressed.items():
            since = None
            for at, load in seen:
                since = (since or at) if load > multiple else None
                if since is not None and at - since >= for_long:
                    over.append(name)
                    break
        return over

    def swings(self, i: int, j: int, least: float) -> int:
        """How often the flows from one zone to another turned round by at least so much."""
        turns, low, high, rising = 0, 0.0, 0.0, True
        for _, between in self.spilled:
            v = between.get((i, j), 0.0)
            low, high = min(low, v), max(high, v)
            if (rising and v < high - least) or (not rising and v > low + least):
                turns, rising, low, high = turns + 1, not rising, v, v
        return turns
