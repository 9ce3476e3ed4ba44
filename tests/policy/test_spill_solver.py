"""The spill solver (KurmaCost), also compared with a direct sum of all misses."""

import random

import pytest

from ravenshelf.policy import spill_solver
from ravenshelf.policy.spill_solver import solve_spill

CURVE = [(10.0, 0.0), (20.0, 1.0)]
EQUAL_FACTORS = [[1.0] * 3 for _ in range(3)]


@pytest.mark.parametrize(
    "demand, capacity, curves, spilling_zones",
    [
        ([5, 5, 5], [1, 1, 1], [CURVE] * 3, [0, 0, 0]),
        ([14, 5, 5], [1, 1, 1], [CURVE] * 3, [1, 0, 0]),
        ([11, 11, 2], [1, 1, 1], [CURVE] * 3, [1, 1, 0]),
        ([19, 18, 17], [1, 1, 1], [CURVE] * 3, None),
        ([5, 5, 5], [0, 1, 1], [CURVE] * 3, [1, 0, 0]),
        ([5, 5, 5], [0, 0, 0], [CURVE] * 3, [0, 0, 0]),
        ([19, 5, 5], [1, 1, 1], [None] * 3, [0, 0, 0]),
        ([19, 5, 5], [1, 1, 1], [CURVE, None, None], [0, 0, 0]),
        ([0, 0, 0], [1, 1, 1], [CURVE] * 3, [0, 0, 0]),
    ],
    ids=[
        "no zone overloaded",
        "one zone overloaded",
        "several zones overloaded",
        "target not feasible",
        "one zone without capacity",
        "no zone with capacity",
        "no observations",
        "receivers without observations",
        "no demand",
    ],
)
def test_solve_spill(demand, capacity, curves, spilling_zones):
    shares = solve_spill(demand, capacity, curves, EQUAL_FACTORS)
    is_spilling = [1 - shares[zone][zone] > 1e-9 for zone in range(3)]
    for zone in range(3):
        assert sum(shares[zone]) == pytest.approx(1)
        assert not (
            is_spilling[zone] and any(shares[sender][zone] > 1e-9 for sender in range(3) if sender != zone)
        )
        assert capacity[zone] > 0 or not any(capacity) or shares[zone][zone] == 0
    if spilling_zones is not None:
        assert is_spilling == [bool(flag) for flag in spilling_zones]


def test_spill_is_the_minimum_that_reaches_the_target():
    shares = solve_spill([14, 2, 2], [1, 1, 1], [CURVE] * 3, EQUAL_FACTORS)
    local_requests = 14 * shares[0][0]
    # With one quantum more in its own zone, over 5% of the zone's requests would miss.
    assert local_requests * 1.2 <= 10.8 < (local_requests + 0.28) * 1.2


def test_a_more_distant_zone_receives_less():
    shares = solve_spill([14, 4, 4], [1, 1, 1], [CURVE] * 3, [[1, 1, 1.5], [1, 1, 1], [1, 1, 1]])
    assert shares[0][1] > shares[0][2]


def solve_directly(demand, capacity, curves, load_factors):
    """Return the spill shares of the same greedy moves, with all misses added up for each candidate."""
    zones, zones_with_capacity = (
        range(len(demand)),
        [zone for zone in range(len(demand)) if capacity[zone] > 0],
    )
    shares = [[float(sender == receiver) for receiver in zones] for sender in zones]

    def miss_share(sender, receiver, loads):
        load = (
            spill_solver.DEMAND_MARGIN * loads[receiver] / capacity[receiver] * load_factors[sender][receiver]
        )
        return spill_solver.read_curve(curves[receiver], load) if curves[receiver] else 0.0

    def zone_misses(rows):
        loads = [sum(demand[sender] * rows[sender][zone] for sender in zones) for zone in zones]
        return [
            sum(
                rows[sender][zone] * miss_share(sender, zone, loads)
                for zone in zones_with_capacity
                if rows[sender][zone] > 1e-9
            )
            for sender in zones
        ]

    def move_quantum(sender, receiver):
        rows = [list(row) for row in shares]
        rows[sender][sender], rows[sender][receiver] = (
            rows[sender][sender] - spill_solver.QUANTUM,
            rows[sender][receiver] + spill_solver.QUANTUM,
        )
        return rows

    def possible_moves():
        is_receiver = [
            any(shares[sender][receiver] > 1e-9 for sender in zones if sender != receiver)
            for receiver in zones
        ]
        is_sender = [shares[sender][sender] < 1 - 1e-9 for sender in zones]
        return [
            (sender, receiver)
            for sender in zones_with_capacity
            if curves[sender]
            and not is_receiver[sender]
            and shares[sender][sender] >= spill_solver.QUANTUM
            and demand[sender]
            for receiver in zones_with_capacity
            if receiver != sender and curves[receiver] and not is_sender[receiver]
        ]

    while any(
        misses > spill_solver.TARGET_MISS_SHARE
        for misses, requests in zip(zone_misses(shares), demand, strict=True)
        if requests
    ):
        before = sum(requests * misses for requests, misses in zip(demand, zone_misses(shares), strict=True))
        best_move = (
            max(
                (
                    (
                        before
                        - sum(
                            requests * misses
                            for requests, misses in zip(
                                demand, zone_misses(move_quantum(sender, receiver)), strict=True
                            )
                        )
                    )
                    / demand[sender],
                    sender,
                    receiver,
                )
                for sender, receiver in possible_moves()
            )
            if possible_moves()
            else (0.0,)
        )
        if best_move[0] <= 1e-9:
            break
        shares = move_quantum(*best_move[1:])
    return shares


@pytest.mark.parametrize("seed", range(12))
def test_the_solver_finds_the_same_shares_as_a_direct_sum_of_all_misses(seed):
    random_source = random.Random(seed)
    zone_count = random_source.randint(2, 4)
    demand, capacity = ([random_source.uniform(60, 170) for _ in range(zone_count)] for _ in "ab")
    # With these curves the target is never feasible.
    curves = [
        [(0.3, 0.1 + 0.1 * zone), (0.9, 0.4 + 0.1 * zone), (1.4, 1.2 + 0.1 * zone)]
        for zone in range(zone_count)
    ]
    load_factors = [
        [1 + random_source.uniform(0, 0.3) * (sender != receiver) for receiver in range(zone_count)]
        for sender in range(zone_count)
    ]
    shares = solve_spill(demand, capacity, curves, load_factors)
    assert shares == [
        pytest.approx(row, abs=1e-6) for row in solve_directly(demand, capacity, curves, load_factors)
    ]


def test_the_work_for_many_zones_is_limited(monkeypatch):
    """With 32 overloaded zones, adding up all misses for each quantum and pair of zones took 36 s."""
    random_source, original_read_curve, call_count = random.Random(1), spill_solver.read_curve, [0]

    def counting_read_curve(points, load):
        call_count[0] += 1
        if call_count[0] > 500_000:
            raise AssertionError("more than 500,000 calls of read_curve, expected at most that many")
        return original_read_curve(points, load)

    monkeypatch.setattr(spill_solver, "read_curve", counting_read_curve)
    demand = [110 * random_source.uniform(0.3, 1.7) for _ in range(32)]
    curves = [[(0.5, 0.01), (0.8, 0.03), (1.0, 0.1), (1.3, 0.5)]] * 32
    shares = solve_spill(
        demand,
        [100.0] * 32,
        curves,
        [[1 + 0.01 * (sender != receiver) for receiver in range(32)] for sender in range(32)],
    )
    assert all(sum(row) == pytest.approx(1) and min(row) > -1e-9 for row in shares)
