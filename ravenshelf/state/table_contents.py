"""The tables as they are ordered now, and what the present control cycle changes in them."""

from ravenshelf.policy import commands
from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.state.table_update import AdmissionLevel


class TableContents:
    """Weights, admission levels and ejected endpoints, each kept once for all proxies."""

    def __init__(self) -> None:
        self.weights: dict[int, dict[int, float]] = {}  # by table and endpoint; none is 0
        self.admission_levels: dict[int, dict[int, AdmissionLevel]] = {}  # by table and traffic group
        self.ejected_endpoints: set[int] = set()

    def has_endpoint(self, endpoint: int) -> bool:
        """Return whether a table holds the endpoint."""
        return any(endpoint in weights for weights in self.weights.values())

    def effective_admission_level(self, table: int | None, group: int) -> AdmissionLevel | None:
        """Return the lower of the table's level and the level of all tables, with the table's retry mode."""
        own = self.admission_levels.get(table, {}).get(group) if table is not None else None
        common = self.admission_levels.get(ALL_TABLES, {}).get(group)
        if own is None or common is None:
            return own or common
        return AdmissionLevel(min(own.level, common.level), own.retry_mode)


class CycleChanges:
    """What the commands of one control cycle have changed so far."""

    def __init__(self) -> None:
        self.weights: dict[int, dict[int, None]] = {}  # by table: endpoints, in the order of the commands
        self.level_groups: dict[int, set[int]] = {}  # by table: traffic groups with another admission level
        self.cleared_tables: set[int] = set()
        self.marker: int | None = None
        self.marker_for_all_proxies = False
        self.timers: list[commands.StartTimer] = []
        self.commands: list[commands.Command] = []

    def changed_tables(self) -> set[int]:
        """Return the tables with any change."""
        return {*self.weights, *self.level_groups, *self.cleared_tables}
