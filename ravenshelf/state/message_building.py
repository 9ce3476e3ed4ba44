"""Builds the message of one control cycle for one proxy."""

from collections.abc import Iterable

from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.state.proxy_table_state import ProxyTableState
from ravenshelf.state.table_contents import CycleChanges, TableContents
from ravenshelf.state.table_update import AdmissionLevel, TableUpdate


class MessageBuilder:
    """Builds messages from the tables' contents and one cycle's changes.

    `groups` are the indices of all traffic groups.
    """

    def __init__(self, groups: tuple[int, ...], contents: TableContents, changes: CycleChanges):
        self.groups = groups
        self.contents = contents
        self.changes = changes

    def build_updates(self, proxy: ProxyTableState) -> list[TableUpdate]:
        """Return the updates of the proxy's message; empty where nothing changes for it."""
        updates: list[TableUpdate] = []
        added: dict[int, None] = {}  # endpoints to which the message gives a weight
        for table, groups in self._groups_by_table(proxy).items():
            if table is None:
                self._add_levels(None, groups, updates)
            else:
                self._add_table(proxy, table, groups, updates, added)
        ejected, readmitted = self._ejections(proxy, added)
        if ejected or readmitted:
            updates = updates or [TableUpdate()]
            updates[0].ejected_endpoints = ejected
            updates[0].readmitted_endpoints = readmitted
        return updates

    def _groups_by_table(self, proxy: ProxyTableState) -> dict[int | None, list[int]]:
        groups: dict[int | None, list[int]] = {}
        for group in self.groups:
            groups.setdefault(proxy.table_by_group.get(group), []).append(group)
        return groups

    def _add_table(
        self,
        proxy: ProxyTableState,
        table: int,
        groups: list[int],
        updates: list[TableUpdate],
        added: dict[int, None],
    ) -> None:
        """Add the complete table for new groups, its changes for the others, then the levels."""
        weights = self.contents.weights.get(table, {})
        is_cleared = table in self.changes.cleared_tables
        new_groups = [group for group in groups if is_cleared or group in proxy.rebound_groups]
        old_groups = [group for group in groups if group not in new_groups]
        if new_groups:
            updates.append(TableUpdate(self._groups_or_all(new_groups), True, list(weights.items())))
            added.update(dict.fromkeys(weights))
        changes = [(endpoint, weights.get(endpoint, 0.0)) for endpoint in self.changes.weights.get(table, ())]
        if old_groups and changes:
            updates.append(TableUpdate(self._groups_or_all(old_groups), False, changes))
            added.update(dict.fromkeys(endpoint for endpoint, weight in changes if weight))
        self._add_levels(table, old_groups, updates, new_groups)

    def _groups_or_all(self, groups: list[int]) -> tuple[int, ...]:
        return () if len(groups) == len(self.groups) else tuple(groups)

    def _add_levels(
        self,
        table: int | None,
        old_groups: list[int],
        updates: list[TableUpdate],
        new_groups: Iterable[int] = (),
    ) -> None:
        """Add the admission levels that changed.

        A complete table resets the levels at the proxy, so for new groups all of them are added.
        """
        changed = self.changes.level_groups.get(ALL_TABLES, set())
        if table is not None:
            changed = changed | self.changes.level_groups.get(table, set())
        groups_by_level: dict[AdmissionLevel, list[int]] = {}
        for group in sorted([*new_groups, *(group for group in old_groups if group in changed)]):
            level = self.contents.effective_admission_level(table, group)
            if level is not None:
                groups_by_level.setdefault(level, []).append(group)
        for level, groups in groups_by_level.items():
            update_groups = self._groups_or_all(groups)
            if updates and updates[-1].groups == update_groups and updates[-1].admission_level is None:
                updates[-1].admission_level = level
            else:
                updates.append(TableUpdate(update_groups, admission_level=level))

    def _ejections(self, proxy: ProxyTableState, added: dict[int, None]) -> tuple[list[int], list[int]]:
        """Return the endpoints to eject and to readmit: as few as its tables after this cycle need."""
        ejected: list[int] = []
        readmitted: list[int] = []
        tables = [self.contents.weights.get(table, {}) for table in set(proxy.table_by_group.values())]
        is_partly_bound = len(proxy.table_by_group) < len(self.groups)  # its other tables may hold anything
        for endpoint in sorted({*proxy.changed_ejections, *added}):
            if endpoint in self.contents.ejected_endpoints:
                may_hold = is_partly_bound or any(endpoint in weights for weights in tables)
                if may_hold and endpoint not in proxy.ejected_endpoints:
                    ejected.append(endpoint)
            elif proxy.has_ejected(endpoint) or self._needs_reconciliation(proxy, endpoint):
                readmitted.append(endpoint)
        return ejected, readmitted

    @staticmethod
    def _needs_reconciliation(proxy: ProxyTableState, endpoint: int) -> bool:
        if not proxy.has_unknown_history or endpoint in proxy.reconciled_endpoints:
            return False
        return endpoint in proxy.changed_ejections
