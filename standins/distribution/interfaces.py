"""Interfaces of the simulated distribution, so that its nodes need not import it."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from ravenshelf.distribution.decisions.service_owner import ServiceOwner
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Entry
from standins.distribution.network import Network, Process
from standins.fleet.clock import EventQueue


class NamedProcess(Protocol):
    """Process that is identified by its name."""

    name: str


class Distribution(Protocol):
    """Interface of the simulated distribution, as its nodes use it."""

    events: EventQueue
    network: Network
    ended_snapshot_bytes: int

    @property
    def nodes(self) -> Mapping[str, Process]:
        """Return all processes by name."""

    def content(self, topic: str) -> Mapping[str, Entry]:
        """Return the intended entries of a topic."""

    def record_publications(self, owner: ServiceOwner, topics: Iterable[str]) -> None:
        """Record the topics that an owner has just published."""

    def update_applied(self, server: NamedProcess, topic: str, state: Topic) -> None:
        """Record that a server has applied an update to a topic."""
