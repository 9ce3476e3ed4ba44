"""The budget of work that an endpoint in slow start may be sent, checked over every window. No I/O.

In any window of the rule's length, an endpoint that has just started may be sent at most `multiple` times its
present capacity at the window's end, over the whole length. All work counts: rejected, failed and retried
attempts too.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import sqrt

SECOND = 1_000_000
MIN_INFORMED_SHARE = 2 / 3  # of the work in a window, for the excess to count against the servers


@dataclass(frozen=True)
class BudgetRule:
    """The rule's parameters; `deviations` standard deviations of a Poisson count are allowed for chance."""

    multiple: float
    window: int  # microseconds
    deviations: float = 0.0
    mean_work: float = 0.0  # seconds of work of one attempt, weighted by work


@dataclass(frozen=True)
class ColdStart:
    """A start of an endpoint: its capacity rises linearly from the cold share to the full within
    `warm_up_time`."""

    endpoint: str
    started: int
    warm_up_time: int
    cold_capacity_share: float
    capacity: float  # seconds of work a second when warm

    def capacity_share(self, at: int) -> float:
        """Return the share of the capacity that it has reached."""
        passed = min(1.0, max(0.0, (at - self.started) / self.warm_up_time))
        return self.cold_capacity_share + (1 - self.cold_capacity_share) * passed

    def present_capacity(self, at: int) -> float:
        """Return the seconds of work a second that it can do."""
        return self.capacity * self.capacity_share(at)

    def covers(self, at: int) -> bool:
        """Return whether it is in slow start."""
        return self.started <= at < self.started + self.warm_up_time


@dataclass(frozen=True)
class SentWork:
    """Work of one attempt. `informed`: the sender knew of the start, by its last message or by its server."""

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
        """Whether the excess counts against the servers."""
        return self.informed_share >= MIN_INFORMED_SHARE


def budget(rule: BudgetRule, capacity: float) -> float:
    """Return the work that a window may bring to an endpoint of this present capacity."""
    base = rule.multiple * capacity * rule.window / SECOND
    return base + rule.deviations * sqrt(base * rule.mean_work)


def windows(start: ColdStart, sent: Iterable[SentWork], rule: BudgetRule) -> Iterator[tuple[float, Excess]]:
    """Yield each window that ends with an attempt: its work over its budget, and the excess it would be."""
    held_lines: deque[SentWork] = deque()
    for work in sorted(sent, key=lambda work: work.at):
        if not start.covers(work.at) or work.work <= 0:
            continue
        held_lines.append(work)
        while held_lines[0].at <= work.at - rule.window:
            held_lines.popleft()
        total = sum(one.work for one in held_lines)
        capacity = start.present_capacity(work.at)
        yield (
            total / budget(rule, capacity),
            Excess(
                start.endpoint,
                work.at,
                work.at - start.started,
                total / (capacity * rule.window / SECOND),
                sum(one.work for one in held_lines if one.informed) / total,
                sum(one.work for one in held_lines if one.repeated) / total,
            ),
        )


def excesses(start: ColdStart, sent: Iterable[SentWork], rule: BudgetRule) -> list[Excess]:
    """Return every window over the budget, in order of time."""
    return [excess for used, excess in windows(start, sent, rule) if used > 1]


def violations(start: ColdStart, sent: Iterable[SentWork], rule: BudgetRule) -> list[Excess]:
    """Return the windows over the budget that count against the servers."""
    return [excess for excess in excesses(start, sent, rule) if excess.violates]


def nearest(start: ColdStart, sent: Iterable[SentWork], rule: BudgetRule) -> tuple[float, Excess] | None:
    """Return the window that used most of its budget, among those that would count against the servers."""
    return max(
        (window for window in windows(start, sent, rule) if window[1].violates),
        key=lambda window: window[0],
        default=None,
    )
