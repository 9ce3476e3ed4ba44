"""A whole distribution: controllers, a tree of relays, pilots, services whose configuration changes, and faults."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ravenshelf.distribution.decisions.claims import service_of
from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.planner import ENDPOINT, LINE, SETTING, service_topic, zone_topic
from ravenshelf.distribution.decisions.service_owner import ServiceOwner
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.decisions.tree import levels, preferred_parents
from ravenshelf.distribution.messages import EndpointEntry, Entry, Setting, TableLine, Version
from standins.distribution.leases import Leases
from standins.distribution.network import Network, NetworkRules
from standins.distribution.node import Node
from standins.distribution.nodes import OwnerNode, PilotNode, RelayNode
from standins.fleet.clock import SECOND, EventQueue

OWNER_PREFIX = "owner-"
TABLE_LINES = 10  # of a zone's table


@dataclass(frozen=True)
class Size:
    """How much of everything. `services_called` and `endpoints` are means a pilot and a service."""

    controllers: int = 3
    pilots: int = 18
    services: int = 6
    endpoints: int = 4
    services_called: int = 3
    regions: int = 3
    zones: int = 3
    fan_out: int = 8
    shards: int = 8
    limits: DistributorLimits = DistributorLimits()
    start_spread: int = 0  # microseconds over which pilots start


@dataclass
class Violation:
    """A broken invariant."""

    rule: str
    at: int
    what: str


class World:
    def __init__(self, size: Size, seed: int, rules: NetworkRules | None = None, checked: bool = True):
        self.size, self.seed, self.checked = size, seed, checked
        self.events = EventQueue()
        self.random_source = random.Random(f"{seed}/script")
        self.network = Network(
            self.events, random.Random(f"{seed}/network"), size.regions, rules or NetworkRules()
        )
        self.nodes: dict[str, Node] = {}
        self.services = [f"service-{n}" for n in range(size.services)]
        self.configuration = {service: self._listed(service) for service in self.services}
        self.tables = {service: self._table(service) for service in self.services}
        self.states: dict[tuple[str, Version], int] = {}  # fingerprints of all states ever published
        self.seen: dict[tuple[str, str], Version] = {}  # by pilot and topic
        self.violations: list[Violation] = []
        self.watched: dict[str, dict[str, int]] = {}  # by marked service: pilot, and when it had the change
        self.marks: dict[str, str] = {}  # by service: the value to wait for
        self.ended_snapshot_bytes = 0  # of processes that have ended
        self._zone_topics: dict[str, list[str]] = {service: [] for service in self.services}
        self.owners = self._owners()
        self.levels = self._relays()
        self.pilots = self._pilots()
        self.leases = Leases(self, size.shards)

    # --- what it is made of ---

    def _listed(self, service: str) -> dict[str, Entry]:
        entries: dict[str, Entry] = {SETTING + "change": Setting("0")}
        for n in range(self.size.endpoints):
            entries[f"{ENDPOINT}{service}-{n}"] = EndpointEntry(n % self.size.zones, True, 1.0)
        return entries

    def _table(self, service: str) -> dict[str, Entry]:
        lines = range(min(self.size.endpoints, TABLE_LINES))
        return {f"{LINE}{service}-{n}": TableLine(round(1000 / len(lines), 2)) for n in lines}

    def _random(self, name: str) -> random.Random:
        return random.Random(f"{self.seed}/{name}")

    def _add(self, node: Node) -> Node:
        self.nodes[node.name] = node
        return node

    def _owners(self) -> list[OwnerNode]:
        names = [f"{OWNER_PREFIX}{n}" for n in range(self.size.controllers)]
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
                    n % self.size.regions,
                    [other for other in names if other != name],
                    self._random(name),
                    limits,
                )
            )
            for n, name in enumerate(names)
        ]

    def _relays(self) -> list[list[RelayNode]]:
        made: list[list[RelayNode]] = []
        above = None
        limits = DistributorLimits(
            self.size.fan_out,
            self.size.limits.snapshot_bytes_per_second,
            self.size.limits.snapshot_burst_bytes,
        )
        for level in levels(self.size.pilots, self.size.fan_out):
            made.append(
                [
                    self._relay(name, place, len(level.names), above, limits)
                    for place, name in enumerate(level.names)
                ]
            )
            above = level
        self.last_level = above
        return made

    def _relay(self, name: str, place: int, count: int, above, limits: DistributorLimits) -> RelayNode:
        region = place * self.size.regions // count
        upstreams = (
            {owner.name: [owner.name] for owner in self.owners}
            if above is None
            else {"tree": preferred_parents(place, count, above)}
        )
        return self._add(
            RelayNode(self, name, region, upstreams, self._random(name), limits, owners=above is None)
        )

    def _pilots(self) -> list[PilotNode]:
        return [self._pilot(place) for place in range(self.size.pilots)]

    def _pilot(self, place: int) -> PilotNode:
        zone = place * self.size.zones // self.size.pilots
        region = zone * self.size.regions // self.size.zones
        called = self.random_source.sample(self.services, min(self.size.services_called, len(self.services)))
        wanted = [topic for service in called for topic in self.topics_of(service, zone)]
        parents = preferred_parents(place, self.size.pilots, self.last_level)
        name = f"pilot-{place}"
        starts = self.events.now + self.random_source.randint(0, self.size.start_spread)
        return self._add(PilotNode(self, name, region, parents, wanted, self._random(name), starts))

    def topics_of(self, service: str, zone: int) -> tuple[str, str]:
        """What a pilot of a zone subscribes to for a service."""
        table = zone_topic(service, zone)
        if table not in self._zone_topics[service]:
            self._zone_topics[service].append(table)
        return service_topic(service), table

    # --- what owners publish ---

    def content(self, topic: str) -> Mapping[str, Entry]:
        """What the topic is to say now."""
        service = service_of(topic)
        return (self.configuration if topic == service_topic(service) else self.tables)[service]

    def change(self, service: str, key: str = "change", value: str | None = None) -> str:
        """A change of a service's configuration reaches its owner, whoever that is; gives the new value."""
        value = value if value is not None else str(self.events.now)
        self.configuration[service] = {**self.configuration[service], SETTING + key: Setting(value)}
        self._refresh(service, [service_topic(service)])
        return value

    def write_table(self, service: str, lines: Mapping[str, Entry]) -> None:
        """The tables of all zones of a service have new lines."""
        self.tables[service] = {**self.tables[service], **lines}
        self._refresh(service, self._zone_topics[service])

    def _refresh(self, service: str, topics: list[str]) -> None:
        for node in self.owners:
            if service in node.owner.owned_services:
                node.run(lambda node=node: [node.owner.refresh(self.events.now, topic) for topic in topics])

    def published(self, owner: ServiceOwner, topics: Iterable[str]) -> None:
        """Records what an owner has published just now."""
        for topic in topics if self.checked else ():
            publication = owner.publications[topic]
            state = publication.topic
            if (topic, state.version) in self.states:
                self._violated("one state a version", f"{topic} {state.version} of {owner.name}")
            self.states[topic, state.version] = _fingerprint(state)
            if (
                service_of(topic) in self.configuration
                and self.leases.epoch_of(service_of(topic)) > publication.epoch
            ):
                self._violated("no order of a deposed owner", f"{topic} {state.version} of {owner.name}")

    # --- what pilots have ---

    def pilot_has(self, pilot: PilotNode, topic: str, state: Topic) -> None:
        """A pilot has applied a message."""
        service = service_of(topic)
        if service in self.marks:
            entry = state.entries.get(SETTING + "change")
            if isinstance(entry, Setting) and entry.value == self.marks[service]:
                self.watched[service].setdefault(pilot.name, self.events.now)
        if not self.checked:
            return
        before = self.seen.get((pilot.name, topic))
        if before is not None and state.version < before:
            self._violated("never back", f"{pilot.name} {topic} from {before} to {state.version}")
        self.seen[pilot.name, topic] = state.version
        if self.states.get((topic, state.version)) != _fingerprint(state):
            self._violated("the owner's state", f"{pilot.name} {topic} {state.version}")

    def mark(self, service: str) -> None:
        """Changes a service, and takes down when each of its pilots has the change."""
        self.watched[service] = {}
        self.marks[service] = self.change(service)

    def subscribers(self, service: str) -> list[PilotNode]:
        """The living pilots that call a service."""
        return [
            pilot
            for pilot in self.pilots
            if pilot.alive
            and any(service_of(topic) == service for topic in pilot.client.held_versions.versions())
        ]

    def snapshot_bytes(self) -> int:
        """Bytes of all snapshots ever sent."""
        serving = [node.distributor for node in self.nodes.values() if node.distributor is not None]
        return self.ended_snapshot_bytes + sum(distributor.snapshot_bytes for distributor in serving)

    def _violated(self, rule: str, what: str) -> None:
        self.violations.append(Violation(rule, self.events.now, what))

    def check_converged(self) -> None:
        """Every living pilot holds what the owners are to say now."""
        for pilot in self.pilots:
            for topic in pilot.client.held_versions.versions() if pilot.alive else ():
                if pilot.topics[topic].entries != self.content(topic):
                    self._violated("converged", f"{pilot.name} {topic} holds {pilot.topics[topic].version}")

    # --- time ---

    def run(self, seconds: float) -> "World":
        self.events.advance(self.events.now + round(seconds * SECOND))
        return self


def _fingerprint(state: Topic) -> int:
    return hash(frozenset(state.entries.items()))
