"""Order in which background jobs run, and which of them are dropped."""

from ravenshelf.background.decisions import Job, JobQueue, Priority
from ravenshelf.time_units import SECOND


def make_job(name, priority=Priority.PRESENT, deadline=SECOND, is_perishable=False):
    return Job(name, priority, deadline, iter(()), is_perishable=is_perishable)


def make_queue(max_jobs=8, turn_duration=1000, time_per_second=100_000, ageing_interval=SECOND):
    return JobQueue(max_jobs, turn_duration, time_per_second, ageing_interval)


def complete_all(queue, now=0):
    """Complete all jobs and return their names in the order of running."""
    names = []
    while (urgent_job := queue.next_job(now, 10**6, True)) is not None:
        names.append(urgent_job.name)
        queue.record_slice(urgent_job, 0, now, True)
    return names


def test_jobs_run_by_priority_then_earliest_deadline_then_arrival():
    queue = make_queue()
    for new_job in (
        make_job("upkeep", Priority.UPKEEP, 1),
        make_job("late", deadline=9),
        make_job("soon", deadline=5),
        make_job("soon2", deadline=5),
        make_job("signal", Priority.SIGNAL, 99),
    ):
        queue.offer(new_job, 0)
    assert complete_all(queue) == ["signal", "soon", "soon2", "late", "upkeep"]


def test_a_waiting_job_becomes_more_urgent_until_it_has_run():
    """Without ageing, a steady stream of more urgent jobs would starve it."""
    queue = make_queue(ageing_interval=SECOND)
    waiting_job = make_job("upkeep", Priority.UPKEEP, 0)
    queue.offer(waiting_job, 0)
    queue.offer(make_job("present", Priority.PRESENT, 10 * SECOND), 3 * SECOND)
    assert queue.next_job(3 * SECOND, 1000, True) is waiting_job
    queue.record_slice(waiting_job, 10, 3 * SECOND, False)
    assert queue.next_job(3 * SECOND, 1000, True).name == "present"


def test_a_full_queue_drops_expired_jobs_then_the_least_urgent():
    queue = make_queue(max_jobs=2)
    queue.offer(make_job("perishable", Priority.SIGNAL, 5, True), 0)
    queue.offer(make_job("upkeep", Priority.UPKEEP), 0)
    assert [dropped.name for dropped in queue.offer(make_job("present"), 10)] == ["perishable"]
    assert [dropped.name for dropped in queue.offer(make_job("signal", Priority.SIGNAL), 10)] == ["upkeep"]
    # Here the offered job itself is the least urgent.
    assert [dropped.name for dropped in queue.offer(make_job("backfill", Priority.BACKFILL), 10)] == [
        "backfill"
    ]


def test_a_slice_that_exceeds_the_budget_per_second_delays_the_next_turn():
    queue = make_queue(turn_duration=1000, time_per_second=10_000)
    queue.offer(make_job("long"), 0)
    assert queue.budget.turn_allowance(0) == 1000
    queue.record_slice(queue.jobs[0], 6000, 0, False)
    assert queue.budget.turn_allowance(0) == 0
    next_turn_at = queue.next_turn_at(0)
    # The budget lacks 5,500 microseconds and is refilled at 10,000 per second.
    assert 540_000 <= next_turn_at <= 560_000
    assert (
        queue.budget.turn_allowance(next_turn_at - 2000) == 0
        and queue.budget.turn_allowance(next_turn_at) > 0
    )


def test_a_slice_that_does_not_fit_into_the_rest_of_a_turn_runs_first_in_a_later_one():
    queue = make_queue(turn_duration=1000)
    long_job = make_job("big")
    queue.offer(long_job, 0)
    queue.slice_estimates["big"] = 900
    assert queue.next_job(0, 500, False) is None and queue.next_job(0, 500, True) is long_job
