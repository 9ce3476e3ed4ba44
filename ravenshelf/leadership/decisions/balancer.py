"""Which shards this member requests from those without a holder, and which it hands over to rebalance."""

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
    """Whom a released shard is left to, and until when. Microseconds."""

    member: int
    until: int


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
        self.unheld_since: dict[int, int] = {}  # shard: since when no holder is known
        self._voter = voter
        self._leases = leases
        self._peers = peers
        self._handovers = TokenBucket(configuration.handovers_per_second)
        self._takeovers = TokenBucket(configuration.takeovers_per_second)

    def holder(self, now: int, shard: int) -> int | None:
        """Which member holds a shard's lease, as far as this voter knows."""
        if self._leases.claims[shard].state in GRANTED_STATES:
            return self.local_member
        vote = self._voter.votes[shard]
        # a grant to this member may be of a request that failed
        is_held_by_other = vote.holder not in (None, self.local_member) and now < vote.granted_until
        return vote.holder if is_held_by_other else None

    def rebalance(self, now: int, weights: dict[int, float], is_draining: bool, output: LeaseOutput) -> None:
        """Requests shards without a holder, and hands over what other members should have."""
        holders = [self.holder(now, shard) for shard in range(self.configuration.shards)]
        wanted = place_shards(holders, weights)
        self.unheld_since = {
            shard: self.unheld_since.get(shard, now) for shard, member in enumerate(holders) if member is None
        }
        self._take_over(now, wanted, is_draining, output)
        self._hand_over(now, wanted, output)

    def _take_over(self, now: int, wanted: list[int | None], is_draining: bool, output: LeaseOutput) -> None:
        # members may know of different holders and each leave a shard to another: after two leases any
        # requests it
        patience_us = 2 * self.configuration.lease_us
        candidates = [
            shard
            for shard, since in self.unheld_since.items()
            if (wanted[shard] == self.local_member or now - since > patience_us)
            and self._leases.claims[shard].state is LeaseState.IDLE
            and now >= self._leases.claims[shard].retry_at
            and self._is_left_to_this_member(now, shard)
            and not is_draining
        ]
        self._leases.probe(now, candidates[: self._takeovers.take(now, len(candidates))], output)

    def _hand_over(self, now: int, wanted: list[int | None], output: LeaseOutput) -> None:
        handovers: dict[int, list[int]] = {}
        for shard, member in enumerate(wanted):
            if member is None or member == self.local_member:
                continue
            is_held = self._leases.claims[shard].state is LeaseState.HELD
            if is_held and self._peers.is_stable(now, member):
                handovers.setdefault(member, []).append(shard)
        for member, shards in handovers.items():
            allowed = self._handovers.take(now, len(shards))
            self._leases.release(now, shards[:allowed], member, output)

    def _is_left_to_this_member(self, now: int, shard: int) -> bool:
        successor = self.successors.get(shard)
        return successor is None or successor.member == self.local_member or now >= successor.until

    def on_release(self, now: int, member: int, message: LeaseRelease, output: LeaseOutput) -> None:
        """A holder has released leases; a successor that it named requests them at once."""
        for shard, term, successor in message.released:
            if not self._voter.end_grant(member, shard, term) or successor is None:
                continue
            self.successors[shard] = Successor(successor, now + 2 * self.configuration.renewal_interval_us)
            is_idle = self._leases.claims[shard].state is LeaseState.IDLE
            if successor == self.local_member and is_idle and self._takeovers.take(now, 1):
                self._leases.probe(now, [shard], output)
