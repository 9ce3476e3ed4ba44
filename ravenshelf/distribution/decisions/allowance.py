"""Upper bound of an endpoint's share of a table while the endpoint is in slow start.

The service owner plans a share that the endpoint can carry, and permits a little more. A server that ejects
other lines, perhaps from an old table, moves their share to the remaining lines; the bound keeps the endpoint
from being overloaded by that. As it bounds a share of the requests and not a number of them, it also holds
for the sum over any number of servers.
"""

from collections.abc import Collection, Mapping

from ravenshelf.distribution.messages import TableLine


def largest_share(planned_share: float, capacity_share: float, overload_multiple: float) -> float:
    """Return the upper bound of a line's share of the requests, 0 to 1.

    The bound is the planned share times half of `overload_multiple`, and never below the planned share. A
    warm endpoint has no bound, so its result is 1.

    Args:
        planned_share: The line's planned share of the table, 0 to 1.
        capacity_share: The share of its capacity that the endpoint has reached, 1 when it is warm.
        overload_multiple: The load at which an endpoint in slow start fails, in multiples of its present
            capacity.
    """
    return 1.0 if capacity_share >= 1 else min(1.0, planned_share * max(1.0, overload_multiple / 2))


def received_shares(table: Mapping[str, TableLine], ejected: Collection[str] = ()) -> dict[str, float]:
    """Return the share of the requests that each endpoint of a table receives, by endpoint name.

    The shares add up to less than 1 if only lines with an upper bound remain; the remaining requests are
    to be rejected.

    Args:
        table: The lines by endpoint name.
        ejected: Endpoints that receive nothing.
    """
    remaining_lines = {name: line for name, line in table.items() if name not in ejected and line.weight > 0}
    shares: dict[str, float] = {}
    open_share = 1.0
    while remaining_lines:
        total_weight = sum(line.weight for line in remaining_lines.values())
        bounded_endpoints = [
            name
            for name, line in remaining_lines.items()
            if open_share * line.weight / total_weight > line.largest_share
        ]
        if not bounded_endpoints:
            shares.update(
                {name: open_share * line.weight / total_weight for name, line in remaining_lines.items()}
            )
            break
        for name in bounded_endpoints:
            shares[name] = remaining_lines.pop(name).largest_share
        open_share = max(0.0, 1.0 - sum(shares.values()))
    return shares
