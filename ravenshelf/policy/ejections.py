"""Ejections: the withdrawal of endpoints that tables must not contain any more, and their readmission."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING

from ravenshelf.policy.endpoints import Endpoint, EndpointDirectory
from ravenshelf.policy.urgency import URGENT, WITHDRAWAL
from ravenshelf.policy.weight_tables import WeightTables

if TYPE_CHECKING:  # Imported for annotations only, so that a simulated server starts without loading it.
    from ravenshelf.policy.commands import CommandWriter


class EjectionControl:
    """The ejection of endpoints that have left or are draining, and their readmission when they return.

    Attributes:
        waiting_for_messages: The ejections that the last update left pending because a proxy may not get
            another message yet.
        waiting_for_queue: The ejections that the last update left pending because the channel's queue has no
            room for them.
    """

    def __init__(self, directory: EndpointDirectory, tables: WeightTables):
        self._directory = directory
        self._tables = tables
        self.waiting_for_messages = 0
        self.waiting_for_queue = 0

    def pending_endpoints(self) -> list[Endpoint]:
        """Return the endpoints that are to be ejected or readmitted."""
        return [
            endpoint
            for endpoint in self._directory.by_index.values()
            if self._directory.is_usable(endpoint) == endpoint.is_ejected
        ]

    def update(self, pending_endpoints: Iterable[Endpoint], writer: CommandWriter) -> None:
        """Eject or readmit endpoints as far as the channel has capacity; the others remain pending.

        An endpoint is readmitted only when no deferred table contains it, because such a table still has the
        endpoint's old weight.
        """
        tables = self._tables
        self.waiting_for_messages = 0
        self.waiting_for_queue = 0
        deferred_endpoints = set().union(*(tables.lines.get(table, ()) for table in tables.deferred_tables))
        for endpoint in [
            pending
            for pending in pending_endpoints
            if not (pending.is_ejected and pending.index in deferred_endpoints)
        ]:
            proxies = self._affected_proxies(endpoint.index)
            if tables.channel.has_capacity(1, proxies, URGENT if endpoint.is_ejected else WITHDRAWAL):
                endpoint.is_ejected = not endpoint.is_ejected
                writer.set_ejected(endpoint.index, endpoint.is_ejected)
                tables.channel.charge(proxies, 1)
            elif not endpoint.is_ejected:
                self._count_waiting(proxies)
        tables.channel.messages.withdrawals_wait = self.waiting_for_messages > 0

    def _count_waiting(self, proxies: Collection[int]) -> None:
        if self._tables.channel.has_messages(proxies, WITHDRAWAL):
            self.waiting_for_queue += 1
        else:
            self.waiting_for_messages += 1

    def _affected_proxies(self, endpoint: int) -> list[int]:
        """Return the proxies whose table contains an endpoint.

        Proxies that are not bound come first and are always included, because the tables that they use are
        not known.
        """
        affected_proxies = list(self._tables.proxies_by_table[None])
        for table, lines in self._tables.lines.items():
            if endpoint in lines:
                affected_proxies += self._tables.proxies_by_table[table]
        return affected_proxies
