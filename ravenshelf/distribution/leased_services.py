"""Between leases and publication: a shard that is won or lost makes its services owned, or given up.

Takes the place of the proxies' adapter in `leadership.service.Leadership`.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ravenshelf.distribution.decisions.ownership import Tenure, replicas, shard_of_service
from ravenshelf.distribution.owner_service import OwnerService
from ravenshelf.leadership.decisions import Member, Permission

UNCLAIMED_AFTER = 5_000_000  # microseconds without a good lease: then its services are not claimed any more


class LeasedTenure(Tenure):
    """The right to publish as the lease itself says at that moment."""

    def __init__(self, member: Member, shard: int, term: int):
        super().__init__(term, 0)
        self._member, self._shard = member, shard

    def may_publish(self, now: int) -> bool:
        """Whether a majority's lease in this term is good now."""
        same_term = self._member.claims[self._shard].term == self.epoch
        return same_term and self._member.permission(now, self._shard) is Permission.FULL


@dataclass(frozen=True)
class OwnedShard:
    """A shard that this controller owns. Orders do not wait here: what a topic says is its whole state."""

    term: int
    gate: tuple = ()


class LeasedServices:
    """What `Leadership` tells of shards, for the services of an `OwnerService`."""

    def __init__(self, member: Member, names: list[str], clock: Callable[[], int], shards: int):
        """`names`: the controllers, in the order of their numbers."""
        self.member, self.names, self.clock, self.shards = member, names, clock, shards
        self.owned: dict[int, OwnedShard] = {}
        self.present: dict[int, int] = {}  # proxies with a stream: there are none
        self.publisher: OwnerService | None = None
        self.services: set[str] = set()
        self._lapsed_since: dict[int, int] = {}  # owned shards whose lease is not good

    def serve(self, publisher: OwnerService, services: Iterable[str]) -> None:
        """Publishes by this; the services as the file has them."""
        self.publisher = publisher
        self.list_services(services)

    def list_services(self, services: Iterable[str]) -> None:
        """The file has changed: new services of owned shards are acquired, those that are gone given up."""
        before, self.services = self.services, set(services)
        for service in sorted(before - self.services):
            self.publisher.release(service)
        for service in sorted(self.services - before):
            shard = shard_of_service(service, self.shards)
            if shard in self.owned:
                self._acquire(service, shard)

    def _of(self, shard: int) -> list[str]:
        return sorted(service for service in self.services if shard_of_service(service, self.shards) == shard)

    def _acquire(self, service: str, shard: int) -> None:
        self.publisher.acquire(service, LeasedTenure(self.member, shard, self.owned[shard].term))

    # --- what Leadership tells ---

    def lease_acquired(self, shard: int, term: int, _record: bytes | None) -> None:
        """A majority has granted the shard's lease."""
        self.owned[shard] = OwnedShard(term)
        self._lapsed_since.pop(shard, None)
        for service in self._of(shard):
            self._acquire(service, shard)

    def lease_lost(self, shard: int) -> None:
        """The shard is another's, or was given away."""
        self.owned.pop(shard, None)
        self._lapsed_since.pop(shard, None)
        for service in self._of(shard):
            self.publisher.release(service)

    def send_permitted(self) -> None:
        """Called at each turn: a lease that is good again lets what is pending leave."""
        if self.publisher is not None:
            self.publisher.publish()

    def proxy_count(self, shards: Iterable[int]) -> int:
        """Streams of proxies in these shards: there are none."""
        return 0

    def look_at_leases(self) -> None:
        """Called each second: a lease that has not been good for a while is told by claiming its services no more."""
        now = self.clock()
        for shard in list(self.owned):
            if self.member.permission(now, shard) is not Permission.FULL:
                since = self._lapsed_since.setdefault(shard, now)
                if now - since >= UNCLAIMED_AFTER:
                    self._claim(shard, False)
            elif self._lapsed_since.pop(shard, None) is not None:
                self._claim(shard, True)

    def _claim(self, shard: int, claimed: bool) -> None:
        for service in self._of(shard):
            self.publisher.claim(service, claimed)

    # --- replicas ---

    def follow(self) -> None:
        """Follows the shards for which this controller stands ready, by the owners that it believes in now."""
        now = self.clock()
        weights = self.member.weights(now)
        for shard in range(self.shards):
            owner = self.member.holder(now, shard)
            other = owner is not None and owner != self.member.me
            if other and self.member.me in replicas(shard, owner, weights):
                self.publisher.follow(shard, self.names[owner])
            elif shard in self.publisher.owner.followed and owner is not None:
                self.publisher.unfollow(shard)
