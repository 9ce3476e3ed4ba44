"""Who should have which shard: even by capacity, and with as few moves as that takes. Pure.

Those who are there keep what they have as long as they are not over their bound; orphans go by weighted rendezvous
hashing among those with room. So when one is lost only its shards move, and what comes back is dealt in small
steps by whoever has too much.
"""

from collections.abc import Mapping, Sequence
from math import ceil, log

import xxhash

SLACK = 1.15  # a member may have so much over its due before it gives away
BEHIND = 0.5  # of its capacity, for one whose loop is late: it gives away before its leases lapse


def capacity(told: float, draining: bool, late: int, late_most: int) -> float:
    """What a member counts for. One that drains counts for nothing; the later its loop, the less."""
    if draining or told <= 0:
        return 0.0
    return told * (1.0 if late <= late_most else max(0.05, BEHIND * late_most / late))


def score(shard: int, member: int, weight: float) -> float:
    """Weighted rendezvous: the greatest has the shard; a member's change moves only its own share."""
    drawn = (xxhash.xxh64_intdigest(b"%d/%d" % (shard, member)) + 1) / 2.0**64
    return -weight / log(min(drawn, 1 - 2.0**-53))


def rank(shard: int, weights: Mapping[int, float]) -> list[int]:
    return sorted((m for m in weights if weights[m] > 0), key=lambda m: (-score(shard, m, weights[m]), m))


def bounds(shards: int, weights: Mapping[int, float], slack: float = SLACK) -> dict[int, int]:
    """The most that each may have."""
    total = sum(weights.values())
    return {m: ceil(slack * shards * w / total) if total > 0 else 0 for m, w in weights.items()}


def divide(owners: Sequence[int | None], weights: Mapping[int, float]) -> list[int | None]:
    """Who should have each shard, from who has it now (None: nobody) and what each that is there counts for."""
    shards, most = len(owners), bounds(len(owners), weights)
    wanted: list[int | None] = [m if m is not None and weights.get(m, 0) > 0 else None for m in owners]
    held = {m: [s for s in range(shards) if wanted[s] == m] for m in weights}
    for member, own in held.items():  # over its bound: those go that would be another's by rank
        over = len(own) - most[member]
        if over > 0:
            for shard in sorted(own, key=lambda s: score(s, member, weights[member]))[:over]:
                wanted[shard] = None
                own.remove(shard)
    for shard in range(shards):
        if wanted[shard] is None:
            place = next((m for m in rank(shard, weights) if len(held[m]) < most[m]), None)
            if place is not None:
                wanted[shard] = place
                held[place].append(shard)
    _fill(wanted, held, weights)
    return wanted


def _fill(wanted: list[int | None], held: dict[int, list[int]], weights: Mapping[int, float]) -> None:
    """One that has much less than its due (it has just come) gets some from whoever has most over theirs."""
    total = sum(weights.values())
    due = {m: len(wanted) * w / total for m, w in weights.items()} if total > 0 else {}
    while due:
        least = min(due, key=lambda m: (len(held[m]) - due[m], m))
        most = max(due, key=lambda m: (len(held[m]) - due[m], -m))
        if len(held[least]) + 1 > due[least] or len(held[most]) - 1 < due[most] or least == most:
            return
        shard = min(held[most], key=lambda s: score(s, most, weights[most]) / score(s, least, weights[least]))
        held[most].remove(shard)
        held[least].append(shard)
        wanted[shard] = least


def shard_of(proxy: int, shards: int) -> int:
    """The shard of a proxy: the same at every controller."""
    return xxhash.xxh64_intdigest(b"%d" % proxy) % shards
