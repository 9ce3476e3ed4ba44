"""The budget of work that may be sent to an endpoint in slow start, checked over every window of time.

In any window of the rule's length, the work sent to an endpoint that has just started may be at most
`capacity_multiple` times the work that its present capacity at the end of the window would do over the whole
window. All work counts, also that of rejected, failed and retried attempts. This module does no I/O.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import sqrt

SECOND = 1_000_000  # one second in microseconds
# An excess is a violation if informed senders sent at least this share of the work in its window.
MIN_INFORMED_SHARE = 2 / 3


@dataclass(frozen=True)
class BudgetRule:
    """The parameters of the budget.

    Attributes:
        capacity_multiple: The allowed work, relative to the work that the endpoint can do in a window.
        window: The length of a window in microseconds.
        allowed_deviations: The allowance for random variation, in standard deviations of a Poisson count.
        mean_work: The seconds of work of one attempt, averaged with the work as weight.
    """

    capacity_multiple: float
    window: int
    allowed_deviations: float = 0.0
    mean_work: float = 0.0


@dataclass(frozen=True)
class ColdStart:
    """A start of an endpoint.

    Its capacity rises linearly from the cold capacity share to its full capacity within `warm_up_time`.

    Attributes:
        endpoint: The name of the endpoint.
        started_at: The time of the start in microseconds.
        warm_up_time: The length of the slow start in microseconds.
        cold_capacity_share: The share of its capacity that it has at the start.
        capacity: The seconds of work a second that it can do once it is warm.
    """

    endpoint: str
    started_at: int
    warm_up_time: int
    cold_capacity_share: float
    capacity: float

    def capacity_share(self, time: int) -> float:
        """Return the share of the full capacity that the endpoint has reached."""
        elapsed_share = min(1.0, max(0.0, (time - self.started_at) / self.warm_up_time))
        return self.cold_capacity_share + (1 - self.cold_capacity_share) * elapsed_share

    def present_capacity(self, time: int) -> float:
        """Return the seconds of work a second that the endpoint can do."""
        return self.capacity * self.capacity_share(time)

    def is_in_slow_start(self, time: int) -> bool:
        """Return whether the endpoint is in slow start."""
        return self.started_at <= time < self.started_at + self.warm_up_time


@dataclass(frozen=True)
class SentWork:
    """The work of one attempt at an endpoint.

    Attributes:
        sent_at: The time of the attempt in microseconds.
        work: The work in seconds.
        is_informed: Whether the sender knew of the start, by the last message to it or through its server.
        is_retry: Whether the attempt was a retry.
    """

    sent_at: int
    work: float
    is_informed: bool
    is_retry: bool = False


@dataclass(frozen=True)
class Excess:
    """A window in which more work was sent to an endpoint than its budget allows.

    Attributes:
        endpoint: The name of the endpoint.
        window_end: The end of the window in microseconds.
        age: The microseconds from the start of the endpoint to the end of the window.
        ratio: The work sent, relative to the work that the endpoint could do in the window.
        informed_share: The share of the sent work that came from informed senders.
        retry_share: The share of the sent work that came from retries.
    """

    endpoint: str
    window_end: int
    age: int
    ratio: float
    informed_share: float
    retry_share: float

    @property
    def is_violation(self) -> bool:
        """Whether the servers are responsible for the excess."""
        return self.informed_share >= MIN_INFORMED_SHARE


def window_budget(rule: BudgetRule, capacity: float) -> float:
    """Return the seconds of work that an endpoint of this present capacity may be sent in a window."""
    base = rule.capacity_multiple * capacity * rule.window / SECOND
    return base + rule.allowed_deviations * sqrt(base * rule.mean_work)


def iterate_windows(
    start: ColdStart, sent_work: Iterable[SentWork], rule: BudgetRule
) -> Iterator[tuple[float, Excess]]:
    """Yield each window that ends with an attempt, in order of time.

    Each item is the work in the window, relative to its budget, and the window as an excess, whether or not
    the budget is exceeded.
    """
    attempts_in_window: deque[SentWork] = deque()
    for attempt in sorted(sent_work, key=lambda attempt: attempt.sent_at):
        if not start.is_in_slow_start(attempt.sent_at) or attempt.work <= 0:
            continue
        attempts_in_window.append(attempt)
        while attempts_in_window[0].sent_at <= attempt.sent_at - rule.window:
            attempts_in_window.popleft()
        total = sum(earlier.work for earlier in attempts_in_window)
        capacity = start.present_capacity(attempt.sent_at)
        yield (
            total / window_budget(rule, capacity),
            Excess(
                start.endpoint,
                attempt.sent_at,
                attempt.sent_at - start.started_at,
                total / (capacity * rule.window / SECOND),
                sum(earlier.work for earlier in attempts_in_window if earlier.is_informed) / total,
                sum(earlier.work for earlier in attempts_in_window if earlier.is_retry) / total,
            ),
        )


def find_excesses(start: ColdStart, sent_work: Iterable[SentWork], rule: BudgetRule) -> list[Excess]:
    """Return every window over the budget, in order of time."""
    return [excess for used_share, excess in iterate_windows(start, sent_work, rule) if used_share > 1]


def find_violations(start: ColdStart, sent_work: Iterable[SentWork], rule: BudgetRule) -> list[Excess]:
    """Return the windows over the budget whose excess is a violation by the servers (`is_violation`)."""
    return [excess for excess in find_excesses(start, sent_work, rule) if excess.is_violation]


def find_fullest_window(
    start: ColdStart, sent_work: Iterable[SentWork], rule: BudgetRule
) -> tuple[float, Excess] | None:
    """Return the window that used the largest share of its budget, with that share.

    Only windows for which the servers would be responsible count; None if there is none.
    """
    return max(
        (window for window in iterate_windows(start, sent_work, rule) if window[1].is_violation),
        key=lambda window: window[0],
        default=None,
    )
