"""The commands of a lease holder for one of its shards: it decides, records and sends them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ravenshelf.leadership.decisions import LeaseState, PackedRecord, Permission
from ravenshelf.leadership.inheritance import UNLIMITED_LEVEL, InheritedState
from ravenshelf.leadership.record import Record
from standins.controllers.parameters import MILLISECOND, SECOND, SHED_LEVEL, Defect, FaultMoment
from standins.histories import (
    BindProxy,
    Command,
    EjectEndpoint,
    GrantRetry,
    ReadmitEndpoint,
    SetAdmissionLevel,
)

if TYPE_CHECKING:
    from standins.controllers.member import SimulatedMember

GROUP = "read"
RETRY_MODE = 1
BIND_INTERVAL_US = SECOND
LEVEL_INTERVAL_US = 100 * MILLISECOND
LEARNING_US = 3 * SECOND  # After a takeover, the load is unknown for this time.
MAX_ENCODING_US = 3 * MILLISECOND
LONG_AGO_US = -(10**18)


class PermittedCommand(NamedTuple):
    """A command and the permission that it requires."""

    permission: Permission
    command: Command


class WaitingCommand(NamedTuple):
    """A command that waits until a quorum has stored the record with the sequence number `seq`."""

    seq: int
    permission: Permission
    command: Command


class ShardCommands:
    """The commands of a lease holder for one shard in one term.

    `level_seq` is the sequence number of the record that contains the current admission level, or 0.
    """

    def __init__(self, holder: SimulatedMember, shard: int, term: int, packed: PackedRecord) -> None:
        self.holder = holder
        self.shard = shard
        self.term = term
        self.cluster = holder.cluster
        self.record = Record.unpack(packed)
        if self.cluster.has_defect(Defect.RECORD_IGNORED):
            self.record = Record()
        self.inherited = InheritedState(holder.clock(), self.record.copy(), self._list_version())
        self.taken_over_at = holder.clock()
        self.ejected_endpoints: set[str] = set()
        self.level = UNLIMITED_LEVEL
        self._is_level_decided = False
        self.level_seq = 0
        self._waiting_commands: list[WaitingCommand] = []
        self._bound_at = LONG_AGO_US
        self._level_sent_at = LONG_AGO_US
        self._encoded_until = 0

    def _list_version(self) -> int:
        return self.cluster.endpoint_list.version(self.cluster.scheduler.now - self.holder.list_lag_us)

    def send_commands(self) -> None:
        """Decide, and send the commands that are due; the member calls it at intervals while it is alive."""
        now = self.holder.clock()
        claim = self.holder.member.claims[self.shard]
        if claim.state not in (LeaseState.HELD, LeaseState.EXPIRED) or claim.term != self.term:
            return
        if now - self._bound_at > BIND_INTERVAL_US:
            self._bound_at = now
            self._send(0, Permission.REPEAT_ONLY, BindProxy())
        if claim.state is LeaseState.HELD:
            self._decide(now)
        is_level_due = self.level_seq and now - self._level_sent_at > LEVEL_INTERVAL_US
        if claim.state is LeaseState.HELD and is_level_due:
            # The recorded level is sent again at intervals, as the service sends it to proxies that connect.
            self._level_sent_at = now
            self._send(self.level_seq, Permission.FULL, SetAdmissionLevel(GROUP, self.level))
        waiting_commands = self._waiting_commands
        self._waiting_commands = []
        for command in waiting_commands:
            if claim.committed_seq >= command.seq:
                self._send(*command)
            else:
                self._waiting_commands.append(command)

    def _decide(self, now: int) -> None:
        record = self.record.copy()
        commands = [
            *self._grant_retries(record),
            *self._eject_and_readmit(now, record),
            *self._set_level(now, record),
        ]
        if self.cluster.has_defect(Defect.RECORD_AFTER_SENDING):
            for permission, command in commands:
                self._send(0, permission, command)
            commands = []
        seq = self._write(now, record, has_commands=bool(commands))
        if seq is None:
            self._is_level_decided = False
            self.ejected_endpoints = set()
            return
        self._waiting_commands += [
            WaitingCommand(seq, permission, command) for permission, command in commands
        ]
        if any(isinstance(command, SetAdmissionLevel) for _, command in commands):
            self.level_seq = seq

    def _write(self, now: int, record: Record, has_commands: bool) -> int | None:
        """Write the record if it has changed.

        Returns:
            The sequence number of the record that the commands have to wait for, or None if the lease is no
            longer valid.
        """
        member = self.holder.member
        if record == self.record:
            return member.claims[self.shard].seq if has_commands else 0
        seq = member.write_record(now, self.shard, record.pack(), self.holder)
        if seq is not None:
            self.record = record
        return seq

    def _grant_retries(self, record: Record) -> list[PermittedCommand]:
        commands = []
        for key in self.cluster.waiting_requests(self.shard):
            if key not in record.retries:
                record.retries[key] = 1
                commands.append(PermittedCommand(Permission.FULL, GrantRetry(key)))
        return commands

    def _eject_and_readmit(self, now: int, record: Record) -> list[PermittedCommand]:
        endpoint_list = self.cluster.endpoint_list
        commands: list[Command] = []
        version = self._list_version()
        drained_endpoints = endpoint_list.drained_at_version(version)
        self.inherited.endpoints_listed(version, endpoint_list.endpoints - drained_endpoints)
        drained_endpoints |= set(self.inherited.drained_at)
        for endpoint in drained_endpoints - self.ejected_endpoints:
            draining_version = version if endpoint in endpoint_list.drained_at_version(version) else 0
            record.drained_at[endpoint] = max(draining_version, record.drained_at.get(endpoint, -1))
            commands.append(EjectEndpoint(endpoint, record.drained_at[endpoint]))
        for endpoint in self.ejected_endpoints - drained_endpoints:
            record.drained_at.pop(endpoint, None)
            commands.append(ReadmitEndpoint(endpoint, version))
        if self._bound_at == now:
            # A complete table that was just sent readmits its endpoints except the ejected ones.
            commands += [
                ReadmitEndpoint(endpoint, version)
                for endpoint in sorted(endpoint_list.endpoints - drained_endpoints)
            ]
        self.ejected_endpoints = drained_endpoints
        return [PermittedCommand(Permission.REPEAT_ONLY, command) for command in commands]

    def _set_level(self, now: int, record: Record) -> list[PermittedCommand]:
        requested_level = SHED_LEVEL if now - self.taken_over_at > LEARNING_US else UNLIMITED_LEVEL
        level = self.inherited.limit_level(now, GROUP, requested_level)
        if self._is_level_decided and level == self.level:
            return []
        self._is_level_decided = True
        self.level = level
        record.admission_levels[GROUP] = (level, RETRY_MODE)
        return [PermittedCommand(Permission.FULL, SetAdmissionLevel(GROUP, level))]

    def _permission(self, seq: int) -> Permission | None:
        return self.holder.member.permission(self.holder.clock(), self.shard, seq)

    def _send(self, seq: int, required_permission: Permission, command: Command) -> None:
        """Encode a command, which takes a random time, and then send it if that is still permitted."""
        is_checked_early = self.cluster.has_defect(Defect.LEASE_CHECKED_BEFORE_ENCODING)
        early_permission = self._permission(seq)
        self.holder.reach_moment(FaultMoment.COMMAND)

        def send_if_permitted() -> None:
            permission = early_permission if is_checked_early else self._permission(seq)
            is_permitted = permission is Permission.FULL or (
                permission is not None and required_permission is Permission.REPEAT_ONLY
            )
            if not is_permitted:
                return
            if is_checked_early or self.holder.member.claims[self.shard].term == self.term:
                self.cluster.deliver(self.holder, self.shard, self.term, required_permission, command)

        now = self.cluster.scheduler.now
        encoded_at = now + self.cluster.rng.randrange(MAX_ENCODING_US)
        self._encoded_until = max(self._encoded_until, encoded_at)  # commands are encoded one at a time
        self.cluster.scheduler.call_later(self._encoded_until - now, send_if_permitted, self.holder)
