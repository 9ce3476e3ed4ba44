"""Decisions of a server whose service's tables are decided by the service owner.

Everything that protects the server's own proxies stays with the server: capacity of the control channel,
draining, slow start, staged rollouts, admission. Only the split of a zone's requests over endpoints is
decided by the owner, while the owner can be reached.
"""

from collections.abc import Callable, Sequence

from ravenshelf.distribution.decisions.allowance import received_shares
from ravenshelf.distribution.decisions.fallback import TableSource
from ravenshelf.distribution.messages import TableLine
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.flow_control import ChannelFlowControl
from ravenshelf.settings import Settings

TABLE_WEIGHT_SUM = 1000.0  # The sum of a table's weights, as in the tables that a server decides itself.
SMALLEST_WEIGHT = 0.01
# Endpoints whose shares add up to less than this can't receive all requests. That happens only if all of them
# have reached the upper bounds of their shares, or if there are no endpoints.
MIN_COMPLETE_SHARE = 0.999

# Returns the origin of the table to use, and the owner's table. The arguments are the time (microseconds) and
# the proxy zone.
OwnerTableLookup = Callable[[int, int], tuple[TableSource, dict[str, TableLine]]]


class DistributedController(Controller):
    """Controller that uses the owner's table for the split of each zone's requests."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        channel: ChannelFlowControl | None = None,
        *,
        owner_table: OwnerTableLookup,
        index_of: Callable[[str], int | None],
    ):
        """Create a controller.

        Args:
            settings: Passed on to `Controller`.
            seed: Passed on to `Controller`.
            channel: Passed on to `Controller`.
            owner_table: Returns the origin of the table to use, and the owner's table.
            index_of: Returns the index of a listed endpoint by its name, or None.
        """
        super().__init__(settings, seed, channel)
        self.owner_table = owner_table
        self.index_of = index_of

    def planned_tables(
        self, zone: int, effective_weights: list[dict[int, float]], partition_demand: Sequence[float]
    ) -> list[dict[int, float]]:
        """Return the lines of each of a zone's tables, as weights by endpoint index.

        All tables have the owner's lines, or the lines decided here if the owner's can't be used.
        """
        local_tables = super().planned_tables(zone, effective_weights, partition_demand)
        source, table = self.owner_table(self.now, zone)
        owner_weights = self._owner_weights(table) if source is not TableSource.LOCAL else {}
        return [dict(owner_weights) for _ in local_tables] if owner_weights else local_tables

    def _owner_weights(self, table: dict[str, TableLine]) -> dict[int, float]:
        """Return the owner's weights of the endpoints that are open here, by endpoint index.

        The result is empty if these endpoints can't receive all requests.
        """
        indices: dict[str, int] = {}
        unavailable_endpoints: list[str] = []
        for name in table:
            index = self.index_of(name)
            if (
                index is None
                or index not in self.endpoints
                or not self.directory.is_usable(self.endpoints[index])
            ):
                unavailable_endpoints.append(name)
            else:
                indices[name] = index
        shares = received_shares(table, unavailable_endpoints)
        if sum(shares.values()) < MIN_COMPLETE_SHARE:
            return {}
        return {
            indices[name]: max(SMALLEST_WEIGHT, round(TABLE_WEIGHT_SUM * share, 2))
            for name, share in shares.items()
        }

    def owner_table_changed(self) -> None:
        """Solve in the next control cycle instead of the next solve interval.

        The rollout then reaches all proxies within some tenths of a second.
        """
        self.next_solve_at = min(self.next_solve_at, self.now)
