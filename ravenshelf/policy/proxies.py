"""Proxies: their demand, and the tables that they use."""

from ravenshelf.policy.decayed_totals import DecayedTotals
from ravenshelf.policy.events import DemandReport
from ravenshelf.time_units import SECOND

# Demand reports decay with this time constant. The mean age of a report is then the same as in a window of
# 5 s without decay.
DEMAND_TIME_CONSTANT = 5 * SECOND // 2
# The demand of a proxy is known only with more than this many reported seconds (decayed).
MINIMUM_REPORTED_SECONDS = 0.05


class Proxy:
    """One joined proxy.

    Attributes:
        zone: The zone of the proxy.
        nominal_rate: The requests per second that the proxy announced when it joined.
        table: The table that the proxy is bound to; None before it is bound.
        partition: The endpoint partition of its zone that the proxy is assigned to; None before it is
            assigned.
    """

    __slots__ = (
        "_demand",
        "_demand_read_at",
        "_group_count",
        "_reports",
        "nominal_rate",
        "partition",
        "table",
        "zone",
    )

    def __init__(self, zone: int, nominal_rate: float, group_count: int):
        self.zone = zone
        self.nominal_rate = nominal_rate
        self.table: int | None = None
        self.partition: int | None = None
        self._group_count = group_count
        # The first half of the totals are requests by traffic group, the second half reported seconds.
        self._reports = DecayedTotals(DEMAND_TIME_CONSTANT, 2 * group_count)
        self._demand: list[float] | None = None
        self._demand_read_at: int | None = None

    def add_report(self, now: int, report: DemandReport) -> None:
        """Add a demand report; reports of unknown traffic groups are ignored."""
        if report.group >= self._group_count:
            return
        values = [0.0] * (2 * self._group_count)
        values[report.group] = max(report.requests, 0)
        values[self._group_count + report.group] = report.window / SECOND
        self._demand_read_at = None
        self._reports.add(now, *values)

    def demand(self, now: int) -> list[float] | None:
        """Return the requests per second of each traffic group; None as long as too little is reported."""
        if self._demand_read_at != now:
            self._demand_read_at = now
            self._demand = self._read_demand(now)
        return self._demand

    def _read_demand(self, now: int) -> list[float] | None:
        totals = self._reports.read(now)
        # A traffic group without requests is not reported, so the longest reported time applies to all.
        seconds = max(totals[self._group_count :], default=0)
        if seconds <= MINIMUM_REPORTED_SECONDS:
            return None
        return [requests / seconds for requests in totals[: self._group_count]]

    def total_demand(self, now: int) -> float:
        """Return the requests per second of all traffic groups, or the nominal rate if none are reported."""
        return sum(self.demand(now) or [self.nominal_rate])
