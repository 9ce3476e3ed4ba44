"""Connection of leases to publication: a shard's services are acquired and released with its lease.

`LeasedServices` is the `LeaseListener` of a service owner's `Leadership`. A server to which proxies connect
has a `LeaseFilter` instead.
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

# The claims of a shard's services are withdrawn after this time without a valid lease.
CLAIM_WITHDRAWAL_DELAY_US = 5_000_000


class ShardLease(PublicationLease):
    """Permission to publish while the shard's lease is valid in the term in which it was acquired."""

    def __init__(self, member: Member, shard: int, term: int):
        super().__init__(term, 0)
        self._member = member
        self._shard = shard

    def may_publish(self, now: int) -> bool:
        """Return whether the lease is valid, and still in this term, at the time `now` in microseconds."""
        is_same_term = self._member.claims[self._shard].term == self.epoch
        return is_same_term and self._member.permission(now, self._shard) is Permission.FULL


@dataclass(frozen=True)
class OwnedShard:
    """A shard that this controller owns, with the term of its lease.

    `gate` is always empty: topics are states, so no commands are queued.
    """

    term: int
    gate: tuple = ()


class LeasedServices:
    """Adapter that acquires and releases the services of shards that `Leadership` gains and loses."""

    def __init__(self, member: Member, names: list[str], clock: Callable[[], int], shards: int):
        """Create an adapter without shards; call `attach` before any other method.

        Args:
            member: The member that holds the leases.
            names: Names of the controllers, by member number.
            clock: Returns the present time in microseconds.
            shards: Number of shards.
        """
        self.member = member
        self.names = names
        self.clock = clock
        self.shards = shards
        self.owned_shards: dict[int, OwnedShard] = {}
        # No proxy has a stream to a service owner, so this is always empty.
        self.connected_proxies: dict[int, int] = {}
        self.services: set[str] = set()
        self._attached_publisher: OwnerService | None = None
        # The time in microseconds since which the lease is not valid, by owned shard without a valid lease.
        self._invalid_since: dict[int, int] = {}

    def attach(self, publisher: OwnerService, services: Iterable[str]) -> None:
        """Set the publisher, and the names of the configured services."""
        self._attached_publisher = publisher
        self.set_services(services)

    @property
    def publisher(self) -> OwnerService:
        """Publisher of the services; `attach` must have been called."""
        assert self._attached_publisher is not None, "attach has not been called"
        return self._attached_publisher

    def set_services(self, services: Iterable[str]) -> None:
        """Apply a changed configuration: acquire new services of owned shards, and release removed ones."""
        previous_services = self.services
        self.services = set(services)
        for service in sorted(previous_services - self.services):
            self.publisher.release(service)
        for service in sorted(self.services - previous_services):
            shard = shard_of_service(service, self.shards)
            if shard in self.owned_shards:
                self._acquire(service, shard)

    def _services_of(self, shard: int) -> list[str]:
        return sorted(service for service in self.services if shard_of_service(service, self.shards) == shard)

    def _acquire(self, service: str, shard: int) -> None:
        self.publisher.acquire(service, ShardLease(self.member, shard, self.owned_shards[shard].term))

    def lease_acquired(self, shard: int, term: int, _record: bytes | None) -> None:
        """Acquire the services of a shard whose lease a quorum has granted."""
        self.owned_shards[shard] = OwnedShard(term)
        self._invalid_since.pop(shard, None)
        for service in self._services_of(shard):
            self._acquire(service, shard)

    def lease_lost(self, shard: int) -> None:
        """Release the services of a shard whose lease was released or is held by another controller."""
        self.owned_shards.pop(shard, None)
        self._invalid_since.pop(shard, None)
        for service in self._services_of(shard):
            self.publisher.release(service)

    def send_permitted(self) -> None:
        """Publish changes that had to wait for a valid lease; called at each step of the leases."""
        if self._attached_publisher is not None:
            self._attached_publisher.publish()

    def proxy_count(self, _shards: Iterable[int]) -> int:
        """Return 0: no proxy has a stream to a service owner."""
        return 0

    def check_leases(self) -> None:
        """Withdraw the claims of services whose lease has not been valid for CLAIM_WITHDRAWAL_DELAY_US.

        The services are claimed again when their lease is valid. Called each second.
        """
        now = self.clock()
        for shard in list(self.owned_shards):
            if self.member.permission(now, shard) is not Permission.FULL:
                invalid_since = self._invalid_since.setdefault(shard, now)
                if now - invalid_since >= CLAIM_WITHDRAWAL_DELAY_US:
                    self._set_claimed(shard, False)
            elif self._invalid_since.pop(shard, None) is not None:
                self._set_claimed(shard, True)

    def _set_claimed(self, shard: int, is_claimed: bool) -> None:
        for service in self._services_of(shard):
            self.publisher.set_claimed(service, is_claimed)

    def update_followed_shards(self) -> None:
        """Replicate the shards that this controller is likely to take over, from their present owners.

        Called each second.
        """
        now = self.clock()
        weights = self.member.weights(now)
        for shard in range(self.shards):
            owner = self.member.holder(now, shard)
            if owner is None:
                continue
            is_owned_elsewhere = owner != self.member.local_member
            if is_owned_elsewhere and self.member.local_member in replica_controllers(shard, owner, weights):
                self.publisher.follow_shard(shard, self.names[owner])
            elif shard in self.publisher.owner.followed_shards:
                self.publisher.unfollow_shard(shard)
