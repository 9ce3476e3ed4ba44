"""What nodes, leases and the network need of the simulated distribution, so that none of them imports it."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from ravenshelf.distribution.decisions.service_owner import ServiceOwner
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Entry
from standins.distribution.network import Network, Process
from standins.fleet.clock import EventQueue


class NamedProcess(Protocol):
    """Has a name."""

    name: str


class Distribution(Protocol):
    """The simulated distribution as its nodes see it."""

    events: EventQueue
    network: Network
    ended_snapshot_bytes: int

    @property
    def nodes(self) -> Mapping[str, Process]:
        """All processes by name."""

    def content(self, topic: str) -> Mapping[str, Entry]:
        """Return the intended state of a topic."""

    def record_publications(self, owner: ServiceOwner, topics: Iterable[str]) -> None:
        """Record what an owner has just published."""

    def update_applied(self, server: NamedProcess, topic: str, state: Topic) -> None:
        """A server has applied an update."""
