"""A simulated cluster: its members, their network, the proxies and the endpoint list."""

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
    MILLISECOND,
    SECOND,
    SYNC_LIMIT_US,
    Defect,
    DriftIgnored,
    FaultMoment,
)
from standins.controllers.scheduler import Scheduler
from standins.histories import Command, CommandApplied, CommandSent, FaultsEnded, HistoryEvent

START_LIMIT_US = 300 * MILLISECOND
SHORTEST_DELIVERY_US = 200
DELIVERY_LIMIT_US = 3 * MILLISECOND


class SimulatedCluster:
    """`count` members share so many `shards`, each with one proxy of the shard's number.

    `has_extreme_drift`: clocks run apart as far as `clock_drift` allows.
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
        self.rng = random.Random(seed)
        self.count = count
        self.has_extreme_drift = has_extreme_drift
        self.events: list[HistoryEvent] = []
        self.scheduler = Scheduler()
        self._defects = frozenset(defects)
        self.configuration = self._configuration(shards, clock_drift)
        self.endpoint_list = EndpointListHistory(self.rng)
        self._requests = WaitingRequests(self.rng, shards)
        self._highest_term = dict.fromkeys(range(shards), 0)  # by proxy
        self._delivered_at: dict[tuple[int, int], int] = {}  # (member, shard): of the last command
        self.members = [SimulatedMember(self, number) for number in range(count)]
        self.network = Network(self.rng, self.scheduler, self.members.__getitem__, self._receive)
        for member in self.members:
            self.scheduler.call_later(self.rng.randrange(START_LIMIT_US), member.start)
        if has_faults:
            FaultSchedule(self).plan()

    def _configuration(self, shards: int, clock_drift: float) -> LeaseConfiguration:
        configuration = LeaseConfiguration(shards=shards, stability_period_us=SECOND, clock_drift=clock_drift)
        if self.has_defect(Defect.DRIFT_IGNORED):
            return DriftIgnored(**dataclasses.asdict(configuration))
        return configuration

    def has_defect(self, defect: Defect) -> bool:
        """Whether this deliberate defect is there."""
        return defect in self._defects

    def run(self, until: int = END_US) -> list[HistoryEvent]:
        """Plays up to a true time, microseconds; returns the history so far."""
        self.scheduler.run(until)
        return self.events

    def seconds(self) -> float:
        """True time."""
        return self.scheduler.now / SECOND

    def record(self, event: HistoryEvent) -> None:
        """Adds to the history."""
        self.events.append(event)

    def waiting_requests(self, shard: int) -> list[str]:
        """Keys of requests that may be retried once."""
        return self._requests.keys(shard, self.scheduler.now)

    def _receive(self, sender: int, receiver: int, message: Message) -> None:
        self.members[receiver].receive(sender, message)

    # --- proxies ---

    def deliver(
        self, member: SimulatedMember, shard: int, term: int, permission: Permission, command: Command
    ) -> None:
        """A command leaves a member.

        What a process wrote just before it was paused may leave its buffer when it wakes.
        """
        self.record(CommandSent(self.seconds(), member.number, shard, term, permission, command))
        now = self.scheduler.now
        place = (member.number, shard)
        delay = self.rng.randrange(SHORTEST_DELIVERY_US, DELIVERY_LIMIT_US)
        at = max(self._delivered_at.get(place, 0), now + delay)
        if member.reach_moment(FaultMoment.BUFFER):
            at = max(at, member.paused_until)
        self._delivered_at[place] = at
        self.scheduler.call_later(at - now, lambda: self._apply_command(member.number, shard, term, command))

    def _apply_command(self, member: int, proxy: int, term: int, command: Command) -> None:
        highest = self._highest_term[proxy]
        if term < highest and not self.has_defect(Defect.NO_FENCE_AT_PROXIES):
            return
        self._highest_term[proxy] = max(term, highest)
        self.record(CommandApplied(self.seconds(), proxy, member, term, command))

    # --- the end of faults ---

    def heal(self) -> None:
        """Ends all faults."""
        self.network.heal()
        for member in self.members:
            member.paused_until = min(member.paused_until, self.scheduler.now)
            member.sync_limit_us = SYNC_LIMIT_US
            member.pending_fault = None
            member.start_unless_alive()
            member.member.is_draining = False
            member.member.loop_delay_us = 0
        self.record(FaultsEnded(self.seconds()))
