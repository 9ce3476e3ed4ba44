"""All work that cold endpoints are sent, by their starts."""

from collections import defaultdict

from standins.fleet.budget import BudgetRule, ColdStart, Excess, SentWork, nearest, violations
from standins.fleet.servers import QueueServer


class Ledger:
    def __init__(self, rule: BudgetRule):
        self.rule = rule
        self.sent: dict[ColdStart, list[SentWork]] = defaultdict(list)
        self._starts: dict[str, ColdStart] = {}  # by endpoint: the newest

    def record(self, server: QueueServer, work: SentWork) -> None:
        self.sent[self._start(server)].append(work)

    def _start(self, server: QueueServer) -> ColdStart:
        start = self._starts.get(server.name)
        if start is None or start.started != server.started:
            start = ColdStart(
                server.name, server.started, server.warm_after, server.cold_share, server.capacity
            )
            self._starts[server.name] = start
        return start

    def violations(self) -> list[Excess]:
        """The worst window of each start whose budget was broken."""
        found = [violations(start, sent, self.rule) for start, sent in self.sent.items()]
        return [max(broken, key=lambda excess: excess.ratio) for broken in found if broken]

    def nearest(self) -> tuple[float, Excess] | None:
        """The window of any start that used most of its budget."""
        used = [nearest(start, sent, self.rule) for start, sent in self.sent.items()]
        return max((window for window in used if window), key=lambda window: window[0], default=None)
