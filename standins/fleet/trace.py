"""What a cold endpoint meets, by a row every quarter second over all pilots and proxies."""

from collections import Counter
from dataclasses import dataclass

from standins.fleet.clock import SECOND
from standins.fleet.proxies import UNLIMITED, RequestProxy
from standins.fleet.request_world import RequestWorld

PERIOD = SECOND // 4
COMMONEST = 4  # table shares listed in a row


@dataclass(frozen=True)
class Row:
    """One quarter second of one endpoint."""

    age: float  # seconds since its start
    ramp: float  # share of its capacity that it has reached
    believed: tuple[float, ...]  # its ramp at each pilot that lists it, sorted
    table_shares: tuple[
        tuple[float, int], ...
    ]  # its share of the picks, and of how many proxies, commonest first
    holding: int  # proxies that may pick it
    foreign: int  # of these: joined, and their table comes from another pilot
    unjoined: int  # of these: without a stream
    shunning: int  # of these: shun another of their lines
    lines_left: float  # mean lines of theirs that are not withdrawn or shunned
    unlimited: int  # of these: let everything in
    level: float  # median of the others' levels for the first group
    expected: float  # requests a second that their tables send it, before levels
    first: float  # tries sent a second
    repeated: float
    can_do: float  # tries of mean work a second

    def __str__(self) -> str:
        shares = " ".join(f"{share:.2f}x{count}" for share, count in self.table_shares)
        believed = f"{self.believed[0]:.2f}-{self.believed[-1]:.2f}" if self.believed else "none"
        times = (self.first + self.repeated) / self.can_do
        return (
            f"{self.age:5.2f} ramp {self.ramp:.2f} believed {believed} | "
            f"held by {self.holding} ({self.foreign} foreign, {self.unjoined} unjoined, {self.shunning} shunning, "
            f"{self.lines_left:.1f} lines left) shares {shares} | level {self.level:.2f}, {self.unlimited} without | "
            f"expected {self.expected:.1f}/s, sent {self.first:.1f} + {self.repeated:.1f}/s, "
            f"can do {self.can_do:.1f}/s, {times:.1f} times"
        )


class Trace:
    """Records rows of one endpoint while it is cold."""

    def __init__(self, world: RequestWorld, name: str, mean_work: float):
        self.world, self.name, self.mean_work = world, name, mean_work
        self.rows: list[Row] = []
        self._counted = (0, 0)
        world.later(PERIOD, self._tick)

    def _tick(self) -> None:
        self.world.later(PERIOD, self._tick)
        counted = self.world.tries[self.name, False], self.world.tries[self.name, True]
        sent = [(now - before) * SECOND / PERIOD for now, before in zip(counted, self._counted)]
        self._counted = counted
        server = self.world.servers[self.name]
        if server.is_cold(self.world.now):
            self.rows.append(self._row(*sent))

    def _row(self, first: float, repeated: float) -> Row:
        world, now = self.world, self.world.now
        server = world.servers[self.name]
        lines = {
            proxy: proxy.usable(now) for proxy in world.proxies if proxy.number not in world.traffic.down
        }
        holding = {proxy: usable for proxy, usable in lines.items() if self.name in usable}
        shares = {proxy: usable[self.name] / sum(usable.values()) for proxy, usable in holding.items()}
        group = world.parameters.classes[0].name
        levels = sorted(proxy.level(group) for proxy in holding)
        limited = [level for level in levels if level != UNLIMITED]
        commonest = Counter(round(share, 2) for share in shares.values()).most_common(COMMONEST)
        return Row(
            (now - server.started) / SECOND,
            server.warmth(now),
            self._believed(),
            tuple(commonest),
            len(holding),
            sum(proxy.pilot is not None and proxy.table_from is not proxy.pilot for proxy in holding),
            sum(proxy.pilot is None for proxy in holding),
            sum(self._shuns(proxy) for proxy in holding),
            sum(map(len, holding.values())) / max(1, len(holding)),
            len(levels) - len(limited),
            limited[len(limited) // 2] if limited else 1.0,
            sum(share * proxy.flows for proxy, share in shares.items()),
            first,
            repeated,
            server.strength(now) / self.mean_work,
        )

    @staticmethod
    def _shuns(proxy: RequestProxy) -> bool:
        return any(name in proxy.table and name not in proxy.out for name in proxy.shunned)

    def _believed(self) -> tuple[float, ...]:
        found = []
        for pilot in self.world.living():
            controller = pilot.rounds.controller
            endpoint = controller.endpoints.get(pilot.listing.index_by_name.get(self.name, -1))
            if endpoint is not None and controller.directory.is_open(endpoint):
                found.append(controller.slow_start.capacity_share(endpoint, controller.now))
        return tuple(sorted(found))
