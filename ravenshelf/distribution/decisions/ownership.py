"""Which controller owns a service: shards, replicas, claims with epochs, and the lease that permits
publication.

Services are hashed to the shards that `leadership` assigns to the living controllers by rendezvous hashing
and grants by leases; the term of a shard's lease is the epoch of all that its owner publishes.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from ravenshelf.leadership.shard_placement import ranked_members

REPLICA_COUNT = 2  # controllers that hold a service's topics besides its owner


def shard_of_service(service: str, shards: int) -> int:
    """Return the shard of a service, the same at every controller."""
    return xxhash.xxh64_intdigest(service.encode()) % shards


def replica_controllers(
    shard: int, owner: int, weights: Mapping[int, float], count: int = REPLICA_COUNT
) -> list[int]:
    """Return the controllers that replicate a shard, the likeliest successor first."""
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
        self._vacant: set[str] = set()  # services whose last owner has withdrawn its claim

    def update(self, service: str, claim: Claim) -> bool:
        """Record a claim; return whether it changes the owner of the service."""
        known = self._claims.get(service)
        was_vacant = service in self._vacant
        is_renewed = was_vacant and claim == known  # the same lease, which could not be renewed for a while
        if known is not None and claim.epoch <= known.epoch and not is_renewed:
            return False
        self._vacant.discard(service)
        self._claims[service] = claim
        return known is None or was_vacant or known.owner != claim.owner

    def replace_claims(self, owner: str, claims: Mapping[str, Claim]) -> set[str]:
        """Record all present claims of a controller; return the services whose owner changes.

        A service that this controller owned and no longer claims becomes vacant.
        """
        changed = {service for service, claim in claims.items() if self.update(service, claim)}
        for service, claim in self._claims.items():
            if claim.owner == owner and service not in claims and service not in self._vacant:
                self._vacant.add(service)
                changed.add(service)
        return changed

    def claim(self, service: str) -> Claim | None:
        """Return the latest claim, or None for a vacant or unknown service."""
        return None if service in self._vacant else self._claims.get(service)


class PublicationLease:
    """Permission to publish a service's topics until `expires_at`.

    Times are of the owner's own clock, which must advance while the process is suspended.
    """

    def __init__(self, epoch: int, expires_at: int):
        self.epoch = epoch
        self.expires_at = expires_at

    def renew(self, expires_at: int) -> None:
        """Extend the lease."""
        self.expires_at = max(self.expires_at, expires_at)

    def may_publish(self, now: int) -> bool:
        """Return whether the lease is valid; to be checked before each write, for a process may have been
        suspended."""
        return now < self.expires_at
