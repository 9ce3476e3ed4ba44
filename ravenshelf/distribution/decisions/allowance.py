"""The share that a table may give an endpoint which is still cold, whatever happens to the table's other lines.

The owner plans a share that the endpoint can carry, and allows it a little more. A pilot that shuts other lines out, with
a table that may be old, would give their part to those that are left: the allowance ends that. As it is a share of the
requests and not a number of them, it adds up over any number of pilots.
"""

from collections.abc import Collection, Mapping

from ravenshelf.distribution.messages import TableLine


def largest_share(planned: float, ramp: float, multiple: float) -> float:
    """The allowance of a line: half of what the rule on cold endpoints bears, in times of what is planned for it.

    planned: its share of the table; ramp: the part of its capacity reached, 1 when warm; multiple: the load, in times of
    the present capacity, that fells a cold endpoint."""
    return 1.0 if ramp >= 1 else min(1.0, planned * max(1.0, multiple / 2))


def shares(table: Mapping[str, TableLine], shut_out: Collection[str] = ()) -> dict[str, float]:
    """The share of requests that each endpoint receives. They add up to less than 1 where only lines with allowances
    are left: the rest is to be refused."""
    left = {name: line for name, line in table.items() if name not in shut_out and line.weight > 0}
    received: dict[str, float] = {}
    open_share = 1.0
    while left:
        total = sum(line.weight for line in left.values())
        over = [name for name, line in left.items() if open_share * line.weight / total > line.largest_share]
        if not over:
            received.update({name: open_share * line.weight / total for name, line in left.items()})
            break
        for name in over:
            received[name] = left.pop(name).largest_share
        open_share = max(0.0, 1.0 - sum(received.values()))
    return received
