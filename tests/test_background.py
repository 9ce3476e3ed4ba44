"""Background work: who runs, what is dropped, and that table lines go first."""

import pytest

from ravenshelf.background.decisions import BACKFILL, PRESENT, SECOND, SIGNAL, UPKEEP, Job, JobQueue
from ravenshelf.background.scheduler import Background
from ravenshelf.state.counters import Counters


def job(name, priority=PRESENT, deadline=SECOND, perishable=False):
    return Job(name, priority, deadline, None, perishable)


def agenda(most=8, turn=1000, a_second=100_000, ageing=SECOND):
    return JobQueue(most, turn, a_second, ageing)


def order(made, now=0):
    names = []
    while (best := made.next(now, 10**6, True)) is not None:
        names.append(best.name)
        made.spent(best, 0, now, True)
    return names


def test_priority_then_earliest_deadline_then_first_come():
    made = agenda()
    for one in (
        job("upkeep", UPKEEP, 1),
        job("late", deadline=9),
        job("soon", deadline=5),
        job("soon2", deadline=5),
        job("signal", SIGNAL, 99),
    ):
        made.offer(one, 0)
    assert order(made) == ["signal", "soon", "soon2", "late", "upkeep"]


def test_what_waits_long_rises_and_falls_back_when_it_has_run():
    made = agenda(ageing=SECOND)
    old = job("upkeep", UPKEEP, 0)
    made.offer(old, 0)
    made.offer(job("present", PRESENT, 10 * SECOND), 3 * SECOND)
    assert made.next(3 * SECOND, 1000, True) is old  # else a steady stream of present work would starve it
    made.spent(old, 10, 3 * SECOND, False)
    assert made.next(3 * SECOND, 1000, True).name == "present"


def test_a_full_agenda_drops_the_perished_then_the_least_urgent():
    made = agenda(most=2)
    made.offer(job("perishable", SIGNAL, 5, True), 0)
    made.offer(job("upkeep", UPKEEP), 0)
    assert [j.name for j in made.offer(job("present"), 10)] == ["perishable"]
    assert [j.name for j in made.offer(job("signal", SIGNAL), 10)] == ["upkeep"]
    assert [j.name for j in made.offer(job("backfill", BACKFILL), 10)] == [
        "backfill"
    ]  # itself is worth least


def test_the_seconds_budget_holds_and_what_was_overspent_is_paid():
    made = agenda(turn=1000, a_second=10_000)
    made.offer(job("long"), 0)
    assert made.allowed(0) == 1000
    made.spent(made.jobs[0], 6000, 0, False)
    assert made.allowed(0) == 0
    ready = made.ready_at(0)
    assert 540_000 <= ready <= 560_000  # 5,500 microseconds are lacking at 10,000 a second
    assert made.allowed(ready - 2000) == 0 and made.allowed(ready) > 0


def test_a_long_slice_waits_for_a_turn_of_its_own():
    made = agenda(turn=1000)
    big = job("big")
    made.offer(big, 0)
    made.slice["big"] = 900
    assert made.next(0, 500, False) is None and made.next(0, 500, True) is big


class Bench:
    def __init__(self, **more):
        self.now, self.wakes, self.round, self.counters = 0, [], False, Counters()
        self.background = Background(
            agenda(**more), lambda: self.now, self.wakes.append, lambda: self.round, self.counters
        )


def steps(done, count, then=lambda: None):
    for n in range(count):
        done.append(n)
        then()
        yield


def test_a_turn_gives_way_to_a_round_and_comes_back():
    bench, done = Bench(turn=20_000), []
    bench.background.offer(
        "figures", PRESENT, SECOND, steps(done, 100, lambda: setattr(bench, "round", len(done) == 3))
    )
    bench.background.turn()
    assert len(done) == 3 and bench.wakes[-1] > bench.now  # not one slice more once table lines wait
    bench.background.turn()
    assert len(done) == 3
    bench.round = False
    while len(bench.background.agenda):
        bench.now += 10_000
        bench.background.turn()
    assert len(done) == 100


def test_one_job_that_fails_ends_alone_and_is_counted():
    bench, done = Bench(turn=20_000), []
    bench.background.offer("bad", SIGNAL, SECOND, (1 / 0 for _ in range(1)))
    bench.background.offer("good", PRESENT, SECOND, steps(done, 2))
    for _ in range(5):
        bench.now += 100_000
        bench.background.turn()
    assert done == [0, 1] and bench.counters["background_failed"] == 1


@pytest.mark.parametrize("how", ["cancelled", "perished", "crowded out"])
def test_who_offered_is_told_that_it_will_never_run(how):
    bench, told = Bench(most=1), []
    bench.background.offer("mine", PRESENT, 1000, steps([], 1), lambda: told.append(how), perishable=True)
    if how == "cancelled":
        bench.background.cancel("mine")
    elif how == "perished":
        bench.now = 5000
        bench.background.turn()
    else:
        bench.background.offer("other", SIGNAL, 1000, steps([], 1))
    assert told == [how]
