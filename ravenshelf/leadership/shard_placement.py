"""Which member should hold which shard: in proportion to weights, with as few migrations as that takes. Pure.

Reachable members keep what they hold while they are within their limit; shards without a holder are placed
by weighted rendezvous hashing among members with capacity. So when a member is lost only its shards
migrate, and a member that comes back gets shards in small steps from those that hold too many.
"""

from collections.abc import Mapping, Sequence
from math import ceil, log

import xxhash

SLACK = 1.15  # a member may hold so many times its share before it hands shards over
OVERLOADED_SHARE = 0.5  # of its capacity: an overloaded member hands over before its leases expire
SMALLEST_SHARE = 0.05


def member_weight(capacity: float, is_draining: bool, loop_delay_us: int, loop_delay_limit_us: int) -> float:
    """The weight of a member: none while it drains, the less the later its event loop is."""
    if is_draining or capacity <= 0:
        return 0.0
    if loop_delay_us <= loop_delay_limit_us:
        return capacity
    return capacity * max(SMALLEST_SHARE, OVERLOADED_SHARE * loop_delay_limit_us / loop_delay_us)


def rendezvous_score(shard: int, member: int, weight: float) -> float:
    """Weighted rendezvous hashing: the greatest score gets the shard; `weight` must be above 0."""
    uniform = (xxhash.xxh64_intdigest(b"%d/%d" % (shard, member)) + 1) / 2.0**64
    return -weight / log(min(uniform, 1 - 2.0**-53))


def ranked_members(shard: int, weights: Mapping[int, float]) -> list[int]:
    """Members with a weight, the one that the shard prefers first."""
    return sorted(
        (member for member in weights if weights[member] > 0),
        key=lambda member: (-rendezvous_score(shard, member, weights[member]), member),
    )


def shard_limits(shards: int, weights: Mapping[int, float], slack: float = SLACK) -> dict[int, int]:
    """The most shards that each member may hold."""
    total = sum(weights.values())
    return {
        member: ceil(slack * shards * weight / total) if total > 0 else 0
        for member, weight in weights.items()
    }


def place_shards(holders: Sequence[int | None], weights: Mapping[int, float]) -> list[int | None]:
    """Which member should hold each shard; None for none.

    `holders` has the present holder of each shard, `weights` the weight of each reachable member.
    """
    shards = len(holders)
    limits = shard_limits(shards, weights)
    wanted = [member if member is not None and weights.get(member, 0) > 0 else None for member in holders]
    held = {member: [shard for shard in range(shards) if wanted[shard] == member] for member in weights}
    _shed_excess(wanted, held, limits, weights)
    for shard in range(shards):
        if wanted[shard] is not None:
            continue
        ranked = ranked_members(shard, weights)
        member = next((candidate for candidate in ranked if len(held[candidate]) < limits[candidate]), None)
        if member is not None:
            wanted[shard] = member
            held[member].append(shard)
    _fill_up(wanted, held, weights)
    return wanted


def _shed_excess(
    wanted: list[int | None],
    held: dict[int, list[int]],
    limits: Mapping[int, int],
    weights: Mapping[int, float],
) -> None:
    """A member above its limit loses the shards that prefer it least."""
    for member, own in held.items():
        excess = len(own) - limits[member]
        if excess <= 0:
            continue
        for shard in _least_preferring(own, member, weights[member])[:excess]:
            wanted[shard] = None
            own.remove(shard)


def _least_preferring(shards: Sequence[int], member: int, weight: float) -> list[int]:
    """The shards in order, those first that prefer the member least."""
    return sorted(shards, key=lambda shard: rendezvous_score(shard, member, weight))


def _fill_up(wanted: list[int | None], held: dict[int, list[int]], weights: Mapping[int, float]) -> None:
    """A member with much less than its share, as one that came back, gets shards from the one most above
    its own.
    """
    total = sum(weights.values())
    if total <= 0:
        return
    shares = {member: len(wanted) * weight / total for member, weight in weights.items()}
    while True:
        lowest = min(shares, key=lambda member: (len(held[member]) - shares[member], member))
        highest = max(shares, key=lambda member: (len(held[member]) - shares[member], -member))
        is_filled = len(held[lowest]) + 1 > shares[lowest] or len(held[highest]) - 1 < shares[highest]
        if is_filled or lowest == highest:
            return
        shard = _cheapest_to_migrate(held[highest], highest, lowest, weights)
        held[highest].remove(shard)
        held[lowest].append(shard)
        wanted[shard] = lowest


def _cheapest_to_migrate(
    shards: Sequence[int], source: int, target: int, weights: Mapping[int, float]
) -> int:
    """The shard that prefers the target most, in proportion to the source."""
    return min(
        shards,
        key=lambda shard: (
            rendezvous_score(shard, source, weights[source])
            / rendezvous_score(shard, target, weights[target])
        ),
    )


def shard_of_proxy(proxy: int, shards: int) -> int:
    """The shard of a proxy: the same at every member."""
    return xxhash.xxh64_intdigest(b"%d" % proxy) % shards
