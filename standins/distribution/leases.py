"""Who owns which shard: a stand-in for the leases of `leadership`, which has a model and a checker of its own.

One register a shard, with an epoch that rises with each grant. A lease is renewed while its owner can be reached from the
region of the majority; once it has lapsed everywhere, the next controller by rendezvous gets the shard.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ravenshelf.distribution.decisions.ownership import Tenure, replicas, shard_of_service
from ravenshelf.leadership.shard_placement import ranked_members
from standins.fleet.clock import SECOND

if TYPE_CHECKING:
    from standins.distribution.nodes import OwnerNode
    from standins.distribution.world import World

LEASE = 2 * SECOND
RENEW_EVERY = SECOND // 2
MAJORITY_REGION = 0


@dataclass
class _Grant:
    owner: int
    incarnation: int
    epoch: int
    good_until: int


class Leases:
    def __init__(self, world: "World", shards: int):
        self.world, self.shards = world, shards
        self.grants: dict[int, _Grant] = {}
        self.grants_nothing = False  # as where a majority of the voters is lost
        self.epochs = dict.fromkeys(range(shards), 0)
        self.shard = {service: shard_of_service(service, shards) for service in world.services}
        self.services: dict[int, list[str]] = {}
        for service, shard in self.shard.items():
            self.services.setdefault(shard, []).append(service)
        self._turn()

    def owner_of(self, service: str) -> "OwnerNode | None":
        """Who holds the lease of a service now."""
        grant = self.grants.get(self.shard[service])
        return self.world.owners[grant.owner] if grant is not None else None

    def epoch_of(self, service: str) -> int:
        """The latest epoch that was granted for a service."""
        return self.epochs[self.shard[service]]

    def _reachable(self, place: int) -> bool:
        node, network = self.world.owners[place], self.world.network
        return node.alive and not node.is_paused() and not network.is_cut(node.region, MAJORITY_REGION)

    def _turn(self) -> None:
        """Renews, notices what has lapsed, grants."""
        now = self.world.events.now
        weights = {place: 1.0 for place in range(len(self.world.owners)) if self._reachable(place)}
        for shard in range(self.shards):
            grant = self.grants.get(shard)
            if (
                grant is not None
                and grant.owner in weights
                and (self.world.owners[grant.owner].incarnation == grant.incarnation)
                and now < grant.good_until
            ):
                grant.good_until = now + LEASE
            elif (grant is None or now >= grant.good_until) and weights and not self.grants_nothing:
                self._grant(shard, ranked_members(shard, weights)[0])
        standby = self._standby(weights)
        for place in weights:
            self._tell(place, standby.get(place, {}))
        self.world.network.later(RENEW_EVERY, self._turn)

    def _standby(self, weights: dict[int, float]) -> dict[int, dict[int, int]]:
        """For each controller the shards that it is a replica of, with their owners."""
        found: dict[int, dict[int, int]] = {}
        for shard, grant in self.grants.items():
            for place in replicas(shard, grant.owner, weights):
                found.setdefault(place, {})[shard] = grant.owner
        return found

    def _grant(self, shard: int, place: int) -> None:
        self.epochs[shard] += 1
        node = self.world.owners[place]
        self.grants[shard] = _Grant(
            place, node.incarnation, self.epochs[shard], self.world.events.now + LEASE
        )

    def _tell(self, place: int, standby: dict[int, int]) -> None:
        """A controller hears of its leases, of those that it has lost, and for what it is to stand by."""
        node = self.world.owners[place]
        owned = {
            shard: grant
            for shard, grant in self.grants.items()
            if grant.owner == place and grant.incarnation == node.incarnation
        }
        node.run(lambda: self._apply(node, owned, standby))

    def _apply(self, node: "OwnerNode", owned: dict[int, _Grant], standby: dict[int, int]) -> None:
        owner, now = node.owner, node.now
        for service in [service for service in owner.tenures if self.shard[service] not in owned]:
            owner.release(now, service)
        for shard, grant in owned.items():
            for service in self.services.get(shard, ()):
                tenure = owner.tenures.get(service)
                if tenure is None or tenure.epoch != grant.epoch:
                    owner.acquire(now, service, Tenure(grant.epoch, grant.good_until))
                else:
                    tenure.renew(grant.good_until)
        for shard in [shard for shard in owner.followed if shard not in standby]:
            node.perform(owner.unfollow(shard))
        for shard, place in standby.items():
            node.perform(owner.follow(shard, self.world.owners[place].name))
        node.publish()
