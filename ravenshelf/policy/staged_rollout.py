"""Staged rollout: the proxies of a zone go over to new tables a few at a time."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from ravenshelf.policy.urgency import ORDINARY
from ravenshelf.policy.weight_tables import WeightTables

if TYPE_CHECKING:  # it only names types: a simulated server starts without it
    from ravenshelf.policy.commands import CommandWriter

STAGE_SHARE = 0.2  # of a zone's proxies, per rollout step


class StagedRollout:
    """Binds proxies that still use a former table to the current one."""

    def __init__(self, tables: WeightTables, zone_count: int, random_source: Random):
        self._tables = tables
        self._zone_count = zone_count
        self._random_source = random_source

    def step(self, writer: CommandWriter) -> None:
        """Take one step in every zone, if any former table is in use."""
        tables = self._tables
        if any(tables.proxies_by_table[table ^ 1] for table in tables.current_tables.values()):
            for zone in range(self._zone_count):
                self._step_zone(zone, writer)

    def _step_zone(self, zone: int, writer: CommandWriter) -> None:
        tables = self._tables
        in_zone = [index for index, proxy in tables.proxies.items() if proxy.zone == zone]
        former = [index for index in in_zone if self._uses_former_table(index)]
        left = max(1, round(len(in_zone) * STAGE_SHARE))
        for index in self._random_source.sample(former, len(former)):
            if left == 0:
                return
            if tables.bind(index, tables.current_table(tables.proxies[index]), writer, ORDINARY):
                left -= 1

    def _uses_former_table(self, index: int) -> bool:
        proxy = self._tables.proxies[index]
        return proxy.table is not None and proxy.table != self._tables.current_table(proxy)
