"""A schedule of faults, drawn from the seed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING

from standins.controllers.member import PendingFault, SimulatedMember
from standins.controllers.parameters import (
    FAULTS_BEGIN_US,
    HEALED_AT_US,
    LAST_FAULT_US,
    MESSAGE_LOSS,
    MILLISECOND,
    ROUGH_MESSAGE_LOSS,
    SECOND,
    SLOW_SYNC_LIMIT_US,
    SYNC_LIMIT_US,
    Fault,
    FaultMoment,
)

if TYPE_CHECKING:
    from standins.controllers.cluster import SimulatedCluster

SHORTEST_GAP_US = 300 * MILLISECOND
LONGEST_GAP_US = 1800 * MILLISECOND
SHORTEST_FAULT_US = 200 * MILLISECOND
LONGEST_FAULT_US = 6 * SECOND
SHORTEST_PAUSE_AT_MOMENT_US = 2 * SECOND
SHORTEST_PARTITION_US = 3 * SECOND
OVERLOAD = 10  # times the limit of a late event loop


class FaultSchedule:
    """Applies faults to the members of a cluster."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self._appliers: dict[Fault, Callable[[SimulatedMember, int], None]] = {
            Fault.KILL: self._kill,
            Fault.KILL_AT_WRITE: partial(self._await_moment, FaultMoment.WRITE, 0),
            Fault.KILL_AND_PARTITION: self._kill_and_partition,
            Fault.PAUSE: self._pause,
            Fault.PAUSE_AT_COMMAND: partial(
                self._await_moment, FaultMoment.COMMAND, SHORTEST_PAUSE_AT_MOMENT_US
            ),
            Fault.PAUSE_IN_BUFFER: partial(
                self._await_moment, FaultMoment.BUFFER, SHORTEST_PAUSE_AT_MOMENT_US
            ),
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
        """Draws all faults of the day."""
        rng = self.cluster.rng
        scheduler = self.cluster.scheduler
        faults = list(Fault)
        at = FAULTS_BEGIN_US + rng.randrange(SHORTEST_GAP_US, LONGEST_GAP_US)
        while at < LAST_FAULT_US:
            scheduler.call_later(at, partial(self._apply, rng.choice(faults)))
            at += rng.randrange(SHORTEST_GAP_US, LONGEST_GAP_US)
        scheduler.call_later(HEALED_AT_US, self.cluster.heal)

    def _apply(self, fault: Fault) -> None:
        rng = self.cluster.rng
        member = rng.choice(self.cluster.members)
        drawn = rng.randrange(SHORTEST_FAULT_US, LONGEST_FAULT_US)
        duration = min(drawn, max(MILLISECOND, HEALED_AT_US - self.cluster.scheduler.now))
        self._appliers[fault](member, duration)

    def _later(self, delay: int, call: Callable[[], None]) -> None:
        self.cluster.scheduler.call_later(delay, call)

    # --- processes ---

    def _kill(self, member: SimulatedMember, duration: int) -> None:
        if member.is_alive:
            member.stop()
            self._later(duration, member.start_unless_alive)

    def _empty_disk(self, member: SimulatedMember, duration: int) -> None:
        """One at a time: all others are alive and vote."""
        is_safe = all(
            other is member or (other.is_alive and not other.member.is_recovering)
            for other in self.cluster.members
        )
        if is_safe:
            member.stop()
            self._later(duration, member.start_empty_unless_alive)

    def _pause(self, member: SimulatedMember, duration: int) -> None:
        if member.is_alive:
            member.paused_until = self.cluster.scheduler.now + duration

    def _await_moment(
        self, moment: FaultMoment, shortest: int, member: SimulatedMember, duration: int
    ) -> None:
        if member.is_alive:
            member.pending_fault = PendingFault(moment, max(duration, shortest))

    def _slow_down_disk(self, member: SimulatedMember, duration: int) -> None:
        member.sync_limit_us = SLOW_SYNC_LIMIT_US
        self._later(duration, partial(setattr, member, "sync_limit_us", SYNC_LIMIT_US))

    def _drain(self, member: SimulatedMember, duration: int) -> None:
        if not member.is_alive:
            return

        def end() -> None:
            member.member.is_draining = False

        member.member.is_draining = True
        self._later(duration, end)

    def _overload_loop(self, member: SimulatedMember, duration: int) -> None:
        if not member.is_alive:
            return

        def end() -> None:
            member.member.loop_delay_us = 0

        member.member.loop_delay_us = OVERLOAD * member.member.configuration.loop_delay_limit_us
        self._later(duration, end)

    # --- network ---

    def _partition(self, both_ways: bool, from_all: bool, member: SimulatedMember, duration: int) -> None:
        others = [other.number for other in self.cluster.members if other is not member]
        self.cluster.rng.shuffle(others)
        for other in others if from_all else others[:1]:
            pairs = {(member.number, other)}
            if both_ways:
                pairs.add((other, member.number))
            self._partition_for(duration, pairs)

    def _partition_for(self, duration: int, pairs: Iterable[tuple[int, int]]) -> None:
        self.cluster.network.partition(pairs)
        self._later(duration, partial(self.cluster.network.reconnect, pairs))

    def _lose_messages(self, _member: SimulatedMember, duration: int) -> None:
        network = self.cluster.network
        network.message_loss = ROUGH_MESSAGE_LOSS
        self._later(duration, partial(setattr, network, "message_loss", MESSAGE_LOSS))

    def _kill_and_partition(self, member: SimulatedMember, duration: int) -> None:
        """All others but one are cut off from each other, and that one stops for a moment."""
        rng = self.cluster.rng
        members = self.cluster.members
        bridge = rng.choice([other for other in members if other is not member])
        separated = [other.number for other in members if other is not bridge]
        pairs = {(a, b) for a in separated for b in separated if a != b}
        self._partition_for(max(duration, SHORTEST_PARTITION_US), pairs)
        stops_after = rng.randrange(SECOND, 2500 * MILLISECOND)
        self._later(stops_after, bridge.stop)
        starts_after = stops_after + rng.randrange(100 * MILLISECOND, 300 * MILLISECOND)
        self._later(starts_after, bridge.start_unless_alive)
