"""Decisions about the services that a controller owns.

Each service has a planner of its own, which decides its tables from the load reports that come up the tree. A
planner exists while the service has subscribers. After a takeover the previous owner's tables, as replicated,
stay in use until the planner has received load reports for two solve intervals, because a planner without
reports would split requests evenly.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ravenshelf.distribution.decisions.aggregation import REPORT_WINDOW_US, Aggregator
from ravenshelf.distribution.decisions.claims import service_of_topic
from ravenshelf.distribution.decisions.planner import (
    LINE_PREFIX,
    ServicePlanner,
    read_endpoints,
    read_table,
    service_topic,
    zone_topic,
)
from ravenshelf.distribution.decisions.service_owner import ServiceOwner
from ravenshelf.distribution.messages import EndpointEntry, Entry, TableLine, ZoneLoadReport
from ravenshelf.settings import Settings
from ravenshelf.time_units import SECOND

CYCLE_INTERVAL_US = SECOND // 4
# The inherited tables stay in use for this time after the first load report; it is two solve intervals.
WARM_UP_WITH_REPORTS_US = 5 * SECOND
# Without any load report, the inherited tables stay in use for this time after the planner's creation.
WARM_UP_WITHOUT_REPORTS_US = 10 * SECOND


@dataclass(frozen=True)
class ServiceConfiguration:
    """Configuration of a service: its endpoints and its settings, both by name."""

    endpoints: Mapping[str, EndpointEntry]
    settings: Mapping[str, str]


@dataclass
class _PlannedService:
    planner: ServicePlanner
    started_at: int
    first_report_at: int | None = None
    # The entries of the previous owner's tables, by proxy zone.
    inherited_tables: dict[int, dict[str, Entry]] = field(default_factory=dict)
    configuration: ServiceConfiguration | None = None

    def is_warm(self, now: int) -> bool:
        """Return whether the planner's tables replace the inherited ones."""
        if self.first_report_at is not None and now - self.first_report_at >= WARM_UP_WITH_REPORTS_US:
            return True
        return now - self.started_at >= WARM_UP_WITHOUT_REPORTS_US and self.first_report_at is None


class ServiceDecisions:
    """Decisions about all services that one controller owns. Times are in microseconds.

    Pass `content` to the `ServiceOwner`, then call `attach` with that owner before any other method.
    """

    def __init__(
        self, deployment: Settings, configuration_of: Callable[[str], ServiceConfiguration], seed: int
    ):
        """Create decisions without planned services.

        Args:
            deployment: Zones, traffic groups and rules, as `ServicePlanner` uses them.
            configuration_of: Returns the present configuration of a service.
            seed: Seed of all planners.
        """
        self.deployment = deployment
        self.configuration_of = configuration_of
        self.seed = seed
        self.planned_services: dict[str, _PlannedService] = {}
        self.aggregator = Aggregator("owner")
        self._attached_owner: ServiceOwner | None = None
        self._window = 0

    def attach(self, owner: ServiceOwner) -> None:
        """Set the owner whose services are decided here."""
        self._attached_owner = owner

    @property
    def owner(self) -> ServiceOwner:
        """Owner whose services are decided here; `attach` must have been called."""
        assert self._attached_owner is not None, "attach has not been called"
        return self._attached_owner

    def add_load_report(self, report: ZoneLoadReport) -> None:
        """Record a relay's load report; the planners receive it at the end of the window."""
        self.aggregator.add(report)

    def _apply_load_reports(self, now: int) -> None:
        self._window = now // REPORT_WINDOW_US
        for report in self.aggregator.flush(self._window):
            planned_service = self.planned_services.get(report.service)
            if planned_service is not None:
                if planned_service.first_report_at is None:
                    planned_service.first_report_at = now
                planned_service.planner.add_report(report, REPORT_WINDOW_US)

    def run_cycle(self, now: int) -> None:
        """Decide all services with subscribers, and refresh their topics; called each CYCLE_INTERVAL_US."""
        if now // REPORT_WINDOW_US != self._window:
            self._apply_load_reports(now)
        subscribed_zones = self._subscribed_zones()
        for service in [service for service in self.planned_services if service not in subscribed_zones]:
            del self.planned_services[service]
        for service, zones in subscribed_zones.items():
            self._decide(now, service, zones)

    def _subscribed_zones(self) -> dict[str, set[int]]:
        """Return the zones that have subscribers, for each owned service with subscribers."""
        zones_by_service: dict[str, set[int]] = {}
        for topic in self.owner.distributor.subscriptions:
            service = service_of_topic(topic)
            if service in self.owner.owned_services:
                zone = topic[len(service) + 1 :]
                zones_by_service.setdefault(service, set()).update([int(zone)] if zone.isdigit() else [])
        return zones_by_service

    def _decide(self, now: int, service: str, zones: set[int]) -> None:
        planned_service = self._planned_service(now, service)
        planner = planned_service.planner
        for zone in planner.zones - zones:
            planner.remove_zone(zone)
            planned_service.inherited_tables.pop(zone, None)
        for zone in sorted(zones - planner.zones):
            planner.add_zone(zone)
            self._inherit_table(planned_service, service, zone)
        planner.run_cycle(now)
        self.owner.refresh(now, service_topic(service))
        for zone in planner.zones:
            self.owner.refresh(now, zone_topic(service, zone))

    def _planned_service(self, now: int, service: str) -> _PlannedService:
        """Return the planned service, created if necessary, with its present configuration."""
        planned_service = self.planned_services.get(service)
        if planned_service is None:
            planned_service = _PlannedService(ServicePlanner(service, self.deployment, self.seed), now)
            self.planned_services[service] = planned_service
        configuration = self.configuration_of(service)
        if configuration != planned_service.configuration:
            planned_service.configuration = configuration
            planned_service.planner.configure(configuration.endpoints, configuration.settings)
        return planned_service

    def _inherit_table(self, planned_service: _PlannedService, service: str, zone: int) -> None:
        replicated_topic = self.owner.topics.get(zone_topic(service, zone))
        if replicated_topic is not None and read_table(replicated_topic.entries):
            planned_service.inherited_tables[zone] = dict(replicated_topic.entries)

    def content(self, topic: str) -> Mapping[str, Entry] | None:
        """Return the present state of a topic of an owned service, or None before the state is available.

        A table is never emptied: if no endpoint is usable, the last table is returned.
        """
        service = service_of_topic(topic)
        planned_service = self.planned_services.get(service)
        if planned_service is None:
            return self._last_content(topic)
        if topic == service_topic(service):
            return planned_service.planner.service_entries()
        return self._zone_content(planned_service, topic, int(topic[len(service) + 1 :]))

    def _last_content(self, topic: str) -> Mapping[str, Entry] | None:
        """Return the topic's entries as this controller last published or replicated them, or None."""
        state = self.owner.topics.get(topic)
        return dict(state.entries) if state is not None and state.entries else None

    def _zone_content(
        self, planned_service: _PlannedService, topic: str, zone: int
    ) -> Mapping[str, Entry] | None:
        planned_entries = planned_service.planner.zone_entries(zone)
        if planned_service.is_warm(planned_service.planner.controller.now):
            planned_service.inherited_tables.pop(zone, None)
        inherited_entries = planned_service.inherited_tables.get(zone)
        usable_entries = (
            self._usable_entries(planned_service, inherited_entries) if inherited_entries is not None else {}
        )
        for entries in (usable_entries, planned_entries):
            if read_table(entries):
                return entries
        return self._last_content(topic)

    @staticmethod
    def _usable_entries(
        planned_service: _PlannedService, inherited_entries: Mapping[str, Entry]
    ) -> dict[str, Entry]:
        """Return the inherited entries without endpoints that are draining, not listed or in slow start."""
        ready_endpoints = {
            name
            for name, entry in read_endpoints(planned_service.planner.service_entries()).items()
            if entry.ready and planned_service.planner.is_warm(name)
        }
        return {
            key: entry
            for key, entry in inherited_entries.items()
            if not isinstance(entry, TableLine) or key[len(LINE_PREFIX) :] in ready_endpoints
        }
