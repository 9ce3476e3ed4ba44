"""Choice of the table that a server uses for one zone of its service.

It is the owner's table, the last one received from the owner, or the table that the server decides itself.
"""

from enum import Enum

from ravenshelf.time_units import SECOND

# After four solve intervals the load reports from which the last table was computed are outdated.
LAST_TABLE_VALIDITY_US = 10 * SECOND


class TableSource(Enum):
    """Origin of the table in use."""

    OWNER = "owner"
    LAST_TABLE = "last table"
    LOCAL = "local"


class OwnerReachability:
    """Record of how long the service owner has been unreachable.

    The owner's table is used again as soon as the owner can be reached.
    """

    def __init__(self) -> None:
        # The time in microseconds since which the owner is unreachable; None while it can be reached.
        self._lost_at: int | None = None

    def table_source(self, now: int, is_reachable: bool) -> TableSource:
        """Return the origin of the table to use at the time `now` (microseconds).

        Args:
            now: The present time.
            is_reachable: Whether the owner can be reached at present.
        """
        if is_reachable:
            self._lost_at = None
            return TableSource.OWNER
        if self._lost_at is None:
            self._lost_at = now
        return TableSource.LAST_TABLE if now - self._lost_at < LAST_TABLE_VALIDITY_US else TableSource.LOCAL
