"""A record of the work sent to endpoints in slow start, by the start of the endpoint."""

from collections import defaultdict

from standins.fleet.budget import (
    BudgetRule,
    ColdStart,
    Excess,
    SentWork,
    find_fullest_window,
    find_violations,
)
from standins.fleet.endpoints import QueueingEndpoint


class Ledger:
    """Records the work sent after each start and checks it against the budget."""

    def __init__(self, rule: BudgetRule):
        self.rule = rule
        self.sent_work: dict[ColdStart, list[SentWork]] = defaultdict(list)
        # The latest start of each endpoint, by its name.
        self._latest_starts: dict[str, ColdStart] = {}

    def record(self, endpoint: QueueingEndpoint, work: SentWork) -> None:
        """Record work sent to an endpoint in slow start."""
        self.sent_work[self._latest_start(endpoint)].append(work)

    def _latest_start(self, endpoint: QueueingEndpoint) -> ColdStart:
        start = self._latest_starts.get(endpoint.name)
        if start is None or start.started_at != endpoint.started_at:
            start = ColdStart(
                endpoint.name,
                endpoint.started_at,
                endpoint.warm_up_time,
                endpoint.cold_capacity_share,
                endpoint.capacity,
            )
            self._latest_starts[endpoint.name] = start
        return start

    def find_violations(self) -> list[Excess]:
        """Return the worst violation of each start after which the budget was exceeded."""
        violations_by_start = [
            find_violations(start, sent_work, self.rule) for start, sent_work in self.sent_work.items()
        ]
        return [
            max(violations, key=lambda excess: excess.ratio)
            for violations in violations_by_start
            if violations
        ]

    def find_fullest_window(self) -> tuple[float, Excess] | None:
        """Return the window that used the largest share of its budget, over all starts, with that share.

        Only windows for which the servers would be responsible count; None if there is none.
        """
        fullest_windows = [
            find_fullest_window(start, sent_work, self.rule) for start, sent_work in self.sent_work.items()
        ]
        return max(
            (window for window in fullest_windows if window), key=lambda window: window[0], default=None
        )
