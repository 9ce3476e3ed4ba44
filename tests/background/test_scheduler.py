"""Scheduling of background jobs on the event loop.

Control cycles run first, and a job that fails or is dropped does not affect other jobs.
"""

import pytest

from ravenshelf.background.decisions import JobQueue, Priority
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.state.counters import Counters
from ravenshelf.time_units import SECOND


class SchedulerHarness:
    """Scheduler whose clock and due control cycles the test controls."""

    def __init__(self, max_jobs=8, turn_duration=1000):
        self.now, self.wake_times, self.is_cycle_due, self.counters = 0, [], False, Counters()
        self.scheduler = BackgroundScheduler(
            JobQueue(max_jobs, turn_duration, 100_000, SECOND),
            lambda: self.now,
            self.wake_times.append,
            lambda: self.is_cycle_due,
            self.counters,
        )


def record_steps(completed_steps, count, after_step=lambda: None):
    for step in range(count):
        completed_steps.append(step)
        after_step()
        yield


def test_a_turn_gives_way_to_a_control_cycle_and_continues_afterwards():
    harness, completed_steps = SchedulerHarness(turn_duration=20_000), []

    def make_cycle_due():
        harness.is_cycle_due = len(completed_steps) == 3

    harness.scheduler.offer(
        "metrics", Priority.PRESENT, SECOND, record_steps(completed_steps, 100, make_cycle_due)
    )
    harness.scheduler.run_turn()
    # No further slice runs once a control cycle is due.
    assert len(completed_steps) == 3 and harness.wake_times[-1] > harness.now
    harness.scheduler.run_turn()
    assert len(completed_steps) == 3
    harness.is_cycle_due = False
    while len(harness.scheduler.queue):
        harness.now += 10_000
        harness.scheduler.run_turn()
    assert len(completed_steps) == 100


def test_a_failing_job_is_counted_and_does_not_stop_other_jobs():
    harness, completed_steps = SchedulerHarness(turn_duration=20_000), []
    harness.scheduler.offer("bad", Priority.SIGNAL, SECOND, (1 / 0 for _ in range(1)))
    harness.scheduler.offer("good", Priority.PRESENT, SECOND, record_steps(completed_steps, 2))
    for _ in range(5):
        harness.now += 100_000
        harness.scheduler.run_turn()
    assert completed_steps == [0, 1] and harness.counters["background_failed"] == 1


@pytest.mark.parametrize("reason", ["cancelled", "expired", "crowded out"])
def test_the_owner_of_a_dropped_job_is_notified(reason):
    harness, notifications = SchedulerHarness(max_jobs=1), []
    harness.scheduler.offer(
        "mine",
        Priority.PRESENT,
        1000,
        record_steps([], 1),
        lambda: notifications.append(reason),
        is_perishable=True,
    )
    if reason == "cancelled":
        harness.scheduler.cancel("mine")
    elif reason == "expired":
        harness.now = 5000
        harness.scheduler.run_turn()
    else:
        harness.scheduler.offer("other", Priority.SIGNAL, 1000, record_steps([], 1))
    assert notifications == [reason]
