"""A whole distribution: controllers, a tree of relays, pilots, services whose configuration changes, and faults."""
import random
from dataclasses import dataclass, field
from typing import Iterable, Mapping

from ravenshelf.distribution.decisions.claims import service_of
from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.owner import Owner
from ravenshelf.distribution.decisions.planner import ENDPOINT, LINE, SETTING, topic_name
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.decisions.tree import levels, preferred_parents
from ravenshelf.distribution.messages import EndpointEntry, Entry, Setting, TableLine, Version
from standins.distribution.leases import Leases
from standins.distribution.network import Network, NetworkRules
from standins.distribution.nodes import Node, OwnerNode, PilotNode, RelayNode
from standins.fleet.clock import SECOND, EventQueue

OWNER_PREFIX = "owner-"


@dataclass(frozen=True)
class Size:
    """How much of everything. `services_called` and `endpoints` are means a pilot and a service."""
    controllers: int = 3
    pilots: int = 18
    services: int = 6
    endpoints: int = 4
    services_called: int = 3
    regions: int = 3
    zones_per_region: int = 1
    fan_out: int = 8
    shards: int = 8
    limits: DistributorLimits = DistributorLimits()
    start_spread: int = 0           # microseconds over which pilots start


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
        self.chance = random.Random(f"{seed}/script")
        self.network = Network(self.events, random.Random(f"{seed}/network"), size.regions, rules or NetworkRules())
        self.nodes: dict[str, Node] = {}
        self.services = [f"service-{n}" for n in range(size.services)]
        self.configuration = {service: self._listed(service) for service in self.services}
        self.states: dict[tuple[str, Version], int] = {}        # fingerprints of all states ever published
        self.seen: dict[tuple[str, str], Version] = {}          # by pilot and topic
        self.violations: list[Violation] = []
        self.watched: dict[str, dict[str, int]] = {}    # by marked service: pilot, and when it had the change
        self.marks: dict[str, str] = {}                 # by service: the value to wait for
        self._topics: dict[str, list[str]] = {service: [] for service in self.services}
        self.owners = self._owners()
        self.levels = self._relays()
        self.pilots = self._pilots()
        self.leases = Leases(self, size.shards)

    # --- what it is made of ---

    def _listed(self, service: str) -> dict[str, Entry]:
        zones = self.size.regions * self.size.zones_per_region
        entries: dict[str, Entry] = {SETTING + "change": Setting("0")}
        for n in range(self.size.endpoints):
            name = f"{service}-{n}"
            entries[ENDPOINT + name] = EndpointEntry(n % zones, True, 1.0)
            entries[LINE + name] = TableLine(round(1000 / self.size.endpoints, 2))
        return entries

    def _random(self, name: str) -> random.Random:
        return random.Random(f"{self.seed}/{name}")

    def _add(self, node: Node) -> Node:
        self.nodes[node.name] = node
        return node

    def _owners(self) -> list[OwnerNode]:
        names = [f"{OWNER_PREFIX}{n}" for n in range(self.size.controllers)]
        limits = DistributorLimits(4 * self.size.fan_out + len(names), self.size.limits.snapshot_bytes_per_second,
                                   self.size.limits.snapshot_burst_bytes)
        return [self._add(OwnerNode(self, name, n % self.size.regions, [other for other in names if other != name],
                                    self._random(name), limits)) for n, name in enumerate(names)]

    def _relays(self) -> list[list[RelayNode]]:
        made: list[list[RelayNode]] = []
        above = None
        limits = DistributorLimits(self.size.fan_out, self.size.limits.snapshot_bytes_per_second,
                                   self.size.limits.snapshot_burst_bytes)
        for level in levels(self.size.pilots, self.size.fan_out):
            made.append([self._relay(name, place, len(level.names), above, limits)
                         for place, name in enumerate(level.names)])
            above = level
        self.last_level = above
        return made

    def _relay(self, name: str, place: int, count: int, above, limits: DistributorLimits) -> RelayNode:
        region = place * self.size.regions // count
        upstreams = ({owner.name: [owner.name] for owner in self.owners} if above is None
                     else {"tree": preferred_parents(place, count, above)})
        return self._add(RelayNode(self, name, region, upstreams, self._random(name), limits, owners=above is None))

    def _pilots(self) -> list[PilotNode]:
        return [self._pilot(place) for place in range(self.size.pilots)]

    def _pilot(self, place: int) -> PilotNode:
        region = place * self.size.regions // self.size.pilots
        zone = region * self.size.zones_per_region + place % self.size.zones_per_region
        called = self.chance.sample(self.services, min(self.size.services_called, len(self.services)))
        wanted = [self.topic(service, zone) for service in called]
        parents = preferred_parents(place, self.size.pilots, self.last_level)
        name = f"pilot-{place}"
        starts = self.events.now + self.chance.randint(0, self.size.start_spread)
        return self._add(PilotNode(self, name, region, parents, wanted, self._random(name), starts))

    def topic(self, service: str, zone: int) -> str:
        """The topic of a service for a zone; remembered, for owners refresh what there is."""
        name = topic_name(service, zone)
        if name not in self._topics[service]:
            self._topics[service].append(name)
        return name

    # --- what owners publish ---

    def content(self, topic: str) -> Mapping[str, Entry]:
        """What the topic is to say now."""
        return self.configuration[service_of(topic)]

    def change(self, service: str, key: str = "change", value: str | None = None) -> str:
        """A change of a service's configuration reaches its owner, whoever that is; gives the new value."""
        value = value if value is not None else str(self.events.now)
        self.configuration[service] = {**self.configuration[service], SETTING + key: Setting(value)}
        for node in self.owners:
            if service in node.owner.tenures:
                node.run(lambda node=node: self._refresh(node, service))
        return value

    def _refresh(self, node: OwnerNode, service: str) -> None:
        for topic in self._topics[service]:
            node.owner.refresh(self.events.now, topic)

    def published(self, owner: Owner, topics: Iterable[str]) -> None:
        """Records what an owner has published just now."""
        for topic in topics if self.checked else ():
            publication = owner.publications[topic]
            state = publication.topic
            if (topic, state.version) in self.states:
                self._violated("one state a version", f"{topic} {state.version} of {owner.name}")
            self.states[topic, state.version] = _fingerprint(state)
            if service_of(topic) in self.configuration and self.leases.epoch_of(service_of(topic)) > publication.epoch:
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
        return [pilot for pilot in self.pilots if pilot.alive and any(
            service_of(topic) == service for topic in pilot.client.held.versions())]

    def _violated(self, rule: str, what: str) -> None:
        self.violations.append(Violation(rule, self.events.now, what))

    def check_converged(self) -> None:
        """Every living pilot holds what the owners are to say now."""
        for pilot in self.pilots:
            for topic in pilot.client.held.versions() if pilot.alive else ():
                if pilot.topics[topic].entries != self.content(topic):
                    self._violated("converged", f"{pilot.name} {topic} holds {pilot.topics[topic].version}")

    # --- time ---

    def run(self, seconds: float) -> "World":
        self.events.advance(self.events.now + round(seconds * SECOND))
        return self


def _fingerprint(state: Topic) -> int:
    return hash(frozenset(state.entries.items()))
