"""Simulated leases of shards, in place of `leadership`, which has a model and a checker of its own.

Each shard has one lease, with an epoch that rises with each grant. A lease is renewed while its holder can be
reached from the region of the quorum; once it has expired, the next controller by rendezvous hashing gets the
shard.
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

LEASE_DURATION = 2 * SECOND
RENEW_INTERVAL = SECOND // 2
QUORUM_REGION = 0


@dataclass
class _Grant:
    owner: int
    incarnation: int
    epoch: int
    expires_at: int


class LeasedDistribution(Protocol):
    """What the leases need of the simulated distribution."""

    events: EventQueue
    network: Network
    services: list[str]

    @property
    def owners(self) -> Sequence[OwnerNode]:
        """All controllers, by number."""


class Leases:
    """Grants and renews the leases of all shards, and notifies the controllers."""

    def __init__(self, world: LeasedDistribution, shards: int):
        self.world = world
        self.shards = shards
        self.grants: dict[int, _Grant] = {}
        self.grants_suspended = False  # no lease is granted, as without a quorum
        self.epochs = dict.fromkeys(range(shards), 0)
        self.shard_by_service = {service: shard_of_service(service, shards) for service in world.services}
        self.services_by_shard: dict[int, list[str]] = {}
        for service, shard in self.shard_by_service.items():
            self.services_by_shard.setdefault(shard, []).append(service)
        self._run_cycle()

    def owner_of(self, service: str) -> OwnerNode | None:
        """Return the holder of the lease of a service."""
        grant = self.grants.get(self.shard_by_service[service])
        return self.world.owners[grant.owner] if grant is not None else None

    def epoch_of(self, service: str) -> int:
        """Return the latest epoch that was granted for a service."""
        return self.epochs[self.shard_by_service[service]]

    def _is_reachable(self, number: int) -> bool:
        node, network = self.world.owners[number], self.world.network
        return node.alive and not node.is_paused() and not network.is_partitioned(node.region, QUORUM_REGION)

    def _run_cycle(self) -> None:
        """Renew leases, and grant those that have expired."""
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
        standby = self._find_standby_shards(weights)
        for number in weights:
            self._notify(number, standby.get(number, {}))
        self.world.network.call_later(RENEW_INTERVAL, self._run_cycle)

    def _find_standby_shards(self, weights: dict[int, float]) -> dict[int, dict[int, int]]:
        """Return for each controller the shards that it replicates, with their owners."""
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

    def _notify(self, number: int, standby: dict[int, int]) -> None:
        """Notify a controller of the leases that it holds, and of the shards that it is to replicate."""
        node = self.world.owners[number]
        owned = {
            shard: grant
            for shard, grant in self.grants.items()
            if grant.owner == number and grant.incarnation == node.incarnation
        }
        node.run(lambda: self._apply(node, owned, standby))

    def _apply(self, node: OwnerNode, owned: dict[int, _Grant], standby: dict[int, int]) -> None:
        owner, now = node.owner, node.now
        for service in [
            service for service in owner.owned_services if self.shard_by_service[service] not in owned
        ]:
            owner.release(now, service)
        for shard, grant in owned.items():
            for service in self.services_by_shard.get(shard, ()):
                lease = owner.owned_services.get(service)
                if lease is None or lease.epoch != grant.epoch:
                    owner.acquire(now, service, PublicationLease(grant.epoch, grant.expires_at))
                else:
                    lease.renew(grant.expires_at)
        for shard in [shard for shard in owner.followed_shards if shard not in standby]:
            node.perform(owner.unfollow_shard(shard))
        for shard, number in standby.items():
            node.perform(owner.follow_shard(shard, self.world.owners[number].name))
        node.publish()
