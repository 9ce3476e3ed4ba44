"""A pilot's decisions where its service's owner decides the tables.

Everything that guards the pilot's own proxies stays with the pilot: what the channel may carry, drains, cold endpoints,
staged changes, admission. Only how the requests of a zone are split over endpoints is the owner's word, while there is one.
"""

from collections.abc import Callable, Sequence

from ravenshelf.distribution.decisions.allowance import shares
from ravenshelf.distribution.decisions.fallback import Source
from ravenshelf.distribution.messages import TableLine
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.flow_control import ChannelFlowControl
from ravenshelf.settings import Settings

TABLE_TOTAL = 1000.0  # weights of a table add up to this, as in the pilot's own
ALL = 0.999  # of the requests: less is what allowances of cold endpoints leave over

OwnersTable = Callable[[int, int], tuple[Source, dict[str, TableLine]]]  # by time and proxy zone


class DistributedController(Controller):
    """The decision module, with the split of each zone taken from the owner's table."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        channel: ChannelFlowControl | None = None,
        *,
        owners_table: OwnersTable,
        index_of: Callable[[str], int | None],
    ):
        """`index_of` gives a listed endpoint's index."""
        super().__init__(settings, seed, channel)
        self.owners_table, self.index_of = owners_table, index_of

    def planned_tables(
        self, zone: int, strengths: list[dict[int, float]], needs: Sequence[float]
    ) -> list[dict[int, float]]:
        """The lines of a zone's tables: the owner's for all of them, or the own where it has none that can be used."""
        own = super().planned_tables(zone, strengths, needs)
        source, table = self.owners_table(self.now, zone)
        lines = self._lines(table) if source is not Source.LOCAL else {}
        return [dict(lines) for _ in own] if lines else own

    def _lines(self, table: dict[str, TableLine]) -> dict[int, float]:
        """The owner's table over the endpoints that are open here; empty where it can't carry all requests."""
        indices = {name: self.index_of(name) for name in table}
        closed = [
            name
            for name, index in indices.items()
            if index not in self.endpoints or not self.directory.is_open(self.endpoints[index])
        ]
        received = shares(table, closed)
        if sum(received.values()) < ALL:
            return {}
        return {indices[name]: max(0.01, round(TABLE_TOTAL * share, 2)) for name, share in received.items()}

    def owners_table_changed(self) -> None:
        """The next beat is due now: its staging takes the proxies over in some tenths of a second."""
        self.next_solve_at = min(self.next_solve_at, self.now)
