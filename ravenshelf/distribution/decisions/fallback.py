"""What a pilot goes by for one service: the owner's table, the last one it had, or its own decisions."""

from enum import Enum

from ravenshelf.distribution.decisions.backoff import SECOND
from ravenshelf.distribution.decisions.planner import ServicePlanner, endpoints_of, table_of
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Report, TableLine

HOLD_FOR = 10 * SECOND  # without an owner: four beats of the solver, then the last table is older than its evidence


class Source(Enum):
    """Whose table is in use."""

    OWNER = "owner"
    LAST_TABLE = "last table"
    LOCAL = "local"


class PilotService:
    """One service at one pilot. Without an owner the last table holds; after a while the pilot's own proxies' sums decide
    the spill anew, over the endpoints last listed. An owner's table that comes later takes over at once."""

    def __init__(self, service: str, listed: Topic, table: Topic, zone: int, provisioning: dict, seed: int):
        """`listed` and `table` are the topics of the service and of its zone, as the subscription keeps them."""
        self.service, self.listed, self.owners_table, self.zone, self.seed = service, listed, table, zone, seed
        self.provisioning = provisioning
        self.owner_lost_at: int | None = None
        self.local: ServicePlanner | None = None

    def owner_reachable(self, now: int, reachable: bool) -> None:
        """Told when it changes whether the owner can be reached through the tree."""
        if reachable:
            self.owner_lost_at = self.local = None
        elif self.owner_lost_at is None:
            self.owner_lost_at = now

    def source(self, now: int) -> Source:
        """Whose table is in use now."""
        if self.owner_lost_at is None:
            return Source.OWNER
        if now - self.owner_lost_at < HOLD_FOR or not endpoints_of(self.listed.entries):
            return Source.LAST_TABLE
        return Source.LOCAL

    def report(self, report: Report, window: int) -> None:
        """The own proxies' sums; they count only while the pilot decides for itself."""
        if self.local is not None:
            self.local.report(report, window)

    def round(self, now: int) -> None:
        """Called each quarter second; costs nothing while there is an owner."""
        if self.source(now) is not Source.LOCAL:
            return
        if self.local is None:
            self.local = ServicePlanner(self.service, self.provisioning, self.seed)
            self.local.configure(endpoints_of(self.listed.entries))
            self.local.subscribe_zone(self.zone)
        self.local.round(now)

    def table(self, now: int) -> dict[str, TableLine]:
        """The lines in use; the last table of the owner until the own decisions have one."""
        if self.source(now) is Source.LOCAL and self.local is not None:
            own = table_of(self.local.zone_entries(self.zone))
            if own:
                return own
        return table_of(self.owners_table.entries)
