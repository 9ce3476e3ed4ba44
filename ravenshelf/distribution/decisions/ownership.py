"""Which controller decides a service: shards, replicas, claims under epochs, and the right to publish.

Services fall into the shards that `leadership` divides among the living controllers by rendezvous hashing and grants by
leases; the term of a shard's lease is the epoch of all that its owner publishes.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from ravenshelf.leadership.shard_placement import ranked_members

REPLICAS = 2  # controllers that hold a service's topics besides its owner


def shard_of_service(service: str, shards: int) -> int:
    """The shard of a service, the same at every controller."""
    return xxhash.xxh64_intdigest(service.encode()) % shards


def replicas(shard: int, owner: int, weights: Mapping[int, float], count: int = REPLICAS) -> list[int]:
    """The controllers that stand ready to take a shard over, the likeliest successor first."""
    return [member for member in ranked_members(shard, weights) if member != owner][:count]


@dataclass(frozen=True)
class Claim:
    """A controller says that it owns a service, under an epoch."""

    owner: str
    epoch: int


class OwnershipView:
    """What a relay has heard of owners: for each service the claim of the latest epoch, whoever made it."""

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}
        self._vacant: set[str] = set()  # services whose last owner has given them up

    def hear(self, service: str, claim: Claim) -> bool:
        """Takes a claim; True where it changes who owns the service."""
        known, was_vacant = self._claims.get(service), service in self._vacant
        again = was_vacant and claim == known  # its lease was good for nothing for a while, and is the same
        if known is not None and claim.epoch <= known.epoch and not again:
            return False
        self._vacant.discard(service)
        self._claims[service] = claim
        return known is None or was_vacant or known.owner != claim.owner

    def hear_all(self, owner: str, claims: Mapping[str, Claim]) -> set[str]:
        """Takes all that a controller claims now; gives the services whose owner has changed, to it, or to nobody where it
        claims them no more."""
        changed = {service for service, claim in claims.items() if self.hear(service, claim)}
        for service, claim in self._claims.items():
            if claim.owner == owner and service not in claims and service not in self._vacant:
                self._vacant.add(service)
                changed.add(service)
        return changed

    def claim(self, service: str) -> Claim | None:
        """The latest claim; None where nobody claims the service."""
        return None if service in self._vacant else self._claims.get(service)


class Tenure:
    """An owner's right to publish: its lease, by its own clock, which must go on while the process stands still."""

    def __init__(self, epoch: int, good_until: int):
        self.epoch, self.good_until = epoch, good_until

    def renew(self, good_until: int) -> None:
        """The lease has been prolonged."""
        self.good_until = max(self.good_until, good_until)

    def may_publish(self, now: int) -> bool:
        """To be asked right before each write: a process that was paused finds its lease lapsed."""
        return now < self.good_until
