"""A simulated fleet whose loads follow the tables at once; latency follows from the load."""

from collections import defaultdict

from ravenshelf.policy.events import DemandReport, LoadReport
from ravenshelf.settings import Settings, decode_settings
from standins.fleet.clock import SECOND
from standins.fleet.endpoints import COLD_CAPACITY_SHARE, WARM_UP_TIME, SimulatedEndpoint
from standins.fleet.proxies import SimulatedProxy
from standins.fleet.simulation import FleetSimulation

REPORT_DELAY = 3 * SECOND // 2  # from the end of a report's window until servers receive it
RATE_INTERVAL = SECOND // 4


def rate_settings(servers: int, zones: int, proxies: int, changes: dict) -> Settings:
    """Return the settings of the servers; `changes` replace top-level keys."""
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
    """A fleet of proxies with constant request rates."""

    def __init__(
        self,
        servers: int = 5,
        zones: int = 3,
        endpoints: int = 6,
        proxies: int = 10,
        request_rate: float = 10.0,
        load: float = 0.5,
        seed: int = 1,
        polls_per_second: float = 4.0,
        **changes,
    ):
        """`endpoints` and `proxies`: in each zone; `request_rate`: of each proxy; `load`: requests over all
        capacity."""
        capacity = proxies * request_rate / endpoints / load
        super().__init__(
            rate_settings(servers, zones, zones * proxies, changes),
            [SimulatedEndpoint(f"s-{z}-{n}", z, capacity) for z in range(zones) for n in range(endpoints)],
            [SimulatedProxy(n, n % zones, request_rate) for n in range(zones * proxies)],
            servers,
            seed,
            polls_per_second,
        )
        self.zone_rates: list[
            tuple[int, dict[tuple[int, int], float]]
        ] = []  # requests a second between zones, by time
        self.cold_load_ratios: dict[str, list[tuple[int, float]]] = defaultdict(
            list
        )  # load over present capacity in slow start

    def step(self) -> None:
        """Apply the rates, and report loads, when they are due."""
        if self.now % RATE_INTERVAL == 0:
            self._apply_rates()
        if self.now % SECOND == 0:
            self._report()

    def _apply_rates(self) -> None:
        between: dict[tuple[int, int], float] = defaultdict(float)
        for endpoint in self.endpoints.values():
            endpoint.load = 0.0
            endpoint.rate_by_zone = {}
        for proxy in self.proxies:
            for name, share in proxy.shares().items():
                endpoint = self.endpoints[name]
                endpoint.load += proxy.request_rate * share
                endpoint.rate_by_zone[proxy.zone] = (
                    endpoint.rate_by_zone.get(proxy.zone, 0.0) + proxy.request_rate * share
                )
                between[proxy.zone, endpoint.zone] += proxy.request_rate * share
        self.zone_rates.append((self.now, between))
        for endpoint in self.endpoints.values():
            if endpoint.is_warming_up(self.now):
                self.cold_load_ratios[endpoint.name].append(
                    (self.now, endpoint.load / endpoint.present_capacity(self.now))
                )

    def _report(self) -> None:
        """Report to each server the load of each endpoint by zone, and the demand at its own proxies."""
        totals = [
            (zone, s, met, *s.failure_share_and_latency(self.now))
            for s in self.endpoints.values()
            for zone, met in s.rate_by_zone.items()
        ]
        self.call_later(REPORT_DELAY, lambda: self._reports_arrived(totals))

    def _reports_arrived(self, totals: list) -> None:
        for server in self.living_servers():
            for zone, endpoint, met, failed, took in totals:
                index = server.endpoint_registry.index_by_name.get(endpoint.name)
                if index is not None and (attempts := round(met)):
                    server.receive(
                        LoadReport(
                            zone,
                            index,
                            attempts,
                            round(attempts * failed),
                            took,
                            SECOND,
                            (endpoint.load / 10,),
                        )
                    )
        for proxy in self.proxies:
            if proxy.server.alive:
                proxy.server.receive(DemandReport(proxy.number, 0, round(proxy.request_rate), 0, SECOND))

    # --- what checks over the fleet read ---

    def overloaded(self, multiple: float, for_long: int) -> list[str]:
        """Return the endpoints in slow start whose load exceeded `multiple` times their capacity for
        `for_long`."""
        over = []
        for name, seen in self.cold_load_ratios.items():
            since = None
            for at, load in seen:
                since = (since or at) if load > multiple else None
                if since is not None and at - since >= for_long:
                    over.append(name)
                    break
        return over

    def reversals(self, i: int, j: int, least: float) -> int:
        """Count the reversals, by `least` or more, of the rate from zone `i` to zone `j`."""
        turns = 0
        low = 0.0
        high = 0.0
        rising = True
        for _, between in self.zone_rates:
            v = between.get((i, j), 0.0)
            low = min(low, v)
            high = max(high, v)
            if (rising and v < high - least) or (not rising and v > low + least):
                turns = turns + 1
                rising = not rising
                low = v
                high = v
        return turns
