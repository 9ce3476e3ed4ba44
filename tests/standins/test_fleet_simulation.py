"""Rules for a fleet of several servers, each of which is shown to detect a deliberate fault."""

import pytest

import ravenshelf.process.control_cycle as control_cycle
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.events import EndpointsListed, WatchFailed
from ravenshelf.time_units import SECOND
from standins.fleet import RateSimulation, SimulatedRegistry


class ControllerWithPollsInStep(Controller):
    """Polls again after a fixed time, at the same moment as every other server."""

    def on_watch_failed(self, event):
        self.endpoint_watch.retry_at = self.now + SECOND


class ControllerWithoutSlowStart(Controller):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.slow_start.capacity_share = lambda endpoint, now: 1.0


class ControllerWithoutEjections(Controller):
    """Removes draining endpoints from tables only when a table has to be sent for another reason."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.ejections.update = lambda pending, writer: None

    def on_endpoints_listed(self, event):
        super().on_endpoints_listed(event)
        self.list_urgency = 0


class ControllerWithLateBinding(Controller):
    """Binds proxies to tables only during a quarter of a second every five seconds."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        bind = self.tables.bind
        self.tables.bind = lambda *binding: self.now % (5 * SECOND) < SECOND // 4 and bind(*binding)


class ControllerWithOscillatingSpill(Controller):
    """Sends all requests of a zone to the next zone and back every five seconds, on all servers at once."""

    def plan(self, writer, urgency, selected_tables=()):
        super().plan(writer, urgency, selected_tables)
        offset = self.now // (5 * SECOND) % 2
        self.spill_planner.shares = [
            [float(j == (i + offset) % self.zone_count) for j in range(self.zone_count)]
            for i in range(self.zone_count)
        ]
        partition_demand = self.partitions.partition_demand(self.now, self.proxies)
        for zone in range(self.zone_count):
            for partition, lines in enumerate(
                self.planned_tables(zone, self.effective_weights_by_zone(), partition_demand[zone])
            ):
                self.tables.renew(self.now, (zone, partition), lines, {}, writer, 1, ())


def polls_are_spread_over_time():
    """All watches of 20 servers end at once, and the registry is down for 8 s.

    Polls at the same moment would wait in the registry's queue until they fail.
    """
    simulation = RateSimulation(servers=20, zones=1, endpoints_per_zone=3, proxies_per_zone=5)
    simulation.run(6)
    for server in simulation.servers:
        server.is_watching = True
    simulation.registry.polls.clear()
    simulation.registry.start_outage()
    simulation.run(8)
    simulation.registry.is_down = False
    simulation.run(12)
    assert simulation.registry.max_polls() <= 12 and len(simulation.registry.polls) <= 110, (
        simulation.registry.max_polls(),
        len(simulation.registry.polls),
    )
    assert all(server.is_watching for server in simulation.servers)


def replaced_endpoints_are_not_overloaded():
    """Four in ten endpoints are replaced while a server is lost.

    An endpoint receives the sum of what all servers' proxies send to it.
    """
    simulation = RateSimulation(load=0.6).run(12)
    simulation.kill_server(simulation.servers[2])
    simulation.replace_endpoints(*[name for n, name in enumerate(simulation.endpoints) if n % 5 < 2])
    simulation.run(12)
    assert simulation.cold_load_ratios and not simulation.overloaded_endpoints(2.0, SECOND)


def endpoints_of_a_restarted_zone_are_not_overloaded():
    simulation = RateSimulation(load=0.7).run(12)
    names = [name for name in simulation.endpoints if name.startswith("s-1")]
    simulation.change_endpoints(*names, state="gone", notice_delay=(0, SECOND))
    simulation.run(5)
    simulation.change_endpoints(*names, state="ready", has_restarted=True, notice_delay=(0, SECOND // 4))
    simulation.run(12)
    assert (
        simulation.cold_load_ratios
        and not simulation.overloaded_endpoints(2.0, SECOND)
        and not simulation.proxies_without_table()
    )


def draining_endpoints_get_no_requests():
    """Each server is notified of the drain at a different time within a second.

    A second after the last notice no proxy may send requests to the endpoints.
    """
    simulation = RateSimulation().run(8)
    names = list(simulation.endpoints)[::3]
    simulation.change_endpoints(*names, state="draining", notice_delay=(0, SECOND))
    simulation.run(2)
    assert (
        not any(simulation.proxies_using(name) for name in names) and not simulation.proxies_without_table()
    )


def no_proxy_is_without_a_table():
    """Four of five servers are lost with the machines of their proxies, which have no table afterwards."""
    simulation = RateSimulation().run(7)
    for proxy in [
        candidate for candidate in simulation.proxies if candidate.server is not simulation.servers[4]
    ]:
        proxy.table = {}
    for server in simulation.servers[:4]:
        simulation.kill_server(server)
    simulation.run(1)
    assert not simulation.proxies_without_table()


def spill_is_steady():
    simulation = RateSimulation(load=0.5).run(10)
    for proxy in simulation.proxies:
        proxy.request_rate *= 2.2 if proxy.zone == 0 else 0.7
    simulation.run(30)
    assert sum(simulation.count_reversals(0, to_zone, 40.0) for to_zone in (1, 2)) <= 4
    assert sum(rates.get((0, 1), 0) + rates.get((0, 2), 0) for _, rates in simulation.zone_rates[-8:]) > 0


CHECKS = [
    (polls_are_spread_over_time, ControllerWithPollsInStep),
    (replaced_endpoints_are_not_overloaded, ControllerWithoutSlowStart),
    (endpoints_of_a_restarted_zone_are_not_overloaded, ControllerWithoutSlowStart),
    (draining_endpoints_get_no_requests, ControllerWithoutEjections),
    (no_proxy_is_without_a_table, ControllerWithLateBinding),
    (spill_is_steady, ControllerWithOscillatingSpill),
]
NAMES = [check.__name__ for check, _ in CHECKS]


@pytest.mark.parametrize("check", [check for check, _ in CHECKS], ids=NAMES)
def test_the_fleet_keeps_the_rule(check):
    check()


@pytest.mark.parametrize("check, faulty_controller", CHECKS, ids=NAMES)
def test_the_check_of_the_rule_detects_a_deliberate_fault(check, faulty_controller, monkeypatch):
    monkeypatch.setattr(control_cycle, "Controller", faulty_controller)
    with pytest.raises(AssertionError):
        check()


class RecordingWatcher:
    """A server that only records the events that the registry sends it."""

    def __init__(self, simulation: RateSimulation, number: int, events: list):
        self.simulation = simulation
        self.number = number
        self.events = events
        self.has_pending_poll = False
        self.is_watching = False

    def read_list(self, kind):
        return EndpointsListed(kind, ())

    def receive(self, event):
        self.events.append((self.simulation.now, self.number, type(event)))


def test_the_simulated_registry_answers_polls_in_turn_and_fails_those_that_waited_too_long():
    simulation = RateSimulation(servers=1, zones=1)
    simulation.registry = SimulatedRegistry(simulation, 1.0, max_wait=SECOND)
    events = []
    servers = [RecordingWatcher(simulation, number, events) for number in range(3)]
    polled_at = simulation.now
    for server in servers:
        simulation.registry.poll(server)
    for _ in range(60):
        simulation.now += SECOND // 20
        simulation.registry.run_due(simulation.now)
    assert [(server_number, event_type) for _, server_number, event_type in events] == [
        (0, EndpointsListed),
        (1, WatchFailed),
        (2, WatchFailed),
    ]
    assert events[1][0] - polled_at > SECOND and servers[0].is_watching and not servers[2].is_watching
