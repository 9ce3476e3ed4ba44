"""Whole distributions on a virtual network: each fault that it is for is caused, then seeded schedules of
them."""

import os
from concurrent.futures import ProcessPoolExecutor

import pytest

from ravenshelf.distribution.decisions.claims import service_of_topic
from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.topics import UpdateOutcome
from ravenshelf.distribution.messages import NEVER, Version
from standins.distribution.network import NetworkRules
from standins.distribution.nodes import OwnerNode
from standins.distribution.schedules import BREAKS, Schedule, play
from standins.distribution.world import DistributionSize, SimulatedDistribution, Violation

SCHEDULES = 100
HOUR = 3600.0


def settled(size: DistributionSize = DistributionSize(), seed: int = 1, **rules) -> SimulatedDistribution:
    return SimulatedDistribution(size, seed, NetworkRules(**rules)).run(10)


def owner_of(world: SimulatedDistribution, service: str) -> OwnerNode:
    return world.leases.owner_of(service)


def epochs(world: SimulatedDistribution, service: str) -> dict[int, set[int]]:
    """By region, the epochs in which pilots hold the service."""
    found: dict[int, set[int]] = {}
    for server in world.servers:
        for topic, version in server.client.held_versions.versions().items():
            if service_of_topic(topic) == service:
                found.setdefault(server.region, set()).add(version.epoch)
    return found


def converged(world: SimulatedDistribution) -> None:
    world.check_converged()
    assert not world.violations


def test_a_change_reaches_exactly_the_servers_that_call_the_service():
    world = settled(DistributionSize(servers=40, fan_out=16))
    before = {server.name: server.bytes_in for server in world.servers}
    world.mark_change("service-2")
    world.run(0.99)  # within a second most pilots have had at most a heartbeat and the change
    subscribers = {server.name for server in world.subscribers("service-2")}
    assert set(world.change_seen_at["service-2"]) == subscribers and len(subscribers) < 40
    others = [
        server.bytes_in - before[server.name] for server in world.servers if server.name not in subscribers
    ]
    assert max(others) <= 24
    converged(world.run(1))


def test_one_change_costs_the_owner_a_message_for_each_relay_next_to_it():
    world = settled(DistributionSize(servers=400, services=2, services_called=2, regions=1, fan_out=32))
    owner = owner_of(world, "service-0")
    world.run(1)
    before = owner.messages_out
    world.change("service-0")
    world.run(0.5)
    heartbeats = len(owner.served) + 1
    assert owner.messages_out - before <= len(world.levels[0]) + heartbeats + 2  # two replicas
    converged(world)


def test_an_owner_suspended_for_a_minute_resumes_after_its_successor_has_published():
    world = settled()
    owner = owner_of(world, "service-1")
    owner.paused_until = world.events.now + 60_000_000
    world.run(0.1)
    world.change("service-1")  # reaches the sleeper, which must not publish it under its old epoch
    world.run(20)
    successor = owner_of(world, "service-1")
    assert successor is not owner
    converged(world)
    world.change("service-1")
    world.run(60)
    assert all(held == {2} for held in epochs(world, "service-1").values())
    assert "service-1" not in owner.owner.owned_services
    converged(world)


def test_two_owners_seen_by_different_servers_converge_to_one():
    world = settled(DistributionSize(servers=30, controllers=3, regions=3))
    owner = next(node for node in world.owners if node.region == 2 and node.owner.owned_services)
    service = next(iter(owner.owner.owned_services))
    world.network.cut_off(2)
    world.run(15)
    world.change(service)
    world.run(5)
    seen = epochs(world, service)
    assert seen[2] == {1} and seen[0] == {2}  # each side has its own
    world.network.heal(2)
    world.run(60)
    assert all(held == {2} for held in epochs(world, service).values())
    converged(world)


def test_after_an_hour_of_partition_no_older_table_wins():
    limits = DistributorLimits(64, 20_000.0, 10_000.0)
    world = settled(DistributionSize(servers=18, services=4, endpoints=40, services_called=2, limits=limits))
    world.network.cut_off(1)
    for _ in range(60):
        world.run(60)
        for service in world.services:
            world.change(service)
    held = {
        topic: version
        for server in world.servers
        if server.region == 1
        for topic, version in server.client.held_versions.versions().items()
    }
    assert held and all(version != NEVER for version in held.values())  # they go on with what they have
    before = sum(relay.distributor.snapshot_bytes for level in world.levels for relay in level)
    world.network.heal(1)
    dials = len(world.network.dials)
    world.run(90)
    spent = sum(relay.distributor.snapshot_bytes for level in world.levels for relay in level) - before
    assert spent <= 120_000  # bounded: each part that fell behind is sent its own topics about once a hop
    assert len(world.network.dials) - dials < 60
    converged(world)


def test_a_subscriber_away_for_an_hour_costs_its_own_topics_once():
    world = settled()
    server = world.servers[4]
    server.stop_for(
        HOUR / 60, forget=False
    )  # a sixtieth of the hour, and a change each second, are as many versions
    for _ in range(60):
        world.run(1)
        for service in world.services:
            world.change(service)
    world.run(1)
    before = server.bytes_in
    world.run(30)
    assert server.client.outcome_counts[UpdateOutcome.GAP] == 0
    assert server.bytes_in - before < 6_000
    converged(world)


def test_a_slow_relay_delays_only_its_own_children():
    world = settled(DistributionSize(servers=40, services=3, endpoints=30, services_called=3, fan_out=16))
    slow = world.levels[-1][0]
    for connection in slow.connections.values():
        connection.bytes_per_second = 400.0
    for _ in range(20):
        world.change("service-0")
        world.run(0.2)
    world.mark_change("service-0")
    world.run(1)
    behind = {server.name for server in world.subscribers("service-0")} - set(
        world.change_seen_at["service-0"]
    )
    assert behind <= {server.name for server in world.servers if server.client.parent == slow.name}
    world.run(30)
    converged(world)


def test_a_burst_of_three_hundred_changes_in_a_second_is_coalesced():
    world = settled()
    subscriber = world.subscribers("service-0")[0]
    world.run(0.5)
    before = subscriber.messages_in
    for n in range(300):
        world.change("service-0", f"k{n % 11}")
        world.run(1 / 300)
    world.run(1)
    assert subscriber.messages_in - before <= 15
    converged(world)


def test_when_all_controllers_are_gone_servers_keep_their_tables_and_are_notified():
    world = settled()
    held = {server.name: dict(server.client.held_versions.versions()) for server in world.servers}
    for owner in world.owners:
        owner.stop_for(120, silently=True)
    world.run(60)
    for server in world.servers:
        assert (
            server.client.held_versions.versions() == held[server.name]
            and server.client.state.value == "connected"
        )
        assert not any(server.live[topic] for topic in held[server.name])
    world.run(120)
    assert all(all(server.live.values()) for server in world.servers)
    converged(world)


def test_when_no_lease_can_be_granted_servers_are_notified_though_the_controllers_live():
    world = settled()
    topics = {server.name: list(server.client.held_versions.versions()) for server in world.servers}
    for owner in world.owners:
        for service in list(owner.owner.owned_services):
            owner.run(lambda owner=owner, service=service: owner.owner.release(owner.now, service))
    world.leases.grants.clear()
    world.leases.suspended = True
    world.run(10)
    assert not any(server.live.get(topic, True) for server in world.servers for topic in topics[server.name])
    world.leases.suspended = False
    world.run(10)
    assert all(server.live[topic] for server in world.servers for topic in topics[server.name])
    converged(world)


def test_a_level_of_relays_killed_in_the_middle_comes_back_without_a_stampede():
    world = settled(DistributionSize(servers=120, services=4, fan_out=16, services_called=2))
    middle = world.levels[-2]
    for relay in middle:
        relay.stop_for(5)
    dials = len(world.network.dials)
    world.change("service-0")
    world.run(40)
    assert len(world.network.dials) - dials < 12 * sum(len(level) for level in world.levels[1:])
    converged(world)


def test_a_topic_without_subscribers_is_dropped_up_to_its_owner():
    world = settled(DistributionSize(servers=6, services=2, services_called=1, regions=1))
    topic = next(iter(world.servers[0].client.held_versions.versions()))
    for server in world.servers:
        if topic in server.client.held_versions:
            server.unsubscribe(topic)
            world.seen_versions.pop((server.name, topic))
    world.run(60)
    assert not any(topic in relay.relay.topics for level in world.levels for relay in level)
    owner = owner_of(world, service_of_topic(topic))
    served = owner.messages_out
    world.run(0.01)
    for _ in range(50):
        world.change(service_of_topic(topic))
    world.run(0.5)
    relays = len(owner.served)
    assert owner.messages_out - served <= 2 * relays + 2  # heartbeats, and its two replicas


def broken_schedules(name: str = "") -> dict[int, Violation]:
    """The first violation of each schedule that has one."""
    with ProcessPoolExecutor(min(8, os.cpu_count() or 1)) as pool:
        played = pool.map(play, [Schedule(seed, name) for seed in range(SCHEDULES)], chunksize=4)
        return {seed: violations[0] for seed, violations in enumerate(played) if violations}


def test_seeded_schedules_keep_the_invariants():
    assert broken_schedules() == {}


@pytest.mark.parametrize("name", BREAKS)
def test_the_checks_find_each_deliberate_break(name):
    assert broken_schedules(name)


def test_versions_are_ordered_by_epoch_and_then_by_sequence():
    assert NEVER < Version(1, 9) < Version(2, 1) < Version(2, 2)
