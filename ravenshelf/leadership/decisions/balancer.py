"""Selection of the shards that a member requests, and of those that it hands over to rebalance."""

from typing import NamedTuple

from ravenshelf.leadership.decisions.claims import GRANTED_STATES, LeaseState
from ravenshelf.leadership.decisions.configuration import LeaseConfiguration
from ravenshelf.leadership.decisions.lease_holder import LeaseHolder
from ravenshelf.leadership.decisions.messages import LeaseRelease
from ravenshelf.leadership.decisions.output import LeaseOutput
from ravenshelf.leadership.decisions.peers import PeerTable
from ravenshelf.leadership.decisions.token_bucket import TokenBucket
from ravenshelf.leadership.decisions.voter import Voter
from ravenshelf.leadership.shard_placement import place_shards


class Successor(NamedTuple):
    """The member that a released shard is reserved for, and the end of the reservation in microseconds."""

    member: int
    reserved_until: int


class Balancer:
    """Keeps the shards of all reachable members in proportion to their weights."""

    def __init__(
        self,
        local_member: int,
        configuration: LeaseConfiguration,
        voter: Voter,
        leases: LeaseHolder,
        peers: PeerTable,
    ) -> None:
        self.local_member = local_member
        self.configuration = configuration
        self.successors: dict[int, Successor] = {}
        # The time in microseconds since which this member has seen no holder, by shard without a holder.
        self.unheld_since: dict[int, int] = {}
        self._voter = voter
        self._leases = leases
        self._peers = peers
        self._handover_bucket = TokenBucket(configuration.handovers_per_second)
        self._takeover_bucket = TokenBucket(configuration.takeovers_per_second)

    def holder(self, now: int, shard: int) -> int | None:
        """Return the member that holds a shard's lease according to the local voter, or None."""
        if self._leases.claims[shard].state in GRANTED_STATES:
            return self.local_member
        vote = self._voter.votes[shard]
        # A grant to this member does not show that it holds the lease, because its request may have failed at
        # the other voters.
        is_held_by_other = vote.holder not in (None, self.local_member) and now < vote.granted_until
        return vote.holder if is_held_by_other else None

    def rebalance(self, now: int, weights: dict[int, float], is_draining: bool, output: LeaseOutput) -> None:
        """Request shards without a holder, and hand over shards that other members should hold.

        Args:
            now: The present time, microseconds.
            weights: The weight of each reachable member, this one included.
            is_draining: True if this member requests no shards.
            output: Receives the messages and the changes of state.
        """
        holders = [self.holder(now, shard) for shard in range(self.configuration.shards)]
        target_holders = place_shards(holders, weights)
        self.unheld_since = {
            shard: self.unheld_since.get(shard, now) for shard, member in enumerate(holders) if member is None
        }
        self._take_over(now, target_holders, is_draining, output)
        self._hand_over(now, target_holders, output)

    def _take_over(
        self, now: int, target_holders: list[int | None], is_draining: bool, output: LeaseOutput
    ) -> None:
        # Members may see different holders, so each may expect that another member requests a shard. A shard
        # without a holder for two lease lengths is therefore requested by any member.
        placement_timeout_us = 2 * self.configuration.lease_us
        candidates = [
            shard
            for shard, unheld_at in self.unheld_since.items()
            if (target_holders[shard] == self.local_member or now - unheld_at > placement_timeout_us)
            and self._leases.claims[shard].state is LeaseState.IDLE
            and now >= self._leases.claims[shard].retry_at
            and self._may_take_over(now, shard)
            and not is_draining
        ]
        self._leases.probe(now, candidates[: self._takeover_bucket.consume(now, len(candidates))], output)

    def _hand_over(self, now: int, target_holders: list[int | None], output: LeaseOutput) -> None:
        shards_by_successor: dict[int, list[int]] = {}
        for shard, member in enumerate(target_holders):
            if member is None or member == self.local_member:
                continue
            is_held = self._leases.claims[shard].state is LeaseState.HELD
            if is_held and self._peers.is_stable(now, member):
                shards_by_successor.setdefault(member, []).append(shard)
        for member, shards in shards_by_successor.items():
            allowed_count = self._handover_bucket.consume(now, len(shards))
            self._leases.release(now, shards[:allowed_count], member, output)

    def _may_take_over(self, now: int, shard: int) -> bool:
        """Return whether the shard is not reserved for another member."""
        successor = self.successors.get(shard)
        return successor is None or successor.member == self.local_member or now >= successor.reserved_until

    def on_release(self, now: int, member: int, message: LeaseRelease, output: LeaseOutput) -> None:
        """Handle the release of leases by their holder.

        A successor that the holder has named requests them at once, within its rate of takeovers.
        """
        for shard, term, successor in message.released_leases:
            if not self._voter.end_grant(member, shard, term) or successor is None:
                continue
            self.successors[shard] = Successor(successor, now + 2 * self.configuration.renewal_interval_us)
            is_idle = self._leases.claims[shard].state is LeaseState.IDLE
            if successor == self.local_member and is_idle and self._takeover_bucket.consume(now, 1):
                self._leases.probe(now, [shard], output)
