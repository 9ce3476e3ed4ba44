"""A simulated member: its process may be stopped or paused, its disk and clock go on."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from ravenshelf.leadership.decisions import LeaseState, Member, Message, PackedRecord
from standins.controllers.parameters import (
    HEALED_AT_US,
    LAST_FAULT_US,
    MILLISECOND,
    SYNC_LIMIT_US,
    Defect,
    FaultMoment,
)
from standins.controllers.shard_commands import ShardCommands
from standins.histories import LeaseAcquired, MemberStopped

if TYPE_CHECKING:
    from standins.controllers.cluster import SimulatedCluster

COMMAND_INTERVAL_US = 50 * MILLISECOND
SHORTEST_TICK_US = MILLISECOND
LONGEST_TICK_US = 50 * MILLISECOND
SHORTEST_SYNC_US = MILLISECOND // 2
SHORTEST_LAG_US = 200 * MILLISECOND  # of the endpoint list
LONGEST_LAG_US = 1500 * MILLISECOND
PARTIAL_SYNC = 0.5  # probability that a stop leaves what was on its way to the disk
SECOND_PAUSE = 0.7  # probability that a kill at a write finds another member paused

StoredVote = tuple[int, int, int, PackedRecord]  # promised, term, seq, record


class PendingFault(NamedTuple):
    """A fault that waits for its moment, and how long it lasts, microseconds."""

    moment: FaultMoment
    duration: int


class Disk:
    """What survives a stop."""

    def __init__(self) -> None:
        self.votes: dict[int, StoredVote] = {}  # by shard
        self.is_voting = False

    def write(self, changes: StepChanges) -> None:
        """Stores what a step has changed."""
        self.votes.update(changes.votes)
        self.is_voting = self.is_voting or changes.is_voting


class StepChanges:
    """What a step stores, and the messages that follow once it is on disk."""

    def __init__(self) -> None:
        self.votes: dict[int, StoredVote] = {}
        self.is_voting = False
        self.messages: list[tuple[int, Message]] = []

    def has_writes(self) -> bool:
        """Whether it stores anything."""
        return bool(self.votes) or self.is_voting


class SimulatedMember:
    """Runs a `Member` and stands for its effects (`LeaseOutput`)."""

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
        self.sync_limit_us = SYNC_LIMIT_US
        self.list_lag_us = cluster.rng.randrange(SHORTEST_LAG_US, LONGEST_LAG_US)
        self.shards: dict[int, ShardCommands] = {}
        self._step = StepChanges()
        self._unsynced: deque[StepChanges] = deque()
        self._is_syncing = False

    def clock(self) -> int:
        """Microseconds by the member's own clock."""
        return self.clock_offset + int(self.clock_rate * self.cluster.scheduler.now)

    def _later(self, delay: int, call: Callable[[], None]) -> None:
        self.cluster.scheduler.call_later(delay, call, self)

    # --- start and stop ---

    def start(self, has_empty_disk: bool = False) -> None:
        """Starts the process; with an empty disk it has lost its votes."""
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
        self._unsynced = deque()
        self._is_syncing = False
        self.shards = {}
        self._later(0, self._tick)
        self._later(rng.randrange(COMMAND_INTERVAL_US), self._send_commands)

    def start_unless_alive(self) -> None:
        """Starts again after a fault."""
        if not self.is_alive:
            self.start()

    def start_empty_unless_alive(self) -> None:
        """Starts again with an empty disk."""
        if not self.is_alive:
            self.start(has_empty_disk=True)

    def stop(self) -> None:
        """Killed: of what was on its way to the disk some may be there, none was acknowledged."""
        if not self.is_alive:
            return
        self.is_alive = False
        self.incarnation += 1
        if self._unsynced and self.cluster.rng.random() < PARTIAL_SYNC:
            self.disk.write(self._unsynced[0])
        self.cluster.record(MemberStopped(self.cluster.seconds(), self.number))

    def pause_until(self, until: int) -> None:
        """Pauses the process up to a true time, but not beyond the end of faults."""
        self.paused_until = min(HEALED_AT_US, until)

    def reach_moment(self, moment: FaultMoment) -> bool:
        """Whether a fault waits for this moment; it happens now."""
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
        other = self.cluster.rng.choice(self.cluster.members)  # it is unreachable for a while
        if other is not self and self.cluster.rng.random() < SECOND_PAUSE:
            until = min(HEALED_AT_US, scheduler.now + 2 * duration)
            other.paused_until = max(other.paused_until, until)

    # --- effects of the member ---

    def store_vote(self, shard: int, promised: int, term: int, seq: int, record: PackedRecord) -> None:
        """Stores a vote with this step."""
        self._step.votes[shard] = (promised, term, seq, record)

    def store_voting(self) -> None:
        """Stores that the member votes."""
        self._step.is_voting = True

    def send(self, member: int, message: Message) -> None:
        """Sends a message once this step is on disk."""
        self._step.messages.append((member, message))

    def lease_changed(self, shard: int, state: LeaseState, term: int, record: PackedRecord) -> None:
        """Begins or ends the commands of a shard."""
        if state is LeaseState.HELD:
            self.cluster.record(LeaseAcquired(self.cluster.seconds(), self.number, shard))
            held = self.shards.get(shard)
            if held is None or held.term != term:
                self.shards[shard] = ShardCommands(self, shard, term, record)
        elif state is LeaseState.IDLE:
            self.shards.pop(shard, None)

    # --- steps ---

    def _end_step(self) -> None:
        """What was stored goes to disk; what was sent with it or after it waits until it is there."""
        step = self._step
        self._step = StepChanges()
        if self.cluster.has_defect(Defect.REPLY_BEFORE_SYNC):
            self._send_all(step)
            step.messages = []
        has_writes = step.has_writes()
        if not has_writes and not self._unsynced:
            self._send_all(step)
        elif has_writes or step.messages:
            self._unsynced.append(step)
            self._begin_sync()
        if has_writes:
            self.reach_moment(FaultMoment.WRITE)

    def _send_all(self, step: StepChanges) -> None:
        for member, message in step.messages:
            self.cluster.network.send(self.number, member, message)

    def _begin_sync(self) -> None:
        if not self._is_syncing and self._unsynced:
            self._is_syncing = True
            self._later(self.cluster.rng.randrange(SHORTEST_SYNC_US, self.sync_limit_us), self._synced)

    def _synced(self) -> None:
        self._is_syncing = False
        batch = self._unsynced
        self._unsynced = deque()
        for step in batch:
            self.disk.write(step)
        for step in batch:
            self._send_all(step)
        self._begin_sync()

    def receive(self, sender: int, message: Message) -> None:
        """A message of a member."""
        self.member.receive(self.clock(), sender, message, self)
        self._end_step()

    def _tick(self) -> None:
        now = self.clock()
        next_tick_at = self.member.tick(now, self)
        self._end_step()
        delay = int((next_tick_at - now) / self.clock_rate)
        self._later(max(SHORTEST_TICK_US, min(LONGEST_TICK_US, delay)), self._tick)

    def _send_commands(self) -> None:
        """The adapter's turn: the commands of every shard."""
        for shard in list(self.shards.values()):
            shard.send_commands()
        self._end_step()
        self._later(COMMAND_INTERVAL_US, self._send_commands)
