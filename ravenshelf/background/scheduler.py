"""Runs background jobs on the event loop, slice by slice, after the control cycles that are due."""

import time
from collections.abc import Callable, Generator, Iterator

from ravenshelf import log_events
from ravenshelf.background.decisions import Job, JobQueue, Priority
from ravenshelf.state.counters import Counters

RETRY_AFTER_CYCLE = 500  # microseconds until a turn that gave way to a control cycle is tried again
NANOSECONDS_PER_MICROSECOND = 1000


class BackgroundScheduler:
    """`wake_at(time)` has `run_turn` called at that time; `cycle_is_due()` tells whether a control cycle
    waits."""

    def __init__(
        self,
        queue: JobQueue,
        clock: Callable[[], int],
        wake_at: Callable[[int], None],
        cycle_is_due: Callable[[], bool],
        counters: Counters,
    ) -> None:
        self.queue = queue
        self.clock = clock
        self.wake_at = wake_at
        self.cycle_is_due = cycle_is_due
        self.counters = counters

    def replace_queue(self, queue: JobQueue) -> None:
        """Use a queue with other limits; the jobs move to it."""
        queue.jobs = self.queue.jobs
        self.queue = queue

    def offer(
        self,
        name: str,
        priority: Priority,
        within: int,
        steps: Iterator[None],
        dropped: Callable[[], None] | None = None,
        is_perishable: bool = False,
    ) -> None:
        """Queue a job with a deadline `within` microseconds; `dropped` is called if it never will be
        completed."""
        now = self.clock()
        offered = Job(name, priority, now + within, steps, dropped, is_perishable)
        for job in self.queue.offer(offered, now):
            self._drop(job)
        self._schedule(now)

    def cancel(self, name: str) -> None:
        """Drop the jobs of a name."""
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
        """Run slices until the turn's time is used or a control cycle is due."""
        now = self.clock()
        for job in self.queue.remove_expired(now):
            self._drop(job)
        time_left = self.queue.budget.allowed(now)
        is_first = True
        while time_left > 0 and not self.cycle_is_due():
            next_job = self.queue.next_job(self.clock(), time_left, is_first)
            if next_job is None:
                break
            time_left -= self._run_slice(next_job)
            is_first = False
        self.counters["background_turns"] += 1
        if not self.cycle_is_due():
            self._schedule(self.clock())
            return
        self.counters["background_gave_way"] += 1
        if len(self.queue):
            self.wake_at(self.clock() + RETRY_AFTER_CYCLE)

    def _run_slice(self, job: Job) -> int:
        """Run one slice and return its duration."""
        started_ns = time.perf_counter_ns()
        is_complete = False
        try:
            next(job.steps)
        except StopIteration:
            is_complete = True
        except Exception as error:  # one job that fails must not end the others
            is_complete = True
            self.counters["background_failed"] += 1
            log_events.JOB_FAILED.with_traceback(error, job=job.name)
        duration = (time.perf_counter_ns() - started_ns) // NANOSECONDS_PER_MICROSECOND
        self.counters["background_us"] += duration
        self.counters.record_maximum("background_slice_most_us", duration)
        self.queue.slice_done(job, duration, self.clock(), is_complete)
        return duration

    def _schedule(self, now: int) -> None:
        ready_at = self.queue.ready_at(now)
        if ready_at is not None:
            self.wake_at(ready_at)
