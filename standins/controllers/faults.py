"""The schedule of faults, which is drawn from the seed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING

from standins.controllers.member import PendingFault, SimulatedMember
from standins.controllers.parameters import (
    FAULTS_BEGIN_US,
    HEALED_AT_US,
    HIGH_MESSAGE_LOSS_PROBABILITY,
    LAST_FAULT_US,
    MAX_SLOW_SYNC_US,
    MAX_SYNC_US,
    MESSAGE_LOSS_PROBABILITY,
    MILLISECOND,
    SECOND,
    Fault,
    FaultMoment,
)

if TYPE_CHECKING:
    from standins.controllers.cluster import SimulatedCluster

MIN_FAULT_INTERVAL_US = 300 * MILLISECOND
MAX_FAULT_INTERVAL_US = 1800 * MILLISECOND
MIN_FAULT_US = 200 * MILLISECOND
MAX_FAULT_US = 6 * SECOND
MIN_PAUSE_AT_MOMENT_US = 2 * SECOND
MIN_PARTITION_US = 3 * SECOND
# The delay of an overloaded event loop, as a multiple of the delay from which on it counts as late.
OVERLOAD_FACTOR = 10


class FaultSchedule:
    """The faults of a cluster's members and network."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self._appliers: dict[Fault, Callable[[SimulatedMember, int], None]] = {
            Fault.KILL: self._kill,
            Fault.KILL_AT_WRITE: partial(self._await_moment, FaultMoment.WRITE, 0),
            Fault.KILL_AND_PARTITION: self._kill_and_partition,
            Fault.PAUSE: self._pause,
            Fault.PAUSE_AT_COMMAND: partial(self._await_moment, FaultMoment.COMMAND, MIN_PAUSE_AT_MOMENT_US),
            Fault.PAUSE_IN_BUFFER: partial(self._await_moment, FaultMoment.BUFFER, MIN_PAUSE_AT_MOMENT_US),
            Fault.PARTITION: partial(self._partition, True, False),
            Fault.ONE_WAY_PARTITION: partial(self._partition, False, False),
            Fault.ISOLATION: partial(self._partition, True, True),
            Fault.MESSAGE_LOSS: self._lose_messages,
            Fault.SLOW_DISK: self._slow_down_disk,
            Fault.DRAIN: self._drain,
            Fault.LATE_LOOP: self._overload_loop,
            Fault.EMPTY_DISK: self._empty_disk,
        }

    def plan(self) -> None:
        """Draw the times and kinds of all faults of the day, and schedule them and their end."""
        rng = self.cluster.rng
        scheduler = self.cluster.scheduler
        faults = list(Fault)
        at = FAULTS_BEGIN_US + rng.randrange(MIN_FAULT_INTERVAL_US, MAX_FAULT_INTERVAL_US)
        while at < LAST_FAULT_US:
            scheduler.call_later(at, partial(self._apply, rng.choice(faults)))
            at += rng.randrange(MIN_FAULT_INTERVAL_US, MAX_FAULT_INTERVAL_US)
        scheduler.call_later(HEALED_AT_US, self.cluster.heal)

    def _apply(self, fault: Fault) -> None:
        rng = self.cluster.rng
        member = rng.choice(self.cluster.members)
        drawn_duration = rng.randrange(MIN_FAULT_US, MAX_FAULT_US)
        duration = min(drawn_duration, max(MILLISECOND, HEALED_AT_US - self.cluster.scheduler.now))
        self._appliers[fault](member, duration)

    def _call_later(self, delay: int, callback: Callable[[], None]) -> None:
        self.cluster.scheduler.call_later(delay, callback)

    def _kill(self, member: SimulatedMember, duration: int) -> None:
        if member.is_alive:
            member.stop()
            self._call_later(duration, member.start_unless_alive)

    def _empty_disk(self, member: SimulatedMember, duration: int) -> None:
        """Restart a member with an empty disk, if all others are alive and vote.

        The condition ensures that at most one member at a time is without its votes.
        """
        is_safe = all(
            other is member or (other.is_alive and not other.member.is_recovering)
            for other in self.cluster.members
        )
        if is_safe:
            member.stop()
            self._call_later(duration, member.start_empty_unless_alive)

    def _pause(self, member: SimulatedMember, duration: int) -> None:
        if member.is_alive:
            member.paused_until = self.cluster.scheduler.now + duration

    def _await_moment(
        self, moment: FaultMoment, min_duration: int, member: SimulatedMember, duration: int
    ) -> None:
        if member.is_alive:
            member.pending_fault = PendingFault(moment, max(duration, min_duration))

    def _slow_down_disk(self, member: SimulatedMember, duration: int) -> None:
        member.max_sync_us = MAX_SLOW_SYNC_US
        self._call_later(duration, partial(setattr, member, "max_sync_us", MAX_SYNC_US))

    def _drain(self, member: SimulatedMember, duration: int) -> None:
        if not member.is_alive:
            return

        def end_drain() -> None:
            member.member.is_draining = False

        member.member.is_draining = True
        self._call_later(duration, end_drain)

    def _overload_loop(self, member: SimulatedMember, duration: int) -> None:
        if not member.is_alive:
            return

        def end_overload() -> None:
            member.member.loop_delay_us = 0

        member.member.loop_delay_us = OVERLOAD_FACTOR * member.member.configuration.loop_delay_limit_us
        self._call_later(duration, end_overload)

    def _partition(self, is_two_way: bool, is_from_all: bool, member: SimulatedMember, duration: int) -> None:
        others = [other.number for other in self.cluster.members if other is not member]
        self.cluster.rng.shuffle(others)
        for other in others if is_from_all else others[:1]:
            pairs = {(member.number, other)}
            if is_two_way:
                pairs.add((other, member.number))
            self._partition_for(duration, pairs)

    def _partition_for(self, duration: int, pairs: Iterable[tuple[int, int]]) -> None:
        self.cluster.network.partition(pairs)
        self._call_later(duration, partial(self.cluster.network.reconnect, pairs))

    def _lose_messages(self, _member: SimulatedMember, duration: int) -> None:
        network = self.cluster.network
        network.loss_probability = HIGH_MESSAGE_LOSS_PROBABILITY
        self._call_later(duration, partial(setattr, network, "loss_probability", MESSAGE_LOSS_PROBABILITY))

    def _kill_and_partition(self, member: SimulatedMember, duration: int) -> None:
        """Partition all members except a random one from each other, and stop that one for a short time."""
        rng = self.cluster.rng
        members = self.cluster.members
        bridging_member = rng.choice([other for other in members if other is not member])
        separated_members = [other.number for other in members if other is not bridging_member]
        pairs = {
            (sender, receiver)
            for sender in separated_members
            for receiver in separated_members
            if sender != receiver
        }
        self._partition_for(max(duration, MIN_PARTITION_US), pairs)
        stop_delay = rng.randrange(SECOND, 2500 * MILLISECOND)
        self._call_later(stop_delay, bridging_member.stop)
        start_delay = stop_delay + rng.randrange(100 * MILLISECOND, 300 * MILLISECOND)
        self._call_later(start_delay, bridging_member.start_unless_alive)
