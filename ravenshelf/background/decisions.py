"""Which background job runs next, how much of the event loop's time it gets, and which jobs are dropped.

No I/O; the clock is passed in, times are microseconds. Control cycles are no jobs: the scheduler lets them go
first.
"""

import enum
from collections.abc import Callable, Iterator
from dataclasses import dataclass

SECOND = 1_000_000  # microseconds
ESTIMATE_GAIN = 0.2  # weight of a new slice in the estimated duration of a job's slices
MIN_TURN_SHARE = 0.5  # of a turn's budget has to be available: many short turns would cost more
MAX_SAVED_SECONDS = 0.25  # of the budget of a second


class Priority(enum.IntEnum):
    """The most urgent is the lowest."""

    SIGNAL = 0
    PRESENT = 1
    BACKFILL = 2
    UPKEEP = 3


@dataclass(slots=True, eq=False)
class Job:
    """A job: `steps` is run a slice at a time; `on_dropped` is called if it never will be completed.

    A perishable job is of no use after its deadline.
    """

    name: str
    priority: Priority
    deadline: int
    steps: Iterator[None]
    on_dropped: Callable[[], None] | None = None
    is_perishable: bool = False
    waiting_since: int = 0
    number: int = 0  # in the order of arrival


class TimeBudget:
    """The event loop's time for jobs: `turn` at a stretch, `per_second` in each second."""

    def __init__(self, turn_duration: int, time_per_second: int) -> None:
        self.turn_duration = turn_duration
        self.time_per_second = time_per_second
        self.available = float(turn_duration)  # below 0 after a slice that took more
        self.refilled_at: int | None = None

    def _refill(self, now: int) -> None:
        if self.refilled_at is None:
            self.refilled_at = now
            return
        if now > self.refilled_at:
            limit = float(max(self.turn_duration, int(self.time_per_second * MAX_SAVED_SECONDS)))
            earned = self.time_per_second * (now - self.refilled_at) / SECOND
            self.available = min(limit, self.available + earned)
            self.refilled_at = now

    def allowed(self, now: int) -> int:
        """Return the time that a turn may take now; 0 where the budget is spent."""
        self._refill(now)
        if self.available < MIN_TURN_SHARE * self.turn_duration:
            return 0
        return min(self.turn_duration, int(self.available))

    def available_at(self, now: int) -> int:
        """Return when a turn may start."""
        self._refill(now)
        missing = MIN_TURN_SHARE * self.turn_duration - self.available
        if missing <= 0:
            return now
        return now + int(missing * SECOND / self.time_per_second) + 1

    def spend(self, duration: int, now: int) -> None:
        """A slice has run; what it took beyond the budget is missing in later turns."""
        self._refill(now)
        self.available -= duration


class JobQueue:
    """At most `max_jobs` jobs; a job that waits for `ageing` counts as one priority more urgent."""

    def __init__(self, max_jobs: int, turn_duration: int, time_per_second: int, ageing_interval: int) -> None:
        self.max_jobs = max_jobs
        self.budget = TimeBudget(turn_duration, time_per_second)
        self.ageing_interval = ageing_interval
        self.jobs: list[Job] = []
        self.slice_estimates: dict[str, float] = {}  # microseconds, by the job's name
        self.last_number = 0

    def __len__(self) -> int:
        return len(self.jobs)

    def ready_at(self, now: int) -> int | None:
        """Return when a turn may start, or None where there is nothing to do."""
        return self.budget.available_at(now) if self.jobs else None

    def slice_done(self, job: Job, duration: int, now: int, is_complete: bool) -> None:
        """A slice of the job has run."""
        self.budget.spend(duration, now)
        estimate = self.slice_estimates.get(job.name, duration)
        self.slice_estimates[job.name] = (1 - ESTIMATE_GAIN) * estimate + ESTIMATE_GAIN * duration
        job.waiting_since = now
        if is_complete:
            self.jobs.remove(job)

    # --- order ---

    def _rank(self, job: Job, now: int) -> tuple[int, int, int]:
        """The lowest runs first: the priority after ageing, then the earliest deadline."""
        gained = max(0, now - job.waiting_since) // self.ageing_interval
        return max(Priority.SIGNAL, job.priority - gained), job.deadline, job.number

    def next_job(self, now: int, time_left: int, is_first: bool) -> Job | None:
        """Return the job whose slice is to run, if it is estimated to fit into the time that is left.

        As the first of a turn a slice runs whatever its estimate: otherwise it would wait for ever.
        """
        if not self.jobs:
            return None
        best = min(self.jobs, key=lambda job: self._rank(job, now))
        if is_first or self.slice_estimates.get(best.name, 0) <= time_left:
            return best
        return None

    # --- dropped jobs ---

    @staticmethod
    def _drop_rank(job: Job, now: int) -> tuple[bool, int, int, int]:
        """The highest is dropped first: expired, then the least urgent, the latest, the newest."""
        return job.is_perishable and job.deadline < now, job.priority, job.deadline, job.number

    def offer(self, job: Job, now: int) -> list[Job]:
        """Add a job; return those that are dropped for it, which may include itself."""
        self.last_number += 1
        job.waiting_since = now
        job.number = self.last_number
        self.jobs.append(job)
        dropped = self.remove_expired(now)
        if len(self.jobs) > self.max_jobs:
            least_valuable = max(self.jobs, key=lambda queued: self._drop_rank(queued, now))
            self.jobs.remove(least_valuable)
            dropped.append(least_valuable)
        return dropped

    def remove_expired(self, now: int) -> list[Job]:
        """Remove and return the perishable jobs whose deadline has passed."""
        expired = [job for job in self.jobs if job.is_perishable and job.deadline < now]
        if expired:
            self.jobs = [job for job in self.jobs if job not in expired]
        return expired

    def cancel(self, name: str) -> list[Job]:
        """Remove and return the jobs of a name."""
        cancelled = [job for job in self.jobs if job.name == name]
        self.jobs = [job for job in self.jobs if job.name != name]
        return cancelled
