"""Decisions about background jobs: which one runs next, how long, and which ones are dropped.

Nothing here performs I/O. The caller passes in the time; all times are microseconds. Control cycles are not
jobs: the scheduler runs no slice while one is due.
"""

import enum
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ravenshelf.time_units import SECOND

ESTIMATE_GAIN = 0.2  # Weight, from 0 to 1, of the latest slice in the estimated slice duration of a job.
# A turn starts only when the budget has this share of the turn duration. Otherwise the same work would run in
# many short turns, which cost more time than a few long ones.
MIN_TURN_SHARE = 0.5
MAX_SAVED_SECONDS = 0.25  # Unused budget can be saved up to the budget of this many seconds.


class Priority(enum.IntEnum):
    """Priority of a job; the lowest value is the most urgent.

    Attributes:
        SIGNAL: Values that the controller uses, such as host loads.
        PRESENT: Current metrics.
        BACKFILL: Metrics of earlier intervals.
        UPKEEP: Maintenance, such as reading a changed file.
    """

    SIGNAL = 0
    PRESENT = 1
    BACKFILL = 2
    UPKEEP = 3


@dataclass(slots=True, eq=False)
class Job:
    """Background job that runs one step of `steps` per slice.

    `on_dropped` is called if the job is dropped before it is complete. A perishable job is of no use after
    its deadline and is dropped then.
    """

    name: str
    priority: Priority
    deadline: int
    steps: Iterator[None]
    on_dropped: Callable[[], None] | None = None
    is_perishable: bool = False
    # Time at which the job was queued or, after its first slice, at which its latest slice ended.
    waiting_since: int = 0
    arrival_number: int = 0  # Position of the job in the order of arrival.


class TimeBudget:
    """Token bucket of the event loop's time for jobs.

    `time_per_second` is added in each second; a turn may use up to `turn_duration`.
    """

    def __init__(self, turn_duration: int, time_per_second: int) -> None:
        self.turn_duration = turn_duration
        self.time_per_second = time_per_second
        # Unused time in microseconds; below 0 after a slice that exceeded the budget.
        self.balance = float(turn_duration)
        self.refilled_at: int | None = None

    def _refill(self, now: int) -> None:
        if self.refilled_at is None:
            self.refilled_at = now
            return
        if now > self.refilled_at:
            limit = float(max(self.turn_duration, int(self.time_per_second * MAX_SAVED_SECONDS)))
            refill = self.time_per_second * (now - self.refilled_at) / SECOND
            self.balance = min(limit, self.balance + refill)
            self.refilled_at = now

    def turn_allowance(self, now: int) -> int:
        """Return how long a turn that starts at `now` may run; 0 if the budget does not allow a turn."""
        self._refill(now)
        if self.balance < MIN_TURN_SHARE * self.turn_duration:
            return 0
        return min(self.turn_duration, int(self.balance))

    def next_allowance_at(self, now: int) -> int:
        """Return the earliest time at which the budget allows a turn."""
        self._refill(now)
        deficit = MIN_TURN_SHARE * self.turn_duration - self.balance
        if deficit <= 0:
            return now
        return now + int(deficit * SECOND / self.time_per_second) + 1

    def spend(self, duration: int, now: int) -> None:
        """Charge the duration of a slice; an excess over the budget delays and shortens later turns."""
        self._refill(now)
        self.balance -= duration


class JobQueue:
    """Queue of at most `max_jobs` jobs.

    A job's priority rises by one level for each `ageing_interval` that it has waited, so that a steady stream
    of more urgent jobs cannot starve it.
    """

    def __init__(self, max_jobs: int, turn_duration: int, time_per_second: int, ageing_interval: int) -> None:
        self.max_jobs = max_jobs
        self.budget = TimeBudget(turn_duration, time_per_second)
        self.ageing_interval = ageing_interval
        self.jobs: list[Job] = []
        # Estimated slice duration in microseconds, by the job's name.
        self.slice_estimates: dict[str, float] = {}
        self.last_arrival_number = 0

    def __len__(self) -> int:
        return len(self.jobs)

    def next_turn_at(self, now: int) -> int | None:
        """Return the earliest time of the next turn, or None if no job is queued."""
        return self.budget.next_allowance_at(now) if self.jobs else None

    def record_slice(self, job: Job, duration: int, now: int, is_complete: bool) -> None:
        """Charge a slice of a queued job to the budget and remove the job if it is complete."""
        self.budget.spend(duration, now)
        estimate = self.slice_estimates.get(job.name, duration)
        self.slice_estimates[job.name] = (1 - ESTIMATE_GAIN) * estimate + ESTIMATE_GAIN * duration
        job.waiting_since = now
        if is_complete:
            self.jobs.remove(job)

    def _run_rank(self, job: Job, now: int) -> tuple[int, int, int]:
        """Return the sort key for running, lowest first: priority after ageing, deadline, arrival."""
        priority_gain = max(0, now - job.waiting_since) // self.ageing_interval
        return max(Priority.SIGNAL, job.priority - priority_gain), job.deadline, job.arrival_number

    def next_job(self, now: int, time_left: int, is_first: bool) -> Job | None:
        """Return the job whose slice runs next, or None if no job is queued or its slice would not fit.

        Args:
            now: The time.
            time_left: The rest of the turn; the estimated duration of the slice must not exceed it.
            is_first: Whether this is the first slice of the turn, which runs whatever its estimate: a slice
                longer than a turn would otherwise never run.
        """
        if not self.jobs:
            return None
        most_urgent = min(self.jobs, key=lambda job: self._run_rank(job, now))
        if is_first or self.slice_estimates.get(most_urgent.name, 0) <= time_left:
            return most_urgent
        return None

    @staticmethod
    def _drop_rank(job: Job, now: int) -> tuple[bool, int, int, int]:
        """Return the sort key for dropping, highest first: expired, least urgent, latest deadline, newest."""
        return job.is_perishable and job.deadline < now, job.priority, job.deadline, job.arrival_number

    def offer(self, job: Job, now: int) -> list[Job]:
        """Add a job; return the jobs that were dropped from the queue, which may include the new job.

        Expired jobs are dropped in any case, and one more if the queue is still over `max_jobs`.
        """
        self.last_arrival_number += 1
        job.waiting_since = now
        job.arrival_number = self.last_arrival_number
        self.jobs.append(job)
        dropped_jobs = self.remove_expired(now)
        if len(self.jobs) > self.max_jobs:
            least_valuable = max(self.jobs, key=lambda queued_job: self._drop_rank(queued_job, now))
            self.jobs.remove(least_valuable)
            dropped_jobs.append(least_valuable)
        return dropped_jobs

    def remove_expired(self, now: int) -> list[Job]:
        """Remove and return the perishable jobs whose deadline has passed."""
        expired_jobs = [job for job in self.jobs if job.is_perishable and job.deadline < now]
        if expired_jobs:
            self.jobs = [job for job in self.jobs if job not in expired_jobs]
        return expired_jobs

    def cancel(self, name: str) -> list[Job]:
        """Remove and return the jobs with this name."""
        cancelled_jobs = [job for job in self.jobs if job.name == name]
        self.jobs = [job for job in self.jobs if job.name != name]
        return cancelled_jobs
