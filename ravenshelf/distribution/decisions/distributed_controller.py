"""A server's decisions where the owner of its service decides the tables.

Everything that protects the server's own proxies stays with the server: capacity of the control channel,
draining, slow start, staged rollouts, admission. Only how a zone's requests are split over endpoints is
decided by the owner, while there is one.
"""

from collections.abc import Callable, Sequence

from ravenshelf.distribution.decisions.allowance import received_shares
from ravenshelf.distribution.decisions.fallback import TableSource
from ravenshelf.distribution.messages import TableLine
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.flow_control import ChannelFlowControl
from ravenshelf.settings import Settings

TABLE_WEIGHT_SUM = 1000.0  # sum of a table's weights, as in the server's own tables
SMALLEST_WEIGHT = 0.01
MIN_COMPLETE_SHARE = 0.999  # share of the requests; less is left where only bounded lines remain

OwnerTableLookup = Callable[[int, int], tuple[TableSource, dict[str, TableLine]]]  # by time and proxy zone


class DistributedController(Controller):
    """The decisions of a server, with the split of each zone taken from the owner's table."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        channel: ChannelFlowControl | None = None,
        *,
        owner_table: OwnerTableLookup,
        index_of: Callable[[str], int | None],
    ):
        """`index_of`: returns a listed endpoint's index."""
        super().__init__(settings, seed, channel)
        self.owner_table = owner_table
        self.index_of = index_of

    def planned_tables(
        self, zone: int, effective_weights: list[dict[int, float]], partition_demand: Sequence[float]
    ) -> list[dict[int, float]]:
        """Return the lines of a zone's tables: the owner's for all, or the own if that can't be used."""
        own = super().planned_tables(zone, effective_weights, partition_demand)
        source, table = self.owner_table(self.now, zone)
        lines = self._lines(table) if source is not TableSource.LOCAL else {}
        return [dict(lines) for _ in own] if lines else own

    def _lines(self, table: dict[str, TableLine]) -> dict[int, float]:
        """Return the owner's table over the endpoints that are open here; empty if it can't carry all
        requests."""
        indices: dict[str, int] = {}
        closed: list[str] = []
        for name in table:
            index = self.index_of(name)
            if (
                index is None
                or index not in self.endpoints
                or not self.directory.is_usable(self.endpoints[index])
            ):
                closed.append(name)
            else:
                indices[name] = index
        received = received_shares(table, closed)
        if sum(received.values()) < MIN_COMPLETE_SHARE:
            return {}
        return {
            indices[name]: max(SMALLEST_WEIGHT, round(TABLE_WEIGHT_SUM * share, 2))
            for name, share in received.items()
        }

    def owner_table_changed(self) -> None:
        """Solve in the next control cycle: the rollout reaches all proxies in some tenths of a second."""
        self.next_solve_at = min(self.next_solve_at, self.now)
