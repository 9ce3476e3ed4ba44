"""Scheduler that runs background jobs on the event loop in slices, after the control cycles that are due."""

import time
from collections.abc import Callable, Generator, Iterator

from ravenshelf import log_events
from ravenshelf.background.decisions import Job, JobQueue, Priority
from ravenshelf.state.counters import Counters

# Delay, in microseconds, after which a turn that gave way to a control cycle is retried.
RETRY_AFTER_CYCLE = 500
NANOSECONDS_PER_MICROSECOND = 1000


class BackgroundScheduler:
    """Scheduler of the event loop's background jobs.

    The scheduler calls `wake_at(time)` to have `run_turn` called at that time. `is_cycle_due` returns whether
    a control cycle is due; no slice is started then. Times are microseconds.
    """

    def __init__(
        self,
        queue: JobQueue,
        clock: Callable[[], int],
        wake_at: Callable[[int], None],
        is_cycle_due: Callable[[], bool],
        counters: Counters,
    ) -> None:
        self.queue = queue
        self.clock = clock
        self.wake_at = wake_at
        self.is_cycle_due = is_cycle_due
        self.counters = counters

    def replace_queue(self, queue: JobQueue) -> None:
        """Replace the queue by an empty one with other limits; the queued jobs move to it."""
        queue.jobs = self.queue.jobs
        self.queue = queue

    def offer(
        self,
        name: str,
        priority: Priority,
        time_limit: int,
        steps: Iterator[None],
        on_dropped: Callable[[], None] | None = None,
        is_perishable: bool = False,
    ) -> None:
        """Queue a job.

        Args:
            name: The job's name; slice durations are estimated by name, and `cancel` uses it.
            priority: The job's priority.
            time_limit: The time until the job's deadline, in microseconds.
            steps: The job's work; each step runs as one slice.
            on_dropped: Called if the job is dropped before it is complete, which may be during this call.
            is_perishable: Whether the job is dropped at its deadline.
        """
        now = self.clock()
        offered_job = Job(name, priority, now + time_limit, steps, on_dropped, is_perishable)
        for job in self.queue.offer(offered_job, now):
            self._drop(job)
        self._schedule(now)

    def cancel(self, name: str) -> None:
        """Drop the queued jobs with this name."""
        for job in self.queue.cancel(name):
            self._drop(job)

    def _drop(self, job: Job) -> None:
        if isinstance(job.steps, Generator):
            job.steps.close()
        self.counters["background_dropped"] += 1
        log_events.JOB_DROPPED(job=job.name, priority=job.priority.name.lower())
        if job.on_dropped is not None:
            job.on_dropped()

    def run_turn(self) -> None:
        """Run slices until the turn's time is used, no job is left or a control cycle is due."""
        now = self.clock()
        for job in self.queue.remove_expired(now):
            self._drop(job)
        time_left = self.queue.budget.turn_allowance(now)
        is_first = True
        while time_left > 0 and not self.is_cycle_due():
            next_job = self.queue.next_job(self.clock(), time_left, is_first)
            if next_job is None:
                break
            time_left -= self._run_slice(next_job)
            is_first = False
        self.counters["background_turns"] += 1
        if not self.is_cycle_due():
            self._schedule(self.clock())
            return
        self.counters["background_gave_way"] += 1
        if len(self.queue):
            self.wake_at(self.clock() + RETRY_AFTER_CYCLE)

    def _run_slice(self, job: Job) -> int:
        """Run one slice and return its duration in microseconds."""
        started_ns = time.perf_counter_ns()
        is_complete = False
        try:
            next(job.steps)
        except StopIteration:
            is_complete = True
        except Exception as error:  # A job that fails must not stop the other jobs.
            is_complete = True
            self.counters["background_failed"] += 1
            log_events.JOB_FAILED.with_traceback(error, job=job.name)
        duration = (time.perf_counter_ns() - started_ns) // NANOSECONDS_PER_MICROSECOND
        self.counters["background_us"] += duration
        self.counters.record_maximum("background_slice_most_us", duration)
        self.queue.record_slice(job, duration, self.clock(), is_complete)
        return duration

    def _schedule(self, now: int) -> None:
        next_turn_at = self.queue.next_turn_at(now)
        if next_turn_at is not None:
            self.wake_at(next_turn_at)
