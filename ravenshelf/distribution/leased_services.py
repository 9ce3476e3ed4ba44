"""Between leases and publication: the services of a shard are acquired and released with the shard's lease.

`LeasedServices` is the `LeaseListener` of a `Leadership` here, as `LeaseFilter` is where proxies connect.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ravenshelf.distribution.decisions.ownership import (
    PublicationLease,
    replica_controllers,
    shard_of_service,
)
from ravenshelf.distribution.owner_service import OwnerService
from ravenshelf.leadership.decisions import Member, Permission

CLAIM_WITHDRAWAL_DELAY_US = (
    5_000_000  # microseconds without a valid lease until the claims of its services are withdrawn
)


class ShardLease(PublicationLease):
    """Permission to publish while the shard's lease is valid in the term of its acquisition."""

    def __init__(self, member: Member, shard: int, term: int):
        super().__init__(term, 0)
        self._member = member
        self._shard = shard

    def may_publish(self, now: int) -> bool:
        """Return whether the lease is valid now, in this term."""
        same_term = self._member.claims[self._shard].term == self.epoch
        return same_term and self._member.permission(now, self._shard) is Permission.FULL


@dataclass(frozen=True)
class OwnedShard:
    """A shard that this controller owns. `gate` is always empty: topics are states, so no commands are
    queued."""

    term: int
    gate: tuple = ()


class LeasedServices:
    """Acquires and releases the services of an `OwnerService` as `Leadership` gains and loses shards."""

    def __init__(self, member: Member, names: list[str], clock: Callable[[], int], shards: int):
        """`names`: the controllers by member number; `clock`: microseconds. Call `attach` before anything
        else."""
        self.member = member
        self.names = names
        self.clock = clock
        self.shards = shards
        self.owned_shards: dict[int, OwnedShard] = {}
        self.connected_proxies: dict[int, int] = {}  # proxies with a stream: always empty
        self.services: set[str] = set()
        self._attached_publisher: OwnerService | None = None
        self._invalid_since: dict[int, int] = {}  # owned shards whose lease is not valid

    def attach(self, publisher: OwnerService, services: Iterable[str]) -> None:
        """Set the publisher, and the services as configured."""
        self._attached_publisher = publisher
        self.set_services(services)

    @property
    def publisher(self) -> OwnerService:
        """The publisher of the services; `attach` must have been called."""
        assert self._attached_publisher is not None, "attach has not been called"
        return self._attached_publisher

    def set_services(self, services: Iterable[str]) -> None:
        """The configuration has changed: acquire new services of owned shards, release removed ones."""
        previous = self.services
        self.services = set(services)
        for service in sorted(previous - self.services):
            self.publisher.release(service)
        for service in sorted(self.services - previous):
            shard = shard_of_service(service, self.shards)
            if shard in self.owned_shards:
                self._acquire(service, shard)

    def _services_of(self, shard: int) -> list[str]:
        return sorted(service for service in self.services if shard_of_service(service, self.shards) == shard)

    def _acquire(self, service: str, shard: int) -> None:
        self.publisher.acquire(service, ShardLease(self.member, shard, self.owned_shards[shard].term))

    # --- calls of Leadership ---

    def lease_acquired(self, shard: int, term: int, _record: bytes | None) -> None:
        """A quorum has granted the shard's lease."""
        self.owned_shards[shard] = OwnedShard(term)
        self._invalid_since.pop(shard, None)
        for service in self._services_of(shard):
            self._acquire(service, shard)

    def lease_lost(self, shard: int) -> None:
        """Another controller has the shard's lease, or it was released."""
        self.owned_shards.pop(shard, None)
        self._invalid_since.pop(shard, None)
        for service in self._services_of(shard):
            self.publisher.release(service)

    def send_permitted(self) -> None:
        """Called at each step of the leases: publish what a lease that is valid again permits."""
        if self._attached_publisher is not None:
            self._attached_publisher.publish()

    def proxy_count(self, _shards: Iterable[int]) -> int:
        """Return the number of proxies with a stream in these shards: always 0."""
        return 0

    # --- each second ---

    def check_leases(self) -> None:
        """Withdraw the claims of services whose lease has not been valid for a while; claim them again when
        it is."""
        now = self.clock()
        for shard in list(self.owned_shards):
            if self.member.permission(now, shard) is not Permission.FULL:
                since = self._invalid_since.setdefault(shard, now)
                if now - since >= CLAIM_WITHDRAWAL_DELAY_US:
                    self._set_claimed(shard, False)
            elif self._invalid_since.pop(shard, None) is not None:
                self._set_claimed(shard, True)

    def _set_claimed(self, shard: int, claimed: bool) -> None:
        for service in self._services_of(shard):
            self.publisher.set_claimed(service, claimed)

    def update_followed_shards(self) -> None:
        """Replicate the shards that this controller is a likely successor for, from their present owners."""
        now = self.clock()
        weights = self.member.weights(now)
        for shard in range(self.shards):
            owner = self.member.holder(now, shard)
            if owner is None:
                continue
            is_other = owner != self.member.local_member
            if is_other and self.member.local_member in replica_controllers(shard, owner, weights):
                self.publisher.follow_shard(shard, self.names[owner])
            elif shard in self.publisher.owner.followed_shards:
                self.publisher.unfollow_shard(shard)
