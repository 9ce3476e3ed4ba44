"""Sums on the way up: the reports of many pilots become one report a service, zone and window.

Each hop counts a report once: it is known by its reporter, a name for each start of a process, and its sequence number.
What comes after its window was passed on goes with the next one, so a late report is counted late and never twice. What
is on its way when a connection breaks is lost.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ravenshelf.distribution.messages import EndpointSums, GroupSums, Report

WINDOW = 1_000_000  # microseconds of a window
REPORTERS_FORGOTTEN_AFTER = 600  # windows without a report


@dataclass
class _Pending:
    window: int
    endpoints: dict[str, EndpointSums] = field(default_factory=dict)
    groups: dict[int, GroupSums] = field(default_factory=dict)


@dataclass
class _Reporter:
    sequence: int
    window: int


def add_endpoint(one: EndpointSums, other: EndpointSums) -> EndpointSums:
    """The sums of both together."""
    return EndpointSums(
        one.tries + other.tries, one.failures + other.failures, one.latency_sum + other.latency_sum
    )


def add_group(one: GroupSums, other: GroupSums) -> GroupSums:
    """The sums of both together."""
    return GroupSums(one.requests + other.requests, one.unanswered + other.unanswered)


class Aggregator:
    """One hop of the way up."""

    def __init__(self, name: str):
        self.name = name
        self.duplicates = 0
        self._sequence = 0
        self._pending: dict[tuple[str, int], _Pending] = {}  # by service and proxy zone
        self._reporters: dict[str, _Reporter] = {}

    def add(self, report: Report) -> bool:
        """Counts a report; False where it was counted before."""
        reporter = self._reporters.get(report.reporter)
        if reporter is not None and report.sequence <= reporter.sequence:
            self.duplicates += 1
            return False
        self._reporters[report.reporter] = _Reporter(report.sequence, report.window)
        pending = self._pending.setdefault((report.service, report.zone), _Pending(report.window))
        pending.window = max(pending.window, report.window)
        for name, sums in report.endpoints.items():
            known = pending.endpoints.get(name)
            pending.endpoints[name] = sums if known is None else add_endpoint(known, sums)
        for group, asked in report.groups.items():
            before = pending.groups.get(group)
            pending.groups[group] = asked if before is None else add_group(before, asked)
        return True

    def flush(self, window: int, may_send: Callable[[str], bool] = lambda service: True) -> list[Report]:
        """What came in, as this hop's own reports; called at the end of each window. Sums of services that `may_send`
        denies, for their owner is out of reach, stay and are added to."""
        reports = []
        for service, zone in [key for key in self._pending if may_send(key[0])]:
            pending = self._pending.pop((service, zone))
            self._sequence += 1
            reports.append(
                Report(
                    service,
                    zone,
                    pending.window,
                    self.name,
                    self._sequence,
                    pending.endpoints,
                    pending.groups,
                )
            )
        self._forget(window)
        return reports

    def _forget(self, window: int) -> None:
        before = window - REPORTERS_FORGOTTEN_AFTER
        if window % REPORTERS_FORGOTTEN_AFTER == 0:
            self._reporters = {
                name: known for name, known in self._reporters.items() if known.window >= before
            }
