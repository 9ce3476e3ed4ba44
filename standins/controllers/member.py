"""A simulated member, whose process may be stopped or paused while its disk and its clock continue."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from ravenshelf.leadership.decisions import LeaseState, Member, Message, PackedRecord
from standins.controllers.parameters import (
    HEALED_AT_US,
    LAST_FAULT_US,
    MAX_SYNC_US,
    MILLISECOND,
    Defect,
    FaultMoment,
)
from standins.controllers.shard_commands import ShardCommands
from standins.histories import LeaseAcquired, MemberStopped

if TYPE_CHECKING:
    from standins.controllers.cluster import SimulatedCluster

COMMAND_INTERVAL_US = 50 * MILLISECOND
MIN_TICK_US = MILLISECOND
MAX_TICK_US = 50 * MILLISECOND
MIN_SYNC_US = MILLISECOND // 2
# Least delay with which a member reads the endpoint list, in microseconds.
MIN_LIST_LAG_US = 200 * MILLISECOND
MAX_LIST_LAG_US = 1500 * MILLISECOND
# The probability that changes on their way to the disk are stored when the process is killed.
PARTIAL_SYNC_PROBABILITY = 0.5
# The probability that another member is paused when a member is killed at a write.
SECOND_PAUSE_PROBABILITY = 0.7

# The promised term, the term, the sequence number and the record.
StoredVote = tuple[int, int, int, PackedRecord]


class PendingFault(NamedTuple):
    """A fault that begins at a given step of the member, and its duration in microseconds."""

    moment: FaultMoment
    duration: int


class Disk:
    """The data of a member that survives a kill of its process."""

    def __init__(self) -> None:
        self.votes: dict[int, StoredVote] = {}  # vote on disk, by shard
        self.is_voting = False

    def write(self, changes: StepChanges) -> None:
        """Store the changes of a step."""
        self.votes.update(changes.votes)
        self.is_voting = self.is_voting or changes.is_voting


class StepChanges:
    """The changes that a step stores, and the messages that are sent once the changes are on disk."""

    def __init__(self) -> None:
        self.votes: dict[int, StoredVote] = {}
        self.is_voting = False
        self.messages: list[tuple[int, Message]] = []

    def has_writes(self) -> bool:
        """Return whether the step stores anything."""
        return bool(self.votes) or self.is_voting


class SimulatedMember:
    """A process that runs a `Member` and is its `LeaseOutput`."""

    member: Member

    def __init__(self, cluster: SimulatedCluster, number: int) -> None:
        self.cluster = cluster
        self.number = number
        drift = cluster.configuration.clock_drift
        self.clock_rate = 1 + cluster.rng.uniform(-drift, drift)
        if cluster.has_extreme_drift:
            self.clock_rate = 1 + drift * (1 if number % 2 else -1)
        self.clock_offset = cluster.rng.randrange(10**9, 10**12)
        self.disk = Disk()
        self.is_alive = False
        self.incarnation = 0
        self.paused_until = 0
        self.pending_fault: PendingFault | None = None
        self.max_sync_us = MAX_SYNC_US
        self.list_lag_us = cluster.rng.randrange(MIN_LIST_LAG_US, MAX_LIST_LAG_US)
        self.commands_by_shard: dict[int, ShardCommands] = {}
        self._step = StepChanges()
        self._unsynced_steps: deque[StepChanges] = deque()
        self._is_syncing = False

    def clock(self) -> int:
        """Return the time on the member's own clock in microseconds."""
        return self.clock_offset + int(self.clock_rate * self.cluster.scheduler.now)

    def _call_later(self, delay: int, callback: Callable[[], None]) -> None:
        self.cluster.scheduler.call_later(delay, callback, self)

    def start(self, has_empty_disk: bool = False) -> None:
        """Start the process; if its disk is empty, the member has lost its votes."""
        self.incarnation += 1
        self.is_alive = True
        if has_empty_disk:
            self.disk = Disk()
        is_recovering = not self.disk.is_voting and not self.cluster.has_defect(Defect.EMPTY_DISK_VOTES)
        rng = self.cluster.rng
        self.member = Member(
            self.number,
            self.cluster.count,
            self.cluster.configuration,
            dict(self.disk.votes),
            self.clock(),
            random.Random(rng.random()),
            is_recovering,
        )
        if self.cluster.has_defect(Defect.NO_QUIET_PERIOD):
            self.member.voter.quiet_until = 0
        if self.cluster.has_defect(Defect.QUORUM_OF_ONE):
            self.member.quorum = 1
            self.member.leases.quorum = 1
            self.member.recovery.quorum = 1
        self._step = StepChanges()
        self._unsynced_steps = deque()
        self._is_syncing = False
        self.commands_by_shard = {}
        self._call_later(0, self._tick)
        self._call_later(rng.randrange(COMMAND_INTERVAL_US), self._send_commands)

    def start_unless_alive(self) -> None:
        """Start the process again, unless it runs."""
        if not self.is_alive:
            self.start()

    def start_empty_unless_alive(self) -> None:
        """Start the process again with an empty disk, unless it runs."""
        if not self.is_alive:
            self.start(has_empty_disk=True)

    def stop(self) -> None:
        """Kill the process.

        Some of the changes that were on their way to the disk, none of which was acknowledged, may be stored.
        """
        if not self.is_alive:
            return
        self.is_alive = False
        self.incarnation += 1
        if self._unsynced_steps and self.cluster.rng.random() < PARTIAL_SYNC_PROBABILITY:
            self.disk.write(self._unsynced_steps[0])
        self.cluster.record(MemberStopped(self.cluster.seconds(), self.number))

    def pause_until(self, until: int) -> None:
        """Pause the process up to a true time in microseconds, but not beyond the end of faults."""
        self.paused_until = min(HEALED_AT_US, until)

    def reach_moment(self, moment: FaultMoment) -> bool:
        """Begin the pending fault if it is due at this step, and return whether it has begun."""
        now = self.cluster.scheduler.now
        fault = self.pending_fault
        if fault is None or fault.moment is not moment or now >= LAST_FAULT_US:
            return False
        self.pending_fault = None
        if moment is FaultMoment.WRITE:
            self._kill_at_write(fault.duration)
        else:
            self.pause_until(now + fault.duration)
        return True

    def _kill_at_write(self, duration: int) -> None:
        scheduler = self.cluster.scheduler
        scheduler.call_later(0, self.stop)
        scheduler.call_later(duration, self.start_unless_alive)
        other = self.cluster.rng.choice(self.cluster.members)
        if other is not self and self.cluster.rng.random() < SECOND_PAUSE_PROBABILITY:
            until = min(HEALED_AT_US, scheduler.now + 2 * duration)
            other.paused_until = max(other.paused_until, until)

    def store_vote(self, shard: int, promised: int, term: int, seq: int, record: PackedRecord) -> None:
        """Store a vote with this step."""
        self._step.votes[shard] = (promised, term, seq, record)

    def store_voting(self) -> None:
        """Store with this step that the member votes."""
        self._step.is_voting = True

    def send(self, member: int, message: Message) -> None:
        """Send a message once this step is on disk."""
        self._step.messages.append((member, message))

    def lease_changed(self, shard: int, state: LeaseState, term: int, record: PackedRecord) -> None:
        """Begin or end the commands of a shard."""
        if state is LeaseState.HELD:
            self.cluster.record(LeaseAcquired(self.cluster.seconds(), self.number, shard))
            shard_commands = self.commands_by_shard.get(shard)
            if shard_commands is None or shard_commands.term != term:
                self.commands_by_shard[shard] = ShardCommands(self, shard, term, record)
        elif state is LeaseState.IDLE:
            self.commands_by_shard.pop(shard, None)

    def _end_step(self) -> None:
        """Write the changes of this step to disk.

        The messages of this step and of later ones wait until the changes are on disk.
        """
        step = self._step
        self._step = StepChanges()
        if self.cluster.has_defect(Defect.REPLY_BEFORE_SYNC):
            self._send_all(step)
            step.messages = []
        has_writes = step.has_writes()
        if not has_writes and not self._unsynced_steps:
            self._send_all(step)
        elif has_writes or step.messages:
            self._unsynced_steps.append(step)
            self._begin_sync()
        if has_writes:
            self.reach_moment(FaultMoment.WRITE)

    def _send_all(self, step: StepChanges) -> None:
        for member, message in step.messages:
            self.cluster.network.send(self.number, member, message)

    def _begin_sync(self) -> None:
        if not self._is_syncing and self._unsynced_steps:
            self._is_syncing = True
            self._call_later(self.cluster.rng.randrange(MIN_SYNC_US, self.max_sync_us), self._complete_sync)

    def _complete_sync(self) -> None:
        self._is_syncing = False
        batch = self._unsynced_steps
        self._unsynced_steps = deque()
        for step in batch:
            self.disk.write(step)
        for step in batch:
            self._send_all(step)
        self._begin_sync()

    def receive(self, sender: int, message: Message) -> None:
        """Receive a message of a member."""
        self.member.receive(self.clock(), sender, message, self)
        self._end_step()

    def _tick(self) -> None:
        now = self.clock()
        next_tick_at = self.member.tick(now, self)
        self._end_step()
        delay = int((next_tick_at - now) / self.clock_rate)
        self._call_later(max(MIN_TICK_US, min(MAX_TICK_US, delay)), self._tick)

    def _send_commands(self) -> None:
        """Send the commands of every shard, as the leadership service does at intervals."""
        for shard_commands in list(self.commands_by_shard.values()):
            shard_commands.send_commands()
        self._end_step()
        self._call_later(COMMAND_INTERVAL_US, self._send_commands)
