"""The budget of endpoints in slow start, checked over whole fleets.

Endpoints restart while seven in ten servers or proxies are killed. Sizes and ranges are those of
`Parameters`; each case states what differs. No window may exceed the budget if two thirds of its work came
from proxies that were informed of the start, or whose servers were.
"""

from collections import Counter
from dataclasses import dataclass, replace

import pytest

import ravenshelf.process.control_cycle as control_cycle
from ravenshelf.policy.controller import Controller
from ravenshelf.time_units import SECOND
from standins.fleet import Parameters, RequestSimulation
from standins.fleet.scenarios import KillTarget, OutlierKind, Release, run_release

TWO_SERVERS = Parameters(servers=2, proxies_per_server=50)
FIVE_SERVERS = Parameters(servers=5, proxies_per_server=33)
TWENTY_SERVERS = Parameters(servers=20, proxies_per_server=10)
MANY_SERVERS = Parameters(servers=230, proxies_per_server=1, polls_per_second=100.0)
MANY_ENDPOINTS = Parameters(servers=5, proxies_per_server=60, endpoints_per_zone=20)


@dataclass(frozen=True)
class Case:
    name: str
    parameters: Parameters
    release: Release
    seed: int

    def run(self) -> RequestSimulation:
        return run_release(self.parameters, self.release, self.seed)


RELEASES = [
    Case("two servers, servers killed, slow outliers", TWO_SERVERS.with_changes(load=0.8), Release(), 1),
    Case(
        "two servers, servers killed, failing outliers, full load",
        TWO_SERVERS.with_changes(load=1.0, endpoints_per_zone=4),
        Release(outlier_kind=OutlierKind.FAILING),
        2,
    ),
    Case(
        "two servers, proxies killed, slow outliers, overload",
        TWO_SERVERS.with_changes(load=1.2),
        Release(kill_target=KillTarget.PROXIES, kill_delay=4 * SECOND),
        3,
    ),
    Case(
        "five servers, servers killed, slow outliers, low load",
        FIVE_SERVERS.with_changes(load=0.6),
        Release(kill_delay=2 * SECOND),
        1,
    ),
    Case(
        "five servers, servers killed, failing outliers, overload",
        FIVE_SERVERS.with_changes(load=1.2),
        Release(outlier_kind=OutlierKind.FAILING, kill_delay=6 * SECOND),
        2,
    ),
    Case(
        "five servers, proxies killed, failing outliers",
        FIVE_SERVERS.with_changes(load=0.9),
        Release(kill_target=KillTarget.PROXIES, outlier_kind=OutlierKind.FAILING),
        3,
    ),
    Case(
        "five servers, servers killed, three endpoints in a zone",
        FIVE_SERVERS.with_changes(load=0.9, endpoints_per_zone=3),
        Release(restarted_share=0.1),
        4,
    ),
    Case(
        "five servers, one retry if the work was not begun",
        FIVE_SERVERS.with_changes(load=1.0, default_retry_mode=1),
        Release(kill_delay=-SECOND),
        5,
    ),
    Case(
        "twenty servers, servers killed, slow outliers",
        TWENTY_SERVERS.with_changes(load=0.8),
        Release(kill_delay=3 * SECOND),
        1,
    ),
    Case(
        "twenty servers, proxies killed, failing outliers",
        TWENTY_SERVERS.with_changes(load=1.1),
        Release(kill_target=KillTarget.PROXIES, outlier_kind=OutlierKind.FAILING),
        2,
    ),
    Case(
        "230 servers, servers killed, slow outliers",
        MANY_SERVERS.with_changes(load=0.8),
        Release(observation_time=14 * SECOND),
        1,
    ),
]

# Most servers restart without what they had learnt while the load exceeds the capacity: nothing is rejected,
# and an endpoint of low capacity in slow start receives all the load of a table of four.
OVER_CAPACITY = [
    Case(
        "many endpoints, servers killed early",
        MANY_ENDPOINTS.with_changes(load=1.03, capacity_cv=0.27, load_cv=0.9, client_repeat_probability=0.98),
        Release(
            outlier_kind=OutlierKind.FAILING,
            endpoint_downtime=6 * SECOND,
            kill_delay=1_716_894,
        ),
        3,
    ),
    Case(
        "many endpoints, servers killed late",
        MANY_ENDPOINTS.with_changes(load=1.11, capacity_cv=0.3, load_cv=1.0, client_repeat_probability=0.9),
        Release(
            outlier_kind=OutlierKind.FAILING,
            endpoint_downtime=6 * SECOND,
            kill_delay=6 * SECOND,
        ),
        7,
    ),
]

# Proxies that each carry much of the load avoid warm endpoints that reject attempts, and send the rest of the
# load to the endpoint in slow start.
FEW_PROXIES = Parameters(
    servers=2,
    proxies_per_server=1,
    endpoints_per_zone=10,
    load=1.2,
    load_cv=0.8,
    client_repeat_probability=1.0,
)
FEW_PROXIES_RELEASE = Release(restarted_share=0.1, endpoint_downtime=6 * SECOND, kill_delay=4 * SECOND)
WITH_AVOIDANCE = [
    Case("one proxy for each server", FEW_PROXIES, FEW_PROXIES_RELEASE, 3),
    Case(
        "two proxies for each server", FEW_PROXIES.with_changes(proxies_per_server=2), FEW_PROXIES_RELEASE, 21
    ),
]
WITHOUT_AVOIDANCE = [
    Case(
        f"{case.name}, no avoidance",
        case.parameters.with_changes(outlier_after_failures=0),
        case.release,
        case.seed,
    )
    for case in WITH_AVOIDANCE
]


def parametrize_cases(cases: list[Case]):
    return pytest.mark.parametrize("case", cases, ids=[case.name for case in cases])


def check(simulation: RequestSimulation) -> None:
    assert simulation.ledger.sent_work, "no work was sent to an endpoint in slow start, so nothing is checked"
    check_rules(simulation)


def check_rules(simulation: RequestSimulation) -> None:
    assert (
        not any(server.cycle.failures for server in simulation.servers)
        and not simulation.proxies_without_table()
    )
    assert not simulation.ledger.find_violations()


@parametrize_cases(RELEASES + WITHOUT_AVOIDANCE)
def test_a_release_keeps_the_budget(case):
    check(case.run())


@parametrize_cases(OVER_CAPACITY)
def test_a_release_over_capacity_keeps_the_budget(case):
    check(case.run())


class ControllerWithoutSlowStart(Controller):
    """Gives endpoints in slow start as much load as warm ones, and admits all requests."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.slow_start.capacity_share = lambda endpoint, now: 1.0
        self.admission.admitted_share = lambda *_: 1.0


@parametrize_cases(WITH_AVOIDANCE)
def test_proxies_that_avoid_warm_endpoints_keep_the_budget(case):
    check_rules(case.run())


@parametrize_cases(WITH_AVOIDANCE)
def test_proxies_that_avoid_warm_endpoints_violate_the_budget_without_slow_start(case, monkeypatch):
    """The test above passes too if an endpoint gets no attempts until it is warm.

    This test shows that the same cases violate the budget without slow start.
    """
    monkeypatch.setattr(control_cycle, "Controller", ControllerWithoutSlowStart)
    assert case.run().ledger.find_violations()


@parametrize_cases(WITH_AVOIDANCE)
def test_an_endpoint_without_attempts_in_slow_start_gets_some_once_it_is_warm(case):
    release = replace(case.release, observation_time=40 * SECOND)
    warm_at = release.crash_at + release.endpoint_downtime + max(case.parameters.warm_up_time)
    attempts_until_warm: Counter = Counter()
    simulation = run_release(
        case.parameters,
        release,
        case.seed,
        lambda simulation: simulation.call_later(
            warm_at, lambda: attempts_until_warm.update(simulation.attempts)
        ),
    )
    check_rules(simulation)
    restarted_endpoints = [endpoint.name for endpoint in simulation.endpoints.values() if endpoint.started_at]
    assert restarted_endpoints
    assert all(
        simulation.attempts[name, False] > attempts_until_warm[name, False] for name in restarted_endpoints
    )


@parametrize_cases(
    [
        Case("two servers", TWO_SERVERS.with_changes(load=1.0), Release(kill_target=KillTarget.NONE), 1),
        Case("five servers", FIVE_SERVERS.with_changes(load=1.0), Release(kill_target=KillTarget.NONE), 1),
        Case(
            "twenty servers",
            TWENTY_SERVERS.with_changes(load=1.0),
            Release(kill_target=KillTarget.NONE, observation_time=12 * SECOND),
            1,
        ),
    ]
)
def test_the_check_of_the_budget_detects_a_deliberate_fault(case, monkeypatch):
    check(case.run())
    monkeypatch.setattr(control_cycle, "Controller", ControllerWithoutSlowStart)
    with pytest.raises(AssertionError, match="Excess"):
        check(case.run())


# Servers learn of a start late and assume a longer slow start, so a weight may exceed the capacity share.
CAPACITY_SHARE_MARGIN = 0.15


class WeightObserver:
    """Compares the weights of endpoints in slow start with their capacity shares every second.

    It reads the tables that restarted servers have sent, and takes weights relative to the heaviest warm
    endpoint of the table.
    """

    def __init__(self, simulation: RequestSimulation):
        self.simulation, self.compared_weights, self.excessive_weights = simulation, 0, []
        simulation.call_later(SECOND, self.compare_weights)

    def compare_weights(self) -> None:
        self.simulation.call_later(SECOND, self.compare_weights)
        now = self.simulation.now
        for proxy in self.simulation.proxies:
            if proxy.table_source is None or not proxy.table_source.previous_starts:
                continue
            warm_weights = [
                weight
                for name, weight in proxy.table.items()
                if not self.simulation.endpoints[name].is_warming_up(now)
            ]
            for name in (
                [name for name in proxy.table if self.simulation.endpoints[name].is_warming_up(now)]
                if warm_weights
                else ()
            ):
                self.compared_weights += 1
                relative_weight, capacity_share = (
                    proxy.table[name] / max(warm_weights),
                    self.simulation.endpoints[name].capacity_share(now),
                )
                if relative_weight > capacity_share + CAPACITY_SHARE_MARGIN:
                    self.excessive_weights.append(
                        (proxy.number, name, round(relative_weight, 2), round(capacity_share, 2))
                    )


@pytest.mark.parametrize("kill_delay", [2, 5, 8, 12])
def test_restarted_servers_weight_endpoints_in_slow_start_by_their_capacity_share(kill_delay):
    """A fifth of the endpoints restart before the servers do.

    Only the list that a restarted server begins with says which of the endpoints are in slow start.
    """
    observers = []
    release = Release(
        outlier_kind=OutlierKind.NONE,
        kill_delay=kill_delay * SECOND,
        observation_time=(kill_delay + 6) * SECOND,
    )
    run_release(
        FIVE_SERVERS.with_changes(load=0.6),
        release,
        1,
        lambda simulation: observers.append(WeightObserver(simulation)),
    )
    assert observers[0].compared_weights and not observers[0].excessive_weights
