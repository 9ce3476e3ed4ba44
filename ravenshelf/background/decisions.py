"""Which background job runs next, how much loop time it may take, what is dropped: no I/O, the clock passed in.

Table lines are no job: whoever runs these asks first whether a round is due. Times are microseconds.
"""

from dataclasses import dataclass
from typing import Any

SIGNAL, PRESENT, BACKFILL, UPKEEP = range(4)  # priorities, the most urgent first
PRIORITIES = ("signal", "present", "backfill", "upkeep")
SECOND = 1_000_000
LEARNT = 0.2  # part of a new slice in what a job's slices are believed to take
LEAST_PART = 0.5  # of a turn must be in the budget before a turn begins: many short ones cost more


@dataclass(slots=True, eq=False)
class Job:
    """`work` is the scheduler's; a perishable job is of no use after its deadline."""

    name: str
    priority: int
    deadline: int
    work: Any
    perishable: bool = False
    came: int = 0
    waits_since: int = 0
    number: int = 0


class JobQueue:
    """`most` jobs; `turn` loop time at a stretch; `a_second` loop time in each second; `ageing` for one priority up."""

    def __init__(self, most: int, turn: int, a_second: int, ageing: int):
        self.most, self.turn, self.a_second, self.ageing = most, turn, a_second, ageing
        self.jobs: list[Job] = []
        self.slice: dict[str, float] = {}  # by name: what a slice is believed to take
        self.left, self.at, self.number = float(turn), None, 0

    def __len__(self) -> int:
        return len(self.jobs)

    # --- the budget ---

    def _refill(self, now: int) -> None:
        if self.at is not None and now > self.at:
            self.left = min(
                float(max(self.turn, self.a_second // 4)),
                self.left + self.a_second * (now - self.at) / SECOND,
            )
        self.at = now if self.at is None else max(now, self.at)

    def allowed(self, now: int) -> int:
        """Loop time that a turn may take now; 0 where the second's budget is spent."""
        self._refill(now)
        return min(self.turn, int(self.left)) if self.left >= LEAST_PART * self.turn else 0

    def ready_at(self, now: int) -> int | None:
        """When a turn may begin, or None where there is nothing to do."""
        if not self.jobs:
            return None
        self._refill(now)
        lack = LEAST_PART * self.turn - self.left
        return now if lack <= 0 else now + int(lack * SECOND / self.a_second) + 1

    def spent(self, job: Job, took: int, now: int, done: bool) -> None:
        """A slice has run; what it took beyond the budget is paid by later turns."""
        self._refill(now)
        self.left -= took
        self.slice[job.name] = (1 - LEARNT) * self.slice.get(job.name, took) + LEARNT * took
        job.waits_since = now
        if done:
            self.jobs.remove(job)

    # --- who runs ---

    def rank(self, job: Job, now: int) -> tuple[int, int, int]:
        """The least runs first: priority less what its waiting has earned, then the earliest deadline."""
        earned = max(0, now - job.waits_since) // self.ageing
        return max(SIGNAL, job.priority - earned), job.deadline, job.number

    def next(self, now: int, left: int, first: bool) -> Job | None:
        """The job whose slice is to run. One that is believed not to fit into what is left waits for a turn
        of its own, where it is let run however long its slices are (`first`): else it would wait for ever."""
        if not self.jobs:
            return None
        best = min(self.jobs, key=lambda job: self.rank(job, now))
        return best if first or self.slice.get(best.name, 0) <= left else None

    # --- who is dropped ---

    def worth(self, job: Job, now: int) -> tuple:
        """The greatest is dropped first: what has perished, then the least urgent, the latest, the newest."""
        return job.perishable and job.deadline < now, job.priority, job.deadline, job.number

    def offer(self, job: Job, now: int) -> list[Job]:
        """Takes a job in; gives what is dropped for it, which may be the job itself."""
        self.number += 1
        job.came = job.waits_since = now
        job.number = self.number
        self.jobs.append(job)
        dropped = self.perished(now)
        if len(self.jobs) > self.most:
            victim = max(self.jobs, key=lambda j: self.worth(j, now))
            self.jobs.remove(victim)
            dropped.append(victim)
        return dropped

    def perished(self, now: int) -> list[Job]:
        gone = [job for job in self.jobs if job.perishable and job.deadline < now]
        self.jobs = [job for job in self.jobs if job not in gone] if gone else self.jobs
        return gone

    def cancel(self, name: str) -> list[Job]:
        gone = [job for job in self.jobs if job.name == name]
        self.jobs = [job for job in self.jobs if job.name != name]
        return gone
