"""The tree of relays: levels with a bounded fan-out, and the parents that each node tries, the preferred first."""

from dataclasses import dataclass
from math import ceil

import xxhash

PARENTS_MOST = 4  # candidates of a node: its preferred parent and others of the level


@dataclass(frozen=True)
class Level:
    """Relays that are equally far from the owners."""

    names: tuple[str, ...]


def levels(pilots: int, fan_out: int, prefix: str = "relay") -> list[Level]:
    """The levels of relays that `pilots` need, the one next to the owners first. Each relay has `fan_out` children at
    the most, and half of that is kept free so that it can take the children of one that is lost."""
    if pilots < 0 or fan_out < 2:
        raise ValueError(f"expected pilots and a fan-out of two or more, found {pilots} and {fan_out}")
    planned = max(1, fan_out // 2)
    counts, below = [], pilots
    while below > planned or not counts:
        below = max(1, ceil(below / planned))
        counts.append(below)
        if planned == 1:
            break
    return [
        Level(tuple(f"{prefix}-{depth}-{n}" for n in range(count)))
        for depth, count in enumerate(reversed(counts), 1)
    ]


def preferred_parents(place: int, nodes: int, level: Level) -> list[str]:
    """The parents of the node at `place` among `nodes`, in the order in which it tries them: nodes are dealt evenly in
    blocks, and each falls back on others of the level in an order of its own, so that a lost relay's children spread."""
    count = len(level.names)
    chosen = [place * count // nodes]
    draw = 0
    while len(chosen) < min(PARENTS_MOST, count):
        candidate = xxhash.xxh64_intdigest(b"%d/%d" % (place, draw)) % count
        draw += 1
        if candidate not in chosen:
            chosen.append(candidate)
    return [level.names[number] for number in chosen]
