"""What pilots hear of their proxies: late sums by zone and endpoint and usage by proxy, through a bounded intake."""

from dataclasses import dataclass, field


@dataclass
class Tally:
    """Counts that add up until their line is sent."""

    since: int
    tries: int = 0
    failed: int = 0
    latency_sum: int = 0  # of the tries that succeeded

    def add(self, failed: bool, latency: int) -> None:
        self.tries += 1
        self.failed += failed
        self.latency_sum += 0 if failed else latency

    def mean_latency(self) -> float:
        served = self.tries - self.failed
        return self.latency_sum / served if served else 0.0


@dataclass(frozen=True)
class EndpointKey:
    """Tries of a zone's proxies at an endpoint."""

    zone: int
    endpoint: str


@dataclass(frozen=True)
class UsageKey:
    """Flows that a proxy was asked for, of one traffic group."""

    proxy: int
    group: int


Key = EndpointKey | UsageKey


@dataclass
class Intake:
    """One pilot's lines that wait: the oldest goes first, and what does not fit adds up to the next."""

    period_began: int
    waiting: dict[Key, Tally] = field(default_factory=dict)

    def count(self, key: Key, failed: bool, latency: int = 0) -> None:
        if key not in self.waiting:
            self.waiting[key] = Tally(self.period_began)
        self.waiting[key].add(failed, latency)

    def take(self, now: int, most: int) -> list[tuple[Key, Tally]]:
        """Ends a period: the oldest lines, as many as fit; they are kept in the order in which they began."""
        self.period_began = now
        taken = list(self.waiting.items())[:most]
        for key, _ in taken:
            del self.waiting[key]
        return taken
