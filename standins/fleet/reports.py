"""Load and demand reports of proxies to a server, through a queue of bounded throughput."""

from dataclasses import dataclass, field


@dataclass
class LoadCounts:
    """Counts that add up until their report is sent."""

    since: int
    attempts: int = 0
    failed: int = 0
    latency_sum: int = 0  # microseconds, of the attempts that succeeded

    def add(self, failed: bool, latency: int) -> None:
        """Count an attempt; `latency` in microseconds."""
        self.attempts += 1
        self.failed += failed
        self.latency_sum += 0 if failed else latency

    def mean_latency(self) -> float:
        """Return the mean latency of the attempts that succeeded."""
        served = self.attempts - self.failed
        return self.latency_sum / served if served else 0.0


@dataclass(frozen=True)
class EndpointKey:
    """Attempts of a zone's proxies at an endpoint."""

    zone: int
    endpoint: str


@dataclass(frozen=True)
class DemandKey:
    """Requests of one traffic group to a proxy."""

    proxy: int
    group: int


Key = EndpointKey | DemandKey


@dataclass
class ReportQueue:
    """Pending reports to one server: the oldest is sent first, and what exceeds the throughput adds up."""

    period_started_at: int
    pending: dict[Key, LoadCounts] = field(default_factory=dict)

    def count(self, key: Key, failed: bool, latency: int = 0) -> None:
        """Count an attempt or a request."""
        if key not in self.pending:
            self.pending[key] = LoadCounts(self.period_started_at)
        self.pending[key].add(failed, latency)

    def take(self, now: int, most: int) -> list[tuple[Key, LoadCounts]]:
        """End a period; return the oldest reports, at most `most`."""
        self.period_started_at = now
        taken = list(self.pending.items())[:most]
        for key, _ in taken:
            del self.pending[key]
        return taken
