"""One member of a cluster, composed of its voter, lease holder, balancer and recovery."""

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
    """One member of a cluster. All times are microseconds of its own clock.

    The attributes `capacity`, `is_draining` and `loop_delay_us` may be set at any time.

    Args:
        local_member: This member's number.
        member_count: The size of the cluster.
        configuration: The durations and rates, equal at all members.
        stored: The votes that were read from disk, by shard.
        now: The present time.
        rng: Draws the retry delays.
        is_recovering: True if the disk does not say that this member votes. It then reads the votes of a
            quorum of the others before it votes itself.
        capacity: This member's weight, in proportion to that of the others.
    """

    def __init__(
        self,
        local_member: int,
        member_count: int,
        configuration: LeaseConfiguration,
        stored: StoredVotes,
        now: int,
        rng: random.Random,
        is_recovering: bool = False,
        capacity: float = 1.0,
    ) -> None:
        self.local_member = local_member
        self.member_count = member_count
        self.configuration = configuration
        self.capacity = capacity
        self.is_draining = False
        self.loop_delay_us = 0
        self.quorum = member_count // 2 + 1
        self.voter = Voter(configuration, stored, now, self._on_local_promise)
        self.leases = LeaseHolder(local_member, member_count, self.quorum, configuration, self.voter, rng)
        self.peers = PeerTable(local_member, member_count, configuration)
        self.quorum_monitor = QuorumMonitor(now, configuration)
        self.balancer = Balancer(local_member, configuration, self.voter, self.leases, self.peers)
        self.recovery = StateRecovery(
            local_member, member_count, self.quorum, configuration, self.voter, is_recovering
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

    @property
    def claims(self) -> list[Claim]:
        """The state of this member's leases, by shard."""
        return self.leases.claims

    @property
    def votes(self) -> list[Vote]:
        """The state of this member's voter, by shard."""
        return self.voter.votes

    @property
    def is_recovering(self) -> bool:
        """Whether this member still reads the votes of the others and doesn't vote yet."""
        return self.recovery.is_active

    @property
    def load(self) -> MemberLoad:
        """The load that this member reports to the others, and from which its weight is computed."""
        return MemberLoad(self.capacity, self.is_draining, self.loop_delay_us)

    def held_shards(self) -> list[int]:
        """Return the shards whose lease this member holds."""
        return self.leases.held_shards()

    def weights(self, now: int) -> dict[int, float]:
        """Return the weight of each reachable member, this one included."""
        return self.peers.weights(now, self.load)

    def holder(self, now: int, shard: int) -> int | None:
        """Return the member that holds a shard's lease according to this one, or None."""
        return self.balancer.holder(now, shard)

    def is_quorum_lost(self, now: int) -> bool:
        """Return whether a quorum has been unreachable for longer than a pause of this process explains."""
        return self.quorum_monitor.is_lost(now)

    def permission(self, now: int, shard: int, seq: int = 0) -> Permission | None:
        """Return which commands may be sent for a shard.

        Call this after a command is encoded, immediately before it is sent, since encoding takes time.

        Args:
            now: The present time.
            shard: The shard of the proxy that the command is for.
            seq: The number of the record that the command requires; 0 for none.

        Returns:
            FULL while the lease is valid and a quorum has accepted the required record. REPEAT_ONLY if the
            lease expired because no quorum is reachable, and no later term was seen: commands that repeat
            previous tables may be sent, but none that admits additional requests or retries. None if nothing
            may be sent.
        """
        if self.leases.is_valid(now, shard, seq):
            return Permission.FULL
        if self.leases.has_latest_term(shard) and self.is_quorum_lost(now):
            return Permission.REPEAT_ONLY
        return None

    def write_record(self, now: int, shard: int, record: PackedRecord, output: LeaseOutput) -> int | None:
        """Send a shard's new record to all voters.

        Returns:
            The number of the record, as `permission` expects it; None without a valid lease.
        """
        return self.leases.write_record(now, shard, record, output)

    def release(
        self, now: int, shards: Iterable[int], successor: int | None, output: LeaseOutput
    ) -> list[int]:
        """Release leases to the member `successor`, or to any member if it is None.

        Returns:
            The released shards. Shards without a claim are left out.
        """
        return self.leases.release(now, shards, successor, output)

    def tick(self, now: int, output: LeaseOutput) -> int:
        """Renew, expire and request leases as far as this is due.

        Returns:
            The time by which `tick` has to be called again.
        """
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
        due_times = self.leases.tick(now, output)
        return max(now + SHORTEST_TICK_US, min([self._renew_at, self._rebalance_at, *due_times]))

    def note_contact(self, now: int, member: int) -> None:
        """Record that a message of a member arrived, whatever its content."""
        self.peers.note_contact(now, member)

    def receive(self, now: int, member: int, message: Message, output: LeaseOutput) -> None:
        """Handle a message of a member.

        This member sends requests to its own voter in the same way as to the others, so `member` may be the
        local one. While recovering, only messages of the recovery are handled.
        """
        self.note_contact(now, member)
        if self.is_recovering and not isinstance(message, (StateRequest, StateReply)):
            return
        self._handlers[type(message)](now, member, message, output)

    def _on_renewal(self, now: int, member: int, request: RenewalRequest, output: LeaseOutput) -> None:
        self.peers.update_load(member, request.load)
        self.voter.on_renewal(now, member, request, output)

    def _on_local_promise(self, shard: int, output: LeaseOutput) -> None:
        self.leases.end_superseded_lease(shard, output)
