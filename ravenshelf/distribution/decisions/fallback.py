"""What a pilot goes by for one zone of its service: the owner's table, the last one it had, or its own decisions."""

from enum import Enum

from ravenshelf.distribution.decisions.backoff import SECOND

HOLD_FOR = (
    10 * SECOND
)  # without an owner: four beats of the solver, then the last table is older than its evidence


class Source(Enum):
    """Whose table is in use."""

    OWNER = "owner"
    LAST_TABLE = "last table"
    LOCAL = "local"


class OwnerReach:
    """Whether an owner can be reached, and for how long not. Its table takes over again as soon as it can."""

    def __init__(self) -> None:
        self._lost_at: int | None = None

    def source(self, now: int, reachable: bool) -> Source:
        """Whose table is in use now, given whether the owner can be reached."""
        if reachable:
            self._lost_at = None
            return Source.OWNER
        if self._lost_at is None:
            self._lost_at = now
        return Source.LAST_TABLE if now - self._lost_at < HOLD_FOR else Source.LOCAL
