"""Placement of shards on members in proportion to their weights, with few migrations. No I/O, no clock.

Reachable members keep the shards that they hold as long as they are within their limit. Shards without a
holder are placed by weighted rendezvous hashing among the members with capacity. So after the loss of a
member only its shards migrate. A member that returns gets shards from the members that hold too many, in
small steps.
"""

from collections.abc import Mapping, Sequence
from math import ceil, log

import xxhash

# a member hands shards over when it holds more than its proportional share of shards times this
SHARD_LIMIT_FACTOR = 1.15
# An overloaded member's weight drops to at most this share of its capacity, so that it hands shards over
# before its leases expire.
OVERLOAD_WEIGHT_FACTOR = 0.5
# However late its event loop is, an overloaded member keeps at least this share of its capacity as weight.
MIN_WEIGHT_FACTOR = 0.05


def member_weight(capacity: float, is_draining: bool, loop_delay_us: int, loop_delay_limit_us: int) -> float:
    """Return the weight of a member.

    The weight is 0 while the member drains, and otherwise the capacity. When the delay of the member's event
    loop exceeds the limit, the weight falls as the delay grows.
    """
    if is_draining or capacity <= 0:
        return 0.0
    if loop_delay_us <= loop_delay_limit_us:
        return capacity
    return capacity * max(MIN_WEIGHT_FACTOR, OVERLOAD_WEIGHT_FACTOR * loop_delay_limit_us / loop_delay_us)


def rendezvous_score(shard: int, member: int, weight: float) -> float:
    """Return a member's score for a shard by weighted rendezvous hashing; the highest score gets the shard.

    `weight` must be above 0.
    """
    uniform = (xxhash.xxh64_intdigest(b"%d/%d" % (shard, member)) + 1) / 2.0**64
    return -weight / log(min(uniform, 1 - 2.0**-53))


def ranked_members(shard: int, weights: Mapping[int, float]) -> list[int]:
    """Return the members with a weight above 0, by descending score for the shard."""
    return sorted(
        (member for member in weights if weights[member] > 0),
        key=lambda member: (-rendezvous_score(shard, member, weights[member]), member),
    )


def shard_limits(
    shards: int, weights: Mapping[int, float], factor: float = SHARD_LIMIT_FACTOR
) -> dict[int, int]:
    """Return the largest number of shards that each member may hold, by member.

    Args:
        shards: The number of all shards.
        weights: The weight of each reachable member.
        factor: The multiple of its share that a member may hold.
    """
    total_weight = sum(weights.values())
    return {
        member: ceil(factor * shards * weight / total_weight) if total_weight > 0 else 0
        for member, weight in weights.items()
    }


def place_shards(holders: Sequence[int | None], weights: Mapping[int, float]) -> list[int | None]:
    """Return the member that should hold each shard, or None if no member has a weight.

    Args:
        holders: The present holder of each shard, or None.
        weights: The weight of each reachable member.
    """
    shards = len(holders)
    limits = shard_limits(shards, weights)
    placement = [member if member is not None and weights.get(member, 0) > 0 else None for member in holders]
    member_shards = {
        member: [shard for shard in range(shards) if placement[shard] == member] for member in weights
    }
    _remove_excess_shards(placement, member_shards, limits, weights)
    for shard in range(shards):
        if placement[shard] is not None:
            continue
        candidates = ranked_members(shard, weights)
        member = next(
            (candidate for candidate in candidates if len(member_shards[candidate]) < limits[candidate]), None
        )
        if member is not None:
            placement[shard] = member
            member_shards[member].append(shard)
    _move_shards_below_share(placement, member_shards, weights)
    return placement


def _remove_excess_shards(
    placement: list[int | None],
    member_shards: dict[int, list[int]],
    limits: Mapping[int, int],
    weights: Mapping[int, float],
) -> None:
    """Remove from each member above its limit the shards with the lowest score for it."""
    for member, shards in member_shards.items():
        excess = len(shards) - limits[member]
        if excess <= 0:
            continue
        for shard in _by_ascending_score(shards, member, weights[member])[:excess]:
            placement[shard] = None
            shards.remove(shard)


def _by_ascending_score(shards: Sequence[int], member: int, weight: float) -> list[int]:
    """Return the shards sorted by their score for the member, the lowest first."""
    return sorted(shards, key=lambda shard: rendezvous_score(shard, member, weight))


def _move_shards_below_share(
    placement: list[int | None], member_shards: dict[int, list[int]], weights: Mapping[int, float]
) -> None:
    """Move shards to members far below their share, for example one that has just returned.

    Each shard is taken from the member that is furthest above its share.
    """
    total_weight = sum(weights.values())
    if total_weight <= 0:
        return
    shares = {member: len(placement) * weight / total_weight for member, weight in weights.items()}
    while True:
        target = min(shares, key=lambda member: (len(member_shards[member]) - shares[member], member))
        source = max(shares, key=lambda member: (len(member_shards[member]) - shares[member], -member))
        is_filled = (
            len(member_shards[target]) + 1 > shares[target] or len(member_shards[source]) - 1 < shares[source]
        )
        if is_filled or target == source:
            return
        shard = _select_shard_to_migrate(member_shards[source], source, target, weights)
        member_shards[source].remove(shard)
        member_shards[target].append(shard)
        placement[shard] = target


def _select_shard_to_migrate(
    shards: Sequence[int], source: int, target: int, weights: Mapping[int, float]
) -> int:
    """Return the shard whose score for the target is highest in proportion to its score for the source."""
    return min(
        shards,
        key=lambda shard: (
            rendezvous_score(shard, source, weights[source])
            / rendezvous_score(shard, target, weights[target])
        ),
    )


def shard_of_proxy(proxy: int, shards: int) -> int:
    """Return the shard of a proxy, 0 to `shards` - 1, which is the same at every member."""
    return xxhash.xxh64_intdigest(b"%d" % proxy) % shards
