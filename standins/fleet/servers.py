"""Endpoints: how much they can do now, and a queue that sheds what it can't hold."""

from dataclasses import dataclass
from enum import Enum

from standins.fleet.clock import SECOND

WARM = 10 * SECOND
COLD = 0.2  # of its capacity, right after a start
BASE_LATENCY = 100_000  # of an idle server, where latency follows the load by one plain curve
REFUSAL_TIME = 2_000  # a refusal or an error is answered in about a round trip
CONNECT_TIMEOUT = 250_000  # a server that is gone answers nothing


class Server:
    """An endpoint whose load is a rate. Its latency and failures follow from load over strength."""

    def __init__(self, name: str, zone: int, capacity: float):
        self.name, self.zone, self.capacity = name, zone, capacity
        self.listed_weight = capacity
        self.state, self.started, self.failing = "ready", 0, 0.0
        self.cold_share, self.warm_after = COLD, WARM
        self.load = 0.0  # flows a second that all tables send it
        self.met: dict[int, float] = {}  # of that, by the zone of the proxies

    def warmth(self, now: int) -> float:
        """Share of its capacity that it has reached since its start."""
        if not self.started:
            return 1.0
        passed = min(1.0, (now - self.started) / self.warm_after)
        return self.cold_share + (1 - self.cold_share) * passed

    def is_cold(self, now: int) -> bool:
        return self.state == "ready" and bool(self.started) and now - self.started < self.warm_after

    def strength(self, now: int) -> float:
        """Flows a second that it can do now."""
        return 0.0 if self.state == "gone" else self.capacity * self.warmth(now)

    def answers(self, now: int) -> tuple[float, int]:
        """Share of its tries that fail, and how long the others take."""
        part = self.load / (self.strength(now) or 1e-9)
        failing = max(self.failing, 1 - 1 / part if part > 1 else 0.0)
        return failing, round(BASE_LATENCY * (1 + 2 * min(part, 2.0) ** 4))

    def successor(self, now: int) -> "Server":
        """A machine that comes in its place under a name of its own, cold."""
        new = Server(f"{self.name}'", self.zone, self.capacity)
        new.started = now
        return new


class Outcome(Enum):
    """What comes of a try. Only after `REFUSED` is it certain that the work was never begun."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed out"


@dataclass(frozen=True)
class Answer:
    """What a try will come to, and how long after it was sent."""

    outcome: Outcome
    after: int


class QueueServer(Server):
    """An endpoint with cores, a first-in-first-out queue counted in work, and places for a bounded number of tries."""

    def __init__(self, name: str, zone: int, capacity: float, cores: int, places: int):
        """`capacity` is seconds of work a second, over all `cores`."""
        super().__init__(name, zone, capacity)
        self.cores, self.places, self.slowed = cores, places, 1.0
        self.held, self.free_at, self.processes = 0, 0, 0

    def strength(self, now: int) -> float:
        return super().strength(now) / self.slowed

    def offer(self, now: int, work: float, fails: bool) -> Answer:
        """Takes a try into the queue, or refuses it; `release` has to follow when a taken one ends."""
        if self.state == "gone":
            return Answer(Outcome.REFUSED, CONNECT_TIMEOUT)
        if fails:
            return Answer(Outcome.FAILED, REFUSAL_TIME)
        if self.held >= self.places:
            return Answer(Outcome.REFUSED, REFUSAL_TIME)
        self.held += 1
        rate = self.strength(now)
        self.free_at = max(self.free_at, now) + round(work / rate * SECOND)
        alone = now + round(work * self.cores / rate * SECOND)  # one try runs on one core
        return Answer(Outcome.SERVED, max(self.free_at, alone) - now)

    def release(self, process: int) -> None:
        """A try that this process took has ended; those of an earlier one ended with it."""
        if process == self.processes:
            self.held -= 1

    def restart(self, now: int) -> None:
        """The process begins anew: cold, and with an empty queue."""
        self.started, self.state, self.free_at, self.held = now, "ready", now, 0
        self.processes += 1

    def successor(self, now: int) -> "QueueServer":
        new = QueueServer(f"{self.name}'", self.zone, self.capacity, self.cores, self.places)
        new.listed_weight = self.listed_weight
        new.cold_share, new.warm_after = self.cold_share, self.warm_after
        new.restart(now)
        return new
