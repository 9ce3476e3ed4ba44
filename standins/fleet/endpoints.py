"""Simulated endpoints: their present capacity, and a queue that rejects what it can't hold."""

from dataclasses import dataclass
from enum import Enum

from standins.fleet.clock import SECOND

WARM_UP_TIME = 10 * SECOND  # microseconds
COLD_CAPACITY_SHARE = 0.2  # right after a start
BASE_LATENCY = 100_000  # microseconds, of an idle endpoint
REFUSAL_TIME = 2_000  # microseconds, about a round trip
CONNECT_TIMEOUT = 250_000  # microseconds, of an endpoint that is gone


class SimulatedEndpoint:
    """An endpoint whose load is a rate. Its latency and failures follow from its load over its present
    capacity."""

    def __init__(self, name: str, zone: int, capacity: float):
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.listed_weight = capacity
        self.state = "ready"
        self.started = 0
        self.failure_share = 0.0
        self.cold_capacity_share = COLD_CAPACITY_SHARE
        self.warm_up_time = WARM_UP_TIME
        self.load = 0.0  # requests a second that all tables send it
        self.rate_by_zone: dict[int, float] = {}  # load by zone of the proxies

    def capacity_share(self, now: int) -> float:
        """Return the share of its capacity that it has reached since its start."""
        if not self.started:
            return 1.0
        passed = min(1.0, (now - self.started) / self.warm_up_time)
        return self.cold_capacity_share + (1 - self.cold_capacity_share) * passed

    def is_warming_up(self, now: int) -> bool:
        """Return whether it is ready and in slow start."""
        return self.state == "ready" and bool(self.started) and now - self.started < self.warm_up_time

    def present_capacity(self, now: int) -> float:
        """Return the requests a second that it can serve now."""
        return 0.0 if self.state == "gone" else self.capacity * self.capacity_share(now)

    def failure_share_and_latency(self, now: int) -> tuple[float, int]:
        """Return the share of attempts that fail, and the latency of the others in microseconds."""
        part = self.load / (self.present_capacity(now) or 1e-9)
        failure_share = max(self.failure_share, 1 - 1 / part if part > 1 else 0.0)
        return failure_share, round(BASE_LATENCY * (1 + 2 * min(part, 2.0) ** 4))

    def successor(self, now: int) -> "SimulatedEndpoint":
        """Return a new endpoint in its place, with a name of its own and in slow start."""
        new = SimulatedEndpoint(f"{self.name}'", self.zone, self.capacity)
        new.started = now
        return new


class Outcome(Enum):
    """Outcome of an attempt. Only after `REFUSED` is it certain that the work was never begun."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed out"


@dataclass(frozen=True)
class Answer:
    """Outcome of an attempt, and the microseconds until the proxy has it."""

    outcome: Outcome
    after: int


class QueueingEndpoint(SimulatedEndpoint):
    """An endpoint with cores, a first-in-first-out queue counted in work, and a limit of queued attempts."""

    def __init__(self, name: str, zone: int, capacity: float, cores: int, queue_limit: int):
        """`capacity`: seconds of work a second, over all `cores`."""
        super().__init__(name, zone, capacity)
        self.cores = cores
        self.queue_limit = queue_limit
        self.slowdown = 1.0
        self.queued = 0
        self.free_at = 0
        self.incarnation = 0

    def present_capacity(self, now: int) -> float:
        """Return the seconds of work a second that it can do now."""
        return super().present_capacity(now) / self.slowdown

    def offer(self, now: int, work: float, fails: bool) -> Answer:
        """Queue an attempt, or reject it; `release` has to follow when a queued one ends."""
        if self.state == "gone":
            return Answer(Outcome.REFUSED, CONNECT_TIMEOUT)
        if fails:
            return Answer(Outcome.FAILED, REFUSAL_TIME)
        if self.queued >= self.queue_limit:
            return Answer(Outcome.REFUSED, REFUSAL_TIME)
        self.queued += 1
        rate = self.present_capacity(now)
        self.free_at = max(self.free_at, now) + round(work / rate * SECOND)
        alone = now + round(work * self.cores / rate * SECOND)  # an attempt runs on one core
        return Answer(Outcome.SERVED, max(self.free_at, alone) - now)

    def release(self, process: int) -> None:
        """A queued attempt has ended, unless it was queued by an earlier process."""
        if process == self.incarnation:
            self.queued -= 1

    def restart(self, now: int) -> None:
        """Restart the process: in slow start, with an empty queue."""
        self.started = now
        self.state = "ready"
        self.free_at = now
        self.queued = 0
        self.incarnation += 1

    def successor(self, now: int) -> "QueueingEndpoint":
        """Return a new endpoint in its place, with a name of its own and in slow start."""
        new = QueueingEndpoint(f"{self.name}'", self.zone, self.capacity, self.cores, self.queue_limit)
        new.listed_weight = self.listed_weight
        new.cold_capacity_share = self.cold_capacity_share
        new.warm_up_time = self.warm_up_time
        new.restart(now)
        return new
