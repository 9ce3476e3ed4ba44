"""Background jobs on the event loop: control cycles go first, and a job that fails or is dropped harms no
other."""

import pytest

from ravenshelf.background.decisions import SECOND, JobQueue, Priority
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.state.counters import Counters


class SchedulerRig:
    """A scheduler with the clock and the control cycle of the test."""

    def __init__(self, max_jobs=8, turn=1000):
        self.now, self.wakes, self.is_cycle_due, self.counters = 0, [], False, Counters()
        self.scheduler = BackgroundScheduler(
            JobQueue(max_jobs, turn, 100_000, SECOND),
            lambda: self.now,
            self.wakes.append,
            lambda: self.is_cycle_due,
            self.counters,
        )


def steps(done, count, then=lambda: None):
    for n in range(count):
        done.append(n)
        then()
        yield


def test_a_turn_gives_way_to_a_control_cycle_and_continues_afterwards():
    rig, done = SchedulerRig(turn=20_000), []

    def make_cycle_due():
        rig.is_cycle_due = len(done) == 3

    rig.scheduler.offer("metrics", Priority.PRESENT, SECOND, steps(done, 100, make_cycle_due))
    rig.scheduler.run_turn()
    assert len(done) == 3 and rig.wakes[-1] > rig.now  # not one slice more once a cycle is due
    rig.scheduler.run_turn()
    assert len(done) == 3
    rig.is_cycle_due = False
    while len(rig.scheduler.queue):
        rig.now += 10_000
        rig.scheduler.run_turn()
    assert len(done) == 100


def test_a_job_that_fails_ends_alone_and_is_counted():
    rig, done = SchedulerRig(turn=20_000), []
    rig.scheduler.offer("bad", Priority.SIGNAL, SECOND, (1 / 0 for _ in range(1)))
    rig.scheduler.offer("good", Priority.PRESENT, SECOND, steps(done, 2))
    for _ in range(5):
        rig.now += 100_000
        rig.scheduler.run_turn()
    assert done == [0, 1] and rig.counters["background_failed"] == 1


@pytest.mark.parametrize("reason", ["cancelled", "expired", "crowded out"])
def test_the_owner_of_a_dropped_job_is_notified(reason):
    rig, notified = SchedulerRig(max_jobs=1), []
    rig.scheduler.offer(
        "mine", Priority.PRESENT, 1000, steps([], 1), lambda: notified.append(reason), is_perishable=True
    )
    if reason == "cancelled":
        rig.scheduler.cancel("mine")
    elif reason == "expired":
        rig.now = 5000
        rig.scheduler.run_turn()
    else:
        rig.scheduler.offer("other", Priority.SIGNAL, 1000, steps([], 1))
    assert notified == [reason]
