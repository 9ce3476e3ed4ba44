"""All work that endpoints in slow start are sent, by their starts."""

from collections import defaultdict

from standins.fleet.budget import BudgetRule, ColdStart, Excess, SentWork, nearest, violations
from standins.fleet.endpoints import QueueingEndpoint


class Ledger:
    """Records the work of each start and checks it against the budget."""

    def __init__(self, rule: BudgetRule):
        self.rule = rule
        self.sent: dict[ColdStart, list[SentWork]] = defaultdict(list)
        self._starts: dict[str, ColdStart] = {}  # by endpoint: the newest start

    def record(self, endpoint: QueueingEndpoint, work: SentWork) -> None:
        """Record work sent to an endpoint in slow start."""
        self.sent[self._start(endpoint)].append(work)

    def _start(self, endpoint: QueueingEndpoint) -> ColdStart:
        start = self._starts.get(endpoint.name)
        if start is None or start.started != endpoint.started:
            start = ColdStart(
                endpoint.name,
                endpoint.started,
                endpoint.warm_up_time,
                endpoint.cold_capacity_share,
                endpoint.capacity,
            )
            self._starts[endpoint.name] = start
        return start

    def violations(self) -> list[Excess]:
        """Return the worst window of each start whose budget was exceeded."""
        found = [violations(start, sent, self.rule) for start, sent in self.sent.items()]
        return [max(broken, key=lambda excess: excess.ratio) for broken in found if broken]

    def nearest(self) -> tuple[float, Excess] | None:
        """Return the window of any start that used most of its budget."""
        used = [nearest(start, sent, self.rule) for start, sent in self.sent.items()]
        return max((window for window in used if window), key=lambda window: window[0], default=None)
