"""Staged rollout: the proxies of a zone change to a new table a few at a time."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from ravenshelf.policy.urgency import ORDINARY
from ravenshelf.policy.weight_tables import WeightTables

if TYPE_CHECKING:  # Imported for annotations only, so that a simulated server starts without loading it.
    from ravenshelf.policy.commands import CommandWriter

# In each rollout step, this share of a zone's proxies changes its table.
STAGE_SHARE = 0.2


class StagedRollout:
    """The binding of proxies that still use a previous table to the current one."""

    def __init__(self, tables: WeightTables, zone_count: int, random_source: Random):
        self._tables = tables
        self._zone_count = zone_count
        self._random_source = random_source

    def step(self, writer: CommandWriter) -> None:
        """Bind a few randomly chosen proxies in every zone, if any proxy uses a previous table."""
        tables = self._tables
        if any(tables.proxies_by_table[table ^ 1] for table in tables.current_tables.values()):
            for zone in range(self._zone_count):
                self._step_zone(zone, writer)

    def _step_zone(self, zone: int, writer: CommandWriter) -> None:
        tables = self._tables
        zone_proxies = [index for index, proxy in tables.proxies.items() if proxy.zone == zone]
        remaining_proxies = [index for index in zone_proxies if self._uses_previous_table(index)]
        remaining_bindings = max(1, round(len(zone_proxies) * STAGE_SHARE))
        for index in self._random_source.sample(remaining_proxies, len(remaining_proxies)):
            if remaining_bindings == 0:
                return
            if tables.bind(index, tables.current_table(tables.proxies[index]), writer, ORDINARY):
                remaining_bindings -= 1

    def _uses_previous_table(self, index: int) -> bool:
        proxy = self._tables.proxies[index]
        return proxy.table is not None and proxy.table != self._tables.current_table(proxy)
