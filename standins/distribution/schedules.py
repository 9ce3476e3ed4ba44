"""Seeded schedules of faults over a small world, and the deliberate breaks that the checks must find."""

import random
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from unittest import mock

from ravenshelf.distribution.decisions.backoff import Backoff
from ravenshelf.distribution.decisions.ownership import PublicationLease
from ravenshelf.distribution.decisions.planner import LINE
from ravenshelf.distribution.decisions.topics import Outcome, Topic
from ravenshelf.distribution.messages import Delta, Snapshot, TableLine, Version
from standins.distribution.network import MILLISECOND, NetworkRules
from standins.distribution.nodes import RelayNode
from standins.distribution.world import Size, Violation, World
from standins.fleet.clock import SECOND

FAULTS_FOR = 60  # seconds in which faults are drawn
SETTLE_FOR = 45  # seconds after the last one: a keepalive, and several waits of a backoff
DIALS_WITHIN = 50 * MILLISECOND
STAMPEDE_LEAST = 12  # dials by so many children within that time are a stampede, if they were this many ...
STAMPEDE_PART = 0.5  # ... and more than this part of all that lost the same parent


@dataclass(frozen=True)
class Schedule:
    """What a seed plays."""

    seed: int
    broken: str = ""  # the name of a deliberate break


def sizes(random_source: random.Random) -> Size:
    regions = random_source.choice((1, 2, 3))
    return Size(
        controllers=random_source.choice((2, 3, 5)),
        pilots=random_source.choice((12, 24, 40)),
        services=random_source.choice((2, 5, 8)),
        endpoints=random_source.choice((2, 4, 600)),
        services_called=random_source.choice((1, 2, 4)),
        regions=regions,
        zones=random_source.choice((1, 2)) * regions,
        fan_out=random_source.choice((6, 12, 32)),
        shards=4,
    )


class Script:
    """Draws faults, and ends each of them before the schedule's time for faults is over."""

    def __init__(self, world: World, random_source: random.Random):
        self.world, self.random_source = world, random_source
        self.ends = world.events.now + FAULTS_FOR * SECOND

    def begin(self) -> None:
        """Lays out the whole schedule."""
        faults: list[Callable[[], None]] = [
            self.relay_dies,
            self.relay_dies,
            self.owner_dies,
            self.owner_pauses,
            self.region_parts,
            self.transport_spoils,
            self.pilot_away,
            self.pilot_slow,
            self.burst,
            self.interest_changes,
            self.relay_slow,
            self.relay_dies_with_a_change,
        ]
        for _ in range(self.random_source.randint(4, 14)):
            self._in(self.random_source.uniform(5, FAULTS_FOR - 10), self.random_source.choice(faults))
        for _ in range(self.random_source.randint(5, 60)):
            self._in(self.random_source.uniform(3, FAULTS_FOR), self.change)

    def _in(self, seconds: float, call: Callable[[], None]) -> None:
        self.world.network.later(round(seconds * SECOND), call)

    def _length(self, most: float) -> float:
        """Seconds of a fault, over in time."""
        left = (self.ends - self.world.events.now) / SECOND
        return min(self.random_source.uniform(0.5, most), max(0.1, left))

    def change(self) -> None:
        service = self.random_source.choice(self.world.services)
        if self.random_source.random() < 0.5:
            self.world.change(service)
        else:
            self.world.write_table(
                service, {f"{LINE}{service}-0": TableLine(round(self.random_source.uniform(1, 100), 2))}
            )

    def burst(self) -> None:
        service = self.random_source.choice(self.world.services)
        for n in range(300):
            self._in(n / 300, lambda n=n: self.world.change(service, f"burst-{n % 7}"))

    def _relay(self) -> RelayNode:
        return self.random_source.choice(self.random_source.choice(self.world.levels))

    def relay_dies(self) -> None:
        relay = self._relay()
        if relay.alive:
            relay.away(self._length(20), silently=self.random_source.random() < 0.5)

    def relay_dies_with_a_change(self) -> None:
        """While what it was about to serve is on its way."""
        for service in self.world.services:
            self.world.change(service)
        self._in(self.random_source.uniform(0.0, 0.3), self.relay_dies)

    def relay_slow(self) -> None:
        self._slow(self._relay())

    def pilot_slow(self) -> None:
        self._slow(self.random_source.choice(self.world.pilots))

    def _slow(self, node) -> None:
        for connection in node.connections.values():
            connection.bytes_per_second = 300.0
        self._in(self._length(15), lambda: self._fast(node))

    @staticmethod
    def _fast(node) -> None:
        for connection in node.connections.values():
            connection.bytes_per_second = connection.network.rules.bytes_per_second

    def owner_dies(self) -> None:
        owner = self.random_source.choice(self.world.owners)
        if owner.alive and sum(node.alive for node in self.world.owners) > 1:
            owner.away(self._length(25), silently=self.random_source.random() < 0.5)

    def owner_pauses(self) -> None:
        owner = self.random_source.choice(self.world.owners)
        if owner.alive and not owner.is_paused():
            owner.paused_until = self.world.events.now + round(self._length(60) * SECOND)

    def region_parts(self) -> None:
        region = self.random_source.randrange(self.world.size.regions)
        self.world.network.cut_off(region)
        self._in(self._length(30), lambda: self.world.network.heal(region))

    def transport_spoils(self) -> None:
        rules = self.world.network.rules
        rules.dropped, rules.repeated, rules.reordered = (
            self.random_source.uniform(0, 0.2) for _ in range(3)
        )
        self._in(self._length(20), self._transport_heals)

    def _transport_heals(self) -> None:
        rules = self.world.network.rules
        rules.dropped = rules.repeated = rules.reordered = 0.0

    def pilot_away(self) -> None:
        pilot = self.random_source.choice(self.world.pilots)
        if pilot.alive:
            pilot.away(self._length(40), forget=self.random_source.random() < 0.3)

    def interest_changes(self) -> None:
        pilot, service = (
            self.random_source.choice(self.world.pilots),
            self.random_source.choice(self.world.services),
        )
        zone = pilot.region * self.world.size.zones // self.world.size.regions
        if not pilot.alive:
            return
        for topic in self.world.topics_of(service, zone):
            if topic in pilot.client.held_versions:
                pilot.unwant(topic)
                self.world.seen.pop((pilot.name, topic), None)
            else:
                pilot.want(topic)


def play(schedule: Schedule) -> list[Violation]:
    """Plays a schedule; gives the broken invariants."""
    random_source = random.Random(f"{schedule.seed}/schedule")
    with deliberate_break(schedule.broken):
        world = World(
            sizes(random_source), schedule.seed, NetworkRules(loss=random_source.choice((0.0, 0.01, 0.05)))
        )
        Script(world, random_source).begin()
        world.run(FAULTS_FOR + SETTLE_FOR)
        world.check_converged()
        check_dials(world)
    return world.violations


def check_dials(world: World) -> None:
    """No stampede: of many that lose a parent at one time, no large part dials any one other within a moment."""
    dials = sorted(world.network.dials)
    starts = (
        world.events.now - (FAULTS_FOR + SETTLE_FOR) * SECOND + 2 * SECOND
    )  # the world's start is no loss
    by_parent: dict[str, list[int]] = {}
    for at, _, parent in dials:
        if at > starts:
            by_parent.setdefault(parent, []).append(at)
    for parent, times in by_parent.items():
        most = max(sum(at <= other < at + DIALS_WITHIN for other in times) for at in times)
        if most >= max(STAMPEDE_LEAST, STAMPEDE_PART * world.size.fan_out):
            world.violations.append(Violation("no stampede", 0, f"{most} dials of {parent} within 50 ms"))


# --- deliberate breaks ---


def _receive_by_sequence(self: Topic, message: Snapshot | Delta) -> Outcome:
    """Versions are compared without their epochs."""
    if message.version.sequence <= self.version.sequence:
        return Outcome.DUPLICATE
    return _receive(self, message)


def _updates_by_sequence(self: Topic, held: Version) -> list[Snapshot | Delta]:
    return [] if held.sequence >= self.version.sequence else _updates_since(self, held)


_receive, _updates_since = Topic.receive, Topic.updates_since

BREAKS: dict[str, list[tuple[type, str, Callable]]] = {
    "no epoch check": [
        (Topic, "receive", _receive_by_sequence),
        (Topic, "updates_since", _updates_by_sequence),
    ],
    "delta over a gap": [(Topic, "_covers", lambda self, delta: True)],
    "resync without jitter": [(Backoff, "next_delay", lambda self: self.first)],
    "lease not asked": [(PublicationLease, "may_publish", lambda self, now: True)],
}


@contextmanager
def deliberate_break(name: str) -> Iterator[None]:
    """Puts a fault into the decisions for a while; no name, no fault."""
    with ExitStack() as patches:
        for target, attribute, broken in BREAKS[name] if name else ():
            patches.enter_context(mock.patch.object(target, attribute, broken))
        yield
