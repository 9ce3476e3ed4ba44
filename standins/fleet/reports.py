"""Load and demand reports from proxies to a server, through a queue with a bounded throughput."""

from dataclasses import dataclass, field


@dataclass
class LoadCounts:
    """The counts of a report, which add up until the report is sent.

    Attributes:
        since: The time at which counting began, in microseconds.
        attempts: The number of attempts or requests.
        failures: The number of those that failed.
        latency_sum: The sum of the latencies of those that succeeded, in microseconds.
    """

    since: int
    attempts: int = 0
    failures: int = 0
    latency_sum: int = 0

    def add(self, has_failed: bool, latency: int) -> None:
        """Count an attempt; its latency is in microseconds."""
        self.attempts += 1
        self.failures += has_failed
        self.latency_sum += 0 if has_failed else latency

    def mean_latency(self) -> float:
        """Return the mean latency of the attempts that succeeded, in microseconds; 0 without any."""
        successes = self.attempts - self.failures
        return self.latency_sum / successes if successes else 0.0


@dataclass(frozen=True)
class EndpointKey:
    """Key of a load report: the attempts of a zone's proxies at an endpoint."""

    zone: int
    endpoint: str


@dataclass(frozen=True)
class DemandKey:
    """Key of a demand report: the requests of one traffic group that arrive at a proxy."""

    proxy: int
    group: int


ReportKey = EndpointKey | DemandKey


@dataclass
class ReportQueue:
    """The pending reports to one server.

    The oldest reports are sent first. The counts of reports that exceed the throughput add up until they are
    sent.

    Attributes:
        period_started_at: The start of the present period, in microseconds.
        pending: The counts by report, oldest first.
    """

    period_started_at: int
    pending: dict[ReportKey, LoadCounts] = field(default_factory=dict)

    def count(self, key: ReportKey, has_failed: bool, latency: int = 0) -> None:
        """Count an attempt or a request; its latency is in microseconds."""
        if key not in self.pending:
            self.pending[key] = LoadCounts(self.period_started_at)
        self.pending[key].add(has_failed, latency)

    def end_period(self, now: int, max_reports: int) -> list[tuple[ReportKey, LoadCounts]]:
        """End a period, and remove and return its oldest reports, at most `max_reports`."""
        self.period_started_at = now
        sent_reports = list(self.pending.items())[:max_reports]
        for key, _ in sent_reports:
            del self.pending[key]
        return sent_reports
