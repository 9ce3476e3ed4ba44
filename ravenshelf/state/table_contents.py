"""The tables as commanded, and the changes that the present control cycle makes to them."""

from ravenshelf.policy import commands
from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.state.table_update import AdmissionLevel


class TableContents:
    """Weights, admission levels and ejected endpoints, stored once for all proxies.

    Attributes:
        weights: Weights above 0, by table and endpoint.
        admission_levels: Admission levels, by table and traffic group.
        ejected_endpoints: Endpoints that are ejected from every table.
    """

    def __init__(self) -> None:
        self.weights: dict[int, dict[int, float]] = {}
        self.admission_levels: dict[int, dict[int, AdmissionLevel]] = {}
        self.ejected_endpoints: set[int] = set()

    def has_endpoint(self, endpoint: int) -> bool:
        """Return whether any table contains the endpoint."""
        return any(endpoint in weights for weights in self.weights.values())

    def effective_admission_level(self, table: int | None, group: int) -> AdmissionLevel | None:
        """Return the admission level that applies to a traffic group of the proxies bound to a table.

        Args:
            table: Index of the table, or None for proxies that are not bound to one.
            group: Index of the traffic group.

        Returns:
            The lower of the table's level and the level of all tables, with the table's retry mode. If
            only one of them is set, that level; None if neither is set.
        """
        table_level = self.admission_levels.get(table, {}).get(group) if table is not None else None
        common_level = self.admission_levels.get(ALL_TABLES, {}).get(group)
        if table_level is None or common_level is None:
            return table_level or common_level
        return AdmissionLevel(min(table_level.level, common_level.level), table_level.retry_mode)


class CycleChanges:
    """The changes that the commands of one control cycle have made so far.

    Attributes:
        weights: Endpoints whose weight was set, by table; the keys are in the order of the commands.
        level_groups: Traffic groups whose admission level was set, by table.
        cleared_tables: Tables that were cleared.
        marker: Marker of the cycle's messages, or None.
        marker_for_all_proxies: Whether proxies without other changes are sent the marker too.
        timers: Timers to start.
        commands: The commands to carry out after the messages are written, except timers.
    """

    def __init__(self) -> None:
        self.weights: dict[int, dict[int, None]] = {}
        self.level_groups: dict[int, set[int]] = {}
        self.cleared_tables: set[int] = set()
        self.marker: int | None = None
        self.marker_for_all_proxies = False
        self.timers: list[commands.StartTimer] = []
        self.commands: list[commands.Command] = []

    def changed_tables(self) -> set[int]:
        """Return the tables with any change."""
        return {*self.weights, *self.level_groups, *self.cleared_tables}
