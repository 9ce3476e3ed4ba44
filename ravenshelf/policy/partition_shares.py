"""Partition shares: which of a zone's endpoint partitions carry the requests of each of its tables."""

from collections.abc import Sequence

OVERLOAD_ALLOWANCE = 0.2  # of a partition's even load, over which it carries no more
MINIMUM_BORROWED_SHARE = 0.02  # of a table's need; for less no line of another partition is worth its cost
MINIMUM_BORROWED = 1e-6  # of all needs, by which a table borrows where nothing is spare


def partition_shares(table_demands: Sequence[float], partition_weights: Sequence[float]) -> list[list[float]]:
    """Shares of each table's requests by partition: first its own partition, then what others can spare.

    `needs` is requests per second by table, `strengths` the weight of endpoints by partition (not all 0);
    table and partition of one index belong together. Rows (tables) sum to 1.
    """
    total_strength = sum(partition_weights)
    total_need = sum(table_demands) or 1
    relative_needs = [need / total_need for need in table_demands]
    spare = [(1 + OVERLOAD_ALLOWANCE) * weight / total_strength for weight in partition_weights]
    rows = []
    for own, need in enumerate(relative_needs):
        row = [0.0] * len(spare)
        row[own] = min(need, spare[own])
        spare[own] -= row[own]
        rows.append(row)
    for row, need in zip(rows, relative_needs, strict=True):
        _borrow(row, need, spare)
    even = [weight / total_strength for weight in partition_weights]
    return [
        [part / sum(row) for part in row] if need else even
        for row, need in zip(rows, relative_needs, strict=True)
    ]


def _borrow(row: list[float], need: float, spare: list[float]) -> None:
    """Cover what a table lacks from the partitions that have most to spare; changes both lists."""
    while need - sum(row) > MINIMUM_BORROWED_SHARE * need:
        lender = max(range(len(spare)), key=spare.__getitem__)
        borrowed = min(need - sum(row), max(spare[lender], MINIMUM_BORROWED))
        row[lender] += borrowed
        spare[lender] -= borrowed
