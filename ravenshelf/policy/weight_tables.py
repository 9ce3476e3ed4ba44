"""Weight tables: what each holds, who uses it, and how changes are written within the channel's limits.

A place is a zone and a partition. It has two tables, numbered `table` and `table ^ 1`: proxies are led to
the current one, and a staged rollout makes the other one current.
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

if TYPE_CHECKING:  # it only names types: a simulated server starts without it
    from ravenshelf.policy.commands import CommandWriter

UNLIMITED_LEVEL = 1e6  # an admission level that sheds nothing
RETRY_MODE = 1  # of the wire: only after proof that the first attempt never ran
MINIMUM_LEVEL_CHANGE = 0.1  # of the lesser of two admission levels
MINIMUM_LINE_CHANGE = 0.15  # of the greater of two weights, in a table that is in use
MINIMUM_TABLE_CHANGE = 0.08  # of a table's weight that must have moved for a staged rollout
TABLE_TOTAL = 1000  # the weights of a table add up to this
DOMINANT_LINE_FACTOR = 2  # requests that the greatest line refuses are tried again at the others

PartitionKey = tuple[int, int]  # zone, partition
Lines = dict[int, float]  # weight by endpoint


class WeightTables:
    """The state of all tables, and the writing of changes.

    `proxies` are the joined proxies by index. By table: `lines`, `levels` (admission level by traffic group),
    `written_at` (time), `users` (proxies in the order of binding; table None: not bound yet). `current` is
    the table by place. `deferred` holds tables that did not fit into the channel, with their urgency.
    """

    def __init__(
        self,
        channel: ChannelFlowControl,
        directory: EndpointDirectory,
        slow_start: SlowStart,
        overload_multiple: float,
        zone_count: int,
        groups: int,
    ):
        self.channel = channel
        self.proxies: dict[int, Proxy] = {}
        self.lines: dict[int, Lines] = {}
        self.levels: dict[int, dict[int, float]] = {}
        self.written_at: dict[int, int] = {}
        self.proxies_by_table: defaultdict[int | None, dict[int, None]] = defaultdict(dict)
        self.current_tables: dict[PartitionKey, int] = {}
        self.deferred_tables: dict[int, int] = {}
        self._directory = directory
        self._slow_start = slow_start
        self._zone_count = zone_count
        self._groups = groups
        # a cold line may carry this multiple of its plan: half of the load that fells it
        self._tolerated_multiple = max(1.0, overload_multiple / 2)

    def add_proxy(self, index: int, proxy: Proxy) -> None:
        """A proxy has joined; it uses no table yet."""
        self.proxies[index] = proxy
        self.proxies_by_table[None][index] = None

    def remove_proxy(self, index: int) -> None:
        """A proxy has left; others are ignored."""
        proxy = self.proxies.pop(index, None)
        if proxy is not None:
            del self.proxies_by_table[proxy.table][index]

    def current_table(self, proxy: Proxy) -> int | None:
        """The table that a proxy should use; None as long as its place has none."""
        if proxy.partition is None:
            return None
        return self.current_tables.get((proxy.zone, proxy.partition))

    def last_written_at(self, partition_key: PartitionKey) -> int:
        """When a place's current table was written; 0: never."""
        table = self.current_tables.get(partition_key)
        return self.written_at.get(table, 0) if table is not None else 0

    def bind(self, index: int, table: int | None, writer: CommandWriter, urgency: int) -> bool:
        """Have a proxy use a table; gives whether it fits and the table has a line."""
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
        lines: Lines,
        levels: Mapping[int, float],
        writer: CommandWriter,
        urgency: int,
        selected_tables: Collection[int],
    ) -> None:
        """Bring a place's tables to planned lines.

        With an urgency, or for a place without lines, the tables in use change in place (only those of
        `only`, where it is not empty). Else a staged rollout begins, if enough has moved and none is under
        way.
        """
        table = self.current_tables.setdefault(
            partition_key, 2 * (partition_key[0] + self._zone_count * partition_key[1])
        )
        other = table ^ 1
        known = self.lines.get(table)
        if urgency or not known:
            for changed in (table, other) if self.proxies_by_table[other] else (table,):
                if not selected_tables or changed in selected_tables:
                    self.write(now, changed, lines, writer, urgency or URGENT)
        elif not self.proxies_by_table[other] and _moved_share(known, lines) >= MINIMUM_TABLE_CHANGE:
            self._begin_rollout(now, partition_key, other, lines, levels, writer)

    def _begin_rollout(
        self,
        now: int,
        partition_key: PartitionKey,
        table: int,
        lines: Lines,
        levels: Mapping[int, float],
        writer: CommandWriter,
    ) -> None:
        writer.clear_table(table)
        self.lines[table] = {}
        self.levels[table] = {}
        self.write_levels(table, levels, writer)
        self.write(now, table, lines, writer, ORDINARY)
        self.current_tables[partition_key] = table

    def write(self, now: int, table: int, lines: Lines, writer: CommandWriter, urgency: int) -> None:
        """Change a table to planned lines (at least one), charging every proxy that uses it.

        Where this does not fit the table is deferred, except for cold lines that would get too much
        meanwhile: these leave at once. A table is never empty in between.
        """
        known = self.lines.setdefault(table, {})
        users = self.proxies_by_table[table]
        changes = _changed_lines(known, lines, MINIMUM_LINE_CHANGE if users else 0.0)
        if users and not self.channel.has_capacity(len(changes), users, urgency):
            self.deferred_tables[table] = max(self.deferred_tables.get(table, ORDINARY), urgency)
            changes = self._changes_while_deferred(now, known, lines, changes)
            if not changes or not self.channel.has_capacity(len(changes), users, WITHDRAWAL):
                return
        for endpoint, weight in changes:
            writer.set_weight(table, endpoint, weight)
            known[endpoint] = weight
        self.lines[table] = {endpoint: weight for endpoint, weight in known.items() if weight}
        self.written_at[table] = now
        self.channel.charge(users if changes else (), len(changes))

    def _changes_while_deferred(
        self, now: int, known: Lines, lines: Lines, changes: list[tuple[int, float]]
    ) -> list[tuple[int, float]]:
        """The overloaded cold lines leave; where there are no others the table is written completely."""
        open_lines = {
            endpoint: weight
            for endpoint, weight in known.items()
            if self._directory.is_usable(self._directory.by_index[endpoint])
        }
        overloaded = self._overloaded_cold_lines(now, open_lines, lines)
        if len(overloaded) < len(open_lines):
            return [(endpoint, 0.0) for endpoint in overloaded]
        return changes

    def _overloaded_cold_lines(self, now: int, open_lines: Lines, planned: Lines) -> set[int]:
        """Cold lines far over their plan, once the share of lines that are not open falls to the others.

        The share of the greatest line may fall to the others as well.
        """
        open_total = sum(open_lines.values())
        planned_total = sum(planned.values())
        without_greatest = DOMINANT_LINE_FACTOR * (open_total - max(open_lines.values(), default=0.0))
        multiple = self._tolerated_multiple * min(open_total, without_greatest) / planned_total
        even = planned_total / len(planned)
        overloaded = set()
        for endpoint, weight in open_lines.items():
            share = self._slow_start.capacity_share(self._directory.by_index[endpoint], now)
            due = max(planned.get(endpoint, 0.0), even * share)
            if share < 1 and weight > multiple * due:
                overloaded.add(endpoint)
        return overloaded

    def write_levels(self, table: int, levels: Mapping[int, float], writer: CommandWriter) -> None:
        """Set a table's admission levels by traffic group, as far as they moved and fit into the channel.

        A group that is not named admits everything.
        """
        known = self.levels.setdefault(table, {})
        users = self.proxies_by_table[table]
        for group in range(self._groups):
            old = known.get(group, UNLIMITED_LEVEL)
            new = levels.get(group, UNLIMITED_LEVEL)
            if abs(old - new) > MINIMUM_LEVEL_CHANGE * min(old, new):
                if users and not self.channel.has_capacity(1, users, URGENT):
                    return
                writer.set_admission_level(table, 1 << group, new, RETRY_MODE)
                self.channel.charge(users, 1)
                known[group] = new


def _changed_lines(known: Lines, lines: Lines, least: float) -> list[tuple[int, float]]:
    """Lines that have moved by more than a share, then those that leave: so the table always has a line."""
    changes = [
        (endpoint, weight)
        for endpoint, weight in lines.items()
        if abs(known.get(endpoint, 0) - weight) > least * max(known.get(endpoint, 0), weight)
    ]
    changes += [(endpoint, 0.0) for endpoint in known if endpoint not in lines]
    return changes


def _moved_share(known: Lines, lines: Lines) -> float:
    """The share of a table's weight that moves between endpoints."""
    endpoints = set(lines) | set(known)
    moved = sum(abs(lines.get(endpoint, 0) - known.get(endpoint, 0)) for endpoint in endpoints)
    return moved / (2 * TABLE_TOTAL)
