"""The services that a controller owns, each decided by a planner of its own from the sums that come up the tree.

A planner exists while a service has subscribers. After a takeover the former owner's tables, as a replica held them, stand
until the planner has heard sums for two beats of the solver: a planner that knows nothing yet would split evenly.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ravenshelf.distribution.decisions.aggregation import WINDOW, Aggregator
from ravenshelf.distribution.decisions.backoff import SECOND
from ravenshelf.distribution.decisions.claims import service_of
from ravenshelf.distribution.decisions.owner import Owner
from ravenshelf.distribution.decisions.planner import (
    LINE,
    ServicePlanner,
    endpoints_of,
    service_topic,
    table_of,
    zone_topic,
)
from ravenshelf.distribution.messages import EndpointEntry, Entry, Report, TableLine
from ravenshelf.settings import Settings

ROUND_EVERY = SECOND // 4
WARM_AFTER_SUMS = 5 * SECOND  # two beats with sums
WARM_AFTER = 10 * SECOND  # where no sums come at all


@dataclass(frozen=True)
class Service:
    """What is listed and set of a service."""

    endpoints: Mapping[str, EndpointEntry]
    settings: Mapping[str, str]


@dataclass
class _Planned:
    planner: ServicePlanner
    begun: int
    first_sums: int | None = None
    former: dict[int, dict[str, Entry]] = field(
        default_factory=dict
    )  # by zone: the table of the owner before
    listed: Service | None = None

    def is_warm(self, now: int) -> bool:
        """Whether the planner's own tables are better than those it took over."""
        if self.first_sums is not None and now - self.first_sums >= WARM_AFTER_SUMS:
            return True
        return now - self.begun >= WARM_AFTER and self.first_sums is None


class ServiceDecisions:
    """All services that one controller owns. Give `content` to its `Owner`, then attach that."""

    def __init__(self, deployment: Settings, listed: Callable[[str], Service], seed: int):
        """`deployment` as `ServicePlanner` takes it; `listed` tells what is listed of a service now."""
        self.deployment, self.listed, self.seed = deployment, listed, seed
        self.owner: Owner | None = None
        self.planned: dict[str, _Planned] = {}
        self.aggregator = Aggregator("owner")
        self._window = 0

    def attach(self, owner: Owner) -> None:
        """The owner whose services are decided here."""
        self.owner = owner

    # --- what comes in ---

    def reported(self, report: Report) -> None:
        """Sums from a relay."""
        self.aggregator.add(report)

    def _hear_sums(self, now: int) -> None:
        self._window = now // WINDOW
        for report in self.aggregator.flush(self._window):
            planned = self.planned.get(report.service)
            if planned is not None:
                planned.first_sums = planned.first_sums if planned.first_sums is not None else now
                planned.planner.report(report, WINDOW)

    # --- rounds ---

    def round(self, now: int) -> None:
        """Called each ROUND_EVERY: decides all services that have subscribers, and has what changed published."""
        if now // WINDOW != self._window:
            self._hear_sums(now)
        wanted = self._wanted_zones()
        for service in [service for service in self.planned if service not in wanted]:
            del self.planned[service]
        for service, zones in wanted.items():
            self._decide(now, service, zones)

    def _wanted_zones(self) -> dict[str, set[int]]:
        """The owned services with subscribers, and the zones that these are in."""
        wanted: dict[str, set[int]] = {}
        for topic in self.owner.distributor.interested:
            service = service_of(topic)
            if service in self.owner.tenures:
                zone = topic[len(service) + 1 :]
                wanted.setdefault(service, set()).update([int(zone)] if zone.isdigit() else [])
        return wanted

    def _decide(self, now: int, service: str, zones: set[int]) -> None:
        planned = self._planned(now, service)
        for zone in planned.planner.zones - zones:
            planned.planner.unsubscribe_zone(zone)
            planned.former.pop(zone, None)
        for zone in sorted(zones - planned.planner.zones):
            planned.planner.subscribe_zone(zone)
            self._take_former(planned, service, zone)
        planned.planner.round(now)
        self.owner.refresh(now, service_topic(service))
        for zone in planned.planner.zones:
            self.owner.refresh(now, zone_topic(service, zone))

    def _planned(self, now: int, service: str) -> _Planned:
        planned = self.planned.get(service)
        if planned is None:
            planned = self.planned[service] = _Planned(
                ServicePlanner(service, self.deployment, self.seed), now
            )
        listed = self.listed(service)
        if listed != planned.listed:
            planned.listed = listed
            planned.planner.configure(listed.endpoints, listed.settings)
        return planned

    def _take_former(self, planned: _Planned, service: str, zone: int) -> None:
        held = self.owner.topics.get(zone_topic(service, zone))
        if held is not None and table_of(held.entries):
            planned.former[zone] = dict(held.entries)

    # --- what is published ---

    def content(self, topic: str) -> Mapping[str, Entry] | None:
        """What a topic of an owned service says now; None while that is not known. A table is never emptied: where no
        endpoint is left the last one stands."""
        service = service_of(topic)
        planned = self.planned.get(service)
        if planned is None:
            return self._held(topic)
        if topic == service_topic(service):
            return planned.planner.service_entries()
        return self._table(planned, topic, int(topic[len(service) + 1 :]))

    def _held(self, topic: str) -> Mapping[str, Entry] | None:
        """What this controller published last, or held as a replica."""
        held = self.owner.topics.get(topic)
        return dict(held.entries) if held is not None and held.entries else None

    def _table(self, planned: _Planned, topic: str, zone: int) -> Mapping[str, Entry] | None:
        own = planned.planner.zone_entries(zone)
        if planned.is_warm(planned.planner.controller.now):
            planned.former.pop(zone, None)
        former = planned.former.get(zone)
        kept = self._without_what_left(planned, former) if former is not None else {}
        for entries in (kept, own):
            if table_of(entries):
                return entries
        return self._held(topic)

    @staticmethod
    def _without_what_left(planned: _Planned, former: Mapping[str, Entry]) -> dict[str, Entry]:
        """The former owner's entries without endpoints that drain, have gone or have started again since."""
        ready = {
            name
            for name, entry in endpoints_of(planned.planner.service_entries()).items()
            if entry.ready and planned.planner.is_warm(name)
        }
        return {
            key: entry
            for key, entry in former.items()
            if not isinstance(entry, TableLine) or key[len(LINE) :] in ready
        }
