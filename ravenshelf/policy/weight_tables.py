"""Weight tables: their lines and users, and the writing of changes within the limits of the control channel.

Each partition of a zone has two tables, numbered `table` and `table ^ 1`. Proxies are bound to the current
one of the two. A staged rollout writes the other table, which then becomes the current one.

A line is the weight of one endpoint in a table. It is cold while its endpoint is warming up.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING

from ravenshelf.policy.endpoints import EndpointDirectory
from ravenshelf.policy.flow_control import ChannelFlowControl
from ravenshelf.policy.proxies import Proxy
from ravenshelf.policy.slow_start import SlowStart
from ravenshelf.policy.urgency import ORDINARY, URGENT, WITHDRAWAL

if TYPE_CHECKING:  # Imported for annotations only, so that a simulated server starts without loading it.
    from ravenshelf.policy.commands import CommandWriter

# An admission level this high sheds no load.
UNLIMITED_LEVEL = 1e6
# This retry mode of the wire permits a retry only if it is certain that the first attempt never ran.
RETRY_MODE = 1
# A level is rewritten if it changes by more than this share of the lower of the old and the new level.
MINIMUM_LEVEL_CHANGE = 0.1
# A line of a table that is in use is rewritten if it changes by more than this share of the greater of the
# old and the new weight.
MINIMUM_LINE_CHANGE = 0.15
# A staged rollout begins if at least this share of a table's weight moves between endpoints.
MINIMUM_TABLE_CHANGE = 0.08
# The weights of a table add up to this.
TABLE_TOTAL = 1000
# Requests that the endpoint with the greatest weight rejects are retried at the others, which together may
# then receive this multiple of their weight.
DOMINANT_LINE_FACTOR = 2

PartitionKey = tuple[int, int]  # zone, partition
Lines = dict[int, float]  # weight by endpoint


class WeightTables:
    """The state of all tables, and the commands that change them.

    Attributes:
        channel: Flow control of the control channel.
        proxies: The joined proxies, by index.
        lines: The written lines (weight by endpoint index) of each table.
        levels: The written admission levels (level by traffic group) of each table.
        written_at: When each table was last written, in microseconds.
        proxies_by_table: The proxies that use each table, in the order in which they were bound. Under the
            key None are the proxies that are not bound to a table yet.
        current_tables: The current table of each partition.
        deferred_tables: The tables whose changes did not fit into the channel, with their urgency.
        tables_waiting_for_messages: The deferred tables that withdraw an endpoint and wait because their
            proxies may not get another message yet.
        outdated_tables: The tables without users whose lines are older than the last plan. They have to be
            written before a proxy is bound to them.
    """

    def __init__(
        self,
        channel: ChannelFlowControl,
        directory: EndpointDirectory,
        slow_start: SlowStart,
        overload_multiple: float,
        zone_count: int,
        group_count: int,
    ):
        """Create the state without proxies and tables.

        Args:
            channel: Flow control of the control channel.
            directory: All endpoints.
            slow_start: The capacity shares of endpoints that are warming up.
            overload_multiple: The load, relative to its present capacity, at which an endpoint that is
                warming up fails.
            zone_count: The number of zones.
            group_count: The number of traffic groups.
        """
        self.channel = channel
        self.proxies: dict[int, Proxy] = {}
        self.lines: dict[int, Lines] = {}
        self.levels: dict[int, dict[int, float]] = {}
        self.written_at: dict[int, int] = {}
        self.proxies_by_table: defaultdict[int | None, dict[int, None]] = defaultdict(dict)
        self.current_tables: dict[PartitionKey, int] = {}
        self.deferred_tables: dict[int, int] = {}
        self.tables_waiting_for_messages: set[int] = set()
        self.outdated_tables: set[int] = set()
        self._directory = directory
        self._slow_start = slow_start
        self._zone_count = zone_count
        self._group_count = group_count
        # While a table is deferred, a cold line may receive this multiple of its planned share: half of the
        # multiple at which the endpoint fails, but at least 1.
        self._tolerated_multiple = max(1.0, overload_multiple / 2)

    def add_proxy(self, index: int, proxy: Proxy) -> None:
        """Add a proxy that has joined; it is not bound to a table yet."""
        self.proxies[index] = proxy
        self.proxies_by_table[None][index] = None

    def remove_proxy(self, index: int) -> None:
        """Remove a proxy that has left; unknown proxies are ignored."""
        proxy = self.proxies.pop(index, None)
        if proxy is None:
            return
        table_proxies = self.proxies_by_table[proxy.table]
        del table_proxies[index]
        if proxy.table in self.deferred_tables and not table_proxies:
            del self.deferred_tables[proxy.table]
            self.tables_waiting_for_messages.discard(proxy.table)
            self.outdated_tables.add(proxy.table)

    def take_deferred_tables(self) -> dict[int, int]:
        """Return the deferred tables with their urgency, which from then on are not deferred any more."""
        deferred_tables = self.deferred_tables
        self.deferred_tables = {}
        self.tables_waiting_for_messages = set()
        return deferred_tables

    def may_withdraw_by_table(self) -> bool:
        """Return whether a table that waits for messages may be written now."""
        return any(
            self.channel.has_messages(self.proxies_by_table[table], WITHDRAWAL)
            for table in self.tables_waiting_for_messages
        )

    def record_planned_zones(self, planned_zones: Collection[int]) -> None:
        """Record that a plan covers only these zones, so that the tables of the others become outdated."""
        self.outdated_tables.update(
            table for (zone, _), table in self.current_tables.items() if zone not in planned_zones
        )

    def outdated_tables_of(self, zones: Collection[int]) -> set[int]:
        """Return the current tables of some zones that are outdated."""
        return {
            table
            for (zone, _), table in self.current_tables.items()
            if zone in zones and table in self.outdated_tables
        }

    def current_table(self, proxy: Proxy) -> int | None:
        """Return the table that a proxy should use; None as long as its partition has none."""
        if proxy.partition is None:
            return None
        return self.current_tables.get((proxy.zone, proxy.partition))

    def last_written_at(self, partition_key: PartitionKey) -> int:
        """Return when a partition's current table was written, in microseconds; 0: never."""
        table = self.current_tables.get(partition_key)
        return self.written_at.get(table, 0) if table is not None else 0

    def bind(self, index: int, table: int | None, writer: CommandWriter, urgency: int) -> bool:
        """Bind a proxy to a table if the table has lines and the channel has capacity for them.

        The charge includes the table's admission levels and the ejections of endpoints in it.

        Returns:
            Whether the proxy was bound.
        """
        lines = self.lines.get(table) if table is not None else None
        if table is None or not lines:
            return False
        ejections = sum(self._directory.by_index[endpoint].is_ejected for endpoint in lines)
        cost = 1 + len(self.levels.get(table, ())) + len(lines) + ejections
        if not self.channel.has_capacity(cost, [index], urgency):
            return False
        writer.bind_proxy(index, table)
        self.channel.charge([index], cost)
        proxy = self.proxies[index]
        del self.proxies_by_table[proxy.table][index]
        self.proxies_by_table[table][index] = None
        proxy.table = table
        return True

    def renew(
        self,
        now: int,
        partition_key: PartitionKey,
        planned_lines: Lines,
        levels: Mapping[int, float],
        writer: CommandWriter,
        urgency: int,
        selected_tables: Collection[int],
    ) -> None:
        """Bring the tables of a partition to planned lines.

        With an urgency other than `ORDINARY`, and for a partition whose current table has no lines, the
        tables that are in use change in place. Otherwise a staged rollout begins, unless too little weight
        moves or a rollout is under way.

        Args:
            now: The time in microseconds.
            partition_key: The zone and the partition.
            planned_lines: The lines of the partition's table.
            levels: The admission levels by traffic group, for a table that a rollout begins to use.
            writer: The receiver of the commands.
            urgency: The urgency of the change.
            selected_tables: The tables that may change in place; empty: all tables.
        """
        table = self.current_tables.setdefault(
            partition_key, 2 * (partition_key[0] + self._zone_count * partition_key[1])
        )
        alternate_table = table ^ 1
        written_lines = self.lines.get(table)
        if urgency or not written_lines:
            for changed_table in (
                (table, alternate_table) if self.proxies_by_table[alternate_table] else (table,)
            ):
                if not selected_tables or changed_table in selected_tables:
                    self.write(now, changed_table, planned_lines, writer, urgency or URGENT)
        elif (
            not self.proxies_by_table[alternate_table]
            and _moved_share(written_lines, planned_lines) >= MINIMUM_TABLE_CHANGE
        ):
            self._begin_rollout(now, partition_key, alternate_table, planned_lines, levels, writer)

    def _begin_rollout(
        self,
        now: int,
        partition_key: PartitionKey,
        table: int,
        planned_lines: Lines,
        levels: Mapping[int, float],
        writer: CommandWriter,
    ) -> None:
        writer.clear_table(table)
        self.lines[table] = {}
        self.levels[table] = {}
        self.write_levels(table, levels, writer)
        self.write(now, table, planned_lines, writer, ORDINARY)
        self.current_tables[partition_key] = table

    def write(self, now: int, table: int, planned_lines: Lines, writer: CommandWriter, urgency: int) -> None:
        """Change a table to planned lines, and charge the change for every proxy that uses the table.

        If the channel has no capacity for the change, the table is deferred. Only cold lines that would be
        overloaded in the meantime are then removed at once, or all changes are made if no other usable line
        would remain. The table is never empty in between.

        Args:
            now: The time in microseconds.
            table: The table.
            planned_lines: The planned lines, at least one.
            writer: The receiver of the commands.
            urgency: The urgency of the change.
        """
        written_lines = self.lines.setdefault(table, {})
        table_proxies = self.proxies_by_table[table]
        changes = _changed_lines(written_lines, planned_lines, MINIMUM_LINE_CHANGE if table_proxies else 0.0)
        message_urgency = self._message_urgency(changes, urgency)
        if table_proxies and not self.channel.has_capacity(
            len(changes), table_proxies, urgency, message_urgency
        ):
            self.deferred_tables[table] = max(self.deferred_tables.get(table, ORDINARY), urgency)
            if message_urgency == WITHDRAWAL and not self.channel.has_messages(table_proxies, WITHDRAWAL):
                self.tables_waiting_for_messages.add(table)
            changes = self._changes_while_deferred(now, written_lines, planned_lines, changes)
            if not changes or not self.channel.has_capacity(len(changes), table_proxies, WITHDRAWAL):
                return
        for endpoint, weight in changes:
            writer.set_weight(table, endpoint, weight)
            written_lines[endpoint] = weight
        self.lines[table] = {endpoint: weight for endpoint, weight in written_lines.items() if weight}
        self.written_at[table] = now
        self.outdated_tables.discard(table)
        self.channel.charge(table_proxies if changes else (), len(changes))

    def _message_urgency(self, changes: list[tuple[int, float]], urgency: int) -> int:
        """Return the urgency that counts for the messages of a table's changes.

        If the changes withdraw an endpoint, its proxies need a message for that in any case.
        """
        endpoints = (self._directory.by_index[endpoint] for endpoint, weight in changes if not weight)
        if any(self._directory.is_to_be_ejected(endpoint) for endpoint in endpoints):
            return WITHDRAWAL
        return urgency

    def _changes_while_deferred(
        self, now: int, written_lines: Lines, planned_lines: Lines, changes: list[tuple[int, float]]
    ) -> list[tuple[int, float]]:
        """Return the changes that cannot wait: the removal of overloaded cold lines.

        If the table has no other usable lines, all its changes are returned.
        """
        usable_lines = {
            endpoint: weight
            for endpoint, weight in written_lines.items()
            if self._directory.is_usable(self._directory.by_index[endpoint])
        }
        overloaded_lines = self._overloaded_cold_lines(now, usable_lines, planned_lines)
        if len(overloaded_lines) < len(usable_lines):
            return [(endpoint, 0.0) for endpoint in overloaded_lines]
        return changes

    def _overloaded_cold_lines(self, now: int, usable_lines: Lines, planned_lines: Lines) -> set[int]:
        """Return the cold lines whose load would far exceed their planned share.

        The requests of lines that are not usable are sent to the others. The endpoint with the greatest
        weight may reject requests, which are then sent to the others as well.
        """
        usable_total = sum(usable_lines.values())
        planned_total = sum(planned_lines.values())
        total_without_greatest = DOMINANT_LINE_FACTOR * (
            usable_total - max(usable_lines.values(), default=0.0)
        )
        multiple = self._tolerated_multiple * min(usable_total, total_without_greatest) / planned_total
        even_weight = planned_total / len(planned_lines)
        overloaded_lines = set()
        for endpoint, weight in usable_lines.items():
            share = self._slow_start.capacity_share(self._directory.by_index[endpoint], now)
            planned_weight = max(planned_lines.get(endpoint, 0.0), even_weight * share)
            if share < 1 and weight > multiple * planned_weight:
                overloaded_lines.add(endpoint)
        return overloaded_lines

    def write_levels(self, table: int, levels: Mapping[int, float], writer: CommandWriter) -> None:
        """Set a table's admission levels that have changed enough, as far as the channel has capacity.

        Args:
            table: The table.
            levels: The admission level by traffic group; all requests of other groups are admitted.
            writer: The receiver of the commands.
        """
        written_levels = self.levels.setdefault(table, {})
        table_proxies = self.proxies_by_table[table]
        for group in range(self._group_count):
            old_level = written_levels.get(group, UNLIMITED_LEVEL)
            new_level = levels.get(group, UNLIMITED_LEVEL)
            if abs(old_level - new_level) > MINIMUM_LEVEL_CHANGE * min(old_level, new_level):
                if table_proxies and not self.channel.has_capacity(1, table_proxies, URGENT):
                    return
                writer.set_admission_level(table, 1 << group, new_level, RETRY_MODE)
                self.channel.charge(table_proxies, 1)
                written_levels[group] = new_level


def _changed_lines(
    written_lines: Lines, planned_lines: Lines, minimum_change: float
) -> list[tuple[int, float]]:
    """Return the lines to write: those that change by more than a share of their weight, then removals.

    Removals come last, so that the table always has a line.
    """
    changes = [
        (endpoint, weight)
        for endpoint, weight in planned_lines.items()
        if abs(written_lines.get(endpoint, 0) - weight)
        > minimum_change * max(written_lines.get(endpoint, 0), weight)
    ]
    changes += [(endpoint, 0.0) for endpoint in written_lines if endpoint not in planned_lines]
    return changes


def _moved_share(written_lines: Lines, planned_lines: Lines) -> float:
    """Return the share of a table's weight that moves between endpoints."""
    endpoints = set(planned_lines) | set(written_lines)
    moved_weight = sum(
        abs(planned_lines.get(endpoint, 0) - written_lines.get(endpoint, 0)) for endpoint in endpoints
    )
    return moved_weight / (2 * TABLE_TOTAL)
