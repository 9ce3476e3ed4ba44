"""The tables of one service, decided once for all servers.

A server that doesn't use the distribution runs `policy.Controller`, with KurmaCost as its spill solver, for
its own proxies. Here the same controller runs for all servers. It has one proxy for each zone, which
represents all proxies of that zone; their load reports arrive as sums through the tree of relays. The
controller's commands are recorded as entries of the zone's topic.
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

# The prefix of a topic's key tells the type of the entry.
ENDPOINT_PREFIX = "e:"
LINE_PREFIX = "t:"
LEVEL_PREFIX = "l:"
SETTING_PREFIX = "c:"

DEFAULT_NOMINAL_RATE = 1.0  # A zone without load reports is assumed to receive this many requests a second.
SHARE_DIGITS = 4  # Published shares are rounded to this number of decimal places.
# No table and no endpoint has these numbers; they are looked up for a zone without a table, and for a name
# without an index, so that nothing is found.
NO_TABLE = -1
NO_ENDPOINT = -1


def service_topic(service: str) -> str:
    """Return the topic of a service's endpoints and settings, which is the same for all zones."""
    return f"{service}@"


def zone_topic(service: str, zone: int) -> str:
    """Return the topic of a service's table and admission levels for the proxies of a zone."""
    return f"{service}@{zone}"


class RecordedTables:
    """Command writer that records the present table and admission levels of each zone.

    The proxy number in a command of the planner's `Controller` is the number of a zone. Commands that concern
    only one server are ignored.
    """

    def __init__(self, groups: int):
        """Create a writer without tables.

        Args:
            groups: The number of traffic groups.
        """
        self.groups = groups
        # The weight of each line, by table and then by endpoint.
        self.tables: dict[int, dict[int, float]] = {}
        # The admission level and the retry mode, by table and then by traffic group.
        self.levels: dict[int, dict[int, tuple[float, int]]] = {}
        self.table_of_zone: dict[int, int] = {}
        self.ejected_endpoints: set[int] = set()
        self.markers: list[int] = []  # Markers of the acknowledgements requested in this cycle.

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Set an endpoint's weight in a table; weight 0 removes the line."""
        lines = self.tables.setdefault(table, {})
        if weight:
            lines[endpoint] = weight
        else:
            lines.pop(endpoint, None)

    def clear_table(self, table: int) -> None:
        """Remove all lines and admission levels of a table."""
        self.tables[table] = {}
        self.levels[table] = {}

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Eject an endpoint from all tables, or readmit it."""
        if ejected:
            self.ejected_endpoints.add(endpoint)
        else:
            self.ejected_endpoints.discard(endpoint)

    def bind_proxy(self, proxy: int, table: int, groups: int = 0) -> None:  # noqa: ARG002 (one table for all groups)
        """Make a zone use a table, for all traffic groups."""
        self.table_of_zone[proxy] = table

    def set_admission_level(self, table: int, groups: int, level: float, retry_mode: int) -> None:
        """Set the admission level of the traffic groups in the bit mask (0: all)."""
        levels = self.levels.setdefault(table, {})
        for group in range(self.groups):
            if not groups or groups >> group & 1:
                levels[group] = (level, retry_mode)

    def request_acknowledgement(self, marker: int, all_proxies: bool = False) -> None:  # noqa: ARG002 (always all zones)
        """Record a marker, which counts as acknowledged at the end of the cycle.

        Subscribers don't acknowledge markers: the distribution detects lost messages by the versions of its
        topics.
        """
        self.markers.append(marker)

    def start_timer(self, at: int, key: str) -> None:
        """Do nothing: the service owner runs a control cycle each quarter of a second, without timers."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Do nothing: endpoints come from the service's configuration."""

    def fetch_endpoints(self) -> None:
        """Do nothing: endpoints come from the service's configuration."""

    def check_health(self, endpoint: int) -> None:
        """Do nothing: service owners do not check health."""

    def send_peer_message(self, peer: int | None, payload: bytes) -> None:
        """Do nothing: service owners do not gossip."""

    def log(self, text: str) -> None:
        """Do nothing: the decisions of a service owner are published in its topics."""

    def table_lines(self, zone: int) -> dict[int, float]:
        """Return the weights of a zone's table by endpoint, without ejected endpoints."""
        lines = self.tables.get(self.table_of_zone.get(zone, NO_TABLE), {})
        return {
            endpoint: weight for endpoint, weight in lines.items() if endpoint not in self.ejected_endpoints
        }

    def admission_levels(self, zone: int) -> dict[int, tuple[float, int]]:
        """Return the admission level and retry mode of each traffic group in a zone."""
        zone_table = self.table_of_zone.get(zone, NO_TABLE)
        return {**self.levels.get(ALL_TABLES, {}), **self.levels.get(zone_table, {})}


class ServicePlanner:
    """Decisions about the tables of one service, for the proxy zones that have subscribers.

    Times are in microseconds.
    """

    def __init__(self, service: str, deployment: Settings, seed: int):
        """Create a planner without endpoints or zones.

        Args:
            service: Name of the service.
            deployment: Zones, traffic groups and rules, which apply to all services. Admission levels are
                fractions.
            seed: Seed of the controller's random source.
        """
        self.service = service
        self.endpoints: dict[str, EndpointEntry] = {}
        self.settings: dict[str, str] = {}
        self.zones: set[int] = set()  # The proxy zones that have subscribers.
        self._indices: dict[str, int] = {}
        self._names: list[str] = []
        self._pending_events: list[events.Event] = []  # The events for the next control cycle.
        self.tables = RecordedTables(len(deployment.traffic_groups))
        self.controller = Controller(deployment, seed)

    def configure(
        self, endpoints: Mapping[str, EndpointEntry], settings: Mapping[str, str] | None = None
    ) -> None:
        """Replace the service's endpoints and, unless `settings` is empty, its settings."""
        self.settings = dict(settings or self.settings)
        for name in [name for name in self.endpoints if name not in endpoints]:
            self.endpoints.pop(name)
        self.endpoints.update(endpoints)
        listed_endpoints = tuple(self._listed_endpoint(name, entry) for name, entry in self.endpoints.items())
        self._pending_events.append(events.EndpointsListed(events.ListKind.REPLACE, listed_endpoints))

    def _listed_endpoint(self, name: str, entry: EndpointEntry) -> events.ListedEndpoint:
        state = events.EndpointState.READY if entry.ready else events.EndpointState.DRAINING
        return events.ListedEndpoint(
            self._index_of(name), entry.zone, 0, 0, state, entry.weight, entry.started
        )

    def _index_of(self, name: str) -> int:
        """Return the index of an endpoint, which is assigned at the first call."""
        if name not in self._indices:
            self._indices[name] = len(self._names)
            self._names.append(name)
        return self._indices[name]

    def add_zone(self, zone: int, nominal_rate: float = DEFAULT_NOMINAL_RATE) -> None:
        """Begin to decide the table of a zone, which has subscribers now.

        Args:
            zone: The proxy zone.
            nominal_rate: Assumed requests a second of the zone until load is reported.
        """
        if zone not in self.zones:
            self.zones.add(zone)
            self._pending_events.append(events.ProxyJoined(zone, zone, nominal_rate, True))

    def remove_zone(self, zone: int) -> None:
        """Stop deciding the table of a zone, which has no subscribers any more."""
        if zone in self.zones:
            self.zones.discard(zone)
            self._pending_events.append(events.ProxyLeft(zone))

    def add_report(self, report: ZoneLoadReport, window: int) -> None:
        """Record the load that a zone's proxies report, for the next control cycle.

        Args:
            report: The summed reports of the zone; unknown endpoints are ignored.
            window: Length of the reported window in microseconds.
        """
        for name, load in report.endpoints.items():
            index = self._indices.get(name)
            if index is not None:
                successes = max(1, load.attempts - load.failures)
                mean_latency = load.latency_sum // successes
                self._pending_events.append(
                    events.LoadReport(
                        report.zone, index, load.attempts, load.failures, mean_latency, window, ()
                    )
                )
        if report.zone in self.zones:
            for group, demand in report.groups.items():
                self._pending_events.append(
                    events.DemandReport(report.zone, group, demand.requests, demand.unanswered, window)
                )

    def run_cycle(self, now: int) -> None:
        """Run a control cycle; called each quarter of a second while there are subscribers."""
        cycle_events, self._pending_events = self._pending_events, []
        self.controller.run_cycle(now, cycle_events, self.tables)
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
        total_weight = sum(lines.values()) or 1.0
        for index, weight in lines.items():
            entries[LINE_PREFIX + self._names[index]] = self._line(index, weight, weight / total_weight)
        for group, (level, retry_mode) in self.tables.admission_levels(zone).items():
            entries[f"{LEVEL_PREFIX}{group}"] = AdmissionLevel(level, retry_mode)
        return entries

    def is_warm(self, name: str) -> bool:
        """Return whether a listed endpoint has reached its full capacity, according to its start time.

        The result is False for an endpoint that is not listed.
        """
        endpoint = self.controller.endpoints.get(self._indices.get(name, NO_ENDPOINT))
        if endpoint is None:
            return False
        return self.controller.slow_start.capacity_share(endpoint, self.controller.now) == 1

    def _line(self, index: int, weight: float, share: float) -> TableLine:
        controller = self.controller
        capacity_share = controller.slow_start.capacity_share(controller.endpoints[index], controller.now)
        failing_load_multiple = controller.settings.warm_up.overload_multiple
        return TableLine(
            weight, round(largest_share(share, capacity_share, failing_load_multiple), SHARE_DIGITS)
        )


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
