"""Ejections: endpoints that tables may not hold any more are withdrawn by name, and let back later."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ravenshelf.policy.endpoints import Endpoint, EndpointDirectory
from ravenshelf.policy.urgency import URGENT, WITHDRAWAL
from ravenshelf.policy.weight_tables import WeightTables

if TYPE_CHECKING:  # it only names types: a simulated server starts without it
    from ravenshelf.policy.commands import CommandWriter


class EjectionControl:
    """Ejects endpoints that have left or drain, and readmits those that are back."""

    def __init__(self, directory: EndpointDirectory, tables: WeightTables):
        self._directory = directory
        self._tables = tables

    def pending(self) -> list[Endpoint]:
        """The endpoints to eject or to readmit."""
        return [
            endpoint
            for endpoint in self._directory.by_index.values()
            if self._directory.is_usable(endpoint) == endpoint.is_ejected
        ]

    def update(self, pending: Iterable[Endpoint], writer: CommandWriter) -> None:
        """Eject or readmit, as far as the channel has room; the rest is pending in the next cycle again.

        An endpoint is readmitted once no deferred table holds it at its old weight.
        """
        tables = self._tables
        deferred = set().union(*(tables.lines.get(table, ()) for table in tables.deferred_tables))
        for endpoint in [one for one in pending if not (one.is_ejected and one.index in deferred)]:
            proxies = self._proxies_that_hold(endpoint.index)
            if tables.channel.has_capacity(1, proxies, URGENT if endpoint.is_ejected else WITHDRAWAL):
                endpoint.is_ejected = not endpoint.is_ejected
                writer.set_ejected(endpoint.index, endpoint.is_ejected)
                tables.channel.charge(proxies, 1)

    def _proxies_that_hold(self, endpoint: int) -> list[int]:
        """First the proxies that are not bound yet: their tables are not known."""
        holding = list(self._tables.proxies_by_table[None])
        for table, lines in self._tables.lines.items():
            if endpoint in lines:
                holding += self._tables.proxies_by_table[table]
        return holding
