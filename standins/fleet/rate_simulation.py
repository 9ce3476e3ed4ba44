"""A simulated fleet in which loads follow the tables at once, and latencies follow from the loads."""

from collections import defaultdict

from ravenshelf.policy.events import DemandReport, LoadReport
from ravenshelf.settings import Settings, decode_settings
from standins.fleet.clock import SECOND
from standins.fleet.endpoints import COLD_CAPACITY_SHARE, WARM_UP_TIME, SimulatedEndpoint
from standins.fleet.proxies import SimulatedProxy
from standins.fleet.simulation import FleetSimulation

# The time from the end of a report's window until the servers receive the report, in microseconds.
REPORT_DELAY = 3 * SECOND // 2
RATE_INTERVAL = SECOND // 4  # the interval at which loads follow the tables, in microseconds


def rate_settings(servers: int, zones: int, proxies: int, changes: dict) -> Settings:
    """Return the settings of the servers, with the top-level keys in `changes` replaced."""
    return decode_settings(
        {
            "azs": [f"z{n}" for n in range(zones)],
            "balancers": servers,
            "discovery": "on_request",
            "weights": "rough",
            "classes": [
                {
                    "name": "read",
                    "importance": 1,
                    "objective-ms": 800,
                    "deadline-ms": 3000,
                    "idempotency": "pure",
                }
            ],
            "family-info": {
                "lines-per-s": 1500,
                "most-waiting": 3000,
                "envelope": 3,
                "proxy-count": proxies,
                "by-zone": False,
                "level-kind": "per_second",
                "late-most-ms": 800,
                "messages-most": 30,
                "counted-over-ms": 10_000.0,
            },
            "telemetry": {"how": "answers", "columns": ["active"]},
            "rules": {
                "cold-share": COLD_CAPACITY_SHARE,
                "fall-multiple": 4,
                "warm-after-ms": WARM_UP_TIME / 1000,
            },
        }
        | changes
    )


class RateSimulation(FleetSimulation):
    """A fleet of proxies with constant request rates.

    Attributes:
        zone_rates: At each step the time, and the requests a second by the zones of proxy and endpoint.
        cold_load_ratios: By endpoint, for each step in its slow start, the time and the load relative to the
            present capacity.
    """

    def __init__(
        self,
        servers: int = 5,
        zones: int = 3,
        endpoints_per_zone: int = 6,
        proxies_per_zone: int = 10,
        request_rate: float = 10.0,
        load: float = 0.5,
        seed: int = 1,
        polls_per_second: float = 4.0,
        **changes,
    ):
        """Create a fleet with endpoints of equal capacity.

        Args:
            servers: The number of control-plane servers.
            zones: The number of zones.
            endpoints_per_zone: The number of endpoints of each zone.
            proxies_per_zone: The number of proxies of each zone.
            request_rate: The requests a second of each proxy.
            load: All requests, relative to the capacity of all endpoints.
            seed: The seed of all random draws.
            polls_per_second: The rate of polls that the registry can answer.
            **changes: Settings to replace, by top-level key.
        """
        capacity = proxies_per_zone * request_rate / endpoints_per_zone / load
        super().__init__(
            rate_settings(servers, zones, zones * proxies_per_zone, changes),
            [
                SimulatedEndpoint(f"s-{zone}-{n}", zone, capacity)
                for zone in range(zones)
                for n in range(endpoints_per_zone)
            ],
            [SimulatedProxy(n, n % zones, request_rate) for n in range(zones * proxies_per_zone)],
            servers,
            seed,
            polls_per_second,
        )
        self.zone_rates: list[tuple[int, dict[tuple[int, int], float]]] = []
        self.cold_load_ratios: dict[str, list[tuple[int, float]]] = defaultdict(list)

    def step(self) -> None:
        """Apply the request rates and report the loads, each if it is due."""
        if self.now % RATE_INTERVAL == 0:
            self._apply_rates()
        if self.now % SECOND == 0:
            self._report()

    def _apply_rates(self) -> None:
        rate_by_zones: dict[tuple[int, int], float] = defaultdict(float)
        for endpoint in self.endpoints.values():
            endpoint.load = 0.0
            endpoint.load_by_zone = {}
        for proxy in self.proxies:
            for name, share in proxy.shares().items():
                endpoint = self.endpoints[name]
                endpoint.load += proxy.request_rate * share
                endpoint.load_by_zone[proxy.zone] = (
                    endpoint.load_by_zone.get(proxy.zone, 0.0) + proxy.request_rate * share
                )
                rate_by_zones[proxy.zone, endpoint.zone] += proxy.request_rate * share
        self.zone_rates.append((self.now, rate_by_zones))
        for endpoint in self.endpoints.values():
            if endpoint.is_warming_up(self.now):
                self.cold_load_ratios[endpoint.name].append(
                    (self.now, endpoint.load / endpoint.present_capacity(self.now))
                )

    def _report(self) -> None:
        """Report to each server the load of each endpoint by zone, and the demand at its own proxies."""
        reports = [
            (zone, endpoint, rate, *endpoint.failure_share_and_latency(self.now))
            for endpoint in self.endpoints.values()
            for zone, rate in endpoint.load_by_zone.items()
        ]
        self.call_later(REPORT_DELAY, lambda: self._reports_arrived(reports))

    def _reports_arrived(self, reports: list) -> None:
        for server in self.running_servers():
            for zone, endpoint, rate, failure_share, latency in reports:
                index = server.endpoint_registry.index_by_name.get(endpoint.name)
                if index is not None and (attempts := round(rate)):
                    server.receive(
                        LoadReport(
                            zone,
                            index,
                            attempts,
                            round(attempts * failure_share),
                            latency,
                            SECOND,
                            (endpoint.load / 10,),
                        )
                    )
        for proxy in self.proxies:
            if proxy.server.is_alive:
                proxy.server.receive(DemandReport(proxy.number, 0, round(proxy.request_rate), 0, SECOND))

    # Measurements

    def overloaded_endpoints(self, capacity_multiple: float, duration: int) -> list[str]:
        """Return the endpoints that were overloaded in slow start.

        Args:
            capacity_multiple: The load, relative to the present capacity, above which it is an overload.
            duration: The microseconds for which an overload has to last without a break.
        """
        overloaded = []
        for name, load_ratios in self.cold_load_ratios.items():
            overloaded_since = None
            for time, load_ratio in load_ratios:
                overloaded_since = (overloaded_since or time) if load_ratio > capacity_multiple else None
                if overloaded_since is not None and time - overloaded_since >= duration:
                    overloaded.append(name)
                    break
        return overloaded

    def count_reversals(self, from_zone: int, to_zone: int, min_change: float) -> int:
        """Return how often the rate from one zone to another changed direction, by at least `min_change`."""
        reversals = 0
        low = 0.0
        high = 0.0
        is_rising = True
        for _, rate_by_zones in self.zone_rates:
            rate = rate_by_zones.get((from_zone, to_zone), 0.0)
            low = min(low, rate)
            high = max(high, rate)
            if (is_rising and rate < high - min_change) or (not is_rising and rate > low + min_change):
                reversals = reversals + 1
                is_rising = not is_rising
                low = rate
                high = rate
        return reversals
