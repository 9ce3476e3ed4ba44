"""A fleet whose loads follow the tables at once; how late an answer is follows the load by one plain curve."""

from collections import defaultdict

from ravenshelf.policy.events import DemandReport, LoadReport
from ravenshelf.settings import Settings, decode_settings
from standins.fleet.clock import SECOND
from standins.fleet.proxies import Proxy
from standins.fleet.servers import COLD, WARM, Server
from standins.fleet.simulation import Simulation

LATE_SUMS = 3 * SECOND // 2  # from the end of what a report covers until pilots hear it
FLOW_PERIOD = SECOND // 4


def flow_settings(pilots: int, zones: int, proxies: int, changes: dict) -> Settings:
    return decode_settings(
        {
            "azs": [f"z{n}" for n in range(zones)],
            "balancers": pilots,
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
            "rules": {"cold-share": COLD, "fall-multiple": 4, "warm-after-ms": WARM / 1000},
        }
        | changes
    )


class World(Simulation):
    def __init__(
        self,
        pilots: int = 5,
        zones: int = 3,
        servers: int = 6,
        proxies: int = 10,
        flows: float = 10.0,
        load: float = 0.5,
        seed: int = 1,
        calls_a_second: float = 4.0,
        **changes,
    ):
        """`servers` and `proxies` are those of a zone; `load` is the share of all capacity that flows ask for."""
        capacity = proxies * flows / servers / load
        super().__init__(
            flow_settings(pilots, zones, zones * proxies, changes),
            [Server(f"s-{z}-{n}", z, capacity) for z in range(zones) for n in range(servers)],
            [Proxy(n, n % zones, flows) for n in range(zones * proxies)],
            pilots,
            seed,
            calls_a_second,
        )
        self.spilled: list[
            tuple[int, dict[tuple[int, int], float]]
        ] = []  # flows a second between zones, by time
        self.pressed: dict[str, list[tuple[int, float]]] = defaultdict(
            list
        )  # load over strength of what is cold

    def step(self) -> None:
        if self.now % FLOW_PERIOD == 0:
            self._flow()
        if self.now % SECOND == 0:
            self._report()

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
        for server in self.servers.values():
            if server.is_cold(self.now):
                self.pressed[server.name].append((self.now, server.load / server.strength(self.now)))

    def _report(self) -> None:
        """Each pilot hears each zone's sums of each server, and what its own proxies were asked."""
        sums = [
            (zone, s, met, *s.answers(self.now)) for s in self.servers.values() for zone, met in s.met.items()
        ]
        self.later(LATE_SUMS, lambda: self._heard(sums))

    def _heard(self, sums: list) -> None:
        for pilot in self.living():
            for zone, server, met, failed, took in sums:
                index = pilot.listing.index_by_name.get(server.name)
                if index is not None and (tries := round(met)):
                    pilot.hear(
                        LoadReport(
                            zone, index, tries, round(tries * failed), took, SECOND, (server.load / 10,)
                        )
                    )
        for proxy in self.proxies:
            if proxy.pilot.alive:
                proxy.pilot.hear(DemandReport(proxy.number, 0, round(proxy.flows), 0, SECOND))

    # --- what checks over the fleet read ---

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
