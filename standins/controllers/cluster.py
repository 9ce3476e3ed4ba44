"""A simulated cluster: the members, their network, the proxies and the endpoint list."""

import dataclasses
import random
from collections.abc import Collection

from ravenshelf.leadership.decisions import LeaseConfiguration, Message, Permission
from standins.controllers.endpoint_list import EndpointListHistory, WaitingRequests
from standins.controllers.faults import FaultSchedule
from standins.controllers.member import SimulatedMember
from standins.controllers.network import Network
from standins.controllers.parameters import (
    END_US,
    MAX_SYNC_US,
    MILLISECOND,
    SECOND,
    Defect,
    DriftIgnored,
    FaultMoment,
)
from standins.controllers.scheduler import Scheduler
from standins.histories import Command, CommandApplied, CommandSent, FaultsEnded, HistoryEvent

MAX_START_DELAY_US = 300 * MILLISECOND
MIN_DELIVERY_US = 200
MAX_DELIVERY_US = 3 * MILLISECOND


class SimulatedCluster:
    """A cluster of `count` members that share the leases of `shards` shards.

    Each shard has one proxy, whose number is that of the shard.
    """

    def __init__(
        self,
        seed: int,
        count: int = 3,
        shards: int = 4,
        defects: Collection[Defect] = (),
        has_faults: bool = True,
        has_extreme_drift: bool = False,
        clock_drift: float = 0.05,
    ) -> None:
        """Create the members, and schedule their starts and the faults.

        Args:
            seed: Seed of all random decisions.
            count: Number of members.
            shards: Number of shards.
            defects: The deliberate defects.
            has_faults: Whether there are faults.
            has_extreme_drift: Whether clocks drift apart as far as `clock_drift` allows.
            clock_drift: Largest relative deviation of a clock's rate from true time.
        """
        self.rng = random.Random(seed)
        self.count = count
        self.has_extreme_drift = has_extreme_drift
        self.events: list[HistoryEvent] = []
        self.scheduler = Scheduler()
        self._defects = frozenset(defects)
        self.configuration = self._create_configuration(shards, clock_drift)
        self.endpoint_list = EndpointListHistory(self.rng)
        self._requests = WaitingRequests(self.rng, shards)
        # The highest term that each proxy has received, by proxy number.
        self._highest_terms = dict.fromkeys(range(shards), 0)
        # The time at which the last command arrives, in microseconds, by member and shard.
        self._last_arrivals: dict[tuple[int, int], int] = {}
        self.members = [SimulatedMember(self, number) for number in range(count)]
        self.network = Network(self.rng, self.scheduler, self.members.__getitem__, self._receive)
        for member in self.members:
            self.scheduler.call_later(self.rng.randrange(MAX_START_DELAY_US), member.start)
        if has_faults:
            FaultSchedule(self).plan()

    def _create_configuration(self, shards: int, clock_drift: float) -> LeaseConfiguration:
        configuration = LeaseConfiguration(shards=shards, stability_period_us=SECOND, clock_drift=clock_drift)
        if self.has_defect(Defect.DRIFT_IGNORED):
            return DriftIgnored(**dataclasses.asdict(configuration))
        return configuration

    def has_defect(self, defect: Defect) -> bool:
        """Return whether the cluster has a deliberate defect."""
        return defect in self._defects

    def run(self, until: int = END_US) -> list[HistoryEvent]:
        """Run up to a true time in microseconds, and return the history since the start."""
        self.scheduler.run(until)
        return self.events

    def seconds(self) -> float:
        """Return the true time in seconds."""
        return self.scheduler.now / SECOND

    def record(self, event: HistoryEvent) -> None:
        """Add an event to the history."""
        self.events.append(event)

    def waiting_requests(self, shard: int) -> list[str]:
        """Return the keys of the requests of a shard that wait for a retry, which may be granted once."""
        return self._requests.keys(shard, self.scheduler.now)

    def _receive(self, sender: int, receiver: int, message: Message) -> None:
        self.members[receiver].receive(sender, message)

    def deliver(
        self, member: SimulatedMember, shard: int, term: int, permission: Permission, command: Command
    ) -> None:
        """Record a command that a member sends, and schedule its arrival at the proxy.

        A command that was written just before its process was paused may leave the process's buffer only when
        the process continues.
        """
        self.record(CommandSent(self.seconds(), member.number, shard, term, permission, command))
        now = self.scheduler.now
        stream = (member.number, shard)
        delay = self.rng.randrange(MIN_DELIVERY_US, MAX_DELIVERY_US)
        arrives_at = max(self._last_arrivals.get(stream, 0), now + delay)
        if member.reach_moment(FaultMoment.BUFFER):
            arrives_at = max(arrives_at, member.paused_until)
        self._last_arrivals[stream] = arrives_at
        self.scheduler.call_later(
            arrives_at - now, lambda: self._apply_command(member.number, shard, term, command)
        )

    def _apply_command(self, member: int, proxy: int, term: int, command: Command) -> None:
        highest_term = self._highest_terms[proxy]
        if term < highest_term and not self.has_defect(Defect.NO_FENCE_AT_PROXIES):
            return
        self._highest_terms[proxy] = max(term, highest_term)
        self.record(CommandApplied(self.seconds(), proxy, member, term, command))

    def heal(self) -> None:
        """End all faults: start the stopped members, continue the paused ones and reconnect the network."""
        self.network.heal()
        for member in self.members:
            member.paused_until = min(member.paused_until, self.scheduler.now)
            member.max_sync_us = MAX_SYNC_US
            member.pending_fault = None
            member.start_unless_alive()
            member.member.is_draining = False
            member.member.loop_delay_us = 0
        self.record(FaultsEnded(self.seconds()))
