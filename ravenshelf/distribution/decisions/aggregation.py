"""Aggregation of load reports: the reports of many servers become one report for each service, zone and
window.

Each hop counts a report once: a report is identified by its reporter (a name that is unique for each
incarnation) and its sequence number. A report that arrives after its window was flushed is counted in the
next one, so it is counted late and never twice. Reports in transit on a connection that breaks are lost.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ravenshelf.distribution.messages import EndpointLoad, GroupDemand, ZoneLoadReport

REPORT_WINDOW_US = 1_000_000  # microseconds
REPORTER_EXPIRY_WINDOWS = 600  # a reporter without a report for so many windows is forgotten


@dataclass
class _PendingReport:
    window: int
    endpoints: dict[str, EndpointLoad] = field(default_factory=dict)
    groups: dict[int, GroupDemand] = field(default_factory=dict)


@dataclass
class _Reporter:
    sequence: int
    window: int


def add_endpoint_loads(one: EndpointLoad, other: EndpointLoad) -> EndpointLoad:
    """Return the sum of two endpoint loads."""
    return EndpointLoad(
        one.attempts + other.attempts, one.failures + other.failures, one.latency_sum + other.latency_sum
    )


def add_group_demands(one: GroupDemand, other: GroupDemand) -> GroupDemand:
    """Return the sum of two group demands."""
    return GroupDemand(one.requests + other.requests, one.unanswered + other.unanswered)


def _may_always_send(_service: str) -> bool:
    return True


class Aggregator:
    """Sums the load reports that reach one hop until they are flushed."""

    def __init__(self, name: str):
        """`name`: the reporter of the flushed reports, unique for each incarnation."""
        self.name = name
        self.duplicate_count = 0
        self._sequence = 0
        self._pending: dict[tuple[str, int], _PendingReport] = {}  # by service and proxy zone
        self._reporters: dict[str, _Reporter] = {}

    def add(self, report: ZoneLoadReport) -> bool:
        """Count a report; return False if it was counted before."""
        reporter = self._reporters.get(report.reporter)
        if reporter is not None and report.sequence <= reporter.sequence:
            self.duplicate_count += 1
            return False
        self._reporters[report.reporter] = _Reporter(report.sequence, report.window)
        pending = self._pending.setdefault((report.service, report.zone), _PendingReport(report.window))
        pending.window = max(pending.window, report.window)
        for name, load in report.endpoints.items():
            known_load = pending.endpoints.get(name)
            pending.endpoints[name] = load if known_load is None else add_endpoint_loads(known_load, load)
        for group, demand in report.groups.items():
            known_demand = pending.groups.get(group)
            pending.groups[group] = (
                demand if known_demand is None else add_group_demands(known_demand, demand)
            )
        return True

    def flush(self, window: int, may_send: Callable[[str], bool] = _may_always_send) -> list[ZoneLoadReport]:
        """Return the pending loads as this hop's own reports; called at the end of each window.

        Loads of services for which `may_send` is false (their owner can't be reached) stay pending.
        """
        reports = []
        for service, zone in [key for key in self._pending if may_send(key[0])]:
            pending = self._pending.pop((service, zone))
            self._sequence += 1
            reports.append(
                ZoneLoadReport(
                    service,
                    zone,
                    pending.window,
                    self.name,
                    self._sequence,
                    pending.endpoints,
                    pending.groups,
                )
            )
        self._expire_reporters(window)
        return reports

    def _expire_reporters(self, window: int) -> None:
        oldest = window - REPORTER_EXPIRY_WINDOWS
        if window % REPORTER_EXPIRY_WINDOWS == 0:
            self._reporters = {
                name: reporter for name, reporter in self._reporters.items() if reporter.window >= oldest
            }
