"""Restriction of a server's control cycle to the shards whose lease the server holds.

The control cycle gets only the proxies of those shards, and no command is sent without permission.
`ShardGate`, `InheritedState` and `Member` decide which commands are sent and how they are limited; this
module applies their decisions to the proxies' connections.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from ravenshelf.leadership.decisions import Member, Permission
from ravenshelf.leadership.gate import RecordRequirements, ShardGate, WaitingCommand
from ravenshelf.leadership.inheritance import InheritedState
from ravenshelf.leadership.record import Record, UnreadableRecordError
from ravenshelf.leadership.shard_placement import shard_of_proxy
from ravenshelf.policy.events import EndpointsListed, EndpointState, Event, ProxyJoined, ProxyLeft
from ravenshelf.state.counters import Counters
from ravenshelf.state.table_update import AdmissionLevel, TableUpdate

# A complete table resets the admission levels. An inherited level is commanded again after it; its retry mode
# is then the recorded one, but at most this one.
INHERITED_RETRY_MODE_LIMIT = 1


class EncodedCommand(NamedTuple):
    """A message as it is written to a proxy, and the marker that the proxy acknowledges."""

    message: bytes
    marker: int | None


class HeldShard:
    """A shard whose lease is held, with its waiting commands and the state of the previous holder."""

    __slots__ = ("gate", "inherited_state", "term")

    def __init__(self, term: int, record: Record, now: int, list_version: int) -> None:
        self.term = term
        self.gate = ShardGate(record)
        self.inherited_state = InheritedState(now, record.copy(), list_version)


class LeaseFilter:
    """Filters events on their way to the control cycle, and commands on their way to the proxies.

    Args:
        member: The member whose leases permit commands.
        clock: Returns the present time, microseconds.
        groups: The names of the traffic groups, by index.
        counters: The server's counters.
        report_event: Hands an event to the control cycle.
        write: Writes a message with its marker to a proxy, in the term of the lease.
        write_record: Sends a shard's record to the voters, and returns its number, or None without a lease.
        endpoint_name: Returns the name of an endpoint, by index.
        list_version: Returns the version of the server's endpoint list.
        endpoint_index: Returns the index of an endpoint, by name, or None.
        warming_since: Returns the start of each endpoint that is warming up now, microseconds, by endpoint.
        restore_warm_up: Adopts the starts of endpoints that an earlier holder recorded.
    """

    def __init__(
        self,
        member: Member,
        clock: Callable[[], int],
        groups: list[str],
        counters: Counters,
        *,
        report_event: Callable[[Event], None],
        write: Callable[[int, bytes, int | None, int], None],
        write_record: Callable[[int, bytes], int | None],
        endpoint_name: Callable[[int], str],
        list_version: Callable[[], int],
        endpoint_index: Callable[[str], int | None],
        warming_since: Callable[[], Mapping[str, int]],
        restore_warm_up: Callable[[Mapping[str, int]], None],
    ) -> None:
        self.member = member
        self.clock = clock
        self.groups = groups
        self.counters = counters
        self.shards = member.configuration.shards
        self.connected_proxies: dict[int, ProxyJoined] = {}
        self.bound_proxies: set[int] = set()  # the connected proxies that were reported to the control cycle
        self.owned_shards: dict[int, HeldShard] = {}
        self._report_event = report_event
        self._write = write
        self._write_record = write_record
        self._endpoint_name = endpoint_name
        self._list_version = list_version
        self._endpoint_index = endpoint_index
        self._warming_since = warming_since
        self._restore_warm_up = restore_warm_up

    def passes(self, event: Event) -> bool:
        """Record an event, and return whether the control cycle gets it now."""
        if isinstance(event, ProxyJoined):
            self.connected_proxies[event.proxy] = event
            if self._shard_of(event.proxy) not in self.owned_shards:
                return False
            self.bound_proxies.add(event.proxy)
        elif isinstance(event, ProxyLeft):
            self.connected_proxies.pop(event.proxy, None)
            self.bound_proxies.discard(event.proxy)
        elif isinstance(event, EndpointsListed):
            self._endpoints_listed(event)
        return True

    def _endpoints_listed(self, event: EndpointsListed) -> None:
        """End the drains of endpoints that the list shows as ready again."""
        ready_endpoints = [
            self._endpoint_name(entry.endpoint)
            for entry in event.entries
            if entry.state is EndpointState.READY
        ]
        for shard, held_shard in self.owned_shards.items():
            held_shard.inherited_state.endpoints_listed(self._list_version(), ready_endpoints)
            undrained_endpoints = [
                endpoint
                for endpoint in ready_endpoints
                if not held_shard.inherited_state.is_drained(endpoint)
            ]
            if held_shard.gate.end_drains(undrained_endpoints):
                self._extend_record(shard, held_shard)

    def _shard_of(self, proxy: int) -> int:
        return shard_of_proxy(proxy, self.shards)

    def lease_acquired(self, shard: int, term: int, packed_record: bytes | None) -> None:
        """Bind the shard's proxies, now that the lease is held and a quorum has accepted the record.

        If the shard is owned already, its lease continues in a later term: waiting commands are sent in the
        later term.
        """
        record = self._unpack(packed_record)
        held_shard = self.owned_shards.get(shard)
        if held_shard is not None:
            held_shard.term = term
            if held_shard.gate.begin_term(record):
                self._extend_record(shard, held_shard)
            self._send_permitted_of(shard)
            return
        held_shard = HeldShard(term, record, self.clock(), self._list_version())
        self.owned_shards[shard] = held_shard
        self._restore_warm_up(held_shard.inherited_state.warming_since())
        for proxy, join_event in list(self.connected_proxies.items()):
            if self._shard_of(proxy) == shard and proxy not in self.bound_proxies:
                self.bound_proxies.add(proxy)
                self._report_event(join_event._replace(is_fresh=False))

    def _unpack(self, packed_record: bytes | None) -> Record:
        """Return the record, or an empty one if the bytes can't be decoded."""
        try:
            return Record.unpack(packed_record)
        except UnreadableRecordError:
            self.counters["records_unreadable"] += 1
            return Record()

    def lease_lost(self, shard: int) -> None:
        """Drop the shard's waiting commands, and report to the control cycle that its proxies have left."""
        if self.owned_shards.pop(shard, None) is None:
            return
        for proxy in [proxy for proxy in self.bound_proxies if self._shard_of(proxy) == shard]:
            self.bound_proxies.discard(proxy)
            self._report_event(ProxyLeft(proxy, True))

    def apply_inherited_state(self, proxy: int, updates: list[TableUpdate]) -> None:
        """Change the updates of a message in place according to the state of the shard's previous holder.

        Endpoints that were drained by a newer list than the local one stay ejected, and load that the
        previous holder shed is admitted step by step. Neither applies once the inherited state has ended.
        """
        held_shard = self.owned_shards.get(self._shard_of(proxy))
        now = self.clock()
        if held_shard is None or held_shard.inherited_state.has_ended(now):
            return
        self._keep_drained(held_shard.inherited_state, updates)
        for update in updates:
            commanded_level = update.admission_level
            if commanded_level is not None:
                group_names = [self.groups[group] for group in update.groups] or self.groups
                level = min(
                    held_shard.inherited_state.limit_level(now, group, commanded_level.level)
                    for group in group_names
                )
                update.admission_level = AdmissionLevel(level, commanded_level.retry_mode)
        self._restore_levels(now, held_shard.inherited_state, updates)

    def _keep_drained(self, inherited_state: InheritedState, updates: list[TableUpdate]) -> None:
        """Remove drained endpoints from the readmissions, and eject those that the message gives a weight."""
        indices = map(self._endpoint_index, inherited_state.drained_at)
        drained_endpoints = {index for index in indices if index is not None}
        if not drained_endpoints:
            return
        for update in updates:
            update.readmitted_endpoints = [
                endpoint for endpoint in update.readmitted_endpoints if endpoint not in drained_endpoints
            ]
            update.ejected_endpoints = update.ejected_endpoints + [
                endpoint
                for endpoint, weight in update.weights
                if weight and endpoint in drained_endpoints and endpoint not in update.ejected_endpoints
            ]

    def _restore_levels(self, now: int, inherited_state: InheritedState, updates: list[TableUpdate]) -> None:
        """Add the inherited admission levels after each complete table, which resets the proxy's levels."""
        complete_tables = [
            update for update in updates if update.is_complete and update.admission_level is None
        ]
        for update in complete_tables:
            for group in update.groups or range(len(self.groups)):
                group_name = self.groups[group]
                recorded_admission = inherited_state.record.admission_levels.get(group_name)
                level = inherited_state.limit_level(now, group_name, float("inf"))
                if recorded_admission is not None and level < float("inf"):
                    retry_mode = min(recorded_admission[1], INHERITED_RETRY_MODE_LIMIT)
                    updates.append(TableUpdate((group,), admission_level=AdmissionLevel(level, retry_mode)))

    def submit(self, proxy: int, updates: list[TableUpdate], message: bytes, marker: int | None) -> None:
        """Accept an encoded command, which is sent as soon as it is permitted.

        Without a lease of the proxy's shard the command is dropped and counted.
        """
        shard = self._shard_of(proxy)
        held_shard = self.owned_shards.get(shard)
        if held_shard is None:
            self.counters["orders_without_lease"] += 1
            return
        requirements = self._requirements(held_shard, updates)
        if held_shard.gate.submit(proxy, EncodedCommand(message, marker), requirements):
            self._extend_record(shard, held_shard)
        self._send_permitted_of(shard)

    def _requirements(self, held_shard: HeldShard, updates: list[TableUpdate]) -> RecordRequirements:
        """Return what the shard's record has to contain before a message of these updates is sent."""
        requirements = RecordRequirements()
        for update in updates:
            if update.admission_level is not None:
                level, retry_mode = update.admission_level
                for group in update.groups or range(len(self.groups)):
                    requirements.levels.append((self.groups[group], level, retry_mode))
            for endpoint in update.ejected_endpoints:
                endpoint_name = self._endpoint_name(endpoint)
                if not held_shard.inherited_state.is_drained(endpoint_name):
                    requirements.drains.append((endpoint_name, self._list_version()))
        return requirements

    def _extend_record(self, shard: int, held_shard: HeldShard) -> None:
        record = held_shard.gate.extended_record(self._warming_since())
        seq = self._write_record(shard, record.pack())
        if seq is not None:
            self.counters["records_written"] += 1
            held_shard.gate.record_written(record, seq)

    def send_permitted(self) -> None:
        """Send the waiting commands of all shards that are permitted now."""
        for shard in list(self.owned_shards):
            self._send_permitted_of(shard)

    def _send_permitted_of(self, shard: int) -> None:
        held_shard = self.owned_shards.get(shard)
        if held_shard is None:
            return
        claim = self.member.claims[shard]
        if claim.term != held_shard.term:
            return
        now = self.clock()

        def is_permitted(command: WaitingCommand) -> bool:
            """Return whether the lease permits a command now; REPEAT_ONLY permits only some commands."""
            permission = self.member.permission(now, shard, command.seq)
            if permission is Permission.REPEAT_ONLY:
                return command.requirements.is_met_by(held_shard.gate.record)
            return permission is Permission.FULL

        permitted_commands = held_shard.gate.pop_permitted(claim.committed_seq, is_permitted)
        for command in permitted_commands:
            self._send(shard, held_shard, command)
        record = held_shard.gate.lowered_record(permitted_commands)
        if record is not None:
            seq = self._write_record(shard, record.pack())
            if seq is not None:
                held_shard.gate.record_written(record, seq)
        self._bind_overflowed(shard, held_shard)

    def _send(self, shard: int, held_shard: HeldShard, command: WaitingCommand) -> None:
        # the permission is checked again, because this process may have been paused since the first check
        if self.member.permission(self.clock(), shard, command.seq) is None:
            self.counters["orders_not_permitted"] += 1
            held_shard.gate.overflowed_proxies.add(command.proxy)
            return
        self.counters["orders_fenced"] += 1
        self._write(command.proxy, command.payload.message, command.payload.marker, held_shard.term)

    def _bind_overflowed(self, shard: int, held_shard: HeldShard) -> None:
        """Bind proxies again for which commands were dropped.

        The control cycle counts the dropped commands as sent. So it gets events that these proxies have left
        and joined again, and starts over with them.
        """
        if not held_shard.gate.overflowed_proxies or self.member.permission(self.clock(), shard) is None:
            return
        for proxy in list(held_shard.gate.overflowed_proxies):
            held_shard.gate.discard(proxy)
            if proxy in self.bound_proxies:
                self._report_event(ProxyLeft(proxy, True))
                self._report_event(self.connected_proxies[proxy]._replace(is_fresh=False))

    def proxy_count(self, shards: Iterable[int]) -> int:
        """Return the number of connected proxies in these shards."""
        counted_shards = set(shards)
        return sum(self._shard_of(proxy) in counted_shards for proxy in self.connected_proxies)


def add_term(message: bytes, term: int) -> bytes:
    """Return an encoded command with its term, so that a proxy can reject commands of earlier terms."""
    return b"CONFIG term=%d" % term + message.removeprefix(b"CONFIG")
