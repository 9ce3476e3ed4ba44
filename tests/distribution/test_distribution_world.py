"""Tests of whole distributions on a virtual network: single faults, and seeded schedules of faults."""

import os
from concurrent.futures import ProcessPoolExecutor

import pytest

from ravenshelf.distribution.decisions.claims import service_of_topic
from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.topics import UpdateOutcome
from ravenshelf.distribution.messages import NEVER, Version
from standins.distribution.network import NetworkRules
from standins.distribution.nodes import OwnerNode
from standins.distribution.schedules import BREAKS, Schedule, run_schedule
from standins.distribution.world import DistributionSize, SimulatedDistribution, Violation

SCHEDULE_COUNT = 100
HOUR = 3600.0


def settled_world(
    size: DistributionSize = DistributionSize(), seed: int = 1, **rules
) -> SimulatedDistribution:
    return SimulatedDistribution(size, seed, NetworkRules(**rules)).run(10)


def owner_node(world: SimulatedDistribution, service: str) -> OwnerNode:
    return world.leases.owner_of(service)


def held_epochs(world: SimulatedDistribution, service: str) -> dict[int, set[int]]:
    """Return the epochs in which the servers of each region hold the topics of a service."""
    epochs_by_region: dict[int, set[int]] = {}
    for server in world.servers:
        for topic, version in server.client.held_versions.versions().items():
            if service_of_topic(topic) == service:
                epochs_by_region.setdefault(server.region, set()).add(version.epoch)
    return epochs_by_region


def assert_converged(world: SimulatedDistribution) -> None:
    world.check_converged()
    assert not world.violations


def test_a_change_reaches_exactly_the_servers_that_call_the_service():
    world = settled_world(DistributionSize(servers=40, fan_out=16))
    bytes_before = {server.name: server.bytes_in for server in world.servers}
    world.mark_change("service-2")
    # Within a second most servers receive at most one heartbeat and the change.
    world.run(0.99)
    subscribers = {server.name for server in world.subscribers("service-2")}
    assert set(world.change_applied_at["service-2"]) == subscribers and len(subscribers) < 40
    other_bytes = [
        server.bytes_in - bytes_before[server.name]
        for server in world.servers
        if server.name not in subscribers
    ]
    assert max(other_bytes) <= 24
    assert_converged(world.run(1))


def test_for_one_change_the_owner_sends_one_message_to_each_relay_next_to_it():
    world = settled_world(
        DistributionSize(servers=400, services=2, services_per_server=2, regions=1, fan_out=32)
    )
    owner = owner_node(world, "service-0")
    world.run(1)
    messages_before = owner.messages_out
    world.change("service-0")
    world.run(0.5)
    heartbeats = len(owner.subscriber_connections) + 1
    # Two replicas receive the change, too.
    assert owner.messages_out - messages_before <= len(world.relay_levels[0]) + heartbeats + 2
    assert_converged(world)


def test_an_owner_suspended_for_a_minute_resumes_after_its_successor_has_published():
    world = settled_world()
    owner = owner_node(world, "service-1")
    owner.paused_until = world.events.now + 60_000_000
    world.run(0.1)
    # The suspended owner handles the change when it resumes, and must not publish it under its old epoch.
    world.change("service-1")
    world.run(20)
    successor = owner_node(world, "service-1")
    assert successor is not owner
    assert_converged(world)
    world.change("service-1")
    world.run(60)
    assert all(region_epochs == {2} for region_epochs in held_epochs(world, "service-1").values())
    assert "service-1" not in owner.owner.owned_services
    assert_converged(world)


def test_two_owners_seen_by_different_servers_converge_to_one_after_a_partition():
    world = settled_world(DistributionSize(servers=30, controllers=3, regions=3))
    owner = next(node for node in world.owners if node.region == 2 and node.owner.owned_services)
    service = next(iter(owner.owner.owned_services))
    world.network.isolate_region(2)
    world.run(15)
    world.change(service)
    world.run(5)
    epochs_by_region = held_epochs(world, service)
    # Each side of the partition has an owner of its own.
    assert epochs_by_region[2] == {1} and epochs_by_region[0] == {2}
    world.network.reconnect_region(2)
    world.run(60)
    assert all(region_epochs == {2} for region_epochs in held_epochs(world, service).values())
    assert_converged(world)


def test_after_an_hour_of_partition_the_latest_tables_are_used_and_snapshots_are_bounded():
    limits = DistributorLimits(64, 20_000.0, 10_000.0)
    world = settled_world(
        DistributionSize(servers=18, services=4, endpoints=40, services_per_server=2, limits=limits)
    )
    world.network.isolate_region(1)
    for _ in range(60):
        world.run(60)
        for service in world.services:
            world.change(service)
    versions_by_topic = {
        topic: version
        for server in world.servers
        if server.region == 1
        for topic, version in server.client.held_versions.versions().items()
    }
    # Servers in the partitioned region keep their tables.
    assert versions_by_topic and all(version != NEVER for version in versions_by_topic.values())
    bytes_before = sum(relay.distributor.snapshot_bytes for level in world.relay_levels for relay in level)
    world.network.reconnect_region(1)
    dials = len(world.network.dials)
    world.run(90)
    bytes_spent = (
        sum(relay.distributor.snapshot_bytes for level in world.relay_levels for relay in level)
        - bytes_before
    )
    # Each process that fell behind is sent the topics that it subscribes to about once for each hop.
    assert bytes_spent <= 120_000
    assert len(world.network.dials) - dials < 60
    assert_converged(world)


def test_a_subscriber_that_returns_after_many_versions_is_sent_its_topics_once():
    world = settled_world()
    server = world.servers[4]
    # One change each second for a minute makes as many versions as one change each minute for an hour.
    server.stop_for(HOUR / 60, loses_topics=False)
    for _ in range(60):
        world.run(1)
        for service in world.services:
            world.change(service)
    world.run(1)
    bytes_before = server.bytes_in
    world.run(30)
    assert server.client.outcome_counts[UpdateOutcome.GAP] == 0
    assert server.bytes_in - bytes_before < 6_000
    assert_converged(world)


def test_a_slow_relay_delays_only_its_own_children():
    world = settled_world(
        DistributionSize(servers=40, services=3, endpoints=30, services_per_server=3, fan_out=16)
    )
    slow_relay = world.relay_levels[-1][0]
    for connection in slow_relay.connections.values():
        connection.bytes_per_second = 400.0
    for _ in range(20):
        world.change("service-0")
        world.run(0.2)
    world.mark_change("service-0")
    world.run(1)
    late_servers = {server.name for server in world.subscribers("service-0")} - set(
        world.change_applied_at["service-0"]
    )
    assert late_servers <= {
        server.name for server in world.servers if server.client.parent == slow_relay.name
    }
    world.run(30)
    assert_converged(world)


def test_a_burst_of_three_hundred_changes_in_a_second_is_coalesced():
    world = settled_world()
    subscriber = world.subscribers("service-0")[0]
    world.run(0.5)
    messages_before = subscriber.messages_in
    for number in range(300):
        world.change("service-0", f"k{number % 11}")
        world.run(1 / 300)
    world.run(1)
    assert subscriber.messages_in - messages_before <= 15
    assert_converged(world)


def test_servers_keep_their_tables_and_are_notified_when_all_controllers_fail():
    world = settled_world()
    versions_by_server = {
        server.name: dict(server.client.held_versions.versions()) for server in world.servers
    }
    for owner in world.owners:
        owner.stop_for(120, silently=True)
    world.run(60)
    for server in world.servers:
        assert (
            server.client.held_versions.versions() == versions_by_server[server.name]
            and server.client.state.value == "connected"
        )
        assert not any(server.topic_liveness[topic] for topic in versions_by_server[server.name])
    world.run(120)
    assert all(all(server.topic_liveness.values()) for server in world.servers)
    assert_converged(world)


def test_servers_are_notified_when_no_lease_can_be_granted_to_running_controllers():
    world = settled_world()
    topics = {server.name: list(server.client.held_versions.versions()) for server in world.servers}
    for owner in world.owners:
        for service in list(owner.owner.owned_services):
            owner.run(lambda owner=owner, service=service: owner.owner.release(owner.now, service))
    world.leases.grants.clear()
    world.leases.grants_suspended = True
    world.run(10)
    assert not any(
        server.topic_liveness.get(topic, True) for server in world.servers for topic in topics[server.name]
    )
    world.leases.grants_suspended = False
    world.run(10)
    assert all(server.topic_liveness[topic] for server in world.servers for topic in topics[server.name])
    assert_converged(world)


def test_the_restart_of_a_level_of_relays_does_not_cause_a_stampede_of_dials():
    world = settled_world(DistributionSize(servers=120, services=4, fan_out=16, services_per_server=2))
    middle_level = world.relay_levels[-2]
    for relay in middle_level:
        relay.stop_for(5)
    dials = len(world.network.dials)
    world.change("service-0")
    world.run(40)
    assert len(world.network.dials) - dials < 12 * sum(len(level) for level in world.relay_levels[1:])
    assert_converged(world)


def test_a_topic_without_subscribers_is_dropped_by_all_relays():
    world = settled_world(DistributionSize(servers=6, services=2, services_per_server=1, regions=1))
    topic = next(iter(world.servers[0].client.held_versions.versions()))
    for server in world.servers:
        if topic in server.client.held_versions:
            server.unsubscribe(topic)
            world.applied_versions.pop((server.name, topic))
    world.run(60)
    assert not any(topic in relay.relay.topics for level in world.relay_levels for relay in level)
    owner = owner_node(world, service_of_topic(topic))
    messages_before = owner.messages_out
    world.run(0.01)
    for _ in range(50):
        world.change(service_of_topic(topic))
    world.run(0.5)
    relay_count = len(owner.subscriber_connections)
    # The remaining messages are heartbeats of the relays and messages to two replicas.
    assert owner.messages_out - messages_before <= 2 * relay_count + 2


def broken_schedules(name: str = "") -> dict[int, Violation]:
    """Return the first violation of each schedule that has one, by seed."""
    with ProcessPoolExecutor(min(8, os.cpu_count() or 1)) as pool:
        results = pool.map(
            run_schedule, [Schedule(seed, name) for seed in range(SCHEDULE_COUNT)], chunksize=4
        )
        return {seed: violations[0] for seed, violations in enumerate(results) if violations}


def test_invariants_hold_in_seeded_schedules_of_faults():
    assert broken_schedules() == {}


@pytest.mark.parametrize("name", BREAKS)
def test_each_deliberate_break_violates_an_invariant(name):
    assert broken_schedules(name)


def test_versions_are_ordered_by_epoch_and_then_by_sequence():
    assert NEVER < Version(1, 9) < Version(2, 1) < Version(2, 2)
