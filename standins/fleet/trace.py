"""What an endpoint in slow start receives: a row every quarter second over all servers and proxies."""

from collections import Counter
from dataclasses import dataclass

from standins.fleet.clock import SECOND
from standins.fleet.proxies import UNLIMITED, RequestProxy
from standins.fleet.request_simulation import RequestSimulation

PERIOD = SECOND // 4
COMMONEST = 4  # table shares listed in a row


@dataclass(frozen=True)
class Row:
    """One quarter second of one endpoint."""

    age: float  # seconds since its start
    capacity_share: float  # that it has reached
    believed_shares: tuple[float, ...]  # at each server that lists it, sorted
    table_shares: tuple[tuple[float, int], ...]  # share of the picks and number of proxies, commonest first
    proxies_using: int  # proxies that may pick it
    foreign: int  # of these: joined, and their table comes from another server
    unjoined: int  # of these: without a stream
    avoiding: int  # of these: avoid another of their lines
    lines_left: float  # mean of their lines that are not ejected or avoided
    unlimited: int  # of these: without an admission level
    level: float  # median of the others' levels for the first group
    expected: float  # requests a second that their tables send it, before levels
    first: float  # first attempts a second
    repeated: float  # retries a second
    capacity: float  # attempts of mean work a second

    def __str__(self) -> str:
        shares = " ".join(f"{share:.2f}x{count}" for share, count in self.table_shares)
        believed = (
            f"{self.believed_shares[0]:.2f}-{self.believed_shares[-1]:.2f}"
            if self.believed_shares
            else "none"
        )
        times = (self.first + self.repeated) / self.capacity
        return (
            f"{self.age:5.2f} ramp {self.capacity_share:.2f} believed {believed} | "
            f"held by {self.proxies_using} ({self.foreign} foreign, {self.unjoined} unjoined, "
            f"{self.avoiding} avoiding, "
            f"{self.lines_left:.1f} lines left) shares {shares} | "
            f"level {self.level:.2f}, {self.unlimited} without | "
            f"expected {self.expected:.1f}/s, sent {self.first:.1f} + {self.repeated:.1f}/s, "
            f"can do {self.capacity:.1f}/s, {times:.1f} times"
        )


class Trace:
    """Records rows of one endpoint while it is in slow start."""

    def __init__(self, world: RequestSimulation, name: str, mean_work: float):
        self.world = world
        self.name = name
        self.mean_work = mean_work
        self.rows: list[Row] = []
        self._counted = (0, 0)
        world.call_later(PERIOD, self._tick)

    def _tick(self) -> None:
        self.world.call_later(PERIOD, self._tick)
        counted = self.world.attempts[self.name, False], self.world.attempts[self.name, True]
        sent = [(now - before) * SECOND / PERIOD for now, before in zip(counted, self._counted, strict=True)]
        self._counted = counted
        endpoint = self.world.endpoints[self.name]
        if endpoint.is_warming_up(self.world.now):
            self.rows.append(self._row(*sent))

    def _row(self, first: float, repeated: float) -> Row:
        world = self.world
        now = self.world.now
        endpoint = world.endpoints[self.name]
        lines = {
            proxy: proxy.usable_lines(now)
            for proxy in world.proxies
            if proxy.number not in world.traffic.down
        }
        proxies_using = {proxy: usable for proxy, usable in lines.items() if self.name in usable}
        shares = {proxy: usable[self.name] / sum(usable.values()) for proxy, usable in proxies_using.items()}
        group = world.parameters.traffic_groups[0].name
        levels = sorted(proxy.level(group) for proxy in proxies_using)
        limited = [level for level in levels if level != UNLIMITED]
        commonest = Counter(round(share, 2) for share in shares.values()).most_common(COMMONEST)
        return Row(
            (now - endpoint.started) / SECOND,
            endpoint.capacity_share(now),
            self._believed_shares(),
            tuple(commonest),
            len(proxies_using),
            sum(
                proxy.server is not None and proxy.table_source is not proxy.server for proxy in proxies_using
            ),
            sum(proxy.server is None for proxy in proxies_using),
            sum(self._avoids(proxy) for proxy in proxies_using),
            sum(map(len, proxies_using.values())) / max(1, len(proxies_using)),
            len(levels) - len(limited),
            limited[len(limited) // 2] if limited else 1.0,
            sum(share * proxy.request_rate for proxy, share in shares.items()),
            first,
            repeated,
            endpoint.present_capacity(now) / self.mean_work,
        )

    @staticmethod
    def _avoids(proxy: RequestProxy) -> bool:
        return any(name in proxy.table and name not in proxy.ejected for name in proxy.avoided)

    def _believed_shares(self) -> tuple[float, ...]:
        found = []
        for server in self.world.living_servers():
            controller = server.cycle.controller
            endpoint = controller.endpoints.get(server.endpoint_registry.index_by_name.get(self.name, -1))
            if endpoint is not None and controller.directory.is_usable(endpoint):
                found.append(controller.slow_start.capacity_share(endpoint, controller.now))
        return tuple(sorted(found))
