"""Upper bound of the share that a table may give an endpoint in slow start, whatever happens to the other
lines.

The service owner plans a share that the endpoint can carry, and allows it a little more. A server that ejects
other lines, perhaps with an old table, would give their share to the remaining ones; the bound prevents that.
As it bounds a share of the requests and not a number of them, it adds up over any number of servers.
"""

from collections.abc import Collection, Mapping

from ravenshelf.distribution.messages import TableLine


def largest_share(planned: float, ramp: float, multiple: float) -> float:
    """Return the upper bound of a line's share: half of the overload that the endpoint survives, times the
    plan.

    planned: its planned share of the table; ramp: the share of its capacity that it has reached, 1 when warm;
    multiple: the load, in multiples of the present capacity, that fells an endpoint in slow start.
    """
    return 1.0 if ramp >= 1 else min(1.0, planned * max(1.0, multiple / 2))


def received_shares(table: Mapping[str, TableLine], ejected: Collection[str] = ()) -> dict[str, float]:
    """Return the share of requests that each endpoint receives.

    The shares add up to less than 1 where only lines with an upper bound remain; the rest is to be rejected.
    """
    remaining = {name: line for name, line in table.items() if name not in ejected and line.weight > 0}
    received: dict[str, float] = {}
    open_share = 1.0
    while remaining:
        total = sum(line.weight for line in remaining.values())
        bounded = [
            name for name, line in remaining.items() if open_share * line.weight / total > line.largest_share
        ]
        if not bounded:
            received.update({name: open_share * line.weight / total for name, line in remaining.items()})
            break
        for name in bounded:
            received[name] = remaining.pop(name).largest_share
        open_share = max(0.0, 1.0 - sum(received.values()))
    return received
