"""The lease rules proved within bounds, and whole members compared with the checker.

`find_counterexample`: two candidates X and Y for one shard, three voters, real time, clocks that run apart;
z3 looks for times at which X still relies on its lease after Y's first order. The schedules are seeded days
of faults in simulated time.
"""

import argparse
import time
from collections.abc import Iterable
from multiprocessing import Pool
from typing import Any, NamedTuple

import z3

from benchmarks.measuring import close, quantile
from standins.controllers import Defect, SimulatedCluster
from standins.histories import Rule, check, takeover_times

VOTERS = 3
MODEL_DEFECTS = (None, Defect.DRIFT_IGNORED, Defect.NO_QUIET_PERIOD, Defect.QUORUM_OF_ONE)
CLOCK_DRIFT = "1/20"
EXTREME_DRIFT = 0.2  # with which an ignored drift shows
TAKEOVER_LIMIT_S = 6.0
DEFECT_DAYS = 600  # on one of which the checker must see a defect
SHORT_DAYS = ((3, 300), (5, 80), (7, 20))  # members, days
FULL_DAYS = ((3, 7000), (5, 2400), (7, 600))


class VoterModel:
    """What one voter may do, each at most once: grant X, renew for X, restart, grant Y."""

    def __init__(self, number: int) -> None:
        self.clock_rate = z3.Real(f"rate_{number}")
        self.granted_x = z3.Bool(f"granted_{number}")
        self.renewed_x = z3.Bool(f"renewed_{number}")
        self.restarted = z3.Bool(f"restarted_{number}")
        self.granted_y = z3.Bool(f"granted_y_{number}")
        self.granted_x_at = z3.Real(f"at_granted_{number}")
        self.renewed_x_at = z3.Real(f"at_renewed_{number}")
        self.restarted_at = z3.Real(f"at_start_{number}")
        self.granted_y_at = z3.Real(f"at_y_{number}")

    def rules(
        self,
        request_x: z3.ArithRef,
        renewal_x: z3.ArithRef,
        order_y: z3.ArithRef,
        lease: z3.ArithRef,
        quiet: z3.ArithRef,
    ) -> list[z3.BoolRef]:
        """What the voter's code guarantees."""
        return [
            self.granted_x_at >= request_x,
            self.renewed_x_at >= renewal_x,
            self.renewed_x_at >= self.granted_x_at,
            z3.Implies(self.renewed_x, self.granted_x),
            *self._rules_of_memory(lease, quiet),
            # once it has promised Y's later term it neither grants nor renews for X
            z3.Implies(z3.And(self.granted_y, self.granted_x), self.granted_x_at <= self.granted_y_at),
            z3.Implies(z3.And(self.granted_y, self.renewed_x), self.renewed_x_at <= self.granted_y_at),
            z3.Implies(self.granted_y, order_y >= self.granted_y_at),
        ]

    def _rules_of_memory(self, lease: z3.ArithRef, quiet: z3.ArithRef) -> list[z3.BoolRef]:
        """It grants Y only when, by its own clock, its grant to X is over, or its quiet period after a
        start.
        """
        has_forgotten = z3.And(self.restarted, self.restarted_at <= self.granted_y_at)

        def remembers(happened: z3.BoolRef, at: z3.ArithRef) -> z3.BoolRef:
            is_forgotten = z3.And(has_forgotten, self.restarted_at > at)
            return z3.And(happened, at <= self.granted_y_at, z3.Not(is_forgotten))

        def waits(cause: z3.BoolRef, since: z3.ArithRef, duration: z3.ArithRef) -> z3.BoolRef:
            elapsed = self.clock_rate * (self.granted_y_at - since)
            return z3.Implies(z3.And(self.granted_y, cause), elapsed >= duration)

        return [
            waits(remembers(self.granted_x, self.granted_x_at), self.granted_x_at, lease),
            waits(remembers(self.renewed_x, self.renewed_x_at), self.renewed_x_at, lease),
            waits(has_forgotten, self.restarted_at, quiet),
        ]


def count(conditions: Iterable[z3.BoolRef]) -> z3.ArithRef:
    """How many hold."""
    return z3.Sum([z3.If(condition, 1, 0) for condition in conditions])


def find_counterexample(defect: Defect | None = None, clock_drift: str = CLOCK_DRIFT) -> dict[str, Any]:
    """Whether X can order after Y: `found` is unsat or sat, `example` has the times of a counterexample.

    X's order relies on a quorum's grants or renewals, by its own clock. The lease is the unit of time.
    """
    one = z3.RealVal(1)
    drift = z3.RealVal(clock_drift)
    lease = one
    usable = lease if defect is Defect.DRIFT_IGNORED else lease * (one - drift) / (one + drift)
    quiet = z3.RealVal(0) if defect is Defect.NO_QUIET_PERIOD else lease * (one + drift) / (one - drift)
    quorum = 1 if defect is Defect.QUORUM_OF_ONE else VOTERS // 2 + 1
    rate_x, request_x, renewal_x, order_x, order_y = z3.Reals("rate_x ask renewal order_x order_y")
    voters = [VoterModel(number) for number in range(VOTERS)]
    solver = z3.Solver()
    for rate in (rate_x, *(voter.clock_rate for voter in voters)):
        solver.add(rate >= one - drift, rate <= one + drift)
    solver.add(request_x >= 0, renewal_x >= request_x)
    for voter in voters:
        solver.add(voter.rules(request_x, renewal_x, order_y, lease, quiet))
    granted = count(z3.And(v.granted_x, v.granted_x_at <= order_x) for v in voters)
    renewed = count(z3.And(v.renewed_x, v.renewed_x_at <= order_x) for v in voters)
    by_grant = z3.And(granted >= quorum, rate_x * (order_x - request_x) < usable)
    by_renewal = z3.And(renewed >= quorum, rate_x * (order_x - renewal_x) < usable)
    solver.add(z3.Or(by_grant, by_renewal))
    solver.add(count(voter.granted_y for voter in voters) >= quorum, order_x > order_y)
    return _solve(solver)


def _solve(solver: z3.Solver) -> dict[str, Any]:
    began = time.perf_counter()
    found = solver.check()
    example = {}
    if found == z3.sat:
        times = solver.model()
        example = {str(name): str(times[name]) for name in sorted(times.decls(), key=str)}
    return {"found": str(found), "seconds": round(time.perf_counter() - began, 2), "example": example}


class Day(NamedTuple):
    """A seeded day of a cluster."""

    seed: int
    members: int
    defect: Defect | None = None

    def cluster(self) -> SimulatedCluster:
        """The cluster; on every fourth day clocks run apart as far as they may."""
        defects = [] if self.defect is None else [self.defect]
        if self.defect is Defect.DRIFT_IGNORED:
            return SimulatedCluster(
                self.seed,
                self.members,
                defects=defects,
                has_extreme_drift=True,
                clock_drift=EXTREME_DRIFT,
            )
        return SimulatedCluster(
            self.seed, self.members, defects=defects, has_extreme_drift=self.seed % 4 == 0
        )


class DayResult(NamedTuple):
    """What a day has shown."""

    seed: int
    broken: list[Rule]
    takeover_s: list[float]


def play(day: Day) -> DayResult:
    """Plays a day and checks its history."""
    events = day.cluster().run()
    broken = [violation.rule for violation in check(events, TAKEOVER_LIMIT_S)]
    return DayResult(day.seed, broken, takeover_times(events))


def days_of(pool: Any, members: int, count_of_days: int) -> dict[str, Any]:
    """Days without a defect."""
    began = time.perf_counter()
    broken = {}
    takeover_s: list[float] = []
    days = [Day(seed, members) for seed in range(count_of_days)]
    for result in pool.imap_unordered(play, days, 16):
        takeover_s += result.takeover_s
        if result.broken:
            broken[result.seed] = result.broken[0].value
    return {
        "days": count_of_days,
        "broken": broken,
        "seconds": round(time.perf_counter() - began, 1),
        "takeovers": len(takeover_s),
        "takeover_s_p50": round(quantile(takeover_s, 0.5), 2),
    }


def first_day_of(pool: Any, defect: Defect) -> int | None:
    """The first seed with which the checker sees a defect."""
    results = pool.imap(play, [Day(seed, 3, defect) for seed in range(DEFECT_DAYS)], 8)
    return next((result.seed for result in results if result.broken), None)


def main(short: bool) -> None:
    """Prints the figures and whether the rules hold."""
    models = {
        "none" if defect is None else defect.value: find_counterexample(defect) for defect in MODEL_DEFECTS
    }
    figures: dict[str, Any] = {"model": models}
    sizes = SHORT_DAYS if short else FULL_DAYS
    with Pool() as pool:
        for members, days in sizes:
            figures[f"of_{members}"] = days_of(pool, members, days)
        first = {defect.value: first_day_of(pool, defect) for defect in Defect}
        figures["first_day_of_each_break"] = first
    is_sound = all(found["found"] == ("unsat" if name == "none" else "sat") for name, found in models.items())
    is_unbroken = not any(figures[f"of_{members}"]["broken"] for members, _ in sizes)
    close(
        "leases",
        figures,
        "no schedule breaks a rule; the model has no counterexample, and one for each break; the "
        "checker sees each break",
        is_sound and is_unbroken and None not in first.values(),
    )


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    main(options.parse_args().short)
