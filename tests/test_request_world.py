"""The parts of the world of requests, each by itself: queues, levels, shunning, tries, channel, late lines."""

import random

import pytest

from standins.fleet.channels import BoundedChannel, line_count
from standins.fleet.clock import SECOND, EventQueue
from standins.fleet.parameters import Parameters
from standins.fleet.proxies import ProxyRules, RequestProxy
from standins.fleet.reports import Intake, UsageKey
from standins.fleet.request_world import RequestWorld, mean_work
from standins.fleet.scenarios import Killed, Release, play
from standins.fleet.servers import Outcome, QueueServer
from standins.fleet.trace import Trace


def proxy(level_kind="fraction", outlier_after=5, base_mode=0):
    rules = ProxyRules(("view", "post"), level_kind, outlier_after, 3 * SECOND, 3 * SECOND, base_mode)
    made = RequestProxy(0, 0, 1.0, rules)
    made.obey("CONFIG whole=1 lines=a:1,b:3\r\n")
    return made


# --- endpoints ---


def test_an_endpoint_queues_work_refuses_what_has_no_place_and_takes_again_when_a_try_ends():
    server = QueueServer("s", 0, 2.0, cores=2, places=2)
    first, second, third = (server.offer(0, 1.0, False) for _ in range(3))
    assert (first.outcome, first.after) == (Outcome.SERVED, SECOND)
    assert (second.outcome, second.after) == (Outcome.SERVED, SECOND)  # two cores
    assert third.outcome is Outcome.REFUSED
    server.release(server.processes)
    assert server.offer(0, 1.0, False).after == round(1.5 * SECOND)


@pytest.mark.parametrize("age, strength", [(0, 0.4), (5, 1.2), (10, 2.0)])
def test_an_endpoint_is_cold_after_a_start_and_a_slow_one_does_less(age, strength):
    server = QueueServer("s", 0, 2.0, cores=2, places=2)
    server.restart(100 * SECOND)
    now = (100 + age) * SECOND
    assert server.strength(now) == pytest.approx(strength) and server.is_cold(now) == (age < 10)
    server.slowed = 4.0
    assert server.strength(now) == pytest.approx(strength / 4)


def test_a_restart_empties_the_queue_and_ends_of_old_tries_free_no_place():
    server = QueueServer("s", 0, 2.0, cores=2, places=1)
    server.offer(0, 1.0, False)
    old = server.processes
    server.restart(SECOND)
    assert server.offer(SECOND, 1.0, False).outcome is Outcome.SERVED
    server.release(old)
    assert server.offer(SECOND, 1.0, False).outcome is Outcome.REFUSED


# --- proxies ---


def test_levels_come_with_messages_and_a_whole_table_forgets_them():
    held = proxy()
    held.obey("CONFIG classes=post level=0.25 retry=1\r\n")
    assert (held.level("view"), held.level("post"), held.retry_mode("post")) == (float("inf"), 0.25, 1)
    held.obey("CONFIG whole=1 lines=a:1\r\n")
    assert held.level("post") == float("inf") and held.table == {"a": 1.0}


@pytest.mark.parametrize("kind, most", [("fraction", 0.25), ("per_second", 2.0)])
def test_a_level_lets_in_a_share_or_so_many_a_second(kind, most):
    held, chance = proxy(kind), random.Random(1)
    held.obey(f"CONFIG level={most} retry=1\r\n")
    let_in = sum(
        held.lets_in("view", n * SECOND // 100, chance) for n in range(10_000)
    )  # 100 a second for 100 s
    assert let_in == pytest.approx(2500 if kind == "fraction" else 200, rel=0.06)


def test_a_proxy_picks_by_weight_among_lines_not_withdrawn_shunned_or_tried():
    held, chance = proxy(outlier_after=2), random.Random(1)
    picks = [held.pick(0, chance, set()) for _ in range(4000)]
    assert picks.count("b") / 4000 == pytest.approx(0.75, abs=0.03)
    assert held.pick(0, chance, {"b"}) == "a" and held.pick(0, chance, {"a", "b"}) is None
    held.note("b", True, 0, chance)
    held.note("b", False, 0, chance)
    held.note("b", True, 0, chance)
    assert set(held.usable(0)) == {"a", "b"}  # not in a row
    held.note("b", True, 0, chance)
    assert set(held.usable(0)) == {"a"} and set(held.usable(3 * SECOND)) == {"a", "b"}
    held.obey("CONFIG out=a\r\n")
    assert set(held.usable(0)) == {"b"}  # it shuns all that it has


# --- the channel ---


class Receiver:
    def __init__(self, events):
        self.events, self.got = events, []

    def arrived(self, proxy, message, ticket, took, starts):
        self.got.append((self.events.now, message, took))


def test_lines_of_a_message_are_counted_with_its_head():
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


def test_messages_of_a_pilot_that_died_or_lost_the_proxy_change_nothing():
    world = RequestWorld(Parameters(pilots=2, proxies=2, servers=3), seed=1).run(5)
    held = world.proxies[0]
    pilot, table = held.pilot, dict(held.table)
    held.pilot = world.pilots[1 - pilot.number]
    pilot.arrived(held, "CONFIG whole=1 lines=s-0-0:1\r\n", None, 1, {})
    held.pilot, pilot.alive = pilot, False
    pilot.arrived(held, "CONFIG whole=1 lines=s-0-0:1\r\n", None, 1, {})
    assert held.table == table


# --- late lines ---


def test_what_does_not_fit_into_a_period_adds_up_and_the_oldest_go_first():
    intake = Intake(0)
    for number in (1, 2, 3):
        intake.count(UsageKey(number, 0), failed=False)
    assert [key.proxy for key, _ in intake.take(SECOND, 2)] == [1, 2]
    for number in (1, 3):
        intake.count(UsageKey(number, 0), failed=True)
    ((key, tally),) = intake.take(2 * SECOND, 1)
    assert (key.proxy, tally.tries, tally.failed, tally.since) == (3, 2, 1, 0)
    assert [(key.proxy, tally.since) for key, tally in intake.take(3 * SECOND, 9)] == [(1, SECOND)]


# --- the world ---


def test_the_same_seed_gives_the_same_world_and_another_one_another():
    small, release = Parameters(pilots=2, proxies=5, servers=3), Release(watched=3 * SECOND)
    first, again, other = (play(small, release, seed) for seed in (1, 1, 2))
    assert first.ends == again.ends and first.tries == again.tries != other.tries


def test_a_killed_pilot_starts_again_from_its_old_list_and_its_proxies_come_home():
    parameters = Parameters(pilots=2, proxies=5, servers=3)
    world = RequestWorld(parameters, seed=1).run(5)
    killed, held = world.pilots[0], {p.number: dict(p.table) for p in world.proxies}
    gone = [p for p in world.proxies if p.pilot is killed]
    world.crash("s-0-0")
    world.discovery.down = True
    world.kill_pilots([0], (SECOND, SECOND))
    assert gone and all(p.pilot is None and p.table == held[p.number] for p in gone)
    world.run(1.1)
    reborn = world.pilots[0]
    assert (
        reborn is not killed and reborn.starts == 1 and len(reborn.known_starts) == 6
    )  # the old list: all of them
    world.discovery.down = False
    world.run(14)
    assert all(p.pilot is reborn for p in gone) and len(reborn.known_starts) == 5


def test_a_killed_proxy_comes_back_with_a_standing_table_drawn_from_its_zone():
    parameters = Parameters(pilots=2, proxies=10, servers=5, standing=4)
    world = RequestWorld(parameters, seed=1).run(5)
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
        world.proxies[n].pilot is not None and world.proxies[n].table_from is world.proxies[n].pilot
        for n in (0, 1)
    )


@pytest.mark.parametrize("mode, tries", [(0, 1), (1, 1), (2, 2), (3, 3)])
def test_tries_follow_as_the_mode_says(mode, tries):
    """All endpoints fail at once without a proof: by mode one try, one, two or three."""
    parameters = Parameters(pilots=1, proxies=4, servers=3, base_mode=mode, client_repeats=0, outlier_after=0)
    world = RequestWorld(parameters, seed=1)
    for server in world.servers.values():
        server.failing = 1.0
    world.run(2)
    assert sum(world.tries.values()) == pytest.approx(tries * sum(world.ends.values()), rel=0.05)


def test_a_trace_has_a_row_a_quarter_second_while_its_endpoint_is_cold():
    parameters, traces = Parameters(pilots=2, proxies=10, servers=4, load=0.5), []
    release = Release(killed=Killed.NONE, returning=1 / 8, watched=5 * SECOND)
    name = next(iter(play(parameters, release, 1).ledger.sent)).endpoint
    play(
        parameters, release, 1, lambda world: traces.append(Trace(world, name, mean_work(parameters.classes)))
    )
    rows = traces[0].rows
    assert [round(row.age * 4) for row in rows] == list(range(len(rows))) and len(rows) >= 20
    assert all(early.ramp < late.ramp and early.can_do < late.can_do for early, late in zip(rows, rows[1:]))
    assert (
        rows[0].holding == 0 < rows[-1].holding
        and rows[-1].believed
        and rows[-1].foreign == rows[-1].unjoined == 0
    )
    assert sum(share * count for share, count in rows[-1].table_shares) > 0 and "times" in str(rows[-1])


def test_nobody_is_killed_where_the_release_says_so():
    world = play(Parameters(pilots=2, proxies=5, servers=3), Release(killed=Killed.NONE, watched=SECOND), 1)
    assert all(pilot.starts == 0 and pilot.alive for pilot in world.pilots)
