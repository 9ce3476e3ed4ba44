"""A member's settings and identity in its cluster, and the interfaces of the leadership service."""

import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from ravenshelf.leadership.decisions import LeaseConfiguration, PackedRecord


def clock() -> int:
    """Return the time in microseconds of a clock that also counts while the machine is suspended.

    With a clock that stops during a suspension, a member would still use a lease that expired meanwhile.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class LeadershipSettings(Protocol):
    """The table `[leadership]` of the operator file."""

    @property
    def name(self) -> str:
        """The name of this member."""

    @property
    def cluster(self) -> str:
        """The name of the cluster, equal at all members."""

    @property
    def members(self) -> dict[str, str]:
        """The address of each member as host:port, by name."""

    @property
    def shards(self) -> int:
        """The number of shards."""

    @property
    def lease_ms(self) -> float:
        """The length of a lease in milliseconds."""

    @property
    def capacity(self) -> float:
        """The weight of this member, in proportion to that of the others."""

    @property
    def certificate(self) -> str:
        """The path of this member's certificate; empty for connections without TLS."""

    @property
    def key(self) -> str:
        """The path of this member's private key."""

    @property
    def authority(self) -> str:
        """The path of the certificate of the cluster's certificate authority."""

    @property
    def admin(self) -> str:
        """The path of the Unix socket for administration; empty for none."""


class LeaseListener(Protocol):
    """Acts on leases: `lease_filter.LeaseFilter` for proxies, or the services of a distribution tree."""

    @property
    def owned_shards(self) -> Mapping[int, Any]:
        """The shards whose lease is held, each with its queue of waiting commands as `gate`."""

    @property
    def connected_proxies(self) -> Mapping[int, Any]:
        """The proxies with a connection to this member."""

    def lease_acquired(self, shard: int, term: int, packed_record: PackedRecord) -> None:
        """Handle a lease that this member holds, after a quorum has accepted its record.

        Also called for a shard that is owned already, when its lease continues in a later term.
        """

    def lease_lost(self, shard: int) -> None:
        """Handle the loss of a lease."""

    def send_permitted(self) -> None:
        """Send the waiting commands that are permitted now."""

    def proxy_count(self, shards: Iterable[int]) -> int:
        """Return the number of connected proxies in these shards."""


class AgreedSettings(NamedTuple):
    """The settings that members compare when they connect, in the order in which they are sent."""

    shards: int
    lease_us: int
    member_count: int


@dataclass(frozen=True)
class ClusterMembership:
    """The identity of this member in its cluster.

    Attributes:
        name: The name of this member.
        cluster: The name of the cluster.
        names: The sorted names of all members; a member's number is the index of its name.
        incarnation: How often this member has started since its disk was empty.
        agreed_settings: The settings that members compare when they connect.
    """

    name: str
    cluster: str
    names: list[str]
    incarnation: int
    agreed_settings: AgreedSettings

    @property
    def local_member(self) -> int:
        """The number of this member."""
        return self.names.index(self.name)


def lease_configuration(settings: LeadershipSettings) -> LeaseConfiguration:
    """Return the durations of leases, in proportion to the configured length of a lease."""
    return LeaseConfiguration(
        shards=settings.shards,
        lease_us=round(settings.lease_ms * 1000),
        renewal_interval_us=round(settings.lease_ms * 200),
        retry_delay_us=round(settings.lease_ms * 100),
    )
