"""Construction of the message of one control cycle for one proxy."""

from collections.abc import Iterable

from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.state.proxy_table_state import ProxyTableState
from ravenshelf.state.table_contents import CycleChanges, TableContents
from ravenshelf.state.table_update import AdmissionLevel, TableUpdate


class MessageBuilder:
    """Builder of messages from the contents of the tables and one cycle's changes to them.

    Args:
        groups: Indices of all traffic groups.
        contents: The tables after the cycle's changes.
        changes: The cycle's changes.
    """

    def __init__(self, groups: tuple[int, ...], contents: TableContents, changes: CycleChanges):
        self.groups = groups
        self.contents = contents
        self.changes = changes

    def build_updates(self, proxy: ProxyTableState) -> list[TableUpdate]:
        """Return the table updates of a proxy's message, or an empty list if nothing changes for it."""
        updates: list[TableUpdate] = []
        weighted_endpoints: dict[int, None] = {}  # endpoints that the message gives a weight above 0
        for table, groups in self._groups_by_table(proxy).items():
            if table is None:
                self._add_levels(None, groups, updates)
            else:
                self._add_table(proxy, table, groups, updates, weighted_endpoints)
        endpoints_to_eject, endpoints_to_readmit = self._select_ejections(proxy, weighted_endpoints)
        if endpoints_to_eject or endpoints_to_readmit:
            updates = updates or [TableUpdate()]
            updates[0].ejected_endpoints = endpoints_to_eject
            updates[0].readmitted_endpoints = endpoints_to_readmit
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
        weighted_endpoints: dict[int, None],
    ) -> None:
        """Add the updates of a table: complete for new groups, only its changes for the others, then levels.

        A group is new if the proxy was bound to the table for it in this cycle. All groups are new if the
        table was cleared.
        """
        weights = self.contents.weights.get(table, {})
        is_cleared = table in self.changes.cleared_tables
        new_groups = [group for group in groups if is_cleared or group in proxy.rebound_groups]
        old_groups = [group for group in groups if group not in new_groups]
        if new_groups:
            updates.append(TableUpdate(self._groups_or_all(new_groups), True, list(weights.items())))
            weighted_endpoints.update(dict.fromkeys(weights))
        changes = [(endpoint, weights.get(endpoint, 0.0)) for endpoint in self.changes.weights.get(table, ())]
        if old_groups and changes:
            updates.append(TableUpdate(self._groups_or_all(old_groups), False, changes))
            weighted_endpoints.update(dict.fromkeys(endpoint for endpoint, weight in changes if weight))
        self._add_levels(table, old_groups, updates, new_groups)

    def _groups_or_all(self, groups: list[int]) -> tuple[int, ...]:
        """Return the groups as a `TableUpdate` names them: an empty tuple stands for all groups."""
        return () if len(groups) == len(self.groups) else tuple(groups)

    def _add_levels(
        self,
        table: int | None,
        old_groups: list[int],
        updates: list[TableUpdate],
        new_groups: Iterable[int] = (),
    ) -> None:
        """Add the changed admission levels of the old groups, and all admission levels of the new groups.

        A complete table resets the levels at the proxy, so the levels of new groups are sent again. A level
        is added to the last update if that has the same groups and no level yet, and otherwise as an update
        of its own.
        """
        changed_groups = self.changes.level_groups.get(ALL_TABLES, set())
        if table is not None:
            changed_groups = changed_groups | self.changes.level_groups.get(table, set())
        groups_by_level: dict[AdmissionLevel, list[int]] = {}
        for group in sorted([*new_groups, *(group for group in old_groups if group in changed_groups)]):
            level = self.contents.effective_admission_level(table, group)
            if level is not None:
                groups_by_level.setdefault(level, []).append(group)
        for level, groups in groups_by_level.items():
            update_groups = self._groups_or_all(groups)
            if updates and updates[-1].groups == update_groups and updates[-1].admission_level is None:
                updates[-1].admission_level = level
            else:
                updates.append(TableUpdate(update_groups, admission_level=level))

    def _select_ejections(
        self, proxy: ProxyTableState, weighted_endpoints: dict[int, None]
    ) -> tuple[list[int], list[int]]:
        """Return the endpoints that the message ejects and those that it readmits.

        An endpoint is ejected only if the proxy may use it after this cycle and has not ejected it on this
        stream. It is readmitted only if the proxy has ejected it, or may have done so by commands that this
        server does not know.
        """
        endpoints_to_eject: list[int] = []
        endpoints_to_readmit: list[int] = []
        tables = [self.contents.weights.get(table, {}) for table in set(proxy.table_by_group.values())]
        # A proxy that is not bound to a table for every group may use any table for the other groups.
        is_partially_bound = len(proxy.table_by_group) < len(self.groups)
        for endpoint in sorted({*proxy.changed_ejections, *weighted_endpoints}):
            if endpoint in self.contents.ejected_endpoints:
                may_use_endpoint = is_partially_bound or any(endpoint in weights for weights in tables)
                if may_use_endpoint and endpoint not in proxy.ejected_endpoints:
                    endpoints_to_eject.append(endpoint)
            elif proxy.has_ejected(endpoint) or self._needs_reconciliation(proxy, endpoint):
                endpoints_to_readmit.append(endpoint)
        return endpoints_to_eject, endpoints_to_readmit

    @staticmethod
    def _needs_reconciliation(proxy: ProxyTableState, endpoint: int) -> bool:
        """Return whether to send an endpoint's state because the proxy may have ejected it earlier.

        The proxy may have done so by commands that this server does not know.
        """
        if not proxy.has_unknown_history or endpoint in proxy.reconciled_endpoints:
            return False
        return endpoint in proxy.changed_ejections
