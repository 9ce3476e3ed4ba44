"""Checks over several instances side by side, each of them shown to fail on a deliberate break."""

import pytest

import ravenshelf.process.control_cycle as cycle
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.events import EndpointsListed, WatchFailed
from ravenshelf.settings import SECOND
from standins.fleet import RateSimulation, SimulatedRegistry


class PollsInStep(Controller):
    """Asks again after a fixed time, as every other pilot does."""

    def on_watch_failed(self, event):
        self.endpoint_watch.retry_at = self.now + SECOND


class NoRamp(Controller):
    def __init__(self, *values):
        super().__init__(*values)
        self.slow_start.capacity_share = lambda endpoint, now: 1.0


class NoWithdrawals(Controller):
    """What drains only leaves the tables, when a table is worth sending."""

    def __init__(self, *values):
        super().__init__(*values)
        self.ejections.update = lambda pending, writer: None

    def on_endpoints_listed(self, event):
        super().on_endpoints_listed(event)
        self.list_urgency = 0


class BindsLate(Controller):
    """Binds whoever joins only at the next beat."""

    def __init__(self, *values):
        super().__init__(*values)
        bind = self.tables.bind
        self.tables.bind = lambda *order: self.now % (5 * SECOND) < SECOND // 4 and bind(*order)


class SpillsBackAndForth(Controller):
    """Sends a zone's flows to and fro, all pilots at one time."""

    def plan(self, writer, urgency, selected_tables=()):
        super().plan(writer, urgency, selected_tables)
        away = self.now // (5 * SECOND) % 2
        self.spill_planner.shares = [
            [float(j == (i + away) % self.zone_count) for j in range(self.zone_count)]
            for i in range(self.zone_count)
        ]
        partition_demand = self.partitions.partition_demand(self.now, self.proxies)
        for z in range(self.zone_count):
            for n, lines in enumerate(
                self.planned_tables(z, self.effective_weights_by_zone(), partition_demand[z])
            ):
                self.tables.renew(self.now, (z, n), lines, {}, writer, 1, ())


def polls_are_spread():
    """All watches end at once and the registry is down for 8 s: polls of 20 servers in step would queue."""
    world = RateSimulation(servers=20, zones=1, endpoints=3, proxies=5)
    world.run(6)
    for server in world.servers:
        server.watching = True
    world.registry.polls.clear()
    world.registry.go_down()
    world.run(8)
    world.registry.down = False
    world.run(12)
    assert world.registry.max_polls() <= 12 and len(world.registry.polls) <= 110, (
        world.registry.max_polls(),
        len(world.registry.polls),
    )
    assert all(server.watching for server in world.servers)


def replaced_endpoints_are_not_overloaded():
    """Four in ten endpoints are replaced while a server is lost: an endpoint receives the sum over all
    servers."""
    world = RateSimulation(load=0.6).run(12)
    world.kill_server(world.servers[2])
    world.replace(*[name for n, name in enumerate(world.endpoints) if n % 5 < 2])
    world.run(12)
    assert world.cold_load_ratios and not world.overloaded(2.0, SECOND)


def a_zone_that_restarts_is_not_overloaded():
    world = RateSimulation(load=0.7).run(12)
    lost = [name for name in world.endpoints if name.startswith("s-1")]
    world.change(*lost, state="gone", notice=(0, SECOND))
    world.run(5)
    world.change(*lost, state="ready", start=True, notice=(0, SECOND // 4))
    world.run(12)
    assert world.cold_load_ratios and not world.overloaded(2.0, SECOND) and not world.proxies_without_table()


def draining_endpoints_get_no_requests():
    """Each server is notified at a time of its own; no proxy may send there a second after the last one."""
    world = RateSimulation().run(8)
    names = list(world.endpoints)[::3]
    world.change(*names, state="draining", notice=(0, SECOND))
    world.run(2)
    assert not any(world.proxies_using(name) for name in names) and not world.proxies_without_table()


def no_proxy_is_without_a_table():
    world = RateSimulation().run(7)
    for proxy in [
        p for p in world.proxies if p.server is not world.servers[4]
    ]:  # as after a restart of their machines
        proxy.table = {}
    for server in world.servers[:4]:
        world.kill_server(server)
    world.run(1)
    assert not world.proxies_without_table()


def spill_is_steady():
    world = RateSimulation(load=0.5).run(10)
    for proxy in world.proxies:
        proxy.request_rate *= 2.2 if proxy.zone == 0 else 0.7
    world.run(30)
    assert sum(world.reversals(0, j, 40.0) for j in (1, 2)) <= 4
    assert sum(between.get((0, 1), 0) + between.get((0, 2), 0) for _, between in world.zone_rates[-8:]) > 0


CHECKS = [
    (polls_are_spread, PollsInStep),
    (replaced_endpoints_are_not_overloaded, NoRamp),
    (a_zone_that_restarts_is_not_overloaded, NoRamp),
    (draining_endpoints_get_no_requests, NoWithdrawals),
    (no_proxy_is_without_a_table, BindsLate),
    (spill_is_steady, SpillsBackAndForth),
]
NAMES = [check.__name__ for check, _ in CHECKS]


@pytest.mark.parametrize("check", [check for check, _ in CHECKS], ids=NAMES)
def test_the_fleet_keeps_the_rule(check):
    check()


@pytest.mark.parametrize("check, broken", CHECKS, ids=NAMES)
def test_each_check_sees_a_deliberate_break(check, broken, monkeypatch):
    monkeypatch.setattr(cycle, "Controller", broken)
    with pytest.raises(AssertionError):
        check()


class RecordingWatcher:
    """A server that only records the events that the registry sends it."""

    def __init__(self, world: RateSimulation, number: int, events: list):
        self.world = world
        self.number = number
        self.events = events
        self.poll_pending = False
        self.watching = False

    def take(self, kind):
        return EndpointsListed(kind, ())

    def receive(self, event):
        self.events.append((self.world.now, self.number, type(event)))


def test_the_simulated_registry_answers_polls_in_turn_and_fails_those_that_waited():
    world = RateSimulation(servers=1, zones=1)
    world.registry = SimulatedRegistry(world, 1.0, patience=SECOND)
    events = []
    servers = [RecordingWatcher(world, number, events) for number in range(3)]
    began = world.now
    for server in servers:
        world.registry.poll(server)
    for _ in range(60):
        world.now += SECOND // 20
        world.registry.run_due(world.now)
    assert [(n, kind) for _, n, kind in events] == [(0, EndpointsListed), (1, WatchFailed), (2, WatchFailed)]
    assert events[1][0] - began > SECOND and servers[0].watching and not servers[2].watching
