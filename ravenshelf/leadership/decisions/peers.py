"""What a member knows of the others: who is reachable, with what load, and whether a quorum is."""

from dataclasses import dataclass

from ravenshelf.leadership.decisions.configuration import LeaseConfiguration
from ravenshelf.leadership.decisions.messages import MemberLoad
from ravenshelf.leadership.shard_placement import member_weight

NEVER = -1  # in place of a time
UNKNOWN_LOAD = MemberLoad(1.0, False, 0)  # until a member has reported its own


@dataclass(slots=True)
class Peer:
    """Another member. Times are microseconds by this member's clock."""

    last_contact: int | None = None
    reachable_since: int = 0
    load: MemberLoad = UNKNOWN_LOAD


class PeerTable:
    """All other members of the cluster."""

    def __init__(self, local_member: int, members: int, configuration: LeaseConfiguration) -> None:
        self.local_member = local_member
        self.configuration = configuration
        self.peers = {member: Peer() for member in range(members) if member != local_member}

    def note_contact(self, now: int, member: int) -> None:
        """A message of a member has come."""
        peer = self.peers.get(member)
        if peer is None:
            return
        if peer.last_contact is None or now - peer.last_contact > self.configuration.lease_us:
            peer.reachable_since = now
        peer.last_contact = now

    def update_load(self, member: int, load: MemberLoad) -> None:
        """A member has reported its load."""
        if member in self.peers:
            self.peers[member].load = load

    def is_stable(self, now: int, member: int) -> bool:
        """Whether a member is reachable for long enough to be handed shards of others."""
        return now - self.peers[member].reachable_since >= self.configuration.stability_period_us

    def weights(self, now: int, own_load: MemberLoad) -> dict[int, float]:
        """The weight of each reachable member, this one among them."""
        weights = {self.local_member: self._weight(own_load)}
        for member, peer in self.peers.items():
            if peer.last_contact is not None and now - peer.last_contact <= self.configuration.lease_us:
                weights[member] = self._weight(peer.load)
        return weights

    def _weight(self, load: MemberLoad) -> float:
        return member_weight(
            load.capacity, load.is_draining, load.loop_delay_us, self.configuration.loop_delay_limit_us
        )

    def quorum_last_contact(self, now: int, quorum: int) -> int:
        """When a quorum, this member included, was last heard from; `NEVER` where it has not been."""
        if quorum < 2:
            return now
        times = sorted(
            (NEVER if peer.last_contact is None else peer.last_contact for peer in self.peers.values()),
            reverse=True,
        )
        return times[quorum - 2]


class QuorumMonitor:
    """Whether a quorum is reachable, told apart from pauses of this process itself."""

    def __init__(self, now: int, configuration: LeaseConfiguration) -> None:
        self.configuration = configuration
        self.unreachable_since: int | None = now
        self.last_tick = now

    def tick(self, now: int) -> None:
        """Called at each tick.

        A pause of this process says nothing of messages that had no answer meanwhile.
        """
        was_paused = now - self.last_tick > self.configuration.lease_us
        if was_paused and self.unreachable_since is not None:
            self.unreachable_since = now
        self.last_tick = now

    def update(self, now: int, quorum_last_contact: int) -> None:
        """Takes in when a quorum was last heard from."""
        if now - quorum_last_contact <= self.configuration.lease_us and quorum_last_contact >= 0:
            self.unreachable_since = None
        elif self.unreachable_since is None:
            # from now on, not from the last message: this process may be the one that was paused
            self.unreachable_since = now

    def is_reachable(self) -> bool:
        """Whether a quorum was heard from within the last lease."""
        return self.unreachable_since is None

    def is_lost(self, now: int) -> bool:
        """Whether a quorum is unreachable for so long that it is no pause of this process.

        Renewals that were sent after the last message of a quorum have had no answer for two leases.
        """
        lease_us = self.configuration.lease_us
        is_running = now - self.last_tick <= lease_us
        return (
            is_running and self.unreachable_since is not None and now - self.unreachable_since > 2 * lease_us
        )
