"""Tree of relays: levels with a bounded fan-out, and the candidate parents of each node."""

from dataclasses import dataclass
from math import ceil

import xxhash

MAX_PARENTS = 4  # The candidate parents of a node, its preferred parent included.


@dataclass(frozen=True)
class RelayLevel:
    """Names of the relays that are equally far from the service owners."""

    names: tuple[str, ...]


def plan_relay_levels(servers: int, fan_out: int, prefix: str = "relay") -> list[RelayLevel]:
    """Return the levels of relays that serve a number of servers, the level next to the service owners first.

    Half of the fan-out of each relay is reserved for the children of other relays that are lost.

    Args:
        servers: Number of control-plane servers.
        fan_out: Largest number of children of a relay.
        prefix: First part of the relays' names.

    Raises:
        ValueError: The number of servers is negative, or the fan-out is below two.
    """
    if servers < 0 or fan_out < 2:
        raise ValueError(
            "tree of relays: expected 0 or more servers and a fan-out of 2 or more, "
            f"found {servers} servers and a fan-out of {fan_out}"
        )
    planned_children = max(1, fan_out // 2)
    relay_counts: list[int] = []  # The level next to the servers comes first.
    count_below = servers
    while count_below > planned_children or not relay_counts:
        count_below = max(1, ceil(count_below / planned_children))
        relay_counts.append(count_below)
        if planned_children == 1:
            break
    return [
        RelayLevel(tuple(f"{prefix}-{depth}-{number}" for number in range(count)))
        for depth, count in enumerate(reversed(relay_counts), 1)
    ]


def candidate_parents(index: int, node_count: int, level: RelayLevel) -> list[str]:
    """Return the parents of a node, in the order in which the node tries them.

    Nodes are assigned to the level in even blocks. Each node falls back on other relays in a pseudo-random
    order of its own, so that the children of a lost relay spread over the level.

    Args:
        index: Number of the node among the nodes directly below the level, from 0.
        node_count: Number of nodes directly below the level.
        level: The level of the parents.
    """
    relay_count = len(level.names)
    relay_numbers = [index * relay_count // node_count]
    draw = 0
    while len(relay_numbers) < min(MAX_PARENTS, relay_count):
        candidate = xxhash.xxh64_intdigest(b"%d/%d" % (index, draw)) % relay_count
        draw += 1
        if candidate not in relay_numbers:
            relay_numbers.append(candidate)
    return [level.names[number] for number in relay_numbers]
