"""The parts of the request simulation: queues, admission, avoidance, attempts, channel, reports."""

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
from standins.fleet.scenarios import Killed, Release, play
from standins.fleet.trace import Trace


def proxy(level_kind="fraction", outlier_after=5, base_mode=0):
    rules = ProxyRules(("view", "post"), level_kind, outlier_after, 3 * SECOND, 3 * SECOND, base_mode)
    made = RequestProxy(0, 0, 1.0, rules)
    made.apply_message("CONFIG whole=1 lines=a:1,b:3\r\n")
    return made


# --- endpoints ---


def test_an_endpoint_queues_work_up_to_its_limit_and_again_when_an_attempt_ends():
    endpoint = QueueingEndpoint("s", 0, 2.0, cores=2, queue_limit=2)
    first, second, third = (endpoint.offer(0, 1.0, False) for _ in range(3))
    assert (first.outcome, first.after) == (Outcome.SERVED, SECOND)
    assert (second.outcome, second.after) == (Outcome.SERVED, SECOND)  # two cores
    assert third.outcome is Outcome.REFUSED
    endpoint.release(endpoint.incarnation)
    assert endpoint.offer(0, 1.0, False).after == round(1.5 * SECOND)


@pytest.mark.parametrize("age, present_capacity", [(0, 0.4), (5, 1.2), (10, 2.0)])
def test_present_capacity_rises_after_a_start_and_is_less_for_a_slow_endpoint(age, present_capacity):
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
    endpoint.offer(0, 1.0, False)
    old = endpoint.incarnation
    endpoint.restart(SECOND)
    assert endpoint.offer(SECOND, 1.0, False).outcome is Outcome.SERVED
    endpoint.release(old)
    assert endpoint.offer(SECOND, 1.0, False).outcome is Outcome.REFUSED


# --- proxies ---


def test_messages_set_admission_levels_and_a_complete_table_resets_them():
    simulated = proxy()
    simulated.apply_message("CONFIG classes=post level=0.25 retry=1\r\n")
    assert (simulated.level("view"), simulated.level("post"), simulated.retry_mode("post")) == (
        float("inf"),
        0.25,
        1,
    )
    simulated.apply_message("CONFIG whole=1 lines=a:1\r\n")
    assert simulated.level("post") == float("inf") and simulated.table == {"a": 1.0}


@pytest.mark.parametrize("kind, most", [("fraction", 0.25), ("per_second", 2.0)])
def test_an_admission_level_is_a_share_or_a_rate(kind, most):
    simulated, random_source = proxy(kind), random.Random(1)
    simulated.apply_message(f"CONFIG level={most} retry=1\r\n")
    let_in = sum(
        simulated.admits("view", n * SECOND // 100, random_source) for n in range(10_000)
    )  # 100 a second for 100 s
    assert let_in == pytest.approx(2500 if kind == "fraction" else 200, rel=0.06)


def test_a_proxy_picks_by_weight_among_lines_not_ejected_avoided_or_attempted():
    simulated, random_source = proxy(outlier_after=2), random.Random(1)
    picks = [simulated.pick(0, random_source, set()) for _ in range(4000)]
    assert picks.count("b") / 4000 == pytest.approx(0.75, abs=0.03)
    assert (
        simulated.pick(0, random_source, {"b"}) == "a"
        and simulated.pick(0, random_source, {"a", "b"}) is None
    )
    simulated.record_outcome("b", True, 0, random_source)
    simulated.record_outcome("b", False, 0, random_source)
    simulated.record_outcome("b", True, 0, random_source)
    assert set(simulated.usable_lines(0)) == {"a", "b"}  # not in a row
    simulated.record_outcome("b", True, 0, random_source)
    assert set(simulated.usable_lines(0)) == {"a"} and set(simulated.usable_lines(3 * SECOND)) == {"a", "b"}
    simulated.apply_message("CONFIG out=a\r\n")
    assert set(simulated.usable_lines(0)) == {"b"}  # it shuns all that it has


# --- the channel ---


class Receiver:
    def __init__(self, events):
        self.events, self.got = events, []

    def message_arrived(self, proxy, message, ticket, took, starts):
        self.got.append((self.events.now, message, took))


def test_lines_of_a_message_are_counted_with_its_overhead():
    assert (
        line_count(
            "CONFIG whole=1 lines=a:1,b:2 level=1 retry=1 more=1\r\nCONFIG out=c back=d,e ticket=4\r\n", 3
        )
        == 11
    )


def test_messages_leave_one_after_another_and_arrive_in_order_at_a_proxy():
    events = EventQueue()
    receiver, began = Receiver(events), events.now
    channel = BoundedChannel(events, receiver, 10.0, 3, (100_000, 400_000), random.Random(1))
    for name in "abc":
        channel.send(proxy(), f"CONFIG lines={name}:1,x:1\r\n", None, {})  # half a second each
    events.advance(events.now + 3 * SECOND)
    arrivals = [at - began for at, _, _ in receiver.got]
    assert [message[13] for _, message, _ in receiver.got] == ["a", "b", "c"]
    assert all(0.5 * n <= at / SECOND - 0.1 <= 0.5 * n + 0.3 for n, at in enumerate(arrivals, 1))


def test_messages_of_a_server_that_died_or_lost_the_proxy_change_nothing():
    world = RequestSimulation(Parameters(servers=2, proxies=2, endpoints=3), seed=1).run(5)
    simulated = world.proxies[0]
    server, table = simulated.server, dict(simulated.table)
    simulated.server = world.servers[1 - server.number]
    server.message_arrived(simulated, "CONFIG whole=1 lines=s-0-0:1\r\n", None, 1, {})
    simulated.server, server.alive = server, False
    server.message_arrived(simulated, "CONFIG whole=1 lines=s-0-0:1\r\n", None, 1, {})
    assert simulated.table == table


# --- late lines ---


def test_reports_beyond_the_throughput_add_up_and_the_oldest_are_sent_first():
    report_queue = ReportQueue(0)
    for number in (1, 2, 3):
        report_queue.count(DemandKey(number, 0), failed=False)
    assert [key.proxy for key, _ in report_queue.take(SECOND, 2)] == [1, 2]
    for number in (1, 3):
        report_queue.count(DemandKey(number, 0), failed=True)
    ((key, counts),) = report_queue.take(2 * SECOND, 1)
    assert (key.proxy, counts.attempts, counts.failed, counts.since) == (3, 2, 1, 0)
    assert [(key.proxy, counts.since) for key, counts in report_queue.take(3 * SECOND, 9)] == [(1, SECOND)]


# --- the world ---


def test_equal_seeds_give_equal_simulations_and_different_seeds_do_not():
    small, release = Parameters(servers=2, proxies=5, endpoints=3), Release(watched=3 * SECOND)
    first, again, other = (play(small, release, seed) for seed in (1, 1, 2))
    assert first.ends == again.ends and first.attempts == again.attempts != other.attempts


def test_a_killed_server_restarts_from_its_old_list_and_its_proxies_return():
    parameters = Parameters(servers=2, proxies=5, endpoints=3)
    world = RequestSimulation(parameters, seed=1).run(5)
    killed, simulated = world.servers[0], {p.number: dict(p.table) for p in world.proxies}
    gone = [p for p in world.proxies if p.server is killed]
    world.crash("s-0-0")
    world.registry.down = True
    world.kill_servers([0], (SECOND, SECOND))
    assert gone and all(p.server is None and p.table == simulated[p.number] for p in gone)
    world.run(1.1)
    reborn = world.servers[0]
    assert (
        reborn is not killed and reborn.starts == 1 and len(reborn.known_starts) == 6
    )  # the old list: all of them
    world.registry.down = False
    world.run(14)
    assert all(p.server is reborn for p in gone) and len(reborn.known_starts) == 5


def test_a_killed_proxy_restarts_with_a_standing_table_drawn_from_its_zone():
    parameters = Parameters(servers=2, proxies=10, endpoints=5, standing_table_size=4)
    world = RequestSimulation(parameters, seed=1).run(5)
    world.kill_proxies([0, 1], (SECOND, SECOND))
    assert world.traffic.down == {0, 1}
    world.run(1.1)
    for number in (0, 1):
        table = world.proxies[number].table
        assert (
            len(table) == 4
            and set(table.values()) == {1.0}
            and all(name.startswith(f"s-{number}") for name in table)
        )
    world.run(6)
    assert all(
        world.proxies[n].server is not None and world.proxies[n].table_source is world.proxies[n].server
        for n in (0, 1)
    )


@pytest.mark.parametrize("mode, attempts", [(0, 1), (1, 1), (2, 2), (3, 3)])
def test_the_retry_mode_limits_attempts(mode, attempts):
    """All endpoints fail, and the work may have begun: one attempt, one, two or three by mode."""
    parameters = Parameters(
        servers=1, proxies=4, endpoints=3, base_mode=mode, client_repeats=0, outlier_after=0
    )
    world = RequestSimulation(parameters, seed=1)
    for endpoint in world.endpoints.values():
        endpoint.failure_share = 1.0
    world.run(2)
    assert sum(world.attempts.values()) == pytest.approx(attempts * sum(world.ends.values()), rel=0.05)


def test_a_trace_has_a_row_each_quarter_second_of_slow_start():
    parameters, traces = Parameters(servers=2, proxies=10, endpoints=4, load=0.5), []
    release = Release(killed=Killed.NONE, returning=1 / 8, watched=5 * SECOND)
    name = next(iter(play(parameters, release, 1).ledger.sent)).endpoint
    play(
        parameters,
        release,
        1,
        lambda world: traces.append(Trace(world, name, mean_work(parameters.traffic_groups))),
    )
    rows = traces[0].rows
    assert [round(row.age * 4) for row in rows] == list(range(len(rows))) and len(rows) >= 20
    assert all(
        early.capacity_share < late.capacity_share and early.capacity < late.capacity
        for early, late in pairwise(rows)
    )
    assert (
        rows[0].proxies_using == 0 < rows[-1].proxies_using
        and rows[-1].believed_shares
        and rows[-1].foreign == rows[-1].unjoined == 0
    )
    assert sum(share * count for share, count in rows[-1].table_shares) > 0 and "times" in str(rows[-1])


def test_a_release_may_kill_nobody():
    world = play(
        Parameters(servers=2, proxies=5, endpoints=3), Release(killed=Killed.NONE, watched=SECOND), 1
    )
    assert all(server.starts == 0 and server.alive for server in world.servers)
