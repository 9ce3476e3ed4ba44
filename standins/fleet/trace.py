"""A trace of the attempts that an endpoint in slow start receives from all servers' proxies.

The trace has a row every quarter of a second.
"""

from collections import Counter
from dataclasses import dataclass

from standins.fleet.clock import SECOND
from standins.fleet.proxies import UNLIMITED, RequestProxy
from standins.fleet.request_simulation import RequestSimulation

PERIOD = SECOND // 4  # the time between two rows, in microseconds
MAX_TABLE_SHARES = 4  # the number of table shares in a row


@dataclass(frozen=True)
class Row:
    """A quarter of a second in the slow start of an endpoint.

    Attributes:
        age: The seconds since the start of the endpoint.
        capacity_share: The share of its capacity that it has reached.
        estimated_shares: The share that each server that lists it assumes, in ascending order.
        table_shares: The most common shares of picks that proxies' tables give it, rounded, each with the
            number of proxies.
        proxies_using: The number of proxies that may pick it.
        foreign_tables: The number of proxies in `proxies_using` that are connected and have a table from
            another server.
        disconnected_proxies: The number of proxies in `proxies_using` that are not connected.
        avoiding_proxies: The number of proxies in `proxies_using` that avoid another endpoint of their table.
        mean_usable_lines: The mean number of lines in the tables of these proxies whose endpoint is neither
            ejected nor avoided.
        unlimited_proxies: The number of proxies in `proxies_using` without an admission level.
        median_level: The median admission level, for the first traffic group, of the proxies in
            `proxies_using` that have one; 1 if none has.
        expected_rate: The requests a second that the tables of these proxies send to it, before admission.
        first_attempt_rate: The first attempts a second that it received.
        retry_rate: The retries a second that it received.
        attempt_capacity: The attempts of mean work a second that it can serve.
    """

    age: float
    capacity_share: float
    estimated_shares: tuple[float, ...]
    table_shares: tuple[tuple[float, int], ...]
    proxies_using: int
    foreign_tables: int
    disconnected_proxies: int
    avoiding_proxies: int
    mean_usable_lines: float
    unlimited_proxies: int
    median_level: float
    expected_rate: float
    first_attempt_rate: float
    retry_rate: float
    attempt_capacity: float

    def __str__(self) -> str:
        shares = " ".join(f"{share:.2f}x{count}" for share, count in self.table_shares)
        estimates = (
            f"{self.estimated_shares[0]:.2f}-{self.estimated_shares[-1]:.2f}"
            if self.estimated_shares
            else "none"
        )
        load_ratio = (self.first_attempt_rate + self.retry_rate) / self.attempt_capacity
        return (
            f"{self.age:5.2f} capacity share {self.capacity_share:.2f} estimated {estimates} | "
            f"used by {self.proxies_using} proxies ({self.foreign_tables} with another server's table, "
            f"{self.disconnected_proxies} disconnected, {self.avoiding_proxies} avoiding others, "
            f"{self.mean_usable_lines:.1f} usable lines) table shares {shares} | "
            f"admission level {self.median_level:.2f}, {self.unlimited_proxies} without | "
            f"expected {self.expected_rate:.1f}/s, "
            f"sent {self.first_attempt_rate:.1f} + {self.retry_rate:.1f}/s, "
            f"capacity {self.attempt_capacity:.1f}/s, {load_ratio:.1f} times"
        )


class Trace:
    """Records rows of an endpoint while it is in slow start."""

    def __init__(self, simulation: RequestSimulation, name: str, mean_work: float):
        self.simulation = simulation
        self.name = name
        self.mean_work = mean_work
        self.rows: list[Row] = []
        self._previous_attempts = (0, 0)
        simulation.call_later(PERIOD, self._end_period)

    def _end_period(self) -> None:
        self.simulation.call_later(PERIOD, self._end_period)
        attempt_counts = self.simulation.attempts[self.name, False], self.simulation.attempts[self.name, True]
        rates = [
            (count - previous) * SECOND / PERIOD
            for count, previous in zip(attempt_counts, self._previous_attempts, strict=True)
        ]
        self._previous_attempts = attempt_counts
        endpoint = self.simulation.endpoints[self.name]
        if endpoint.is_warming_up(self.simulation.now):
            self.rows.append(self._create_row(*rates))

    def _create_row(self, first_attempt_rate: float, retry_rate: float) -> Row:
        simulation = self.simulation
        now = self.simulation.now
        endpoint = simulation.endpoints[self.name]
        lines_by_proxy = {
            proxy: proxy.usable_lines(now)
            for proxy in simulation.proxies
            if proxy.number not in simulation.traffic.stopped_proxies
        }
        proxies_using = {proxy: lines for proxy, lines in lines_by_proxy.items() if self.name in lines}
        shares = {proxy: lines[self.name] / sum(lines.values()) for proxy, lines in proxies_using.items()}
        group = simulation.parameters.traffic_groups[0].name
        levels = sorted(proxy.level(group) for proxy in proxies_using)
        finite_levels = [level for level in levels if level != UNLIMITED]
        common_shares = Counter(round(share, 2) for share in shares.values()).most_common(MAX_TABLE_SHARES)
        return Row(
            (now - endpoint.started_at) / SECOND,
            endpoint.capacity_share(now),
            self._estimated_shares(),
            tuple(common_shares),
            len(proxies_using),
            sum(
                proxy.server is not None and proxy.table_source is not proxy.server for proxy in proxies_using
            ),
            sum(proxy.server is None for proxy in proxies_using),
            sum(self._avoids_endpoint(proxy) for proxy in proxies_using),
            sum(map(len, proxies_using.values())) / max(1, len(proxies_using)),
            len(levels) - len(finite_levels),
            finite_levels[len(finite_levels) // 2] if finite_levels else 1.0,
            sum(share * proxy.request_rate for proxy, share in shares.items()),
            first_attempt_rate,
            retry_rate,
            endpoint.present_capacity(now) / self.mean_work,
        )

    @staticmethod
    def _avoids_endpoint(proxy: RequestProxy) -> bool:
        return any(name in proxy.table and name not in proxy.ejected for name in proxy.avoided_until)

    def _estimated_shares(self) -> tuple[float, ...]:
        shares = []
        for server in self.simulation.running_servers():
            controller = server.cycle.controller
            endpoint = controller.endpoints.get(server.endpoint_registry.index_by_name.get(self.name, -1))
            if endpoint is not None and controller.directory.is_usable(endpoint):
                shares.append(controller.slow_start.capacity_share(endpoint, controller.now))
        return tuple(sorted(shares))
