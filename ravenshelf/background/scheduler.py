"""Gives background jobs their turns on the loop, slice by slice, behind the rounds of table lines."""

import time
from collections.abc import Callable, Iterator

from ravenshelf import log_events
from ravenshelf.background.decisions import PRIORITIES, Job, JobQueue
from ravenshelf.state.counters import Counters

AFTER_ROUND = 500  # a turn that gave way to a round looks again so much later


class Background:
    """`wake(at)` has `turn` called then; `round_due()` says whether table lines wait."""

    def __init__(
        self,
        agenda: JobQueue,
        clock: Callable[[], int],
        wake: Callable[[int], None],
        round_due: Callable[[], bool],
        counters: Counters,
    ):
        self.agenda, self.clock, self.wake, self.round_due = agenda, clock, wake, round_due
        self.counters = counters

    def offer(
        self,
        name: str,
        priority: int,
        within: int,
        slices: Iterator[None],
        dropped: Callable[[], None] | None = None,
        perishable: bool = False,
    ) -> None:
        """`slices` is run to its end, a step at a time; `dropped` is told where it never will be."""
        now = self.clock()
        for job in self.agenda.offer(Job(name, priority, now + within, (slices, dropped), perishable), now):
            self._drop(job)
        self._arm(now)

    def cancel(self, name: str) -> None:
        for job in self.agenda.cancel(name):
            self._drop(job)

    def _drop(self, job: Job) -> None:
        slices, dropped = job.work
        getattr(slices, "close", lambda: None)()
        self.counters["background_dropped"] += 1
        log_events.JOB_DROPPED(job=job.name, priority=PRIORITIES[job.priority])
        if dropped is not None:
            dropped()

    def turn(self) -> None:
        now = self.clock()
        for job in self.agenda.perished(now):
            self._drop(job)
        left, first = self.agenda.allowed(now), True
        while left > 0 and not self.round_due():
            job = self.agenda.next(self.clock(), left, first)
            if job is None:
                break
            took = self._slice(job)
            left, first = left - took, False
        self.counters["background_turns"] += 1
        if self.round_due():
            self.counters["background_gave_way"] += 1
            if len(self.agenda):
                self.wake(self.clock() + AFTER_ROUND)
        else:
            self._arm(self.clock())

    def _slice(self, job: Job) -> int:
        began, done = time.perf_counter_ns(), False
        try:
            next(job.work[0])
        except StopIteration:
            done = True
        except Exception as why:  # one job that fails must not end the others
            done = True
            self.counters["background_failed"] += 1
            log_events.JOB_FAILED.with_traceback(why, job=job.name)
        took = (time.perf_counter_ns() - began) // 1000
        self.counters["background_us"] += took
        self.counters.record_maximum("background_slice_most_us", took)
        self.agenda.spent(job, took, self.clock(), done)
        return took

    def _arm(self, now: int) -> None:
        at = self.agenda.ready_at(now)
        if at is not None:
            self.wake(at)
