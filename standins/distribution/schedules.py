"""Seeded schedules of faults in a small distribution, and deliberate breaks that they must detect."""

import random
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from functools import partial
from unittest import mock

from ravenshelf.distribution.decisions.backoff import Backoff
from ravenshelf.distribution.decisions.ownership import PublicationLease
from ravenshelf.distribution.decisions.planner import LINE_PREFIX
from ravenshelf.distribution.decisions.topics import Topic, UpdateOutcome
from ravenshelf.distribution.messages import Delta, Snapshot, TableLine, Version
from standins.distribution.network import MILLISECOND, NetworkRules
from standins.distribution.node import Node
from standins.distribution.nodes import RelayNode
from standins.distribution.world import DistributionSize, SimulatedDistribution, Violation
from standins.fleet.clock import SECOND

FAULT_SECONDS = 60  # length of the period in which faults occur

# This time after the last fault is enough for a keepalive and several backoffs.
SETTLE_SECONDS = 45

# Dials of one parent within the window are a stampede if they are at least MIN_STAMPEDE_DIALS and at least
# STAMPEDE_SHARE of the fan-out.
STAMPEDE_WINDOW = 50 * MILLISECOND
MIN_STAMPEDE_DIALS = 12
STAMPEDE_SHARE = 0.5


@dataclass(frozen=True)
class Schedule:
    """Seed of a schedule, and the deliberate break that is applied during it."""

    seed: int
    break_name: str = ""  # a key of BREAKS, or empty if there is no deliberate break


def draw_size(random_source: random.Random) -> DistributionSize:
    """Draw the size of a distribution."""
    regions = random_source.choice((1, 2, 3))
    return DistributionSize(
        controllers=random_source.choice((2, 3, 5)),
        servers=random_source.choice((12, 24, 40)),
        services=random_source.choice((2, 5, 8)),
        endpoints=random_source.choice((2, 4, 600)),
        services_per_server=random_source.choice((1, 2, 4)),
        regions=regions,
        zones=random_source.choice((1, 2)) * regions,
        fan_out=random_source.choice((6, 12, 32)),
        shards=4,
    )


class FaultScript:
    """Random faults and changes; each fault ends within FAULT_SECONDS of the start."""

    def __init__(self, world: SimulatedDistribution, random_source: random.Random):
        self.world, self.random_source = world, random_source
        self.faults_end_at = world.events.now + FAULT_SECONDS * SECOND

    def schedule_faults(self) -> None:
        """Schedule all faults and changes."""
        faults: list[Callable[[], None]] = [
            self.stop_relay,
            self.stop_relay,
            self.stop_owner,
            self.suspend_owner,
            self.partition_region,
            self.disturb_transport,
            self.stop_server,
            self.slow_server,
            self.burst_of_changes,
            self.change_subscriptions,
            self.slow_relay,
            self.stop_relay_during_change,
        ]
        for _ in range(self.random_source.randint(4, 14)):
            self._call_after(
                self.random_source.uniform(5, FAULT_SECONDS - 10), self.random_source.choice(faults)
            )
        for _ in range(self.random_source.randint(5, 60)):
            self._call_after(self.random_source.uniform(3, FAULT_SECONDS), self.change)

    def _call_after(self, seconds: float, callback: Callable[[], object]) -> None:
        self.world.network.call_later(round(seconds * SECOND), callback)

    def _draw_fault_duration(self, max_seconds: float) -> float:
        """Draw the seconds that a fault lasts, so that it ends before the time for faults is over."""
        remaining_seconds = (self.faults_end_at - self.world.events.now) / SECOND
        return min(self.random_source.uniform(0.5, max_seconds), max(0.1, remaining_seconds))

    def change(self) -> None:
        """Change a service's configuration or its table."""
        service = self.random_source.choice(self.world.services)
        if self.random_source.random() < 0.5:
            self.world.change(service)
        else:
            self.world.write_table(
                service,
                {f"{LINE_PREFIX}{service}-0": TableLine(round(self.random_source.uniform(1, 100), 2))},
            )

    def burst_of_changes(self) -> None:
        """Change a service 300 times within a second."""
        service = self.random_source.choice(self.world.services)
        for number in range(300):
            self._call_after(number / 300, partial(self.world.change, service, f"burst-{number % 7}"))

    def _choose_relay(self) -> RelayNode:
        return self.random_source.choice(self.random_source.choice(self.world.relay_levels))

    def stop_relay(self) -> None:
        """Stop a relay for a while."""
        relay = self._choose_relay()
        if relay.alive:
            relay.stop_for(self._draw_fault_duration(20), silently=self.random_source.random() < 0.5)

    def stop_relay_during_change(self) -> None:
        """Change all services, and stop a relay while the changes are in transit."""
        for service in self.world.services:
            self.world.change(service)
        self._call_after(self.random_source.uniform(0.0, 0.3), self.stop_relay)

    def slow_relay(self) -> None:
        """Reduce the bandwidth of a relay's connections to its parents for a while."""
        self._slow_connections(self._choose_relay())

    def slow_server(self) -> None:
        """Reduce the bandwidth of a server's connection to its parent for a while."""
        self._slow_connections(self.random_source.choice(self.world.servers))

    def _slow_connections(self, node: Node) -> None:
        for connection in node.connections.values():
            connection.bytes_per_second = 300.0
        self._call_after(self._draw_fault_duration(15), lambda: self._restore_speed(node))

    @staticmethod
    def _restore_speed(node: Node) -> None:
        for connection in node.connections.values():
            connection.bytes_per_second = connection.network.rules.bytes_per_second

    def stop_owner(self) -> None:
        """Stop a controller for a while, unless it is the only one that runs."""
        owner = self.random_source.choice(self.world.owners)
        if owner.alive and sum(node.alive for node in self.world.owners) > 1:
            owner.stop_for(self._draw_fault_duration(25), silently=self.random_source.random() < 0.5)

    def suspend_owner(self) -> None:
        """Suspend a controller for a while."""
        owner = self.random_source.choice(self.world.owners)
        if owner.alive and not owner.is_paused():
            owner.paused_until = self.world.events.now + round(self._draw_fault_duration(60) * SECOND)

    def partition_region(self) -> None:
        """Partition a region for a while."""
        region = self.random_source.randrange(self.world.size.regions)
        self.world.network.isolate_region(region)
        self._call_after(self._draw_fault_duration(30), lambda: self.world.network.reconnect_region(region))

    def disturb_transport(self) -> None:
        """Drop, repeat and reorder messages for a while."""
        rules = self.world.network.rules
        rules.dropped_share, rules.repeated_share, rules.reordered_share = (
            self.random_source.uniform(0, 0.2) for _ in range(3)
        )
        self._call_after(self._draw_fault_duration(20), self._restore_transport)

    def _restore_transport(self) -> None:
        rules = self.world.network.rules
        rules.dropped_share = rules.repeated_share = rules.reordered_share = 0.0

    def stop_server(self) -> None:
        """Stop a server for a while."""
        server = self.random_source.choice(self.world.servers)
        if server.alive:
            server.stop_for(self._draw_fault_duration(40), loses_topics=self.random_source.random() < 0.3)

    def change_subscriptions(self) -> None:
        """Subscribe a server to the topics of a service, or unsubscribe it from those that it holds."""
        server, service = (
            self.random_source.choice(self.world.servers),
            self.random_source.choice(self.world.services),
        )
        zone = server.region * self.world.size.zones // self.world.size.regions
        if not server.alive:
            return
        for topic in self.world.topics_of(service, zone):
            if topic in server.client.held_versions:
                server.unsubscribe(topic)
                self.world.applied_versions.pop((server.name, topic), None)
            else:
                server.subscribe(topic)


def run_schedule(schedule: Schedule) -> list[Violation]:
    """Simulate a schedule, and return the violations of invariants."""
    random_source = random.Random(f"{schedule.seed}/schedule")
    with deliberate_break(schedule.break_name):
        world = SimulatedDistribution(
            draw_size(random_source),
            schedule.seed,
            NetworkRules(loss_share=random_source.choice((0.0, 0.01, 0.05))),
        )
        FaultScript(world, random_source).schedule_faults()
        world.run(FAULT_SECONDS + SETTLE_SECONDS)
        world.check_converged()
        check_dials(world)
    return world.violations


def check_dials(world: SimulatedDistribution) -> None:
    """Record a violation for each parent that a large share of children dialled at almost the same time.

    Dials before the first possible fault are not checked, as all processes connect at the start.
    """
    dials = sorted(world.network.dials)
    first_loss_at = world.events.now - (FAULT_SECONDS + SETTLE_SECONDS) * SECOND + 2 * SECOND
    by_parent: dict[str, list[int]] = {}
    for time, _, parent in dials:
        if time > first_loss_at:
            by_parent.setdefault(parent, []).append(time)
    for parent, times in by_parent.items():
        dial_count = max(
            sum(start <= dial_time < start + STAMPEDE_WINDOW for dial_time in times) for start in times
        )
        if dial_count >= max(MIN_STAMPEDE_DIALS, STAMPEDE_SHARE * world.size.fan_out):
            world.violations.append(
                Violation("no dial stampede", 0, f"{dial_count} dials of {parent} within 50 ms")
            )


# Deliberate breaks


def _receive_by_sequence(self: Topic, message: Snapshot | Delta) -> UpdateOutcome:
    """Apply an update if its sequence is higher, regardless of its epoch."""
    if message.version.sequence <= self.version.sequence:
        return UpdateOutcome.DUPLICATE
    return _receive(self, message)


def _updates_by_sequence(self: Topic, subscriber_version: Version) -> list[Snapshot | Delta]:
    return (
        []
        if subscriber_version.sequence >= self.version.sequence
        else _updates_since(self, subscriber_version)
    )


_receive = Topic.receive
_updates_since = Topic.updates_since


def _covers_every_gap(_topic: Topic, _delta: Delta) -> bool:
    return True


def _first_delay(backoff: Backoff) -> int:
    return backoff.initial_ceiling


def _always_valid(_lease: PublicationLease, _now: int) -> bool:
    return True


BREAKS: dict[str, list[tuple[type, str, Callable]]] = {
    "no epoch check": [
        (Topic, "receive", _receive_by_sequence),
        (Topic, "updates_since", _updates_by_sequence),
    ],
    "delta over a gap": [(Topic, "_covers", _covers_every_gap)],
    "resync without jitter": [(Backoff, "next_delay", _first_delay)],
    "lease not asked": [(PublicationLease, "may_publish", _always_valid)],
}


@contextmanager
def deliberate_break(name: str) -> Iterator[None]:
    """Patch the decision code with the named defect of BREAKS; do nothing if the name is empty."""
    with ExitStack() as patches:
        for target, attribute, replacement in BREAKS[name] if name else ():
            patches.enter_context(mock.patch.object(target, attribute, replacement))
        yield
