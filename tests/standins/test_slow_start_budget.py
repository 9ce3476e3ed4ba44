"""The budget of endpoints in slow start over whole fleets: they return while seven in ten servers or proxies
are killed.

Sizes and ranges are those of `Parameters`; each release names what differs. What is checked is what the rule
says: no window over the budget of which two thirds came from proxies or pilots that knew of the start.
"""

from collections import Counter
from dataclasses import dataclass, replace

import pytest

import ravenshelf.process.control_cycle as cycle
from ravenshelf.policy.controller import Controller
from ravenshelf.settings import SECOND
from standins.fleet import Parameters, RequestSimulation
from standins.fleet.scenarios import Killed, OutlierKind, Release, play

PAIR = Parameters(servers=2, proxies=50)
FIVE = Parameters(servers=5, proxies=33)
TWENTY = Parameters(servers=20, proxies=10)
MANY = Parameters(servers=230, proxies=1, polls_per_second=100.0)
DENSE = Parameters(servers=5, proxies=60, endpoints=20)


@dataclass(frozen=True)
class Case:
    name: str
    parameters: Parameters
    release: Release
    seed: int

    def play(self) -> RequestSimulation:
        return play(self.parameters, self.release, self.seed)


WITHIN_BUDGET = [
    Case("pair, pilots, slow", PAIR.with_changes(load=0.8), Release(), 1),
    Case(
        "pair, pilots, failing, full",
        PAIR.with_changes(load=1.0, endpoints=4),
        Release(outlier=OutlierKind.FAILING),
        2,
    ),
    Case(
        "pair, proxies, slow, over",
        PAIR.with_changes(load=1.2),
        Release(killed=Killed.PROXIES, killed_after=4 * SECOND),
        3,
    ),
    Case("five, pilots, slow, low", FIVE.with_changes(load=0.6), Release(killed_after=2 * SECOND), 1),
    Case(
        "five, pilots, failing, over",
        FIVE.with_changes(load=1.2),
        Release(outlier=OutlierKind.FAILING, killed_after=6 * SECOND),
        2,
    ),
    Case(
        "five, proxies, failing",
        FIVE.with_changes(load=0.9),
        Release(killed=Killed.PROXIES, outlier=OutlierKind.FAILING),
        3,
    ),
    Case(
        "five, pilots, tables of three", FIVE.with_changes(load=0.9, endpoints=3), Release(returning=0.1), 4
    ),
    Case(
        "five, one try after proof",
        FIVE.with_changes(load=1.0, base_mode=1),
        Release(killed_after=-SECOND),
        5,
    ),
    Case("twenty, pilots, slow", TWENTY.with_changes(load=0.8), Release(killed_after=3 * SECOND), 1),
    Case(
        "twenty, proxies, failing",
        TWENTY.with_changes(load=1.1),
        Release(killed=Killed.PROXIES, outlier=OutlierKind.FAILING),
        2,
    ),
    Case("230, pilots, slow", MANY.with_changes(load=0.8), Release(watched=14 * SECOND), 1),
]

# Over capacity most servers restart without what they had learnt: nothing is rejected, and a weak cold
# endpoint in a table of four receives it all.
OVER_CAPACITY = [
    Case(
        "dense, killed soon",
        DENSE.with_changes(load=1.03, capacity_cv=0.27, load_cv=0.9, client_comes_again=0.98),
        Release(outlier=OutlierKind.FAILING, away=6 * SECOND, killed_after=1_716_894),
        3,
    ),
    Case(
        "dense, killed later",
        DENSE.with_changes(load=1.11, capacity_cv=0.3, load_cv=1.0, client_comes_again=0.9),
        Release(outlier=OutlierKind.FAILING, away=6 * SECOND, killed_after=6 * SECOND),
        7,
    ),
]

# Proxies that each carry much of the load avoid warm endpoints that reject them; the rest goes to the cold
# one.
FEW = Parameters(servers=2, proxies=1, endpoints=10, load=1.2, load_cv=0.8, client_comes_again=1.0)
FEW_RELEASE = Release(returning=0.1, away=6 * SECOND, killed_after=4 * SECOND)
AVOIDING = [
    Case("one proxy a pilot", FEW, FEW_RELEASE, 3),
    Case("two proxies a pilot", FEW.with_changes(proxies=2), FEW_RELEASE, 21),
]
WITHOUT_AVOIDANCE = [
    Case(f"{case.name}, none shuns", case.parameters.with_changes(outlier_after=0), case.release, case.seed)
    for case in AVOIDING
]


def named(cases: list[Case]):
    return pytest.mark.parametrize("case", cases, ids=[case.name for case in cases])


def check(world: RequestSimulation) -> None:
    assert world.ledger.sent, "no cold endpoint was sent anything: the case shows nothing"
    check_rules(world)


def check_rules(world: RequestSimulation) -> None:
    assert not any(server.cycle.failures for server in world.servers) and not world.proxies_without_table()
    assert not world.ledger.violations()


@named(WITHIN_BUDGET + WITHOUT_AVOIDANCE)
def test_a_release_keeps_the_budget(case):
    check(case.play())


@named(OVER_CAPACITY)
def test_a_release_over_capacity_keeps_the_budget(case):
    check(case.play())


class NoSlowStart(Controller):
    """Cold endpoints get as much as warm ones, and nothing is ever refused."""

    def __init__(self, *values):
        super().__init__(*values)
        self.slow_start.capacity_share = lambda endpoint, now: 1.0
        self.admission.admitted_share = lambda *_: 1.0


@named(AVOIDING)
def test_proxies_that_avoid_warm_endpoints_keep_the_budget(case):
    check_rules(case.play())


@named(AVOIDING)
def test_the_cases_of_avoiding_proxies_break_without_slow_start(case, monkeypatch):
    """An endpoint may get nothing until it is warm, so that no attempt need be seen: without slow start it
    is."""
    monkeypatch.setattr(cycle, "Controller", NoSlowStart)
    assert case.play().ledger.violations()


@named(AVOIDING)
def test_an_endpoint_that_gets_nothing_in_slow_start_is_used_once_it_is_warm(case):
    release = replace(case.release, watched=40 * SECOND)
    warm_at = release.settled_after + release.away + max(case.parameters.warm_up_time)
    tries_when_warm: Counter = Counter()
    world = play(
        case.parameters,
        release,
        case.seed,
        lambda world: world.call_later(warm_at, lambda: tries_when_warm.update(world.attempts)),
    )
    check_rules(world)
    restarted = [endpoint.name for endpoint in world.endpoints.values() if endpoint.started]
    assert restarted
    assert all(world.attempts[name, False] > tries_when_warm[name, False] for name in restarted)


@named(
    [
        Case("pair", PAIR.with_changes(load=1.0), Release(killed=Killed.NONE), 1),
        Case("five", FIVE.with_changes(load=1.0), Release(killed=Killed.NONE), 1),
        Case("twenty", TWENTY.with_changes(load=1.0), Release(killed=Killed.NONE, watched=12 * SECOND), 1),
    ]
)
def test_the_budget_sees_a_deliberate_break(case, monkeypatch):
    check(case.play())
    monkeypatch.setattr(cycle, "Controller", NoSlowStart)
    with pytest.raises(AssertionError, match="Excess"):
        check(case.play())


CAPACITY_MARGIN = 0.15  # servers learn of a start late and expect a longer slow start


class ShareWatch:
    """Watches weights in slow start, relative to the heaviest line of the table, in tables of restarted
    servers."""

    def __init__(self, world: RequestSimulation):
        self.world, self.seen, self.beyond = world, 0, []
        world.call_later(SECOND, self.look)

    def look(self) -> None:
        self.world.call_later(SECOND, self.look)
        now = self.world.now
        for proxy in self.world.proxies:
            if proxy.table_source is None or not proxy.table_source.starts:
                continue
            warm = [
                weight
                for name, weight in proxy.table.items()
                if not self.world.endpoints[name].is_warming_up(now)
            ]
            for name in (
                [name for name in proxy.table if self.world.endpoints[name].is_warming_up(now)]
                if warm
                else ()
            ):
                self.seen += 1
                part, capacity_share = (
                    proxy.table[name] / max(warm),
                    self.world.endpoints[name].capacity_share(now),
                )
                if part > capacity_share + CAPACITY_MARGIN:
                    self.beyond.append((proxy.number, name, round(part, 2), round(capacity_share, 2)))


@pytest.mark.parametrize("killed_after", [2, 5, 8, 12])
def test_restarted_servers_give_an_endpoint_in_slow_start_its_share_of_a_table(killed_after):
    """Only a fifth of the endpoints restart: the list that a restarted server begins with says which."""
    watches = []
    release = Release(
        outlier=OutlierKind.NONE, killed_after=killed_after * SECOND, watched=(killed_after + 6) * SECOND
    )
    play(FIVE.with_changes(load=0.6), release, 1, lambda world: watches.append(ShareWatch(world)))
    assert watches[0].seen and not watches[0].beyond
