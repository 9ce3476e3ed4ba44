"""What a member knows of its cluster from its own settings, and the seams of the service."""

import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from ravenshelf.leadership.decisions import LeaseConfiguration, PackedRecord


def clock() -> int:
    """Microseconds that also count while the machine is suspended: a lease must not outlive a suspension."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class LeadershipSettings(Protocol):
    """The operator file's `[leadership]`."""

    @property
    def name(self) -> str:
        """This member."""

    @property
    def cluster(self) -> str:
        """A name that all members share."""

    @property
    def members(self) -> dict[str, str]:
        """The address of each member, host:port."""

    @property
    def shards(self) -> int:
        """How many shards there are."""

    @property
    def lease_ms(self) -> float:
        """Length of a lease, milliseconds."""

    @property
    def capacity(self) -> float:
        """Weight of this member among the others."""

    @property
    def certificate(self) -> str:
        """Path of its certificate; empty: no TLS."""

    @property
    def key(self) -> str:
        """Path of its private key."""

    @property
    def authority(self) -> str:
        """Path of the cluster's certificate authority."""

    @property
    def admin(self) -> str:
        """Path of the Unix socket for administration; empty: none."""


class LeaseListener(Protocol):
    """What acts on leases: `lease_filter.LeaseFilter` for proxies, or the services of a distribution tree."""

    @property
    def owned_shards(self) -> Mapping[int, Any]:
        """The shards whose lease is held, each with its `gate` of waiting orders."""

    @property
    def connected_proxies(self) -> Mapping[int, Any]:
        """The proxies with a connection."""

    def lease_acquired(self, shard: int, term: int, packed: PackedRecord) -> None:
        """A lease is held, and a quorum has the record; also where only the term is later."""

    def lease_lost(self, shard: int) -> None:
        """A lease is no longer held."""

    def send_permitted(self) -> None:
        """Sends waiting orders that may be sent now."""

    def proxy_count(self, shards: Iterable[int]) -> int:
        """How many connected proxies are in these shards."""


class AgreedSettings(NamedTuple):
    """What the members of a cluster compare when they connect; the order is that of the wire."""

    shards: int
    lease_us: int
    members: int


@dataclass(frozen=True)
class ClusterMembership:
    """This member's place in its cluster. A member's number is its index among the sorted names."""

    name: str
    cluster: str
    names: list[str]
    incarnation: int  # how often it has started since its disk was empty
    agreed: AgreedSettings

    @property
    def local_member(self) -> int:
        """This member's number."""
        return self.names.index(self.name)


def lease_configuration(settings: LeadershipSettings) -> LeaseConfiguration:
    """The durations of a lease, in proportion to its length."""
    return LeaseConfiguration(
        shards=settings.shards,
        lease_us=round(settings.lease_ms * 1000),
        renewal_interval_us=round(settings.lease_ms * 200),
        retry_delay_us=round(settings.lease_ms * 100),
    )
