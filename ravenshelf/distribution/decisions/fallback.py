"""Which table a server uses for one zone of its service: the owner's, the last one received, or its own."""

from enum import Enum

from ravenshelf.distribution.decisions.backoff import SECOND

LAST_TABLE_VALIDITY_US = (
    10 * SECOND
)  # four solve intervals; then the last table is older than the evidence it rests on


class TableSource(Enum):
    """Whose table is in use."""

    OWNER = "owner"
    LAST_TABLE = "last table"
    LOCAL = "local"


class OwnerReachability:
    """How long the service owner has been unreachable. Its table is used again once it is back."""

    def __init__(self) -> None:
        self._lost_at: int | None = None

    def table_source(self, now: int, reachable: bool) -> TableSource:
        """Return whose table is in use now, given whether the owner can be reached."""
        if reachable:
            self._lost_at = None
            return TableSource.OWNER
        if self._lost_at is None:
            self._lost_at = now
        return TableSource.LAST_TABLE if now - self._lost_at < LAST_TABLE_VALIDITY_US else TableSource.LOCAL
