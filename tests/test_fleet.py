"""Checks over several instances side by side, each of them shown to fail on a deliberate break."""

import pytest

import ravenshelf.process.control_cycle as rounds
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.events import EndpointsListed, WatchFailed
from ravenshelf.settings import SECOND
from standins.fleet import Discovery, World


class InStep(Controller):
    """Asks again after a fixed time, as every other pilot does."""

    def on_watch_failed(self, event):
        self.watch.retry_at = self.now + SECOND


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


class NoPatience(Controller):
    """Binds whoever joins only at the next beat."""

    def __init__(self, *values):
        super().__init__(*values)
        bind = self.tables.bind
        self.tables.bind = lambda *order: self.now % (5 * SECOND) < SECOND // 4 and bind(*order)


class Swings(Controller):
    """Sends a zone's flows to and fro, all pilots at one time."""

    def plan(self, writer, urgency, only=()):
        super().plan(writer, urgency, only)
        away = self.now // (5 * SECOND) % 2
        self.spill.shares = [
            [float(j == (i + away) % self.zone_count) for j in range(self.zone_count)]
            for i in range(self.zone_count)
        ]
        needs = self.partitions.needs(self.now, self.proxies)
        for z in range(self.zone_count):
            for n, lines in enumerate(self.planned_tables(z, self.strengths(), needs[z])):
                self.tables.renew(self.now, (z, n), lines, {}, writer, 1, ())


def calls_are_spread():
    """All watches end in one instant and discovery is away for 8 s: 20 pilots that all call together make their own queue."""
    world = World(pilots=20, zones=1, servers=3, proxies=5)
    world.run(6)
    for pilot in world.pilots:
        pilot.watching = True
    world.discovery.calls.clear()
    world.discovery.fall()
    world.run(8)
    world.discovery.down = False
    world.run(12)
    assert world.discovery.most() <= 12 and len(world.discovery.calls) <= 110, (
        world.discovery.most(),
        len(world.discovery.calls),
    )
    assert all(pilot.watching for pilot in world.pilots)


def cold_ones_stand():
    """Four in ten servers are replaced while a pilot is lost: the sum over all pilots is what a cold one meets."""
    world = World(load=0.6).run(12)
    world.lose(world.pilots[2])
    world.replace(*[name for n, name in enumerate(world.servers) if n % 5 < 2])
    world.run(12)
    assert world.pressed and not world.pushed_over(2.0, SECOND)


def zone_back_cold():
    world = World(load=0.7).run(12)
    lost = [name for name in world.servers if name.startswith("s-1")]
    world.change(*lost, state="gone", notice=(0, SECOND))
    world.run(5)
    world.change(*lost, state="ready", start=True, notice=(0, SECOND // 4))
    world.run(12)
    assert world.pressed and not world.pushed_over(2.0, SECOND) and not world.bare()


def drains_are_kept():
    """Each pilot hears of it at a time of its own; nobody may send there a second after the last has heard."""
    world = World().run(8)
    names = list(world.servers)[::3]
    world.change(*names, state="draining", notice=(0, SECOND))
    world.run(2)
    assert not any(world.holding(name) for name in names) and not world.bare()


def nobody_is_bare():
    world = World().run(7)
    for proxy in [
        p for p in world.proxies if p.pilot is not world.pilots[4]
    ]:  # as after a restart of their machines
        proxy.table = {}
    for pilot in world.pilots[:4]:
        world.lose(pilot)
    world.run(1)
    assert not world.bare()


def spill_is_steady():
    world = World(load=0.5).run(10)
    for proxy in world.proxies:
        proxy.flows *= 2.2 if proxy.zone == 0 else 0.7
    world.run(30)
    assert sum(world.swings(0, j, 40.0) for j in (1, 2)) <= 4
    assert sum(between.get((0, 1), 0) + between.get((0, 2), 0) for _, between in world.spilled[-8:]) > 0


CHECKS = [
    (calls_are_spread, InStep),
    (cold_ones_stand, NoRamp),
    (zone_back_cold, NoRamp),
    (drains_are_kept, NoWithdrawals),
    (nobody_is_bare, NoPatience),
    (spill_is_steady, Swings),
]


@pytest.mark.parametrize("check", [c for c, _ in CHECKS])
def test_the_fleet(check):
    check()


@pytest.mark.parametrize("check, broken", CHECKS)
def test_each_check_sees_a_deliberate_break(check, broken, monkeypatch):
    monkeypatch.setattr(rounds, "Controller", broken)
    with pytest.raises(AssertionError):
        check()


def test_the_worlds_discovery_takes_calls_in_turn_and_gives_up_on_those_that_waited():
    world = World(pilots=1, zones=1)
    world.discovery = Discovery(world, 1.0, patience=SECOND)
    heard = []
    pilots = [
        type(
            "P",
            (),
            {
                "called": False,
                "watching": False,
                "number": n,
                "take": lambda self, kind: EndpointsListed(kind, ()),
                "hear": lambda self, event: heard.append((world.now, self.number, type(event))),
            },
        )()
        for n in range(3)
    ]
    began = world.now
    for pilot in pilots:
        world.discovery.call(pilot)
    for _ in range(60):
        world.now += SECOND // 20
        world.discovery.turn(world.now)
    assert [(n, kind) for _, n, kind in heard] == [(0, EndpointsListed), (1, WatchFailed), (2, WatchFailed)]
    assert heard[1][0] - began > SECOND and pilots[0].watching and not pilots[2].watching
