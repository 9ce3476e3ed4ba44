"""Simulated distribution with controllers, a tree of relays, servers, and services that change."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import TypeVar

from ravenshelf.distribution.decisions.claims import service_of_topic
from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.planner import (
    ENDPOINT_PREFIX,
    LINE_PREFIX,
    SETTING_PREFIX,
    service_topic,
    zone_topic,
)
from ravenshelf.distribution.decisions.service_owner import ServiceOwner
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.decisions.tree import RelayLevel, candidate_parents, plan_relay_levels
from ravenshelf.distribution.messages import EndpointEntry, Entry, Setting, TableLine, Version
from standins.distribution.interfaces import NamedProcess
from standins.distribution.leases import Leases
from standins.distribution.network import Network, NetworkRules
from standins.distribution.node import Node
from standins.distribution.nodes import OwnerNode, RelayNode, ServerNode
from standins.fleet.clock import SECOND, EventQueue

OWNER_PREFIX = "owner-"
TABLE_LINES = 10  # greatest number of lines in the table of a zone

AnyNode = TypeVar("AnyNode", bound=Node)


@dataclass(frozen=True)
class DistributionSize:
    """Counts of the processes and services of a simulated distribution, and its limits.

    Attributes:
        endpoints: Number of endpoints of each service.
        services_per_server: Number of services to which each server subscribes.
        fan_out: Greatest number of children of a relay.
        limits: Limits of the snapshots that a distributor sends; its `max_subscribers` is not used.
        start_spread: Microseconds over which the starts of the servers are spread.
    """

    controllers: int = 3
    servers: int = 18
    services: int = 6
    endpoints: int = 4
    services_per_server: int = 3
    regions: int = 3
    zones: int = 3
    fan_out: int = 8
    shards: int = 8
    limits: DistributorLimits = DistributorLimits()
    start_spread: int = 0


@dataclass
class Violation:
    """Violation of an invariant, at a time in microseconds."""

    rule: str
    time: int
    description: str


class SimulatedDistribution:
    """All processes of a distribution, on one clock and one network.

    If `checked` is set, each publication and each applied update is checked against the invariants.
    """

    def __init__(
        self, size: DistributionSize, seed: int, rules: NetworkRules | None = None, checked: bool = True
    ):
        self.size = size
        self.seed = seed
        self.checked = checked
        self.events = EventQueue()
        self.random_source = random.Random(f"{seed}/script")
        self.network = Network(
            self.events, random.Random(f"{seed}/network"), size.regions, rules or NetworkRules()
        )
        self.nodes: dict[str, Node] = {}
        self.services = [f"service-{number}" for number in range(size.services)]
        self.configuration = {service: self._initial_configuration(service) for service in self.services}
        self.tables = {service: self._initial_table(service) for service in self.services}
        # fingerprint of each state that was ever published, by (topic, version)
        self.published_fingerprints: dict[tuple[str, Version], int] = {}
        # Version that a server has applied, by (server, topic).
        self.applied_versions: dict[tuple[str, str], Version] = {}
        self.violations: list[Violation] = []
        # Time of application in microseconds, by marked service and server.
        self.change_applied_at: dict[str, dict[str, int]] = {}
        self.marked_values: dict[str, str] = {}  # value of the change by marked service
        self.ended_snapshot_bytes = 0  # snapshot bytes sent by processes that have ended
        self._zone_topics: dict[str, list[str]] = {service: [] for service in self.services}
        self.owners = self._make_owners()
        self.relay_levels = self._make_relays()
        self.servers = self._make_servers()
        self.leases = Leases(self, size.shards)

    # Processes and services

    def _initial_configuration(self, service: str) -> dict[str, Entry]:
        entries: dict[str, Entry] = {SETTING_PREFIX + "change": Setting("0")}
        for number in range(self.size.endpoints):
            entries[f"{ENDPOINT_PREFIX}{service}-{number}"] = EndpointEntry(
                number % self.size.zones, True, 1.0
            )
        return entries

    def _initial_table(self, service: str) -> dict[str, Entry]:
        lines = range(min(self.size.endpoints, TABLE_LINES))
        return {
            f"{LINE_PREFIX}{service}-{number}": TableLine(round(1000 / len(lines), 2)) for number in lines
        }

    def _make_random_source(self, name: str) -> random.Random:
        return random.Random(f"{self.seed}/{name}")

    def _add(self, node: AnyNode) -> AnyNode:
        self.nodes[node.name] = node
        return node

    def _make_owners(self) -> list[OwnerNode]:
        names = [f"{OWNER_PREFIX}{number}" for number in range(self.size.controllers)]
        limits = DistributorLimits(
            4 * self.size.fan_out + len(names),
            self.size.limits.snapshot_bytes_per_second,
            self.size.limits.snapshot_burst_bytes,
        )
        return [
            self._add(
                OwnerNode(
                    self,
                    name,
                    number % self.size.regions,
                    [peer for peer in names if peer != name],
                    self._make_random_source(name),
                    limits,
                    self.size.shards,
                )
            )
            for number, name in enumerate(names)
        ]

    def _make_relays(self) -> list[list[RelayNode]]:
        relay_levels: list[list[RelayNode]] = []
        parent_level: RelayLevel | None = None
        limits = DistributorLimits(
            self.size.fan_out,
            self.size.limits.snapshot_bytes_per_second,
            self.size.limits.snapshot_burst_bytes,
        )
        for level in plan_relay_levels(self.size.servers, self.size.fan_out):
            relay_levels.append(
                [
                    self._make_relay(name, index, len(level.names), parent_level, limits)
                    for index, name in enumerate(level.names)
                ]
            )
            parent_level = level
        self.last_relay_level = parent_level
        return relay_levels

    def _make_relay(
        self, name: str, index: int, count: int, parent_level: RelayLevel | None, limits: DistributorLimits
    ) -> RelayNode:
        region = index * self.size.regions // count
        upstreams = (
            {owner.name: [owner.name] for owner in self.owners}
            if parent_level is None
            else {"tree": candidate_parents(index, count, parent_level)}
        )
        return self._add(
            RelayNode(
                self,
                name,
                region,
                upstreams,
                self._make_random_source(name),
                limits,
                has_owner_upstreams=parent_level is None,
            )
        )

    def _make_servers(self) -> list[ServerNode]:
        return [self._make_server(index) for index in range(self.size.servers)]

    def _make_server(self, index: int) -> ServerNode:
        zone = index * self.size.zones // self.size.servers
        region = zone * self.size.regions // self.size.zones
        called_services = self.random_source.sample(
            self.services, min(self.size.services_per_server, len(self.services))
        )
        topics = [topic for service in called_services for topic in self.topics_of(service, zone)]
        parents = candidate_parents(index, self.size.servers, self.last_relay_level)
        name = f"pilot-{index}"
        started_at = self.events.now + self.random_source.randint(0, self.size.start_spread)
        return self._add(
            ServerNode(self, name, region, parents, topics, self._make_random_source(name), started_at)
        )

    def topics_of(self, service: str, zone: int) -> tuple[str, str]:
        """Return the topics that a server of a zone subscribes to for a service."""
        table = zone_topic(service, zone)
        if table not in self._zone_topics[service]:
            self._zone_topics[service].append(table)
        return service_topic(service), table

    # Changes and publications

    def content(self, topic: str) -> Mapping[str, Entry]:
        """Return the intended entries of a topic."""
        service = service_of_topic(topic)
        return (self.configuration if topic == service_topic(service) else self.tables)[service]

    def change(self, service: str, key: str = "change", value: str | None = None) -> str:
        """Change a setting of a service, and notify its owner.

        Args:
            service: The service.
            key: Name of the setting.
            value: New value; the current time if it is None.

        Returns:
            The new value.
        """
        value = value if value is not None else str(self.events.now)
        self.configuration[service] = {**self.configuration[service], SETTING_PREFIX + key: Setting(value)}
        self._refresh(service, [service_topic(service)])
        return value

    def write_table(self, service: str, lines: Mapping[str, Entry]) -> None:
        """Change lines in the tables of all zones of a service, and notify its owner."""
        self.tables[service] = {**self.tables[service], **lines}
        self._refresh(service, self._zone_topics[service])

    def _refresh(self, service: str, topics: list[str]) -> None:
        for node in self.owners:
            if service in node.owner.owned_services:
                node.run(partial(self._refresh_topics, node, topics))

    def _refresh_topics(self, node: OwnerNode, topics: list[str]) -> None:
        for topic in topics:
            node.owner.refresh(self.events.now, topic)

    def record_publications(self, owner: ServiceOwner, topics: Iterable[str]) -> None:
        """Check and record the topics that an owner has just published."""
        for topic in topics if self.checked else ():
            publication = owner.publications[topic]
            state = publication.topic
            if (topic, state.version) in self.published_fingerprints:
                self._record_violation(
                    "one state for each version", f"{topic} {state.version} of {owner.name}"
                )
            self.published_fingerprints[topic, state.version] = _fingerprint(state)
            if (
                service_of_topic(topic) in self.configuration
                and self.leases.epoch_of(service_of_topic(topic)) > publication.epoch
            ):
                self._record_violation(
                    "no publication by a deposed owner", f"{topic} {state.version} of {owner.name}"
                )

    # State of servers

    def update_applied(self, server: NamedProcess, topic: str, state: Topic) -> None:
        """Check and record an update that a server has applied."""
        service = service_of_topic(topic)
        if service in self.marked_values:
            entry = state.entries.get(SETTING_PREFIX + "change")
            if isinstance(entry, Setting) and entry.value == self.marked_values[service]:
                self.change_applied_at[service].setdefault(server.name, self.events.now)
        if not self.checked:
            return
        previous_version = self.applied_versions.get((server.name, topic))
        if previous_version is not None and state.version < previous_version:
            self._record_violation(
                "versions never decrease", f"{server.name} {topic} from {previous_version} to {state.version}"
            )
        self.applied_versions[server.name, topic] = state.version
        if self.published_fingerprints.get((topic, state.version)) != _fingerprint(state):
            self._record_violation(
                "state as published by the owner", f"{server.name} {topic} {state.version}"
            )

    def mark_change(self, service: str) -> None:
        """Change a service, and record when each of its servers has applied the change."""
        self.change_applied_at[service] = {}
        self.marked_values[service] = self.change(service)

    def subscribers(self, service: str) -> list[ServerNode]:
        """Return the running servers that subscribe to a service."""
        return [
            server
            for server in self.servers
            if server.alive
            and any(service_of_topic(topic) == service for topic in server.client.held_versions.versions())
        ]

    def snapshot_bytes(self) -> int:
        """Return the bytes of all snapshots that were sent since the start."""
        serving = [node.distributor for node in self.nodes.values() if node.distributor is not None]
        return self.ended_snapshot_bytes + sum(distributor.snapshot_bytes for distributor in serving)

    def _record_violation(self, rule: str, description: str) -> None:
        self.violations.append(Violation(rule, self.events.now, description))

    def check_converged(self) -> None:
        """Check that every running server holds the intended entries of its topics."""
        for server in self.servers:
            for topic in server.client.held_versions.versions() if server.alive else ():
                if server.topics[topic].entries != self.content(topic):
                    self._record_violation(
                        "converged", f"{server.name} {topic} holds {server.topics[topic].version}"
                    )

    # Time

    def run(self, seconds: float) -> "SimulatedDistribution":
        """Advance the clock by `seconds`, and return this object."""
        self.events.advance(self.events.now + round(seconds * SECOND))
        return self


def _fingerprint(state: Topic) -> int:
    return hash(frozenset(state.entries.items()))
