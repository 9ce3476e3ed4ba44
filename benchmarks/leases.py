"""The lease rules proved within bounds, and the whole machine played against the checker.

`model`: two candidates X and Y for one shard, three voters, real time, clocks that run apart; z3 looks for times at
which X still believes in its lease after Y's first order. `schedules`: seeded days of faults in simulated time.
"""

import argparse
import time
from multiprocessing import Pool

import z3

from benchmarks.measuring import close, quantile
from standins.controllers import BREAKS, World, takeovers
from standins.histories import check

VOTERS = 3
MODEL_BREAKS = ("none", "drift ignored", "no quiet after a start", "one voter is enough")
BOUND = 6.0


def model(broken: str = "none", drift: str = "1/20") -> dict:
    """Whether X can order after Y. Per voter: when it granted X (and renewed for X), restarted, granted Y; each at most
    once, any of them left out. X's order rests on a majority's grants or renewals, by its own clock."""
    solver, one = z3.Solver(), z3.RealVal(1)
    d, lease = z3.RealVal(drift), z3.RealVal(1)
    safe = lease if broken == "drift ignored" else lease * (one - d) / (one + d)
    quiet = z3.RealVal(0) if broken == "no quiet after a start" else lease * (one + d) / (one - d)
    majority = 1 if broken == "one voter is enough" else VOTERS // 2 + 1
    rates = z3.Reals("rate_x " + " ".join(f"rate_{v}" for v in range(VOTERS)))
    for rate in rates:
        solver.add(rate >= one - d, rate <= one + d)
    rate_x, rate = rates[0], rates[1:]
    ask, renewal, order_x, order_y = z3.Reals("ask renewal order_x order_y")
    solver.add(ask >= 0, renewal >= ask)
    granted, renewed, restarted, granted_y = (
        [z3.Bool(f"{what}_{v}") for v in range(VOTERS)]
        for what in ("granted", "renewed", "restarted", "granted_y")
    )
    at, at_renewed, at_start, at_y = (
        [z3.Real(f"at_{what}_{v}") for v in range(VOTERS)] for what in ("granted", "renewed", "start", "y")
    )
    for v in range(VOTERS):
        solver.add(
            at[v] >= ask, at_renewed[v] >= renewal, at_renewed[v] >= at[v], z3.Implies(renewed[v], granted[v])
        )
        # it grants Y only when, by its own clock, what it granted X is over; after a start, when it has been quiet
        forgot = z3.And(restarted[v], at_start[v] <= at_y[v])
        knows_grant = z3.And(granted[v], at[v] <= at_y[v], z3.Not(z3.And(forgot, at_start[v] > at[v])))
        knows_renewal = z3.And(
            renewed[v], at_renewed[v] <= at_y[v], z3.Not(z3.And(forgot, at_start[v] > at_renewed[v]))
        )
        solver.add(z3.Implies(z3.And(granted_y[v], knows_grant), rate[v] * (at_y[v] - at[v]) >= lease))
        solver.add(
            z3.Implies(z3.And(granted_y[v], knows_renewal), rate[v] * (at_y[v] - at_renewed[v]) >= lease)
        )
        solver.add(z3.Implies(z3.And(granted_y[v], forgot), rate[v] * (at_y[v] - at_start[v]) >= quiet))
        # once it has promised Y's later term it neither grants nor renews for X
        solver.add(z3.Implies(z3.And(granted_y[v], granted[v]), at[v] <= at_y[v]))
        solver.add(z3.Implies(z3.And(granted_y[v], renewed[v]), at_renewed[v] <= at_y[v]))
        solver.add(z3.Implies(granted_y[v], order_y >= at_y[v]))

    def count(these) -> z3.ArithRef:
        return z3.Sum([z3.If(one_of, 1, 0) for one_of in these])

    by_grant = z3.And(
        count([z3.And(granted[v], at[v] <= order_x) for v in range(VOTERS)]) >= majority,
        rate_x * (order_x - ask) < safe,
    )
    by_renewal = z3.And(
        count([z3.And(renewed[v], at_renewed[v] <= order_x) for v in range(VOTERS)]) >= majority,
        rate_x * (order_x - renewal) < safe,
    )
    solver.add(z3.Or(by_grant, by_renewal), count(granted_y) >= majority, order_x > order_y)
    began = time.perf_counter()
    found = solver.check()
    example = {}
    if found == z3.sat:
        said = solver.model()
        example = {str(name): str(said[name]) for name in sorted(said.decls(), key=str)}
    return {"found": str(found), "seconds": round(time.perf_counter() - began, 2), "example": example}


def day(what: tuple) -> tuple:
    seed, count, name = what
    wild = {"extreme": True, "drift": 0.2} if name == "drift ignored" else {"extreme": seed % 4 == 0}
    events = World(seed, count, breaks=[name] if name else [], **wild).run()
    return seed, [rule for rule, _, _ in check(events, BOUND)], takeovers(events)


def main(short: bool) -> None:
    figures: dict = {"model": {name: model(name) for name in MODEL_BREAKS}}
    sizes = ((3, 300), (5, 80), (7, 20)) if short else ((3, 7000), (5, 2400), (7, 600))
    with Pool() as pool:
        for count, days in sizes:
            began, broken, took = time.perf_counter(), {}, []
            for seed, rules, times in pool.imap_unordered(
                day, [(seed, count, "") for seed in range(days)], 16
            ):
                took += times
                if rules:
                    broken[seed] = rules[0]
            figures[f"of_{count}"] = {
                "days": days,
                "broken": broken,
                "seconds": round(time.perf_counter() - began, 1),
                "takeovers": len(took),
                "takeover_s_p50": round(quantile(took, 0.5), 2),
            }
        first = {}
        for name in BREAKS:
            most = 600
            first[name] = next(
                (seed for seed, rules, _ in pool.imap(day, [(s, 3, name) for s in range(most)], 8) if rules),
                None,
            )
        figures["first_day_of_each_break"] = first
    sound = figures["model"]["none"]["found"] == "unsat" and all(
        figures["model"][name]["found"] == "sat" for name in MODEL_BREAKS[1:]
    )
    held = (
        sound
        and not any(figures[f"of_{count}"]["broken"] for count, _ in sizes)
        and None not in first.values()
    )
    close(
        "leases",
        figures,
        "no schedule breaks a rule; the model has no counterexample, and one for each break; the "
        "checker sees each break",
        held,
    )


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    main(options.parse_args().short)
