"""A member: voter, lease holder, balancing and recovery together."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from ravenshelf.leadership.decisions.balancer import Balancer
from ravenshelf.leadership.decisions.claims import Claim, Permission
from ravenshelf.leadership.decisions.configuration import LeaseConfiguration
from ravenshelf.leadership.decisions.effects import LeaseEffects, PackedRecord
from ravenshelf.leadership.decisions.lease_holder import LeaseHolder
from ravenshelf.leadership.decisions.messages import (
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    MemberLoad,
    Message,
    ProbeReply,
    ProbeRequest,
    RecordWrite,
    RecordWriteReply,
    RenewalReply,
    RenewalRequest,
    StateReply,
    StateRequest,
)
from ravenshelf.leadership.decisions.peers import PeerTable, QuorumMonitor
from ravenshelf.leadership.decisions.recovery import StateRecovery
from ravenshelf.leadership.decisions.voter import StoredVotes, Vote, Voter

SHORTEST_TICK_US = 1000


class Member:
    """One member of a cluster.

    `stored` is what the disk had. `recovering`: the disk does not say that the member votes, so it votes
    for nothing until it has read a quorum of the others. `capacity`, `draining` and `loop_delay_us` may be
    set at any time.
    """

    def __init__(
        self,
        me: int,
        members: int,
        configuration: LeaseConfiguration,
        stored: StoredVotes,
        now: int,
        rng: random.Random,
        recovering: bool = False,
        capacity: float = 1.0,
    ) -> None:
        self.me = me
        self.members = members
        self.configuration = configuration
        self.capacity = capacity
        self.draining = False
        self.loop_delay_us = 0
        self.quorum = members // 2 + 1
        self.voter = Voter(configuration, stored, now, self._on_own_vote)
        self.leases = LeaseHolder(me, members, self.quorum, configuration, self.voter, rng)
        self.peers = PeerTable(me, members, configuration)
        self.quorum_monitor = QuorumMonitor(now, configuration)
        self.balancer = Balancer(me, configuration, self.voter, self.leases, self.peers)
        self.recovery = StateRecovery(me, members, self.quorum, configuration, self.voter, recovering)
        self._renew_at = now
        self._rebalance_at = now + configuration.renewal_interval_us
        self._handlers: dict[type, Callable[[int, int, Any, LeaseEffects], None]] = {
            StateRequest: self.recovery.on_request,
            StateReply: self.recovery.on_reply,
            RenewalRequest: self._on_renewal,
            RenewalReply: self.leases.on_renewal_reply,
            ProbeRequest: self.voter.on_probe,
            ProbeReply: self.leases.on_probe_reply,
            LeaseRequest: self.voter.on_lease_request,
            LeaseReply: self.leases.on_lease_reply,
            RecordWrite: self.voter.on_record_write,
            RecordWriteReply: self.leases.on_record_write_reply,
            LeaseRelease: self.balancer.on_release,
        }

    # --- state ---

    @property
    def claims(self) -> list[Claim]:
        """This member's part of each shard."""
        return self.leases.claims

    @property
    def votes(self) -> list[Vote]:
        """The voter's part of each shard."""
        return self.voter.votes

    @property
    def is_recovering(self) -> bool:
        """Whether it reads the state of others before it votes."""
        return self.recovery.is_active

    @property
    def load(self) -> MemberLoad:
        """What its share depends on."""
        return MemberLoad(self.capacity, self.draining, self.loop_delay_us)

    def held_shards(self) -> list[int]:
        """Shards whose lease it holds."""
        return self.leases.held_shards()

    def weights(self, now: int) -> dict[int, float]:
        """The weight of each reachable member, this one among them."""
        return self.peers.weights(now, self.load)

    def holder(self, now: int, shard: int) -> int | None:
        """Which member holds a shard's lease, as far as this one knows."""
        return self.balancer.holder(now, shard)

    def is_quorum_lost(self, now: int) -> bool:
        """Whether no quorum is reachable, for so long that it is no pause of this process."""
        return self.quorum_monitor.is_lost(now)

    def permission(self, now: int, shard: int, seq: int = 0) -> Permission | None:
        """Which orders may be sent; to be asked after an order is encoded, with the record that it needs.

        FULL: the lease is valid. REPEAT_ONLY: it expired because no quorum is reachable, and no later term
        is known; what repeats known tables may be sent, nothing that admits a request or a retry. None:
        nothing.
        """
        if self.leases.is_valid(now, shard, seq):
            return Permission.FULL
        if self.leases.has_latest_known_term(shard) and self.is_quorum_lost(now):
            return Permission.REPEAT_ONLY
        return None

    # --- calls ---

    def write_record(self, now: int, shard: int, record: PackedRecord, effects: LeaseEffects) -> int | None:
        """Sends a shard's new record to the voters; returns its number, for `permission`, or None."""
        return self.leases.write_record(now, shard, record, effects)

    def release(
        self, now: int, shards: Iterable[int], successor: int | None, effects: LeaseEffects
    ) -> list[int]:
        """Gives leases up; returns the shards of those that it had."""
        return self.leases.release(now, shards, successor, effects)

    def tick(self, now: int, effects: LeaseEffects) -> int:
        """Does what is due; returns when to be called again at the latest."""
        self.quorum_monitor.tick(now)
        if self.is_recovering:
            if now >= self._renew_at:
                self._renew_at = now + self.configuration.renewal_interval_us
                self.recovery.request(effects)
            return self._renew_at
        quorum_last_contact = self.peers.quorum_last_contact(now, self.quorum)
        self.quorum_monitor.update(now, quorum_last_contact)
        self.leases.expire(now, quorum_last_contact, effects)
        if now >= self._renew_at:
            self._renew_at = now + self.configuration.renewal_interval_us
            self.leases.renew(now, self.load, effects)
        if now >= self._rebalance_at:
            self._rebalance_at = now + self.configuration.renewal_interval_us // 2
            if now >= self.voter.quiet_until and self.quorum_monitor.is_reachable():
                self.balancer.rebalance(now, self.weights(now), self.draining, effects)
        due = self.leases.tick(now, effects)
        return max(now + SHORTEST_TICK_US, min([self._renew_at, self._rebalance_at, *due]))

    # --- messages ---

    def note_contact(self, now: int, member: int) -> None:
        """A message of a member has come, whatever it says."""
        self.peers.note_contact(now, member)

    def receive(self, now: int, member: int, message: Message, effects: LeaseEffects) -> None:
        """A message of a member, this one among them: its own voter is asked like the others."""
        self.note_contact(now, member)
        if self.is_recovering and not isinstance(message, (StateRequest, StateReply)):
            return
        self._handlers[type(message)](now, member, message, effects)

    def _on_renewal(self, now: int, member: int, request: RenewalRequest, effects: LeaseEffects) -> None:
        self.peers.update_load(member, request.load)
        self.voter.on_renewal(now, member, request, effects)

    def _on_own_vote(self, shard: int, effects: LeaseEffects) -> None:
        self.leases.end_superseded_lease(shard, effects)
