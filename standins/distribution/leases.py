"""Simulated leases of shards, in place of `leadership`, which has a model and a checker of its own.

Each shard has one lease, whose epoch increases with each grant. A lease is renewed while its holder is
reachable from the region of the quorum. Once it has expired, it is granted to the first reachable controller
by rendezvous hashing.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ravenshelf.distribution.decisions.ownership import (
    PublicationLease,
    replica_controllers,
    shard_of_service,
)
from ravenshelf.leadership.shard_placement import ranked_members
from standins.distribution.network import Network
from standins.distribution.nodes import OwnerNode
from standins.fleet.clock import SECOND, EventQueue

LEASE_DURATION = 2 * SECOND  # in microseconds
RENEW_INTERVAL = SECOND // 2  # in microseconds
QUORUM_REGION = 0


@dataclass
class _Grant:
    """Lease of a shard. `owner` is a controller's number, and `expires_at` is in microseconds."""

    owner: int
    incarnation: int
    epoch: int
    expires_at: int


class LeasedDistribution(Protocol):
    """Interface of the simulated distribution, as the leases use it."""

    events: EventQueue
    network: Network
    services: list[str]

    @property
    def owners(self) -> Sequence[OwnerNode]:
        """Return all controllers; a controller's number is its index."""


class Leases:
    """Leases of all shards: grants and renews them, and notifies the controllers."""

    def __init__(self, world: LeasedDistribution, shards: int):
        self.world = world
        self.shards = shards
        self.grants: dict[int, _Grant] = {}
        # While this is True, no lease is granted, as if there were no quorum.
        self.grants_suspended = False
        self.epochs = dict.fromkeys(range(shards), 0)
        self.shard_by_service = {service: shard_of_service(service, shards) for service in world.services}
        self.services_by_shard: dict[int, list[str]] = {}
        for service, shard in self.shard_by_service.items():
            self.services_by_shard.setdefault(shard, []).append(service)
        self._run_cycle()

    def owner_of(self, service: str) -> OwnerNode | None:
        """Return the controller that holds or last held the lease of a service, None if there is none yet."""
        grant = self.grants.get(self.shard_by_service[service])
        return self.world.owners[grant.owner] if grant is not None else None

    def epoch_of(self, service: str) -> int:
        """Return the latest epoch that was granted for a service, 0 if there is none."""
        return self.epochs[self.shard_by_service[service]]

    def _is_reachable(self, number: int) -> bool:
        node, network = self.world.owners[number], self.world.network
        return node.alive and not node.is_paused() and not network.is_partitioned(node.region, QUORUM_REGION)

    def _run_cycle(self) -> None:
        """Renew leases, grant those that have expired, and notify the reachable controllers."""
        now = self.world.events.now
        weights = {number: 1.0 for number in range(len(self.world.owners)) if self._is_reachable(number)}
        for shard in range(self.shards):
            grant = self.grants.get(shard)
            if (
                grant is not None
                and grant.owner in weights
                and (self.world.owners[grant.owner].incarnation == grant.incarnation)
                and now < grant.expires_at
            ):
                grant.expires_at = now + LEASE_DURATION
            elif (grant is None or now >= grant.expires_at) and weights and not self.grants_suspended:
                self._grant_lease(shard, ranked_members(shard, weights)[0])
        standby_shards = self._find_standby_shards(weights)
        for number in weights:
            self._notify(number, standby_shards.get(number, {}))
        self.world.network.call_later(RENEW_INTERVAL, self._run_cycle)

    def _find_standby_shards(self, weights: dict[int, float]) -> dict[int, dict[int, int]]:
        """Return for each controller the shards that it replicates, and the controllers that own them."""
        standby_shards: dict[int, dict[int, int]] = {}
        for shard, grant in self.grants.items():
            for number in replica_controllers(shard, grant.owner, weights):
                standby_shards.setdefault(number, {})[shard] = grant.owner
        return standby_shards

    def _grant_lease(self, shard: int, number: int) -> None:
        self.epochs[shard] += 1
        node = self.world.owners[number]
        self.grants[shard] = _Grant(
            number, node.incarnation, self.epochs[shard], self.world.events.now + LEASE_DURATION
        )

    def _notify(self, number: int, standby_shards: dict[int, int]) -> None:
        """Notify a controller of the leases that it holds and of the shards that it replicates."""
        node = self.world.owners[number]
        owned_shards = {
            shard: grant
            for shard, grant in self.grants.items()
            if grant.owner == number and grant.incarnation == node.incarnation
        }
        node.run(lambda: self._apply(node, owned_shards, standby_shards))

    def _apply(
        self, node: OwnerNode, owned_shards: dict[int, _Grant], standby_shards: dict[int, int]
    ) -> None:
        owner, now = node.owner, node.now
        for service in [
            service for service in owner.owned_services if self.shard_by_service[service] not in owned_shards
        ]:
            owner.release(now, service)
        for shard, grant in owned_shards.items():
            for service in self.services_by_shard.get(shard, ()):
                lease = owner.owned_services.get(service)
                if lease is None or lease.epoch != grant.epoch:
                    owner.acquire(now, service, PublicationLease(grant.epoch, grant.expires_at))
                else:
                    lease.renew(grant.expires_at)
        for shard in [shard for shard in owner.followed_shards if shard not in standby_shards]:
            node.perform(owner.unfollow_shard(shard))
        for shard, owner_number in standby_shards.items():
            node.perform(owner.follow_shard(shard, self.world.owners[owner_number].name))
        node.publish()
