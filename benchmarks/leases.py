"""Proof of the lease rules within bounds, and checks of simulated members in seeded schedules of faults.

The model of `find_counterexample` has two candidates X and Y for one shard, three voters, and clocks that
drift apart. The solver z3 looks for times at which X still relies on its lease after the first command of Y.
The schedules are days of faults in simulated time.
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
EXTREME_DRIFT = 0.2  # large enough that a rule is violated if the drift is ignored
TAKEOVER_LIMIT_S = 6.0
DEFECT_DAYS = 600  # The checker must detect a deliberate defect on at least one of these days.
SHORT_DAYS = ((3, 300), (5, 80), (7, 20))  # pairs of the number of members and the number of days
FULL_DAYS = ((3, 7000), (5, 2400), (7, 600))


class VoterModel:
    """Model of one voter, which may grant X, renew for X, restart, and grant Y, each at most once."""

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
        command_y: z3.ArithRef,
        lease: z3.ArithRef,
        quiet_period: z3.ArithRef,
    ) -> list[z3.BoolRef]:
        """Return the conditions that the code of a voter guarantees."""
        return [
            self.granted_x_at >= request_x,
            self.renewed_x_at >= renewal_x,
            self.renewed_x_at >= self.granted_x_at,
            z3.Implies(self.renewed_x, self.granted_x),
            *self._waiting_rules(lease, quiet_period),
            # After a voter has promised Y's later term, it neither grants nor renews for X.
            z3.Implies(z3.And(self.granted_y, self.granted_x), self.granted_x_at <= self.granted_y_at),
            z3.Implies(z3.And(self.granted_y, self.renewed_x), self.renewed_x_at <= self.granted_y_at),
            z3.Implies(self.granted_y, command_y >= self.granted_y_at),
        ]

    def _waiting_rules(self, lease: z3.ArithRef, quiet_period: z3.ArithRef) -> list[z3.BoolRef]:
        """Return the conditions on the time of a grant to Y.

        By the clock of the voter, its grant to X must have expired, and its quiet period after a restart must
        be over.
        """
        has_lost_memory = z3.And(self.restarted, self.restarted_at <= self.granted_y_at)

        def is_remembered(has_happened: z3.BoolRef, happened_at: z3.ArithRef) -> z3.BoolRef:
            is_lost = z3.And(has_lost_memory, self.restarted_at > happened_at)
            return z3.And(has_happened, happened_at <= self.granted_y_at, z3.Not(is_lost))

        def must_wait(cause: z3.BoolRef, since: z3.ArithRef, duration: z3.ArithRef) -> z3.BoolRef:
            elapsed = self.clock_rate * (self.granted_y_at - since)
            return z3.Implies(z3.And(self.granted_y, cause), elapsed >= duration)

        return [
            must_wait(is_remembered(self.granted_x, self.granted_x_at), self.granted_x_at, lease),
            must_wait(is_remembered(self.renewed_x, self.renewed_x_at), self.renewed_x_at, lease),
            must_wait(has_lost_memory, self.restarted_at, quiet_period),
        ]


def count_true(conditions: Iterable[z3.BoolRef]) -> z3.ArithRef:
    """Return how many of the conditions are true."""
    return z3.Sum([z3.If(condition, 1, 0) for condition in conditions])


def find_counterexample(defect: Defect | None = None, clock_drift: str = CLOCK_DRIFT) -> dict[str, Any]:
    """Search for times at which X writes a command after the first command of Y.

    X relies on the grants or renewals of a quorum, by its own clock. The lease is the unit of time.

    Args:
        defect: Defect of the rules; None for the rules without a defect.
        clock_drift: Greatest drift of a clock, as a share of its rate.

    Returns:
        "found" is "sat" if there are such times and "unsat" if there are none, "example" has the times, and
        "seconds" is how long the search took.
    """
    unit = z3.RealVal(1)
    drift = z3.RealVal(clock_drift)
    lease = unit
    usable_lease = lease if defect is Defect.DRIFT_IGNORED else lease * (unit - drift) / (unit + drift)
    quiet_period = (
        z3.RealVal(0) if defect is Defect.NO_QUIET_PERIOD else lease * (unit + drift) / (unit - drift)
    )
    quorum = 1 if defect is Defect.QUORUM_OF_ONE else VOTERS // 2 + 1
    rate_x, request_x, renewal_x, command_x, command_y = z3.Reals("rate_x ask renewal order_x order_y")
    voters = [VoterModel(number) for number in range(VOTERS)]
    solver = z3.Solver()
    for rate in (rate_x, *(voter.clock_rate for voter in voters)):
        solver.add(rate >= unit - drift, rate <= unit + drift)
    solver.add(request_x >= 0, renewal_x >= request_x)
    for voter in voters:
        solver.add(voter.rules(request_x, renewal_x, command_y, lease, quiet_period))
    granted = count_true(z3.And(voter.granted_x, voter.granted_x_at <= command_x) for voter in voters)
    renewed = count_true(z3.And(voter.renewed_x, voter.renewed_x_at <= command_x) for voter in voters)
    by_grant = z3.And(granted >= quorum, rate_x * (command_x - request_x) < usable_lease)
    by_renewal = z3.And(renewed >= quorum, rate_x * (command_x - renewal_x) < usable_lease)
    solver.add(z3.Or(by_grant, by_renewal))
    solver.add(count_true(voter.granted_y for voter in voters) >= quorum, command_x > command_y)
    return _solve(solver)


def _solve(solver: z3.Solver) -> dict[str, Any]:
    started_at = time.perf_counter()
    result = solver.check()
    example = {}
    if result == z3.sat:
        times = solver.model()
        example = {str(name): str(times[name]) for name in sorted(times.decls(), key=str)}
    return {"found": str(result), "seconds": round(time.perf_counter() - started_at, 2), "example": example}


class Day(NamedTuple):
    """Seeded day of a cluster."""

    seed: int
    members: int
    defect: Defect | None = None

    def make_cluster(self) -> SimulatedCluster:
        """Return the cluster; on every fourth day its clocks drift as far as the rules allow."""
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
    """Violated rules and durations of takeovers in one day."""

    seed: int
    violated_rules: list[Rule]
    takeover_s: list[float]


def run_day(day: Day) -> DayResult:
    """Simulate a day and check its history."""
    events = day.make_cluster().run()
    violated_rules = [violation.rule for violation in check(events, TAKEOVER_LIMIT_S)]
    return DayResult(day.seed, violated_rules, takeover_times(events))


def run_days(pool: Any, members: int, day_count: int) -> dict[str, Any]:
    """Simulate days without a defect, and return their figures."""
    started_at = time.perf_counter()
    violated_rules = {}
    takeover_s: list[float] = []
    days = [Day(seed, members) for seed in range(day_count)]
    for result in pool.imap_unordered(run_day, days, 16):
        takeover_s += result.takeover_s
        if result.violated_rules:
            violated_rules[result.seed] = result.violated_rules[0].value
    return {
        "days": day_count,
        "broken": violated_rules,
        "seconds": round(time.perf_counter() - started_at, 1),
        "takeovers": len(takeover_s),
        "takeover_s_p50": round(quantile(takeover_s, 0.5), 2),
    }


def find_first_day(pool: Any, defect: Defect) -> int | None:
    """Return the first seed with which the checker detects a defect, None if there is none."""
    results = pool.imap(run_day, [Day(seed, 3, defect) for seed in range(DEFECT_DAYS)], 8)
    return next((result.seed for result in results if result.violated_rules), None)


def main(short: bool) -> None:
    """Print the figures and whether the rules hold."""
    models = {
        "none" if defect is None else defect.value: find_counterexample(defect) for defect in MODEL_DEFECTS
    }
    figures: dict[str, Any] = {"model": models}
    sizes = SHORT_DAYS if short else FULL_DAYS
    with Pool() as pool:
        for members, days in sizes:
            figures[f"of_{members}"] = run_days(pool, members, days)
        first_days = {defect.value: find_first_day(pool, defect) for defect in Defect}
        figures["first_day_of_each_break"] = first_days
    is_sound = all(model["found"] == ("unsat" if name == "none" else "sat") for name, model in models.items())
    is_unbroken = not any(figures[f"of_{members}"]["broken"] for members, _ in sizes)
    close(
        "leases",
        figures,
        "no schedule violates a rule; the model has no counterexample, but one for each defect; the "
        "checker detects each defect",
        is_sound and is_unbroken and None not in first_days.values(),
    )


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    main(options.parse_args().short)
