"""Simulated endpoints: their present capacity, and a queue that rejects attempts when it is full."""

from dataclasses import dataclass
from enum import Enum

from standins.fleet.clock import SECOND

WARM_UP_TIME = 10 * SECOND  # the length of the slow start in microseconds
COLD_CAPACITY_SHARE = 0.2
BASE_LATENCY = 100_000  # latency of an idle endpoint in microseconds
REJECTION_TIME = 2_000  # the time until a rejection, about one round trip, in microseconds
CONNECT_TIMEOUT = 250_000  # in microseconds; applies to endpoints that are gone and do not answer


class SimulatedEndpoint:
    """An endpoint whose load is a rate.

    Its latency and its failures follow from its load, relative to its present capacity.
    """

    def __init__(self, name: str, zone: int, capacity: float):
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.listed_weight = capacity
        self.state = "ready"
        self.started_at = 0
        self.failure_share = 0.0
        self.cold_capacity_share = COLD_CAPACITY_SHARE
        self.warm_up_time = WARM_UP_TIME
        self.load = 0.0  # the requests a second that all tables together send to it
        # The requests a second, by the zone of the proxies that send them.
        self.load_by_zone: dict[int, float] = {}

    def capacity_share(self, now: int) -> float:
        """Return the share of the full capacity that the endpoint has reached since its start."""
        if not self.started_at:
            return 1.0
        elapsed_share = min(1.0, (now - self.started_at) / self.warm_up_time)
        return self.cold_capacity_share + (1 - self.cold_capacity_share) * elapsed_share

    def is_warming_up(self, now: int) -> bool:
        """Return whether the endpoint is ready and in slow start."""
        return self.state == "ready" and bool(self.started_at) and now - self.started_at < self.warm_up_time

    def present_capacity(self, now: int) -> float:
        """Return the requests a second that the endpoint can serve now."""
        return 0.0 if self.state == "gone" else self.capacity * self.capacity_share(now)

    def failure_share_and_latency(self, now: int) -> tuple[float, int]:
        """Return the share of attempts that fail, and the latency of the others in microseconds."""
        utilization = self.load / (self.present_capacity(now) or 1e-9)
        failure_share = max(self.failure_share, 1 - 1 / utilization if utilization > 1 else 0.0)
        return failure_share, round(BASE_LATENCY * (1 + 2 * min(utilization, 2.0) ** 4))

    def create_replacement(self, now: int) -> "SimulatedEndpoint":
        """Return a new endpoint in slow start that replaces this one, under a different name."""
        replacement = SimulatedEndpoint(f"{self.name}'", self.zone, self.capacity)
        replacement.started_at = now
        return replacement


class Outcome(Enum):
    """The outcome of an attempt.

    Only after `REFUSED` it is certain that the endpoint has not begun to process the attempt.
    """

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed out"


@dataclass(frozen=True)
class AttemptResult:
    """The outcome of an attempt, and the delay in microseconds until the proxy learns of it."""

    outcome: Outcome
    delay: int


class QueueingEndpoint(SimulatedEndpoint):
    """An endpoint with cores, a first-in-first-out queue measured in work, and a limit of queued attempts."""

    def __init__(self, name: str, zone: int, capacity: float, cores: int, queue_limit: int):
        """Create an idle endpoint.

        Args:
            name: The name of the endpoint.
            zone: The number of its zone.
            capacity: The seconds of work a second that it can do with all cores.
            cores: The number of its cores.
            queue_limit: The number of attempts that it accepts at a time.
        """
        super().__init__(name, zone, capacity)
        self.cores = cores
        self.queue_limit = queue_limit
        self.slowdown = 1.0
        self.queued_attempts = 0
        self.free_at = 0
        self.incarnation = 0

    def present_capacity(self, now: int) -> float:
        """Return the seconds of work a second that the endpoint can do now."""
        return super().present_capacity(now) / self.slowdown

    def submit(self, now: int, work: float, is_failure: bool) -> AttemptResult:
        """Queue an attempt or reject it, and return its result.

        The caller has to call `release` when a queued attempt ends.

        Args:
            now: The present time in microseconds.
            work: The work of the attempt, in seconds on one core.
            is_failure: Whether the endpoint fails the attempt, without queueing it.
        """
        if self.state == "gone":
            return AttemptResult(Outcome.REFUSED, CONNECT_TIMEOUT)
        if is_failure:
            return AttemptResult(Outcome.FAILED, REJECTION_TIME)
        if self.queued_attempts >= self.queue_limit:
            return AttemptResult(Outcome.REFUSED, REJECTION_TIME)
        self.queued_attempts += 1
        rate = self.present_capacity(now)
        self.free_at = max(self.free_at, now) + round(work / rate * SECOND)
        single_core_end = now + round(work * self.cores / rate * SECOND)  # An attempt uses only one core.
        return AttemptResult(Outcome.SERVED, max(self.free_at, single_core_end) - now)

    def release(self, queued_by: int) -> None:
        """Remove an attempt that has ended from the queue.

        Args:
            queued_by: The incarnation that queued the attempt; nothing is removed if it is an earlier one.
        """
        if queued_by == self.incarnation:
            self.queued_attempts -= 1

    def restart(self, now: int) -> None:
        """Restart the process, in slow start and with an empty queue."""
        self.started_at = now
        self.state = "ready"
        self.free_at = now
        self.queued_attempts = 0
        self.incarnation += 1

    def create_replacement(self, now: int) -> "QueueingEndpoint":
        """Return a new endpoint in slow start that replaces this one, under a different name."""
        replacement = QueueingEndpoint(
            f"{self.name}'", self.zone, self.capacity, self.cores, self.queue_limit
        )
        replacement.listed_weight = self.listed_weight
        replacement.cold_capacity_share = self.cold_capacity_share
        replacement.warm_up_time = self.warm_up_time
        replacement.restart(now)
        return replacement
