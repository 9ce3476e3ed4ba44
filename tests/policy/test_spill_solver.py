"""The spill solver (KurmaCost), also against a plain sum of all misses."""

import random

import pytest

from ravenshelf.policy import spill_solver
from ravenshelf.policy.spill_solver import solve_spill

FLAT = [(10.0, 0.0), (20.0, 1.0)]
EVEN = [[1.0] * 3 for _ in range(3)]


@pytest.mark.parametrize(
    "demand, capacity, curves, sends",
    [
        ([5, 5, 5], [1, 1, 1], [FLAT] * 3, [0, 0, 0]),
        ([14, 5, 5], [1, 1, 1], [FLAT] * 3, [1, 0, 0]),
        ([11, 11, 2], [1, 1, 1], [FLAT] * 3, [1, 1, 0]),
        ([19, 18, 17], [1, 1, 1], [FLAT] * 3, None),
        ([5, 5, 5], [0, 1, 1], [FLAT] * 3, [1, 0, 0]),
        ([5, 5, 5], [0, 0, 0], [FLAT] * 3, [0, 0, 0]),
        ([19, 5, 5], [1, 1, 1], [None] * 3, [0, 0, 0]),
        ([19, 5, 5], [1, 1, 1], [FLAT, None, None], [0, 0, 0]),
        ([0, 0, 0], [1, 1, 1], [FLAT] * 3, [0, 0, 0]),
    ],
    ids=[
        "nothing",
        "one short",
        "several short",
        "infeasible",
        "no servers",
        "none anywhere",
        "no data",
        "receivers without data",
        "no demand",
    ],
)
def test_solve_spill(demand, capacity, curves, sends):
    share = solve_spill(demand, capacity, curves, EVEN)
    out = [1 - share[i][i] > 1e-9 for i in range(3)]
    for i in range(3):
        assert sum(share[i]) == pytest.approx(1)
        assert not (out[i] and any(share[j][i] > 1e-9 for j in range(3) if j != i))
        assert capacity[i] > 0 or not any(capacity) or share[i][i] == 0
    if sends is not None:
        assert out == [bool(s) for s in sends]


def test_spill_is_the_least_that_keeps_the_target():
    share = solve_spill([14, 2, 2], [1, 1, 1], [FLAT] * 3, EVEN)
    kept = 14 * share[0][0]
    assert kept * 1.2 <= 10.8 < (kept + 0.28) * 1.2  # a quantum more at home and the zone misses over 5%


def test_a_farther_zone_takes_less():
    near = solve_spill([14, 4, 4], [1, 1, 1], [FLAT] * 3, [[1, 1, 1.5], [1, 1, 1], [1, 1, 1]])
    assert near[0][1] > near[0][2]


def plain_spill(demand, capacity, curves, stretch):
    """The same greedy quanta, with all misses added up anew for each trial."""
    zones, live = range(len(demand)), [z for z in range(len(demand)) if capacity[z] > 0]
    share = [[float(i == j) for j in zones] for i in zones]

    def missing(i, j, loads):
        x = spill_solver.DEMAND_MARGIN * loads[j] / capacity[j] * stretch[i][j]
        return spill_solver.read_curve(curves[j], x) if curves[j] else 0.0

    def misses(rows):
        loads = [sum(demand[i] * rows[i][j] for i in zones) for j in zones]
        return [sum(rows[i][j] * missing(i, j, loads) for j in live if rows[i][j] > 1e-9) for i in zones]

    def moved(i, j):
        rows = [list(row) for row in share]
        rows[i][i], rows[i][j] = rows[i][i] - spill_solver.QUANTUM, rows[i][j] + spill_solver.QUANTUM
        return rows

    def pairs():
        takes = [any(share[i][j] > 1e-9 for i in zones if i != j) for j in zones]
        sends = [share[i][i] < 1 - 1e-9 for i in zones]
        return [
            (i, j)
            for i in live
            if curves[i] and not takes[i] and share[i][i] >= spill_solver.QUANTUM and demand[i]
            for j in live
            if j != i and curves[j] and not sends[j]
        ]

    while any(m > spill_solver.TARGET_MISS_SHARE for m, d in zip(misses(share), demand, strict=True) if d):
        before = sum(d * m for d, m in zip(demand, misses(share), strict=True))
        best = (
            max(
                (
                    (before - sum(d * m for d, m in zip(demand, misses(moved(i, j)), strict=True)))
                    / demand[i],
                    i,
                    j,
                )
                for i, j in pairs()
            )
            if pairs()
            else (0.0,)
        )
        if best[0] <= 1e-9:
            break
        share = moved(*best[1:])
    return share


@pytest.mark.parametrize("seed", range(12))
def test_least_misses_in_all_are_those_of_a_plain_sum(seed):
    chance = random.Random(seed)
    zones = chance.randint(2, 4)
    demand, capacity = ([chance.uniform(60, 170) for _ in range(zones)] for _ in "ab")
    curves = [
        [(0.3, 0.1 + 0.1 * z), (0.9, 0.4 + 0.1 * z), (1.4, 1.2 + 0.1 * z)] for z in range(zones)
    ]  # none is feasible
    stretch = [[1 + chance.uniform(0, 0.3) * (i != j) for j in range(zones)] for i in range(zones)]
    found = solve_spill(demand, capacity, curves, stretch)
    assert found == [pytest.approx(row, abs=1e-6) for row in plain_spill(demand, capacity, curves, stretch)]


def test_spill_of_many_zones_takes_bounded_work(monkeypatch):
    """32 zones that all lacked capacity took 36 s: each quantum added up all misses for each pair."""
    chance, read, count = random.Random(1), spill_solver.read_curve, [0]

    def counted(points, x):
        count[0] += 1
        if count[0] > 500_000:
            raise AssertionError("too much work")
        return read(points, x)

    monkeypatch.setattr(spill_solver, "read_curve", counted)
    demand = [110 * chance.uniform(0.3, 1.7) for _ in range(32)]
    curves = [[(0.5, 0.01), (0.8, 0.03), (1.0, 0.1), (1.3, 0.5)]] * 32
    share = solve_spill(
        demand, [100.0] * 32, curves, [[1 + 0.01 * (i != j) for j in range(32)] for i in range(32)]
    )
    assert all(sum(row) == pytest.approx(1) and min(row) > -1e-9 for row in share)
