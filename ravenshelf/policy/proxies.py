"""Proxies: their demand, and the table that each uses."""

from ravenshelf.policy.decayed_totals import DecayedTotals
from ravenshelf.policy.events import DemandReport
from ravenshelf.settings import SECOND

DEMAND_SPAN = 5 * SECOND // 2  # microseconds; on the mean as old as what a window of 5 s holds
MINIMUM_REPORTED_SECONDS = 0.05  # decayed seconds of reports, for the demand to be known


class Proxy:
    """One joined proxy.

    `table` is the table it is bound to, `partition` the partition of its zone that it is assigned to; both
    are None until then. `usual_rate` is requests per second.
    """

    __slots__ = (
        "_demand",
        "_demand_read_at",
        "_groups",
        "_reports",
        "nominal_rate",
        "partition",
        "table",
        "zone",
    )

    def __init__(self, zone: int, nominal_rate: float, groups: int):
        self.zone = zone
        self.nominal_rate = nominal_rate
        self.table: int | None = None
        self.partition: int | None = None
        self._groups = groups
        self._reports = DecayedTotals(DEMAND_SPAN, 2 * groups)  # requests by group, then seconds by group
        self._demand: list[float] | None = None
        self._demand_read_at: int | None = None

    def add_report(self, now: int, report: DemandReport) -> None:
        """Count a demand report of one of the traffic groups; other groups are ignored."""
        if report.group >= self._groups:
            return
        values = [0.0] * (2 * self._groups)
        values[report.group] = max(report.requests, 0)
        values[self._groups + report.group] = report.window / SECOND
        self._demand_read_at = None
        self._reports.add(now, *values)

    def demand(self, now: int) -> list[float] | None:
        """Requests per second by traffic group; None as long as no report tells."""
        if self._demand_read_at != now:
            self._demand_read_at = now
            self._demand = self._read_demand(now)
        return self._demand

    def _read_demand(self, now: int) -> list[float] | None:
        totals = self._reports.read(now)
        # a group without requests is not reported, so the longest time holds for all groups
        seconds = max(totals[self._groups :], default=0)
        if seconds <= MINIMUM_REPORTED_SECONDS:
            return None
        return [requests / seconds for requests in totals[: self._groups]]

    def total_demand(self, now: int) -> float:
        """Requests per second of all groups: as reported, or else the usual rate."""
        return sum(self.demand(now) or [self.nominal_rate])
