"""The budget of work that a cold endpoint may be sent, checked over every window. Pure.

An endpoint that has just started may be sent, in any window of the rule's length, at most `multiple` times what it can do
at the window's end, over the whole length. All work counts: refused, failed and repeated tries too.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import sqrt

SECOND = 1_000_000
INFORMED_LEAST = 2 / 3  # of the work in a window, for the excess to be the pilots' fault


@dataclass(frozen=True)
class BudgetRule:
    """The rule's figures; `deviations` standard deviations of a Poisson count are allowed for chance."""

    multiple: float
    window: int  # microseconds
    deviations: float = 0.0
    mean_work: float = 0.0  # seconds of work that one try brings, weighted by work


@dataclass(frozen=True)
class ColdStart:
    """One start of an endpoint: its capacity rises evenly from the cold share to the full within `warm_after`."""

    endpoint: str
    started: int
    warm_after: int
    cold_share: float
    capacity: float  # seconds of work a second when warm

    def ramp(self, at: int) -> float:
        """Share of the capacity reached."""
        passed = min(1.0, max(0.0, (at - self.started) / self.warm_after))
        return self.cold_share + (1 - self.cold_share) * passed

    def present_capacity(self, at: int) -> float:
        return self.capacity * self.ramp(at)

    def covers(self, at: int) -> bool:
        return self.started <= at < self.started + self.warm_after


@dataclass(frozen=True)
class SentWork:
    """The work of one try. `informed`: its proxy's last message, or its pilot for the grace, had known of the start."""

    at: int
    work: float
    informed: bool
    repeated: bool = False


@dataclass(frozen=True)
class Excess:
    """A window in which an endpoint was sent more than its budget."""

    endpoint: str
    at: int  # the window's end
    age: int  # of the endpoint at that time
    ratio: float  # work sent over what it could do in the window
    informed_share: float  # of that work
    repeated_share: float

    @property
    def violates(self) -> bool:
        """Whether the excess counts against the pilots."""
        return self.informed_share >= INFORMED_LEAST


def budget(rule: BudgetRule, capacity: float) -> float:
    """Work that a window may bring to an endpoint of this present capacity."""
    base = rule.multiple * capacity * rule.window / SECOND
    return base + rule.deviations * sqrt(base * rule.mean_work)


def windows(start: ColdStart, sent: Iterable[SentWork], rule: BudgetRule) -> Iterator[tuple[float, Excess]]:
    """Each window that ends with a try at the cold endpoint: its work over its budget, and what an excess would say."""
    held: deque[SentWork] = deque()
    for work in sorted(sent, key=lambda work: work.at):
        if not start.covers(work.at) or work.work <= 0:
            continue
        held.append(work)
        while held[0].at <= work.at - rule.window:
            held.popleft()
        total = sum(one.work for one in held)
        capacity = start.present_capacity(work.at)
        yield (
            total / budget(rule, capacity),
            Excess(
                start.endpoint,
                work.at,
                work.at - start.started,
                total / (capacity * rule.window / SECOND),
                sum(one.work for one in held if one.informed) / total,
                sum(one.work for one in held if one.repeated) / total,
            ),
        )


def excesses(start: ColdStart, sent: Iterable[SentWork], rule: BudgetRule) -> list[Excess]:
    """Every window over the budget, in order of time."""
    return [excess for used, excess in windows(start, sent, rule) if used > 1]


def violations(start: ColdStart, sent: Iterable[SentWork], rule: BudgetRule) -> list[Excess]:
    """Windows over the budget that count against the pilots."""
    return [excess for excess in excesses(start, sent, rule) if excess.violates]


def nearest(start: ColdStart, sent: Iterable[SentWork], rule: BudgetRule) -> tuple[float, Excess] | None:
    """The window that used most of its budget, among those that would count against the pilots."""
    return max(
        (window for window in windows(start, sent, rule) if window[1].violates),
        key=lambda window: window[0],
        default=None,
    )
