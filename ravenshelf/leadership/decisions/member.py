"""A member: voter, lease holder, balancing and recovery together."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from ravenshelf.leadership.decisions.balancer import Balancer
from ravenshelf.leadership.decisions.claims import Claim, Permission
from ravenshelf.leadership.decisions.configuration import LeaseConfiguration
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
from ravenshelf.leadership.decisions.output import LeaseOutput, PackedRecord
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
        local_member: int,
        members: int,
        configuration: LeaseConfiguration,
        stored: StoredVotes,
        now: int,
        rng: random.Random,
        recovering: bool = False,
        capacity: float = 1.0,
    ) -> None:
        self.local_member = local_member
        self.members = members
        self.configuration = configuration
        self.capacity = capacity
        self.is_draining = False
        self.loop_delay_us = 0
        self.quorum = members // 2 + 1
        self.voter = Voter(configuration, stored, now, self._on_own_vote)
        self.leases = LeaseHolder(local_member, members, self.quorum, configuration, self.voter, rng)
        self.peers = PeerTable(local_member, members, configuration)
        self.quorum_monitor = QuorumMonitor(now, configuration)
        self.balancer = Balancer(local_member, configuration, self.voter, self.leases, self.peers)
        self.recovery = StateRecovery(
            local_member, members, self.quorum, configuration, self.voter, recovering
        )
        self._renew_at = now
        self._rebalance_at = now + configuration.renewal_interval_us
        self._handlers: dict[type, Callable[[int, int, Any, LeaseOutput], None]] = {
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
        return MemberLoad(self.capacity, self.is_draining, self.loop_delay_us)

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

    def write_record(self, now: int, shard: int, record: PackedRecord, output: LeaseOutput) -> int | None:
        """Sends a shard's new record to the voters; returns its number, for `permission`, or None."""
        return self.leases.write_record(now, shard, record, output)

    def release(
        self, now: int, shards: Iterable[int], successor: int | None, output: LeaseOutput
    ) -> list[int]:
        """Gives leases up; returns the shards of those that it had."""
        return self.leases.release(now, shards, successor, output)

    def tick(self, now: int, output: LeaseOutput) -> int:
        """Does what is due; returns when to be called again at the latest."""
        self.quorum_monitor.tick(now)
        if self.is_recovering:
            if now >= self._renew_at:
                self._renew_at = now + self.configuration.renewal_interval_us
                self.recovery.request(output)
            return self._renew_at
        quorum_last_contact = self.peers.quorum_last_contact(now, self.quorum)
        self.quorum_monitor.update(now, quorum_last_contact)
        self.leases.expire(now, quorum_last_contact, output)
        if now >= self._renew_at:
            self._renew_at = now + self.configuration.renewal_interval_us
            self.leases.renew(now, self.load, output)
        if now >= self._rebalance_at:
            self._rebalance_at = now + self.configuration.renewal_interval_us // 2
            if now >= self.voter.quiet_until and self.quorum_monitor.is_reachable():
                self.balancer.rebalance(now, self.weights(now), self.is_draining, output)
        due = self.leases.tick(now, output)
        return max(now + SHORTEST_TICK_US, min([self._renew_at, self._rebalance_at, *due]))

    # --- messages ---

    def note_contact(self, now: int, member: int) -> None:
        """A message of a member has come, whatever it says."""
        self.peers.note_contact(now, member)

    def receive(self, now: int, member: int, message: Message, output: LeaseOutput) -> None:
        """A message of a member, this one among them: its own voter is asked like the others."""
        self.note_contact(now, member)
        if self.is_recovering and not isinstance(message, (StateRequest, StateReply)):
            return
        self._handlers[type(message)](now, member, message, output)

    def _on_renewal(self, now: int, member: int, request: RenewalRequest, output: LeaseOutput) -> None:
        self.peers.update_load(member, request.load)
        self.voter.on_renewal(now, member, request, output)

    def _on_own_vote(self, shard: int, output: LeaseOutput) -> None:
        self.leases.end_superseded_lease(shard, output)
