"""The tables of one service, decided once for all servers.

The controller of each server (`policy.Controller`, KurmaCost) runs here with one proxy for each zone, which
stands for all proxies of that zone; their load reports come up the tree. Its commands are recorded as entries
of the zone's topic.
"""

from collections.abc import Mapping

from ravenshelf.distribution.decisions.allowance import largest_share
from ravenshelf.distribution.messages import (
    AdmissionLevel,
    EndpointEntry,
    Entry,
    Setting,
    TableLine,
    ZoneLoadReport,
)
from ravenshelf.policy import events
from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.policy.controller import Controller
from ravenshelf.settings import Settings

# prefixes of a topic's keys
ENDPOINT_PREFIX = "e:"
LINE_PREFIX = "t:"
LEVEL_PREFIX = "l:"
SETTING_PREFIX = "c:"

DEFAULT_NOMINAL_RATE = 1.0  # requests a second of a zone without load reports
SHARE_DIGITS = 4  # decimal places of published shares
NO_TABLE = -1
NO_ENDPOINT = -1


def service_topic(service: str) -> str:
    """Return the topic of a service's endpoints and settings, the same for all zones."""
    return f"{service}@"


def zone_topic(service: str, zone: int) -> str:
    """Return the topic of a service's table and admission levels for the proxies of a zone."""
    return f"{service}@{zone}"


class RecordedTables:
    """Receives the commands of a `Controller` and records the present table and admission levels of each
    zone.

    In the commands, the number of a proxy is that of its zone. Commands that concern one server only are
    ignored.
    """

    def __init__(self, groups: int):
        """`groups`: the number of traffic groups."""
        self.groups = groups
        self.tables: dict[int, dict[int, float]] = {}  # by table and endpoint: weight
        self.levels: dict[int, dict[int, tuple[float, int]]] = {}  # by table and group: level, retry mode
        self.table_of_zone: dict[int, int] = {}
        self.ejected: set[int] = set()
        self.markers: list[int] = []  # of requested acknowledgements

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Set a line; weight 0 removes it."""
        lines = self.tables.setdefault(table, {})
        if weight:
            lines[endpoint] = weight
        else:
            lines.pop(endpoint, None)

    def clear_table(self, table: int) -> None:
        """Empty a table."""
        self.tables[table] = {}
        self.levels[table] = {}

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Eject an endpoint from all tables, or readmit it."""
        if ejected:
            self.ejected.add(endpoint)
        else:
            self.ejected.discard(endpoint)

    def bind_proxy(self, proxy: int, table: int, groups: int = 0) -> None:  # noqa: ARG002 (one table for all groups)
        """Have a zone use a table."""
        self.table_of_zone[proxy] = table

    def set_admission_level(self, table: int, groups: int, level: float, retry_mode: int) -> None:
        """Set the admission level of the traffic groups in the bit mask (0: all)."""
        levels = self.levels.setdefault(table, {})
        for group in range(self.groups):
            if not groups or groups >> group & 1:
                levels[group] = (level, retry_mode)

    def request_acknowledgement(self, marker: int, all_proxies: bool = False) -> None:  # noqa: ARG002 (always everyone)
        """Record a requested acknowledgement; it is given at once, for the distribution has versions of its
        own."""
        self.markers.append(marker)

    def start_timer(self, at: int, key: str) -> None:
        """Ignored: the service owner runs a control cycle each quarter second anyway."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Ignored: endpoints come from the service's own configuration."""

    def fetch_endpoints(self) -> None:
        """Ignored, as `watch_endpoints`."""

    def check_health(self, endpoint: int) -> None:
        """Ignored: service owners do not check health."""

    def send_peer_message(self, peer: int | None, payload: bytes) -> None:
        """Ignored: service owners do not gossip."""

    def log(self, text: str) -> None:
        """Ignored: what a service owner decides is published in its topics."""

    def table_lines(self, zone: int) -> dict[int, float]:
        """Return the weights of a zone's table by endpoint, without ejected endpoints."""
        lines = self.tables.get(self.table_of_zone.get(zone, NO_TABLE), {})
        return {endpoint: weight for endpoint, weight in lines.items() if endpoint not in self.ejected}

    def admission_levels(self, zone: int) -> dict[int, tuple[float, int]]:
        """Return the admission level and retry mode of each traffic group in a zone."""
        own_table = self.table_of_zone.get(zone, NO_TABLE)
        return {**self.levels.get(ALL_TABLES, {}), **self.levels.get(own_table, {})}


class ServicePlanner:
    """Decides the tables of one service for the proxy zones that have subscribers."""

    def __init__(self, service: str, deployment: Settings, seed: int):
        """`deployment`: its zones, traffic groups and rules apply to all services; admission levels are
        fractions."""
        self.service = service
        self.endpoints: dict[str, EndpointEntry] = {}
        self.settings: dict[str, str] = {}
        self.zones: set[int] = set()  # proxy zones with subscribers
        self._indices: dict[str, int] = {}
        self._names: list[str] = []
        self._events: list[events.Event] = []  # for the next control cycle
        self.tables = RecordedTables(len(deployment.traffic_groups))
        self.controller = Controller(deployment, seed)

    # --- input ---

    def configure(
        self, endpoints: Mapping[str, EndpointEntry], settings: Mapping[str, str] | None = None
    ) -> None:
        """Replace the service's endpoints and, unless empty, its settings."""
        self.settings = dict(settings or self.settings)
        for name in [name for name in self.endpoints if name not in endpoints]:
            self.endpoints.pop(name)
        self.endpoints.update(endpoints)
        listed = tuple(self._listed(name, entry) for name, entry in self.endpoints.items())
        self._events.append(events.EndpointsListed(events.ListKind.REPLACE, listed))

    def _listed(self, name: str, entry: EndpointEntry) -> events.ListedEndpoint:
        state = events.EndpointState.READY if entry.ready else events.EndpointState.DRAINING
        return events.ListedEndpoint(self._index(name), entry.zone, 0, 0, state, entry.weight, entry.started)

    def _index(self, name: str) -> int:
        if name not in self._indices:
            self._indices[name] = len(self._names)
            self._names.append(name)
        return self._indices[name]

    def add_zone(self, zone: int, nominal_rate: float = DEFAULT_NOMINAL_RATE) -> None:
        """A zone has subscribers now. `nominal_rate`: its requests a second until load is reported."""
        if zone not in self.zones:
            self.zones.add(zone)
            self._events.append(events.ProxyJoined(zone, zone, nominal_rate, True))

    def remove_zone(self, zone: int) -> None:
        """A zone has no subscribers any more: its tables are no longer decided."""
        if zone in self.zones:
            self.zones.discard(zone)
            self._events.append(events.ProxyLeft(zone))

    def add_report(self, report: ZoneLoadReport, window: int) -> None:
        """Record the load that a zone's proxies report for a window of so many microseconds."""
        for name, load in report.endpoints.items():
            index = self._indices.get(name)
            if index is not None:
                succeeded = max(1, load.attempts - load.failures)
                mean_latency = load.latency_sum // succeeded
                self._events.append(
                    events.LoadReport(
                        report.zone, index, load.attempts, load.failures, mean_latency, window, ()
                    )
                )
        if report.zone in self.zones:
            for group, demand in report.groups.items():
                self._events.append(
                    events.DemandReport(report.zone, group, demand.requests, demand.unanswered, window)
                )

    # --- output ---

    def run_cycle(self, now: int) -> None:
        """Run a control cycle; called each quarter second while there are subscribers."""
        pending, self._events = self._events, []
        self.controller.run_cycle(now, pending, self.tables)
        for marker in self.tables.markers:
            for zone in self.zones:
                self.controller.channel.record_acknowledgement(zone, marker, 0)
        self.tables.markers.clear()

    def service_entries(self) -> dict[str, Entry]:
        """Return the present state of the service's topic."""
        entries: dict[str, Entry] = {
            SETTING_PREFIX + name: Setting(value) for name, value in self.settings.items()
        }
        entries.update((ENDPOINT_PREFIX + name, entry) for name, entry in self.endpoints.items())
        return entries

    def zone_entries(self, zone: int) -> dict[str, Entry]:
        """Return the present state of the topic of a proxy zone."""
        entries: dict[str, Entry] = {}
        lines = self.tables.table_lines(zone)
        total = sum(lines.values()) or 1.0
        for index, weight in lines.items():
            entries[LINE_PREFIX + self._names[index]] = self._line(index, weight, weight / total)
        for group, (level, retry_mode) in self.tables.admission_levels(zone).items():
            entries[f"{LEVEL_PREFIX}{group}"] = AdmissionLevel(level, retry_mode)
        return entries

    def is_warm(self, name: str) -> bool:
        """Return whether a listed endpoint has reached its full capacity, as far as its start time tells."""
        endpoint = self.controller.endpoints.get(self._indices.get(name, NO_ENDPOINT))
        if endpoint is None:
            return False
        return self.controller.slow_start.capacity_share(endpoint, self.controller.now) == 1

    def _line(self, index: int, weight: float, share: float) -> TableLine:
        controller = self.controller
        capacity_share = controller.slow_start.capacity_share(controller.endpoints[index], controller.now)
        multiple = controller.settings.warm_up.overload_multiple
        return TableLine(weight, round(largest_share(share, capacity_share, multiple), SHARE_DIGITS))


def read_table(entries: Mapping[str, Entry]) -> dict[str, TableLine]:
    """Return the table lines among a topic's entries, by endpoint."""
    return {key[len(LINE_PREFIX) :]: entry for key, entry in entries.items() if isinstance(entry, TableLine)}


def read_endpoints(entries: Mapping[str, Entry]) -> dict[str, EndpointEntry]:
    """Return the listed endpoints among a topic's entries, by name."""
    return {
        key[len(ENDPOINT_PREFIX) :]: entry
        for key, entry in entries.items()
        if isinstance(entry, EndpointEntry)
    }
