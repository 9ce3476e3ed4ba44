"""The tables of one service, decided once for all pilots.

This is the decision module as each pilot runs it (`policy.Controller`, KurmaCost), with one proxy for each zone: that zone's
proxies together, whose sums come up the tree. What it orders is kept as the entries of the zone's topic.
"""

from collections.abc import Mapping

from ravenshelf.distribution.decisions.allowance import largest_share
from ravenshelf.distribution.messages import AdmissionLevel, EndpointEntry, Entry, Report, Setting, TableLine
from ravenshelf.policy import events
from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.policy.controller import Controller
from ravenshelf.settings import Settings

ENDPOINT, LINE, LEVEL, SETTING = "e:", "t:", "l:", "c:"  # prefixes of a topic's keys
USUAL_UNKNOWN = 1.0  # requests a second of a zone of which nothing was heard yet


def service_topic(service: str) -> str:
    """The topic of a service's list and settings, the same for all zones."""
    return f"{service}@"


def zone_topic(service: str, zone: int) -> str:
    """The topic of a service's table and levels for the proxies of a zone."""
    return f"{service}@{zone}"


class TableOrders:
    """The orders of a `Controller`, kept as the present table and levels of each proxy zone."""

    def __init__(self, groups: int):
        self.groups = groups
        self.tables: dict[int, dict[int, float]] = {}
        self.levels: dict[int, dict[int, tuple[float, int]]] = {}
        self.bound: dict[int, int] = {}
        self.shut_out: set[int] = set()
        self.marks: list[int] = []

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Sets a line; weight 0 removes it."""
        lines = self.tables.setdefault(table, {})
        if weight:
            lines[endpoint] = weight
        else:
            lines.pop(endpoint, None)

    def clear_table(self, table: int) -> None:
        """Empties a table."""
        self.tables[table], self.levels[table] = {}, {}

    def set_ejected(self, endpoint: int, out: bool) -> None:
        """Shuts an endpoint out of all tables, or lets it back."""
        (self.shut_out.add if out else self.shut_out.discard)(endpoint)

    def bind_proxy(self, proxy: int, table: int, groups: int = 0) -> None:
        """Leads a zone to a table."""
        self.bound[proxy] = table

    def set_admission_level(self, table: int, groups: int, level: float, tries: int) -> None:
        """Sets the admission level of the groups in the bit mask (0: all)."""
        held = self.levels.setdefault(table, {})
        for group in range(self.groups):
            if not groups or groups >> group & 1:
                held[group] = (level, tries)

    def request_acknowledgement(self, number: int, everyone: bool = False) -> None:
        """Asks for an acknowledgement; the distribution counts its own versions, so it is given at once."""
        self.marks.append(number)

    def start_timer(self, at: int, key: str) -> None:
        """The owner calls a round each quarter second anyway."""

    def watch_endpoints(self, on: bool) -> None:
        """The list comes from the service's own configuration."""

    def fetch_endpoints(self) -> None:
        """As `observe`."""

    def check_health(self, endpoint: int) -> None:
        """Owners do not probe."""

    def send_peer_message(self, peer: int | None, octets: bytes) -> None:
        """Owners tell each other nothing of tables."""

    def log(self, text: str) -> None:
        """What an owner decides is seen in its topics."""

    def lines_of(self, proxy: int) -> dict[int, float]:
        """The table of a zone, without what is shut out."""
        lines = self.tables.get(self.bound.get(proxy, -1), {})
        return {endpoint: weight for endpoint, weight in lines.items() if endpoint not in self.shut_out}

    def levels_of(self, proxy: int) -> dict[int, tuple[float, int]]:
        """The levels of a zone."""
        return {**self.levels.get(ALL_TABLES, {}), **self.levels.get(self.bound.get(proxy, -1), {})}


class ServicePlanner:
    """Decides the tables of one service for the proxy zones that have subscribers."""

    def __init__(self, service: str, deployment: Settings, seed: int):
        """`deployment`: its zones, traffic groups and rules are used; admission levels are fractions."""
        self.service = service
        self.endpoints: dict[str, EndpointEntry] = {}
        self.settings: dict[str, str] = {}
        self.zones: set[int] = set()  # proxy zones with subscribers
        self._indices: dict[str, int] = {}
        self._names: list[str] = []
        self._news: list[events.Event] = []
        self._listed_zones = max(1, len(deployment.zones))
        self.orders = TableOrders(len(deployment.traffic_groups))
        self.controller = Controller(deployment, seed)

    # --- what comes in ---

    def configure(
        self, endpoints: Mapping[str, EndpointEntry], settings: Mapping[str, str] | None = None
    ) -> None:
        """The service's whole list and settings."""
        self.settings = dict(settings or self.settings)
        for name in [name for name in self.endpoints if name not in endpoints]:
            self.endpoints.pop(name)
        self.endpoints.update(endpoints)
        entries = tuple(
            events.ListedEndpoint(
                self._index(name),
                entry.zone,
                0,
                0,
                events.EndpointState.READY if entry.ready else events.EndpointState.DRAINING,
                entry.weight,
                entry.started,
            )
            for name, entry in self.endpoints.items()
        )
        self._news.append(events.EndpointsListed(events.ListKind.REPLACE, entries))

    def _index(self, name: str) -> int:
        if name not in self._indices:
            self._indices[name] = len(self._names)
            self._names.append(name)
        return self._indices[name]

    def subscribe_zone(self, zone: int, usual: float = USUAL_UNKNOWN) -> None:
        """The first pilot of a zone subscribes. `usual`: requests a second until sums come."""
        if zone not in self.zones:
            self.zones.add(zone)
            self._news.append(events.ProxyJoined(zone, zone, usual, True))

    def unsubscribe_zone(self, zone: int) -> None:
        """The last pilot of a zone has gone: it costs nothing any more."""
        if zone in self.zones:
            self.zones.discard(zone)
            self._news.append(events.ProxyLeft(zone))

    def report(self, report: Report, window: int) -> None:
        """Sums from a zone's proxies over a window of so many microseconds."""
        for name, sums in report.endpoints.items():
            index = self._indices.get(name)
            if index is not None:
                answered = max(1, sums.tries - sums.failures)
                self._news.append(
                    events.LoadReport(
                        report.zone,
                        index,
                        sums.tries,
                        sums.failures,
                        sums.latency_sum // answered,
                        window,
                        (),
                    )
                )
        if report.zone in self.zones:
            for group, asked in report.groups.items():
                self._news.append(
                    events.DemandReport(report.zone, group, asked.requests, asked.unanswered, window)
                )

    # --- what goes out ---

    def round(self, now: int) -> None:
        """Plays a round of the decisions; called each quarter second while there are subscribers."""
        news, self._news = self._news, []
        self.controller.run_cycle(now, news, self.orders)
        for number in self.orders.marks:  # versions of topics take the place of the channel's answers
            for zone in self.zones:
                self.controller.channel.acknowledged(zone, number, 0)
        self.orders.marks.clear()

    def service_entries(self) -> dict[str, Entry]:
        """All that the service's topic says now."""
        entries: dict[str, Entry] = {SETTING + name: Setting(value) for name, value in self.settings.items()}
        entries.update((ENDPOINT + name, entry) for name, entry in self.endpoints.items())
        return entries

    def zone_entries(self, zone: int) -> dict[str, Entry]:
        """All that the topic of a proxy zone says now."""
        entries: dict[str, Entry] = {}
        lines = self.orders.lines_of(zone)
        total = sum(lines.values()) or 1.0
        for index, weight in lines.items():
            entries[LINE + self._names[index]] = self._line(index, weight, weight / total)
        for group, (level, retry_mode) in self.orders.levels_of(zone).items():
            entries[f"{LEVEL}{group}"] = AdmissionLevel(level, retry_mode)
        return entries

    def is_warm(self, name: str) -> bool:
        """Whether a listed endpoint has reached its full capacity, as far as its start tells."""
        endpoint = self.controller.endpoints.get(self._indices.get(name, -1))
        return (
            endpoint is not None
            and self.controller.slow_start.capacity_share(endpoint, self.controller.now) == 1
        )

    def _line(self, index: int, weight: float, share: float) -> TableLine:
        endpoint = self.controller.endpoints[index]
        multiple = self.controller.settings.warm_up.overload_multiple
        return TableLine(
            weight,
            round(
                largest_share(
                    share, self.controller.slow_start.capacity_share(endpoint, self.controller.now), multiple
                ),
                4,
            ),
        )


def table_of(entries: Mapping[str, Entry]) -> dict[str, TableLine]:
    """The table among a topic's entries."""
    return {key[len(LINE) :]: entry for key, entry in entries.items() if isinstance(entry, TableLine)}


def endpoints_of(entries: Mapping[str, Entry]) -> dict[str, EndpointEntry]:
    """The listed endpoints among a topic's entries."""
    return {key[len(ENDPOINT) :]: entry for key, entry in entries.items() if isinstance(entry, EndpointEntry)}
