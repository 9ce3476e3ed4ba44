"""Partition shares: the endpoint partitions of a zone that carry the requests of each of its tables."""

from collections.abc import Sequence

# While any partition has spare capacity, each carries at most its even load, increased by this share.
OVERLOAD_ALLOWANCE = 0.2
# A table does not borrow less than this share of its demand, because that does not justify the cost of
# additional lines from another partition.
MINIMUM_BORROWED_SHARE = 0.02
# If no partition has spare capacity, a table borrows this share of the total demand in each step.
MINIMUM_BORROWED = 1e-6


def partition_shares(table_demands: Sequence[float], partition_weights: Sequence[float]) -> list[list[float]]:
    """Return the share of each table's requests that each partition carries.

    A table uses its own partition first, which is the one with the same index, and then the spare capacity of
    the others.

    Args:
        table_demands: The requests per second of each table.
        partition_weights: The effective weight of the endpoints of each partition; at least one is not 0.

    Returns:
        One row for each table with one column for each partition. Each row adds up to 1.
    """
    total_weight = sum(partition_weights)
    total_demand = sum(table_demands) or 1
    relative_demands = [demand / total_demand for demand in table_demands]
    spare_shares = [(1 + OVERLOAD_ALLOWANCE) * weight / total_weight for weight in partition_weights]
    rows = []
    for table, demand in enumerate(relative_demands):
        row = [0.0] * len(spare_shares)
        row[table] = min(demand, spare_shares[table])
        spare_shares[table] -= row[table]
        rows.append(row)
    for row, demand in zip(rows, relative_demands, strict=True):
        _borrow(row, demand, spare_shares)
    even_shares = [weight / total_weight for weight in partition_weights]
    return [
        [share / sum(row) for share in row] if demand else even_shares
        for row, demand in zip(rows, relative_demands, strict=True)
    ]


def _borrow(row: list[float], demand: float, spare_shares: list[float]) -> None:
    """Cover a table's uncovered demand from the partitions with the most spare capacity.

    Both lists are changed in place.
    """
    while demand - sum(row) > MINIMUM_BORROWED_SHARE * demand:
        lender = max(range(len(spare_shares)), key=spare_shares.__getitem__)
        borrowed_share = min(demand - sum(row), max(spare_shares[lender], MINIMUM_BORROWED))
        row[lender] += borrowed_share
        spare_shares[lender] -= borrowed_share
