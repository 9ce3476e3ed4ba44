"""The components of the request simulation: queues, admission, avoidance, attempts, channel and reports."""

import random
from itertools import pairwise

import pytest

from standins.fleet.channels import BoundedChannel, line_count
from standins.fleet.clock import SECOND, EventQueue
from standins.fleet.endpoints import Outcome, QueueingEndpoint
from standins.fleet.parameters import Parameters
from standins.fleet.proxies import ProxyRules, RequestProxy
from standins.fleet.reports import DemandKey, ReportQueue
from standins.fleet.request_simulation import RequestSimulation, mean_work
from standins.fleet.scenarios import KillTarget, Release, run_release
from standins.fleet.trace import Trace


def make_proxy(admission_level_kind="fraction", outlier_after_failures=5, default_retry_mode=0):
    rules = ProxyRules(
        ("view", "post"),
        admission_level_kind,
        outlier_after_failures,
        3 * SECOND,
        3 * SECOND,
        default_retry_mode,
    )
    proxy = RequestProxy(0, 0, 1.0, rules)
    proxy.apply_message("CONFIG whole=1 lines=a:1,b:3\r\n")
    return proxy


# Endpoints


def test_an_endpoint_accepts_attempts_up_to_its_queue_limit_and_again_when_one_ends():
    endpoint = QueueingEndpoint("s", 0, 2.0, cores=2, queue_limit=2)
    first, second, third = (endpoint.submit(0, 1.0, False) for _ in range(3))
    assert (first.outcome, first.delay) == (Outcome.SERVED, SECOND)
    # The endpoint has two cores, so the second attempt takes no longer than the first.
    assert (second.outcome, second.delay) == (Outcome.SERVED, SECOND)
    assert third.outcome is Outcome.REFUSED
    endpoint.release(endpoint.incarnation)
    assert endpoint.submit(0, 1.0, False).delay == round(1.5 * SECOND)


@pytest.mark.parametrize("age, present_capacity", [(0, 0.4), (5, 1.2), (10, 2.0)])
def test_present_capacity_rises_after_a_start_and_is_lower_for_a_slow_endpoint(age, present_capacity):
    endpoint = QueueingEndpoint("s", 0, 2.0, cores=2, queue_limit=2)
    endpoint.restart(100 * SECOND)
    now = (100 + age) * SECOND
    assert endpoint.present_capacity(now) == pytest.approx(present_capacity) and endpoint.is_warming_up(
        now
    ) == (age < 10)
    endpoint.slowdown = 4.0
    assert endpoint.present_capacity(now) == pytest.approx(present_capacity / 4)


def test_a_restart_empties_the_queue_and_attempts_of_the_old_process_release_nothing():
    endpoint = QueueingEndpoint("s", 0, 2.0, cores=2, queue_limit=1)
    endpoint.submit(0, 1.0, False)
    old_incarnation = endpoint.incarnation
    endpoint.restart(SECOND)
    assert endpoint.submit(SECOND, 1.0, False).outcome is Outcome.SERVED
    endpoint.release(old_incarnation)
    assert endpoint.submit(SECOND, 1.0, False).outcome is Outcome.REFUSED


# Proxies


def test_messages_set_admission_levels_and_a_complete_table_resets_them():
    proxy = make_proxy()
    proxy.apply_message("CONFIG classes=post level=0.25 retry=1\r\n")
    assert (proxy.level("view"), proxy.level("post"), proxy.retry_mode("post")) == (
        float("inf"),
        0.25,
        1,
    )
    proxy.apply_message("CONFIG whole=1 lines=a:1\r\n")
    assert proxy.level("post") == float("inf") and proxy.table == {"a": 1.0}


@pytest.mark.parametrize("admission_level_kind, level", [("fraction", 0.25), ("per_second", 2.0)])
def test_an_admission_level_is_a_share_or_a_rate(admission_level_kind, level):
    """A proxy receives 100 requests a second for 100 s."""
    proxy, random_source = make_proxy(admission_level_kind), random.Random(1)
    proxy.apply_message(f"CONFIG level={level} retry=1\r\n")
    admitted_requests = sum(proxy.admits("view", n * SECOND // 100, random_source) for n in range(10_000))
    assert admitted_requests == pytest.approx(2500 if admission_level_kind == "fraction" else 200, rel=0.06)


def test_a_proxy_picks_by_weight_among_endpoints_not_ejected_avoided_or_attempted():
    proxy, random_source = make_proxy(outlier_after_failures=2), random.Random(1)
    picks = [proxy.pick(0, random_source, set()) for _ in range(4000)]
    assert picks.count("b") / 4000 == pytest.approx(0.75, abs=0.03)
    assert proxy.pick(0, random_source, {"b"}) == "a" and proxy.pick(0, random_source, {"a", "b"}) is None
    proxy.record_outcome("b", True, 0, random_source)
    proxy.record_outcome("b", False, 0, random_source)
    proxy.record_outcome("b", True, 0, random_source)
    # The two failures were not consecutive.
    assert set(proxy.usable_lines(0)) == {"a", "b"}
    proxy.record_outcome("b", True, 0, random_source)
    assert set(proxy.usable_lines(0)) == {"a"} and set(proxy.usable_lines(3 * SECOND)) == {"a", "b"}
    proxy.apply_message("CONFIG out=a\r\n")
    # The proxy avoids every endpoint that is not ejected, so avoidance is ignored.
    assert set(proxy.usable_lines(0)) == {"b"}


# Control channel


class RecordingReceiver:
    def __init__(self, events):
        self.events, self.deliveries = events, []

    def message_arrived(self, proxy, message, marker, delivery_time, known_starts):
        self.deliveries.append((self.events.now, message, delivery_time))


def test_lines_of_a_message_are_counted_with_its_overhead():
    assert (
        line_count(
            "CONFIG whole=1 lines=a:1,b:2 level=1 retry=1 more=1\r\nCONFIG out=c back=d,e ticket=4\r\n", 3
        )
        == 11
    )


def test_messages_are_sent_one_after_another_and_arrive_in_order_at_a_proxy():
    """Each message has five lines with the overhead, which take half a second at 10 lines a second."""
    events = EventQueue()
    receiver, sent_at = RecordingReceiver(events), events.now
    channel = BoundedChannel(events, receiver, 10.0, 3, (100_000, 400_000), random.Random(1))
    for name in "abc":
        channel.send(make_proxy(), f"CONFIG lines={name}:1,x:1\r\n", None, {})
    events.advance(events.now + 3 * SECOND)
    arrivals = [time - sent_at for time, _, _ in receiver.deliveries]
    assert [message[13] for _, message, _ in receiver.deliveries] == ["a", "b", "c"]
    assert all(0.5 * n <= arrival / SECOND - 0.1 <= 0.5 * n + 0.3 for n, arrival in enumerate(arrivals, 1))


def test_messages_of_a_server_that_was_killed_or_lost_the_proxy_change_nothing():
    simulation = RequestSimulation(
        Parameters(servers=2, proxies_per_server=2, endpoints_per_zone=3), seed=1
    ).run(5)
    proxy = simulation.proxies[0]
    server, table = proxy.server, dict(proxy.table)
    proxy.server = simulation.servers[1 - server.number]
    server.message_arrived(proxy, "CONFIG whole=1 lines=s-0-0:1\r\n", None, 1, {})
    proxy.server, server.is_alive = server, False
    server.message_arrived(proxy, "CONFIG whole=1 lines=s-0-0:1\r\n", None, 1, {})
    assert proxy.table == table


# Reports


def test_reports_beyond_the_throughput_add_up_and_the_oldest_are_sent_first():
    report_queue = ReportQueue(0)
    for number in (1, 2, 3):
        report_queue.count(DemandKey(number, 0), has_failed=False)
    assert [key.proxy for key, _ in report_queue.end_period(SECOND, 2)] == [1, 2]
    for number in (1, 3):
        report_queue.count(DemandKey(number, 0), has_failed=True)
    ((key, counts),) = report_queue.end_period(2 * SECOND, 1)
    assert (key.proxy, counts.attempts, counts.failures, counts.since) == (3, 2, 1, 0)
    assert [(key.proxy, counts.since) for key, counts in report_queue.end_period(3 * SECOND, 9)] == [
        (1, SECOND)
    ]


# Whole simulations


def test_equal_seeds_give_equal_simulations_and_different_seeds_do_not():
    parameters, release = (
        Parameters(servers=2, proxies_per_server=5, endpoints_per_zone=3),
        Release(observation_time=3 * SECOND),
    )
    first, second, other = (run_release(parameters, release, seed) for seed in (1, 1, 2))
    assert (
        first.request_results == second.request_results
        and first.attempts == second.attempts != other.attempts
    )


def test_a_killed_server_restarts_from_its_stored_list_and_its_proxies_return():
    """An endpoint crashes just before the kill, and the registry is down.

    So the restarted server lists all six endpoints at first, and five later.
    """
    parameters = Parameters(servers=2, proxies_per_server=5, endpoints_per_zone=3)
    simulation = RequestSimulation(parameters, seed=1).run(5)
    killed_server, tables = (
        simulation.servers[0],
        {proxy.number: dict(proxy.table) for proxy in simulation.proxies},
    )
    disconnected_proxies = [proxy for proxy in simulation.proxies if proxy.server is killed_server]
    simulation.crash_endpoints("s-0-0")
    simulation.registry.is_down = True
    simulation.kill_servers([0], (SECOND, SECOND))
    assert disconnected_proxies and all(
        proxy.server is None and proxy.table == tables[proxy.number] for proxy in disconnected_proxies
    )
    simulation.run(1.1)
    restarted_server = simulation.servers[0]
    assert (
        restarted_server is not killed_server
        and restarted_server.previous_starts == 1
        and len(restarted_server.known_starts) == 6
    )
    simulation.registry.is_down = False
    simulation.run(14)
    assert (
        all(proxy.server is restarted_server for proxy in disconnected_proxies)
        and len(restarted_server.known_starts) == 5
    )


def test_a_killed_proxy_restarts_with_a_default_table_drawn_from_its_zone():
    parameters = Parameters(servers=2, proxies_per_server=10, endpoints_per_zone=5, default_table_size=4)
    simulation = RequestSimulation(parameters, seed=1).run(5)
    simulation.kill_proxies([0, 1], (SECOND, SECOND))
    assert simulation.traffic.stopped_proxies == {0, 1}
    simulation.run(1.1)
    for number in (0, 1):
        table = simulation.proxies[number].table
        assert (
            len(table) == 4
            and set(table.values()) == {1.0}
            and all(name.startswith(f"s-{number}") for name in table)
        )
    simulation.run(6)
    assert all(
        simulation.proxies[index].server is not None
        and simulation.proxies[index].table_source is simulation.proxies[index].server
        for index in (0, 1)
    )


@pytest.mark.parametrize("retry_mode, attempts", [(0, 1), (1, 1), (2, 2), (3, 3)])
def test_the_retry_mode_limits_attempts(retry_mode, attempts):
    """All endpoints fail, and may have begun to process the attempt."""
    parameters = Parameters(
        servers=1,
        proxies_per_server=4,
        endpoints_per_zone=3,
        default_retry_mode=retry_mode,
        client_repeats=0,
        outlier_after_failures=0,
    )
    simulation = RequestSimulation(parameters, seed=1)
    for endpoint in simulation.endpoints.values():
        endpoint.failure_share = 1.0
    simulation.run(2)
    assert sum(simulation.attempts.values()) == pytest.approx(
        attempts * sum(simulation.request_results.values()), rel=0.05
    )


def test_a_trace_has_a_row_each_quarter_of_a_second_of_slow_start():
    parameters, traces = (
        Parameters(servers=2, proxies_per_server=10, endpoints_per_zone=4, load=0.5),
        [],
    )
    release = Release(kill_target=KillTarget.NONE, restarted_share=1 / 8, observation_time=5 * SECOND)
    name = next(iter(run_release(parameters, release, 1).ledger.sent_work)).endpoint
    run_release(
        parameters,
        release,
        1,
        lambda simulation: traces.append(Trace(simulation, name, mean_work(parameters.traffic_groups))),
    )
    rows = traces[0].rows
    assert [round(row.age * 4) for row in rows] == list(range(len(rows))) and len(rows) >= 20
    assert all(
        earlier.capacity_share < later.capacity_share and earlier.attempt_capacity < later.attempt_capacity
        for earlier, later in pairwise(rows)
    )
    assert (
        rows[0].proxies_using == 0 < rows[-1].proxies_using
        and rows[-1].estimated_shares
        and rows[-1].foreign_tables == rows[-1].disconnected_proxies == 0
    )
    assert sum(share * count for share, count in rows[-1].table_shares) > 0 and "times" in str(rows[-1])


def test_a_release_may_kill_no_process():
    simulation = run_release(
        Parameters(servers=2, proxies_per_server=5, endpoints_per_zone=3),
        Release(kill_target=KillTarget.NONE, observation_time=SECOND),
        1,
    )
    assert all(server.previous_starts == 0 and server.is_alive for server in simulation.servers)
