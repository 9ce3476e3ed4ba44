"""The tree of relays: levels with a bounded fan-out, and the candidate parents of each node, the preferred
first."""

from dataclasses import dataclass
from math import ceil

import xxhash

MAX_PARENTS = 4  # candidates of a node: its preferred parent and others of the level


@dataclass(frozen=True)
class RelayLevel:
    """Relays that are equally far from the service owners."""

    names: tuple[str, ...]


def plan_relay_levels(servers: int, fan_out: int, prefix: str = "relay") -> list[RelayLevel]:
    """Return the levels of relays that so many servers need, the one next to the service owners first.

    Each relay has at most `fan_out` children; half of that is reserved for the children of a relay that is
    lost. Raises ValueError for a negative number of servers or a fan-out below two.
    """
    if servers < 0 or fan_out < 2:
        raise ValueError(f"expected pilots and a fan-out of two or more, found {servers} and {fan_out}")
    planned_children = max(1, fan_out // 2)
    counts: list[int] = []
    below = servers
    while below > planned_children or not counts:
        below = max(1, ceil(below / planned_children))
        counts.append(below)
        if planned_children == 1:
            break
    return [
        RelayLevel(tuple(f"{prefix}-{depth}-{number}" for number in range(count)))
        for depth, count in enumerate(reversed(counts), 1)
    ]


def candidate_parents(index: int, node_count: int, level: RelayLevel) -> list[str]:
    """Return the parents of node `index` of `node_count`, in the order in which it tries them.

    Nodes are assigned to the level in even blocks, and each falls back on other relays in a pseudo-random
    order of its own, so that the children of a lost relay spread over the level.
    """
    relay_count = len(level.names)
    chosen = [index * relay_count // node_count]
    draw = 0
    while len(chosen) < min(MAX_PARENTS, relay_count):
        candidate = xxhash.xxh64_intdigest(b"%d/%d" % (index, draw)) % relay_count
        draw += 1
        if candidate not in chosen:
            chosen.append(candidate)
    return [level.names[number] for number in chosen]
