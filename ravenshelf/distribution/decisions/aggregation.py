"""Aggregation of load reports from many servers into one report per service, zone and window.

Each hop counts a report once: a report is identified by its reporter (a name that is unique for each
incarnation) and its sequence number. A report that arrives after its window was flushed is counted in the
next one, so it is counted late and never twice. Reports in transit on a connection that breaks are lost.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ravenshelf.distribution.messages import EndpointLoad, GroupDemand, ZoneLoadReport

REPORT_WINDOW_US = 1_000_000
# Reporters that have sent no report for this number of windows are removed. The check takes place at each
# window whose number is a multiple of it.
REPORTER_EXPIRY_WINDOWS = 600


@dataclass
class _PendingReport:
    window: int
    endpoints: dict[str, EndpointLoad] = field(default_factory=dict)
    groups: dict[int, GroupDemand] = field(default_factory=dict)


@dataclass
class _Reporter:
    sequence: int
    window: int


def add_endpoint_loads(first_load: EndpointLoad, second_load: EndpointLoad) -> EndpointLoad:
    """Return the sum of two endpoint loads, field by field."""
    return EndpointLoad(
        first_load.attempts + second_load.attempts,
        first_load.failures + second_load.failures,
        first_load.latency_sum + second_load.latency_sum,
    )


def add_group_demands(first_demand: GroupDemand, second_demand: GroupDemand) -> GroupDemand:
    """Return the sum of two group demands, field by field."""
    return GroupDemand(
        first_demand.requests + second_demand.requests, first_demand.unanswered + second_demand.unanswered
    )


def _may_always_send(_service: str) -> bool:
    return True


class Aggregator:
    """Sum of the load reports that have reached one hop since the last flush."""

    def __init__(self, name: str):
        """Create an aggregator without pending loads.

        Args:
            name: The reporter of the flushed reports, unique for each incarnation.
        """
        self.name = name
        self.duplicate_count = 0
        self._sequence = 0
        self._pending_reports: dict[tuple[str, int], _PendingReport] = {}  # Keys are service and proxy zone.
        self._reporters: dict[str, _Reporter] = {}

    def add(self, report: ZoneLoadReport) -> bool:
        """Add a report to the pending loads.

        Returns:
            False if the report is not later than the last one of its reporter, and was therefore ignored.
        """
        reporter = self._reporters.get(report.reporter)
        if reporter is not None and report.sequence <= reporter.sequence:
            self.duplicate_count += 1
            return False
        self._reporters[report.reporter] = _Reporter(report.sequence, report.window)
        pending_report = self._pending_reports.setdefault(
            (report.service, report.zone), _PendingReport(report.window)
        )
        pending_report.window = max(pending_report.window, report.window)
        for name, load in report.endpoints.items():
            pending_load = pending_report.endpoints.get(name)
            pending_report.endpoints[name] = (
                load if pending_load is None else add_endpoint_loads(pending_load, load)
            )
        for group, demand in report.groups.items():
            pending_demand = pending_report.groups.get(group)
            pending_report.groups[group] = (
                demand if pending_demand is None else add_group_demands(pending_demand, demand)
            )
        return True

    def flush(self, window: int, may_send: Callable[[str], bool] = _may_always_send) -> list[ZoneLoadReport]:
        """Remove the pending loads and return them as reports of this hop; called at the end of each window.

        Args:
            window: Number of the present window, counted from the epoch of the clock.
            may_send: Returns whether the owner of a service can be reached. Loads of other services stay
                pending.
        """
        reports = []
        for service, zone in [key for key in self._pending_reports if may_send(key[0])]:
            pending_report = self._pending_reports.pop((service, zone))
            self._sequence += 1
            reports.append(
                ZoneLoadReport(
                    service,
                    zone,
                    pending_report.window,
                    self.name,
                    self._sequence,
                    pending_report.endpoints,
                    pending_report.groups,
                )
            )
        self._expire_reporters(window)
        return reports

    def _expire_reporters(self, window: int) -> None:
        oldest_window = window - REPORTER_EXPIRY_WINDOWS
        if window % REPORTER_EXPIRY_WINDOWS == 0:
            self._reporters = {
                name: reporter
                for name, reporter in self._reporters.items()
                if reporter.window >= oldest_window
            }
