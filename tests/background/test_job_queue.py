"""Which background job runs next, and which is dropped."""

from ravenshelf.background.decisions import SECOND, Job, JobQueue, Priority


def job(name, priority=Priority.PRESENT, deadline=SECOND, is_perishable=False):
    return Job(name, priority, deadline, iter(()), is_perishable=is_perishable)


def job_queue(max_jobs=8, turn_duration=1000, time_per_second=100_000, ageing_interval=SECOND):
    return JobQueue(max_jobs, turn_duration, time_per_second, ageing_interval)


def run_order(queue, now=0):
    names = []
    while (best := queue.next_job(now, 10**6, True)) is not None:
        names.append(best.name)
        queue.record_slice(best, 0, now, True)
    return names


def test_jobs_run_by_priority_then_earliest_deadline_then_arrival():
    queue = job_queue()
    for offered in (
        job("upkeep", Priority.UPKEEP, 1),
        job("late", deadline=9),
        job("soon", deadline=5),
        job("soon2", deadline=5),
        job("signal", Priority.SIGNAL, 99),
    ):
        queue.offer(offered, 0)
    assert run_order(queue) == ["signal", "soon", "soon2", "late", "upkeep"]


def test_a_job_that_waits_long_becomes_more_urgent_until_it_has_run():
    queue = job_queue(ageing_interval=SECOND)
    old = job("upkeep", Priority.UPKEEP, 0)
    queue.offer(old, 0)
    queue.offer(job("present", Priority.PRESENT, 10 * SECOND), 3 * SECOND)
    # else a steady stream of present work would starve it
    assert queue.next_job(3 * SECOND, 1000, True) is old
    queue.record_slice(old, 10, 3 * SECOND, False)
    assert queue.next_job(3 * SECOND, 1000, True).name == "present"


def test_a_full_queue_drops_expired_jobs_then_the_least_urgent():
    queue = job_queue(max_jobs=2)
    queue.offer(job("perishable", Priority.SIGNAL, 5, True), 0)
    queue.offer(job("upkeep", Priority.UPKEEP), 0)
    assert [j.name for j in queue.offer(job("present"), 10)] == ["perishable"]
    assert [j.name for j in queue.offer(job("signal", Priority.SIGNAL), 10)] == ["upkeep"]
    # the offered job itself is the least urgent
    assert [j.name for j in queue.offer(job("backfill", Priority.BACKFILL), 10)] == ["backfill"]


def test_the_budget_of_a_second_holds_and_what_was_overspent_is_paid():
    queue = job_queue(turn_duration=1000, time_per_second=10_000)
    queue.offer(job("long"), 0)
    assert queue.budget.turn_allowance(0) == 1000
    queue.record_slice(queue.jobs[0], 6000, 0, False)
    assert queue.budget.turn_allowance(0) == 0
    next_turn_at = queue.next_turn_at(0)
    assert 540_000 <= next_turn_at <= 560_000  # 5,500 microseconds are missing at 10,000 a second
    assert (
        queue.budget.turn_allowance(next_turn_at - 2000) == 0
        and queue.budget.turn_allowance(next_turn_at) > 0
    )


def test_a_long_slice_waits_for_a_turn_of_its_own():
    queue = job_queue(turn_duration=1000)
    big = job("big")
    queue.offer(big, 0)
    queue.slice_estimates["big"] = 900
    assert queue.next_job(0, 500, False) is None and queue.next_job(0, 500, True) is big
