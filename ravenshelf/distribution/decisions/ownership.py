"""Ownership of services: shards, replicas, claims with epochs, and the lease that permits publication.

Services are hashed to shards. `leadership` assigns the shards to the reachable controllers by rendezvous
hashing and grants them by leases; the term of a shard's lease is the epoch of everything that its owner
publishes.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from ravenshelf.leadership.shard_placement import ranked_members

REPLICA_COUNT = 2  # Controllers that replicate a shard; its owner is not counted.


def shard_of_service(service: str, shards: int) -> int:
    """Return the shard of a service, which is the same at every controller.

    Args:
        service: Name of the service.
        shards: Number of shards.
    """
    return xxhash.xxh64_intdigest(service.encode()) % shards


def replica_controllers(
    shard: int, owner: int, weights: Mapping[int, float], count: int = REPLICA_COUNT
) -> list[int]:
    """Return the controllers that replicate a shard's topics, the most likely successor of the owner first.

    Args:
        shard: The replicated shard.
        owner: Member number of the shard's owner.
        weights: Placement weights of the reachable controllers, by member number.
        count: Largest number of controllers to return.
    """
    return [member for member in ranked_members(shard, weights) if member != owner][:count]


@dataclass(frozen=True)
class Claim:
    """A controller's claim that it owns a service, with the epoch of its lease."""

    owner: str
    epoch: int


class OwnershipView:
    """A relay's view of service owners: for each service the claim with the latest epoch."""

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}
        self._vacant_services: set[str] = set()  # Services whose last owner has withdrawn its claim.

    def update(self, service: str, claim: Claim) -> bool:
        """Record a claim unless a later one is recorded.

        Returns:
            Whether the owner of the service changes.
        """
        last_claim = self._claims.get(service)
        was_vacant = service in self._vacant_services
        # A controller claims the service again after a time in which it could not renew the same lease.
        is_renewed = was_vacant and claim == last_claim
        if last_claim is not None and claim.epoch <= last_claim.epoch and not is_renewed:
            return False
        self._vacant_services.discard(service)
        self._claims[service] = claim
        return last_claim is None or was_vacant or last_claim.owner != claim.owner

    def replace_claims(self, owner: str, claims: Mapping[str, Claim]) -> set[str]:
        """Record all present claims of a controller.

        A service that this controller owned and no longer claims becomes vacant.

        Args:
            owner: Name of the controller.
            claims: All its claims, by service.

        Returns:
            The services whose owner changes.
        """
        changed_services = {service for service, claim in claims.items() if self.update(service, claim)}
        for service, claim in self._claims.items():
            if claim.owner == owner and service not in claims and service not in self._vacant_services:
                self._vacant_services.add(service)
                changed_services.add(service)
        return changed_services

    def claim(self, service: str) -> Claim | None:
        """Return the latest claim, or None for a vacant or unknown service."""
        return None if service in self._vacant_services else self._claims.get(service)


class PublicationLease:
    """Permission to publish a service's topics until `expires_at`.

    Times are microseconds of the owner's own clock, which must advance while the process is suspended.
    """

    def __init__(self, epoch: int, expires_at: int):
        self.epoch = epoch
        self.expires_at = expires_at

    def renew(self, expires_at: int) -> None:
        """Extend the lease; an earlier time than the present end is ignored."""
        self.expires_at = max(self.expires_at, expires_at)

    def may_publish(self, now: int) -> bool:
        """Return whether the lease is valid.

        Call this before each write, as the process may have been suspended since the last call.
        """
        return now < self.expires_at
