"""Leases: several servers share the proxies, and each decides for the shards whose leases it holds."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import TYPE_CHECKING

from ravenshelf import log_events
from ravenshelf.leadership.cluster import clock
from ravenshelf.leadership.lease_filter import LeaseFilter, add_term
from ravenshelf.leadership.service import Leadership
from ravenshelf.operator_config.tables import OperatorConfiguration
from ravenshelf.policy.events import EndpointsListed, ListKind
from ravenshelf.process.operations.feature import Measurements
from ravenshelf.time_units import SECOND

if TYPE_CHECKING:
    from ravenshelf.process.control_plane import ControlPlaneServer

WARM_UP_MEMORY = 60 * SECOND  # An endpoint that was started longer ago than this has finished warming up.


class Leases:
    """This server's leases; restricts the server to the proxies whose shards it holds.

    It must be created before proxies connect, because the admission gate must apply from their first message.

    Args:
        operator: The operator file's tables.
        server: The server, which gets the admission gate.
        random_source: Source of the random choices of the leadership.
    """

    def __init__(
        self, operator: OperatorConfiguration, server: ControlPlaneServer, random_source: random.Random
    ) -> None:
        self.server = server
        self.leadership = Leadership(
            operator.leadership,
            operator.store.folder,
            server.loop,
            server.counters,
            random_source,
            self._on_failed,
        )
        self.lease_filter = LeaseFilter(
            self.leadership.member,
            clock,
            server.control_cycle.group_names,
            server.counters,
            report_event=server.deliver,
            write=self._write,
            write_record=self.leadership.write_record,
            endpoint_name=self._endpoint_name,
            list_version=self._list_version,
            endpoint_index=server.registry.index_by_name.get,
            warming_since=self._recent_starts,
            restore_warm_up=self._restore_warm_up,
        )
        self.leadership.lease_listener = self.lease_filter
        server.admission_gate = self.lease_filter
        server.control_cycle.admission_gate = self.lease_filter

    def _on_failed(self, reason: str) -> None:
        self.server.failure = reason
        self.server.stop()

    def _write(self, proxy: int, message: bytes, marker: int | None, term: int) -> None:
        acceptor = self.server.acceptor
        if acceptor.has_term_check(proxy):
            acceptor.write(proxy, add_term(message, term), marker)
        else:
            acceptor.write(proxy, message, marker)

    def _endpoint_name(self, endpoint: int) -> str:
        return self.server.registry.names[endpoint]

    def _list_version(self) -> int:
        return self.server.registry.version

    def _recent_starts(self) -> dict[str, int]:
        """Return the start times, in microseconds by endpoint name, of endpoints that started recently."""
        earliest_start = self.server.clock() - WARM_UP_MEMORY
        registry = self.server.registry
        return {
            registry.names[index]: entry.started_at
            for index, entry in registry.entries.items()
            if entry.started_at > earliest_start
        }

    def _restore_warm_up(self, starts: Mapping[str, int]) -> None:
        """Deliver the previous lease holder's start times that are later than those of the endpoint list."""
        registry = self.server.registry
        restarted_entries = []
        for name, started_at in starts.items():
            index = registry.index_by_name.get(name)
            entry = None if index is None else registry.entries.get(index)
            if entry is not None and entry.started_at < started_at:
                restarted_entries.append(entry._replace(started_at=started_at))
        if restarted_entries:
            self.server.deliver(EndpointsListed(ListKind.UPDATE, tuple(restarted_entries)))

    async def start(self) -> None:
        """Listen, and connect to the other members.

        Raises:
            OSError: The address can't be listened at, or a certificate can't be read.
        """
        await self.leadership.start()

    def reload(self, previous_operator: OperatorConfiguration, new_operator: OperatorConfiguration) -> None:
        """Read the certificates again, which may have been renewed under the same file names."""
        del previous_operator, new_operator
        try:
            self.leadership.read_certificates()
        except OSError as error:
            log_events.CERTIFICATES_REJECTED(why=str(error))

    def measurements(self) -> Measurements:
        """Return the shards, members and waiting commands, and the totals of records and commits."""
        from ravenshelf.graphite import metrics

        waiting_commands = sum(
            len(owned_shard.gate) for owned_shard in self.lease_filter.owned_shards.values()
        )
        levels: dict[metrics.Metric, float] = {
            metrics.SHARDS_OWNED: len(self.leadership.member.held_shards()),
            metrics.MEMBERS_CONNECTED: 1 + len(self.leadership.connections.links),
            metrics.COMMANDS_WAITING: waiting_commands,
        }
        totals: dict[metrics.Metric, float] = {
            metrics.STORE_COMMITS: self.leadership.store.committer.batch_count,
            metrics.RECORDS_WRITTEN: self.server.counters["records_written"],
        }
        return Measurements(levels, totals)

    def close(self) -> None:
        """Release the leases and close the connections to the other members."""
        self.leadership.close()
