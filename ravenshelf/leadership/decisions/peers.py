"""Reachability and load of the other members, and the reachability of a quorum."""

from dataclasses import dataclass

from ravenshelf.leadership.decisions.configuration import LeaseConfiguration
from ravenshelf.leadership.decisions.messages import MemberLoad
from ravenshelf.leadership.shard_placement import member_weight

NEVER = -1  # used as the time of a contact that has not happened
UNKNOWN_LOAD = MemberLoad(1.0, False, 0)  # assumed until a member has reported its load


@dataclass(slots=True)
class Peer:
    """Another member.

    Times are microseconds of the local member's clock. `last_contact` is None until a message has arrived;
    `reachable_since` is the time of the first message after the latest gap of more than a lease length.
    """

    last_contact: int | None = None
    reachable_since: int = 0
    load: MemberLoad = UNKNOWN_LOAD


class PeerTable:
    """All other members of the cluster, by number."""

    def __init__(self, local_member: int, member_count: int, configuration: LeaseConfiguration) -> None:
        self.local_member = local_member
        self.configuration = configuration
        self.peers = {member: Peer() for member in range(member_count) if member != local_member}

    def note_contact(self, now: int, member: int) -> None:
        """Record that a message of a member arrived; one from the local member is ignored."""
        peer = self.peers.get(member)
        if peer is None:
            return
        if peer.last_contact is None or now - peer.last_contact > self.configuration.lease_us:
            peer.reachable_since = now
        peer.last_contact = now

    def update_load(self, member: int, load: MemberLoad) -> None:
        """Record the load that a member has reported."""
        if member in self.peers:
            self.peers[member].load = load

    def is_stable(self, now: int, member: int) -> bool:
        """Return whether a member has been reachable for long enough to receive shards from others."""
        return now - self.peers[member].reachable_since >= self.configuration.stability_period_us

    def weights(self, now: int, local_load: MemberLoad) -> dict[int, float]:
        """Return the weight of each reachable member, the local one included."""
        weights = {self.local_member: self._weight(local_load)}
        for member, peer in self.peers.items():
            if peer.last_contact is not None and now - peer.last_contact <= self.configuration.lease_us:
                weights[member] = self._weight(peer.load)
        return weights

    def _weight(self, load: MemberLoad) -> float:
        return member_weight(
            load.capacity, load.is_draining, load.loop_delay_us, self.configuration.loop_delay_limit_us
        )

    def quorum_last_contact(self, now: int, quorum: int) -> int:
        """Return the latest time since which messages of a whole quorum, this member included, have arrived.

        `NEVER` if a quorum has not been in contact yet; `now` if this member alone is a quorum.
        """
        if quorum < 2:
            return now
        contact_times = sorted(
            (NEVER if peer.last_contact is None else peer.last_contact for peer in self.peers.values()),
            reverse=True,
        )
        return contact_times[quorum - 2]


class QuorumMonitor:
    """Detects that no quorum is reachable, and distinguishes this from pauses of its own process."""

    def __init__(self, now: int, configuration: LeaseConfiguration) -> None:
        self.configuration = configuration
        self.unreachable_since: int | None = now
        self.last_tick = now

    def tick(self, now: int) -> None:
        """Detect a pause of this process; called at each tick.

        While the process was paused, it could not handle replies. Missing replies therefore don't show that
        the quorum was unreachable, and the time without a quorum is counted from the end of the pause.
        """
        was_paused = now - self.last_tick > self.configuration.lease_us
        if was_paused and self.unreachable_since is not None:
            self.unreachable_since = now
        self.last_tick = now

    def update(self, now: int, quorum_last_contact: int) -> None:
        """Record whether a quorum is reachable, given the last contact with a quorum (`NEVER` for none)."""
        if now - quorum_last_contact <= self.configuration.lease_us and quorum_last_contact >= 0:
            self.unreachable_since = None
        elif self.unreachable_since is None:
            # counted from now and not from the last message, because this process may have been paused
            self.unreachable_since = now

    def is_reachable(self) -> bool:
        """Return whether a quorum was in contact within the last lease length."""
        return self.unreachable_since is None

    def is_lost(self, now: int) -> bool:
        """Return whether a quorum has been unreachable for too long to be a pause of this process.

        That is the case when this process has been running, and the renewals that it sent after the last
        contact with a quorum have had no reply for two lease lengths.
        """
        lease_us = self.configuration.lease_us
        is_running = now - self.last_tick <= lease_us
        return (
            is_running and self.unreachable_since is not None and now - self.unreachable_since > 2 * lease_us
        )
